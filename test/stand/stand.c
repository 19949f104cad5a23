#include "stand.h"

#include "flamingolatch/http_server.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define STAND_MAX_BODY	   (8U << 20)
#define STAND_HISTORY	   500
#define STAND_COPY_PATH	   "/kv-handle/"
#define STAND_LOST_MS	   60000 /* longer than a caller waits */
#define STAND_STRIDE	   4	 /* tokens in an event */
#define STAND_DRAIN_EVENTS 1

struct stand_row {
	char *table;
	char *key;
	char *text; /* NULL when removed */
	uint64_t version;
};

/* A call that waits for a change or for its delay. */
#define STAND_PAGE_ROWS 500 /* the protocol's limit */

struct stand_wait {
	struct stand *stand;
	struct http_req *req;
	uv_timer_t timer;
	char *table;
	uint64_t since;
	bool feed; /* waits for a change; else for the delay only */
};

struct stand {
	uv_loop_t *loop;
	struct http_server *srv;
	char *address;
	GRand *rand;
	GPtrArray *rows;    /* struct stand_row, newest version last */
	GPtrArray *waits;   /* struct stand_wait */
	GHashTable *runs;   /* attempt id to struct stand_run */
	GHashTable *copies; /* handle to the number of the next event, as a pointer */
	GPtrArray *ups;
	uint64_t version;
	uint64_t oldest; /* version from which changes are known */
	uint32_t calls;
	uint32_t delay_ms;
	uint32_t lose_pages;
	uint32_t list_reads;
	uint32_t handles;
	enum stand_store_mode mode;
};

struct stand_up {
	struct stand *stand;
	struct http_server *srv;
	struct stand_up_conf conf;
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
struct stand_work {
	struct stand_up *up;
	struct http_req *req; /* NULL after the system left */
	uv_timer_t timer;
	char *id;
	char *handle;	/* of its copy; NULL before the first */
	uint32_t next;	/* number of the next event */
	uint32_t total; /* events of the stream; 0 for a call */
	bool begun;
	bool cut;
	bool closing;
};

static void stand_on_request(void *ctx, struct http_req *req);
static void stand_up_on_request(void *ctx, struct http_req *req);
static void stand_answer_rows(struct stand *stand, struct http_req *req, const char *table,
			      uint64_t since, bool feed);

/* lifetime */

static void stand_row_free(gpointer data)
{
	struct stand_row *row = data;

	g_free(row->table);
	g_free(row->key);
	g_free(row->text);
	g_free(row);
}

static void stand_run_free(gpointer data)
{
	struct stand_run *run = data;

	g_free(run->customer);
	g_free(run->service);
	g_free(run);
}

struct stand *stand_create(uv_loop_t *loop, const char *address, uint16_t port, uint32_t seed)
{
	struct stand *stand = g_new0(struct stand, 1);
	struct http_server_conf conf = { .address = address,
					 .port = port,
					 .max_body_bytes = STAND_MAX_BODY };

	stand->loop = loop;
	stand->rand = g_rand_new_with_seed(seed);
	stand->rows = g_ptr_array_new_with_free_func(stand_row_free);
	stand->waits = g_ptr_array_new();
	stand->ups = g_ptr_array_new();
	stand->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stand_run_free);
	stand->copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stand->version = 10;
	stand->oldest = 10;
	stand->srv = http_server_create(loop, &conf, stand_on_request, stand, NULL);
	g_assert_nonnull(stand->srv);
	stand->address = g_strdup_printf("%s:%u", address, http_server_port(stand->srv));
	return stand;
}

static void stand_wait_on_closed(uv_handle_t *handle)
{
	struct stand_wait *wait = handle->data;

	g_free(wait->table);
	g_free(wait);
}

static void stand_wait_free(struct stand_wait *wait)
{
	g_ptr_array_remove_fast(wait->stand->waits, wait);
	uv_close((uv_handle_t *)&wait->timer, stand_wait_on_closed);
}

static void stand_work_on_closed(uv_handle_t *handle)
{
	struct stand_work *work = handle->data;

	g_free(work->id);
	g_free(work->handle);
	g_free(work);
}

static void stand_work_free(struct stand_work *work)
{
	if (work->closing)
		return;
	work->closing = true;
	if (work->req)
		http_req_set_callbacks(work->req, NULL, NULL, NULL);
	g_ptr_array_remove_fast(work->up->works, work);
	uv_close((uv_handle_t *)&work->timer, stand_work_on_closed);
}

