#include "cli.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* @param key "busy_us" or "idle_us": object of owner to time */
static void usage_print_by_owner(const json_t *engine, const char *key, const char *label)
{
	const char *owner;
	json_t *value;

	json_object_foreach (json_object_get(engine, key), owner, value) {
		printf("  %-10s %-24s %14.3f s\n", label, owner,
		       (double)json_integer_value(value) / 1e6);
	}
}

/* Prints the times of one engine. @return whether they add up to the observed span */
static bool usage_print_engine(const json_t *engine)
{
	int64_t from_us = json_integer_value(json_object_get(engine, "from_us"));
	int64_t until_us = json_integer_value(json_object_get(engine, "until_us"));
	bool adds_up = json_is_true(json_object_get(engine, "adds_up"));

	printf("%s: %.3f s\n", json_string_value(json_object_get(engine, "engine")),
	       (double)(until_us - from_us) / 1e6);
	usage_print_by_owner(engine, "busy_us", "busy");
	usage_print_by_owner(engine, "idle_us", "idle");
	printf("  %-10s %-24s %14.3f s\n", "unobserved", "",
	       (double)json_integer_value(json_object_get(engine, "unobserved_us")) / 1e6);
	printf("  sum check: busy + idle + unobserved %s the span\n",
	       adds_up ? "=" : "DIFFERS FROM");
	return adds_up;
}

int cmd_usage(int argc, char **argv)
{
	struct cli_target target = { 0 };
	g_autoptr(GError) error = NULL;
	gboolean json = FALSE;
	const GOptionEntry options[] = { CLI_TARGET_OPTIONS(&target),
					 { "json", 0, 0, G_OPTION_ARG_NONE, &json, "Print JSON",
					   NULL },
					 { 0 } };
	int exit_code = cli_parse_options("Reports busy and idle time of each engine by owner.", "",
					  options, &argc, &argv);
	json_t *root = NULL;
	const json_t *list;
	int code = 0;

	if (exit_code >= 0)
		return exit_code;
	if (cli_target_load_token(&target, &error))
		root = cli_request(&target, "/usage", NULL, &error);
	cli_target_clear(&target);
	if (!root)
		return cli_report_error(error);
	list = json_object_get(root, "engines");
	for (size_t i = 0; !json && i < json_array_size(list); i++)
		code |= !usage_print_engine(json_array_get(list, i));
	if (json) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	}
	json_decref(root);
	return code;
}
