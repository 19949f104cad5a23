/**
 * @file pool.h
 * The upstreams that one instance knows, and the selection of one for a
 * request. An upstream belongs to an upstream pool, which has a name.
 *
 * An engine is selected by the share of its KV cache that generations are
 * predicted to occupy, by distance, and by the share of the prompt that it has
 * cached; an upstream of a plain service by distance and open requests. Order of
 * calls: pool_create(), pool_put() for each listed upstream,
 * upstream_set_report() and upstream_set_peer_forecast() as reports and forecasts
 * arrive, pool_select_engine() or pool_select_plain() for each request,
 * pool_destroy() last. Does no I/O and reads no clock; random choices come from a
 * generator with a given seed.
 */
#ifndef FLAMINGOLATCH_POOL_H
#define FLAMINGOLATCH_POOL_H

#include "flamingolatch/kv_forecast.h"
#include "flamingolatch/profile.h"

#include <glib.h>

/** State of an upstream; only live ones get new work. */
enum pool_state {
	POOL_LIVE,
	POOL_LEAVING, /**< shutting down */
	POOL_DOWN,    /**< not reachable, or no longer listed */
	POOL_STATE_COUNT
};

/** Load that an engine reported. */
struct pool_report {
	uint64_t kv_capacity; /**< tokens */
	uint64_t kv_used;     /**< tokens */
	uint64_t running;     /**< generations */
	uint64_t waiting;     /**< generations queued in the engine */
	uint64_t at_us;	      /**< when it was received */
};

/** Distance of an upstream from this instance. */
enum pool_distance {
	POOL_SAME_ZONE,
	POOL_SAME_REGION,
	POOL_OTHER_REGION
};

struct pool;
struct upstream;

/** What a request needs of an engine. */
struct pool_request {
	const char *pool;		     /**< name of the upstream pool */
	const struct kv_forecast_item *item; /**< the generation, as an item of a forecast */
	double deviations;    /**< room kept free above the mean forecast, in standard deviations */
	uint32_t room_factor; /**< how many such generations must fit; 0 counts as 1 */
	enum profile_spill spill; /**< how far away the engine may be */
	const uint64_t *prefix;	  /**< hashes of the leading blocks of the prompt */
	uint32_t prefix_count;
	const struct upstream *exclude; /**< upstream to skip; may be NULL */
	bool ignore_memory; /**< select without regard to free KV cache, to resume a generation */
	uint64_t now_us;
};

/** @param zone zone of this instance
 * @param region region of this instance
 * @param seed seed of random choices */
struct pool *pool_create(const char *zone, const char *region, uint64_t seed);
void pool_destroy(struct pool *pool);

/** Adds an upstream, or updates it. Another address means a new incarnation, which is neither
 * leaving nor unreachable and has nothing cached.
 * @param pool_name name of the upstream pool that it belongs to */
struct upstream *pool_put(struct pool *pool, const char *id, const char *pool_name,
			  const char *address, const char *zone, const char *region);
/** Frees an upstream that has no open requests; otherwise marks it as down. */
void pool_remove(struct pool *pool, struct upstream *up);
/** Returns the upstream with an id, or NULL. */
struct upstream *pool_find(struct pool *pool, const char *id);
/** Calls @p callback for all upstreams, in the order of their ids. */
void pool_foreach(struct pool *pool, void (*callback)(void *ctx, struct upstream *up), void *ctx);
uint32_t pool_count(const struct pool *pool);

/** @name State of one upstream
 * @{ */
/** Marks it as leaving until a new incarnation is listed.
 * @return false when it already was */
bool upstream_set_leaving(struct upstream *up, uint64_t now_us);
/** Records whether it can be reached.
 * @return whether that changed */
bool upstream_set_reachable(struct upstream *up, bool reachable);
/** Replaces the load that it reported. */
void upstream_set_report(struct upstream *up, const struct pool_report *report);
/** Sets the engine version that it reported; NULL when unknown. */
void upstream_set_version(struct upstream *up, const char *version);
/** Replaces the forecast that a peer announced for its generations on this upstream. */
void upstream_set_peer_forecast(struct upstream *up, const char *peer,
				const struct kv_forecast *sum, uint64_t now_us);
