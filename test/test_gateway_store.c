/**
 * @file test_gateway_store.c
 * The gateway program and a store that comes back from an older copy: what was
 * written since the copy is gone, and versions are given out again. One case has
 * a store whose answers arrive twice. Each case checks what callers and upstreams
 * see, or what is in the store afterwards.
 */
#include "soak/proxy.h"
#include "testbed.h"

#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS  20000
#define MAX_GATEWAY_COUNT 3
/* Until a configuration or an entry of the instance list is in force. */
#define APPLY_MS 3000
/* Until what a restoration lost is there again. */
#define CONTACT_MS	4000
#define OUTAGE_MS	500
#define ADDED_ROUTE	"/more/"
#define QUARANTINED_ROW "part/bad0bad0"

static const struct testbed_request once = { .path = "/once/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };
static const struct testbed_request added = { .path = ADDED_ROUTE,
					      .key = TESTBED_KEY,
					      .wait_ms = 3000 };

struct scene {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct mock_upstream *upstreams[2]; /* of the plain service */
	struct testbed_gateway *gateways[MAX_GATEWAY_COUNT];
	uint32_t gateway_count;
};

static void scene_start_gateway(struct scene *scene, const char *store)
{
	g_autofree char *name = g_strdup_printf("gw-%u", scene->gateway_count + 1);
	struct testbed_gateway *gateway = testbed_gateway(scene->testbed, name, store);

	scene->gateways[scene->gateway_count++] = gateway;
	testbed_start(gateway);
	g_assert_true(testbed_wait_ready(gateway, READY_TIMEOUT_MS));
}

static void scene_open(struct scene *scene)
{
	*scene = (struct scene){ .testbed = testbed_create(11) };
	scene->platform = testbed_platform(scene->testbed);
	for (uint32_t i = 0; i < G_N_ELEMENTS(scene->upstreams); i++) {
		g_autofree char *id = g_strdup_printf("shop-%u", i + 1);

		scene->upstreams[i] = testbed_upstream(scene->testbed, id, false, i + 1);
		mock_upstream_list(scene->upstreams[i]);
	}
	testbed_configure(scene->testbed, ",\"" TESTBED_OTHER_KEY "\"", NULL);
}

static void scene_close(struct scene *scene)
{
	testbed_destroy(scene->testbed);
}

/* Raises the version of the store by rows that nobody reads. */
static void scene_raise_version(struct scene *scene, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		mock_store_put(scene->platform, "elsewhere", "row", "text");
}

/* Takes the store away for a moment and brings it back from the copy. */
static void scene_restore(struct scene *scene)
{
	mock_store_set_mode(scene->platform, MOCK_STORE_RESET);
	testbed_run(scene->testbed, OUTAGE_MS);
	mock_store_restore(scene->platform);
}

static uint16_t scene_status(struct testbed_gateway *gateway, const struct testbed_request *request)
{
	struct testbed_answer answer = testbed_call(gateway, request);
	uint16_t status = answer.status;

	testbed_answer_clear(&answer);
	return status;
}

static bool scene_state_has(struct scene *scene, uint32_t gateway, const char *text)
{
	g_autofree char *state =
		testbed_get(scene->testbed, scene->gateways[gateway]->metrics_address, "/state");

	return strstr(state, text) != NULL;
}

/* Waits until all gateways but one have a delegate. @return the index of that one */
static uint32_t scene_wait_delegate(struct scene *scene)
{
	for (uint32_t waited = 0; waited < 200; waited++) {
		uint32_t watching_count = 0;
		uint32_t watching = 0;

		for (uint32_t i = 0; i < scene->gateway_count; i++) {
			if (!scene_state_has(scene, i, "\"follows_store\":true"))
				continue;
			watching_count++;
			watching = i;
		}
		if (watching_count == 1)
			return watching;
		testbed_run(scene->testbed, 50);
	}
	g_error("several instances watch the store for long");
}

/* Waits until the first gateway has read a whole table from the store that came back. */
static void scene_wait_read(struct scene *scene, const char *table)
{
	g_autofree char *wanted = g_strdup_printf(
		"\"message\":\"source-read\",\"event\":635,\"table\":\"%s\"", table);

	for (uint32_t waited = 0; waited < 5000; waited++) {
		g_autofree char *lines = testbed_log_lines(scene->gateways[0], wanted);

		if (strstr(lines, "\"era\":\"2\""))
			return;
		testbed_run(scene->testbed, 2);
	}
	g_error("the gateway did not read the table %s", table);
}

/* The new configuration has a version that the instance had seen before the restoration. */
static void test_config_not_applied(void)
{
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	mock_store_backup(scene.platform);
	scene_raise_version(&scene, 5);
	testbed_run(scene.testbed, 1000);
	scene_restore(&scene);
	testbed_configure(scene.testbed, NULL, ADDED_ROUTE);
	scene_raise_version(&scene, 6);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, APPLY_MS);
	g_assert_cmpuint(scene_status(scene.gateways[0], &added), ==, 200);
	scene_close(&scene);
}

