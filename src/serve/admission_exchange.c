#include "admission_exchange.h"

#include <string.h>

#define ADMISSION_EXCHANGE_MSG 13 /* type of the message on the bus */
/* sender, zone, is_total, demands (service, tokens) */
#define ADMISSION_EXCHANGE_REPORT_TYPE "(ssba(uu))"
#define ADMISSION_EXCHANGE_TICK_MS     100
/* Reports: the shortest interval, and messages a second in large zones. */
#define ADMISSION_EXCHANGE_INTERVAL_MS	  500
#define ADMISSION_EXCHANGE_MESSAGES_PER_S 15
/* Peers that get the total of the zone with each report. */
#define ADMISSION_EXCHANGE_TOTALS 3
/* A report counts less from the first age on, and not at all from the second. */
#define ADMISSION_EXCHANGE_FRESH_US (1000ULL * 1000)
#define ADMISSION_EXCHANGE_VALID_US (2000ULL * 1000)
/* Reports go on for this long after the last urgent generation. */
#define ADMISSION_EXCHANGE_ACTIVE_US (5ULL * 1000 * 1000)

/* Demand for a service at this instance. */
struct admission_exchange_service {
	uint32_t key; /* hash of its name */
	struct admission_demand demand;
	struct admission_returns returns[ADMISSION_CLASS_COUNT];
};

/* What a peer of the zone, or another zone, reported. */
struct admission_exchange_source {
	GArray *demands; /* struct admission_exchange_demand */
	uint64_t heard_us;
};

struct admission_exchange {
	struct env *env;
	struct peer_exchange *exchange;
	GHashTable *services; /* name to struct admission_exchange_service */
	GHashTable *members;  /* address to struct admission_exchange_source */
	GHashTable *zones;    /* other zone to struct admission_exchange_source */
	uint64_t active_until_us;
	uint64_t sent_us; /* last report */
	uint64_t ticked_us;
	uv_timer_t tick;
};

static void admission_exchange_on_tick(uv_timer_t *timer);
static void admission_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len);

/* lifetime */

static void admission_exchange_source_free(gpointer data)
{
	struct admission_exchange_source *source = data;

	g_array_free(source->demands, TRUE);
	g_free(source);
}

struct admission_exchange *admission_exchange_create(struct env *env,
						     struct peer_exchange *exchange)
{
	struct admission_exchange *admission = g_new0(struct admission_exchange, 1);

	admission->env = env;
	admission->exchange = exchange;
	admission->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	admission->members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						   admission_exchange_source_free);
	admission->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						 admission_exchange_source_free);
	if (exchange)
		peer_exchange_set_message_cb(exchange, ADMISSION_EXCHANGE_MSG,
					     admission_exchange_on_message, admission);
	uv_timer_init(env->loop, &admission->tick);
	admission->tick.data = admission;
	admission->ticked_us = env_now_us();
	uv_timer_start(&admission->tick, admission_exchange_on_tick, ADMISSION_EXCHANGE_TICK_MS,
		       ADMISSION_EXCHANGE_TICK_MS);
	return admission;
}

static void admission_exchange_on_closed(uv_handle_t *handle)
{
	struct admission_exchange *admission = handle->data;

	g_hash_table_destroy(admission->services);
	g_hash_table_destroy(admission->members);
	g_hash_table_destroy(admission->zones);
	g_free(admission);
}

void admission_exchange_destroy(struct admission_exchange *admission)
{
	if (!admission)
		return;
	if (admission->exchange)
		peer_exchange_set_message_cb(admission->exchange, ADMISSION_EXCHANGE_MSG, NULL,
					     NULL);
	uv_close((uv_handle_t *)&admission->tick, admission_exchange_on_closed);
}

/* helpers: demand */

static struct admission_exchange_service *
admission_exchange_service(struct admission_exchange *admission, const char *name)
{
	struct admission_exchange_service *service = g_hash_table_lookup(admission->services, name);

	if (!service) {
		service = g_new0(struct admission_exchange_service, 1);
		service->key = g_str_hash(name);
		g_hash_table_insert(admission->services, g_strdup(name), service);
	}
	return service;
}

