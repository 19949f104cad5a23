/**
 * @file test_length_survival.c
 * Length estimates: buckets, survival against the true distribution, running
 * generations that are not forgotten, and sums of predicted memory.
 */
#include "flamingolatch/kv_forecast.h"

#include <glib.h>
#include <math.h>

static void test_buckets(void)
{
	for (uint32_t bucket = 0; bucket + 1 < LEN_BUCKETS; bucket++) {
		uint64_t start = len_bucket_start(bucket);
		uint64_t next = len_bucket_start(bucket + 1);

		g_assert_cmpuint(next, >, start);
		g_assert_cmpuint(len_bucket(start), ==, bucket);
		g_assert_cmpuint(len_bucket(next - 1), ==, bucket);
	}
	g_assert_cmpuint(len_bucket(UINT32_MAX), ==, LEN_BUCKETS - 1);
}

static void finish(struct len *len, uint64_t tokens)
{
	for (uint32_t bucket = 0; bucket < len_bucket(tokens); bucket++)
		len_passed(len, bucket);
	len_ended(len, tokens);
}

/* Exponential lengths forget their past: survival depends on the distance. */
static void test_survival(void)
{
	struct len *len = len_create(NULL);
	GRand *rand = g_rand_new_with_seed(1);

	for (uint32_t i = 0; i < 20000; i++)
		finish(len, 1 + (uint64_t)(-500.0 * log(1.0 - g_rand_double(rand))));
	for (uint64_t from = 0; from <= 800; from += 200) {
		double half = len_survival(len, from, from + 347);

		g_assert_cmpfloat(half, >, 0.44);
		g_assert_cmpfloat(half, <, 0.56);
	}
	g_assert_cmpfloat(len_expected(len, 0, 30000), >, 430.0);
	g_assert_cmpfloat(len_expected(len, 0, 30000), <, 570.0);
	g_assert_cmpfloat(len_survival(len, 100, 100), ==, 1.0);
	g_rand_free(rand);
	len_destroy(len);
}

/* Short answers end first; those still running must weigh against them. */
static void test_censored(void)
{
	struct len *with = len_create(NULL);
	struct len *without = len_create(NULL);

	for (uint32_t i = 0; i < 100; i++) {
		finish(with, 50);
		finish(without, 50);
		for (uint32_t bucket = 0; bucket < len_bucket(1000); bucket++)
			len_passed(with, bucket);
	}
	g_assert_cmpfloat(len_survival(with, 0, 900), >, 0.4);
	g_assert_cmpfloat(len_survival(without, 0, 900), <, 0.1);
	len_destroy(with);
	len_destroy(without);
}

/* A customer without data leans on the service. */
static void test_parent(void)
{
	struct len *service = len_create(NULL);
	struct len *customer = len_create(service);

	for (uint32_t i = 0; i < 500; i++)
		finish(service, 2000);
	g_assert_cmpfloat(len_survival(customer, 0, 1000), >, 0.9);
	len_destroy(customer);
	len_destroy(service);
}

static void test_sums(void)
{
	struct len *len = len_create(NULL);
	struct load_item items[50];
	struct load_sum sum = { { 0 }, { 0 } };

	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++) {
		load_item_init(&items[i], len, 100 + i, 30000);
		load_enter(&sum, &items[i]);
	}
	for (uint64_t produced = 1; produced < 3000; produced++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
			load_progress(&sum, &items[i], produced);
		/* memory now is known to within a part of a bucket */
		g_assert_cmpfloat(sum.mean[0], >, 50 * (124.5 + 0.85 * (double)produced) - 200);
		g_assert_cmpfloat(sum.mean[0], <, 50 * (124.5 + 1.15 * (double)produced) + 200);
	}
	g_assert_cmpfloat(load_peak(&sum, 2.0), >, load_peak(&sum, 0.0));
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
		load_leave(&sum, &items[i]);
	g_assert_cmpfloat(fabs(load_peak(&sum, 0.0)), <, 1e-6);
	len_destroy(len);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/length/buckets", test_buckets);
	g_test_add_func("/length/survival", test_survival);
	g_test_add_func("/length/censored", test_censored);
	g_test_add_func("/length/parent", test_parent);
	g_test_add_func("/length/sums", test_sums);
	return g_test_run();
}
