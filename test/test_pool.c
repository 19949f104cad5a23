/**
 * @file test_pool.c
 * The choice of an upstream: state, distance, memory, cached prompts, circuits.
 */
#include "flamingolatch/pool.h"

#include <string.h>

#define CAPACITY 10000

static struct pool *pool;
static struct upstream *near;
static struct upstream *other;
static struct upstream *far;
static struct len *len;
static struct load_item item;

static void setup(void)
{
	struct pool_report report = { .kv_capacity = CAPACITY, .running = 1 };

	pool = pool_create("zone-1", "region-1", 7);
	near = pool_put(pool, "near", "p", "1", "zone-1", "region-1");
	other = pool_put(pool, "other", "p", "2", "zone-2", "region-1");
	far = pool_put(pool, "far", "p", "3", "zone-3", "region-2");
	upstream_report(near, &report);
	upstream_report(other, &report);
	upstream_report(far, &report);
	len = len_create(NULL);
	load_item_init(&item, len, 1000, 1000);
}

static void teardown(void)
{
	pool_destroy(pool);
	len_destroy(len);
}

static struct upstream *pick(enum profile_spill spill, uint64_t now_us)
{
	struct pool_need need = {
		.pool = "p", .item = &item, .room_factor = 2, .spill = spill, .now_us = now_us
	};

	return pool_pick(pool, &need);
}

static void test_distance(void)
{
	setup();
	g_assert_true(pick(PROFILE_SPILL_REGION, 1) == near);
	upstream_set_leaving(near, 1);
	g_assert_null(pick(PROFILE_SPILL_NONE, 1));
	g_assert_true(pick(PROFILE_SPILL_ZONE, 1) == other);
	upstream_set_reachable(other, false);
	g_assert_null(pick(PROFILE_SPILL_ZONE, 1));
	g_assert_true(pick(PROFILE_SPILL_REGION, 1) == far);
	g_assert_false(pool_has_live(pool, "p", PROFILE_SPILL_ZONE));
	/* a new address is a new incarnation */
	pool_put(pool, "near", "p", "9", "zone-1", "region-1");
	g_assert_true(pick(PROFILE_SPILL_REGION, 1) == near);
	teardown();
}

static void test_memory(void)
{
	struct load_sum peer = { { 0 }, { 0 } };

	setup();
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++)
		peer.mean[i] = CAPACITY - 1500;
	/* room for one of its kind, but not for two */
	upstream_set_peer(near, "peer", &peer, 1000000);
	g_assert_true(pick(PROFILE_SPILL_ZONE, 1000000) == other);
	/* a peer that fell silent no longer counts */
	g_assert_true(pick(PROFILE_SPILL_ZONE, 9000000) == near);
	g_assert_cmpuint(pool_room_factor(5, 1), ==, 2);
	g_assert_cmpuint(pool_room_factor(5, 3), ==, 4);
	g_assert_cmpuint(pool_room_factor(5, 100), ==, 5);
	teardown();
}

static void test_circuit(void)
{
	setup();
	for (uint32_t i = 0; i < 3; i++)
		upstream_failed(near, 1000, 0);
	g_assert_true(pick(PROFILE_SPILL_ZONE, 1001) == other);
	g_assert_true(pick(PROFILE_SPILL_ZONE, 1000 + 200000) == near);
	for (uint32_t i = 0; i < 3; i++)
		upstream_failed(near, 1000, 0);
	upstream_succeeded(near);
	g_assert_true(pick(PROFILE_SPILL_ZONE, 1001) == near);
	teardown();
}

static void test_prefix(void)
{
	uint64_t blocks[4];
	uint64_t again[4];
	char prompt[1024];
	struct upstream *twin;
	struct pool_report report = { .kv_capacity = CAPACITY, .running = 1 };
	struct pool_need need = { .pool = "p", .item = &item, .room_factor = 2, .prefix = blocks };

	setup();
	twin = pool_put(pool, "twin", "p", "4", "zone-1", "region-1");
	upstream_report(twin, &report);
	memset(prompt, 'a', sizeof(prompt));
	need.prefix_count = pool_prefix_blocks(prompt, sizeof(prompt), blocks, 4);
	g_assert_cmpuint(need.prefix_count, ==, 4);
	/* a block's hash depends on all before it */
	prompt[0] = 'b';
	pool_prefix_blocks(prompt, sizeof(prompt), again, 4);
	g_assert_cmpuint(again[3], !=, blocks[3]);
	upstream_note_prefix(twin, blocks, 4);
	for (uint32_t i = 0; i < 20; i++)
		g_assert_true(pool_pick(pool, &need) == twin);
	upstream_forget_prefixes(twin);
	upstream_note_prefix(near, blocks, 2);
	upstream_drop_prefix(near, blocks[1]);
	for (uint32_t i = 0; i < 20; i++)
		g_assert_true(pool_pick(pool, &need) == near);
	teardown();
}

static void test_plain(void)
{
	g_autoptr(GHashTable) tried = g_hash_table_new(g_str_hash, g_str_equal);

	setup();
	g_assert_true(pool_pick_plain(pool, "p", PROFILE_SPILL_REGION, tried, 1) == near);
	g_hash_table_add(tried, (gpointer) "near");
	g_assert_true(pool_pick_plain(pool, "p", PROFILE_SPILL_REGION, tried, 1) == other);
	g_assert_null(pool_pick_plain(pool, "q", PROFILE_SPILL_REGION, tried, 1));
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/distance", test_distance);
	g_test_add_func("/pool/memory", test_memory);
	g_test_add_func("/pool/circuit", test_circuit);
	g_test_add_func("/pool/prefix", test_prefix);
	g_test_add_func("/pool/plain", test_plain);
	return g_test_run();
}
