#include "flamingolatch/quarantine.h"

#include <glib.h>

#define QUARANTINE_US_PER_S 1000000ULL

/* What blames a trait that was never answered. */
#define QUARANTINE_MIN_UPSTREAMS 3
#define QUARANTINE_MIN_REQUESTS	 2
/* The same for a fingerprint: callers repeat a sound request at once, so that it is on several
 * upstreams when an outage ends them together. */
#define QUARANTINE_MIN_ATTEMPTS		  3
#define QUARANTINE_MIN_ATTEMPTS_SPREAD	  2 /* when the crashes are apart */
#define QUARANTINE_MIN_MOMENTS_OF_REQUEST 2
/* Engines that must have crashed under two traits alike to blame one of them. */
#define QUARANTINE_MIN_UPSTREAMS_TIED 5
/* What blames a trait with which answers made progress lately: one that is in many requests is in
 * many crashes too, and an outage ends many upstreams at once. */
#define QUARANTINE_MIN_UPSTREAMS_KNOWN_GOOD 5
#define QUARANTINE_MIN_REQUESTS_KNOWN_GOOD  3
#define QUARANTINE_MIN_MOMENTS_KNOWN_GOOD   4
/* Crashes within this time of one another may have one cause. */
#define QUARANTINE_MOMENT_US (200ULL * 1000)
/* Time for peers to say that a trait is known to be good, from the last crash that is needed to
 * blame it. */
#define QUARANTINE_SETTLE_US (700ULL * 1000)
/* An instance says so after a random trait of this time, unless another one has. */
#define QUARANTINE_CLEAR_JITTER_US (350ULL * 1000)
#define QUARANTINE_CLEAR_REPEAT_US (1000ULL * 1000)
/* Engines that must have crashed before peers are told, or a retry is not worth it. */
#define QUARANTINE_SUSPECT_UPSTREAMS		2
#define QUARANTINE_SUSPECT_UPSTREAMS_KNOWN_GOOD 4
/* Messages of the upstream and of peers that were under way at a crash have arrived by then. */
#define QUARANTINE_ALIVE_AFTER_US (250ULL * 1000)
/* A request under which upstreams crashed is held back for this long: longer than it takes to blame
 * what crashed them. */
#define QUARANTINE_HOLD_UPSTREAMS 2
#define QUARANTINE_HOLD_US	  (1000ULL * 1000)
/* Crashes are counted, and answers remembered, for this long. Most fingerprints occur once, so they
 * are remembered for a shorter time. */
#define QUARANTINE_CRASH_MEMORY_US	      (120ULL * QUARANTINE_US_PER_S)
#define QUARANTINE_PROGRESS_MEMORY_US	      (60ULL * QUARANTINE_US_PER_S)
#define QUARANTINE_REQUEST_PROGRESS_MEMORY_US (20ULL * QUARANTINE_US_PER_S)
/* Ends of one quarantine at two instances differ by less. */
#define QUARANTINE_SAME_END_US	   (5ULL * QUARANTINE_US_PER_S)
#define QUARANTINE_MAX_DURATION_US (3600ULL * QUARANTINE_US_PER_S)
/* Limits of the memory that callers can make the module use. */
#define QUARANTINE_MAX_CRASHES	       1024
#define QUARANTINE_MAX_RECORDS	       4096
#define QUARANTINE_MAX_REQUEST_RECORDS 2048 /* among them */
#define QUARANTINE_SWEEP_US	       QUARANTINE_US_PER_S

/* Stands for a trait that a report no longer speaks against. */
#define QUARANTINE_NO_TRAIT 0

/* What is known of a trait. */
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
	GHashTable *records;   /* trait to struct quarantine_record */
	GPtrArray *crashes;    /* struct quarantine_crash, oldest first */
	GHashTable *explained; /* set of upstreams; the keys are members of crashes */
	GHashTable *crashed;   /* upstream to the number of its reports, as a pointer */
	GRand *rand;
	uint64_t duration_us;
	uint64_t swept_us;
	uint32_t quarantined_count;
	uint32_t request_record_count; /* records of fingerprints */
	bool undecided;		       /* there is evidence that was not decided on */
};

