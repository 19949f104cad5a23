#include "flamingolatch/settings.h"
#include "flamingolatch/err.h"

#include <string.h>

#define SET_Z85_KEY_CHARS    40
#define SET_MIN_SECRET_CHARS 16
#define SET_DAY_MS	     (24ULL * 3600 * 1000)

static const char *const set_kind_names[] = { "generation", "plain", NULL };

static const struct conf_field set_port_fields[] = {
	{ .key = "address",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_port, address),
	  .required = true },
	{ .key = "port",
	  .type = CONF_U64,
	  .offset = offsetof(struct set_port, port),
	  .required = true,
	  .max = 65535 },
	{ .key = "certificate_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_port, certificate_file) },
	{ .key = "key_file", .type = CONF_STRING, .offset = offsetof(struct set_port, key_file) },
	{ .key = "token_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_port, token_file) },
	{ 0 }
};
static const struct conf_schema set_port_schema = { sizeof(struct set_port), set_port_fields };

static const struct conf_field set_bus_fields[] = {
	{ .key = "address",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_bus, address),
	  .required = true },
	{ .key = "port",
	  .type = CONF_U64,
	  .offset = offsetof(struct set_bus, port),
	  .required = true,
	  .max = 65535 },
	{ .key = "public_key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_bus, public_key_file) },
	{ .key = "secret_key_file",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_bus, secret_key_file) },
	{ .key = "insecure", .type = CONF_BOOL, .offset = offsetof(struct set_bus, insecure) },
	{ 0 }
};
static const struct conf_schema set_bus_schema = { sizeof(struct set_bus), set_bus_fields };

static const struct conf_field set_customer_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct set_customer, name),
	  .required = true },
	{ .key = "key_sha256",
	  .type = CONF_STRING,
	  .offset = offsetof(struct set_customer, key_sha256),
	  .required = true },
	{ 0 }
};
static const struct conf_schema set_customer_schema = { sizeof(struct set_customer),
							set_customer_fields };

static const struct conf_field set_service_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct set_service, name),
	  .required = true },
	{ .key = "kind",
	  .type = CONF_ENUM,
	  .offset = offsetof(struct set_service, kind),
	  .required = true,
	  .names = set_kind_names },
	{ .key = "upstream",
	  .type = CONF_NAME,
	  .offset = offsetof(struct set_service, upstream),
	  .required = true },
	{ .key = "profile",
	  .type = CONF_NAME,
	  .offset = offsetof(struct set_service, profile),
	  .required = true },
	{ .key = "owner", .type = CONF_NAME, .offset = offsetof(struct set_service, owner) },
	{ 0 }
};
static const struct conf_schema set_service_schema = { sizeof(struct set_service),
						       set_service_fields };

static const struct conf_field set_drain_fields[] = {
	{ .key = "ready_lag_ms",
	  .type = CONF_U64,
	  .offset = offsetof(struct set_drain, ready_lag_ms),
	  .max = 600000 },
	{ .key = "deadline_ms",
	  .type = CONF_U64,
	  .offset = offsetof(struct set_drain, deadline_ms),
	  .max = SET_DAY_MS },
	{ 0 }
};
static const struct conf_schema set_drain_schema = { sizeof(struct set_drain), set_drain_fields };

static const struct conf_field set_fields[] = {
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
	  .sub = &set_port_schema },
	{ .key = "operator",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, operator_port),
	  .required = true,
	  .sub = &set_port_schema },
	{ .key = "bus",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, bus),
	  .required = true,
	  .sub = &set_bus_schema },
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
	  .type = CONF_LIST,
	  .offset = offsetof(struct settings, customers),
	  .required = true,
	  .sub = &set_customer_schema,
	  .count_offset = offsetof(struct settings, customer_count) },
	{ .key = "services",
	  .type = CONF_LIST,
	  .offset = offsetof(struct settings, services),
	  .required = true,
	  .sub = &set_service_schema,
	  .count_offset = offsetof(struct settings, service_count) },
	{ .key = "drain",
	  .type = CONF_STRUCT,
	  .offset = offsetof(struct settings, drain),
	  .sub = &set_drain_schema },
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
static const struct conf_schema set_schema = { sizeof(struct settings), set_fields };

