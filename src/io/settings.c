#include "flamingolatch/settings.h"
#include "flamingolatch/err.h"

#include <string.h>

#define SETTINGS_Z85_KEY_CHARS	  40
#define SETTINGS_SECRET_MIN_CHARS 16
#define SETTINGS_MS_PER_DAY	  (24ULL * 3600 * 1000)

static const char *const settings_service_kind_names[] = { "generation", "plain", NULL };

static const struct conf_field settings_listener_fields[] = {
	{ .key = "address",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_listener, address),
	  .required = true },
	{ .key = "port",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings_listener, port),
	  .required = true,
	  .max = 65535 },
	{ .key = "certificate_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_listener, certificate_file) },
	{ .key = "key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_listener, key_file) },
	{ .key = "token_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_listener, token_file) },
	{ 0 }
};
static const struct conf_schema settings_listener_schema = { sizeof(struct settings_listener),
							     settings_listener_fields };

static const struct conf_field settings_bus_fields[] = {
	{ .key = "address",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_bus, address),
	  .required = true },
	{ .key = "port",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings_bus, port),
	  .required = true,
	  .max = 65535 },
	{ .key = "public_key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_bus, public_key_file) },
	{ .key = "secret_key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_bus, secret_key_file) },
	{ .key = "insecure", .type = CONF_BOOL, .offset = offsetof(struct settings_bus, insecure) },
	{ 0 }
};
static const struct conf_schema settings_bus_schema = { sizeof(struct settings_bus),
							settings_bus_fields };

static const struct conf_field settings_customer_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings_customer, name),
	  .required = true },
	{ .key = "key_sha256",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings_customer, key_sha256),
	  .required = true },
	{ 0 }
};
static const struct conf_schema settings_customer_schema = { sizeof(struct settings_customer),
							     settings_customer_fields };

static const struct conf_field settings_service_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings_service, name),
	  .required = true },
	{ .key = "kind",
	  .type = CONF_ENUM,
	  .offset = offsetof(struct settings_service, kind),
	  .required = true,
	  .enum_names = settings_service_kind_names },
	{ .key = "upstream",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings_service, upstream),
	  .required = true },
	{ .key = "profile",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings_service, profile),
	  .required = true },
	{ .key = "owner", .type = CONF_NAME, .offset = offsetof(struct settings_service, owner) },
	{ 0 }
};
static const struct conf_schema settings_service_schema = { sizeof(struct settings_service),
							    settings_service_fields };

static const struct conf_field settings_drain_fields[] = {
	{ .key = "ready_lag_ms",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings_drain, ready_lag_ms),
	  .max = 600000 },
	{ .key = "deadline_ms",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings_drain, deadline_ms),
	  .max = SETTINGS_MS_PER_DAY },
	{ 0 }
};
static const struct conf_schema settings_drain_schema = { sizeof(struct settings_drain),
							  settings_drain_fields };

static const struct conf_field settings_fields[] = {
	{ .key = "instance",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings, instance),
	  .required = true },
	{ .key = "zone",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings, zone),
	  .required = true },
	{ .key = "region",
	  .type = CONF_NAME,
	  .offset = offsetof(struct settings, region),
	  .required = true },
	{ .key = "caller",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, caller),
	  .required = true,
	  .sub_schema = &settings_listener_schema },
	{ .key = "operator",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, operator_port),
	  .required = true,
	  .sub_schema = &settings_listener_schema },
	{ .key = "bus",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, bus),
	  .required = true,
	  .sub_schema = &settings_bus_schema },
	{ .key = "platform",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings, platform),
	  .required = true },
	{ .key = "id_key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings, id_key_file),
	  .required = true },
	{ .key = "ports_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct settings, ports_file) },
	{ .key = "customers",
	  .type = CONF_STRUCT_LIST,
	  .offset = offsetof(struct settings, customers),
	  .required = true,
	  .sub_schema = &settings_customer_schema,
	  .count_offset = offsetof(struct settings, customer_count) },
	{ .key = "services",
	  .type = CONF_STRUCT_LIST,
	  .offset = offsetof(struct settings, services),
	  .required = true,
	  .sub_schema = &settings_service_schema,
	  .count_offset = offsetof(struct settings, service_count) },
	{ .key = "drain",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, drain),
	  .sub_schema = &settings_drain_schema },
	{ .key = "max_body_bytes",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings, max_body_bytes),
	  .min = 1024,
	  .max = 64ULL << 20 },
	{ .key = "bus_bytes_per_s",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings, bus_bytes_per_s),
	  .min = 1000,
	  .max = 10000000 },
	{ .key = "call_row_ttl_s",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings, call_row_ttl_s),
	  .min = 1,
	  .max = 366ULL * 24 * 3600 },
	{ .key = "region_bytes_per_s",
	  .type = CONF_U64,
	  .offset = offsetof(struct settings, region_bytes_per_s),
	  .max = 1000000000 },
	{ 0 }
};
static const struct conf_schema settings_schema = { sizeof(struct settings), settings_fields };

