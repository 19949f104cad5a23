/**
 * @file test_http.c
 * The HTTP client against a mock server that misbehaves, and the HTTP server
 * against misbehaving clients. The mock server and the clients send raw bytes.
 */
#include "flamingolatch/fetch.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOP_ITERATIONS_MAX 20000
#define OK_RESPONSE	    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nhi"

/* How the mock server ends a connection after a response. */
enum mock_ending {
	MOCK_KEEP_OPEN,
	MOCK_FIN,
	MOCK_RESET,
	MOCK_FIN_THEN_RESET,
};

struct mock_response {
	const char *bytes;
	enum mock_ending ending;
	const char *later; /* sent 5 ms later on the same connection; may be NULL */
	bool early;	   /* sent without waiting for the body of the request */
	size_t len;	   /* of the bytes; 0: up to the NUL that ends them */
};

/* A server that answers the n-th request with the n-th response. */
struct mock_server {
	uv_loop_t loop;
	uv_tcp_t listener;
	struct http_client *client;
	char address[32];
	const struct mock_response *responses;
	uint32_t response_count;
	uint32_t responses_sent;
	uint32_t connections; /* accepted */
	GString *received;    /* requests, heads and bodies */
	GString *headers;     /* as call_outcome::headers, of all calls; may be NULL */
};

struct mock_conn {
	uv_tcp_t tcp;
	uv_write_t write;
	uv_timer_t timer;
	struct mock_server *server;
	GString *input;
	const struct mock_response *response; /* being sent */
};

/* Result and response of a call. */
struct call_outcome {
	bool ended;
	enum http_call_result result;
	bool sent;
	uint16_t status;
	GString *body;
	const char *id;	  /* x-id of the expected response; NULL accepts every response */
	GString *headers; /* "name=value;" of those that are passed on; may be NULL */
};

static void mock_conn_on_closed(uv_handle_t *handle)
{
	struct mock_conn *conn = handle->data;

	g_string_free(conn->input, TRUE);
	g_free(conn);
}

static void mock_conn_close_timer(uv_handle_t *handle)
{
	struct mock_conn *conn = handle->data;

	uv_close((uv_handle_t *)&conn->timer, mock_conn_on_closed);
}

static void mock_conn_close(struct mock_conn *conn)
{
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, mock_conn_close_timer);
}

static void mock_conn_end(struct mock_conn *conn)
{
	struct linger linger = { .l_onoff = 1 };
	uv_os_fd_t fd;

	if (conn->response->ending == MOCK_KEEP_OPEN)
		return;
	g_assert_cmpint(uv_fileno((uv_handle_t *)&conn->tcp, &fd), ==, 0);
	if (conn->response->ending == MOCK_FIN_THEN_RESET)
		shutdown(fd, SHUT_WR);
	if (conn->response->ending != MOCK_FIN)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	mock_conn_close(conn);
}

static void mock_conn_send_later(uv_timer_t *timer)
{
	struct mock_conn *conn = timer->data;
	uv_buf_t buf =
		uv_buf_init((char *)conn->response->later, (unsigned)strlen(conn->response->later));

	uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
}

static void mock_conn_on_written(uv_write_t *write, int status)
{
	struct mock_conn *conn = write->data;

	if (status != 0 || uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	if (conn->response->later)
		uv_timer_start(&conn->timer, mock_conn_send_later, 5, 0);
	mock_conn_end(conn);
}

static bool mock_conn_has_request(const struct mock_conn *conn,
				  const struct mock_response *response)
{
	const char *end = strstr(conn->input->str, "\r\n\r\n");
	const char *length = strstr(conn->input->str, "Content-Length: ");
	size_t need = length ? strtoul(length + 16, NULL, 10) : 0;

	if (!end)
		return false;
	return response->early || strlen(end + 4) >= need;
}

static void mock_conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct mock_conn *conn = stream->data;
	struct mock_server *server = conn->server;
	const struct mock_response *response;
	uv_buf_t out;

	if (count > 0)
		g_string_append_len(conn->input, buf->base, count);
	g_free(buf->base);
	if (count < 0) {
		mock_conn_close(conn);
		return;
	}
	g_assert_cmpuint(server->responses_sent, <, server->response_count);
	response = &server->responses[server->responses_sent];
	if (!mock_conn_has_request(conn, response))
		return;
	server->responses_sent++;
	g_string_append_len(server->received, conn->input->str, (gssize)conn->input->len);
	g_string_truncate(conn->input, 0);
	conn->response = response;
	out = uv_buf_init((char *)response->bytes,
			  (unsigned)(response->len ? response->len : strlen(response->bytes)));
	conn->write.data = conn;
	uv_write(&conn->write, stream, &out, 1, mock_conn_on_written);
	if (response->early)
		uv_read_stop(stream);
}

static void mock_conn_on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void mock_server_on_connection(uv_stream_t *listener, int status)
{
	struct mock_server *server = listener->data;
	struct mock_conn *conn = g_new0(struct mock_conn, 1);

	g_assert_cmpint(status, ==, 0);
	server->connections++;
	conn->server = server;
	conn->input = g_string_new(NULL);
	uv_tcp_init(&server->loop, &conn->tcp);
	uv_timer_init(&server->loop, &conn->timer);
	conn->tcp.data = conn;
	conn->timer.data = conn;
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&conn->tcp), ==, 0);
	uv_read_start((uv_stream_t *)&conn->tcp, mock_conn_on_alloc, mock_conn_on_read);
}

static void mock_server_init(struct mock_server *server, const struct mock_response *responses,
			     uint32_t count)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	memset(server, 0, sizeof(*server));
	server->responses = responses;
	server->response_count = count;
	server->received = g_string_new(NULL);
	uv_loop_init(&server->loop);
	uv_tcp_init(&server->loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&server->listener, 16, mock_server_on_connection),
			==, 0);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%u", ntohs(addr.sin_port));
	server->client = http_client_create(&server->loop);
}

static void mock_server_close_conn(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle) && handle->type == UV_TCP && handle->data)
		mock_conn_close(handle->data);
}

static void mock_server_clear(struct mock_server *server)
{
	http_client_destroy(server->client);
	uv_close((uv_handle_t *)&server->listener, NULL);
	uv_run(&server->loop, UV_RUN_NOWAIT);
	uv_walk(&server->loop, mock_server_close_conn, NULL);
	while (uv_run(&server->loop, UV_RUN_NOWAIT))
		;
	g_assert_cmpint(uv_loop_close(&server->loop), ==, 0);
	g_string_free(server->received, TRUE);
}