/* Crashes that speak against a trait. */
struct quarantine_blame {
	uint32_t upstreams;
	uint32_t requests;
	uint32_t moments;
	uint32_t position; /* of the trait: the higher, the more specific */
	uint64_t first_us; /* when the first of them happened */
	uint64_t last_us;
	bool is_request; /* the trait is a fingerprint, told apart by attempts */
};

/* lifetime */

struct quarantine *quarantine_create(const struct quarantine_callbacks *callbacks, uint32_t seed)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->callbacks = *callbacks;
	quarantine->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	quarantine->crashes = g_ptr_array_new_with_free_func(g_free);
	quarantine->explained = g_hash_table_new(g_int64_hash, g_int64_equal);
	quarantine->crashed = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	quarantine->rand = g_rand_new_with_seed(seed);
	return quarantine;
}

void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	g_hash_table_destroy(quarantine->explained);
	g_hash_table_destroy(quarantine->crashed);
	g_hash_table_destroy(quarantine->records);
	g_ptr_array_free(quarantine->crashes, TRUE);
	g_rand_free(quarantine->rand);
	g_free(quarantine);
}

/* helpers: records */

static struct quarantine_record *quarantine_lookup(const struct quarantine *quarantine,
						   uint64_t trait)
{
	return g_hash_table_lookup(quarantine->records, &trait);
}

/* Returns the record of a trait; adds it if needed. */
static struct quarantine_record *quarantine_record(struct quarantine *quarantine, uint64_t trait,
						   bool is_request)
{
	struct quarantine_record *record = quarantine_lookup(quarantine, trait);

	if (record)
		return record;
	record = g_new0(struct quarantine_record, 1);
	record->entry.trait = trait;
	record->entry.is_request = is_request;
	quarantine->request_record_count += is_request;
	g_hash_table_insert(quarantine->records, &record->entry.trait, record);
	return record;
}

/* Returns whether there is room for the record of another trait. */
static bool quarantine_has_room(const struct quarantine *quarantine, bool is_request)
{
	return g_hash_table_size(quarantine->records) < QUARANTINE_MAX_RECORDS &&
	       (!is_request || quarantine->request_record_count < QUARANTINE_MAX_REQUEST_RECORDS);
}

static uint64_t quarantine_progress_us(const struct quarantine *quarantine, uint64_t trait)
{
	const struct quarantine_record *record = quarantine_lookup(quarantine, trait);

#if defined(FL_FAULT_FORGET_PROGRESS)
	/* Deliberate defect, which the tests have to detect: counts crashes under traits that are
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

/* Returns whether a position in a list of traits is that of the fingerprint. */
static bool quarantine_is_request(uint32_t position, uint32_t trait_count)
{
	return position + 1 == trait_count;
}

/* Returns the position of a trait in a crash report, -1 when it is not there. */
static int32_t quarantine_position(const struct quarantine_crash *crash, uint64_t trait)
{
	for (uint32_t i = 0; i < crash->trait_count; i++) {
		if (crash->traits[i] == trait)
			return (int32_t)i;
	}
	return -1;
}

/* Updates the set of upstreams whose crash is explained: one of the requests on them had a trait
 * that is quarantined. */
static void quarantine_update_explained(struct quarantine *quarantine)
{
	g_hash_table_remove_all(quarantine->explained);
	for (guint i = 0; i < quarantine->crashes->len && quarantine->quarantined_count > 0; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];

		for (uint32_t j = 0; j < crash->trait_count; j++) {
			const struct quarantine_record *record =
				quarantine_lookup(quarantine, crash->traits[j]);

			if (record && record->quarantined)
				g_hash_table_add(quarantine->explained, &crash->upstream);
		}
	}
}

