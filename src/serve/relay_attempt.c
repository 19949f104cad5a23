#include "relay_attempt.h"

#include "cold_start.h"
#include "crash_guard.h"
#include "limit_exchange.h"
#include "relay_detour.h"
#include "relay_hedge.h"
#include "speed_exchange.h"
#include "stream_version.h"

#include "flamingolatch/quarantine.h"

#include <string.h>

#define RELAY_EVENT_MAX_BYTES (1U << 20)
/* When more than this is unsent to a slow caller, reading from the upstream pauses until all of it
 * is sent. */
#define RELAY_BACKLOG_MAX_BYTES (256U << 10)
/* Limit of the comments between two events; a stream that exceeds it is faulty. */
#define RELAY_COMMENTS_MAX_BYTES (16U << 10)
/* Events between two updates of the expected output length. */
#define RELAY_ESTIMATE_INTERVAL_EVENTS 16
/* Events whose time is one sample of the speed of an engine: a third of a second, which evens out
 * events that are read together. */
#define RELAY_SPEED_EVENTS 8

static bool relay_on_connected(void *ctx);
static void relay_on_head(void *ctx, const struct http_response_head *head);
static void relay_on_data(void *ctx, const char *buf, size_t len);
static void relay_on_end(void *ctx, enum http_call_result result, bool sent);
static bool relay_owns_response(void *ctx, const struct http_response_head *head);
static bool relay_on_event(void *ctx, const char *raw, size_t len, const char *id);

static const struct http_call_ops relay_call_ops = {
	.connected = relay_on_connected,
	.head = relay_on_head,
	.data = relay_on_data,
	.end = relay_on_end,
	.matches = relay_owns_response,
};

/* commands */

/* Selects the engine that keeps a backup of the KV cache and counts the load there. Returns its
 * address, or NULL when the generation gets no backup. */
static const char *relay_select_backup(struct relay_request *request,
				       const struct fleet_upstream *up)
{
	struct dispatch_need need = relay_dispatch_need(request);
	struct fleet_upstream *backup;

	dispatch_load_remove(&request->backup);
	if (request->route->kind != ROUTE_STREAM || request->route->resumable ||
	    !relay_is_generation(request) || !request->service->engine.can_backup ||
	    !request->relay->env->settings->load.backups)
		return NULL;
	need.excluded = NULL;
	backup = dispatch_select_backup(request->relay->dispatch, &need, up);
	if (!backup)
		return NULL;
	dispatch_load_add(&request->backup, backup,
			  request->decoded.prompt_tokens + request->expected_output_tokens, 0);
	return fleet_upstream_address(backup);
}

/* Records what the speed of the upstream is measured by. Call it before the load is added. */
static void relay_expect_speed(struct relay_request *request, const struct fleet_upstream *up,
			       bool resumed)
{
	struct relay *relay = request->relay;
	struct dispatch_need need;

	request->speed_event_us = 0;
	request->speed_event_count = 0;
	request->speed_first_event_ms = 0;
	request->speed_open = 0;
	if (!speed_exchange_is_learned(relay->env->speed_exchange, up))
		return;
	if (!relay_is_generation(request)) {
		request->speed_open = fleet_upstream_own_load((struct fleet_upstream *)up)->open +
				      fleet_upstream_peer_load(up).open + 1;
	} else if (!resumed) {
		need = relay_dispatch_need(request);
		request->speed_first_event_ms =
			dispatch_nominal_first_event_ms(relay->dispatch, &need, up);
	}
}

/* Measures the speed of an engine by an event of the current attempt. */
static void relay_measure_event(struct relay_request *request, uint64_t now_us)
{
	struct speed_exchange *speeds = request->relay->env->speed_exchange;

	if (request->attempt_event_count == 0 && request->phase == RELAY_STREAMING)
		speed_exchange_on_first_event(speeds, request->attempt.up,
					      now_us - request->sent_us,
					      request->speed_first_event_ms);
	if (request->speed_event_us > 0 && ++request->speed_event_count < RELAY_SPEED_EVENTS)
		return;
	if (request->speed_event_us > 0)
		speed_exchange_on_events(speeds, request->attempt.up,
					 now_us - request->speed_event_us, RELAY_SPEED_EVENTS);
	request->speed_event_us = now_us;
	request->speed_event_count = 0;
}

