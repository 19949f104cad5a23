/**
 * @file test_upstream_limit.c
 * Shares of a limit that an upstream names, in virtual time: instances of several
 * zones send as much as their share allows, know one another's demand late, and
 * together stay within the limit in every window.
 */
#include "flamingolatch/upstream_limit.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS	      1000ULL
#define SECOND	      (1000 * MS)
#define STEP_US	      (5 * MS)
#define UPDATE_US     (100 * MS)
#define REPORT_US     (1000 * MS) /* age of what is known of other instances */
#define CONTACT_US    (4 * SECOND)
#define WINDOW_US     (4 * SECOND)
#define DURATION_US   (60 * SECOND)
#define MAX_INSTANCES 195
#define MAX_ZONES     6

struct scene {
	uint32_t zones;
	uint32_t members[MAX_ZONES];
	double demand_per_s[MAX_ZONES]; /* of all its instances */
	double limit_per_s;
};

struct instance {
	char name[16];
	uint32_t zone;
	double demand_per_s;
	double reported_per_s; /* what the others know */
	struct upstream_limit limit;
};

struct world {
	const struct scene *scene;
	GRand *rand;
	struct instance instances[MAX_INSTANCES];
	char zone_names[MAX_ZONES][8];
	uint32_t count;
	uint32_t upstream_key;
	GArray *arrivals_us; /* uint64_t */
};

static bool violated;

static void world_init(struct world *world, const struct scene *scene, uint32_t seed)
{
	memset(world, 0, sizeof(*world));
	world->scene = scene;
	world->rand = g_rand_new_with_seed(seed);
	world->upstream_key = g_rand_int(world->rand);
	world->arrivals_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t zone = 0; zone < scene->zones; zone++) {
		g_snprintf(world->zone_names[zone], sizeof(world->zone_names[zone]), "zone-%u",
			   zone);
		for (uint32_t i = 0; i < scene->members[zone]; i++) {
			struct instance *instance = &world->instances[world->count];

			g_snprintf(instance->name, sizeof(instance->name), "10.%u.0.%u:1", zone, i);
			instance->zone = zone;
			/* Callers are spread unevenly. */
			instance->demand_per_s = scene->demand_per_s[zone] / scene->members[zone] *
						 g_rand_double_range(world->rand, 0.5, 1.5);
			world->count++;
		}
	}
}

static void world_clear(struct world *world)
{
	g_array_free(world->arrivals_us, TRUE);
	g_rand_free(world->rand);
}

/* Computes the share of an instance from its own demand and what the others reported. */
static void update_share(struct world *world, uint32_t index, uint64_t now_us)
{
	struct instance *instance = &world->instances[index];
	struct upstream_limit_zone zones[MAX_ZONES];
	struct upstream_limit_member members[MAX_INSTANCES];
	struct upstream_limit_view view = { .zones = zones,
					    .members = members,
					    .zone_count = world->scene->zones,
					    .own_zone = instance->zone,
					    .upstream_key = world->upstream_key,
					    .upstream_zone = "zone-0" };

	for (uint32_t i = 0; i < view.zone_count; i++)
		zones[i] = (struct upstream_limit_zone){ world->zone_names[i], 0.0 };
	for (uint32_t i = 0; i < world->count; i++) {
		const struct instance *other = &world->instances[i];
		double per_s = i == index ? other->demand_per_s : other->reported_per_s;

		zones[other->zone].demand_per_s += per_s;
		if (other->zone != instance->zone)
			continue;
		if (i == index)
			view.own_member = view.member_count;
		members[view.member_count++] = (struct upstream_limit_member){ other->name, per_s };
	}
	upstream_limit_set_share(&instance->limit,
				 upstream_limit_share(&view, world->scene->limit_per_s), now_us);
}

static void step(struct world *world, uint64_t now_us)
{
	for (uint32_t i = 0; i < world->count; i++) {
		struct instance *instance = &world->instances[i];

		if (now_us % REPORT_US == 0) {
			instance->reported_per_s = instance->demand_per_s;
			instance->demand_per_s *= g_rand_double_range(world->rand, 0.8, 1.25);
		}
		if (now_us % UPDATE_US == 0)
			update_share(world, i, now_us);
		if (g_rand_double(world->rand) >= instance->demand_per_s * STEP_US / SECOND ||
		    !upstream_limit_allows(&instance->limit, now_us))
			continue;
		upstream_limit_take(&instance->limit, now_us);
		g_array_append_val(world->arrivals_us, now_us);
	}
}

/* Returns the most arrivals in any window. */
static uint32_t most_in_window(const GArray *arrivals_us)
{
	uint32_t most = 0;
	guint begin = 0;

	for (guint i = 0; i < arrivals_us->len; i++) {
		uint64_t at_us = g_array_index(arrivals_us, uint64_t, i);

		while (g_array_index(arrivals_us, uint64_t, begin) + WINDOW_US <= at_us)
			begin++;
		most = MAX(most, i - begin + 1);
	}
	return most;
}

