/**
 * @file test_warm_up.c
 * The limit of a cold upstream and the ramp-up after it, in virtual time: instances
 * that learn late of the upstream and of one another, that have just started, that
 * freeze, or that hold the upstream for warm, send all they may. Each run is played
 * beside one in which everybody sends, which must break the bound, or the run would
 * prove nothing.
 */
#include "flamingolatch/warm_up.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define MS	      1000ULL
#define SECOND	      (1000 * MS)
#define STEP_US	      (1 * MS)
#define UPDATE_US     (50 * MS)
#define BEGIN_US      (10 * SECOND) /* the upstream starts or returns */
#define LAG_MAX_US    SECOND	    /* of what an instance knows */
#define DELAY_MAX_US  (30 * MS)	    /* of a request on its way, between regions */
#define WINDOW_US     SECOND
#define MAX_INSTANCES 195
#define MAX_ZONES     6
#define SEEDS	      20

/* How instances learn of the upstream. */
enum news {
	NEWS_ENTRY,	 /* it is new; its entry says how long it is cold */
	NEWS_START_ONLY, /* it is new; its entry says when it started and that it is not cold */
	NEWS_UNDATED,	 /* it is new; its entry says neither */
	NEWS_RETURN	 /* it is known, may be sent to again, and is held for warm until later */
};

struct scene {
	const char *name;
	enum news news;
	uint32_t instances;
	uint32_t zones;
	uint32_t joining; /* of the instances, within the second before and after */
	uint32_t frozen;  /* of the instances, for a time */
	double cold_per_s;
	uint32_t cold_ms;
	double demand_per_s; /* of all instances */
};

struct instance {
	char name[24];
	uint32_t zone;
	double demand_per_s;
	uint64_t joined_us;
	uint64_t knows_us;     /* when it knows the upstream */
	uint64_t entry_us;     /* when it has an entry that says how long it is cold */
	uint64_t table_lag_us; /* of its view of the other instances */
	uint64_t frozen_from_us;
	uint64_t frozen_until_us;
	struct warm_up limit;
};

struct world {
	const struct scene *scene;
	GRand *rand;
	struct instance instances[MAX_INSTANCES];
	uint32_t upstream_key;
	bool naive;
	GArray *arrivals_us; /* uint64_t, while it is cold */
	uint32_t sent;
};

static bool violated;

static uint64_t random_us(struct world *world, uint64_t max_us)
{
	return (uint64_t)(g_rand_double(world->rand) * (double)max_us);
}

static void world_init(struct world *world, const struct scene *scene, uint32_t seed, bool naive)
{
	struct warm_up_terms terms = { .cold_per_s = scene->cold_per_s,
				       .overage = 1.5,
				       .slack = 5,
				       .cold_start_ms = scene->cold_ms };

	memset(world, 0, sizeof(*world));
	world->scene = scene;
	world->naive = naive;
	world->rand = g_rand_new_with_seed(seed);
	world->upstream_key = g_rand_int(world->rand);
	world->arrivals_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (uint32_t i = 0; i < scene->instances; i++) {
		struct instance *instance = &world->instances[i];

		g_snprintf(instance->name, sizeof(instance->name), "10.%u.0.%u:1", i % scene->zones,
			   i);
		instance->zone = i % scene->zones;
		instance->demand_per_s = scene->demand_per_s / scene->instances *
					 g_rand_double_range(world->rand, 0.3, 1.7);
		instance->joined_us = 1;
		if (i < scene->joining)
			instance->joined_us =
				BEGIN_US - LAG_MAX_US + random_us(world, 2 * LAG_MAX_US);
		instance->knows_us =
			MAX(BEGIN_US + random_us(world, LAG_MAX_US), instance->joined_us);
		instance->entry_us = instance->knows_us;
		if (scene->news == NEWS_RETURN)
			instance->entry_us += random_us(world, LAG_MAX_US);
		instance->table_lag_us = random_us(world, LAG_MAX_US);
		if (i % 7 < scene->frozen) {
			instance->frozen_from_us = BEGIN_US + random_us(world, SECOND);
			instance->frozen_until_us =
				instance->frozen_from_us + random_us(world, 2 * SECOND);
		}
		warm_up_set_terms(&instance->limit, &terms);
	}
}

