#include "flamingolatch/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>
#include <string.h>

/* h2o's own timeout is out of the way; each call has a timer of its own. */
#define HCLI_IO_TIMEOUT_MS    (24ULL * 3600 * 1000)
#define HCLI_POOL_IDLE_MS     5000
#define HCLI_POOL_CONNECTIONS 100000

struct hcli {
	uv_loop_t *loop;
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	GHashTable *pools; /* "IP:port" to h2o_socketpool_t */
};

struct hcall {
	struct hcli *cli;
	h2o_http1client_t *client;
	const struct hcall_ops *ops;
	void *ctx;
	GString *text;
	h2o_iovec_t buf;
	uv_timer_t timer;
	uint64_t timeout_ms;
	h2o_socket_cb paused_reader;
	char *address;
	bool fresh;
	bool head_method;
	bool started;
	bool sent;
	bool in_callback;
	bool dropped;
};

struct hcall_head {
	uint16_t status;
	const h2o_header_t *headers;
	size_t count;
};

static void hcall_on_timer(uv_timer_t *timer);
static h2o_http1client_head_cb hcall_on_connect(h2o_http1client_t *client, const char *errstr,
						h2o_iovec_t **bufs, size_t *count, int *is_head);
static h2o_http1client_body_cb hcall_on_head(h2o_http1client_t *client, const char *errstr,
					     int minor, int status, h2o_iovec_t msg,
					     h2o_header_t *headers, size_t count, int rlen);
static int hcall_on_body(h2o_http1client_t *client, const char *errstr);
static void hcall_finish(struct hcall *call, enum hcall_result result);
static void hcall_release(struct hcall *call);

/* lifetime */

static void hcli_on_queue(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages)
{
	h2o_hostinfo_getaddr_receiver(receiver, messages);
}

static void hcli_pool_free(gpointer data)
{
	h2o_socketpool_dispose(data);
	g_free(data);
}

struct hcli *hcli_create(uv_loop_t *loop)
{
	struct hcli *cli = g_new0(struct hcli, 1);

	cli->loop = loop;
	cli->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(cli->queue, &cli->receiver, hcli_on_queue);
	h2o_timeout_init(loop, &cli->io_timeout, HCLI_IO_TIMEOUT_MS);
	cli->ctx.loop = loop;
	cli->ctx.getaddr_receiver = &cli->receiver;
	cli->ctx.io_timeout = &cli->io_timeout;
	cli->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, hcli_pool_free);
	return cli;
}

void hcli_destroy(struct hcli *cli)
{
	if (!cli)
		return;
	g_hash_table_destroy(cli->pools);
	h2o_timeout_dispose(cli->loop, &cli->io_timeout);
	h2o_multithread_unregister_receiver(cli->queue, &cli->receiver);
	h2o_multithread_destroy_queue(cli->queue);
	g_free(cli);
}

/* commands */

static h2o_socketpool_t *hcli_pool(struct hcli *cli, const char *address, const char *host,
				   uint16_t port)
{
	h2o_socketpool_t *pool = g_hash_table_lookup(cli->pools, address);

	if (pool)
		return pool;
	pool = g_new0(h2o_socketpool_t, 1);
	h2o_socketpool_init_by_hostport(pool, h2o_iovec_init(host, strlen(host)), port, 0,
					HCLI_POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(pool, cli->loop, HCLI_POOL_IDLE_MS);
	g_hash_table_insert(cli->pools, g_strdup(address), pool);
	return pool;
}

/* Connecting from the timer keeps callbacks out of hcli_call() itself. */
static void hcall_connect(struct hcall *call)
{
	const char *colon = strrchr(call->address, ':');
	g_autofree char *host = NULL;
	uint16_t port;

	if (!colon) {
		hcall_finish(call, HCALL_CONNECT_FAILED);
		return;
	}
	host = g_strndup(call->address, (gsize)(colon - call->address));
	port = (uint16_t)strtoul(colon + 1, NULL, 10);
	if (call->fresh)
		h2o_http1client_connect(&call->client, call, &call->cli->ctx,
					h2o_iovec_init(host, strlen(host)), port, 0,
					hcall_on_connect);
	else
		h2o_http1client_connect_with_pool(&call->client, call, &call->cli->ctx,
						  hcli_pool(call->cli, call->address, host, port),
						  hcall_on_connect);
}

struct hcall *hcli_call(struct hcli *cli, const struct hcall_req *req, const struct hcall_ops *ops,
			void *ctx)
{
	struct hcall *call = g_new0(struct hcall, 1);

	call->cli = cli;
	call->ops = ops;
	call->ctx = ctx;
	call->address = g_strdup(req->address);
	call->fresh = req->fresh;
	call->timeout_ms = req->timeout_ms;
	call->head_method = strcmp(req->method, "HEAD") == 0;
	call->text = g_string_sized_new(256 + req->body_len);
	g_string_append_printf(call->text, "%s %s HTTP/1.1\r\nhost: %s\r\n", req->method, req->path,
			       req->address);
	if (req->headers)
		g_string_append(call->text, req->headers);
	if (req->fresh)
		g_string_append(call->text, "connection: close\r\n");
	g_string_append_printf(call->text, "content-length: %zu\r\n\r\n", req->body_len);
	if (req->body_len)
		g_string_append_len(call->text, req->body, (gssize)req->body_len);
	uv_timer_init(cli->loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, hcall_on_timer, 0, 0);
	return call;
}

void hcall_cancel(struct hcall *call)
{
	if (call->dropped)
		return;
	call->dropped = true;
	if (call->in_callback)
		return;
	if (call->client)
		h2o_http1client_cancel(call->client);
	hcall_release(call);
}

void hcall_pause(struct hcall *call)
{
	if (!call->client || !call->client->sock || call->paused_reader)
		return;
	call->paused_reader = call->client->sock->_cb.read;
	if (call->paused_reader)
		h2o_socket_read_stop(call->client->sock);
}

void hcall_resume(struct hcall *call)
{
	h2o_socket_cb reader = call->paused_reader;

	if (!reader || !call->client || !call->client->sock)
		return;
	call->paused_reader = NULL;
	h2o_socket_read_start(call->client->sock, reader);
}

/* queries */

uint16_t hcall_head_status(const struct hcall_head *head)
{
	return head->status;
}

char *hcall_head_get(const struct hcall_head *head, const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < head->count; i++) {
		const h2o_header_t *header = &head->headers[i];

		if (header->name->len == len &&
		    g_ascii_strncasecmp(header->name->base, name, len) == 0)
			return g_strndup(header->value.base, header->value.len);
	}
	return NULL;
}

