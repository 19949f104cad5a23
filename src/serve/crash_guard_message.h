/**
 * @file crash_guard_message.h
 * Encoding of what instances tell one another about prompt parts and requests that
 * crash upstreams, see quarantine.h for the terms.
 *
 * Ages and remaining times are sent instead of times, since the clocks of two
 * instances have nothing in common.
 */
#ifndef FLAMINGOLATCH_SERVE_CRASH_GUARD_MESSAGE_H
#define FLAMINGOLATCH_SERVE_CRASH_GUARD_MESSAGE_H

#include "flamingolatch/quarantine.h"

#include <glib.h>

/** Type of the message on the bus. */
#define CRASH_GUARD_MSG 8

/** An answer with a trait made progress. */
struct crash_guard_cleared {
	uint64_t trait;
	uint64_t progress_us;
	bool is_request; /**< the trait is a fingerprint */
};

/** One message; each array may be empty. */
struct crash_guard_message {
	GArray *crashes; /**< struct quarantine_crash */
	GArray *cleared; /**< struct crash_guard_cleared */
	GArray *entries; /**< struct quarantine_entry */
	GArray *stored;	 /**< uint64_t: traits whose quarantine is in the store */
};

void crash_guard_message_init(struct crash_guard_message *message);
void crash_guard_message_clear(struct crash_guard_message *message);
/** Returns true when all arrays are empty. */
bool crash_guard_message_is_empty(const struct crash_guard_message *message);
/** Appends an encoded message to @p out. */
void crash_guard_message_encode(GByteArray *out, const struct crash_guard_message *message,
				uint64_t now_us);
/**
 * Decodes a message.
 * @param out an initialized message; what was decoded is appended
 * @return false, with nothing appended, when the bytes are no such message
 */
bool crash_guard_message_decode(const void *buf, size_t len, uint64_t now_us,
				struct crash_guard_message *out);

#endif
