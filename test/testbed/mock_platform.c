#include "mock_platform.h"

#include "flamingolatch/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MOCK_MAX_BODY_BYTES	 (8U << 20)
#define MOCK_HISTORY_COUNT	 500
#define MOCK_KV_COPY_PATH	 "/kv-handle/"
#define MOCK_LOST_PAGE_DELAY_MS	 60000 /* longer than the gateway waits for a page */
#define MOCK_ENDLESS_CHUNK_BYTES 65536
#define MOCK_TOKENS_PER_EVENT	 4
#define MOCK_DRAIN_EVENT_COUNT	 1
#define MOCK_OWN_TABLE_PREFIX	 "flamingolatch"
#define MOCK_TX_MAX_ENTRIES	 100 /* limit of the platform's protocol */

/* The head of another answer, which ends with a blank line as an event does. */
static const char mock_garbage[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/* A row is named by its table, part and key. */
struct mock_row {
	char *table;
	char *part;
	char *key;
	char *text; /* NULL when removed */
	uint64_t version;
};

#define MOCK_PAGE_MAX_ROWS 500 /* limit of the platform's protocol */

/* A call to the store that is answered at a change or after a delay. */
struct mock_pending_answer {
	struct mock_platform *platform;
	struct http_req *req;
	uv_timer_t timer;
	char *table;
	uint64_t since;
	bool is_watch; /* also answered when the table changes */
};

struct mock_platform {
	uv_loop_t *loop;
	struct http_server *srv;
	char *address;
	GRand *rand;
	GPtrArray *rows;	    /* struct mock_row by version, oldest first */
	GPtrArray *backup_rows;	    /* copies of the same, taken by mock_store_backup() */
	GPtrArray *lost_rows;	    /* of the operator and the upstreams, lost by a restoration */
	GPtrArray *pending_answers; /* struct mock_pending_answer */
	GHashTable *records;	    /* request id to struct mock_request_record */
	GHashTable *kv_copies;	    /* handle to the number of the next event, as a pointer */
	GPtrArray *upstreams;
	uint64_t version;
	uint64_t oldest_version; /* a watch from an older version gets 410 */
	uint64_t backup_version;
	uint32_t era;
	uint32_t answer_count;
	uint32_t delay_ms;
	uint32_t pages_to_lose;
	uint32_t list_read_count;
	uint32_t handle_count;
	enum mock_store_mode mode;
};

struct mock_upstream {
	struct mock_platform *platform;
	struct http_server *srv;
	struct mock_upstream_conf conf;
	char *id;
	char *service;
	char *zone;
	char *software_version; /* NULL: none in the entry */
	char *address;
	char *listed_address; /* address in the entry of the instance list */
	GPtrArray *jobs;
	GArray *arrivals_ms;	/* guint64 */
	GArray *arrivals;	/* struct mock_arrival */
	uint64_t started_ms;	/* wall clock */
	uint64_t cold_until_ms; /* loop clock; 0: it never was cold */
	uint64_t leaving_ms;	/* when it began to leave; 0 before */
	uint64_t crashed_ms;	/* when it crashed; 0 before */
	uint32_t working_count; /* jobs that do not wait for a slot */
	GArray *copies_ms;	/* guint64: when KV copies were asked for */
};

/* A request that an upstream executes. */
struct mock_job {
	struct mock_upstream *upstream;
	struct http_req *req; /* NULL after the gateway closed the connection */
	uv_timer_t timer;
	char *id;
	char *handle;	       /* of its KV copy; NULL before the first */
	uint32_t next_event;   /* number of the next event, from 1 */
	uint32_t total_events; /* events of the stream; 0 for a plain answer */
	bool started;
	bool endless;
	bool abort_midway;
	bool garbles;
	bool crashes_upstream;
	bool resumed; /* from a KV copy: no new execution */
	bool working; /* otherwise it waits for a slot */
	bool closing;
};

static struct mock_request_record *mock_find_or_add_record(struct mock_platform *platform,
							   const char *id);
static void mock_upstream_begin_waiting(struct mock_upstream *upstream);
static void mock_store_on_request(void *ctx, struct http_req *req);
static void mock_upstream_on_request(void *ctx, struct http_req *req);
static void mock_store_answer_rows(struct mock_platform *platform, struct http_req *req,
				   const char *table, uint64_t since, bool is_watch);

/* lifetime */

static void mock_row_free(gpointer data)
{
	struct mock_row *row = data;

	g_free(row->table);
	g_free(row->part);
	g_free(row->key);
	g_free(row->text);
	g_free(row);
}

static void mock_request_record_free(gpointer data)
{
	struct mock_request_record *record = data;

	g_free(record->customer);
	g_free(record->service);
	g_free(record->upstream);
	g_free(record);
}

struct mock_platform *mock_platform_create(uv_loop_t *loop, const char *address, uint16_t port,
					   uint32_t seed)
{
	struct mock_platform *platform = g_new0(struct mock_platform, 1);
	struct http_server_conf conf = { .address = address,
					 .port = port,
					 .max_body_bytes = MOCK_MAX_BODY_BYTES };

	platform->loop = loop;
	platform->rand = g_rand_new_with_seed(seed);
	platform->rows = g_ptr_array_new_with_free_func(mock_row_free);
	platform->backup_rows = g_ptr_array_new_with_free_func(mock_row_free);
	platform->lost_rows = g_ptr_array_new_with_free_func(mock_row_free);
	platform->era = 1;
	platform->pending_answers = g_ptr_array_new();
	platform->upstreams = g_ptr_array_new();
	platform->records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, mock_request_record_free);
	platform->kv_copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform->version = 10;
	platform->oldest_version = 10;
	platform->srv = http_server_create(loop, &conf, mock_store_on_request, platform, NULL);
	g_assert_nonnull(platform->srv);
	platform->address = g_strdup_printf("%s:%u", address, http_server_port(platform->srv));
	return platform;
}

