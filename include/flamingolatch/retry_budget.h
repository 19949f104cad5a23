/**
 * @file retry_budget.h
 * A budget of repeated sends to one service, shared by all instances.
 *
 * Within any window a service may get a share of its requests, plus a fixed
 * slack, as sends beyond the first of each request. Every instance keeps to
 * the share of the requests that it takes itself, and to its part of the
 * slack, so that no exchange is needed. rep_create(), rep_request() for each
 * request, rep_take() before each further send, rep_destroy(). Pure.
 */
#ifndef FLAMINGOLATCH_REPEAT_H
#define FLAMINGOLATCH_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

struct rep;

/** The budget of a service, over all instances. */
struct rep_rule {
	double ratio; /**< further sends for each request */
	double slack; /**< further sends beside the ratio */
	uint64_t window_us;
};

struct rep *rep_create(const struct rep_rule *rule);
void rep_destroy(struct rep *rep);
void rep_set_rule(struct rep *rep, const struct rep_rule *rule);

/** Counts a request for the service. */
void rep_request(struct rep *rep, uint64_t now_us);
/** Takes one further send.
 * @param instances that share the slack, at least 1
 * @return false when the budget is spent */
bool rep_take(struct rep *rep, uint32_t instances, uint64_t now_us);
/** Returns the further sends in the present window. */
uint32_t rep_taken(struct rep *rep, uint64_t now_us);

#endif
