#include "limit_exchange.h"

#include "flamingolatch/upstream_limit.h"

#include <string.h>

#define LIMIT_EXCHANGE_MSG 9 /* type of the message on the bus */
/* sender, zone, is_total, demands (service, requests in 1,000 s), limits (upstream, requests in
 * 1,000 s, age in ms) */
#define LIMIT_EXCHANGE_REPORT_TYPE "(ssba(uu)a(uuu))"
#define LIMIT_EXCHANGE_PER_S	   1000.0
#define LIMIT_EXCHANGE_NO_LIMIT	   G_MAXUINT32
#define LIMIT_EXCHANGE_TICK_MS	   100
/* Reports to the zone: the shortest interval, and messages a second in large zones. */
#define LIMIT_EXCHANGE_INTERVAL_MS    200
#define LIMIT_EXCHANGE_MESSAGES_PER_S 15
/* Weight of the last interval in the estimate of the demand. */
#define LIMIT_EXCHANGE_DEMAND_WEIGHT 0.05
/* What a peer or zone reported is used for this long. */
#define LIMIT_EXCHANGE_VALID_US (3ULL * 1000 * 1000)
/* After the last limit has ended, reports go on for this long. */
#define LIMIT_EXCHANGE_ACTIVE_US     (10ULL * 1000 * 1000)
#define LIMIT_EXCHANGE_RETURN_MAX_US (3ULL * 1000 * 1000)

/* Demand for a service at this instance. */
struct limit_exchange_service {
	uint32_t key;	   /* hash of its name */
	uint32_t requests; /* since the last tick */
	double demand_per_s;
	uint64_t next_return_us; /* when the next refused caller should come back */
};

/* What a peer of the zone, or another zone, reported. */
struct limit_exchange_source {
	GHashTable *demands; /* service key to double */
	uint64_t heard_us;
};

struct limit_exchange {
	struct env *env;
	struct peer_exchange *exchange;
	GHashTable *services; /* name to struct limit_exchange_service */
	GHashTable *members;  /* address to struct limit_exchange_source */
	GHashTable *zones;    /* other zone to struct limit_exchange_source */
	uint64_t active_until_us;
	uint64_t sent_us; /* last report to the zone */
	uint64_t ticked_us;
	uv_timer_t tick;
};

static void limit_exchange_on_tick(uv_timer_t *timer);
static void limit_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void limit_exchange_on_totals(void *ctx, const char *address);

/* lifetime */

static void limit_exchange_source_free(gpointer data)
{
	struct limit_exchange_source *source = data;

	g_hash_table_destroy(source->demands);
	g_free(source);
}

struct limit_exchange *limit_exchange_create(struct env *env, struct peer_exchange *exchange)
{
	struct limit_exchange *limits = g_new0(struct limit_exchange, 1);

	limits->env = env;
	limits->exchange = exchange;
	limits->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limits->members =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, limit_exchange_source_free);
	limits->zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, limit_exchange_source_free);
	peer_exchange_set_message_cb(exchange, LIMIT_EXCHANGE_MSG, limit_exchange_on_message,
				     limits);
	peer_exchange_set_totals_cb(exchange, LIMIT_EXCHANGE_MSG, limit_exchange_on_totals, limits);
	uv_timer_init(env->loop, &limits->tick);
	limits->tick.data = limits;
	limits->ticked_us = env_now_us();
	uv_timer_start(&limits->tick, limit_exchange_on_tick, LIMIT_EXCHANGE_TICK_MS,
		       LIMIT_EXCHANGE_TICK_MS);
	return limits;
}

static void limit_exchange_on_closed(uv_handle_t *handle)
{
	struct limit_exchange *limits = handle->data;

	g_hash_table_destroy(limits->services);
	g_hash_table_destroy(limits->members);
	g_hash_table_destroy(limits->zones);
	g_free(limits);
}

void limit_exchange_destroy(struct limit_exchange *limits)
{
	if (!limits)
		return;
	peer_exchange_set_message_cb(limits->exchange, LIMIT_EXCHANGE_MSG, NULL, NULL);
	peer_exchange_set_totals_cb(limits->exchange, LIMIT_EXCHANGE_MSG, NULL, NULL);
	uv_close((uv_handle_t *)&limits->tick, limit_exchange_on_closed);
}

