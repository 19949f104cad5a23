#include "store_watch.h"

#include <string.h>

#define STORE_WATCH_RETRY_MIN_MS	      100
#define STORE_WATCH_RETRY_MAX_MS	      800
#define STORE_WATCH_UNREACHABLE_FAILURE_COUNT 2 /* in a row; one cut connection is no outage */
#define STORE_WATCH_DEPENDENT_WAIT_MS	      12000
#define STORE_WATCH_DELEGATE_WAIT_MS	      700
/* Parts of the time for which a confirmation holds. */
#define STORE_WATCH_DELEGATE_WAIT_FRACTION 0.15 /* wait of a call on which other instances rely */
#define STORE_WATCH_ALONE_WAIT_FRACTION	   0.32 /* wait of a call on which this instance relies */
#define STORE_WATCH_CONFIRM_AGE_FRACTION   0.62 /* age at which the store is asked besides */
#define STORE_WATCH_CONFIRM_INTERVAL_MS	   500
#define STORE_WATCH_TICK_MS		   250

/* One table that is followed. */
struct store_watch_table {
	struct store_watch *store_watch;
	enum store_table table;
	struct store_call *call;
	uv_timer_t timer; /* until the next call */
	uint64_t version;
	uint64_t sent_us; /* on the clock that counts suspension */
	uint64_t sent_ms;
	uint32_t failures; /* in a row */
	bool synced;
	bool ever;
	bool behind; /* another instance knows more */
};

struct store_watch {
	struct env *env;
	struct store_watch_table tables[2]; /* STORE_TABLE_CONFIG and STORE_TABLE_UPSTREAMS */
	uv_timer_t tick;
	uint64_t regained_us; /* when the store last came back; 0 before */
	uint32_t handles;
	bool lost;
	uint64_t list_changed; /* version of the last change of the instance list */
	bool delegated;
	bool serving;
	store_watch_config_cb cb;
	void *ctx;
	store_watch_changes_cb changes_cb;
	void *changes_ctx;
	struct store_call *confirm; /* asks whether the configuration is still the newest */
	uint64_t confirm_us;	    /* when it was sent */
	uint64_t confirm_ms;
};

static const char *const store_watch_result_names[STORE_RESULT_COUNT] = { "ok", "history-gone",
									  "refused", "no-answer" };

static void store_watch_send(struct store_watch_table *table);
static void store_watch_send_after(struct store_watch_table *table, uint64_t delay_ms);
static void store_watch_apply_entry(struct store_watch *store_watch,
				    const struct store_change *change, uint64_t lapse_until_us);
static void store_watch_on_timer(uv_timer_t *timer);
static void store_watch_on_tick(uv_timer_t *timer);
static void store_watch_on_answer(void *arg, const struct store_answer *answer);

/* lifetime */

struct store_watch *store_watch_create(struct env *env, store_watch_config_cb cb, void *ctx)
{
	struct store_watch *store_watch = g_new0(struct store_watch, 1);

	store_watch->env = env;
	store_watch->cb = cb;
	store_watch->ctx = ctx;
	store_watch->handles = 3;
	for (uint32_t i = 0; i < G_N_ELEMENTS(store_watch->tables); i++) {
		struct store_watch_table *table = &store_watch->tables[i];

		table->store_watch = store_watch;
		table->table = i == 0 ? STORE_TABLE_CONFIG : STORE_TABLE_UPSTREAMS;
		uv_timer_init(env->loop, &table->timer);
		table->timer.data = table;
		store_watch_send(table);
	}
	uv_timer_init(env->loop, &store_watch->tick);
	store_watch->tick.data = store_watch;
	uv_timer_start(&store_watch->tick, store_watch_on_tick, STORE_WATCH_TICK_MS,
		       STORE_WATCH_TICK_MS);
	return store_watch;
}

static void store_watch_on_closed(uv_handle_t *handle)
{
	struct store_watch *store_watch =
		handle == (uv_handle_t *)&((struct store_watch *)handle->data)->tick
			? handle->data
			: ((struct store_watch_table *)handle->data)->store_watch;

	if (--store_watch->handles == 0)
		g_free(store_watch);
}

