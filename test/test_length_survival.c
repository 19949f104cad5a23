/**
 * @file test_length_survival.c
 * Length estimates from life tables: buckets, survival compared with the true
 * distribution, running generations as censored data; and memory forecasts.
 */
#include "flamingolatch/kv_forecast.h"

#include <glib.h>
#include <math.h>

static void test_buckets(void)
{
	for (uint32_t bucket = 0; bucket + 1 < LENGTH_SURVIVAL_BUCKET_COUNT; bucket++) {
		uint64_t start = length_survival_bucket_start(bucket);
		uint64_t next = length_survival_bucket_start(bucket + 1);

		g_assert_cmpuint(next, >, start);
		g_assert_cmpuint(length_survival_bucket(start), ==, bucket);
		g_assert_cmpuint(length_survival_bucket(next - 1), ==, bucket);
	}
	g_assert_cmpuint(length_survival_bucket(UINT32_MAX), ==, LENGTH_SURVIVAL_BUCKET_COUNT - 1);
}

static void finish(struct length_survival *table, uint64_t tokens)
{
	for (uint32_t bucket = 0; bucket < length_survival_bucket(tokens); bucket++)
		length_survival_add_passed(table, bucket);
	length_survival_add_ended(table, tokens);
}

/* Exponential lengths have no memory: survival depends only on the tokens still to come. */
static void test_survival(void)
{
	struct length_survival *table = length_survival_create(NULL);
	GRand *rand = g_rand_new_with_seed(1);

	for (uint32_t i = 0; i < 20000; i++)
		finish(table, 1 + (uint64_t)(-500.0 * log(1.0 - g_rand_double(rand))));
	for (uint64_t from = 0; from <= 800; from += 200) {
		double probability = length_survival_probability(table, from, from + 347);

		g_assert_cmpfloat(probability, >, 0.44);
		g_assert_cmpfloat(probability, <, 0.56);
	}
	g_assert_cmpfloat(length_survival_expected(table, 0, 30000), >, 430.0);
	g_assert_cmpfloat(length_survival_expected(table, 0, 30000), <, 570.0);
	g_assert_cmpfloat(length_survival_probability(table, 100, 100), ==, 1.0);
	g_rand_free(rand);
	length_survival_destroy(table);
}

/* Short generations end first; without the longer ones that still run, the estimate is too low. */
static void test_censored(void)
{
	struct length_survival *with_running = length_survival_create(NULL);
	struct length_survival *ended_only = length_survival_create(NULL);

	for (uint32_t i = 0; i < 100; i++) {
		finish(with_running, 50);
		finish(ended_only, 50);
		for (uint32_t bucket = 0; bucket < length_survival_bucket(1000); bucket++)
			length_survival_add_passed(with_running, bucket);
	}
	g_assert_cmpfloat(length_survival_probability(with_running, 0, 900), >, 0.4);
	g_assert_cmpfloat(length_survival_probability(ended_only, 0, 900), <, 0.1);
	length_survival_destroy(with_running);
	length_survival_destroy(ended_only);
}

/* A table without data uses its parent. */
static void test_parent(void)
{
	struct length_survival *service = length_survival_create(NULL);
	struct length_survival *customer = length_survival_create(service);

	for (uint32_t i = 0; i < 500; i++)
		finish(service, 2000);
	g_assert_cmpfloat(length_survival_probability(customer, 0, 1000), >, 0.9);
	length_survival_destroy(customer);
	length_survival_destroy(service);
}

static void test_forecast(void)
{
	struct length_survival *table = length_survival_create(NULL);
	struct kv_forecast_item items[50];
	struct kv_forecast sum = { { 0 }, { 0 } };

	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++) {
		kv_forecast_item_init(&items[i], table, 100 + i, 30000);
		kv_forecast_add_item(&sum, &items[i]);
	}
	for (uint64_t generated = 1; generated < 3000; generated++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
			kv_forecast_update_item(&sum, &items[i], generated);
		/* the current memory is known up to a part of a bucket */
		g_assert_cmpfloat(sum.mean[0], >, 50 * (124.5 + 0.85 * (double)generated) - 200);
		g_assert_cmpfloat(sum.mean[0], <, 50 * (124.5 + 1.15 * (double)generated) + 200);
	}
	g_assert_cmpfloat(kv_forecast_peak(&sum, 2.0), >, kv_forecast_peak(&sum, 0.0));
	for (uint32_t i = 0; i < G_N_ELEMENTS(items); i++)
		kv_forecast_remove_item(&sum, &items[i]);
	g_assert_cmpfloat(fabs(kv_forecast_peak(&sum, 0.0)), <, 1e-6);
	length_survival_destroy(table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/length/buckets", test_buckets);
	g_test_add_func("/length/survival", test_survival);
	g_test_add_func("/length/censored", test_censored);
	g_test_add_func("/length/parent", test_parent);
	g_test_add_func("/length/sums", test_forecast);
	return g_test_run();
}
