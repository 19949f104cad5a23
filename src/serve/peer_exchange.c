#include "peer_exchange.h"

#include "flamingolatch/bus.h"

#include <stdlib.h>
#include <string.h>

/* instance, address, zone, incarnation, validity in ms, leaving, loads */
#define PEER_EXCHANGE_REPORT_TYPE "(ssstuba(stuuuuub))"
/* upstream, its start (wall clock, ms), open requests, expected and used KV tokens, prefill tokens,
 * incoming KV copies, leaving */
#define PEER_EXCHANGE_LOAD_TYPE "(stuuuuub)"
/* instance and address of the sender, zone, validity in ms, instances in the zone, loads */
#define PEER_EXCHANGE_TOTALS_TYPE "(sssuua(uuuuqqb))"
/* key of the upstream, expected and used KV tokens, prefill tokens, open requests, incoming KV
 * copies, leaving */
#define PEER_EXCHANGE_TOTAL_TYPE "(uuuuqqb)"
#define PEER_EXCHANGE_TICK_MS	 50
/* A report is valid for this many rounds of its class. */
#define PEER_EXCHANGE_VALID_ROUND_COUNT 4
#define PEER_EXCHANGE_VALID_MIN_MS	1500
/* An unchanged report is sent only once in this many rounds. */
#define PEER_EXCHANGE_UNCHANGED_ROUND_COUNT 3
/* Types of messages; those of other types go to the callback. */
#define PEER_EXCHANGE_MSG_REPORT 1
#define PEER_EXCHANGE_MSG_TOTALS 7
/* The totals of a zone are valid for several of the intervals at which another instance gets them.
 */
#define PEER_EXCHANGE_TOTALS_VALID_MS 3000
/* Instances of a zone know its load this long after their start. */
#define PEER_EXCHANGE_TOTALS_START_US (1500ULL * 1000)
/* Minimum time from a report to the zone until another is sent because of a placed generation. */
#define PEER_EXCHANGE_PLACEMENT_INTERVAL_MS 15
/* For this long, reports include an upstream that became known to be leaving. */
#define PEER_EXCHANGE_NOTICE_US (2000ULL * 1000)
/* Leaving upstreams in a report. Enough for two waves of shutdowns with 60 instances; peers learn
 * the others from the instance list. */
#define PEER_EXCHANGE_MAX_NOTICES 16
#define PEER_EXCHANGE_CLASS_COUNT 3
/* A peer that is silent for longer is not counted as a live instance. */
#define PEER_EXCHANGE_LIVE_US (3ULL * 1000 * 1000)
/* A peer that is silent for longer and not read from the store gets no more reports: two reads of
 * the instances' rows have not named it. */
#define PEER_EXCHANGE_FORGET_US (45ULL * 1000 * 1000)
/* When all instances start for the first time they announce themselves in the first interval, and
 * the rows are read after the second. */
#define PEER_EXCHANGE_FIRST_ANNOUNCE_MS 600
#define PEER_EXCHANGE_FIRST_READ_MS	1500
#define PEER_EXCHANGE_READ_INTERVAL_MS	20000
#define PEER_EXCHANGE_READ_JITTER_MS	1000
/* An instance that wrote its first row after it had read the others' reads again within this time:
 * of two that start together, the one whose row is written last finds the other. */
#define PEER_EXCHANGE_REREAD_JITTER_MS 300
/* After a restoration of the store the rows are read at a random time in the first interval; an
 * instance that has a delegate waits this much longer for what the delegate reads. */
#define PEER_EXCHANGE_CHECK_JITTER_MS	 1000
#define PEER_EXCHANGE_CHECK_DELEGATED_MS 2000
/* A row that was written this lately may be later than a read that lacks it. */
#define PEER_EXCHANGE_ROW_SETTLE_US (1000ULL * 1000)
/* Delays before a failed call is repeated: they double, and a random half is left out. */
#define PEER_EXCHANGE_RETRY_MIN_MS 500
#define PEER_EXCHANGE_RETRY_MAX_MS 8000

/* Messages to the peers of one distance. */
struct peer_exchange_class {
	uint32_t messages_per_s;
	enum metric_counter bytes_metric;
};

static const struct peer_exchange_class peer_exchange_classes[PEER_EXCHANGE_CLASS_COUNT] = {
	[FLEET_SAME_ZONE] = { 30, METRIC_BUS_REPORT_BYTES_ZONE },
	[FLEET_SAME_REGION] = { 5, METRIC_BUS_REPORT_BYTES_REGION },
	[FLEET_OTHER_REGION] = { 3, METRIC_BUS_REPORT_BYTES_FAR },
};
/* Shortest time between two reports to the own zone. */
#define PEER_EXCHANGE_ZONE_INTERVAL_MS 100

/* How many instances of another zone are alive, by its last totals. */
struct peer_exchange_zone {
	uint32_t instances;
	uint64_t expires_us;
};

struct peer_exchange_peer {
	char *address;
	char *instance;
	char *zone;
	enum fleet_upstream_distance distance;
	uint64_t incarnation;
	uint64_t last_known_us;	 /* when its row was last read or its report received */
	uint64_t last_report_us; /* when its last report was received; 0 before the first */
	bool listed;		 /* the last read of the rows had its row */
};

