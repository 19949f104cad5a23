#include "flamingolatch/placement.h"

#include <glib.h>

/* Round trips of a zone, a region and between regions, and what they cost of
 * the link between regions; in ms of a first event's time. */
static const double place_distance_ms[] = { 0.0, 40.0, 400.0 };

/* A copy to another zone takes twice as long as one within it, and an engine that leaves has
 * time for a few copies only; between regions none ends in time. */
static const double place_copy_ms[] = { 0.0, 700.0, 1e6 };

#define PLACE_COPY_MS	       250.0 /* copies into an engine share its link */
#define PLACE_STALE_MOST_MS    600
#define PLACE_JITTER_MS	       60.0 /* a tenth of a prompt's time, between engines that look alike */
#define PLACE_MEMORY_MS	       600.0 /* weight of a full engine against an empty one */
#define PLACE_FAILURE_MS       4000.0
#define PLACE_FAILURE_IGNORED  0.25 /* ordinary errors of a service */
#define PLACE_STEP_MS	       0.3  /* that each open generation adds to a first event */
#define PLACE_PLAIN_SLOTS      6
#define PLACE_PLAIN_QUEUE      4 /* times the slots; beyond it a call would come too late */
#define PLACE_PLAIN_FAR	       2.0
#define PLACE_PLAIN_REGION     0.15
#define PLACE_PLAIN_FAILURES   6.0
#define PLACE_PLAIN_CONNECTION 0.1 /* worth of a connection that stands */

const struct place_rules place_default_rules = {
	.fill = 0.92,
	.prefill_tokens_per_ms = 8.0,
};

uint32_t place_first_event_ms(const struct place_rules *rules, const struct place_need *need,
			      const struct place_engine *engine)
{
	double unread = (double)engine->prefill_tokens + (double)need->prompt_tokens;

	return (uint32_t)(unread / rules->prefill_tokens_per_ms + PLACE_STEP_MS * engine->open);
}

uint32_t place_late_ms(const struct place_rules *rules, const struct place_need *need,
		       const struct place_engine *engine)
{
	uint32_t first_ms = place_first_event_ms(rules, need, engine);

	if (need->left_ms == 0 || need->resumes || engine->prefill_tokens == 0)
		return 0;
	return first_ms > need->left_ms ? first_ms - need->left_ms : 0;
}

static double place_failure(double share)
{
	return share > PLACE_FAILURE_IGNORED ? share - PLACE_FAILURE_IGNORED : 0.0;
}

/* What is known of other zones is old: engines there may have been chosen by others too. */
static double place_distance(const struct place_need *need, uint32_t distance)
{
	uint32_t at = MIN(distance, 2);

	if (need->copies)
		return place_copy_ms[at];
	return place_distance_ms[at] + (at ? MIN(need->stale_ms, PLACE_STALE_MOST_MS) : 0);
}

/* Differs from engine to engine and from draw to draw. */
static double place_jitter(uint32_t draw, uint32_t index)
{
	uint32_t mixed = (draw + index * 2654435761U) * 2246822519U;

	return PLACE_JITTER_MS * (mixed >> 16) / 65536.0;
}

int32_t place_engine(const struct place_rules *rules, const struct place_need *need,
		     const struct place_engine *engines, uint32_t count)
{
	int32_t best = PLACE_NONE;
	double best_score = 0.0;

	for (uint32_t i = 0; i < count; i++) {
		const struct place_engine *engine = &engines[i];
		double limit = (double)engine->kv_tokens * (need->resumes ? 1.0 : rules->fill);
		double held =
			(double)(engine->kv_expected + need->prompt_tokens + need->output_tokens);
		double score;

		if (!engine->usable || engine->open >= engine->slots)
			continue;
		/* A request that is larger than the limit may still have an empty engine. */
		if (held > limit && engine->kv_expected > 0)
			continue;
		score = place_first_event_ms(rules, need, engine) + place_jitter(need->draw, i) +
			place_distance(need, engine->distance) +
			(need->copies ? PLACE_COPY_MS * engine->copies : 0.0) +
			PLACE_MEMORY_MS * held / (double)MAX(engine->kv_tokens, 1) +
			PLACE_FAILURE_MS * place_failure(engine->failure_share);
		if (best == PLACE_NONE || score < best_score) {
			best = (int32_t)i;
			best_score = score;
		}
	}
	return best;
}

int32_t place_plain(const struct place_plain *ups, uint32_t count, uint32_t draw)
{
	int32_t best = PLACE_NONE;
	double best_score = 0.0;

	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (draw + n) % count;
		const struct place_plain *up = &ups[i];
		uint32_t slots = up->slots ? up->slots : PLACE_PLAIN_SLOTS;
		double score = (double)up->open / slots +
			       PLACE_PLAIN_FAILURES * place_failure(up->failure_share);

		if (!up->usable || up->open >= slots * PLACE_PLAIN_QUEUE)
			continue;
		if (up->distance)
			score += up->distance == 1 ? PLACE_PLAIN_REGION : PLACE_PLAIN_FAR;
		if (!up->connected)
			score += PLACE_PLAIN_CONNECTION;
		if (best == PLACE_NONE || score < best_score) {
			best = (int32_t)i;
			best_score = score;
		}
	}
	return best;
}
