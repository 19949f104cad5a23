#include "entry_internal.h"
#include "flamingolatch/once.h"

#include <string.h>

#define COLLECT_TICK_MS	 1000
#define COLLECT_ROWS_MAX 32 /* rows deleted in one commit */
#define COLLECT_DIGITS	 16 /* keys are read by the first digit of their digest */
#define COLLECT_TASK	 "collect"

/*
 * Deletes claim rows that are settled and older than their time to live. One
 * instance a zone reads a sixteenth of one customer's rows of one service at a
 * time. Deletes are conditional, so two collectors do no harm.
 */
struct collect {
	struct entry *entry;
	uv_timer_t tick;
	uint64_t turn;
	bool asking;
};

static void collect_on_tick(uv_timer_t *timer);

/* lifetime */

struct collect *collect_create(struct entry *entry)
{
	struct collect *collect = g_new0(struct collect, 1);

	collect->entry = entry;
	uv_timer_init(entry->loop, &collect->tick);
	collect->tick.data = collect;
	uv_timer_start(&collect->tick, collect_on_tick, COLLECT_TICK_MS, COLLECT_TICK_MS);
	return collect;
}

static void collect_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void collect_destroy(struct collect *collect)
{
	if (collect)
		uv_close((uv_handle_t *)&collect->tick, collect_on_closed);
}

/* helpers */

static void collect_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			      uint32_t count)
{
	struct collect *collect = arg;

	(void)result;
	(void)rows;
	(void)count;
	collect->asking = false;
}

static void collect_on_read(void *arg, enum table_result result, const struct table_row *rows,
			    uint32_t count)
{
	struct collect *collect = arg;
	struct entry *entry = collect->entry;
	struct table_write writes[COLLECT_ROWS_MAX];
	uint64_t now_ms = entry_wall_ms();
	uint32_t old = 0;

	for (uint32_t i = 0; result == TABLE_OK && i < count && old < COLLECT_ROWS_MAX; i++) {
		if (once_may_delete(&rows[i], now_ms, entry->set->call_row_ttl_s * 1000))
			writes[old++] = (struct table_write){ rows[i].key, rows[i].version, NULL };
	}
	if (old == 0) {
		collect->asking = false;
		return;
	}
	metric_add(entry->metric, METRIC_CLAIM_ROWS_DELETED, old);
	entry->table->ops->commit(entry->table->ctx, writes, old, collect_on_commit, collect);
}

/* The prefix of a turn; turns go over digits, then services, then customers. */
static char *collect_prefix(const struct settings *set, uint64_t turn)
{
	uint64_t digit = turn % COLLECT_DIGITS;
	uint64_t service = turn / COLLECT_DIGITS % set->service_count;
	uint64_t customer = turn / COLLECT_DIGITS / set->service_count % set->customer_count;

	if (set->services[service].kind != SETTINGS_SERVICE_PLAIN)
		return NULL;
	return g_strdup_printf("once/%s/%s/%x", set->customers[customer].name,
			       set->services[service].name, (unsigned int)digit);
}

static void collect_on_tick(uv_timer_t *timer)
{
	struct collect *collect = timer->data;
	struct entry *entry = collect->entry;
	g_autofree char *prefix = NULL;
	uint64_t turns = (uint64_t)COLLECT_DIGITS * entry->set->service_count;

	if (collect->asking || !entry->ready || entry->set->service_count == 0 ||
	    entry->set->customer_count == 0 ||
	    !membership_is_delegate(entry->membership, COLLECT_TASK))
		return;
	/* Services without claims are passed over. */
	for (uint64_t i = 0; i < turns && !prefix; i++)
		prefix = collect_prefix(entry->set, collect->turn++);
	if (!prefix)
		return;
	collect->asking = true;
	entry->table->ops->read_prefix(entry->table->ctx, prefix, collect_on_read, collect);
}
