/**
 * @file fetch.h
 * One HTTP request whose response is collected whole in memory.
 *
 * fetch_start() sends the request; the callback runs exactly once and the
 * handle is not valid afterwards. fetch_cancel() ends it without the callback.
 */
#ifndef FLAMINGOLATCH_FETCH_H
#define FLAMINGOLATCH_FETCH_H

#include "flamingolatch/http_client.h"

struct fetch;

/** Response and result. Strings are valid for the time of the callback. */
struct fetch_response {
	enum http_call_result result;
	bool sent;	    /**< whether any byte of the request may have been sent */
	uint16_t status;    /**< HTTP status, 0 if none arrived */
	const char *type;   /**< Content-Type, "" if absent */
	const char *header; /**< value of the header named by fetch_keep_header(), or NULL */
	const char *body;
	size_t body_len;
};

typedef void (*fetch_cb)(void *ctx, const struct fetch_response *response);

/**
 * Starts a request. The callback does not run before this returns.
 * @param req its strings are copied
 * @param max_bytes a longer body makes the result HTTP_CALL_BROKEN
 * @param may_send called when connected; returning false ends the request as
 *        HTTP_CALL_CONNECT_FAILED with nothing sent. May be NULL.
 */
struct fetch *fetch_start(struct http_client *client, const struct http_call_request *req,
			  size_t max_bytes, bool (*may_send)(void *ctx), fetch_cb cb, void *ctx);
/** Names a header of the response that the callback needs. @param name static, in lower case */
void fetch_keep_header(struct fetch *fetch, const char *name);
/** Sets a callback for the head of the response, with the context of the request. */
void fetch_set_head_cb(struct fetch *fetch,
		       void (*cb)(void *ctx, const struct http_response_head *head));
/** Sets a callback that tells whether a response answers the request, with the context of the
 * request; see struct http_call_ops. */
void fetch_set_match_cb(struct fetch *fetch,
			bool (*cb)(void *ctx, const struct http_response_head *head));
/** Closes the connection after the response instead of reusing it. To be called from the callback
 * for the head. */
void fetch_disable_reuse(struct fetch *fetch);
/** Cancels the request and closes its connection; the callback does not run. */
void fetch_cancel(struct fetch *fetch);

#endif
