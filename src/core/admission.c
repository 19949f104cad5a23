#include "flamingolatch/admission.h"

#include <glib.h>

/* What is kept free beyond the mean need of urgent generations: their arrivals are uneven. */
#define ADMISSION_RESERVE_FACTOR 1.5
/* Time constant of the rate of arrivals. After 2 s without arrivals 2 % of it is left. */
#define ADMISSION_RATE_MS 500.0
/* Weight of the last generation in the time on an engine. */
#define ADMISSION_HOLD_WEIGHT 0.1
/* An overloaded engine holds generations for longer, which must not raise the reserve without
 * limit. */
#define ADMISSION_MAX_HOLD_MS 4000
/* Parts of the objective for which a generation may be overtaken, and may wait. */
#define ADMISSION_OVERTAKE_DIVISOR 4
#define ADMISSION_WAIT_DIVISOR	   3
/* Refused callers return after a time in these limits, and with half of their time left. */
#define ADMISSION_MIN_RETURN_MS 400
#define ADMISSION_MAX_RETURN_MS 3000
#define ADMISSION_MAX_PRIORITY	9

static const char *const admission_class_names[ADMISSION_CLASS_COUNT] = { "none", "urgent",
									  "other" };

enum admission_class admission_classify(uint32_t objective_ms, uint32_t shortest_ms,
					uint32_t longest_ms)
{
	if (shortest_ms == 0 || longest_ms / ADMISSION_FACTOR < shortest_ms)
		return ADMISSION_NONE;
	return objective_ms > 0 && objective_ms <= longest_ms / ADMISSION_FACTOR ? ADMISSION_URGENT
										 : ADMISSION_OTHER;
}

const char *admission_class_name(enum admission_class class)
{
	return admission_class_names[class];
}

uint32_t admission_engine_priority(enum admission_class class, uint32_t rank)
{
	if (class == ADMISSION_NONE)
		return rank;
	return MIN(2 * MIN(rank, ADMISSION_MAX_PRIORITY / 2) + (class == ADMISSION_OTHER),
		   ADMISSION_MAX_PRIORITY);
}

void admission_demand_arrive(struct admission_demand *demand, uint64_t tokens)
{
	demand->arrived_tokens += (double)tokens;
}

void admission_demand_end(struct admission_demand *demand, uint32_t hold_ms)
{
	double held = MIN(hold_ms, ADMISSION_MAX_HOLD_MS);

	if (demand->hold_ms == 0.0)
		demand->hold_ms = held;
	else
		demand->hold_ms += ADMISSION_HOLD_WEIGHT * (held - demand->hold_ms);
}

void admission_demand_update(struct admission_demand *demand, double elapsed_ms)
{
	double weight;

	if (elapsed_ms <= 0.0)
		return;
	weight = elapsed_ms / (elapsed_ms + ADMISSION_RATE_MS);
	demand->tokens_per_s +=
		weight * (demand->arrived_tokens * 1000.0 / elapsed_ms - demand->tokens_per_s);
	demand->arrived_tokens = 0.0;
}

double admission_demand_tokens(const struct admission_demand *demand)
{
	return demand->tokens_per_s * demand->hold_ms / 1000.0;
}

double admission_reserve(double urgent_tokens, double kv_tokens)
{
#if defined(FL_FAULT_NO_RESERVE)
	/* Deliberate defect, which the tests have to detect: nothing is kept free. */
	return 0.0;
#endif
	if (kv_tokens <= 0.0 || urgent_tokens <= 0.0)
		return 0.0;
	return MIN(urgent_tokens * ADMISSION_RESERVE_FACTOR / kv_tokens, ADMISSION_MAX_RESERVE);
}

uint64_t admission_due_us(uint64_t arrived_us, uint32_t spent_ms, uint32_t objective_ms,
			  uint32_t first_event_ms)
{
	uint64_t wanted_us = arrived_us + objective_ms * 1000ULL;
	uint64_t passed_us = ((uint64_t)spent_ms + first_event_ms) * 1000;

	return wanted_us > passed_us ? wanted_us - passed_us : 0;
}

