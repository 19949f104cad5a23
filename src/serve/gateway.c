#include "gateway.h"

#include "admission_exchange.h"
#include "cold_start.h"
#include "crash_guard.h"
#include "delegation.h"
#include "dispatch.h"
#include "dump.h"
#include "env.h"
#include "limit_exchange.h"
#include "speed_exchange.h"
#include "stream_version.h"
#include "store_watch.h"
#include "peer_exchange.h"
#include "relay.h"

#include "flamingolatch/reply.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GATEWAY_TICK_MS 20
/* Subtracted from bounds.revoke_ms, since clocks run at different rates. */
#define GATEWAY_REVOKE_MARGIN_MS 300
/* The instance reports not ready when its API keys will be stale this soon. */
#define GATEWAY_NOT_READY_MARGIN_MS 400
/* Added to the time for which callers keep idle connections, so that callers close them first. */
#define GATEWAY_IDLE_SLACK_MS	       1500
#define GATEWAY_CONTROL_BODY_MAX_BYTES 4096
/* Applies before the first configuration, and if the configuration sets no limit. */
#define GATEWAY_DEFAULT_BODY_MAX_BYTES (4U << 20)

struct gateway {
	struct env env;
	struct gateway_settings *settings;
	char *file; /* path of the settings */
	const struct gateway_adapter *adapter;
	struct dispatch *dispatch;
	struct relay *relay;
	struct store_watch *store_watch;
	struct peer_exchange *peer_exchange;
	struct delegation *delegation;
	struct http_server *callers; /* requests */
	struct http_server *ready;   /* readiness probes; NULL if not configured */
	struct http_server *metrics; /* metrics and state dump */
	uv_timer_t tick;
	uv_prepare_t prepare; /* once per iteration of the loop */
	uv_signal_t terminate;
	uv_signal_t interrupt;
	uv_signal_t reload;
	bool was_idle;	      /* at the last tick of a stop: no request was open */
	bool was_ready;	      /* at the last readiness probe */
	bool keys_were_fresh; /* at the last tick */
	uint64_t last_tick_us;
	uint64_t previous_tick_us;     /* of the tick before the last */
	uint64_t suppressed_logged_ms; /* when the count of suppressed log lines was last logged */
};

static void gateway_on_tick(uv_timer_t *timer);
static void gateway_on_prepare(uv_prepare_t *prepare);
static void gateway_on_stop(uv_signal_t *signal, int number);
static void gateway_on_reload(uv_signal_t *signal, int number);
static void gateway_on_config(void *ctx, struct route_config *config);
static void gateway_on_restored(void *ctx);
static void gateway_on_upstream(void *ctx, struct fleet_upstream *up,
				enum fleet_upstream_state was);
static void gateway_on_ready_request(void *ctx, struct http_req *req);
static void gateway_on_metrics_request(void *ctx, struct http_req *req);
static void gateway_on_quarantined(void *ctx);
static const char *gateway_region_of(void *ctx, const char *zone);
static bool gateway_open_ports(struct gateway *gateway, GError **error);

/* lifetime */

static void gateway_free_retry_budget(gpointer data)
{
	retry_budget_destroy(data);
}

static void gateway_init_env(struct gateway *gateway)
{
	struct env *env = &gateway->env;

	env->loop = uv_default_loop();
	env->settings = gateway->settings;
	env->metric = metric_create();
	env->http_client = http_client_create(env->loop);
	env->rand = g_rand_new();
	env->retry_budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, gateway_free_retry_budget);
	env->fleet = fleet_create(gateway->settings->zone, gateway_region_of, gateway_on_upstream,
				  gateway);
	env->store_client =
		gateway->adapter->store_client_create(env->http_client, gateway->settings->store);
	env->protocol = gateway->adapter->protocol;
	env->live_instances = 1;
	freshness_init(&env->freshness, 0);
}

static void gateway_apply_bounds(struct gateway *gateway)
{
	double revoke_ms = gateway->settings->bounds.revoke_ms;

	gateway->env.settings = gateway->settings;
	gateway->env.freshness.max_age_us =
		revoke_ms > GATEWAY_REVOKE_MARGIN_MS
			? (uint64_t)((revoke_ms - GATEWAY_REVOKE_MARGIN_MS) * 1000)
			: 0;
	env_apply_retry_limits(&gateway->env);
}

