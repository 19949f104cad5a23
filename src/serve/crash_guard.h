/**
 * @file crash_guard.h
 * Keeps prompt parts and requests that crash upstreams from the upstreams of all
 * instances.
 *
 * quarantine.h decides which these are. This module feeds it with what the relay
 * observes, shares the observations with all peers, and keeps the result where it
 * outlives this process: in the memory of the peers, and in a row of the store for
 * each quarantined part or request, which an instance reads with the rows of its
 * peers after its start.
 *
 * crash_guard_create() after peer_exchange_create(), the crash_guard_on_...()
 * functions for what the relay observes, crash_guard_find() before a request is
 * sent, crash_guard_destroy() last. A request is named by what was decoded of it and
 * by its fingerprint, see quarantine.h.
 */
#ifndef FLAMINGOLATCH_SERVE_CRASH_GUARD_H
#define FLAMINGOLATCH_SERVE_CRASH_GUARD_H

#include "env.h"
#include "peer_exchange.h"

struct crash_guard;

/** @p env and @p exchange are borrowed and must outlive the result. */
struct crash_guard *crash_guard_create(struct env *env, struct peer_exchange *exchange);
/** Cancels open calls and frees the guard; NULL is allowed. */
void crash_guard_destroy(struct crash_guard *guard);
/** Sets the callback for a new quarantine; requests that it concerns may be under way. */
void crash_guard_set_quarantined_cb(struct crash_guard *guard, void (*cb)(void *ctx), void *ctx);

/** @name What the relay observes
 * @{ */
/** A connection broke on which a request had made no progress. */
void crash_guard_on_crash(struct crash_guard *guard, const struct fleet_upstream *upstream,
			  const struct protocol_request *request, uint64_t fingerprint);
/** An answer made progress: QUARANTINE_PROGRESS_EVENTS events arrived, or it ended whole. */
void crash_guard_on_progress(struct crash_guard *guard, const struct protocol_request *request,
			     uint64_t fingerprint);
/** An upstream has sent something. */
void crash_guard_on_alive(struct crash_guard *guard, const struct fleet_upstream *upstream);
/** @} */

/** Returns whether a request, or a part of its prompt, is quarantined.
 * @param left_ms set to the rest of the quarantine if so */
bool crash_guard_find(const struct crash_guard *guard, const struct protocol_request *request,
		      uint64_t fingerprint, uint32_t *left_ms);
/** Returns for how long a request is held back, in ms, since upstreams just crashed under it; 0
 * when it is not. */
uint32_t crash_guard_held_ms(const struct crash_guard *guard, uint64_t fingerprint);
/** Returns whether upstreams crashed under requests like this one, so that it is not worth a retry.
 */
bool crash_guard_is_suspect(const struct crash_guard *guard, const struct protocol_request *request,
			    uint64_t fingerprint);
/** Returns what is quarantined as a JSON array, owned by the caller. */
json_t *crash_guard_json(const struct crash_guard *guard);

#endif
