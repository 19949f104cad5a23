/**
 * @file retry_bucket.h
 * A budget that keeps retries a share of successful requests.
 *
 * retry_init(), retry_succeeded() after each success, retry_take() before
 * each retry. Only requests that may be sent twice ask for a retry.
 */
#ifndef FLAMINGOLATCH_RETRY_H
#define FLAMINGOLATCH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/** Retries that an idle budget holds, in hundredths. */
#define RETRY_RESERVE_CENTI 1000
/** Upper bound of saved retries, in hundredths. */
#define RETRY_MAX_CENTI 10000

/** A retry budget of one service. */
struct retry {
	uint64_t centi; /**< saved retries, in hundredths */
};

void retry_init(struct retry *retry);
/** Adds @p percent of a retry to the budget. */
void retry_succeeded(struct retry *retry, uint64_t percent);
/** Takes one retry; false when the budget is spent. */
bool retry_take(struct retry *retry);

#endif
