#include "flamingolatch/usage_ledger.h"

#include <glib.h>
#include <string.h>

/* A longer span was not watched: the accountant was paused. */
#define USAGE_LEDGER_MAX_SPAN_US (2ULL * 1000 * 1000)

/* Time of one owner since the last written row. */
struct ldgr_part {
	char *owner;
	uint64_t busy_us;
	uint64_t idle_us;
};

struct usage_ledger {
	char *token;
	uint64_t sequence; /* of written rows */
	uint64_t from_us;  /* start of what is not written yet; 0 before the first */
	uint64_t until_us; /* end of the last closed span */
	uint64_t unobserved_us;
	GPtrArray *parts; /* struct ldgr_part */
	struct {
		char *owner;
		uint64_t weight;
	} open[USAGE_LEDGER_MAX_OWNERS];
	uint32_t open_count;
	bool open_busy;
	uint64_t merged_until_us; /* end of the row that was handed out */
};

/* lifetime */

static void ldgr_part_free(gpointer data)
{
	struct ldgr_part *part = data;

	g_free(part->owner);
	g_free(part);
}

struct usage_ledger *usage_ledger_create(const char *token)
{
	struct usage_ledger *ledger = g_new0(struct usage_ledger, 1);

	ledger->token = g_strdup(token);
	ledger->parts = g_ptr_array_new_with_free_func(ldgr_part_free);
	return ledger;
}

static void ldgr_clear_open(struct usage_ledger *ledger)
{
	for (uint32_t i = 0; i < ledger->open_count; i++)
		g_free(ledger->open[i].owner);
	ledger->open_count = 0;
}

void usage_ledger_destroy(struct usage_ledger *ledger)
{
	if (!ledger)
		return;
	ldgr_clear_open(ledger);
	g_ptr_array_free(ledger->parts, TRUE);
	g_free(ledger->token);
	g_free(ledger);
}

/* helpers */

static struct ldgr_part *ldgr_part(struct usage_ledger *ledger, const char *owner)
{
	struct ldgr_part *part;

	for (guint i = 0; i < ledger->parts->len; i++) {
		part = ledger->parts->pdata[i];
		if (strcmp(part->owner, owner) == 0)
			return part;
	}
	part = g_new0(struct ldgr_part, 1);
	part->owner = g_strdup(owner);
	g_ptr_array_add(ledger->parts, part);
	return part;
}

/* Splits a span by weights; the parts add up to the span exactly. */
static void ldgr_split(struct usage_ledger *ledger, uint64_t span_us)
{
	uint64_t total = 0;
	uint64_t sum = 0;
	uint64_t given_us = 0;

	for (uint32_t i = 0; i < ledger->open_count; i++)
		total += ledger->open[i].weight;
	if (total == 0) {
		ledger->unobserved_us += span_us;
		return;
	}
	for (uint32_t i = 0; i < ledger->open_count; i++) {
		struct ldgr_part *part = ldgr_part(ledger, ledger->open[i].owner);
		uint64_t end_us;

		sum += ledger->open[i].weight;
		end_us = (uint64_t)((unsigned __int128)span_us * sum / total);
		if (ledger->open_busy)
			part->busy_us += end_us - given_us;
		else
			part->idle_us += end_us - given_us;
		given_us = end_us;
	}
}

static uint64_t ldgr_number(const json_t *row, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(row, key));
}

static void ldgr_add(json_t *object, const char *key, uint64_t by_us)
{
	if (by_us)
		json_object_set_new(object, key,
				    json_integer((json_int_t)(ldgr_number(object, key) + by_us)));
}

static json_t *ldgr_fresh_row(uint64_t from_us)
{
	return json_pack("{s:I, s:I, s:I, s:{}, s:{}}", "from_us", (json_int_t)from_us, "until_us",
			 (json_int_t)from_us, "unobserved_us", (json_int_t)0, "busy_us", "idle_us");
}

