#include "flamingolatch/length_survival.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

#define LEN_LINEAR_LIMIT   16 /* below it, buckets are four tokens wide */
#define LEN_LINEAR_BUCKETS 4
#define LEN_PER_OCTAVE	   4
#define LEN_PRIOR_WEIGHT   8.0	  /* pseudo-count of the parent's estimate */
#define LEN_EXPOSURE_MAX   4000.0 /* older data is halved beyond this */
#define LEN_PRIOR_HAZARD   0.12	  /* a bucket's share of ends without any data */

struct len {
	const struct len *parent;
	double exposed[LEN_BUCKETS];
	double ended[LEN_BUCKETS];
	double log_survival[LEN_BUCKETS + 1]; /* at the start of each bucket */
	uint64_t revision;
	uint64_t parent_seen;
	bool stale;
};

static void len_refresh(struct len *len);

/* lifetime */

struct len *len_create(struct len *parent)
{
	struct len *len = g_new0(struct len, 1);

	len->parent = parent;
	len->stale = true;
	return len;
}

void len_destroy(struct len *len)
{
	g_free(len);
}

/* helpers */

static double len_parent_hazard(const struct len *len, uint32_t bucket)
{
	const struct len *parent = len->parent;
	double prior;

	if (!parent)
		return LEN_PRIOR_HAZARD;
	prior = len_parent_hazard(parent, bucket);
	return (parent->ended[bucket] + LEN_PRIOR_WEIGHT * prior) /
	       (parent->exposed[bucket] + LEN_PRIOR_WEIGHT);
}

static double len_hazard(const struct len *len, uint32_t bucket)
{
	double prior = len_parent_hazard(len, bucket);

	return (len->ended[bucket] + LEN_PRIOR_WEIGHT * prior) /
	       (len->exposed[bucket] + LEN_PRIOR_WEIGHT);
}

static void len_refresh(struct len *len)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < LEN_BUCKETS; i++) {
		len->log_survival[i] = sum;
		sum += log1p(-MIN(len_hazard(len, i), 0.999));
	}
	len->log_survival[LEN_BUCKETS] = sum;
	len->parent_seen = len->parent ? len->parent->revision : 0;
	len->stale = false;
}

static void len_count(struct len *len, uint32_t bucket, double ended)
{
	len->exposed[bucket] += 1.0;
	len->ended[bucket] += ended;
	if (len->exposed[bucket] > LEN_EXPOSURE_MAX) {
		len->exposed[bucket] /= 2;
		len->ended[bucket] /= 2;
	}
	len->stale = true;
	len->revision++;
}

/* Log survival up to a token count, linear within a bucket. */
static double len_log_at(const struct len *len, uint64_t tokens)
{
	uint32_t bucket = len_bucket(tokens);
	uint64_t start = len_bucket_start(bucket);
	uint64_t end = len_bucket_start(bucket + 1);
	double part = (double)(tokens - start) / (double)(end - start);

	return len->log_survival[bucket] +
	       MIN(part, 1.0) * (len->log_survival[bucket + 1] - len->log_survival[bucket]);
}

static const struct len *len_fresh(const struct len *len)
{
	/* The cumulative table is a cache of the counts. */
	struct len *self = (struct len *)len;

	if (self->stale || (self->parent && self->parent->revision > self->parent_seen + 64))
		len_refresh(self);
	return self;
}

/* commands */

void len_passed(struct len *len, uint32_t bucket)
{
	for (; len; len = (struct len *)len->parent)
		len_count(len, MIN(bucket, LEN_BUCKETS - 1), 0.0);
}

void len_ended(struct len *len, uint64_t tokens)
{
	for (; len; len = (struct len *)len->parent)
		len_count(len, len_bucket(tokens), 1.0);
}

/* queries */

uint32_t len_bucket(uint64_t tokens)
{
	uint32_t octave;
	uint32_t quarter;

	if (tokens < LEN_LINEAR_LIMIT)
		return (uint32_t)(tokens / LEN_LINEAR_BUCKETS);
	octave = 63 - (uint32_t)__builtin_clzll(tokens);
	quarter = (uint32_t)((tokens >> (octave - 2)) & 3);
	return MIN(LEN_LINEAR_BUCKETS + (octave - 4) * LEN_PER_OCTAVE + quarter, LEN_BUCKETS - 1);
}

uint64_t len_bucket_start(uint32_t bucket)
{
	uint32_t octave;
	uint32_t quarter;

	if (bucket < LEN_LINEAR_BUCKETS)
		return (uint64_t)bucket * LEN_LINEAR_BUCKETS;
	octave = (bucket - LEN_LINEAR_BUCKETS) / LEN_PER_OCTAVE + 4;
	quarter = (bucket - LEN_LINEAR_BUCKETS) % LEN_PER_OCTAVE;
	return (uint64_t)(4 + quarter) << (octave - 2);
}

double len_survival(const struct len *len, uint64_t from, uint64_t to)
{
	const struct len *fresh = len_fresh(len);

	if (to <= from)
		return 1.0;
	return exp(len_log_at(fresh, to) - len_log_at(fresh, from));
}

double len_expected(const struct len *len, uint64_t from, uint64_t max)
{
	const struct len *fresh = len_fresh(len);
	double base = len_log_at(fresh, from);
	double sum = (double)from;
	uint64_t at = from;

	for (uint32_t bucket = len_bucket(from) + 1; bucket <= LEN_BUCKETS && at < max; bucket++) {
		uint64_t next = MIN(len_bucket_start(bucket), max);
		double alive = exp(len_log_at(fresh, at) - base);
		double later = exp(len_log_at(fresh, next) - base);

		sum += (double)(next - at) * (alive + later) / 2;
		at = next;
	}
	return sum;
}
