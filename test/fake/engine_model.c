#include "engine_model.h"

#include <glib.h>

struct engine_model_job {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t produced;
	uint64_t priority;
	uint64_t submit_order;
	uint64_t prefill_left; /* tokens of prompt and of preempted output to compute */
	uint64_t kv_held;      /* tokens in the KV cache */
	uint64_t *blocks;
	uint32_t block_count;
	bool running;
	bool was_preempted;
	void *user;
};

struct engine_model {
	struct engine_model_conf conf;
	const struct engine_model_events *events;
	void *ctx;
	GPtrArray *running;
	GPtrArray *waiting;	 /* highest priority first, then oldest */
	GQueue cache;		 /* uint64_t *, least recently used first */
	GHashTable *cache_index; /* block to its GList link in cache */
	uint64_t kv_used;
	uint64_t submit_count;
	uint64_t preemptions;
	uint64_t produced;
};

/* lifetime */

static void engine_model_job_free(gpointer data)
{
	struct engine_model_job *job = data;

	g_free(job->blocks);
	g_free(job);
}

struct engine_model *engine_model_create(const struct engine_model_conf *conf,
					 const struct engine_model_events *events, void *ctx)
{
	struct engine_model *model = g_new0(struct engine_model, 1);

	model->conf = *conf;
	model->events = events;
	model->ctx = ctx;
	model->running = g_ptr_array_new();
	model->waiting = g_ptr_array_new();
	g_queue_init(&model->cache);
	model->cache_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	return model;
}

void engine_model_destroy(struct engine_model *model)
{
	if (!model)
		return;
	for (guint i = 0; i < model->running->len; i++)
		engine_model_job_free(model->running->pdata[i]);
	for (guint i = 0; i < model->waiting->len; i++)
		engine_model_job_free(model->waiting->pdata[i]);
	g_ptr_array_free(model->running, TRUE);
	g_ptr_array_free(model->waiting, TRUE);
	g_hash_table_destroy(model->cache_index);
	g_queue_clear_full(&model->cache, g_free);
	g_free(model);
}

/* helpers */

static void engine_model_cache_store(struct engine_model *model, uint64_t block)
{
	GList *link = g_hash_table_lookup(model->cache_index, &block);
	uint64_t *item;

	if (link) {
		g_queue_unlink(&model->cache, link);
		g_queue_push_tail_link(&model->cache, link);
		return;
	}
	if (model->conf.cache_blocks == 0)
		return;
	if (g_queue_get_length(&model->cache) >= model->conf.cache_blocks) {
		item = g_queue_pop_head(&model->cache);
		g_hash_table_remove(model->cache_index, item);
		if (model->events->cache)
			model->events->cache(model->ctx, *item, false);
		g_free(item);
	}
	item = g_memdup2(&block, sizeof(block));
	g_queue_push_tail(&model->cache, item);
	g_hash_table_insert(model->cache_index, item, model->cache.tail);
	if (model->events->cache)
		model->events->cache(model->ctx, block, true);
}

/* Returns the number of leading prompt tokens whose blocks are in the prefix cache. */
static uint64_t engine_model_cached_tokens(struct engine_model *model,
					   const struct engine_model_job *job)
{
	uint32_t hits = 0;

	while (hits < job->block_count &&
	       g_hash_table_contains(model->cache_index, &job->blocks[hits]))
		hits++;
	return MIN((uint64_t)hits * model->conf.block_tokens, job->prompt_tokens);
}

static bool engine_model_precedes(const struct engine_model_job *a,
				  const struct engine_model_job *b)
{
	if (a->priority != b->priority)
		return a->priority > b->priority;
	return a->submit_order < b->submit_order;
}

static void engine_model_enqueue(struct engine_model *model, struct engine_model_job *job)
{
	guint at = 0;

	while (at < model->waiting->len && engine_model_precedes(model->waiting->pdata[at], job))
		at++;
	g_ptr_array_insert(model->waiting, (gint)at, job);
}

/*
 * Tells whether a waiting job can be admitted. When no job is running, any job is,
 * whatever its size, so that none waits forever.
 */
static bool engine_model_fits(const struct engine_model *model, const struct engine_model_job *job)
{
	uint64_t kv_needed = job->prompt_tokens + job->produced;
	uint64_t limit = model->conf.kv_tokens;

	if (model->running->len >= model->conf.max_batch)
		return false;
	if (model->running->len == 0)
		return true;
	if (job->was_preempted)
		limit -= limit * model->conf.readmit_free_percent / 100;
	return model->kv_used + kv_needed + 1 <= limit;
}

static void engine_model_admit_waiting(struct engine_model *model)
{
	while (model->waiting->len > 0) {
		struct engine_model_job *job = model->waiting->pdata[0];

		if (!engine_model_fits(model, job))
			return;
		g_ptr_array_remove_index(model->waiting, 0);
		g_ptr_array_add(model->running, job);
		job->running = true;
		job->kv_held = job->prompt_tokens + job->produced;
		job->prefill_left = job->kv_held - engine_model_cached_tokens(model, job);
		model->kv_used += job->kv_held;
		if (job->was_preempted && model->events->preempted)
			model->events->preempted(model->ctx, job->user, false);
	}
}

