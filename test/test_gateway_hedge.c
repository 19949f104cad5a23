/**
 * @file test_gateway_hedge.c
 * The gateway program and calls that are sent to a second upstream while the first
 * has not answered. Guards against answers that are lost or mixed, refusals while
 * a call may still run, calls left behind at an upstream, and hedged requests where
 * none may be sent.
 */
#include "raw_upstream.h"
#include "testbed.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define RAW_PORT	 8700
#define RAW_HOST_NUMBER	 120
#define UPSTREAMS	 2
#define CALL_TIMEOUT_MS	 3000
#define LIST_MS		 300 /* until the instance list has arrived */
#define SETTLE_MS	 200 /* until an end has reached the other side */
/* The response times that are learned: every eighth is slow, which is then the 90th percentile. */
#define LEARNED_CALLS	 64
#define SLOW_EVERY	 8
#define LEARNED_QUICK_MS 15
#define LEARNED_SLOW_MS	 150
/* After this time a call that may be hedged has been. */
#define HEDGED_BY_MS 1200
#define LONG_BYTES   (600U << 10) /* more than the gateway keeps of an answer */

#define SIGNED	"X-Flamingolatch-Replica-Signature: s\r\n"
#define REFUSAL "503 Busy\r\nX-Flamingolatch-Not-Executed: 1"

/* A call of the request under test, as it arrived at an upstream. */
struct arrival {
	struct raw_conn *conn;
	uint64_t number; /* of the connection */
	uint32_t upstream;
	uint64_t left_ms; /* deadline that it was sent with */
};

struct fixture {
	struct testbed *testbed;
	struct testbed_gateway *gateway;
	struct raw_upstream *raw[UPSTREAMS];
	struct upstream_ctx {
		struct fixture *fixture;
		uint32_t number;
	} ctx[UPSTREAMS];
	bool scripted; /* arrivals are recorded, not answered */
	uint32_t learned;
	uint32_t arrival_count;
	struct arrival arrivals[4];
	struct testbed_answer answer;
	struct testbed_call *call;
};

/* the upstreams */

static char *answer_text(const char *status, const char *body)
{
	return g_strdup_printf("HTTP/1.1 %s\r\n" SIGNED "Content-Length: %zu\r\n\r\n%s", status,
			       strlen(body), body);
}

static void on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct upstream_ctx *upstream = ctx;
	struct fixture *f = upstream->fixture;
	const char *left = strstr(raw_conn_request_head(conn), "x-flamingolatch-deadline-ms: ");

	(void)id;
	if (!f->scripted) {
		g_autofree char *text = answer_text("200 OK", "learned");

		raw_conn_write_later(
			conn, text,
			f->learned++ % SLOW_EVERY == 0 ? LEARNED_SLOW_MS : LEARNED_QUICK_MS, false);
		return;
	}
	g_assert_cmpuint(f->arrival_count, <, G_N_ELEMENTS(f->arrivals));
	f->arrivals[f->arrival_count++] = (struct arrival){
		.conn = conn,
		.number = raw_conn_number(conn),
		.upstream = upstream->number,
		.left_ms = left ? strtoull(strchr(left, ':') + 1, NULL, 10) : 0,
	};
}

static bool is_open(const struct fixture *f, uint32_t arrival)
{
	const struct arrival *a = &f->arrivals[arrival];

	return raw_upstream_find_conn(f->raw[a->upstream], a->number) == a->conn;
}

static void reply(struct fixture *f, uint32_t arrival, const char *status, const char *body)
{
	g_autofree char *text = answer_text(status, body);

	g_assert_true(is_open(f, arrival));
	raw_conn_write(f->arrivals[arrival].conn, text);
}

static void reset(struct fixture *f, uint32_t arrival)
{
	g_assert_true(is_open(f, arrival));
	raw_conn_reset(f->arrivals[arrival].conn);
	raw_conn_write(f->arrivals[arrival].conn, "HTTP/1.1 ");
}

/* the fixture */

static void add_upstream(struct fixture *f, uint32_t number)
{
	g_autofree char *ip = testbed_ip(f->testbed, RAW_HOST_NUMBER + number);
	g_autofree char *id = g_strdup_printf("raw-%u", number);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"address\":\"%s:%d\",\"zone\":\"z1\","
		"\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
		ip, RAW_PORT);

	f->ctx[number] = (struct upstream_ctx){ f, number };
	f->raw[number] = raw_upstream_create(testbed_loop(f->testbed), ip, RAW_PORT, on_request,
					     &f->ctx[number]);
	mock_store_put(testbed_platform(f->testbed), "servers", id, entry);
}