static void gateway_init_handles(struct gateway *gateway)
{
	uv_loop_t *loop = gateway->env.loop;

	uv_timer_init(loop, &gateway->tick);
	uv_prepare_init(loop, &gateway->prepare);
	uv_signal_init(loop, &gateway->terminate);
	uv_signal_init(loop, &gateway->interrupt);
	uv_signal_init(loop, &gateway->reload);
	gateway->tick.data = gateway;
	gateway->prepare.data = gateway;
	gateway->terminate.data = gateway;
	gateway->interrupt.data = gateway;
	gateway->reload.data = gateway;
	gateway->last_tick_us = env_now_us();
	gateway->previous_tick_us = gateway->last_tick_us;
	uv_timer_start(&gateway->tick, gateway_on_tick, GATEWAY_TICK_MS, GATEWAY_TICK_MS);
	uv_prepare_start(&gateway->prepare, gateway_on_prepare);
	uv_signal_start(&gateway->terminate, gateway_on_stop, SIGTERM);
	uv_signal_start(&gateway->interrupt, gateway_on_stop, SIGINT);
	uv_signal_start(&gateway->reload, gateway_on_reload, SIGHUP);
}

struct gateway *gateway_create(const char *file, struct gateway_settings *settings,
			       const struct gateway_adapter *adapter, GError **error)
{
	struct gateway *gateway = g_new0(struct gateway, 1);

	gateway->file = g_strdup(file);
	gateway->settings = settings;
	gateway->adapter = adapter;
	gateway_init_env(gateway);
	gateway_apply_bounds(gateway);
	gateway->dispatch = dispatch_create(&gateway->env);
	gateway->relay = relay_create(&gateway->env, gateway->dispatch);
	gateway_init_handles(gateway);
	if (!gateway_open_ports(gateway, error)) {
		gateway_destroy(gateway);
		return NULL;
	}
	gateway->peer_exchange = peer_exchange_create(&gateway->env, error);
	if (!gateway->peer_exchange) {
		gateway_destroy(gateway);
		return NULL;
	}
	relay_set_peers(gateway->relay, gateway->peer_exchange);
	gateway->env.crash_guard = crash_guard_create(&gateway->env, gateway->peer_exchange);
	crash_guard_set_quarantined_cb(gateway->env.crash_guard, gateway_on_quarantined, gateway);
	gateway->env.limit_exchange = limit_exchange_create(&gateway->env, gateway->peer_exchange);
	gateway->env.cold_start = cold_start_create(&gateway->env, gateway->peer_exchange);
	gateway->env.admission_exchange =
		admission_exchange_create(&gateway->env, gateway->peer_exchange);
	gateway->env.speed_exchange = speed_exchange_create(&gateway->env, gateway->peer_exchange);
	gateway->env.stream_version = stream_version_create(&gateway->env, gateway->peer_exchange);
	gateway->store_watch = store_watch_create(
		&gateway->env, &(struct store_watch_callbacks){ .config = gateway_on_config,
								.config_ctx = gateway,
								.restored = gateway_on_restored,
								.restored_ctx = gateway });
	gateway->delegation =
		delegation_create(&gateway->env, gateway->store_watch, gateway->peer_exchange);
	return gateway;
}

static void gateway_close_handle(uv_handle_t *handle)
{
	uv_close(handle, NULL);
}

void gateway_destroy(struct gateway *gateway)
{
	if (!gateway)
		return;
	delegation_destroy(gateway->delegation);
	store_watch_destroy(gateway->store_watch);
	cold_start_destroy(gateway->env.cold_start);
	admission_exchange_destroy(gateway->env.admission_exchange);
	gateway->env.admission_exchange = NULL;
	speed_exchange_destroy(gateway->env.speed_exchange);
	limit_exchange_destroy(gateway->env.limit_exchange);
	crash_guard_destroy(gateway->env.crash_guard);
	relay_set_peers(gateway->relay, NULL);
	/* Requests may wait for an answer about their streams. */
	relay_destroy(gateway->relay);
	stream_version_destroy(gateway->env.stream_version);
	peer_exchange_destroy(gateway->peer_exchange);
	http_server_destroy(gateway->callers);
	http_server_destroy(gateway->ready);
	http_server_destroy(gateway->metrics);
	gateway_close_handle((uv_handle_t *)&gateway->tick);
	gateway_close_handle((uv_handle_t *)&gateway->prepare);
	gateway_close_handle((uv_handle_t *)&gateway->terminate);
	gateway_close_handle((uv_handle_t *)&gateway->interrupt);
	gateway_close_handle((uv_handle_t *)&gateway->reload);
	dispatch_destroy(gateway->dispatch);
	fleet_destroy(gateway->env.fleet);
	http_client_destroy(gateway->env.http_client);
	/* The close callbacks run in the next iterations. */
	uv_run(gateway->env.loop, UV_RUN_NOWAIT);
	uv_run(gateway->env.loop, UV_RUN_NOWAIT);
	gateway->adapter->store_client_destroy(gateway->env.store_client);
	g_hash_table_destroy(gateway->env.retry_budgets);
	route_config_unref(gateway->env.config);
	metric_destroy(gateway->env.metric);
	g_rand_free(gateway->env.rand);
	gateway_settings_destroy(gateway->settings);
	g_free(gateway->file);
	g_free(gateway);
}