void store_watch_destroy(struct store_watch *store_watch)
{
	if (!store_watch)
		return;
	for (uint32_t i = 0; i < G_N_ELEMENTS(store_watch->tables); i++) {
		struct store_watch_table *table = &store_watch->tables[i];

		if (table->call)
			store_watch->env->store_client->ops->cancel(table->call);
		uv_close((uv_handle_t *)&table->timer, store_watch_on_closed);
	}
	if (store_watch->confirm)
		store_watch->env->store_client->ops->cancel(store_watch->confirm);
	uv_close((uv_handle_t *)&store_watch->tick, store_watch_on_closed);
}

/* commands */

void store_watch_set_changes_cb(struct store_watch *store_watch, store_watch_changes_cb cb,
				void *ctx)
{
	store_watch->changes_cb = cb;
	store_watch->changes_ctx = ctx;
}

void store_watch_set_delegated(struct store_watch *store_watch, bool delegated)
{
	struct store_watch_table *list = &store_watch->tables[1];

	if (store_watch->delegated == delegated)
		return;
	store_watch->delegated = delegated;
	log_event(LOG_DELEGATED, "delegated", delegated ? "yes" : "no", NULL);
	/* A call that waits goes on and ends by itself. */
	if (!delegated && !list->call)
		store_watch_send_after(list, 0);
}

void store_watch_set_has_dependents(struct store_watch *store_watch, bool serving)
{
	store_watch->serving = serving;
}

void store_watch_apply_changes(struct store_watch *store_watch,
			       const struct store_watch_changes *changes)
{
	struct store_watch_table *list = &store_watch->tables[1];
	uint64_t until_us = changes->lapse_ms ? env_now_us() + changes->lapse_ms * 1000ULL : 0;

	if (!list->synced || changes->to <= list->version)
		return;
	if (changes->from > list->version) {
		store_watch_check_versions(store_watch, 0, changes->to);
		return;
	}
	for (guint i = 0; i < changes->changes->len; i++)
		store_watch_apply_entry(store_watch, changes->changes->pdata[i], until_us);
	list->version = changes->to;
	store_watch->list_changed = changes->to;
}

static void store_watch_read_now(struct store_watch_table *table)
{
	if (table->behind)
		return;
	table->behind = true;
	if (table->call)
		table->store_watch->env->store_client->ops->cancel(table->call);
	table->call = NULL;
	store_watch_send_after(table, 0);
}

void store_watch_check_versions(struct store_watch *store_watch, uint64_t config_version,
				uint64_t list_version)
{
	const struct rt_config *config = store_watch->env->config;

	if (store_watch->tables[0].synced && config && config_version > rt_config_version(config))
		store_watch_read_now(&store_watch->tables[0]);
	if (store_watch->tables[1].synced && list_version > store_watch->tables[1].version)
		store_watch_read_now(&store_watch->tables[1]);
}

/* queries */

uint64_t store_watch_list_version(const struct store_watch *store_watch)
{
	return store_watch->list_changed;
}

bool store_watch_is_healthy(const struct store_watch *store_watch)
{
	return store_watch_is_synced(store_watch) && !store_watch->lost &&
	       !store_watch->delegated && store_watch->tables[1].synced &&
	       store_watch->tables[0].failures == 0 && store_watch->tables[1].failures == 0;
}

bool store_watch_is_synced(const struct store_watch *store_watch)
{
	return store_watch->tables[0].ever && store_watch->tables[1].ever;
}

/* helpers */

/* Returns how long the store may wait with an answer about the configuration. */
static uint32_t store_watch_config_wait_ms(const struct store_watch *store_watch)
{
	const struct env *env = store_watch->env;
	uint64_t alone_ms = env_fresh_part_us(env, STORE_WATCH_ALONE_WAIT_FRACTION) / 1000;
	uint64_t serving_ms = env_fresh_part_us(env, STORE_WATCH_DELEGATE_WAIT_FRACTION) / 1000;

	/* Confirmations come from the delegate; the call is for news alone. */
	if (store_watch->delegated)
		return STORE_WATCH_DEPENDENT_WAIT_MS;
	if (store_watch->serving)
		return (uint32_t)MIN(serving_ms, STORE_WATCH_DELEGATE_WAIT_MS);
	return (uint32_t)MIN(alone_ms, env->set->config_wait_ms);
}

