/**
 * @file peer_exchange.h
 * Tells the other instances of the load that this one puts on upstreams, and
 * takes what they tell.
 *
 * Instances find one another in a table of the store, which each reads when it
 * starts and seldom after; a newcomer then speaks to all it found. What is told
 * is soft: without it an instance places work by its own load alone.
 *
 * The load that it answers: with n instances, telling all costs n messages a
 * round from each. So an instance spends a fixed number of messages a second on
 * each class of peers (own zone, own region, farther), tells a class the more
 * seldom the larger it is, and beyond its own zone only some peers.
 */
#ifndef FLAMINGOLATCH_SERVE_PEER_EXCHANGE_H
#define FLAMINGOLATCH_SERVE_PEER_EXCHANGE_H

#include "env.h"

struct peer_exchange;

/** @return the exchange, or NULL with ERR_IO */
struct peer_exchange *peer_exchange_create(struct env *env, GError **error);
void peer_exchange_destroy(struct peer_exchange *peer_exchange);
/** Tells the peers of the own zone at once when a generation was placed. */
void peer_exchange_report_placement(struct peer_exchange *peer_exchange);

/** Called with messages of other types than loads. */
typedef void (*peer_exchange_message_cb)(void *ctx, uint8_t type, const void *buf, size_t len);
void peer_exchange_set_message_cb(struct peer_exchange *peer_exchange, peer_exchange_message_cb cb,
				  void *ctx);
/** Sends a message of another type. */
void peer_exchange_send(struct peer_exchange *peer_exchange, const char *address, uint8_t type,
			const GByteArray *bytes);
const char *peer_exchange_address(const struct peer_exchange *peer_exchange);
/** Returns the addresses of the peers of the own zone, or of the own region, this instance
 * included, in an order that all instances share. */
GPtrArray *peer_exchange_group(struct peer_exchange *peer_exchange, bool region);
/** Tells the peers that this instance stops. */
void peer_exchange_leave(struct peer_exchange *peer_exchange);

/** What a message tells of one upstream. */
struct peer_exchange_load {
	const char *upstream;
	uint64_t started_ms; /**< tells it from others that had its id */
	struct fups_load load;
	bool leaving; /**< it was said to leave; the store may be out of the peer's reach */
};

/** What an instance tells. Strings are borrowed. */
struct peer_exchange_report {
	const char *instance;
	const char *address;
	const char *zone;
	uint64_t incarnation;
	uint32_t valid_ms; /**< how long the loads hold without a further message */
	bool leaving;
	GArray *loads; /**< struct peer_exchange_load */
};

/** Encodes a message into @p out. */
void peer_exchange_encode(GByteArray *out, const struct peer_exchange_report *message);
/**
 * Decodes a message.
 * @param keep owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no message
 */
bool peer_exchange_decode(const void *buf, size_t len, struct peer_exchange_report *out,
			  GVariant **keep);

#endif
