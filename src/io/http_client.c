#include "flamingolatch/http_client.h"

#include "flamingolatch/http_field.h"
#include "flamingolatch/http_lines.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HTTP_CLIENT_READ_BUFFER_BYTES	   16384
#define HTTP_CLIENT_IDLE_CHECK_INTERVAL_MS 500
/* Names and values of the headers of a response, trailers included. */
#define HTTP_CLIENT_MAX_HEADER_BYTES (16U << 10)
/* A stored header takes 80 bytes and more, however short it is. */
#define HTTP_CLIENT_MAX_HEADERS 128
/* Bytes on a connection before the response to its call: interim responses, and responses to other
 * calls, whose bodies may be long. */
#define HTTP_CLIENT_MAX_SKIPPED_BYTES (256U << 10)
/* A connection is closed after this many calls with an id, which it remembers. */
#define HTTP_CLIENT_MAX_CARRIED		1024
#define HTTP_CLIENT_SWITCHING_PROTOCOLS 101
#define HTTP_CLIENT_NO_CONTENT		204
#define HTTP_CLIENT_NOT_MODIFIED	304
/* Valid statuses (RFC 9110, section 15); http_parser accepts others, such as 0 and 999. */
#define HTTP_CLIENT_MIN_STATUS 100
#define HTTP_CLIENT_MAX_STATUS 599
/* http_parser also accepts fewer digits, and leading zeros. */
#define HTTP_CLIENT_STATUS_DIGITS 3
/* Length of "HTTP/1.1". http_parser checks only the first letter and the numbers. */
#define HTTP_CLIENT_VERSION_BYTES 8
#define HTTP_CLIENT_NAME	  "HTTP/"
/* Idle time allowed when the server sends no Keep-Alive timeout. */
#define HTTP_CLIENT_KEEP_ALIVE_DEFAULT_MS 4000
#define HTTP_CLIENT_KEEP_ALIVE_MAX_MS	  20000
/* Idle connections are no longer reused this long before the server would close them. */
#define HTTP_CLIENT_KEEP_ALIVE_MARGIN_MS 300
/* Sent bytes that stay unacknowledged this long break the connection. */
#define HTTP_CLIENT_TCP_USER_TIMEOUT_MS	      3000
#define HTTP_CLIENT_TCP_KEEPALIVE_IDLE_S      1
#define HTTP_CLIENT_TCP_KEEPALIVE_INTERVAL_S  1
#define HTTP_CLIENT_TCP_KEEPALIVE_PROBE_COUNT 3

struct client_conn;

struct http_client {
	uv_loop_t *loop;
	GHashTable *idle_conns; /* "address scope" to GQueue of struct client_conn, newest last */
	uv_timer_t idle_timer;
	struct http_client_counts counts;
	/* Shared by all connections: the loop reads one at a time. */
	char read_buf[HTTP_CLIENT_READ_BUFFER_BYTES];
	bool destroyed;
};

struct http_call {
	struct http_client *client;
	struct client_conn *conn; /* NULL before a connection is opened and after the call ended */
	const struct http_call_ops *ops;
	void *ctx;
	char *address;
	char *pool_key;	  /* key in http_client.idle_conns */
	GString *request; /* head and body; NULL once passed to the connection */
	uv_timer_t timer;
	uint64_t timeout_ms;
	uint64_t connect_timeout_ms;
	uint32_t id_hash;
	bool has_id; /* id_hash is valid */
	bool new_connection;
	bool is_head_request;
	bool connect_started; /* set when the timer first expires; later expiries are timeouts */
	bool sent;
	bool ended;
	bool paused;
};

/* How much is read of the status line of the current or next response. */
enum client_status_line {
	CLIENT_STATUS_LINE_AWAITED,
	CLIENT_STATUS_LINE_BEGUN,
	CLIENT_STATUS_LINE_READ, /* up to the end of its status */
};

