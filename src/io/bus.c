#include "flamingolatch/bus.h"
#include "flamingolatch/err.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define BUS_HIGH_WATER_MESSAGES 256
#define BUS_MESSAGE_MAX_BYTES	(1 << 20)
#define BUS_SWEEP_INTERVAL_MS	200
#define BUS_IDLE_TIMEOUT_US	(30ULL * 1000 * 1000)
#define BUS_ZAP_ENDPOINT	"inproc://zeromq.zap.01"
#define BUS_ZAP_FRAMES_MAX	8
#define BUS_CURVE_KEY_BYTES	32

/* A connection to a peer. */
struct bus_peer {
	void *socket;
	uint64_t last_used_us;
};

struct bus {
	uv_loop_t *loop;
	void *zmq_context;
	void *pull_socket; /* receives from all peers */
	void *zap_socket;  /* ZAP handler that checks client keys; NULL without CURVE */
	uv_poll_t pull_poll;
	uv_poll_t zap_poll;
	uv_timer_t sweep_timer;
	GHashTable *peers; /* "IP:port" to struct bus_peer */
	char *public_key;
	char *secret_key;
	uint8_t public_key_bytes[BUS_CURVE_KEY_BYTES];
	bus_receive_cb cb;
	void *ctx;
	uint32_t open_handles; /* libuv handles that bus_destroy() still has to close */
	uint16_t port;
};

static void bus_on_pull_readable(uv_poll_t *poll, int status, int events);
static void bus_on_zap_readable(uv_poll_t *poll, int status, int events);
static void bus_on_sweep(uv_timer_t *timer);

/* lifetime */

static void bus_free_peer(gpointer data)
{
	struct bus_peer *peer = data;

	zmq_close(peer->socket);
	g_free(peer);
}

static void bus_start_poll(struct bus *bus, uv_poll_t *poll, void *socket, uv_poll_cb cb)
{
	int fd;
	size_t size = sizeof(fd);

	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	uv_poll_init(bus->loop, poll, fd);
	poll->data = bus;
	uv_poll_start(poll, UV_READABLE, cb);
}

static void bus_set_socket_options(void *socket)
{
	int high_water_messages = BUS_HIGH_WATER_MESSAGES;
	int linger_ms = 0;
	int64_t message_max_bytes = BUS_MESSAGE_MAX_BYTES;

	zmq_setsockopt(socket, ZMQ_RCVHWM, &high_water_messages, sizeof(high_water_messages));
	zmq_setsockopt(socket, ZMQ_SNDHWM, &high_water_messages, sizeof(high_water_messages));
	zmq_setsockopt(socket, ZMQ_LINGER, &linger_ms, sizeof(linger_ms));
	zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &message_max_bytes, sizeof(message_max_bytes));
}

static bool bus_bind(struct bus *bus, const struct bus_options *options)
{
	g_autofree char *endpoint = NULL;
	char bound[128];
	size_t bound_len = sizeof(bound);
	int curve_server = 1;

	bus_set_socket_options(bus->pull_socket);
	if (bus->public_key) {
		zmq_setsockopt(bus->pull_socket, ZMQ_CURVE_SERVER, &curve_server,
			       sizeof(curve_server));
		if (zmq_setsockopt(bus->pull_socket, ZMQ_CURVE_SECRETKEY, bus->secret_key,
				   strlen(bus->secret_key)) != 0)
			return false;
	}
	if (options->port)
		endpoint = g_strdup_printf("tcp://%s:%u", options->address, options->port);
	else
		endpoint = g_strdup_printf("tcp://%s:*", options->address);
	if (zmq_bind(bus->pull_socket, endpoint) != 0)
		return false;
	zmq_getsockopt(bus->pull_socket, ZMQ_LAST_ENDPOINT, bound, &bound_len);
	bus->port = (uint16_t)strtoul(strrchr(bound, ':') + 1, NULL, 10);
	return true;
}

