/**
 * @file attempt.h
 * What happens after a request's send to an upstream ended: deliver, send
 * again, go on elsewhere, refuse or fail.
 *
 * A request that may run only once is sent again only where it is certain that
 * it did not run: nothing left this process, or the upstream says so. A stream
 * goes on only from a copy of its run, or anew where its route allows that.
 * Pure.
 */
#ifndef FLAMINGOLATCH_AGAIN_H
#define FLAMINGOLATCH_AGAIN_H

#include <stdbool.h>
#include <stdint.h>

/** How a send ended. */
enum again_outcome {
	AGAIN_NOT_SENT, /**< no byte left this process */
	AGAIN_NOT_RUN,	/**< the upstream states that it did not run the request */
	AGAIN_BROKEN,	/**< the connection broke, or the answer is not the upstream's */
	AGAIN_SILENT,	/**< no progress for too long */
	AGAIN_ERROR,	/**< a whole answer that says that the upstream failed */
	AGAIN_OUTCOME_COUNT
};

enum again_action {
	AGAIN_DELIVER,	 /**< pass the upstream's answer on */
	AGAIN_REPEAT,	 /**< send to another upstream */
	AGAIN_TAKE_OVER, /**< go on from the copy of the run's memory */
	AGAIN_REFUSE,	 /**< tell the caller that it did not run */
	AGAIN_FAIL,	 /**< tell the caller that the outcome is not known */
	AGAIN_CUT,	 /**< break the answer off; a part of it has been passed on */
	AGAIN_ACTION_COUNT
};

struct again_case {
	enum again_outcome outcome;
	bool repeatable;   /**< may run more than once */
	bool begun;	   /**< a part of an answer has been passed on */
	bool may_have_run; /**< by an earlier send */
	bool has_copy;	   /**< a copy of the run's memory is at another engine */
	uint32_t runs;	   /**< sends that may have run, this one included */
	uint32_t max_runs;
	bool time_left;	    /**< enough for another send to be answered */
	bool upstream_left; /**< another upstream may take it */
	bool budget_left;   /**< a further send is within the service's budget */
};

enum again_action again_decide(const struct again_case *c);
const char *again_outcome_name(enum again_outcome outcome);
const char *again_action_name(enum again_action action);

#endif
