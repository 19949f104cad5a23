#include "flamingolatch/freshness.h"

void freshness_init(struct freshness *freshness, uint64_t max_age_us)
{
	freshness->max_age_us = max_age_us;
	freshness->confirmed_us = 0;
}

void freshness_confirm(struct freshness *freshness, uint64_t sent_us)
{
	if (sent_us > freshness->confirmed_us)
		freshness->confirmed_us = sent_us;
}

bool freshness_is_current(const struct freshness *freshness, uint64_t now_us)
{
#if defined(FL_FAULT_STALE_KEYS)
	/* Deliberate defect, which the tests have to detect: ignores the limit. */
	return freshness_age_us(freshness, now_us) < UINT64_MAX;
#endif
	return freshness_age_us(freshness, now_us) < freshness->max_age_us;
}

uint64_t freshness_age_us(const struct freshness *freshness, uint64_t now_us)
{
	if (freshness->confirmed_us == 0)
		return UINT64_MAX;
	return now_us > freshness->confirmed_us ? now_us - freshness->confirmed_us : 0;
}
