/**
 * @file lease.h
 * A lease in the store with a fencing token.
 *
 * One row holds the holder, the fencing token and the wall clock time at which
 * the lease expires. The holder renews it before that time; another instance
 * may acquire it after that time plus the largest clock skew. Each acquisition
 * raises the fencing token, so no token is used twice. The holder measures the
 * lease on its monotonic clock, beginning before it sends the commit, so a paused
 * process can only underestimate the time left. A new holder waits for a grace
 * period, so that the operations started by its predecessor have ended.
 * Order of calls: lease_create(), lease_tick() regularly, lease_on_...() for
 * each operation started, lease_destroy(). Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_LEASE_H
#define FLAMINGOLATCH_LEASE_H

#include "flamingolatch/table.h"

/** Operations that the owner provides; at most one is outstanding. */
struct lease_ops {
	/** Commits one row; report the result with lease_on_commit(). */
	void (*commit)(void *ctx, const struct table_write *write);
	/** Reads the row; report the result with lease_on_read(). */
	void (*read)(void *ctx, const char *key);
};

/** Parameters of a lease. Strings are copied. */
struct lease_conf {
	const char *key;	    /**< row key */
	const char *holder;	    /**< unique to this incarnation of the instance */
	uint64_t ttl_us;	    /**< duration of a lease */
	uint64_t max_clock_skew_us; /**< by how much wall clocks of instances may differ */
	uint64_t grace_us;	    /**< delay after an acquisition until the lease is valid */
};

struct lease;

/** @param ops not copied; must outlive the object
 * @param ctx passed to each operation */
struct lease *lease_create(const struct lease_conf *conf, const struct lease_ops *ops, void *ctx);
void lease_destroy(struct lease *lease);

/** Acquires or renews the lease, or reads the row, when that is due.
 * @param now_us monotonic time, also in the calls below
 * @param wall_ms wall clock */
void lease_tick(struct lease *lease, uint64_t now_us, uint64_t wall_ms);
/** Reports the result of a commit. @p row is the present row on TABLE_CONFLICT,
 * the written one on TABLE_OK, else NULL. */
void lease_on_commit(struct lease *lease, uint64_t now_us, enum table_result result,
		     const struct table_row *row);
/** Reports the result of a read; @p row is NULL when absent. */
void lease_on_read(struct lease *lease, uint64_t now_us, enum table_result result,
		   const struct table_row *row);

/** Returns whether the lease is held, its grace period has passed, and it does
 * not expire within @p duration_us from now. */
bool lease_valid_for(const struct lease *lease, uint64_t now_us, uint64_t duration_us);
/** Returns the fencing token of the lease that is or was held; 0 before the first. */
uint64_t lease_fencing_token(const struct lease *lease);

#endif
