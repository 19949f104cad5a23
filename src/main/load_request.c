#include "load_request.h"
#include "flamingolatch/sse.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOADGEN_EVENT_MAX_BYTES	       (64 * 1024)
#define LOADGEN_RETRY_DELAY_MS	       200
#define LOADGEN_ANSWER_TIMEOUT_MS      120000
#define LOADGEN_STREAM_IDLE_TIMEOUT_MS 20000
#define LOADGEN_IDLE_CHECK_MS	       1000

struct loadgen_request {
	struct loadgen_params *params;
	enum loadgen_kind kind;
	uint64_t index;
	uint64_t started_us;
	uint64_t attempt_us;
	uint64_t last_data_us;
	uint64_t last_token_us;
	uint64_t first_output_us;
	uint64_t interrupted_us; /* time of the first failure since the last token; 0 for none */
	uint64_t longest_token_gap_us;
	uint64_t token_count; /* token number in the last event id; the next must be one higher */
	uint32_t attempts;
	uint32_t target;
	uint32_t resumes;
	char *last_event_id;
	char *error;	 /* error kind of an error event or answer */
	char *ran;	 /* field "ran" of the error: whether the request was executed */
	GString *output; /* generated text */
	GString *body;	 /* body of an answer that is not streamed */
	GArray *token_gaps;
	struct sse *sse;
	struct http_call *call;
	uint16_t status; /* of the current attempt; 0 before its answer */
	uv_timer_t timer;
	bool stream_complete; /* the final event was received */
	bool out_of_order;
	bool answer_is_stream; /* the answer to the current attempt is an event stream */
};

static void loadgen_start_attempt(struct loadgen_request *lr);
static bool loadgen_on_event(void *ctx, const struct sse_event *event);
static void loadgen_on_head(void *ctx, const struct http_response_head *head);
static void loadgen_on_data(void *ctx, const char *buf, size_t len);
static void loadgen_on_end(void *ctx, enum http_call_result result, bool sent);
static void loadgen_on_timer(uv_timer_t *timer);

static const struct http_call_ops loadgen_call_ops = { .head = loadgen_on_head,
						       .data = loadgen_on_data,
						       .end = loadgen_on_end };
static const char *const loadgen_kind_names[LOADGEN_KIND_COUNT] = { "stream", "whole", "call",
								    "lookup" };

/* lifetime */

static void loadgen_on_closed(uv_handle_t *handle)
{
	struct loadgen_request *lr = handle->data;

	sse_destroy(lr->sse);
	g_string_free(lr->output, TRUE);
	g_string_free(lr->body, TRUE);
	g_array_free(lr->token_gaps, TRUE);
	g_free(lr->last_event_id);
	g_free(lr->error);
	g_free(lr->ran);
	g_free(lr);
}

void loadgen_request_start(struct loadgen_params *params, enum loadgen_kind kind, uint64_t index)
{
	struct loadgen_request *lr = g_new0(struct loadgen_request, 1);

	lr->params = params;
	lr->kind = kind;
	lr->index = index;
	lr->target = (uint32_t)(index % params->target_count);
	lr->started_us = uv_hrtime() / 1000;
	lr->output = g_string_new(NULL);
	lr->body = g_string_new(NULL);
	lr->token_gaps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	lr->sse = sse_create(LOADGEN_EVENT_MAX_BYTES, loadgen_on_event, lr);
	uv_timer_init(params->loop, &lr->timer);
	lr->timer.data = lr;
	loadgen_start_attempt(lr);
}

/* helpers */

static uint64_t loadgen_now_us(void)
{
	return uv_hrtime() / 1000;
}

/* Appends @p line with the current time to the history, if there is one, and frees it. */
static void loadgen_write_history(struct loadgen_request *lr, json_t *line)
{
	char *text;

	if (lr->params->history) {
		json_object_set_new(line, "at_ms",
				    json_integer((json_int_t)(g_get_real_time() / 1000)));
		text = json_dumps(line, JSON_COMPACT);
		fprintf(lr->params->history, "%s\n", text);
		free(text);
	}
	json_decref(line);
}

