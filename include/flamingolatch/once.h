/**
 * @file once.h
 * At-most-once execution of a non-idempotent call that carries an idempotency
 * key.
 *
 * Each request claims its key with a row in the store before it sends the
 * call, and records the outcome in that row afterwards. One object handles one
 * request. It does no I/O and reads no clock: it commits, reads, sends and
 * starts timers through struct once_ops, and the owner reports each result.
 * Order of calls: once_create(), once_start(), then one once_on_...() for each
 * operation started, until the finished callback; then once_destroy().
 *
 * The row of an idempotency key is in one of the states of enum once_state.
 * Only the request whose token is in a ONCE_SENDING row may send the call, and
 * only that request may replace the row, so two requests can never both send.
 * A ONCE_RELEASED row states that the request that wrote it has not sent the
 * call and never will.
 */
#ifndef FLAMINGOLATCH_ONCE_H
#define FLAMINGOLATCH_ONCE_H

#include "flamingolatch/err.h"
#include "flamingolatch/table.h"

/** State of the row of an idempotency key. */
enum once_state {
	ONCE_ABSENT,   /**< no row */
	ONCE_SENDING,  /**< claimed by a token; the call may have been sent */
	ONCE_DONE,     /**< the call ran; its answer is recorded */
	ONCE_UNKNOWN,  /**< the call was sent, but its answer was lost */
	ONCE_RELEASED, /**< the request gave up its claim without sending the call */
	ONCE_STATE_COUNT
};

/** Returns the name of a state as stored in the row. */
const char *once_state_name(enum once_state state);
/** Returns whether a request may replace a row of state @p from with @p to.
 * @param same_token the row carries the token of this request */
bool once_may_replace(enum once_state from, enum once_state to, bool same_token);

/** The answer of a service. */
struct once_answer {
	uint16_t status;  /**< HTTP status */
	const char *type; /**< content type */
	const char *body;
	size_t body_len;
	bool replayed; /**< recorded by an earlier request with the same key */
};

/**
 * Returns whether a row may be deleted: its state is ONCE_DONE or
 * ONCE_RELEASED and its claim is more than @p ttl_ms old. Rows with an open or
 * unknown outcome (ONCE_SENDING, ONCE_UNKNOWN) are kept.
 * @param wall_ms wall clock
 */
bool once_may_delete(const struct table_row *row, uint64_t wall_ms, uint64_t ttl_ms);

/** Operations that the owner provides. */
struct once_ops {
	/** Commits one row; report the result with once_on_commit(). */
	void (*commit)(void *ctx, const struct table_write *write);
	/** Reads the row; report the result with once_on_read(). */
	void (*read)(void *ctx, const char *key);
	/** Sends the call to an upstream that was not tried yet; report the result
	 * with once_on_answer(), once_on_not_sent() or once_on_answer_lost(). */
	void (*send)(void *ctx);
	/** Calls once_on_timer() after a delay. */
	void (*start_timer)(void *ctx, uint64_t delay_us);
	/** Answers the caller; runs exactly once. @p answer is NULL unless ERR_OK. */
	void (*answer)(void *ctx, enum err_kind kind, const struct once_answer *answer);
	/** The request is finished and no operation is outstanding. Runs last,
	 * exactly once. @p row_up_to_date is false when the row could not be
	 * updated. */
	void (*finished)(void *ctx, bool row_up_to_date);
};

/** Parameters of one request. Strings are copied. */
struct once_conf {
	const char *key;	    /**< row key */
	const char *token;	    /**< unique to this request */
	const char *fingerprint;    /**< digest of method, path and body */
	uint64_t claim_timeout_us;  /**< a failed claim is retried for this long after the start */
	uint64_t send_window_us;    /**< the call may be sent for this long after the start */
	uint64_t call_timeout_us;   /**< time limit for the answer of the service */
	uint64_t record_timeout_us; /**< time limit for recording an outcome or a release */
};

struct once;

/** @param ops not copied; must outlive the object
 * @param ctx passed to each operation */
struct once *once_create(const struct once_conf *conf, const struct once_ops *ops, void *ctx);
void once_destroy(struct once *once);

/**
 * Claims the key.
 * @param now_us monotonic time
 * @param wall_ms wall clock, stored for readers of the row
 */
void once_start(struct once *once, uint64_t now_us, uint64_t wall_ms);
/** Reports the result of a commit. @p row is the present row on TABLE_CONFLICT,
 * the written one on TABLE_OK, else NULL. */
void once_on_commit(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		    const struct table_row *row);
/** Reports the result of a read; @p row is NULL when absent. */
void once_on_read(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		  const struct table_row *row);
/** Reports the answer of the service. */
void once_on_answer(struct once *once, uint64_t now_us, const struct once_answer *answer);
/** Reports that no byte was sent.
 * @param has_alternative another upstream is left to try */
void once_on_not_sent(struct once *once, uint64_t now_us, bool has_alternative);
/** Reports that the call was sent and its answer was lost. */
void once_on_answer_lost(struct once *once, uint64_t now_us);
/** Returns whether the send window is still open. Call it right before the first
 * byte is written; if false, don't send, and report once_on_not_sent(). */
bool once_may_send(const struct once *once, uint64_t now_us);
/** Reports that the timer expired. */
void once_on_timer(struct once *once, uint64_t now_us, uint64_t wall_ms);

#endif
