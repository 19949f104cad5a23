/**
 * @file delegation.h
 * Lets one instance of a group follow the store for the others.
 *
 * The load that it answers: every change of the instance list ends the waiting
 * call of every instance that follows it, and every instance has to confirm its
 * configuration every few seconds; at 60 instances these calls cost more than
 * anything else. So the instances of a group ask the first of them that answers,
 * in an order that all share. It tells them of changes, and how long ago its
 * configuration was confirmed. Nothing is agreed on: any number may follow the
 * store themselves, and whoever gets no sound answer does.
 *
 * An answer confirms the configuration as of the moment at which the question
 * was sent, less the age that the delegate states; a late answer proves no more.
 */
#ifndef FLAMINGOLATCH_SERVE_DELEGATION_H
#define FLAMINGOLATCH_SERVE_DELEGATION_H

#include "store_watch.h"
#include "peer_exchange.h"

struct delegation;

struct delegation *delegation_create(struct env *env, struct store_watch *store_watch,
				     struct peer_exchange *peer_exchange);
void delegation_destroy(struct delegation *delegation);

/** A question to the delegate, in an exchange of messages. */
struct delegation_query {
	const char *address; /**< where to answer */
	uint64_t asked_us;   /**< the asker's clock; comes back unchanged */
};

/** The delegate's answer. */
struct delegation_reply {
	const char *address; /**< of the delegate */
	uint64_t asked_us;
	uint64_t age_us;	 /**< since the configuration was confirmed */
	uint64_t config_version; /**< of the configuration in force there */
	uint64_t list_version;	 /**< of the instance list known there */
	bool sound;		 /**< it follows the store itself, and the store answers */
};

/** @name Messages; used by tests
 * @{ */
void delegation_encode_query(GByteArray *out, const struct delegation_query *ask);
bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **keep);
void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply);
bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **keep);
void delegation_encode_changes(GByteArray *out, const struct store_watch_changes *changes);
/** @param out its changes are freed with g_ptr_array_unref() */
bool delegation_decode_changes(const void *buf, size_t len, struct store_watch_changes *out);
/** @} */

#endif
