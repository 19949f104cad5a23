#include "relay_detour.h"

#include "peer_exchange.h"
#include "relay.h"
#include "relay_attempt.h"

#include "flamingolatch/detour.h"

#include <string.h>

/* Longer than the handshake with the farthest upstream takes, also when it is busy. */
#define RELAY_DETOUR_CONNECT_MS 350
/* A sound upstream that runs a stream, or a plain one, is rarely silent for longer. */
#define RELAY_DETOUR_SILENT_MS 1000
/* Calls that wait at upstreams that cannot be reached are sent elsewhere after this time. */
#define RELAY_DETOUR_ANSWER_MS 300
/* A tick that comes later than this shows a pause of the process, which heard nothing meanwhile. */
#define RELAY_DETOUR_PAUSE_US (200ULL * 1000)
/* Two attempts without a connection, at different upstreams. */
#define RELAY_DETOUR_UNSENT_COUNT 2
/* With less time left nothing is passed on. */
#define RELAY_DETOUR_MIN_LEFT_MS 20
/* Peers that are asked after one that has a path and refused. */
#define RELAY_DETOUR_REFUSALS	  2
#define RELAY_DETOUR_MAX_RETRY_MS 10000
#define RELAY_DETOUR_SCOPE	  "instance"

/* How the passing on to a peer ended. */
enum relay_detour_end {
	RELAY_DETOUR_SERVED,
	RELAY_DETOUR_REFUSED,
	RELAY_DETOUR_NO_PATH,
	RELAY_DETOUR_NOT_SENT,
	RELAY_DETOUR_FAILED,
	RELAY_DETOUR_END_COUNT
};

static const char *const relay_detour_end_names[RELAY_DETOUR_END_COUNT] = {
	"served", "refused", "no-path", "not-sent", "failed",
};

struct relay_detours {
	struct detour *detour;
	struct peer_exchange *exchange; /* NULL: there are no peers */
	uint64_t tick_us;
	uint64_t resumed_us; /* when the process last went on after a pause */
	uint64_t lost_us;    /* when the path was lost */
};

/* Peers that were tried for one request. */
struct relay_detour {
	char *addresses[DETOUR_MAX_PEERS]; /* of their buses */
	char *zones[DETOUR_MAX_PEERS];
	uint32_t count;
	uint32_t refusals; /* by peers that have a path */
	uint32_t retry_after_ms;
	uint64_t sent_us;
	bool answered;	  /* the response is an upstream's, or final otherwise */
	bool not_run;	  /* the peer states that the request did not run */
	bool no_path;	  /* it has no path itself */
	bool timed_out;	  /* it states that the request may have run, out of time */
	bool unreachable; /* no upstream was left for the request */
	bool exhausted;	  /* no peer serves it */
	bool passes;	  /* the response is passed on as it arrives */
};

static bool relay_detour_on_connected(void *ctx);
static void relay_detour_on_head(void *ctx, const struct http_response_head *head);
static void relay_detour_on_data(void *ctx, const char *buf, size_t len);
static void relay_detour_on_call_end(void *ctx, enum http_call_result result, bool sent);
static bool relay_detour_owns_response(void *ctx, const struct http_response_head *head);

static const struct http_call_ops relay_detour_ops = {
	.connected = relay_detour_on_connected,
	.head = relay_detour_on_head,
	.data = relay_detour_on_data,
	.end = relay_detour_on_call_end,
	.matches = relay_detour_owns_response,
};

/* lifetime */

struct relay_detours *relay_detours_create(void)
{
	struct relay_detours *detours = g_new0(struct relay_detours, 1);

	detours->detour = detour_create();
	return detours;
}

void relay_detours_destroy(struct relay_detours *detours)
{
	if (!detours)
		return;
	detour_destroy(detours->detour);
	g_free(detours);
}

void relay_set_peers(struct relay *relay, struct peer_exchange *exchange)
{
	relay->detours->exchange = exchange;
}

