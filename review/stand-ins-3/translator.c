#include "translator.h"

#include "flamingolatch/fetch.h"
#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_INSTANCES	   10
#define BUS_PORT	   8750
#define STORE_PORT	   8742
#define STORE_TIMEOUT_MS   40000
#define STORE_ANSWER_BYTES (8U << 20)
/* What a silent connection still takes in, as a window of the network would. */
#define SILENT_WINDOW_BYTES 4096
#define FLUSH_MS	    2

/* The way of an instance to the store. */
struct store_way {
	struct translator *translator;
	struct http_server *srv;
	char *address;
	char *instance; /* name in its row; NULL before it wrote one */
};

struct store_pass {
	struct store_way *way;
	struct http_req *req; /* NULL after the instance left */
	struct fetch *fetch;
	bool peers; /* reads the rows of the instances */
};

struct bus_conn {
	struct translator *translator;
	uv_tcp_t client;
	uv_tcp_t server;
	uv_connect_t connect;
	uv_timer_t timer;
	GString *held; /* read from the client, not written yet */
	char digit;    /* of the instance that is connected to */
	uint32_t open_handles;
	bool connected;
	bool silent;
	bool closing;
};

struct bus_listener {
	struct translator *translator;
	uv_tcp_t tcp;
	char digit;
};

struct translator {
	uv_loop_t *loop;
	struct http_client *cli;
	char *store; /* address */
	char *subnet;
	struct store_way ways[MAX_INSTANCES];
	struct bus_listener *listeners[MAX_INSTANCES];
	GPtrArray *conns; /* struct bus_conn */
	uint32_t count;
	uint32_t opened;
};

struct bus_write {
	uv_write_t write;
	char *bytes;
};

/* the store */

/* Replaces the address in a row of another instance: "SUBNET.1N:8750 ZONE". */
static void translate_row(const struct store_way *way, json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const char *value = json_string_value(json_object_get(row, "value"));
	g_autofree char *text = NULL;
	g_autofree char *encoded = NULL;
	gsize len = 0;
	size_t subnet_len = strlen(way->translator->subnet);

	if (!key || !value || g_strcmp0(key, way->instance) == 0)
		return;
	text = (char *)g_base64_decode(value, &len);
	if (len < subnet_len + 2 || strncmp(text, way->translator->subnet, subnet_len) != 0 ||
	    text[subnet_len] != '.' || text[subnet_len + 1] != '1')
		return;
	text[subnet_len + 1] = '6';
	encoded = g_base64_encode((guchar *)text, len);
	json_object_set_new(row, "value", json_string(encoded));
}

static void store_pass_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct store_pass *pass = ctx;
	struct http_req *req = pass->req;
	json_t *root = NULL;
	json_t *row;
	size_t i;

	if (req) {
		http_req_set_callbacks(req, NULL, NULL, NULL);
		if (answer->header)
			http_req_add_response_header(req, "Store-Era", answer->header);
		if (pass->peers && answer->status == 200)
			root = json_loadb(answer->body, answer->body_len, 0, NULL);
		json_array_foreach(json_object_get(root, "rows"), i, row)
			translate_row(pass->way, row);
		if (root) {
			char *text = json_dumps(root, JSON_COMPACT);

			http_req_reply(req, 200, "application/json", text, strlen(text));
			free(text);
			json_decref(root);
		} else if (answer->result == HTTP_CALL_OK) {
			http_req_reply(req, answer->status, answer->type, answer->body,
				       answer->body_len);
		} else {
			http_req_stream_begin(req, 503, NULL);
			http_req_stream_abort(req);
		}
	}
	g_free(pass);
}

static void store_pass_on_gone(void *ctx)
{
	struct store_pass *pass = ctx;

	fetch_cancel(pass->fetch);
	g_free(pass);
}

/* Learns the name of the instance from the row that it writes. */
static void store_way_learn_name(struct store_way *way, const char *body, size_t len)
{
	json_t *root = json_loadb(body, len, 0, NULL);
	json_t *row = json_array_get(json_object_get(root, "writes"), 0);
	const char *table = json_string_value(json_object_get(row, "table"));
	const char *key = json_string_value(json_object_get(row, "key"));

	if (!way->instance && key && g_strcmp0(table, "flamingolatch") == 0 && !strchr(key, '/'))
		way->instance = g_strdup(key);
	json_decref(root);
}

static void store_way_on_request(void *ctx, struct http_req *req)
{
	struct store_way *way = ctx;
	struct store_pass *pass = g_new0(struct store_pass, 1);
	g_autofree char *table = http_req_query_param(req, "table");
	size_t body_len;
	const char *body = http_req_body(req, &body_len);
	struct http_call_request call = { .address = way->translator->store,
					  .scope = table ? table : "writes",
					  .method = http_req_method(req),
					  .path = http_req_target(req),
					  .body = body,
					  .body_len = body_len,
					  .headers = body_len ? "Content-Type: application/json\r\n"
							      : NULL,
					  .timeout_ms = STORE_TIMEOUT_MS };

	if (body_len)
		store_way_learn_name(way, body, body_len);
	pass->way = way;
	pass->req = req;
	pass->peers = g_strcmp0(table, "flamingolatch") == 0;
	http_req_set_callbacks(req, store_pass_on_gone, NULL, pass);
	pass->fetch = fetch_start(way->translator->cli, &call, STORE_ANSWER_BYTES, NULL,
				  store_pass_on_answer, pass);
	fetch_keep_header(pass->fetch, "store-era");
}