static void world_clear(struct world *world)
{
	g_array_free(world->arrivals_us, TRUE);
	g_rand_free(world->rand);
}

/* What an instance learns at the time at which it does. */
static void learn(const struct world *world, struct instance *instance, uint64_t now_us)
{
	const struct scene *scene = world->scene;
	uint64_t age_us = now_us - BEGIN_US;
	uint64_t cold_us = scene->cold_ms * MS;
	uint32_t left_ms = age_us < cold_us ? (uint32_t)((cold_us - age_us) / MS) : 0;

	if (scene->news == NEWS_RETURN) {
		if (now_us == instance->knows_us) {
			warm_up_appear(&instance->limit, 3600 * 1000, now_us);
			warm_up_return(&instance->limit, now_us);
		}
		if (now_us == instance->entry_us)
			warm_up_hear(&instance->limit, left_ms, now_us);
		return;
	}
	warm_up_appear(&instance->limit, scene->news == NEWS_UNDATED ? 0 : MAX(age_us / MS, 1),
		       now_us);
	warm_up_hear(&instance->limit, scene->news == NEWS_ENTRY ? left_ms : 0, now_us);
}

/* Sets the part by the instances whose rows this one knows: those that joined some time ago. */
static void update_part(struct world *world, uint32_t index, uint64_t now_us)
{
	struct instance *instance = &world->instances[index];
	struct warm_up_member members[MAX_INSTANCES];
	struct warm_up_view view = { .members = members, .upstream_key = world->upstream_key };
	uint64_t table_us = now_us - instance->table_lag_us;

	/* One that has just started has not read the table. */
	if (now_us >= instance->joined_us + instance->table_lag_us)
		view.known_us = instance->joined_us + instance->table_lag_us;
	for (uint32_t i = 0; i < world->scene->instances; i++) {
		if (i != index && world->instances[i].joined_us > table_us)
			continue;
		if (i == index)
			view.own = view.count;
		members[view.count++] = (struct warm_up_member){ world->instances[i].name,
								 world->instances[i].zone == 0 };
	}
	warm_up_set_part(&instance->limit, warm_up_senders(&instance->limit, &view, now_us),
			 now_us);
}

static void step_instance(struct world *world, uint32_t index, uint64_t now_us)
{
	struct instance *instance = &world->instances[index];
	uint64_t arrival_us = now_us + random_us(world, DELAY_MAX_US);
	/* Callers wait while an instance is frozen, and are all served after it. */
	uint32_t requests = g_rand_double(world->rand) < instance->demand_per_s * STEP_US / SECOND;

	if (now_us < instance->knows_us)
		return;
	if (now_us == instance->knows_us || now_us == instance->entry_us)
		learn(world, instance, now_us);
	if (now_us > instance->frozen_from_us && now_us < instance->frozen_until_us)
		return;
	if (now_us == instance->frozen_until_us)
		requests = (uint32_t)(instance->demand_per_s *
				      (double)(now_us - instance->frozen_from_us) / SECOND);
	if (now_us % UPDATE_US == 0)
		update_part(world, index, now_us);
	/* It looks empty, so every request would go there. */
	for (; requests > 0; requests--) {
		if (!world->naive && !warm_up_allows(&instance->limit, now_us))
			continue;
		warm_up_take(&instance->limit, now_us);
		world->sent++;
		if (arrival_us < BEGIN_US + world->scene->cold_ms * MS)
			g_array_append_val(world->arrivals_us, arrival_us);
	}
}

static gint compare_us(gconstpointer a, gconstpointer b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return (left > right) - (left < right);
}

static uint32_t most_in_window(GArray *arrivals_us)
{
	uint32_t most = 0;
	guint begin = 0;

	g_array_sort(arrivals_us, compare_us);
	for (guint i = 0; i < arrivals_us->len; i++) {
		while (g_array_index(arrivals_us, uint64_t, begin) + WINDOW_US <=
		       g_array_index(arrivals_us, uint64_t, i))
			begin++;
		most = MAX(most, i - begin + 1);
	}
	return most;
}

