#include "cold_start.h"

#include <stdio.h>
#include <string.h>

/* Callers that were refused come back over this time, in which the limit grows by 16. */
#define COLD_START_RETURN_SPREAD_MS 1000
/* A fifth of the time in which the limit of a warm upstream doubles. */
#define COLD_START_TICK_MS 50

struct cold_start {
	struct env *env;
	struct peer_exchange *exchange;
	GArray *members;  /* struct warm_up_member, while parts are computed; this one first */
	const char *zone; /* of the upstream, meanwhile */
	uint32_t limited; /* upstreams with a limit at the last tick */
	bool has_terms;	  /* a service states some */
	uv_timer_t tick;  /* runs while a service states terms */
};

static void cold_start_on_tick(uv_timer_t *timer);

/* lifetime */

struct cold_start *cold_start_create(struct env *env, struct peer_exchange *exchange)
{
	struct cold_start *cold = g_new0(struct cold_start, 1);

	cold->env = env;
	cold->exchange = exchange;
	cold->members = g_array_new(FALSE, FALSE, sizeof(struct warm_up_member));
	uv_timer_init(env->loop, &cold->tick);
	cold->tick.data = cold;
	return cold;
}

static void cold_start_on_closed(uv_handle_t *handle)
{
	struct cold_start *cold = handle->data;

	g_array_free(cold->members, TRUE);
	g_free(cold);
}

void cold_start_destroy(struct cold_start *cold)
{
	if (cold)
		uv_close((uv_handle_t *)&cold->tick, cold_start_on_closed);
}

/* helpers */

/* Returns the terms of an upstream's service; all zeros when there are none. */
static struct warm_up_terms cold_start_terms(const struct env *env, const struct fleet_upstream *up)
{
	const struct gateway_bounds_settings *bounds = &env->settings->bounds;
	const struct route_service *service =
		env->config ? route_config_find_service(env->config, fleet_upstream_service(up))
			    : NULL;

	if (!service || service->cold_per_s <= 0.0 || bounds->cold_overage <= 0.0)
		return (struct warm_up_terms){ 0 };
	return (struct warm_up_terms){ .cold_per_s = service->cold_per_s,
				       .overage = bounds->cold_overage,
				       .slack = bounds->cold_start_slack,
				       .cold_start_ms = service->cold_start_ms };
}

static void cold_start_add_member(void *ctx, const char *address, const char *instance,
				  const char *zone, bool listed)
{
	struct cold_start *cold = ctx;
	struct warm_up_member member = { address, strcmp(zone, cold->zone) == 0 };

	(void)instance;
	(void)listed;
	g_array_append_val(cold->members, member);
}

/* Sets the part of an upstream's limit that this instance has. */
static void cold_start_set_part(struct cold_start *cold, struct fleet_upstream *up, uint64_t now_us)
{
	struct warm_up *limit = fleet_upstream_cold_limit(up);
	struct warm_up_view view = { .upstream_key = fleet_upstream_key(up),
				     .known_us = peer_exchange_known_since_us(cold->exchange) };

	cold->zone = fleet_upstream_zone(up);
	g_array_set_size(cold->members, 0);
	peer_exchange_each_peer(cold->exchange, cold_start_add_member, cold);
	view.members = (const struct warm_up_member *)cold->members->data;
	view.count = cold->members->len;
	warm_up_set_part(limit, warm_up_senders(limit, &view, now_us), now_us);
}

static void cold_start_log(const struct fleet_upstream *up, const struct warm_up *limit,
			   uint64_t now_us)
{
	char left[16];
	char rate[24];

	snprintf(left, sizeof(left), "%u", warm_up_cold_ms(limit, now_us));
	snprintf(rate, sizeof(rate), "%.2f", warm_up_rate_per_s(limit, now_us));
	log_event(LOG_UPSTREAM_COLD, "upstream", fleet_upstream_id(up), "zone",
		  fleet_upstream_zone(up), "phase", warm_up_phase_name(limit->noted), "left_ms",
		  left, "own_per_s", limit->noted == WARM_UP_WARM ? "-" : rate, NULL);
}

