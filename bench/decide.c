/**
 * @file decide.c
 * Cost of one choice at the target's size: 600 replicas of 9 models, 410
 * customers, 10,000 running requests seen by one entry.
 */
#include "flamingolatch/pool.h"
#include "flamingolatch/wfq.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define REPLICAS  600
#define MODELS	  9
#define CUSTOMERS 410
#define RUNNING	  10000
#define PEERS	  7
#define CHOICES	  20000

static gint compare(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static struct upstream *ups[REPLICAS];
static struct length_survival *lens[CUSTOMERS];
static struct kv_forecast_item items[RUNNING];
static double times[CHOICES];

static void fill(struct pool *pool, GRand *rand)
{
	static const struct pool_report report = { .kv_capacity = 2000000 };
	struct length_survival *root = length_survival_create(NULL);

	for (uint32_t i = 0; i < REPLICAS; i++) {
		g_autofree char *id = g_strdup_printf("engine-%u", i);
		g_autofree char *model = g_strdup_printf("model-%u", i % MODELS);

		ups[i] = pool_put(pool, id, model, "10.0.0.1:80", i % 4 ? "far" : "zone", "region");
	}
	for (uint32_t i = 0; i < REPLICAS; i++) {
		struct kv_forecast sum = { { 1000.0 }, { 10.0 } };

		upstream_set_report(ups[i], &report);
		for (uint32_t p = 0; p < PEERS; p++) {
			g_autofree char *peer = g_strdup_printf("entry-%u", p);

			upstream_set_peer_forecast(ups[i], peer, &sum, 1);
		}
	}
	for (uint32_t i = 0; i < CUSTOMERS; i++)
		lens[i] = length_survival_create(root);
	for (uint32_t i = 0; i < RUNNING; i++) {
		uint32_t customer = (uint32_t)g_rand_int_range(rand, 0, CUSTOMERS);

		length_survival_add_ended(lens[customer],
					  (uint64_t)g_rand_int_range(rand, 1, 3000));
		kv_forecast_item_init(&items[i], lens[customer], 500, 30000);
		upstream_begin_request(ups[i % REPLICAS], &items[i]);
	}
}

static void report(const char *what)
{
	qsort(times, CHOICES, sizeof(double), compare);
	printf("%s: %.2f us at the median, %.2f us at p99\n", what, times[CHOICES / 2] / 1000.0,
	       times[CHOICES * 99 / 100] / 1000.0);
}

int main(void)
{
	size_t before_all = mallinfo2().uordblks;
	struct pool *pool = pool_create("zone", "region", 1);
	GRand *rand = g_rand_new_with_seed(1);
	size_t allocated;
	uint32_t none = 0;

	fill(pool, rand);
	printf("memory: %.0f bytes a replica with %d peers, %zu bytes a running request in a sum\n",
	       (double)(mallinfo2().uordblks - before_all) / REPLICAS, PEERS,
	       sizeof(struct kv_forecast_item));
	allocated = mallinfo2().uordblks;
	for (uint32_t i = 0; i < CHOICES; i++) {
		char model[16];
		struct pool_request need = { .pool = model,
					     .item = &items[i % RUNNING],
					     .deviations = 1.5,
					     .room_factor = 5,
					     .spill = PROFILE_SPILL_ZONE,
					     .now_us = 1000 };
		double from;

		snprintf(model, sizeof(model), "model-%u", i % MODELS);
		from = now_ns();
		none += pool_select_engine(pool, &need) == NULL;
		times[i] = now_ns() - from;
	}
	printf("allocated by %d choices: %zu bytes; without an engine: %u\n", CHOICES,
	       mallinfo2().uordblks - allocated, none);
	report("one choice");
	for (uint32_t i = 0; i < CHOICES; i++) {
		struct kv_forecast_item item;
		double from = now_ns();

		kv_forecast_item_init(&item, lens[i % CUSTOMERS], 500, 30000);
		times[i] = now_ns() - from;
	}
	report("predicted memory of a new request");
	for (uint32_t i = 0; i < CHOICES; i++) {
		double from = now_ns();

		upstream_update_request(ups[i % REPLICAS], &items[i % RUNNING],
					i / RUNNING * 64 + i % 64);
		times[i] = now_ns() - from;
	}
	report("a token's progress");
	g_rand_free(rand);
	pool_destroy(pool);
	return 0;
}
