/**
 * @file cset.h
 * The configuration in force: all profiles at one revision.
 *
 * cset_create(), then cset_apply() with each snapshot seen, from the table or
 * from a peer, in any order. A snapshot that is not newer than the one in
 * force changes nothing, so the set never goes back. cset_destroy() last.
 *
 * The change functions work on rows: given the rows as read and an operator's
 * request they return the rows to write under a condition, and do no I/O.
 */
#ifndef FLAMINGOLATCH_CSET_H
#define FLAMINGOLATCH_CSET_H

#include "flamingolatch/profile.h"

#define CSET_PREFIX	  "config/"
#define CSET_REVISION_KEY "config/revision"
#define CSET_PROFILE_KEY  "config/profile/"

struct cset;

/** What cset_apply() did. */
enum cset_result {
	CSET_OLD,     /**< not newer; nothing changed */
	CSET_APPLIED, /**< in force now */
	CSET_INVALID, /**< the snapshot does not parse; nothing changed */
};

/** What an operator asks for. */
enum cset_verb {
	CSET_PUBLISH,
	CSET_CHANGE,
	CSET_RETIRE
};

/** An operator's change of one profile. */
struct cset_change {
	enum cset_verb verb;
	const char *name;
	const struct prof *prof;      /**< NULL for CSET_RETIRE */
	const char *token;	      /**< request token; the same token changes nothing twice */
	uint64_t expected_generation; /**< 0 means the one that is read */
};

struct cset *cset_create(void);
void cset_destroy(struct cset *set);

/**
 * Puts a snapshot in force when it is newer.
 * @param snapshot {"revision": n, "profiles": [row, ...]}
 */
enum cset_result cset_apply(struct cset *set, const json_t *snapshot, GError **error);

/** Returns the revision in force; 0 before the first. */
uint64_t cset_revision(const struct cset *set);
/** Returns an active profile, or NULL. */
const struct prof *cset_find(const struct cset *set, const char *name);
/** Returns the snapshot in force, borrowed; NULL before the first. */
const json_t *cset_snapshot(const struct cset *set);

/**
 * Works out the new profile row for a change.
 * @param current the row as read, or NULL when absent
 * @param revision the revision as read
 * @param row set to the new row, or to NULL when the token was applied before
 * @param generation set to the generation that the token made
 * @return true, or false with ERR_CONFLICT, ERR_NOT_FOUND
 */
bool cset_plan(const struct cset_change *change, const json_t *current, uint64_t revision,
	       json_t **row, uint64_t *generation, GError **error);

#endif
