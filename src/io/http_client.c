#include "flamingolatch/http_client.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HCLI_READ_BYTES	      16384
#define HCLI_SWEEP_MS	      500
#define HCLI_IDLE_MS	      4000 /* kept without a Keep-Alive of the server's */
#define HCLI_IDLE_MAX_MS      20000
#define HCLI_IDLE_SLACK_MS    300  /* closed this long before the server would */
#define HCLI_USER_TIMEOUT_MS  3000 /* unacknowledged bytes end a connection */
#define HCLI_PROBE_IDLE_S     1
#define HCLI_PROBE_INTERVAL_S 1
#define HCLI_PROBE_COUNT      3

struct hlink;

struct hcli {
	uv_loop_t *loop;
	GHashTable *idle; /* "address scope" to GQueue of struct hlink, newest last */
	uv_timer_t sweep;
	struct hcli_counts counts;
	char read_buf[HCLI_READ_BYTES]; /* one loop reads one connection at a time */
	bool destroyed;
};

struct hcall {
	struct hcli *cli;
	struct hlink *link; /* NULL before it connects and after it ended */
	const struct hcall_ops *ops;
	void *ctx;
	char *address;
	char *key; /* of the idle table */
	GString *text;
	uv_timer_t timer;
	uint64_t timeout_ms;
	uint64_t connect_ms;
	bool fresh;
	bool head_method;
	bool started;
	bool sent;
	bool ended;
	bool paused;
};

/* A connection. */
struct hlink {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct hcli *cli;
	struct hcall *call; /* NULL when idle or left */
	char *key;
	GString *text; /* being written */
	http_parser parser;
	GPtrArray *headers; /* name, value, name, value, ...; names in lower case */
	GString *name;
	GString *value;
	uint64_t idle_since_ms;
	uint64_t keep_ms;
	bool in_value;
	bool connected;
	bool writing;
	bool closing;
	bool disowned; /* the answer being read belongs to another call */
	bool tainted;  /* not to be used again */
	bool whole;    /* the answer is complete */
	bool idle;
};

struct hcall_head {
	uint16_t status;
	int64_t length;
	bool closes;
	const GPtrArray *headers;
};

static void hcall_on_timer(uv_timer_t *timer);
static void hcall_finish(struct hcall *call, enum hcall_result result);
static void hcall_release(struct hcall *call);
static void hlink_close(struct hlink *link);
static void hlink_send(struct hlink *link, struct hcall *call);
static void hlink_read(struct hlink *link);
static void hcli_on_sweep(uv_timer_t *timer);

/* lifetime */

static void hcli_queue_free(gpointer data)
{
	g_queue_free(data);
}

struct hcli *hcli_create(uv_loop_t *loop)
{
	struct hcli *cli = g_new0(struct hcli, 1);

	cli->loop = loop;
	cli->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, hcli_queue_free);
	uv_timer_init(loop, &cli->sweep);
	cli->sweep.data = cli;
	uv_timer_start(&cli->sweep, hcli_on_sweep, HCLI_SWEEP_MS, HCLI_SWEEP_MS);
	uv_unref((uv_handle_t *)&cli->sweep);
	return cli;
}

static void hcli_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void hcli_close_idle(GQueue *queue)
{
	struct hlink *link;

	while ((link = g_queue_pop_head(queue))) {
		link->idle = false;
		hlink_close(link);
	}
}

void hcli_destroy(struct hcli *cli)
{
	GHashTableIter iter;
	GQueue *queue;

	if (!cli)
		return;
	cli->destroyed = true;
	g_hash_table_iter_init(&iter, cli->idle);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue))
		hcli_close_idle(queue);
	g_hash_table_destroy(cli->idle);
	cli->idle = NULL;
	uv_close((uv_handle_t *)&cli->sweep, hcli_on_closed);
}

/* commands */

static void hcall_write_head(GString *text, const struct hcall_req *req)
{
	bool bare = strcmp(req->method, "GET") == 0 || strcmp(req->method, "HEAD") == 0 ||
		    strcmp(req->method, "DELETE") == 0;

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n", req->method, req->path,
			       req->host ? req->host : req->address);
	if (req->headers)
		g_string_append(text, req->headers);
	if (req->fresh)
		g_string_append(text, "Connection: close\r\n");
	if (req->body_len || !bare)
		g_string_append_printf(text, "Content-Length: %zu\r\n", req->body_len);
	g_string_append(text, "\r\n");
	if (req->body_len)
		g_string_append_len(text, req->body, (gssize)req->body_len);
}

