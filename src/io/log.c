#include "flamingolatch/log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_FIELDS_MAX 24

static const struct log_event_info log_table[LOG_EVENT_COUNT] = {
#define LOG_ROW(sym, num, level, name, meaning) { num, G_LOG_LEVEL_##level, name, meaning },
	LOG_EVENTS(LOG_ROW)
#undef LOG_ROW
};

static char log_instance[64];

/* The program has one log; its volume is counted here. */
static struct {
	int64_t second;
	uint64_t lines; /* of level info in this second */
	uint64_t suppressed;
	uint64_t told; /* of the suppressed ones */
} log_volume;

static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields, gsize count,
				  gpointer data);

/* commands */

void log_init(const char *instance)
{
	g_strlcpy(log_instance, instance, sizeof(log_instance));
	g_log_set_writer_func(log_write, NULL, NULL);
}

void log_event(enum log_event_id id, ...)
{
	const struct log_event_info *info = &log_table[id];
	GLogField fields[LOG_FIELDS_MAX];
	const char *key;
	char number[8];
	gsize count = 0;
	va_list args;

	snprintf(number, sizeof(number), "%u", info->number);
	fields[count++] = (GLogField){ "MESSAGE", info->name, -1 };
	fields[count++] = (GLogField){ "EVENT", number, -1 };
	va_start(args, id);
	key = va_arg(args, const char *);
	while (key && count < LOG_FIELDS_MAX) {
		const char *value = va_arg(args, const char *);

		fields[count++] = (GLogField){ key, value ? value : "", -1 };
		key = va_arg(args, const char *);
	}
	va_end(args);
	/* GLib ends the process on G_LOG_LEVEL_ERROR, so errors go out as critical. */
	g_log_structured_array(info->level == G_LOG_LEVEL_ERROR ? G_LOG_LEVEL_CRITICAL
								: info->level,
			       fields, count);
}

void log_report_suppressed(void)
{
	char text[24];

	if (log_volume.suppressed == log_volume.told)
		return;
	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, log_volume.suppressed - log_volume.told);
	log_volume.told = log_volume.suppressed;
	log_event(LOG_SUPPRESSED, "lines", text, NULL);
}

/* queries */

uint64_t log_suppressed(void)
{
	return log_volume.suppressed;
}

const struct log_event_info *log_event_info(enum log_event_id id)
{
	return &log_table[id];
}

/* helpers */

static const char *log_level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

/* Writes a line unless that would block. */
static bool log_put(const char *line, size_t len)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

	/* A pipe that is ready takes PIPE_BUF bytes at once. */
	if (len > PIPE_BUF || poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

/* Tells whether a line of level info is within this second's volume. */
static bool log_admit(GLogLevelFlags level)
{
	int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second != log_volume.second) {
		log_volume.second = second;
		log_volume.lines = 0;
	}
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING))
		return true;
	return log_volume.lines++ < LOG_LINES_PER_S;
}

static void log_append(GString *line, const char *key, const char *value, bool quoted)
{
	g_string_append_printf(line, ",\"%s\":", key);
	if (!quoted) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (; *value; value++) {
		unsigned char c = (unsigned char)*value;

		if (c == '"' || c == '\\')
			g_string_append_printf(line, "\\%c", c);
		else if (c < 0x20)
			g_string_append_printf(line, "\\u%04x", c);
		else
			g_string_append_c(line, (gchar)c);
	}
	g_string_append_c(line, '"');
}

static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields, gsize count,
				  gpointer data)
{
	static GString *line;
	g_autoptr(GDateTime) now = NULL;
	g_autofree char *stamp = NULL;

	(void)data;
	if (!log_admit(level)) {
		log_volume.suppressed++;
		return G_LOG_WRITER_HANDLED;
	}
	now = g_date_time_new_now_utc();
	stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	if (!line)
		line = g_string_new(NULL);
	g_string_printf(line, "{\"time\":\"%s\"", stamp);
	log_append(line, "level", log_level_name(level), true);
	log_append(line, "instance", log_instance, true);
	for (gsize i = 0; i < count; i++) {
		g_autofree char *key = g_ascii_strdown(fields[i].key, -1);

		if (fields[i].length < 0)
			log_append(line, key, fields[i].value, strcmp(key, "event") != 0);
	}
	g_string_append(line, "}\n");
	if (!log_put(line->str, line->len))
		log_volume.suppressed++;
	return G_LOG_WRITER_HANDLED;
}
