#include "check_config.h"
#include "cli.h"
#include "flamingolatch/entry.h"
#include "flamingolatch/log.h"

#include <signal.h>
#include <stdio.h>

static struct settings *serve_load_settings(const char *file, GError **error)
{
	if (file)
		return settings_load(file, error);
	g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST, "a settings file is required");
	return NULL;
}

int cmd_serve(int argc, char **argv)
{
	g_autofree char *file = NULL;
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &file, "Settings file", "FILE" }, { 0 }
	};
	int code = cli_parse_options("Runs an entry instance until SIGTERM or SIGINT.", "", options,
				     &argc, &argv);
	struct settings *set;
	struct entry *entry;

	if (code >= 0)
		return code;
	set = serve_load_settings(file, &error);
	if (!set)
		return cli_report_error(error);
	log_init(set->instance);
	signal(SIGPIPE, SIG_IGN);
	entry = entry_create(set, &error);
	if (!entry) {
		log_event(LOG_START_FAILED, "reason", error->message, NULL);
		return err_info(err_kind_of(error))->exit_code;
	}
	entry_run(entry);
	entry_destroy(entry);
	return 0;
}

int cmd_check(int argc, char **argv)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *config = NULL;
	g_autofree char *against = NULL;
	gboolean as_json = FALSE;
	const GOptionEntry options[] = {
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &config,
		  "Check a configuration of the platform instead of settings", "FILE" },
		{ "against", 0, 0, G_OPTION_ARG_FILENAME, &against,
		  "Show the differences from the configuration in force", "FILE" },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json, "Print JSON", NULL },
		{ 0 }
	};
	int code = cli_parse_options("Checks a settings file and the secrets that it names, or a "
				     "configuration.",
				     "[FILE]", options, &argc, &argv);
	struct settings *set;

	if (code >= 0)
		return code;
	if (config)
		return check_config(config, against, as_json);
	set = serve_load_settings(argc == 2 ? argv[1] : NULL, &error);
	if (!set)
		return cli_report_error(error);
	printf("%s: ok: instance %s in %s, %u services, %u customers\n", argv[1], set->instance,
	       set->zone, set->service_count, set->customer_count);
	settings_destroy(set);
	return 0;
}
