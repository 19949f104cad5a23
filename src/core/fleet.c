#include "flamingolatch/fleet.h"

#include <string.h>
#include <xxhash.h>

#define FLEET_FAILURE_SHARE_WEIGHT     0.15	       /* of the newest outcome */
#define FLEET_SUSPEND_UNANSWERED_COUNT 2	       /* requests in a row */
#define FLEET_SUSPEND_FIRST_US	       (400ULL * 1000) /* more than the longest round trip */
#define FLEET_SUSPEND_MAX_US	       (3200ULL * 1000)
/* When more upstreams of a service lapse, the others have no room for their generations. */
#define FLEET_LAPSED_SHARE_MAX 0.5
/* Longer than the list keeps an entry that its upstream does not renew. */
#define FLEET_DISTRUST_US (5ULL * 1000 * 1000)
/* Upstreams whose own word of leaving is remembered. */
#define FLEET_DEPARTED_MAX_COUNT 10000
/* Longer than upstreams run after a shutdown notice. */
#define FLEET_LEAVING_KEEP_US (30ULL * 1000 * 1000)

/* What a peer reported of its own load, or a zone of all its instances. Each upstream keeps the sum
 * over its sources, so that neither a report nor a query visits what does not concern it. */
struct fleet_source {
	GHashTable *loads;   /* references to struct fleet_upstream, to struct fleet_load */
	uint64_t expires_us; /* when its loads count no longer */
};

struct fleet_upstream {
	struct fleet *fleet;
	char *id;
	char *scope;
	char *service;
	char *address;
	char *zone;
	char *software_version;
	uint64_t started_ms;
	uint64_t first_listed_us; /* when its entry first appeared */
	uint64_t leaving_since_us;
	uint64_t lapse_until_us; /* when a lapsed upstream becomes leaving */
	uint64_t suspended_until_us;
	uint64_t suspension_us; /* length of the last suspension; 0 for none */
	uint64_t last_progress_us;
	bool overdue; /* a call was given up for a quicker one, and nothing came since */
	struct fleet_load own_load;
	struct upstream_limit limit;
	struct upstream_quiet quiet;
	struct warm_up cold_limit;
	struct upstream_speed speed;
	struct fleet_load peer_load; /* the sum over the peers of the own zone */
	struct fleet_load zone_load; /* the sum over the other zones */
	double failure_share;
	uint32_t consecutive_unanswered;
	uint32_t slots;
	uint64_t digest; /* of what its entry says of it */
	uint32_t key;	 /* hash of the scope */
	uint32_t refs;
	enum fleet_upstream_distance distance;
	enum fleet_upstream_state state;
	bool announced_leaving; /* its entry announced its shutdown */
	bool unlisted;		/* its entry was removed */
	bool configured;	/* its service is; others own no address and are not displaced */
};

struct fleet {
	char *zone;
	fleet_region_cb region_of;
	fleet_state_cb changed;
	void *ctx;
	GHashTable *by_id;	/* id to struct fleet_upstream, its current incarnation */
	GHashTable *by_key;	/* key to struct fleet_upstream */
	GHashTable *by_service; /* service to GPtrArray of struct fleet_upstream */
	GHashTable *by_address; /* address to struct fleet_upstream, the one that has it */
	GHashTable *peers;	/* name to struct fleet_source */
	GHashTable *zones;	/* name of another zone to struct fleet_source */
	GHashTable *active;	/* set of upstreams: all with own open requests, and some without */
	GQueue leaving; /* references to struct fleet_upstream, in the order of leaving_since_us */
	/* id to the start, a guint64, of upstreams that said in an answer that they leave */
	GHashTable *departed;
	GQueue departed_ids;	    /* keys of the same, the oldest first */
	GHashTable *put_off;	    /* id to struct fleet_entry that owns its strings */
	uint64_t distrust_until_us; /* until then entries are put off */
	uint64_t digest;	    /* of all listed entries */
	uint32_t displaced_count;
	GPtrArray *evacuated; /* names of zones; NULL before they are known */
	GPtrArray *services;  /* names of those that are configured; NULL before they are known */
};

static const char *const fleet_upstream_state_names[FLEET_UPSTREAM_STATE_COUNT] = {
	"ready", "lapsed", "leaving", "displaced", "gone"
};

static void fleet_upstream_set_state(struct fleet_upstream *up, enum fleet_upstream_state state);
static void fleet_forget(struct fleet *fleet, struct fleet_upstream *up);

/* lifetime */

static void fleet_upstream_free(struct fleet_upstream *up)
{
	g_free(up->id);
	g_free(up->scope);
	g_free(up->service);
	g_free(up->address);
	g_free(up->zone);
	g_free(up->software_version);
	g_free(up);
}

static void fleet_upstream_release(gpointer data)
{
	fleet_upstream_unref(data);
}

static void fleet_source_free(gpointer data)
{
	struct fleet_source *source = data;

	g_hash_table_destroy(source->loads);
	g_free(source);
}

