/**
 * @file test_retry_budget.c
 * The shared budget of further sends: six instances that each keep to their
 * part never pass the service's budget in any window.
 */
#include "flamingolatch/retry_budget.h"

#include <glib.h>

#define MS	  1000ULL
#define INSTANCES 6
#define RUN_MS	  60000
#define WINDOW_MS 10000

static const struct rep_rule rule = { 0.2, 52, WINDOW_MS *MS };

/* Every request fails and would be sent again as often as allowed. */
static void test_bound(void)
{
	struct rep *reps[INSTANCES];
	static uint32_t requests[RUN_MS];
	static uint32_t taken[RUN_MS];
	g_autoptr(GRand) rand = g_rand_new_with_seed(3);
	uint32_t most = 0;

	for (uint32_t i = 0; i < INSTANCES; i++)
		reps[i] = rep_create(&rule);
	for (uint32_t ms = 0; ms < RUN_MS; ms++) {
		/* load comes and goes */
		uint32_t rate = ms / 7000 % 2 ? 80 : 5;

		for (uint32_t i = 0; i < INSTANCES; i++) {
			if ((uint32_t)g_rand_int_range(rand, 0, 6000) >= rate)
				continue;
			requests[ms]++;
			rep_request(reps[i], ms * MS);
			while (rep_take(reps[i], INSTANCES, ms * MS))
				taken[ms]++;
		}
	}
	for (uint32_t from = 0; from + WINDOW_MS < RUN_MS; from += 50) {
		uint32_t sum = 0;
		uint32_t served = 0;
		uint32_t before = 0;

		for (uint32_t ms = from; ms < from + WINDOW_MS; ms++) {
			sum += taken[ms];
			served += requests[ms];
			before += from >= WINDOW_MS ? requests[ms - WINDOW_MS] : 0;
		}
		g_assert_cmpfloat(sum, <=, rule.ratio * MAX(served, before) + rule.slack);
		most = MAX(most, sum);
	}
	g_assert_cmpuint(most, >, 10);
	for (uint32_t i = 0; i < INSTANCES; i++)
		rep_destroy(reps[i]);
}

static void test_alone(void)
{
	struct rep *rep = rep_create(&rule);
	uint32_t count = 0;

	while (rep_take(rep, 1, 0))
		count++;
	g_assert_cmpuint(count, >, 0);
	g_assert_cmpfloat(count, <=, rule.slack);
	g_assert_cmpuint(rep_taken(rep, 0), ==, count);
	/* the window passes */
	g_assert_true(rep_take(rep, 1, 2 * WINDOW_MS * MS));
	rep_destroy(rep);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/repeat/bound", test_bound);
	g_test_add_func("/repeat/alone", test_alone);
	return g_test_run();
}
