/**
 * @file test_hedge.c
 * Hedged requests in virtual time: instances whose view of one another's load lags
 * send calls to the upstreams of one service, with and without hedging in the same
 * load. Guards against hedging that does not shorten the slowest answers, that
 * exceeds its share, or that makes an overloaded service worse.
 *
 * --replay=1 prints the figures of docs/design/hedging.md: p50 and p99 in ms, answers in time,
 * answers, hedged requests, executions.
 */
#include "sched.h"

#include "flamingolatch/hedge.h"
#include "flamingolatch/placement.h"
#include "flamingolatch/retry_budget.h"
#include "flamingolatch/upstream_quiet.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define SEEDS	      1
#define PLAYS	      8 /* of each scene for a seed */
#define MS	      1000ULL
#define UPSTREAMS     6
#define SLOTS	      6
#define INSTANCES_MAX 60
#define WORK_MS	      30   /* mean time of an execution on an upstream of usual speed */
#define REPORT_MS     100  /* between two reports of the load of an instance */
#define TICK_MS	      20   /* between two checks of the timers */
#define ANSWER_MS     700  /* without an answer a call is sent elsewhere */
#define TIMEOUT_MS    3000 /* of a call */
#define OBJECTIVE_MS  400
#define WARM_UP_SHARE 0.2 /* of a run whose answers are not counted */
/* Late answers of an overloaded service may differ by this much by chance. */
#define CHANCE_SHARE 0.02
/* By this factor at least the p99 falls beside one slow upstream. */
#define GAIN_MIN 1.5

struct scene {
	const char *name;
	uint32_t instances;
	uint32_t run_s;
	double load;	    /* of the capacity at usual speed */
	double slow_factor; /* of the slow upstreams' execution times */
	uint32_t slow_count;
};

static const struct scene scenes[] = {
	{ "one slow", 12, 20, 0.4, 10.0, 1 },
	{ "one slow, 60 instances, few calls", 60, 100, 0.1, 10.0, 1 },
	{ "all slow", 12, 20, 0.15, 5.0, UPSTREAMS },
	{ "load 0.9", 12, 20, 0.9, 1.0, 0 },
	{ "load 1.2", 12, 20, 1.2, 1.0, 0 },
};

/* An execution at an upstream, or one that waits there. */
struct work {
	struct call *call; /* NULL when it was cancelled */
	uint32_t upstream;
	double size; /* in means */
	uint64_t sent_ms;
	uint64_t end_ms; /* 0 while it waits */
};

struct call {
	struct work *first;  /* current attempt; NULL when there is none */
	struct work *second; /* hedged request */
	uint64_t arrived_ms;
	uint32_t instance;
	double work[2]; /* executions at the first and the second upstream, in means */
	uint32_t tried; /* a bit for each upstream */
	uint32_t attempts;
	bool asked;
	bool hedged;
};

struct instance {
	struct hedge *hedge;
	struct retry_budget *budget;
	struct upstream_quiet quiet[UPSTREAMS];
	uint32_t open[UPSTREAMS];
	uint32_t reported[UPSTREAMS]; /* open at the last report */
};

struct result {
	uint32_t requests;
	uint32_t counted; /* those of them after the warm-up */
	uint32_t hedged;
	uint32_t executions;
	uint32_t in_time; /* within the objective */
	uint32_t p50_ms;
	uint32_t p99_ms;
};

struct run {
	GRand *load;   /* for what is the same with and without hedging */
	GRand *others; /* for the rest */
	const struct scene *scene;
	double share;
	uint64_t now_ms;
	struct instance instances[INSTANCES_MAX];
	uint32_t reported[UPSTREAMS]; /* sum over the instances */
	GQueue waiting[UPSTREAMS];    /* struct work */
	GPtrArray *working;	      /* struct work, at all upstreams */
	uint32_t busy[UPSTREAMS];
	GPtrArray *calls; /* open calls */
	GArray *times_ms; /* of answered calls, uint32_t */
	struct result result;
};

/* Half of an execution takes the same time for all, the other half varies without memory. */
static double draw_work(struct run *run)
{
	return 0.5 - 0.5 * log(1.0 - g_rand_double(run->load));
}

static uint64_t work_ms(const struct run *run, const struct work *work)
{
	double factor = work->upstream < run->scene->slow_count ? run->scene->slow_factor : 1.0;

	return (uint64_t)MAX(factor * WORK_MS * work->size, 1.0);
}

