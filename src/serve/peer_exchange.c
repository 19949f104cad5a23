#include "peer_exchange.h"

#include "flamingolatch/bus.h"

#include <stdlib.h>
#include <string.h>

#define PEER_EXCHANGE_REPORT_TYPE                                                                  \
	"(ssstuba(stuuuub))" /* instance, address, zone, incarnation, validity, ... */
#define PEER_EXCHANGE_LOAD_TYPE                                                                    \
	"(stuuuub)" /* upstream, start, open, memory, unread tokens, leaving */
#define PEER_EXCHANGE_TICK_MS		50
#define PEER_EXCHANGE_VALID_ROUND_COUNT 4 /* a class's rounds for which a message holds */
#define PEER_EXCHANGE_VALID_MIN_MS	1500
#define PEER_EXCHANGE_UNCHANGED_ROUND_COUNT                                                        \
	3 /* a message that tells nothing new is sent this seldom */
#define PEER_EXCHANGE_MSG_REPORT                                                                   \
	1 /* type of the messages of this file; the others are passed on                           \
	   */
#define PEER_EXCHANGE_PLACEMENT_INTERVAL_MS                                                        \
	15 /* least time between two messages about placed generations */
#define PEER_EXCHANGE_NOTICE_US (2000ULL * 1000) /* a notice is told on for so long */
#define PEER_EXCHANGE_MAX_NOTICES                                                                  \
	16 /* in a message: two waves at 60 instances; more come with the list */
#define PEER_EXCHANGE_CLASS_COUNT 3
#define PEER_EXCHANGE_LIVE_US	  (3ULL * 1000 * 1000) /* silence after which a peer is not counted */
#define PEER_EXCHANGE_FORGET_US	  (20ULL * 1000 * 1000) /* silence after which nothing is sent */
#define PEER_EXCHANGE_FIRST_READ_MS                                                                \
	1500 /* after the start, when others have announced themselves */
#define PEER_EXCHANGE_READ_INTERVAL_MS 20000
#define PEER_EXCHANGE_READ_RETRY_MS    2000
#define PEER_EXCHANGE_READ_JITTER_MS   1000

/* What is spent on the peers of one distance. */
struct peer_exchange_class {
	uint32_t sends_per_s;
	uint32_t rest_ms; /* least time between two rounds */
	uint32_t most;	  /* peers that are told, by rank; 0 means all */
};

static const struct peer_exchange_class peer_exchange_classes[PEER_EXCHANGE_CLASS_COUNT] = {
	[FUPS_SAME_ZONE] = { .sends_per_s = 30, .rest_ms = 100 },
	[FUPS_SAME_REGION] = { .sends_per_s = 16, .rest_ms = 150, .most = 24 },
	[FUPS_FAR] = { .sends_per_s = 8, .rest_ms = 300, .most = 8 },
};

struct peer_exchange_peer {
	char *address;
	char *instance;
	char *zone;
	enum fups_distance distance;
	uint32_t rank; /* orders the peers of a class, other for every instance */
	uint64_t incarnation;
	uint64_t known_us; /* when it was last read of or heard of */
	uint64_t heard_us; /* 0 before */
};

struct peer_exchange {
	struct env *env;
	struct bus *bus;
	char *address;
	uint64_t incarnation;
	GHashTable *peers; /* address to struct peer_exchange_peer */
	GByteArray *next;
	struct {
		GByteArray *last; /* told last */
		uint64_t told_us;
	} rounds[PEER_EXCHANGE_CLASS_COUNT];
	uv_timer_t tick;
	uv_timer_t read;
	struct store_call *announce;
	struct store_call *reading;
	bool announced;
	bool leaving;
	peer_exchange_message_cb other;
	void *other_ctx;
};

static void peer_exchange_on_message(void *ctx, const void *buf, size_t len);
static void peer_exchange_on_tick(uv_timer_t *timer);
static void peer_exchange_on_read_timer(uv_timer_t *timer);
static void peer_exchange_on_announced(void *arg, const struct store_answer *answer);
static void peer_exchange_on_rows(void *arg, const struct store_answer *answer);
static void peer_exchange_announce(struct peer_exchange *peer_exchange);

