#include "dispatch.h"

#include "admission_exchange.h"

#include "flamingolatch/call_queue.h"

#include <string.h>

/* An upstream that has open requests of this instance and is silent for longer is suspect: ten
 * times the duration of a call, and twice the prefill of a long prompt on an idle engine. */
#define DISPATCH_PLAIN_SILENT_US  (250ULL * 1000)
#define DISPATCH_ENGINE_SILENT_US (900ULL * 1000)
/* Time until the load of a new engine is known in other zones. */
#define DISPATCH_NEW_ENGINE_US (1200ULL * 1000)
/* Share of an engine's KV cache up to which it accepts a backup, copies included. */
#define DISPATCH_MAX_BACKUP_FILL 0.8

/* Requests that an upstream of a plain service works on at once when it does not say. */
#define DISPATCH_PLAIN_SLOTS 6
/* Queued generations for which an engine is looked for at one time. An instance with a tenth of a
 * core cannot compare all engines for each of a long queue every 20 ms. */
#define DISPATCH_MAX_TRIES 8

struct dispatch {
	struct env *env;
	GQueue queue;	     /* struct dispatch_queued, the next to be granted first */
	GQueue admission;    /* struct dispatch_queued of services where admission.h applies */
	uint32_t round;	     /* of granting engines to the latter */
	GHashTable *calls;   /* name of a plain service to its struct call_queue */
	uint32_t call_count; /* queued calls of all services */
	bool granting;	     /* dispatch_grant_queued() is running */
};

struct dispatch_queued {
	struct dispatch_need need;
	struct call_queue *calls; /* NULL for a generation */
	struct call_queue_item *item;
	uint32_t priority;
	uint32_t round;	    /* in which it was last considered */
	uint64_t queued_us; /* of a generation where admission.h applies */
	dispatch_granted_cb granted;
	void *ctx;
};

/* lifetime */

static void dispatch_destroy_call_queue(gpointer data)
{
	call_queue_destroy(data);
}

struct dispatch *dispatch_create(struct env *env)
{
	struct dispatch *dispatch = g_new0(struct dispatch, 1);

	dispatch->env = env;
	g_queue_init(&dispatch->queue);
	g_queue_init(&dispatch->admission);
	dispatch->calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, dispatch_destroy_call_queue);
	return dispatch;
}

void dispatch_destroy(struct dispatch *dispatch)
{
	g_hash_table_destroy(dispatch->calls);
	g_free(dispatch);
}

/* helpers */

static bool dispatch_is_allowed(const struct fleet_upstream *up, const struct dispatch_need *need)
{
	return !need->allows || need->allows(need->allows_ctx, up);
}

static bool dispatch_has_version(const struct fleet_upstream *up, const struct dispatch_need *need)
{
	return !need->software_version ||
	       strcmp(fleet_upstream_software_version(up), need->software_version) == 0;
}

/* Tells whether a request may go to an upstream at all. */
static bool dispatch_is_permitted(const struct fleet_upstream *up, const struct dispatch_need *need)
{
	return !fleet_upstream_is_evacuated(up) && dispatch_has_version(up, need) &&
	       dispatch_is_allowed(up, need);
}

/* Tells whether an upstream may be sent a request as far as its state goes; it may be full, over
 * the limit that it names, or have asked to be left alone. */
static bool dispatch_is_eligible(const struct fleet_upstream *up, const struct dispatch_need *need,
				 uint64_t now_us)
{
	if (fleet_upstream_state(up) > FLEET_UPSTREAM_LAPSED || up == need->avoid ||
	    (!need->ignore_suspended && fleet_upstream_suspended(up, now_us)) ||
	    !dispatch_is_permitted(up, need))
		return false;
	return !need->excluded || !g_ptr_array_find((GPtrArray *)need->excluded, up, NULL);
}

static struct call_queue_upstream dispatch_call_view(const struct dispatch *dispatch,
						     struct fleet_upstream *up)
{
	uint32_t slots = fleet_upstream_slots(up) ? fleet_upstream_slots(up) : DISPATCH_PLAIN_SLOTS;

	return (struct call_queue_upstream){
		.quiet = fleet_upstream_quiet(up),
		.slots = slots,
		.share = MAX(slots / MAX(dispatch->env->live_instances, 1), 1),
		.open = fleet_upstream_own_load(up)->open,
		.peer_open = fleet_upstream_peer_load(up).open,
	};
}

/* commands */

