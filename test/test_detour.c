/**
 * @file test_detour.c
 * When the own path counts as lost, which peer a request is passed on to, and when the
 * path is tried again, in virtual time.
 */
#include "flamingolatch/detour.h"

#include <glib.h>

#define MS	  1000ULL
#define FLEET	  12
#define START_US  (10ULL * 1000 * MS)
#define SERVICE	  "shop"
#define DRAWS	  600
#define PEER_MANY 6

static const struct detour_peer peers[] = {
	{ "10.0.0.1:1", "a", 0 }, { "10.0.0.2:1", "a", 0 }, { "10.0.0.3:1", "b", 1 },
	{ "10.0.0.4:1", "b", 1 }, { "10.0.0.5:1", "c", 2 }, { "10.0.0.6:1", "d", 2 },
};

static int32_t select_peer(struct detour *detour, uint32_t random, uint64_t now_us)
{
	return detour_select(detour, peers, G_N_ELEMENTS(peers), NULL, NULL, 0, SERVICE, random,
			     now_us);
}

/* Several upstreams fail and none is heard. */
static void test_lost(void)
{
	struct detour *detour = detour_create();

	for (uint32_t i = 1; i <= 2; i++) {
		detour_record_failure(detour, i, START_US, START_US);
		g_assert_false(detour_update(detour, FLEET, START_US + 500 * MS));
	}
	detour_record_failure(detour, 3, START_US, START_US);
	g_assert_true(detour_update(detour, FLEET, START_US + 500 * MS));
	g_assert_true(detour_is_lost(detour));
	g_assert_false(detour_update(detour, FLEET, START_US + 600 * MS));
	g_assert_true(detour_record_heard(detour, START_US + 700 * MS));
	g_assert_false(detour_is_lost(detour));
	g_assert_false(detour_record_heard(detour, START_US + 700 * MS));
	g_assert_cmpuint(detour_failed_count(detour), ==, 0);
	detour_destroy(detour);
}

/* One upstream that fails again and again is no evidence, also in a fleet of one. */
static void test_single_silent(void)
{
	struct detour *detour = detour_create();

	for (uint32_t i = 0; i < 50; i++) {
		uint64_t now_us = START_US + i * 100 * MS;

		detour_record_failure(detour, 1, START_US, now_us);
		g_assert_false(detour_update(detour, 1, now_us));
	}
	detour_destroy(detour);
}

/* A small fleet is lost with all of its upstreams. */
static void test_small_fleet(void)
{
	struct detour *detour = detour_create();

	detour_record_failure(detour, 1, START_US, START_US);
	detour_record_failure(detour, 2, START_US, START_US);
	g_assert_true(detour_update(detour, 2, START_US));
	detour_destroy(detour);
}

/* Upstreams that fail while another is heard are no evidence. */
static void test_others_heard(void)
{
	struct detour *detour = detour_create();

	detour_record_heard(detour, START_US);
	for (uint32_t i = 0; i < 100; i++) {
		uint64_t now_us = START_US + i * 50 * MS;

		for (uint32_t up = 1; up <= 6; up++)
			detour_record_failure(detour, up, START_US, now_us);
		g_assert_false(detour_update(detour, FLEET, now_us));
		detour_record_heard(detour, now_us + 1);
	}
	/* Nor do failures count that began before something was heard. */
	for (uint32_t up = 1; up <= 6; up++)
		detour_record_failure(detour, up, START_US, START_US + 9000 * MS);
	g_assert_false(detour_update(detour, FLEET, START_US + 9000 * MS));
	detour_destroy(detour);
}

/* Failures far apart are not evidence together. */
static void test_far_apart(void)
{
	struct detour *detour = detour_create();

	for (uint32_t up = 1; up <= 6; up++) {
		uint64_t now_us = START_US + up * 6000 * MS;

		detour_record_failure(detour, up, now_us, now_us);
		g_assert_false(detour_update(detour, FLEET, now_us));
	}
	detour_destroy(detour);
}

