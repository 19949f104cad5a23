/**
 * @file profile.h
 * A profile: the named set of rules that a service runs under.
 *
 * profile_init() sets defaults, profile_parse() loads a YAML or JSON text on top of
 * them, profile_to_json() writes it back, profile_clear() frees it.
 */
#ifndef FLAMINGOLATCH_PROFILE_H
#define FLAMINGOLATCH_PROFILE_H

#include "flamingolatch/conf.h"

/** How far from its own availability zone an entry may send work. */
enum profile_spill {
	PROFILE_SPILL_NONE,
	PROFILE_SPILL_ZONE,
	PROFILE_SPILL_REGION
};

/** A part of an engine pool that an owner pays for, used or not. */
struct profile_reservation {
	char *owner;
	uint64_t share_percent;
};

/** The rules of one profile. */
struct profile {
	char *name;
	uint64_t priority;		    /**< 0 to 9, higher goes first */
	uint64_t overflow_deviations_centi; /**< deviations kept free, in hundredths */
	uint64_t room_factor;	    /**< times its own memory that a request needs free to start */
	uint64_t queue_deadline_ms; /**< longest wait for an engine */
	uint64_t queue_limit;	    /**< waiting requests per instance */
	uint64_t stall_ms;	    /**< time without a token before the stream is taken up again */
	uint64_t resume_deadline_ms;  /**< time to take up a broken stream */
	uint64_t call_timeout_ms;     /**< longest time of a plain-service call */
	uint64_t retry_percent;	      /**< retries per 100 successful requests */
	uint64_t max_output_tokens;   /**< longest output that may be asked for */
	uint64_t customer_rate_per_s; /**< requests a second and customer; 0 means no limit */
	uint64_t customer_burst;      /**< requests above the rate at once */
	uint64_t customer_streams;    /**< open requests per customer; 0 means no limit */
	uint32_t spill;		      /**< enum profile_spill */
	char *engine_version; /**< version that the service's engines are brought to; may be NULL */
	char **idempotent_methods; /**< methods that may be sent again */
	struct profile_reservation *reservations;
	uint32_t reservation_count;
};

/** Schema of a profile, also for listing its keys. */
extern const struct conf_schema profile_schema;

/** Sets the defaults; @p prof may hold anything before. */
void profile_init(struct profile *prof);
void profile_clear(struct profile *prof);
/**
 * Loads a text over the defaults.
 * @return true, or false with ERR_SETTINGS; @p prof is cleared then
 */
bool profile_parse(const char *file, const char *text, size_t len, struct profile *prof,
		   GError **error);
json_t *profile_to_json(const struct profile *prof);
/** Tells whether a method may be sent more than once. */
bool profile_method_is_idempotent(const struct profile *prof, const char *method);

#endif
