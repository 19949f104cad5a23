#include "flamingolatch/evs.h"

#include <glib.h>
#include <string.h>

#define EVS_ID_BYTES 64

struct evs {
	GString *held;
	size_t scanned; /* bytes of held that hold no end of an event */
	size_t max_bytes;
	evs_cb cb;
	void *ctx;
};

struct evs *evs_create(size_t max_bytes, evs_cb cb, void *ctx)
{
	struct evs *evs = g_new0(struct evs, 1);

	evs->held = g_string_new(NULL);
	evs->max_bytes = max_bytes;
	evs->cb = cb;
	evs->ctx = ctx;
	return evs;
}

void evs_destroy(struct evs *evs)
{
	if (!evs)
		return;
	g_string_free(evs->held, TRUE);
	g_free(evs);
}

void evs_reset(struct evs *evs)
{
#if defined(FL_FAULT_JOIN_PARTS)
	return;
#endif
	g_string_truncate(evs->held, 0);
	evs->scanned = 0;
}

size_t evs_partial(const struct evs *evs)
{
	return evs->held->len;
}

/* Returns the length of the first event with its blank line, or 0. */
static size_t evs_end(struct evs *evs)
{
	const char *text = evs->held->str;
	size_t len = evs->held->len;

	for (size_t i = evs->scanned; i < len; i++) {
		if (text[i] != '\n')
			continue;
		if (i + 1 < len && text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	/* A line end may be the first half of a blank line. */
	evs->scanned = len > 2 ? len - 2 : 0;
	return 0;
}

static void evs_find_id(const char *raw, size_t len, char id[EVS_ID_BYTES])
{
	const char *end = raw + len;

	id[0] = '\0';
	while (raw < end) {
		const char *line_end = memchr(raw, '\n', (size_t)(end - raw));
		size_t size = (size_t)((line_end ? line_end : end) - raw);

		if (size >= 3 && memcmp(raw, "id:", 3) == 0) {
			g_strlcpy(id, raw + 3, MIN(size - 2, EVS_ID_BYTES));
			g_strstrip(id);
			return;
		}
		raw += size + 1;
	}
}

bool evs_feed(struct evs *evs, const char *buf, size_t len)
{
	size_t size;

	g_string_append_len(evs->held, buf, (gssize)len);
	while ((size = evs_end(evs)) > 0) {
		char id[EVS_ID_BYTES];
		bool go;

		evs_find_id(evs->held->str, size, id);
		go = evs->cb(evs->ctx, evs->held->str, size, id);
		g_string_erase(evs->held, 0, (gssize)size);
		evs->scanned = 0;
		if (!go)
			return false;
	}
	return evs->held->len <= evs->max_bytes;
}
