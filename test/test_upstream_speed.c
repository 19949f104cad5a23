/**
 * @file test_upstream_speed.c
 * Learned speeds of upstreams, alone and in the placement of 59 instances in
 * virtual time: engines and plain upstreams of three speeds that are also slow by chance,
 * views that are late, peers that report wrong or old speeds, and new incarnations.
 */
#include "uneven_world.h"

#include "flamingolatch/upstream_speed.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>

#define MS	     1000ULL
#define SECOND	     (1000 * MS)
#define COUNT	     9
#define SEEDS	     3
#define BUSIEST_MAX  1.15
#define MIN_SPREAD   2.0
#define SETTLED_US   (10 * SECOND)
#define FACTOR_ERROR 0.25 /* natural logarithm; without learning it is 0.28 */

static bool violated;

/* @param seed 0 for a test that draws nothing */
static void expect(bool ok, uint32_t seed, const char *what, double value)
{
	if (ok)
		return;
	printf("violation: seed %u: %s: %.3f\n", seed, what, value);
	violated = true;
}

static void finish(struct upstream_speed_service *service, struct upstream_speed *speeds,
		   uint64_t now_us)
{
	struct upstream_speed *all[COUNT];

	for (uint32_t i = 0; i < COUNT; i++) {
		all[i] = &speeds[i];
		upstream_speed_begin(all[i], now_us);
		upstream_speed_end_zone(all[i]);
	}
	upstream_speed_finish(service, all, COUNT, MIN_SPREAD, now_us);
}

static const double uneven[COUNT] = { 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 };

/* Adds @p samples observations of each upstream in a second. */
static void observe(struct upstream_speed_service *service, struct upstream_speed *speeds,
		    const double *factors, uint32_t samples, uint64_t now_us)
{
	for (uint32_t i = 0; i < COUNT; i++) {
		for (uint32_t n = 0; n < samples; n++)
			upstream_speed_add(service, &speeds[i], UPSTREAM_SPEED_CALL,
					   60000.0 / factors[i], 1000.0, now_us);
	}
}

/* Speeds take effect when they are uneven enough, are relative to the median, and return to 1
 * over 10 s without samples. */
static void test_learning(void)
{
	struct upstream_speed_service service = { 0 };
	struct upstream_speed speeds[COUNT] = { 0 };
	double before;

	g_assert_cmpfloat(upstream_speed_factor(&speeds[0]), ==, 1.0);
	finish(&service, speeds, SECOND);
	g_assert_false(service.in_effect);
	for (uint64_t now_us = SECOND; now_us <= 5 * SECOND; now_us += SECOND) {
		observe(&service, speeds, uneven, 4, now_us);
		finish(&service, speeds, now_us);
	}
	g_assert_true(service.in_effect);
	g_assert_cmpfloat_with_epsilon(upstream_speed_factor(&speeds[0]), 1.0, 0.01);
	g_assert_cmpfloat(upstream_speed_factor(&speeds[2]), >, 2.1);
	g_assert_cmpfloat(upstream_speed_factor(&speeds[2]), <, 1.7 / 0.7 + 0.01);
	before = speeds[2].factor;
	finish(&service, speeds, 9 * SECOND);
	g_assert_cmpfloat(speeds[2].factor, <, before);
	g_assert_cmpfloat(speeds[2].factor, >, 1.1);
	finish(&service, speeds, 15 * SECOND);
	g_assert_cmpfloat_with_epsilon(speeds[2].factor, 1.0, 0.001);
	g_assert_false(service.in_effect);
}

/* Speeds that differ by less than the setting have no effect, and a setting of 0 keeps them from
 * any. */
static void test_threshold(void)
{
	static const double slightly[COUNT] = { 1, 1, 1.3, 1, 1, 1.3, 1, 1, 1.3 };
	struct upstream_speed_service service = { 0 };
	struct upstream_speed speeds[COUNT] = { 0 };
	struct upstream_speed *all[COUNT];

	for (uint32_t i = 0; i < COUNT; i++)
		all[i] = &speeds[i];
	observe(&service, speeds, slightly, 40, SECOND);
	finish(&service, speeds, SECOND);
	g_assert_false(service.in_effect);
	g_assert_cmpfloat(upstream_speed_factor(&speeds[2]), ==, 1.0);
	for (uint32_t n = 0; n < 20; n++)
		observe(&service, speeds, uneven, 40, (2 + n) * SECOND);
	finish(&service, speeds, 22 * SECOND);
	g_assert_true(service.in_effect);
	upstream_speed_finish(&service, all, COUNT, 0.0, 22 * SECOND);
	g_assert_false(service.in_effect);
	g_assert_cmpfloat(upstream_speed_factor(&speeds[2]), ==, 1.0);
}

