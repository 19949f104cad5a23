#include "flamingolatch/hedge.h"

#include <glib.h>
#include <math.h>

/* Response times are counted in buckets whose bounds grow by 2^(1/8), from 1 ms to 65 s. */
#define HEDGE_BUCKETS_PER_OCTAVE 8
#define HEDGE_BUCKET_COUNT	 (16 * HEDGE_BUCKETS_PER_OCTAVE + 1)
#define HEDGE_FIRST_BOUND_US	 1000.0
/* All counts are halved when their sum reaches this, so that older samples fade. */
#define HEDGE_MAX_SAMPLES 512

#define HEDGE_LATE_QUANTILE  0.95
#define HEDGE_EARLY_QUANTILE 0.9
/* Share of the objective after which a call is hedged. */
#define HEDGE_OBJECTIVE_SHARE 0.5
/* Above this share of taken slots a second execution delays others more than it helps one. */
#define HEDGE_MAX_TAKEN_SHARE 0.7
/* Share of the retry budget that is left for retries after failures. */
#define HEDGE_MIN_BUDGET_SHARE 0.5

#define HEDGE_MIN_WON_SHARE 0.1
/* Hedged requests that have to end before HEDGE_MIN_WON_SHARE applies. */
#define HEDGE_MIN_RESULTS 20
/* Both counts of results are halved at this number of hedged requests. */
#define HEDGE_MAX_RESULTS 64
/* While hedged requests rarely win, one in so many calls still tries. */
#define HEDGE_PROBE_INTERVAL 20

struct hedge {
	uint16_t counts[HEDGE_BUCKET_COUNT];
	uint32_t sample_count; /* sum of counts */
	uint32_t ended;	       /* recent hedged requests that ended */
	uint32_t won;	       /* those of them that were answered first */
	uint32_t held_off;     /* calls not hedged since hedged requests rarely win */
	double tokens;	       /* hedged requests that the share allows now */
};

static const char *const hedge_verdict_names[HEDGE_VERDICT_COUNT] = {
	"send",	       "stopping",  "no-attempt", "no-time",	"harmful",
	"rarely-wins", "pool-busy", "budget-low", "share-used", "no-upstream",
};

struct hedge *hedge_create(void)
{
	return g_new0(struct hedge, 1);
}

void hedge_destroy(struct hedge *hedge)
{
	g_free(hedge);
}

/* helpers */

static double hedge_bound_us(uint32_t bucket)
{
	return HEDGE_FIRST_BOUND_US * exp2((double)bucket / HEDGE_BUCKETS_PER_OCTAVE);
}

static uint32_t hedge_bucket(uint64_t duration_us)
{
	double octaves = log2(MAX((double)duration_us, 1.0) / HEDGE_FIRST_BOUND_US);
	double bucket = ceil(octaves * HEDGE_BUCKETS_PER_OCTAVE);

	return (uint32_t)CLAMP(bucket, 0.0, (double)(HEDGE_BUCKET_COUNT - 1));
}

/* Tells whether hedged requests rarely win, except for the calls that try whether they do again. */
static bool hedge_holds_off(struct hedge *hedge, bool asked_before)
{
	if (hedge->ended < HEDGE_MIN_RESULTS || hedge_won_share(hedge) >= HEDGE_MIN_WON_SHARE)
		return false;
	return asked_before || ++hedge->held_off % HEDGE_PROBE_INTERVAL != 0;
}

/* commands */

void hedge_add_request(struct hedge *hedge, double share)
{
	hedge->tokens = MIN(hedge->tokens + share, HEDGE_MAX_TOKENS);
}

void hedge_add_response(struct hedge *hedge, uint64_t duration_us)
{
	hedge->counts[hedge_bucket(duration_us)]++;
	if (++hedge->sample_count < HEDGE_MAX_SAMPLES)
		return;
	hedge->sample_count = 0;
	for (uint32_t i = 0; i < HEDGE_BUCKET_COUNT; i++) {
		hedge->counts[i] /= 2;
		hedge->sample_count += hedge->counts[i];
	}
}

enum hedge_verdict hedge_decide(struct hedge *hedge, const struct hedge_view *view)
{
	if (view->stopping)
		return HEDGE_STOPPING;
	if (!view->attempt_left)
		return HEDGE_NO_ATTEMPT;
	if (view->left_us < hedge_quantile_us(hedge, 0.5))
		return HEDGE_NO_TIME;
	if (view->harmful)
		return HEDGE_HARMFUL;
#if defined(FL_FAULT_HEDGE_ALWAYS)
	/* Deliberate defect, which the tests have to detect: hedges without limits. */
	return HEDGE_SEND;
#endif
	if (view->held_back || view->taken_share > HEDGE_MAX_TAKEN_SHARE)
		return HEDGE_POOL_BUSY;
	if (view->budget_left_share < HEDGE_MIN_BUDGET_SHARE)
		return HEDGE_BUDGET_LOW;
	if (hedge->tokens < 1.0)
		return HEDGE_SHARE_USED;
	if (hedge_holds_off(hedge, view->asked_before))
		return HEDGE_RARELY_WINS;
	return HEDGE_SEND;
}

void hedge_take(struct hedge *hedge)
{
	hedge->tokens -= 1.0;
}

void hedge_add_result(struct hedge *hedge, bool won)
{
	hedge->ended++;
	hedge->won += won;
	if (hedge->ended >= HEDGE_MAX_RESULTS) {
		hedge->ended /= 2;
		hedge->won /= 2;
	}
}

/* queries */

uint64_t hedge_quantile_us(const struct hedge *hedge, double quantile)
{
	double wanted = quantile * hedge->sample_count;
	uint32_t seen = 0;

	for (uint32_t i = 0; i < HEDGE_BUCKET_COUNT; i++) {
		seen += hedge->counts[i];
		if (seen > 0 && seen >= wanted)
			return (uint64_t)ceil(hedge_bound_us(i));
	}
	return 0;
}

uint64_t hedge_delay_us(const struct hedge *hedge, uint64_t objective_us)
{
	uint64_t late_us = hedge_quantile_us(hedge, HEDGE_LATE_QUANTILE);
	uint64_t early_us = hedge_quantile_us(hedge, HEDGE_EARLY_QUANTILE);

	if (hedge->sample_count < HEDGE_MIN_SAMPLES)
		return HEDGE_DELAY_UNKNOWN;
	if (objective_us)
		late_us = MIN(late_us, (uint64_t)((double)objective_us * HEDGE_OBJECTIVE_SHARE));
	return MAX(late_us, early_us);
}

double hedge_tokens(const struct hedge *hedge)
{
	return hedge->tokens;
}

double hedge_won_share(const struct hedge *hedge)
{
	return hedge->ended ? (double)hedge->won / hedge->ended : 1.0;
}

const char *hedge_verdict_name(enum hedge_verdict verdict)
{
	return hedge_verdict_names[verdict];
}
