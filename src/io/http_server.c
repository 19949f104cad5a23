#include "flamingolatch/http_server.h"
#include "flamingolatch/err.h"

#include <h2o.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#define HSRV_BACKLOG_CONNECTIONS  1024
#define HSRV_SWEEP_MS		  250
#define HSRV_LINGER_MS		  1000 /* reading on after an early answer, so that it is not reset */
#define HSRV_DEFAULT_HEADER_BYTES (64U << 10)
#define HSRV_DEFAULT_HEADER_MS	  15000
#define HSRV_DEFAULT_IDLE_MS	  60000
#define HSRV_PIPELINE_BYTES	  (256U << 10) /* unread requests behind the present one */

struct hsrv {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	SSL_CTX *tls;
	hsrv_handler handler;
	void *handler_ctx;
	GQueue conns; /* struct hconn */
	struct hsrv_limits limits;
	uint32_t max_body_bytes;
	uint32_t open;
	uint32_t handles; /* listener and timer that are not closed yet */
	uint16_t port;
	bool draining;
	bool closing; /* connections end after their next answer */
	bool destroyed;
};

/* One name and value; both end with a zero byte. */
struct hheader {
	char *name;
	char *value;
};

enum hconn_state {
	HCONN_IDLE,    /* waits for a request */
	HCONN_HEAD,    /* a head has begun */
	HCONN_BODY,    /* a body is being read */
	HCONN_HANDLED, /* the handler has the request */
	HCONN_LINGER,  /* answered and closed for writing; what still comes is dropped */
};

struct hconn {
	struct hsrv *srv;
	h2o_socket_t *sock;
	GList link;
	http_parser parser;
	struct hreq *req; /* being read or handled */
	GString *pending;
	GString *inflight;
	GString *name; /* header that is being read */
	GString *value;
	enum hconn_state state;
	uint64_t since_ms; /* when the state was entered */
	uint32_t head_bytes;
	uint16_t refusal; /* status with which the message is refused */
	bool in_value;
	bool served; /* answered a request */
	bool sending;
	bool closed;
	uint32_t depth; /* callbacks on the stack that still use the connection */
};

struct hreq {
	struct hconn *conn; /* NULL after the connection went */
	struct hsrv *srv;
	char *method;
	char *path;
	char *query;
	char *host;
	GString *target;
	GArray *headers; /* struct hheader */
	GString *body;
	GString *extra; /* header lines of the answer */
	void (*gone)(void *ctx);
	void (*drained)(void *ctx);
	void *ctx;
	uint16_t status;
	uint32_t hosts; /* Host headers seen */
	bool handled;	/* passed to the handler */
	bool persistent;
	bool http10;
	bool chunked; /* the answer is sent in chunks */
	bool started; /* the answer's head was queued */
	bool ending;  /* the answer is whole */
	bool head_only;
	bool expects; /* waits for 100 Continue */
};

static void hsrv_on_connection(uv_stream_t *listener, int status);
static void hsrv_on_sweep(uv_timer_t *timer);
static void hsrv_on_handle_closed(uv_handle_t *handle);
static SSL_CTX *hsrv_tls(const struct hsrv_conf *conf, GError **error);
static void hsrv_free(struct hsrv *srv);
static void hconn_create(struct hsrv *srv, h2o_socket_t *sock);
static void hconn_close(struct hconn *conn);
static void hconn_on_read(h2o_socket_t *sock, const char *err);
static void hconn_on_handshake(h2o_socket_t *sock, const char *err);
static void hconn_parse(struct hconn *conn);
static void hconn_pump(struct hconn *conn);
static void hconn_set_state(struct hconn *conn, enum hconn_state state);
static void hconn_refuse(struct hconn *conn, uint16_t status);
static struct hreq *hreq_create(struct hconn *conn);
static void hreq_free(struct hreq *req);
static void hreq_head(struct hreq *req, uint16_t status, const char *type, gssize length);
static void hreq_finish(struct hreq *req);

/* lifetime */

/* Binds and listens. @return 0, or an error of libuv */
static int hsrv_bind(struct hsrv *srv, const struct hsrv_conf *conf)
{
	struct sockaddr_in addr;
	struct sockaddr_storage bound;
	int bound_len = sizeof(bound);
	int rc = uv_ip4_addr(conf->address, conf->port, &addr);

	if (rc == 0)
		rc = uv_tcp_bind(&srv->listener, (const struct sockaddr *)&addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&srv->listener, HSRV_BACKLOG_CONNECTIONS,
			       hsrv_on_connection);
	if (rc == 0)
		rc = uv_tcp_getsockname(&srv->listener, (struct sockaddr *)&bound, &bound_len);
	if (rc == 0)
		srv->port = ntohs(((struct sockaddr_in *)&bound)->sin_port);
	return rc;
}

