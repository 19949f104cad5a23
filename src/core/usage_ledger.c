#include "flamingolatch/usage_ledger.h"

#include <glib.h>
#include <string.h>

/* A longer interval counts as unobserved: the observer was paused during it. */
#define USAGE_LEDGER_MAX_INTERVAL_US (2ULL * 1000 * 1000)

/* Time charged to one owner since the last committed row. */
struct usage_ledger_entry {
	char *owner;
	uint64_t busy_us;
	uint64_t idle_us;
};

struct usage_ledger {
	char *token;
	uint64_t sequence; /* number of rows committed with this token */
	uint64_t from_us;  /* start of the time not committed yet; 0 before the first observation */
	uint64_t until_us; /* time of the last observation */
	uint64_t unobserved_us; /* not committed yet, as are the entries */
	GPtrArray *entries;	/* struct usage_ledger_entry */
	struct {
		char *owner;
		uint64_t weight;
	} current_shares[USAGE_LEDGER_MAX_OWNERS]; /* of the interval since the last observation */
	uint32_t current_share_count;
	bool current_busy;
	uint64_t merged_until_us; /* end of the last row that usage_ledger_merge() returned */
};

/* lifetime */

static void usage_ledger_entry_free(gpointer data)
{
	struct usage_ledger_entry *entry = data;

	g_free(entry->owner);
	g_free(entry);
}

struct usage_ledger *usage_ledger_create(const char *token)
{
	struct usage_ledger *ledger = g_new0(struct usage_ledger, 1);

	ledger->token = g_strdup(token);
	ledger->entries = g_ptr_array_new_with_free_func(usage_ledger_entry_free);
	return ledger;
}

static void usage_ledger_clear_shares(struct usage_ledger *ledger)
{
	for (uint32_t i = 0; i < ledger->current_share_count; i++)
		g_free(ledger->current_shares[i].owner);
	ledger->current_share_count = 0;
}

void usage_ledger_destroy(struct usage_ledger *ledger)
{
	if (!ledger)
		return;
	usage_ledger_clear_shares(ledger);
	g_ptr_array_free(ledger->entries, TRUE);
	g_free(ledger->token);
	g_free(ledger);
}

/* helpers */

static struct usage_ledger_entry *usage_ledger_entry(struct usage_ledger *ledger, const char *owner)
{
	struct usage_ledger_entry *entry;

	for (guint i = 0; i < ledger->entries->len; i++) {
		entry = ledger->entries->pdata[i];
		if (strcmp(entry->owner, owner) == 0)
			return entry;
	}
	entry = g_new0(struct usage_ledger_entry, 1);
	entry->owner = g_strdup(owner);
	g_ptr_array_add(ledger->entries, entry);
	return entry;
}

/* Charges an interval by weight. Rounding the cumulative weight makes the parts add up exactly. */
static void usage_ledger_charge(struct usage_ledger *ledger, uint64_t interval_us)
{
	uint64_t total_weight = 0;
	uint64_t cumulative_weight = 0;
	uint64_t charged_us = 0;

	for (uint32_t i = 0; i < ledger->current_share_count; i++)
		total_weight += ledger->current_shares[i].weight;
	if (total_weight == 0) {
		ledger->unobserved_us += interval_us;
		return;
	}
	for (uint32_t i = 0; i < ledger->current_share_count; i++) {
		struct usage_ledger_entry *entry =
			usage_ledger_entry(ledger, ledger->current_shares[i].owner);
		uint64_t share_end_us;

		cumulative_weight += ledger->current_shares[i].weight;
		share_end_us = (uint64_t)((unsigned __int128)interval_us * cumulative_weight /
					  total_weight);
		if (ledger->current_busy)
			entry->busy_us += share_end_us - charged_us;
		else
			entry->idle_us += share_end_us - charged_us;
		charged_us = share_end_us;
	}
}

static uint64_t usage_ledger_number(const json_t *row, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(row, key));
}

static void usage_ledger_add(json_t *object, const char *key, uint64_t added_us)
{
	if (added_us)
		json_object_set_new(
			object, key,
			json_integer((json_int_t)(usage_ledger_number(object, key) + added_us)));
}

