/**
 * @file env.h
 * State shared by the modules of a gateway instance: dependencies, current
 * configuration, and what is known of other instances.
 *
 * gateway.c owns and initialises it; peer_exchange.c updates what is known of
 * other instances. It holds no state of single requests.
 */
#ifndef FLAMINGOLATCH_SERVE_ENV_H
#define FLAMINGOLATCH_SERVE_ENV_H

#include "flamingolatch/fleet.h"
#include "flamingolatch/freshness.h"
#include "flamingolatch/gateway_settings.h"
#include "flamingolatch/http_client.h"
#include "flamingolatch/log.h"
#include "flamingolatch/metric.h"
#include "flamingolatch/planned_stop.h"
#include "flamingolatch/retry_budget.h"
#include "flamingolatch/route.h"
#include "flamingolatch/store_client.h"
#include "flamingolatch/protocol.h"

#include <uv.h>

struct admission_exchange;
struct cold_start;
struct crash_guard;
struct limit_exchange;
struct speed_exchange;
struct stream_version;

struct env {
	uv_loop_t *loop;
	const struct gateway_settings *settings; /**< replaced on SIGHUP */
	struct http_client *http_client;
	struct fleet *fleet;
	struct metric *metric;
	struct store_client *store_client;
	const struct protocol_ops *protocol;
	struct crash_guard *crash_guard;
	struct limit_exchange *limit_exchange;
	struct cold_start *cold_start;
	struct speed_exchange *speed_exchange;	       /**< NULL in tests without it */
	struct admission_exchange *admission_exchange; /**< NULL in tests without peers */
	struct stream_version *stream_version;	       /**< NULL in tests without it */
	struct route_config *config;		       /**< in force; NULL before the first */
	struct freshness freshness;		       /**< age of the configuration */
	GHashTable *retry_budgets; /**< name of a service to struct retry_budget */
	GRand *rand;
	uint32_t live_instances;     /**< this one included, at least 1 */
	bool placed_generation;	     /**< a generation or KV copy was placed since the last
				      * immediate report to the peers of the zone */
	uint32_t remote_load_age_ms; /**< age of the load known from the region's other zones,
				      * taken to be our own interval of reports to them */
	struct planned_stop stop;
	uint64_t waited_us;	   /**< when the loop last began to wait for events, by
				    * env_boot_us() */
	uint64_t zones_doubted_us; /**< since when the evacuated zones may be outdated, as the
				    * process was paused; 0: they are not */
};

/** Returns the monotonic time in us. */
uint64_t env_now_us(void);
/** Returns the monotonic time in us, including the time during which the machine is suspended. */
uint64_t env_boot_us(void);
/** Returns the retry budget of a service; creates it if needed. */
struct retry_budget *env_retry_budget(struct env *env, const char *service);
/** Applies the current settings to all retry budgets. */
void env_apply_retry_limits(struct env *env);
/** Returns a share of the maximum age up to which a configuration is trusted, in us.
 * @param share 0 to 1 */
uint64_t env_config_age_limit_us(const struct env *env, double share);
/** Tells whether the configuration was confirmed recently enough to trust its API keys. */
bool env_keys_fresh(const struct env *env);
/** Records that the loop runs. A pause of the process in which a zone could have been evacuated,
 * beyond the time that the operator is promised, puts the evacuated zones in doubt.
 * @return true when they are in doubt from now on */
bool env_note_running(struct env *env);
/** Tells whether the evacuated zones are in doubt, so that nothing may be sent. This ends with the
 * next word of the store or of a delegate, or after a time in which neither can be reached. */
bool env_doubts_zones(const struct env *env);

#endif
