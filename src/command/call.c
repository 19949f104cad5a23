#include "../entry/entry_internal.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/once.h"

#include <stdio.h>
#include <string.h>

#define CALL_ANSWER_MAX		(256U * 1024) /* bound of a recorded answer */
#define CALL_IDEMPOTENT_MAX	(8U << 20)
#define CALL_KEY_MAX		255
#define CALL_CLAIM_DEADLINE_US	(3ULL * 1000 * 1000)
#define CALL_SEND_WINDOW_US	(5ULL * 1000 * 1000)
#define CALL_SETTLE_DEADLINE_US (600ULL * 1000 * 1000)

/* One plain-service call. */
struct callreq {
	struct entry *entry;
	struct entry_service *service;
	struct http_req *req; /* NULL once answered or left */
	struct once *once;    /* NULL for idempotent calls */
	struct fetch *fetch;
	struct upstream *up;
	GHashTable *tried;
	char *method;
	char *path;
	char *headers;
	char *body;
	size_t body_len;
	char *key; /* caller's idempotency key */
	char *limit_key;
	uint64_t timeout_ms;
	uint64_t retry_percent;
	enum profile_spill spill;
	uint64_t arrived_us;
	uv_timer_t timer;
};

static void callreq_commit(void *ctx, const struct table_write *write);
static void callreq_read(void *ctx, const char *key);
static void callreq_send(void *ctx);
static void callreq_wait(void *ctx, uint64_t delay_us);
static void callreq_answer(void *ctx, enum err_kind kind, const struct once_answer *answer);
static void callreq_finished(void *ctx, bool certain);

static const struct once_ops callreq_once_ops = {
	callreq_commit, callreq_read, callreq_send, callreq_wait, callreq_answer, callreq_finished
};

/* lifetime */

static void callreq_on_closed(uv_handle_t *handle)
{
	struct callreq *cr = handle->data;

	once_destroy(cr->once);
	g_hash_table_destroy(cr->tried);
	g_free(cr->method);
	g_free(cr->path);
	g_free(cr->headers);
	g_free(cr->body);
	g_free(cr->key);
	g_free(cr->limit_key);
	g_free(cr);
}

static void callreq_end(struct callreq *cr)
{
	cr->entry->background--;
	limiter_release(cr->entry->limiter, cr->limit_key);
	uv_close((uv_handle_t *)&cr->timer, callreq_on_closed);
}

static void callreq_on_gone(void *ctx)
{
	struct callreq *cr = ctx;

	cr->req = NULL;
}

/* helpers */

static void callreq_leave(struct callreq *cr)
{
	if (cr->up)
		upstream_end_request(cr->up, NULL);
	cr->up = NULL;
}

static void callreq_reply(struct callreq *cr, const struct once_answer *answer)
{
	struct entry *entry = cr->entry;

	metric_add(entry->metric, answer->replayed ? METRIC_CALL_ANSWERS_REPLAYED : METRIC_CALLS,
		   1);
	metric_observe(entry->metric, METRIC_CALL_US, entry_now_us() - cr->arrived_us);
	if (!cr->req)
		return;
	http_req_set_callbacks(cr->req, NULL, NULL, NULL);
	if (cr->key)
		http_req_add_response_header(cr->req, "idempotency-key", cr->key);
	if (answer->replayed)
		http_req_add_response_header(cr->req, "idempotency-replayed", "true");
	http_req_reply(cr->req, answer->status, answer->type, answer->body, answer->body_len);
	cr->req = NULL;
}

static void callreq_reply_error(struct callreq *cr, enum err_kind kind)
{
	if (!cr->req)
		return;
	http_req_set_callbacks(cr->req, NULL, NULL, NULL);
	if (cr->key)
		http_req_add_response_header(cr->req, "idempotency-key", cr->key);
	answer_error(cr->entry, cr->req, kind, NULL);
	cr->req = NULL;
}

