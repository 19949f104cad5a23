#include "relay_state.h"

#include "admission_exchange.h"
#include "relay_detour.h"
#include "relay_hedge.h"
#include "stream_version.h"

#include "flamingolatch/length_lognormal.h"
#include "flamingolatch/reply.h"

#include <string.h>
#include <xxhash.h>

#define RELAY_RETRY_AFTER_SPREAD_MS	 600
#define RELAY_RELEASE_TIMEOUT_MS	 1000
#define RELAY_RELEASE_RESPONSE_MAX_BYTES 4096
/* Share of the route's latency objective in which the first event is expected here. Of the first
 * events expected at that time half come later, since other instances place prompts meanwhile. */
#define RELAY_ON_TIME_SHARE 0.75
/* A caller whose deadline is this much shorter than its route's timeout is taken to have been
 * refused before. So is a caller that sends no deadline. */
#define RELAY_RETURNED_MARGIN_MS    300
#define RELAY_MAX_PRIORITY	    9
#define RELAY_LOGGED_PART_COUNT	    8
#define RELAY_QUIET_LOG_INTERVAL_US (60ULL * 1000 * 1000)

static const char *const relay_phase_names[RELAY_PHASE_COUNT] = { "waiting", "lookup", "sent",
								  "holding", "streaming" };

/* An open call that releases a KV copy; the request may have ended. */
struct relay_release {
	struct relay *relay;
	GList link;
	struct fetch *call;
	struct fleet_upstream *up; /* with a reference */
	char *request_id;
};

static bool relay_note_answer(const struct env *env, struct fleet_upstream *up,
			      const char *request_id, const struct http_response_head *head);

/* lifetime */

static void relay_unref_upstream(gpointer data)
{
	fleet_upstream_unref(data);
}

struct relay_request *relay_request_create(struct relay *relay, struct http_req *req,
					   void (*gone)(void *ctx), void (*drained)(void *ctx))
{
	struct relay_request *request = g_new0(struct relay_request, 1);

	request->relay = relay;
	request->caller = req;
	request->link.data = request;
	request->arrived_us = env_now_us();
	request->last_progress_us = request->arrived_us;
	request->tried = g_ptr_array_new_with_free_func(relay_unref_upstream);
	request->migrate_tried = g_ptr_array_new_with_free_func(relay_unref_upstream);
	request->response_body = g_string_new(NULL);
	request->response_headers = g_string_new(NULL);
	relay->env->protocol->decode(req, &request->decoded);
	g_queue_push_tail_link(&relay->requests, &request->link);
	http_req_set_callbacks(req, gone, drained, request);
	return request;
}

/* Records how long an urgent generation was on its engine. */
static void relay_record_hold(const struct relay_request *request)
{
	if (request->admission == ADMISSION_URGENT && request->attempt.up)
		admission_exchange_on_end(request->relay->env->admission_exchange,
					  request->service_name,
					  (uint32_t)((env_now_us() - request->sent_us) / 1000));
}

void relay_cancel_attempt(struct relay_request *request)
{
	relay_record_hold(request);
	if (request->call)
		http_call_cancel(request->call);
	request->call = NULL;
	dispatch_load_remove(&request->attempt);
}

/* Tells whether a newer configuration than that of the request has withdrawn its key. */
static bool relay_is_key_withdrawn(const struct relay_request *request)
{
	const struct route_config *config = request->relay->env->config;
	const struct route_customer *customer;

	if (config == request->config || !route_config_has_customers(config))
		return false;
	customer = route_config_find_customer(config, request->decoded.key);
	return !customer || strcmp(customer->name, request->customer->name) != 0;
}

bool relay_key_is_valid(const struct relay_request *request)
{
	if (!request->customer || request->response_started || request->from_copy)
		return true;
	if (!request->may_have_run && !env_keys_fresh(request->relay->env))
		return false;
	return !relay_is_key_withdrawn(request);
}

void relay_refuse_key(struct relay_request *request)
{
	if (request->may_have_run)
		relay_reply_error(request, ERR_OUTCOME_UNKNOWN, 0, "key-withdrawn");
	else if (relay_is_key_withdrawn(request))
		relay_reply_error(request, ERR_UNAUTHENTICATED, 0, "key-withdrawn");
	else
		relay_reply_error(request, ERR_UNCONFIRMED, relay_retry_after_ms(request),
				  "unconfirmed");
}