/* commands */

void gateway_run(struct gateway *gateway)
{
	uv_run(gateway->env.loop, UV_RUN_DEFAULT);
}

/* Logs a region of the configuration that has no zone: nothing is allowed there. */
static void gateway_check_region(void *ctx, const char *owner, const char *region)
{
	const struct gateway *gateway = ctx;
	const struct gateway_settings *settings = gateway->env.settings;

	for (uint32_t i = 0; i < settings->zone_count; i++) {
		if (strcmp(settings->zones[i].region, region) == 0)
			return;
	}
	log_event(LOG_REGION_UNKNOWN, "owner", owner, "region", region, NULL);
}

/* Applies a new configuration from the store. */
static void gateway_on_config(void *ctx, struct route_config *config)
{
	struct gateway *gateway = ctx;
	const struct route_limits *limits = route_config_limits(config);
	struct http_server_limits server = {
		.max_header_bytes = limits->max_header_bytes,
		.header_timeout_ms = limits->header_timeout_ms,
		.idle_timeout_ms = limits->idle_timeout_ms
					   ? limits->idle_timeout_ms + GATEWAY_IDLE_SLACK_MS
					   : 0,
	};
	g_autoptr(GPtrArray) services = route_config_dup_service_names(config);
	char version[24];
	char routes[16];

	route_config_unref(gateway->env.config);
	gateway->env.config = route_config_ref(config);
	fleet_set_services(gateway->env.fleet, services, env_now_us());
	cold_start_on_config(gateway->env.cold_start);
	stream_version_on_config(gateway->env.stream_version);
	http_server_set_limits(gateway->callers, &server,
			       limits->max_body_bytes ? limits->max_body_bytes
						      : GATEWAY_DEFAULT_BODY_MAX_BYTES);
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, route_config_version(config));
	snprintf(routes, sizeof(routes), "%u", route_config_route_count(config));
	log_event(LOG_CONFIG_APPLIED, "revision", version, "routes", routes, "source", "store",
		  NULL);
	metric_set(gateway->env.metric, METRIC_CONFIG_REVISION,
		   (int64_t)route_config_version(config));
	route_config_foreach_region(config, gateway_check_region, gateway);
}

static void gateway_on_restored(void *ctx)
{
	struct gateway *gateway = ctx;

	peer_exchange_check_rows(gateway->peer_exchange);
	stream_version_on_restored(gateway->env.stream_version);
}

static void gateway_on_upstream(void *ctx, struct fleet_upstream *up, enum fleet_upstream_state was)
{
	struct gateway *gateway = ctx;

	cold_start_on_upstream(gateway->env.cold_start, up);
	stream_version_on_upstream(gateway->env.stream_version, up);
	log_event(LOG_UPSTREAM_STATE, "upstream", fleet_upstream_id(up), "service",
		  fleet_upstream_service(up), "address", fleet_upstream_address(up), "zone",
		  fleet_upstream_zone(up), "version", fleet_upstream_software_version(up), "state",
		  fleet_upstream_state_name(fleet_upstream_state(up)), "was",
		  fleet_upstream_state_name(was), NULL);
	if (fleet_upstream_state(up) >= FLEET_UPSTREAM_DISPLACED)
		http_client_close_idle(gateway->env.http_client, fleet_upstream_address(up),
				       fleet_upstream_scope(up));
}

static void gateway_on_quarantined(void *ctx)
{
	struct gateway *gateway = ctx;

	relay_refuse_quarantined(gateway->relay);
}