static void call_outcome_add_header(void *ctx, const char *name, const char *value)
{
	g_string_append_printf(ctx, "%s=%s;", name, value);
}

static void call_outcome_on_head(void *ctx, const struct http_response_head *head)
{
	struct call_outcome *outcome = ctx;

	outcome->status = http_response_status(head);
	if (outcome->headers)
		http_response_each_header(head, call_outcome_add_header, outcome->headers);
}

static void call_outcome_on_data(void *ctx, const char *buf, size_t len)
{
	struct call_outcome *outcome = ctx;

	g_string_append_len(outcome->body, buf, (gssize)len);
}

static void call_outcome_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct call_outcome *outcome = ctx;

	outcome->ended = true;
	outcome->result = result;
	outcome->sent = sent;
}

static bool call_outcome_matches(void *ctx, const struct http_response_head *head)
{
	const struct call_outcome *outcome = ctx;
	g_autofree char *id = http_response_dup_header(head, "x-id");

	return !outcome->id || g_strcmp0(id, outcome->id) == 0;
}

static const struct http_call_ops call_outcome_ops = { .head = call_outcome_on_head,
						       .data = call_outcome_on_data,
						       .end = call_outcome_on_end,
						       .matches = call_outcome_matches };

/* Sends one request to the mock server and runs the loop until the call ends. The caller frees
 * the body, for instance with expect_outcome(). */
static struct call_outcome mock_server_send(struct mock_server *server, const char *scope,
					    const char *id, size_t body_len, uint64_t timeout_ms,
					    const char *request_id)
{
	struct call_outcome outcome = { .body = g_string_new(NULL),
					.id = id,
					.headers = server->headers };
	g_autofree char *body = g_strnfill(body_len, 'x');
	struct http_call_request req = { .address = server->address,
					 .scope = scope,
					 .method = body_len ? "POST" : "GET",
					 .path = "/x",
					 .body = body,
					 .body_len = body_len,
					 .timeout_ms = timeout_ms,
					 .id = request_id };

	http_call_start(server->client, &req, &call_outcome_ops, &outcome);
	for (uint32_t i = 0; !outcome.ended && i < LOOP_ITERATIONS_MAX; i++)
		uv_run(&server->loop, UV_RUN_ONCE);
	g_assert_true(outcome.ended);
	return outcome;
}

/* The same for a request without an id. */
static struct call_outcome mock_server_call(struct mock_server *server, const char *scope,
					    const char *id, size_t body_len, uint64_t timeout_ms)
{
	return mock_server_send(server, scope, id, body_len, timeout_ms, NULL);
}

struct paused_call {
	struct call_outcome outcome; /* must be first: it is the context of the other callbacks */
	struct http_call *call;
};

static void paused_call_on_data(void *ctx, const char *buf, size_t len)
{
	struct paused_call *paused = ctx;

	call_outcome_on_data(&paused->outcome, buf, len);
	http_call_pause(paused->call);
}

