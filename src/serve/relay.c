#include "relay.h"

#include "cold_start.h"
#include "crash_guard.h"
#include "limit_exchange.h"
#include "relay_attempt.h"
#include "relay_detour.h"
#include "relay_hedge.h"
#include "relay_migrate.h"
#include "relay_state.h"
#include "stream_version.h"

#include "flamingolatch/hedge.h"
#include "flamingolatch/quarantine.h"

/* Time to answer a request that has no deadline. */
#define RELAY_DEFAULT_DEADLINE_MS 60000
/* With less time left an attempt cannot be answered before the deadline. */
#define RELAY_MIN_ATTEMPT_MS 20
/* Limit of the bytes buffered for all open requests together. */
#define RELAY_BUFFERS_MAX_BYTES (16ULL << 20)
/* Limit on the expected delay that is added to Retry-After; longer estimates are unreliable. */
#define RELAY_MAX_EXTRA_RETRY_AFTER_MS 3000
/* Longest duration of a call to a healthy upstream. */
#define RELAY_MAX_CALL_MS 1500
/* Time per output token of an engine with a full batch. */
#define RELAY_TOKEN_MS 13
/* Shortest time between two searches for an engine that takes over from a stalled one. */
#define RELAY_STALL_CHECK_MS 100
/* Longest time to be left alone that callers are told. */
#define RELAY_MAX_QUIET_MS 3600000

static void relay_on_caller_gone(void *ctx);
static void relay_on_caller_drained(void *ctx);
static void relay_on_granted(void *ctx, struct fleet_upstream *up,
			     const struct dispatch_decision *decision);
static void relay_place(struct relay_request *request);
static void relay_on_attempt_end(struct relay_request *request, enum attempt_outcome outcome);

/* lifetime */

static void relay_destroy_hedge(gpointer data)
{
	hedge_destroy(data);
}

struct relay *relay_create(struct env *env, struct dispatch *dispatch)
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->env = env;
	relay->dispatch = dispatch;
	relay->on_attempt_end = relay_on_attempt_end;
	relay->buffers.max_bytes = RELAY_BUFFERS_MAX_BYTES;
	g_queue_init(&relay->requests);
	relay->length_estimates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay->hedges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, relay_destroy_hedge);
	relay->detours = relay_detours_create();
	return relay;
}

void relay_destroy(struct relay *relay)
{
	if (!relay)
		return;
	while (relay->requests.head)
		relay_request_free(relay->requests.head->data);
	relay_cancel_releases(relay);
	g_hash_table_destroy(relay->length_estimates);
	g_hash_table_destroy(relay->hedges);
	relay_detours_destroy(relay->detours);
	g_free(relay);
}

/* helpers: routing */

/* Finds the route, authenticates the customer. Returns false when the request was answered with
 * an error. */
static bool relay_match_route(struct relay_request *request)
{
	struct env *env = request->relay->env;
	bool fresh = env_keys_fresh(env);
	enum err_kind kind = ERR_OK;

	if (!env->config) {
		relay_reply_error(request, ERR_NOT_READY, 500, "no-configuration");
		return false;
	}
	if (!fleet_knows_evacuated(env->fleet)) {
		relay_reply_error(request, ERR_NOT_READY, 500, "zones-unknown");
		return false;
	}
	request->config = route_config_ref(env->config);
	request->route = route_config_match(request->config, http_req_host(request->caller),
					    http_req_target(request->caller));
	if (!request->route)
		kind = ERR_NOT_FOUND;
	else if (!request->route->is_public && route_config_has_customers(request->config)) {
		request->customer =
			request->decoded.key
				? route_config_find_customer(request->config, request->decoded.key)
				: NULL;
		if (!request->customer)
			kind = ERR_UNAUTHENTICATED;
	}
	/* A newer configuration may allow what this stale one denies, or deny what it allows. */
	if (!fresh && (kind != ERR_OK || request->customer))
		kind = ERR_UNCONFIRMED;
	if (kind == ERR_OK)
		return true;
	if (kind == ERR_UNCONFIRMED)
		http_req_close_after_response(request->caller);
	relay_reply_error(request, kind,
			  kind == ERR_UNCONFIRMED ? relay_retry_after_ms(request) : 0,
			  err_info(kind)->name);
	return false;
}

/* Returns how long an upstream is expected to need for the request, in ms. */
static uint64_t relay_expected_ms(const struct relay_request *request)
{
	return RELAY_MAX_CALL_MS + (relay_is_generation(request)
					    ? request->expected_output_tokens * RELAY_TOKEN_MS
					    : 0);
}

/* Refuses a request that has not run and could be cut by the exit of the process. Returns true when
 * it was refused. */
static bool relay_refuse_if_stopping(struct relay_request *request)
{
	const struct env *env = request->relay->env;

	if (request->may_have_run ||
	    planned_stop_accepts(&env->stop, request->deadline_us + RELAY_DEADLINE_SLACK_MS * 1000,
				 relay_expected_ms(request) * 1000, env_now_us()))
		return false;
	metric_add(env->metric, METRIC_STOP_REFUSED, 1);
	http_req_close_after_response(request->caller);
	relay_reply_error(request, ERR_NOT_READY, RELAY_MIN_RETRY_AFTER_MS, "stopping");
	return true;
}

