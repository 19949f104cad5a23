#include "follow.h"

#include <string.h>

#define FOL_RETRY_FIRST_MS    100
#define FOL_RETRY_MAX_MS      800
#define FOL_LOST_FAILURES     2 /* in a row; one cut connection is no outage */
#define FOL_DELEGATED_WAIT_MS 12000
#define FOL_SERVING_WAIT_MS   700
/* Parts of the time for which a confirmation holds. */
#define FOL_SERVING_PART    0.15 /* wait of a call on which other instances rely */
#define FOL_ALONE_PART	    0.32 /* wait of a call on which this instance relies */
#define FOL_CONFIRM_PART    0.62 /* age at which the store is asked besides */
#define FOL_CONFIRM_REST_MS 500
#define FOL_TICK_MS	    250

/* One table that is followed. */
struct fol_table {
	struct fol *fol;
	enum src_table table;
	struct src_call *call;
	uv_timer_t timer; /* until the next call */
	uint64_t version;
	uint64_t sent_us; /* on the clock that counts suspension */
	uint64_t sent_ms;
	uint32_t failures; /* in a row */
	bool synced;
	bool ever;
	bool behind; /* another instance knows more */
};

struct fol {
	struct env *env;
	struct fol_table tables[2]; /* SRC_CONFIG and SRC_UPSTREAMS */
	uv_timer_t tick;
	uint64_t regained_us; /* when the store last came back; 0 before */
	uint32_t handles;
	bool lost;
	uint64_t list_changed; /* version of the last change of the instance list */
	bool delegated;
	bool serving;
	fol_config_cb cb;
	void *ctx;
	fol_changes_cb changes_cb;
	void *changes_ctx;
	struct src_call *confirm; /* asks whether the configuration is still the newest */
	uint64_t confirm_us;	  /* when it was sent */
	uint64_t confirm_ms;
};

static const char *const fol_result_names[SRC_RESULT_COUNT] = { "ok", "history-gone", "refused",
								"no-answer" };

static void fol_call(struct fol_table *table);
static void fol_call_in(struct fol_table *table, uint64_t delay_ms);
static void fol_apply_listing(struct fol *fol, const struct src_change *change,
			      uint64_t lapse_until_us);
static void fol_on_timer(uv_timer_t *timer);
static void fol_on_tick(uv_timer_t *timer);
static void fol_on_answer(void *arg, const struct src_answer *answer);

/* lifetime */

struct fol *fol_create(struct env *env, fol_config_cb cb, void *ctx)
{
	struct fol *fol = g_new0(struct fol, 1);

	fol->env = env;
	fol->cb = cb;
	fol->ctx = ctx;
	fol->handles = 3;
	for (uint32_t i = 0; i < G_N_ELEMENTS(fol->tables); i++) {
		struct fol_table *table = &fol->tables[i];

		table->fol = fol;
		table->table = i == 0 ? SRC_CONFIG : SRC_UPSTREAMS;
		uv_timer_init(env->loop, &table->timer);
		table->timer.data = table;
		fol_call(table);
	}
	uv_timer_init(env->loop, &fol->tick);
	fol->tick.data = fol;
	uv_timer_start(&fol->tick, fol_on_tick, FOL_TICK_MS, FOL_TICK_MS);
	return fol;
}

static void fol_on_closed(uv_handle_t *handle)
{
	struct fol *fol = handle == (uv_handle_t *)&((struct fol *)handle->data)->tick
				  ? handle->data
				  : ((struct fol_table *)handle->data)->fol;

	if (--fol->handles == 0)
		g_free(fol);
}

void fol_destroy(struct fol *fol)
{
	if (!fol)
		return;
	for (uint32_t i = 0; i < G_N_ELEMENTS(fol->tables); i++) {
		struct fol_table *table = &fol->tables[i];

		if (table->call)
			fol->env->source->ops->cancel(table->call);
		uv_close((uv_handle_t *)&table->timer, fol_on_closed);
	}
	if (fol->confirm)
		fol->env->source->ops->cancel(fol->confirm);
	uv_close((uv_handle_t *)&fol->tick, fol_on_closed);
}