struct http_call *relay_send(struct relay_request *request, struct fleet_upstream *up,
			     struct protocol_attempt *attempt, const struct http_call_ops *ops,
			     void *ctx)
{
	struct env *env = request->relay->env;
	uint64_t left_ms = relay_time_left_ms(request);
	size_t body_len;
	const char *body = http_req_body(request->caller, &body_len);
	struct http_call_request req = {
		.address = fleet_upstream_address(up),
		.scope = fleet_upstream_scope(up),
		.host = http_req_host(request->caller),
		.method = http_req_method(request->caller),
		.path = http_req_target(request->caller),
		.body = body,
		.body_len = body_len,
		.timeout_ms = left_ms + RELAY_DEADLINE_SLACK_MS,
		.new_connection = request->tries_path,
		.id = request->decoded.id,
	};
	g_autofree char *headers = NULL;

	attempt->upstream_id = fleet_upstream_id(up);
	attempt->customer = request->customer ? request->customer->name : NULL;
	attempt->left_ms = left_ms;
	headers = env->protocol->encode(&request->decoded, attempt);
	req.headers = headers;
	return http_call_start(env->http_client, &req, ops, ctx);
}

/* Returns the priority that an engine is told; -1 for a call. */
static int32_t relay_engine_priority(const struct relay_request *request)
{
	uint32_t rank = relay_priority(request);

	if (!relay_is_generation(request))
		return -1;
	if (!request->relay->env->settings->load.urgent_preempts)
		return (int32_t)rank;
	return (int32_t)admission_engine_priority(request->admission, rank);
}

void relay_start_attempt(struct relay_request *request, struct fleet_upstream *up,
			 const char *from_address, const char *from_handle)
{
	struct env *env = request->relay->env;
	struct protocol_attempt attempt = {
		.from_address = from_address,
		.from_handle = from_handle,
		.last_event_id = request->last_event_id ? request->last_event_id
							: request->decoded.last_event_id,
		.priority = relay_engine_priority(request),
	};

	if (request->attempt.up)
		dispatch_load_remove(&request->attempt);
	if (!from_address)
		g_ptr_array_add(request->tried, fleet_upstream_ref(up));
	relay_expect_speed(request, up, from_address || request->last_event_id);
	dispatch_load_add(&request->attempt, up,
			  relay_is_generation(request)
				  ? request->decoded.prompt_tokens + request->expected_output_tokens
				  : 0,
			  from_address ? 0 : request->decoded.prompt_tokens);
	upstream_limit_take(fleet_upstream_limit(up), env_now_us());
	cold_start_on_request(env->cold_start, up);
	env->placed_generation |= relay_is_generation(request);
	/* A resumed generation occupies memory before its first event. */
	if (from_address)
		relay_update_used(request);
	attempt.backup = relay_select_backup(request, up);
	g_free(request->attempt_upstream_id);
	request->attempt_upstream_id = g_strdup(fleet_upstream_id(up));
	request->phase = RELAY_SENT;
	request->from_copy = from_address != NULL;
	request->resumed = from_address || request->last_event_id;
	request->first_attempt = !from_address && request->tried->len == 1;
	request->discard = false;
	request->discarded_bytes = 0;
	request->invalid_response = false;
	request->withheld = false;
	request->connected = false;
	request->passed_on = false;
	request->not_run = false;
	request->stream = false;
	request->unframed = false;
	request->closed_in_stop = false;
	stream_stop_reset(&request->stop);
	request->stop_status = 0;
	request->first_event_us = 0;
	request->attempt_event_count = 0;
	request->comment_bytes = 0;
	request->migrate_checked_us = 0;
	g_ptr_array_set_size(request->migrate_tried, 0);
	request->sent_us = env_now_us();
	request->last_progress_us = request->sent_us;
	request->response_body = buffer_clear(request->response_body);
	g_string_truncate(request->response_headers, 0);
	if (request->events)
		event_stream_reset(request->events);
	relay_count_buffered(request);
	request->call = relay_send(request, up, &attempt, &relay_call_ops, request);
}

