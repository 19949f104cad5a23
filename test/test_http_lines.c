/**
 * @file test_http_lines.c
 * Line ends of HTTP/1 messages, in one part and byte by byte.
 */
#include "flamingolatch/http_lines.h"

#include <glib.h>
#include <string.h>

static void expect(const char *text, bool chunk_ended, bool valid)
{
	for (size_t part = 1; part <= MAX(strlen(text), 1); part++) {
		struct http_lines lines = { 0 };
		bool right = true;

		if (chunk_ended)
			http_lines_end_chunk(&lines);
		for (size_t at = 0; right && at < strlen(text); at += part)
			right = http_lines_feed(&lines, text + at, MIN(part, strlen(text) - at));
		g_assert_cmpint(right, ==, valid);
	}
}

static void test_lines(void)
{
	expect("", false, true);
	expect("a\r\nb\n\r\n", false, true);
	expect("a\rb", false, false);
	expect("a\r\r\n", false, false);
	expect("\r\n5\r\n", true, true);
	expect("X\n5\r\n", true, false);
	expect("\n5\r\n", true, false);
	expect("\rX", true, false);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-lines/ends", test_lines);
	return g_test_run();
}
