/**
 * @file speed_exchange.h
 * Learns how fast upstreams are from what this instance and its peers observe, and
 * sets the factors that placement uses.
 *
 * upstream_speed.h computes the factors. Does nothing unless the setting
 * load.speed_spread is set, and sends nothing on a service while the speeds of its
 * upstreams are even. An instance tells its own samples to its zone, and those of its
 * zone to peers elsewhere in turn, like the load reports of peer_exchange.h.
 *
 * speed_exchange_create() after peer_exchange_create(); speed_exchange_on_first_event(),
 * speed_exchange_on_events() and speed_exchange_on_call() for observations;
 * speed_exchange_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_SPEED_EXCHANGE_H
#define FLAMINGOLATCH_SERVE_SPEED_EXCHANGE_H

#include "env.h"
#include "peer_exchange.h"

#include "flamingolatch/upstream_speed.h"

struct speed_exchange;

/** @p env and @p exchange are borrowed and must outlive the result. */
struct speed_exchange *speed_exchange_create(struct env *env, struct peer_exchange *exchange);
/** Frees the exchange; NULL is allowed. */
void speed_exchange_destroy(struct speed_exchange *speeds);
/** Tells whether speeds of an upstream are learned from requests of this instance. */
bool speed_exchange_is_learned(const struct speed_exchange *speeds,
			       const struct fleet_upstream *up);
/** Records the time from sending a generation to its first event.
 * @param expected_ms that of an engine of nominal speed; 0: unknown, ignored */
void speed_exchange_on_first_event(struct speed_exchange *speeds, struct fleet_upstream *up,
				   uint64_t observed_us, uint32_t expected_ms);
/** Records the time in which a generation sent @p count events after an earlier one. */
void speed_exchange_on_events(struct speed_exchange *speeds, struct fleet_upstream *up,
			      uint64_t observed_us, uint32_t count);
/** Records the time of a call to a plain service.
 * @param open requests at the upstream when it was sent, this one included */
void speed_exchange_on_call(struct speed_exchange *speeds, struct fleet_upstream *up,
			    uint64_t observed_us, uint32_t open);

/** What an instance tells of speeds. Strings are borrowed. */
struct speed_exchange_report {
	const char *address; /**< of the sender's bus */
	const char *zone;
	bool is_total;	/**< the samples are those of the zone */
	GArray *speeds; /**< struct speed_exchange_speed */
};

/** Samples of one upstream. */
struct speed_exchange_speed {
	uint32_t upstream; /**< fleet_upstream_key() */
	uint32_t age_ms;   /**< time since the newest sample */
	struct upstream_speed_sum sums[UPSTREAM_SPEED_KIND_COUNT];
};

/** Appends an encoded report to @p out. */
void speed_exchange_encode(GByteArray *out, const struct speed_exchange_report *report);
/**
 * Decodes a report.
 * @param out its array is freed with g_array_free()
 * @param owner owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no report
 */
bool speed_exchange_decode(const void *buf, size_t len, struct speed_exchange_report *out,
			   GVariant **owner);

#endif
