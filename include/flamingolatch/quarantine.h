/**
 * @file quarantine.h
 * Finds out what crashes upstreams, and keeps it from further upstreams.
 *
 * An upstream may crash as soon as it begins to answer a certain request, or a
 * prompt with a certain part. Each retry and each further request of that kind
 * takes one more upstream away from all callers. What requests have in common is
 * called a trait here: a shared part of their prompts, or their fingerprint, which
 * is the same for a request that comes again under another id. The load that this
 * answers is a few such requests a second, at any instance, among other ones that
 * share the customer, the route and the other parts.
 *
 * A crash is reported with the traits of each request that had made no progress on
 * the upstream. A trait is blamed after crashes of several upstreams under several
 * requests, or under several attempts of callers for a fingerprint, unless an answer
 * with it made progress since. Of the traits that explain the same crashes one is
 * blamed: the one under which most upstreams crashed, then one that was never
 * answered, and after some more crashes the more specific one. A blamed trait is
 * quarantined for a time that doubles when it is blamed again. An upstream that
 * sends something after its reported crash has not crashed, and its reports are
 * dropped. A request under which two upstreams crashed is held back for a moment,
 * so that it is not decided by the loss of all.
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

/** Traits of a crash report; further parts are left out. */
#define QUARANTINE_MAX_TRAITS 33
/** Events after which an answer has made progress. */
#define QUARANTINE_PROGRESS_EVENTS 3

struct quarantine;

/** An upstream crashed while a request on it had made no progress. */
struct quarantine_crash {
	uint64_t upstream; /**< names the incarnation of the upstream */
	uint64_t request;  /**< differs between prompts, but not between attempts of one */
	uint64_t attempt;  /**< differs between the ids of callers' requests */
	uint64_t at_us;
	uint32_t trait_count;
	/** Parts that requests may share, in order, and last the fingerprint. */
	uint64_t traits[QUARANTINE_MAX_TRAITS];
};

/** A quarantined trait. */
struct quarantine_entry {
	uint64_t trait;
	uint64_t until_us;
	uint64_t duration_us; /**< from the beginning to @c until_us */
	bool is_request;      /**< the trait is a fingerprint */
};

/** Callbacks of quarantine_decide(). */
struct quarantine_callbacks {
	/** A trait was quarantined. @param crashes upstreams that crashed under it */
	void (*added)(void *ctx, const struct quarantine_entry *entry, uint32_t crashes);
	/** The quarantine of a trait ended. */
	void (*ended)(void *ctx, const struct quarantine_entry *entry);
	/** Peers may blame a trait that this instance knows to be good; tell them. */
	void (*cleared)(void *ctx, uint64_t trait, bool is_request, uint64_t progress_us);
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
/** Records that an answer made progress here. Ends the quarantine of its traits.
 * @param traits as in a crash report, the fingerprint last */
void quarantine_add_progress(struct quarantine *quarantine, const uint64_t *traits,
			     uint32_t trait_count, uint64_t now_us);
/** Records that an answer with a trait made progress at a peer.
 * @param is_request the trait is a fingerprint
 * @param progress_us when */
void quarantine_add_peer_progress(struct quarantine *quarantine, uint64_t trait, bool is_request,
				  uint64_t progress_us);
/** Records that an upstream has sent something. */
void quarantine_add_alive(struct quarantine *quarantine, uint64_t upstream, uint64_t now_us);
/** Takes over a quarantine from a peer or the store.
 * @return false when the trait is quarantined for as long already */
bool quarantine_add_entry(struct quarantine *quarantine, const struct quarantine_entry *entry,
			  uint64_t now_us);
/** Quarantines traits that are to blame, ends quarantines that are over, and forgets what is old.
 */
void quarantine_decide(struct quarantine *quarantine, uint64_t now_us);

/** Returns the first quarantined one of some traits, or NULL. */
const struct quarantine_entry *quarantine_find(const struct quarantine *quarantine,
					       const uint64_t *traits, uint32_t trait_count,
					       uint64_t now_us);
/** Tells whether several upstreams crashed under one of the traits, not enough yet to blame it. A
 * request with such a trait is not worth a retry. */
bool quarantine_is_suspect(const struct quarantine *quarantine, const uint64_t *traits,
			   uint32_t trait_count);
/** Returns until when a request is held back: two upstreams crashed under it, the last one just
 * now, and it was not answered lately.
 * @return a time up to which it is not sent to an upstream; 0 when it is not held back */
uint64_t quarantine_held_until_us(const struct quarantine *quarantine, uint64_t fingerprint,
				  uint64_t now_us);
/** Calls @p each for every quarantined trait. */
void quarantine_foreach(const struct quarantine *quarantine, uint64_t now_us,
			void (*each)(void *ctx, const struct quarantine_entry *entry), void *ctx);
/** Returns the number of quarantined traits. */
uint32_t quarantine_count(const struct quarantine *quarantine);

#endif