/* A connection to a server: connecting, used by one call, or idle. */
struct client_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct http_client *client;
	struct http_call *call; /* NULL when idle or closing */
	char *pool_key;
	GArray *carried; /* uint32_t, hashes of the ids of its calls */
	GString *output; /* request being written */
	http_parser parser;
	GPtrArray *headers; /* name, value, name, value, ...; names in lower case */
	GString *name;
	GString *value;
	uint64_t idle_since_ms;
	uint64_t keep_alive_ms;	 /* idle time after which the connection is not reused */
	size_t header_bytes;	 /* names and values of the response being read */
	size_t skipped_bytes;	 /* read before the head of the response to the call */
	struct http_lines lines; /* of what is not part of a body */
	const char *unchecked;	 /* begin of what is not given to lines yet, while parsing */
	enum client_status_line status_line;
	uint32_t line_bytes;	/* of the status line, up to the end of its status */
	uint32_t status_digits; /* of those, the digits of the status */
	bool in_value;
	bool head_complete; /* of the response being read: header fields that follow are trailers */
	bool connected;
	bool writing;
	bool closing;
	bool mismatched;     /* the response being read belongs to another call */
	bool no_reuse;	     /* close the connection after this call */
	bool response_begun; /* its head has arrived */
	bool response_complete;
	bool idle;
};

struct http_response_head {
	uint16_t status;
	int64_t length; /* of the body in bytes; -1 without Content-Length */
	bool closes;
	bool has_body;
	bool unframed;
	const GPtrArray *headers;
};

static void http_call_on_timer(uv_timer_t *timer);
static void http_call_finish(struct http_call *call, enum http_call_result result);
static void http_call_free(struct http_call *call);
static void client_conn_close(struct client_conn *conn);
static void client_conn_send(struct client_conn *conn, struct http_call *call);
static void client_conn_start_reading(struct client_conn *conn);
static void http_client_on_idle_check(uv_timer_t *timer);

/* lifetime */

static void client_conn_queue_free(gpointer data)
{
	g_queue_free(data);
}

struct http_client *http_client_create(uv_loop_t *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	client->loop = loop;
	client->idle_conns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, client_conn_queue_free);
	uv_timer_init(loop, &client->idle_timer);
	client->idle_timer.data = client;
	uv_timer_start(&client->idle_timer, http_client_on_idle_check,
		       HTTP_CLIENT_IDLE_CHECK_INTERVAL_MS, HTTP_CLIENT_IDLE_CHECK_INTERVAL_MS);
	uv_unref((uv_handle_t *)&client->idle_timer);
	return client;
}

static void http_client_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* Closes all connections of a queue of idle ones. */
static void client_conn_queue_close(GQueue *queue)
{
	struct client_conn *conn;

	while ((conn = g_queue_pop_head(queue))) {
		conn->idle = false;
		client_conn_close(conn);
	}
}

void http_client_destroy(struct http_client *client)
{
	GHashTableIter iter;
	GQueue *queue;

	if (!client)
		return;
	client->destroyed = true;
	g_hash_table_iter_init(&iter, client->idle_conns);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue))
		client_conn_queue_close(queue);
	g_hash_table_destroy(client->idle_conns);
	client->idle_conns = NULL;
	uv_close((uv_handle_t *)&client->idle_timer, http_client_on_closed);
}

/* commands */

/* Appends the request line, headers and body to a buffer. */
static void http_call_write_request(GString *out, const struct http_call_request *req)
{
	bool no_body = strcmp(req->method, "GET") == 0 || strcmp(req->method, "HEAD") == 0 ||
		       strcmp(req->method, "DELETE") == 0;

	g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", req->method, req->path,
			       req->host ? req->host : req->address);
	if (req->headers)
		g_string_append(out, req->headers);
	if (req->new_connection)
		g_string_append(out, "Connection: close\r\n");
	if (req->body_len || !no_body)
		g_string_append_printf(out, "Content-Length: %zu\r\n", req->body_len);
	g_string_append(out, "\r\n");
	if (req->body_len)
		g_string_append_len(out, req->body, (gssize)req->body_len);
}

struct http_call *http_call_start(struct http_client *client, const struct http_call_request *req,
				  const struct http_call_ops *ops, void *ctx)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->client = client;
	call->ops = ops;
	call->ctx = ctx;
	call->address = g_strdup(req->address);
	call->pool_key = g_strdup_printf("%s %s", req->address, req->scope ? req->scope : "");
	call->new_connection = req->new_connection;
	call->has_id = req->id;
	call->id_hash = req->id ? g_str_hash(req->id) : 0;
	call->timeout_ms = req->timeout_ms;
	call->connect_timeout_ms =
		req->connect_timeout_ms ? req->connect_timeout_ms : HTTP_CLIENT_CONNECT_TIMEOUT_MS;
	call->is_head_request = strcmp(req->method, "HEAD") == 0;
	call->request = g_string_sized_new(512 + req->body_len);
	http_call_write_request(call->request, req);
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	/* Connecting from the timer guarantees that no callback runs before this returns. */
	uv_timer_start(&call->timer, http_call_on_timer, 0, 0);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	struct client_conn *conn = call->conn;

	if (call->ended)
		return;
	call->ended = true;
	if (conn) {
		conn->call = NULL;
		client_conn_close(conn);
	}
	http_call_free(call);
}

