/**
 * @file retry_budget.h
 * Limits the retries sent to one service, over all instances.
 *
 * Within any window of time the retries of a service must not exceed a ratio of
 * its requests plus a fixed slack. Each instance applies the ratio to the requests
 * that it receives itself, and divides the slack by the number of instances, so
 * that the instances need not share any counts. Order of calls:
 * retry_budget_create(), retry_budget_add_request() for each request,
 * retry_budget_take() before each retry, retry_budget_destroy() last. Does no I/O
 * and reads no clock.
 *
 * retry_bucket.h limits retries to a share of the successful requests of one
 * instance instead.
 */
#ifndef FLAMINGOLATCH_RETRY_BUDGET_H
#define FLAMINGOLATCH_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct retry_budget;

/** The budget of a service, over all instances. */
struct retry_budget_limits {
	double ratio;	    /**< retries per request */
	double slack;	    /**< retries per window in addition to the ratio */
	uint64_t window_us; /**< length of a window */
};

struct retry_budget *retry_budget_create(const struct retry_budget_limits *limits);
void retry_budget_destroy(struct retry_budget *budget);
/** Replaces the limits. Counts carry over only when the window keeps its length. */
void retry_budget_set_limits(struct retry_budget *budget, const struct retry_budget_limits *limits);

/** Counts a request for the service. */
void retry_budget_add_request(struct retry_budget *budget, uint64_t now_us);
/**
 * Takes one retry from the budget.
 * @param instances number of live instances, which share the slack; at least 1
 * @return false when the budget is used up; nothing is taken then
 */
bool retry_budget_take(struct retry_budget *budget, uint32_t instances, uint64_t now_us);
/** Returns the share of the retries of the current window that is left, 0 to 1; 0 when there are
 * none. @param instances as in retry_budget_take() */
double retry_budget_left_share(const struct retry_budget *budget, uint32_t instances,
			       uint64_t now_us);
/** Returns the number of retries taken in the current window. */
uint32_t retry_budget_taken(struct retry_budget *budget, uint64_t now_us);

#endif
