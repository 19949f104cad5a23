#include "flamingolatch/placement.h"

#include <glib.h>

/* Cost of the distance to an engine (same zone, same region, other region), in ms of time to the
 * first event: the round trip, and the use of the link between regions. */
static const double placement_distance_cost_ms[] = { 0.0, 40.0, 400.0 };

/* Cost of the distance when the KV cache must be copied. A copy to another zone takes twice as long
 * as one within the zone, and an engine that shuts down has time for a few copies only; a copy to
 * another region would not finish in time. */
static const double placement_copy_cost_ms[] = { 0.0, 700.0, 1e6 };

/* Largest random cost of an engine by its distance, in ms of time to the first event. It spreads
 * requests over equal engines. The figures of other zones are old, so without it all instances
 * there would send their requests to the few engines that were empty. */
static const double placement_jitter_max_ms[] = { 60.0, 600.0, 1200.0 };

/* Costs of an engine, in ms of time to the first event. */
#define PLACEMENT_CONCURRENT_COPY_MS	250.0 /* for each copy that shares its link */
#define PLACEMENT_STALENESS_MAX_MS	600
#define PLACEMENT_FULL_MEMORY_MS	600.0  /* for a full KV cache; in proportion below */
#define PLACEMENT_FAILURE_SHARE_MS	4000.0 /* when all requests fail; in proportion below */
#define PLACEMENT_FAILURE_SHARE_IGNORED 0.25   /* failures up to here are normal for a service */
#define PLACEMENT_OPEN_REQUEST_MS	0.3    /* by which each open generation delays it */

/* Costs of an upstream of a plain service, in open requests per slot. */
#define PLACEMENT_DEFAULT_SLOT_COUNT 6 /* of an upstream whose slots are unknown */
#define PLACEMENT_OPEN_PER_SLOT_MAX  4 /* beyond it a request would be answered too late */
#define PLACEMENT_OTHER_REGION_COST  2.0
#define PLACEMENT_SAME_REGION_COST   0.15
#define PLACEMENT_FAILURE_SHARE_COST 6.0
#define PLACEMENT_CONNECT_COST	     0.1 /* of opening a connection */

/* How much the time that a request takes itself counts by the speed of the upstream; that of the
 * requests before it counts in full. With 1, fast engines got 1.25 times the mean work for their
 * speed and idle slow ones none; with 0, first events were as late as with equal speeds
 * (bench_policy --uneven). */
#define PLACEMENT_OWN_SPEED_SHARE 0.5

const struct placement_params placement_default_params = {
	.max_kv_share = 0.92,
	.prefill_tokens_per_ms = 8.0,
	.freed_share_per_ms = 1.0 / 8000.0,
};

/* Returns a factor of speed by which a time may be divided. */
static double placement_speed(double speed)
{
	return speed > 0.0 ? speed : 1.0;
}

/* Returns by how much the time that a request takes itself differs from that at an upstream of
 * speed 1, as far as it counts. @param nominal the time at an upstream of speed 1 */
static double placement_own_time(double nominal, double speed)
{
	return PLACEMENT_OWN_SPEED_SHARE * nominal * (1.0 / speed - 1.0);
}

/* Returns how long the unread prompts of an engine wait until generations have freed the memory for
 * them, in ms. */
static double placement_memory_wait_ms(const struct placement_params *params, double unread_tokens,
				       const struct placement_engine *engine)
{
	double missing_tokens =
		(double)engine->used_kv_tokens + unread_tokens - (double)engine->kv_tokens;

	if (missing_tokens <= 0.0 || engine->used_kv_tokens == 0)
		return 0.0;
	return missing_tokens / ((double)engine->used_kv_tokens * params->freed_share_per_ms);
}

uint32_t placement_first_event_ms(const struct placement_params *params,
				  const struct placement_request *request,
				  const struct placement_engine *engine)
{
	double unread_tokens = (double)engine->prefill_tokens + (double)request->prompt_tokens;

	return (uint32_t)((unread_tokens / params->prefill_tokens_per_ms +
			   placement_memory_wait_ms(params, unread_tokens, engine)) /
				  placement_speed(engine->speed) +
			  PLACEMENT_OPEN_REQUEST_MS * engine->open);
}

uint32_t placement_late_ms(const struct placement_params *params,
			   const struct placement_request *request,
			   const struct placement_engine *engine)
{
	uint32_t first_ms = placement_first_event_ms(params, request, engine);

	if (request->first_event_left_ms == 0 || request->resumes || engine->prefill_tokens == 0)
		return 0;
	return first_ms > request->first_event_left_ms ? first_ms - request->first_event_left_ms
						       : 0;
}

