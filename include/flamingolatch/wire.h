/**
 * @file wire.h
 * Messages between entry instances, in GVariant's binary form.
 *
 * A message is a tuple: format version, type, sender, body; numbers are in the
 * machine's byte order, which all instances share. wire_encode_...() append to
 * a buffer; wire_decode() checks every field and refuses what does not fit. A decoded message is
 * freed with wire_clear().
 */
#ifndef FLAMINGOLATCH_WIRE_H
#define FLAMINGOLATCH_WIRE_H

#include "flamingolatch/load.h"
#include "flamingolatch/member.h"

#include <glib.h>

#define WIRE_VERSION		 4
#define WIRE_HEARTBEATS_MAX	 512
#define WIRE_MEMBERS_MAX	 64
#define WIRE_LEAVING_MAX	 64
#define WIRE_KV_USAGE_MAX	 64
#define WIRE_PREDICTED_LOADS_MAX 64
#define WIRE_SNAPSHOT_MAX_BYTES	 (1 << 19)

enum wire_type {
	WIRE_GOSSIP,
	WIRE_CONFIG_REQUEST,
	WIRE_CONFIG,
	WIRE_TYPE_COUNT
};

/** An upstream that is leaving; the address tells its incarnation. */
struct wire_leaving {
	char id[MEMB_ID_MAX];
	char address[MEMB_ADDRESS_MAX];
};

/** The sender's own predicted load on an engine. */
struct wire_predicted_load {
	char id[MEMB_ID_MAX];
	struct load_sum sum;
};

/** Tokens of memory that the sender's work holds on an engine for an owner. */
struct wire_kv_usage {
	char engine[MEMB_ID_MAX];
	char owner[MEMB_ID_MAX];
	uint64_t tokens;
};

/** Body of WIRE_GOSSIP. */
struct wire_gossip {
	uint32_t member_count;
	struct memb_record members[WIRE_MEMBERS_MAX];
	uint32_t member_heartbeat_count;
	struct memb_beat member_heartbeats[WIRE_HEARTBEATS_MAX];
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
	char from[MEMB_ID_MAX];
	struct wire_gossip *gossip;	/**< WIRE_GOSSIP */
	char address[MEMB_ADDRESS_MAX]; /**< WIRE_CONFIG_REQUEST: where to answer */
	uint64_t revision;		/**< WIRE_CONFIG_REQUEST: revision that the asker has */
	char *snapshot;			/**< WIRE_CONFIG: JSON text */
};

void wire_encode_gossip(GByteArray *out, const char *from, const struct wire_gossip *gossip);
void wire_encode_config_request(GByteArray *out, const char *from, const char *address,
				uint64_t revision);
void wire_encode_config(GByteArray *out, const char *from, const char *snapshot);

/** @return true, or false when the message is not valid; nothing to clear then */
bool wire_decode(const void *buf, size_t len, struct wire_message *out);
void wire_clear(struct wire_message *message);

#endif