/* The instance goes on to read whole tables, since the store has not reached its old version. */
static void test_read_loop(void)
{
	struct scene scene;
	uint32_t calls;
	uint32_t calm_calls;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	mock_store_backup(scene.platform);
	scene_raise_version(&scene, 100);
	testbed_run(scene.testbed, 1000);
	calls = mock_store_call_count(scene.platform);
	testbed_run(scene.testbed, 3000);
	calm_calls = mock_store_call_count(scene.platform) - calls;
	scene_restore(&scene);
	calls = mock_store_call_count(scene.platform);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, 3000);
	/* beside the usual calls: three tables are read whole, and the own row is written */
	g_assert_cmpuint(mock_store_call_count(scene.platform) - calls, <=, 2 * calm_calls + 4);
	scene_close(&scene);
}

#define RENEWED_COUNT	   50 /* entries */
#define RENEWED_ROUNDS	   20
#define RENEWED_MIN_BYTES  60 /* of an entry in a message between instances */
#define RENEWED_ROUND_MS   100
#define RENEWED_SETTLED_MS 2000

/* Writes the entries of upstreams whose slow start goes on. */
static void scene_renew_entries(struct scene *scene, uint32_t cold_left_ms)
{
	for (uint32_t i = 0; i < RENEWED_COUNT; i++) {
		g_autofree char *id = g_strdup_printf("renewed-%u", i);
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"other\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z1\","
			"\"version\":\"1\",\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":%u,"
			"\"seq_no\":1,\"born\":5}",
			1000 + i, cold_left_ms);

		mock_store_put(scene->platform, "servers", id, text);
	}
}

/* Returns the bytes that the instances have sent each other about the store. */
static uint64_t scene_delegation_bytes(struct scene *scene)
{
	static const char name[] = "\nflamingolatch_bus_delegation_bytes_total ";
	uint64_t sum = 0;

	for (uint32_t i = 0; i < scene->gateway_count; i++) {
		g_autofree char *metrics = testbed_get(
			scene->testbed, scene->gateways[i]->metrics_address, "/metrics");
		const char *value = strstr(metrics, name);

		g_assert_nonnull(value);
		sum += g_ascii_strtoull(value + strlen(name), NULL, 10);
	}
	return sum;
}

/* The delegate passes on entries that their upstreams only renewed, many times a second. */
static void test_renewed_entries_passed_on(void)
{
	struct scene scene;
	uint64_t bytes;
	uint64_t calm_bytes;

	scene_open(&scene);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		scene_start_gateway(&scene, NULL);
	scene_wait_delegate(&scene);
	scene_renew_entries(&scene, 10000);
	testbed_run(scene.testbed, RENEWED_SETTLED_MS);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		g_assert_true(scene_state_has(&scene, i, "\"id\":\"renewed-49\""));
	bytes = scene_delegation_bytes(&scene);
	testbed_run(scene.testbed, RENEWED_SETTLED_MS);
	calm_bytes = scene_delegation_bytes(&scene) - bytes;
	bytes = scene_delegation_bytes(&scene);
	for (uint32_t round = 0; round < RENEWED_ROUNDS; round++) {
		scene_renew_entries(&scene, 10000 - (round + 1) * RENEWED_ROUND_MS);
		testbed_run(scene.testbed, RENEWED_ROUND_MS);
	}
	/* less than one round of them beyond what is sent anyway, which another period may exceed
	 */
	g_assert_cmpuint(scene_delegation_bytes(&scene) - bytes, <,
			 2 * calm_bytes + RENEWED_COUNT * RENEWED_MIN_BYTES);
	scene_close(&scene);
}

