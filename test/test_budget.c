/**
 * @file test_budget.c
 * Token buckets: bytes per second between regions, and retries per success.
 */
#include "flamingolatch/byte_budget.h"
#include "flamingolatch/retry_bucket.h"

#include <glib.h>

#define SECOND_US 1000000ULL

static void test_byte_budget(void)
{
	struct byte_budget budget;

	byte_budget_init(&budget, 1000, 0);
	g_assert_true(byte_budget_available(&budget, 0));
	byte_budget_spend(&budget, 3000, 0);
	g_assert_false(byte_budget_available(&budget, SECOND_US));
	g_assert_false(byte_budget_available(&budget, 2 * SECOND_US));
	g_assert_true(byte_budget_available(&budget, 2 * SECOND_US + 2000));
	/* the balance never exceeds the bytes of one second */
	g_assert_true(byte_budget_available(&budget, 100 * SECOND_US));
	byte_budget_spend(&budget, 1001, 100 * SECOND_US);
	g_assert_false(byte_budget_available(&budget, 100 * SECOND_US));
}

static void test_zero_rate(void)
{
	struct byte_budget budget;

	byte_budget_init(&budget, 0, 0);
	g_assert_false(byte_budget_available(&budget, 10 * SECOND_US));
}

static void test_retry_bucket(void)
{
	struct retry_bucket bucket;
	uint32_t taken = 0;

	retry_bucket_init(&bucket);
	while (retry_bucket_take(&bucket))
		taken++;
	g_assert_cmpuint(taken, ==, RETRY_BUCKET_INITIAL_CENTI / 100);
	for (uint32_t i = 0; i < 95; i++)
		retry_bucket_credit(&bucket, 10);
	for (taken = 0; retry_bucket_take(&bucket); taken++)
		;
	/* 95 successes add 10 percent of a retry each */
	g_assert_cmpuint(taken, ==, 9);
	for (uint32_t i = 0; i < 100000; i++)
		retry_bucket_credit(&bucket, 100);
	g_assert_cmpuint(bucket.centi, ==, RETRY_BUCKET_MAX_CENTI);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/budget/bytes", test_byte_budget);
	g_test_add_func("/budget/nothing", test_zero_rate);
	g_test_add_func("/budget/retries", test_retry_bucket);
	return g_test_run();
}