static uint32_t peer_open(const struct run *run, const struct instance *instance, uint32_t i)
{
	return run->reported[i] - instance->reported[i];
}

/* Returns the upstream for a call, or UPSTREAMS. @param slow_us 0 unless it is for a hedged request
 */
static uint32_t select_upstream(struct run *run, const struct call *call, uint64_t slow_us)
{
	const struct instance *instance = &run->instances[call->instance];
	struct placement_upstream ups[UPSTREAMS] = { 0 };
	int32_t best;

	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		ups[i].slots = SLOTS;
		ups[i].open = instance->open[i] + peer_open(run, instance, i);
		ups[i].connected = true;
		ups[i].usable = !(call->tried & 1U << i) &&
				(!slow_us ||
				 (instance->quiet[i].answer_us <= slow_us && ups[i].open < SLOTS));
	}
	best = placement_select_upstream(ups, UPSTREAMS, g_rand_int(run->others));
	return best == PLACEMENT_NONE ? UPSTREAMS : (uint32_t)best;
}

static struct work *send(struct run *run, struct call *call, uint32_t upstream)
{
	struct work *work = g_new0(struct work, 1);

	work->call = call;
	work->upstream = upstream;
	work->sent_ms = run->now_ms;
	work->size = call->work[MIN(call->attempts, 1)];
	call->tried |= 1U << upstream;
	call->attempts++;
	run->instances[call->instance].open[upstream]++;
	g_queue_push_tail(&run->waiting[upstream], work);
	return work;
}

/* Cancels a call's work. An execution that has begun keeps its slot to the end. */
static void cancel(struct run *run, struct work *work)
{
	if (!work)
		return;
	run->instances[work->call->instance].open[work->upstream]--;
	work->call = NULL;
	if (!work->end_ms) {
		g_queue_remove(&run->waiting[work->upstream], work);
		g_free(work);
	}
}

static void free_call(struct run *run, struct call *call)
{
	cancel(run, call->first);
	cancel(run, call->second);
	g_ptr_array_remove_fast(run->calls, call);
	g_free(call);
}

static bool is_counted(const struct run *run, const struct call *call)
{
	return call->arrived_ms >= run->scene->run_s * 1000.0 * WARM_UP_SHARE;
}

static void answer(struct run *run, struct work *work)
{
	struct call *call = work->call;
	struct instance *instance = &run->instances[call->instance];
	bool second = work == call->second;
	uint32_t age_ms = (uint32_t)(run->now_ms - call->arrived_ms);

	upstream_quiet_record_duration(&instance->quiet[work->upstream],
				       (run->now_ms - work->sent_ms) * MS);
	if (second && (run->now_ms - call->first->sent_ms) * MS >
			      instance->quiet[call->first->upstream].answer_us)
		upstream_quiet_record_duration(&instance->quiet[call->first->upstream],
					       (run->now_ms - call->first->sent_ms) * MS);
	if (call->attempts == 1U + call->hedged)
		hedge_add_response(instance->hedge, (run->now_ms - call->first->sent_ms) * MS);
	if (call->second)
		hedge_add_result(instance->hedge, second);
	if (is_counted(run, call)) {
		run->result.in_time += age_ms <= OBJECTIVE_MS;
		g_array_append_val(run->times_ms, age_ms);
	}
	if (second)
		call->second = NULL;
	else
		call->first = NULL;
	instance->open[work->upstream]--;
	free_call(run, call);
}

static void arrive(struct run *run)
{
	struct call *call = g_new0(struct call, 1);
	struct instance *instance;
	uint32_t upstream;

	call->arrived_ms = run->now_ms;
	call->instance = (uint32_t)g_rand_int_range(run->load, 0, (gint32)run->scene->instances);
	call->work[0] = draw_work(run);
	call->work[1] = draw_work(run);
	instance = &run->instances[call->instance];
	run->result.requests++;
	run->result.counted += is_counted(run, call);
	hedge_add_request(instance->hedge, run->share);
	retry_budget_add_request(instance->budget, run->now_ms * MS);
	g_ptr_array_add(run->calls, call);
	upstream = select_upstream(run, call, 0);
	if (upstream == UPSTREAMS)
		free_call(run, call);
	else
		call->first = send(run, call, upstream);
}

