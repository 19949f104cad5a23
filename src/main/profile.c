#include "cli.h"
#include "flamingolatch/profile.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PROFILE_CMD_POLL_INTERVAL_US   200000
#define PROFILE_CMD_ATTEMPTS_MAX_COUNT 5

/* Options of the profile subcommand, for all verbs. */
struct profile_cmd_options {
	struct cli_target target;
	char *path;	   /* profile file, or directory for plan and apply */
	gint64 generation; /* that the published row must have; 0 for any */
	gint64 timeout_s;  /* of --wait */
	gboolean wait;
	gboolean json;
	gboolean prune;
};

/* One change that turns the published profiles into the declared ones. */
struct profile_cmd_step {
	const char *verb; /* publish, change or retire */
	char *name;
	json_t *spec;	     /* NULL for retire */
	uint64_t generation; /* that the published row must still have; 0 for any */
};

/* helpers */

/* @param name set to the name in the file, to be freed by the caller */
static json_t *profile_cmd_read_file(const char *path, char **name, GError **error)
{
	struct profile prof;
	g_autofree char *text = NULL;
	g_autoptr(GError) cause = NULL;
	json_t *spec;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s", cause->message);
		return NULL;
	}
	if (!profile_parse(path, text, len, &prof, error))
		return NULL;
	spec = profile_to_json(&prof);
	*name = g_strdup(prof.name);
	profile_clear(&prof);
	return spec;
}

static void profile_cmd_step_free(gpointer data)
{
	struct profile_cmd_step *step = data;

	json_decref(step->spec);
	g_free(step->name);
	g_free(step);
}

static bool profile_cmd_is_active(const json_t *row)
{
	const char *state = json_string_value(json_object_get(row, "state"));

	return state && strcmp(state, "active") == 0;
}

static const json_t *profile_cmd_find_row(const json_t *rows, const char *name)
{
	for (size_t i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);

		if (strcmp(json_string_value(json_object_get(row, "name")), name) == 0)
			return row;
	}
	return NULL;
}

static void profile_cmd_add_step(GPtrArray *steps, const char *verb, const char *name, json_t *spec,
				 const json_t *row)
{
	struct profile_cmd_step *step = g_new0(struct profile_cmd_step, 1);

	step->verb = verb;
	step->name = g_strdup(name);
	step->spec = json_incref(spec);
	step->generation = (uint64_t)json_integer_value(json_object_get(row, "generation"));
	g_ptr_array_add(steps, step);
}

/* Adds the profile of each *.yaml file in @p dir to @p specs, by name. */
static bool profile_cmd_read_dir(const char *dir, json_t *specs, GError **error)
{
	g_autoptr(GError) cause = NULL;
	g_autoptr(GDir) handle = g_dir_open(dir, 0, &cause);
	const char *entry;

	if (!handle) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s", cause->message);
		return false;
	}
	while ((entry = g_dir_read_name(handle))) {
		g_autofree char *path = g_build_filename(dir, entry, NULL);
		g_autofree char *name = NULL;
		json_t *spec;

		if (!g_str_has_suffix(entry, ".yaml"))
			continue;
		spec = profile_cmd_read_file(path, &name, error);
		if (!spec)
			return false;
		if (json_object_get(specs, name)) {
			g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
				    "%s: profile %s is declared twice", path, name);
			json_decref(spec);
			return false;
		}
		json_object_set_new(specs, name, spec);
	}
	return true;
}

/*
 * Compares the declared profiles with the published rows. The steps follow
 * the order in which the files were read, with retirements last.
 * @param prune whether active profiles that are not declared are retired
 * @return array of struct profile_cmd_step
 */
static GPtrArray *profile_cmd_diff(const json_t *specs, const json_t *rows, bool prune)
{
	GPtrArray *steps = g_ptr_array_new_with_free_func(profile_cmd_step_free);
	const char *name;
	json_t *spec;

	json_object_foreach ((json_t *)specs, name, spec) {
		const json_t *row = profile_cmd_find_row(rows, name);

		if (!profile_cmd_is_active(row))
			profile_cmd_add_step(steps, "publish", name, spec, row);
		else if (!json_equal(json_object_get(row, "spec"), spec))
			profile_cmd_add_step(steps, "change", name, spec, row);
	}
	for (size_t i = 0; prune && i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);

		name = json_string_value(json_object_get(row, "name"));
		if (profile_cmd_is_active(row) && !json_object_get(specs, name))
			profile_cmd_add_step(steps, "retire", name, NULL, row);
	}
	return steps;
}