void relay_detour_free(struct relay_request *request)
{
	struct relay_detour *detour = request->detour;

	if (!detour)
		return;
	for (uint32_t i = 0; i < detour->count; i++) {
		g_free(detour->addresses[i]);
		g_free(detour->zones[i]);
	}
	g_free(detour);
	request->detour = NULL;
}

/* evidence */

void relay_detour_on_heard(struct relay *relay)
{
	struct relay_detours *detours = relay->detours;
	uint64_t now_us = env_now_us();
	g_autofree char *lost_ms = NULL;

	if (!detour_record_heard(detours->detour, now_us))
		return;
	/* The upstreams had not failed. */
	fleet_end_suspensions(relay->env->fleet);
	metric_set(relay->env->metric, METRIC_PATH_IS_LOST, 0);
	lost_ms = g_strdup_printf("%" G_GUINT64_FORMAT, (now_us - detours->lost_us) / 1000);
	log_event(LOG_PATH_BACK, "lost_ms", lost_ms, NULL);
}

static void relay_detour_update(struct relay *relay, uint64_t now_us)
{
	struct relay_detours *detours = relay->detours;
	struct env *env = relay->env;
	g_autofree char *failed = NULL;

	if (!detour_update(detours->detour, fleet_count(env->fleet), now_us))
		return;
	detours->lost_us = now_us;
	metric_add(env->metric, METRIC_PATH_LOST, 1);
	metric_set(env->metric, METRIC_PATH_IS_LOST, 1);
	failed = g_strdup_printf("%u", detour_failed_count(detours->detour));
	log_event(LOG_PATH_LOST, "upstreams", failed, NULL);
}

static void relay_detour_record_failure(struct relay_request *request, uint64_t since_us,
					uint64_t now_us)
{
	struct relay *relay = request->relay;

	detour_record_failure(relay->detours->detour, fleet_upstream_key(request->attempt.up),
			      since_us, now_us);
	relay_detour_update(relay, now_us);
}

void relay_detour_on_end(struct relay_request *request, enum http_call_result result, bool sent)
{
	uint64_t now_us = env_now_us();

	if (result == HTTP_CALL_OK || request->withheld || !request->attempt.up)
		return;
	if (!sent && !request->connected) {
		request->unsent_count++;
		relay_detour_record_failure(request, request->sent_us, now_us);
	} else if (sent && result == HTTP_CALL_BROKEN) {
		if (request->tries_path)
			detour_record_try_lost(request->relay->detours->detour);
		relay_detour_record_failure(request, now_us, now_us);
	} else if (result == HTTP_CALL_TIMEOUT && !relay_is_generation(request)) {
		relay_detour_record_failure(request, request->last_progress_us, now_us);
	}
}

void relay_detour_on_silent(struct relay_request *request)
{
	if (!request->attempt.up || request->passed_on || !request->call)
		return;
	if (request->tries_path)
		detour_record_try_lost(request->relay->detours->detour);
	relay_detour_record_failure(request, request->last_progress_us, env_now_us());
}

bool relay_detour_check(struct relay_request *request, uint64_t now_us)
{
	const struct relay_detours *detours = request->relay->detours;
	uint64_t since_us = MAX(request->last_progress_us, detours->resumed_us);
	uint64_t silent_ms = now_us > since_us ? (now_us - since_us) / 1000 : 0;
	bool awaits;

	if (!request->call || !request->attempt.up || request->passed_on || request->stop.asked)
		return false;
	if (!request->connected) {
		if (silent_ms < RELAY_DETOUR_CONNECT_MS)
			return false;
		relay_detour_record_failure(request, request->sent_us, now_us);
		return !request->hedge && request->caller &&
		       now_us >= request->stall_checked_us + RELAY_DETOUR_CONNECT_MS * 1000;
	}
	/* An engine that reads a long prompt says nothing. */
	awaits = request->phase == RELAY_STREAMING ? request->attempt_event_count > 0
						   : !relay_is_generation(request);
	if (awaits && silent_ms >= RELAY_DETOUR_SILENT_MS) {
		if (request->tries_path)
			detour_record_try_lost(request->relay->detours->detour);
		relay_detour_record_failure(request, request->last_progress_us, now_us);
	}
	return false;
}

