#include "flamingolatch/log.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_FIELDS_MAX 24

static const struct log_event_info log_table[LOG_EVENT_COUNT] = {
#define LOG_ROW(sym, num, level, name, meaning) { num, G_LOG_LEVEL_##level, name, meaning },
	LOG_EVENTS(LOG_ROW)
#undef LOG_ROW
};

static char log_instance[64];

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

/* queries */

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

static GLogWriterOutput log_write(GLogLevelFlags level, const GLogField *fields, gsize count,
				  gpointer data)
{
	json_t *line = json_object();
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *stamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	char *text;

	(void)data;
	json_object_set_new(line, "time", json_string(stamp));
	json_object_set_new(line, "level", json_string(log_level_name(level)));
	json_object_set_new(line, "instance", json_string(log_instance));
	for (gsize i = 0; i < count; i++) {
		g_autofree char *key = g_ascii_strdown(fields[i].key, -1);

		if (strcmp(key, "event") == 0)
			json_object_set_new(line, key,
					    json_integer(atoi((const char *)fields[i].value)));
		else if (fields[i].length < 0)
			json_object_set_new(line, key, json_string(fields[i].value));
	}
	text = json_dumps(line, JSON_COMPACT | JSON_PRESERVE_ORDER);
	if (text)
		fprintf(stderr, "%s\n", text);
	free(text);
	json_decref(line);
	return G_LOG_WRITER_HANDLED;
}