static void fleet_upstreams_free(gpointer data)
{
	GPtrArray *array = data;

	for (guint i = 0; i < array->len; i++)
		fleet_upstream_unref(array->pdata[i]);
	g_ptr_array_free(array, TRUE);
}

/* Frees an entry that owns its strings. */
static void fleet_entry_free(gpointer data)
{
	struct fleet_entry *entry = data;

	g_free((char *)entry->id);
	g_free((char *)entry->service);
	g_free((char *)entry->address);
	g_free((char *)entry->zone);
	g_free((char *)entry->software_version);
	g_free(entry);
}

struct fleet *fleet_create(const char *zone, fleet_region_cb region_of, fleet_state_cb changed,
			   void *ctx)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->zone = g_strdup(zone);
	/* That of an empty list is not 0. */
	fleet->digest = XXH3_64bits("", 0);
	fleet->region_of = region_of;
	fleet->changed = changed;
	fleet->ctx = ctx;
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->by_key = g_hash_table_new(NULL, NULL);
	fleet->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fleet_source_free);
	fleet->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fleet_source_free);
	fleet->active = g_hash_table_new(NULL, NULL);
	g_queue_init(&fleet->leaving);
	g_queue_init(&fleet->departed_ids);
	fleet->departed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->put_off = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fleet_entry_free);
	fleet->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fleet_upstreams_free);
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	while (!g_queue_is_empty(&fleet->leaving))
		fleet_upstream_unref(g_queue_pop_head(&fleet->leaving));
	g_queue_clear(&fleet->departed_ids);
	g_hash_table_destroy(fleet->departed);
	g_hash_table_destroy(fleet->put_off);
	g_hash_table_destroy(fleet->peers);
	g_hash_table_destroy(fleet->zones);
	g_hash_table_destroy(fleet->active);
	g_hash_table_destroy(fleet->by_address);
	g_hash_table_destroy(fleet->by_id);
	g_hash_table_destroy(fleet->by_key);
	g_hash_table_destroy(fleet->by_service);
	g_clear_pointer(&fleet->evacuated, g_ptr_array_unref);
	g_clear_pointer(&fleet->services, g_ptr_array_unref);
	g_free(fleet->zone);
	g_free(fleet);
}

struct fleet_upstream *fleet_upstream_ref(struct fleet_upstream *up)
{
	up->refs++;
	return up;
}

void fleet_upstream_unref(struct fleet_upstream *up)
{
	if (--up->refs == 0)
		fleet_upstream_free(up);
}

/* commands */

static enum fleet_upstream_distance fleet_distance(const struct fleet *fleet, const char *zone_a,
						   const char *zone_b)
{
	const char *region_a = fleet->region_of(fleet->ctx, zone_a);
	const char *region_b = fleet->region_of(fleet->ctx, zone_b);

	if (strcmp(zone_a, zone_b) == 0)
		return FLEET_SAME_ZONE;
	return g_strcmp0(region_a, region_b) == 0 ? FLEET_SAME_REGION : FLEET_OTHER_REGION;
}

static bool fleet_array_has(GPtrArray *names, const char *name)
{
	return names && g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL);
}

static bool fleet_is_configured(const struct fleet *fleet, const char *service)
{
#if defined(FL_FAULT_ANY_SERVICE)
	/* Deliberate defect, which the tests have to detect: any entry owns its address. */
	return true;
#endif
	return !fleet->services || fleet_array_has(fleet->services, service);
}

static const char *fleet_entry_version(const struct fleet_entry *entry)
{
	return entry->software_version ? entry->software_version : "";
}

static uint64_t fleet_entry_digest(const struct fleet_entry *entry)
{
	/* A service or zone of another writer may hold any printable character. */
	g_autofree char *text = g_strdup_printf("%s\n%s\n%s\n%s\n%s\n%" G_GUINT64_FORMAT, entry->id,
						entry->service, entry->address, entry->zone,
						fleet_entry_version(entry), entry->started_ms);

	return XXH3_64bits(text, strlen(text));
}

/* Records whether an upstream is listed. */
static void fleet_set_listed(struct fleet_upstream *up, bool listed)
{
	if (up->unlisted == listed)
		up->fleet->digest ^= up->digest;
	up->unlisted = !listed;
}

static struct fleet_upstream *fleet_add_upstream(struct fleet *fleet,
						 const struct fleet_entry *entry, uint64_t now_us)
{
	struct fleet_upstream *up = g_new0(struct fleet_upstream, 1);
	GPtrArray *upstreams = g_hash_table_lookup(fleet->by_service, entry->service);

	up->fleet = fleet;
	up->id = g_strdup(entry->id);
	up->scope = g_strdup_printf("%s.%" G_GUINT64_FORMAT, entry->id, entry->started_ms);
	up->service = g_strdup(entry->service);
	up->address = g_strdup(entry->address);
	up->zone = g_strdup(entry->zone);
	up->software_version = g_strdup(fleet_entry_version(entry));
	up->started_ms = entry->started_ms;
	up->first_listed_us = now_us;
	up->configured = fleet_is_configured(fleet, entry->service);
	warm_up_appear(&up->cold_limit, entry->age_ms, now_us);
	up->distance = fleet_distance(fleet, fleet->zone, entry->zone);
	up->key = g_str_hash(up->scope);
	up->digest = fleet_entry_digest(entry);
	up->unlisted = true;
	up->refs = 1;
	if (!upstreams) {
		upstreams = g_ptr_array_new();
		g_hash_table_insert(fleet->by_service, g_strdup(entry->service), upstreams);
	}
	g_ptr_array_add(upstreams, up);
	g_hash_table_insert(fleet->by_id, up->id, up);
	g_hash_table_insert(fleet->by_key, GUINT_TO_POINTER(up->key), up);
	return up;
}

