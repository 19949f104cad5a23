/**
 * @file byte_budget.h
 * Limits the bytes per second that are sent over the link between regions.
 *
 * A token bucket whose balance may become negative: bytes of running streams are
 * counted but never refused, and no new work is admitted until the balance is
 * positive again. Order of calls: byte_budget_init(), byte_budget_spend() for
 * bytes that were sent, byte_budget_available() before new work is sent over the
 * link. Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_BYTE_BUDGET_H
#define FLAMINGOLATCH_BYTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A budget; the balance never exceeds the bytes of one second. */
struct byte_budget {
	double balance_bytes; /**< available; negative when overdrawn */
	uint64_t rate_bytes_per_s;
	uint64_t refilled_us; /**< time of the last refill */
};

/** Starts with the bytes of one second available. */
void byte_budget_init(struct byte_budget *budget, uint64_t rate_bytes_per_s, uint64_t now_us);
/** Counts bytes that were sent over the link. */
void byte_budget_spend(struct byte_budget *budget, uint64_t bytes, uint64_t now_us);
/** Returns whether new work may use the link. */
bool byte_budget_available(struct byte_budget *budget, uint64_t now_us);

#endif
