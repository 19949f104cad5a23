/**
 * @file test_attempt.c
 * What follows a send: every case is checked against what must never happen.
 */
#include "flamingolatch/attempt.h"

#include <glib.h>

static struct again_case base(enum again_outcome outcome)
{
	return (struct again_case){ .outcome = outcome,
				    .runs = 1,
				    .max_runs = 2,
				    .time_left = true,
				    .upstream_left = true,
				    .budget_left = true };
}

/* All combinations of the flags. */
static void test_never(void)
{
	for (uint32_t bits = 0; bits < 1U << 9; bits++) {
		for (int outcome = 0; outcome < AGAIN_OUTCOME_COUNT; outcome++) {
			struct again_case c = { .outcome = (enum again_outcome)outcome,
						.repeatable = bits & 1,
						.begun = bits & 2,
						.may_have_run = bits & 4,
						.has_copy = bits & 8,
						.runs = 1 + (bits >> 4 & 1),
						.max_runs = 2,
						.time_left = bits & 32,
						.upstream_left = bits & 64,
						.budget_left = bits & 128 };
			enum again_action action = again_decide(&c);
			bool certain = outcome == AGAIN_NOT_SENT || outcome == AGAIN_NOT_RUN;
			bool ran = c.may_have_run || !certain;

			if (action == AGAIN_REFUSE)
				g_assert_false(ran);
			if (action == AGAIN_REPEAT && !c.repeatable)
				g_assert_false(ran || c.begun);
			if (action == AGAIN_REPEAT && outcome != AGAIN_NOT_SENT)
				g_assert_true(c.budget_left);
			if (action == AGAIN_REPEAT && !certain)
				g_assert_cmpuint(c.runs, <, c.max_runs);
			if (action == AGAIN_FAIL || action == AGAIN_REFUSE)
				g_assert_false(c.begun);
			if (action == AGAIN_CUT)
				g_assert_true(c.begun);
			if (action == AGAIN_TAKE_OVER)
				g_assert_true(c.has_copy && !certain);
			if (action == AGAIN_DELIVER)
				g_assert_cmpint(outcome, ==, AGAIN_ERROR);
		}
	}
}

static void check(struct again_case c, enum again_action expected)
{
	g_assert_cmpstr(again_action_name(again_decide(&c)), ==, again_action_name(expected));
}

static void test_once(void)
{
	struct again_case c = base(AGAIN_NOT_SENT);

	check(c, AGAIN_REPEAT);
	c.upstream_left = false;
	check(c, AGAIN_REFUSE);
	c = base(AGAIN_NOT_RUN);
	check(c, AGAIN_REPEAT);
	c.budget_left = false;
	check(c, AGAIN_REFUSE);
	check(base(AGAIN_BROKEN), AGAIN_FAIL);
	check(base(AGAIN_SILENT), AGAIN_FAIL);
	check(base(AGAIN_ERROR), AGAIN_DELIVER);
}

static void test_idempotent(void)
{
	struct again_case c = base(AGAIN_BROKEN);

	c.repeatable = true;
	check(c, AGAIN_REPEAT);
	c.outcome = AGAIN_ERROR;
	check(c, AGAIN_REPEAT);
	c.runs = 2;
	check(c, AGAIN_DELIVER);
	c.outcome = AGAIN_SILENT;
	check(c, AGAIN_FAIL);
}

/* The engine of the copy answered that it has none: the run is lost, not begun anew. */
static void test_no_copy(void)
{
	struct again_case c = base(AGAIN_NOT_RUN);

	c.begun = true;
	check(c, AGAIN_CUT);
	c.may_have_run = true;
	check(c, AGAIN_CUT);
	c.begun = false;
	check(c, AGAIN_FAIL);
}

static void test_copy(void)
{
	struct again_case c = base(AGAIN_BROKEN);

	c.begun = true;
	c.has_copy = true;
	check(c, AGAIN_TAKE_OVER);
	c.time_left = false;
	check(c, AGAIN_CUT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/again/never", test_never);
	g_test_add_func("/again/once", test_once);
	g_test_add_func("/again/idempotent", test_idempotent);
	g_test_add_func("/again/no-copy", test_no_copy);
	g_test_add_func("/again/copy", test_copy);
	return g_test_run();
}