/* helpers: placement */

static void relay_log_placed(const struct relay_request *request, const struct fleet_upstream *up,
			     const struct dispatch_decision *decision)
{
	g_autofree char *candidates = g_strdup_printf("%u", decision->candidates);
	g_autofree char *load = g_strdup_printf("%" G_GUINT64_FORMAT, decision->load);
	g_autofree char *waited = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(request));
	g_autofree char *version =
		g_strdup_printf("%" G_GUINT64_FORMAT, route_config_version(request->config));
	g_autofree char *prompt =
		g_strdup_printf("%" G_GUINT64_FORMAT, request->decoded.prompt_tokens);
	g_autofree char *output = g_strdup_printf(
		"%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
		request->expected_output_tokens, request->decoded.hinted_output_tokens,
		request->decoded.max_output_tokens);

	log_event(LOG_REQUEST_PLACED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "customer",
		  request->customer ? request->customer->name : "-", "upstream",
		  fleet_upstream_id(up), "version", fleet_upstream_software_version(up), "state",
		  fleet_upstream_state_name(fleet_upstream_state(up)), "candidates", candidates,
		  "load", load, "waited_ms", waited, "config", version, "prompt", prompt, "output",
		  output, "backup",
		  request->backup.up ? fleet_upstream_id(request->backup.up) : "-", "last_event",
		  relay_last_event_id(request), "resumes",
		  request->decoded.resumes_id ? request->decoded.resumes_id : "-", NULL);
}

/* Returns the software versions of the listed upstreams of the request's service, separated by
 * commas. */
static char *relay_dup_listed_versions(const struct relay_request *request)
{
	const GPtrArray *ups =
		fleet_service_upstreams(request->relay->env->fleet, request->service_name);
	g_autoptr(GPtrArray) versions = g_ptr_array_new();

	for (guint i = 0; i < ups->len; i++) {
		const char *version = fleet_upstream_software_version(ups->pdata[i]);

		if (!g_ptr_array_find_with_equal_func(versions, version, g_str_equal, NULL))
			g_ptr_array_add(versions, (gpointer)version);
	}
	g_ptr_array_add(versions, NULL);
	return g_strjoinv(",", (char **)versions->pdata);
}

/* Logs that the caller takes up a stream that another answer began.
 * @param origin where the stream began; NULL: it is not known
 * @param lookup_us age of what shows it */
static void relay_log_taken_up(const struct relay_request *request,
			       const struct stream_origin *origin,
			       enum stream_version_source source, uint64_t lookup_us)
{
	g_autofree char *versions = relay_dup_listed_versions(request);
	uint64_t age_us = freshness_age_us(&request->relay->env->freshness, env_boot_us());
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, age_us / 1000);
	g_autofree char *lookup = g_strdup_printf("%" G_GUINT64_FORMAT, lookup_us / 1000);

	log_event(LOG_STREAM_TAKEN_UP, "request", relay_request_id(request), "route",
		  relay_route_name(request), "last_event", request->decoded.last_event_id,
		  "resumes", request->decoded.resumes_id ? request->decoded.resumes_id : "-",
		  "versions", versions, "view_age_ms", age, "service",
		  origin ? origin->service : "-", "version", origin ? origin->version : "-",
		  "source", stream_version_source_name(source), "lookup_ms", lookup, NULL);
}

static void relay_count_admission_refusal(const struct relay_request *request,
					  enum metric_counter reason)
{
	if (request->admission != ADMISSION_NONE)
		metric_add(request->relay->env->metric, reason, 1);
}

/* Refuses a generation whose first event would be late. */
static void relay_refuse_late(struct relay_request *request, uint32_t late_ms)
{
	relay_count_admission_refusal(request, METRIC_ADMISSION_LATE);
	relay_reply_error(
		request, ERR_OVERLOADED,
		relay_room_retry_after_ms(request, MIN(late_ms, RELAY_MAX_EXTRA_RETRY_AFTER_MS)),
		"would-be-late");
}

/* Queues a generation until an engine has room, or refuses it when the queue is full, its deadline
 * is too near or its first event would be late. */
