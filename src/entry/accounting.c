#include "entry_internal.h"
#include "flamingolatch/usage_ledger.h"

#include <stdlib.h>
#include <string.h>

#define ACCOUNTING_TICK_MS	     500
#define ACCOUNTING_WRITE_INTERVAL_US (20ULL * 1000 * 1000)
#define ACCOUNTING_PEER_MAX_AGE_US   (3ULL * 1000 * 1000) /* older usage is ignored */
#define ACCOUNTING_KEY_PREFIX	     "ledger/"

/*
 * Charges the time of engines to owners. Each engine has one delegate among the
 * instances of its zone. At each tick, the delegate adds up, by owner, the KV
 * cache that its generations and those of its peers use at the engine; at a
 * longer interval it writes the accounts to the engine's row in the store. The
 * usage of a peer is what the peer sent last; it is ignored once it is too old.
 */
struct accounting {
	struct entry *entry;
	uv_timer_t tick_timer;
	GHashTable *engine_accounts; /* engine id to struct engine_account */
	GHashTable *peers;	     /* instance id to struct peer_usage */
};

/* Accounting of one engine. */
struct engine_account {
	struct accounting *accounting;
	char *engine_id;
	char *key; /* of the row in the store */
	struct usage_ledger *ledger;
	uint64_t next_write_us;
	uint64_t version;   /* of the row as read */
	bool write_pending; /* the row is being read or committed */
};

/* KV cache usage that a peer sent last. */
struct peer_usage {
	GArray *usage; /* struct wire_kv_usage */
	uint64_t received_us;
};

static void accounting_on_tick(uv_timer_t *timer);

/* lifetime */

static void engine_account_free(gpointer data)
{
	struct engine_account *account = data;

	usage_ledger_destroy(account->ledger);
	g_free(account->engine_id);
	g_free(account->key);
	g_free(account);
}

static void peer_usage_free(gpointer data)
{
	struct peer_usage *peer = data;

	g_array_free(peer->usage, TRUE);
	g_free(peer);
}

struct accounting *accounting_create(struct entry *entry)
{
	struct accounting *accounting = g_new0(struct accounting, 1);

	accounting->entry = entry;
	accounting->engine_accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_account_free);
	accounting->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_usage_free);
	uv_timer_init(entry->loop, &accounting->tick_timer);
	accounting->tick_timer.data = accounting;
	uv_timer_start(&accounting->tick_timer, accounting_on_tick, ACCOUNTING_TICK_MS,
		       ACCOUNTING_TICK_MS);
	return accounting;
}

static void accounting_on_closed(uv_handle_t *handle)
{
	struct accounting *accounting = handle->data;

	g_hash_table_destroy(accounting->engine_accounts);
	g_hash_table_destroy(accounting->peers);
	g_free(accounting);
}

void accounting_destroy(struct accounting *accounting)
{
	if (accounting)
		uv_close((uv_handle_t *)&accounting->tick_timer, accounting_on_closed);
}

/* KV cache usage by engine and owner */

/* Adds tokens to the item of an engine and owner; appends it if there is none. */
static void accounting_add_usage(GArray *usage, const char *engine_id, const char *owner,
				 uint64_t tokens)
{
	struct wire_kv_usage item = { .tokens = tokens };

	for (guint i = 0; i < usage->len; i++) {
		struct wire_kv_usage *existing = &g_array_index(usage, struct wire_kv_usage, i);

		if (strcmp(existing->engine, engine_id) == 0 &&
		    strcmp(existing->owner, owner) == 0) {
			existing->tokens += tokens;
			return;
		}
	}
	g_strlcpy(item.engine, engine_id, sizeof(item.engine));
	g_strlcpy(item.owner, owner, sizeof(item.owner));
	g_array_append_val(usage, item);
}

