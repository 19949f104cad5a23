#include "../entry/entry_internal.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/once.h"

#include <stdio.h>
#include <string.h>

#define CALL_RECORDED_ANSWER_MAX_BYTES	 (256U * 1024) /* recorded in one row of the store */
#define CALL_IDEMPOTENT_ANSWER_MAX_BYTES (8U << 20)
#define CALL_KEY_MAX_BYTES		 255
#define CALL_CLAIM_TIMEOUT_US		 (3ULL * 1000 * 1000)
#define CALL_SEND_WINDOW_US		 (5ULL * 1000 * 1000) /* includes the time for the claim */
#define CALL_RECORD_TIMEOUT_US		 (600ULL * 1000 * 1000)

/*
 * A caller's request to a plain service. A request with an idempotent method is
 * retried on other upstreams within the retry budget. Any other request is
 * claimed in the store first, so that it runs at most once (see once.h).
 */
struct callreq {
	struct entry *entry;
	struct entry_service *service;
	struct http_req *req; /* NULL once it was answered or the caller disconnected */
	struct once *once;    /* NULL for idempotent methods */
	struct fetch *fetch;
	struct upstream *up;   /* of the current attempt, or NULL */
	GHashTable *tried_ids; /* set of ids of the upstreams of all attempts */
	char *method;
	char *path;
	char *headers;
	char *body;
	size_t body_len;
	char *key;	 /* idempotency key, generated if the caller sent none */
	char *limit_key; /* key of the customer's limits */
	uint64_t timeout_ms;
	uint64_t retry_percent;
	enum profile_spill spill;
	uint64_t received_us;
	uv_timer_t timer; /* runs once_on_timer() or callreq_on_no_upstream() */
};

static void callreq_commit(void *ctx, const struct table_write *write);
static void callreq_read(void *ctx, const char *key);
static void callreq_send(void *ctx);
static void callreq_start_timer(void *ctx, uint64_t delay_us);
static void callreq_answer(void *ctx, enum err_kind kind, const struct once_answer *answer);
static void callreq_on_finished(void *ctx, bool row_up_to_date);

static const struct once_ops callreq_once_ops = { callreq_commit, callreq_read,
						  callreq_send,	  callreq_start_timer,
						  callreq_answer, callreq_on_finished };

/* lifetime */

static void callreq_on_closed(uv_handle_t *handle)
{
	struct callreq *cr = handle->data;

	once_destroy(cr->once);
	g_hash_table_destroy(cr->tried_ids);
	g_free(cr->method);
	g_free(cr->path);
	g_free(cr->headers);
	g_free(cr->body);
	g_free(cr->key);
	g_free(cr->limit_key);
	g_free(cr);
}

static void callreq_destroy(struct callreq *cr)
{
	cr->entry->background_count--;
	limiter_release(cr->entry->customer_limits, cr->limit_key);
	uv_close((uv_handle_t *)&cr->timer, callreq_on_closed);
}

static void callreq_on_disconnect(void *ctx)
{
	struct callreq *cr = ctx;

	cr->req = NULL;
}

/* helpers */

static void callreq_release_upstream(struct callreq *cr)
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
	metric_observe(entry->metric, METRIC_CALL_US, entry_now_us() - cr->received_us);
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

static struct upstream *callreq_select_upstream(struct callreq *cr)
{
	return pool_select_plain(cr->entry->pool, cr->service->settings->upstream,
				 entry_allowed_spill(cr->entry, cr->spill), cr->tried_ids,
				 entry_now_us());
}

static void callreq_start_attempt(struct callreq *cr, struct upstream *up, size_t max_answer_bytes,
				  bool (*may_send)(void *ctx), fetch_cb cb)
{
	struct http_call_request req = { .address = upstream_address(up),
					 .method = cr->method,
					 .path = cr->path,
					 .headers = cr->headers,
					 .body = cr->body,
					 .body_len = cr->body_len,
					 .timeout_ms = cr->timeout_ms,
					 /* The upstream may close a pooled connection just as the
					  * request is sent. A non-idempotent request cannot be
					  * retried then, so its outcome would be unknown. */
					 .new_connection = cr->once != NULL };

	cr->up = up;
	upstream_begin_request(up, NULL);
	g_hash_table_add(cr->tried_ids, g_strdup(upstream_id(up)));
	cr->fetch = fetch_start(cr->entry->client, &req, max_answer_bytes, may_send, cb, cr);
}

static void callreq_record_result(struct callreq *cr, const struct fetch_response *answer)
{
	entry_count_relayed_bytes(cr->entry, cr->up, answer->body_len + cr->body_len);
	if (answer->result == HTTP_CALL_OK)
		upstream_record_success(cr->up);
	else
		upstream_record_failure(cr->up, entry_now_us(), g_random_int());
	callreq_release_upstream(cr);
	cr->fetch = NULL;
}

