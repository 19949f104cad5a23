/**
 * @file placement.h
 * Selects an engine for a generation, or an upstream for a request to a plain
 * service.
 *
 * The caller describes the request and the candidates; the functions return
 * the index of the best candidate. They keep no state, do no I/O and read no
 * clock.
 *
 * The policy assumes engines whose KV cache has room for about eight long
 * generations, prompts that take a quarter of a second to read (prefill), and
 * a sixth of the engines shutting down every few seconds. Memory in use is
 * counted as the size that the KV caches of an engine's generations are expected
 * to reach, so that none is preempted. Prompts that an engine has not read yet
 * are counted as time, so that first events are not late: at the speed of prefill
 * while there is memory for them, and at the rate at which generations end and
 * free memory once there is none.
 */
#ifndef FLAMINGOLATCH_PLACEMENT_H
#define FLAMINGOLATCH_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

/** No candidate was selected. */
#define PLACEMENT_NONE (-1)

/** State of a candidate engine; its load is the sum over all instances. */
struct placement_engine {
	uint64_t kv_tokens;	     /**< capacity of the KV cache, in tokens */
	uint64_t expected_kv_tokens; /**< size that its KV caches are expected to reach */
	uint64_t used_kv_tokens;     /**< size of its KV caches now */
	uint64_t prefill_tokens;     /**< prompt tokens not read yet */
	uint32_t slots;		     /**< generations that it runs at once */
	uint32_t open;		     /**< requests sent and not finished */
	uint32_t incoming_copies;    /**< KV caches being copied to it */
	uint32_t distance;	     /**< 0 same zone, 1 same region, 2 other region */
	double failure_share;	     /**< share of recent requests that failed, 0 to 1 */
	double speed;		     /**< relative to the median of the service; 0 counts as 1 */
	bool usable;		     /**< may get new work */
};

/** What a generation needs. */
struct placement_request {
	uint64_t prompt_tokens;
	uint64_t output_tokens; /**< expected output length */
	uint32_t stale_ms;	/**< age of the load figures of engines in other zones */
	uint32_t jitter_seed;	/**< random; spreads requests of instances with equal figures */
	uint32_t first_event_left_ms; /**< time until its first event is late; 0 for no limit */
	bool resumes; /**< resumes from a KV copy; may fill the KV cache beyond @c max_kv_share */
	bool needs_kv_copy; /**< its KV cache must be copied to the engine first; copies to one
			       engine run one after the other */
};

/** Tunable parameters of the selection of an engine. */
struct placement_params {
	double max_kv_share; /**< share of a KV cache that new generations may fill, 0 to 1 */
	double prefill_tokens_per_ms; /**< prefill speed while other generations run */
	double freed_share_per_ms;    /**< share of the used KV cache that generations free by
				       * ending, less what the others add */
};

/** Defaults for engines that read 14 prompt tokens per ms when idle. */
extern const struct placement_params placement_default_params;

/**
 * Selects an engine for a generation.
 * @param engines candidates, @p count of them
 * @return an index into @p engines, or PLACEMENT_NONE when no usable one has a free slot and room
 * in its KV cache
 */
int32_t placement_select_engine(const struct placement_params *params,
				const struct placement_request *request,
				const struct placement_engine *engines, uint32_t count);
/**
 * Returns by how many ms the first event on an engine would be late.
 *
 * Under sustained overload every prompt waits behind others. It is better to refuse a generation
 * that would be late, with a hint when to retry, than to place it ahead of one that is still in
 * time.
 * @return 0 when it would be in time, when the request has no limit or resumes, and when the
 *         engine has no unread prompt
 */
uint32_t placement_late_ms(const struct placement_params *params,
			   const struct placement_request *request,
			   const struct placement_engine *engine);
/** Returns the expected time to the first event on an engine, in ms. */
uint32_t placement_first_event_ms(const struct placement_params *params,
				  const struct placement_request *request,
				  const struct placement_engine *engine);

/** State of a candidate upstream of a plain service. */
struct placement_upstream {
	uint32_t slots;	      /**< requests that it works on at once; 0 when unknown */
	uint32_t open;	      /**< requests sent and not finished */
	uint32_t distance;    /**< 0 same zone, 1 same region, 2 other region */
	double failure_share; /**< share of recent requests that failed, 0 to 1 */
	double speed;	      /**< relative to the median of the service; 0 counts as 1 */
	bool connected;	      /**< there is an idle connection to it */
	bool usable;	      /**< may get new work */
};

/**
 * Selects an upstream for a request to a plain service.
 * @param ups candidates, @p count of them
 * @param draw random number that breaks ties
 * @return an index into @p ups, or PLACEMENT_NONE when no usable one can accept a further request
 */
int32_t placement_select_upstream(const struct placement_upstream *ups, uint32_t count,
				  uint32_t draw);

#endif
