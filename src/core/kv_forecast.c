#include "flamingolatch/kv_forecast.h"

#include <math.h>
#include <string.h>

const uint32_t load_horizon_tokens[LOAD_HORIZONS] = { 0, 64, 256, 1024, 2048, 4096, 8192, 16384 };

/* helpers */

/* The part stays as it is until the next bucket, so it is taken at the middle. */
static uint64_t load_middle(uint64_t produced)
{
	uint32_t bucket = len_bucket(produced);

	return (len_bucket_start(bucket) + len_bucket_start(bucket + 1)) / 2;
}

static void load_compute(struct load_item *item, uint64_t produced)
{
	uint64_t middle = load_middle(produced);

	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		uint64_t then = middle + load_horizon_tokens[i];
		double alive = 0.0;
		double held = (double)(item->prompt_tokens + then);

		if (then <= item->max_tokens)
			alive = len_survival(item->len, middle, then);
		item->part.mean[i] = alive * held;
		item->part.var[i] = alive * (1.0 - alive) * held * held;
	}
	item->bucket = len_bucket(produced);
}

/* commands */

void load_item_init(struct load_item *item, const struct len *len, uint64_t prompt_tokens,
		    uint64_t max_tokens)
{
	memset(item, 0, sizeof(*item));
	item->len = len;
	item->prompt_tokens = prompt_tokens;
	item->max_tokens = max_tokens;
	load_compute(item, 0);
}

void load_enter(struct load_sum *sum, const struct load_item *item)
{
	load_add(sum, &item->part);
}

bool load_progress(struct load_sum *sum, struct load_item *item, uint64_t produced)
{
	if (len_bucket(produced) == item->bucket)
		return false;
	load_leave(sum, item);
	load_compute(item, produced);
	load_enter(sum, item);
	return true;
}

void load_leave(struct load_sum *sum, const struct load_item *item)
{
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		sum->mean[i] -= item->part.mean[i];
		sum->var[i] -= item->part.var[i];
	}
}

void load_add(struct load_sum *sum, const struct load_sum *other)
{
	load_add_times(sum, other, 1);
}

void load_add_times(struct load_sum *sum, const struct load_sum *other, uint32_t times)
{
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		sum->mean[i] += times * other->mean[i];
		sum->var[i] += times * other->var[i];
	}
}

/* queries */

double load_peak(const struct load_sum *sum, double deviations)
{
	double peak = 0.0;

	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		double at = sum->mean[i] + deviations * sqrt(fmax(sum->var[i], 0.0));

		peak = fmax(peak, at);
	}
	return peak;
}
