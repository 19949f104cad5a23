/**
 * @file byte_budget.h
 * Limits the bytes per second that pass over the link between regions.
 *
 * A token bucket that may be overdrawn: bytes of running streams are always
 * counted and never refused, but an overdrawn budget admits no new work. Order
 * of calls: byte_budget_init(), byte_budget_spend() for bytes that passed,
 * byte_budget_available() before new work is sent over the link. No clock.
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
/** Counts bytes that passed over the link. */
void byte_budget_spend(struct byte_budget *budget, uint64_t bytes, uint64_t now_us);
/** Returns whether new work may use the link. */
bool byte_budget_available(struct byte_budget *budget, uint64_t now_us);

#endif
