#include "flamingolatch/gset.h"
#include "flamingolatch/err.h"

#include <stdlib.h>
#include <string.h>

#define GSET_FIELD(st, k, t, ...)                                                                  \
	{                                                                                          \
		.key = #k, .type = t, .offset = offsetof(struct st, k), __VA_ARGS__                \
	}

static const struct conf_field gset_zone_fields[] = {
	GSET_FIELD(gset_zone, name, CONF_STRING, .required = true),
	GSET_FIELD(gset_zone, region, CONF_STRING, .required = true),
	{ 0 },
};
static const struct conf_schema gset_zone_schema = { sizeof(struct gset_zone), gset_zone_fields };

static const struct conf_field gset_bounds_fields[] = {
	GSET_FIELD(gset_bounds, revoke_ms, CONF_F64),
	GSET_FIELD(gset_bounds, grace_s, CONF_F64),
	GSET_FIELD(gset_bounds, recheck_s, CONF_F64),
	GSET_FIELD(gset_bounds, retry_ratio, CONF_F64),
	GSET_FIELD(gset_bounds, retry_slack, CONF_F64),
	GSET_FIELD(gset_bounds, retry_window_s, CONF_F64),
	{ 0 },
};
static const struct conf_schema gset_bounds_schema = { sizeof(struct gset_bounds),
						       gset_bounds_fields };

static const struct conf_field gset_load_fields[] = {
	GSET_FIELD(gset_load, wait_limit, CONF_U64, .max = 100000),
	GSET_FIELD(gset_load, wait_ms, CONF_U64, .max = 600000),
	GSET_FIELD(gset_load, fill, CONF_F64),
	GSET_FIELD(gset_load, prefill_tokens_per_ms, CONF_F64),
	GSET_FIELD(gset_load, stall_ms, CONF_U64, .min = 100, .max = 600000),
	GSET_FIELD(gset_load, answer_ms, CONF_U64, .min = 10, .max = 600000),
	GSET_FIELD(gset_load, backups, CONF_BOOL),
	{ 0 },
};
static const struct conf_schema gset_load_schema = { sizeof(struct gset_load), gset_load_fields };

static const struct conf_field gset_fields[] = {
	GSET_FIELD(gset, instance, CONF_STRING, .required = true),
	GSET_FIELD(gset, zone, CONF_STRING, .required = true),
	GSET_FIELD(gset, region, CONF_STRING, .required = true),
	GSET_FIELD(gset, zones, CONF_LIST, .required = true, .sub = &gset_zone_schema,
		   .count_offset = offsetof(struct gset, zone_count)),
	GSET_FIELD(gset, callers, CONF_STRING, .required = true),
	GSET_FIELD(gset, ready, CONF_STRING),
	GSET_FIELD(gset, metrics, CONF_STRING, .required = true),
	GSET_FIELD(gset, bus, CONF_STRING, .required = true),
	GSET_FIELD(gset, store, CONF_STRING, .required = true),
	GSET_FIELD(gset, list_pace_ms, CONF_U64, .max = 60000),
	GSET_FIELD(gset, config_wait_ms, CONF_U64, .min = 10, .max = 30000),
	GSET_FIELD(gset, list_wait_ms, CONF_U64, .min = 10, .max = 30000),
	GSET_FIELD(gset, bounds, CONF_STRUCT, .sub = &gset_bounds_schema),
	GSET_FIELD(gset, load, CONF_STRUCT, .sub = &gset_load_schema),
	{ 0 },
};
static const struct conf_schema gset_schema = { sizeof(struct gset), gset_fields };

static bool gset_check(const char *file, const struct gset *set, GError **error);

/* lifetime */

struct gset *gset_load(const char *file, GError **error)
{
	struct gset *set = g_new0(struct gset, 1);

	set->list_pace_ms = 100;
	set->config_wait_ms = 1500;
	set->list_wait_ms = 5000;
	set->bounds = (struct gset_bounds){ .revoke_ms = 5000,
					    .grace_s = 8,
					    .recheck_s = 2.2,
					    .retry_ratio = 0.1,
					    .retry_slack = 10,
					    .retry_window_s = 10 };
	set->load = (struct gset_load){ .wait_limit = 64,
					.wait_ms = 1000,
					.fill = 0.92,
					.prefill_tokens_per_ms = 8,
					.stall_ms = 1500,
					.answer_ms = 700,
					.backups = true };
	if (conf_parse_file(file, &gset_schema, set, error) && gset_check(file, set, error))
		return set;
	gset_destroy(set);
	return NULL;
}

void gset_destroy(struct gset *set)
{
	if (!set)
		return;
	conf_clear(&gset_schema, set);
	g_free(set);
}

/* queries */

const char *gset_region(const struct gset *set, const char *zone)
{
	for (uint32_t i = 0; i < set->zone_count; i++) {
		if (strcmp(set->zones[i].name, zone) == 0)
			return set->zones[i].region;
	}
	return NULL;
}

bool gset_split(const char *address, char **host, uint16_t *port)
{
	const char *colon = address ? strrchr(address, ':') : NULL;
	char *rest = NULL;
	unsigned long number;

	if (!colon || colon == address)
		return false;
	number = strtoul(colon + 1, &rest, 10);
	if (rest == colon + 1 || *rest || number > UINT16_MAX)
		return false;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)number;
	return true;
}

json_t *gset_to_json(const struct gset *set)
{
	return conf_to_json(&gset_schema, set);
}

/* helpers */

static bool gset_check(const char *file, const struct gset *set, GError **error)
{
	const struct {
		const char *key;
		const char *address;
	} addresses[] = { { "callers", set->callers },
			  { "ready", set->ready ? set->ready : set->metrics },
			  { "metrics", set->metrics },
			  { "bus", set->bus },
			  { "store", set->store } };

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		g_autofree char *host = NULL;
		uint16_t port;

		if (gset_split(addresses[i].address, &host, &port))
			continue;
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"%s\": expected an address as IP:port", file,
			    addresses[i].key);
		return false;
	}
	if (!gset_region(set, set->zone)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
			    "%s: key \"zones\": expected the instance's own zone \"%s\"", file,
			    set->zone);
		return false;
	}
	return true;
}
