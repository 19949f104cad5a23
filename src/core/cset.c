#include "flamingolatch/cset.h"
#include "flamingolatch/err.h"

#include <stdlib.h>
#include <string.h>

/* Request tokens kept in a row; a repeat within so many changes is recognised. */
#define CSET_TOKENS_KEPT 32
/* A deliberate defect for the tests: request tokens are ignored. */
#ifdef FL_FAULT_NO_TOKEN
#define CSET_TOKENS_COUNT 0
#else
#define CSET_TOKENS_COUNT 1
#endif

struct cset {
	uint64_t revision;
	GHashTable *profiles; /* name to struct prof */
	json_t *snapshot;
};

/* lifetime */

static void cset_prof_free(gpointer data)
{
	prof_clear(data);
	g_free(data);
}

static GHashTable *cset_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, cset_prof_free);
}

struct cset *cset_create(void)
{
	struct cset *set = g_new0(struct cset, 1);

	set->profiles = cset_table();
	return set;
}

void cset_destroy(struct cset *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->profiles);
	json_decref(set->snapshot);
	g_free(set);
}

/* commands */

static bool cset_load_row(GHashTable *profiles, const json_t *row, GError **error)
{
	const char *name = json_string_value(json_object_get(row, "name"));
	const char *state = json_string_value(json_object_get(row, "state"));
	struct prof *prof;
	char *text;
	bool ok;

	if (!name || !state) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "a profile row has no name or state");
		return false;
	}
	if (strcmp(state, "active") != 0)
		return true;
	text = json_dumps(json_object_get(row, "spec"), JSON_COMPACT);
	prof = g_new0(struct prof, 1);
	ok = text && prof_parse(name, text, strlen(text), prof, error);
	free(text);
	if (ok)
		g_hash_table_insert(profiles, g_strdup(name), prof);
	else
		g_free(prof);
	return ok;
}

enum cset_result cset_apply(struct cset *set, const json_t *snapshot, GError **error)
{
	const json_t *revision = json_object_get(snapshot, "revision");
	const json_t *rows = json_object_get(snapshot, "profiles");
	GHashTable *profiles;

	if (!json_is_integer(revision) || !json_is_array(rows)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "the snapshot has no revision or rows");
		return CSET_INVALID;
	}
#ifndef FL_FAULT_GO_BACK
	if ((uint64_t)json_integer_value(revision) <= set->revision)
		return CSET_OLD;
#endif
	profiles = cset_table();
	for (size_t i = 0; i < json_array_size(rows); i++) {
		if (!cset_load_row(profiles, json_array_get(rows, i), error)) {
			g_hash_table_destroy(profiles);
			return CSET_INVALID;
		}
	}
	g_hash_table_destroy(set->profiles);
	json_decref(set->snapshot);
	set->profiles = profiles;
	set->snapshot = json_deep_copy(snapshot);
	set->revision = (uint64_t)json_integer_value(revision);
	return CSET_APPLIED;
}

/* queries */

uint64_t cset_revision(const struct cset *set)
{
	return set->revision;
}

const struct prof *cset_find(const struct cset *set, const char *name)
{
	return g_hash_table_lookup(set->profiles, name);
}

const json_t *cset_snapshot(const struct cset *set)
{
	return set->snapshot;
}

static bool cset_token_seen(const json_t *current, const char *token, uint64_t *generation)
{
	const json_t *tokens = json_object_get(current, "tokens");

	for (size_t i = 0; i < json_array_size(tokens); i++) {
		const json_t *item = json_array_get(tokens, i);
		const char *text = json_string_value(json_object_get(item, "token"));

		if (text && strcmp(text, token) == 0) {
			*generation =
				(uint64_t)json_integer_value(json_object_get(item, "generation"));
			return true;
		}
	}
	return false;
}

static bool cset_verb_allowed(const struct cset_change *change, const json_t *current,
			      uint64_t generation, GError **error)
{
	const char *state = json_string_value(json_object_get(current, "state"));
	bool active = state && strcmp(state, "active") == 0;
	const json_t *tokens = json_object_get(current, "tokens");
	const json_t *last = json_array_get(tokens, json_array_size(tokens) - 1);
	const char *winner = json_string_value(json_object_get(last, "token"));

	if (change->verb == CSET_PUBLISH && active) {
		g_set_error(error, ERR_DOMAIN, ERR_CONFLICT,
			    "profile %s is already published, generation %" G_GUINT64_FORMAT
			    ", by request %s",
			    change->name, generation, winner);
		return false;
	}
	if (change->verb != CSET_PUBLISH && !active) {
		g_set_error(error, ERR_DOMAIN, ERR_NOT_FOUND, "profile %s is not published",
			    change->name);
		return false;
	}
	if (change->expected_generation && change->expected_generation != generation) {
		g_set_error(error, ERR_DOMAIN, ERR_CONFLICT,
			    "profile %s is at generation %" G_GUINT64_FORMAT
			    ", not %" G_GUINT64_FORMAT ", by request %s",
			    change->name, generation, change->expected_generation, winner);
		return false;
	}
	return true;
}

static json_t *cset_tokens(const json_t *current, const char *token, uint64_t generation)
{
	json_t *tokens = json_deep_copy(json_object_get(current, "tokens"));

	if (!tokens)
		tokens = json_array();
	while (json_array_size(tokens) >= CSET_TOKENS_KEPT)
		json_array_remove(tokens, 0);
	json_array_append_new(tokens, json_pack("{s:s, s:I}", "token", token, "generation",
						(json_int_t)generation));
	return tokens;
}

bool cset_plan(const struct cset_change *change, const json_t *current, uint64_t revision,
	       json_t **row, uint64_t *generation, GError **error)
{
	uint64_t old = (uint64_t)json_integer_value(json_object_get(current, "generation"));
	json_t *spec;

	*row = NULL;
	if (cset_token_seen(current, change->token, generation) && CSET_TOKENS_COUNT)
		return true;
	if (!cset_verb_allowed(change, current, old, error))
		return false;
	if (change->verb == CSET_RETIRE)
		spec = json_deep_copy(json_object_get(current, "spec"));
	else
		spec = prof_to_json(change->prof);
	*generation = old + 1;
	*row = json_pack("{s:s, s:I, s:I, s:s, s:o, s:o}", "name", change->name, "generation",
			 (json_int_t)*generation, "revision", (json_int_t)(revision + 1), "state",
			 change->verb == CSET_RETIRE ? "retired" : "active", "spec", spec, "tokens",
			 cset_tokens(current, change->token, *generation));
	return true;
}
