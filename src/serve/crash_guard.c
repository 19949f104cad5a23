#include "crash_guard.h"

#include "crash_guard_message.h"

#include "flamingolatch/quarantine.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CRASH_GUARD_TICK_MS 50
/* Own crash reports are sent once more, to peers that were not connected yet. */
#define CRASH_GUARD_REPEAT_US (500ULL * 1000)
/* While something is quarantined, a few peers are told so again. */
#define CRASH_GUARD_REMIND_US	 (1000ULL * 1000)
#define CRASH_GUARD_REMIND_COUNT 2
/* One of the instances that quarantine a trait writes its row, the first after a random time. */
#define CRASH_GUARD_WRITE_DELAY_MS 2000
#define CRASH_GUARD_WRITE_RETRY_MS 4000
/* Rows of quarantined traits: prefixes of their keys, and text */
#define CRASH_GUARD_PART_PREFIX	   "part/"
#define CRASH_GUARD_REQUEST_PREFIX "request/"
#define CRASH_GUARD_ROW_FORMAT	   "%" G_GINT64_FORMAT " %" G_GUINT64_FORMAT /* end, duration in ms */

/* The row of a quarantined trait. */
struct crash_guard_row {
	struct crash_guard *guard;
	struct store_call *call; /* open write or removal, or NULL */
	uint64_t trait;
	uint64_t due_us; /* when it is written; 0: not by this instance, or done */
	bool is_request; /* the trait is a fingerprint */
	bool removing;
};

struct crash_guard {
	struct env *env;
	struct peer_exchange *exchange;
	struct quarantine *quarantine;
	struct crash_guard_message outgoing; /* for all peers, with the next tick */
	struct crash_guard_message repeated; /* crash reports that are sent once more */
	uint64_t repeat_us;
	uint64_t reminded_us;
	GHashTable *rows;      /* trait to struct crash_guard_row */
	GHashTable *read_rows; /* set of traits: those of the rows that are being read */
	void (*quarantined_cb)(void *ctx);
	void *quarantined_ctx;
	uv_timer_t tick;
};

static void crash_guard_on_added(void *ctx, const struct quarantine_entry *entry, uint32_t crashes);
static void crash_guard_on_ended(void *ctx, const struct quarantine_entry *entry);
static void crash_guard_on_cleared(void *ctx, uint64_t trait, bool is_request,
				   uint64_t progress_us);
static void crash_guard_on_tick(uv_timer_t *timer);
static void crash_guard_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void crash_guard_on_joined(void *ctx, const char *address);
static void crash_guard_on_row(void *ctx, const char *id, const char *text);
static void crash_guard_on_rows_end(void *ctx);

/* Applies the settings, which may have been loaded again. */
static void crash_guard_apply_settings(struct crash_guard *guard)
{
	quarantine_set_duration(guard->quarantine,
				guard->env->settings->load.quarantine_s * 1000000ULL);
}

/* lifetime */

static void crash_guard_row_free(gpointer data)
{
	struct crash_guard_row *row = data;

	if (row->call)
		row->guard->env->store_client->ops->cancel(row->call);
	g_free(row);
}

struct crash_guard *crash_guard_create(struct env *env, struct peer_exchange *exchange)
{
	struct crash_guard *guard = g_new0(struct crash_guard, 1);
	struct quarantine_callbacks callbacks = { crash_guard_on_added, crash_guard_on_ended,
						  crash_guard_on_cleared, guard };

	guard->env = env;
	guard->exchange = exchange;
	guard->quarantine = quarantine_create(&callbacks, g_rand_int(env->rand));
	crash_guard_apply_settings(guard);
	crash_guard_message_init(&guard->outgoing);
	crash_guard_message_init(&guard->repeated);
	guard->rows =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, crash_guard_row_free);
	peer_exchange_set_message_cb(exchange, CRASH_GUARD_MSG, crash_guard_on_message, guard);
	peer_exchange_set_joined_cb(exchange, crash_guard_on_joined, guard);
	guard->read_rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	peer_exchange_set_row_cb(exchange, crash_guard_on_row, crash_guard_on_rows_end, guard);
	uv_timer_init(env->loop, &guard->tick);
	guard->tick.data = guard;
	uv_timer_start(&guard->tick, crash_guard_on_tick, CRASH_GUARD_TICK_MS, CRASH_GUARD_TICK_MS);
	return guard;
}