static void stand_up_free(struct stand_up *up)
{
	stand_up_crash(up);
	g_ptr_array_free(up->works, TRUE);
	g_free(up->id);
	g_free(up->service);
	g_free(up->zone);
	g_free(up->address);
	g_free(up->listed);
	g_free(up);
}

void stand_destroy(struct stand *stand)
{
	while (stand->waits->len) {
		struct stand_wait *wait = stand->waits->pdata[0];

		http_req_set_callbacks(wait->req, NULL, NULL, NULL);
		stand_wait_free(wait);
	}
	for (guint i = 0; i < stand->ups->len; i++)
		stand_up_free(stand->ups->pdata[i]);
	http_server_destroy(stand->srv);
	g_ptr_array_free(stand->ups, TRUE);
	g_ptr_array_free(stand->waits, TRUE);
	g_ptr_array_free(stand->rows, TRUE);
	g_hash_table_destroy(stand->runs);
	g_hash_table_destroy(stand->copies);
	g_rand_free(stand->rand);
	g_free(stand->address);
	g_free(stand);
}

/* commands: the store */

static struct stand_row *stand_find(struct stand *stand, const char *table, const char *key)
{
	for (guint i = 0; i < stand->rows->len; i++) {
		struct stand_row *row = stand->rows->pdata[i];

		if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0)
			return row;
	}
	return NULL;
}

/* Answers those that wait for a change of a table. */
static void stand_wake(struct stand *stand, const char *table)
{
	for (guint i = stand->waits->len; i > 0; i--) {
		struct stand_wait *wait = stand->waits->pdata[i - 1];
		struct http_req *req = wait->req;

		if (!wait->feed || strcmp(wait->table, table) != 0 ||
		    stand->mode != STAND_STORE_SOUND)
			continue;
		http_req_set_callbacks(req, NULL, NULL, NULL);
		stand_answer_rows(stand, req, table, wait->since, true);
		stand_wait_free(wait);
	}
}

void stand_put(struct stand *stand, const char *table, const char *key, const char *text)
{
	struct stand_row *row = stand_find(stand, table, key);

	if (row)
		g_ptr_array_remove(stand->rows, row);
	row = g_new0(struct stand_row, 1);
	row->table = g_strdup(table);
	row->key = g_strdup(key);
	row->text = g_strdup(text);
	row->version = ++stand->version;
	g_ptr_array_add(stand->rows, row);
	stand_wake(stand, table);
}

/* Breaks off the calls that wait. */
static void stand_break_waits(struct stand *stand)
{
	while (stand->waits->len) {
		struct stand_wait *wait = stand->waits->pdata[0];
		struct http_req *req = wait->req;

		http_req_set_callbacks(req, NULL, NULL, NULL);
		stand_wait_free(wait);
		http_req_stream_abort(req);
	}
}

void stand_set_mode(struct stand *stand, enum stand_store_mode mode)
{
	if (stand->mode == STAND_STORE_SILENT || mode == STAND_STORE_RESET)
		stand_break_waits(stand);
	stand->mode = mode;
}

void stand_lose_pages(struct stand *stand, uint32_t count)
{
	stand->lose_pages = count;
}

void stand_set_delay(struct stand *stand, uint32_t delay_ms)
{
	stand->delay_ms = delay_ms;
}

void stand_compact(struct stand *stand)
{
	stand->oldest = ++stand->version;
	stand_break_waits(stand);
}

/* helpers: the store */

static json_t *stand_row_json(const struct stand_row *row)
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

