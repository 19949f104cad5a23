#include "genreq.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GENREQ_SSE_MAX		(64 * 1024)
#define GENREQ_BACKLOG_MAX	(256 * 1024)
#define GENREQ_REFUSAL_MAX	1024
#define GENREQ_RESTARTS_MAX	3
#define GENREQ_MAC_CHARS	16
#define GENREQ_ABANDON_MS	3000 /* a caller that left may come back so long */
#define GENREQ_PREEMPTED_FACTOR 4

static void genreq_open(void *ctx, uint64_t offset);
static void genreq_attach(void *ctx, uint64_t offset, uint64_t epoch, bool takeover);
static void genreq_disconnect(void *ctx);
static void genreq_deliver(void *ctx, uint64_t offset, const char *text, size_t len);
static void genreq_restart(void *ctx);
static void genreq_wait(void *ctx, uint64_t delay_us);
static void genreq_finish(void *ctx);
static void genreq_fail(void *ctx, enum err_kind kind);
static bool genreq_can_continue(void *ctx);
static bool genreq_on_event(void *ctx, const struct sse_event *event);
static bool genreq_on_connected(void *ctx);
static void genreq_on_head(void *ctx, const struct http_response_head *head);
static void genreq_on_data(void *ctx, const char *buf, size_t len);
static void genreq_on_end(void *ctx, enum http_call_result result, bool sent);
static void genreq_on_gone(void *ctx);
static void genreq_on_drained(void *ctx);

static const struct gen_ops genreq_gen_ops = {
	genreq_open, genreq_attach, genreq_disconnect, genreq_deliver,	    genreq_restart,
	genreq_wait, genreq_finish, genreq_fail,       genreq_can_continue,
};

static const struct http_call_ops genreq_call_ops = { .connected = genreq_on_connected,
						      .head = genreq_on_head,
						      .data = genreq_on_data,
						      .end = genreq_on_end };

/* lifetime */

struct genreq *genreq_create(struct entry *entry, struct entry_service *service,
			     const struct settings_customer *customer, const struct profile *prof,
			     bool held)
{
	struct genreq *gr = g_new0(struct genreq, 1);
	struct gen_conf conf = { .buffered = held,
				 .stall_timeout_us = prof->stall_ms * 1000,
				 .preempted_stall_timeout_us =
					 prof->stall_ms * 1000 * GENREQ_PREEMPTED_FACTOR,
				 .resume_deadline_us = prof->resume_deadline_ms * 1000,
				 .restarts_max = GENREQ_RESTARTS_MAX };

	gr->entry = entry;
	gr->service = service;
	gr->customer = g_strdup(customer->name);
	gr->request = g_uuid_string_random();
	gr->len = entry_len(service, customer->name);
	gr->priority = prof->priority;
	gr->deviations = (double)prof->overflow_deviations_centi / 100.0;
	gr->room_factor = (uint32_t)prof->room_factor;
	gr->spill = (enum profile_spill)prof->spill;
	gr->arrived_us = entry_now_us();
	gr->queue_deadline_us = gr->arrived_us + prof->queue_deadline_ms * 1000;
	gr->open_timeout_us = prof->stall_ms * 1000;
	gr->stream = !held;
	gr->sse = sse_create(GENREQ_SSE_MAX, genreq_on_event, gr);
	gr->buffered = g_string_new(NULL);
	gr->out = g_string_new(NULL);
	gr->refusal = g_string_new(NULL);
	gr->gen = gen_create(&conf, &genreq_gen_ops, gr);
	uv_timer_init(entry->loop, &gr->timer);
	gr->timer.data = gr;
	g_hash_table_add(entry->generations, gr);
	return gr;
}

static void genreq_on_closed(uv_handle_t *handle)
{
	struct genreq *gr = handle->data;

	gen_destroy(gr->gen);
	sse_destroy(gr->sse);
	g_string_free(gr->buffered, TRUE);
	g_string_free(gr->out, TRUE);
	g_string_free(gr->refusal, TRUE);
	g_free(gr->customer);
	g_free(gr->limit_key);
	g_free(gr->request);
	g_free(gr->public_id);
	g_free(gr->engine_id);
	g_free(gr->stream_id);
	g_free(gr->prompt);
	g_free(gr);
}