/* Tells whether an upstream said itself, in this start, that it leaves. Whatever else says that it
 * is ready is older. */
static bool fleet_has_departed(const struct fleet *fleet, const char *id, uint64_t started_ms)
{
#if defined(FL_FAULT_LIST_WINS)
	/* Deliberate defect, which the tests have to detect: the list is believed again. */
	return false;
#endif
	const guint64 *departed_ms = g_hash_table_lookup(fleet->departed, id);

	return departed_ms && *departed_ms == started_ms;
}

/* Tells whether an upstream comes before another one with the same address: it started later. */
static bool fleet_upstream_precedes(const struct fleet_upstream *up,
				    const struct fleet_upstream *other)
{
#if defined(FL_FAULT_LAST_LISTED)
	/* Deliberate defect, which the tests have to detect: who is listed last has the address. */
	return false;
#endif
	if (up->started_ms != other->started_ms)
		return up->started_ms > other->started_ms;
	return strcmp(up->id, other->id) > 0;
}

/* Takes the address from an upstream. Without an entry, one that started earlier has ended; one
 * that started later continues what it runs. */
static void fleet_displace(struct fleet_upstream *up, const struct fleet_upstream *owner)
{
	if (!up->unlisted)
		fleet_upstream_set_state(up, FLEET_UPSTREAM_DISPLACED);
	else if (fleet_upstream_precedes(owner, up))
		fleet_upstream_set_state(up, FLEET_UPSTREAM_GONE);
}

/* Returns a displaced upstream to the state that its entry states. */
static void fleet_end_displacement(struct fleet_upstream *up, uint64_t now_us)
{
	if (up->state != FLEET_UPSTREAM_DISPLACED)
		return;
	if (up->announced_leaving || fleet_has_departed(up->fleet, up->id, up->started_ms)) {
		up->leaving_since_us = now_us;
		fleet_upstream_set_state(up, FLEET_UPSTREAM_LEAVING);
	} else {
		up->leaving_since_us = 0;
		fleet_upstream_set_state(up, FLEET_UPSTREAM_READY);
	}
}

/* Gives a listed upstream its address, unless one that comes before it has the address. */
static void fleet_claim_address(struct fleet *fleet, struct fleet_upstream *up, uint64_t now_us)
{
	struct fleet_upstream *owner = g_hash_table_lookup(fleet->by_address, up->address);

	if (owner == up || !up->configured)
		return;
	if (owner && !owner->unlisted && fleet_upstream_precedes(owner, up)) {
		fleet_displace(up, owner);
		return;
	}
	if (owner)
		fleet_displace(owner, up);
	g_hash_table_replace(fleet->by_address, up->address, up);
	fleet_end_displacement(up, now_us);
}

/* Gives an address whose owner is no longer listed there to the first of the displaced upstreams.
 */
static void fleet_pass_on_address(struct fleet *fleet, const char *address, uint64_t now_us)
{
	struct fleet_upstream *first = NULL;
	struct fleet_upstream *up;
	GHashTableIter iter;

#if defined(FL_FAULT_KEEP_DISPLACED)
	/* Deliberate defect, which the tests have to detect: displaced upstreams stay so. */
	return;
#endif
	if (fleet->displaced_count == 0)
		return;
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up)) {
		if (up->state == FLEET_UPSTREAM_DISPLACED && strcmp(up->address, address) == 0 &&
		    (!first || fleet_upstream_precedes(up, first)))
			first = up;
	}
	if (first)
		fleet_claim_address(fleet, first, now_us);
}

void fleet_distrust_entries(struct fleet *fleet, uint64_t now_us)
{
	fleet->distrust_until_us = now_us + FLEET_DISTRUST_US;
}

void fleet_set_services(struct fleet *fleet, GPtrArray *services, uint64_t now_us)
{
	GHashTableIter iter;
	struct fleet_upstream *up;

	g_ptr_array_ref(services);
	g_clear_pointer(&fleet->services, g_ptr_array_unref);
	fleet->services = services;
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up)) {
		up->configured = fleet_is_configured(fleet, up->service);
		if (up->configured)
			continue;
		if (g_hash_table_lookup(fleet->by_address, up->address) == up)
			g_hash_table_remove(fleet->by_address, up->address);
		fleet_end_displacement(up, now_us);
	}
	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up)) {
		if (!up->unlisted)
			fleet_claim_address(fleet, up, now_us);
	}
}