static void relay_enqueue(struct relay_request *request, const struct dispatch_need *need,
			  uint32_t late_ms)
{
	const struct gateway_load_settings *load = &request->relay->env->settings->load;
	uint32_t queue_length = dispatch_queue_length(request->relay->dispatch);
	/* A stream that was started cannot be refused, so it waits anew. */
	uint64_t since_us = request->response_started ? env_now_us() : request->arrived_us;
	g_autofree char *ahead = g_strdup_printf("%u", queue_length);

	if (queue_length >= load->wait_limit ||
	    relay_time_left_ms(request) < RELAY_MIN_ATTEMPT_MS) {
		relay_count_admission_refusal(request, METRIC_ADMISSION_FULL);
		relay_reply_error(request, ERR_OVERLOADED, relay_room_retry_after_ms(request, 0),
				  "queue-full");
		return;
	}
	/* Queueing does not help when all engines have too much prefill work. */
	if (late_ms) {
		relay_refuse_late(request, late_ms);
		return;
	}
	request->phase = RELAY_QUEUED;
	request->queue_deadline_us =
		MIN(since_us + relay_queue_wait_ms(request) * 1000ULL, request->deadline_us);
	log_event(LOG_REQUEST_QUEUED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "ahead", ahead, NULL);
	request->queued = dispatch_enqueue(request->relay->dispatch, need, relay_priority(request),
					   relay_on_granted, request);
}

/* Refuses a request that may crash upstreams. */
static void relay_refuse_harmful(struct relay_request *request, uint32_t left_ms,
				 const char *reason)
{
	metric_add(request->relay->env->metric, METRIC_QUARANTINE_REFUSED, 1);
	if (request->may_have_run || request->call)
		relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, reason);
	else
		relay_reply_error(request, ERR_QUARANTINED, left_ms, reason);
}

/* Refuses a request that is quarantined, or a part of its prompt. Returns true when it was refused.
 */
static bool relay_refuse_if_quarantined(struct relay_request *request)
{
	uint32_t left_ms = 0;

	if (!crash_guard_find(request->relay->env->crash_guard, &request->decoded,
			      request->fingerprint, &left_ms))
		return false;
	relay_refuse_harmful(request, left_ms, "quarantined");
	return true;
}

/* Refuses a request that must not go to an upstream now. Returns true when it was refused. */
static bool relay_refuse_if_barred(struct relay_request *request)
{
	uint32_t held_ms;

	if (relay_refuse_if_quarantined(request))
		return true;
	held_ms = crash_guard_held_ms(request->relay->env->crash_guard, request->fingerprint);
	if (held_ms)
		relay_refuse_harmful(request, held_ms + relay_retry_after_ms(request), "held-back");
	return held_ms > 0;
}

/* Refuses a request that no upstream takes now because of the limits that they name, or have while
 * they are cold. */
static void relay_refuse_limited(struct relay_request *request)
{
	struct env *env = request->relay->env;
	uint32_t return_ms =
		MIN(limit_exchange_return_ms(env->limit_exchange, request->service_name),
		    cold_start_return_ms(env->cold_start, request->service_name));

	metric_add(env->metric, METRIC_LIMIT_REFUSED, 1);
	relay_reply_error(request, ERR_OVERLOADED, MAX(return_ms, relay_retry_after_ms(request)),
			  "upstream-limit");
}

/* Refuses a request that has not run when all upstreams of its service are in evacuated zones, as
 * it is not known when one of these returns, or when the zones are in doubt. Returns true when it
 * was refused. */
static bool relay_refuse_if_evacuated(struct relay_request *request)
{
	struct relay *relay = request->relay;
	struct dispatch_need need = relay_dispatch_need(request);
	bool doubted = env_doubts_zones(relay->env);

	if (request->may_have_run || (!doubted && !dispatch_is_evacuated(relay->dispatch, &need)))
		return false;
	metric_add(relay->env->metric, METRIC_EVACUATION_REFUSED, 1);
	relay_reply_error(request, ERR_NO_UPSTREAM, relay_retry_after_ms(request),
			  doubted ? "zones-unconfirmed" : "evacuated");
	return true;
}

/* Tells whether a generation can wait in the queue until the first upstream may be asked again. */
static bool relay_outlasts_quiet(const struct relay_request *request, uint64_t quiet_us)
{
	return relay_age_ms(request) * 1000 + quiet_us <
	       request->relay->env->settings->load.wait_ms * 1000;
}

/* Refuses a request whose upstreams have all asked to be left alone. The callers are invited back
 * after the first end, over a time that grows with it. */
static void relay_refuse_quiet(struct relay_request *request, uint64_t quiet_us)
{
	struct env *env = request->relay->env;
	uint32_t quiet_ms = (uint32_t)MIN(quiet_us / 1000, RELAY_MAX_QUIET_MS);

	metric_add(env->metric, METRIC_QUIET_REFUSED, 1);
	relay_reply_error(
		request, ERR_OVERLOADED,
		quiet_ms + relay_retry_after_ms(request) +
			(uint32_t)g_rand_int_range(env->rand, 0, (gint32)(quiet_ms / 4) + 1),
		"upstreams-quiet");
}

/* Tells whether a call has to wait for upstreams that are left alone, or behind calls that do. */
static bool relay_waits_for_quiet(const struct relay_request *request,
				  const struct dispatch_need *need)
{
	struct dispatch *dispatch = request->relay->dispatch;

	return !relay_is_generation(request) && !request->may_have_run &&
	       (dispatch_queued_calls(dispatch, request->service_name) ||
		dispatch_is_held_back(dispatch, need));
}

