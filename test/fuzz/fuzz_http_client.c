/**
 * @file fuzz_http_client.c
 * Compares the response that the client passes on with the one that a strict parser reads from the
 * same bytes: status, headers and body are the same, and the connection is kept only if the bytes
 * end with the response. The first byte of the input chooses where it is split into two writes.
 */
#include "flamingolatch/http_client.h"

#include "http_reference.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define QUIET_TURNS 6
#define MAX_TURNS   10000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct outcome {
	bool ended;
	bool unframed;
	enum http_call_result result;
	uint16_t status;
	GPtrArray *headers;
	GString *body;
};

static uv_loop_t loop;
static struct http_client *client;
static int listener = -1;
static char address[32];

static void add_header(void *ctx, const char *name, const char *value)
{
	g_ptr_array_add(ctx, http_reference_header(name, value));
}

static void on_head(void *ctx, const struct http_response_head *head)
{
	struct outcome *outcome = ctx;

	outcome->status = http_response_status(head);
	outcome->unframed = http_response_is_unframed(head);
	http_response_each_header(head, add_header, outcome->headers);
}

static void on_data(void *ctx, const char *buf, size_t len)
{
	struct outcome *outcome = ctx;

	g_string_append_len(outcome->body, buf, (gssize)len);
}

static void on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct outcome *outcome = ctx;

	(void)sent;
	outcome->ended = true;
	outcome->result = result;
}

static const struct http_call_ops ops = { .head = on_head, .data = on_data, .end = on_end };

static void init(void)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	uv_loop_init(&loop);
	client = http_client_create(&loop);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(listener, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	g_assert_cmpint(listen(listener, 16), ==, 0);
	g_assert_cmpint(fcntl(listener, F_SETFL, O_NONBLOCK), ==, 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u", ntohs(addr.sin_port));
}

static void run_turns(void)
{
	for (uint32_t i = 0; i < QUIET_TURNS; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
}

/* Sends the bytes as the answer to a call. @return whether the connection was kept */
static bool exchange(struct outcome *outcome, const uint8_t *data, size_t size, size_t split)
{
	struct http_call_request req = { .address = address, .method = "GET", .path = "/" };
	char request[1024];
	bool kept;
	int fd = -1;

	http_call_start(client, &req, &ops, outcome);
	for (uint32_t i = 0; fd < 0 && i < MAX_TURNS; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		fd = accept(listener, NULL, NULL);
	}
	g_assert_cmpint(fd, >=, 0);
	run_turns();
	g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
	if (split > 0 && send(fd, data, split, MSG_NOSIGNAL) > 0)
		run_turns();
	if (send(fd, data + split, size - split, MSG_NOSIGNAL) >= 0)
		run_turns();
	kept = outcome->ended && http_client_has_idle(client, address, NULL);
	close(fd);
	for (uint32_t i = 0; !outcome->ended && i < MAX_TURNS; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	g_assert_true(outcome->ended);
	http_client_close_idle(client, address, NULL);
	run_turns();
	return kept;
}

static void check(const struct outcome *outcome, const char *text, gsize size, bool kept)
{
	struct http_reference_message *message = http_reference_parse(text, size, 0, true);

	while (message && *message->start == '1') {
		gsize end = message->end;

		http_reference_free(message);
		message = http_reference_parse(text, size, end, true);
	}
	if (!message)
		http_reference_fail("a response with status %u is passed on and is not valid",
				    outcome->status);
	if (atoi(message->start) != outcome->status)
		http_reference_fail("status %u is passed on for %s", outcome->status,
				    message->start);
	/* the end of the connection ends its body */
	if (outcome->unframed)
		g_string_append_len(message->body, text + message->end,
				    (gssize)(size - message->end));
	if (!g_string_equal(outcome->body, message->body))
		http_reference_fail("%zu bytes are passed on for a body of %zu", outcome->body->len,
				    message->body->len);
	http_reference_check_headers(outcome->headers, message->headers);
	if (kept && (outcome->unframed || message->end != size))
		http_reference_fail("the connection is kept though bytes follow the response");
	http_reference_free(message);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct outcome outcome = { .headers = g_ptr_array_new_with_free_func(g_free),
				   .body = g_string_new(NULL) };
	size_t split = size > 1 ? data[0] % size : 0;
	bool kept;

	if (!client)
		init();
	if (size > 0) {
		data++;
		size--;
	}
	kept = exchange(&outcome, data, size, MIN(split, size));
	if (outcome.result == HTTP_CALL_OK)
		check(&outcome, (const char *)data, size, kept);
	g_ptr_array_free(outcome.headers, TRUE);
	g_string_free(outcome.body, TRUE);
	return 0;
}
