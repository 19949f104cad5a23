#include "store_watch.h"

#include "flamingolatch/delta.h"
#include "flamingolatch/evacuation.h"

#include <stdio.h>
#include <string.h>

#define STORE_WATCH_RETRY_MIN_MS 100
#define STORE_WATCH_RETRY_MAX_MS 2000
/* While another instance watches the store, the own access is only probed. */
#define STORE_WATCH_PROBE_MIN_MS 2000
#define STORE_WATCH_PROBE_MAX_MS 8000
/* In a row: one broken connection is no outage. */
#define STORE_WATCH_UNREACHABLE_FAILURE_COUNT 2
/* Fractions of the time for which a confirmation of the configuration is valid. */
#define STORE_WATCH_DELEGATE_WAIT_FRACTION 0.15 /* wait of a watch that dependents rely on */
#define STORE_WATCH_ALONE_WAIT_FRACTION	   0.2	/* wait of a watch that only this instance uses */
/* Time between two reads of the configuration of which the first brought a new version: versions
 * in quick succession are read together. */
#define STORE_WATCH_CONFIG_PACE_MS   150
#define STORE_WATCH_TICK_MS	     250
#define STORE_WATCH_CONFIG_MAX_BYTES (8U << 20)
/* Between two whole reads of the list because a dependent has another one. */
#define STORE_WATCH_DIFFERS_INTERVAL_US (60ULL * 1000 * 1000)
/* Items of a configuration decoded at a time: 0.2 ms, or 2 ms on a tenth of a core. */
#define STORE_WATCH_DECODE_ITEMS 16

/* One watched table. */
struct store_watch_table {
	struct store_watch *watch;
	enum store_table table;
	struct store_call *call;
	uv_timer_t timer; /* delay before the next call */
	struct store_cursor cursor;
	struct store_position asked; /* that of the cursor when the call was sent */
	bool whole;		     /* the call reads the whole table */
	uint64_t sent_boot_us;	     /* when the call was sent, by env_boot_us() */
	uint64_t sent_loop_ms;	     /* the same by uv_now() */
	uint32_t consecutive_failures;
	uint32_t consecutive_gaps;    /* watches in a row that were told to read the table */
	uint32_t consecutive_rejects; /* configurations in a row that did not decode */
	bool has_data;	/* was read at least once; for the configuration, one is in force */
	bool immediate; /* the next call does not wait for a change */
};

/* A configuration that is being decoded. */
struct store_watch_decode {
	struct store_config_decoder *decoder; /* NULL when there is none */
	GBytes *text;
	uint64_t version;		/* as the delegate stated it; 0 from the store */
	struct store_position position; /* of the store, which the configuration is part of */
	struct store_position asked;	/* of the store's call that it came with */
	uint64_t sent_boot_us;		/* the same: when it was sent */
	bool whole;			/* the same: it read the whole table */
};

struct store_watch {
	struct env *env;
	struct store_watch_callbacks callbacks;
	struct store_watch_decode decode;
	uv_idle_t decode_idle;		    /* runs while there is something to decode */
	struct store_watch_table tables[2]; /* STORE_TABLE_CONFIG and STORE_TABLE_UPSTREAMS */
	uv_timer_t tick;
	struct store_history history;
	uint64_t reachable_since_us; /* end of the last outage of the store; 0 before the first */
	uint32_t open_handles;
	bool unreachable;
	bool watching;
	bool probing;
	bool has_dependents;
	uint64_t probe_delay_ms;	     /* until the next probe */
	struct store_position list_position; /* of the last change of the instance list */
	/* Changes from another position than that of the list were applied: nothing leads on from
	 * the list but a whole one. */
	bool list_is_mixed;
	uint64_t differed_us; /* when a dependent had another list; 0 before */
	struct evacuation *evacuation;
	GBytes *config_text;   /* of the configuration in force */
	GBytes *previous_text; /* of the one before; NULL when there is none */
	uint64_t previous_version;
	struct store_watch_config whole;      /* the configuration in force; packed when needed */
	struct store_watch_config difference; /* the same as a difference from the one before */
};

static const char *const store_watch_result_names[STORE_RESULT_COUNT] = { "ok", "history-gone",
									  "refused", "conflict",
									  "no-answer" };

static const char *const store_watch_table_names[] = { "configuration", "upstreams" };

static void store_watch_send(struct store_watch_table *table);
static void store_watch_send_after(struct store_watch_table *table, uint64_t delay_ms);
static void store_watch_apply_entry(struct store_watch *watch, const struct store_change *change,
				    uint64_t lapse_until_us);
static void store_watch_unlist_missing(struct store_watch *watch, const GPtrArray *changes,
				       uint64_t lapse_until_us);
static void store_watch_set_config(struct store_watch *watch, struct route_config *config,
				   GBytes *text);
static void store_watch_start_decode(struct store_watch *watch,
				     const struct store_watch_decode *decode);
static void store_watch_on_decode(uv_idle_t *idle);
static void store_watch_mix_list(struct store_watch *watch);
static uint64_t store_watch_retry_ms(struct store_watch *watch, uint32_t failures);
static void store_watch_on_timer(uv_timer_t *timer);
static void store_watch_on_tick(uv_timer_t *timer);
static void store_watch_on_answer(void *arg, const struct store_answer *answer);

/* lifetime */

struct store_watch *store_watch_create(struct env *env,
				       const struct store_watch_callbacks *callbacks)
{
	struct store_watch *watch = g_new0(struct store_watch, 1);

	watch->env = env;
	watch->evacuation = evacuation_create();
	watch->callbacks = *callbacks;
	watch->open_handles = 4;
	uv_idle_init(env->loop, &watch->decode_idle);
	watch->decode_idle.data = watch;
	watch->probe_delay_ms = STORE_WATCH_PROBE_MIN_MS;
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		table->watch = watch;
		table->table = i == 0 ? STORE_TABLE_CONFIG : STORE_TABLE_UPSTREAMS;
		uv_timer_init(env->loop, &table->timer);
		table->timer.data = table;
	}
	uv_timer_init(env->loop, &watch->tick);
	watch->tick.data = watch;
	uv_timer_start(&watch->tick, store_watch_on_tick, STORE_WATCH_TICK_MS, STORE_WATCH_TICK_MS);
	return watch;
}

