/**
 * @file test_planned_stop.c
 * Instances that stop under load, in virtual time: callers keep sending on open
 * connections, upstreams are slower than expected, and requests wait in a queue.
 * What was accepted after callers were sent elsewhere is answered before the exit.
 */
#include "flamingolatch/planned_stop.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define MS	    1000ULL
#define S	    (1000 * MS)
#define SEEDS	    500
#define STEP_MS	    10
#define REQUESTS    200
#define STOP_US	    (5 * S)
#define DEADLINE_MS 10000 /* longest */
#define QUEUE_MS    1000  /* longest wait before a request is passed on */

static void violation(uint32_t seed, const char *what)
{
	printf("violation: seed %u: %s\n", seed, what);
	exit(EXIT_FAILURE);
}

/* A request: accepted at its arrival and again when it leaves the queue. The upstream needs any
 * time up to the deadline, whatever was expected. */
static void run_request(const struct planned_stop *stop, GRand *rand, uint32_t seed)
{
	uint64_t arrived_us = STOP_US + (uint64_t)g_rand_int_range(rand, 0, 8000) * MS + 1;
	uint64_t deadline_us = arrived_us + (uint64_t)g_rand_int_range(rand, 100, DEADLINE_MS) * MS;
	uint64_t placed_us = arrived_us + (uint64_t)g_rand_int_range(rand, 0, QUEUE_MS) * MS;
	uint64_t expected_us = (uint64_t)g_rand_int_range(rand, 10, 3000) * MS;
	uint64_t needed_us = (uint64_t)g_rand_int_range(rand, 10, DEADLINE_MS) * MS;
	uint64_t ended_us = MIN(placed_us + needed_us, deadline_us);

	if (arrived_us >= stop->exit_us || placed_us >= deadline_us ||
	    !planned_stop_accepts(stop, deadline_us, expected_us, arrived_us) ||
	    !planned_stop_accepts(stop, deadline_us, expected_us, placed_us))
		return;
	if (placed_us >= STOP_US + PLANNED_STOP_BALANCER_LAG_US && ended_us > stop->answer_us)
		violation(seed, "a request was passed on late and is open at the exit");
	if (placed_us + MIN(expected_us, deadline_us - placed_us) > stop->answer_us)
		violation(seed, "a request was passed on that was not expected to end in time");
}

static void test_late_requests(void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		struct planned_stop stop = { 0 };

		planned_stop_begin(&stop, (uint64_t)g_rand_int_range(rand, 500, 30000) * MS,
				   STOP_US);
		for (uint32_t i = 0; i < REQUESTS; i++)
			run_request(&stop, rand, seed);
	}
}

/* Each phase ends in time, and a second signal changes nothing. */
static void test_phases(void)
{
	struct planned_stop stop = { 0 };
	uint64_t exit_us;

	g_assert_true(planned_stop_accepts(&stop, UINT64_MAX, UINT64_MAX / 2, 1 * S));
	g_assert_false(planned_stop_must_answer(&stop, UINT64_MAX));
	g_assert_false(planned_stop_may_exit(&stop, UINT64_MAX));
	planned_stop_begin(&stop, 8 * S, STOP_US);
	exit_us = stop.exit_us;
	planned_stop_begin(&stop, 8 * S, STOP_US + 3 * S);
	g_assert_cmpuint(stop.exit_us, ==, exit_us);
	g_assert_cmpuint(stop.begun_us, <, stop.answer_us);
	g_assert_cmpuint(stop.answer_us, <, stop.exit_us);
	g_assert_cmpuint(stop.exit_us, <, STOP_US + 8 * S);
	g_assert_false(planned_stop_may_exit(&stop, STOP_US + PLANNED_STOP_BALANCER_LAG_US - 1));
	g_assert_true(planned_stop_may_exit(&stop, STOP_US + PLANNED_STOP_BALANCER_LAG_US));
	g_assert_false(planned_stop_must_answer(&stop, stop.answer_us - 1));
	g_assert_true(planned_stop_must_answer(&stop, stop.answer_us));
	g_assert_true(planned_stop_must_exit(&stop, exit_us));
}

/* While the balancer still sends callers, an estimate is enough; afterwards it is not. */
static void test_estimates(void)
{
	struct planned_stop stop = { 0 };
	uint64_t early_us = STOP_US + 1 * S;
	uint64_t late_us = STOP_US + PLANNED_STOP_BALANCER_LAG_US;

	planned_stop_begin(&stop, 8 * S, STOP_US);
	g_assert_true(planned_stop_accepts(&stop, early_us + 39 * S, 2 * S, early_us));
	g_assert_false(planned_stop_accepts(&stop, early_us + 39 * S, 9 * S, early_us));
	g_assert_false(planned_stop_accepts(&stop, late_us + 6 * S, 2 * S, late_us));
	g_assert_true(planned_stop_accepts(&stop, late_us + 3 * S, 2 * S, late_us));
}

/* Whatever the grace period: what is open is answered and the process exits in its last sixth, with
 * time for the answers to be sent before the exit, and time to exit before it is killed. */
static void test_margins(void)
{
	for (uint64_t grace_ms = 500; grace_ms <= 60000; grace_ms += 100) {
		struct planned_stop stop = { 0 };
		uint64_t killed_us = STOP_US + grace_ms * MS;

		planned_stop_begin(&stop, grace_ms * MS, STOP_US);
		g_assert_cmpuint(stop.exit_us, >=, killed_us - grace_ms * MS / 6);
		g_assert_cmpuint(killed_us - stop.exit_us, >=, MIN(300 * MS, grace_ms * MS / 15));
		g_assert_cmpuint(stop.exit_us - stop.answer_us, >=,
				 MIN(200 * MS, grace_ms * MS / 15));
		g_assert_true(planned_stop_may_exit(&stop, stop.answer_us));
	}
}

/* A grace period that is shorter than the lag of the balancer, or none at all. */
static void test_short_grace(void)
{
	struct planned_stop stop = { 0 };

	planned_stop_begin(&stop, 3 * S, STOP_US);
	g_assert_false(planned_stop_may_exit(&stop, STOP_US + 1 * S));
	g_assert_true(planned_stop_may_exit(&stop, STOP_US + 2 * S));
	g_assert_false(planned_stop_accepts(&stop, STOP_US + 9 * S, 100 * MS, STOP_US + 2 * S));
	stop = (struct planned_stop){ 0 };
	planned_stop_begin(&stop, 1 * S, STOP_US);
	g_assert_false(planned_stop_accepts(&stop, STOP_US + 2 * S, 100 * MS, STOP_US + 500 * MS));
	g_assert_true(planned_stop_must_exit(&stop, STOP_US + 1 * S));
	stop = (struct planned_stop){ 0 };
	planned_stop_begin(&stop, 0, STOP_US);
	g_assert_true(planned_stop_must_exit(&stop, STOP_US));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/planned-stop/late-requests", test_late_requests);
	g_test_add_func("/planned-stop/phases", test_phases);
	g_test_add_func("/planned-stop/estimates", test_estimates);
	g_test_add_func("/planned-stop/margins", test_margins);
	g_test_add_func("/planned-stop/short-grace", test_short_grace);
	return g_test_run();
}