struct hcall *hcli_call(struct hcli *cli, const struct hcall_req *req, const struct hcall_ops *ops,
			void *ctx)
{
	struct hcall *call = g_new0(struct hcall, 1);

	call->cli = cli;
	call->ops = ops;
	call->ctx = ctx;
	call->address = g_strdup(req->address);
	call->key = g_strdup_printf("%s %s", req->address, req->scope ? req->scope : "");
	call->fresh = req->fresh;
	call->timeout_ms = req->timeout_ms;
	call->connect_ms = req->connect_ms ? req->connect_ms : HCLI_CONNECT_MS;
	call->head_method = strcmp(req->method, "HEAD") == 0;
	call->text = g_string_sized_new(512 + req->body_len);
	hcall_write_head(call->text, req);
	uv_timer_init(cli->loop, &call->timer);
	call->timer.data = call;
	/* Connecting from the timer keeps callbacks out of this function. */
	uv_timer_start(&call->timer, hcall_on_timer, 0, 0);
	return call;
}

void hcall_cancel(struct hcall *call)
{
	struct hlink *link = call->link;

	if (call->ended)
		return;
	call->ended = true;
	if (link) {
		link->call = NULL;
		hlink_close(link);
	}
	hcall_release(call);
}

void hcall_pause(struct hcall *call)
{
	if (call->paused || !call->link)
		return;
	call->paused = true;
	uv_read_stop((uv_stream_t *)&call->link->tcp);
}

void hcall_resume(struct hcall *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	if (call->link)
		hlink_read(call->link);
}

void hcli_forget(struct hcli *cli, const char *address, const char *scope)
{
	g_autofree char *key = g_strdup_printf("%s %s", address, scope ? scope : "");
	GQueue *queue = g_hash_table_lookup(cli->idle, key);

	if (!queue)
		return;
	hcli_close_idle(queue);
	g_hash_table_remove(cli->idle, key);
}

/* queries */

bool hcli_has_idle(struct hcli *cli, const char *address, const char *scope)
{
	g_autofree char *key = g_strdup_printf("%s %s", address, scope ? scope : "");
	GQueue *queue = g_hash_table_lookup(cli->idle, key);

	return queue && queue->length > 0;
}

const struct hcli_counts *hcli_counts(const struct hcli *cli)
{
	return &cli->counts;
}

uint16_t hcall_head_status(const struct hcall_head *head)
{
	return head->status;
}

static const char *hcall_head_find(const struct hcall_head *head, const char *name)
{
	for (guint i = 0; i + 1 < head->headers->len; i += 2) {
		if (strcmp(head->headers->pdata[i], name) == 0)
			return head->headers->pdata[i + 1];
	}
	return NULL;
}

char *hcall_head_get(const struct hcall_head *head, const char *name)
{
	return g_strdup(hcall_head_find(head, name));
}

int64_t hcall_head_length(const struct hcall_head *head)
{
	return head->length;
}

bool hcall_head_closes(const struct hcall_head *head)
{
	return head->closes;
}

void hcall_head_each(const struct hcall_head *head,
		     void (*each)(void *ctx, const char *name, const char *value), void *ctx)
{
	static const char *const own[] = { "connection", "keep-alive",	     "transfer-encoding",
					   "trailer",	 "upgrade",	     "content-length",
					   "te",	 "proxy-connection", NULL };

	for (guint i = 0; i + 1 < head->headers->len; i += 2) {
		if (!g_strv_contains(own, head->headers->pdata[i]))
			each(ctx, head->headers->pdata[i], head->headers->pdata[i + 1]);
	}
}

/* helpers: calls */

static void hcall_on_closed(uv_handle_t *handle)
{
	struct hcall *call = handle->data;

	if (call->text)
		g_string_free(call->text, TRUE);
	g_free(call->address);
	g_free(call->key);
	g_free(call);
}

static void hcall_release(struct hcall *call)
{
	call->link = NULL;
	uv_close((uv_handle_t *)&call->timer, hcall_on_closed);
}

static void hcall_finish(struct hcall *call, enum hcall_result result)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->link)
		call->link->call = NULL;
	if (call->ops->end)
		call->ops->end(call->ctx, result, call->sent);
	hcall_release(call);
}