struct outcome {
	uint32_t most; /* arrivals in a second */
	uint32_t total;
};

static struct outcome play(const struct scene *scene, uint32_t seed, bool naive)
{
	struct world *world = g_new(struct world, 1);
	struct outcome outcome;

	world_init(world, scene, seed, naive);
	for (uint32_t i = 0; i < scene->instances; i++) {
		struct instance *instance = &world->instances[i];

		instance->knows_us -= instance->knows_us % STEP_US;
		instance->entry_us -= instance->entry_us % STEP_US;
		instance->frozen_from_us -= instance->frozen_from_us % STEP_US;
		instance->frozen_until_us -= instance->frozen_until_us % STEP_US;
	}
	for (uint64_t now_us = BEGIN_US - BEGIN_US % STEP_US;
	     now_us < BEGIN_US + scene->cold_ms * MS; now_us += STEP_US) {
		for (uint32_t i = 0; i < scene->instances; i++) {
			/* Demand moves by a fifth each second. */
			if (now_us % SECOND == 0)
				world->instances[i].demand_per_s *=
					g_rand_double_range(world->rand, 0.8, 1.25);
			step_instance(world, i, now_us);
		}
	}
	outcome.most = most_in_window(world->arrivals_us);
	outcome.total = world->arrivals_us->len;
	world_clear(world);
	g_free(world);
	return outcome;
}

static const struct scene scenes[] = {
	{ "one", NEWS_ENTRY, 1, 1, 0, 0, 22, 1000, 200 },
	{ "three", NEWS_ENTRY, 3, 2, 0, 0, 22, 1000, 200 },
	{ "ten", NEWS_ENTRY, 10, 3, 0, 0, 22, 3000, 300 },
	{ "assistant", NEWS_ENTRY, 66, 6, 0, 0, 22, 1000, 193 },
	{ "start-only", NEWS_START_ONLY, 66, 6, 0, 0, 22, 1000, 400 },
	{ "undated", NEWS_UNDATED, 66, 6, 0, 0, 22, 1000, 400 },
	{ "return", NEWS_RETURN, 66, 6, 0, 0, 22, 1000, 400 },
	{ "joining", NEWS_ENTRY, 66, 6, 6, 0, 22, 1000, 400 },
	{ "joining-all", NEWS_ENTRY, 12, 6, 12, 0, 22, 3000, 400 },
	{ "frozen", NEWS_RETURN, 59, 6, 3, 2, 22, 3000, 400 },
	{ "many", NEWS_ENTRY, 195, 6, 10, 1, 22, 3000, 1000 },
	{ "small", NEWS_ENTRY, 195, 6, 0, 1, 2, 3000, 400 },
	{ "large", NEWS_RETURN, 195, 6, 10, 0, 100, 3000, 3000 },
};

/* Guards against more arrivals at a cold upstream in a second than its service tolerates. */
static void test_bound(void)
{
	for (size_t s = 0; s < G_N_ELEMENTS(scenes); s++) {
		const struct scene *scene = &scenes[s];
		uint32_t seeds = scene->instances > 100 ? 4 : SEEDS;
		double bound = scene->cold_per_s * 1.5 + 5;
		uint32_t worst = 0;
		uint32_t naive = 0;
		uint64_t total = 0;

		for (uint32_t seed = 1; seed <= seeds; seed++) {
			struct outcome limited = play(scene, seed, false);
			struct outcome all = play(scene, seed, true);

			worst = MAX(worst, limited.most);
			naive = MAX(naive, all.most);
			total += limited.total;
			if (limited.most > bound) {
				violated = true;
				printf("violation: seed %u, %s: %u in a second, %.0f allowed\n",
				       seed, scene->name, limited.most, bound);
			}
		}
		printf("# %s: %u in a second at most, %.0f allowed; everybody sends: %u; "
		       "used %.2f of the rate\n",
		       scene->name, worst, bound, naive,
		       (double)total / seeds / (scene->cold_per_s * scene->cold_ms / 1000.0));
		g_assert_cmpuint(naive, >, (uint32_t)bound);
	}
	g_assert_false(violated);
}

