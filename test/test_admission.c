/**
 * @file test_admission.c
 * Classes, reserve, order, waits and returns of admission.h, and a replay in virtual time: 60
 * instances whose views are 0.6 s old share 57 engines that have too little capacity for two kinds
 * of generations during bursts. Arrival order, the way of services without urgent routes, is
 * replayed beside it with the same arrivals. It guards against urgent generations that are late
 * behind others, and against large ones and customers that starve.
 */
#include "flamingolatch/admission.h"
#include "flamingolatch/placement.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define STEP_MS		  5
#define GRANT_MS	  20
#define SNAPSHOT_MS	  100
#define SNAPSHOTS	  8
#define STALE_SNAPSHOTS	  6 /* views of other instances are 0.6 s old */
#define ZONES		  6
#define DURATION_MS	  26000
#define ARRIVALS_END_MS	  20000
#define INSTANCES	  60
#define ENGINES		  57
#define SLOTS		  24
#define KV_TOKENS	  26831
#define PREFILL_IDLE	  14.0 /* prompt tokens per ms */
#define PREFILL_BESIDE	  8.0  /* while generations run */
#define STEP_BASE_MS	  7.0
#define STEP_SLOT_MS	  0.12
#define TOKENS_PER_EVENT  4
#define FILL		  0.92
#define WAIT_MS		  300
#define CUSTOMERS	  12
#define LEAVE_INTERVAL_MS 3300
#define ON_TIME_SHARE	  0.75
#define MIN_RETURN_MS	  400

enum kind {
	LONG,
	SHORT,
	KINDS
};

/* The kinds of the ordering assistant. */
static const struct {
	double per_s;
	double prompt_tokens;
	double output_tokens;
	double sigma; /* of the lognormal sizes */
	uint32_t objective_ms;
	uint32_t deadline_ms;
} kinds[KINDS] = {
	[LONG] = { 23.7, 3000, 186 * TOKENS_PER_EVENT, 0.35, 4000, 12000 },
	[SHORT] = { 45.9, 2200, 2 * TOKENS_PER_EVENT, 0.2, 1500, 6000 },
};

struct scene {
	const char *name;
	double load[KINDS]; /* factors of the demand */
	uint32_t rank[KINDS];
	bool knows_zone;  /* views of engines in the own zone are at most 0.1 s old */
	double max_late;  /* urgent generations that are late, to those in arrival order */
	double min_other; /* others that are served, to those in arrival order */
};

/* With the ranks of the deployment, arrival order already serves the short ones first. */
static const struct scene scenes[] = {
	{ "equal ranks", { 1.0, 1.0 }, { 0, 0 }, false, 0.5, 1.0 },
	{ "deployment", { 1.0, 1.0 }, { 2, 0 }, false, 1.2, 1.0 },
	{ "known zone", { 1.25, 1.25 }, { 2, 0 }, true, 0.95, 1.0 },
	{ "full memory", { 2.3, 0.4 }, { 0, 0 }, false, 0.5, 0.95 },
	{ "overload", { 4.0, 0.5 }, { 0, 0 }, false, 0.7, 0.85 },
};

enum state {
	COMING,
	QUEUED,
	SENT,
	DONE,
	GIVEN_UP
};

struct generation {
	struct admission_item item;
	enum kind kind;
	enum state state;
	uint32_t customer;
	uint32_t instance;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint32_t born_ms;   /* first arrival */
	uint32_t arrive_ms; /* next or last arrival */
	uint32_t queued_ms;
	uint32_t sent_ms;
	uint32_t first_ms; /* first event; 0 before */
	uint32_t refusals;
	int32_t engine;
	uint32_t order; /* at the engine */
	double unread;	/* prompt tokens */
	double produced;
	bool running; /* it has memory */
};

struct load {
	uint32_t open;
	uint32_t unread;
	uint32_t expected;
	uint32_t used;
};

struct engine {
	GPtrArray *generations;
	uint32_t gone_ms; /* 0: does not leave */
};

struct instance {
	GPtrArray *queue;
	struct load own[ENGINES];
	struct load past[SNAPSHOTS][ENGINES];
	struct admission_demand demand;
	double past_tokens[SNAPSHOTS];
	struct admission_returns returns[ADMISSION_CLASS_COUNT];
};

struct run {
	const struct scene *scene;
	bool admission; /* or arrival order */
	uint32_t seed;
	GRand *rand;
	GPtrArray *generations;
	struct engine engines[ENGINES];
	struct instance instances[INSTANCES];
	struct load totals[SNAPSHOTS][ENGINES];
	double total_tokens[SNAPSHOTS];
	uint32_t now_ms;
	uint32_t snapshot;
	uint32_t order;
	uint32_t overtakes;
	uint32_t preemptions;
	uint32_t refusals;
	uint32_t refused_back_late;
};

