#include "entry_internal.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/lease.h"

#include <stdlib.h>
#include <string.h>

#define ORDERS_TICK_MS		  500
#define ORDERS_LEASE_TTL_US	  (9ULL * 1000 * 1000)
#define ORDERS_MAX_CLOCK_SKEW_US  (500ULL * 1000)
#define ORDERS_REQUEST_TIMEOUT_MS 2000
#define ORDERS_RESPONSE_MAX_BYTES 4096
/* An order must end before the lease expires, also by the clock of another instance. */
#define ORDERS_MIN_LEASE_LEFT_US (ORDERS_REQUEST_TIMEOUT_MS * 1000ULL + ORDERS_MAX_CLOCK_SKEW_US)
#define ORDERS_REPORT_WAIT_US	 (4ULL * 1000 * 1000) /* after an order, for a new load report */

/*
 * Brings the engines of the own zone to the version in their profile. An order is
 * a request to an engine to change its version, sent with the fencing token of a
 * lease. The instance that holds the zone's lease compares the versions that the
 * engines report with the current profiles, and sends the orders. Orders of two
 * holders never overlap, also at engines that do not check the token: an order
 * ends within the lease, and a new holder waits until the last order of the
 * previous one must have ended.
 */
struct orders {
	struct entry *entry;
	struct lease *lease;
	char *lease_key;
	uv_timer_t tick_timer;
	GHashTable *last_orders; /* engine id to struct order */
};

/* Last order to an engine. */
struct order {
	struct orders *orders;
	char *engine_id;
	uint64_t ended_us; /* 0 before the first order has ended */
	bool pending;
};

static void orders_on_tick(uv_timer_t *timer);
static void orders_lease_commit(void *ctx, const struct table_write *write);
static void orders_lease_read(void *ctx, const char *key);

static const struct lease_ops orders_lease_ops = { orders_lease_commit, orders_lease_read };

/* lifetime */

static void order_free(gpointer data)
{
	struct order *order = data;

	g_free(order->engine_id);
	g_free(order);
}

struct orders *orders_create(struct entry *entry)
{
	struct orders *orders = g_new0(struct orders, 1);
	g_autofree char *holder = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
						  entry->settings->instance, entry->incarnation);
	struct lease_conf conf = { .holder = holder,
				   .ttl_us = ORDERS_LEASE_TTL_US,
				   .max_clock_skew_us = ORDERS_MAX_CLOCK_SKEW_US,
				   .grace_us = ORDERS_REQUEST_TIMEOUT_MS * 1000ULL };

	orders->entry = entry;
	orders->lease_key = g_strdup_printf("lease/orders/%s", entry->settings->zone);
	orders->last_orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_free);
	conf.key = orders->lease_key;
	orders->lease = lease_create(&conf, &orders_lease_ops, orders);
	uv_timer_init(entry->loop, &orders->tick_timer);
	orders->tick_timer.data = orders;
	uv_timer_start(&orders->tick_timer, orders_on_tick, ORDERS_TICK_MS, ORDERS_TICK_MS);
	return orders;
}

static void orders_on_closed(uv_handle_t *handle)
{
	struct orders *orders = handle->data;

	lease_destroy(orders->lease);
	g_hash_table_destroy(orders->last_orders);
	g_free(orders->lease_key);
	g_free(orders);
}

void orders_destroy(struct orders *orders)
{
	if (orders)
		uv_close((uv_handle_t *)&orders->tick_timer, orders_on_closed);
}

/* operations of struct lease */

static void orders_on_lease_commit(void *arg, enum table_result result,
				   const struct table_row *rows, uint32_t count)
{
	struct orders *orders = arg;

	lease_on_commit(orders->lease, entry_now_us(), result, count ? rows : NULL);
}

static void orders_lease_commit(void *ctx, const struct table_write *write)
{
	struct orders *orders = ctx;
	struct table *table = orders->entry->table;

	table->ops->commit(table->ctx, write, 1, orders_on_lease_commit, orders);
}

