/**
 * @file http_client.h
 * HTTP/1.1 client on a libuv loop with http_parser. Bodies of responses are
 * streamed; idle connections are pooled by address and scope.
 *
 * A connection is reused only if the whole request was written before the
 * response ended, the response had a length or chunked coding, no bytes
 * followed it and the server did not ask for a close. If the call's matches()
 * callback rejects a response, the response is skipped, the call waits for the
 * next one on the connection, and the connection is not reused.
 *
 * A response names a request, but not which sending of it: a second copy of the
 * response to an earlier call under the same id passes matches(). Calls whose
 * responses bear an id therefore state it in http_call_request::id, and a
 * connection carries at most one call under each id.
 *
 * Order of calls: http_client_create(), any number of http_call_start(),
 * http_client_destroy() when no call is open. A call ends exactly once: with
 * its end callback, or with http_call_cancel(), after which no callback runs.
 * The handle is not valid after either.
 */
#ifndef FLAMINGOLATCH_HTTP_CLIENT_H
#define FLAMINGOLATCH_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_client;
struct http_call;
struct http_response_head;

/** How a call ended. */
enum http_call_result {
	HTTP_CALL_OK,		  /**< the whole response arrived */
	HTTP_CALL_CONNECT_FAILED, /**< no connection, or connected() returned false; nothing was
				     sent */
	HTTP_CALL_BROKEN,	  /**< the connection broke, or the response is not valid HTTP */
	HTTP_CALL_TIMEOUT,	  /**< the request was sent, but the response did not end within the
				     timeout */
};

/** Callbacks of one call; each may be NULL. */
struct http_call_ops {
	/** Called once when connected, before the first byte is sent. Returning
	 * false ends the call as HTTP_CALL_CONNECT_FAILED with nothing sent. */
	bool (*connected)(void *ctx);
	/** Called with the status and headers of the response; @p head is valid
	 * during the callback only. */
	void (*head)(void *ctx, const struct http_response_head *head);
	/** Called with each part of the body, without its transfer coding. */
	void (*data)(void *ctx, const char *buf, size_t len);
	/** The call ended. @p sent is true if any byte may have been sent. */
	void (*end)(void *ctx, enum http_call_result result, bool sent);
	/** Returns whether a response answers the request of this call. NULL
	 * accepts every response. */
	bool (*matches)(void *ctx, const struct http_response_head *head);
};

/** Request and options of a call. Strings are copied. */
struct http_call_request {
	const char *address; /**< "IP:port", IPv4 */
	/** Connections are reused only by calls of the same scope, for instance one
	 * incarnation of an instance; may be NULL. */
	const char *scope;
	const char *host; /**< value of Host; the address if NULL */
	const char *method;
	const char *path;    /**< path with query */
	const char *headers; /**< further header lines, each ended by CRLF; or NULL */
	const char *body;    /**< may be NULL */
	size_t body_len;
	/** From the time the connection is established to the end of the response; 0: no limit.
	 * A timeout shorter than connect_timeout_ms also limits the time to connect. */
	uint64_t timeout_ms;
	uint64_t connect_timeout_ms; /**< 0: HTTP_CLIENT_CONNECT_TIMEOUT_MS */
	bool new_connection;	     /**< open a connection for this call only; it is not reused */
	/** Id that the response will bear. The call is not sent on a connection that carried
	 * another one with this id. NULL when responses bear none. */
	const char *id;
};

/** Default time to connect. Allows for three lost SYN packets between regions. */
#define HTTP_CLIENT_CONNECT_TIMEOUT_MS 1000

/** Counters of a client since its creation. */
struct http_client_counts {
	uint64_t connects;   /**< connections opened */
	uint64_t reuses;     /**< calls on a pooled connection */
	uint64_t mismatched; /**< responses skipped because they belonged to another call */
	uint64_t extra_data; /**< connections closed because bytes followed a response */
	uint64_t malformed;  /**< responses that are not valid HTTP */
};

struct http_client *http_client_create(uv_loop_t *loop);
/** Closes the idle connections and frees the client. No call may be open. */
void http_client_destroy(struct http_client *client);

/**
 * Starts a call.
 * @param ops must stay valid until the call ends
 * @return the call; no callback runs before this returns
 */
struct http_call *http_call_start(struct http_client *client, const struct http_call_request *req,
				  const struct http_call_ops *ops, void *ctx);
/** Ends the call and closes its connection; no callback runs any more. Does nothing within
 * the end callback. */
void http_call_cancel(struct http_call *call);
/** Makes another owner's callbacks the ones that run from now on, also within a callback. @p ops
 * must stay valid until the call ends. */
void http_call_set_owner(struct http_call *call, const struct http_call_ops *ops, void *ctx);
/** Closes the connection after the call instead of reusing it. Has no effect before the connection
 * is established. */
void http_call_disable_reuse(struct http_call *call);
/** Stops reading the response, so that TCP flow control slows the server down. Has no effect
 * before the connection is established. */
void http_call_pause(struct http_call *call);
/** Continues reading after http_call_pause(). */
void http_call_resume(struct http_call *call);

/** Closes the idle connections to an address within a scope.
 * @param scope as in struct http_call_request; may be NULL */
void http_client_close_idle(struct http_client *client, const char *address, const char *scope);
/** Returns whether an idle connection to an address is pooled within a scope. */
bool http_client_has_idle(struct http_client *client, const char *address, const char *scope);
const struct http_client_counts *http_client_counts(const struct http_client *client);

/** Returns the status of a response. */
uint16_t http_response_status(const struct http_response_head *head);
/** Returns a copy of the first header with that name, to be freed with
 * g_free(), or NULL. @param name in lower case */
char *http_response_dup_header(const struct http_response_head *head, const char *name);
/** Returns the length of the body in bytes, or -1 if there is no Content-Length. */
int64_t http_response_body_length(const struct http_response_head *head);
/** Returns whether the server closes the connection after this response. */
bool http_response_closes_connection(const struct http_response_head *head);
/** Returns whether a body follows, which may be empty: not after 204 and 304, nor to HEAD. */
bool http_response_has_body(const struct http_response_head *head);
/** Returns whether the body has neither a length nor chunks, so that only the end of the connection
 * ends it. */
bool http_response_is_unframed(const struct http_response_head *head);
/** Calls @p each for all headers, names in lower case, except Content-Length,
 * a fixed list of hop-by-hop headers, and those that a Connection header names. */
void http_response_each_header(const struct http_response_head *head,
			       void (*each)(void *ctx, const char *name, const char *value),
			       void *ctx);

#endif
