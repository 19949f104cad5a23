#include "gateway.h"

#include "delegate.h"
#include "dispatch.h"
#include "dump.h"
#include "env.h"
#include "follow.h"
#include "peers.h"
#include "relay.h"

#include "flamingolatch/reply.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GW_TICK_MS	    20
#define GW_REVOKE_MARGIN_MS 300	 /* of the bound on revoked keys, for the clocks' rates */
#define GW_FRESH_WARN_MS    400	 /* not ready when the bound is this near */
#define GW_READY_LAG_MS	    2600 /* two questions of the balancer, and its delay */
#define GW_EXIT_MARGIN_MS   350	 /* before the end of the grace */
#define GW_IDLE_SLACK_MS    1500 /* beyond the time that callers keep connections */
#define GW_CONTROL_BODY_MAX 4096
#define GW_BODY_MAX	    (4U << 20) /* before a configuration says otherwise */

struct gw {
	struct env env;
	struct gateway_settings *set;
	char *file;
	const struct gw_adapter *adapter;
	struct dsp *dsp;
	struct rly *rly;
	struct fol *fol;
	struct prs *prs;
	struct dlg *dlg;
	struct hsrv *callers;
	struct hsrv *ready;
	struct hsrv *metrics;
	uv_timer_t tick;
	uv_prepare_t round;
	uv_signal_t terminate;
	uv_signal_t interrupt;
	uv_signal_t reload;
	bool was_ready;
	bool was_fresh;
	uint64_t told_ms; /* when suppressed lines were last counted */
};

static void gw_on_tick(uv_timer_t *timer);
static void gw_on_round(uv_prepare_t *prepare);
static void gw_on_stop(uv_signal_t *signal, int number);
static void gw_on_reload(uv_signal_t *signal, int number);
static void gw_on_config(void *ctx, struct rt_config *config);
static void gw_on_upstream(void *ctx, struct fups *up, enum fups_state was);
static void gw_on_ready_request(void *ctx, struct hreq *req);
static void gw_on_metrics_request(void *ctx, struct hreq *req);
static const char *gw_region(void *ctx, const char *zone);
static bool gw_open(struct gw *gw, GError **error);

/* lifetime */

static void gw_budget_free(gpointer data)
{
	rep_destroy(data);
}

static void gw_init_env(struct gw *gw)
{
	struct env *env = &gw->env;

	env->loop = uv_default_loop();
	env->set = gw->set;
	env->metric = metric_create();
	env->cli = hcli_create(env->loop);
	env->rand = g_rand_new();
	env->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, gw_budget_free);
	env->fleet = fleet_create(gw->set->zone, gw_region, gw_on_upstream, gw);
	env->source = gw->adapter->source_create(env->cli, gw->set->store);
	env->surface = gw->adapter->surface;
	env->instances = 1;
	fresh_init(&env->fresh, 0);
}

static void gw_apply_bounds(struct gw *gw)
{
	double revoke_ms = gw->set->bounds.revoke_ms;

	gw->env.set = gw->set;
	gw->env.fresh.bound_us = revoke_ms > GW_REVOKE_MARGIN_MS
					 ? (uint64_t)((revoke_ms - GW_REVOKE_MARGIN_MS) * 1000)
					 : 0;
	env_apply_rules(&gw->env);
}

static void gw_init_handles(struct gw *gw)
{
	uv_loop_t *loop = gw->env.loop;

	uv_timer_init(loop, &gw->tick);
	uv_prepare_init(loop, &gw->round);
	uv_signal_init(loop, &gw->terminate);
	uv_signal_init(loop, &gw->interrupt);
	uv_signal_init(loop, &gw->reload);
	gw->tick.data = gw;
	gw->round.data = gw;
	gw->terminate.data = gw;
	gw->interrupt.data = gw;
	gw->reload.data = gw;
	uv_timer_start(&gw->tick, gw_on_tick, GW_TICK_MS, GW_TICK_MS);
	uv_prepare_start(&gw->round, gw_on_round);
	uv_signal_start(&gw->terminate, gw_on_stop, SIGTERM);
	uv_signal_start(&gw->interrupt, gw_on_stop, SIGINT);
	uv_signal_start(&gw->reload, gw_on_reload, SIGHUP);
}

struct gw *gw_create(const char *file, struct gateway_settings *set,
		     const struct gw_adapter *adapter, GError **error)
{
	struct gw *gw = g_new0(struct gw, 1);

	gw->file = g_strdup(file);
	gw->set = set;
	gw->adapter = adapter;
	gw_init_env(gw);
	gw_apply_bounds(gw);
	gw->dsp = dsp_create(&gw->env);
	gw->rly = rly_create(&gw->env, gw->dsp);
	gw_init_handles(gw);
	if (!gw_open(gw, error)) {
		gw_destroy(gw);
		return NULL;
	}
	gw->prs = prs_create(&gw->env, error);
	if (!gw->prs) {
		gw_destroy(gw);
		return NULL;
	}
	gw->fol = fol_create(&gw->env, gw_on_config, gw);
	gw->dlg = dlg_create(&gw->env, gw->fol, gw->prs);
	return gw;
}

