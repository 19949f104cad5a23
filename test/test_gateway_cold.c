/**
 * @file test_gateway_cold.c
 * Gateway programs before upstreams that are cold: how many requests reach them from
 * all instances together, and what callers get meanwhile.
 */
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define GATEWAYS	 3
#define COLD_PER_S	 6.0
#define MAX_IN_WINDOW	 12 /* 1.5 times COLD_PER_S plus 3 */
#define WINDOW_MS	 1000
#define COLD_MS		 3000
#define WARM_MS		 4500 /* from the start until an upstream has no limit, with a reserve */
#define CONTACT_MS	 2500 /* until the instances know one another for long enough */
#define NEWS_MS		 400  /* until all instances know an entry, or an answer of each */
#define ROUND_MS	 10
#define WORK_MS		 40  /* so that calls overlap, and go to the upstream with the fewest */
#define AT_ONCE_MS	 300 /* within this time a refusal comes at once */
#define MAX_ANSWERS	 2000

/* Three gateways in two zones and upstreams of the plain service. */
struct fixture {
	struct testbed *testbed;
	struct testbed_gateway *gateways[GATEWAYS];
	struct mock_upstream *shops[3]; /* the last is not listed */
	struct testbed_answer *answers;
	uint32_t count;
};

static const struct testbed_request request = { .path = "/once/", .key = TESTBED_KEY };

static struct mock_upstream *add_shop(const struct fixture *f, const char *id, uint32_t number)
{
	struct mock_upstream *shop = testbed_upstream(f->testbed, id, false, number);

	mock_upstream_configure(shop, &(struct mock_upstream_conf){ .work_ms = WORK_MS });
	return shop;
}

static void fixture_open(struct fixture *f, double cold_per_s)
{
	*f = (struct fixture){ .testbed = testbed_create(36),
			       .answers = g_new0(struct testbed_answer, MAX_ANSWERS) };
	testbed_set_cold_per_s(f->testbed, cold_per_s);
	testbed_configure(f->testbed, NULL, NULL);
	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("shop-%u", i + 1);

		f->shops[i] = add_shop(f, id, i);
		mock_upstream_list(f->shops[i]);
	}
	for (uint32_t i = 0; i < GATEWAYS; i++) {
		g_autofree char *name = g_strdup_printf("gw-%u", i + 1);

		f->gateways[i] =
			testbed_gateway_in_zone(f->testbed, name, i == 2 ? "z2" : "z1", NULL);
		testbed_start(f->gateways[i]);
	}
	for (uint32_t i = 0; i < GATEWAYS; i++)
		g_assert_true(testbed_wait_ready(f->gateways[i], READY_TIMEOUT_MS));
	testbed_run(f->testbed, MAX(CONTACT_MS, WARM_MS));
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t i = 0; i < f->count; i++)
		testbed_answer_clear(&f->answers[i]);
	g_free(f->answers);
	testbed_destroy(f->testbed);
}

/* Starts an upstream, which is cold from now on, and lists it. */
static void start_cold(struct fixture *f)
{
	f->shops[2] = add_shop(f, "shop-3", 2);
	mock_upstream_set_cold(f->shops[2], COLD_MS);
	mock_upstream_list(f->shops[2]);
}

/* Sends a request each round, to all gateways in turn. */
static void send_for(struct fixture *f, uint32_t ms)
{
	for (uint32_t i = 0; i < ms / ROUND_MS; i++) {
		g_assert_cmpuint(f->count, <, MAX_ANSWERS);
		testbed_begin(f->gateways[i % GATEWAYS], &request, &f->answers[f->count++]);
		testbed_run(f->testbed, ROUND_MS);
	}
}

/* Waits for all answers. @return how many were refused; a refusal says when to come back */
static uint32_t check_answers(struct fixture *f)
{
	uint32_t refused = 0;

	for (uint32_t i = 0; i < f->count; i++) {
		const struct testbed_answer *answer = &f->answers[i];

		g_assert_true(testbed_wait(f->testbed, &f->answers[i], 5000));
		g_assert_true(answer->status == 200 || answer->status == 503);
		if (answer->status == 200)
			continue;
		refused++;
		g_assert_cmpfloat(answer->retry_after_s, >, 0.0);
		g_assert_cmpuint(answer->ended_ms - answer->sent_ms, <, AT_ONCE_MS);
	}
	return refused;
}

/* Returns the arrivals from one time to another, or the most in any window between them. */
static uint32_t arrivals(const struct mock_upstream *up, uint64_t from_ms, uint64_t to_ms,
			 bool in_window)
{
	const GArray *all = mock_upstream_arrivals_ms(up);
	uint32_t most = 0;

	for (guint i = 0; i < all->len; i++) {
		uint64_t first_ms = g_array_index(all, guint64, i);
		uint32_t count = 0;

		if (first_ms < from_ms || first_ms >= to_ms)
			continue;
		for (guint k = i; k < all->len; k++) {
			uint64_t at_ms = g_array_index(all, guint64, k);

			count += at_ms < to_ms && (!in_window || at_ms < first_ms + WINDOW_MS);
		}
		most = MAX(most, count);
	}
	return most;
}

static uint64_t now_ms(const struct fixture *f)
{
	return uv_now(testbed_loop(f->testbed));
}

/* Guards against instances that all send to an upstream that has just started, and against a limit
 * that stays. Without terms, as other deployments have it, they do all send. */