static void gateway_on_stop(uv_signal_t *signal, int number)
{
	struct gateway *gateway = signal->data;
	char open[16];

	(void)number;
	if (planned_stop_has_begun(&gateway->env.stop))
		return;
	/* A process that gets no processor time handles the signal long after it came. The loop
	 * may run one tick in between, so it came after the tick before the last. */
	planned_stop_begin(&gateway->env.stop,
			   (uint64_t)(gateway->settings->bounds.grace_s * 1000000),
			   gateway->previous_tick_us);
	snprintf(open, sizeof(open), "%u", relay_open_count(gateway->relay));
	log_event(LOG_STOPPING, "open", open, NULL);
	http_server_disable_keep_alive(gateway->callers);
	http_server_close_idle(gateway->callers);
	peer_exchange_leave(gateway->peer_exchange);
}

static void gateway_on_reload(uv_signal_t *signal, int number)
{
	struct gateway *gateway = signal->data;
	g_autoptr(GError) error = NULL;
	struct gateway_settings *settings = gateway_settings_load(gateway->file, &error);
	struct gateway_settings *old = gateway->settings;

	(void)number;
	if (!settings) {
		log_event(LOG_SETTINGS_REJECTED, "reason", error->message, NULL);
		return;
	}
	/* Changed addresses take effect at the next start of the process. */
	gateway->settings = settings;
	gateway_apply_bounds(gateway);
	cold_start_on_config(gateway->env.cold_start);
	gateway_settings_destroy(old);
	log_event(LOG_SETTINGS_RELOADED, "file", gateway->file, NULL);
}

/* Closes the callers' port if nothing was read or is being answered at two ticks in a row. In
 * between the loop has read what had arrived: requests that are read in the iteration in which the
 * loop stops would be lost.
 * @return true when no request can arrive any more */
static bool gateway_close_callers(struct gateway *gateway, bool idle)
{
	bool was_idle = gateway->was_idle;

	gateway->was_idle = idle;
	if (!idle || !was_idle)
		return false;
	http_server_drain(gateway->callers);
	http_server_close_unused(gateway->callers);
	return true;
}

static void gateway_log_stopped(struct gateway *gateway, uint64_t now_us)
{
	g_autofree char *open = g_strdup_printf("%u", relay_open_count(gateway->relay));
	g_autofree char *unsent = g_strdup_printf("%u", http_server_unsent_count(gateway->callers));
	g_autofree char *unread = g_strdup_printf("%u", http_server_unread_count(gateway->callers));
	g_autofree char *spent =
		g_strdup_printf("%" G_GUINT64_FORMAT, (now_us - gateway->env.stop.begun_us) / 1000);

	relay_log_unfinished(gateway->relay);
	log_report_suppressed();
	log_event(LOG_STOPPED, "open", open, "unsent_connections", unsent, "unread_connections",
		  unread, "spent_ms", spent, NULL);
}

/* Stops the event loop once all requests are answered and the balancer has seen the failing
 * readiness probes, or when the grace period is nearly over. */
static void gateway_check_stop(struct gateway *gateway)
{
	uint64_t now_us = env_now_us();

	if (!planned_stop_may_exit(&gateway->env.stop, now_us))
		return;
	if (planned_stop_must_answer(&gateway->env.stop, now_us))
		relay_answer_open(gateway->relay);
	if (!gateway_close_callers(gateway,
				   relay_open_count(gateway->relay) == 0 &&
					   http_server_busy_count(gateway->callers) == 0) &&
	    !planned_stop_must_exit(&gateway->env.stop, now_us))
		return;
	gateway_log_stopped(gateway, now_us);
	uv_stop(gateway->env.loop);
}

/* Updates the metric of the configuration's age, and logs when API keys become stale or fresh. */
static void gateway_check_keys(struct gateway *gateway)
{
	bool fresh = env_keys_fresh(&gateway->env);
	uint64_t age_us = freshness_age_us(&gateway->env.freshness, env_boot_us());
	char age[24];

	metric_set(gateway->env.metric, METRIC_CONFIG_CONFIRMED_AGE_MS,
		   age_us == UINT64_MAX ? -1 : (int64_t)(age_us / 1000));
	if (fresh == gateway->keys_were_fresh)
		return;
	gateway->keys_were_fresh = fresh;
	snprintf(age, sizeof(age), "%" G_GUINT64_FORMAT, age_us / 1000);
	log_event(fresh ? LOG_API_KEYS_CONFIRMED : LOG_API_KEYS_STALE, "age_ms", age, NULL);
}

/* Asks for the evacuated zones again after a pause of the process. */
static void gateway_check_pause(struct gateway *gateway)
{
	if (env_note_running(&gateway->env) && gateway->store_watch)
		store_watch_recheck_zones(gateway->store_watch);
}

