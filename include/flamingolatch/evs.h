/**
 * @file evs.h
 * Splits a stream of server-sent events into whole events, bytes unchanged.
 *
 * evs_create(), evs_feed() with each part of a body, evs_destroy(). An event
 * that was cut short stays inside and is never passed on; evs_reset() drops it
 * when the stream goes on over another connection. Pure.
 */
#ifndef FLAMINGOLATCH_EVS_H
#define FLAMINGOLATCH_EVS_H

#include <stdbool.h>
#include <stddef.h>

struct evs;

/** Called for each whole event.
 * @param raw the event with its blank line
 * @param id value of its id field, "" when it has none
 * @return false to stop the feed */
typedef bool (*evs_cb)(void *ctx, const char *raw, size_t len, const char *id);

/** @param max_bytes a longer event fails the feed */
struct evs *evs_create(size_t max_bytes, evs_cb cb, void *ctx);
void evs_destroy(struct evs *evs);
/** @return false when an event is over the limit or the callback stopped */
bool evs_feed(struct evs *evs, const char *buf, size_t len);
void evs_reset(struct evs *evs);
/** Returns the bytes of an event that is not whole yet. */
size_t evs_partial(const struct evs *evs);

#endif
