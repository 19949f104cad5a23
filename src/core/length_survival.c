#include "flamingolatch/length_survival.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

/* Lengths below LENGTH_SURVIVAL_LINEAR_MAX_TOKENS have buckets of equal width:
 * LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT is both their number and the tokens in each. */
#define LENGTH_SURVIVAL_LINEAR_MAX_TOKENS   16
#define LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT 4
#define LENGTH_SURVIVAL_BUCKETS_PER_OCTAVE  4
#define LENGTH_SURVIVAL_PRIOR_WEIGHT	    8.0	   /* pseudo-count of the parent's estimate */
#define LENGTH_SURVIVAL_ENTERED_MAX	    4000.0 /* above it counts are halved, to age old data */
#define LENGTH_SURVIVAL_PRIOR_HAZARD	    0.12   /* prior of a table without a parent */

struct length_survival {
	const struct length_survival *parent;
	/* Generations that entered each bucket, and that ended in it. */
	double entered[LENGTH_SURVIVAL_BUCKET_COUNT];
	double ended[LENGTH_SURVIVAL_BUCKET_COUNT];
	double log_survival[LENGTH_SURVIVAL_BUCKET_COUNT + 1]; /* at the start of each bucket */
	uint64_t revision;				       /* number of changes */
	uint64_t parent_revision; /* revision of the parent when log_survival was computed */
	bool stale;		  /* log_survival is older than the counts */
};

static void length_survival_refresh(struct length_survival *table);

/* lifetime */

struct length_survival *length_survival_create(struct length_survival *parent)
{
	struct length_survival *table = g_new0(struct length_survival, 1);

	table->parent = parent;
	table->stale = true;
	return table;
}

void length_survival_destroy(struct length_survival *table)
{
	g_free(table);
}

/* helpers */

/* Returns the hazard of a bucket in the parent table, or the built-in prior: the share of the
 * generations that entered the bucket and ended in it. */
static double length_survival_parent_hazard(const struct length_survival *table, uint32_t bucket)
{
	const struct length_survival *parent = table->parent;
	double prior;

	if (!parent)
		return LENGTH_SURVIVAL_PRIOR_HAZARD;
	prior = length_survival_parent_hazard(parent, bucket);
	return (parent->ended[bucket] + LENGTH_SURVIVAL_PRIOR_WEIGHT * prior) /
	       (parent->entered[bucket] + LENGTH_SURVIVAL_PRIOR_WEIGHT);
}

/* Returns the hazard of a bucket, from its counts and the parent's hazard. */
static double length_survival_hazard(const struct length_survival *table, uint32_t bucket)
{
	double prior = length_survival_parent_hazard(table, bucket);

	return (table->ended[bucket] + LENGTH_SURVIVAL_PRIOR_WEIGHT * prior) /
	       (table->entered[bucket] + LENGTH_SURVIVAL_PRIOR_WEIGHT);
}

static void length_survival_refresh(struct length_survival *table)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < LENGTH_SURVIVAL_BUCKET_COUNT; i++) {
		table->log_survival[i] = sum;
		sum += log1p(-MIN(length_survival_hazard(table, i), 0.999));
	}
	table->log_survival[LENGTH_SURVIVAL_BUCKET_COUNT] = sum;
	table->parent_revision = table->parent ? table->parent->revision : 0;
	table->stale = false;
}

static void length_survival_count(struct length_survival *table, uint32_t bucket, double ended)
{
	table->entered[bucket] += 1.0;
	table->ended[bucket] += ended;
	if (table->entered[bucket] > LENGTH_SURVIVAL_ENTERED_MAX) {
		table->entered[bucket] /= 2;
		table->ended[bucket] /= 2;
	}
	table->stale = true;
	table->revision++;
}

