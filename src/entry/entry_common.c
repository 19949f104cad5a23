#include "entry_internal.h"

#include <inttypes.h>
#include <stdio.h>

/* commands */

void entry_apply_config(struct entry *entry, const json_t *snapshot, const char *source)
{
	g_autoptr(GError) error = NULL;
	enum profile_config_result result =
		profile_config_apply(entry->profile_config, snapshot, &error);
	char revision[24];

	if (result == PROFILE_CONFIG_INVALID)
		log_event(LOG_CONFIG_REJECTED, "source", source, "reason", error->message, NULL);
	if (result != PROFILE_CONFIG_APPLIED)
		return;
	snprintf(revision, sizeof(revision), "%" PRIu64,
		 profile_config_revision(entry->profile_config));
	log_event(LOG_CONFIG_APPLIED, "revision", revision, "source", source, NULL);
	metric_set(entry->metric, METRIC_CONFIG_REVISION,
		   (int64_t)profile_config_revision(entry->profile_config));
	membership_set_revision(entry->membership, profile_config_revision(entry->profile_config));
	entry->announce_soon(entry);
	if (!entry->ready) {
		entry->ready = true;
		log_event(LOG_READY, "revision", revision, NULL);
	}
}

void entry_mark_upstream_leaving(struct entry *entry, struct upstream *up, const char *source)
{
	if (!upstream_set_leaving(up, entry_now_us()))
		return;
	log_event(LOG_ENGINE_LEAVING, "engine", upstream_id(up), "source", source, NULL);
	entry->announce_leaving(entry, up);
	entry->announce_soon(entry);
}

/* queries */

uint64_t entry_now_us(void)
{
	return uv_hrtime() / 1000;
}

uint64_t entry_wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

struct entry_service *entry_find_service(struct entry *entry, const char *name)
{
	return g_hash_table_lookup(entry->services, name);
}

enum profile_spill entry_allowed_spill(struct entry *entry, enum profile_spill spill)
{
	if (spill < PROFILE_SPILL_REGION ||
	    byte_budget_available(&entry->cross_region_budget, entry_now_us()))
		return spill;
	return PROFILE_SPILL_ZONE;
}

void entry_count_relayed_bytes(struct entry *entry, const struct upstream *up, size_t bytes)
{
	if (pool_distance(entry->pool, up) == POOL_OTHER_REGION)
		byte_budget_spend(&entry->cross_region_budget, bytes, entry_now_us());
}

struct length_survival *entry_length_estimate(struct entry_service *service, const char *customer)
{
	struct length_survival *estimate =
		g_hash_table_lookup(service->estimates_by_customer, customer);

	if (estimate)
		return estimate;
	estimate = length_survival_create(service->length_estimate);
	g_hash_table_insert(service->estimates_by_customer, g_strdup(customer), estimate);
	return estimate;
}
