#include "proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t *listener;
	struct sockaddr_in own;
	char *address;
	struct sockaddr_in target;
	GPtrArray *conns;
	enum proxy_mode mode;
	uint32_t delay_ms;
	bool refuse_new;
};

struct proxy_conn;

/* One of the two TCP connections of a proxied connection. */
struct proxy_side {
	uv_tcp_t tcp;
	struct proxy_conn *conn;
	struct proxy_side *other;
	GQueue queue;	/* of struct chunk: to be written to this side, in stream order */
	bool is_client; /* the connection from the caller, not the one to the target */
	bool connected;
	bool eof_received;
};

struct proxy_conn {
	struct proxy *proxy;
	struct proxy_side client;
	struct proxy_side server;
	uv_connect_t connect_req;
	uint32_t open_handles;
	uint32_t pending_chunks; /* the connection is freed once their timers are closed */
	bool closing;
};

/* Bytes read from one side and not yet written to the other. */
struct chunk {
	struct proxy_conn *conn;
	struct proxy_side *dest;
	uv_timer_t timer;
	uv_write_t write;
	char *bytes; /* NULL for the end of the stream */
	size_t len;
};

static const char *const proxy_mode_names[PROXY_MODE_COUNT] = { "pass",	   "slow",	"silent",
								"to-only", "from-only", "refuse",
								"twice" };

static void proxy_on_connection(uv_stream_t *listener, int status);

static void proxy_on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void proxy_listen(struct proxy *proxy)
{
	proxy->listener = g_new0(uv_tcp_t, 1);
	uv_tcp_init(proxy->loop, proxy->listener);
	proxy->listener->data = proxy;
	g_assert_cmpint(uv_tcp_bind(proxy->listener, (struct sockaddr *)&proxy->own, 0), ==, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)proxy->listener, 128, proxy_on_connection), ==, 0);
}

struct proxy *proxy_create(uv_loop_t *loop, const char *address, const char *target)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	const char *colon = strrchr(target, ':');
	g_autofree char *host = g_strndup(target, (gsize)(colon - target));
	int len = sizeof(proxy->own);

	proxy->loop = loop;
	proxy->conns = g_ptr_array_new();
	uv_ip4_addr(host, atoi(colon + 1), &proxy->target);
	uv_ip4_addr(address, 0, &proxy->own);
	proxy_listen(proxy);
	uv_tcp_getsockname(proxy->listener, (struct sockaddr *)&proxy->own, &len);
	proxy->address = g_strdup_printf("%s:%u", address, ntohs(proxy->own.sin_port));
	return proxy;
}

static void conn_free_if_unused(struct proxy_conn *conn)
{
	if (conn->open_handles == 0 && conn->pending_chunks == 0)
		g_free(conn);
}

static void side_on_closed(uv_handle_t *handle)
{
	struct proxy_side *side = handle->data;

	side->conn->open_handles--;
	conn_free_if_unused(side->conn);
}

static void conn_close(struct proxy_conn *conn, bool reset)
{
	struct proxy_side *sides[] = { &conn->client, &conn->server };
	struct linger linger = { .l_onoff = 1 };

	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->proxy)
		g_ptr_array_remove_fast(conn->proxy->conns, conn);
	for (uint32_t i = 0; i < 2; i++) {
		uv_os_fd_t fd;

		if (reset && uv_fileno((uv_handle_t *)&sides[i]->tcp, &fd) == 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		uv_close((uv_handle_t *)&sides[i]->tcp, side_on_closed);
	}
}

static void proxy_free(struct proxy *proxy)
{
	g_ptr_array_free(proxy->conns, TRUE);
	g_free(proxy->address);
	g_free(proxy);
}

static void proxy_on_closed(uv_handle_t *handle)
{
	proxy_free(handle->data);
	g_free(handle);
}

void proxy_destroy(struct proxy *proxy)
{
	while (proxy->conns->len)
		conn_close(proxy->conns->pdata[0], true);
	if (proxy->refuse_new)
		proxy_free(proxy);
	else
		uv_close((uv_handle_t *)proxy->listener, proxy_on_closed);
}

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode, uint32_t delay_ms)
{
	proxy->mode = mode;
	proxy->delay_ms = delay_ms;
	while (mode == PROXY_RESET && proxy->conns->len)
		conn_close(proxy->conns->pdata[0], true);
}

void proxy_set_refuse_new(struct proxy *proxy, bool refuse)
{
	if (proxy->refuse_new == refuse)
		return;
	proxy->refuse_new = refuse;
	if (refuse)
		uv_close((uv_handle_t *)proxy->listener, proxy_on_listener_closed);
	else
		proxy_listen(proxy);
}

const char *proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}

const char *proxy_mode_name(enum proxy_mode mode)
{
	return proxy_mode_names[mode];
}

/* A chunk that is held back is written once the mode allows it again. */
static bool chunk_may_pass(const struct chunk *chunk)
{
	enum proxy_mode mode = chunk->conn->proxy->mode;
	bool to_server = !chunk->dest->is_client;

	return mode == PROXY_PASS || mode == PROXY_SLOW || mode == PROXY_TWICE ||
	       (mode == PROXY_REQUESTS_ONLY && to_server) ||
	       (mode == PROXY_ANSWERS_ONLY && !to_server);
}

