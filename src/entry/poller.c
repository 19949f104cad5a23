#include "entry_internal.h"
#include "flamingolatch/fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLLER_TICK_MS 100
/* For the delegate of the zone, and for every instance until it is ready. */
#define POLLER_CONFIG_DELEGATE_INTERVAL_MS   1000
#define POLLER_CONFIG_INTERVAL_MS	     10000
#define POLLER_LIST_MAX_BYTES_PER_S	     4000 /* a longer list is read less often */
#define POLLER_MAX_REPORTS_PER_S	     8	  /* with many engines, each is polled less often */
#define POLLER_LIST_MIN_INTERVAL_MS	     2000
#define POLLER_REPORT_OWN_ZONE_INTERVAL_MS   1000
#define POLLER_REPORT_OTHER_ZONE_INTERVAL_MS 5000
#define POLLER_REQUEST_TIMEOUT_MS	     1500
#define POLLER_RESPONSE_MAX_BYTES	     (4U << 20)
#define POLLER_DOWN_FAILURE_COUNT	     3
#define POLLER_CONFIG_TASK		     "config" /* see membership_is_delegate() */

/* Polling state of one engine. */
struct poller_engine {
	struct poller *poller;
	char *id;
	uint64_t next_poll_ms;
	uint64_t last_cache_event_seq;
	uint32_t consecutive_failures;
	bool request_pending;
	bool listed; /* contained in poller->engines */
};

/*
 * Reads the configuration from the store, the instance list from the platform
 * and the load report of each engine, each at an interval with jitter.
 */
struct poller {
	struct entry *entry;
	uv_timer_t tick_timer;
	GRand *rand;
	GHashTable *engines; /* id to struct poller_engine */
	uint64_t next_config_read_ms;
	uint64_t next_list_read_ms;
	double report_credit; /* load reports that may be requested now (token bucket) */
	bool config_request_pending;
	bool list_request_pending;
};

static void poller_on_tick(uv_timer_t *timer);

/* lifetime */

/* Frees an engine that is no longer listed, now or when its pending request has ended. */
static void poller_engine_unlist(gpointer data)
{
	struct poller_engine *engine = data;

	engine->listed = false;
	if (engine->request_pending)
		return;
	g_free(engine->id);
	g_free(engine);
}

struct poller *poller_create(struct entry *entry)
{
	struct poller *poller = g_new0(struct poller, 1);

	poller->entry = entry;
	poller->rand = g_rand_new_with_seed((guint32)entry->incarnation);
	poller->engines =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, poller_engine_unlist);
	uv_timer_init(entry->loop, &poller->tick_timer);
	poller->tick_timer.data = poller;
	uv_timer_start(&poller->tick_timer, poller_on_tick, 0, POLLER_TICK_MS);
	return poller;
}

static void poller_on_closed(uv_handle_t *handle)
{
	struct poller *poller = handle->data;

	g_hash_table_destroy(poller->engines);
	g_rand_free(poller->rand);
	g_free(poller);
}

void poller_destroy(struct poller *poller)
{
	if (poller)
		uv_close((uv_handle_t *)&poller->tick_timer, poller_on_closed);
}

/* helpers */

static uint64_t poller_now_ms(void)
{
	return entry_now_us() / 1000;
}

/* Returns the time of the next poll: after the interval, plus or minus up to 25 % at random, so
 * that instances do not poll at the same time. */
static uint64_t poller_next_time_ms(struct poller *poller, uint32_t interval_ms)
{
	return poller_now_ms() + interval_ms * 3 / 4 +
	       g_rand_int_range(poller->rand, 0, (gint32)interval_ms / 2 + 1);
}

static void poller_get(struct poller *poller, const char *address, const char *path, fetch_cb cb,
		       void *ctx)
{
	struct http_call_request req = { .address = address,
					 .method = "GET",
					 .path = path,
					 .timeout_ms = POLLER_REQUEST_TIMEOUT_MS };

	fetch_start(poller->entry->client, &req, POLLER_RESPONSE_MAX_BYTES, NULL, cb, ctx);
}

