#include "flamingolatch/wfq.h"

#include <glib.h>

struct wfq_flow {
	GQueue items;  /* oldest first */
	double finish; /* virtual finish time of the newest item */
	double weight;
};

struct wfq_item {
	struct wfq_flow *flow;
	GList *deadline_link; /* in wfq.deadlines */
	double start;	      /* virtual time */
	double finish;	      /* virtual time */
	uint64_t deadline_us;
	void *user;
};

struct wfq {
	GHashTable *flows; /* "customer/priority" to struct wfq_flow */
	GPtrArray *active; /* flows with items */
	GQueue deadlines;  /* items by deadline, earliest first */
	double virtual_time;
	uint32_t length;
};

/* lifetime */

struct wfq *wfq_create(void)
{
	struct wfq *queue = g_new0(struct wfq, 1);

	queue->flows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	queue->active = g_ptr_array_new();
	g_queue_init(&queue->deadlines);
	return queue;
}

void wfq_destroy(struct wfq *queue)
{
	if (!queue)
		return;
	g_ptr_array_free(queue->active, TRUE);
	g_hash_table_destroy(queue->flows);
	g_free(queue);
}

/* helpers */

static struct wfq_flow *wfq_flow(struct wfq *queue, const char *customer, uint64_t priority)
{
	g_autofree char *key = g_strdup_printf("%s/%u", customer, (unsigned int)priority);
	struct wfq_flow *flow = g_hash_table_lookup(queue->flows, key);

	if (flow)
		return flow;
	flow = g_new0(struct wfq_flow, 1);
	g_queue_init(&flow->items);
	flow->weight = 1.0 + (double)priority;
	g_hash_table_insert(queue->flows, g_steal_pointer(&key), flow);
	return flow;
}

static GList *wfq_insert_deadline(struct wfq *queue, struct wfq_item *item)
{
	GList *link = queue->deadlines.tail;

	while (link && ((struct wfq_item *)link->data)->deadline_us > item->deadline_us)
		link = link->prev;
	if (!link) {
		g_queue_push_head(&queue->deadlines, item);
		return queue->deadlines.head;
	}
	g_queue_insert_after(&queue->deadlines, link, item);
	return link->next;
}

/* Returns the virtual finish time of the oldest item. */
static double wfq_flow_finish(const struct wfq_flow *flow)
{
	return ((const struct wfq_item *)flow->items.head->data)->finish;
}

/* commands */

struct wfq_item *wfq_push(struct wfq *queue, const char *customer, uint64_t priority, double cost,
			  uint64_t deadline_us, void *user)
{
	struct wfq_flow *flow = wfq_flow(queue, customer, priority);
	struct wfq_item *item = g_new0(struct wfq_item, 1);

	item->flow = flow;
	item->deadline_us = deadline_us;
	item->user = user;
	item->start = MAX(queue->virtual_time, flow->finish);
	item->finish = item->start + cost / flow->weight;
	flow->finish = item->finish;
	if (g_queue_is_empty(&flow->items))
		g_ptr_array_add(queue->active, flow);
	g_queue_push_tail(&flow->items, item);
	item->deadline_link = wfq_insert_deadline(queue, item);
	queue->length++;
	return item;
}

void wfq_remove(struct wfq *queue, struct wfq_item *item, int served)
{
	struct wfq_flow *flow = item->flow;

	if (served)
		queue->virtual_time = MAX(queue->virtual_time, item->start);
	g_queue_remove(&flow->items, item);
	g_queue_delete_link(&queue->deadlines, item->deadline_link);
	if (g_queue_is_empty(&flow->items))
		g_ptr_array_remove_fast(queue->active, flow);
	queue->length--;
	g_free(item);
}

/* queries */

struct wfq_item *wfq_peek(struct wfq *queue, uint32_t rank)
{
	double previous = -1.0;
	struct wfq_flow *best = NULL;

	/* Searches linearly for each rank, which is cheap: few flows are active and only low ranks
	 * are used. */
	for (uint32_t step = 0; step <= rank; step++) {
		best = NULL;
		for (guint i = 0; i < queue->active->len; i++) {
			struct wfq_flow *flow = queue->active->pdata[i];
			double finish = wfq_flow_finish(flow);

			if (finish > previous && (!best || finish < wfq_flow_finish(best)))
				best = flow;
		}
		if (!best)
			return NULL;
		previous = wfq_flow_finish(best);
	}
	return best->items.head->data;
}

struct wfq_item *wfq_expired(struct wfq *queue, uint64_t now_us)
{
	struct wfq_item *item = g_queue_peek_head(&queue->deadlines);

	return item && item->deadline_us <= now_us ? item : NULL;
}

void *wfq_user(const struct wfq_item *item)
{
	return item->user;
}

uint32_t wfq_length(const struct wfq *queue)
{
	return queue->length;
}
