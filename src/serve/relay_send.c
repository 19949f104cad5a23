#include "relay_send.h"

#include <string.h>

#define RELAY_EVENT_MAX_BYTES (1U << 20)
#define RELAY_HOLD_MAX_BYTES  (256U << 10) /* longer answers are passed on as they come */
#define RELAY_BACKLOG_BYTES   (256U << 10) /* of a caller that reads slowly */
#define RELAY_EXPECT_EVENTS   16	   /* between two looks at how long a stream will be */

static bool relay_on_connected(void *ctx);
static void relay_on_head(void *ctx, const struct hcall_head *head);
static void relay_on_data(void *ctx, const char *buf, size_t len);
static void relay_on_end(void *ctx, enum hcall_result result, bool sent);
static bool relay_owns(void *ctx, const struct hcall_head *head);
static bool relay_on_event(void *ctx, const char *raw, size_t len, const char *id);

static const struct hcall_ops relay_call_ops = {
	.connected = relay_on_connected,
	.head = relay_on_head,
	.data = relay_on_data,
	.end = relay_on_end,
	.owns = relay_owns,
};

/* commands */

/* Picks the engine that keeps a copy of the run's memory. */
static const char *relay_pick_backup(struct relay *relay, const struct fups *up)
{
	struct dsp_need need = relay_need(relay);
	struct fups *backup;

	dsp_leave(&relay->backup);
	if (relay->route->kind != RT_STREAM || relay->route->resumable ||
	    !relay_is_generation(relay) || !relay->service->engine.backups ||
	    !relay->rly->env->set->load.backups)
		return NULL;
	need.tried = NULL;
	backup = dsp_pick_backup(relay->rly->dsp, &need, up);
	if (!backup)
		return NULL;
	dsp_enter(&relay->backup, backup, relay->request.prompt_tokens + relay->expected_output, 0);
	return fups_address(backup);
}

void relay_send(struct relay *relay, struct fups *up, const char *from_address,
		const char *from_handle)
{
	struct env *env = relay->rly->env;
	uint64_t left_ms = relay_left_ms(relay);
	size_t body_len;
	const char *body = hreq_body(relay->caller, &body_len);
	struct srf_send send = {
		.upstream_id = fups_id(up),
		.customer = relay->customer ? relay->customer->name : NULL,
		.left_ms = left_ms,
		.from_address = from_address,
		.from_handle = from_handle,
		.last_event_id =
			relay->last_event_id ? relay->last_event_id : relay->request.last_event_id,
		.priority = relay_is_generation(relay) ? (int32_t)relay_priority(relay) : -1,
	};
	struct hcall_req req = {
		.address = fups_address(up),
		.scope = fups_scope(up),
		.host = hreq_host(relay->caller),
		.method = hreq_method(relay->caller),
		.path = hreq_target(relay->caller),
		.body = body,
		.body_len = body_len,
		.timeout_ms = left_ms + RELAY_TIMEOUT_LATE_MS,
	};
	g_autofree char *headers = NULL;

	if (relay->part.up)
		dsp_leave(&relay->part);
	if (!from_address)
		g_ptr_array_add(relay->tried, fups_hold(up));
	dsp_enter(&relay->part, up,
		  relay_is_generation(relay) ? relay->request.prompt_tokens + relay->expected_output
					     : 0,
		  from_address ? 0 : relay->request.prompt_tokens);
	env->placed |= relay_is_generation(relay);
	send.backup = relay_pick_backup(relay, up);
	headers = env->surface->encode(&relay->request, &send);
	req.headers = headers;
	g_free(relay->up_id);
	relay->up_id = g_strdup(fups_id(up));
	relay->phase = RELAY_SENT;
	relay->resumed = from_address || relay->last_event_id;
	relay->discard = false;
	relay->foreign = false;
	relay->not_run = false;
	relay->stream = false;
	relay->first_event_us = 0;
	relay->evacuated_us = 0;
	g_ptr_array_set_size(relay->move_tried, 0);
	relay->progress_us = env_now_us();
	g_string_truncate(relay->answer, 0);
	g_string_truncate(relay->answer_lines, 0);
	if (relay->events)
		evs_reset(relay->events);
	relay->call = hcli_call(env->cli, &req, &relay_call_ops, relay);
}

/* helpers: answers */

static bool relay_on_connected(void *ctx)
{
	const struct relay *relay = ctx;

	/* Another upstream may have taken the address in between. */
	return fups_state(relay->part.up) != FUPS_GONE;
}

static bool relay_owns(void *ctx, const struct hcall_head *head)
{
	const struct relay *relay = ctx;

	return relay->rly->env->surface->owns(head, relay->request.id);
}

static void relay_keep_header(void *ctx, const char *name, const char *value)
{
	GString *lines = ctx;

	g_string_append_len(lines, name, (gssize)strlen(name) + 1);
	g_string_append_len(lines, value, (gssize)strlen(value) + 1);
}