void relay_own_call(struct relay_request *request, struct http_call *call)
{
	http_call_set_owner(call, &relay_call_ops, request);
	request->call = call;
}

/* queries */

bool relay_is_stream_cut(const struct relay_request *request)
{
	bool may_be_over = request->event_count > 0 || request->decoded.last_event_id;

	return event_stream_pending_bytes(request->events) > 0 || !may_be_over ||
	       (request->unframed && request->attempt_event_count == 0);
}

/* helpers: responses */

bool relay_may_begin(struct relay_request *request, const struct fleet_upstream *up)
{
	return relay_key_is_valid(request) && relay_may_send_to(request, up) &&
	       !env_doubts_zones(request->relay->env);
}

bool relay_upstream_accepts(struct fleet_upstream *up)
{
	return fleet_upstream_state(up) <= FLEET_UPSTREAM_LAPSED &&
	       upstream_quiet_left_us(fleet_upstream_quiet(up), env_now_us()) == 0;
}

static bool relay_on_connected(void *ctx)
{
	struct relay_request *request = ctx;

	request->connected = true;
	/* The key may have been withdrawn, the zone evacuated or the regions changed while the
	 * connection was opened or the process paused. */
	request->withheld = !relay_may_begin(request, request->attempt.up);
	if (request->withheld)
		return false;
	/* Another upstream may have got the address in the meantime, or this one has said that it
	 * leaves or wants to be left alone. An engine that leaves still continues from its own
	 * copy. */
	if (request->from_copy)
		return fleet_upstream_state(request->attempt.up) <= FLEET_UPSTREAM_LEAVING;
	return relay_upstream_accepts(request->attempt.up);
}

static bool relay_owns_response(void *ctx, const struct http_response_head *head)
{
	const struct relay_request *request = ctx;

	return request->relay->env->protocol->owns(head, request->decoded.id);
}

void relay_store_header(void *ctx, const char *name, const char *value)
{
	GString *headers = ctx;

	g_string_append_len(headers, name, (gssize)strlen(name) + 1);
	g_string_append_len(headers, value, (gssize)strlen(value) + 1);
}

