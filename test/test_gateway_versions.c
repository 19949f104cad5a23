/**
 * @file test_gateway_versions.c
 * Gateway programs and engines of several software versions: callers take up streams
 * that broke off, at other instances and after all of them were killed. A stream goes
 * on at the version that began it, or not at all.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define ANSWER_MS	 4000
#define SETTLE_MS	 3000 /* until instances agree on what the store says of the versions */
#define LIST_MS		 600  /* until the instances know an entry */
#define STORE_MS	 300  /* until what is written for a stream has reached the store */
#define ENGINE_PORT	 8700
#define ENGINE_HOST	 120
#define ENGINE_COUNT	 3
#define GATEWAY_COUNT	 2
#define STREAM_HEAD                                                                                \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"                                    \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"              \
	"Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENTS "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n"
#define LAST_EVENTS  "1e\r\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n\r\n0\r\n\r\n"

struct engine {
	struct raw_upstream *raw;
	char *id;
	char *ip;
	const char *version;
	uint32_t begun;	  /* streams, of which it sends the first events only */
	uint32_t resumed; /* streams that go on after an event; it sends their end */
	bool breaks;	  /* closes connections instead of beginning a stream */
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateways[GATEWAY_COUNT];
	struct engine engines[ENGINE_COUNT];
	uint32_t next_id;
};

/* engines */

static void engine_on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct engine *engine = ctx;
	bool resumes = strstr(raw_conn_request(conn), "\r\nLast-Event-Id: ") != NULL;
	g_autofree char *answer =
		g_strdup_printf(STREAM_HEAD "%s", id, resumes ? LAST_EVENTS : FIRST_EVENTS);

	if (engine->breaks) {
		raw_conn_close(conn);
		raw_conn_write(conn, "");
		return;
	}
	engine->begun += !resumes;
	engine->resumed += resumes;
	raw_conn_write(conn, answer);
}

/* Writes the entry of an engine. @param state NULL removes it */
static void list_engine(struct fixture *f, uint32_t number, const char *version, const char *state)
{
	struct engine *engine = &f->engines[number];
	g_autofree char *entry = NULL;

	engine->version = version;
	entry = g_strdup_printf("{\"service\":\"" TESTBED_ENGINE_SERVICE
				"\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"version\":\"%s\","
				"\"slots\":48,\"state\":\"%s\",\"cold_left_ms\":0,\"seq_no\":1,"
				"\"born\":%u}",
				engine->ip, ENGINE_PORT, version, state ? state : "", number + 1);
	mock_store_put(f->platform, "servers", engine->id, state ? entry : NULL);
}

/* fixture */

static void start_gateways(struct fixture *f)
{
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		testbed_start(f->gateways[i]);
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		g_assert_true(testbed_wait_ready(f->gateways[i], READY_TIMEOUT_MS));
}

/* Starts two gateways, which have run before or not, and an engine of version v1. */
static void fixture_open(struct fixture *f, bool first_start)
{
	static const char *const names[GATEWAY_COUNT] = { "gw-1", "gw-2" };

	*f = (struct fixture){ 0 };
	f->testbed = testbed_create(7);
	f->platform = testbed_platform(f->testbed);
	testbed_configure(f->testbed, NULL, NULL);
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		struct engine *engine = &f->engines[i];

		engine->id = g_strdup_printf("engine-%u", i);
		engine->ip = testbed_ip(f->testbed, ENGINE_HOST + i);
		engine->raw = raw_upstream_create(testbed_loop(f->testbed), engine->ip, ENGINE_PORT,
						  engine_on_request, engine);
	}
	list_engine(f, 0, "v1", "ready");
	testbed_set_first_start(f->testbed, first_start);
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		f->gateways[i] = testbed_gateway(f->testbed, names[i], NULL);
	start_gateways(f);
	testbed_run(f->testbed, SETTLE_MS);
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		raw_upstream_destroy(f->engines[i].raw);
		g_free(f->engines[i].id);
		g_free(f->engines[i].ip);
	}
	testbed_destroy(f->testbed);
}

/* Kills all gateways at once and starts them again. */
static void restart_gateways(struct fixture *f)
{
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		testbed_signal(f->gateways[i], SIGKILL);
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		g_assert_true(testbed_wait_exit(f->gateways[i], READY_TIMEOUT_MS));
	start_gateways(f);
}

