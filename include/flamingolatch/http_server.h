/**
 * @file http_server.h
 * HTTP/1.1 server on a libuv loop, with h2o's sockets (plain or TLS) and
 * http_parser.
 *
 * Order of calls: http_server_create(), any number of requests through the
 * handler, http_server_drain() to refuse new connections,
 * http_server_destroy() once http_server_open_requests() is zero.
 *
 * The handler gets each request with its whole body, and answers it exactly
 * once: with http_req_reply(), or with http_req_stream_begin(),
 * http_req_stream_write() and http_req_stream_end(). It may answer after it
 * has returned. The request must not be used after http_req_reply(),
 * http_req_stream_end() or http_req_stream_abort(), nor after its on_disconnect
 * callback.
 *
 * A message whose framing is ambiguous (two lengths, a length beside a
 * transfer coding, white space in a header name, more than one Host) is
 * answered with 400 and its connection is closed, which prevents request
 * smuggling.
 */
#ifndef FLAMINGOLATCH_HTTP_SERVER_H
#define FLAMINGOLATCH_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_server;
struct http_req;

/** Called for each request once its body is complete. */
typedef void (*http_server_handler)(void *ctx, struct http_req *req);

/** Limits on what a client may send and how long it may take. 0 means the default. */
struct http_server_limits {
	uint32_t max_header_bytes; /**< larger request heads are refused with 431; default 64 KiB */
	uint32_t header_timeout_ms; /**< from first to last byte of a head; a slower request is
				       refused with 408; default 15000 */
	uint32_t idle_timeout_ms; /**< between requests, and between parts of a body; default 60000
				   */
};

/** Listening address and limits of one server. */
struct http_server_conf {
	const char *address;		  /**< IPv4 address to bind */
	uint16_t port;			  /**< 0 binds a free port */
	uint32_t max_body_bytes;	  /**< larger bodies are refused with 413 */
	struct http_server_limits limits; /**< further limits */
	const char *cert_file;		  /**< PEM certificate chain; NULL turns TLS off */
	const char *key_file;		  /**< PEM private key; unused without cert_file */
};

/**
 * Binds a port and starts to accept connections.
 * @return the server, or NULL with @p error set: ERR_IO if the address cannot
 *         be bound, ERR_SETTINGS if certificate or key cannot be loaded
 */
struct http_server *http_server_create(uv_loop_t *loop, const struct http_server_conf *conf,
				       http_server_handler handler, void *ctx, GError **error);
/** Closes all connections and frees the server. No request may be open. */
void http_server_destroy(struct http_server *srv);
/** Closes the listener. Open requests continue; each connection closes after its next response. */
void http_server_drain(struct http_server *srv);
/** Closes each connection after its next response. New connections are still accepted. */
void http_server_disable_keep_alive(struct http_server *srv);
/** Closes idle connections that have served at least one request. */
void http_server_close_idle(struct http_server *srv);
/** Closes all connections on which no byte of a request was read since the last response. */
void http_server_close_unused(struct http_server *srv);
/** Replaces the limits; they apply at once, to open connections too.
 * @param max_body_bytes as in struct http_server_conf */
void http_server_set_limits(struct http_server *srv, const struct http_server_limits *limits,
			    uint32_t max_body_bytes);
/** Returns the port in use. */
uint16_t http_server_port(const struct http_server *srv);
/** Returns the number of requests whose response is not written completely. */
uint32_t http_server_open_requests(const struct http_server *srv);
/** Returns the number of connections on which a request has begun to arrive or is not answered. */
uint32_t http_server_busy_count(const struct http_server *srv);
/** Returns the number of connections with response bytes that the socket has not accepted yet. */
uint32_t http_server_unsent_count(const struct http_server *srv);
/** Returns the number of connections with input that was not parsed yet, in the socket or read
 * from it. Closing such a connection resets it. */
uint32_t http_server_unread_count(const struct http_server *srv);

/** @name Parts of a request; strings are valid as long as the request.
 * @{ */
const char *http_req_method(const struct http_req *req);
/** Returns the percent-decoded path without the query, or the raw one if it cannot be decoded. */
const char *http_req_path(const struct http_req *req);
/** Returns the path with its query as the client sent it. */
const char *http_req_target(const struct http_req *req);
/** Returns the value of Host, "" if there is none. */
const char *http_req_host(const struct http_req *req);
/** Calls @p each for the headers that may be forwarded, names in lower case: all except Host,
 * Expect, Content-Length and hop-by-hop headers, which include those that Connection names and
 * those that start with "proxy-". */
void http_req_each_header(const struct http_req *req,
			  void (*each)(void *ctx, const char *name, const char *value), void *ctx);
/** Returns the raw query string, "" if there is none. */
const char *http_req_query(const struct http_req *req);
/** Returns the value of the first header with that name, or NULL.
 * @param name in lower case */
const char *http_req_header(struct http_req *req, const char *name);
/** Returns the body. @param[out] len its length in bytes */
const char *http_req_body(const struct http_req *req, size_t *len);
/** Returns the decoded value of a query parameter, to be freed with g_free(), or NULL. */
char *http_req_query_param(const struct http_req *req, const char *name);
/** @} */

/** Adds a header to the response; call before the response starts. */
void http_req_add_response_header(struct http_req *req, const char *name, const char *value);
/** Closes the connection after this response; call before the response starts. */
void http_req_close_after_response(struct http_req *req);
/** Answers with a whole body. @param type Content-Type, or NULL for none */
void http_req_reply(struct http_req *req, uint16_t status, const char *type, const char *body,
		    size_t len);
/** Starts a streamed response. @param type Content-Type, or NULL for none */
void http_req_stream_begin(struct http_req *req, uint16_t status, const char *type);
/** Queues bytes of a streamed response. The queue has no limit: see http_req_unsent_bytes(). */
void http_req_stream_write(struct http_req *req, const char *buf, size_t len);
/** Ends a streamed response after all queued bytes. */
void http_req_stream_end(struct http_req *req);
/** Ends a response so that the client sees that it is incomplete, and closes the connection: after
 * the queued bytes with chunked transfer coding, otherwise at once. No callback runs any more. */
void http_req_stream_abort(struct http_req *req);
/** Returns the response bytes that the socket has not accepted yet, for flow control. */
size_t http_req_unsent_bytes(const struct http_req *req);
/**
 * Sets callbacks of a request.
 * @param on_disconnect the client disconnected before the response was
 *        complete; the request is freed afterwards. May be NULL
 * @param on_drained all bytes queued so far were written. May be NULL
 */
void http_req_set_callbacks(struct http_req *req, void (*on_disconnect)(void *ctx),
			    void (*on_drained)(void *ctx), void *ctx);

#endif
