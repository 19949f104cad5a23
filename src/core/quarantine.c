#include "flamingolatch/quarantine.h"

#include <glib.h>

#define QUARANTINE_US_PER_S 1000000ULL

/* What blames a part that was never answered. */
#define QUARANTINE_MIN_ENGINES	3
#define QUARANTINE_MIN_REQUESTS 2
/* Engines that must have crashed under two parts alike to blame one of them. */
#define QUARANTINE_MIN_ENGINES_TIED 5
/* What blames a part with which answers made progress lately: one that is in many requests is in
 * many crashes too, and an outage ends many engines at once. */
#define QUARANTINE_MIN_ENGINES_KNOWN_GOOD  5
#define QUARANTINE_MIN_REQUESTS_KNOWN_GOOD 3
#define QUARANTINE_MIN_MOMENTS_KNOWN_GOOD  4
/* Crashes within this time of one another may have one cause. */
#define QUARANTINE_MOMENT_US (200ULL * 1000)
/* Time for peers to say that a part is known to be good, from the last crash that is needed to
 * blame it. */
#define QUARANTINE_SETTLE_US (700ULL * 1000)
/* An instance says so after a random part of this time, unless another one has. */
#define QUARANTINE_CLEAR_JITTER_US (350ULL * 1000)
#define QUARANTINE_CLEAR_REPEAT_US (1000ULL * 1000)
/* Engines that must have crashed before peers are told, or a retry is not worth it. */
#define QUARANTINE_SUSPECT_ENGINES	      2
#define QUARANTINE_SUSPECT_ENGINES_KNOWN_GOOD 4
/* Messages of the engine and of peers that were under way at a crash have arrived by then. */
#define QUARANTINE_ALIVE_AFTER_US (250ULL * 1000)
/* Crashes are counted, and answers remembered, for this long. */
#define QUARANTINE_CRASH_MEMORY_US    (120ULL * QUARANTINE_US_PER_S)
#define QUARANTINE_PROGRESS_MEMORY_US (60ULL * QUARANTINE_US_PER_S)
/* Ends of one quarantine at two instances differ by less. */
#define QUARANTINE_SAME_END_US	   (5ULL * QUARANTINE_US_PER_S)
#define QUARANTINE_MAX_DURATION_US (3600ULL * QUARANTINE_US_PER_S)
/* Limits of the memory that callers can make the module use. */
#define QUARANTINE_MAX_CRASHES 128
#define QUARANTINE_MAX_RECORDS 4096
#define QUARANTINE_SWEEP_US    QUARANTINE_US_PER_S

/* What is known of a part. */
struct quarantine_record {
	struct quarantine_entry entry; /* until_us is 0 unless it is or was quarantined */
	uint64_t progress_us;	       /* when an answer with it last made progress; 0: not known */
	uint64_t cleared_us;	       /* when peers were last told so */
	uint64_t clear_due_us;	       /* when they are to be told; 0: not */
	uint64_t blamed_since_us;      /* since when there is enough to blame it; 0: there is not */
	bool quarantined;
};

struct quarantine {
	struct quarantine_callbacks callbacks;
	GHashTable *records;   /* part to struct quarantine_record */
	GPtrArray *crashes;    /* struct quarantine_crash, oldest first */
	GHashTable *explained; /* set of engines; the keys are members of crashes */
	GRand *rand;
	uint64_t duration_us;
	uint64_t swept_us;
	uint32_t quarantined_count;
	bool undecided; /* there is evidence that was not decided on */
};

/* Crashes that speak against a part. */
struct quarantine_blame {
	uint32_t engines;
	uint32_t requests;
	uint32_t moments;
	uint32_t position; /* of the part in the prompt */
	uint64_t first_us; /* when the first of them happened */
};

/* lifetime */

struct quarantine *quarantine_create(const struct quarantine_callbacks *callbacks, uint32_t seed)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->callbacks = *callbacks;
	quarantine->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	quarantine->crashes = g_ptr_array_new_with_free_func(g_free);
	quarantine->explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	quarantine->rand = g_rand_new_with_seed(seed);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_destroy(quarantine->explained);
	g_hash_table_destroy(quarantine->records);
	g_ptr_array_free(quarantine->crashes, TRUE);
	g_rand_free(quarantine->rand);
	g_free(quarantine);
}

