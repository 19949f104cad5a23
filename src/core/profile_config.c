#include "flamingolatch/profile_config.h"
#include "flamingolatch/err.h"

#include <stdlib.h>
#include <string.h>

/* Request tokens kept in a row. A repeated change is recognized unless this many others came in
 * between. */
#define PROFILE_CONFIG_MAX_TOKEN_COUNT 32
/* Deliberate defect, which the tests have to detect: request tokens are ignored. */
#ifdef FL_FAULT_NO_TOKEN
#define PROFILE_CONFIG_CHECKS_TOKENS 0
#else
#define PROFILE_CONFIG_CHECKS_TOKENS 1
#endif

struct profile_config {
	uint64_t revision;
	GHashTable *profiles; /* name to struct profile */
	json_t *snapshot;     /* the one that was applied last; NULL before the first */
};

/* lifetime */

static void profile_config_profile_free(gpointer data)
{
	profile_clear(data);
	g_free(data);
}

static GHashTable *profile_config_profiles_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, profile_config_profile_free);
}

struct profile_config *profile_config_create(void)
{
	struct profile_config *config = g_new0(struct profile_config, 1);

	config->profiles = profile_config_profiles_new();
	return config;
}

void profile_config_destroy(struct profile_config *config)
{
	if (!config)
		return;
	g_hash_table_destroy(config->profiles);
	json_decref(config->snapshot);
	g_free(config);
}

/* snapshots */

static bool profile_config_load_row(GHashTable *profiles, const json_t *row, GError **error)
{
	const char *name = json_string_value(json_object_get(row, "name"));
	const char *state = json_string_value(json_object_get(row, "state"));
	struct profile *profile;
	char *text;
	bool ok;

	if (!name || !state) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "a profile row has no name or state");
		return false;
	}
	if (strcmp(state, "active") != 0)
		return true;
	text = json_dumps(json_object_get(row, "spec"), JSON_COMPACT);
	if (!text) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "profile \"%s\" has no spec", name);
		return false;
	}
	profile = g_new0(struct profile, 1);
	ok = profile_parse(name, text, strlen(text), profile, error);
	free(text);
	if (ok)
		g_hash_table_insert(profiles, g_strdup(name), profile);
	else
		g_free(profile);
	return ok;
}

enum profile_config_result profile_config_apply(struct profile_config *config,
						const json_t *snapshot, GError **error)
{
	const json_t *revision = json_object_get(snapshot, "revision");
	const json_t *rows = json_object_get(snapshot, "profiles");
	GHashTable *profiles;

	if (!json_is_integer(revision) || !json_is_array(rows)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "the snapshot has no revision or no profile rows");
		return PROFILE_CONFIG_INVALID;
	}
#ifndef FL_FAULT_GO_BACK
	/* Left out as a deliberate defect, which the tests have to detect. */
	if ((uint64_t)json_integer_value(revision) <= config->revision)
		return PROFILE_CONFIG_NOT_NEWER;
#endif
	profiles = profile_config_profiles_new();
	for (size_t i = 0; i < json_array_size(rows); i++) {
		if (!profile_config_load_row(profiles, json_array_get(rows, i), error)) {
			g_hash_table_destroy(profiles);
			return PROFILE_CONFIG_INVALID;
		}
	}
	g_hash_table_destroy(config->profiles);
	json_decref(config->snapshot);
	config->profiles = profiles;
	config->snapshot = json_deep_copy(snapshot);
	config->revision = (uint64_t)json_integer_value(revision);
	return PROFILE_CONFIG_APPLIED;
}

/* queries */

uint64_t profile_config_revision(const struct profile_config *config)
{
	return config->revision;
}

const struct profile *profile_config_find(const struct profile_config *config, const char *name)
{
	return g_hash_table_lookup(config->profiles, name);
}

const json_t *profile_config_snapshot(const struct profile_config *config)
{
	return config->snapshot;
}

/* planning of changes */

/* Looks up the generation that the change with a request token gave the profile. */
static bool profile_config_find_token(const json_t *current, const char *token,
				      uint64_t *generation)
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

static bool profile_config_check_action(const struct profile_config_change *change,
					const json_t *current, uint64_t generation, GError **error)
{
	const char *state = json_string_value(json_object_get(current, "state"));
	bool active = state && strcmp(state, "active") == 0;
	const json_t *tokens = json_object_get(current, "tokens");
	const json_t *last = json_array_get(tokens, json_array_size(tokens) - 1);
	const char *last_token = json_string_value(json_object_get(last, "token"));

	if (change->action == PROFILE_CONFIG_PUBLISH && active) {
		g_set_error(error, ERR_DOMAIN, ERR_CONFLICT,
			    "profile %s is already published, generation %" G_GUINT64_FORMAT
			    ", by request %s",
			    change->name, generation, last_token);
		return false;
	}
	if (change->action != PROFILE_CONFIG_PUBLISH && !active) {
		g_set_error(error, ERR_DOMAIN, ERR_NOT_FOUND, "profile %s is not published",
			    change->name);
		return false;
	}
	if (change->expected_generation && change->expected_generation != generation) {
		g_set_error(error, ERR_DOMAIN, ERR_CONFLICT,
			    "profile %s is at generation %" G_GUINT64_FORMAT
			    ", not %" G_GUINT64_FORMAT ", by request %s",
			    change->name, generation, change->expected_generation, last_token);
		return false;
	}
	return true;
}

/* Returns a copy of the row's request tokens with a new one appended; the oldest are dropped. */
static json_t *profile_config_append_token(const json_t *current, const char *token,
					   uint64_t generation)
{
	json_t *tokens = json_deep_copy(json_object_get(current, "tokens"));

	if (!tokens)
		tokens = json_array();
	while (json_array_size(tokens) >= PROFILE_CONFIG_MAX_TOKEN_COUNT)
		json_array_remove(tokens, 0);
	json_array_append_new(tokens, json_pack("{s:s, s:I}", "token", token, "generation",
						(json_int_t)generation));
	return tokens;
}

bool profile_config_plan_change(const struct profile_config_change *change, const json_t *current,
				uint64_t revision, json_t **row, uint64_t *generation,
				GError **error)
{
	uint64_t old_generation =
		(uint64_t)json_integer_value(json_object_get(current, "generation"));
	json_t *spec;

	*row = NULL;
	if (profile_config_find_token(current, change->token, generation) &&
	    PROFILE_CONFIG_CHECKS_TOKENS)
		return true;
	if (!profile_config_check_action(change, current, old_generation, error))
		return false;
	if (change->action == PROFILE_CONFIG_RETIRE)
		spec = json_deep_copy(json_object_get(current, "spec"));
	else
		spec = profile_to_json(change->profile);
	*generation = old_generation + 1;
	*row = json_pack("{s:s, s:I, s:I, s:s, s:o, s:o}", "name", change->name, "generation",
			 (json_int_t)*generation, "revision", (json_int_t)(revision + 1), "state",
			 change->action == PROFILE_CONFIG_RETIRE ? "retired" : "active", "spec",
			 spec, "tokens",
			 profile_config_append_token(current, change->token, *generation));
	return true;
}
