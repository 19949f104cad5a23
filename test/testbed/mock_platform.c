#include "mock_platform.h"

#include "flamingolatch/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MOCK_MAX_BODY_BYTES	(8U << 20)
#define MOCK_HISTORY_COUNT	500
#define MOCK_KV_COPY_PATH	"/kv-handle/"
#define MOCK_LOST_PAGE_DELAY_MS 60000 /* longer than a caller waits */
#define MOCK_TOKENS_PER_EVENT	4     /* tokens in an event */
#define MOCK_DRAIN_EVENT_COUNT	1

struct mock_row {
	char *table;
	char *key;
	char *text; /* NULL when removed */
	uint64_t version;
};

/* A call that waits for a change or for its delay. */
#define MOCK_PAGE_MAX_ROWS 500 /* the protocol's limit */

struct mock_pending_answer {
	struct mock_platform *mock_platform;
	struct hreq *req;
	uv_timer_t timer;
	char *table;
	uint64_t since;
	bool feed; /* waits for a change; else for the delay only */
};

struct mock_platform {
	uv_loop_t *loop;
	struct hsrv *srv;
	char *address;
	GRand *rand;
	GPtrArray *rows;	/* struct mock_row, newest version last */
	GPtrArray *waits;	/* struct mock_pending_answer */
	GHashTable *executions; /* attempt id to struct mock_request_record */
	GHashTable *copies;	/* handle to the number of the next event, as a pointer */
	GPtrArray *ups;
	uint64_t version;
	uint64_t oldest; /* version from which changes are known */
	uint32_t calls;
	uint32_t delay_ms;
	uint32_t lose_pages;
	uint32_t list_reads;
	uint32_t handles;
	enum mock_store_mode mode;
};

struct mock_upstream {
	struct mock_platform *mock_platform;
	struct hsrv *srv;
	struct mock_upstream_conf conf;
	char *id;
	char *service;
	char *zone;
	char *address;
	char *listed; /* address in the entry */
	GPtrArray *works;
	uint64_t started_ms;
	uint64_t leaving_ms; /* when it announced so; 0 before */
};

/* A request that a replica works on. */
struct mock_job {
	struct mock_upstream *up;
	struct hreq *req; /* NULL after the system left */
	uv_timer_t timer;
	char *id;
	char *handle;	/* of its copy; NULL before the first */
	uint32_t next;	/* number of the next event */
	uint32_t total; /* events of the stream; 0 for a call */
	bool begun;
	bool cut;
	bool closing;
};

static void mock_store_on_request(void *ctx, struct hreq *req);
static void mock_upstream_on_request(void *ctx, struct hreq *req);
static void mock_store_answer_rows(struct mock_platform *mock_platform, struct hreq *req,
				   const char *table, uint64_t since, bool feed);

/* lifetime */

static void mock_row_free(gpointer data)
{
	struct mock_row *row = data;

	g_free(row->table);
	g_free(row->key);
	g_free(row->text);
	g_free(row);
}

static void mock_request_record_free(gpointer data)
{
	struct mock_request_record *run = data;

	g_free(run->customer);
	g_free(run->service);
	g_free(run);
}

struct mock_platform *mock_platform_create(uv_loop_t *loop, const char *address, uint16_t port,
					   uint32_t seed)
{
	struct mock_platform *mock_platform = g_new0(struct mock_platform, 1);
	struct hsrv_conf conf = { .address = address,
				  .port = port,
				  .max_body_bytes = MOCK_MAX_BODY_BYTES };

	mock_platform->loop = loop;
	mock_platform->rand = g_rand_new_with_seed(seed);
	mock_platform->rows = g_ptr_array_new_with_free_func(mock_row_free);
	mock_platform->waits = g_ptr_array_new();
	mock_platform->ups = g_ptr_array_new();
	mock_platform->executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, mock_request_record_free);
	mock_platform->copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mock_platform->version = 10;
	mock_platform->oldest = 10;
	mock_platform->srv = hsrv_create(loop, &conf, mock_store_on_request, mock_platform, NULL);
	g_assert_nonnull(mock_platform->srv);
	mock_platform->address = g_strdup_printf("%s:%u", address, hsrv_port(mock_platform->srv));
	return mock_platform;
}

