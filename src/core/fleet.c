#include "flamingolatch/fleet.h"

#include <string.h>

#define FLEET_FAILURE_WEIGHT   0.15	       /* of the newest outcome */
#define FLEET_CIRCUIT_FAILURES 2	       /* unanswered in a row */
#define FLEET_CIRCUIT_FIRST_US (400ULL * 1000) /* above the longest round trip */
#define FLEET_CIRCUIT_MAX_US   (3200ULL * 1000)
#define FLEET_LAPSED_MOST      0.5 /* of a service; with more, no room is left for their runs */
#define FLEET_FORGET_US	       (30ULL * 1000 * 1000) /* longer than leaving upstreams go on */

struct fleet_peer {
	struct fups_load load;
	uint64_t until_us;
};

struct fups {
	struct fleet *fleet;
	char *id;
	char *scope;
	char *service;
	char *address;
	char *zone;
	uint64_t started_ms;
	uint64_t listed_us; /* when it was first seen */
	uint64_t leaving_us;
	uint64_t lapse_until_us;
	uint64_t suspended_until_us;
	uint64_t suspended_us;
	uint64_t progress_us;
	struct fups_load own;
	GHashTable *peers; /* peer to struct fleet_peer */
	double failure_share;
	uint32_t unanswered;
	uint32_t slots;
	uint32_t refs;
	enum fups_distance distance;
	enum fups_state state;
	bool announced; /* its entry said that it leaves */
	bool unlisted;	/* its entry is gone */
};

struct fleet {
	char *zone;
	fleet_region_of region_of;
	fleet_cb changed;
	void *ctx;
	GHashTable *by_id;	/* id to struct fups, the present incarnation */
	GHashTable *by_service; /* service to GPtrArray of struct fups */
	GHashTable *by_address; /* address to struct fups, the one listed last */
	GHashTable *active;	/* set of struct fups with own requests, and some without */
	GQueue left;		/* struct fups, held, in the order in which they left */
};

static const char *const fups_state_names[FUPS_STATE_COUNT] = { "ready", "lapsed", "leaving",
								"gone" };

static void fups_set_state(struct fups *up, enum fups_state state);
static void fleet_forget(struct fleet *fleet, struct fups *up);

/* lifetime */

static void fups_free(struct fups *up)
{
	g_hash_table_destroy(up->peers);
	g_free(up->id);
	g_free(up->scope);
	g_free(up->service);
	g_free(up->address);
	g_free(up->zone);
	g_free(up);
}

static void fleet_array_free(gpointer data)
{
	GPtrArray *array = data;

	for (guint i = 0; i < array->len; i++)
		fups_release(array->pdata[i]);
	g_ptr_array_free(array, TRUE);
}

struct fleet *fleet_create(const char *zone, fleet_region_of region_of, fleet_cb changed, void *ctx)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->zone = g_strdup(zone);
	fleet->region_of = region_of;
	fleet->changed = changed;
	fleet->ctx = ctx;
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->active = g_hash_table_new(NULL, NULL);
	g_queue_init(&fleet->left);
	fleet->by_service =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, fleet_array_free);
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	while (!g_queue_is_empty(&fleet->left))
		fups_release(g_queue_pop_head(&fleet->left));
	g_hash_table_destroy(fleet->active);
	g_hash_table_destroy(fleet->by_address);
	g_hash_table_destroy(fleet->by_id);
	g_hash_table_destroy(fleet->by_service);
	g_free(fleet->zone);
	g_free(fleet);
}

struct fups *fups_hold(struct fups *up)
{
	up->refs++;
	return up;
}

void fups_release(struct fups *up)
{
	if (--up->refs == 0)
		fups_free(up);
}

/* commands */

static enum fups_distance fleet_distance(const struct fleet *fleet, const char *a, const char *b)
{
	const char *left = fleet->region_of(fleet->ctx, a);
	const char *right = fleet->region_of(fleet->ctx, b);

	if (strcmp(a, b) == 0)
		return FUPS_SAME_ZONE;
	return g_strcmp0(left, right) == 0 ? FUPS_SAME_REGION : FUPS_FAR;
}

static struct fups *fleet_add(struct fleet *fleet, const struct fleet_listing *listing,
			      uint64_t now_us)
{
	struct fups *up = g_new0(struct fups, 1);
	GPtrArray *of_service = g_hash_table_lookup(fleet->by_service, listing->service);

	up->fleet = fleet;
	up->id = g_strdup(listing->id);
	up->scope = g_strdup_printf("%s.%" G_GUINT64_FORMAT, listing->id, listing->started_ms);
	up->service = g_strdup(listing->service);
	up->address = g_strdup(listing->address);
	up->zone = g_strdup(listing->zone);
	up->started_ms = listing->started_ms;
	up->listed_us = now_us;
	up->distance = fleet_distance(fleet, fleet->zone, listing->zone);
	up->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	up->refs = 1;
	if (!of_service) {
		of_service = g_ptr_array_new();
		g_hash_table_insert(fleet->by_service, g_strdup(listing->service), of_service);
	}
	g_ptr_array_add(of_service, up);
	g_hash_table_insert(fleet->by_id, up->id, up);
	return up;
}