void relay_note_broken_call(struct fleet_upstream *up, const struct fetch_response *answer)
{
	if (up && answer->sent && answer->result == HTTP_CALL_BROKEN)
		fleet_upstream_record_outcome(up, false, false, env_now_us());
}

static void relay_release_free(struct relay_release *release)
{
	g_queue_unlink(&release->relay->releases, &release->link);
	fleet_upstream_unref(release->up);
	g_free(release->request_id);
	g_free(release);
}

static bool relay_owns_release_answer(void *ctx, const struct http_response_head *head)
{
	const struct relay_release *release = ctx;

	return release->relay->env->protocol->owns(head, release->request_id);
}

static void relay_on_release_head(void *ctx, const struct http_response_head *head)
{
	struct relay_release *release = ctx;

	/* A late copy of it could not be told from the answer to the next call. */
	fetch_disable_reuse(release->call);
	relay_note_answer(release->relay->env, release->up, release->request_id, head);
}

/* Whether the copy was released does not matter: an unreleased copy expires at the engine. */
static void relay_on_copy_released(void *ctx, const struct fetch_response *answer)
{
	struct relay_release *release = ctx;

	relay_note_broken_call(release->up, answer);
	relay_release_free(release);
}

/* Releases a KV copy that will not be used; it would occupy its engine's memory for seconds. */
static void relay_release_copy(struct relay_request *request)
{
	struct env *env = request->relay->env;
	g_autofree char *path = NULL;
	struct http_call_request req = { .method = "DELETE",
					 .timeout_ms = RELAY_RELEASE_TIMEOUT_MS };
	struct relay_release *release;

	dispatch_load_remove(&request->kv_copy);
	if (!request->kv_copy_handle)
		return;
	/* Nothing is sent to an evacuated zone that can be left out: the copy expires there. */
	if (fleet_upstream_is_evacuated(request->kv_copy_source)) {
		g_clear_pointer(&request->kv_copy_handle, g_free);
		return;
	}
	path = env->protocol->encode_kv_copy_path(request->kv_copy_handle);
	req.path = path;
	req.address = fleet_upstream_address(request->kv_copy_source);
	req.scope = fleet_upstream_scope(request->kv_copy_source);
	req.id = request->decoded.id;
	release = g_new0(struct relay_release, 1);
	release->relay = request->relay;
	release->up = fleet_upstream_ref(request->kv_copy_source);
	release->request_id = g_strdup(request->decoded.id);
	release->link.data = release;
	g_queue_push_tail_link(&request->relay->releases, &release->link);
	release->call = fetch_start(env->http_client, &req, RELAY_RELEASE_RESPONSE_MAX_BYTES, NULL,
				    relay_on_copy_released, release);
	fetch_set_head_cb(release->call, relay_on_release_head);
	fetch_set_match_cb(release->call, relay_owns_release_answer);
	g_clear_pointer(&request->kv_copy_handle, g_free);
}

void relay_cancel_releases(struct relay *relay)
{
	struct relay_release *release;

	while ((release = g_queue_peek_head(&relay->releases))) {
		fetch_cancel(release->call);
		relay_release_free(release);
	}
}

void relay_forget_copy(struct relay_request *request)
{
	dispatch_load_remove(&request->kv_copy);
	g_clear_pointer(&request->kv_copy_handle, g_free);
}

void relay_cancel_migration(struct relay_request *request)
{
	relay_release_copy(request);
	if (request->migrate_call)
		fetch_cancel(request->migrate_call);
	request->migrate_call = NULL;
	if (request->stop.asked)
		stream_stop_answer(&request->stop, STREAM_STOP_UNKNOWN);
	if (request->migrate_target)
		fleet_upstream_unref(request->migrate_target);
	request->migrate_target = NULL;
}

static void relay_set_buffered(struct relay_request *request, uint64_t bytes)
{
	struct relay *relay = request->relay;

	buffer_budget_update(&relay->buffers, &request->buffered_bytes, bytes);
	metric_set(relay->env->metric, METRIC_BUFFERED_BYTES, (int64_t)relay->buffers.held_bytes);
}

