/**
 * @file test_gateway_path.c
 * Gateway programs of which one or several have no path to any upstream, while
 * another has: callers of all of them are served.
 *
 * The cut gateways read the instance list from a store of their own, in which each
 * upstream has the address of a proxy in front of it.
 */
#include "raw_caller.h"
#include "soak/proxy.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define UPSTREAM_COUNT	 6 /* three of each service */
#define CUT_COUNT	 3
#define OTHER_STORE_HOST 2
#define MEET_MS		 2500 /* until the instances know one another */
/* From then on the callers of a cut instance are to be served (bounds.contact_ms). */
#define CONTACT_MS    4000
#define RETURN_MS     2500 /* until an instance uses a path that is back */
#define CALL_COUNT    12
#define TOKENS	      40
#define WAIT_MS	      1400 /* deadline of calls */
#define STREAM_WAIT   4000
#define BETWEEN_MS    60
#define SERVED_IN_ALL 0.9

/** How the path is lost. */
enum cut {
	CUT_RESET,
	CUT_SILENT,
	CUT_REFUSE_NEW,
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *other; /* store of the cut gateways */
	struct mock_upstream *upstreams[UPSTREAM_COUNT];
	struct proxy *proxies[UPSTREAM_COUNT];
	struct testbed_gateway *sound;
	struct testbed_gateway *cut[CUT_COUNT];
	uint32_t cut_count;
};

static const struct testbed_request safe = {
	.path = "/safe/", .key = TESTBED_KEY, .wait_ms = WAIT_MS, .reuse_connection = true
};
static const struct testbed_request once = { .path = "/once/",
					     .key = TESTBED_KEY,
					     .wait_ms = WAIT_MS };
static const struct testbed_request stream = {
	.path = "/long/", .key = TESTBED_KEY, .output_tokens = TOKENS, .wait_ms = STREAM_WAIT
};

/* fixture */

/* Copies the entry of an upstream to the other store, with the address of its proxy. */
static void list_behind_proxy(struct fixture *f, uint32_t number, const char *id)
{
	const char *entry = mock_store_text(testbed_platform(f->testbed), "servers", id);
	g_auto(GStrv) parts = g_strsplit(entry, mock_upstream_address(f->upstreams[number]), 2);
	g_autofree char *text = g_strjoinv(proxy_address(f->proxies[number]), parts);

	mock_store_put(f->other, "servers", id, text);
}

static void add_upstreams(struct fixture *f)
{
	g_autofree char *ip = testbed_ip(f->testbed, OTHER_STORE_HOST);

	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		g_autofree char *id = g_strdup_printf("upstream-%u", i);

		f->upstreams[i] = testbed_upstream(f->testbed, id, i % 2 == 0, i);
		mock_upstream_list(f->upstreams[i]);
		f->proxies[i] = proxy_create(testbed_loop(f->testbed), ip,
					     mock_upstream_address(f->upstreams[i]));
		list_behind_proxy(f, i, id);
	}
}

/* Copies the row of an instance from one store to the other. */
static void introduce(struct mock_platform *from, struct mock_platform *to, const char *name)
{
	const char *row = mock_store_text(from, "flamingolatch", name);

	g_assert_nonnull(row);
	mock_store_put(to, "flamingolatch", name, row);
}

/* Starts a gateway that keeps its path, and others that will lose it, in another region, so that
 * none reads the store for one of the others. */
static void fixture_open(struct fixture *f, uint32_t cut_count)
{
	g_autofree char *ip = NULL;

	*f = (struct fixture){ .testbed = testbed_create(57), .cut_count = cut_count };
	ip = testbed_ip(f->testbed, OTHER_STORE_HOST);
	f->other = mock_platform_create(testbed_loop(f->testbed), ip, 0, 58);
	testbed_configure(f->testbed, NULL, NULL);
	mock_store_put(f->other, "op", "config",
		       mock_store_text(testbed_platform(f->testbed), "op", "config"));
	add_upstreams(f);
	f->sound = testbed_gateway(f->testbed, "gw-sound", NULL);
	testbed_start(f->sound);
	g_assert_true(testbed_wait_ready(f->sound, READY_TIMEOUT_MS));
	testbed_run(f->testbed, MEET_MS);
	introduce(testbed_platform(f->testbed), f->other, "gw-sound");
	for (uint32_t i = 0; i < cut_count; i++) {
		g_autofree char *name = g_strdup_printf("gw-cut-%u", i);

		f->cut[i] = testbed_gateway_in_zone(f->testbed, name, "z3",
						    mock_platform_address(f->other));
		testbed_start(f->cut[i]);
	}
	for (uint32_t i = 0; i < cut_count; i++)
		g_assert_true(testbed_wait_ready(f->cut[i], READY_TIMEOUT_MS));
	testbed_run(f->testbed, MEET_MS);
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++)
		proxy_destroy(f->proxies[i]);
	mock_platform_destroy(f->other);
	testbed_destroy(f->testbed);
}

