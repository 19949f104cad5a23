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
#ifndef FLAMINGOLATCH_SERVE_PEERS_H
#define FLAMINGOLATCH_SERVE_PEERS_H

#include "env.h"

struct prs;

/** @return the exchange, or NULL with ERR_IO */
struct prs *prs_create(struct env *env, GError **error);
void prs_destroy(struct prs *prs);
/** Tells the peers of the own zone at once when a generation was placed. */
void prs_hurry(struct prs *prs);

/** Called with messages of other types than loads. */
typedef void (*prs_message_cb)(void *ctx, uint8_t type, const void *buf, size_t len);
void prs_on_other(struct prs *prs, prs_message_cb cb, void *ctx);
/** Sends a message of another type. */
void prs_send(struct prs *prs, const char *address, uint8_t type, const GByteArray *bytes);
const char *prs_address(const struct prs *prs);
/** Returns the addresses of the peers of the own zone, or of the own region, this instance
 * included, in an order that all instances share. */
GPtrArray *prs_group(struct prs *prs, bool region);
/** Tells the peers that this instance stops. */
void prs_leave(struct prs *prs);

/** What a message tells of one upstream. */
struct prs_load {
	const char *upstream;
	uint64_t started_ms; /**< tells it from others that had its id */
	struct fups_load load;
	bool leaving; /**< it was said to leave; the store may be out of the peer's reach */
};

/** What an instance tells. Strings are borrowed. */
struct prs_message {
	const char *instance;
	const char *address;
	const char *zone;
	uint64_t incarnation;
	uint32_t valid_ms; /**< how long the loads hold without a further message */
	bool leaving;
	GArray *loads; /**< struct prs_load */
};

/** Encodes a message into @p out. */
void prs_encode(GByteArray *out, const struct prs_message *message);
/**
 * Decodes a message.
 * @param keep owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no message
 */
bool prs_decode(const void *buf, size_t len, struct prs_message *out, GVariant **keep);

#endif
