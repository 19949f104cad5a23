#include "flamingolatch/http_server.h"

#include "flamingolatch/buffer_budget.h"
#include "flamingolatch/err.h"
#include "flamingolatch/http_field.h"
#include "flamingolatch/http_lines.h"

#include <h2o.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HTTP_SERVER_LISTEN_BACKLOG_COUNT      1024
#define HTTP_SERVER_TIMEOUT_CHECK_INTERVAL_MS 250
/* Input is read and discarded this long after the last response: closing with unread input would
 * reset the connection, and the client could lose the response. */
#define HTTP_SERVER_LINGER_MS		      1000
#define HTTP_SERVER_DEFAULT_MAX_HEADER_BYTES  (64U << 10)
#define HTTP_SERVER_DEFAULT_HEADER_TIMEOUT_MS 15000
#define HTTP_SERVER_DEFAULT_IDLE_TIMEOUT_MS   60000
/* Begin of the version of a request. */
#define HTTP_SERVER_NAME "HTTP/"
/* Limit of unread pipelined requests behind the current one; a client over it is disconnected. */
#define HTTP_SERVER_MAX_PIPELINED_BYTES (256U << 10)

struct http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t timeout_timer;
	SSL_CTX *tls;
	http_server_handler handler;
	void *handler_ctx;
	GQueue conns; /* struct server_conn */
	struct http_server_limits limits;
	uint32_t max_body_bytes;
	uint32_t open_requests;
	uint32_t open_handles; /* libuv handles (listener, timer) not closed yet */
	uint16_t port;
	bool draining;
	bool keep_alive_disabled; /* connections close after their next response */
	bool destroyed;
};

/* A header of a request; name in lower case. */
struct http_header {
	char *name;
	char *value;
};

enum server_conn_state {
	SERVER_CONN_IDLE,	  /* between requests */
	SERVER_CONN_READING_HEAD, /* a part of the request head has arrived */
	SERVER_CONN_READING_BODY, /* the head is complete, the body is not */
	SERVER_CONN_HANDLING,  /* the request is with the handler, or refused and being answered */
	SERVER_CONN_LINGERING, /* closed for writing after the response; further input is dropped */
};

struct server_conn {
	struct http_server *srv;
	h2o_socket_t *sock;
	GList list_node;
	http_parser parser;
	struct http_req *req; /* being read or handled; NULL when idle */
	GString *pending;     /* output that is not given to the socket yet */
	GString *inflight;    /* output that the socket is writing */
	GString *name;	      /* header being read */
	GString *value;
	enum server_conn_state state;
	uint64_t last_progress_ms; /* when the state was entered or body bytes last arrived */
	uint32_t head_bytes;
	struct {
		char word[sizeof(HTTP_SERVER_NAME)]; /* begin of the last word so far */
		uint32_t word_len;		     /* of that word */
		bool begun;			     /* a byte other than a line end was read */
		bool read;			     /* up to its end */
	} request_line;
	struct http_lines lines; /* of what is not part of a body */
	const char *unchecked;	 /* begin of what is not given to lines yet, while parsing */
	uint16_t refusal_status; /* HTTP status to refuse the message with, or 0 */
	bool in_value;
	bool served; /* at least one request was answered */
	bool sending;
	bool closed;
	uint32_t callback_depth; /* callers on the stack that use the connection; freed only at 0 */
};

struct http_req {
	struct server_conn *conn; /* connection that the request came on */
	struct http_server *srv;
	char *method;
	char *path;
	char *query;
	char *host;
	GString *target;
	GArray *headers; /* struct http_header */
	GString *body;
	GString *response_headers; /* additional header lines of the response */
	void (*on_disconnect)(void *ctx);
	void (*on_drained)(void *ctx);
	void *ctx;
	uint16_t status;
	uint32_t host_count;   /* Host headers received; more than one is refused */
	uint32_t coding_count; /* Transfer-Encoding headers received */
	bool dispatched;       /* passed to the handler */
	bool keep_alive;
	bool http10;
	bool chunked;		/* the response has chunked transfer coding */
	bool ends_by_close;	/* the response has neither a length nor chunks */
	bool response_started;	/* the response head is queued */
	bool response_complete; /* the whole response is queued */
	bool head_only;		/* HEAD request: the response has no body */
	bool expect_continue;	/* the client waits for 100 Continue */
};

