/**
 * @file test_attempt.c
 * What follows an attempt: single cases, and rules that hold for all combinations of the input.
 */
#include "flamingolatch/attempt.h"

#include <glib.h>

static struct attempt_summary ended_with(enum attempt_outcome outcome)
{
	return (struct attempt_summary){ .outcome = outcome,
					 .executions = 1,
					 .max_executions = 2,
					 .time_left = true,
					 .upstream_available = true,
					 .budget_left = true };
}

/* No combination of the flags runs a request twice that must run once, or reports it wrongly. */
static void test_all_combinations(void)
{
	for (uint32_t bits = 0; bits < 1U << 10; bits++) {
		for (int outcome = 0; outcome < ATTEMPT_OUTCOME_COUNT; outcome++) {
			struct attempt_summary summary = { .outcome = (enum attempt_outcome)outcome,
							   .idempotent = bits & 1,
							   .answer_started = bits & 2,
							   .may_have_run = bits & 4,
							   .has_kv_copy = bits & 8,
							   .executions = 1 + (bits >> 4 & 1),
							   .max_executions = 2,
							   .time_left = bits & 32,
							   .upstream_available = bits & 64,
							   .budget_left = bits & 128,
							   .suspect = bits & 256 };
			enum attempt_action action = attempt_decide(&summary);
			bool certainly_not_run =
				outcome == ATTEMPT_NOT_SENT || outcome == ATTEMPT_NOT_RUN;
			bool ran = summary.may_have_run || !certainly_not_run;

			if (action == ATTEMPT_ACTION_REFUSE)
				g_assert_false(ran);
			if (action == ATTEMPT_ACTION_RETRY && !summary.idempotent)
				g_assert_false(ran || summary.answer_started);
			if (action == ATTEMPT_ACTION_RETRY && outcome != ATTEMPT_NOT_SENT)
				g_assert_true(summary.budget_left);
			if (action == ATTEMPT_ACTION_RETRY && !certainly_not_run)
				g_assert_false(summary.suspect);
			if (action == ATTEMPT_ACTION_RETRY && !certainly_not_run)
				g_assert_cmpuint(summary.executions, <, summary.max_executions);
			if (action == ATTEMPT_ACTION_FAIL || action == ATTEMPT_ACTION_REFUSE)
				g_assert_false(summary.answer_started);
			if (action == ATTEMPT_ACTION_CUT)
				g_assert_true(summary.answer_started);
			if (action == ATTEMPT_ACTION_RESUME)
				g_assert_true(summary.has_kv_copy && !certainly_not_run);
			if (action == ATTEMPT_ACTION_DELIVER)
				g_assert_cmpint(outcome, ==, ATTEMPT_ERROR);
		}
	}
}

static void check(struct attempt_summary summary, enum attempt_action expected)
{
	g_assert_cmpstr(attempt_action_name(attempt_decide(&summary)), ==,
			attempt_action_name(expected));
}

static void test_not_idempotent(void)
{
	struct attempt_summary summary = ended_with(ATTEMPT_NOT_SENT);

	check(summary, ATTEMPT_ACTION_RETRY);
	summary.upstream_available = false;
	check(summary, ATTEMPT_ACTION_REFUSE);
	summary = ended_with(ATTEMPT_NOT_RUN);
	check(summary, ATTEMPT_ACTION_RETRY);
	summary.budget_left = false;
	check(summary, ATTEMPT_ACTION_REFUSE);
	check(ended_with(ATTEMPT_BROKEN), ATTEMPT_ACTION_FAIL);
	check(ended_with(ATTEMPT_SILENT), ATTEMPT_ACTION_FAIL);
	check(ended_with(ATTEMPT_ERROR), ATTEMPT_ACTION_DELIVER);
}

static void test_idempotent(void)
{
	struct attempt_summary summary = ended_with(ATTEMPT_BROKEN);

	summary.idempotent = true;
	check(summary, ATTEMPT_ACTION_RETRY);
	summary.outcome = ATTEMPT_ERROR;
	check(summary, ATTEMPT_ACTION_RETRY);
	summary.executions = 2;
	check(summary, ATTEMPT_ACTION_DELIVER);
	summary.outcome = ATTEMPT_SILENT;
	check(summary, ATTEMPT_ACTION_FAIL);
}

/* When the engine with the KV copy answers that it has none, the generation is lost and not run
 * anew. */
static void test_no_kv_copy(void)
{
	struct attempt_summary summary = ended_with(ATTEMPT_NOT_RUN);

	summary.answer_started = true;
	check(summary, ATTEMPT_ACTION_CUT);
	summary.may_have_run = true;
	check(summary, ATTEMPT_ACTION_CUT);
	summary.answer_started = false;
	check(summary, ATTEMPT_ACTION_FAIL);
}

static void test_kv_copy(void)
{
	struct attempt_summary summary = ended_with(ATTEMPT_BROKEN);

	summary.answer_started = true;
	summary.has_kv_copy = true;
	check(summary, ATTEMPT_ACTION_RESUME);
	summary.time_left = false;
	check(summary, ATTEMPT_ACTION_CUT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/again/never", test_all_combinations);
	g_test_add_func("/again/once", test_not_idempotent);
	g_test_add_func("/again/idempotent", test_idempotent);
	g_test_add_func("/again/no-copy", test_no_kv_copy);
	g_test_add_func("/again/copy", test_kv_copy);
	return g_test_run();
}
