/**
 * @file test_fleet.c
 * Upstreams that join, leave with and without a shutdown notice, lapse and come
 * back, and start again under an old id or address.
 */
#include "flamingolatch/fleet.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS 1000ULL
#define S  (1000 * MS)

static uint32_t change_count;

static const char *region_of(void *ctx, const char *zone)
{
	(void)ctx;
	return g_str_has_prefix(zone, "n") ? "north" : "south";
}

static void on_change(void *ctx, struct fleet_upstream *up, enum fleet_upstream_state previous)
{
	(void)ctx;
	(void)up;
	(void)previous;
	change_count++;
}

static struct fleet *create_fleet(void)
{
	change_count = 0;
	return fleet_create("n1", region_of, on_change, NULL);
}

static struct fleet_entry engine_entry(const char *id, const char *address, uint64_t started_ms)
{
	return (struct fleet_entry){ .id = id,
				     .service = "engines",
				     .address = address,
				     .zone = "n2",
				     .started_ms = started_ms,
				     .slots = 4 };
}

static enum fleet_upstream_state state_of(struct fleet *fleet, const char *id)
{
	return fleet_upstream_state(fleet_find(fleet, id));
}

static void test_join_and_leave(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);

	fleet_put_entry(fleet, &entry, 1 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_READY);
	g_assert_cmpint((int)fleet_upstream_distance(fleet_find(fleet, "a")), ==,
			FLEET_SAME_REGION);
	g_assert_cmpuint(change_count, ==, 1);
	fleet_put_entry(fleet, &entry, 2 * S);
	g_assert_cmpuint(change_count, ==, 1);
	entry.leaving = true;
	fleet_put_entry(fleet, &entry, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_LEAVING);
	g_assert_cmpuint(fleet_upstream_leaving_since_us(fleet_find(fleet, "a")), ==, 3 * S);
	/* an entry written late, or by another writer, does not make it ready again */
	entry.leaving = false;
	fleet_put_entry(fleet, &entry, 4 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_remove_entry(fleet, "a", 0, 5 * S);
	fleet_tick(fleet, 60 * S);
	fleet_tick(fleet, 60 * S);
	g_assert_null(fleet_find(fleet, "a"));
	g_assert_cmpuint(fleet_service_upstreams(fleet, "engines")->len, ==, 0);
	fleet_destroy(fleet);
}

/* A removed entry means that its upstream leaves, unless the store had an outage. */
static void test_removed(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);

	fleet_put_entry(fleet, &entry, 1 * S);
	fleet_remove_entry(fleet, "a", 0, 2 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_put_entry(fleet, &entry, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_READY);
	fleet_destroy(fleet);
}

static void test_lapsed(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry back = engine_entry("back", "10.0.0.1:80", 5);
	struct fleet_entry away = engine_entry("away", "10.0.0.2:80", 5);

	fleet_put_entry(fleet, &back, 1 * S);
	fleet_put_entry(fleet, &away, 1 * S);
	fleet_remove_entry(fleet, "back", 4 * S, 2 * S);
	fleet_remove_entry(fleet, "away", 4 * S, 2 * S);
	g_assert_cmpint((int)state_of(fleet, "back"), ==, FLEET_UPSTREAM_LAPSED);
	fleet_put_entry(fleet, &back, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "back"), ==, FLEET_UPSTREAM_READY);
	fleet_tick(fleet, 4 * S - 1);
	g_assert_cmpint((int)state_of(fleet, "away"), ==, FLEET_UPSTREAM_LAPSED);
	/* an entry that has not come back by then means that its upstream leaves */
	fleet_tick(fleet, 4 * S);
	g_assert_cmpint((int)state_of(fleet, "away"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_destroy(fleet);
}

/* One lapsed entry after an outage may mean that its upstream shuts down; many at once do not. */
static void test_may_shut_down(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry left = engine_entry("left", "10.0.0.1:80", 5);
	struct fleet_entry right = engine_entry("right", "10.0.0.2:80", 5);

	fleet_put_entry(fleet, &left, 1 * S);
	fleet_put_entry(fleet, &right, 1 * S);
	g_assert_false(fleet_upstream_may_shut_down(fleet_find(fleet, "left")));
	fleet_remove_entry(fleet, "left", 4 * S, 2 * S);
	g_assert_true(fleet_upstream_may_shut_down(fleet_find(fleet, "left")));
	fleet_remove_entry(fleet, "right", 4 * S, 2 * S);
	g_assert_false(fleet_upstream_may_shut_down(fleet_find(fleet, "left")));
	fleet_tick(fleet, 4 * S);
	g_assert_true(fleet_upstream_may_shut_down(fleet_find(fleet, "left")));
	g_assert_true(fleet_upstream_may_shut_down(fleet_find(fleet, "right")));
	fleet_destroy(fleet);
}

static void collect_id(void *ctx, struct fleet_upstream *up)
{
	GPtrArray *ids = ctx;

	g_ptr_array_add(ids, (gpointer)fleet_upstream_id(up));
}

/* When many upstreams leave at once, only the newest are visited. */
static void test_foreach_leaving(void)
{
	struct fleet *fleet = create_fleet();
	g_autoptr(GPtrArray) ids = g_ptr_array_new();

	for (uint32_t i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("up-%u", i);
		g_autofree char *address = g_strdup_printf("10.0.0.%u:80", i + 1);
		struct fleet_entry entry = engine_entry(id, address, 5);

		fleet_put_entry(fleet, &entry, 1 * S);
		fleet_remove_entry(fleet, id, 0, 2 * S + i);
	}
	fleet_foreach_active(fleet, 2 * S, 3, collect_id, ids);
	g_assert_cmpuint(ids->len, ==, 3);
	g_assert_cmpstr(ids->pdata[0], ==, "up-9");
	g_assert_cmpstr(ids->pdata[2], ==, "up-7");
	fleet_destroy(fleet);
}

/* A new incarnation under the same id inherits nothing. */
static void test_new_incarnation(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_upstream *old;

	fleet_put_entry(fleet, &entry, 1 * S);
	old = fleet_upstream_ref(fleet_find(fleet, "a"));
	fleet_upstream_own_load(old)->kv_tokens = 1000;
	fleet_upstream_record_outcome(old, false, false, 1 * S);
	entry.started_ms = 9;
	fleet_put_entry(fleet, &entry, 2 * S);
	g_assert_cmpint((int)fleet_upstream_state(old), ==, FLEET_UPSTREAM_GONE);
	g_assert_true(fleet_find(fleet, "a") != old);
	g_assert_cmpuint(fleet_upstream_own_load(fleet_find(fleet, "a"))->kv_tokens, ==, 0);
	g_assert_cmpfloat(fleet_upstream_failure_share(fleet_find(fleet, "a")), ==, 0.0);
	g_assert_cmpstr(fleet_upstream_scope(old), !=,
			fleet_upstream_scope(fleet_find(fleet, "a")));
	g_assert_cmpuint(fleet_service_upstreams(fleet, "engines")->len, ==, 1);
	fleet_upstream_unref(old);
	fleet_destroy(fleet);
}

/* The zone of an entry that changes is not applied. */
static void test_zone_changed(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);

	fleet_put_entry(fleet, &entry, 1 * S);
	entry.zone = "s1";
	fleet_put_entry(fleet, &entry, 2 * S);
	g_assert_cmpstr(fleet_upstream_zone(fleet_find(fleet, "a")), ==, "s1");
	g_assert_cmpint((int)fleet_upstream_distance(fleet_find(fleet, "a")), ==,
			FLEET_OTHER_REGION);
	g_assert_true(fleet_has_entry(fleet, &entry));
	fleet_destroy(fleet);
}

