/**
 * @file test_gateway_admission.c
 * The gateway program with two kinds of streams: admission control takes effect when the
 * objectives of their routes differ by a factor of two, and nothing changes before.
 */
#include "raw_upstream.h"
#include "testbed.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_MS  20000
#define CHANGE_TIMEOUT_MS 10000
#define RAW_PORT	  8700
#define RAW_HOST_NUMBER	  120
#define GATEWAYS	  2
#define EVENTS		  "id: 1\ndata: a\n\nid: 2\ndata: end\n\n"
#define ENGINE_MS	  50   /* for which the engine works on a generation */
#define PROMPT_TOKENS	  3000 /* of each */
#define LONG_WAIT_MS	  1333 /* a third of the objective */

/* Two gateways of a zone and one engine. */
struct fixture {
	struct testbed *testbed;
	struct testbed_gateway *gateways[GATEWAYS];
	struct raw_upstream *engine;
	bool silent;  /* the engine does not answer */
	bool endless; /* it does not end its answers */
	int priority; /* of the last request to the engine, -1 without one */
};

static void on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct fixture *f = ctx;
	const char *header =
		strstr(raw_conn_request_head(conn), "x-flamingolatch-request-priority: ");
	g_autofree char *text = NULL;

	(void)id;
	f->priority = header ? atoi(strchr(header, ' ')) : -1;
	if (f->silent)
		return;
	text = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"
			       "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n%s",
			       strlen(EVENTS) + (f->endless ? 100 : 0), EVENTS);
	raw_conn_write_later(conn, text, ENGINE_MS, false);
}

static void fixture_open(struct fixture *f, bool urgent_preempts)
{
	g_autofree char *ip = NULL;
	g_autofree char *entry = NULL;

	*f = (struct fixture){ .testbed = testbed_create(11), .priority = -1 };
	if (urgent_preempts)
		testbed_set_urgent_preempts(f->testbed);
	ip = testbed_ip(f->testbed, RAW_HOST_NUMBER);
	entry = g_strdup_printf("{\"service\":\"" TESTBED_ENGINE_SERVICE
				"\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"slots\":48,"
				"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
				ip, RAW_PORT);
	f->engine = raw_upstream_create(testbed_loop(f->testbed), ip, RAW_PORT, on_request, f);
	mock_store_put(testbed_platform(f->testbed), "servers", "raw", entry);
	testbed_configure(f->testbed, NULL, NULL);
	for (uint32_t i = 0; i < GATEWAYS; i++) {
		f->gateways[i] = testbed_gateway(f->testbed, i ? "gw-2" : "gw-1", NULL);
		testbed_start(f->gateways[i]);
	}
	for (uint32_t i = 0; i < GATEWAYS; i++)
		g_assert_true(testbed_wait_ready(f->gateways[i], READY_TIMEOUT_MS));
	testbed_run(f->testbed, 300);
}

static void fixture_close(struct fixture *f)
{
	raw_upstream_destroy(f->engine);
	testbed_destroy(f->testbed);
}

/* Returns the priority with which the engine gets a request of a route. */
static int sent_priority(struct fixture *f, const char *path, uint32_t wait_ms)
{
	struct testbed_request request = { .path = path,
					   .key = TESTBED_KEY,
					   .output_tokens = 40,
					   .prompt_tokens = PROMPT_TOKENS,
					   .wait_ms = wait_ms };
	struct testbed_answer answer = testbed_call(f->gateways[0], &request);

	g_assert_cmpuint(answer.status, ==, 200);
	testbed_answer_clear(&answer);
	return f->priority;
}

static uint64_t metric_of(struct fixture *f, uint32_t gateway, const char *name)
{
	g_autofree char *text =
		testbed_get(f->testbed, f->gateways[gateway]->metrics_address, "/metrics");
	g_autofree char *line = g_strdup_printf("\nflamingolatch_%s ", name);
	const char *at = strstr(text, line);

	g_assert_nonnull(at);
	return g_ascii_strtoull(at + strlen(line), NULL, 10);
}

/* Sets an objective that differs by the factor, and waits until it is in force. */
static void make_compete(struct fixture *f)
{
	testbed_set_long_objective(f->testbed, 4000);
	testbed_configure(f->testbed, NULL, NULL);
	for (uint32_t ms = 0; sent_priority(f, "/long/", 20000) != 3; ms += 100) {
		g_assert_cmpuint(ms, <, CHANGE_TIMEOUT_MS);
		testbed_run(f->testbed, 100);
	}
}

/* Guards against engines that are told of urgency although the settings do not say so: urgent
 * generations would preempt others. */
static void test_priority_kept(void)
{
	struct fixture f;

	fixture_open(&f, false);
	testbed_set_long_objective(f.testbed, 4000);
	testbed_configure(f.testbed, NULL, NULL);
	for (uint32_t ms = 0; metric_of(&f, 0, "bus_admission_bytes_total") == 0; ms += 100) {
		g_assert_cmpint(sent_priority(&f, "/quick/", 6000), ==, 0);
		g_assert_cmpuint(ms, <, CHANGE_TIMEOUT_MS);
		testbed_run(f.testbed, 100);
	}
	g_assert_cmpint(sent_priority(&f, "/long/", 20000), ==, 1);
	fixture_close(&f);
}