static void store_watch_send(struct store_watch_table *table)
{
	struct env *env = table->store_watch->env;
	const struct store_ops *ops = env->store_client->ops;
	uint32_t wait_ms = table->table == STORE_TABLE_CONFIG
				   ? store_watch_config_wait_ms(table->store_watch)
				   : (uint32_t)env->set->list_wait_ms;

	if (table->behind)
		wait_ms = 0;
	table->behind = false;
	table->sent_us = env_boot_us();
	table->sent_ms = uv_now(env->loop);
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

/* Notes that the store does not answer, or answers again. */
static void store_watch_set_unreachable(struct store_watch *store_watch, bool lost, const char *why)
{
	if (store_watch->lost == lost)
		return;
	store_watch->lost = lost;
	if (!lost)
		store_watch->regained_us = env_now_us();
	log_event(lost ? LOG_SOURCE_LOST : LOG_SOURCE_REGAINED, "reason", why, NULL);
	metric_set(store_watch->env->metric, METRIC_TABLE_REACHABLE, !lost);
}

/* Until when entries that are missing now may come back; 0 when they are gone. */
static uint64_t store_watch_lapse_until_us(const struct store_watch *store_watch)
{
	uint64_t recheck_us = (uint64_t)(store_watch->env->set->bounds.recheck_s * 1e6);
	uint64_t now_us = env_now_us();

	if (store_watch->lost)
		return now_us + recheck_us;
	if (store_watch->regained_us && now_us < store_watch->regained_us + recheck_us)
		return store_watch->regained_us + recheck_us;
	return 0;
}

static void store_watch_apply_config(struct store_watch *store_watch,
				     const struct store_change *change)
{
	struct env *env = store_watch->env;

	if (change->broken)
		log_event(LOG_CONFIG_REJECTED, "source", "store", NULL);
	if (!change->config)
		return;
	if (env->config && rt_config_version(change->config) <= rt_config_version(env->config))
		return;
	store_watch->cb(store_watch->ctx, change->config);
}

static void store_watch_apply_entry(struct store_watch *store_watch,
				    const struct store_change *change, uint64_t lapse_until_us)
{
	struct env *env = store_watch->env;
	uint64_t now_us = env_now_us();
	struct fleet_listing listing = {
		.id = change->id,
		.service = change->service,
		.address = change->address,
		.zone = change->zone,
		.started_ms = change->started_ms,
		.slots = change->slots,
		.cold_ms = change->cold_ms,
		.leaving = change->leaving,
	};

	if (change->broken)
		log_event(LOG_UPSTREAM_BROKEN, "upstream", change->id, NULL);
	if (change->gone || change->broken)
		fleet_unlist(env->fleet, change->id, lapse_until_us, now_us);
	else
		fleet_list(env->fleet, &listing, now_us);
	metric_set(env->metric, METRIC_UPSTREAMS, fleet_count(env->fleet));
}

/* After a full read, what is not in it is gone. */
static void store_watch_unlist_missing(struct store_watch *store_watch, const GPtrArray *changes)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) known = fleet_ids(store_watch->env->fleet);

	for (guint i = 0; i < changes->len; i++)
		g_hash_table_add(listed, ((struct store_change *)changes->pdata[i])->id);
	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(listed, known->pdata[i]))
			fleet_unlist(store_watch->env->fleet, known->pdata[i],
				     store_watch_lapse_until_us(store_watch), env_now_us());
	}
}

/* Tells those who learn of the list from here. */
static void store_watch_report_changes(struct store_watch *store_watch, uint64_t from,
				       const struct store_answer *answer)
{
	uint64_t until_us = store_watch_lapse_until_us(store_watch);
	uint64_t now_us = env_now_us();
	struct store_watch_changes changes = {
		.from = from,
		.to = answer->version,
		.lapse_ms = until_us > now_us ? (uint32_t)((until_us - now_us) / 1000) : 0,
		.changes = (GPtrArray *)answer->changes
	};

	if (store_watch->changes_cb && answer->changes->len > 0)
		store_watch->changes_cb(store_watch->changes_ctx, &changes);
}

static void store_watch_apply_answer(struct store_watch_table *table,
				     const struct store_answer *answer)
{
	struct store_watch *store_watch = table->store_watch;

	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];

		if (table->table == STORE_TABLE_CONFIG)
			store_watch_apply_config(store_watch, change);
		else
			store_watch_apply_entry(store_watch, change,
						store_watch_lapse_until_us(store_watch));
	}
	if (table->table == STORE_TABLE_UPSTREAMS && !table->synced)
		store_watch_unlist_missing(store_watch, answer->changes);
	else if (table->table == STORE_TABLE_UPSTREAMS)
		store_watch_report_changes(store_watch, table->version, answer);
	if (table->table == STORE_TABLE_CONFIG && store_watch->env->config)
		fresh_confirm(&store_watch->env->fresh, table->sent_us);
	/* Versions also grow by rows that are not followed. */
	if (table->table == STORE_TABLE_UPSTREAMS && (answer->changes->len > 0 || !table->synced))
		store_watch->list_changed = answer->version;
	table->version = MAX(table->version, answer->version);
	table->synced = true;
	table->ever = table->table != STORE_TABLE_CONFIG || store_watch->env->config;
}

