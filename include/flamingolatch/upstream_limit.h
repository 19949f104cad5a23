/**
 * @file upstream_limit.h
 * Keeps to the number of requests a second that an upstream takes from all
 * instances together.
 *
 * An upstream in need names a limit in its answers, for as long as it wants it.
 * The limit is divided among the instances by their demand, so that each can keep
 * to its share without asking the others for every request. The load that this
 * answers is a service whose upstreams take a fraction of what callers send, while
 * callers of one zone reach one instance and those of another reach many.
 *
 * A share may be so small that an instance sends a request in many seconds, and
 * many such instances may send theirs at the same moment. Where instances are many
 * for the limit, upstream_limit_share() therefore gives shares to a few of them,
 * others for each upstream, in an order that all compute alike.
 *
 * upstream_limit_hear() for each answer and each report of a peer,
 * upstream_limit_set_share() regularly; upstream_limit_allows() before a request is
 * sent, upstream_limit_take() when it is. The module does no I/O and reads no
 * clock. Times are monotonic, in us, and not 0.
 */
#ifndef FLAMINGOLATCH_UPSTREAM_LIMIT_H
#define FLAMINGOLATCH_UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** The limit of an upstream and what this instance has used of its share. All zeros: no limit. */
struct upstream_limit {
	bool limited;	      /**< by the last answer */
	double limit_per_s;   /**< valid if limited */
	uint64_t heard_us;    /**< when the last answer arrived, here or at a peer; 0: never */
	uint64_t ended_us;    /**< when the last limit ended; 0: it has not */
	double share;	      /**< part of the limit that this instance may use, 0 to 1 */
	double tokens;	      /**< requests that may be sent now */
	uint64_t refilled_us; /**< when @c tokens was last brought up to date */
};

/** Records the limit that an answer named.
 * @param limit_per_s negative when the answer named none
 * @param heard_us when the answer arrived; one that is older than the last is ignored
 * @return true when the limit has changed */
bool upstream_limit_hear(struct upstream_limit *limit, double limit_per_s, uint64_t heard_us,
			 uint64_t now_us);
/** Sets the part of the limit that this instance may use. */
void upstream_limit_set_share(struct upstream_limit *limit, double share, uint64_t now_us);
/** Returns whether a request may be sent now. */
bool upstream_limit_allows(const struct upstream_limit *limit, uint64_t now_us);
/** Counts a request that is sent. One that was not allowed delays the next ones. */
void upstream_limit_take(struct upstream_limit *limit, uint64_t now_us);
/** Returns the requests a second that this instance may send; negative for no limit. */
double upstream_limit_rate_per_s(const struct upstream_limit *limit);

/** An instance of the own zone. */
struct upstream_limit_member {
	const char *name;
	double demand_per_s; /**< requests of the service that callers send it */
};

/** A zone with all its instances. */
struct upstream_limit_zone {
	const char *name;
	double demand_per_s;
};

/** What a share is computed from. The own zone is one of the zones, this instance one of the
 * members. */
struct upstream_limit_view {
	const struct upstream_limit_zone *zones;
	const struct upstream_limit_member *members;
	uint32_t zone_count;
	uint32_t member_count;
	uint32_t own_zone;	   /**< index */
	uint32_t own_member;	   /**< index */
	uint32_t upstream_key;	   /**< names the upstream, alike at all instances */
	const char *upstream_zone; /**< its instances come first */
};

/** Returns the part of a limit that this instance may use, 0 to 1. */
double upstream_limit_share(const struct upstream_limit_view *view, double limit_per_s);

#endif
