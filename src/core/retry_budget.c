#include "flamingolatch/retry_budget.h"

#include <glib.h>

#define RETRY_BUDGET_BUCKET_COUNT 20 /* per window */
/* Share of the ratio that is used: a window that begins at another time may contain fewer requests
 * for the same retries, and must not exceed the ratio either. */
#define RETRY_BUDGET_RATIO_SHARE 0.75
/* Share of the slack that is used; the rest is left for instances that are not known here. */
#define RETRY_BUDGET_SLACK_SHARE 0.7

/* Counts of one interval; a window has RETRY_BUDGET_BUCKET_COUNT intervals. */
struct retry_budget_bucket {
	uint64_t interval; /* index, counted from time 0 */
	uint32_t requests;
	uint32_t taken; /* retries */
};

struct retry_budget {
	struct retry_budget_limits limits;
	struct retry_budget_bucket buckets[RETRY_BUDGET_BUCKET_COUNT + 1];
};

struct retry_budget *retry_budget_create(const struct retry_budget_limits *limits)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);

	budget->limits = *limits;
	return budget;
}

void retry_budget_destroy(struct retry_budget *budget)
{
	g_free(budget);
}

void retry_budget_set_limits(struct retry_budget *budget, const struct retry_budget_limits *limits)
{
	budget->limits = *limits;
}

/* Returns the index of the interval that contains a time. */
static uint64_t retry_budget_interval(const struct retry_budget *budget, uint64_t now_us)
{
	return now_us / MAX(budget->limits.window_us / RETRY_BUDGET_BUCKET_COUNT, 1);
}

/* Returns the bucket of the current interval, cleared when it was last used for an older one. */
static struct retry_budget_bucket *retry_budget_bucket(struct retry_budget *budget, uint64_t now_us)
{
	uint64_t interval = retry_budget_interval(budget, now_us);
	struct retry_budget_bucket *bucket =
		&budget->buckets[interval % (RETRY_BUDGET_BUCKET_COUNT + 1)];

	if (bucket->interval != interval)
		*bucket = (struct retry_budget_bucket){ .interval = interval };
	return bucket;
}

/* Returns the counts of the current window, without an interval number. */
static struct retry_budget_bucket retry_budget_sum(const struct retry_budget *budget,
						   uint64_t now_us)
{
	struct retry_budget_bucket sum = { 0 };
	uint64_t interval = retry_budget_interval(budget, now_us);

	for (uint32_t i = 0; i <= RETRY_BUDGET_BUCKET_COUNT; i++) {
		const struct retry_budget_bucket *bucket = &budget->buckets[i];

		if (bucket->interval > interval ||
		    bucket->interval + RETRY_BUDGET_BUCKET_COUNT < interval)
			continue;
		sum.requests += bucket->requests;
		sum.taken += bucket->taken;
	}
	return sum;
}

/* Returns how many retries the counts of a window allow. */
static double retry_budget_allowed(const struct retry_budget *budget,
				   const struct retry_budget_bucket *sum, uint32_t instances)
{
	return budget->limits.ratio * RETRY_BUDGET_RATIO_SHARE * sum->requests +
	       budget->limits.slack * RETRY_BUDGET_SLACK_SHARE / MAX(instances, 1);
}

void retry_budget_add_request(struct retry_budget *budget, uint64_t now_us)
{
	retry_budget_bucket(budget, now_us)->requests++;
}

bool retry_budget_take(struct retry_budget *budget, uint32_t instances, uint64_t now_us)
{
	struct retry_budget_bucket sum = retry_budget_sum(budget, now_us);

	if (sum.taken + 1 > retry_budget_allowed(budget, &sum, instances))
		return false;
	retry_budget_bucket(budget, now_us)->taken++;
	return true;
}

uint32_t retry_budget_taken(struct retry_budget *budget, uint64_t now_us)
{
	return retry_budget_sum(budget, now_us).taken;
}

double retry_budget_left_share(const struct retry_budget *budget, uint32_t instances,
			       uint64_t now_us)
{
	struct retry_budget_bucket sum = retry_budget_sum(budget, now_us);
	double allowed = retry_budget_allowed(budget, &sum, instances);

	return sum.taken < allowed ? 1.0 - sum.taken / allowed : 0.0;
}
