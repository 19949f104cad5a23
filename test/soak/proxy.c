#include "proxy.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct proxy {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char *address;
	struct sockaddr_in target;
	GPtrArray *pairs;
	enum proxy_mode mode;
	uint32_t delay_ms;
};

struct pair;

/* One end of a pair of connections. */
struct leg {
	uv_tcp_t tcp;
	struct pair *pair;
	struct leg *other;
	GQueue due;  /* struct part, in the order of the stream */
	bool client; /* towards the caller */
	bool open;
	bool ended; /* has nothing more to say */
};

struct pair {
	struct proxy *proxy;
	struct leg client;
	struct leg server;
	uv_connect_t connect;
	uint32_t handles;
	uint32_t parts; /* on their way */
	bool closing;
};

/* A part of a stream on its way. */
struct part {
	struct pair *pair;
	struct leg *to;
	uv_timer_t timer;
	uv_write_t write;
	char *bytes; /* NULL ends the stream */
	size_t len;
};

static const char *const proxy_mode_names[PROXY_MODE_COUNT] = { "pass",	   "slow",	"silent",
								"to-only", "from-only", "refuse" };

static void proxy_on_connection(uv_stream_t *listener, int status);

struct proxy *proxy_create(uv_loop_t *loop, const char *address, const char *target)
{
	struct proxy *proxy = g_new0(struct proxy, 1);
	const char *colon = strrchr(target, ':');
	g_autofree char *host = g_strndup(target, (gsize)(colon - target));
	struct sockaddr_in addr;
	int len = sizeof(addr);

	proxy->loop = loop;
	proxy->pairs = g_ptr_array_new();
	uv_ip4_addr(host, atoi(colon + 1), &proxy->target);
	uv_ip4_addr(address, 0, &addr);
	uv_tcp_init(loop, &proxy->listener);
	proxy->listener.data = proxy;
	g_assert_cmpint(uv_tcp_bind(&proxy->listener, (struct sockaddr *)&addr, 0), ==, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&proxy->listener, 128, proxy_on_connection), ==,
			0);
	uv_tcp_getsockname(&proxy->listener, (struct sockaddr *)&addr, &len);
	proxy->address = g_strdup_printf("%s:%u", address, ntohs(addr.sin_port));
	return proxy;
}

static void pair_free_when_idle(struct pair *pair)
{
	if (pair->handles == 0 && pair->parts == 0)
		g_free(pair);
}

static void leg_on_closed(uv_handle_t *handle)
{
	struct leg *leg = handle->data;

	leg->pair->handles--;
	pair_free_when_idle(leg->pair);
}

