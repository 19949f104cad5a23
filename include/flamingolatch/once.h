/**
 * @file once.h
 * A non-idempotent call that runs at most once.
 *
 * One object drives one caller's attempt. It does no I/O and reads no clock:
 * it asks for table commits, reads, sends and waits through struct once_ops,
 * and the owner reports what came of them. Order of calls: once_create(),
 * once_start(), then one once_on_...() for each request made, until the
 * finished callback; then once_destroy().
 *
 * The row of an idempotency key is in one of the states of enum once_state.
 * Only the attempt whose token stands in a ONCE_SENDING row may send. Nobody
 * replaces a ONCE_SENDING row but its own attempt, so two attempts can never
 * both send. ONCE_RELEASED tells that its attempt did not and will not send.
 */
#ifndef FLAMINGOLATCH_ONCE_H
#define FLAMINGOLATCH_ONCE_H

#include "flamingolatch/err.h"
#include "flamingolatch/table.h"

/** State of the row of an idempotency key. */
enum once_state {
	ONCE_ABSENT,   /**< no row */
	ONCE_SENDING,  /**< claimed by a token; the call may have been sent */
	ONCE_DONE,     /**< ran; the answer is recorded */
	ONCE_UNKNOWN,  /**< sent; its answer was lost */
	ONCE_RELEASED, /**< released by its attempt, which did not run */
	ONCE_STATE_COUNT
};

/** Returns the stored name of a state. */
const char *once_state_name(enum once_state state);
/** Tells whether an attempt may replace a row of state @p from by @p to.
 * @param own the row carries the attempt's own token */
bool once_may_replace(enum once_state from, enum once_state to, bool own);

/** A service's answer. */
struct once_answer {
	uint16_t status;
	const char *type;
	const char *body;
	size_t body_len;
	bool replayed; /**< it was recorded by an earlier attempt */
};

/**
 * Tells whether a row may be deleted: settled and older than @p ttl_ms. A row
 * whose outcome is open or unknown is kept.
 */
bool once_may_delete(const struct table_row *row, uint64_t wall_ms, uint64_t ttl_ms);

/** What the object asks of its owner. */
struct once_ops {
	/** Commits one row; report with once_on_commit(). */
	void (*commit)(void *ctx, const struct table_write *write);
	/** Reads the row; report with once_on_read(). */
	void (*read)(void *ctx, const char *key);
	/** Sends the call to an instance that was not tried yet; report with
	 * once_on_answer(), once_on_not_sent() or once_on_answer_lost(). */
	void (*send)(void *ctx);
	/** Asks for once_on_timer() after a delay. */
	void (*wait)(void *ctx, uint64_t delay_us);
	/** Answers the caller; runs exactly once. @p answer is NULL unless ERR_OK. */
	void (*answer)(void *ctx, enum err_kind kind, const struct once_answer *answer);
	/** Nothing is outstanding any more. @p certain is false when the row could
	 * not be brought up to date. Runs last, exactly once. */
	void (*finished)(void *ctx, bool certain);
};

/** Fixed parts of an attempt. Strings are copied. */
struct once_conf {
	const char *key;	    /**< row key */
	const char *token;	    /**< unique to this attempt */
	const char *fingerprint;    /**< digest of method, path and body */
	uint64_t claim_timeout_us;  /**< how long the table may take to confirm */
	uint64_t send_window_us;    /**< how long after the start the call may be sent */
	uint64_t call_timeout_us;   /**< how long the service may take */
	uint64_t record_timeout_us; /**< how long to go on recording the outcome */
};

struct once;

struct once *once_create(const struct once_conf *conf, const struct once_ops *ops, void *ctx);
void once_destroy(struct once *once);

/**
 * Claims the key.
 * @param now_us monotonic time
 * @param wall_ms wall clock, stored for readers of the row
 */
void once_start(struct once *once, uint64_t now_us, uint64_t wall_ms);
/** Reports a commit. @p row is the present row on TABLE_CONFLICT, the written
 * one on TABLE_OK, else NULL. */
void once_on_commit(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		    const struct table_row *row);
/** Reports a read; @p row is NULL when absent. */
void once_on_read(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		  const struct table_row *row);
/** Reports the service's answer. */
void once_on_answer(struct once *once, uint64_t now_us, const struct once_answer *answer);
/** Reports that no byte was sent. @p others tells whether another instance is left. */
void once_on_not_sent(struct once *once, uint64_t now_us, bool others);
/** Reports that the call was sent and its answer is lost. */
void once_on_answer_lost(struct once *once, uint64_t now_us);
/** Asks whether the first byte may leave now; false is reported as not sent. */
bool once_may_send(const struct once *once, uint64_t now_us);
/** Reports the end of a wait. */
void once_on_timer(struct once *once, uint64_t now_us, uint64_t wall_ms);

#endif
