/**
 * @file test_profile_config.c
 * Configuration: racing operators, lost answers, and instances that hear of
 * snapshots late and out of order. Every accepted change is kept, a loser is
 * told, a repeated request changes nothing twice, and nobody goes back.
 */
#include "flamingolatch/profile_config.h"
#include "flamingolatch/err.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OPERATORS 4
#define INSTANCES 3
#define NAMES	  2
#define RUN_US	  (60ULL * 1000 * 1000)

struct row {
	json_t *value;
	uint64_t version;
};

struct world;

/* An operator's request, repeated with its token until the answer is certain. */
struct operator_request {
	struct world *world;
	struct profile_config_change change;
	struct profile prof;
	char token[24];
	uint32_t reads;
	bool done;
	bool accepted;
	bool refused;
	uint64_t generation;
};

struct instance {
	struct profile_config *set;
	uint64_t last;
};

struct world {
	struct sched *sched;
	struct row profiles[NAMES];
	struct row revision;
	uint64_t versions;
	uint64_t revision_number;
	uint32_t commits[NAMES]; /* effective changes a profile has seen */
	struct operator_request requests[OPERATORS];
	struct instance instances[INSTANCES];
};

/* A commit on its way. */
struct commit {
	struct operator_request *request;
	json_t *row;
	uint64_t if_profile;
	uint64_t if_revision;
	uint64_t number;
	bool lose_answer;
};

static const char *const names[NAMES] = { "alpha", "beta" };

static void request_read(void *arg);

static uint32_t name_index(const struct operator_request *request)
{
	return strcmp(request->change.name, names[0]) == 0 ? 0 : 1;
}

static json_t *snapshot(const struct world *world)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < NAMES; i++) {
		if (world->profiles[i].value)
			json_array_append(rows, world->profiles[i].value);
	}
	return json_pack("{s:I, s:o}", "revision", (json_int_t)world->revision_number, "profiles",
			 rows);
}

struct letter {
	struct instance *instance;
	struct world *world;
	json_t *snapshot;
};

static void deliver(void *arg)
{
	struct letter *letter = arg;
	struct instance *instance = letter->instance;
	uint64_t before = profile_config_revision(instance->set);
	enum profile_config_result result =
		profile_config_apply(instance->set, letter->snapshot, NULL);
	uint64_t after = profile_config_revision(instance->set);

	if (result == PROFILE_CONFIG_INVALID)
		sched_violation(letter->world->sched, "a stored snapshot was refused");
	if (after < before || after < instance->last)
		sched_violation(letter->world->sched, "an instance went back from %u to %u",
				(unsigned)before, (unsigned)after);
	instance->last = after;
	json_decref(letter->snapshot);
	g_free(letter);
}

static void broadcast(struct world *world)
{
	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct letter *letter = g_new0(struct letter, 1);

		letter->instance = &world->instances[i];
		letter->world = world;
		letter->snapshot = snapshot(world);
		sched_after(world->sched, sched_rand(world->sched, 5000000), deliver, letter);
	}
}

static void commit_arrives(void *arg)
{
	struct commit *commit = arg;
	struct operator_request *request = commit->request;
	struct world *world = request->world;
	uint32_t at = name_index(request);
	bool ok = world->profiles[at].version == commit->if_profile &&
		  world->revision.version == commit->if_revision;

	if (ok) {
		world->versions++;
		json_decref(world->profiles[at].value);
		world->profiles[at].value = json_incref(commit->row);
		world->profiles[at].version = world->versions;
		world->revision.version = world->versions;
		world->revision_number = commit->number + 1;
		world->commits[at]++;
		sched_trace(world->sched, "table: %s by %s, revision %u", request->change.name,
			    request->token, (unsigned)world->revision_number);
		broadcast(world);
	}
	if (ok && !commit->lose_answer) {
		request->done = true;
		request->accepted = true;
	} else if (!request->done) {
		sched_after(world->sched, sched_rand(world->sched, 200000), request_read, request);
	}
	json_decref(commit->row);
	g_free(commit);
}