static void store_watch_clear_packed(struct store_watch_config *config)
{
	if (config->packed)
		g_bytes_unref(config->packed);
	config->packed = NULL;
}

static void store_watch_free(struct store_watch *watch)
{
	store_watch_clear_packed(&watch->whole);
	store_watch_clear_packed(&watch->difference);
	g_clear_pointer(&watch->config_text, g_bytes_unref);
	g_clear_pointer(&watch->previous_text, g_bytes_unref);
	evacuation_destroy(watch->evacuation);
	g_free(watch);
}

static void store_watch_release(struct store_watch *watch)
{
	if (--watch->open_handles == 0)
		store_watch_free(watch);
}

static void store_watch_on_closed(uv_handle_t *handle)
{
	store_watch_release(handle->data);
}

static void store_watch_on_table_closed(uv_handle_t *handle)
{
	store_watch_release(((struct store_watch_table *)handle->data)->watch);
}

static void store_watch_clear_decode(struct store_watch *watch)
{
	watch->env->store_client->ops->decoder_destroy(watch->decode.decoder);
	g_clear_pointer(&watch->decode.text, g_bytes_unref);
	watch->decode.decoder = NULL;
	uv_idle_stop(&watch->decode_idle);
}

void store_watch_destroy(struct store_watch *watch)
{
	if (!watch)
		return;
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		if (table->call)
			watch->env->store_client->ops->cancel(table->call);
		uv_close((uv_handle_t *)&table->timer, store_watch_on_table_closed);
	}
	store_watch_clear_decode(watch);
	uv_close((uv_handle_t *)&watch->tick, store_watch_on_closed);
	uv_close((uv_handle_t *)&watch->decode_idle, store_watch_on_closed);
}

static void store_watch_row_free(gpointer data)
{
	struct store_change *change = data;

	g_free(change->id);
	g_free(change->service);
	g_free(change->address);
	g_free(change->zone);
	g_free(change->software_version);
	g_free(change);
}

void store_watch_changes_free(struct store_watch_changes *changes)
{
	g_ptr_array_unref(changes->rows);
	g_free(changes);
}

/* commands */

void store_watch_set_changed(struct store_watch *watch,
			     void (*list_changed)(void *ctx,
						  const struct store_watch_changes *changes),
			     void (*config_changed)(void *ctx),
			     void (*evacuated_changed)(void *ctx), void *ctx)
{
	watch->callbacks.evacuated_changed = evacuated_changed;
	watch->callbacks.list_changed = list_changed;
	watch->callbacks.config_changed = config_changed;
	watch->callbacks.changed_ctx = ctx;
}

/* Logs who watches the store, and from which version of it this instance would. */
static void store_watch_log_delegated(const struct store_watch *watch)
{
	const struct env *env = watch->env;
	char revision[24];
	char version[24];

	snprintf(revision, sizeof(revision), "%" G_GUINT64_FORMAT,
		 env->config ? route_config_version(env->config) : 0);
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
		 watch->tables[0].cursor.position.version);
	log_event(LOG_STORE_DELEGATED, "delegated", watch->watching ? "no" : "yes", "revision",
		  revision, "version", version, NULL);
}

void store_watch_set_watching(struct store_watch *watch, bool watching)
{
	if (watch->watching == watching)
		return;
	watch->watching = watching;
	store_watch_log_delegated(watch);
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables) && watching; i++) {
		struct store_watch_table *table = &watch->tables[i];

		/* The first answer confirms what was known, so it should come at once. */
		table->immediate = true;
		if (!table->call)
			store_watch_send_after(table, 0);
	}
}

/* Makes a call at once. The answer to an open one may be from the time before. */
static void store_watch_send_now(struct store_watch_table *table)
{
	if (table->call)
		table->watch->env->store_client->ops->cancel(table->call);
	table->call = NULL;
	table->immediate = true;
	store_watch_send_after(table, 0);
}

bool store_watch_check_list(struct store_watch *watch, const char *address,
			    struct store_position position, uint64_t digest)
{
#if defined(FL_FAULT_NO_COMPARE)
	/* Deliberate defect, which the tests have to detect: lists are not compared. */
	digest = 0;
#endif
	uint64_t now_us = env_now_us();
	uint64_t own_digest = fleet_digest(watch->env->fleet, now_us);
	char version[24];

	if (!watch->watching || position.version == 0 || digest == 0 || own_digest == 0 ||
	    digest == own_digest || position.era != watch->list_position.era ||
	    position.version != watch->list_position.version)
		return false;
	if (watch->differed_us && now_us - watch->differed_us < STORE_WATCH_DIFFERS_INTERVAL_US)
		return true;
	watch->differed_us = now_us;
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, position.version);
	log_event(LOG_STORE_LIST_DIFFERS, "dependent", address, "version", version, NULL);
	metric_add(watch->env->metric, METRIC_LIST_DIFFERENCES, 1);
	store_watch_mix_list(watch);
	store_watch_send_now(&watch->tables[1]);
	return false;
}

void store_watch_set_probing(struct store_watch *watch, bool probing)
{
	watch->probing = probing;
}

void store_watch_set_has_dependents(struct store_watch *watch, bool has_dependents)
{
	watch->has_dependents = has_dependents;
}

