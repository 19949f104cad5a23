#include "raw_caller.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char raw_caller_last_chunk[] = "0\r\n\r\n";

struct raw_caller raw_caller_connect(const struct testbed_gateway *gateway)
{
	const char *address = gateway->address;
	g_autofree char *ip = g_strndup(address, strcspn(address, ":"));
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1)),
	};
	struct raw_caller caller = { .fd = socket(AF_INET, SOCK_STREAM, 0),
				     .max_tokens = RAW_CALLER_TOKENS,
				     .input = g_string_new(NULL) };

	inet_pton(AF_INET, ip, &target.sin_addr);
	g_assert_cmpint(connect(caller.fd, (struct sockaddr *)&target, sizeof(target)), ==, 0);
	return caller;
}

bool raw_caller_send_text(const struct raw_caller *caller, const char *text)
{
	return send(caller->fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text);
}

static bool raw_caller_send_head(const struct raw_caller *caller, const char *method,
				 const char *version, const char *id, const char *path,
				 const char *framing)
{
	g_autofree char *text = g_strdup_printf(
		"%s %s HTTP/%s\r\nHost: " TESTBED_HOST "\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
		"X-Flamingolatch-Deadline-Ms: %d\r\nX-Flamingolatch-Token-Usage: 100,%u\r\n"
		"Authorization: Bearer " TESTBED_KEY "\r\n%s",
		method, path, version, id, RAW_CALLER_TIMEOUT_MS, caller->max_tokens, framing);

	return raw_caller_send_text(caller, text);
}

void raw_caller_send(struct raw_caller *caller, const char *id, const char *path)
{
	raw_caller_send_as(caller, "POST", "1.1", id, path);
}

void raw_caller_send_as(struct raw_caller *caller, const char *method, const char *version,
			const char *id, const char *path)
{
	g_assert_true(raw_caller_send_head(caller, method, version, id, path,
					   "Content-Length: 0\r\n\r\n"));
}

bool raw_caller_send_chunked(struct raw_caller *caller, const char *id, const char *path)
{
	return raw_caller_send_head(caller, "POST", "1.1", id, path,
				    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
}

struct raw_caller raw_caller_open(const struct testbed_gateway *gateway, const char *id,
				  const char *path)
{
	struct raw_caller caller = raw_caller_connect(gateway);

	raw_caller_send(&caller, id, path);
	return caller;
}

void raw_caller_read(struct raw_caller *caller, size_t max)
{
	static char bytes[65536];
	ssize_t count = 1;

	while (max > 0 && count > 0) {
		count = recv(caller->fd, bytes, MIN(sizeof(bytes), max), MSG_DONTWAIT);
		if (count > 0) {
			g_string_append_len(caller->input, bytes, count);
			max -= (size_t)count;
		}
	}
	caller->closed |= max > 0 && !(count < 0 && errno == EAGAIN);
	caller->reset |= count < 0 && errno == ECONNRESET;
}

uint16_t raw_caller_status(const struct raw_caller *caller)
{
	if (!g_str_has_prefix(caller->input->str, "HTTP/1.1 ") ||
	    !strstr(caller->input->str, "\r\n\r\n"))
		return 0;
	return (uint16_t)atoi(caller->input->str + strlen("HTTP/1.1 "));
}

bool raw_caller_is_whole(const struct raw_caller *caller)
{
	const char *end = strstr(caller->input->str, "\r\n\r\n");
	const char *length = strstr(caller->input->str, "Content-Length: ");
	size_t head_len;

	if (!end)
		return false;
	head_len = (size_t)(end - caller->input->str) + 4;
	if (length && length < end)
		return caller->input->len ==
		       head_len + strtoul(length + strlen("Content-Length: "), NULL, 10);
	return g_str_has_suffix(caller->input->str, raw_caller_last_chunk);
}

void raw_caller_close(struct raw_caller *caller)
{
	close(caller->fd);
	g_string_free(caller->input, TRUE);
}
