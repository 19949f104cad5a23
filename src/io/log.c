#include "flamingolatch/log.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_FIELDS_MAX 24

static const struct log_event_info log_event_table[LOG_EVENT_COUNT] = {
#define LOG_ROW(sym, num, level, name, meaning) { num, G_LOG_LEVEL_##level, name, meaning },
	LOG_EVENTS(LOG_ROW)
#undef LOG_ROW
};

static char log_instance[64];

/* Rate limit and counts of dropped lines; the process has one log. */
static struct {
	int64_t second;	     /* of the monotonic clock */
	uint64_t info_lines; /* lines of level info in this second */
	uint64_t suppressed; /* lines dropped since the start */
	uint64_t reported;   /* suppressed lines that LOG_SUPPRESSED has reported */
} log_rate;

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
	const struct log_event_info *info = &log_event_table[id];
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
	/* GLib aborts the process on G_LOG_LEVEL_ERROR, so errors are logged as critical. */
	g_log_structured_array(info->level == G_LOG_LEVEL_ERROR ? G_LOG_LEVEL_CRITICAL
								: info->level,
			       fields, count);
}

void log_report_suppressed(void)
{
	char text[24];

	if (log_rate.suppressed == log_rate.reported)
		return;
	snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, log_rate.suppressed - log_rate.reported);
	log_rate.reported = log_rate.suppressed;
	log_event(LOG_SUPPRESSED, "lines", text, NULL);
}

/* queries */

uint64_t log_suppressed_count(void)
{
	return log_rate.suppressed;
}

const struct log_event_info *log_event_info(enum log_event_id id)
{
	return &log_event_table[id];
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

/* Writes a line whole, or returns false when that would block. */
static bool log_write_nonblocking(const char *line, size_t len)
{
	struct pollfd poll_stdout = { .fd = STDOUT_FILENO, .events = POLLOUT };

	/* A pipe that polls as writable accepts PIPE_BUF bytes without blocking. */
	if (len > PIPE_BUF || poll(&poll_stdout, 1, 0) != 1 || !(poll_stdout.revents & POLLOUT))
		return false;
	return write(STDOUT_FILENO, line, len) == (ssize_t)len;
}

/* Returns whether a line may be written: lines of level info within the rate, others always. */
static bool log_within_rate(GLogLevelFlags level)
{
	int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second != log_rate.second) {
		log_rate.second = second;
		log_rate.info_lines = 0;
	}
	if (!(level & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG)))
		return true;
	return log_rate.info_lines++ < LOG_INFO_LINES_MAX_PER_S;
}

static void log_append_field(GString *line, const char *key, const char *value, bool quoted)
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
	g_autofree char *timestamp = NULL;

	(void)data;
	if (!log_within_rate(level)) {
		log_rate.suppressed++;
		return G_LOG_WRITER_HANDLED;
	}
	now = g_date_time_new_now_utc();
	timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	if (!line)
		line = g_string_new(NULL);
	g_string_printf(line, "{\"time\":\"%s\"", timestamp);
	log_append_field(line, "level", log_level_name(level), true);
	log_append_field(line, "instance", log_instance, true);
	for (gsize i = 0; i < count; i++) {
		g_autofree char *key = g_ascii_strdown(fields[i].key, -1);

		if (fields[i].length < 0)
			log_append_field(line, key, fields[i].value, strcmp(key, "event") != 0);
	}
	g_string_append(line, "}\n");
	if (!log_write_nonblocking(line->str, line->len))
		log_rate.suppressed++;
	return G_LOG_WRITER_HANDLED;
}