/* configuration */

static json_t *poller_build_snapshot(const struct table_row *rows, uint32_t count)
{
	json_t *profiles = json_array();
	json_int_t revision = 0;

	for (uint32_t i = 0; i < count; i++) {
		json_t *value = json_loads(rows[i].value ? rows[i].value : "", 0, NULL);

		if (strcmp(rows[i].key, PROFILE_CONFIG_REVISION_KEY) == 0)
			revision = json_integer_value(json_object_get(value, "revision"));
		else if (value)
			json_array_append(profiles, value);
		json_decref(value);
	}
	return json_pack("{s:I, s:o}", "revision", revision, "profiles", profiles);
}

static void poller_on_config_rows(void *arg, enum table_result result, const struct table_row *rows,
				  uint32_t count)
{
	struct poller *poller = arg;
	json_t *snapshot;

	poller->config_request_pending = false;
	if (result != TABLE_OK)
		return;
	poller->entry->config_confirmed_us = entry_now_us();
	snapshot = poller_build_snapshot(rows, count);
	entry_apply_config(poller->entry, snapshot, "table");
	json_decref(snapshot);
}

/* Reads all configuration rows only if the revision in the store is newer than the current one.
 * Reading only the revision is cheap. */
static void poller_on_revision(void *arg, enum table_result result, const struct table_row *rows,
			       uint32_t count)
{
	struct poller *poller = arg;
	struct table *table = poller->entry->table;
	json_t *value = result == TABLE_OK && count ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_int_t revision = json_integer_value(json_object_get(value, "revision"));

	json_decref(value);
	if (result == TABLE_OK &&
	    (uint64_t)revision > profile_config_revision(poller->entry->profile_config)) {
		table->ops->read_prefix(table->ctx, PROFILE_CONFIG_KEY_PREFIX,
					poller_on_config_rows, poller);
		return;
	}
	poller->config_request_pending = false;
	if (result == TABLE_OK)
		poller->entry->config_confirmed_us = entry_now_us();
}

static void poller_read_revision(struct poller *poller)
{
	struct entry *entry = poller->entry;
	bool delegate_or_not_ready =
		!entry->ready || membership_is_delegate(entry->membership, POLLER_CONFIG_TASK);

	if (poller->config_request_pending)
		return;
	poller->config_request_pending = true;
	poller->next_config_read_ms = poller_next_time_ms(
		poller, delegate_or_not_ready ? POLLER_CONFIG_DELEGATE_INTERVAL_MS
					      : POLLER_CONFIG_INTERVAL_MS);
	entry->table->ops->read_prefix(entry->table->ctx, PROFILE_CONFIG_REVISION_KEY,
				       poller_on_revision, poller);
}

/* instance list */

/* Returns a string member of an object, "" if there is none. */
static const char *poller_json_string(const json_t *item, const char *key)
{
	const char *text = json_string_value(json_object_get(item, key));

	return text ? text : "";
}

static void poller_apply_upstream(struct poller *poller, const json_t *item, GHashTable *listed_ids)
{
	struct entry *entry = poller->entry;
	const char *id = poller_json_string(item, "id");
	struct upstream *up;
	struct poller_engine *engine;

	up = pool_put(entry->pool, id, poller_json_string(item, "pool"),
		      poller_json_string(item, "address"), poller_json_string(item, "zone"),
		      poller_json_string(item, "region"));
	g_hash_table_add(listed_ids, g_strdup(id));
	if (strcmp(poller_json_string(item, "state"), "leaving") == 0)
		entry_mark_upstream_leaving(entry, up, "list");
	if (strcmp(poller_json_string(item, "kind"), "engine") != 0 ||
	    g_hash_table_contains(poller->engines, id))
		return;
	engine = g_new0(struct poller_engine, 1);
	engine->poller = poller;
	engine->id = g_strdup(id);
	engine->listed = true;
	g_hash_table_insert(poller->engines, engine->id, engine);
}