static void http_server_on_connection(uv_stream_t *listener, int status);
static void http_server_on_timeout_check(uv_timer_t *timer);
static void http_server_on_handle_closed(uv_handle_t *handle);
static SSL_CTX *http_server_create_tls(const struct http_server_conf *conf, GError **error);
static void http_server_free(struct http_server *srv);
static void server_conn_create(struct http_server *srv, h2o_socket_t *sock);
static void server_conn_close(struct server_conn *conn);
static void server_conn_on_read(h2o_socket_t *sock, const char *err);
static void server_conn_on_handshake(h2o_socket_t *sock, const char *err);
static void server_conn_parse(struct server_conn *conn);
static void server_conn_flush(struct server_conn *conn);
static void server_conn_set_state(struct server_conn *conn, enum server_conn_state state);
static void server_conn_refuse(struct server_conn *conn, uint16_t status);
static struct http_req *http_req_create(struct server_conn *conn);
static void http_req_free(struct http_req *req);
static void http_req_queue_response_head(struct http_req *req, uint16_t status, const char *type,
					 gssize length);
static void http_req_finish(struct http_req *req);

/* lifetime */

/* Binds and listens. @return 0 or a libuv error code */
static int http_server_bind(struct http_server *srv, const struct http_server_conf *conf)
{
	struct sockaddr_in addr;
	struct sockaddr_storage bound;
	int bound_len = sizeof(bound);
	int rc = uv_ip4_addr(conf->address, conf->port, &addr);

	if (rc == 0)
		rc = uv_tcp_bind(&srv->listener, (const struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&srv->listener, HTTP_SERVER_LISTEN_BACKLOG_COUNT,
			       http_server_on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(&srv->listener, (struct sockaddr *)&bound, &bound_len);
	if (rc == 0)
		srv->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return rc;
}

struct http_server *http_server_create(uv_loop_t *loop, const struct http_server_conf *conf,
				       http_server_handler handler, void *ctx, GError **error)
{
	struct http_server *srv = g_new0(struct http_server, 1);
	int rc;

	srv->loop = loop;
	srv->handler = handler;
	srv->handler_ctx = ctx;
	srv->open_handles = 2;
	g_queue_init(&srv->conns);
	http_server_set_limits(srv, &conf->limits, conf->max_body_bytes);
	uv_tcp_init(loop, &srv->listener);
	srv->listener.data = srv;
	uv_timer_init(loop, &srv->timeout_timer);
	srv->timeout_timer.data = srv;
	rc = http_server_bind(srv, conf);
	if (rc != 0) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "cannot listen on %s:%u: %s", conf->address,
			    conf->port, uv_strerror(rc));
		http_server_destroy(srv);
		return NULL;
	}
	if (conf->cert_file) {
		srv->tls = http_server_create_tls(conf, error);
		if (!srv->tls) {
			http_server_destroy(srv);
			return NULL;
		}
	}
	uv_timer_start(&srv->timeout_timer, http_server_on_timeout_check,
		       HTTP_SERVER_TIMEOUT_CHECK_INTERVAL_MS,
		       HTTP_SERVER_TIMEOUT_CHECK_INTERVAL_MS);
	uv_unref((uv_handle_t *)&srv->timeout_timer);
	return srv;
}

void http_server_destroy(struct http_server *srv)
{
	if (!srv)
		return;
	srv->destroyed = true;
	while (srv->conns.head)
		server_conn_close(srv->conns.head->data);
	http_server_drain(srv);
	uv_close((uv_handle_t *)&srv->timeout_timer, http_server_on_handle_closed);
}

/* commands */

void http_server_drain(struct http_server *srv)
{
	if (!srv->draining)
		uv_close((uv_handle_t *)&srv->listener, http_server_on_handle_closed);
	srv->draining = true;
	http_server_disable_keep_alive(srv);
}

void http_server_disable_keep_alive(struct http_server *srv)
{
	srv->keep_alive_disabled = true;
}

void http_server_close_idle(struct http_server *srv)
{
	GList *next;

	for (GList *item = srv->conns.head; item; item = next) {
		struct server_conn *conn = item->data;

		next = item->next;
		if (conn->state == SERVER_CONN_IDLE && conn->served && conn->sock->input->size == 0)
			server_conn_close(conn);
	}
}