/* An address belongs to the listed upstream that started last. */
static void test_address_reuse(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry old = engine_entry("old", "10.0.0.1:80", 5);
	struct fleet_entry next = engine_entry("next", "10.0.0.1:80", 9);

	next.service = "shop";
	fleet_put_entry(fleet, &old, 1 * S);
	fleet_put_entry(fleet, &next, 2 * S);
	g_assert_cmpint((int)state_of(fleet, "old"), ==, FLEET_UPSTREAM_DISPLACED);
	g_assert_cmpint((int)state_of(fleet, "next"), ==, FLEET_UPSTREAM_READY);
	/* Its entry expires. */
	fleet_remove_entry(fleet, "old", 0, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "old"), ==, FLEET_UPSTREAM_GONE);
	fleet_tick(fleet, 4 * S);
	g_assert_null(fleet_find(fleet, "old"));
	fleet_destroy(fleet);
}

/* review/8: an upstream is lost for good when another entry names its address for a while. */
static void test_address_regained(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry own = engine_entry("own", "10.0.0.1:80", 5);
	struct fleet_entry other = engine_entry("other", "10.0.0.1:80", 9);
	struct fleet_upstream *up;

	fleet_put_entry(fleet, &own, 1 * S);
	up = fleet_find(fleet, "own");
	fleet_put_entry(fleet, &other, 2 * S);
	fleet_tick(fleet, 3 * S);
	/* The same entry, renewed, changes nothing. */
	g_assert_true(fleet_has_entry(fleet, &own));
	fleet_put_entry(fleet, &own, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_DISPLACED);
	fleet_remove_entry(fleet, "other", 0, 4 * S);
	g_assert_true(fleet_find(fleet, "own") == up);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	g_assert_cmpint((int)state_of(fleet, "other"), ==, FLEET_UPSTREAM_LEAVING);
	/* Also when the other one moves on to another address, or lapses and comes back. */
	fleet_put_entry(fleet, &other, 5 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_DISPLACED);
	fleet_remove_entry(fleet, "other", 7 * S, 6 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	fleet_put_entry(fleet, &other, 7 * S);
	other.address = "10.0.0.2:80";
	fleet_put_entry(fleet, &other, 8 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	g_assert_cmpint((int)state_of(fleet, "other"), ==, FLEET_UPSTREAM_READY);
	fleet_destroy(fleet);
}

/* review/8: an upstream loses its address to an entry of a service that is not configured. */
static void test_address_unconfigured(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry own = engine_entry("own", "10.0.0.1:80", 5);
	struct fleet_entry other = engine_entry("other", "10.0.0.1:80", 9);
	g_autoptr(GPtrArray) engines = g_ptr_array_new();
	g_autoptr(GPtrArray) both = g_ptr_array_new();

	g_ptr_array_add(engines, (gpointer) "engines");
	g_ptr_array_add(both, (gpointer) "engines");
	g_ptr_array_add(both, (gpointer) "shop");
	other.service = "shop";
	/* The list may be read before the configuration. */
	fleet_put_entry(fleet, &own, 1 * S);
	fleet_put_entry(fleet, &other, 1 * S);
	fleet_set_services(fleet, engines, 2 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	fleet_remove_entry(fleet, "other", 0, 3 * S);
	fleet_put_entry(fleet, &other, 4 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	fleet_set_services(fleet, both, 5 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_DISPLACED);
	g_assert_cmpint((int)state_of(fleet, "other"), ==, FLEET_UPSTREAM_READY);
	fleet_set_services(fleet, engines, 6 * S);
	g_assert_cmpint((int)state_of(fleet, "own"), ==, FLEET_UPSTREAM_READY);
	fleet_destroy(fleet);
}

#define VIEW_SEEDS    1000
#define VIEW_STEPS    40
#define VIEW_IDS      5
#define VIEW_SERVICES 2

/* The entries that stand in the store, by the number of the upstream. */
struct view_world {
	struct fleet_entry entries[VIEW_IDS];
	bool listed[VIEW_IDS];
	GPtrArray *services; /* that are configured; NULL before */
};

static const char *const view_ids[VIEW_IDS] = { "a", "b", "c", "d", "e" };
static const char *const view_addresses[] = { "10.0.0.1:80", "10.0.0.2:80" };
static const char *const view_services[VIEW_SERVICES] = { "engines", "shop" };

/* Removes an entry of the world or writes one, and applies that to a fleet. */
static void view_change(struct view_world *world, struct fleet *fleet, GRand *rand, uint64_t now_us)
{
	uint32_t number = (uint32_t)g_rand_int_range(rand, 0, VIEW_IDS);
	struct fleet_entry *entry = &world->entries[number];
	bool was_listed = world->listed[number];

	if (was_listed && g_rand_boolean(rand)) {
		world->listed[number] = false;
		fleet_remove_entry(fleet, view_ids[number],
				   g_rand_boolean(rand) ? now_us + 1 * S : 0, now_us);
		return;
	}
	if (!was_listed || g_rand_boolean(rand)) {
		*entry =
			engine_entry(view_ids[number], view_addresses[g_rand_int_range(rand, 0, 2)],
				     (uint64_t)g_rand_int_range(rand, 1, 6));
		entry->service = view_services[g_rand_int_range(rand, 0, VIEW_SERVICES)];
	}
	world->listed[number] = true;
	fleet_put_entry(fleet, entry, now_us);
}

/* Configures one of the services, or both. */
static void view_configure(struct view_world *world, struct fleet *fleet, GRand *rand,
			   uint64_t now_us)
{
	uint32_t configured = (uint32_t)g_rand_int_range(rand, 1, 1 << VIEW_SERVICES);

	g_clear_pointer(&world->services, g_ptr_array_unref);
	world->services = g_ptr_array_new();
	for (uint32_t i = 0; i < VIEW_SERVICES; i++) {
		if (configured & 1U << i)
			g_ptr_array_add(world->services, (gpointer)view_services[i]);
	}
	fleet_set_services(fleet, world->services, now_us);
}

/* Compares a fleet that followed the changes with one that is given the entries at the end.
 * @return the id of an upstream that differs, or NULL */
static const char *view_compare(struct fleet *followed, const struct view_world *world,
				uint64_t now_us)
{
	struct fleet *fresh = fleet_create("n1", region_of, on_change, NULL);
	const char *different = NULL;

	if (world->services)
		fleet_set_services(fresh, world->services, now_us);
	for (uint32_t i = 0; i < VIEW_IDS; i++) {
		if (world->listed[i])
			fleet_put_entry(fresh, &world->entries[i], now_us);
	}
	for (uint32_t i = 0; i < VIEW_IDS; i++) {
		if (world->listed[i] &&
		    (!fleet_find(followed, view_ids[i]) ||
		     state_of(followed, view_ids[i]) != state_of(fresh, view_ids[i])))
			different = view_ids[i];
	}
	fleet_destroy(fresh);
	return different;
}

/* The state of the listed upstreams depends on the entries alone, not on how they came to be. */
static void test_view_converges(void)
{
	for (uint32_t seed = 0; seed < VIEW_SEEDS; seed++) {
		struct view_world world = { 0 };
		struct fleet *fleet = create_fleet();
		GRand *rand = g_rand_new_with_seed(seed);

		for (uint32_t step = 1; step <= VIEW_STEPS; step++) {
			uint64_t now_us = step * S;
			const char *different;

			if (g_rand_int_range(rand, 0, 8) == 0)
				view_configure(&world, fleet, rand, now_us);
			else
				view_change(&world, fleet, rand, now_us);
			if (g_rand_boolean(rand))
				fleet_tick(fleet, now_us);
			different = view_compare(fleet, &world, now_us);
			if (different) {
				printf("violation: seed %u, step %u: upstream %s\n", seed, step,
				       different);
				exit(EXIT_FAILURE);
			}
		}
		g_clear_pointer(&world.services, g_ptr_array_unref);
		g_rand_free(rand);
		fleet_destroy(fleet);
	}
}

static void test_peers(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_load load = { .open = 2, .kv_tokens = 500, .prefill_tokens = 7 };
	struct fleet_upstream *up;

	fleet_put_entry(fleet, &entry, 1 * S);
	up = fleet_find(fleet, "a");
	fleet_set_peer_load(fleet, "a", "p", &load, 3 * S);
	fleet_set_peer_load(fleet, "a", "q", &load, 3 * S);
	g_assert_cmpuint(fleet_upstream_peer_load(up).kv_tokens, ==, 1000);
	fleet_remove_peer(fleet, "q");
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, ==, 2);
	/* the load of a silent peer expires */
	fleet_expire_loads(fleet, 3 * S);
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, >, 0);
	fleet_expire_loads(fleet, 3 * S + 1);
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, ==, 0);
	fleet_destroy(fleet);
}

/* The load of another zone counts as one sum, is replaced by its next report, belongs to one
 * incarnation, and is no part of what this zone reports of itself. */
static void test_zones(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_load load = { .open = 3, .kv_tokens = 900, .kv_used_tokens = 600 };
	struct fleet_load near_load = { .open = 1, .kv_tokens = 100, .kv_used_tokens = 50 };
	struct fleet_upstream *up;
	uint32_t key;

	fleet_put_entry(fleet, &entry, 1 * S);
	up = fleet_find(fleet, "a");
	key = fleet_upstream_key(up);
	g_assert_true(fleet_set_zone_load(fleet, key, "z2", &load, 3 * S) == up);
	fleet_set_zone_load(fleet, key, "z3", &load, 3 * S);
	fleet_set_peer_load(fleet, "a", "p", &near_load, 3 * S);
	g_assert_cmpuint(fleet_upstream_peer_load(up).kv_used_tokens, ==, 1250);
	g_assert_cmpuint(fleet_upstream_zone_load(up).kv_used_tokens, ==, 50);
	load.open = 4;
	fleet_set_zone_load(fleet, key, "z2", &load, 3 * S);
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, ==, 8);
	fleet_remove_zone(fleet, "z3");
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, ==, 5);
	fleet_expire_loads(fleet, 3 * S);
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, >, 0);
	fleet_expire_loads(fleet, 3 * S + 1);
	g_assert_cmpuint(fleet_upstream_peer_load(up).open, ==, 0);
	/* a report about an earlier incarnation is not counted for the next one */
	entry.started_ms = 6;
	fleet_put_entry(fleet, &entry, 2 * S);
	g_assert_null(fleet_set_zone_load(fleet, key, "z2", &load, 3 * S));
	g_assert_cmpuint(fleet_upstream_peer_load(fleet_find(fleet, "a")).open, ==, 0);
	fleet_destroy(fleet);
}

