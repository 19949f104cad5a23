#include "entry_internal.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/lease.h"

#include <stdlib.h>
#include <string.h>

#define ORDERS_TICK_MS	  500
#define ORDERS_TTL_US	  (9ULL * 1000 * 1000)
#define ORDERS_CLOCK_US	  (500ULL * 1000)
#define ORDERS_TIMEOUT_MS 2000
#define ORDERS_ANSWER_MAX 4096
/* An order must end within the lease, also by another's clock. */
#define ORDERS_NEED_US	    (ORDERS_TIMEOUT_MS * 1000ULL + ORDERS_CLOCK_US)
#define ORDERS_READ_BACK_US (4ULL * 1000 * 1000) /* for a report that is newer than the order */

/*
 * Brings the engines of the own zone to the version that their profile names.
 * The holder of the zone's lease compares reports with the profile in force
 * and gives orders under the lease's fencing number. The rule holds for engines
 * that check the number and for those that ignore it: an order ends within the
 * lease, and a new holder waits until the last order of the one before has
 * ended.
 */
struct orders {
	struct entry *entry;
	struct lease *lease;
	char *key;
	uv_timer_t tick;
	GHashTable *given; /* engine id to struct order */
};

/* The last order to an engine. */
struct order {
	struct orders *orders;
	char *engine;
	uint64_t ended_us;
	bool running;
};

static void orders_on_tick(uv_timer_t *timer);
static void orders_commit(void *ctx, const struct table_write *write);
static void orders_read(void *ctx, const char *key);

static const struct lease_ops orders_lease_ops = { orders_commit, orders_read };

/* lifetime */

static void order_free(gpointer data)
{
	struct order *order = data;

	g_free(order->engine);
	g_free(order);
}

struct orders *orders_create(struct entry *entry)
{
	struct orders *orders = g_new0(struct orders, 1);
	g_autofree char *holder =
		g_strdup_printf("%s/%" G_GUINT64_FORMAT, entry->set->instance, entry->incarnation);
	struct lease_conf conf = { .holder = holder,
				   .ttl_us = ORDERS_TTL_US,
				   .max_clock_skew_us = ORDERS_CLOCK_US,
				   .grace_us = ORDERS_TIMEOUT_MS * 1000ULL };

	orders->entry = entry;
	orders->key = g_strdup_printf("lease/orders/%s", entry->set->zone);
	orders->given = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, order_free);
	conf.key = orders->key;
	orders->lease = lease_create(&conf, &orders_lease_ops, orders);
	uv_timer_init(entry->loop, &orders->tick);
	orders->tick.data = orders;
	uv_timer_start(&orders->tick, orders_on_tick, ORDERS_TICK_MS, ORDERS_TICK_MS);
	return orders;
}

static void orders_on_closed(uv_handle_t *handle)
{
	struct orders *orders = handle->data;

	lease_destroy(orders->lease);
	g_hash_table_destroy(orders->given);
	g_free(orders->key);
	g_free(orders);
}

void orders_destroy(struct orders *orders)
{
	if (orders)
		uv_close((uv_handle_t *)&orders->tick, orders_on_closed);
}

/* the lease */

static void orders_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			     uint32_t count)
{
	struct orders *orders = arg;

	lease_on_commit(orders->lease, entry_now_us(), result, count ? rows : NULL);
}

static void orders_commit(void *ctx, const struct table_write *write)
{
	struct orders *orders = ctx;
	struct table *table = orders->entry->table;

	table->ops->commit(table->ctx, write, 1, orders_on_commit, orders);
}

static void orders_on_read(void *arg, enum table_result result, const struct table_row *rows,
			   uint32_t count)
{
	struct orders *orders = arg;

	lease_on_read(orders->lease, entry_now_us(), result, count ? rows : NULL);
}

static void orders_read(void *ctx, const char *key)
{
	struct orders *orders = ctx;
	struct table *table = orders->entry->table;

	table->ops->read_prefix(table->ctx, key, orders_on_read, orders);
}

/* orders */

/* The version that the profile of a pool's first service names, or NULL. */
static const char *orders_wanted(const struct entry *entry, const char *pool)
{
	for (uint32_t i = 0; i < entry->set->service_count; i++) {
		const struct settings_service *service = &entry->set->services[i];
		const struct profile *prof;

		if (strcmp(service->upstream, pool) != 0)
			continue;
		prof = profile_config_find(entry->profile_config, service->profile);
		if (prof && prof->engine_version)
			return prof->engine_version;
	}
	return NULL;
}

static void orders_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct order *order = ctx;

	(void)answer;
	order->running = false;
	order->ended_us = entry_now_us();
}

static struct order *orders_slot(struct orders *orders, const char *engine)
{
	struct order *order = g_hash_table_lookup(orders->given, engine);

	if (order)
		return order;
	order = g_new0(struct order, 1);
	order->orders = orders;
	order->engine = g_strdup(engine);
	g_hash_table_insert(orders->given, order->engine, order);
	return order;
}

static void orders_give(struct orders *orders, struct upstream *up, const char *version)
{
	struct order *order = orders_slot(orders, upstream_id(up));
	uint64_t now_us = entry_now_us();
	json_t *root;
	char *text;
	struct http_call_request req = { .address = upstream_address(up),
					 .method = "POST",
					 .path = "/v1/orders",
					 .headers = "content-type: application/json\r\n",
					 .timeout_ms = ORDERS_TIMEOUT_MS,
					 .new_connection = true };

	/* What the last order did is read back before another one is given. */
	if (order->running || (order->ended_us && now_us - order->ended_us < ORDERS_READ_BACK_US))
		return;
	if (!lease_valid_for(orders->lease, now_us, ORDERS_NEED_US))
		return;
	root = json_pack("{s:I, s:{s:s}}", "fence", (json_int_t)lease_fencing_token(orders->lease),
			 "order", "version", version);
	text = json_dumps(root, JSON_COMPACT);
	req.body = text;
	req.body_len = strlen(text);
	order->running = true;
	log_event(LOG_ENGINE_ORDERED, "engine", upstream_id(up), "version", version, NULL);
	metric_add(orders->entry->metric, METRIC_ENGINE_ORDERS, 1);
	fetch_start(orders->entry->cli, &req, ORDERS_ANSWER_MAX, NULL, orders_on_answer, order);
	free(text);
	json_decref(root);
}

static void orders_compare(void *ctx, struct upstream *up)
{
	struct orders *orders = ctx;
	const char *wanted = orders_wanted(orders->entry, upstream_pool_name(up));
	const char *have = upstream_version(up);

	if (!wanted || !have || strcmp(wanted, have) == 0)
		return;
	if (upstream_state(up) == POOL_LIVE &&
	    pool_distance(orders->entry->pool, up) == POOL_SAME_ZONE)
		orders_give(orders, up, wanted);
}

static void orders_on_tick(uv_timer_t *timer)
{
	struct orders *orders = timer->data;

	if (!orders->entry->ready || orders->entry->stopping)
		return;
	lease_tick(orders->lease, entry_now_us(), entry_wall_ms());
	pool_foreach(orders->entry->pool, orders_compare, orders);
}
