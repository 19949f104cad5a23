/**
 * @file event_stream.h
 * Splits a byte stream of server-sent events at the event boundaries and passes
 * on each complete event with its bytes unchanged.
 *
 * Order of calls: event_stream_create(), event_stream_feed() with each part of
 * the body as it arrives, event_stream_destroy(). An incomplete event stays in
 * the buffer and is never passed on; event_stream_reset() drops it before the
 * stream is resumed over another connection. Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_EVENT_STREAM_H
#define FLAMINGOLATCH_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

struct event_stream;

/** Called for each complete event; its strings are valid during the call only.
 * @param raw the bytes of the event including the blank line that ends it
 * @param id value of its id field, cut after 63 bytes; "" when it has none
 * @return false to stop the feed */
typedef bool (*event_stream_cb)(void *ctx, const char *raw, size_t len, const char *id);

/** @param max_bytes largest size of an incomplete event */
struct event_stream *event_stream_create(size_t max_bytes, event_stream_cb cb, void *ctx);
void event_stream_destroy(struct event_stream *stream);
/** Appends @p len bytes and calls back for each event that is complete.
 * @return false when the incomplete event exceeds @c max_bytes or the callback returned false */
bool event_stream_feed(struct event_stream *stream, const char *buf, size_t len);
/** Drops the incomplete event. */
void event_stream_reset(struct event_stream *stream);
/** Returns the size of the incomplete event in bytes. */
size_t event_stream_pending_bytes(const struct event_stream *stream);

/** Returns true for a block that has comment lines or a blank line only: nothing a caller could
 * use. */
bool event_stream_is_comment(const char *raw, size_t len);

/** Returns true for a block whose lines are fields, "name" or "name: value", or comments. Bytes
 * that another answer or a broken server put into a stream can end with a blank line too. */
bool event_stream_is_well_formed(const char *raw, size_t len);
/** Returns true when an event may follow another one: its id is a number, and a higher one.
 * @param last_id of the event before; "" or NULL when there is none; one that is no number allows
 * any */
bool event_stream_may_follow(const char *last_id, const char *id);

#endif