static void try_hedge(struct run *run, struct call *call)
{
	struct instance *instance = &run->instances[call->instance];
	uint64_t delay_us = hedge_delay_us(instance->hedge, OBJECTIVE_MS * MS);
	struct hedge_view view = { .attempt_left = true, .asked_before = call->asked };
	uint32_t open = 0;
	uint32_t upstream;

	if (run->share <= 0.0 || call->attempts > 1 || delay_us == HEDGE_DELAY_UNKNOWN ||
	    (run->now_ms - call->first->sent_ms) * MS < delay_us)
		return;
	for (uint32_t i = 0; i < UPSTREAMS; i++)
		open += MIN(instance->open[i] + peer_open(run, instance, i), SLOTS);
	view.left_us = (call->arrived_ms + TIMEOUT_MS - run->now_ms) * MS;
	view.taken_share = (double)open / (UPSTREAMS * SLOTS);
	view.budget_left_share =
		retry_budget_left_share(instance->budget, run->scene->instances, run->now_ms * MS);
	call->asked = true;
	if (hedge_decide(instance->hedge, &view) != HEDGE_SEND)
		return;
	upstream = select_upstream(run, call, delay_us);
	if (upstream == UPSTREAMS)
		return;
	retry_budget_take(instance->budget, run->scene->instances, run->now_ms * MS);
	hedge_take(instance->hedge);
	run->result.hedged++;
	call->hedged = true;
	call->second = send(run, call, upstream);
}

static void check_call(struct run *run, struct call *call)
{
	struct instance *instance = &run->instances[call->instance];
	uint32_t upstream;

	if (run->now_ms >= call->arrived_ms + TIMEOUT_MS) {
		if (call->second)
			hedge_add_result(instance->hedge, false);
		free_call(run, call);
		return;
	}
	try_hedge(run, call);
	if (call->attempts > 1 || run->now_ms < call->first->sent_ms + ANSWER_MS)
		return;
	upstream = select_upstream(run, call, 0);
	if (upstream == UPSTREAMS ||
	    !retry_budget_take(instance->budget, run->scene->instances, run->now_ms * MS))
		return;
	hedge_add_response(instance->hedge, ANSWER_MS * MS);
	cancel(run, call->first);
	call->first = send(run, call, upstream);
}

static void work_on(struct run *run)
{
	for (guint i = run->working->len; i-- > 0;) {
		struct work *work = run->working->pdata[i];

		if (work->end_ms > run->now_ms)
			continue;
		g_ptr_array_remove_index_fast(run->working, i);
		run->busy[work->upstream]--;
		if (work->call)
			answer(run, work);
		g_free(work);
	}
	for (uint32_t i = 0; i < UPSTREAMS; i++) {
		while (run->busy[i] < SLOTS && run->waiting[i].length > 0) {
			struct work *work = g_queue_pop_head(&run->waiting[i]);

			run->busy[i]++;
			run->result.executions++;
			work->end_ms = run->now_ms + work_ms(run, work);
			g_ptr_array_add(run->working, work);
		}
	}
}

static void report(struct run *run)
{
	memset(run->reported, 0, sizeof(run->reported));
	for (uint32_t n = 0; n < run->scene->instances; n++) {
		for (uint32_t i = 0; i < UPSTREAMS; i++) {
			run->instances[n].reported[i] = run->instances[n].open[i];
			run->reported[i] += run->instances[n].open[i];
		}
	}
}

static gint compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

static uint32_t percentile_ms(const GArray *times_ms, double share)
{
	return times_ms->len
		       ? g_array_index(times_ms, uint32_t, (guint)(share * (times_ms->len - 1)))
		       : 0;
}

static void run_open(struct run *run)
{
	const struct retry_budget_limits limits = { 0.2, 158, 10000 * MS };

	run->working = g_ptr_array_new();
	run->calls = g_ptr_array_new();
	run->times_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (uint32_t n = 0; n < run->scene->instances; n++) {
		run->instances[n].hedge = hedge_create();
		run->instances[n].budget = retry_budget_create(&limits);
	}
}