/* A report that is minutes old does not count; one without end or sense stays within the bounds. */
static void test_reports(void)
{
	struct upstream_speed_service service = { 0 };
	struct upstream_speed speeds[COUNT] = { 0 };
	struct upstream_speed *all[COUNT];
	struct upstream_speed_report report = { .sampled_us = 60 * SECOND };
	uint64_t now_us = 200 * SECOND;

	report.sums[UPSTREAM_SPEED_CALL] = (struct upstream_speed_sum){ 1e6, -1e9 };
	observe(&service, speeds, uneven, 20, now_us);
	finish(&service, speeds, now_us);
	for (uint32_t i = 0; i < COUNT; i++) {
		all[i] = &speeds[i];
		upstream_speed_begin(all[i], now_us);
		upstream_speed_add_report(&service, all[i], &report, 60 * SECOND,
					  UPSTREAM_SPEED_MEMBER, now_us);
		upstream_speed_end_zone(all[i]);
	}
	upstream_speed_finish(&service, all, COUNT, MIN_SPREAD, now_us);
	g_assert_cmpfloat(speeds[2].factor, >, 2.0);
	g_assert_cmpfloat(speeds[0].factor, <, 1.1);
	report.sampled_us = now_us;
	for (uint32_t i = 0; i < COUNT; i++) {
		upstream_speed_begin(all[i], now_us);
		if (i == 0)
			upstream_speed_add_report(&service, all[i], &report, now_us,
						  UPSTREAM_SPEED_MEMBER, now_us);
		upstream_speed_end_zone(all[i]);
	}
	upstream_speed_finish(&service, all, COUNT, MIN_SPREAD, now_us);
	/* it weighs a little more than half, and at most log(5) */
	expect(speeds[0].factor < 2.6, 0, "a wrong peer decides alone", speeds[0].factor);
	for (uint32_t i = 0; i < COUNT; i++)
		expect(speeds[i].factor >= UPSTREAM_SPEED_MIN &&
			       speeds[i].factor <= UPSTREAM_SPEED_MAX,
		       0, "factor beyond the bounds", speeds[i].factor);
}

static struct uneven_config world_config(enum uneven_policy policy, uint32_t seed)
{
	return (struct uneven_config){ .policy = policy,
				       .seed = seed,
				       .instances = 59,
				       .engines = 44,
				       .plain_upstreams = 6,
				       .load = 1.4,
				       .speeds = { 0.7, 0.7, 1.7 },
				       .min_spread = MIN_SPREAD,
				       .duration_us = 80 * SECOND,
				       .warmup_us = 20 * SECOND };
}

static uint32_t late_streams(const struct uneven_result *result)
{
	return result->long_streams.late + result->short_streams.late;
}

static void print_result(const char *name, uint32_t seed, const struct uneven_result *result)
{
	g_test_message("%s, seed %u: late %u + %u + %u calls, busiest %.3f and %.3f, error %.3f, "
		       "in effect after %.1f s",
		       name, seed, result->long_streams.late, result->short_streams.late,
		       result->calls.late, result->busiest_engine, result->busiest_upstream,
		       result->factor_error, (double)result->in_effect_us / 1e6);
}

static void expect_sound(const struct uneven_result *result, uint32_t seed)
{
	expect(!result->factor_out_of_bounds, seed, "factor beyond the bounds", 0.0);
	expect(result->factor_error < FACTOR_ERROR, seed, "factors are wrong",
	       result->factor_error);
	expect(result->in_effect_us < SETTLED_US, seed, "speeds take effect late",
	       (double)result->in_effect_us / 1e6);
}