struct result {
	uint32_t count[KINDS];
	uint32_t late[KINDS];
	uint32_t served[KINDS]; /* first event before the deadline */
	uint32_t p99_ms[KINDS];
	double largest_share;	    /* served of the largest tenth, to that of all long ones */
	double customer_share;	    /* of the customer served least, to that of all */
	double zone_share;	    /* of the zone whose callers are served least */
	uint32_t refused_back_late; /* refused for being late after an earlier refusal */
};

static bool violated;

static void violation(uint32_t seed, const char *scene, const char *what)
{
	printf("violation: seed %u: %s: %s\n", seed, scene, what);
	violated = true;
}

/* arrivals */

static double draw_size(GRand *rand, double mean, double sigma)
{
	double normal = 0.0;

	for (uint32_t i = 0; i < 12; i++)
		normal += g_rand_double(rand);
	return mean * exp(sigma * (normal - 6.0) - sigma * sigma / 2.0);
}

static double demand_factor(enum kind kind, uint32_t ms)
{
	if (kind == SHORT)
		return ms >= 5000 && ms < 15000 ? 2.5 : 1.0;
	return ms >= 8000 && ms < 12000 ? 1.5 : 1.0;
}

static struct generation *add_generation(struct run *run, GRand *rand, enum kind kind, uint32_t ms)
{
	struct generation *gen = g_new0(struct generation, 1);
	double at = g_rand_double(rand);

	gen->kind = kind;
	/* One customer in twelve sends a third of all. */
	gen->customer = at < 0.33 ? 0 : 1 + (uint32_t)((at - 0.33) / 0.67 * (CUSTOMERS - 1));
	gen->instance = (uint32_t)g_rand_int_range(rand, 0, INSTANCES);
	gen->prompt_tokens =
		(uint32_t)draw_size(rand, kinds[kind].prompt_tokens, kinds[kind].sigma);
	gen->output_tokens =
		1 + (uint32_t)draw_size(rand, kinds[kind].output_tokens, kinds[kind].sigma);
	gen->born_ms = ms;
	gen->arrive_ms = ms;
	gen->engine = -1;
	gen->item.class = run->admission ? admission_classify(kinds[kind].objective_ms,
							      kinds[SHORT].objective_ms,
							      kinds[LONG].objective_ms)
					 : ADMISSION_NONE;
	gen->item.priority = run->scene->rank[kind];
	gen->item.objective_ms = kinds[kind].objective_ms;
	gen->item.tokens = gen->prompt_tokens + (uint64_t)kinds[kind].output_tokens;
	gen->item.customer = GUINT_TO_POINTER(gen->customer + 1);
	g_ptr_array_add(run->generations, gen);
	return gen;
}

static void add_arrivals(struct run *run, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed(seed);

	for (uint32_t ms = STEP_MS; ms < ARRIVALS_END_MS; ms += STEP_MS) {
		for (uint32_t kind = 0; kind < KINDS; kind++) {
			double mean = kinds[kind].per_s * run->scene->load[kind] *
				      demand_factor(kind, ms) * STEP_MS / 1000.0;

			while (mean > 0.0 && g_rand_double(rand) < mean) {
				add_generation(run, rand, kind, ms);
				mean -= 1.0;
			}
		}
	}
	g_rand_free(rand);
}

/* engines */

static uint32_t engine_priority(const struct generation *gen)
{
	return admission_engine_priority(gen->item.class, gen->item.priority);
}

