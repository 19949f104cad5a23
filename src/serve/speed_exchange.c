#include "speed_exchange.h"

#include "flamingolatch/upstream_speed.h"

#include <math.h>
#include <stdio.h>

#define SPEED_EXCHANGE_TICK_MS 250
/* Share by which each open generation makes the step of an engine longer: 0.12 ms of 7 ms. */
#define SPEED_EXCHANGE_STEP_SHARE 0.017
/* Time expected of a call or an event, in an arbitrary unit. */
#define SPEED_EXCHANGE_UNIT_US 1000.0
/* Shorter expected times to the first event are dominated by the way to the engine. */
#define SPEED_EXCHANGE_FIRST_EVENT_MIN_MS 50
/* Requests that an upstream of a plain service works on at once when it does not say. */
#define SPEED_EXCHANGE_PLAIN_SLOTS 6
/* A factor is logged when it differs this many times from the one logged last, for one upstream at
 * most this often. */
#define SPEED_EXCHANGE_LOG_RATIO       1.5
#define SPEED_EXCHANGE_LOG_INTERVAL_US (30ULL * 1000 * 1000)

struct speed_exchange {
	struct env *env;
	struct peer_exchange *exchange;
	GHashTable *services; /* name to struct upstream_speed_service */
	uv_timer_t tick;
};

static void speed_exchange_on_tick(uv_timer_t *timer);

/* lifetime */

struct speed_exchange *speed_exchange_create(struct env *env, struct peer_exchange *exchange)
{
	struct speed_exchange *speeds = g_new0(struct speed_exchange, 1);

	speeds->env = env;
	speeds->exchange = exchange;
	speeds->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(env->loop, &speeds->tick);
	speeds->tick.data = speeds;
	uv_timer_start(&speeds->tick, speed_exchange_on_tick, SPEED_EXCHANGE_TICK_MS,
		       SPEED_EXCHANGE_TICK_MS);
	return speeds;
}

static void speed_exchange_on_closed(uv_handle_t *handle)
{
	struct speed_exchange *speeds = handle->data;

	g_hash_table_destroy(speeds->services);
	g_free(speeds);
}

void speed_exchange_destroy(struct speed_exchange *speeds)
{
	if (!speeds)
		return;
	uv_close((uv_handle_t *)&speeds->tick, speed_exchange_on_closed);
}

/* helpers */

static struct upstream_speed_service *speed_exchange_service(struct speed_exchange *speeds,
							     const char *name)
{
	struct upstream_speed_service *service = g_hash_table_lookup(speeds->services, name);

	if (!service) {
		service = g_new0(struct upstream_speed_service, 1);
		g_hash_table_insert(speeds->services, g_strdup(name), service);
	}
	return service;
}

static void speed_exchange_add(struct speed_exchange *speeds, struct fleet_upstream *up,
			       enum upstream_speed_kind kind, double observed_us,
			       double expected_us)
{
	if (speed_exchange_is_learned(speeds, up))
		upstream_speed_add(speed_exchange_service(speeds, fleet_upstream_service(up)),
				   fleet_upstream_speed(up), kind, observed_us, expected_us,
				   env_now_us());
}

/* Logs a factor that differs much from the one that was logged last. */
static void speed_exchange_log(struct fleet_upstream *up, uint64_t now_us)
{
	struct upstream_speed *speed = fleet_upstream_speed(up);
	double factor = upstream_speed_factor(speed);
	double logged = speed->logged_factor > 0.0 ? speed->logged_factor : 1.0;
	char factor_text[16];
	char confidence_text[16];

	if (fabs(log(factor / logged)) < log(SPEED_EXCHANGE_LOG_RATIO) ||
	    (speed->logged_us > 0 && now_us - speed->logged_us < SPEED_EXCHANGE_LOG_INTERVAL_US))
		return;
	speed->logged_factor = factor;
	speed->logged_us = now_us;
	snprintf(factor_text, sizeof(factor_text), "%.2f", factor);
	snprintf(confidence_text, sizeof(confidence_text), "%.2f", speed->confidence);
	log_event(LOG_UPSTREAM_SPEED, "upstream", fleet_upstream_id(up), "factor", factor_text,
		  "confidence", confidence_text, NULL);
}

