/**
 * @file test_http.c
 * The HTTP client against a server that misbehaves, and the HTTP server
 * against clients that do. The other end is a script of raw bytes.
 */
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

#define ROUNDS_MAX 20000
#define OK_ANSWER  "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nhi"

/* How a scripted server ends a connection after its bytes. */
enum ending {
	END_NONE,
	END_FIN,
	END_RESET,
	END_FIN_RESET,
};

/* A server that answers the n-th request with the n-th step. */
struct step {
	const char *bytes;
	enum ending ending;
	const char *later; /* sent once the bytes were taken, on the same connection */
	bool early;	   /* does not wait for the request's body */
};

struct script {
	uv_loop_t loop;
	uv_tcp_t listener;
	struct hcli *cli;
	char address[32];
	const struct step *steps;
	uint32_t step_count;
	uint32_t served;
	uint32_t connections;
	GString *seen; /* request heads */
};

struct peer {
	uv_tcp_t tcp;
	uv_write_t write;
	uv_timer_t timer;
	struct script *script;
	GString *in;
	const struct step *step;
};

/* What a call ended with. */
struct outcome {
	bool ended;
	enum hcall_result result;
	bool sent;
	uint16_t status;
	GString *body;
	const char *id; /* owned answers only, when set */
};

static void peer_on_closed(uv_handle_t *handle)
{
	struct peer *peer = handle->data;

	g_string_free(peer->in, TRUE);
	g_free(peer);
}

static void peer_close_timer(uv_handle_t *handle)
{
	struct peer *peer = handle->data;

	uv_close((uv_handle_t *)&peer->timer, peer_on_closed);
}

static void peer_close(struct peer *peer)
{
	if (!uv_is_closing((uv_handle_t *)&peer->tcp))
		uv_close((uv_handle_t *)&peer->tcp, peer_close_timer);
}

static void peer_end(struct peer *peer)
{
	struct linger linger = { .l_onoff = 1 };
	uv_os_fd_t fd;

	if (peer->step->ending == END_NONE)
		return;
	g_assert_cmpint(uv_fileno((uv_handle_t *)&peer->tcp, &fd), ==, 0);
	if (peer->step->ending == END_FIN_RESET)
		shutdown(fd, SHUT_WR);
	if (peer->step->ending != END_FIN)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	peer_close(peer);
}

static void peer_on_later(uv_timer_t *timer)
{
	struct peer *peer = timer->data;
	uv_buf_t buf = uv_buf_init((char *)peer->step->later, (unsigned)strlen(peer->step->later));

	uv_try_write((uv_stream_t *)&peer->tcp, &buf, 1);
}

static void peer_on_written(uv_write_t *write, int status)
{
	struct peer *peer = write->data;

	if (status != 0 || uv_is_closing((uv_handle_t *)&peer->tcp))
		return;
	if (peer->step->later)
		uv_timer_start(&peer->timer, peer_on_later, 5, 0);
	peer_end(peer);
}

static bool peer_has_request(const struct peer *peer, const struct step *step)
{
	const char *end = strstr(peer->in->str, "\r\n\r\n");
	const char *length = strstr(peer->in->str, "Content-Length: ");
	size_t need = length ? strtoul(length + 16, NULL, 10) : 0;

	if (!end)
		return false;
	return step->early || strlen(end + 4) >= need;
}

static void peer_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct peer *peer = stream->data;
	struct script *script = peer->script;
	const struct step *step;
	uv_buf_t out;

	if (count > 0)
		g_string_append_len(peer->in, buf->base, count);
	g_free(buf->base);
	if (count < 0) {
		peer_close(peer);
		return;
	}
	g_assert_cmpuint(script->served, <, script->step_count);
	step = &script->steps[script->served];
	if (!peer_has_request(peer, step))
		return;
	script->served++;
	g_string_append_len(script->seen, peer->in->str, (gssize)peer->in->len);
	g_string_truncate(peer->in, 0);
	peer->step = step;
	out = uv_buf_init((char *)step->bytes, (unsigned)strlen(step->bytes));
	peer->write.data = peer;
	uv_write(&peer->write, stream, &out, 1, peer_on_written);
	if (step->early)
		uv_read_stop(stream);
}

