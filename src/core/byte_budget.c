#include "flamingolatch/byte_budget.h"

#define BUDGET_US_PER_S 1e6

static void budget_refill(struct budget *budget, uint64_t now_us)
{
	double rate = (double)budget->rate_bytes_per_s;

	if (now_us <= budget->at_us)
		return;
	budget->bytes += rate * (double)(now_us - budget->at_us) / BUDGET_US_PER_S;
	if (budget->bytes > rate)
		budget->bytes = rate;
	budget->at_us = now_us;
}

void budget_init(struct budget *budget, uint64_t rate_bytes_per_s, uint64_t now_us)
{
	budget->rate_bytes_per_s = rate_bytes_per_s;
	budget->bytes = (double)rate_bytes_per_s;
	budget->at_us = now_us;
}

void budget_spend(struct budget *budget, uint64_t bytes, uint64_t now_us)
{
	budget_refill(budget, now_us);
	budget->bytes -= (double)bytes;
}

bool budget_has(struct budget *budget, uint64_t now_us)
{
	budget_refill(budget, now_us);
	return budget->bytes > 0.0;
}
