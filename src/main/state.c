#include "cli.h"

#include <stdio.h>
#include <stdlib.h>

int cmd_state(int argc, char **argv)
{
	struct cli_target target = { 0 };
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = { CLI_TARGET_OPTIONS(&target), { 0 } };
	int end =
		cli_options("Dumps the state of one instance as JSON.", "", options, &argc, &argv);
	json_t *root = NULL;
	char *text;

	if (end >= 0)
		return end;
	if (cli_target_open(&target, &error))
		root = cli_ask(&target, "/state", NULL, &error);
	cli_target_clear(&target);
	if (!root)
		return cli_fail(error);
	text = json_dumps(root, JSON_INDENT(2));
	printf("%s\n", text);
	free(text);
	json_decref(root);
	return 0;
}