/* helpers: demand */

static bool limit_exchange_is_active(const struct limit_exchange *limits, uint64_t now_us)
{
	return now_us < limits->active_until_us;
}

static struct limit_exchange_service *limit_exchange_service(struct limit_exchange *limits,
							     const char *name)
{
	struct limit_exchange_service *service = g_hash_table_lookup(limits->services, name);

	if (!service) {
		service = g_new0(struct limit_exchange_service, 1);
		service->key = g_str_hash(name);
		g_hash_table_insert(limits->services, g_strdup(name), service);
	}
	return service;
}

static void limit_exchange_update_demands(struct limit_exchange *limits, uint64_t now_us)
{
	double elapsed_s = (double)MAX(now_us - limits->ticked_us, 1) / 1e6;
	GHashTableIter iter;
	struct limit_exchange_service *service;

	limits->ticked_us = now_us;
	g_hash_table_iter_init(&iter, limits->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		service->demand_per_s += LIMIT_EXCHANGE_DEMAND_WEIGHT *
					 (service->requests / elapsed_s - service->demand_per_s);
		service->requests = 0;
	}
}

/* Returns the demand that a source reported for a service; 0 when it has not lately. */
static double limit_exchange_demand_of(GHashTable *sources, const char *name, uint32_t service,
				       uint64_t now_us)
{
	const struct limit_exchange_source *source = g_hash_table_lookup(sources, name);
	const double *per_s;

	if (!source || now_us - source->heard_us > LIMIT_EXCHANGE_VALID_US)
		return 0.0;
	per_s = g_hash_table_lookup(source->demands, GUINT_TO_POINTER(service));
	return per_s ? *per_s : 0.0;
}

/* helpers: shares */

/* The view of the shares of one service, while it is collected. */
struct limit_exchange_view {
	const struct limit_exchange *limits;
	uint64_t now_us;
	uint32_t service;
	GArray *zones;	 /* struct upstream_limit_zone; the own one first */
	GArray *members; /* struct upstream_limit_member; this instance first */
};

static void limit_exchange_add_member(void *ctx, const char *address)
{
	struct limit_exchange_view *view = ctx;
	struct upstream_limit_member member = { address, limit_exchange_demand_of(
								 view->limits->members, address,
								 view->service, view->now_us) };

	g_array_append_val(view->members, member);
	g_array_index(view->zones, struct upstream_limit_zone, 0).demand_per_s +=
		member.demand_per_s;
}

static void limit_exchange_add_zone(void *ctx, const char *name)
{
	struct limit_exchange_view *view = ctx;
	struct upstream_limit_zone zone = { name,
					    limit_exchange_demand_of(view->limits->zones, name,
								     view->service, view->now_us) };

	g_array_append_val(view->zones, zone);
}

static void limit_exchange_view_init(struct limit_exchange_view *view,
				     const struct limit_exchange *limits,
				     const struct limit_exchange_service *service, uint64_t now_us)
{
	struct upstream_limit_zone zone = { limits->env->settings->zone, service->demand_per_s };
	struct upstream_limit_member member = { peer_exchange_address(limits->exchange),
						service->demand_per_s };

	*view = (struct limit_exchange_view){
		.limits = limits,
		.now_us = now_us,
		.service = service->key,
		.zones = g_array_new(FALSE, FALSE, sizeof(struct upstream_limit_zone)),
		.members = g_array_new(FALSE, FALSE, sizeof(struct upstream_limit_member)),
	};
	g_array_append_val(view->zones, zone);
	g_array_append_val(view->members, member);
	peer_exchange_each_live(limits->exchange, limit_exchange_add_member,
				limit_exchange_add_zone, view);
}

static void limit_exchange_view_clear(struct limit_exchange_view *view)
{
	g_array_free(view->zones, TRUE);
	g_array_free(view->members, TRUE);
}