/* Context of the search for upstreams that are no longer in the instance list. */
struct poller_sweep {
	GHashTable *listed_ids;
	GPtrArray *unlisted;
};

static void poller_collect_unlisted(void *ctx, struct upstream *up)
{
	struct poller_sweep *sweep = ctx;

	if (!g_hash_table_contains(sweep->listed_ids, upstream_id(up)))
		g_ptr_array_add(sweep->unlisted, up);
}

static void poller_remove_unlisted(struct poller *poller, GHashTable *listed_ids)
{
	struct poller_sweep sweep = { listed_ids, g_ptr_array_new() };

	pool_foreach(poller->entry->pool, poller_collect_unlisted, &sweep);
	for (guint i = 0; i < sweep.unlisted->len; i++) {
		g_hash_table_remove(poller->engines, upstream_id(sweep.unlisted->pdata[i]));
		pool_remove(poller->entry->pool, sweep.unlisted->pdata[i]);
	}
	g_ptr_array_free(sweep.unlisted, TRUE);
}

static void poller_on_list(void *ctx, const struct fetch_response *answer)
{
	struct poller *poller = ctx;
	struct entry *entry = poller->entry;
	json_t *root = json_loadb(answer->body, answer->body_len, 0, NULL);
	json_t *list = json_object_get(root, "instances");
	g_autoptr(GHashTable) listed_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	poller->list_request_pending = false;
	if (answer->result == HTTP_CALL_OK && answer->status == 200 && json_is_array(list)) {
		entry->list_read_us = entry_now_us();
		membership_begin_list(entry->membership);
		for (size_t i = 0; i < json_array_size(list); i++) {
			const json_t *item = json_array_get(list, i);

			if (strcmp(poller_json_string(item, "kind"), "entry") == 0)
				membership_add_listed(
					entry->membership, poller_json_string(item, "id"),
					poller_json_string(item, "zone"),
					poller_json_string(item, "address"), entry_now_us());
			else
				poller_apply_upstream(poller, item, listed_ids);
		}
		poller_remove_unlisted(poller, listed_ids);
		poller->next_list_read_ms = MAX(
			poller->next_list_read_ms,
			poller_now_ms() + answer->body_len * 1000 / POLLER_LIST_MAX_BYTES_PER_S);
		metric_set(entry->metric, METRIC_UPSTREAMS, pool_count(entry->pool));
	}
	json_decref(root);
}

static void poller_read_list(struct poller *poller)
{
	if (poller->list_request_pending)
		return;
	poller->list_request_pending = true;
	poller->next_list_read_ms = poller_next_time_ms(poller, POLLER_LIST_MIN_INTERVAL_MS);
	poller_get(poller, poller->entry->settings->platform, "/instances", poller_on_list, poller);
}

/* engine reports */

static uint64_t poller_json_uint(const json_t *root, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(root, key));
}

static void poller_apply_cache_events(struct poller_engine *engine, struct upstream *up,
				      const json_t *root)
{
	const json_t *events = json_object_get(root, "cache_events");

	for (size_t i = 0; i < json_array_size(events); i++) {
		const json_t *event = json_array_get(events, i);
		uint64_t seq = poller_json_uint(event, "seq");
		uint64_t block = g_ascii_strtoull(poller_json_string(event, "block"), NULL, 16);

		/* Events were missed, and they may have removed any of the blocks. */
		if (engine->last_cache_event_seq && seq != engine->last_cache_event_seq + 1)
			upstream_clear_cached_blocks(up);
		engine->last_cache_event_seq = seq;
		if (json_is_true(json_object_get(event, "stored")))
			upstream_add_cached_blocks(up, &block, 1);
		else
			upstream_remove_cached_block(up, block);
	}
}