struct bus *bus_create(uv_loop_t *loop, const struct bus_options *options, bus_receive_cb cb,
		       void *ctx, GError **error)
{
	struct bus *bus = g_new0(struct bus, 1);

	bus->loop = loop;
	bus->cb = cb;
	bus->ctx = ctx;
	bus->zmq_context = zmq_ctx_new();
	bus->public_key = g_strdup(options->public_key);
	bus->secret_key = g_strdup(options->secret_key);
	bus->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, bus_free_peer);
	if (bus->public_key) {
		bus->zap_socket = zmq_socket(bus->zmq_context, ZMQ_REP);
		zmq_bind(bus->zap_socket, BUS_ZAP_ENDPOINT);
		if (!zmq_z85_decode(bus->public_key_bytes, bus->public_key)) {
			g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
				    "the public key of the bus is not valid Z85");
			goto fail;
		}
	}
	bus->pull_socket = zmq_socket(bus->zmq_context, ZMQ_PULL);
	if (!bus_bind(bus, options)) {
		g_set_error(error, ERR_DOMAIN, ERR_IO, "cannot bind the bus to %s:%u: %s",
			    options->address, options->port, zmq_strerror(errno));
		goto fail;
	}
	bus_start_poll(bus, &bus->pull_poll, bus->pull_socket, bus_on_pull_readable);
	if (bus->zap_socket)
		bus_start_poll(bus, &bus->zap_poll, bus->zap_socket, bus_on_zap_readable);
	uv_timer_init(loop, &bus->sweep_timer);
	bus->sweep_timer.data = bus;
	uv_timer_start(&bus->sweep_timer, bus_on_sweep, BUS_SWEEP_INTERVAL_MS,
		       BUS_SWEEP_INTERVAL_MS);
	return bus;
fail:
	if (bus->pull_socket)
		zmq_close(bus->pull_socket);
	if (bus->zap_socket)
		zmq_close(bus->zap_socket);
	zmq_ctx_term(bus->zmq_context);
	g_hash_table_destroy(bus->peers);
	g_free(bus->public_key);
	g_free(bus->secret_key);
	g_free(bus);
	return NULL;
}

static void bus_on_closed(uv_handle_t *handle)
{
	struct bus *bus = handle->data;

	if (--bus->open_handles > 0)
		return;
	g_hash_table_destroy(bus->peers);
	zmq_close(bus->pull_socket);
	if (bus->zap_socket)
		zmq_close(bus->zap_socket);
	zmq_ctx_term(bus->zmq_context);
	g_free(bus->public_key);
	g_free(bus->secret_key);
	g_free(bus);
}

void bus_destroy(struct bus *bus)
{
	if (!bus)
		return;
	bus->open_handles = bus->zap_socket ? 3 : 2;
	uv_close((uv_handle_t *)&bus->pull_poll, bus_on_closed);
	uv_close((uv_handle_t *)&bus->sweep_timer, bus_on_closed);
	if (bus->zap_socket)
		uv_close((uv_handle_t *)&bus->zap_poll, bus_on_closed);
}

/* commands */

static struct bus_peer *bus_connect(struct bus *bus, const char *address)
{
	g_autofree char *endpoint = g_strdup_printf("tcp://%s", address);
	struct bus_peer *peer = g_new0(struct bus_peer, 1);
	int immediate = 1;

	peer->socket = zmq_socket(bus->zmq_context, ZMQ_PUSH);
	bus_set_socket_options(peer->socket);
	/* Drops messages until the connection is established: queued ones would be stale. */
	zmq_setsockopt(peer->socket, ZMQ_IMMEDIATE, &immediate, sizeof(immediate));
	if (bus->public_key) {
		zmq_setsockopt(peer->socket, ZMQ_CURVE_SERVERKEY, bus->public_key,
			       strlen(bus->public_key));
		zmq_setsockopt(peer->socket, ZMQ_CURVE_PUBLICKEY, bus->public_key,
			       strlen(bus->public_key));
		zmq_setsockopt(peer->socket, ZMQ_CURVE_SECRETKEY, bus->secret_key,
			       strlen(bus->secret_key));
	}
	zmq_connect(peer->socket, endpoint);
	g_hash_table_insert(bus->peers, g_strdup(address), peer);
	return peer;
}