void http_server_close_unused(struct http_server *srv)
{
	GList *next;

	for (GList *item = srv->conns.head; item; item = next) {
		struct server_conn *conn = item->data;

		next = item->next;
		if (conn->state == SERVER_CONN_IDLE && conn->sock->input->size == 0)
			server_conn_close(conn);
	}
}

void http_server_set_limits(struct http_server *srv, const struct http_server_limits *limits,
			    uint32_t max_body_bytes)
{
	srv->max_body_bytes = max_body_bytes;
	srv->limits.max_header_bytes = limits->max_header_bytes
					       ? limits->max_header_bytes
					       : HTTP_SERVER_DEFAULT_MAX_HEADER_BYTES;
	srv->limits.header_timeout_ms = limits->header_timeout_ms
						? limits->header_timeout_ms
						: HTTP_SERVER_DEFAULT_HEADER_TIMEOUT_MS;
	srv->limits.idle_timeout_ms = limits->idle_timeout_ms ? limits->idle_timeout_ms
							      : HTTP_SERVER_DEFAULT_IDLE_TIMEOUT_MS;
}

void http_req_add_response_header(struct http_req *req, const char *name, const char *value)
{
	g_string_append_printf(req->response_headers, "%s: %s\r\n", name, value);
}

void http_req_close_after_response(struct http_req *req)
{
	req->keep_alive = false;
}

void http_req_reply(struct http_req *req, uint16_t status, const char *type, const char *body,
		    size_t len)
{
	/* A second head would become a part of the first response. */
	if (req->response_started) {
		http_req_stream_abort(req);
		return;
	}
	http_req_queue_response_head(req, status, type, (gssize)len);
	if (!req->head_only)
		g_string_append_len(req->conn->pending, body, (gssize)len);
	http_req_finish(req);
}

void http_req_stream_begin(struct http_req *req, uint16_t status, const char *type)
{
	http_req_queue_response_head(req, status, type, -1);
	server_conn_flush(req->conn);
}

void http_req_stream_write(struct http_req *req, const char *buf, size_t len)
{
	struct server_conn *conn = req->conn;

	if (len == 0 || req->head_only)
		return;
	if (req->chunked)
		g_string_append_printf(conn->pending, "%zx\r\n", len);
	g_string_append_len(conn->pending, buf, (gssize)len);
	if (req->chunked)
		g_string_append(conn->pending, "\r\n");
	server_conn_flush(conn);
}

void http_req_stream_end(struct http_req *req)
{
	if (req->chunked && !req->head_only)
		g_string_append(req->conn->pending, "0\r\n\r\n");
	http_req_finish(req);
}

void http_req_stream_abort(struct http_req *req)
{
	req->on_disconnect = NULL;
	req->on_drained = NULL;
	if (!req->chunked) {
		server_conn_close(req->conn);
		return;
	}
	/* What is queued reaches the client; without the last chunk it is not complete. */
	req->keep_alive = false;
	http_req_finish(req);
}

void http_req_set_callbacks(struct http_req *req, void (*on_disconnect)(void *ctx),
			    void (*on_drained)(void *ctx), void *ctx)
{
	req->on_disconnect = on_disconnect;
	req->on_drained = on_drained;
	req->ctx = ctx;
}

/* queries */

uint16_t http_server_port(const struct http_server *srv)
{
	return srv->port;
}

uint32_t http_server_busy_count(const struct http_server *srv)
{
	uint32_t count = 0;

	for (const GList *item = srv->conns.head; item; item = item->next) {
		const struct server_conn *conn = item->data;

		count += conn->state != SERVER_CONN_IDLE && conn->state != SERVER_CONN_LINGERING;
	}
	return count;
}

uint32_t http_server_unsent_count(const struct http_server *srv)
{
	uint32_t count = 0;

	for (const GList *item = srv->conns.head; item; item = item->next) {
		const struct server_conn *conn = item->data;

		count += conn->sending || conn->pending->len > 0;
	}
	return count;
}

