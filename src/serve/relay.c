#include "relay.h"

#include "relay_move.h"
#include "relay_send.h"
#include "relay_state.h"

#define RELAY_DEFAULT_WAIT_MS 60000 /* of a caller that does not say how long it waits */
#define RELAY_MIN_SEND_MS     20    /* less is no chance for an answer */
#define RELAY_LATE_MOST_MS    3000 /* of a wait that is asked for; longer guesses are worth little */
#define RELAY_CALL_MS	      1500 /* that a call needs at most, when its upstream is sound */
#define RELAY_TOKEN_MS	      13   /* a token's time in a full batch */
#define RELAY_STOP_TAKES_MS   2700 /* after the signal, until callers were sent elsewhere */

static void relay_on_gone(void *ctx);
static void relay_on_drained(void *ctx);
static void relay_on_granted(void *ctx, struct fups *up, const struct dsp_basis *basis);
static void relay_place(struct relay *relay);
static void relay_outcome(struct relay *relay, enum again_outcome outcome);

/* lifetime */

struct rly *rly_create(struct env *env, struct dsp *dsp)
{
	struct rly *rly = g_new0(struct rly, 1);

	rly->env = env;
	rly->dsp = dsp;
	rly->outcome = relay_outcome;
	g_queue_init(&rly->relays);
	rly->guesses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return rly;
}

void rly_destroy(struct rly *rly)
{
	if (!rly)
		return;
	while (rly->relays.head)
		relay_free(rly->relays.head->data);
	g_hash_table_destroy(rly->guesses);
	g_free(rly);
}

/* helpers: routing */

/* Finds the route and the customer. @return false when the request was answered */
static bool relay_route_request(struct relay *relay)
{
	struct env *env = relay->rly->env;
	bool fresh = env_keys_fresh(env);
	enum err_kind kind = ERR_OK;

	if (!env->config) {
		relay_answer_error(relay, ERR_NOT_READY, 500, "no-configuration");
		return false;
	}
	relay->config = rt_config_ref(env->config);
	relay->route =
		rt_match(relay->config, hreq_host(relay->caller), hreq_target(relay->caller));
	if (!relay->route)
		kind = ERR_NOT_FOUND;
	else if (!relay->route->open && rt_config_has_customers(relay->config)) {
		relay->customer = relay->request.key
					  ? rt_find_customer(relay->config, relay->request.key)
					  : NULL;
		if (!relay->customer)
			kind = ERR_UNAUTHENTICATED;
	}
	/* What an old configuration denies may be allowed by now, and the other way round. */
	if (!fresh && (kind != ERR_OK || relay->customer))
		kind = ERR_UNCONFIRMED;
	if (kind == ERR_OK)
		return true;
	if (kind == ERR_UNCONFIRMED)
		hreq_close_after(relay->caller);
	relay_answer_error(relay, kind, kind == ERR_UNCONFIRMED ? relay_retry_ms(relay) : 0,
			   err_info(kind)->name);
	return false;
}

/* Whether a request ends for certain before this process does, or comes so early in its stop
 * that callers could not know of it. */
static bool relay_fits_before_exit(const struct relay *relay)
{
	const struct env *env = relay->rly->env;
	uint64_t needs_ms = RELAY_CALL_MS;

	if (!env->stopping || relay->arrived_us < env->stop_us + RELAY_STOP_TAKES_MS * 1000ULL)
		return true;
	if (relay_is_generation(relay))
		needs_ms += relay->request.max_output_tokens * RELAY_TOKEN_MS;
	return relay->arrived_us + needs_ms * 1000 < env->exit_us;
}

/* helpers: placing */

