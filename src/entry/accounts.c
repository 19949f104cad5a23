#include "entry_internal.h"
#include "flamingolatch/usage_ledger.h"

#include <stdlib.h>
#include <string.h>

#define ACCOUNTS_TICK_MS     500
#define ACCOUNTS_WRITE_US    (20ULL * 1000 * 1000)
#define ACCOUNTS_PEER_AGE_US (3ULL * 1000 * 1000)
#define ACCOUNTS_PREFIX	     "ledger/"

/*
 * Accounts for the engines of the own zone that this instance is the delegate
 * of. Running work comes from the own generations and from what peers say that
 * they hold; a peer that fell silent no longer counts.
 */
struct accounts {
	struct entry *entry;
	uv_timer_t tick;
	GHashTable *books; /* engine id to struct book */
	GHashTable *peers; /* peer to struct peer_held */
};

/* The book of one engine. */
struct book {
	struct accounts *accounts;
	char *engine;
	char *key;
	struct usage_ledger *ledger;
	uint64_t next_us;
	uint64_t version; /* of the row as read */
	bool asking;
};

/* What a peer said last. */
struct peer_held {
	GArray *held; /* struct wire_kv_usage */
	uint64_t at_us;
};

static void accounts_on_tick(uv_timer_t *timer);

/* lifetime */

static void book_free(gpointer data)
{
	struct book *book = data;

	usage_ledger_destroy(book->ledger);
	g_free(book->engine);
	g_free(book->key);
	g_free(book);
}

static void peer_held_free(gpointer data)
{
	struct peer_held *peer = data;

	g_array_free(peer->held, TRUE);
	g_free(peer);
}

struct accounts *accounts_create(struct entry *entry)
{
	struct accounts *accounts = g_new0(struct accounts, 1);

	accounts->entry = entry;
	accounts->books = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, book_free);
	accounts->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, peer_held_free);
	uv_timer_init(entry->loop, &accounts->tick);
	accounts->tick.data = accounts;
	uv_timer_start(&accounts->tick, accounts_on_tick, ACCOUNTS_TICK_MS, ACCOUNTS_TICK_MS);
	return accounts;
}

static void accounts_on_closed(uv_handle_t *handle)
{
	struct accounts *accounts = handle->data;

	g_hash_table_destroy(accounts->books);
	g_hash_table_destroy(accounts->peers);
	g_free(accounts);
}

void accounts_destroy(struct accounts *accounts)
{
	if (accounts)
		uv_close((uv_handle_t *)&accounts->tick, accounts_on_closed);
}

/* what is held */

/* Adds tokens to the entry of an engine and owner. */
static void accounts_add(GArray *held, const char *engine, const char *owner, uint64_t tokens)
{
	struct wire_kv_usage item = { .tokens = tokens };

	for (guint i = 0; i < held->len; i++) {
		struct wire_kv_usage *have = &g_array_index(held, struct wire_kv_usage, i);

		if (strcmp(have->engine, engine) == 0 && strcmp(have->owner, owner) == 0) {
			have->tokens += tokens;
			return;
		}
	}
	g_strlcpy(item.engine, engine, sizeof(item.engine));
	g_strlcpy(item.owner, owner, sizeof(item.owner));
	g_array_append_val(held, item);
}

GArray *accounts_own(const struct entry *entry)
{
	GArray *held = g_array_new(FALSE, TRUE, sizeof(struct wire_kv_usage));
	GHashTableIter iter;
	gpointer gr;

	g_hash_table_iter_init(&iter, entry->generations);
	while (g_hash_table_iter_next(&iter, &gr, NULL)) {
		const char *engine;
		const char *owner;
		uint64_t tokens = entry->held(gr, &engine, &owner);

		if (tokens)
			accounts_add(held, engine, owner, tokens);
	}
	return held;
}

void accounts_peer(struct accounts *accounts, const char *peer, const struct wire_kv_usage *held,
		   uint32_t count)
{
	struct peer_held *slot = g_hash_table_lookup(accounts->peers, peer);

	if (!slot) {
		slot = g_new0(struct peer_held, 1);
		slot->held = g_array_new(FALSE, TRUE, sizeof(struct wire_kv_usage));
		g_hash_table_insert(accounts->peers, g_strdup(peer), slot);
	}
	g_array_set_size(slot->held, 0);
	g_array_append_vals(slot->held, held, count);
	slot->at_us = entry_now_us();
}

static GArray *accounts_all(struct accounts *accounts)
{
	GArray *all = accounts_own(accounts->entry);
	GHashTableIter iter;
	struct peer_held *peer;

	g_hash_table_iter_init(&iter, accounts->peers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (entry_now_us() - peer->at_us > ACCOUNTS_PEER_AGE_US)
			continue;
		for (guint i = 0; i < peer->held->len; i++) {
			const struct wire_kv_usage *item =
				&g_array_index(peer->held, struct wire_kv_usage, i);

			accounts_add(all, item->engine, item->owner, item->tokens);
		}
	}
	return all;
}

/* observing */

