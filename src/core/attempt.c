#include "flamingolatch/attempt.h"

static const char *const again_outcome_names[AGAIN_OUTCOME_COUNT] = {
	"not-sent", "not-run", "broken", "silent", "error",
};
static const char *const again_action_names[AGAIN_ACTION_COUNT] = {
	"deliver", "repeat", "take-over", "refuse", "fail", "cut",
};

static enum again_action again_give_up(const struct again_case *c, bool ran)
{
	if (c->begun)
		return AGAIN_CUT;
#if defined(FL_FAULT_REFUSE_ANY)
	return AGAIN_REFUSE;
#endif
	return ran || c->may_have_run ? AGAIN_FAIL : AGAIN_REFUSE;
}

enum again_action again_decide(const struct again_case *c)
{
#if defined(FL_FAULT_REPEAT_ANY)
	bool certain = true;
#else
	bool certain = c->outcome == AGAIN_NOT_SENT || c->outcome == AGAIN_NOT_RUN;
#endif
	/* A run that was under way is not begun a second time. */
#if defined(FL_FAULT_REPEAT_ANY)
	bool untouched = !c->begun;
#else
	bool untouched = !c->begun && !c->may_have_run;
#endif
	/* A send that did not arrive is no repeat for the service. */
	bool budget = c->outcome == AGAIN_NOT_SENT || c->budget_left;

	if (certain && (untouched || c->repeatable) && c->time_left && c->upstream_left && budget)
		return AGAIN_REPEAT;
	if (certain)
		return again_give_up(c, false);
	if (c->has_copy && c->outcome != AGAIN_ERROR && c->time_left)
		return AGAIN_TAKE_OVER;
	if (c->repeatable && c->runs < c->max_runs && c->time_left && c->upstream_left && budget)
		return AGAIN_REPEAT;
	return c->outcome == AGAIN_ERROR ? AGAIN_DELIVER : again_give_up(c, true);
}

const char *again_outcome_name(enum again_outcome outcome)
{
	return again_outcome_names[outcome];
}

const char *again_action_name(enum again_action action)
{
	return again_action_names[action];
}
