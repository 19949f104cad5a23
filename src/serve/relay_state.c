#include "relay_state.h"

#include "flamingolatch/guess.h"
#include "flamingolatch/reply.h"

#define RELAY_RETRY_SPREAD_MS 600
#define RELAY_FREE_TIMEOUT_MS 1000
#define RELAY_FREE_ANSWER_MAX 4096
#define RELAY_ON_TIME_PART    0.95 /* of the objective; the rest is the way back */
#define RELAY_CAME_BACK_MS    300  /* a caller that waits this much less than its route allows */
#define RELAY_MAX_PRIORITY    9

static const char *const relay_phase_names[RELAY_PHASE_COUNT] = { "waiting", "sent", "holding",
								  "streaming" };

/* lifetime */

static void relay_release_up(gpointer data)
{
	fups_release(data);
}

struct relay *relay_create(struct rly *rly, struct hreq *req, void (*gone)(void *ctx),
			   void (*drained)(void *ctx))
{
	struct relay *relay = g_new0(struct relay, 1);

	relay->rly = rly;
	relay->caller = req;
	relay->link.data = relay;
	relay->arrived_us = env_now_us();
	relay->progress_us = relay->arrived_us;
	relay->tried = g_ptr_array_new_with_free_func(relay_release_up);
	relay->move_tried = g_ptr_array_new_with_free_func(relay_release_up);
	relay->answer = g_string_new(NULL);
	relay->answer_lines = g_string_new(NULL);
	rly->env->surface->decode(req, &relay->request);
	g_queue_push_tail_link(&rly->relays, &relay->link);
	hreq_set_callbacks(req, gone, drained, relay);
	return relay;
}

/* Drops the send that is under way, and its part in the load. */
void relay_drop_call(struct relay *relay)
{
	if (relay->call)
		hcall_cancel(relay->call);
	relay->call = NULL;
	dsp_leave(&relay->part);
}

/* The engine's answer to a call that frees a copy changes nothing. */
static void relay_on_freed(void *ctx, const struct fetch_answer *answer)
{
	(void)ctx;
	(void)answer;
}

/* Frees a copy that will not be used; it would hold memory at its engine for seconds. */
static void relay_free_copy(struct relay *relay)
{
	struct env *env = relay->rly->env;
	g_autofree char *path = NULL;
	struct hcall_req req = { .address = relay->copy_source,
				 .scope = "copies",
				 .method = "DELETE",
				 .timeout_ms = RELAY_FREE_TIMEOUT_MS };

	dsp_leave(&relay->copy);
	if (!relay->copy_handle)
		return;
	path = env->surface->encode_free(relay->copy_handle);
	req.path = path;
	fetch_start(env->cli, &req, RELAY_FREE_ANSWER_MAX, NULL, relay_on_freed, NULL);
	g_clear_pointer(&relay->copy_handle, g_free);
}

void relay_take_copy(struct relay *relay)
{
	dsp_leave(&relay->copy);
	g_clear_pointer(&relay->copy_handle, g_free);
}

void relay_drop_move(struct relay *relay)
{
	relay_free_copy(relay);
	if (relay->move)
		fetch_cancel(relay->move);
	relay->move = NULL;
	relay->stopping = false;
	if (relay->move_to)
		fups_release(relay->move_to);
	relay->move_to = NULL;
}

void relay_free(struct relay *relay)
{
	struct rly *rly = relay->rly;

	if (relay->caller)
		hreq_set_callbacks(relay->caller, NULL, NULL, NULL);
	if (relay->ticket)
		dsp_give_up(rly->dsp, relay->ticket);
	relay_drop_move(relay);
	relay_drop_call(relay);
	dsp_leave(&relay->backup);
	g_queue_unlink(&rly->relays, &relay->link);
	evs_destroy(relay->events);
	g_ptr_array_free(relay->tried, TRUE);
	g_ptr_array_free(relay->move_tried, TRUE);
	g_string_free(relay->answer, TRUE);
	g_string_free(relay->answer_lines, TRUE);
	srf_request_clear(&relay->request);
	rt_config_unref(relay->config);
	g_free(relay->copy_handle);
	g_free(relay->copy_source);
	g_free(relay->up_id);
	g_free(relay->last_event_id);
	g_free(relay);
	rly->freed = true;
}

