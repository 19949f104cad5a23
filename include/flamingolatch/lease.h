/**
 * @file lease.h
 * A lease in the platform's table, with a fencing number.
 *
 * One row holds holder, fencing number and the end of the lease by the wall
 * clock. A holder renews before the end; others take over after the end and
 * the clock bound. Each taking has a higher fencing number; a number is never
 * used twice. How long a lease is held is counted on the holder's monotonic
 * clock from before its commit was sent, so a pause only shortens it.
 * Order of calls: lease_create(), lease_tick() regularly, lease_on_...() for
 * each request made, lease_destroy(). Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_LEASE_H
#define FLAMINGOLATCH_LEASE_H

#include "flamingolatch/table.h"

/** What the object asks of its owner; at most one request is outstanding. */
struct lease_ops {
	/** Commits one row; report with lease_on_commit(). */
	void (*commit)(void *ctx, const struct table_write *write);
	/** Reads the row; report with lease_on_read(). */
	void (*read)(void *ctx, const char *key);
};

/** Fixed parts of a lease. Strings are copied. */
struct lease_conf {
	const char *key;	    /**< row key */
	const char *holder;	    /**< unique to this incarnation of the holder */
	uint64_t ttl_us;	    /**< length of a lease */
	uint64_t max_clock_skew_us; /**< by how much wall clocks may differ */
	uint64_t grace_us;	    /**< a new holder waits so long before it may act */
};

struct lease;

struct lease *lease_create(const struct lease_conf *conf, const struct lease_ops *ops, void *ctx);
void lease_destroy(struct lease *lease);

/** Takes, renews or looks again when it is time to. */
void lease_tick(struct lease *lease, uint64_t now_us, uint64_t wall_ms);
/** Reports a commit. @p row is the present row on TABLE_CONFLICT, the written
 * one on TABLE_OK, else NULL. */
void lease_on_commit(struct lease *lease, uint64_t now_us, enum table_result result,
		     const struct table_row *row);
/** Reports a read; @p row is NULL when absent. */
void lease_on_read(struct lease *lease, uint64_t now_us, enum table_result result,
		   const struct table_row *row);

/** Tells whether the holder may act for @p need_us from now on. */
bool lease_valid_for(const struct lease *lease, uint64_t now_us, uint64_t need_us);
/** Returns the fencing number of the lease that is or was held; 0 before. */
uint64_t lease_fencing_token(const struct lease *lease);

#endif