/* Placement of calls by least load while a zone returns, with loads known late. */
#define RAMP_UPSTREAMS	  30
#define RAMP_ZONES	  6
#define RAMP_INSTANCES	  66
#define RAMP_DEMAND_PER_S 900.0
#define RAMP_WORK_US	  (400 * MS)
#define RAMP_VIEW_US	  (100 * MS) /* age of what is known of the load */
#define RAMP_DRAWS	  4	     /* upstreams that a request compares */
#define RAMP_BEGIN_US	  (12 * SECOND)
#define RAMP_END_US	  (16 * SECOND)
#define RAMP_SLICE_US	  (200 * MS)

struct ramp {
	GRand *rand;
	struct warm_up limits[RAMP_INSTANCES][RAMP_UPSTREAMS];
	uint32_t open[RAMP_UPSTREAMS];
	uint32_t seen[RAMP_UPSTREAMS]; /* open, as known */
	uint32_t sent[RAMP_UPSTREAMS]; /* in this slice */
	GQueue ends;		       /* struct ramp_call, in the order of their end */
	bool naive;
	double returned_last; /* part of a fair share that the zone gets in the last second */
	double returned_most; /* the same: in any slice */
	double others_least;  /* the same: of the others in any slice */
};

struct ramp_call {
	uint64_t end_us;
	uint32_t upstream;
};

static void ramp_update(struct ramp *ramp, uint64_t now_us)
{
	struct warm_up_member members[RAMP_INSTANCES];
	static char names[RAMP_INSTANCES][16];

	for (uint32_t i = 0; i < RAMP_INSTANCES; i++) {
		g_snprintf(names[i], sizeof(names[i]), "10.0.0.%u:1", i);
		members[i] = (struct warm_up_member){ names[i], i % RAMP_ZONES == 0 };
	}
	for (uint32_t i = 0; i < RAMP_INSTANCES; i++) {
		for (uint32_t u = 0; u < RAMP_UPSTREAMS; u += RAMP_ZONES) {
			struct warm_up_view view = { members, RAMP_INSTANCES, i, u + 1, 1 };

			warm_up_set_part(&ramp->limits[i][u],
					 warm_up_senders(&ramp->limits[i][u], &view, now_us),
					 now_us);
		}
	}
}

/* Sends a request to the one of a few allowed upstreams that is known to have the least open. */
static void ramp_send(struct ramp *ramp, uint64_t now_us)
{
	uint32_t instance = (uint32_t)g_rand_int_range(ramp->rand, 0, RAMP_INSTANCES);
	uint32_t best = RAMP_UPSTREAMS;
	struct ramp_call *call = g_new(struct ramp_call, 1);

	for (uint32_t drawn = 0; drawn < RAMP_DRAWS;) {
		uint32_t u = (uint32_t)g_rand_int_range(ramp->rand, 0, RAMP_UPSTREAMS);
		bool away = now_us < RAMP_BEGIN_US && u % RAMP_ZONES == 0;

		if (away || (!ramp->naive && !warm_up_allows(&ramp->limits[instance][u], now_us)))
			continue;
		drawn++;
		if (best == RAMP_UPSTREAMS || ramp->seen[u] < ramp->seen[best])
			best = u;
	}
	warm_up_take(&ramp->limits[instance][best], now_us);
	ramp->open[best]++;
	ramp->sent[best]++;
	*call = (struct ramp_call){ now_us + RAMP_WORK_US, best };
	g_queue_push_tail(&ramp->ends, call);
}

/* Compares what the zone and the others got in a slice with a fair part. */
static void ramp_measure(struct ramp *ramp, uint64_t now_us)
{
	double fair = RAMP_DEMAND_PER_S * RAMP_SLICE_US / SECOND / RAMP_ZONES;
	double zone = 0.0;
	double others = 0.0;

	for (uint32_t u = 0; u < RAMP_UPSTREAMS; u++) {
		*(u % RAMP_ZONES == 0 ? &zone : &others) += ramp->sent[u];
		ramp->sent[u] = 0;
	}
	if (now_us <= RAMP_BEGIN_US)
		return;
	ramp->returned_most = MAX(ramp->returned_most, zone / fair);
	ramp->others_least = MIN(ramp->others_least, others / fair / (RAMP_ZONES - 1));
	if (now_us > RAMP_END_US - SECOND)
		ramp->returned_last += zone / fair * RAMP_SLICE_US / SECOND;
}