static void mock_pending_answer_on_closed(uv_handle_t *handle)
{
	struct mock_pending_answer *pending = handle->data;

	g_free(pending->table);
	g_free(pending);
}

static void mock_pending_answer_free(struct mock_pending_answer *pending)
{
	g_ptr_array_remove_fast(pending->platform->pending_answers, pending);
	uv_close((uv_handle_t *)&pending->timer, mock_pending_answer_on_closed);
}

static void mock_job_on_closed(uv_handle_t *handle)
{
	struct mock_job *job = handle->data;

	g_free(job->id);
	g_free(job->handle);
	g_free(job);
}

static void mock_job_free(struct mock_job *job)
{
	struct mock_upstream *upstream = job->upstream;

	if (job->closing)
		return;
	job->closing = true;
	if (job->req)
		http_req_set_callbacks(job->req, NULL, NULL, NULL);
	g_ptr_array_remove(upstream->jobs, job);
	if (job->working) {
		struct mock_request_record *record =
			mock_find_or_add_record(upstream->platform, job->id);

		upstream->working_count--;
		record->working--;
		record->worked_ms = uv_now(upstream->platform->loop);
	}
	uv_close((uv_handle_t *)&job->timer, mock_job_on_closed);
	mock_upstream_begin_waiting(upstream);
}

static void mock_arrival_clear(gpointer data)
{
	g_free(((struct mock_arrival *)data)->id);
}

static void mock_upstream_free(struct mock_upstream *upstream)
{
	mock_upstream_crash(upstream);
	g_ptr_array_free(upstream->jobs, TRUE);
	g_array_free(upstream->arrivals_ms, TRUE);
	g_array_free(upstream->copies_ms, TRUE);
	g_array_free(upstream->arrivals, TRUE);
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->zone);
	g_free(upstream->software_version);
	g_free(upstream->address);
	g_free(upstream->listed_address);
	g_free(upstream);
}

void mock_platform_destroy(struct mock_platform *platform)
{
	while (platform->pending_answers->len) {
		struct mock_pending_answer *pending = platform->pending_answers->pdata[0];

		http_req_set_callbacks(pending->req, NULL, NULL, NULL);
		mock_pending_answer_free(pending);
	}
	for (guint i = 0; i < platform->upstreams->len; i++)
		mock_upstream_free(platform->upstreams->pdata[i]);
	http_server_destroy(platform->srv);
	g_ptr_array_free(platform->upstreams, TRUE);
	g_ptr_array_free(platform->pending_answers, TRUE);
	g_ptr_array_free(platform->rows, TRUE);
	g_ptr_array_free(platform->backup_rows, TRUE);
	g_ptr_array_free(platform->lost_rows, TRUE);
	g_hash_table_destroy(platform->records);
	g_hash_table_destroy(platform->kv_copies);
	g_rand_free(platform->rand);
	g_free(platform->address);
	g_free(platform);
}

/* commands: the store */

