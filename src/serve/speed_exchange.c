#include "speed_exchange.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define SPEED_EXCHANGE_MSG 12 /* type of the message on the bus */
/* upstream, age in ms, weight and mean logarithm of each kind */
#define SPEED_EXCHANGE_SPEED_TYPE "(uqqnqnqn)"
/* sender, zone, is_total, speeds */
#define SPEED_EXCHANGE_REPORT_TYPE "(ssba" SPEED_EXCHANGE_SPEED_TYPE ")"
/* Units of weights and of means in a report. */
#define SPEED_EXCHANGE_WEIGHTS 16.0
#define SPEED_EXCHANGE_LOGS    1000.0
/* Reports to the zone: the shortest interval, and messages a second in large zones. */
#define SPEED_EXCHANGE_INTERVAL_MS    500
#define SPEED_EXCHANGE_MESSAGES_PER_S 15
/* After the speeds of a service became even, reports go on for this long. */
#define SPEED_EXCHANGE_ACTIVE_US (10ULL * 1000 * 1000)
/* Share of the load totals to other zones that the speeds accompany; they change more slowly. */
#define SPEED_EXCHANGE_TOTALS_SHARE 0.5
/* An upstream with less weight is left out of reports. */
#define SPEED_EXCHANGE_MIN_WEIGHT 0.1

#define SPEED_EXCHANGE_TICK_MS 250
/* Share by which each open generation makes the step of an engine longer: 0.12 ms of 7 ms. */
#define SPEED_EXCHANGE_STEP_SHARE 0.017
/* Time expected of a call or an event, in an arbitrary unit. */
#define SPEED_EXCHANGE_UNIT_US 1000.0
/* Shorter expected times to the first event are dominated by the way to the engine. */
#define SPEED_EXCHANGE_FIRST_EVENT_MIN_MS 50
/* Requests that an upstream of a plain service works on at once when it does not say. */
#define SPEED_EXCHANGE_PLAIN_SLOTS 6
/* A factor is logged when it differs this many times from the one logged last, for one upstream at
 * most this often. */
#define SPEED_EXCHANGE_LOG_RATIO       1.5
#define SPEED_EXCHANGE_LOG_INTERVAL_US (30ULL * 1000 * 1000)

struct speed_exchange_service {
	struct upstream_speed_service model;
	uint64_t active_until_us; /* until when its speeds are sent */
};

/* What a peer of the zone, or another zone, reported. */
struct speed_exchange_source {
	GHashTable *reports; /* key of an upstream to struct upstream_speed_report */
	uint64_t received_us;
};

struct speed_exchange {
	struct env *env;
	struct peer_exchange *exchange;
	GHashTable *services; /* name to struct speed_exchange_service */
	GHashTable *members;  /* address to struct speed_exchange_source */
	GHashTable *zones;    /* other zone to struct speed_exchange_source */
	uint64_t sent_us;     /* last report to the zone */
	uv_timer_t tick;
};

static void speed_exchange_on_tick(uv_timer_t *timer);
static void speed_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void speed_exchange_on_totals(void *ctx, const char *address);

/* lifetime */

static void speed_exchange_source_free(gpointer data)
{
	struct speed_exchange_source *source = data;

	g_hash_table_destroy(source->reports);
	g_free(source);
}

struct speed_exchange *speed_exchange_create(struct env *env, struct peer_exchange *exchange)
{
	struct speed_exchange *speeds = g_new0(struct speed_exchange, 1);

	speeds->env = env;
	speeds->exchange = exchange;
	speeds->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	speeds->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, speed_exchange_source_free);
	speeds->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, speed_exchange_source_free);
	peer_exchange_set_message_cb(exchange, SPEED_EXCHANGE_MSG, speed_exchange_on_message,
				     speeds);
	peer_exchange_set_totals_cb(exchange, SPEED_EXCHANGE_MSG, speed_exchange_on_totals, speeds);
	uv_timer_init(env->loop, &speeds->tick);
	speeds->tick.data = speeds;
	uv_timer_start(&speeds->tick, speed_exchange_on_tick, SPEED_EXCHANGE_TICK_MS,
		       SPEED_EXCHANGE_TICK_MS);
	return speeds;
}

static void speed_exchange_on_closed(uv_handle_t *handle)
{
	struct speed_exchange *speeds = handle->data;

	g_hash_table_destroy(speeds->services);
	g_hash_table_destroy(speeds->members);
	g_hash_table_destroy(speeds->zones);
	g_free(speeds);
}

