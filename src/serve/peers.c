#include "peers.h"

#include "flamingolatch/bus.h"

#include <stdlib.h>
#include <string.h>

#define PRS_TYPE	   "(ssstuba(stuuuub))" /* instance, address, zone, incarnation, validity, ... */
#define PRS_LOAD_TYPE	   "(stuuuub)" /* upstream, start, open, memory, unread tokens, leaving */
#define PRS_TICK_MS	   50
#define PRS_VALID_ROUNDS   4 /* a class's rounds for which a message holds */
#define PRS_VALID_MIN_MS   1500
#define PRS_REST_ROUNDS	   3  /* a message that tells nothing new is sent this seldom */
#define PRS_LOADS	   1  /* type of the messages of this file; the others are passed on */
#define PRS_HURRY_MS	   15 /* least time between two messages about placed generations */
#define PRS_NOTICE_US	   (2000ULL * 1000) /* a notice is told on for so long */
#define PRS_NOTICES_MOST   16 /* in a message: two waves at 60 instances; more come with the list */
#define PRS_CLASSES	   3
#define PRS_LIVE_US	   (3ULL * 1000 * 1000)	 /* silence after which a peer is not counted */
#define PRS_FORGET_US	   (20ULL * 1000 * 1000) /* silence after which nothing is sent */
#define PRS_READ_FIRST_MS  1500 /* after the start, when others have announced themselves */
#define PRS_READ_EVERY_MS  20000
#define PRS_RETRY_MS	   2000
#define PRS_READ_SPREAD_MS 1000

/* What is spent on the peers of one distance. */
struct prs_class {
	uint32_t sends_per_s;
	uint32_t rest_ms; /* least time between two rounds */
	uint32_t most;	  /* peers that are told, by rank; 0 means all */
};

static const struct prs_class prs_classes[PRS_CLASSES] = {
	[FUPS_SAME_ZONE] = { .sends_per_s = 30, .rest_ms = 100 },
	[FUPS_SAME_REGION] = { .sends_per_s = 16, .rest_ms = 150, .most = 24 },
	[FUPS_FAR] = { .sends_per_s = 8, .rest_ms = 300, .most = 8 },
};

struct prs_peer {
	char *address;
	char *instance;
	char *zone;
	enum fups_distance distance;
	uint32_t rank; /* orders the peers of a class, other for every instance */
	uint64_t incarnation;
	uint64_t known_us; /* when it was last read of or heard of */
	uint64_t heard_us; /* 0 before */
};

struct prs {
	struct env *env;
	struct bus *bus;
	char *address;
	uint64_t incarnation;
	GHashTable *peers; /* address to struct prs_peer */
	GByteArray *next;
	struct {
		GByteArray *last; /* told last */
		uint64_t told_us;
	} rounds[PRS_CLASSES];
	uv_timer_t tick;
	uv_timer_t read;
	struct src_call *announce;
	struct src_call *reading;
	bool announced;
	bool leaving;
	prs_message_cb other;
	void *other_ctx;
};

static void prs_on_message(void *ctx, const void *buf, size_t len);
static void prs_on_tick(uv_timer_t *timer);
static void prs_on_read_timer(uv_timer_t *timer);
static void prs_on_announced(void *arg, const struct src_answer *answer);
static void prs_on_rows(void *arg, const struct src_answer *answer);
static void prs_announce(struct prs *prs);

/* lifetime */

static void prs_peer_free(gpointer data)
{
	struct prs_peer *peer = data;

	g_free(peer->address);
	g_free(peer->instance);
	g_free(peer->zone);
	g_free(peer);
}

struct prs *prs_create(struct env *env, GError **error)
{
	struct prs *prs = g_new0(struct prs, 1);
	struct bus_options conf = { 0 };
	g_autofree char *host = NULL;