static gint compare_waiting(gconstpointer a, gconstpointer b)
{
	const struct generation *x = *(struct generation *const *)a;
	const struct generation *y = *(struct generation *const *)b;

	if (engine_priority(x) != engine_priority(y))
		return engine_priority(x) < engine_priority(y) ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void account(struct run *run, struct generation *gen, int32_t sign)
{
	struct load *own = &run->instances[gen->instance].own[gen->engine];

	own->open += (uint32_t)sign;
	own->expected += (uint32_t)sign * (uint32_t)gen->item.tokens;
	if (!gen->first_ms)
		own->unread += (uint32_t)sign * gen->prompt_tokens;
	else
		own->used += (uint32_t)sign * gen->prompt_tokens;
}

static void finish(struct run *run, struct generation *gen)
{
	account(run, gen, -1);
	g_ptr_array_remove(run->engines[gen->engine].generations, gen);
	gen->state = DONE;
	if (gen->kind == SHORT)
		admission_demand_end(&run->instances[gen->instance].demand,
				     run->now_ms - gen->sent_ms);
}

/* Returns the memory that the generations of an engine occupy, or need in order to go on. */
static double engine_used(const struct engine *engine, bool running_only)
{
	double used = 0.0;

	for (guint i = 0; i < engine->generations->len; i++) {
		const struct generation *gen = engine->generations->pdata[i];

		if (gen->running || !running_only)
			used += gen->prompt_tokens + gen->produced;
	}
	return used;
}

static void engine_step(struct run *run, struct engine *engine)
{
	uint32_t running = 0;
	uint32_t decoding = 0;
	double budget;
	double used = engine_used(engine, true);

	g_ptr_array_sort(engine->generations, compare_waiting);
	/* Those admitted last lose their memory when it does not suffice. */
	for (guint i = engine->generations->len; i > 0 && used > KV_TOKENS; i--) {
		struct generation *gen = engine->generations->pdata[i - 1];

		if (!gen->running)
			continue;
		used -= gen->prompt_tokens + gen->produced;
		gen->running = false;
		gen->unread = gen->prompt_tokens + gen->produced;
		run->preemptions++;
	}
	for (guint i = 0; i < engine->generations->len; i++) {
		struct generation *gen = engine->generations->pdata[i];

		running += gen->running;
	}
	for (guint i = 0; i < engine->generations->len && running < SLOTS; i++) {
		struct generation *gen = engine->generations->pdata[i];
		double needed = gen->prompt_tokens + gen->produced;

		if (gen->running)
			continue;
		if (used + needed > KV_TOKENS)
			break;
		gen->running = true;
		used += needed;
		running++;
	}
	for (guint i = 0; i < engine->generations->len; i++) {
		struct generation *gen = engine->generations->pdata[i];

		decoding += gen->running && gen->unread <= 0.0;
	}
	budget = STEP_MS * (decoding ? PREFILL_BESIDE : PREFILL_IDLE);
	for (guint i = 0; i < engine->generations->len; i++) {
		struct generation *gen = engine->generations->pdata[i];

		if (!gen->running)
			continue;
		if (gen->unread > 0.0) {
			double read = MIN(gen->unread, budget);

			gen->unread -= read;
			budget -= read;
			continue;
		}
		gen->produced += STEP_MS / (STEP_BASE_MS + STEP_SLOT_MS * decoding);
		if (!gen->first_ms && gen->produced >= TOKENS_PER_EVENT) {
			account(run, gen, -1);
			gen->first_ms = run->now_ms;
			account(run, gen, 1);
		}
		if (gen->produced >= gen->output_tokens && gen->first_ms)
			finish(run, gen), i--;
	}
}

/* An engine that ends hands its generations, as migration does, to the one with most memory. */
static void engine_replace(struct run *run, uint32_t index)
{
	struct engine *engine = &run->engines[index];

	engine->gone_ms = 0;
	while (engine->generations->len > 0) {
		struct generation *gen = engine->generations->pdata[0];
		uint32_t best = ENGINES;

		for (uint32_t i = 0; i < ENGINES; i++) {
			if (i == index || run->engines[i].gone_ms)
				continue;
			if (best == ENGINES || engine_used(&run->engines[i], false) <
						       engine_used(&run->engines[best], false))
				best = i;
		}
		account(run, gen, -1);
		g_ptr_array_remove_index(engine->generations, 0);
		gen->engine = (int32_t)best;
		account(run, gen, 1);
		g_ptr_array_add(run->engines[best].generations, gen);
	}
}

static void engines_step(struct run *run)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		struct engine *engine = &run->engines[i];

		if (run->now_ms % LEAVE_INTERVAL_MS == 0 &&
		    i % 6 == run->now_ms / LEAVE_INTERVAL_MS % 6)
			engine->gone_ms = run->now_ms + 1500 + i * 37 % 600;
		if (engine->gone_ms && run->now_ms >= engine->gone_ms)
			engine_replace(run, i);
		engine_step(run, engine);
	}
}

/* instances */

static bool is_same_zone(const struct run *run, const struct instance *instance, uint32_t engine)
{
	return engine % ZONES == (uint32_t)(instance - run->instances) % ZONES;
}

static struct load known_load(const struct run *run, const struct instance *instance, uint32_t i)
{
	uint32_t age =
		run->scene->knows_zone && is_same_zone(run, instance, i) ? 0 : STALE_SNAPSHOTS;
	uint32_t past = (run->snapshot + SNAPSHOTS - age) % SNAPSHOTS;
	const struct load *total = &run->totals[past][i];
	const struct load *mine = &instance->past[past][i];
	const struct load *own = &instance->own[i];

	return (struct load){ total->open - mine->open + own->open,
			      total->unread - mine->unread + own->unread,
			      total->expected - mine->expected + own->expected,
			      total->used - mine->used + own->used };
}

static double known_urgent_tokens(const struct run *run, const struct instance *instance)
{
	uint32_t past = (run->snapshot + SNAPSHOTS - STALE_SNAPSHOTS) % SNAPSHOTS;

	return run->total_tokens[past] - instance->past_tokens[past] +
	       admission_demand_tokens(&instance->demand);
}

static uint32_t first_event_left_ms(const struct run *run, const struct generation *gen)
{
	uint32_t wanted = (uint32_t)(kinds[gen->kind].objective_ms * ON_TIME_SHARE);
	uint32_t spent = run->now_ms - gen->arrive_ms;

	if (gen->refusals > 0)
		return 0;
	return spent < wanted ? wanted - spent : 1;
}

