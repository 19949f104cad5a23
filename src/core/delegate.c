#include "flamingolatch/delegate.h"

#include <string.h>

/* Covers a round trip within a region and a slow instance. */
#define DELEGATE_REPLY_TIMEOUT_US (200ULL * 1000)
/* Unanswered queries in a row after which an instance counts as silent. The first reply may be lost
 * while its connection is opened. */
#define DELEGATE_SILENT_QUERY_COUNT 2
/* The same for queries that could not be sent, and the time until the next attempt. */
#define DELEGATE_UNSENT_QUERY_COUNT 8
#define DELEGATE_UNSENT_INTERVAL_US (60ULL * 1000)
/* Time without a query to a silent instance; doubled each time. Queries to it delay those to the
 * delegate, so one that was silent before gets a single one. */
#define DELEGATE_SILENT_EXCLUDE_MIN_US (4000ULL * 1000)
#define DELEGATE_SILENT_EXCLUDE_MAX_US (16000ULL * 1000)
/* The same for one that replied that it is not healthy: longer than it takes to query all
 * candidates in turn. It is doubled by each such reply while there is a delegate. */
#define DELEGATE_UNHEALTHY_EXCLUDE_MIN_US (350ULL * 1000)
#define DELEGATE_UNHEALTHY_EXCLUDE_MAX_US (2400ULL * 1000)
/* Time without a query after one that was not answered. */
#define DELEGATE_MISSED_SKIP_US (200ULL * 1000)
/* Instances that are not silent and get queries; one more for each interval without a delegate. */
#define DELEGATE_CANDIDATE_COUNT       6
#define DELEGATE_CANDIDATE_INTERVAL_US (200ULL * 1000)
/* Time between queries while there is no delegate, and while nothing is known yet. */
#define DELEGATE_SEARCH_INTERVAL_US (200ULL * 1000)
#define DELEGATE_START_INTERVAL_US  (150ULL * 1000)
/* An instance that is starting is queried again after the first time, for at most the second one.
 * An answer of the store takes a round trip between regions at most. */
#define DELEGATE_STARTING_INTERVAL_US (50ULL * 1000)
#define DELEGATE_STARTING_MAX_US      (300ULL * 1000)
/* The same for an instance that has nothing yet. The tables are read whole, a list of thousands of
 * entries in pages, and slower the more instances do so at once. Within this time a read is done
 * or has failed. */
#define DELEGATE_FIRST_START_MAX_US (10000ULL * 1000)
/* Without a reply of an instance that is starting for this time, the next one is another start. */
#define DELEGATE_STARTING_MEMORY_US (3000ULL * 1000)
/* A reply of an instance that is starting counts for this time. */
#define DELEGATE_STARTING_VALID_US (1500ULL * 1000)
/* Time between a hint that the delegate is lost and the last reply that outweighs it. */
#define DELEGATE_HINT_IGNORE_US (200ULL * 1000)
/* An instance of a lower rank watches the store as soon as all before it are unhealthy. */
#define DELEGATE_STANDBY_RANK 2
/* Delay until an instance without a delegate watches the store: by rank up to that of the last that
 * others query, and later, at random times, for those that nobody queries. */
#define DELEGATE_TAKEOVER_RANK_US   (200ULL * 1000)
#define DELEGATE_TAKEOVER_LAST_US   (1400ULL * 1000)
#define DELEGATE_TAKEOVER_JITTER_US (600ULL * 1000)

/* An instance that watched the store goes on for this long after it has found a delegate, so that
 * its dependents find that one too. They may have excluded it for almost as long. */
#define DELEGATE_HANDOVER_US (2600ULL * 1000)

/* Why an instance gets no queries for some time. */
struct delegate_exclusion {
	uint64_t until_us;
	uint64_t duration_us;
	bool silent;
	bool missed; /* it left one query unanswered */
};

struct delegate {
	char *self;
	GHashTable *exclusions; /* address to struct delegate_exclusion */