static void ldgr_reset(struct usage_ledger *ledger, uint64_t from_us)
{
	g_ptr_array_set_size(ledger->parts, 0);
	ledger->unobserved_us = 0;
	ledger->from_us = from_us;
}

/* commands */

void usage_ledger_observe(struct usage_ledger *ledger, uint64_t wall_us,
			  const struct usage_ledger_share *shares, uint32_t count, bool busy)
{
	if (ledger->from_us == 0) {
		ledger->from_us = wall_us;
		ledger->until_us = wall_us;
	}
	/* A clock that was set back adds nothing until it has caught up. */
	if (wall_us > ledger->until_us) {
		uint64_t span_us = wall_us - ledger->until_us;

		if (span_us > USAGE_LEDGER_MAX_SPAN_US)
			ledger->unobserved_us += span_us;
		else
			ldgr_split(ledger, span_us);
		ledger->until_us = wall_us;
	}
	ldgr_clear_open(ledger);
	ledger->open_busy = busy;
	ledger->open_count = MIN(count, USAGE_LEDGER_MAX_OWNERS);
	for (uint32_t i = 0; i < ledger->open_count; i++) {
		ledger->open[i].owner = g_strdup(shares[i].owner);
		ledger->open[i].weight = shares[i].weight;
	}
}

json_t *usage_ledger_merge(struct usage_ledger *ledger, const json_t *row)
{
	const char *token = json_string_value(json_object_get(row, "token"));
	uint64_t until_us = ldgr_number(row, "until_us");
	json_t *next;

	if (token && strcmp(token, ledger->token) == 0 &&
	    ldgr_number(row, "sequence") > ledger->sequence)
		usage_ledger_on_written(ledger);
	if (ledger->from_us == 0 || ledger->until_us <= MAX(until_us, ledger->from_us))
		return NULL;
	next = row ? json_deep_copy(row) : ldgr_fresh_row(ledger->from_us);
	until_us = ldgr_number(next, "until_us");
#ifdef FL_FAULT_OVERLAP
	until_us = ledger->from_us;
#endif
	if (until_us > ledger->from_us) {
		/* Another accountant has counted a part of this; what is new stays open. */
		ldgr_add(next, "unobserved_us", ledger->until_us - until_us);
	} else {
		ldgr_add(next, "unobserved_us", ledger->from_us - until_us + ledger->unobserved_us);
		for (guint i = 0; i < ledger->parts->len; i++) {
			const struct ldgr_part *part = ledger->parts->pdata[i];

			ldgr_add(json_object_get(next, "busy_us"), part->owner, part->busy_us);
			ldgr_add(json_object_get(next, "idle_us"), part->owner, part->idle_us);
		}
	}
	json_object_set_new(next, "until_us", json_integer((json_int_t)ledger->until_us));
	json_object_set_new(next, "token", json_string(ledger->token));
	json_object_set_new(next, "sequence", json_integer((json_int_t)ledger->sequence + 1));
	ledger->merged_until_us = ledger->until_us;
	return next;
}

void usage_ledger_on_written(struct usage_ledger *ledger)
{
	ledger->sequence++;
	/* Spans closed since the merge are few and short; they count as unobserved. */
	ldgr_reset(ledger, ledger->merged_until_us);
	ledger->unobserved_us = ledger->until_us - ledger->merged_until_us;
}

/* queries */

static uint64_t ldgr_sum(const json_t *object)
{
	uint64_t sum = 0;
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)object, key, value) {
		sum += (uint64_t)json_integer_value(value);
	}
	return sum;
}

bool usage_ledger_is_balanced(const json_t *row)
{
	return ldgr_sum(json_object_get(row, "busy_us")) +
		       ldgr_sum(json_object_get(row, "idle_us")) +
		       ldgr_number(row, "unobserved_us") ==
	       ldgr_number(row, "until_us") - ldgr_number(row, "from_us");
}
