/**
 * @file platform.c
 * Fake platform: transactional table, object store and instance list.
 *
 * POST /table/commit {"writes": [{"key", "if_version", "value"}]} is atomic; it
 * answers with the rows, or 409 with the current rows when a version differs.
 * A missing value deletes the row; if_version 0 requires that there is no row.
 * GET /table/range?prefix=P returns a consistent read of the matching rows.
 * PUT and GET /objects/KEY support ETag, If-Match and If-None-Match.
 * GET /instances; POST /instances {"instances": [...]} replaces the list.
 * GET /counts returns the number of commits and range reads.
 *
 * POST /fault, with any of these keys; an absent key leaves its setting unchanged:
 * "down_ms": answer 503 for this time;
 * "slow_ms": delay every request by this time;
 * "lose_percent": share of commits that are applied but get no answer;
 * "late_percent", "late_ms": share of commits that get no answer and are
 * applied after this time;
 * "list_lag_ms": serve the instance list as it was this time ago.
 */
#include "fake.h"

#include <stdlib.h>
#include <string.h>

struct platform_row {
	char *value;
	uint64_t version;
};

struct platform_object {
	char *body;
	size_t len;
	uint64_t etag;
};

struct platform_list {
	json_t *root;
	uint64_t at_ms; /* time of its publication */
};

struct platform {
	struct fake fake;
	GTree *rows;	     /* key to struct platform_row */
	GHashTable *objects; /* key to struct platform_object */
	GQueue lists;	     /* struct platform_list, oldest first */
	GRand *rand;
	uint64_t version; /* of the last write; shared by rows and objects */
	uint64_t commits;
	uint64_t reads;
	uint64_t down_until_ms;
	int64_t slow_ms;
	int64_t lose_percent;
	int64_t late_percent;
	int64_t late_ms;
	int64_t list_lag_ms;
};

/* A delayed request, or the delayed commit of a request that got no answer. */
struct platform_delayed {
	uv_timer_t timer;
	struct platform *platform;
	struct http_req *req; /* NULL for a commit, or when the client disconnected */
	json_t *commit;
};

/* helpers */

static void platform_row_free(gpointer data)
{
	struct platform_row *row = data;

	g_free(row->value);
	g_free(row);
}

static void platform_object_free(gpointer data)
{
	struct platform_object *object = data;

	g_free(object->body);
	g_free(object);
}

static gint platform_compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static json_t *platform_row_json(const char *key, const struct platform_row *row)
{
	if (!row)
		return json_pack("{s:s, s:i}", "key", key, "version", 0);
	return json_pack("{s:s, s:s, s:I}", "key", key, "value", row->value, "version",
			 (json_int_t)row->version);
}

static bool platform_conditions_hold(struct platform *platform, const json_t *writes)
{
	for (size_t i = 0; i < json_array_size(writes); i++) {
		const json_t *write = json_array_get(writes, i);
		const char *key = json_string_value(json_object_get(write, "key"));
		const struct platform_row *row = g_tree_lookup(platform->rows, key);
		uint64_t version = row ? row->version : 0;

		if (version != (uint64_t)fake_get_int(write, "if_version", 0))
			return false;
	}
	return true;
}

static void platform_apply_write(struct platform *platform, const json_t *write)
{
	const char *key = json_string_value(json_object_get(write, "key"));
	const char *value = json_string_value(json_object_get(write, "value"));
	struct platform_row *row;

	if (!value) {
		g_tree_remove(platform->rows, key);
		return;
	}
	row = g_new0(struct platform_row, 1);
	row->value = g_strdup(value);
	row->version = platform->version;
	g_tree_replace(platform->rows, g_strdup(key), row);
}

/* Applies a commit if all conditions hold. @return the rows after it */
static json_t *platform_commit(struct platform *platform, const json_t *writes, bool *ok)
{
	json_t *rows = json_array();

	*ok = platform_conditions_hold(platform, writes);
	platform->commits++;
	if (*ok)
		platform->version++;
	for (size_t i = 0; i < json_array_size(writes); i++) {
		const json_t *write = json_array_get(writes, i);
		const char *key = json_string_value(json_object_get(write, "key"));

		if (*ok)
			platform_apply_write(platform, write);
		json_array_append_new(rows,
				      platform_row_json(key, g_tree_lookup(platform->rows, key)));
	}
	if (*ok)
		fake_log(&platform->fake, json_pack("{s:s, s:I, s:O}", "ev", "commit", "version",
						    (json_int_t)platform->version, "rows", rows));
	return rows;
}

