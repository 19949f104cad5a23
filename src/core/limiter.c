#include "flamingolatch/limiter.h"

#include <glib.h>

#define LIMITER_US_PER_S 1e6

struct limiter_bucket {
	double tokens; /* requests that the rate allows now */
	uint64_t refilled_us;
	uint64_t open; /* requests admitted and not released */
};

struct limiter {
	GHashTable *buckets; /* key to struct limiter_bucket */
};

/* lifetime */

struct limiter *limiter_create(void)
{
	struct limiter *limiter = g_new0(struct limiter, 1);

	limiter->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return limiter;
}

void limiter_destroy(struct limiter *limiter)
{
	if (!limiter)
		return;
	g_hash_table_destroy(limiter->buckets);
	g_free(limiter);
}

/* commands */

static struct limiter_bucket *limiter_bucket(struct limiter *limiter, const char *key, double burst,
					     uint64_t now_us)
{
	struct limiter_bucket *bucket = g_hash_table_lookup(limiter->buckets, key);

	if (bucket)
		return bucket;
	bucket = g_new0(struct limiter_bucket, 1);
	bucket->tokens = burst;
	bucket->refilled_us = now_us;
	g_hash_table_insert(limiter->buckets, g_strdup(key), bucket);
	return bucket;
}

bool limiter_acquire(struct limiter *limiter, const char *key, const struct limiter_limits *limits,
		     uint32_t instances, uint64_t now_us)
{
	double burst = MAX((double)limits->burst / instances, 1.0);
	struct limiter_bucket *bucket = limiter_bucket(limiter, key, burst, now_us);
	double rate = (double)limits->rate_per_s / instances;
	uint64_t max_open = (limits->streams + instances - 1) / instances;

	if (limits->streams && bucket->open >= max_open)
		return false;
	if (limits->rate_per_s) {
		bucket->tokens += rate * (double)(now_us - bucket->refilled_us) / LIMITER_US_PER_S;
		bucket->tokens = MIN(bucket->tokens, burst);
		bucket->refilled_us = now_us;
		if (bucket->tokens < 1.0)
			return false;
		bucket->tokens -= 1.0;
	}
	bucket->open++;
	return true;
}

void limiter_release(struct limiter *limiter, const char *key)
{
	struct limiter_bucket *bucket = g_hash_table_lookup(limiter->buckets, key);

	if (bucket && bucket->open)
		bucket->open--;
}

/* queries */

uint64_t limiter_open(const struct limiter *limiter, const char *key)
{
	const struct limiter_bucket *bucket = g_hash_table_lookup(limiter->buckets, key);

	return bucket ? bucket->open : 0;
}
