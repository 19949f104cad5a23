/**
 * @file profile_config.h
 * The configuration in force: all profiles at one revision.
 *
 * profile_config_create(), then profile_config_apply() with each snapshot seen, from the table or
 * from a peer, in any order. A snapshot that is not newer than the one in
 * force changes nothing, so the set never goes back. profile_config_destroy() last.
 *
 * The change functions work on rows: given the rows as read and an operator's
 * request they return the rows to write under a condition, and do no I/O.
 */
#ifndef FLAMINGOLATCH_PROFILE_CONFIG_H
#define FLAMINGOLATCH_PROFILE_CONFIG_H

#include "flamingolatch/profile.h"

#define PROFILE_CONFIG_KEY_PREFIX	  "config/"
#define PROFILE_CONFIG_REVISION_KEY	  "config/revision"
#define PROFILE_CONFIG_PROFILE_KEY_PREFIX "config/profile/"

struct profile_config;

/** What profile_config_apply() did. */
enum profile_config_result {
	PROFILE_CONFIG_NOT_NEWER, /**< not newer; nothing changed */
	PROFILE_CONFIG_APPLIED,	  /**< in force now */
	PROFILE_CONFIG_INVALID,	  /**< the snapshot does not parse; nothing changed */
};

/** What an operator asks for. */
enum profile_config_action {
	PROFILE_CONFIG_PUBLISH,
	PROFILE_CONFIG_CHANGE,
	PROFILE_CONFIG_RETIRE
};

/** An operator's change of one profile. */
struct profile_config_change {
	enum profile_config_action verb;
	const char *name;
	const struct profile *prof;   /**< NULL for PROFILE_CONFIG_RETIRE */
	const char *token;	      /**< request token; the same token changes nothing twice */
	uint64_t expected_generation; /**< 0 means the one that is read */
};

struct profile_config *profile_config_create(void);
void profile_config_destroy(struct profile_config *set);

/**
 * Puts a snapshot in force when it is newer.
 * @param snapshot {"revision": n, "profiles": [row, ...]}
 */
enum profile_config_result profile_config_apply(struct profile_config *set, const json_t *snapshot,
						GError **error);

/** Returns the revision in force; 0 before the first. */
uint64_t profile_config_revision(const struct profile_config *set);
/** Returns an active profile, or NULL. */
const struct profile *profile_config_find(const struct profile_config *set, const char *name);
/** Returns the snapshot in force, borrowed; NULL before the first. */
const json_t *profile_config_snapshot(const struct profile_config *set);

/**
 * Works out the new profile row for a change.
 * @param current the row as read, or NULL when absent
 * @param revision the revision as read
 * @param row set to the new row, or to NULL when the token was applied before
 * @param generation set to the generation that the token made
 * @return true, or false with ERR_CONFLICT, ERR_NOT_FOUND
 */
bool profile_config_plan_change(const struct profile_config_change *change, const json_t *current,
				uint64_t revision, json_t **row, uint64_t *generation,
				GError **error);

#endif