void relay_detours_tick(struct relay *relay, uint64_t now_us)
{
	struct relay_detours *detours = relay->detours;

	if (now_us > detours->tick_us + RELAY_DETOUR_PAUSE_US)
		detours->resumed_us = now_us;
	detours->tick_us = now_us;
	relay_detour_update(relay, now_us);
}

/* helpers: the choice of a peer */

static void relay_detour_add_peer(void *ctx, const char *address, const char *zone,
				  uint32_t distance)
{
	GArray *peers = ctx;
	struct detour_peer peer = { .address = address, .zone = zone, .distance = distance };

	g_array_append_val(peers, peer);
}

/* Returns the address of the callers' port of a peer: the ports are the same everywhere. */
static char *relay_detour_callers_address(const struct env *env, const char *bus_address)
{
	g_autofree char *host = NULL;
	g_autofree char *own_host = NULL;
	uint16_t bus_port;
	uint16_t port;

	if (!gateway_settings_split_address(bus_address, &host, &bus_port) ||
	    !gateway_settings_split_address(env->settings->callers, &own_host, &port))
		return NULL;
	return g_strdup_printf("%s:%u", host, port);
}

/* Selects a peer and adds it to those that were tried. Returns the address of its port, or NULL
 * when there is none. @param any set if there are peers at all */
static char *relay_detour_next_peer(struct relay_request *request, bool *any)
{
	struct relay_detours *detours = request->relay->detours;
	struct env *env = request->relay->env;
	struct relay_detour *detour = request->detour;
	g_autoptr(GArray) peers = g_array_new(FALSE, FALSE, sizeof(struct detour_peer));
	const struct detour_peer *peer;
	int32_t index;

	*any = false;
	if (!detours->exchange || detour->count == DETOUR_MAX_PEERS)
		return NULL;
	peer_exchange_each_live_peer(detours->exchange, relay_detour_add_peer, peers);
	*any = peers->len > 0;
	index = detour_select(detours->detour, (const struct detour_peer *)(void *)peers->data,
			      peers->len, (const char *const *)detour->addresses,
			      (const char *const *)detour->zones, detour->count,
			      request->service_name, g_rand_int(env->rand), env_now_us());
	if (index == DETOUR_NONE)
		return NULL;
	peer = &g_array_index(peers, struct detour_peer, index);
	detour->addresses[detour->count] = g_strdup(peer->address);
	detour->zones[detour->count++] = g_strdup(peer->zone);
	return relay_detour_callers_address(env, peer->address);
}

/* Returns the peer that has the request. */
static struct detour_peer relay_detour_current(const struct relay_request *request)
{
	const struct relay_detour *detour = request->detour;

	return (struct detour_peer){ .address = detour->addresses[detour->count - 1],
				     .zone = detour->zones[detour->count - 1] };
}

/* helpers: passing on */

static void relay_detour_reset_response(struct relay_request *request)
{
	struct relay_detour *detour = request->detour;

	detour->answered = false;
	detour->not_run = false;
	detour->no_path = false;
	detour->timed_out = false;
	detour->passes = false;
	detour->sent_us = env_now_us();
	request->response_body = buffer_clear(request->response_body);
	g_string_truncate(request->response_headers, 0);
	request->status = 0;
	request->phase = RELAY_SENT;
	request->discard = false;
	request->discarded_bytes = 0;
	request->invalid_response = false;
	request->not_run = false;
	request->withheld = false;
	request->stream = false;
	request->unframed = false;
	request->first_attempt = false;
	request->tries_path = false;
	request->attempt_event_count = 0;
	request->sent_us = detour->sent_us;
	request->last_progress_us = detour->sent_us;
	g_clear_pointer(&request->attempt_upstream_id, g_free);
}

