/**
 * @file peer_exchange.h
 * Exchanges load reports with the other instances of the system, the peers.
 *
 * Each instance reports the load that it causes on upstreams, and the upstreams
 * that it knows to be leaving. Instances find one another in a table of the
 * store, which each of them reads after its start; a new instance then reports to
 * all that it found. From then on a delegate reads the table at long intervals and
 * passes it on. Reports are advisory:
 * without them an instance places requests by its own load only.
 *
 * With n instances, a report to everyone costs each instance n messages a round.
 * So an instance reports its own load to its zone only, and sends the load of the
 * whole zone, as it knows it, to a few peers elsewhere in turn. Each instance of a
 * zone does so, so that every instance elsewhere gets the totals about as often as
 * if one had reported to all, and no instance sends more when there are more.
 *
 * peer_exchange_create() at the start, peer_exchange_set_message_cb() by the
 * module that uses the same connections, peer_exchange_leave() at a planned
 * stop, peer_exchange_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_PEER_EXCHANGE_H
#define FLAMINGOLATCH_SERVE_PEER_EXCHANGE_H

#include "env.h"

struct peer_exchange;

/** Opens the bus port, announces the instance in the store and starts the timers.
 * @return the exchange, or NULL with ERR_IO */
struct peer_exchange *peer_exchange_create(struct env *env, GError **error);
/** Cancels the open calls and frees the exchange; @p exchange may be NULL. */
void peer_exchange_destroy(struct peer_exchange *exchange);
/** Reports to the peers of this zone at once if a generation or KV copy was placed since the last
 * such report, unless the last report to them is very recent. */
void peer_exchange_report_placement(struct peer_exchange *exchange);

/** Types of messages on the bus are below this. */
#define PEER_EXCHANGE_TYPE_COUNT 16

/** Called with a message that is no load report. @param buf the message after its type */
typedef void (*peer_exchange_message_cb)(void *ctx, uint8_t type, const void *buf, size_t len);
/** Sets the callback for messages of one type; @p cb may be NULL. @param type not that of a load
 * report, below PEER_EXCHANGE_TYPE_COUNT */
void peer_exchange_set_message_cb(struct peer_exchange *exchange, uint8_t type,
				  peer_exchange_message_cb cb, void *ctx);
/** Sets the callback for the first report of a new incarnation of a peer; @p cb may be NULL. */
void peer_exchange_set_joined_cb(struct peer_exchange *exchange,
				 void (*cb)(void *ctx, const char *address), void *ctx);
/** Sets the callback for each peer of another zone to which totals are sent, so that a message of
 * this type can accompany them; @p cb may be NULL. @param type below PEER_EXCHANGE_TYPE_COUNT */
void peer_exchange_set_totals_cb(struct peer_exchange *exchange, uint8_t type,
				 void (*cb)(void *ctx, const char *address), void *ctx);
/** Sets the callbacks for the system's own rows that are no instances': their keys have a slash.
 * @param cb may be NULL
 * @param end called after the last row of a read; NULL with @p cb NULL */
void peer_exchange_set_row_cb(struct peer_exchange *exchange,
			      void (*cb)(void *ctx, const char *id, const char *text),
			      void (*end)(void *ctx), void *ctx);
/** Sets the callback for reads of the instances' rows; @p cb may be NULL. */
void peer_exchange_set_read_cb(struct peer_exchange *exchange, void (*cb)(void *ctx), void *ctx);
/** Sets whether a delegate passes on the instances that it reads from the store; meanwhile this
 * instance does not read them. */
void peer_exchange_set_delegated(struct peer_exchange *exchange, bool delegated);
/** Has the instances' rows read soon, since the store may have lost some; the row of this instance
 * is written again if it is missing. */
void peer_exchange_check_rows(struct peer_exchange *exchange);
/** Records whether a delegate's read of the rows had that of this instance; writes it again if
 * not. */
void peer_exchange_note_own_row(struct peer_exchange *exchange, bool listed);
/** Adds a peer that another instance named, or notes that it is still known; ignores this instance
 * itself and what is no address. */
