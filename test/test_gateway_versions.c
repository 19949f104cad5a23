/**
 * @file test_gateway_versions.c
 * Gateway programs and engines of several software versions: callers take up streams
 * that broke off, at other instances and after all of them were killed. A stream goes
 * on at the version that began it, or not at all.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "soak/proxy.h"
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
#define ENGINE_COUNT	 4
#define GATEWAY_COUNT	 2 /* of most scenarios */
#define MAX_GATEWAYS	 3
#define STREAM_COUNT	 6 /* of an instance; an unbound one goes on at either version by chance */
#define PROXY_HOST	 110
#define STREAM_HEAD                                                                                \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"                                    \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"              \
	"Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENTS "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n"
#define LAST_EVENTS  "1e\r\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n\r\n0\r\n\r\n"
#define THIRD_EVENT  "f\r\nid: 3\ndata: c\n\n\r\n"
#define FOURTH_EVENT "f\r\nid: 4\ndata: d\n\n\r\n0\r\n\r\n"

struct engine {
	struct raw_upstream *raw;
	char *id;
	char *ip;
	const char *version;
	uint32_t begun;	   /* streams, of which it sends the first events only */
	uint32_t resumed;  /* streams that go on after an event; it sends their end */
	uint32_t taken_up; /* of these, at a request of a caller */
	bool breaks;	   /* closes connections instead of beginning a stream */
	bool pauses;	   /* a stream that goes on after its second event stops at the third */
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateways[MAX_GATEWAYS];
	uint32_t gateway_count; /* without those that a scenario adds */
	struct proxy *proxy;	/* between the second gateway and the store, or NULL */
	struct engine engines[ENGINE_COUNT];
	uint32_t next_id;
};

static const char *const stream_ids[STREAM_COUNT] = {
	"one", "two", "three", "four", "five", "six"
};

/* engines */

static void engine_on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct engine *engine = ctx;
	const char *request = raw_conn_request(conn);
	bool resumes = strstr(request, "\r\nLast-Event-Id: ") != NULL;
	const char *rest = strstr(request, "\r\nLast-Event-Id: 3") ? FOURTH_EVENT
			   : engine->pauses			   ? THIRD_EVENT
								   : LAST_EVENTS;
	g_autofree char *answer =
		g_strdup_printf(STREAM_HEAD "%s", id, resumes ? rest : FIRST_EVENTS);

	if (engine->breaks) {
		raw_conn_close(conn);
		raw_conn_write(conn, "");
		return;
	}
	engine->begun += !resumes;
	engine->resumed += resumes;
	engine->taken_up += resumes && g_str_has_prefix(id, "again-");
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
	for (uint32_t i = 0; i < f->gateway_count; i++)
		testbed_start(f->gateways[i]);
	for (uint32_t i = 0; i < f->gateway_count; i++)
		g_assert_true(testbed_wait_ready(f->gateways[i], READY_TIMEOUT_MS));
}

static const char *const gateway_names[MAX_GATEWAYS] = { "gw-1", "gw-2", "gw-3" };

/* Creates the testbed, and its engines without entries. */
static void fixture_create(struct fixture *f)
{
	*f = (struct fixture){ .gateway_count = GATEWAY_COUNT };
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
}

/* Starts two gateways, which have run before or not, and an engine of version v1. */
static void fixture_open(struct fixture *f, bool first_start)
{
	fixture_create(f);
	list_engine(f, 0, "v1", "ready");
	testbed_set_first_start(f->testbed, first_start);
	for (uint32_t i = 0; i < f->gateway_count; i++)
		f->gateways[i] = testbed_gateway(f->testbed, gateway_names[i], NULL);
	start_gateways(f);
	testbed_run(f->testbed, SETTLE_MS);
}

/* Has an instance rely on its keys for longer than a scenario lasts: it would refuse all requests
 * soon after it was cut off, and no stream could go on at another version. */
static void rely_on_keys(const struct testbed_gateway *gateway)
{
	g_autofree char *text = NULL;
	g_autofree char *bound = g_strdup_printf("revoke_ms: %d\n", TESTBED_REVOKE_MS);
	g_auto(GStrv) parts = NULL;
	g_autofree char *changed = NULL;

	g_assert_true(g_file_get_contents(gateway->settings_file, &text, NULL, NULL));
	parts = g_strsplit(text, bound, -1);
	g_assert_cmpuint(g_strv_length(parts), ==, 2);
	changed = g_strjoinv("revoke_ms: 60000\n", parts);
	g_assert_true(g_file_set_contents(gateway->settings_file, changed, -1, NULL));
}

