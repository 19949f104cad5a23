/**
 * @file test_call_queue.c
 * Calls that wait for upstreams which asked to be left alone, in virtual time:
 * instances and callers of several priorities before upstreams that are overrun now
 * and then. The same load is replayed with the wish ignored, for comparison.
 */
#include "flamingolatch/call_queue.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS		 1000ULL
#define S		 (1000 * MS)
#define SEEDS		 40
#define SEEDS_MANY	 4 /* with INSTANCES_MAX instances */
#define INSTANCES_MAX	 195
#define UPSTREAMS_MAX	 24
#define RUN_S		 12
#define STEP_MS		 5
#define SLOTS		 8
#define OPEN_PER_SLOT	 4 /* requests for each slot at which an upstream is full */
#define WORK_MS		 50
#define REPORT_MS	 200 /* between the reports of load that instances get */
#define BURST_MS	 400 /* in each BURST_EVERY_MS the load is three times as high */
#define BURST_EVERY_MS	 3000
#define PRIORITIES	 3
#define ATTEMPTS_MAX	 2
#define RETURNS_MAX	 3  /* how often a caller comes back */
#define QUEUE_MAX	 64 /* calls that wait at one instance */
#define RETURN_MS	 400
#define RETURN_SPREAD_MS 600

/* What instances do with an upstream's wish to be left alone. */
enum mode {
	MODE_WAIT,   /* calls wait */
	MODE_REFUSE, /* calls are refused at once */
	MODE_IGNORE, /* calls are sent nevertheless */
	MODE_COUNT
};

/* A caller's request, over all times that it comes back. */
struct call {
	struct call_queue_item *item; /* NULL unless it waits */
	uint64_t deadline_us;
	uint64_t due_us; /* when it comes back, or when its attempt ends */
	uint32_t priority;
	uint32_t upstream; /* of the current attempt */
	uint32_t attempts; /* since it came back */
	uint32_t returns;
	bool sent;
	bool refused; /* the current attempt is turned away */
};

struct instance {
	struct upstream_quiet quiet[UPSTREAMS_MAX];
	uint32_t open[UPSTREAMS_MAX];
	uint32_t answered[UPSTREAMS_MAX]; /* since the last end */
	struct call_queue *queue;
	GPtrArray *calls; /* that are sent, or come back later; waiting ones are in the queue */
};

struct counts {
	uint32_t callers;
	uint32_t served;
	uint32_t refused; /* to the end */
	uint32_t refusals;
	uint32_t truthful; /* of them: an upstream takes requests when the caller is invited back */
	uint32_t returns;
	uint32_t arrivals; /* at the upstreams */
	uint32_t unwanted; /* of them in a time of quiet */
	uint32_t held;	   /* refused after they had waited */
};

struct run {
	GRand *rand;
	struct instance *instances;
	uint32_t instance_count;
	uint32_t upstream_count;
	uint32_t working[UPSTREAMS_MAX];
	uint32_t reported[UPSTREAMS_MAX]; /* the same at the last report of load */
	uint64_t rests_until_us[UPSTREAMS_MAX];
	uint64_t rest_us;
	uint64_t now_us;
	struct counts counts;
	uint32_t seed;
	enum mode mode;
};

static void violation(const struct run *run, const char *what)
{
	printf("violation: seed %u: %s\n", run->seed, what);
	exit(EXIT_FAILURE);
}

static uint64_t draw_us(struct run *run, uint32_t below_ms)
{
	return (uint64_t)g_rand_int_range(run->rand, 0, (gint32)below_ms) * MS;
}

static struct call_queue_upstream view(const struct run *run, const struct instance *instance,
				       uint32_t i)
{
	uint32_t open = instance->open[i];

	return (struct call_queue_upstream){
		.quiet = &instance->quiet[i],
		.slots = SLOTS,
		.share = MAX(SLOTS / run->instance_count, 1),
		.open = open,
		.peer_open = run->reported[i] > open ? run->reported[i] - open : 0,
	};
}

static void views(const struct run *run, const struct instance *instance,
		  struct call_queue_upstream *out)
{
	for (uint32_t i = 0; i < run->upstream_count; i++)
		out[i] = view(run, instance, i);
}