static void genreq_leave_upstream(struct genreq *gr)
{
	if (!gr->up)
		return;
	upstream_end_request(gr->up, &gr->item);
	gr->up = NULL;
}

/* Frees after the running callbacks have returned. */
void genreq_end(struct genreq *gr)
{
	if (gr->ended)
		return;
	gr->ended = true;
	genreq_disconnect(gr);
	genreq_leave_upstream(gr);
	if (gr->queued)
		wfq_remove(gr->entry->queue, g_steal_pointer(&gr->queued), 0);
	if (gr->limited)
		limiter_release(gr->entry->limiter, gr->limit_key);
	g_hash_table_remove(gr->entry->generations, gr);
	uv_close((uv_handle_t *)&gr->timer, genreq_on_closed);
}

/* helpers: ids */

char *genreq_mac(const struct entry *entry, const char *service, const char *engine,
		 const char *stream, const char *customer)
{
	g_autofree char *text = g_strjoin(".", service, engine, stream, customer, NULL);
	char *mac = g_compute_hmac_for_string(G_CHECKSUM_SHA256, (const guchar *)entry->set->id_key,
					      strlen(entry->set->id_key), text, -1);

	mac[GENREQ_MAC_CHARS] = '\0';
	return mac;
}

void genreq_set_stream(struct genreq *gr, const char *engine, const char *stream)
{
	const char *service = gr->service->set->name;
	g_autofree char *mac = genreq_mac(gr->entry, service, engine, stream, gr->customer);

	g_free(gr->engine_id);
	g_free(gr->stream_id);
	g_free(gr->public_id);
	gr->engine_id = g_strdup(engine);
	gr->stream_id = g_strdup(stream);
	gr->public_id = g_strjoin(".", service, engine, stream, mac, NULL);
}

/* helpers: answers */

static void genreq_write(struct genreq *gr)
{
	if (!gr->req)
		return;
	http_req_stream_write(gr->req, gr->out->str, gr->out->len);
	if (http_req_unsent_bytes(gr->req) > GENREQ_BACKLOG_MAX && gr->call && !gr->paused) {
		gr->paused = true;
		http_call_pause(gr->call);
	}
}

static void genreq_begin_stream(struct genreq *gr)
{
	if (gr->started || !gr->req)
		return;
	gr->started = true;
	http_req_add_response_header(gr->req, "cache-control", "no-store");
	http_req_add_response_header(gr->req, "x-request-id", gr->public_id);
	http_req_stream_begin(gr->req, 200, "text/event-stream");
}