static void poller_apply_report(struct poller_engine *engine, struct upstream *up,
				const struct fetch_response *answer)
{
	struct entry *entry = engine->poller->entry;
	json_t *root = json_loadb(answer->body, answer->body_len, 0, NULL);
	struct pool_report report = { .kv_capacity = poller_json_uint(root, "kv_capacity"),
				      .kv_used = poller_json_uint(root, "kv_used"),
				      .running = poller_json_uint(root, "running"),
				      .waiting = poller_json_uint(root, "waiting"),
				      .at_us = entry_now_us() };

	if (report.kv_capacity)
		upstream_set_report(up, &report);
	upstream_set_version(up, json_string_value(json_object_get(root, "version")));
	poller_apply_cache_events(engine, up, root);
	if (json_is_true(json_object_get(root, "leaving")))
		entry_mark_upstream_leaving(entry, up, "engine");
	json_decref(root);
}

static void poller_on_report(void *ctx, const struct fetch_response *answer)
{
	struct poller_engine *engine = ctx;
	struct upstream *up;
	bool ok = answer->result == HTTP_CALL_OK && answer->status == 200;

	engine->request_pending = false;
	if (!engine->listed) {
		poller_engine_unlist(engine);
		return;
	}
	up = pool_find(engine->poller->entry->pool, engine->id);
	if (!up)
		return;
	engine->consecutive_failures = ok ? 0 : engine->consecutive_failures + 1;
	if (ok)
		poller_apply_report(engine, up, answer);
	if (ok && upstream_set_reachable(up, true))
		log_event(LOG_ENGINE_UP, "engine", engine->id, NULL);
	if (engine->consecutive_failures >= POLLER_DOWN_FAILURE_COUNT &&
	    upstream_set_reachable(up, false))
		log_event(LOG_ENGINE_DOWN, "engine", engine->id, NULL);
}

static void poller_request_report(struct poller *poller, struct poller_engine *engine)
{
	const struct upstream *up = pool_find(poller->entry->pool, engine->id);
	char path[64];
	bool same_zone;

	engine->next_poll_ms = poller_next_time_ms(poller, POLLER_REPORT_OTHER_ZONE_INTERVAL_MS);
	if (!up)
		return;
	same_zone = pool_distance(poller->entry->pool, up) == POOL_SAME_ZONE;
	engine->request_pending = true;
	engine->next_poll_ms =
		poller_next_time_ms(poller, same_zone ? POLLER_REPORT_OWN_ZONE_INTERVAL_MS
						      : POLLER_REPORT_OTHER_ZONE_INTERVAL_MS);
	snprintf(path, sizeof(path), "/v1/load?cache_after=%" G_GUINT64_FORMAT,
		 engine->last_cache_event_seq);
	poller_get(poller, upstream_address(up), path, poller_on_report, engine);
}

static struct poller_engine *poller_most_overdue_engine(struct poller *poller, uint64_t now_ms)
{
	struct poller_engine *best = NULL;
	struct poller_engine *engine;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, poller->engines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&engine)) {
		if (!engine->request_pending && now_ms >= engine->next_poll_ms &&
		    (!best || engine->next_poll_ms < best->next_poll_ms))
			best = engine;
	}
	return best;
}

static void poller_on_tick(uv_timer_t *timer)
{
	struct poller *poller = timer->data;
	uint64_t now_ms = poller_now_ms();
	uint64_t confirmed_us = poller->entry->config_confirmed_us;
	struct poller_engine *engine;

	if (now_ms >= poller->next_config_read_ms)
		poller_read_revision(poller);
	if (now_ms >= poller->next_list_read_ms)
		poller_read_list(poller);
	poller->report_credit =
		MIN(poller->report_credit + POLLER_MAX_REPORTS_PER_S * POLLER_TICK_MS / 1000.0,
		    POLLER_MAX_REPORTS_PER_S);
	while (poller->report_credit >= 1.0 &&
	       (engine = poller_most_overdue_engine(poller, now_ms))) {
		poller->report_credit -= 1.0;
		poller_request_report(poller, engine);
	}
	if (confirmed_us)
		metric_set(poller->entry->metric, METRIC_CONFIG_CONFIRMED_AGE_MS,
			   (int64_t)(now_ms - confirmed_us / 1000));
}

/* commands */

void poller_read_config_soon(struct poller *poller)
{
	poller->next_config_read_ms = 0;
}