struct hsrv *hsrv_create(uv_loop_t *loop, const struct hsrv_conf *conf, hsrv_handler handler,
			 void *ctx, GError **error)
{
	struct hsrv *srv = g_new0(struct hsrv, 1);
	int rc;

	srv->loop = loop;
	srv->handler = handler;
	srv->handler_ctx = ctx;
	srv->handles = 2;
	g_queue_init(&srv->conns);
	hsrv_set_limits(srv, &conf->limits, conf->max_body_bytes);
	uv_tcp_init(loop, &srv->listener);
	srv->listener.data = srv;
	uv_timer_init(loop, &srv->sweep);
	srv->sweep.data = srv;
	rc = hsrv_bind(srv, conf);
	if (rc != 0) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "cannot listen on %s:%u: %s", conf->address,
			    conf->port, uv_strerror(rc));
		hsrv_destroy(srv);
		return NULL;
	}
	if (conf->cert_file) {
		srv->tls = hsrv_tls(conf, error);
		if (!srv->tls) {
			hsrv_destroy(srv);
			return NULL;
		}
	}
	uv_timer_start(&srv->sweep, hsrv_on_sweep, HSRV_SWEEP_MS, HSRV_SWEEP_MS);
	uv_unref((uv_handle_t *)&srv->sweep);
	return srv;
}

void hsrv_destroy(struct hsrv *srv)
{
	if (!srv)
		return;
	srv->destroyed = true;
	while (srv->conns.head)
		hconn_close(srv->conns.head->data);
	hsrv_drain(srv);
	uv_close((uv_handle_t *)&srv->sweep, hsrv_on_handle_closed);
}

/* commands */

void hsrv_drain(struct hsrv *srv)
{
	if (!srv->draining)
		uv_close((uv_handle_t *)&srv->listener, hsrv_on_handle_closed);
	srv->draining = true;
	hsrv_set_closing(srv);
}

void hsrv_set_closing(struct hsrv *srv)
{
	srv->closing = true;
}

void hsrv_close_idle(struct hsrv *srv)
{
	GList *next;

	for (GList *item = srv->conns.head; item; item = next) {
		struct hconn *conn = item->data;

		next = item->next;
		if (conn->state == HCONN_IDLE && conn->served && conn->sock->input->size == 0)
			hconn_close(conn);
	}
}

void hsrv_set_limits(struct hsrv *srv, const struct hsrv_limits *limits, uint32_t max_body_bytes)
{
	srv->max_body_bytes = max_body_bytes;
	srv->limits.max_header_bytes =
		limits->max_header_bytes ? limits->max_header_bytes : HSRV_DEFAULT_HEADER_BYTES;
	srv->limits.header_timeout_ms =
		limits->header_timeout_ms ? limits->header_timeout_ms : HSRV_DEFAULT_HEADER_MS;
	srv->limits.idle_timeout_ms =
		limits->idle_timeout_ms ? limits->idle_timeout_ms : HSRV_DEFAULT_IDLE_MS;
}

void hreq_add_header(struct hreq *req, const char *name, const char *value)
{
	g_string_append_printf(req->extra, "%s: %s\r\n", name, value);
}

void hreq_close_after(struct hreq *req)
{
	req->persistent = false;
}

void hreq_reply(struct hreq *req, uint16_t status, const char *type, const char *body, size_t len)
{
	hreq_head(req, status, type, (gssize)len);
	if (!req->head_only)
		g_string_append_len(req->conn->pending, body, (gssize)len);
	hreq_finish(req);
}

void hreq_stream_begin(struct hreq *req, uint16_t status, const char *type)
{
	hreq_head(req, status, type, -1);
	hconn_pump(req->conn);
}

void hreq_stream_write(struct hreq *req, const char *buf, size_t len)
{
	struct hconn *conn = req->conn;

	if (len == 0 || req->head_only)
		return;
	if (req->chunked)
		g_string_append_printf(conn->pending, "%zx\r\n", len);
	g_string_append_len(conn->pending, buf, (gssize)len);
	if (req->chunked)
		g_string_append(conn->pending, "\r\n");
	hconn_pump(conn);
}