/* lifetime */

static void peer_exchange_peer_free(gpointer data)
{
	struct peer_exchange_peer *peer = data;

	g_free(peer->address);
	g_free(peer->instance);
	g_free(peer->zone);
	g_free(peer);
}

struct peer_exchange *peer_exchange_create(struct env *env, GError **error)
{
	struct peer_exchange *peer_exchange = g_new0(struct peer_exchange, 1);
	struct bus_conf conf = { 0 };
	g_autofree char *host = NULL;

	gset_split(env->set->bus, &host, &conf.port);
	conf.address = host;
	peer_exchange->env = env;
	peer_exchange->incarnation = (uint64_t)(g_get_real_time() / 1000);
	peer_exchange->bus =
		bus_create(env->loop, &conf, peer_exchange_on_message, peer_exchange, error);
	if (!peer_exchange->bus) {
		g_free(peer_exchange);
		return NULL;
	}
	peer_exchange->address = g_strdup_printf("%s:%u", host, bus_port(peer_exchange->bus));
	peer_exchange->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_exchange_peer_free);
	peer_exchange->next = g_byte_array_new();
	for (uint32_t i = 0; i < PEER_EXCHANGE_CLASS_COUNT; i++)
		peer_exchange->rounds[i].last = g_byte_array_new();
	uv_timer_init(env->loop, &peer_exchange->tick);
	uv_timer_init(env->loop, &peer_exchange->read);
	peer_exchange->tick.data = peer_exchange;
	peer_exchange->read.data = peer_exchange;
	uv_timer_start(&peer_exchange->tick, peer_exchange_on_tick, PEER_EXCHANGE_TICK_MS,
		       PEER_EXCHANGE_TICK_MS);
	uv_timer_start(&peer_exchange->read, peer_exchange_on_read_timer,
		       PEER_EXCHANGE_FIRST_READ_MS, 0);
	peer_exchange_announce(peer_exchange);
	return peer_exchange;
}

static void peer_exchange_on_closed(uv_handle_t *handle)
{
	struct peer_exchange *peer_exchange = handle->data;

	g_hash_table_destroy(peer_exchange->peers);
	for (uint32_t i = 0; i < PEER_EXCHANGE_CLASS_COUNT; i++)
		g_byte_array_free(peer_exchange->rounds[i].last, TRUE);
	g_byte_array_free(peer_exchange->next, TRUE);
	g_free(peer_exchange->address);
	g_free(peer_exchange);
}

void peer_exchange_destroy(struct peer_exchange *peer_exchange)
{
	if (!peer_exchange)
		return;
	if (peer_exchange->announce)
		peer_exchange->env->store_client->ops->cancel(peer_exchange->announce);
	if (peer_exchange->reading)
		peer_exchange->env->store_client->ops->cancel(peer_exchange->reading);
	bus_destroy(peer_exchange->bus);
	uv_close((uv_handle_t *)&peer_exchange->tick, NULL);
	uv_close((uv_handle_t *)&peer_exchange->read, peer_exchange_on_closed);
}

/* commands */