static void relay_log_placed(const struct relay *relay, const struct fups *up,
			     const struct dsp_basis *basis)
{
	g_autofree char *candidates = g_strdup_printf("%u", basis->candidates);
	g_autofree char *load = g_strdup_printf("%" G_GUINT64_FORMAT, basis->load);
	g_autofree char *waited = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));
	g_autofree char *version =
		g_strdup_printf("%" G_GUINT64_FORMAT, rt_config_version(relay->config));
	g_autofree char *prompt =
		g_strdup_printf("%" G_GUINT64_FORMAT, relay->request.prompt_tokens);
	g_autofree char *output =
		g_strdup_printf("%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
				relay->expected_output, relay->request.hinted_output_tokens,
				relay->request.max_output_tokens);

	log_event(LOG_REQUEST_PLACED, "request", relay_id(relay), "route", relay_route(relay),
		  "customer", relay->customer ? relay->customer->name : "-", "upstream",
		  fups_id(up), "state", fups_state_name(fups_state(up)), "candidates", candidates,
		  "load", load, "waited_ms", waited, "config", version, "prompt", prompt, "output",
		  output, "backup", relay->backup.up ? fups_id(relay->backup.up) : "-", NULL);
}

/* Lets a generation wait for an engine, or refuses it when the wait would be too long. */
static void relay_queue(struct relay *relay, const struct dsp_need *need, uint32_t late_ms)
{
	const struct gateway_load_settings *load = &relay->rly->env->set->load;
	uint32_t waiting = dsp_waiting(relay->rly->dsp);
	g_autofree char *ahead = g_strdup_printf("%u", waiting);

	if (waiting >= load->wait_limit || relay_left_ms(relay) < RELAY_MIN_SEND_MS) {
		relay_answer_error(relay, ERR_OVERLOADED, relay_retry_ms(relay), "queue-full");
		return;
	}
	/* Nothing gets better by waiting when all engines are behind. */
	if (late_ms) {
		relay_answer_error(relay, ERR_OVERLOADED,
				   relay_retry_ms(relay) + MIN(late_ms, RELAY_LATE_MOST_MS),
				   "would-be-late");
		return;
	}
	relay->phase = RELAY_WAITING;
	relay->give_up_us = MIN(relay->arrived_us + load->wait_ms * 1000, relay->ends_us);
	log_event(LOG_REQUEST_QUEUED, "request", relay_id(relay), "route", relay_route(relay),
		  "ahead", ahead, NULL);
	relay->ticket =
		dsp_wait(relay->rly->dsp, need, relay_priority(relay), relay_on_granted, relay);
}

static void relay_place(struct relay *relay)
{
	struct dsp *dsp = relay->rly->dsp;
	struct dsp_need need = relay_need(relay);
	struct dsp_basis basis = { 0 };
	struct fups *up;

	if (relay_is_generation(relay)) {
		/* Those that wait go first. */
		up = dsp_waiting(dsp) ? NULL : dsp_pick_engine(dsp, &need, &basis);
		if (!up && dsp_any(dsp, relay->service_name)) {
			relay_queue(relay, &need, basis.late_ms);
			return;
		}
	} else {
		up = dsp_pick_plain(dsp, &need, &basis);
	}
	if (!up) {
		if (relay->may_have_run)
			relay_answer_error(relay, ERR_OUTCOME_UNKNOWN, 0, "no-other-upstream");
		else
			relay_answer_error(relay, ERR_NO_UPSTREAM, relay_retry_ms(relay),
					   "no-upstream");
		return;
	}
	relay_send(relay, up, NULL, NULL);
	relay_log_placed(relay, up, &basis);
}

static void relay_on_granted(void *ctx, struct fups *up, const struct dsp_basis *basis)
{
	struct relay *relay = ctx;

	relay->ticket = NULL;
	metric_observe(relay->rly->env->metric, METRIC_QUEUE_US, env_now_us() - relay->arrived_us);
	/* A key may have been revoked while its request waited. */
	if (relay->customer && !env_keys_fresh(relay->rly->env)) {
		relay_answer_error(relay, ERR_UNCONFIRMED, relay_retry_ms(relay), "unconfirmed");
		return;
	}
	relay_send(relay, up, NULL, NULL);
	relay_log_placed(relay, up, basis);
}

/* helpers: after a send ended */

static void relay_log_repeat(const struct relay *relay, enum again_outcome outcome,
			     enum again_action action)
{
	g_autofree char *runs = g_strdup_printf("%u", relay->runs);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));

	log_event(LOG_ATTEMPT_FAILED, "request", relay_id(relay), "route", relay_route(relay),
		  "upstream", relay_up_id(relay), "outcome", again_outcome_name(outcome), "action",
		  again_action_name(action), "runs", runs, "age_ms", age, NULL);
}

