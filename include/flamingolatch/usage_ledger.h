/**
 * @file usage_ledger.h
 * Who pays for an engine's time: every microsecond belongs to one owner.
 *
 * One object accounts for one engine. usage_ledger_observe() closes the span since the
 * last observation under what was seen then: busy time by share of the work
 * held, idle time by the reservations, the rest to the engine's owner. What
 * nobody saw is unobserved. usage_ledger_merge() works out the engine's row in the
 * table from the row as read: it only ever continues where the row ends, so
 * accountants that follow or overlap each other leave no gap and count nothing
 * twice. Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_USAGE_LEDGER_H
#define FLAMINGOLATCH_USAGE_LEDGER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define USAGE_LEDGER_MAX_OWNERS 32

/** An owner's part of what was seen; weights are relative. */
struct usage_ledger_share {
	const char *owner;
	uint64_t weight;
};

struct usage_ledger;

/** @param token unique to this accountant and engine */
struct usage_ledger *usage_ledger_create(const char *token);
void usage_ledger_destroy(struct usage_ledger *ledger);

/**
 * Closes the open span and opens the next one.
 * @param wall_us wall clock
 * @param shares what holds from now on, at most USAGE_LEDGER_MAX_OWNERS
 * @param busy whether the shares are of running work, else of idle time
 */
void usage_ledger_observe(struct usage_ledger *ledger, uint64_t wall_us,
			  const struct usage_ledger_share *shares, uint32_t count, bool busy);
/**
 * Returns the row to write, or NULL when there is nothing to add.
 * @param row the row as read, or NULL when absent
 */
json_t *usage_ledger_merge(struct usage_ledger *ledger, const json_t *row);
/** The row returned by the last usage_ledger_merge() is written. */
void usage_ledger_on_written(struct usage_ledger *ledger);

/** Tells whether all parts of a row add up to its span. */
bool usage_ledger_is_balanced(const json_t *row);

#endif