/* Guards against messages and priorities that change for services without urgent routes, and
 * against a demand that the peers do not learn. */
static void test_takes_effect(void)
{
	struct fixture f;
	uint64_t sent_bytes = 0;

	fixture_open(&f, true);
	g_assert_cmpint(sent_priority(&f, "/long/", 20000), ==, 1);
	g_assert_cmpint(sent_priority(&f, "/quick/", 6000), ==, 0);
	testbed_run(f.testbed, 1500);
	for (uint32_t i = 0; i < GATEWAYS; i++)
		g_assert_cmpuint(metric_of(&f, i, "bus_admission_bytes_total"), ==, 0);
	make_compete(&f);
	for (uint32_t ms = 0; sent_bytes == 0; ms += 100) {
		g_assert_cmpint(sent_priority(&f, "/quick/", 6000), ==, 0);
		sent_bytes = metric_of(&f, 0, "bus_admission_bytes_total");
		g_assert_cmpuint(ms, <, CHANGE_TIMEOUT_MS);
		testbed_run(f.testbed, 100);
	}
	/* The other one places no urgent generation; what it leaves free is for its peer's. */
	for (uint32_t ms = 0;; ms += 100) {
		struct testbed_request request = {
			.path = "/long/", .key = TESTBED_KEY, .output_tokens = 40, .wait_ms = 20000
		};
		struct testbed_answer answer;

		for (uint32_t i = 0; i < 5; i++)
			sent_priority(&f, "/quick/", 6000);
		answer = testbed_call(f.gateways[1], &request);
		testbed_answer_clear(&answer);
		if (metric_of(&f, 1, "other_fill_permille") < 920)
			break;
		g_assert_cmpuint(ms, <, CHANGE_TIMEOUT_MS);
		testbed_run(f.testbed, 100);
	}
	fixture_close(&f);
}

/* A generation with slack waits longer for room than the settings say for all, is told when to
 * return, and its refusal is counted; without urgent routes the time of the settings applies. */
static void test_waits(void)
{
	struct testbed_request large = { .path = "/long/",
					 .key = TESTBED_KEY,
					 .output_tokens = 40,
					 .prompt_tokens = 29000,
					 .wait_ms = 20000 };
	struct testbed_answer first = { 0 };
	struct testbed_answer second;
	struct testbed_call *call;
	struct fixture f;

	fixture_open(&f, true);
	f.silent = true;
	call = testbed_begin(f.gateways[0], &large, &first);
	testbed_run(f.testbed, 200);
	second = testbed_call(f.gateways[0], &large);
	g_assert_cmpuint(second.status, ==, 503);
	testbed_answer_clear(&second);
	g_assert_cmpuint(metric_of(&f, 0, "admission_waited_refused_total"), ==, 0);
	testbed_disconnect(call);
	testbed_run(f.testbed, 200);
	testbed_answer_clear(&first);
	f.silent = false;
	make_compete(&f);
	f.silent = true;
	first = (struct testbed_answer){ 0 };
	call = testbed_begin(f.gateways[0], &large, &first);
	testbed_run(f.testbed, 200);
	large.prompt_tokens = 5000;
	second = testbed_call(f.gateways[0], &large);
	g_assert_cmpuint(second.status, ==, 503);
	g_assert_cmpfloat(second.retry_after_s, >=, 0.4);
	g_assert_cmpuint(second.ended_ms - second.sent_ms, >=, LONG_WAIT_MS - 20);
	g_assert_cmpuint(metric_of(&f, 0, "admission_waited_refused_total"), ==, 1);
	testbed_answer_clear(&second);
	testbed_disconnect(call);
	testbed_run(f.testbed, 200);
	testbed_answer_clear(&first);
	fixture_close(&f);
}

/* A process that ends while an urgent generation is open exits in order. */
static void test_stop(void)
{
	struct testbed_request request = {
		.path = "/quick/", .key = TESTBED_KEY, .output_tokens = 40, .wait_ms = 6000
	};
	struct testbed_answer answer = { 0 };
	struct fixture f;
	GSubprocess *process;

	fixture_open(&f, true);
	make_compete(&f);
	f.endless = true;
	process = g_object_ref(f.gateways[0]->process);
	testbed_begin(f.gateways[0], &request, &answer);
	testbed_run(f.testbed, 200);
	testbed_signal(f.gateways[0], SIGTERM);
	g_assert_true(testbed_wait_exit(f.gateways[0], 20000));
	g_assert_true(g_subprocess_get_successful(process));
	g_object_unref(process);
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-admission/priority-kept", test_priority_kept);
	g_test_add_func("/gateway-admission/takes-effect", test_takes_effect);
	g_test_add_func("/gateway-admission/waits", test_waits);
	g_test_add_func("/gateway-admission/stop", test_stop);
	return g_test_run();
}