/* helpers: records */

static struct quarantine_record *quarantine_lookup(const struct quarantine *quarantine,
						   uint64_t part)
{
	return g_hash_table_lookup(quarantine->records, &part);
}

/* Returns the record of a part; adds it if needed. */
static struct quarantine_record *quarantine_record(struct quarantine *quarantine, uint64_t part)
{
	struct quarantine_record *record = quarantine_lookup(quarantine, part);

	if (record)
		return record;
	record = g_new0(struct quarantine_record, 1);
	record->entry.part = part;
	g_hash_table_insert(quarantine->records, &record->entry.part, record);
	return record;
}

static uint64_t quarantine_progress_us(const struct quarantine *quarantine, uint64_t part)
{
	const struct quarantine_record *record = quarantine_lookup(quarantine, part);

#if defined(FL_FAULT_FORGET_PROGRESS)
	/* Deliberate defect, which the tests have to detect: counts crashes under parts that are
	 * known to be good. */
	return 0;
#endif
	return record ? record->progress_us : 0;
}

static bool quarantine_is_active(const struct quarantine_record *record, uint64_t now_us)
{
	return record && record->quarantined && now_us < record->entry.until_us;
}

/* helpers: blame */

/* Returns the position of a part in a crash report, -1 when it is not there. */
static int32_t quarantine_position(const struct quarantine_crash *crash, uint64_t part)
{
	for (uint32_t i = 0; i < crash->part_count; i++) {
		if (crash->parts[i] == part)
			return (int32_t)i;
	}
	return -1;
}

/* Updates the set of engines whose crash is explained: one of the requests on them had a part that
 * is quarantined. */
static void quarantine_update_explained(struct quarantine *quarantine)
{
	g_hash_table_remove_all(quarantine->explained);
	for (guint i = 0; i < quarantine->crashes->len && quarantine->quarantined_count > 0; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];

		for (uint32_t j = 0; j < crash->part_count; j++) {
			const struct quarantine_record *record =
				quarantine_lookup(quarantine, crash->parts[j]);

			if (record && record->quarantined)
				g_hash_table_add(quarantine->explained, &crash->engine);
		}
	}
}

/* Counts the crashes under a part since an answer with it last made progress. */
static struct quarantine_blame quarantine_blame_of(const struct quarantine *quarantine,
						   uint64_t part)
{
	struct quarantine_blame blame = { 0 };
	g_autoptr(GHashTable) engines = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_autoptr(GHashTable) requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint64_t progress_us = quarantine_progress_us(quarantine, part);
	uint64_t moment_us = 0;

	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];
		int32_t position = quarantine_position(crash, part);

		if (position < 0 || crash->at_us <= progress_us ||
		    g_hash_table_contains(quarantine->explained, &crash->engine))
			continue;
		g_hash_table_add(engines, &crash->engine);
		g_hash_table_add(requests, &crash->request);
		if (moment_us == 0 || crash->at_us > moment_us + QUARANTINE_MOMENT_US) {
			blame.moments++;
			moment_us = crash->at_us;
		}
		blame.position = MAX(blame.position, (uint32_t)position);
		blame.first_us = blame.first_us ? MIN(blame.first_us, crash->at_us) : crash->at_us;
	}
	blame.engines = g_hash_table_size(engines);
	blame.requests = g_hash_table_size(requests);
	return blame;
}

static bool quarantine_is_enough(const struct quarantine *quarantine, uint64_t part,
				 const struct quarantine_blame *blame)
{
	const struct quarantine_record *record = quarantine_lookup(quarantine, part);

	/* A part that was quarantined before needs no second proof. */
	if (record && record->entry.until_us > 0 && blame->engines > 0)
		return true;
	if (record && record->progress_us > 0)
		return blame->engines >= QUARANTINE_MIN_ENGINES_KNOWN_GOOD &&
		       blame->requests >= QUARANTINE_MIN_REQUESTS_KNOWN_GOOD &&
		       blame->moments >= QUARANTINE_MIN_MOMENTS_KNOWN_GOOD;
	return blame->engines >= QUARANTINE_MIN_ENGINES &&
	       blame->requests >= QUARANTINE_MIN_REQUESTS;
}

/* Compares two parts by the evidence. @return more than 0 if it speaks more against the first, 0 if
 * it does not distinguish them */