static void mock_pending_answer_on_closed(uv_handle_t *handle)
{
	struct mock_pending_answer *wait = handle->data;

	g_free(wait->table);
	g_free(wait);
}

static void mock_pending_answer_free(struct mock_pending_answer *wait)
{
	g_ptr_array_remove_fast(wait->mock_platform->waits, wait);
	uv_close((uv_handle_t *)&wait->timer, mock_pending_answer_on_closed);
}

static void mock_job_on_closed(uv_handle_t *handle)
{
	struct mock_job *work = handle->data;

	g_free(work->id);
	g_free(work->handle);
	g_free(work);
}

static void mock_job_free(struct mock_job *work)
{
	if (work->closing)
		return;
	work->closing = true;
	if (work->req)
		hreq_set_callbacks(work->req, NULL, NULL, NULL);
	g_ptr_array_remove_fast(work->up->works, work);
	uv_close((uv_handle_t *)&work->timer, mock_job_on_closed);
}

static void mock_upstream_free(struct mock_upstream *up)
{
	mock_upstream_crash(up);
	g_ptr_array_free(up->works, TRUE);
	g_free(up->id);
	g_free(up->service);
	g_free(up->zone);
	g_free(up->address);
	g_free(up->listed);
	g_free(up);
}

void mock_platform_destroy(struct mock_platform *mock_platform)
{
	while (mock_platform->waits->len) {
		struct mock_pending_answer *wait = mock_platform->waits->pdata[0];

		hreq_set_callbacks(wait->req, NULL, NULL, NULL);
		mock_pending_answer_free(wait);
	}
	for (guint i = 0; i < mock_platform->ups->len; i++)
		mock_upstream_free(mock_platform->ups->pdata[i]);
	hsrv_destroy(mock_platform->srv);
	g_ptr_array_free(mock_platform->ups, TRUE);
	g_ptr_array_free(mock_platform->waits, TRUE);
	g_ptr_array_free(mock_platform->rows, TRUE);
	g_hash_table_destroy(mock_platform->executions);
	g_hash_table_destroy(mock_platform->copies);
	g_rand_free(mock_platform->rand);
	g_free(mock_platform->address);
	g_free(mock_platform);
}

/* commands: the store */