/* Counts the crashes under a trait since an answer with it last made progress. */
static struct quarantine_blame quarantine_blame_of(const struct quarantine *quarantine,
						   uint64_t trait)
{
	struct quarantine_blame blame = { 0 };
	g_autoptr(GHashTable) upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_autoptr(GHashTable) requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	uint64_t progress_us = quarantine_progress_us(quarantine, trait);
	uint64_t moment_us = 0;

	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];
		int32_t position = quarantine_position(crash, trait);

		if (position < 0 || crash->at_us <= progress_us ||
		    g_hash_table_contains(quarantine->explained, &crash->upstream))
			continue;
		blame.is_request = quarantine_is_request((uint32_t)position, crash->trait_count);
		g_hash_table_add(upstreams, &crash->upstream);
		g_hash_table_add(requests, blame.is_request ? &crash->attempt : &crash->request);
		if (moment_us == 0 || crash->at_us > moment_us + QUARANTINE_MOMENT_US) {
			blame.moments++;
			moment_us = crash->at_us;
		}
		blame.position = MAX(blame.position, (uint32_t)position);
		blame.first_us = blame.first_us ? MIN(blame.first_us, crash->at_us) : crash->at_us;
		blame.last_us = MAX(blame.last_us, crash->at_us);
	}
	blame.upstreams = g_hash_table_size(upstreams);
	blame.requests = g_hash_table_size(requests);
	return blame;
}

static bool quarantine_is_enough(const struct quarantine *quarantine, uint64_t trait,
				 const struct quarantine_blame *blame)
{
	const struct quarantine_record *record = quarantine_lookup(quarantine, trait);

	/* A trait that was quarantined before needs no second proof. */
	if (record && record->entry.until_us > 0 && blame->upstreams > 0)
		return true;
	if (record && record->progress_us > 0)
		return blame->upstreams >= QUARANTINE_MIN_UPSTREAMS_KNOWN_GOOD &&
		       blame->requests >= QUARANTINE_MIN_REQUESTS_KNOWN_GOOD &&
		       blame->moments >= QUARANTINE_MIN_MOMENTS_KNOWN_GOOD;
	if (blame->upstreams < QUARANTINE_MIN_UPSTREAMS)
		return false;
	if (!blame->is_request)
		return blame->requests >= QUARANTINE_MIN_REQUESTS;
	return blame->requests >= QUARANTINE_MIN_ATTEMPTS ||
	       (blame->requests >= QUARANTINE_MIN_ATTEMPTS_SPREAD &&
		blame->moments >= QUARANTINE_MIN_MOMENTS_OF_REQUEST);
}

/* Compares two traits by the evidence. @return more than 0 if it speaks more against the first, 0
 * if it does not distinguish them */
static int quarantine_compare(const struct quarantine *quarantine, uint64_t trait,
			      const struct quarantine_blame *blame, uint64_t other_trait,
			      const struct quarantine_blame *other)
{
	bool known_good = quarantine_progress_us(quarantine, trait) > 0;
	bool other_known_good = quarantine_progress_us(quarantine, other_trait) > 0;

	/* A request that is in several crashes and was never answered is no bystander. */
	if (known_good != other_known_good && (blame->is_request || other->is_request) &&
	    (known_good ? other->is_request : blame->is_request))
		return known_good ? -1 : 1;
	if (blame->upstreams != other->upstreams)
		return blame->upstreams > other->upstreams ? 1 : -1;
	return (int)other_known_good - (int)known_good;
}

/* Counts the reports that each trait is in. Returns trait to count, as a pointer. */
static GHashTable *quarantine_count_reports(struct quarantine *quarantine)
{
	GHashTable *counts = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];

		for (uint32_t j = 0; j < crash->trait_count; j++) {
			guint count =
				GPOINTER_TO_UINT(g_hash_table_lookup(counts, &crash->traits[j]));

			g_hash_table_replace(counts, &crash->traits[j],
					     GUINT_TO_POINTER(count + 1));
		}
	}
	return counts;
}

/* Tells whether a trait is in enough reports to be blamed: most fingerprints are in one only. */
static bool quarantine_may_be_cause(const struct quarantine *quarantine, GHashTable *counts,
				    uint64_t trait)
{
	const struct quarantine_record *record = quarantine_lookup(quarantine, trait);

	return trait != QUARANTINE_NO_TRAIT &&
	       (GPOINTER_TO_UINT(g_hash_table_lookup(counts, &trait)) >= QUARANTINE_MIN_UPSTREAMS ||
		(record && record->entry.until_us > 0));
}

