/**
 * @file wire.h
 * Encoding of the messages between entry instances, in GVariant's binary form.
 *
 * A message is a tuple of format version, type, sender and body. Numbers are in
 * the machine's byte order, which all instances share. The wire_encode_...()
 * functions append one message to a buffer; wire_decode() validates a message
 * and copies it; wire_clear() frees a decoded message.
 */
#ifndef FLAMINGOLATCH_WIRE_H
#define FLAMINGOLATCH_WIRE_H

#include "flamingolatch/kv_forecast.h"
#include "flamingolatch/member.h"

#include <glib.h>

/** Format version; a message of another version is rejected. */
#define WIRE_VERSION		 4
#define WIRE_HEARTBEATS_MAX	 512
#define WIRE_MEMBERS_MAX	 64
#define WIRE_LEAVING_MAX	 64
#define WIRE_KV_USAGE_MAX	 64
#define WIRE_PREDICTED_LOADS_MAX 64
#define WIRE_SNAPSHOT_MAX_BYTES	 (1 << 19)

enum wire_type {
	WIRE_GOSSIP,	     /**< state of the sender and of the members it knows */
	WIRE_CONFIG_REQUEST, /**< asks a peer for its configuration */
	WIRE_CONFIG,	     /**< answer to WIRE_CONFIG_REQUEST */
	WIRE_TYPE_COUNT
};

/** An upstream that is leaving; the address distinguishes incarnations with the same id. */
struct wire_leaving {
	char id[MEMBER_ID_MAX_BYTES];
	char address[MEMBER_ADDRESS_MAX_BYTES];
};

/** KV cache that the sender's own generations are expected to hold on an engine. */
struct wire_predicted_load {
	char id[MEMBER_ID_MAX_BYTES]; /**< of the engine */
	struct kv_forecast predicted_kv_tokens;
};

/** KV cache that the sender's generations of one owner hold on an engine now. */
struct wire_kv_usage {
	char engine[MEMBER_ID_MAX_BYTES]; /**< id of the engine */
	char owner[MEMBER_ID_MAX_BYTES];  /**< account that engine time is charged to */
	uint64_t tokens;
};

/** Body of WIRE_GOSSIP. */
struct wire_gossip {
	uint32_t member_count;
	struct member_record members[WIRE_MEMBERS_MAX];
	uint32_t member_heartbeat_count;
	struct member_heartbeat member_heartbeats[WIRE_HEARTBEATS_MAX];
	uint32_t leaving_count;
	struct wire_leaving leaving[WIRE_LEAVING_MAX];
	uint32_t predicted_load_count;
	struct wire_predicted_load predicted_loads[WIRE_PREDICTED_LOADS_MAX];
	uint32_t kv_usage_count;
	struct wire_kv_usage kv_usage[WIRE_KV_USAGE_MAX];
};

/** A decoded message. */
struct wire_message {
	enum wire_type type;
	char from[MEMBER_ID_MAX_BYTES];		/**< id of the sender */
	struct wire_gossip *gossip;		/**< WIRE_GOSSIP, allocated; otherwise NULL */
	char address[MEMBER_ADDRESS_MAX_BYTES]; /**< WIRE_CONFIG_REQUEST: "IP:port" to answer to */
	uint64_t revision; /**< WIRE_CONFIG_REQUEST: configuration revision that the sender has */
	char *snapshot;	   /**< WIRE_CONFIG: JSON text, allocated; otherwise NULL */
};

/** Appends a WIRE_GOSSIP message; standard deviations and means are rounded to whole tokens. */
void wire_encode_gossip(GByteArray *out, const char *from, const struct wire_gossip *gossip);
/**
 * Appends a WIRE_CONFIG_REQUEST message.
 * @param address "IP:port" of the sender's bus, where the answer goes
 * @param revision configuration revision that the sender has
 */
void wire_encode_config_request(GByteArray *out, const char *from, const char *address,
				uint64_t revision);
/**
 * Appends a WIRE_CONFIG message.
 * @param snapshot JSON text; receivers reject more than WIRE_SNAPSHOT_MAX_BYTES
 */
void wire_encode_config(GByteArray *out, const char *from, const char *snapshot);

/**
 * Decodes a message from a peer. Malformed, oversized and trailing data and other
 * versions are rejected.
 * @param out receives the message, to be freed with wire_clear()
 * @return true, or false when the message is not valid; there is nothing to free then
 */
bool wire_decode(const void *buf, size_t len, struct wire_message *out);
/** Frees the allocated members of a decoded message. */
void wire_clear(struct wire_message *message);

#endif