static void crash_guard_on_closed(uv_handle_t *handle)
{
	struct crash_guard *guard = handle->data;

	quarantine_destroy(guard->quarantine);
	crash_guard_message_clear(&guard->outgoing);
	crash_guard_message_clear(&guard->repeated);
	g_free(guard);
}

void crash_guard_destroy(struct crash_guard *guard)
{
	if (!guard)
		return;
	peer_exchange_set_message_cb(guard->exchange, CRASH_GUARD_MSG, NULL, NULL);
	peer_exchange_set_joined_cb(guard->exchange, NULL, NULL);
	peer_exchange_set_row_cb(guard->exchange, NULL, NULL, NULL);
	g_hash_table_destroy(guard->rows);
	g_hash_table_destroy(guard->read_rows);
	uv_close((uv_handle_t *)&guard->tick, crash_guard_on_closed);
}

void crash_guard_set_quarantined_cb(struct crash_guard *guard, void (*cb)(void *ctx), void *ctx)
{
	guard->quarantined_cb = cb;
	guard->quarantined_ctx = ctx;
}

/* helpers */

/* Sets the traits of a request: the parts of its prompt that other requests may have too, which the
 * last part is not, and its fingerprint. Returns their number. */
static uint32_t crash_guard_traits(const struct protocol_request *request, uint64_t fingerprint,
				   uint64_t traits[QUARANTINE_MAX_TRAITS])
{
	uint32_t shared = request->prompt_part_count > 0 ? request->prompt_part_count - 1 : 0;

	shared = MIN(shared, QUARANTINE_MAX_TRAITS - 1);
	if (shared > 0)
		memcpy(traits, request->prompt_parts, shared * sizeof(traits[0]));
	traits[shared] = fingerprint;
	return shared + 1;
}

/* Returns the word for a kind of trait in logs, the state dump and the keys of rows. */
static const char *crash_guard_kind(bool is_request)
{
	return is_request ? "request" : "part";
}

static void crash_guard_log(enum log_event_id event, const struct quarantine_entry *entry,
			    const char *source, uint64_t left_us, uint32_t crashes)
{
	g_autofree char *name = g_strdup_printf("%" G_GINT64_MODIFIER "x", entry->trait);
	g_autofree char *left = g_strdup_printf("%" G_GUINT64_FORMAT, left_us / 1000);
	g_autofree char *count = g_strdup_printf("%u", crashes);

	log_event(event, crash_guard_kind(entry->is_request), name, "source", source, "left_ms",
		  left, "crashes", count, NULL);
}

/* helpers: rows of the store */

static void crash_guard_on_row_written(void *arg, const struct store_answer *answer)
{
	struct crash_guard_row *row = arg;

	row->call = NULL;
	if (answer->result == STORE_OK) {
		g_array_append_val(row->guard->outgoing.stored, row->trait);
		return;
	}
	metric_add(row->guard->env->metric, METRIC_TABLE_ERRORS, 1);
	row->due_us = env_now_us() + CRASH_GUARD_WRITE_RETRY_MS * 1000ULL;
}

static void crash_guard_write_row(struct crash_guard_row *row, uint64_t now_us)
{
	struct env *env = row->guard->env;
	const struct quarantine_entry *entry =
		quarantine_find(row->guard->quarantine, &row->trait, 1, now_us);
	g_autofree char *id = g_strdup_printf("%s/%" G_GINT64_MODIFIER "x",
					      crash_guard_kind(row->is_request), row->trait);
	g_autofree char *text = NULL;

	row->due_us = 0;
	if (row->removing == (entry != NULL))
		return;
	if (entry)
		text = g_strdup_printf(CRASH_GUARD_ROW_FORMAT,
				       (g_get_real_time() + (gint64)(entry->until_us - now_us)) /
					       1000,
				       entry->duration_us / 1000);
	metric_add(env->metric, METRIC_TABLE_WRITES, 1);
	metric_add(env->metric, METRIC_STORE_QUARANTINE_WRITES, 1);
	row->call = env->store_client->ops->put(env->store_client->ctx, id, text,
						crash_guard_on_row_written, row);
}

/* Has the row of a trait written, or removed, after a random time; earlier plans for it are
 * dropped.
 */
static void crash_guard_schedule_row(struct crash_guard *guard,
				     const struct quarantine_entry *entry, bool removing)
{
	struct crash_guard_row *row = g_hash_table_lookup(guard->rows, &entry->trait);
	uint64_t delay_ms =
		(uint64_t)g_rand_int_range(guard->env->rand, 0, CRASH_GUARD_WRITE_DELAY_MS);

	if (!row) {
		row = g_new0(struct crash_guard_row, 1);
		row->guard = guard;
		row->trait = entry->trait;
		row->is_request = entry->is_request;
		g_hash_table_insert(guard->rows, &row->trait, row);
	}
	row->removing = removing;
	row->due_us = env_now_us() + delay_ms * 1000;
}

