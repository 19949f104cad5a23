#include "flamingolatch/profile.h"
#include "flamingolatch/err.h"

#include <string.h>

#define PROFILE_MAX_TIMEOUT_MS (3600ULL * 1000)

static const char *const profile_spill_names[] = { "none", "zone", "region", NULL };

static const struct conf_field profile_reservation_fields[] = {
	{ .key = "owner",
	  .type = CONF_NAME,
	  .offset = offsetof(struct profile_reservation, owner),
	  .required = true },
	{ .key = "share_percent",
	  .type = CONF_U64,
	  .offset = offsetof(struct profile_reservation, share_percent),
	  .required = true,
	  .min = 1,
	  .max = 100 },
	{ 0 }
};

static const struct conf_schema profile_reservation_schema = { sizeof(struct profile_reservation),
							       profile_reservation_fields };

#define PROFILE_NUMBER(name, low, high)                                                            \
	{                                                                                          \
		.key = #name, .type = CONF_U64, .offset = offsetof(struct profile, name),          \
		.min = low, .max = high                                                            \
	}

static const struct conf_field profile_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct profile, name),
	  .required = true },
	PROFILE_NUMBER(priority, 0, 9),
	PROFILE_NUMBER(overflow_deviations_centi, 0, 1000),
	PROFILE_NUMBER(room_factor, 1, 20),
	PROFILE_NUMBER(queue_deadline_ms, 1, PROFILE_MAX_TIMEOUT_MS),
	PROFILE_NUMBER(queue_limit, 1, 1000000),
	PROFILE_NUMBER(stall_ms, 50, PROFILE_MAX_TIMEOUT_MS),
	PROFILE_NUMBER(resume_deadline_ms, 1, PROFILE_MAX_TIMEOUT_MS),
	PROFILE_NUMBER(call_timeout_ms, 1, PROFILE_MAX_TIMEOUT_MS),
	PROFILE_NUMBER(retry_percent, 0, 100),
	PROFILE_NUMBER(max_output_tokens, 1, 1000000),
	PROFILE_NUMBER(customer_rate_per_s, 0, 1000000),
	PROFILE_NUMBER(customer_burst, 1, 1000000),
	PROFILE_NUMBER(customer_streams, 0, 1000000),
	{ .key = "spill",
	  .type = CONF_ENUM,
	  .offset = offsetof(struct profile, spill),
	  .enum_names = profile_spill_names },
	{ .key = "engine_version",
	  .type = CONF_NAME,
	  .offset = offsetof(struct profile, engine_version) },
	{ .key = "idempotent_methods",
	  .type = CONF_STRINGS,
	  .offset = offsetof(struct profile, idempotent_methods) },
	{ .key = "reservations",
	  .type = CONF_STRUCT_LIST,
	  .offset = offsetof(struct profile, reservations),
	  .sub_schema = &profile_reservation_schema,
	  .count_offset = offsetof(struct profile, reservation_count) },
	{ 0 }
};

const struct conf_schema profile_schema = { sizeof(struct profile), profile_fields };

/* lifetime */

void profile_init(struct profile *profile)
{
	static const char *const methods[] = { "GET", "HEAD", NULL };

	*profile = (struct profile){
		.priority = 5,
		.overflow_deviations_centi = 150,
		.room_factor = 4,
		.queue_deadline_ms = 20000,
		.queue_limit = 1000,
		.stall_ms = 2000,
		.resume_deadline_ms = 10000,
		.call_timeout_ms = 10000,
		.retry_percent = 10,
		.max_output_tokens = 32768,
		.customer_burst = 20,
		.spill = PROFILE_SPILL_ZONE,
		.idempotent_methods = g_strdupv((char **)methods),
	};
}

void profile_clear(struct profile *profile)
{
	conf_clear(&profile_schema, profile);
}

/* parsing */

static bool profile_check_reservations(const char *file, const struct profile *profile,
				       GError **error)
{
	uint64_t total_percent = 0;

	for (uint32_t i = 0; i < profile->reservation_count; i++)
		total_percent += profile->reservations[i].share_percent;
	if (total_percent <= 100)
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
		    "%s: key \"reservations\": expected shares of at most 100 in all", file);
	return false;
}

bool profile_parse(const char *file, const char *text, size_t len, struct profile *profile,
		   GError **error)
{
	profile_init(profile);
	if (conf_parse(file, text, len, &profile_schema, profile, error) &&
	    profile_check_reservations(file, profile, error))
		return true;
	profile_clear(profile);
	return false;
}

/* queries */

json_t *profile_to_json(const struct profile *profile)
{
	return conf_to_json(&profile_schema, profile);
}

bool profile_method_is_idempotent(const struct profile *profile, const char *method)
{
	return g_strv_contains((const char *const *)profile->idempotent_methods, method);
}