	gateway_settings_split_address(env->set->bus, &host, &conf.port);
	conf.address = host;
	prs->env = env;
	prs->incarnation = (uint64_t)(g_get_real_time() / 1000);
	prs->bus = bus_create(env->loop, &conf, prs_on_message, prs, error);
	if (!prs->bus) {
		g_free(prs);
		return NULL;
	}
	prs->address = g_strdup_printf("%s:%u", host, bus_port(prs->bus));
	prs->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, prs_peer_free);
	prs->next = g_byte_array_new();
	for (uint32_t i = 0; i < PRS_CLASSES; i++)
		prs->rounds[i].last = g_byte_array_new();
	uv_timer_init(env->loop, &prs->tick);
	uv_timer_init(env->loop, &prs->read);
	prs->tick.data = prs;
	prs->read.data = prs;
	uv_timer_start(&prs->tick, prs_on_tick, PRS_TICK_MS, PRS_TICK_MS);
	uv_timer_start(&prs->read, prs_on_read_timer, PRS_READ_FIRST_MS, 0);
	prs_announce(prs);
	return prs;
}

static void prs_on_closed(uv_handle_t *handle)
{
	struct prs *prs = handle->data;

	g_hash_table_destroy(prs->peers);
	for (uint32_t i = 0; i < PRS_CLASSES; i++)
		g_byte_array_free(prs->rounds[i].last, TRUE);
	g_byte_array_free(prs->next, TRUE);
	g_free(prs->address);
	g_free(prs);
}

void prs_destroy(struct prs *prs)
{
	if (!prs)
		return;
	if (prs->announce)
		prs->env->source->ops->cancel(prs->announce);
	if (prs->reading)
		prs->env->source->ops->cancel(prs->reading);
	bus_destroy(prs->bus);
	uv_close((uv_handle_t *)&prs->tick, NULL);
	uv_close((uv_handle_t *)&prs->read, prs_on_closed);
}

/* commands */

void prs_encode(GByteArray *out, const struct prs_message *message)
{
	GVariantBuilder loads;
	GVariant *root;

	g_variant_builder_init(&loads, G_VARIANT_TYPE("a" PRS_LOAD_TYPE));
	for (guint i = 0; i < message->loads->len; i++) {
		const struct prs_load *load = &g_array_index(message->loads, struct prs_load, i);

		g_variant_builder_add(&loads, PRS_LOAD_TYPE, load->upstream, load->started_ms,
				      load->load.open,
				      (guint32)MIN(load->load.kv_tokens, G_MAXUINT32),
				      (guint32)MIN(load->load.prefill_tokens, G_MAXUINT32),
				      load->load.copies, load->leaving);
	}
	root = g_variant_ref_sink(g_variant_new(
		PRS_TYPE, message->instance, message->address, message->zone, message->incarnation,
		(guint32)message->valid_ms, message->leaving, &loads));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

static void prs_collect(void *ctx, struct fups *up)
{
	GArray *loads = ctx;
	struct prs_load load = { fups_id(up), fups_started_ms(up), *fups_own(up),
				 fups_state(up) == FUPS_LEAVING };

	g_array_append_val(loads, load);
}

/* Gathers what is told: own load, and notices that are still news. */
static void prs_collect_all(const struct prs *prs, GArray *loads)
{
	uint64_t now_us = env_now_us();

	fleet_each_active(prs->env->fleet, now_us > PRS_NOTICE_US ? now_us - PRS_NOTICE_US : 0,
			  PRS_NOTICES_MOST, prs_collect, loads);
}

static gint prs_by_rank(gconstpointer a, gconstpointer b)
{
	const struct prs_peer *const *left = a;
	const struct prs_peer *const *right = b;

	return (*left)->rank < (*right)->rank ? -1 : (*left)->rank > (*right)->rank;
}

/* Returns the peers of a class that are told. */
static GPtrArray *prs_of_class(struct prs *prs, uint32_t class, uint64_t now_us)
{
	GPtrArray *peers = g_ptr_array_new();
	GHashTableIter iter;
	struct prs_peer *peer;

	g_hash_table_iter_init(&iter, prs->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_us - MAX(peer->known_us, peer->heard_us) > PRS_FORGET_US)
			g_hash_table_iter_remove(&iter);
		else if (peer->distance == (enum fups_distance) class)
			g_ptr_array_add(peers, peer);
	}
	if (prs_classes[class].most && peers->len > prs_classes[class].most) {
		g_ptr_array_sort(peers, prs_by_rank);
		g_ptr_array_set_size(peers, (gint)prs_classes[class].most);
	}
	return peers;
}