void peer_exchange_encode(GByteArray *out, const struct peer_exchange_report *message)
{
	GVariantBuilder loads;
	GVariant *root;

	g_variant_builder_init(&loads, G_VARIANT_TYPE("a" PEER_EXCHANGE_LOAD_TYPE));
	for (guint i = 0; i < message->loads->len; i++) {
		const struct peer_exchange_load *load =
			&g_array_index(message->loads, struct peer_exchange_load, i);

		g_variant_builder_add(&loads, PEER_EXCHANGE_LOAD_TYPE, load->upstream,
				      load->started_ms, load->load.open,
				      (guint32)MIN(load->load.kv_tokens, G_MAXUINT32),
				      (guint32)MIN(load->load.prefill_tokens, G_MAXUINT32),
				      load->load.copies, load->leaving);
	}
	root = g_variant_ref_sink(g_variant_new(
		PEER_EXCHANGE_REPORT_TYPE, message->instance, message->address, message->zone,
		message->incarnation, (guint32)message->valid_ms, message->leaving, &loads));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

static void peer_exchange_add_load(void *ctx, struct fups *up)
{
	GArray *loads = ctx;
	struct peer_exchange_load load = { fups_id(up), fups_started_ms(up), *fups_own(up),
					   fups_state(up) == FUPS_LEAVING };

	g_array_append_val(loads, load);
}

/* Gathers what is told: own load, and notices that are still news. */
static void peer_exchange_collect_loads(const struct peer_exchange *peer_exchange, GArray *loads)
{
	uint64_t now_us = env_now_us();

	fleet_each_active(peer_exchange->env->fleet,
			  now_us > PEER_EXCHANGE_NOTICE_US ? now_us - PEER_EXCHANGE_NOTICE_US : 0,
			  PEER_EXCHANGE_MAX_NOTICES, peer_exchange_add_load, loads);
}

static gint peer_exchange_compare_rank(gconstpointer a, gconstpointer b)
{
	const struct peer_exchange_peer *const *left = a;
	const struct peer_exchange_peer *const *right = b;

	return (*left)->rank < (*right)->rank ? -1 : (*left)->rank > (*right)->rank;
}

/* Returns the peers of a class that are told. */
static GPtrArray *peer_exchange_recipients(struct peer_exchange *peer_exchange, uint32_t class,
					   uint64_t now_us)
{
	GPtrArray *peers = g_ptr_array_new();
	GHashTableIter iter;
	struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, peer_exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_us - MAX(peer->known_us, peer->heard_us) > PEER_EXCHANGE_FORGET_US)
			g_hash_table_iter_remove(&iter);
		else if (peer->distance == (enum fups_distance) class)
			g_ptr_array_add(peers, peer);
	}
	if (peer_exchange_classes[class].most && peers->len > peer_exchange_classes[class].most) {
		g_ptr_array_sort(peers, peer_exchange_compare_rank);
		g_ptr_array_set_size(peers, (gint)peer_exchange_classes[class].most);
	}
	return peers;
}

void peer_exchange_set_message_cb(struct peer_exchange *peer_exchange, peer_exchange_message_cb cb,
				  void *ctx)
{
	peer_exchange->other = cb;
	peer_exchange->other_ctx = ctx;
}

void peer_exchange_send(struct peer_exchange *peer_exchange, const char *address, uint8_t type,
			const GByteArray *bytes)
{
	g_autoptr(GByteArray) message = g_byte_array_sized_new(bytes->len + 1);

	g_byte_array_append(message, &type, 1);
	g_byte_array_append(message, bytes->data, bytes->len);
	if (!bus_send(peer_exchange->bus, address, message->data, message->len))
		return;
	metric_add(peer_exchange->env->metric, METRIC_BUS_SENT, 1);
	metric_add(peer_exchange->env->metric, METRIC_BUS_SENT_BYTES, message->len);
}