void relay_request_free(struct relay_request *request)
{
	struct relay *relay = request->relay;

	if (request->caller)
		http_req_set_callbacks(request->caller, NULL, NULL, NULL);
	if (request->queued)
		dispatch_dequeue(relay->dispatch, request->queued);
	if (request->version_query)
		stream_version_cancel(request->version_query);
	relay_cancel_migration(request);
	relay_cancel_hedge(request, RELAY_HEDGE_ENDED);
	relay_cancel_attempt(request);
	relay_detour_free(request);
	dispatch_load_remove(&request->backup);
	relay_set_buffered(request, 0);
	g_queue_unlink(&relay->requests, &request->link);
	event_stream_destroy(request->events);
	g_ptr_array_free(request->tried, TRUE);
	g_ptr_array_free(request->migrate_tried, TRUE);
	g_string_free(request->response_body, TRUE);
	g_string_free(request->response_headers, TRUE);
	protocol_request_clear(&request->decoded);
	route_config_unref(request->config);
	route_config_unref(request->region_config);
	g_free(request->kv_copy_handle);
	if (request->kv_copy_source)
		fleet_upstream_unref(request->kv_copy_source);
	g_free(request->attempt_upstream_id);
	g_free(request->last_event_id);
	g_free(request->software_version);
	g_free(request);
	relay->request_freed = true;
}

/* commands */

void relay_classify(struct relay_request *request)
{
	uint32_t shortest_ms;
	uint32_t longest_ms;

	if (!relay_is_generation(request) || request->route->kind != ROUTE_STREAM)
		return;
	route_config_stream_objectives(request->config, request->service_name, &shortest_ms,
				       &longest_ms);
	request->admission =
		admission_classify(request->route->latency_slo_ms, shortest_ms, longest_ms);
	if (request->admission == ADMISSION_URGENT)
		admission_exchange_on_arrival(
			request->relay->env->admission_exchange, request->service_name,
			request->decoded.prompt_tokens + request->expected_output_tokens);
}

void relay_count_buffered(struct relay_request *request)
{
	uint64_t bytes = request->response_body->len + relay_hedge_buffered_bytes(request);

	if (request->events)
		bytes += event_stream_pending_bytes(request->events);
	if (request->caller)
		bytes += http_req_unsent_bytes(request->caller);
	relay_set_buffered(request, bytes);
}

void relay_discard_response(struct relay_request *request)
{
	request->discard = true;
	request->response_body = buffer_clear(request->response_body);
	relay_count_buffered(request);
	/* No caller is left that would read on. */
	http_call_resume(request->call);
}

/* Returns the length estimate of the request's route; creates it if needed. */
static struct length_lognormal *relay_length_estimate(const struct relay_request *request)
{
	GHashTable *estimates = request->relay->length_estimates;
	const char *name = relay_route_name(request);
	struct length_lognormal *estimate = g_hash_table_lookup(estimates, name);

	if (!estimate) {
		estimate = g_new0(struct length_lognormal, 1);
		length_lognormal_init(estimate, request->decoded.max_output_tokens);
		g_hash_table_insert(estimates, g_strdup(name), estimate);
	}
	return estimate;
}

/* Returns the number of tokens that a generation has produced. */
static uint64_t relay_output_tokens(const struct relay_request *request)
{
	return request->event_count * request->service->engine.tokens_per_event;
}

void relay_update_estimate(struct relay_request *request)
{
	request->expected_output_tokens = length_lognormal_expected(
		relay_length_estimate(request), request->decoded.hinted_output_tokens,
		request->decoded.max_output_tokens, relay_output_tokens(request));
	dispatch_load_set_kv_tokens(&request->attempt, request->decoded.prompt_tokens +
							       request->expected_output_tokens);
	dispatch_load_set_kv_tokens(&request->backup, request->decoded.prompt_tokens +
							      request->expected_output_tokens);
	dispatch_load_set_kv_tokens(&request->kv_copy, request->decoded.prompt_tokens +
							       request->expected_output_tokens);
}

void relay_update_used(struct relay_request *request)
{
	uint64_t used_tokens;

	if (!relay_is_generation(request))
		return;
	used_tokens = request->decoded.prompt_tokens + relay_output_tokens(request);
	dispatch_load_set_kv_used(&request->attempt, used_tokens);
	dispatch_load_set_kv_used(&request->kv_copy, used_tokens);
}

