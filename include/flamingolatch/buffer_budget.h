/**
 * @file buffer_budget.h
 * Limits the bytes that are buffered for all open requests together.
 *
 * Each holder has a limit of its own. Once all of them together hold the
 * budget's bytes, that limit is BUFFER_BUDGET_MIN_BYTES, so that each can still
 * go on, in small steps. Order of calls: buffer_budget_update() whenever a
 * holder's bytes change, with 0 at its end; buffer_budget_limit() before it
 * takes more. Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_BUFFER_BUDGET_H
#define FLAMINGOLATCH_BUFFER_BUDGET_H

#include <glib.h>
#include <stdint.h>

/** What each holder may have even if the budget is used up, in bytes. */
#define BUFFER_BUDGET_MIN_BYTES (16U << 10)

/** A budget; zeros are an empty one. */
struct buffer_budget {
	uint64_t max_bytes;
	uint64_t held_bytes; /**< sum over all holders */
};

/** Sets what a holder has. @param held_bytes what it had before, 0 at first; updated */
void buffer_budget_update(struct buffer_budget *budget, uint64_t *held_bytes, uint64_t bytes);
/** Returns how much a holder may have now, in bytes. @param own_max_bytes its own limit */
uint64_t buffer_budget_limit(const struct buffer_budget *budget, uint64_t own_max_bytes);

/** Empties a buffer, and gives its memory back if it is large. Returns the buffer to use from now
 * on. */
GString *buffer_clear(GString *buffer);

#endif
