#include "usage.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define USAGE_UTIME_FIELD 11 /* index among the fields of /proc/PID/stat after the process name */
#define USAGE_STIME_FIELD 12

struct usage usage_read(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", pid);
	g_autofree char *text = NULL;
	g_auto(GStrv) fields = NULL;
	double ticks_per_s = (double)sysconf(_SC_CLK_TCK);

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return (struct usage){ 0.0, 0.0 };
	fields = g_strsplit(strrchr(text, ')') + 2, " ", 0);
	return (struct usage){ atof(fields[USAGE_UTIME_FIELD]) / ticks_per_s,
			       atof(fields[USAGE_STIME_FIELD]) / ticks_per_s };
}

double usage_resident_bytes(int pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", pid);
	g_autofree char *text = NULL;
	unsigned long pages = 0;

	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(text, "%*u %lu", &pages);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}