static int quarantine_compare(const struct quarantine *quarantine, uint64_t part,
			      const struct quarantine_blame *blame, uint64_t other_part,
			      const struct quarantine_blame *other)
{
	bool known_good = quarantine_progress_us(quarantine, part) > 0;
	bool other_known_good = quarantine_progress_us(quarantine, other_part) > 0;

	if (blame->engines != other->engines)
		return blame->engines > other->engines ? 1 : -1;
	return (int)other_known_good - (int)known_good;
}

/* Finds the part that is most likely to blame for crashes that are not explained yet; the more
 * specific one if the evidence does not distinguish two.
 * @return false when there is not enough against any */
static bool quarantine_find_cause(struct quarantine *quarantine, uint64_t *cause,
				  struct quarantine_blame *cause_blame)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool found = false;
	bool tied = false;

	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];

		for (uint32_t j = 0; j < crash->part_count; j++) {
			struct quarantine_blame blame;
			int order;

			if (!g_hash_table_add(seen, &crash->parts[j]))
				continue;
			blame = quarantine_blame_of(quarantine, crash->parts[j]);
			if (!quarantine_is_enough(quarantine, crash->parts[j], &blame))
				continue;
			order = found ? quarantine_compare(quarantine, crash->parts[j], &blame,
							   *cause, cause_blame)
				      : 1;
			tied = order == 0 || (tied && order < 0);
			if (order < 0 || (order == 0 && blame.position < cause_blame->position))
				continue;
			*cause = crash->parts[j];
			*cause_blame = blame;
			found = true;
		}
	}
	return found && (!tied || cause_blame->engines >= QUARANTINE_MIN_ENGINES_TIED);
}

/* commands */

void quarantine_set_duration(struct quarantine *quarantine, uint64_t duration_us)
{
	quarantine->duration_us = duration_us;
}

static void quarantine_end(struct quarantine *quarantine, struct quarantine_record *record)
{
	record->quarantined = false;
	quarantine->quarantined_count--;
	quarantine_update_explained(quarantine);
	quarantine->callbacks.ended(quarantine->callbacks.ctx, record->entry.part);
}

/* Ends a quarantine that began before an answer with the part made progress. */
static void quarantine_end_disproved(struct quarantine *quarantine,
				     struct quarantine_record *record)
{
	if (record->entry.until_us == 0 ||
	    record->progress_us + record->entry.duration_us <= record->entry.until_us)
		return;
	if (record->quarantined)
		quarantine_end(quarantine, record);
	record->entry.until_us = 0;
	record->entry.duration_us = 0;
}

/* Has peers told after a while that a part is known to be good, unless one of them is first. */
static void quarantine_schedule_clearing(struct quarantine *quarantine,
					 struct quarantine_record *record, uint64_t now_us)
{
	if (record->clear_due_us > 0 ||
	    (record->cleared_us > 0 && now_us - record->cleared_us < QUARANTINE_CLEAR_REPEAT_US))
		return;
	record->clear_due_us = now_us + (uint64_t)g_rand_int_range(quarantine->rand, 1,
								   QUARANTINE_CLEAR_JITTER_US);
}

static bool quarantine_is_known(const struct quarantine *quarantine,
				const struct quarantine_crash *crash)
{
	for (guint i = 0; i < quarantine->crashes->len; i++) {
		const struct quarantine_crash *known = quarantine->crashes->pdata[i];

		if (known->engine == crash->engine && known->request == crash->request)
			return true;
	}
	return false;
}

void quarantine_add_crash(struct quarantine *quarantine, const struct quarantine_crash *crash,
			  uint64_t now_us)
{
	if (crash->part_count == 0 || quarantine->duration_us == 0 ||
	    quarantine_is_known(quarantine, crash))
		return;
	if (quarantine->crashes->len >= QUARANTINE_MAX_CRASHES)
		g_ptr_array_remove_index(quarantine->crashes, 0);
	g_ptr_array_add(quarantine->crashes, g_memdup2(crash, sizeof(*crash)));
	quarantine_update_explained(quarantine);
	quarantine->undecided = true;
	for (uint32_t i = 0; i < crash->part_count; i++) {
		struct quarantine_record *record = quarantine_lookup(quarantine, crash->parts[i]);

		if (record && record->progress_us > 0 &&
		    quarantine_blame_of(quarantine, crash->parts[i]).engines >=
			    QUARANTINE_SUSPECT_ENGINES)
			quarantine_schedule_clearing(quarantine, record, now_us);
	}
}