static void relay_detour_start(struct relay_request *request, const char *address)
{
	struct env *env = request->relay->env;
	uint64_t left_ms = relay_time_left_ms(request);
	g_autofree char *runs = g_strdup_printf("%u", request->attempt_count);
	g_autofree char *left = g_strdup_printf("%" G_GUINT64_FORMAT, left_ms);
	g_autofree char *headers =
		env->protocol->encode_passed_on(&request->decoded, left_ms, request->attempt_count);
	size_t body_len;
	const char *body = http_req_body(request->caller, &body_len);
	struct http_call_request req = {
		.address = address,
		.scope = RELAY_DETOUR_SCOPE,
		.host = http_req_host(request->caller),
		.method = http_req_method(request->caller),
		.path = http_req_target(request->caller),
		.headers = headers,
		.body = body,
		.body_len = body_len,
		.timeout_ms = left_ms + RELAY_DEADLINE_SLACK_MS,
		.connect_timeout_ms = RELAY_DETOUR_CONNECT_MS,
		/* A peer that stops closes idle connections, perhaps under the request. */
		.new_connection = !route_allows_rerun(request->route),
		.id = request->decoded.id,
	};

	relay_detour_reset_response(request);
	request->passed_on = true;
	metric_add(env->metric, METRIC_PASSED_ON, 1);
	log_event(LOG_PASSED_ON, "request", relay_request_id(request), "route",
		  relay_route_name(request), "peer", relay_detour_current(request).address, "zone",
		  relay_detour_current(request).zone, "left_ms", left, "runs", runs, NULL);
	request->call = http_call_start(env->http_client, &req, &relay_detour_ops, request);
}

/* Refuses a request that no peer serves. */
static void relay_detour_refuse(struct relay_request *request)
{
	const struct relay_detour *detour = request->detour;
	uint32_t retry_ms = detour ? detour->retry_after_ms : 0;

	if (request->may_have_run)
		relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, "no-path");
	else
		relay_reply_error(request, ERR_NO_UPSTREAM,
				  MAX(retry_ms, relay_retry_after_ms(request)), "no-path");
}

/* Sends a request to the next peer. Without one it is refused if the path is lost. Returns false
 * when it is left to the upstreams. */
static bool relay_detour_try_next(struct relay_request *request)
{
	bool any;
	g_autofree char *address = NULL;

	if (request->detour->refusals < RELAY_DETOUR_REFUSALS &&
	    relay_time_left_ms(request) > RELAY_DETOUR_MIN_LEFT_MS)
		address = relay_detour_next_peer(request, &any);
	else
		any = true;
	if (address) {
		relay_detour_start(request, address);
		return true;
	}
	request->detour->exhausted = true;
	if (!any || !detour_is_lost(request->relay->detours->detour))
		return false;
	relay_detour_refuse(request);
	return true;
}

/* helpers: the call to a peer */

static bool relay_detour_on_connected(void *ctx)
{
	return relay_key_is_valid(ctx);
}

static bool relay_detour_owns_response(void *ctx, const struct http_response_head *head)
{
	const struct relay_request *request = ctx;

	return request->relay->env->protocol->owns(head, request->decoded.id);
}

static uint32_t relay_detour_retry_after_ms(const struct http_response_head *head)
{
	g_autofree char *text = http_response_dup_header(head, "retry-after");
	double seconds = text ? g_ascii_strtod(text, NULL) : 0.0;

	/* The comparison is false for NaN. */
	return seconds > 0.0 ? (uint32_t)MIN(seconds * 1000.0, RELAY_DETOUR_MAX_RETRY_MS) : 0;
}