static void limit_exchange_set_share(void *ctx, struct fleet_upstream *up)
{
	struct limit_exchange *limits = ctx;
	struct upstream_limit *limit = fleet_upstream_limit(up);
	struct limit_exchange_view collected;
	struct upstream_limit_view view = { .upstream_key = fleet_upstream_key(up),
					    .upstream_zone = fleet_upstream_zone(up) };
	uint64_t now_us = env_now_us();

	if (!limit->limited)
		return;
	limits->active_until_us = now_us + LIMIT_EXCHANGE_ACTIVE_US;
	limit_exchange_view_init(&collected, limits,
				 limit_exchange_service(limits, fleet_upstream_service(up)),
				 now_us);
	view.zones = (const struct upstream_limit_zone *)collected.zones->data;
	view.zone_count = collected.zones->len;
	view.members = (const struct upstream_limit_member *)collected.members->data;
	view.member_count = collected.members->len;
	upstream_limit_set_share(limit, upstream_limit_share(&view, limit->limit_per_s), now_us);
	limit_exchange_view_clear(&collected);
}

/* helpers: messages */

void limit_exchange_encode(GByteArray *out, const struct limit_exchange_report *report)
{
	GVariantBuilder demands;
	GVariantBuilder limits;
	GVariant *root;

	g_variant_builder_init(&demands, G_VARIANT_TYPE("a(uu)"));
	g_variant_builder_init(&limits, G_VARIANT_TYPE("a(uuu)"));
	for (guint i = 0; i < report->demands->len; i++) {
		const struct limit_exchange_demand *demand =
			&g_array_index(report->demands, struct limit_exchange_demand, i);

		g_variant_builder_add(
			&demands, "(uu)", demand->service,
			(guint32)MIN(demand->per_s * LIMIT_EXCHANGE_PER_S, G_MAXUINT32 - 1.0));
	}
	for (guint i = 0; i < report->limits->len; i++) {
		const struct limit_exchange_limit *limit =
			&g_array_index(report->limits, struct limit_exchange_limit, i);

		g_variant_builder_add(
			&limits, "(uuu)", limit->upstream,
			limit->limit_per_s < 0.0
				? LIMIT_EXCHANGE_NO_LIMIT
				: (guint32)MIN(limit->limit_per_s * LIMIT_EXCHANGE_PER_S,
					       G_MAXUINT32 - 1.0),
			limit->age_ms);
	}
	root = g_variant_ref_sink(g_variant_new(LIMIT_EXCHANGE_REPORT_TYPE, report->address,
						report->zone, report->is_total, &demands, &limits));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

bool limit_exchange_decode(const void *buf, size_t len, struct limit_exchange_report *out,
			   GVariant **owner)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(LIMIT_EXCHANGE_REPORT_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) demands = NULL;
	g_autoptr(GVariantIter) limits = NULL;
	gboolean is_total;
	guint32 key;
	guint32 rate;
	guint32 age_ms;

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&sba(uu)a(uuu))", &out->address, &out->zone, &is_total, &demands,
		      &limits);
	out->is_total = is_total;
	out->demands = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_demand));
	out->limits = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_limit));
	while (g_variant_iter_next(demands, "(uu)", &key, &rate)) {
		struct limit_exchange_demand demand = { key, rate / LIMIT_EXCHANGE_PER_S };

		g_array_append_val(out->demands, demand);
	}
	while (g_variant_iter_next(limits, "(uuu)", &key, &rate, &age_ms)) {
		struct limit_exchange_limit limit = {
			key, rate == LIMIT_EXCHANGE_NO_LIMIT ? -1.0 : rate / LIMIT_EXCHANGE_PER_S,
			age_ms
		};

		g_array_append_val(out->limits, limit);
	}
	*owner = root;
	return true;
}

/* Adds the limit of an upstream that names one, or has lately. */
static void limit_exchange_append_limit(void *ctx, struct fleet_upstream *up)
{
	const struct upstream_limit *limit = fleet_upstream_limit(up);
	uint64_t now_us = env_now_us();
	struct limit_exchange_limit entry = {
		.upstream = fleet_upstream_key(up),
		.limit_per_s = limit->limited ? limit->limit_per_s : -1.0,
		.age_ms = (uint32_t)MIN((now_us - limit->heard_us) / 1000, G_MAXUINT32),
	};

	if (limit->limited ||
	    (limit->ended_us > 0 && now_us - limit->ended_us < LIMIT_EXCHANGE_ACTIVE_US))
		g_array_append_val((GArray *)ctx, entry);
}

