/**
 * @file engine_model.h
 * Model of an engine: continuous batching over a limited KV memory.
 *
 * The model knows no clock and no network. engine_model_submit() queues jobs,
 * engine_model_step() performs one iteration and returns how long it took;
 * each running job produces one token in it. When the memory is full during
 * decoding, the job of the lowest priority, and of those the youngest, is
 * preempted and computes its memory again later. The engine stand-in drives
 * the model in real time, the policy bench in virtual time.
 */
#ifndef FLAMINGOLATCH_TEST_ENGINE_MODEL_H
#define FLAMINGOLATCH_TEST_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

struct engine_model;
struct engine_model_job;

/** Size and speed of an engine. */
struct engine_model_conf {
	uint64_t kv_tokens;	       /**< memory */
	uint32_t max_batch;	       /**< running jobs at once */
	uint64_t step_base_us;	       /**< time of an iteration */
	uint64_t step_job_ns;	       /**< added for each running job */
	uint64_t prefill_token_ns;     /**< added for each prompt token computed */
	uint32_t prefill_chunk_tokens; /**< prompt tokens computed in one iteration at most */
	uint32_t readmit_free_percent; /**< memory that must be free to take preempted work back */
	uint32_t cache_blocks;	       /**< prompt blocks kept for reuse */
	uint32_t block_tokens;	       /**< tokens of a prompt block */
};

/** Events of the model; each may be NULL. */
struct engine_model_events {
	/** The job produced token number @p offset; @p last ends it and frees it
	 * after the call. */
	void (*token)(void *ctx, void *user, uint64_t offset, bool last);
	/** The job was pushed off, or taken back. */
	void (*preempted)(void *ctx, void *user, bool preempted);
	/** A prompt block was stored or dropped. */
	void (*cache)(void *ctx, uint64_t block, bool stored);
};

/** A job to submit. */
struct engine_model_job_spec {
	uint64_t prompt_tokens;
	uint64_t output_tokens; /**< known to the model only */
	uint64_t first_offset;	/**< tokens that exist already */
	uint64_t priority;
	const uint64_t *blocks; /**< hashes of the leading prompt blocks */
	uint32_t block_count;
	void *user;
};

/** What an engine reports of itself. */
struct engine_model_stats {
	uint64_t kv_tokens;
	uint64_t kv_used;
	uint32_t running;
	uint32_t waiting;
	uint64_t preemptions;
	uint64_t produced;
};

struct engine_model *engine_model_create(const struct engine_model_conf *conf,
					 const struct engine_model_events *ops, void *ctx);
/** Frees the model and its jobs; no callback runs. */
void engine_model_destroy(struct engine_model *model);
struct engine_model_job *engine_model_submit(struct engine_model *model,
					     const struct engine_model_job_spec *need);
/** Ends a job and frees it; no callback runs for it. */
void engine_model_cancel(struct engine_model *model, struct engine_model_job *job);
/** Performs one iteration. @return its duration, 0 when there is nothing to do */
uint64_t engine_model_step(struct engine_model *model);
void engine_model_stats(const struct engine_model *model, struct engine_model_stats *out);
/** Returns how many tokens of the job exist. */
uint64_t engine_model_job_produced(const struct engine_model_job *job);
/** Tells whether the job holds memory now. */
bool engine_model_job_running(const struct engine_model_job *job);

#endif