static void ramp_play(struct ramp *ramp, uint32_t seed, bool naive)
{
	struct warm_up_terms terms = { 22, 1.5, 5, 1000 };
	struct ramp_call *call;

	*ramp = (struct ramp){ .naive = naive, .others_least = 1e9 };
	ramp->rand = g_rand_new_with_seed(seed);
	for (uint32_t i = 0; i < RAMP_INSTANCES; i++) {
		for (uint32_t u = 0; u < RAMP_UPSTREAMS; u++) {
			warm_up_set_terms(&ramp->limits[i][u], &terms);
			warm_up_appear(&ramp->limits[i][u], 3600 * 1000, BEGIN_US);
		}
	}
	for (uint64_t now_us = BEGIN_US; now_us <= RAMP_END_US; now_us += STEP_US) {
		while ((call = g_queue_peek_head(&ramp->ends)) && call->end_us <= now_us) {
			ramp->open[call->upstream]--;
			g_free(g_queue_pop_head(&ramp->ends));
		}
		for (uint32_t i = 0; i < RAMP_INSTANCES && now_us == RAMP_BEGIN_US; i++) {
			for (uint32_t u = 0; u < RAMP_UPSTREAMS; u += RAMP_ZONES)
				warm_up_return(&ramp->limits[i][u], now_us);
		}
		if (now_us % RAMP_VIEW_US == 0)
			memcpy(ramp->seen, ramp->open, sizeof(ramp->seen));
		if (now_us % UPDATE_US == 0)
			ramp_update(ramp, now_us);
		if (now_us % RAMP_SLICE_US == 0)
			ramp_measure(ramp, now_us);
		if (g_rand_double(ramp->rand) < RAMP_DEMAND_PER_S * STEP_US / SECOND)
			ramp_send(ramp, now_us);
	}
	g_queue_clear_full(&ramp->ends, g_free);
	g_rand_free(ramp->rand);
}

/* Guards against a returning zone that draws the load away from the others, or stays empty. */
static void test_returning_zone(void)
{
	struct ramp *limited = g_new(struct ramp, 1);
	struct ramp *all = g_new(struct ramp, 1);

	for (uint32_t seed = 1; seed <= 5; seed++) {
		ramp_play(limited, seed, false);
		ramp_play(all, seed, true);
		printf("# seed %u: the zone gets at most %.2f of its part (everybody sends: %.2f), "
		       "%.2f in the last second; the others %.2f (%.2f) at least\n",
		       seed, limited->returned_most, all->returned_most, limited->returned_last,
		       limited->others_least, all->others_least);
		g_assert_cmpfloat(limited->returned_most, <, all->returned_most);
		g_assert_cmpfloat(limited->others_least, >, all->others_least);
		g_assert_cmpfloat(limited->others_least, >, 0.75);
		g_assert_cmpfloat(limited->returned_last, >, 0.7);
	}
	g_free(limited);
	g_free(all);
}