static void check(const struct scene *scene, uint32_t seeds)
{
	double allowed = 1.5 * scene->limit_per_s * WINDOW_US / SECOND + 5;

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		struct world world;
		uint64_t now_us = SECOND;
		uint32_t most;
		double used;

		world_init(&world, scene, seed);
		for (uint32_t i = 0; i < world.count; i++)
			upstream_limit_hear(&world.instances[i].limit, scene->limit_per_s, now_us,
					    now_us);
		for (; now_us < SECOND + CONTACT_US + DURATION_US; now_us += STEP_US) {
			step(&world, now_us);
			if (now_us == SECOND + CONTACT_US)
				g_array_set_size(world.arrivals_us, 0);
		}
		most = most_in_window(world.arrivals_us);
		used = (double)world.arrivals_us->len / (scene->limit_per_s * DURATION_US / SECOND);
		if (most > allowed || used < 0.5) {
			printf("violation: seed %u: limit %.1f, %u instances: at most %u in a "
			       "window, "
			       "%.0f allowed; %.2f of the limit used\n",
			       seed, scene->limit_per_s, world.count, most, allowed, used);
			violated = true;
		}
		world_clear(&world);
	}
}

/* Half, twice or forty times as much is wanted as the upstream takes. */
static void check_limits(struct scene scene, uint32_t seeds)
{
	static const double limits[] = { 0.5, 1.0, 3.4, 10.0, 40.0 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		scene.limit_per_s = limits[i];
		check(&scene, seeds);
	}
}

static void test_small(void)
{
	check_limits((struct scene){ .zones = 3,
				     .members = { 3, 1, 2 },
				     .demand_per_s = { 25, 25, 25 } },
		     30);
}

/* The callers of one zone send nearly all requests. */
static void test_uneven(void)
{
	check_limits(
		(struct scene){ .zones = 3, .members = { 3, 1, 2 }, .demand_per_s = { 1, 80, 2 } },
		30);
}

static void test_alone(void)
{
	check_limits((struct scene){ .zones = 1, .members = { 1 }, .demand_per_s = { 80 } }, 30);
}

static void test_large(void)
{
	check_limits((struct scene){ .zones = 6,
				     .members = { 40, 35, 30, 30, 30, 30 },
				     .demand_per_s = { 100, 90, 80, 80, 80, 80 } },
		     2);
}

/* A limit ends with the first answer that names none; older news do not bring it back. */
static void test_ends(void)
{
	struct upstream_limit limit = { 0 };

	g_assert_true(upstream_limit_allows(&limit, SECOND));
	g_assert_false(upstream_limit_hear(&limit, -1.0, SECOND, SECOND));
	g_assert_true(upstream_limit_hear(&limit, 2.0, 2 * SECOND, 2 * SECOND));
	g_assert_false(upstream_limit_hear(&limit, 2.0, 3 * SECOND, 3 * SECOND));
	g_assert_false(upstream_limit_allows(&limit, 3 * SECOND));
	upstream_limit_set_share(&limit, 0.5, 3 * SECOND);
	g_assert_cmpfloat(upstream_limit_rate_per_s(&limit), ==, 1.0);
	g_assert_false(upstream_limit_allows(&limit, 3 * SECOND + 900 * MS));
	g_assert_true(upstream_limit_allows(&limit, 4 * SECOND));
	/* a request that could not wait delays the next */
	upstream_limit_take(&limit, 4 * SECOND);
	upstream_limit_take(&limit, 4 * SECOND);
	g_assert_false(upstream_limit_allows(&limit, 5 * SECOND + 900 * MS));
	g_assert_true(upstream_limit_allows(&limit, 6 * SECOND + MS));
	g_assert_true(upstream_limit_hear(&limit, -1.0, 7 * SECOND, 7 * SECOND));
	g_assert_true(upstream_limit_allows(&limit, 7 * SECOND));
	g_assert_false(upstream_limit_hear(&limit, 2.0, 6 * SECOND, 8 * SECOND));
	g_assert_true(upstream_limit_allows(&limit, 8 * SECOND));
}

/* An upstream that takes nothing gets a request now and then. */
static void test_zero(void)
{
	struct upstream_limit limit = { 0 };

	g_assert_true(upstream_limit_hear(&limit, 0.0, SECOND, SECOND));
	upstream_limit_set_share(&limit, 1.0, SECOND);
	g_assert_false(upstream_limit_allows(&limit, 2 * SECOND));
	g_assert_true(upstream_limit_allows(&limit, 10 * SECOND));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upstream-limit/small", test_small);
	g_test_add_func("/upstream-limit/uneven", test_uneven);
	g_test_add_func("/upstream-limit/alone", test_alone);
	g_test_add_func("/upstream-limit/large", test_large);
	g_test_add_func("/upstream-limit/ends", test_ends);
	g_test_add_func("/upstream-limit/zero", test_zero);
	return g_test_run() || violated;
}
