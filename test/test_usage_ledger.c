/**
 * @file test_usage_ledger.c
 * Every microsecond of an engine's time is counted once.
 *
 * Accountants of one engine take turns, overlap, freeze and die, against a
 * table that loses answers and applies commits late. After each commit the
 * parts must add up to the span, and no owner may be charged for more than
 * what really was, but for the sampling of the observations.
 */
#include "flamingolatch/usage_ledger.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define ACCOUNTANTS  3
#define OBSERVE_US   500000
#define WRITE_US     10000000
#define RUN_US	     (200ULL * 1000 * 1000)
#define WALL_FROM_US 1000000000ULL

static const char *const owners[] = { "desk", "claims", "host" };

struct world;

struct accountant {
	struct world *world;
	struct usage_ledger *ledger;
	uint32_t index;
	uint64_t active_from_us;
	uint64_t active_until_us;
	uint64_t frozen_until_us;
	bool asking;
};

struct world {
	struct sched *sched;
	json_t *row;
	uint64_t version;
	uint64_t since_us;	/* since when the engine is in its present state */
	uint64_t true_us[2][3]; /* busy and idle, by owner */
	uint32_t busy_owner;
	bool busy;
	struct accountant accountants[ACCOUNTANTS];
};

struct commit {
	struct accountant *accountant;
	json_t *row;
	uint64_t if_version;
	bool answer;
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

/* The engine works for one owner at a time, or idles for its host. */
static void engine_changes(void *arg)
{
	struct world *world = arg;

	world->true_us[world->busy ? 0 : 1][world->busy ? world->busy_owner : 2] +=
		now(world) - world->since_us;
	world->since_us = now(world);
	world->busy = sched_chance(world->sched, 60);
	world->busy_owner = sched_rand(world->sched, 2);
	if (now(world) < RUN_US)
		sched_after(world->sched, 1000000 + sched_rand(world->sched, 20000000),
			    engine_changes, world);
}

static bool is_active(const struct accountant *accountant)
{
	uint64_t time = now(accountant->world);

	return time >= accountant->active_from_us && time < accountant->active_until_us &&
	       time >= accountant->frozen_until_us;
}

static void observe(void *arg)
{
	struct accountant *accountant = arg;
	struct world *world = accountant->world;
	struct usage_ledger_share share = { owners[world->busy ? world->busy_owner : 2], 7 };

	if (now(world) > RUN_US)
		return;
	if (is_active(accountant))
		usage_ledger_observe(accountant->ledger, WALL_FROM_US + now(world), &share, 1,
				     world->busy);
	sched_after(world->sched, OBSERVE_US, observe, accountant);
}

static void answer(void *arg)
{
	struct accountant *accountant = arg;

	usage_ledger_on_written(accountant->ledger);
	accountant->asking = false;
}

static void forget(void *arg)
{
	((struct accountant *)arg)->asking = false;
}

static void arrives(void *arg)
{
	struct commit *commit = arg;
	struct world *world = commit->accountant->world;

	if (commit->if_version == world->version) {
		uint64_t before =
			(uint64_t)json_integer_value(json_object_get(world->row, "until_us"));
		uint64_t after =
			(uint64_t)json_integer_value(json_object_get(commit->row, "until_us"));

		if (after < before)
			sched_violation(world->sched, "the row's end went back");
		if (!usage_ledger_is_balanced(commit->row))
			sched_violation(world->sched, "the parts do not add up to the span");
		json_decref(world->row);
		world->row = json_incref(commit->row);
		world->version++;
		if (commit->answer)
			sched_after(world->sched, 1000, answer, commit->accountant);
	} else if (commit->answer) {
		sched_after(world->sched, 1000, forget, commit->accountant);
	}
	json_decref(commit->row);
	g_free(commit);
}

static void write_row(void *arg)
{
	struct accountant *accountant = arg;
	struct world *world = accountant->world;
	struct commit *commit;
	json_t *row;
	bool lost = sched_chance(world->sched, 30);

	if (now(world) > RUN_US)
		return;
	sched_after(world->sched, WRITE_US / 2 + sched_rand(world->sched, WRITE_US), write_row,
		    accountant);
	if (accountant->asking || !is_active(accountant))
		return;
	row = usage_ledger_merge(accountant->ledger, world->row);
	if (!row)
		return;
	commit = g_new0(struct commit, 1);
	commit->accountant = accountant;
	commit->row = row;
	commit->if_version = world->version;
	commit->answer = !lost;
	accountant->asking = true;
	sched_after(world->sched, lost ? sched_rand(world->sched, 3000000) : 2000, arrives, commit);
	if (lost)
		sched_after(world->sched, 1000000, forget, accountant);
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
		/* A change is seen within one observation, and there are at most 200. */
		uint64_t slack_us = 200 * (uint64_t)OBSERVE_US;

		if (charged(world, "busy_us", owners[i]) > world->true_us[0][i] + slack_us ||
		    charged(world, "idle_us", owners[i]) > world->true_us[1][i] + slack_us)
			ok = sched_violation(world->sched, "%s is charged too much", owners[i]);
	}
	return ok;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok;

	for (uint32_t i = 0; i < ACCOUNTANTS; i++) {
		struct accountant *accountant = &world.accountants[i];
		g_autofree char *token = g_strdup_printf("accountant-%u", i);

		accountant->world = &world;
		accountant->index = i;
		accountant->ledger = usage_ledger_create(token);
		accountant->active_from_us = sched_rand(sched, (uint32_t)(RUN_US / 2));
		accountant->active_until_us =
			accountant->active_from_us + sched_rand(sched, (uint32_t)RUN_US);
		if (sched_chance(sched, 30))
			accountant->frozen_until_us = sched_rand(sched, (uint32_t)RUN_US);
		sched_after(sched, sched_rand(sched, OBSERVE_US), observe, accountant);
		sched_after(sched, sched_rand(sched, WRITE_US), write_row, accountant);
	}
	engine_changes(&world);
	sched_run(sched, UINT64_MAX);
	ok = check(&world);
	for (uint32_t i = 0; i < ACCOUNTANTS; i++)
		usage_ledger_destroy(world.accountants[i].ledger);
	json_decref(world.row);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "ledger", 500, run);
}