/* Fails a call and its connection. */
static void hlink_fail(struct hlink *link, enum hcall_result result)
{
	struct hcall *call = link->call;

	link->call = NULL;
	hlink_close(link);
	if (!call)
		return;
	call->link = NULL;
	hcall_finish(call, call->sent ? result : HCALL_CONNECT_FAILED);
}

/* helpers: connections */

static void hlink_free(uv_handle_t *handle)
{
	struct hlink *link = handle->data;

	g_string_free(link->name, TRUE);
	g_string_free(link->value, TRUE);
	g_ptr_array_free(link->headers, TRUE);
	if (link->text)
		g_string_free(link->text, TRUE);
	g_free(link->key);
	g_free(link);
}

static void hlink_close(struct hlink *link)
{
	if (link->closing)
		return;
	link->closing = true;
	if (link->idle) {
		GQueue *queue = g_hash_table_lookup(link->cli->idle, link->key);

		if (queue)
			g_queue_remove(queue, link);
		link->idle = false;
	}
	uv_close((uv_handle_t *)&link->tcp, hlink_free);
}

/* Keeps a connection whose exchange ended cleanly. */
static void hlink_keep(struct hlink *link)
{
	GQueue *queue;

	if (!link->cli->idle || link->tainted || link->writing) {
		hlink_close(link);
		return;
	}
	queue = g_hash_table_lookup(link->cli->idle, link->key);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(link->cli->idle, g_strdup(link->key), queue);
	}
	link->idle = true;
	link->idle_since_ms = uv_now(link->cli->loop);
	g_queue_push_tail(queue, link);
}

static int hlink_on_begin(http_parser *parser)
{
	struct hlink *link = parser->data;

	g_ptr_array_set_size(link->headers, 0);
	link->in_value = false;
	link->disowned = false;
	return 0;
}

static void hlink_take_header(struct hlink *link)
{
	char *value;

	if (link->name->len == 0)
		return;
	value = g_strndup(link->value->str, link->value->len);
	g_strchomp(value);
	g_ptr_array_add(link->headers, g_ascii_strdown(link->name->str, (gssize)link->name->len));
	g_ptr_array_add(link->headers, value);
	g_string_truncate(link->name, 0);
	g_string_truncate(link->value, 0);
}

static int hlink_on_field(http_parser *parser, const char *at, size_t len)
{
	struct hlink *link = parser->data;

	if (link->in_value)
		hlink_take_header(link);
	link->in_value = false;
	g_string_append_len(link->name, at, (gssize)len);
	return 0;
}

static int hlink_on_value(http_parser *parser, const char *at, size_t len)
{
	struct hlink *link = parser->data;

	link->in_value = true;
	g_string_append_len(link->value, at, (gssize)len);
	return 0;
}