static void run_close(struct run *run)
{
	g_array_sort(run->times_ms, compare_u32);
	run->result.p50_ms = percentile_ms(run->times_ms, 0.5);
	run->result.p99_ms = percentile_ms(run->times_ms, 0.99);
	while (run->calls->len > 0)
		free_call(run, run->calls->pdata[0]);
	for (guint i = 0; i < run->working->len; i++)
		g_free(run->working->pdata[i]);
	g_ptr_array_free(run->working, TRUE);
	g_ptr_array_free(run->calls, TRUE);
	g_array_free(run->times_ms, TRUE);
	for (uint32_t n = 0; n < run->scene->instances; n++) {
		hedge_destroy(run->instances[n].hedge);
		retry_budget_destroy(run->instances[n].budget);
	}
}

static struct result play_once(const struct scene *scene, double share, guint32 seed)
{
	struct run run = { .scene = scene, .share = share };
	double per_ms = scene->load * UPSTREAMS * SLOTS / WORK_MS;
	double due = 0.0;

	run_open(&run);
	run.load = g_rand_new_with_seed(seed);
	run.others = g_rand_new_with_seed(seed);
	for (run.now_ms = 1; run.now_ms < scene->run_s * 1000ULL; run.now_ms++) {
		while (due < (double)run.now_ms) {
			arrive(&run);
			due -= log(1.0 - g_rand_double(run.load)) / per_ms;
		}
		work_on(&run);
		if (run.now_ms % REPORT_MS == 0)
			report(&run);
		for (guint i = run.calls->len; run.now_ms % TICK_MS == 0 && i-- > 0;)
			check_call(&run, run.calls->pdata[i]);
	}
	run_close(&run);
	g_rand_free(run.load);
	g_rand_free(run.others);
	return run.result;
}

/* Returns the sums over several plays, and the means of the percentiles: an overloaded service
 * swings so much that single plays tell nothing. */
static struct result play(struct sched *sched, const struct scene *scene, double share)
{
	struct result sum = { 0 };

	for (uint32_t i = 0; i < PLAYS; i++) {
		struct result one = play_once(scene, share, (guint32)sched_seed(sched) * PLAYS + i);

		sum.requests += one.requests;
		sum.counted += one.counted;
		sum.hedged += one.hedged;
		sum.executions += one.executions;
		sum.in_time += one.in_time;
		sum.p50_ms += one.p50_ms;
		sum.p99_ms += one.p99_ms;
	}
	sum.p50_ms /= PLAYS;
	sum.p99_ms /= PLAYS;
	return sum;
}

/* Returns the share of the requests that were answered within the objective. */
static double in_time_share(const struct result *result)
{
	return (double)result->in_time / MAX(result->counted, 1);
}

/* Checks what holds in every scene: the share is kept. */
static bool check_share(struct sched *sched, const struct scene *scene, double share,
			const struct result *result)
{
	double allowed = share * result->requests;

	if (result->hedged <= allowed)
		return true;
	return sched_violation(sched, "%s: %u hedged requests of %.0f allowed", scene->name,
			       result->hedged, allowed);
}

static bool check_scene(struct sched *sched, const struct scene *scene, double share,
			const struct result *plain, const struct result *hedged)
{
	if (!check_share(sched, scene, share, hedged))
		return false;
	if (scene->slow_count == 1 && share >= 0.05 && hedged->p99_ms * GAIN_MIN > plain->p99_ms)
		return sched_violation(sched, "%s: p99 %u ms, without hedging %u ms", scene->name,
				       hedged->p99_ms, plain->p99_ms);
	if (in_time_share(hedged) < in_time_share(plain) - CHANCE_SHARE)
		return sched_violation(sched, "%s: %.3f answered in time, without hedging %.3f",
				       scene->name, in_time_share(hedged), in_time_share(plain));
	return true;
}

static void trace(struct sched *sched, const struct scene *scene, double share,
		  const struct result *result)
{
	sched_trace(sched, "| %s | %.2f | %u | %u | %.3f | %.3f | %.3f |", scene->name, share,
		    result->p50_ms, result->p99_ms, in_time_share(result),
		    (double)result->hedged / result->requests,
		    (double)result->executions / result->requests);
}

