/**
 * @file admission_exchange.h
 * Measures the demand of urgent generations, and tells it to the other instances.
 *
 * admission.h computes from it what other generations leave free. Only services to
 * which admission.h applies are measured; nothing is sent without any. An instance
 * tells its own demand to its zone, and the demand of its zone to a few peers
 * elsewhere chosen at random.
 *
 * admission_exchange_create() after peer_exchange_create();
 * admission_exchange_on_arrival() and admission_exchange_on_end() for each urgent
 * generation; admission_exchange_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_ADMISSION_EXCHANGE_H
#define FLAMINGOLATCH_SERVE_ADMISSION_EXCHANGE_H

#include "env.h"
#include "peer_exchange.h"

#include "flamingolatch/admission.h"

struct admission_exchange;

/** @p env and @p exchange are borrowed and must outlive the result. @p exchange may be NULL: then
 * there are no peers. */
struct admission_exchange *admission_exchange_create(struct env *env,
						     struct peer_exchange *exchange);
/** Frees the exchange; NULL is allowed. */
void admission_exchange_destroy(struct admission_exchange *admission);
/** Counts the arrival of an urgent generation of that size. */
void admission_exchange_on_arrival(struct admission_exchange *admission, const char *service,
				   uint64_t tokens);
/** Records how long an urgent generation was on an engine. @p admission may be NULL: the open
 * requests are freed after it at the end of the process. */
void admission_exchange_on_end(struct admission_exchange *admission, const char *service,
			       uint32_t hold_ms);
/** Returns when refused callers of a service and class return, to be updated. */
struct admission_returns *admission_exchange_returns(struct admission_exchange *admission,
						     const char *service,
						     enum admission_class class);
/** Returns the KV cache that urgent generations of a service occupy at once by their demand at all
 * instances as far as known, in tokens; 0 when @p admission is NULL. */
double admission_exchange_tokens(const struct admission_exchange *admission, const char *service);
/** Returns the demands as a JSON array for the state dump. */
json_t *admission_exchange_json(const struct admission_exchange *admission);

/** Demand for a service. */
struct admission_exchange_demand {
	uint32_t service; /**< hash of its name */
	uint32_t tokens;  /**< admission_demand_tokens() */
};

/** What an instance tells. Strings are borrowed. */
struct admission_exchange_report {
	const char *address; /**< of the sender's bus */
	const char *zone;
	bool is_total;	 /**< the demand is that of the zone */
	GArray *demands; /**< struct admission_exchange_demand */
};

/** Appends an encoded report to @p out. */
void admission_exchange_encode(GByteArray *out, const struct admission_exchange_report *report);
/**
 * Decodes a report.
 * @param out its array is freed with g_array_free()
 * @param owner owns the strings of @p out; free it with g_variant_unref()
 * @return false when the bytes are no report
 */
bool admission_exchange_decode(const void *buf, size_t len, struct admission_exchange_report *out,
			       GVariant **owner);

#endif