void quarantine_add_progress(struct quarantine *quarantine, const uint64_t *parts,
			     uint32_t part_count, uint64_t now_us)
{
	for (uint32_t i = 0; i < part_count; i++) {
		struct quarantine_record *record = quarantine_lookup(quarantine, parts[i]);
		bool blamed = quarantine->crashes->len > 0 &&
			      quarantine_blame_of(quarantine, parts[i]).engines > 0;

		if (!record && g_hash_table_size(quarantine->records) >= QUARANTINE_MAX_RECORDS)
			continue;
		record = quarantine_record(quarantine, parts[i]);
		blamed |= record->quarantined;
		record->progress_us = now_us;
		quarantine_end_disproved(quarantine, record);
		if (blamed)
			quarantine_schedule_clearing(quarantine, record, now_us);
	}
}

void quarantine_add_peer_progress(struct quarantine *quarantine, uint64_t part,
				  uint64_t progress_us)
{
	struct quarantine_record *record = quarantine_record(quarantine, part);

	if (progress_us + QUARANTINE_CLEAR_REPEAT_US > record->progress_us) {
		record->clear_due_us = 0;
		record->cleared_us = MAX(progress_us, record->progress_us);
	}
	record->progress_us = MAX(record->progress_us, progress_us);
	quarantine_end_disproved(quarantine, record);
	quarantine->undecided = true;
}

void quarantine_add_alive(struct quarantine *quarantine, uint64_t engine, uint64_t now_us)
{
	guint count = quarantine->crashes->len;

	for (guint i = quarantine->crashes->len; i > 0; i--) {
		const struct quarantine_crash *crash = quarantine->crashes->pdata[i - 1];

		if (crash->engine == engine && now_us > crash->at_us + QUARANTINE_ALIVE_AFTER_US)
			g_ptr_array_remove_index(quarantine->crashes, i - 1);
	}
	if (quarantine->crashes->len < count)
		quarantine_update_explained(quarantine);
}

bool quarantine_add_entry(struct quarantine *quarantine, const struct quarantine_entry *entry,
			  uint64_t now_us)
{
	struct quarantine_record *record;
	uint64_t duration_us = MIN(entry->duration_us, QUARANTINE_MAX_DURATION_US);
	uint64_t until_us = MIN(entry->until_us, now_us + QUARANTINE_MAX_DURATION_US);

	if (quarantine->duration_us == 0 || until_us <= now_us)
		return false;
	record = quarantine_record(quarantine, entry->part);
	if (record->progress_us > 0 && record->progress_us + duration_us > until_us) {
		quarantine_schedule_clearing(quarantine, record, now_us);
		return false;
	}
	if (record->quarantined && until_us <= record->entry.until_us + QUARANTINE_SAME_END_US)
		return false;
	quarantine->quarantined_count += !record->quarantined;
	record->quarantined = true;
	record->entry.until_us = until_us;
	record->entry.duration_us = duration_us;
	quarantine_update_explained(quarantine);
	return true;
}

static void quarantine_blame_part(struct quarantine *quarantine, uint64_t part,
				  const struct quarantine_blame *blame, uint64_t now_us)
{
	struct quarantine_record *record = quarantine_record(quarantine, part);
	uint64_t duration_us = record->entry.until_us > 0 ? record->entry.duration_us * 2
							  : quarantine->duration_us;

	duration_us = MIN(duration_us, QUARANTINE_MAX_DURATION_US);
	record->entry.until_us = now_us + duration_us;
	record->entry.duration_us = duration_us;
	record->blamed_since_us = 0;
	record->quarantined = true;
	quarantine->quarantined_count++;
	quarantine_update_explained(quarantine);
	quarantine->callbacks.added(quarantine->callbacks.ctx, &record->entry, blame->engines);
}

/* Quarantines parts that have been to blame for long enough.
 * @return true when one may be later, without further evidence */