static struct mock_row *mock_store_find_row(struct mock_platform *platform, const char *table,
					    const char *part, const char *key)
{
	for (guint i = 0; i < platform->rows->len; i++) {
		struct mock_row *row = platform->rows->pdata[i];

		if (strcmp(row->table, table) == 0 && strcmp(row->part, part) == 0 &&
		    strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
}

/* Answers the watches of a table after a change. */
static void mock_store_answer_watchers(struct mock_platform *platform, const char *table)
{
	for (guint i = platform->pending_answers->len; i > 0; i--) {
		struct mock_pending_answer *pending = platform->pending_answers->pdata[i - 1];
		struct http_req *req = pending->req;

		if (!pending->is_watch || strcmp(pending->table, table) != 0 ||
		    platform->mode != MOCK_STORE_HEALTHY)
			continue;
		http_req_set_callbacks(req, NULL, NULL, NULL);
		mock_store_answer_rows(platform, req, table, pending->since, true);
		mock_pending_answer_free(pending);
	}
}

/* Writes a row with the current version of the store, which the caller has increased. Answers no
 * watches, as a transaction shows all of its rows at once. */
static void mock_store_set_row(struct mock_platform *platform, const char *table, const char *part,
			       const char *key, const char *text)
{
	struct mock_row *row = mock_store_find_row(platform, table, part, key);

	if (row)
		g_ptr_array_remove(platform->rows, row);
	row = g_new0(struct mock_row, 1);
	row->table = g_strdup(table);
	row->part = g_strdup(part);
	row->key = g_strdup(key);
	row->text = g_strdup(text);
	row->version = platform->version;
	g_ptr_array_add(platform->rows, row);
}

void mock_store_put(struct mock_platform *platform, const char *table, const char *key,
		    const char *text)
{
	platform->version++;
	mock_store_set_row(platform, table, "", key, text);
	mock_store_answer_watchers(platform, table);
}

/* Closes the connections of calls that have no answer yet. */
static void mock_store_abort_pending(struct mock_platform *platform)
{
	while (platform->pending_answers->len) {
		struct mock_pending_answer *pending = platform->pending_answers->pdata[0];
		struct http_req *req = pending->req;

		http_req_set_callbacks(req, NULL, NULL, NULL);
		mock_pending_answer_free(pending);
		http_req_stream_abort(req);
	}
}

void mock_store_set_mode(struct mock_platform *platform, enum mock_store_mode mode)
{
	if (platform->mode == MOCK_STORE_SILENT || mode == MOCK_STORE_RESET)
		mock_store_abort_pending(platform);
	platform->mode = mode;
}

static gpointer mock_row_copy(gconstpointer data, gpointer ctx)
{
	const struct mock_row *row = data;
	struct mock_row *copy = g_new0(struct mock_row, 1);

	(void)ctx;
	copy->table = g_strdup(row->table);
	copy->part = g_strdup(row->part);
	copy->key = g_strdup(row->key);
	copy->text = g_strdup(row->text);
	copy->version = row->version;
	return copy;
}

void mock_store_backup(struct mock_platform *platform)
{
	g_ptr_array_free(platform->backup_rows, TRUE);
	platform->backup_rows = g_ptr_array_copy(platform->rows, mock_row_copy, NULL);
	g_ptr_array_set_free_func(platform->backup_rows, mock_row_free);
	platform->backup_version = platform->version;
}

void mock_store_restore(struct mock_platform *platform)
{
	mock_store_abort_pending(platform);
	g_ptr_array_set_size(platform->lost_rows, 0);
	for (guint i = 0; i < platform->rows->len; i++) {
		const struct mock_row *row = platform->rows->pdata[i];

		if (row->version > platform->backup_version &&
		    !g_str_has_prefix(row->table, MOCK_OWN_TABLE_PREFIX))
			g_ptr_array_add(platform->lost_rows, mock_row_copy(row, NULL));
	}
	g_ptr_array_free(platform->rows, TRUE);
	platform->rows = g_ptr_array_copy(platform->backup_rows, mock_row_copy, NULL);
	g_ptr_array_set_free_func(platform->rows, mock_row_free);
	platform->version = platform->backup_version;
	platform->oldest_version = MIN(platform->oldest_version, platform->version);
	platform->era++;
}

void mock_store_rewrite(struct mock_platform *platform)
{
	for (guint i = 0; i < platform->lost_rows->len; i++) {
		const struct mock_row *row = platform->lost_rows->pdata[i];
		const struct mock_row *current =
			mock_store_find_row(platform, row->table, row->part, row->key);

		if (current && current->version > platform->backup_version)
			continue;
		platform->version++;
		mock_store_set_row(platform, row->table, row->part, row->key, row->text);
		mock_store_answer_watchers(platform, row->table);
	}
	g_ptr_array_set_size(platform->lost_rows, 0);
}

const char *mock_store_text(struct mock_platform *platform, const char *table, const char *key)
{
	const struct mock_row *row = mock_store_find_row(platform, table, "", key);

	return row ? row->text : NULL;
}

void mock_store_each_row(const struct mock_platform *platform, const char *table,
			 void (*each)(void *ctx, const char *key, const char *text), void *ctx)
{
	for (guint i = 0; i < platform->rows->len; i++) {
		const struct mock_row *row = platform->rows->pdata[i];

		if (row->text && strcmp(row->table, table) == 0 && strcmp(row->part, "") == 0)
			each(ctx, row->key, row->text);
	}
}

void mock_store_lose_pages(struct mock_platform *platform, uint32_t count)
{
	platform->pages_to_lose = count;
}

void mock_store_set_delay(struct mock_platform *platform, uint32_t delay_ms)
{
	platform->delay_ms = delay_ms;
}

void mock_store_drop_history(struct mock_platform *platform)
{
	platform->oldest_version = ++platform->version;
	mock_store_abort_pending(platform);
}

/* helpers: the store */

static json_t *mock_row_json(const struct mock_row *row)
{
	json_t *out = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part", row->part,
				"key", row->key, "row_version", (json_int_t)row->version);

	if (row->text) {
		g_autofree char *value =
			g_base64_encode((const guchar *)row->text, strlen(row->text));

		json_object_set_new(out, "value", json_string(value));
	} else {
		json_object_set_new(out, "deleted", json_true());
	}
	return out;
}

static void mock_reply_json(struct http_req *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static gint mock_row_compare_key(gconstpointer a, gconstpointer b)
{
	const struct mock_row *const *left = a;
	const struct mock_row *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

/* An end of a range of keys. A C string cannot hold the zero byte that may follow the key. */
struct mock_bound {
	char *key;     /* NULL: the range has no such end */
	bool is_after; /* after the key itself: a zero byte followed it */
};

static struct mock_bound mock_store_bound(const struct http_req *req, const char *name)
{
	g_auto(GStrv) params = g_strsplit(http_req_query(req), "&", 0);
	g_autofree char *prefix = g_strdup_printf("%s=", name);
	struct mock_bound bound = { 0 };

	for (uint32_t i = 0; params[i] && !bound.key; i++) {
		const char *text = params[i] + strlen(prefix);
		const char *end;

		if (!g_str_has_prefix(params[i], prefix))
			continue;
		end = strstr(text, "%00");
		bound.is_after = end != NULL;
		bound.key = g_uri_unescape_segment(text, end ? end : text + strlen(text), NULL);
	}
	return bound;
}

/* Tells whether the bound comes after a key. */
static bool mock_bound_is_behind(const struct mock_bound *bound, const char *key)
{
	int order = strcmp(key, bound->key);

	return order < 0 || (order == 0 && bound->is_after);
}

/* Appends the rows of a page. @return true when there are more */
static bool mock_store_append_page(struct http_req *req, GPtrArray *matching, json_t *rows)
{
	struct mock_bound from = mock_store_bound(req, "from");
	struct mock_bound to = mock_store_bound(req, "to");
	g_autofree char *limit_text = http_req_query_param(req, "limit");
	uint64_t limit = limit_text ? strtoull(limit_text, NULL, 10) : MOCK_PAGE_MAX_ROWS;
	bool more = false;

	g_ptr_array_sort(matching, mock_row_compare_key);
	for (guint i = 0; i < matching->len && !more; i++) {
		const struct mock_row *row = matching->pdata[i];

		if ((from.key && mock_bound_is_behind(&from, row->key)) ||
		    (to.key && !mock_bound_is_behind(&to, row->key)))
			continue;
		if (json_array_size(rows) >= MIN(limit, MOCK_PAGE_MAX_ROWS))
			more = true;
		else
			json_array_append_new(rows, mock_row_json(row));
	}
	g_free(from.key);
	g_free(to.key);
	return more;
}

static void mock_store_answer_rows(struct mock_platform *platform, struct http_req *req,
				   const char *table, uint64_t since, bool is_watch)
{
	json_t *rows = json_array();
	g_autoptr(GPtrArray) matching = g_ptr_array_new();
	g_autofree char *part = http_req_query_param(req, "part");
	bool more = false;

	for (guint i = 0; i < platform->rows->len; i++) {
		struct mock_row *row = platform->rows->pdata[i];

		if (strcmp(row->table, table) != 0 || (is_watch && row->version <= since) ||
		    (!is_watch && (!row->text || strcmp(row->part, part ? part : "") != 0)))
			continue;
		if (is_watch)
			json_array_append_new(rows, mock_row_json(row));
		else
			g_ptr_array_add(matching, row);
	}
	if (!is_watch)
		more = mock_store_append_page(req, matching, rows);
	platform->answer_count++;
	mock_reply_json(req, 200,
			json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", more,
				  "row_version", (json_int_t)platform->version, "now_ms",
				  (json_int_t)uv_now(platform->loop)));
}

static bool mock_store_has_changed(const struct mock_platform *platform, const char *table,
				   uint64_t since)
{
	for (guint i = 0; i < platform->rows->len; i++) {
		const struct mock_row *row = platform->rows->pdata[i];

		if (strcmp(row->table, table) == 0 && row->version > since)
			return true;
	}
	return false;
}

static void mock_pending_answer_on_gone(void *ctx)
{
	mock_pending_answer_free(ctx);
}

static void mock_pending_answer_on_timer(uv_timer_t *timer)
{
	struct mock_pending_answer *pending = timer->data;
	struct mock_platform *platform = pending->platform;
	struct http_req *req = pending->req;

	if (platform->mode == MOCK_STORE_SILENT)
		return;
	http_req_set_callbacks(req, NULL, NULL, NULL);
	mock_store_answer_rows(platform, req, pending->table, pending->since, pending->is_watch);
	mock_pending_answer_free(pending);
}

static void mock_store_defer_answer(struct mock_platform *platform, struct http_req *req,
				    const char *table, uint64_t since, bool is_watch,
				    uint64_t wait_ms)
{
	struct mock_pending_answer *pending = g_new0(struct mock_pending_answer, 1);

	pending->platform = platform;
	pending->req = req;
	pending->table = g_strdup(table);
	pending->since = since;
	pending->is_watch = is_watch;
	uv_timer_init(platform->loop, &pending->timer);
	pending->timer.data = pending;
	if (platform->mode != MOCK_STORE_SILENT)
		uv_timer_start(&pending->timer, mock_pending_answer_on_timer, wait_ms, 0);
	g_ptr_array_add(platform->pending_answers, pending);
	http_req_set_callbacks(req, mock_pending_answer_on_gone, NULL, pending);
}

/* A row that an entry of a transaction names; strings are borrowed from the entry. */
struct mock_row_name {
	const char *table; /* NULL when a text is missing */
	const char *part;
	const char *key;
};

static struct mock_row_name mock_tx_row_name(const json_t *entry)
{
	struct mock_row_name name = {
		.part = json_string_value(json_object_get(entry, "part")),
		.key = json_string_value(json_object_get(entry, "key")),
	};

	if (name.part && name.key)
		name.table = json_string_value(json_object_get(entry, "table"));
	return name;
}

/* Tells whether a transaction follows the protocol: each entry names a row, all of one part. */
static bool mock_tx_is_valid(const json_t *root)
{
	static const char *const kinds[] = { "expected_rev", "writes", "remove" };
	const char *part = NULL;
	size_t count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		const json_t *entries = json_object_get(root, kinds[i]);
		const json_t *entry;
		size_t j;

		count += json_array_size(entries);
		json_array_foreach(entries, j, entry)
		{
			struct mock_row_name name = mock_tx_row_name(entry);

			if (!name.table || (part && strcmp(part, name.part) != 0) ||
			    (i == 0 && !json_is_integer(json_object_get(entry, "row_version"))) ||
			    (i == 1 && !json_is_string(json_object_get(entry, "value"))))
				return false;
			part = name.part;
		}
	}
	return json_is_object(root) && count <= MOCK_TX_MAX_ENTRIES;
}

/* Appends the current rows of those with a condition. @return true when all conditions hold */
static bool mock_tx_check(struct mock_platform *platform, const json_t *expected, json_t *rows)
{
	bool all_hold = true;
	const json_t *entry;
	size_t i;

	json_array_foreach(expected, i, entry)
	{
		struct mock_row_name name = mock_tx_row_name(entry);
		const struct mock_row *row =
			mock_store_find_row(platform, name.table, name.part, name.key);
		bool exists = row && row->text;

		if (json_integer_value(json_object_get(entry, "row_version")) !=
		    (exists ? (json_int_t)row->version : 0))
			all_hold = false;
		if (exists)
			json_array_append_new(rows, mock_row_json(row));
	}
	return all_hold;
}

/* Applies the entries of a transaction, all with one version. */
static void mock_tx_apply(struct mock_platform *platform, const json_t *root)
{
	g_autoptr(GHashTable) tables = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	const char *table;
	const json_t *entry;
	size_t i;

	platform->version++;
	json_array_foreach(json_object_get(root, "writes"), i, entry)
	{
		struct mock_row_name name = mock_tx_row_name(entry);
		gsize size;
		g_autofree guchar *value =
			g_base64_decode(json_string_value(json_object_get(entry, "value")), &size);
		g_autofree char *text = g_strndup((const char *)value, size);

		mock_store_set_row(platform, name.table, name.part, name.key, text);
		g_hash_table_add(tables, (gpointer)name.table);
	}
	json_array_foreach(json_object_get(root, "remove"), i, entry)
	{
		struct mock_row_name name = mock_tx_row_name(entry);

		mock_store_set_row(platform, name.table, name.part, name.key, NULL);
		g_hash_table_add(tables, (gpointer)name.table);
	}
	g_hash_table_iter_init(&iter, tables);
	while (g_hash_table_iter_next(&iter, (gpointer *)&table, NULL))
		mock_store_answer_watchers(platform, table);
}

static void mock_store_on_write(struct mock_platform *platform, struct http_req *req)
{
	size_t len;
	const char *body = http_req_body(req, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *rows = json_array();

	platform->answer_count++;
	if (!mock_tx_is_valid(root)) {
		http_req_reply(req, 400, NULL, "", 0);
	} else if (!mock_tx_check(platform, json_object_get(root, "expected_rev"), rows)) {
		mock_reply_json(req, 412,
				json_pack("{s:O, s:I, s:I}", "rows", rows, "row_version",
					  (json_int_t)platform->version, "now_ms",
					  (json_int_t)uv_now(platform->loop)));
	} else {
		mock_tx_apply(platform, root);
		mock_reply_json(req, 200,
				json_pack("{s:I}", "row_version", (json_int_t)platform->version));
	}
	json_decref(rows);
	json_decref(root);
}

/* Counts the reads of the instance list that start at its first page.
 * @return true when this page gets no answer */
static bool mock_store_loses_page(struct mock_platform *platform, const struct http_req *req)
{
	struct mock_bound from = mock_store_bound(req, "from");
	bool is_first = !from.key;

	g_free(from.key);
	if (is_first) {
		platform->list_read_count++;
		return false;
	}
	if (platform->pages_to_lose == 0)
		return false;
	platform->pages_to_lose--;
	return true;
}

static void mock_store_on_request(void *ctx, struct http_req *req)
{
	struct mock_platform *platform = ctx;
	g_autofree char *table = http_req_query_param(req, "table");
	g_autofree char *since_text = http_req_query_param(req, "since_rev");
	g_autofree char *wait_text = http_req_query_param(req, "wait_ms");
	uint64_t since = since_text ? strtoull(since_text, NULL, 10) : 0;
	uint64_t wait_ms = wait_text ? strtoull(wait_text, NULL, 10) : 0;
	bool is_watch = strcmp(http_req_path(req), "/rows-feed") == 0;
	g_autofree char *era = g_strdup_printf("%u", platform->era);

	http_req_add_response_header(req, "Store-Era", era);
	if (platform->mode == MOCK_STORE_RESET) {
		http_req_stream_abort(req);
	} else if (platform->mode == MOCK_STORE_BUSY) {
		http_req_reply(req, 503, NULL, "", 0);
	} else if (strcmp(http_req_path(req), "/rows-tx") == 0) {
		/* A write that is not answered is not carried out either. */
		if (platform->mode == MOCK_STORE_SILENT)
			mock_store_defer_answer(platform, req, "", 0, false, 0);
		else
			mock_store_on_write(platform, req);
	} else if (!table) {
		http_req_reply(req, 400, NULL, "", 0);
	} else if (is_watch && (since < platform->oldest_version || since > platform->version)) {
		http_req_reply(req, 410, NULL, "", 0);
	} else if (!is_watch && strcmp(table, "servers") == 0 &&
		   mock_store_loses_page(platform, req)) {
		mock_store_defer_answer(platform, req, table, since, is_watch,
					MOCK_LOST_PAGE_DELAY_MS);
	} else if (platform->mode == MOCK_STORE_SILENT || platform->delay_ms) {
		mock_store_defer_answer(platform, req, table, since, is_watch, platform->delay_ms);
	} else if (!is_watch || mock_store_has_changed(platform, table, since)) {
		mock_store_answer_rows(platform, req, table, since, is_watch);
	} else {
		mock_store_defer_answer(platform, req, table, since, is_watch, wait_ms);
	}
}

/* commands: upstreams */

static uint32_t mock_upstream_cold_left_ms(const struct mock_upstream *upstream)
{
	uint64_t now_ms = uv_now(upstream->platform->loop);

	return now_ms < upstream->cold_until_ms ? (uint32_t)(upstream->cold_until_ms - now_ms) : 0;
}

void mock_upstream_set_cold(struct mock_upstream *upstream, uint32_t cold_ms)
{
	upstream->cold_until_ms = uv_now(upstream->platform->loop) + cold_ms;
}

void mock_upstream_list(struct mock_upstream *upstream)
{
	json_t *root = json_pack(
		"{s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}", "service", upstream->service, "address",
		upstream->listed_address, "zone", upstream->zone, "slots", 8, "state",
		upstream->leaving_ms ? "draining" : "ready", "cold_left_ms",
		(int)mock_upstream_cold_left_ms(upstream), "seq_no",
		(json_int_t)upstream->platform->version, "born", (json_int_t)upstream->started_ms);
	char *text;

	if (upstream->software_version)
		json_object_set_new(root, "version", json_string(upstream->software_version));
	text = json_dumps(root, JSON_COMPACT);
	mock_store_put(upstream->platform, "servers", upstream->id, text);
	free(text);
	json_decref(root);
}

struct mock_upstream *mock_upstream_create(struct mock_platform *platform,
					   const struct mock_upstream_conf *conf)
{
	struct mock_upstream *upstream = g_new0(struct mock_upstream, 1);
	struct http_server_conf server = { .address = conf->address,
					   .port = conf->port,
					   .max_body_bytes = MOCK_MAX_BODY_BYTES };

	upstream->platform = platform;
	upstream->conf = *conf;
	upstream->id = g_strdup(conf->id);
	upstream->service = g_strdup(conf->service);
	upstream->zone = g_strdup(conf->zone);
	upstream->software_version = g_strdup(conf->software_version);
	upstream->jobs = g_ptr_array_new();
	upstream->arrivals_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
	upstream->copies_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
	upstream->arrivals = g_array_new(FALSE, FALSE, sizeof(struct mock_arrival));
	g_array_set_clear_func(upstream->arrivals, mock_arrival_clear);
	upstream->started_ms = (uint64_t)g_get_real_time() / 1000;
	upstream->srv = http_server_create(platform->loop, &server, mock_upstream_on_request,
					   upstream, NULL);
	g_assert_nonnull(upstream->srv);
	upstream->address =
		g_strdup_printf("%s:%u", conf->address, http_server_port(upstream->srv));
	upstream->listed_address = g_strdup(upstream->address);
	g_ptr_array_add(platform->upstreams, upstream);
	return upstream;
}

void mock_upstream_configure(struct mock_upstream *upstream, const struct mock_upstream_conf *conf)
{
	upstream->conf = *conf;
}

void mock_upstream_set_listed_address(struct mock_upstream *upstream, const char *address)
{
	g_free(upstream->listed_address);
	upstream->listed_address = g_strdup(address);
}

void mock_upstream_crash(struct mock_upstream *upstream)
{
	upstream->crashed_ms = uv_now(upstream->platform->loop);
	while (upstream->jobs->len) {
		struct mock_job *job = upstream->jobs->pdata[0];

		mock_find_or_add_record(upstream->platform, job->id)->broke_off = true;
		mock_job_free(job);
	}
	http_server_destroy(upstream->srv);
	upstream->srv = NULL;
}

const GArray *mock_upstream_arrivals(const struct mock_upstream *upstream)
{
	return upstream->arrivals;
}

const GArray *mock_upstream_copies_ms(const struct mock_upstream *upstream)
{
	return upstream->copies_ms;
}

const GArray *mock_upstream_arrivals_ms(const struct mock_upstream *upstream)
{
	return upstream->arrivals_ms;
}

uint64_t mock_upstream_crashed_ms(const struct mock_upstream *upstream)
{
	return upstream->crashed_ms;
}

void mock_upstream_drain(struct mock_upstream *upstream)
{
	upstream->leaving_ms = uv_now(upstream->platform->loop);
	mock_upstream_list(upstream);
}

void mock_upstream_unlist(struct mock_upstream *upstream)
{
	if (upstream->leaving_ms == 0)
		upstream->leaving_ms = uv_now(upstream->platform->loop);
	mock_store_put(upstream->platform, "servers", upstream->id, NULL);
}

/* helpers: upstreams */

char *mock_event(const char *id, uint32_t number, uint32_t total)
{
	return g_strdup_printf("id: %u\ndata: %s %u%s\n\n", number, id, number,
			       number == total ? " end" : "");
}

static bool mock_upstream_chance(const struct mock_upstream *upstream, uint32_t percent)
{
	return percent && (uint32_t)g_rand_int_range(upstream->platform->rand, 0, 100) < percent;
}

static void mock_upstream_name_leaving(const struct mock_upstream *upstream, struct http_req *req);

static struct mock_request_record *mock_find_or_add_record(struct mock_platform *platform,
							   const char *id)
{
	struct mock_request_record *record = g_hash_table_lookup(platform->records, id);

	if (!record) {
		record = g_new0(struct mock_request_record, 1);
		g_hash_table_insert(platform->records, g_strdup(id), record);
	}
	return record;
}

static void mock_job_on_gone(void *ctx)
{
	struct mock_job *job = ctx;

	job->req = NULL;
	mock_job_free(job);
}

static void mock_upstream_name_limit(const struct mock_upstream *upstream, struct http_req *req)
{
	g_autofree char *limit = g_strdup_printf("%.1f", upstream->conf.limit_per_s);

	if (upstream->conf.limit_per_s > 0.0)
		http_req_add_response_header(req, "Server-Limit", limit);
}

static void mock_upstream_name_cold(const struct mock_upstream *upstream, struct http_req *req)
{
	g_autofree char *left = g_strdup_printf("%u", mock_upstream_cold_left_ms(upstream));

	if (upstream->cold_until_ms)
		http_req_add_response_header(req, "X-Flamingolatch-Cold-Start-Ms", left);
}

static void mock_upstream_sign(const struct mock_upstream *upstream, struct http_req *req,
			       const char *id)
{
	mock_upstream_name_limit(upstream, req);
	mock_upstream_name_cold(upstream, req);
	mock_upstream_name_leaving(upstream, req);
	http_req_add_response_header(req, "X-Flamingolatch-Attempt-Id", id);
	http_req_add_response_header(req, "X-Flamingolatch-Replica-Signature", "stand");
}

/* Sends one event of a stream; ends the stream after the last. */
static void mock_job_send_event(struct mock_job *job)
{
	struct mock_upstream *upstream = job->upstream;
	g_autofree char *event = mock_event(job->id, job->next_event, job->total_events);
	struct http_req *req = job->req;

	if (!job->started) {
		job->started = true;
		mock_upstream_sign(upstream, req, job->id);
		http_req_stream_begin(req, 200, "text/event-stream");
	}
	if (job->abort_midway && job->next_event > job->total_events / 2) {
		mock_find_or_add_record(upstream->platform, job->id)->broke_off = true;
		mock_job_free(job);
		http_req_stream_write(req, event, strlen(event) / 2);
		http_req_stream_abort(req);
		return;
	}
	http_req_stream_write(req, event, strlen(event));
	if (job->garbles && job->next_event == job->total_events / 2)
		http_req_stream_write(req, mock_garbage, strlen(mock_garbage));
	if (job->next_event++ < job->total_events) {
		uv_timer_start(&job->timer, job->timer.timer_cb, upstream->conf.pace_ms, 0);
		return;
	}
	mock_find_or_add_record(upstream->platform, job->id)->completed = true;
	mock_job_free(job);
	http_req_stream_end(req);
}

/* Sends more of an answer that never ends, as fast as it is read. */
static void mock_job_send_endless(struct mock_job *job)
{
	g_autofree char *bytes = g_strnfill(MOCK_ENDLESS_CHUNK_BYTES, 'x');

	if (!job->started) {
		job->started = true;
		if (job->total_events)
			mock_upstream_sign(job->upstream, job->req, job->id);
		http_req_stream_begin(job->req, 200,
				      job->total_events ? "text/event-stream" : "text/plain");
	}
	if (http_req_unsent_bytes(job->req) < MOCK_ENDLESS_CHUNK_BYTES)
		http_req_stream_write(job->req, bytes, MOCK_ENDLESS_CHUNK_BYTES);
	uv_timer_start(&job->timer, job->timer.timer_cb, 1, 0);
}

static void mock_job_on_timer(uv_timer_t *timer)
{
	struct mock_job *job = timer->data;
	struct mock_upstream *upstream = job->upstream;
	struct http_req *req = job->req;
	g_autofree char *body = NULL;
	bool fail;

	if (job->crashes_upstream) {
		mock_upstream_crash(upstream);
		return;
	}
	if (job->endless) {
		mock_job_send_endless(job);
		return;
	}
	if (job->total_events) {
		mock_job_send_event(job);
		return;
	}
	body = g_strdup_printf("%s %s", job->id, http_req_target(req));
	if (mock_upstream_chance(upstream, upstream->conf.lose_percent)) {
		mock_find_or_add_record(upstream->platform, job->id)->broke_off = true;
		mock_job_free(job);
		http_req_stream_abort(req);
		return;
	}
	fail = mock_upstream_chance(upstream, upstream->conf.fail_percent);
	mock_find_or_add_record(upstream->platform, job->id)->completed |= !fail;
	mock_upstream_sign(upstream, req,
			   mock_upstream_chance(upstream, upstream->conf.foreign_percent)
				   ? "another"
				   : job->id);
	mock_job_free(job);
	http_req_reply(req, fail ? 500 : 200, "text/plain", body, strlen(body));
}

/* Says in an answer that the upstream leaves, once it does. */
static void mock_upstream_name_leaving(const struct mock_upstream *upstream, struct http_req *req)
{
	if (upstream->leaving_ms)
		http_req_add_response_header(req, "Server-Leaving", "1");
}

/* Asks in a refusal to be left alone, and notes it with the arrival that is refused. */
static void mock_upstream_ask_quiet(struct mock_upstream *upstream, struct http_req *req)
{
	struct mock_arrival *arrival = &g_array_index(upstream->arrivals, struct mock_arrival,
						      upstream->arrivals->len - 1);
	char text[32];

	if (upstream->conf.quiet_ms == 0)
		return;
	g_snprintf(text, sizeof(text), "%u.%03u", upstream->conf.quiet_ms / 1000,
		   upstream->conf.quiet_ms % 1000);
	http_req_add_response_header(req, "Retry-After", text);
	arrival->quiet_until_ms = arrival->at_ms + upstream->conf.quiet_ms;
}

/* Refuses a request and states that it was not executed. */
static void mock_upstream_refuse(const struct mock_upstream *upstream, struct http_req *req,
				 const char *id, uint16_t status)
{
	mock_upstream_name_limit(upstream, req);
	mock_upstream_name_leaving(upstream, req);
	http_req_add_response_header(req, "X-Flamingolatch-Attempt-Id", id);
	http_req_add_response_header(req, "X-Flamingolatch-Not-Executed", "1");
	http_req_reply(req, status, NULL, "", 0);
}

/* Makes a KV copy of a generation; with "last", also stops the generation here. */
static void mock_upstream_on_migration(struct mock_upstream *upstream, struct http_req *req)
{
	size_t len;
	const char *text = http_req_body(req, &len);
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "id"));
	bool stop_source = json_is_true(json_object_get(root, "last"));
	guint64 now_ms = uv_now(upstream->platform->loop);

	g_array_append_val(upstream->copies_ms, now_ms);

	for (guint i = 0; id && i < upstream->jobs->len; i++) {
		struct mock_job *job = upstream->jobs->pdata[i];
		struct http_req *source_req = job->req;

		if (strcmp(job->id, id) != 0 || job->total_events == 0)
			continue;
		if (!job->handle ||
		    !g_hash_table_contains(upstream->platform->kv_copies, job->handle)) {
			g_free(job->handle);
			job->handle = g_strdup_printf("h%u", ++upstream->platform->handle_count);
		}
		g_hash_table_insert(upstream->platform->kv_copies, g_strdup(job->handle),
				    GUINT_TO_POINTER(job->next_event));
		mock_reply_json(req, 200,
				json_pack("{s:s, s:i}", "kv_handle", job->handle, "created",
					  (int)job->next_event - 1));
		if (stop_source) {
			mock_job_free(job);
			http_req_stream_abort(source_req);
		}
		json_decref(root);
		return;
	}
	json_decref(root);
	http_req_reply(req, 404, NULL, "", 0);
}