/* commands */

/* Returns what is known of the lengths of a request's route. */
static struct guess *relay_guess(const struct relay *relay)
{
	GHashTable *guesses = relay->rly->guesses;
	const char *name = relay_route(relay);
	struct guess *guess = g_hash_table_lookup(guesses, name);

	if (!guess) {
		guess = g_new0(struct guess, 1);
		gss_init(guess, relay->request.max_output_tokens);
		g_hash_table_insert(guesses, g_strdup(name), guess);
	}
	return guess;
}

/* Returns the tokens that a generation has made. */
static uint64_t relay_made(const struct relay *relay)
{
	return relay->event_count * relay->service->engine.tokens_per_event;
}

/* Takes the memory that a generation is expected to reach into account. */
void relay_expect(struct relay *relay)
{
	relay->expected_output =
		gss_expected(relay_guess(relay), relay->request.hinted_output_tokens,
			     relay->request.max_output_tokens, relay_made(relay));
	dsp_expect(&relay->part, relay->request.prompt_tokens + relay->expected_output);
	dsp_expect(&relay->backup, relay->request.prompt_tokens + relay->expected_output);
	dsp_expect(&relay->copy, relay->request.prompt_tokens + relay->expected_output);
}

void relay_log_end(struct relay *relay, enum log_event_id event, const char *reason)
{
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));
	g_autofree char *events = g_strdup_printf("%" G_GUINT64_FORMAT, relay->event_count);
	g_autofree char *status = g_strdup_printf("%u", relay->status);
	g_autofree char *first = g_strdup_printf("%u", relay->first_ms);
	g_autofree char *pause = g_strdup_printf("%u", relay->longest_ms);

	log_event(event, "request", relay_id(relay), "route", relay_route(relay), "upstream",
		  relay_up_id(relay), "reason", reason, "status", status, "events", events,
		  "age_ms", age, "first_ms", first, "longest_pause_ms", pause, NULL);
}

/* Answers with an error of our own and ends the request. */
void relay_answer_error(struct relay *relay, enum err_kind kind, uint32_t retry_after_ms,
			const char *reason)
{
	struct hreq *caller = relay->caller;
	bool ran = err_info(kind)->ran != ERR_RAN_NOT;

	relay->status = err_info(kind)->http_status;
	relay_log_end(relay, ran ? LOG_REQUEST_FAILED : LOG_REQUEST_REFUSED, reason);
	if (!ran)
		metric_add(relay->rly->env->metric, METRIC_REFUSED, 1);
	if (caller) {
		hreq_set_callbacks(caller, NULL, NULL, NULL);
		relay->caller = NULL;
		rpl_error(caller, kind, retry_after_ms, NULL);
	}
	relay_free(relay);
}

/* Breaks an answer off, so that the caller sees that it is not whole. */
void relay_cut(struct relay *relay, const char *reason)
{
	struct hreq *caller = relay->caller;

	relay_log_end(relay, LOG_STREAM_ABORTED, reason);
	metric_add(relay->rly->env->metric, METRIC_GENERATIONS_LOST, 1);
	relay->caller = NULL;
	if (caller)
		hreq_stream_abort(caller);
	relay_free(relay);
}

void relay_finish(struct relay *relay)
{
	struct hreq *caller = relay->caller;

	relay->caller = NULL;
	relay_log_end(relay, LOG_REQUEST_COMPLETED, relay->stream ? "stream" : "answer");
	if (relay->stream && !relay->request.last_event_id)
		gss_learn(relay_guess(relay), relay_made(relay),
			  relay_made(relay) >= relay->request.max_output_tokens);
	if (caller)
		hreq_stream_end(caller);
	if (relay->stream)
		metric_add(relay->rly->env->metric, METRIC_GENERATIONS_DONE, 1);
	else
		metric_observe(relay->rly->env->metric, METRIC_CALL_US,
			       env_now_us() - relay->arrived_us);
	relay_free(relay);
}