static void peer_on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void script_on_connection(uv_stream_t *listener, int status)
{
	struct script *script = listener->data;
	struct peer *peer = g_new0(struct peer, 1);

	g_assert_cmpint(status, ==, 0);
	script->connections++;
	peer->script = script;
	peer->in = g_string_new(NULL);
	uv_tcp_init(&script->loop, &peer->tcp);
	uv_timer_init(&script->loop, &peer->timer);
	peer->tcp.data = peer;
	peer->timer.data = peer;
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&peer->tcp), ==, 0);
	uv_read_start((uv_stream_t *)&peer->tcp, peer_on_alloc, peer_on_read);
}

static void script_init(struct script *script, const struct step *steps, uint32_t count)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	memset(script, 0, sizeof(*script));
	script->steps = steps;
	script->step_count = count;
	script->seen = g_string_new(NULL);
	uv_loop_init(&script->loop);
	uv_tcp_init(&script->loop, &script->listener);
	script->listener.data = script;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&script->listener, (struct sockaddr *)&addr, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&script->listener, 16, script_on_connection), ==,
			0);
	uv_tcp_getsockname(&script->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(script->address, sizeof(script->address), "127.0.0.1:%u", ntohs(addr.sin_port));
	script->cli = hcli_create(&script->loop);
}

static void script_close_all(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle) && handle->type == UV_TCP && handle->data)
		peer_close(handle->data);
}

static void script_clear(struct script *script)
{
	hcli_destroy(script->cli);
	uv_close((uv_handle_t *)&script->listener, NULL);
	uv_run(&script->loop, UV_RUN_NOWAIT);
	uv_walk(&script->loop, script_close_all, NULL);
	while (uv_run(&script->loop, UV_RUN_NOWAIT))
		;
	g_assert_cmpint(uv_loop_close(&script->loop), ==, 0);
	g_string_free(script->seen, TRUE);
}

static void outcome_on_head(void *ctx, const struct hcall_head *head)
{
	struct outcome *out = ctx;

	out->status = hcall_head_status(head);
}

static void outcome_on_data(void *ctx, const char *buf, size_t len)
{
	struct outcome *out = ctx;

	g_string_append_len(out->body, buf, (gssize)len);
}

static void outcome_on_end(void *ctx, enum hcall_result result, bool sent)
{
	struct outcome *out = ctx;

	out->ended = true;
	out->result = result;
	out->sent = sent;
}

static bool outcome_owns(void *ctx, const struct hcall_head *head)
{
	const struct outcome *out = ctx;
	g_autofree char *id = hcall_head_get(head, "x-id");

	return !out->id || g_strcmp0(id, out->id) == 0;
}

static const struct hcall_ops outcome_ops = { .head = outcome_on_head,
					      .data = outcome_on_data,
					      .end = outcome_on_end,
					      .owns = outcome_owns };

/* Makes one call and runs the loop until it ended. */
static struct outcome script_call(struct script *script, const char *scope, const char *id,
				  size_t body_len, uint64_t timeout_ms)
{
	struct outcome out = { .body = g_string_new(NULL), .id = id };
	g_autofree char *body = g_strnfill(body_len, 'x');
	struct hcall_req req = { .address = script->address,
				 .scope = scope,
				 .method = body_len ? "POST" : "GET",
				 .path = "/x",
				 .body = body,
				 .body_len = body_len,
				 .timeout_ms = timeout_ms };

	hcli_call(script->cli, &req, &outcome_ops, &out);
	for (uint32_t i = 0; !out.ended && i < ROUNDS_MAX; i++)
		uv_run(&script->loop, UV_RUN_ONCE);
	g_assert_true(out.ended);
	return out;
}

