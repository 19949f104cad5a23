/**
 * @file http_server.h
 * HTTP server over h2o on a libuv loop.
 *
 * Order of calls: hsrv_create(), any number of requests through the handler,
 * hsrv_drain() to refuse new connections, hsrv_destroy() once
 * hsrv_open_requests() is zero.
 *
 * A request handed to the handler is answered exactly once: with
 * hreq_reply(), or with hreq_stream_begin(), hreq_stream_write() and
 * hreq_stream_end(). The request must not be used after its last answer call,
 * nor after its gone callback ran.
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

/** Listening address and limits of one server. */
struct hsrv_conf {
	const char *address;	 /**< IP number to bind */
	uint16_t port;		 /**< port; 0 picks a free one */
	uint32_t max_body_bytes; /**< larger bodies are refused with 413 */
	const char *cert_file;	 /**< PEM certificate chain; NULL turns TLS off */
	const char *key_file;	 /**< PEM private key */
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
/** Returns the port in use. */
uint16_t hsrv_port(const struct hsrv *srv);
/** Returns how many requests are not answered in full. */
uint32_t hsrv_open_requests(const struct hsrv *srv);

/** @name Parts of a request; strings live as long as the request.
 * @{ */
const char *hreq_method(const struct hreq *req);
const char *hreq_path(const struct hreq *req);
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
/** Answers with a whole body. */
void hreq_reply(struct hreq *req, uint16_t status, const char *type, const char *body, size_t len);
/** Starts a streamed answer. */
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