static void test_new_upstream(void)
{
	struct fixture f;
	uint64_t begun_ms;

	fixture_open(&f, 0.0);
	begun_ms = now_ms(&f);
	start_cold(&f);
	send_for(&f, 2000);
	g_assert_cmpuint(check_answers(&f), ==, 0);
	g_assert_cmpuint(arrivals(f.shops[2], begun_ms, now_ms(&f), true), >, MAX_IN_WINDOW);
	fixture_close(&f);

	fixture_open(&f, COLD_PER_S);
	begun_ms = now_ms(&f);
	start_cold(&f);
	send_for(&f, COLD_MS);
	g_test_message("%u arrivals while cold, %u in a window",
		       arrivals(f.shops[2], begun_ms, begun_ms + COLD_MS, false),
		       arrivals(f.shops[2], begun_ms, begun_ms + COLD_MS, true));
	g_assert_cmpuint(arrivals(f.shops[2], begun_ms, begun_ms + COLD_MS, true), <=,
			 MAX_IN_WINDOW);
	g_assert_cmpuint(arrivals(f.shops[2], begun_ms, begun_ms + COLD_MS, false), >=,
			 (uint32_t)(COLD_PER_S * COLD_MS / 1000 / 3));
	testbed_run(f.testbed, 2000);
	begun_ms = now_ms(&f);
	send_for(&f, 2000);
	g_assert_cmpuint(check_answers(&f), ==, 0);
	/* a third of 200 calls, and more than the limit allows */
	g_assert_cmpuint(arrivals(f.shops[2], begun_ms, now_ms(&f), false), >, 36);
	for (uint32_t i = 0; i < GATEWAYS; i++) {
		g_autofree char *log = testbed_log_lines(f.gateways[i], "upstream-cold");

		g_assert_nonnull(strstr(log, "\"phase\":\"cold\""));
		g_assert_nonnull(strstr(log, "\"phase\":\"warm\""));
	}
	fixture_close(&f);
}

/* Guards against instances that do not learn that an upstream turns cold without a new start: by
 * its answers, and by its entry, which only a delegate reads. */
static void test_turns_cold(void)
{
	struct fixture f;
	uint64_t begun_ms;

	fixture_open(&f, COLD_PER_S);
	for (uint32_t by_entry = 0; by_entry < 2; by_entry++) {
		mock_upstream_set_cold(f.shops[0], COLD_MS);
		begun_ms = now_ms(&f);
		if (by_entry) {
			mock_upstream_list(f.shops[0]);
			testbed_run(f.testbed, NEWS_MS);
		} else {
			send_for(&f, NEWS_MS);
		}
		send_for(&f, COLD_MS - NEWS_MS);
		g_test_message("%u arrivals while cold, %u in a window",
			       arrivals(f.shops[0], begun_ms + NEWS_MS, begun_ms + COLD_MS, false),
			       arrivals(f.shops[0], begun_ms + NEWS_MS, begun_ms + COLD_MS, true));
		g_assert_cmpuint(arrivals(f.shops[0], begun_ms + NEWS_MS, begun_ms + COLD_MS, true),
				 <=, MAX_IN_WINDOW);
		testbed_run(f.testbed, 2000);
	}
	g_assert_cmpuint(check_answers(&f), ==, 0);
	fixture_close(&f);
}

/* Guards against calls that are held, or sent beyond the limit, when all upstreams are cold. */
static void test_all_cold(void)
{
	struct fixture f;
	uint64_t begun_ms;
	uint32_t refused;

	fixture_open(&f, COLD_PER_S);
	begun_ms = now_ms(&f);
	for (uint32_t i = 0; i < 2; i++) {
		mock_upstream_set_cold(f.shops[i], COLD_MS);
		mock_upstream_list(f.shops[i]);
	}
	testbed_run(f.testbed, NEWS_MS);
	send_for(&f, 2000);
	refused = check_answers(&f);
	g_test_message("%u of %u refused", refused, f.count);
	g_assert_cmpuint(refused, >, 0);
	g_assert_cmpuint(refused, <, f.count);
	for (uint32_t i = 0; i < 2; i++)
		g_assert_cmpuint(arrivals(f.shops[i], begun_ms, begun_ms + COLD_MS, true), <=,
				 MAX_IN_WINDOW);
	fixture_close(&f);
}

/* Guards against an instance that starts, and does not know the others' parts, beside those that
 * use them. */
static void test_new_instance(void)
{
	struct fixture f;
	uint64_t begun_ms;

	fixture_open(&f, COLD_PER_S);
	testbed_signal(f.gateways[0], SIGKILL);
	g_assert_true(testbed_wait_exit(f.gateways[0], 2000));
	testbed_start(f.gateways[0]);
	while (!testbed_is_ready(f.gateways[0]))
		testbed_run(f.testbed, 20);
	begun_ms = now_ms(&f);
	start_cold(&f);
	send_for(&f, COLD_MS);
	g_assert_cmpuint(check_answers(&f), ==, 0);
	g_assert_cmpuint(arrivals(f.shops[2], begun_ms, begun_ms + COLD_MS, true), <=,
			 MAX_IN_WINDOW);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-cold/new-upstream", test_new_upstream);
	g_test_add_func("/gateway-cold/turns-cold", test_turns_cold);
	g_test_add_func("/gateway-cold/all-cold", test_all_cold);
	g_test_add_func("/gateway-cold/new-instance", test_new_instance);
	return g_test_run();
}