/* idempotent methods: retried on other upstreams within the retry budget */

static void callreq_attempt_idempotent(struct callreq *cr, enum err_kind no_upstream_kind);

static void callreq_on_idempotent_answer(void *ctx, const struct fetch_response *answer)
{
	struct callreq *cr = ctx;
	struct once_answer reply = { answer->status, answer->type, answer->body, answer->body_len,
				     false };

	callreq_record_result(cr, answer);
	if (answer->result == HTTP_CALL_OK && answer->status < 500) {
		retry_bucket_credit(&cr->service->retry, cr->retry_percent);
		callreq_reply(cr, &reply);
		callreq_destroy(cr);
	} else if (callreq_select_upstream(cr) && retry_bucket_take(&cr->service->retry)) {
		metric_add(cr->entry->metric, METRIC_RETRIES, 1);
		callreq_attempt_idempotent(cr, answer->sent ? ERR_IO : ERR_NO_UPSTREAM);
	} else if (answer->result == HTTP_CALL_OK) {
		/* No upstream or no retry budget is left: relay the service's 5xx response. */
		callreq_reply(cr, &reply);
		callreq_destroy(cr);
	} else {
		callreq_reply_error(cr, answer->sent ? ERR_IO : ERR_NO_UPSTREAM);
		callreq_destroy(cr);
	}
}

/* @param no_upstream_kind error for the caller if there is no upstream to select */
static void callreq_attempt_idempotent(struct callreq *cr, enum err_kind no_upstream_kind)
{
	struct upstream *up = callreq_select_upstream(cr);

	if (up) {
		callreq_start_attempt(cr, up, CALL_IDEMPOTENT_ANSWER_MAX_BYTES, NULL,
				      callreq_on_idempotent_answer);
		return;
	}
	callreq_reply_error(cr, no_upstream_kind);
	callreq_destroy(cr);
}

/* other methods: the operations that struct once starts, and their results */

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

static void callreq_on_non_idempotent_answer(void *ctx, const struct fetch_response *answer)
{
	struct callreq *cr = ctx;
	struct once_answer reply = { answer->status, answer->type, answer->body, answer->body_len,
				     false };

	callreq_record_result(cr, answer);
	if (answer->result == HTTP_CALL_OK) {
		once_on_answer(cr->once, entry_now_us(), &reply);
	} else if (!answer->sent) {
		once_on_not_sent(cr->once, entry_now_us(), callreq_select_upstream(cr) != NULL);
	} else {
		metric_add(cr->entry->metric, METRIC_CALLS_UNKNOWN, 1);
		log_event(LOG_CALL_OUTCOME_UNKNOWN, "service", cr->service->settings->name, "key",
			  cr->key, NULL);
		once_on_answer_lost(cr->once, entry_now_us());
	}
}

static void callreq_on_no_upstream(uv_timer_t *timer)
{
	struct callreq *cr = timer->data;

	once_on_not_sent(cr->once, entry_now_us(), false);
}

static void callreq_send(void *ctx)
{
	struct callreq *cr = ctx;
	struct upstream *up = callreq_select_upstream(cr);

	if (up)
		callreq_start_attempt(cr, up, CALL_RECORDED_ANSWER_MAX_BYTES, callreq_may_send,
				      callreq_on_non_idempotent_answer);
	else /* report from the event loop, not within the send operation of struct once */
		uv_timer_start(&cr->timer, callreq_on_no_upstream, 0, 0);
}

static void callreq_on_timer(uv_timer_t *timer)
{
	struct callreq *cr = timer->data;

	once_on_timer(cr->once, entry_now_us(), entry_wall_ms());
}

static void callreq_start_timer(void *ctx, uint64_t delay_us)
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
		log_event(LOG_CALL_CLAIM_RELEASED, "service", cr->service->settings->name, "key",
			  cr->key, "reason", err_info(kind)->name, NULL);
	callreq_reply_error(cr, kind);
}

static void callreq_on_finished(void *ctx, bool row_up_to_date)
{
	struct callreq *cr = ctx;

	if (!row_up_to_date)
		log_event(LOG_CALL_OUTCOME_NOT_STORED, "service", cr->service->settings->name,
			  "key", cr->key, NULL);
	callreq_destroy(cr);
}

/* commands */

static char *callreq_headers(struct http_req *req, const char *key, const char *customer)
{
	static const char *const forwarded[] = { "content-type", "accept", "x-request-id", NULL };
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; forwarded[i]; i++) {
		const char *value = http_req_header(req, forwarded[i]);

		if (value)
			g_string_append_printf(out, "%s: %s\r\n", forwarded[i], value);
	}
	g_string_append_printf(out, "x-customer: %s\r\n", customer);
	if (key)
		g_string_append_printf(out, "idempotency-key: %s\r\n", key);
	return g_string_free(out, FALSE);
}