/* Starts two gateways that have run before and that go on for a minute without the store, and an
 * engine of version v1. The second gateway reads the store through a proxy. The third is not
 * started. */
static void fixture_open_lagging(struct fixture *f)
{
	g_autofree char *ip = NULL;

	fixture_create(f);
	list_engine(f, 0, "v1", "ready");
	testbed_set_first_start(f->testbed, false);
	ip = testbed_ip(f->testbed, PROXY_HOST);
	f->proxy = proxy_create(testbed_loop(f->testbed), ip, mock_platform_address(f->platform));
	for (uint32_t i = 0; i < MAX_GATEWAYS; i++) {
		f->gateways[i] = testbed_gateway(f->testbed, gateway_names[i],
						 i == 1 ? proxy_address(f->proxy) : NULL);
		rely_on_keys(f->gateways[i]);
	}
	start_gateways(f);
	testbed_run(f->testbed, SETTLE_MS);
}

static void fixture_close(struct fixture *f)
{
	if (f->proxy)
		proxy_destroy(f->proxy);
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
	for (uint32_t i = 0; i < f->gateway_count; i++)
		testbed_signal(f->gateways[i], SIGKILL);
	for (uint32_t i = 0; i < f->gateway_count; i++)
		g_assert_true(testbed_wait_exit(f->gateways[i], READY_TIMEOUT_MS));
	start_gateways(f);
}

static void kill_gateway(struct fixture *f, uint32_t gateway)
{
	testbed_signal(f->gateways[gateway], SIGKILL);
	g_assert_true(testbed_wait_exit(f->gateways[gateway], READY_TIMEOUT_MS));
}