/* commands */

void fol_on_changes(struct fol *fol, fol_changes_cb cb, void *ctx)
{
	fol->changes_cb = cb;
	fol->changes_ctx = ctx;
}

void fol_set_delegated(struct fol *fol, bool delegated)
{
	struct fol_table *list = &fol->tables[1];

	if (fol->delegated == delegated)
		return;
	fol->delegated = delegated;
	log_event(LOG_STORE_DELEGATED, "delegated", delegated ? "yes" : "no", NULL);
	/* A call that waits goes on and ends by itself. */
	if (!delegated && !list->call)
		fol_call_in(list, 0);
}

void fol_set_serving(struct fol *fol, bool serving)
{
	fol->serving = serving;
}

void fol_take_changes(struct fol *fol, const struct fol_changes *changes)
{
	struct fol_table *list = &fol->tables[1];
	uint64_t until_us = changes->lapse_ms ? env_now_us() + changes->lapse_ms * 1000ULL : 0;

	if (!list->synced || changes->to <= list->version)
		return;
	if (changes->from > list->version) {
		fol_take_versions(fol, 0, changes->to);
		return;
	}
	for (guint i = 0; i < changes->changes->len; i++)
		fol_apply_listing(fol, changes->changes->pdata[i], until_us);
	list->version = changes->to;
	fol->list_changed = changes->to;
}

static void fol_hurry(struct fol_table *table)
{
	if (table->behind)
		return;
	table->behind = true;
	if (table->call)
		table->fol->env->source->ops->cancel(table->call);
	table->call = NULL;
	fol_call_in(table, 0);
}

void fol_take_versions(struct fol *fol, uint64_t config_version, uint64_t list_version)
{
	const struct rt_config *config = fol->env->config;

	if (fol->tables[0].synced && config && config_version > rt_config_version(config))
		fol_hurry(&fol->tables[0]);
	if (fol->tables[1].synced && list_version > fol->tables[1].version)
		fol_hurry(&fol->tables[1]);
}

/* queries */

uint64_t fol_list_version(const struct fol *fol)
{
	return fol->list_changed;
}

bool fol_sound(const struct fol *fol)
{
	return fol_synced(fol) && !fol->lost && !fol->delegated && fol->tables[1].synced &&
	       fol->tables[0].failures == 0 && fol->tables[1].failures == 0;
}

bool fol_synced(const struct fol *fol)
{
	return fol->tables[0].ever && fol->tables[1].ever;
}

/* helpers */

/* Returns how long the store may wait with an answer about the configuration. */
static uint32_t fol_config_wait_ms(const struct fol *fol)
{
	const struct env *env = fol->env;
	uint64_t alone_ms = env_fresh_part_us(env, FOL_ALONE_PART) / 1000;
	uint64_t serving_ms = env_fresh_part_us(env, FOL_SERVING_PART) / 1000;

	/* Confirmations come from the delegate; the call is for news alone. */
	if (fol->delegated)
		return FOL_DELEGATED_WAIT_MS;
	if (fol->serving)
		return (uint32_t)MIN(serving_ms, FOL_SERVING_WAIT_MS);
	return (uint32_t)MIN(alone_ms, env->set->config_wait_ms);
}

static void fol_call(struct fol_table *table)
{
	struct env *env = table->fol->env;
	const struct src_ops *ops = env->source->ops;
	uint32_t wait_ms = table->table == SRC_CONFIG ? fol_config_wait_ms(table->fol)
						      : (uint32_t)env->set->list_wait_ms;

	if (table->behind)
		wait_ms = 0;
	table->behind = false;
	table->sent_us = env_boot_us();
	table->sent_ms = uv_now(env->loop);
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	if (table->synced)
		table->call = ops->follow(env->source->ctx, table->table, table->version, wait_ms,
					  fol_on_answer, table);
	else
		table->call = ops->read(env->source->ctx, table->table, fol_on_answer, table);
}