static void mock_server_run_for(struct mock_server *server, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i++) {
		uv_run(&server->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void expect_outcome(struct call_outcome outcome, enum http_call_result result,
			   const char *body)
{
	g_assert_cmpint((int)outcome.result, ==, (int)result);
	if (body)
		g_assert_cmpstr(outcome.body->str, ==, body);
	g_string_free(outcome.body, TRUE);
}

static void test_reuse(void)
{
	static const struct mock_response responses[] = { { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE } };
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, "one", NULL, 0, 2000), HTTP_CALL_OK, "hi");
	expect_outcome(mock_server_call(&server, "one", NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 1);
	/* another scope (incarnation) at the same address does not share the connection */
	expect_outcome(mock_server_call(&server, "two", NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

static void test_extra_data_in_response(void)
{
	static const struct mock_response responses[] = { { .bytes = OK_RESPONSE OK_RESPONSE },
							  { .bytes = OK_RESPONSE } };
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	g_assert_cmpuint(http_client_counts(server.client)->extra_data, ==, 1);
	mock_server_clear(&server);
}

static void test_extra_data_on_idle(void)
{
	static const struct mock_response responses[] = {
		{ .bytes = OK_RESPONSE, .later = OK_RESPONSE }, { .bytes = OK_RESPONSE }
	};
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	mock_server_run_for(&server, 30);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

/* The duplicate of an earlier response arrives before the response to the next request: it must
 * not be taken for that response. */
static void test_mismatched(void)
{
	static const struct mock_response responses[] = {
		{ .bytes = OK_RESPONSE },
		{ .bytes = OK_RESPONSE
		  "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\nyes" },
		{ .bytes = "HTTP/1.1 200 OK\r\nX-Id: c\r\nContent-Length: 1\r\n\r\nc" },
	};
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, "a", 0, 2000), HTTP_CALL_OK, "hi");
	expect_outcome(mock_server_call(&server, NULL, "b", 0, 2000), HTTP_CALL_OK, "yes");
	g_assert_cmpuint(server.connections, ==, 1);
	g_assert_cmpuint(http_client_counts(server.client)->mismatched, ==, 1);
	/* the connection is not reused */
	expect_outcome(mock_server_call(&server, NULL, "c", 0, 2000), HTTP_CALL_OK, "c");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

/* A request that is sent again keeps off the connection of its first sending, where a second copy
 * of the first response may still come. The connection stays in use for other requests. */
static void test_resend(void)
{
	static const struct mock_response responses[] = { { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE },
							  { .bytes = OK_RESPONSE } };
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	for (uint32_t sending = 0; sending < 2; sending++) {
		struct call_outcome outcome = mock_server_send(&server, NULL, "a", 0, 2000, "a");

		expect_outcome(outcome, HTTP_CALL_OK, "hi");
	}
	if (server.connections != 2) {
		g_test_message("violation: both sendings on %u connection", server.connections);
		g_test_fail();
		mock_server_clear(&server);
		return;
	}
	/* Another request takes the newest idle connection. A request that may not have that one
	 * takes the one before. */
	for (uint32_t sending = 0; sending < 2; sending++)
		expect_outcome(mock_server_send(&server, NULL, "a", 0, 2000, "b"), HTTP_CALL_OK,
			       "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	/* Now both have carried both. */
	expect_outcome(mock_server_send(&server, NULL, "a", 0, 2000, "b"), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 3);
	mock_server_clear(&server);
}

static void test_broken_responses(void)
{
	static const struct mock_response responses[] = {
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", .ending = MOCK_FIN },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nwhole", .ending = MOCK_FIN },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nhalf", .ending = MOCK_RESET },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nhalf", .ending = MOCK_FIN_THEN_RESET },
		{ .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		  .ending = MOCK_FIN },
		{ .bytes = "no answer at all\r\n\r\n" },
		{ .bytes = "", .ending = MOCK_RESET },
	};
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "whole");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, NULL);
	g_assert_cmpuint(server.connections, ==, G_N_ELEMENTS(responses));
	mock_server_clear(&server);
}

/* What follows the version in a status line. */
static const char *const invalid_statuses[] = {
	" 000 OK", " 0 OK",    " 9 OK",	   " 20 OK",	" 099 OK",	  " 99 OK",   " 600 OK",
	" 999 OK", " 1000 OK", " 2000 OK", " 0200 OK",	" 00000200 OK",	  " 099",     " 600",
	" OK",	   " abc OK",  " 2x0 OK",  " 20O OK",	" +200 OK",	  " -200 OK", " ",
	"",	   "  OK",     " 200x OK", " 65736 OK", " 4294967496 OK",
};
static const char *const valid_statuses[] = {
	" 200 OK", " 200", " 200 ", "  200 OK", " 599 Odd", " 299 0200", " 500 000",
};

/* A response with this status before which others may come on the connection. */
static char *status_response(const char *before, const char *status)
{
	return g_strdup_printf("%sHTTP/1.1%s\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nhi", before,
			       status);
}

#define FOREIGN_RESPONSE "HTTP/1.1 200 OK\r\nX-Id: z\r\nContent-Length: 3\r\n\r\nold"

/* Tells whether a response with an invalid status broke its call, and its connection was closed.
 * @param reused whether an idle connection is there for the call */
static bool is_status_refused(const char *text, bool reused)
{
	const struct mock_response responses[] = { { .bytes = OK_RESPONSE },
						   { .bytes = text },
						   { .bytes = OK_RESPONSE } };
	uint32_t first = reused ? 0 : 1;
	struct mock_server server;
	struct call_outcome outcome;
	bool refused;

	mock_server_init(&server, responses + first, G_N_ELEMENTS(responses) - first);
	if (reused)
		expect_outcome(mock_server_call(&server, NULL, "a", 0, 2000), HTTP_CALL_OK, "hi");
	outcome = mock_server_call(&server, NULL, "a", 0, 2000);
	refused = outcome.result == HTTP_CALL_BROKEN && outcome.sent && outcome.status == 0 &&
		  outcome.body->len == 0 && http_client_counts(server.client)->malformed == 1 &&
		  !http_client_has_idle(server.client, server.address, NULL);
	if (!refused)
		g_test_message("violation: result %d, status %u, '%s', %s connection",
			       (int)outcome.result, outcome.status, text,
			       reused ? "reused" : "fresh");
	expect_outcome(outcome, outcome.result, NULL);
	expect_outcome(mock_server_call(&server, NULL, "a", 0, 2000), HTTP_CALL_OK, "hi");
	refused = refused && server.connections == 2;
	mock_server_clear(&server);
	return refused;
}

/* Sends a response that is not valid; expects that nothing of it is passed on, and that its
 * connection is not used again. */
static void expect_invalid(const char *bytes)
{
	const struct mock_response responses[] = { { .bytes = bytes }, { .bytes = OK_RESPONSE } };
	struct mock_server server;
	struct call_outcome outcome;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	outcome = mock_server_call(&server, NULL, NULL, 0, 2000);
	if (outcome.result != HTTP_CALL_BROKEN)
		g_test_message("violation: result %d of '%s'", (int)outcome.result, bytes);
	expect_outcome(outcome, HTTP_CALL_BROKEN, "");
	g_assert_cmpuint(http_client_counts(server.client)->malformed, ==, 1);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

#define RESPONSE     "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD RESPONSE "Transfer-Encoding: chunked\r\n\r\n"

enum response_verdict {
	RESPONSE_INVALID, /* breaks its call and its connection */
	RESPONSE_CLOSED,  /* valid, but its connection is not used again */
	RESPONSE_KEPT,
};

struct response_case {
	const char *rule; /* section of RFC 9112, and what it is about */
	const char *bytes;
	const char *passed; /* headers and body that are passed on */
	enum response_verdict verdict;
};

static const struct response_case response_cases[] = {
	{ "2.2 line feeds alone", "HTTP/1.1 200 OK\nX: 1\nContent-Length: 2\n\nhi", "x=1;|hi",
	  RESPONSE_KEPT },
	{ "2.2 carriage return in a value", RESPONSE "X: a\rb\r\nContent-Length: 2\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "2.3 version 2", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "2.3 version with another name", "HxyP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "2.3 version 0.9", "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "5 no colon", RESPONSE "X\r\nContent-Length: 2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "5.2 folded line, may become a blank",
	  RESPONSE "X: a\r\n b\r\nContent-Length: 2\r\n\r\nhi", "x=a b;|hi", RESPONSE_KEPT },
	{ "6.1 both lengths",
	  RESPONSE "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
		   "2\r\nhi\r\n0\r\n\r\n",
	  "|", RESPONSE_INVALID },
	{ "6.1 unknown coding", RESPONSE "Transfer-Encoding: gzip\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "6.1 coding before chunked",
	  RESPONSE "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "6.1 coding before chunked, two lines",
	  RESPONSE "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
		   "2\r\nhi\r\n0\r\n\r\n",
	  "|", RESPONSE_INVALID },
	{ "6.1 chunked is not the last",
	  RESPONSE "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "7.1 chunked twice",
	  RESPONSE "Transfer-Encoding: chunked, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "6.1 coding with HTTP/1.0",
	  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "6.1 tab behind chunked, which http_parser does not know",
	  RESPONSE "Transfer-Encoding: chunked\t\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "6.1 coding in upper case",
	  RESPONSE "Transfer-Encoding: CHUNKED\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "|hi", RESPONSE_KEPT },
	{ "6.2 sign", RESPONSE "Content-Length: +2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 negative", RESPONSE "Content-Length: -2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 hexadecimal", RESPONSE "Content-Length: 0x2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 no digits", RESPONSE "Content-Length:\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 two numbers", RESPONSE "Content-Length: 2 2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 list", RESPONSE "Content-Length: 2, 2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "6.2 twice", RESPONSE "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "6.2 twice the same", RESPONSE "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "6.2 too large", RESPONSE "Content-Length: 99999999999999999999\r\n\r\nhi", "|",
	  RESPONSE_INVALID },
	{ "6.3 no body in 204, whatever it states", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\n",
	  "|", RESPONSE_KEPT },
	{ "6.3 no body in 304, whatever it states",
	  "HTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n", "|", RESPONSE_KEPT },
	{ "6.3 no body in 103, whatever it states",
	  "HTTP/1.1 103 Hints\r\nContent-Length: 9\r\n\r\n" RESPONSE "Content-Length: 2\r\n\r\nhi",
	  "|hi", RESPONSE_KEPT },
	{ "7.1 sign of a chunk", CHUNKED_HEAD "+2\r\nhi\r\n0\r\n\r\n", "|", RESPONSE_INVALID },
	{ "7.1 prefix of a chunk", CHUNKED_HEAD "0x2\r\nhi\r\n0\r\n\r\n", "|", RESPONSE_INVALID },
	{ "7.1 blank before a size", CHUNKED_HEAD " 2\r\nhi\r\n0\r\n\r\n", "|", RESPONSE_INVALID },
	{ "7.1 no size", CHUNKED_HEAD "\r\nhi\r\n0\r\n\r\n", "|", RESPONSE_INVALID },
	{ "7.1 blank behind a size, as before an extension", CHUNKED_HEAD "2 \r\nhi\r\n0\r\n\r\n",
	  "|hi", RESPONSE_KEPT },
	{ "7.1 byte beyond ASCII in a size", CHUNKED_HEAD "2\r\nhi\r\n0\xa7\r\n\r\n", "|hi",
	  RESPONSE_INVALID },
	{ "7.1 other bytes behind a blank", CHUNKED_HEAD "2 u\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "7.1 line feed behind a size", CHUNKED_HEAD "2\nhi\r\n0\r\n\r\n", "|", RESPONSE_INVALID },
	{ "7.1 size too large", CHUNKED_HEAD "fffffffffffffffff\r\nhi\r\n0\r\n\r\n", "|",
	  RESPONSE_INVALID },
	{ "7.1 chunk too long", CHUNKED_HEAD "2\r\nhiX\r\n0\r\n\r\n", "|hi", RESPONSE_INVALID },
	{ "2.2 another byte for the line feed of a status line",
	  "HTTP/1.1 200 OK\rXContent-Length: 2\r\n\r\nhi", "|", RESPONSE_INVALID },
	{ "2.2 another byte for the line feed at the end of a head",
	  RESPONSE "Content-Length: 2\r\n\rXhi", "|", RESPONSE_INVALID },
	{ "7.1 another byte for the line feed behind a size", CHUNKED_HEAD "2\rXhi\r\n0\r\n\r\n",
	  "|", RESPONSE_INVALID },
	{ "7.1 other bytes for the line end of a chunk", CHUNKED_HEAD "2\r\nhiXY0\r\n\r\n", "|hi",
	  RESPONSE_INVALID },
	{ "7.1 another byte for the last line feed", CHUNKED_HEAD "2\r\nhi\r\n0\r\n\rX", "|hi",
	  RESPONSE_INVALID },
	{ "7.1.1 line feed alone behind an extension", CHUNKED_HEAD "2\r\nhi\r\n0;a\nX: 1\r\n\r\n",
	  "|hi", RESPONSE_INVALID },
	{ "7.1.1 extension", CHUNKED_HEAD "2;a=b\r\nhi\r\n0\r\n\r\n", "|hi", RESPONSE_KEPT },
	{ "7.1.2 control character in a trailer", CHUNKED_HEAD "2\r\nhi\r\n0\r\nX:\x01\r\n\r\n",
	  "|hi", RESPONSE_INVALID },
	{ "7.1.2 blank in the name of a trailer", CHUNKED_HEAD "2\r\nhi\r\n0\r\nX : 1\r\n\r\n",
	  "|hi", RESPONSE_INVALID },
	{ "7.1.2 trailer", CHUNKED_HEAD "2\r\nhi\r\n0\r\nX: 1\r\n\r\n", "|hi", RESPONSE_KEPT },
	{ "9.3 bytes after the end", RESPONSE "Content-Length: 2\r\n\r\nhiX", "|hi",
	  RESPONSE_CLOSED },
	{ "7.6.1 of RFC 9110, fields named by two Connection",
	  RESPONSE "Connection: x\r\nConnection: y\r\nX: 1\r\nY: 2\r\nZ: 3\r\n"
		   "Content-Length: 2\r\n\r\nhi",
	  "z=3;|hi", RESPONSE_KEPT },
};

/* Plays a case. @return whether what is passed on, and whether the connection is kept, is right */
static bool play_response_case(const struct response_case *c)
{
	const struct mock_response responses[] = { { .bytes = c->bytes },
						   { .bytes = OK_RESPONSE } };
	g_autoptr(GString) headers = g_string_new(NULL);
	g_autofree char *passed = NULL;
	struct mock_server server;
	struct call_outcome outcome;
	enum response_verdict verdict;
	bool right;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	server.headers = headers;
	outcome = mock_server_call(&server, NULL, NULL, 0, 2000);
	passed = g_strdup_printf("%s|%s", headers->str, outcome.body->str);
	g_string_free(outcome.body, TRUE);
	server.headers = NULL;
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	verdict = server.connections == 1 ? RESPONSE_KEPT : RESPONSE_CLOSED;
	if (verdict == RESPONSE_CLOSED && outcome.result == HTTP_CALL_BROKEN)
		verdict = RESPONSE_INVALID;
	right = verdict == c->verdict && strcmp(passed, c->passed) == 0 &&
		http_client_counts(server.client)->malformed == (verdict == RESPONSE_INVALID);
	if (!right)
		g_test_message("violation: %s: verdict %d, passed on '%s', %u connections", c->rule,
			       (int)verdict, passed, server.connections);
	mock_server_clear(&server);
	return right;
}

/* Every rule of RFC 9112 on the framing of responses: docs/design/framing.md. An invalid one breaks
 * its call, whatever part of its body had been passed on. */
static void test_response_framing(void)
{
	uint32_t failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(response_cases); i++)
		failed += !play_response_case(&response_cases[i]);
	g_assert_cmpuint(failed, ==, 0);
}

/* A NUL at the begin of a value would end it for the gateway and not for others. */
static void test_response_nul(void)
{
	static const char bytes[] = RESPONSE "X:\0b\r\nContent-Length: 2\r\n\r\nhi";
	const struct mock_response responses[] = { { .bytes = bytes, .len = sizeof(bytes) - 1 },
						   { .bytes = OK_RESPONSE } };
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_BROKEN, "");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

/* review/10: a header whose name is invalid is passed on beside a length of our own. */
static void test_field_names(void)
{
	static const char *const invalid[] = {
		"Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"Content-Length : 2\r\n\r\nhi",
		"Content-Length\t: 2\r\n\r\nhi",
		"X Y: 1\r\nContent-Length: 2\r\n\r\nhi",
		" X: 1\r\nContent-Length: 2\r\n\r\nhi",
		"Content-Length: 2\r\nX : 1\r\n\r\nhi",
		"Content-Length: 2\r\n: 1\r\n\r\nhi",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autofree char *bytes = g_strdup_printf("HTTP/1.1 200 OK\r\n%s", invalid[i]);

		expect_invalid(bytes);
	}
}

/* A response with an invalid status is not taken for an answer: alone, after an interim one, after
 * an empty line and after one to another call. */
static void test_invalid_status(void)
{
	static const char *const before[] = { "", "HTTP/1.1 100 Continue\r\n\r\n", "\r\n",
					      FOREIGN_RESPONSE };
	uint32_t accepted = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid_statuses) * G_N_ELEMENTS(before); i++) {
		g_autofree char *text = status_response(before[i % G_N_ELEMENTS(before)],
							invalid_statuses[i / G_N_ELEMENTS(before)]);

		accepted += !is_status_refused(text, false);
		accepted += !is_status_refused(text, true);
	}
	/* Not an assertion: the tests of defects must not end by an abort. */
	if (accepted > 0)
		g_test_fail();
}

/* The status is checked also when its bytes arrive apart, and a valid one is not refused. */
static void test_split_status(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_statuses) + G_N_ELEMENTS(valid_statuses); i++) {
		bool valid = i >= G_N_ELEMENTS(invalid_statuses);
		const char *status = valid ? valid_statuses[i - G_N_ELEMENTS(invalid_statuses)]
					   : invalid_statuses[i];
		g_autofree char *text = status_response("", status);

		for (size_t at = 1; at < strlen("HTTP/1.1") + strlen(status) + 2; at++) {
			g_autofree char *begin = g_strndup(text, at);
			struct mock_response response = { .bytes = begin, .later = text + at };
			struct mock_server server;

			mock_server_init(&server, &response, 1);
			expect_outcome(mock_server_call(&server, NULL, "a", 0, 2000),
				       valid ? HTTP_CALL_OK : HTTP_CALL_BROKEN, valid ? "hi" : "");
			mock_server_clear(&server);
		}
	}
}

