/**
 * @file length_lognormal.h
 * Estimates the output length of one generation, with lengths assumed to be
 * lognormal.
 *
 * Three sources are combined: the lengths of finished generations of its route,
 * the caller's hint, and the tokens that it has generated so far. A hint is taken
 * as the median of a lognormal distribution with a fixed spread. The distributions
 * of hint and route are weighted by their precision (the reciprocal of the
 * variance), and the result is conditioned on the tokens generated so far.
 * Order of calls: length_lognormal_init(), length_lognormal_learn() for each
 * finished generation, length_lognormal_expected() at any time. Does no I/O and
 * reads no clock. length_survival.h assumes no distribution and uses no hints.
 */
#ifndef FLAMINGOLATCH_LENGTH_LOGNORMAL_H
#define FLAMINGOLATCH_LENGTH_LOGNORMAL_H

#include <stdbool.h>
#include <stdint.h>

/** Sums over the lengths of a route's finished generations. The prior is included, as if some had
 * finished before the first. */
struct length_lognormal {
	double log_sum;	       /**< sum of their natural logarithms */
	double log_square_sum; /**< sum of the squares of these */
	double count;	       /**< number of generations */
};

/** Starts with the prior only.
 * @param max_tokens largest output length that requests of the route ask for; 0 when unknown */
void length_lognormal_init(struct length_lognormal *estimate, uint64_t max_tokens);
/** Adds a finished generation of @p tokens.
 * @param capped it ended because it reached the largest output length allowed */
void length_lognormal_learn(struct length_lognormal *estimate, uint64_t tokens, bool capped);
/**
 * Returns the expected output length of a generation, in tokens.
 * @param hint the caller's own estimate, in tokens; 0 when there is none
 * @param max_tokens largest output length allowed; 0 when unknown
 * @param generated tokens generated so far
 * @return at least @p generated
 */
uint64_t length_lognormal_expected(const struct length_lognormal *estimate, uint64_t hint,
				   uint64_t max_tokens, uint64_t generated);

#endif
