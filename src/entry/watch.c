#include "entry_internal.h"
#include "flamingolatch/fetch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WATCH_TICK_MS	       100
#define WATCH_CONFIG_EVERY_MS  1000  /* the delegate of a zone, and all until ready */
#define WATCH_CONFIG_RELAX_MS  10000 /* everybody else */
#define WATCH_LIST_BYTES_PER_S 4000  /* a long list is read less often */
#define WATCH_REPORTS_PER_S    8     /* many engines are asked less often each */
#define WATCH_LIST_EVERY_MS    2000
#define WATCH_REPORT_EVERY_MS  1000 /* engines of the own zone */
#define WATCH_REPORT_RELAX_MS  5000 /* engines elsewhere */
#define WATCH_TIMEOUT_MS       1500
#define WATCH_MAX_BYTES	       (4U << 20)
#define WATCH_DOWN_FAILURES    3
#define WATCH_CONFIG_TASK      "config"

/* What is known about polling one engine. */
struct watch_engine {
	struct watch *watch;
	char *id;
	uint64_t next_ms;
	uint64_t cache_seq;
	uint32_t failures;
	bool asking;
	bool refs_watch; /* the watch still lists it */
};

struct watch {
	struct entry *entry;
	uv_timer_t tick;
	GRand *rand;
	GHashTable *engines; /* id to struct watch_engine */
	uint64_t config_next_ms;
	uint64_t list_next_ms;
	double reports_due; /* engine reports that may be asked for now */
	bool config_asking;
	bool list_asking;
};

static void watch_on_tick(uv_timer_t *timer);

/* lifetime */

static void watch_engine_unlist(gpointer data)
{
	struct watch_engine *engine = data;

	engine->refs_watch = false;
	if (engine->asking)
		return;
	g_free(engine->id);
	g_free(engine);
}

struct watch *watch_create(struct entry *entry)
{
	struct watch *watch = g_new0(struct watch, 1);

	watch->entry = entry;
	watch->rand = g_rand_new_with_seed((guint32)entry->incarnation);
	watch->engines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, watch_engine_unlist);
	uv_timer_init(entry->loop, &watch->tick);
	watch->tick.data = watch;
	uv_timer_start(&watch->tick, watch_on_tick, 0, WATCH_TICK_MS);
	return watch;
}

static void watch_on_closed(uv_handle_t *handle)
{
	struct watch *watch = handle->data;

	g_hash_table_destroy(watch->engines);
	g_rand_free(watch->rand);
	g_free(watch);
}

void watch_destroy(struct watch *watch)
{
	if (watch)
		uv_close((uv_handle_t *)&watch->tick, watch_on_closed);
}

/* helpers */

static uint64_t watch_now_ms(void)
{
	return entry_now_us() / 1000;
}

/* A time that many instances do not share. */
static uint64_t watch_after(struct watch *watch, uint32_t every_ms)
{
	return watch_now_ms() + every_ms * 3 / 4 +
	       g_rand_int_range(watch->rand, 0, (gint32)every_ms / 2 + 1);
}

static void watch_get(struct watch *watch, const char *address, const char *path, fetch_cb cb,
		      void *ctx)
{
	struct http_call_request req = {
		.address = address, .method = "GET", .path = path, .timeout_ms = WATCH_TIMEOUT_MS
	};

	fetch_start(watch->entry->cli, &req, WATCH_MAX_BYTES, NULL, cb, ctx);
}

/* configuration */

static json_t *watch_snapshot(const struct table_row *rows, uint32_t count)
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

static void watch_on_config(void *arg, enum table_result result, const struct table_row *rows,
			    uint32_t count)
{
	struct watch *watch = arg;
	json_t *snapshot;

	watch->config_asking = false;
	if (result != TABLE_OK)
		return;
	watch->entry->config_confirmed_us = entry_now_us();
	snapshot = watch_snapshot(rows, count);
	entry_apply_config(watch->entry, snapshot, "table");
	json_decref(snapshot);
}

/* The revision alone is small; the rows follow only when it is newer. */
static void watch_on_revision(void *arg, enum table_result result, const struct table_row *rows,
			      uint32_t count)
{
	struct watch *watch = arg;
	struct table *table = watch->entry->table;
	json_t *value = result == TABLE_OK && count ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_int_t revision = json_integer_value(json_object_get(value, "revision"));

	json_decref(value);
	if (result == TABLE_OK &&
	    (uint64_t)revision > profile_config_revision(watch->entry->profile_config)) {
		table->ops->read_prefix(table->ctx, PROFILE_CONFIG_KEY_PREFIX, watch_on_config,
					watch);
		return;
	}
	watch->config_asking = false;
	if (result == TABLE_OK)
		watch->entry->config_confirmed_us = entry_now_us();
}

