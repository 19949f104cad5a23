/**
 * @file attempt.h
 * Decides what to do with a request when an attempt has ended: deliver the
 * answer, retry on another upstream, resume from a KV copy, refuse or fail.
 *
 * A request that is not idempotent is retried only if it certainly did not run:
 * nothing of it was sent, or the upstream states that it did not run it. A
 * stream that has started is resumed from a KV copy, or run again from the start
 * if its route allows that. The functions keep no state, do no I/O and read no
 * clock. retry_budget.h limits the retries of a service.
 */
#ifndef FLAMINGOLATCH_ATTEMPT_H
#define FLAMINGOLATCH_ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/** How an attempt ended. */
enum attempt_outcome {
	ATTEMPT_NOT_SENT, /**< no byte left this process */
	ATTEMPT_NOT_RUN,  /**< the upstream states that it did not run the request */
	ATTEMPT_BROKEN,	  /**< connection broke, or answer malformed or of another service */
	ATTEMPT_SILENT,	  /**< no progress for too long */
	ATTEMPT_ERROR,	  /**< a complete answer with a server error (5xx) */
	ATTEMPT_OUTCOME_COUNT
};

/** What to do next. */
enum attempt_action {
	ATTEMPT_ACTION_DELIVER, /**< pass the upstream's answer on */
	ATTEMPT_ACTION_RETRY,	/**< send to another upstream */
	ATTEMPT_ACTION_RESUME,	/**< resume the generation from its KV copy */
	ATTEMPT_ACTION_REFUSE,	/**< answer with an error; the request did not run */
	ATTEMPT_ACTION_FAIL,	/**< answer with an error; the request may have run */
	ATTEMPT_ACTION_CUT,	/**< end the answer, part of which has been passed on */
	ATTEMPT_ACTION_COUNT
};

/** An ended attempt, and what is possible now. */
struct attempt_summary {
	enum attempt_outcome outcome;
	bool idempotent;	 /**< the request may be executed more than once */
	bool answer_started;	 /**< a part of an answer has been passed on */
	bool may_have_run;	 /**< an earlier attempt may have executed the request */
	bool has_kv_copy;	 /**< another engine has a copy of the generation's KV cache */
	uint32_t executions;	 /**< attempts that may have executed it, this one included */
	uint32_t max_executions; /**< limit of @c executions */
	bool time_left;		 /**< enough time is left for a retry to be answered */
	bool upstream_available; /**< there is another upstream for the request */
	bool suspect;		 /**< engines crashed under requests like it */
	bool budget_left;	 /**< the service's retry budget allows a retry */
};

/** Returns what to do after an attempt. */
enum attempt_action attempt_decide(const struct attempt_summary *summary);
/** Returns the name of an outcome, as in the log. */
const char *attempt_outcome_name(enum attempt_outcome outcome);
/** Returns the name of an action, as in the log. */
const char *attempt_action_name(enum attempt_action action);

#endif