/* Returns an upstream that may be sent a call, UPSTREAMS_MAX when there is none.
 * @param waited it was in the queue */
static uint32_t select_upstream(struct run *run, const struct instance *instance,
				const struct call *call, bool waited)
{
	uint32_t first = (uint32_t)g_rand_int_range(run->rand, 0, (gint32)run->upstream_count);
	uint32_t best = UPSTREAMS_MAX;

	for (uint32_t n = 0; n < run->upstream_count; n++) {
		uint32_t i = (first + n) % run->upstream_count;
		struct call_queue_upstream up = view(run, instance, i);

		if (up.open >= OPEN_PER_SLOT * SLOTS)
			continue;
		if (run->mode == MODE_IGNORE
			    ? call->attempts > 0 && i == call->upstream
			    : !upstream_quiet_allows(up.quiet, up.open, run->now_us))
			continue;
		if (waited && !call_queue_allows(&up, run->now_us))
			continue;
		if (best == UPSTREAMS_MAX || up.open < instance->open[best])
			best = i;
	}
	return best;
}

/* The caller comes back as invited, if it has the time, or gives up. */
static void refuse(struct run *run, struct instance *instance, struct call *call,
		   uint64_t retry_after_us)
{
	uint64_t left_us = call->deadline_us > run->now_us ? call->deadline_us - run->now_us : 0;

	uint64_t first_us = UINT64_MAX;

	for (uint32_t i = 0; i < run->upstream_count; i++)
		first_us = MIN(first_us, run->rests_until_us[i]);
	run->counts.refusals++;
	run->counts.truthful += first_us <= run->now_us + retry_after_us;
	call->sent = false;
	call->attempts = 0;
	if (call->returns >= RETURNS_MAX || left_us <= WORK_MS * MS) {
		run->counts.refused++;
		g_free(call);
		return;
	}
	call->returns++;
	run->counts.returns++;
	call->due_us = run->now_us + MIN(retry_after_us, left_us / 3);
	g_ptr_array_add(instance->calls, call);
}

static void refuse_quiet(struct run *run, struct instance *instance, struct call *call)
{
	uint64_t first_us = UINT64_MAX;

	for (uint32_t i = 0; i < run->upstream_count; i++)
		first_us = MIN(first_us, upstream_quiet_left_us(&instance->quiet[i], run->now_us));
	refuse(run, instance, call,
	       first_us + RETURN_MS * MS + draw_us(run, RETURN_SPREAD_MS) +
		       draw_us(run, (uint32_t)(first_us / MS / 4) + 1));
}

static void send_call(struct run *run, struct instance *instance, struct call *call, uint32_t to)
{
	const struct upstream_quiet *quiet = &instance->quiet[to];

	if (run->now_us < quiet->until_us) {
		run->counts.unwanted++;
		if (run->mode != MODE_IGNORE)
			violation(run, "a call before the end");
	}
	if (run->mode != MODE_IGNORE && quiet->until_us && instance->answered[to] < 60 &&
	    instance->open[to] > instance->answered[to])
		violation(run, "the queue returns at once");
	run->counts.arrivals++;
	call->sent = true;
	call->upstream = to;
	call->attempts++;
	instance->open[to]++;
	/* An upstream that is overrun rests. */
	if (run->working[to] >= 2 * SLOTS && run->now_us >= run->rests_until_us[to])
		run->rests_until_us[to] = run->now_us + run->rest_us;
	call->refused = run->now_us < run->rests_until_us[to];
	call->due_us = run->now_us + STEP_MS * MS;
	if (!call->refused) {
		/* Beyond its slots the work takes longer. */
		call->due_us = run->now_us + WORK_MS * MS * (1 + run->working[to] / SLOTS);
		run->working[to]++;
	}
	g_ptr_array_add(instance->calls, call);
}

