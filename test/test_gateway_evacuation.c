/**
 * @file test_gateway_evacuation.c
 * The gateway program while the operator evacuates zones: no request reaches an
 * upstream of an evacuated zone once the evacuation is in force, whichever way an
 * instance learns of it, and what runs there goes on.
 */
#include "soak/proxy.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
/* What the operator is promised, and the same where the store refuses some instances. */
#define BOUND_MS       5000
#define OUTER_BOUND_MS 13000
#define GATEWAY_COUNT  3
#define CALL_COUNT     30
#define LIST_MS	       300 /* until an instance knows an entry */
#define TOKENS	       1000
#define EVENT_MS       8     /* between events of four tokens: a generation lasts 2 s */
#define FULL_TOKENS    30000 /* of a prompt that leaves an engine no room for another */
#define QUEUED_COUNT   3
#define KILL_ROUNDS    3

/* Gateways in zone z1, and an upstream of each service in each zone. */
struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateways[GATEWAY_COUNT];
	struct proxy *proxies[GATEWAY_COUNT]; /* between each and the store */
	uint32_t gateway_count;
	struct mock_upstream *shops[2]; /* z1, z2 */
	struct mock_upstream *engines[2];
};

static const struct testbed_request call = { .path = "/once/", .key = TESTBED_KEY };
static const struct testbed_request generation = { .path = "/long/",
						   .key = TESTBED_KEY,
						   .output_tokens = TOKENS };
static const struct testbed_request full = {
	.path = "/long/", .key = TESTBED_KEY, .prompt_tokens = FULL_TOKENS, .output_tokens = TOKENS
};

/* Whether the settings state the bound. */
static bool with_bound;

static struct mock_upstream *create_upstream(const struct fixture *f, bool engine, uint32_t zone)
{
	g_autofree char *id = g_strdup_printf("%s-%u", engine ? "engine" : "shop", zone);
	g_autofree char *name = g_strdup_printf("z%u", zone);
	g_autofree char *ip = testbed_ip(f->testbed, 100 + 2 * zone + engine);
	struct mock_upstream_conf conf = { .id = id,
					   .service = engine ? TESTBED_ENGINE_SERVICE
							     : TESTBED_PLAIN_SERVICE,
					   .zone = name,
					   .address = ip,
					   .engine = engine,
					   .work_ms = 5,
					   .pace_ms = EVENT_MS };

	return mock_upstream_create(f->platform, &conf);
}

/* Adds the bound to the settings, which end with the others. */
static void set_bound(const struct testbed_gateway *gateway)
{
	g_autofree char *bound = g_strdup_printf("  evacuate_ms: %d\n", BOUND_MS);

	testbed_add_settings(gateway, bound);
}

static void start_gateway(struct fixture *f)
{
	uint32_t number = f->gateway_count++;
	g_autofree char *name = g_strdup_printf("gw-%u", number);
	g_autofree char *ip = testbed_ip(f->testbed, 50 + number);

	f->proxies[number] =
		proxy_create(testbed_loop(f->testbed), ip, mock_platform_address(f->platform));
	f->gateways[number] = testbed_gateway(f->testbed, name, proxy_address(f->proxies[number]));
	if (with_bound)
		set_bound(f->gateways[number]);
	testbed_start(f->gateways[number]);
}

/* Waits until all but one of the gateways have a delegate. */
static void wait_delegated(const struct fixture *f)
{
	uint32_t delegated = 0;

	for (uint32_t ms = 0; ms < READY_TIMEOUT_MS && delegated + 1 < f->gateway_count; ms += 50) {
		testbed_run(f->testbed, 50);
		delegated = 0;
		for (uint32_t g = 0; g < f->gateway_count; g++) {
			g_autofree char *text =
				testbed_get(f->testbed, f->gateways[g]->metrics_address, "/state");

			delegated += strstr(text, "\"follows_store\":false") != NULL;
		}
	}
	g_assert_cmpuint(delegated + 1, ==, f->gateway_count);
}