static int32_t select_engine(struct run *run, const struct generation *gen, uint32_t *late_ms)
{
	struct instance *instance = &run->instances[gen->instance];
	struct placement_engine views[ENGINES];
	struct placement_params params = placement_default_params;
	struct placement_request place = {
		.prompt_tokens = gen->prompt_tokens,
		.output_tokens = gen->item.tokens - gen->prompt_tokens,
		.stale_ms = 600,
		.jitter_seed = g_rand_int(run->rand),
		.first_event_left_ms = first_event_left_ms(run, gen),
	};
	uint32_t usable = 0;
	int32_t best;

	for (uint32_t i = 0; i < ENGINES; i++) {
		struct load load = known_load(run, instance, i);

		views[i] = (struct placement_engine){
			.kv_tokens = KV_TOKENS,
			.expected_kv_tokens = load.expected,
			.used_kv_tokens = load.used,
			.prefill_tokens = load.unread,
			.slots = SLOTS,
			.open = load.open,
			.distance = !is_same_zone(run, instance, i),
			.usable = !run->engines[i].gone_ms,
		};
		usable += views[i].usable;
	}
	params.max_kv_share = FILL;
	if (gen->item.class == ADMISSION_OTHER)
		params.max_kv_share -= admission_reserve(known_urgent_tokens(run, instance),
							 (double)usable * KV_TOKENS);
	best = placement_select_engine(&params, &place, views, ENGINES);
	*late_ms = best < 0 ? 0 : placement_late_ms(&params, &place, &views[best]);
	if (*late_ms == 0 || gen->item.class == ADMISSION_NONE)
		return *late_ms ? -1 : best;
	for (uint32_t i = 0; i < ENGINES; i++)
		views[i].usable &= placement_late_ms(&params, &place, &views[i]) == 0;
	best = placement_select_engine(&params, &place, views, ENGINES);
	if (best >= 0)
		*late_ms = 0;
	return best;
}

static void send(struct run *run, struct generation *gen, int32_t engine)
{
	gen->state = SENT;
	gen->engine = engine;
	gen->sent_ms = run->now_ms;
	gen->unread = gen->prompt_tokens;
	gen->order = run->order++;
	account(run, gen, 1);
	g_ptr_array_add(run->engines[engine].generations, gen);
}

static uint32_t return_ms(struct run *run, struct generation *gen, uint32_t late_ms)
{
	struct instance *instance = &run->instances[gen->instance];
	uint32_t deadline_ms = gen->born_ms + kinds[gen->kind].deadline_ms;
	struct admission_room room = { .instances = INSTANCES,
				       .read_tokens_per_s = PREFILL_BESIDE * 1000 * ENGINES,
				       .late_ms = MIN(late_ms, 3000),
				       .left_ms = deadline_ms > run->now_ms
							  ? deadline_ms - run->now_ms
							  : 0 };

	if (!run->admission)
		return MIN_RETURN_MS + (uint32_t)g_rand_int_range(run->rand, 0, 600) +
		       20 * instance->queue->len + MIN(late_ms, 3000);
	for (uint32_t i = 0; i < ENGINES; i++)
		room.freed_tokens_per_s += known_load(run, instance, i).used *
					   placement_default_params.freed_share_per_ms * 1000.0;
	for (guint i = 0; i < instance->queue->len; i++)
		room.queued_tokens += ((struct generation *)instance->queue->pdata[i])->item.tokens;
	return admission_return_ms(&instance->returns[gen->item.class], &room, gen->item.tokens,
				   g_rand_double(run->rand), run->now_ms * 1000ULL);
}

static void refuse(struct run *run, struct generation *gen, uint32_t late_ms)
{
	gen->arrive_ms = run->now_ms + return_ms(run, gen, late_ms);
	/* The next grants are for steps that are still to come. */
	gen->arrive_ms += STEP_MS - gen->arrive_ms % STEP_MS;
	if (late_ms && gen->refusals > 0)
		run->refused_back_late++;
	gen->refusals++;
	run->refusals++;
	gen->state =
		gen->arrive_ms > gen->born_ms + kinds[gen->kind].deadline_ms ? GIVEN_UP : COMING;
}

static uint32_t wait_limit_ms(const struct generation *gen)
{
	uint32_t objective_ms = kinds[gen->kind].objective_ms;
	uint32_t first_ms = (uint32_t)(gen->prompt_tokens / PREFILL_BESIDE);

	return gen->item.class == ADMISSION_NONE
		       ? WAIT_MS
		       : admission_wait_ms(objective_ms, objective_ms - MIN(first_ms, objective_ms),
					   WAIT_MS);
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	const struct generation *x = *(struct generation *const *)a;
	const struct generation *y = *(struct generation *const *)b;

	if (x->item.priority != y->item.priority)
		return x->item.priority < y->item.priority ? -1 : 1;
	return x->queued_ms == y->queued_ms ? 0 : x->queued_ms < y->queued_ms ? -1 : 1;
}

