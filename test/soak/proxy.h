/**
 * @file proxy.h
 * Loopback TCP proxy that harms the connections which go through it.
 *
 * proxy_create(), proxy_set() at any time, proxy_destroy() last.
 */
#ifndef FLAMINGOLATCH_TEST_PROXY_H
#define FLAMINGOLATCH_TEST_PROXY_H

#include <stdint.h>
#include <uv.h>

struct proxy;

/** What happens to bytes. */
enum proxy_mode {
	PROXY_PASS,
	PROXY_SLOW,	 /**< every part is late */
	PROXY_SILENT,	 /**< nothing passes either way, connections stay open */
	PROXY_TO_ONLY,	 /**< answers do not pass */
	PROXY_FROM_ONLY, /**< requests do not pass */
	PROXY_REFUSE,	 /**< resets what is open and what comes */
	PROXY_MODE_COUNT
};

/** @param address IP to listen on; @param target "IP:port" */
struct proxy *proxy_create(uv_loop_t *loop, const char *address, const char *target);
void proxy_destroy(struct proxy *proxy);
/** Changes what happens; PROXY_REFUSE resets all open connections. */
void proxy_set(struct proxy *proxy, enum proxy_mode mode, uint32_t delay_ms);
/** Returns "IP:port" of the proxy. */
const char *proxy_address(const struct proxy *proxy);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
