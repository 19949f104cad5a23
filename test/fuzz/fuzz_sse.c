/**
 * @file fuzz_sse.c
 * Fuzzes the parser of server-sent events. The first byte of the input chooses where it is
 * split into two calls of sse_feed(). The callback rejects events of 100 or more bytes, so that
 * stopping early is covered too.
 */
#include "flamingolatch/sse.h"

#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool accept_short_event(void *ctx, const struct sse_event *event)
{
	(void)ctx;
	return event->data_len < 100;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct sse *sse = sse_create(256, accept_short_event, NULL);
	size_t split = size ? data[0] % size : 0;

	if (sse_feed(sse, (const char *)data, split))
		sse_feed(sse, (const char *)data + split, size - split);
	sse_destroy(sse);
	return 0;
}