/* Returns the number of the first event to send; 0 when the request names an unknown KV copy. */
static uint32_t mock_upstream_first_event(const struct mock_platform *platform,
					  struct http_req *req)
{
	const char *from = http_req_header(req, "kv-from");
	const char *after = http_req_header(req, "last-event-id");
	const char *handle = from ? strchr(from, '/') : NULL;
	uint32_t first = after ? (uint32_t)strtoul(after, NULL, 10) + 1 : 1;

	if (!from)
		return first;
	if (!handle || !g_hash_table_remove(platform->kv_copies, handle + 1))
		return 0;
	return first;
}

/* Tells whether the request has the part that crashes the upstream, not as its last part. */
static bool mock_upstream_has_crash_part(const struct mock_upstream *upstream, struct http_req *req)
{
	const char *list = http_req_header(req, "x-flamingolatch-prompt-prefix");
	g_auto(GStrv) parts = list ? g_strsplit(list, ",", 0) : NULL;

	for (uint32_t i = 0; upstream->conf.crash_part && parts && parts[i] && parts[i + 1]; i++) {
		size_t id_len = strcspn(parts[i], ":");

		if (id_len == strlen(upstream->conf.crash_part) &&
		    strncmp(parts[i], upstream->conf.crash_part, id_len) == 0)
			return true;
	}
	return false;
}

