/**
 * @file fuzz_sse.c
 * Any bytes as an engine's event stream, cut at a place that the input names.
 */
#include "flamingolatch/sse.h"

#include <stdint.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool ignore(void *ctx, const struct sse_event *event)
{
	(void)ctx;
	return event->data_len < 100;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct sse *sse = sse_create(256, ignore, NULL);
	size_t cut = size ? data[0] % size : 0;

	if (sse_feed(sse, (const char *)data, cut))
		sse_feed(sse, (const char *)data + cut, size - cut);
	sse_destroy(sse);
	return 0;
}