void hreq_stream_end(struct hreq *req)
{
	if (req->chunked && !req->head_only)
		g_string_append(req->conn->pending, "0\r\n\r\n");
	hreq_finish(req);
}

void hreq_stream_abort(struct hreq *req)
{
	req->gone = NULL;
	req->drained = NULL;
	hconn_close(req->conn);
}

void hreq_set_callbacks(struct hreq *req, void (*gone)(void *ctx), void (*drained)(void *ctx),
			void *ctx)
{
	req->gone = gone;
	req->drained = drained;
	req->ctx = ctx;
}

/* queries */

uint16_t hsrv_port(const struct hsrv *srv)
{
	return srv->port;
}

uint32_t hsrv_open_requests(const struct hsrv *srv)
{
	return srv->open;
}

const char *hreq_method(const struct hreq *req)
{
	return req->method;
}

const char *hreq_path(const struct hreq *req)
{
	return req->path;
}

const char *hreq_target(const struct hreq *req)
{
	return req->target->str;
}

const char *hreq_host(const struct hreq *req)
{
	return req->host ? req->host : "";
}

const char *hreq_query(const struct hreq *req)
{
	return req->query;
}

const char *hreq_header(struct hreq *req, const char *name)
{
	for (guint i = 0; i < req->headers->len; i++) {
		const struct hheader *header = &g_array_index(req->headers, struct hheader, i);

		if (strcmp(header->name, name) == 0)
			return header->value;
	}
	return NULL;
}

/* Tells whether a header is one of the comma-separated names in a list. */
static bool hreq_listed(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (list && *list) {
		size_t span = strcspn(list, ",");
		size_t skip = strspn(list, " \t");

		if (span >= skip + len && g_ascii_strncasecmp(list + skip, name, len) == 0 &&
		    strspn(list + skip + len, " \t") == span - skip - len)
			return true;
		list += span + (list[span] == ',');
	}
	return false;
}

void hreq_each_header(const struct hreq *req,
		      void (*each)(void *ctx, const char *name, const char *value), void *ctx)
{
	static const char *const own[] = { "host",    "connection", "keep-alive",
					   "te",      "trailer",    "transfer-encoding",
					   "upgrade", "expect",	    "content-length",
					   NULL };
	const char *listed = hreq_header((struct hreq *)req, "connection");

	for (guint i = 0; i < req->headers->len; i++) {
		const struct hheader *header = &g_array_index(req->headers, struct hheader, i);

		if (g_strv_contains(own, header->name) || g_str_has_prefix(header->name, "proxy-"))
			continue;
		if (!hreq_listed(listed, header->name))
			each(ctx, header->name, header->value);
	}
}

const char *hreq_body(const struct hreq *req, size_t *len)
{
	*len = req->body->len;
	return req->body->str;
}

char *hreq_query_param(const struct hreq *req, const char *name)
{
	g_auto(GStrv) parts = g_strsplit(req->query, "&", 0);
	size_t len = strlen(name);

	for (uint32_t i = 0; parts[i]; i++) {
		if (strncmp(parts[i], name, len) == 0 && parts[i][len] == '=')
			return g_uri_unescape_string(parts[i] + len + 1, NULL);
	}
	return NULL;
}

size_t hreq_backlog_bytes(const struct hreq *req)
{
	return req->conn->pending->len + (req->conn->sending ? req->conn->inflight->len : 0);
}

/* helpers: the server */

static void hsrv_free(struct hsrv *srv)
{
	if (srv->tls)
		SSL_CTX_free(srv->tls);
	g_free(srv);
}

static void hsrv_on_handle_closed(uv_handle_t *handle)
{
	struct hsrv *srv = handle->data;

	srv->handles--;
	if (srv->destroyed && srv->handles == 0)
		hsrv_free(srv);
}

static SSL_CTX *hsrv_tls(const struct hsrv_conf *conf, GError **error)
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

static void hsrv_on_connection(uv_stream_t *listener, int status)
{
	struct hsrv *srv = listener->data;
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
	hconn_create(srv, h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free));
}

/* Closes connections that are over one of the time limits. */
static void hsrv_on_sweep(uv_timer_t *timer)
{
	struct hsrv *srv = timer->data;
	uint64_t now_ms = uv_now(srv->loop);
	GList *next;

	for (GList *item = srv->conns.head; item; item = next) {
		struct hconn *conn = item->data;
		uint64_t spent_ms = now_ms - conn->since_ms;

		next = item->next;
		if ((conn->state == HCONN_IDLE && spent_ms > srv->limits.idle_timeout_ms) ||
		    (conn->state == HCONN_BODY && spent_ms > srv->limits.idle_timeout_ms) ||
		    (conn->state == HCONN_LINGER && spent_ms > HSRV_LINGER_MS))
			hconn_close(conn);
		else if (conn->state == HCONN_HEAD && spent_ms > srv->limits.header_timeout_ms)
			hconn_refuse(conn, 408);
	}
}