/* Instances that learn the list from their delegate take its changes for old ones. */
static void test_upstream_unknown(void)
{
	struct scene scene;
	struct mock_upstream *late;

	scene_open(&scene);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		scene_start_gateway(&scene, NULL);
	scene_wait_delegate(&scene);
	mock_store_backup(scene.platform);
	for (uint32_t i = 0; i < 20; i++)
		mock_upstream_list(scene.upstreams[0]);
	testbed_run(scene.testbed, 1500);
	scene_restore(&scene);
	mock_store_rewrite(scene.platform);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, CONTACT_MS);
	late = testbed_upstream(scene.testbed, "shop-late", false, 9);
	mock_upstream_list(late);
	testbed_run(scene.testbed, APPLY_MS);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		g_assert_true(scene_state_has(&scene, i, "\"id\":\"shop-late\""));
	scene_close(&scene);
}

/* The row by which instances that start find this one is gone. */
static void test_own_row_lost(void)
{
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	scene_start_gateway(&scene, NULL);
	mock_store_put(scene.platform, "flamingolatch", "gw-3", NULL);
	mock_store_backup(scene.platform);
	scene_start_gateway(&scene, NULL);
	scene_wait_delegate(&scene);
	testbed_run(scene.testbed, 1000);
	g_assert_nonnull(mock_store_text(scene.platform, "flamingolatch", "gw-3"));
	scene_restore(&scene);
	g_assert_null(mock_store_text(scene.platform, "flamingolatch", "gw-3"));
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, CONTACT_MS);
	g_assert_nonnull(mock_store_text(scene.platform, "flamingolatch", "gw-3"));
	scene_close(&scene);
}

/* The row that keeps a prompt part in quarantine is gone, so instances that start forget it. */
static void test_quarantine_row_lost(void)
{
	struct scene scene;
	g_autofree char *text =
		g_strdup_printf("%" G_GINT64_FORMAT " 300000", g_get_real_time() / 1000 + 200000);

	scene_open(&scene);
	mock_store_backup(scene.platform);
	mock_store_put(scene.platform, "flamingolatch", QUARANTINED_ROW, text);
	scene_start_gateway(&scene, NULL);
	testbed_run(scene.testbed, 1000);
	g_assert_true(scene_state_has(&scene, 0, "\"part\":\"bad0bad0\""));
	scene_restore(&scene);
	g_assert_null(mock_store_text(scene.platform, "flamingolatch", QUARANTINED_ROW));
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, CONTACT_MS);
	g_assert_nonnull(mock_store_text(scene.platform, "flamingolatch", QUARANTINED_ROW));
	scene_close(&scene);
}

/* The copy has the row of a quarantine that an answer has disproved since. */
static void test_disproved_quarantine_back(void)
{
	struct scene scene;
	struct testbed_request request = { .path = "/quick/",
					   .key = TESTBED_KEY,
					   .output_tokens = 40,
					   .prompt_parts = "aa11:350,bad0bad0:40,1:200",
					   .wait_ms = 5000 };
	g_autofree char *text =
		g_strdup_printf("%" G_GINT64_FORMAT " 300000", g_get_real_time() / 1000 + 200000);

	scene_open(&scene);
	mock_upstream_list(testbed_upstream(scene.testbed, "engine-1", true, 5));
	scene_start_gateway(&scene, NULL);
	g_assert_cmpuint(scene_status(scene.gateways[0], &request), ==, 200);
	mock_store_put(scene.platform, "flamingolatch", QUARANTINED_ROW, text);
	mock_store_backup(scene.platform);
	mock_store_put(scene.platform, "flamingolatch", QUARANTINED_ROW, NULL);
	scene_restore(&scene);
	g_assert_nonnull(mock_store_text(scene.platform, "flamingolatch", QUARANTINED_ROW));
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, CONTACT_MS);
	g_assert_cmpuint(scene_status(scene.gateways[0], &request), ==, 200);
	g_assert_null(mock_store_text(scene.platform, "flamingolatch", QUARANTINED_ROW));
	scene_close(&scene);
}