#define SUMS_SEED_COUNT	    100
#define SUMS_STEP_COUNT	    500
#define SUMS_PEER_COUNT	    4
#define SUMS_SOURCE_COUNT   6 /* peers, then zones */
#define SUMS_UPSTREAM_COUNT 5

/* What each source last reported, kept in the plainest way. */
struct sums_model {
	struct fleet_load loads[SUMS_SOURCE_COUNT][SUMS_UPSTREAM_COUNT];
	uint64_t expires_us[SUMS_SOURCE_COUNT];
	uint64_t started_ms[SUMS_UPSTREAM_COUNT];
	uint64_t now_us;
};

static void sums_restart(struct sums_model *model, struct fleet *fleet, uint32_t u)
{
	g_autofree char *id = g_strdup_printf("u%u", u);
	g_autofree char *address = g_strdup_printf("10.0.0.%u:80", u);
	struct fleet_entry entry = engine_entry(id, address, ++model->started_ms[u]);

	fleet_put_entry(fleet, &entry, model->now_us);
	for (uint32_t source = 0; source < SUMS_SOURCE_COUNT; source++)
		model->loads[source][u] = (struct fleet_load){ 0 };
}

static void sums_report(struct sums_model *model, struct fleet *fleet, GRand *rand, uint32_t source,
			uint32_t u)
{
	struct fleet_load load = { .open = g_rand_int(rand) % 9,
				   .kv_tokens = g_rand_int(rand),
				   .kv_used_tokens = g_rand_int(rand),
				   .prefill_tokens = g_rand_int(rand),
				   .incoming_copies = g_rand_int(rand) % 3 };
	g_autofree char *id = g_strdup_printf("u%u", u);
	g_autofree char *name = g_strdup_printf("s%u", source);
	uint64_t expires_us = model->now_us + g_rand_int(rand) % S;

	model->expires_us[source] = expires_us;
	model->loads[source][u] = load;
	if (source < SUMS_PEER_COUNT)
		fleet_set_peer_load(fleet, id, name, &load, expires_us);
	else
		fleet_set_zone_load(fleet, fleet_upstream_key(fleet_find(fleet, id)), name, &load,
				    expires_us);
}

