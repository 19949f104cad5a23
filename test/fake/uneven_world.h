/**
 * @file uneven_world.h
 * Gateway instances that place streams and calls on upstreams of different speeds,
 * in virtual time.
 *
 * Placement and learning are those of placement.h and upstream_speed.h; the engines
 * are those of engine_model.h, the upstreams of the plain service are queues with
 * several servers. Each instance knows its own load, that of its zone 100 ms late and
 * that of other zones 500 to 1,000 ms late. Sizes and rates are those of the number
 * porting deployment in docs/design/crowded-deployments.md. Used by test_upstream_speed
 * and bench_policy.
 */
#ifndef FLAMINGOLATCH_TEST_UNEVEN_WORLD_H
#define FLAMINGOLATCH_TEST_UNEVEN_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#define UNEVEN_WORLD_SPEED_COUNT 3

enum uneven_policy {
	UNEVEN_LEAST_OPEN, /**< the upstream with the least open requests */
	UNEVEN_EQUAL,	   /**< placement, with all upstreams taken to be equal */
	UNEVEN_LEARNED,	   /**< placement with learned speeds */
	UNEVEN_POLICY_COUNT
};

struct uneven_config {
	enum uneven_policy policy;
	uint32_t seed;
	uint32_t instances;
	uint32_t engines;
	uint32_t plain_upstreams;
	double load; /**< arrivals relative to those of the deployment */
	double speeds[UNEVEN_WORLD_SPEED_COUNT]; /**< one third of the upstreams each */
	double min_spread;			 /**< setting load.speed_spread */
	uint32_t wrong_instances; /**< that report inverted speeds with great weight */
	uint32_t stale_instances; /**< that repeat what they knew after @c warmup_us / 2 */
	uint64_t duration_us;
	uint64_t warmup_us;	  /**< requests that arrive before are not measured */
	uint64_t restart_us;	  /**< when all upstreams start again with other speeds; 0: never */
	uint64_t restart_some_us; /**< interval at which a sixth of the upstreams does; 0: never */
};

/** Streams or calls of one kind. */
struct uneven_class_result {
	uint32_t count;
	uint32_t late; /**< first event or answer after the objective, or refused */
	double p50_ms;
	double p99_ms;
};

struct uneven_result {
	struct uneven_class_result long_streams;
	struct uneven_class_result short_streams;
	struct uneven_class_result calls;
	/** Largest work of an engine for its speed, relative to the mean. */
	double busiest_engine;
	/** The same of an upstream of the plain service. */
	double busiest_upstream;
	/** Mean absolute deviation of the learned from the true factor of engines, in natural
	 * logarithms, over all instances at the end. */
	double factor_error;
	/** When most instances first used learned speeds of engines; UINT64_MAX: never. */
	uint64_t in_effect_us;
	uint64_t messages; /**< on speeds */
	bool factor_out_of_bounds;
};

void uneven_world_run(const struct uneven_config *config, struct uneven_result *out);

#endif