/* Makes the route of the calls public: what is not known to be fresh refuses requests with keys. */
static void make_public(const struct fixture *f)
{
	g_auto(GStrv) parts =
		g_strsplit(mock_store_text(f->platform, "op", "config"), "\"name\":\"once\",", 2);
	g_autofree char *text =
		g_strdup_printf("%s\"name\":\"once\",\"public\":true,%s", parts[0], parts[1]);

	mock_store_put(f->platform, "op", "config", text);
}

static void fixture_open(struct fixture *f, uint32_t gateway_count)
{
	*f = (struct fixture){ .testbed = testbed_create(61) };
	f->platform = testbed_platform(f->testbed);
	for (uint32_t i = 0; i < 2; i++) {
		f->shops[i] = create_upstream(f, false, i + 1);
		f->engines[i] = create_upstream(f, true, i + 1);
		mock_upstream_list(f->shops[i]);
	}
	mock_upstream_list(f->engines[0]);
	testbed_configure(f->testbed, NULL, NULL);
	if (with_bound)
		make_public(f);
	/* One after the other: those that start at the same moment find one another late. */
	for (uint32_t g = 0; g < gateway_count; g++) {
		start_gateway(f);
		g_assert_true(testbed_wait_ready(f->gateways[g], READY_TIMEOUT_MS));
	}
	wait_delegated(f);
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t g = 0; g < f->gateway_count; g++)
		proxy_destroy(f->proxies[g]);
	testbed_run(f->testbed, 1);
	testbed_destroy(f->testbed);
}

static void evacuate(const struct fixture *f, const char *zone, bool evacuated)
{
	g_autofree char *key = g_strdup_printf("evacuate/%s", zone);

	mock_store_put(f->platform, "op", key, evacuated ? "{}" : NULL);
}

/* Waits until a gateway states in its dump exactly these zones, and checks how long that takes.
 * @param zones as JSON */
static void wait_zones(const struct fixture *f, const struct testbed_gateway *gateway,
		       const char *zones, uint32_t bound_ms)
{
	g_autofree char *wanted = g_strdup_printf("\"evacuated\":{\"zones\":%s,", zones);
	uint64_t began_ms = uv_hrtime() / 1000000;
	uint64_t spent_ms = 0;
	bool found = false;

	while (!found && spent_ms <= bound_ms) {
		g_autofree char *text = testbed_get(f->testbed, gateway->metrics_address, "/state");

		found = strstr(text, wanted) != NULL;
		spent_ms = uv_hrtime() / 1000000 - began_ms;
		if (!found)
			testbed_run(f->testbed, 5);
	}
	g_test_message("%s has %s after %" G_GUINT64_FORMAT " ms", gateway->name, zones, spent_ms);
	g_assert_true(found);
	g_assert_cmpuint(spent_ms, <=, bound_ms);
}

static void wait_zones_everywhere(const struct fixture *f, const char *zones, uint32_t bound_ms)
{
	for (uint32_t g = 0; g < f->gateway_count; g++)
		wait_zones(f, f->gateways[g], zones, bound_ms);
}

static uint32_t arrivals(const struct mock_upstream *upstream)
{
	return mock_upstream_arrivals(upstream)->len;
}

static void send_calls(struct testbed_gateway *gateway)
{
	for (uint32_t i = 0; i < CALL_COUNT; i++) {
		struct testbed_answer answer = testbed_call(gateway, &call);

		g_assert_cmpuint(answer.status, ==, 200);
		testbed_answer_clear(&answer);
	}
}

/* Checks that calls are served and none of them by an upstream of a zone. @param zone 0 or 1 */
static void check_spared(const struct fixture *f, struct testbed_gateway *gateway, uint32_t zone)
{
	uint32_t before = arrivals(f->shops[zone]);

	send_calls(gateway);
	g_assert_cmpuint(arrivals(f->shops[zone]), ==, before);
}

/* Checks that calls are served and some of them by an upstream of a zone. */
static void check_used(const struct fixture *f, struct testbed_gateway *gateway, uint32_t zone)
{
	uint32_t before = arrivals(f->shops[zone]);

	send_calls(gateway);
	g_assert_cmpuint(arrivals(f->shops[zone]), >, before);
}

