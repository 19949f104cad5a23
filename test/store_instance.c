#include "store_instance.h"

#include "../platform/platform.h"

struct store_config_decoder {
	GBytes *text;
	uint32_t steps_left;
};

static uint32_t decode_steps = 1;

void store_instance_set_decode_steps(uint32_t steps)
{
	decode_steps = steps;
}

static struct store_call *start_call(struct store_instance *instance, enum store_table table,
				     uint64_t since, store_answer_cb cb, void *arg)
{
	struct store_call *call = &instance->calls[table];

	g_assert_false(call->open);
	*call = (struct store_call){ table, since, cb, arg, true };
	instance->config_calls += table == STORE_TABLE_CONFIG;
	return call;
}

static struct store_call *fake_read(void *ctx, enum store_table table, store_answer_cb cb,
				    void *arg)
{
	return start_call(ctx, table, 0, cb, arg);
}

static struct store_call *fake_watch(void *ctx, enum store_table table, uint64_t since,
				     uint32_t wait_ms, store_answer_cb cb, void *arg)
{
	(void)wait_ms;
	return start_call(ctx, table, since, cb, arg);
}

static void fake_cancel(struct store_call *call)
{
	call->open = false;
}

static struct store_config_decoder *fake_decoder_create(GBytes *text)
{
	struct store_config_decoder *decoder = g_new0(struct store_config_decoder, 1);

	decoder->text = g_bytes_ref(text);
	decoder->steps_left = decode_steps;
	return decoder;
}

static bool fake_decoder_step(struct store_config_decoder *decoder, uint32_t max_items)
{
	(void)max_items;
	if (decoder->steps_left > 0)
		decoder->steps_left--;
	return decoder->steps_left == 0;
}

static struct route_config *fake_decoder_result(struct store_config_decoder *decoder)
{
	gsize len;
	const char *text = g_bytes_get_data(decoder->text, &len);

	return platform_decode_config(text, len);
}

static void fake_decoder_destroy(struct store_config_decoder *decoder)
{
	if (!decoder)
		return;
	g_bytes_unref(decoder->text);
	g_free(decoder);
}

static const struct store_ops fake_ops = {
	.read = fake_read,
	.watch = fake_watch,
	.cancel = fake_cancel,
	.decoder_create = fake_decoder_create,
	.decoder_step = fake_decoder_step,
	.decoder_result = fake_decoder_result,
	.decoder_destroy = fake_decoder_destroy,
};

static void on_config(void *ctx, struct route_config *config)
{
	struct store_instance *instance = ctx;

	route_config_unref(instance->env.config);
	instance->env.config = route_config_ref(config);
}

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

void store_instance_settle(void)
{
	for (uint32_t i = 0; i < STORE_INSTANCE_SETTLE_ITERATIONS; i++)
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
}

struct store_instance *store_instance_create(void)
{
	struct store_instance *instance = g_new0(struct store_instance, 1);
	struct env *env = &instance->env;

	instance->settings.bounds.recheck_s = 2.0;
	instance->settings.config_wait_ms = 1000;
	instance->settings.list_wait_ms = 1000;
	instance->client = (struct store_client){ &fake_ops, instance };
	env->loop = uv_default_loop();
	env->settings = &instance->settings;
	env->metric = metric_create();
	env->rand = g_rand_new_with_seed(1);
	env->fleet = fleet_create("z1", region_of, on_upstream, instance);
	env->store_client = &instance->client;
	freshness_init(&env->freshness, 5000000);
	instance->watch =
		store_watch_create(env, &(struct store_watch_callbacks){ .config = on_config,
									 .config_ctx = instance });
	return instance;
}

void store_instance_destroy(struct store_instance *instance)
{
	store_watch_destroy(instance->watch);
	store_instance_settle();
	route_config_unref(instance->env.config);
	fleet_destroy(instance->env.fleet);
	metric_destroy(instance->env.metric);
	g_rand_free(instance->env.rand);
	g_free(instance);
}