static void relay_outcome(struct relay *relay, enum again_outcome outcome)
{
	struct env *env = relay->rly->env;
	struct dsp_need need = relay_need(relay);
	struct again_case c = {
		.outcome = outcome,
		.repeatable = rt_repeatable(relay->route),
		.begun = relay->begun,
		.may_have_run = relay->may_have_run,
		.has_copy = relay_has_copy(relay),
		.runs = relay->runs,
		.max_runs = relay->route->max_attempts,
		.time_left = relay_left_ms(relay) > RELAY_MIN_SEND_MS,
		.budget_left = true,
	};
	struct dsp_basis basis;
	enum again_action action;

	if (!relay->caller) {
		relay_log_end(relay, LOG_REQUEST_CALLER_LEFT, again_outcome_name(outcome));
		relay_free(relay);
		return;
	}
	c.upstream_left = relay_is_generation(relay)
				  ? dsp_any(relay->rly->dsp, relay->service_name)
				  : dsp_pick_plain(relay->rly->dsp, &need, &basis) != NULL;
	action = again_decide(&c);
	if (action == AGAIN_REPEAT && outcome != AGAIN_NOT_SENT) {
		c.budget_left = rep_take(env_budget(env, relay->service_name), env->instances,
					 env_now_us());
		action = again_decide(&c);
	}
	relay_log_repeat(relay, outcome, action);
	if (outcome == AGAIN_BROKEN || outcome == AGAIN_SILENT || outcome == AGAIN_ERROR)
		relay->may_have_run = true;
	switch (action) {
	case AGAIN_DELIVER:
		relay_deliver(relay);
		break;
	case AGAIN_REPEAT:
		metric_add(env->metric, METRIC_RETRIES, 1);
		relay_drop_call(relay);
		relay_place(relay);
		break;
	case AGAIN_TAKE_OVER:
		relay_take_over(relay, again_outcome_name(outcome));
		break;
	case AGAIN_REFUSE:
		relay_answer_error(relay, ERR_OVERLOADED, relay_retry_ms(relay),
				   again_outcome_name(outcome));
		break;
	case AGAIN_FAIL:
		relay_answer_error(relay,
				   outcome == AGAIN_SILENT ? ERR_TIMED_OUT : ERR_OUTCOME_UNKNOWN, 0,
				   again_outcome_name(outcome));
		break;
	default:
		relay_cut(relay, again_outcome_name(outcome));
		break;
	}
}

/* helpers: callers and time */

static void relay_on_gone(void *ctx)
{
	struct relay *relay = ctx;

	relay->caller = NULL;
	/* A call that may run once is left to end; its answer has nobody to go to. */
	if (relay->call && relay->route->kind == RT_ONCE && relay->phase != RELAY_WAITING) {
		relay->discard = true;
		return;
	}
	relay_log_end(relay, LOG_REQUEST_CALLER_LEFT, "caller-left");
	relay_free(relay);
}

static void relay_on_drained(void *ctx)
{
	struct relay *relay = ctx;

	if (relay->call)
		hcall_resume(relay->call);
}

/* Whether a send has been silent for so long that another upstream is tried. */
static bool relay_is_silent(const struct relay *relay, uint64_t now_us)
{
	const struct gateway_load_settings *load = &relay->rly->env->set->load;
	uint64_t silent_ms = (now_us - relay->progress_us) / 1000;

	if (!relay->call || relay->stopping)
		return false;
	if (relay->phase == RELAY_STREAMING && relay->event_count > 0)
		return silent_ms > load->stall_ms &&
		       (relay_has_copy(relay) || relay->route->resumable);
	/* An engine that sends nothing to anybody has died; one that is only busy would read the
	 * prompt in vain. */
	if (relay->route->kind == RT_STREAM && relay->route->resumable && relay->part.up)
		return silent_ms > load->stall_ms &&
		       fups_silent_us(relay->part.up, now_us) > load->stall_ms * 1000;
	if (relay->phase == RELAY_SENT && relay->route->kind == RT_IDEMPOTENT)
		return silent_ms > load->answer_ms && relay->runs + 1 < relay->route->max_attempts;
	return false;
}

