/**
 * @file test_peer_exchange.c
 * Two instances that find each other by their rows in the store, whose answers the test sends one
 * by one, and exchange reports on real connections.
 */
#include "../src/serve/peer_exchange.h"

#include <string.h>

#define INSTANCES    2
#define FOUND_MAX_MS 2000

/* A call that is not answered yet. */
struct store_call {
	store_answer_cb cb;
	void *arg;
	bool open;
};

struct instance {
	struct env env;
	struct gateway_settings settings;
	struct store_client client;
	struct peer_exchange *exchange;
	struct store_call read;
	struct store_call put;
	char name[8];
	char *row; /* in the store; NULL while it has none */
	uint32_t reads;
};

static struct store_call *start_call(struct store_call *call, store_answer_cb cb, void *arg)
{
	g_assert_false(call->open);
	*call = (struct store_call){ cb, arg, true };
	return call;
}

static struct store_call *fake_read(void *ctx, enum store_table table, store_answer_cb cb,
				    void *arg)
{
	struct instance *instance = ctx;

	g_assert_cmpint(table, ==, STORE_TABLE_OWN);
	instance->reads++;
	return start_call(&instance->read, cb, arg);
}

static struct store_call *fake_put(void *ctx, const char *id, const char *text, store_answer_cb cb,
				   void *arg)
{
	struct instance *instance = ctx;

	g_assert_cmpstr(id, ==, instance->name);
	g_free(instance->row);
	instance->row = g_strdup(text);
	return start_call(&instance->put, cb, arg);
}

static void fake_cancel(struct store_call *call)
{
	call->open = false;
}

static const struct store_ops fake_ops = { .read = fake_read,
					   .put = fake_put,
					   .cancel = fake_cancel };

static const char *region_of(void *ctx, const char *zone)
{
	(void)ctx;
	(void)zone;
	return "r1";
}

static void on_upstream(void *ctx, struct fleet_upstream *up, enum fleet_upstream_state was)
{
	(void)ctx;
	(void)up;
	(void)was;
}

static void instance_open(struct instance *instance, uint32_t number)
{
	static char zone[] = "z1";
	static char bus[] = "127.0.0.1:0";
	struct env *env = &instance->env;
	g_autoptr(GError) error = NULL;

	*instance = (struct instance){ .client = { &fake_ops, instance } };
	g_snprintf(instance->name, sizeof(instance->name), "gw-%u", number);
	instance->settings.instance = instance->name;
	instance->settings.zone = zone;
	instance->settings.bus = bus;
	env->loop = uv_default_loop();
	env->settings = &instance->settings;
	env->metric = metric_create();
	env->rand = g_rand_new_with_seed(number);
	env->fleet = fleet_create(zone, region_of, on_upstream, instance);
	env->store_client = &instance->client;
	instance->exchange = peer_exchange_create(env, &error);
	g_assert_no_error(error);
}

static void instance_free(struct instance *instance)
{
	fleet_destroy(instance->env.fleet);
	metric_destroy(instance->env.metric);
	g_rand_free(instance->env.rand);
	g_free(instance->row);
}

/* Answers an open call. @param rows struct store_change */
static void answer(struct store_call *call, const GPtrArray *rows)
{
	const struct store_answer result = { .result = STORE_OK,
					     .position = { 1, 1 },
					     .changes = rows };

	g_assert_true(call->open);
	call->open = false;
	call->cb(call->arg, &result);
}

/* Answers the open read of an instance with the rows that the store has now. */
static void answer_read(struct instance *instances, uint32_t reader)
{
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < INSTANCES; i++) {
		struct store_change row = { .id = instances[i].name, .text = instances[i].row };

		if (instances[i].row)
			g_ptr_array_add(rows, g_memdup2(&row, sizeof(row)));
	}
	answer(&instances[reader].read, rows);
}

static bool know_each_other(struct instance *instances)
{
	for (uint32_t i = 0; i < INSTANCES; i++) {
		g_autoptr(GPtrArray) group = peer_exchange_group(instances[i].exchange, false);

		if (group->len != INSTANCES)
			return false;
	}
	return true;
}

/* Instances that start together read the rows before any of them has written its own. */
static void test_start_together(void)
{
	g_autoptr(GPtrArray) no_rows = g_ptr_array_new();
	struct instance instances[INSTANCES];
	uint64_t until_us;

	for (uint32_t i = 0; i < INSTANCES; i++)
		instance_open(&instances[i], i + 1);
	while (!instances[0].read.open || !instances[1].read.open)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
	for (uint32_t i = 0; i < INSTANCES; i++)
		answer(&instances[i].read, no_rows);
	for (uint32_t i = 0; i < INSTANCES; i++)
		answer(&instances[i].put, no_rows);
	until_us = env_boot_us() + FOUND_MAX_MS * 1000;
	while (!know_each_other(instances) && env_boot_us() < until_us) {
		uv_run(uv_default_loop(), UV_RUN_ONCE);
		for (uint32_t i = 0; i < INSTANCES; i++) {
			if (instances[i].read.open)
				answer_read(instances, i);
		}
	}
	g_assert_true(know_each_other(instances));
	for (uint32_t i = 0; i < INSTANCES; i++)
		g_assert_cmpuint(instances[i].reads, <=, 2);
	for (uint32_t i = 0; i < INSTANCES; i++)
		peer_exchange_destroy(instances[i].exchange);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	for (uint32_t i = 0; i < INSTANCES; i++)
		instance_free(&instances[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/peer-exchange/start-together", test_start_together);
	return g_test_run();
}