/* Sends a call, queues it or refuses it. */
static void place(struct run *run, struct instance *instance, struct call *call)
{
	struct call_queue_upstream ups[UPSTREAMS_MAX];
	uint32_t up = UPSTREAMS_MAX;
	uint64_t answer_us;

	if (call_queue_length(instance->queue) == 0)
		up = select_upstream(run, instance, call, false);
	if (up != UPSTREAMS_MAX) {
		send_call(run, instance, call, up);
		return;
	}
	if (run->mode == MODE_IGNORE) {
		refuse(run, instance, call, RETURN_MS * MS + draw_us(run, RETURN_SPREAD_MS));
		return;
	}
	views(run, instance, ups);
	answer_us = call_queue_answer_us(instance->queue, ups, run->upstream_count, call->priority,
					 run->now_us);
	if (run->mode == MODE_WAIT && answer_us <= call->deadline_us &&
	    call_queue_length(instance->queue) < QUEUE_MAX) {
		call->item =
			call_queue_add(instance->queue, call->priority, call->deadline_us, call);
		return;
	}
	for (uint32_t i = 0; run->mode == MODE_WAIT && i < run->upstream_count; i++) {
		uint64_t end_us = MAX(instance->quiet[i].until_us, run->now_us);
		uint64_t work_us = MAX(instance->quiet[i].answer_us, WORK_MS * MS);

		if (call_queue_length(instance->queue) == 0 && instance->open[i] == 0 &&
		    end_us + work_us <= call->deadline_us)
			violation(run, "refused though the first in the queue is in time");
	}
	refuse_quiet(run, instance, call);
}

/* Refuses waiting calls that would be late and sends those that are allowed. */
static void serve_queue(struct run *run, struct instance *instance)
{
	struct call_queue_upstream ups[UPSTREAMS_MAX];
	struct call *call;
	uint32_t up;

	for (;;) {
		views(run, instance, ups);
		call = call_queue_find_late(instance->queue, ups, run->upstream_count, UINT64_MAX,
					    run->now_us);
		if (!call)
			break;
		if (run->now_us >= call->deadline_us)
			violation(run, "a call is held to its deadline");
		call_queue_remove(instance->queue, call->item);
		call->item = NULL;
		run->counts.held++;
		refuse_quiet(run, instance, call);
	}
	while ((call = call_queue_first(instance->queue)) &&
	       (up = select_upstream(run, instance, call, true)) != UPSTREAMS_MAX) {
		const struct call *next = call_queue_next(call->item);

		if (next && next->priority < call->priority)
			violation(run, "a less urgent call goes first");
		call_queue_remove(instance->queue, call->item);
		call->item = NULL;
		send_call(run, instance, call, up);
	}
}

static void finish_attempt(struct run *run, struct instance *instance, struct call *call)
{
	struct upstream_quiet *quiet = &instance->quiet[call->upstream];
	uint32_t other;

	call->sent = false;
	instance->open[call->upstream]--;
	if (!call->refused) {
		uint64_t since_us = quiet->until_us;

		run->working[call->upstream]--;
		upstream_quiet_record_answer(quiet, run->now_us);
		upstream_quiet_record_duration(quiet, WORK_MS * MS);
		if (run->now_us >= since_us)
			instance->answered[call->upstream]++;
		if (run->now_us <= call->deadline_us)
			run->counts.served++;
		else
			run->counts.refused++;
		g_free(call);
		return;
	}
	upstream_quiet_ask(quiet, run->rests_until_us[call->upstream] - run->now_us, run->now_us);
	instance->answered[call->upstream] = 0;
	if (run->mode != MODE_IGNORE)
		place(run, instance, call);
	else if (call->attempts < ATTEMPTS_MAX &&
		 (other = select_upstream(run, instance, call, false)) != UPSTREAMS_MAX)
		send_call(run, instance, call, other);
	else
		refuse(run, instance, call, RETURN_MS * MS + draw_us(run, RETURN_SPREAD_MS));
}