static void genreq_append_json_text(GString *out, const char *text, size_t len)
{
	json_t *string = json_stringn(text, len);
	char *quoted = string ? json_dumps(string, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;

	g_string_append(out, quoted ? quoted : "\"\"");
	free(quoted);
	json_decref(string);
}

static void genreq_write_token(struct genreq *gr, uint64_t offset, const char *text, size_t len)
{
	char head[32];

	g_string_assign(gr->out, "id: ");
	g_string_append(gr->out, gr->public_id);
	snprintf(head, sizeof(head), ":%" PRIu64 "\n", offset + 1);
	g_string_append(gr->out, head);
	g_string_append(gr->out,
			gr->chat ? "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":"
				 : "data: {\"choices\":[{\"index\":0,\"text\":");
	genreq_append_json_text(gr->out, text, len);
	g_string_append(gr->out, gr->chat ? "}}]}\n\n" : "}]}\n\n");
	genreq_write(gr);
}

static void genreq_finish_stream(struct genreq *gr)
{
	genreq_begin_stream(gr);
	if (!gr->req)
		return;
	g_string_printf(gr->out,
			"data: {\"choices\":[{\"index\":0,\"finish_reason\":\"stop\"}],"
			"\"usage\":{\"completion_tokens\":%" PRIu64 "}}\n\ndata: [DONE]\n\n",
			gen_delivered(gr->gen));
	genreq_write(gr);
	http_req_stream_end(gr->req);
	gr->req = NULL;
}

static void genreq_finish_held(struct genreq *gr)
{
	json_t *choice;
	json_t *text;

	if (!gr->req)
		return;
	text = json_stringn(gr->buffered->str, gr->buffered->len);
	if (gr->chat)
		choice = json_pack("{s:i, s:{s:s, s:o}, s:s}", "index", 0, "message", "role",
				   "assistant", "content", text, "finish_reason", "stop");
	else
		choice = json_pack("{s:i, s:o, s:s}", "index", 0, "text", text, "finish_reason",
				   "stop");
	http_req_set_callbacks(gr->req, NULL, NULL, NULL);
	answer_json(gr->req, 200,
		    json_pack("{s:s, s:[o], s:{s:I}}", "id", gr->public_id, "choices", choice,
			      "usage", "completion_tokens", (json_int_t)gen_delivered(gr->gen)));
	gr->req = NULL;
}

void genreq_answer_error(struct genreq *gr, enum err_kind kind)
{
	json_t *body;
	char *text;

	/* Not run is told only of a request that no engine can have seen. */
	if (gr->reached && err_info(kind)->execution == ERR_EXECUTION_NOT_RUN)
		kind = ERR_GENERATION_LOST;

	if (!gr->req)
		return;
	if (!gr->started) {
		http_req_set_callbacks(gr->req, NULL, NULL, NULL);
		answer_error(gr->entry, gr->req, kind, NULL);
		gr->req = NULL;
		return;
	}
	body = answer_error_json(kind, NULL);
	json_object_set_new(json_object_get(body, "error"), "offset",
			    json_integer((json_int_t)gen_delivered(gr->gen)));
	text = json_dumps(body, JSON_COMPACT);
	g_string_printf(gr->out, "event: error\ndata: %s\n\n", text);
	free(text);
	json_decref(body);
	genreq_write(gr);
	http_req_stream_end(gr->req);
	gr->req = NULL;
}

/* helpers: calls to the engine */

static void genreq_call(struct genreq *gr, const char *address, const char *method,
			const char *path, const char *body)
{
	struct http_call_request req = { .address = address,
					 .method = method,
					 .path = path,
					 .headers = "content-type: application/json\r\n",
					 .body = body,
					 .body_len = body ? strlen(body) : 0 };

	gr->status = 0;
	gr->opened = false;
	gr->paused = false;
	gr->called_us = entry_now_us();
	sse_reset(gr->sse);
	g_string_truncate(gr->refusal, 0);
	gr->call = http_call_start(gr->entry->cli, &req, &genreq_call_ops, gr);
}

static void genreq_send_open(struct genreq *gr)
{
	json_t *root =
		json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:s}", "request", gr->request, "model",
			  gr->service->set->upstream, "prompt", gr->prompt, "max_tokens",
			  (json_int_t)gr->item.max_tokens, "seed", (json_int_t)gr->seed, "priority",
			  (json_int_t)gr->priority, "customer", gr->customer);
	char *text;

	if (gr->open_offset)
		json_object_set_new(root, "continue_at", json_integer((json_int_t)gr->open_offset));
	text = json_dumps(root, JSON_COMPACT);
	genreq_call(gr, upstream_address(gr->up), "POST", "/v1/generate", text);
	free(text);
	json_decref(root);
}

static void genreq_cancel_stream(struct genreq *gr)
{
	static const struct http_call_ops ignore = { 0 };
	struct upstream *up;
	g_autofree char *path = NULL;
	struct http_call_request req = { .method = "DELETE", .timeout_ms = 2000 };

	up = gr->engine_id ? pool_find(gr->entry->pool, gr->engine_id) : NULL;
	if (!up || !gr->stream_id)
		return;
	path = g_strdup_printf("/v1/streams/%s?epoch=%" PRIu64, gr->stream_id, gen_epoch(gr->gen));
	req.address = upstream_address(up);
	req.path = path;
	http_call_start(gr->entry->cli, &req, &ignore, NULL);
}

void genreq_admit(struct genreq *gr, struct upstream *up, uint64_t now_us)
{
	struct entry *entry = gr->entry;

	wfq_remove(entry->queue, g_steal_pointer(&gr->queued), 1);
	metric_observe(entry->metric, METRIC_QUEUE_US, now_us - gr->arrived_us);
	metric_add(entry->metric, METRIC_GENERATIONS, !gr->admitted);
	if (pool_distance(entry->pool, up) != POOL_SAME_ZONE)
		metric_add(entry->metric, METRIC_GENERATIONS_SPILLED, 1);
	gr->admitted = true;
	gr->up = up;
	upstream_begin_request(up, &gr->item);
	upstream_add_cached_blocks(up, gr->prefix, gr->prefix_count);
	genreq_send_open(gr);
}