/* Returns the sum of what sources reported for a service, less for old reports. */
static double admission_exchange_sum(GHashTable *sources, uint32_t service, uint64_t now_us)
{
	GHashTableIter iter;
	const struct admission_exchange_source *source;
	double sum = 0.0;

	g_hash_table_iter_init(&iter, sources);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&source)) {
		uint64_t age_us = MAX(now_us - source->heard_us, ADMISSION_EXCHANGE_FRESH_US);

		if (age_us >= ADMISSION_EXCHANGE_VALID_US)
			continue;
		for (guint i = 0; i < source->demands->len; i++) {
			const struct admission_exchange_demand *demand = &g_array_index(
				source->demands, struct admission_exchange_demand, i);

			if (demand->service == service)
				sum += demand->tokens *
				       (double)(ADMISSION_EXCHANGE_VALID_US - age_us) /
				       (double)(ADMISSION_EXCHANGE_VALID_US -
						ADMISSION_EXCHANGE_FRESH_US);
		}
	}
	return sum;
}

/* Returns the demand of this zone for a service, in tokens. */
static double admission_exchange_zone_tokens(const struct admission_exchange *admission,
					     const struct admission_exchange_service *service,
					     uint64_t now_us)
{
	return admission_demand_tokens(&service->demand) +
	       admission_exchange_sum(admission->members, service->key, now_us);
}

static gboolean admission_exchange_is_old(gpointer key, gpointer value, gpointer now_us)
{
	const struct admission_exchange_source *source = value;

	(void)key;
	return *(uint64_t *)now_us - source->heard_us >= ADMISSION_EXCHANGE_VALID_US;
}

/* helpers: messages */

void admission_exchange_encode(GByteArray *out, const struct admission_exchange_report *report)
{
	GVariantBuilder demands;
	GVariant *root;

	g_variant_builder_init(&demands, G_VARIANT_TYPE("a(uu)"));
	for (guint i = 0; i < report->demands->len; i++) {
		const struct admission_exchange_demand *demand =
			&g_array_index(report->demands, struct admission_exchange_demand, i);

		g_variant_builder_add(&demands, "(uu)", demand->service, demand->tokens);
	}
	root = g_variant_ref_sink(g_variant_new(ADMISSION_EXCHANGE_REPORT_TYPE, report->address,
						report->zone, report->is_total, &demands));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

bool admission_exchange_decode(const void *buf, size_t len, struct admission_exchange_report *out,
			       GVariant **owner)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(ADMISSION_EXCHANGE_REPORT_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) demands = NULL;
	gboolean is_total;
	struct admission_exchange_demand demand;

	if (!g_variant_is_normal_form(root)) {
		g_variant_unref(root);
		return false;
	}
	g_variant_get(root, "(&s&sba(uu))", &out->address, &out->zone, &is_total, &demands);
	out->is_total = is_total;
	out->demands = g_array_new(FALSE, FALSE, sizeof(struct admission_exchange_demand));
	while (g_variant_iter_next(demands, "(uu)", &demand.service, &demand.tokens))
		g_array_append_val(out->demands, demand);
	*owner = root;
	return true;
}

/* Encodes the report of this instance, or of its zone. */
static GByteArray *admission_exchange_encode_own(const struct admission_exchange *admission,
						 bool is_total, uint64_t now_us)
{
	GByteArray *bytes = g_byte_array_new();
	g_autoptr(GArray) demands =
		g_array_new(FALSE, FALSE, sizeof(struct admission_exchange_demand));
	struct admission_exchange_report report = {
		.address = peer_exchange_address(admission->exchange),
		.zone = admission->env->settings->zone,
		.is_total = is_total,
		.demands = demands,
	};
	GHashTableIter iter;
	const struct admission_exchange_service *service;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		double tokens = is_total
					? admission_exchange_zone_tokens(admission, service, now_us)
					: admission_demand_tokens(&service->demand);
		struct admission_exchange_demand demand = {
			service->key, (uint32_t)MIN(tokens, (double)G_MAXUINT32)
		};

		g_array_append_val(demands, demand);
	}
	admission_exchange_encode(bytes, &report);
	return bytes;
}