static void sums_remove(struct sums_model *model, struct fleet *fleet, uint32_t source)
{
	g_autofree char *name = g_strdup_printf("s%u", source);

	memset(model->loads[source], 0, sizeof(model->loads[source]));
	if (source < SUMS_PEER_COUNT)
		fleet_remove_peer(fleet, name);
	else
		fleet_remove_zone(fleet, name);
}

static void sums_expire(struct sums_model *model, struct fleet *fleet)
{
	for (uint32_t source = 0; source < SUMS_SOURCE_COUNT; source++) {
		if (model->now_us > model->expires_us[source])
			memset(model->loads[source], 0, sizeof(model->loads[source]));
	}
	fleet_expire_loads(fleet, model->now_us);
}

static void assert_load_equal(struct fleet_load a, struct fleet_load b)
{
	g_assert_cmpuint(a.open, ==, b.open);
	g_assert_cmpuint(a.kv_tokens, ==, b.kv_tokens);
	g_assert_cmpuint(a.kv_used_tokens, ==, b.kv_used_tokens);
	g_assert_cmpuint(a.prefill_tokens, ==, b.prefill_tokens);
	g_assert_cmpuint(a.incoming_copies, ==, b.incoming_copies);
}

static void sums_check(const struct sums_model *model, struct fleet *fleet)
{
	for (uint32_t u = 0; u < SUMS_UPSTREAM_COUNT; u++) {
		g_autofree char *id = g_strdup_printf("u%u", u);
		const struct fleet_upstream *up = fleet_find(fleet, id);
		struct fleet_load all = { 0 };
		struct fleet_load near = { 0 };

		for (uint32_t source = 0; source < SUMS_SOURCE_COUNT; source++) {
			const struct fleet_load *load = &model->loads[source][u];

			for (uint32_t n = 0; n < (source < SUMS_PEER_COUNT ? 2 : 1); n++) {
				struct fleet_load *sum = n ? &near : &all;

				sum->open += load->open;
				sum->kv_tokens += load->kv_tokens;
				sum->kv_used_tokens += load->kv_used_tokens;
				sum->prefill_tokens += load->prefill_tokens;
				sum->incoming_copies += load->incoming_copies;
			}
		}
		assert_load_equal(fleet_upstream_peer_load(up), all);
		assert_load_equal(fleet_upstream_zone_load(up), near);
	}
}

/* The sums of an upstream are those of the last reports of all sources, whatever came between:
 * reports again, sources that end or expire, upstreams that start anew. */
static void test_load_sums(void)
{
	for (uint32_t seed = 0; seed < SUMS_SEED_COUNT; seed++) {
		struct fleet *fleet = create_fleet();
		struct sums_model model = { .now_us = 1 * S };
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);

		for (uint32_t u = 0; u < SUMS_UPSTREAM_COUNT; u++)
			sums_restart(&model, fleet, u);
		for (uint32_t step = 0; step < SUMS_STEP_COUNT; step++) {
			uint32_t source = g_rand_int(rand) % SUMS_SOURCE_COUNT;
			uint32_t u = g_rand_int(rand) % SUMS_UPSTREAM_COUNT;
			uint32_t draw = g_rand_int(rand) % 20;

			model.now_us += g_rand_int(rand) % (100 * MS);
			if (draw == 0)
				sums_restart(&model, fleet, u);
			else if (draw < 3)
				sums_remove(&model, fleet, source);
			else if (draw < 6)
				sums_expire(&model, fleet);
			else
				sums_report(&model, fleet, rand, source, u);
			sums_check(&model, fleet);
		}
		fleet_destroy(fleet);
	}
}

/* An entry that is known needs not be put again; any difference, or what was learned since, counts
 * as a change. */
static void test_known_entry(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_entry other;

	g_assert_false(fleet_has_entry(fleet, &entry));
	fleet_put_entry(fleet, &entry, 1 * S);
	g_assert_true(fleet_has_entry(fleet, &entry));
	other = entry;
	other.cold_ms = 700;
	g_assert_true(fleet_has_entry(fleet, &other));
	other = entry;
	other.slots++;
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.leaving = true;
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.started_ms++;
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.address = "10.0.0.2:80";
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.zone = "n3";
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.software_version = "v2";
	g_assert_false(fleet_has_entry(fleet, &other));
	other = entry;
	other.service = "others";
	g_assert_false(fleet_has_entry(fleet, &other));
	/* an answer announced its shutdown, which its entry does not say */
	fleet_upstream_set_leaving(fleet_find(fleet, "a"), 2 * S);
	g_assert_false(fleet_has_entry(fleet, &entry));
	fleet_put_entry(fleet, &entry, 2 * S);
	g_assert_true(fleet_has_entry(fleet, &entry));
	fleet_remove_entry(fleet, "a", 4 * S, 3 * S);
	g_assert_false(fleet_has_entry(fleet, &entry));
	fleet_put_entry(fleet, &entry, 3 * S);
	g_assert_true(fleet_has_entry(fleet, &entry));
	/* an older entry is put off; the one that is known takes its place again */
	fleet_distrust_entries(fleet, 3 * S);
	other = entry;
	other.started_ms = 4;
	fleet_put_entry(fleet, &other, 3 * S);
	g_assert_false(fleet_has_entry(fleet, &entry));
	entry.leaving = true;
	fleet_put_entry(fleet, &entry, 3 * S);
	g_assert_true(fleet_has_entry(fleet, &entry));
	fleet_destroy(fleet);
}

static void note_cold_ms(void *ctx, const struct fleet_entry *entry)
{
	*(uint32_t *)ctx = entry->cold_ms;
}

/* How long an upstream is cold is passed on, less the time elapsed, and a change of only that is
 * one, but for a service without terms. */
