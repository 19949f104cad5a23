#include "flamingolatch/retry_bucket.h"

#define RETRY_BUCKET_COST_CENTI 100 /* one retry */

void retry_bucket_init(struct retry_bucket *bucket)
{
	bucket->centi = RETRY_BUCKET_INITIAL_CENTI;
}

void retry_bucket_credit(struct retry_bucket *bucket, uint64_t percent)
{
	bucket->centi += percent;
	if (bucket->centi > RETRY_BUCKET_MAX_CENTI)
		bucket->centi = RETRY_BUCKET_MAX_CENTI;
}

bool retry_bucket_take(struct retry_bucket *bucket)
{
	if (bucket->centi < RETRY_BUCKET_COST_CENTI)
		return false;
	bucket->centi -= RETRY_BUCKET_COST_CENTI;
	return true;
}
