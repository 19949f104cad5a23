#include "flamingolatch/call_queue.h"

#include <glib.h>

/* Taken for the duration of an answer before one is known. */
#define CALL_QUEUE_ANSWER_US (50ULL * 1000)

struct call_queue {
	GQueue items; /* struct call_queue_item, the next to be sent first */
};

struct call_queue_item {
	GList link;
	uint32_t priority;
	uint64_t deadline_us;
	void *ctx;
};

/* Forecast of one upstream: rounds of requests that are answered at the same time. */
struct call_queue_source {
	const struct call_queue_upstream *up;
	uint64_t answered_us; /* when the round is answered */
	uint64_t answer_us;   /* duration of a round */
	uint32_t window;      /* as in struct upstream_quiet */
	uint32_t places;      /* of the round that are free */
};

/* lifetime */

struct call_queue *call_queue_create(void)
{
	struct call_queue *queue = g_new0(struct call_queue, 1);

	g_queue_init(&queue->items);
	return queue;
}

void call_queue_destroy(struct call_queue *queue)
{
	g_free(queue);
}

/* helpers: forecast */

/* Returns how many of the calls that waited an upstream may have at once. */
static uint32_t call_queue_round_size(const struct call_queue_upstream *up, uint32_t window)
{
	return window ? MIN(window, up->share) : up->slots;
}

/* Returns how many requests take up such places now. */
static uint32_t call_queue_open(const struct call_queue_upstream *up)
{
	return up->quiet->window ? up->open : up->open + up->peer_open;
}

static struct call_queue_source *call_queue_forecast(const struct call_queue_upstream *ups,
						     uint32_t count, uint64_t now_us)
{
	struct call_queue_source *sources = g_new0(struct call_queue_source, MAX(count, 1));

	for (uint32_t i = 0; i < count; i++) {
		const struct upstream_quiet *quiet = ups[i].quiet;
		struct call_queue_source *source = &sources[i];
		uint32_t size = call_queue_round_size(&ups[i], quiet->window);
		uint32_t open = call_queue_open(&ups[i]);

		source->up = &ups[i];
		source->answer_us = quiet->answer_us ? quiet->answer_us : CALL_QUEUE_ANSWER_US;
		source->answered_us =
			now_us + upstream_quiet_left_us(quiet, now_us) + source->answer_us;
		source->window = quiet->window;
		source->places = open < size ? size - open : 0;
	}
	return sources;
}

/* Takes the place that is answered first. Returns when that is, UINT64_MAX without upstreams. */
static uint64_t call_queue_take_place(struct call_queue_source *sources, uint32_t count)
{
	while (count > 0) {
		struct call_queue_source *first = &sources[0];

		for (uint32_t i = 1; i < count; i++) {
			if (sources[i].answered_us < first->answered_us)
				first = &sources[i];
		}
		if (first->places > 0) {
			first->places--;
			return first->answered_us;
		}
		first->window = upstream_quiet_grown_window(
			first->window, call_queue_round_size(first->up, first->window));
		first->answered_us += first->answer_us;
		first->places = call_queue_round_size(first->up, first->window);
	}
	return UINT64_MAX;
}

/* commands */

struct call_queue_item *call_queue_add(struct call_queue *queue, uint32_t priority,
				       uint64_t deadline_us, void *ctx)
{
	struct call_queue_item *item = g_new0(struct call_queue_item, 1);
	GList *before = queue->items.tail;

	item->link.data = item;
	item->priority = priority;
	item->deadline_us = deadline_us;
	item->ctx = ctx;
	while (before && ((struct call_queue_item *)before->data)->priority > priority)
		before = before->prev;
	g_queue_insert_after_link(&queue->items, before, &item->link);
	return item;
}

void call_queue_remove(struct call_queue *queue, struct call_queue_item *item)
{
	g_queue_unlink(&queue->items, &item->link);
	g_free(item);
}

/* queries */

bool call_queue_allows(const struct call_queue_upstream *up, uint64_t now_us)
{
	return upstream_quiet_allows(up->quiet, up->open, now_us) &&
	       call_queue_open(up) < call_queue_round_size(up, up->quiet->window);
}

uint64_t call_queue_answer_us(const struct call_queue *queue, const struct call_queue_upstream *ups,
			      uint32_t count, uint32_t priority, uint64_t now_us)
{
	g_autofree struct call_queue_source *sources = call_queue_forecast(ups, count, now_us);

	for (const GList *at = queue ? queue->items.head : NULL; at; at = at->next) {
		if (((const struct call_queue_item *)at->data)->priority > priority)
			break;
		call_queue_take_place(sources, count);
	}
	return call_queue_take_place(sources, count);
}

void *call_queue_first(const struct call_queue *queue)
{
	return queue->items.head ? ((struct call_queue_item *)queue->items.head->data)->ctx : NULL;
}

void *call_queue_next(const struct call_queue_item *item)
{
	return item->link.next ? ((struct call_queue_item *)item->link.next->data)->ctx : NULL;
}

void *call_queue_find_late(const struct call_queue *queue, const struct call_queue_upstream *ups,
			   uint32_t count, uint64_t limit_us, uint64_t now_us)
{
	g_autofree struct call_queue_source *sources = call_queue_forecast(ups, count, now_us);

	for (const GList *at = queue->items.head; at; at = at->next) {
		const struct call_queue_item *item = at->data;

#if defined(FL_FAULT_WAIT_TO_DEADLINE)
		/* Deliberate defect, which the tests have to detect: all wait until their deadline.
		 */
		if (item->deadline_us <= now_us)
			return item->ctx;
		continue;
#endif
		if (call_queue_take_place(sources, count) > MIN(item->deadline_us, limit_us))
			return item->ctx;
	}
	return NULL;
}

uint32_t call_queue_length(const struct call_queue *queue)
{
	return queue->items.length;
}