/* Records the era that an answer or a peer states. */
static void store_watch_note_era(struct store_watch *watch, uint64_t era)
{
	char era_text[24];

	if (!store_history_note(&watch->history, era, env_boot_us()))
		return;
	snprintf(era_text, sizeof(era_text), "%" G_GUINT64_FORMAT, era);
	log_event(LOG_STORE_RESTORED, "era", era_text, NULL);
	/* Entries that are missing now may have been written since the copy, and come back. */
	watch->reachable_since_us = env_now_us();
	fleet_distrust_entries(watch->env->fleet, env_now_us());
	if (watch->callbacks.restored)
		watch->callbacks.restored(watch->callbacks.restored_ctx);
}

/* Records that the configuration in force was the newest at a time, unless the store had just been
 * restored then. */
static void store_watch_confirm_at(struct store_watch *watch, uint64_t confirmed_us)
{
	if (store_history_proves(&watch->history, confirmed_us))
		freshness_confirm(&watch->env->freshness, confirmed_us);
}

/* Moves the cursor of a table to the position of a peer that sent its rows. */
static void store_watch_follow(struct store_watch_table *table, struct store_position position)
{
	if (table->cursor.synced)
		store_cursor_follow(&table->cursor, position);
	else
		store_cursor_set(&table->cursor, position);
}

/* Records that the list was sent or read whole. */
static void store_watch_set_list(struct store_watch *watch, struct store_position position)
{
	watch->list_position = position;
	watch->list_is_mixed = false;
}

/* Records that the list holds changes from another position than its own. Their sender leaves out
 * an entry that is at their end as it was at their beginning, but here it may differ in between. */
static void store_watch_mix_list(struct store_watch *watch)
{
#if defined(FL_FAULT_TRUST_OVERLAP)
	/* Deliberate defect, which the tests have to detect: such changes lead on. */
	return;
#endif
	watch->list_is_mixed = true;
	watch->list_position = (struct store_position){ 0 };
	store_cursor_reset(&watch->tables[1].cursor);
}

/* Tells whether changes of the list may be applied: it has a position that they do not precede, and
 * there are none missing in between. A whole list of the same position corrects it. */
static bool store_watch_accepts(const struct store_watch *watch,
				const struct store_watch_changes *changes)
{
	if (changes->complete)
		return !store_position_is_after(watch->list_position, changes->to);
	if (!store_position_is_after(changes->to, watch->list_position))
		return false;
	/* The own watch brings them in full. */
	if (watch->watching && store_position_is_after(watch->list_position, changes->from))
		return false;
#if defined(FL_FAULT_IGNORE_GAP)
	/* Deliberate defect, which the tests have to detect: some are missing. */
	return true;
#endif
	return watch->list_is_mixed ||
	       (watch->tables[1].has_data &&
		!store_position_is_after(changes->from, watch->list_position));
}

void store_watch_apply_changes(struct store_watch *watch, const struct store_watch_changes *changes)
{
	struct store_watch_table *list = &watch->tables[1];
	uint64_t until_us = changes->lapse_ms ? env_now_us() + changes->lapse_ms * 1000ULL : 0;

	store_watch_note_era(watch, changes->to.era);
	if (!store_watch_accepts(watch, changes))
		return;
	for (guint i = 0; i < changes->rows->len; i++)
		store_watch_apply_entry(watch, changes->rows->pdata[i], until_us);
	if (changes->complete) {
		store_watch_unlist_missing(watch, changes->rows, until_us);
		store_watch_set_list(watch, changes->to);
	} else if (store_position_is_after(watch->list_position, changes->from)) {
		store_watch_mix_list(watch);
	}
	list->has_data = true;
	if (watch->list_is_mixed)
		return;
	store_watch_follow(list, changes->to);
	watch->list_position = changes->to;
}

bool store_watch_apply_config(struct store_watch *watch, const struct store_watch_config *config)
{
	struct env *env = watch->env;
	uint64_t known_version = env->config ? route_config_version(env->config) : 0;
	struct store_watch_decode decode = { .version = config->version,
					     .position = config->position };
	const char *data;
	gsize len;

	/* Versions in quick succession must not restart the decoder again and again. What arrives
	 * in the meantime is sent again after the next query. */
	if (config->version <= known_version || watch->decode.decoder)
		return true;
	if (config->base_version && config->base_version != known_version)
		return false;
	data = g_bytes_get_data(config->packed, &len);
	decode.text = delta_unpack(config->base_version ? watch->config_text : NULL, data, len,
				   STORE_WATCH_CONFIG_MAX_BYTES);
	if (!decode.text)
		return false;
	store_watch_start_decode(watch, &decode);
	g_bytes_unref(decode.text);
	return true;
}

void store_watch_confirm(struct store_watch *watch, uint64_t confirmed_us,
			 struct store_position position)
{
	store_watch_note_era(watch, position.era);
	/* The delegate states no age that a restoration voids. */
	freshness_confirm(&watch->env->freshness, confirmed_us);
	store_cursor_follow(&watch->tables[0].cursor, position);
}

/* Logs the zones that only one of two sets has. */
static void store_watch_log_zones(const struct store_watch *watch, enum log_event_id event,
				  const GPtrArray *with, const GPtrArray *without)
{
	struct store_position position = evacuation_position(watch->evacuation);
	char version[24];
	char era[24];

	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, position.version);
	snprintf(era, sizeof(era), "%" G_GUINT64_FORMAT, position.era);
	for (guint i = 0; i < with->len; i++) {
		const char *zone = with->pdata[i];

		if (evacuation_has_zone(without, zone))
			continue;
		log_event(event, "zone", zone, "version", version, "era", era, NULL);
		if (event == LOG_ZONE_EVACUATED &&
		    !gateway_settings_region_of(watch->env->settings, zone))
			log_event(LOG_EVACUATION_INVALID, "zone", zone, "reason", "unknown-zone",
				  NULL);
	}
}