static void loadgen_finish(struct loadgen_request *lr, bool ok)
{
	struct loadgen_params *params = lr->params;
	struct loadgen_result result = { .kind = lr->kind,
					 .ok = ok,
					 .error = lr->error ? lr->error
						  : ok	    ? ""
							    : "io",
					 .first_output_us = lr->first_output_us,
					 .total_us = loadgen_now_us() - lr->started_us,
					 .longest_token_gap_us = lr->longest_token_gap_us,
					 .tokens = lr->token_count,
					 .resumes = lr->resumes,
					 .out_of_order = lr->out_of_order,
					 .token_gaps_us =
						 (const uint32_t *)(void *)lr->token_gaps->data,
					 .token_gap_count = lr->token_gaps->len };

	loadgen_write_history(
		lr,
		json_pack("{s:s, s:s, s:I, s:I, s:b, s:s, s:s, s:i, s:s*, s:I, s:i, s:b, s:s%}",
			  "ev", "end", "kind", loadgen_kind_names[lr->kind], "index",
			  (json_int_t)lr->index, "seed", (json_int_t)(params->seed + lr->index),
			  "ok", ok, "error", result.error, "ran", lr->ran ? lr->ran : "",
			  "attempts", (int)lr->attempts, "last_id", lr->last_event_id, "tokens",
			  (json_int_t)lr->token_count, "resumes", (int)lr->resumes, "out_of_order",
			  lr->out_of_order, "text", lr->output->str, lr->output->len));
	params->on_finished(params->ctx, &result);
	uv_close((uv_handle_t *)&lr->timer, loadgen_on_closed);
}

/* Schedules a retry at the next target. */
static void loadgen_retry_next_target(struct loadgen_request *lr)
{
	lr->target = (lr->target + 1) % lr->params->target_count;
	uv_timer_start(&lr->timer, loadgen_on_timer, LOADGEN_RETRY_DELAY_MS, 0);
}

static char *loadgen_prompt(const struct loadgen_request *lr)
{
	GString *prompt = g_string_new(NULL);

	g_string_printf(prompt, "request %" PRIu64 " of %" PRIu64 ": ", lr->index,
			lr->params->seed);
	while (prompt->len < lr->params->prompt_bytes)
		g_string_append(prompt, "a bear was left on the ferry; ");
	return g_string_free(prompt, FALSE);
}

static char *loadgen_body(const struct loadgen_request *lr)
{
	g_autofree char *prompt = NULL;
	json_t *root;
	char *text;

	if (lr->kind == LOADGEN_CALL)
		return strdup("{\"dispatch\":\"courier\"}");
	if (lr->kind == LOADGEN_LOOKUP)
		return NULL;
	prompt = loadgen_prompt(lr);
	root = json_pack("{s:s, s:s, s:I, s:I, s:b}", "model", lr->params->service, "prompt",
			 prompt, "max_tokens", (json_int_t)lr->params->max_tokens, "seed",
			 (json_int_t)(lr->params->seed + lr->index), "stream",
			 lr->kind == LOADGEN_STREAM);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static char *loadgen_headers(const struct loadgen_request *lr)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "authorization: Bearer %s\r\ncontent-type: application/json\r\n"
			       "x-request-id: %" PRIu64 "-%" PRIu64 "-%u\r\n",
			       lr->params->api_key, lr->params->seed, lr->index, lr->attempts);
	if (lr->kind == LOADGEN_CALL)
		g_string_append_printf(out, "idempotency-key: key-%" PRIu64 "-%" PRIu64 "\r\n",
				       lr->params->seed, lr->index);
	if (lr->last_event_id)
		g_string_append_printf(out, "last-event-id: %s\r\n", lr->last_event_id);
	return g_string_free(out, FALSE);
}

static char *loadgen_path(const struct loadgen_request *lr)
{
	if (lr->kind == LOADGEN_CALL || lr->kind == LOADGEN_LOOKUP)
		return g_strdup_printf("/s/%s%s/%" PRIu64, lr->params->call_service,
				       lr->params->call_path, lr->index);
	return g_strdup("/v1/completions");
}