/* Begins to work on requests that wait, as long as there are slots. */
static void mock_upstream_begin_waiting(struct mock_upstream *upstream)
{
	for (guint i = 0;
	     i < upstream->jobs->len && !upstream->crashed_ms &&
	     (upstream->conf.slots == 0 || upstream->working_count < upstream->conf.slots);
	     i++) {
		struct mock_job *job = upstream->jobs->pdata[i];
		struct mock_request_record *record;

		if (job->working)
			continue;
		record = mock_find_or_add_record(upstream->platform, job->id);
		job->working = true;
		upstream->working_count++;
		record->working++;
		if (!job->resumed)
			record->executions++;
		uv_timer_start(&job->timer, mock_job_on_timer, upstream->conf.work_ms, 0);
	}
}

static void mock_upstream_start_job(struct mock_upstream *upstream, struct http_req *req,
				    const char *id, uint32_t first)
{
	struct mock_job *job = g_new0(struct mock_job, 1);
	const char *tokens = http_req_header(req, "x-flamingolatch-token-usage");
	const char *max_tokens = tokens ? strchr(tokens, ',') : NULL;

	job->upstream = upstream;
	job->req = req;
	job->id = g_strdup(id);
	job->next_event = first;
	job->total_events =
		upstream->conf.engine && max_tokens
			? (uint32_t)MAX(strtoul(max_tokens + 1, NULL, 10) / MOCK_TOKENS_PER_EVENT,
					1)
			: 0;
	job->abort_midway = mock_upstream_chance(upstream, upstream->conf.cut_percent);
	job->garbles = mock_upstream_chance(upstream, upstream->conf.garble_percent);
	job->endless = mock_upstream_chance(upstream, upstream->conf.endless_percent);
	job->crashes_upstream = mock_upstream_has_crash_part(upstream, req) ||
				g_strcmp0(upstream->conf.crash_target, http_req_target(req)) == 0;
	uv_timer_init(upstream->platform->loop, &job->timer);
	job->timer.data = job;
	job->resumed = http_req_header(req, "kv-from") != NULL;
	g_ptr_array_add(upstream->jobs, job);
	http_req_set_callbacks(req, mock_job_on_gone, NULL, job);
	mock_upstream_begin_waiting(upstream);
}