/* Checks that an answer is a refusal of a request that did not run and may come again. */
static void check_refused(const struct fixture *f, struct testbed_answer *answer)
{
	g_assert_true(answer->ended);
	g_assert_cmpuint(answer->status, ==, 503);
	g_assert_cmpfloat(answer->retry_after_s, >, 0);
	g_assert_cmpuint(mock_request_record(f->platform, answer->id).arrivals, ==, 0);
	testbed_answer_clear(answer);
}

static uint32_t count_log_lines(const struct testbed_gateway *gateway, const char *text)
{
	g_autofree char *lines = testbed_log_lines(gateway, text);
	uint32_t count = 0;

	for (const char *at = lines; (at = strchr(at, '\n')); at++)
		count++;
	return count;
}

/* An instance that watches the store obeys, refuses when no zone is left, and serves again from a
 * zone that was returned. */
static void test_watching(void)
{
	struct testbed_answer answer;
	struct fixture f;

	fixture_open(&f, 1);
	check_used(&f, f.gateways[0], 0);
	evacuate(&f, "z1", true);
	wait_zones(&f, f.gateways[0], "[\"z1\"]", BOUND_MS);
	check_spared(&f, f.gateways[0], 0);
	evacuate(&f, "z2", true);
	wait_zones(&f, f.gateways[0], "[\"z1\",\"z2\"]", BOUND_MS);
	answer = testbed_call(f.gateways[0], &call);
	check_refused(&f, &answer);
	answer = testbed_call(f.gateways[0], &generation);
	check_refused(&f, &answer);
	g_assert_cmpuint(count_log_lines(f.gateways[0], "\"reason\":\"evacuated\""), ==, 2);
	evacuate(&f, "z1", false);
	wait_zones(&f, f.gateways[0], "[\"z2\"]", BOUND_MS);
	check_spared(&f, f.gateways[0], 1);
	evacuate(&f, "z2", false);
	wait_zones(&f, f.gateways[0], "[]", BOUND_MS);
	g_assert_cmpuint(count_log_lines(f.gateways[0], "zone-evacuated"), ==, 2);
	g_assert_cmpuint(count_log_lines(f.gateways[0], "zone-returned"), ==, 2);
	fixture_close(&f);
}

/* Instances that have a delegate obey, and again when it was taken back and set anew. */
static void test_delegated(void)
{
	struct fixture f;

	fixture_open(&f, GATEWAY_COUNT);
	for (uint32_t round = 0; round < 2; round++) {
		evacuate(&f, "z1", true);
		wait_zones_everywhere(&f, "[\"z1\"]", BOUND_MS);
		for (uint32_t g = 0; g < GATEWAY_COUNT; g++)
			check_spared(&f, f.gateways[g], 0);
		evacuate(&f, "z1", false);
		wait_zones_everywhere(&f, "[]", BOUND_MS);
		for (uint32_t g = 0; g < GATEWAY_COUNT; g++)
			check_used(&f, f.gateways[g], 0);
	}
	fixture_close(&f);
}

/* Queued generations are refused at once when the last zone is evacuated, and a generation that
 * runs there goes on to its end. */
static void test_queued(void)
{
	struct testbed_answer queued[QUEUED_COUNT];
	struct testbed_answer running;
	struct fixture f;

	fixture_open(&f, 1);
	testbed_begin(f.gateways[0], &full, &running);
	testbed_run(f.testbed, LIST_MS);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), ==, 1);
	for (uint32_t i = 0; i < QUEUED_COUNT; i++)
		testbed_begin(f.gateways[0], &full, &queued[i]);
	for (uint32_t ms = 0;
	     ms < BOUND_MS && count_log_lines(f.gateways[0], "request-queued") == 0; ms++)
		testbed_run(f.testbed, 1);
	evacuate(&f, "z1", true);
	for (uint32_t i = 0; i < QUEUED_COUNT; i++) {
		g_assert_true(testbed_wait(f.testbed, &queued[i], BOUND_MS));
		check_refused(&f, &queued[i]);
	}
	g_assert_true(testbed_wait(f.testbed, &running, READY_TIMEOUT_MS));
	g_assert_true(testbed_is_complete(&running, TOKENS));
	g_assert_cmpuint(arrivals(f.engines[0]), ==, 1);
	testbed_answer_clear(&running);
	fixture_close(&f);
}