static GPtrArray *sorted_queue(const struct run *run, const struct instance *instance)
{
	GPtrArray *sorted = g_ptr_array_new();

	for (guint i = 0; i < instance->queue->len; i++)
		g_ptr_array_add(sorted, instance->queue->pdata[i]);
	/* The item is the first member of a generation. */
	if (run->admission)
		admission_sort((struct admission_item **)sorted->pdata, sorted->len);
	else
		g_ptr_array_sort(sorted, compare_arrivals);
	return sorted;
}

static bool may_pass(const struct run *run, const struct generation *gen, const GPtrArray *blocked)
{
	for (guint i = 0; i < blocked->len; i++) {
		if (!run->admission ||
		    !admission_may_overtake(&gen->item, blocked->pdata[i], run->now_ms * 1000ULL))
			return false;
	}
	return true;
}

/* Does what dispatch_grant_queued() and the timers of the relay do. */
static void grant(struct run *run, struct instance *instance)
{
	g_autoptr(GPtrArray) sorted = sorted_queue(run, instance);
	g_autoptr(GPtrArray) blocked = g_ptr_array_new();

	for (guint i = 0; i < sorted->len; i++) {
		struct generation *gen = sorted->pdata[i];
		uint32_t late_ms = 0;
		int32_t engine = -1;
		bool tried = may_pass(run, gen, blocked);

		if (tried)
			engine = select_engine(run, gen, &late_ms);
		if (engine >= 0) {
			run->overtakes += blocked->len > 0;
			g_ptr_array_remove(instance->queue, gen);
			send(run, gen, engine);
		} else if ((late_ms && run->admission) ||
			   run->now_ms - gen->queued_ms >= wait_limit_ms(gen)) {
			g_ptr_array_remove(instance->queue, gen);
			refuse(run, gen, late_ms);
		} else if (tried) {
			if (!gen->item.blocked_us)
				gen->item.blocked_us = run->now_ms * 1000ULL;
			g_ptr_array_add(blocked, gen);
		}
	}
}

static bool has_queued_before(const struct run *run, const struct generation *gen)
{
	const GPtrArray *queue = run->instances[gen->instance].queue;

	if (!run->admission)
		return queue->len > 0;
	for (guint i = 0; i < queue->len; i++) {
		if (!admission_is_before(&gen->item, queue->pdata[i]))
			return true;
	}
	return false;
}

static void arrive(struct run *run, struct generation *gen)
{
	struct instance *instance = &run->instances[gen->instance];
	uint32_t late_ms = 0;
	int32_t engine = -1;

	gen->item.due_us = admission_due_us(gen->arrive_ms * 1000ULL, gen->arrive_ms - gen->born_ms,
					    gen->item.objective_ms,
					    (uint32_t)(gen->prompt_tokens / PREFILL_BESIDE));
	gen->item.blocked_us = 0;
	gen->item.yields = false;
	if (gen->item.class == ADMISSION_URGENT)
		admission_demand_arrive(&instance->demand, gen->item.tokens);
	if (!has_queued_before(run, gen))
		engine = select_engine(run, gen, &late_ms);
	if (engine >= 0) {
		send(run, gen, engine);
	} else if (late_ms || instance->queue->len >= 64) {
		refuse(run, gen, late_ms);
	} else {
		gen->state = QUEUED;
		gen->queued_ms = run->now_ms;
		g_ptr_array_add(instance->queue, gen);
	}
}

static void take_snapshot(struct run *run)
{
	run->snapshot = (run->snapshot + 1) % SNAPSHOTS;
	memset(run->totals[run->snapshot], 0, sizeof(run->totals[run->snapshot]));
	run->total_tokens[run->snapshot] = 0.0;
	for (uint32_t n = 0; n < INSTANCES; n++) {
		struct instance *instance = &run->instances[n];

		admission_demand_update(&instance->demand, SNAPSHOT_MS);
		instance->past_tokens[run->snapshot] = admission_demand_tokens(&instance->demand);
		run->total_tokens[run->snapshot] += instance->past_tokens[run->snapshot];
		memcpy(instance->past[run->snapshot], instance->own, sizeof(instance->own));
		for (uint32_t i = 0; i < ENGINES; i++) {
			struct load *total = &run->totals[run->snapshot][i];

			total->open += instance->own[i].open;
			total->unread += instance->own[i].unread;
			total->expected += instance->own[i].expected;
			total->used += instance->own[i].used;
		}
	}
}

/* runs */

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const struct generation *x = *(struct generation *const *)a;
	const struct generation *y = *(struct generation *const *)b;

	return (x->item.tokens > y->item.tokens) - (x->item.tokens < y->item.tokens);
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static bool was_served(const struct generation *gen)
{
	return gen->first_ms && gen->first_ms <= gen->born_ms + kinds[gen->kind].deadline_ms;
}

