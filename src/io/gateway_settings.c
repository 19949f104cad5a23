#include "flamingolatch/gateway_settings.h"
#include "flamingolatch/err.h"
#include "flamingolatch/hedge.h"

#include <stdlib.h>
#include <string.h>

/* The key is the name of the struct member. */
#define GATEWAY_SETTINGS_FIELD(tag, member, value_type, ...)                                       \
	{                                                                                          \
		.key = #member, .type = value_type, .offset = offsetof(struct tag, member),        \
		__VA_ARGS__                                                                        \
	}

static const struct conf_field gateway_zone_settings_fields[] = {
	GATEWAY_SETTINGS_FIELD(gateway_zone_settings, name, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_zone_settings, region, CONF_STRING, .required = true),
	{ 0 },
};
static const struct conf_schema gateway_zone_settings_schema = {
	sizeof(struct gateway_zone_settings), gateway_zone_settings_fields
};

static const struct conf_field gateway_bounds_settings_fields[] = {
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, revoke_ms, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, grace_s, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, recheck_s, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, evacuate_ms, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, retry_ratio, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, retry_slack, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, retry_window_s, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, cold_overage, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_bounds_settings, cold_start_slack, CONF_F64),
	{ 0 },
};
static const struct conf_schema gateway_bounds_settings_schema = {
	sizeof(struct gateway_bounds_settings), gateway_bounds_settings_fields
};

static const struct conf_field gateway_load_settings_fields[] = {
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, wait_limit, CONF_U64, .max = 100000),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, wait_ms, CONF_U64, .max = 600000),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, fill, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, prefill_tokens_per_ms, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, stall_ms, CONF_U64, .min = 100,
			       .max = 600000),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, answer_ms, CONF_U64, .min = 10,
			       .max = 600000),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, quarantine_s, CONF_U64, .max = 3600),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, hedge_share, CONF_F64),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, backups, CONF_BOOL),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, urgent_preempts, CONF_BOOL),
	GATEWAY_SETTINGS_FIELD(gateway_load_settings, speed_spread, CONF_F64),
	{ 0 },
};
static const struct conf_schema gateway_load_settings_schema = {
	sizeof(struct gateway_load_settings), gateway_load_settings_fields
};

static const struct conf_field gateway_settings_fields[] = {
	GATEWAY_SETTINGS_FIELD(gateway_settings, instance, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, zone, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, region, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, zones, CONF_STRUCT_LIST, .required = true,
			       .sub_schema = &gateway_zone_settings_schema,
			       .count_offset = offsetof(struct gateway_settings, zone_count)),
	GATEWAY_SETTINGS_FIELD(gateway_settings, callers, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, ready, CONF_STRING),
	GATEWAY_SETTINGS_FIELD(gateway_settings, metrics, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, bus, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, store, CONF_STRING, .required = true),
	GATEWAY_SETTINGS_FIELD(gateway_settings, first_start, CONF_BOOL),
	GATEWAY_SETTINGS_FIELD(gateway_settings, list_pace_ms, CONF_U64, .max = 60000),
	GATEWAY_SETTINGS_FIELD(gateway_settings, config_wait_ms, CONF_U64, .min = 10, .max = 30000),
	GATEWAY_SETTINGS_FIELD(gateway_settings, list_wait_ms, CONF_U64, .min = 10, .max = 30000),
	GATEWAY_SETTINGS_FIELD(gateway_settings, bounds, CONF_STRUCT,
			       .sub_schema = &gateway_bounds_settings_schema),
	GATEWAY_SETTINGS_FIELD(gateway_settings, load, CONF_STRUCT,
			       .sub_schema = &gateway_load_settings_schema),
	{ 0 },
};
static const struct conf_schema gateway_settings_schema = { sizeof(struct gateway_settings),
							    gateway_settings_fields };

static bool gateway_settings_check(const char *file, const struct gateway_settings *settings,
				   GError **error);

/* lifetime */

struct gateway_settings *gateway_settings_load(const char *file, GError **error)
{
	struct gateway_settings *settings = g_new0(struct gateway_settings, 1);

	settings->list_pace_ms = 100;
	settings->config_wait_ms = 1500;
	settings->list_wait_ms = 5000;
	settings->bounds = (struct gateway_bounds_settings){ .revoke_ms = 5000,
							     .grace_s = 8,
							     .recheck_s = 2.2,
							     .retry_ratio = 0.1,
							     .retry_slack = 10,
							     .retry_window_s = 10 };
	settings->load = (struct gateway_load_settings){ .wait_limit = 64,
							 .wait_ms = 300,
							 .fill = 0.92,
							 .prefill_tokens_per_ms = 8,
							 .stall_ms = 1500,
							 .answer_ms = 700,
							 .quarantine_s = 300,
							 .backups = true };
	if (conf_parse_file(file, &gateway_settings_schema, settings, error) &&
	    gateway_settings_check(file, settings, error))
		return settings;
	gateway_settings_destroy(settings);
	return NULL;
}

void gateway_settings_destroy(struct gateway_settings *settings)
{
	if (!settings)
		return;
	conf_clear(&gateway_settings_schema, settings);
	g_free(settings);
}

/* queries */

const char *gateway_settings_region_of(const struct gateway_settings *settings, const char *zone)
{
	for (uint32_t i = 0; i < settings->zone_count; i++) {
		if (strcmp(settings->zones[i].name, zone) == 0)
			return settings->zones[i].region;
	}
	return NULL;
}

bool gateway_settings_split_address(const char *address, char **host, uint16_t *port)
{
	const char *colon = address ? strrchr(address, ':') : NULL;
	char *end = NULL;
	unsigned long value;

	if (!colon || colon == address)
		return false;
	value = strtoul(colon + 1, &end, 10);
	if (end == colon + 1 || *end || value > UINT16_MAX)
		return false;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)value;
	return true;
}

json_t *gateway_settings_to_json(const struct gateway_settings *settings)
{
	return conf_to_json(&gateway_settings_schema, settings);
}

/* helpers */

static bool gateway_settings_check(const char *file, const struct gateway_settings *settings,
				   GError **error)
{
	const struct {
		const char *key;
		const char *address;
	} addresses[] = { { "callers", settings->callers },
			  { "ready", settings->ready ? settings->ready : settings->metrics },
			  { "metrics", settings->metrics },
			  { "bus", settings->bus },
			  { "store", settings->store } };

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		g_autofree char *host = NULL;
		uint16_t port;

		if (gateway_settings_split_address(addresses[i].address, &host, &port))
			continue;
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"%s\": expected an address as IP:port", file,
			    addresses[i].key);
		return false;
	}
	if (settings->load.speed_spread > 0.0 && settings->load.speed_spread < 1.0) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"load.speed_spread\": expected 0 or at least 1", file);
		return false;
	}
	if (!gateway_settings_region_of(settings, settings->zone)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"zones\": expected an entry for the instance's zone \"%s\"",
			    file, settings->zone);
		return false;
	}
	if (settings->load.hedge_share > HEDGE_MAX_SHARE) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"load.hedge_share\": expected a number from 0 to %.1f", file,
			    HEDGE_MAX_SHARE);
		return false;
	}
	return true;
}
