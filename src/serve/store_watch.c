#include "store_watch.h"

#include <string.h>

#define STORE_WATCH_RETRY_MIN_MS 100
#define STORE_WATCH_RETRY_MAX_MS 800
/* In a row: one broken connection is no outage. */
#define STORE_WATCH_UNREACHABLE_FAILURE_COUNT 2
#define STORE_WATCH_DEPENDENT_WAIT_MS	      12000
#define STORE_WATCH_DELEGATE_WAIT_MS	      700
/* Fractions of the time for which a confirmation of the configuration is valid. */
#define STORE_WATCH_DELEGATE_WAIT_FRACTION 0.15 /* wait of a watch that dependents rely on */
#define STORE_WATCH_ALONE_WAIT_FRACTION	   0.32 /* wait of a watch that only this instance uses */
#define STORE_WATCH_CONFIRM_AGE_FRACTION   0.62 /* older than this, an extra call confirms it */
#define STORE_WATCH_CONFIRM_INTERVAL_MS	   500
#define STORE_WATCH_TICK_MS		   250

/* One watched table. */
struct store_watch_table {
	struct store_watch *watch;
	enum store_table table;
	struct store_call *call;
	uv_timer_t timer; /* delay before the next call */
	uint64_t version;
	uint64_t sent_boot_us; /* when the call was sent, by env_boot_us() */
	uint64_t sent_loop_ms; /* the same by uv_now() */
	uint32_t consecutive_failures;
	bool synced;   /* the version is valid to watch from; otherwise the table is read whole */
	bool has_data; /* was read at least once; for the configuration, one is in force */
	bool outdated; /* another instance knows a newer version */
};

struct store_watch {
	struct env *env;
	struct store_watch_table tables[2]; /* STORE_TABLE_CONFIG and STORE_TABLE_UPSTREAMS */
	uv_timer_t tick;
	uint64_t reachable_since_us; /* end of the last outage of the store; 0 before the first */
	uint32_t open_handles;
	bool unreachable;
	uint64_t list_version; /* of the last change of the instance list */
	bool delegated;
	bool has_dependents;
	store_watch_config_cb config_cb;
	void *config_ctx;
	store_watch_changes_cb changes_cb;
	void *changes_ctx;
	struct store_call *confirm_call; /* extra call that confirms the configuration */
	uint64_t confirm_sent_boot_us;
	uint64_t confirm_sent_loop_ms;
};

static const char *const store_watch_result_names[STORE_RESULT_COUNT] = { "ok", "history-gone",
									  "refused", "no-answer" };

static void store_watch_send(struct store_watch_table *table);
static void store_watch_send_after(struct store_watch_table *table, uint64_t delay_ms);
static void store_watch_apply_entry(struct store_watch *watch, const struct store_change *change,
				    uint64_t lapse_until_us);
static void store_watch_on_timer(uv_timer_t *timer);
static void store_watch_on_tick(uv_timer_t *timer);
static void store_watch_on_answer(void *arg, const struct store_answer *answer);

/* lifetime */

struct store_watch *store_watch_create(struct env *env, store_watch_config_cb cb, void *ctx)
{
	struct store_watch *watch = g_new0(struct store_watch, 1);

	watch->env = env;
	watch->config_cb = cb;
	watch->config_ctx = ctx;
	watch->open_handles = 3;
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		table->watch = watch;
		table->table = i == 0 ? STORE_TABLE_CONFIG : STORE_TABLE_UPSTREAMS;
		uv_timer_init(env->loop, &table->timer);
		table->timer.data = table;
		store_watch_send(table);
	}
	uv_timer_init(env->loop, &watch->tick);
	watch->tick.data = watch;
	uv_timer_start(&watch->tick, store_watch_on_tick, STORE_WATCH_TICK_MS, STORE_WATCH_TICK_MS);
	return watch;
}

static void store_watch_on_closed(uv_handle_t *handle)
{
	struct store_watch *watch =
		handle == (uv_handle_t *)&((struct store_watch *)handle->data)->tick
			? handle->data
			: ((struct store_watch_table *)handle->data)->watch;

	if (--watch->open_handles == 0)
		g_free(watch);
}

void store_watch_destroy(struct store_watch *watch)
{
	if (!watch)
		return;
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		if (table->call)
			watch->env->store_client->ops->cancel(table->call);
		uv_close((uv_handle_t *)&table->timer, store_watch_on_closed);
	}
	if (watch->confirm_call)
		watch->env->store_client->ops->cancel(watch->confirm_call);
	uv_close((uv_handle_t *)&watch->tick, store_watch_on_closed);
}

