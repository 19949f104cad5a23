/**
 * @file quarantine.h
 * Finds prompt parts that crash engines, and keeps them from further engines.
 *
 * Requests share parts of their prompts. When an engine crashes as soon as it
 * begins to answer a prompt with a certain part, each retry and each further
 * request with that part takes one more engine away from all callers. The load
 * that this answers is a few such requests a second, at any instance, among other
 * ones that share the customer, the route and the other parts.
 *
 * A crash is reported with the parts of each request that had made no progress on the
 * engine. A part is blamed after crashes of several engines under several
 * requests, unless an answer with it made progress since. Of the parts that explain
 * the same crashes one is blamed: the one under which most engines crashed, then
 * one that was never answered, and after some more crashes the more specific one. A blamed part is
 * quarantined for a time that doubles when it is blamed again. An engine that
 * sends something after its reported crash has not crashed, and its reports are
 * dropped.
 *
 * Order of calls: quarantine_create(); the commands with what this instance
 * observed and what peers report; quarantine_decide() regularly, which calls back
 * for each change; quarantine_destroy(). The module does no I/O and reads no
 * clock. Times are monotonic, in us, and not 0.
 */
#ifndef FLAMINGOLATCH_QUARANTINE_H
#define FLAMINGOLATCH_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

/** Parts of a crash report; further ones are left out. */
#define QUARANTINE_MAX_PARTS 32
/** Events after which an answer has made progress. */
#define QUARANTINE_PROGRESS_EVENTS 3

struct quarantine;

/** An engine crashed while a request on it had made no progress. */
struct quarantine_crash {
	uint64_t engine;  /**< names the incarnation of the engine */
	uint64_t request; /**< differs between requests, but not between attempts of one */
	uint64_t at_us;
	uint32_t part_count;
	uint64_t parts[QUARANTINE_MAX_PARTS]; /**< parts that requests may share, in order */
};

/** A quarantined part. */
struct quarantine_entry {
	uint64_t part;
	uint64_t until_us;
	uint64_t duration_us; /**< from the beginning to @c until_us */
};

/** Callbacks of quarantine_decide(). */
struct quarantine_callbacks {
	/** A part was quarantined. @param crashes engines that crashed under it */
	void (*added)(void *ctx, const struct quarantine_entry *entry, uint32_t crashes);
	/** The quarantine of a part ended. */
	void (*ended)(void *ctx, uint64_t part);
	/** Peers may blame a part that this instance knows to be good; tell them. */
	void (*cleared)(void *ctx, uint64_t part, uint64_t progress_us);
	void *ctx;
};

struct quarantine *quarantine_create(const struct quarantine_callbacks *callbacks, uint32_t seed);
void quarantine_destroy(struct quarantine *quarantine);

/** Sets the duration of a first quarantine, in us; 0 quarantines nothing. */
void quarantine_set_duration(struct quarantine *quarantine, uint64_t duration_us);

/** Reports a crash that this instance or a peer observed. A report that is known already has no
 * effect. */
void quarantine_add_crash(struct quarantine *quarantine, const struct quarantine_crash *crash,
			  uint64_t now_us);
/** Records that an answer made progress here. Ends the quarantine of its parts. */
void quarantine_add_progress(struct quarantine *quarantine, const uint64_t *parts,
			     uint32_t part_count, uint64_t now_us);
/** Records that an answer with a part made progress at a peer. @param progress_us when */
void quarantine_add_peer_progress(struct quarantine *quarantine, uint64_t part,
				  uint64_t progress_us);
/** Records that an engine has sent something. */
void quarantine_add_alive(struct quarantine *quarantine, uint64_t engine, uint64_t now_us);
/** Takes over a quarantine from a peer or the store.
 * @return false when the part is quarantined for as long already */
bool quarantine_add_entry(struct quarantine *quarantine, const struct quarantine_entry *entry,
			  uint64_t now_us);
/** Quarantines parts that are to blame, ends quarantines that are over, and forgets what is old.
 */
void quarantine_decide(struct quarantine *quarantine, uint64_t now_us);

/** Returns the first quarantined one of some parts, or NULL. */
const struct quarantine_entry *quarantine_find(const struct quarantine *quarantine,
					       const uint64_t *parts, uint32_t part_count,
					       uint64_t now_us);
/** Tells whether several engines crashed under one of the parts, not enough yet to blame it. A
 * request with such a part is not worth a retry. */
bool quarantine_is_suspect(const struct quarantine *quarantine, const uint64_t *parts,
			   uint32_t part_count);
/** Calls @p each for every quarantined part. */
void quarantine_foreach(const struct quarantine *quarantine, uint64_t now_us,
			void (*each)(void *ctx, const struct quarantine_entry *entry), void *ctx);
/** Returns the number of quarantined parts. */
uint32_t quarantine_count(const struct quarantine *quarantine);

#endif
