/**
 * @file engine_model.h
 * Model of an inference engine: continuous batching with a KV cache of limited
 * size, prefix caching, chunked prefill and preemption by recomputation.
 *
 * The model uses no clock and no network. engine_model_submit() queues a job;
 * each engine_model_step() performs one iteration, in which every running job
 * that has finished its prefill produces one token, and returns the duration of
 * the iteration. When the KV cache has no room for the next tokens, the running
 * job of the lowest priority, and among those the one submitted last, is
 * preempted: its KV cache is freed, and computed again when it is readmitted.
 * The fake engine runs the model in real time, the policy benchmark in
 * virtual time.
 */
#ifndef FLAMINGOLATCH_TEST_ENGINE_MODEL_H
#define FLAMINGOLATCH_TEST_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

struct engine_model;
struct engine_model_job;

/** Size and speed of an engine. */
struct engine_model_conf {
	uint64_t kv_tokens;	       /**< size of the KV cache */
	uint32_t max_batch;	       /**< maximum running jobs */
	uint64_t step_base_us;	       /**< fixed part of an iteration's duration */
	uint64_t step_job_ns;	       /**< added per job that produces a token */
	uint64_t prefill_token_ns;     /**< added per token of prefill */
	uint32_t prefill_chunk_tokens; /**< maximum prefill of all jobs in an iteration */
	uint32_t readmit_free_percent; /**< of the KV cache, kept free at a readmission */
	uint32_t cache_blocks;	       /**< blocks in the prefix cache */
	uint32_t block_tokens;	       /**< tokens per block */
};

/**
 * Callbacks of the model, called during engine_model_step(); each may be NULL. They
 * must not cancel jobs.
 */
struct engine_model_events {
	/** A job produced the token at @p offset; after the last token the job is freed. */
	void (*token)(void *ctx, void *user, uint64_t offset, bool last);
	/** A job was preempted (true), or readmitted after that (false). */
	void (*preempted)(void *ctx, void *user, bool preempted);
	/** A block was stored in the prefix cache, or evicted from it. */
	void (*cache)(void *ctx, uint64_t block, bool stored);
};

/** A job to submit; copied. */
struct engine_model_job_spec {
	uint64_t prompt_tokens;
	uint64_t output_tokens; /**< output length; a real engine does not know it */
	uint64_t first_offset;	/**< output tokens produced elsewhere before */
	uint64_t priority;	/**< higher is served first */
	const uint64_t *blocks; /**< hashes of the leading prompt blocks */
	uint32_t block_count;
	void *user; /**< passed to the callbacks */
};

/** Load figures that an engine reports. */
struct engine_model_stats {
	uint64_t kv_tokens; /**< size of the KV cache */
	uint64_t kv_used;   /**< tokens */
	uint32_t running;
	uint32_t waiting;
	uint64_t preemptions; /**< since the model was created */
	uint64_t produced;    /**< output tokens since the model was created */
};

/** @param events must stay valid until engine_model_destroy() */
struct engine_model *engine_model_create(const struct engine_model_conf *conf,
					 const struct engine_model_events *events, void *ctx);
/** Frees the model and its jobs without callbacks. NULL is ignored. */
void engine_model_destroy(struct engine_model *model);
/** Queues a job. @return the job, valid until its last token or engine_model_cancel() */
struct engine_model_job *engine_model_submit(struct engine_model *model,
					     const struct engine_model_job_spec *spec);
/** Removes a job and frees it without callbacks. */
void engine_model_cancel(struct engine_model *model, struct engine_model_job *job);
/** Performs one iteration. @return its duration in microseconds, 0 without jobs */
uint64_t engine_model_step(struct engine_model *model);
/** Reads the load figures. */
void engine_model_stats(const struct engine_model *model, struct engine_model_stats *out);
/** Returns the number of output tokens of a job, including those produced elsewhere. */
uint64_t engine_model_job_produced(const struct engine_model_job *job);
/** Tells whether a job is in the batch, that is, neither waiting nor preempted. */
bool engine_model_job_running(const struct engine_model_job *job);

#endif