static void relay_detour_on_head(void *ctx, const struct http_response_head *head)
{
	struct relay_request *request = ctx;
	struct relay_detour *detour = request->detour;
	const struct protocol_ops *protocol = request->relay->env->protocol;

	request->last_progress_us = env_now_us();
	request->status = http_response_status(head);
	if (protocol->classify_answer(head) == PROTOCOL_ANSWERED) {
		detour->answered = true;
	} else {
		switch (request->status) {
		case 408:
		case 421:
		case 429:
		case 503:
			detour->not_run = true;
			detour->no_path = protocol->decode_no_path(head);
			detour->retry_after_ms = relay_detour_retry_after_ms(head);
			break;
		case 504:
			detour->timed_out = true;
			break;
		default:
			/* Other refusals of the peer hold here as well. */
			detour->answered = request->status / 100 == 4;
			break;
		}
	}
	if (!detour->answered || !request->caller) {
		request->discard = true;
		return;
	}
	http_response_each_header(head, relay_store_header, request->response_headers);
	request->phase = RELAY_BUFFERING;
	detour->passes = http_response_has_body(head) && http_response_body_length(head) < 0;
	if (!detour->passes)
		return;
	request->phase = RELAY_STREAMING;
	relay_start_response(request);
	http_req_stream_begin(request->caller, request->status, NULL);
}

static void relay_detour_on_data(void *ctx, const char *buf, size_t len)
{
	struct relay_request *request = ctx;

	/* The body of a refusal is short; what is not needed of it is dropped. */
	if (!request->discard)
		relay_process_data(request, buf, len);
	else
		request->last_progress_us = env_now_us();
}

static enum relay_detour_end relay_detour_judge(const struct relay_detour *detour,
						enum http_call_result result, bool sent)
{
	if (!sent)
		return RELAY_DETOUR_NOT_SENT;
	if (detour->not_run)
		return detour->no_path ? RELAY_DETOUR_NO_PATH : RELAY_DETOUR_REFUSED;
	return detour->answered && result == HTTP_CALL_OK ? RELAY_DETOUR_SERVED
							  : RELAY_DETOUR_FAILED;
}

/* Counts and logs the end of a call to a peer, and what it says of the peer. */
static void relay_detour_record_end(struct relay_request *request, enum relay_detour_end end)
{
	struct relay *relay = request->relay;
	struct detour *detour = relay->detours->detour;
	struct detour_peer peer = relay_detour_current(request);
	uint64_t now_us = env_now_us();
	g_autofree char *status = g_strdup_printf("%u", request->status);
	g_autofree char *age =
		g_strdup_printf("%" G_GUINT64_FORMAT, (now_us - request->detour->sent_us) / 1000);

	if (end == RELAY_DETOUR_SERVED)
		detour_record_peer_served(detour, &peer, request->service_name);
	else if (end == RELAY_DETOUR_NO_PATH)
		detour_record_peer_no_path(detour, &peer, request->service_name, now_us);
	else if (end == RELAY_DETOUR_NOT_SENT ||
		 (end == RELAY_DETOUR_FAILED && request->status == 0))
		detour_record_peer_failed(detour, &peer, now_us);
	request->detour->refusals += end == RELAY_DETOUR_REFUSED;
	if (end == RELAY_DETOUR_FAILED)
		metric_add(relay->env->metric, METRIC_PASSED_ON_FAILED, 1);
	else if (end != RELAY_DETOUR_SERVED)
		metric_add(relay->env->metric, METRIC_PASSED_ON_REFUSED, 1);
	log_event(LOG_PASSED_ON_ENDED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "peer", peer.address, "zone", peer.zone, "outcome",
		  relay_detour_end_names[end], "status", status, "age_ms", age, NULL);
}

