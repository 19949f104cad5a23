/**
 * @file test_usage_ledger.c
 * Every microsecond of an engine's time is counted exactly once.
 *
 * Observers of one engine follow each other, overlap, freeze and die, while the
 * store loses answers and applies commits late. After each commit the parts
 * must add up to the interval of the row. At the end no owner may be charged
 * more than the engine really worked or idled for it, apart from the error of
 * sampling.
 */
#include "flamingolatch/usage_ledger.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define OBSERVER_COUNT	    3
#define OBSERVE_INTERVAL_US 500000
#define WRITE_INTERVAL_US   10000000
#define RUN_TIME_US	    (200ULL * 1000 * 1000)
#define WALL_START_US	    1000000000ULL

static const char *const owners[] = { "desk", "claims", "host" };

struct world;

struct observer {
	struct world *world;
	struct usage_ledger *ledger;
	uint32_t index;
	uint64_t active_from_us;
	uint64_t active_until_us;
	uint64_t frozen_until_us;
	bool commit_pending;
};

struct world {
	struct sched *sched;
	json_t *row;
	uint64_t version;
	uint64_t state_since_us; /* start of the engine's present state */
	uint64_t true_us[2][3];	 /* busy and idle, by owner */
	uint32_t busy_owner;
	bool busy;
	struct observer observers[OBSERVER_COUNT];
};

struct commit {
	struct observer *observer;
	json_t *row;
	uint64_t if_version;
	bool send_reply;
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

/* The engine works for one owner at a time; its idle time is charged to its host. */
static void change_engine_state(void *arg)
{
	struct world *world = arg;

	world->true_us[world->busy ? 0 : 1][world->busy ? world->busy_owner : 2] +=
		now(world) - world->state_since_us;
	world->state_since_us = now(world);
	world->busy = sched_chance(world->sched, 60);
	world->busy_owner = sched_rand(world->sched, 2);
	if (now(world) < RUN_TIME_US)
		sched_after(world->sched, 1000000 + sched_rand(world->sched, 20000000),
			    change_engine_state, world);
}

static bool is_active(const struct observer *observer)
{
	uint64_t time = now(observer->world);

	return time >= observer->active_from_us && time < observer->active_until_us &&
	       time >= observer->frozen_until_us;
}

static void observe(void *arg)
{
	struct observer *observer = arg;
	struct world *world = observer->world;
	struct usage_ledger_share share = { owners[world->busy ? world->busy_owner : 2], 7 };

	if (now(world) > RUN_TIME_US)
		return;
	if (is_active(observer))
		usage_ledger_observe(observer->ledger, WALL_START_US + now(world), &share, 1,
				     world->busy);
	sched_after(world->sched, OBSERVE_INTERVAL_US, observe, observer);
}

static void on_committed(void *arg)
{
	struct observer *observer = arg;

	usage_ledger_on_written(observer->ledger);
	observer->commit_pending = false;
}

static void on_no_result(void *arg)
{
	((struct observer *)arg)->commit_pending = false;
}

static void apply_commit(void *arg)
{
	struct commit *commit = arg;
	struct world *world = commit->observer->world;

	if (commit->if_version == world->version) {
		uint64_t before =
			(uint64_t)json_integer_value(json_object_get(world->row, "until_us"));
		uint64_t after =
			(uint64_t)json_integer_value(json_object_get(commit->row, "until_us"));

		if (after < before)
			sched_violation(world->sched, "the end of the row decreased");
		if (!usage_ledger_is_balanced(commit->row))
			sched_violation(world->sched,
					"the parts do not add up to the interval of the row");
		json_decref(world->row);
		world->row = json_incref(commit->row);
		world->version++;
		if (commit->send_reply)
			sched_after(world->sched, 1000, on_committed, commit->observer);
	} else if (commit->send_reply) {
		sched_after(world->sched, 1000, on_no_result, commit->observer);
	}
	json_decref(commit->row);
	g_free(commit);
}

static void write_row(void *arg)
{
	struct observer *observer = arg;
	struct world *world = observer->world;
	struct commit *commit;
	json_t *row;
	bool lost = sched_chance(world->sched, 30);

	if (now(world) > RUN_TIME_US)
		return;
	sched_after(world->sched,
		    WRITE_INTERVAL_US / 2 + sched_rand(world->sched, WRITE_INTERVAL_US), write_row,
		    observer);
	if (observer->commit_pending || !is_active(observer))
		return;
	row = usage_ledger_merge(observer->ledger, world->row);
	if (!row)
		return;
	commit = g_new0(struct commit, 1);
	commit->observer = observer;
	commit->row = row;
	commit->if_version = world->version;
	commit->send_reply = !lost;
	observer->commit_pending = true;
	sched_after(world->sched, lost ? sched_rand(world->sched, 3000000) : 2000, apply_commit,
		    commit);
	if (lost)
		sched_after(world->sched, 1000000, on_no_result, observer);
}

static uint64_t charged(const struct world *world, const char *kind, const char *owner)
{
	return (uint64_t)json_integer_value(
		json_object_get(json_object_get(world->row, kind), owner));
}

static bool check(struct world *world)
{
	bool ok = true;

	for (uint32_t i = 0; i < 3; i++) {
		/* Each change is seen within one observation interval; there are at most 200. */
		uint64_t slack_us = 200 * (uint64_t)OBSERVE_INTERVAL_US;

		if (charged(world, "busy_us", owners[i]) > world->true_us[0][i] + slack_us ||
		    charged(world, "idle_us", owners[i]) > world->true_us[1][i] + slack_us)
			ok = sched_violation(world->sched, "%s is charged too much time",
					     owners[i]);
	}
	return ok;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok;

	for (uint32_t i = 0; i < OBSERVER_COUNT; i++) {
		struct observer *observer = &world.observers[i];
		g_autofree char *token = g_strdup_printf("accountant-%u", i);

		observer->world = &world;
		observer->index = i;
		observer->ledger = usage_ledger_create(token);
		observer->active_from_us = sched_rand(sched, (uint32_t)(RUN_TIME_US / 2));
		observer->active_until_us =
			observer->active_from_us + sched_rand(sched, (uint32_t)RUN_TIME_US);
		if (sched_chance(sched, 30))
			observer->frozen_until_us = sched_rand(sched, (uint32_t)RUN_TIME_US);
		sched_after(sched, sched_rand(sched, OBSERVE_INTERVAL_US), observe, observer);
		sched_after(sched, sched_rand(sched, WRITE_INTERVAL_US), write_row, observer);
	}
	change_engine_state(&world);
	sched_run(sched, UINT64_MAX);
	ok = check(&world);
	for (uint32_t i = 0; i < OBSERVER_COUNT; i++)
		usage_ledger_destroy(world.observers[i].ledger);
	json_decref(world.row);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "ledger", 500, run);
}