static struct mock_row *mock_store_find_row(struct mock_platform *mock_platform, const char *table,
					    const char *key)
{
	for (guint i = 0; i < mock_platform->rows->len; i++) {
		struct mock_row *row = mock_platform->rows->pdata[i];

		if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
}

/* Answers those that wait for a change of a table. */
static void mock_store_answer_watchers(struct mock_platform *mock_platform, const char *table)
{
	for (guint i = mock_platform->waits->len; i > 0; i--) {
		struct mock_pending_answer *wait = mock_platform->waits->pdata[i - 1];
		struct hreq *req = wait->req;

		if (!wait->feed || strcmp(wait->table, table) != 0 ||
		    mock_platform->mode != MOCK_STORE_HEALTHY)
			continue;
		hreq_set_callbacks(req, NULL, NULL, NULL);
		mock_store_answer_rows(mock_platform, req, table, wait->since, true);
		mock_pending_answer_free(wait);
	}
}

void mock_store_put(struct mock_platform *mock_platform, const char *table, const char *key,
		    const char *text)
{
	struct mock_row *row = mock_store_find_row(mock_platform, table, key);

	if (row)
		g_ptr_array_remove(mock_platform->rows, row);
	row = g_new0(struct mock_row, 1);
	row->table = g_strdup(table);
	row->key = g_strdup(key);
	row->text = g_strdup(text);
	row->version = ++mock_platform->version;
	g_ptr_array_add(mock_platform->rows, row);
	mock_store_answer_watchers(mock_platform, table);
}

/* Breaks off the calls that wait. */
static void mock_store_abort_pending(struct mock_platform *mock_platform)
{
	while (mock_platform->waits->len) {
		struct mock_pending_answer *wait = mock_platform->waits->pdata[0];
		struct hreq *req = wait->req;

		hreq_set_callbacks(req, NULL, NULL, NULL);
		mock_pending_answer_free(wait);
		hreq_stream_abort(req);
	}
}

void mock_store_set_mode(struct mock_platform *mock_platform, enum mock_store_mode mode)
{
	if (mock_platform->mode == MOCK_STORE_SILENT || mode == MOCK_STORE_RESET)
		mock_store_abort_pending(mock_platform);
	mock_platform->mode = mode;
}

void mock_store_lose_pages(struct mock_platform *mock_platform, uint32_t count)
{
	mock_platform->lose_pages = count;
}

void mock_store_set_delay(struct mock_platform *mock_platform, uint32_t delay_ms)
{
	mock_platform->delay_ms = delay_ms;
}

void mock_store_drop_history(struct mock_platform *mock_platform)
{
	mock_platform->oldest = ++mock_platform->version;
	mock_store_abort_pending(mock_platform);
}

/* helpers: the store */

static json_t *mock_row_json(const struct mock_row *row)
{
	json_t *out = json_pack("{s:s, s:s, s:s, s:I}", "table", row->table, "part", "", "key",
				row->key, "row_version", (json_int_t)row->version);

	if (row->text) {
		g_autofree char *value =
			g_base64_encode((const guchar *)row->text, strlen(row->text));

		json_object_set_new(out, "value", json_string(value));
	} else {
		json_object_set_new(out, "deleted", json_true());
	}
	return out;
}

static void mock_reply_json(struct hreq *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	hreq_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static gint mock_row_compare_key(gconstpointer a, gconstpointer b)
{
	const struct mock_row *const *one = a;
	const struct mock_row *const *other = b;

	return strcmp((*one)->key, (*other)->key);
}

/* Returns the key after which a page begins, or NULL. The range starts at a key followed by a
 * zero byte, which no string holds. */
static char *mock_store_page_after(const struct hreq *req)
{
	const char *from = strstr(hreq_query(req), "&from=");
	const char *end = from ? strstr(from, "%00") : NULL;

	return end ? g_uri_unescape_segment(from + strlen("&from="), end, NULL) : NULL;
}

/* Appends the rows of a page. @return whether there are more */
static bool mock_store_append_page(struct hreq *req, GPtrArray *found, json_t *rows)
{
	g_autofree char *after = mock_store_page_after(req);
	g_autofree char *limit_text = hreq_query_param(req, "limit");
	uint64_t limit = limit_text ? strtoull(limit_text, NULL, 10) : MOCK_PAGE_MAX_ROWS;

	g_ptr_array_sort(found, mock_row_compare_key);
	for (guint i = 0; i < found->len; i++) {
		const struct mock_row *row = found->pdata[i];

		if (after && strcmp(row->key, after) <= 0)
			continue;
		if (json_array_size(rows) >= MIN(limit, MOCK_PAGE_MAX_ROWS))
			return true;
		json_array_append_new(rows, mock_row_json(row));
	}
	return false;
}

static void mock_store_answer_rows(struct mock_platform *mock_platform, struct hreq *req,
				   const char *table, uint64_t since, bool feed)
{
	json_t *rows = json_array();
	g_autoptr(GPtrArray) found = g_ptr_array_new();
	bool more = false;

	for (guint i = 0; i < mock_platform->rows->len; i++) {
		struct mock_row *row = mock_platform->rows->pdata[i];

		if (strcmp(row->table, table) != 0 || (feed && row->version <= since) ||
		    (!feed && !row->text))
			continue;
		if (feed)
			json_array_append_new(rows, mock_row_json(row));
		else
			g_ptr_array_add(found, row);
	}
	if (!feed)
		more = mock_store_append_page(req, found, rows);
	mock_platform->calls++;
	mock_reply_json(req, 200,
			json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", more,
				  "row_version", (json_int_t)mock_platform->version, "now_ms",
				  (json_int_t)uv_now(mock_platform->loop)));
}

static bool mock_store_has_changed(const struct mock_platform *mock_platform, const char *table,
				   uint64_t since)
{
	for (guint i = 0; i < mock_platform->rows->len; i++) {
		const struct mock_row *row = mock_platform->rows->pdata[i];

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
	struct mock_pending_answer *wait = timer->data;
	struct mock_platform *mock_platform = wait->mock_platform;
	struct hreq *req = wait->req;

	if (mock_platform->mode == MOCK_STORE_SILENT)
		return;
	hreq_set_callbacks(req, NULL, NULL, NULL);
	mock_store_answer_rows(mock_platform, req, wait->table, wait->since, wait->feed);
	mock_pending_answer_free(wait);
}

static void mock_pending_answer(struct mock_platform *mock_platform, struct hreq *req,
				const char *table, uint64_t since, bool feed, uint64_t wait_ms)
{
	struct mock_pending_answer *wait = g_new0(struct mock_pending_answer, 1);

	wait->mock_platform = mock_platform;
	wait->req = req;
	wait->table = g_strdup(table);
	wait->since = since;
	wait->feed = feed;
	uv_timer_init(mock_platform->loop, &wait->timer);
	wait->timer.data = wait;
	if (mock_platform->mode != MOCK_STORE_SILENT)
		uv_timer_start(&wait->timer, mock_pending_answer_on_timer, wait_ms, 0);
	g_ptr_array_add(mock_platform->waits, wait);
	hreq_set_callbacks(req, mock_pending_answer_on_gone, NULL, wait);
}

static void mock_store_on_write(struct mock_platform *mock_platform, struct hreq *req)
{
	size_t len;
	const char *body = hreq_body(req, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(root, "writes"), i, row)
	{
		gsize size;
		g_autofree guchar *value =
			g_base64_decode(json_string_value(json_object_get(row, "value")), &size);
		g_autofree char *text = g_strndup((const char *)value, size);

		mock_store_put(mock_platform, json_string_value(json_object_get(row, "table")),
			       json_string_value(json_object_get(row, "key")), text);
	}
	json_array_foreach(json_object_get(root, "remove"), i, row)
	{
		mock_store_put(mock_platform, json_string_value(json_object_get(row, "table")),
			       json_string_value(json_object_get(row, "key")), NULL);
	}
	json_decref(root);
	mock_platform->calls++;
	mock_reply_json(req, 200,
			json_pack("{s:I}", "row_version", (json_int_t)mock_platform->version));
}

/* Counts the reads of the instance list. @return whether this one gets no answer */
static bool mock_store_loses_page(struct mock_platform *mock_platform, const struct hreq *req)
{
	g_autofree char *after = mock_store_page_after(req);

	if (!after) {
		mock_platform->list_reads++;
		return false;
	}
	if (mock_platform->lose_pages == 0)
		return false;
	mock_platform->lose_pages--;
	return true;
}

static void mock_store_on_request(void *ctx, struct hreq *req)
{
	struct mock_platform *mock_platform = ctx;
	g_autofree char *table = hreq_query_param(req, "table");
	g_autofree char *since_text = hreq_query_param(req, "since_rev");
	g_autofree char *wait_text = hreq_query_param(req, "wait_ms");
	uint64_t since = since_text ? strtoull(since_text, NULL, 10) : 0;
	uint64_t wait_ms = wait_text ? strtoull(wait_text, NULL, 10) : 0;
	bool feed = strcmp(hreq_path(req), "/rows-feed") == 0;

	if (mock_platform->mode == MOCK_STORE_RESET) {
		hreq_stream_abort(req);
	} else if (mock_platform->mode == MOCK_STORE_BUSY) {
		hreq_reply(req, 503, NULL, "", 0);
	} else if (strcmp(hreq_path(req), "/rows-tx") == 0) {
		mock_store_on_write(mock_platform, req);
	} else if (!table) {
		hreq_reply(req, 400, NULL, "", 0);
	} else if (feed && since < mock_platform->oldest) {
		hreq_reply(req, 410, NULL, "", 0);
	} else if (!feed && strcmp(table, "servers") == 0 &&
		   mock_store_loses_page(mock_platform, req)) {
		mock_pending_answer(mock_platform, req, table, since, feed,
				    MOCK_LOST_PAGE_DELAY_MS);
	} else if (mock_platform->mode == MOCK_STORE_SILENT || mock_platform->delay_ms) {
		mock_pending_answer(mock_platform, req, table, since, feed,
				    mock_platform->delay_ms);
	} else if (!feed || mock_store_has_changed(mock_platform, table, since)) {
		mock_store_answer_rows(mock_platform, req, table, since, feed);
	} else {
		mock_pending_answer(mock_platform, req, table, since, feed, wait_ms);
	}
}

/* commands: replicas */

void mock_upstream_list(struct mock_upstream *up)
{
	json_t *root = json_pack("{s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}", "service", up->service,
				 "address", up->listed, "zone", up->zone, "slots", 8, "state",
				 up->leaving_ms ? "draining" : "ready", "cold_left_ms", 0, "seq_no",
				 (json_int_t)up->mock_platform->version, "born",
				 (json_int_t)up->started_ms);
	char *text = json_dumps(root, JSON_COMPACT);

	mock_store_put(up->mock_platform, "servers", up->id, text);
	free(text);
	json_decref(root);
}

struct mock_upstream *mock_upstream_create(struct mock_platform *mock_platform,
					   const struct mock_upstream_conf *conf)
{
	struct mock_upstream *up = g_new0(struct mock_upstream, 1);
	struct hsrv_conf server = { .address = conf->address,
				    .port = conf->port,
				    .max_body_bytes = MOCK_MAX_BODY_BYTES };

	up->mock_platform = mock_platform;
	up->conf = *conf;
	up->id = g_strdup(conf->id);
	up->service = g_strdup(conf->service);
	up->zone = g_strdup(conf->zone);
	up->works = g_ptr_array_new();
	up->started_ms = (uint64_t)g_get_real_time() / 1000;
	up->srv = hsrv_create(mock_platform->loop, &server, mock_upstream_on_request, up, NULL);
	g_assert_nonnull(up->srv);
	up->address = g_strdup_printf("%s:%u", conf->address, hsrv_port(up->srv));
	up->listed = g_strdup(up->address);
	g_ptr_array_add(mock_platform->ups, up);
	return up;
}

void mock_upstream_configure(struct mock_upstream *up, const struct mock_upstream_conf *conf)
{
	up->conf = *conf;
}

void mock_upstream_set_listed_address(struct mock_upstream *up, const char *address)
{
	g_free(up->listed);
	up->listed = g_strdup(address);
}

void mock_upstream_crash(struct mock_upstream *up)
{
	while (up->works->len) {
		struct mock_job *work = up->works->pdata[0];

		mock_job_free(work);
	}
	hsrv_destroy(up->srv);
	up->srv = NULL;
}

void mock_upstream_drain(struct mock_upstream *up)
{
	up->leaving_ms = uv_now(up->mock_platform->loop);
	mock_upstream_list(up);
}

void mock_upstream_unlist(struct mock_upstream *up)
{
	if (up->leaving_ms == 0)
		up->leaving_ms = uv_now(up->mock_platform->loop);
	mock_store_put(up->mock_platform, "servers", up->id, NULL);
}

/* helpers: replicas */

char *mock_event(const char *id, uint32_t number, uint32_t total)
{
	return g_strdup_printf("id: %u\ndata: %s %u%s\n\n", number, id, number,
			       number == total ? " end" : "");
}

static bool mock_upstream_chance(const struct mock_upstream *up, uint32_t percent)
{
	return percent && (uint32_t)g_rand_int_range(up->mock_platform->rand, 0, 100) < percent;
}

static struct mock_request_record *mock_find_or_add_record(struct mock_platform *mock_platform,
							   const char *id)
{
	struct mock_request_record *run = g_hash_table_lookup(mock_platform->executions, id);

	if (!run) {
		run = g_new0(struct mock_request_record, 1);
		g_hash_table_insert(mock_platform->executions, g_strdup(id), run);
	}
	return run;
}

static void mock_job_on_gone(void *ctx)
{
	struct mock_job *work = ctx;

	work->req = NULL;
	mock_job_free(work);
}

static void mock_upstream_sign(struct hreq *req, const char *id)
{
	hreq_add_header(req, "X-Flamingolatch-Attempt-Id", id);
	hreq_add_header(req, "X-Flamingolatch-Replica-Signature", "stand");
}

/* Sends one event of a stream; the last one ends it. */
static void mock_job_send_event(struct mock_job *work)
{
	struct mock_upstream *up = work->up;
	g_autofree char *event = mock_event(work->id, work->next, work->total);
	struct hreq *req = work->req;

	if (!work->begun) {
		work->begun = true;
		mock_upstream_sign(req, work->id);
		hreq_stream_begin(req, 200, "text/event-stream");
	}
	if (work->cut && work->next > work->total / 2) {
		mock_job_free(work);
		hreq_stream_write(req, event, strlen(event) / 2);
		hreq_stream_abort(req);
		return;
	}
	hreq_stream_write(req, event, strlen(event));
	if (work->next++ < work->total) {
		uv_timer_start(&work->timer, work->timer.timer_cb, up->conf.pace_ms, 0);
		return;
	}
	mock_find_or_add_record(up->mock_platform, work->id)->done = true;
	mock_job_free(work);
	hreq_stream_end(req);
}

static void mock_job_on_timer(uv_timer_t *timer)
{
	struct mock_job *work = timer->data;
	struct mock_upstream *up = work->up;
	struct hreq *req = work->req;
	g_autofree char *body = NULL;
	bool fail;

	if (work->total) {
		mock_job_send_event(work);
		return;
	}
	body = g_strdup_printf("%s %s", work->id, hreq_target(req));
	if (mock_upstream_chance(up, up->conf.lose_percent)) {
		mock_job_free(work);
		hreq_stream_abort(req);
		return;
	}
	fail = mock_upstream_chance(up, up->conf.fail_percent);
	mock_find_or_add_record(up->mock_platform, work->id)->done |= !fail;
	mock_upstream_sign(req, mock_upstream_chance(up, up->conf.foreign_percent) ? "another"
										   : work->id);
	mock_job_free(work);
	hreq_reply(req, fail ? 500 : 200, "text/plain", body, strlen(body));
}

/* Refuses a request with a statement that it was not run. */
static void mock_upstream_refuse(struct hreq *req, const char *id, uint16_t status)
{
	hreq_add_header(req, "X-Flamingolatch-Attempt-Id", id);
	hreq_add_header(req, "X-Flamingolatch-Not-Executed", "1");
	hreq_reply(req, status, NULL, "", 0);
}

/* Copies a run; with "last" it stops here. */
static void mock_upstream_on_migration(struct mock_upstream *up, struct hreq *req)
{
	size_t len;
	const char *text = hreq_body(req, &len);
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "id"));
	bool last = json_is_true(json_object_get(root, "last"));

	for (guint i = 0; id && i < up->works->len; i++) {
		struct mock_job *work = up->works->pdata[i];
		struct hreq *caller = work->req;

		if (strcmp(work->id, id) != 0 || work->total == 0)
			continue;
		if (!work->handle ||
		    !g_hash_table_contains(up->mock_platform->copies, work->handle)) {
			g_free(work->handle);
			work->handle = g_strdup_printf("h%u", ++up->mock_platform->handles);
		}
		g_hash_table_insert(up->mock_platform->copies, g_strdup(work->handle),
				    GUINT_TO_POINTER(work->next));
		mock_reply_json(req, 200,
				json_pack("{s:s, s:i}", "kv_handle", work->handle, "created",
					  (int)work->next - 1));
		if (last) {
			mock_job_free(work);
			hreq_stream_abort(caller);
		}
		json_decref(root);
		return;
	}
	json_decref(root);
	hreq_reply(req, 404, NULL, "", 0);
}

