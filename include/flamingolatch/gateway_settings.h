/**
 * @file gateway_settings.h
 * Settings of a gateway instance, loaded from a YAML file.
 *
 * gateway_settings_load() parses and validates the file,
 * gateway_settings_destroy() frees the result. Every member has the name of its
 * key in the file. The gateway loads the file again on SIGHUP.
 */
#ifndef FLAMINGOLATCH_GATEWAY_SETTINGS_H
#define FLAMINGOLATCH_GATEWAY_SETTINGS_H

#include "flamingolatch/conf.h"

/** A zone and the region that it belongs to. */
struct gateway_zone_settings {
	char *name;
	char *region;
};

/** Time limits and the retry budget that operators guarantee to callers. */
struct gateway_bounds_settings {
	double revoke_ms;      /**< a revoked API key is refused after this time at the latest */
	double grace_s;	       /**< time from the stop signal until the process is killed */
	double recheck_s;      /**< time after the store answers again in which a lapsed
				* entry of the instance list may be listed again */
	double evacuate_ms;    /**< an evacuated zone gets no requests after this time; 0: no such
				* term */
	double retry_ratio;    /**< retries for each request of a service */
	double retry_slack;    /**< retries in a window beyond the ratio, over all instances */
	double retry_window_s; /**< length of the window that requests and retries are counted in */
	double cold_overage;   /**< factor of what a cold upstream takes in a second that is
				* tolerated; 0: cold upstreams have no limit */
	double cold_start_slack; /**< requests tolerated in a second beyond that */
};

/** Queue, placement and failure detection. */
struct gateway_load_settings {
	uint64_t wait_limit;	      /**< maximum of generations queued at one instance */
	uint64_t wait_ms;	      /**< queue timeout */
	double fill;		      /**< fraction of an engine's KV cache that placement uses */
	double prefill_tokens_per_ms; /**< prompt tokens that an engine processes per millisecond
				       * while it runs generations */
	uint64_t stall_ms;  /**< time without an event after which a stream is resumed elsewhere */
	uint64_t answer_ms; /**< time without an answer after which an idempotent call is retried */
	uint64_t quarantine_s; /**< how long a prompt part or a request that crashed upstreams is
				* refused, the first time; 0: never */
	double hedge_share;    /**< share of a plain service's requests that may be sent to a second
				* upstream while the first has not answered; 0: none */
	bool backups;	       /**< keeps a KV copy of running generations at a second engine */
	bool urgent_preempts;  /**< engines are told that urgent generations go before others of
				* their priority, which may preempt these; see admission.h */
	double speed_spread; /**< ratio of the 90th to the 10th percentile of the learned speeds of
			      * a service beyond which placement uses them; 0: never */
};

struct gateway_settings {
	char *instance;
	char *zone;
	char *region;
	struct gateway_zone_settings *zones;
	uint32_t zone_count;
	char *callers;		 /**< "IP:port" of the caller port */
	char *ready;		 /**< "IP:port" of readiness; NULL serves it on the metrics port */
	char *metrics;		 /**< "IP:port" of the metrics port */
	char *bus;		 /**< "IP:port" of the message bus */
	char *store;		 /**< "IP:port" of the platform's store */
	bool first_start;	 /**< all instances start now, for the first time */
	uint64_t list_pace_ms;	 /**< shortest time between two reads of the instance list */
	uint64_t config_wait_ms; /**< maximum long-poll timeout of a read of the configuration */
	uint64_t list_wait_ms;	 /**< long-poll timeout of a read of the instance list */
	struct gateway_bounds_settings bounds;
	struct gateway_load_settings load;
};

/**
 * Loads and validates a settings file.
 * @return the settings, or NULL with ERR_SETTINGS; the message names the file
 *         and the key, and for errors of syntax, type or range the line
 */
struct gateway_settings *gateway_settings_load(const char *file, GError **error);
/** Frees settings; NULL is allowed. */
void gateway_settings_destroy(struct gateway_settings *settings);
/** Returns the region of a zone, or NULL for an unknown zone. */
const char *gateway_settings_region_of(const struct gateway_settings *settings, const char *zone);
/**
 * Splits "IP:port".
 * @param host receives the part before the last colon, to be freed with g_free()
 * @return false, with nothing written, for NULL and for any other form
 */
bool gateway_settings_split_address(const char *address, char **host, uint16_t *port);
/** Returns all keys as a JSON object, owned by the caller. */
json_t *gateway_settings_to_json(const struct gateway_settings *settings);

#endif
