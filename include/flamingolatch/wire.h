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

#include "flamingolatch/kv_forecast.h"
#include "flamingolatch/member.h"

#include <glib.h>

#define WIRE_VERSION	  4
#define WIRE_BEATS_MAX	  512
#define WIRE_MEMBERS_MAX  64
#define WIRE_LEAVING_MAX  64
#define WIRE_HELD_MAX	  64
#define WIRE_SUMS_MAX	  64
#define WIRE_SNAPSHOT_MAX (1 << 19)

enum wire_type {
	WIRE_GOSSIP,
	WIRE_CONFIG_ASK,
	WIRE_CONFIG,
	WIRE_TYPE_COUNT
};

/** An upstream that is leaving; the address tells its incarnation. */
struct wire_leaving {
	char id[MEMBER_ID_MAX_BYTES];
	char address[MEMBER_ADDRESS_MAX_BYTES];
};

/** The sender's own predicted load on an engine. */
struct wire_sum {
	char id[MEMBER_ID_MAX_BYTES];
	struct kv_forecast sum;
};

/** Tokens of memory that the sender's work holds on an engine for an owner. */
struct wire_held {
	char engine[MEMBER_ID_MAX_BYTES];
	char owner[MEMBER_ID_MAX_BYTES];
	uint64_t tokens;
};

/** Body of WIRE_GOSSIP. */
struct wire_gossip {
	uint32_t member_count;
	struct member_record members[WIRE_MEMBERS_MAX];
	uint32_t beat_count;
	struct member_heartbeat beats[WIRE_BEATS_MAX];
	uint32_t leaving_count;
	struct wire_leaving leaving[WIRE_LEAVING_MAX];
	uint32_t sum_count;
	struct wire_sum sums[WIRE_SUMS_MAX];
	uint32_t held_count;
	struct wire_held held[WIRE_HELD_MAX];
};

/** A decoded message. */
struct wire_message {
	enum wire_type type;
	char from[MEMBER_ID_MAX_BYTES];
	struct wire_gossip *gossip;		/**< WIRE_GOSSIP */
	char address[MEMBER_ADDRESS_MAX_BYTES]; /**< WIRE_CONFIG_ASK: where to answer */
	uint64_t revision;			/**< WIRE_CONFIG_ASK: revision that the asker has */
	char *snapshot;				/**< WIRE_CONFIG: JSON text */
};

void wire_encode_gossip(GByteArray *out, const char *from, const struct wire_gossip *gossip);
void wire_encode_config_ask(GByteArray *out, const char *from, const char *address,
			    uint64_t revision);
void wire_encode_config(GByteArray *out, const char *from, const char *snapshot);

/** @return true, or false when the message is not valid; nothing to clear then */
bool wire_decode(const void *buf, size_t len, struct wire_message *out);
void wire_clear(struct wire_message *message);

#endif