/* Slow upstreams got as much work as fast ones, and first events there were late. */
static void test_uneven(void)
{
	uint32_t late[UNEVEN_POLICY_COUNT] = { 0 };
	uint32_t late_calls[UNEVEN_POLICY_COUNT] = { 0 };
	double busiest_engine = 0.0;
	double busiest_upstream = 0.0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		for (int policy = UNEVEN_EQUAL; policy <= UNEVEN_LEARNED; policy++) {
			struct uneven_config config =
				world_config((enum uneven_policy)policy, seed);
			struct uneven_result result;

			uneven_world_run(&config, &result);
			print_result(policy == UNEVEN_EQUAL ? "equal" : "learned", seed, &result);
			late[policy] += late_streams(&result);
			late_calls[policy] += result.calls.late;
			if (policy != UNEVEN_LEARNED)
				continue;
			expect_sound(&result, seed);
			busiest_engine += result.busiest_engine / SEEDS;
			busiest_upstream += result.busiest_upstream / SEEDS;
		}
	}
	/* Of one seed, an engine has 40 long streams, too few for this. */
	expect(busiest_engine <= BUSIEST_MAX, 1, "busiest engine", busiest_engine);
	expect(busiest_upstream <= BUSIEST_MAX, 1, "busiest plain upstream", busiest_upstream);
	expect(late[UNEVEN_LEARNED] < late[UNEVEN_EQUAL], 1, "late first events",
	       late[UNEVEN_LEARNED]);
	expect(late_calls[UNEVEN_LEARNED] < late_calls[UNEVEN_EQUAL], 1, "late calls",
	       late_calls[UNEVEN_LEARNED]);
}

/* Two instances report inverted speeds as if they knew them well, two repeat old ones. */
static void test_wrong_peers(void)
{
	double busiest_upstream = 0.0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct uneven_config config = world_config(UNEVEN_LEARNED, seed);
		struct uneven_result result;

		config.wrong_instances = 2;
		config.stale_instances = 2;
		uneven_world_run(&config, &result);
		print_result("wrong", seed, &result);
		expect_sound(&result, seed);
		busiest_upstream += result.busiest_upstream / SEEDS;
	}
	expect(busiest_upstream <= BUSIEST_MAX, 1, "busiest plain upstream beside wrong peers",
	       busiest_upstream);
}

/* All upstreams start again with other speeds; what was known of the earlier ones would be wrong.
 */
static void test_restart(void)
{
	struct uneven_config config = world_config(UNEVEN_LEARNED, 1);
	struct uneven_result result;

	config.restart_us = 30 * SECOND;
	config.duration_us = 40 * SECOND;
	uneven_world_run(&config, &result);
	print_result("restart", 1, &result);
	expect_sound(&result, 1);
}

/* Upstreams of one speed that are slow by chance, and those that differ little, are placed as
 * before; hardly a message is sent. */
static void test_even(void)
{
	static const double fast[] = { 1.0, 1.3 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(fast); i++) {
		struct uneven_config config = world_config(UNEVEN_LEARNED, 1);
		struct uneven_result result;

		config.speeds[0] = 1.0;
		config.speeds[1] = 1.0;
		config.speeds[2] = fast[i];
		config.load = 1.0;
		config.duration_us = 60 * SECOND;
		uneven_world_run(&config, &result);
		print_result("even", 1, &result);
		expect(result.in_effect_us == UINT64_MAX, 1, "even speeds take effect",
		       (double)result.in_effect_us / 1e6);
		/* 59 instances could send twice a second on two services. */
		expect(result.messages < 59 * 2 * 2 * 60 / 50, 1, "messages on even speeds",
		       (double)result.messages);
	}
}

int main(int argc, char **argv)
{
	int failed;

	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream-speed/learning", test_learning);
	g_test_add_func("/upstream-speed/threshold", test_threshold);
	g_test_add_func("/upstream-speed/reports", test_reports);
	g_test_add_func("/upstream-speed/uneven", test_uneven);
	g_test_add_func("/upstream-speed/wrong-peers", test_wrong_peers);
	g_test_add_func("/upstream-speed/restart", test_restart);
	g_test_add_func("/upstream-speed/even", test_even);
	failed = g_test_run();
	return failed || violated;
}