/* Lets the gateway learn response times. */
static void learn(struct fixture *f)
{
	const struct testbed_request safe = { .path = "/safe/", .key = TESTBED_KEY };

	for (uint32_t i = 0; i < LEARNED_CALLS; i++) {
		struct testbed_answer answer = testbed_call(f->gateway, &safe);

		g_assert_cmpuint(answer.status, ==, 200);
		testbed_answer_clear(&answer);
	}
	f->scripted = true;
}

/* Lets the route of at-most-once calls have two attempts, so that only its kind forbids to hedge.
 */
static void allow_attempts(struct fixture *f)
{
	struct mock_platform *platform = testbed_platform(f->testbed);
	g_auto(GStrv) parts =
		g_strsplit(mock_store_text(platform, "op", "config"), "\"max_attempts\":1}", 2);
	g_autofree char *text = g_strjoinv("\"max_attempts\":2}", parts);

	g_assert_nonnull(strstr(parts[0], "\"name\":\"once\""));
	mock_store_put(platform, "op", "config", text);
}

/* @param share the setting load.hedge_share */
static void fixture_open(struct fixture *f, const char *share)
{
	g_autofree char *load = NULL;

	*f = (struct fixture){ .testbed = testbed_create(17) };
	testbed_set_call_timeout(f->testbed, CALL_TIMEOUT_MS);
	testbed_configure(f->testbed, NULL, NULL);
	allow_attempts(f);
	for (uint32_t i = 0; i < UPSTREAMS; i++)
		add_upstream(f, i);
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	/* Without an answer for this long, a call would be sent elsewhere without hedging. */
	load = g_strdup_printf("load:\n  answer_ms: 60000\n  hedge_share: %s\n", share);
	testbed_add_settings(f->gateway, load);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_TIMEOUT_MS));
	testbed_run(f->testbed, LIST_MS);
	learn(f);
}

static uint64_t metric(const struct fixture *f, const char *name)
{
	g_autofree char *page = testbed_get(f->testbed, f->gateway->metrics_address, "/metrics");
	g_autofree char *line = g_strdup_printf("\nflamingolatch_%s ", name);
	const char *at = strstr(page, line);

	g_assert_nonnull(at);
	return strtoull(at + strlen(line), NULL, 10);
}

/* Checks that no load is left at the upstreams and no call is open. */
static void fixture_close(struct fixture *f)
{
	testbed_run(f->testbed, SETTLE_MS);
	if (f->gateway->process) {
		g_autofree char *state =
			testbed_get(f->testbed, f->gateway->metrics_address, "/state");

		g_assert_null(strstr(state, "\"own\":{\"open\":1"));
		g_assert_nonnull(strstr(state, "\"own\":{\"open\":0"));
	}
	testbed_answer_clear(&f->answer);
	for (uint32_t i = 0; i < UPSTREAMS; i++)
		raw_upstream_destroy(f->raw[i]);
	testbed_destroy(f->testbed);
}

static void begin(struct fixture *f, const char *path)
{
	const struct testbed_request request = { .path = path,
						 .key = TESTBED_KEY,
						 .wait_ms = CALL_TIMEOUT_MS };

	f->call = testbed_begin(f->gateway, &request, &f->answer);
}

/* Starts a call and waits until it was sent to both upstreams. */
static void begin_hedged(struct fixture *f)
{
	begin(f, "/safe/");
	for (uint32_t waited_ms = 0; f->arrival_count < 2; waited_ms += 10) {
		g_assert_cmpuint(waited_ms, <, CALL_TIMEOUT_MS);
		testbed_run(f->testbed, 10);
	}
	g_assert_cmpuint(f->arrivals[0].upstream, !=, f->arrivals[1].upstream);
	g_assert_true(is_open(f, 0));
}

static void check_answer(struct fixture *f, uint16_t status, const char *body)
{
	g_assert_true(testbed_wait(f->testbed, &f->answer, CALL_TIMEOUT_MS + 1000));
	g_assert_cmpuint(f->answer.status, ==, status);
	g_assert_false(f->answer.broken);
	if (body)
		g_assert_cmpstr(f->answer.body->str, ==, body);
	g_assert_cmpuint(f->arrival_count, <=, 2);
}