static void gateway_on_prepare(uv_prepare_t *prepare)
{
	struct gateway *gateway = prepare->data;

	gateway_check_pause(gateway);
	relay_grant_queued(gateway->relay);
	if (gateway->peer_exchange)
		peer_exchange_report_placement(gateway->peer_exchange);
}

static void gateway_on_tick(uv_timer_t *timer)
{
	struct gateway *gateway = timer->data;
	uint64_t now_ms = uv_now(gateway->env.loop);

	gateway_check_pause(gateway);
	stream_version_tick(gateway->env.stream_version);
	relay_tick(gateway->relay);
	gateway_check_keys(gateway);
	metric_set(gateway->env.metric, METRIC_OPEN_REQUESTS, relay_open_count(gateway->relay));
	if (now_ms - gateway->suppressed_logged_ms > 1000) {
		gateway->suppressed_logged_ms = now_ms;
		log_report_suppressed();
	}
	gateway_check_stop(gateway);
	gateway->previous_tick_us = gateway->last_tick_us;
	gateway->last_tick_us = env_now_us();
}

/* queries */

static bool gateway_is_ready(struct gateway *gateway)
{
	uint64_t age_us = freshness_age_us(&gateway->env.freshness, env_boot_us());
	bool ready =
		gateway->env.config && store_watch_is_synced(gateway->store_watch) &&
		!env_doubts_zones(&gateway->env) && !planned_stop_has_begun(&gateway->env.stop) &&
		age_us < gateway->env.freshness.max_age_us &&
		age_us + GATEWAY_NOT_READY_MARGIN_MS * 1000 < gateway->env.freshness.max_age_us;

	if (ready && !gateway->was_ready)
		log_event(LOG_READY, NULL);
	gateway->was_ready = ready;
	return ready;
}

static void gateway_on_ready_request(void *ctx, struct http_req *req)
{
	bool ready = gateway_is_ready(ctx);

	http_req_reply(req, ready ? 200 : 503, "text/plain", ready ? "ok\n" : "not ready\n",
		       ready ? 3 : 10);
}

static void gateway_on_metrics_request(void *ctx, struct http_req *req)
{
	struct gateway *gateway = ctx;
	g_autoptr(GString) text = NULL;

	if (strcmp(http_req_path(req), "/state") == 0) {
		reply_json(req, 200,
			   dump_state(&gateway->env, gateway->store_watch, gateway->relay));
		return;
	}
	text = g_string_new(NULL);
	metric_write_prometheus(gateway->env.metric, text);
	http_req_reply(req, 200, "text/plain; version=0.0.4", text->str, text->len);
}

static const char *gateway_region_of(void *ctx, const char *zone)
{
	const struct gateway *gateway = ctx;

	return gateway_settings_region_of(gateway->settings, zone);
}

/* helpers */

static struct http_server *gateway_listen(struct gateway *gateway, const char *port_name,
					  const char *address, uint32_t max_body_bytes,
					  http_server_handler handler, void *ctx, GError **error)
{
	g_autofree char *host = NULL;
	uint16_t port = 0;
	struct http_server_conf conf = { .max_body_bytes = max_body_bytes };
	struct http_server *srv;

	gateway_settings_split_address(address, &host, &port);
	conf.address = host;
	conf.port = port;
	srv = http_server_create(gateway->env.loop, &conf, handler, ctx, error);
	if (srv)
		log_event(LOG_LISTENING, "port", port_name, "address", address, NULL);
	return srv;
}

static bool gateway_open_ports(struct gateway *gateway, GError **error)
{
	const struct gateway_settings *settings = gateway->settings;

	gateway->callers =
		gateway_listen(gateway, "callers", settings->callers,
			       GATEWAY_DEFAULT_BODY_MAX_BYTES, relay_handle, gateway->relay, error);
	if (!gateway->callers)
		return false;
	if (settings->ready) {
		gateway->ready = gateway_listen(gateway, "ready", settings->ready,
						GATEWAY_CONTROL_BODY_MAX_BYTES,
						gateway_on_ready_request, gateway, error);
		if (!gateway->ready)
			return false;
	}
	gateway->metrics = gateway_listen(gateway, "metrics", settings->metrics,
					  GATEWAY_CONTROL_BODY_MAX_BYTES,
					  gateway_on_metrics_request, gateway, error);
	return gateway->metrics != NULL;
}