/* The room that a generation frees in an evacuated zone is not granted to a queued one: it goes to
 * the other zone, or nowhere. */
static void test_queued_elsewhere(void)
{
	struct testbed_answer running[2];
	struct testbed_answer queued;
	struct fixture f;

	fixture_open(&f, 1);
	mock_upstream_list(f.engines[1]);
	/* Until the load of the new engine counts as known. */
	testbed_run(f.testbed, 1500);
	for (uint32_t i = 0; i < 2; i++) {
		testbed_begin(f.gateways[0], &full, &running[i]);
		testbed_run(f.testbed, LIST_MS);
	}
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), ==, 1);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[1]), ==, 1);
	evacuate(&f, "z1", true);
	wait_zones(&f, f.gateways[0], "[\"z1\"]", BOUND_MS);
	/* Callers come back until the generation in the other zone has ended. */
	for (uint32_t ms = 0; ms < READY_TIMEOUT_MS; ms += LIST_MS) {
		queued = testbed_call(f.gateways[0], &full);
		if (queued.status == 200)
			break;
		check_refused(&f, &queued);
	}
	g_assert_true(testbed_is_complete(&queued, TOKENS));
	testbed_answer_clear(&queued);
	g_assert_cmpuint(arrivals(f.engines[0]), ==, 1);
	g_assert_cmpuint(arrivals(f.engines[1]), ==, 2);
	for (uint32_t i = 0; i < 2; i++) {
		g_assert_true(testbed_wait(f.testbed, &running[i], READY_TIMEOUT_MS));
		g_assert_true(testbed_is_complete(&running[i], TOKENS));
		testbed_answer_clear(&running[i]);
	}
	fixture_close(&f);
}

/* A generation on an engine that leaves is not moved into an evacuated zone, and out of one it is.
 */
static void test_moved(void)
{
	for (uint32_t evacuated = 0; evacuated < 2; evacuated++) {
		const char *zone = evacuated == 0 ? "z1" : "z2";
		g_autofree char *zones = g_strdup_printf("[\"%s\"]", zone);
		struct testbed_answer answer;
		struct fixture f;

		fixture_open(&f, 1);
		testbed_begin(f.gateways[0], &generation, &answer);
		testbed_run(f.testbed, LIST_MS);
		mock_upstream_list(f.engines[1]);
		testbed_run(f.testbed, LIST_MS);
		g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), ==, 1);
		evacuate(&f, zone, true);
		wait_zones(&f, f.gateways[0], zones, BOUND_MS);
		mock_upstream_drain(f.engines[0]);
		g_assert_true(testbed_wait(f.testbed, &answer, READY_TIMEOUT_MS));
		g_assert_true(testbed_is_complete(&answer, TOKENS));
		g_assert_cmpuint(arrivals(f.engines[0]), ==, 1);
		g_assert_cmpuint(arrivals(f.engines[1]), ==, evacuated == 0);
		g_assert_cmpuint(mock_upstream_copies_ms(f.engines[0])->len > 0, ==,
				 evacuated == 0);
		testbed_answer_clear(&answer);
		fixture_close(&f);
	}
}

/* An instance that starts during an evacuation sends nothing to the zone from its first request on.
 */
static void test_restart(void)
{
	struct fixture f;

	fixture_open(&f, GATEWAY_COUNT);
	evacuate(&f, "z1", true);
	wait_zones_everywhere(&f, "[\"z1\"]", BOUND_MS);
	for (uint32_t g = 0; g < GATEWAY_COUNT; g++) {
		uint32_t before = arrivals(f.shops[0]);
		uint32_t served = 0;

		testbed_signal(f.gateways[g], SIGKILL);
		g_assert_true(testbed_wait_exit(f.gateways[g], READY_TIMEOUT_MS));
		testbed_start(f.gateways[g]);
		/* also before it is ready */
		for (uint32_t i = 0; i < READY_TIMEOUT_MS && served < CALL_COUNT; i++) {
			struct testbed_answer answer = testbed_call(f.gateways[g], &call);

			served += answer.status == 200;
			testbed_answer_clear(&answer);
			testbed_run(f.testbed, 1);
		}
		g_assert_cmpuint(served, ==, CALL_COUNT);
		g_assert_cmpuint(arrivals(f.shops[0]), ==, before);
		g_assert_true(testbed_wait_ready(f.gateways[g], READY_TIMEOUT_MS));
	}
	fixture_close(&f);
}