void http_call_set_owner(struct http_call *call, const struct http_call_ops *ops, void *ctx)
{
	call->ops = ops;
	call->ctx = ctx;
}

void http_call_disable_reuse(struct http_call *call)
{
	if (call->conn)
		call->conn->no_reuse = true;
}

void http_call_pause(struct http_call *call)
{
	if (call->paused || !call->conn)
		return;
	call->paused = true;
	uv_read_stop((uv_stream_t *)&call->conn->tcp);
}

void http_call_resume(struct http_call *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	if (call->conn)
		client_conn_start_reading(call->conn);
}

void http_client_close_idle(struct http_client *client, const char *address, const char *scope)
{
	g_autofree char *key = g_strdup_printf("%s %s", address, scope ? scope : "");
	GQueue *queue = g_hash_table_lookup(client->idle_conns, key);

	if (!queue)
		return;
	client_conn_queue_close(queue);
	g_hash_table_remove(client->idle_conns, key);
}

/* queries */

bool http_client_has_idle(struct http_client *client, const char *address, const char *scope)
{
	g_autofree char *key = g_strdup_printf("%s %s", address, scope ? scope : "");
	GQueue *queue = g_hash_table_lookup(client->idle_conns, key);

	return queue && queue->length > 0;
}

const struct http_client_counts *http_client_counts(const struct http_client *client)
{
	return &client->counts;
}

uint16_t http_response_status(const struct http_response_head *head)
{
	return head->status;
}

static const char *http_response_find_header(const struct http_response_head *head,
					     const char *name)
{
	for (guint i = 0; i + 1 < head->headers->len; i += 2) {
		if (strcmp(head->headers->pdata[i], name) == 0)
			return head->headers->pdata[i + 1];
	}
	return NULL;
}

char *http_response_dup_header(const struct http_response_head *head, const char *name)
{
	return g_strdup(http_response_find_header(head, name));
}

int64_t http_response_body_length(const struct http_response_head *head)
{
	return head->length;
}

bool http_response_closes_connection(const struct http_response_head *head)
{
	return head->closes;
}

bool http_response_has_body(const struct http_response_head *head)
{
	return head->has_body;
}

bool http_response_is_unframed(const struct http_response_head *head)
{
	return head->unframed;
}

/* Tells whether a Connection header, of which there may be several, names a header. */
static bool http_response_is_hop_by_hop(const struct http_response_head *head, const char *name)
{
	for (guint i = 0; i + 1 < head->headers->len; i += 2) {
		if (strcmp(head->headers->pdata[i], "connection") == 0 &&
		    http_field_list_contains(head->headers->pdata[i + 1], name))
			return true;
	}
	return false;
}

void http_response_each_header(const struct http_response_head *head,
			       void (*each)(void *ctx, const char *name, const char *value),
			       void *ctx)
{
	static const char *const hop_by_hop[] = {
		"connection",	  "keep-alive", "transfer-encoding", "trailer", "upgrade",
		"content-length", "te",		"proxy-connection",  NULL
	};

	for (guint i = 0; i + 1 < head->headers->len; i += 2) {
		if (!g_strv_contains(hop_by_hop, head->headers->pdata[i]) &&
		    !http_response_is_hop_by_hop(head, head->headers->pdata[i]))
			each(ctx, head->headers->pdata[i], head->headers->pdata[i + 1]);
	}
}

/* helpers: calls */

static void http_call_on_closed(uv_handle_t *handle)
{
	struct http_call *call = handle->data;

	if (call->request)
		g_string_free(call->request, TRUE);
	g_free(call->address);
	g_free(call->pool_key);
	g_free(call);
}

static void http_call_free(struct http_call *call)
{
	call->conn = NULL;
	uv_close((uv_handle_t *)&call->timer, http_call_on_closed);
}

static void http_call_finish(struct http_call *call, enum http_call_result result)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->conn)
		call->conn->call = NULL;
	if (call->ops->end)
		call->ops->end(call->ctx, result, call->sent);
	http_call_free(call);
}

/* Closes a connection and ends its call with a result. A call that sent nothing ends as
 * HTTP_CALL_CONNECT_FAILED instead. */
