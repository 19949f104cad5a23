/**
 * @file test_catalogue.c
 * The tables of docs/EVENTS.md and docs/ERRORS.md and the transitions in
 * test/model/once_table.pml are the same as in the code. --print=events,
 * --print=errors and --print=once print them, to be pasted after a change.
 */
#include "flamingolatch/err.h"
#include "flamingolatch/log.h"
#include "flamingolatch/once.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_ERROR)
		return "error";
	return level & G_LOG_LEVEL_WARNING ? "warning" : "info";
}

static GString *event_rows(void)
{
	GString *rows = g_string_new(NULL);

	for (int id = 0; id < LOG_EVENT_COUNT; id++) {
		const struct log_event_info *info = log_event_info((enum log_event_id)id);

		g_string_append_printf(rows, "| %u | %s | %s | %s |\n", info->number, info->name,
				       level_name(info->level), info->meaning);
	}
	return rows;
}

static GString *error_rows(void)
{
	GString *rows = g_string_new(NULL);

	for (int kind = 0; kind < ERR_KIND_COUNT; kind++) {
		const struct err_info *info = err_info((enum err_kind)kind);

		g_string_append_printf(rows, "| %s | %u | %s | %u | %u | %s |\n", info->name,
				       info->http_status, err_execution_name(info->execution),
				       info->retry_after_ms, info->exit_code, info->meaning);
	}
	return rows;
}

/* States and allowed transitions of the claim row, for the model in test/model. */
static GString *once_rows(void)
{
	GString *out = g_string_new("/* Printed by test_catalogue --print=once; do not edit. */\n");
	g_autoptr(GString) terms = g_string_new("");

	for (int state = 0; state < ONCE_STATE_COUNT; state++) {
		g_autofree char *name = g_ascii_strup(once_state_name((enum once_state)state), -1);

		g_string_append_printf(out, "#define %s %d\n", name, state);
	}
	for (int from = 0; from < ONCE_STATE_COUNT; from++) {
		for (int to = 0; to < ONCE_STATE_COUNT; to++) {
			for (int same_token = 0; same_token < 2; same_token++) {
				if (once_may_replace((enum once_state)from, (enum once_state)to,
						     same_token))
					g_string_append_printf(
						terms, "%s(f == %d && t == %d && o == %d)",
						terms->len ? " || " : "", from, to, same_token);
			}
		}
	}
	g_string_append_printf(out, "#define MAY_REPLACE(f, t, o) (%s)\n", terms->str);
	return out;
}

static void check_file(const char *file, GString *rows)
{
	g_autofree char *path = g_build_filename(SOURCE_DIR, file, NULL);
	g_autofree char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	if (!strstr(text, rows->str))
		g_error("%s differs from the table in the code; print the rows with --print", file);
	g_string_free(rows, TRUE);
}

static void test_events(void)
{
	check_file("docs/EVENTS.md", event_rows());
	for (int id = 1; id < LOG_EVENT_COUNT; id++)
		g_assert_cmpuint(log_event_info((enum log_event_id)id)->number, >,
				 log_event_info((enum log_event_id)(id - 1))->number);
}

static void test_errors(void)
{
	check_file("docs/ERRORS.md", error_rows());
}

static void test_once(void)
{
	check_file("test/model/once_table.pml", once_rows());
}

/* A kind of error after which the request may have run must not state "not run". */
static void test_ran(void)
{
	g_assert_cmpint((int)err_info(ERR_OUTCOME_UNKNOWN)->execution, ==, ERR_EXECUTION_UNKNOWN);
	g_assert_cmpint((int)err_info(ERR_IN_PROGRESS)->execution, ==, ERR_EXECUTION_UNKNOWN);
	g_assert_cmpint((int)err_info(ERR_GENERATION_LOST)->execution, ==, ERR_EXECUTION_RAN);
	g_assert_cmpint((int)err_info(ERR_INTERNAL)->execution, ==, ERR_EXECUTION_UNKNOWN);
}

/* Prints one table; returns the exit code. */
static int print_table(const char *table_name)
{
	g_autoptr(GString) rows = NULL;

	if (strcmp(table_name, "events") == 0)
		rows = event_rows();
	else if (strcmp(table_name, "errors") == 0)
		rows = error_rows();
	else if (strcmp(table_name, "once") == 0)
		rows = once_rows();
	if (!rows)
		return 2;
	fputs(rows->str, stdout);
	return 0;
}

int main(int argc, char **argv)
{
	if (argc > 1 && g_str_has_prefix(argv[1], "--print="))
		return print_table(argv[1] + strlen("--print="));
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/catalogue/events", test_events);
	g_test_add_func("/catalogue/errors", test_errors);
	g_test_add_func("/catalogue/ran", test_ran);
	g_test_add_func("/catalogue/once", test_once);
	return g_test_run();
}
