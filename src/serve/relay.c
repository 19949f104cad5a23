#include "relay.h"

#include "flamingolatch/again.h"
#include "flamingolatch/evs.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/guess.h"
#include "flamingolatch/reply.h"

#include <stdlib.h>
#include <string.h>

#define RELAY_EVENT_MAX_BYTES (1U << 20)
#define RELAY_HOLD_MAX_BYTES  (256U << 10) /* longer answers are passed on as they come */
#define RELAY_BACKLOG_BYTES   (256U << 10) /* of a caller that reads slowly */
#define RELAY_DEFAULT_WAIT_MS 60000	   /* of a caller that does not say how long it waits */
#define RELAY_MIN_SEND_MS     20	   /* less is no chance for an answer */
#define RELAY_TIMEOUT_LATE_MS 60 /* the upstream's own answer at the deadline goes first */
#define RELAY_RETRY_MIN_MS    400
#define RELAY_RETRY_SPREAD_MS 600
#define RELAY_FINISH_EVENTS   12 /* a stream that is this near its end is not moved */
#define RELAY_MAX_PRIORITY    9
#define RELAY_CALL_MS	      1500 /* that a call needs at most, when its upstream is sound */
#define RELAY_TOKEN_MS	      13   /* a token's time in a full batch */
#define RELAY_STOP_TAKES_MS   2700 /* after the signal, until callers were sent elsewhere */
#define RELAY_MOVE_ANSWER_MAX 4096
#define RELAY_MOVE_TIMEOUT_MS 4000
#define RELAY_MOVE_RETRY_US   (150ULL * 1000) /* between two tries to move a run */
#define RELAY_COPY_LAG_US     (600ULL * 1000) /* until a copy has most of a run's memory */
#define RELAY_EXPECT_EVENTS   16	      /* between two looks at how long a stream will be */
#define RELAY_MOVE_IDLE_MS    60	      /* a copy this fast found the engine's link idle */
#define RELAY_NOTICE_MS	      1250 /* of an engine that leaves: the shortest seen, less a copy */

enum relay_phase {
	RELAY_WAITING,	 /* for an engine */
	RELAY_SENT,	 /* for the head of an answer */
	RELAY_HOLDING,	 /* the answer is gathered, to be passed on whole */
	RELAY_STREAMING, /* the answer is passed on as it comes */
	RELAY_MOVING,	 /* the run was stopped and goes on elsewhere soon */
	RELAY_PHASE_COUNT
};

struct rly {
	struct env *env;
	struct dsp *dsp;
	GQueue relays;	     /* struct relay */
	bool freed;	     /* a request ended since engines were last granted */
	GHashTable *guesses; /* route's name to struct guess */
};

struct relay {
	struct rly *rly;
	GList link;
	struct hreq *caller; /* NULL after it left or was answered */
	struct srf_request request;
	struct rt_config *config; /* the one that the request was routed by */
	const struct rt_route *route;
	const struct rt_service *service;
	const struct rt_customer *customer;
	const char *service_name;
	struct dsp_part part;	/* on the upstream that has the request */
	struct dsp_part backup; /* on the engine that keeps a copy */
	struct dsp_ticket *ticket;
	struct hcall *call;
	struct fetch *move;    /* call that moves the run */
	struct fups *move_to;  /* held while a move goes on */
	GPtrArray *tried;      /* upstreams that had the request; held */
	GPtrArray *move_tried; /* engines that took no copy; held */
	struct evs *events;
	GString *answer;       /* body that is gathered */
	GString *answer_lines; /* name and value of headers, each ended by a zero byte */
	char *last_event_id;   /* passed on to the caller last */
	uint64_t arrived_us;
	uint64_t ends_us; /* no answer is wanted after it */
	uint64_t give_up_us;
	uint64_t sent_us;
	uint64_t progress_us;
	uint64_t first_event_us; /* of the present run at its engine; 0 before */
	uint64_t evacuated_us;	 /* when a move was last tried; 0 before */
	uint64_t event_count;
	uint64_t expected_output;
	uint32_t runs;
	uint16_t status;
	enum relay_phase phase;
	bool begun;	   /* the answer's head was passed on */
	bool may_have_run; /* by an earlier send */
	bool resumed;	   /* the present send goes on from a copy or an event */
	bool discard;	   /* the present answer is not passed on */
	bool foreign;	   /* the present answer is not the upstream's */
	bool stream;	   /* the present answer is a stream of events */
	bool stopping;	   /* the run is being stopped by a move */
	bool move_last;
	uint64_t move_sent_us;
	bool not_run;
};