/* Single requests try the path: four in a second, or one that may run only once. */
static void test_tries(void)
{
	struct detour *detour = detour_create();
	uint32_t repeatable = 0;
	uint32_t unsafe = 0;

	for (uint32_t i = 0; i < 1000; i++)
		repeatable += detour_may_try(detour, true, START_US + i * MS);
	for (uint32_t i = 0; i < 5000; i++)
		unsafe += detour_may_try(detour, false, 2 * START_US + i * MS);
	g_assert_cmpuint(repeatable, ==, 4);
	g_assert_cmpuint(unsafe, ==, 5);
	/* The loss itself was a try. */
	for (uint32_t up = 1; up <= 3; up++)
		detour_record_failure(detour, up, 3 * START_US, 3 * START_US);
	g_assert_true(detour_update(detour, FLEET, 3 * START_US));
	g_assert_false(detour_may_try(detour, true, 3 * START_US + 100 * MS));
	g_assert_true(detour_may_try(detour, true, 3 * START_US + 300 * MS));
	detour_destroy(detour);
}

/* The nearest peers are chosen, and all of them. */
static void test_nearest(void)
{
	struct detour *detour = detour_create();
	uint32_t counts[PEER_MANY] = { 0 };

	for (uint32_t i = 0; i < DRAWS; i++)
		counts[select_peer(detour, i, START_US)]++;
	g_assert_cmpuint(counts[0], ==, DRAWS / 2);
	g_assert_cmpuint(counts[1], ==, DRAWS / 2);
	g_assert_cmpint(detour_select(detour, peers, 0, NULL, NULL, 0, SERVICE, 0, START_US), ==,
			DETOUR_NONE);
	detour_destroy(detour);
}

/* Peers that cannot serve are left out for a second, the rest of the zone is the last choice. */
static void test_left_out(void)
{
	struct detour *detour = detour_create();

	detour_record_peer_no_path(detour, &peers[0], SERVICE, START_US);
	for (uint32_t i = 0; i < 10; i++) {
		int32_t index = select_peer(detour, i, START_US + 500 * MS);

		g_assert_true(index == 2 || index == 3);
	}
	/* For another service it may have a path. */
	g_assert_cmpint(detour_select(detour, peers, 2, NULL, NULL, 0, "other", 0, START_US), ==,
			0);
	/* A peer of the zone that serves shows that the zone is not cut off. */
	detour_record_peer_served(detour, &peers[1], SERVICE);
	g_assert_cmpint(select_peer(detour, 0, START_US + 500 * MS), ==, 1);
	g_assert_cmpint(select_peer(detour, 0, START_US + 1100 * MS), ==, 0);
	detour_record_peer_failed(detour, &peers[0], START_US);
	g_assert_cmpint(select_peer(detour, 0, START_US + 500 * MS), ==, 1);
	for (uint32_t i = 0; i < PEER_MANY; i++)
		detour_record_peer_failed(detour, &peers[i], START_US);
	g_assert_cmpint(select_peer(detour, 0, START_US + 500 * MS), ==, DETOUR_NONE);
	detour_destroy(detour);
}

/* Each peer of a request is in another zone, as long as there is one. */
static void test_tried_zones(void)
{
	struct detour *detour = detour_create();
	const char *tried[PEER_MANY];
	const char *zones[PEER_MANY];
	static const uint32_t ranks[PEER_MANY] = { 0, 1, 2, 2, 0, 1 };

	for (uint32_t i = 0; i < PEER_MANY; i++) {
		int32_t index = detour_select(detour, peers, PEER_MANY, tried, zones, i, SERVICE, i,
					      START_US);

		g_assert_cmpint(index, !=, DETOUR_NONE);
		g_assert_cmpuint(peers[index].distance, ==, ranks[i]);
		tried[i] = peers[index].address;
		zones[i] = peers[index].zone;
	}
	g_assert_cmpint(detour_select(detour, peers, PEER_MANY, tried, zones, PEER_MANY, SERVICE, 0,
				      START_US),
			==, DETOUR_NONE);
	detour_destroy(detour);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/detour/lost", test_lost);
	g_test_add_func("/detour/single-silent", test_single_silent);
	g_test_add_func("/detour/small-fleet", test_small_fleet);
	g_test_add_func("/detour/others-heard", test_others_heard);
	g_test_add_func("/detour/far-apart", test_far_apart);
	g_test_add_func("/detour/tries", test_tries);
	g_test_add_func("/detour/nearest", test_nearest);
	g_test_add_func("/detour/left-out", test_left_out);
	g_test_add_func("/detour/tried-zones", test_tried_zones);
	return g_test_run();
}