static void client_conn_fail(struct client_conn *conn, enum http_call_result result)
{
	struct http_call *call = conn->call;

	conn->call = NULL;
	client_conn_close(conn);
	if (!call)
		return;
	call->conn = NULL;
	http_call_finish(call, call->sent ? result : HTTP_CALL_CONNECT_FAILED);
}

/* helpers: connections */

static void client_conn_free(uv_handle_t *handle)
{
	struct client_conn *conn = handle->data;

	g_string_free(conn->name, TRUE);
	g_string_free(conn->value, TRUE);
	g_ptr_array_free(conn->headers, TRUE);
	g_array_free(conn->carried, TRUE);
	if (conn->output)
		g_string_free(conn->output, TRUE);
	g_free(conn->pool_key);
	g_free(conn);
}

static void client_conn_close(struct client_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->idle) {
		GQueue *queue = g_hash_table_lookup(conn->client->idle_conns, conn->pool_key);

		if (queue)
			g_queue_remove(queue, conn);
		conn->idle = false;
	}
	uv_close((uv_handle_t *)&conn->tcp, client_conn_free);
}

/* Puts a connection back into the idle pool, or closes it if it cannot be reused. */
static void client_conn_make_idle(struct client_conn *conn)
{
	GQueue *queue;

	if (!conn->client->idle_conns || conn->no_reuse || conn->writing) {
		client_conn_close(conn);
		return;
	}
	queue = g_hash_table_lookup(conn->client->idle_conns, conn->pool_key);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(conn->client->idle_conns, g_strdup(conn->pool_key), queue);
	}
	conn->idle = true;
	conn->idle_since_ms = uv_now(conn->client->loop);
	g_queue_push_tail(queue, conn);
}

static int client_conn_on_message_begin(http_parser *parser)
{
	struct client_conn *conn = parser->data;

	g_ptr_array_set_size(conn->headers, 0);
	conn->head_complete = false;
	/* A trailer of the previous response is left here. */
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	conn->header_bytes = 0;
	conn->in_value = false;
	conn->mismatched = false;
	conn->line_bytes = 0;
	conn->status_digits = 0;
	conn->status_line = CLIENT_STATUS_LINE_BEGUN;
	return 0;
}

/* Reads a byte of the status line that http_parser has accepted.
 * @return false when the version or the status is invalid */
static bool client_conn_check_status(struct client_conn *conn, char byte)
{
	if (++conn->line_bytes <= strlen(HTTP_CLIENT_NAME))
		return byte == HTTP_CLIENT_NAME[conn->line_bytes - 1];
	if (conn->line_bytes <= HTTP_CLIENT_VERSION_BYTES)
		return true;
	if (g_ascii_isdigit(byte)) {
		conn->status_digits++;
		return true;
	}
	if (byte == ' ' && conn->status_digits == 0)
		return true;
	conn->status_line = CLIENT_STATUS_LINE_READ;
#if defined(FL_FAULT_ANY_STATUS)
	/* Deliberate defect, which the tests have to detect: accepts what http_parser does. */
	return true;
#endif
	return conn->status_digits == HTTP_CLIENT_STATUS_DIGITS &&
	       conn->parser.status_code >= HTTP_CLIENT_MIN_STATUS &&
	       conn->parser.status_code <= HTTP_CLIENT_MAX_STATUS;
}

/* Adds the header that was read last to the response. Trailer fields are dropped.
 * @return false when its name is invalid: http_parser accepts blanks in it, and heeds a
 *         Transfer-Encoding or Content-Length with blanks before the colon; also when its
 *         value has a control character */
static bool client_conn_store_header(struct client_conn *conn)
{
	char *value;

	if (conn->name->len == 0)
		return true;
	if (strpbrk(conn->name->str, " \t") ||
	    !http_field_value_is_valid(conn->value->str, conn->value->len))
		return false;
	if (conn->head_complete) {
		g_string_truncate(conn->name, 0);
		g_string_truncate(conn->value, 0);
		return true;
	}
	value = g_strndup(conn->value->str, conn->value->len);
	g_strchomp(value);
	g_ptr_array_add(conn->headers, g_ascii_strdown(conn->name->str, (gssize)conn->name->len));
	g_ptr_array_add(conn->headers, value);
	g_string_truncate(conn->name, 0);
	g_string_truncate(conn->value, 0);
	return true;
}

