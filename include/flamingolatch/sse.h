/**
 * @file sse.h
 * Incremental parser for server-sent events (text/event-stream).
 *
 * Order of calls: sse_create(), sse_feed() with each part of a body in any
 * split, sse_destroy(). Only the fields id, event and data are parsed. A line
 * or the data of an event above the limit makes the stream invalid.
 */
#ifndef FLAMINGOLATCH_SSE_H
#define FLAMINGOLATCH_SSE_H

#include <stdbool.h>
#include <stddef.h>

struct sse;

/** One event. Strings are "" if the field is absent, and valid for the time of the callback. */
struct sse_event {
	const char *id;
	const char *event;
	const char *data;
	size_t data_len;
};

/** Called for each event that has an id or data. Returning false stops sse_feed(). */
typedef bool (*sse_cb)(void *ctx, const struct sse_event *event);

/** Creates a parser. @param max_bytes limit for a line and for the data of an event */
struct sse *sse_create(size_t max_bytes, sse_cb cb, void *ctx);
void sse_destroy(struct sse *sse);
/** Parses bytes and calls the callback for each event that they complete.
 * @return false if the limit is exceeded or the callback returned false */
bool sse_feed(struct sse *sse, const char *buf, size_t len);
/** Discards a partial event, for a new connection. */
void sse_reset(struct sse *sse);

#endif