static bool relay_on_connected(void *ctx);
static void relay_on_head(void *ctx, const struct hcall_head *head);
static void relay_on_data(void *ctx, const char *buf, size_t len);
static void relay_on_end(void *ctx, enum hcall_result result, bool sent);
static bool relay_owns(void *ctx, const struct hcall_head *head);
static bool relay_on_event(void *ctx, const char *raw, size_t len, const char *id);
static void relay_on_gone(void *ctx);
static void relay_on_drained(void *ctx);
static void relay_on_granted(void *ctx, struct fups *up, const struct dsp_basis *basis);
static void relay_on_moved(void *ctx, const struct fetch_answer *answer);
static void relay_place(struct relay *relay);
static void relay_send(struct relay *relay, struct fups *up, const char *from_address,
		       const char *from_handle);
static void relay_outcome(struct relay *relay, enum again_outcome outcome);
static void relay_free(struct relay *relay);

static const struct hcall_ops relay_call_ops = {
	.connected = relay_on_connected,
	.head = relay_on_head,
	.data = relay_on_data,
	.end = relay_on_end,
	.owns = relay_owns,
};

/* lifetime */

struct rly *rly_create(struct env *env, struct dsp *dsp)
{
	struct rly *rly = g_new0(struct rly, 1);

	rly->env = env;
	rly->dsp = dsp;
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

static void relay_release_up(gpointer data)
{
	fups_release(data);
}

static struct relay *relay_create(struct rly *rly, struct hreq *req)
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
	hreq_set_callbacks(req, relay_on_gone, relay_on_drained, relay);
	return relay;
}

/* Drops the send that is under way, and its part in the load. */
static void relay_drop_call(struct relay *relay)
{
	if (relay->call)
		hcall_cancel(relay->call);
	relay->call = NULL;
	dsp_leave(&relay->part);
}

static void relay_drop_move(struct relay *relay)
{
	if (relay->move)
		fetch_cancel(relay->move);
	relay->move = NULL;
	relay->stopping = false;
	if (relay->move_to)
		fups_release(relay->move_to);
	relay->move_to = NULL;
}

static void relay_free(struct relay *relay)
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
	g_free(relay->last_event_id);
	g_free(relay);
	rly->freed = true;
}

/* helpers: what is said of a request */

static const char *relay_id(const struct relay *relay)
{
	return relay->request.id ? relay->request.id : "-";
}

static const char *relay_route(const struct relay *relay)
{
	return relay->route && relay->route->name ? relay->route->name : "-";
}

static uint64_t relay_age_ms(const struct relay *relay)
{
	return (env_now_us() - relay->arrived_us) / 1000;
}

static uint64_t relay_left_ms(const struct relay *relay)
{
	uint64_t now_us = env_now_us();

	return now_us < relay->ends_us ? (relay->ends_us - now_us) / 1000 : 0;
}

static const char *relay_up_id(const struct relay *relay)
{
	return relay->part.up ? fups_id(relay->part.up) : "-";
}

static bool relay_is_generation(const struct relay *relay)
{
	return relay->service && relay->service->generates;
}

/* helpers: expected lengths */

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
static void relay_expect(struct relay *relay)
{
	relay->expected_output =
		gss_expected(relay_guess(relay), relay->request.hinted_output_tokens,
			     relay->request.max_output_tokens, relay_made(relay));
	dsp_expect(&relay->part, relay->request.prompt_tokens + relay->expected_output);
	dsp_expect(&relay->backup, relay->request.prompt_tokens + relay->expected_output);
}