/* The delay is learned: not before enough answers, then by percentiles and the objective. */
static bool check_delay(struct sched *sched)
{
	struct hedge *hedge = hedge_create();
	bool ok;

	for (uint32_t i = 0; i < HEDGE_MIN_SAMPLES - 1; i++)
		hedge_add_response(hedge, 30 * MS);
	ok = hedge_delay_us(hedge, 0) == HEDGE_DELAY_UNKNOWN;
	/* 90 in a hundred take 30 ms, 6 take 300 ms, 4 take 2 s */
	for (uint32_t i = HEDGE_MIN_SAMPLES - 1; i < 90; i++)
		hedge_add_response(hedge, 30 * MS);
	for (uint32_t i = 0; i < 6; i++)
		hedge_add_response(hedge, 300 * MS);
	for (uint32_t i = 0; i < 4; i++)
		hedge_add_response(hedge, 2000 * MS);
	ok &= hedge_delay_us(hedge, 0) >= 300 * MS && hedge_delay_us(hedge, 0) < 334 * MS;
	ok &= hedge_delay_us(hedge, 400 * MS) == 200 * MS;
	ok &= hedge_delay_us(hedge, 4000 * MS) == hedge_delay_us(hedge, 0);
	ok &= hedge_delay_us(hedge, 20 * MS) >= 30 * MS && hedge_delay_us(hedge, 20 * MS) < 34 * MS;
	hedge_destroy(hedge);
	return ok || sched_violation(sched, "wrong delay");
}

/* Returns whether a view that differs in one point is judged as expected. */
static bool is_judged(struct hedge *hedge, struct hedge_view view, enum hedge_verdict verdict)
{
	return hedge_decide(hedge, &view) == verdict;
}

/* Each reason to withhold a hedged request takes effect alone. */
static bool check_reasons(struct sched *sched)
{
	struct hedge *hedge = hedge_create();
	const struct hedge_view fine = { .attempt_left = true,
					 .left_us = 500 * MS,
					 .taken_share = 0.7,
					 .budget_left_share = 0.5 };
	struct hedge_view view = fine;
	uint32_t probes = 0;
	bool ok;

	for (uint32_t i = 0; i < HEDGE_MIN_SAMPLES; i++)
		hedge_add_response(hedge, 100 * MS);
	hedge_add_request(hedge, 0.99);
	ok = is_judged(hedge, fine, HEDGE_SHARE_USED);
	hedge_add_request(hedge, 0.01);
	ok &= is_judged(hedge, fine, HEDGE_SEND);
	view.stopping = true;
	ok &= is_judged(hedge, view, HEDGE_STOPPING);
	view = fine;
	view.attempt_left = false;
	ok &= is_judged(hedge, view, HEDGE_NO_ATTEMPT);
	view = fine;
	view.left_us = 99 * MS;
	ok &= is_judged(hedge, view, HEDGE_NO_TIME);
	view = fine;
	view.harmful = true;
	ok &= is_judged(hedge, view, HEDGE_HARMFUL);
	view = fine;
	view.held_back = true;
	ok &= is_judged(hedge, view, HEDGE_POOL_BUSY);
	view = fine;
	view.taken_share = 0.71;
	ok &= is_judged(hedge, view, HEDGE_POOL_BUSY);
	view = fine;
	view.budget_left_share = 0.49;
	ok &= is_judged(hedge, view, HEDGE_BUDGET_LOW);
	for (uint32_t i = 0; i < 30; i++)
		hedge_add_result(hedge, i % 15 == 0);
	/* Few calls still try whether hedging pays again. */
	for (uint32_t i = 0; i < 100; i++)
		probes += is_judged(hedge, fine, HEDGE_SEND);
	ok &= probes == 5;
	for (uint32_t i = 0; i < 10; i++)
		hedge_add_result(hedge, true);
	ok &= is_judged(hedge, fine, HEDGE_SEND);
	hedge_destroy(hedge);
	return ok || sched_violation(sched, "wrong reason");
}

static bool check_seed(struct sched *sched)
{
	static const double shares[] = { 0.02, 0.05 };
	bool ok = check_delay(sched) && check_reasons(sched);

	for (size_t i = 0; i < G_N_ELEMENTS(scenes); i++) {
		struct result plain = play(sched, &scenes[i], 0.0);

		trace(sched, &scenes[i], 0.0, &plain);
		for (size_t n = 0; n < G_N_ELEMENTS(shares); n++) {
			struct result hedged = play(sched, &scenes[i], shares[n]);

			trace(sched, &scenes[i], shares[n], &hedged);
			ok &= check_scene(sched, &scenes[i], shares[n], &plain, &hedged);
		}
	}
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "hedge", SEEDS, check_seed);
}
