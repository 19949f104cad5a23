/**
 * @file test_length_lognormal.c
 * Expected lengths against samples of a known distribution.
 */
#include "flamingolatch/length_lognormal.h"

#include <glib.h>
#include <math.h>

#define SAMPLES 4000
#define MOST	2224

static double draw_normal(GRand *rand)
{
	double u = 1.0 - g_rand_double(rand);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * g_rand_double(rand));
}

static uint64_t draw_length(GRand *rand)
{
	return (uint64_t)CLAMP(exp(6.3 + 0.84 * draw_normal(rand)), 4.0, MOST);
}

static double error_of(double guess, double truth)
{
	return fabs(log(guess / truth));
}

static void test_learns(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(5);
	struct guess guess;
	double sum = 0.0;

	gss_init(&guess, MOST);
	for (uint32_t i = 0; i < SAMPLES; i++) {
		uint64_t length = draw_length(rand);

		gss_learn(&guess, length, length >= MOST);
		sum += (double)length;
	}
	g_assert_cmpfloat_with_epsilon(gss_expected(&guess, 0, MOST, 0), sum / SAMPLES,
				       0.05 * sum / SAMPLES);
}

/* Hints that are right at the median only still make the sum of memory better. */
static void test_hint(void)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(6);
	struct guess guess;
	double with = 0.0;
	double without = 0.0;
	double plain = 0.0;

	gss_init(&guess, MOST);
	for (uint32_t i = 0; i < 300; i++) {
		uint64_t length = draw_length(rand);

		gss_learn(&guess, length, length >= MOST);
	}
	for (uint32_t i = 0; i < SAMPLES; i++) {
		uint64_t length = draw_length(rand);
		uint64_t hint =
			(uint64_t)MAX(exp(log((double)length) + 1.2 * draw_normal(rand)), 1.0);

		with += error_of(gss_expected(&guess, hint, MOST, 0), length);
		without += error_of(gss_expected(&guess, 0, MOST, 0), length);
		plain += error_of((double)MIN(hint, MOST), length);
	}
	g_assert_cmpfloat(with, <, without);
	g_assert_cmpfloat(with, <, plain);
}

/* What is made already only raises the expectation. */
static void test_made(void)
{
	struct guess guess;
	uint64_t last = 0;

	gss_init(&guess, MOST);
	for (uint64_t made = 0; made <= MOST; made += 16) {
		uint64_t now = gss_expected(&guess, 100, MOST, made);

		g_assert_cmpuint(now, >=, made);
		g_assert_cmpuint(now, >=, last);
		g_assert_cmpuint(now, <=, MOST);
		last = now;
	}
	g_assert_cmpuint(gss_expected(&guess, 0, 0, 1000000), ==, 1000000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/guess/learns", test_learns);
	g_test_add_func("/guess/hint", test_hint);
	g_test_add_func("/guess/made", test_made);
	return g_test_run();
}
