#include "flamingolatch/retry_bucket.h"

#define RETRY_ONE_CENTI 100

void retry_init(struct retry *retry)
{
	retry->centi = RETRY_RESERVE_CENTI;
}

void retry_succeeded(struct retry *retry, uint64_t percent)
{
	retry->centi += percent;
	if (retry->centi > RETRY_MAX_CENTI)
		retry->centi = RETRY_MAX_CENTI;
}

bool retry_take(struct retry *retry)
{
	if (retry->centi < RETRY_ONE_CENTI)
		return false;
	retry->centi -= RETRY_ONE_CENTI;
	return true;
}
