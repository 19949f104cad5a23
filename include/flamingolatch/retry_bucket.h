/**
 * @file retry_bucket.h
 * Limits the retries for one service to a share of the successful requests.
 *
 * A token bucket: each success adds a part of a retry, each retry takes one.
 * Order of calls: retry_bucket_init(), retry_bucket_credit() after each
 * success, retry_bucket_take() before each retry. Only requests that may be
 * executed twice are retried. retry_budget.h is a limit over all instances.
 */
#ifndef FLAMINGOLATCH_RETRY_BUCKET_H
#define FLAMINGOLATCH_RETRY_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** Retries available before the first success, in hundredths. */
#define RETRY_BUCKET_INITIAL_CENTI 1000
/** Largest number of retries available, in hundredths. */
#define RETRY_BUCKET_MAX_CENTI 10000

/** Retries available for one service. */
struct retry_bucket {
	uint64_t centi; /**< retries available, in hundredths */
};

/** Fills the bucket with RETRY_BUCKET_INITIAL_CENTI. */
void retry_bucket_init(struct retry_bucket *bucket);
/** Adds a part of a retry for a successful request.
 * @param percent the part, in hundredths of a retry */
void retry_bucket_credit(struct retry_bucket *bucket, uint64_t percent);
/** Takes one retry. @return false when less than one is available; nothing is taken then */
bool retry_bucket_take(struct retry_bucket *bucket);

#endif
