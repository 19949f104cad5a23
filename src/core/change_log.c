#include "flamingolatch/change_log.h"

struct change_log_entry {
	struct store_position from;
	struct store_position to;
	uint64_t added_us;
	GBytes *message;
};

struct change_log {
	GQueue entries; /* struct change_log_entry, the oldest first */
	uint32_t max_count;
	uint64_t max_bytes;
	uint64_t bytes;
};

/* lifetime */

struct change_log *change_log_create(uint32_t max_count, uint64_t max_bytes)
{
	struct change_log *log = g_new0(struct change_log, 1);

	g_queue_init(&log->entries);
	log->max_count = max_count;
	log->max_bytes = max_bytes;
	return log;
}

static void change_log_drop_oldest(struct change_log *log)
{
	struct change_log_entry *entry = g_queue_pop_head(&log->entries);

	log->bytes -= g_bytes_get_size(entry->message);
	g_bytes_unref(entry->message);
	g_free(entry);
}

static void change_log_clear(struct change_log *log)
{
	while (!g_queue_is_empty(&log->entries))
		change_log_drop_oldest(log);
}

void change_log_destroy(struct change_log *log)
{
	if (!log)
		return;
	change_log_clear(log);
	g_free(log);
}

/* helpers */

static bool change_log_is_same(struct store_position a, struct store_position b)
{
	return a.era == b.era && a.version == b.version;
}

/* commands */

void change_log_add(struct change_log *log, struct store_position from, struct store_position to,
		    GBytes *message, uint64_t now_us)
{
	const struct change_log_entry *last = g_queue_peek_tail(&log->entries);
	struct change_log_entry *entry;

	if (last && !change_log_is_same(last->to, from))
		change_log_clear(log);
	entry = g_new0(struct change_log_entry, 1);
	entry->from = from;
	entry->to = to;
	entry->added_us = now_us;
	entry->message = g_bytes_ref(message);
	g_queue_push_tail(&log->entries, entry);
	log->bytes += g_bytes_get_size(message);
	while (log->entries.length > log->max_count || log->bytes > log->max_bytes)
		change_log_drop_oldest(log);
}

/* queries */

/* Returns the change that begins at a position and leads on to the newest one without a gap, or
 * NULL. */
static const GList *change_log_first(const struct change_log *log, struct store_position known,
				     struct store_position newest)
{
	const struct change_log_entry *oldest = g_queue_peek_head((GQueue *)&log->entries);
	const struct change_log_entry *last = g_queue_peek_tail((GQueue *)&log->entries);
	const GList *link = log->entries.head;

	if (!oldest || !change_log_is_same(last->to, newest) ||
	    store_position_is_after(oldest->from, known))
		return NULL;
	while (link && !store_position_is_after(((struct change_log_entry *)link->data)->to, known))
		link = link->next;
	return link && change_log_is_same(((struct change_log_entry *)link->data)->from, known)
		       ? link
		       : NULL;
}

uint64_t change_log_first_us(const struct change_log *log, struct store_position known,
			     struct store_position newest)
{
	const GList *first = change_log_first(log, known, newest);

	return first ? ((struct change_log_entry *)first->data)->added_us : 0;
}

void change_log_foreach_since(const struct change_log *log, struct store_position known,
			      struct store_position newest,
			      void (*visit)(void *ctx, GBytes *message), void *ctx)
{
	for (const GList *link = change_log_first(log, known, newest); link; link = link->next)
		visit(ctx, ((struct change_log_entry *)link->data)->message);
}