void speed_exchange_destroy(struct speed_exchange *speeds)
{
	if (!speeds)
		return;
	peer_exchange_set_message_cb(speeds->exchange, SPEED_EXCHANGE_MSG, NULL, NULL);
	peer_exchange_set_totals_cb(speeds->exchange, SPEED_EXCHANGE_MSG, NULL, NULL);
	uv_close((uv_handle_t *)&speeds->tick, speed_exchange_on_closed);
}

/* helpers */

static void speed_exchange_add_service(struct speed_exchange *speeds, const char *name)
{
	if (!g_hash_table_contains(speeds->services, name))
		g_hash_table_insert(speeds->services, g_strdup(name),
				    g_new0(struct speed_exchange_service, 1));
}

static struct speed_exchange_service *speed_exchange_service(struct speed_exchange *speeds,
							     const char *name)
{
	speed_exchange_add_service(speeds, name);
	return g_hash_table_lookup(speeds->services, name);
}

static void speed_exchange_add(struct speed_exchange *speeds, struct fleet_upstream *up,
			       enum upstream_speed_kind kind, double observed_us,
			       double expected_us)
{
	if (speed_exchange_is_learned(speeds, up))
		upstream_speed_add(
			&speed_exchange_service(speeds, fleet_upstream_service(up))->model,
			fleet_upstream_speed(up), kind, observed_us, expected_us, env_now_us());
}

/* Logs a factor that differs much from the one that was logged last. */
static void speed_exchange_log(struct fleet_upstream *up, uint64_t now_us)
{
	struct upstream_speed *speed = fleet_upstream_speed(up);
	double factor = upstream_speed_factor(speed);
	double logged = speed->logged_factor > 0.0 ? speed->logged_factor : 1.0;
	char factor_text[16];
	char confidence_text[16];

	if (fabs(log(factor / logged)) < log(SPEED_EXCHANGE_LOG_RATIO) ||
	    (speed->logged_us > 0 && now_us - speed->logged_us < SPEED_EXCHANGE_LOG_INTERVAL_US))
		return;
	speed->logged_factor = factor;
	speed->logged_us = now_us;
	snprintf(factor_text, sizeof(factor_text), "%.2f", factor);
	snprintf(confidence_text, sizeof(confidence_text), "%.2f", speed->confidence);
	log_event(LOG_UPSTREAM_SPEED, "upstream", fleet_upstream_id(up), "factor", factor_text,
		  "confidence", confidence_text, NULL);
}

/* Adds what the sources of a table reported of an upstream. */
static void speed_exchange_add_reports(GHashTable *sources,
				       const struct upstream_speed_service *model,
				       struct fleet_upstream *up, enum upstream_speed_source kind,
				       uint64_t now_us)
{
	GHashTableIter iter;
	const struct speed_exchange_source *source;
	const struct upstream_speed_report *report;

	g_hash_table_iter_init(&iter, sources);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&source)) {
		report = g_hash_table_lookup(source->reports,
					     GUINT_TO_POINTER(fleet_upstream_key(up)));
		if (report)
			upstream_speed_add_report(model, fleet_upstream_speed(up), report,
						  source->received_us, kind, now_us);
	}
}

/* Computes the factors of a service. */
static void speed_exchange_update(struct speed_exchange *speeds, const char *name,
				  struct speed_exchange_service *service, uint64_t now_us)
{
	const GPtrArray *ups = fleet_service_upstreams(speeds->env->fleet, name);
	g_autofree struct upstream_speed **all = g_new(struct upstream_speed *, MAX(ups->len, 1));
	uint32_t count = 0;

	for (guint i = 0; i < ups->len; i++) {
		struct fleet_upstream *up = ups->pdata[i];
		struct upstream_speed *speed = fleet_upstream_speed(up);

		if (fleet_upstream_state(up) > FLEET_UPSTREAM_LAPSED)
			continue;
		upstream_speed_begin(speed, now_us);
		speed_exchange_add_reports(speeds->members, &service->model, up,
					   UPSTREAM_SPEED_MEMBER, now_us);
		upstream_speed_end_zone(speed);
		speed_exchange_add_reports(speeds->zones, &service->model, up, UPSTREAM_SPEED_ZONE,
					   now_us);
		all[count++] = speed;
	}
	upstream_speed_finish(&service->model, all, count, speeds->env->settings->load.speed_spread,
			      now_us);
	if (service->model.in_effect)
		service->active_until_us = now_us + SPEED_EXCHANGE_ACTIVE_US;
	for (guint i = 0; i < ups->len; i++) {
		if (fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED)
			speed_exchange_log(ups->pdata[i], now_us);
	}
}

