#include "relay_hedge.h"

#include "cold_start.h"
#include "crash_guard.h"
#include "relay_attempt.h"

#include "flamingolatch/hedge.h"

struct relay_hedge {
	struct relay_request *request;
	struct dispatch_load load;
	struct http_call *call;
	GString *body;
	GString *headers; /* as relay_request::response_headers */
	uint64_t sent_us;
	uint64_t last_progress_us;
	uint64_t discarded_bytes;
	uint16_t status; /* 0 before the head */
	bool not_run;
	bool withheld; /* it was not sent, for no fault of the upstream */
	bool foreign;  /* not an answer of the upstream's service */
	bool unframed;
};

static bool relay_hedge_on_connected(void *ctx);
static void relay_hedge_on_head(void *ctx, const struct http_response_head *head);
static void relay_hedge_on_data(void *ctx, const char *buf, size_t len);
static void relay_hedge_on_end(void *ctx, enum http_call_result result, bool sent);
static bool relay_hedge_owns_response(void *ctx, const struct http_response_head *head);

static const struct http_call_ops relay_hedge_ops = {
	.connected = relay_hedge_on_connected,
	.head = relay_hedge_on_head,
	.data = relay_hedge_on_data,
	.end = relay_hedge_on_end,
	.matches = relay_hedge_owns_response,
};

static const char *const relay_hedge_end_names[RELAY_HEDGE_END_COUNT] = {
	"won", "took-over", "lost", "caller-left", "deadline", "ended", "not-run", "failed",
};

/* helpers */

static struct hedge *relay_service_hedge(struct relay *relay, const char *service)
{
	struct hedge *hedge = g_hash_table_lookup(relay->hedges, service);

	if (!hedge) {
		hedge = hedge_create();
		g_hash_table_insert(relay->hedges, g_strdup(service), hedge);
	}
	return hedge;
}

static bool relay_hedges_service(const struct relay_request *request)
{
	return request->relay->env->settings->load.hedge_share > 0.0 &&
	       !relay_is_generation(request) && request->route->kind != ROUTE_STREAM;
}

/* Drops the record of a hedged request whose call was cancelled, has ended or was handed on. */
static void relay_hedge_free(struct relay_hedge *hedge)
{
	hedge->request->hedge = NULL;
	dispatch_load_remove(&hedge->load);
	g_string_free(hedge->body, TRUE);
	g_string_free(hedge->headers, TRUE);
	g_free(hedge);
}

/* Logs and counts the end of a hedged request. */
static void relay_hedge_record_end(const struct relay_hedge *hedge, enum relay_hedge_end end)
{
	const struct relay_request *request = hedge->request;
	struct metric *metric = request->relay->env->metric;
	g_autofree char *age =
		g_strdup_printf("%" G_GUINT64_FORMAT, (env_now_us() - hedge->sent_us) / 1000);
	bool won = end == RELAY_HEDGE_WON || end == RELAY_HEDGE_TOOK_OVER;

	log_event(LOG_HEDGE_ENDED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "upstream", fleet_upstream_id(hedge->load.up),
		  "outcome", relay_hedge_end_names[end], "age_ms", age, NULL);
	/* A caller that left tells nothing of which call would have been first. */
	if (end != RELAY_HEDGE_CALLER_LEFT && end != RELAY_HEDGE_ENDED)
		hedge_add_result(relay_service_hedge(request->relay, request->service_name), won);
	if (won)
		metric_add(metric, METRIC_HEDGES_WON, 1);
	else if (hedge->call)
		metric_add(metric, METRIC_HEDGES_CANCELLED, 1);
}

/* Cancels the current attempt, since the hedged request was answered first. Its upstream has not
 * failed, but neither has it been quick. */
static void relay_hedge_cancel_first(struct relay_request *request)
{
	struct fleet_upstream *up = request->attempt.up;
	struct upstream_quiet *quiet = fleet_upstream_quiet(up);
	uint64_t now_us = env_now_us();
	uint64_t age_us = now_us - request->sent_us;

	relay_learn_response(request, now_us);
	if (request->phase == RELAY_SENT) {
		fleet_upstream_record_overdue(up, request->sent_us);
		if (age_us > quiet->answer_us)
			upstream_quiet_record_duration(quiet, age_us);
	}
	relay_cancel_attempt(request);
	request->attempt_count++;
	request->may_have_run = true;
}

/* Tells whether the response is an answer of the upstream, which may be passed on. */
static bool relay_hedge_keeps_body(const struct relay_hedge *hedge)
{
	return hedge->status > 0 && !hedge->not_run && !hedge->foreign;
}