/* Idle time goes to who reserved a part of the pool, the rest to its owner. */
static uint32_t accounts_idle(const struct entry *entry, const struct upstream *up,
			      struct usage_ledger_share *shares, uint32_t max)
{
	uint64_t left = 100;
	uint32_t count = 0;

	for (uint32_t s = 0; s < entry->set->service_count; s++) {
		const struct settings_service *service = &entry->set->services[s];
		const struct profile *prof =
			profile_config_find(entry->profile_config, service->profile);

		if (!prof || strcmp(service->upstream, upstream_pool_name(up)) != 0)
			continue;
		for (uint32_t i = 0; i < prof->reservation_count && count + 1 < max; i++) {
			uint64_t share = MIN(prof->reservations[i].share_percent, left);

			shares[count++] =
				(struct usage_ledger_share){ prof->reservations[i].owner, share };
			left -= share;
		}
	}
	shares[count++] = (struct usage_ledger_share){ upstream_pool_name(up), left };
	return count;
}

static void accounts_observe(struct accounts *accounts, struct book *book, struct upstream *up,
			     const GArray *all)
{
	struct usage_ledger_share shares[USAGE_LEDGER_MAX_OWNERS];
	uint32_t count = 0;
	bool busy;

	for (guint i = 0; i < all->len && count < USAGE_LEDGER_MAX_OWNERS; i++) {
		const struct wire_kv_usage *item = &g_array_index(all, struct wire_kv_usage, i);

		if (strcmp(item->engine, book->engine) == 0)
			shares[count++] = (struct usage_ledger_share){ item->owner, item->tokens };
	}
	busy = count > 0;
	if (!busy)
		count = accounts_idle(accounts->entry, up, shares, USAGE_LEDGER_MAX_OWNERS);
	usage_ledger_observe(book->ledger, (uint64_t)g_get_real_time(), shares, count, busy);
}

/* writing */

static void book_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			   uint32_t count)
{
	struct book *book = arg;

	(void)rows;
	(void)count;
	book->asking = false;
	/* What was lost is found in the row by its token next time. */
	if (result == TABLE_OK)
		usage_ledger_on_written(book->ledger);
}

static void book_on_read(void *arg, enum table_result result, const struct table_row *rows,
			 uint32_t count)
{
	struct book *book = arg;
	struct table *table = book->accounts->entry->table;
	json_t *row = count ? json_loads(rows[0].value, 0, NULL) : NULL;
	json_t *next = result == TABLE_OK ? usage_ledger_merge(book->ledger, row) : NULL;
	struct table_write write = { book->key, count ? rows[0].version : 0, NULL };
	char *text;

	if (next) {
		text = json_dumps(next, JSON_COMPACT);
		write.value = text;
		table->ops->commit(table->ctx, &write, 1, book_on_commit, book);
		free(text);
	} else {
		book->asking = false;
	}
	json_decref(row);
	json_decref(next);
}

static void book_write(struct book *book)
{
	struct table *table = book->accounts->entry->table;

	book->asking = true;
	book->next_us = entry_now_us() + ACCOUNTS_WRITE_US;
	table->ops->read_prefix(table->ctx, book->key, book_on_read, book);
}

static struct book *accounts_book(struct accounts *accounts, const char *engine)
{
	struct book *book = g_hash_table_lookup(accounts->books, engine);
	g_autofree char *token = NULL;

	if (book)
		return book;
	token = g_strdup_printf("%s/%" G_GUINT64_FORMAT, accounts->entry->set->instance,
				accounts->entry->incarnation);
	book = g_new0(struct book, 1);
	book->accounts = accounts;
	book->engine = g_strdup(engine);
	book->key = g_strconcat(ACCOUNTS_PREFIX, engine, "/", NULL);
	book->ledger = usage_ledger_create(token);
	/* Spreads the writes of the engines' rows over time. */
	book->next_us = entry_now_us() + g_str_hash(engine) % ACCOUNTS_WRITE_US;
	g_hash_table_insert(accounts->books, book->engine, book);
	return book;
}

struct accounts_round {
	struct accounts *accounts;
	GArray *all;
};

static void accounts_visit(void *ctx, struct upstream *up)
{
	struct accounts_round *round = ctx;
	struct accounts *accounts = round->accounts;
	struct entry *entry = accounts->entry;
	struct book *book;

	/* Only engines report a memory. */
	if (upstream_last_report(up)->kv_capacity == 0 ||
	    pool_distance(entry->pool, up) != POOL_SAME_ZONE)
		return;
	if (!membership_is_delegate(entry->membership, upstream_id(up)))
		return;
	book = accounts_book(accounts, upstream_id(up));
	accounts_observe(accounts, book, up, round->all);
	if (!book->asking && entry_now_us() >= book->next_us)
		book_write(book);
}

static void accounts_on_tick(uv_timer_t *timer)
{
	struct accounts *accounts = timer->data;
	struct accounts_round round = { accounts, NULL };

	if (!accounts->entry->ready)
		return;
	round.all = accounts_all(accounts);
	pool_foreach(accounts->entry->pool, accounts_visit, &round);
	g_array_free(round.all, TRUE);
}
