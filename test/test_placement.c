/**
 * @file test_placement.c
 * The choice of engines and of plain upstreams under the loads that it answers.
 */
#include "flamingolatch/placement.h"

#include <glib.h>

#define ENGINES 9
#define KV	34403

static struct place_engine engine(uint64_t kv, uint64_t unread, uint32_t distance)
{
	return (struct place_engine){ .kv_tokens = KV,
				      .kv_expected = kv,
				      .prefill_tokens = unread,
				      .slots = 48,
				      .distance = distance,
				      .usable = true };
}

static int32_t choose(const struct place_need *need, const struct place_engine *engines,
		      uint32_t count)
{
	return place_engine(&place_default_rules, need, engines, count);
}

/* Prompts that arrive together are spread, so that none waits behind three others. */
static void test_prompts(void)
{
	struct place_engine engines[ENGINES];
	uint32_t count[ENGINES] = { 0 };

	for (uint32_t i = 0; i < ENGINES; i++)
		engines[i] = engine(0, 0, 0);
	for (uint32_t n = 0; n < 2 * ENGINES; n++) {
		struct place_need need = { .prompt_tokens = 3000, .output_tokens = 900, .draw = n };
		int32_t at = choose(&need, engines, ENGINES);

		g_assert_cmpint(at, >=, 0);
		engines[at].prefill_tokens += 3000;
		engines[at].kv_expected += 3900;
		engines[at].open++;
		count[at]++;
	}
	for (uint32_t i = 0; i < ENGINES; i++)
		g_assert_cmpuint(count[i], ==, 2);
}

/* Memory is a bound, not a wish: what would be preempted is not placed. */
static void test_memory(void)
{
	struct place_engine engines[2] = { engine(30000, 0, 0), engine(31000, 0, 0) };
	struct place_need need = { .prompt_tokens = 3000, .output_tokens = 900 };

	g_assert_cmpint(choose(&need, engines, 2), ==, PLACE_NONE);
	engines[1].kv_expected = 20000;
	g_assert_cmpint(choose(&need, engines, 2), ==, 1);
	/* a request larger than the limit still runs on an empty engine */
	engines[0].kv_expected = 0;
	need.prompt_tokens = KV;
	g_assert_cmpint(choose(&need, engines, 2), ==, 0);
	engines[0].usable = false;
	g_assert_cmpint(choose(&need, engines, 2), ==, PLACE_NONE);
}

/* Two engines of a zone leave at once: their runs do not all go into one engine. */
static void test_copies(void)
{
	struct place_engine engines[4] = { engine(4000, 0, 0), engine(9000, 0, 0),
					   engine(2000, 0, 1), engine(0, 0, 2) };
	uint32_t count[4] = { 0 };

	for (uint32_t n = 0; n < 8; n++) {
		struct place_need need = {
			.prompt_tokens = 3000, .output_tokens = 900, .resumes = true, .copies = true
		};
		int32_t at = choose(&need, engines, 4);

		g_assert_cmpint(at, >=, 0);
		engines[at].copies++;
		engines[at].kv_expected += 3900;
		count[at]++;
	}
	g_assert_cmpuint(count[0], <=, 4);
	g_assert_cmpuint(count[1], >=, 2);
	g_assert_cmpuint(count[2], >=, 1);
	/* between regions no copy ends in time */
	g_assert_cmpuint(count[3], ==, 0);
}

/* What is known of another zone is old; it is taken when the own zone is clearly busier. */
static void test_stale(void)
{
	struct place_engine engines[2] = { engine(0, 2000, 0), engine(0, 0, 1) };
	struct place_need need = { .prompt_tokens = 3000, .stale_ms = 600 };

	g_assert_cmpint(choose(&need, engines, 2), ==, 0);
	engines[0].prefill_tokens = 12000;
	g_assert_cmpint(choose(&need, engines, 2), ==, 1);
}

/* New work that would be late waits elsewhere; work in time, idle engines and resumes do not. */
static void test_late(void)
{
	struct place_engine busy = engine(0, 0, 0);
	struct place_need need = { .prompt_tokens = 3000, .left_ms = 600 };

	/* an idle engine starts at once, whatever is left */
	g_assert_cmpuint(place_late_ms(&place_default_rules, &need, &busy), ==, 0);
	busy.prefill_tokens = 40000;
	uint32_t late_ms = place_late_ms(&place_default_rules, &need, &busy);

	g_assert_cmpuint(late_ms, >, 0);
	g_assert_cmpuint(late_ms, ==,
			 place_first_event_ms(&place_default_rules, &need, &busy) - need.left_ms);
	/* the more is ahead, the later to return */
	busy.prefill_tokens = 60000;
	g_assert_cmpuint(place_late_ms(&place_default_rules, &need, &busy), >, late_ms);
	/* in time */
	need.left_ms = 60000;
	g_assert_cmpuint(place_late_ms(&place_default_rules, &need, &busy), ==, 0);
	/* nothing to be in time for */
	need.left_ms = 0;
	g_assert_cmpuint(place_late_ms(&place_default_rules, &need, &busy), ==, 0);
	/* a generation that goes on is never turned away here */
	need.left_ms = 600;
	need.resumes = true;
	g_assert_cmpuint(place_late_ms(&place_default_rules, &need, &busy), ==, 0);
}

static void test_plain(void)
{
	struct place_plain ups[3] = {
		{ .slots = 6, .usable = true },
		{ .slots = 6, .usable = true, .distance = 1 },
		{ .slots = 6, .usable = true, .distance = 2 },
	};

	g_assert_cmpint(place_plain(ups, 3, 0), ==, 0);
	/* a replica that fails half of its requests is left out */
	ups[0].failure_share = 0.5;
	g_assert_cmpint(place_plain(ups, 3, 0), ==, 1);
	/* ordinary errors of a service are not held against one replica */
	ups[0].failure_share = 0.14;
	g_assert_cmpint(place_plain(ups, 3, 0), ==, 0);
	ups[0].open = 24;
	ups[1].usable = false;
	g_assert_cmpint(place_plain(ups, 3, 0), ==, 2);
	ups[2].usable = false;
	g_assert_cmpint(place_plain(ups, 3, 0), ==, PLACE_NONE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/prompts", test_prompts);
	g_test_add_func("/place/memory", test_memory);
	g_test_add_func("/place/copies", test_copies);
	g_test_add_func("/place/stale", test_stale);
	g_test_add_func("/place/late", test_late);
	g_test_add_func("/place/plain", test_plain);
	return g_test_run();
}