/* An instance that starts before the operator has written its change again serves the older
 * configuration, though its peers have the newer one. */
static void test_older_config_after_start(void)
{
	struct scene scene;
	struct testbed_gateway *watching;

	scene_open(&scene);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		scene_start_gateway(&scene, NULL);
	testbed_run(scene.testbed, 1000);
	mock_store_backup(scene.platform);
	testbed_configure(scene.testbed, NULL, ADDED_ROUTE);
	testbed_run(scene.testbed, 1000);
	watching = scene.gateways[scene_wait_delegate(&scene)];
	testbed_signal(watching, SIGKILL);
	g_assert_true(testbed_wait_exit(watching, 2000));
	scene_restore(&scene);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	testbed_run(scene.testbed, APPLY_MS);
	testbed_start(watching);
	g_assert_true(testbed_wait_ready(watching, READY_TIMEOUT_MS));
	testbed_run(scene.testbed, APPLY_MS);
	for (uint32_t i = 0; i < MAX_GATEWAY_COUNT; i++)
		g_assert_cmpuint(scene_status(scene.gateways[i], &added), ==, 200);
	scene_close(&scene);
}

/* The delegate and its dependent have different texts under one version, so that a difference from
 * it cannot be unpacked by the dependent. */
static void test_difference_not_applicable(void)
{
	struct scene scene;
	struct testbed_gateway *delegate;
	g_auto(GStrv) parts = NULL;
	g_autofree char *text = NULL;
	g_autofree char *rejected = NULL;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	scene_start_gateway(&scene, NULL);
	delegate = scene.gateways[scene_wait_delegate(&scene)];
	testbed_signal(delegate, SIGKILL);
	g_assert_true(testbed_wait_exit(delegate, 2000));
	testbed_configure(scene.testbed, NULL, "/other/");
	testbed_run(scene.testbed, APPLY_MS);
	parts = g_strsplit(mock_store_text(scene.platform, "op", "config"), "\"services\"", 2);
	text = g_strdup_printf("%s \"added\":true, \"services\"%s", parts[0], parts[1]);
	mock_store_put(scene.platform, "op", "config", text);
	testbed_start(delegate);
	g_assert_true(testbed_wait_ready(delegate, READY_TIMEOUT_MS));
	testbed_run(scene.testbed, APPLY_MS);
	g_assert_true(scene.gateways[scene_wait_delegate(&scene)] == delegate);
	/* until the other instance has no call to the store open */
	testbed_run(scene.testbed, 1000);
	testbed_configure(scene.testbed, NULL, ADDED_ROUTE);
	testbed_run(scene.testbed, APPLY_MS);
	for (uint32_t i = 0; i < 2; i++)
		g_assert_cmpuint(scene_status(scene.gateways[i], &added), ==, 200);
	rejected =
		testbed_log_lines(scene.gateways[scene.gateways[0] == delegate], "config-rejected");
	g_assert_cmpstr(rejected, !=, "");
	scene_close(&scene);
}

/* Sends requests at once, so that they spread over all upstreams, and checks that none reaches the
 * one that left. */
static void scene_check_unused(struct scene *scene, const char *left)
{
	struct testbed_answer answers[20];

	for (uint32_t i = 0; i < G_N_ELEMENTS(answers); i++)
		testbed_begin(scene->gateways[0], &once, &answers[i]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct mock_request_record record;

		g_assert_true(testbed_wait(scene->testbed, &answers[i], 5000));
		record = mock_request_record(scene->platform, answers[i].id);
		g_assert_cmpuint(answers[i].status, ==, 200);
		g_assert_cmpstr(record.upstream, !=, left);
		testbed_answer_clear(&answers[i]);
	}
}

