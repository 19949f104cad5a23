/**
 * @file test_dispatch.c
 * Queue of generations: the order in which they are granted, and what an instance
 * takes for the load of a new engine.
 */
#include "../src/serve/admission_exchange.h"
#include "../src/serve/dispatch.h"

#include <string.h>

#define KV_CAPACITY_TOKENS 10000

struct fixture {
	struct env env;
	struct gateway_settings settings;
	struct dispatch *dispatch;
	struct route_engine engine;
	GString *granted; /* names in the order of their grants */
	GString *refused;
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
	f->refused = g_string_new(NULL);
}

static void teardown(struct fixture *f)
{
	dispatch_destroy(f->dispatch);
	fleet_destroy(f->env.fleet);
	g_rand_free(f->env.rand);
	metric_destroy(f->env.metric);
	g_string_free(f->granted, TRUE);
	g_string_free(f->refused, TRUE);
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

	g_assert_true(up || decision->late_ms > 0);
	g_string_append_c(up ? waiter->fixture->granted : waiter->fixture->refused, waiter->name);
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

static bool allows_far(void *ctx, const struct fleet_upstream *up)
{
	(void)ctx;
	return strcmp(fleet_upstream_zone(up), "far") == 0;
}

/* A request goes only where it is allowed, also when that is farther, or when it was queued or is a
 * copy; without such an upstream it does not wait. */
static void test_allowed(void)
{
	struct fixture f;
	struct dispatch_need wanted;
	struct dispatch_decision decision = { 0 };

	setup(&f);
	wanted = need(&f);
	wanted.allows = allows_far;
	add_engine(&f, "near-1:1", "near", env_now_us());
	g_assert_false(dispatch_has_upstream(f.dispatch, &wanted));
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = true;
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = false;
	add_engine(&f, "far-1:1", "far", env_now_us() - 2000 * 1000);
	g_assert_true(dispatch_has_upstream(f.dispatch, &wanted));
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "far-1:1");
	teardown(&f);
}

static struct dispatch_need admission_need(const struct fixture *f, enum admission_class class,
					   uint32_t objective_ms, uint64_t tokens)
{
	struct dispatch_need wanted = need(f);

	wanted.place.prompt_tokens = tokens / 2;
	wanted.place.output_tokens = tokens - tokens / 2;
	wanted.admission = (struct admission_item){ .class = class,
						    .objective_ms = objective_ms,
						    .tokens = tokens,
						    .due_us = objective_ms * 1000ULL };
	return wanted;
}

static void enqueue(struct fixture *f, struct waiter *waiter, char name,
		    const struct dispatch_need *wanted)
{
	*waiter = (struct waiter){ f, name };
	dispatch_enqueue(f->dispatch, wanted, wanted->admission.priority, on_granted, waiter);
}

/* Where admission.h applies, the order is that of priority and slack; it is not mixed with that of
 * other services, and a customer that holds most of the queue waits behind the others. */
static void test_admission_order(void)
{
	static const uint32_t priorities[] = { 0, 0, 1, 0, 0 };
	static const uint32_t objectives[] = { 4000, 4000, 1500, 1500, 3000 };
	static const char customers[] = { 'y', 'x', 'x', 'x', 'y' };
	struct waiter waiters[6];
	struct fixture f;
	struct dispatch_need wanted;

	setup(&f);
	for (uint32_t i = 0; i < 5; i++) {
		wanted = admission_need(&f, ADMISSION_OTHER, objectives[i], 1000);
		wanted.admission.priority = priorities[i];
		wanted.admission.customer = GUINT_TO_POINTER(customers[i]);
		enqueue(&f, &waiters[i], (char)('a' + i), &wanted);
	}
	wanted = need(&f);
	g_assert_false(dispatch_has_queued_before(f.dispatch, &wanted));
	enqueue(&f, &waiters[5], 'f', &wanted);
	g_assert_true(dispatch_has_queued_before(f.dispatch, &wanted));
	g_assert_cmpuint(dispatch_queue_length(f.dispatch), ==, 6);
	/* An urgent one that arrives precedes those that are queued, a less urgent one does not. */
	wanted = admission_need(&f, ADMISSION_URGENT, 1000, 1000);
	g_assert_false(dispatch_has_queued_before(f.dispatch, &wanted));
	wanted = admission_need(&f, ADMISSION_OTHER, 5000, 1000);
	g_assert_true(dispatch_has_queued_before(f.dispatch, &wanted));
	add_engine(&f, "e-1:1", "near", env_now_us());
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.granted->str, ==, "feadbc");
	g_assert_cmpuint(dispatch_queue_length(f.dispatch), ==, 0);
	teardown(&f);
}