/* commands */

void store_watch_set_changes_cb(struct store_watch *watch, store_watch_changes_cb cb, void *ctx)
{
	watch->changes_cb = cb;
	watch->changes_ctx = ctx;
}

void store_watch_set_delegated(struct store_watch *watch, bool delegated)
{
	struct store_watch_table *list = &watch->tables[1];

	if (watch->delegated == delegated)
		return;
	watch->delegated = delegated;
	log_event(LOG_STORE_DELEGATED, "delegated", delegated ? "yes" : "no", NULL);
	/* An open watch call is not cancelled; when it ends, no other follows. */
	if (!delegated && !list->call)
		store_watch_send_after(list, 0);
}

void store_watch_set_has_dependents(struct store_watch *watch, bool has_dependents)
{
	watch->has_dependents = has_dependents;
}

void store_watch_apply_changes(struct store_watch *watch, const struct store_watch_changes *changes)
{
	struct store_watch_table *list = &watch->tables[1];
	uint64_t until_us = changes->lapse_ms ? env_now_us() + changes->lapse_ms * 1000ULL : 0;

	if (!list->synced || changes->to_version <= list->version)
		return;
	if (changes->from_version > list->version) {
		store_watch_check_versions(watch, 0, changes->to_version);
		return;
	}
	for (guint i = 0; i < changes->rows->len; i++)
		store_watch_apply_entry(watch, changes->rows->pdata[i], until_us);
	list->version = changes->to_version;
	watch->list_version = changes->to_version;
}

/* Reads what is newer than the known version at once; replaces the open call. */
static void store_watch_read_now(struct store_watch_table *table)
{
	if (table->outdated)
		return;
	table->outdated = true;
	if (table->call)
		table->watch->env->store_client->ops->cancel(table->call);
	table->call = NULL;
	store_watch_send_after(table, 0);
}

void store_watch_check_versions(struct store_watch *watch, uint64_t config_version,
				uint64_t list_version)
{
	const struct route_config *config = watch->env->config;

	if (watch->tables[0].synced && config && config_version > route_config_version(config))
		store_watch_read_now(&watch->tables[0]);
	if (watch->tables[1].synced && list_version > watch->tables[1].version)
		store_watch_read_now(&watch->tables[1]);
}

/* queries */

uint64_t store_watch_list_version(const struct store_watch *watch)
{
	return watch->list_version;
}

bool store_watch_is_healthy(const struct store_watch *watch)
{
	return store_watch_is_synced(watch) && !watch->unreachable && !watch->delegated &&
	       watch->tables[1].synced && watch->tables[0].consecutive_failures == 0 &&
	       watch->tables[1].consecutive_failures == 0;
}

bool store_watch_is_synced(const struct store_watch *watch)
{
	return watch->tables[0].has_data && watch->tables[1].has_data;
}

/* helpers */

/* Returns how long the store may delay its answer to a watch of the configuration, in ms. */
static uint32_t store_watch_config_wait_ms(const struct store_watch *watch)
{
	const struct env *env = watch->env;
	uint64_t alone_wait_ms =
		env_config_age_limit_us(env, STORE_WATCH_ALONE_WAIT_FRACTION) / 1000;
	uint64_t delegate_wait_ms =
		env_config_age_limit_us(env, STORE_WATCH_DELEGATE_WAIT_FRACTION) / 1000;

	/* The delegate confirms the configuration; this watch only reports changes. */
	if (watch->delegated)
		return STORE_WATCH_DEPENDENT_WAIT_MS;
	if (watch->has_dependents)
		return (uint32_t)MIN(delegate_wait_ms, STORE_WATCH_DELEGATE_WAIT_MS);
	return (uint32_t)MIN(alone_wait_ms, env->settings->config_wait_ms);
}

static void store_watch_send(struct store_watch_table *table)
{
	struct env *env = table->watch->env;
	const struct store_ops *ops = env->store_client->ops;
	uint32_t wait_ms = table->table == STORE_TABLE_CONFIG
				   ? store_watch_config_wait_ms(table->watch)
				   : (uint32_t)env->settings->list_wait_ms;

	if (table->outdated)
		wait_ms = 0;
	table->outdated = false;
	table->sent_boot_us = env_boot_us();
	table->sent_loop_ms = uv_now(env->loop);
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	if (table->synced)
		table->call = ops->watch(env->store_client->ctx, table->table, table->version,
					 wait_ms, store_watch_on_answer, table);
	else
		table->call = ops->read(env->store_client->ctx, table->table, store_watch_on_answer,
					table);
}

static void store_watch_on_timer(uv_timer_t *timer)
{
	store_watch_send(timer->data);
}