/* Queues a call until its upstreams take it, or refuses it when it would be answered too late. */
static void relay_enqueue_call(struct relay_request *request, const struct dispatch_need *need)
{
	struct dispatch *dispatch = request->relay->dispatch;
	g_autofree char *ahead =
		g_strdup_printf("%u", dispatch_queued_calls(dispatch, request->service_name));

	if (!dispatch_call_fits(dispatch, need, relay_priority(request), request->deadline_us)) {
		relay_refuse_quiet(request, dispatch_quiet_us(dispatch, need));
		return;
	}
	request->phase = RELAY_QUEUED;
	request->queue_deadline_us = request->deadline_us;
	log_event(LOG_REQUEST_QUEUED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "ahead", ahead, NULL);
	request->queued = dispatch_enqueue_call(dispatch, need, relay_priority(request),
						request->deadline_us, relay_on_granted, request);
}

/* Returns why a request has no upstream, for the log. */
static const char *relay_no_upstream_reason(struct relay_request *request)
{
	struct dispatch_need need = relay_dispatch_need(request);

	if (dispatch_all_suspended(request->relay->dispatch, &need))
		return "all-suspended";
	need = (struct dispatch_need){ .service = request->service_name };
	if (!dispatch_has_upstream(request->relay->dispatch, &need))
		return "no-upstream";
	need.software_version = request->software_version;
	return dispatch_has_upstream(request->relay->dispatch, &need) ? "no-allowed-upstream"
								      : "no-upstream-of-version";
}

static void relay_place(struct relay_request *request)
{
	struct dispatch *dispatch = request->relay->dispatch;
	struct dispatch_need need = relay_dispatch_need(request);
	struct dispatch_decision decision = { 0 };
	struct fleet_upstream *up;
	uint64_t quiet_us = dispatch_quiet_us(dispatch, &need);

	/* The key may have been revoked since an earlier attempt. */
	if (!relay_key_is_valid(request)) {
		relay_refuse_key(request);
		return;
	}
	if (relay_refuse_if_stopping(request) || relay_refuse_if_barred(request) ||
	    relay_refuse_if_evacuated(request) || relay_detour_send(request))
		return;
	need.ignore_suspended = request->tries_path;
	if (quiet_us && relay_is_generation(request) && !request->may_have_run &&
	    !relay_outlasts_quiet(request, quiet_us)) {
		relay_refuse_quiet(request, quiet_us);
		return;
	}
	if (relay_is_generation(request)) {
		/* Queued generations go first. */
		up = dispatch_has_queued_before(dispatch, &need)
			     ? NULL
			     : dispatch_select_engine(dispatch, &need, &decision);
		if (!up && relay_detour_end_try(request))
			return;
		if (!up && dispatch_has_upstream(dispatch, &need)) {
			relay_enqueue(request, &need, decision.late_ms);
			return;
		}
	} else {
		/* Queued calls go first. */
		up = dispatch_queued_calls(dispatch, request->service_name) &&
				     !request->may_have_run
			     ? NULL
			     : dispatch_select_plain(dispatch, &need, &decision);
		if (!up && relay_detour_end_try(request))
			return;
		if (!up && relay_waits_for_quiet(request, &need)) {
			relay_enqueue_call(request, &need);
			return;
		}
	}
	if (!up) {
		if (request->may_have_run)
			relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, "no-other-upstream");
		else if (quiet_us)
			relay_refuse_quiet(request, quiet_us);
		else if (dispatch_is_limited(dispatch, &need))
			relay_refuse_limited(request);
		else
			relay_reply_error(request, ERR_NO_UPSTREAM, relay_retry_after_ms(request),
					  relay_no_upstream_reason(request));
		return;
	}
	relay_start_attempt(request, up, NULL, NULL);
	relay_log_placed(request, up, &decision);
}

/* Sends a request that resumes a stream to the service at which it began. @return false when its
 * route no longer does so */
static bool relay_bind_service(struct relay_request *request, const char *service)
{
	const char *name = route_find_target(request->route, service);

	if (!name)
		return false;
	request->service_name = name;
	request->service = route_config_find_service(request->config, name);
	return request->service != NULL;
}

/* Goes on with a request that resumes a stream, or refuses it. */
static void relay_follow_lookup(struct relay_request *request, const struct stream_origin *origin,
				enum stream_version_source source, uint64_t age_us)
{
	relay_log_taken_up(request, origin, source, age_us);
	if (!origin || !relay_bind_service(request, origin->service)) {
		metric_add(request->relay->env->metric, METRIC_STREAM_LOOKUPS_FAILED, 1);
		relay_reply_error(request, ERR_NO_UPSTREAM, relay_retry_after_ms(request),
				  "stream-version-unknown");
		return;
	}
	request->software_version = g_strdup(origin->version);
	relay_place(request);
}

static void relay_on_version(void *ctx, const struct stream_origin *origin,
			     enum stream_version_source source, uint64_t age_us)
{
	struct relay_request *request = ctx;