/* A large generation without room is overtaken for a part of its objective only, or it would
 * starve; one without an objective is not overtaken. */
static void test_admission_overtaking(void)
{
	static const uint32_t objectives[] = { 3600000, 0 };

	for (uint32_t i = 0; i < G_N_ELEMENTS(objectives); i++) {
		struct waiter waiters[3];
		struct dispatch_load load = { 0 };
		struct fixture f;
		struct dispatch_need wanted;

		setup(&f);
		add_engine(&f, "e-1:1", "near", env_now_us());
		dispatch_load_add(&load, fleet_find(f.env.fleet, "e-1:1"), 6000, 0);
		wanted = admission_need(&f, ADMISSION_OTHER, objectives[i], 5000);
		wanted.admission.due_us = 1;
		enqueue(&f, &waiters[0], 'a', &wanted);
		wanted = admission_need(&f, ADMISSION_OTHER, 4000, 1000);
		enqueue(&f, &waiters[1], 'b', &wanted);
		/* As large as the first: it may not pass. */
		wanted = admission_need(&f, ADMISSION_OTHER, 4000, 5000);
		enqueue(&f, &waiters[2], 'c', &wanted);
		dispatch_grant_queued(f.dispatch);
		g_assert_cmpstr(f.granted->str, ==, objectives[i] ? "b" : "");
		g_assert_cmpuint(metric_get(f.env.metric, METRIC_QUEUE_OVERTAKES), ==,
				 objectives[i] ? 1 : 0);
		dispatch_load_remove(&load);
		dispatch_grant_queued(f.dispatch);
		g_assert_true(g_str_has_suffix(f.granted->str, objectives[i] ? "bac" : "abc"));
		teardown(&f);
	}
}

/* A queued generation whose first event would be late on all engines is refused at once; one that
 * would be in time on any of them goes there. */
static void test_admission_late(void)
{
	struct waiter waiters[2];
	struct dispatch_load load = { 0 };
	struct fixture f;
	struct dispatch_need wanted;

	setup(&f);
	add_engine(&f, "e-1:1", "near", env_now_us());
	dispatch_load_add(&load, fleet_find(f.env.fleet, "e-1:1"), 1000, 80000);
	wanted = admission_need(&f, ADMISSION_URGENT, 1500, 1000);
	wanted.place.first_event_left_ms = 1000;
	enqueue(&f, &waiters[0], 'a', &wanted);
	/* Back after a refusal: it has no limit. */
	wanted.place.first_event_left_ms = 0;
	wanted.admission.due_us++;
	enqueue(&f, &waiters[1], 'b', &wanted);
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.refused->str, ==, "a");
	g_assert_cmpstr(f.granted->str, ==, "b");
	add_engine(&f, "e-2:1", "near", env_now_us());
	wanted.place.first_event_left_ms = 1000;
	enqueue(&f, &waiters[0], 'c', &wanted);
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.granted->str, ==, "bc");
	dispatch_load_remove(&load);
	teardown(&f);
}

/* Others leave room for urgent generations while there is a demand for them; copies of running
 * generations and services without urgent routes are not restricted. */
static void test_admission_reserve(void)
{
	struct dispatch_load load = { 0 };
	struct dispatch_decision decision = { 0 };
	struct fixture f;
	struct dispatch_need other;
	struct dispatch_need urgent;
	struct dispatch_need none;

	setup(&f);
	f.env.loop = uv_default_loop();
	f.env.admission_exchange = admission_exchange_create(&f.env, NULL);
	add_engine(&f, "e-1:1", "near", env_now_us());
	dispatch_load_add(&load, fleet_find(f.env.fleet, "e-1:1"), 7000, 0);
	other = admission_need(&f, ADMISSION_OTHER, 4000, 1000);
	urgent = admission_need(&f, ADMISSION_URGENT, 1500, 1000);
	none = admission_need(&f, ADMISSION_NONE, 0, 1000);
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &other, &decision));
	/* More than the largest reserve can hold. */
	admission_exchange_on_end(f.env.admission_exchange, "engines", 1000);
	admission_exchange_on_arrival(f.env.admission_exchange, "engines", 10000000);
	uv_run(f.env.loop, UV_RUN_ONCE);
	g_assert_cmpfloat_with_epsilon(dispatch_other_fill(f.dispatch, "engines", &f.engine), 0.62,
				       1e-6);
	g_assert_null(dispatch_select_engine(f.dispatch, &other, &decision));
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &urgent, &decision));
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &none, &decision));
	/* A demand for another service reserves nothing here. */
	g_assert_cmpfloat(admission_exchange_tokens(f.env.admission_exchange, "others"), ==, 0.0);
	dispatch_load_remove(&load);
	admission_exchange_destroy(f.env.admission_exchange);
	uv_run(f.env.loop, UV_RUN_NOWAIT);
	teardown(&f);
}