/* The copy has the entry of an upstream that left since; the instance knows that it did. */
static void test_left_upstream_used(void)
{
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	mock_store_backup(scene.platform);
	mock_upstream_unlist(scene.upstreams[0]);
	testbed_run(scene.testbed, 500);
	scene_check_unused(&scene, "shop-1");
	scene_restore(&scene);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	scene_wait_read(&scene, "upstreams");
	g_assert_true(testbed_wait_ready(scene.gateways[0], READY_TIMEOUT_MS));
	scene_check_unused(&scene, "shop-1");
	testbed_run(scene.testbed, 500);
	scene_check_unused(&scene, "shop-1");
	mock_store_rewrite(scene.platform);
	testbed_run(scene.testbed, 300);
	scene_check_unused(&scene, "shop-1");
	scene_close(&scene);
}

/* A read of the copy, which lacks the revocation, is taken for a proof that the key is valid. */
static void test_revoked_key_accepted(void)
{
	struct scene scene;
	struct proxy *proxy;
	struct testbed_request revoked = once;
	uint64_t revoked_ns;
	g_autofree char *ip = NULL;

	scene_open(&scene);
	revoked.key = TESTBED_OTHER_KEY;
	ip = testbed_ip(scene.testbed, 50);
	proxy = proxy_create(testbed_loop(scene.testbed), ip,
			     mock_platform_address(scene.platform));
	scene_start_gateway(&scene, proxy_address(proxy));
	g_assert_cmpuint(scene_status(scene.gateways[0], &revoked), ==, 200);
	mock_store_backup(scene.platform);
	scene_raise_version(&scene, 5);
	testbed_run(scene.testbed, 1000);
	mock_store_set_mode(scene.platform, MOCK_STORE_RESET);
	testbed_configure(scene.testbed, NULL, NULL);
	revoked_ns = uv_hrtime();
	testbed_run(scene.testbed, OUTAGE_MS);
	mock_store_restore(scene.platform);
	mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
	/* the instance reads the copy and is then cut off from the store */
	scene_wait_read(&scene, "configuration");
	proxy_set_mode(proxy, PROXY_SILENT, 0);
	while (uv_hrtime() - revoked_ns < TESTBED_REVOKE_MS * 1000000ULL)
		testbed_run(scene.testbed, 1);
	for (uint32_t i = 0; i < 20; i++) {
		struct testbed_answer answer = testbed_call(scene.gateways[0], &revoked);

		g_assert_cmpuint(mock_request_record(scene.platform, answer.id).executions, ==, 0);
		testbed_answer_clear(&answer);
	}
	proxy_destroy(proxy);
	scene_close(&scene);
}

#define REWRITE_MS 300 /* until the operator has written again what a restoration lost */

/* Sends requests with a revoked key from the return of the store until the revocation, which is
 * written again meanwhile, is in force. @return how many ran */
static uint32_t count_revoked_runs(struct scene *scene, struct testbed_gateway *gateway,
				   const struct testbed_request *revoked)
{
	uint64_t returned_ns = uv_hrtime();
	uint32_t runs = 0;

	for (bool written = false; uv_hrtime() < returned_ns + APPLY_MS * 1000000ULL;) {
		struct testbed_answer answer = testbed_call(gateway, revoked);

		runs += mock_request_record(scene->platform, answer.id).executions;
		testbed_answer_clear(&answer);
		if (!written && uv_hrtime() >= returned_ns + REWRITE_MS * 1000000ULL) {
			written = true;
			mock_store_rewrite(scene->platform);
		}
		testbed_run(scene->testbed, 5);
	}
	return runs;
}

/* An instance that starts about when the store comes back from a copy that lacks the revocation of
 * a key accepts the key until it is written again. */