static void speed_exchange_expire(GHashTable *sources, uint64_t now_us)
{
	GHashTableIter iter;
	const struct speed_exchange_source *source;

	g_hash_table_iter_init(&iter, sources);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&source)) {
		if (now_us - source->received_us > UPSTREAM_SPEED_KEEP_US)
			g_hash_table_iter_remove(&iter);
	}
}

/* helpers: messages */

void speed_exchange_encode(GByteArray *out, const struct speed_exchange_report *report)
{
	GVariantBuilder speeds;
	GVariant *root;

	g_variant_builder_init(&speeds, G_VARIANT_TYPE("a" SPEED_EXCHANGE_SPEED_TYPE));
	for (guint i = 0; i < report->speeds->len; i++) {
		const struct speed_exchange_speed *speed =
			&g_array_index(report->speeds, struct speed_exchange_speed, i);
		guint16 weights[UPSTREAM_SPEED_KIND_COUNT];
		gint16 logs[UPSTREAM_SPEED_KIND_COUNT];

		for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
			const struct upstream_speed_sum *sum = &speed->sums[kind];
			double mean = sum->weight > 0.0 ? sum->log_sum / sum->weight : 0.0;

			weights[kind] = (guint16)MIN(sum->weight * SPEED_EXCHANGE_WEIGHTS,
						     (double)G_MAXUINT16);
			logs[kind] = (gint16)CLAMP(mean * SPEED_EXCHANGE_LOGS, (double)G_MININT16,
						   (double)G_MAXINT16);
		}
		g_variant_builder_add(&speeds, SPEED_EXCHANGE_SPEED_TYPE, speed->upstream,
				      (guint16)MIN(speed->age_ms, G_MAXUINT16), weights[0], logs[0],
				      weights[1], logs[1], weights[2], logs[2]);
	}
	root = g_variant_ref_sink(g_variant_new(SPEED_EXCHANGE_REPORT_TYPE, report->address,
						report->zone, report->is_total, &speeds));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

bool speed_exchange_decode(const void *buf, size_t len, struct speed_exchange_report *out,
			   GVariant **owner)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(SPEED_EXCHANGE_REPORT_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) speeds = NULL;
	gboolean is_total;
	guint32 key;
	guint16 age_ms;
	guint16 weights[UPSTREAM_SPEED_KIND_COUNT];
	gint16 logs[UPSTREAM_SPEED_KIND_COUNT];

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&sba" SPEED_EXCHANGE_SPEED_TYPE ")", &out->address, &out->zone,
		      &is_total, &speeds);
	out->is_total = is_total;
	out->speeds = g_array_new(FALSE, FALSE, sizeof(struct speed_exchange_speed));
	while (g_variant_iter_next(speeds, SPEED_EXCHANGE_SPEED_TYPE, &key, &age_ms, &weights[0],
				   &logs[0], &weights[1], &logs[1], &weights[2], &logs[2])) {
		struct speed_exchange_speed speed = { .upstream = key, .age_ms = age_ms };

		for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
			speed.sums[kind].weight = weights[kind] / SPEED_EXCHANGE_WEIGHTS;
			speed.sums[kind].log_sum =
				logs[kind] / SPEED_EXCHANGE_LOGS * speed.sums[kind].weight;
		}
		g_array_append_val(out->speeds, speed);
	}
	*owner = root;
	return true;
}

