/**
 * @file test_log.c
 * What the log keeps when many lines are written in a second.
 */
#include "flamingolatch/log.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

#define BURST_LINES (2 * LOG_INFO_LINES_MAX_PER_S)

/* Counts the lines that contain a text. */
static uint32_t count_lines(const char *text, const char *needle)
{
	uint32_t count = 0;

	for (const char *at = strstr(text, needle); at; at = strstr(at + 1, needle))
		count++;
	return count;
}

/* A burst of lines about requests does not hide that the process stops, nor a warning. */
static void test_burst(void)
{
	g_autofree char *path = NULL;
	g_autofree char *text = NULL;
	int saved = dup(STDOUT_FILENO);
	int file = g_file_open_tmp(NULL, &path, NULL);

	g_assert_cmpint(file, >=, 0);
	fsync(STDOUT_FILENO);
	dup2(file, STDOUT_FILENO);
	for (uint32_t i = 0; i < BURST_LINES; i++)
		log_event(LOG_REQUEST_PLACED, NULL);
	log_event(LOG_REQUEST_UNFINISHED, NULL);
	log_event(LOG_STOPPING, NULL);
	log_event(LOG_STOPPED, NULL);
	log_report_suppressed();
	dup2(saved, STDOUT_FILENO);
	close(saved);
	close(file);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	unlink(path);
	/* The burst may span two seconds of the clock. */
	g_assert_cmpuint(count_lines(text, "request-placed"), >=, LOG_INFO_LINES_MAX_PER_S);
	g_assert_cmpuint(count_lines(text, "request-unfinished"), ==, 1);
	g_assert_cmpuint(
		count_lines(text,
			    "\"level\":\"info\",\"instance\":\"test\",\"message\":\"stopping\""),
		==, 1);
	g_assert_cmpuint(count_lines(text, "\"stopped\""), ==, 1);
	if (log_suppressed_count() > 0)
		g_assert_cmpuint(count_lines(text, "log-suppressed"), ==, 1);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init("test");
	g_test_add_func("/log/burst", test_burst);
	return g_test_run();
}
