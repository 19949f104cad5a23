#include "flamingolatch/byte_budget.h"

#define BYTE_BUDGET_US_PER_S 1e6

static void byte_budget_refill(struct byte_budget *budget, uint64_t now_us)
{
	double rate = (double)budget->rate_bytes_per_s;

	if (now_us <= budget->refilled_us)
		return;
	budget->balance_bytes +=
		rate * (double)(now_us - budget->refilled_us) / BYTE_BUDGET_US_PER_S;
	if (budget->balance_bytes > rate)
		budget->balance_bytes = rate;
	budget->refilled_us = now_us;
}

void byte_budget_init(struct byte_budget *budget, uint64_t rate_bytes_per_s, uint64_t now_us)
{
	budget->rate_bytes_per_s = rate_bytes_per_s;
	budget->balance_bytes = (double)rate_bytes_per_s;
	budget->refilled_us = now_us;
}

void byte_budget_spend(struct byte_budget *budget, uint64_t bytes, uint64_t now_us)
{
	byte_budget_refill(budget, now_us);
	budget->balance_bytes -= (double)bytes;
}

bool byte_budget_available(struct byte_budget *budget, uint64_t now_us)
{
	byte_budget_refill(budget, now_us);
	return budget->balance_bytes > 0.0;
}