static void check_ended(const struct fixture *f, const char *outcome)
{
	g_autofree char *lines = testbed_log_lines(f->gateway, f->answer.id);
	g_autofree char *wanted = g_strdup_printf("\"outcome\":\"%s\"", outcome);

	g_assert_nonnull(strstr(lines, "\"hedge-sent\""));
	g_assert_nonnull(strstr(lines, "\"hedge-ended\""));
	g_assert_nonnull(strstr(lines, wanted));
}

/* answers */

static void test_second_wins(void)
{
	struct fixture f;
	uint64_t won;

	fixture_open(&f, "0.2");
	won = metric(&f, "hedges_won_total");
	begin_hedged(&f);
	g_assert_cmpuint(f.arrivals[1].left_ms + LEARNED_SLOW_MS, <=, f.arrivals[0].left_ms);
	reply(&f, 1, "200 OK", "second");
	check_answer(&f, 200, "second");
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(is_open(&f, 0));
	g_assert_cmpuint(metric(&f, "hedges_won_total"), ==, won + 1);
	check_ended(&f, "won");
	fixture_close(&f);
}

static void test_first_wins(void)
{
	struct fixture f;
	uint64_t cancelled;

	fixture_open(&f, "0.2");
	cancelled = metric(&f, "hedges_cancelled_total");
	begin_hedged(&f);
	reply(&f, 0, "200 OK", "first");
	check_answer(&f, 200, "first");
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(is_open(&f, 1));
	g_assert_cmpuint(metric(&f, "hedges_cancelled_total"), ==, cancelled + 1);
	check_ended(&f, "lost");
	fixture_close(&f);
}

/* The head of an answer is no answer: the one that is whole first counts, and no byte of the other.
 */
static void test_half_answer(void)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	raw_conn_write(f.arrivals[0].conn,
		       "HTTP/1.1 200 OK\r\n" SIGNED "X-One: 1\r\nContent-Length: 9\r\n\r\nfirst");
	testbed_run(f.testbed, SETTLE_MS);
	reply(&f, 1, "200 OK", "second");
	check_answer(&f, 200, "second");
	fixture_close(&f);
}

static void check_both_fail(bool second_ends_first)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	reset(&f, second_ends_first);
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(f.answer.ended);
	reset(&f, !second_ends_first);
	/* It may have run, and the route allows two attempts. */
	check_answer(&f, 502, NULL);
	check_ended(&f, second_ends_first ? "failed" : "took-over");
	fixture_close(&f);
}

static void test_both_fail(void)
{
	check_both_fail(false);
	check_both_fail(true);
}

/* A server error of one call is not passed on while the other may still be answered. */
static void check_error_then_answer(uint32_t failing)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	reply(&f, failing, "500 Oops", "error");
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(f.answer.ended);
	reply(&f, !failing, "200 OK", "answer");
	check_answer(&f, 200, "answer");
	fixture_close(&f);
}

static void test_error_then_answer(void)
{
	check_error_then_answer(0);
	check_error_then_answer(1);
}

/* An error that is half read when the first call breaks is passed on whole. */
static void test_half_error(void)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	raw_conn_write(f.arrivals[1].conn,
		       "HTTP/1.1 500 Oops\r\n" SIGNED "Content-Length: 9\r\n\r\nsecond");
	testbed_run(f.testbed, SETTLE_MS);
	reset(&f, 0);
	testbed_run(f.testbed, SETTLE_MS);
	raw_conn_write(f.arrivals[1].conn, "-it");
	check_answer(&f, 500, "second-it");
	check_ended(&f, "took-over");
	fixture_close(&f);
}

/* A refusal of one call must not become a refusal to the caller while the other runs. */
static void check_not_run(uint32_t refused, const char *status)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	reply(&f, refused, REFUSAL, "");
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(f.answer.ended);
	g_assert_cmpuint(f.arrival_count, ==, 2);
	reply(&f, !refused, status, "");
	check_answer(&f, (uint16_t)atoi(status), NULL);
	fixture_close(&f);
}

static void test_not_run_then_answer(void)
{
	check_not_run(0, "200 OK");
	check_not_run(1, "200 OK");
}

/* Only when both calls were turned away is the request known not to have run. */
static void test_both_not_run(void)
{
	check_not_run(0, REFUSAL);
	check_not_run(1, REFUSAL);
}

