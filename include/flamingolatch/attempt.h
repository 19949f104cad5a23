/**
 * @file attempt.h
 * Decides what to do with a request when an attempt has ended: deliver the
 * answer, retry on another upstream, resume from a KV copy, refuse or fail.
 *
 * A request that is not idempotent is retried only where it is certain that it
 * did not run: nothing left this process, or the upstream says so. A stream
 * that has started is resumed from a KV copy, or run anew where its route
 * allows that. The functions have no state, no I/O and no clock.
 * retry_budget.h counts the retries of a service.
 */
#ifndef FLAMINGOLATCH_ATTEMPT_H
#define FLAMINGOLATCH_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended. */
enum attempt_outcome {
	ATTEMPT_NOT_SENT, /**< no byte left this process */
	ATTEMPT_NOT_RUN,  /**< the upstream states that it did not run the request */
	ATTEMPT_BROKEN,	  /**< the connection broke, or the answer is not the upstream's own */
	ATTEMPT_SILENT,	  /**< no progress for too long */
	ATTEMPT_ERROR,	  /**< a complete answer that reports a failure of the upstream */
	ATTEMPT_OUTCOME_COUNT
};

/** What to do next. */
enum attempt_action {
	ATTEMPT_ACTION_DELIVER, /**< pass the upstream's answer on */
	ATTEMPT_ACTION_RETRY,	/**< send to another upstream */
	ATTEMPT_ACTION_RESUME,	/**< resume the generation from its KV copy */
	ATTEMPT_ACTION_REFUSE,	/**< answer that the request did not run */
	ATTEMPT_ACTION_FAIL,	/**< answer that the outcome is not known */
	ATTEMPT_ACTION_CUT,	/**< break off the answer that has been passed on in part */
	ATTEMPT_ACTION_COUNT
};

/** An ended attempt, and what is possible now. */
struct attempt_summary {
	enum attempt_outcome outcome;
	bool idempotent;     /**< the request may run more than once */
	bool answer_started; /**< a part of an answer has been passed on */
	bool may_have_run;   /**< in an earlier attempt */
	bool has_kv_copy;    /**< another engine has a copy of the generation's KV cache */
	uint32_t executions; /**< attempts that may have run, this one included */
	uint32_t max_executions;
	bool time_left;		 /**< enough for a retry to be answered */
	bool upstream_available; /**< another upstream may take the request */
	bool budget_left;	 /**< the service's retry budget allows a retry */
};

/** Returns what to do after an attempt. */
enum attempt_action attempt_decide(const struct attempt_summary *summary);
/** Returns the name of an outcome, as in the log. */
const char *attempt_outcome_name(enum attempt_outcome outcome);
/** Returns the name of an action, as in the log. */
const char *attempt_action_name(enum attempt_action action);

#endif
