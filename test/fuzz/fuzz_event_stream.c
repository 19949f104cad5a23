/**
 * @file fuzz_event_stream.c
 * Any bytes as a stream of events, in parts of any size: what comes out is the
 * beginning of what went in.
 */
#include "flamingolatch/event_stream.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool take(void *ctx, const char *raw, size_t len, const char *id)
{
	(void)id;
	g_string_append_len(ctx, raw, (gssize)len);
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GString) out = g_string_new(NULL);
	struct event_stream *event_stream = event_stream_create(256, take, out);
	size_t step = size ? data[0] % 16U + 1U : 1U;

	for (size_t at = 0; at < size; at += step) {
		if (!event_stream_feed(event_stream, (const char *)data + at, MIN(step, size - at)))
			break;
	}
	g_assert_true(out->len <= size && memcmp(out->str, data, out->len) == 0);
	event_stream_destroy(event_stream);
	return 0;
}
