/**
 * @file length_survival.h
 * Estimates output lengths online, given the tokens generated so far.
 *
 * A life table over length buckets, four to the octave (doubling of the length): for
 * each bucket, how many generations entered it and how many ended in it. Running
 * generations count as censored: each bucket that one has passed counts as
 * survived, so that long generations are counted before they end. A table with
 * little data uses its parent as prior: the parent of a customer's table is the
 * table of the service. Order of calls: length_survival_create(),
 * length_survival_add_passed() and length_survival_add_ended() as generations
 * proceed, queries at any time, length_survival_destroy() last, children before
 * their parent. Does no I/O and reads no clock. length_lognormal.h assumes a
 * distribution and uses callers' hints.
 */
#ifndef FLAMINGOLATCH_LENGTH_SURVIVAL_H
#define FLAMINGOLATCH_LENGTH_SURVIVAL_H

#include <stdint.h>

/** Number of buckets of the life table; the last has no upper bound. */
#define LENGTH_SURVIVAL_BUCKET_COUNT 56

struct length_survival;

/** @param parent table to use as prior, or NULL for the built-in one; must outlive the new table */
struct length_survival *length_survival_create(struct length_survival *parent);
void length_survival_destroy(struct length_survival *table);

/** Counts a generation that grew beyond a bucket, in the table and in its parents. */
void length_survival_add_passed(struct length_survival *table, uint32_t bucket);
/** Counts a generation that ended with @p tokens, in the table and in its parents. */
void length_survival_add_ended(struct length_survival *table, uint64_t tokens);

/** Returns the bucket of a length in tokens. */
uint32_t length_survival_bucket(uint64_t tokens);
/** Returns the smallest length of a bucket, in tokens. */
uint64_t length_survival_bucket_start(uint32_t bucket);
/** Returns the probability that a generation that has @p from tokens reaches @p to tokens. */
double length_survival_probability(const struct length_survival *table, uint64_t from, uint64_t to);
/** Returns the expected final length of a generation that has @p from tokens and ends at
 * @p max_tokens at the latest, in tokens. */
double length_survival_expected(const struct length_survival *table, uint64_t from,
				uint64_t max_tokens);

#endif
