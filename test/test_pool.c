/**
 * @file test_pool.c
 * Selection of an upstream by state, distance, memory, cached prompts and circuit.
 */
#include "flamingolatch/pool.h"

#include <string.h>

#define KV_CAPACITY_TOKENS 10000

static struct pool *pool;
static struct upstream *near;
static struct upstream *other;
static struct upstream *far;
static struct length_survival *survival;
static struct kv_forecast_item item;

static void setup(void)
{
	struct pool_report report = { .kv_capacity = KV_CAPACITY_TOKENS, .running = 1 };

	pool = pool_create("zone-1", "region-1", 7);
	near = pool_put(pool, "near", "p", "1", "zone-1", "region-1");
	other = pool_put(pool, "other", "p", "2", "zone-2", "region-1");
	far = pool_put(pool, "far", "p", "3", "zone-3", "region-2");
	upstream_set_report(near, &report);
	upstream_set_report(other, &report);
	upstream_set_report(far, &report);
	survival = length_survival_create(NULL);
	kv_forecast_item_init(&item, survival, 1000, 1000);
}

static void teardown(void)
{
	pool_destroy(pool);
	length_survival_destroy(survival);
}

static struct upstream *select_engine(enum profile_spill spill, uint64_t now_us)
{
	struct pool_request request = {
		.pool = "p", .item = &item, .room_factor = 2, .spill = spill, .now_us = now_us
	};

	return pool_select_engine(pool, &request);
}

static void test_distance(void)
{
	setup();
	g_assert_true(select_engine(PROFILE_SPILL_REGION, 1) == near);
	upstream_set_leaving(near, 1);
	g_assert_null(select_engine(PROFILE_SPILL_NONE, 1));
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 1) == other);
	upstream_set_reachable(other, false);
	g_assert_null(select_engine(PROFILE_SPILL_ZONE, 1));
	g_assert_true(select_engine(PROFILE_SPILL_REGION, 1) == far);
	g_assert_false(pool_has_live(pool, "p", PROFILE_SPILL_ZONE));
	/* a new address is a new incarnation */
	pool_put(pool, "near", "p", "9", "zone-1", "region-1");
	g_assert_true(select_engine(PROFILE_SPILL_REGION, 1) == near);
	teardown();
}

static void test_memory(void)
{
	struct kv_forecast peer = { { 0 }, { 0 } };

	setup();
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++)
		peer.mean[i] = KV_CAPACITY_TOKENS - 1500;
	/* room for one such generation, but not for the two that the room factor asks for */
	upstream_set_peer_forecast(near, "peer", &peer, 1000000);
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 1000000) == other);
	/* the forecast of a silent peer expires */
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 9000000) == near);
	g_assert_cmpuint(pool_room_factor(5, 1), ==, 2);
	g_assert_cmpuint(pool_room_factor(5, 3), ==, 4);
	g_assert_cmpuint(pool_room_factor(5, 100), ==, 5);
	teardown();
}

static void test_circuit(void)
{
	setup();
	for (uint32_t i = 0; i < 3; i++)
		upstream_record_failure(near, 1000, 0);
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 1001) == other);
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 1000 + 200000) == near);
	for (uint32_t i = 0; i < 3; i++)
		upstream_record_failure(near, 1000, 0);
	upstream_record_success(near);
	g_assert_true(select_engine(PROFILE_SPILL_ZONE, 1001) == near);
	teardown();
}

static void test_prefix(void)
{
	uint64_t blocks[4];
	uint64_t changed_blocks[4];
	char prompt[1024];
	struct upstream *twin;
	struct pool_report report = { .kv_capacity = KV_CAPACITY_TOKENS, .running = 1 };
	struct pool_request request = {
		.pool = "p", .item = &item, .room_factor = 2, .prefix = blocks
	};

	setup();
	twin = pool_put(pool, "twin", "p", "4", "zone-1", "region-1");
	upstream_set_report(twin, &report);
	memset(prompt, 'a', sizeof(prompt));
	request.prefix_count = pool_hash_prefix(prompt, sizeof(prompt), blocks, 4);
	g_assert_cmpuint(request.prefix_count, ==, 4);
	/* the hash of a block depends on all blocks before it */
	prompt[0] = 'b';
	pool_hash_prefix(prompt, sizeof(prompt), changed_blocks, 4);
	g_assert_cmpuint(changed_blocks[3], !=, blocks[3]);
	upstream_add_cached_blocks(twin, blocks, 4);
	for (uint32_t i = 0; i < 20; i++)
		g_assert_true(pool_select_engine(pool, &request) == twin);
	upstream_clear_cached_blocks(twin);
	upstream_add_cached_blocks(near, blocks, 2);
	upstream_remove_cached_block(near, blocks[1]);
	for (uint32_t i = 0; i < 20; i++)
		g_assert_true(pool_select_engine(pool, &request) == near);
	teardown();
}

static void test_plain_service(void)
{
	g_autoptr(GHashTable) tried = g_hash_table_new(g_str_hash, g_str_equal);

	setup();
	g_assert_true(pool_select_plain(pool, "p", PROFILE_SPILL_REGION, tried, 1) == near);
	g_hash_table_add(tried, (gpointer) "near");
	g_assert_true(pool_select_plain(pool, "p", PROFILE_SPILL_REGION, tried, 1) == other);
	g_assert_null(pool_select_plain(pool, "q", PROFILE_SPILL_REGION, tried, 1));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/distance", test_distance);
	g_test_add_func("/pool/memory", test_memory);
	g_test_add_func("/pool/circuit", test_circuit);
	g_test_add_func("/pool/prefix", test_prefix);
	g_test_add_func("/pool/plain", test_plain_service);
	return g_test_run();
}