static void store_watch_send_after(struct store_watch_table *table, uint64_t delay_ms)
{
	uv_timer_start(&table->timer, store_watch_on_timer, delay_ms, 0);
}

/* Records and logs that the store stopped answering or answers again. */
static void store_watch_set_unreachable(struct store_watch *watch, bool unreachable,
					const char *reason)
{
	if (watch->unreachable == unreachable)
		return;
	watch->unreachable = unreachable;
	if (!unreachable)
		watch->reachable_since_us = env_now_us();
	log_event(unreachable ? LOG_STORE_DOWN : LOG_STORE_UP, "reason", reason, NULL);
	metric_set(watch->env->metric, METRIC_TABLE_REACHABLE, !unreachable);
}

/* Returns until when entries that are missing now count as lapsed, since they may have expired
 * because of an outage of the store; 0 when there was no such outage and they are gone. */
static uint64_t store_watch_lapse_until_us(const struct store_watch *watch)
{
	uint64_t recheck_us = (uint64_t)(watch->env->settings->bounds.recheck_s * 1e6);
	uint64_t now_us = env_now_us();

	if (watch->unreachable)
		return now_us + recheck_us;
	if (watch->reachable_since_us && now_us < watch->reachable_since_us + recheck_us)
		return watch->reachable_since_us + recheck_us;
	return 0;
}

static void store_watch_apply_config(struct store_watch *watch, const struct store_change *change)
{
	struct env *env = watch->env;

	if (change->malformed)
		log_event(LOG_CONFIG_REJECTED, "source", "store", NULL);
	if (!change->config)
		return;
	if (env->config &&
	    route_config_version(change->config) <= route_config_version(env->config))
		return;
	watch->config_cb(watch->config_ctx, change->config);
}

static void store_watch_apply_entry(struct store_watch *watch, const struct store_change *change,
				    uint64_t lapse_until_us)
{
	struct env *env = watch->env;
	uint64_t now_us = env_now_us();
	struct fleet_entry entry = {
		.id = change->id,
		.service = change->service,
		.address = change->address,
		.zone = change->zone,
		.started_ms = change->started_ms,
		.slots = change->slots,
		.cold_ms = change->cold_ms,
		.leaving = change->leaving,
	};

	if (change->malformed)
		log_event(LOG_UPSTREAM_ENTRY_INVALID, "upstream", change->id, NULL);
	if (change->removed || change->malformed)
		fleet_remove_entry(env->fleet, change->id, lapse_until_us, now_us);
	else
		fleet_put_entry(env->fleet, &entry, now_us);
	metric_set(env->metric, METRIC_UPSTREAMS, fleet_count(env->fleet));
}

/* Unlists the upstreams that a full read of the table did not return. */
static void store_watch_unlist_missing(struct store_watch *watch, const GPtrArray *changes)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) known = fleet_ids(watch->env->fleet);

	for (guint i = 0; i < changes->len; i++)
		g_hash_table_add(listed, ((struct store_change *)changes->pdata[i])->id);
	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(listed, known->pdata[i]))
			fleet_remove_entry(watch->env->fleet, known->pdata[i],
					   store_watch_lapse_until_us(watch), env_now_us());
	}
}

/* Reports changes of the instance list to the callback, which sends them to the dependents. */
static void store_watch_report_changes(struct store_watch *watch, uint64_t from_version,
				       const struct store_answer *answer)
{
	uint64_t until_us = store_watch_lapse_until_us(watch);
	uint64_t now_us = env_now_us();
	struct store_watch_changes changes = {
		.from_version = from_version,
		.to_version = answer->version,
		.lapse_ms = until_us > now_us ? (uint32_t)((until_us - now_us) / 1000) : 0,
		.rows = (GPtrArray *)answer->changes
	};

	if (watch->changes_cb && answer->changes->len > 0)
		watch->changes_cb(watch->changes_ctx, &changes);
}

static void store_watch_apply_answer(struct store_watch_table *table,
				     const struct store_answer *answer)
{
	struct store_watch *watch = table->watch;

	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];

		if (table->table == STORE_TABLE_CONFIG)
			store_watch_apply_config(watch, change);
		else
			store_watch_apply_entry(watch, change, store_watch_lapse_until_us(watch));
	}
	if (table->table == STORE_TABLE_UPSTREAMS && !table->synced)
		store_watch_unlist_missing(watch, answer->changes);
	else if (table->table == STORE_TABLE_UPSTREAMS)
		store_watch_report_changes(watch, table->version, answer);
	if (table->table == STORE_TABLE_CONFIG && watch->env->config)
		freshness_confirm(&watch->env->freshness, table->sent_boot_us);
	/* The version of the store also grows with changes of other rows. */
	if (table->table == STORE_TABLE_UPSTREAMS && (answer->changes->len > 0 || !table->synced))
		watch->list_version = answer->version;
	table->version = MAX(table->version, answer->version);
	table->synced = true;
	table->has_data = table->table != STORE_TABLE_CONFIG || watch->env->config;
}