/* helpers */

static void hcall_on_closed(uv_handle_t *handle)
{
	struct hcall *call = handle->data;

	g_string_free(call->text, TRUE);
	g_free(call->address);
	g_free(call);
}

static void hcall_release(struct hcall *call)
{
	call->client = NULL;
	uv_close((uv_handle_t *)&call->timer, hcall_on_closed);
}

/* Reports the end; h2o frees its client after the running callback. */
static void hcall_finish(struct hcall *call, enum hcall_result result)
{
	if (!call->dropped) {
		call->dropped = true;
		if (call->ops->end)
			call->ops->end(call->ctx, result, call->sent);
	}
	hcall_release(call);
}

static void hcall_on_timer(uv_timer_t *timer)
{
	struct hcall *call = timer->data;

	if (!call->started) {
		call->started = true;
		if (call->timeout_ms)
			uv_timer_start(timer, hcall_on_timer, call->timeout_ms, 0);
		hcall_connect(call);
		return;
	}
	if (call->client)
		h2o_http1client_cancel(call->client);
	hcall_finish(call, HCALL_TIMEOUT);
}

static h2o_http1client_head_cb hcall_on_connect(h2o_http1client_t *client, const char *errstr,
						h2o_iovec_t **bufs, size_t *count, int *is_head)
{
	struct hcall *call = client->data;
	bool go = true;

	if (errstr) {
		hcall_finish(call, HCALL_CONNECT_FAILED);
		return NULL;
	}
	call->client = client;
	call->in_callback = true;
	if (call->ops->connected)
		go = call->ops->connected(call->ctx);
	call->in_callback = false;
	if (!go || call->dropped) {
		hcall_finish(call, HCALL_CONNECT_FAILED);
		return NULL;
	}
	call->sent = true;
	call->buf = h2o_iovec_init(call->text->str, call->text->len);
	*bufs = &call->buf;
	*count = 1;
	*is_head = call->head_method;
	return hcall_on_head;
}

static h2o_http1client_body_cb hcall_on_head(h2o_http1client_t *client, const char *errstr,
					     int minor, int status, h2o_iovec_t msg,
					     h2o_header_t *headers, size_t count, int rlen)
{
	struct hcall *call = client->data;
	struct hcall_head head = { (uint16_t)status, headers, count };

	(void)minor;
	(void)msg;
	(void)rlen;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		hcall_finish(call, HCALL_BROKEN);
		return NULL;
	}
	call->in_callback = true;
	if (call->ops->head)
		call->ops->head(call->ctx, &head);
	call->in_callback = false;
	if (call->dropped) {
		hcall_release(call);
		return NULL;
	}
	if (errstr) {
		hcall_finish(call, HCALL_OK);
		return NULL;
	}
	return hcall_on_body;
}

static int hcall_on_body(h2o_http1client_t *client, const char *errstr)
{
	struct hcall *call = client->data;
	h2o_buffer_t *input = client->sock->input;

	if (input->size > 0 && call->ops->data) {
		call->in_callback = true;
		call->ops->data(call->ctx, input->bytes, input->size);
		call->in_callback = false;
	}
	h2o_buffer_consume(&client->sock->input, client->sock->input->size);
	if (call->dropped) {
		hcall_release(call);
		return -1;
	}
	if (!errstr)
		return 0;
	hcall_finish(call, errstr == h2o_http1client_error_is_eos ? HCALL_OK : HCALL_BROKEN);
	return -1;
}
