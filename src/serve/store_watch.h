/**
 * @file store_watch.h
 * Holds the configuration, the evacuated zones and the instance list, and watches
 * them in the store.
 *
 * An instance that watches reads both tables and then waits for their changes.
 * Each answer about the configuration confirms it as of the time at which its call
 * was sent. An instance that has a delegate does not watch: the delegate passes on
 * the configuration and the changes of the list, see delegation.h, and the
 * instance only probes the store now and then after its own calls have failed.
 *
 * The evacuated zones are rows of the table of the configuration, but their position
 * is their own: they take effect at once, before a configuration of the same answer
 * is decoded, and also when it is not valid. See evacuation.h.
 *
 * store_watch_create(), store_watch_set_watching() whenever the decision
 * changes, store_watch_destroy(). Entries of the instance list go into the fleet,
 * what is new to the callbacks.
 */
#ifndef FLAMINGOLATCH_SERVE_STORE_WATCH_H
#define FLAMINGOLATCH_SERVE_STORE_WATCH_H

#include "env.h"

struct store_watch;

/** Changes of the instance list between two positions of the store. */
struct store_watch_changes {
	struct store_position from;
	struct store_position to;
	uint32_t lapse_ms; /**< how long removed entries count as lapsed; 0: not at all */
	bool complete;	   /**< the rows are the whole list; from is not used */
	GPtrArray *rows;   /**< struct store_change */
};

/** Configuration as it is passed on to another instance. */
struct store_watch_config {
	uint64_t version;      /**< of the configuration */
	uint64_t base_version; /**< of the configuration that it is a difference from; 0: none */
	struct store_position position; /**< to watch the table from */
	GBytes *packed; /**< packed by delta.h; owned by the watch when it hands it out */
};

/** What the watch reports. Members may be NULL. */
struct store_watch_callbacks {
	/** A newer configuration is to be applied; the callee takes a reference if it keeps it. */
	void (*config)(void *ctx, struct route_config *config);
	void *config_ctx;
	/** The store was restored from an older copy, as an answer or a peer shows. */
	void (*restored)(void *ctx);
	void *restored_ctx;
	/** An answer of the store changed the instance list. */
	void (*list_changed)(void *ctx, const struct store_watch_changes *changes);
	/** An answer of the store brought a newer configuration. */
	void (*config_changed)(void *ctx);
	/** The set of evacuated zones changed, by an answer of the store or a peer. */
	void (*evacuated_changed)(void *ctx);
	void *changed_ctx; /**< of list_changed, config_changed and evacuated_changed */
};

struct store_watch *store_watch_create(struct env *env,
				       const struct store_watch_callbacks *callbacks);
/** Cancels the open calls and frees the watch; @p watch may be NULL. */
void store_watch_destroy(struct store_watch *watch);
/** Sets the callbacks for what is passed on to other instances; all may be NULL. */
void store_watch_set_changed(struct store_watch *watch,
			     void (*list_changed)(void *ctx,
						  const struct store_watch_changes *changes),
			     void (*config_changed)(void *ctx),
			     void (*evacuated_changed)(void *ctx), void *ctx);

/** Starts or ends the watch of both tables. Open calls are not cancelled at the end, but no other
 * follows. */
void store_watch_set_watching(struct store_watch *watch, bool watching);
/**
 * Compares the instance list with that of a dependent, if both are of the same position. If they
 * differ, one of them is wrong for an unknown reason, and the list is read whole, at most once a
 * minute.
 * @param address of the dependent, for the log
 * @param digest by fleet_digest(); 0 is not compared
 * @return true if the lists differ although this one was read whole lately: the dependent needs it
 */
bool store_watch_check_list(struct store_watch *watch, const char *address,
			    struct store_position position, uint64_t digest);
/** Sets whether the instance may be a delegate, so that it has to know whether the store answers it
 * again after failures. */
void store_watch_set_probing(struct store_watch *watch, bool probing);
/** Sets whether other instances rely on this one as their delegate; while they do, it confirms
 * the configuration more often. */
void store_watch_set_has_dependents(struct store_watch *watch, bool has_dependents);
/** Applies changes that the delegate sent. Changes that are not newer than what is known are
 * ignored, and so are changes that leave a gap. */
void store_watch_apply_changes(struct store_watch *watch,
			       const struct store_watch_changes *changes);
/** Starts to decode a configuration that the delegate sent, and then applies it; ignores it while
 * another one is being decoded. @return false when it could not be unpacked */
bool store_watch_apply_config(struct store_watch *watch, const struct store_watch_config *config);
/** Records that a delegate confirmed the configuration that this instance has.
 * @param confirmed_us time at which it was the newest, by env_boot_us()
 * @param position of the store at that time; zeros if it is not known */
void store_watch_confirm(struct store_watch *watch, uint64_t confirmed_us,
			 struct store_position position);
/** Takes over the evacuated zones that a peer knows, if they are newer.
 * @param zones strings */
void store_watch_adopt_evacuated(struct store_watch *watch, struct store_position position,
				 const GPtrArray *zones);
/** Records that all evacuated zones as of a time are known, which ends a doubt about them.
 * @param as_of_us by env_boot_us() */
void store_watch_confirm_zones(struct store_watch *watch, uint64_t as_of_us);
/** Asks the store at once for the evacuated zones if this instance watches it. */
void store_watch_recheck_zones(struct store_watch *watch);
/** Reads from the store at once what a delegate knows and did not pass on. */
void store_watch_read_now(struct store_watch *watch, bool config, bool list);

/** Returns the configuration for an instance that has @p known_version, as a difference when that
 * is the version before; NULL when there is none. The result is valid until the next change. */
const struct store_watch_config *store_watch_config_for(struct store_watch *watch,
							uint64_t known_version);
/** Returns the version of the configuration before the one in force; 0 when there is none. */
uint64_t store_watch_previous_version(const struct store_watch *watch);
/** Returns the whole instance list, to be freed with store_watch_changes_free(). */
struct store_watch_changes *store_watch_list(struct store_watch *watch);
void store_watch_changes_free(struct store_watch_changes *changes);
/** Returns the position of the last known change of the instance list; zeros before it was read. */
struct store_position store_watch_list_position(const struct store_watch *watch);
/** Returns the position of the store at the last answer about the configuration. */
struct store_position store_watch_config_position(const struct store_watch *watch);
/** Returns the evacuated zones, as an array of strings that is not changed later. */
GPtrArray *store_watch_evacuated(const struct store_watch *watch);
/** Returns the position of the store up to which they are known; zeros before they are. */
struct store_position store_watch_evacuated_position(const struct store_watch *watch);
/** Returns true once the configuration, the evacuated zones and the instance list are known. */
bool store_watch_is_synced(const struct store_watch *watch);
/** Returns true while this instance watches both tables itself and the store answers. */
bool store_watch_is_healthy(const struct store_watch *watch);
/** Returns true while this instance watches both tables and its first calls have neither been
 * answered nor failed. */
bool store_watch_is_starting(const struct store_watch *watch);
/** Returns true while the store does not answer this instance. */
bool store_watch_is_unreachable(const struct store_watch *watch);

#endif