bool admission_is_before(const struct admission_item *item, const struct admission_item *other)
{
	if (item->priority != other->priority)
		return item->priority < other->priority;
	if (item->yields != other->yields)
		return other->yields;
	return item->due_us < other->due_us;
}

/* Marks the generations of a customer that holds more than half of the queue. */
static void admission_mark_yielding(struct admission_item **items, uint32_t count)
{
	const void *major = NULL;
	uint32_t votes = 0;
	uint32_t held = 0;

	/* Majority vote: only the customer that is left can hold more than half. */
	for (uint32_t i = 0; i < count; i++) {
		if (votes == 0)
			major = items[i]->customer;
		if (items[i]->customer == major)
			votes++;
		else
			votes--;
	}
	for (uint32_t i = 0; i < count; i++)
		held += items[i]->customer == major;
	for (uint32_t i = 0; i < count; i++)
		items[i]->yields = major && items[i]->customer == major && held > count / 2;
}

void admission_sort(struct admission_item **items, uint32_t count)
{
	admission_mark_yielding(items, count);
	/* Insertion sort: stable, and the queue is short. */
	for (uint32_t i = 1; i < count; i++) {
		struct admission_item *item = items[i];
		uint32_t at = i;

		for (; at > 0 && admission_is_before(item, items[at - 1]); at--)
			items[at] = items[at - 1];
		items[at] = item;
	}
}

bool admission_may_overtake(const struct admission_item *item, const struct admission_item *blocked,
			    uint64_t now_us)
{
	uint64_t limit_us = blocked->objective_ms * 1000ULL / ADMISSION_OVERTAKE_DIVISOR;

	/* Urgent ones also find room in the reserve. */
	if (item->tokens >= blocked->tokens &&
	    !(item->class == ADMISSION_URGENT && blocked->class == ADMISSION_OTHER))
		return false;
#if defined(FL_FAULT_OVERTAKE_ALWAYS)
	/* Deliberate defect, which the tests have to detect: large generations starve. */
	return true;
#endif
	return blocked->blocked_us == 0 || now_us - blocked->blocked_us < limit_us;
}

uint32_t admission_wait_ms(uint32_t objective_ms, uint32_t slack_ms, uint32_t default_ms)
{
	return MAX(default_ms, MIN(objective_ms / ADMISSION_WAIT_DIVISOR, slack_ms));
}

uint32_t admission_return_ms(struct admission_returns *returns, const struct admission_room *room,
			     uint64_t tokens, double draw, uint64_t now_us)
{
	/* What was refused for being late waits for prompts to be read. */
	double per_s = room->late_ms > 0 ? MAX(room->freed_tokens_per_s, room->read_tokens_per_s)
					 : room->freed_tokens_per_s;
	double own_per_ms = per_s / 1000.0 / MAX(room->instances, 1);
	uint32_t max_ms =
		CLAMP(room->left_ms / 2, ADMISSION_MIN_RETURN_MS, ADMISSION_MAX_RETURN_MS);
	double room_ms = room->late_ms;
	double interval_ms = ADMISSION_MAX_RETURN_MS;
	uint64_t first_us;
	uint64_t return_us;

	if (own_per_ms > 0.0) {
		room_ms = MAX(room_ms, (double)room->queued_tokens / own_per_ms);
		interval_ms = MIN((double)tokens / own_per_ms, ADMISSION_MAX_RETURN_MS);
	}
	room_ms = CLAMP(room_ms, ADMISSION_MIN_RETURN_MS, ADMISSION_MAX_RETURN_MS);
	/* A part of the interval is random: instances that refuse together have equal figures. */
	first_us = now_us + (uint64_t)(room_ms * 1000.0);
	return_us = MAX(returns->next_us, first_us);
	returns->next_us = MIN(return_us + (uint64_t)(interval_ms * 1000.0),
			       now_us + ADMISSION_MAX_RETURN_MS * 1000ULL);
	return_us += (uint64_t)(draw * interval_ms * 1000.0);
	if (return_us <= now_us + max_ms * 1000ULL)
		return (uint32_t)((return_us - now_us) / 1000);
	/* There is no room before the caller has to return; it is spread over the second half. */
	return MAX((uint32_t)(max_ms * (0.5 + 0.5 * draw)), ADMISSION_MIN_RETURN_MS);
}