static uint32_t find_delegate(const struct fixture *f)
{
	for (uint32_t g = 0; g < f->gateway_count; g++) {
		g_autofree char *text =
			testbed_get(f->testbed, f->gateways[g]->metrics_address, "/state");

		if (strstr(text, "\"follows_store\":true"))
			return g;
	}
	g_assert_not_reached();
}

/* The delegate is killed about when it reads the row, before or after it passes it on. */
static void test_delegate_dies(void)
{
	struct fixture f;

	fixture_open(&f, GATEWAY_COUNT);
	for (uint32_t round = 0; round < KILL_ROUNDS; round++) {
		uint32_t killed = find_delegate(&f);

		evacuate(&f, "z1", true);
		testbed_run(f.testbed, round);
		testbed_signal(f.gateways[killed], SIGKILL);
		for (uint32_t g = 0; g < GATEWAY_COUNT; g++) {
			if (g == killed)
				continue;
			wait_zones(&f, f.gateways[g], "[\"z1\"]", BOUND_MS);
			check_spared(&f, f.gateways[g], 0);
		}
		g_assert_true(testbed_wait_exit(f.gateways[killed], READY_TIMEOUT_MS));
		testbed_start(f.gateways[killed]);
		g_assert_true(testbed_wait_ready(f.gateways[killed], READY_TIMEOUT_MS));
		wait_delegated(&f);
		evacuate(&f, "z1", false);
		wait_zones_everywhere(&f, "[]", BOUND_MS);
	}
	fixture_close(&f);
}

/* Instances that the store refuses, in turn also the one that was the delegate, learn of it from
 * the others, also after a start. One that is cut off from all keeps what it knew. */
static void test_refused_by_store(void)
{
	struct fixture f;

	fixture_open(&f, GATEWAY_COUNT);
	for (uint32_t refused = 0; refused < GATEWAY_COUNT; refused++) {
		proxy_set_mode(f.proxies[refused], PROXY_RESET, 0);
		evacuate(&f, "z1", true);
		wait_zones_everywhere(&f, "[\"z1\"]", OUTER_BOUND_MS);
		testbed_signal(f.gateways[refused], SIGKILL);
		g_assert_true(testbed_wait_exit(f.gateways[refused], READY_TIMEOUT_MS));
		testbed_start(f.gateways[refused]);
		g_assert_true(testbed_wait_ready(f.gateways[refused], READY_TIMEOUT_MS));
		for (uint32_t g = 0; g < GATEWAY_COUNT; g++)
			check_spared(&f, f.gateways[g], 0);
		evacuate(&f, "z1", false);
		wait_zones_everywhere(&f, "[]", OUTER_BOUND_MS);
		proxy_set_mode(f.proxies[refused], PROXY_PASS, 0);
	}
	evacuate(&f, "z1", true);
	wait_zones_everywhere(&f, "[\"z1\"]", OUTER_BOUND_MS);
	mock_store_set_mode(f.platform, MOCK_STORE_RESET);
	testbed_signal(f.gateways[0], SIGKILL);
	testbed_signal(f.gateways[1], SIGKILL);
	testbed_run(f.testbed, TESTBED_REVOKE_MS / 2);
	wait_zones(&f, f.gateways[2], "[\"z1\"]", BOUND_MS);
	fixture_close(&f);
}

/* Rows that name no zone, or one that the settings don't name, change nothing, and are logged. */
static void test_malformed(void)
{
	static const char *const zones[] = { "", "\x01", "nowhere", "z1/", "Z1" };
	struct fixture f;

	fixture_open(&f, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(zones); i++)
		evacuate(&f, zones[i], true);
	evacuate(&f, "z2", true);
	wait_zones(&f, f.gateways[0], "[\"Z1\",\"nowhere\",\"z1/\",\"z2\"]", BOUND_MS);
	check_spared(&f, f.gateways[0], 1);
	g_assert_cmpuint(count_log_lines(f.gateways[0], "evacuation-invalid"), >=,
			 G_N_ELEMENTS(zones));
	/* whatever the value of a row is, it counts while it exists */
	mock_store_put(f.platform, "op", "evacuate/z2", "not json");
	testbed_configure(f.testbed, NULL, NULL);
	testbed_run(f.testbed, LIST_MS);
	check_spared(&f, f.gateways[0], 1);
	fixture_close(&f);
}