static bool settings_check(const char *file, const struct settings *settings, GError **error);
static bool settings_read_secrets(struct settings *settings, GError **error);

/* lifetime */

struct settings *settings_load(const char *file, GError **error)
{
	struct settings *settings = g_new0(struct settings, 1);

	settings->max_body_bytes = 1 << 20;
	settings->bus_bytes_per_s = 14000;
	settings->region_bytes_per_s = 1000000;
	settings->call_row_ttl_s = 24ULL * 3600;
	settings->drain.ready_lag_ms = 2000;
	if (conf_parse_file(file, &settings_schema, settings, error) &&
	    settings_check(file, settings, error) && settings_read_secrets(settings, error))
		return settings;
	settings_destroy(settings);
	return NULL;
}

void settings_destroy(struct settings *settings)
{
	if (!settings)
		return;
	conf_clear(&settings_schema, settings);
	g_free(settings->operator_token);
	g_free(settings->id_key);
	g_free(settings->bus_public_key);
	g_free(settings->bus_secret_key);
	g_free(settings);
}

/* queries */

const struct settings_service *settings_find_service(const struct settings *settings,
						     const char *name)
{
	for (uint32_t i = 0; i < settings->service_count; i++) {
		if (strcmp(settings->services[i].name, name) == 0)
			return &settings->services[i];
	}
	return NULL;
}

const struct settings_customer *settings_find_customer(const struct settings *settings,
						       const char *api_key)
{
	g_autofree char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, api_key, -1);

	for (uint32_t i = 0; i < settings->customer_count; i++) {
		if (g_ascii_strcasecmp(settings->customers[i].key_sha256, digest) == 0)
			return &settings->customers[i];
	}
	return NULL;
}

json_t *settings_to_json(const struct settings *settings)
{
	return conf_to_json(&settings_schema, settings);
}

/* helpers */

static bool settings_set_error(const char *file, const char *key, const char *expected,
			       GError **error)
{
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s: key \"%s\": expected %s", file, key,
		    expected);
	return false;
}

static bool settings_check(const char *file, const struct settings *settings, GError **error)
{
	if (!settings->operator_port.token_file)
		return settings_set_error(file, "operator.token_file",
					  "the file that holds the operator token", error);
	if (!settings->caller.certificate_file != !settings->caller.key_file)
		return settings_set_error(file, "caller.key_file",
					  "both certificate_file and key_file or neither", error);
	if (!settings->bus.insecure &&
	    (!settings->bus.public_key_file || !settings->bus.secret_key_file))
		return settings_set_error(file, "bus.public_key_file",
					  "both key files, or insecure: true for tests", error);
	for (uint32_t i = 0; i < settings->customer_count; i++) {
		const char *digest = settings->customers[i].key_sha256;

		if (strlen(digest) != 64 || strspn(digest, "0123456789abcdefABCDEF") != 64)
			return settings_set_error(file, "customers.key_sha256",
						  "64 hexadecimal digits", error);
	}
	for (uint32_t i = 0; i < settings->service_count; i++) {
		if (settings_find_service(settings, settings->services[i].name) !=
		    &settings->services[i])
			return settings_set_error(file, "services.name",
						  "each service name only once", error);
	}
	return true;
}

static bool settings_read_secret(const char *key, const char *path, size_t min_chars, char **out,
				 GError **error)
{
	g_autoptr(GError) cause = NULL;

	if (!g_file_get_contents(path, out, NULL, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "key \"%s\": %s", key, cause->message);
		return false;
	}
	g_strstrip(*out);
	if (strlen(*out) >= min_chars)
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
		    "%s: key \"%s\": expected a secret of at least %zu characters", path, key,
		    min_chars);
	return false;
}

static bool settings_read_secrets(struct settings *settings, GError **error)
{
	if (!settings_read_secret("operator.token_file", settings->operator_port.token_file,
				  SETTINGS_SECRET_MIN_CHARS, &settings->operator_token, error))
		return false;
	if (!settings_read_secret("id_key_file", settings->id_key_file, SETTINGS_SECRET_MIN_CHARS,
				  &settings->id_key, error))
		return false;
	if (settings->bus.insecure)
		return true;
	return settings_read_secret("bus.public_key_file", settings->bus.public_key_file,
				    SETTINGS_Z85_KEY_CHARS, &settings->bus_public_key, error) &&
	       settings_read_secret("bus.secret_key_file", settings->bus.secret_key_file,
				    SETTINGS_Z85_KEY_CHARS, &settings->bus_secret_key, error);
}