/* The server responds before it has read the body. The connection must not be reused, since
 * the rest of the body is still being written to it. */
static void test_early_response(void)
{
	static const struct mock_response responses[] = { { .bytes = OK_RESPONSE, .early = true },
							  { .bytes = OK_RESPONSE } };
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 16U << 20, 4000), HTTP_CALL_OK, "hi");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 2);
	mock_server_clear(&server);
}

static void test_connect_failed(void)
{
	static const struct mock_response responses[] = { { .bytes = OK_RESPONSE } };
	struct mock_server server;
	struct call_outcome outcome;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	g_snprintf(server.address, sizeof(server.address), "127.0.0.1:1");
	outcome = mock_server_call(&server, NULL, NULL, 0, 2000);
	g_assert_false(outcome.sent);
	expect_outcome(outcome, HTTP_CALL_CONNECT_FAILED, NULL);
	mock_server_clear(&server);
}

static void test_timeout(void)
{
	static const struct mock_response responses[] = { { .bytes = "" } };
	struct mock_server server;
	struct call_outcome outcome;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	outcome = mock_server_call(&server, NULL, NULL, 0, 50);
	g_assert_true(outcome.sent);
	expect_outcome(outcome, HTTP_CALL_TIMEOUT, NULL);
	mock_server_clear(&server);
}

