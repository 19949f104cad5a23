#include "loadgen_request.h"
#include "flamingolatch/sse.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_EVENT_MAX	(64 * 1024)
#define LOAD_RETRY_MS	200
#define LOAD_TIMEOUT_MS 120000
#define LOAD_SILENCE_MS 20000 /* idle timeout of a stream */
#define LOAD_WATCH_MS	1000

struct load_request {
	struct load_run *run;
	enum load_kind kind;
	uint64_t index;
	uint64_t started_us;
	uint64_t attempt_us;
	uint64_t heard_us;
	uint64_t token_us;
	uint64_t first_us;
	uint64_t broken_us;
	uint64_t longest_gap_us;
	uint64_t next_offset; /* offset that the next event must carry, less one */
	uint32_t attempts;
	uint32_t target;
	uint32_t resumes;
	char *last_id;
	char *error; /* kind of an error event or answer */
	char *ran;
	GString *text; /* output as received */
	GString *body; /* answer that is not a stream */
	GArray *gaps;
	struct sse *sse;
	struct hcall *call;
	uint16_t status;
	uv_timer_t timer;
	bool done; /* the stream ended properly */
	bool out_of_order;
	bool is_stream; /* the present answer is a stream of events */
};

static void load_send(struct load_request *lr);
static bool load_on_event(void *ctx, const struct sse_event *event);
static void load_on_head(void *ctx, const struct hcall_head *head);
static void load_on_data(void *ctx, const char *buf, size_t len);
static void load_on_end(void *ctx, enum hcall_result result, bool sent);
static void load_on_timer(uv_timer_t *timer);

static const struct hcall_ops load_ops = { .head = load_on_head,
					   .data = load_on_data,
					   .end = load_on_end };
static const char *const load_kind_names[LOAD_KIND_COUNT] = { "stream", "whole", "call", "lookup" };

/* lifetime */

static void load_on_closed(uv_handle_t *handle)
{
	struct load_request *lr = handle->data;

	sse_destroy(lr->sse);
	g_string_free(lr->text, TRUE);
	g_string_free(lr->body, TRUE);
	g_array_free(lr->gaps, TRUE);
	g_free(lr->last_id);
	g_free(lr->error);
	g_free(lr->ran);
	g_free(lr);
}

void load_request_start(struct load_run *run, enum load_kind kind, uint64_t index)
{
	struct load_request *lr = g_new0(struct load_request, 1);

	lr->run = run;
	lr->kind = kind;
	lr->index = index;
	lr->target = (uint32_t)(index % run->target_count);
	lr->started_us = uv_hrtime() / 1000;
	lr->text = g_string_new(NULL);
	lr->body = g_string_new(NULL);
	lr->gaps = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	lr->sse = sse_create(LOAD_EVENT_MAX, load_on_event, lr);
	uv_timer_init(run->loop, &lr->timer);
	lr->timer.data = lr;
	load_send(lr);
}

/* helpers */

static uint64_t load_now_us(void)
{
	return uv_hrtime() / 1000;
}

static void load_record(struct load_request *lr, json_t *line)
{
	char *text;

	if (lr->run->history) {
		json_object_set_new(line, "at_ms",
				    json_integer((json_int_t)(g_get_real_time() / 1000)));
		text = json_dumps(line, JSON_COMPACT);
		fprintf(lr->run->history, "%s\n", text);
		free(text);
	}
	json_decref(line);
}

static void load_finish(struct load_request *lr, bool ok)
{
	struct load_run *run = lr->run;
	struct load_result result = { .kind = lr->kind,
				      .ok = ok,
				      .error = lr->error ? lr->error
					       : ok	 ? ""
							 : "io",
				      .first_us = lr->first_us,
				      .total_us = load_now_us() - lr->started_us,
				      .longest_gap_us = lr->longest_gap_us,
				      .tokens = lr->next_offset,
				      .resumes = lr->resumes,
				      .out_of_order = lr->out_of_order,
				      .gaps_us = (const uint32_t *)(void *)lr->gaps->data,
				      .gap_count = lr->gaps->len };

	load_record(lr,
		    json_pack("{s:s, s:s, s:I, s:I, s:b, s:s, s:s, s:i, s:s*, s:I, s:i, s:b, s:s%}",
			      "ev", "end", "kind", load_kind_names[lr->kind], "index",
			      (json_int_t)lr->index, "seed", (json_int_t)(run->seed + lr->index),
			      "ok", ok, "error", result.error, "ran", lr->ran ? lr->ran : "",
			      "attempts", (int)lr->attempts, "last_id", lr->last_id, "tokens",
			      (json_int_t)lr->next_offset, "resumes", (int)lr->resumes,
			      "out_of_order", lr->out_of_order, "text", lr->text->str,
			      lr->text->len));
	run->ended(run->ctx, &result);
	uv_close((uv_handle_t *)&lr->timer, load_on_closed);
}

