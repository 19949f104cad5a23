/**
 * @file delegation_message.h
 * Encoding of the messages by which one instance watches the store for others.
 *
 * The encoders append to @p out. The decoders return false for bytes that are
 * not such a message; otherwise @p owner owns the strings of @p out and is freed
 * with g_variant_unref().
 */
#ifndef FLAMINGOLATCH_SERVE_DELEGATION_MESSAGE_H
#define FLAMINGOLATCH_SERVE_DELEGATION_MESSAGE_H

#include "store_watch.h"

#include "flamingolatch/delegate.h"

/** Types of the messages on the bus; 1 is a load report. Changes had type 4 before they were
 * packed. */
enum delegation_message_type {
	DELEGATION_MSG_QUERY = 2,
	DELEGATION_MSG_REPLY = 3,
	DELEGATION_MSG_CONFIG = 5,
	DELEGATION_MSG_PEERS = 6,
	DELEGATION_MSG_CHANGES = 10, /**< of the instance list, packed */
	DELEGATION_MSG_EVACUATED = 11,
};

/** Limit on unpacked changes: the whole list of 40,000 upstreams. */
#define DELEGATION_CHANGES_MAX_BYTES (8U << 20)

/** Query to the delegate, or to an instance that may become it. */
struct delegation_query {
	const char *address;	    /**< bus address to reply to */
	uint64_t query_sent_us;	    /**< clock of the sender; echoed in the reply */
	uint64_t config_version;    /**< of the sender's configuration; 0: none */
	struct store_position list; /**< of the sender's instance list; zeros: none */
	uint64_t list_digest;	    /**< by fleet_digest(); 0: none */
};

/** The evacuated zones that an instance knows. */
struct delegation_evacuated {
	struct store_position position; /**< of the store; zeros when it does not know them */
	GPtrArray *zones;		/**< strings */
};

/** Reply to a query. */
struct delegation_reply {
	const char *address;	     /**< bus address of the instance that replies */
	uint64_t query_sent_us;	     /**< copied from the query */
	uint64_t age_us;	     /**< time since its configuration was confirmed */
	uint64_t config_version;     /**< of its configuration in force; 0: none */
	struct store_position store; /**< when the configuration was confirmed */
	struct store_position list;  /**< of the instance list that it knows */
	struct delegation_evacuated evacuated;
	/** Healthy: it watches the store itself, the store answers and confirmed the configuration
	 * recently, and the instance does not stop. */
	enum delegate_state state;
};

/** A gateway instance, as the delegate read it from the store. */
struct delegation_peer {
	const char *address; /**< of its bus */
	const char *instance;
	const char *zone;
	bool listed; /**< its row was among those read */
};

void delegation_encode_query(GByteArray *out, const struct delegation_query *query);
bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **owner);
void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply);
/** @param out its array of zones is freed with g_ptr_array_unref() */
bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **owner);
void delegation_encode_evacuated(GByteArray *out, const struct delegation_evacuated *evacuated);
/** @param out its array of zones is freed with g_ptr_array_unref() */
bool delegation_decode_evacuated(const void *buf, size_t len, struct delegation_evacuated *out,
				 GVariant **owner);
void delegation_encode_changes(GByteArray *out, const struct store_watch_changes *changes);
/** @param out its rows are freed with g_ptr_array_unref() */
bool delegation_decode_changes(const void *buf, size_t len, struct store_watch_changes *out);
/** Encodes changes compressed. @return the message, or NULL when memory is short */
GBytes *delegation_pack_changes(const struct store_watch_changes *changes);
/** @param out its rows are freed with g_ptr_array_unref() */
bool delegation_unpack_changes(const void *buf, size_t len, struct store_watch_changes *out);
void delegation_encode_config(GByteArray *out, const struct store_watch_config *config);
/** @param out its packed bytes are freed with g_bytes_unref() */
bool delegation_decode_config(const void *buf, size_t len, struct store_watch_config *out);
/** @param peers struct delegation_peer */
void delegation_encode_peers(GByteArray *out, const GArray *peers);
/** @param out a new array of struct delegation_peer, freed with g_array_unref() */
bool delegation_decode_peers(const void *buf, size_t len, GArray **out, GVariant **owner);

#endif
