#include "flamingolatch/profile.h"
#include "flamingolatch/err.h"

#include <string.h>

#define PROF_HOUR_MS (3600ULL * 1000)

static const char *const prof_spill_names[] = { "none", "zone", "region", NULL };

static const struct conf_field prof_reservation_fields[] = {
	{ .key = "owner",
	  .type = CONF_NAME,
	  .offset = offsetof(struct prof_reservation, owner),
	  .required = true },
	{ .key = "share_percent",
	  .type = CONF_U64,
	  .offset = offsetof(struct prof_reservation, share_percent),
	  .required = true,
	  .min = 1,
	  .max = 100 },
	{ 0 }
};

static const struct conf_schema prof_reservation_schema = { sizeof(struct prof_reservation),
							    prof_reservation_fields };

#define PROF_NUMBER(name, low, high)                                                               \
	{                                                                                          \
		.key = #name, .type = CONF_U64, .offset = offsetof(struct prof, name), .min = low, \
		.max = high                                                                        \
	}

static const struct conf_field prof_fields[] = {
	{ .key = "name",
	  .type = CONF_NAME,
	  .offset = offsetof(struct prof, name),
	  .required = true },
	PROF_NUMBER(priority, 0, 9),
	PROF_NUMBER(overflow_deviations_centi, 0, 1000),
	PROF_NUMBER(room_factor, 1, 20),
	PROF_NUMBER(queue_deadline_ms, 1, PROF_HOUR_MS),
	PROF_NUMBER(queue_limit, 1, 1000000),
	PROF_NUMBER(stall_ms, 50, PROF_HOUR_MS),
	PROF_NUMBER(resume_deadline_ms, 1, PROF_HOUR_MS),
	PROF_NUMBER(call_timeout_ms, 1, PROF_HOUR_MS),
	PROF_NUMBER(retry_percent, 0, 100),
	PROF_NUMBER(max_output_tokens, 1, 1000000),
	PROF_NUMBER(customer_rate_per_s, 0, 1000000),
	PROF_NUMBER(customer_burst, 1, 1000000),
	PROF_NUMBER(customer_streams, 0, 1000000),
	{ .key = "spill",
	  .type = CONF_ENUM,
	  .offset = offsetof(struct prof, spill),
	  .enum_names = prof_spill_names },
	{ .key = "engine_version",
	  .type = CONF_NAME,
	  .offset = offsetof(struct prof, engine_version) },
	{ .key = "idempotent_methods",
	  .type = CONF_STRINGS,
	  .offset = offsetof(struct prof, idempotent_methods) },
	{ .key = "reservations",
	  .type = CONF_STRUCT_LIST,
	  .offset = offsetof(struct prof, reservations),
	  .sub_schema = &prof_reservation_schema,
	  .count_offset = offsetof(struct prof, reservation_count) },
	{ 0 }
};

const struct conf_schema prof_schema = { sizeof(struct prof), prof_fields };

/* lifetime */

void prof_init(struct prof *prof)
{
	static const char *const methods[] = { "GET", "HEAD", NULL };

	*prof = (struct prof){
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
		.spill = PROF_SPILL_ZONE,
		.idempotent_methods = g_strdupv((char **)methods),
	};
}

void prof_clear(struct prof *prof)
{
	conf_clear(&prof_schema, prof);
}

/* commands */

static bool prof_check(const char *file, const struct prof *prof, GError **error)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < prof->reservation_count; i++)
		total += prof->reservations[i].share_percent;
	if (total <= 100)
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_SETTINGS,
		    "%s: key \"reservations\": expected shares of at most 100 in all", file);
	return false;
}

bool prof_parse(const char *file, const char *text, size_t len, struct prof *prof, GError **error)
{
	prof_init(prof);
	if (conf_parse(file, text, len, &prof_schema, prof, error) && prof_check(file, prof, error))
		return true;
	prof_clear(prof);
	return false;
}

/* queries */

json_t *prof_to_json(const struct prof *prof)
{
	return conf_to_json(&prof_schema, prof);
}

bool prof_is_idempotent(const struct prof *prof, const char *method)
{
	return g_strv_contains((const char *const *)prof->idempotent_methods, method);
}