static bool set_check(const char *file, const struct settings *set, GError **error);
static bool set_read_secrets(struct settings *set, GError **error);

/* lifetime */

struct settings *set_load(const char *file, GError **error)
{
	struct settings *set = g_new0(struct settings, 1);

	set->max_body_bytes = 1 << 20;
	set->bus_bytes_per_s = 14000;
	set->region_bytes_per_s = 1000000;
	set->call_row_ttl_s = 24ULL * 3600;
	set->drain.ready_lag_ms = 2000;
	if (conf_parse_file(file, &set_schema, set, error) && set_check(file, set, error) &&
	    set_read_secrets(set, error))
		return set;
	set_destroy(set);
	return NULL;
}

void set_destroy(struct settings *set)
{
	if (!set)
		return;
	conf_clear(&set_schema, set);
	g_free(set->operator_token);
	g_free(set->id_key);
	g_free(set->bus_public_key);
	g_free(set->bus_secret_key);
	g_free(set);
}

/* queries */

const struct set_service *set_find_service(const struct settings *set, const char *name)
{
	for (uint32_t i = 0; i < set->service_count; i++) {
		if (strcmp(set->services[i].name, name) == 0)
			return &set->services[i];
	}
	return NULL;
}

const struct set_customer *set_find_customer(const struct settings *set, const char *api_key)
{
	g_autofree char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, api_key, -1);

	for (uint32_t i = 0; i < set->customer_count; i++) {
		if (g_ascii_strcasecmp(set->customers[i].key_sha256, digest) == 0)
			return &set->customers[i];
	}
	return NULL;
}

json_t *set_to_json(const struct settings *set)
{
	return conf_to_json(&set_schema, set);
}

/* helpers */

static bool set_fail(const char *file, const char *key, const char *expected, GError **error)
{
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s: key \"%s\": expected %s", file, key,
		    expected);
	return false;
}

static bool set_check(const char *file, const struct settings *set, GError **error)
{
	if (!set->operator_port.token_file)
		return set_fail(file, "operator.token_file", "a file with the operators' token",
				error);
	if (!set->caller.certificate_file != !set->caller.key_file)
		return set_fail(file, "caller.key_file", "certificate_file and key_file together",
				error);
	if (!set->bus.insecure && (!set->bus.public_key_file || !set->bus.secret_key_file))
		return set_fail(file, "bus.public_key_file",
				"both key files, or insecure: true for a test", error);
	for (uint32_t i = 0; i < set->customer_count; i++) {
		const char *digest = set->customers[i].key_sha256;

		if (strlen(digest) != 64 || strspn(digest, "0123456789abcdefABCDEF") != 64)
			return set_fail(file, "customers.key_sha256", "64 hexadecimal digits",
					error);
	}
	for (uint32_t i = 0; i < set->service_count; i++) {
		if (set_find_service(set, set->services[i].name) != &set->services[i])
			return set_fail(file, "services.name", "each name only once", error);
	}
	return true;
}

static bool set_read_secret(const char *key, const char *path, size_t min_chars, char **out,
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

static bool set_read_secrets(struct settings *set, GError **error)
{
	if (!set_read_secret("operator.token_file", set->operator_port.token_file,
			     SET_MIN_SECRET_CHARS, &set->operator_token, error))
		return false;
	if (!set_read_secret("id_key_file", set->id_key_file, SET_MIN_SECRET_CHARS, &set->id_key,
			     error))
		return false;
	if (set->bus.insecure)
		return true;
	return set_read_secret("bus.public_key_file", set->bus.public_key_file, SET_Z85_KEY_CHARS,
			       &set->bus_public_key, error) &&
	       set_read_secret("bus.secret_key_file", set->bus.secret_key_file, SET_Z85_KEY_CHARS,
			       &set->bus_secret_key, error);
}