void dispatch_load_add(struct dispatch_load *load, struct fleet_upstream *up, uint64_t kv_tokens,
		       uint64_t prefill_tokens)
{
	struct fleet_load *own = fleet_upstream_own_load(up);

	if (own->open == 0)
		fleet_upstream_record_first_open(up, env_now_us());
	load->up = fleet_upstream_ref(up);
	load->kv_tokens = kv_tokens;
	load->prefill_tokens = prefill_tokens;
	own->open++;
	own->kv_tokens += kv_tokens;
	own->prefill_tokens += prefill_tokens;
	fleet_upstream_mark_active(up);
}

void dispatch_load_add_copy(struct dispatch_load *load, struct fleet_upstream *up,
			    uint64_t kv_tokens)
{
	dispatch_load_add(load, up, kv_tokens, 0);
	load->is_copy = true;
	fleet_upstream_own_load(up)->incoming_copies++;
}

void dispatch_load_set_kv_tokens(struct dispatch_load *load, uint64_t kv_tokens)
{
	if (!load->up)
		return;
	fleet_upstream_own_load(load->up)->kv_tokens += kv_tokens - load->kv_tokens;
	load->kv_tokens = kv_tokens;
}

void dispatch_load_set_kv_used(struct dispatch_load *load, uint64_t kv_used_tokens)
{
	if (!load->up)
		return;
	fleet_upstream_own_load(load->up)->kv_used_tokens += kv_used_tokens - load->kv_used_tokens;
	load->kv_used_tokens = kv_used_tokens;
}

void dispatch_load_prefill_done(struct dispatch_load *load)
{
	if (!load->up)
		return;
	fleet_upstream_own_load(load->up)->prefill_tokens -= load->prefill_tokens;
	load->prefill_tokens = 0;
}

void dispatch_load_remove(struct dispatch_load *load)
{
	struct fleet_upstream *up = load->up;

	if (!up)
		return;
	dispatch_load_prefill_done(load);
	dispatch_load_set_kv_used(load, 0);
	fleet_upstream_own_load(up)->open--;
	fleet_upstream_own_load(up)->kv_tokens -= load->kv_tokens;
	fleet_upstream_own_load(up)->incoming_copies -= load->is_copy;
	*load = (struct dispatch_load){ 0 };
	fleet_upstream_unref(up);
}

static void dispatch_count_queued(const struct dispatch *dispatch)
{
	metric_set(dispatch->env->metric, METRIC_QUEUED_REQUESTS,
		   dispatch_queue_length(dispatch) + dispatch->call_count);
}

/* Returns when a queued call is answered at the latest: before the process exits. */
static uint64_t dispatch_call_limit_us(const struct dispatch *dispatch)
{
	const struct planned_stop *stop = &dispatch->env->stop;

	return planned_stop_has_begun(stop) ? stop->answer_us : UINT64_MAX;
}

/* Returns the upstreams that may be sent a call, now or after the time for which they asked to be
 * left alone, as an array of struct call_queue_upstream. */
static GArray *dispatch_call_upstreams(const struct dispatch *dispatch,
				       const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct call_queue_upstream));
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < ups->len; i++) {
		struct fleet_upstream *up = ups->pdata[i];
		struct call_queue_upstream view = dispatch_call_view(dispatch, up);

		/* When its limit allows more is not known here. */
		if (dispatch_is_eligible(up, need, now_us) &&
		    (upstream_quiet_left_us(view.quiet, now_us) > 0 ||
		     (upstream_limit_allows(fleet_upstream_limit(up), now_us) &&
		      warm_up_allows(fleet_upstream_cold_limit(up), now_us))))
			g_array_append_val(out, view);
	}
	return out;
}

struct dispatch_queued *dispatch_enqueue(struct dispatch *dispatch,
					 const struct dispatch_need *need, uint32_t priority,
					 dispatch_granted_cb granted, void *ctx)
{
	struct dispatch_queued *queued = g_new0(struct dispatch_queued, 1);
	GList *before = dispatch->queue.tail;

	queued->need = *need;
	queued->priority = priority;
	queued->granted = granted;
	queued->ctx = ctx;
	if (need->admission.class != ADMISSION_NONE) {
		queued->queued_us = env_now_us();
		g_queue_push_tail(&dispatch->admission, queued);
		dispatch_count_queued(dispatch);
		return queued;
	}
	/* Generations of equal priority are granted in the order of their arrival. */
	while (before && ((struct dispatch_queued *)before->data)->priority > priority)
		before = before->prev;
	g_queue_insert_after(&dispatch->queue, before, queued);
	dispatch_count_queued(dispatch);
	return queued;
}