/* Prints a step, and for a change each key with its old and new value. */
static void profile_cmd_print_step(const struct profile_cmd_step *step, const json_t *rows)
{
	const json_t *old_spec = json_object_get(profile_cmd_find_row(rows, step->name), "spec");
	const char *key;
	json_t *value;

	printf("%s %s\n", step->verb, step->name);
	if (strcmp(step->verb, "change") != 0)
		return;
	json_object_foreach (step->spec, key, value) {
		const json_t *old_value = json_object_get(old_spec, key);
		char *old_text = json_dumps(old_value, JSON_ENCODE_ANY | JSON_COMPACT);
		char *new_text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

		if (!json_equal(old_value, value))
			printf("  %s: %s -> %s\n", key, old_text ? old_text : "(absent)", new_text);
		free(old_text);
		free(new_text);
	}
}

/*
 * Sends a change, and sends it again when no valid answer arrived. All attempts carry
 * the same request token, so that the change is applied once.
 */
static json_t *profile_cmd_send(const struct profile_cmd_options *opt, const char *verb,
				const char *name, json_t *spec, uint64_t generation, GError **error)
{
	g_autofree char *path = g_strdup_printf("/profiles/%s", verb);
	g_autofree char *token = g_uuid_string_random();
	json_t *body = json_pack("{s:s, s:s, s:I}", "name", name, "token", token,
				 "expected_generation", (json_int_t)generation);
	json_t *answer = NULL;

	if (spec)
		json_object_set(body, "spec", spec);
	for (uint32_t i = 0; i < PROFILE_CMD_ATTEMPTS_MAX_COUNT && !answer; i++) {
		g_clear_error(error);
		answer = cli_request(&opt->target, path, body, error);
		if (!answer && err_kind_of(*error) != ERR_IO)
			break;
	}
	json_decref(body);
	return answer;
}

/*
 * Tells whether --wait waits for a member: not when it has left, nor when it is
 * dead and no longer in the instance list.
 */
static bool profile_cmd_must_confirm(const json_t *member)
{
	const char *state = json_string_value(json_object_get(member, "state"));
	bool listed = json_is_true(json_object_get(member, "listed"));

	if (strcmp(state, "left") == 0)
		return false;
	return listed || strcmp(state, "dead") != 0;
}

/*
 * Counts the members that must confirm a revision and have not reported it.
 * @param print whether to print them to standard error
 */
static uint32_t profile_cmd_count_unconfirmed(const json_t *answer, uint64_t revision, bool print)
{
	const json_t *members = json_object_get(answer, "members");
	uint32_t unconfirmed = 0;

	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *member = json_array_get(members, i);
		const char *state = json_string_value(json_object_get(member, "state"));
		uint64_t reported =
			(uint64_t)json_integer_value(json_object_get(member, "revision"));

		if (reported >= revision || !profile_cmd_must_confirm(member))
			continue;
		unconfirmed++;
		if (print)
			fprintf(stderr,
				"not observed: %s (%s), last reported revision %" PRIu64 "\n",
				json_string_value(json_object_get(member, "id")), state, reported);
	}
	return unconfirmed;
}

/*
 * Waits until every member uses a revision: the answering instance has read the
 * instance list after the wait began, so that new members are included, and every
 * member has itself reported the revision or a later one.
 * @return exit code: 0, or that of ERR_NOT_OBSERVED after the timeout
 */