/* Encodes the report of this instance, or of its zone. */
static GByteArray *limit_exchange_encode_own(struct limit_exchange *limits, bool is_total)
{
	GByteArray *bytes = g_byte_array_new();
	struct limit_exchange_report report = {
		.address = peer_exchange_address(limits->exchange),
		.zone = limits->env->settings->zone,
		.is_total = is_total,
		.demands = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_demand)),
		.limits = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_limit)),
	};
	uint64_t now_us = env_now_us();
	GHashTableIter iter;
	const struct limit_exchange_service *service;

	g_hash_table_iter_init(&iter, limits->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		struct limit_exchange_demand demand = { service->key, service->demand_per_s };
		struct limit_exchange_view view;

		if (is_total) {
			limit_exchange_view_init(&view, limits, service, now_us);
			demand.per_s = g_array_index(view.zones, struct upstream_limit_zone, 0)
					       .demand_per_s;
			limit_exchange_view_clear(&view);
		}
		g_array_append_val(report.demands, demand);
	}
	fleet_foreach(limits->env->fleet, limit_exchange_append_limit, report.limits);
	limit_exchange_encode(bytes, &report);
	g_array_free(report.demands, TRUE);
	g_array_free(report.limits, TRUE);
	return bytes;
}

static void limit_exchange_send(struct limit_exchange *limits, const char *address,
				const GByteArray *bytes)
{
	metric_add(limits->env->metric, METRIC_BUS_LIMIT_BYTES, bytes->len);
	peer_exchange_send(limits->exchange, address, LIMIT_EXCHANGE_MSG, bytes);
}

/* Reports to the own zone when it is due. */
static void limit_exchange_report_to_zone(struct limit_exchange *limits, uint64_t now_us)
{
	g_autoptr(GPtrArray) group = peer_exchange_group(limits->exchange, false);
	uint64_t interval_ms = MAX(LIMIT_EXCHANGE_INTERVAL_MS,
				   group->len * 1000ULL / LIMIT_EXCHANGE_MESSAGES_PER_S);
	g_autoptr(GByteArray) bytes = NULL;

	if (now_us - limits->sent_us < interval_ms * 1000)
		return;
	limits->sent_us = now_us;
	bytes = limit_exchange_encode_own(limits, false);
	for (guint i = 0; i < group->len; i++) {
		if (strcmp(group->pdata[i], peer_exchange_address(limits->exchange)) != 0)
			limit_exchange_send(limits, group->pdata[i], bytes);
	}
}

/* Accompanies the load totals that are sent to a peer in another zone. */
static void limit_exchange_on_totals(void *ctx, const char *address)
{
	struct limit_exchange *limits = ctx;
	g_autoptr(GByteArray) bytes = NULL;

	if (!limit_exchange_is_active(limits, env_now_us()))
		return;
	bytes = limit_exchange_encode_own(limits, true);
	limit_exchange_send(limits, address, bytes);
}

static void limit_exchange_log(const struct fleet_upstream *up, const char *source)
{
	const struct upstream_limit *limit = fleet_upstream_limit((struct fleet_upstream *)up);
	g_autofree char *per_s =
		limit->limited ? g_strdup_printf("%.2f", limit->limit_per_s) : g_strdup("-");

	log_event(LOG_UPSTREAM_LIMIT, "upstream", fleet_upstream_id(up), "limit_per_s", per_s,
		  "source", source, NULL);
}

static void limit_exchange_hear(struct limit_exchange *limits, struct fleet_upstream *up,
				double limit_per_s, uint64_t heard_us, const char *source)
{
	uint64_t now_us = env_now_us();

	if (!upstream_limit_hear(fleet_upstream_limit(up), limit_per_s, heard_us, now_us))
		return;
	if (!limit_exchange_is_active(limits, now_us))
		limits->sent_us = 0;
	limits->active_until_us = now_us + LIMIT_EXCHANGE_ACTIVE_US;
	limit_exchange_set_share(limits, up);
	limit_exchange_log(up, source);
}