struct peer_exchange {
	struct env *env;
	struct bus *bus;
	char *address;
	uint64_t incarnation;  /* wall clock of the start, in ms */
	GHashTable *peers;     /* address to struct peer_exchange_peer */
	GHashTable *zones;     /* other zone to struct peer_exchange_zone */
	GByteArray *encoded;   /* buffer for the next report */
	GByteArray *last_sent; /* last report to the own zone, encoded */
	uint64_t sent_us;      /* when it was sent */
	uint64_t created_us;
	struct {
		double credit; /* messages that may be sent now */
		uint32_t next; /* index of the peer that is next, before the modulo */
	} totals[PEER_EXCHANGE_CLASS_COUNT];
	uv_timer_t tick;
	uv_timer_t read_timer;
	uv_timer_t announce_timer;
	struct store_call *announce_call;
	struct store_call *read_call;
	uint32_t announce_failures; /* in a row */
	uint32_t read_failures;	    /* in a row */
	uint32_t open_handles;
	uint64_t announced_us;	 /* when the row of this instance was last written; 0 before */
	bool announced;		 /* the store has the row of this instance */
	bool has_read;		 /* the rows were read at least once */
	bool reread;		 /* they are to be read again although a delegate reads them */
	uint64_t known_since_us; /* when the rows were first known, also from a delegate */
	bool delegated;
	bool leaving;
	struct {
		peer_exchange_message_cb cb;
		void *ctx;
	} message_cbs[PEER_EXCHANGE_TYPE_COUNT];
	void (*joined_cb)(void *ctx, const char *address);
	void *joined_ctx;
	struct {
		void (*cb)(void *ctx, const char *address);
		void *ctx;
	} totals_cbs[PEER_EXCHANGE_TYPE_COUNT];
	void (*row_cb)(void *ctx, const char *id, const char *text);
	void (*row_end_cb)(void *ctx);
	void *row_ctx;
	void (*read_cb)(void *ctx);
	void *read_ctx;
};

static void peer_exchange_on_message(void *ctx, const void *buf, size_t len);
static void peer_exchange_on_tick(uv_timer_t *timer);
static void peer_exchange_on_read_timer(uv_timer_t *timer);
static void peer_exchange_on_announce_timer(uv_timer_t *timer);
static void peer_exchange_on_announced(void *arg, const struct store_answer *answer);
static void peer_exchange_on_rows(void *arg, const struct store_answer *answer);
static void peer_exchange_announce(struct peer_exchange *exchange);

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
	struct peer_exchange *exchange = g_new0(struct peer_exchange, 1);
	struct bus_options conf = { 0 };
	g_autofree char *host = NULL;

	gateway_settings_split_address(env->settings->bus, &host, &conf.port);
	conf.address = host;
	exchange->env = env;
	exchange->incarnation = (uint64_t)(g_get_real_time() / 1000);
	exchange->bus = bus_create(env->loop, &conf, peer_exchange_on_message, exchange, error);
	if (!exchange->bus) {
		g_free(exchange);
		return NULL;
	}
	exchange->address = g_strdup_printf("%s:%u", host, bus_port(exchange->bus));
	exchange->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_exchange_peer_free);
	exchange->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	exchange->encoded = g_byte_array_new();
	exchange->last_sent = g_byte_array_new();
	exchange->created_us = env_now_us();
	/* Instances that start together begin with different peers. */
	for (uint32_t i = 0; i < PEER_EXCHANGE_CLASS_COUNT; i++)
		exchange->totals[i].next = g_rand_int(env->rand);
	uv_timer_init(env->loop, &exchange->tick);
	uv_timer_init(env->loop, &exchange->read_timer);
	uv_timer_init(env->loop, &exchange->announce_timer);
	exchange->open_handles = 3;
	exchange->tick.data = exchange;
	exchange->read_timer.data = exchange;
	exchange->announce_timer.data = exchange;
	uv_timer_start(&exchange->tick, peer_exchange_on_tick, PEER_EXCHANGE_TICK_MS,
		       PEER_EXCHANGE_TICK_MS);
	uv_timer_start(&exchange->read_timer, peer_exchange_on_read_timer,
		       env->settings->first_start ? PEER_EXCHANGE_FIRST_READ_MS : 0, 0);
	/* After a restart the row may still be there; the first read shows it. */
	if (env->settings->first_start)
		uv_timer_start(
			&exchange->announce_timer, peer_exchange_on_announce_timer,
			(uint64_t)g_rand_int_range(env->rand, 0, PEER_EXCHANGE_FIRST_ANNOUNCE_MS),
			0);
	return exchange;
}

static void peer_exchange_on_closed(uv_handle_t *handle)
{
	struct peer_exchange *exchange = handle->data;

	if (--exchange->open_handles > 0)
		return;
	g_hash_table_destroy(exchange->peers);
	g_hash_table_destroy(exchange->zones);
	g_byte_array_free(exchange->last_sent, TRUE);
	g_byte_array_free(exchange->encoded, TRUE);
	g_free(exchange->address);
	g_free(exchange);
}

void peer_exchange_destroy(struct peer_exchange *exchange)
{
	if (!exchange)
		return;
	if (exchange->announce_call)
		exchange->env->store_client->ops->cancel(exchange->announce_call);
	if (exchange->read_call)
		exchange->env->store_client->ops->cancel(exchange->read_call);
	bus_destroy(exchange->bus);
	uv_close((uv_handle_t *)&exchange->tick, peer_exchange_on_closed);
	uv_close((uv_handle_t *)&exchange->read_timer, peer_exchange_on_closed);
	uv_close((uv_handle_t *)&exchange->announce_timer, peer_exchange_on_closed);
}

/* commands */

