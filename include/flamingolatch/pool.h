/**
 * @file pool.h
 * The upstreams that one instance knows, and the choice among them.
 *
 * pool_create(), pool_put() for each upstream listed, reports and peers' sums
 * as they come, pool_pick() for each request, pool_destroy() last. Pure: no
 * I/O, no clock; random choices come from a seed.
 */
#ifndef FLAMINGOLATCH_POOL_H
#define FLAMINGOLATCH_POOL_H

#include "flamingolatch/kv_forecast.h"
#include "flamingolatch/profile.h"

#include <glib.h>

/** Whether an upstream may get new work. */
enum pool_state {
	POOL_LIVE,
	POOL_LEAVING,
	POOL_DOWN,
	POOL_STATE_COUNT
};

/** A load report of an engine, as old as its lag. */
struct pool_report {
	uint64_t kv_capacity; /**< tokens */
	uint64_t kv_used;     /**< tokens */
	uint64_t running;
	uint64_t waiting;
	uint64_t at_us; /**< when it was received */
};

/** Where an upstream stands. */
enum pool_distance {
	POOL_SAME_ZONE,
	POOL_SAME_REGION,
	POOL_FAR
};

struct pool;
struct upstream;

/** What a request needs of an engine. */
struct pool_need {
	const char *pool;	      /**< name of the upstream pool */
	const struct load_item *item; /**< the generation's part in a sum */
	double deviations;	      /**< kept free above the predicted mean */
	uint32_t room_factor;	      /**< times its own memory that must be free, at least 1 */
	enum prof_spill spill;
	const uint64_t *prefix; /**< hashes of the leading blocks of the prompt */
	uint32_t prefix_count;
	const struct upstream *avoid; /**< not this one; may be NULL */
	bool force;		      /**< ignore memory, for a generation that must go on */
	uint64_t now_us;
};

struct pool *pool_create(const char *zone, const char *region, uint64_t seed);
void pool_destroy(struct pool *pool);

/** Adds an upstream, or updates its address and place. */
struct upstream *pool_put(struct pool *pool, const char *id, const char *name, const char *address,
			  const char *zone, const char *region);
/** Drops an upstream that has no open work; else marks it down. */
void pool_remove(struct pool *pool, struct upstream *up);
struct upstream *pool_find(struct pool *pool, const char *id);
/** Calls @p each for all upstreams, in order of their ids. */
void pool_each(struct pool *pool, void (*each)(void *ctx, struct upstream *up), void *ctx);
uint32_t pool_count(const struct pool *pool);

/** @name State of one upstream
 * @{ */
/** Marks it as leaving until it is listed anew under another incarnation. */
bool upstream_set_leaving(struct upstream *up, uint64_t now_us);
bool upstream_set_reachable(struct upstream *up, bool reachable);
void upstream_report(struct upstream *up, const struct pool_report *report);
/** Sets the version that the engine reports; @p version may be NULL. */
void upstream_set_version(struct upstream *up, const char *version);
/** Replaces the sum that a peer announced for this upstream. */
void upstream_set_peer(struct upstream *up, const char *peer, const struct load_sum *sum,
		       uint64_t now_us);
void upstream_enter(struct upstream *up, const struct load_item *item);
void upstream_progress(struct upstream *up, struct load_item *item, uint64_t produced);
void upstream_leave(struct upstream *up, const struct load_item *item);
/** Notes that the engine holds these prompt blocks now. */
void upstream_note_prefix(struct upstream *up, const uint64_t *blocks, uint32_t count);
/** Notes that the engine dropped a block. */
void upstream_drop_prefix(struct upstream *up, uint64_t block);
/** Forgets all blocks, after a gap in the cache events. */
void upstream_forget_prefixes(struct upstream *up);
/** Counts a failure or a success for the circuit. */
void upstream_failed(struct upstream *up, uint64_t now_us, uint64_t random);
void upstream_succeeded(struct upstream *up);
/** @} */

const char *upstream_id(const struct upstream *up);
const char *upstream_name(const struct upstream *up);
const char *upstream_address(const struct upstream *up);
const char *upstream_zone(const struct upstream *up);
const char *upstream_region(const struct upstream *up);
enum pool_state upstream_state(const struct upstream *up);
const char *pool_state_name(enum pool_state state);
/** Returns the version last reported, or NULL. */
const char *upstream_version(const struct upstream *up);
uint32_t upstream_open(const struct upstream *up);
const struct load_sum *upstream_own(const struct upstream *up);
const struct pool_report *upstream_last_report(const struct upstream *up);
enum pool_distance pool_distance(const struct pool *pool, const struct upstream *up);
/**
 * Returns the predicted peak memory over the capacity; 0 when unknown.
 * @param item added @p times; may be NULL
 */
double upstream_pressure(const struct upstream *up, const struct load_item *item, uint32_t times,
			 double deviations);

/** Chooses an engine with room.
 * @return the engine, or NULL when none has room or none is live */
struct upstream *pool_pick(struct pool *pool, const struct pool_need *need);
/** Chooses an instance of a plain service, least open requests first.
 * @param tried ids that are not to be chosen again; may be NULL */
struct upstream *pool_pick_plain(struct pool *pool, const char *name, enum prof_spill spill,
				 GHashTable *tried, uint64_t now_us);
/** Tells whether any live upstream of a pool is within reach. */
bool pool_has_live(struct pool *pool, const char *name, enum prof_spill spill);

/**
 * Returns the room factor to use: the more requests wait here, the more room
 * each must find, up to the profile's factor.
 * @param most the profile's factor
 * @param waiting requests in the queue, this one included
 */
uint32_t pool_room_factor(uint32_t most, uint32_t waiting);

/** Hashes the leading blocks of a prompt.
 * @return the number of hashes written, at most @p max */
uint32_t pool_prefix_blocks(const char *prompt, size_t len, uint64_t *out, uint32_t max);

#endif
