/**
 * @file http_server.h
 * HTTP/1.1 server: h2o's sockets on a libuv loop, http_parser for the framing.
 *
 * Order of calls: hsrv_create(), any number of requests through the handler,
 * hsrv_drain() to refuse new connections, hsrv_destroy() once
 * hsrv_open_requests() is zero.
 *
 * A request handed to the handler is answered exactly once: with
 * hreq_reply(), or with hreq_stream_begin(), hreq_stream_write() and
 * hreq_stream_end(). The request must not be used after its last answer call,
 * nor after its gone callback ran.
 *
 * A message whose framing is ambiguous (two lengths, a length beside a
 * transfer coding, white space in a name, more than one Host) is answered with
 * 400 and its connection is closed, so that nothing inside it can be taken for
 * a request of its own.
 */
#ifndef FLAMINGOLATCH_HTTP_SERVER_H
#define FLAMINGOLATCH_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct hsrv;
struct hreq;

/** Called for each whole request; the body is complete. */
typedef void (*hsrv_handler)(void *ctx, struct hreq *req);

/** What a client may send, and how long it may take; 0 takes the default. */
struct hsrv_limits {
	uint32_t max_header_bytes;  /**< larger heads are refused with 431 */
	uint32_t header_timeout_ms; /**< from the first byte of a head to its end */
	uint32_t idle_timeout_ms;   /**< between two requests of a connection */
};

/** Listening address and limits of one server. */
struct hsrv_conf {
	const char *address;	   /**< IP number to bind */
	uint16_t port;		   /**< port; 0 picks a free one */
	uint32_t max_body_bytes;   /**< larger bodies are refused with 413 */
	struct hsrv_limits limits; /**< further limits; zeros take the defaults */
	const char *cert_file;	   /**< PEM certificate chain; NULL turns TLS off */
	const char *key_file;	   /**< PEM private key */
};

/**
 * Binds a port and starts to accept.
 * @return the server, or NULL with @p error set (ERR_IO or ERR_SETTINGS)
 */
struct hsrv *hsrv_create(uv_loop_t *loop, const struct hsrv_conf *conf, hsrv_handler handler,
			 void *ctx, GError **error);
/** Frees the server. No request may be open. */
void hsrv_destroy(struct hsrv *srv);
/** Closes the listener; open requests go on, connections close after them. */
void hsrv_drain(struct hsrv *srv);
/** Lets connections close after their next answer; the listener stays open. */
void hsrv_set_closing(struct hsrv *srv);
/** Closes connections that served a request and wait for the next one. */
void hsrv_close_idle(struct hsrv *srv);
/** Replaces the limits, for requests that begin from now on. */
void hsrv_set_limits(struct hsrv *srv, const struct hsrv_limits *limits, uint32_t max_body_bytes);
/** Returns the port in use. */
uint16_t hsrv_port(const struct hsrv *srv);
/** Returns how many requests are not answered in full. */
uint32_t hsrv_open_requests(const struct hsrv *srv);

/** @name Parts of a request; strings live as long as the request.
 * @{ */
const char *hreq_method(const struct hreq *req);
/** Returns the decoded path without the query. */
const char *hreq_path(const struct hreq *req);
/** Returns the path with its query as the client sent it. */
const char *hreq_target(const struct hreq *req);
/** Returns the value of Host, "" when there is none. */
const char *hreq_host(const struct hreq *req);
/** Calls @p each for all headers, names in lower case, but for those that
 * frame the message or concern its connection alone. */
void hreq_each_header(const struct hreq *req,
		      void (*each)(void *ctx, const char *name, const char *value), void *ctx);
/** Returns the raw query string, "" when there is none. */
const char *hreq_query(const struct hreq *req);
/** Returns the value of a header or NULL; @p name is in lower case. */
const char *hreq_header(struct hreq *req, const char *name);
const char *hreq_body(const struct hreq *req, size_t *len);
/** Returns a query parameter, or NULL. The caller frees it with g_free(). */
char *hreq_query_param(const struct hreq *req, const char *name);
/** @} */

/** Adds a header to the answer; call before the answer starts. */
void hreq_add_header(struct hreq *req, const char *name, const char *value);
/** Closes the connection after this answer. */
void hreq_close_after(struct hreq *req);
/** Answers with a whole body. @param type Content-Type, or NULL for none */
void hreq_reply(struct hreq *req, uint16_t status, const char *type, const char *body, size_t len);
/** Starts a streamed answer. @param type Content-Type, or NULL for none */
void hreq_stream_begin(struct hreq *req, uint16_t status, const char *type);
/** Queues bytes of a streamed answer. */
void hreq_stream_write(struct hreq *req, const char *buf, size_t len);
/** Ends a streamed answer after all queued bytes. */
void hreq_stream_end(struct hreq *req);
/** Breaks the connection without a proper end. */
void hreq_stream_abort(struct hreq *req);
/** Returns the bytes that the client has not taken yet. */
size_t hreq_backlog_bytes(const struct hreq *req);
/**
 * Sets callbacks of a request.
 * @param gone the client left before the answer ended; may be NULL
 * @param drained the backlog is empty; may be NULL
 */
void hreq_set_callbacks(struct hreq *req, void (*gone)(void *ctx), void (*drained)(void *ctx),
			void *ctx);

#endif
