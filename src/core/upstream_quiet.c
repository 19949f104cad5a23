#include "flamingolatch/upstream_quiet.h"

/* More open requests than an upstream has from one instance. */
#define UPSTREAM_QUIET_WINDOW_MAX 64
/* Weight of the newest duration is one in this many. */
#define UPSTREAM_QUIET_SMOOTHING 4

void upstream_quiet_ask(struct upstream_quiet *quiet, uint64_t duration_us, uint64_t now_us)
{
#if defined(FL_FAULT_IGNORE_QUIET)
	/* Deliberate defect, which the tests have to detect: nothing is left alone. */
	return;
#endif
	if (now_us + duration_us > quiet->until_us)
		quiet->until_us = now_us + duration_us;
	quiet->window = 1;
}

void upstream_quiet_record_answer(struct upstream_quiet *quiet, uint64_t now_us)
{
	/* An answer to a request from before says nothing of the time after. */
	if (quiet->window == 0 || now_us < quiet->until_us)
		return;
	quiet->window = upstream_quiet_grown_window(quiet->window, 1);
}

void upstream_quiet_record_duration(struct upstream_quiet *quiet, uint64_t duration_us)
{
	if (quiet->answer_us == 0)
		quiet->answer_us = duration_us;
	else
		quiet->answer_us =
			(quiet->answer_us * (UPSTREAM_QUIET_SMOOTHING - 1) + duration_us) /
			UPSTREAM_QUIET_SMOOTHING;
}

uint32_t upstream_quiet_grown_window(uint32_t window, uint32_t answers)
{
	if (window == 0 || answers > UPSTREAM_QUIET_WINDOW_MAX - window)
		return 0;
	return window + answers;
}

bool upstream_quiet_allows(const struct upstream_quiet *quiet, uint32_t open, uint64_t now_us)
{
#if defined(FL_FAULT_QUEUE_RETURNS)
	/* Deliberate defect, which the tests have to detect: all come back at the end. */
	return now_us >= quiet->until_us;
#endif
	return now_us >= quiet->until_us && (quiet->window == 0 || open < quiet->window);
}

uint64_t upstream_quiet_left_us(const struct upstream_quiet *quiet, uint64_t now_us)
{
	return now_us < quiet->until_us ? quiet->until_us - now_us : 0;
}