/* Reads how long the server keeps the connection. */
static void hlink_read_keep(struct hlink *link, const struct hcall_head *head)
{
	const char *value = hcall_head_find(head, "keep-alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	uint64_t told_ms = HCLI_IDLE_MS;

	if (timeout)
		told_ms = strtoull(timeout + strlen("timeout="), NULL, 10) * 1000;
	link->keep_ms = told_ms > HCLI_IDLE_SLACK_MS ? told_ms - HCLI_IDLE_SLACK_MS : 0;
	link->keep_ms = MIN(link->keep_ms, HCLI_IDLE_MAX_MS);
}

static int hlink_on_head(http_parser *parser)
{
	struct hlink *link = parser->data;
	struct hcall *call = link->call;
	struct hcall_head head = { (uint16_t)parser->status_code,
				   parser->content_length == UINT64_MAX
					   ? -1
					   : (int64_t)parser->content_length,
				   !http_should_keep_alive(parser), link->headers };

	hlink_take_header(link);
	hlink_read_keep(link, &head);
	if (head.status / 100 == 1)
		return 0;
	if (!call)
		return 0;
	if (call->ops->owns && !call->ops->owns(call->ctx, &head)) {
		link->disowned = true;
		link->tainted = true;
		link->cli->counts.disowned++;
		return 0;
	}
	if (head.closes)
		link->tainted = true;
	if (call->ops->head)
		call->ops->head(call->ctx, &head);
	return call->head_method ? 1 : 0;
}

static int hlink_on_body(http_parser *parser, const char *at, size_t len)
{
	struct hlink *link = parser->data;
	struct hcall *call = link->call;

	if (call && !link->disowned && call->ops->data)
		call->ops->data(call->ctx, at, len);
	return 0;
}

static int hlink_on_complete(http_parser *parser)
{
	struct hlink *link = parser->data;

	if (link->disowned || parser->status_code / 100 == 1)
		return 0;
	link->whole = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings hlink_parser_settings = {
	.on_message_begin = hlink_on_begin,
	.on_header_field = hlink_on_field,
	.on_header_value = hlink_on_value,
	.on_headers_complete = hlink_on_head,
	.on_body = hlink_on_body,
	.on_message_complete = hlink_on_complete,
};

/* Ends the call of a connection whose answer is whole. */
static void hlink_complete(struct hlink *link, size_t left)
{
	struct hcall *call = link->call;

	if (left > 0) {
		link->tainted = true;
		link->cli->counts.trailing++;
	}
	link->call = NULL;
	if (call)
		call->link = NULL;
	hlink_keep(link);
	if (call)
		hcall_finish(call, HCALL_OK);
}

static void hlink_feed(struct hlink *link, const char *buf, size_t len)
{
	size_t used = http_parser_execute(&link->parser, &hlink_parser_settings, buf, len);

	if (link->closing)
		return;
	if (link->whole)
		hlink_complete(link, len - used);
	else if (HTTP_PARSER_ERRNO(&link->parser) != HPE_OK)
		hlink_fail(link, HCALL_BROKEN);
}

static void hlink_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct hlink *link = handle->data;

	(void)suggested;
	*buf = uv_buf_init(link->cli->read_buf, sizeof(link->cli->read_buf));
}

/* Whether the peer reset the connection, though the stream only shows its end. */
static bool hlink_was_reset(struct hlink *link)
{
	struct tcp_info info = { 0 };
	socklen_t info_len = sizeof(info);
	int err = 0;
	socklen_t err_len = sizeof(err);
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) != 0)
		return true;
	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &err_len) != 0 || err != 0)
		return true;
	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &info_len) == 0 &&
	       info.tcpi_state == TCP_CLOSE;
}

static void hlink_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct hlink *link = stream->data;

	if (count == 0)
		return;
	if (!link->call) {
		/* An idle connection has nothing to say: it ended, or an answer came too late. */
		if (count > 0)
			link->cli->counts.trailing++;
		hlink_close(link);
		return;
	}
	if (count > 0) {
		hlink_feed(link, buf->base, (size_t)count);
		return;
	}
	/* The end of the connection ends an answer that gave no length. */
	if (count == UV_EOF && !link->disowned && !hlink_was_reset(link))
		http_parser_execute(&link->parser, &hlink_parser_settings, NULL, 0);
	if (link->closing)
		return;
	link->tainted = true;
	if (link->whole)
		hlink_complete(link, 0);
	else
		hlink_fail(link, HCALL_BROKEN);
}

static void hlink_read(struct hlink *link)
{
	if (!link->closing)
		uv_read_start((uv_stream_t *)&link->tcp, hlink_on_alloc, hlink_on_read);
}

static void hlink_on_written(uv_write_t *write, int status)
{
	struct hlink *link = write->data;

	link->writing = false;
	if (link->text)
		g_string_free(link->text, TRUE);
	link->text = NULL;
	/* A server may answer and close before it reads all; what it says counts. */
	if (status != 0)
		link->tainted = true;
}

static void hlink_send(struct hlink *link, struct hcall *call)
{
	uv_buf_t buf;

	link->call = call;
	call->link = link;
	if (call->ops->connected && !call->ops->connected(call->ctx)) {
		if (call->ended)
			return;
		link->call = NULL;
		call->link = NULL;
		if (link->connected)
			hlink_keep(link);
		hcall_finish(call, HCALL_CONNECT_FAILED);
		return;
	}
	if (call->ended)
		return;
	http_parser_init(&link->parser, HTTP_RESPONSE);
	link->parser.data = link;
	link->whole = false;
	link->disowned = false;
	link->tainted = call->fresh;
	link->text = call->text;
	call->text = NULL;
	call->sent = true;
	link->writing = true;
	link->write.data = link;
	buf = uv_buf_init(link->text->str, (unsigned int)link->text->len);
	uv_write(&link->write, (uv_stream_t *)&link->tcp, &buf, 1, hlink_on_written);
}

/* Ends a connection soon after its peer stops acknowledging. */
static void hlink_set_timeouts(struct hlink *link)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, HCLI_PROBE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, HCLI_PROBE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, HCLI_PROBE_COUNT },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, HCLI_USER_TIMEOUT_MS },
	};
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) != 0)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(options); i++)
		setsockopt(fd, options[i].level, options[i].name, &options[i].value,
			   sizeof(options[i].value));
	uv_tcp_nodelay(&link->tcp, 1);
}