/* Returns the part of a failure share that exceeds the ordinary errors of a service. */
static double placement_excess_failure_share(double share)
{
	return share > PLACEMENT_FAILURE_SHARE_IGNORED ? share - PLACEMENT_FAILURE_SHARE_IGNORED
						       : 0.0;
}

/* Returns the cost of an engine's distance, in ms. The load figures of other zones are old, and
 * other instances may have placed work there since, so their age adds to the cost. */
static double placement_distance_cost(const struct placement_request *request, uint32_t distance)
{
	uint32_t index = MIN(distance, 2);

	if (request->needs_kv_copy)
		return placement_copy_cost_ms[index];
	return placement_distance_cost_ms[index] +
	       (index ? MIN(request->stale_ms, PLACEMENT_STALENESS_MAX_MS) : 0);
}

/* Returns a pseudorandom cost, a hash of the seed and the index. A copy of a running generation has
 * no time for a slower way. */
static double placement_jitter_ms(const struct placement_request *request, uint32_t index,
				  uint32_t distance)
{
	uint32_t mixed = (request->jitter_seed + index * 2654435761U) * 2246822519U;
	double max_ms = placement_jitter_max_ms[request->needs_kv_copy ? 0 : MIN(distance, 2)];

	return max_ms * (mixed >> 16) / 65536.0;
}

int32_t placement_select_engine(const struct placement_params *params,
				const struct placement_request *request,
				const struct placement_engine *engines, uint32_t count)
{
	int32_t best = PLACEMENT_NONE;
	double best_score = 0.0;

	for (uint32_t i = 0; i < count; i++) {
		const struct placement_engine *engine = &engines[i];
		double max_kv_tokens =
			(double)engine->kv_tokens * (request->resumes ? 1.0 : params->max_kv_share);
		double needed_kv_tokens = (double)(engine->expected_kv_tokens +
						   request->prompt_tokens + request->output_tokens);
		double score;

		if (!engine->usable || engine->open >= engine->slots)
			continue;
		/* An empty engine may get a request that is larger than the limit. */
		if (needed_kv_tokens > max_kv_tokens && engine->expected_kv_tokens > 0)
			continue;
		score = placement_first_event_ms(params, request, engine) -
			placement_own_time((double)request->prompt_tokens /
						   params->prefill_tokens_per_ms,
					   placement_speed(engine->speed)) +
			placement_jitter_ms(request, i, engine->distance) +
			placement_distance_cost(request, engine->distance) +
			(request->needs_kv_copy
				 ? PLACEMENT_CONCURRENT_COPY_MS * engine->incoming_copies
				 : 0.0) +
			PLACEMENT_FULL_MEMORY_MS * needed_kv_tokens /
				(double)MAX(engine->kv_tokens, 1) +
			PLACEMENT_FAILURE_SHARE_MS *
				placement_excess_failure_share(engine->failure_share);
		if (best == PLACEMENT_NONE || score < best_score) {
			best = (int32_t)i;
			best_score = score;
		}
	}
	return best;
}

int32_t placement_select_upstream(const struct placement_upstream *ups, uint32_t count,
				  uint32_t draw)
{
	int32_t best = PLACEMENT_NONE;
	double best_score = 0.0;

	for (uint32_t n = 0; n < count; n++) {
		uint32_t i = (draw + n) % count;
		const struct placement_upstream *up = &ups[i];
		uint32_t slots = up->slots ? up->slots : PLACEMENT_DEFAULT_SLOT_COUNT;
		double speed = placement_speed(up->speed);
		double score = (double)up->open / slots / speed +
			       placement_own_time(1.0 / slots, speed) +
			       PLACEMENT_FAILURE_SHARE_COST *
				       placement_excess_failure_share(up->failure_share);

		if (!up->usable || up->open >= slots * PLACEMENT_OPEN_PER_SLOT_MAX)
			continue;
		if (up->distance)
			score += up->distance == 1 ? PLACEMENT_SAME_REGION_COST
						   : PLACEMENT_OTHER_REGION_COST;
		if (!up->connected)
			score += PLACEMENT_CONNECT_COST;
		if (best == PLACEMENT_NONE || score < best_score) {
			best = (int32_t)i;
			best_score = score;
		}
	}
	return best;
}