void fleet_set_evacuated(struct fleet *fleet, GPtrArray *zones, uint64_t now_us)
{
	GHashTableIter iter;
	struct fleet_upstream *up;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up)) {
		if (fleet_array_has(fleet->evacuated, up->zone) &&
		    !fleet_array_has(zones, up->zone))
			warm_up_return(&up->cold_limit, now_us);
	}
	g_ptr_array_ref(zones);
	g_clear_pointer(&fleet->evacuated, g_ptr_array_unref);
	fleet->evacuated = zones;
}

/* Tells whether an entry is older than what is known of the upstream that has its id. */
static bool fleet_is_outdated(const struct fleet_upstream *up, const struct fleet_entry *entry)
{
	if (up->started_ms != entry->started_ms)
		return entry->started_ms < up->started_ms;
	return up->state == FLEET_UPSTREAM_LEAVING && !entry->leaving;
}

static void fleet_put_off(struct fleet *fleet, const struct fleet_entry *entry)
{
	struct fleet_entry *copy = g_memdup2(entry, sizeof(*entry));

	copy->id = g_strdup(entry->id);
	copy->service = g_strdup(entry->service);
	copy->address = g_strdup(entry->address);
	copy->zone = g_strdup(entry->zone);
	copy->software_version = g_strdup(entry->software_version);
	g_hash_table_replace(fleet->put_off, (char *)copy->id, copy);
}

/* Lets the entries take effect that were put off and are still listed. */
static void fleet_put_back(struct fleet *fleet, uint64_t now_us)
{
	g_autoptr(GHashTable) put_off = fleet->put_off;
	GHashTableIter iter;
	const struct fleet_entry *entry;

	fleet->put_off = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fleet_entry_free);
	g_hash_table_iter_init(&iter, put_off);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&entry))
		fleet_put_entry(fleet, entry, now_us);
}

/* Ends an upstream whose id has a new incarnation. */
static void fleet_replace(struct fleet *fleet, struct fleet_upstream *up, uint64_t now_us)
{
	g_autofree char *address = g_strdup(up->address);
	bool owns_address = g_hash_table_lookup(fleet->by_address, address) == up;

	fleet_upstream_set_state(up, FLEET_UPSTREAM_GONE);
	fleet_forget(fleet, up);
	if (owns_address)
		fleet_pass_on_address(fleet, address, now_us);
}

void fleet_put_entry(struct fleet *fleet, const struct fleet_entry *entry, uint64_t now_us)
{
	struct fleet_upstream *up = g_hash_table_lookup(fleet->by_id, entry->id);
	bool added = false;

	g_hash_table_remove(fleet->put_off, entry->id);
	if (up && now_us < fleet->distrust_until_us && fleet_is_outdated(up, entry)) {
		fleet_put_off(fleet, entry);
		return;
	}
	if (up && (up->state == FLEET_UPSTREAM_GONE || up->started_ms != entry->started_ms ||
		   strcmp(up->address, entry->address) != 0 ||
		   strcmp(up->service, entry->service) != 0 || strcmp(up->zone, entry->zone) != 0 ||
		   strcmp(up->software_version, fleet_entry_version(entry)) != 0)) {
		fleet_replace(fleet, up, now_us);
		up = NULL;
	}
	if (!up) {
		up = fleet_add_upstream(fleet, entry, now_us);
		added = true;
	}
	up->slots = entry->slots;
	warm_up_hear(&up->cold_limit, entry->cold_ms, now_us);
	fleet_set_listed(up, true);
	up->announced_leaving |= entry->leaving;
	if (entry->leaving || fleet_has_departed(fleet, entry->id, entry->started_ms)) {
		fleet_upstream_set_leaving(up, now_us);
	} else if ((up->state == FLEET_UPSTREAM_LAPSED || up->state == FLEET_UPSTREAM_LEAVING) &&
		   !up->announced_leaving) {
		if (up->state == FLEET_UPSTREAM_LEAVING)
			warm_up_return(&up->cold_limit, now_us);
		up->leaving_since_us = 0;
		fleet_upstream_set_state(up, FLEET_UPSTREAM_READY);
	} else if (added) {
		fleet->changed(fleet->ctx, up, FLEET_UPSTREAM_GONE);
	}
	fleet_claim_address(fleet, up, now_us);
}

void fleet_remove_entry(struct fleet *fleet, const char *id, uint64_t lapse_until_us,
			uint64_t now_us)
{
	struct fleet_upstream *up = g_hash_table_lookup(fleet->by_id, id);

	g_hash_table_remove(fleet->put_off, id);
	/* That it is still missing says nothing new: a lapse goes on to its end. */
	if (!up || up->unlisted)
		return;
	fleet_set_listed(up, false);
	if (up->state == FLEET_UPSTREAM_DISPLACED) {
		fleet_upstream_set_state(up, FLEET_UPSTREAM_GONE);
		return;
	}
	if (lapse_until_us <= now_us) {
		fleet_upstream_set_leaving(up, now_us);
	} else if (up->state == FLEET_UPSTREAM_READY) {
		up->lapse_until_us = lapse_until_us;
		fleet_upstream_set_state(up, FLEET_UPSTREAM_LAPSED);
	}
	if (g_hash_table_lookup(fleet->by_address, up->address) == up)
		fleet_pass_on_address(fleet, up->address, now_us);
}

