#include "entry_internal.h"
#include "flamingolatch/once.h"

#include <string.h>

#define CLAIM_GC_TICK_MS       1000
#define CLAIM_GC_MAX_ROW_COUNT 32 /* rows deleted in one commit */
#define CLAIM_GC_DIGIT_COUNT   16 /* one read covers one first hex digit of the keys' digests */
#define CLAIM_GC_TASK	       "collect"

/*
 * Deletes claim rows of non-idempotent requests that are settled and older than
 * their time to live. The zone's delegate does it, for one partition at a time: a
 * sixteenth of the rows of one customer and service. A delete depends on the row's
 * version, so it does no harm if two instances delete the same rows.
 */
struct claim_gc {
	struct entry *entry;
	uv_timer_t tick_timer;
	uint64_t next_partition; /* increases without bound; see claim_gc_key_prefix() */
	bool request_pending;	 /* a read or a commit */
};

static void claim_gc_on_tick(uv_timer_t *timer);

/* lifetime */

struct claim_gc *claim_gc_create(struct entry *entry)
{
	struct claim_gc *gc = g_new0(struct claim_gc, 1);

	gc->entry = entry;
	uv_timer_init(entry->loop, &gc->tick_timer);
	gc->tick_timer.data = gc;
	uv_timer_start(&gc->tick_timer, claim_gc_on_tick, CLAIM_GC_TICK_MS, CLAIM_GC_TICK_MS);
	return gc;
}

static void claim_gc_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void claim_gc_destroy(struct claim_gc *gc)
{
	if (gc)
		uv_close((uv_handle_t *)&gc->tick_timer, claim_gc_on_closed);
}

/* helpers */

static void claim_gc_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			       uint32_t count)
{
	struct claim_gc *gc = arg;

	(void)result;
	(void)rows;
	(void)count;
	gc->request_pending = false;
}

static void claim_gc_on_read(void *arg, enum table_result result, const struct table_row *rows,
			     uint32_t count)
{
	struct claim_gc *gc = arg;
	struct entry *entry = gc->entry;
	struct table_write writes[CLAIM_GC_MAX_ROW_COUNT];
	uint64_t now_ms = entry_wall_ms();
	uint32_t expired_count = 0;

	for (uint32_t i = 0;
	     result == TABLE_OK && i < count && expired_count < CLAIM_GC_MAX_ROW_COUNT; i++) {
		if (once_may_delete(&rows[i], now_ms, entry->settings->call_row_ttl_s * 1000))
			writes[expired_count++] =
				(struct table_write){ rows[i].key, rows[i].version, NULL };
	}
	if (expired_count == 0) {
		gc->request_pending = false;
		return;
	}
	metric_add(entry->metric, METRIC_CLAIM_ROWS_DELETED, expired_count);
	entry->table->ops->commit(entry->table->ctx, writes, expired_count, claim_gc_on_commit, gc);
}

/* Returns the key prefix of a partition, or NULL if its service has no claims. Consecutive
 * partitions go through the digits, then the services, then the customers. */
static char *claim_gc_key_prefix(const struct settings *settings, uint64_t partition)
{
	uint64_t digit = partition % CLAIM_GC_DIGIT_COUNT;
	uint64_t service = partition / CLAIM_GC_DIGIT_COUNT % settings->service_count;
	uint64_t customer = partition / CLAIM_GC_DIGIT_COUNT / settings->service_count %
			    settings->customer_count;

	if (settings->services[service].kind != SETTINGS_SERVICE_PLAIN)
		return NULL;
	return g_strdup_printf("once/%s/%s/%x", settings->customers[customer].name,
			       settings->services[service].name, (unsigned int)digit);
}

static void claim_gc_on_tick(uv_timer_t *timer)
{
	struct claim_gc *gc = timer->data;
	struct entry *entry = gc->entry;
	g_autofree char *prefix = NULL;
	uint64_t partition_count = (uint64_t)CLAIM_GC_DIGIT_COUNT * entry->settings->service_count;

	if (gc->request_pending || !entry->ready || entry->settings->service_count == 0 ||
	    entry->settings->customer_count == 0 ||
	    !membership_is_delegate(entry->membership, CLAIM_GC_TASK))
		return;
	/* Skips services without claims. */
	for (uint64_t i = 0; i < partition_count && !prefix; i++)
		prefix = claim_gc_key_prefix(entry->settings, gc->next_partition++);
	if (!prefix)
		return;
	gc->request_pending = true;
	entry->table->ops->read_prefix(entry->table->ctx, prefix, claim_gc_on_read, gc);
}