/* Sends a request of the resumable route and reads until a text has come, the answer is whole, or
 * the connection ends. @param more header lines */
static struct raw_caller send_request(struct fixture *f, uint32_t gateway, const char *id,
				      const char *more, const char *until)
{
	struct raw_caller caller = raw_caller_connect(f->gateways[gateway]);
	g_autofree char *text = g_strdup_printf(
		"POST /quick/x HTTP/1.1\r\nHost: " TESTBED_HOST "\r\n"
		"X-Flamingolatch-Attempt-Id: %s\r\nAuthorization: Bearer " TESTBED_KEY "\r\n"
		"X-Flamingolatch-Model: m\r\nX-Flamingolatch-Token-Usage: 100,40\r\n"
		"X-Flamingolatch-Deadline-Ms: 6000\r\n%sContent-Length: 0\r\n\r\n",
		id, more);

	g_assert_true(raw_caller_send_text(&caller, text));
	for (uint32_t ms = 0; ms < ANSWER_MS; ms += 10) {
		testbed_run(f->testbed, 10);
		raw_caller_read(&caller, SIZE_MAX);
		if (strstr(caller.input->str, until) || caller.closed ||
		    raw_caller_is_whole(&caller))
			break;
	}
	return caller;
}

/* Sends a request anew while it is refused with an invitation to return. */
static struct raw_caller send_patiently(struct fixture *f, uint32_t gateway, const char *id,
					const char *more, const char *until)
{
	struct raw_caller caller = send_request(f, gateway, id, more, until);

	for (uint32_t i = 0; i < 8 && raw_caller_status(&caller) == 503 &&
			     strstr(caller.input->str, "Retry-After: ");
	     i++) {
		g_autofree char *again = g_strdup_printf("%s-%u", id, i);

		raw_caller_close(&caller);
		testbed_run(f->testbed, 500);
		caller = send_request(f, gateway, again, more, until);
	}
	return caller;
}

/* Begins a stream at a gateway. Its connection stays open. */
static struct raw_caller begin_stream(struct fixture *f, const char *id)
{
	struct raw_caller caller = send_request(f, 0, id, "", "id: 2");

	for (uint32_t i = 0; i < 8 && raw_caller_status(&caller) == 503; i++) {
		raw_caller_close(&caller);
		testbed_run(f->testbed, 500);
		caller = send_request(f, 0, id, "", "id: 2");
	}
	g_assert_cmpuint(raw_caller_status(&caller), ==, 200);
	g_assert_nonnull(strstr(caller.input->str, "id: 2"));
	testbed_run(f->testbed, STORE_MS);
	return caller;
}

/* Takes a stream up at the other gateway. @return whether it went on to its end */
static bool take_up(struct fixture *f, const char *resumes)
{
	g_autofree char *id = g_strdup_printf("again-%u", ++f->next_id);
	g_autofree char *line = resumes ? g_strdup_printf("Resumes: %s\r\n", resumes) : NULL;
	g_autofree char *more = g_strdup_printf("Last-Event-Id: 2\r\n%s", line ? line : "");
	struct raw_caller caller = send_patiently(f, 1, id, more, "id: 4");
	uint16_t status = raw_caller_status(&caller);
	bool whole = status == 200 && raw_caller_is_whole(&caller) &&
		     strstr(caller.input->str, "id: 4") != NULL;

	g_test_message("taken up as %s: status %u, whole %d", id, status, whole);
	g_assert_true(whole || status == 503);
	raw_caller_close(&caller);
	return whole;
}

static uint32_t resumed_at(const struct fixture *f, const char *version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		if (g_strcmp0(f->engines[i].version, version) == 0)
			count += f->engines[i].resumed;
	}
	return count;
}

/* scenarios */

/* The engines of the version that began a stream have left, and all instances were killed: the
 * stream does not go on at the version that replaced them. */
