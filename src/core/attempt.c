#include "flamingolatch/attempt.h"

static const char *const attempt_outcome_names[ATTEMPT_OUTCOME_COUNT] = {
	"not-sent", "not-run", "broken", "silent", "error",
};
/* Names in the log: "repeat" stands for a retry, "take-over" for resuming from a KV copy. */
static const char *const attempt_action_names[ATTEMPT_ACTION_COUNT] = {
	"deliver", "repeat", "take-over", "refuse", "fail", "cut",
};

/* Returns how to end the request; @p ran is true when its last attempt may have executed it. */
static enum attempt_action attempt_give_up(const struct attempt_summary *summary, bool ran)
{
	if (summary->answer_started)
		return ATTEMPT_ACTION_CUT;
#if defined(FL_FAULT_REFUSE_ANY)
	/* Deliberate defect, which the tests have to detect: states that no request ran. */
	return ATTEMPT_ACTION_REFUSE;
#endif
	return ran || summary->may_have_run ? ATTEMPT_ACTION_FAIL : ATTEMPT_ACTION_REFUSE;
}

enum attempt_action attempt_decide(const struct attempt_summary *summary)
{
#if defined(FL_FAULT_REPEAT_ANY)
	/* Deliberate defect, which the tests have to detect: retries requests that may
	 * have run. */
	bool certainly_not_run = true;
#else
	bool certainly_not_run =
		summary->outcome == ATTEMPT_NOT_SENT || summary->outcome == ATTEMPT_NOT_RUN;
#endif
	/* If an earlier attempt may have run, only an idempotent request is sent again. */
#if defined(FL_FAULT_REPEAT_ANY)
	bool first_run = !summary->answer_started;
#else
	bool first_run = !summary->answer_started && !summary->may_have_run;
#endif
	/* An attempt that was not sent put no load on the service, so its retry needs no budget. */
	bool budget_allows = summary->outcome == ATTEMPT_NOT_SENT || summary->budget_left;

	if (certainly_not_run && (first_run || summary->idempotent) && summary->time_left &&
	    summary->upstream_available && budget_allows)
		return ATTEMPT_ACTION_RETRY;
	if (certainly_not_run)
		return attempt_give_up(summary, false);
	if (summary->has_kv_copy && summary->outcome != ATTEMPT_ERROR && summary->time_left)
		return ATTEMPT_ACTION_RESUME;
	if (summary->idempotent && summary->executions < summary->max_executions &&
	    !summary->suspect && summary->time_left && summary->upstream_available && budget_allows)
		return ATTEMPT_ACTION_RETRY;
	return summary->outcome == ATTEMPT_ERROR ? ATTEMPT_ACTION_DELIVER
						 : attempt_give_up(summary, true);
}

const char *attempt_outcome_name(enum attempt_outcome outcome)
{
	return attempt_outcome_names[outcome];
}

const char *attempt_action_name(enum attempt_action action)
{
	return attempt_action_names[action];
}