/* Puts the set of evacuated zones into force and passes it on when it changed. */
static void store_watch_apply_evacuated(struct store_watch *watch, GPtrArray *previous,
					bool changed)
{
	GPtrArray *zones = evacuation_zones(watch->evacuation);

	if (!evacuation_is_known(watch->evacuation) ||
	    (!changed && fleet_knows_evacuated(watch->env->fleet)))
		return;
	fleet_set_evacuated(watch->env->fleet, zones, env_now_us());
	metric_set(watch->env->metric, METRIC_EVACUATED_ZONES, zones->len);
	if (!changed)
		return;
	store_watch_log_zones(watch, LOG_ZONE_EVACUATED, zones, previous);
	store_watch_log_zones(watch, LOG_ZONE_RETURNED, previous, zones);
	if (watch->callbacks.evacuated_changed)
		watch->callbacks.evacuated_changed(watch->callbacks.changed_ctx);
}

void store_watch_adopt_evacuated(struct store_watch *watch, struct store_position position,
				 const GPtrArray *zones)
{
	g_autoptr(GPtrArray) previous = g_ptr_array_ref(evacuation_zones(watch->evacuation));
	bool changed;

	store_watch_note_era(watch, position.era);
	changed = evacuation_adopt(watch->evacuation, position, zones);
	store_watch_apply_evacuated(watch, previous, changed);
}

void store_watch_confirm_zones(struct store_watch *watch, uint64_t as_of_us)
{
	if (as_of_us >= watch->env->zones_doubted_us)
		watch->env->zones_doubted_us = 0;
}

void store_watch_recheck_zones(struct store_watch *watch)
{
	if (watch->watching)
		store_watch_send_now(&watch->tables[0]);
}

void store_watch_read_now(struct store_watch *watch, bool config, bool list)
{
	const bool wanted[] = { config, list };

	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		if (!wanted[i] || table->call)
			continue;
		table->immediate = true;
		store_watch_send_after(table, 0);
	}
}

/* queries */

/* Packs the configuration in force if that was not done yet. */
static const struct store_watch_config *
store_watch_pack(struct store_watch *watch, struct store_watch_config *config, GBytes *base)
{
	if (!config->packed)
		config->packed = delta_pack(base, watch->config_text);
	config->position = watch->tables[0].cursor.position;
	return config->packed ? config : NULL;
}

const struct store_watch_config *store_watch_config_for(struct store_watch *watch,
							uint64_t known_version)
{
	if (!watch->config_text)
		return NULL;
	watch->whole.version = route_config_version(watch->env->config);
	watch->difference.version = watch->whole.version;
	watch->difference.base_version = watch->previous_version;
	if (watch->previous_text && known_version == watch->previous_version)
		return store_watch_pack(watch, &watch->difference, watch->previous_text);
	return store_watch_pack(watch, &watch->whole, NULL);
}

uint64_t store_watch_previous_version(const struct store_watch *watch)
{
	return watch->previous_version;
}

static void store_watch_add_entry(void *ctx, const struct fleet_entry *entry)
{
	struct store_change *row = g_new0(struct store_change, 1);

	row->id = g_strdup(entry->id);
	row->service = g_strdup(entry->service);
	row->address = g_strdup(entry->address);
	row->zone = g_strdup(entry->zone);
	row->software_version = g_strdup(entry->software_version);
	row->started_ms = entry->started_ms;
	row->slots = entry->slots;
	row->cold_ms = entry->cold_ms;
	row->leaving = entry->leaving;
	g_ptr_array_add(ctx, row);
}

struct store_watch_changes *store_watch_list(struct store_watch *watch)
{
	struct store_watch_changes *changes = g_new0(struct store_watch_changes, 1);

	changes->complete = true;
	changes->to = watch->list_position;
	changes->rows = g_ptr_array_new_with_free_func(store_watch_row_free);
	fleet_foreach_entry(watch->env->fleet, env_now_us(), store_watch_add_entry, changes->rows);
	return changes;
}

struct store_position store_watch_list_position(const struct store_watch *watch)
{
	return watch->list_position;
}

GPtrArray *store_watch_evacuated(const struct store_watch *watch)
{
	return evacuation_zones(watch->evacuation);
}

struct store_position store_watch_evacuated_position(const struct store_watch *watch)
{
	return evacuation_position(watch->evacuation);
}

struct store_position store_watch_config_position(const struct store_watch *watch)
{
	return watch->tables[0].cursor.position;
}

bool store_watch_is_healthy(const struct store_watch *watch)
{
	return store_watch_is_synced(watch) && !watch->unreachable && watch->watching &&
	       watch->tables[1].cursor.synced && watch->tables[0].consecutive_failures == 0 &&
	       watch->tables[1].consecutive_failures == 0;
}

bool store_watch_is_synced(const struct store_watch *watch)
{
	return watch->tables[0].has_data && watch->tables[1].has_data &&
	       evacuation_is_known(watch->evacuation);
}

bool store_watch_is_starting(const struct store_watch *watch)
{
	return watch->watching && !watch->unreachable && !store_watch_is_healthy(watch) &&
	       watch->tables[0].consecutive_failures == 0 &&
	       watch->tables[1].consecutive_failures == 0;
}

bool store_watch_is_unreachable(const struct store_watch *watch)
{
	return watch->unreachable;
}

/* helpers */

