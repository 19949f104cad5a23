/**
 * @file test_sending.c
 * Random interleavings of requests, retries, moves and second requests under the same id, and of
 * answers of an upstream that come late, twice, cut or not at all, over the pool of connections of
 * the HTTP client.
 *
 * Every request names its sending, and so does every answer. The client does not look at this; the
 * test does: a call whose answer is that of another sending is a violation (MIXED), as is a request
 * that runs twice (TWICE) or counts as refused and has run (REFUSED). The number of seeds may be
 * given as an argument.
 */
#include "flamingolatch/http_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SENDING_SEEDS	    500
#define SENDING_REQUESTS    6
#define SENDING_OPERATIONS  60
#define SENDING_MAX	    4 /* of one request */
#define SENDING_SETTLE	    200
#define SENDING_MAX_PRINTED 100

/* Who makes a call. */
enum sending_owner {
	SENDING_REQUEST, /* a request, or a retry of it after a refusal */
	SENDING_MOVE,	 /* a call about a request, under its id */
	SENDING_AGAIN,	 /* a second request of the caller under the same id */
	SENDING_OWNER_COUNT
};

enum sending_operation {
	SENDING_START,	 /* a call of any owner */
	SENDING_COPY,	 /* the upstream sends a second copy of an answer */
	SENDING_RELEASE, /* the upstream sends an answer that it held back */
	SENDING_WAIT,
	SENDING_OPERATION_COUNT
};

/* What the upstream does with a request. */
enum sending_action {
	SENDING_RUN,
	SENDING_REFUSE,
	SENDING_RUN_TWICE,    /* runs it; a second copy of the answer may follow later */
	SENDING_REFUSE_TWICE, /* the same of a refusal */
	SENDING_HOLD,	      /* runs it and answers later */
	SENDING_CUT,	      /* runs it and closes within the answer */
	SENDING_CLOSE,	      /* closes without an answer */
	SENDING_ACTION_COUNT
};

/* How often each action is drawn. */
static const uint32_t sending_weights[SENDING_ACTION_COUNT] = { 3, 4, 2, 6, 3, 1, 1 };

struct sending_world;

struct sending_request {
	uint32_t sendings;
	uint32_t runs;
	bool finished; /* it got an answer that is no refusal, or none */
};

struct sending_call {
	struct sending_world *world;
	enum sending_owner owner;
	uint32_t id;
	uint32_t sending;
	uint16_t status;
	struct http_call *call;
};

/* The upstream's end of a connection. */
struct sending_conn {
	uv_tcp_t tcp;
	struct sending_world *world;
	GString *input;
	GString *held; /* answer to send later; NULL: none */
	GQueue copies; /* GString, second copies to send */
	bool closed;
};

struct sending_world {
	uv_loop_t loop;
	uv_tcp_t listener;
	char address[32];
	struct http_client *client;
	GRand *rand;
	GPtrArray *conns; /* struct sending_conn */
	struct sending_request requests[SENDING_REQUESTS];
	struct sending_call *open[SENDING_REQUESTS][SENDING_OWNER_COUNT];
	GArray *ran;	     /* by sending: whether it ran */
	GString *violations; /* the first of each rule */
};

/* Over all seeds. */
static uint64_t sending_calls;
static uint64_t sending_connects;
static uint64_t sending_mismatched;

static void sending_violation(struct sending_world *world, const char *rule, uint32_t id)
{
	if (!strstr(world->violations->str, rule))
		g_string_append_printf(world->violations, " %s (id %u)", rule, id);
}

/* the upstream */

static void sending_conn_on_closed(uv_handle_t *handle)
{
	struct sending_conn *conn = handle->data;
	GString *copy;

	while ((copy = g_queue_pop_head(&conn->copies)))
		g_string_free(copy, TRUE);
	if (conn->held)
		g_string_free(conn->held, TRUE);
	g_string_free(conn->input, TRUE);
	g_free(conn);
}

static void sending_conn_close(struct sending_conn *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	g_ptr_array_remove(conn->world->conns, conn);
	uv_close((uv_handle_t *)&conn->tcp, sending_conn_on_closed);
}

static void sending_conn_write(struct sending_conn *conn, const char *bytes, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned int)len);

	if (!conn->closed)
		uv_try_write((uv_stream_t *)&conn->tcp, &buf, 1);
}

static void sending_conn_send_copy(struct sending_conn *conn)
{
	GString *copy = g_queue_pop_head(&conn->copies);

	if (!copy)
		return;
	sending_conn_write(conn, copy->str, copy->len);
	g_string_free(copy, TRUE);
}

static enum sending_action sending_draw_action(struct sending_world *world)
{
	uint32_t sum = 0;
	uint32_t draw;

	for (uint32_t i = 0; i < SENDING_ACTION_COUNT; i++)
		sum += sending_weights[i];
	draw = (uint32_t)g_rand_int_range(world->rand, 0, (gint32)sum);
	for (uint32_t i = 0; i < SENDING_ACTION_COUNT; i++) {
		if (draw < sending_weights[i])
			return (enum sending_action)i;
		draw -= sending_weights[i];
	}
	return SENDING_RUN;
}