static void store_watch_on_failure(struct store_watch_table *table, enum store_result result)
{
	uint64_t delay_ms = STORE_WATCH_RETRY_MIN_MS << MIN(table->consecutive_failures, 3);
	gint32 jitter_ms = g_rand_int_range(table->watch->env->rand, 0, STORE_WATCH_RETRY_MIN_MS);

	metric_add(table->watch->env->metric, METRIC_TABLE_ERRORS, 1);
	table->consecutive_failures++;
	if (table->consecutive_failures >= STORE_WATCH_UNREACHABLE_FAILURE_COUNT)
		store_watch_set_unreachable(table->watch, true, store_watch_result_names[result]);
	store_watch_send_after(table,
			       MIN(delay_ms, STORE_WATCH_RETRY_MAX_MS) + (uint64_t)jitter_ms);
}

static void store_watch_on_answer(void *arg, const struct store_answer *answer)
{
	struct store_watch_table *table = arg;
	struct store_watch *watch = table->watch;
	uint64_t elapsed_ms = uv_now(watch->env->loop) - table->sent_loop_ms;
	uint64_t min_interval_ms =
		table->table == STORE_TABLE_UPSTREAMS ? watch->env->settings->list_pace_ms : 0;

	table->call = NULL;
	if (answer->result == STORE_HISTORY_GONE) {
		log_event(LOG_STORE_HISTORY_GONE, "table",
			  table->table == STORE_TABLE_CONFIG ? "configuration" : "upstreams", NULL);
		table->synced = false;
		table->consecutive_failures = 0;
		store_watch_send_after(table, 0);
		return;
	}
	if (answer->result != STORE_OK) {
		store_watch_on_failure(table, answer->result);
		return;
	}
	table->consecutive_failures = 0;
	if (watch->tables[0].consecutive_failures == 0 &&
	    watch->tables[1].consecutive_failures == 0)
		store_watch_set_unreachable(watch, false, "answered");
	store_watch_apply_answer(table, answer);
	/* While there is a delegate, it sends the changes of the instance list. */
	if (table->table == STORE_TABLE_UPSTREAMS && watch->delegated && !table->outdated)
		return;
	store_watch_send_after(table,
			       elapsed_ms < min_interval_ms ? min_interval_ms - elapsed_ms : 0);
}

static void store_watch_on_confirmed(void *arg, const struct store_answer *answer)
{
	struct store_watch *watch = arg;

	watch->confirm_call = NULL;
	if (answer->result != STORE_OK) {
		metric_add(watch->env->metric, METRIC_TABLE_ERRORS, 1);
		return;
	}
	for (guint i = 0; i < answer->changes->len; i++)
		store_watch_apply_config(watch, answer->changes->pdata[i]);
	if (watch->env->config)
		freshness_confirm(&watch->env->freshness, watch->confirm_sent_boot_us);
}

/* Sends an extra call when neither the open watch nor a delegate confirms the configuration in
 * time. The open watch may still have the long wait of the time when there was a delegate. */
static void store_watch_check_confirmation(struct store_watch *watch)
{
	struct env *env = watch->env;
	const struct store_watch_table *table = &watch->tables[0];
	uint64_t now_us = env_boot_us();
	uint64_t age_us = freshness_age_us(&env->freshness, now_us);
	uint64_t now_ms = uv_now(env->loop);

	if (!table->synced || watch->confirm_call ||
	    age_us < env_config_age_limit_us(env, STORE_WATCH_CONFIRM_AGE_FRACTION) ||
	    now_ms - watch->confirm_sent_loop_ms < STORE_WATCH_CONFIRM_INTERVAL_MS)
		return;
	watch->confirm_sent_boot_us = now_us;
	watch->confirm_sent_loop_ms = now_ms;
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	watch->confirm_call =
		env->store_client->ops->watch(env->store_client->ctx, STORE_TABLE_CONFIG,
					      table->version, 0, store_watch_on_confirmed, watch);
}

static void store_watch_on_tick(uv_timer_t *timer)
{
	struct store_watch *watch = timer->data;

	store_watch_check_confirmation(watch);
	fleet_tick(watch->env->fleet, env_now_us());
}