/** Counts an open request.
 * @param item the generation; NULL for a request to a plain service */
void upstream_begin_request(struct upstream *up, const struct kv_forecast_item *item);
/** Updates the forecast of a generation.
 * @param generated tokens generated so far */
void upstream_update_request(struct upstream *up, struct kv_forecast_item *item,
			     uint64_t generated);
/** Ends a request that upstream_begin_request() counted. */
void upstream_end_request(struct upstream *up, const struct kv_forecast_item *item);
/** Records that the engine has these prompt blocks in its cache. */
void upstream_add_cached_blocks(struct upstream *up, const uint64_t *blocks, uint32_t count);
/** Records that the engine dropped a block from its cache. */
void upstream_remove_cached_block(struct upstream *up, uint64_t block);
/** Forgets all cached blocks, after a gap in the engine's cache events. */
void upstream_clear_cached_blocks(struct upstream *up);
/** Counts a failed request. Several in a row open the circuit: the upstream is not selected for a
 * time that doubles with each further failure, up to 5 s.
 * @param random random number; the time is shortened at random by up to half */
void upstream_record_failure(struct upstream *up, uint64_t now_us, uint64_t random);
/** Counts a successful request, which closes the circuit. */
void upstream_record_success(struct upstream *up);
/** @} */

const char *upstream_id(const struct upstream *up);
/** Returns the name of the upstream pool that it belongs to. */
const char *upstream_pool_name(const struct upstream *up);
const char *upstream_address(const struct upstream *up);
const char *upstream_zone(const struct upstream *up);
const char *upstream_region(const struct upstream *up);
enum pool_state upstream_state(const struct upstream *up);
const char *pool_state_name(enum pool_state state);
/** Returns the engine version last reported, or NULL. */
const char *upstream_version(const struct upstream *up);
/** Returns the number of open requests of this instance. */
uint32_t upstream_open_requests(const struct upstream *up);
/** Returns the forecast of the generations of this instance. */
const struct kv_forecast *upstream_own_forecast(const struct upstream *up);
const struct pool_report *upstream_last_report(const struct upstream *up);
enum pool_distance pool_distance(const struct pool *pool, const struct upstream *up);
/**
 * Returns the predicted peak of the KV cache, as a share of the capacity.
 * @param item generation that is added to the forecast @p times times; may be NULL
 * @param deviations number of standard deviations added to the mean
 * @return 0 when the capacity is not known
 */
double upstream_pressure(const struct upstream *up, const struct kv_forecast_item *item,
			 uint32_t times, double deviations);

/** Selects an engine that has room for a generation.
 * @return the engine, or NULL when none has room or none is live */
struct upstream *pool_select_engine(struct pool *pool, const struct pool_request *request);
/** Selects an upstream of a plain service: the nearest with the fewest open requests.
 * @param pool_name name of the upstream pool
 * @param spill how far away it may be
 * @param tried set of ids of upstreams to skip; may be NULL
 * @return the upstream, or NULL */
struct upstream *pool_select_plain(struct pool *pool, const char *pool_name,
				   enum profile_spill spill, GHashTable *tried, uint64_t now_us);
/** Returns whether an upstream pool has a live upstream.
 * @param spill how far away it may be */
bool pool_has_live(struct pool *pool, const char *pool_name, enum profile_spill spill);

/**
 * Returns the room factor for a request: the more requests are queued, the more
 * free KV cache each of them requires, up to the profile's factor.
 * @param max_factor the profile's factor
 * @param queued requests in the queue, this one included
 */
uint32_t pool_room_factor(uint32_t max_factor, uint32_t queued);

/** Hashes the leading blocks of a prompt. The hash of a block depends on all blocks before it.
 * @return the number of hashes written, at most @p max */
uint32_t pool_hash_prefix(const char *prompt, size_t len, uint64_t *out, uint32_t max);

#endif