/* Passes the head of the upstream's answer on. */
void relay_begin(struct relay *relay)
{
	const char *at = relay->answer_lines->str;
	const char *end = at + relay->answer_lines->len;

	while (at < end) {
		const char *value = at + strlen(at) + 1;

		hreq_add_header(relay->caller, at, value);
		at = value + strlen(value) + 1;
	}
	relay->begun = true;
}

/* Passes a gathered answer on. */
void relay_deliver(struct relay *relay)
{
	struct hreq *caller = relay->caller;

	relay->caller = NULL;
	relay_log_end(relay, LOG_REQUEST_COMPLETED, "answer");
	metric_observe(relay->rly->env->metric, METRIC_CALL_US, env_now_us() - relay->arrived_us);
	metric_add(relay->rly->env->metric, METRIC_CALLS, 1);
	if (caller) {
		relay->caller = caller;
		relay_begin(relay);
		relay->caller = NULL;
		hreq_set_callbacks(caller, NULL, NULL, NULL);
		hreq_reply(caller, relay->status, NULL, relay->answer->str, relay->answer->len);
	}
	relay_free(relay);
}

/* queries */

const char *relay_phase_name(enum relay_phase phase)
{
	return relay_phase_names[phase];
}

const char *relay_id(const struct relay *relay)
{
	return relay->request.id ? relay->request.id : "-";
}

const char *relay_route(const struct relay *relay)
{
	return relay->route && relay->route->name ? relay->route->name : "-";
}

const char *relay_up_id(const struct relay *relay)
{
	return relay->up_id ? relay->up_id : "-";
}

uint64_t relay_age_ms(const struct relay *relay)
{
	return (env_now_us() - relay->arrived_us) / 1000;
}

uint64_t relay_left_ms(const struct relay *relay)
{
	uint64_t now_us = env_now_us();

	return now_us < relay->ends_us ? (relay->ends_us - now_us) / 1000 : 0;
}

bool relay_is_generation(const struct relay *relay)
{
	return relay->service && relay->service->generates;
}

uint32_t relay_priority(const struct relay *relay)
{
	if (relay->customer && relay->customer->priority >= 0)
		return MIN((uint32_t)relay->customer->priority, RELAY_MAX_PRIORITY);
	return MIN(relay->route->priority, RELAY_MAX_PRIORITY);
}

/* Returns the time in which a generation's first event is wanted; 0 when it may be late: its
 * caller has come back, and is not sent away twice. */
static uint32_t relay_left_for_first_ms(const struct relay *relay)
{
	uint64_t spent_ms = relay_age_ms(relay);
	uint64_t wanted_ms = (uint64_t)(relay->route->objective_ms * RELAY_ON_TIME_PART);
	bool came_back = relay->request.wait_ms + RELAY_CAME_BACK_MS < relay->route->timeout_ms;

	if (came_back || relay->event_count > 0 || relay->runs > 0)
		return 0;
	return spent_ms < wanted_ms ? (uint32_t)(wanted_ms - spent_ms) : 1;
}

struct dsp_need relay_need(const struct relay *relay)
{
	return (struct dsp_need){
		.service = relay->service_name,
		.engine = relay_is_generation(relay) ? &relay->service->engine : NULL,
		.place = { .prompt_tokens = relay->request.prompt_tokens,
			   .output_tokens = relay->expected_output,
			   .left_ms = relay_left_for_first_ms(relay),
			   .stale_ms = relay->rly->env->far_ms,
			   .draw = g_rand_int(relay->rly->env->rand),
			   .resumes = relay->resumed },
		.once = !rt_repeatable(relay->route),
		.tried = relay->tried,
	};
}

/* Returns when a refused caller may come back, spread so that they do not come at once. */
uint32_t relay_retry_ms(const struct relay *relay)
{
	uint32_t spread = g_rand_int_range(relay->rly->env->rand, 0, RELAY_RETRY_SPREAD_MS);
	uint32_t waiting = dsp_waiting(relay->rly->dsp);

	return RELAY_RETRY_MIN_MS + spread + 20 * MIN(waiting, 100);
}

/* Whether the copy at the backup engine can be used now. */
bool relay_has_copy(const struct relay *relay)
{
	return relay->backup.up && fups_state(relay->backup.up) <= FUPS_LAPSED;
}