/* helpers: the end of a request */

static void relay_log_end(struct relay *relay, enum log_event_id event, const char *reason)
{
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));
	g_autofree char *events = g_strdup_printf("%" G_GUINT64_FORMAT, relay->event_count);
	g_autofree char *status = g_strdup_printf("%u", relay->status);

	log_event(event, "request", relay_id(relay), "route", relay_route(relay), "upstream",
		  relay_up_id(relay), "reason", reason, "status", status, "events", events,
		  "age_ms", age, NULL);
}

/* Answers with an error of our own and ends the request. */
static void relay_answer_error(struct relay *relay, enum err_kind kind, uint32_t retry_after_ms,
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

/* Returns when a refused caller may come back, spread so that they do not come at once. */
static uint32_t relay_retry_ms(const struct relay *relay)
{
	uint32_t spread = g_rand_int_range(relay->rly->env->rand, 0, RELAY_RETRY_SPREAD_MS);
	uint32_t waiting = dsp_waiting(relay->rly->dsp);

	return RELAY_RETRY_MIN_MS + spread + 20 * MIN(waiting, 100);
}

/* Breaks an answer off, so that the caller sees that it is not whole. */
static void relay_cut(struct relay *relay, const char *reason)
{
	struct hreq *caller = relay->caller;

	relay_log_end(relay, LOG_STREAM_CUT, reason);
	metric_add(relay->rly->env->metric, METRIC_GENERATIONS_LOST, 1);
	relay->caller = NULL;
	if (caller)
		hreq_stream_abort(caller);
	relay_free(relay);
}

static void relay_finish(struct relay *relay)
{
	struct hreq *caller = relay->caller;

	relay->caller = NULL;
	relay_log_end(relay, LOG_REQUEST_ENDED, relay->stream ? "stream" : "answer");
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

static uint32_t relay_priority(const struct relay *relay)
{
	if (relay->customer && relay->customer->priority >= 0)
		return MIN((uint32_t)relay->customer->priority, RELAY_MAX_PRIORITY);
	return MIN(relay->route->priority, RELAY_MAX_PRIORITY);
}

static struct dsp_need relay_need(const struct relay *relay)
{
	uint64_t spent_ms = relay_age_ms(relay);
	uint32_t objective_ms = relay->route->objective_ms;

	return (struct dsp_need){
		.service = relay->service_name,
		.engine = relay_is_generation(relay) ? &relay->service->engine : NULL,
		.place = { .prompt_tokens = relay->request.prompt_tokens,
			   .output_tokens = relay->expected_output,
			   .left_ms =
				   spent_ms < objective_ms ? objective_ms - (uint32_t)spent_ms : 0,
			   .resumes = relay->resumed },
		.tried = relay->tried,
	};
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

void rly_handle(void *ctx, struct hreq *req)
{
	struct rly *rly = ctx;
	struct relay *relay = relay_create(rly, req);
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

/* helpers: placing and sending */

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
static void relay_queue(struct relay *relay, const struct dsp_need *need)
{
	const struct gset_load *load = &relay->rly->env->set->load;
	uint32_t waiting = dsp_waiting(relay->rly->dsp);
	g_autofree char *ahead = g_strdup_printf("%u", waiting);

	if (waiting >= load->wait_limit || relay_left_ms(relay) < RELAY_MIN_SEND_MS) {
		relay_answer_error(relay, ERR_OVERLOADED, relay_retry_ms(relay), "queue-full");
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
			relay_queue(relay, &need);
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

static void relay_send(struct relay *relay, struct fups *up, const char *from_address,
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
	send.backup = relay_pick_backup(relay, up);
	headers = env->surface->encode(&relay->request, &send);
	req.headers = headers;
	relay->phase = RELAY_SENT;
	relay->resumed = from_address || relay->last_event_id;
	relay->discard = false;
	relay->foreign = false;
	relay->not_run = false;
	relay->stream = false;
	relay->first_event_us = 0;
	relay->evacuated_us = 0;
	g_ptr_array_set_size(relay->move_tried, 0);
	relay->sent_us = env_now_us();
	relay->progress_us = relay->sent_us;
	g_string_truncate(relay->answer, 0);
	g_string_truncate(relay->answer_lines, 0);
	if (relay->events)
		evs_reset(relay->events);
	relay->call = hcli_call(env->cli, &req, &relay_call_ops, relay);
}

static bool relay_on_connected(void *ctx)
{
	const struct relay *relay = ctx;

	/* Another upstream may have taken the address in between. */
	return fups_state(relay->part.up) != FUPS_GONE;
}

/* helpers: answers */

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

/* Passes the head of the upstream's answer on. */
static void relay_begin(struct relay *relay)
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
	relay->status = hcall_head_status(head);
	if (hcall_head_closes(head) && relay_is_generation(relay) && verdict == SRF_ANSWERED)
		metric_add(relay->rly->env->metric, METRIC_CLOSING_ANSWERS, 1);
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

/* Passes a gathered answer on. */
static void relay_deliver(struct relay *relay)
{
	struct hreq *caller = relay->caller;

	relay->caller = NULL;
	relay_log_end(relay, LOG_REQUEST_ENDED, "answer");
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
		relay_outcome(relay, AGAIN_NOT_SENT);
		return;
	}
	if (relay->not_run) {
		relay_outcome(relay, AGAIN_NOT_RUN);
		return;
	}
	relay->runs++;
	if (!whole) {
		relay_outcome(relay, result == HCALL_TIMEOUT ? AGAIN_SILENT : AGAIN_BROKEN);
		return;
	}
	if (relay->stream || relay->begun) {
		if (relay->answer->len > 0 && relay->caller)
			hreq_stream_write(relay->caller, relay->answer->str, relay->answer->len);
		if (relay->stream && evs_partial(relay->events) > 0)
			relay_outcome(relay, AGAIN_BROKEN);
		else
			relay_finish(relay);
		return;
	}
	if (relay_is_failure(relay) && relay->caller)
		relay_outcome(relay, AGAIN_ERROR);
	else
		relay_deliver(relay);
}

/* helpers: after a send ended */

static void relay_log_repeat(const struct relay *relay, enum again_outcome outcome,
			     enum again_action action)
{
	g_autofree char *runs = g_strdup_printf("%u", relay->runs);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));

	log_event(LOG_REQUEST_REPEATED, "request", relay_id(relay), "route", relay_route(relay),
		  "upstream", relay_up_id(relay), "outcome", again_outcome_name(outcome), "action",
		  again_action_name(action), "runs", runs, "age_ms", age, NULL);
}

/* Whether the copy at the backup engine can be used now. */
static bool relay_has_copy(const struct relay *relay)
{
	return relay->backup.up && fups_state(relay->backup.up) <= FUPS_LAPSED;
}

/* Goes on from the copy that the backup engine keeps. */
static void relay_take_over(struct relay *relay, const char *reason)
{
	struct fups *up = fups_hold(relay->backup.up);
	g_autofree char *handle = g_strdup(relay->request.id);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));

	log_event(LOG_STREAM_TAKEN_OVER, "request", relay_id(relay), "route", relay_route(relay),
		  "from", relay_up_id(relay), "to", fups_id(up), "reason", reason, "last_event",
		  relay->last_event_id ? relay->last_event_id : "", "age_ms", age, NULL);
	metric_add(relay->rly->env->metric, METRIC_RESUMES, 1);
	relay_drop_call(relay);
	dsp_leave(&relay->backup);
	relay->may_have_run = true;
	relay_send(relay, up, fups_address(up), handle);
	fups_release(up);
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
		relay_log_end(relay, LOG_REQUEST_LEFT, again_outcome_name(outcome));
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

/* helpers: moving a run off an engine that leaves */

/* Asks the engine to copy the run's memory; the last copy stops the run. */
static void relay_call_move(struct relay *relay, bool last)
{
	struct env *env = relay->rly->env;
	struct srf_move move = { relay->request.id, fups_address(relay->move_to), last };
	g_autofree char *path = NULL;
	char *body = NULL;
	struct hcall_req req = { .address = fups_address(relay->part.up),
				 .scope = fups_scope(relay->part.up),
				 .method = "POST",
				 .headers = "Content-Type: application/json\r\n",
				 .timeout_ms = RELAY_MOVE_TIMEOUT_MS };

	env->surface->encode_move(&move, &path, &body);
	req.path = path;
	req.body = body;
	req.body_len = strlen(body);
	relay->move_last = last;
	relay->stopping = last;
	relay->move_sent_us = env_now_us();
	relay->move =
		fetch_start(env->cli, &req, RELAY_MOVE_ANSWER_MAX, NULL, relay_on_moved, relay);
	free(body);
}

static void relay_start_move(struct relay *relay)
{
	struct dsp_need need = relay_need(relay);
	struct dsp_basis basis;
	struct fups *to;

	need.avoid = relay->part.up;
	need.tried = relay->move_tried;
	need.place.resumes = true;
	need.place.copies = true;
	need.near = relay->part.up;
	to = relay_has_copy(relay) && relay->move_tried->len == 0
		     ? relay->backup.up
		     : dsp_pick_engine(relay->rly->dsp, &need, &basis);
	/* A copy between regions takes longer than any notice, and holds up the others. */
	if (to && fups_distance_between(to, relay->part.up) == FUPS_FAR)
		to = NULL;
	if (!to) {
		log_event(LOG_MOVE_FAILED, "request", relay_id(relay), "upstream",
			  relay_up_id(relay), "reason", "no-room", NULL);
		return;
	}
	relay->move_to = fups_hold(to);
	relay_call_move(relay, false);
}

/* Whether the next copy may stop the run: the engine's link is idle, so that the copy is
 * quick, or the engine is about to end. */
static bool relay_may_stop(const struct relay *relay)
{
	uint64_t now_us = env_now_us();

	if (now_us - relay->move_sent_us < RELAY_MOVE_IDLE_MS * 1000ULL)
		return true;
	return now_us - fups_leaving_since_us(relay->part.up) > RELAY_NOTICE_MS * 1000ULL;
}

/* Goes on after a move that stopped the run did not reach the other engine: the run's own
 * engine keeps its memory. */
static bool relay_resume_at_source(struct relay *relay, const char *handle)
{
	struct fups *up = relay->part.up;
	g_autofree char *source = NULL;

	if (!handle || !relay->caller || relay->call)
		return false;
	source = g_strdup(fups_address(up));
	fups_hold(up);
	relay->may_have_run = true;
	relay_send(relay, up, source, handle);
	fups_release(up);
	return true;
}

static void relay_on_moved(void *ctx, const struct fetch_answer *answer)
{
	struct relay *relay = ctx;
	struct srf_moved moved = { 0 };
	struct fups *to = relay->move_to;
	bool whole = answer->result == HCALL_OK &&
		     relay->rly->env->surface->decode_moved(answer->body, answer->body_len, &moved);
	bool done = whole && answer->status == 200;
	g_autofree char *status = g_strdup_printf("%u", answer->status);
	g_autofree char *handle = moved.handle;
	g_autofree char *took =
		g_strdup_printf("%" G_GUINT64_FORMAT, (env_now_us() - relay->move_sent_us) / 1000);

	relay->move = NULL;
	metric_observe(relay->rly->env->metric, METRIC_MOVE_US, env_now_us() - relay->move_sent_us);
	if (done && !relay->move_last && relay->call) {
		log_event(LOG_MOVE_COPIED, "request", relay_id(relay), "upstream",
			  relay_up_id(relay), "to", fups_id(to), "move_ms", took, NULL);
		relay_call_move(relay, relay_may_stop(relay));
		return;
	}
	relay->move_to = NULL;
	relay->stopping = false;
	if (done && relay->caller) {
		g_autofree char *source = g_strdup(fups_address(relay->part.up));

		log_event(LOG_STREAM_TAKEN_OVER, "request", relay_id(relay), "from",
			  relay_up_id(relay), "to", fups_id(to), "reason", "moved", "last_event",
			  relay->last_event_id ? relay->last_event_id : "", "move_ms", took, NULL);
		metric_add(relay->rly->env->metric, METRIC_RESUMES, 1);
		relay_drop_call(relay);
		relay_send(relay, to, source, handle);
	} else {
		log_event(LOG_MOVE_FAILED, "request", relay_id(relay), "upstream",
			  relay_up_id(relay), "to", fups_id(to), "reason", "refused", "status",
			  status, "move_ms", took, NULL);
		if (!relay->call && !relay_resume_at_source(relay, handle))
			relay_outcome(relay, AGAIN_BROKEN);
	}
	fups_release(to);
}

/* Decides how a run leaves an engine that leaves. */
static void relay_evacuate(struct relay *relay)
{
	uint64_t expected =
		relay->service->engine.tokens_per_event
			? relay->expected_output / relay->service->engine.tokens_per_event
			: 0;

	relay->evacuated_us = env_now_us();
	if (expected && relay->event_count + RELAY_FINISH_EVENTS > expected &&
	    relay->event_count < expected)
		return;
	/* The copy at the backup engine may be missing: it is kept only while there is room. A
	 * run that goes on is not given up for it. */
	if (relay->service->engine.moves)
		relay_start_move(relay);
	else if (relay_has_copy(relay) && env_now_us() - relay->first_event_us > RELAY_COPY_LAG_US)
		relay_take_over(relay, "upstream-leaves");
}

/* Whether a run is to be moved now, since its engine leaves. */
static bool relay_must_move(const struct relay *relay, uint64_t now_us)
{
	if (relay->phase != RELAY_STREAMING || relay->event_count == 0 || relay->move ||
	    !relay->caller || !relay->call || relay->route->resumable)
		return false;
	return fups_state(relay->part.up) == FUPS_LEAVING &&
	       now_us - relay->evacuated_us > RELAY_MOVE_RETRY_US;
}

/* helpers: callers */

static void relay_on_gone(void *ctx)
{
	struct relay *relay = ctx;

	relay->caller = NULL;
	/* A call that may run once is left to end; its answer has nobody to go to. */
	if (relay->call && relay->route->kind == RT_ONCE && relay->phase != RELAY_WAITING) {
		relay->discard = true;
		return;
	}
	relay_log_end(relay, LOG_REQUEST_LEFT, "caller-left");
	relay_free(relay);
}

static void relay_on_drained(void *ctx)
{
	struct relay *relay = ctx;

	if (relay->call)
		hcall_resume(relay->call);
}

/* commands */

/* Whether a send has been silent for so long that another upstream is tried. */
static bool relay_is_silent(const struct relay *relay, uint64_t now_us)
{
	const struct gset_load *load = &relay->rly->env->set->load;
	uint64_t silent_ms = (now_us - relay->progress_us) / 1000;

	if (!relay->call || relay->stopping)
		return false;
	if (relay->phase == RELAY_STREAMING && relay->event_count > 0)
		return silent_ms > load->stall_ms &&
		       (relay_has_copy(relay) || relay->route->resumable);
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
	} else if (relay_is_silent(relay, now_us)) {
		fups_outcome(relay->part.up, false, false, now_us);
		relay_drop_call(relay);
		relay->runs++;
		relay_outcome(relay, AGAIN_SILENT);
	}
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

uint32_t rly_open(const struct rly *rly)
{
	return rly->relays.length;
}
