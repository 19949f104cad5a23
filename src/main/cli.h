/**
 * @file cli.h
 * Functions shared by the subcommands of the flamingolatch program.
 *
 * Each cmd_*() function implements one subcommand: it parses argv, prints its
 * output to standard output and errors to standard error, and returns the exit
 * code of the process (0, or an exit_code of the table of error kinds).
 *
 * A subcommand that queries an instance declares a struct cli_target, lists
 * CLI_TARGET_OPTIONS in its options, and calls cli_parse_options(),
 * cli_target_load_token(), cli_request() any number of times, and
 * cli_target_clear().
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

/** Operator port of an instance, and the token that authorizes requests to it. */
struct cli_target {
	char *address; /**< "IP:port" */
	char *token_file;
	char *token; /**< content of token_file, set by cli_target_load_token() */
};

/**
 * GOptionEntry initializers for the options that fill a struct cli_target;
 * they come first in the option list of a subcommand.
 */
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

/**
 * Reads the operator token from the token file into @p target.
 * @return false with @p error set: ERR_BAD_REQUEST when an option is missing,
 *         ERR_SETTINGS when the file cannot be read
 */
bool cli_target_load_token(struct cli_target *target, GError **error);
/** Frees the strings of @p target. */
void cli_target_clear(struct cli_target *target);

/**
 * Parses the options of a subcommand; prints help or an error message.
 * @param summary shown by --help
 * @param arguments names of the positional arguments, shown by --help
 * @param argc, argv modified: parsed options are removed
 * @return -1 when the subcommand should proceed, otherwise its exit code
 */
int cli_parse_options(const char *summary, const char *arguments, const GOptionEntry *entries,
		      int *argc, char ***argv);

/** Prints @p error to standard error. @return the exit code of its error kind */
int cli_report_error(const GError *error);

/**
 * Sends one request to the operator port and waits for the answer.
 * @param body JSON body of a POST request, or NULL for a GET request
 * @return the JSON answer, to be released by the caller; NULL with @p error set
 *         to the error kind that the instance returned, or to ERR_IO when no
 *         answer arrived
 */
json_t *cli_request(const struct cli_target *target, const char *path, const json_t *body,
		    GError **error);

#endif