/* An address belongs to the upstream that was listed under it last. */
static void fleet_claim_address(struct fleet *fleet, struct fups *owner)
{
	struct fups *before = g_hash_table_lookup(fleet->by_address, owner->address);

	if (before && before != owner &&
	    (before->listed_us > owner->listed_us || before->started_ms > owner->started_ms))
		return;
	if (before && before != owner)
		fups_set_state(before, FUPS_GONE);
	g_hash_table_replace(fleet->by_address, owner->address, owner);
}

void fleet_list(struct fleet *fleet, const struct fleet_listing *listing, uint64_t now_us)
{
	struct fups *up = g_hash_table_lookup(fleet->by_id, listing->id);
	bool added = false;

	if (up &&
	    (up->started_ms != listing->started_ms || strcmp(up->address, listing->address) != 0 ||
	     strcmp(up->service, listing->service) != 0)) {
		fups_set_state(up, FUPS_GONE);
		fleet_forget(fleet, up);
		up = NULL;
	}
	if (!up) {
		up = fleet_add(fleet, listing, now_us);
		added = true;
	}
	up->slots = listing->slots;
	up->unlisted = false;
	if (listing->leaving) {
		up->announced = true;
		fups_set_leaving(up, now_us);
	} else if (up->state != FUPS_READY && up->state != FUPS_GONE && !up->announced) {
		up->leaving_us = 0;
		fups_set_state(up, FUPS_READY);
	} else if (added) {
		fleet->changed(fleet->ctx, up, FUPS_GONE);
	}
	if (added)
		fleet_claim_address(fleet, up);
}

void fleet_unlist(struct fleet *fleet, const char *id, uint64_t lapse_until_us, uint64_t now_us)
{
	struct fups *up = g_hash_table_lookup(fleet->by_id, id);

	if (!up || up->state == FUPS_GONE)
		return;
	up->unlisted = true;
	if (up->state == FUPS_LEAVING)
		return;
	if (lapse_until_us > now_us) {
		if (up->state == FUPS_LAPSED)
			return;
		up->lapse_until_us = lapse_until_us;
		fups_set_state(up, FUPS_LAPSED);
		return;
	}
	fups_set_leaving(up, now_us);
}

void fleet_tick(struct fleet *fleet, uint64_t now_us)
{
	g_autoptr(GList) all = g_hash_table_get_values(fleet->by_id);

	for (GList *item = all; item; item = item->next) {
		struct fups *up = item->data;

		if (up->state == FUPS_LAPSED && now_us >= up->lapse_until_us)
			fups_set_leaving(up, now_us);
		if (up->state == FUPS_LEAVING && up->unlisted &&
		    now_us - up->leaving_us > FLEET_FORGET_US)
			fups_set_state(up, FUPS_GONE);
		if (up->state == FUPS_GONE)
			fleet_forget(fleet, up);
	}
}

void fleet_set_peer(struct fleet *fleet, const char *id, const char *peer,
		    const struct fups_load *load, uint64_t until_us)
{
	struct fups *up = g_hash_table_lookup(fleet->by_id, id);
	struct fleet_peer *slot;

	if (!up)
		return;
	slot = g_hash_table_lookup(up->peers, peer);
	if (!slot) {
		slot = g_new0(struct fleet_peer, 1);
		g_hash_table_insert(up->peers, g_strdup(peer), slot);
	}
	slot->load = *load;
	slot->until_us = until_us;
}

void fleet_drop_peer(struct fleet *fleet, const char *peer)
{
	GHashTableIter iter;
	struct fups *up;

	g_hash_table_iter_init(&iter, fleet->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&up))
		g_hash_table_remove(up->peers, peer);
}

void fups_set_leaving(struct fups *up, uint64_t now_us)
{
#if defined(FL_FAULT_NO_NOTICE)
	return;
#endif
	if (up->state >= FUPS_LEAVING)
		return;
	up->leaving_us = now_us;
	fups_set_state(up, FUPS_LEAVING);
}

void fups_outcome(struct fups *up, bool good, bool answered, uint64_t now_us)
{
	up->failure_share += FLEET_FAILURE_WEIGHT * ((good ? 0.0 : 1.0) - up->failure_share);
	if (answered) {
		up->unanswered = 0;
		up->suspended_us = 0;
		up->suspended_until_us = 0;
		return;
	}
	if (++up->unanswered < FLEET_CIRCUIT_FAILURES)
		return;
	up->suspended_us = up->suspended_us ? MIN(up->suspended_us * 2, FLEET_CIRCUIT_MAX_US)
					    : FLEET_CIRCUIT_FIRST_US;
	up->suspended_until_us = now_us + up->suspended_us;
}

void fups_touch(struct fups *up)
{
	if (up->state != FUPS_GONE)
		g_hash_table_add(up->fleet->active, up);
}

