#include "dump.h"

#include "admission_exchange.h"
#include "crash_guard.h"
#include "relay_detour.h"
#include "relay_hedge.h"
#include "stream_version.h"

#define DUMP_MAX_UPSTREAMS 1000
#define DUMP_MAX_REQUESTS  500

static json_t *dump_load(const struct fleet_load *load)
{
	return json_pack("{s:i, s:I, s:I, s:i}", "open", (int)load->open, "kv_tokens",
			 (json_int_t)load->kv_tokens, "prefill_tokens",
			 (json_int_t)load->prefill_tokens, "copies", (int)load->incoming_copies);
}

static json_t *dump_upstream(const struct fleet_upstream *up, uint64_t now_us)
{
	struct fleet_load peers = fleet_upstream_peer_load(up);
	const struct upstream_limit *limit = fleet_upstream_limit((struct fleet_upstream *)up);
	const struct warm_up *cold = fleet_upstream_cold_limit((struct fleet_upstream *)up);
	const struct upstream_speed *speed = fleet_upstream_speed((struct fleet_upstream *)up);
	const struct upstream_quiet *quiet = fleet_upstream_quiet((struct fleet_upstream *)up);

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:s, s:o, s:o, s:f, s:b, s:b, s:I, s:f, s:f, s:I, "
		"s:s, s:I, s:f, s:f, s:f, s:b}",
		"id", fleet_upstream_id(up), "service", fleet_upstream_service(up), "address",
		fleet_upstream_address(up), "zone", fleet_upstream_zone(up), "version",
		fleet_upstream_software_version(up), "state",
		fleet_upstream_state_name(fleet_upstream_state(up)), "own",
		dump_load(fleet_upstream_own_load((struct fleet_upstream *)up)), "peers",
		dump_load(&peers), "failure_share", fleet_upstream_failure_share(up), "suspended",
		fleet_upstream_suspended(up, now_us), "on_probation",
		fleet_upstream_on_probation(up), "silent_ms",
		(json_int_t)(fleet_upstream_silent_us(up, now_us) / 1000), "limit_per_s",
		limit->limited ? limit->limit_per_s : -1.0, "limit_share", limit->share, "quiet_ms",
		(json_int_t)(upstream_quiet_left_us(quiet, now_us) / 1000), "cold_phase",
		warm_up_phase_name(warm_up_phase(cold, now_us)), "cold_ms",
		(json_int_t)warm_up_cold_ms(cold, now_us), "cold_own_per_s",
		warm_up_rate_per_s(cold, now_us), "speed",
		speed->factor > 0.0 ? speed->factor : 1.0, "speed_confidence", speed->confidence,
		"speed_in_effect", speed->in_effect);
}

static json_t *dump_evacuated(const struct store_watch *store_watch)
{
	const GPtrArray *zones = store_watch_evacuated(store_watch);
	struct store_position position = store_watch_evacuated_position(store_watch);
	json_t *names = json_array();

	for (guint i = 0; i < zones->len; i++)
		json_array_append_new(names, json_string(zones->pdata[i]));
	return json_pack("{s:o, s:I, s:I}", "zones", names, "era", (json_int_t)position.era,
			 "version", (json_int_t)position.version);
}

static json_t *dump_upstreams(struct env *env)
{
	g_autoptr(GPtrArray) ids = fleet_ids(env->fleet);
	json_t *out = json_array();
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < ids->len && i < DUMP_MAX_UPSTREAMS; i++)
		json_array_append_new(out,
				      dump_upstream(fleet_find(env->fleet, ids->pdata[i]), now_us));
	return out;
}

json_t *dump_state(struct env *env, const struct store_watch *store_watch,
		   const struct relay *relay)
{
	uint64_t age_us = freshness_age_us(&env->freshness, env_boot_us());
	struct store_position list = store_watch_list_position(store_watch);
	struct store_position config = store_watch_config_position(store_watch);

	return json_pack(
		"{s:o, s:I, s:I, s:I, s:I, s:b, s:b, s:b, s:I, s:I, s:o, s:i, s:b, s:o, s:o, s:o, "
		"s:o, s:o}",
		"settings", gateway_settings_to_json(env->settings), "config_version",
		(json_int_t)(env->config ? route_config_version(env->config) : 0), "config_era",
		(json_int_t)config.era, "config_store_version", (json_int_t)config.version,
		"config_confirmed_age_ms",
		age_us == UINT64_MAX ? (json_int_t)-1 : (json_int_t)(age_us / 1000), "keys_fresh",
		env_keys_fresh(env), "synced", store_watch_is_synced(store_watch), "follows_store",
		store_watch_is_healthy(store_watch), "list_era", (json_int_t)list.era,
		"list_version", (json_int_t)list.version, "evacuated", dump_evacuated(store_watch),
		"instances", (int)env->live_instances, "stopping",
		planned_stop_has_begun(&env->stop), "upstreams", dump_upstreams(env),
		"urgent_demand", admission_exchange_json(env->admission_exchange), "hedges",
		relay_hedges_json(relay), "quarantined", crash_guard_json(env->crash_guard),
		"stream_versions", stream_version_json(env->stream_version), "path",
		relay_detours_json(relay), "requests", relay_state_json(relay, DUMP_MAX_REQUESTS));
}