static void test_cold_time(void)
{
	struct warm_up_terms terms = { 22, 1.5, 5, 1000 };
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct warm_up *limit;
	uint32_t cold_ms;

	entry.age_ms = 60000;
	g_assert_true(fleet_has_cold_time(fleet, &entry, 1 * S));
	entry.cold_ms = 700;
	fleet_put_entry(fleet, &entry, 100 * S);
	limit = fleet_upstream_cold_limit(fleet_find(fleet, "a"));
	/* without terms */
	fleet_foreach_entry(fleet, 100 * S, note_cold_ms, &cold_ms);
	g_assert_cmpuint(cold_ms, ==, 0);
	g_assert_cmpint((int)warm_up_phase(limit, 100 * S), ==, WARM_UP_WARM);
	entry.cold_ms = 0;
	g_assert_true(fleet_has_cold_time(fleet, &entry, 100 * S));
	/* with terms */
	warm_up_set_terms(limit, &terms);
	g_assert_false(fleet_has_cold_time(fleet, &entry, 100 * S));
	fleet_foreach_entry(fleet, 100 * S + S / 2, note_cold_ms, &cold_ms);
	g_assert_cmpuint(cold_ms, ==, 200);
	entry.cold_ms = 200;
	g_assert_true(fleet_has_cold_time(fleet, &entry, 100 * S + S / 2));
	entry.cold_ms = 900;
	g_assert_false(fleet_has_cold_time(fleet, &entry, 100 * S + S / 2));
	/* it comes back from a shutdown that it did not make, to instances that all see it empty */
	entry.cold_ms = 0;
	fleet_put_entry(fleet, &entry, 110 * S);
	g_assert_cmpint((int)warm_up_phase(limit, 110 * S), ==, WARM_UP_WARM);
	fleet_upstream_set_leaving(fleet_find(fleet, "a"), 111 * S);
	fleet_put_entry(fleet, &entry, 112 * S);
	g_assert_cmpuint(warm_up_cold_ms(limit, 112 * S), ==, 1000);
	/* a new start is a new upstream, also when its entry says that it is warm */
	entry.started_ms = 6;
	entry.age_ms = 100;
	fleet_put_entry(fleet, &entry, 120 * S);
	limit = fleet_upstream_cold_limit(fleet_find(fleet, "a"));
	warm_up_set_terms(limit, &terms);
	g_assert_cmpuint(warm_up_cold_ms(limit, 120 * S), ==, 900);
	fleet_destroy(fleet);
}

