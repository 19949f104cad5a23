/**
 * @file length_lognormal.h
 * Expected output length of one generation, from three sources: what finished
 * generations of its route made, the caller's own guess, and what it has made
 * so far.
 *
 * Lengths are taken as lognormal. A caller's guess is right at the median and
 * off by its own spread; both are combined by precision, then conditioned on
 * the tokens made. gss_init(), gss_learn() for each generation that ended,
 * gss_expected(). Pure.
 */
#ifndef FLAMINGOLATCH_GUESS_H
#define FLAMINGOLATCH_GUESS_H

#include <stdbool.h>
#include <stdint.h>

/** What is known of the lengths of a route. */
struct guess {
	double log_sum;	   /**< of natural logarithms, the prior's included */
	double square_sum; /**< of their squares */
	double count;
};

/** @param max_tokens most output that requests of the route ask for */
void gss_init(struct guess *guess, uint64_t max_tokens);
/** Counts a generation that ended after @p tokens.
 * @param capped it ended at the most that it was allowed */
void gss_learn(struct guess *guess, uint64_t tokens, bool capped);
/**
 * Returns the expected output of a generation, in tokens, at least @p made.
 * @param hint the caller's guess; 0 when there is none
 * @param max most output it may make; 0 means no limit
 * @param made tokens so far
 */
uint64_t gss_expected(const struct guess *guess, uint64_t hint, uint64_t max, uint64_t made);

#endif
