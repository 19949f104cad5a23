/**
 * @file fuzz_event_stream.c
 * Feeds arbitrary bytes as a stream of events, in parts of any size: the output
 * is a prefix of the input.
 */
#include "flamingolatch/event_stream.h"

#include <glib.h>
#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool append_event(void *ctx, const char *raw, size_t len, const char *id)
{
	(void)id;
	g_string_append_len(ctx, raw, (gssize)len);
	return true;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GString) output = g_string_new(NULL);
	struct event_stream *stream = event_stream_create(256, append_event, output);
	size_t part_bytes = size ? data[0] % 16U + 1U : 1U;

	for (size_t offset = 0; offset < size; offset += part_bytes) {
		if (!event_stream_feed(stream, (const char *)data + offset,
				       MIN(part_bytes, size - offset)))
			break;
	}
	g_assert_true(output->len <= size && memcmp(output->str, data, output->len) == 0);
	event_stream_destroy(stream);
	return 0;
}
