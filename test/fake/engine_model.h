/**
 * @file engine_model.h
 * Model of an engine: continuous batching over a limited KV memory.
 *
 * The model knows no clock and no network. emodel_submit() queues jobs,
 * emodel_run() performs one iteration and returns how long it took;
 * each running job produces one token in it. When the memory is full during
 * decoding, the job of the lowest priority, and of those the youngest, is
 * preempted and computes its memory again later. The engine stand-in drives
 * the model in real time, the policy bench in virtual time.
 */
#ifndef FLAMINGOLATCH_TEST_ENGINE_MODEL_H
#define FLAMINGOLATCH_TEST_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

struct emodel;
struct emodel_job;

/** Size and speed of an engine. */
struct emodel_conf {
	uint64_t kv_tokens;	       /**< memory */
	uint32_t max_batch;	       /**< running jobs at once */
	uint64_t step_base_us;	       /**< time of an iteration */
	uint64_t step_job_ns;	       /**< added for each running job */
	uint64_t prefill_token_ns;     /**< added for each prompt token computed */
	uint32_t prefill_chunk_tokens; /**< prompt tokens computed in one iteration at most */
	uint32_t margin_percent;       /**< memory that must be free to take preempted work back */
	uint32_t cache_blocks;	       /**< prompt blocks kept for reuse */
	uint32_t block_tokens;	       /**< tokens of a prompt block */
};

/** Events of the model; each may be NULL. */
struct emodel_ops {
	/** The job produced token number @p offset; @p last ends it and frees it
	 * after the call. */
	void (*token)(void *ctx, void *user, uint64_t offset, bool last);
	/** The job was pushed off, or taken back. */
	void (*preempted)(void *ctx, void *user, bool preempted);
	/** A prompt block was stored or dropped. */
	void (*cache)(void *ctx, uint64_t block, bool stored);
};

/** A job to submit. */
struct emodel_need {
	uint64_t prompt_tokens;
	uint64_t output_tokens; /**< known to the model only */
	uint64_t first_offset;	/**< tokens that exist already */
	uint64_t priority;
	const uint64_t *blocks; /**< hashes of the leading prompt blocks */
	uint32_t block_count;
	void *user;
};

/** What an engine reports of itself. */
struct emodel_report {
	uint64_t kv_tokens;
	uint64_t kv_used;
	uint32_t running;
	uint32_t waiting;
	uint64_t preemptions;
	uint64_t produced;
};

struct emodel *emodel_create(const struct emodel_conf *conf, const struct emodel_ops *ops,
			     void *ctx);
/** Frees the model and its jobs; no callback runs. */
void emodel_destroy(struct emodel *model);
struct emodel_job *emodel_submit(struct emodel *model, const struct emodel_need *need);
/** Ends a job and frees it; no callback runs for it. */
void emodel_cancel(struct emodel *model, struct emodel_job *job);
/** Performs one iteration. @return its duration, 0 when there is nothing to do */
uint64_t emodel_run(struct emodel *model);
void emodel_report(const struct emodel *model, struct emodel_report *out);
/** Returns how many tokens of the job exist. */
uint64_t emodel_job_produced(const struct emodel_job *job);
/** Tells whether the job holds memory now. */
bool emodel_job_running(const struct emodel_job *job);

#endif
