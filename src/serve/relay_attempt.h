/**
 * @file relay_attempt.h
 * One attempt: sends a request to an upstream and processes its response.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_ATTEMPT_H
#define FLAMINGOLATCH_SERVE_RELAY_ATTEMPT_H

#include "relay_state.h"

/**
 * Starts an attempt. It ends with a call of relay::on_attempt_end, or by
 * passing the response on and freeing the request.
 * @param from_address engine that holds the KV cache to resume from, or NULL
 * @param from_handle names that KV cache; NULL without @p from_address
 */
void relay_start_attempt(struct relay_request *request, struct fleet_upstream *up,
			 const char *from_address, const char *from_handle);

/**
 * Tells whether a stream whose connection ended properly lacks its end: it stops inside an event,
 * or before the first. A stream without length and chunks ends like that when its engine does. One
 * that is resumed may have no event left, but only a length or the last chunk shows that.
 */
bool relay_is_stream_cut(const struct relay_request *request);

#endif
