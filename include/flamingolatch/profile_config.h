/**
 * @file profile_config.h
 * The configuration in force: all active profiles at one revision.
 *
 * Call profile_config_create(), then profile_config_apply() with each snapshot
 * that arrives, from the store or from a peer, in any order. A snapshot that is
 * not newer than the one in force changes nothing, so the configuration never
 * goes back to an older revision. Call profile_config_destroy() last.
 *
 * profile_config_plan_change() computes the new store row for an operator's
 * change. Its caller reads the rows first, and writes the result under the
 * condition that they have not changed since. The module does no I/O.
 */
#ifndef FLAMINGOLATCH_PROFILE_CONFIG_H
#define FLAMINGOLATCH_PROFILE_CONFIG_H

#include "flamingolatch/profile.h"

#define PROFILE_CONFIG_KEY_PREFIX	  "config/"
#define PROFILE_CONFIG_REVISION_KEY	  "config/revision"
#define PROFILE_CONFIG_PROFILE_KEY_PREFIX "config/profile/"

struct profile_config;

/** Result of profile_config_apply(). */
enum profile_config_result {
	PROFILE_CONFIG_NOT_NEWER, /**< the revision is not newer; nothing changed */
	PROFILE_CONFIG_APPLIED,	  /**< the snapshot is in force now */
	PROFILE_CONFIG_INVALID,	  /**< the snapshot cannot be parsed; nothing changed */
};

/** Operation that an operator requests. */
enum profile_config_action {
	PROFILE_CONFIG_PUBLISH, /**< add a profile, or publish a retired one again */
	PROFILE_CONFIG_CHANGE,	/**< replace the rules of an active profile */
	PROFILE_CONFIG_RETIRE	/**< deactivate a profile; its row stays */
};

/** An operator's change of one profile. */
struct profile_config_change {
	enum profile_config_action action;
	const char *name;
	const struct profile *profile; /**< the new rules; NULL for PROFILE_CONFIG_RETIRE */
	const char *token; /**< request token; repeating a change with it has no effect */
	uint64_t expected_generation; /**< required generation of the row as read; 0 means any */
};

/** Returns an empty configuration at revision 0. */
struct profile_config *profile_config_create(void);
void profile_config_destroy(struct profile_config *config);

/**
 * Puts a snapshot in force if it is newer than the current one.
 * @param snapshot {"revision": n, "profiles": [row, ...]}; it is copied
 * @param error set to ERR_SETTINGS with PROFILE_CONFIG_INVALID
 */
enum profile_config_result profile_config_apply(struct profile_config *config,
						const json_t *snapshot, GError **error);

/** Returns the revision in force; 0 before the first snapshot. */
uint64_t profile_config_revision(const struct profile_config *config);
/** Returns an active profile, valid until the next snapshot is applied, or NULL. */
const struct profile *profile_config_find(const struct profile_config *config, const char *name);
/** Returns the snapshot in force, or NULL before the first. The reference is borrowed. */
const json_t *profile_config_snapshot(const struct profile_config *config);

/**
 * Computes the new row of a profile for an operator's change.
 * @param current the profile's row as read, or NULL if there is none
 * @param revision the configuration revision as read
 * @param row set to the new row, which the caller frees, or to NULL if the change
 *            with this token has taken effect before
 * @param generation set to the generation that the change with this token gave the profile
 * @return true, or false with ERR_CONFLICT (already published, or not at the expected
 *         generation) or ERR_NOT_FOUND (not published)
 */
bool profile_config_plan_change(const struct profile_config_change *change, const json_t *current,
				uint64_t revision, json_t **row, uint64_t *generation,
				GError **error);

#endif
