/**
 * @file delegation.h
 * Lets one instance of a group, the delegate, watch the store for the others,
 * its dependents.
 *
 * Without it, every change of the instance list ends the open watch call of
 * every instance, and every instance has to confirm its configuration every few
 * seconds; with 60 instances these calls cost more than anything else. A group is
 * the instances of a zone, or of the whole region if the zone is small. Its
 * instances query the first one that answers, in an order that all of them
 * compute alike. The delegate sends changes of the instance list to its
 * dependents and answers their queries with the age of its configuration. There
 * is no election and no agreement: any number of instances may watch the store
 * themselves, and an instance without a healthy delegate does.
 *
 * A reply confirms the configuration as of the time at which the query was
 * sent, less the age that the delegate states, so a late reply confirms nothing
 * newer.
 *
 * Create it after the store watch and the peer exchange, and destroy it before
 * them.
 */
#ifndef FLAMINGOLATCH_SERVE_DELEGATION_H
#define FLAMINGOLATCH_SERVE_DELEGATION_H

#include "peer_exchange.h"
#include "store_watch.h"

struct delegation;

/** Starts to look for a delegate and to answer queries. Sets the callbacks for changes of
 * @p watch and for messages of @p exchange. */
struct delegation *delegation_create(struct env *env, struct store_watch *watch,
				     struct peer_exchange *exchange);
/** Stops the timer and clears the callbacks; @p delegation may be NULL. */
void delegation_destroy(struct delegation *delegation);

/** Query to the delegate, or to an instance that may become it. */
struct delegation_query {
	const char *address;	/**< bus address to reply to */
	uint64_t query_sent_us; /**< clock of the sender; echoed in the reply */
};

/** Reply to a query. */
struct delegation_reply {
	const char *address;	 /**< bus address of the instance that replies */
	uint64_t query_sent_us;	 /**< copied from the query */
	uint64_t age_us;	 /**< time since its configuration was confirmed */
	uint64_t config_version; /**< of its configuration in force; 0: none */
	uint64_t list_version;	 /**< of the instance list that it knows */
	bool healthy;		 /**< it can be the delegate: it watches the store itself, the
				  * store answers and confirmed the configuration recently, and
				  * the instance does not stop */
};

/** @name Encoding of messages
 * The encoders append to @p out. The decoders return false for bytes that are not such a
 * message; otherwise @p owner owns the strings of @p out and is freed with g_variant_unref().
 * @{ */
void delegation_encode_query(GByteArray *out, const struct delegation_query *query);
bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **owner);
void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply);
bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **owner);
void delegation_encode_changes(GByteArray *out, const struct store_watch_changes *changes);
/** @param out its rows are freed with g_ptr_array_unref() */
bool delegation_decode_changes(const void *buf, size_t len, struct store_watch_changes *out);
/** @} */

#endif
