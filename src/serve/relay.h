/**
 * @file relay.h
 * Relays callers' requests to upstreams: routing, attempts and retries, and the
 * response back to the caller.
 *
 * Order of calls: relay_create(); relay_handle() as the handler of the callers'
 * port, relay_tick() every few ms and relay_grant_queued() once per iteration of
 * the event loop; relay_destroy() last. attempt.h decides what follows an attempt
 * that ended, dispatch.h selects the upstream.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_H
#define FLAMINGOLATCH_SERVE_RELAY_H

#include "dispatch.h"
#include "env.h"
#include "peer_exchange.h"

#include <jansson.h>

struct relay;

/** @p env and @p dispatch are borrowed and must outlive the relay. */
struct relay *relay_create(struct env *env, struct dispatch *dispatch);
/** Frees the relay and all its requests, without answering them. Accepts NULL. */
void relay_destroy(struct relay *relay);
/** Sets where the peers are found to which requests are passed on; NULL: to none. @p exchange is
 * borrowed. */
void relay_set_peers(struct relay *relay, struct peer_exchange *exchange);
/** Handles a new request; an http_server_handler() whose @p ctx is the struct relay. */
void relay_handle(void *ctx, struct http_req *req);
/** Enforces deadlines and queue timeouts, detects stalled attempts, starts migrations, and grants
 * engines to queued generations. */
void relay_tick(struct relay *relay);
/** Grants engines to queued generations if a request has ended since the last call. */
void relay_grant_queued(struct relay *relay);
/** Ends the requests that were quarantined, or a part of their prompt, unless they made progress.
 */
void relay_refuse_quarantined(struct relay *relay);
/** Answers the open requests with errors, before the process exits: those that were not sent to an
 * upstream as not run. Responses that have begun go on. */
void relay_answer_open(struct relay *relay);
/** Logs each open request whose caller waits, before the process exits. */
void relay_log_unfinished(struct relay *relay);
/** Returns the open requests, at most @p max_count of them, as a new JSON array. */
json_t *relay_state_json(const struct relay *relay, uint32_t max_count);
/** Returns the number of requests that are not answered in full. */
uint32_t relay_open_count(const struct relay *relay);

#endif