struct dispatch_queued *dispatch_enqueue_call(struct dispatch *dispatch,
					      const struct dispatch_need *need, uint32_t priority,
					      uint64_t deadline_us, dispatch_granted_cb granted,
					      void *ctx)
{
	struct call_queue *calls = g_hash_table_lookup(dispatch->calls, need->service);
	struct dispatch_queued *queued = g_new0(struct dispatch_queued, 1);

	if (!calls) {
		calls = call_queue_create();
		g_hash_table_insert(dispatch->calls, g_strdup(need->service), calls);
	}
	queued->need = *need;
	queued->need.queued = true;
	queued->priority = priority;
	queued->granted = granted;
	queued->ctx = ctx;
	queued->calls = calls;
	queued->item = call_queue_add(calls, priority, deadline_us, queued);
	dispatch->call_count++;
	dispatch_count_queued(dispatch);
	return queued;
}

void dispatch_dequeue(struct dispatch *dispatch, struct dispatch_queued *queued)
{
	if (queued->calls) {
		call_queue_remove(queued->calls, queued->item);
		dispatch->call_count--;
	} else if (queued->need.admission.class != ADMISSION_NONE) {
		g_queue_remove(&dispatch->admission, queued);
	} else {
		g_queue_remove(&dispatch->queue, queued);
	}
	dispatch_count_queued(dispatch);
	g_free(queued);
}

/* Takes a call from its queue and tells its owner. @param up NULL refuses it */
static void dispatch_end_wait(struct dispatch *dispatch, struct dispatch_queued *queued,
			      struct fleet_upstream *up, const struct dispatch_decision *decision)
{
	dispatch_granted_cb granted = queued->granted;
	void *ctx = queued->ctx;

	dispatch_dequeue(dispatch, queued);
	granted(ctx, up, decision);
}

/* Refuses the queued calls of a service that would be late, and sends those that its upstreams take
 * now. */
static void dispatch_grant_calls(struct dispatch *dispatch, const struct call_queue *calls)
{
	struct dispatch_decision decision = { 0 };
	struct dispatch_queued *queued;

	while ((queued = call_queue_first(calls))) {
		struct dispatch_need need = { .service = queued->need.service,
					      .allows = queued->need.allows,
					      .allows_ctx = queued->need.allows_ctx };
		g_autoptr(GArray) ups = dispatch_call_upstreams(dispatch, &need);

		queued = call_queue_find_late(calls, (const struct call_queue_upstream *)ups->data,
					      ups->len, dispatch_call_limit_us(dispatch),
					      env_now_us());
		if (!queued)
			break;
		dispatch_end_wait(dispatch, queued, NULL, &decision);
	}
	queued = call_queue_first(calls);
	while (queued) {
		struct fleet_upstream *up =
			dispatch_select_plain(dispatch, &queued->need, &decision);

		if (up) {
			dispatch_end_wait(dispatch, queued, up, &decision);
			queued = call_queue_first(calls);
		} else if (queued->need.excluded && queued->need.excluded->len > 0) {
			/* Others may go where this one was turned away. */
			queued = call_queue_next(queued->item);
		} else {
			break;
		}
	}
}

/* Returns the queued generations of a service in the order in which they are granted, as an array
 * of struct admission_item. */
static GPtrArray *dispatch_sorted(const struct dispatch *dispatch, const char *service)
{
	GPtrArray *items = g_ptr_array_new();

	for (GList *link = dispatch->admission.head; link; link = link->next) {
		struct dispatch_queued *queued = link->data;

		if (strcmp(queued->need.service, service) == 0)
			g_ptr_array_add(items, &queued->need.admission);
	}
	admission_sort((struct admission_item **)items->pdata, items->len);
	return items;
}

/* Returns the need of a queued generation, whose time until the first event has become shorter. */
static struct dispatch_need dispatch_need_now(const struct dispatch_queued *queued, uint64_t now_us)
{
	struct dispatch_need need = queued->need;
	uint64_t waited_ms = (now_us - queued->queued_us) / 1000;

	if (need.place.first_event_left_ms > 0)
		need.place.first_event_left_ms =
			need.place.first_event_left_ms > waited_ms
				? need.place.first_event_left_ms - (uint32_t)waited_ms
				: 1;
	return need;
}

