/**
 * @file gen.h
 * One generation on its way from an engine to a caller.
 *
 * The object decides what to do when engines die, freeze, leave or repeat
 * themselves, so that the caller gets every token once, in order and from a
 * single generation. It does no I/O and reads no clock: it asks through
 * struct gen_ops and the owner reports events. Order of calls: gen_create(),
 * gen_start() or gen_resume(), events, until finish or fail ran; then
 * gen_destroy().
 *
 * A generation is identified by its engine, the engine's stream and the
 * stream's epoch. The engine raises the epoch at each takeover; output of an
 * older epoch is dropped. Before any token was delivered, a generation whose
 * engine is lost starts anew elsewhere. Afterwards it goes on only on the same
 * stream, or on an engine that continues the same output exactly.
 */
#ifndef FLAMINGOLATCH_GEN_H
#define FLAMINGOLATCH_GEN_H

#include "flamingolatch/err.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of a generation. */
enum gen_state {
	GEN_IDLE,
	GEN_OPENING,   /**< asked for a new stream */
	GEN_STREAMING, /**< tokens arrive */
	GEN_ATTACHING, /**< asked for the same stream again */
	GEN_WAITING,   /**< waits before the next attempt */
	GEN_ENDED,
	GEN_STATE_COUNT
};

/** Why a connection to an engine ended early. */
enum gen_break {
	GEN_BREAK_REFUSED, /**< no connection, or refused before it began */
	GEN_BREAK_LOST,	   /**< the connection broke or gave no answer in time */
	GEN_BREAK_GONE,	   /**< the engine does not know the stream */
	GEN_BREAK_FENCED,  /**< the stream was taken over by a newer epoch */
};

/** What the object asks of its owner. */
struct gen_ops {
	/** Opens a new stream on an engine that is not avoided; starts at
	 * @p offset when an exact continuation was found, else 0. */
	void (*open)(void *ctx, uint64_t offset);
	/** Attaches to the stream at @p offset. @p takeover raises the epoch. */
	void (*attach)(void *ctx, uint64_t offset, uint64_t epoch, bool takeover);
	/** Drops the connection to the engine, if any; no event of it follows. */
	void (*disconnect)(void *ctx);
	/** Passes on the token at @p offset. */
	void (*deliver)(void *ctx, uint64_t offset, const char *text, size_t len);
	/** Throws away what was delivered; only for answers that are held whole. */
	void (*restart)(void *ctx);
	/** Asks for gen_on_timer() after a delay. */
	void (*wait)(void *ctx, uint64_t delay_us);
	/** The whole answer was delivered. Runs last. */
	void (*finish)(void *ctx);
	/** The generation ends early. Runs last. */
	void (*fail)(void *ctx, enum err_kind kind);
	/** Tells whether another engine can continue this output exactly. */
	bool (*can_continue)(void *ctx);
};

/** Bounds of one generation. */
struct gen_conf {
	bool buffered;			     /**< the answer is held until it is whole */
	uint64_t stall_timeout_us;	     /**< time without progress before attaching again */
	uint64_t preempted_stall_timeout_us; /**< the same while the engine says preempted */
	uint64_t resume_deadline_us;	     /**< time to take up a broken stream */
	uint32_t restarts_max;		     /**< new starts on other engines */
};

struct gen;

struct gen *gen_create(const struct gen_conf *conf, const struct gen_ops *ops, void *ctx);
void gen_destroy(struct gen *gen);

/** Starts a new generation. */
void gen_start(struct gen *gen, uint64_t now_us);
/** Takes over an existing stream after @p offset tokens. */
void gen_resume(struct gen *gen, uint64_t now_us, uint64_t offset);

/** The engine accepted; output of this epoch follows. */
void gen_on_open(struct gen *gen, uint64_t now_us, uint64_t epoch);
/** A token of an epoch arrived.
 * @return true when it was delivered, false when it was dropped */
bool gen_on_token(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t offset,
		  const char *text, size_t len);
/** The engine pushed the generation off, or took it back. */
void gen_on_preempted(struct gen *gen, uint64_t now_us, bool preempted);
/** The engine says that the output is whole with @p total tokens. */
void gen_on_end(struct gen *gen, uint64_t now_us, uint64_t epoch, uint64_t total);
/** The connection ended early. */
void gen_on_break(struct gen *gen, uint64_t now_us, enum gen_break why);
/** The end of a wait. */
void gen_on_timer(struct gen *gen, uint64_t now_us);
/** Looks for a stall; call regularly.
 * @return true when the stream was found stalled */
bool gen_check_stall(struct gen *gen, uint64_t now_us);

/** Notes that reading was held up on purpose; not a stall. */
void gen_reset_stall_timer(struct gen *gen, uint64_t now_us);

enum gen_state gen_state(const struct gen *gen);
const char *gen_state_name(enum gen_state state);
/** Returns how many tokens were delivered. */
uint64_t gen_delivered(const struct gen *gen);
uint64_t gen_epoch(const struct gen *gen);

#endif