/* The store comes back from a copy that was made before the evacuation, and the operator writes it
 * again. The evacuation of the copy is that in force. */
static void test_restored(void)
{
	struct fixture f;

	fixture_open(&f, GATEWAY_COUNT);
	mock_store_backup(f.platform);
	evacuate(&f, "z1", true);
	wait_zones_everywhere(&f, "[\"z1\"]", BOUND_MS);
	mock_store_restore(f.platform);
	wait_zones_everywhere(&f, "[]", BOUND_MS);
	mock_store_rewrite(f.platform);
	wait_zones_everywhere(&f, "[\"z1\"]", BOUND_MS);
	check_spared(&f, f.gateways[0], 0);
	mock_store_drop_history(f.platform);
	evacuate(&f, "z1", false);
	evacuate(&f, "z2", true);
	wait_zones_everywhere(&f, "[\"z2\"]", BOUND_MS);
	check_spared(&f, f.gateways[0], 1);
	fixture_close(&f);
}

/* An instance that was paused while the zone was evacuated, as one that watches the store or has a
 * delegate, sends nothing there when it goes on: neither the requests that came meanwhile nor those
 * that were queued before. Then it serves again, also when it hears from nobody. */
static void test_paused(void)
{
	struct testbed_answer answers[CALL_COUNT];
	struct fixture f;
	uint32_t before;

	with_bound = true;
	fixture_open(&f, GATEWAY_COUNT);
	for (uint32_t g = 0; g < GATEWAY_COUNT; g++) {
		testbed_signal(f.gateways[g], SIGSTOP);
		evacuate(&f, "z1", true);
		for (uint32_t i = 0; i < CALL_COUNT; i++)
			testbed_begin(f.gateways[g], &call, &answers[i]);
		testbed_run(f.testbed, BOUND_MS);
		before = arrivals(f.shops[0]);
		testbed_signal(f.gateways[g], SIGCONT);
		for (uint32_t i = 0; i < CALL_COUNT; i++) {
			g_assert_true(testbed_wait(f.testbed, &answers[i], READY_TIMEOUT_MS));
			/* The pause may have begun after some were sent, which then are late. */
			testbed_answer_clear(&answers[i]);
		}
		g_assert_cmpuint(arrivals(f.shops[0]), ==, before);
		wait_zones_everywhere(&f, "[\"z1\"]", BOUND_MS);
		g_assert_true(testbed_wait_ready(f.gateways[g], READY_TIMEOUT_MS));
		check_spared(&f, f.gateways[g], 0);
		g_test_message("%u refused", count_log_lines(f.gateways[g], "zones-unconfirmed"));
		evacuate(&f, "z1", false);
		wait_zones_everywhere(&f, "[]", BOUND_MS);
	}
	fixture_close(&f);
	with_bound = false;
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-evacuation/watching", test_watching);
	g_test_add_func("/gateway-evacuation/delegated", test_delegated);
	g_test_add_func("/gateway-evacuation/queued", test_queued);
	g_test_add_func("/gateway-evacuation/queued-elsewhere", test_queued_elsewhere);
	g_test_add_func("/gateway-evacuation/moved", test_moved);
	g_test_add_func("/gateway-evacuation/restart", test_restart);
	g_test_add_func("/gateway-evacuation/delegate-dies", test_delegate_dies);
	g_test_add_func("/gateway-evacuation/refused-by-store", test_refused_by_store);
	g_test_add_func("/gateway-evacuation/malformed", test_malformed);
	g_test_add_func("/gateway-evacuation/restored", test_restored);
	g_test_add_func("/gateway-evacuation/paused", test_paused);
	return g_test_run();
}