static void test_keep_alive(void)
{
	static const struct mock_response responses[] = {
		{ .bytes =
			  "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n" },
		{ .bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" },
		{ .bytes = OK_RESPONSE },
	};
	struct mock_server server;

	mock_server_init(&server, responses, G_N_ELEMENTS(responses));
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "");
	mock_server_run_for(&server, 3);
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "hi");
	g_assert_cmpuint(server.connections, ==, 3);
	mock_server_clear(&server);
}

/* The HTTP server under test and what its handler received. */
struct server_fixture {
	uv_loop_t loop;
	struct http_server *srv;
	uint32_t requests;
	GString *targets;   /* "METHOD target;" of each request */
	GString *headers;   /* "name=value;" of each header, and "|" after each request */
	bool hold_requests; /* the handler does not answer */
	struct http_req *held_req;
	bool disconnected;
};

static void server_fixture_on_disconnect(void *ctx)
{
	struct server_fixture *server = ctx;

	server->disconnected = true;
	server->held_req = NULL;
}

static void server_fixture_add_header(void *ctx, const char *name, const char *value)
{
	g_string_append_printf(ctx, "%s=%s;", name, value);
}

static void server_fixture_on_request(void *ctx, struct http_req *req)
{
	struct server_fixture *server = ctx;

	server->requests++;
	g_string_append_printf(server->targets, "%s %s;", http_req_method(req),
			       http_req_target(req));
	http_req_each_header(req, server_fixture_add_header, server->headers);
	g_string_append_printf(server->headers, "host=%s|", http_req_host(req));
	if (server->hold_requests) {
		server->held_req = req;
		http_req_set_callbacks(req, server_fixture_on_disconnect, NULL, server);
		return;
	}
	http_req_reply(req, 200, NULL, "ok", 2);
}

static void server_fixture_init(struct server_fixture *server)
{
	struct http_server_conf conf = { .address = "127.0.0.1",
					 .max_body_bytes = 1000,
					 .limits = { .max_header_bytes = 2000,
						     .header_timeout_ms = 400,
						     .idle_timeout_ms = 60000 } };

	memset(server, 0, sizeof(*server));
	server->targets = g_string_new(NULL);
	server->headers = g_string_new(NULL);
	uv_loop_init(&server->loop);
	server->srv =
		http_server_create(&server->loop, &conf, server_fixture_on_request, server, NULL);
	g_assert_nonnull(server->srv);
}

static void server_fixture_clear(struct server_fixture *server)
{
	http_server_destroy(server->srv);
	while (uv_run(&server->loop, UV_RUN_NOWAIT))
		;
	g_assert_cmpint(uv_loop_close(&server->loop), ==, 0);
	g_string_free(server->targets, TRUE);
	g_string_free(server->headers, TRUE);
}

