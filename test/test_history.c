/**
 * @file test_history.c
 * Each check of a history accepts valid input and reports each kind of violation.
 */
#include "history/history.h"

#include <glib.h>

typedef void (*check_fn)(const json_t *history, const json_t *log, struct history_counts *counts);

/* Runs a check on two JSON arrays given as text. @return the number of violations */
static uint64_t count_violations(check_fn check, const char *history, const char *log)
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

static uint64_t check_generations(const char *history, const char *engines)
{
	return count_violations(history_check_generations, history, engines);
}

static uint64_t check_calls(const char *history, const char *service)
{
	return count_violations(history_check_calls, history, service);
}

#define STREAM(text, tokens, ok, error)                                                            \
	"[{\"ev\":\"end\",\"kind\":\"stream\",\"index\":0,\"seed\":10,\"ok\":" ok                  \
	",\"error\":\"" error "\",\"tokens\":" tokens ",\"out_of_order\":false,\"text\":\"" text   \
	"\"}]"
#define ENGINE_LOG "[{\"ev\":\"end\",\"seed\":10,\"generation\":7,\"produced\":3}]"

static void test_streams(void)
{
	g_assert_cmpuint(
		check_generations(STREAM(" a.7.0 a.7.1 a.7.2", "3", "true", ""), ENGINE_LOG), ==,
		0);
	g_assert_cmpuint(
		check_generations(STREAM(" a.7.0", "1", "false", "generation_lost"), ENGINE_LOG),
		==, 0);
	/* a repeated token, a missing token, two generations, the seed of another request */
	g_assert_cmpuint(
		check_generations(STREAM(" a.7.0 a.7.1 a.7.1", "3", "true", ""), ENGINE_LOG), ==,
		1);
	g_assert_cmpuint(check_generations(STREAM(" a.7.0 a.7.2", "2", "true", ""), ENGINE_LOG), ==,
			 1);
	g_assert_cmpuint(
		check_generations(STREAM(" a.7.0 a.8.1 a.8.2", "3", "true", ""), ENGINE_LOG), ==,
		1);
	g_assert_cmpuint(
		check_generations(STREAM(" b.7.0 b.7.1 b.7.2", "3", "true", ""), ENGINE_LOG), ==,
		1);
	/* truncated without an error; truncated or empty but reported as complete */
	g_assert_cmpuint(check_generations(STREAM(" a.7.0", "1", "false", ""), ENGINE_LOG), ==, 1);
	g_assert_cmpuint(check_generations(STREAM(" a.7.0 a.7.1", "2", "true", ""), ENGINE_LOG), ==,
			 1);
	g_assert_cmpuint(check_generations(STREAM("", "0", "true", ""), ENGINE_LOG), ==, 1);
	/* started by an engine but reported as "not run" */
	g_assert_cmpuint(
		check_generations("[{\"ev\":\"end\",\"kind\":\"stream\",\"seed\":10,\"ok\":false,"
				  "\"error\":\"deadline\",\"ran\":\"not_run\",\"attempts\":1}]",
				  "[{\"ev\":\"open\",\"seed\":10}]"),
		==, 1);
}

#define RESULT "{\"ev\":\"end\",\"kind\":\"call\",\"index\":4,\"seed\":14}"
#define ATTEMPT(n, status, ran, body)                                                              \
	"{\"ev\":\"attempt\",\"kind\":\"call\",\"index\":4,\"attempt\":" n ",\"status\":" status   \
	",\"ran\":\"" ran "\",\"body\":\"" body "\"}"
#define EXECUTION(n) "{\"ev\":\"run\",\"key\":\"key-10-4\",\"request_id\":\"10-4-" n "\"}"
#define OWN_ANSWER   "{\\\"path\\\":\\\"/couriers/4\\\"}"
#define OTHER_ANSWER "{\\\"path\\\":\\\"/couriers/5\\\"}"

static void test_calls(void)
{
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "200", "", OWN_ANSWER) "]",
				     "[" EXECUTION("0") "]"),
			 ==, 0);
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "503", "not_run", "") "]", "[]"),
			 ==, 0);
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "502", "unknown", "") "]",
				     "[" EXECUTION("0") "]"),
			 ==, 0);
	/* executed twice */
	g_assert_cmpuint(check_calls("[" RESULT "]", "[" EXECUTION("0") "," EXECUTION("1") "]"), ==,
			 1);
	/* executed but answered with "not run"; answered but not executed; answer to another call
	 */
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "503", "not_run", "") "]",
				     "[" EXECUTION("0") "]"),
			 ==, 1);
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "200", "", OWN_ANSWER) "]", "[]"),
			 ==, 1);
	g_assert_cmpuint(check_calls("[" RESULT "," ATTEMPT("1", "200", "", OTHER_ANSWER) "]",
				     "[" EXECUTION("0") "]"),
			 ==, 1);
}

static uint64_t check_revisions(const char *log)
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
	g_assert_cmpuint(check_revisions("[" APPLIED("1") "," APPLIED("3") "]"), ==, 0);
	g_assert_cmpuint(check_revisions("[" APPLIED("3") "," APPLIED("2") "]"), ==, 1);
	g_assert_cmpuint(
		check_revisions("[" APPLIED("3") ",{\"message\":\"listening\"}," APPLIED("2") "]"),
		==, 0);
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
