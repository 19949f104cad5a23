#include "flamingolatch/limiter.h"

#include <glib.h>

#define LIM_US_PER_S 1e6

struct lim_bucket {
	double tokens;
	uint64_t at_us;
	uint64_t open;
};

struct lim {
	GHashTable *buckets;
};

/* lifetime */

struct lim *lim_create(void)
{
	struct lim *lim = g_new0(struct lim, 1);

	lim->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return lim;
}

void lim_destroy(struct lim *lim)
{
	if (!lim)
		return;
	g_hash_table_destroy(lim->buckets);
	g_free(lim);
}

/* commands */

static struct lim_bucket *lim_bucket(struct lim *lim, const char *key, double burst,
				     uint64_t now_us)
{
	struct lim_bucket *bucket = g_hash_table_lookup(lim->buckets, key);

	if (bucket)
		return bucket;
	bucket = g_new0(struct lim_bucket, 1);
	bucket->tokens = burst;
	bucket->at_us = now_us;
	g_hash_table_insert(lim->buckets, g_strdup(key), bucket);
	return bucket;
}

bool lim_take(struct lim *lim, const char *key, const struct lim_rule *rule, uint32_t instances,
	      uint64_t now_us)
{
	double burst = MAX((double)rule->burst / instances, 1.0);
	struct lim_bucket *bucket = lim_bucket(lim, key, burst, now_us);
	double rate = (double)rule->rate_per_s / instances;
	uint64_t streams = (rule->streams + instances - 1) / instances;

	if (rule->streams && bucket->open >= streams)
		return false;
	if (rule->rate_per_s) {
		bucket->tokens += rate * (double)(now_us - bucket->at_us) / LIM_US_PER_S;
		bucket->tokens = MIN(bucket->tokens, burst);
		bucket->at_us = now_us;
		if (bucket->tokens < 1.0)
			return false;
		bucket->tokens -= 1.0;
	}
	bucket->open++;
	return true;
}

void lim_give_back(struct lim *lim, const char *key)
{
	struct lim_bucket *bucket = g_hash_table_lookup(lim->buckets, key);

	if (bucket && bucket->open)
		bucket->open--;
}

/* queries */

uint64_t lim_open(const struct lim *lim, const char *key)
{
	const struct lim_bucket *bucket = g_hash_table_lookup(lim->buckets, key);

	return bucket ? bucket->open : 0;
}