/* Tells whether the answer counts although the first call is open: it is no server error. */
static bool relay_hedge_is_usable(const struct relay_hedge *hedge)
{
	return relay_hedge_keeps_body(hedge) && hedge->status < 500;
}

/* Replaces the state of the current attempt, whose call has ended, with that of the hedged request.
 */
static void relay_hedge_move(struct relay_hedge *hedge)
{
	struct relay_request *request = hedge->request;
	GString *body = request->response_body;
	GString *headers = request->response_headers;

	dispatch_load_remove(&request->attempt);
	request->attempt = hedge->load;
	hedge->load = (struct dispatch_load){ 0 };
	g_free(request->attempt_upstream_id);
	request->attempt_upstream_id = g_strdup(fleet_upstream_id(request->attempt.up));
	request->response_body = hedge->body;
	request->response_headers = hedge->headers;
	hedge->body = body;
	hedge->headers = headers;
	request->phase = relay_hedge_keeps_body(hedge) ? RELAY_BUFFERING : RELAY_SENT;
	request->status = hedge->status;
	request->sent_us = hedge->sent_us;
	request->last_progress_us = hedge->last_progress_us;
	request->discarded_bytes = hedge->discarded_bytes;
	request->not_run = hedge->not_run;
	request->invalid_response = hedge->foreign;
	request->discard = hedge->not_run || hedge->foreign;
	request->unframed = hedge->unframed;
	request->first_attempt = false;
	request->resumed = false;
	request->from_copy = false;
	relay_own_call(request, hedge->call);
	relay_hedge_free(hedge);
	relay_count_buffered(request);
}

static void relay_hedge_win(struct relay_hedge *hedge)
{
	relay_hedge_record_end(hedge, RELAY_HEDGE_WON);
	relay_hedge_cancel_first(hedge->request);
	relay_hedge_move(hedge);
}

/* helpers: the call */

static bool relay_hedge_on_connected(void *ctx)
{
	struct relay_hedge *hedge = ctx;

	hedge->withheld = !relay_may_begin(hedge->request, hedge->load.up);
	return !hedge->withheld && relay_upstream_accepts(hedge->load.up);
}

static bool relay_hedge_owns_response(void *ctx, const struct http_response_head *head)
{
	const struct relay_request *request = ((struct relay_hedge *)ctx)->request;

	return request->relay->env->protocol->owns(head, request->decoded.id);
}

static void relay_hedge_on_head(void *ctx, const struct http_response_head *head)
{
	struct relay_hedge *hedge = ctx;
	enum protocol_answer_class verdict = relay_record_head(hedge->request, hedge->load.up,
							       hedge->call, hedge->sent_us, head);

	hedge->last_progress_us = env_now_us();
	hedge->status = http_response_status(head);
	hedge->not_run = verdict == PROTOCOL_NOT_RUN || verdict == PROTOCOL_MISDIRECTED;
	hedge->foreign = verdict == PROTOCOL_FOREIGN;
	hedge->unframed = http_response_is_unframed(head);
	http_response_each_header(head, relay_store_header, hedge->headers);
}

/* Ends a hedged request that got no usable answer; the first call goes on. */
static void relay_hedge_fail(struct relay_hedge *hedge, bool ran)
{
	struct relay_request *request = hedge->request;
	struct fleet_upstream *up = hedge->load.up;

	if (ran) {
		request->attempt_count++;
		request->may_have_run = true;
	} else if (relay_is_quiet(up)) {
		g_ptr_array_remove(request->tried, up);
	}
	relay_hedge_record_end(hedge, ran ? RELAY_HEDGE_FAILED : RELAY_HEDGE_NOT_RUN);
	relay_hedge_free(hedge);
	relay_count_buffered(request);
}

/* Ends the call of a response that is no usable answer and too long to be read to its end. */
static void relay_hedge_break(struct relay_hedge *hedge)
{
	fleet_upstream_record_outcome(hedge->load.up, false, hedge->not_run, env_now_us());
	http_call_cancel(hedge->call);
	hedge->call = NULL;
	relay_hedge_fail(hedge, !hedge->not_run);
}

static void relay_hedge_on_data(void *ctx, const char *buf, size_t len)
{
	struct relay_hedge *hedge = ctx;
	struct relay_request *request = hedge->request;

	hedge->last_progress_us = env_now_us();
	if (!relay_hedge_keeps_body(hedge)) {
		hedge->discarded_bytes += len;
		if (hedge->discarded_bytes > RELAY_DISCARD_MAX_BYTES)
			relay_hedge_break(hedge);
	} else if (hedge->body->len + len <=
		   buffer_budget_limit(&request->relay->buffers, RELAY_BUFFER_MAX_BYTES)) {
		g_string_append_len(hedge->body, buf, (gssize)len);
		relay_count_buffered(request);
	} else if (relay_hedge_is_usable(hedge)) {
		/* What is too long to be kept is passed on from here: it is the answer. */
		relay_hedge_win(hedge);
		relay_process_data(request, buf, len);
	} else {
		relay_hedge_break(hedge);
	}
}