/* what the generation asks for */

static void genreq_open(void *ctx, uint64_t offset)
{
	struct genreq *gr = ctx;
	double cost = 0.0;

	genreq_leave_upstream(gr);
	gr->open_offset = offset;
	kv_forecast_item_init(&gr->item, gr->len, gr->item.prompt_tokens, gr->item.max_tokens);
	/* Work that was admitted before does not queue up again behind new work. */
	if (!gr->admitted)
		cost = (double)gr->item.prompt_tokens +
		       length_survival_expected(gr->len, 0, gr->item.max_tokens);
	gr->queued = wfq_push(gr->entry->queue, gr->customer, gr->priority, cost,
			      gr->queue_deadline_us, gr);
}

static void genreq_attach(void *ctx, uint64_t offset, uint64_t epoch, bool takeover)
{
	struct genreq *gr = ctx;
	struct upstream *up = pool_find(gr->entry->pool, gr->engine_id);
	g_autofree char *path = NULL;

	if (!up) {
		gen_on_break(gr->gen, entry_now_us(), GEN_BREAK_LOST);
		return;
	}
	if (gr->up != up) {
		genreq_leave_upstream(gr);
		gr->up = up;
		upstream_begin_request(up, &gr->item);
	}
	path = g_strdup_printf("/v1/streams/%s?offset=%" PRIu64 "&epoch=%" PRIu64 "&takeover=%d",
			       gr->stream_id, offset, epoch, takeover);
	genreq_call(gr, upstream_address(up), "GET", path, NULL);
}

static void genreq_disconnect(void *ctx)
{
	struct genreq *gr = ctx;

	if (gr->call)
		http_call_cancel(g_steal_pointer(&gr->call));
	gr->opened = false;
	gr->paused = false;
}

static void genreq_deliver(void *ctx, uint64_t offset, const char *text, size_t len)
{
	struct genreq *gr = ctx;
	struct entry *entry = gr->entry;
	uint64_t now_us = entry_now_us();
	uint32_t bucket = gr->item.bucket;

	metric_add(entry->metric, METRIC_TOKENS, 1);
	if (gr->token_us == 0)
		metric_observe(entry->metric, METRIC_FIRST_TOKEN_US, now_us - gr->arrived_us);
	else
		metric_observe(entry->metric, METRIC_TOKEN_GAP_US, now_us - gr->token_us);
	gr->token_us = now_us;
	if (gr->up)
		upstream_update_request(gr->up, &gr->item, offset + 1);
	if (gr->item.bucket != bucket)
		length_survival_add_passed(gr->len, bucket);
	if (!gr->stream) {
		g_string_append_len(gr->buffered, text, (gssize)len);
		return;
	}
	genreq_begin_stream(gr);
	genreq_write_token(gr, offset, text, len);
}

static void genreq_restart(void *ctx)
{
	struct genreq *gr = ctx;

	g_string_truncate(gr->buffered, 0);
}

static void genreq_on_timer(uv_timer_t *timer)
{
	struct genreq *gr = timer->data;

	gen_on_timer(gr->gen, entry_now_us());
}

static void genreq_wait(void *ctx, uint64_t delay_us)
{
	struct genreq *gr = ctx;

	uv_timer_start(&gr->timer, genreq_on_timer, delay_us / 1000 + 1, 0);
}

static void genreq_finish(void *ctx)
{
	struct genreq *gr = ctx;

	length_survival_add_ended(gr->len, gen_delivered(gr->gen));
	metric_add(gr->entry->metric, METRIC_GENERATIONS_DONE, 1);
	if (gr->up)
		upstream_record_success(gr->up);
	if (gr->stream)
		genreq_finish_stream(gr);
	else
		genreq_finish_held(gr);
	genreq_end(gr);
}

static void genreq_fail(void *ctx, enum err_kind kind)
{
	struct genreq *gr = ctx;

	if (kind == ERR_GENERATION_LOST) {
		metric_add(gr->entry->metric, METRIC_GENERATIONS_LOST, 1);
		log_event(LOG_GENERATION_LOST, "request", gr->request, "engine", gr->engine_id,
			  NULL);
	}
	genreq_answer_error(gr, kind);
	genreq_end(gr);
}