/* By now an upstream that shuts down has ended. If its entry has gone it is gone; if its entry is
 * still there and says nothing of a shutdown, the notice was wrong. */
static void fleet_end_leaving(struct fleet_upstream *up, uint64_t now_us)
{
	if (up->unlisted) {
		fleet_upstream_set_state(up, FLEET_UPSTREAM_GONE);
	} else if (!up->announced_leaving &&
		   !fleet_has_departed(up->fleet, up->id, up->started_ms)) {
		warm_up_return(&up->cold_limit, now_us);
		up->leaving_since_us = 0;
		fleet_upstream_set_state(up, FLEET_UPSTREAM_READY);
	}
}

void fleet_tick(struct fleet *fleet, uint64_t now_us)
{
	g_autoptr(GList) all = NULL;

	/* Frees upstreams that are replaced. */
	if (now_us >= fleet->distrust_until_us && g_hash_table_size(fleet->put_off) > 0)
		fleet_put_back(fleet, now_us);
	all = g_hash_table_get_values(fleet->by_id);
	for (GList *link = all; link; link = link->next) {
		struct fleet_upstream *up = link->data;

		if (up->state == FLEET_UPSTREAM_LAPSED && now_us >= up->lapse_until_us)
			fleet_upstream_set_leaving(up, now_us);
		if (up->state == FLEET_UPSTREAM_LEAVING &&
		    now_us - up->leaving_since_us > FLEET_LEAVING_KEEP_US)
			fleet_end_leaving(up, now_us);
		if (up->state == FLEET_UPSTREAM_GONE)
			fleet_forget(fleet, up);
	}
}

static void fleet_load_add(struct fleet_load *sum, const struct fleet_load *load)
{
	sum->open += load->open;
	sum->kv_tokens += load->kv_tokens;
	sum->kv_used_tokens += load->kv_used_tokens;
	sum->prefill_tokens += load->prefill_tokens;
	sum->incoming_copies += load->incoming_copies;
}

static void fleet_load_subtract(struct fleet_load *sum, const struct fleet_load *load)
{
	sum->open -= load->open;
	sum->kv_tokens -= load->kv_tokens;
	sum->kv_used_tokens -= load->kv_used_tokens;
	sum->prefill_tokens -= load->prefill_tokens;
	sum->incoming_copies -= load->incoming_copies;
}

/* Returns the sum of an upstream that the sources of a table are part of. */
static struct fleet_load *fleet_sum(const struct fleet *fleet, const GHashTable *sources,
				    struct fleet_upstream *up)
{
	return sources == fleet->peers ? &up->peer_load : &up->zone_load;
}

/* Takes the loads of a source out of the sums. */
static void fleet_clear_source(const struct fleet *fleet, const GHashTable *sources,
			       struct fleet_source *source)
{
	GHashTableIter iter;
	struct fleet_upstream *up;
	const struct fleet_load *load;

	g_hash_table_iter_init(&iter, source->loads);
	while (g_hash_table_iter_next(&iter, (gpointer *)&up, (gpointer *)&load)) {
		fleet_load_subtract(fleet_sum(fleet, sources, up), load);
		g_hash_table_iter_remove(&iter);
	}
}

static void fleet_put_load(const struct fleet *fleet, GHashTable *sources, const char *name,
			   struct fleet_upstream *up, const struct fleet_load *load,
			   uint64_t expires_us)
{
	struct fleet_source *source = g_hash_table_lookup(sources, name);
	struct fleet_load *previous;

	if (!source) {
		source = g_new0(struct fleet_source, 1);
		source->loads = g_hash_table_new_full(NULL, NULL, fleet_upstream_release, g_free);
		g_hash_table_insert(sources, g_strdup(name), source);
	}
	source->expires_us = expires_us;
	previous = g_hash_table_lookup(source->loads, up);
	if (previous) {
		fleet_load_subtract(fleet_sum(fleet, sources, up), previous);
		*previous = *load;
	} else {
		g_hash_table_insert(source->loads, fleet_upstream_ref(up),
				    g_memdup2(load, sizeof(*load)));
	}
	fleet_load_add(fleet_sum(fleet, sources, up), load);
}

void fleet_set_peer_load(struct fleet *fleet, const char *id, const char *peer,
			 const struct fleet_load *load, uint64_t expires_us)
{
	struct fleet_upstream *up = g_hash_table_lookup(fleet->by_id, id);

	if (up)
		fleet_put_load(fleet, fleet->peers, peer, up, load, expires_us);
}

