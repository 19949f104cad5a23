/**
 * @file test_limiter.c
 * A customer's limit holds over all instances, whatever their number.
 */
#include "flamingolatch/limiter.h"

#include <glib.h>

#define SECOND_US 1000000ULL

/* Requests let through in ten seconds by several instances under pressure. */
static uint32_t through(uint32_t instances, const struct lim_rule *rule)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < instances; i++) {
		struct lim *lim = lim_create();

		for (uint64_t ms = 0; ms < 10000; ms += 10) {
			if (!lim_take(lim, "a", rule, instances, ms * 1000))
				continue;
			count++;
			lim_give_back(lim, "a");
		}
		lim_destroy(lim);
	}
	return count;
}

static void test_rate(void)
{
	struct lim_rule rule = { .rate_per_s = 40, .burst = 8 };

	for (uint32_t instances = 1; instances <= 8; instances *= 2) {
		uint32_t count = through(instances, &rule);

		g_assert_cmpuint(count, >=, 400);
		g_assert_cmpuint(count, <=, 400 + 8 + instances);
	}
}

static void test_streams(void)
{
	struct lim *lim = lim_create();
	struct lim_rule rule = { .streams = 5 };

	/* an instance's share is rounded up */
	for (uint32_t i = 0; i < 3; i++)
		g_assert_true(lim_take(lim, "a", &rule, 2, 0));
	g_assert_false(lim_take(lim, "a", &rule, 2, SECOND_US));
	g_assert_true(lim_take(lim, "b", &rule, 2, SECOND_US));
	lim_give_back(lim, "a");
	g_assert_true(lim_take(lim, "a", &rule, 2, SECOND_US));
	g_assert_cmpuint(lim_open(lim, "a"), ==, 3);
	lim_destroy(lim);
}

static void test_none(void)
{
	struct lim *lim = lim_create();
	struct lim_rule rule = { 0 };

	for (uint32_t i = 0; i < 10000; i++)
		g_assert_true(lim_take(lim, "a", &rule, 1, 0));
	lim_destroy(lim);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/rate", test_rate);
	g_test_add_func("/limit/streams", test_streams);
	g_test_add_func("/limit/none", test_none);
	return g_test_run();
}