/* Tells whether a generation may be granted before those that precede it and have no room.
 * @param blocked struct admission_item */
static bool dispatch_may_pass(const struct admission_item *item, const GArray *blocked,
			      uint64_t now_us)
{
	for (guint i = 0; i < blocked->len; i++) {
		if (!admission_may_overtake(item, &g_array_index(blocked, struct admission_item, i),
					    now_us))
			return false;
	}
	return true;
}

/* Returns the entry of an item, or NULL when it has left the queue since the round began. */
static struct dispatch_queued *dispatch_find_item(const struct dispatch *dispatch,
						  const struct admission_item *item)
{
	for (GList *link = dispatch->admission.head; link; link = link->next) {
		struct dispatch_queued *queued = link->data;

		if (&queued->need.admission == item && queued->round == dispatch->round)
			return queued;
	}
	return NULL;
}

/* Grants engines to the queued generations of a service, or refuses those that would be late. */
static void dispatch_grant_service(struct dispatch *dispatch, const char *service)
{
	g_autoptr(GPtrArray) items = dispatch_sorted(dispatch, service);
	g_autoptr(GArray) blocked = g_array_new(FALSE, FALSE, sizeof(struct admission_item));
	uint64_t now_us = env_now_us();
	uint32_t tries = 0;

	for (guint i = 0; i < items->len && tries < DISPATCH_MAX_TRIES; i++) {
		struct dispatch_queued *queued = dispatch_find_item(dispatch, items->pdata[i]);
		struct dispatch_decision decision = { 0 };
		struct dispatch_need need;
		struct fleet_upstream *up;

		if (!queued || !dispatch_may_pass(items->pdata[i], blocked, now_us))
			continue;
		tries++;
		need = dispatch_need_now(queued, now_us);
		up = dispatch_select_engine(dispatch, &need, &decision);
		if (up || decision.late_ms > 0) {
			if (up && blocked->len > 0)
				metric_add(dispatch->env->metric, METRIC_QUEUE_OVERTAKES, 1);
			dispatch_end_wait(dispatch, queued, up, &decision);
			continue;
		}
		if (queued->need.admission.blocked_us == 0)
			queued->need.admission.blocked_us = now_us;
		g_array_append_val(blocked, queued->need.admission);
	}
}

/* Grants engines to queued generations where admission.h applies, service by service. */
static void dispatch_grant_admitted(struct dispatch *dispatch)
{
	g_autoptr(GPtrArray) services = g_ptr_array_new_with_free_func(g_free);

	dispatch->round++;
	for (GList *link = dispatch->admission.head; link; link = link->next) {
		struct dispatch_queued *queued = link->data;

		queued->round = dispatch->round;
		if (!g_ptr_array_find_with_equal_func(services, queued->need.service, g_str_equal,
						      NULL))
			g_ptr_array_add(services, g_strdup(queued->need.service));
	}
	for (guint i = 0; i < services->len; i++)
		dispatch_grant_service(dispatch, services->pdata[i]);
}

void dispatch_grant_queued(struct dispatch *dispatch)
{
	GHashTableIter services;
	gpointer calls;

	/* Guards against reentry: granting an engine may finish a request. */
	if (dispatch->granting)
		return;
	dispatch->granting = true;
	while (dispatch->queue.head) {
		struct dispatch_queued *queued = dispatch->queue.head->data;
		struct dispatch_decision decision = { 0 };
		struct fleet_upstream *up =
			dispatch_select_engine(dispatch, &queued->need, &decision);

		/* No other generation is granted before the first, or a large one might never
		 * find room. */
		if (!up)
			break;
		g_queue_pop_head(&dispatch->queue);
		queued->granted(queued->ctx, up, &decision);
		g_free(queued);
	}
	dispatch_grant_admitted(dispatch);
	if (dispatch->call_count > 0) {
		g_hash_table_iter_init(&services, dispatch->calls);
		while (g_hash_table_iter_next(&services, NULL, &calls))
			dispatch_grant_calls(dispatch, calls);
	}
	dispatch_count_queued(dispatch);
	dispatch->granting = false;
}

/* queries */

uint32_t dispatch_queue_length(const struct dispatch *dispatch)
{
	return dispatch->queue.length + dispatch->admission.length;
}