static bool relay_is_event_stream(const struct http_response_head *head)
{
	g_autofree char *type = http_response_dup_header(head, "content-type");

	return type && g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

enum protocol_answer_class relay_record_head(struct relay_request *request,
					     struct fleet_upstream *up, struct http_call *call,
					     uint64_t sent_us,
					     const struct http_response_head *head)
{
	struct env *env = request->relay->env;
	enum protocol_answer_class verdict = env->protocol->classify_answer(head);

	relay_detour_on_heard(request->relay);
	fleet_upstream_record_progress(up, env_now_us());
	crash_guard_on_alive(env->crash_guard, up);
	/* A late copy of it could not be told from the answer to the next call. */
	if (!env->protocol->names_request(head))
		http_call_disable_reuse(call);
	if (verdict != PROTOCOL_MISDIRECTED &&
	    (verdict != PROTOCOL_FOREIGN || env->protocol->names_request(head)))
		relay_note_upstream(request, up, sent_us, head);
	if (verdict == PROTOCOL_ANSWERED || verdict == PROTOCOL_NOT_RUN)
		limit_exchange_on_answer(env->limit_exchange, up,
					 env->protocol->decode_limit(head));
	if (verdict == PROTOCOL_ANSWERED || verdict == PROTOCOL_NOT_RUN)
		cold_start_on_answer(env->cold_start, up, env->protocol->decode_cold(head));
	if (http_response_closes_connection(head) && relay_is_generation(request) &&
	    verdict == PROTOCOL_ANSWERED)
		metric_add(env->metric, METRIC_CONNECTION_CLOSE_ANSWERS, 1);
	if (verdict == PROTOCOL_MISDIRECTED)
		fleet_upstream_set_leaving(up, env_now_us());
	return verdict;
}

static void relay_on_head(void *ctx, const struct http_response_head *head)
{
	struct relay_request *request = ctx;
	enum protocol_answer_class verdict = relay_record_head(
		request, request->attempt.up, request->call, request->sent_us, head);

	request->last_progress_us = env_now_us();
	request->status = http_response_status(head);
	if (verdict == PROTOCOL_NOT_RUN || verdict == PROTOCOL_MISDIRECTED) {
		request->not_run = true;
		request->discard = true;
		return;
	}
	if (verdict == PROTOCOL_FOREIGN) {
		request->invalid_response = true;
		request->discard = true;
		return;
	}
	http_response_each_header(head, relay_store_header, request->response_headers);
	request->stream = request->status / 100 == 2 && request->route->kind == ROUTE_STREAM &&
			  http_response_has_body(head) && relay_is_event_stream(head);
	request->unframed = http_response_is_unframed(head);
	if (request->stream) {
		request->phase = RELAY_STREAMING;
		if (!request->events)
			request->events =
				event_stream_create(RELAY_EVENT_MAX_BYTES, relay_on_event, request);
		if (!request->response_started && request->caller) {
			relay_start_response(request);
			http_req_stream_begin(request->caller, request->status, NULL);
		}
		return;
	}
	if (request->response_started) {
		/* A stream that was started can only be continued by a stream. */
		request->invalid_response = true;
		request->discard = true;
		return;
	}
	request->phase = RELAY_BUFFERING;
}

/* Tells whether a block belongs to the stream of the request: one of a few comments, or an event
 * that comes after the last one. */
static bool relay_is_own_event(const struct relay_request *request, const char *raw, size_t len,
			       const char *id)
{
	const char *last_id =
		request->last_event_id ? request->last_event_id : request->decoded.last_event_id;

	if (event_stream_is_comment(raw, len))
		return request->comment_bytes + len <= RELAY_COMMENTS_MAX_BYTES;
	return event_stream_is_well_formed(raw, len) && event_stream_may_follow(last_id, id);
}

/* Binds the stream to the software version of the upstream that sends its first event, or to the
 * one that it is resumed at, also for requests that resume it later. */
static void relay_bind_version(struct relay_request *request)
{
	const char *stream_id = relay_stream_id(request);

	if (!request->software_version)
		request->software_version =
			g_strdup(fleet_upstream_software_version(request->attempt.up));
	if (stream_id)
		stream_version_begin(request->relay->env->stream_version, request->service_name,
				     stream_id, request->software_version, request->deadline_us);
}

static bool relay_on_event(void *ctx, const char *raw, size_t len, const char *id)
{
	struct relay_request *request = ctx;
	struct env *env = request->relay->env;
	uint64_t now_us = env_now_us();

	/* A faulty engine sends other bytes in or after its stream. */
	if (!relay_is_own_event(request, raw, len, id)) {
		metric_add(env->metric, METRIC_EVENTS_FOREIGN, 1);
		log_event(LOG_STREAM_FOREIGN_BYTES, "request", relay_request_id(request),
			  "upstream", relay_upstream_id(request), "after",
			  request->last_event_id ? request->last_event_id : "-", "id",
			  *id ? id : "-", NULL);
		return false;
	}
	/* Comments belong to the response, but they are no progress. */
	if (event_stream_is_comment(raw, len)) {
		request->comment_bytes += len;
		if (request->caller)
			http_req_stream_write(request->caller, raw, len);
		return true;
	}
	if (request->event_count == 0)
		request->first_event_ms = (uint32_t)relay_age_ms(request);
	else
		request->longest_pause_ms =
			MAX(request->longest_pause_ms,
			    (uint32_t)((now_us - request->last_progress_us) / 1000));
	if (request->event_count == 0) {
		metric_observe(env->metric, METRIC_FIRST_TOKEN_US, now_us - request->arrived_us);
		dispatch_load_prefill_done(&request->attempt);
	} else {
		metric_observe(env->metric, METRIC_TOKEN_GAP_US,
			       now_us - request->last_progress_us);
	}
	if (request->relay->env->settings->load.speed_spread > 0.0)
		relay_measure_event(request, now_us);
	if (request->first_event_us == 0)
		request->first_event_us = now_us;
	dispatch_load_prefill_done(&request->attempt);
	request->comment_bytes = 0;
	if (request->event_count == 0)
		relay_bind_version(request);
	request->event_count++;
	request->attempt_event_count++;
	relay_update_used(request);
	request->last_progress_us = now_us;
	fleet_upstream_record_progress(request->attempt.up, now_us);
	crash_guard_on_alive(env->crash_guard, request->attempt.up);
	if (request->event_count == QUARANTINE_PROGRESS_EVENTS)
		crash_guard_on_progress(env->crash_guard, &request->decoded, request->fingerprint);
	if (request->event_count % RELAY_ESTIMATE_INTERVAL_EVENTS == 0)
		relay_update_estimate(request);
	if (*id) {
		g_free(request->last_event_id);
		request->last_event_id = g_strdup(id);
	}
	if (request->caller)
		http_req_stream_write(request->caller, raw, len);
	return true;
}

/* Ends the current attempt, whose response is no answer and may have no end. */
static void relay_break_attempt(struct relay_request *request)
{
	bool not_run = request->not_run;

	fleet_upstream_record_outcome(request->attempt.up, false, not_run, env_now_us());
	relay_cancel_migration(request);
	relay_cancel_attempt(request);
	if (request->events)
		event_stream_reset(request->events);
	relay_count_buffered(request);
	request->attempt_count += !not_run;
	request->relay->on_attempt_end(request, not_run ? ATTEMPT_NOT_RUN : ATTEMPT_BROKEN);
}

/* Pauses reading. The time until it goes on says nothing of the upstream. */
static void relay_pause(struct relay_request *request)
{
	request->speed_event_us = 0;
	http_call_pause(request->call);
}

/* Stops reading from the upstream while the caller has much left to read; relay_on_caller_drained()
 * goes on. */
static void relay_limit_backlog(struct relay_request *request)
{
	if (request->caller &&
	    http_req_unsent_bytes(request->caller) >
		    buffer_budget_limit(&request->relay->buffers, RELAY_BACKLOG_MAX_BYTES))
		relay_pause(request);
}

/* Collects a response that is no stream, and passes it on as it arrives once it is too long to be
 * kept. */
static void relay_gather(struct relay_request *request, const char *buf, size_t len)
{
	request->last_progress_us = env_now_us();
	if (request->response_started) {
		http_req_stream_write(request->caller, buf, len);
		return;
	}
	g_string_append_len(request->response_body, buf, (gssize)len);
	if (request->response_body->len <=
	    buffer_budget_limit(&request->relay->buffers, RELAY_BUFFER_MAX_BYTES))
		return;
	relay_cancel_hedge(request, RELAY_HEDGE_LOST);
	relay_start_response(request);
	http_req_stream_begin(request->caller, request->status, NULL);
	http_req_stream_write(request->caller, request->response_body->str,
			      request->response_body->len);
	request->response_body = buffer_clear(request->response_body);
}

static void relay_on_data(void *ctx, const char *buf, size_t len)
{
	struct relay_request *request = ctx;

	relay_detour_on_heard(request->relay);
	relay_process_data(request, buf, len);
}

void relay_process_data(struct relay_request *request, const char *buf, size_t len)
{
	if (request->discard) {
		request->discarded_bytes += len;
		if (request->discarded_bytes > RELAY_DISCARD_MAX_BYTES)
			relay_break_attempt(request);
		return;
	}
	if (!request->stream) {
		relay_gather(request, buf, len);
	} else if (!event_stream_feed(request->events, buf, len) ||
		   event_stream_pending_bytes(request->events) >
			   buffer_budget_limit(&request->relay->buffers, RELAY_EVENT_MAX_BYTES)) {
		relay_break_attempt(request);
		return;
	}
	relay_count_buffered(request);
	relay_limit_backlog(request);
}

/* Reports an attempt that broke before the answer made progress. An upstream that is leaving may
 * have exited as announced. */
void relay_report_crash(struct relay_request *request, struct fleet_upstream *up)
{
	struct env *env = request->relay->env;

	if (request->event_count >= QUARANTINE_PROGRESS_EVENTS ||
	    fleet_upstream_state(up) > FLEET_UPSTREAM_LAPSED)
		return;
	metric_add(env->metric, METRIC_CRASHED_STARTS, 1);
	crash_guard_on_crash(env->crash_guard, up, &request->decoded, request->fingerprint);
}

/* Tells whether the status of a complete response is a server error. */
static bool relay_is_server_error(const struct relay_request *request)
{
	return request->status >= 500;
}

static void relay_on_end(void *ctx, enum http_call_result result, bool sent)
{
	relay_end_call(ctx, result, sent);
}

/* Ends a response that was passed on as it arrived. */
static void relay_end_passed_on(struct relay_request *request)
{
	if (request->response_body->len > 0 && request->caller)
		http_req_stream_write(request->caller, request->response_body->str,
				      request->response_body->len);
	if (request->stream && relay_is_stream_cut(request)) {
		relay_report_crash(request, request->attempt.up);
		request->relay->on_attempt_end(request, ATTEMPT_BROKEN);
		return;
	}
	if (request->stream && request->event_count < QUARANTINE_PROGRESS_EVENTS)
		crash_guard_on_progress(request->relay->env->crash_guard, &request->decoded,
					request->fingerprint);
	relay_finish_streamed(request);
}

static void relay_log_end_in_stop(const struct relay_request *request)
{
	g_autofree char *status = g_strdup_printf("%u", request->stop_status);
	g_autofree char *events = g_strdup_printf("%" G_GUINT64_FORMAT, request->event_count);

	log_event(LOG_STREAM_ENDED_IN_STOP, "request", relay_request_id(request), "upstream",
		  relay_upstream_id(request), "framing", request->unframed ? "none" : "framed",
		  "stop", request->stop.asked ? "open" : "ended", "status", status, "events",
		  events, NULL);
}

void relay_end_call(struct relay_request *request, enum http_call_result result, bool sent)
{
	struct fleet_upstream *up = request->attempt.up;
	bool complete = result == HTTP_CALL_OK && !request->invalid_response;
	bool stopped = request->stream && stream_stop_judge(&request->stop) == STREAM_STOP_PARTIAL;
	uint64_t now_us = env_now_us();

	request->call = NULL;
	if (complete && request->stream && stream_stop_judge(&request->stop) != STREAM_STOP_WHOLE)
		relay_log_end_in_stop(request);
	/* relay_on_migrated() decides whether the generation was stopped or over. */
	if (request->stop.asked) {
		request->closed_in_stop = complete;
		return;
	}
	if (!sent && request->caller && !relay_key_is_valid(request)) {
		relay_refuse_key(request);
		return;
	}
	relay_detour_on_end(request, result, sent);
	if (!request->withheld)
		fleet_upstream_record_outcome(
			up, complete && (request->not_run || !relay_is_server_error(request)),
			result == HTTP_CALL_OK || !sent ? result == HTTP_CALL_OK : false, now_us);
	if (!sent) {
		request->relay->on_attempt_end(request, ATTEMPT_NOT_SENT);
		return;
	}
	if (request->not_run) {
		request->relay->on_attempt_end(request, ATTEMPT_NOT_RUN);
		return;
	}
	request->attempt_count++;
	if (result == HTTP_CALL_BROKEN)
		relay_report_crash(request, up);
	if (!complete || stopped) {
		request->relay->on_attempt_end(
			request, result == HTTP_CALL_TIMEOUT ? ATTEMPT_SILENT : ATTEMPT_BROKEN);
		return;
	}
	if (request->speed_open > 0 && request->status / 100 == 2)
		speed_exchange_on_call(request->relay->env->speed_exchange, up,
				       now_us - request->sent_us, request->speed_open);
	if (!relay_is_server_error(request))
		relay_learn_response(request, now_us);
	/* Also with an error, the upstream got through the request. */
	if (!relay_is_generation(request))
		crash_guard_on_progress(request->relay->env->crash_guard, &request->decoded,
					request->fingerprint);
	if (request->stream || request->response_started) {
		relay_end_passed_on(request);
		return;
	}
	if (relay_is_server_error(request) && request->caller) {
		request->relay->on_attempt_end(request, ATTEMPT_ERROR);
		return;
	}
	relay_cancel_hedge(request, RELAY_HEDGE_LOST);
	relay_deliver_buffered(request);
}