void peer_exchange_learn_peer(struct peer_exchange *exchange, const char *address,
			      const char *instance, const char *zone);
/** Sends a message to one peer, without waiting and without a report of its delivery.
 * @param address bus address of the peer
 * @param type not the type of a load report, 1
 * @return false when the message was dropped: the peer is not connected (yet) */
bool peer_exchange_send(struct peer_exchange *exchange, const char *address, uint8_t type,
			const GByteArray *bytes);
/** Sends a message to all peers, or to those of the own zone. @return how many it was sent to */
uint32_t peer_exchange_send_to_all(struct peer_exchange *exchange, uint8_t type,
				   const GByteArray *bytes, bool zone_only);
/** Sends a message to a few peers, chosen at random. */
void peer_exchange_send_to_some(struct peer_exchange *exchange, uint8_t type,
				const GByteArray *bytes, uint32_t count);
/** Returns the bus address of this instance, "IP:port". */
const char *peer_exchange_address(const struct peer_exchange *exchange);
/**
 * Returns the bus addresses of the known instances of this zone, this one included, in an order
 * that all instances compute alike.
 * @param region true for the whole region
 * @return an array of borrowed strings; free it with g_ptr_array_unref()
 */
GPtrArray *peer_exchange_group(struct peer_exchange *exchange, bool region);
/** Calls @p each for this instance and every peer. @p listed: the last read of the rows had its row
 */
void peer_exchange_each_peer(struct peer_exchange *exchange,
			     void (*each)(void *ctx, const char *address, const char *instance,
					  const char *zone, bool listed),
			     void *ctx);
/** Calls @p member for each other instance of this zone that reported lately, and @p zone for each
 * other zone whose totals arrived lately. */
void peer_exchange_each_live(struct peer_exchange *exchange,
			     void (*member)(void *ctx, const char *address),
			     void (*zone)(void *ctx, const char *name), void *ctx);
/** Calls @p each for each other instance that may be alive: of this zone those that reported
 * lately, elsewhere those of zones that did. @param distance enum fleet_upstream_distance */
void peer_exchange_each_live_peer(struct peer_exchange *exchange,
				  void (*each)(void *ctx, const char *address, const char *zone,
					       uint32_t distance),
				  void *ctx);
/** Returns true once the rows of the instances were read. */
bool peer_exchange_has_read(const struct peer_exchange *exchange);
/** Records that all rows of the instances were read, here or by a delegate that passed them on. */
void peer_exchange_note_read(struct peer_exchange *exchange);
/** Returns since when the instances in the store's table are known, by an own read or that of a
 * delegate; 0: they are not. */
uint64_t peer_exchange_known_since_us(const struct peer_exchange *exchange);
/** Reports to the peers that this instance stops and removes it from the store. */
void peer_exchange_leave(struct peer_exchange *exchange);

/** Load of an instance on one upstream. */
struct peer_exchange_load {
	const char *upstream;
	uint64_t started_ms; /**< wall clock of the upstream's start; tells it from an
			      * earlier upstream with the same id */
	struct fleet_load load;
	bool leaving; /**< the upstream is leaving; the peer may not reach the store to learn it */
};

/** Load report of an instance. Strings are borrowed. */
struct peer_exchange_report {
	const char *instance;
	const char *address;
	const char *zone;
	uint64_t incarnation;
	uint32_t valid_ms; /**< how long the loads are valid without a further report */
	bool leaving;	   /**< the instance stops */
	GArray *loads;	   /**< struct peer_exchange_load */
};

/** Appends an encoded report to @p out. */
void peer_exchange_encode(GByteArray *out, const struct peer_exchange_report *report);
/**
 * Decodes a report.
 * @param out its loads are freed with g_array_free()
 * @param owner owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no report
 */
bool peer_exchange_decode(const void *buf, size_t len, struct peer_exchange_report *out,
			  GVariant **owner);

#endif