static void cold_start_update(void *ctx, struct fleet_upstream *up)
{
	struct cold_start *cold = ctx;
	struct warm_up *limit = fleet_upstream_cold_limit(up);
	uint64_t now_us = env_now_us();

	if (warm_up_phase(limit, now_us) != WARM_UP_WARM) {
		cold_start_set_part(cold, up, now_us);
		cold->limited += fleet_upstream_state(up) <= FLEET_UPSTREAM_LAPSED;
	}
	if (warm_up_note(limit, now_us))
		cold_start_log(up, limit, now_us);
}

static void cold_start_on_tick(uv_timer_t *timer)
{
	struct cold_start *cold = timer->data;

	cold->limited = 0;
	fleet_foreach(cold->env->fleet, cold_start_update, cold);
	metric_set(cold->env->metric, METRIC_COLD_UPSTREAMS, cold->limited);
}

static void cold_start_apply_terms(void *ctx, struct fleet_upstream *up)
{
	struct cold_start *cold = ctx;
	struct warm_up_terms terms = cold_start_terms(cold->env, up);

	warm_up_set_terms(fleet_upstream_cold_limit(up), &terms);
	cold->has_terms |= terms.cold_per_s > 0.0;
}

/* Has the tick run while there are terms, and a last time when they end. */
static void cold_start_run(struct cold_start *cold)
{
	if (cold->has_terms == uv_is_active((uv_handle_t *)&cold->tick))
		return;
	if (cold->has_terms) {
		uv_timer_start(&cold->tick, cold_start_on_tick, 0, COLD_START_TICK_MS);
		return;
	}
	uv_timer_stop(&cold->tick);
	cold_start_on_tick(&cold->tick);
}

/* commands */

void cold_start_on_config(struct cold_start *cold)
{
	cold->has_terms = false;
	fleet_foreach(cold->env->fleet, cold_start_apply_terms, cold);
	cold_start_run(cold);
}

void cold_start_on_upstream(struct cold_start *cold, struct fleet_upstream *up)
{
	cold_start_apply_terms(cold, up);
	if (!cold->has_terms)
		return;
	cold_start_run(cold);
	cold_start_update(cold, up);
}

void cold_start_on_request(struct cold_start *cold, struct fleet_upstream *up)
{
	struct warm_up *limit = fleet_upstream_cold_limit(up);
	uint64_t now_us = env_now_us();

	if (warm_up_phase(limit, now_us) == WARM_UP_WARM)
		return;
	warm_up_take(limit, now_us);
	metric_add(cold->env->metric, METRIC_COLD_REQUESTS, 1);
}

void cold_start_on_answer(struct cold_start *cold, struct fleet_upstream *up, uint32_t cold_ms)
{
	if (cold_ms == 0)
		return;
	warm_up_hear_answer(fleet_upstream_cold_limit(up), cold_ms, env_now_us());
	if (cold->has_terms)
		cold_start_update(cold, up);
}

/* queries */

uint32_t cold_start_return_ms(const struct cold_start *cold, const char *service)
{
	const GPtrArray *ups = fleet_service_upstreams(cold->env->fleet, service);
	uint64_t now_us = env_now_us();
	uint32_t first_ms = G_MAXUINT32;

	for (guint i = 0; i < ups->len; i++) {
		const struct warm_up *limit = fleet_upstream_cold_limit(ups->pdata[i]);

		if (fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED &&
		    warm_up_phase(limit, now_us) != WARM_UP_WARM)
			first_ms = MIN(first_ms, warm_up_cold_ms(limit, now_us));
	}
	if (first_ms == G_MAXUINT32)
		return first_ms;
	return first_ms +
	       (uint32_t)g_rand_int_range(cold->env->rand, 1, COLD_START_RETURN_SPREAD_MS);
}
