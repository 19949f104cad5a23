/**
 * @file store_history.h
 * Positions in the history of the store, which may come back from an older copy.
 *
 * The store counts its versions within an era. When it is restored from a copy,
 * the era rises and the versions after the copy are given out again, to other
 * changes. A version of an earlier era says nothing about the later one: a reader
 * that goes on from it misses changes, or is told again and again that there is no
 * such version.
 *
 * The load that this answers is a store that is away for a moment and returns some
 * seconds older, while what the operator and the upstreams had written is written
 * again beside new changes.
 *
 * store_history_note() with the era of each answer tells when the store was
 * restored. A cursor is the position from which a reader watches one table:
 * store_cursor_set() after each read of the whole table,
 * store_cursor_advance() after each answer to a watch,
 * store_cursor_follow() when a peer states its position. The module does no I/O
 * and reads no clock.
 */
#ifndef FLAMINGOLATCH_STORE_HISTORY_H
#define FLAMINGOLATCH_STORE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

/** A moment in the history of the store. All zeros: before anything was read. */
struct store_position {
	uint64_t era;	  /**< number of restorations so far, from any start */
	uint64_t version; /**< of the store within the era */
};

/** Returns whether @p a is later than @p b. */
bool store_position_is_after(struct store_position a, struct store_position b);

/** Returns whether a position is of an earlier era than @p era, so that the store knows nothing of
 * it any more. */
bool store_position_is_void(struct store_position position, uint64_t era);

/** What an instance knows of the restorations of the store. */
struct store_history {
	uint64_t era;	    /**< the latest; 0: none yet */
	uint64_t proves_us; /**< a read that was sent earlier proves nothing */
};

/** Records an era that the store or a peer stated; 0 is ignored.
 * @param now_us by a clock that also runs while the machine is suspended
 * @return true when it is later than one that was known, so the store was restored since */
bool store_history_note(struct store_history *history, uint64_t era, uint64_t now_us);
/** Tells whether a read proves that no later change was acknowledged before it was sent. Just after
 * a restoration it does not: changes that were lost are not all written again.
 * @param sent_us when it was sent, by the same clock */
bool store_history_proves(const struct store_history *history, uint64_t sent_us);

/** Where a reader is in the changes of one table. */
struct store_cursor {
	struct store_position position;
	bool synced; /**< the position is valid to watch from; otherwise the table is read whole */
};

/** Records that the whole table was read. @param position of the answer, which may be before that
 * of the cursor */
void store_cursor_set(struct store_cursor *cursor, struct store_position position);
/** Records the answer to a watch.
 * @param asked position of the cursor when the watch was sent
 * @param position of the answer
 * @return false when the answer does not have all changes since the cursor, as the store was
 *         restored in between; the cursor is not synced then */
bool store_cursor_advance(struct store_cursor *cursor, struct store_position asked,
			  struct store_position position);
/** Records the position of a peer that holds the same rows of the table; has no effect on a cursor
 * that is not synced, or later. */
void store_cursor_follow(struct store_cursor *cursor, struct store_position position);
/** Has the table read whole next time. */
void store_cursor_reset(struct store_cursor *cursor);

#endif