static void platform_on_delayed_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Tells at random, with this probability, whether to inject a fault. */
static bool platform_draw(struct platform *platform, int64_t percent)
{
	return percent > 0 && g_rand_int_range(platform->rand, 0, 100) < percent;
}

static void platform_on_delayed_commit(uv_timer_t *timer)
{
	struct platform_delayed *delayed = timer->data;
	bool ok;

	json_decref(platform_commit(delayed->platform, json_object_get(delayed->commit, "writes"),
				    &ok));
	json_decref(delayed->commit);
	uv_close((uv_handle_t *)timer, platform_on_delayed_closed);
}

static void platform_delay_commit(struct platform *platform, json_t *root)
{
	struct platform_delayed *delayed = calloc(1, sizeof(*delayed));

	delayed->platform = platform;
	delayed->commit = json_incref(root);
	delayed->timer.data = delayed;
	uv_timer_init(platform->fake.loop, &delayed->timer);
	uv_timer_start(&delayed->timer, platform_on_delayed_commit, (uint64_t)platform->late_ms, 0);
}

/* requests */

static void platform_on_commit(struct platform *platform, struct http_req *req)
{
	json_t *root = fake_parse_body(req);
	const json_t *writes = json_object_get(root, "writes");
	json_t *rows;
	bool ok;

	if (!json_is_array(writes)) {
		fake_reply(req, 400, json_pack("{s:s}", "error", "writes"));
	} else if (platform_draw(platform, platform->late_percent)) {
		platform_delay_commit(platform, root);
		fake_abort_answer(req);
	} else {
		rows = platform_commit(platform, writes, &ok);
		if (platform_draw(platform, platform->lose_percent)) {
			json_decref(rows);
			fake_abort_answer(req);
		} else {
			fake_reply(req, ok ? 200 : 409, json_pack("{s:o}", "rows", rows));
		}
	}
	json_decref(root);
}

struct platform_range {
	const char *prefix;
	json_t *rows;
};

static gboolean platform_add_row(gpointer key, gpointer value, gpointer data)
{
	struct platform_range *range = data;

	if (g_str_has_prefix(key, range->prefix))
		json_array_append_new(range->rows, platform_row_json(key, value));
	return FALSE;
}

static void platform_on_range(struct platform *platform, struct http_req *req)
{
	g_autofree char *prefix = http_req_query_param(req, "prefix");
	struct platform_range range = { prefix ? prefix : "", json_array() };

	platform->reads++;
	g_tree_foreach(platform->rows, platform_add_row, &range);
	fake_reply(req, 200, json_pack("{s:o}", "rows", range.rows));
}

static void platform_put_object(struct platform *platform, struct http_req *req, const char *key)
{
	struct platform_object *old = g_hash_table_lookup(platform->objects, key);
	const char *match = http_req_header(req, "if-match");
	const char *none = http_req_header(req, "if-none-match");
	struct platform_object *object;
	size_t len;
	const char *body = http_req_body(req, &len);

	if ((match && (!old || g_ascii_strtoull(match + 1, NULL, 10) != old->etag)) ||
	    (none && old)) {
		fake_reply(req, 412, json_pack("{s:s}", "error", "precondition"));
		return;
	}
	object = g_new0(struct platform_object, 1);
	object->body = g_memdup2(body, len + 1);
	object->len = len;
	object->etag = ++platform->version;
	g_hash_table_insert(platform->objects, g_strdup(key), object);
	fake_reply(req, 200, json_pack("{s:I}", "etag", (json_int_t)object->etag));
}

static void platform_on_object(struct platform *platform, struct http_req *req)
{
	const char *key = http_req_path(req) + strlen("/objects/");
	const struct platform_object *object = g_hash_table_lookup(platform->objects, key);
	g_autofree char *etag = NULL;

	if (strcmp(http_req_method(req), "PUT") == 0) {
		platform_put_object(platform, req, key);
	} else if (!object) {
		fake_reply(req, 404, json_pack("{s:s}", "error", "absent"));
	} else {
		etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "\"", object->etag);
		http_req_add_response_header(req, "etag", etag);
		http_req_reply(req, 200, "application/octet-stream", object->body, object->len);
	}
}