uint32_t http_server_unread_count(const struct http_server *srv)
{
	uint32_t count = 0;
	char byte;

	for (const GList *item = srv->conns.head; item; item = item->next) {
		const struct server_conn *conn = item->data;

		count += conn->sock->input->size > 0 ||
			 recv(h2o_socket_get_fd(conn->sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
	}
	return count;
}

uint32_t http_server_open_requests(const struct http_server *srv)
{
	return srv->open_requests;
}

const char *http_req_method(const struct http_req *req)
{
	return req->method;
}

const char *http_req_path(const struct http_req *req)
{
	return req->path;
}

const char *http_req_target(const struct http_req *req)
{
	return req->target->str;
}

const char *http_req_host(const struct http_req *req)
{
	return req->host ? req->host : "";
}

const char *http_req_query(const struct http_req *req)
{
	return req->query;
}

const char *http_req_header(struct http_req *req, const char *name)
{
	for (guint i = 0; i < req->headers->len; i++) {
		const struct http_header *header =
			&g_array_index(req->headers, struct http_header, i);

		if (strcmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

/* Returns whether a Connection header, of which there may be several, names a header. */
static bool http_req_lists_hop_by_hop(const struct http_req *req, const char *name)
{
	for (guint i = 0; i < req->headers->len; i++) {
		const struct http_header *header =
			&g_array_index(req->headers, struct http_header, i);

		if (strcmp(header->name, "connection") == 0 &&
		    http_field_list_contains(header->value, name))
			return true;
	}
	return false;
}

void http_req_each_header(const struct http_req *req,
			  void (*each)(void *ctx, const char *name, const char *value), void *ctx)
{
	static const char *const hop_by_hop[] = { "host",    "connection", "keep-alive",
						  "te",	     "trailer",	   "transfer-encoding",
						  "upgrade", "expect",	   "content-length",
						  NULL };

	for (guint i = 0; i < req->headers->len; i++) {
		const struct http_header *header =
			&g_array_index(req->headers, struct http_header, i);

		if (g_strv_contains(hop_by_hop, header->name) ||
		    g_str_has_prefix(header->name, "proxy-"))
			continue;
		if (!http_req_lists_hop_by_hop(req, header->name))
			each(ctx, header->name, header->value);
	}
}

const char *http_req_body(const struct http_req *req, size_t *len)
{
	*len = req->body->len;
	return req->body->str;
}

char *http_req_query_param(const struct http_req *req, const char *name)
{
	g_auto(GStrv) parts = g_strsplit(req->query, "&", 0);
	size_t len = strlen(name);

	for (uint32_t i = 0; parts[i]; i++) {
		if (strncmp(parts[i], name, len) == 0 && parts[i][len] == '=')
			return g_uri_unescape_string(parts[i] + len + 1, NULL);
	}
	return NULL;
}

size_t http_req_unsent_bytes(const struct http_req *req)
{
	return req->conn->pending->len + (req->conn->sending ? req->conn->inflight->len : 0);
}

/* helpers: the server */

static void http_server_free(struct http_server *srv)
{
	if (srv->tls)
		SSL_CTX_free(srv->tls);
	g_free(srv);
}

static void http_server_on_handle_closed(uv_handle_t *handle)
{
	struct http_server *srv = handle->data;

	srv->open_handles--;
	if (srv->destroyed && srv->open_handles == 0)
		http_server_free(srv);
}

static SSL_CTX *http_server_create_tls(const struct http_server_conf *conf, GError **error)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(tls, conf->cert_file) == 1 &&
	    SSL_CTX_use_PrivateKey_file(tls, conf->key_file, SSL_FILETYPE_PEM) == 1)
		return tls;
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "cannot load certificate %s or key %s",
		    conf->cert_file, conf->key_file);
	SSL_CTX_free(tls);
	return NULL;
}

static void http_server_on_connection(uv_stream_t *listener, int status)
{
	struct http_server *srv = listener->data;
	uv_tcp_t *tcp;

	if (status != 0)
		return;
	tcp = malloc(sizeof(*tcp));
	uv_tcp_init(listener->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp) != 0) {
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	server_conn_create(srv, h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free));
}

/* Closes idle, stalled and lingering connections that exceeded their time limit, and answers
 * heads that exceeded theirs with 408. */
static void http_server_on_timeout_check(uv_timer_t *timer)
{
	struct http_server *srv = timer->data;
	uint64_t now_ms = uv_now(srv->loop);
	GList *next;

	for (GList *item = srv->conns.head; item; item = next) {
		struct server_conn *conn = item->data;
		uint64_t elapsed_ms = now_ms - conn->last_progress_ms;

		next = item->next;
		if ((conn->state == SERVER_CONN_IDLE && elapsed_ms > srv->limits.idle_timeout_ms) ||
		    (conn->state == SERVER_CONN_READING_BODY &&
		     elapsed_ms > srv->limits.idle_timeout_ms) ||
		    (conn->state == SERVER_CONN_LINGERING && elapsed_ms > HTTP_SERVER_LINGER_MS))
			server_conn_close(conn);
		else if (conn->state == SERVER_CONN_READING_HEAD &&
			 elapsed_ms > srv->limits.header_timeout_ms)
			server_conn_refuse(conn, 408);
	}
}

/* helpers: parsing */

static int server_conn_on_message_begin(http_parser *parser)
{
	struct server_conn *conn = parser->data;

	conn->req = http_req_create(conn);
	conn->head_bytes = 0;
	conn->refusal_status = 0;
	conn->in_value = false;
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	server_conn_set_state(conn, SERVER_CONN_READING_HEAD);
	return 0;
}

/* Adds to the size of the head. @return 0, or -1 if it exceeds the limit */
static int server_conn_count_head_bytes(struct server_conn *conn, size_t len)
{
	conn->head_bytes += (uint32_t)len;
	if (conn->head_bytes <= conn->srv->limits.max_header_bytes)
		return 0;
	conn->refusal_status = 431;
	return -1;
}

static int server_conn_on_url(http_parser *parser, const char *at, size_t len)
{
	struct server_conn *conn = parser->data;

	g_string_append_len(conn->req->target, at, (gssize)len);
	return server_conn_count_head_bytes(conn, len);
}

/* Adds the header that was read last to the request. A trailer field is checked and dropped: what
 * the request is was decided by its head. */
static void server_conn_store_header(struct server_conn *conn)
{
	struct http_header header;

	if (conn->name->len == 0)
		return;
	if (strpbrk(conn->name->str, " \t") ||
	    !http_field_value_is_valid(conn->value->str, conn->value->len))
		conn->refusal_status = 400;
	if (conn->state == SERVER_CONN_READING_BODY) {
		g_string_truncate(conn->name, 0);
		g_string_truncate(conn->value, 0);
		return;
	}
	header.name = g_ascii_strdown(conn->name->str, (gssize)conn->name->len);
	header.value = g_strndup(conn->value->str, conn->value->len);
	g_strchomp(header.value);
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	if (strcmp(header.name, "host") == 0) {
		conn->req->host_count++;
		g_free(conn->req->host);
		conn->req->host = g_strdup(header.value);
	}
	/* http_parser also accepts other codings before chunked, whose body would be passed on
	 * without its coding. */
	if (strcmp(header.name, "transfer-encoding") == 0 &&
	    (conn->req->coding_count++ > 0 || g_ascii_strcasecmp(header.value, "chunked") != 0))
		conn->refusal_status = 400;
	if (strcmp(header.name, "expect") == 0)
		conn->req->expect_continue = g_ascii_strcasecmp(header.value, "100-continue") == 0;
	g_array_append_val(conn->req->headers, header);
}

static int server_conn_on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct server_conn *conn = parser->data;

	if (conn->in_value)
		server_conn_store_header(conn);
	conn->in_value = false;
	g_string_append_len(conn->name, at, (gssize)len);
	return server_conn_count_head_bytes(conn, len);
}

