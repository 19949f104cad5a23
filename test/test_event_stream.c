/**
 * @file test_event_stream.c
 * Events are passed on whole and with their bytes unchanged, however the
 * stream is cut into parts.
 */
#include "flamingolatch/event_stream.h"

#include <glib.h>
#include <string.h>

struct seen {
	GString *raw;
	GString *ids;
	uint32_t count;
	uint32_t stop_after;
};

static bool on_event(void *ctx, const char *raw, size_t len, const char *id)
{
	struct seen *seen = ctx;

	g_string_append_len(seen->raw, raw, (gssize)len);
	g_string_append_printf(seen->ids, "%s;", id);
	return ++seen->count != seen->stop_after;
}

static void seen_clear(struct seen *seen)
{
	g_string_free(seen->raw, TRUE);
	g_string_free(seen->ids, TRUE);
}

static void test_parts(void)
{
	const char *text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\ndata";
	const char *whole = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: no id\n\n";

	for (size_t step = 1; step <= strlen(text); step++) {
		struct seen seen = { g_string_new(NULL), g_string_new(NULL), 0, 0 };
		struct event_stream *event_stream = event_stream_create(1000, on_event, &seen);

		for (size_t at = 0; at < strlen(text); at += step)
			g_assert_true(event_stream_feed(event_stream, text + at,
							MIN(step, strlen(text) - at)));
		g_assert_cmpstr(seen.raw->str, ==, whole);
		g_assert_cmpstr(seen.ids->str, ==, "1;2;;");
		g_assert_cmpuint(event_stream_pending_bytes(event_stream), ==,
				 strlen(text) - strlen(whole));
		event_stream_reset(event_stream);
		g_assert_cmpuint(event_stream_pending_bytes(event_stream), ==, 0);
		event_stream_destroy(event_stream);
		seen_clear(&seen);
	}
}

static void test_limits(void)
{
	struct seen seen = { g_string_new(NULL), g_string_new(NULL), 0, 1 };
	struct event_stream *event_stream = event_stream_create(10, on_event, &seen);

	g_assert_false(event_stream_feed(event_stream, "data: too long a line", 21));
	event_stream_reset(event_stream);
	g_assert_false(event_stream_feed(event_stream, "a\n\nb\n\n", 6));
	g_assert_cmpuint(seen.count, ==, 1);
	event_stream_destroy(event_stream);
	seen_clear(&seen);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evs/parts", test_parts);
	g_test_add_func("/evs/limits", test_limits);
	return g_test_run();
}