	request->version_query = NULL;
	relay_follow_lookup(request, origin, source, age_us);
}

/* Finds the software version at which the stream that the caller resumes began. */
static void relay_look_up_version(struct relay_request *request)
{
	struct stream_version *versions = request->relay->env->stream_version;
	const char *id = request->decoded.resumes_id;
	struct stream_origin origin;

	if (id && stream_version_find(versions, id, &origin)) {
		relay_follow_lookup(request, &origin, STREAM_VERSION_OWN, 0);
		return;
	}
	request->phase = RELAY_LOOKUP;
	request->version_query =
		stream_version_ask(versions, request->service_name, id, relay_on_version, request);
}

static void relay_on_granted(void *ctx, struct fleet_upstream *up,
			     const struct dispatch_decision *decision)
{
	struct relay_request *request = ctx;
	struct dispatch_need need = relay_dispatch_need(request);

	request->queued = NULL;
	if (!up && relay_refuse_if_evacuated(request))
		return;
	if (!up && decision->late_ms > 0) {
		relay_refuse_late(request, decision->late_ms);
		return;
	}
	if (!up) {
		relay_refuse_quiet(request, dispatch_quiet_us(request->relay->dispatch, &need));
		return;
	}
	metric_observe(request->relay->env->metric, METRIC_QUEUE_US,
		       env_now_us() - request->arrived_us);
	/* The key may have been revoked while the request was queued. */
	if (!relay_key_is_valid(request)) {
		relay_refuse_key(request);
		return;
	}
	if (relay_refuse_if_stopping(request) || relay_refuse_if_barred(request) ||
	    relay_refuse_if_evacuated(request))
		return;
	relay_start_attempt(request, up, NULL, NULL);
	relay_log_placed(request, up, decision);
}

/* helpers: end of an attempt */

static void relay_log_attempt_end(const struct relay_request *request, enum attempt_outcome outcome,
				  enum attempt_action action)
{
	g_autofree char *attempts = g_strdup_printf("%u", request->attempt_count);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(request));
	g_autofree char *events =
		g_strdup_printf("%" G_GUINT64_FORMAT, request->attempt_event_count);
	g_autofree char *parts = relay_dup_prompt_parts(request);
	g_autofree char *fingerprint =
		g_strdup_printf("%" G_GINT64_MODIFIER "x", request->fingerprint);

	log_event(LOG_ATTEMPT_FAILED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "upstream", relay_upstream_id(request), "outcome",
		  attempt_outcome_name(outcome), "action", attempt_action_name(action), "runs",
		  attempts, "attempt_events", events, "prompt_parts", parts, "fingerprint",
		  fingerprint, "age_ms", age, NULL);
}

/* Returns what attempt_decide() has to know of an attempt that ended, or would be given up.
 * @param upstream_available whether another upstream is there */
static struct attempt_summary relay_summarize(struct relay_request *request,
					      enum attempt_outcome outcome, bool upstream_available)
{
	return (struct attempt_summary){
		.outcome = outcome,
		/* Of the answers that were started, only a stream of events can go on. */
		.idempotent = route_allows_rerun(request->route) &&
			      (!request->response_started || request->events),
		.answer_started = request->response_started,
		.may_have_run = request->may_have_run,
		/* An attempt that made no event has left no copy to go on from. */
		.has_kv_copy = relay_has_backup(request) &&
			       !(request->from_copy && request->attempt_event_count == 0),
		.executions = request->attempt_count,
		.max_executions = request->route->max_attempts,
		.time_left = relay_time_left_ms(request) > RELAY_MIN_ATTEMPT_MS,
		.upstream_available = upstream_available,
		.suspect = request->attempt_event_count < QUARANTINE_PROGRESS_EVENTS &&
			   crash_guard_is_suspect(request->relay->env->crash_guard,
						  &request->decoded, request->fingerprint),
		.budget_left = true,
	};
}

/* Does what was decided after an attempt. */
static void relay_follow_attempt(struct relay_request *request, enum attempt_outcome outcome,
				 enum attempt_action action)
{
	struct dispatch_need need;
	uint64_t quiet_us;

	relay_log_attempt_end(request, outcome, action);
	if (outcome == ATTEMPT_BROKEN || outcome == ATTEMPT_SILENT || outcome == ATTEMPT_ERROR)
		request->may_have_run = true;
	switch (action) {
	case ATTEMPT_ACTION_DELIVER:
		relay_deliver_buffered(request);
		break;
	case ATTEMPT_ACTION_RETRY:
		metric_add(request->relay->env->metric, METRIC_RETRIES, 1);
		relay_cancel_attempt(request);
		relay_place(request);
		break;
	case ATTEMPT_ACTION_RESUME:
		relay_resume_from_backup(request, attempt_outcome_name(outcome));
		break;
	case ATTEMPT_ACTION_REFUSE:
		if (relay_refuse_if_evacuated(request))
			break;
		need = relay_dispatch_need(request);
		quiet_us = dispatch_quiet_us(request->relay->dispatch, &need);
		if (quiet_us)
			relay_refuse_quiet(request, quiet_us);
		else
			relay_reply_error(request, ERR_OVERLOADED, relay_retry_after_ms(request),
					  attempt_outcome_name(outcome));
		break;
	case ATTEMPT_ACTION_FAIL:
		relay_reply_error(request,
				  outcome == ATTEMPT_SILENT ? ERR_TIMED_OUT : ERR_OUTCOME_UNKNOWN,
				  0, attempt_outcome_name(outcome));
		break;
	default:
		relay_abort_response(request, attempt_outcome_name(outcome));
		break;
	}
}