static struct upstream *callreq_pick(struct callreq *cr)
{
	return pool_select_plain(cr->entry->pool, cr->service->set->upstream,
				 entry_spill(cr->entry, cr->spill), cr->tried, entry_now_us());
}

static void callreq_fetch(struct callreq *cr, struct upstream *up, size_t max_bytes,
			  bool (*may_send)(void *ctx), fetch_cb cb)
{
	struct http_call_request req = {
		.address = upstream_address(up),
		.method = cr->method,
		.path = cr->path,
		.headers = cr->headers,
		.body = cr->body,
		.body_len = cr->body_len,
		.timeout_ms = cr->timeout_ms,
		/* A pooled connection may be closed under a call that must not
		 * be repeated, which would leave its outcome unknown. */
		.new_connection = cr->once != NULL
	};

	cr->up = up;
	upstream_begin_request(up, NULL);
	g_hash_table_add(cr->tried, g_strdup(upstream_id(up)));
	cr->fetch = fetch_start(cr->entry->cli, &req, max_bytes, may_send, cb, cr);
}

static void callreq_note_result(struct callreq *cr, const struct fetch_response *answer)
{
	entry_relayed(cr->entry, cr->up, answer->body_len + cr->body_len);
	if (answer->result == HTTP_CALL_OK)
		upstream_record_success(cr->up);
	else
		upstream_record_failure(cr->up, entry_now_us(), g_random_int());
	callreq_leave(cr);
	cr->fetch = NULL;
}

/* idempotent calls: sent again to others within the retry budget */

static void callreq_try(struct callreq *cr, enum err_kind otherwise);

static void callreq_on_idempotent(void *ctx, const struct fetch_response *answer)
{
	struct callreq *cr = ctx;
	struct once_answer reply = { answer->status, answer->type, answer->body, answer->body_len,
				     false };

	callreq_note_result(cr, answer);
	if (answer->result == HTTP_CALL_OK && answer->status < 500) {
		retry_bucket_credit(&cr->service->retry, cr->retry_percent);
		callreq_reply(cr, &reply);
		callreq_end(cr);
	} else if (callreq_pick(cr) && retry_bucket_take(&cr->service->retry)) {
		metric_add(cr->entry->metric, METRIC_RETRIES, 1);
		callreq_try(cr, answer->sent ? ERR_IO : ERR_NO_UPSTREAM);
	} else if (answer->result == HTTP_CALL_OK) {
		/* Nobody else to ask: the service's own failure is the answer. */
		callreq_reply(cr, &reply);
		callreq_end(cr);
	} else {
		callreq_reply_error(cr, answer->sent ? ERR_IO : ERR_NO_UPSTREAM);
		callreq_end(cr);
	}
}

static void callreq_try(struct callreq *cr, enum err_kind otherwise)
{
	struct upstream *up = callreq_pick(cr);

	if (up) {
		callreq_fetch(cr, up, CALL_IDEMPOTENT_MAX, NULL, callreq_on_idempotent);
		return;
	}
	callreq_reply_error(cr, otherwise);
	callreq_end(cr);
}

/* non-idempotent calls: what once asks for */

static void callreq_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			      uint32_t count)
{
	struct callreq *cr = arg;

	once_on_commit(cr->once, entry_now_us(), entry_wall_ms(), result, count ? rows : NULL);
}

static void callreq_commit(void *ctx, const struct table_write *write)
{
	struct callreq *cr = ctx;

	cr->entry->table->ops->commit(cr->entry->table->ctx, write, 1, callreq_on_commit, cr);
}

static void callreq_on_read(void *arg, enum table_result result, const struct table_row *rows,
			    uint32_t count)
{
	struct callreq *cr = arg;

	once_on_read(cr->once, entry_now_us(), entry_wall_ms(), result, count ? rows : NULL);
}

static void callreq_read(void *ctx, const char *key)
{
	struct callreq *cr = ctx;

	cr->entry->table->ops->read_prefix(cr->entry->table->ctx, key, callreq_on_read, cr);
}