static void platform_on_set_list(struct platform *platform, struct http_req *req)
{
	struct platform_list *list = g_new0(struct platform_list, 1);

	list->root = fake_parse_body(req);
	list->at_ms = fake_now_ms();
	g_queue_push_tail(&platform->lists, list);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

/* Answers with the newest list that is as old as the lag, or the oldest one. */
static void platform_on_get_list(struct platform *platform, struct http_req *req)
{
	uint64_t now_ms = fake_now_ms();
	const struct platform_list *found = g_queue_peek_head(&platform->lists);

	for (GList *at = platform->lists.head; at; at = at->next) {
		const struct platform_list *list = at->data;

		if (list->at_ms + (uint64_t)platform->list_lag_ms <= now_ms)
			found = list;
	}
	if (found)
		fake_reply(req, 200, json_incref(found->root));
	else
		fake_reply(req, 200, json_pack("{s:[]}", "instances"));
}

static void platform_on_fault(struct platform *platform, struct http_req *req)
{
	json_t *root = fake_parse_body(req);
	int64_t down_ms = fake_get_int(root, "down_ms", -1);

	if (down_ms >= 0)
		platform->down_until_ms = fake_now_ms() + (uint64_t)down_ms;
	platform->slow_ms = fake_get_int(root, "slow_ms", platform->slow_ms);
	platform->lose_percent = fake_get_int(root, "lose_percent", platform->lose_percent);
	platform->late_percent = fake_get_int(root, "late_percent", platform->late_percent);
	platform->late_ms = fake_get_int(root, "late_ms", platform->late_ms);
	platform->list_lag_ms = fake_get_int(root, "list_lag_ms", platform->list_lag_ms);
	json_decref(root);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

static void platform_handle(struct platform *platform, struct http_req *req)
{
	const char *path = http_req_path(req);
	bool post = strcmp(http_req_method(req), "POST") == 0;

	if (strcmp(path, "/table/commit") == 0)
		platform_on_commit(platform, req);
	else if (strcmp(path, "/table/range") == 0)
		platform_on_range(platform, req);
	else if (g_str_has_prefix(path, "/objects/"))
		platform_on_object(platform, req);
	else if (strcmp(path, "/instances") == 0 && !post)
		platform_on_get_list(platform, req);
	else
		fake_reply(req, 404, json_pack("{s:s}", "error", "path"));
}

static void platform_on_client_gone(void *ctx)
{
	struct platform_delayed *delayed = ctx;

	delayed->req = NULL;
}

static void platform_on_delayed_request(uv_timer_t *timer)
{
	struct platform_delayed *delayed = timer->data;

	if (delayed->req) {
		http_req_set_callbacks(delayed->req, NULL, NULL, NULL);
		platform_handle(delayed->platform, delayed->req);
	}
	uv_close((uv_handle_t *)timer, platform_on_delayed_closed);
}

static void platform_delay_request(struct platform *platform, struct http_req *req)
{
	struct platform_delayed *delayed = calloc(1, sizeof(*delayed));

	delayed->platform = platform;
	delayed->req = req;
	delayed->timer.data = delayed;
	uv_timer_init(platform->fake.loop, &delayed->timer);
	http_req_set_callbacks(req, platform_on_client_gone, NULL, delayed);
	uv_timer_start(&delayed->timer, platform_on_delayed_request, (uint64_t)platform->slow_ms,
		       0);
}

static void platform_on_counts(struct platform *platform, struct http_req *req)
{
	fake_reply(req, 200,
		   json_pack("{s:I, s:I}", "commits", (json_int_t)platform->commits, "reads",
			     (json_int_t)platform->reads));
}

static void platform_on_request(void *ctx, struct http_req *req)
{
	struct platform *platform = ctx;
	const char *path = http_req_path(req);
	bool post = strcmp(http_req_method(req), "POST") == 0;

	/* Control requests of the tests are answered also while the platform is down. */
	if (strcmp(path, "/fault") == 0)
		platform_on_fault(platform, req);
	else if (strcmp(path, "/counts") == 0)
		platform_on_counts(platform, req);
	else if (strcmp(path, "/instances") == 0 && post)
		platform_on_set_list(platform, req);
	else if (fake_now_ms() < platform->down_until_ms)
		fake_reply(req, 503, json_pack("{s:s}", "error", "down"));
	else if (platform->slow_ms > 0)
		platform_delay_request(platform, req);
	else
		platform_handle(platform, req);
}

int main(int argc, char **argv)
{
	struct platform platform = { 0 };
	gint seed = 1;
	const GOptionEntry options[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of random faults", "N" }, { 0 }
	};

	platform.rows = g_tree_new_full(platform_compare, NULL, g_free, platform_row_free);
	platform.objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, platform_object_free);
	g_queue_init(&platform.lists);
	fake_listen(&platform.fake, argc, argv, options, platform_on_request, &platform);
	platform.rand = g_rand_new_with_seed((guint32)seed);
	return uv_run(platform.fake.loop, UV_RUN_DEFAULT);
}