static bool genreq_can_continue(void *ctx)
{
	struct genreq *gr = ctx;

	return gr->exact && gr->prompt && gen_delivered(gr->gen) > 0;
}

/* what the engine says */

static void genreq_on_opened(struct genreq *gr, const json_t *open)
{
	const char *stream = json_string_value(json_object_get(open, "stream"));
	uint64_t epoch = (uint64_t)json_integer_value(json_object_get(open, "epoch"));
	bool resumed = gen_state(gr->gen) == GEN_ATTACHING;

	if (!stream || !gr->up)
		return;
	gr->opened = true;
	gr->exact = json_is_true(json_object_get(open, "exact"));
	genreq_set_stream(gr, upstream_id(gr->up), stream);
	gen_on_open(gr->gen, entry_now_us(), epoch);
	if (gr->started && gr->stream) {
		/* The caller resumes by the newest id; an event without data sets it. */
		g_string_printf(gr->out, "id: %s:%" PRIu64 "\n\n", gr->public_id,
				gen_delivered(gr->gen));
		genreq_write(gr);
	}
	if (resumed) {
		metric_add(gr->entry->metric, METRIC_RESUMES, 1);
		log_event(LOG_GENERATION_RESUMED, "request", gr->public_id, NULL);
	}
}

static void genreq_on_token(struct genreq *gr, const json_t *root)
{
	const json_t *text = json_object_get(root, "t");
	uint64_t offset = (uint64_t)json_integer_value(json_object_get(root, "o"));

	if (!gen_on_token(gr->gen, entry_now_us(), gen_epoch(gr->gen), offset,
			  json_string_value(text), json_string_length(text)))
		metric_add(gr->entry->metric, METRIC_TOKENS_DROPPED, 1);
}

static bool genreq_on_event(void *ctx, const struct sse_event *event)
{
	struct genreq *gr = ctx;
	json_t *root = json_loadb(event->data, event->data_len, 0, NULL);
	const json_t *value;

	if (json_object_get(root, "t")) {
		genreq_on_token(gr, root);
	} else if ((value = json_object_get(root, "open"))) {
		genreq_on_opened(gr, value);
	} else if ((value = json_object_get(root, "preempted"))) {
		metric_add(gr->entry->metric, METRIC_PREEMPTIONS, json_is_true(value));
		gen_on_preempted(gr->gen, entry_now_us(), json_is_true(value));
	} else if ((value = json_object_get(root, "end"))) {
		gen_on_end(gr->gen, entry_now_us(), gen_epoch(gr->gen),
			   (uint64_t)json_integer_value(json_object_get(value, "total")));
	} else if (json_object_get(root, "fenced")) {
		gen_on_break(gr->gen, entry_now_us(), GEN_BREAK_FENCED);
	}
	json_decref(root);
	return gr->call != NULL;
}

static bool genreq_on_connected(void *ctx)
{
	struct genreq *gr = ctx;

	gr->reached = true;
	return true;
}

static void genreq_on_head(void *ctx, const struct http_response_head *head)
{
	struct genreq *gr = ctx;

	gr->status = http_response_status(head);
}

static void genreq_on_data(void *ctx, const char *buf, size_t len)
{
	struct genreq *gr = ctx;

	if (gr->status != 200) {
		if (gr->refusal->len + len <= GENREQ_REFUSAL_MAX)
			g_string_append_len(gr->refusal, buf, (gssize)len);
		return;
	}
	if (gr->up)
		entry_relayed(gr->entry, gr->up, len);
	if (!sse_feed(gr->sse, buf, len) && gr->call)
		gen_on_break(gr->gen, entry_now_us(), GEN_BREAK_LOST);
}

static enum gen_break genreq_break_of(struct genreq *gr, enum http_call_result result)
{
	if (result == HTTP_CALL_CONNECT_FAILED)
		return GEN_BREAK_REFUSED;
	switch (gr->status) {
	case 404:
		return GEN_BREAK_GONE;
	case 409:
		return GEN_BREAK_FENCED;
	case 503:
		return GEN_BREAK_REFUSED;
	default:
		return GEN_BREAK_LOST;
	}
}