GArray *accounting_own_usage(const struct entry *entry)
{
	GArray *usage = g_array_new(FALSE, TRUE, sizeof(struct wire_kv_usage));
	GHashTableIter iter;
	gpointer gr;

	g_hash_table_iter_init(&iter, entry->generations);
	while (g_hash_table_iter_next(&iter, &gr, NULL)) {
		const char *engine_id;
		const char *owner;
		uint64_t tokens = entry->kv_tokens_held(gr, &engine_id, &owner);

		if (tokens)
			accounting_add_usage(usage, engine_id, owner, tokens);
	}
	return usage;
}

void accounting_set_peer_usage(struct accounting *accounting, const char *peer,
			       const struct wire_kv_usage *usage, uint32_t count)
{
	struct peer_usage *record = g_hash_table_lookup(accounting->peers, peer);

	if (!record) {
		record = g_new0(struct peer_usage, 1);
		record->usage = g_array_new(FALSE, TRUE, sizeof(struct wire_kv_usage));
		g_hash_table_insert(accounting->peers, g_strdup(peer), record);
	}
	g_array_set_size(record->usage, 0);
	g_array_append_vals(record->usage, usage, count);
	record->received_us = entry_now_us();
}

/* Returns the usage of this instance and of its peers together. */
static GArray *accounting_total_usage(struct accounting *accounting)
{
	GArray *total_usage = accounting_own_usage(accounting->entry);
	GHashTableIter iter;
	struct peer_usage *peer;

	g_hash_table_iter_init(&iter, accounting->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (entry_now_us() - peer->received_us > ACCOUNTING_PEER_MAX_AGE_US)
			continue;
		for (guint i = 0; i < peer->usage->len; i++) {
			const struct wire_kv_usage *item =
				&g_array_index(peer->usage, struct wire_kv_usage, i);

			accounting_add_usage(total_usage, item->engine, item->owner, item->tokens);
		}
	}
	return total_usage;
}

/* observation */

/* Sets the owners that are charged for the time of an idle engine: each reservation of its pool
 * gets its share, and the rest goes to the owner of the pool, whose name is that of the pool.
 * @return number of shares, at most @p max */
static uint32_t accounting_idle_shares(const struct entry *entry, const struct upstream *up,
				       struct usage_ledger_share *shares, uint32_t max)
{
	uint64_t remaining_percent = 100;
	uint32_t count = 0;

	for (uint32_t s = 0; s < entry->settings->service_count; s++) {
		const struct settings_service *service = &entry->settings->services[s];
		const struct profile *profile =
			profile_config_find(entry->profile_config, service->profile);

		if (!profile || strcmp(service->upstream, upstream_pool_name(up)) != 0)
			continue;
		for (uint32_t i = 0; i < profile->reservation_count && count + 1 < max; i++) {
			uint64_t share_percent =
				MIN(profile->reservations[i].share_percent, remaining_percent);

			shares[count++] =
				(struct usage_ledger_share){ profile->reservations[i].owner,
							     share_percent };
			remaining_percent -= share_percent;
		}
	}
	shares[count++] = (struct usage_ledger_share){ upstream_pool_name(up), remaining_percent };
	return count;
}

static void accounting_observe(struct accounting *accounting, struct engine_account *account,
			       struct upstream *up, const GArray *total_usage)
{
	struct usage_ledger_share shares[USAGE_LEDGER_MAX_OWNERS];
	uint32_t count = 0;
	bool busy;

	for (guint i = 0; i < total_usage->len && count < USAGE_LEDGER_MAX_OWNERS; i++) {
		const struct wire_kv_usage *item =
			&g_array_index(total_usage, struct wire_kv_usage, i);

		if (strcmp(item->engine, account->engine_id) == 0)
			shares[count++] = (struct usage_ledger_share){ item->owner, item->tokens };
	}
	busy = count > 0;
	if (!busy)
		count = accounting_idle_shares(accounting->entry, up, shares,
					       USAGE_LEDGER_MAX_OWNERS);
	usage_ledger_observe(account->ledger, (uint64_t)g_get_real_time(), shares, count, busy);
}

