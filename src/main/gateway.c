#include "cli.h"

#include "../../platform/platform.h"
#include "../serve/gateway.h"

#include "flamingolatch/log.h"

#include <signal.h>
#include <stdio.h>

/* Returns the file given with --config, else the one that the environment names. */
static const char *gateway_settings_path(const char *config_option)
{
	return config_option ? config_option : g_getenv("FLAMINGOLATCH_SETTINGS");
}

/* Holds back SIGHUP, which ends a process without a handler, or has it delivered. */
static void gateway_hold_reload(bool hold)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &signals, NULL);
}

int cmd_gateway(int argc, char **argv)
{
	static const struct gateway_adapter adapter_template = {
		.store_client_create = platform_store_create,
		.store_client_destroy = platform_store_destroy,
	};
	struct gateway_adapter adapter = adapter_template;
	g_autofree char *config_option = NULL;
	g_autoptr(GError) error = NULL;
	gboolean check = FALSE;
	const GOptionEntry options[] = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &config_option,
					   "Settings file", "FILE" },
					 { "check", 0, 0, G_OPTION_ARG_NONE, &check,
					   "Check the settings and exit", NULL },
					 { 0 } };
	int code = cli_parse_options("Runs a gateway instance until SIGTERM or SIGINT.", "",
				     options, &argc, &argv);
	struct gateway_settings *set;
	struct gateway *gateway;

	if (code >= 0)
		return code;
	if (!gateway_settings_path(config_option)) {
		g_set_error(&error, ERR_DOMAIN, ERR_BAD_REQUEST, "a settings file is required");
		return cli_report_error(error);
	}
	gateway_hold_reload(true);
	set = gateway_settings_load(gateway_settings_path(config_option), &error);
	if (!set)
		return cli_report_error(error);
	if (check) {
		printf("%s: ok: instance %s in %s\n", gateway_settings_path(config_option),
		       set->instance, set->zone);
		gateway_settings_destroy(set);
		return 0;
	}
	log_init(set->instance);
	signal(SIGPIPE, SIG_IGN);
	adapter.protocol = platform_protocol();
	gateway = gateway_create(gateway_settings_path(config_option), set, &adapter, &error);
	if (!gateway) {
		log_event(LOG_START_FAILED, "reason", error->message, NULL);
		return err_info(err_kind_of(error))->exit_code;
	}
	gateway_hold_reload(false);
	gateway_run(gateway);
	gateway_hold_reload(true);
	gateway_destroy(gateway);
	return 0;
}
