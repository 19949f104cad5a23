/**
 * @file test_http_lines.c
 * What of HTTP/1 messages is no body, in one part and byte by byte.
 */
#include "flamingolatch/http_lines.h"

#include <glib.h>
#include <string.h>

#define HEAD "GET / HTTP/1.1\r\n\r\n"

static void expect(const char *text, bool chunked, bool valid)
{
	for (size_t part = 1; part <= MAX(strlen(text), 1); part++) {
		struct http_lines lines = { .chunked = chunked };
		bool right = true;

		for (size_t at = 0; right && at < strlen(text); at += part)
			right = http_lines_feed(&lines, text + at, MIN(part, strlen(text) - at));
		g_assert_cmpint(right, ==, valid);
	}
}

static void test_heads(void)
{
	expect("", false, true);
	expect("\r\n\n" HEAD "a\n\n" HEAD, false, true);
	expect("a\rb", false, false);
	expect("a\r\r\n", false, false);
	expect("a\r\n\rX", false, false);
}

/* The data of the chunks is left out, as it is part of the body. */
static void test_chunks(void)
{
	expect(HEAD "5\r\n\r\n1f;a=\"b\"\r\n\r\n0\r\n\r\n" HEAD, true, true);
	expect(HEAD "5 \r\n\r\n00 \t;a\r\nX: 1\r\n\r\n" HEAD, true, true);
	expect(HEAD "5\r\nX\n", true, false);
	expect(HEAD "5\r\n\n", true, false);
	expect(HEAD "5\r\n\rX", true, false);
	expect(HEAD "5\rX", true, false);
	expect(HEAD "\r\n", true, false);
	expect(HEAD ";a\r\n", true, false);
	expect(HEAD " 5\r\n", true, false);
	expect(HEAD "5 u\r\n", true, false);
	expect(HEAD "5 5\r\n", true, false);
	expect(HEAD "5\xa7\r\n", true, false);
	expect(HEAD "5;\x01\r\n", true, false);
	expect(HEAD "0\r\n\rX", true, false);
	expect(HEAD "0;a\nX: 1\r\n\r\n", true, false);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-lines/heads", test_heads);
	g_test_add_func("/http-lines/chunks", test_chunks);
	return g_test_run();
}