void prs_on_other(struct prs *prs, prs_message_cb cb, void *ctx)
{
	prs->other = cb;
	prs->other_ctx = ctx;
}

void prs_send(struct prs *prs, const char *address, uint8_t type, const GByteArray *bytes)
{
	g_autoptr(GByteArray) message = g_byte_array_sized_new(bytes->len + 1);

	g_byte_array_append(message, &type, 1);
	g_byte_array_append(message, bytes->data, bytes->len);
	if (!bus_send(prs->bus, address, message->data, message->len))
		return;
	metric_add(prs->env->metric, METRIC_BUS_MESSAGES_SENT, 1);
	metric_add(prs->env->metric, METRIC_BUS_BYTES_SENT, message->len);
}

/* Tells the peers of one class, when the load changed or after a rest. */
static void prs_tell_class(struct prs *prs, uint32_t class, bool urgent, GArray *loads)
{
	const struct prs_class *rules = &prs_classes[class];
	uint64_t now_us = env_now_us();
	g_autoptr(GPtrArray) peers = prs_of_class(prs, class, now_us);
	uint64_t round_ms = MAX(rules->rest_ms, peers->len * 1000ULL / rules->sends_per_s);
	uint64_t rested_ms = (now_us - prs->rounds[class].told_us) / 1000;
	struct prs_message message = { .instance = prs->env->set->instance,
				       .address = prs->address,
				       .zone = prs->env->set->zone,
				       .incarnation = prs->incarnation,
				       .valid_ms = (uint32_t)MAX(round_ms * PRS_VALID_ROUNDS,
								 PRS_VALID_MIN_MS),
				       .leaving = prs->leaving,
				       .loads = loads };
	GByteArray *swap = prs->rounds[class].last;

	if (peers->len == 0 || (!urgent && rested_ms < round_ms))
		return;
	g_byte_array_set_size(prs->next, 0);
	prs_encode(prs->next, &message);
	if (!urgent && rested_ms < round_ms * PRS_REST_ROUNDS && prs->next->len == swap->len &&
	    memcmp(prs->next->data, swap->data, swap->len) == 0)
		return;
	if (class == FUPS_SAME_REGION)
		prs->env->far_ms = (uint32_t)round_ms;
	prs->rounds[class].told_us = now_us;
	prs->rounds[class].last = prs->next;
	prs->next = swap;
	for (guint i = 0; i < peers->len; i++) {
		const struct prs_peer *peer = peers->pdata[i];
		const GByteArray *bytes = prs->rounds[class].last;

		prs_send(prs, peer->address, PRS_LOADS, bytes);
	}
}

static void prs_tell(struct prs *prs, bool urgent)
{
	g_autoptr(GArray) loads = g_array_new(FALSE, FALSE, sizeof(struct prs_load));

	if (g_hash_table_size(prs->peers) == 0)
		return;
	prs_collect_all(prs, loads);
	for (uint32_t class = 0; class < PRS_CLASSES; class ++)
		prs_tell_class(prs, class, urgent, loads);
}

void prs_hurry(struct prs *prs)
{
	g_autoptr(GArray) loads = NULL;
	uint64_t rested_us = env_now_us() - prs->rounds[FUPS_SAME_ZONE].told_us;

	if (!prs->env->placed || prs->leaving || rested_us < PRS_HURRY_MS * 1000ULL)
		return;
	prs->env->placed = false;
	loads = g_array_new(FALSE, FALSE, sizeof(struct prs_load));
	prs_collect_all(prs, loads);
	prs_tell_class(prs, FUPS_SAME_ZONE, true, loads);
}

void prs_leave(struct prs *prs)
{
	prs->leaving = true;
	prs_tell(prs, true);
	prs_announce(prs);
}