static void relay_hedge_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct relay_hedge *hedge = ctx;
	struct relay_request *request = hedge->request;
	struct fleet_upstream *up = hedge->load.up;

	if (result == HTTP_CALL_OK && relay_hedge_is_usable(hedge)) {
		relay_hedge_win(hedge);
		relay_end_call(request, result, sent);
		return;
	}
	hedge->call = NULL;
	/* Also with an error, the upstream got through the request. */
	if (result == HTTP_CALL_OK && relay_hedge_keeps_body(hedge))
		crash_guard_on_progress(request->relay->env->crash_guard, &request->decoded,
					request->fingerprint);
	if (!hedge->withheld)
		fleet_upstream_record_outcome(up, result == HTTP_CALL_OK && hedge->not_run,
					      result == HTTP_CALL_OK, env_now_us());
	if (result == HTTP_CALL_BROKEN && sent && !hedge->not_run)
		relay_report_crash(request, up);
	relay_hedge_fail(hedge, sent && !hedge->not_run);
}

/* helpers: decision */

/* Tells whether a second call could be of use: the first is open and nothing of its answer came. */
static bool relay_hedge_applies(const struct relay_request *request)
{
	return relay_hedges_service(request) && request->route->kind == ROUTE_IDEMPOTENT &&
	       request->caller && request->call && request->phase == RELAY_SENT &&
	       !request->discard && !request->hedge_sent && request->first_attempt &&
	       !request->may_have_run;
}

static bool relay_is_harmful(const struct relay_request *request)
{
	struct crash_guard *guard = request->relay->env->crash_guard;
	uint32_t left_ms = 0;

	return crash_guard_is_suspect(guard, &request->decoded, request->fingerprint) ||
	       crash_guard_find(guard, &request->decoded, request->fingerprint, &left_ms) ||
	       crash_guard_held_ms(guard, request->fingerprint) > 0;
}

static struct hedge_view relay_hedge_view(struct relay_request *request,
					  const struct dispatch_need *need, uint64_t now_us)
{
	struct env *env = request->relay->env;
	struct dispatch *dispatch = request->relay->dispatch;

	return (struct hedge_view){
		.stopping = planned_stop_has_begun(&env->stop),
		.attempt_left = request->attempt_count + 2 <= request->route->max_attempts,
		.harmful = relay_is_harmful(request),
		.held_back = dispatch_queued_calls(dispatch, request->service_name) > 0 ||
			     dispatch_is_held_back(dispatch, need),
		.asked_before = request->hedge_withheld,
		.left_us = relay_time_left_ms(request) * 1000,
		.taken_share = dispatch_taken_share(dispatch, request->service_name),
		.budget_left_share = retry_budget_left_share(
			env_retry_budget(env, request->service_name), env->live_instances, now_us),
	};
}

/* Counts a request that is not hedged when it is due, once. */
static void relay_hedge_count_withheld(struct relay_request *request, enum hedge_verdict verdict)
{
	static const enum metric_counter counters[HEDGE_VERDICT_COUNT] = {
		[HEDGE_STOPPING] = METRIC_HEDGES_WITHHELD_OTHER,
		[HEDGE_NO_ATTEMPT] = METRIC_HEDGES_WITHHELD_OTHER,
		[HEDGE_NO_TIME] = METRIC_HEDGES_WITHHELD_OTHER,
		[HEDGE_HARMFUL] = METRIC_HEDGES_WITHHELD_OTHER,
		[HEDGE_RARELY_WINS] = METRIC_HEDGES_WITHHELD_LOSING,
		[HEDGE_POOL_BUSY] = METRIC_HEDGES_WITHHELD_BUSY,
		[HEDGE_BUDGET_LOW] = METRIC_HEDGES_WITHHELD_BUDGET,
		[HEDGE_SHARE_USED] = METRIC_HEDGES_WITHHELD_SHARE,
		[HEDGE_NO_UPSTREAM] = METRIC_HEDGES_WITHHELD_UPSTREAM,
	};

	if (!request->hedge_withheld)
		metric_add(request->relay->env->metric, counters[verdict], 1);
	request->hedge_withheld = true;
}

