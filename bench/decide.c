/**
 * @file decide.c
 * Time and memory of a placement and of the load estimates that it uses, at the
 * size that the system is designed for: 600 replicas of 9 models, 410 customers,
 * and 10,000 running requests that one entry instance knows of.
 */
#include "flamingolatch/pool.h"
#include "flamingolatch/wfq.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define REPLICA_COUNT	600
#define MODEL_COUNT	9
#define CUSTOMER_COUNT	410
#define RUNNING_COUNT	10000
#define PEER_COUNT	7
#define PLACEMENT_COUNT 20000

static gint compare_double(gconstpointer a, gconstpointer b)
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

static struct upstream *upstreams[REPLICA_COUNT];
static struct length_survival *lengths[CUSTOMER_COUNT];
static struct kv_forecast_item load_items[RUNNING_COUNT];
static double durations_ns[PLACEMENT_COUNT];

static void fill_pool(struct pool *pool, GRand *rand)
{
	static const struct pool_report report = { .kv_capacity = 2000000 };
	struct length_survival *root = length_survival_create(NULL);

	for (uint32_t i = 0; i < REPLICA_COUNT; i++) {
		g_autofree char *id = g_strdup_printf("engine-%u", i);
		g_autofree char *model = g_strdup_printf("model-%u", i % MODEL_COUNT);

		upstreams[i] =
			pool_put(pool, id, model, "10.0.0.1:80", i % 4 ? "far" : "zone", "region");
	}
	for (uint32_t i = 0; i < REPLICA_COUNT; i++) {
		struct kv_forecast sum = { { 1000.0 }, { 10.0 } };

		upstream_set_report(upstreams[i], &report);
		for (uint32_t peer_index = 0; peer_index < PEER_COUNT; peer_index++) {
			g_autofree char *peer = g_strdup_printf("entry-%u", peer_index);

			upstream_set_peer_forecast(upstreams[i], peer, &sum, 1);
		}
	}
	for (uint32_t i = 0; i < CUSTOMER_COUNT; i++)
		lengths[i] = length_survival_create(root);
	for (uint32_t i = 0; i < RUNNING_COUNT; i++) {
		uint32_t customer = (uint32_t)g_rand_int_range(rand, 0, CUSTOMER_COUNT);

		length_survival_add_ended(lengths[customer],
					  (uint64_t)g_rand_int_range(rand, 1, 3000));
		kv_forecast_item_init(&load_items[i], lengths[customer], 500, 30000);
		upstream_begin_request(upstreams[i % REPLICA_COUNT], &load_items[i]);
	}
}

static void print_durations(const char *label)
{
	qsort(durations_ns, PLACEMENT_COUNT, sizeof(double), compare_double);
	printf("%s: %.2f us at the median, %.2f us at p99\n", label,
	       durations_ns[PLACEMENT_COUNT / 2] / 1000.0,
	       durations_ns[PLACEMENT_COUNT * 99 / 100] / 1000.0);
}

int main(void)
{
	size_t allocated_at_start = mallinfo2().uordblks;
	struct pool *pool = pool_create("zone", "region", 1);
	GRand *rand = g_rand_new_with_seed(1);
	size_t allocated;
	uint32_t failed_placements = 0;

	fill_pool(pool, rand);
	printf("memory: %.0f bytes per replica with %d peers, %zu bytes per running request\n",
	       (double)(mallinfo2().uordblks - allocated_at_start) / REPLICA_COUNT, PEER_COUNT,
	       sizeof(struct kv_forecast_item));
	allocated = mallinfo2().uordblks;
	for (uint32_t i = 0; i < PLACEMENT_COUNT; i++) {
		char model[16];
		struct pool_request need = { .pool = model,
					     .item = &load_items[i % RUNNING_COUNT],
					     .deviations = 1.5,
					     .room_factor = 5,
					     .spill = PROFILE_SPILL_ZONE,
					     .now_us = 1000 };
		double start_ns;

		snprintf(model, sizeof(model), "model-%u", i % MODEL_COUNT);
		start_ns = now_ns();
		failed_placements += pool_select_engine(pool, &need) == NULL;
		durations_ns[i] = now_ns() - start_ns;
	}
	printf("allocated by %d placements: %zu bytes; placements without an engine: %u\n",
	       PLACEMENT_COUNT, mallinfo2().uordblks - allocated, failed_placements);
	print_durations("one placement");
	for (uint32_t i = 0; i < PLACEMENT_COUNT; i++) {
		struct kv_forecast_item item;
		double start_ns = now_ns();

		kv_forecast_item_init(&item, lengths[i % CUSTOMER_COUNT], 500, 30000);
		durations_ns[i] = now_ns() - start_ns;
	}
	print_durations("load prediction of a new request");
	for (uint32_t i = 0; i < PLACEMENT_COUNT; i++) {
		double start_ns = now_ns();

		upstream_update_request(upstreams[i % REPLICA_COUNT],
					&load_items[i % RUNNING_COUNT],
					i / RUNNING_COUNT * 64 + i % 64);
		durations_ns[i] = now_ns() - start_ns;
	}
	print_durations("load update after a token");
	g_rand_free(rand);
	pool_destroy(pool);
	return 0;
}