void peer_exchange_encode(GByteArray *out, const struct peer_exchange_report *report)
{
	GVariantBuilder loads;
	GVariant *root;

	g_variant_builder_init(&loads, G_VARIANT_TYPE("a" PEER_EXCHANGE_LOAD_TYPE));
	for (guint i = 0; i < report->loads->len; i++) {
		const struct peer_exchange_load *load =
			&g_array_index(report->loads, struct peer_exchange_load, i);

		g_variant_builder_add(&loads, PEER_EXCHANGE_LOAD_TYPE, load->upstream,
				      load->started_ms, load->load.open,
				      (guint32)MIN(load->load.kv_tokens, G_MAXUINT32),
				      (guint32)MIN(load->load.kv_used_tokens, G_MAXUINT32),
				      (guint32)MIN(load->load.prefill_tokens, G_MAXUINT32),
				      load->load.incoming_copies, load->leaving);
	}
	root = g_variant_ref_sink(g_variant_new(
		PEER_EXCHANGE_REPORT_TYPE, report->instance, report->address, report->zone,
		report->incarnation, (guint32)report->valid_ms, report->leaving, &loads));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

static void peer_exchange_add_load(void *ctx, struct fleet_upstream *up)
{
	GArray *loads = ctx;
	struct peer_exchange_load load = { fleet_upstream_id(up), fleet_upstream_started_ms(up),
					   *fleet_upstream_own_load(up),
					   fleet_upstream_state(up) == FLEET_UPSTREAM_LEAVING };

	g_array_append_val(loads, load);
}

/* Collects the load of this instance on each upstream, and the upstreams that became known to be
 * leaving lately. */
static void peer_exchange_collect_loads(const struct peer_exchange *exchange, GArray *loads)
{
	uint64_t now_us = env_now_us();

	fleet_foreach_active(exchange->env->fleet,
			     now_us > PEER_EXCHANGE_NOTICE_US ? now_us - PEER_EXCHANGE_NOTICE_US
							      : 0,
			     PEER_EXCHANGE_MAX_NOTICES, peer_exchange_add_load, loads);
}

/* Returns the peers of a class; forgets peers that were silent for too long. */
static GPtrArray *peer_exchange_recipients(struct peer_exchange *exchange, uint32_t class,
					   uint64_t now_us)
{
	GPtrArray *peers = g_ptr_array_new();
	GHashTableIter iter;
	struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_us - MAX(peer->last_known_us, peer->last_report_us) >
		    PEER_EXCHANGE_FORGET_US)
			g_hash_table_iter_remove(&iter);
		else if (peer->distance == (enum fleet_upstream_distance) class)
			g_ptr_array_add(peers, peer);
	}
	return peers;
}

void peer_exchange_set_message_cb(struct peer_exchange *exchange, uint8_t type,
				  peer_exchange_message_cb cb, void *ctx)
{
	exchange->message_cbs[type].cb = cb;
	exchange->message_cbs[type].ctx = ctx;
}

void peer_exchange_set_joined_cb(struct peer_exchange *exchange,
				 void (*cb)(void *ctx, const char *address), void *ctx)
{
	exchange->joined_cb = cb;
	exchange->joined_ctx = ctx;
}

void peer_exchange_set_totals_cb(struct peer_exchange *exchange, uint8_t type,
				 void (*cb)(void *ctx, const char *address), void *ctx)
{
	exchange->totals_cbs[type].cb = cb;
	exchange->totals_cbs[type].ctx = ctx;
}

void peer_exchange_set_row_cb(struct peer_exchange *exchange,
			      void (*cb)(void *ctx, const char *id, const char *text),
			      void (*end)(void *ctx), void *ctx)
{
	exchange->row_cb = cb;
	exchange->row_end_cb = end;
	exchange->row_ctx = ctx;
}

void peer_exchange_set_read_cb(struct peer_exchange *exchange, void (*cb)(void *ctx), void *ctx)
{
	exchange->read_cb = cb;
	exchange->read_ctx = ctx;
}

void peer_exchange_set_delegated(struct peer_exchange *exchange, bool delegated)
{
	exchange->delegated = delegated;
}

bool peer_exchange_send(struct peer_exchange *exchange, const char *address, uint8_t type,
			const GByteArray *bytes)
{
	g_autoptr(GByteArray) message = g_byte_array_sized_new(bytes->len + 1);

	g_byte_array_append(message, &type, 1);
	g_byte_array_append(message, bytes->data, bytes->len);
	if (!bus_send(exchange->bus, address, message->data, message->len))
		return false;
	metric_add(exchange->env->metric, METRIC_BUS_MESSAGES_SENT, 1);
	metric_add(exchange->env->metric, METRIC_BUS_BYTES_SENT, message->len);
	return true;
}

uint32_t peer_exchange_send_to_all(struct peer_exchange *exchange, uint8_t type,
				   const GByteArray *bytes, bool zone_only)
{
	uint32_t sent = 0;
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (!zone_only || peer->distance == FLEET_SAME_ZONE)
			sent += peer_exchange_send(exchange, peer->address, type, bytes);
	}
	return sent;
}

void peer_exchange_send_to_some(struct peer_exchange *exchange, uint8_t type,
				const GByteArray *bytes, uint32_t count)
{
	g_autofree char **addresses =
		(char **)g_hash_table_get_keys_as_array(exchange->peers, NULL);
	uint32_t peer_count = g_hash_table_size(exchange->peers);

	for (uint32_t i = 0; i < count && peer_count > 0; i++)
		peer_exchange_send(
			exchange,
			addresses[g_rand_int_range(exchange->env->rand, 0, (gint32)peer_count)],
			type, bytes);
}

/* Sends a message to a peer and counts its bytes for its class. */
static void peer_exchange_send_report(struct peer_exchange *exchange,
				      const struct peer_exchange_peer *peer, uint8_t type,
				      const GByteArray *bytes)
{
	if (peer_exchange_send(exchange, peer->address, type, bytes))
		metric_add(exchange->env->metric,
			   peer_exchange_classes[peer->distance].bytes_metric, bytes->len);
}