static void script_settle(struct script *script, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i++) {
		uv_run(&script->loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
}

static void expect(struct outcome out, enum hcall_result result, const char *body)
{
	g_assert_cmpint((int)out.result, ==, (int)result);
	if (body)
		g_assert_cmpstr(out.body->str, ==, body);
	g_string_free(out.body, TRUE);
}

static void test_reuse(void)
{
	static const struct step steps[] = { { .bytes = OK_ANSWER },
					     { .bytes = OK_ANSWER },
					     { .bytes = OK_ANSWER } };
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, "one", NULL, 0, 2000), HCALL_OK, "hi");
	expect(script_call(&script, "one", NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 1);
	/* another incarnation behind the same address gets a connection of its own */
	expect(script_call(&script, "two", NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 2);
	script_clear(&script);
}

static void test_trailing(void)
{
	static const struct step steps[] = { { .bytes = OK_ANSWER OK_ANSWER },
					     { .bytes = OK_ANSWER } };
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 2);
	g_assert_cmpuint(hcli_counts(script.cli)->trailing, ==, 1);
	script_clear(&script);
}

static void test_late_extra_idle(void)
{
	static const struct step steps[] = { { .bytes = OK_ANSWER, .later = OK_ANSWER },
					     { .bytes = OK_ANSWER } };
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	script_settle(&script, 30);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 2);
	script_clear(&script);
}

/* An answer of an earlier request arrives where the next one's is due. */
static void test_disowned(void)
{
	static const struct step steps[] = {
		{ .bytes = OK_ANSWER },
		{ .bytes = OK_ANSWER "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\nyes" },
		{ .bytes = "HTTP/1.1 200 OK\r\nX-Id: c\r\nContent-Length: 1\r\n\r\nc" },
	};
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, "a", 0, 2000), HCALL_OK, "hi");
	expect(script_call(&script, NULL, "b", 0, 2000), HCALL_OK, "yes");
	g_assert_cmpuint(script.connections, ==, 1);
	g_assert_cmpuint(hcli_counts(script.cli)->disowned, ==, 1);
	/* and the connection is not used again */
	expect(script_call(&script, NULL, "c", 0, 2000), HCALL_OK, "c");
	g_assert_cmpuint(script.connections, ==, 2);
	script_clear(&script);
}

static void test_broken_answers(void)
{
	static const struct step steps[] = {
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", .ending = END_FIN },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nwhole", .ending = END_FIN },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nhalf", .ending = END_RESET },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\nhalf", .ending = END_FIN_RESET },
		{ .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
		  .ending = END_FIN },
		{ .bytes = "no answer at all\r\n\r\n" },
		{ .bytes = "", .ending = END_RESET },
	};
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "whole");
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_BROKEN, NULL);
	g_assert_cmpuint(script.connections, ==, G_N_ELEMENTS(steps));
	script_clear(&script);
}

/* An answer before the body was taken: its rest must not follow on the connection. */
static void test_early_answer(void)
{
	static const struct step steps[] = { { .bytes = OK_ANSWER, .early = true },
					     { .bytes = OK_ANSWER } };
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, NULL, 16U << 20, 4000), HCALL_OK, "hi");
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 2);
	script_clear(&script);
}

static void test_not_sent(void)
{
	static const struct step steps[] = { { .bytes = OK_ANSWER } };
	struct script script;
	struct outcome out;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	g_snprintf(script.address, sizeof(script.address), "127.0.0.1:1");
	out = script_call(&script, NULL, NULL, 0, 2000);
	g_assert_false(out.sent);
	expect(out, HCALL_CONNECT_FAILED, NULL);
	script_clear(&script);
}

static void test_silence(void)
{
	static const struct step steps[] = { { .bytes = "" } };
	struct script script;
	struct outcome out;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	out = script_call(&script, NULL, NULL, 0, 50);
	g_assert_true(out.sent);
	expect(out, HCALL_TIMEOUT, NULL);
	script_clear(&script);
}