/* Returns the number of the first event to send; 0 when a copy is asked for that is not there. */
static uint32_t mock_upstream_first_event(const struct mock_platform *mock_platform,
					  struct hreq *req)
{
	const char *from = hreq_header(req, "kv-from");
	const char *after = hreq_header(req, "last-event-id");
	const char *handle = from ? strchr(from, '/') : NULL;
	uint32_t first = after ? (uint32_t)strtoul(after, NULL, 10) + 1 : 1;

	if (!from)
		return first;
	if (!handle || !g_hash_table_remove(mock_platform->copies, handle + 1))
		return 0;
	return first;
}

static void mock_upstream_start_job(struct mock_upstream *up, struct hreq *req, const char *id,
				    uint32_t first)
{
	struct mock_job *work = g_new0(struct mock_job, 1);
	const char *tokens = hreq_header(req, "x-flamingolatch-token-usage");
	const char *most = tokens ? strchr(tokens, ',') : NULL;

	work->up = up;
	work->req = req;
	work->id = g_strdup(id);
	work->next = first;
	work->total =
		up->conf.engine && most
			? (uint32_t)MAX(strtoul(most + 1, NULL, 10) / MOCK_TOKENS_PER_EVENT, 1)
			: 0;
	work->cut = mock_upstream_chance(up, up->conf.cut_percent);
	uv_timer_init(up->mock_platform->loop, &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, mock_job_on_timer, up->conf.work_ms, 0);
	g_ptr_array_add(up->works, work);
	hreq_set_callbacks(req, mock_job_on_gone, NULL, work);
}

