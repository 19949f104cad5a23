/**
 * @file test_fleet.c
 * Upstreams that join, leave with and without notice, lapse and return, and
 * start again under an old id or address.
 */
#include "flamingolatch/fleet.h"

#include <glib.h>
#include <string.h>

#define MS 1000ULL
#define S  (1000 * MS)

static uint32_t changes;

static const char *region_of(void *ctx, const char *zone)
{
	(void)ctx;
	return g_str_has_prefix(zone, "n") ? "north" : "south";
}

static void on_change(void *ctx, struct fups *up, enum fups_state was)
{
	(void)ctx;
	(void)up;
	(void)was;
	changes++;
}

static struct fleet *make(void)
{
	changes = 0;
	return fleet_create("n1", region_of, on_change, NULL);
}

static struct fleet_listing listing(const char *id, const char *address, uint64_t started_ms)
{
	return (struct fleet_listing){ .id = id,
				       .service = "engines",
				       .address = address,
				       .zone = "n2",
				       .started_ms = started_ms,
				       .slots = 4 };
}

static enum fups_state state(struct fleet *fleet, const char *id)
{
	return fups_state(fleet_find(fleet, id));
}

static void test_join_and_leave(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);

	fleet_list(fleet, &entry, 1 * S);
	g_assert_cmpint((int)state(fleet, "a"), ==, FUPS_READY);
	g_assert_cmpint((int)fups_distance(fleet_find(fleet, "a")), ==, FUPS_SAME_REGION);
	g_assert_cmpuint(changes, ==, 1);
	fleet_list(fleet, &entry, 2 * S);
	g_assert_cmpuint(changes, ==, 1);
	entry.leaving = true;
	fleet_list(fleet, &entry, 3 * S);
	g_assert_cmpint((int)state(fleet, "a"), ==, FUPS_LEAVING);
	g_assert_cmpuint(fups_leaving_since_us(fleet_find(fleet, "a")), ==, 3 * S);
	/* a late or foreign write does not bring it back */
	entry.leaving = false;
	fleet_list(fleet, &entry, 4 * S);
	g_assert_cmpint((int)state(fleet, "a"), ==, FUPS_LEAVING);
	fleet_unlist(fleet, "a", 0, 5 * S);
	fleet_tick(fleet, 60 * S);
	fleet_tick(fleet, 60 * S);
	g_assert_null(fleet_find(fleet, "a"));
	g_assert_cmpuint(fleet_of_service(fleet, "engines")->len, ==, 0);
	fleet_destroy(fleet);
}

/* A removed entry is a notice to leave when the list was sound. */
static void test_removed(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);

	fleet_list(fleet, &entry, 1 * S);
	fleet_unlist(fleet, "a", 0, 2 * S);
	g_assert_cmpint((int)state(fleet, "a"), ==, FUPS_LEAVING);
	fleet_list(fleet, &entry, 3 * S);
	g_assert_cmpint((int)state(fleet, "a"), ==, FUPS_READY);
	fleet_destroy(fleet);
}

static void test_lapse(void)
{
	struct fleet *fleet = make();
	struct fleet_listing back = listing("back", "10.0.0.1:80", 5);
	struct fleet_listing away = listing("away", "10.0.0.2:80", 5);

	fleet_list(fleet, &back, 1 * S);
	fleet_list(fleet, &away, 1 * S);
	fleet_unlist(fleet, "back", 4 * S, 2 * S);
	fleet_unlist(fleet, "away", 4 * S, 2 * S);
	g_assert_cmpint((int)state(fleet, "back"), ==, FUPS_LAPSED);
	fleet_list(fleet, &back, 3 * S);
	g_assert_cmpint((int)state(fleet, "back"), ==, FUPS_READY);
	fleet_tick(fleet, 4 * S - 1);
	g_assert_cmpint((int)state(fleet, "away"), ==, FUPS_LAPSED);
	/* what is still missing then is gone */
	fleet_tick(fleet, 4 * S);
	g_assert_cmpint((int)state(fleet, "away"), ==, FUPS_LEAVING);
	fleet_destroy(fleet);
}

/* One entry that is missing after an outage may mean that its upstream leaves; many do not. */
static void test_may_end(void)
{
	struct fleet *fleet = make();
	struct fleet_listing left = listing("left", "10.0.0.1:80", 5);
	struct fleet_listing right = listing("right", "10.0.0.2:80", 5);

	fleet_list(fleet, &left, 1 * S);
	fleet_list(fleet, &right, 1 * S);
	g_assert_false(fups_may_end(fleet_find(fleet, "left")));
	fleet_unlist(fleet, "left", 4 * S, 2 * S);
	g_assert_true(fups_may_end(fleet_find(fleet, "left")));
	fleet_unlist(fleet, "right", 4 * S, 2 * S);
	g_assert_false(fups_may_end(fleet_find(fleet, "left")));
	fleet_tick(fleet, 4 * S);
	g_assert_true(fups_may_end(fleet_find(fleet, "left")));
	g_assert_true(fups_may_end(fleet_find(fleet, "right")));
	fleet_destroy(fleet);
}

static void count_active(void *ctx, struct fups *up)
{
	GPtrArray *ids = ctx;

	g_ptr_array_add(ids, (gpointer)fups_id(up));
}

