/**
 * @file profile.h
 * A profile: a named set of rules for the requests of a service, such as
 * timeouts, rate limits and spill-over.
 *
 * profile_init() sets the defaults, profile_parse() loads a YAML or JSON text
 * over them, profile_to_json() converts back, profile_clear() frees the members.
 */
#ifndef FLAMINGOLATCH_PROFILE_H
#define FLAMINGOLATCH_PROFILE_H

#include "flamingolatch/conf.h"

/** How far from its own availability zone an instance may send requests. */
enum profile_spill {
	PROFILE_SPILL_NONE,  /**< only within the zone */
	PROFILE_SPILL_ZONE,  /**< also to other zones of the region */
	PROFILE_SPILL_REGION /**< also to other regions */
};

/** Share of an engine pool that is reserved, and paid for by its owner even while unused. */
struct profile_reservation {
	char *owner;
	uint64_t share_percent;
};

/** The rules. The names of the members, except reservation_count, are the keys in the text. */
struct profile {
	char *name;
	uint64_t priority; /**< 0 to 9; higher is served first */
	/** KV cache kept free above the predicted mean use, in 1/100 standard deviations */
	uint64_t overflow_deviations_centi;
	/** free KV cache required to start a request, in multiples of the request's own need */
	uint64_t room_factor;
	uint64_t queue_deadline_ms;   /**< queue timeout */
	uint64_t queue_limit;	      /**< largest number of queued requests per instance */
	uint64_t stall_ms;	      /**< time without a token after which a stream is resumed */
	uint64_t resume_deadline_ms;  /**< time limit for resuming a broken stream */
	uint64_t call_timeout_ms;     /**< time limit of a call to a plain service */
	uint64_t retry_percent;	      /**< retries per 100 successful requests */
	uint64_t max_output_tokens;   /**< largest output that a request may ask for, in tokens */
	uint64_t customer_rate_per_s; /**< requests per second and customer; 0 means no limit */
	uint64_t customer_burst;      /**< largest number of requests in one burst above the rate */
	uint64_t customer_streams;    /**< open requests per customer; 0 means no limit */
	uint32_t spill;		      /**< enum profile_spill */
	char *engine_version;	      /**< target version of the service's engines; may be NULL */
	char **idempotent_methods;    /**< HTTP methods that may be executed more than once */
	struct profile_reservation *reservations;
	uint32_t reservation_count;
};

/** The keys of a profile with their types and ranges. */
extern const struct conf_schema profile_schema;

/** Sets the defaults; the former content of @p profile is overwritten and not freed. */
void profile_init(struct profile *profile);
/** Frees the members, not the structure. */
void profile_clear(struct profile *profile);
/**
 * Sets the defaults and loads a text over them.
 * @param file name used in error messages
 * @param len length of @p text in bytes
 * @return true, or false with ERR_SETTINGS and @p profile cleared
 */
bool profile_parse(const char *file, const char *text, size_t len, struct profile *profile,
		   GError **error);
/** Returns the profile as a new JSON object. */
json_t *profile_to_json(const struct profile *profile);
/** Returns whether requests with this HTTP method may be executed more than once. */
bool profile_method_is_idempotent(const struct profile *profile, const char *method);

#endif