/* queries */

const char *prs_address(const struct prs *prs)
{
	return prs->address;
}

static gint prs_by_hash(gconstpointer a, gconstpointer b)
{
	const char *left = *(const char *const *)a;
	const char *right = *(const char *const *)b;
	guint left_hash = g_str_hash(left) * 2654435761U;
	guint right_hash = g_str_hash(right) * 2654435761U;

	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return strcmp(left, right);
}

GPtrArray *prs_group(struct prs *prs, bool region)
{
	GPtrArray *group = g_ptr_array_new();
	GHashTableIter iter;
	const struct prs_peer *peer;

	g_hash_table_iter_init(&iter, prs->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->distance == FUPS_SAME_ZONE ||
		    (region && peer->distance == FUPS_SAME_REGION))
			g_ptr_array_add(group, peer->address);
	}
	g_ptr_array_add(group, prs->address);
	g_ptr_array_sort(group, prs_by_hash);
	return group;
}

/* helpers */

/* Returns how far a zone is. */
static enum fups_distance prs_distance(const struct prs *prs, const char *zone)
{
	const struct gateway_settings *set = prs->env->set;

	if (strcmp(zone, set->zone) == 0)
		return FUPS_SAME_ZONE;
	return g_strcmp0(gateway_settings_region_of(set, zone), set->region) == 0 ? FUPS_SAME_REGION
										  : FUPS_FAR;
}

static struct prs_peer *prs_know(struct prs *prs, const char *address, const char *instance,
				 const char *zone)
{
	struct prs_peer *peer = g_hash_table_lookup(prs->peers, address);

	if (!peer) {
		peer = g_new0(struct prs_peer, 1);
		peer->address = g_strdup(address);
		peer->rank = g_str_hash(address) ^ g_str_hash(prs->address) * 2654435761U;
		g_hash_table_insert(prs->peers, peer->address, peer);
	}
	if (g_strcmp0(peer->zone, zone) != 0) {
		g_free(peer->zone);
		peer->zone = g_strdup(zone);
		peer->distance = prs_distance(prs, zone);
	}
	if (g_strcmp0(peer->instance, instance) != 0) {
		g_free(peer->instance);
		peer->instance = g_strdup(instance);
	}
	peer->known_us = env_now_us();
	return peer;
}

static void prs_announce(struct prs *prs)
{
	struct env *env = prs->env;
	g_autofree char *text = g_strdup_printf("%s %s", prs->address, env->set->zone);

	if (prs->announce)
		env->source->ops->cancel(prs->announce);
	metric_add(env->metric, METRIC_TABLE_WRITES, 1);
	prs->announce =
		env->source->ops->announce(env->source->ctx, env->set->instance,
					   prs->leaving ? NULL : text, prs_on_announced, prs);
}

static void prs_on_announced(void *arg, const struct src_answer *answer)
{
	struct prs *prs = arg;

	prs->announce = NULL;
	prs->announced = answer->result == SRC_OK;
}

static void prs_on_rows(void *arg, const struct src_answer *answer)
{
	struct prs *prs = arg;

	prs->reading = NULL;
	if (answer->result != SRC_OK) {
		uv_timer_start(&prs->read, prs_on_read_timer, PRS_RETRY_MS, 0);
		return;
	}
	for (guint i = 0; i < answer->changes->len; i++) {
		const struct src_change *change = answer->changes->pdata[i];
		g_auto(GStrv) words = g_strsplit(change->text ? change->text : "", " ", 2);
		g_autofree char *host = NULL;
		uint16_t port;

		/* Rows hold an address and a zone. */
		if (change->gone || g_strv_length(words) != 2 ||
		    !gateway_settings_split_address(words[0], &host, &port) ||
		    strcmp(words[0], prs->address) == 0)
			continue;
		prs_know(prs, words[0], change->id, words[1]);
	}
	prs_tell(prs, true);
	uv_timer_start(&prs->read, prs_on_read_timer,
		       PRS_READ_EVERY_MS +
			       (uint64_t)g_rand_int_range(prs->env->rand, 0, PRS_READ_SPREAD_MS),
		       0);
}