/* Goes on with the calls of an instance whose attempt has ended or that come back. */
static void step_calls(struct run *run, struct instance *instance)
{
	for (guint i = 0; i < instance->calls->len;) {
		struct call *call = instance->calls->pdata[i];

		if (call->due_us > run->now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(instance->calls, i);
		if (call->sent)
			finish_attempt(run, instance, call);
		else
			place(run, instance, call);
	}
}

static void arrive(struct run *run, struct instance *instance)
{
	bool burst = run->now_us / MS % BURST_EVERY_MS < BURST_MS;
	/* Of what the upstreams can do, half in the mean, and 1.5 times as much in a burst. */
	double per_step = 0.5 * run->upstream_count * SLOTS * STEP_MS / WORK_MS /
			  run->instance_count * (burst ? 3.0 : 1.0);

	for (double left = per_step; left > 0; left -= 1.0) {
		struct call *call;

		if (g_rand_double(run->rand) >= left)
			continue;
		call = g_new0(struct call, 1);
		call->priority = (uint32_t)g_rand_int_range(run->rand, 0, PRIORITIES);
		call->deadline_us = run->now_us + 300 * MS + draw_us(run, 2000);
		run->counts.callers++;
		place(run, instance, call);
	}
}

static struct counts run_seed(uint32_t seed, uint32_t instance_count, enum mode mode)
{
	struct run run = { .rand = g_rand_new_with_seed(seed),
			   .instances = g_new0(struct instance, instance_count),
			   .instance_count = instance_count,
			   .upstream_count = MIN(2 + instance_count / 8, UPSTREAMS_MAX),
			   .seed = seed,
			   .mode = mode };

	run.rest_us = 200 * MS + draw_us(&run, 1200);
	for (uint32_t i = 0; i < instance_count; i++) {
		run.instances[i].queue = call_queue_create();
		run.instances[i].calls = g_ptr_array_new();
	}
	for (run.now_us = 1 * S; run.now_us < (1 + RUN_S) * S; run.now_us += STEP_MS * MS) {
		if (run.now_us / MS % REPORT_MS == 0)
			memcpy(run.reported, run.working, sizeof(run.reported));
		for (uint32_t i = 0; i < instance_count; i++) {
			step_calls(&run, &run.instances[i]);
			/* The last callers are waited for. */
			if (run.now_us < (RUN_S - 2) * S)
				arrive(&run, &run.instances[i]);
			serve_queue(&run, &run.instances[i]);
		}
	}
	for (uint32_t i = 0; i < instance_count; i++) {
		if (run.instances[i].calls->len > 0 || call_queue_length(run.instances[i].queue))
			violation(&run, "a call is left");
		call_queue_destroy(run.instances[i].queue);
		g_ptr_array_free(run.instances[i].calls, TRUE);
	}
	if (run.counts.served + run.counts.refused != run.counts.callers)
		violation(&run, "a call is lost");
	g_free(run.instances);
	g_rand_free(run.rand);
	return run.counts;
}

static void add_counts(struct counts *sum, struct counts more)
{
	sum->callers += more.callers;
	sum->served += more.served;
	sum->refused += more.refused;
	sum->refusals += more.refusals;
	sum->truthful += more.truthful;
	sum->returns += more.returns;
	sum->arrivals += more.arrivals;
	sum->unwanted += more.unwanted;
	sum->held += more.held;
}

static void print_counts(enum mode mode, uint32_t instances, const struct counts *counts)
{
	static const char *const modes[MODE_COUNT] = { "calls wait", "calls are refused",
						       "the wish is ignored" };

	g_test_message("%u instances, %s: %u callers, %u served in time (%.4f), %u refused, "
		       "%u came back, %.4f of %u refusals truthful, %u refused after waiting, %u "
		       "arrivals, %u of them unwanted",
		       instances, modes[mode], counts->callers, counts->served,
		       (double)counts->served / MAX(counts->callers, 1), counts->refused,
		       counts->returns, (double)counts->truthful / MAX(counts->refusals, 1),
		       counts->refusals, counts->held, counts->arrivals, counts->unwanted);
}

/* Each call is answered in time or refused before its deadline, the urgent ones first, and none is
 * sent that an upstream does not want. */
static void test_load(void)
{
	static const uint32_t instances[] = { 1, 6, INSTANCES_MAX };

	for (size_t i = 0; i < G_N_ELEMENTS(instances); i++) {
		uint32_t seeds = instances[i] == INSTANCES_MAX ? SEEDS_MANY : SEEDS;
		struct counts counts[MODE_COUNT] = { 0 };

		for (uint32_t seed = 1; seed <= seeds; seed++) {
			for (enum mode mode = 0; mode < MODE_COUNT; mode++)
				add_counts(&counts[mode], run_seed(seed, instances[i], mode));
		}
		for (enum mode mode = 0; mode < MODE_COUNT; mode++)
			print_counts(mode, instances[i], &counts[mode]);
		g_assert_cmpuint(counts[MODE_WAIT].unwanted, ==, 0);
		g_assert_cmpuint(counts[MODE_IGNORE].unwanted, >, 0);
		/* Beside few instances it is of use to wait. Many cannot see that others try, too.
		 */
		if (instances[i] < INSTANCES_MAX)
			g_assert_cmpuint(
				counts[MODE_WAIT].served, >,
				MAX(counts[MODE_REFUSE].served, counts[MODE_IGNORE].served));
	}
}

/* The forecast of a return, place by place: one, two, four, eight requests at a time. */
static void test_forecast(void)
{
	struct upstream_quiet quiet = { 0 };
	struct call_queue_upstream up = { &quiet, 100, 100, 0, 0 };
	struct call_queue *queue = call_queue_create();
	struct call_queue_item *items[16];
	char calls[G_N_ELEMENTS(items)];

	upstream_quiet_record_duration(&quiet, 100 * MS);
	upstream_quiet_ask(&quiet, 1 * S, 1 * S);
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++) {
		uint64_t rounds = i == 0 ? 1 : i < 3 ? 2 : i < 7 ? 3 : i < 15 ? 4 : 5;

		g_assert_cmpuint(call_queue_answer_us(queue, &up, 1, 1, 1 * S), ==,
				 2 * S + rounds * 100 * MS);
		items[i] = call_queue_add(queue, 1, 2 * S + 400 * MS, &calls[i]);
	}
	g_assert_cmpuint(call_queue_answer_us(queue, &up, 1, 0, 1 * S), ==, 2 * S + 100 * MS);
	g_assert_cmpuint(call_queue_answer_us(queue, &up, 0, 0, 1 * S), ==, UINT64_MAX);
	/* Only the last is late; a longer rest makes all late, and so does the end of the process.
	 */
	g_assert_true(call_queue_find_late(queue, &up, 1, UINT64_MAX, 1 * S) ==
		      &calls[G_N_ELEMENTS(items) - 1]);
	g_assert_true(call_queue_find_late(queue, &up, 1, 2 * S, 1 * S) == &calls[0]);
	upstream_quiet_ask(&quiet, 2 * S, 1 * S);
	g_assert_true(call_queue_find_late(queue, &up, 1, UINT64_MAX, 1 * S) == &calls[0]);
	/* A new start of the upstream: all are in time. */
	quiet = (struct upstream_quiet){ 0 };
	g_assert_null(call_queue_find_late(queue, &up, 1, UINT64_MAX, 1 * S));
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
		call_queue_remove(queue, items[i]);
	call_queue_destroy(queue);
}

/* Priorities go first; among equal ones the order is that of the arrivals. */
static void test_order(void)
{
	static const uint32_t priorities[] = { 1, 1, 0, 2, 0, 1 };
	static const char expected[] = "ceabfd";
	char names[] = "abcdef";
	struct call_queue_item *items[G_N_ELEMENTS(priorities)];
	struct call_queue *queue = call_queue_create();

	for (uint32_t i = 0; i < G_N_ELEMENTS(priorities); i++)
		items[i] = call_queue_add(queue, priorities[i], 1 * S, &names[i]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(priorities); i++) {
		const char *first = call_queue_first(queue);
		const char *next = call_queue_next(items[first - names]);

		g_assert_true(*first == expected[i]);
		g_assert_true(i + 1 == G_N_ELEMENTS(priorities) ? !next : *next == expected[i + 1]);
		call_queue_remove(queue, items[first - names]);
	}
	g_assert_null(call_queue_first(queue));
	call_queue_destroy(queue);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/call-queue/load", test_load);
	g_test_add_func("/call-queue/forecast", test_forecast);
	g_test_add_func("/call-queue/order", test_order);
	return g_test_run();
}