/* Drops the plan to write the row of a trait: another instance has written it. */
static void crash_guard_cancel_row(struct crash_guard *guard, uint64_t trait)
{
	struct crash_guard_row *row = g_hash_table_lookup(guard->rows, &trait);

	if (row && !row->removing)
		row->due_us = 0;
}

static void crash_guard_write_due_rows(struct crash_guard *guard, uint64_t now_us)
{
	GHashTableIter iter;
	struct crash_guard_row *row;

	g_hash_table_iter_init(&iter, guard->rows);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&row)) {
		if (row->due_us && now_us >= row->due_us && !row->call)
			crash_guard_write_row(row, now_us);
	}
}

/* Decodes the trait that the key of a row names. @return false for the key of another row */
static bool crash_guard_decode_key(const char *id, struct quarantine_entry *out)
{
	out->is_request = g_str_has_prefix(id, CRASH_GUARD_REQUEST_PREFIX);
	if (!out->is_request && !g_str_has_prefix(id, CRASH_GUARD_PART_PREFIX))
		return false;
	out->trait = g_ascii_strtoull(strchr(id, '/') + 1, NULL, 16);
	return true;
}

/* Applies the row of a quarantined trait. */
static void crash_guard_on_row(void *ctx, const char *id, const char *text)
{
	struct crash_guard *guard = ctx;
	char *rest = NULL;
	gint64 until_ms = g_ascii_strtoll(text, &rest, 10);
	guint64 duration_ms = rest && *rest == ' ' ? g_ascii_strtoull(rest, NULL, 10) : 0;
	gint64 left_ms = until_ms - g_get_real_time() / 1000;
	uint64_t now_us = env_now_us();
	struct quarantine_entry entry = { .until_us = now_us + (uint64_t)MAX(left_ms, 0) * 1000,
					  .duration_us = duration_ms * 1000 };

	if (!crash_guard_decode_key(id, &entry))
		return;
	crash_guard_cancel_row(guard, entry.trait);
	g_hash_table_add(guard->read_rows, g_memdup2(&entry.trait, sizeof(entry.trait)));
	if (left_ms > 0 && quarantine_add_entry(guard->quarantine, &entry, now_us)) {
		crash_guard_log(LOG_QUARANTINED, &entry, "store", entry.until_us - now_us, 0);
		if (guard->quarantined_cb)
			guard->quarantined_cb(guard->quarantined_ctx);
		return;
	}
	/* The quarantine is over, or an answer has disproved it. One of the readers removes the
	 * row. */
	if (!quarantine_find(guard->quarantine, &entry.trait, 1, now_us) &&
	    g_rand_int_range(guard->env->rand, 0, (gint32)guard->env->live_instances) == 0)
		crash_guard_schedule_row(guard, &entry, true);
}

static void crash_guard_check_row(void *ctx, const struct quarantine_entry *entry)
{
	struct crash_guard *guard = ctx;

	if (!g_hash_table_contains(guard->read_rows, &entry->trait))
		crash_guard_schedule_row(guard, entry, false);
}

/* Has the rows of quarantined traits written again that the store does not have any more. */
static void crash_guard_on_rows_end(void *ctx)
{
	struct crash_guard *guard = ctx;

	quarantine_foreach(guard->quarantine, env_now_us(), crash_guard_check_row, guard);
	g_hash_table_remove_all(guard->read_rows);
}

/* helpers: messages */

/* Sends a message to all peers, or to those of the own zone. */
static void crash_guard_send(struct crash_guard *guard, const struct crash_guard_message *message,
			     bool zone_only)
{
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	crash_guard_message_encode(bytes, message, env_now_us());
	metric_add(guard->env->metric, METRIC_BUS_QUARANTINE_BYTES,
		   (uint64_t)bytes->len * peer_exchange_send_to_all(guard->exchange,
								    CRASH_GUARD_MSG, bytes,
								    zone_only));
}

static void crash_guard_append_entry(void *ctx, const struct quarantine_entry *entry)
{
	g_array_append_val((GArray *)ctx, *entry);
}

