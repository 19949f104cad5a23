#include "flamingolatch/gen.h"

#include <glib.h>

#define GEN_BACKOFF_FIRST_US 20000
#define GEN_BACKOFF_MAX_US   1000000

struct gen {
	const struct gen_ops *ops;
	void *ctx;
	struct gen_conf conf;
	enum gen_state state;
	uint64_t delivered; /* tokens */
	uint64_t epoch;
	uint64_t last_progress_us; /* time of the last progress, for the stall timeout */
	uint64_t interrupted_us;   /* start of the current interruption; 0 when there is none */
	uint64_t backoff_us;
	uint32_t restarts;
	bool has_stream; /* a stream to attach to is known */
	bool takeover;	 /* the next attach raises the epoch */
	bool preempted;
};

static const char *const gen_state_names[GEN_STATE_COUNT] = { "idle",	   "opening", "streaming",
							      "attaching", "waiting", "ended" };

static void gen_attach(struct gen *gen);
static void gen_open(struct gen *gen, uint64_t offset);

/* lifetime */

struct gen *gen_create(const struct gen_conf *conf, const struct gen_ops *ops, void *ctx)
{
	struct gen *gen = g_new0(struct gen, 1);

	gen->conf = *conf;
	gen->ops = ops;
	gen->ctx = ctx;
	gen->backoff_us = GEN_BACKOFF_FIRST_US;
	return gen;
}

void gen_destroy(struct gen *gen)
{
	g_free(gen);
}

/* helpers */

static void gen_end(struct gen *gen, enum err_kind kind)
{
	gen->state = GEN_ENDED;
	gen->ops->disconnect(gen->ctx);
	if (kind == ERR_OK)
		gen->ops->finish(gen->ctx);
	else
		gen->ops->fail(gen->ctx, kind);
}

static void gen_open(struct gen *gen, uint64_t offset)
{
	gen->state = GEN_OPENING;
	gen->has_stream = false;
	gen->ops->open(gen->ctx, offset);
}

static void gen_attach(struct gen *gen)
{
	gen->state = GEN_ATTACHING;
	gen->ops->attach(gen->ctx, gen->delivered, gen->epoch, gen->takeover);
}

static void gen_back_off(struct gen *gen)
{
	uint64_t delay_us = gen->backoff_us;

	gen->backoff_us = MIN(gen->backoff_us * 2, GEN_BACKOFF_MAX_US);
	gen->state = GEN_BACKING_OFF;
	gen->ops->start_timer(gen->ctx, delay_us);
}

/* Continues or restarts a lost stream on another engine; fails if neither is allowed. */
static void gen_stream_lost(struct gen *gen, uint64_t now_us)
{
	bool may_restart = gen->delivered == 0 || gen->conf.buffered;
#ifdef FL_FAULT_SPLICE
	/* Deliberate defect, which the tests have to detect: appends the output of another
	 * generation. */
	if (gen->restarts++ < gen->conf.restarts_max) {
		gen_open(gen, gen->delivered);
		return;
	}
#endif

	gen->ops->disconnect(gen->ctx);
	gen->interrupted_us = now_us;
	if (gen->restarts >= gen->conf.restarts_max) {
		gen_end(gen, gen->delivered ? ERR_GENERATION_LOST : ERR_NO_UPSTREAM);
	} else if (gen->ops->can_continue && gen->ops->can_continue(gen->ctx)) {
		gen->restarts++;
		gen_open(gen, gen->delivered);
	} else if (may_restart && !gen->takeover) {
		gen->restarts++;
		if (gen->delivered)
			gen->ops->discard(gen->ctx);
		gen->delivered = 0;
		gen_open(gen, 0);
	} else {
		gen_end(gen, ERR_GENERATION_LOST);
	}
}

static void gen_note_interruption(struct gen *gen, uint64_t now_us)
{
	if (gen->interrupted_us == 0)
		gen->interrupted_us = now_us;
}

static bool gen_resume_expired(const struct gen *gen, uint64_t now_us)
{
	return gen->interrupted_us && now_us - gen->interrupted_us >= gen->conf.resume_deadline_us;
}

static void gen_open_failed(struct gen *gen, uint64_t now_us)
{
	gen_note_interruption(gen, now_us);
	if (gen_resume_expired(gen, now_us))
		gen_end(gen, gen->delivered ? ERR_GENERATION_LOST : ERR_NO_UPSTREAM);
	else
		gen_back_off(gen);
}

