/**
 * @file bus.h
 * One-way messages between entry instances over ZeroMQ on a libuv loop.
 *
 * Every instance binds one PULL socket and connects a PUSH socket to each
 * peer that it sends to; sockets that stay unused are closed. With keys, both
 * ends use CURVE, and only holders of the deployment's key pair get through.
 * Messages may be lost. Order of calls: bus_create(), bus_send(), bus_destroy().
 */
#ifndef FLAMINGOLATCH_BUS_H
#define FLAMINGOLATCH_BUS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct bus;

struct bus_options {
	const char *address;	/**< IP number to bind */
	uint16_t port;		/**< 0 picks a free one */
	const char *public_key; /**< Z85; NULL turns CURVE off */
	const char *secret_key; /**< Z85 */
};

/** Called for each message received. */
typedef void (*bus_receive_cb)(void *ctx, const void *buf, size_t len);

/** @return the bus, or NULL with ERR_IO or ERR_SETTINGS */
struct bus *bus_create(uv_loop_t *loop, const struct bus_options *conf, bus_receive_cb cb,
		       void *ctx, GError **error);
void bus_destroy(struct bus *bus);
/** Sends a message, or drops it when the peer does not take it.
 * @return true when it was queued */
bool bus_send(struct bus *bus, const char *address, const void *buf, size_t len);
uint16_t bus_port(const struct bus *bus);

#endif
