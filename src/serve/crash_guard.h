/**
 * @file crash_guard.h
 * Keeps prompt parts that crash engines from the engines of all instances.
 *
 * quarantine.h decides which parts these are. This module feeds it with what the
 * relay observes, shares the observations with all peers, and keeps the result
 * where it outlives this process: in the memory of the peers, and in a row of the
 * store for each quarantined part, which an instance reads with the rows of its
 * peers after its start.
 *
 * crash_guard_create() after peer_exchange_create(), the crash_guard_on_...()
 * functions for what the relay observes, crash_guard_find() before a request is
 * sent, crash_guard_destroy() last.
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
/** Sets the callback for a part that was quarantined; requests with it may be under way. */
void crash_guard_set_quarantined_cb(struct crash_guard *guard, void (*cb)(void *ctx), void *ctx);

/** @name What the relay observes
 * @{ */
/** A connection broke on which a request had made no progress.
 * @param request its prompt has the parts */
void crash_guard_on_crash(struct crash_guard *guard, const struct fleet_upstream *engine,
			  const struct protocol_request *request);
/** An answer made progress: QUARANTINE_PROGRESS_EVENTS events arrived, or it ended whole. */
void crash_guard_on_progress(struct crash_guard *guard, const struct protocol_request *request);
/** An engine has sent something. */
void crash_guard_on_alive(struct crash_guard *guard, const struct fleet_upstream *engine);
/** @} */

/** Returns whether the prompt of a request has a quarantined part.
 * @param left_ms set to the rest of the quarantine if so */
bool crash_guard_find(const struct crash_guard *guard, const struct protocol_request *request,
		      uint32_t *left_ms);
/** Returns whether engines crashed under prompts like that of a request, so that it is not worth a
 * retry. */
bool crash_guard_is_suspect(const struct crash_guard *guard,
			    const struct protocol_request *request);
/** Returns the quarantined parts as a JSON array, owned by the caller. */
json_t *crash_guard_json(const struct crash_guard *guard);

#endif
