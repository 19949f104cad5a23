/**
 * @file raw_upstream.h
 * A stand-in for an upstream that sends arbitrary bytes, also after its answer and
 * without end.
 *
 * raw_upstream_create() with a callback that is called for each request head;
 * from there raw_conn_write(), raw_conn_write_later(), raw_conn_write_pieces(),
 * raw_conn_close() and raw_conn_reset(); raw_upstream_destroy() last, before the loop is closed.
 */
#ifndef FLAMINGOLATCH_TEST_RAW_UPSTREAM_H
#define FLAMINGOLATCH_TEST_RAW_UPSTREAM_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

struct raw_upstream;
/** A connection; valid until it is closed. */
struct raw_conn;

/** Called with each request. @param id id of the request, "" when it has none */
typedef void (*raw_upstream_cb)(void *ctx, struct raw_conn *conn, const char *id);

struct raw_upstream *raw_upstream_create(uv_loop_t *loop, const char *ip, uint16_t port,
					 raw_upstream_cb cb, void *ctx);
/** Closes the listener and all connections. */
void raw_upstream_destroy(struct raw_upstream *upstream);
/** Returns the number of bytes that were written and not sent yet, over all connections. */
uint64_t raw_upstream_unsent_bytes(const struct raw_upstream *upstream);
/** Returns the number of open connections. */
uint32_t raw_upstream_conn_count(const struct raw_upstream *upstream);
/** Returns an open connection by its number, or NULL. */
struct raw_conn *raw_upstream_find_conn(const struct raw_upstream *upstream, uint64_t number);

/** Returns the head and the body of the request; valid in the callback of the request. */
const char *raw_conn_request(const struct raw_conn *conn);
/** Returns the number of the connection: the first that the upstream accepted is 1. */
uint64_t raw_conn_number(const struct raw_conn *conn);
void raw_conn_write(struct raw_conn *conn, const char *text);
/** Writes a text after a delay, and again after each further delay if @p repeat is set. Replaces an
 * earlier call for the connection. */
void raw_conn_write_later(struct raw_conn *conn, const char *text, uint32_t delay_ms, bool repeat);
/** Writes a text again and again, as fast as the other side reads. */
void raw_conn_write_endlessly(struct raw_conn *conn, const char *text);
/** Returns whether a text is still to be written by raw_conn_write_later(). */
bool raw_conn_has_later(const struct raw_conn *conn);
/** Writes a text in pieces, one after each delay. Replaces raw_conn_write_later(). */
void raw_conn_write_pieces(struct raw_conn *conn, const char *text, size_t piece_bytes,
			   uint32_t delay_ms);
/** Closes the connection when all is sent. */
void raw_conn_close(struct raw_conn *conn);
/** Resets the connection when all is sent. */
void raw_conn_reset(struct raw_conn *conn);
/** Returns the head of the request that the callback is called for, in lower case. */
const char *raw_conn_request_head(const struct raw_conn *conn);
/** Returns how many requests have come on the connection. */
uint32_t raw_conn_request_count(const struct raw_conn *conn);

#endif
