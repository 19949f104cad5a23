/**
 * @file test_retry_budget.c
 * The retry budget of a service: six instances that each apply their part of it
 * together never exceed it in any window.
 */
#include "flamingolatch/retry_budget.h"

#include <glib.h>

#define MS		 1000ULL
#define INSTANCE_COUNT	 6
#define TEST_DURATION_MS 60000
#define WINDOW_MS	 10000

static const struct retry_budget_limits limits = { 0.2, 52, WINDOW_MS *MS };

/* Every request fails and is retried as often as allowed. */
static void test_all_instances(void)
{
	struct retry_budget *budgets[INSTANCE_COUNT];
	static uint32_t requests[TEST_DURATION_MS];
	static uint32_t retries[TEST_DURATION_MS];
	g_autoptr(GRand) rand = g_rand_new_with_seed(3);
	uint32_t max_retries_in_window = 0;

	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		budgets[i] = retry_budget_create(&limits);
	for (uint32_t ms = 0; ms < TEST_DURATION_MS; ms++) {
		/* the load alternates between high and low */
		uint32_t rate = ms / 7000 % 2 ? 80 : 5;

		for (uint32_t i = 0; i < INSTANCE_COUNT; i++) {
			if ((uint32_t)g_rand_int_range(rand, 0, 6000) >= rate)
				continue;
			requests[ms]++;
			retry_budget_add_request(budgets[i], ms * MS);
			while (retry_budget_take(budgets[i], INSTANCE_COUNT, ms * MS))
				retries[ms]++;
		}
	}
	for (uint32_t from = 0; from + WINDOW_MS < TEST_DURATION_MS; from += 50) {
		uint32_t retries_in_window = 0;
		uint32_t requests_in_window = 0;
		uint32_t requests_before = 0;

		for (uint32_t ms = from; ms < from + WINDOW_MS; ms++) {
			retries_in_window += retries[ms];
			requests_in_window += requests[ms];
			requests_before += from >= WINDOW_MS ? requests[ms - WINDOW_MS] : 0;
		}
		g_assert_cmpfloat(retries_in_window, <=,
				  limits.ratio * MAX(requests_in_window, requests_before) +
					  limits.slack);
		max_retries_in_window = MAX(max_retries_in_window, retries_in_window);
	}
	g_assert_cmpuint(max_retries_in_window, >, 10);
	for (uint32_t i = 0; i < INSTANCE_COUNT; i++)
		retry_budget_destroy(budgets[i]);
}

static void test_single_instance(void)
{
	struct retry_budget *budget = retry_budget_create(&limits);
	uint32_t count = 0;

	g_assert_cmpfloat(retry_budget_left_share(budget, 1, 0), ==, 1.0);
	while (retry_budget_take(budget, 1, 0))
		count++;
	/* what is left is less than one retry */
	g_assert_cmpfloat(retry_budget_left_share(budget, 1, 0), <, 1.0 / count);
	g_assert_cmpuint(count, >, 0);
	g_assert_cmpfloat(count, <=, limits.slack);
	g_assert_cmpuint(retry_budget_taken(budget, 0), ==, count);
	/* the retries have left the window */
	g_assert_true(retry_budget_take(budget, 1, 2 * WINDOW_MS * MS));
	retry_budget_destroy(budget);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/repeat/bound", test_all_instances);
	g_test_add_func("/repeat/alone", test_single_instance);
	return g_test_run();
}