/* the bus */

static void bus_conn_on_closed(uv_handle_t *handle)
{
	struct bus_conn *conn = handle->data;

	if (--conn->open_handles > 0)
		return;
	g_string_free(conn->held, TRUE);
	g_free(conn);
}

static void bus_conn_close(struct bus_conn *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	g_ptr_array_remove_fast(conn->translator->conns, conn);
	uv_close((uv_handle_t *)&conn->client, bus_conn_on_closed);
	uv_close((uv_handle_t *)&conn->server, bus_conn_on_closed);
	uv_close((uv_handle_t *)&conn->timer, bus_conn_on_closed);
}

static void bus_on_written(uv_write_t *write, int status)
{
	struct bus_write *done = write->data;

	(void)status;
	g_free(done->bytes);
	g_free(done);
}

static void bus_write(uv_tcp_t *to, const char *bytes, size_t len)
{
	struct bus_write *write = g_new0(struct bus_write, 1);
	uv_buf_t buf;

	write->bytes = g_memdup2(bytes, len);
	write->write.data = write;
	buf = uv_buf_init(write->bytes, (unsigned)len);
	if (uv_write(&write->write, (uv_stream_t *)to, &buf, 1, bus_on_written) != 0)
		bus_on_written(&write->write, -1);
}

/* Returns how many bytes of a text at an offset match "SUBNET.DN:8750" for a digit D and any N; the
 * whole length is a match, less may be one when the text ends there. */
static size_t bus_match(const GString *text, size_t at, const char *subnet)
{
	g_autofree char *pattern = g_strdup_printf("%s.DN:%d", subnet, BUS_PORT);
	size_t i;

	for (i = 0; pattern[i] && at + i < text->len; i++) {
		char byte = text->str[at + i];

		if (pattern[i] == 'D'
			    ? byte != '1' && byte != '6'
			    : (pattern[i] == 'N' ? !g_ascii_isdigit(byte) : byte != pattern[i]))
			return 0;
	}
	return i;
}

/* Translates and passes on what was read; a part of an address at the end is held. */
static void bus_conn_pass(struct bus_conn *conn, bool all)
{
	GString *held = conn->held;
	size_t subnet_len = strlen(conn->translator->subnet);
	size_t whole = subnet_len + strlen(".DN:") + 4;
	size_t end = held->len;

	for (size_t at = 0; at < held->len; at++) {
		size_t len;

		if (held->str[at] != conn->translator->subnet[0])
			continue;
		len = bus_match(held, at, conn->translator->subnet);
		if (len == whole) {
			char *kind = &held->str[at + subnet_len + 1];

			if (*kind == '1')
				*kind = '6';
			else if (kind[1] == conn->digit)
				*kind = '1';
			at += whole - 1;
		} else if (len > 0 && at + len == held->len && !all) {
			end = at;
			break;
		}
	}
	if (end > 0)
		bus_write(&conn->server, held->str, end);
	g_string_erase(held, 0, (gssize)end);
	if (held->len > 0)
		uv_timer_start(&conn->timer, conn->timer.timer_cb, FLUSH_MS, 0);
}

static void bus_conn_on_timer(uv_timer_t *timer)
{
	struct bus_conn *conn = timer->data;

	if (conn->connected && !conn->silent && !conn->closing && conn->held->len > 0)
		bus_conn_pass(conn, true);
}

static void bus_on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(g_malloc(2048), 2048);
}

static void bus_on_client_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct bus_conn *conn = stream->data;

	if (count > 0) {
		g_string_append_len(conn->held, buf->base, count);
		if (conn->connected)
			bus_conn_pass(conn, false);
	}
	g_free(buf->base);
	if (count < 0)
		bus_conn_close(conn);
}

static void bus_on_server_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct bus_conn *conn = stream->data;

	if (count > 0)
		bus_write(&conn->client, buf->base, (size_t)count);
	g_free(buf->base);
	if (count < 0)
		bus_conn_close(conn);
}

static void bus_on_connected(uv_connect_t *connect, int status)
{
	struct bus_conn *conn = connect->data;

	if (conn->closing)
		return;
	if (status != 0) {
		bus_conn_close(conn);
		return;
	}
	conn->connected = true;
	uv_read_start((uv_stream_t *)&conn->server, bus_on_alloc, bus_on_server_read);
	if (conn->held->len > 0)
		bus_conn_pass(conn, false);
}