/* Adds to the size of the headers. @return 0, or -1 if a limit is exceeded */
static int client_conn_count_header_bytes(struct client_conn *conn, size_t len)
{
	conn->header_bytes += len;
	return conn->header_bytes > HTTP_CLIENT_MAX_HEADER_BYTES ||
			       conn->headers->len / 2 > HTTP_CLIENT_MAX_HEADERS
		       ? -1
		       : 0;
}

static int client_conn_on_header_field(http_parser *parser, const char *at, size_t len)
{
	struct client_conn *conn = parser->data;

	if (conn->in_value && !client_conn_store_header(conn))
		return -1;
	conn->in_value = false;
	g_string_append_len(conn->name, at, (gssize)len);
	return client_conn_count_header_bytes(conn, len);
}

static int client_conn_on_header_value(http_parser *parser, const char *at, size_t len)
{
	struct client_conn *conn = parser->data;

	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	return client_conn_count_header_bytes(conn, len);
}

/* Computes from the Keep-Alive header how long the connection may stay idle. */
static void client_conn_parse_keep_alive(struct client_conn *conn,
					 const struct http_response_head *head)
{
	const char *value = http_response_find_header(head, "keep-alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t timeout_ms = HTTP_CLIENT_KEEP_ALIVE_DEFAULT_MS;

	if (timeout)
		timeout_ms = strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	conn->keep_alive_ms = timeout_ms > HTTP_CLIENT_KEEP_ALIVE_MARGIN_MS
				      ? timeout_ms - HTTP_CLIENT_KEEP_ALIVE_MARGIN_MS
				      : 0;
	conn->keep_alive_ms = MIN(conn->keep_alive_ms, HTTP_CLIENT_KEEP_ALIVE_MAX_MS);
}

/* Tells whether the response ends with its head, whatever length it states. */
static bool client_conn_has_no_body(const http_parser *parser, const struct http_call *call)
{
	return parser->status_code / 100 == 1 || parser->status_code == HTTP_CLIENT_NO_CONTENT ||
	       parser->status_code == HTTP_CLIENT_NOT_MODIFIED || (call && call->is_head_request);
}

/* Tells whether the body is coded in chunks alone. http_parser also accepts other codings before
 * chunked, and codings of HTTP/1.0, which has none. */
static bool client_conn_is_chunked_alone(const struct client_conn *conn)
{
	uint32_t count = 0;
	bool chunked = true;

	for (guint i = 0; i + 1 < conn->headers->len; i += 2) {
		if (strcmp(conn->headers->pdata[i], "transfer-encoding") != 0)
			continue;
		count++;
		chunked &= g_ascii_strcasecmp(conn->headers->pdata[i + 1], "chunked") == 0;
	}
	return count == 1 && chunked && conn->parser.http_minor > 0 &&
	       (conn->parser.flags & F_CHUNKED);
}

/* Tells whether the end of the response cannot be found: its transfer coding is not known, or it
 * switches to a protocol that was not asked for. */
static bool client_conn_has_unknown_end(const struct client_conn *conn, bool has_body)
{
	return conn->parser.status_code == HTTP_CLIENT_SWITCHING_PROTOCOLS ||
	       (has_body && conn->parser.uses_transfer_encoding &&
		!client_conn_is_chunked_alone(conn));
}

/* Returns what http_parser is to do: 0 to read the body, 1 to expect none, -1 to stop. */
static int client_conn_on_headers_complete(http_parser *parser)
{
	struct client_conn *conn = parser->data;
	struct http_call *call = conn->call;
	int no_body = client_conn_has_no_body(parser, call);
	bool has_length = parser->content_length != UINT64_MAX;
	struct http_response_head head = {
		.status = (uint16_t)parser->status_code,
		.length = has_length ? (int64_t)parser->content_length : -1,
		.closes = !http_should_keep_alive(parser),
		.has_body = !no_body,
		.unframed = !no_body && !has_length && !(parser->flags & F_CHUNKED),
		.headers = conn->headers,
	};

	/* http_parser accepts any version. */
	if (parser->http_major != 1 || !client_conn_store_header(conn) ||
	    client_conn_has_unknown_end(conn, !no_body))
		return -1;
	conn->head_complete = true;
	conn->lines.chunked = !no_body && (parser->flags & F_CHUNKED);
	client_conn_parse_keep_alive(conn, &head);
	if (head.status / 100 == 1 || !call)
		return no_body;
	if (call->ops->matches && !call->ops->matches(call->ctx, &head)) {
		conn->mismatched = true;
		conn->no_reuse = true;
		conn->client->counts.mismatched++;
		no_body = client_conn_has_no_body(parser, NULL);
		conn->lines.chunked = !no_body && (parser->flags & F_CHUNKED);
		return no_body;
	}
	conn->response_begun = true;
	if (head.closes)
		conn->no_reuse = true;
	if (call->ops->head)
		call->ops->head(call->ctx, &head);
	return no_body;
}

static int client_conn_on_body(http_parser *parser, const char *at, size_t len)
{
	struct client_conn *conn = parser->data;
	struct http_call *call = conn->call;

	if (!http_lines_feed(&conn->lines, conn->unchecked, (size_t)(at - conn->unchecked)))
		return -1;
	conn->unchecked = at + len;
	if (call && !conn->mismatched && call->ops->data)
		call->ops->data(call->ctx, at, len);
	return 0;
}

static int client_conn_on_message_complete(http_parser *parser)
{
	struct client_conn *conn = parser->data;

	if (!client_conn_store_header(conn))
		return -1;
	conn->response_complete = !conn->mismatched && parser->status_code / 100 != 1;
	conn->status_line = CLIENT_STATUS_LINE_AWAITED;
	/* client_conn_execute() reads the status line of a response that follows byte by byte. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings client_conn_parser_settings = {
	.on_message_begin = client_conn_on_message_begin,
	.on_header_field = client_conn_on_header_field,
	.on_header_value = client_conn_on_header_value,
	.on_headers_complete = client_conn_on_headers_complete,
	.on_body = client_conn_on_body,
	.on_message_complete = client_conn_on_message_complete,
};

/* Finishes the call whose response is complete.
 * @param extra_len bytes received after the response; any prevents reuse */
static void client_conn_finish_response(struct client_conn *conn, size_t extra_len)
{
	struct http_call *call = conn->call;

	if (extra_len > 0) {
		conn->no_reuse = true;
		conn->client->counts.extra_data++;
	}
	conn->call = NULL;
	if (call)
		call->conn = NULL;
	/* An idle connection is read from, to notice that the server closes it. */
	if (call && call->paused)
		client_conn_start_reading(conn);
	client_conn_make_idle(conn);
	if (call)
		http_call_finish(call, HTTP_CALL_OK);
}

/* Passes bytes to http_parser, up to the end of the response to the call or an error.
 * @param valid set to false at an invalid version, status or line end
 * @return how many bytes were read */
static size_t client_conn_execute(struct client_conn *conn, const char *buf, size_t len,
				  bool *valid)
{
	http_parser *parser = &conn->parser;
	size_t used = 0;

	*valid = true;
	while (*valid && used < len && !conn->closing && !conn->response_complete) {
		/* Byte by byte up to the end of the status: http_parser does not report its
		 * digits. */
		size_t part = conn->status_line == CLIENT_STATUS_LINE_READ ? len - used : 1;

		conn->unchecked = buf + used;
		used += http_parser_execute(parser, &client_conn_parser_settings, buf + used, part);
		*valid = http_lines_feed(&conn->lines, conn->unchecked,
					 (size_t)(buf + used - conn->unchecked));
		if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED)
			http_parser_pause(parser, 0);
		if (HTTP_PARSER_ERRNO(parser) != HPE_OK)
			break;
		if (*valid && conn->status_line == CLIENT_STATUS_LINE_BEGUN)
			*valid = client_conn_check_status(conn, buf[used - 1]);
	}
	return used;
}

static void client_conn_parse(struct client_conn *conn, const char *buf, size_t len)
{
	bool valid;
	size_t used = client_conn_execute(conn, buf, len, &valid);

	if (conn->closing)
		return;
	if (!conn->response_begun)
		conn->skipped_bytes += len;
	if (valid && conn->response_complete) {
		client_conn_finish_response(conn, len - used);
	} else if (!valid || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK ||
		   conn->skipped_bytes > HTTP_CLIENT_MAX_SKIPPED_BYTES) {
		conn->client->counts.malformed++;
#if defined(FL_FAULT_MALFORMED_ENDS)
		/* Deliberate defect, which the tests have to detect: takes it for an end. */
		conn->no_reuse = true;
		client_conn_finish_response(conn, 0);
		return;
#endif
		client_conn_fail(conn, HTTP_CALL_BROKEN);
	}
}

static void client_conn_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct client_conn *conn = handle->data;

	(void)suggested;
	*buf = uv_buf_init(conn->client->read_buf, sizeof(conn->client->read_buf));
}