static bool quarantine_decide_causes(struct quarantine *quarantine, uint64_t now_us)
{
	struct quarantine_blame blame = { 0 };
	uint64_t part = 0;

	while (quarantine_find_cause(quarantine, &part, &blame)) {
		struct quarantine_record *record = quarantine_record(quarantine, part);

		/* An earlier time belongs to crashes that no longer count. */
		if (record->blamed_since_us < blame.first_us)
			record->blamed_since_us = now_us;
		if (now_us - record->blamed_since_us < QUARANTINE_SETTLE_US)
			return true;
		quarantine_blame_part(quarantine, part, &blame, now_us);
	}
	return false;
}

static void quarantine_sweep(struct quarantine *quarantine, uint64_t now_us)
{
	GHashTableIter iter;
	struct quarantine_record *record;

	while (quarantine->crashes->len > 0) {
		const struct quarantine_crash *oldest = quarantine->crashes->pdata[0];

		if (now_us < oldest->at_us + QUARANTINE_CRASH_MEMORY_US)
			break;
		g_ptr_array_remove_index(quarantine->crashes, 0);
	}
	quarantine_update_explained(quarantine);
	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->progress_us > 0 &&
		    now_us > record->progress_us + QUARANTINE_PROGRESS_MEMORY_US)
			record->progress_us = 0;
		/* After the quarantine, one crash within its duration is enough to repeat it. */
		if (now_us > record->entry.until_us + record->entry.duration_us)
			record->entry.until_us = 0;
		if (record->progress_us == 0 && record->entry.until_us == 0 &&
		    now_us > record->blamed_since_us + QUARANTINE_CRASH_MEMORY_US)
			g_hash_table_iter_remove(&iter);
	}
}

void quarantine_decide(struct quarantine *quarantine, uint64_t now_us)
{
	GHashTableIter iter;
	struct quarantine_record *record;

	if (quarantine->undecided)
		quarantine->undecided = quarantine_decide_causes(quarantine, now_us);
	if (now_us < quarantine->swept_us + QUARANTINE_SWEEP_US && quarantine->crashes->len == 0 &&
	    quarantine->quarantined_count == 0)
		return;
	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->quarantined && now_us >= record->entry.until_us)
			quarantine_end(quarantine, record);
		if (record->clear_due_us == 0 || now_us < record->clear_due_us)
			continue;
		record->clear_due_us = 0;
		record->cleared_us = now_us;
		if (record->progress_us > 0)
			quarantine->callbacks.cleared(quarantine->callbacks.ctx, record->entry.part,
						      record->progress_us);
	}
	if (now_us >= quarantine->swept_us + QUARANTINE_SWEEP_US) {
		quarantine->swept_us = now_us;
		quarantine_sweep(quarantine, now_us);
	}
}

/* queries */

const struct quarantine_entry *quarantine_find(const struct quarantine *quarantine,
					       const uint64_t *parts, uint32_t part_count,
					       uint64_t now_us)
{
#if defined(FL_FAULT_NO_QUARANTINE)
	/* Deliberate defect, which the tests have to detect: quarantines nothing. */
	return NULL;
#endif
	for (uint32_t i = 0; i < part_count && quarantine->quarantined_count > 0; i++) {
		const struct quarantine_record *record = quarantine_lookup(quarantine, parts[i]);

		if (quarantine_is_active(record, now_us))
			return &record->entry;
	}
	return NULL;
}

bool quarantine_is_suspect(const struct quarantine *quarantine, const uint64_t *parts,
			   uint32_t part_count)
{
	for (uint32_t i = 0; i < part_count && quarantine->crashes->len > 0; i++) {
		bool known_good = quarantine_progress_us(quarantine, parts[i]) > 0;

		if (quarantine_blame_of(quarantine, parts[i]).engines >=
		    (known_good ? QUARANTINE_SUSPECT_ENGINES_KNOWN_GOOD
				: QUARANTINE_SUSPECT_ENGINES))
			return true;
	}
	return false;
}

void quarantine_foreach(const struct quarantine *quarantine, uint64_t now_us,
			void (*each)(void *ctx, const struct quarantine_entry *entry), void *ctx)
{
	GHashTableIter iter;
	const struct quarantine_record *record;

	g_hash_table_iter_init(&iter, quarantine->records);
	while (quarantine->quarantined_count > 0 &&
	       g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (quarantine_is_active(record, now_us))
			each(ctx, &record->entry);
	}
}

uint32_t quarantine_count(const struct quarantine *quarantine)
{
	return quarantine->quarantined_count;
}