/* A full engine refuses too; only one that says so is leaving. */
static bool genreq_says_leaving(const struct genreq *gr)
{
	json_t *root = json_loadb(gr->refusal->str, gr->refusal->len, 0, NULL);
	const char *error = json_string_value(json_object_get(root, "error"));
	bool leaving = gr->status == 503 && error && strcmp(error, "leaving") == 0;

	json_decref(root);
	return leaving;
}

static void genreq_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct genreq *gr = ctx;
	enum gen_break why = genreq_break_of(gr, result);
	uint64_t now_us = entry_now_us();

	(void)sent;
	gr->call = NULL;
	/* A conflict before a stream exists is a refusal to continue it. */
	if (gen_state(gr->gen) == GEN_OPENING && why != GEN_BREAK_LOST)
		why = GEN_BREAK_REFUSED;
	if (gr->up && (result == HTTP_CALL_CONNECT_FAILED || gr->status == 0))
		upstream_record_failure(gr->up, now_us, g_random_int());
	if (gr->up && genreq_says_leaving(gr))
		entry_upstream_leaving(gr->entry, gr->up, "refusal");
	gen_on_break(gr->gen, now_us, why);
}

/* what the caller does */

static void genreq_on_abandoned(uv_timer_t *timer)
{
	struct genreq *gr = timer->data;

	genreq_cancel_stream(gr);
	genreq_end(gr);
}

/* A caller of a stream may come back, here or elsewhere, for a short time. */
static void genreq_on_gone(void *ctx)
{
	struct genreq *gr = ctx;

	gr->req = NULL;
	if (gr->ended)
		return;
	gr->abandoned = true;
	genreq_disconnect(gr);
	if (gr->queued)
		wfq_remove(gr->entry->queue, g_steal_pointer(&gr->queued), 0);
	uv_timer_start(&gr->timer, genreq_on_abandoned, gr->stream ? GENREQ_ABANDON_MS : 0, 0);
}

static void genreq_on_drained(void *ctx)
{
	struct genreq *gr = ctx;

	if (!gr->paused || !gr->call)
		return;
	gr->paused = false;
	gen_reset_stall_timer(gr->gen, entry_now_us());
	http_call_resume(gr->call);
}

/* commands */

void genreq_set_caller(struct genreq *gr, struct http_req *req)
{
	gr->req = req;
	http_req_set_callbacks(req, genreq_on_gone, genreq_on_drained, gr);
}

/* An engine that accepts a connection but does not answer is treated as lost. */
void genreq_tick(struct genreq *gr, uint64_t now_us)
{
	/* Nothing is taken up again for a caller that left. */
	if (gr->abandoned)
		return;
	if (gr->call && !gr->opened && now_us - gr->called_us > gr->open_timeout_us) {
		if (gr->up)
			upstream_record_failure(gr->up, now_us, g_random_int());
		gen_on_break(gr->gen, now_us, GEN_BREAK_LOST);
		return;
	}
	if (!gr->paused && gen_check_stall(gr->gen, now_us)) {
		metric_add(gr->entry->metric, METRIC_STALLS, 1);
		log_event(LOG_GENERATION_STALLED, "request", gr->request, "engine", gr->engine_id,
			  NULL);
	}
}

/* queries */

json_t *genreq_state(const struct genreq *gr, uint64_t now_us)
{
	return json_pack("{s:s, s:s, s:s, s:s*, s:s, s:I, s:I, s:I}", "request", gr->request,
			 "service", gr->service->set->name, "customer", gr->customer, "engine",
			 gr->engine_id, "state", gen_state_name(gen_state(gr->gen)), "delivered",
			 (json_int_t)gen_delivered(gr->gen), "epoch",
			 (json_int_t)gen_epoch(gr->gen), "age_ms",
			 (json_int_t)((now_us - gr->arrived_us) / 1000));
}

uint64_t genreq_held(const struct genreq *gr, const char **engine, const char **owner)
{
	const struct settings_service *service = gr->service->set;

	if (!gr->up)
		return 0;
	*engine = upstream_id(gr->up);
	*owner = service->owner ? service->owner : service->name;
	return gr->item.prompt_tokens + gen_delivered(gr->gen) + 1;
}
