/**
 * @file test_sse.c
 * The parser of server-sent events gives the same events for every split of the input, and
 * enforces its limit.
 */
#include "flamingolatch/sse.h"

#include <glib.h>
#include <string.h>

#define EVENT_STREAM                                                                               \
	": comment\r\nid: a:1\ndata: one\n\nid: a:2\n\nevent: error\ndata: x\ndata: y\n\n"

static bool append_event(void *ctx, const struct sse_event *event)
{
	g_string_append_printf(ctx, "[%s|%s|%s]", event->id, event->event, event->data);
	return true;
}

static void test_splits(void)
{
	for (size_t split = 1; split < strlen(EVENT_STREAM); split++) {
		g_autoptr(GString) out = g_string_new(NULL);
		struct sse *sse = sse_create(100, append_event, out);

		g_assert_true(sse_feed(sse, EVENT_STREAM, split));
		g_assert_true(sse_feed(sse, EVENT_STREAM + split, strlen(EVENT_STREAM) - split));
		g_assert_cmpstr(out->str, ==, "[a:1||one][a:2||][|error|x\ny]");
		sse_destroy(sse);
	}
}

static void test_limit(void)
{
	g_autoptr(GString) out = g_string_new(NULL);
	struct sse *sse = sse_create(16, append_event, out);

	g_assert_false(sse_feed(sse, "data: 0123456789012345\n\n", 24));
	sse_reset(sse);
	g_assert_true(sse_feed(sse, "data: 0\n\n", 9));
	g_assert_cmpstr(out->str, ==, "[||0]");
	sse_destroy(sse);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/cuts", test_splits);
	g_test_add_func("/sse/limit", test_limit);
	return g_test_run();
}