/* helpers: parsing */

static int hconn_on_begin(http_parser *parser)
{
	struct hconn *conn = parser->data;

	conn->req = hreq_create(conn);
	conn->head_bytes = 0;
	conn->refusal = 0;
	conn->in_value = false;
	hconn_set_state(conn, HCONN_HEAD);
	return 0;
}

/* Counts bytes of a head. @return 0, or -1 when it is too large */
static int hconn_count(struct hconn *conn, size_t len)
{
	conn->head_bytes += (uint32_t)len;
	if (conn->head_bytes <= conn->srv->limits.max_header_bytes)
		return 0;
	conn->refusal = 431;
	return -1;
}

static int hconn_on_url(http_parser *parser, const char *at, size_t len)
{
	struct hconn *conn = parser->data;

	g_string_append_len(conn->req->target, at, (gssize)len);
	return hconn_count(conn, len);
}

/* Keeps the header that was read last. */
static void hconn_take_header(struct hconn *conn)
{
	struct hheader header;

	if (conn->name->len == 0)
		return;
	header.name = g_ascii_strdown(conn->name->str, (gssize)conn->name->len);
	header.value = g_strndup(conn->value->str, conn->value->len);
	g_strchomp(header.value);
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	if (strpbrk(header.name, " \t"))
		conn->refusal = 400;
	if (strcmp(header.name, "host") == 0) {
		conn->req->hosts++;
		g_free(conn->req->host);
		conn->req->host = g_strdup(header.value);
	}
	if (strcmp(header.name, "expect") == 0)
		conn->req->expects = g_ascii_strcasecmp(header.value, "100-continue") == 0;
	g_array_append_val(conn->req->headers, header);
}

static int hconn_on_field(http_parser *parser, const char *at, size_t len)
{
	struct hconn *conn = parser->data;

	if (conn->in_value)
		hconn_take_header(conn);
	conn->in_value = false;
	g_string_append_len(conn->name, at, (gssize)len);
	return hconn_count(conn, len);
}

static int hconn_on_value(http_parser *parser, const char *at, size_t len)
{
	struct hconn *conn = parser->data;

	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	return hconn_count(conn, len);
}