/* Tells the peers of one class, when the load changed or after a rest. */
static void peer_exchange_report_to_class(struct peer_exchange *peer_exchange, uint32_t class,
					  bool urgent, GArray *loads)
{
	const struct peer_exchange_class *rules = &peer_exchange_classes[class];
	uint64_t now_us = env_now_us();
	g_autoptr(GPtrArray) peers = peer_exchange_recipients(peer_exchange, class, now_us);
	uint64_t round_ms = MAX(rules->rest_ms, peers->len * 1000ULL / rules->sends_per_s);
	uint64_t rested_ms = (now_us - peer_exchange->rounds[class].told_us) / 1000;
	struct peer_exchange_report message = { .instance = peer_exchange->env->set->instance,
						.address = peer_exchange->address,
						.zone = peer_exchange->env->set->zone,
						.incarnation = peer_exchange->incarnation,
						.valid_ms = (uint32_t)MAX(
							round_ms * PEER_EXCHANGE_VALID_ROUND_COUNT,
							PEER_EXCHANGE_VALID_MIN_MS),
						.leaving = peer_exchange->leaving,
						.loads = loads };
	GByteArray *swap = peer_exchange->rounds[class].last;

	if (peers->len == 0 || (!urgent && rested_ms < round_ms))
		return;
	g_byte_array_set_size(peer_exchange->next, 0);
	peer_exchange_encode(peer_exchange->next, &message);
	if (!urgent && rested_ms < round_ms * PEER_EXCHANGE_UNCHANGED_ROUND_COUNT &&
	    peer_exchange->next->len == swap->len &&
	    memcmp(peer_exchange->next->data, swap->data, swap->len) == 0)
		return;
	if (class == FUPS_SAME_REGION)
		peer_exchange->env->far_ms = (uint32_t)round_ms;
	peer_exchange->rounds[class].told_us = now_us;
	peer_exchange->rounds[class].last = peer_exchange->next;
	peer_exchange->next = swap;
	for (guint i = 0; i < peers->len; i++) {
		const struct peer_exchange_peer *peer = peers->pdata[i];
		const GByteArray *bytes = peer_exchange->rounds[class].last;

		peer_exchange_send(peer_exchange, peer->address, PEER_EXCHANGE_MSG_REPORT, bytes);
	}
}

static void peer_exchange_report_to_all(struct peer_exchange *peer_exchange, bool urgent)
{
	g_autoptr(GArray) loads = g_array_new(FALSE, FALSE, sizeof(struct peer_exchange_load));

	if (g_hash_table_size(peer_exchange->peers) == 0)
		return;
	peer_exchange_collect_loads(peer_exchange, loads);
	for (uint32_t class = 0; class < PEER_EXCHANGE_CLASS_COUNT; class ++)
		peer_exchange_report_to_class(peer_exchange, class, urgent, loads);
}

void peer_exchange_report_placement(struct peer_exchange *peer_exchange)
{
	g_autoptr(GArray) loads = NULL;
	uint64_t rested_us = env_now_us() - peer_exchange->rounds[FUPS_SAME_ZONE].told_us;

	if (!peer_exchange->env->placed || peer_exchange->leaving ||
	    rested_us < PEER_EXCHANGE_PLACEMENT_INTERVAL_MS * 1000ULL)
		return;
	peer_exchange->env->placed = false;
	loads = g_array_new(FALSE, FALSE, sizeof(struct peer_exchange_load));
	peer_exchange_collect_loads(peer_exchange, loads);
	peer_exchange_report_to_class(peer_exchange, FUPS_SAME_ZONE, true, loads);
}

void peer_exchange_leave(struct peer_exchange *peer_exchange)
{
	peer_exchange->leaving = true;
	peer_exchange_report_to_all(peer_exchange, true);
	peer_exchange_announce(peer_exchange);
}

/* queries */

const char *peer_exchange_address(const struct peer_exchange *peer_exchange)
{
	return peer_exchange->address;
}

static gint peer_exchange_compare_hash(gconstpointer a, gconstpointer b)
{
	const char *left = *(const char *const *)a;
	const char *right = *(const char *const *)b;
	guint left_hash = g_str_hash(left) * 2654435761U;
	guint right_hash = g_str_hash(right) * 2654435761U;

	if (left_hash != right_hash)
		return left_hash < right_hash ? -1 : 1;
	return strcmp(left, right);
}

GPtrArray *peer_exchange_group(struct peer_exchange *peer_exchange, bool region)
{
	GPtrArray *group = g_ptr_array_new();
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, peer_exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->distance == FUPS_SAME_ZONE ||
		    (region && peer->distance == FUPS_SAME_REGION))
			g_ptr_array_add(group, peer->address);
	}
	g_ptr_array_add(group, peer_exchange->address);
	g_ptr_array_sort(group, peer_exchange_compare_hash);
	return group;
}

