/**
 * @file detour.h
 * Decides when an instance has lost its paths to the upstreams, to which peer it
 * then passes requests on, and when it tries its own path again.
 *
 * The evidence is passing work: attempts that were not sent, broke off or are
 * silent, at several upstreams, while nothing is heard from any. A single
 * upstream that fails is no evidence, nor are several while others are heard.
 *
 * Call detour_record_failure() and detour_record_heard() as attempts go on, then
 * detour_update(); detour_may_try() for each request while the path is lost;
 * detour_select() for a request that is passed on, and one of the functions
 * detour_record_peer_*() for its result. Does no I/O and reads no clock; @c
 * now_us is the time of a monotonic clock.
 */
#ifndef FLAMINGOLATCH_DETOUR_H
#define FLAMINGOLATCH_DETOUR_H

#include <stdbool.h>
#include <stdint.h>

struct detour;

/** Index returned when no peer is left. */
#define DETOUR_NONE (-1)
/** Most peers that one request is passed on to. */
#define DETOUR_MAX_PEERS 3

/** A peer to which requests may be passed on. */
struct detour_peer {
	const char *address;
	const char *zone;
	uint32_t distance; /**< 0 is the own zone; greater is farther */
};

struct detour *detour_create(void);
/** Frees it; @p detour may be NULL. */
void detour_destroy(struct detour *detour);

/** @name The own path
 * @{ */
/** Records an attempt that got nothing from its upstream.
 * @param upstream names the incarnation of the upstream
 * @param since_us when the attempt was sent, or its upstream was last heard */
void detour_record_failure(struct detour *detour, uint32_t upstream, uint64_t since_us,
			   uint64_t now_us);
/** Records that an upstream sent something. @return true when the path was lost until now */
bool detour_record_heard(struct detour *detour, uint64_t now_us);
/** Decides whether the path is lost. @param upstream_count upstreams that are in service
 * @return true when it is lost since this call */
bool detour_update(struct detour *detour, uint32_t upstream_count, uint64_t now_us);
bool detour_is_lost(const struct detour *detour);
/** Tells whether a request is sent by the own path while that is lost, and counts it.
 * @param may_repeat the request may run more than once */
bool detour_may_try(struct detour *detour, bool may_repeat, uint64_t now_us);
/** Records that a request which tried the path was sent on a new connection and got no answer:
 * those that may run only once try it rarely from then on, until an upstream is heard. */
void detour_record_try_lost(struct detour *detour);
/** Returns the number of upstreams with evidence against the path. */
uint32_t detour_failed_count(const struct detour *detour);
/** @} */

/** @name Peers
 * @{ */
/** Selects a peer, by distance, and at random among those that are as near. Left out are peers that
 * lately could not serve, and, while others are left, the zones of peers that had no path
 * themselves and those in @p tried.
 * @param tried addresses of peers that had the request; @p tried_zones their zones
 * @return an index of @p peers or DETOUR_NONE */
int32_t detour_select(struct detour *detour, const struct detour_peer *peers, uint32_t peer_count,
		      const char *const *tried, const char *const *tried_zones,
		      uint32_t tried_count, const char *service, uint32_t random, uint64_t now_us);
/** Records that a peer has no path for a service either. */
void detour_record_peer_no_path(struct detour *detour, const struct detour_peer *peer,
				const char *service, uint64_t now_us);
/** Records that a peer could not be reached or gave no answer. */
void detour_record_peer_failed(struct detour *detour, const struct detour_peer *peer,
			       uint64_t now_us);
/** Records that a peer passed on an upstream's answer. */
void detour_record_peer_served(struct detour *detour, const struct detour_peer *peer,
			       const char *service);
/** @} */

#endif
