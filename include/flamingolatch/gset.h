/**
 * @file gset.h
 * Settings of a gateway instance, read from YAML and checked whole.
 *
 * gset_load() reads and checks, gset_destroy() frees.
 */
#ifndef FLAMINGOLATCH_GSET_H
#define FLAMINGOLATCH_GSET_H

#include "flamingolatch/conf.h"

/** A zone and the region that it belongs to. */
struct gset_zone {
	char *name;
	char *region;
};

/** What operators promise their callers; the bounds that the gateway keeps. */
struct gset_bounds {
	double revoke_ms;   /**< a revoked key ends within this time */
	double grace_s;	    /**< from the signal to stop until the process is killed */
	double recheck_s;   /**< an expired entry of the instance list is back by then */
	double retry_ratio; /**< further sends for each request of a service */
	double retry_slack; /**< further sends beside the ratio */
	double retry_window_s;
};

/** How work waits and is spread. */
struct gset_load {
	uint64_t wait_limit;	      /**< generations that wait at one instance */
	uint64_t wait_ms;	      /**< longest wait for an engine */
	double fill;		      /**< part of an engine's memory that is given out */
	double prefill_tokens_per_ms; /**< that an engine reads beside running generations */
	uint64_t stall_ms;  /**< silence of a running stream after which it is taken up elsewhere */
	uint64_t answer_ms; /**< silence after which an idempotent call is sent again */
	bool backups;	    /**< copies running generations to a second engine */
};

struct gset {
	char *instance;
	char *zone;
	char *region;
	struct gset_zone *zones;
	uint32_t zone_count;
	char *callers;		 /**< "IP:port" */
	char *ready;		 /**< "IP:port"; NULL serves readiness with the metrics */
	char *metrics;		 /**< "IP:port" */
	char *bus;		 /**< "IP:port" */
	char *store;		 /**< "IP:port" */
	uint64_t list_pace_ms;	 /**< least time between two reads of the instance list */
	uint64_t config_wait_ms; /**< how long the store may wait for a new configuration */
	uint64_t list_wait_ms;	 /**< how long the store may wait for a change of the list */
	struct gset_bounds bounds;
	struct gset_load load;
};

/** @return the settings, or NULL with ERR_SETTINGS naming file, line and key */
struct gset *gset_load(const char *file, GError **error);
void gset_destroy(struct gset *set);
/** Returns the region of a zone, or NULL. */
const char *gset_region(const struct gset *set, const char *zone);
/** Splits "IP:port". @return false when it is not one */
bool gset_split(const char *address, char **host, uint16_t *port);
json_t *gset_to_json(const struct gset *set);

#endif