/* Encodes a report of the own load. */
static void peer_exchange_encode_own(struct peer_exchange *exchange, uint64_t round_ms)
{
	g_autoptr(GArray) loads = g_array_new(FALSE, FALSE, sizeof(struct peer_exchange_load));
	struct peer_exchange_report report = { .instance = exchange->env->settings->instance,
					       .address = exchange->address,
					       .zone = exchange->env->settings->zone,
					       .incarnation = exchange->incarnation,
					       .valid_ms = (uint32_t)MAX(
						       round_ms * PEER_EXCHANGE_VALID_ROUND_COUNT,
						       PEER_EXCHANGE_VALID_MIN_MS),
					       .leaving = exchange->leaving,
					       .loads = loads };

	peer_exchange_collect_loads(exchange, loads);
	g_byte_array_set_size(exchange->encoded, 0);
	peer_exchange_encode(exchange->encoded, &report);
}

/* Reports to the peers of the own zone if their next round is due, an unchanged load only after
 * several rounds; always if immediate. */
static void peer_exchange_report_to_zone(struct peer_exchange *exchange, bool immediate)
{
	uint64_t now_us = env_now_us();
	g_autoptr(GPtrArray) peers = peer_exchange_recipients(exchange, FLEET_SAME_ZONE, now_us);
	uint64_t round_ms =
		MAX(PEER_EXCHANGE_ZONE_INTERVAL_MS,
		    peers->len * 1000ULL / peer_exchange_classes[FLEET_SAME_ZONE].messages_per_s);
	uint64_t elapsed_ms = (now_us - exchange->sent_us) / 1000;
	GByteArray *previous = exchange->last_sent;

	if (peers->len == 0 || (!immediate && elapsed_ms < round_ms))
		return;
	peer_exchange_encode_own(exchange, round_ms);
	if (!immediate && elapsed_ms < round_ms * PEER_EXCHANGE_UNCHANGED_ROUND_COUNT &&
	    exchange->encoded->len == previous->len &&
	    memcmp(exchange->encoded->data, previous->data, previous->len) == 0)
		return;
	exchange->sent_us = now_us;
	exchange->last_sent = exchange->encoded;
	exchange->encoded = previous;
	for (guint i = 0; i < peers->len; i++)
		peer_exchange_send_report(exchange, peers->pdata[i], PEER_EXCHANGE_MSG_REPORT,
					  exchange->last_sent);
}

/* Reports to all peers that this instance exists, or that it leaves. */
static void peer_exchange_report_to_all(struct peer_exchange *exchange)
{
	uint64_t now_us = env_now_us();

	peer_exchange_encode_own(exchange, PEER_EXCHANGE_ZONE_INTERVAL_MS);
	for (uint32_t class = 0; class < PEER_EXCHANGE_CLASS_COUNT; class ++) {
		g_autoptr(GPtrArray) peers = peer_exchange_recipients(exchange, class, now_us);

		for (guint i = 0; i < peers->len; i++)
			peer_exchange_send_report(exchange, peers->pdata[i],
						  PEER_EXCHANGE_MSG_REPORT, exchange->encoded);
	}
}

/* Counts the peers of the own zone, and those of them that reported lately. */
static void peer_exchange_count_zone(const struct peer_exchange *exchange, uint32_t *known,
				     uint32_t *live)
{
	uint64_t now_us = env_now_us();
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	*known = 0;
	*live = 0;
	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->distance != FLEET_SAME_ZONE)
			continue;
		(*known)++;
		*live += peer->last_report_us &&
			 now_us - peer->last_report_us < PEER_EXCHANGE_LIVE_US;
	}
}

struct peer_exchange_totals_builder {
	GVariantBuilder loads;
	uint64_t now_us;
	uint32_t notices_left;
};

static void peer_exchange_add_total(void *ctx, struct fleet_upstream *up)
{
	struct peer_exchange_totals_builder *builder = ctx;
	struct fleet_load load = fleet_upstream_zone_load(up);
	uint64_t leaving_us = fleet_upstream_leaving_since_us(up);
	bool leaving = fleet_upstream_state(up) == FLEET_UPSTREAM_LEAVING &&
		       builder->now_us - leaving_us < PEER_EXCHANGE_NOTICE_US &&
		       builder->notices_left > 0;

	if (load.open == 0 && !leaving)
		return;
	builder->notices_left -= leaving;
	g_variant_builder_add(&builder->loads, PEER_EXCHANGE_TOTAL_TYPE, fleet_upstream_key(up),
			      (guint32)MIN(load.kv_tokens, G_MAXUINT32),
			      (guint32)MIN(load.kv_used_tokens, G_MAXUINT32),
			      (guint32)MIN(load.prefill_tokens, G_MAXUINT32),
			      (guint16)MIN(load.open, G_MAXUINT16),
			      (guint16)MIN(load.incoming_copies, G_MAXUINT16), leaving);
}