static void test_keep_alive(void)
{
	static const struct step steps[] = {
		{ .bytes =
			  "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n" },
		{ .bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" },
		{ .bytes = OK_ANSWER },
	};
	struct script script;

	script_init(&script, steps, G_N_ELEMENTS(steps));
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "");
	script_settle(&script, 3);
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "");
	expect(script_call(&script, NULL, NULL, 0, 2000), HCALL_OK, "hi");
	g_assert_cmpuint(script.connections, ==, 3);
	script_clear(&script);
}

/* A server under test and what its handler saw. */
struct served {
	uv_loop_t loop;
	struct hsrv *srv;
	uint32_t requests;
	GString *targets;
	bool hold; /* leaves requests unanswered */
	struct hreq *held;
	bool gone;
};

static void served_on_gone(void *ctx)
{
	struct served *served = ctx;

	served->gone = true;
	served->held = NULL;
}

static void served_on_request(void *ctx, struct hreq *req)
{
	struct served *served = ctx;

	served->requests++;
	g_string_append_printf(served->targets, "%s %s;", hreq_method(req), hreq_target(req));
	if (served->hold) {
		served->held = req;
		hreq_set_callbacks(req, served_on_gone, NULL, served);
		return;
	}
	hreq_reply(req, 200, NULL, "ok", 2);
}

static void served_init(struct served *served)
{
	struct hsrv_conf conf = { .address = "127.0.0.1",
				  .max_body_bytes = 1000,
				  .limits = { .max_header_bytes = 2000,
					      .header_timeout_ms = 400,
					      .idle_timeout_ms = 60000 } };

	memset(served, 0, sizeof(*served));
	served->targets = g_string_new(NULL);
	uv_loop_init(&served->loop);
	served->srv = hsrv_create(&served->loop, &conf, served_on_request, served, NULL);
	g_assert_nonnull(served->srv);
}

static void served_clear(struct served *served)
{
	hsrv_destroy(served->srv);
	while (uv_run(&served->loop, UV_RUN_NOWAIT))
		;
	g_assert_cmpint(uv_loop_close(&served->loop), ==, 0);
	g_string_free(served->targets, TRUE);
}

static int served_connect(struct served *served)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(hsrv_port(served->srv)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	return fd;
}