/* Carries out a request. @param owner who sent it */
static void sending_conn_handle(struct sending_conn *conn, uint32_t id, uint32_t sending,
				enum sending_owner owner)
{
	struct sending_world *world = conn->world;
	enum sending_action action = sending_draw_action(world);
	bool refused = action == SENDING_REFUSE || action == SENDING_REFUSE_TWICE;
	bool runs = !refused && (action != SENDING_CLOSE || g_rand_boolean(world->rand));
	GString *answer = g_string_new(NULL);

	g_string_printf(answer,
			"HTTP/1.1 %s\r\nX-Id: %u\r\nX-Sending: %u\r\nContent-Length: 4\r\n\r\nbody",
			refused ? "503 Service Unavailable" : "200 OK", id, sending);
	g_array_index(world->ran, bool, sending) = runs;
	if (runs && owner == SENDING_REQUEST && ++world->requests[id].runs > 1)
		sending_violation(world, "TWICE", id);
	/* the copy of an earlier answer comes where the next one is expected */
	if (g_rand_boolean(world->rand))
		sending_conn_send_copy(conn);
	if (action == SENDING_HOLD) {
		conn->held = answer;
		return;
	}
	if (action == SENDING_CUT)
		g_string_truncate(answer,
				  (gsize)g_rand_int_range(world->rand, 1, (gint32)answer->len));
	if (action != SENDING_CLOSE)
		sending_conn_write(conn, answer->str, answer->len);
	if (action == SENDING_RUN_TWICE || action == SENDING_REFUSE_TWICE)
		g_queue_push_tail(&conn->copies, g_string_new(answer->str));
	if (action == SENDING_CUT || action == SENDING_CLOSE)
		sending_conn_close(conn);
	g_string_free(answer, TRUE);
}

static void sending_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void sending_conn_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct sending_conn *conn = stream->data;
	char *end;

	if (count < 0) {
		sending_conn_close(conn);
		return;
	}
	g_string_append_len(conn->input, buf->base, count);
	while (!conn->closed && (end = strstr(conn->input->str, "\r\n\r\n"))) {
		uint32_t id;
		uint32_t sending;
		uint32_t owner;

		g_assert_cmpint(sscanf(conn->input->str, "GET /%u/%u/%u ", &id, &sending, &owner),
				==, 3);
		g_string_erase(conn->input, 0, end + 4 - conn->input->str);
		sending_conn_handle(conn, id, sending, (enum sending_owner)owner);
	}
}

static void sending_on_connection(uv_stream_t *listener, int status)
{
	struct sending_world *world = listener->data;
	struct sending_conn *conn = g_new0(struct sending_conn, 1);

	g_assert_cmpint(status, ==, 0);
	conn->world = world;
	conn->input = g_string_new(NULL);
	g_queue_init(&conn->copies);
	uv_tcp_init(&world->loop, &conn->tcp);
	conn->tcp.data = conn;
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&conn->tcp), ==, 0);
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, sending_on_alloc, sending_conn_on_read);
	g_ptr_array_add(world->conns, conn);
}

/* the calls */

static bool sending_call_matches(void *ctx, const struct http_response_head *head)
{
	const struct sending_call *call = ctx;
	g_autofree char *id = http_response_dup_header(head, "x-id");

	return id && (uint32_t)atoi(id) == call->id;
}

static void sending_call_on_head(void *ctx, const struct http_response_head *head)
{
	struct sending_call *call = ctx;
	g_autofree char *sending = http_response_dup_header(head, "x-sending");

	call->status = http_response_status(head);
	if ((uint32_t)atoi(sending) != call->sending)
		sending_violation(call->world, "MIXED", call->id);
	/* as the gateway does after the answer to a call about a request */
	if (call->owner == SENDING_MOVE)
		http_call_disable_reuse(call->call);
}

static void sending_call_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct sending_call *call = ctx;
	struct sending_world *world = call->world;
	struct sending_request *request = &world->requests[call->id];
	bool refused = call->status == 503;

	world->open[call->id][call->owner] = NULL;
	if (refused && g_array_index(world->ran, bool, call->sending))
		sending_violation(world, "REFUSED", call->id);
	if (call->owner == SENDING_REQUEST)
		request->finished = !refused && (sent || result != HTTP_CALL_CONNECT_FAILED);
	g_free(call);
}

static const struct http_call_ops sending_call_ops = { .head = sending_call_on_head,
						       .end = sending_call_on_end,
						       .matches = sending_call_matches };

static void sending_start(struct sending_world *world, uint32_t id, enum sending_owner owner)
{
	struct sending_request *request = &world->requests[id];
	struct sending_call *call;
	g_autofree char *path = NULL;
	g_autofree char *id_text = g_strdup_printf("%u", id);
	struct http_call_request req = { .address = world->address, .method = "GET" };
	bool ran = false;

	if (world->open[id][owner])
		return;
	if (owner == SENDING_REQUEST && (request->finished || request->sendings++ >= SENDING_MAX))
		return;
	call = g_new0(struct sending_call, 1);
	call->world = world;
	call->owner = owner;
	call->id = id;
	call->sending = world->ran->len;
	g_array_append_val(world->ran, ran);
	path = g_strdup_printf("/%u/%u/%u", id, call->sending, (uint32_t)owner);
	req.path = path;
	req.id = id_text;
	world->open[id][owner] = call;
	call->call = http_call_start(world->client, &req, &sending_call_ops, call);
	sending_calls++;
}

