/**
 * @file env.h
 * What the parts of a gateway instance share: its dependencies and beliefs.
 *
 * gateway.c owns and fills it; the other files of this folder read it. Nothing
 * in it refers to a request.
 */
#ifndef FLAMINGOLATCH_SERVE_ENV_H
#define FLAMINGOLATCH_SERVE_ENV_H

#include "flamingolatch/fleet.h"
#include "flamingolatch/fresh.h"
#include "flamingolatch/gateway_settings.h"
#include "flamingolatch/http_client.h"
#include "flamingolatch/log.h"
#include "flamingolatch/metric.h"
#include "flamingolatch/repeat.h"
#include "flamingolatch/route.h"
#include "flamingolatch/source.h"
#include "flamingolatch/surface.h"

#include <uv.h>

struct env {
	uv_loop_t *loop;
	const struct gateway_settings *set;
	struct hcli *cli;
	struct fleet *fleet;
	struct metric *metric;
	struct source *source;
	const struct srf_ops *surface;
	struct rt_config *config; /**< in force; NULL before the first */
	struct fresh fresh;	  /**< of the configuration */
	GHashTable *budgets;	  /**< service to struct rep */
	GRand *rand;
	uint32_t instances; /**< live instances, this one included */
	bool placed;	    /**< a generation was placed since the peers were told */
	uint32_t far_ms;    /**< age of what is known of the load in other zones */
	uint64_t stop_us;   /**< when the process was told to stop; 0 before */
	uint64_t exit_us;   /**< when the process ends at the latest; 0 unless it stops */
	bool stopping;
};

/** Returns the monotonic time in us. */
uint64_t env_now_us(void);
/** Returns the monotonic time in us that goes on while the machine is suspended. */
uint64_t env_boot_us(void);
/** Returns the budget of further sends to a service. */
struct rep *env_budget(struct env *env, const char *service);
/** Takes the rules of the settings into all budgets. */
void env_apply_rules(struct env *env);
/** Returns a part of the time for which a confirmation of the configuration holds, in us. */
uint64_t env_fresh_part_us(const struct env *env, double part);
/** Tells whether requests with a key may be passed on now. */
bool env_keys_fresh(const struct env *env);

#endif
