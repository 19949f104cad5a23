/**
 * @file relay_send.h
 * Sends a request to an upstream and takes its answer.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_SEND_H
#define FLAMINGOLATCH_SERVE_RELAY_SEND_H

#include "relay_state.h"

/**
 * Sends a request; what comes of it goes to rly::outcome, or the answer is
 * passed on and the request freed.
 * @param from_address holder of the memory of the run to go on from, or NULL
 * @param from_handle names that memory; NULL without @p from_address
 */
void relay_send(struct relay *relay, struct fleet_upstream *up, const char *from_address,
		const char *from_handle);

#endif
