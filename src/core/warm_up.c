#include "flamingolatch/warm_up.h"

#include <glib.h>
#include <math.h>

/* Entries that differ by less say the same: a row is read up to this long after it was written. */
#define WARM_UP_TOLERANCE_US (250ULL * 1000)
/* Part of the senders that belong to the upstream's zone. */
#define WARM_UP_ZONE_SHARE (2.0 / 3.0)

static const char *const warm_up_phase_names[WARM_UP_PHASE_COUNT] = { "warm", "cold", "ramp-up" };

/* helpers */

static bool warm_up_has_terms(const struct warm_up *warm_up)
{
	return warm_up->terms.cold_per_s > 0.0;
}

/* Returns when it is no longer cold. */
static uint64_t warm_up_until_us(const struct warm_up *warm_up)
{
	return MAX(warm_up->cold_until_us,
		   warm_up->started_us + warm_up->terms.cold_start_ms * 1000ULL);
}

/* Returns the requests that all instances together may have saved up at a limit. */
static double warm_up_burst(const struct warm_up *warm_up, double limit_per_s)
{
	double excess = limit_per_s * (warm_up->terms.overage - 1.0) + warm_up->terms.slack;

	return MAX(excess * WARM_UP_BURST_SHARE, 1.0);
}

/* Returns the requests that this instance may save up. */
static double warm_up_capacity(const struct warm_up *warm_up, uint64_t now_us)
{
	return MAX(warm_up_burst(warm_up, warm_up_limit_per_s(warm_up, now_us)) /
			   MAX(warm_up->senders, 1),
		   1.0);
}

/* Brings the tokens up to date. The rate at the last time is the lower one of a growing limit. */
static void warm_up_refill(struct warm_up *warm_up, uint64_t now_us)
{
	double rate = MAX(warm_up_rate_per_s(warm_up, warm_up->refilled_us), 0.0);
	double elapsed_s =
		now_us > warm_up->refilled_us ? (double)(now_us - warm_up->refilled_us) / 1e6 : 0.0;

	warm_up->tokens =
		MIN(warm_up->tokens + elapsed_s * rate, warm_up_capacity(warm_up, now_us));
	warm_up->refilled_us = MAX(now_us, warm_up->refilled_us);
}

/* Starts a cold time unless it is one already. What is saved up from before is void. One that
 * starts soon after another starts without requests saved up: an entry and an answer that
 * contradict each other would fill them again and again. */
static void warm_up_begin(struct warm_up *warm_up, uint64_t now_us)
{
	enum warm_up_phase phase = warm_up_phase(warm_up, now_us);

	if (phase == WARM_UP_COLD)
		return;
	warm_up->primed &= phase == WARM_UP_RAMP;
	warm_up->senders = 0;
	warm_up->tokens = 0.0;
	warm_up->refilled_us = now_us;
}

/* commands */

void warm_up_appear(struct warm_up *warm_up, uint64_t age_ms, uint64_t now_us)
{
	warm_up->started_us = now_us / 1000 > age_ms ? now_us - age_ms * 1000 : 1;
	warm_up->refilled_us = now_us;
}

void warm_up_return(struct warm_up *warm_up, uint64_t now_us)
{
	warm_up_begin(warm_up, now_us);
	warm_up->started_us = now_us;
}

void warm_up_set_terms(struct warm_up *warm_up, const struct warm_up_terms *terms)
{
	warm_up->terms = *terms;
}

void warm_up_hear(struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us)
{
	if (cold_ms == 0) {
		warm_up->cold_until_us = MIN(warm_up->cold_until_us, now_us);
		return;
	}
	warm_up_begin(warm_up, now_us);
	warm_up->cold_until_us = now_us + cold_ms * 1000ULL;
}

void warm_up_hear_answer(struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us)
{
	if (cold_ms > 0 && now_us + cold_ms * 1000ULL > warm_up->cold_until_us)
		warm_up_hear(warm_up, cold_ms, now_us);
}

void warm_up_set_part(struct warm_up *warm_up, uint32_t senders, uint64_t now_us)
{
	if (warm_up_phase(warm_up, now_us) == WARM_UP_WARM)
		return;
	warm_up_refill(warm_up, now_us);
	warm_up->senders = senders;
	if (senders == 0 || warm_up->primed)
		return;
	warm_up->primed = true;
	warm_up->tokens = warm_up_capacity(warm_up, now_us);
}

void warm_up_take(struct warm_up *warm_up, uint64_t now_us)
{
	if (warm_up_phase(warm_up, now_us) == WARM_UP_WARM)
		return;
	warm_up_refill(warm_up, now_us);
	warm_up->tokens -= 1.0;
}

bool warm_up_note(struct warm_up *warm_up, uint64_t now_us)
{
	enum warm_up_phase phase = warm_up_phase(warm_up, now_us);

	if (phase == warm_up->noted)
		return false;
	warm_up->noted = phase;
	return true;
}

