/**
 * @file limit_exchange.h
 * Shares the limits that upstreams name, and the demand for their services, with
 * the other instances, and sets the part of each limit that this instance may use.
 *
 * upstream_limit.h computes the parts. Nothing is sent while no upstream names a
 * limit. An instance tells its own demand to its zone, and the demand of its zone to
 * a few peers elsewhere in turn, like the load reports of peer_exchange.h.
 *
 * limit_exchange_create() after peer_exchange_create(); limit_exchange_on_request()
 * for each request of a caller, limit_exchange_on_answer() for each answer of an
 * upstream; limit_exchange_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_LIMIT_EXCHANGE_H
#define FLAMINGOLATCH_SERVE_LIMIT_EXCHANGE_H

#include "env.h"
#include "peer_exchange.h"

struct limit_exchange;

/** @p env and @p exchange are borrowed and must outlive the result. */
struct limit_exchange *limit_exchange_create(struct env *env, struct peer_exchange *exchange);
/** Frees the exchange; NULL is allowed. */
void limit_exchange_destroy(struct limit_exchange *limits);
/** Counts a request of a caller for a service. */
void limit_exchange_on_request(struct limit_exchange *limits, const char *service);
/** Records the limit that an answer named. @param limit_per_s negative when it named none */
void limit_exchange_on_answer(struct limit_exchange *limits, struct fleet_upstream *up,
			      double limit_per_s);
/**
 * Returns when a caller that is refused because of limits should come back, in ms. Callers are
 * spread over the time in which the upstreams of the service take as many requests.
 */
uint32_t limit_exchange_return_ms(struct limit_exchange *limits, const char *service);

/** What an instance tells of limits. Strings are borrowed. */
struct limit_exchange_report {
	const char *address; /**< of the sender's bus */
	const char *zone;
	bool is_total;	 /**< the demand is that of the zone */
	GArray *demands; /**< struct limit_exchange_demand */
	GArray *limits;	 /**< struct limit_exchange_limit */
};

/** Demand for a service. */
struct limit_exchange_demand {
	uint32_t service; /**< hash of its name */
	double per_s;
};

/** Limit of an upstream. */
struct limit_exchange_limit {
	uint32_t upstream;  /**< fleet_upstream_key() */
	double limit_per_s; /**< negative: it names none any more */
	uint32_t age_ms;    /**< time since the answer that named it */
};

/** Appends an encoded report to @p out. */
void limit_exchange_encode(GByteArray *out, const struct limit_exchange_report *report);
/**
 * Decodes a report.
 * @param out its arrays are freed with g_array_free()
 * @param owner owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no report
 */
bool limit_exchange_decode(const void *buf, size_t len, struct limit_exchange_report *out,
			   GVariant **owner);

#endif