/* A peer's notice is wrong: the entry stays, and nothing brings it again. */
static void test_wrong_notice(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_entry leaving = engine_entry("b", "10.0.0.2:80", 5);

	fleet_put_entry(fleet, &entry, 1 * S);
	fleet_upstream_set_leaving(fleet_find(fleet, "a"), 2 * S);
	leaving.leaving = true;
	fleet_put_entry(fleet, &leaving, 2 * S);
	fleet_tick(fleet, 32 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_tick(fleet, 32 * S + 1);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_READY);
	g_assert_true(fleet_has_entry(fleet, &entry));
	g_assert_cmpint((int)state_of(fleet, "b"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_destroy(fleet);
}

static void test_suspension(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_upstream *up;

	fleet_put_entry(fleet, &entry, 0);
	up = fleet_find(fleet, "a");
	fleet_upstream_record_outcome(up, false, false, 1 * S);
	g_assert_false(fleet_upstream_suspended(up, 1 * S));
	fleet_upstream_record_outcome(up, false, false, 1 * S);
	g_assert_true(fleet_upstream_suspended(up, 1 * S));
	g_assert_false(fleet_upstream_suspended(up, 2 * S));
	/* it may get requests again, but not those that must not be lost */
	g_assert_true(fleet_upstream_on_probation(up));
	fleet_upstream_record_outcome(up, true, true, 2 * S);
	g_assert_false(fleet_upstream_on_probation(up));
	fleet_upstream_record_outcome(up, false, false, 2 * S);
	g_assert_false(fleet_upstream_suspended(up, 2 * S));
	fleet_destroy(fleet);
}

/* Silence counts only while requests are open, and from the last progress. */
static void test_silent(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_upstream *up;

	fleet_put_entry(fleet, &entry, 0);
	up = fleet_find(fleet, "a");
	g_assert_cmpuint(fleet_upstream_silent_us(up, 9 * S), ==, 0);
	fleet_upstream_record_progress(up, 9 * S);
	fleet_upstream_own_load(up)->open = 1;
	g_assert_cmpuint(fleet_upstream_silent_us(up, 10 * S), ==, 1 * S);
	fleet_upstream_record_progress(up, 10 * S);
	g_assert_cmpuint(fleet_upstream_silent_us(up, 10 * S), ==, 0);
	fleet_upstream_own_load(up)->open = 0;
	g_assert_cmpuint(fleet_upstream_silent_us(up, 20 * S), ==, 0);
	fleet_destroy(fleet);
}

/* An upstream whose calls are all cancelled, since others answer them first, must not count as
 * sound with each next call. */
static void test_overdue(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	struct fleet_upstream *up;

	fleet_put_entry(fleet, &entry, 0);
	up = fleet_find(fleet, "a");
	fleet_upstream_record_first_open(up, 9 * S);
	fleet_upstream_own_load(up)->open = 1;
	fleet_upstream_record_overdue(up, 9 * S);
	fleet_upstream_own_load(up)->open = 0;
	g_assert_cmpuint(fleet_upstream_silent_us(up, 10 * S), ==, 0);
	fleet_upstream_record_first_open(up, 11 * S);
	fleet_upstream_own_load(up)->open = 1;
	g_assert_cmpuint(fleet_upstream_silent_us(up, 11 * S), ==, 2 * S);
	fleet_upstream_record_progress(up, 12 * S);
	g_assert_cmpuint(fleet_upstream_silent_us(up, 12 * S), ==, 0);
	/* it has sent something since the cancelled call was sent */
	fleet_upstream_record_overdue(up, 11 * S);
	fleet_upstream_own_load(up)->open = 0;
	fleet_upstream_record_first_open(up, 20 * S);
	fleet_upstream_own_load(up)->open = 1;
	g_assert_cmpuint(fleet_upstream_silent_us(up, 20 * S), ==, 0);
	fleet_destroy(fleet);
}

/* An upstream is used after it was freed when an entry that was put off replaces it. */
static void test_put_off_replaces(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry again = engine_entry("again", "10.0.0.4:80", 9);
	struct fleet_entry old = engine_entry("again", "10.0.0.3:80", 5);

	fleet_put_entry(fleet, &again, 1 * S);
	fleet_distrust_entries(fleet, 3 * S);
	fleet_put_entry(fleet, &old, 3 * S);
	g_assert_cmpstr(fleet_upstream_address(fleet_find(fleet, "again")), ==, "10.0.0.4:80");
	fleet_tick(fleet, 9 * S);
	g_assert_cmpstr(fleet_upstream_address(fleet_find(fleet, "again")), ==, "10.0.0.3:80");
	fleet_destroy(fleet);
}

/* Entries of a restored list that are older than what is known wait until they have proved to be
 * right, or are removed. */
static void test_restored(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry left = engine_entry("left", "10.0.0.1:80", 5);
	struct fleet_entry alive = engine_entry("alive", "10.0.0.2:80", 5);
	struct fleet_entry old = engine_entry("again", "10.0.0.3:80", 5);
	struct fleet_entry again = engine_entry("again", "10.0.0.4:80", 9);
	struct fleet_entry other = engine_entry("other", "10.0.0.5:80", 5);

	fleet_put_entry(fleet, &left, 1 * S);
	fleet_put_entry(fleet, &alive, 1 * S);
	fleet_put_entry(fleet, &again, 1 * S);
	fleet_remove_entry(fleet, "left", 0, 2 * S);
	fleet_remove_entry(fleet, "alive", 0, 2 * S);
	fleet_distrust_entries(fleet, 3 * S);
	fleet_put_entry(fleet, &left, 3 * S);
	fleet_put_entry(fleet, &alive, 3 * S);
	fleet_put_entry(fleet, &old, 3 * S);
	fleet_put_entry(fleet, &other, 3 * S);
	g_assert_cmpint((int)state_of(fleet, "left"), ==, FLEET_UPSTREAM_LEAVING);
	g_assert_cmpint((int)state_of(fleet, "alive"), ==, FLEET_UPSTREAM_LEAVING);
	g_assert_cmpint((int)state_of(fleet, "other"), ==, FLEET_UPSTREAM_READY);
	g_assert_cmpstr(fleet_upstream_address(fleet_find(fleet, "again")), ==, "10.0.0.4:80");
	/* the store removes what is not renewed; an incarnation that is listed again is right */
	fleet_remove_entry(fleet, "left", 0, 6 * S);
	fleet_put_entry(fleet, &again, 6 * S);
	fleet_tick(fleet, 7 * S);
	g_assert_cmpint((int)state_of(fleet, "alive"), ==, FLEET_UPSTREAM_LEAVING);
	fleet_tick(fleet, 9 * S);
	g_assert_cmpint((int)state_of(fleet, "left"), ==, FLEET_UPSTREAM_LEAVING);
	g_assert_cmpint((int)state_of(fleet, "alive"), ==, FLEET_UPSTREAM_READY);
	g_assert_cmpstr(fleet_upstream_address(fleet_find(fleet, "again")), ==, "10.0.0.4:80");
	/* later entries count at once */
	fleet_put_entry(fleet, &old, 9 * S);
	g_assert_cmpstr(fleet_upstream_address(fleet_find(fleet, "again")), ==, "10.0.0.3:80");
	fleet_destroy(fleet);
}

#define DEPARTURE_SEEDS 2000
#define DEPARTURE_STEPS 60

/* One seed: an upstream says itself that it leaves; then its entry is listed, missing, lapsed, put
 * off and listed again with its start and with earlier ones, addresses are used again, and time
 * passes. @return false when it became ready in the same start */
static bool departure_holds(uint32_t seed)
{
	struct fleet *fleet = create_fleet();
	GRand *rand = g_rand_new_with_seed(seed);
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 1000);
	struct fleet_entry other = engine_entry("b", "10.0.0.1:80", 900);
	uint64_t now_us = 1 * S;
	bool departed = false;
	bool holds = true;

	fleet_put_entry(fleet, &entry, now_us);
	for (uint32_t step = 0; step < DEPARTURE_STEPS && holds; step++) {
		struct fleet_upstream *up = fleet_find(fleet, "a");

		now_us += (uint64_t)g_rand_int_range(rand, 1, 12000) * MS;
		switch (g_rand_int_range(rand, 0, 8)) {
		case 0:
			if (up && !departed) {
				fleet_upstream_record_departure(up, now_us);
				departed = true;
			}
			break;
		case 1:
			fleet_remove_entry(fleet, "a", 0, now_us);
			break;
		case 2:
			fleet_remove_entry(fleet, "a", now_us + 3 * S, now_us);
			break;
		case 3:
			fleet_distrust_entries(fleet, now_us);
			break;
		case 4:
			fleet_put_entry(fleet, &other, now_us);
			break;
		case 5:
			/* A new start. */
			if (departed && g_rand_boolean(rand)) {
				entry.started_ms += 1000;
				departed = false;
			}
			fleet_put_entry(fleet, &entry, now_us);
			break;
		default:
			fleet_put_entry(fleet, &entry, now_us);
			break;
		}
		fleet_tick(fleet, now_us);
		up = fleet_find(fleet, "a");
		holds = !departed || !up || fleet_upstream_started_ms(up) != entry.started_ms ||
			fleet_upstream_state(up) >= FLEET_UPSTREAM_LEAVING;
	}
	g_rand_free(rand);
	fleet_destroy(fleet);
	return holds;
}

/* The upstream's own word holds for its start, whatever the list says later. */
static void test_departure(void)
{
	for (uint32_t seed = 1; seed <= DEPARTURE_SEEDS; seed++) {
		if (departure_holds(seed))
			continue;
		printf("violation: seed %u: ready again in the start in which it left\n", seed);
		exit(EXIT_FAILURE);
	}
}

/* A new start, by its time or under a new id, is no longer bound. */
static void test_departure_ends(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	bool known;

	fleet_put_entry(fleet, &entry, 1 * S);
	fleet_upstream_record_departure(fleet_find(fleet, "a"), 2 * S);
	known = fleet_has_entry(fleet, &entry);
	fleet_tick(fleet, 90 * S);
	if (!known || state_of(fleet, "a") != FLEET_UPSTREAM_LEAVING) {
		printf("violation: seed 0: the notice ended without a new start\n");
		exit(EXIT_FAILURE);
	}
	entry.started_ms = 6;
	fleet_put_entry(fleet, &entry, 91 * S);
	g_assert_cmpint((int)state_of(fleet, "a"), ==, FLEET_UPSTREAM_READY);
	fleet_destroy(fleet);
}

#define WORLD_SEEDS	    40
#define WORLD_SEEDS_MANY    6 /* with WORLD_INSTANCES_MAX instances */
#define WORLD_INSTANCES_MAX 195
#define WORLD_UPSTREAMS	    5
#define WORLD_STEP_MS	    100
#define WORLD_STEPS	    400
#define WORLD_SETTLE_STEPS  900 /* without departures and lags; longer than any notice is kept */
#define WORLD_LAG_MAX_MS    6000
#define WORLD_LONG_LAG_MS   20000 /* of every fourth instance */
#define WORLD_RECORDS	    64

/* The list of instances said this of an upstream from then on. */
struct world_record {
	uint64_t at_us;
	uint64_t started_ms;
	uint32_t address; /* number */
	bool listed;
	bool leaving;
};

/* An upstream, and the history of its entry. */
struct world_upstream {
	char id[2];
	struct world_record records[WORLD_RECORDS];
	uint32_t record_count;
	uint64_t started_ms;
	uint32_t address;
	uint64_t said_us;   /* when it began to say that it leaves; 0: it does not */
	uint64_t exits_us;  /* 0: it does not */
	uint64_t starts_us; /* when it starts again; 0: it runs */
};

/* An instance, with what it saw of each upstream. */
struct world_instance {
	struct fleet *fleet;
	uint64_t lag_us; /* of the list */
	uint32_t record[WORLD_UPSTREAMS];
	uint64_t told_ms[WORLD_UPSTREAMS]; /* start that told it that it leaves; 0: none */
};

struct world {
	GRand *rand;
	struct world_upstream ups[WORLD_UPSTREAMS];
	struct world_instance *instances;
	uint32_t instance_count;
	uint32_t address_count;
	uint64_t now_us;
	uint32_t departures;
	uint32_t told;
};

static bool world_chance(struct world *world, uint32_t one_in)
{
	return g_rand_int_range(world->rand, 0, (gint32)one_in) == 0;
}

static uint64_t world_draw_us(struct world *world, uint32_t from_ms, uint32_t to_ms)
{
	return (uint64_t)g_rand_int_range(world->rand, (gint32)from_ms, (gint32)to_ms) * MS;
}

static void world_record_entry(struct world_upstream *up, uint64_t at_us, bool listed, bool leaving)
{
	struct world_record *last = up->record_count ? &up->records[up->record_count - 1] : NULL;

	if (up->record_count == WORLD_RECORDS)
		return;
	up->records[up->record_count++] = (struct world_record){
		.at_us = last ? MAX(at_us, last->at_us) : at_us,
		.started_ms = up->started_ms,
		.address = up->address,
		.listed = listed,
		.leaving = leaving,
	};
}

static void world_start_upstream(struct world *world, struct world_upstream *up)
{
	up->started_ms = world->now_us / MS;
	up->said_us = 0;
	up->exits_us = 0;
	up->starts_us = 0;
	/* Addresses are used again: its own, or that of another one that is gone, which gets a new
	 * one. */
	if (world_chance(world, 2)) {
		struct world_upstream *other =
			&world->ups[g_rand_int_range(world->rand, 0, WORLD_UPSTREAMS)];
		bool gone = other->starts_us && world->now_us >= other->exits_us;

		up->address = gone ? other->address : world->address_count++;
		if (gone && other != up)
			other->address = world->address_count++;
	}
	world_record_entry(up, world->now_us, true, false);
}

/* An upstream begins to leave: it says so at once, the list hears of it later or never. */
static void world_depart(struct world *world, struct world_upstream *up)
{
	uint64_t now_us = world->now_us;

	world->departures++;
	up->said_us = now_us;
	up->exits_us = now_us + world_draw_us(world, 2000, 8000);
	up->starts_us = up->exits_us + world_draw_us(world, 500, 4000);
	if (!world_chance(world, 3))
		world_record_entry(up, now_us + world_draw_us(world, 0, 2000), true, true);
	if (!world_chance(world, 4))
		world_record_entry(up, up->exits_us, false, false);
}

/* Applies a record of the list to an instance. */
static void world_apply(struct world *world, struct world_instance *instance,
			const struct world_upstream *up, const struct world_record *record)
{
	g_autofree char *address = g_strdup_printf("10.0.0.%u:80", record->address);
	struct fleet_entry entry = engine_entry(up->id, address, record->started_ms);

	entry.leaving = record->leaving;
	if (record->listed)
		fleet_put_entry(instance->fleet, &entry, world->now_us);
	else if (fleet_find(instance->fleet, up->id))
		fleet_remove_entry(instance->fleet, up->id,
				   world_chance(world, 2) ? world->now_us + 3 * S : 0,
				   world->now_us);
}

/* Reads the list as it was some time ago, and now and then an older word of the same start, as
 * from a delegate that lags more. */
static void world_read_list(struct world *world, struct world_instance *instance)
{
	for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
		const struct world_upstream *up = &world->ups[u];
		uint32_t *at = &instance->record[u];
		bool changed = false;

		while (*at < up->record_count &&
		       up->records[*at].at_us + instance->lag_us <= world->now_us) {
			world_apply(world, instance, up, &up->records[(*at)++]);
			changed = true;
		}
		if (!changed && *at > 1 && world_chance(world, 50) && up->records[*at - 1].listed &&
		    up->records[*at - 2].started_ms == up->records[*at - 1].started_ms)
			world_apply(world, instance, up, &up->records[*at - 2]);
	}
}

