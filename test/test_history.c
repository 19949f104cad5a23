/**
 * @file test_history.c
 * The checkers accept a good history and reject each kind of bad one.
 */
#include "history/history.h"

#include <glib.h>

typedef void (*check_fn)(const json_t *history, const json_t *log, struct history_counts *counts);

/* Runs one check on JSON texts. @return the number of violations */
static uint64_t violations(check_fn check, const char *history, const char *log)
{
	struct history_counts counts = { 0 };
	json_t *left = json_loads(history, 0, NULL);
	json_t *right = json_loads(log, 0, NULL);

	g_assert_nonnull(left);
	g_assert_nonnull(right);
	check(left, right, &counts);
	json_decref(left);
	json_decref(right);
	return counts.violations;
}

static uint64_t streams(const char *history, const char *engines)
{
	return violations(history_check_streams, history, engines);
}

static uint64_t calls(const char *history, const char *service)
{
	return violations(history_check_calls, history, service);
}

#define END(text, tokens, ok, error)                                                               \
	"[{\"ev\":\"end\",\"kind\":\"stream\",\"index\":0,\"seed\":10,\"ok\":" ok                  \
	",\"error\":\"" error "\",\"tokens\":" tokens ",\"out_of_order\":false,\"text\":\"" text   \
	"\"}]"
#define MADE "[{\"ev\":\"end\",\"seed\":10,\"generation\":7,\"produced\":3}]"

static void test_streams(void)
{
	g_assert_cmpuint(streams(END(" a.7.0 a.7.1 a.7.2", "3", "true", ""), MADE), ==, 0);
	g_assert_cmpuint(streams(END(" a.7.0", "1", "false", "generation_lost"), MADE), ==, 0);
	/* a repeated token, a missing one, two generations, another's seed */
	g_assert_cmpuint(streams(END(" a.7.0 a.7.1 a.7.1", "3", "true", ""), MADE), ==, 1);
	g_assert_cmpuint(streams(END(" a.7.0 a.7.2", "2", "true", ""), MADE), ==, 1);
	g_assert_cmpuint(streams(END(" a.7.0 a.8.1 a.8.2", "3", "true", ""), MADE), ==, 1);
	g_assert_cmpuint(streams(END(" b.7.0 b.7.1 b.7.2", "3", "true", ""), MADE), ==, 1);
	/* truncated without an error, or reported as whole */
	g_assert_cmpuint(streams(END(" a.7.0", "1", "false", ""), MADE), ==, 1);
	g_assert_cmpuint(streams(END(" a.7.0 a.7.1", "2", "true", ""), MADE), ==, 1);
	g_assert_cmpuint(streams(END("", "0", "true", ""), MADE), ==, 1);
	/* begun by an engine and called "not run" */
	g_assert_cmpuint(streams("[{\"ev\":\"end\",\"kind\":\"stream\",\"seed\":10,\"ok\":false,"
				 "\"error\":\"deadline\",\"ran\":\"not_run\",\"attempts\":1}]",
				 "[{\"ev\":\"open\",\"seed\":10}]"),
			 ==, 1);
}

#define SEED "{\"ev\":\"end\",\"kind\":\"call\",\"index\":4,\"seed\":14}"
#define ATTEMPT(n, status, ran, body)                                                              \
	"{\"ev\":\"attempt\",\"kind\":\"call\",\"index\":4,\"attempt\":" n ",\"status\":" status   \
	",\"ran\":\"" ran "\",\"body\":\"" body "\"}"
#define RUN(n) "{\"ev\":\"run\",\"key\":\"key-10-4\",\"request_id\":\"10-4-" n "\"}"
#define OWN    "{\\\"path\\\":\\\"/couriers/4\\\"}"
#define OTHER  "{\\\"path\\\":\\\"/couriers/5\\\"}"

static void test_calls(void)
{
	g_assert_cmpuint(calls("[" SEED "," ATTEMPT("1", "200", "", OWN) "]", "[" RUN("0") "]"), ==,
			 0);
	g_assert_cmpuint(calls("[" SEED "," ATTEMPT("1", "503", "not_run", "") "]", "[]"), ==, 0);
	g_assert_cmpuint(
		calls("[" SEED "," ATTEMPT("1", "502", "unknown", "") "]", "[" RUN("0") "]"), ==,
		0);
	/* ran twice */
	g_assert_cmpuint(calls("[" SEED "]", "[" RUN("0") "," RUN("1") "]"), ==, 1);
	/* ran after "not run", answered without a run, another call's answer */
	g_assert_cmpuint(
		calls("[" SEED "," ATTEMPT("1", "503", "not_run", "") "]", "[" RUN("0") "]"), ==,
		1);
	g_assert_cmpuint(calls("[" SEED "," ATTEMPT("1", "200", "", OWN) "]", "[]"), ==, 1);
	g_assert_cmpuint(calls("[" SEED "," ATTEMPT("1", "200", "", OTHER) "]", "[" RUN("0") "]"),
			 ==, 1);
}

static uint64_t revisions(const char *log)
{
	struct history_counts counts = { 0 };
	json_t *lines = json_loads(log, 0, NULL);

	history_check_revisions(lines, &counts);
	json_decref(lines);
	return counts.violations;
}

#define APPLIED(n) "{\"message\":\"config-applied\",\"revision\":\"" n "\"}"

static void test_revisions(void)
{
	g_assert_cmpuint(revisions("[" APPLIED("1") "," APPLIED("3") "]"), ==, 0);
	g_assert_cmpuint(revisions("[" APPLIED("3") "," APPLIED("2") "]"), ==, 1);
	g_assert_cmpuint(
		revisions("[" APPLIED("3") ",{\"message\":\"listening\"}," APPLIED("2") "]"), ==,
		0);
}

static void test_leaving(void)
{
	struct history_counts counts = { 0 };
	json_t *log =
		json_loads("[{\"ev\":\"open\",\"at_ms\":1},{\"ev\":\"leave\",\"at_ms\":10},"
			   "{\"ev\":\"refuse\",\"at_ms\":2000},{\"ev\":\"open\",\"at_ms\":4000}]",
			   0, NULL);

	history_check_leaving(log, 3000, &counts);
	json_decref(log);
	g_assert_cmpuint(counts.violations, ==, 1);
}

static void test_orders(void)
{
	struct history_counts counts = { 0 };
	json_t *log = json_loads("[{\"ev\":\"order\",\"fence\":1},{\"ev\":\"order\",\"fence\":3},"
				 "{\"ev\":\"order\",\"fence\":2}]",
				 0, NULL);

	g_assert_cmpuint(history_check_orders(log, &counts), ==, 3);
	g_assert_cmpuint(counts.violations, ==, 1);
	json_decref(log);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/history/streams", test_streams);
	g_test_add_func("/history/calls", test_calls);
	g_test_add_func("/history/revisions", test_revisions);
	g_test_add_func("/history/leaving", test_leaving);
	g_test_add_func("/history/orders", test_orders);
	return g_test_run();
}
