/**
 * @file cold_start.h
 * Applies the limits of cold upstreams: the terms of their services, the part that
 * this instance has of each limit, and the log of their phases.
 *
 * warm_up.h computes limits and parts. An instance takes part once it knows the
 * instances in the store's table, by its own read or from its delegate. Nothing is
 * sent to peers. Without a service that states terms, and settings that do, nothing
 * is done.
 *
 * cold_start_create() after peer_exchange_create(); cold_start_on_config() for each
 * new configuration or settings, cold_start_on_upstream() for each upstream that
 * was added or changed its state, cold_start_on_request() for each request that is
 * sent, cold_start_on_answer() for each answer; cold_start_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_COLD_START_H
#define FLAMINGOLATCH_SERVE_COLD_START_H

#include "env.h"
#include "peer_exchange.h"

struct cold_start;

/** @p env and @p exchange are borrowed and must outlive the result. */
struct cold_start *cold_start_create(struct env *env, struct peer_exchange *exchange);
/** Frees it; NULL is allowed. */
void cold_start_destroy(struct cold_start *cold);
/** Applies the terms of the configuration and the settings in force. */
void cold_start_on_config(struct cold_start *cold);
/** Applies the terms of its service to an upstream. */
void cold_start_on_upstream(struct cold_start *cold, struct fleet_upstream *up);
/** Counts a request that is sent to an upstream. */
void cold_start_on_request(struct cold_start *cold, struct fleet_upstream *up);
/** Returns when a caller that no upstream takes now should come back, in ms: once the first cold
 * upstream of a service is warm, spread over the time in which its limit grows. G_MAXUINT32 when no
 * upstream of the service is cold or warms up. */
uint32_t cold_start_return_ms(const struct cold_start *cold, const char *service);
/** Records how long an upstream is cold, as an answer says. @param cold_ms 0: it says nothing */
void cold_start_on_answer(struct cold_start *cold, struct fleet_upstream *up, uint32_t cold_ms);

#endif