bool dispatch_has_queued_before(const struct dispatch *dispatch, const struct dispatch_need *need)
{
	if (need->admission.class == ADMISSION_NONE)
		return dispatch->queue.length > 0;
	for (GList *link = dispatch->admission.head; link; link = link->next) {
		const struct dispatch_queued *queued = link->data;

		if (strcmp(queued->need.service, need->service) == 0 &&
		    !admission_is_before(&need->admission, &queued->need.admission))
			return true;
	}
	return false;
}

/* Returns the number of engines of a service that may get new requests. */
static uint32_t dispatch_engine_count(const struct dispatch *dispatch, const char *service)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, service);
	uint32_t count = 0;

	for (guint i = 0; i < ups->len; i++)
		count += fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED;
	return count;
}

double dispatch_other_fill(struct dispatch *dispatch, const char *service,
			   const struct route_engine *engine)
{
	double kv_tokens = (double)engine->kv_tokens * dispatch_engine_count(dispatch, service);
	double urgent_tokens =
		admission_exchange_tokens(dispatch->env->admission_exchange, service);

	return MAX(dispatch->env->settings->load.fill - admission_reserve(urgent_tokens, kv_tokens),
		   0.0);
}

struct admission_room dispatch_room(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	struct admission_room room = { .instances = dispatch->env->live_instances };
	double used_tokens = 0.0;

	for (guint i = 0; i < ups->len; i++)
		used_tokens += (double)(fleet_upstream_own_load(ups->pdata[i])->kv_used_tokens +
					fleet_upstream_peer_load(ups->pdata[i]).kv_used_tokens);
	room.freed_tokens_per_s =
		used_tokens * placement_default_params.freed_share_per_ms * 1000.0;
	room.read_tokens_per_s = dispatch->env->settings->load.prefill_tokens_per_ms * 1000.0 *
				 dispatch_engine_count(dispatch, need->service);
	for (GList *link = dispatch->admission.head; link; link = link->next) {
		const struct dispatch_queued *queued = link->data;

		if (strcmp(queued->need.service, need->service) == 0)
			room.queued_tokens += queued->need.admission.tokens;
	}
	return room;
}

uint32_t dispatch_queued_calls(const struct dispatch *dispatch, const char *service)
{
	const struct call_queue *calls = g_hash_table_lookup(dispatch->calls, service);

	return calls ? call_queue_length(calls) : 0;
}

bool dispatch_call_fits(struct dispatch *dispatch, const struct dispatch_need *need,
			uint32_t priority, uint64_t deadline_us)
{
	g_autoptr(GArray) ups = dispatch_call_upstreams(dispatch, need);
	const struct call_queue *calls = g_hash_table_lookup(dispatch->calls, need->service);
	uint64_t answer_us =
		call_queue_answer_us(calls, (const struct call_queue_upstream *)ups->data, ups->len,
				     priority, env_now_us());

	return dispatch_queued_calls(dispatch, need->service) <
		       dispatch->env->settings->load.wait_limit &&
	       answer_us <= MIN(deadline_us, dispatch_call_limit_us(dispatch));
}

bool dispatch_is_held_back(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < ups->len; i++) {
		if (dispatch_is_eligible(ups->pdata[i], need, now_us) &&
		    !upstream_quiet_allows(fleet_upstream_quiet(ups->pdata[i]),
					   fleet_upstream_own_load(ups->pdata[i])->open, now_us))
			return true;
	}
	return false;
}

/* Tells whether an upstream may have failed without notice: it has been silent for too long, or,
 * for a request that may run only once, has not answered since earlier failures. */
static bool dispatch_is_suspect(const struct fleet_upstream *up, const struct dispatch_need *need,
				uint64_t now_us)
{
	uint64_t silent_us = fleet_upstream_silent_us(up, now_us);

	if (silent_us > (need->engine ? DISPATCH_ENGINE_SILENT_US : DISPATCH_PLAIN_SILENT_US))
		return true;
	return need->run_once && fleet_upstream_on_probation(up);
}

static bool dispatch_is_usable(const struct fleet_upstream *up, const struct dispatch_need *need,
			       uint64_t now_us)
{
	return dispatch_is_eligible(up, need, now_us) &&
	       (!need->ready || need->ready(need->allows_ctx, up)) &&
	       upstream_limit_allows(fleet_upstream_limit((struct fleet_upstream *)up), now_us) &&
	       warm_up_allows(fleet_upstream_cold_limit((struct fleet_upstream *)up), now_us) &&
	       upstream_quiet_allows(fleet_upstream_quiet((struct fleet_upstream *)up),
				     fleet_upstream_own_load((struct fleet_upstream *)up)->open,
				     now_us);
}