/* Sends requests to upstreams that look usable; their answers say whether they leave. Returns false
 * when one is used that had told this instance that it leaves. */
static bool world_send(struct world *world, struct world_instance *instance)
{
	for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
		const struct world_upstream *actual = &world->ups[u];
		struct fleet_upstream *up = fleet_find(instance->fleet, actual->id);
		uint64_t started_ms;

		if (!up || fleet_upstream_state(up) > FLEET_UPSTREAM_LAPSED)
			continue;
		started_ms = fleet_upstream_started_ms(up);
		if (instance->told_ms[u] == started_ms)
			return false;
		if (!world_chance(world, 5) || started_ms != actual->started_ms ||
		    !actual->said_us || world->now_us < actual->said_us ||
		    world->now_us >= actual->exits_us)
			continue;
		fleet_upstream_record_departure(up, world->now_us);
		instance->told_ms[u] = started_ms;
		world->told++;
	}
	return true;
}

/* A peer passes on that an upstream leaves, as it sees it. */
static void world_notify(struct world *world, struct world_instance *instance)
{
	const struct world_instance *peer =
		&world->instances[g_rand_int_range(world->rand, 0, (gint32)world->instance_count)];

	for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
		struct fleet_upstream *up = fleet_find(instance->fleet, world->ups[u].id);
		struct fleet_upstream *theirs = fleet_find(peer->fleet, world->ups[u].id);

		if (up && theirs && fleet_upstream_state(theirs) == FLEET_UPSTREAM_LEAVING &&
		    fleet_upstream_started_ms(up) == fleet_upstream_started_ms(theirs))
			fleet_upstream_set_leaving(up, world->now_us);
	}
}

static void world_violation(uint32_t seed, uint32_t instances, const char *what)
{
	printf("violation: seed %u, %u instances: %s\n", seed, instances, what);
	exit(EXIT_FAILURE);
}

static void world_step(struct world *world, uint32_t seed, bool settled)
{
	for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
		struct world_upstream *up = &world->ups[u];

		if (up->starts_us && world->now_us >= up->starts_us)
			world_start_upstream(world, up);
		else if (!up->said_us && !settled && world_chance(world, 60))
			world_depart(world, up);
	}
	for (uint32_t i = 0; i < world->instance_count; i++) {
		struct world_instance *instance = &world->instances[i];

		if (settled)
			instance->lag_us = 0;
		world_read_list(world, instance);
		if (!settled && world_chance(world, 10))
			world_notify(world, instance);
		fleet_tick(instance->fleet, world->now_us);
		if (!world_send(world, instance))
			world_violation(seed, world->instance_count,
					"used in the start in which it said that it leaves");
	}
	world->now_us += WORLD_STEP_MS * MS;
}

/* Instances whose lists lag differently, with upstreams that say that they leave, exit and start
 * again under their ids and used addresses. @return how often an instance was told */
