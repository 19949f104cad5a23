#include "cli.h"

#include <stdio.h>
#include <string.h>

/* A subcommand; the summary is shown by --help. */
struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
};

static const struct command commands[] = {
	{ "serve", cmd_serve, "Run an entry instance" },
	{ "gateway", cmd_gateway, "Run a gateway instance on the platform" },
	{ "check", cmd_check, "Check a settings file or a configuration" },
	{ "profile", cmd_profile, "Plan, apply, publish, change, retire and show profiles" },
	{ "state", cmd_state, "Dump the state of an instance" },
	{ "usage", cmd_usage, "Report busy and idle time of engines by owner" },
	{ "load", cmd_load, "Put open-loop load on instances and report" },
};

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: flamingolatch COMMAND [OPTIONS]\n\nCommands:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].summary);
	fprintf(out, "\nEach command has its own --help. --version prints the version.\n");
}

int main(int argc, char **argv)
{
	if (argc >= 2 && strcmp(argv[1], "--version") == 0) {
		printf("flamingolatch %s\n", FL_VERSION);
		return 0;
	}
	if (argc < 2 || strcmp(argv[1], "--help") == 0) {
		print_usage(argc < 2 ? stderr : stdout);
		return argc < 2 ? err_info(ERR_BAD_REQUEST)->exit_code : 0;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0) {
			g_autofree char *name = g_strdup_printf("flamingolatch %s", argv[1]);

			g_set_prgname(name);
			return commands[i].run(argc - 1, argv + 1);
		}
	}
	print_usage(stderr);
	return err_info(ERR_BAD_REQUEST)->exit_code;
}
