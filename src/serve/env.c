#include "env.h"

#include <time.h>

#define ENV_US_PER_S 1000000ULL

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

static struct rep_rule env_rule(const struct gateway_settings *set)
{
	return (struct rep_rule){
		.ratio = set->bounds.retry_ratio,
		.slack = set->bounds.retry_slack,
		.window_us = (uint64_t)(set->bounds.retry_window_s * ENV_US_PER_S),
	};
}

struct rep *env_budget(struct env *env, const char *service)
{
	struct rep *rep = g_hash_table_lookup(env->budgets, service);

	if (!rep) {
		struct rep_rule rule = env_rule(env->set);

		rep = rep_create(&rule);
		g_hash_table_insert(env->budgets, g_strdup(service), rep);
	}
	return rep;
}

void env_apply_rules(struct env *env)
{
	struct rep_rule rule = env_rule(env->set);
	GHashTableIter iter;
	struct rep *rep;

	g_hash_table_iter_init(&iter, env->budgets);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&rep))
		rep_set_rule(rep, &rule);
}

uint64_t env_fresh_part_us(const struct env *env, double part)
{
	return (uint64_t)((double)env->fresh.bound_us * part);
}

bool env_keys_fresh(const struct env *env)
{
	return fresh_ok(&env->fresh, env_boot_us());
}
