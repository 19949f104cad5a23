/**
 * @file test_evacuation.c
 * Sets of evacuated zones in virtual time: an instance reads and watches the store,
 * which is restored from older copies now and then, and others get its set by
 * messages that are late, lost, repeated and out of order. Whatever arrives, a set
 * has the zones that the store had at its position, and it never goes back.
 */
#include "flamingolatch/evacuation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED_COUNT    200
#define STEP_COUNT    600
#define ZONE_COUNT    4
#define VERSION_COUNT (STEP_COUNT + 1)
#define ERA_COUNT     8
#define MESSAGE_COUNT 16 /* on their way */
#define PEER_COUNT    3

static const char *const zone_names[ZONE_COUNT] = { "z1", "z2", "z3", "z4" };

struct message {
	struct store_position position;
	GPtrArray *zones; /* NULL: none */
};

struct world {
	GRand *rand;
	/* zones by era and version, as bits, and of which version a row was last written */
	uint32_t history[ERA_COUNT][VERSION_COUNT];
	uint64_t written[ZONE_COUNT];
	struct store_position store;
	struct store_position copy;
	uint64_t copy_written[ZONE_COUNT];
	struct evacuation *sets[PEER_COUNT]; /* the first reads the store */
	struct message messages[MESSAGE_COUNT];
	struct store_position asked; /* by the open call of the reader */
	bool whole;
};

static uint32_t *world_zones(struct world *world, struct store_position position)
{
	return &world->history[position.era][position.version];
}

static void store_write(struct world *world)
{
	uint32_t zone = g_rand_int_range(world->rand, 0, ZONE_COUNT);
	uint32_t zones = *world_zones(world, world->store);

	world->store.version++;
	world->written[zone] = world->store.version;
	*world_zones(world, world->store) = zones ^ (1U << zone);
}

static void store_back_up(struct world *world)
{
	world->copy = world->store;
	memcpy(world->copy_written, world->written, sizeof(world->written));
}

static void store_restore(struct world *world)
{
	uint64_t era = world->store.era + 1;

	if (era == ERA_COUNT)
		return;
	memcpy(world->history[era], world->history[world->copy.era], sizeof(world->history[era]));
	world->store = (struct store_position){ era, world->copy.version };
	memcpy(world->written, world->copy_written, sizeof(world->written));
}

/* Begins a call from the position of the reader's set, or from an earlier one. */
static void reader_ask(struct world *world)
{
	world->asked = evacuation_position(world->sets[0]);
	if (world->asked.version > 1 && g_rand_boolean(world->rand))
		world->asked.version--;
	world->whole = !evacuation_is_known(world->sets[0]) ||
		       world->asked.era != world->store.era ||
		       g_rand_int_range(world->rand, 0, 8) == 0;
}

/* Answers the reader's call; the store may have been restored since. */
static void store_answer(struct world *world)
{
	uint32_t zones = *world_zones(world, world->store);
	g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(struct evacuation_row));

	for (uint32_t i = 0; i < ZONE_COUNT; i++) {
		struct evacuation_row row = { zone_names[i], !(zones & (1U << i)) };

		if (world->whole ? !row.removed : world->written[i] > world->asked.version)
			g_array_append_val(rows, row);
	}
	if (world->whole)
		evacuation_replace(world->sets[0], world->store, rows);
	else
		evacuation_change(world->sets[0], world->asked, world->store, rows);
	reader_ask(world);
}

static void peer_send(struct world *world)
{
	struct evacuation *set = world->sets[g_rand_int_range(world->rand, 0, PEER_COUNT)];
	struct message *message = &world->messages[g_rand_int_range(world->rand, 0, MESSAGE_COUNT)];

	g_clear_pointer(&message->zones, g_ptr_array_unref);
	message->zones = g_ptr_array_ref(evacuation_zones(set));
	message->position = evacuation_position(set);
}

/* A message stays on its way after its arrival, so it may arrive again. */
static void peer_receive(struct world *world)
{
	struct message *message = &world->messages[g_rand_int_range(world->rand, 0, MESSAGE_COUNT)];

	if (message->zones)
		evacuation_adopt(world->sets[g_rand_int_range(world->rand, 0, PEER_COUNT)],
				 message->position, message->zones);
}

/* Tells whether a set has the zones of its position and is not before an earlier position. */
static bool set_is_sound(struct world *world, const struct evacuation *set,
			 struct store_position before)
{
	struct store_position position = evacuation_position(set);
	uint32_t zones = 0;

	for (uint32_t i = 0; i < ZONE_COUNT; i++)
		zones |= evacuation_has_zone(evacuation_zones(set), zone_names[i]) ? 1U << i : 0;
	if (store_position_is_after(before, position))
		return false;
	return !evacuation_is_known(set) || zones == *world_zones(world, position);
}

static void step(struct world *world)
{
	uint32_t what = g_rand_int_range(world->rand, 0, 100);

	if (what < 20)
		store_write(world);
	else if (what < 40)
		store_answer(world);
	else if (what < 65)
		peer_send(world);
	else if (what < 96)
		peer_receive(world);
	else if (what < 98)
		store_back_up(world);
	else
		store_restore(world);
}

static bool run(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);
	bool sound = true;

	world->rand = g_rand_new_with_seed(seed);
	world->store = (struct store_position){ 1, 1 };
	store_back_up(world);
	for (uint32_t i = 0; i < PEER_COUNT; i++)
		world->sets[i] = evacuation_create();
	reader_ask(world);
	for (uint32_t count = 0; count < STEP_COUNT && sound; count++) {
		struct store_position before[PEER_COUNT];

		for (uint32_t i = 0; i < PEER_COUNT; i++)
			before[i] = evacuation_position(world->sets[i]);
		step(world);
		for (uint32_t i = 0; i < PEER_COUNT; i++)
			sound &= set_is_sound(world, world->sets[i], before[i]);
	}
	for (uint32_t i = 0; i < MESSAGE_COUNT; i++)
		g_clear_pointer(&world->messages[i].zones, g_ptr_array_unref);
	for (uint32_t i = 0; i < PEER_COUNT; i++)
		evacuation_destroy(world->sets[i]);
	g_rand_free(world->rand);
	g_free(world);
	return sound;
}

static void test_any_order(void)
{
	for (uint32_t seed = 1; seed <= SEED_COUNT; seed++) {
		if (run(seed))
			continue;
		printf("violation: seed %u\n", seed);
		exit(EXIT_FAILURE);
	}
}

/* A store that states no era and comes back older is believed by the instance that reads it. */
static void test_no_era(void)
{
	struct evacuation *set = evacuation_create();
	g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(struct evacuation_row));
	struct evacuation_row row = { "z1", false };

	g_assert_false(evacuation_replace(set, (struct store_position){ 0, 9 }, rows));
	g_assert_true(evacuation_is_known(set));
	g_array_append_val(rows, row);
	g_assert_true(evacuation_replace(set, (struct store_position){ 0, 5 }, rows));
	g_assert_true(evacuation_has_zone(evacuation_zones(set), "z1"));
	evacuation_destroy(set);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/any-order", test_any_order);
	g_test_add_func("/evacuation/no-era", test_no_era);
	return g_test_run();
}