static void gw_close_handle(uv_handle_t *handle)
{
	uv_close(handle, NULL);
}

void gw_destroy(struct gw *gw)
{
	if (!gw)
		return;
	dlg_destroy(gw->dlg);
	fol_destroy(gw->fol);
	prs_destroy(gw->prs);
	rly_destroy(gw->rly);
	hsrv_destroy(gw->callers);
	hsrv_destroy(gw->ready);
	hsrv_destroy(gw->metrics);
	gw_close_handle((uv_handle_t *)&gw->tick);
	gw_close_handle((uv_handle_t *)&gw->round);
	gw_close_handle((uv_handle_t *)&gw->terminate);
	gw_close_handle((uv_handle_t *)&gw->interrupt);
	gw_close_handle((uv_handle_t *)&gw->reload);
	dsp_destroy(gw->dsp);
	fleet_destroy(gw->env.fleet);
	hcli_destroy(gw->env.cli);
	/* Lets close callbacks run. */
	uv_run(gw->env.loop, UV_RUN_NOWAIT);
	uv_run(gw->env.loop, UV_RUN_NOWAIT);
	gw->adapter->source_destroy(gw->env.source);
	g_hash_table_destroy(gw->env.budgets);
	rt_config_unref(gw->env.config);
	metric_destroy(gw->env.metric);
	g_rand_free(gw->env.rand);
	gateway_settings_destroy(gw->set);
	g_free(gw->file);
	g_free(gw);
}

/* commands */

void gw_run(struct gw *gw)
{
	uv_run(gw->env.loop, UV_RUN_DEFAULT);
}

/* Puts a configuration in force. */
static void gw_on_config(void *ctx, struct rt_config *config)
{
	struct gw *gw = ctx;
	const struct rt_limits *limits = rt_config_limits(config);
	struct hsrv_limits server = {
		.max_header_bytes = limits->max_header_bytes,
		.header_timeout_ms = limits->header_timeout_ms,
		.idle_timeout_ms =
			limits->idle_timeout_ms ? limits->idle_timeout_ms + GW_IDLE_SLACK_MS : 0,
	};
	char version[24];
	char routes[16];

	rt_config_unref(gw->env.config);
	gw->env.config = rt_config_ref(config);
	hsrv_set_limits(gw->callers, &server,
			limits->max_body_bytes ? limits->max_body_bytes : GW_BODY_MAX);
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, rt_config_version(config));
	snprintf(routes, sizeof(routes), "%u", rt_config_route_count(config));
	log_event(LOG_CONFIG_APPLIED, "revision", version, "routes", routes, "source", "store",
		  NULL);
	metric_set(gw->env.metric, METRIC_CONFIG_REVISION, (int64_t)rt_config_version(config));
}

static void gw_on_upstream(void *ctx, struct fups *up, enum fups_state was)
{
	struct gw *gw = ctx;

	log_event(LOG_UPSTREAM_STATE, "upstream", fups_id(up), "service", fups_service(up),
		  "address", fups_address(up), "zone", fups_zone(up), "state",
		  fups_state_name(fups_state(up)), "was", fups_state_name(was), NULL);
	if (fups_state(up) == FUPS_GONE)
		hcli_forget(gw->env.cli, fups_address(up), fups_scope(up));
}

/* Returns how long the process may go on after the signal to stop. */
static uint64_t gw_grace_ms(const struct gw *gw)
{
	uint64_t grace_ms = (uint64_t)(gw->set->bounds.grace_s * 1000);

	return grace_ms > GW_EXIT_MARGIN_MS ? grace_ms - GW_EXIT_MARGIN_MS : 0;
}

static void gw_on_stop(uv_signal_t *signal, int number)
{
	struct gw *gw = signal->data;
	char open[16];

	(void)number;
	if (gw->env.stopping)
		return;
	gw->env.stopping = true;
	gw->env.stop_us = env_now_us();
	gw->env.exit_us = gw->env.stop_us + gw_grace_ms(gw) * 1000;
	snprintf(open, sizeof(open), "%u", rly_open(gw->rly));
	log_event(LOG_STOPPING, "open", open, NULL);
	hsrv_set_closing(gw->callers);
	hsrv_close_idle(gw->callers);
	prs_leave(gw->prs);
}

static void gw_on_reload(uv_signal_t *signal, int number)
{
	struct gw *gw = signal->data;
	g_autoptr(GError) error = NULL;
	struct gateway_settings *set = gateway_settings_load(gw->file, &error);
	struct gateway_settings *old = gw->set;

	(void)number;
	if (!set) {
		log_event(LOG_SETTINGS_REJECTED, "reason", error->message, NULL);
		return;
	}
	/* Addresses stay as they are until the process starts again. */
	gw->set = set;
	gw_apply_bounds(gw);
	gateway_settings_destroy(old);
	log_event(LOG_SETTINGS_RELOADED, "file", gw->file, NULL);
}