static void loadgen_start_attempt(struct loadgen_request *lr)
{
	bool resume = lr->last_event_id != NULL;
	char *body = resume ? NULL : loadgen_body(lr);
	g_autofree char *headers = loadgen_headers(lr);
	g_autofree char *path = loadgen_path(lr);
	struct http_call_request req = {
		.address = lr->params->targets[lr->target],
		.method = resume || lr->kind == LOADGEN_LOOKUP ? "GET" : "POST",
		.path = path,
		.headers = headers,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_ms = lr->kind == LOADGEN_STREAM ? 0 : LOADGEN_ANSWER_TIMEOUT_MS,
		.new_connection = lr->kind == LOADGEN_CALL
	};

	lr->attempts++;
	lr->attempt_us = loadgen_now_us();
	lr->last_data_us = lr->attempt_us;
	lr->status = 0;
	lr->answer_is_stream = false;
	g_clear_pointer(&lr->error, g_free);
	g_clear_pointer(&lr->ran, g_free);
	g_string_truncate(lr->body, 0);
	sse_reset(lr->sse);
	lr->resumes += resume;
	lr->call = http_call_start(lr->params->cli, &req, &loadgen_call_ops, lr);
	uv_timer_start(&lr->timer, loadgen_on_timer, LOADGEN_IDLE_CHECK_MS, LOADGEN_IDLE_CHECK_MS);
	free(body);
}

/* Between attempts: starts the next one. During one: ends a stream that was idle too long. */
static void loadgen_on_timer(uv_timer_t *timer)
{
	struct loadgen_request *lr = timer->data;

	if (!lr->call) {
		loadgen_start_attempt(lr);
	} else if (lr->kind == LOADGEN_STREAM &&
		   loadgen_now_us() - lr->last_data_us > LOADGEN_STREAM_IDLE_TIMEOUT_MS * 1000ULL) {
		http_call_cancel(g_steal_pointer(&lr->call));
		loadgen_on_end(lr, HTTP_CALL_TIMEOUT, true);
	}
}

static void loadgen_parse_error(struct loadgen_request *lr, const json_t *root)
{
	const json_t *error = json_object_get(root, "error");

	g_free(lr->error);
	g_free(lr->ran);
	lr->error = g_strdup(json_string_value(json_object_get(error, "kind")));
	lr->ran = g_strdup(json_string_value(json_object_get(error, "ran")));
}

/* @param id event id: it ends in ":" and the number of the token, counted from 1 */
static void loadgen_record_token(struct loadgen_request *lr, const char *id, const char *text)
{
	const char *colon = strrchr(id, ':');
	uint64_t offset = colon ? strtoull(colon + 1, NULL, 10) : 0;
	uint64_t now_us = loadgen_now_us();
	uint32_t gap_us;

	if (offset != lr->token_count + 1)
		lr->out_of_order = true;
	lr->token_count = offset;
	g_string_append(lr->output, text);
	if (lr->first_output_us == 0) {
		lr->first_output_us = now_us - lr->started_us;
	} else {
		gap_us = (uint32_t)(now_us - lr->last_token_us);
		lr->longest_token_gap_us = MAX(lr->longest_token_gap_us, gap_us);
		g_array_append_val(lr->token_gaps, gap_us);
	}
	lr->last_token_us = now_us;
	lr->interrupted_us = 0;
}