/* Returns whether the server reset the connection, which libuv can report as a plain EOF. */
static bool client_conn_was_reset(struct client_conn *conn)
{
	struct tcp_info info = { 0 };
	socklen_t info_len = sizeof(info);
	int err = 0;
	socklen_t err_len = sizeof(err);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return true;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &err_len) != 0 || err != 0)
		return true;
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_len) == 0 &&
	       info.tcpi_state == TCP_CLOSE;
}

static void client_conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct client_conn *conn = stream->data;

	if (count == 0)
		return;
	if (!conn->call) {
		/* Idle connection: the server closed it, or sent bytes without a request. */
		if (count > 0)
			conn->client->counts.extra_data++;
		client_conn_close(conn);
		return;
	}
	if (count > 0) {
		client_conn_parse(conn, buf->base, (size_t)count);
		return;
	}
	/* EOF completes a response that has neither a length nor chunked coding. */
	if (count == UV_EOF && !conn->mismatched && !client_conn_was_reset(conn))
		http_parser_execute(&conn->parser, &client_conn_parser_settings, NULL, 0);
	if (conn->closing)
		return;
	conn->no_reuse = true;
	if (conn->response_complete)
		client_conn_finish_response(conn, 0);
	else
		client_conn_fail(conn, HTTP_CALL_BROKEN);
}

