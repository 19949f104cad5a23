/**
 * @file cli.h
 * Shared parts of the subcommands.
 *
 * Every subcommand is one function that takes its own arguments, prints to
 * standard output, and returns an exit code of the error table.
 */
#ifndef FLAMINGOLATCH_SRC_CLI_H
#define FLAMINGOLATCH_SRC_CLI_H

#include "flamingolatch/err.h"

#include <jansson.h>
#include <stdbool.h>

int cmd_serve(int argc, char **argv);
int cmd_gateway(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_profile(int argc, char **argv);
int cmd_state(int argc, char **argv);
int cmd_load(int argc, char **argv);
int cmd_usage(int argc, char **argv);

/** Where the operator port is and the token for it. */
struct cli_target {
	char *address; /**< "IP:port" */
	char *token_file;
	char *token; /**< read by cli_target_open() */
};

/** Option entries for a target; put them first in a subcommand's list. */
#define CLI_TARGET_OPTIONS(target)                                                                 \
	{ "operator",                                                                              \
	  'o',                                                                                     \
	  0,                                                                                       \
	  G_OPTION_ARG_STRING,                                                                     \
	  &(target)->address,                                                                      \
	  "Operator port of any instance",                                                         \
	  "IP:PORT" },                                                                             \
	{                                                                                          \
		"token-file", 't', 0, G_OPTION_ARG_FILENAME, &(target)->token_file,                \
			"File with the operators' token", "FILE"                                   \
	}

/** Reads the token. @return false with @p error set when something is missing */
bool cli_target_open(struct cli_target *target, GError **error);
void cli_target_clear(struct cli_target *target);

/**
 * Parses options and prints help or an error.
 * @return -1 to go on, else the exit code to end with
 */
int cli_options(const char *summary, const char *arguments, const GOptionEntry *entries, int *argc,
		char ***argv);

/** Prints an error to standard error and returns its exit code. */
int cli_fail(const GError *error);

/**
 * Asks the operator port.
 * @param body JSON to send, or NULL for a read
 * @return the JSON answer, or NULL with @p error set to the kind answered
 */
json_t *cli_ask(const struct cli_target *target, const char *path, const json_t *body,
		GError **error);

#endif