struct fleet_upstream *fleet_set_zone_load(struct fleet *fleet, uint32_t key, const char *zone,
					   const struct fleet_load *load, uint64_t expires_us)
{
	struct fleet_upstream *up = g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));

	if (up)
		fleet_put_load(fleet, fleet->zones, zone, up, load, expires_us);
	return up;
}

static void fleet_remove_source(const struct fleet *fleet, GHashTable *sources, const char *name)
{
	struct fleet_source *source = g_hash_table_lookup(sources, name);

	if (!source)
		return;
	fleet_clear_source(fleet, sources, source);
	g_hash_table_remove(sources, name);
}

void fleet_remove_zone(struct fleet *fleet, const char *zone)
{
	fleet_remove_source(fleet, fleet->zones, zone);
}

void fleet_remove_peer(struct fleet *fleet, const char *peer)
{
	fleet_remove_source(fleet, fleet->peers, peer);
}

static void fleet_expire_sources(const struct fleet *fleet, GHashTable *sources, uint64_t now_us)
{
	GHashTableIter iter;
	struct fleet_source *source;

	g_hash_table_iter_init(&iter, sources);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&source)) {
		if (now_us <= source->expires_us)
			continue;
		fleet_clear_source(fleet, sources, source);
		g_hash_table_iter_remove(&iter);
	}
}

void fleet_expire_loads(struct fleet *fleet, uint64_t now_us)
{
	fleet_expire_sources(fleet, fleet->peers, now_us);
	fleet_expire_sources(fleet, fleet->zones, now_us);
}

void fleet_upstream_set_leaving(struct fleet_upstream *up, uint64_t now_us)
{
#if defined(FL_FAULT_NO_NOTICE)
	/* Deliberate defect, which the tests have to detect: ignores shutdown notices. */
	return;
#endif
	if (up->state >= FLEET_UPSTREAM_LEAVING)
		return;
	up->leaving_since_us = now_us;
	fleet_upstream_set_state(up, FLEET_UPSTREAM_LEAVING);
}

void fleet_upstream_record_departure(struct fleet_upstream *up, uint64_t now_us)
{
	struct fleet *fleet = up->fleet;
	guint64 *started_ms = g_hash_table_lookup(fleet->departed, up->id);
	char *id;

	if (started_ms) {
		*started_ms = MAX(*started_ms, up->started_ms);
	} else {
		if (g_hash_table_size(fleet->departed) >= FLEET_DEPARTED_MAX_COUNT)
			g_hash_table_remove(fleet->departed,
					    g_queue_pop_head(&fleet->departed_ids));
		id = g_strdup(up->id);
		started_ms = g_new(guint64, 1);
		*started_ms = up->started_ms;
		g_hash_table_insert(fleet->departed, id, started_ms);
		g_queue_push_tail(&fleet->departed_ids, id);
	}
	fleet_upstream_set_leaving(up, now_us);
}

void fleet_upstream_record_outcome(struct fleet_upstream *up, bool succeeded, bool answered,
				   uint64_t now_us)
{
	up->failure_share +=
		FLEET_FAILURE_SHARE_WEIGHT * ((succeeded ? 0.0 : 1.0) - up->failure_share);
	if (answered) {
		up->consecutive_unanswered = 0;
		up->suspension_us = 0;
		up->suspended_until_us = 0;
		return;
	}
	if (++up->consecutive_unanswered < FLEET_SUSPEND_UNANSWERED_COUNT)
		return;
	up->suspension_us = up->suspension_us ? MIN(up->suspension_us * 2, FLEET_SUSPEND_MAX_US)
					      : FLEET_SUSPEND_FIRST_US;
	up->suspended_until_us = now_us + up->suspension_us;
}

static void fleet_end_suspension(void *ctx, struct fleet_upstream *up)
{
	(void)ctx;
	up->consecutive_unanswered = 0;
	up->suspension_us = 0;
	up->suspended_until_us = 0;
}

void fleet_end_suspensions(struct fleet *fleet)
{
	fleet_foreach(fleet, fleet_end_suspension, NULL);
}

void fleet_upstream_mark_active(struct fleet_upstream *up)
{
	if (up->state != FLEET_UPSTREAM_GONE)
		g_hash_table_add(up->fleet->active, up);
}

void fleet_foreach_active(struct fleet *fleet, uint64_t since_us, uint32_t max_leaving,
			  void (*callback)(void *ctx, struct fleet_upstream *up), void *ctx)
{
	GHashTableIter iter;
	struct fleet_upstream *up;

	while ((up = g_queue_peek_head(&fleet->leaving)) && up->leaving_since_us < since_us)
		fleet_upstream_unref(g_queue_pop_head(&fleet->leaving));
	for (GList *link = fleet->leaving.tail; link && max_leaving > 0; link = link->prev) {
		up = link->data;
		if (up->state != FLEET_UPSTREAM_LEAVING || up->own_load.open > 0)
			continue;
		callback(ctx, up);
		max_leaving--;
	}
	g_hash_table_iter_init(&iter, fleet->active);
	while (g_hash_table_iter_next(&iter, (gpointer *)&up, NULL)) {
		if (up->own_load.open > 0)
			callback(ctx, up);
		else
			g_hash_table_iter_remove(&iter);
	}
}

