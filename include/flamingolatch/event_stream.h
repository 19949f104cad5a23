/**
 * @file event_stream.h
 * Splits a stream of server-sent events into whole events, bytes unchanged.
 *
 * event_stream_create(), event_stream_feed() with each part of a body, event_stream_destroy(). An
 * event that was cut short stays inside and is never passed on; event_stream_reset() drops it when
 * the stream goes on over another connection. Pure.
 */
#ifndef FLAMINGOLATCH_EVENT_STREAM_H
#define FLAMINGOLATCH_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

struct event_stream;

/** Called for each whole event.
 * @param raw the event with its blank line
 * @param id value of its id field, "" when it has none
 * @return false to stop the feed */
typedef bool (*event_stream_cb)(void *ctx, const char *raw, size_t len, const char *id);

/** @param max_bytes a longer event fails the feed */
struct event_stream *event_stream_create(size_t max_bytes, event_stream_cb cb, void *ctx);
void event_stream_destroy(struct event_stream *event_stream);
/** @return false when an event is over the limit or the callback stopped */
bool event_stream_feed(struct event_stream *event_stream, const char *buf, size_t len);
void event_stream_reset(struct event_stream *event_stream);
/** Returns the bytes of an event that is not whole yet. */
size_t event_stream_pending_bytes(const struct event_stream *event_stream);

#endif