/* Returns how long the store may delay its answer to a watch of the configuration, in ms. */
static uint32_t store_watch_config_wait_ms(const struct store_watch *watch)
{
	double fraction = watch->has_dependents ? STORE_WATCH_DELEGATE_WAIT_FRACTION
						: STORE_WATCH_ALONE_WAIT_FRACTION;
	uint64_t wait_ms = env_config_age_limit_us(watch->env, fraction) / 1000;
	uint64_t now_us = env_boot_us();

	wait_ms = MIN(wait_ms, watch->env->settings->config_wait_ms);
	/* After a restoration the first call that confirms something is sent as soon as one can,
	 * and is answered at once. */
	if (!store_history_proves(&watch->history, now_us))
		return (uint32_t)MIN(wait_ms, (watch->history.proves_us - now_us) / 1000 + 1);
	return watch->env->freshness.confirmed_us < watch->history.proves_us ? 0
									     : (uint32_t)wait_ms;
}

/* Returns the counter of a call. A watch that is not needed for itself is a probe. */
static enum metric_counter store_watch_counter(const struct store_watch_table *table)
{
	if (!table->watch->watching && table->watch->unreachable)
		return METRIC_STORE_PROBES;
	return table->table == STORE_TABLE_CONFIG ? METRIC_STORE_CONFIG_CALLS
						  : METRIC_STORE_LIST_CALLS;
}

/* Has the table of the configuration watched from where both the configuration and the evacuated
 * zones are known: a configuration that a peer sent moves the cursor, but not the zones. */
static void store_watch_include_zones(struct store_watch_table *table)
{
	struct store_position zones = evacuation_position(table->watch->evacuation);
	struct store_cursor *cursor = &table->cursor;

	if (!evacuation_is_known(table->watch->evacuation) || zones.era != cursor->position.era)
		store_cursor_reset(cursor);
	else if (store_position_is_after(cursor->position, zones))
		store_cursor_set(cursor, zones);
}

static void store_watch_send(struct store_watch_table *table)
{
	struct env *env = table->watch->env;
	const struct store_ops *ops = env->store_client->ops;
	uint32_t wait_ms = table->table == STORE_TABLE_CONFIG
				   ? store_watch_config_wait_ms(table->watch)
				   : (uint32_t)env->settings->list_wait_ms;

	if (table->immediate)
		wait_ms = 0;
	table->immediate = false;
	if (table->table == STORE_TABLE_CONFIG && table->cursor.synced)
		store_watch_include_zones(table);
	table->asked = table->cursor.position;
	table->whole = !table->cursor.synced;
	table->sent_boot_us = env_boot_us();
	table->sent_loop_ms = uv_now(env->loop);
	metric_add(env->metric, METRIC_TABLE_READS, 1);
	metric_add(env->metric, store_watch_counter(table), 1);
	if (!table->whole)
		table->call = ops->watch(env->store_client->ctx, table->table,
					 table->cursor.position.version, wait_ms,
					 store_watch_on_answer, table);
	else
		table->call = ops->read(env->store_client->ctx, table->table, store_watch_on_answer,
					table);
}

/* Tells whether a configuration of the store, not of a delegate, is being decoded. */
static bool store_watch_decodes_answer(const struct store_watch *watch)
{
	return watch->decode.decoder && watch->decode.version == 0;
}

static void store_watch_on_timer(uv_timer_t *timer)
{
	struct store_watch_table *table = timer->data;
	struct store_watch *watch = table->watch;
	bool list_waits = table->table == STORE_TABLE_UPSTREAMS && watch->unreachable &&
			  watch->tables[0].consecutive_failures > 0;

	if (table->call || (!watch->watching && !watch->unreachable && !table->immediate))
		return;
	/* The next call is made from where the configuration that is being decoded leaves off. */
	if (table->table == STORE_TABLE_CONFIG && store_watch_decodes_answer(watch))
		return;
	/* One table shows whether the store answers again; the other waits for it. */
	if (list_waits) {
		if (watch->watching)
			store_watch_send_after(table, STORE_WATCH_TICK_MS);
		return;
	}
	store_watch_send(table);
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
	watch->probe_delay_ms = STORE_WATCH_PROBE_MIN_MS;
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

/* Puts a newer configuration into force and keeps the text of the one before. */
static void store_watch_set_config(struct store_watch *watch, struct route_config *config,
				   GBytes *text)
{
	struct env *env = watch->env;

	store_watch_clear_packed(&watch->whole);
	store_watch_clear_packed(&watch->difference);
	g_clear_pointer(&watch->previous_text, g_bytes_unref);
	watch->previous_text = watch->config_text;
	watch->previous_version = env->config ? route_config_version(env->config) : 0;
	watch->config_text = g_bytes_ref(text);
	watch->callbacks.config(watch->callbacks.config_ctx, config);
}

static void store_watch_start_decode(struct store_watch *watch,
				     const struct store_watch_decode *decode)
{
	store_watch_clear_decode(watch);
	watch->decode = *decode;
	g_bytes_ref(decode->text);
	watch->decode.decoder = watch->env->store_client->ops->decoder_create(decode->text);
	uv_idle_start(&watch->decode_idle, store_watch_on_decode);
}

static void store_watch_log_older(uint64_t version, uint64_t known_version)
{
	char version_text[24];
	char known_text[24];

	snprintf(version_text, sizeof(version_text), "%" G_GUINT64_FORMAT, version);
	snprintf(known_text, sizeof(known_text), "%" G_GUINT64_FORMAT, known_version);
	log_event(LOG_STORE_CONFIG_OLDER, "revision", version_text, "in_force", known_text, NULL);
}

/* Moves the cursor of a table to the position of an answer whose rows have been applied.
 * @return false when the table has to be read whole */
static bool store_watch_advance(struct store_watch_table *table, bool whole,
				struct store_position asked, struct store_position position)
{
	/* The store was restored since, perhaps while the configuration was decoded. */
	if (store_position_is_void(position, table->watch->history.era)) {
		store_cursor_reset(&table->cursor);
		return false;
	}
	if (!whole)
		return store_cursor_advance(&table->cursor, asked, position);
	store_cursor_set(&table->cursor, position);
	return true;
}

/* Puts a decoded configuration into force. */
static void store_watch_finish_decode(struct store_watch *watch, struct route_config *config)
{
	struct store_watch_table *table = &watch->tables[0];
	const struct store_watch_decode *decode = &watch->decode;
	const struct env *env = watch->env;
	uint64_t known_version = env->config ? route_config_version(env->config) : 0;
	bool from_store = decode->version == 0;

	if (route_config_version(config) > known_version) {
		store_watch_set_config(watch, config, decode->text);
		if (from_store && watch->callbacks.config_changed)
			watch->callbacks.config_changed(watch->callbacks.changed_ctx);
	} else if (route_config_version(config) < known_version) {
		store_watch_log_older(route_config_version(config), known_version);
	}
	table->has_data = true;
	if (!from_store)
		store_watch_follow(table, decode->position);
	else if (store_watch_advance(table, decode->whole, decode->asked, decode->position))
		store_watch_confirm_at(watch, decode->sent_boot_us);
}

/* Decodes a part of a configuration; between two parts the loop serves the streams. */
static void store_watch_on_decode(uv_idle_t *idle)
{
	struct store_watch *watch = idle->data;
	struct store_watch_table *table = &watch->tables[0];
	const struct store_ops *ops = watch->env->store_client->ops;
	uint64_t stated_version = watch->decode.version;
	bool from_store = stated_version == 0;
	struct route_config *config;
	uint64_t delay_ms = 0;

	if (!ops->decoder_step(watch->decode.decoder, STORE_WATCH_DECODE_ITEMS))
		return;
	config = ops->decoder_result(watch->decode.decoder);
	if (config && (from_store || route_config_version(config) == stated_version)) {
		store_watch_finish_decode(watch, config);
		table->consecutive_rejects = 0;
	} else {
		/* Neither the cursor nor the confirmation moves past it: it may revoke keys. */
		log_event(LOG_CONFIG_REJECTED, "source", from_store ? "store" : "delegate", NULL);
		if (from_store)
			delay_ms = store_watch_retry_ms(watch, ++table->consecutive_rejects);
	}
	route_config_unref(config);
	store_watch_clear_decode(watch);
	if (watch->watching && !table->call)
		store_watch_send_after(table, delay_ms);
}

/* Returns the rows of an answer that evacuate zones, as an array of struct evacuation_row. */
static GArray *store_watch_evacuation_rows(const struct store_answer *answer)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct evacuation_row));

	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];
		struct evacuation_row row = { change->zone, change->removed };

		if (change->config_text || !change->zone)
			continue;
		if (!change->malformed)
			g_array_append_val(rows, row);
		else if (!change->removed)
			log_event(LOG_EVACUATION_INVALID, "zone", change->zone, "reason",
				  "malformed", NULL);
	}
	return rows;
}

