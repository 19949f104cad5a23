#include "flamingolatch/upstream_limit.h"

#include <glib.h>
#include <string.h>

/* An upstream that takes nothing is still asked, or nobody would learn that its limit has ended. */
#define UPSTREAM_LIMIT_MIN_PER_S 0.25
/* Requests that a share may save up: those of this time, and at least one. */
#define UPSTREAM_LIMIT_BURST_S 0.5
/* Instances that share a limit, for each request a second and in any case. Each may have saved up
 * one request. */
#define UPSTREAM_LIMIT_SENDERS_PER_RATE 2.0
#define UPSTREAM_LIMIT_SENDERS_MIN	3.0
/* Demand that every instance is taken to have, in requests a second. */
#define UPSTREAM_LIMIT_MIN_DEMAND_PER_S 0.1

/* commands */

/* Brings the tokens up to date. */
static void upstream_limit_refill(struct upstream_limit *limit, uint64_t now_us)
{
	double rate = upstream_limit_rate_per_s(limit);
	double elapsed_s =
		now_us > limit->refilled_us ? (double)(now_us - limit->refilled_us) / 1e6 : 0.0;

	limit->tokens =
		MIN(limit->tokens + elapsed_s * rate, MAX(rate * UPSTREAM_LIMIT_BURST_S, 1.0));
	limit->refilled_us = MAX(now_us, limit->refilled_us);
}

bool upstream_limit_hear(struct upstream_limit *limit, double limit_per_s, uint64_t heard_us,
			 uint64_t now_us)
{
	bool limited = limit_per_s >= 0.0;
	bool changed = limited != limit->limited || (limited && limit_per_s != limit->limit_per_s);

	if (heard_us <= limit->heard_us)
		return false;
	limit->heard_us = heard_us;
	if (!changed)
		return false;
	if (limited && !limit->limited) {
		limit->tokens = 0.0;
		limit->refilled_us = now_us;
	} else if (limited) {
		upstream_limit_refill(limit, now_us);
	}
	if (limit->limited && !limited)
		limit->ended_us = now_us;
	limit->limited = limited;
	limit->limit_per_s = limited ? limit_per_s : 0.0;
	return true;
}

void upstream_limit_set_share(struct upstream_limit *limit, double share, uint64_t now_us)
{
	if (limit->limited)
		upstream_limit_refill(limit, now_us);
	limit->share = share;
}

void upstream_limit_take(struct upstream_limit *limit, uint64_t now_us)
{
	if (!limit->limited)
		return;
	upstream_limit_refill(limit, now_us);
	limit->tokens -= 1.0;
}

/* queries */

bool upstream_limit_allows(const struct upstream_limit *limit, uint64_t now_us)
{
	struct upstream_limit current = *limit;

	if (!limit->limited)
		return true;
	upstream_limit_refill(&current, now_us);
	return current.tokens >= 1.0;
}

double upstream_limit_rate_per_s(const struct upstream_limit *limit)
{
	return limit->limited ? MAX(limit->limit_per_s, UPSTREAM_LIMIT_MIN_PER_S) * limit->share
			      : -1.0;
}

/* helpers: shares */

static double upstream_limit_demand(double demand_per_s)
{
	return MAX(demand_per_s, UPSTREAM_LIMIT_MIN_DEMAND_PER_S);
}

/* Returns the weight of a name for an upstream: the largest ones share its limit. The factors are
 * large odd constants that scatter similar hashes. */
static uint32_t upstream_limit_weight(uint32_t upstream_key, const char *name)
{
	uint32_t mixed = (g_str_hash(name) ^ upstream_key * 2654435761U) * 2246822519U;

	return (mixed ^ mixed >> 15) * 3266489917U;
}

/* Returns how many of the zones come before a zone: that of the upstream, then by weight. */
static uint32_t upstream_limit_zone_rank(const struct upstream_limit_view *view, uint32_t zone)
{
	const char *name = view->zones[zone].name;
	uint32_t weight = upstream_limit_weight(view->upstream_key, name);
	uint32_t rank = 0;

	if (g_strcmp0(name, view->upstream_zone) == 0)
		return 0;
	for (uint32_t i = 0; i < view->zone_count; i++) {
		const char *other = view->zones[i].name;

		if (i != zone && (g_strcmp0(other, view->upstream_zone) == 0 ||
				  upstream_limit_weight(view->upstream_key, other) > weight))
			rank++;
	}
	return rank;
}

/* Returns how many of the own zone's instances come before one of them. */
static uint32_t upstream_limit_member_rank(const struct upstream_limit_view *view, uint32_t member)
{
	uint32_t weight = upstream_limit_weight(view->upstream_key, view->members[member].name);
	uint32_t rank = 0;

	for (uint32_t i = 0; i < view->member_count; i++) {
		if (i != member &&
		    upstream_limit_weight(view->upstream_key, view->members[i].name) > weight)
			rank++;
	}
	return rank;
}

double upstream_limit_share(const struct upstream_limit_view *view, double limit_per_s)
{
	uint32_t max_senders = (uint32_t)(UPSTREAM_LIMIT_SENDERS_PER_RATE *
						  MAX(limit_per_s, UPSTREAM_LIMIT_MIN_PER_S) +
					  UPSTREAM_LIMIT_SENDERS_MIN);
	double all_demand = 0.0;
	double sender_demand = 0.0;
	double zone_share;
	uint32_t senders;

#if defined(FL_FAULT_WHOLE_LIMIT)
	/* Deliberate defect, which the tests have to detect: every instance uses the whole limit.
	 */
	return 1.0;
#endif
	if (upstream_limit_zone_rank(view, view->own_zone) >= max_senders)
		return 0.0;
	for (uint32_t i = 0; i < view->zone_count; i++) {
		if (upstream_limit_zone_rank(view, i) < max_senders)
			all_demand += upstream_limit_demand(view->zones[i].demand_per_s);
	}
	zone_share = upstream_limit_demand(view->zones[view->own_zone].demand_per_s) / all_demand;
	senders = MAX((uint32_t)(max_senders * zone_share), 1);
	if (upstream_limit_member_rank(view, view->own_member) >= senders)
		return 0.0;
	for (uint32_t i = 0; i < view->member_count; i++) {
		if (upstream_limit_member_rank(view, i) < senders)
			sender_demand += upstream_limit_demand(view->members[i].demand_per_s);
	}
	return zone_share * upstream_limit_demand(view->members[view->own_member].demand_per_s) /
	       sender_demand;
}
