/**
 * @file wfq.h
 * Requests waiting for an engine, in weighted fair order.
 *
 * Each customer and priority is a flow; a flow's weight grows with the
 * priority. Requests are ordered by virtual finish time, so a customer that
 * asks for much delays itself before it delays others. Order of calls:
 * wfq_create(), wfq_push(), wfq_at() and wfq_remove() to serve,
 * wfq_expired() for deadlines, wfq_destroy() last.
 */
#ifndef FLAMINGOLATCH_WFQ_H
#define FLAMINGOLATCH_WFQ_H

#include <stdint.h>

struct wfq;
struct wfq_item;

struct wfq *wfq_create(void);
/** Frees the queue; it must be empty. */
void wfq_destroy(struct wfq *queue);

/**
 * Adds a request.
 * @param customer name of the customer
 * @param priority 0 to 9
 * @param cost expected work, in tokens
 * @param deadline_us when the wait is over
 * @param user returned by wfq_user()
 */
struct wfq_item *wfq_push(struct wfq *queue, const char *customer, uint64_t priority, double cost,
			  uint64_t deadline_us, void *user);
/** Takes a request out. @p served advances the virtual time. */
void wfq_remove(struct wfq *queue, struct wfq_item *item, int served);

/** Returns the head of the flow that is at place @p rank, or NULL. */
struct wfq_item *wfq_at(struct wfq *queue, uint32_t rank);
/** Returns a request whose deadline has passed, or NULL. */
struct wfq_item *wfq_expired(struct wfq *queue, uint64_t now_us);
void *wfq_user(const struct wfq_item *item);
uint32_t wfq_length(const struct wfq *queue);

#endif