static int server_fixture_connect(struct server_fixture *server)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(http_server_port(server->srv)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	return fd;
}

/* Sends bytes and returns what comes back until the server closes, or sends nothing for 40
 * rounds (20 ms). */
static char *server_fixture_exchange(struct server_fixture *server, int fd, const char *bytes,
				     bool *closed)
{
	GString *received = g_string_new(NULL);
	uint32_t idle_rounds = 0;
	char buf[4096];

	*closed = false;
	g_assert_cmpint(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==, (int)strlen(bytes));
	while (idle_rounds < 40 && !*closed) {
		ssize_t count;

		uv_run(&server->loop, UV_RUN_NOWAIT);
		count = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (count > 0)
			g_string_append_len(received, buf, count);
		else if (count == 0)
			*closed = true;
		idle_rounds = count > 0 ? 0 : idle_rounds + 1;
		g_usleep(500);
	}
	return g_string_free(received, FALSE);
}

/* Sends a malformed message; expects this status line, a close, and no call of the handler. */
static void expect_refused(const char *bytes, const char *status)
{
	struct server_fixture server;
	g_autofree char *response = NULL;
	bool closed;
	int fd;

	server_fixture_init(&server);
	fd = server_fixture_connect(&server);
	response = server_fixture_exchange(&server, fd, bytes, &closed);
	if (!g_str_has_prefix(response, status))
		g_error("%.40s instead of %s for: %.200s", response, status, bytes);
	g_assert_true(closed);
	g_assert_cmpuint(server.requests, ==, 0);
	close(fd);
	server_fixture_clear(&server);
}

static void test_bad_requests(void)
{
	g_autofree char *large = g_strnfill(3000, 'a');
	g_autofree char *head =
		g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", large);

	expect_refused(
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n",
		"HTTP/1.1 400");
	expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: "
		       "6\r\n\r\nhello!",
		       "HTTP/1.1 400");
	expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello",
		       "HTTP/1.1 400");
	expect_refused(
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 400");
	expect_refused("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "HTTP/1.1 400");
	expect_refused("GET /a HTTP/1.1\r\n\r\n", "HTTP/1.1 400");
	expect_refused("nonsense\r\n\r\n", "HTTP/1.1 400");
	expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n",
		       "HTTP/1.1 413");
	expect_refused(head, "HTTP/1.1 431");
}

#define POST_HEAD "POST /a HTTP/1.1\r\nHost: h\r\n"
#define NEXT	  "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
#define CHUNKED	  POST_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* A message and what becomes of it: refused with a status and a close, or passed on. */
struct framing_case {
	const char *rule; /* section of RFC 9112, and what it is about */
	const char *bytes;
	const char *status; /* with which it is refused; NULL when it is passed on */
	const char *passed; /* targets and headers of what is passed on */
};