/* Adds the upstreams of the services whose speeds are sent. */
static void speed_exchange_collect(const struct speed_exchange *speeds, bool is_total, GArray *out,
				   uint64_t now_us)
{
	GHashTableIter iter;
	const char *name;
	const struct speed_exchange_service *service;

	g_hash_table_iter_init(&iter, speeds->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, (gpointer *)&service)) {
		const GPtrArray *ups = fleet_service_upstreams(speeds->env->fleet, name);

		for (guint i = 0; i < ups->len && now_us < service->active_until_us; i++) {
			const struct upstream_speed *speed = fleet_upstream_speed(ups->pdata[i]);
			const struct upstream_speed_report *report =
				is_total ? &speed->zone : &speed->own;
			struct speed_exchange_speed entry = {
				.upstream = fleet_upstream_key(ups->pdata[i]),
				.age_ms = (uint32_t)MIN((now_us - report->sampled_us) / 1000,
							G_MAXUINT16),
			};

			memcpy(entry.sums, report->sums, sizeof(entry.sums));
			if (upstream_speed_weight(report) >= SPEED_EXCHANGE_MIN_WEIGHT)
				g_array_append_val(out, entry);
		}
	}
}

/* Encodes the report of this instance, or of its zone. Returns NULL when there is nothing to
 * tell. */
static GByteArray *speed_exchange_encode_own(struct speed_exchange *speeds, bool is_total,
					     uint64_t now_us)
{
	GByteArray *bytes = NULL;
	struct speed_exchange_report report = {
		.address = peer_exchange_address(speeds->exchange),
		.zone = speeds->env->settings->zone,
		.is_total = is_total,
		.speeds = g_array_new(FALSE, FALSE, sizeof(struct speed_exchange_speed)),
	};

	speed_exchange_collect(speeds, is_total, report.speeds, now_us);
	if (report.speeds->len > 0) {
		bytes = g_byte_array_new();
		speed_exchange_encode(bytes, &report);
	}
	g_array_free(report.speeds, TRUE);
	return bytes;
}

static void speed_exchange_send(struct speed_exchange *speeds, const char *address,
				const GByteArray *bytes)
{
	metric_add(speeds->env->metric, METRIC_BUS_SPEED_BYTES, bytes->len);
	peer_exchange_send(speeds->exchange, address, SPEED_EXCHANGE_MSG, bytes);
}

/* Reports to the own zone when it is due. */
static void speed_exchange_report_to_zone(struct speed_exchange *speeds, uint64_t now_us)
{
	g_autoptr(GByteArray) bytes = NULL;
	g_autoptr(GPtrArray) group = NULL;
	uint64_t interval_ms;

	if (now_us - speeds->sent_us < SPEED_EXCHANGE_INTERVAL_MS * 1000ULL)
		return;
	group = peer_exchange_group(speeds->exchange, false);
	interval_ms = MAX(SPEED_EXCHANGE_INTERVAL_MS,
			  group->len * 1000ULL / SPEED_EXCHANGE_MESSAGES_PER_S);
	if (now_us - speeds->sent_us < interval_ms * 1000)
		return;
	speeds->sent_us = now_us;
	bytes = speed_exchange_encode_own(speeds, false, now_us);
	for (guint i = 0; bytes && i < group->len; i++) {
		if (strcmp(group->pdata[i], peer_exchange_address(speeds->exchange)) != 0)
			speed_exchange_send(speeds, group->pdata[i], bytes);
	}
}

/* Accompanies some of the load totals that are sent to peers in other zones. Chance selects them,
 * so that each peer gets some. */
static void speed_exchange_on_totals(void *ctx, const char *address)
{
	struct speed_exchange *speeds = ctx;
	g_autoptr(GByteArray) bytes = NULL;

	if (g_hash_table_size(speeds->services) == 0 ||
	    g_rand_double(speeds->env->rand) >= SPEED_EXCHANGE_TOTALS_SHARE)
		return;
	bytes = speed_exchange_encode_own(speeds, true, env_now_us());
	if (bytes)
		speed_exchange_send(speeds, address, bytes);
}

/* Replaces what a source reported before. Speeds of unknown upstreams are ignored. */
static void speed_exchange_store(struct speed_exchange *speeds, GHashTable *sources,
				 const char *name, const GArray *reported)
{
	struct speed_exchange_source *source = g_new0(struct speed_exchange_source, 1);
	uint64_t now_us = env_now_us();

	source->received_us = now_us;
	source->reports = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	for (guint i = 0; i < reported->len; i++) {
		const struct speed_exchange_speed *speed =
			&g_array_index(reported, struct speed_exchange_speed, i);
		struct fleet_upstream *up = fleet_find_key(speeds->env->fleet, speed->upstream);
		struct upstream_speed_report report = {
			.sampled_us = now_us - MIN(speed->age_ms * 1000ULL, now_us)
		};

		if (!up)
			continue;
		/* This instance may have had no request for the service yet. */
		speed_exchange_add_service(speeds, fleet_upstream_service(up));
		memcpy(report.sums, speed->sums, sizeof(report.sums));
		g_hash_table_replace(source->reports, GUINT_TO_POINTER(speed->upstream),
				     g_memdup2(&report, sizeof(report)));
	}
	g_hash_table_replace(sources, g_strdup(name), source);
}