/* Records that the upstream asks to be left alone for a time, or that it did not. Returns false
 * when it does. */
static bool relay_note_quiet(const struct env *env, struct fleet_upstream *up,
			     const char *request_id, const struct http_response_head *head)
{
	struct upstream_quiet *quiet = fleet_upstream_quiet(up);
	uint64_t now_us = env_now_us();
	uint64_t quiet_us = 0;
	g_autofree char *quiet_ms = NULL;

	switch (env->protocol->decode_quiet(head, &quiet_us)) {
	case PROTOCOL_QUIET_ASKED:
		upstream_quiet_ask(quiet, quiet_us, now_us);
		metric_add(env->metric, METRIC_QUIET_ASKED, 1);
		quiet_ms = g_strdup_printf("%" G_GUINT64_FORMAT, quiet_us / 1000);
		log_event(LOG_UPSTREAM_QUIET, "upstream", fleet_upstream_id(up), "request",
			  request_id, "quiet_ms", quiet_ms, NULL);
		return false;
	case PROTOCOL_QUIET_INVALID:
		if (quiet->invalid_logged_us &&
		    now_us < quiet->invalid_logged_us + RELAY_QUIET_LOG_INTERVAL_US)
			return false;
		quiet->invalid_logged_us = now_us;
		log_event(LOG_UPSTREAM_QUIET_INVALID, "upstream", fleet_upstream_id(up), "request",
			  request_id, NULL);
		return false;
	default:
		upstream_quiet_record_answer(quiet, now_us);
		return true;
	}
}

/* Records what an answer says of the upstream that sent it. Returns false when it has a time to be
 * left alone. */
static bool relay_note_answer(const struct env *env, struct fleet_upstream *up,
			      const char *request_id, const struct http_response_head *head)
{
	bool ordinary = relay_note_quiet(env, up, request_id, head);

	if (!env->protocol->decode_leaving(head))
		return ordinary;
	if (fleet_upstream_state(up) <= FLEET_UPSTREAM_LAPSED) {
		metric_add(env->metric, METRIC_DEPARTURES, 1);
		log_event(LOG_UPSTREAM_DEPARTURE, "upstream", fleet_upstream_id(up), "request",
			  request_id, NULL);
	}
	fleet_upstream_record_departure(up, env_now_us());
	return ordinary;
}

void relay_note_upstream(struct relay_request *request, struct fleet_upstream *up, uint64_t sent_us,
			 const struct http_response_head *head)
{
	if (!up || !relay_note_answer(request->relay->env, up, relay_request_id(request), head))
		return;
	/* The head of a stream says nothing of when its engine takes the next request. */
	if (!relay_is_generation(request))
		upstream_quiet_record_duration(fleet_upstream_quiet(up), env_now_us() - sent_us);
}

void relay_log_end(struct relay_request *request, enum log_event_id event, const char *reason)
{
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(request));
	g_autofree char *events = g_strdup_printf("%" G_GUINT64_FORMAT, request->event_count);
	g_autofree char *status = g_strdup_printf("%u", request->status);
	g_autofree char *first = g_strdup_printf("%u", request->first_event_ms);
	g_autofree char *pause = g_strdup_printf("%u", request->longest_pause_ms);

	log_event(event, "request", relay_request_id(request), "route", relay_route_name(request),
		  "upstream", relay_upstream_id(request), "reason", reason, "status", status,
		  "events", events, "age_ms", age, "first_ms", first, "longest_pause_ms", pause,
		  NULL);
}

void relay_reply_error(struct relay_request *request, enum err_kind kind, uint32_t retry_after_ms,
		       const char *reason)
{
	struct http_req *caller = request->caller;
	bool ran = err_info(kind)->execution != ERR_EXECUTION_NOT_RUN;

	/* The caller would read the error as a part of the answer. */
	if (request->response_started) {
		relay_abort_response(request, reason);
		return;
	}
	request->status = err_info(kind)->http_status;
	relay_log_end(request, ran ? LOG_REQUEST_FAILED : LOG_REQUEST_REFUSED, reason);
	if (!ran)
		metric_add(request->relay->env->metric, METRIC_REFUSED, 1);
	if (caller) {
		http_req_set_callbacks(caller, NULL, NULL, NULL);
		request->caller = NULL;
		reply_error(caller, kind, retry_after_ms, NULL);
	}
	relay_request_free(request);
}