/* helpers */

/* Returns how far a zone is. */
static enum fups_distance peer_exchange_distance(const struct peer_exchange *peer_exchange,
						 const char *zone)
{
	const struct gset *set = peer_exchange->env->set;

	if (strcmp(zone, set->zone) == 0)
		return FUPS_SAME_ZONE;
	return g_strcmp0(gset_region(set, zone), set->region) == 0 ? FUPS_SAME_REGION : FUPS_FAR;
}

static struct peer_exchange_peer *peer_exchange_add_peer(struct peer_exchange *peer_exchange,
							 const char *address, const char *instance,
							 const char *zone)
{
	struct peer_exchange_peer *peer = g_hash_table_lookup(peer_exchange->peers, address);

	if (!peer) {
		peer = g_new0(struct peer_exchange_peer, 1);
		peer->address = g_strdup(address);
		peer->rank = g_str_hash(address) ^ g_str_hash(peer_exchange->address) * 2654435761U;
		g_hash_table_insert(peer_exchange->peers, peer->address, peer);
	}
	if (g_strcmp0(peer->zone, zone) != 0) {
		g_free(peer->zone);
		peer->zone = g_strdup(zone);
		peer->distance = peer_exchange_distance(peer_exchange, zone);
	}
	if (g_strcmp0(peer->instance, instance) != 0) {
		g_free(peer->instance);
		peer->instance = g_strdup(instance);
	}
	peer->known_us = env_now_us();
	return peer;
}

static void peer_exchange_announce(struct peer_exchange *peer_exchange)
{
	struct env *env = peer_exchange->env;
	g_autofree char *text = g_strdup_printf("%s %s", peer_exchange->address, env->set->zone);

	if (peer_exchange->announce)
		env->store_client->ops->cancel(peer_exchange->announce);
	metric_add(env->metric, METRIC_TABLE_WRITES, 1);
	peer_exchange->announce = env->store_client->ops->announce(
		env->store_client->ctx, env->set->instance, peer_exchange->leaving ? NULL : text,
		peer_exchange_on_announced, peer_exchange);
}

static void peer_exchange_on_announced(void *arg, const struct store_answer *answer)
{
	struct peer_exchange *peer_exchange = arg;

	peer_exchange->announce = NULL;
	peer_exchange->announced = answer->result == STORE_OK;
}

static void peer_exchange_on_rows(void *arg, const struct store_answer *answer)
{
	struct peer_exchange *peer_exchange = arg;

	peer_exchange->reading = NULL;
	if (answer->result != STORE_OK) {
		uv_timer_start(&peer_exchange->read, peer_exchange_on_read_timer,
			       PEER_EXCHANGE_READ_RETRY_MS, 0);
		return;
	}
	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];
		g_auto(GStrv) words = g_strsplit(change->text ? change->text : "", " ", 2);
		g_autofree char *host = NULL;
		uint16_t port;

		/* Rows hold an address and a zone. */
		if (change->gone || g_strv_length(words) != 2 ||
		    !gset_split(words[0], &host, &port) ||
		    strcmp(words[0], peer_exchange->address) == 0)
			continue;
		peer_exchange_add_peer(peer_exchange, words[0], change->id, words[1]);
	}
	peer_exchange_report_to_all(peer_exchange, true);
	uv_timer_start(&peer_exchange->read, peer_exchange_on_read_timer,
		       PEER_EXCHANGE_READ_INTERVAL_MS +
			       (uint64_t)g_rand_int_range(peer_exchange->env->rand, 0,
							  PEER_EXCHANGE_READ_JITTER_MS),
		       0);
}

static void peer_exchange_on_read_timer(uv_timer_t *timer)
{
	struct peer_exchange *peer_exchange = timer->data;
	struct env *env = peer_exchange->env;

	if (!peer_exchange->announced && !peer_exchange->announce)
		peer_exchange_announce(peer_exchange);
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	peer_exchange->reading =
		env->store_client->ops->read(env->store_client->ctx, STORE_TABLE_INSTANCES,
					     peer_exchange_on_rows, peer_exchange);
}

