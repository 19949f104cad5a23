/**
 * @file store_watch.h
 * Follows the configuration and the instance list in the store.
 *
 * fol_create() starts to read both, fol_destroy() stops. What is learned goes
 * into the fleet and, for a newer configuration, to the callback. Each answer
 * about the configuration confirms it as of the moment at which its call was
 * sent.
 */
#ifndef FLAMINGOLATCH_SERVE_FOLLOW_H
#define FLAMINGOLATCH_SERVE_FOLLOW_H

#include "env.h"

struct fol;

/** Changes of the instance list between two of its versions. */
struct fol_changes {
	uint64_t from;
	uint64_t to;
	uint32_t lapse_ms;  /**< how long entries that are gone may still come back; 0 when not */
	GPtrArray *changes; /**< struct src_change */
};

/** Called when the instance list changed by the store's own answer. */
typedef void (*fol_changes_cb)(void *ctx, const struct fol_changes *changes);

/** Called with a newer configuration; takes a reference when it keeps it. */
typedef void (*fol_config_cb)(void *ctx, struct rt_config *config);

struct fol *fol_create(struct env *env, fol_config_cb cb, void *ctx);
void fol_destroy(struct fol *fol);
/** Tells whether configuration and instance list were read at least once. */
bool fol_synced(const struct fol *fol);
/** Tells who is to learn of changes of the instance list; @p cb may be NULL. */
void fol_on_changes(struct fol *fol, fol_changes_cb cb, void *ctx);
/** While true, another instance follows the list; the configuration is still followed. */
void fol_set_delegated(struct fol *fol, bool delegated);
/** While true, other instances rely on this one: the configuration is confirmed more often. */
void fol_set_serving(struct fol *fol, bool serving);
/** Takes changes that another instance tells of. */
void fol_take_changes(struct fol *fol, const struct fol_changes *changes);
/** Takes versions that another instance knows; asks the store when they are newer. */
void fol_take_versions(struct fol *fol, uint64_t config_version, uint64_t list_version);
/** Returns the version at which the instance list last changed, as known here. */
uint64_t fol_list_version(const struct fol *fol);
/** Tells whether this instance itself follows a store that answers. */
bool fol_sound(const struct fol *fol);

#endif