static void mock_upstream_record_arrival(struct mock_upstream *up, struct hreq *req,
					 struct mock_request_record *run)
{
	uint64_t now_ms = uv_now(up->mock_platform->loop);

	run->arrivals++;
	run->arrived_ms = now_ms;
	run->leaving_ms = up->leaving_ms ? now_ms - up->leaving_ms : 0;
	run->key_forwarded |= hreq_header(req, "authorization") != NULL;
	g_free(run->customer);
	run->customer = g_strdup(hreq_header(req, "x-flamingolatch-tenant"));
}

static void mock_upstream_on_request(void *ctx, struct hreq *req)
{
	struct mock_upstream *up = ctx;
	const char *id = hreq_header(req, "x-flamingolatch-attempt-id");
	const char *expected = hreq_header(req, "x-flamingolatch-expect-replica");
	struct mock_request_record *run;
	uint32_t first;

	if (strcmp(hreq_path(req), "/kv-move") == 0) {
		mock_upstream_on_migration(up, req);
		return;
	}
	if (g_str_has_prefix(hreq_path(req), MOCK_KV_COPY_PATH)) {
		g_hash_table_remove(up->mock_platform->copies,
				    hreq_path(req) + strlen(MOCK_KV_COPY_PATH));
		hreq_reply(req, 200, NULL, "", 0);
		return;
	}
	if (!id) {
		hreq_reply(req, 400, NULL, "", 0);
		return;
	}
	if (expected && strcmp(expected, up->id) != 0) {
		mock_upstream_refuse(req, id, 421);
		return;
	}
	run = mock_find_or_add_record(up->mock_platform, id);
	mock_upstream_record_arrival(up, req, run);
	first = mock_upstream_first_event(up->mock_platform, req);
	if (first == 0 || mock_upstream_chance(up, up->conf.shed_percent)) {
		run->refused++;
		mock_upstream_refuse(req, id, 503);
		return;
	}
	if (!hreq_header(req, "kv-from"))
		run->executions++;
	g_free(run->service);
	run->service = g_strdup(up->service);
	mock_upstream_start_job(up, req, id, first);
}