bool peer_exchange_decode(const void *buf, size_t len, struct peer_exchange_report *out,
			  GVariant **keep)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(PEER_EXCHANGE_REPORT_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) iter = NULL;
	struct peer_exchange_load load;
	guint32 kv;
	guint32 prefill;
	gboolean leaving;
	gboolean ends;
	guint32 valid;

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&s&stuba" PEER_EXCHANGE_LOAD_TYPE ")", &out->instance,
		      &out->address, &out->zone, &out->incarnation, &valid, &ends, &iter);
	out->valid_ms = valid;
	out->leaving = ends;
	out->loads = g_array_new(FALSE, FALSE, sizeof(struct peer_exchange_load));
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
static void peer_exchange_apply_load(struct peer_exchange *peer_exchange,
				     const struct peer_exchange_load *load,
				     const struct peer_exchange_report *from, uint64_t now_us)
{
	struct fups *up = fleet_find(peer_exchange->env->fleet, load->upstream);

	if (!up || fups_started_ms(up) != load->started_ms)
		return;
	fleet_set_peer(peer_exchange->env->fleet, load->upstream, from->instance, &load->load,
		       now_us + from->valid_ms * 1000ULL);
	if (load->leaving)
		fups_set_leaving(up, now_us);
}

static void peer_exchange_on_message(void *ctx, const void *buf, size_t len)
{
	struct peer_exchange *peer_exchange = ctx;
	struct peer_exchange_report message;
	g_autoptr(GVariant) keep = NULL;
	struct peer_exchange_peer *peer;
	uint64_t now_us = env_now_us();

	const uint8_t *bytes = buf;

	metric_add(peer_exchange->env->metric, METRIC_BUS_RECEIVED, 1);
	if (len > 0 && bytes[0] != PEER_EXCHANGE_MSG_REPORT) {
		if (peer_exchange->other)
			peer_exchange->other(peer_exchange->other_ctx, bytes[0], bytes + 1,
					     len - 1);
		return;
	}
	if (len == 0 || !peer_exchange_decode(bytes + 1, len - 1, &message, &keep)) {
		metric_add(peer_exchange->env->metric, METRIC_BUS_BAD, 1);
		log_event(LOG_BUS_BAD_FRAME, NULL);
		return;
	}
	/* What a peer no longer names it has no load on. */
	fleet_drop_peer(peer_exchange->env->fleet, message.instance);
	if (message.leaving) {
		g_hash_table_remove(peer_exchange->peers, message.address);
	} else {
		peer = peer_exchange_add_peer(peer_exchange, message.address, message.instance,
					      message.zone);
		if (peer->incarnation != message.incarnation)
			log_event(LOG_MEMBER_JOINED, "member", message.instance, "address",
				  message.address, NULL);
		peer->incarnation = message.incarnation;
		peer->heard_us = now_us;
	}
	/* An instance that stops still has work under way. */
	for (guint i = 0; i < message.loads->len; i++) {
		const struct peer_exchange_load *load =
			&g_array_index(message.loads, struct peer_exchange_load, i);

		peer_exchange_apply_load(peer_exchange, load, &message, now_us);
	}
	g_array_free(message.loads, TRUE);
}

static void peer_exchange_on_tick(uv_timer_t *timer)
{
	struct peer_exchange *peer_exchange = timer->data;
	uint64_t now_us = env_now_us();
	uint32_t live = 1;
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, peer_exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->heard_us && now_us - peer->heard_us < PEER_EXCHANGE_LIVE_US)
			live++;
	}
	peer_exchange->env->instances = live;
	metric_set(peer_exchange->env->metric, METRIC_MEMBERS, live);
	peer_exchange_report_placement(peer_exchange);
	if (!peer_exchange->leaving)
		peer_exchange_report_to_all(peer_exchange, false);
}