void fleet_each_active(struct fleet *fleet, uint64_t since_us, uint32_t left_most,
		       void (*each)(void *ctx, struct fups *up), void *ctx)
{
	GHashTableIter iter;
	struct fups *up;

	while ((up = g_queue_peek_head(&fleet->left)) && up->leaving_us < since_us)
		fups_release(g_queue_pop_head(&fleet->left));
	for (GList *item = fleet->left.tail; item && left_most > 0; item = item->prev) {
		up = item->data;
		if (up->state != FUPS_LEAVING || up->own.open > 0)
			continue;
		each(ctx, up);
		left_most--;
	}
	g_hash_table_iter_init(&iter, fleet->active);
	while (g_hash_table_iter_next(&iter, (gpointer *)&up, NULL)) {
		if (up->own.open > 0)
			each(ctx, up);
		else
			g_hash_table_iter_remove(&iter);
	}
}

void fups_progress(struct fups *up, uint64_t now_us)
{
	up->progress_us = now_us;
}

/* queries */

struct fups *fleet_find(struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

const GPtrArray *fleet_of_service(struct fleet *fleet, const char *service)
{
	static GPtrArray none;
	const GPtrArray *of_service = g_hash_table_lookup(fleet->by_service, service);

	return of_service ? of_service : &none;
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

const char *fups_id(const struct fups *up)
{
	return up->id;
}

const char *fups_scope(const struct fups *up)
{
	return up->scope;
}

const char *fups_service(const struct fups *up)
{
	return up->service;
}

uint64_t fups_started_ms(const struct fups *up)
{
	return up->started_ms;
}

const char *fups_address(const struct fups *up)
{
	return up->address;
}

const char *fups_zone(const struct fups *up)
{
	return up->zone;
}

enum fups_state fups_state(const struct fups *up)
{
	return up->state;
}

const char *fups_state_name(enum fups_state state)
{
	return fups_state_names[state];
}

enum fups_distance fups_distance(const struct fups *up)
{
	return up->distance;
}

enum fups_distance fups_distance_between(const struct fups *a, const struct fups *b)
{
	return fleet_distance(a->fleet, a->zone, b->zone);
}

uint32_t fups_slots(const struct fups *up)
{
	return up->slots;
}

bool fups_may_end(const struct fups *up)
{
	const GPtrArray *of_service;
	uint32_t lapsed = 0;

	if (up->state != FUPS_LAPSED)
		return up->state == FUPS_LEAVING;
	of_service = fleet_of_service(up->fleet, up->service);
	for (guint i = 0; i < of_service->len; i++)
		lapsed += ((const struct fups *)of_service->pdata[i])->state == FUPS_LAPSED;
	return lapsed <= of_service->len * FLEET_LAPSED_MOST;
}

uint64_t fups_leaving_since_us(const struct fups *up)
{
	return up->leaving_us;
}

uint64_t fups_age_us(const struct fups *up, uint64_t now_us)
{
	return now_us - up->listed_us;
}

struct fups_load *fups_own(struct fups *up)
{
	return &up->own;
}

struct fups_load fups_peers(const struct fups *up, uint64_t now_us)
{
	struct fups_load sum = { 0 };
	GHashTableIter iter;
	const struct fleet_peer *peer;

	g_hash_table_iter_init(&iter, up->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_us > peer->until_us)
			continue;
		sum.open += peer->load.open;
		sum.kv_tokens += peer->load.kv_tokens;
		sum.prefill_tokens += peer->load.prefill_tokens;
		sum.copies += peer->load.copies;
	}
	return sum;
}

double fups_failure_share(const struct fups *up)
{
	return up->failure_share;
}

bool fups_suspended(const struct fups *up, uint64_t now_us)
{
	return now_us < up->suspended_until_us;
}

bool fups_on_probation(const struct fups *up)
{
	return up->unanswered >= FLEET_CIRCUIT_FAILURES;
}

uint64_t fups_silent_us(const struct fups *up, uint64_t now_us)
{
	if (up->own.open == 0 || now_us < up->progress_us)
		return 0;
	return now_us - up->progress_us;
}

/* helpers */

static void fups_set_state(struct fups *up, enum fups_state state)
{
	enum fups_state was = up->state;

	if (was == state)
		return;
	up->state = state;
	if (state == FUPS_LEAVING)
		g_queue_push_tail(&up->fleet->left, fups_hold(up));
	up->fleet->changed(up->fleet->ctx, up, was);
}

/* Drops an upstream from the tables; requests that hold it keep its memory. */
static void fleet_forget(struct fleet *fleet, struct fups *up)
{
	GPtrArray *of_service = g_hash_table_lookup(fleet->by_service, up->service);

	if (g_hash_table_lookup(fleet->by_id, up->id) == up)
		g_hash_table_remove(fleet->by_id, up->id);
	if (g_hash_table_lookup(fleet->by_address, up->address) == up)
		g_hash_table_remove(fleet->by_address, up->address);
	g_hash_table_remove(fleet->active, up);
	if (of_service && g_ptr_array_remove(of_service, up))
		fups_release(up);
}