static const struct framing_case request_cases[] = {
	{ "2.2 empty line ahead", "\r\n" NEXT, NULL, "GET /next;host=h|" },
	{ "2.2 line feeds alone", "GET /a HTTP/1.1\nHost: h\n\n" NEXT, NULL,
	  "GET /a;GET /next;host=h|host=h|" },
	{ "2.2 carriage return in a value", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n" NEXT,
	  "400", NULL },
	{ "2.2 blank before the first field", "GET /a HTTP/1.1\r\n X: a\r\nHost: h\r\n\r\n" NEXT,
	  "400", NULL },
	{ "2.3 version 2", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n", "400", NULL },
	{ "2.3 version with two digits", "GET /a HTTP/1.10\r\nHost: h\r\n\r\n", "400", NULL },
	{ "2.3 version in lower case", "GET /a http/1.1\r\nHost: h\r\n\r\n", "400", NULL },
	{ "2.3 version with another name", "GET /a HxyP/1.1\r\nHost: h\r\n\r\n", "400", NULL },
	{ "2.3 version with a letter in lower case", "\r\nGET /a HTTp/1.1\r\nHost: h\r\n\r\n",
	  "400", NULL },
	{ "3 no version", "GET /a\r\nHost: h\r\n\r\n", "400", NULL },
	{ "3 two blanks, may be read as one", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n" NEXT, NULL,
	  "GET /a;GET /next;host=h|host=h|" },
	{ "3.1 unknown method", "GETX /a HTTP/1.1\r\nHost: h\r\n\r\n", "400", NULL },
	{ "3.2 two Host", "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", "400", NULL },
	{ "3.2 no Host", "GET /a HTTP/1.1\r\nX: 1\r\n\r\n", "400", NULL },
	{ "3.2.3 CONNECT", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "400", NULL },
	{ "5 no colon", "GET /a HTTP/1.1\r\nHost: h\r\nX\r\n\r\n", "400", NULL },
	{ "5 no name", "GET /a HTTP/1.1\r\nHost: h\r\n: 1\r\n\r\n", "400", NULL },
	{ "5.1 blank before the colon", "GET /a HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n", "400",
	  NULL },
	{ "5.1 tab before the colon", "GET /a HTTP/1.1\r\nHost: h\r\nX\t: 1\r\n\r\n", "400", NULL },
	{ "5.2 folded line, may become a blank",
	  "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n" NEXT, NULL,
	  "GET /a;GET /next;x=a b;host=h|host=h|" },
	{ "6.1 both lengths",
	  POST_HEAD "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" NEXT, "400",
	  NULL },
	{ "6.1 unknown coding", POST_HEAD "Transfer-Encoding: gzip\r\n\r\n" NEXT, "400", NULL },
	{ "6.1 coding before chunked",
	  POST_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "6.1 coding before chunked, two lines",
	  POST_HEAD "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" NEXT,
	  "400", NULL },
	{ "6.1 chunked is not the last",
	  POST_HEAD "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 chunked twice",
	  POST_HEAD "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "6.1 coding with HTTP/1.0",
	  "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400",
	  NULL },
	{ "6.1 coding in upper case", POST_HEAD "Transfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n" NEXT,
	  NULL, "POST /a;GET /next;host=h|host=h|" },
	{ "6.2 sign", POST_HEAD "Content-Length: +5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 negative", POST_HEAD "Content-Length: -5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 hexadecimal", POST_HEAD "Content-Length: 0x5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 no digits", POST_HEAD "Content-Length:\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 two numbers", POST_HEAD "Content-Length: 5 5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 list", POST_HEAD "Content-Length: 5, 5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 twice the same",
	  POST_HEAD "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" NEXT, "400", NULL },
	{ "6.2 too large", POST_HEAD "Content-Length: 99999999999999999999\r\n\r\n" NEXT, "400",
	  NULL },
	{ "7.1 sign of a chunk", CHUNKED "+5\r\nhello\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 prefix of a chunk", CHUNKED "0x5\r\nhello\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 blank before a size", CHUNKED " 5\r\nhello\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 blank behind a size, as before an extension",
	  CHUNKED "5 \r\nhello\r\n0\r\n\r\n" NEXT, NULL, "POST /a;GET /next;host=h|host=h|" },
	{ "7.1 byte beyond ASCII in a size", CHUNKED "0\xa7\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 other bytes behind a blank", CHUNKED "5 u\r\nhello\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1.1 line feed alone behind an extension", CHUNKED "0;a\nX: 1\r\n\r\n" NEXT, "400",
	  NULL },
	{ "7.1.1 control character in an extension", CHUNKED "5;\x01\r\nhello\r\n0\r\n\r\n" NEXT,
	  "400", NULL },
	{ "7.1 line feed behind a size", CHUNKED "5\nhello\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "2.2 another byte for the line feed at the end of a head",
	  "GET /a HTTP/1.1\r\nHost: h\r\n\rX" NEXT, "400", NULL },
	{ "7.1 another byte for the line feed behind a size", CHUNKED "5\rXhello\r\n0\r\n\r\n" NEXT,
	  "400", NULL },
	{ "7.1 other bytes for the line end of a chunk", CHUNKED "5\r\nhelloXY0\r\n\r\n" NEXT,
	  "400", NULL },
	{ "7.1 another byte for the line feed of a chunk", CHUNKED "5\r\nhello\rX0\r\n\r\n" NEXT,
	  "400", NULL },
	{ "7.1 another byte for the last line feed", CHUNKED "0\r\n\rX" NEXT, "400", NULL },
	{ "7.1 chunk too long", CHUNKED "5\r\nhelloX\r\n0\r\n\r\n" NEXT, "400", NULL },
	{ "7.1 size too large", CHUNKED "fffffffffffffffff\r\nhello\r\n0\r\n\r\n" NEXT, "400",
	  NULL },
	{ "7.1.1 extension", CHUNKED "5;a=b\r\nhello\r\n0\r\n\r\n" NEXT, NULL,
	  "POST /a;GET /next;host=h|host=h|" },
	{ "7.1.2 control character in a trailer", CHUNKED "0\r\nX:\x01\r\n\r\n" NEXT, "400", NULL },
	{ "7.1.2 trailer", CHUNKED "0\r\nX: 1\r\n\r\n" NEXT, NULL,
	  "POST /a;GET /next;host=h|host=h|" },
	{ "7.6.1 of RFC 9110, fields named by two Connection",
	  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x\r\nConnection: y\r\nX: 1\r\nY: 2\r\n"
	  "Z: 3\r\n\r\n" NEXT,
	  NULL, "GET /a;GET /next;z=3;host=h|host=h|" },
};

/* Every rule of RFC 9112 on the framing of requests: docs/design/framing.md. */
static void test_request_framing(void)
{
	uint32_t failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const struct framing_case *c = &request_cases[i];
		g_autofree char *refusal = g_strdup_printf("HTTP/1.1 %s ", c->status);
		g_autofree char *response = NULL;
		g_autofree char *passed = NULL;
		struct server_fixture server;
		bool closed;
		bool right;
		int fd;

		server_fixture_init(&server);
		fd = server_fixture_connect(&server);
		response = server_fixture_exchange(&server, fd, c->bytes, &closed);
		passed = g_strconcat(server.targets->str, server.headers->str, NULL);
		right = c->status ? g_str_has_prefix(response, refusal) && closed && !*passed
				  : strcmp(passed, c->passed) == 0;
		if (!right)
			g_test_message("violation: %s: passed on '%s', answered '%.12s', closed %d",
				       c->rule, passed, response, closed);
		failed += !right;
		close(fd);
		server_fixture_clear(&server);
	}
	g_assert_cmpuint(failed, ==, 0);
}

/* A NUL at the begin of a value would end it for the gateway and not for others. */
static void test_request_nul(void)
{
	static const char begin[] = "GET /a HTTP/1.1\r\nHost: h\r\nX:\0b";
	struct server_fixture server;
	g_autofree char *response = NULL;
	bool closed;
	int fd;

	server_fixture_init(&server);
	fd = server_fixture_connect(&server);
	g_assert_cmpint(send(fd, begin, sizeof(begin) - 1, 0), ==, sizeof(begin) - 1);
	response = server_fixture_exchange(&server, fd, "\r\n\r\n", &closed);
	g_assert_true(g_str_has_prefix(response, "HTTP/1.1 400"));
	g_assert_true(closed);
	g_assert_cmpuint(server.requests, ==, 0);
	close(fd);
	server_fixture_clear(&server);
}

static void test_pipelined(void)
{
	struct server_fixture server;
	g_autofree char *response = NULL;
	bool closed;
	int fd;

	server_fixture_init(&server);
	fd = server_fixture_connect(&server);
	response = server_fixture_exchange(
		&server, fd,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nhello\r\n0\r\n\r\nGET /b?c=1 HTTP/1.1\r\nHost: h\r\n\r\n",
		&closed);
	g_assert_cmpstr(server.targets->str, ==, "POST /a;GET /b?c=1;");
	g_assert_false(closed);
	g_assert_nonnull(strstr(response, "ok"));
	close(fd);
	server_fixture_clear(&server);
}

/* review/9: a trailer field becomes a part of the next request on the connection, or of its own. */
static void test_trailers(void)
{
	static const char *const trailers[] = {
		"",
		"X-Checksum: 1\r\n",
		"X-Checksum: 1\r\nX-Model: other\r\n",
		"Host: evil\r\nX-Last: 1\r\n",
		"Content-Length: 3\r\nX-Last: 1\r\n",
		"X-Empty:\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(trailers); i++) {
		struct server_fixture server;
		g_autofree char *bytes = g_strdup_printf(
			"POST /a HTTP/1.1\r\nHost: h\r\nX-Model: m\r\n"
			"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n"
			"GET /b HTTP/1.1\r\nX-Model: n\r\nHost: i\r\n\r\n",
			trailers[i]);
		g_autofree char *response = NULL;
		bool closed;
		int fd;

		server_fixture_init(&server);
		fd = server_fixture_connect(&server);
		response = server_fixture_exchange(&server, fd, bytes, &closed);
		g_assert_cmpstr(server.targets->str, ==, "POST /a;GET /b;");
		g_assert_cmpstr(server.headers->str, ==, "x-model=m;host=h|x-model=n;host=i|");
		g_assert_false(closed);
		close(fd);
		server_fixture_clear(&server);
	}
	expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "0\r\nX Y: 1\r\n\r\n",
		       "HTTP/1.1 400");
}