static void watch_config(struct watch *watch)
{
	struct entry *entry = watch->entry;
	bool often = !entry->ready || membership_is_delegate(entry->membership, WATCH_CONFIG_TASK);

	if (watch->config_asking)
		return;
	watch->config_asking = true;
	watch->config_next_ms =
		watch_after(watch, often ? WATCH_CONFIG_EVERY_MS : WATCH_CONFIG_RELAX_MS);
	entry->table->ops->read_prefix(entry->table->ctx, PROFILE_CONFIG_REVISION_KEY,
				       watch_on_revision, watch);
}

/* instance list */

static const char *watch_text(const json_t *item, const char *key)
{
	const char *text = json_string_value(json_object_get(item, key));

	return text ? text : "";
}

static void watch_take_upstream(struct watch *watch, const json_t *item, GHashTable *seen)
{
	struct entry *entry = watch->entry;
	const char *id = watch_text(item, "id");
	struct upstream *up;
	struct watch_engine *engine;

	up = pool_put(entry->pool, id, watch_text(item, "pool"), watch_text(item, "address"),
		      watch_text(item, "zone"), watch_text(item, "region"));
	g_hash_table_add(seen, g_strdup(id));
	if (strcmp(watch_text(item, "state"), "leaving") == 0)
		entry_upstream_leaving(entry, up, "list");
	if (strcmp(watch_text(item, "kind"), "engine") != 0 ||
	    g_hash_table_contains(watch->engines, id))
		return;
	engine = g_new0(struct watch_engine, 1);
	engine->watch = watch;
	engine->id = g_strdup(id);
	engine->refs_watch = true;
	g_hash_table_insert(watch->engines, engine->id, engine);
}

struct watch_sweep {
	GHashTable *seen;
	GPtrArray *gone;
};

static void watch_collect_gone(void *ctx, struct upstream *up)
{
	struct watch_sweep *sweep = ctx;

	if (!g_hash_table_contains(sweep->seen, upstream_id(up)))
		g_ptr_array_add(sweep->gone, up);
}

static void watch_drop_gone(struct watch *watch, GHashTable *seen)
{
	struct watch_sweep sweep = { seen, g_ptr_array_new() };

	pool_foreach(watch->entry->pool, watch_collect_gone, &sweep);
	for (guint i = 0; i < sweep.gone->len; i++) {
		g_hash_table_remove(watch->engines, upstream_id(sweep.gone->pdata[i]));
		pool_remove(watch->entry->pool, sweep.gone->pdata[i]);
	}
	g_ptr_array_free(sweep.gone, TRUE);
}

static void watch_on_list(void *ctx, const struct fetch_response *answer)
{
	struct watch *watch = ctx;
	struct entry *entry = watch->entry;
	json_t *root = json_loadb(answer->body, answer->body_len, 0, NULL);
	json_t *list = json_object_get(root, "instances");
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	watch->list_asking = false;
	if (answer->result == HTTP_CALL_OK && answer->status == 200 && json_is_array(list)) {
		entry->listed_us = entry_now_us();
		membership_begin_list(entry->membership);
		for (size_t i = 0; i < json_array_size(list); i++) {
			const json_t *item = json_array_get(list, i);

			if (strcmp(watch_text(item, "kind"), "entry") == 0)
				membership_add_listed(entry->membership, watch_text(item, "id"),
						      watch_text(item, "zone"),
						      watch_text(item, "address"), entry_now_us());
			else
				watch_take_upstream(watch, item, seen);
		}
		watch_drop_gone(watch, seen);
		watch->list_next_ms =
			MAX(watch->list_next_ms,
			    watch_now_ms() + answer->body_len * 1000 / WATCH_LIST_BYTES_PER_S);
		metric_set(entry->metric, METRIC_UPSTREAMS, pool_count(entry->pool));
	}
	json_decref(root);
}

static void watch_list(struct watch *watch)
{
	if (watch->list_asking)
		return;
	watch->list_asking = true;
	watch->list_next_ms = watch_after(watch, WATCH_LIST_EVERY_MS);
	watch_get(watch, watch->entry->set->platform, "/instances", watch_on_list, watch);
}

/* engine reports */

static uint64_t watch_number(const json_t *root, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(root, key));
}