/* Returns the share served of the group served least, to that of all. */
static double least_share(const uint32_t *sent, const uint32_t *served, uint32_t count,
			  double all_share)
{
	double least = 1.0;

	for (uint32_t i = 0; i < count; i++)
		least = MIN(least, (double)served[i] / MAX(sent[i], 1) / all_share);
	return least;
}

static void evaluate(const struct run *run, struct result *result)
{
	uint32_t sent_by[CUSTOMERS] = { 0 };
	uint32_t served_by[CUSTOMERS] = { 0 };
	uint32_t sent_in[ZONES] = { 0 };
	uint32_t served_in[ZONES] = { 0 };
	uint32_t largest_served = 0;
	uint32_t all_served = 0;
	double all_share;
	g_autoptr(GPtrArray) longs = g_ptr_array_new();
	GArray *times[KINDS] = { g_array_new(FALSE, FALSE, sizeof(uint32_t)),
				 g_array_new(FALSE, FALSE, sizeof(uint32_t)) };

	memset(result, 0, sizeof(*result));
	result->refused_back_late = run->refused_back_late;
	for (guint i = 0; i < run->generations->len; i++) {
		struct generation *gen = run->generations->pdata[i];
		uint32_t first_ms =
			gen->first_ms ? gen->first_ms - gen->born_ms : kinds[gen->kind].deadline_ms;

		result->count[gen->kind]++;
		result->served[gen->kind] += was_served(gen);
		result->late[gen->kind] += first_ms > kinds[gen->kind].objective_ms;
		g_array_append_val(times[gen->kind], first_ms);
		sent_by[gen->customer]++;
		served_by[gen->customer] += was_served(gen);
		sent_in[gen->instance % ZONES]++;
		served_in[gen->instance % ZONES] += was_served(gen);
		all_served += was_served(gen);
		if (gen->kind == LONG)
			g_ptr_array_add(longs, gen);
	}
	for (uint32_t kind = 0; kind < KINDS; kind++) {
		g_array_sort(times[kind], compare_u32);
		result->p99_ms[kind] =
			g_array_index(times[kind], uint32_t, times[kind]->len * 99 / 100);
		g_array_free(times[kind], TRUE);
	}
	g_ptr_array_sort(longs, compare_sizes);
	for (guint i = longs->len - longs->len / 10; i < longs->len; i++)
		largest_served += was_served(longs->pdata[i]);
	result->largest_share = (double)largest_served / (double)(longs->len / 10) /
				((double)result->served[LONG] / longs->len);
	all_share = (double)all_served / run->generations->len;
	result->customer_share = least_share(sent_by, served_by, CUSTOMERS, all_share);
	result->zone_share = least_share(sent_in, served_in, ZONES, all_share);
}

static void run_scene(const struct scene *scene, uint32_t seed, bool admission,
		      struct result *result)
{
	struct run *run = g_new0(struct run, 1);

	run->scene = scene;
	run->admission = admission;
	run->seed = seed;
	run->rand = g_rand_new_with_seed(seed);
	run->generations = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < ENGINES; i++)
		run->engines[i].generations = g_ptr_array_new();
	for (uint32_t i = 0; i < INSTANCES; i++)
		run->instances[i].queue = g_ptr_array_new();
	add_arrivals(run, seed);
	for (run->now_ms = STEP_MS; run->now_ms < DURATION_MS; run->now_ms += STEP_MS) {
		if (run->now_ms % SNAPSHOT_MS == 0)
			take_snapshot(run);
		engines_step(run);
		for (guint i = 0; i < run->generations->len; i++) {
			struct generation *gen = run->generations->pdata[i];

			if (gen->state == COMING && gen->arrive_ms == run->now_ms)
				arrive(run, gen);
		}
		for (uint32_t i = 0; run->now_ms % GRANT_MS == 0 && i < INSTANCES; i++)
			grant(run, &run->instances[i]);
	}
	evaluate(run, result);
	printf("%-18s seed %u %-14s short late %4u of %4u p99 %5u served %4u | long late %4u of "
	       "%4u p99 %5u served %4u | largest %.2f customer %.2f zone %.2f overtakes %u "
	       "preemptions %u refusals %u\n",
	       scene->name, seed, admission ? "admission" : "arrival order", result->late[SHORT],
	       result->count[SHORT], result->p99_ms[SHORT], result->served[SHORT],
	       result->late[LONG], result->count[LONG], result->p99_ms[LONG], result->served[LONG],
	       result->largest_share, result->customer_share, result->zone_share, run->overtakes,
	       run->preemptions, run->refusals);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_ptr_array_free(run->engines[i].generations, TRUE);
	for (uint32_t i = 0; i < INSTANCES; i++)
		g_ptr_array_free(run->instances[i].queue, TRUE);
	g_ptr_array_free(run->generations, TRUE);
	g_rand_free(run->rand);
	g_free(run);
}

