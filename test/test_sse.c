/**
 * @file test_sse.c
 * Server-sent events arrive whole however the bytes are cut.
 */
#include "flamingolatch/sse.h"

#include <glib.h>
#include <string.h>

#define STREAM ": comment\r\nid: a:1\ndata: one\n\nid: a:2\n\nevent: error\ndata: x\ndata: y\n\n"

static bool collect(void *ctx, const struct sse_event *event)
{
	g_string_append_printf(ctx, "[%s|%s|%s]", event->id, event->event, event->data);
	return true;
}

static void test_cuts(void)
{
	for (size_t cut = 1; cut < strlen(STREAM); cut++) {
		g_autoptr(GString) out = g_string_new(NULL);
		struct sse *sse = sse_create(100, collect, out);

		g_assert_true(sse_feed(sse, STREAM, cut));
		g_assert_true(sse_feed(sse, STREAM + cut, strlen(STREAM) - cut));
		g_assert_cmpstr(out->str, ==, "[a:1||one][a:2||][|error|x\ny]");
		sse_destroy(sse);
	}
}

static void test_limit(void)
{
	g_autoptr(GString) out = g_string_new(NULL);
	struct sse *sse = sse_create(16, collect, out);

	g_assert_false(sse_feed(sse, "data: 0123456789012345\n\n", 24));
	sse_reset(sse);
	g_assert_true(sse_feed(sse, "data: 0\n\n", 9));
	g_assert_cmpstr(out->str, ==, "[||0]");
	sse_destroy(sse);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sse/cuts", test_cuts);
	g_test_add_func("/sse/limit", test_limit);
	return g_test_run();
}