static void test_version_left(void)
{
	struct raw_caller caller;
	struct fixture f;

	fixture_open(&f, true);
	caller = begin_stream(&f, "first");
	list_engine(&f, 1, "v2", "ready");
	testbed_run(f.testbed, LIST_MS);
	list_engine(&f, 0, "v1", NULL);
	testbed_run(f.testbed, LIST_MS);
	restart_gateways(&f);
	g_assert_false(take_up(&f, "first"));
	g_assert_cmpuint(resumed_at(&f, "v2"), ==, 0);
	raw_caller_close(&caller);
	fixture_close(&f);
}

/* Two versions are in service. Each stream goes on at its own after all instances were killed. */
static void test_versions_side_by_side(void)
{
	static const char *const ids[] = { "first", "second" };
	static const char *const versions[] = { "v1", "v2" };

	for (uint32_t i = 0; i < 2; i++) {
		struct raw_caller caller;
		struct fixture f;

		fixture_open(&f, true);
		if (i == 1) {
			/* The stream begins at v2: v1 is away for a moment. */
			list_engine(&f, 1, "v2", "ready");
			testbed_run(f.testbed, LIST_MS);
			f.engines[0].breaks = true;
			list_engine(&f, 0, "v1", "draining");
			testbed_run(f.testbed, LIST_MS);
		}
		caller = begin_stream(&f, ids[i]);
		g_assert_cmpuint(f.engines[i].begun, >, 0);
		f.engines[0].breaks = false;
		list_engine(&f, 2, i ? "v1" : "v2", "ready");
		testbed_run(f.testbed, LIST_MS);
		restart_gateways(&f);
		g_assert_true(take_up(&f, ids[i]));
		g_assert_cmpuint(resumed_at(&f, versions[i]), ==, 1);
		g_assert_cmpuint(resumed_at(&f, versions[!i]), ==, 0);
		raw_caller_close(&caller);
		fixture_close(&f);
	}
}

/* While one version is in service, streams go on after all instances were killed. */
static void test_sole_version(void)
{
	struct raw_caller caller;
	struct fixture f;

	fixture_open(&f, true);
	caller = begin_stream(&f, "first");
	restart_gateways(&f);
	g_assert_true(take_up(&f, "first"));
	g_assert_cmpuint(resumed_at(&f, "v1"), ==, 1);
	raw_caller_close(&caller);
	fixture_close(&f);
}

/* A caller that does not say which stream it takes up, or names one that nobody knows, gets nothing
 * while several versions are in service. */
static void test_unknown_stream(void)
{
	struct fixture f;

	fixture_open(&f, false);
	list_engine(&f, 1, "v2", "ready");
	testbed_run(f.testbed, LIST_MS);
	g_assert_false(take_up(&f, NULL));
	g_assert_false(take_up(&f, "never-sent"));
	g_assert_cmpuint(resumed_at(&f, "v1") + resumed_at(&f, "v2"), ==, 0);
	fixture_close(&f);
}

/* What was to be written for a stream is lost with its instance, as the store does not answer: the
 * stream is not taken up at another version. */
static void test_record_lost(void)
{
	struct raw_caller caller;
	struct fixture f;

	fixture_open(&f, false);
	list_engine(&f, 1, "v2", "ready");
	testbed_run(f.testbed, LIST_MS);
	caller = begin_stream(&f, "kept");
	raw_caller_close(&caller);
	mock_store_set_mode(f.platform, MOCK_STORE_SILENT);
	caller = begin_stream(&f, "lost");
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		testbed_signal(f.gateways[i], SIGKILL);
	for (uint32_t i = 0; i < GATEWAY_COUNT; i++)
		g_assert_true(testbed_wait_exit(f.gateways[i], READY_TIMEOUT_MS));
	mock_store_set_mode(f.platform, MOCK_STORE_HEALTHY);
	start_gateways(&f);
	g_assert_false(take_up(&f, "lost"));
	g_assert_cmpuint(resumed_at(&f, "v1") + resumed_at(&f, "v2"), ==, 0);
	raw_caller_close(&caller);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-versions/version-left", test_version_left);
	g_test_add_func("/gateway-versions/side-by-side", test_versions_side_by_side);
	g_test_add_func("/gateway-versions/sole", test_sole_version);
	g_test_add_func("/gateway-versions/unknown-stream", test_unknown_stream);
	g_test_add_func("/gateway-versions/record-lost", test_record_lost);
	return g_test_run();
}