static void watch_take_cache(struct watch_engine *engine, struct upstream *up, const json_t *root)
{
	const json_t *events = json_object_get(root, "cache_events");

	for (size_t i = 0; i < json_array_size(events); i++) {
		const json_t *event = json_array_get(events, i);
		uint64_t seq = watch_number(event, "seq");
		uint64_t block = g_ascii_strtoull(watch_text(event, "block"), NULL, 16);

		/* After a gap nothing is certain about what was dropped. */
		if (engine->cache_seq && seq != engine->cache_seq + 1)
			upstream_clear_cached_blocks(up);
		engine->cache_seq = seq;
		if (json_is_true(json_object_get(event, "stored")))
			upstream_add_cached_blocks(up, &block, 1);
		else
			upstream_remove_cached_block(up, block);
	}
}

static void watch_take_report(struct watch_engine *engine, struct upstream *up,
			      const struct fetch_response *answer)
{
	struct entry *entry = engine->watch->entry;
	json_t *root = json_loadb(answer->body, answer->body_len, 0, NULL);
	struct pool_report report = { .kv_capacity = watch_number(root, "kv_capacity"),
				      .kv_used = watch_number(root, "kv_used"),
				      .running = watch_number(root, "running"),
				      .waiting = watch_number(root, "waiting"),
				      .at_us = entry_now_us() };

	if (report.kv_capacity)
		upstream_set_report(up, &report);
	upstream_set_version(up, json_string_value(json_object_get(root, "version")));
	watch_take_cache(engine, up, root);
	if (json_is_true(json_object_get(root, "leaving")))
		entry_upstream_leaving(entry, up, "engine");
	json_decref(root);
}

static void watch_on_report(void *ctx, const struct fetch_response *answer)
{
	struct watch_engine *engine = ctx;
	struct upstream *up;
	bool ok = answer->result == HTTP_CALL_OK && answer->status == 200;

	engine->asking = false;
	if (!engine->refs_watch) {
		watch_engine_unlist(engine);
		return;
	}
	up = pool_find(engine->watch->entry->pool, engine->id);
	if (!up)
		return;
	engine->failures = ok ? 0 : engine->failures + 1;
	if (ok)
		watch_take_report(engine, up, answer);
	if (ok && upstream_set_reachable(up, true))
		log_event(LOG_ENGINE_UP, "engine", engine->id, NULL);
	if (engine->failures >= WATCH_DOWN_FAILURES && upstream_set_reachable(up, false))
		log_event(LOG_ENGINE_DOWN, "engine", engine->id, NULL);
}

static void watch_report(struct watch *watch, struct watch_engine *engine)
{
	const struct upstream *up = pool_find(watch->entry->pool, engine->id);
	char path[64];
	bool near;

	engine->next_ms = watch_after(watch, WATCH_REPORT_RELAX_MS);
	if (!up)
		return;
	near = pool_distance(watch->entry->pool, up) == POOL_SAME_ZONE;
	engine->asking = true;
	engine->next_ms = watch_after(watch, near ? WATCH_REPORT_EVERY_MS : WATCH_REPORT_RELAX_MS);
	snprintf(path, sizeof(path), "/v1/load?cache_after=%" G_GUINT64_FORMAT, engine->cache_seq);
	watch_get(watch, upstream_address(up), path, watch_on_report, engine);
}

static struct watch_engine *watch_most_overdue(struct watch *watch, uint64_t now_ms)
{
	struct watch_engine *best = NULL;
	struct watch_engine *engine;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, watch->engines);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&engine)) {
		if (!engine->asking && now_ms >= engine->next_ms &&
		    (!best || engine->next_ms < best->next_ms))
			best = engine;
	}
	return best;
}

static void watch_on_tick(uv_timer_t *timer)
{
	struct watch *watch = timer->data;
	uint64_t now_ms = watch_now_ms();
	uint64_t confirmed_us = watch->entry->config_confirmed_us;
	struct watch_engine *engine;

	if (now_ms >= watch->config_next_ms)
		watch_config(watch);
	if (now_ms >= watch->list_next_ms)
		watch_list(watch);
	watch->reports_due = MIN(watch->reports_due + WATCH_REPORTS_PER_S * WATCH_TICK_MS / 1000.0,
				 WATCH_REPORTS_PER_S);
	while (watch->reports_due >= 1.0 && (engine = watch_most_overdue(watch, now_ms))) {
		watch->reports_due -= 1.0;
		watch_report(watch, engine);
	}
	if (confirmed_us)
		metric_set(watch->entry->metric, METRIC_CONFIG_CONFIRMED_AGE_MS,
			   (int64_t)(now_ms - confirmed_us / 1000));
}

/* commands */

void watch_config_now(struct watch *watch)
{
	watch->config_next_ms = 0;
}