static void peer_exchange_encode_totals(struct peer_exchange *exchange, uint32_t instances)
{
	const struct gateway_settings *settings = exchange->env->settings;
	struct peer_exchange_totals_builder builder = { .now_us = env_now_us(),
							.notices_left = PEER_EXCHANGE_MAX_NOTICES };
	GVariant *root;

	g_variant_builder_init(&builder.loads, G_VARIANT_TYPE("a" PEER_EXCHANGE_TOTAL_TYPE));
	fleet_foreach(exchange->env->fleet, peer_exchange_add_total, &builder);
	root = g_variant_ref_sink(g_variant_new(
		PEER_EXCHANGE_TOTALS_TYPE, settings->instance, exchange->address, settings->zone,
		(guint32)PEER_EXCHANGE_TOTALS_VALID_MS, instances, &builder.loads));
	g_byte_array_set_size(exchange->encoded, 0);
	g_byte_array_append(exchange->encoded, g_variant_get_data(root),
			    (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

/* Sends the load of the own zone to peers elsewhere, in turn. Each instance of the zone does so; a
 * peer needs the totals of one of them only, so that the messages of an instance don't grow with
 * the number of instances. */
static void peer_exchange_report_totals(struct peer_exchange *exchange)
{
	uint64_t now_us = env_now_us();
	uint32_t known;
	uint32_t live;
	bool encoded = false;

	peer_exchange_count_zone(exchange, &known, &live);
	/* An instance that does not hear its zone does not know its load. */
	if (now_us - exchange->created_us < PEER_EXCHANGE_TOTALS_START_US || live * 2 < known)
		return;
	for (uint32_t class = FLEET_SAME_REGION; class < PEER_EXCHANGE_CLASS_COUNT; class ++) {
		uint32_t rate = peer_exchange_classes[class].messages_per_s;
		g_autoptr(GPtrArray) peers = peer_exchange_recipients(exchange, class, now_us);

		if (class == FLEET_SAME_REGION)
			exchange->env->remote_load_age_ms =
				peers->len * 1000 / (rate * (live + 1)) / 2;
		exchange->totals[class].credit =
			MIN(exchange->totals[class].credit + rate * PEER_EXCHANGE_TICK_MS / 1000.0,
			    1.0 + rate * PEER_EXCHANGE_TICK_MS / 1000.0);
		while (peers->len > 0 && exchange->totals[class].credit >= 1.0) {
			const struct peer_exchange_peer *peer =
				peers->pdata[exchange->totals[class].next++ % peers->len];

			if (!encoded)
				peer_exchange_encode_totals(exchange, live + 1);
			encoded = true;
			exchange->totals[class].credit -= 1.0;
			peer_exchange_send_report(exchange, peer, PEER_EXCHANGE_MSG_TOTALS,
						  exchange->encoded);
			for (uint32_t type = 0; type < PEER_EXCHANGE_TYPE_COUNT; type++) {
				if (exchange->totals_cbs[type].cb)
					exchange->totals_cbs[type].cb(
						exchange->totals_cbs[type].ctx, peer->address);
			}
		}
	}
}

void peer_exchange_report_placement(struct peer_exchange *exchange)
{
	uint64_t elapsed_us = env_now_us() - exchange->sent_us;

	if (!exchange->env->placed_generation || exchange->leaving ||
	    elapsed_us < PEER_EXCHANGE_PLACEMENT_INTERVAL_MS * 1000ULL)
		return;
	exchange->env->placed_generation = false;
	peer_exchange_report_to_zone(exchange, true);
}

void peer_exchange_leave(struct peer_exchange *exchange)
{
	exchange->leaving = true;
	peer_exchange_report_to_all(exchange);
	peer_exchange_announce(exchange);
}

/* queries */

const char *peer_exchange_address(const struct peer_exchange *exchange)
{
	return exchange->address;
}

/* Orders addresses by hash: the order is the same at every instance. The factor, a prime close
 * to 2^32 divided by the golden ratio, scatters the similar hashes of similar addresses. */
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

bool peer_exchange_has_read(const struct peer_exchange *exchange)
{
	return exchange->has_read;
}

uint64_t peer_exchange_known_since_us(const struct peer_exchange *exchange)
{
	return exchange->known_since_us;
}

void peer_exchange_each_peer(struct peer_exchange *exchange,
			     void (*each)(void *ctx, const char *address, const char *instance,
					  const char *zone, bool listed),
			     void *ctx)
{
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	each(ctx, exchange->address, exchange->env->settings->instance,
	     exchange->env->settings->zone, exchange->announced);
	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		each(ctx, peer->address, peer->instance, peer->zone, peer->listed);
}

void peer_exchange_each_live(struct peer_exchange *exchange,
			     void (*member)(void *ctx, const char *address),
			     void (*zone)(void *ctx, const char *name), void *ctx)
{
	uint64_t now_us = env_now_us();
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;
	const struct peer_exchange_zone *totals;
	const char *name;

	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->distance == FLEET_SAME_ZONE && peer->last_report_us &&
		    now_us - peer->last_report_us < PEER_EXCHANGE_LIVE_US)
			member(ctx, peer->address);
	}
	g_hash_table_iter_init(&iter, exchange->zones);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, (gpointer *)&totals)) {
		if (now_us < totals->expires_us)
			zone(ctx, name);
	}
}

void peer_exchange_each_live_peer(struct peer_exchange *exchange,
				  void (*each)(void *ctx, const char *address, const char *zone,
					       uint32_t distance),
				  void *ctx)
{
	uint64_t now_us = env_now_us();
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		const struct peer_exchange_zone *zone =
			peer->zone ? g_hash_table_lookup(exchange->zones, peer->zone) : NULL;
		bool reports = peer->last_report_us &&
			       now_us - peer->last_report_us < PEER_EXCHANGE_LIVE_US;

		if (peer->zone && (reports || (peer->distance != FLEET_SAME_ZONE && zone &&
					       now_us < zone->expires_us)))
			each(ctx, peer->address, peer->zone, peer->distance);
	}
}

GPtrArray *peer_exchange_group(struct peer_exchange *exchange, bool region)
{
	GPtrArray *group = g_ptr_array_new();
	GHashTableIter iter;
	const struct peer_exchange_peer *peer;

	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer->distance == FLEET_SAME_ZONE ||
		    (region && peer->distance == FLEET_SAME_REGION))
			g_ptr_array_add(group, peer->address);
	}
	g_ptr_array_add(group, exchange->address);
	g_ptr_array_sort(group, peer_exchange_compare_hash);
	return group;
}

/* helpers */

