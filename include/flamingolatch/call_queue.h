/**
 * @file call_queue.h
 * Calls of one plain service that wait while its upstreams are left alone.
 *
 * The load that this answers: all upstreams of a service have asked for quiet, see
 * upstream_quiet.h, for less time than most callers have. Refused callers would come
 * back in the same time and add to the load; callers that are held until their
 * deadline get nothing. The queue forecasts when each call would be answered: one
 * request tries at the first end, and the number that may be open grows with the
 * answers. Calls that would be answered after their deadline are refused as soon as
 * that is known, those of low priority first, and the others wait. Many instances
 * come back to the same upstreams: until an upstream has answered a few requests,
 * those that waited take an instance's share of its slots at most, and later the
 * slots that are free.
 *
 * call_queue_answer_us() before call_queue_add() tells whether it is of use to wait;
 * call_queue_find_late() now and then names the calls to refuse; call_queue_first()
 * names the next to be sent. The module does no I/O and reads no clock. Times are
 * monotonic, in us.
 */
#ifndef FLAMINGOLATCH_CALL_QUEUE_H
#define FLAMINGOLATCH_CALL_QUEUE_H

#include "flamingolatch/upstream_quiet.h"

#include <stdbool.h>
#include <stdint.h>

struct call_queue;
/** A call in the queue. */
struct call_queue_item;

/** An upstream that may be sent the calls, now or after its quiet time. */
struct call_queue_upstream {
	const struct upstream_quiet *quiet;
	uint32_t slots;	    /**< requests that it works on at once, at least 1 */
	uint32_t share;	    /**< of this instance in the slots, at least 1 */
	uint32_t open;	    /**< requests of this instance there */
	uint32_t peer_open; /**< requests of other instances there, as far as is known */
};

struct call_queue *call_queue_create(void);
/** Frees a queue, which must be empty. */
void call_queue_destroy(struct call_queue *queue);

/** Returns whether a call that waited may be sent to an upstream. */
bool call_queue_allows(const struct call_queue_upstream *up, uint64_t now_us);
/** Returns when a call that joins now is expected to be answered.
 * @param queue NULL for an empty one
 * @param priority 0 is first; among equal ones the call that joined first
 * @return UINT64_MAX when there is no upstream */
uint64_t call_queue_answer_us(const struct call_queue *queue, const struct call_queue_upstream *ups,
			      uint32_t count, uint32_t priority, uint64_t now_us);
/** Adds a call. @param ctx returned by call_queue_find_late() and call_queue_first() */
struct call_queue_item *call_queue_add(struct call_queue *queue, uint32_t priority,
				       uint64_t deadline_us, void *ctx);
/** Removes a call and frees its item. */
void call_queue_remove(struct call_queue *queue, struct call_queue_item *item);
/** Returns the next call to be sent, or NULL. */
void *call_queue_first(const struct call_queue *queue);
/** Returns the call that is sent after another one, or NULL. */
void *call_queue_next(const struct call_queue_item *item);
/** Returns the first call that is expected to be answered after its deadline, or NULL. Once it is
 * removed, those behind it are answered earlier.
 * @param limit_us a deadline for all calls, such as the end of the process */
void *call_queue_find_late(const struct call_queue *queue, const struct call_queue_upstream *ups,
			   uint32_t count, uint64_t limit_us, uint64_t now_us);
uint32_t call_queue_length(const struct call_queue *queue);

#endif