/* A wave of leaving upstreams is told of by its newest only. */
static void test_notices(void)
{
	struct fleet *fleet = make();
	g_autoptr(GPtrArray) ids = g_ptr_array_new();

	for (uint32_t i = 0; i < 10; i++) {
		g_autofree char *id = g_strdup_printf("up-%u", i);
		g_autofree char *address = g_strdup_printf("10.0.0.%u:80", i + 1);
		struct fleet_listing entry = listing(id, address, 5);

		fleet_list(fleet, &entry, 1 * S);
		fleet_unlist(fleet, id, 0, 2 * S + i);
	}
	fleet_each_active(fleet, 2 * S, 3, count_active, ids);
	g_assert_cmpuint(ids->len, ==, 3);
	g_assert_cmpstr(ids->pdata[0], ==, "up-9");
	g_assert_cmpstr(ids->pdata[2], ==, "up-7");
	fleet_destroy(fleet);
}

/* A start under the same id inherits nothing. */
static void test_new_birth(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);
	struct fups *old;

	fleet_list(fleet, &entry, 1 * S);
	old = fups_hold(fleet_find(fleet, "a"));
	fups_own(old)->kv_tokens = 1000;
	fups_outcome(old, false, false, 1 * S);
	entry.started_ms = 9;
	fleet_list(fleet, &entry, 2 * S);
	g_assert_cmpint((int)fups_state(old), ==, FUPS_GONE);
	g_assert_true(fleet_find(fleet, "a") != old);
	g_assert_cmpuint(fups_own(fleet_find(fleet, "a"))->kv_tokens, ==, 0);
	g_assert_cmpfloat(fups_failure_share(fleet_find(fleet, "a")), ==, 0.0);
	g_assert_cmpstr(fups_scope(old), !=, fups_scope(fleet_find(fleet, "a")));
	g_assert_cmpuint(fleet_of_service(fleet, "engines")->len, ==, 1);
	fups_release(old);
	fleet_destroy(fleet);
}

/* An address belongs to whoever was listed under it last. */
static void test_address_reuse(void)
{
	struct fleet *fleet = make();
	struct fleet_listing old = listing("old", "10.0.0.1:80", 5);
	struct fleet_listing next = listing("next", "10.0.0.1:80", 9);

	next.service = "shop";
	fleet_list(fleet, &old, 1 * S);
	fleet_list(fleet, &next, 2 * S);
	g_assert_cmpint((int)state(fleet, "old"), ==, FUPS_GONE);
	g_assert_cmpint((int)state(fleet, "next"), ==, FUPS_READY);
	fleet_destroy(fleet);
}

static void test_peers(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);
	struct fups_load load = { .open = 2, .kv_tokens = 500, .prefill_tokens = 7 };
	struct fups *up;

	fleet_list(fleet, &entry, 1 * S);
	up = fleet_find(fleet, "a");
	fleet_set_peer(fleet, "a", "p", &load, 3 * S);
	fleet_set_peer(fleet, "a", "q", &load, 3 * S);
	g_assert_cmpuint(fups_peers(up, 1 * S).kv_tokens, ==, 1000);
	fleet_drop_peer(fleet, "q");
	g_assert_cmpuint(fups_peers(up, 1 * S).open, ==, 2);
	/* a silent peer's work is taken to have ended */
	g_assert_cmpuint(fups_peers(up, 4 * S).open, ==, 0);
	fleet_destroy(fleet);
}

static void test_circuit(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);
	struct fups *up;

	fleet_list(fleet, &entry, 0);
	up = fleet_find(fleet, "a");
	fups_outcome(up, false, false, 1 * S);
	g_assert_false(fups_suspended(up, 1 * S));
	fups_outcome(up, false, false, 1 * S);
	g_assert_true(fups_suspended(up, 1 * S));
	g_assert_false(fups_suspended(up, 2 * S));
	/* it may be tried again, but not with what must not be lost */
	g_assert_true(fups_on_probation(up));
	fups_outcome(up, true, true, 2 * S);
	g_assert_false(fups_on_probation(up));
	fups_outcome(up, false, false, 2 * S);
	g_assert_false(fups_suspended(up, 2 * S));
	fleet_destroy(fleet);
}

/* Silence counts only while something is open, and from the last sign of life. */
static void test_silent(void)
{
	struct fleet *fleet = make();
	struct fleet_listing entry = listing("a", "10.0.0.1:80", 5);
	struct fups *up;

	fleet_list(fleet, &entry, 0);
	up = fleet_find(fleet, "a");
	g_assert_cmpuint(fups_silent_us(up, 9 * S), ==, 0);
	fups_progress(up, 9 * S);
	fups_own(up)->open = 1;
	g_assert_cmpuint(fups_silent_us(up, 10 * S), ==, 1 * S);
	fups_progress(up, 10 * S);
	g_assert_cmpuint(fups_silent_us(up, 10 * S), ==, 0);
	fups_own(up)->open = 0;
	g_assert_cmpuint(fups_silent_us(up, 20 * S), ==, 0);
	fleet_destroy(fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet/join-and-leave", test_join_and_leave);
	g_test_add_func("/fleet/removed", test_removed);
	g_test_add_func("/fleet/lapse", test_lapse);
	g_test_add_func("/fleet/may-end", test_may_end);
	g_test_add_func("/fleet/notices", test_notices);
	g_test_add_func("/fleet/new-birth", test_new_birth);
	g_test_add_func("/fleet/address-reuse", test_address_reuse);
	g_test_add_func("/fleet/peers", test_peers);
	g_test_add_func("/fleet/circuit", test_circuit);
	g_test_add_func("/fleet/silent", test_silent);
	return g_test_run();
}