static bool relay_is_event_stream(const struct hcall_head *head)
{
	g_autofree char *type = hcall_head_get(head, "content-type");

	return type && g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

static void relay_on_head(void *ctx, const struct hcall_head *head)
{
	struct relay *relay = ctx;
	enum srf_verdict verdict = relay->rly->env->surface->judge(head);

	relay->progress_us = env_now_us();
	fups_progress(relay->part.up, relay->progress_us);
	relay->status = hcall_head_status(head);
	if (hcall_head_closes(head) && relay_is_generation(relay) && verdict == SRF_ANSWERED)
		metric_add(relay->rly->env->metric, METRIC_CONNECTION_CLOSE_ANSWERS, 1);
	if (verdict == SRF_NOT_RUN || verdict == SRF_MISDIRECTED) {
		relay->not_run = true;
		relay->discard = true;
		if (verdict == SRF_MISDIRECTED)
			fups_set_leaving(relay->part.up, env_now_us());
		return;
	}
	if (verdict == SRF_FOREIGN) {
		relay->foreign = true;
		relay->discard = true;
		return;
	}
	hcall_head_each(head, relay_keep_header, relay->answer_lines);
	relay->stream = relay->status / 100 == 2 && relay->route->kind == RT_STREAM &&
			relay_is_event_stream(head);
	if (relay->stream) {
		relay->phase = RELAY_STREAMING;
		if (!relay->events)
			relay->events = evs_create(RELAY_EVENT_MAX_BYTES, relay_on_event, relay);
		if (!relay->begun && relay->caller) {
			relay_begin(relay);
			hreq_stream_begin(relay->caller, relay->status, NULL);
		}
		return;
	}
	if (relay->begun) {
		/* The rest of a stream cannot be an answer of another shape. */
		relay->foreign = true;
		relay->discard = true;
		return;
	}
	relay->phase = RELAY_HOLDING;
}

static bool relay_on_event(void *ctx, const char *raw, size_t len, const char *id)
{
	struct relay *relay = ctx;
	struct env *env = relay->rly->env;
	uint64_t now_us = env_now_us();

	if (relay->event_count == 0)
		relay->first_ms = (uint32_t)relay_age_ms(relay);
	else
		relay->longest_ms =
			MAX(relay->longest_ms, (uint32_t)((now_us - relay->progress_us) / 1000));
	if (relay->event_count == 0) {
		metric_observe(env->metric, METRIC_FIRST_TOKEN_US, now_us - relay->arrived_us);
		dsp_prefilled(&relay->part);
	} else {
		metric_observe(env->metric, METRIC_TOKEN_GAP_US, now_us - relay->progress_us);
	}
	if (relay->first_event_us == 0)
		relay->first_event_us = now_us;
	dsp_prefilled(&relay->part);
	relay->event_count++;
	relay->progress_us = now_us;
	fups_progress(relay->part.up, now_us);
	if (relay->event_count % RELAY_EXPECT_EVENTS == 0)
		relay_expect(relay);
	if (*id) {
		g_free(relay->last_event_id);
		relay->last_event_id = g_strdup(id);
	}
	if (relay->caller)
		hreq_stream_write(relay->caller, raw, len);
	return true;
}

static void relay_on_data(void *ctx, const char *buf, size_t len)
{
	struct relay *relay = ctx;

	if (relay->discard)
		return;
	if (relay->stream) {
		if (!evs_feed(relay->events, buf, len))
			relay->foreign = true;
		if (relay->caller && hreq_backlog_bytes(relay->caller) > RELAY_BACKLOG_BYTES)
			hcall_pause(relay->call);
		return;
	}
	relay->progress_us = env_now_us();
	g_string_append_len(relay->answer, buf, (gssize)len);
	if (relay->answer->len > RELAY_HOLD_MAX_BYTES && relay->caller) {
		if (!relay->begun) {
			relay_begin(relay);
			hreq_stream_begin(relay->caller, relay->status, NULL);
		}
		hreq_stream_write(relay->caller, relay->answer->str, relay->answer->len);
		g_string_truncate(relay->answer, 0);
	}
}

/* Whether a whole answer says that the upstream failed to do its work. */
static bool relay_is_failure(const struct relay *relay)
{
	return relay->status >= 500;
}

static void relay_on_end(void *ctx, enum hcall_result result, bool sent)
{
	struct relay *relay = ctx;
	struct fups *up = relay->part.up;
	bool whole = result == HCALL_OK && !relay->foreign;
	uint64_t now_us = env_now_us();

	relay->call = NULL;
	/* The move stopped the run at its engine; the move's answer goes on from here. */
	if (relay->stopping && !whole)
		return;
	fups_outcome(up, whole && (relay->not_run || !relay_is_failure(relay)),
		     result == HCALL_OK || !sent ? result == HCALL_OK : false, now_us);
	if (!sent) {
		relay->rly->outcome(relay, AGAIN_NOT_SENT);
		return;
	}
	if (relay->not_run) {
		relay->rly->outcome(relay, AGAIN_NOT_RUN);
		return;
	}
	relay->runs++;
	if (!whole) {
		relay->rly->outcome(relay, result == HCALL_TIMEOUT ? AGAIN_SILENT : AGAIN_BROKEN);
		return;
	}
	if (relay->stream || relay->begun) {
		if (relay->answer->len > 0 && relay->caller)
			hreq_stream_write(relay->caller, relay->answer->str, relay->answer->len);
		if (relay->stream && evs_partial(relay->events) > 0)
			relay->rly->outcome(relay, AGAIN_BROKEN);
		else
			relay_finish(relay);
		return;
	}
	if (relay_is_failure(relay) && relay->caller)
		relay->rly->outcome(relay, AGAIN_ERROR);
	else
		relay_deliver(relay);
}
