#include "raw_upstream.h"

#include <string.h>

#define RAW_BACKLOG   512
#define RAW_ID_HEADER "x-flamingolatch-attempt-id: "

struct raw_upstream {
	uv_tcp_t listener;
	raw_upstream_cb cb;
	void *ctx;
	GPtrArray *conns;
	uint64_t accepted;
};

struct raw_conn {
	struct raw_upstream *upstream; /* NULL once it is closing */
	uv_tcp_t tcp;
	uv_timer_t timer;
	uint64_t number;
	GString *request;
	const char *head;   /* of the request being answered */
	char *later;	    /* what the timer writes */
	size_t piece_bytes; /* that the timer writes at a time; 0: all */
	char *endless;	    /* written again whenever it is sent */
	uint32_t later_ms;
	uint32_t open_handles;
	uint32_t request_count;
	bool repeat;
	bool close_when_sent;
	bool reset_when_sent;
};

struct raw_write {
	uv_write_t write;
	char *text;
};

static void raw_conn_abort(struct raw_conn *conn);

/* helpers */

static void raw_conn_on_closed(uv_handle_t *handle)
{
	struct raw_conn *conn = handle->data;

	if (--conn->open_handles > 0)
		return;
	g_string_free(conn->request, TRUE);
	g_free(conn->later);
	g_free(conn->endless);
	g_free(conn);
}

static void raw_conn_abort(struct raw_conn *conn)
{
	if (!conn->upstream)
		return;
	g_ptr_array_remove_fast(conn->upstream->conns, conn);
	conn->upstream = NULL;
	uv_close((uv_handle_t *)&conn->tcp, raw_conn_on_closed);
	uv_close((uv_handle_t *)&conn->timer, raw_conn_on_closed);
}

static void raw_conn_abort_by_reset(struct raw_conn *conn)
{
	if (!conn->upstream)
		return;
	g_ptr_array_remove_fast(conn->upstream->conns, conn);
	conn->upstream = NULL;
	uv_tcp_close_reset(&conn->tcp, raw_conn_on_closed);
	uv_close((uv_handle_t *)&conn->timer, raw_conn_on_closed);
}

/* Ends the connection as was asked for, when nothing is left to send. */
static void raw_conn_end_if_sent(struct raw_conn *conn)
{
	if (uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) > 0 ||
	    uv_is_active((const uv_handle_t *)&conn->timer))
		return;
	if (conn->reset_when_sent)
		raw_conn_abort_by_reset(conn);
	else if (conn->close_when_sent)
		raw_conn_abort(conn);
}

static void raw_conn_on_written(uv_write_t *write, int status)
{
	struct raw_write *raw = (struct raw_write *)write;
	struct raw_conn *conn = write->handle->data;

	g_free(raw->text);
	g_free(raw);
	if (status != 0)
		raw_conn_abort(conn);
	else if (conn->endless && conn->upstream &&
		 uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) == 0)
		raw_conn_write(conn, conn->endless);
	else if (conn->upstream)
		raw_conn_end_if_sent(conn);
}

static void raw_conn_on_timer(uv_timer_t *timer)
{
	struct raw_conn *conn = timer->data;
	size_t len = strlen(conn->later);

	if (conn->piece_bytes > 0 && len > conn->piece_bytes) {
		g_autofree char *piece = g_strndup(conn->later, conn->piece_bytes);

		memmove(conn->later, conn->later + conn->piece_bytes, len - conn->piece_bytes + 1);
		uv_timer_start(timer, raw_conn_on_timer, conn->later_ms, 0);
		raw_conn_write(conn, piece);
		return;
	}
	raw_conn_write(conn, conn->later);
	if (conn->repeat)
		uv_timer_start(timer, raw_conn_on_timer, conn->later_ms, 0);
}

static void raw_conn_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void raw_conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct raw_conn *conn = stream->data;
	g_autofree char *head = NULL;
	g_autofree char *id = NULL;
	const char *end;
	const char *at;

	if (count < 0) {
		raw_conn_abort(conn);
		return;
	}
	g_string_append_len(conn->request, buf->base, count);
	end = strstr(conn->request->str, "\r\n\r\n");
	if (!end)
		return;
	head = g_ascii_strdown(conn->request->str, end - conn->request->str + 2);
	at = strstr(head, RAW_ID_HEADER);
	if (at)
		at += strlen(RAW_ID_HEADER);
	id = at ? g_strndup(at, strcspn(at, "\r")) : g_strdup("");
	/* Bodies are so short that they arrive with the head. */
	conn->head = head;
	conn->request_count++;
	conn->upstream->cb(conn->upstream->ctx, conn, id);
	g_string_truncate(conn->request, 0);
}