void relay_abort_response(struct relay_request *request, const char *reason)
{
	struct http_req *caller = request->caller;

	relay_log_end(request, LOG_STREAM_ABORTED, reason);
	metric_add(request->relay->env->metric, METRIC_GENERATIONS_LOST, 1);
	request->caller = NULL;
	if (caller)
		http_req_stream_abort(caller);
	relay_request_free(request);
}

/* Counts a stream that was passed on to its end. */
static void relay_note_stream_end(const struct relay_request *request)
{
	const struct env *env = request->relay->env;
	const char *id = relay_stream_id(request);

	metric_add(env->metric, METRIC_GENERATIONS_DONE, 1);
	if (id)
		stream_version_end(env->stream_version, id);
}

void relay_finish_streamed(struct relay_request *request)
{
	struct http_req *caller = request->caller;

	request->caller = NULL;
	relay_log_end(request, LOG_REQUEST_COMPLETED, request->stream ? "stream" : "answer");
	if (request->stream && !request->decoded.last_event_id)
		length_lognormal_learn(relay_length_estimate(request), relay_output_tokens(request),
				       relay_output_tokens(request) >=
					       request->decoded.max_output_tokens);
	if (caller)
		http_req_stream_end(caller);
	if (request->stream)
		relay_note_stream_end(request);
	else
		metric_observe(request->relay->env->metric, METRIC_CALL_US,
			       env_now_us() - request->arrived_us);
	relay_request_free(request);
}

void relay_start_response(struct relay_request *request)
{
	const char *at = request->response_headers->str;
	const char *end = at + request->response_headers->len;

	while (at < end) {
		const char *value = at + strlen(at) + 1;

		http_req_add_response_header(request->caller, at, value);
		at = value + strlen(value) + 1;
	}
	request->response_started = true;
}

void relay_deliver_buffered(struct relay_request *request)
{
	struct http_req *caller = request->caller;

	request->caller = NULL;
	relay_log_end(request, LOG_REQUEST_COMPLETED, "answer");
	metric_observe(request->relay->env->metric, METRIC_CALL_US,
		       env_now_us() - request->arrived_us);
	metric_add(request->relay->env->metric, METRIC_CALLS, 1);
	if (caller) {
		request->caller = caller;
		relay_start_response(request);
		request->caller = NULL;
		http_req_set_callbacks(caller, NULL, NULL, NULL);
		http_req_reply(caller, request->status, NULL, request->response_body->str,
			       request->response_body->len);
	}
	relay_request_free(request);
}

/* queries */

const char *relay_phase_name(enum relay_phase phase)
{
	return relay_phase_names[phase];
}

const char *relay_request_id(const struct relay_request *request)
{
	return request->decoded.id ? request->decoded.id : "-";
}

const char *relay_route_name(const struct relay_request *request)
{
	return request->route && request->route->name ? request->route->name : "-";
}

const char *relay_upstream_id(const struct relay_request *request)
{
	return request->attempt_upstream_id ? request->attempt_upstream_id : "-";
}

const char *relay_upstream_version(const struct relay_request *request)
{
	return request->attempt.up ? fleet_upstream_software_version(request->attempt.up) : "";
}

const char *relay_last_event_id(const struct relay_request *request)
{
	if (request->last_event_id)
		return request->last_event_id;
	return request->decoded.last_event_id ? request->decoded.last_event_id : "-";
}

uint64_t relay_compute_fingerprint(const struct relay_request *request)
{
	const struct http_req *req = request->caller;
	size_t body_len;
	const char *body = http_req_body(req, &body_len);
	/* A blank separates the fields: none of them but the body can have one. */
	g_autofree char *head =
		g_strdup_printf("%s %s %s %s", request->customer ? request->customer->name : "",
				http_req_method(req), http_req_host(req), http_req_target(req));

	return XXH3_64bits_withSeed(body, body_len, XXH3_64bits(head, strlen(head)));
}

char *relay_dup_prompt_parts(const struct relay_request *request)
{
	uint32_t count = MIN(request->decoded.prompt_part_count, RELAY_LOGGED_PART_COUNT);
	GString *out = g_string_new(count ? NULL : "-");

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(out, "%s%" G_GINT64_MODIFIER "x", i ? "," : "",
				       request->decoded.prompt_parts[i]);
	return g_string_free(out, FALSE);
}