bool bus_send(struct bus *bus, const char *address, const void *buf, size_t len)
{
	struct bus_peer *peer = g_hash_table_lookup(bus->peers, address);

	if (!peer)
		peer = bus_connect(bus, address);
	peer->last_used_us = uv_hrtime() / 1000;
	return zmq_send(peer->socket, buf, len, ZMQ_DONTWAIT) >= 0;
}

/* queries */

uint16_t bus_port(const struct bus *bus)
{
	return bus->port;
}

/* helpers */

static void bus_receive_pending(struct bus *bus)
{
	zmq_msg_t msg;

	for (;;) {
		zmq_msg_init(&msg);
		if (zmq_msg_recv(&msg, bus->pull_socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&msg);
			return;
		}
		bus->cb(bus->ctx, zmq_msg_data(&msg), zmq_msg_size(&msg));
		zmq_msg_close(&msg);
	}
}

static void bus_send_zap_reply(struct bus *bus, const char *request_id, size_t id_len, bool allowed)
{
	zmq_send(bus->zap_socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(bus->zap_socket, request_id, id_len, ZMQ_SNDMORE);
	zmq_send(bus->zap_socket, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(bus->zap_socket, "", 0, ZMQ_SNDMORE);
	zmq_send(bus->zap_socket, allowed ? "peer" : "", allowed ? 4 : 0, ZMQ_SNDMORE);
	zmq_send(bus->zap_socket, "", 0, 0);
}

/* Answers a ZAP request, in which ZeroMQ asks whether a client's key may connect. Its frames
 * are version, request id, domain, address, identity, mechanism and key.
 * Returns false when no request is pending. */
static bool bus_answer_zap_request(struct bus *bus)
{
	char request_id[64];
	uint8_t key[BUS_CURVE_KEY_BYTES];
	size_t id_len = 0;
	size_t key_len = 0;
	int more = 1;
	size_t size = sizeof(more);

	for (uint32_t frame = 0; more && frame < BUS_ZAP_FRAMES_MAX; frame++) {
		char buf[256];
		int len = zmq_recv(bus->zap_socket, buf, sizeof(buf), ZMQ_DONTWAIT);

		if (len < 0)
			return false;
		if (frame == 1) {
			id_len = MIN((size_t)len, sizeof(request_id));
			memcpy(request_id, buf, id_len);
		} else if (frame == 6 && len == BUS_CURVE_KEY_BYTES) {
			key_len = (size_t)len;
			memcpy(key, buf, key_len);
		}
		zmq_getsockopt(bus->zap_socket, ZMQ_RCVMORE, &more, &size);
	}
	bus_send_zap_reply(bus, request_id, id_len,
			   key_len == sizeof(key) &&
				   memcmp(key, bus->public_key_bytes, sizeof(key)) == 0);
	return true;
}

static void bus_on_pull_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	bus_receive_pending(poll->data);
}

static void bus_on_zap_readable(uv_poll_t *poll, int status, int events)
{
	struct bus *bus = poll->data;

	(void)status;
	(void)events;
	while (bus_answer_zap_request(bus))
		;
}

/* Closes idle connections. Also reads pending messages: ZMQ_FD is edge-triggered, and without
 * regular polling a missed edge would leave messages unread. */
static void bus_on_sweep(uv_timer_t *timer)
{
	struct bus *bus = timer->data;
	uint64_t now_us = uv_hrtime() / 1000;
	GHashTableIter iter;
	struct bus_peer *peer;

	bus_receive_pending(bus);
	while (bus->zap_socket && bus_answer_zap_request(bus))
		;
	g_hash_table_iter_init(&iter, bus->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (now_us - peer->last_used_us > BUS_IDLE_TIMEOUT_US)
			g_hash_table_iter_remove(&iter);
	}
}
