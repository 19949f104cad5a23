/**
 * @file ledger.h
 * Who pays for an engine's time: every microsecond belongs to one owner.
 *
 * One object accounts for one engine. ldgr_observe() closes the span since the
 * last observation under what was seen then: busy time by share of the work
 * held, idle time by the reservations, the rest to the engine's owner. What
 * nobody saw is unobserved. ldgr_merge() works out the engine's row in the
 * table from the row as read: it only ever continues where the row ends, so
 * accountants that follow or overlap each other leave no gap and count nothing
 * twice. Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_LEDGER_H
#define FLAMINGOLATCH_LEDGER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define LDGR_OWNERS_MAX 32

/** An owner's part of what was seen; weights are relative. */
struct ldgr_share {
	const char *owner;
	uint64_t weight;
};

struct ldgr;

/** @param token unique to this accountant and engine */
struct ldgr *ldgr_create(const char *token);
void ldgr_destroy(struct ldgr *ledger);

/**
 * Closes the open span and opens the next one.
 * @param wall_us wall clock
 * @param shares what holds from now on, at most LDGR_OWNERS_MAX
 * @param busy whether the shares are of running work, else of idle time
 */
void ldgr_observe(struct ldgr *ledger, uint64_t wall_us, const struct ldgr_share *shares,
		  uint32_t count, bool busy);
/**
 * Returns the row to write, or NULL when there is nothing to add.
 * @param row the row as read, or NULL when absent
 */
json_t *ldgr_merge(struct ldgr *ledger, const json_t *row);
/** The row returned by the last ldgr_merge() is written. */
void ldgr_written(struct ldgr *ledger);

/** Tells whether all parts of a row add up to its span. */
bool ldgr_adds_up(const json_t *row);

#endif