static void client_conn_start_reading(struct client_conn *conn)
{
	if (!conn->closing)
		uv_read_start((uv_stream_t *)&conn->tcp, client_conn_on_alloc, client_conn_on_read);
}

static void client_conn_on_written(uv_write_t *write, int status)
{
	struct client_conn *conn = write->data;

	conn->writing = false;
	if (conn->output)
		g_string_free(conn->output, TRUE);
	conn->output = NULL;
	/* A server may respond and close before it has read the whole request. That response
	 * is valid, so a failed write only prevents reuse. */
	if (status != 0)
		conn->no_reuse = true;
}

static void client_conn_send(struct client_conn *conn, struct http_call *call)
{
	uv_buf_t buf;

	conn->call = call;
	call->conn = conn;
	if (call->ops->connected && !call->ops->connected(call->ctx)) {
		if (call->ended)
			return;
		conn->call = NULL;
		call->conn = NULL;
		if (conn->connected)
			client_conn_make_idle(conn);
		http_call_finish(call, HTTP_CALL_CONNECT_FAILED);
		return;
	}
	if (call->ended)
		return;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	conn->status_line = CLIENT_STATUS_LINE_AWAITED;
	conn->response_begun = false;
	conn->response_complete = false;
	conn->skipped_bytes = 0;
	memset(&conn->lines, 0, sizeof(conn->lines));
	conn->mismatched = false;
	if (call->has_id)
		g_array_append_val(conn->carried, call->id_hash);
	conn->no_reuse = call->new_connection || conn->carried->len >= HTTP_CLIENT_MAX_CARRIED;
	conn->output = call->request;
	call->request = NULL;
	call->sent = true;
	conn->writing = true;
	conn->write.data = conn;
	buf = uv_buf_init(conn->output->str, (unsigned int)conn->output->len);
	uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, client_conn_on_written);
}

/* Makes the connection fail within seconds when the server stops acknowledging, and disables
 * Nagle's algorithm. */
static void client_conn_set_tcp_options(struct client_conn *conn)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, HTTP_CLIENT_TCP_KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, HTTP_CLIENT_TCP_KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, HTTP_CLIENT_TCP_KEEPALIVE_PROBE_COUNT },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, HTTP_CLIENT_TCP_USER_TIMEOUT_MS },
	};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].name, &options[i].value,
			   sizeof(options[i].value));
	uv_tcp_nodelay(&conn->tcp, 1);
}

static void client_conn_on_connect(uv_connect_t *req, int status)
{
	struct client_conn *conn = req->data;

	if (conn->closing)
		return;
	if (status != 0 || !conn->call) {
		client_conn_fail(conn, HTTP_CALL_CONNECT_FAILED);
		return;
	}
	conn->connected = true;
	client_conn_set_tcp_options(conn);
	if (conn->call->timeout_ms)
		uv_timer_start(&conn->call->timer, http_call_on_timer, conn->call->timeout_ms, 0);
	else
		uv_timer_stop(&conn->call->timer);
	client_conn_start_reading(conn);
	client_conn_send(conn, conn->call);
}

/* Opens a connection for a call.
 * @return NULL if the address is not valid or connecting fails at once */