/* Encodes all that is quarantined. */
static GByteArray *crash_guard_encode_entries(const struct crash_guard *guard)
{
	GByteArray *bytes = g_byte_array_new();
	struct crash_guard_message message;
	uint64_t now_us = env_now_us();

	crash_guard_message_init(&message);
	quarantine_foreach(guard->quarantine, now_us, crash_guard_append_entry, message.entries);
	crash_guard_message_encode(bytes, &message, now_us);
	crash_guard_message_clear(&message);
	return bytes;
}

static void crash_guard_on_joined(void *ctx, const char *address)
{
	struct crash_guard *guard = ctx;
	g_autoptr(GByteArray) bytes = NULL;

	if (quarantine_count(guard->quarantine) == 0)
		return;
	bytes = crash_guard_encode_entries(guard);
	peer_exchange_send(guard->exchange, address, CRASH_GUARD_MSG, bytes);
}

/* Reminds a few peers of what is quarantined. */
static void crash_guard_remind(struct crash_guard *guard, uint64_t now_us)
{
	g_autoptr(GByteArray) bytes = NULL;

	if (quarantine_count(guard->quarantine) == 0 ||
	    now_us - guard->reminded_us < CRASH_GUARD_REMIND_US)
		return;
	guard->reminded_us = now_us;
	bytes = crash_guard_encode_entries(guard);
	peer_exchange_send_to_some(guard->exchange, CRASH_GUARD_MSG, bytes,
				   CRASH_GUARD_REMIND_COUNT);
}

static void crash_guard_apply_entries(struct crash_guard *guard, const GArray *entries,
				      uint64_t now_us)
{
	struct crash_guard_message news;

	crash_guard_message_init(&news);
	for (guint i = 0; i < entries->len; i++) {
		const struct quarantine_entry *entry =
			&g_array_index(entries, struct quarantine_entry, i);

		if (!quarantine_add_entry(guard->quarantine, entry, now_us))
			continue;
		crash_guard_log(LOG_QUARANTINED, entry, "peer", entry->until_us - now_us, 0);
		g_array_append_val(news.entries, *entry);
	}
	if (news.entries->len > 0) {
		crash_guard_send(guard, &news, true);
		if (guard->quarantined_cb)
			guard->quarantined_cb(guard->quarantined_ctx);
	}
	crash_guard_message_clear(&news);
}

static void crash_guard_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct crash_guard *guard = ctx;
	struct crash_guard_message message;
	uint64_t now_us = env_now_us();

	(void)type;
	crash_guard_message_init(&message);
	if (!crash_guard_message_decode(buf, len, now_us, &message)) {
		metric_add(guard->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
	}
	for (guint i = 0; i < message.crashes->len; i++)
		quarantine_add_crash(guard->quarantine,
				     &g_array_index(message.crashes, struct quarantine_crash, i),
				     now_us);
	for (guint i = 0; i < message.cleared->len; i++) {
		const struct crash_guard_cleared *cleared =
			&g_array_index(message.cleared, struct crash_guard_cleared, i);

		quarantine_add_peer_progress(guard->quarantine, cleared->trait, cleared->is_request,
					     cleared->progress_us);
	}
	crash_guard_apply_entries(guard, message.entries, now_us);
	for (guint i = 0; i < message.stored->len; i++)
		crash_guard_cancel_row(guard, g_array_index(message.stored, uint64_t, i));
	crash_guard_message_clear(&message);
}

static void crash_guard_on_tick(uv_timer_t *timer)
{
	struct crash_guard *guard = timer->data;
	uint64_t now_us = env_now_us();

	crash_guard_apply_settings(guard);
	quarantine_decide(guard->quarantine, now_us);
	if (guard->repeated.crashes->len > 0 && now_us >= guard->repeat_us) {
		crash_guard_send(guard, &guard->repeated, false);
		g_array_set_size(guard->repeated.crashes, 0);
	}
	if (!crash_guard_message_is_empty(&guard->outgoing)) {
		crash_guard_send(guard, &guard->outgoing, false);
		if (guard->repeated.crashes->len == 0)
			guard->repeat_us = now_us + CRASH_GUARD_REPEAT_US;
		g_array_append_vals(guard->repeated.crashes, guard->outgoing.crashes->data,
				    guard->outgoing.crashes->len);
		g_array_set_size(guard->outgoing.crashes, 0);
		g_array_set_size(guard->outgoing.cleared, 0);
		g_array_set_size(guard->outgoing.entries, 0);
		g_array_set_size(guard->outgoing.stored, 0);
	}
	crash_guard_remind(guard, now_us);
	crash_guard_write_due_rows(guard, now_us);
	metric_set(guard->env->metric, METRIC_QUARANTINED, quarantine_count(guard->quarantine));
}