	char *queried;		   /* address of the instance whose reply is outstanding, or NULL */
	char *last_queried;	   /* address of the last query; NULL before the first */
	uint64_t query_sent_us;	   /* of the last query; 0 before the first */
	uint64_t next_query_us;	   /* when the next query is due */
	uint32_t unanswered_count; /* queries in a row to last_queried */
	uint32_t unsent_count;	   /* the same of queries that could not be sent */

	uint64_t starting_us; /* first reply of an instance that was starting; 0: none lately */
	uint64_t starting_reply_us; /* the last one; 0: none */
	bool synced;		    /* this instance has the tables, as the last view said */
	char *current;		    /* the delegate, or NULL */
	uint64_t found_us;	    /* when the last search for a delegate ended */
	uint64_t lost_us;	    /* since when there has been no delegate */
	uint64_t replied_us;	    /* when the last reply arrived; 0 before the first */

	bool watching; /* this instance watches the store itself */
	uint64_t watching_since_us;
	uint64_t takeover_jitter_us;
};

/* lifetime */

struct delegate *delegate_create(const char *self, uint32_t seed, uint64_t now_us)
{
	struct delegate *delegate = g_new0(struct delegate, 1);

	delegate->self = g_strdup(self);
	delegate->exclusions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	delegate->takeover_jitter_us = seed % DELEGATE_TAKEOVER_JITTER_US;
	delegate->lost_us = now_us;
	return delegate;
}

void delegate_destroy(struct delegate *delegate)
{
	if (!delegate)
		return;
	g_hash_table_destroy(delegate->exclusions);
	g_free(delegate->self);
	g_free(delegate->current);
	g_free(delegate->queried);
	g_free(delegate->last_queried);
	g_free(delegate);
}

/* commands */

static void delegate_drop_current(struct delegate *delegate, uint64_t now_us)
{
	if (!delegate->current)
		return;
	g_clear_pointer(&delegate->current, g_free);
	delegate->lost_us = now_us;
}

static void delegate_exclude(struct delegate *delegate, const char *address, bool silent,
			     uint64_t now_us)
{
	const struct delegate_exclusion *previous =
		g_hash_table_lookup(delegate->exclusions, address);
	bool again = previous && previous->silent == silent;
	struct delegate_exclusion exclusion = { .silent = silent };

	if (silent)
		exclusion.duration_us =
			again ? MIN(previous->duration_us * 2, DELEGATE_SILENT_EXCLUDE_MAX_US)
			      : DELEGATE_SILENT_EXCLUDE_MIN_US;
	else
		exclusion.duration_us =
			again && delegate->current
				? MIN(previous->duration_us * 2, DELEGATE_UNHEALTHY_EXCLUDE_MAX_US)
				: DELEGATE_UNHEALTHY_EXCLUDE_MIN_US;
	exclusion.until_us = now_us + exclusion.duration_us;
	g_hash_table_replace(delegate->exclusions, g_strdup(address),
			     g_memdup2(&exclusion, sizeof(exclusion)));
	if (g_strcmp0(delegate->current, address) == 0)
		delegate_drop_current(delegate, now_us);
}

/* Searches on for a short time before an instance that left one query unanswered gets another. */
static void delegate_skip(struct delegate *delegate, const char *address, uint64_t now_us)
{
	struct delegate_exclusion exclusion = { .until_us = now_us + DELEGATE_MISSED_SKIP_US,
						.duration_us = DELEGATE_MISSED_SKIP_US,
						.missed = true };

	g_hash_table_replace(delegate->exclusions, g_strdup(address),
			     g_memdup2(&exclusion, sizeof(exclusion)));
}

void delegate_check(struct delegate *delegate, uint64_t now_us)
{
	const struct delegate_exclusion *previous;

	if (!delegate->queried || now_us - delegate->query_sent_us <= DELEGATE_REPLY_TIMEOUT_US)
		return;
	previous = g_hash_table_lookup(delegate->exclusions, delegate->queried);
	if (++delegate->unanswered_count >= DELEGATE_SILENT_QUERY_COUNT ||
	    (previous && (previous->silent || previous->missed)))
		delegate_exclude(delegate, delegate->queried, true, now_us);
	else if (!delegate->current && delegate->replied_us > 0)
		delegate_skip(delegate, delegate->queried, now_us);
	g_clear_pointer(&delegate->queried, g_free);
	delegate->next_query_us = now_us;
}