void fleet_upstream_record_progress(struct fleet_upstream *up, uint64_t now_us)
{
	up->last_progress_us = now_us;
	up->overdue = false;
}

void fleet_upstream_record_first_open(struct fleet_upstream *up, uint64_t now_us)
{
	if (!up->overdue)
		up->last_progress_us = now_us;
}

void fleet_upstream_record_overdue(struct fleet_upstream *up, uint64_t sent_us)
{
	if (up->last_progress_us <= sent_us)
		up->overdue = true;
}

/* queries */

bool fleet_knows_evacuated(const struct fleet *fleet)
{
	return fleet->evacuated != NULL;
}

bool fleet_upstream_is_evacuated(const struct fleet_upstream *up)
{
	return fleet_array_has(up->fleet->evacuated, up->zone);
}

struct fleet_upstream *fleet_find(struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

struct fleet_upstream *fleet_find_key(struct fleet *fleet, uint32_t key)
{
	return g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));
}

bool fleet_has_entry(const struct fleet *fleet, const struct fleet_entry *entry)
{
	const struct fleet_upstream *up = g_hash_table_lookup(fleet->by_id, entry->id);

	if (!up || up->unlisted || g_hash_table_contains(fleet->put_off, entry->id) ||
	    up->started_ms != entry->started_ms || up->slots != entry->slots ||
	    strcmp(up->address, entry->address) != 0 || strcmp(up->service, entry->service) != 0 ||
	    strcmp(up->zone, entry->zone) != 0 ||
	    strcmp(up->software_version, fleet_entry_version(entry)) != 0 ||
	    up->announced_leaving != entry->leaving)
		return false;
	return up->state == FLEET_UPSTREAM_DISPLACED ||
	       up->state ==
		       (entry->leaving || fleet_has_departed(fleet, entry->id, entry->started_ms)
				? FLEET_UPSTREAM_LEAVING
				: FLEET_UPSTREAM_READY);
}

bool fleet_has_cold_time(const struct fleet *fleet, const struct fleet_entry *entry,
			 uint64_t now_us)
{
	const struct fleet_upstream *up = g_hash_table_lookup(fleet->by_id, entry->id);

	return !up || warm_up_confirms(&up->cold_limit, entry->cold_ms, now_us);
}

uint64_t fleet_digest(const struct fleet *fleet, uint64_t now_us)
{
	if (now_us < fleet->distrust_until_us || g_hash_table_size(fleet->put_off) > 0)
		return 0;
	return fleet->digest;
}

const GPtrArray *fleet_service_upstreams(struct fleet *fleet, const char *service)
{
	static GPtrArray empty;
	const GPtrArray *upstreams = g_hash_table_lookup(fleet->by_service, service);

	return upstreams ? upstreams : &empty;
}

GPtrArray *fleet_ids(struct fleet *fleet)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	const char *id;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, NULL))
		g_ptr_array_add(ids, g_strdup(id));
	return ids;
}

uint32_t fleet_count(const struct fleet *fleet)
{
	return g_hash_table_size(fleet->by_id);
}

void fleet_foreach(struct fleet *fleet, void (*callback)(void *ctx, struct fleet_upstream *up),
		   void *ctx)
{
	GHashTableIter iter;
	struct fleet_upstream *up;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up))
		callback(ctx, up);
}

void fleet_foreach_entry(struct fleet *fleet, uint64_t now_us,
			 void (*callback)(void *ctx, const struct fleet_entry *entry), void *ctx)
{
	GHashTableIter iter;
	const struct fleet_upstream *up;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up)) {
		struct fleet_entry entry = { .id = up->id,
					     .service = up->service,
					     .address = up->address,
					     .zone = up->zone,
					     .software_version = up->software_version,
					     .started_ms = up->started_ms,
					     .slots = up->slots,
					     .cold_ms = warm_up_cold_ms(&up->cold_limit, now_us),
					     .leaving = up->announced_leaving };

		if (!up->unlisted)
			callback(ctx, &entry);
	}
}

struct upstream_quiet *fleet_upstream_quiet(struct fleet_upstream *up)
{
	return &up->quiet;
}

struct warm_up *fleet_upstream_cold_limit(struct fleet_upstream *up)
{
	return &up->cold_limit;
}

struct upstream_speed *fleet_upstream_speed(struct fleet_upstream *up)
{
	return &up->speed;
}

struct upstream_limit *fleet_upstream_limit(struct fleet_upstream *up)
{
	return &up->limit;
}

const char *fleet_upstream_id(const struct fleet_upstream *up)
{
	return up->id;
}

const char *fleet_upstream_scope(const struct fleet_upstream *up)
{
	return up->scope;
}

const char *fleet_upstream_service(const struct fleet_upstream *up)
{
	return up->service;
}

