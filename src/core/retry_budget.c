#include "flamingolatch/retry_budget.h"

#include <glib.h>

#define REP_BUCKETS    20   /* of a window */
#define REP_RATIO_PART 0.75 /* of the ratio, as the window of requests is not the users' own */
#define REP_SLACK_PART 0.7  /* of the slack, for instances that are not known here */

struct rep_bucket {
	uint64_t number; /* since the clock's zero */
	uint32_t requests;
	uint32_t taken;
};

struct rep {
	struct rep_rule rule;
	struct rep_bucket buckets[REP_BUCKETS + 1];
};

struct rep *rep_create(const struct rep_rule *rule)
{
	struct rep *rep = g_new0(struct rep, 1);

	rep->rule = *rule;
	return rep;
}

void rep_destroy(struct rep *rep)
{
	g_free(rep);
}

void rep_set_rule(struct rep *rep, const struct rep_rule *rule)
{
	rep->rule = *rule;
}

static uint64_t rep_number(const struct rep *rep, uint64_t now_us)
{
	return now_us / MAX(rep->rule.window_us / REP_BUCKETS, 1);
}

static struct rep_bucket *rep_bucket(struct rep *rep, uint64_t now_us)
{
	uint64_t number = rep_number(rep, now_us);
	struct rep_bucket *bucket = &rep->buckets[number % (REP_BUCKETS + 1)];

	if (bucket->number != number)
		*bucket = (struct rep_bucket){ .number = number };
	return bucket;
}

static struct rep_bucket rep_sum(const struct rep *rep, uint64_t now_us)
{
	struct rep_bucket sum = { 0 };
	uint64_t number = rep_number(rep, now_us);

	for (uint32_t i = 0; i <= REP_BUCKETS; i++) {
		const struct rep_bucket *bucket = &rep->buckets[i];

		if (bucket->number > number || bucket->number + REP_BUCKETS < number)
			continue;
		sum.requests += bucket->requests;
		sum.taken += bucket->taken;
	}
	return sum;
}

void rep_request(struct rep *rep, uint64_t now_us)
{
	rep_bucket(rep, now_us)->requests++;
}

bool rep_take(struct rep *rep, uint32_t instances, uint64_t now_us)
{
	struct rep_bucket sum = rep_sum(rep, now_us);
	double allowed = rep->rule.ratio * REP_RATIO_PART * sum.requests +
			 rep->rule.slack * REP_SLACK_PART / MAX(instances, 1);

	if (sum.taken + 1 > allowed)
		return false;
	rep_bucket(rep, now_us)->taken++;
	return true;
}

uint32_t rep_taken(struct rep *rep, uint64_t now_us)
{
	return rep_sum(rep, now_us).taken;
}
