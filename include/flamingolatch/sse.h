/**
 * @file sse.h
 * Splits a byte stream of server-sent events into events.
 *
 * sse_create(), sse_feed() with each part of a body, sse_destroy(). Only the
 * fields id, event and data are kept. A line longer than the limit makes the
 * stream invalid.
 */
#ifndef FLAMINGOLATCH_SSE_H
#define FLAMINGOLATCH_SSE_H

#include <stdbool.h>
#include <stddef.h>

struct sse;

/** One event; strings are "" when absent and live for the call. */
struct sse_event {
	const char *id;
	const char *event;
	const char *data;
	size_t data_len;
};

/** Called for each event. Returning false stops the feed. */
typedef bool (*sse_cb)(void *ctx, const struct sse_event *event);

struct sse *sse_create(size_t max_bytes, sse_cb cb, void *ctx);
void sse_destroy(struct sse *sse);
/** Feeds bytes.
 * @return false when an event is over the limit or the callback stopped */
bool sse_feed(struct sse *sse, const char *buf, size_t len);
/** Forgets a partial event, for a new connection. */
void sse_reset(struct sse *sse);

#endif