static void fol_on_timer(uv_timer_t *timer)
{
	fol_call(timer->data);
}

static void fol_call_in(struct fol_table *table, uint64_t delay_ms)
{
	uv_timer_start(&table->timer, fol_on_timer, delay_ms, 0);
}

/* Notes that the store does not answer, or answers again. */
static void fol_set_lost(struct fol *fol, bool lost, const char *why)
{
	if (fol->lost == lost)
		return;
	fol->lost = lost;
	if (!lost)
		fol->regained_us = env_now_us();
	log_event(lost ? LOG_STORE_DOWN : LOG_STORE_UP, "reason", why, NULL);
	metric_set(fol->env->metric, METRIC_TABLE_REACHABLE, !lost);
}

/* Until when entries that are missing now may come back; 0 when they are gone. */
static uint64_t fol_lapse_until(const struct fol *fol)
{
	uint64_t recheck_us = (uint64_t)(fol->env->set->bounds.recheck_s * 1e6);
	uint64_t now_us = env_now_us();

	if (fol->lost)
		return now_us + recheck_us;
	if (fol->regained_us && now_us < fol->regained_us + recheck_us)
		return fol->regained_us + recheck_us;
	return 0;
}

static void fol_apply_config(struct fol *fol, const struct src_change *change)
{
	struct env *env = fol->env;

	if (change->broken)
		log_event(LOG_CONFIG_REJECTED, "source", "store", NULL);
	if (!change->config)
		return;
	if (env->config && rt_config_version(change->config) <= rt_config_version(env->config))
		return;
	fol->cb(fol->ctx, change->config);
}

static void fol_apply_listing(struct fol *fol, const struct src_change *change,
			      uint64_t lapse_until_us)
{
	struct env *env = fol->env;
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
		log_event(LOG_UPSTREAM_ENTRY_INVALID, "upstream", change->id, NULL);
	if (change->gone || change->broken)
		fleet_unlist(env->fleet, change->id, lapse_until_us, now_us);
	else
		fleet_list(env->fleet, &listing, now_us);
	metric_set(env->metric, METRIC_UPSTREAMS, fleet_count(env->fleet));
}

/* After a full read, what is not in it is gone. */
static void fol_unlist_missing(struct fol *fol, const GPtrArray *changes)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) known = fleet_ids(fol->env->fleet);

	for (guint i = 0; i < changes->len; i++)
		g_hash_table_add(listed, ((struct src_change *)changes->pdata[i])->id);
	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(listed, known->pdata[i]))
			fleet_unlist(fol->env->fleet, known->pdata[i], fol_lapse_until(fol),
				     env_now_us());
	}
}

/* Tells those who learn of the list from here. */
static void fol_tell(struct fol *fol, uint64_t from, const struct src_answer *answer)
{
	uint64_t until_us = fol_lapse_until(fol);
	uint64_t now_us = env_now_us();
	struct fol_changes changes = { .from = from,
				       .to = answer->version,
				       .lapse_ms = until_us > now_us
							   ? (uint32_t)((until_us - now_us) / 1000)
							   : 0,
				       .changes = (GPtrArray *)answer->changes };

	if (fol->changes_cb && answer->changes->len > 0)
		fol->changes_cb(fol->changes_ctx, &changes);
}

static void fol_apply(struct fol_table *table, const struct src_answer *answer)
{
	struct fol *fol = table->fol;

	for (guint i = 0; i < answer->changes->len; i++) {
		const struct src_change *change = answer->changes->pdata[i];

		if (table->table == SRC_CONFIG)
			fol_apply_config(fol, change);
		else
			fol_apply_listing(fol, change, fol_lapse_until(fol));
	}
	if (table->table == SRC_UPSTREAMS && !table->synced)
		fol_unlist_missing(fol, answer->changes);
	else if (table->table == SRC_UPSTREAMS)
		fol_tell(fol, table->version, answer);
	if (table->table == SRC_CONFIG && fol->env->config)
		fresh_confirm(&fol->env->fresh, table->sent_us);
	/* Versions also grow by rows that are not followed. */
	if (table->table == SRC_UPSTREAMS && (answer->changes->len > 0 || !table->synced))
		fol->list_changed = answer->version;
	table->version = MAX(table->version, answer->version);
	table->synced = true;
	table->ever = table->table != SRC_CONFIG || fol->env->config;
}