/* the world */

static void sending_open(struct sending_world *world, uint32_t seed)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	*world = (struct sending_world){ 0 };
	uv_loop_init(&world->loop);
	uv_tcp_init(&world->loop, &world->listener);
	world->listener.data = world;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	g_assert_cmpint(uv_tcp_bind(&world->listener, (const struct sockaddr *)&addr, 0), ==, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&world->listener, 64, sending_on_connection), ==,
			0);
	uv_tcp_getsockname(&world->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(world->address, sizeof(world->address), "127.0.0.1:%u", ntohs(addr.sin_port));
	world->client = http_client_create(&world->loop);
	world->rand = g_rand_new_with_seed(seed);
	world->conns = g_ptr_array_new();
	world->violations = g_string_new(NULL);
	world->ran = g_array_new(FALSE, TRUE, sizeof(bool));
}

static void sending_close(struct sending_world *world)
{
	sending_connects += http_client_counts(world->client)->connects;
	sending_mismatched += http_client_counts(world->client)->mismatched;
	for (uint32_t i = 0; i < SENDING_REQUESTS * SENDING_OWNER_COUNT; i++) {
		struct sending_call *call =
			world->open[i / SENDING_OWNER_COUNT][i % SENDING_OWNER_COUNT];

		if (!call)
			continue;
		http_call_cancel(call->call);
		g_free(call);
	}
	http_client_destroy(world->client);
	while (world->conns->len > 0)
		sending_conn_close(world->conns->pdata[0]);
	uv_close((uv_handle_t *)&world->listener, NULL);
	uv_run(&world->loop, UV_RUN_DEFAULT);
	g_assert_cmpint(uv_loop_close(&world->loop), ==, 0);
	g_array_free(world->ran, TRUE);
	g_ptr_array_free(world->conns, TRUE);
	g_rand_free(world->rand);
	g_string_free(world->violations, TRUE);
}

static struct sending_conn *sending_draw_conn(struct sending_world *world)
{
	if (world->conns->len == 0)
		return NULL;
	return world->conns->pdata[g_rand_int_range(world->rand, 0, (gint32)world->conns->len)];
}

static void sending_release(struct sending_conn *conn)
{
	if (!conn || !conn->held)
		return;
	sending_conn_write(conn, conn->held->str, conn->held->len);
	g_string_free(conn->held, TRUE);
	conn->held = NULL;
}

static void sending_operate(struct sending_world *world)
{
	GRand *rand = world->rand;
	uint32_t operation = (uint32_t)g_rand_int_range(rand, 0, SENDING_OPERATION_COUNT);
	uint32_t id = (uint32_t)g_rand_int_range(rand, 0, SENDING_REQUESTS);
	/* requests are the most frequent of the owners */
	int32_t owner = g_rand_int_range(rand, -2, SENDING_OWNER_COUNT);
	struct sending_conn *conn = sending_draw_conn(world);
	int32_t turns = g_rand_int_range(rand, 0, 8);

	if (operation == SENDING_START)
		sending_start(world, id, (enum sending_owner)MAX(0, owner));
	else if (operation == SENDING_COPY && conn && !conn->held)
		sending_conn_send_copy(conn);
	else if (operation == SENDING_RELEASE)
		sending_release(conn);
	for (int32_t i = 0; i < turns; i++)
		uv_run(&world->loop, UV_RUN_NOWAIT);
}

/* Plays one seed. @return what was violated, to be freed; empty: nothing */
static char *sending_play(uint32_t seed)
{
	struct sending_world world;
	char *violation;

	sending_open(&world, seed);
	for (uint32_t i = 0; i < SENDING_OPERATIONS; i++)
		sending_operate(&world);
	for (uint32_t i = 0; i < SENDING_SETTLE; i++) {
		sending_release(sending_draw_conn(&world));
		uv_run(&world.loop, UV_RUN_NOWAIT);
	}
	violation = g_strdup(world.violations->str);
	sending_close(&world);
	return violation;
}

int main(int argc, char **argv)
{
	uint32_t seeds = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : SENDING_SEEDS;
	uint32_t violations = 0;

	for (uint32_t seed = 1; seed <= seeds; seed++) {
		g_autofree char *violation = sending_play(seed);

		if (*violation == '\0')
			continue;
		if (violations++ < SENDING_MAX_PRINTED)
			printf("violation: seed %u:%s\n", seed, violation);
	}
	printf("%u seeds, %u with a violation; %" G_GUINT64_FORMAT " calls, %" G_GUINT64_FORMAT
	       " connections opened, %" G_GUINT64_FORMAT " responses skipped\n",
	       seeds, violations, sending_calls, sending_connects, sending_mismatched);
	return violations > 0;
}