static void mock_upstream_record_arrival(struct mock_upstream *upstream, struct http_req *req,
					 struct mock_request_record *record)
{
	guint64 now_ms = uv_now(upstream->platform->loop);
	struct mock_arrival arrival;

	g_array_append_val(upstream->arrivals_ms, now_ms);
	arrival = (struct mock_arrival){
		.id = g_strdup(http_req_header(req, "x-flamingolatch-attempt-id")),
		.at_ms = now_ms,
		.leaving = upstream->leaving_ms > 0,
	};
	g_array_append_val(upstream->arrivals, arrival);
	record->arrivals++;
	g_free(record->upstream);
	record->upstream = g_strdup(upstream->id);
	record->arrived_ms = now_ms;
	record->leaving_ms = upstream->leaving_ms ? now_ms - upstream->leaving_ms : 0;
	record->key_forwarded |= http_req_header(req, "authorization") != NULL;
	g_free(record->customer);
	record->customer = g_strdup(http_req_header(req, "x-flamingolatch-tenant"));
}

static void mock_upstream_on_request(void *ctx, struct http_req *req)
{
	struct mock_upstream *upstream = ctx;
	const char *id = http_req_header(req, "x-flamingolatch-attempt-id");
	const char *expected = http_req_header(req, "x-flamingolatch-expect-replica");
	struct mock_request_record *record;
	uint32_t first;

	if (strcmp(http_req_path(req), "/kv-move") == 0) {
		mock_upstream_on_migration(upstream, req);
		return;
	}
	if (g_str_has_prefix(http_req_path(req), MOCK_KV_COPY_PATH)) {
		g_hash_table_remove(upstream->platform->kv_copies,
				    http_req_path(req) + strlen(MOCK_KV_COPY_PATH));
		http_req_reply(req, 200, NULL, "", 0);
		return;
	}
	if (!id) {
		http_req_reply(req, 400, NULL, "", 0);
		return;
	}
	if (expected && strcmp(expected, upstream->id) != 0) {
		mock_upstream_refuse(upstream, req, id, 421);
		return;
	}
	record = mock_find_or_add_record(upstream->platform, id);
	mock_upstream_record_arrival(upstream, req, record);
	first = mock_upstream_first_event(upstream->platform, req);
	if (first == 0 || mock_upstream_chance(upstream, upstream->conf.shed_percent)) {
		record->refused++;
		mock_upstream_ask_quiet(upstream, req);
		mock_upstream_refuse(upstream, req, id, 503);
		return;
	}
	g_free(record->service);
	record->service = g_strdup(upstream->service);
	mock_upstream_start_job(upstream, req, id, first);
}