/* Tells whether the load of an engine is known. One that appeared just now looks empty to the zones
 * that have not heard of it, which would all send their requests there; its own zone sees each
 * placement. */
static bool dispatch_is_load_known(const struct fleet_upstream *up, uint64_t now_us)
{
	return fleet_upstream_distance(up) == FLEET_SAME_ZONE ||
	       fleet_upstream_age_us(up, now_us) > DISPATCH_NEW_ENGINE_US;
}

/* Tells whether a selection takes all upstreams to be of one speed. */
static bool dispatch_ignores_speed(const struct dispatch *dispatch)
{
	return dispatch->env->settings->load.speed_spread > 0.0 &&
	       upstream_speed_ignores(g_rand_int(dispatch->env->rand));
}

static struct placement_engine dispatch_engine_view(const struct fleet_upstream *up,
						    const struct dispatch_need *need,
						    uint64_t now_us)
{
	struct fleet_load peers = fleet_upstream_peer_load(up);
	const struct fleet_load *own = fleet_upstream_own_load((struct fleet_upstream *)up);

	return (struct placement_engine){
		.kv_tokens = need->engine->kv_tokens,
		.expected_kv_tokens = own->kv_tokens + peers.kv_tokens,
		.used_kv_tokens = own->kv_used_tokens + peers.kv_used_tokens,
		.prefill_tokens = own->prefill_tokens + peers.prefill_tokens,
		.slots = need->engine->slots,
		.open = own->open + peers.open,
		.incoming_copies = own->incoming_copies + peers.incoming_copies,
		.distance = need->distance_from
				    ? fleet_upstream_distance_between(up, need->distance_from)
				    : fleet_upstream_distance(up),
		.failure_share = fleet_upstream_failure_share(up),
		.speed = upstream_speed_factor(fleet_upstream_speed((struct fleet_upstream *)up)),
		.usable = dispatch_is_usable(up, need, now_us),
	};
}

/* Selects one of the engines. A KV copy goes to a cold one only when no other has room. */
static int32_t dispatch_place(const struct placement_params *params,
			      const struct dispatch_need *need, const GPtrArray *ups,
			      struct placement_engine *views, uint64_t now_us)
{
	g_autofree struct placement_engine *warm = NULL;
	int32_t best = PLACEMENT_NONE;

	if (need->place.needs_kv_copy) {
		warm = g_memdup2(views, ups->len * sizeof(*views));
		for (guint i = 0; i < ups->len; i++)
			warm[i].usable &= warm_up_phase(fleet_upstream_cold_limit(ups->pdata[i]),
							now_us) != WARM_UP_COLD;
		best = placement_select_engine(params, &need->place, warm, ups->len);
	}
	return best != PLACEMENT_NONE
		       ? best
		       : placement_select_engine(params, &need->place, views, ups->len);
}

/* Returns the engine to use instead of the best one if the first event would be late there: the
 * best of those where it would be in time, if there is any. */
static int32_t dispatch_select_in_time(const struct placement_params *params,
				       const struct placement_request *place,
				       struct placement_engine *views, uint32_t count, int32_t best)
{
	int32_t in_time;

	if (best == PLACEMENT_NONE || placement_late_ms(params, place, &views[best]) == 0)
		return best;
	for (uint32_t i = 0; i < count; i++)
		views[i].usable &= placement_late_ms(params, place, &views[i]) == 0;
	in_time = placement_select_engine(params, place, views, count);
	return in_time == PLACEMENT_NONE ? best : in_time;
}

static struct placement_params dispatch_placement_params(const struct dispatch *dispatch)
{
	return (struct placement_params){
		.max_kv_share = dispatch->env->settings->load.fill,
		.prefill_tokens_per_ms = dispatch->env->settings->load.prefill_tokens_per_ms,
		.freed_share_per_ms = placement_default_params.freed_share_per_ms,
	};
}

uint32_t dispatch_nominal_first_event_ms(const struct dispatch *dispatch,
					 const struct dispatch_need *need,
					 const struct fleet_upstream *up)
{
	struct placement_params params = dispatch_placement_params(dispatch);
	struct placement_engine view = dispatch_engine_view(up, need, env_now_us());

	view.speed = 1.0;
	return placement_first_event_ms(&params, &need->place, &view);
}