static void test_revoked_key_after_start(void)
{
	/* From the start of the instance to the return of the store. */
	static const int32_t leads_ms[] = { 300, 200, 100, -60 };
	struct testbed_request revoked = once;
	uint32_t runs = 0;

	revoked.key = TESTBED_OTHER_KEY;
	for (size_t i = 0; i < G_N_ELEMENTS(leads_ms); i++) {
		struct scene scene;

		scene_open(&scene);
		for (uint32_t n = 0; n < MAX_GATEWAY_COUNT; n++)
			scene_start_gateway(&scene, NULL);
		g_assert_cmpuint(scene_status(scene.gateways[0], &revoked), ==, 200);
		mock_store_backup(scene.platform);
		testbed_configure(scene.testbed, NULL, NULL);
		testbed_run(scene.testbed, APPLY_MS);
		g_assert_cmpuint(scene_status(scene.gateways[0], &revoked), ==, 401);
		testbed_signal(scene.gateways[0], SIGKILL);
		g_assert_true(testbed_wait_exit(scene.gateways[0], 2000));
		mock_store_set_mode(scene.platform, MOCK_STORE_RESET);
		testbed_run(scene.testbed, OUTAGE_MS);
		if (leads_ms[i] >= 0) {
			testbed_start(scene.gateways[0]);
			testbed_run(scene.testbed, (uint32_t)leads_ms[i]);
		}
		mock_store_restore(scene.platform);
		mock_store_set_mode(scene.platform, MOCK_STORE_HEALTHY);
		if (leads_ms[i] < 0) {
			testbed_run(scene.testbed, (uint32_t)-leads_ms[i]);
			testbed_start(scene.gateways[0]);
		}
		runs += count_revoked_runs(&scene, scene.gateways[0], &revoked);
		g_test_message("started %d ms before: %u requests ran so far", leads_ms[i], runs);
		scene_close(&scene);
	}
	g_assert_cmpuint(runs, ==, 0);
}

/* A second copy of an answer, which the next call on the connection may take for its own, neither
 * confirms a configuration that has a revoked key nor empties the instance list. */
static void test_answers_twice(void)
{
	static const uint32_t delays_ms[] = { 0, 20, 300 };

	for (size_t i = 0; i < G_N_ELEMENTS(delays_ms); i++) {
		struct scene scene;
		struct proxy *proxy;
		struct testbed_request revoked = once;
		g_autofree char *ip = NULL;

		scene_open(&scene);
		revoked.key = TESTBED_OTHER_KEY;
		ip = testbed_ip(scene.testbed, 50);
		proxy = proxy_create(testbed_loop(scene.testbed), ip,
				     mock_platform_address(scene.platform));
		scene_start_gateway(&scene, proxy_address(proxy));
		proxy_set_mode(proxy, PROXY_TWICE, delays_ms[i]);
		for (uint32_t round = 0; round < 3; round++) {
			struct testbed_answer answer;

			testbed_configure(scene.testbed, NULL, NULL);
			testbed_run(scene.testbed, TESTBED_REVOKE_MS);
			answer = testbed_call(scene.gateways[0], &revoked);
			g_assert_cmpuint(mock_request_record(scene.platform, answer.id).executions,
					 ==, 0);
			testbed_answer_clear(&answer);
			mock_store_drop_history(scene.platform);
			testbed_configure(scene.testbed, ",\"" TESTBED_OTHER_KEY "\"", NULL);
			testbed_run(scene.testbed, APPLY_MS);
			for (uint32_t n = 0; n < 20; n++) {
				g_assert_cmpuint(scene_status(scene.gateways[0], &revoked), ==,
						 200);
				testbed_run(scene.testbed, 20);
			}
		}
		proxy_destroy(proxy);
		scene_close(&scene);
	}
}

/* Odd entries of another writer, one after the other, neither end the process nor keep it from the
 * entries that come later. */
static void test_odd_entries(void)
{
	static const char *const endings[] = { "9999999999999999999999}", "1e999}", "-1}", "" };
	g_autofree char *nested = g_strnfill(20000, '[');
	g_autofree char *log = NULL;
	struct mock_upstream *late;
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
		g_autofree char *id = g_strdup_printf("odd-%zu", i);
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"address\":\"127.0.0.1:%d\","
			"\"zone\":\"z1\",\"state\":\"ready\",\"slots\":%s",
			i ? 80 : 99999, *endings[i] ? endings[i] : nested);

		mock_store_put(scene.platform, "servers", id, text);
		testbed_run(scene.testbed, 300);
	}
	mock_store_put(scene.platform, "servers", "odd-port",
		       "{\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"address\":\"127.0.0.1:99999\","
		       "\"zone\":\"z1\",\"state\":\"ready\",\"slots\":8}");
	testbed_run(scene.testbed, 300);
	late = testbed_upstream(scene.testbed, "shop-late", false, 40);
	mock_upstream_list(late);
	testbed_run(scene.testbed, APPLY_MS);
	g_assert_false(testbed_has_exited(scene.gateways[0]));
	log = testbed_log_lines(scene.gateways[0], "upstream-broken");
	for (size_t i = 0; i < G_N_ELEMENTS(endings); i++) {
		g_autofree char *id = g_strdup_printf("\"odd-%zu\"", i);

		g_assert_nonnull(strstr(log, id));
	}
	g_assert_nonnull(strstr(log, "\"odd-port\""));
	g_free(log);
	log = testbed_log_lines(scene.gateways[0], "shop-late");
	g_assert_cmpstr(log, !=, "");
	scene_close(&scene);
}