/* An engine of an evacuated zone is not selected, whatever for, and a queued generation is not
 * granted to it; what is said of the service as a whole does not count it. */
static void test_evacuated(void)
{
	struct fixture f;
	struct waiter waiter = { &f, 'a' };
	struct dispatch_need wanted;
	struct dispatch_need others = { .service = "others" };
	struct dispatch_decision decision = { 0 };
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	setup(&f);
	g_ptr_array_add(zones, (gpointer) "near");
	wanted = need(&f);
	add_engine(&f, "near-1:1", "near", env_now_us());
	fleet_set_evacuated(f.env.fleet, zones, env_now_us());
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = true;
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = false;
	g_assert_null(dispatch_select_backup(f.dispatch, &wanted, NULL));
	g_assert_false(dispatch_has_upstream(f.dispatch, &wanted));
	g_assert_true(dispatch_is_evacuated(f.dispatch, &wanted));
	g_assert_false(dispatch_is_evacuated(f.dispatch, &others));
	dispatch_enqueue(f.dispatch, &wanted, 0, on_granted, &waiter);
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.granted->str, ==, "");
	upstream_quiet_ask(fleet_upstream_quiet(fleet_find(f.env.fleet, "near-1:1")), 1000000,
			   env_now_us());
	g_assert_cmpuint(dispatch_quiet_us(f.dispatch, &wanted), ==, 0);
	add_engine(&f, "far-1:1", "other", env_now_us() - 2000 * 1000);
	g_assert_true(dispatch_has_upstream(f.dispatch, &wanted));
	g_assert_false(dispatch_is_evacuated(f.dispatch, &wanted));
	dispatch_grant_queued(f.dispatch);
	g_assert_cmpstr(f.granted->str, ==, "a");
	fleet_set_evacuated(f.env.fleet, none, env_now_us());
	g_assert_false(dispatch_is_evacuated(f.dispatch, &wanted));
	teardown(&f);
}

static void test_cold_engine(void)
{
	struct warm_up_terms terms = { 22, 1.5, 5, 60000 };
	struct fixture f;
	struct dispatch_need wanted;
	struct dispatch_decision decision = { 0 };
	struct warm_up *limit;

	setup(&f);
	wanted = need(&f);
	add_engine(&f, "cold:1", "near", env_now_us());
	limit = fleet_upstream_cold_limit(fleet_find(f.env.fleet, "cold:1"));
	warm_up_set_terms(limit, &terms);
	g_assert_null(dispatch_select_engine(f.dispatch, &wanted, &decision));
	g_assert_true(dispatch_is_limited(f.dispatch, &wanted));
	/* 22 instances, each of which may send a request at once */
	warm_up_set_part(limit, 22, env_now_us());
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &wanted, &decision));
	wanted.place.needs_kv_copy = true;
	g_assert_nonnull(dispatch_select_engine(f.dispatch, &wanted, &decision));
	add_engine(&f, "warm:1", "near", env_now_us());
	fleet_upstream_own_load(fleet_find(f.env.fleet, "warm:1"))->kv_tokens =
		KV_CAPACITY_TOKENS / 2;
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "warm:1");
	wanted.place.needs_kv_copy = false;
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "cold:1");
	warm_up_take(limit, env_now_us());
	g_assert_cmpstr(fleet_upstream_id(dispatch_select_engine(f.dispatch, &wanted, &decision)),
			==, "warm:1");
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
	g_test_add_func("/dispatch/evacuated", test_evacuated);
	g_test_add_func("/dispatch/allowed", test_allowed);
	g_test_add_func("/dispatch/admission-order", test_admission_order);
	g_test_add_func("/dispatch/admission-overtaking", test_admission_overtaking);
	g_test_add_func("/dispatch/admission-late", test_admission_late);
	g_test_add_func("/dispatch/admission-reserve", test_admission_reserve);
	g_test_add_func("/dispatch/cold-engine", test_cold_engine);
	g_test_add_func("/dispatch/sound", test_sound);
	return g_test_run();
}