static void test_expect_continue(void)
{
	struct server_fixture server;
	g_autofree char *response = NULL;
	g_autofree char *rest = NULL;
	bool closed;
	int fd;

	server_fixture_init(&server);
	fd = server_fixture_connect(&server);
	response = server_fixture_exchange(&server, fd,
					   "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
					   "Content-Length: 2\r\n\r\n",
					   &closed);
	g_assert_cmpstr(response, ==, "HTTP/1.1 100 Continue\r\n\r\n");
	rest = server_fixture_exchange(&server, fd, "hi", &closed);
	g_assert_true(g_str_has_prefix(rest, "HTTP/1.1 200"));
	close(fd);
	server_fixture_clear(&server);
}

/* The handler is notified when the client disconnects while its request is being handled. */
static void test_disconnect(void)
{
	struct server_fixture server;
	g_autofree char *response = NULL;
	bool closed;
	int fd;

	server_fixture_init(&server);
	server.hold_requests = true;
	fd = server_fixture_connect(&server);
	response =
		server_fixture_exchange(&server, fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", &closed);
	g_assert_nonnull(server.held_req);
	close(fd);
	for (uint32_t i = 0; !server.disconnected && i < 1000; i++) {
		uv_run(&server.loop, UV_RUN_NOWAIT);
		g_usleep(200);
	}
	g_assert_true(server.disconnected);
	server_fixture_clear(&server);
}

static void test_header_timeout(void)
{
	struct server_fixture server;
	g_autofree char *part = NULL;
	g_autofree char *response = NULL;
	bool closed = false;
	int fd;

	server_fixture_init(&server);
	fd = server_fixture_connect(&server);
	part = server_fixture_exchange(&server, fd, "GET /a HTTP/1.1\r\nHo", &closed);
	for (uint32_t i = 0; !closed && i < 100; i++) {
		g_autofree char *more = server_fixture_exchange(&server, fd, "", &closed);

		if (*more && !response)
			response = g_steal_pointer(&more);
	}
	g_assert_true(closed);
	g_assert_nonnull(response);
	g_assert_true(g_str_has_prefix(response, "HTTP/1.1 408"));
	g_assert_cmpuint(server.requests, ==, 0);
	close(fd);
	server_fixture_clear(&server);
}

/* A call that is paused when its last bytes arrive leaves a connection that the next call can use.
 */
static void test_paused_reuse(void)
{
	static const struct http_call_ops paused_ops = { .head = call_outcome_on_head,
							 .data = paused_call_on_data,
							 .end = call_outcome_on_end };
	static const struct mock_response responses[] = {
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none" },
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo" }
	};
	struct mock_server server;
	struct paused_call paused = { .outcome = { .body = g_string_new(NULL) } };
	struct http_call_request req = {
		.address = server.address, .method = "GET", .path = "/x", .timeout_ms = 2000
	};

	mock_server_init(&server, responses, 2);
	paused.call = http_call_start(server.client, &req, &paused_ops, &paused);
	for (uint32_t i = 0; !paused.outcome.ended && i < LOOP_ITERATIONS_MAX; i++)
		uv_run(&server.loop, UV_RUN_ONCE);
	expect_outcome(paused.outcome, HTTP_CALL_OK, "one");
	expect_outcome(mock_server_call(&server, NULL, NULL, 0, 2000), HTTP_CALL_OK, "two");
	g_assert_cmpuint(server.connections, ==, 1);
	mock_server_clear(&server);
}

struct fetched {
	bool ended;
	enum http_call_result result;
	size_t len;
};

static void fetched_on_response(void *ctx, const struct fetch_response *response)
{
	struct fetched *fetched = ctx;

	fetched->ended = true;
	fetched->result = response->result;
	fetched->len = response->body_len;
}

/* A body beyond the limit ends the request at once; the rest of it is not awaited. */
static void test_fetch_limit(void)
{
	static const struct mock_response responses[] = {
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\n0123456789abcdef" }
	};
	struct mock_server server;
	struct fetched fetched = { 0 };
	struct http_call_request req = {
		.address = server.address, .method = "GET", .path = "/x", .timeout_ms = 600000
	};

	mock_server_init(&server, responses, 1);
	fetch_start(server.client, &req, 8, NULL, fetched_on_response, &fetched);
	for (uint32_t i = 0; !fetched.ended && i < 100; i++)
		mock_server_run_for(&server, 10);
	g_assert_true(fetched.ended);
	g_assert_cmpint((int)fetched.result, ==, HTTP_CALL_BROKEN);
	g_assert_cmpuint(fetched.len, <=, 8);
	mock_server_clear(&server);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/client/reuse", test_reuse);
	g_test_add_func("/http/client/trailing", test_extra_data_in_response);
	g_test_add_func("/http/client/late-extra", test_extra_data_on_idle);
	g_test_add_func("/http/client/disowned", test_mismatched);
	g_test_add_func("/http/client/resend", test_resend);
	g_test_add_func("/http/client/broken", test_broken_responses);
	g_test_add_func("/http/client/field-names", test_field_names);
	g_test_add_func("/http/client/framing-table", test_response_framing);
	g_test_add_func("/http/client/nul", test_response_nul);
	g_test_add_func("/http/client/invalid-status", test_invalid_status);
	g_test_add_func("/http/client/split-status", test_split_status);
	g_test_add_func("/http/client/early", test_early_response);
	g_test_add_func("/http/client/not-sent", test_connect_failed);
	g_test_add_func("/http/client/silence", test_timeout);
	g_test_add_func("/http/client/keep-alive", test_keep_alive);
	g_test_add_func("/http/client/paused-reuse", test_paused_reuse);
	g_test_add_func("/http/fetch/limit", test_fetch_limit);
	g_test_add_func("/http/server/framing", test_bad_requests);
	g_test_add_func("/http/server/pipelined", test_pipelined);
	g_test_add_func("/http/server/trailers", test_trailers);
	g_test_add_func("/http/server/framing-table", test_request_framing);
	g_test_add_func("/http/server/nul", test_request_nul);
	g_test_add_func("/http/server/continue", test_expect_continue);
	g_test_add_func("/http/server/gone", test_disconnect);
	g_test_add_func("/http/server/slow-head", test_header_timeout);
	return g_test_run();
}