static void hlink_on_connect(uv_connect_t *req, int status)
{
	struct hlink *link = req->data;

	if (link->closing)
		return;
	if (status != 0 || !link->call) {
		hlink_fail(link, HCALL_CONNECT_FAILED);
		return;
	}
	link->connected = true;
	hlink_set_timeouts(link);
	if (link->call->timeout_ms)
		uv_timer_start(&link->call->timer, hcall_on_timer, link->call->timeout_ms, 0);
	else
		uv_timer_stop(&link->call->timer);
	hlink_read(link);
	hlink_send(link, link->call);
}

/* Opens a connection for a call. @return NULL when the address is not valid */
static struct hlink *hlink_create(struct hcall *call)
{
	const char *colon = strrchr(call->address, ':');
	g_autofree char *host =
		colon ? g_strndup(call->address, (gsize)(colon - call->address)) : NULL;
	struct sockaddr_in addr;
	struct hlink *link;

	if (!host || uv_ip4_addr(host, atoi(colon + 1), &addr) != 0)
		return NULL;
	link = g_new0(struct hlink, 1);
	link->cli = call->cli;
	link->call = call;
	link->key = g_strdup(call->key);
	link->headers = g_ptr_array_new_with_free_func(g_free);
	link->name = g_string_new(NULL);
	link->value = g_string_new(NULL);
	uv_tcp_init(call->cli->loop, &link->tcp);
	link->tcp.data = link;
	link->connect.data = link;
	call->link = link;
	call->cli->counts.connects++;
	if (uv_tcp_connect(&link->connect, &link->tcp, (const struct sockaddr *)&addr,
			   hlink_on_connect) != 0) {
		call->link = NULL;
		hlink_close(link);
		return NULL;
	}
	return link;
}

/* Tells whether an idle connection is still silent and open. */
static bool hlink_sound(struct hlink *link)
{
	char byte;
	uv_os_fd_t fd;

	if (uv_now(link->cli->loop) - link->idle_since_ms > link->keep_ms)
		return false;
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Returns a kept connection of the call's scope, or NULL. */
static struct hlink *hcli_take_idle(struct hcli *cli, const char *key)
{
	GQueue *queue = g_hash_table_lookup(cli->idle, key);
	struct hlink *link;

	while (queue && (link = g_queue_pop_tail(queue))) {
		link->idle = false;
		if (hlink_sound(link))
			return link;
		hlink_close(link);
	}
	return NULL;
}

static void hcall_start(struct hcall *call)
{
	struct hlink *link = call->fresh ? NULL : hcli_take_idle(call->cli, call->key);

	if (link) {
		call->cli->counts.reuses++;
		if (call->timeout_ms)
			uv_timer_start(&call->timer, hcall_on_timer, call->timeout_ms, 0);
		hlink_send(link, call);
		return;
	}
	uv_timer_start(
		&call->timer, hcall_on_timer,
		call->timeout_ms ? MIN(call->connect_ms, call->timeout_ms) : call->connect_ms, 0);
	if (!hlink_create(call))
		hcall_finish(call, HCALL_CONNECT_FAILED);
}

static void hcall_on_timer(uv_timer_t *timer)
{
	struct hcall *call = timer->data;

	if (!call->started) {
		call->started = true;
		hcall_start(call);
		return;
	}
	if (call->link)
		hlink_fail(call->link, HCALL_TIMEOUT);
	else
		hcall_finish(call, HCALL_TIMEOUT);
}

/* Closes connections that have been idle for as long as they may. */
static void hcli_on_sweep(uv_timer_t *timer)
{
	struct hcli *cli = timer->data;
	uint64_t now_ms = uv_now(cli->loop);
	GHashTableIter iter;
	GQueue *queue;

	g_hash_table_iter_init(&iter, cli->idle);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&queue)) {
		GList *next;

		for (GList *item = queue->head; item; item = next) {
			struct hlink *link = item->data;

			next = item->next;
			if (now_ms - link->idle_since_ms <= link->keep_ms)
				continue;
			g_queue_delete_link(queue, item);
			link->idle = false;
			hlink_close(link);
		}
		if (queue->length == 0)
			g_hash_table_iter_remove(&iter);
	}
}