/* Applies the evacuated zones of an answer. This does not wait for a configuration that came with
 * them to be decoded. */
static void store_watch_apply_zones(const struct store_watch_table *table,
				    const struct store_answer *answer)
{
	struct store_watch *watch = table->watch;
	g_autoptr(GPtrArray) previous = g_ptr_array_ref(evacuation_zones(watch->evacuation));
	g_autoptr(GArray) rows = NULL;
	bool changed;

	/* The store was restored since; the table is read again. */
	if (store_position_is_void(answer->position, watch->history.era))
		return;
	rows = store_watch_evacuation_rows(answer);
	changed = table->whole ? evacuation_replace(watch->evacuation, answer->position, rows)
			       : evacuation_change(watch->evacuation, table->asked,
						   answer->position, rows);
	store_watch_apply_evacuated(watch, previous, changed);
	/* Not after an answer of another era than the one that was asked for. */
	if (!store_position_is_after(answer->position, evacuation_position(watch->evacuation)))
		store_watch_confirm_zones(watch, table->sent_boot_us);
}

/* Starts to decode the configuration of an answer. @return false when it has none */
static bool store_watch_decode_answer(struct store_watch_table *table,
				      const struct store_answer *answer)
{
	struct store_watch_decode decode = { .position = answer->position,
					     .asked = table->asked,
					     .sent_boot_us = table->sent_boot_us,
					     .whole = table->whole };

	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];

		if (change->config_text)
			decode.text = change->config_text;
	}
	if (decode.text)
		store_watch_start_decode(table->watch, &decode);
	return decode.text != NULL;
}

/* Returns the entry of a row that is one. It refers to the row's strings. */
static struct fleet_entry store_watch_entry(const struct store_change *row)
{
	uint64_t wall_ms = (uint64_t)g_get_real_time() / 1000;

	return (struct fleet_entry){
		.id = row->id,
		.service = row->service,
		.address = row->address,
		.zone = row->zone,
		.software_version = row->software_version,
		.started_ms = row->started_ms,
		.slots = row->slots,
		/* 0 when it is unknown, or later than the clock here says. */
		.age_ms = row->started_ms && wall_ms > row->started_ms ? wall_ms - row->started_ms
								       : 0,
		.cold_ms = row->cold_ms,
		.leaving = row->leaving,
	};
}

static void store_watch_apply_entry(struct store_watch *watch, const struct store_change *change,
				    uint64_t lapse_until_us)
{
	struct env *env = watch->env;
	uint64_t now_us = env_now_us();
	struct fleet_entry entry = store_watch_entry(change);

	if (change->malformed)
		log_event(LOG_UPSTREAM_ENTRY_INVALID, "upstream", change->id, NULL);
	if (change->removed || change->malformed)
		fleet_remove_entry(env->fleet, change->id, lapse_until_us, now_us);
	else
		fleet_put_entry(env->fleet, &entry, now_us);
	metric_set(env->metric, METRIC_UPSTREAMS, fleet_count(env->fleet));
}

/* Tells whether a row changes the list as it is now. The store also sends an entry that its
 * upstream only renewed, or whose cold time has advanced. */
