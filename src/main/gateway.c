#include "cli.h"

#include "../../platform/platform.h"
#include "../serve/gateway.h"

#include "flamingolatch/log.h"

#include <signal.h>
#include <stdio.h>

/* Returns the settings file that was named, or the one of the environment. */
static const char *gateway_file(const char *named)
{
	return named ? named : g_getenv("FLAMINGOLATCH_SETTINGS");
}

int cmd_gateway(int argc, char **argv)
{
	static const struct gateway_adapter adapter_template = {
		.store_client_create = platform_store_create,
		.store_client_destroy = platform_store_destroy,
	};
	struct gateway_adapter adapter = adapter_template;
	g_autofree char *named = NULL;
	g_autoptr(GError) error = NULL;
	gboolean check = FALSE;
	const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &named, "Settings file", "FILE" },
		{ "check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and exit", NULL },
		{ 0 }
	};
	int end = cli_options("Runs a gateway instance until SIGTERM or SIGINT.", "", options,
			      &argc, &argv);
	struct gateway_settings *set;
	struct gateway *gateway;

	if (end >= 0)
		return end;
	if (!gateway_file(named)) {
		g_set_error(&error, ERR_DOMAIN, ERR_BAD_REQUEST, "a settings file is required");
		return cli_fail(error);
	}
	set = gateway_settings_load(gateway_file(named), &error);
	if (!set)
		return cli_fail(error);
	if (check) {
		printf("%s: ok: instance %s in %s\n", gateway_file(named), set->instance,
		       set->zone);
		gateway_settings_destroy(set);
		return 0;
	}
	log_init(set->instance);
	signal(SIGPIPE, SIG_IGN);
	adapter.protocol = platform_protocol();
	gateway = gateway_create(gateway_file(named), set, &adapter, &error);
	if (!gateway) {
		log_event(LOG_START_FAILED, "reason", error->message, NULL);
		return err_info(err_kind_of(error))->exit_code;
	}
	gateway_run(gateway);
	gateway_destroy(gateway);
	return 0;
}
