#include "../entry/entry_internal.h"

#include <string.h>

static void state_add_upstream(void *ctx, struct upstream *up)
{
	json_t *list = ctx;
	const struct pool_report *report = upstream_last_report(up);
	const struct kv_forecast *own_forecast = upstream_own_forecast(up);

	json_array_append_new(
		list,
		json_pack("{s:s, s:s, s:s, s:s, s:s, s:s*, s:I, s:I, s:I, s:I, s:I, s:f, s:f}",
			  "id", upstream_id(up), "pool", upstream_pool_name(up), "address",
			  upstream_address(up), "zone", upstream_zone(up), "state",
			  pool_state_name(upstream_state(up)), "version", upstream_version(up),
			  "open", (json_int_t)upstream_open_requests(up), "kv_capacity",
			  (json_int_t)report->kv_capacity, "kv_used", (json_int_t)report->kv_used,
			  "running", (json_int_t)report->running, "waiting",
			  (json_int_t)report->waiting, "own_predicted_peak",
			  kv_forecast_peak(own_forecast, 0.0), "pressure",
			  upstream_pressure(up, NULL, 0, 0.0)));
}

static void state_add_member(void *ctx, const struct member_view *view)
{
	const struct member_record *record = view->record;

	json_array_append_new(ctx, json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I}", "id",
					     record->id, "zone", record->zone, "address",
					     record->address, "state",
					     member_state_name(view->state), "listed", view->listed,
					     "incarnation", (json_int_t)record->incarnation,
					     "heartbeat", (json_int_t)record->heartbeat, "revision",
					     (json_int_t)record->revision));
}

static json_t *state_config(const struct entry *entry)
{
	uint64_t age_us = entry_now_us() - entry->config_confirmed_us;

	return json_pack("{s:I, s:o}", "revision",
			 (json_int_t)profile_config_revision(entry->profile_config),
			 "confirmed_age_ms",
			 entry->config_confirmed_us ? json_integer((json_int_t)(age_us / 1000))
						    : json_null());
}

void query_state(struct entry *entry, struct http_req *req)
{
	json_t *upstreams = json_array();
	json_t *members = json_array();
	json_t *generations = json_array();
	g_autofree gpointer *list = g_hash_table_get_keys_as_array(entry->generations, NULL);

	pool_foreach(entry->pool, state_add_upstream, upstreams);
	membership_each(entry->membership, state_add_member, members);
	for (uint32_t i = 0; list[i]; i++)
		json_array_append_new(generations, genreq_to_json(list[i], entry_now_us()));
	answer_json(req, 200,
		    json_pack("{s:s, s:s, s:s, s:b, s:b, s:b, s:o, s:I, s:I, s:I, s:o, s:o, s:o, "
			      "s:o}",
			      "instance", entry->settings->instance, "zone", entry->settings->zone,
			      "region", entry->settings->region, "ready", entry->ready, "stopping",
			      entry->stopping, "table_reachable",
			      table_http_reachable(entry->table), "config", state_config(entry),
			      "queued", (json_int_t)wfq_length(entry->queue), "open",
			      (json_int_t)http_server_open_requests(entry->caller_server),
			      "background", (json_int_t)entry->background_count, "members", members,
			      "upstreams", upstreams, "generations", generations, "settings",
			      settings_to_json(entry->settings)));
}

void query_metrics(struct entry *entry, struct http_req *req)
{
	GString *text = g_string_new(NULL);

	metric_write_prometheus(entry->metric, text);
	http_req_reply(req, 200, "text/plain; version=0.0.4", text->str, text->len);
	g_string_free(text, TRUE);
}
