/**
 * @file fuzz_http_server.c
 * Compares the requests that the server passes on with those that a strict parser reads from the
 * same bytes: the server passes on no more of them, each with the same target, headers and body.
 * Then writes each anew, as it is passed on, and parses it again: it must be one message, the same.
 * The first byte of the input chooses where it is split into two writes.
 */
#include "flamingolatch/http_server.h"

#include "http_reference.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define QUIET_TURNS 6

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct passed_request {
	char *start;
	char *host;
	GPtrArray *headers;
	GString *body;
};

static uv_loop_t loop;
static struct http_server *server;
static GPtrArray *passed; /* struct passed_request, of one input */

static void add_header(void *ctx, const char *name, const char *value)
{
	g_ptr_array_add(ctx, http_reference_header(name, value));
}

static void on_request(void *ctx, struct http_req *req)
{
	struct passed_request *request = g_new0(struct passed_request, 1);
	size_t len;
	const char *body = http_req_body(req, &len);

	(void)ctx;
	request->start = g_strconcat(http_req_method(req), " ", http_req_target(req), NULL);
	request->host = g_strdup(http_req_host(req));
	request->headers = g_ptr_array_new_with_free_func(g_free);
	http_req_each_header(req, add_header, request->headers);
	request->body = g_string_new_len(body, (gssize)len);
	g_ptr_array_add(passed, request);
	http_req_reply(req, 200, NULL, "ok", 2);
}

static void passed_request_free(gpointer data)
{
	struct passed_request *request = data;

	g_free(request->start);
	g_free(request->host);
	g_ptr_array_free(request->headers, TRUE);
	g_string_free(request->body, TRUE);
	g_free(request);
}

static void run_until_quiet(void)
{
	guint seen = passed->len;

	for (uint32_t i = 0; i < QUIET_TURNS; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		if (passed->len != seen)
			i = 0;
		seen = passed->len;
	}
}

static void exchange(const uint8_t *data, size_t size, size_t split)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(http_server_port(server)) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	if (split > 0 && send(fd, data, split, MSG_NOSIGNAL) > 0)
		run_until_quiet();
	if (send(fd, data + split, size - split, MSG_NOSIGNAL) >= 0)
		run_until_quiet();
	close(fd);
	run_until_quiet();
}

static void check_message(const struct passed_request *request,
			  const struct http_reference_message *message)
{
	if (!message)
		http_reference_fail("'%s' is passed on and is not valid", request->start);
	if (strcmp(request->start, message->start) != 0)
		http_reference_fail("'%s' is passed on for '%s'", request->start, message->start);
	if (!g_string_equal(request->body, message->body))
		http_reference_fail("%zu bytes are passed on for a body of %zu", request->body->len,
				    message->body->len);
	http_reference_check_headers(request->headers, message->headers);
}

/* Writes a request as the client of the gateway does, and reads it again. */
static void check_written(const struct passed_request *request)
{
	GString *text = g_string_new(NULL);
	struct http_reference_message *message;

	g_string_append_printf(text, "%s HTTP/1.1\r\nHost: %s\r\n", request->start, request->host);
	for (guint i = 0; i < request->headers->len; i++)
		g_string_append_printf(text, "%s\r\n", (char *)request->headers->pdata[i]);
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", request->body->len);
	g_string_append_len(text, request->body->str, (gssize)request->body->len);
	message = http_reference_parse(text->str, text->len, 0, false);
	check_message(request, message);
	if (message->end != text->len)
		http_reference_fail("'%s' is written as more than one message", request->start);
	if (message->headers->len != request->headers->len + 2)
		http_reference_fail("'%s' is written with %u headers instead of %u", request->start,
				    message->headers->len, request->headers->len + 2);
	http_reference_free(message);
	g_string_free(text, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct http_server_conf conf = { .address = "127.0.0.1", .max_body_bytes = 1000 };
	size_t split = size > 1 ? data[0] % size : 0;
	gsize at = 0;

	if (!server) {
		uv_loop_init(&loop);
		server = http_server_create(&loop, &conf, on_request, NULL, NULL);
	}
	if (size > 0) {
		data++;
		size--;
	}
	passed = g_ptr_array_new_with_free_func(passed_request_free);
	exchange(data, size, MIN(split, size));
	for (guint i = 0; i < passed->len; i++) {
		struct http_reference_message *message =
			http_reference_parse((const char *)data, size, at, false);

		check_message(passed->pdata[i], message);
		check_written(passed->pdata[i]);
		at = message->end;
		http_reference_free(message);
	}
	g_ptr_array_free(passed, TRUE);
	return 0;
}
