/**
 * @file relay_hedge.h
 * The second call of a request: a hedged request, sent to another upstream while
 * the current attempt is not answered.
 *
 * hedge.h decides when. The second call collects its response apart from that of
 * the current attempt. When it is usable (complete and below 500), the current
 * attempt is cancelled and the call takes its place; then the ordinary rules
 * apply. It takes its place as well when the current attempt ends without an
 * answer. Otherwise it is dropped. A cancelled call does not count as a failure of
 * its upstream.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_HEDGE_H
#define FLAMINGOLATCH_SERVE_RELAY_HEDGE_H

#include "relay_state.h"

#include <jansson.h>

/** How a hedged request ended. */
enum relay_hedge_end {
	RELAY_HEDGE_WON,	 /**< it was answered first */
	RELAY_HEDGE_TOOK_OVER,	 /**< the first call failed, and this one goes on */
	RELAY_HEDGE_LOST,	 /**< cancelled: the first call was answered */
	RELAY_HEDGE_CALLER_LEFT, /**< cancelled */
	RELAY_HEDGE_DEADLINE,	 /**< cancelled: the deadline passed */
	RELAY_HEDGE_ENDED,	 /**< cancelled: the request ended otherwise */
	RELAY_HEDGE_NOT_RUN,	 /**< not sent, or the upstream states that it did not run it */
	RELAY_HEDGE_FAILED,	 /**< no usable answer */
	RELAY_HEDGE_END_COUNT
};

/** Counts a request for the budget of its service. */
void relay_count_for_hedges(struct relay_request *request);
/** Records how long the first attempt of a call has taken, when it ends; does nothing for others.
 */
void relay_learn_response(struct relay_request *request, uint64_t now_us);
/** Sends a hedged request if it is due and allowed. Returns true when it was sent. */
bool relay_try_hedge(struct relay_request *request, uint64_t now_us);
/** Cancels the hedged request, if any, and removes its load. */
void relay_cancel_hedge(struct relay_request *request, enum relay_hedge_end end);
/** Makes the hedged request the current attempt, whose call has ended. */
void relay_take_hedge(struct relay_request *request);

/** Returns the bytes that are buffered of the response to the hedged request. */
uint64_t relay_hedge_buffered_bytes(const struct relay_request *request);
/** Returns what is known of each service as a new JSON array. */
json_t *relay_hedges_json(const struct relay *relay);

#endif