static void relay_hedge_send(struct relay_request *request, struct fleet_upstream *up,
			     uint64_t now_us)
{
	struct env *env = request->relay->env;
	struct relay_hedge *hedge = g_new0(struct relay_hedge, 1);
	struct protocol_attempt attempt = { .priority = -1 };
	g_autofree char *waited =
		g_strdup_printf("%" G_GUINT64_FORMAT, (now_us - request->sent_us) / 1000);

	hedge->request = request;
	hedge->body = g_string_new(NULL);
	hedge->headers = g_string_new(NULL);
	hedge->sent_us = now_us;
	hedge->last_progress_us = now_us;
	request->hedge = hedge;
	request->hedge_sent = true;
	g_ptr_array_add(request->tried, fleet_upstream_ref(up));
	dispatch_load_add(&hedge->load, up, 0, 0);
	upstream_limit_take(fleet_upstream_limit(up), now_us);
	cold_start_on_request(env->cold_start, up);
	metric_add(env->metric, METRIC_HEDGES_SENT, 1);
	log_event(LOG_HEDGE_SENT, "request", relay_request_id(request), "route",
		  relay_route_name(request), "first", relay_upstream_id(request), "upstream",
		  fleet_upstream_id(up), "waited_ms", waited, NULL);
	hedge->call = relay_send(request, up, &attempt, &relay_hedge_ops, hedge);
}

/* commands */

void relay_count_for_hedges(struct relay_request *request)
{
	if (relay_hedges_service(request))
		hedge_add_request(relay_service_hedge(request->relay, request->service_name),
				  request->relay->env->settings->load.hedge_share);
}

void relay_learn_response(struct relay_request *request, uint64_t now_us)
{
	if (request->first_attempt && relay_hedges_service(request))
		hedge_add_response(relay_service_hedge(request->relay, request->service_name),
				   now_us - request->sent_us);
}

bool relay_try_hedge(struct relay_request *request, uint64_t now_us)
{
	struct env *env = request->relay->env;
	struct dispatch_decision decision = { 0 };
	enum hedge_verdict verdict;
	struct fleet_upstream *up = NULL;
	struct dispatch_need need;
	struct hedge_view view;
	struct hedge *hedge;
	uint64_t delay_us;

	if (!relay_hedge_applies(request))
		return false;
	hedge = relay_service_hedge(request->relay, request->service_name);
	delay_us = hedge_delay_us(hedge, request->route->latency_slo_ms * 1000ULL);
	if (delay_us == HEDGE_DELAY_UNKNOWN || now_us < request->sent_us + delay_us)
		return false;
	need = relay_dispatch_need(request);
	need.sound = true;
	need.slow_us = delay_us;
	view = relay_hedge_view(request, &need, now_us);
	verdict = hedge_decide(hedge, &view);
	if (verdict == HEDGE_SEND) {
		up = dispatch_select_plain(request->relay->dispatch, &need, &decision);
		if (!up)
			verdict = HEDGE_NO_UPSTREAM;
		else if (!retry_budget_take(env_retry_budget(env, request->service_name),
					    env->live_instances, now_us))
			verdict = HEDGE_BUDGET_LOW;
	}
	if (verdict != HEDGE_SEND) {
		relay_hedge_count_withheld(request, verdict);
		return false;
	}
	hedge_take(hedge);
	relay_hedge_send(request, up, now_us);
	return true;
}

void relay_cancel_hedge(struct relay_request *request, enum relay_hedge_end end)
{
	struct relay_hedge *hedge = request->hedge;

	if (!hedge)
		return;
	relay_hedge_record_end(hedge, end);
	http_call_cancel(hedge->call);
	request->attempt_count++;
	request->may_have_run = true;
	relay_hedge_free(hedge);
}

void relay_take_hedge(struct relay_request *request)
{
	relay_hedge_record_end(request->hedge, RELAY_HEDGE_TOOK_OVER);
	relay_hedge_move(request->hedge);
}

/* queries */

uint64_t relay_hedge_buffered_bytes(const struct relay_request *request)
{
	return request->hedge ? request->hedge->body->len : 0;
}

json_t *relay_hedges_json(const struct relay *relay)
{
	json_t *out = json_array();
	GHashTableIter iter;
	gpointer service;
	gpointer hedge;

	g_hash_table_iter_init(&iter, relay->hedges);
	while (g_hash_table_iter_next(&iter, &service, &hedge))
		json_array_append_new(
			out,
			json_pack("{s:s, s:I, s:I, s:I, s:f, s:f}", "service", service, "p50_us",
				  (json_int_t)hedge_quantile_us(hedge, 0.5), "p90_us",
				  (json_int_t)hedge_quantile_us(hedge, 0.9), "p95_us",
				  (json_int_t)hedge_quantile_us(hedge, 0.95), "tokens",
				  hedge_tokens(hedge), "won_share", hedge_won_share(hedge)));
	return out;
}