/* rows in the store */

static void engine_account_on_commit(void *arg, enum table_result result,
				     const struct table_row *rows, uint32_t count)
{
	struct engine_account *account = arg;

	(void)rows;
	(void)count;
	account->write_pending = false;
	/* If the answer to a commit was lost, the next read finds the write by the token and
	 * sequence number in the row. */
	if (result == TABLE_OK)
		usage_ledger_on_written(account->ledger);
}

static void engine_account_on_read(void *arg, enum table_result result,
				   const struct table_row *rows, uint32_t count)
{
	struct engine_account *account = arg;
	struct table *table = account->accounting->entry->table;
	json_t *row = count ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_t *next = result == TABLE_OK ? usage_ledger_merge(account->ledger, row) : NULL;
	struct table_write write = { account->key, count ? rows[0].version : 0, NULL };
	char *text;

	if (next) {
		text = json_dumps(next, JSON_COMPACT);
		write.value = text;
		table->ops->commit(table->ctx, &write, 1, engine_account_on_commit, account);
		free(text);
	} else {
		account->write_pending = false;
	}
	json_decref(row);
	json_decref(next);
}

/* Reads the engine's row, adds the time observed since the last write, and commits it. */
static void engine_account_write(struct engine_account *account)
{
	struct table *table = account->accounting->entry->table;

	account->write_pending = true;
	account->next_write_us = entry_now_us() + ACCOUNTING_WRITE_INTERVAL_US;
	table->ops->read_prefix(table->ctx, account->key, engine_account_on_read, account);
}

static struct engine_account *accounting_get_account(struct accounting *accounting,
						     const char *engine_id)
{
	struct engine_account *account =
		g_hash_table_lookup(accounting->engine_accounts, engine_id);
	g_autofree char *token = NULL;

	if (account)
		return account;
	token = g_strdup_printf("%s/%" G_GUINT64_FORMAT, accounting->entry->settings->instance,
				accounting->entry->incarnation);
	account = g_new0(struct engine_account, 1);
	account->accounting = accounting;
	account->engine_id = g_strdup(engine_id);
	account->key = g_strconcat(ACCOUNTING_KEY_PREFIX, engine_id, "/", NULL);
	account->ledger = usage_ledger_create(token);
	/* The time of the first write differs by engine, which spreads the writes over the
	 * interval. */
	account->next_write_us =
		entry_now_us() + g_str_hash(engine_id) % ACCOUNTING_WRITE_INTERVAL_US;
	g_hash_table_insert(accounting->engine_accounts, account->engine_id, account);
	return account;
}

struct accounting_tick_context {
	struct accounting *accounting;
	GArray *total_usage;
};

static void accounting_visit_upstream(void *ctx, struct upstream *up)
{
	struct accounting_tick_context *context = ctx;
	struct accounting *accounting = context->accounting;
	struct entry *entry = accounting->entry;
	struct engine_account *account;

	/* Only engines report a KV cache capacity. */
	if (upstream_last_report(up)->kv_capacity == 0 ||
	    pool_distance(entry->pool, up) != POOL_SAME_ZONE)
		return;
	if (!membership_is_delegate(entry->membership, upstream_id(up)))
		return;
	account = accounting_get_account(accounting, upstream_id(up));
	accounting_observe(accounting, account, up, context->total_usage);
	if (!account->write_pending && entry_now_us() >= account->next_write_us)
		engine_account_write(account);
}

static void accounting_on_tick(uv_timer_t *timer)
{
	struct accounting *accounting = timer->data;
	struct accounting_tick_context context = { accounting, NULL };

	if (!accounting->entry->ready)
		return;
	context.total_usage = accounting_total_usage(accounting);
	pool_foreach(accounting->entry->pool, accounting_visit_upstream, &context);
	g_array_free(context.total_usage, TRUE);
}