static int hconn_on_head(http_parser *parser)
{
	struct hconn *conn = parser->data;
	struct hreq *req = conn->req;

	hconn_take_header(conn);
	req->http10 = parser->http_major == 1 && parser->http_minor == 0;
	req->persistent = http_should_keep_alive(parser) && !req->http10;
	req->method = g_strdup(http_method_str((enum http_method)parser->method));
	req->head_only = parser->method == HTTP_HEAD;
	if (parser->upgrade || req->hosts > 1 || (req->hosts == 0 && !req->http10))
		conn->refusal = 400;
	if (!conn->refusal && parser->content_length != UINT64_MAX &&
	    parser->content_length > conn->srv->max_body_bytes)
		conn->refusal = 413;
	if (conn->refusal)
		return -1;
	hconn_set_state(conn, HCONN_BODY);
	if (req->expects && !req->http10)
		g_string_append(conn->pending, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int hconn_on_body(http_parser *parser, const char *at, size_t len)
{
	struct hconn *conn = parser->data;

	if (conn->req->body->len + len > conn->srv->max_body_bytes) {
		conn->refusal = 413;
		return -1;
	}
	conn->since_ms = uv_now(conn->srv->loop);
	g_string_append_len(conn->req->body, at, (gssize)len);
	return 0;
}

static int hconn_on_complete(http_parser *parser)
{
	struct hconn *conn = parser->data;
	struct hreq *req = conn->req;
	char *mark = strchr(req->target->str, '?');
	g_autofree char *raw = mark ? g_strndup(req->target->str, (gsize)(mark - req->target->str))
				    : g_strdup(req->target->str);

	req->query = g_strdup(mark ? mark + 1 : "");
	req->path = g_uri_unescape_string(raw, NULL);
	if (!req->path)
		req->path = g_strdup(raw);
	hconn_set_state(conn, HCONN_HANDLED);
	/* The next request is parsed after this one's answer. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings hconn_parser_settings = {
	.on_message_begin = hconn_on_begin,
	.on_url = hconn_on_url,
	.on_header_field = hconn_on_field,
	.on_header_value = hconn_on_value,
	.on_headers_complete = hconn_on_head,
	.on_body = hconn_on_body,
	.on_message_complete = hconn_on_complete,
};

/* helpers: connections */

static void hconn_create(struct hsrv *srv, h2o_socket_t *sock)
{
	struct hconn *conn = g_new0(struct hconn, 1);

	conn->srv = srv;
	conn->sock = sock;
	conn->link.data = conn;
	conn->pending = g_string_new(NULL);
	conn->inflight = g_string_new(NULL);
	conn->name = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	sock->data = conn;
	g_queue_push_tail_link(&srv->conns, &conn->link);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	hconn_set_state(conn, HCONN_IDLE);
	if (srv->tls)
		h2o_socket_ssl_handshake(sock, srv->tls, NULL, hconn_on_handshake);
	else
		h2o_socket_read_start(sock, hconn_on_read);
}

static void hconn_free(struct hconn *conn)
{
	g_string_free(conn->pending, TRUE);
	g_string_free(conn->inflight, TRUE);
	g_string_free(conn->name, TRUE);
	g_string_free(conn->value, TRUE);
	g_free(conn);
}

/* Ends a connection; a request that is not answered in full learns of it. */
static void hconn_close(struct hconn *conn)
{
	struct hreq *req = conn->req;

	if (conn->closed)
		return;
	conn->closed = true;
	conn->req = NULL;
	g_queue_unlink(&conn->srv->conns, &conn->link);
	h2o_socket_close(conn->sock);
	conn->sock = NULL;
	if (req) {
		if (req->handled && req->gone)
			req->gone(req->ctx);
		hreq_free(req);
	}
	if (conn->depth == 0)
		hconn_free(conn);
}

/* Keeps the connection's memory until the matching hconn_leave(). */
static void hconn_enter(struct hconn *conn)
{
	conn->depth++;
}

static void hconn_leave(struct hconn *conn)
{
	conn->depth--;
	if (conn->closed && conn->depth == 0)
		hconn_free(conn);
}

static void hconn_set_state(struct hconn *conn, enum hconn_state state)
{
	conn->state = state;
	conn->since_ms = uv_now(conn->srv->loop);
}

static void hconn_on_handshake(h2o_socket_t *sock, const char *err)
{
	struct hconn *conn = sock->data;

	if (err) {
		hconn_close(conn);
		return;
	}
	h2o_socket_read_start(sock, hconn_on_read);
	if (sock->input->size > 0)
		hconn_parse(conn);
}

static void hconn_on_read(h2o_socket_t *sock, const char *err)
{
	struct hconn *conn = sock->data;

	if (err) {
		hconn_close(conn);
		return;
	}
	if (conn->state == HCONN_LINGER) {
		h2o_buffer_consume(&sock->input, sock->input->size);
		return;
	}
	if (conn->state == HCONN_HANDLED) {
		if (sock->input->size > HSRV_PIPELINE_BYTES)
			hconn_close(conn);
		return;
	}
	hconn_parse(conn);
}

/* Answers a message that the handler never sees, and closes. */
static void hconn_refuse(struct hconn *conn, uint16_t status)
{
	if (!conn->req)
		conn->req = hreq_create(conn);
	conn->req->persistent = false;
	hconn_set_state(conn, HCONN_HANDLED);
	hreq_reply(conn->req, status, "text/plain", "", 0);
}

/* Tells the status for a message that does not parse. */
static uint16_t hconn_parse_failed(const struct hconn *conn)
{
	if (conn->refusal)
		return conn->refusal;
	return HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW ? 431 : 400;
}

/* Parses what has arrived, up to the end of one request. */
static void hconn_parse_one(struct hconn *conn)
{
	h2o_socket_t *sock = conn->sock;
	size_t size = sock->input->size;
	size_t used = http_parser_execute(&conn->parser, &hconn_parser_settings, sock->input->bytes,
					  size);

	if (conn->state == HCONN_HANDLED) {
		struct hreq *req = conn->req;

		http_parser_pause(&conn->parser, 0);
		h2o_buffer_consume(&sock->input, used);
		req->handled = true;
		conn->srv->open++;
		conn->srv->handler(conn->srv->handler_ctx, req);
	} else if (conn->refusal || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		h2o_buffer_consume(&sock->input, size);
		hconn_refuse(conn, hconn_parse_failed(conn));
	} else {
		h2o_buffer_consume(&sock->input, used);
		if (conn->pending->len > 0)
			hconn_pump(conn);
	}
}

static void hconn_parse(struct hconn *conn)
{
	hconn_enter(conn);
	while (!conn->closed && conn->state < HCONN_HANDLED && conn->sock->input->size > 0)
		hconn_parse_one(conn);
	hconn_leave(conn);
}

static void hconn_on_written(h2o_socket_t *sock, const char *err)
{
	struct hconn *conn = sock->data;
	struct hreq *req = conn->req;

	conn->sending = false;
	if (err) {
		hconn_close(conn);
		return;
	}
	hconn_enter(conn);
	hconn_pump(conn);
	if (req && conn->req == req && !conn->sending && !req->ending && req->drained)
		req->drained(req->ctx);
	hconn_leave(conn);
}

/* Ends the present request; the connection goes on or closes. */
static void hconn_next(struct hconn *conn)
{
	bool persistent = conn->req->persistent;

	hreq_free(conn->req);
	conn->req = NULL;
	if (!persistent) {
		/* Closing while bytes are unread would reset the answer on its way. */
		hconn_set_state(conn, HCONN_LINGER);
		shutdown(h2o_socket_get_fd(conn->sock), SHUT_WR);
		return;
	}
	conn->served = true;
	hconn_set_state(conn, HCONN_IDLE);
	if (conn->sock->input->size > 0 && conn->depth <= 1)
		hconn_parse(conn);
}

/* Hands queued bytes to the socket; at most one write is outstanding. */
static void hconn_pump(struct hconn *conn)
{
	GString *swap = conn->inflight;
	h2o_iovec_t buf;

	if (conn->sending || conn->closed)
		return;
	if (conn->pending->len == 0) {
		if (conn->req && conn->req->ending)
			hconn_next(conn);
		return;
	}
	conn->inflight = conn->pending;
	conn->pending = swap;
	g_string_truncate(conn->pending, 0);
	buf = h2o_iovec_init(conn->inflight->str, conn->inflight->len);
	conn->sending = true;
	h2o_socket_write(conn->sock, &buf, 1, hconn_on_written);
}

/* helpers: requests */

static void hheader_clear(gpointer data)
{
	struct hheader *header = data;

	g_free(header->name);
	g_free(header->value);
}

static struct hreq *hreq_create(struct hconn *conn)
{
	struct hreq *req = g_new0(struct hreq, 1);

	req->conn = conn;
	req->srv = conn->srv;
	req->target = g_string_new(NULL);
	req->headers = g_array_new(FALSE, FALSE, sizeof(struct hheader));
	g_array_set_clear_func(req->headers, hheader_clear);
	req->body = g_string_new(NULL);
	req->extra = g_string_new(NULL);
	return req;
}

static void hreq_free(struct hreq *req)
{
	if (req->handled)
		req->srv->open--;
	g_string_free(req->target, TRUE);
	g_string_free(req->body, TRUE);
	g_string_free(req->extra, TRUE);
	g_array_free(req->headers, TRUE);
	g_free(req->method);
	g_free(req->path);
	g_free(req->query);
	g_free(req->host);
	g_free(req);
}

/* Queues the head of the answer. @param length of the body, or -1 for a stream */
static void hreq_head(struct hreq *req, uint16_t status, const char *type, gssize length)
{
	GString *out = req->conn->pending;
	bool empty = status == 204 || status == 304 || (status >= 100 && status < 200);

	req->started = true;
	if (req->srv->closing)
		req->persistent = false;
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_status_str((enum http_status)status));
	if (type)
		g_string_append_printf(out, "Content-Type: %s\r\n", type);
	g_string_append_len(out, req->extra->str, (gssize)req->extra->len);
	if (length >= 0 && !empty) {
		g_string_append_printf(out, "Content-Length: %zd\r\n", length);
	} else if (length < 0 && req->http10) {
		req->persistent = false;
	} else if (length < 0) {
		req->chunked = true;
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	}
	if (!req->persistent)
		g_string_append(out, "Connection: close\r\n");
	g_string_append(out, "\r\n");
}

/* Marks the answer as whole; the request is freed once it is written. */
static void hreq_finish(struct hreq *req)
{
	req->ending = true;
	req->gone = NULL;
	req->drained = NULL;
	hconn_pump(req->conn);
}