/* Returns the distance of a zone. */
static enum fleet_upstream_distance peer_exchange_distance(const struct peer_exchange *exchange,
							   const char *zone)
{
	const struct gateway_settings *settings = exchange->env->settings;

	if (strcmp(zone, settings->zone) == 0)
		return FLEET_SAME_ZONE;
	return g_strcmp0(gateway_settings_region_of(settings, zone), settings->region) == 0
		       ? FLEET_SAME_REGION
		       : FLEET_OTHER_REGION;
}

/* Adds a peer, or updates its instance and zone and when it was last known. */
static struct peer_exchange_peer *peer_exchange_add_peer(struct peer_exchange *exchange,
							 const char *address, const char *instance,
							 const char *zone)
{
	struct peer_exchange_peer *peer = g_hash_table_lookup(exchange->peers, address);

	if (!peer) {
		peer = g_new0(struct peer_exchange_peer, 1);
		peer->address = g_strdup(address);
		g_hash_table_insert(exchange->peers, peer->address, peer);
	}
	if (g_strcmp0(peer->zone, zone) != 0) {
		g_free(peer->zone);
		peer->zone = g_strdup(zone);
		peer->distance = peer_exchange_distance(exchange, zone);
	}
	if (g_strcmp0(peer->instance, instance) != 0) {
		g_free(peer->instance);
		peer->instance = g_strdup(instance);
	}
	peer->last_known_us = env_now_us();
	return peer;
}

/* Adds or updates the peer that a row or another instance names. @return NULL for this instance
 * itself and for what is no address */
static struct peer_exchange_peer *peer_exchange_add_named(struct peer_exchange *exchange,
							  const char *address, const char *instance,
							  const char *zone)
{
	g_autofree char *host = NULL;
	uint16_t port;

	if (strcmp(address, exchange->address) == 0 ||
	    !gateway_settings_split_address(address, &host, &port))
		return NULL;
	return peer_exchange_add_peer(exchange, address, instance, zone);
}

void peer_exchange_learn_peer(struct peer_exchange *exchange, const char *address,
			      const char *instance, const char *zone)
{
	peer_exchange_add_named(exchange, address, instance, zone);
}

void peer_exchange_note_read(struct peer_exchange *exchange)
{
	if (exchange->known_since_us == 0)
		exchange->known_since_us = env_now_us();
}

void peer_exchange_check_rows(struct peer_exchange *exchange)
{
	uint64_t delay_ms =
		(uint64_t)g_rand_int_range(exchange->env->rand, 0, PEER_EXCHANGE_CHECK_JITTER_MS);

	/* A read that is under way may have been answered before the restoration. */
	if (exchange->read_call)
		exchange->env->store_client->ops->cancel(exchange->read_call);
	exchange->read_call = NULL;
	exchange->announced = false;
	if (exchange->delegated)
		delay_ms += PEER_EXCHANGE_CHECK_DELEGATED_MS;
	uv_timer_start(&exchange->read_timer, peer_exchange_on_read_timer, delay_ms, 0);
}

void peer_exchange_note_own_row(struct peer_exchange *exchange, bool listed)
{
	if (env_now_us() - exchange->announced_us < PEER_EXCHANGE_ROW_SETTLE_US ||
	    exchange->leaving)
		return;
	exchange->announced = listed;
	if (!listed && !exchange->announce_call)
		uv_timer_start(&exchange->announce_timer, peer_exchange_on_announce_timer,
			       (uint64_t)g_rand_int_range(exchange->env->rand, 0,
							  PEER_EXCHANGE_FIRST_ANNOUNCE_MS),
			       0);
}

/* Returns the delay before a call is repeated that failed for the given time in a row. */
static uint64_t peer_exchange_retry_ms(const struct peer_exchange *exchange, uint32_t failures)
{
	uint64_t delay_ms = MIN((uint64_t)PEER_EXCHANGE_RETRY_MIN_MS << MIN(failures, 8),
				PEER_EXCHANGE_RETRY_MAX_MS);

	return delay_ms / 2 +
	       (uint64_t)g_rand_int_range(exchange->env->rand, 0, (gint32)(delay_ms / 2));
}

/* Returns the text of this instance's row: its address and its zone. */
static char *peer_exchange_own_row(const struct peer_exchange *exchange)
{
	return g_strdup_printf("%s %s", exchange->address, exchange->env->settings->zone);
}

/* Writes the row of this instance to the store, or removes it when the instance stops. */
static void peer_exchange_announce(struct peer_exchange *exchange)
{
	struct env *env = exchange->env;
	g_autofree char *text = peer_exchange_own_row(exchange);

	uv_timer_stop(&exchange->announce_timer);
	if (exchange->announce_call)
		env->store_client->ops->cancel(exchange->announce_call);
	metric_add(env->metric, METRIC_TABLE_WRITES, 1);
	metric_add(env->metric, METRIC_STORE_OWN_ROW_WRITES, 1);
	exchange->announce_call = env->store_client->ops->put(
		env->store_client->ctx, env->settings->instance, exchange->leaving ? NULL : text,
		peer_exchange_on_announced, exchange);
}

static void peer_exchange_on_announce_timer(uv_timer_t *timer)
{
	peer_exchange_announce(timer->data);
}

/* Has the rows read again soon, also when a delegate reads them: its last read may have been before
 * those of others that start now. */
static void peer_exchange_reread(struct peer_exchange *exchange)
{
	exchange->reread = true;
	if (exchange->read_call)
		exchange->env->store_client->ops->cancel(exchange->read_call);
	exchange->read_call = NULL;
	uv_timer_start(
		&exchange->read_timer, peer_exchange_on_read_timer,
		(uint64_t)g_rand_int_range(exchange->env->rand, 0, PEER_EXCHANGE_REREAD_JITTER_MS),
		0);
}

