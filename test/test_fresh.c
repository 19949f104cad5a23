/**
 * @file test_fresh.c
 * Revoked keys end within their bound on an instance that is cut off, frozen
 * or slow: a virtual store answers late or not at all.
 */
#include "flamingolatch/fresh.h"

#include <glib.h>

#define MS	 1000ULL
#define BOUND_MS 4700
#define RULE_MS	 5000

static void test_bound(void)
{
	struct fresh fresh;

	fresh_init(&fresh, BOUND_MS * MS);
	g_assert_false(fresh_ok(&fresh, 0));
	g_assert_cmpuint(fresh_age_us(&fresh, 5), ==, UINT64_MAX);
	fresh_confirm(&fresh, 1000 * MS);
	g_assert_true(fresh_ok(&fresh, 1000 * MS));
	g_assert_true(fresh_ok(&fresh, (1000 + BOUND_MS) * MS - 1));
	g_assert_false(fresh_ok(&fresh, (1000 + BOUND_MS) * MS));
	/* answers may arrive in another order than their calls were sent */
	fresh_confirm(&fresh, 500 * MS);
	g_assert_true(fresh_ok(&fresh, 1000 * MS));
}

/* Random calls and outages: no request passes that was sent later than the
 * rule's time after a revocation which this instance did not read. */
static void test_random(void)
{
	for (uint32_t seed = 0; seed < 200; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		struct fresh fresh;
		uint64_t revoked_ms = (uint64_t)g_rand_int_range(rand, 2000, 20000);
		uint64_t cut_ms = (uint64_t)g_rand_int_range(rand, 1000, 20000);
		uint64_t sent_ms = 1;
		bool knows = false;

		fresh_init(&fresh, BOUND_MS * MS);
		for (uint64_t now_ms = 1; now_ms < 40000; now_ms++) {
			/* one call after the other, each with a random delay */
			if (now_ms == sent_ms) {
				uint64_t takes = (uint64_t)g_rand_int_range(rand, 1, 3000);

				if (sent_ms + takes < cut_ms) {
					fresh_confirm(&fresh, sent_ms * MS);
					/* the store's answer is of some moment in between */
					knows |= sent_ms >= revoked_ms;
				}
				sent_ms += takes;
			}
			if (!knows && now_ms > revoked_ms + RULE_MS)
				g_assert_false(fresh_ok(&fresh, now_ms * MS));
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fresh/bound", test_bound);
	g_test_add_func("/fresh/random", test_random);
	return g_test_run();
}
