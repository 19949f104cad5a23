#include "env.h"

#include <time.h>

#define ENV_US_PER_S 1000000ULL
/* Share of the time in which an evacuation takes effect that a pause of the process may use up: the
 * rest is for the death of a delegate. */
#define ENV_PAUSE_SHARE 0.5
/* An instance that hears from nobody after a pause goes on with the zones that it knows. */
#define ENV_ZONES_DOUBT_US (1500ULL * 1000)

static uint64_t env_clock_us(clockid_t clock)
{
	struct timespec now;

	clock_gettime(clock, &now);
	return (uint64_t)now.tv_sec * ENV_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

uint64_t env_now_us(void)
{
	return env_clock_us(CLOCK_MONOTONIC);
}

uint64_t env_boot_us(void)
{
	return env_clock_us(CLOCK_BOOTTIME);
}

static struct retry_budget_limits env_retry_limits(const struct gateway_settings *settings)
{
	return (struct retry_budget_limits){
		.ratio = settings->bounds.retry_ratio,
		.slack = settings->bounds.retry_slack,
		.window_us = (uint64_t)(settings->bounds.retry_window_s * ENV_US_PER_S),
	};
}

struct retry_budget *env_retry_budget(struct env *env, const char *service)
{
	struct retry_budget *retry_budget = g_hash_table_lookup(env->retry_budgets, service);

	if (!retry_budget) {
		struct retry_budget_limits limits = env_retry_limits(env->settings);

		retry_budget = retry_budget_create(&limits);
		g_hash_table_insert(env->retry_budgets, g_strdup(service), retry_budget);
	}
	return retry_budget;
}

void env_apply_retry_limits(struct env *env)
{
	struct retry_budget_limits limits = env_retry_limits(env->settings);
	GHashTableIter iter;
	struct retry_budget *retry_budget;

	g_hash_table_iter_init(&iter, env->retry_budgets);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&retry_budget))
		retry_budget_set_limits(retry_budget, &limits);
}

uint64_t env_config_age_limit_us(const struct env *env, double share)
{
	return (uint64_t)((double)env->freshness.max_age_us * share);
}

bool env_keys_fresh(const struct env *env)
{
	return freshness_is_current(&env->freshness, env_boot_us());
}

/* Tells whether the loop has not run for so long that the evacuated zones may be outdated. */
static bool env_was_paused(const struct env *env, uint64_t now_us)
{
	double limit_us = env->settings->bounds.evacuate_ms * 1000 * ENV_PAUSE_SHARE;

	return limit_us > 0 && env->waited_us && (double)(now_us - env->waited_us) > limit_us;
}

bool env_note_running(struct env *env)
{
	uint64_t now_us = env_boot_us();
	bool paused = env_was_paused(env, now_us);

	env->waited_us = now_us;
	if (paused)
		env->zones_doubted_us = now_us;
	return paused;
}

bool env_doubts_zones(const struct env *env)
{
	uint64_t now_us = env_boot_us();

	return env_was_paused(env, now_us) ||
	       (env->zones_doubted_us && now_us < env->zones_doubted_us + ENV_ZONES_DOUBT_US);
}
