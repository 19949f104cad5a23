/**
 * @file delegate.h
 * Decides which instance of a group watches the store for one instance, and when
 * the instance has to watch the store itself.
 *
 * The instances of a group (a zone, or a small region) are ranked by an order that
 * all of them compute alike. Each queries the first one of lower rank that
 * replies and is healthy; that one is its delegate. Nothing is agreed on, and any
 * number of instances may watch the store at the same time.
 *
 * Load that this answers: hundreds of instances that start at once, lose their
 * delegate at once, or of which a third is refused by the store. A lost delegate
 * must not send all its dependents to the store. So an instance without a
 * delegate waits the longer before it watches the store itself, the more live
 * instances rank before it; by then one of those does. When the first read of the
 * tables takes seconds, an instance that has nothing yet waits for it as long as the
 * reader replies that it is starting. An instance whose own calls to the store fail
 * also queries instances of higher rank.
 *
 * Does no I/O and reads no clock; @c now_us must include the time for which the
 * machine was suspended. Order of calls: delegate_create(); at every tick
 * delegate_check(), delegate_next_query(), delegate_query_sent() if there is one,
 * delegate_update_watching(); delegate_on_reply() for each reply;
 * delegate_destroy() last.
 */
#ifndef FLAMINGOLATCH_DELEGATE_H
#define FLAMINGOLATCH_DELEGATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct delegate;

/** What the instance knows at a tick. */
struct delegate_view {
	const GPtrArray *group;	    /**< addresses by rank, that of this instance included */
	uint64_t query_interval_us; /**< between queries to a healthy delegate */
	bool store_failing;	    /**< the instance's own calls to the store failed lately */
	bool synced;		    /**< it has a configuration and an instance list */
};

/** @param self address of this instance
 *  @param seed spreads the delays of the instances of a group */
struct delegate *delegate_create(const char *self, uint32_t seed, uint64_t now_us);
/** Accepts NULL. */
void delegate_destroy(struct delegate *delegate);

/** Gives up a query that was not answered in time. */
void delegate_check(struct delegate *delegate, uint64_t now_us);
/** Returns the address to query now, borrowed from the group, or NULL when no query is due. */
const char *delegate_next_query(struct delegate *delegate, const struct delegate_view *view,
				uint64_t now_us);
/** Records a query; its time identifies the reply.
 * @param sent false when the message was dropped, as while the connection is being opened */
void delegate_query_sent(struct delegate *delegate, const char *address, bool sent,
			 uint64_t now_us);
/** What an instance says of itself in a reply. */
enum delegate_state {
	DELEGATE_HEALTHY,
	DELEGATE_STARTING, /**< it watches the store, or is about to, and has neither an answer yet
			    * nor a failure */
	DELEGATE_UNHEALTHY,
	DELEGATE_STATE_COUNT
};

/**
 * Records a reply.
 * @param query_sent_us time of the query that it answers
 * @return true when it answers the open query; any other reply is to be ignored
 */
bool delegate_on_reply(struct delegate *delegate, const char *address, uint64_t query_sent_us,
		       enum delegate_state state, uint64_t now_us);
/** Makes the next query due at once: another instance seems to have lost the delegate. */
void delegate_hurry(struct delegate *delegate, uint64_t now_us);

/** Returns the address of the delegate, or NULL. */
const char *delegate_current(const struct delegate *delegate);
/** Decides whether the instance has to watch the store itself. Once it does, it goes on until it
 * has a delegate. */
bool delegate_update_watching(struct delegate *delegate, const struct delegate_view *view,
			      uint64_t now_us);
/** Returns how many instances that may be alive rank before this one. */
uint32_t delegate_rank(const struct delegate *delegate, const struct delegate_view *view,
		       uint64_t now_us);

#endif