static void prs_on_read_timer(uv_timer_t *timer)
{
	struct prs *prs = timer->data;
	struct env *env = prs->env;

	if (!prs->announced && !prs->announce)
		prs_announce(prs);
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	prs->reading = env->source->ops->read(env->source->ctx, SRC_INSTANCES, prs_on_rows, prs);
}

bool prs_decode(const void *buf, size_t len, struct prs_message *out, GVariant **keep)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(PRS_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) iter = NULL;
	struct prs_load load;
	guint32 kv;
	guint32 prefill;
	gboolean leaving;
	gboolean ends;
	guint32 valid;

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&s&stuba" PRS_LOAD_TYPE ")", &out->instance, &out->address,
		      &out->zone, &out->incarnation, &valid, &ends, &iter);
	out->valid_ms = valid;
	out->leaving = ends;
	out->loads = g_array_new(FALSE, FALSE, sizeof(struct prs_load));
	while (g_variant_iter_next(iter, "(&stuuuub)", &load.upstream, &load.started_ms,
				   &load.load.open, &kv, &prefill, &load.load.copies, &leaving)) {
		load.leaving = leaving;
		load.load.kv_tokens = kv;
		load.load.prefill_tokens = prefill;
		g_array_append_val(out->loads, load);
	}
	*keep = root;
	return true;
}

/* Takes what a peer tells of one upstream. */
static void prs_take(struct prs *prs, const struct prs_load *load, const struct prs_message *from,
		     uint64_t now_us)
{
	struct fups *up = fleet_find(prs->env->fleet, load->upstream);

	if (!up || fups_started_ms(up) != load->started_ms)
		return;
	fleet_set_peer(prs->env->fleet, load->upstream, from->instance, &load->load,
		       now_us + from->valid_ms * 1000ULL);
	if (load->leaving)
		fups_set_leaving(up, now_us);
}

static void prs_on_message(void *ctx, const void *buf, size_t len)
{
	struct prs *prs = ctx;
	struct prs_message message;
	g_autoptr(GVariant) keep = NULL;
	struct prs_peer *peer;
	uint64_t now_us = env_now_us();

	const uint8_t *bytes = buf;

	metric_add(prs->env->metric, METRIC_BUS_MESSAGES_RECEIVED, 1);
	if (len > 0 && bytes[0] != PRS_LOADS) {
		if (prs->other)
			prs->other(prs->other_ctx, bytes[0], bytes + 1, len - 1);
		return;
	}
	if (len == 0 || !prs_decode(bytes + 1, len - 1, &message, &keep)) {
		metric_add(prs->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	/* What a peer no longer names it has no load on. */
	fleet_drop_peer(prs->env->fleet, message.instance);
	if (message.leaving) {
		g_hash_table_remove(prs->peers, message.address);
	} else {
		peer = prs_know(prs, message.address, message.instance, message.zone);
		if (peer->incarnation != message.incarnation)
			log_event(LOG_MEMBER_JOINED, "member", message.instance, "address",
				  message.address, NULL);
		peer->incarnation = message.incarnation;
		peer->heard_us = now_us;
	}
	/* An instance that stops still has work under way. */
	for (guint i = 0; i < message.loads->len; i++) {
		const struct prs_load *load = &g_array_index(message.loads, struct prs_load, i);

		prs_take(prs, load, &message, now_us);
	}
	g_array_free(message.loads, TRUE);
}

static void prs_on_tick(uv_timer_t *timer)
{
	struct prs *prs = timer->data;
	uint64_t now_us = env_now_us();
	uint32_t live = 1;
	GHashTableIter iter;
	const struct prs_peer *peer;

	g_hash_table_iter_init(&iter, prs->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->heard_us && now_us - peer->heard_us < PRS_LIVE_US)
			live++;
	}
	prs->env->instances = live;
	metric_set(prs->env->metric, METRIC_MEMBERS, live);
	prs_hurry(prs);
	if (!prs->leaving)
		prs_tell(prs, false);
}