static bool store_watch_row_changes(const struct store_watch *watch, const struct store_change *row)
{
	struct fleet_entry entry = store_watch_entry(row);

	return row->removed || row->malformed || !fleet_has_entry(watch->env->fleet, &entry) ||
	       !fleet_has_cold_time(watch->env->fleet, &entry, env_now_us());
}

/* Applies rows in their order. A row is compared with the list that the rows before it left: an
 * answer may remove an entry and list it again.
 * @return the rows that changed something */
static GPtrArray *store_watch_apply_rows(struct store_watch *watch, const GPtrArray *rows,
					 uint64_t lapse_until_us)
{
	GPtrArray *effective = g_ptr_array_new();
#if defined(FL_FAULT_COMPARE_BATCH)
	/* Deliberate defect, which the tests have to detect: compares with the list before all
	 * rows.
	 */
	g_autofree bool *changes = g_new(bool, rows->len + 1);

	for (guint i = 0; i < rows->len; i++)
		changes[i] = store_watch_row_changes(watch, rows->pdata[i]);
#endif

	for (guint i = 0; i < rows->len; i++) {
		struct store_change *row = rows->pdata[i];

#if defined(FL_FAULT_COMPARE_BATCH)
		if (!changes[i])
			continue;
#endif
		if (!store_watch_row_changes(watch, row))
			continue;
		store_watch_apply_entry(watch, row, lapse_until_us);
		g_ptr_array_add(effective, row);
	}
	metric_add(watch->env->metric, METRIC_STORE_ROWS_UNCHANGED, rows->len - effective->len);
	return effective;
}

/* Logs an answer that changed the instance list. */
static void store_watch_log_rows(const struct store_answer *answer, const GPtrArray *effective)
{
	char version[24];
	char rows[16];
	char removed[16];
	char unchanged[16];
	uint32_t removed_count = 0;

	if (effective->len == 0)
		return;
	for (guint i = 0; i < answer->changes->len; i++)
		removed_count += ((const struct store_change *)answer->changes->pdata[i])->removed;
	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, answer->position.version);
	snprintf(rows, sizeof(rows), "%u", answer->changes->len);
	snprintf(removed, sizeof(removed), "%u", removed_count);
	snprintf(unchanged, sizeof(unchanged), "%u", answer->changes->len - effective->len);
	log_event(LOG_STORE_LIST_CHANGED, "version", version, "rows", rows, "removed", removed,
		  "unchanged", unchanged, NULL);
}

/* Unlists the upstreams that a whole list does not have. */
static void store_watch_unlist_missing(struct store_watch *watch, const GPtrArray *changes,
				       uint64_t lapse_until_us)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) known = fleet_ids(watch->env->fleet);

	for (guint i = 0; i < changes->len; i++)
		g_hash_table_add(listed, ((struct store_change *)changes->pdata[i])->id);
	for (guint i = 0; i < known->len; i++) {
		if (!g_hash_table_contains(listed, known->pdata[i]))
			fleet_remove_entry(watch->env->fleet, known->pdata[i], lapse_until_us,
					   env_now_us());
	}
}

/* Reports changes of the instance list to the callback, which sends them to the dependents. */
static void store_watch_report_changes(struct store_watch *watch, struct store_position to,
				       GPtrArray *rows)
{
	uint64_t until_us = store_watch_lapse_until_us(watch);
	uint64_t now_us = env_now_us();
	struct store_watch_changes changes = {
		.from = watch->list_position,
		.to = to,
		.lapse_ms = until_us > now_us ? (uint32_t)((until_us - now_us) / 1000) : 0,
		.rows = rows
	};

	if (watch->callbacks.list_changed && rows->len > 0)
		watch->callbacks.list_changed(watch->callbacks.changed_ctx, &changes);
}

/* Tells whether a delegate has passed on all changes of an answer, and perhaps later ones, since
 * the call was sent. */
static bool store_watch_is_overtaken(const struct store_watch_table *table,
				     const struct store_answer *answer)
{
	struct store_position known = table->watch->list_position;

#if defined(FL_FAULT_UNDO_LATER)
	/* Deliberate defect, which the tests have to detect: applies every answer. */
	return false;
#endif
	return !table->whole && store_position_is_after(known, table->asked) &&
	       !store_position_is_after(answer->position, known);
}

static void store_watch_apply_list_answer(struct store_watch_table *table,
					  const struct store_answer *answer)
{
	struct store_watch *watch = table->watch;
	uint64_t lapse_until_us = store_watch_lapse_until_us(watch);
	g_autoptr(GPtrArray) rows = NULL;

	/* Its rows would undo later ones, which the cursor has passed. */
	if (store_watch_is_overtaken(table, answer))
		return;
	rows = store_watch_apply_rows(watch, answer->changes, lapse_until_us);
	store_watch_log_rows(answer, rows);
	if (table->whole) {
		store_watch_unlist_missing(watch, answer->changes, lapse_until_us);
		store_watch_set_list(watch, answer->position);
		return;
	}
	/* The table is read whole before this instance can be a delegate again. */
	if (watch->list_is_mixed)
		return;
	store_watch_report_changes(watch, answer->position, rows);
	/* The version of the store also grows with changes of other rows. */
	if (rows->len > 0)
		watch->list_position = answer->position;
}

/* Applies an answer. The cursor stays behind a configuration until it is in force: the position is
 * passed on beside the version in force.
 * @return false when the table has to be read whole */
