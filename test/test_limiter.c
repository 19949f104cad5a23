/**
 * @file test_limiter.c
 * A customer's limits hold over all instances, whatever their number.
 */
#include "flamingolatch/limiter.h"

#include <glib.h>

#define SECOND_US 1000000ULL

/* Returns the requests that several instances admit in 10 s when each gets 100 per second. */
static uint32_t admitted_in_10_s(uint32_t instances, const struct limiter_limits *limits)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < instances; i++) {
		struct limiter *limiter = limiter_create();

		for (uint64_t ms = 0; ms < 10000; ms += 10) {
			if (!limiter_acquire(limiter, "a", limits, instances, ms * 1000))
				continue;
			count++;
			limiter_release(limiter, "a");
		}
		limiter_destroy(limiter);
	}
	return count;
}

static void test_rate(void)
{
	struct limiter_limits limits = { .rate_per_s = 40, .burst = 8 };

	for (uint32_t instances = 1; instances <= 8; instances *= 2) {
		uint32_t count = admitted_in_10_s(instances, &limits);

		g_assert_cmpuint(count, >=, 400);
		g_assert_cmpuint(count, <=, 400 + 8 + instances);
	}
}

static void test_streams(void)
{
	struct limiter *limiter = limiter_create();
	struct limiter_limits limits = { .streams = 5 };

	/* a share of 5 / 2 streams is rounded up to 3 */
	for (uint32_t i = 0; i < 3; i++)
		g_assert_true(limiter_acquire(limiter, "a", &limits, 2, 0));
	g_assert_false(limiter_acquire(limiter, "a", &limits, 2, SECOND_US));
	g_assert_true(limiter_acquire(limiter, "b", &limits, 2, SECOND_US));
	limiter_release(limiter, "a");
	g_assert_true(limiter_acquire(limiter, "a", &limits, 2, SECOND_US));
	g_assert_cmpuint(limiter_open(limiter, "a"), ==, 3);
	limiter_destroy(limiter);
}

static void test_no_limits(void)
{
	struct limiter *limiter = limiter_create();
	struct limiter_limits limits = { 0 };

	for (uint32_t i = 0; i < 10000; i++)
		g_assert_true(limiter_acquire(limiter, "a", &limits, 1, 0));
	limiter_destroy(limiter);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/rate", test_rate);
	g_test_add_func("/limit/streams", test_streams);
	g_test_add_func("/limit/none", test_no_limits);
	return g_test_run();
}
