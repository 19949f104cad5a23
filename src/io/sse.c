#include "flamingolatch/sse.h"

#include <glib.h>
#include <string.h>

struct sse {
	size_t max_bytes;
	sse_cb cb;
	void *ctx;
	GString *line;
	GString *id;
	GString *event;
	GString *data;
	bool has_data;
	bool has_id;
};

/* lifetime */

struct sse *sse_create(size_t max_bytes, sse_cb cb, void *ctx)
{
	struct sse *sse = g_new0(struct sse, 1);

	sse->max_bytes = max_bytes;
	sse->cb = cb;
	sse->ctx = ctx;
	sse->line = g_string_new(NULL);
	sse->id = g_string_new(NULL);
	sse->event = g_string_new(NULL);
	sse->data = g_string_new(NULL);
	return sse;
}

void sse_destroy(struct sse *sse)
{
	if (!sse)
		return;
	g_string_free(sse->line, TRUE);
	g_string_free(sse->id, TRUE);
	g_string_free(sse->event, TRUE);
	g_string_free(sse->data, TRUE);
	g_free(sse);
}

/* helpers */

static void sse_clear_event(struct sse *sse)
{
	g_string_truncate(sse->id, 0);
	g_string_truncate(sse->event, 0);
	g_string_truncate(sse->data, 0);
	sse->has_data = false;
	sse->has_id = false;
}

/* Passes the event to the callback and clears it; an event without id and data is dropped.
 * @return false if the callback returned false */
static bool sse_dispatch(struct sse *sse)
{
	struct sse_event event = { sse->id->str, sse->event->str, sse->data->str, sse->data->len };
	bool proceed = true;

	if (sse->has_data || sse->has_id)
		proceed = sse->cb(sse->ctx, &event);
	if (proceed)
		sse_clear_event(sse);
	return proceed;
}

/* Returns the value if a line has the form "name: value" for that name, else NULL. */
static const char *sse_field_value(const char *line, const char *name)
{
	size_t len = strlen(name);

	if (strncmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	line += len + 1;
	return *line == ' ' ? line + 1 : line;
}

static bool sse_parse_line(struct sse *sse, const char *line, size_t len)
{
	const char *value;

	if (len == 0)
		return sse_dispatch(sse);
	value = sse_field_value(line, "data");
	if (value) {
		if (sse->has_data)
			g_string_append_c(sse->data, '\n');
		g_string_append(sse->data, value);
		sse->has_data = true;
		return sse->data->len <= sse->max_bytes;
	}
	value = sse_field_value(line, "id");
	if (value) {
		g_string_assign(sse->id, value);
		sse->has_id = true;
		return true;
	}
	value = sse_field_value(line, "event");
	if (value)
		g_string_assign(sse->event, value);
	return true;
}

/* commands */

void sse_reset(struct sse *sse)
{
	sse_clear_event(sse);
	g_string_truncate(sse->line, 0);
}

bool sse_feed(struct sse *sse, const char *buf, size_t len)
{
	while (len > 0) {
		const char *end = memchr(buf, '\n', len);
		size_t part = end ? (size_t)(end - buf) : len;

		if (sse->line->len + part > sse->max_bytes)
			return false;
		g_string_append_len(sse->line, buf, (gssize)part);
		if (!end)
			return true;
		if (sse->line->len && sse->line->str[sse->line->len - 1] == '\r')
			g_string_truncate(sse->line, sse->line->len - 1);
		if (!sse_parse_line(sse, sse->line->str, sse->line->len))
			return false;
		g_string_truncate(sse->line, 0);
		buf = end + 1;
		len -= part + 1;
	}
	return true;
}