/* Returns the logarithm of the probability to reach a length, interpolated within a bucket. */
static double length_survival_log_at(const struct length_survival *table, uint64_t tokens)
{
	uint32_t bucket = length_survival_bucket(tokens);
	uint64_t start = length_survival_bucket_start(bucket);
	uint64_t end = length_survival_bucket_start(bucket + 1);
	double part = (double)(tokens - start) / (double)(end - start);

	return table->log_survival[bucket] +
	       MIN(part, 1.0) * (table->log_survival[bucket + 1] - table->log_survival[bucket]);
}

/* Updates log_survival if needed; it may lag behind the parent by up to 64 changes. */
static const struct length_survival *length_survival_refreshed(const struct length_survival *table)
{
	/* The cast is safe: log_survival only caches what follows from the counts. */
	struct length_survival *mutable_table = (struct length_survival *)table;

	if (mutable_table->stale ||
	    (mutable_table->parent &&
	     mutable_table->parent->revision > mutable_table->parent_revision + 64))
		length_survival_refresh(mutable_table);
	return mutable_table;
}

/* commands */

void length_survival_add_passed(struct length_survival *table, uint32_t bucket)
{
	for (; table; table = (struct length_survival *)table->parent)
		length_survival_count(table, MIN(bucket, LENGTH_SURVIVAL_BUCKET_COUNT - 1), 0.0);
}

void length_survival_add_ended(struct length_survival *table, uint64_t tokens)
{
	for (; table; table = (struct length_survival *)table->parent)
		length_survival_count(table, length_survival_bucket(tokens), 1.0);
}

/* queries */

uint32_t length_survival_bucket(uint64_t tokens)
{
	uint32_t octave;
	uint32_t quarter;

	if (tokens < LENGTH_SURVIVAL_LINEAR_MAX_TOKENS)
		return (uint32_t)(tokens / LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT);
	/* The highest bit set gives the octave, the next two bits the quarter of it. */
	octave = 63 - (uint32_t)__builtin_clzll(tokens);
	quarter = (uint32_t)((tokens >> (octave - 2)) & 3);
	return MIN(LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT +
			   (octave - 4) * LENGTH_SURVIVAL_BUCKETS_PER_OCTAVE + quarter,
		   LENGTH_SURVIVAL_BUCKET_COUNT - 1);
}

uint64_t length_survival_bucket_start(uint32_t bucket)
{
	uint32_t octave;
	uint32_t quarter;

	if (bucket < LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT)
		return (uint64_t)bucket * LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT;
	octave = (bucket - LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT) /
			 LENGTH_SURVIVAL_BUCKETS_PER_OCTAVE +
		 4;
	quarter =
		(bucket - LENGTH_SURVIVAL_LINEAR_BUCKET_COUNT) % LENGTH_SURVIVAL_BUCKETS_PER_OCTAVE;
	return (uint64_t)(4 + quarter) << (octave - 2);
}

double length_survival_probability(const struct length_survival *table, uint64_t from, uint64_t to)
{
	const struct length_survival *refreshed = length_survival_refreshed(table);

	if (to <= from)
		return 1.0;
	return exp(length_survival_log_at(refreshed, to) - length_survival_log_at(refreshed, from));
}

double length_survival_expected(const struct length_survival *table, uint64_t from,
				uint64_t max_tokens)
{
	const struct length_survival *refreshed = length_survival_refreshed(table);
	double log_survival_from = length_survival_log_at(refreshed, from);
	double sum = (double)from;
	uint64_t length = from;

	for (uint32_t bucket = length_survival_bucket(from) + 1;
	     bucket <= LENGTH_SURVIVAL_BUCKET_COUNT && length < max_tokens; bucket++) {
		uint64_t next = MIN(length_survival_bucket_start(bucket), max_tokens);
		double survival =
			exp(length_survival_log_at(refreshed, length) - log_survival_from);
		double next_survival =
			exp(length_survival_log_at(refreshed, next) - log_survival_from);

		sum += (double)(next - length) * (survival + next_survival) / 2;
		length = next;
	}
	return sum;
}
