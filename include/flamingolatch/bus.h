/**
 * @file bus.h
 * One-way messages between instances over ZeroMQ, on a libuv loop.
 *
 * Every instance binds one PULL socket and connects a PUSH socket to each peer
 * that it sends to; connections without traffic are closed. With keys, both ends
 * use CURVE, and only holders of the deployment's key pair can connect. Delivery
 * is not guaranteed. Order of calls: bus_create(), bus_send(), bus_destroy().
 */
#ifndef FLAMINGOLATCH_BUS_H
#define FLAMINGOLATCH_BUS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct bus;

/** The strings are used during bus_create() only. */
struct bus_options {
	const char *address;	/**< IP address to bind */
	uint16_t port;		/**< 0 binds a free port */
	const char *public_key; /**< Z85; NULL turns CURVE off */
	const char *secret_key; /**< Z85 */
};

/** Called for each message received; @p buf is valid during the call only. */
typedef void (*bus_receive_cb)(void *ctx, const void *buf, size_t len);

/**
 * Binds the receiving socket and starts to receive on @p loop.
 * @return the bus, or NULL with ERR_SETTINGS for a malformed public key, and
 *         with ERR_IO for a malformed secret key or when the socket cannot be bound
 */
struct bus *bus_create(uv_loop_t *loop, const struct bus_options *options, bus_receive_cb cb,
		       void *ctx, GError **error);
/** Closes the sockets; memory is freed once the loop has closed the handles. NULL is allowed. */
void bus_destroy(struct bus *bus);
/**
 * Queues a message for a peer without blocking, connecting first if needed.
 * @param address "IP:port" of the peer's bus
 * @return false when the message was dropped: the peer is not connected (yet) or its
 *         queue is full
 */
bool bus_send(struct bus *bus, const char *address, const void *buf, size_t len);
/** Returns the port that the receiving socket is bound to. */
uint16_t bus_port(const struct bus *bus);

#endif
