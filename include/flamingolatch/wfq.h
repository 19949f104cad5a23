/**
 * @file wfq.h
 * Weighted fair queue of requests that wait for an engine.
 *
 * The requests of one customer with one priority are a flow, whose weight grows
 * with the priority. The flow whose oldest request has the earliest virtual finish
 * time is served next. A customer with many or costly requests thus delays its
 * own requests rather than those of others. Order of calls: wfq_create(),
 * wfq_push(), wfq_peek() and wfq_remove() to serve, wfq_expired() for queue
 * timeouts, wfq_destroy() last. Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_WFQ_H
#define FLAMINGOLATCH_WFQ_H

#include <stdint.h>

struct wfq;
struct wfq_item;

struct wfq *wfq_create(void);
/** Frees the queue, which must be empty; it may be NULL. */
void wfq_destroy(struct wfq *queue);

/**
 * Adds a request at the end of its flow.
 * @param customer customer that the request belongs to
 * @param priority 0 to 9
 * @param cost expected work, in tokens
 * @param deadline_us when the queue timeout ends
 * @param user data of the caller, returned by wfq_user(); not owned by the queue
 * @return the queued request, valid until wfq_remove()
 */
struct wfq_item *wfq_push(struct wfq *queue, const char *customer, uint64_t priority, double cost,
			  uint64_t deadline_us, void *user);
/** Removes and frees a request.
 * @param served nonzero when it was sent to an engine, which advances the virtual time; 0 when it
 *        expired or was cancelled */
void wfq_remove(struct wfq *queue, struct wfq_item *item, int served);

/** Returns the oldest request of a flow without removing it.
 * @param rank position of the flow in the order of service; 0 for the one that is served next
 * @return the request, or NULL when no flow has that position. Of several flows with the same
 *         virtual finish time, only one has a position. */
struct wfq_item *wfq_peek(struct wfq *queue, uint32_t rank);
/** Returns the request whose queue timeout ended first, or NULL when none has ended. */
struct wfq_item *wfq_expired(struct wfq *queue, uint64_t now_us);
/** Returns the user data of a request. */
void *wfq_user(const struct wfq_item *item);
/** Returns the number of queued requests. */
uint32_t wfq_length(const struct wfq *queue);

#endif