static uint32_t run_world(uint32_t seed, uint32_t instance_count)
{
	struct world world = { .rand = g_rand_new_with_seed(seed),
			       .instances = g_new0(struct world_instance, instance_count),
			       .instance_count = instance_count,
			       .now_us = 1 * S };

	for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
		world.ups[u].id[0] = (char)('a' + u);
		world.ups[u].address = world.address_count++;
		world_start_upstream(&world, &world.ups[u]);
	}
	for (uint32_t i = 0; i < instance_count; i++) {
		world.instances[i].fleet = create_fleet();
		world.instances[i].lag_us = i % 4 == 3 ? WORLD_LONG_LAG_MS * MS
						       : world_draw_us(&world, 0, WORLD_LAG_MAX_MS);
	}
	for (uint32_t step = 0; step < WORLD_STEPS + WORLD_SETTLE_STEPS; step++)
		world_step(&world, seed, step >= WORLD_STEPS);
	for (uint32_t i = 0; i < instance_count; i++) {
		for (uint32_t u = 0; u < WORLD_UPSTREAMS; u++) {
			struct fleet_upstream *up =
				fleet_find(world.instances[i].fleet, world.ups[u].id);

			if (!up || fleet_upstream_started_ms(up) != world.ups[u].started_ms ||
			    fleet_upstream_state(up) != FLEET_UPSTREAM_READY)
				world_violation(seed, instance_count,
						"not used though it started again");
		}
		fleet_destroy(world.instances[i].fleet);
	}
	g_free(world.instances);
	g_rand_free(world.rand);
	return world.told;
}

/* The upstream's own word binds each instance that heard it for that start, and ends with it. */
static void test_departure_instances(void)
{
	uint32_t told = 0;

	for (uint32_t seed = 1; seed <= WORLD_SEEDS; seed++) {
		told += run_world(seed, 1);
		told += run_world(seed, 6);
		if (seed <= WORLD_SEEDS_MANY)
			told += run_world(seed, WORLD_INSTANCES_MAX);
	}
	g_test_message("an instance was told %u times", told);
	g_assert_cmpuint(told, >, 1000);
}

/* The evacuated zones apply to upstreams that are known, that join later, and that the list has no
 * more but a request still refers to. */
static void test_evacuated(void)
{
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	struct fleet_upstream *up;

	g_ptr_array_add(zones, (gpointer) "n2");
	fleet_put_entry(fleet, &entry, 1 * S);
	up = fleet_upstream_ref(fleet_find(fleet, "a"));
	g_assert_false(fleet_knows_evacuated(fleet));
	fleet_set_evacuated(fleet, none, 4 * S);
	g_assert_true(fleet_knows_evacuated(fleet));
	g_assert_false(fleet_upstream_is_evacuated(up));
	fleet_set_evacuated(fleet, zones, 4 * S);
	entry = engine_entry("b", "10.0.0.2:80", 5);
	fleet_put_entry(fleet, &entry, 2 * S);
	entry = engine_entry("c", "10.0.0.3:80", 5);
	entry.zone = "n1";
	fleet_put_entry(fleet, &entry, 2 * S);
	fleet_remove_entry(fleet, "a", 0, 3 * S);
	fleet_tick(fleet, 60 * S);
	fleet_tick(fleet, 60 * S);
	g_assert_null(fleet_find(fleet, "a"));
	g_assert_true(fleet_upstream_is_evacuated(up));
	g_assert_true(fleet_upstream_is_evacuated(fleet_find(fleet, "b")));
	g_assert_false(fleet_upstream_is_evacuated(fleet_find(fleet, "c")));
	fleet_set_evacuated(fleet, none, 4 * S);
	g_assert_false(fleet_upstream_is_evacuated(up));
	fleet_upstream_unref(up);
	fleet_destroy(fleet);
}

/* Guards against a zone that returns from an evacuation and gets requests as if it were warm,
 * before the entries of its upstreams say that they are cold. */
static void test_returned_cold(void)
{
	const struct warm_up_terms terms = {
		.cold_per_s = 22.0, .overage = 1.5, .slack = 5.0, .cold_start_ms = 1000
	};
	struct fleet *fleet = create_fleet();
	struct fleet_entry entry = engine_entry("a", "10.0.0.1:80", 5);
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	struct warm_up *limit;

	g_ptr_array_add(zones, (gpointer) "n2");
	entry.age_ms = 1000000;
	fleet_put_entry(fleet, &entry, 2000 * S);
	limit = fleet_upstream_cold_limit(fleet_find(fleet, "a"));
	warm_up_set_terms(limit, &terms);
	fleet_set_evacuated(fleet, none, 2000 * S);
	g_assert_cmpint(warm_up_phase(limit, 2000 * S), ==, WARM_UP_WARM);
	fleet_set_evacuated(fleet, zones, 2001 * S);
	g_assert_cmpint(warm_up_phase(limit, 2001 * S), ==, WARM_UP_WARM);
	fleet_set_evacuated(fleet, none, 2009 * S);
	g_assert_cmpint(warm_up_phase(limit, 2009 * S), ==, WARM_UP_COLD);
	fleet_destroy(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/join-and-leave", test_join_and_leave);
	g_test_add_func("/fleet/evacuated", test_evacuated);
	g_test_add_func("/fleet/returned-cold", test_returned_cold);
	g_test_add_func("/fleet/removed", test_removed);
	g_test_add_func("/fleet/lapse", test_lapsed);
	g_test_add_func("/fleet/may-end", test_may_shut_down);
	g_test_add_func("/fleet/notices", test_foreach_leaving);
	g_test_add_func("/fleet/new-birth", test_new_incarnation);
	g_test_add_func("/fleet/zone-changed", test_zone_changed);
	g_test_add_func("/fleet/address-reuse", test_address_reuse);
	g_test_add_func("/fleet/view-converges", test_view_converges);
	g_test_add_func("/fleet/address-regained", test_address_regained);
	g_test_add_func("/fleet/address-unconfigured", test_address_unconfigured);
	g_test_add_func("/fleet/peers", test_peers);
	g_test_add_func("/fleet/zones", test_zones);
	g_test_add_func("/fleet/load-sums", test_load_sums);
	g_test_add_func("/fleet/known-entry", test_known_entry);
	g_test_add_func("/fleet/cold-time", test_cold_time);
	g_test_add_func("/fleet/wrong-notice", test_wrong_notice);
	g_test_add_func("/fleet/circuit", test_suspension);
	g_test_add_func("/fleet/silent", test_silent);
	g_test_add_func("/fleet/overdue", test_overdue);
	g_test_add_func("/fleet/restored", test_restored);
	g_test_add_func("/fleet/put-off-replaces", test_put_off_replaces);
	g_test_add_func("/fleet/departure", test_departure);
	g_test_add_func("/fleet/departure-ends", test_departure_ends);
	g_test_add_func("/fleet/departure-instances", test_departure_instances);
	return g_test_run();
}