static void chunk_on_closed(uv_handle_t *handle)
{
	struct chunk *chunk = handle->data;
	struct proxy_conn *conn = chunk->conn;

	g_queue_remove(&chunk->dest->queue, chunk);
	g_free(chunk->bytes);
	g_free(chunk);
	conn->pending_chunks--;
	if (conn->closing)
		conn_free_if_unused(conn);
}

static void chunk_on_written(uv_write_t *write, int status)
{
	struct chunk *chunk = write->data;

	if (status != 0)
		conn_close(chunk->conn, true);
	uv_close((uv_handle_t *)&chunk->timer, chunk_on_closed);
}

static void chunk_on_timer(uv_timer_t *timer)
{
	struct chunk *chunk = timer->data;
	uv_buf_t buf;

	if (chunk->conn->closing) {
		uv_close((uv_handle_t *)&chunk->timer, chunk_on_closed);
	} else if (g_queue_peek_head(&chunk->dest->queue) != chunk) {
		uv_timer_start(timer, chunk_on_timer, 1, 0);
	} else if (!chunk_may_pass(chunk) || !chunk->dest->connected) {
		uv_timer_start(timer, chunk_on_timer, 20, 0);
	} else if (!chunk->bytes) {
		g_queue_pop_head(&chunk->dest->queue);
		conn_close(chunk->conn, false);
		uv_close((uv_handle_t *)&chunk->timer, chunk_on_closed);
	} else {
		g_queue_pop_head(&chunk->dest->queue);
		buf = uv_buf_init(chunk->bytes, (unsigned)chunk->len);
		chunk->write.data = chunk;
		if (uv_write(&chunk->write, (uv_stream_t *)&chunk->dest->tcp, &buf, 1,
			     chunk_on_written) != 0)
			chunk_on_written(&chunk->write, -1);
	}
}

static void side_queue_chunk(struct proxy_side *from, const char *bytes, size_t len,
			     uint32_t delay_ms)
{
	struct chunk *chunk = g_new0(struct chunk, 1);
	struct proxy *proxy = from->conn->proxy;

	chunk->conn = from->conn;
	chunk->dest = from->other;
	chunk->bytes = bytes ? g_memdup2(bytes, len) : NULL;
	chunk->len = len;
	chunk->conn->pending_chunks++;
	g_queue_push_tail(&chunk->dest->queue, chunk);
	uv_timer_init(proxy->loop, &chunk->timer);
	chunk->timer.data = chunk;
	uv_timer_start(&chunk->timer, chunk_on_timer, delay_ms, 0);
}

static void side_forward(struct proxy_side *from, const char *bytes, size_t len)
{
	const struct proxy *proxy = from->conn->proxy;

	side_queue_chunk(from, bytes, len, proxy->mode == PROXY_SLOW ? proxy->delay_ms : 0);
	if (proxy->mode == PROXY_TWICE && !from->is_client && bytes)
		side_queue_chunk(from, bytes, len, proxy->delay_ms);
}

static void side_on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void side_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct proxy_side *side = stream->data;

	if (count > 0)
		side_forward(side, buf->base, (size_t)count);
	g_free(buf->base);
	if (count == UV_EOF && !side->eof_received) {
		side->eof_received = true;
		side_forward(side, NULL, 0);
	} else if (count < 0 && count != UV_EOF) {
		conn_close(side->conn, true);
	}
}

static void conn_on_connect(uv_connect_t *connect_req, int status)
{
	struct proxy_conn *conn = connect_req->data;

	if (conn->closing)
		return;
	if (status != 0) {
		conn_close(conn, true);
		return;
	}
	conn->server.connected = true;
	uv_read_start((uv_stream_t *)&conn->server.tcp, side_on_alloc, side_on_read);
}

static void side_init(struct proxy_side *side, struct proxy_conn *conn, struct proxy_side *other,
		      bool is_client)
{
	side->conn = conn;
	side->other = other;
	side->is_client = is_client;
	g_queue_init(&side->queue);
	uv_tcp_init(conn->proxy->loop, &side->tcp);
	side->tcp.data = side;
	conn->open_handles++;
}

static void proxy_on_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct proxy_conn *conn = g_new0(struct proxy_conn, 1);

	(void)status;
	conn->proxy = proxy;
	side_init(&conn->client, conn, &conn->server, true);
	side_init(&conn->server, conn, &conn->client, false);
	g_ptr_array_add(proxy->conns, conn);
	if (uv_accept(listener, (uv_stream_t *)&conn->client.tcp) != 0 ||
	    proxy->mode == PROXY_RESET) {
		conn_close(conn, true);
		return;
	}
	conn->client.connected = true;
	conn->connect_req.data = conn;
	uv_tcp_connect(&conn->connect_req, &conn->server.tcp, (struct sockaddr *)&proxy->target,
		       conn_on_connect);
	uv_read_start((uv_stream_t *)&conn->client.tcp, side_on_alloc, side_on_read);
}