static void start_gateway(struct fixture *f, uint32_t gateway)
{
	testbed_start(f->gateways[gateway]);
	g_assert_true(testbed_wait_ready(f->gateways[gateway], READY_TIMEOUT_MS));
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
static struct raw_caller begin_stream_at(struct fixture *f, uint32_t gateway, const char *id)
{
	struct raw_caller caller = send_request(f, gateway, id, "", "id: 2");

	for (uint32_t i = 0; i < 8 && raw_caller_status(&caller) == 503; i++) {
		raw_caller_close(&caller);
		testbed_run(f->testbed, 500);
		caller = send_request(f, gateway, id, "", "id: 2");
	}
	g_assert_cmpuint(raw_caller_status(&caller), ==, 200);
	g_assert_nonnull(strstr(caller.input->str, "id: 2"));
	testbed_run(f->testbed, STORE_MS);
	return caller;
}

/* Begins a stream at the first gateway. */
static struct raw_caller begin_stream(struct fixture *f, const char *id)
{
	return begin_stream_at(f, 0, id);
}

/* Takes a stream up at a gateway. @return whether it went on to its end */
static bool take_up_at(struct fixture *f, uint32_t gateway, const char *resumes)
{
	g_autofree char *id = g_strdup_printf("again-%u", ++f->next_id);
	g_autofree char *line = resumes ? g_strdup_printf("Resumes: %s\r\n", resumes) : NULL;
	g_autofree char *more = g_strdup_printf("Last-Event-Id: 2\r\n%s", line ? line : "");
	struct raw_caller caller = send_patiently(f, gateway, id, more, "id: 4");
	uint16_t status = raw_caller_status(&caller);
	bool whole = status == 200 && raw_caller_is_whole(&caller) &&
		     strstr(caller.input->str, "id: 4") != NULL;

	g_test_message("taken up as %s: status %u, whole %d", id, status, whole);
	g_assert_true(whole || status == 503);
	raw_caller_close(&caller);
	return whole;
}

/* Takes a stream up at the second gateway. */
static bool take_up(struct fixture *f, const char *resumes)
{
	return take_up_at(f, 1, resumes);
}

/* Lists an engine of version v2, begins streams at a gateway, which all begin there since v1 closes
 * connections meanwhile, and lists a second engine of each version. */
static void begin_streams_at_v2(struct fixture *f, uint32_t gateway, struct raw_caller *callers)
{
	list_engine(f, 1, "v2", "ready");
	testbed_run(f->testbed, LIST_MS);
	f->engines[0].breaks = true;
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = begin_stream_at(f, gateway, stream_ids[i]);
	g_assert_cmpuint(f->engines[1].begun, >=, STREAM_COUNT);
	g_assert_cmpuint(f->engines[0].begun, ==, 0);
	f->engines[0].breaks = false;
	list_engine(f, 2, "v1", "ready");
	list_engine(f, 3, "v2", "ready");
	testbed_run(f->testbed, LIST_MS);
}

static void close_callers(struct raw_caller *callers)
{
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		raw_caller_close(&callers[i]);
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

/* Sends a request that takes the first stream up, without waiting for an answer. */
static struct raw_caller ask_frozen(struct fixture *f, uint32_t gateway)
{
	static const char text[] =
		"POST /quick/x HTTP/1.1\r\nHost: " TESTBED_HOST "\r\n"
		"X-Flamingolatch-Attempt-Id: waiting\r\nAuthorization: Bearer " TESTBED_KEY "\r\n"
		"X-Flamingolatch-Model: m\r\nX-Flamingolatch-Token-Usage: 100,40\r\n"
		"X-Flamingolatch-Deadline-Ms: 6000\r\nLast-Event-Id: 2\r\nResumes: one\r\n"
		"Content-Length: 0\r\n\r\n";
	struct raw_caller caller = raw_caller_connect(f->gateways[gateway]);

	g_assert_true(raw_caller_send_text(&caller, text));
	return caller;
}

/* An instance stands still while engines of a new version join, streams begin there through the
 * other instance, and that one is killed. A request that waits when the instance goes on, and those
 * that follow, do not have the streams go on at the old version. */
static void test_frozen(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct raw_caller waiting;
	struct fixture f;

	fixture_open_lagging(&f);
	testbed_signal(f.gateways[1], SIGSTOP);
	begin_streams_at_v2(&f, 0, callers);
	kill_gateway(&f, 0);
	waiting = ask_frozen(&f, 1);
	testbed_signal(f.gateways[1], SIGCONT);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		take_up(&f, stream_ids[i]);
	g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
	raw_caller_close(&waiting);
	close_callers(callers);
	fixture_close(&f);
}

/* The only instance that learns of a new version cannot write to the store from then on, and is
 * killed. If streams began there through it, the other one, which stood still, does not have them
 * go on at the old version. */
static void test_frozen_no_writes(void)
{
	struct raw_caller caller;
	struct raw_caller waiting;
	struct fixture f;

	fixture_open_lagging(&f);
	testbed_signal(f.gateways[0], SIGSTOP);
	/* until the other one watches the store itself */
	testbed_run(f.testbed, SETTLE_MS);
	proxy_set_mode(f.proxy, PROXY_ANSWERS_ONLY, 0);
	list_engine(&f, 1, "v2", "ready");
	testbed_run(f.testbed, LIST_MS);
	f.engines[0].breaks = true;
	caller = send_request(&f, 1, "one", "", "id: 2");
	for (uint32_t i = 0; i < 12 && raw_caller_status(&caller) != 200; i++) {
		raw_caller_close(&caller);
		testbed_run(f.testbed, 500);
		caller = send_request(&f, 1, "one", "", "id: 2");
	}
	g_test_message("begun at v2: %u", f.engines[1].begun);
	g_assert_cmpuint(f.engines[0].begun, ==, 0);
	f.engines[0].breaks = false;
	kill_gateway(&f, 1);
	proxy_set_mode(f.proxy, PROXY_RESET, 0);
	waiting = ask_frozen(&f, 0);
	testbed_signal(f.gateways[0], SIGCONT);
	take_up_at(&f, 0, "one");
	if (f.engines[1].begun > 0)
		g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
	raw_caller_close(&waiting);
	raw_caller_close(&caller);
	fixture_close(&f);
}

/* Cuts the second gateway off from the store and from all other instances: the first is killed, and
 * the third, which starts now, finds no row of it. */
static void cut_off(struct fixture *f)
{
	proxy_set_mode(f->proxy, PROXY_SILENT, 0);
	kill_gateway(f, 0);
	mock_store_put(f->platform, "flamingolatch", "gw-2", NULL);
	mock_store_put(f->platform, "flamingolatch", "gw-1", NULL);
	start_gateway(f, 2);
}

/* An instance is cut off while engines of a new version join, and streams begin there through
 * another instance, which is killed. They do not go on at the old version, and go on at their own
 * when the store is back. */
static void play_cut_off(bool back)
{
	struct raw_caller callers[STREAM_COUNT];
	uint32_t resumed;
	struct fixture f;

	fixture_open_lagging(&f);
	cut_off(&f);
	begin_streams_at_v2(&f, 2, callers);
	kill_gateway(&f, 2);
	if (back)
		proxy_set_mode(f.proxy, PROXY_PASS, 0);
	/* The instance that was killed may have resumed streams that stalled. */
	resumed = resumed_at(&f, "v2");
	for (uint32_t i = 0; i < STREAM_COUNT; i++) {
		bool whole = take_up(&f, stream_ids[i]);

		g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
		g_assert_true(whole == back);
	}
	g_assert_cmpuint(resumed_at(&f, "v2") - resumed, ==, back ? STREAM_COUNT : 0);
	close_callers(callers);
	fixture_close(&f);
}

static void test_cut_off_back(void)
{
	play_cut_off(true);
}

static void test_cut_off_silent(void)
{
	play_cut_off(false);
}

/* An instance that is cut off begins streams at the only version that it knows, while engines of a
 * new version join, and is killed. Another instance does not have them go on at the new version,
 * also when the old one has left. */
static void test_lagging_begin(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open_lagging(&f);
	cut_off(&f);
	list_engine(&f, 1, "v2", "ready");
	list_engine(&f, 2, "v2", "ready");
	testbed_run(f.testbed, LIST_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = begin_stream_at(&f, 1, stream_ids[i]);
	g_assert_cmpuint(f.engines[0].begun, >=, STREAM_COUNT);
	kill_gateway(&f, 1);
	for (uint32_t i = 0; i < STREAM_COUNT; i++) {
		if (i == STREAM_COUNT / 2) {
			list_engine(&f, 0, "v1", NULL);
			testbed_run(f.testbed, LIST_MS);
		}
		take_up_at(&f, 2, stream_ids[i]);
		g_assert_cmpuint(resumed_at(&f, "v2"), ==, 0);
	}
	close_callers(callers);
	fixture_close(&f);
}

/* Lists two engines of each version, where the first stream begins at one of them.
 * @param newer it begins at v2, since v1 is away for a moment */
static struct raw_caller begin_beside(struct fixture *f, bool newer)
{
	struct raw_caller caller;

	list_engine(f, 1, newer ? "v2" : "v1", "ready");
	testbed_run(f->testbed, LIST_MS);
	f->engines[0].breaks = newer;
	caller = begin_stream(f, "first");
	g_assert_cmpuint(f->engines[0].begun + f->engines[1].begun, ==, 1);
	f->engines[0].breaks = false;
	list_engine(f, 2, newer ? "v1" : "v2", "ready");
	list_engine(f, 3, "v2", "ready");
	testbed_run(f->testbed, LIST_MS);
	return caller;
}

/* Takes a stream up at a gateway, and reads until an event has come. */
static struct raw_caller go_on(struct fixture *f, uint32_t gateway, const char *id,
			       const char *more, const char *event)
{
	struct raw_caller caller = send_patiently(f, gateway, id, more, event);

	g_assert_cmpuint(raw_caller_status(&caller), ==, 200);
	g_assert_nonnull(strstr(caller.input->str, event));
	testbed_run(f->testbed, STORE_MS);
	return caller;
}

/* A stream is taken up twice, each time at another instance after the one before was killed. The
 * caller names the request that brought the first event. It goes on at its version both times. */
static void test_chain(void)
{
	static const char *const versions[] = { "v1", "v2" };

	for (uint32_t v = 0; v < 2; v++) {
		struct raw_caller callers[3];
		uint32_t resumed;
		struct fixture f;

		fixture_open_lagging(&f);
		start_gateway(&f, 2);
		callers[0] = begin_beside(&f, v == 1);
		for (uint32_t i = 0; i < ENGINE_COUNT; i++)
			f.engines[i].pauses = true;
		kill_gateway(&f, 0);
		resumed = resumed_at(&f, versions[v]);
		callers[1] =
			go_on(&f, 1, "second", "Last-Event-Id: 2\r\nResumes: first\r\n", "id: 3");
		g_assert_cmpuint(resumed_at(&f, versions[v]), >, resumed);
		g_assert_cmpuint(resumed_at(&f, versions[!v]), ==, 0);
		kill_gateway(&f, 1);
		resumed = resumed_at(&f, versions[v]);
		callers[2] =
			go_on(&f, 2, "third", "Last-Event-Id: 3\r\nResumes: first\r\n", "id: 4");
		g_assert_cmpuint(resumed_at(&f, versions[v]), >, resumed);
		g_assert_cmpuint(resumed_at(&f, versions[!v]), ==, 0);
		for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++)
			raw_caller_close(&callers[i]);
		fixture_close(&f);
	}
}

/* Streams began at a version that joined, and its engines leave while no instance runs. The streams
 * do not go on at the version that is left. */
static void test_new_version_gone(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open(&f, false);
	begin_streams_at_v2(&f, 0, callers);
	for (uint32_t i = 0; i < f.gateway_count; i++)
		kill_gateway(&f, i);
	list_engine(&f, 1, "v2", NULL);
	list_engine(&f, 3, "v2", NULL);
	start_gateways(&f);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		g_assert_false(take_up(&f, stream_ids[i]));
	g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

/* Replaces the configuration: the resumable route has other services.
 * @param target members of the route that name its services
 * @param more further services, each after a comma */
static void configure_quick(struct fixture *f, const char *target, const char *more)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":[{\"name\":\"quick\",\"host\":\"" TESTBED_HOST
		"\",\"prefix\":\"/quick/\",\"route_kind\":\"streaming\",\"timeout_ms\":6000,"
		"\"slo_ms\":1500,\"priority\":0,%s,\"max_attempts\":2,\"resumable\":true,"
		"\"target_gap_ms\":180}],\"services\":[{\"name\":\"" TESTBED_ENGINE_SERVICE
		"\",\"health_path\":\"/healthz\",\"engine\":{\"slots\":48,\"kv_capacity\":34403,"
		"\"kv_bytes\":163840,\"link_mbps\":24000,\"moves\":true,\"backups\":true,"
		"\"stride\":4,\"kv_handle_s\":5}}%s],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"" TESTBED_KEY "\"]}]}",
		100 + ++f->next_id, target, more);

	mock_store_put(f->platform, "op", "config", text);
	testbed_run(f->testbed, LIST_MS);
}

/* Writes the entry of an upstream of another service. */
static void list_at(struct fixture *f, uint32_t number, const char *service, const char *version)
{
	struct engine *engine = &f->engines[number];
	g_autofree char *entry = NULL;

	engine->version = version;
	entry = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\","
				"\"version\":\"%s\",\"slots\":48,\"state\":\"ready\","
				"\"cold_left_ms\":0,\"seq_no\":1,\"born\":%u}",
				service, engine->ip, ENGINE_PORT, version, number + 1);
	mock_store_put(f->platform, "servers", engine->id, entry);
}