static void relay_detour_on_call_end(void *ctx, enum http_call_result result, bool sent)
{
	struct relay_request *request = ctx;
	struct relay_detour *detour = request->detour;
	enum relay_detour_end end = relay_detour_judge(detour, result, sent);

	request->call = NULL;
	request->passed_on = false;
	if (!sent && request->caller && !relay_key_is_valid(request)) {
		relay_refuse_key(request);
		return;
	}
	relay_detour_record_end(request, end);
	if (!request->caller) {
		relay_log_end(request, LOG_REQUEST_CALLER_LEFT, relay_detour_end_names[end]);
		relay_request_free(request);
		return;
	}
	switch (end) {
	case RELAY_DETOUR_SERVED:
		if (request->response_started) {
			if (request->response_body->len > 0)
				http_req_stream_write(request->caller, request->response_body->str,
						      request->response_body->len);
			relay_finish_streamed(request);
		} else {
			relay_deliver_buffered(request);
		}
		break;
	case RELAY_DETOUR_FAILED:
		if (request->response_started) {
			relay_abort_response(request, "peer-broken");
			break;
		}
		request->attempt_count++;
		request->relay->on_attempt_end(
			request, result == HTTP_CALL_TIMEOUT || detour->timed_out ? ATTEMPT_SILENT
										  : ATTEMPT_BROKEN);
		break;
	default:
		if (!relay_detour_try_next(request))
			request->relay->on_attempt_end(request, ATTEMPT_NOT_SENT);
		break;
	}
}

/* requests */

bool relay_detour_is_due(struct relay_request *request, bool unreachable)
{
	const struct relay *relay = request->relay;
	struct dispatch_need need;

	if (request->response_started || !request->caller ||
	    (request->detour && request->detour->exhausted) || !relay->detours->exchange)
		return false;
	if (detour_is_lost(relay->detours->detour) ||
	    request->unsent_count >= RELAY_DETOUR_UNSENT_COUNT)
		return true;
	if (unreachable) {
		request->unsent_count = MAX(request->unsent_count, RELAY_DETOUR_UNSENT_COUNT);
		return true;
	}
	need = relay_dispatch_need(request);
	return dispatch_all_suspended(relay->dispatch, &need);
}

/* Passes on or refuses a request that is due. Returns false when it is left to the upstreams. */
static bool relay_detour_pass_on(struct relay_request *request)
{
	if (request->decoded.passed_on) {
		metric_add(request->relay->env->metric, METRIC_TAKEN_OVER_REFUSED, 1);
		request->relay->env->protocol->mark_no_path(request->caller);
		relay_detour_refuse(request);
		return true;
	}
	if (!request->detour)
		request->detour = g_new0(struct relay_detour, 1);
	return relay_detour_try_next(request);
}

bool relay_detour_send(struct relay_request *request)
{
	struct detour *detour = request->relay->detours->detour;

	request->tries_path = false;
	if (!relay_detour_is_due(request, false))
		return false;
	if (detour_is_lost(detour) && !request->may_have_run && request->unsent_count == 0 &&
	    !request->decoded.passed_on &&
	    detour_may_try(detour, route_allows_rerun(request->route), env_now_us())) {
		request->tries_path = true;
		return false;
	}
	return relay_detour_pass_on(request);
}

bool relay_detour_send_queued(struct relay_request *request)
{
	if (!relay_detour_is_due(request, false))
		return false;
	dispatch_dequeue(request->relay->dispatch, request->queued);
	request->queued = NULL;
	if (relay_detour_pass_on(request))
		return true;
	request->relay->on_attempt_end(request, ATTEMPT_NOT_SENT);
	return true;
}

bool relay_detour_end_try(struct relay_request *request)
{
	if (!request->tries_path)
		return false;
	request->tries_path = false;
	return relay_detour_pass_on(request);
}

uint64_t relay_detour_answer_ms(const struct relay_request *request, uint64_t answer_ms)
{
	return detour_is_lost(request->relay->detours->detour)
		       ? MIN(answer_ms, RELAY_DETOUR_ANSWER_MS)
		       : answer_ms;
}

json_t *relay_detours_json(const struct relay *relay)
{
	const struct relay_detours *detours = relay->detours;
	bool lost = detour_is_lost(detours->detour);

	return json_pack("{s:b, s:I, s:i}", "lost", lost, "lost_ms",
			 (json_int_t)(lost ? (env_now_us() - detours->lost_us) / 1000 : 0),
			 "failed_upstreams", (int)detour_failed_count(detours->detour));
}
