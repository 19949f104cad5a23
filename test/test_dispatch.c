/**
 * @file test_dispatch.c
 * Queue of generations: the order in which they are granted, and what an instance
 * takes for the load of a new engine. Selection for hedged requests.
 */
#include "../src/serve/dispatch.h"

#include <string.h>

#define KV_CAPACITY_TOKENS 10000

struct fixture {
	struct env env;
	struct gateway_settings settings;
	struct dispatch *dispatch;
	struct route_engine engine;
	GString *granted; /* names in the order of their grants */
};

struct waiter {
	struct fixture *fixture;
	char name;
};

static const char *region_of(void *ctx, const char *zone)
{
	(void)ctx;
	(void)zone;
	return "region";
}

static void on_changed(void *ctx, struct fleet_upstream *up, enum fleet_upstream_state previous)
{
	(void)ctx;
	(void)up;
	(void)previous;
}

static void add_engine(struct fixture *f, const char *id, const char *zone, uint64_t now_us)
{
	struct fleet_entry entry = { .id = id,
				     .service = "engines",
				     .address = id,
				     .zone = zone,
				     .started_ms = 1,
				     .slots = 8 };

	fleet_put_entry(f->env.fleet, &entry, now_us);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->settings.load.fill = 0.92;
	f->settings.load.prefill_tokens_per_ms = 8.0;
	f->engine = (struct route_engine){ .slots = 8, .kv_tokens = KV_CAPACITY_TOKENS };
	f->env.settings = &f->settings;
	f->env.metric = metric_create();
	f->env.rand = g_rand_new_with_seed(1);
	f->env.fleet = fleet_create("near", region_of, on_changed, NULL);
	f->dispatch = dispatch_create(&f->env);
	f->granted = g_string_new(NULL);
}

static void teardown(struct fixture *f)
{
	dispatch_destroy(f->dispatch);
	fleet_destroy(f->env.fleet);
	g_rand_free(f->env.rand);
	metric_destroy(f->env.metric);
	g_string_free(f->granted, TRUE);
}

static struct dispatch_need need(const struct fixture *f)
{
	return (struct dispatch_need){ .service = "engines",
				       .engine = &f->engine,
				       .place = { .prompt_tokens = 500, .output_tokens = 500 } };
}

static void on_granted(void *ctx, struct fleet_upstream *up,
		       const struct dispatch_decision *decision)
{
	struct waiter *waiter = ctx;

	(void)up;
	(void)decision;
	g_string_append_c(waiter->fixture->granted, waiter->name);
}

/* Priorities go first; among equal ones the order is that of the arrivals. */
static void test_order(void)
{
	static const uint32_t priorities[] = { 1, 1, 0, 2, 0, 1 };
	struct waiter waiters[G_N_ELEMENTS(priorities)];
	struct fixture f;
	struct dispatch_need wanted;

	setup(&f);
	wanted = need(&f);
	for (uint32_t i = 0; i < G_N_ELEMENTS(priorities); i++) {
		waiters[i] = (struct waiter){ &f, (char)('a' + i) };
		dispatch_enqueue(f.dispatch, &wanted, priorities[i], on_granted, &waiters[i]);
	}
	g_assert_cmpuint(dispatch_queue_length(f.dispatch), ==, G_N_ELEMENTS(priorities));
	add_engine(&f, "e-1:1", "near", env_now_us());
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.granted->str, ==, "ceabfd");
	teardown(&f);
}

/* An engine that appears in another zone is not used until its load is known here; the instances of
 * its own zone use it at once. A copy of a running generation may go there. */
static void test_new_engine(void)
{
	struct fixture f;
	struct dispatch_need wanted;
	struct dispatch_decision decision = { 0 };

	setup(&f);
	wanted = need(&f);
	add_engine(&f, "far-1:1", "other", env_now_us());
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = true;
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = false;
	add_engine(&f, "near-1:1", "near", env_now_us());
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "near-1:1");
	add_engine(&f, "far-2:1", "other", env_now_us() - 2000 * 1000);
	wanted.avoid = fleet_find(f.env.fleet, "near-1:1");
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "far-2:1");
	teardown(&f);
}

#define SOUND_UPSTREAM_COUNT 6

/* Adds upstreams of a plain service: a sound one is the last. */
static void add_calls_upstreams(struct fixture *f, struct fleet_upstream **ups)
{
	static const char *const ids[SOUND_UPSTREAM_COUNT] = { "tried",	 "slow",    "full",
							       "silent", "failing", "sound" };
	uint64_t now_us = env_now_us();

	for (guint i = 0; i < SOUND_UPSTREAM_COUNT; i++) {
		struct fleet_entry entry = { .id = ids[i],
					     .service = "shop",
					     .address = ids[i],
					     .zone = "near",
					     .slots = 4 };

		fleet_put_entry(f->env.fleet, &entry, now_us);
		ups[i] = fleet_find(f->env.fleet, ids[i]);
	}
	upstream_quiet_record_duration(fleet_upstream_quiet(ups[1]), 101ULL * 1000);
	fleet_upstream_own_load(ups[2])->open = 4;
	fleet_upstream_record_progress(ups[2], now_us);
	fleet_upstream_own_load(ups[3])->open = 1;
	fleet_upstream_record_progress(ups[3], now_us - 10ULL * 1000 * 1000);
	/* its suspension has ended, and it has not answered since */
	for (int i = 0; i < 10; i++)
		fleet_upstream_record_outcome(ups[4], false, false, now_us - 3600ULL * 1000 * 1000);
}

/* A hedged request must not go to an upstream that is suspect, slow or full, or that had the
 * request; where no other is left it is not sent, while a retry would be. */
static void test_sound(void)
{
	g_autoptr(GPtrArray) tried = g_ptr_array_new();
	struct dispatch_need wanted = { .service = "shop", .excluded = tried };
	struct dispatch_decision decision = { 0 };
	struct fleet_upstream *ups[SOUND_UPSTREAM_COUNT];
	struct fixture f;

	setup(&f);
	f.env.http_client = http_client_create(uv_default_loop());
	f.env.live_instances = 1;
	add_calls_upstreams(&f, ups);
	g_ptr_array_add(tried, ups[0]);
	g_assert_cmpfloat(dispatch_taken_share(f.dispatch, "shop"), ==, 5.0 / 24.0);
	wanted.sound = true;
	wanted.slow_us = 100 * 1000;
	g_assert_true(dispatch_select_plain(f.dispatch, &wanted, &decision) == ups[5]);
	g_ptr_array_add(tried, ups[5]);
	g_assert_null(dispatch_select_plain(f.dispatch, &wanted, &decision));
	wanted.sound = false;
	g_assert_nonnull(dispatch_select_plain(f.dispatch, &wanted, &decision));
	/* what waits at one upstream takes no slots of the others */
	fleet_upstream_own_load(ups[2])->open = 24;
	g_assert_cmpfloat(dispatch_taken_share(f.dispatch, "shop"), ==, 5.0 / 24.0);
	teardown(&f);
	http_client_destroy(f.env.http_client);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/order", test_order);
	g_test_add_func("/dispatch/new-engine", test_new_engine);
	g_test_add_func("/dispatch/sound", test_sound);
	return g_test_run();
}