/* After the time for which it asked to be left alone, an upstream that did not run a call may have
 * it. */
static void relay_readmit_quiet(struct relay_request *request, struct fleet_upstream *up)
{
	if (up && !relay_is_generation(request) && relay_is_quiet(up))
		g_ptr_array_remove(request->tried, up);
}

/* Goes on with the hedged request of a request whose first call ended without an answer. Nothing is
 * said of the request before both have ended: the second may still run it. */
static void relay_go_on_with_hedge(struct relay_request *request, enum attempt_outcome outcome)
{
	bool ran = outcome != ATTEMPT_NOT_SENT && outcome != ATTEMPT_NOT_RUN;

	relay_log_attempt_end(request, outcome, ATTEMPT_ACTION_RETRY);
	request->may_have_run |= ran;
	if (!ran)
		relay_readmit_quiet(request, request->attempt.up);
	relay_take_hedge(request);
}

static void relay_on_attempt_end(struct relay_request *request, enum attempt_outcome outcome)
{
	struct env *env = request->relay->env;
	struct dispatch_need need = relay_dispatch_need(request);
	struct fleet_upstream *up = request->attempt.up;
	bool ran = outcome != ATTEMPT_NOT_SENT && outcome != ATTEMPT_NOT_RUN;
	struct attempt_summary summary;
	struct dispatch_decision decision;
	enum attempt_action action;
	bool available;

	if (!request->caller) {
		relay_log_end(request, LOG_REQUEST_CALLER_LEFT, attempt_outcome_name(outcome));
		relay_request_free(request);
		return;
	}
	if (request->hedge) {
		relay_go_on_with_hedge(request, outcome);
		return;
	}
	if (!ran)
		relay_readmit_quiet(request, up);
	available =
		relay_is_generation(request)
			? dispatch_has_upstream(request->relay->dispatch, &need)
			: dispatch_select_plain(request->relay->dispatch, &need, &decision) != NULL;
	/* A call that did not run may wait for its next attempt. */
	if (!available && !ran)
		available = relay_waits_for_quiet(request, &need) &&
			    dispatch_call_fits(request->relay->dispatch, &need,
					       relay_priority(request), request->deadline_us);
	available = relay_detour_is_due(request, outcome == ATTEMPT_NOT_SENT && !available) ||
		    available;
	summary = relay_summarize(request, outcome, available);
	action = attempt_decide(&summary);
	if (action == ATTEMPT_ACTION_RETRY && outcome != ATTEMPT_NOT_SENT) {
		summary.budget_left =
			retry_budget_take(env_retry_budget(env, request->service_name),
					  env->live_instances, env_now_us());
		action = attempt_decide(&summary);
	}
	relay_follow_attempt(request, outcome, action);
}

/* Cancels an attempt that makes no progress. */
static void relay_abandon_attempt(struct relay_request *request, uint64_t now_us)
{
	relay_learn_response(request, now_us);
	relay_detour_on_silent(request);
	fleet_upstream_record_outcome(request->attempt.up, false, false, now_us);
	relay_cancel_attempt(request);
	request->attempt_count++;
}

/* Gives up an attempt that makes no progress if the request can go on elsewhere now. Otherwise
 * its upstream, late as it is, is the best that the caller has. */
static void relay_abandon_stalled(struct relay_request *request, uint64_t now_us)
{
	struct env *env = request->relay->env;
	struct dispatch *dispatch = request->relay->dispatch;
	struct dispatch_need need = relay_dispatch_need(request);
	struct dispatch_decision decision = { 0 };
	bool available = relay_is_generation(request)
				 ? !dispatch_has_queued_before(dispatch, &need) &&
					   dispatch_select_engine(dispatch, &need, &decision)
				 : dispatch_select_plain(dispatch, &need, &decision) != NULL;
	struct attempt_summary summary = relay_summarize(
		request, ATTEMPT_SILENT, available || relay_detour_is_due(request, false));
	enum attempt_action action;

	request->stall_checked_us = now_us;
	/* The hedged request is the retry; it has been taken from the budget. */
	if (request->hedge) {
		relay_abandon_attempt(request, now_us);
		relay_go_on_with_hedge(request, ATTEMPT_SILENT);
		return;
	}
	summary.executions++;
	action = attempt_decide(&summary);
	if (action != ATTEMPT_ACTION_RETRY && action != ATTEMPT_ACTION_RESUME)
		return;
	if (action == ATTEMPT_ACTION_RETRY &&
	    !retry_budget_take(env_retry_budget(env, request->service_name), env->live_instances,
			       now_us))
		return;
	relay_abandon_attempt(request, now_us);
	relay_follow_attempt(request, ATTEMPT_SILENT, action);
}

