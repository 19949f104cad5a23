/**
 * @file store_watch.h
 * Watches the configuration and the instance list in the store.
 *
 * store_watch_create() starts to read both tables and then to watch them for
 * changes, store_watch_destroy() stops. Entries of the instance list go into the
 * fleet, a newer configuration to the callback. Each answer about the
 * configuration confirms it as of the time at which its call was sent.
 */
#ifndef FLAMINGOLATCH_SERVE_STORE_WATCH_H
#define FLAMINGOLATCH_SERVE_STORE_WATCH_H

#include "env.h"

struct store_watch;

/** Changes of the instance list between two of its versions. */
struct store_watch_changes {
	uint64_t from_version;
	uint64_t to_version;
	uint32_t lapse_ms; /**< how long removed entries count as lapsed; 0: not at all */
	GPtrArray *rows;   /**< struct store_change */
};

/** Called when an answer of the store changed the instance list. */
typedef void (*store_watch_changes_cb)(void *ctx, const struct store_watch_changes *changes);

/** Called with a newer configuration; the callee takes a reference if it keeps it. */
typedef void (*store_watch_config_cb)(void *ctx, struct route_config *config);

/** Starts the watch. @param cb called with each newer configuration */
struct store_watch *store_watch_create(struct env *env, store_watch_config_cb cb, void *ctx);
/** Cancels the open calls and frees the watch; @p watch may be NULL. */
void store_watch_destroy(struct store_watch *watch);
/** Returns true once the configuration and the instance list were both read. */
bool store_watch_is_synced(const struct store_watch *watch);
/** Sets the callback for changes of the instance list; @p cb may be NULL. */
void store_watch_set_changes_cb(struct store_watch *watch, store_watch_changes_cb cb, void *ctx);
/** Sets whether a delegate watches the instance list for this instance. The configuration is
 * watched in either case. */
void store_watch_set_delegated(struct store_watch *watch, bool delegated);
/** Sets whether other instances rely on this one as their delegate; while they do, it confirms
 * the configuration more often. */
void store_watch_set_has_dependents(struct store_watch *watch, bool has_dependents);
/** Applies changes that the delegate sent. Changes that are not newer than what is known are
 * ignored; changes that leave a gap make the instance read the store itself. */
void store_watch_apply_changes(struct store_watch *watch,
			       const struct store_watch_changes *changes);
/** Compares the versions that another instance knows with those known here, and reads from the
 * store what is newer; 0 for a version that is not known. */
void store_watch_check_versions(struct store_watch *watch, uint64_t config_version,
				uint64_t list_version);
/** Returns the version of the last known change of the instance list. */
uint64_t store_watch_list_version(const struct store_watch *watch);
/** Returns true while this instance watches both tables itself and the store answers. */
bool store_watch_is_healthy(const struct store_watch *watch);

#endif