static void bus_on_connection(uv_stream_t *stream, int status)
{
	struct bus_listener *listener = stream->data;
	struct translator *translator = listener->translator;
	struct bus_conn *conn = g_new0(struct bus_conn, 1);
	g_autofree char *host = g_strdup_printf("%s.1%c", translator->subnet, listener->digit);
	struct sockaddr_in addr;

	(void)status;
	conn->translator = translator;
	conn->digit = listener->digit;
	conn->held = g_string_new(NULL);
	conn->open_handles = 3;
	uv_tcp_init(translator->loop, &conn->client);
	uv_tcp_init(translator->loop, &conn->server);
	uv_timer_init(translator->loop, &conn->timer);
	conn->client.data = conn->server.data = conn->timer.data = conn->connect.data = conn;
	conn->timer.timer_cb = bus_conn_on_timer;
	g_ptr_array_add(translator->conns, conn);
	translator->opened++;
	uv_ip4_addr(host, BUS_PORT, &addr);
	if (uv_accept(stream, (uv_stream_t *)&conn->client) != 0 ||
	    uv_tcp_connect(&conn->connect, &conn->server, (struct sockaddr *)&addr,
			   bus_on_connected) != 0) {
		bus_conn_close(conn);
		return;
	}
	uv_tcp_nodelay(&conn->client, 1);
	uv_tcp_nodelay(&conn->server, 1);
	uv_read_start((uv_stream_t *)&conn->client, bus_on_alloc, bus_on_client_read);
}

static void bus_listen(struct translator *translator, uint32_t instance)
{
	struct bus_listener *listener = g_new0(struct bus_listener, 1);
	g_autofree char *host = g_strdup_printf("%s.6%u", translator->subnet, instance);
	int window = SILENT_WINDOW_BYTES;
	struct sockaddr_in addr;
	uv_os_fd_t fd;

	listener->translator = translator;
	listener->digit = (char)('0' + instance);
	uv_tcp_init(translator->loop, &listener->tcp);
	listener->tcp.data = listener;
	uv_ip4_addr(host, BUS_PORT, &addr);
	g_assert_cmpint(uv_tcp_bind(&listener->tcp, (struct sockaddr *)&addr, 0), ==, 0);
	if (uv_fileno((uv_handle_t *)&listener->tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	g_assert_cmpint(uv_listen((uv_stream_t *)&listener->tcp, 64, bus_on_connection), ==, 0);
	translator->listeners[instance] = listener;
}

/* lifetime */

struct translator *translator_create(struct testbed *testbed, uint32_t count)
{
	struct translator *translator = g_new0(struct translator, 1);
	g_autofree char *ip = testbed_ip(testbed, 10);

	g_assert_cmpuint(count, <=, MAX_INSTANCES);
	translator->loop = testbed_loop(testbed);
	translator->cli = http_client_create(translator->loop);
	translator->store = g_strdup(mock_platform_address(testbed_platform(testbed)));
	translator->subnet = g_strndup(ip, (gsize)(strrchr(ip, '.') - ip));
	translator->conns = g_ptr_array_new();
	translator->count = count;
	for (uint32_t i = 0; i < count; i++) {
		struct store_way *way = &translator->ways[i];
		g_autofree char *host = g_strdup_printf("%s.4%u", translator->subnet, i);
		struct http_server_conf conf = { .address = host,
						 .port = STORE_PORT,
						 .max_body_bytes = STORE_ANSWER_BYTES };

		way->translator = translator;
		way->address = g_strdup_printf("%s:%d", host, STORE_PORT);
		way->srv = http_server_create(translator->loop, &conf, store_way_on_request, way,
					      NULL);
		g_assert_nonnull(way->srv);
		bus_listen(translator, i);
	}
	return translator;
}

static void bus_listener_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void translator_destroy(struct translator *translator)
{
	while (translator->conns->len)
		bus_conn_close(translator->conns->pdata[0]);
	for (uint32_t i = 0; i < translator->count; i++) {
		uv_close((uv_handle_t *)&translator->listeners[i]->tcp, bus_listener_on_closed);
		http_server_destroy(translator->ways[i].srv);
		g_free(translator->ways[i].address);
		g_free(translator->ways[i].instance);
	}
	http_client_destroy(translator->cli);
	uv_run(translator->loop, UV_RUN_NOWAIT);
	uv_run(translator->loop, UV_RUN_NOWAIT);
	g_ptr_array_free(translator->conns, TRUE);
	g_free(translator->store);
	g_free(translator->subnet);
	g_free(translator);
}

const char *translator_store_address(const struct translator *translator, uint32_t instance)
{
	return translator->ways[instance].address;
}

uint32_t translator_silence(struct translator *translator)
{
	uint32_t count = 0;

	for (guint i = 0; i < translator->conns->len; i++) {
		struct bus_conn *conn = translator->conns->pdata[i];

		uv_read_stop((uv_stream_t *)&conn->client);
		uv_read_stop((uv_stream_t *)&conn->server);
		count += !conn->silent;
		conn->silent = true;
	}
	return count;
}

uint32_t translator_opened(const struct translator *translator)
{
	return translator->opened;
}