static void raw_upstream_on_connection(uv_stream_t *listener, int status)
{
	struct raw_upstream *upstream = listener->data;
	struct raw_conn *conn = g_new0(struct raw_conn, 1);

	g_assert_cmpint(status, ==, 0);
	conn->upstream = upstream;
	conn->number = ++upstream->accepted;
	conn->request = g_string_new(NULL);
	conn->open_handles = 2;
	uv_tcp_init(listener->loop, &conn->tcp);
	uv_timer_init(listener->loop, &conn->timer);
	conn->tcp.data = conn;
	conn->timer.data = conn;
	g_ptr_array_add(upstream->conns, conn);
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&conn->tcp), ==, 0);
	uv_read_start((uv_stream_t *)&conn->tcp, raw_conn_on_alloc, raw_conn_on_read);
}

/* lifetime */

struct raw_upstream *raw_upstream_create(uv_loop_t *loop, const char *ip, uint16_t port,
					 raw_upstream_cb cb, void *ctx)
{
	struct raw_upstream *upstream = g_new0(struct raw_upstream, 1);
	struct sockaddr_in address;

	upstream->cb = cb;
	upstream->ctx = ctx;
	upstream->conns = g_ptr_array_new();
	uv_tcp_init(loop, &upstream->listener);
	upstream->listener.data = upstream;
	g_assert_cmpint(uv_ip4_addr(ip, port, &address), ==, 0);
	g_assert_cmpint(uv_tcp_bind(&upstream->listener, (const struct sockaddr *)&address, 0), ==,
			0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&upstream->listener, RAW_BACKLOG,
				  raw_upstream_on_connection),
			==, 0);
	return upstream;
}

static void raw_upstream_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void raw_upstream_destroy(struct raw_upstream *upstream)
{
	while (upstream->conns->len > 0)
		raw_conn_abort(upstream->conns->pdata[0]);
	g_ptr_array_free(upstream->conns, TRUE);
	uv_close((uv_handle_t *)&upstream->listener, raw_upstream_on_closed);
}

/* commands */

void raw_conn_write(struct raw_conn *conn, const char *text)
{
	struct raw_write *raw = g_new0(struct raw_write, 1);
	uv_buf_t buf;

	raw->text = g_strdup(text);
	buf = uv_buf_init(raw->text, (unsigned int)strlen(text));
	uv_write(&raw->write, (uv_stream_t *)&conn->tcp, &buf, 1, raw_conn_on_written);
}

void raw_conn_write_later(struct raw_conn *conn, const char *text, uint32_t delay_ms, bool repeat)
{
	g_free(conn->later);
	conn->later = g_strdup(text);
	conn->later_ms = delay_ms;
	conn->repeat = repeat;
	conn->piece_bytes = 0;
	uv_timer_start(&conn->timer, raw_conn_on_timer, delay_ms, 0);
}

void raw_conn_write_pieces(struct raw_conn *conn, const char *text, size_t piece_bytes,
			   uint32_t delay_ms)
{
	raw_conn_write_later(conn, text, delay_ms, false);
	conn->piece_bytes = piece_bytes;
}

void raw_conn_write_endlessly(struct raw_conn *conn, const char *text)
{
	g_free(conn->endless);
	conn->endless = g_strdup(text);
	raw_conn_write(conn, text);
}

bool raw_conn_has_later(const struct raw_conn *conn)
{
	return uv_is_active((const uv_handle_t *)&conn->timer);
}

void raw_conn_close(struct raw_conn *conn)
{
	conn->close_when_sent = true;
}

void raw_conn_reset(struct raw_conn *conn)
{
	conn->reset_when_sent = true;
}

/* queries */

uint64_t raw_upstream_unsent_bytes(const struct raw_upstream *upstream)
{
	uint64_t bytes = 0;

	for (guint i = 0; i < upstream->conns->len; i++) {
		const struct raw_conn *conn = upstream->conns->pdata[i];

		bytes += uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
	}
	return bytes;
}

const char *raw_conn_request_head(const struct raw_conn *conn)
{
	return conn->head;
}

uint32_t raw_conn_request_count(const struct raw_conn *conn)
{
	return conn->request_count;
}

const char *raw_conn_request(const struct raw_conn *conn)
{
	return conn->request->str;
}

uint64_t raw_conn_number(const struct raw_conn *conn)
{
	return conn->number;
}

struct raw_conn *raw_upstream_find_conn(const struct raw_upstream *upstream, uint64_t number)
{
	for (guint i = 0; i < upstream->conns->len; i++) {
		struct raw_conn *conn = upstream->conns->pdata[i];

		if (conn->number == number)
			return conn;
	}
	return NULL;
}

uint32_t raw_upstream_conn_count(const struct raw_upstream *upstream)
{
	return upstream->conns->len;
}
