/**
 * @file proxy.h
 * TCP proxy on loopback that injects network faults: it delays, holds back, repeats
 * or resets what it forwards to one target.
 *
 * Call proxy_create(), proxy_set_mode() at any time, and proxy_destroy() last.
 * A failure to bind or listen aborts the test.
 */
#ifndef FLAMINGOLATCH_TEST_PROXY_H
#define FLAMINGOLATCH_TEST_PROXY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct proxy;

/** Fault that the proxy injects. */
enum proxy_mode {
	PROXY_PASS,	     /**< none: data is forwarded at once */
	PROXY_SLOW,	     /**< data is forwarded after a delay */
	PROXY_SILENT,	     /**< data of both directions is held back; connections stay open */
	PROXY_REQUESTS_ONLY, /**< data from the target is held back */
	PROXY_ANSWERS_ONLY,  /**< data to the target is held back */
	PROXY_RESET,	     /**< open and new connections are reset */
	PROXY_TWICE, /**< data from the target is forwarded at once, and again after a delay;
		      * the target has to send each answer in one piece */
	PROXY_MODE_COUNT
};

/**
 * Starts to listen on a free port, in mode PROXY_PASS.
 * @param address IPv4 address to listen on
 * @param target "IP:port" to connect to
 */
struct proxy *proxy_create(uv_loop_t *loop, const char *address, const char *target);
/** Resets all connections and stops listening. The loop must run afterwards to free the memory. */
void proxy_destroy(struct proxy *proxy);
/**
 * Changes the mode. Data that was held back is forwarded once the new mode allows it.
 * @param delay_ms delay in the modes PROXY_SLOW and PROXY_TWICE, ignored in others
 */
void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode, uint32_t delay_ms);
/** Sets whether new connections are refused, as nobody listens; open ones go on. */
void proxy_set_refuse_new(struct proxy *proxy, bool refuse);
/** Returns the "IP:port" that the proxy listens on. */
const char *proxy_address(const struct proxy *proxy);
const char *proxy_mode_name(enum proxy_mode mode);

#endif
