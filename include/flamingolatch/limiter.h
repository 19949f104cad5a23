/**
 * @file limiter.h
 * Rate and concurrency limits of customers, held across instances.
 *
 * An instance enforces its share of a customer's limit: the limit divided by
 * the live instances, rounded up for concurrency. Order of calls:
 * lim_create(), lim_take() before a request, lim_give_back() after it,
 * lim_destroy() last.
 */
#ifndef FLAMINGOLATCH_LIMIT_H
#define FLAMINGOLATCH_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct lim;

/** A limit; zero turns a part off. */
struct lim_rule {
	uint64_t rate_per_s;
	uint64_t burst;
	uint64_t streams;
};

struct lim *lim_create(void);
void lim_destroy(struct lim *lim);

/** Tries to take one request.
 * @param key customer and profile
 * @param instances live instances that share the limit, at least 1 */
bool lim_take(struct lim *lim, const char *key, const struct lim_rule *rule, uint32_t instances,
	      uint64_t now_us);
/** Ends a request that lim_take() let through. */
void lim_give_back(struct lim *lim, const char *key);
/** Returns the open requests of a key. */
uint64_t lim_open(const struct lim *lim, const char *key);

#endif
