/**
 * @file relay_attempt.h
 * One attempt: sends a request to an upstream and processes its response.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_ATTEMPT_H
#define FLAMINGOLATCH_SERVE_RELAY_ATTEMPT_H

#include "relay_state.h"

/** Longer responses are passed on as they arrive. */
#define RELAY_BUFFER_MAX_BYTES (256U << 10)
/** Longest response that is read to its end although it is discarded. */
#define RELAY_DISCARD_MAX_BYTES (256U << 10)

/**
 * Starts an attempt. It ends with a call of relay::on_attempt_end, or by
 * passing the response on and freeing the request.
 * @param from_address engine that holds the KV cache to resume from, or NULL
 * @param from_handle names that KV cache; NULL without @p from_address
 */
void relay_start_attempt(struct relay_request *request, struct fleet_upstream *up,
			 const char *from_address, const char *from_handle);

/** Sends the request to an upstream, in the time that is left until its deadline.
 * @param attempt its members other than the upstream, the customer and the time are set
 * @param ops as in http_call_start() */
struct http_call *relay_send(struct relay_request *request, struct fleet_upstream *up,
			     struct protocol_attempt *attempt, const struct http_call_ops *ops,
			     void *ctx);
/** Records what the head of a response says of its upstream, and that it is alive.
 * @return the class of the answer */
enum protocol_answer_class relay_record_head(struct relay_request *request,
					     struct fleet_upstream *up, struct http_call *call,
					     uint64_t sent_us,
					     const struct http_response_head *head);
/** Tells whether a request may be sent on a connection to an upstream that was opened for it. */
bool relay_upstream_accepts(struct fleet_upstream *up);
/** Tells whether a request may still begin at an upstream once it is connected: its key is valid,
 * the zone is not evacuated and the region allowed, and the process was not paused too long to
 * know. */
bool relay_may_begin(struct relay_request *request, const struct fleet_upstream *up);
/** Stores a header of a response. @param ctx GString of names and values, each ended by a zero byte
 */
void relay_store_header(void *ctx, const char *name, const char *value);
/** Makes an open call the one of the current attempt: its callbacks run from now on. */
void relay_own_call(struct relay_request *request, struct http_call *call);
/** Does what follows the end of the call of the current attempt; may free the request. */
void relay_end_call(struct relay_request *request, enum http_call_result result, bool sent);
/** Processes a part of the body of the current response; may free the request. */
void relay_process_data(struct relay_request *request, const char *buf, size_t len);
/** Reports that the connection to an upstream broke before the answer made progress. */
void relay_report_crash(struct relay_request *request, struct fleet_upstream *up);

/**
 * Tells whether a stream whose connection ended properly lacks its end: it stops inside an event,
 * or before the first. A stream without length and chunks ends like that when its engine does. One
 * that is resumed may have no event left, but only a length or the last chunk shows that.
 */
bool relay_is_stream_cut(const struct relay_request *request);

#endif
