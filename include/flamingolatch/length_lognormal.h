/**
 * @file length_lognormal.h
 * Estimates the output length of one generation, with lengths assumed to be
 * lognormal.
 *
 * Three sources are combined: the lengths of finished generations of its route,
 * the caller's hint, and the tokens that it has generated so far. A hint is
 * taken as right at the median, with a spread of its own; hint and route are
 * weighted by precision, and the result is conditioned on the tokens generated.
 * Order of calls: length_lognormal_init(), length_lognormal_learn() for each
 * finished generation, length_lognormal_expected() at any time. No I/O and no
 * clock. length_survival.h estimates lengths without such an assumption and
 * without hints.
 */
#ifndef FLAMINGOLATCH_LENGTH_LOGNORMAL_H
#define FLAMINGOLATCH_LENGTH_LOGNORMAL_H

#include <stdbool.h>
#include <stdint.h>

/** Lengths of the finished generations of a route, with those of the prior. */
struct length_lognormal {
	double log_sum;	       /**< sum of their natural logarithms */
	double log_square_sum; /**< sum of the squares of these */
	double count;
};

/** Starts with the prior only.
 * @param max_tokens largest output that requests of the route ask for; 0 when unknown */
void length_lognormal_init(struct length_lognormal *estimate, uint64_t max_tokens);
/** Adds a finished generation of @p tokens.
 * @param capped it ended because it reached its largest output */
void length_lognormal_learn(struct length_lognormal *estimate, uint64_t tokens, bool capped);
/**
 * Returns the expected output length of a generation, in tokens.
 * @param hint the caller's own estimate, in tokens; 0 when there is none
 * @param max_tokens largest output allowed; 0 when unknown
 * @param generated tokens generated so far
 * @return at least @p generated
 */
uint64_t length_lognormal_expected(const struct length_lognormal *estimate, uint64_t hint,
				   uint64_t max_tokens, uint64_t generated);

#endif