/* Finds the trait that is most likely to blame for crashes that are not explained yet; the more
 * specific one if the evidence does not distinguish two.
 * @return false when there is not enough against any */
static bool quarantine_find_cause(struct quarantine *quarantine, uint64_t *cause,
				  struct quarantine_blame *cause_blame)
{
	g_autoptr(GHashTable) counts = quarantine_count_reports(quarantine);
	g_autoptr(GHashTable) seen = g_hash_table_new(g_int64_hash, g_int64_equal);
	bool found = false;
	bool tied = false;

	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];

		for (uint32_t j = 0; j < crash->trait_count; j++) {
			struct quarantine_blame blame;
			int order;

			if (!quarantine_may_be_cause(quarantine, counts, crash->traits[j]) ||
			    !g_hash_table_add(seen, &crash->traits[j]))
				continue;
			blame = quarantine_blame_of(quarantine, crash->traits[j]);
			if (!quarantine_is_enough(quarantine, crash->traits[j], &blame))
				continue;
			order = found ? quarantine_compare(quarantine, crash->traits[j], &blame,
							   *cause, cause_blame)
				      : 1;
			tied = order == 0 || (tied && order < 0);
			if (order < 0 || (order == 0 && blame.position < cause_blame->position))
				continue;
			*cause = crash->traits[j];
			*cause_blame = blame;
			found = true;
		}
	}
	return found && (!tied || cause_blame->upstreams >= QUARANTINE_MIN_UPSTREAMS_TIED);
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
	quarantine->callbacks.ended(quarantine->callbacks.ctx, &record->entry);
}

/* Ends a quarantine that began before an answer with the trait made progress. */
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

/* Has peers told after a while that a trait is known to be good, unless one of them is first. */
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

		if (known->upstream == crash->upstream && known->attempt == crash->attempt)
			return true;
	}
	return false;
}

/* Adds to the number of reports of an upstream. */
static void quarantine_count_crashed(struct quarantine *quarantine, uint64_t upstream, int change)
{
	int count = GPOINTER_TO_INT(g_hash_table_lookup(quarantine->crashed, &upstream)) + change;

	if (count == 0)
		g_hash_table_remove(quarantine->crashed, &upstream);
	else
		g_hash_table_replace(quarantine->crashed, g_memdup2(&upstream, sizeof(upstream)),
				     GINT_TO_POINTER(count));
}

/* Removes a report. The caller updates what is explained. */
static void quarantine_remove_crash(struct quarantine *quarantine, guint index)
{
	const struct quarantine_crash *crash = quarantine->crashes->pdata[index];

	quarantine_count_crashed(quarantine, crash->upstream, -1);
	g_ptr_array_remove_index(quarantine->crashes, index);
}

void quarantine_add_crash(struct quarantine *quarantine, const struct quarantine_crash *crash,
			  uint64_t now_us)
{
	if (crash->trait_count == 0 || quarantine->duration_us == 0 ||
	    quarantine_is_known(quarantine, crash))
		return;
	if (quarantine->crashes->len >= QUARANTINE_MAX_CRASHES)
		quarantine_remove_crash(quarantine, 0);
	g_ptr_array_add(quarantine->crashes, g_memdup2(crash, sizeof(*crash)));
	quarantine_count_crashed(quarantine, crash->upstream, 1);
	quarantine_update_explained(quarantine);
	quarantine->undecided = true;
	for (uint32_t i = 0; i < crash->trait_count; i++) {
		struct quarantine_record *record = quarantine_lookup(quarantine, crash->traits[i]);

		if (record && record->progress_us > 0 &&
		    quarantine_blame_of(quarantine, crash->traits[i]).upstreams >=
			    QUARANTINE_SUSPECT_UPSTREAMS)
			quarantine_schedule_clearing(quarantine, record, now_us);
	}
}