static bool callreq_may_send(void *ctx)
{
	struct callreq *cr = ctx;

	return once_may_send(cr->once, entry_now_us());
}

static void callreq_on_once(void *ctx, const struct fetch_response *answer)
{
	struct callreq *cr = ctx;
	struct once_answer reply = { answer->status, answer->type, answer->body, answer->body_len,
				     false };

	callreq_note_result(cr, answer);
	if (answer->result == HTTP_CALL_OK) {
		once_on_answer(cr->once, entry_now_us(), &reply);
	} else if (!answer->sent) {
		once_on_not_sent(cr->once, entry_now_us(), callreq_pick(cr) != NULL);
	} else {
		metric_add(cr->entry->metric, METRIC_CALLS_UNKNOWN, 1);
		log_event(LOG_CALL_OUTCOME_UNKNOWN, "service", cr->service->set->name, "key",
			  cr->key, NULL);
		once_on_answer_lost(cr->once, entry_now_us());
	}
}

static void callreq_on_nobody(uv_timer_t *timer)
{
	struct callreq *cr = timer->data;

	once_on_not_sent(cr->once, entry_now_us(), false);
}

static void callreq_send(void *ctx)
{
	struct callreq *cr = ctx;
	struct upstream *up = callreq_pick(cr);

	if (up)
		callreq_fetch(cr, up, CALL_ANSWER_MAX, callreq_may_send, callreq_on_once);
	else
		uv_timer_start(&cr->timer, callreq_on_nobody, 0, 0);
}

static void callreq_on_timer(uv_timer_t *timer)
{
	struct callreq *cr = timer->data;

	once_on_timer(cr->once, entry_now_us(), entry_wall_ms());
}

static void callreq_wait(void *ctx, uint64_t delay_us)
{
	struct callreq *cr = ctx;

	uv_timer_start(&cr->timer, callreq_on_timer, delay_us / 1000 + 1, 0);
}

static void callreq_answer(void *ctx, enum err_kind kind, const struct once_answer *answer)
{
	struct callreq *cr = ctx;

	if (kind == ERR_OK) {
		callreq_reply(cr, answer);
		return;
	}
	if (err_info(kind)->execution == ERR_EXECUTION_NOT_RUN && kind != ERR_KEY_REUSED)
		log_event(LOG_CALL_CLAIM_RELEASED, "service", cr->service->set->name, "key",
			  cr->key, "reason", err_info(kind)->name, NULL);
	callreq_reply_error(cr, kind);
}

static void callreq_finished(void *ctx, bool certain)
{
	struct callreq *cr = ctx;

	if (!certain)
		log_event(LOG_CALL_OUTCOME_NOT_STORED, "service", cr->service->set->name, "key",
			  cr->key, NULL);
	callreq_end(cr);
}

/* commands */

static char *call_headers(struct http_req *req, const char *key, const char *customer)
{
	static const char *const passed[] = { "content-type", "accept", "x-request-id", NULL };
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; passed[i]; i++) {
		const char *value = http_req_header(req, passed[i]);

		if (value)
			g_string_append_printf(out, "%s: %s\r\n", passed[i], value);
	}
	g_string_append_printf(out, "x-customer: %s\r\n", customer);
	if (key)
		g_string_append_printf(out, "idempotency-key: %s\r\n", key);
	return g_string_free(out, FALSE);
}

static void call_claim(struct callreq *cr, const char *customer)
{
	g_autofree char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, cr->key, -1);
	g_autofree char *row =
		g_strdup_printf("once/%s/%s/%s", customer, cr->service->set->name, digest);
	g_autofree char *token = g_uuid_string_random();
	g_autofree char *fingerprint = NULL;
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	struct once_conf conf = { .key = row,
				  .token = token,
				  .claim_timeout_us = CALL_CLAIM_DEADLINE_US,
				  .send_window_us = CALL_SEND_WINDOW_US,
				  .call_timeout_us = cr->timeout_ms * 1000,
				  .record_timeout_us = CALL_SETTLE_DEADLINE_US };

	g_checksum_update(sum, (const guchar *)cr->method, (gssize)strlen(cr->method) + 1);
	g_checksum_update(sum, (const guchar *)cr->path, (gssize)strlen(cr->path) + 1);
	g_checksum_update(sum, (const guchar *)cr->body, (gssize)cr->body_len);
	fingerprint = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	conf.fingerprint = fingerprint;
	cr->once = once_create(&conf, &callreq_once_ops, cr);
	once_start(cr->once, entry_now_us(), entry_wall_ms());
}

