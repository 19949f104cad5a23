#include "flamingolatch/kv_forecast.h"

#include <math.h>
#include <string.h>

const uint32_t kv_forecast_horizon_tokens[KV_FORECAST_HORIZON_COUNT] = { 0,    64,   256,  1024,
									 2048, 4096, 8192, 16384 };

/* helpers */

/* Returns the middle of the bucket of a length, in tokens. An item's part is computed for the
 * middle, since it is not updated within a bucket. */
static uint64_t kv_forecast_bucket_middle(uint64_t generated)
{
	uint32_t bucket = length_survival_bucket(generated);

	return (length_survival_bucket_start(bucket) + length_survival_bucket_start(bucket + 1)) /
	       2;
}

/* Computes the part of an item: at each horizon, the tokens of its prompt and output, weighted by
 * the probability that it is still running then. */
static void kv_forecast_item_compute(struct kv_forecast_item *item, uint64_t generated)
{
	uint64_t middle = kv_forecast_bucket_middle(generated);

	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		uint64_t length = middle + kv_forecast_horizon_tokens[i];
		double probability = 0.0;
		double kv_tokens = (double)(item->prompt_tokens + length);

		if (length <= item->max_tokens)
			probability = length_survival_probability(item->survival, middle, length);
		item->part.mean[i] = probability * kv_tokens;
		item->part.var[i] = probability * (1.0 - probability) * kv_tokens * kv_tokens;
	}
	item->bucket = length_survival_bucket(generated);
}

/* commands */

void kv_forecast_item_init(struct kv_forecast_item *item, const struct length_survival *survival,
			   uint64_t prompt_tokens, uint64_t max_tokens)
{
	memset(item, 0, sizeof(*item));
	item->survival = survival;
	item->prompt_tokens = prompt_tokens;
	item->max_tokens = max_tokens;
	kv_forecast_item_compute(item, 0);
}

void kv_forecast_add_item(struct kv_forecast *sum, const struct kv_forecast_item *item)
{
	kv_forecast_add(sum, &item->part);
}

bool kv_forecast_update_item(struct kv_forecast *sum, struct kv_forecast_item *item,
			     uint64_t generated)
{
	if (length_survival_bucket(generated) == item->bucket)
		return false;
	kv_forecast_remove_item(sum, item);
	kv_forecast_item_compute(item, generated);
	kv_forecast_add_item(sum, item);
	return true;
}

void kv_forecast_remove_item(struct kv_forecast *sum, const struct kv_forecast_item *item)
{
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		sum->mean[i] -= item->part.mean[i];
		sum->var[i] -= item->part.var[i];
	}
}

void kv_forecast_add(struct kv_forecast *sum, const struct kv_forecast *other)
{
	kv_forecast_add_times(sum, other, 1);
}

void kv_forecast_add_times(struct kv_forecast *sum, const struct kv_forecast *other, uint32_t times)
{
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		sum->mean[i] += times * other->mean[i];
		sum->var[i] += times * other->var[i];
	}
}

/* queries */

double kv_forecast_peak(const struct kv_forecast *sum, double deviations)
{
	double peak = 0.0;

	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		double bound = sum->mean[i] + deviations * sqrt(fmax(sum->var[i], 0.0));

		peak = fmax(peak, bound);
	}
	return peak;
}
