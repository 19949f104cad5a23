/**
 * @file byte_budget.h
 * A budget of bytes a second, for work between regions.
 *
 * budget_init(), budget_spend() for bytes that passed, budget_has() before new
 * work is sent over the link. Spending is never refused, since running streams
 * go on; a budget that is overdrawn lets no new work through.
 */
#ifndef FLAMINGOLATCH_BUDGET_H
#define FLAMINGOLATCH_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** A budget; at most one second's worth is saved. */
struct budget {
	double bytes; /**< saved, or overdrawn when negative */
	uint64_t rate_bytes_per_s;
	uint64_t at_us;
};

void budget_init(struct budget *budget, uint64_t rate_bytes_per_s, uint64_t now_us);
void budget_spend(struct budget *budget, uint64_t bytes, uint64_t now_us);
/** Tells whether new work may use the link. */
bool budget_has(struct budget *budget, uint64_t now_us);

#endif