/* Gives up an attempt that has no connection yet if the request can go on elsewhere now. */
static void relay_abandon_unconnected(struct relay_request *request, uint64_t now_us)
{
	struct dispatch *dispatch = request->relay->dispatch;
	struct dispatch_need need = relay_dispatch_need(request);
	struct dispatch_decision decision = { 0 };

	request->stall_checked_us = now_us;
	if (!relay_detour_is_due(request, false) &&
	    !(relay_is_generation(request) ? dispatch_select_engine(dispatch, &need, &decision)
					   : dispatch_select_plain(dispatch, &need, &decision)))
		return;
	fleet_upstream_record_outcome(request->attempt.up, false, false, now_us);
	relay_cancel_attempt(request);
	request->unsent_count++;
	relay_on_attempt_end(request, ATTEMPT_NOT_SENT);
}

/* helpers: callers and timers */

static void relay_on_caller_gone(void *ctx)
{
	struct relay_request *request = ctx;

	request->caller = NULL;
	/* A call that may run only once is not cancelled; its response is discarded. */
	if (request->call && request->route->kind == ROUTE_AT_MOST_ONCE &&
	    request->phase != RELAY_QUEUED) {
		relay_discard_response(request);
		return;
	}
	relay_cancel_hedge(request, RELAY_HEDGE_CALLER_LEFT);
	relay_log_end(request, LOG_REQUEST_CALLER_LEFT, "caller-left");
	relay_request_free(request);
}

static void relay_on_caller_drained(void *ctx)
{
	struct relay_request *request = ctx;

	relay_count_buffered(request);
	if (request->call)
		http_call_resume(request->call);
}

/* Tells whether the current attempt has made no progress for so long that another is better. */
static bool relay_is_stalled(struct relay_request *request, uint64_t now_us)
{
	const struct gateway_load_settings *load = &request->relay->env->settings->load;
	uint64_t silent_ms = (now_us - request->last_progress_us) / 1000;

	if (!request->call || request->stop.asked || request->passed_on ||
	    now_us < request->stall_checked_us + RELAY_STALL_CHECK_MS * 1000)
		return false;
	if (request->phase == RELAY_STREAMING && request->event_count > 0)
		return silent_ms > load->stall_ms &&
		       (relay_has_backup(request) || request->route->resumable);
	/* Before the first event: an engine that sends nothing for any request has failed. One that
	 * is only busy keeps the request, since a retry would waste the prefill done so far. */
	if (request->route->kind == ROUTE_STREAM && request->route->resumable &&
	    request->attempt.up)
		return silent_ms > load->stall_ms &&
		       fleet_upstream_silent_us(request->attempt.up, now_us) >
			       load->stall_ms * 1000;
	if (request->phase == RELAY_SENT && request->route->kind == ROUTE_IDEMPOTENT)
		return silent_ms > relay_detour_answer_ms(request, load->answer_ms) &&
		       request->attempt_count + 1 < request->route->max_attempts;
	return false;
}

/* Refuses a generation that found no room in its time. */
static void relay_refuse_waited(struct relay_request *request)
{
	relay_count_admission_refusal(request, METRIC_ADMISSION_WAITED);
	relay_reply_error(request, ERR_OVERLOADED, relay_room_retry_after_ms(request, 0), "waited");
}

static void relay_check_timers(struct relay_request *request, uint64_t now_us)
{
	if (request->phase == RELAY_LOOKUP) {
		if (now_us >= request->deadline_us)
			relay_reply_error(request, ERR_NO_UPSTREAM, 0, "stream-version-unknown");
		return;
	}
	if (now_us >= request->deadline_us && request->phase != RELAY_QUEUED) {
		/* No answer is wanted after the deadline; cancelling stops the work upstream. */
		if (now_us < request->deadline_us + RELAY_DEADLINE_SLACK_MS * 1000ULL ||
		    !request->caller)
			return;
		relay_cancel_migration(request);
		relay_cancel_hedge(request, RELAY_HEDGE_DEADLINE);
		if (!relay_is_generation(request))
			relay_detour_on_silent(request);
		relay_cancel_attempt(request);
		request->attempt_count++;
		relay_on_attempt_end(request, ATTEMPT_SILENT);
	} else if (request->phase == RELAY_QUEUED &&
		   (relay_refuse_if_stopping(request) || relay_refuse_if_evacuated(request) ||
		    relay_detour_send_queued(request))) {
		return;
	} else if (relay_detour_check(request, now_us)) {
		relay_abandon_unconnected(request, now_us);
	} else if (request->phase == RELAY_QUEUED && now_us >= request->queue_deadline_us) {
		if (request->may_have_run)
			relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, "waited");
		else
			relay_refuse_waited(request);
	} else if (relay_should_migrate(request, now_us)) {
		relay_migrate(request);
	} else if (relay_has_unneeded_copy(request)) {
		relay_cancel_migration(request);
	} else if (relay_try_hedge(request, now_us)) {
		return;
	} else if (relay_is_stalled(request, now_us)) {
		relay_abandon_stalled(request, now_us);
	}
}

