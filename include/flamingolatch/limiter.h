/**
 * @file limiter.h
 * Limits the request rate and the concurrent requests of customers, over all
 * instances.
 *
 * Each instance enforces its share of a customer's limits: the limit divided by
 * the number of live instances, rounded up for concurrent requests. The rate is
 * a token bucket. Order of calls: limiter_create(), limiter_acquire() before a
 * request, limiter_release() after it, limiter_destroy() last. Does no I/O and
 * reads no clock.
 */
#ifndef FLAMINGOLATCH_LIMITER_H
#define FLAMINGOLATCH_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

struct limiter;

/** Limits of a customer over all instances. */
struct limiter_limits {
	uint64_t rate_per_s; /**< requests per second; 0 for no limit */
	uint64_t burst;	     /**< requests admitted at once; each instance admits at least 1 */
	uint64_t streams;    /**< concurrent requests; 0 for no limit */
};

struct limiter *limiter_create(void);
/** Frees a limiter, which may be NULL. */
void limiter_destroy(struct limiter *limiter);

/**
 * Admits a request when it is within the limits.
 * @param key identifies the customer and profile whose requests are counted together
 * @param instances number of live instances, which share the limits; at least 1
 * @return false when the request exceeds a limit; limiter_release() must not follow then
 */
bool limiter_acquire(struct limiter *limiter, const char *key, const struct limiter_limits *limits,
		     uint32_t instances, uint64_t now_us);
/** Ends a request that limiter_acquire() admitted. */
void limiter_release(struct limiter *limiter, const char *key);
/** Returns the number of open requests of a key. */
uint64_t limiter_open(const struct limiter *limiter, const char *key);

#endif