static void check(const struct scene *scene, uint32_t seed)
{
	struct result fifo;
	struct result ours;

	run_scene(scene, seed, false, &fifo);
	run_scene(scene, seed, true, &ours);
	if (ours.late[SHORT] > fifo.late[SHORT] * scene->max_late)
		violation(seed, scene->name, "urgent generations are late");
	if (ours.served[LONG] < fifo.served[LONG] * scene->min_other)
		violation(seed, scene->name, "others are served less");
	if (ours.largest_share < 0.5)
		violation(seed, scene->name, "large generations starve");
	if (ours.customer_share < 0.5)
		violation(seed, scene->name, "a customer starves");
	if (ours.zone_share < 0.5)
		violation(seed, scene->name, "a zone starves");
	if (ours.refused_back_late > 0)
		violation(seed, scene->name, "a caller that is back is refused for being late");
}

static void test_replay(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(scenes); i++) {
		for (uint32_t seed = 1; seed <= 3; seed++)
			check(&scenes[i], seed);
	}
}

/* rules */

static void test_class(void)
{
	g_assert_cmpint(admission_classify(1500, 1500, 4000), ==, ADMISSION_URGENT);
	g_assert_cmpint(admission_classify(2000, 1500, 4000), ==, ADMISSION_URGENT);
	g_assert_cmpint(admission_classify(2001, 1500, 4000), ==, ADMISSION_OTHER);
	g_assert_cmpint(admission_classify(0, 1500, 4000), ==, ADMISSION_OTHER);
	g_assert_cmpint(admission_classify(2000, 2000, 4000), ==, ADMISSION_URGENT);
	/* Services without objectives, or with objectives that hardly differ. */
	g_assert_cmpint(admission_classify(1500, 1500, 1800), ==, ADMISSION_NONE);
	g_assert_cmpint(admission_classify(1500, 1500, 2999), ==, ADMISSION_NONE);
	g_assert_cmpint(admission_classify(0, 0, 0), ==, ADMISSION_NONE);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_NONE, 7), ==, 7);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_URGENT, 0), ==, 0);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_OTHER, 0), ==, 1);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_OTHER, 2), ==, 5);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_URGENT, 9), ==, 8);
	g_assert_cmpuint(admission_engine_priority(ADMISSION_OTHER, 9), ==, 9);
}

/* The reserve follows the demand within 2 s, and has a limit. */
static void test_reserve(void)
{
	struct admission_demand demand = { 0 };
	double reserve;

	admission_demand_end(&demand, 400);
	for (uint32_t ms = 0; ms < 3000; ms += 100) {
		admission_demand_arrive(&demand, 2000);
		admission_demand_update(&demand, 100);
	}
	/* 20,000 tokens a second for 0.4 s. */
	g_assert_cmpfloat_with_epsilon(admission_demand_tokens(&demand), 8000, 100);
	reserve = admission_reserve(admission_demand_tokens(&demand), 100000);
	if (fabs(reserve - 0.12) > 0.005)
		violation(0, "reserve", "what urgent generations need is not kept free");
	g_assert_cmpfloat(admission_reserve(1e9, 100000), <=, ADMISSION_MAX_RESERVE);
	g_assert_cmpfloat(admission_reserve(100, 0), ==, 0.0);
	for (uint32_t ms = 0; ms < 2000; ms += 100)
		admission_demand_update(&demand, 100);
	g_assert_cmpfloat(admission_reserve(admission_demand_tokens(&demand), 100000), <, 0.005);
	/* A generation that an overloaded engine holds for a minute does not fill the reserve. */
	admission_demand_end(&demand, 60000);
	g_assert_cmpfloat(demand.hold_ms, <, 1000);
}

static void sort_names(struct admission_item *items, uint32_t count, char *names)
{
	struct admission_item *sorted[8];

	for (uint32_t i = 0; i < count; i++)
		sorted[i] = &items[i];
	admission_sort(sorted, count);
	for (uint32_t i = 0; i < count; i++)
		names[i] = (char)('a' + (sorted[i] - items));
	names[count] = 0;
}

static void test_order(void)
{
	const void *one = "one";
	const void *two = "two";
	const void *three = "three";
	char names[9];
	/* By priority, then by slack. */
	struct admission_item mixed[] = {
		{ .priority = 1, .due_us = 10, .customer = one },
		{ .priority = 0, .due_us = 30, .customer = two },
		{ .priority = 0, .due_us = 20, .customer = three },
		{ .priority = 0, .due_us = 30, .customer = one },
	};
	/* One customer holds three of five; it waits behind the others of its priority only. */
	struct admission_item greedy[] = {
		{ .priority = 1, .due_us = 10, .customer = one },
		{ .priority = 1, .due_us = 20, .customer = one },
		{ .priority = 1, .due_us = 30, .customer = two },
		{ .priority = 0, .due_us = 40, .customer = one },
		{ .priority = 2, .due_us = 10, .customer = two },
	};

	sort_names(mixed, G_N_ELEMENTS(mixed), names);
	g_assert_cmpstr(names, ==, "cbda");
	sort_names(greedy, G_N_ELEMENTS(greedy), names);
	g_assert_cmpstr(names, ==, "dcabe");
	/* One of two holds no more than half; without customers nobody yields. */
	sort_names(greedy, 1, names);
	g_assert_cmpstr(names, ==, "a");
	g_assert_cmpuint(admission_due_us(1000000, 200, 1500, 300), ==, 2000000);
	g_assert_cmpuint(admission_due_us(1000, 3000, 1500, 300), ==, 0);
}