/* queries */

const char *mock_platform_address(const struct mock_platform *platform)
{
	return platform->address;
}

uint32_t mock_platform_kv_copy_count(const struct mock_platform *platform)
{
	return g_hash_table_size(platform->kv_copies);
}

uint32_t mock_store_row_count(const struct mock_platform *platform, const char *table)
{
	uint32_t count = 0;

	for (guint i = 0; i < platform->rows->len; i++) {
		const struct mock_row *row = platform->rows->pdata[i];

		count += row->text && strcmp(row->table, table) == 0;
	}
	return count;
}

uint32_t mock_store_list_read_count(const struct mock_platform *platform)
{
	return platform->list_read_count;
}

uint32_t mock_store_call_count(const struct mock_platform *platform)
{
	return platform->answer_count;
}

const char *mock_upstream_address(const struct mock_upstream *upstream)
{
	return upstream->address;
}

uint32_t mock_upstream_open_count(const struct mock_upstream *upstream)
{
	return upstream->jobs->len;
}

struct mock_request_record mock_request_record(const struct mock_platform *platform, const char *id)
{
	const struct mock_request_record *record = g_hash_table_lookup(platform->records, id);

	return record ? *record : (struct mock_request_record){ 0 };
}

void mock_platform_each_record(const struct mock_platform *platform,
			       void (*each)(void *ctx, const char *id,
					    const struct mock_request_record *record),
			       void *ctx)
{
	GHashTableIter iter;
	const char *id;
	const struct mock_request_record *record;

	g_hash_table_iter_init(&iter, platform->records);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, (gpointer *)&record))
		each(ctx, id, record);
}
