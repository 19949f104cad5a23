/**
 * @file store_watch.h
 * Follows the configuration and the instance list in the store.
 *
 * store_watch_create() starts to read both, store_watch_destroy() stops. What is learned goes
 * into the fleet and, for a newer configuration, to the callback. Each answer
 * about the configuration confirms it as of the moment at which its call was
 * sent.
 */
#ifndef FLAMINGOLATCH_SERVE_STORE_WATCH_H
#define FLAMINGOLATCH_SERVE_STORE_WATCH_H

#include "env.h"

struct store_watch;

/** Changes of the instance list between two of its versions. */
struct store_watch_changes {
	uint64_t from;
	uint64_t to;
	uint32_t lapse_ms;  /**< how long entries that are gone may still come back; 0 when not */
	GPtrArray *changes; /**< struct store_change */
};

/** Called when the instance list changed by the store's own answer. */
typedef void (*store_watch_changes_cb)(void *ctx, const struct store_watch_changes *changes);

/** Called with a newer configuration; takes a reference when it keeps it. */
typedef void (*store_watch_config_cb)(void *ctx, struct rt_config *config);

struct store_watch *store_watch_create(struct env *env, store_watch_config_cb cb, void *ctx);
void store_watch_destroy(struct store_watch *store_watch);
/** Tells whether configuration and instance list were read at least once. */
bool store_watch_is_synced(const struct store_watch *store_watch);
/** Tells who is to learn of changes of the instance list; @p cb may be NULL. */
void store_watch_set_changes_cb(struct store_watch *store_watch, store_watch_changes_cb cb,
				void *ctx);
/** While true, another instance follows the list; the configuration is still followed. */
void store_watch_set_delegated(struct store_watch *store_watch, bool delegated);
/** While true, other instances rely on this one: the configuration is confirmed more often. */
void store_watch_set_has_dependents(struct store_watch *store_watch, bool serving);
/** Takes changes that another instance tells of. */
void store_watch_apply_changes(struct store_watch *store_watch,
			       const struct store_watch_changes *changes);
/** Takes versions that another instance knows; asks the store when they are newer. */
void store_watch_check_versions(struct store_watch *store_watch, uint64_t config_version,
				uint64_t list_version);
/** Returns the version at which the instance list last changed, as known here. */
uint64_t store_watch_list_version(const struct store_watch *store_watch);
/** Tells whether this instance itself follows a store that answers. */
bool store_watch_is_healthy(const struct store_watch *store_watch);

#endif
