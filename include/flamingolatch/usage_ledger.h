/**
 * @file usage_ledger.h
 * Charges the time of an engine to the owners of the work, without gaps and
 * without counting any time twice.
 *
 * One object accounts for one engine, on behalf of one observer.
 * usage_ledger_observe() ends the interval that began with the last
 * observation and charges it by the weights given then: busy time in proportion
 * to the work that each owner has on the engine; idle time in proportion to the
 * reservations, and the rest to the owner of the engine. Time that no observer
 * watched is recorded as unobserved. usage_ledger_merge() computes the row of
 * the engine in the store from the row as read. The new row always continues
 * where that row ends, so observers that follow or overlap each other leave no
 * gap and count nothing twice.
 * Order of calls: usage_ledger_create(), usage_ledger_observe() regularly,
 * usage_ledger_merge() and, once its row is committed,
 * usage_ledger_on_written(); usage_ledger_destroy(). Does no I/O and reads no
 * clock.
 */
#ifndef FLAMINGOLATCH_USAGE_LEDGER_H
#define FLAMINGOLATCH_USAGE_LEDGER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define USAGE_LEDGER_MAX_OWNERS 32

/** The share of an owner in an interval: its weight over the sum of all weights. */
struct usage_ledger_share {
	const char *owner;
	uint64_t weight;
};

struct usage_ledger;

/** @param token unique to this observer and engine */
struct usage_ledger *usage_ledger_create(const char *token);
void usage_ledger_destroy(struct usage_ledger *ledger);

/**
 * Ends the current interval and starts the next one.
 * @param wall_us wall clock
 * @param shares owners of the next interval; those beyond USAGE_LEDGER_MAX_OWNERS are
 *        ignored. With none, or a total weight of 0, the interval is unobserved
 * @param count number of @p shares
 * @param busy true when the engine runs work of the owners; false when it is idle
 */
void usage_ledger_observe(struct usage_ledger *ledger, uint64_t wall_us,
			  const struct usage_ledger_share *shares, uint32_t count, bool busy);
/**
 * Returns the row to write, or NULL when there is nothing to add. The caller
 * owns the returned reference.
 * @param row the row as read, or NULL when absent
 */
json_t *usage_ledger_merge(struct usage_ledger *ledger, const json_t *row);
/** Reports that the row returned by the last usage_ledger_merge() was committed. */
void usage_ledger_on_written(struct usage_ledger *ledger);

/** Returns whether busy, idle and unobserved time add up to the interval of a row. */
bool usage_ledger_is_balanced(const json_t *row);

#endif