void quarantine_add_progress(struct quarantine *quarantine, const uint64_t *traits,
			     uint32_t trait_count, uint64_t now_us)
{
	for (uint32_t i = 0; i < trait_count; i++) {
		struct quarantine_record *record = quarantine_lookup(quarantine, traits[i]);
		bool is_request = quarantine_is_request(i, trait_count);
		/* Peers need not hear of each request that one retry saved. */
		uint32_t min_upstreams = is_request ? QUARANTINE_SUSPECT_UPSTREAMS : 1;
		bool blamed = quarantine->crashes->len > 0 &&
			      quarantine_blame_of(quarantine, traits[i]).upstreams >= min_upstreams;

		if (!record && !quarantine_has_room(quarantine, is_request))
			continue;
		record = quarantine_record(quarantine, traits[i], is_request);
		blamed |= record->quarantined;
		record->progress_us = now_us;
		quarantine_end_disproved(quarantine, record);
		if (blamed)
			quarantine_schedule_clearing(quarantine, record, now_us);
	}
}

void quarantine_add_peer_progress(struct quarantine *quarantine, uint64_t trait, bool is_request,
				  uint64_t progress_us)
{
	struct quarantine_record *record = quarantine_record(quarantine, trait, is_request);

	if (progress_us + QUARANTINE_CLEAR_REPEAT_US > record->progress_us) {
		record->clear_due_us = 0;
		record->cleared_us = MAX(progress_us, record->progress_us);
	}
	record->progress_us = MAX(record->progress_us, progress_us);
	quarantine_end_disproved(quarantine, record);
	quarantine->undecided = true;
}

void quarantine_add_alive(struct quarantine *quarantine, uint64_t upstream, uint64_t now_us)
{
	guint count = quarantine->crashes->len;

	if (!g_hash_table_contains(quarantine->crashed, &upstream))
		return;
	for (guint i = quarantine->crashes->len; i > 0; i--) {
		const struct quarantine_crash *crash = quarantine->crashes->pdata[i - 1];

		if (crash->upstream == upstream &&
		    now_us > crash->at_us + QUARANTINE_ALIVE_AFTER_US)
			quarantine_remove_crash(quarantine, i - 1);
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
	record = quarantine_record(quarantine, entry->trait, entry->is_request);
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

static void quarantine_blame_trait(struct quarantine *quarantine, uint64_t trait,
				   const struct quarantine_blame *blame, uint64_t now_us)
{
	struct quarantine_record *record = quarantine_record(quarantine, trait, blame->is_request);
	uint64_t duration_us = record->entry.until_us > 0 ? record->entry.duration_us * 2
							  : quarantine->duration_us;

	duration_us = MIN(duration_us, QUARANTINE_MAX_DURATION_US);
	record->entry.until_us = now_us + duration_us;
	record->entry.duration_us = duration_us;
	record->blamed_since_us = 0;
	record->quarantined = true;
	quarantine->quarantined_count++;
	quarantine_update_explained(quarantine);
	quarantine->callbacks.added(quarantine->callbacks.ctx, &record->entry, blame->upstreams);
}

/* Quarantines traits that have been to blame for long enough.
 * @return true when one may be later, without further evidence */
static bool quarantine_decide_causes(struct quarantine *quarantine, uint64_t now_us)
{
	struct quarantine_blame blame = { 0 };
	uint64_t trait = 0;

	while (quarantine_find_cause(quarantine, &trait, &blame)) {
		struct quarantine_record *record =
			quarantine_record(quarantine, trait, blame.is_request);

		/* An earlier time belongs to crashes that no longer count. */
		if (record->blamed_since_us < blame.first_us)
			record->blamed_since_us = now_us;
		if (now_us - record->blamed_since_us < QUARANTINE_SETTLE_US)
			return true;
		quarantine_blame_trait(quarantine, trait, &blame, now_us);
	}
	return false;
}

static uint64_t quarantine_progress_memory_us(const struct quarantine_record *record)
{
	return record->entry.is_request ? QUARANTINE_REQUEST_PROGRESS_MEMORY_US
					: QUARANTINE_PROGRESS_MEMORY_US;
}

/* Forgets when an answer with a trait last made progress, and the crashes before, which say nothing
 * against it. */
static void quarantine_forget_progress(struct quarantine *quarantine,
				       struct quarantine_record *record)
{
	for (guint i = 0; i < quarantine->crashes->len; i++) {
		struct quarantine_crash *crash = quarantine->crashes->pdata[i];
		int32_t position = quarantine_position(crash, record->entry.trait);

		if (position >= 0 && crash->at_us <= record->progress_us)
			crash->traits[position] = QUARANTINE_NO_TRAIT;
	}
	record->progress_us = 0;
}

static void quarantine_sweep(struct quarantine *quarantine, uint64_t now_us)
{
	GHashTableIter iter;
	struct quarantine_record *record;

	while (quarantine->crashes->len > 0) {
		const struct quarantine_crash *oldest = quarantine->crashes->pdata[0];

		if (now_us < oldest->at_us + QUARANTINE_CRASH_MEMORY_US)
			break;
		quarantine_remove_crash(quarantine, 0);
	}
	quarantine_update_explained(quarantine);
	g_hash_table_iter_init(&iter, quarantine->records);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&record)) {
		if (record->progress_us > 0 &&
		    now_us > record->progress_us + quarantine_progress_memory_us(record))
			quarantine_forget_progress(quarantine, record);
		/* After the quarantine, one crash within its duration is enough to repeat it. */
		if (now_us > record->entry.until_us + record->entry.duration_us)
			record->entry.until_us = 0;
		if (record->progress_us == 0 && record->entry.until_us == 0 &&
		    now_us > record->blamed_since_us + QUARANTINE_CRASH_MEMORY_US) {
			quarantine->request_record_count -= record->entry.is_request;
			g_hash_table_iter_remove(&iter);
		}
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
			quarantine->callbacks.cleared(quarantine->callbacks.ctx,
						      record->entry.trait, record->entry.is_request,
						      record->progress_us);
	}
	if (now_us >= quarantine->swept_us + QUARANTINE_SWEEP_US) {
		quarantine->swept_us = now_us;
		quarantine_sweep(quarantine, now_us);
	}
}

