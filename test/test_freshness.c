/**
 * @file test_freshness.c
 * A revoked API key is refused within its time limit, also by an instance that
 * is slow or suspended, or that gets late answers from the store or none.
 */
#include "flamingolatch/freshness.h"

#include <glib.h>

#define US_PER_MS	1000ULL
#define MAX_AGE_MS	4700
#define REVOKE_LIMIT_MS 5000

static void test_bound(void)
{
	struct freshness freshness;

	freshness_init(&freshness, MAX_AGE_MS * US_PER_MS);
	g_assert_false(freshness_is_current(&freshness, 0));
	g_assert_cmpuint(freshness_age_us(&freshness, 5), ==, UINT64_MAX);
	freshness_confirm(&freshness, 1000 * US_PER_MS);
	g_assert_true(freshness_is_current(&freshness, 1000 * US_PER_MS));
	g_assert_true(freshness_is_current(&freshness, (1000 + MAX_AGE_MS) * US_PER_MS - 1));
	g_assert_false(freshness_is_current(&freshness, (1000 + MAX_AGE_MS) * US_PER_MS));
	/* A confirmation of an earlier read, which arrives late, changes nothing. */
	freshness_confirm(&freshness, 500 * US_PER_MS);
	g_assert_true(freshness_is_current(&freshness, 1000 * US_PER_MS));
}

/* Reads with random delays until the store becomes unreachable at a random time: a key is no
 * longer accepted once REVOKE_LIMIT_MS have passed since a revocation that no answer showed. */
static void test_random(void)
{
	for (uint32_t seed = 0; seed < 200; seed++) {
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		struct freshness freshness;
		uint64_t revoked_ms = (uint64_t)g_rand_int_range(rand, 2000, 20000);
		uint64_t unreachable_ms = (uint64_t)g_rand_int_range(rand, 1000, 20000);
		uint64_t sent_ms = 1;
		bool saw_revocation = false;

		freshness_init(&freshness, MAX_AGE_MS * US_PER_MS);
		for (uint64_t now_ms = 1; now_ms < 40000; now_ms++) {
			/* Reads follow one another, each with a random delay. */
			if (now_ms == sent_ms) {
				uint64_t delay_ms = (uint64_t)g_rand_int_range(rand, 1, 3000);

				if (sent_ms + delay_ms < unreachable_ms) {
					freshness_confirm(&freshness, sent_ms * US_PER_MS);
					/* Worst case: the answer shows the state of the sending
					 * time. */
					saw_revocation |= sent_ms >= revoked_ms;
				}
				sent_ms += delay_ms;
			}
			if (!saw_revocation && now_ms > revoked_ms + REVOKE_LIMIT_MS)
				g_assert_false(
					freshness_is_current(&freshness, now_ms * US_PER_MS));
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