#define OTHER_ENGINES                                                                              \
	",{\"name\":\"others\",\"health_path\":\"/healthz\",\"engine\":{\"slots\":48,"             \
	"\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000,\"moves\":true,"            \
	"\"backups\":true,\"stride\":4,\"kv_handle_s\":5}}"

/* A streaming route has a service whose upstreams are not engines, in two versions. Streams that
 * began at one are not taken up at the other. */
static void test_plain_service(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open(&f, false);
	configure_quick(&f, "\"service\":\"plain\"",
			",{\"name\":\"plain\",\"health_path\":\"/healthz\"}");
	list_at(&f, 1, "plain", "v1");
	testbed_run(f.testbed, LIST_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = begin_stream(&f, stream_ids[i]);
	list_at(&f, 2, "plain", "v2");
	testbed_run(f.testbed, SETTLE_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		take_up(&f, stream_ids[i]);
	g_test_message("resumed at v1 %u, at v2 %u", resumed_at(&f, "v1"), resumed_at(&f, "v2"));
	g_assert_cmpuint(resumed_at(&f, "v2"), ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

/* As above, within the instance that began the streams. */
static void test_plain_service_own(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open(&f, false);
	configure_quick(&f, "\"service\":\"plain\"",
			",{\"name\":\"plain\",\"health_path\":\"/healthz\"}");
	list_at(&f, 1, "plain", "v1");
	testbed_run(f.testbed, LIST_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = begin_stream(&f, stream_ids[i]);
	list_at(&f, 2, "plain", "v2");
	testbed_run(f.testbed, SETTLE_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		take_up_at(&f, 0, stream_ids[i]);
	g_test_message("resumed at v1 %u, at v2 %u", resumed_at(&f, "v1"), resumed_at(&f, "v2"));
	g_assert_cmpuint(resumed_at(&f, "v2"), ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

#define SPLIT_EVENLY                                                                               \
	"\"split\":[{\"service\":\"" TESTBED_ENGINE_SERVICE                                        \
	"\",\"weight\":50},{\"service\":\"others\",\"weight\":50}]"

/* Two services of engines have two versions each. Half or more of the streams that are taken up go
 * on at the first request, as all new streams begin.
 * @param begin members of the route that name its services while the streams begin
 * @param resume the same when they are taken up; NULL: they stay */
static void play_split(const char *begin, const char *resume)
{
	struct raw_caller callers[2 * STREAM_COUNT];
	uint32_t whole = 0;
	struct fixture f;

	fixture_open(&f, false);
	configure_quick(&f, begin, OTHER_ENGINES);
	list_engine(&f, 1, "v2", "ready");
	list_at(&f, 2, "others", "v1");
	list_at(&f, 3, "others", "v2");
	testbed_run(f.testbed, SETTLE_MS);
	for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		g_autofree char *id = g_strdup_printf("split-%u", i);

		callers[i] = send_request(&f, 0, id, "", "id: 2");
		g_assert_nonnull(strstr(callers[i].input->str, "id: 2"));
	}
	testbed_run(f.testbed, STORE_MS);
	if (resume)
		configure_quick(&f, resume, OTHER_ENGINES);
	kill_gateway(&f, 0);
	for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		g_autofree char *id = g_strdup_printf("again-%u", i);
		g_autofree char *more =
			g_strdup_printf("Last-Event-Id: 2\r\nResumes: split-%u\r\n", i);
		struct raw_caller caller = send_request(&f, 1, id, more, "id: 4");

		whole += raw_caller_status(&caller) == 200;
		raw_caller_close(&caller);
	}
	g_test_message("%u of %u streams went on at the first request", whole,
		       (uint32_t)G_N_ELEMENTS(callers));
	g_assert_cmpuint(whole * 2, >=, G_N_ELEMENTS(callers));
	for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++)
		raw_caller_close(&callers[i]);
	fixture_close(&f);
}

static void test_split_none(void)
{
	play_split("\"service\":\"others\"", NULL);
}

static void test_split_half(void)
{
	play_split(SPLIT_EVENLY, NULL);
}

/* The streams began before most of the traffic was moved to the other service. */
static void test_split_shifted(void)
{
	play_split("\"service\":\"" TESTBED_ENGINE_SERVICE "\"",
		   "\"split\":[{\"service\":\"" TESTBED_ENGINE_SERVICE
		   "\",\"weight\":10},{\"service\":\"others\",\"weight\":90}]");
}

/* A route is split between two services with one version each. A stream that began at one does not
 * go on at the other. */
static void test_split_joined(void)
{
	struct raw_caller callers[STREAM_COUNT];
	uint32_t joined = 0;
	struct fixture f;

	fixture_open(&f, false);
	configure_quick(&f, SPLIT_EVENLY, OTHER_ENGINES);
	list_at(&f, 2, "others", "v2");
	testbed_run(f.testbed, SETTLE_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++) {
		uint32_t begun = f.engines[0].begun;
		uint32_t taken_up[2] = { f.engines[0].taken_up, f.engines[2].taken_up };

		callers[i] = begin_stream(&f, stream_ids[i]);
		take_up(&f, stream_ids[i]);
		joined += f.engines[0].begun > begun ? f.engines[2].taken_up > taken_up[1]
						     : f.engines[0].taken_up > taken_up[0];
	}
	g_test_message("%u of %u streams went on at the other service", joined, STREAM_COUNT);
	g_assert_cmpuint(joined, ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

/* The route of a stream moves to another service between its begin and its resumption: it does not
 * go on there at another version. */
static void test_route_moved(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open(&f, false);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = begin_stream(&f, stream_ids[i]);
	configure_quick(&f, "\"service\":\"others\"", OTHER_ENGINES);
	list_at(&f, 2, "others", "v2");
	testbed_run(f.testbed, SETTLE_MS);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		take_up(&f, stream_ids[i]);
	g_assert_cmpuint(resumed_at(&f, "v2"), ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

/* The store answers after a time that its adapter allows for. A stream of the only version is
 * taken up, as a new one begins. */
static void play_slow_store(uint32_t delay_ms)
{
	struct raw_caller caller;
	struct raw_caller begun;
	bool whole;
	struct fixture f;

	fixture_open_lagging(&f);
	caller = begin_stream(&f, "first");
	mock_store_set_delay(f.platform, delay_ms);
	testbed_run(f.testbed, SETTLE_MS);
	begun = begin_stream_at(&f, 1, "beside");
	whole = take_up(&f, "first");
	mock_store_set_delay(f.platform, 0);
	g_assert_true(whole);
	raw_caller_close(&begun);
	raw_caller_close(&caller);
	fixture_close(&f);
}

static void test_slow_400(void)
{
	play_slow_store(400);
}

static void test_slow_700(void)
{
	play_slow_store(700);
}

/* The store is restored from a copy without a version that joined, while an instance is cut off.
 * Its first read after it is back is of a later era than its last: it proves nothing. */
static void test_restored_era(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open_lagging(&f);
	mock_store_backup(f.platform);
	cut_off(&f);
	begin_streams_at_v2(&f, 2, callers);
	kill_gateway(&f, 2);
	mock_store_restore(f.platform);
	proxy_set_mode(f.proxy, PROXY_PASS, 0);
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		take_up(&f, stream_ids[i]);
	g_test_message("resumed at v1 %u", resumed_at(&f, "v1"));
	g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
	close_callers(callers);
	fixture_close(&f);
}

/* The store goes away when a version joins, before an instance can register it. The store comes
 * back, where its upstreams are still listed, and an instance whose list lags takes up the streams
 * that have begun: they do not go on at the old version. */
static void test_unregistered_lagging(void)
{
	struct raw_caller callers[STREAM_COUNT];
	struct fixture f;

	fixture_open_lagging(&f);
	cut_off(&f);
	proxy_set_mode(f.proxy, PROXY_RESET, 0);
	testbed_run(f.testbed, LIST_MS);
	list_engine(&f, 1, "v2", "ready");
	mock_store_set_mode(f.platform, MOCK_STORE_BUSY);
	testbed_run(f.testbed, 4000);
	f.engines[0].breaks = true;
	for (uint32_t i = 0; i < STREAM_COUNT; i++)
		callers[i] = send_request(&f, 2, stream_ids[i], "", "id: 2");
	f.engines[0].breaks = false;
	kill_gateway(&f, 2);
	mock_store_set_mode(f.platform, MOCK_STORE_HEALTHY);
	proxy_set_mode(f.proxy, PROXY_PASS, 0);
	/* Streams may be refused while their version is not registered. */
	for (uint32_t i = 0; i < STREAM_COUNT; i++) {
		if (strstr(callers[i].input->str, "id: 2"))
			take_up(&f, stream_ids[i]);
		else
			g_assert_cmpuint(raw_caller_status(&callers[i]), !=, 200);
	}
	g_test_message("resumed at v1 %u", resumed_at(&f, "v1"));
	g_assert_cmpuint(resumed_at(&f, "v1"), ==, 0);
	close_callers(callers);
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
	g_test_add_func("/gateway-versions/frozen", test_frozen);
	g_test_add_func("/gateway-versions/frozen-no-writes", test_frozen_no_writes);
	g_test_add_func("/gateway-versions/cut-off-back", test_cut_off_back);
	g_test_add_func("/gateway-versions/cut-off-silent", test_cut_off_silent);
	g_test_add_func("/gateway-versions/lagging-begin", test_lagging_begin);
	g_test_add_func("/gateway-versions/chain", test_chain);
	g_test_add_func("/gateway-versions/new-version-gone", test_new_version_gone);
	g_test_add_func("/gateway-versions/plain-service", test_plain_service);
	g_test_add_func("/gateway-versions/plain-service-own", test_plain_service_own);
	g_test_add_func("/gateway-versions/split-none", test_split_none);
	g_test_add_func("/gateway-versions/split-shifted", test_split_shifted);
	g_test_add_func("/gateway-versions/split-half", test_split_half);
	g_test_add_func("/gateway-versions/split-joined", test_split_joined);
	g_test_add_func("/gateway-versions/route-moved", test_route_moved);
	g_test_add_func("/gateway-versions/slow-400", test_slow_400);
	g_test_add_func("/gateway-versions/slow-700", test_slow_700);
	g_test_add_func("/gateway-versions/restored-era", test_restored_era);
	g_test_add_func("/gateway-versions/unregistered-lagging", test_unregistered_lagging);
	return g_test_run();
}
