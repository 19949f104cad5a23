#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

int cmd_state(int argc, char **argv)
{
	struct cli_target target = { 0 };
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = { CLI_TARGET_OPTIONS(&target), { 0 } };
	int exit_code = cli_parse_options("Dumps the state of one instance as JSON.", "", options,
					  &argc, &argv);
	json_t *root = NULL;
	char *text;

	if (exit_code >= 0)
		return exit_code;
	if (cli_target_load_token(&target, &error))
		root = cli_request(&target, "/state", NULL, &error);
	cli_target_clear(&target);
	if (!root)
		return cli_report_error(error);
	text = json_dumps(root, JSON_INDENT(2));
	printf("%s\n", text);
	free(text);
	json_decref(root);
	return 0;
}