/* Replaces what a source reported before. */
static void limit_exchange_store(GHashTable *sources, const char *name, const GArray *demands)
{
	struct limit_exchange_source *source = g_new0(struct limit_exchange_source, 1);

	source->heard_us = env_now_us();
	source->demands = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	for (guint i = 0; i < demands->len; i++) {
		const struct limit_exchange_demand *demand =
			&g_array_index(demands, struct limit_exchange_demand, i);

		g_hash_table_replace(source->demands, GUINT_TO_POINTER(demand->service),
				     g_memdup2(&demand->per_s, sizeof(demand->per_s)));
	}
	g_hash_table_replace(sources, g_strdup(name), source);
}

static void limit_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct limit_exchange *limits = ctx;
	struct limit_exchange_report report;
	g_autoptr(GVariant) owner = NULL;
	uint64_t now_us = env_now_us();
	bool same_zone;

	(void)type;
	if (!limit_exchange_decode(buf, len, &report, &owner)) {
		metric_add(limits->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	same_zone = strcmp(report.zone, limits->env->settings->zone) == 0;
	if (report.is_total && !same_zone)
		limit_exchange_store(limits->zones, report.zone, report.demands);
	else if (!report.is_total && same_zone)
		limit_exchange_store(limits->members, report.address, report.demands);
	for (guint i = 0; i < report.limits->len; i++) {
		const struct limit_exchange_limit *limit =
			&g_array_index(report.limits, struct limit_exchange_limit, i);
		struct fleet_upstream *up = fleet_find_key(limits->env->fleet, limit->upstream);

		if (up && now_us > limit->age_ms * 1000ULL)
			limit_exchange_hear(limits, up, limit->limit_per_s,
					    now_us - limit->age_ms * 1000ULL, "peer");
	}
	g_array_free(report.demands, TRUE);
	g_array_free(report.limits, TRUE);
}

static void limit_exchange_on_tick(uv_timer_t *timer)
{
	struct limit_exchange *limits = timer->data;
	uint64_t now_us = env_now_us();

	limit_exchange_update_demands(limits, now_us);
	if (!limit_exchange_is_active(limits, now_us))
		return;
	fleet_foreach(limits->env->fleet, limit_exchange_set_share, limits);
	limit_exchange_report_to_zone(limits, now_us);
}

/* commands */

void limit_exchange_on_request(struct limit_exchange *limits, const char *service)
{
	limit_exchange_service(limits, service)->requests++;
}

void limit_exchange_on_answer(struct limit_exchange *limits, struct fleet_upstream *up,
			      double limit_per_s)
{
	limit_exchange_hear(limits, up, limit_per_s, env_now_us(), "answer");
}

uint32_t limit_exchange_return_ms(struct limit_exchange *limits, const char *service)
{
	const GPtrArray *ups = fleet_service_upstreams(limits->env->fleet, service);
	struct limit_exchange_service *demand = limit_exchange_service(limits, service);
	uint64_t now_us = env_now_us();
	uint64_t latest_us = now_us + LIMIT_EXCHANGE_RETURN_MAX_US;
	double rate_per_s = 0.0;

	for (guint i = 0; i < ups->len; i++) {
		double named = upstream_limit_rate_per_s(fleet_upstream_limit(ups->pdata[i]));
		double cold = warm_up_rate_per_s(fleet_upstream_cold_limit(ups->pdata[i]), now_us);

		if (fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED)
			rate_per_s +=
				MAX(named < 0.0 || cold < 0.0 ? MAX(named, cold) : MIN(named, cold),
				    0.0);
	}
	demand->next_return_us = MAX(demand->next_return_us, now_us);
	demand->next_return_us +=
		rate_per_s > 0.0 ? (uint64_t)MIN(1e6 / rate_per_s, LIMIT_EXCHANGE_RETURN_MAX_US)
				 : LIMIT_EXCHANGE_RETURN_MAX_US;
	demand->next_return_us = MIN(demand->next_return_us, latest_us);
	return (uint32_t)((demand->next_return_us - now_us) / 1000);
}