/* Computes the factors of a service. */
static void speed_exchange_update(struct speed_exchange *speeds, const char *name,
				  struct upstream_speed_service *service, uint64_t now_us)
{
	const GPtrArray *ups = fleet_service_upstreams(speeds->env->fleet, name);
	g_autofree struct upstream_speed **all = g_new(struct upstream_speed *, MAX(ups->len, 1));
	uint32_t count = 0;

	for (guint i = 0; i < ups->len; i++) {
		if (fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED)
			all[count++] = fleet_upstream_speed(ups->pdata[i]);
	}
	for (uint32_t i = 0; i < count; i++) {
		upstream_speed_begin(all[i], now_us);
		upstream_speed_end_zone(all[i]);
	}
	upstream_speed_finish(service, all, count, speeds->env->settings->load.speed_spread,
			      now_us);
	for (guint i = 0; i < ups->len; i++) {
		if (fleet_upstream_state(ups->pdata[i]) <= FLEET_UPSTREAM_LAPSED)
			speed_exchange_log(ups->pdata[i], now_us);
	}
}

static void speed_exchange_forget(void *ctx, struct fleet_upstream *up)
{
	(void)ctx;
	*fleet_upstream_speed(up) = (struct upstream_speed){ 0 };
}

static void speed_exchange_on_tick(uv_timer_t *timer)
{
	struct speed_exchange *speeds = timer->data;
	uint64_t now_us = env_now_us();
	uint32_t uneven = 0;
	GHashTableIter iter;
	const char *name;
	struct upstream_speed_service *service;

	/* The settings may have been reloaded. */
	if (speeds->env->settings->load.speed_spread <= 0.0) {
		if (g_hash_table_size(speeds->services) > 0)
			fleet_foreach(speeds->env->fleet, speed_exchange_forget, NULL);
		g_hash_table_remove_all(speeds->services);
	}
	g_hash_table_iter_init(&iter, speeds->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, (gpointer *)&service)) {
		speed_exchange_update(speeds, name, service, now_us);
		uneven += service->in_effect;
	}
	metric_set(speeds->env->metric, METRIC_SERVICES_UNEVEN, uneven);
}

/* commands */

void speed_exchange_on_first_event(struct speed_exchange *speeds, struct fleet_upstream *up,
				   uint64_t observed_us, uint32_t expected_ms)
{
	if (expected_ms >= SPEED_EXCHANGE_FIRST_EVENT_MIN_MS)
		speed_exchange_add(speeds, up, UPSTREAM_SPEED_FIRST_EVENT, (double)observed_us,
				   expected_ms * 1000.0);
}

void speed_exchange_on_events(struct speed_exchange *speeds, struct fleet_upstream *up,
			      uint64_t observed_us, uint32_t count)
{
	uint32_t open = fleet_upstream_own_load(up)->open + fleet_upstream_peer_load(up).open;

	speed_exchange_add(speeds, up, UPSTREAM_SPEED_EVENT_GAP, (double)observed_us,
			   SPEED_EXCHANGE_UNIT_US * count *
				   (1.0 + SPEED_EXCHANGE_STEP_SHARE * open));
}

void speed_exchange_on_call(struct speed_exchange *speeds, struct fleet_upstream *up,
			    uint64_t observed_us, uint32_t open)
{
	uint32_t slots =
		fleet_upstream_slots(up) ? fleet_upstream_slots(up) : SPEED_EXCHANGE_PLAIN_SLOTS;

	/* Requests beyond the slots wait for those before them. */
	speed_exchange_add(speeds, up, UPSTREAM_SPEED_CALL, (double)observed_us,
			   SPEED_EXCHANGE_UNIT_US * MAX((double)open / slots, 1.0));
}

/* queries */

bool speed_exchange_is_learned(const struct speed_exchange *speeds, const struct fleet_upstream *up)
{
	/* The way to another region would count as slowness of its upstreams. */
	return speeds && speeds->env->settings->load.speed_spread > 0.0 &&
	       fleet_upstream_distance(up) != FLEET_OTHER_REGION;
}