static void store_watch_on_failure(struct store_watch_table *table, enum store_result result)
{
	uint64_t delay_ms = STORE_WATCH_RETRY_MIN_MS << MIN(table->failures, 3);
	gint32 spread =
		g_rand_int_range(table->store_watch->env->rand, 0, STORE_WATCH_RETRY_MIN_MS);

	metric_add(table->store_watch->env->metric, METRIC_TABLE_ERRORS, 1);
	table->failures++;
	if (table->failures >= STORE_WATCH_UNREACHABLE_FAILURE_COUNT)
		store_watch_set_unreachable(table->store_watch, true,
					    store_watch_result_names[result]);
	store_watch_send_after(table, MIN(delay_ms, STORE_WATCH_RETRY_MAX_MS) + (uint64_t)spread);
}

static void store_watch_on_answer(void *arg, const struct store_answer *answer)
{
	struct store_watch_table *table = arg;
	struct store_watch *store_watch = table->store_watch;
	uint64_t spent_ms = uv_now(store_watch->env->loop) - table->sent_ms;
	uint64_t pace_ms =
		table->table == STORE_TABLE_UPSTREAMS ? store_watch->env->set->list_pace_ms : 0;

	table->call = NULL;
	if (answer->result == STORE_HISTORY_GONE) {
		log_event(LOG_SOURCE_GAP, "table",
			  table->table == STORE_TABLE_CONFIG ? "configuration" : "upstreams", NULL);
		table->synced = false;
		table->failures = 0;
		store_watch_send_after(table, 0);
		return;
	}
	if (answer->result != STORE_OK) {
		store_watch_on_failure(table, answer->result);
		return;
	}
	table->failures = 0;
	if (store_watch->tables[0].failures == 0 && store_watch->tables[1].failures == 0)
		store_watch_set_unreachable(store_watch, false, "answered");
	store_watch_apply_answer(table, answer);
	/* Another instance follows the list while it answers. */
	if (table->table == STORE_TABLE_UPSTREAMS && store_watch->delegated && !table->behind)
		return;
	store_watch_send_after(table, spent_ms < pace_ms ? pace_ms - spent_ms : 0);
}

static void store_watch_on_confirmed(void *arg, const struct store_answer *answer)
{
	struct store_watch *store_watch = arg;

	store_watch->confirm = NULL;
	if (answer->result != STORE_OK) {
		metric_add(store_watch->env->metric, METRIC_TABLE_ERRORS, 1);
		return;
	}
	for (guint i = 0; i < answer->changes->len; i++)
		store_watch_apply_config(store_watch, answer->changes->pdata[i]);
	if (store_watch->env->config)
		fresh_confirm(&store_watch->env->fresh, store_watch->confirm_us);
}

/* Asks the store itself when neither its waiting call nor a delegate confirms in time. The
 * waiting call may still be a long one, from the time when a delegate confirmed. */
static void store_watch_check_confirmation(struct store_watch *store_watch)
{
	struct env *env = store_watch->env;
	const struct store_watch_table *table = &store_watch->tables[0];
	uint64_t now_us = env_boot_us();
	uint64_t age_us = fresh_age_us(&env->fresh, now_us);
	uint64_t now_ms = uv_now(env->loop);

	if (!table->synced || store_watch->confirm ||
	    age_us < env_fresh_part_us(env, STORE_WATCH_CONFIRM_AGE_FRACTION) ||
	    now_ms - store_watch->confirm_ms < STORE_WATCH_CONFIRM_INTERVAL_MS)
		return;
	store_watch->confirm_us = now_us;
	store_watch->confirm_ms = now_ms;
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	store_watch->confirm = env->store_client->ops->watch(env->store_client->ctx,
							     STORE_TABLE_CONFIG, table->version, 0,
							     store_watch_on_confirmed, store_watch);
}

static void store_watch_on_tick(uv_timer_t *timer)
{
	struct store_watch *store_watch = timer->data;

	store_watch_check_confirmation(store_watch);
	fleet_tick(store_watch->env->fleet, env_now_us());
}