struct fleet_upstream *dispatch_select_engine(struct dispatch *dispatch,
					      const struct dispatch_need *need,
					      struct dispatch_decision *decision)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	g_autofree struct placement_engine *views =
		g_new(struct placement_engine, MAX(ups->len, 1));
	struct placement_params params = dispatch_placement_params(dispatch);
	/* A copy has no time for a slower engine. */
	bool ignore_speed = !need->place.needs_kv_copy && dispatch_ignores_speed(dispatch);
	uint64_t now_us = env_now_us();
	int32_t best;

	fleet_expire_loads(dispatch->env->fleet, now_us);
	for (guint i = 0; i < ups->len; i++) {
		views[i] = dispatch_engine_view(ups->pdata[i], need, now_us);
		views[i].speed = ignore_speed ? 1.0 : views[i].speed;
		views[i].usable &= !dispatch_is_suspect(ups->pdata[i], need, now_us);
		views[i].usable &=
			need->place.needs_kv_copy || dispatch_is_load_known(ups->pdata[i], now_us);
	}
	if (need->admission.class == ADMISSION_OTHER) {
		params.max_kv_share = dispatch_other_fill(dispatch, need->service, need->engine);
		metric_set(dispatch->env->metric, METRIC_OTHER_FILL,
			   (int64_t)(params.max_kv_share * 1000.0));
	}
	best = dispatch_place(&params, need, ups, views, now_us);
	if (need->admission.class != ADMISSION_NONE)
		best = dispatch_select_in_time(&params, &need->place, views, ups->len, best);
	decision->candidates = ups->len;
	if (best == PLACEMENT_NONE)
		return NULL;
	decision->load = views[best].expected_kv_tokens;
	decision->late_ms = placement_late_ms(&params, &need->place, &views[best]);
	return decision->late_ms ? NULL : ups->pdata[best];
}

/* Tells whether an upstream may get a call, or one more of those that waited. */
static bool dispatch_takes_call(const struct dispatch *dispatch, struct fleet_upstream *up,
				const struct dispatch_need *need, uint64_t now_us)
{
	struct call_queue_upstream view = dispatch_call_view(dispatch, up);

	return dispatch_is_usable(up, need, now_us) &&
	       (!need->queued || call_queue_allows(&view, now_us));
}

/* Tells whether a call that is open elsewhere may be sent to an upstream as well, which must not
 * make others wait there. */
static bool dispatch_is_sound(const struct dispatch *dispatch, struct fleet_upstream *up,
			      const struct dispatch_need *need)
{
	struct call_queue_upstream view = dispatch_call_view(dispatch, up);

	return !fleet_upstream_on_probation(up) && view.quiet->answer_us <= need->slow_us &&
	       warm_up_phase(fleet_upstream_cold_limit(up), env_now_us()) != WARM_UP_COLD &&
	       view.open + view.peer_open < view.slots;
}

struct fleet_upstream *dispatch_select_plain(struct dispatch *dispatch,
					     const struct dispatch_need *need,
					     struct dispatch_decision *decision)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	g_autofree struct placement_upstream *views =
		g_new(struct placement_upstream, MAX(ups->len, 1));
	bool ignore_speed = dispatch_ignores_speed(dispatch);
	uint64_t now_us = env_now_us();
	int32_t best;

	fleet_expire_loads(dispatch->env->fleet, now_us);
	for (guint i = 0; i < ups->len; i++) {
		const struct fleet_upstream *up = ups->pdata[i];

		views[i] = (struct placement_upstream){
			.slots = fleet_upstream_slots(up),
			.open = fleet_upstream_own_load((struct fleet_upstream *)up)->open +
				fleet_upstream_peer_load(up).open,
			.distance = fleet_upstream_distance(up),
			.failure_share = fleet_upstream_failure_share(up),
			.speed = ignore_speed ? 1.0
					      : upstream_speed_factor(
							fleet_upstream_speed(ups->pdata[i])),
			.connected = http_client_has_idle(dispatch->env->http_client,
							  fleet_upstream_address(up),
							  fleet_upstream_scope(up)),
			.usable =
				dispatch_takes_call(dispatch, ups->pdata[i], need, now_us) &&
				!dispatch_is_suspect(up, need, now_us) &&
				(!need->sound || dispatch_is_sound(dispatch, ups->pdata[i], need)),
		};
	}
	best = placement_select_upstream(views, ups->len, g_rand_int(dispatch->env->rand));
	/* A suspect upstream is better than none. */
	for (guint i = 0; best == PLACEMENT_NONE && !need->sound && i < ups->len; i++)
		views[i].usable = dispatch_takes_call(dispatch, ups->pdata[i], need, now_us);
	if (best == PLACEMENT_NONE)
		best = placement_select_upstream(views, ups->len, g_rand_int(dispatch->env->rand));
	decision->candidates = ups->len;
	if (best == PLACEMENT_NONE)
		return NULL;
	decision->load = views[best].open;
	return ups->pdata[best];
}