static int profile_cmd_wait(const struct profile_cmd_options *opt, uint64_t revision)
{
	gint64 start_us = g_get_monotonic_time();
	gint64 deadline_us = start_us + opt->timeout_s * G_USEC_PER_SEC;

	for (;;) {
		g_autoptr(GError) error = NULL;
		json_t *answer = cli_request(&opt->target, "/profiles", NULL, &error);
		gint64 now_us = g_get_monotonic_time();
		const json_t *list_age = json_object_get(answer, "list_age_ms");
		bool fresh = list_age && now_us - json_integer_value(list_age) * 1000 > start_us;
		uint32_t unconfirmed = answer ? profile_cmd_count_unconfirmed(answer, revision,
									      now_us >= deadline_us)
					      : 1;

		json_decref(answer);
		if (fresh && unconfirmed == 0) {
			printf("revision %" PRIu64 " is in force on every member\n", revision);
			return 0;
		}
		if (now_us >= deadline_us) {
			if (!fresh)
				fprintf(stderr, "not observed: the instance list was not read "
						"after the change\n");
			return err_info(ERR_NOT_OBSERVED)->exit_code;
		}
		g_usleep(PROFILE_CMD_POLL_INTERVAL_US);
	}
}

static int profile_cmd_apply_one(const struct profile_cmd_options *opt, const char *verb,
				 const char *name, json_t *spec, uint64_t generation,
				 uint64_t *revision)
{
	g_autoptr(GError) error = NULL;
	json_t *answer = profile_cmd_send(opt, verb, name, spec, generation, &error);

	if (!answer)
		return cli_report_error(error);
	*revision = (uint64_t)json_integer_value(json_object_get(answer, "revision"));
	if (opt->json) {
		json_dumpf(answer, stdout, JSON_COMPACT);
		printf("\n");
	} else {
		printf("%s %s: generation %" JSON_INTEGER_FORMAT ", revision %" PRIu64 "\n", verb,
		       name, json_integer_value(json_object_get(answer, "generation")), *revision);
	}
	json_decref(answer);
	return 0;
}

/* verbs */

/* Prints the steps that turn the published profiles into the declared ones, or applies them. */
static int profile_cmd_plan(const struct profile_cmd_options *opt, bool apply)
{
	g_autoptr(GError) error = NULL;
	json_t *specs = json_object();
	json_t *answer = NULL;
	const json_t *rows;
	g_autoptr(GPtrArray) steps = NULL;
	uint64_t revision = 0;
	int code = 0;

	if (profile_cmd_read_dir(opt->path ? opt->path : ".", specs, &error))
		answer = cli_request(&opt->target, "/profiles", NULL, &error);
	if (!answer) {
		json_decref(specs);
		return cli_report_error(error);
	}
	rows = json_object_get(answer, "profiles");
	steps = profile_cmd_diff(specs, rows, opt->prune);
	if (steps->len == 0)
		printf("nothing to change\n");
	for (guint i = 0; i < steps->len && code == 0; i++) {
		struct profile_cmd_step *step = steps->pdata[i];

		if (!apply)
			profile_cmd_print_step(step, rows);
		else
			code = profile_cmd_apply_one(opt, step->verb, step->name, step->spec,
						     step->generation, &revision);
	}
	if (apply && code == 0 && opt->wait && revision)
		code = profile_cmd_wait(opt, revision);
	json_decref(specs);
	json_decref(answer);
	return code;
}

/* Publishes, changes or retires one profile. */
static int profile_cmd_change_one(const struct profile_cmd_options *opt, const char *verb,
				  const char *name)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *read_name = NULL;
	json_t *spec = NULL;
	uint64_t revision = 0;
	int code;

	if (strcmp(verb, "retire") != 0) {
		spec = profile_cmd_read_file(opt->path ? opt->path : "", &read_name, &error);
		if (!spec)
			return cli_report_error(error);
		name = read_name;
	}
	if (!name) {
		fprintf(stderr, "flamingolatch: a profile name is required\n");
		return err_info(ERR_BAD_REQUEST)->exit_code;
	}
	code = profile_cmd_apply_one(opt, verb, name, spec, (uint64_t)opt->generation, &revision);
	json_decref(spec);
	if (code == 0 && opt->wait)
		code = profile_cmd_wait(opt, revision);
	return code;
}

static void profile_cmd_print_rows(const json_t *rows)
{
	for (size_t i = 0; i < json_array_size(rows); i++) {
		const json_t *row = json_array_get(rows, i);

		printf("%-32s %-8s generation %" JSON_INTEGER_FORMAT "\n",
		       json_string_value(json_object_get(row, "name")),
		       json_string_value(json_object_get(row, "state")),
		       json_integer_value(json_object_get(row, "generation")));
	}
}