static bool loadgen_on_event(void *ctx, const struct sse_event *event)
{
	struct loadgen_request *lr = ctx;
	json_t *root = json_loadb(event->data, event->data_len, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (*event->id) {
		g_free(lr->last_event_id);
		lr->last_event_id = g_strdup(event->id);
	}
	if (strcmp(event->event, "error") == 0)
		loadgen_parse_error(lr, root);
	else if (strcmp(event->data, "[DONE]") == 0)
		lr->stream_complete = true;
	else if (text)
		loadgen_record_token(lr, event->id, text);
	json_decref(root);
	return true;
}

static void loadgen_on_head(void *ctx, const struct http_response_head *head)
{
	struct loadgen_request *lr = ctx;
	g_autofree char *type = http_response_dup_header(head, "content-type");

	lr->status = http_response_status(head);
	lr->answer_is_stream = type && strcmp(type, "text/event-stream") == 0;
}

static void loadgen_on_data(void *ctx, const char *buf, size_t len)
{
	struct loadgen_request *lr = ctx;

	lr->last_data_us = loadgen_now_us();
	if (lr->answer_is_stream)
		sse_feed(lr->sse, buf, len);
	else
		g_string_append_len(lr->body, buf, (gssize)len);
}

/*
 * Tells whether a generation may be retried: the resume deadline, counted from the
 * first failure since its last token, has not passed. Records the time of that failure.
 */
static bool loadgen_may_resume(struct loadgen_request *lr)
{
	uint64_t now_us = loadgen_now_us();

	if (lr->interrupted_us == 0)
		lr->interrupted_us = now_us;
	return now_us - lr->interrupted_us < lr->params->resume_deadline_us;
}

/*
 * Resumes an interrupted stream at the next target, or starts it again when no
 * event id was received. The request finishes when the final event or an error
 * has arrived, or the resume deadline has passed.
 * The error "superseded" and its status 409 are not final: they say that another
 * connection resumed the stream.
 */
static void loadgen_stream_ended(struct loadgen_request *lr, enum http_call_result result)
{
	bool final = lr->error && strcmp(lr->error, "superseded") != 0;

	if (lr->stream_complete)
		loadgen_finish(lr, true);
	else if (final || (result == HTTP_CALL_OK && lr->status != 200 && lr->status != 409) ||
		 !loadgen_may_resume(lr))
		loadgen_finish(lr, false);
	else
		loadgen_retry_next_target(lr);
}

/* A generation without streaming is sent again when no complete answer arrived. */
static void loadgen_whole_ended(struct loadgen_request *lr, enum http_call_result result)
{
	json_t *root = json_loadb(lr->body->str, lr->body->len, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text) {
		g_string_assign(lr->output, text);
		lr->token_count = (uint64_t)json_integer_value(
			json_object_get(json_object_get(root, "usage"), "completion_tokens"));
		lr->first_output_us = loadgen_now_us() - lr->started_us;
	}
	json_decref(root);
	if (text)
		loadgen_finish(lr, true);
	else if (result != HTTP_CALL_OK && loadgen_may_resume(lr))
		loadgen_retry_next_target(lr);
	else
		loadgen_finish(lr, false);
}

/*
 * Retries a call, with the same idempotency key, or a lookup until an answer is
 * final: it has no error kind, or the kind is "outcome_unknown", which further
 * attempts would not change.
 */
static void loadgen_call_ended(struct loadgen_request *lr, enum http_call_result result)
{
	bool answered = result == HTTP_CALL_OK;
	bool settled = answered && (!lr->error || strcmp(lr->error, "outcome_unknown") == 0);

	loadgen_write_history(
		lr, json_pack("{s:s, s:s, s:I, s:i, s:i, s:s, s:s, s:s%}", "ev", "attempt", "kind",
			      loadgen_kind_names[lr->kind], "index", (json_int_t)lr->index,
			      "attempt", (int)lr->attempts, "status",
			      answered ? (int)lr->status : 0, "error", lr->error ? lr->error : "",
			      "ran", lr->ran ? lr->ran : "", "body", lr->body->str, lr->body->len));
	if (!settled && lr->attempts < lr->params->attempts_max) {
		loadgen_retry_next_target(lr);
		return;
	}
	lr->first_output_us = loadgen_now_us() - lr->started_us;
	loadgen_finish(lr, answered && !lr->error);
}

static void loadgen_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct loadgen_request *lr = ctx;
	json_t *root = NULL;

	(void)sent;
	lr->call = NULL;
	uv_timer_stop(&lr->timer);
	if (!lr->answer_is_stream && lr->status >= 400) {
		root = json_loadb(lr->body->str, lr->body->len, 0, NULL);
		loadgen_parse_error(lr, root);
		json_decref(root);
	}
	if (lr->kind == LOADGEN_STREAM)
		loadgen_stream_ended(lr, result);
	else if (lr->kind == LOADGEN_WHOLE)
		loadgen_whole_ended(lr, result);
	else
		loadgen_call_ended(lr, result);
}

/* queries */

const char *loadgen_kind_name(enum loadgen_kind kind)
{
	return loadgen_kind_names[kind];
}