/* commands: results of the quarantine */

static void crash_guard_on_added(void *ctx, const struct quarantine_entry *entry, uint32_t crashes)
{
	struct crash_guard *guard = ctx;

	crash_guard_log(LOG_QUARANTINED, entry, "own", entry->duration_us, crashes);
	g_array_append_val(guard->outgoing.entries, *entry);
	crash_guard_schedule_row(guard, entry, false);
	if (guard->quarantined_cb)
		guard->quarantined_cb(guard->quarantined_ctx);
}

static void crash_guard_on_ended(void *ctx, const struct quarantine_entry *entry)
{
	struct crash_guard *guard = ctx;

	crash_guard_log(LOG_QUARANTINE_ENDED, entry, "own", 0, 0);
	/* The instance that wrote the row removes it. */
	if (g_hash_table_contains(guard->rows, &entry->trait))
		crash_guard_schedule_row(guard, entry, true);
}

static void crash_guard_on_cleared(void *ctx, uint64_t trait, bool is_request, uint64_t progress_us)
{
	struct crash_guard *guard = ctx;
	struct crash_guard_cleared cleared = { trait, progress_us, is_request };

	g_array_append_val(guard->outgoing.cleared, cleared);
}

/* commands: observations */

void crash_guard_on_crash(struct crash_guard *guard, const struct fleet_upstream *upstream,
			  const struct protocol_request *request, uint64_t fingerprint)
{
	struct quarantine_crash crash = { .upstream = fleet_upstream_key(upstream),
					  .attempt = XXH3_64bits(request->id, strlen(request->id)),
					  .at_us = env_now_us() };

	crash.trait_count = crash_guard_traits(request, fingerprint, crash.traits);
	if (request->prompt_part_count > 0)
		crash.request = request->prompt_parts[request->prompt_part_count - 1];
	quarantine_add_crash(guard->quarantine, &crash, crash.at_us);
	g_array_append_val(guard->outgoing.crashes, crash);
}

void crash_guard_on_progress(struct crash_guard *guard, const struct protocol_request *request,
			     uint64_t fingerprint)
{
	uint64_t traits[QUARANTINE_MAX_TRAITS];

	quarantine_add_progress(guard->quarantine, traits,
				crash_guard_traits(request, fingerprint, traits), env_now_us());
}

void crash_guard_on_alive(struct crash_guard *guard, const struct fleet_upstream *upstream)
{
	quarantine_add_alive(guard->quarantine, fleet_upstream_key(upstream), env_now_us());
}

/* queries */

bool crash_guard_find(const struct crash_guard *guard, const struct protocol_request *request,
		      uint64_t fingerprint, uint32_t *left_ms)
{
	uint64_t now_us = env_now_us();
	uint64_t traits[QUARANTINE_MAX_TRAITS];
	const struct quarantine_entry *entry =
		quarantine_find(guard->quarantine, traits,
				crash_guard_traits(request, fingerprint, traits), now_us);

	if (entry)
		*left_ms = (uint32_t)((entry->until_us - now_us) / 1000);
	return entry != NULL;
}

uint32_t crash_guard_held_ms(const struct crash_guard *guard, uint64_t fingerprint)
{
	uint64_t now_us = env_now_us();
	uint64_t until_us = quarantine_held_until_us(guard->quarantine, fingerprint, now_us);

	return until_us > now_us ? (uint32_t)((until_us - now_us) / 1000 + 1) : 0;
}

bool crash_guard_is_suspect(const struct crash_guard *guard, const struct protocol_request *request,
			    uint64_t fingerprint)
{
	uint64_t traits[QUARANTINE_MAX_TRAITS];

	return quarantine_is_suspect(guard->quarantine, traits,
				     crash_guard_traits(request, fingerprint, traits));
}

static void crash_guard_append_json(void *ctx, const struct quarantine_entry *entry)
{
	g_autofree char *name = g_strdup_printf("%" G_GINT64_MODIFIER "x", entry->trait);
	uint64_t now_us = env_now_us();

	json_array_append_new(ctx, json_pack("{s:s, s:I}", crash_guard_kind(entry->is_request),
					     name, "left_ms",
					     (json_int_t)((entry->until_us - now_us) / 1000)));
}

json_t *crash_guard_json(const struct crash_guard *guard)
{
	json_t *out = json_array();

	quarantine_foreach(guard->quarantine, env_now_us(), crash_guard_append_json, out);
	return out;
}