/* commands */

void gen_start(struct gen *gen, uint64_t now_us)
{
	gen->last_progress_us = now_us;
	gen_open(gen, 0);
}

void gen_resume(struct gen *gen, uint64_t now_us, uint64_t offset)
{
	gen->last_progress_us = now_us;
	gen->delivered = offset;
	gen->has_stream = true;
	gen->takeover = true;
	gen_attach(gen);
}

void gen_on_open(struct gen *gen, uint64_t now_us, uint64_t epoch)
{
	if (gen->state != GEN_OPENING && gen->state != GEN_ATTACHING)
		return;
	gen->state = GEN_STREAMING;
	gen->epoch = epoch;
	gen->has_stream = true;
	gen->takeover = false;
	gen->preempted = false;
	gen->last_progress_us = now_us;
}

bool gen_on_token(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t offset,
		  const char *text, size_t len)
{
	if (gen->state != GEN_STREAMING || epoch != gen->epoch)
		return false;
#ifndef FL_FAULT_NO_DEDUP
	/* Left out as a deliberate defect, which the tests have to detect. */
	if (offset < gen->delivered)
		return false;
#endif
	if (offset > gen->delivered) {
		/* Tokens are missing: attaches again to get them. */
		gen_on_break(gen, now_us, GEN_BREAK_LOST);
		return false;
	}
	gen->delivered++;
	gen->last_progress_us = now_us;
	gen->interrupted_us = 0;
	gen->backoff_us = GEN_BACKOFF_FIRST_US;
	gen->preempted = false;
	gen->ops->deliver(gen->ctx, offset, text, len);
	return true;
}

void gen_on_preempted(struct gen *gen, uint64_t now_us, bool preempted)
{
	(void)now_us;
	gen->preempted = preempted;
}

void gen_on_end(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t total)
{
	if (gen->state != GEN_STREAMING || epoch != gen->epoch)
		return;
	if (total == gen->delivered)
		gen_end(gen, ERR_OK);
	else
		gen_on_break(gen, now_us, GEN_BREAK_LOST);
}

void gen_on_break(struct gen *gen, uint64_t now_us, enum gen_break reason)
{
	enum gen_state previous = gen->state;

	if (previous == GEN_ENDED || previous == GEN_IDLE || previous == GEN_BACKING_OFF)
		return;
	gen->ops->disconnect(gen->ctx);
	if (reason == GEN_BREAK_FENCED) {
		gen_end(gen, ERR_SUPERSEDED);
		return;
	}
	if (previous == GEN_OPENING) {
		gen_open_failed(gen, now_us);
		return;
	}
	gen_note_interruption(gen, now_us);
	if (reason == GEN_BREAK_GONE || gen_resume_expired(gen, now_us))
		gen_stream_lost(gen, now_us);
	else
		gen_back_off(gen);
}

void gen_on_timer(struct gen *gen, uint64_t now_us)
{
	if (gen->state != GEN_BACKING_OFF)
		return;
	if (!gen->has_stream)
		gen_open(gen, gen->delivered);
	else if (gen_resume_expired(gen, now_us))
		gen_stream_lost(gen, now_us);
	else
		gen_attach(gen);
}

bool gen_check_stall(struct gen *gen, uint64_t now_us)
{
	uint64_t timeout_us =
		gen->preempted ? gen->conf.preempted_stall_timeout_us : gen->conf.stall_timeout_us;

	if (gen->state != GEN_STREAMING || now_us - gen->last_progress_us < timeout_us)
		return false;
	gen->last_progress_us = now_us;
	gen_on_break(gen, now_us, GEN_BREAK_LOST);
	return true;
}

void gen_reset_stall_timer(struct gen *gen, uint64_t now_us)
{
	gen->last_progress_us = now_us;
}

/* queries */

enum gen_state gen_state(const struct gen *gen)
{
	return gen->state;
}

const char *gen_state_name(enum gen_state state)
{
	return gen_state_names[state];
}

uint64_t gen_delivered(const struct gen *gen)
{
	return gen->delivered;
}

uint64_t gen_epoch(const struct gen *gen)
{
	return gen->epoch;
}
