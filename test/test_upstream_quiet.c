/**
 * @file test_upstream_quiet.c
 * Instances that share an upstream which asks for quiet, in virtual time: nothing is
 * sent before the end, and the return is gradual.
 */
#include "flamingolatch/upstream_quiet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define MS		1000ULL
#define S		(1000 * MS)
#define SEEDS		200
#define INSTANCES_MAX	195
#define RUN_S		20
#define STEP_MS		5
#define QUEUED		40 /* requests that wait at each instance all the time */
#define WORK_MS		50
#define ANSWERS_TO_FULL 64 /* answers after which the limit is of no account */

/* Requests of one instance at the upstream, by the time at which they are answered. */
struct caller {
	struct upstream_quiet quiet;
	uint64_t ends_us[2 * QUEUED];
	uint32_t open;
	uint32_t answered; /* since the last end */
};

static void violation(uint32_t seed, const char *what)
{
	printf("violation: seed %u: %s\n", seed, what);
	exit(EXIT_FAILURE);
}

/* Answers what is due. */
static void receive(struct caller *caller, uint64_t now_us)
{
	for (uint32_t i = 0; i < caller->open;) {
		if (caller->ends_us[i] > now_us) {
			i++;
			continue;
		}
		caller->ends_us[i] = caller->ends_us[--caller->open];
		upstream_quiet_record_answer(&caller->quiet, now_us);
		if (now_us >= caller->quiet.until_us)
			caller->answered++;
	}
}

/* Sends what is allowed, and checks that it is not too much. */
static void send_queued(struct caller *caller, uint32_t seed, uint64_t now_us)
{
	while (caller->open < QUEUED &&
	       upstream_quiet_allows(&caller->quiet, caller->open, now_us)) {
		if (now_us < caller->quiet.until_us)
			violation(seed, "a request before the end");
		if (caller->quiet.until_us && caller->answered < ANSWERS_TO_FULL &&
		    caller->open > caller->answered)
			violation(seed, "the queue returns at once");
		caller->ends_us[caller->open++] = now_us + WORK_MS * MS;
	}
}

/* Spans that overlap: at random times the upstream answers an instance with a time. */
static void run_seed(uint32_t seed, uint32_t instances)
{
	struct caller *callers = g_new0(struct caller, instances);
	GRand *rand = g_rand_new_with_seed(seed);

	for (uint64_t now_us = 1 * S; now_us < RUN_S * S; now_us += STEP_MS * MS) {
		for (uint32_t i = 0; i < instances; i++) {
			receive(&callers[i], now_us);
			if (g_rand_int_range(rand, 0, 300) == 0) {
				upstream_quiet_ask(&callers[i].quiet,
						   (uint64_t)g_rand_int_range(rand, 0, 3000) * MS,
						   now_us);
				callers[i].answered = 0;
			}
			/* A new start of the upstream. */
			if (g_rand_int_range(rand, 0, 2000) == 0)
				callers[i] = (struct caller){ 0 };
			send_queued(&callers[i], seed, now_us);
		}
	}
	g_rand_free(rand);
	g_free(callers);
}

static void test_instances(void)
{
	static const uint32_t counts[] = { 1, 6, INSTANCES_MAX };

	for (uint32_t seed = 1; seed <= SEEDS; seed++)
		run_seed(seed, counts[seed % G_N_ELEMENTS(counts)]);
}

/* Of several wishes the one that ends last holds, and an answer from before changes nothing. */
static void test_latest_end(void)
{
	struct upstream_quiet quiet = { 0 };

	g_assert_true(upstream_quiet_allows(&quiet, 1000, 1 * S));
	upstream_quiet_ask(&quiet, 5 * S, 1 * S);
	upstream_quiet_ask(&quiet, 1 * S, 2 * S);
	upstream_quiet_record_answer(&quiet, 3 * S);
	g_assert_cmpuint(upstream_quiet_left_us(&quiet, 4 * S), ==, 2 * S);
	g_assert_false(upstream_quiet_allows(&quiet, 0, 6 * S - 1));
	g_assert_true(upstream_quiet_allows(&quiet, 0, 6 * S));
	g_assert_false(upstream_quiet_allows(&quiet, 1, 6 * S));
	g_assert_cmpuint(upstream_quiet_left_us(&quiet, 6 * S), ==, 0);
	for (uint32_t i = 0; i < ANSWERS_TO_FULL; i++)
		upstream_quiet_record_answer(&quiet, 7 * S);
	g_assert_true(upstream_quiet_allows(&quiet, 1000, 7 * S));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream-quiet/instances", test_instances);
	g_test_add_func("/upstream-quiet/latest-end", test_latest_end);
	return g_test_run();
}