struct fleet_upstream *dispatch_select_backup(struct dispatch *dispatch,
					      const struct dispatch_need *need,
					      const struct fleet_upstream *main)
{
	struct dispatch_need other = *need;
	struct dispatch_decision decision;
	struct fleet_upstream *up;
	double fill;

	other.avoid = main;
	if (main)
		other.software_version = fleet_upstream_software_version(main);
	/* A copy that saves a running generation may use the reserve. */
	other.admission.class = ADMISSION_NONE;
	up = dispatch_select_engine(dispatch, &other, &decision);
	if (!up)
		return NULL;
	fill = (double)(decision.load + need->place.prompt_tokens + need->place.output_tokens) /
	       (double)MAX(need->engine->kv_tokens, 1);
	return fill <= DISPATCH_MAX_BACKUP_FILL ? up : NULL;
}

double dispatch_taken_share(struct dispatch *dispatch, const char *service)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, service);
	uint32_t slots = 0;
	uint32_t open = 0;

	fleet_expire_loads(dispatch->env->fleet, env_now_us());
	for (guint i = 0; i < ups->len; i++) {
		struct call_queue_upstream view = dispatch_call_view(dispatch, ups->pdata[i]);

		if (fleet_upstream_state(ups->pdata[i]) > FLEET_UPSTREAM_LAPSED)
			continue;
		slots += view.slots;
		/* Requests that wait at a slow upstream take no slots of the others. */
		open += MIN(view.open + view.peer_open, view.slots);
	}
	return slots ? (double)open / slots : 1.0;
}

bool dispatch_is_limited(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < ups->len; i++) {
		if (dispatch_is_permitted(ups->pdata[i], need) &&
		    fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED &&
		    !(upstream_limit_allows(fleet_upstream_limit(ups->pdata[i]), now_us) &&
		      warm_up_allows(fleet_upstream_cold_limit(ups->pdata[i]), now_us)))
			return true;
	}
	return false;
}

uint64_t dispatch_quiet_us(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	uint64_t now_us = env_now_us();
	uint64_t first_us = 0;

	for (guint i = 0; i < ups->len; i++) {
		uint64_t left_us =
			upstream_quiet_left_us(fleet_upstream_quiet(ups->pdata[i]), now_us);

		if (!dispatch_is_permitted(ups->pdata[i], need) ||
		    fleet_upstream_state(ups->pdata[i]) > FLEET_UPSTREAM_LAPSED)
			continue;
		if (left_us == 0)
			return 0;
		first_us = first_us ? MIN(first_us, left_us) : left_us;
	}
	return first_us;
}

bool dispatch_has_upstream(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);

	for (guint i = 0; i < ups->len; i++) {
		if (dispatch_is_permitted(ups->pdata[i], need) &&
		    fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED)
			return true;
	}
	return false;
}

bool dispatch_all_suspended(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	uint64_t now_us = env_now_us();
	bool suspended = false;

	for (guint i = 0; i < ups->len; i++) {
		if (fleet_upstream_state(ups->pdata[i]) > FLEET_UPSTREAM_LAPSED ||
		    !dispatch_is_permitted(ups->pdata[i], need))
			continue;
		if (!fleet_upstream_suspended(ups->pdata[i], now_us))
			return false;
		suspended = true;
	}
	return suspended;
}

bool dispatch_is_evacuated(struct dispatch *dispatch, const struct dispatch_need *need)
{
	const GPtrArray *ups = fleet_service_upstreams(dispatch->env->fleet, need->service);
	bool evacuated = false;

	for (guint i = 0; i < ups->len; i++) {
		if (fleet_upstream_state(ups->pdata[i]) > FLEET_UPSTREAM_LAPSED ||
		    !dispatch_is_allowed(ups->pdata[i], need))
			continue;
		if (!fleet_upstream_is_evacuated(ups->pdata[i]))
			return false;
		evacuated = true;
	}
	return evacuated;
}