static void request_read(void *arg)
{
	struct operator_request *request = arg;
	struct world *world = request->world;
	const struct row *row = &world->profiles[name_index(request)];
	g_autoptr(GError) error = NULL;
	struct commit *commit;
	json_t *next = NULL;

	if (request->done)
		return;
	request->reads++;
	if (!profile_config_plan_change(&request->change, row->value, world->revision_number, &next,
					&request->generation, &error)) {
		sched_trace(world->sched, "%s refused: %s", request->token, error->message);
		request->done = true;
		request->refused = true;
		return;
	}
	if (!next) {
		sched_trace(world->sched, "%s had taken effect", request->token);
		request->done = true;
		request->accepted = true;
		return;
	}
	commit = g_new0(struct commit, 1);
	commit->request = request;
	commit->row = next;
	commit->if_profile = row->version;
	commit->if_revision = world->revision.version;
	commit->number = world->revision_number;
	commit->lose_answer = sched_chance(world->sched, 40);
	sched_after(world->sched, sched_rand(world->sched, 3000000), commit_arrives, commit);
}

static uint32_t tokens_in(const json_t *row, const char *token)
{
	const json_t *tokens = json_object_get(row, "tokens");
	uint32_t count = 0;

	for (size_t i = 0; i < json_array_size(tokens); i++)
		count += strcmp(json_string_value(
					json_object_get(json_array_get(tokens, i), "token")),
				token) == 0;
	return count;
}

static bool check(struct world *world)
{
	bool ok = true;

	for (uint32_t i = 0; i < OPERATORS; i++) {
		const struct operator_request *request = &world->requests[i];
		const json_t *row = world->profiles[name_index(request)].value;
		uint32_t kept = tokens_in(row, request->token);

		if (!request->done)
			ok = sched_violation(world->sched, "%s got no answer", request->token);
		if (request->accepted && kept != 1)
			ok = sched_violation(world->sched, "%s was accepted and is kept %u times",
					     request->token, kept);
		if (request->refused && kept != 0)
			ok = sched_violation(world->sched, "%s was refused and took effect",
					     request->token);
	}
	for (uint32_t i = 0; i < INSTANCES; i++) {
		if (profile_config_revision(world->instances[i].set) != world->revision_number)
			ok = sched_violation(
				world->sched, "instance %u ends at %u of %u", i,
				(unsigned)profile_config_revision(world->instances[i].set),
				(unsigned)world->revision_number);
	}
	return ok;
}

static void request_init(struct world *world, uint32_t index)
{
	struct operator_request *request = &world->requests[index];
	g_autofree char *text = NULL;

	request->world = world;
	g_snprintf(request->token, sizeof(request->token), "token-%u", index);
	request->change.verb = (enum profile_config_action)sched_rand(world->sched, 3);
	request->change.name = names[sched_rand(world->sched, NAMES)];
	request->change.token = request->token;
	request->change.expected_generation = sched_chance(world->sched, 30) ? 1 : 0;
	text = g_strdup_printf("name: %s\npriority: %u\n", request->change.name, index);
	profile_parse("test", text, strlen(text), &request->prof, NULL);
	request->change.prof = &request->prof;
	sched_after(world->sched, sched_rand(world->sched, 4000000), request_read, request);
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok;

	for (uint32_t i = 0; i < INSTANCES; i++)
		world.instances[i].set = profile_config_create();
	for (uint32_t i = 0; i < OPERATORS; i++)
		request_init(&world, i);
	sched_run(sched, RUN_US);
	ok = check(&world);
	for (uint32_t i = 0; i < OPERATORS; i++)
		profile_clear(&world.requests[i].prof);
	for (uint32_t i = 0; i < INSTANCES; i++)
		profile_config_destroy(world.instances[i].set);
	for (uint32_t i = 0; i < NAMES; i++)
		json_decref(world.profiles[i].value);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "configuration", 1500, run);
}