/* commands */

void relay_handle(void *ctx, struct http_req *req)
{
	struct relay *relay = ctx;
	struct relay_request *request =
		relay_request_create(relay, req, relay_on_caller_gone, relay_on_caller_drained);
	uint64_t wait_ms =
		request->decoded.wait_ms ? request->decoded.wait_ms : RELAY_DEFAULT_DEADLINE_MS;

	metric_add(relay->env->metric, METRIC_REQUESTS, 1);
	if (request->decoded.passed_on) {
		metric_add(relay->env->metric, METRIC_TAKEN_OVER, 1);
		request->attempt_count = request->decoded.runs;
	}
	if (!request->decoded.id) {
		relay_reply_error(request, ERR_BAD_REQUEST, 0, "no-id");
		return;
	}
	if (!relay_match_route(request))
		return;
	if (request->route->queue_timeout_ms)
		wait_ms = MIN(wait_ms, request->route->queue_timeout_ms);
	request->deadline_us = request->arrived_us + wait_ms * 1000;
	request->service_name = route_select_service(request->route, g_rand_int(relay->env->rand));
	request->service = request->service_name ? route_config_find_service(request->config,
									     request->service_name)
						 : NULL;
	if (!request->service) {
		relay_reply_error(request, ERR_NO_UPSTREAM, relay_retry_after_ms(request),
				  "no-service");
		return;
	}
	request->fingerprint = relay_compute_fingerprint(request);
	if (relay_is_generation(request))
		relay_update_estimate(request);
	relay_classify(request);
	if (relay_refuse_if_stopping(request))
		return;
	limit_exchange_on_request(relay->env->limit_exchange, request->service_name);
	retry_budget_add_request(env_retry_budget(relay->env, request->service_name),
				 request->arrived_us);
	relay_count_for_hedges(request);
	if (request->route->resumable && request->decoded.last_event_id)
		relay_look_up_version(request);
	else
		relay_place(request);
}

void relay_tick(struct relay *relay)
{
	uint64_t now_us = env_now_us();
	GList *next;

	relay_detours_tick(relay, now_us);
	for (GList *item = relay->requests.head; item; item = next) {
		next = item->next;
		relay_check_timers(item->data, now_us);
	}
	dispatch_grant_queued(relay->dispatch);
}

void relay_refuse_quarantined(struct relay *relay)
{
	GList *next;

	for (GList *item = relay->requests.head; item; item = next) {
		struct relay_request *request = item->data;

		next = item->next;
		if (request->caller && request->event_count < QUARANTINE_PROGRESS_EVENTS)
			relay_refuse_if_quarantined(request);
	}
}

void relay_grant_queued(struct relay *relay)
{
	if (!relay->request_freed)
		return;
	relay->request_freed = false;
	dispatch_grant_queued(relay->dispatch);
}

void relay_answer_open(struct relay *relay)
{
	GList *next;

	for (GList *item = relay->requests.head; item; item = next) {
		struct relay_request *request = item->data;

		next = item->next;
		if (!request->caller || request->response_started)
			continue;
		if (request->phase <= RELAY_LOOKUP && !request->may_have_run)
			relay_reply_error(request, ERR_NOT_READY, relay_retry_after_ms(request),
					  "stopping");
		else
			relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, "stopping");
	}
}

void relay_log_unfinished(struct relay *relay)
{
	for (GList *item = relay->requests.head; item; item = item->next) {
		struct relay_request *request = item->data;

		if (request->caller)
			relay_log_end(request, LOG_REQUEST_UNFINISHED,
				      relay_phase_name(request->phase));
	}
}

/* queries */

json_t *relay_state_json(const struct relay *relay, uint32_t max_count)
{
	json_t *out = json_array();

	for (GList *item = relay->requests.head; item && json_array_size(out) < max_count;
	     item = item->next) {
		const struct relay_request *request = item->data;

		json_array_append_new(
			out,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:b, s:b, s:b}", "id",
				  relay_request_id(request), "route", relay_route_name(request),
				  "class", admission_class_name(request->admission), "upstream",
				  relay_upstream_id(request), "phase",
				  relay_phase_name(request->phase), "age_ms",
				  (json_int_t)relay_age_ms(request), "events",
				  (json_int_t)request->event_count, "runs",
				  (int)request->attempt_count, "moving",
				  request->migrate_call != NULL, "hedged", request->hedge != NULL,
				  "passed_on", request->passed_on));
	}
	return out;
}

uint32_t relay_open_count(const struct relay *relay)
{
	return relay->requests.length;
}