static void fol_failed(struct fol_table *table, enum src_result result)
{
	uint64_t delay_ms = FOL_RETRY_FIRST_MS << MIN(table->failures, 3);
	gint32 spread = g_rand_int_range(table->fol->env->rand, 0, FOL_RETRY_FIRST_MS);

	metric_add(table->fol->env->metric, METRIC_TABLE_ERRORS, 1);
	table->failures++;
	if (table->failures >= FOL_LOST_FAILURES)
		fol_set_lost(table->fol, true, fol_result_names[result]);
	fol_call_in(table, MIN(delay_ms, FOL_RETRY_MAX_MS) + (uint64_t)spread);
}

static void fol_on_answer(void *arg, const struct src_answer *answer)
{
	struct fol_table *table = arg;
	struct fol *fol = table->fol;
	uint64_t spent_ms = uv_now(fol->env->loop) - table->sent_ms;
	uint64_t pace_ms = table->table == SRC_UPSTREAMS ? fol->env->set->list_pace_ms : 0;

	table->call = NULL;
	if (answer->result == SRC_HISTORY_GONE) {
		log_event(LOG_STORE_HISTORY_GONE, "table",
			  table->table == SRC_CONFIG ? "configuration" : "upstreams", NULL);
		table->synced = false;
		table->failures = 0;
		fol_call_in(table, 0);
		return;
	}
	if (answer->result != SRC_OK) {
		fol_failed(table, answer->result);
		return;
	}
	table->failures = 0;
	if (fol->tables[0].failures == 0 && fol->tables[1].failures == 0)
		fol_set_lost(fol, false, "answered");
	fol_apply(table, answer);
	/* Another instance follows the list while it answers. */
	if (table->table == SRC_UPSTREAMS && fol->delegated && !table->behind)
		return;
	fol_call_in(table, spent_ms < pace_ms ? pace_ms - spent_ms : 0);
}

static void fol_on_confirmed(void *arg, const struct src_answer *answer)
{
	struct fol *fol = arg;

	fol->confirm = NULL;
	if (answer->result != SRC_OK) {
		metric_add(fol->env->metric, METRIC_TABLE_ERRORS, 1);
		return;
	}
	for (guint i = 0; i < answer->changes->len; i++)
		fol_apply_config(fol, answer->changes->pdata[i]);
	if (fol->env->config)
		fresh_confirm(&fol->env->fresh, fol->confirm_us);
}

/* Asks the store itself when neither its waiting call nor a delegate confirms in time. The
 * waiting call may still be a long one, from the time when a delegate confirmed. */
static void fol_check_confirmed(struct fol *fol)
{
	struct env *env = fol->env;
	const struct fol_table *table = &fol->tables[0];
	uint64_t now_us = env_boot_us();
	uint64_t age_us = fresh_age_us(&env->fresh, now_us);
	uint64_t now_ms = uv_now(env->loop);

	if (!table->synced || fol->confirm || age_us < env_fresh_part_us(env, FOL_CONFIRM_PART) ||
	    now_ms - fol->confirm_ms < FOL_CONFIRM_REST_MS)
		return;
	fol->confirm_us = now_us;
	fol->confirm_ms = now_ms;
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	fol->confirm = env->source->ops->follow(env->source->ctx, SRC_CONFIG, table->version, 0,
						fol_on_confirmed, fol);
}

static void fol_on_tick(uv_timer_t *timer)
{
	struct fol *fol = timer->data;

	fol_check_confirmed(fol);
	fleet_tick(fol->env->fleet, env_now_us());
}