static void stand_reply(struct http_req *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

static gint stand_by_key(gconstpointer a, gconstpointer b)
{
	const struct stand_row *const *one = a;
	const struct stand_row *const *other = b;

	return strcmp((*one)->key, (*other)->key);
}

/* Returns the key after which a page begins, or NULL. The range starts at a key followed by a
 * zero byte, which no string holds. */
static char *stand_page_after(const struct http_req *req)
{
	const char *from = strstr(http_req_query(req), "&from=");
	const char *end = from ? strstr(from, "%00") : NULL;

	return end ? g_uri_unescape_segment(from + strlen("&from="), end, NULL) : NULL;
}

/* Appends the rows of a page. @return whether there are more */
static bool stand_append_page(struct http_req *req, GPtrArray *found, json_t *rows)
{
	g_autofree char *after = stand_page_after(req);
	g_autofree char *limit_text = http_req_query_param(req, "limit");
	uint64_t limit = limit_text ? strtoull(limit_text, NULL, 10) : STAND_PAGE_ROWS;

	g_ptr_array_sort(found, stand_by_key);
	for (guint i = 0; i < found->len; i++) {
		const struct stand_row *row = found->pdata[i];

		if (after && strcmp(row->key, after) <= 0)
			continue;
		if (json_array_size(rows) >= MIN(limit, STAND_PAGE_ROWS))
			return true;
		json_array_append_new(rows, stand_row_json(row));
	}
	return false;
}

static void stand_answer_rows(struct stand *stand, struct http_req *req, const char *table,
			      uint64_t since, bool feed)
{
	json_t *rows = json_array();
	g_autoptr(GPtrArray) found = g_ptr_array_new();
	bool more = false;

	for (guint i = 0; i < stand->rows->len; i++) {
		struct stand_row *row = stand->rows->pdata[i];

		if (strcmp(row->table, table) != 0 || (feed && row->version <= since) ||
		    (!feed && !row->text))
			continue;
		if (feed)
			json_array_append_new(rows, stand_row_json(row));
		else
			g_ptr_array_add(found, row);
	}
	if (!feed)
		more = stand_append_page(req, found, rows);
	stand->calls++;
	stand_reply(req, 200,
		    json_pack("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", more, "row_version",
			      (json_int_t)stand->version, "now_ms",
			      (json_int_t)uv_now(stand->loop)));
}

static bool stand_changed(const struct stand *stand, const char *table, uint64_t since)
{
	for (guint i = 0; i < stand->rows->len; i++) {
		const struct stand_row *row = stand->rows->pdata[i];

		if (strcmp(row->table, table) == 0 && row->version > since)
			return true;
	}
	return false;
}

static void stand_wait_on_gone(void *ctx)
{
	stand_wait_free(ctx);
}

static void stand_wait_on_timer(uv_timer_t *timer)
{
	struct stand_wait *wait = timer->data;
	struct stand *stand = wait->stand;
	struct http_req *req = wait->req;

	if (stand->mode == STAND_STORE_SILENT)
		return;
	http_req_set_callbacks(req, NULL, NULL, NULL);
	stand_answer_rows(stand, req, wait->table, wait->since, wait->feed);
	stand_wait_free(wait);
}

static void stand_wait(struct stand *stand, struct http_req *req, const char *table, uint64_t since,
		       bool feed, uint64_t wait_ms)
{
	struct stand_wait *wait = g_new0(struct stand_wait, 1);

	wait->stand = stand;
	wait->req = req;
	wait->table = g_strdup(table);
	wait->since = since;
	wait->feed = feed;
	uv_timer_init(stand->loop, &wait->timer);
	wait->timer.data = wait;
	if (stand->mode != STAND_STORE_SILENT)
		uv_timer_start(&wait->timer, stand_wait_on_timer, wait_ms, 0);
	g_ptr_array_add(stand->waits, wait);
	http_req_set_callbacks(req, stand_wait_on_gone, NULL, wait);
}

static void stand_on_write(struct stand *stand, struct http_req *req)
{
	size_t len;
	const char *body = http_req_body(req, &len);
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(root, "writes"), i, row)
	{
		gsize size;
		g_autofree guchar *value =
			g_base64_decode(json_string_value(json_object_get(row, "value")), &size);
		g_autofree char *text = g_strndup((const char *)value, size);

		stand_put(stand, json_string_value(json_object_get(row, "table")),
			  json_string_value(json_object_get(row, "key")), text);
	}
	json_array_foreach(json_object_get(root, "remove"), i, row)
	{
		stand_put(stand, json_string_value(json_object_get(row, "table")),
			  json_string_value(json_object_get(row, "key")), NULL);
	}
	json_decref(root);
	stand->calls++;
	stand_reply(req, 200, json_pack("{s:I}", "row_version", (json_int_t)stand->version));
}

/* Counts the reads of the instance list. @return whether this one gets no answer */
static bool stand_loses_page(struct stand *stand, const struct http_req *req)
{
	g_autofree char *after = stand_page_after(req);

	if (!after) {
		stand->list_reads++;
		return false;
	}
	if (stand->lose_pages == 0)
		return false;
	stand->lose_pages--;
	return true;
}