static void peer_exchange_on_announced(void *arg, const struct store_answer *answer)
{
	struct peer_exchange *exchange = arg;

	exchange->announce_call = NULL;
	exchange->announced = answer->result == STORE_OK;
	if (exchange->announced || exchange->leaving) {
		if (exchange->announced_us == 0 && exchange->has_read && !exchange->leaving)
			peer_exchange_reread(exchange);
		exchange->announce_failures = 0;
		exchange->announced_us = env_now_us();
		return;
	}
	metric_add(exchange->env->metric, METRIC_TABLE_ERRORS, 1);
	uv_timer_start(&exchange->announce_timer, peer_exchange_on_announce_timer,
		       peer_exchange_retry_ms(exchange, exchange->announce_failures++), 0);
}

/* Adds the instance of a row. @return true when it is the row of this instance as it should be */
static bool peer_exchange_apply_row(struct peer_exchange *exchange,
				    const struct store_change *change)
{
	g_autofree char *own = peer_exchange_own_row(exchange);
	g_auto(GStrv) fields = g_strsplit(change->text ? change->text : "", " ", 2);
	struct peer_exchange_peer *peer = NULL;

	if (change->id && strchr(change->id, '/')) {
		if (exchange->row_cb && change->text)
			exchange->row_cb(exchange->row_ctx, change->id, change->text);
		return false;
	}
	if (g_strcmp0(change->text, own) == 0)
		return g_strcmp0(change->id, exchange->env->settings->instance) == 0;
	if (!change->removed && g_strv_length(fields) == 2)
		peer = peer_exchange_add_named(exchange, fields[0], change->id, fields[1]);
	if (peer)
		peer->listed = true;
	return false;
}

static void peer_exchange_on_rows(void *arg, const struct store_answer *answer)
{
	struct peer_exchange *exchange = arg;
	struct peer_exchange_peer *peer;
	GHashTableIter iter;
	bool listed = false;

	exchange->read_call = NULL;
	metric_add(exchange->env->metric, METRIC_STORE_BYTES_RECEIVED, answer->received_bytes);
	if (answer->result != STORE_OK) {
		metric_add(exchange->env->metric, METRIC_TABLE_ERRORS, 1);
		uv_timer_start(&exchange->read_timer, peer_exchange_on_read_timer,
			       peer_exchange_retry_ms(exchange, exchange->read_failures++), 0);
		return;
	}
	exchange->read_failures = 0;
	exchange->has_read = true;
	exchange->reread = false;
	peer_exchange_note_read(exchange);
	g_hash_table_iter_init(&iter, exchange->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer))
		peer->listed = false;
	for (guint i = 0; i < answer->changes->len; i++)
		listed |= peer_exchange_apply_row(exchange, answer->changes->pdata[i]);
	exchange->announced |= listed;
	if (!listed && !exchange->leaving && !exchange->announce_call)
		peer_exchange_announce(exchange);
	peer_exchange_report_to_all(exchange);
	if (exchange->row_end_cb)
		exchange->row_end_cb(exchange->row_ctx);
	if (exchange->read_cb)
		exchange->read_cb(exchange->read_ctx);
	uv_timer_start(&exchange->read_timer, peer_exchange_on_read_timer,
		       PEER_EXCHANGE_READ_INTERVAL_MS +
			       (uint64_t)g_rand_int_range(exchange->env->rand, 0,
							  PEER_EXCHANGE_READ_JITTER_MS),
		       0);
}

static void peer_exchange_on_read_timer(uv_timer_t *timer)
{
	struct peer_exchange *exchange = timer->data;
	struct env *env = exchange->env;

	if (exchange->delegated && exchange->announced && !exchange->reread) {
		uv_timer_start(timer, peer_exchange_on_read_timer, PEER_EXCHANGE_READ_INTERVAL_MS,
			       0);
		return;
	}
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	metric_add(env->metric, METRIC_STORE_PEER_READS, 1);
	exchange->read_call = env->store_client->ops->read(env->store_client->ctx, STORE_TABLE_OWN,
							   peer_exchange_on_rows, exchange);
}

bool peer_exchange_decode(const void *buf, size_t len, struct peer_exchange_report *out,
			  GVariant **owner)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(PEER_EXCHANGE_REPORT_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) iter = NULL;
	struct peer_exchange_load load;
	guint32 kv_tokens;
	guint32 kv_used_tokens;
	guint32 prefill_tokens;
	gboolean leaving;
	gboolean instance_leaving;
	guint32 valid_ms;

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&s&stuba" PEER_EXCHANGE_LOAD_TYPE ")", &out->instance,
		      &out->address, &out->zone, &out->incarnation, &valid_ms, &instance_leaving,
		      &iter);
	out->valid_ms = valid_ms;
	out->leaving = instance_leaving;
	out->loads = g_array_new(FALSE, FALSE, sizeof(struct peer_exchange_load));
	while (g_variant_iter_next(iter, "(&stuuuuub)", &load.upstream, &load.started_ms,
				   &load.load.open, &kv_tokens, &kv_used_tokens, &prefill_tokens,
				   &load.load.incoming_copies, &leaving)) {
		load.leaving = leaving;
		load.load.kv_tokens = kv_tokens;
		load.load.kv_used_tokens = kv_used_tokens;
		load.load.prefill_tokens = prefill_tokens;
		g_array_append_val(out->loads, load);
	}
	*owner = root;
	return true;
}

/* Applies a peer's load on one upstream; ignores that of another incarnation. */
static void peer_exchange_apply_load(struct peer_exchange *exchange,
				     const struct peer_exchange_load *load,
				     const struct peer_exchange_report *report, uint64_t now_us)
{
	struct fleet_upstream *up = fleet_find(exchange->env->fleet, load->upstream);

	if (!up || fleet_upstream_started_ms(up) != load->started_ms)
		return;
	fleet_set_peer_load(exchange->env->fleet, load->upstream, report->instance, &load->load,
			    now_us + report->valid_ms * 1000ULL);
	if (load->leaving)
		fleet_upstream_set_leaving(up, now_us);
}

