/**
 * @file test_length_lognormal.c
 * Expected output lengths, compared with samples of a known distribution.
 */
#include "flamingolatch/length_lognormal.h"

#include <glib.h>
#include <math.h>

#define SAMPLE_COUNT 4000
#define MAX_TOKENS   2224

static double draw_normal(GRand *rand)
{
	double u = 1.0 - g_rand_double(rand);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(rand));
}

static uint64_t draw_length(GRand *rand)
{
	return (uint64_t)CLAMP(exp(6.3 + 0.84 * draw_normal(rand)), 4.0, MAX_TOKENS);
}

static double log_error(double estimate, double truth)
{
	return fabs(log(estimate / truth));
}

static void test_learning(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(5);
	struct length_lognormal estimate;
	double sum = 0.0;

	length_lognormal_init(&estimate, MAX_TOKENS);
	for (uint32_t i = 0; i < SAMPLE_COUNT; i++) {
		uint64_t length = draw_length(rand);

		length_lognormal_learn(&estimate, length, length >= MAX_TOKENS);
		sum += (double)length;
	}
	g_assert_cmpfloat_with_epsilon(length_lognormal_expected(&estimate, 0, MAX_TOKENS, 0),
				       sum / SAMPLE_COUNT, 0.05 * sum / SAMPLE_COUNT);
}

/* An estimate with hints is better than one without and than the hints alone, though hints are
 * right only at the median. */
static void test_hint(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(6);
	struct length_lognormal estimate;
	double with_hint_error = 0.0;
	double without_hint_error = 0.0;
	double hint_error = 0.0;

	length_lognormal_init(&estimate, MAX_TOKENS);
	for (uint32_t i = 0; i < 300; i++) {
		uint64_t length = draw_length(rand);

		length_lognormal_learn(&estimate, length, length >= MAX_TOKENS);
	}
	for (uint32_t i = 0; i < SAMPLE_COUNT; i++) {
		uint64_t length = draw_length(rand);
		uint64_t hint =
			(uint64_t)MAX(exp(log((double)length) + 1.2 * draw_normal(rand)), 1.0);

		with_hint_error += log_error(
			length_lognormal_expected(&estimate, hint, MAX_TOKENS, 0), length);
		without_hint_error +=
			log_error(length_lognormal_expected(&estimate, 0, MAX_TOKENS, 0), length);
		hint_error += log_error((double)MIN(hint, MAX_TOKENS), length);
	}
	g_assert_cmpfloat(with_hint_error, <, without_hint_error);
	g_assert_cmpfloat(with_hint_error, <, hint_error);
}

/* The more tokens are generated, the longer the expected length. */
static void test_generated(void)
{
	struct length_lognormal estimate;
	uint64_t last = 0;

	length_lognormal_init(&estimate, MAX_TOKENS);
	for (uint64_t generated = 0; generated <= MAX_TOKENS; generated += 16) {
		uint64_t now = length_lognormal_expected(&estimate, 100, MAX_TOKENS, generated);

		g_assert_cmpuint(now, >=, generated);
		g_assert_cmpuint(now, >=, last);
		g_assert_cmpuint(now, <=, MAX_TOKENS);
		last = now;
	}
	g_assert_cmpuint(length_lognormal_expected(&estimate, 0, 0, 1000000), ==, 1000000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/guess/learns", test_learning);
	g_test_add_func("/guess/hint", test_hint);
	g_test_add_func("/guess/made", test_generated);
	return g_test_run();
}