static void stand_on_request(void *ctx, struct http_req *req)
{
	struct stand *stand = ctx;
	g_autofree char *table = http_req_query_param(req, "table");
	g_autofree char *since_text = http_req_query_param(req, "since_rev");
	g_autofree char *wait_text = http_req_query_param(req, "wait_ms");
	uint64_t since = since_text ? strtoull(since_text, NULL, 10) : 0;
	uint64_t wait_ms = wait_text ? strtoull(wait_text, NULL, 10) : 0;
	bool feed = strcmp(http_req_path(req), "/rows-feed") == 0;

	if (stand->mode == STAND_STORE_RESET) {
		http_req_stream_abort(req);
	} else if (stand->mode == STAND_STORE_BUSY) {
		http_req_reply(req, 503, NULL, "", 0);
	} else if (strcmp(http_req_path(req), "/rows-tx") == 0) {
		stand_on_write(stand, req);
	} else if (!table) {
		http_req_reply(req, 400, NULL, "", 0);
	} else if (feed && since < stand->oldest) {
		http_req_reply(req, 410, NULL, "", 0);
	} else if (!feed && strcmp(table, "servers") == 0 && stand_loses_page(stand, req)) {
		stand_wait(stand, req, table, since, feed, STAND_LOST_MS);
	} else if (stand->mode == STAND_STORE_SILENT || stand->delay_ms) {
		stand_wait(stand, req, table, since, feed, stand->delay_ms);
	} else if (!feed || stand_changed(stand, table, since)) {
		stand_answer_rows(stand, req, table, since, feed);
	} else {
		stand_wait(stand, req, table, since, feed, wait_ms);
	}
}

/* commands: replicas */

void stand_up_list(struct stand_up *up)
{
	json_t *root =
		json_pack("{s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:I}", "service", up->service,
			  "address", up->listed, "zone", up->zone, "slots", 8, "state",
			  up->leaving_ms ? "draining" : "ready", "cold_left_ms", 0, "seq_no",
			  (json_int_t)up->stand->version, "born", (json_int_t)up->started_ms);
	char *text = json_dumps(root, JSON_COMPACT);

	stand_put(up->stand, "servers", up->id, text);
	free(text);
	json_decref(root);
}

struct stand_up *stand_up_create(struct stand *stand, const struct stand_up_conf *conf)
{
	struct stand_up *up = g_new0(struct stand_up, 1);
	struct http_server_conf server = { .address = conf->address,
					   .port = conf->port,
					   .max_body_bytes = STAND_MAX_BODY };

	up->stand = stand;
	up->conf = *conf;
	up->id = g_strdup(conf->id);
	up->service = g_strdup(conf->service);
	up->zone = g_strdup(conf->zone);
	up->works = g_ptr_array_new();
	up->started_ms = (uint64_t)g_get_real_time() / 1000;
	up->srv = http_server_create(stand->loop, &server, stand_up_on_request, up, NULL);
	g_assert_nonnull(up->srv);
	up->address = g_strdup_printf("%s:%u", conf->address, http_server_port(up->srv));
	up->listed = g_strdup(up->address);
	g_ptr_array_add(stand->ups, up);
	return up;
}

void stand_up_set(struct stand_up *up, const struct stand_up_conf *conf)
{
	up->conf = *conf;
}

void stand_up_via(struct stand_up *up, const char *address)
{
	g_free(up->listed);
	up->listed = g_strdup(address);
}

void stand_up_crash(struct stand_up *up)
{
	while (up->works->len) {
		struct stand_work *work = up->works->pdata[0];

		stand_work_free(work);
	}
	http_server_destroy(up->srv);
	up->srv = NULL;
}

void stand_up_drain(struct stand_up *up)
{
	up->leaving_ms = uv_now(up->stand->loop);
	stand_up_list(up);
}

void stand_up_expire(struct stand_up *up)
{
	if (up->leaving_ms == 0)
		up->leaving_ms = uv_now(up->stand->loop);
	stand_put(up->stand, "servers", up->id, NULL);
}

/* helpers: replicas */

char *stand_event(const char *id, uint32_t number, uint32_t total)
{
	return g_strdup_printf("id: %u\ndata: %s %u%s\n\n", number, id, number,
			       number == total ? " end" : "");
}

static bool stand_chance(const struct stand_up *up, uint32_t percent)
{
	return percent && (uint32_t)g_rand_int_range(up->stand->rand, 0, 100) < percent;
}