/* Removes a job from the batch and frees its KV cache. */
static void engine_model_release(struct engine_model *model, struct engine_model_job *job)
{
	g_ptr_array_remove(model->running, job);
	model->kv_used -= job->kv_held;
	job->kv_held = 0;
	job->running = false;
}

/* Preempts the running job of the lowest priority, and of those the one submitted last. */
static void engine_model_preempt_one(struct engine_model *model)
{
	struct engine_model_job *lowest = model->running->pdata[0];

	for (guint i = 1; i < model->running->len; i++) {
		struct engine_model_job *job = model->running->pdata[i];

		if (engine_model_precedes(lowest, job))
			lowest = job;
	}
	engine_model_release(model, lowest);
	lowest->was_preempted = true;
	model->preemptions++;
	engine_model_enqueue(model, lowest);
	if (model->events->preempted)
		model->events->preempted(model->ctx, lowest->user, true);
}

/*
 * Computes up to prefill_chunk_tokens of prefill, in the order of admission.
 * @return the number of tokens computed
 */
static uint64_t engine_model_prefill(struct engine_model *model)
{
	uint64_t left = model->conf.prefill_chunk_tokens;
	uint64_t done = 0;

	for (guint i = 0; i < model->running->len && left > 0; i++) {
		struct engine_model_job *job = model->running->pdata[i];
		uint64_t part = MIN(job->prefill_left, left);

		if (part == 0)
			continue;
		job->prefill_left -= part;
		left -= part;
		done += part;
		for (uint32_t b = 0; job->prefill_left == 0 && b < job->block_count; b++)
			engine_model_cache_store(model, job->blocks[b]);
	}
	return done;
}

/* Produces one token for each job in @p ready. */
static void engine_model_decode(struct engine_model *model, GPtrArray *ready)
{
	for (guint i = 0; i < ready->len; i++) {
		struct engine_model_job *job = ready->pdata[i];
		uint64_t offset = job->produced++;
		bool last = job->produced >= job->output_tokens;

		model->produced++;
		job->kv_held++;
		model->kv_used++;
		if (last)
			engine_model_release(model, job);
		if (model->events->token)
			model->events->token(model->ctx, job->user, offset, last);
		if (last)
			engine_model_job_free(job);
	}
}

/* commands */

struct engine_model_job *engine_model_submit(struct engine_model *model,
					     const struct engine_model_job_spec *spec)
{
	struct engine_model_job *job = g_new0(struct engine_model_job, 1);

	job->prompt_tokens = spec->prompt_tokens;
	job->output_tokens = MAX(spec->output_tokens, spec->first_offset + 1);
	job->produced = spec->first_offset;
	job->priority = spec->priority;
	job->submit_order = model->submit_count++;
	job->blocks = g_memdup2(spec->blocks, spec->block_count * sizeof(*spec->blocks));
	job->block_count = spec->block_count;
	job->user = spec->user;
	engine_model_enqueue(model, job);
	return job;
}

void engine_model_cancel(struct engine_model *model, struct engine_model_job *job)
{
	if (job->running)
		engine_model_release(model, job);
	else
		g_ptr_array_remove(model->waiting, job);
	engine_model_job_free(job);
}

uint64_t engine_model_step(struct engine_model *model)
{
	g_autoptr(GPtrArray) ready = NULL;
	uint64_t computed;
	uint64_t duration_ns;

	engine_model_admit_waiting(model);
	if (model->running->len == 0)
		return 0;
	while (model->kv_used + model->running->len > model->conf.kv_tokens &&
	       model->running->len > 1)
		engine_model_preempt_one(model);
	computed = engine_model_prefill(model);
	ready = g_ptr_array_new();
	for (guint i = 0; i < model->running->len; i++) {
		struct engine_model_job *job = model->running->pdata[i];

		if (job->prefill_left == 0)
			g_ptr_array_add(ready, job);
	}
	duration_ns = model->conf.step_base_us * 1000 + model->conf.step_job_ns * ready->len +
		      model->conf.prefill_token_ns * computed;
	engine_model_decode(model, ready);
	return MAX(duration_ns / 1000, 1);
}

/* queries */

void engine_model_stats(const struct engine_model *model, struct engine_model_stats *out)
{
	*out = (struct engine_model_stats){ .kv_tokens = model->conf.kv_tokens,
					    .kv_used = model->kv_used,
					    .running = model->running->len,
					    .waiting = model->waiting->len,
					    .preemptions = model->preemptions,
					    .produced = model->produced };
}

uint64_t engine_model_job_produced(const struct engine_model_job *job)
{
	return job->produced;
}

bool engine_model_job_running(const struct engine_model_job *job)
{
	return job->running;
}