static bool peer_exchange_on_totals(struct peer_exchange *exchange, const void *buf, size_t len)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	g_autoptr(GVariant) root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(PEER_EXCHANGE_TOTALS_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) iter = NULL;
	struct peer_exchange_zone zone = { 0 };
	uint64_t now_us = env_now_us();
	const char *instance;
	const char *address;
	const char *name;
	guint32 valid_ms;
	guint32 key;
	guint32 kv_tokens;
	guint32 kv_used_tokens;
	guint32 prefill_tokens;
	guint16 open;
	guint16 copies;
	gboolean leaving;

	if (!g_variant_is_normal_form(root))
		return false;
	g_variant_get(root, "(&s&s&suua" PEER_EXCHANGE_TOTAL_TYPE ")", &instance, &address, &name,
		      &valid_ms, &zone.instances, &iter);
	peer_exchange_learn_peer(exchange, address, instance, name);
	if (strcmp(name, exchange->env->settings->zone) == 0)
		return true;
	zone.expires_us = now_us + valid_ms * 1000ULL;
	g_hash_table_replace(exchange->zones, g_strdup(name), g_memdup2(&zone, sizeof(zone)));
	/* Totals replace those before: the zone has no load on upstreams not in them. */
	fleet_remove_zone(exchange->env->fleet, name);
	while (g_variant_iter_next(iter, PEER_EXCHANGE_TOTAL_TYPE, &key, &kv_tokens,
				   &kv_used_tokens, &prefill_tokens, &open, &copies, &leaving)) {
		struct fleet_load load = { .open = open,
					   .kv_tokens = kv_tokens,
					   .kv_used_tokens = kv_used_tokens,
					   .prefill_tokens = prefill_tokens,
					   .incoming_copies = copies };
		struct fleet_upstream *up = fleet_set_zone_load(exchange->env->fleet, key, name,
								&load, zone.expires_us);

		if (up && leaving)
			fleet_upstream_set_leaving(up, now_us);
	}
	return true;
}

static void peer_exchange_on_message(void *ctx, const void *buf, size_t len)
{
	struct peer_exchange *exchange = ctx;
	struct peer_exchange_report report;
	g_autoptr(GVariant) owner = NULL;
	struct peer_exchange_peer *peer;
	uint64_t now_us = env_now_us();
	const uint8_t *bytes = buf;
	bool same_zone;

	metric_add(exchange->env->metric, METRIC_BUS_MESSAGES_RECEIVED, 1);
	if (len > 0 && bytes[0] == PEER_EXCHANGE_MSG_TOTALS &&
	    peer_exchange_on_totals(exchange, bytes + 1, len - 1))
		return;
	if (len > 0 && bytes[0] < PEER_EXCHANGE_TYPE_COUNT && exchange->message_cbs[bytes[0]].cb) {
		exchange->message_cbs[bytes[0]].cb(exchange->message_cbs[bytes[0]].ctx, bytes[0],
						   bytes + 1, len - 1);
		return;
	}
	if (len == 0 || bytes[0] != PEER_EXCHANGE_MSG_REPORT ||
	    !peer_exchange_decode(bytes + 1, len - 1, &report, &owner)) {
		metric_add(exchange->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	same_zone = strcmp(report.zone, exchange->env->settings->zone) == 0;
	/* A report replaces the one before: the peer has no load on upstreams not in it. */
	fleet_remove_peer(exchange->env->fleet, report.instance);
	if (report.leaving) {
		g_hash_table_remove(exchange->peers, report.address);
	} else {
		peer = peer_exchange_add_peer(exchange, report.address, report.instance,
					      report.zone);
		if (peer->incarnation != report.incarnation) {
			log_event(LOG_MEMBER_JOINED, "member", report.instance, "address",
				  report.address, NULL);
			if (exchange->joined_cb)
				exchange->joined_cb(exchange->joined_ctx, report.address);
		}
		peer->incarnation = report.incarnation;
		peer->last_report_us = now_us;
	}
	/* An instance that stops still has requests open, so its loads count. Those of other zones
	 * are part of the totals of the zone. */
	for (guint i = 0; i < report.loads->len && same_zone; i++) {
		const struct peer_exchange_load *load =
			&g_array_index(report.loads, struct peer_exchange_load, i);

		peer_exchange_apply_load(exchange, load, &report, now_us);
	}
	g_array_free(report.loads, TRUE);
}

/* Returns the number of instances that are alive, this one included. */
static uint32_t peer_exchange_count_live(const struct peer_exchange *exchange)
{
	uint64_t now_us = env_now_us();
	uint32_t known;
	uint32_t live;
	GHashTableIter iter;
	const struct peer_exchange_zone *zone;

	peer_exchange_count_zone(exchange, &known, &live);
	live++;
	g_hash_table_iter_init(&iter, exchange->zones);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&zone)) {
		if (now_us < zone->expires_us)
			live += zone->instances;
	}
	return live;
}

static void peer_exchange_on_tick(uv_timer_t *timer)
{
	struct peer_exchange *exchange = timer->data;

	fleet_expire_loads(exchange->env->fleet, env_now_us());
	exchange->env->live_instances = peer_exchange_count_live(exchange);
	metric_set(exchange->env->metric, METRIC_MEMBERS, exchange->env->live_instances);
	peer_exchange_report_placement(exchange);
	if (exchange->leaving)
		return;
	peer_exchange_report_to_zone(exchange, false);
	peer_exchange_report_totals(exchange);
}