static void load_again(struct load_request *lr)
{
	lr->target = (lr->target + 1) % lr->run->target_count;
	uv_timer_start(&lr->timer, load_on_timer, LOAD_RETRY_MS, 0);
}

static char *load_prompt(const struct load_request *lr)
{
	GString *prompt = g_string_new(NULL);

	g_string_printf(prompt, "request %" PRIu64 " of %" PRIu64 ": ", lr->index, lr->run->seed);
	while (prompt->len < lr->run->prompt_bytes)
		g_string_append(prompt, "a bear was left on the ferry; ");
	return g_string_free(prompt, FALSE);
}

static char *load_body(const struct load_request *lr)
{
	g_autofree char *prompt = NULL;
	json_t *root;
	char *text;

	if (lr->kind == LOAD_CALL)
		return strdup("{\"dispatch\":\"courier\"}");
	if (lr->kind == LOAD_LOOKUP)
		return NULL;
	prompt = load_prompt(lr);
	root = json_pack("{s:s, s:s, s:I, s:I, s:b}", "model", lr->run->service, "prompt", prompt,
			 "max_tokens", (json_int_t)lr->run->max_tokens, "seed",
			 (json_int_t)(lr->run->seed + lr->index), "stream",
			 lr->kind == LOAD_STREAM);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static char *load_headers(const struct load_request *lr)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "authorization: Bearer %s\r\ncontent-type: application/json\r\n"
			       "x-request-id: %" PRIu64 "-%" PRIu64 "-%u\r\n",
			       lr->run->api_key, lr->run->seed, lr->index, lr->attempts);
	if (lr->kind == LOAD_CALL)
		g_string_append_printf(out, "idempotency-key: key-%" PRIu64 "-%" PRIu64 "\r\n",
				       lr->run->seed, lr->index);
	if (lr->last_id)
		g_string_append_printf(out, "last-event-id: %s\r\n", lr->last_id);
	return g_string_free(out, FALSE);
}

static char *load_path(const struct load_request *lr)
{
	if (lr->kind == LOAD_CALL || lr->kind == LOAD_LOOKUP)
		return g_strdup_printf("/s/%s%s/%" PRIu64, lr->run->call_service,
				       lr->run->call_path, lr->index);
	return g_strdup("/v1/completions");
}

static void load_send(struct load_request *lr)
{
	bool resume = lr->last_id != NULL;
	char *body = resume ? NULL : load_body(lr);
	g_autofree char *headers = load_headers(lr);
	g_autofree char *path = load_path(lr);
	struct hcall_req req = { .address = lr->run->targets[lr->target],
				 .method = resume || lr->kind == LOAD_LOOKUP ? "GET" : "POST",
				 .path = path,
				 .headers = headers,
				 .body = body,
				 .body_len = body ? strlen(body) : 0,
				 .timeout_ms = lr->kind == LOAD_STREAM ? 0 : LOAD_TIMEOUT_MS,
				 .fresh = lr->kind == LOAD_CALL };

	lr->attempts++;
	lr->attempt_us = load_now_us();
	lr->heard_us = lr->attempt_us;
	lr->status = 0;
	lr->is_stream = false;
	g_clear_pointer(&lr->error, g_free);
	g_clear_pointer(&lr->ran, g_free);
	g_string_truncate(lr->body, 0);
	sse_reset(lr->sse);
	lr->resumes += resume;
	lr->call = hcli_call(lr->run->cli, &req, &load_ops, lr);
	uv_timer_start(&lr->timer, load_on_timer, LOAD_WATCH_MS, LOAD_WATCH_MS);
	free(body);
}

static void load_on_timer(uv_timer_t *timer)
{
	struct load_request *lr = timer->data;

	if (!lr->call) {
		load_send(lr);
	} else if (lr->kind == LOAD_STREAM &&
		   load_now_us() - lr->heard_us > LOAD_SILENCE_MS * 1000ULL) {
		hcall_cancel(g_steal_pointer(&lr->call));
		load_on_end(lr, HCALL_TIMEOUT, true);
	}
}

static void load_take_error(struct load_request *lr, const json_t *root)
{
	const json_t *error = json_object_get(root, "error");

	g_free(lr->error);
	g_free(lr->ran);
	lr->error = g_strdup(json_string_value(json_object_get(error, "kind")));
	lr->ran = g_strdup(json_string_value(json_object_get(error, "ran")));
}