/* queries */

const char *mock_platform_address(const struct mock_platform *mock_platform)
{
	return mock_platform->address;
}

uint32_t mock_platform_kv_copy_count(const struct mock_platform *mock_platform)
{
	return g_hash_table_size(mock_platform->copies);
}

uint32_t mock_store_list_read_count(const struct mock_platform *mock_platform)
{
	return mock_platform->list_reads;
}

uint32_t mock_store_call_count(const struct mock_platform *mock_platform)
{
	return mock_platform->calls;
}

const char *mock_upstream_address(const struct mock_upstream *up)
{
	return up->address;
}

uint32_t mock_upstream_open_count(const struct mock_upstream *up)
{
	return up->works->len;
}

struct mock_request_record mock_request_record(const struct mock_platform *mock_platform,
					       const char *id)
{
	const struct mock_request_record *run = g_hash_table_lookup(mock_platform->executions, id);

	return run ? *run : (struct mock_request_record){ 0 };
}

void mock_platform_each_record(const struct mock_platform *mock_platform,
			       void (*each)(void *ctx, const char *id,
					    const struct mock_request_record *run),
			       void *ctx)
{
	GHashTableIter iter;
	const char *id;
	const struct mock_request_record *run;

	g_hash_table_iter_init(&iter, mock_platform->executions);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, (gpointer *)&run))
		each(ctx, id, run);
}