static void relay_check(struct relay *relay, uint64_t now_us)
{
	if (now_us >= relay->ends_us && relay->phase != RELAY_WAITING) {
		/* Past the deadline nobody waits; what runs is stopped. */
		if (now_us < relay->ends_us + RELAY_TIMEOUT_LATE_MS * 1000ULL || !relay->caller)
			return;
		relay_drop_move(relay);
		relay_drop_call(relay);
		relay->runs++;
		relay_outcome(relay, AGAIN_SILENT);
	} else if (relay->phase == RELAY_WAITING && now_us >= relay->give_up_us) {
		if (relay->may_have_run)
			relay_answer_error(relay, ERR_OUTCOME_UNKNOWN, 0, "waited");
		else
			relay_answer_error(relay, ERR_OVERLOADED, relay_retry_ms(relay), "waited");
	} else if (relay_must_move(relay, now_us)) {
		relay_evacuate(relay);
	} else if (relay_has_idle_copy(relay)) {
		relay_drop_move(relay);
	} else if (relay_is_silent(relay, now_us)) {
		fups_outcome(relay->part.up, false, false, now_us);
		relay_drop_call(relay);
		relay->runs++;
		relay_outcome(relay, AGAIN_SILENT);
	}
}

/* commands */

void rly_handle(void *ctx, struct hreq *req)
{
	struct rly *rly = ctx;
	struct relay *relay = relay_create(rly, req, relay_on_gone, relay_on_drained);
	uint64_t wait_ms = relay->request.wait_ms ? relay->request.wait_ms : RELAY_DEFAULT_WAIT_MS;

	metric_add(rly->env->metric, METRIC_REQUESTS, 1);
	if (!relay->request.id) {
		relay_answer_error(relay, ERR_BAD_REQUEST, 0, "no-id");
		return;
	}
	if (!relay_route_request(relay))
		return;
	if (relay->route->timeout_ms)
		wait_ms = MIN(wait_ms, relay->route->timeout_ms);
	relay->ends_us = relay->arrived_us + wait_ms * 1000;
	relay->service_name = rt_target(relay->route, g_rand_int(rly->env->rand));
	relay->service =
		relay->service_name ? rt_find_service(relay->config, relay->service_name) : NULL;
	if (!relay->service) {
		relay_answer_error(relay, ERR_NO_UPSTREAM, relay_retry_ms(relay), "no-service");
		return;
	}
	if (relay_is_generation(relay))
		relay_expect(relay);
	if (!relay_fits_before_exit(relay)) {
		hreq_close_after(relay->caller);
		relay_answer_error(relay, ERR_NOT_READY, RELAY_RETRY_MIN_MS, "stopping");
		return;
	}
	rep_request(env_budget(rly->env, relay->service_name), relay->arrived_us);
	relay_place(relay);
}

void rly_tick(struct rly *rly)
{
	uint64_t now_us = env_now_us();
	GList *next;

	for (GList *item = rly->relays.head; item; item = next) {
		next = item->next;
		relay_check(item->data, now_us);
	}
	dsp_serve(rly->dsp);
}

void rly_serve(struct rly *rly)
{
	if (!rly->freed)
		return;
	rly->freed = false;
	dsp_serve(rly->dsp);
}

/* queries */

json_t *rly_state(const struct rly *rly, uint32_t most)
{
	json_t *out = json_array();

	for (GList *item = rly->relays.head; item && json_array_size(out) < most;
	     item = item->next) {
		const struct relay *relay = item->data;

		json_array_append_new(
			out, json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:i, s:b}", "id",
				       relay_id(relay), "route", relay_route(relay), "upstream",
				       relay_up_id(relay), "phase", relay_phase_name(relay->phase),
				       "age_ms", (json_int_t)relay_age_ms(relay), "events",
				       (json_int_t)relay->event_count, "runs", (int)relay->runs,
				       "moving", relay->move != NULL));
	}
	return out;
}

uint32_t rly_open(const struct rly *rly)
{
	return rly->relays.length;
}