static int server_conn_on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct server_conn *conn = parser->data;

	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	return server_conn_count_head_bytes(conn, len);
}

static int server_conn_on_headers_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;
	struct http_req *req = conn->req;

	server_conn_store_header(conn);
	req->http10 = parser->http_major == 1 && parser->http_minor == 0;
	req->keep_alive = http_should_keep_alive(parser) && !req->http10;
	req->method = g_strdup(http_method_str((enum http_method)parser->method));
	req->head_only = parser->method == HTTP_HEAD;
	/* http_parser accepts any version, and none; HTTP/1.0 has no codings. */
	if (parser->http_major != 1 || (req->http10 && req->coding_count > 0) || parser->upgrade ||
	    req->host_count > 1 || (req->host_count == 0 && !req->http10))
		conn->refusal_status = 400;
	if (!conn->refusal_status && parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->srv->max_body_bytes)
		conn->refusal_status = 413;
	if (conn->refusal_status)
		return -1;
	conn->lines.chunked = parser->flags & F_CHUNKED;
	server_conn_set_state(conn, SERVER_CONN_READING_BODY);
	if (req->expect_continue && !req->http10)
		g_string_append(conn->pending, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int server_conn_on_body(http_parser *parser, const char *at, size_t len)
{
	struct server_conn *conn = parser->data;

	if (!http_lines_feed(&conn->lines, conn->unchecked, (size_t)(at - conn->unchecked)))
		return -1;
	conn->unchecked = at + len;
	if (conn->req->body->len + len > conn->srv->max_body_bytes) {
		conn->refusal_status = 413;
		return -1;
	}
	conn->last_progress_ms = uv_now(conn->srv->loop);
	g_string_append_len(conn->req->body, at, (gssize)len);
	return 0;
}

static int server_conn_on_message_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;
	struct http_req *req = conn->req;
	char *query_mark = strchr(req->target->str, '?');
	g_autofree char *raw_path =
		query_mark ? g_strndup(req->target->str, (gsize)(query_mark - req->target->str))
			   : g_strdup(req->target->str);

	server_conn_store_header(conn);
	if (conn->refusal_status)
		return -1;
	req->query = g_strdup(query_mark ? query_mark + 1 : "");
	req->path = g_uri_unescape_string(raw_path, NULL);
	if (!req->path)
		req->path = g_strdup(raw_path);
	server_conn_set_state(conn, SERVER_CONN_HANDLING);
	memset(&conn->request_line, 0, sizeof(conn->request_line));
	/* A pipelined request is parsed only after the response to this one. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings server_conn_parser_settings = {
	.on_message_begin = server_conn_on_message_begin,
	.on_url = server_conn_on_url,
	.on_header_field = server_conn_on_header_field,
	.on_header_value = server_conn_on_header_value,
	.on_headers_complete = server_conn_on_headers_complete,
	.on_body = server_conn_on_body,
	.on_message_complete = server_conn_on_message_complete,
};

/* helpers: connections */

static void server_conn_create(struct http_server *srv, h2o_socket_t *sock)
{
	struct server_conn *conn = g_new0(struct server_conn, 1);

	conn->srv = srv;
	conn->sock = sock;
	conn->list_node.data = conn;
	conn->pending = g_string_new(NULL);
	conn->inflight = g_string_new(NULL);
	conn->name = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	sock->data = conn;
	g_queue_push_tail_link(&srv->conns, &conn->list_node);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	server_conn_set_state(conn, SERVER_CONN_IDLE);
	if (srv->tls)
		h2o_socket_ssl_handshake(sock, srv->tls, NULL, server_conn_on_handshake);
	else
		h2o_socket_read_start(sock, server_conn_on_read);
}

static void server_conn_free(struct server_conn *conn)
{
	g_string_free(conn->pending, TRUE);
	g_string_free(conn->inflight, TRUE);
	g_string_free(conn->name, TRUE);
	g_string_free(conn->value, TRUE);
	g_free(conn);
}

/* Has the connection reset when it is closed. */
static void server_conn_reset_on_close(struct server_conn *conn)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(h2o_socket_get_fd(conn->sock), SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/* Closes a connection and calls on_disconnect of a request whose response is not complete. */
static void server_conn_close(struct server_conn *conn)
{
	struct http_req *req = conn->req;

	if (conn->closed)
		return;
	conn->closed = true;
	conn->req = NULL;
	/* A proper close would mark the end of such a response. */
	if (req && req->ends_by_close)
		server_conn_reset_on_close(conn);
	g_queue_unlink(&conn->srv->conns, &conn->list_node);
	h2o_socket_close(conn->sock);
	conn->sock = NULL;
	if (req) {
		if (req->dispatched && req->on_disconnect)
			req->on_disconnect(req->ctx);
		http_req_free(req);
	}
	if (conn->callback_depth == 0)
		server_conn_free(conn);
}

/* Keeps the connection from being freed until the matching server_conn_leave(). */
static void server_conn_enter(struct server_conn *conn)
{
	conn->callback_depth++;
}

static void server_conn_leave(struct server_conn *conn)
{
	conn->callback_depth--;
	if (conn->closed && conn->callback_depth == 0)
		server_conn_free(conn);
}

static void server_conn_set_state(struct server_conn *conn, enum server_conn_state state)
{
	conn->state = state;
	conn->last_progress_ms = uv_now(conn->srv->loop);
}

static void server_conn_on_handshake(h2o_socket_t *sock, const char *err)
{
	struct server_conn *conn = sock->data;

	if (err) {
		server_conn_close(conn);
		return;
	}
	h2o_socket_read_start(sock, server_conn_on_read);
	if (sock->input->size > 0)
		server_conn_parse(conn);
}

static void server_conn_on_read(h2o_socket_t *sock, const char *err)
{
	struct server_conn *conn = sock->data;

	if (err) {
		server_conn_close(conn);
		return;
	}
	if (conn->state == SERVER_CONN_LINGERING) {
		h2o_buffer_consume(&sock->input, sock->input->size);
		return;
	}
	if (conn->state == SERVER_CONN_HANDLING) {
		if (sock->input->size > HTTP_SERVER_MAX_PIPELINED_BYTES)
			server_conn_close(conn);
		return;
	}
	server_conn_parse(conn);
}

/* Answers a message without passing it to the handler, then closes the connection. */
static void server_conn_refuse(struct server_conn *conn, uint16_t status)
{
	if (!conn->req)
		conn->req = http_req_create(conn);
	conn->req->keep_alive = false;
	server_conn_set_state(conn, SERVER_CONN_HANDLING);
	http_req_reply(conn->req, status, "text/plain", "", 0);
}

/* Returns the HTTP status for a message that failed to parse. */
static uint16_t server_conn_refusal_status(const struct server_conn *conn)
{
	if (conn->refusal_status)
		return conn->refusal_status;
	return HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW ? 431 : 400;
}

/* Reads the request line up to its end: http_parser checks only the first letter of the name of the
 * protocol. @return false when that is another one */
static bool server_conn_check_request_line(struct server_conn *conn, const char *buf, size_t len)
{
	for (size_t i = 0; i < len && !conn->request_line.read; i++) {
		if (buf[i] == '\r' || (buf[i] == '\n' && !conn->request_line.begun))
			continue;
		conn->request_line.begun = true;
		conn->request_line.read = buf[i] == '\n';
		if (buf[i] == ' ')
			conn->request_line.word_len = 0;
		else if (buf[i] != '\n' && conn->request_line.word_len < strlen(HTTP_SERVER_NAME))
			conn->request_line.word[conn->request_line.word_len++] = buf[i];
	}
	return !conn->request_line.read ||
	       (conn->request_line.word_len == strlen(HTTP_SERVER_NAME) &&
		strcmp(conn->request_line.word, HTTP_SERVER_NAME) == 0);
}

/* Parses the input up to the end of one request at most, and hands a complete request to the
 * handler. */
static void server_conn_parse_one(struct server_conn *conn)
{
	h2o_socket_t *sock = conn->sock;
	size_t size = sock->input->size;
	size_t used;
	bool valid;

	if (!server_conn_check_request_line(conn, sock->input->bytes, size)) {
		h2o_buffer_consume(&sock->input, size);
		server_conn_refuse(conn, 400);
		return;
	}
	conn->unchecked = sock->input->bytes;
	used = http_parser_execute(&conn->parser, &server_conn_parser_settings, sock->input->bytes,
				   size);
	valid = http_lines_feed(&conn->lines, conn->unchecked,
				(size_t)(sock->input->bytes + used - conn->unchecked));
	if (valid && conn->state == SERVER_CONN_HANDLING) {
		struct http_req *req = conn->req;

		http_parser_pause(&conn->parser, 0);
		h2o_buffer_consume(&sock->input, used);
		req->dispatched = true;
		conn->srv->open_requests++;
		conn->srv->handler(conn->srv->handler_ctx, req);
	} else if (!valid || conn->refusal_status || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		h2o_buffer_consume(&sock->input, size);
		server_conn_refuse(conn, server_conn_refusal_status(conn));
	} else {
		h2o_buffer_consume(&sock->input, used);
		if (conn->pending->len > 0)
			server_conn_flush(conn);
	}
}

static void server_conn_parse(struct server_conn *conn)
{
	server_conn_enter(conn);
	while (!conn->closed && conn->state < SERVER_CONN_HANDLING && conn->sock->input->size > 0)
		server_conn_parse_one(conn);
	server_conn_leave(conn);
}

static void server_conn_on_written(h2o_socket_t *sock, const char *err)
{
	struct server_conn *conn = sock->data;
	struct http_req *req = conn->req;

	conn->sending = false;
	conn->inflight = buffer_clear(conn->inflight);
	if (err) {
		server_conn_close(conn);
		return;
	}
	server_conn_enter(conn);
	server_conn_flush(conn);
	if (req && conn->req == req && !conn->sending && !req->response_complete && req->on_drained)
		req->on_drained(req->ctx);
	server_conn_leave(conn);
}

/* Frees the answered request, then waits for the next one or closes the connection. */
static void server_conn_finish_request(struct server_conn *conn)
{
	bool keep_alive = conn->req->keep_alive;

	http_req_free(conn->req);
	conn->req = NULL;
	if (!keep_alive) {
		/* Closing with unread input would send a reset, which could lose the response. */
		server_conn_set_state(conn, SERVER_CONN_LINGERING);
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_WR);
		return;
	}
	conn->served = true;
	server_conn_set_state(conn, SERVER_CONN_IDLE);
	if (conn->sock->input->size > 0 && conn->callback_depth <= 1)
		server_conn_parse(conn);
}

/* Writes the pending output unless a write is in progress; with no output left, finishes a
 * request whose response is complete. */
static void server_conn_flush(struct server_conn *conn)
{
	GString *swap = conn->inflight;
	h2o_iovec_t buf;

	if (conn->sending || conn->closed)
		return;
	if (conn->pending->len == 0) {
		if (conn->req && conn->req->response_complete)
			server_conn_finish_request(conn);
		return;
	}
	conn->inflight = conn->pending;
	conn->pending = swap;
	g_string_truncate(conn->pending, 0);
	buf = h2o_iovec_init(conn->inflight->str, conn->inflight->len);
	conn->sending = true;
	h2o_socket_write(conn->sock, &buf, 1, server_conn_on_written);
}

/* helpers: requests */

static void http_header_clear(gpointer data)
{
	struct http_header *header = data;

	g_free(header->name);
	g_free(header->value);
}

static struct http_req *http_req_create(struct server_conn *conn)
{
	struct http_req *req = g_new0(struct http_req, 1);

	req->conn = conn;
	req->srv = conn->srv;
	req->target = g_string_new(NULL);
	req->headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	g_array_set_clear_func(req->headers, http_header_clear);
	req->body = g_string_new(NULL);
	req->response_headers = g_string_new(NULL);
	return req;
}

static void http_req_free(struct http_req *req)
{
	if (req->dispatched)
		req->srv->open_requests--;
	g_string_free(req->target, TRUE);
	g_string_free(req->body, TRUE);
	g_string_free(req->response_headers, TRUE);
	g_array_free(req->headers, TRUE);
	g_free(req->method);
	g_free(req->path);
	g_free(req->query);
	g_free(req->host);
	g_free(req);
}

/* Queues the status line and headers of the response.
 * @param length of the body in bytes, or -1 for a streamed response */
static void http_req_queue_response_head(struct http_req *req, uint16_t status, const char *type,
					 gssize length)
{
	GString *out = req->conn->pending;
	bool no_body = status == 204 || status == 304 || (status >= 100 && status < 200);

	req->response_started = true;
	if (req->srv->keep_alive_disabled)
		req->keep_alive = false;
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_status_str((enum http_status)status));
	if (type)
		g_string_append_printf(out, "Content-Type: %s\r\n", type);
	g_string_append_len(out, req->response_headers->str, (gssize)req->response_headers->len);
	if (length >= 0 && !no_body) {
		g_string_append_printf(out, "Content-Length: %zd\r\n", length);
	} else if (length < 0 && req->http10) {
		req->ends_by_close = true;
		req->keep_alive = false;
	} else if (length < 0) {
		req->chunked = true;
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	}
	if (!req->keep_alive)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

/* Marks the response as complete. The request is freed once the response is written. */
static void http_req_finish(struct http_req *req)
{
	req->response_complete = true;
	req->on_disconnect = NULL;
	req->on_drained = NULL;
	server_conn_flush(req->conn);
}