static struct client_conn *client_conn_create(struct http_call *call)
{
	const char *colon = strrchr(call->address, ':');
	g_autofree char *host =
		colon ? g_strndup(call->address, (gsize)(colon - call->address)) : NULL;
	struct sockaddr_in addr;
	struct client_conn *conn;

	if (!host || uv_ip4_addr(host, atoi(colon + 1), &addr) != 0)
		return NULL;
	conn = g_new0(struct client_conn, 1);
	conn->client = call->client;
	conn->call = call;
	conn->pool_key = g_strdup(call->pool_key);
	conn->headers = g_ptr_array_new_with_free_func(g_free);
	conn->name = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	conn->carried = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	uv_tcp_init(call->client->loop, &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	call->conn = conn;
	call->client->counts.connects++;
	if (uv_tcp_connect(&conn->connect, &conn->tcp, (const struct sockaddr *)&addr,
			   client_conn_on_connect) != 0) {
		call->conn = NULL;
		client_conn_close(conn);
		return NULL;
	}
	return conn;
}

/* Returns whether an idle connection is within its keep-alive time, open and without
 * unread bytes. */
static bool client_conn_is_reusable(struct client_conn *conn)
{
	char byte;
	uv_os_fd_t fd;

	if (uv_now(conn->client->loop) - conn->idle_since_ms > conn->keep_alive_ms)
		return false;
	if (uv_fileno((uv_handle_t *)&conn->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Tells whether a connection carried another call with the id of a call. Two ids with the same hash
 * only cost a connection. */
static bool client_conn_has_carried(const struct client_conn *conn, const struct http_call *call)
{
#if defined(FL_FAULT_RESEND_ON_CONNECTION)
	/* Deliberate defect, which the tests have to detect: any idle connection will do. */
	return false;
#endif
	for (guint i = 0; call->has_id && i < conn->carried->len; i++) {
		if (g_array_index(conn->carried, uint32_t, i) == call->id_hash)
			return true;
	}
	return false;
}

/* Removes the newest connection that a call can reuse from the idle pool and returns it, or NULL.
 */
static struct client_conn *http_call_reuse_conn(const struct http_call *call)
{
	GQueue *queue = g_hash_table_lookup(call->client->idle_conns, call->pool_key);
	GList *previous;

	for (GList *item = queue ? queue->tail : NULL; item; item = previous) {
		struct client_conn *conn = item->data;

		previous = item->prev;
		if (client_conn_has_carried(conn, call))
			continue;
		g_queue_delete_link(queue, item);
		conn->idle = false;
		if (client_conn_is_reusable(conn))
			return conn;
		client_conn_close(conn);
	}
	return NULL;
}

/* Sends the request on an idle connection, or opens a new one. */
static void http_call_connect(struct http_call *call)
{
	struct client_conn *conn = call->new_connection ? NULL : http_call_reuse_conn(call);

	if (conn) {
		call->client->counts.reuses++;
		if (call->timeout_ms)
			uv_timer_start(&call->timer, http_call_on_timer, call->timeout_ms, 0);
		client_conn_send(conn, call);
		return;
	}
	uv_timer_start(&call->timer, http_call_on_timer,
		       call->timeout_ms ? MIN(call->connect_timeout_ms, call->timeout_ms)
					: call->connect_timeout_ms,
		       0);
	if (!client_conn_create(call))
		http_call_finish(call, HTTP_CALL_CONNECT_FAILED);
}

static void http_call_on_timer(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (!call->connect_started) {
		call->connect_started = true;
		http_call_connect(call);
		return;
	}
	if (call->conn)
		client_conn_fail(call->conn, HTTP_CALL_TIMEOUT);
	else
		http_call_finish(call, HTTP_CALL_TIMEOUT);
}

/* Closes idle connections whose keep-alive time has expired. */
static void http_client_on_idle_check(uv_timer_t *timer)
{
	struct http_client *client = timer->data;
	uint64_t now_ms = uv_now(client->loop);
	GHashTableIter iter;
	GQueue *queue;

	g_hash_table_iter_init(&iter, client->idle_conns);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue)) {
		GList *next;

		for (GList *item = queue->head; item; item = next) {
			struct client_conn *conn = item->data;

			next = item->next;
			if (now_ms - conn->idle_since_ms <= conn->keep_alive_ms)
				continue;
			g_queue_delete_link(queue, item);
			conn->idle = false;
			client_conn_close(conn);
		}
		if (queue->length == 0)
			g_hash_table_iter_remove(&iter);
	}
}