/* queries */

bool warm_up_confirms(const struct warm_up *warm_up, uint32_t cold_ms, uint64_t now_us)
{
	uint64_t known_us = MAX(warm_up->cold_until_us, now_us);
	uint64_t heard_us = now_us + cold_ms * 1000ULL;

	return !warm_up_has_terms(warm_up) ||
	       MAX(known_us, heard_us) - MIN(known_us, heard_us) <= WARM_UP_TOLERANCE_US;
}

enum warm_up_phase warm_up_phase(const struct warm_up *warm_up, uint64_t now_us)
{
	uint64_t until_us = warm_up_until_us(warm_up);

	if (!warm_up_has_terms(warm_up))
		return WARM_UP_WARM;
	if (now_us < until_us)
		return WARM_UP_COLD;
	return now_us - until_us < WARM_UP_DOUBLINGS * WARM_UP_DOUBLING_MS * 1000ULL ? WARM_UP_RAMP
										     : WARM_UP_WARM;
}

const char *warm_up_phase_name(enum warm_up_phase phase)
{
	return warm_up_phase_names[phase];
}

uint32_t warm_up_cold_ms(const struct warm_up *warm_up, uint64_t now_us)
{
	if (warm_up_phase(warm_up, now_us) != WARM_UP_COLD)
		return 0;
	return (uint32_t)MIN((warm_up_until_us(warm_up) - now_us + 999) / 1000, G_MAXUINT32);
}

double warm_up_limit_per_s(const struct warm_up *warm_up, uint64_t now_us)
{
	uint64_t until_us = warm_up_until_us(warm_up);

	switch (warm_up_phase(warm_up, now_us)) {
	case WARM_UP_COLD:
		return warm_up->terms.cold_per_s;
	case WARM_UP_RAMP:
		return warm_up->terms.cold_per_s *
		       exp2((double)(now_us - until_us) / (WARM_UP_DOUBLING_MS * 1000.0));
	default:
		return -1.0;
	}
}

double warm_up_rate_per_s(const struct warm_up *warm_up, uint64_t now_us)
{
	double limit_per_s = warm_up_limit_per_s(warm_up, now_us);

	if (limit_per_s < 0.0)
		return limit_per_s;
	return warm_up->senders ? limit_per_s / warm_up->senders : 0.0;
}

bool warm_up_allows(const struct warm_up *warm_up, uint64_t now_us)
{
	struct warm_up current = *warm_up;

#if defined(FL_FAULT_EVERYBODY_SENDS)
	/* Deliberate defect, which the tests have to detect: a cold upstream is taken for a warm
	 * one. */
	return true;
#endif
	if (warm_up_phase(warm_up, now_us) == WARM_UP_WARM)
		return true;
	if (warm_up->senders == 0)
		return false;
	warm_up_refill(&current, now_us);
	return current.tokens >= 1.0;
}

/* helpers: parts */

/* Returns the weight of an instance for an upstream: the largest ones share its limit. The factors
 * are large odd constants that scatter similar hashes. */
static uint32_t warm_up_weight(uint32_t upstream_key, const char *name)
{
	uint32_t mixed = (g_str_hash(name) ^ upstream_key * 2654435761U) * 2246822519U;

	return (mixed ^ mixed >> 15) * 3266489917U;
}

uint32_t warm_up_senders(const struct warm_up *warm_up, const struct warm_up_view *view,
			 uint64_t now_us)
{
	const struct warm_up_member *own = &view->members[view->own];
	uint32_t weight = warm_up_weight(view->upstream_key, own->name);
	double limit_per_s = warm_up_limit_per_s(warm_up, now_us);
	uint32_t rank = 0; /* among those of its kind: of the upstream's zone, or not */
	uint32_t in_zone = 0;
	uint32_t senders;
	uint32_t zone_senders;

	if (limit_per_s < 0.0 || view->known_us == 0)
		return 0;
	if (warm_up_phase(warm_up, now_us) == WARM_UP_COLD &&
	    now_us < view->known_us + WARM_UP_SETTLE_MS * 1000ULL)
		return 0;
	senders = (uint32_t)MIN(warm_up_burst(warm_up, limit_per_s), view->count);
	for (uint32_t i = 0; i < view->count; i++) {
		in_zone += view->members[i].in_zone;
		rank += i != view->own && view->members[i].in_zone == own->in_zone &&
			warm_up_weight(view->upstream_key, view->members[i].name) > weight;
	}
	zone_senders = MIN((uint32_t)ceil(senders * WARM_UP_ZONE_SHARE), in_zone);
	zone_senders = MAX(zone_senders, senders - MIN(senders, view->count - in_zone));
	return rank < (own->in_zone ? zone_senders : senders - zone_senders) ? senders : 0;
}
