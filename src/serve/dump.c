#include "dump.h"

#define DUMP_UPSTREAMS_MAX 1000
#define DUMP_REQUESTS_MAX  500

static json_t *dump_load(const struct fups_load *load)
{
	return json_pack("{s:i, s:I, s:I, s:i}", "open", (int)load->open, "kv_tokens",
			 (json_int_t)load->kv_tokens, "prefill_tokens",
			 (json_int_t)load->prefill_tokens, "copies", (int)load->copies);
}

static json_t *dump_upstream(const struct fups *up, uint64_t now_us)
{
	struct fups_load peers = fups_peers(up, now_us);

	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:o, s:o, s:f, s:b, s:b, s:I}", "id",
			 fups_id(up), "service", fups_service(up), "address", fups_address(up),
			 "zone", fups_zone(up), "state", fups_state_name(fups_state(up)), "own",
			 dump_load(fups_own((struct fups *)up)), "peers", dump_load(&peers),
			 "failure_share", fups_failure_share(up), "suspended",
			 fups_suspended(up, now_us), "on_probation", fups_on_probation(up),
			 "silent_ms", (json_int_t)(fups_silent_us(up, now_us) / 1000));
}

static json_t *dump_upstreams(struct env *env)
{
	g_autoptr(GPtrArray) ids = fleet_ids(env->fleet);
	json_t *out = json_array();
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < ids->len && i < DUMP_UPSTREAMS_MAX; i++)
		json_array_append_new(out,
				      dump_upstream(fleet_find(env->fleet, ids->pdata[i]), now_us));
	return out;
}

json_t *dump_state(struct env *env, const struct fol *fol, const struct rly *rly)
{
	uint64_t age_us = fresh_age_us(&env->fresh, env_boot_us());

	return json_pack("{s:o, s:I, s:I, s:b, s:b, s:b, s:I, s:i, s:b, s:o, s:o}", "settings",
			 gateway_settings_to_json(env->set), "config_version",
			 (json_int_t)(env->config ? rt_config_version(env->config) : 0),
			 "config_confirmed_age_ms",
			 age_us == UINT64_MAX ? (json_int_t)-1 : (json_int_t)(age_us / 1000),
			 "keys_fresh", env_keys_fresh(env), "synced", fol_synced(fol),
			 "follows_store", fol_sound(fol), "list_version",
			 (json_int_t)fol_list_version(fol), "instances", (int)env->instances,
			 "stopping", env->stopping, "upstreams", dump_upstreams(env), "requests",
			 rly_state(rly, DUMP_REQUESTS_MAX));
}