/* Guards against a cold time that ends too early, does not end, or begins again by itself. */
static void test_phases(void)
{
	struct warm_up_terms terms = { 22, 1.5, 5, 1000 };
	struct warm_up limit = { 0 };
	struct warm_up_member self = { "a:1", true };
	struct warm_up_view view = { &self, 1, 0, 7, 1 };
	uint64_t now_us = BEGIN_US;

	/* without terms: no limit, and nothing to pass on */
	warm_up_appear(&limit, 0, now_us);
	warm_up_hear(&limit, 900, now_us);
	g_assert_cmpint((int)warm_up_phase(&limit, now_us), ==, WARM_UP_WARM);
	g_assert_true(warm_up_allows(&limit, now_us));
	g_assert_true(warm_up_confirms(&limit, 0, now_us));
	g_assert_cmpuint(warm_up_cold_ms(&limit, now_us), ==, 0);
	/* the configuration came after the list */
	warm_up_set_terms(&limit, &terms);
	g_assert_true(warm_up_note(&limit, now_us));
	g_assert_cmpuint(warm_up_cold_ms(&limit, now_us), ==, 1000);
	g_assert_false(warm_up_allows(&limit, now_us));
	warm_up_set_part(&limit, warm_up_senders(&limit, &view, now_us), now_us);
	g_assert_true(warm_up_allows(&limit, now_us));
	g_assert_cmpfloat(warm_up_rate_per_s(&limit, now_us), ==, 22.0);
	/* an entry that says otherwise does not shorten the time after the start */
	g_assert_true(warm_up_confirms(&limit, 800, now_us + 100 * MS));
	g_assert_false(warm_up_confirms(&limit, 0, now_us + 100 * MS));
	warm_up_hear(&limit, 0, now_us + 100 * MS);
	g_assert_cmpuint(warm_up_cold_ms(&limit, now_us + 100 * MS), ==, 900);
	/* the limit doubles four times a second, and ends */
	now_us += SECOND;
	g_assert_cmpint((int)warm_up_phase(&limit, now_us), ==, WARM_UP_RAMP);
	g_assert_cmpfloat_with_epsilon(warm_up_limit_per_s(&limit, now_us + 250 * MS), 44.0, 0.01);
	g_assert_cmpfloat_with_epsilon(warm_up_limit_per_s(&limit, now_us + SECOND), 352.0, 0.1);
	now_us += 1500 * MS;
	g_assert_cmpint((int)warm_up_phase(&limit, now_us), ==, WARM_UP_WARM);
	g_assert_cmpfloat(warm_up_limit_per_s(&limit, now_us), <, 0.0);
	/* entries that go on to say that it is warm change nothing */
	g_assert_true(warm_up_confirms(&limit, 0, now_us));
	warm_up_hear(&limit, 0, now_us);
	g_assert_cmpint((int)warm_up_phase(&limit, now_us), ==, WARM_UP_WARM);
	/* it turns cold again; an answer prolongs that, an older one does not shorten it */
	warm_up_hear_answer(&limit, 400, now_us);
	g_assert_cmpuint(warm_up_cold_ms(&limit, now_us), ==, 400);
	warm_up_hear(&limit, 700, now_us);
	warm_up_hear_answer(&limit, 300, now_us);
	g_assert_cmpuint(warm_up_cold_ms(&limit, now_us), ==, 700);
	g_assert_false(warm_up_allows(&limit, now_us));
	/* an entry ends it */
	warm_up_hear(&limit, 0, now_us + 200 * MS);
	g_assert_cmpint((int)warm_up_phase(&limit, now_us + 200 * MS), ==, WARM_UP_RAMP);
}

/* Guards against contradicting news, each of which would allow what was saved up once more. */
static void test_contradiction(void)
{
	struct warm_up_terms terms = { 22, 1.5, 5, 1000 };
	struct warm_up limit = { 0 };
	struct warm_up_member self = { "a:1", true };
	struct warm_up_view view = { &self, 1, 0, 7, 1 };
	uint32_t sent = 0;

	warm_up_set_terms(&limit, &terms);
	warm_up_appear(&limit, 3600 * 1000, BEGIN_US);
	for (uint64_t now_us = BEGIN_US; now_us < BEGIN_US + SECOND; now_us += STEP_US) {
		if (now_us % (20 * MS) == 0) {
			warm_up_hear(&limit, 0, now_us);
			warm_up_hear_answer(&limit, 1500, now_us);
			warm_up_set_part(&limit, warm_up_senders(&limit, &view, now_us), now_us);
		}
		if (!warm_up_allows(&limit, now_us))
			continue;
		warm_up_take(&limit, now_us);
		sent++;
	}
	g_assert_cmpuint(sent, <=, 38);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The run with a defect has to report it, not to abort. */
	g_test_set_nonfatal_assertions();
	g_test_add_func("/warm-up/bound", test_bound);
	g_test_add_func("/warm-up/phases", test_phases);
	g_test_add_func("/warm-up/contradiction", test_contradiction);
	g_test_add_func("/warm-up/returning-zone", test_returning_zone);
	return g_test_run();
}