static void profile_cmd_print_members(const json_t *members)
{
	for (size_t i = 0; i < json_array_size(members); i++) {
		const json_t *member = json_array_get(members, i);

		printf("%-32s %-8s revision %" JSON_INTEGER_FORMAT "\n",
		       json_string_value(json_object_get(member, "id")),
		       json_string_value(json_object_get(member, "state")),
		       json_integer_value(json_object_get(member, "revision")));
	}
}

static int profile_cmd_show(const struct profile_cmd_options *opt, const char *name, bool members)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *path =
		name ? g_strdup_printf("/profiles/%s", name) : g_strdup("/profiles");
	json_t *answer = cli_request(&opt->target, path, NULL, &error);
	uint64_t revision;
	int code = 0;

	if (!answer)
		return cli_report_error(error);
	revision = (uint64_t)json_integer_value(json_object_get(answer, "revision"));
	if (opt->json) {
		json_dumpf(answer, stdout, JSON_INDENT(2));
		printf("\n");
	} else {
		printf("revision %" PRIu64 "\n", revision);
		if (members)
			profile_cmd_print_members(json_object_get(answer, "members"));
		else
			profile_cmd_print_rows(json_object_get(answer, "profiles"));
	}
	json_decref(answer);
	if (members && opt->wait)
		code = profile_cmd_wait(opt, revision);
	return code;
}

/* commands */

static int profile_cmd_run(const struct profile_cmd_options *opt, const char *verb,
			   const char *name)
{
	if (strcmp(verb, "plan") == 0)
		return profile_cmd_plan(opt, false);
	if (strcmp(verb, "apply") == 0)
		return profile_cmd_plan(opt, true);
	if (strcmp(verb, "show") == 0)
		return profile_cmd_show(opt, name, false);
	if (strcmp(verb, "status") == 0)
		return profile_cmd_show(opt, NULL, true);
	if (strcmp(verb, "publish") == 0 || strcmp(verb, "change") == 0 ||
	    strcmp(verb, "retire") == 0)
		return profile_cmd_change_one(opt, verb, name);
	fprintf(stderr, "flamingolatch: unknown profile command %s\n", verb);
	return err_info(ERR_BAD_REQUEST)->exit_code;
}

int cmd_profile(int argc, char **argv)
{
	struct profile_cmd_options opt = { .timeout_s = 10 };
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = {
		CLI_TARGET_OPTIONS(&opt.target),
		{ "file", 'f', 0, G_OPTION_ARG_FILENAME, &opt.path,
		  "Profile file, or directory of *.yaml for plan and apply", "PATH" },
		{ "generation", 'g', 0, G_OPTION_ARG_INT64, &opt.generation,
		  "Apply the change only if the profile has this generation", "N" },
		{ "wait", 'w', 0, G_OPTION_ARG_NONE, &opt.wait,
		  "Wait until every member has reported the revision", NULL },
		{ "timeout", 0, 0, G_OPTION_ARG_INT64, &opt.timeout_s, "Timeout of --wait",
		  "SECONDS" },
		{ "prune", 0, 0, G_OPTION_ARG_NONE, &opt.prune,
		  "With plan and apply: retire profiles that are not declared", NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &opt.json, "Print JSON", NULL },
		{ 0 }
	};
	int code =
		cli_parse_options("VERB is plan, apply, publish, change, retire, show or status.",
				  "VERB [NAME]", options, &argc, &argv);

	if (code >= 0)
		return code;
	if (argc < 2) {
		fprintf(stderr, "flamingolatch: a profile command is required; see --help\n");
		code = err_info(ERR_BAD_REQUEST)->exit_code;
	} else if (!cli_target_load_token(&opt.target, &error)) {
		code = cli_report_error(error);
	} else {
		code = profile_cmd_run(&opt, argv[1], argc > 2 ? argv[2] : NULL);
	}
	cli_target_clear(&opt.target);
	g_free(opt.path);
	return code;
}