static void speed_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct speed_exchange *speeds = ctx;
	struct speed_exchange_report report;
	g_autoptr(GVariant) owner = NULL;
	bool same_zone;

	(void)type;
	if (!speed_exchange_decode(buf, len, &report, &owner)) {
		metric_add(speeds->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	same_zone = strcmp(report.zone, speeds->env->settings->zone) == 0;
	if (speeds->env->settings->load.speed_spread > 0.0 && report.is_total != same_zone)
		speed_exchange_store(speeds, same_zone ? speeds->members : speeds->zones,
				     same_zone ? report.address : report.zone, report.speeds);
	g_array_free(report.speeds, TRUE);
}

/* helpers: update */

static void speed_exchange_forget(void *ctx, struct fleet_upstream *up)
{
	(void)ctx;
	*fleet_upstream_speed(up) = (struct upstream_speed){ 0 };
}

static void speed_exchange_on_tick(uv_timer_t *timer)
{
	struct speed_exchange *speeds = timer->data;
	uint64_t now_us = env_now_us();
	uint32_t uneven = 0;
	GHashTableIter iter;
	const char *name;
	struct speed_exchange_service *service;

	/* The settings may have been reloaded. */
	if (speeds->env->settings->load.speed_spread <= 0.0) {
		if (g_hash_table_size(speeds->services) > 0)
			fleet_foreach(speeds->env->fleet, speed_exchange_forget, NULL);
		g_hash_table_remove_all(speeds->services);
		g_hash_table_remove_all(speeds->members);
		g_hash_table_remove_all(speeds->zones);
	}
	speed_exchange_expire(speeds->members, now_us);
	speed_exchange_expire(speeds->zones, now_us);
	g_hash_table_iter_init(&iter, speeds->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, (gpointer *)&service)) {
		speed_exchange_update(speeds, name, service, now_us);
		uneven += service->model.in_effect;
	}
	if (g_hash_table_size(speeds->services) > 0)
		speed_exchange_report_to_zone(speeds, now_us);
	metric_set(speeds->env->metric, METRIC_SERVICES_UNEVEN, uneven);
}

/* commands */

void speed_exchange_on_first_event(struct speed_exchange *speeds, struct fleet_upstream *up,
				   uint64_t observed_us, uint32_t expected_ms)
{
	if (expected_ms >= SPEED_EXCHANGE_FIRST_EVENT_MIN_MS)
		speed_exchange_add(speeds, up, UPSTREAM_SPEED_FIRST_EVENT, (double)observed_us,
				   expected_ms * 1000.0);
}

void speed_exchange_on_events(struct speed_exchange *speeds, struct fleet_upstream *up,
			      uint64_t observed_us, uint32_t count)
{
	uint32_t open = fleet_upstream_own_load(up)->open + fleet_upstream_peer_load(up).open;

	speed_exchange_add(speeds, up, UPSTREAM_SPEED_EVENT_GAP, (double)observed_us,
			   SPEED_EXCHANGE_UNIT_US * count *
				   (1.0 + SPEED_EXCHANGE_STEP_SHARE * open));
}

void speed_exchange_on_call(struct speed_exchange *speeds, struct fleet_upstream *up,
			    uint64_t observed_us, uint32_t open)
{
	uint32_t slots =
		fleet_upstream_slots(up) ? fleet_upstream_slots(up) : SPEED_EXCHANGE_PLAIN_SLOTS;

	/* Requests beyond the slots wait for those before them. */
	speed_exchange_add(speeds, up, UPSTREAM_SPEED_CALL, (double)observed_us,
			   SPEED_EXCHANGE_UNIT_US * MAX((double)open / slots, 1.0));
}

/* queries */

bool speed_exchange_is_learned(const struct speed_exchange *speeds, const struct fleet_upstream *up)
{
	/* The way to another region would count as slowness of its upstreams. */
	return speeds && speeds->env->settings->load.speed_spread > 0.0 &&
	       fleet_upstream_distance(up) != FLEET_OTHER_REGION;
}
