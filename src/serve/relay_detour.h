/**
 * @file relay_detour.h
 * Passes requests on to other instances while this one can reach no upstream.
 *
 * detour.h decides when the paths count as lost and which peer is chosen. A
 * request is passed on as its caller sent it, to the callers' port of the peer,
 * with a mark by which the peer never passes it on again. The peer handles it as
 * any other. Its answer is passed back unchanged if it is an upstream's. A refusal
 * of the peer means that the request did not run: up to DETOUR_MAX_PEERS are
 * asked. A peer that breaks off or is silent may have run the request, so the
 * rules of attempt.h apply.
 *
 * Also without evidence against the whole path, a request is passed on that got no
 * connection to several upstreams, or whose upstreams are all suspended.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_DETOUR_H
#define FLAMINGOLATCH_SERVE_RELAY_DETOUR_H

#include "relay_state.h"

#include <jansson.h>

struct relay_detours *relay_detours_create(void);
/** Accepts NULL. */
void relay_detours_destroy(struct relay_detours *detours);
/** Frees what is kept of the peers that were tried for a request; its call must have ended. */
void relay_detour_free(struct relay_request *request);

/** @name Evidence
 * @{ */
/** Records that an upstream sent something. */
void relay_detour_on_heard(struct relay *relay);
/** Records the end of the call of the current attempt. */
void relay_detour_on_end(struct relay_request *request, enum http_call_result result, bool sent);
/** Records that the current attempt is given up, since nothing comes. */
void relay_detour_on_silent(struct relay_request *request);
/** Records that the current attempt is silent for long. Returns true when it has no connection for
 * so long that another upstream is better. */
bool relay_detour_check(struct relay_request *request, uint64_t now_us);
/** Decides whether the path is lost; to be called every few ms. */
void relay_detours_tick(struct relay *relay, uint64_t now_us);
/** @} */

/** @name Requests
 * @{ */
/** Tells whether the request is passed on when it is placed next.
 * @param unreachable no upstream is left for it, since no connection was opened */
bool relay_detour_is_due(struct relay_request *request, bool unreachable);
/** Passes a request on, or refuses it, if it is due. Returns false when it is to be sent to an
 * upstream; relay_request::tries_path is then set if that is a try of a lost path. */
bool relay_detour_send(struct relay_request *request);
/** Passes a queued request on, or refuses it, if it is due. Returns false when it stays queued. */
bool relay_detour_send_queued(struct relay_request *request);
/** Passes a request on that was to try the lost path and has no upstream. Returns false when that
 * does not apply. */
bool relay_detour_end_try(struct relay_request *request);
/** Returns after which silence an idempotent call is sent elsewhere, in ms.
 * @param answer_ms while the path is not lost */
uint64_t relay_detour_answer_ms(const struct relay_request *request, uint64_t answer_ms);
/** @} */

/** Returns what is known of the path as a new JSON object. */
json_t *relay_detours_json(const struct relay *relay);

#endif