/* Small generations arrive without end while a large one waits for room. */
static void test_overtaking(void)
{
	struct admission_item large = { .class = ADMISSION_OTHER,
					.objective_ms = 4000,
					.tokens = 4000,
					.blocked_us = 1000000 };
	struct admission_item small = { .class = ADMISSION_OTHER, .tokens = 1000 };
	struct admission_item equal = { .class = ADMISSION_OTHER, .tokens = 4000 };
	struct admission_item urgent = { .class = ADMISSION_URGENT, .tokens = 5000 };
	uint32_t free_tokens = 0;
	uint32_t ms;

	g_assert_true(admission_may_overtake(&small, &large, 1999999));
	g_assert_false(admission_may_overtake(&equal, &large, 1000000));
	g_assert_true(admission_may_overtake(&urgent, &large, 1000000));
	/* 1,000 tokens are freed in 100 ms, and a small one takes them if it may. */
	for (ms = 0; ms < 10000 && free_tokens < large.tokens; ms += 100) {
		free_tokens += 1000;
		if (admission_may_overtake(&small, &large, large.blocked_us + ms * 1000ULL))
			free_tokens -= 1000;
	}
	if (ms > 1500)
		violation(0, "overtaking", "a large generation starves");
}

static void test_wait(void)
{
	g_assert_cmpuint(admission_wait_ms(4000, 3600, 300), ==, 1333);
	g_assert_cmpuint(admission_wait_ms(1500, 1200, 300), ==, 500);
	g_assert_cmpuint(admission_wait_ms(4000, 700, 300), ==, 700);
	g_assert_cmpuint(admission_wait_ms(4000, 0, 300), ==, 300);
	g_assert_cmpuint(admission_wait_ms(0, 0, 300), ==, 300);
}

/* Callers refused together return one after another, at the rate at which memory becomes free, and
 * while there is time. */
static void test_return(void)
{
	struct admission_returns returns = { 0 };
	struct admission_room room = { .freed_tokens_per_s = 600000,
				       .instances = 60,
				       .left_ms = 6000,
				       .queued_tokens = 5000 };
	uint32_t before_ms = 0;

	/* 10,000 tokens a second are freed for this instance: 200 ms for each generation. */
	for (uint32_t i = 0; i < 10; i++) {
		uint32_t ms = admission_return_ms(&returns, &room, 2000, 0.5, 1000000);

		g_assert_cmpuint(ms, >=, 400);
		if (i > 0)
			g_assert_cmpuint(ms - before_ms, ==, 200);
		before_ms = ms;
	}
	for (uint32_t i = 0; i < 100; i++)
		g_assert_cmpuint(admission_return_ms(&returns, &room, 2000, i / 100.0, 1000000), <=,
				 3000);
	/* A later one does not wait for those that are back. */
	g_assert_cmpuint(admission_return_ms(&returns, &room, 2000, 0.0, 9000000), ==, 500);
	room.left_ms = 1200;
	g_assert_cmpuint(admission_return_ms(&returns, &room, 2000, 0.9, 9000000), <=, 600);
	/* Late ones return at the rate at which prompts are read, 100 ms for each. */
	room.left_ms = 6000;
	room.late_ms = 700;
	room.read_tokens_per_s = 1200000;
	room.queued_tokens = 0;
	before_ms = admission_return_ms(&returns, &room, 2000, 0.0, 15000000);
	g_assert_cmpuint(before_ms, ==, 700);
	g_assert_cmpuint(admission_return_ms(&returns, &room, 2000, 0.0, 15000000), ==, 800);
	room.late_ms = 0;
	/* Nothing is known to become free. */
	room.freed_tokens_per_s = 0;
	room.left_ms = 60000;
	g_assert_cmpuint(admission_return_ms(&returns, &room, 2000, 0.5, 20000000), <=, 3000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/class", test_class);
	g_test_add_func("/admission/reserve", test_reserve);
	g_test_add_func("/admission/order", test_order);
	g_test_add_func("/admission/overtaking", test_overtaking);
	g_test_add_func("/admission/wait", test_wait);
	g_test_add_func("/admission/return", test_return);
	g_test_add_func("/admission/replay", test_replay);
	return g_test_run() || violated;
}
