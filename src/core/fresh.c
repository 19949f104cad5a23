#include "flamingolatch/fresh.h"

void fresh_init(struct fresh *fresh, uint64_t bound_us)
{
	fresh->bound_us = bound_us;
	fresh->confirmed_us = 0;
}

void fresh_confirm(struct fresh *fresh, uint64_t sent_us)
{
	if (sent_us > fresh->confirmed_us)
		fresh->confirmed_us = sent_us;
}

bool fresh_ok(const struct fresh *fresh, uint64_t now_us)
{
#if defined(FL_FAULT_STALE_KEYS)
	return fresh_age_us(fresh, now_us) < UINT64_MAX;
#endif
	return fresh_age_us(fresh, now_us) < fresh->bound_us;
}

uint64_t fresh_age_us(const struct fresh *fresh, uint64_t now_us)
{
	if (fresh->confirmed_us == 0)
		return UINT64_MAX;
	return now_us > fresh->confirmed_us ? now_us - fresh->confirmed_us : 0;
}
