#include "flamingolatch/planned_stop.h"

/* The process exits this long before it would be killed, at most; in a short grace period this
 * share of it. */
#define PLANNED_STOP_EXIT_MARGIN_US    350000ULL
#define PLANNED_STOP_EXIT_MARGIN_SHARE 12
/* Time for the answers of planned_stop_must_answer() to reach their callers. */
#define PLANNED_STOP_FLUSH_US 250000ULL

static uint64_t planned_stop_min(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

void planned_stop_begin(struct planned_stop *stop, uint64_t grace_us, uint64_t signal_us)
{
	uint64_t run_us;

	if (planned_stop_has_begun(stop))
		return;
	run_us = grace_us - planned_stop_min(PLANNED_STOP_EXIT_MARGIN_US,
					     grace_us / PLANNED_STOP_EXIT_MARGIN_SHARE);
	stop->begun_us = signal_us;
	stop->exit_us = signal_us + run_us;
	stop->answer_us = stop->exit_us - planned_stop_min(PLANNED_STOP_FLUSH_US, run_us / 2);
}

bool planned_stop_has_begun(const struct planned_stop *stop)
{
	return stop->begun_us > 0;
}

/* Returns when the balancer sends callers elsewhere; at half of a short grace period. */
static uint64_t planned_stop_unlisted_us(const struct planned_stop *stop)
{
	return stop->begun_us +
	       planned_stop_min(PLANNED_STOP_BALANCER_LAG_US, (stop->exit_us - stop->begun_us) / 2);
}

bool planned_stop_accepts(const struct planned_stop *stop, uint64_t deadline_us,
			  uint64_t expected_us, uint64_t now_us)
{
	if (!planned_stop_has_begun(stop))
		return true;
#if defined(FL_FAULT_TRUST_ESTIMATE)
	/* Deliberate defect, which the tests have to detect: takes what is expected for certain. */
	return now_us + expected_us <= stop->answer_us;
#endif
	if (deadline_us <= stop->answer_us)
		return true;
	return now_us < planned_stop_unlisted_us(stop) && now_us + expected_us <= stop->answer_us;
}

bool planned_stop_must_answer(const struct planned_stop *stop, uint64_t now_us)
{
	return planned_stop_has_begun(stop) && now_us >= stop->answer_us;
}

bool planned_stop_may_exit(const struct planned_stop *stop, uint64_t now_us)
{
	return planned_stop_has_begun(stop) && now_us >= planned_stop_unlisted_us(stop);
}

bool planned_stop_must_exit(const struct planned_stop *stop, uint64_t now_us)
{
	return planned_stop_has_begun(stop) && now_us >= stop->exit_us;
}