/* An answer that is too long to be kept is passed on as it comes, from one call only. */
static void check_long_answer(uint32_t from)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'a' + (char)from);
	g_autofree char *other = answer_text("200 OK", "other");
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	raw_conn_write_later(f.arrivals[!from].conn, other, 2 * SETTLE_MS, false);
	reply(&f, from, "200 OK", body);
	check_answer(&f, 200, body);
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(is_open(&f, !from));
	fixture_close(&f);
}

static void test_long_answer(void)
{
	check_long_answer(0);
	check_long_answer(1);
}

static void test_not_run_then_broken(void)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	reset(&f, 1);
	testbed_run(f.testbed, SETTLE_MS);
	reply(&f, 0, REFUSAL, "");
	/* The second call may have run. */
	check_answer(&f, 502, NULL);
	fixture_close(&f);
}

/* ends */

static void test_caller_leaves(void)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	testbed_disconnect(f.call);
	testbed_run(f.testbed, 2 * SETTLE_MS);
	g_assert_false(is_open(&f, 0));
	g_assert_false(is_open(&f, 1));
	check_ended(&f, "caller-left");
	fixture_close(&f);
}

static void test_deadline(void)
{
	struct fixture f;

	fixture_open(&f, "0.2");
	begin_hedged(&f);
	check_answer(&f, 504, NULL);
	testbed_run(f.testbed, SETTLE_MS);
	g_assert_false(is_open(&f, 0));
	g_assert_false(is_open(&f, 1));
	fixture_close(&f);
}

/* where none may be sent */

static void check_not_hedged(const char *share, const char *path, bool stopping)
{
	struct fixture f;

	fixture_open(&f, share);
	begin(&f, path);
	while (f.arrival_count == 0)
		testbed_run(f.testbed, 1);
	if (stopping)
		testbed_signal(f.gateway, SIGTERM);
	testbed_run(f.testbed, HEDGED_BY_MS);
	g_assert_cmpuint(f.arrival_count, ==, 1);
	reply(&f, 0, "200 OK", "first");
	check_answer(&f, 200, "first");
	if (stopping)
		g_assert_true(testbed_wait_exit(f.gateway, TESTBED_GRACE_S * 1000));
	fixture_close(&f);
}

static void test_at_most_once(void)
{
	check_not_hedged("0.2", "/once/", false);
}

static void test_off(void)
{
	check_not_hedged("0", "/safe/", false);
}

static void test_stopping(void)
{
	check_not_hedged("0.2", "/safe/", true);
}

/* A share above the maximum must not start a gateway. */
static void test_setting(void)
{
	struct testbed *testbed = testbed_create(18);
	struct testbed_gateway *gateway = testbed_gateway(testbed, "gw-1", NULL);
	g_autofree char *lines = NULL;

	testbed_add_settings(gateway, "load:\n  hedge_share: 0.21\n");
	testbed_start(gateway);
	g_assert_true(testbed_wait_exit(gateway, READY_TIMEOUT_MS));
	lines = testbed_log_lines(gateway, "load.hedge_share");
	g_assert_cmpstr(lines, !=, "");
	testbed_destroy(testbed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-hedge/second-wins", test_second_wins);
	g_test_add_func("/gateway-hedge/first-wins", test_first_wins);
	g_test_add_func("/gateway-hedge/half-answer", test_half_answer);
	g_test_add_func("/gateway-hedge/both-fail", test_both_fail);
	g_test_add_func("/gateway-hedge/error-then-answer", test_error_then_answer);
	g_test_add_func("/gateway-hedge/half-error", test_half_error);
	g_test_add_func("/gateway-hedge/not-run-then-answer", test_not_run_then_answer);
	g_test_add_func("/gateway-hedge/both-not-run", test_both_not_run);
	g_test_add_func("/gateway-hedge/long-answer", test_long_answer);
	g_test_add_func("/gateway-hedge/not-run-then-broken", test_not_run_then_broken);
	g_test_add_func("/gateway-hedge/caller-leaves", test_caller_leaves);
	g_test_add_func("/gateway-hedge/deadline", test_deadline);
	g_test_add_func("/gateway-hedge/at-most-once", test_at_most_once);
	g_test_add_func("/gateway-hedge/off", test_off);
	g_test_add_func("/gateway-hedge/stopping", test_stopping);
	g_test_add_func("/gateway-hedge/setting", test_setting);
	return g_test_run();
}