uint64_t relay_age_ms(const struct relay_request *request)
{
	return (env_now_us() - request->arrived_us) / 1000;
}

uint64_t relay_time_left_ms(const struct relay_request *request)
{
	uint64_t now_us = env_now_us();

	return now_us < request->deadline_us ? (request->deadline_us - now_us) / 1000 : 0;
}

bool relay_is_generation(const struct relay_request *request)
{
	return request->service && request->service->has_engines;
}

uint32_t relay_priority(const struct relay_request *request)
{
	if (request->customer && request->customer->priority >= 0)
		return MIN((uint32_t)request->customer->priority, RELAY_MAX_PRIORITY);
	return MIN(request->route->priority, RELAY_MAX_PRIORITY);
}

/* Returns the time in which the first event of a generation is wanted, in ms, at least 1. 0 means
 * no limit: it may have run already, or its caller was refused before and is not refused again for
 * being late. */
static uint32_t relay_first_event_left_ms(const struct relay_request *request)
{
	uint64_t spent_ms = relay_age_ms(request);
	uint64_t wanted_ms = (uint64_t)(request->route->latency_slo_ms * RELAY_ON_TIME_SHARE);
	bool returned = request->decoded.wait_ms + RELAY_RETURNED_MARGIN_MS <
			request->route->queue_timeout_ms;

	if (returned || request->event_count > 0 || request->attempt_count > request->decoded.runs)
		return 0;
	return spent_ms < wanted_ms ? (uint32_t)(wanted_ms - spent_ms) : 1;
}

/* Looks up the request's route and customer in the configuration in force, if it has changed. What
 * the newest one does not have any more keeps the regions that it had. */
static void relay_update_regions(struct relay_request *request)
{
	struct route_config *newest = request->relay->env->config;
	const struct route *route;
	const struct route_customer *customer;

	if (request->region_config == newest || !request->caller)
		return;
	route = route_config_match(newest, http_req_host(request->caller),
				   http_req_target(request->caller));
	customer = request->customer
			   ? route_config_find_customer_name(newest, request->customer->name)
			   : NULL;
	request->region_route = route ? route : request->route;
	request->region_customer = customer ? customer : request->customer;
	route_config_ref(newest);
	route_config_unref(request->region_config);
	request->region_config = newest;
}

bool relay_allows_upstream(void *ctx, const struct fleet_upstream *up)
{
	struct relay_request *request = ctx;

	relay_update_regions(request);
	if (!request->region_route ||
	    !route_is_restricted(request->region_route, request->region_customer))
		return true;
	return route_allows_region(request->region_route, request->region_customer,
				   fleet_upstream_region(up));
}

/* Tells whether the events of an upstream fit those that the caller has. */
static bool relay_has_version(const struct relay_request *request, const struct fleet_upstream *up)
{
	return !request->software_version ||
	       strcmp(fleet_upstream_software_version(up), request->software_version) == 0;
}

bool relay_may_send_to(struct relay_request *request, const struct fleet_upstream *up)
{
	return !fleet_upstream_is_evacuated(up) && relay_has_version(request, up) &&
	       relay_allows_upstream(request, up);
}

const char *relay_stream_id(const struct relay_request *request)
{
	if (!request->relay->env->stream_version || !request->route->resumable)
		return NULL;
	return request->decoded.last_event_id ? request->decoded.resumes_id : request->decoded.id;
}

bool relay_may_begin_at(void *ctx, const struct fleet_upstream *up)
{
	const struct relay_request *request = ctx;

	return request->software_version || !relay_stream_id(request) ||
	       stream_version_allows(request->relay->env->stream_version, up);
}

/* Returns the expected time from the placement of a generation to its first event, in ms. */
static uint32_t relay_expected_first_event_ms(const struct relay_request *request)
{
	return (uint32_t)((double)request->decoded.prompt_tokens /
			  request->relay->env->settings->load.prefill_tokens_per_ms);
}