static void set_cut(struct fixture *f, enum cut cut, bool on)
{
	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		if (cut != CUT_SILENT)
			proxy_set_refuse_new(f->proxies[i], on);
		if (cut != CUT_REFUSE_NEW)
			proxy_set_mode(f->proxies[i],
				       !on		  ? PROXY_PASS
				       : cut == CUT_RESET ? PROXY_RESET
							  : PROXY_SILENT,
				       0);
	}
}

/* Sends a request. Whatever became of it, it ran at most as often as its answer allows.
 * @return whether it was served */
static bool ask(struct fixture *f, struct testbed_gateway *gateway,
		const struct testbed_request *request)
{
	struct testbed_answer answer = testbed_call(gateway, request);
	struct mock_request_record record =
		mock_request_record(testbed_platform(f->testbed), answer.id);
	bool served = answer.status == 200 && !answer.broken;

	if (request == &stream)
		served = served && testbed_is_complete(&answer, TOKENS);
	g_test_message("%s at %s: status %u, broken %d, executions %u, %" G_GUINT64_FORMAT " ms",
		       request->path, gateway->name, answer.status, answer.broken,
		       record.executions, answer.ended_ms - answer.sent_ms);
	for (uint32_t i = 0; !served && i <= f->cut_count; i++) {
		struct testbed_gateway *from = i < f->cut_count ? f->cut[i] : f->sound;
		g_autofree char *lines = testbed_log_lines(from, answer.id);

		g_test_message("%s", lines);
	}
	if (request != &safe)
		g_assert_cmpuint(record.executions, <=, 1);
	if (answer.status == 503 || answer.status == 429)
		g_assert_cmpuint(record.executions, ==, 0);
	if (served)
		g_assert_cmpuint(record.executions, >=, 1);
	g_assert_false(record.key_forwarded);
	testbed_answer_clear(&answer);
	return served;
}

/* Asks all cut gateways for some time, in which they may find out. */
static void ask_for(struct fixture *f, uint32_t ms)
{
	uint64_t until_us = (uint64_t)g_get_monotonic_time() + ms * 1000ULL;

	for (uint32_t i = 0; (uint64_t)g_get_monotonic_time() < until_us; i++) {
		ask(f, f->cut[i % f->cut_count], &safe);
		testbed_run(f->testbed, BETWEEN_MS);
	}
}

/* Asks the cut gateways in turn for each kind of request. */
static void check_served(struct fixture *f)
{
	static const struct testbed_request *const requests[] = { &safe, &once, &stream };

	for (uint32_t kind = 0; kind < G_N_ELEMENTS(requests); kind++) {
		uint32_t served = 0;

		for (uint32_t i = 0; i < CALL_COUNT; i++) {
			served += ask(f, f->cut[i % f->cut_count], requests[kind]);
			testbed_run(f->testbed, BETWEEN_MS);
		}
		for (uint32_t i = 0; served < CALL_COUNT && i < f->cut_count; i++) {
			g_autofree char *lines = testbed_log_lines(f->cut[i], "\"path-");

			g_test_message("%s", lines);
		}
		g_test_message("%s: %u of %u served", requests[kind]->path, served, CALL_COUNT);
		g_assert_cmpfloat(served, >=, SERVED_IN_ALL * CALL_COUNT);
	}
}

static void play(enum cut cut, uint32_t cut_count)
{
	struct fixture f;

	fixture_open(&f, cut_count);
	check_served(&f);
	set_cut(&f, cut, true);
	ask_for(&f, CONTACT_MS);
	check_served(&f);
	set_cut(&f, cut, false);
	ask_for(&f, RETURN_MS);
	/* Without the others it serves by its own path again. */
	testbed_signal(f.sound, SIGKILL);
	g_assert_true(testbed_wait_exit(f.sound, READY_TIMEOUT_MS));
	check_served(&f);
	fixture_close(&f);
}

/* scenarios */

static void test_reset(void)
{
	play(CUT_RESET, 1);
}

static void test_silent(void)
{
	play(CUT_SILENT, 1);
}

static void test_refuse_new(void)
{
	play(CUT_REFUSE_NEW, 1);
}

/* All instances of a zone are cut off; one elsewhere is not. */
static void test_cut_peers(void)
{
	play(CUT_RESET, CUT_COUNT);
}