static void load_take_token(struct load_request *lr, const char *id, const char *text)
{
	const char *colon = strrchr(id, ':');
	uint64_t offset = colon ? strtoull(colon + 1, NULL, 10) : 0;
	uint64_t now_us = load_now_us();
	uint32_t gap_us;

	if (offset != lr->next_offset + 1)
		lr->out_of_order = true;
	lr->next_offset = offset;
	g_string_append(lr->text, text);
	if (lr->first_us == 0) {
		lr->first_us = now_us - lr->started_us;
	} else {
		gap_us = (uint32_t)(now_us - lr->token_us);
		lr->longest_gap_us = MAX(lr->longest_gap_us, gap_us);
		g_array_append_val(lr->gaps, gap_us);
	}
	lr->token_us = now_us;
	lr->broken_us = 0;
}

static bool load_on_event(void *ctx, const struct sse_event *event)
{
	struct load_request *lr = ctx;
	json_t *root = json_loadb(event->data, event->data_len, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (*event->id) {
		g_free(lr->last_id);
		lr->last_id = g_strdup(event->id);
	}
	if (strcmp(event->event, "error") == 0)
		load_take_error(lr, root);
	else if (strcmp(event->data, "[DONE]") == 0)
		lr->done = true;
	else if (text)
		load_take_token(lr, event->id, text);
	json_decref(root);
	return true;
}

static void load_on_head(void *ctx, const struct hcall_head *head)
{
	struct load_request *lr = ctx;
	g_autofree char *type = hcall_head_get(head, "content-type");

	lr->status = hcall_head_status(head);
	lr->is_stream = type && strcmp(type, "text/event-stream") == 0;
}

static void load_on_data(void *ctx, const char *buf, size_t len)
{
	struct load_request *lr = ctx;

	lr->heard_us = load_now_us();
	if (lr->is_stream)
		sse_feed(lr->sse, buf, len);
	else
		g_string_append_len(lr->body, buf, (gssize)len);
}

static bool load_may_resume(struct load_request *lr)
{
	uint64_t now_us = load_now_us();

	if (lr->broken_us == 0)
		lr->broken_us = now_us;
	return now_us - lr->broken_us < lr->run->resume_deadline_us;
}

/* A stream goes on elsewhere unless its end or a final error was seen. */
static void load_end_stream(struct load_request *lr, enum hcall_result result)
{
	bool final = lr->error && strcmp(lr->error, "superseded") != 0;

	if (lr->done)
		load_finish(lr, true);
	else if (final || (result == HCALL_OK && lr->status != 200 && lr->status != 409) ||
		 !load_may_resume(lr))
		load_finish(lr, false);
	else
		load_again(lr);
}

static void load_end_whole(struct load_request *lr, enum hcall_result result)
{
	json_t *root = json_loadb(lr->body->str, lr->body->len, 0, NULL);
	const json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text) {
		g_string_assign(lr->text, text);
		lr->next_offset = (uint64_t)json_integer_value(
			json_object_get(json_object_get(root, "usage"), "completion_tokens"));
		lr->first_us = load_now_us() - lr->started_us;
	}
	json_decref(root);
	if (text)
		load_finish(lr, true);
	else if (result != HCALL_OK && load_may_resume(lr))
		load_again(lr);
	else
		load_finish(lr, false);
}

/* Repeats with the same key while nothing says that the outcome is settled. */
static void load_end_call(struct load_request *lr, enum hcall_result result)
{
	bool answered = result == HCALL_OK;
	bool settled = answered && (!lr->error || strcmp(lr->error, "outcome_unknown") == 0);

	load_record(lr,
		    json_pack("{s:s, s:s, s:I, s:i, s:i, s:s, s:s, s:s%}", "ev", "attempt", "kind",
			      load_kind_names[lr->kind], "index", (json_int_t)lr->index, "attempt",
			      (int)lr->attempts, "status", answered ? (int)lr->status : 0, "error",
			      lr->error ? lr->error : "", "ran", lr->ran ? lr->ran : "", "body",
			      lr->body->str, lr->body->len));
	if (!settled && lr->attempts < lr->run->attempts_max) {
		load_again(lr);
		return;
	}
	lr->first_us = load_now_us() - lr->started_us;
	load_finish(lr, answered && !lr->error);
}

static void load_on_end(void *ctx, enum hcall_result result, bool sent)
{
	struct load_request *lr = ctx;
	json_t *root = NULL;

	(void)sent;
	lr->call = NULL;
	uv_timer_stop(&lr->timer);
	if (!lr->is_stream && lr->status >= 400) {
		root = json_loadb(lr->body->str, lr->body->len, 0, NULL);
		load_take_error(lr, root);
		json_decref(root);
	}
	if (lr->kind == LOAD_STREAM)
		load_end_stream(lr, result);
	else if (lr->kind == LOAD_WHOLE)
		load_end_whole(lr, result);
	else
		load_end_call(lr, result);
}

/* queries */

const char *load_kind_name(enum load_kind kind)
{
	return load_kind_names[kind];
}