/* Sends bytes and gathers what comes back until it rests or the server closes. */
static char *served_talk(struct served *served, int fd, const char *bytes, bool *closed)
{
	GString *out = g_string_new(NULL);
	uint32_t quiet = 0;
	char buf[4096];

	*closed = false;
	g_assert_cmpint(send(fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==, (int)strlen(bytes));
	while (quiet < 40 && !*closed) {
		ssize_t count;

		uv_run(&served->loop, UV_RUN_NOWAIT);
		count = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
		if (count > 0)
			g_string_append_len(out, buf, count);
		else if (count == 0)
			*closed = true;
		quiet = count > 0 ? 0 : quiet + 1;
		g_usleep(500);
	}
	return g_string_free(out, FALSE);
}

static void refuse(const char *bytes, const char *status)
{
	struct served served;
	g_autofree char *answer = NULL;
	bool closed;
	int fd;

	served_init(&served);
	fd = served_connect(&served);
	answer = served_talk(&served, fd, bytes, &closed);
	if (!g_str_has_prefix(answer, status))
		g_error("%.40s instead of %s for: %.200s", answer, status, bytes);
	g_assert_true(closed);
	g_assert_cmpuint(served.requests, ==, 0);
	close(fd);
	served_clear(&served);
}

static void test_refused_framing(void)
{
	g_autofree char *large = g_strnfill(3000, 'a');
	g_autofree char *head =
		g_strdup_printf("GET /a HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", large);

	refuse("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
	       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n",
	       "HTTP/1.1 400");
	refuse("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: "
	       "6\r\n\r\nhello!",
	       "HTTP/1.1 400");
	refuse("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello", "HTTP/1.1 400");
	refuse("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	       "HTTP/1.1 400");
	refuse("GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "HTTP/1.1 400");
	refuse("GET /a HTTP/1.1\r\n\r\n", "HTTP/1.1 400");
	refuse("nonsense\r\n\r\n", "HTTP/1.1 400");
	refuse("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", "HTTP/1.1 413");
	refuse(head, "HTTP/1.1 431");
}

static void test_pipelined(void)
{
	struct served served;
	g_autofree char *answer = NULL;
	bool closed;
	int fd;

	served_init(&served);
	fd = served_connect(&served);
	answer = served_talk(&served, fd,
			     "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			     "5\r\nhello\r\n0\r\n\r\nGET /b?c=1 HTTP/1.1\r\nHost: h\r\n\r\n",
			     &closed);
	g_assert_cmpstr(served.targets->str, ==, "POST /a;GET /b?c=1;");
	g_assert_false(closed);
	g_assert_nonnull(strstr(answer, "ok"));
	close(fd);
	served_clear(&served);
}

static void test_continue(void)
{
	struct served served;
	g_autofree char *answer = NULL;
	g_autofree char *rest = NULL;
	bool closed;
	int fd;

	served_init(&served);
	fd = served_connect(&served);
	answer = served_talk(&served, fd,
			     "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
			     "Content-Length: 2\r\n\r\n",
			     &closed);
	g_assert_cmpstr(answer, ==, "HTTP/1.1 100 Continue\r\n\r\n");
	rest = served_talk(&served, fd, "hi", &closed);
	g_assert_true(g_str_has_prefix(rest, "HTTP/1.1 200"));
	close(fd);
	served_clear(&served);
}

/* A caller that leaves while its request is handled is noticed at once. */
static void test_gone(void)
{
	struct served served;
	g_autofree char *answer = NULL;
	bool closed;
	int fd;

	served_init(&served);
	served.hold = true;
	fd = served_connect(&served);
	answer = served_talk(&served, fd, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", &closed);
	g_assert_nonnull(served.held);
	close(fd);
	for (uint32_t i = 0; !served.gone && i < 1000; i++) {
		uv_run(&served.loop, UV_RUN_NOWAIT);
		g_usleep(200);
	}
	g_assert_true(served.gone);
	served_clear(&served);
}

static void test_slow_head(void)
{
	struct served served;
	g_autofree char *part = NULL;
	g_autofree char *answer = NULL;
	bool closed = false;
	int fd;

	served_init(&served);
	fd = served_connect(&served);
	part = served_talk(&served, fd, "GET /a HTTP/1.1\r\nHo", &closed);
	for (uint32_t i = 0; !closed && i < 100; i++) {
		g_autofree char *more = served_talk(&served, fd, "", &closed);

		if (*more && !answer)
			answer = g_steal_pointer(&more);
	}
	g_assert_true(closed);
	g_assert_nonnull(answer);
	g_assert_true(g_str_has_prefix(answer, "HTTP/1.1 408"));
	g_assert_cmpuint(served.requests, ==, 0);
	close(fd);
	served_clear(&served);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http/client/reuse", test_reuse);
	g_test_add_func("/http/client/trailing", test_trailing);
	g_test_add_func("/http/client/late-extra", test_late_extra_idle);
	g_test_add_func("/http/client/disowned", test_disowned);
	g_test_add_func("/http/client/broken", test_broken_answers);
	g_test_add_func("/http/client/early", test_early_answer);
	g_test_add_func("/http/client/not-sent", test_not_sent);
	g_test_add_func("/http/client/silence", test_silence);
	g_test_add_func("/http/client/keep-alive", test_keep_alive);
	g_test_add_func("/http/server/framing", test_refused_framing);
	g_test_add_func("/http/server/pipelined", test_pipelined);
	g_test_add_func("/http/server/continue", test_continue);
	g_test_add_func("/http/server/gone", test_gone);
	g_test_add_func("/http/server/slow-head", test_slow_head);
	return g_test_run();
}
