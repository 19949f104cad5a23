/**
 * @file test_budget.c
 * Budgets of bytes and of retries.
 */
#include "flamingolatch/byte_budget.h"
#include "flamingolatch/retry_bucket.h"

#include <glib.h>

#define SECOND_US 1000000ULL

static void test_bytes(void)
{
	struct budget budget;

	budget_init(&budget, 1000, 0);
	g_assert_true(budget_has(&budget, 0));
	budget_spend(&budget, 3000, 0);
	g_assert_false(budget_has(&budget, SECOND_US));
	g_assert_false(budget_has(&budget, 2 * SECOND_US));
	g_assert_true(budget_has(&budget, 2 * SECOND_US + 2000));
	/* what is saved is bounded by a second's worth */
	g_assert_true(budget_has(&budget, 100 * SECOND_US));
	budget_spend(&budget, 1001, 100 * SECOND_US);
	g_assert_false(budget_has(&budget, 100 * SECOND_US));
}

static void test_nothing(void)
{
	struct budget budget;

	budget_init(&budget, 0, 0);
	g_assert_false(budget_has(&budget, 10 * SECOND_US));
}

static void test_retries(void)
{
	struct retry retry;
	uint32_t taken = 0;

	retry_init(&retry);
	while (retry_take(&retry))
		taken++;
	g_assert_cmpuint(taken, ==, RETRY_RESERVE_CENTI / 100);
	for (uint32_t i = 0; i < 95; i++)
		retry_succeeded(&retry, 10);
	for (taken = 0; retry_take(&retry); taken++)
		;
	/* ten for a hundred successes */
	g_assert_cmpuint(taken, ==, 9);
	for (uint32_t i = 0; i < 100000; i++)
		retry_succeeded(&retry, 100);
	g_assert_cmpuint(retry.centi, ==, RETRY_MAX_CENTI);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/bytes", test_bytes);
	g_test_add_func("/budget/nothing", test_nothing);
	g_test_add_func("/budget/retries", test_retries);
	return g_test_run();
}