static void callreq_claim(struct callreq *cr, const char *customer)
{
	g_autofree char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, cr->key, -1);
	g_autofree char *row_key =
		g_strdup_printf("once/%s/%s/%s", customer, cr->service->settings->name, digest);
	g_autofree char *token = g_uuid_string_random();
	g_autofree char *fingerprint = NULL;
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	struct once_conf conf = { .key = row_key,
				  .token = token,
				  .claim_timeout_us = CALL_CLAIM_TIMEOUT_US,
				  .send_window_us = CALL_SEND_WINDOW_US,
				  .call_timeout_us = cr->timeout_ms * 1000,
				  .record_timeout_us = CALL_RECORD_TIMEOUT_US };

	g_checksum_update(checksum, (const guchar *)cr->method, (gssize)strlen(cr->method) + 1);
	g_checksum_update(checksum, (const guchar *)cr->path, (gssize)strlen(cr->path) + 1);
	g_checksum_update(checksum, (const guchar *)cr->body, (gssize)cr->body_len);
	fingerprint = g_strdup(g_checksum_get_string(checksum));
	g_checksum_free(checksum);
	conf.fingerprint = fingerprint;
	cr->once = once_create(&conf, &callreq_once_ops, cr);
	once_start(cr->once, entry_now_us(), entry_wall_ms());
}

/* Splits "/s/<service>/<path>"; returns NULL if there is no plain service of that name. */
static struct entry_service *call_find_service(struct entry *entry, const char *path,
					       const char **service_path)
{
	const char *name = path + strlen("/s/");
	const char *slash = strchr(name, '/');
	g_autofree char *text = slash ? g_strndup(name, (gsize)(slash - name)) : g_strdup(name);
	struct entry_service *service = entry_find_service(entry, text);

	*service_path = slash ? slash : "/";
	return service && service->settings->kind == SETTINGS_SERVICE_PLAIN ? service : NULL;
}

static struct callreq *callreq_create(struct entry *entry, struct http_req *req,
				      struct entry_service *service, const struct profile *profile,
				      const char *service_path)
{
	struct callreq *cr = g_new0(struct callreq, 1);
	const char *query = http_req_query(req);
	const char *body = http_req_body(req, &cr->body_len);

	cr->entry = entry;
	cr->req = req;
	cr->service = service;
	cr->method = g_strdup(http_req_method(req));
	cr->path = *query ? g_strconcat(service_path, "?", query, NULL) : g_strdup(service_path);
	cr->body = g_memdup2(body, cr->body_len + 1);
	cr->timeout_ms = profile->call_timeout_ms;
	cr->retry_percent = profile->retry_percent;
	cr->spill = (enum profile_spill)profile->spill;
	cr->received_us = entry_now_us();
	cr->tried_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uv_timer_init(entry->loop, &cr->timer);
	cr->timer.data = cr;
	entry->background_count++;
	http_req_set_callbacks(req, callreq_on_disconnect, NULL, cr);
	return cr;
}

void call_start(struct entry *entry, struct http_req *req, const struct settings_customer *customer)
{
	const char *service_path;
	struct entry_service *service = call_find_service(entry, http_req_path(req), &service_path);
	const struct profile *profile =
		service ? profile_config_find(entry->profile_config, service->settings->profile)
			: NULL;
	const char *key = http_req_header(req, "idempotency-key");
	g_autofree char *limit_key = NULL;
	struct limiter_limits limits;
	struct callreq *cr;

	if (!profile) {
		answer_error(entry, req, service ? ERR_NO_PROFILE : ERR_UNKNOWN_SERVICE, NULL);
		return;
	}
	if (key && (!*key || strlen(key) > CALL_KEY_MAX_BYTES)) {
		answer_error(entry, req, ERR_BAD_REQUEST,
			     "the header Idempotency-Key must have 1 to 255 characters");
		return;
	}
	limit_key = g_strjoin("/", customer->name, profile->name, NULL);
	limits = (struct limiter_limits){ profile->customer_rate_per_s, profile->customer_burst,
					  profile->customer_streams };
	if (!limiter_acquire(entry->customer_limits, limit_key, &limits,
			     membership_live_count(entry->membership), entry_now_us())) {
		answer_error(entry, req, ERR_RATE_LIMITED, NULL);
		return;
	}
	cr = callreq_create(entry, req, service, profile, service_path);
	cr->limit_key = g_steal_pointer(&limit_key);
	if (profile_method_is_idempotent(profile, cr->method)) {
		cr->headers = callreq_headers(req, NULL, customer->name);
		callreq_attempt_idempotent(cr, ERR_NO_UPSTREAM);
		return;
	}
	cr->key = key ? g_strdup(key) : g_uuid_string_random();
	cr->headers = callreq_headers(req, cr->key, customer->name);
	callreq_claim(cr, customer->name);
}