/* Writes entries that name the addresses of the upstreams and a later start, or removes them. */
static void scene_put_other_entries(struct scene *scene, const char *service, bool listed)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS(scene->upstreams); i++) {
		g_autofree char *id = g_strdup_printf("other-%u", i);
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"slots\":8,"
			"\"state\":\"ready\",\"seq_no\":1,\"born\":%" G_GINT64_FORMAT "}",
			service, mock_upstream_address(scene->upstreams[i]),
			g_get_real_time() / 1000);

		mock_store_put(scene->platform, "servers", id, listed ? text : NULL);
	}
	testbed_run(scene->testbed, APPLY_MS);
}

static void scene_expect_served(struct scene *scene)
{
	for (uint32_t call = 0; call < 4; call++) {
		uint16_t status = scene_status(scene->gateways[0], &once);

		if (status != 200) {
			g_autofree char *log =
				testbed_log_lines(scene->gateways[0], "upstream-state");

			g_test_message("%s", log);
		}
		g_assert_cmpuint(status, ==, 200);
	}
}

/* review/8: upstreams are lost for good when other entries name their addresses for a while. */
static void test_address_taken(void)
{
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	scene_expect_served(&scene);
	scene_put_other_entries(&scene, TESTBED_PLAIN_SERVICE, true);
	scene_put_other_entries(&scene, TESTBED_PLAIN_SERVICE, false);
	scene_expect_served(&scene);
	scene_close(&scene);
}

/* review/8: entries of a service that is not configured take the addresses of upstreams. */
static void test_address_of_unknown_service(void)
{
	struct scene scene;

	scene_open(&scene);
	scene_start_gateway(&scene, NULL);
	scene_put_other_entries(&scene, "port-probe", true);
	scene_expect_served(&scene);
	/* An instance that starts now gets them before it knows the configuration, or after. */
	testbed_signal(scene.gateways[0], SIGKILL);
	g_assert_true(testbed_wait_exit(scene.gateways[0], 2000));
	testbed_start(scene.gateways[0]);
	g_assert_true(testbed_wait_ready(scene.gateways[0], READY_TIMEOUT_MS));
	scene_expect_served(&scene);
	scene_close(&scene);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-store/config-not-applied", test_config_not_applied);
	g_test_add_func("/gateway-store/read-loop", test_read_loop);
	g_test_add_func("/gateway-store/renewed-entries-passed-on", test_renewed_entries_passed_on);
	g_test_add_func("/gateway-store/upstream-unknown", test_upstream_unknown);
	g_test_add_func("/gateway-store/own-row-lost", test_own_row_lost);
	g_test_add_func("/gateway-store/quarantine-row-lost", test_quarantine_row_lost);
	g_test_add_func("/gateway-store/disproved-quarantine-back", test_disproved_quarantine_back);
	g_test_add_func("/gateway-store/older-config-after-start", test_older_config_after_start);
	g_test_add_func("/gateway-store/difference-not-applicable", test_difference_not_applicable);
	g_test_add_func("/gateway-store/left-upstream-used", test_left_upstream_used);
	g_test_add_func("/gateway-store/revoked-key-accepted", test_revoked_key_accepted);
	g_test_add_func("/gateway-store/revoked-key-after-start", test_revoked_key_after_start);
	g_test_add_func("/gateway-store/answers-twice", test_answers_twice);
	g_test_add_func("/gateway-store/odd-entries", test_odd_entries);
	g_test_add_func("/gateway-store/address-taken", test_address_taken);
	g_test_add_func("/gateway-store/address-of-unknown-service",
			test_address_of_unknown_service);
	return g_test_run();
}