static struct stand_run *stand_run_of(struct stand *stand, const char *id)
{
	struct stand_run *run = g_hash_table_lookup(stand->runs, id);

	if (!run) {
		run = g_new0(struct stand_run, 1);
		g_hash_table_insert(stand->runs, g_strdup(id), run);
	}
	return run;
}

static void stand_work_on_gone(void *ctx)
{
	struct stand_work *work = ctx;

	work->req = NULL;
	stand_work_free(work);
}

static void stand_sign(struct http_req *req, const char *id)
{
	http_req_add_response_header(req, "X-Flamingolatch-Attempt-Id", id);
	http_req_add_response_header(req, "X-Flamingolatch-Replica-Signature", "stand");
}

/* Sends one event of a stream; the last one ends it. */
static void stand_work_event(struct stand_work *work)
{
	struct stand_up *up = work->up;
	g_autofree char *event = stand_event(work->id, work->next, work->total);
	struct http_req *req = work->req;

	if (!work->begun) {
		work->begun = true;
		stand_sign(req, work->id);
		http_req_stream_begin(req, 200, "text/event-stream");
	}
	if (work->cut && work->next > work->total / 2) {
		stand_work_free(work);
		http_req_stream_write(req, event, strlen(event) / 2);
		http_req_stream_abort(req);
		return;
	}
	http_req_stream_write(req, event, strlen(event));
	if (work->next++ < work->total) {
		uv_timer_start(&work->timer, work->timer.timer_cb, up->conf.pace_ms, 0);
		return;
	}
	stand_run_of(up->stand, work->id)->done = true;
	stand_work_free(work);
	http_req_stream_end(req);
}

static void stand_work_on_timer(uv_timer_t *timer)
{
	struct stand_work *work = timer->data;
	struct stand_up *up = work->up;
	struct http_req *req = work->req;
	g_autofree char *body = NULL;
	bool fail;

	if (work->total) {
		stand_work_event(work);
		return;
	}
	body = g_strdup_printf("%s %s", work->id, http_req_target(req));
	if (stand_chance(up, up->conf.lose_percent)) {
		stand_work_free(work);
		http_req_stream_abort(req);
		return;
	}
	fail = stand_chance(up, up->conf.fail_percent);
	stand_run_of(up->stand, work->id)->done |= !fail;
	stand_sign(req, stand_chance(up, up->conf.foreign_percent) ? "another" : work->id);
	stand_work_free(work);
	http_req_reply(req, fail ? 500 : 200, "text/plain", body, strlen(body));
}

/* Refuses a request with a statement that it was not run. */
static void stand_refuse(struct http_req *req, const char *id, uint16_t status)
{
	http_req_add_response_header(req, "X-Flamingolatch-Attempt-Id", id);
	http_req_add_response_header(req, "X-Flamingolatch-Not-Executed", "1");
	http_req_reply(req, status, NULL, "", 0);
}

/* Copies a run; with "last" it stops here. */
static void stand_up_on_move(struct stand_up *up, struct http_req *req)
{
	size_t len;
	const char *text = http_req_body(req, &len);
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "id"));
	bool last = json_is_true(json_object_get(root, "last"));

	for (guint i = 0; id && i < up->works->len; i++) {
		struct stand_work *work = up->works->pdata[i];
		struct http_req *caller = work->req;

		if (strcmp(work->id, id) != 0 || work->total == 0)
			continue;
		if (!work->handle || !g_hash_table_contains(up->stand->copies, work->handle)) {
			g_free(work->handle);
			work->handle = g_strdup_printf("h%u", ++up->stand->handles);
		}
		g_hash_table_insert(up->stand->copies, g_strdup(work->handle),
				    GUINT_TO_POINTER(work->next));
		stand_reply(req, 200,
			    json_pack("{s:s, s:i}", "kv_handle", work->handle, "created",
				      (int)work->next - 1));
		if (last) {
			stand_work_free(work);
			http_req_stream_abort(caller);
		}
		json_decref(root);
		return;
	}
	json_decref(root);
	http_req_reply(req, 404, NULL, "", 0);
}