static json_t *usage_ledger_new_row(uint64_t from_us)
{
	return json_pack("{s:I, s:I, s:I, s:{}, s:{}}", "from_us", (json_int_t)from_us, "until_us",
			 (json_int_t)from_us, "unobserved_us", (json_int_t)0, "busy_us", "idle_us");
}

static void usage_ledger_reset(struct usage_ledger *ledger, uint64_t from_us)
{
	g_ptr_array_set_size(ledger->entries, 0);
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
	/* After the clock was set back, no time is added until it has caught up. */
	if (wall_us > ledger->until_us) {
		uint64_t interval_us = wall_us - ledger->until_us;

		if (interval_us > USAGE_LEDGER_MAX_INTERVAL_US)
			ledger->unobserved_us += interval_us;
		else
			usage_ledger_charge(ledger, interval_us);
		ledger->until_us = wall_us;
	}
	usage_ledger_clear_shares(ledger);
	ledger->current_busy = busy;
	ledger->current_share_count = MIN(count, USAGE_LEDGER_MAX_OWNERS);
	for (uint32_t i = 0; i < ledger->current_share_count; i++) {
		ledger->current_shares[i].owner = g_strdup(shares[i].owner);
		ledger->current_shares[i].weight = shares[i].weight;
	}
}

json_t *usage_ledger_merge(struct usage_ledger *ledger, const json_t *row)
{
	const char *token = json_string_value(json_object_get(row, "token"));
	uint64_t until_us = usage_ledger_number(row, "until_us");
	json_t *new_row;

	/* A newer row of this observer: it was committed, but the result was lost. */
	if (token && strcmp(token, ledger->token) == 0 &&
	    usage_ledger_number(row, "sequence") > ledger->sequence)
		usage_ledger_on_written(ledger);
	if (ledger->from_us == 0 || ledger->until_us <= MAX(until_us, ledger->from_us))
		return NULL;
	new_row = row ? json_deep_copy(row) : usage_ledger_new_row(ledger->from_us);
	until_us = usage_ledger_number(new_row, "until_us");
#ifdef FL_FAULT_OVERLAP
	/* Deliberate defect, which the tests have to detect: charges time that another observer
	 * has recorded. */
	until_us = ledger->from_us;
#endif
	if (until_us > ledger->from_us) {
		/* Another observer recorded a part of this time; the rest counts as unobserved. */
		usage_ledger_add(new_row, "unobserved_us", ledger->until_us - until_us);
	} else {
		usage_ledger_add(new_row, "unobserved_us",
				 ledger->from_us - until_us + ledger->unobserved_us);
		for (guint i = 0; i < ledger->entries->len; i++) {
			const struct usage_ledger_entry *entry = ledger->entries->pdata[i];

			usage_ledger_add(json_object_get(new_row, "busy_us"), entry->owner,
					 entry->busy_us);
			usage_ledger_add(json_object_get(new_row, "idle_us"), entry->owner,
					 entry->idle_us);
		}
	}
	json_object_set_new(new_row, "until_us", json_integer((json_int_t)ledger->until_us));
	json_object_set_new(new_row, "token", json_string(ledger->token));
	json_object_set_new(new_row, "sequence", json_integer((json_int_t)ledger->sequence + 1));
	ledger->merged_until_us = ledger->until_us;
	return new_row;
}

void usage_ledger_on_written(struct usage_ledger *ledger)
{
	ledger->sequence++;
	/* Intervals that ended since the merge are few and short; they count as unobserved. */
	usage_ledger_reset(ledger, ledger->merged_until_us);
	ledger->unobserved_us = ledger->until_us - ledger->merged_until_us;
}

/* queries */

static uint64_t usage_ledger_sum(const json_t *object)
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
	return usage_ledger_sum(json_object_get(row, "busy_us")) +
		       usage_ledger_sum(json_object_get(row, "idle_us")) +
		       usage_ledger_number(row, "unobserved_us") ==
	       usage_ledger_number(row, "until_us") - usage_ledger_number(row, "from_us");
}