uint64_t fleet_upstream_started_ms(const struct fleet_upstream *up)
{
	return up->started_ms;
}

const char *fleet_upstream_address(const struct fleet_upstream *up)
{
	return up->address;
}

const char *fleet_upstream_zone(const struct fleet_upstream *up)
{
	return up->zone;
}

const char *fleet_upstream_software_version(const struct fleet_upstream *up)
{
	return up->software_version;
}

const char *fleet_upstream_region(const struct fleet_upstream *up)
{
	return up->fleet->region_of(up->fleet->ctx, up->zone);
}

enum fleet_upstream_state fleet_upstream_state(const struct fleet_upstream *up)
{
	return up->state;
}

const char *fleet_upstream_state_name(enum fleet_upstream_state state)
{
	return fleet_upstream_state_names[state];
}

enum fleet_upstream_distance fleet_upstream_distance(const struct fleet_upstream *up)
{
	return up->distance;
}

enum fleet_upstream_distance fleet_upstream_distance_between(const struct fleet_upstream *a,
							     const struct fleet_upstream *b)
{
	return fleet_distance(a->fleet, a->zone, b->zone);
}

uint32_t fleet_upstream_slots(const struct fleet_upstream *up)
{
	return up->slots;
}

bool fleet_upstream_may_shut_down(const struct fleet_upstream *up)
{
	const GPtrArray *upstreams;
	uint32_t lapsed = 0;

	if (up->state != FLEET_UPSTREAM_LAPSED)
		return up->state == FLEET_UPSTREAM_LEAVING;
	upstreams = fleet_service_upstreams(up->fleet, up->service);
	for (guint i = 0; i < upstreams->len; i++)
		lapsed += ((const struct fleet_upstream *)upstreams->pdata[i])->state ==
			  FLEET_UPSTREAM_LAPSED;
	return lapsed <= upstreams->len * FLEET_LAPSED_SHARE_MAX;
}

uint64_t fleet_upstream_leaving_since_us(const struct fleet_upstream *up)
{
	return up->leaving_since_us;
}

uint64_t fleet_upstream_age_us(const struct fleet_upstream *up, uint64_t now_us)
{
	return now_us - up->first_listed_us;
}

struct fleet_load *fleet_upstream_own_load(struct fleet_upstream *up)
{
	return &up->own_load;
}

struct fleet_load fleet_upstream_peer_load(const struct fleet_upstream *up)
{
	struct fleet_load sum = up->peer_load;

	fleet_load_add(&sum, &up->zone_load);
	return sum;
}

struct fleet_load fleet_upstream_zone_load(const struct fleet_upstream *up)
{
	struct fleet_load sum = up->own_load;

	fleet_load_add(&sum, &up->peer_load);
	return sum;
}

uint32_t fleet_upstream_key(const struct fleet_upstream *up)
{
	return up->key;
}

double fleet_upstream_failure_share(const struct fleet_upstream *up)
{
	return up->failure_share;
}

bool fleet_upstream_suspended(const struct fleet_upstream *up, uint64_t now_us)
{
	return now_us < up->suspended_until_us;
}

bool fleet_upstream_on_probation(const struct fleet_upstream *up)
{
	return up->consecutive_unanswered >= FLEET_SUSPEND_UNANSWERED_COUNT;
}

uint64_t fleet_upstream_silent_us(const struct fleet_upstream *up, uint64_t now_us)
{
	if (up->own_load.open == 0 || now_us < up->last_progress_us)
		return 0;
	return now_us - up->last_progress_us;
}

/* helpers */

static void fleet_upstream_set_state(struct fleet_upstream *up, enum fleet_upstream_state state)
{
	enum fleet_upstream_state previous = up->state;

	if (previous == state)
		return;
	up->state = state;
	up->fleet->displaced_count += state == FLEET_UPSTREAM_DISPLACED;
	up->fleet->displaced_count -= previous == FLEET_UPSTREAM_DISPLACED;
	if (state == FLEET_UPSTREAM_LEAVING)
		g_queue_push_tail(&up->fleet->leaving, fleet_upstream_ref(up));
	up->fleet->changed(up->fleet->ctx, up, previous);
}

/* Removes an upstream from the tables; it is freed when the last reference is dropped. */
static void fleet_forget(struct fleet *fleet, struct fleet_upstream *up)
{
	GPtrArray *upstreams = g_hash_table_lookup(fleet->by_service, up->service);

	fleet_set_listed(up, false);
	if (g_hash_table_lookup(fleet->by_id, up->id) == up)
		g_hash_table_remove(fleet->by_id, up->id);
	if (g_hash_table_lookup(fleet->by_address, up->address) == up)
		g_hash_table_remove(fleet->by_address, up->address);
	if (g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(up->key)) == up)
		g_hash_table_remove(fleet->by_key, GUINT_TO_POINTER(up->key));
	g_hash_table_remove(fleet->active, up);
	if (upstreams && g_ptr_array_remove(upstreams, up))
		fleet_upstream_unref(up);
}