/* Returns the exclusion that is in force for an instance, or NULL. */
static const struct delegate_exclusion *delegate_exclusion(const struct delegate *delegate,
							   const char *address, uint64_t now_us)
{
	const struct delegate_exclusion *exclusion =
		g_hash_table_lookup(delegate->exclusions, address);

	return exclusion && now_us < exclusion->until_us ? exclusion : NULL;
}

/* Returns the first instance that may be the delegate; NULL when there is none. */
static const char *delegate_candidate(const struct delegate *delegate,
				      const struct delegate_view *view, uint64_t now_us)
{
	uint64_t lost_for_us = delegate->current ? 0 : now_us - delegate->lost_us;
	uint64_t limit = DELEGATE_CANDIDATE_COUNT + lost_for_us / DELEGATE_CANDIDATE_INTERVAL_US;
	uint64_t seen = 0;

	for (guint i = 0; i < view->group->len && seen < limit; i++) {
		const char *address = view->group->pdata[i];
		const struct delegate_exclusion *exclusion =
			delegate_exclusion(delegate, address, now_us);

		if (strcmp(address, delegate->self) == 0) {
			if (!view->store_failing)
				return NULL;
			continue;
		}
		if (!exclusion)
			return address;
		seen += !exclusion->silent;
	}
	return NULL;
}

const char *delegate_next_query(struct delegate *delegate, const struct delegate_view *view,
				uint64_t now_us)
{
	const char *address;

	if (delegate->queried || now_us < delegate->next_query_us)
		return NULL;
	address = delegate_candidate(delegate, view, now_us);
	if (g_strcmp0(delegate->last_queried, address) != 0) {
		delegate->unanswered_count = 0;
		delegate->unsent_count = 0;
		g_free(delegate->last_queried);
		delegate->last_queried = g_strdup(address);
	}
	if (!address)
		delegate_drop_current(delegate, now_us);
	delegate->synced = view->synced;
	if (!view->synced)
		delegate->next_query_us = now_us + DELEGATE_START_INTERVAL_US;
	else if (delegate->current)
		delegate->next_query_us = now_us + view->query_interval_us;
	else
		delegate->next_query_us = now_us + DELEGATE_SEARCH_INTERVAL_US;
	return address;
}

void delegate_query_sent(struct delegate *delegate, const char *address, bool sent, uint64_t now_us)
{
	if (!sent) {
		delegate->next_query_us = now_us + DELEGATE_UNSENT_INTERVAL_US;
		if (++delegate->unsent_count >= DELEGATE_UNSENT_QUERY_COUNT)
			delegate_exclude(delegate, address, true, now_us);
		return;
	}
	delegate->unsent_count = 0;
	g_free(delegate->queried);
	delegate->queried = g_strdup(address);
	delegate->query_sent_us = now_us;
}

/* Tells whether an instance that is starting gets more time. */
static bool delegate_waits_for_start(const struct delegate *delegate, uint64_t now_us)
{
	return now_us - delegate->starting_us <
	       (delegate->synced ? DELEGATE_STARTING_MAX_US : DELEGATE_FIRST_START_MAX_US);
}

/* Records that an instance replied that it is starting, and when it gets the next query. */
static void delegate_note_starting(struct delegate *delegate, uint64_t now_us)
{
	if (!delegate->starting_us ||
	    now_us - delegate->starting_reply_us > DELEGATE_STARTING_MEMORY_US)
		delegate->starting_us = now_us;
	delegate->starting_reply_us = now_us;
	delegate->next_query_us =
		now_us + (now_us - delegate->starting_us < DELEGATE_STARTING_MAX_US
				  ? DELEGATE_STARTING_INTERVAL_US
				  : DELEGATE_START_INTERVAL_US);
}