/* Cuts off the only gateway that is asked, and waits until it passes requests on. */
static void open_cut(struct fixture *f)
{
	fixture_open(f, 1);
	set_cut(f, CUT_RESET, true);
	ask_for(f, CONTACT_MS);
	g_assert_true(ask(f, f->cut[0], &once));
}

static void set_work(struct fixture *f, bool engine, uint32_t work_ms)
{
	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		if ((i % 2 == 0) == engine)
			mock_upstream_configure(f->upstreams[i],
						&(struct mock_upstream_conf){ .engine = engine,
									      .work_ms = work_ms,
									      .pace_ms = 20 });
	}
}

static uint32_t open_at_upstreams(const struct fixture *f)
{
	uint32_t open = 0;

	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++)
		open += mock_upstream_open_count(f->upstreams[i]);
	return open;
}

/* An instance dies with a call that another passed on to it: the call may have run. */
static void test_peer_dies(void)
{
	struct testbed_answer answer;
	struct fixture f;

	open_cut(&f);
	set_work(&f, false, 800);
	testbed_begin(f.cut[0], &once, &answer);
	testbed_run(f.testbed, 300);
	g_assert_cmpuint(open_at_upstreams(&f), ==, 1);
	testbed_signal(f.sound, SIGKILL);
	g_assert_true(testbed_wait(f.testbed, &answer, 2 * WAIT_MS));
	g_test_message("status %u", answer.status);
	g_assert_true(answer.status == 502 || answer.status == 504);
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* A stream whose peer dies in the middle does not look complete. */
static void test_peer_dies_in_stream(void)
{
	struct testbed_request slow = stream;
	struct testbed_answer answer;
	struct fixture f;

	slow.output_tokens = 400;
	open_cut(&f);
	set_work(&f, true, 20);
	testbed_begin(f.cut[0], &slow, &answer);
	testbed_run(f.testbed, 500);
	g_assert_cmpuint(answer.body->len, >, 0);
	testbed_signal(f.sound, SIGKILL);
	g_assert_true(testbed_wait(f.testbed, &answer, STREAM_WAIT));
	g_assert_true(answer.broken);
	g_assert_true(testbed_is_prefix(&answer, slow.output_tokens));
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* A caller that leaves ends the work on a stream that was passed on. */
static void test_caller_leaves(void)
{
	struct testbed_request slow = stream;
	struct testbed_answer answer;
	struct testbed_call *call;
	struct fixture f;

	slow.output_tokens = 400;
	open_cut(&f);
	set_work(&f, true, 20);
	call = testbed_begin(f.cut[0], &slow, &answer);
	testbed_run(f.testbed, 400);
	g_assert_cmpuint(open_at_upstreams(&f), ==, 1);
	testbed_disconnect(call);
	testbed_run(f.testbed, 300);
	g_assert_cmpuint(open_at_upstreams(&f), ==, 0);
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* A caller that sends the mark itself is not passed on, and is served by an instance with a path.
 */
static void test_forged_mark(void)
{
	static const char head[] =
		"GET /safe/x HTTP/1.1\r\nHost: " TESTBED_HOST
		"\r\nAuthorization: Bearer " TESTBED_KEY "\r\nX-Flamingolatch-Attempt-Id: f%u\r\n"
		"X-Flamingolatch-Passed-On: 0\r\n\r\n";
	static const uint16_t statuses[] = { 503, 200 };
	struct fixture f;

	open_cut(&f);
	for (uint32_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct raw_caller caller = raw_caller_connect(i == 0 ? f.cut[0] : f.sound);
		g_autofree char *text = g_strdup_printf(head, i);

		g_assert_true(raw_caller_send_text(&caller, text));
		testbed_run(f.testbed, 500);
		raw_caller_read(&caller, 4096);
		g_assert_cmpuint(raw_caller_status(&caller), ==, statuses[i]);
		raw_caller_close(&caller);
	}
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-path/reset", test_reset);
	g_test_add_func("/gateway-path/silent", test_silent);
	g_test_add_func("/gateway-path/refuse-new", test_refuse_new);
	g_test_add_func("/gateway-path/cut-peers", test_cut_peers);
	g_test_add_func("/gateway-path/peer-dies", test_peer_dies);
	g_test_add_func("/gateway-path/peer-dies-in-stream", test_peer_dies_in_stream);
	g_test_add_func("/gateway-path/caller-leaves", test_caller_leaves);
	g_test_add_func("/gateway-path/forged-mark", test_forged_mark);
	return g_test_run();
}