static void orders_on_lease_read(void *arg, enum table_result result, const struct table_row *rows,
				 uint32_t count)
{
	struct orders *orders = arg;

	lease_on_read(orders->lease, entry_now_us(), result, count ? rows : NULL);
}

static void orders_lease_read(void *ctx, const char *key)
{
	struct orders *orders = ctx;
	struct table *table = orders->entry->table;

	table->ops->read_prefix(table->ctx, key, orders_on_lease_read, orders);
}

/* orders */

/* Returns the engine version in the profiles of the pool's services: the first that is set, or
 * NULL. */
static const char *orders_required_version(const struct entry *entry, const char *pool)
{
	for (uint32_t i = 0; i < entry->settings->service_count; i++) {
		const struct settings_service *service = &entry->settings->services[i];
		const struct profile *profile;

		if (strcmp(service->upstream, pool) != 0)
			continue;
		profile = profile_config_find(entry->profile_config, service->profile);
		if (profile && profile->engine_version)
			return profile->engine_version;
	}
	return NULL;
}

static void orders_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct order *order = ctx;

	(void)answer;
	order->pending = false;
	order->ended_us = entry_now_us();
}

static struct order *orders_get_last(struct orders *orders, const char *engine)
{
	struct order *order = g_hash_table_lookup(orders->last_orders, engine);

	if (order)
		return order;
	order = g_new0(struct order, 1);
	order->orders = orders;
	order->engine_id = g_strdup(engine);
	g_hash_table_insert(orders->last_orders, order->engine_id, order);
	return order;
}

static void orders_send(struct orders *orders, struct upstream *up, const char *version)
{
	struct order *order = orders_get_last(orders, upstream_id(up));
	uint64_t now_us = entry_now_us();
	json_t *root;
	char *text;
	struct http_call_request req = { .address = upstream_address(up),
					 .method = "POST",
					 .path = "/v1/orders",
					 .headers = "content-type: application/json\r\n",
					 .timeout_ms = ORDERS_REQUEST_TIMEOUT_MS,
					 .new_connection = true };

	/* Waits until a load report can show the effect of the last order. */
	if (order->pending || (order->ended_us && now_us - order->ended_us < ORDERS_REPORT_WAIT_US))
		return;
	if (!lease_valid_for(orders->lease, now_us, ORDERS_MIN_LEASE_LEFT_US))
		return;
	root = json_pack("{s:I, s:{s:s}}", "fence", (json_int_t)lease_fencing_token(orders->lease),
			 "order", "version", version);
	text = json_dumps(root, JSON_COMPACT);
	req.body = text;
	req.body_len = strlen(text);
	order->pending = true;
	log_event(LOG_ENGINE_ORDERED, "engine", upstream_id(up), "version", version, NULL);
	metric_add(orders->entry->metric, METRIC_ENGINE_ORDERS, 1);
	fetch_start(orders->entry->client, &req, ORDERS_RESPONSE_MAX_BYTES, NULL, orders_on_answer,
		    order);
	free(text);
	json_decref(root);
}

static void orders_check_engine(void *ctx, struct upstream *up)
{
	struct orders *orders = ctx;
	const char *required = orders_required_version(orders->entry, upstream_pool_name(up));
	const char *reported = upstream_version(up);

	if (!required || !reported || strcmp(required, reported) == 0)
		return;
	if (upstream_state(up) == POOL_LIVE &&
	    pool_distance(orders->entry->pool, up) == POOL_SAME_ZONE)
		orders_send(orders, up, required);
}

static void orders_on_tick(uv_timer_t *timer)
{
	struct orders *orders = timer->data;

	if (!orders->entry->ready || orders->entry->stopping)
		return;
	lease_tick(orders->lease, entry_now_us(), entry_wall_ms());
	pool_foreach(orders->entry->pool, orders_check_engine, orders);
}