/* queries */

const struct quarantine_entry *quarantine_find(const struct quarantine *quarantine,
					       const uint64_t *traits, uint32_t trait_count,
					       uint64_t now_us)
{
#if defined(FL_FAULT_NO_QUARANTINE)
	/* Deliberate defect, which the tests have to detect: quarantines nothing. */
	return NULL;
#endif
	for (uint32_t i = 0; i < trait_count && quarantine->quarantined_count > 0; i++) {
		const struct quarantine_record *record = quarantine_lookup(quarantine, traits[i]);

		if (quarantine_is_active(record, now_us))
			return &record->entry;
	}
	return NULL;
}

bool quarantine_is_suspect(const struct quarantine *quarantine, const uint64_t *traits,
			   uint32_t trait_count)
{
	for (uint32_t i = 0; i < trait_count && quarantine->crashes->len > 0; i++) {
		bool known_good = quarantine_progress_us(quarantine, traits[i]) > 0;

		if (quarantine_blame_of(quarantine, traits[i]).upstreams >=
		    (known_good ? QUARANTINE_SUSPECT_UPSTREAMS_KNOWN_GOOD
				: QUARANTINE_SUSPECT_UPSTREAMS))
			return true;
	}
	return false;
}

uint64_t quarantine_held_until_us(const struct quarantine *quarantine, uint64_t fingerprint,
				  uint64_t now_us)
{
	struct quarantine_blame blame;

	if (quarantine->crashes->len == 0 || quarantine_progress_us(quarantine, fingerprint) > 0)
		return 0;
	blame = quarantine_blame_of(quarantine, fingerprint);
	if (blame.upstreams < QUARANTINE_HOLD_UPSTREAMS ||
	    now_us >= blame.last_us + QUARANTINE_HOLD_US)
		return 0;
	return blame.last_us + QUARANTINE_HOLD_US;
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
