/**
 * @file length_survival.h
 * Online estimate of output lengths, conditioned on what was produced.
 *
 * A life table over length buckets, four to the octave: for each bucket how
 * many generations entered it and how many ended in it. Running generations
 * count as censored: each bucket that one has passed counts as survived. An
 * estimate with little data leans on its parent. Order of calls: len_create(),
 * len_passed() and len_ended() as generations go, len_survival() at any time,
 * len_destroy() last. Children are destroyed before their parent.
 */
#ifndef FLAMINGOLATCH_LENGTH_H
#define FLAMINGOLATCH_LENGTH_H

#include <stdint.h>

/** Buckets of the life table; the last has no upper edge. */
#define LEN_BUCKETS 56

struct len;

/** @param parent estimate to lean on, or NULL for the built-in prior */
struct len *len_create(struct len *parent);
void len_destroy(struct len *len);

/** Counts a generation that left bucket @p bucket alive. */
void len_passed(struct len *len, uint32_t bucket);
/** Counts a generation that ended with @p tokens. */
void len_ended(struct len *len, uint64_t tokens);

/** Returns the bucket of a token count. */
uint32_t len_bucket(uint64_t tokens);
/** Returns the first token count of a bucket. */
uint64_t len_bucket_start(uint32_t bucket);
/** Returns the probability that a generation of @p from tokens reaches @p to. */
double len_survival(const struct len *len, uint64_t from, uint64_t to);
/** Returns the expected final length given @p from tokens, capped at @p max. */
double len_expected(const struct len *len, uint64_t from, uint64_t max);

#endif