/* Splits "/s/<service>/<rest>". */
static struct entry_service *call_service(struct entry *entry, const char *path, const char **rest)
{
	const char *name = path + strlen("/s/");
	const char *slash = strchr(name, '/');
	g_autofree char *text = slash ? g_strndup(name, (gsize)(slash - name)) : g_strdup(name);
	struct entry_service *service = entry_service(entry, text);

	*rest = slash ? slash : "/";
	return service && service->set->kind == SETTINGS_SERVICE_PLAIN ? service : NULL;
}

static struct callreq *call_create(struct entry *entry, struct http_req *req,
				   struct entry_service *service, const struct profile *prof,
				   const char *rest)
{
	struct callreq *cr = g_new0(struct callreq, 1);
	const char *query = http_req_query(req);
	const char *body = http_req_body(req, &cr->body_len);

	cr->entry = entry;
	cr->req = req;
	cr->service = service;
	cr->method = g_strdup(http_req_method(req));
	cr->path = *query ? g_strconcat(rest, "?", query, NULL) : g_strdup(rest);
	cr->body = g_memdup2(body, cr->body_len + 1);
	cr->timeout_ms = prof->call_timeout_ms;
	cr->retry_percent = prof->retry_percent;
	cr->spill = (enum profile_spill)prof->spill;
	cr->arrived_us = entry_now_us();
	cr->tried = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uv_timer_init(entry->loop, &cr->timer);
	cr->timer.data = cr;
	entry->background++;
	http_req_set_callbacks(req, callreq_on_gone, NULL, cr);
	return cr;
}

void call_start(struct entry *entry, struct http_req *req, const struct settings_customer *customer)
{
	const char *rest;
	struct entry_service *service = call_service(entry, http_req_path(req), &rest);
	const struct profile *prof =
		service ? profile_config_find(entry->profile_config, service->set->profile) : NULL;
	const char *key = http_req_header(req, "idempotency-key");
	g_autofree char *limit_key = NULL;
	struct limiter_limits rule;
	struct callreq *cr;

	if (!prof) {
		answer_error(entry, req, service ? ERR_NO_PROFILE : ERR_UNKNOWN_SERVICE, NULL);
		return;
	}
	if (key && (!*key || strlen(key) > CALL_KEY_MAX)) {
		answer_error(entry, req, ERR_BAD_REQUEST,
			     "the header Idempotency-Key must have 1 to 255 characters");
		return;
	}
	limit_key = g_strjoin("/", customer->name, prof->name, NULL);
	rule = (struct limiter_limits){ prof->customer_rate_per_s, prof->customer_burst,
					prof->customer_streams };
	if (!limiter_acquire(entry->limiter, limit_key, &rule,
			     membership_live_count(entry->membership), entry_now_us())) {
		answer_error(entry, req, ERR_RATE_LIMITED, NULL);
		return;
	}
	cr = call_create(entry, req, service, prof, rest);
	cr->limit_key = g_steal_pointer(&limit_key);
	if (profile_method_is_idempotent(prof, cr->method)) {
		cr->headers = call_headers(req, NULL, customer->name);
		callreq_try(cr, ERR_NO_UPSTREAM);
		return;
	}
	cr->key = key ? g_strdup(key) : g_uuid_string_random();
	cr->headers = call_headers(req, cr->key, customer->name);
	call_claim(cr, customer->name);
}
