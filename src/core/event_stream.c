#include "flamingolatch/event_stream.h"

#include <glib.h>
#include <string.h>

#define EVENT_STREAM_ID_BYTES 64

struct event_stream {
	GString *held;
	size_t scanned; /* bytes of held that hold no end of an event */
	size_t max_bytes;
	event_stream_cb cb;
	void *ctx;
};

struct event_stream *event_stream_create(size_t max_bytes, event_stream_cb cb, void *ctx)
{
	struct event_stream *event_stream = g_new0(struct event_stream, 1);

	event_stream->held = g_string_new(NULL);
	event_stream->max_bytes = max_bytes;
	event_stream->cb = cb;
	event_stream->ctx = ctx;
	return event_stream;
}

void event_stream_destroy(struct event_stream *event_stream)
{
	if (!event_stream)
		return;
	g_string_free(event_stream->held, TRUE);
	g_free(event_stream);
}

void event_stream_reset(struct event_stream *event_stream)
{
#if defined(FL_FAULT_JOIN_PARTS)
	return;
#endif
	g_string_truncate(event_stream->held, 0);
	event_stream->scanned = 0;
}

size_t event_stream_pending_bytes(const struct event_stream *event_stream)
{
	return event_stream->held->len;
}

/* Returns the length of the first event with its blank line, or 0. */
static size_t evs_end(struct event_stream *event_stream)
{
	const char *text = event_stream->held->str;
	size_t len = event_stream->held->len;

	for (size_t i = event_stream->scanned; i < len; i++) {
		if (text[i] != '\n')
			continue;
		if (i + 1 < len && text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	/* A line end may be the first half of a blank line. */
	event_stream->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

static void evs_find_id(const char *raw, size_t len, char id[EVENT_STREAM_ID_BYTES])
{
	const char *end = raw + len;

	id[0] = '\0';
	while (raw < end) {
		const char *line_end = memchr(raw, '\n', (size_t)(end - raw));
		size_t size = (size_t)((line_end ? line_end : end) - raw);

		if (size >= 3 && memcmp(raw, "id:", 3) == 0) {
			g_strlcpy(id, raw + 3, MIN(size - 2, EVENT_STREAM_ID_BYTES));
			g_strstrip(id);
			return;
		}
		raw += size + 1;
	}
}

bool event_stream_feed(struct event_stream *event_stream, const char *buf, size_t len)
{
	size_t size;

	g_string_append_len(event_stream->held, buf, (gssize)len);
	while ((size = evs_end(event_stream)) > 0) {
		char id[EVENT_STREAM_ID_BYTES];
		bool go;

		evs_find_id(event_stream->held->str, size, id);
		go = event_stream->cb(event_stream->ctx, event_stream->held->str, size, id);
		g_string_erase(event_stream->held, 0, (gssize)size);
		event_stream->scanned = 0;
		if (!go)
			return false;
	}
	return event_stream->held->len <= event_stream->max_bytes;
}
