/**
 * @file hedge.h
 * Decides when a call that is not answered yet is sent to a second upstream as
 * well, as a hedged request, whose answer counts if it comes first.
 *
 * The load that this answers is a service most of whose calls are answered in
 * time, while a few wait behind a slow upstream. A hedged request costs the
 * service a second execution, so each service has a budget: a share of its
 * requests, at most HEDGE_MAX_TOKENS at once. Under a load that slows the whole
 * service, hedging ends by itself: when many slots are taken, when the retry
 * budget is needed for failures, and when hedged requests rarely win.
 *
 * The time after which a call is hedged is learned from the response times of the
 * last few hundred calls of the service. One instance may see only one call a
 * second, so samples are weighted by their number, not by their age.
 *
 * hedge_create(); hedge_add_request() for each request of the service,
 * hedge_add_response() when the first attempt of a call ended, hedge_decide() for
 * a call that has waited for hedge_delay_us(), hedge_take() when the hedged
 * request is sent and hedge_add_result() when it ended; hedge_destroy() last. The
 * module does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_HEDGE_H
#define FLAMINGOLATCH_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/** Largest share of a service's requests that may be hedged. */
#define HEDGE_MAX_SHARE 0.2
/** Hedged requests that may be sent at once after a time without any. */
#define HEDGE_MAX_TOKENS 4.0
/** Response times that have to be known before a call is hedged: two above the 95th percentile. */
#define HEDGE_MIN_SAMPLES 40
/** Result of hedge_delay_us() while too few response times are known. */
#define HEDGE_DELAY_UNKNOWN UINT64_MAX

struct hedge;

/** Whether a call is hedged, or why it is not. */
enum hedge_verdict {
	HEDGE_SEND,
	HEDGE_STOPPING,	   /**< a planned stop has begun */
	HEDGE_NO_ATTEMPT,  /**< the route allows no further attempt */
	HEDGE_NO_TIME,	   /**< the second answer would come after the deadline */
	HEDGE_HARMFUL,	   /**< upstreams crashed under requests like it */
	HEDGE_RARELY_WINS, /**< less than one in ten hedged requests was answered first */
	HEDGE_POOL_BUSY,   /**< too many slots are taken, or an upstream asked to be left alone */
	HEDGE_BUDGET_LOW,  /**< too little of the retry budget is left */
	HEDGE_SHARE_USED,  /**< the share of the service's requests is used up */
	HEDGE_NO_UPSTREAM, /**< no other upstream is sound, quick and has room */
	HEDGE_VERDICT_COUNT
};

/** What hedge_decide() has to know of a call, its service and the instance. */
struct hedge_view {
	bool stopping;		  /**< a planned stop has begun */
	bool attempt_left;	  /**< a second attempt beside the open one is allowed */
	bool harmful;		  /**< upstreams crashed under requests like it */
	bool held_back;		  /**< an upstream of the service asked to be left alone */
	bool asked_before;	  /**< hedge_decide() was called for this call before */
	uint64_t left_us;	  /**< time until the deadline */
	double taken_share;	  /**< known share of the service's slots that are taken */
	double budget_left_share; /**< share of the retry budget that is left, 0 to 1 */
};

struct hedge *hedge_create(void);
/** Accepts NULL. */
void hedge_destroy(struct hedge *hedge);
/** Counts a request for the service. @param share of the requests that may be hedged */
void hedge_add_request(struct hedge *hedge, double share);
/** Records how long the first attempt of a call took. For one that was cancelled since the hedged
 * request was answered first, the time until then: it would have taken longer, but that time lies
 * above the percentiles that are used. */
void hedge_add_response(struct hedge *hedge, uint64_t duration_us);
/** Returns whether a call that has waited for hedge_delay_us() is hedged now, as far as its service
 * goes. The caller looks for the other upstream after that. */
enum hedge_verdict hedge_decide(struct hedge *hedge, const struct hedge_view *view);
/** Takes one hedged request from the share. */
void hedge_take(struct hedge *hedge);
/** Records that a hedged request ended. @param won its answer was passed on */
void hedge_add_result(struct hedge *hedge, bool won);

/** Returns how long a call is unanswered before it is hedged, in us: the 95th percentile or half of
 * the objective, whichever is earlier, but not before the 90th percentile.
 * @param objective_us of the route; 0: it has none */
uint64_t hedge_delay_us(const struct hedge *hedge, uint64_t objective_us);
/** Returns a quantile of the response times in us, rounded up by at most a ninth; 0 while none are
 * known. @param quantile 0 to 1 */
uint64_t hedge_quantile_us(const struct hedge *hedge, double quantile);
/** Returns the number of hedged requests that the share allows now. */
double hedge_tokens(const struct hedge *hedge);
/** Returns the share of the recent hedged requests that were answered first; 1 while none ended. */
double hedge_won_share(const struct hedge *hedge);
/** Returns the name of a verdict, as in the state dump. */
const char *hedge_verdict_name(enum hedge_verdict verdict);

#endif