/* Ends the process once nothing is open, or the grace is nearly over. */
static void gw_check_stop(struct gw *gw)
{
	uint64_t spent_ms = (env_now_us() - gw->env.stop_us) / 1000;
	uint64_t grace_ms = gw_grace_ms(gw);
	uint32_t open = rly_open(gw->rly);
	char text[16];

	if (spent_ms < MIN(GW_READY_LAG_MS, grace_ms / 2))
		return;
	if (open > 0 && spent_ms < grace_ms)
		return;
	snprintf(text, sizeof(text), "%u", open);
	log_event(LOG_STOPPED, "open", text, NULL);
	uv_stop(gw->env.loop);
}

/* Logs when keys can no longer be confirmed, and when they can again. */
static void gw_check_fresh(struct gw *gw)
{
	bool fresh = env_keys_fresh(&gw->env);
	uint64_t age_us = fresh_age_us(&gw->env.fresh, env_boot_us());
	char age[24];

	metric_set(gw->env.metric, METRIC_CONFIG_CONFIRMED_AGE_MS,
		   age_us == UINT64_MAX ? -1 : (int64_t)(age_us / 1000));
	if (fresh == gw->was_fresh)
		return;
	gw->was_fresh = fresh;
	snprintf(age, sizeof(age), "%" G_GUINT64_FORMAT, age_us / 1000);
	log_event(fresh ? LOG_API_KEYS_CONFIRMED : LOG_API_KEYS_STALE, "age_ms", age, NULL);
}

static void gw_on_round(uv_prepare_t *prepare)
{
	struct gw *gw = prepare->data;

	rly_serve(gw->rly);
	if (gw->prs)
		prs_hurry(gw->prs);
}

static void gw_on_tick(uv_timer_t *timer)
{
	struct gw *gw = timer->data;
	uint64_t now_ms = uv_now(gw->env.loop);

	rly_tick(gw->rly);
	gw_check_fresh(gw);
	metric_set(gw->env.metric, METRIC_OPEN_REQUESTS, rly_open(gw->rly));
	if (now_ms - gw->told_ms > 1000) {
		gw->told_ms = now_ms;
		log_report_suppressed();
	}
	if (gw->env.stopping)
		gw_check_stop(gw);
}

/* queries */

static bool gw_is_ready(struct gw *gw)
{
	uint64_t age_us = fresh_age_us(&gw->env.fresh, env_boot_us());
	bool ready = gw->env.config && fol_synced(gw->fol) && !gw->env.stopping &&
		     age_us < gw->env.fresh.bound_us &&
		     age_us + GW_FRESH_WARN_MS * 1000 < gw->env.fresh.bound_us;

	if (ready && !gw->was_ready)
		log_event(LOG_READY, NULL);
	gw->was_ready = ready;
	return ready;
}

static void gw_on_ready_request(void *ctx, struct hreq *req)
{
	bool ready = gw_is_ready(ctx);

	hreq_reply(req, ready ? 200 : 503, "text/plain", ready ? "ok\n" : "not ready\n",
		   ready ? 3 : 10);
}

static void gw_on_metrics_request(void *ctx, struct hreq *req)
{
	struct gw *gw = ctx;
	g_autoptr(GString) text = NULL;

	if (strcmp(hreq_path(req), "/state") == 0) {
		rpl_json(req, 200, dump_state(&gw->env, gw->fol, gw->rly));
		return;
	}
	text = g_string_new(NULL);
	metric_write_prometheus(gw->env.metric, text);
	hreq_reply(req, 200, "text/plain; version=0.0.4", text->str, text->len);
}

static const char *gw_region(void *ctx, const char *zone)
{
	const struct gw *gw = ctx;

	return gateway_settings_region_of(gw->set, zone);
}

/* helpers */

static struct hsrv *gw_listen(struct gw *gw, const char *what, const char *address,
			      uint32_t max_body_bytes, hsrv_handler handler, void *ctx,
			      GError **error)
{
	g_autofree char *host = NULL;
	uint16_t port = 0;
	struct hsrv_conf conf = { .max_body_bytes = max_body_bytes };
	struct hsrv *srv;

	gateway_settings_split_address(address, &host, &port);
	conf.address = host;
	conf.port = port;
	srv = hsrv_create(gw->env.loop, &conf, handler, ctx, error);
	if (srv)
		log_event(LOG_LISTENING, "port", what, "address", address, NULL);
	return srv;
}

static bool gw_open(struct gw *gw, GError **error)
{
	const struct gateway_settings *set = gw->set;

	gw->callers =
		gw_listen(gw, "callers", set->callers, GW_BODY_MAX, rly_handle, gw->rly, error);
	if (!gw->callers)
		return false;
	if (set->ready) {
		gw->ready = gw_listen(gw, "ready", set->ready, GW_CONTROL_BODY_MAX,
				      gw_on_ready_request, gw, error);
		if (!gw->ready)
			return false;
	}
	gw->metrics = gw_listen(gw, "metrics", set->metrics, GW_CONTROL_BODY_MAX,
				gw_on_metrics_request, gw, error);
	return gw->metrics != NULL;
}
