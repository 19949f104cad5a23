/**
 * @file warm_up.h
 * Limits the requests that all instances together send to a cold upstream, and
 * raises the limit once it is warm.
 *
 * An upstream is cold for a time after its start, or when its entry or an answer
 * says so. Meanwhile it fails well above a rate that its service states. The load
 * that this answers: 66 instances, upstreams of 22 requests a second while cold, and
 * a sixth of all upstreams replaced every few seconds, which look empty to everybody.
 *
 * A few instances share the limit, chosen from the instances in the store's table in
 * an order that all compute alike. No report of a peer enters, so that one that is
 * lost or late raises no part: the parts add up to the limit, and what instances may
 * have saved up, one request each at least, to WARM_UP_BURST_SHARE of what the
 * service tolerates beyond it. The rest is for requests that are late on their way,
 * and for an instance whose row a few others don't know in time. After the cold time the limit
 * doubles every WARM_UP_DOUBLING_MS, and more instances share it, until there is none.
 *
 * warm_up_appear() once, warm_up_set_terms() when the configuration changes,
 * warm_up_hear() for each entry and warm_up_hear_answer() for each answer,
 * warm_up_set_part() regularly; warm_up_allows() before a request is sent,
 * warm_up_take() when it is. The module does no I/O and reads no clock. Times are
 * monotonic, in us, and not 0.
 */
#ifndef FLAMINGOLATCH_WARM_UP_H
#define FLAMINGOLATCH_WARM_UP_H

#include <stdbool.h>
#include <stdint.h>

/** Time in which the limit doubles once the upstream is warm. */
#define WARM_UP_DOUBLING_MS 250
/** After this many doublings there is no limit: 64 times that of a cold upstream. */
#define WARM_UP_DOUBLINGS 6
/** While an upstream is cold, an instance has no part before it has known the store's table for
 * this long: then every other that has one knows its row, and it knows theirs. */
#define WARM_UP_SETTLE_MS 1000
/** Part of the requests tolerated beyond the rate that instances may save up. */
#define WARM_UP_BURST_SHARE 0.6

/** What a service states of its cold upstreams. All zeros: nothing, and there is no limit. */
struct warm_up_terms {
	double cold_per_s;	/**< requests a second from all instances; 0: no limit */
	double overage;		/**< factor of cold_per_s that is tolerated in any second */
	double slack;		/**< requests tolerated in any second beyond that */
	uint32_t cold_start_ms; /**< how long an upstream is cold after its start */
};

enum warm_up_phase {
	WARM_UP_WARM,
	WARM_UP_COLD,
	WARM_UP_RAMP, /**< warm, with a limit that grows */
	WARM_UP_PHASE_COUNT
};

/** One upstream. All zeros: no terms, so no limit. */
struct warm_up {
	struct warm_up_terms terms;
	uint64_t started_us;	  /**< its start, or its first or renewed appearance if later */
	uint64_t cold_until_us;	  /**< by entries and answers; 0: none said so */
	uint64_t refilled_us;	  /**< when @c tokens was last brought up to date */
	double tokens;		  /**< requests that may be sent now */
	uint32_t senders;	  /**< instances that share the limit, this one included; 0: it has
				   * no part */
	bool primed;		  /**< @c tokens was filled in this cold time */
	enum warm_up_phase noted; /**< by warm_up_note() */
};

/** Records that an upstream appeared.
 * @param age_ms time since its start; 0 when unknown, then it counts as started now */
void warm_up_appear(struct warm_up *warm_up, uint64_t age_ms, uint64_t now_us);
/** Records that it may be sent requests again after a time in which it got none. It counts as
 * started now, since others may send to it at the same moment, and it may be cold. */
void warm_up_return(struct warm_up *warm_up, uint64_t now_us);
void warm_up_set_terms(struct warm_up *warm_up, const struct warm_up_terms *terms);
/** Records what its entry says. @param cold_ms remaining time; 0: it is not cold. That does not
 * shorten the time after its start. */
void warm_up_hear(struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us);
/** Records what an answer says: as warm_up_hear(), but only ever prolongs, since answers may arrive
 * after a newer entry. */
void warm_up_hear_answer(struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us);
/** Returns whether warm_up_hear() would change nothing that matters. Always true without terms. */
bool warm_up_confirms(const struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us);
/** Sets by how many instances the limit is shared; 0 if this instance is none of them. */
void warm_up_set_part(struct warm_up *warm_up, uint32_t senders, uint64_t now_us);
/** Counts a request that is sent. One that was not allowed delays the next ones. */
void warm_up_take(struct warm_up *warm_up, uint64_t now_us);
/** Brings the noted phase up to date. @return true when it has changed */
bool warm_up_note(struct warm_up *warm_up, uint64_t now_us);

enum warm_up_phase warm_up_phase(const struct warm_up *warm_up, uint64_t now_us);
const char *warm_up_phase_name(enum warm_up_phase phase);
/** Returns the remaining cold time; 0 when it is not cold, and without terms. */
uint32_t warm_up_cold_ms(const struct warm_up *warm_up, uint64_t now_us);
/** Returns the requests a second from all instances together; negative for no limit. */
double warm_up_limit_per_s(const struct warm_up *warm_up, uint64_t now_us);
/** Returns the requests a second that this instance may send; negative for no limit. */
double warm_up_rate_per_s(const struct warm_up *warm_up, uint64_t now_us);
/** Returns whether a request may be sent now. */
bool warm_up_allows(const struct warm_up *warm_up, uint64_t now_us);

/** An instance in the store's table. */
struct warm_up_member {
	const char *name;
	bool in_zone; /**< of the upstream */
};

/** What a part is computed from. */
struct warm_up_view {
	const struct warm_up_member *members;
	uint32_t count;
	uint32_t own;	       /**< index of this instance */
	uint32_t upstream_key; /**< names the upstream, alike at all instances */
	uint64_t known_us;     /**< since when this instance knows the table; 0: it does not */
};

/** Returns by how many instances a limit is shared, or 0 if this one is none of them. Two in three
 * are of the upstream's zone, if it has as many. */
uint32_t warm_up_senders(const struct warm_up *warm_up, const struct warm_up_view *view,
			 uint64_t now_us);

#endif
