/**
 * @file gen.h
 * Delivery of one generation from an engine to a caller, across failures.
 *
 * The object decides what to do when an engine dies, freezes, shuts down or
 * repeats output, so that the caller gets every token exactly once, in order
 * and from a single generation. It does no I/O and reads no clock: it acts
 * through struct gen_ops, and the owner reports events. Order of calls:
 * gen_create(), gen_start() or gen_resume(), then gen_on_...() as events occur and
 * gen_check_stall() regularly, until the finish or fail callback has run; then
 * gen_destroy().
 *
 * The output of a generation is a stream, identified by its engine, a stream
 * id and an epoch. The engine raises the epoch each time another connection
 * takes the stream over; output of an older epoch is dropped. If its engine is
 * lost before a token was delivered, a generation is restarted on another engine.
 * Afterwards it is resumed only on the same stream, or on an engine that
 * continues the same output exactly.
 */
#ifndef FLAMINGOLATCH_GEN_H
#define FLAMINGOLATCH_GEN_H

#include "flamingolatch/err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of the delivery. */
enum gen_state {
	GEN_IDLE,	 /**< not started */
	GEN_OPENING,	 /**< a new stream is being opened */
	GEN_STREAMING,	 /**< tokens arrive */
	GEN_ATTACHING,	 /**< connecting again to the same stream */
	GEN_BACKING_OFF, /**< delay before the next open or attach; its name is "waiting" */
	GEN_ENDED,	 /**< finished or failed */
	GEN_STATE_COUNT
};

/** Why a connection to an engine ended early. */
enum gen_break {
	GEN_BREAK_REFUSED, /**< no connection, or refused before output began */
	GEN_BREAK_LOST,	   /**< the connection broke or the engine did not answer in time */
	GEN_BREAK_GONE,	   /**< the engine does not know the stream */
	GEN_BREAK_FENCED,  /**< another connection took the stream over, under a newer epoch */
};

/** Operations that the owner provides. Offsets count tokens from the start of the output. */
struct gen_ops {
	/** Opens a new stream on an engine that the owner selects.
	 * @param offset first token wanted; above 0 only after can_continue()
	 *        returned true */
	void (*open)(void *ctx, uint64_t offset);
	/** Attaches to the stream opened or resumed before.
	 * @param offset first token wanted
	 * @param epoch last known epoch, 0 when unknown
	 * @param takeover takes the stream over: the engine raises the epoch */
	void (*attach)(void *ctx, uint64_t offset, uint64_t epoch, bool takeover);
	/** Closes the connection to the engine, if any; no event of it may follow. */
	void (*disconnect)(void *ctx);
	/** Passes the token at @p offset on to the caller. */
	void (*deliver)(void *ctx, uint64_t offset, const char *text, size_t len);
	/** Discards all delivered tokens; only with gen_conf.buffered. */
	void (*discard)(void *ctx);
	/** Calls gen_on_timer() after a delay. */
	void (*start_timer)(void *ctx, uint64_t delay_us);
	/** The complete output was delivered. Runs last. */
	void (*finish)(void *ctx);
	/** The generation ended early. Runs last. */
	void (*fail)(void *ctx, enum err_kind kind);
	/** Returns whether another engine can continue this output exactly; may
	 * be NULL, which stands for false. */
	bool (*can_continue)(void *ctx);
};

/** Parameters of one generation. */
struct gen_conf {
	bool buffered;		   /**< the owner passes the output on only when it is complete */
	uint64_t stall_timeout_us; /**< time without a token after which to attach again */
	uint64_t preempted_stall_timeout_us; /**< the same while the engine reports preemption */
	uint64_t resume_deadline_us;	     /**< time limit for resuming after an interruption */
	uint32_t restarts_max; /**< how many times a lost stream may be replaced by a new one */
};

struct gen;

/** @param ops not copied; must outlive the object
 * @param ctx passed to each operation */
struct gen *gen_create(const struct gen_conf *conf, const struct gen_ops *ops, void *ctx);
void gen_destroy(struct gen *gen);

/** Starts a new generation. @p now_us here and below is monotonic time. */
void gen_start(struct gen *gen, uint64_t now_us);
/** Takes over an existing stream of which @p offset tokens were delivered. */
void gen_resume(struct gen *gen, uint64_t now_us, uint64_t offset);

/** Reports that the engine accepted the open or attach; output of this epoch follows. */
void gen_on_open(struct gen *gen, uint64_t now_us, uint64_t epoch);
/** Reports a token.
 * @return true when it was delivered, false when it was dropped */
bool gen_on_token(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t offset,
		  const char *text, size_t len);
/** Reports that the engine preempted the generation, or scheduled it again. */
void gen_on_preempted(struct gen *gen, uint64_t now_us, bool preempted);
/** Reports that the engine ended the output after @p total tokens. */
void gen_on_end(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t total);
/** Reports that the connection ended early. */
void gen_on_break(struct gen *gen, uint64_t now_us, enum gen_break reason);
/** Reports that the timer expired. */
void gen_on_timer(struct gen *gen, uint64_t now_us);
/** Checks the stall timeout; call regularly.
 * @return true when the stream stalled; it is then interrupted as by GEN_BREAK_LOST */
bool gen_check_stall(struct gen *gen, uint64_t now_us);

/** Restarts the stall timeout; call when reading resumes after a pause for flow control. */
void gen_reset_stall_timer(struct gen *gen, uint64_t now_us);

enum gen_state gen_state(const struct gen *gen);
/** Returns the name of a state for operators. */
const char *gen_state_name(enum gen_state state);
/** Returns how many tokens were delivered. */
uint64_t gen_delivered(const struct gen *gen);
/** Returns the epoch of the stream; 0 before it is known. */
uint64_t gen_epoch(const struct gen *gen);

#endif