bool delegate_on_reply(struct delegate *delegate, const char *address, uint64_t query_sent_us,
		       enum delegate_state state, uint64_t now_us)
{
	if (!delegate->queried || query_sent_us != delegate->query_sent_us ||
	    strcmp(address, delegate->queried) != 0)
		return false;
	g_clear_pointer(&delegate->queried, g_free);
	delegate->unanswered_count = 0;
	delegate->replied_us = now_us;
	if (state == DELEGATE_STARTING) {
		delegate_note_starting(delegate, now_us);
		if (delegate_waits_for_start(delegate, now_us))
			return true;
	}
	if (state != DELEGATE_HEALTHY) {
		delegate_exclude(delegate, address, false, now_us);
		delegate->next_query_us = now_us;
		return true;
	}
	delegate->starting_us = 0;
	g_hash_table_remove(delegate->exclusions, address);
	if (!delegate->current)
		delegate->found_us = now_us;
	if (g_strcmp0(delegate->current, address) != 0) {
		g_free(delegate->current);
		delegate->current = g_strdup(address);
	}
	return true;
}

void delegate_hurry(struct delegate *delegate, uint64_t now_us)
{
	if (delegate->current && now_us - delegate->replied_us > DELEGATE_HINT_IGNORE_US)
		delegate->next_query_us = now_us;
}

/* queries */

const char *delegate_current(const struct delegate *delegate)
{
	return delegate->current;
}

uint32_t delegate_rank(const struct delegate *delegate, const struct delegate_view *view,
		       uint64_t now_us)
{
	uint32_t rank = 0;

	for (guint i = 0; i < view->group->len; i++) {
		const char *address = view->group->pdata[i];
		const struct delegate_exclusion *exclusion =
			delegate_exclusion(delegate, address, now_us);

		if (strcmp(address, delegate->self) == 0)
			break;
		rank += !exclusion || !exclusion->silent;
	}
	return rank;
}

/* Tells whether all instances that rank before this one are known to be unhealthy or silent. */
static bool delegate_is_first_healthy(const struct delegate *delegate,
				      const struct delegate_view *view, uint64_t now_us)
{
	for (guint i = 0; i < view->group->len; i++) {
		const char *address = view->group->pdata[i];
		const struct delegate_exclusion *exclusion =
			delegate_exclusion(delegate, address, now_us);

		if (strcmp(address, delegate->self) == 0)
			break;
		/* One lost reply says nothing: the connection may have been opening. */
		if (!exclusion || exclusion->missed)
			return false;
	}
	return true;
}

/* Tells whether an instance without a delegate starts to watch the store. */
static bool delegate_takes_over(const struct delegate *delegate, const struct delegate_view *view,
				uint64_t now_us)
{
	uint32_t rank = delegate_rank(delegate, view, now_us);
	uint64_t delay_us;

	if (rank == 0)
		return true;
	if (rank <= DELEGATE_STANDBY_RANK && delegate_is_first_healthy(delegate, view, now_us))
		return true;
	/* Nobody is served from the tables yet, and another reader would delay the first. */
	if (rank > DELEGATE_STANDBY_RANK && !delegate->synced && delegate->starting_us &&
	    now_us - delegate->starting_reply_us < DELEGATE_STARTING_VALID_US &&
	    delegate_waits_for_start(delegate, now_us))
		return false;
	delay_us = rank < DELEGATE_CANDIDATE_COUNT
			   ? DELEGATE_TAKEOVER_RANK_US * rank
			   : DELEGATE_TAKEOVER_LAST_US + delegate->takeover_jitter_us;
	return now_us - delegate->lost_us >= delay_us;
}

bool delegate_update_watching(struct delegate *delegate, const struct delegate_view *view,
			      uint64_t now_us)
{
	if (!delegate->current && !delegate->watching) {
		delegate->watching = delegate_takes_over(delegate, view, now_us);
		delegate->watching_since_us = now_us;
	} else if (delegate->current &&
		   now_us - delegate->found_us >=
			   MIN(delegate->found_us - delegate->watching_since_us,
			       DELEGATE_HANDOVER_US)) {
		delegate->watching = false;
	}
	return delegate->watching;
}