/* Returns the number of the first event to send; 0 when a copy is asked for that is not there. */
static uint32_t stand_first_event(const struct stand *stand, struct http_req *req)
{
	const char *from = http_req_header(req, "kv-from");
	const char *after = http_req_header(req, "last-event-id");
	const char *handle = from ? strchr(from, '/') : NULL;
	uint32_t first = after ? (uint32_t)strtoul(after, NULL, 10) + 1 : 1;

	if (!from)
		return first;
	if (!handle || !g_hash_table_remove(stand->copies, handle + 1))
		return 0;
	return first;
}

static void stand_up_work(struct stand_up *up, struct http_req *req, const char *id, uint32_t first)
{
	struct stand_work *work = g_new0(struct stand_work, 1);
	const char *tokens = http_req_header(req, "x-flamingolatch-token-usage");
	const char *most = tokens ? strchr(tokens, ',') : NULL;

	work->up = up;
	work->req = req;
	work->id = g_strdup(id);
	work->next = first;
	work->total = up->conf.engine && most
			      ? (uint32_t)MAX(strtoul(most + 1, NULL, 10) / STAND_STRIDE, 1)
			      : 0;
	work->cut = stand_chance(up, up->conf.cut_percent);
	uv_timer_init(up->stand->loop, &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, stand_work_on_timer, up->conf.work_ms, 0);
	g_ptr_array_add(up->works, work);
	http_req_set_callbacks(req, stand_work_on_gone, NULL, work);
}

static void stand_note_arrival(struct stand_up *up, struct http_req *req, struct stand_run *run)
{
	uint64_t now_ms = uv_now(up->stand->loop);

	run->arrivals++;
	run->arrived_ms = now_ms;
	run->leaving_ms = up->leaving_ms ? now_ms - up->leaving_ms : 0;
	run->key_passed |= http_req_header(req, "authorization") != NULL;
	g_free(run->customer);
	run->customer = g_strdup(http_req_header(req, "x-flamingolatch-tenant"));
}

static void stand_up_on_request(void *ctx, struct http_req *req)
{
	struct stand_up *up = ctx;
	const char *id = http_req_header(req, "x-flamingolatch-attempt-id");
	const char *expected = http_req_header(req, "x-flamingolatch-expect-replica");
	struct stand_run *run;
	uint32_t first;

	if (strcmp(http_req_path(req), "/kv-move") == 0) {
		stand_up_on_move(up, req);
		return;
	}
	if (g_str_has_prefix(http_req_path(req), STAND_COPY_PATH)) {
		g_hash_table_remove(up->stand->copies,
				    http_req_path(req) + strlen(STAND_COPY_PATH));
		http_req_reply(req, 200, NULL, "", 0);
		return;
	}
	if (!id) {
		http_req_reply(req, 400, NULL, "", 0);
		return;
	}
	if (expected && strcmp(expected, up->id) != 0) {
		stand_refuse(req, id, 421);
		return;
	}
	run = stand_run_of(up->stand, id);
	stand_note_arrival(up, req, run);
	first = stand_first_event(up->stand, req);
	if (first == 0 || stand_chance(up, up->conf.shed_percent)) {
		run->refused++;
		stand_refuse(req, id, 503);
		return;
	}
	if (!http_req_header(req, "kv-from"))
		run->runs++;
	g_free(run->service);
	run->service = g_strdup(up->service);
	stand_up_work(up, req, id, first);
}

/* queries */

const char *stand_address(const struct stand *stand)
{
	return stand->address;
}

uint32_t stand_copies(const struct stand *stand)
{
	return g_hash_table_size(stand->copies);
}

uint32_t stand_list_reads(const struct stand *stand)
{
	return stand->list_reads;
}

uint32_t stand_calls(const struct stand *stand)
{
	return stand->calls;
}

const char *stand_up_address(const struct stand_up *up)
{
	return up->address;
}

uint32_t stand_up_open(const struct stand_up *up)
{
	return up->works->len;
}

struct stand_run stand_run(const struct stand *stand, const char *id)
{
	const struct stand_run *run = g_hash_table_lookup(stand->runs, id);

	return run ? *run : (struct stand_run){ 0 };
}

void stand_each_run(const struct stand *stand,
		    void (*each)(void *ctx, const char *id, const struct stand_run *run), void *ctx)
{
	GHashTableIter iter;
	const char *id;
	const struct stand_run *run;

	g_hash_table_iter_init(&iter, stand->runs);
	while (g_hash_table_iter_next(&iter, (gpointer *)&id, (gpointer *)&run))
		each(ctx, id, run);
}