static bool store_watch_apply_answer(struct store_watch_table *table,
				     const struct store_answer *answer)
{
	struct store_watch *watch = table->watch;

	if (table->table == STORE_TABLE_CONFIG) {
		store_watch_apply_zones(table, answer);
		if (store_watch_decode_answer(table, answer))
			return true;
	}
	if (!store_watch_advance(table, table->whole, table->asked, answer->position))
		return false;
	if (table->table == STORE_TABLE_UPSTREAMS) {
		store_watch_apply_list_answer(table, answer);
		table->has_data = true;
	} else if (watch->env->config) {
		store_watch_confirm_at(watch, table->sent_boot_us);
		table->has_data = true;
	}
	return true;
}

/* Logs an event of a table with a version of the store and the era that the store states. */
static void store_watch_log(enum log_event_id event, const struct store_watch_table *table,
			    uint64_t version, uint64_t era)
{
	char version_text[24];
	char era_text[24];

	snprintf(version_text, sizeof(version_text), "%" G_GUINT64_FORMAT, version);
	snprintf(era_text, sizeof(era_text), "%" G_GUINT64_FORMAT, era);
	log_event(event, "table", store_watch_table_names[table->table], "version", version_text,
		  "era", era_text, NULL);
}

/* Returns the delay before a failed call is repeated: it doubles, and a random half of it keeps
 * instances that failed together apart. */
static uint64_t store_watch_retry_ms(struct store_watch *watch, uint32_t failures)
{
	uint64_t delay_ms = STORE_WATCH_RETRY_MIN_MS << MIN(failures - 1, 5);

	if (!watch->watching) {
		delay_ms = watch->probe_delay_ms;
		watch->probe_delay_ms = MIN(delay_ms * 2, STORE_WATCH_PROBE_MAX_MS);
	}
	delay_ms = watch->watching ? MIN(delay_ms, STORE_WATCH_RETRY_MAX_MS) : delay_ms;
	return delay_ms / 2 +
	       (uint64_t)g_rand_int_range(watch->env->rand, 0, (gint32)MAX(delay_ms / 2, 1));
}

static void store_watch_on_failure(struct store_watch_table *table, enum store_result result)
{
	struct store_watch *watch = table->watch;

	metric_add(watch->env->metric, METRIC_TABLE_ERRORS, 1);
	table->consecutive_failures++;
	if (table->consecutive_failures >= STORE_WATCH_UNREACHABLE_FAILURE_COUNT)
		store_watch_set_unreachable(watch, true, store_watch_result_names[result]);
	if (watch->watching ||
	    (watch->probing && watch->unreachable && table->table == STORE_TABLE_CONFIG))
		store_watch_send_after(table,
				       store_watch_retry_ms(watch, table->consecutive_failures));
}

/* Returns the shortest time between two calls for a table, in ms. */
static uint64_t store_watch_pace_ms(const struct store_watch_table *table,
				    const struct store_answer *answer)
{
	if (table->table == STORE_TABLE_UPSTREAMS)
		return table->watch->env->settings->list_pace_ms;
	return answer->changes->len > 0 ? STORE_WATCH_CONFIG_PACE_MS : 0;
}

/* Reads a table whole: its changes since the last answer are not to be had. */
static void store_watch_read_again(struct store_watch_table *table, uint64_t era)
{
	store_watch_log(LOG_STORE_HISTORY_GONE, table, table->cursor.position.version, era);
	store_cursor_reset(&table->cursor);
	table->consecutive_failures = 0;
	table->immediate = true;
	store_watch_send_after(
		table, table->consecutive_gaps == 0
			       ? 0
			       : store_watch_retry_ms(table->watch, table->consecutive_gaps));
	table->consecutive_gaps++;
}

/* Ends open calls that watch from a version of an earlier era than that of an answer: their
 * versions mean nothing to the store now. */
static void store_watch_check_era(struct store_watch *watch, uint64_t era)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(watch->tables); i++) {
		struct store_watch_table *table = &watch->tables[i];

		if (!table->call || table->whole || !store_position_is_void(table->asked, era))
			continue;
		watch->env->store_client->ops->cancel(table->call);
		table->call = NULL;
		store_watch_read_again(table, era);
	}
}

static void store_watch_on_answer(void *arg, const struct store_answer *answer)
{
	struct store_watch_table *table = arg;
	struct store_watch *watch = table->watch;
	uint64_t elapsed_ms = uv_now(watch->env->loop) - table->sent_loop_ms;
	uint64_t min_interval_ms;

	table->call = NULL;
	metric_add(watch->env->metric, METRIC_STORE_BYTES_RECEIVED, answer->received_bytes);
	store_watch_note_era(watch, answer->position.era);
	if (answer->result == STORE_HISTORY_GONE) {
		store_watch_read_again(table, answer->position.era);
		return;
	}
	if (answer->result != STORE_OK) {
		store_watch_on_failure(table, answer->result);
		return;
	}
	table->consecutive_failures = 0;
	/* Without a watch of the list its failures are of the past. */
	if (!watch->watching)
		watch->tables[1].consecutive_failures = 0;
	if (watch->tables[0].consecutive_failures == 0 &&
	    watch->tables[1].consecutive_failures == 0)
		store_watch_set_unreachable(watch, false, "answered");
	store_watch_check_era(watch, answer->position.era);
	min_interval_ms = store_watch_pace_ms(table, answer);
	if (!store_watch_apply_answer(table, answer)) {
		store_watch_read_again(table, answer->position.era);
		return;
	}
	if (table->whole)
		store_watch_log(LOG_STORE_TABLE_READ, table, answer->position.version,
				answer->position.era);
	else
		table->consecutive_gaps = 0;
	/* A configuration is followed by the next call when it is decoded. */
	if (watch->watching && (table->table != STORE_TABLE_CONFIG || !watch->decode.decoder))
		store_watch_send_after(
			table, elapsed_ms < min_interval_ms ? min_interval_ms - elapsed_ms : 0);
}

static void store_watch_on_tick(uv_timer_t *timer)
{
	struct store_watch *watch = timer->data;

	fleet_tick(watch->env->fleet, env_now_us());
}