/* Returns for how long the caller was refused before, by its deadline, in ms. */
static uint32_t relay_spent_before_ms(const struct relay_request *request)
{
	uint32_t timeout_ms = request->route->queue_timeout_ms;

	if (request->decoded.wait_ms == 0 ||
	    request->decoded.wait_ms + RELAY_RETURNED_MARGIN_MS >= timeout_ms)
		return 0;
	return timeout_ms - (uint32_t)request->decoded.wait_ms;
}

/* Returns what the queue of a service with urgent routes has to know of a generation. */
static struct admission_item relay_admission_item(const struct relay_request *request)
{
	struct admission_item item = { .class = request->admission };

	if (item.class == ADMISSION_NONE)
		return item;
	/* A generation that may have run cannot be refused any more, so it may use the reserve. */
	if (request->may_have_run)
		item.class = ADMISSION_URGENT;
	item.priority = relay_priority(request);
	item.objective_ms = request->route->latency_slo_ms;
	item.tokens = request->decoded.prompt_tokens + request->expected_output_tokens;
	/* By its name: another configuration has another structure for the same customer. */
	item.customer =
		request->customer ? GUINT_TO_POINTER(g_str_hash(request->customer->name)) : NULL;
	item.due_us = admission_due_us(request->arrived_us, relay_spent_before_ms(request),
				       item.objective_ms, relay_expected_first_event_ms(request));
	return item;
}

uint32_t relay_queue_wait_ms(const struct relay_request *request)
{
	uint32_t wait_ms = (uint32_t)request->relay->env->settings->load.wait_ms;
	uint32_t first_ms = relay_expected_first_event_ms(request);
	uint32_t objective_ms = request->route->latency_slo_ms;

	if (request->admission == ADMISSION_NONE)
		return wait_ms;
	return admission_wait_ms(objective_ms,
				 objective_ms > first_ms ? objective_ms - first_ms : 0, wait_ms);
}

struct dispatch_need relay_dispatch_need(struct relay_request *request)
{
	return (struct dispatch_need){
		.service = request->service_name,
		.engine = relay_is_generation(request) ? &request->service->engine : NULL,
		.place = { .prompt_tokens = request->decoded.prompt_tokens,
			   .output_tokens = request->expected_output_tokens,
			   .first_event_left_ms = relay_first_event_left_ms(request),
			   .stale_ms = request->relay->env->remote_load_age_ms,
			   .jitter_seed = g_rand_int(request->relay->env->rand),
			   .resumes = request->resumed },
		.admission = relay_admission_item(request),
		.run_once = !route_allows_rerun(request->route),
		.ignore_suspended = request->tries_path,
		.excluded = request->tried,
		.software_version = request->software_version,
		.allows = relay_allows_upstream,
		.ready = relay_may_begin_at,
		.allows_ctx = request,
	};
}

uint32_t relay_retry_after_ms(const struct relay_request *request)
{
	uint32_t spread =
		g_rand_int_range(request->relay->env->rand, 0, RELAY_RETRY_AFTER_SPREAD_MS);
	uint32_t queue_length = dispatch_queue_length(request->relay->dispatch);

	/* 20 ms for each queued generation, at most 2 s. */
	return RELAY_MIN_RETRY_AFTER_MS + spread + 20 * MIN(queue_length, 100);
}

uint32_t relay_room_retry_after_ms(struct relay_request *request, uint32_t late_ms)
{
	struct env *env = request->relay->env;
	struct dispatch_need need;
	struct admission_room room;

	if (request->admission == ADMISSION_NONE)
		return relay_retry_after_ms(request) + late_ms;
	need = relay_dispatch_need(request);
	room = dispatch_room(request->relay->dispatch, &need);
	room.late_ms = late_ms;
	room.left_ms = (uint32_t)relay_time_left_ms(request);
	return admission_return_ms(
		admission_exchange_returns(env->admission_exchange, request->service_name,
					   request->admission),
		&room, need.admission.tokens, g_rand_double(env->rand), env_now_us());
}

bool relay_is_quiet(struct fleet_upstream *up)
{
	return upstream_quiet_left_us(fleet_upstream_quiet(up), env_now_us()) > 0;
}

bool relay_has_backup(struct relay_request *request)
{
	return request->backup.up && relay_may_send_to(request, request->backup.up) &&
	       fleet_upstream_state(request->backup.up) <= FLEET_UPSTREAM_LAPSED &&
	       !relay_is_quiet(request->backup.up);
}
