#include "flamingolatch/event_stream.h"

#include "flamingolatch/buffer_budget.h"

#include <glib.h>
#include <string.h>

#define EVENT_STREAM_MAX_ID_BYTES 64 /* with the terminating null; longer ids are cut */

struct event_stream {
	GString *buffer;
	size_t scanned_bytes; /* leading bytes of the buffer in which no event ends */
	size_t max_bytes;
	event_stream_cb cb;
	void *ctx;
};

struct event_stream *event_stream_create(size_t max_bytes, event_stream_cb cb, void *ctx)
{
	struct event_stream *stream = g_new0(struct event_stream, 1);

	stream->buffer = g_string_new(NULL);
	stream->max_bytes = max_bytes;
	stream->cb = cb;
	stream->ctx = ctx;
	return stream;
}

void event_stream_destroy(struct event_stream *stream)
{
	if (!stream)
		return;
	g_string_free(stream->buffer, TRUE);
	g_free(stream);
}

void event_stream_reset(struct event_stream *stream)
{
#if defined(FL_FAULT_JOIN_PARTS)
	/* Deliberate defect, which the tests have to detect: joins parts of two events. */
	return;
#endif
	stream->buffer = buffer_clear(stream->buffer);
	stream->scanned_bytes = 0;
}

size_t event_stream_pending_bytes(const struct event_stream *stream)
{
	return stream->buffer->len;
}

/* Returns the size of the first event from an offset on, including its blank line; 0 when it is
 * incomplete. */
static size_t event_stream_first_event_bytes(struct event_stream *stream, size_t offset)
{
	const char *text = stream->buffer->str + offset;
	size_t len = stream->buffer->len - offset;

	for (size_t i = stream->scanned_bytes; i < len; i++) {
		if (text[i] != '\n')
			continue;
		if (i + 1 < len && text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	/* The last two bytes may be the start of the blank line that ends the event. */
	stream->scanned_bytes = len > 2 ? len - 2 : 0;
	return 0;
}

bool event_stream_is_comment(const char *raw, size_t len)
{
	bool line_start = true;

	for (size_t i = 0; i < len; i++) {
		if (line_start && raw[i] != ':' && raw[i] != '\r' && raw[i] != '\n')
			return false;
		line_start = raw[i] == '\n';
	}
	return true;
}

bool event_stream_is_well_formed(const char *raw, size_t len)
{
	bool in_name = true;

	for (size_t i = 0; i < len; i++) {
		if (raw[i] == '\n')
			in_name = true;
		else if (raw[i] == ':')
			in_name = false;
		else if (in_name && !g_ascii_isalnum(raw[i]) && raw[i] != '-' && raw[i] != '_' &&
			 raw[i] != '\r')
			return false;
	}
	return true;
}

/* @return false when the text is no decimal number */
static bool event_stream_parse_number(const char *text, guint64 *number)
{
	return g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, number, NULL);
}

bool event_stream_may_follow(const char *last_id, const char *id)
{
	guint64 last;
	guint64 number;

	if (!event_stream_parse_number(id, &number))
		return false;
	return !last_id || !event_stream_parse_number(last_id, &last) || number > last;
}

static void event_stream_find_id(const char *raw, size_t len, char id[EVENT_STREAM_MAX_ID_BYTES])
{
	const char *end = raw + len;

	id[0] = '\0';
	while (raw < end) {
		const char *line_end = memchr(raw, '\n', (size_t)(end - raw));
		size_t line_bytes = (size_t)((line_end ? line_end : end) - raw);

		if (line_bytes >= 3 && memcmp(raw, "id:", 3) == 0) {
			g_strlcpy(id, raw + 3, MIN(line_bytes - 2, EVENT_STREAM_MAX_ID_BYTES));
			g_strstrip(id);
			return;
		}
		raw += line_bytes + 1;
	}
}

bool event_stream_feed(struct event_stream *stream, const char *buf, size_t len)
{
	size_t passed_bytes = 0;
	size_t event_bytes;
	bool keep_going = true;

	g_string_append_len(stream->buffer, buf, (gssize)len);
	while (keep_going &&
	       (event_bytes = event_stream_first_event_bytes(stream, passed_bytes)) > 0) {
		const char *event = stream->buffer->str + passed_bytes;
		char id[EVENT_STREAM_MAX_ID_BYTES];

		event_stream_find_id(event, event_bytes, id);
		keep_going = stream->cb(stream->ctx, event, event_bytes, id);
		passed_bytes += event_bytes;
		stream->scanned_bytes = 0;
	}
	/* Once for all events: to move the rest for each would take quadratic time. */
	if (passed_bytes == stream->buffer->len)
		stream->buffer = buffer_clear(stream->buffer);
	else
		g_string_erase(stream->buffer, 0, (gssize)passed_bytes);
	return keep_going && stream->buffer->len <= stream->max_bytes;
}