/* Reports to the own zone, and the total of the zone to some peers, when it is due. */
static void admission_exchange_send(struct admission_exchange *admission, uint64_t now_us)
{
	g_autoptr(GPtrArray) group = peer_exchange_group(admission->exchange, false);
	uint64_t interval_ms = MAX(ADMISSION_EXCHANGE_INTERVAL_MS,
				   group->len * 1000ULL / ADMISSION_EXCHANGE_MESSAGES_PER_S);
	g_autoptr(GByteArray) own = NULL;
	g_autoptr(GByteArray) total = NULL;
	uint32_t sent;

	if (now_us - admission->sent_us < interval_ms * 1000)
		return;
	admission->sent_us = now_us;
	own = admission_exchange_encode_own(admission, false, now_us);
	total = admission_exchange_encode_own(admission, true, now_us);
	sent = peer_exchange_send_to_all(admission->exchange, ADMISSION_EXCHANGE_MSG, own, true);
	peer_exchange_send_to_some(admission->exchange, ADMISSION_EXCHANGE_MSG, total,
				   ADMISSION_EXCHANGE_TOTALS);
	metric_add(admission->env->metric, METRIC_BUS_ADMISSION_BYTES,
		   (uint64_t)sent * own->len + ADMISSION_EXCHANGE_TOTALS * (uint64_t)total->len);
}

/* Replaces what a source reported before. */
static void admission_exchange_store(GHashTable *sources, const char *name, GArray *demands)
{
	struct admission_exchange_source *source = g_new0(struct admission_exchange_source, 1);

	source->heard_us = env_now_us();
	source->demands = g_array_ref(demands);
	g_hash_table_replace(sources, g_strdup(name), source);
}

static void admission_exchange_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct admission_exchange *admission = ctx;
	struct admission_exchange_report report;
	g_autoptr(GVariant) owner = NULL;
	bool same_zone;

	(void)type;
	if (!admission_exchange_decode(buf, len, &report, &owner)) {
		metric_add(admission->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	same_zone = strcmp(report.zone, admission->env->settings->zone) == 0;
	if (report.is_total && !same_zone)
		admission_exchange_store(admission->zones, report.zone, report.demands);
	else if (!report.is_total && same_zone &&
		 strcmp(report.address, peer_exchange_address(admission->exchange)) != 0)
		admission_exchange_store(admission->members, report.address, report.demands);
	g_array_unref(report.demands);
}

static void admission_exchange_on_tick(uv_timer_t *timer)
{
	struct admission_exchange *admission = timer->data;
	uint64_t now_us = env_now_us();
	double elapsed_ms = (double)(now_us - admission->ticked_us) / 1000.0;
	GHashTableIter iter;
	struct admission_exchange_service *service;

	admission->ticked_us = now_us;
	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service))
		admission_demand_update(&service->demand, elapsed_ms);
	g_hash_table_foreach_remove(admission->members, admission_exchange_is_old, &now_us);
	g_hash_table_foreach_remove(admission->zones, admission_exchange_is_old, &now_us);
	if (admission->exchange && now_us < admission->active_until_us)
		admission_exchange_send(admission, now_us);
}

/* commands */

void admission_exchange_on_arrival(struct admission_exchange *admission, const char *service,
				   uint64_t tokens)
{
	admission_demand_arrive(&admission_exchange_service(admission, service)->demand, tokens);
	admission->active_until_us = env_now_us() + ADMISSION_EXCHANGE_ACTIVE_US;
}

void admission_exchange_on_end(struct admission_exchange *admission, const char *service,
			       uint32_t hold_ms)
{
	if (!admission)
		return;
	admission_demand_end(&admission_exchange_service(admission, service)->demand, hold_ms);
}

struct admission_returns *admission_exchange_returns(struct admission_exchange *admission,
						     const char *service,
						     enum admission_class class)
{
	return &admission_exchange_service(admission, service)->returns[class];
}

/* queries */

double admission_exchange_tokens(const struct admission_exchange *admission, const char *service)
{
	const struct admission_exchange_service *own;
	uint64_t now_us = env_now_us();
	uint32_t key = g_str_hash(service);
	double tokens;

	if (!admission)
		return 0.0;
	own = g_hash_table_lookup(admission->services, service);
	tokens = own ? admission_demand_tokens(&own->demand) : 0.0;
	return tokens + admission_exchange_sum(admission->members, key, now_us) +
	       admission_exchange_sum(admission->zones, key, now_us);
}

json_t *admission_exchange_json(const struct admission_exchange *admission)
{
	json_t *out = json_array();
	GHashTableIter iter;
	const char *name;
	const struct admission_exchange_service *service;

	g_hash_table_iter_init(&iter, admission->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, (gpointer *)&service))
		json_array_append_new(
			out,
			json_pack("{s:s, s:f, s:f, s:f, s:f}", "service", name, "own_tokens_per_s",
				  service->demand.tokens_per_s, "hold_ms", service->demand.hold_ms,
				  "own_tokens", admission_demand_tokens(&service->demand),
				  "all_tokens", admission_exchange_tokens(admission, name)));
	return out;
}
