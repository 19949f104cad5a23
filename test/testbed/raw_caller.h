/**
 * @file raw_caller.h
 * A caller of a gateway that keeps every byte of the answers on its connection.
 *
 * raw_caller_connect() or raw_caller_open(); raw_caller_send() for each request,
 * raw_caller_read() for what has arrived since; raw_caller_close() last.
 */
#ifndef FLAMINGOLATCH_TEST_RAW_CALLER_H
#define FLAMINGOLATCH_TEST_RAW_CALLER_H

#include "testbed.h"

/** Longest output of the generations that are requested, in tokens, unless the caller is changed.
 */
#define RAW_CALLER_TOKENS 40
/** Deadline sent with the requests, in ms. */
#define RAW_CALLER_TIMEOUT_MS 6000

struct raw_caller {
	int fd;
	uint32_t max_tokens; /**< of the generations that it requests */
	bool closed;	     /**< by the gateway */
	bool reset;	     /**< it was closed by a reset */
	GString *input;
};

struct raw_caller raw_caller_connect(const struct testbed_gateway *gateway);
/** Sends a request without a body; the connection must be open. */
void raw_caller_send(struct raw_caller *caller, const char *id, const char *path);
/** Sends a request with a body in chunks. @return false when the gateway has closed the connection
 */
bool raw_caller_send_chunked(struct raw_caller *caller, const char *id, const char *path);
/** Sends a request without a body. @param version of HTTP, such as "1.0" */
void raw_caller_send_as(struct raw_caller *caller, const char *method, const char *version,
			const char *id, const char *path);
/** Sends a piece of a request. @return false when the gateway has closed the connection */
bool raw_caller_send_text(const struct raw_caller *caller, const char *text);
/** Connects and sends a request. */
struct raw_caller raw_caller_open(const struct testbed_gateway *gateway, const char *id,
				  const char *path);
/** Reads what has arrived, at most @p max bytes. */
void raw_caller_read(struct raw_caller *caller, size_t max);
/** Returns the status of the first answer; 0 before its head is complete. */
uint16_t raw_caller_status(const struct raw_caller *caller);
/** Tells whether the first answer is complete: by its length, or with the last chunk. */
bool raw_caller_is_whole(const struct raw_caller *caller);
void raw_caller_close(struct raw_caller *caller);

#endif