static void pair_close(struct pair *pair, bool reset)
{
	struct leg *legs[] = { &pair->client, &pair->server };
	struct linger linger = { .l_onoff = 1 };

	if (pair->closing)
		return;
	pair->closing = true;
	if (pair->proxy)
		g_ptr_array_remove_fast(pair->proxy->pairs, pair);
	for (uint32_t i = 0; i < 2; i++) {
		uv_os_fd_t fd;

		if (reset && uv_fileno((uv_handle_t *)&legs[i]->tcp, &fd) == 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
		uv_close((uv_handle_t *)&legs[i]->tcp, leg_on_closed);
	}
}

static void proxy_on_closed(uv_handle_t *handle)
{
	struct proxy *proxy = handle->data;

	g_ptr_array_free(proxy->pairs, TRUE);
	g_free(proxy->address);
	g_free(proxy);
}

void proxy_destroy(struct proxy *proxy)
{
	while (proxy->pairs->len)
		pair_close(proxy->pairs->pdata[0], true);
	uv_close((uv_handle_t *)&proxy->listener, proxy_on_closed);
}

void proxy_set(struct proxy *proxy, enum proxy_mode mode, uint32_t delay_ms)
{
	proxy->mode = mode;
	proxy->delay_ms = delay_ms;
	while (mode == PROXY_REFUSE && proxy->pairs->len)
		pair_close(proxy->pairs->pdata[0], true);
}

const char *proxy_address(const struct proxy *proxy)
{
	return proxy->address;
}

const char *proxy_mode_name(enum proxy_mode mode)
{
	return proxy_mode_names[mode];
}

/* Parts that are held back come out once the mode lets them. */
static bool part_may_pass(const struct part *part)
{
	enum proxy_mode mode = part->pair->proxy->mode;
	bool to_server = !part->to->client;

	return mode == PROXY_PASS || mode == PROXY_SLOW || (mode == PROXY_TO_ONLY && to_server) ||
	       (mode == PROXY_FROM_ONLY && !to_server);
}

static void part_on_closed(uv_handle_t *handle)
{
	struct part *part = handle->data;
	struct pair *pair = part->pair;

	g_queue_remove(&part->to->due, part);
	g_free(part->bytes);
	g_free(part);
	pair->parts--;
	if (pair->closing)
		pair_free_when_idle(pair);
}

static void part_on_written(uv_write_t *write, int status)
{
	struct part *part = write->data;

	if (status != 0)
		pair_close(part->pair, true);
	uv_close((uv_handle_t *)&part->timer, part_on_closed);
}

static void part_on_timer(uv_timer_t *timer)
{
	struct part *part = timer->data;
	uv_buf_t buf;

	if (part->pair->closing) {
		uv_close((uv_handle_t *)&part->timer, part_on_closed);
	} else if (g_queue_peek_head(&part->to->due) != part) {
		uv_timer_start(timer, part_on_timer, 1, 0);
	} else if (!part_may_pass(part) || !part->to->open) {
		uv_timer_start(timer, part_on_timer, 20, 0);
	} else if (!part->bytes) {
		g_queue_pop_head(&part->to->due);
		pair_close(part->pair, false);
		uv_close((uv_handle_t *)&part->timer, part_on_closed);
	} else {
		g_queue_pop_head(&part->to->due);
		buf = uv_buf_init(part->bytes, (unsigned)part->len);
		part->write.data = part;
		if (uv_write(&part->write, (uv_stream_t *)&part->to->tcp, &buf, 1,
			     part_on_written) != 0)
			part_on_written(&part->write, -1);
	}
}

static void leg_pass(struct leg *from, const char *bytes, size_t len)
{
	struct part *part = g_new0(struct part, 1);
	struct proxy *proxy = from->pair->proxy;

	part->pair = from->pair;
	part->to = from->other;
	part->bytes = bytes ? g_memdup2(bytes, len) : NULL;
	part->len = len;
	part->pair->parts++;
	g_queue_push_tail(&part->to->due, part);
	uv_timer_init(proxy->loop, &part->timer);
	part->timer.data = part;
	uv_timer_start(&part->timer, part_on_timer, proxy->mode == PROXY_SLOW ? proxy->delay_ms : 0,
		       0);
}

static void leg_on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void leg_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct leg *leg = stream->data;

	if (count > 0)
		leg_pass(leg, buf->base, (size_t)count);
	g_free(buf->base);
	if (count == UV_EOF && !leg->ended) {
		leg->ended = true;
		leg_pass(leg, NULL, 0);
	} else if (count < 0 && count != UV_EOF) {
		pair_close(leg->pair, true);
	}
}

static void pair_on_connect(uv_connect_t *connect, int status)
{
	struct pair *pair = connect->data;

	if (pair->closing)
		return;
	if (status != 0) {
		pair_close(pair, true);
		return;
	}
	pair->server.open = true;
	uv_read_start((uv_stream_t *)&pair->server.tcp, leg_on_alloc, leg_on_read);
}

static void leg_init(struct leg *leg, struct pair *pair, struct leg *other, bool client)
{
	leg->pair = pair;
	leg->other = other;
	leg->client = client;
	g_queue_init(&leg->due);
	uv_tcp_init(pair->proxy->loop, &leg->tcp);
	leg->tcp.data = leg;
	pair->handles++;
}

static void proxy_on_connection(uv_stream_t *listener, int status)
{
	struct proxy *proxy = listener->data;
	struct pair *pair = g_new0(struct pair, 1);

	(void)status;
	pair->proxy = proxy;
	leg_init(&pair->client, pair, &pair->server, true);
	leg_init(&pair->server, pair, &pair->client, false);
	g_ptr_array_add(proxy->pairs, pair);
	if (uv_accept(listener, (uv_stream_t *)&pair->client.tcp) != 0 ||
	    proxy->mode == PROXY_REFUSE) {
		pair_close(pair, true);
		return;
	}
	pair->client.open = true;
	pair->connect.data = pair;
	uv_tcp_connect(&pair->connect, &pair->server.tcp, (struct sockaddr *)&proxy->target,
		       pair_on_connect);
	uv_read_start((uv_stream_t *)&pair->client.tcp, leg_on_alloc, leg_on_read);
}
