/**
 * @file test_gateway_regions.c
 * The gateway program and a customer whose requests may be served in some regions
 * only. Each case checks which upstreams the requests reached. The gateway is in
 * region r1, with an upstream of each kind; region r2 has others.
 */
#include "testbed.h"

#include <string.h>

#define READY_TIMEOUT_MS 20000
/* Until a configuration or an entry of the instance list is in force. */
#define APPLY_MS      2500
#define REQUEST_COUNT 12
#define OUTPUT_TOKENS 400

static const struct testbed_request safe = { .path = "/safe/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };
static const struct testbed_request once = { .path = "/once/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };
static const struct testbed_request stream = {
	.path = "/long/", .key = TESTBED_KEY, .output_tokens = OUTPUT_TOKENS, .wait_ms = 20000
};

struct scene {
	struct testbed *testbed;
	struct mock_upstream *shops[2];	  /* of the plain service, in r1 and r2 */
	struct mock_upstream *engines[2]; /* the same */
	struct testbed_gateway *gateway;
};

static struct mock_upstream_conf scene_conf(const char *id, bool engine, uint32_t region)
{
	return (struct mock_upstream_conf){
		.id = id,
		.service = engine ? TESTBED_ENGINE_SERVICE : TESTBED_PLAIN_SERVICE,
		.zone = region == 0 ? "z1" : "z3",
		.engine = engine,
		.work_ms = 10,
		.pace_ms = 10,
	};
}

static struct mock_upstream *scene_add(struct scene *scene, const char *id, bool engine,
				       uint32_t region, uint32_t number)
{
	struct mock_upstream_conf conf = scene_conf(id, engine, region);
	g_autofree char *ip = testbed_ip(scene->testbed, number + 100);
	struct mock_upstream *upstream;

	conf.address = ip;
	upstream = mock_upstream_create(testbed_platform(scene->testbed), &conf);
	mock_upstream_list(upstream);
	return upstream;
}

static void scene_open(struct scene *scene, const char *regions)
{
	*scene = (struct scene){ .testbed = testbed_create(21) };
	scene->shops[0] = scene_add(scene, "shop-1", false, 0, 1);
	scene->shops[1] = scene_add(scene, "shop-2", false, 1, 2);
	scene->engines[0] = scene_add(scene, "engine-1", true, 0, 3);
	scene->engines[1] = scene_add(scene, "engine-2", true, 1, 4);
	testbed_set_customer_regions(scene->testbed, regions);
	testbed_configure(scene->testbed, NULL, NULL);
	scene->gateway = testbed_gateway(scene->testbed, "gw-1", NULL);
	testbed_start(scene->gateway);
	g_assert_true(testbed_wait_ready(scene->gateway, READY_TIMEOUT_MS));
	/* Engines of other zones are used once their load can be known. */
	testbed_run(scene->testbed, APPLY_MS);
}

static void scene_configure(struct scene *scene, const char *regions)
{
	testbed_set_customer_regions(scene->testbed, regions);
	testbed_configure(scene->testbed, NULL, NULL);
	testbed_run(scene->testbed, APPLY_MS);
}

static uint32_t scene_arrivals(const struct mock_upstream *upstream)
{
	return mock_upstream_arrivals(upstream)->len;
}

static uint16_t scene_status(struct scene *scene, const struct testbed_request *request)
{
	struct testbed_answer answer = testbed_call(scene->gateway, request);
	uint16_t status = answer.status;

	testbed_answer_clear(&answer);
	return status;
}

/* Sends requests of all kinds. @return how many got an answer of an upstream */
static uint32_t scene_send(struct scene *scene)
{
	uint32_t served = 0;

	for (uint32_t i = 0; i < REQUEST_COUNT; i++)
		served += scene_status(scene, i % 2 ? &safe : &once) == 200;
	served += scene_status(scene, &stream) == 200;
	return served;
}

/* Guards against requests that leave the customer's region because upstreams of another one are
 * nearer. */
static void test_customer(void)
{
	struct scene scene;

	scene_open(&scene, "[\"r2\"]");
	g_assert_cmpuint(scene_send(&scene), ==, REQUEST_COUNT + 1);
	g_assert_cmpuint(scene_arrivals(scene.shops[0]), ==, 0);
	g_assert_cmpuint(scene_arrivals(scene.engines[0]), ==, 0);
	testbed_destroy(scene.testbed);
}

/* Guards against a stream that is cut by a change of the regions, and against requests that follow
 * the regions of an older configuration. */
static void test_changed(void)
{
	struct scene scene;
	struct testbed_answer running = { 0 };
	uint32_t before[2];

	scene_open(&scene, "[\"r2\"]");
	testbed_begin(scene.gateway, &stream, &running);
	testbed_run(scene.testbed, 300);
	scene_configure(&scene, "[\"r1\"]");
	before[0] = scene_arrivals(scene.shops[1]);
	before[1] = scene_arrivals(scene.engines[1]);
	g_assert_cmpuint(scene_send(&scene), ==, REQUEST_COUNT + 1);
	g_assert_cmpuint(scene_arrivals(scene.shops[1]), ==, before[0]);
	g_assert_cmpuint(scene_arrivals(scene.engines[1]), ==, before[1]);
	g_assert_true(testbed_wait(scene.testbed, &running, 20000));
	g_assert_true(testbed_is_complete(&running, OUTPUT_TOKENS));
	testbed_answer_clear(&running);
	testbed_destroy(scene.testbed);
}

/* Guards against requests that are held, or sent elsewhere, when no upstream is allowed. */
static void test_none(void)
{
	static const struct testbed_request *const requests[] = { &safe, &once, &stream };
	struct scene scene;
	g_autofree char *logged = NULL;

	scene_open(&scene, "[\"nowhere\"]");
	for (uint32_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		struct testbed_answer answer = testbed_call(scene.gateway, requests[i]);

		g_assert_cmpuint(answer.status, ==, 503);
		g_assert_cmpfloat(answer.retry_after_s, >, 0.0);
		g_assert_cmpuint(
			mock_request_record(testbed_platform(scene.testbed), answer.id).arrivals,
			==, 0);
		testbed_answer_clear(&answer);
	}
	logged = testbed_log_lines(scene.gateway, "region-unknown");
	g_assert_nonnull(strstr(logged, "nowhere"));
	g_clear_pointer(&logged, g_free);
	logged = testbed_log_lines(scene.gateway, "no-allowed-upstream");
	g_assert_nonnull(strstr(logged, "request-refused"));
	testbed_destroy(scene.testbed);
}

/* Guards against a restriction that is lost because it cannot be read. The one before holds; as the
 * store's newest configuration is not in force, it is not confirmed either, and API keys are
 * refused once it is too old. */
static void test_malformed(void)
{
	struct scene scene;
	g_autofree char *logged = NULL;

	scene_open(&scene, "[\"r2\"]");
	testbed_set_customer_regions(scene.testbed, "\"r1\"");
	testbed_configure(scene.testbed, NULL, NULL);
	testbed_run(scene.testbed, TESTBED_REVOKE_MS / 4);
	g_assert_cmpuint(scene_status(&scene, &safe), ==, 200);
	g_assert_cmpuint(scene_status(&scene, &once), ==, 200);
	testbed_run(scene.testbed, TESTBED_REVOKE_MS * 2);
	g_assert_cmpuint(scene_send(&scene), ==, 0);
	g_assert_cmpuint(scene_arrivals(scene.shops[0]), ==, 0);
	logged = testbed_log_lines(scene.gateway, "config-rejected");
	g_assert_nonnull(strstr(logged, "store"));
	testbed_destroy(scene.testbed);
}

/* Guards against retries that leave the allowed regions. */
static void test_failing(void)
{
	struct scene scene;
	struct mock_upstream_conf conf = scene_conf("shop-2", false, 1);

	scene_open(&scene, "[\"r2\"]");
	conf.lose_percent = 100;
	mock_upstream_configure(scene.shops[1], &conf);
	for (uint32_t i = 0; i < REQUEST_COUNT; i++)
		g_assert_cmpuint(scene_status(&scene, &safe), >=, 500);
	g_assert_cmpuint(scene_arrivals(scene.shops[0]), ==, 0);
	testbed_destroy(scene.testbed);
}

/* Guards against a running generation whose KV cache is copied out of the allowed regions when its
 * engine leaves. */
static void test_leaving(void)
{
	struct scene scene;
	struct testbed_answer running = { 0 };

	scene_open(&scene, "[\"r2\"]");
	testbed_begin(scene.gateway, &stream, &running);
	testbed_run(scene.testbed, 300);
	mock_upstream_drain(scene.engines[1]);
	g_assert_true(testbed_wait(scene.testbed, &running, 20000));
	g_assert_true(testbed_is_complete(&running, OUTPUT_TOKENS));
	g_assert_cmpuint(scene_arrivals(scene.engines[0]), ==, 0);
	g_assert_cmpuint(mock_upstream_copies_ms(scene.engines[1])->len, ==, 0);
	testbed_answer_clear(&running);
	testbed_destroy(scene.testbed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-regions/customer", test_customer);
	g_test_add_func("/gateway-regions/changed", test_changed);
	g_test_add_func("/gateway-regions/none", test_none);
	g_test_add_func("/gateway-regions/malformed", test_malformed);
	g_test_add_func("/gateway-regions/failing", test_failing);
	g_test_add_func("/gateway-regions/leaving", test_leaving);
	return g_test_run();
}
