/**
 * @file kv_forecast.h
 * Predicts the KV cache that the generations of an engine will occupy.
 *
 * For each horizon (a number of tokens generated from now on) a forecast holds
 * the expected value and the variance of the occupied KV cache. Each running
 * generation contributes an item. The size of a forecast does not depend on the
 * number of generations; forecasts can be added, subtracted and sent to peers.
 * A forecast of zeros is empty. Order of calls: kv_forecast_item_init(),
 * kv_forecast_add_item() when a generation starts, kv_forecast_update_item() as
 * tokens arrive, kv_forecast_remove_item() when it ends. Does no I/O and reads no
 * clock.
 */
#ifndef FLAMINGOLATCH_KV_FORECAST_H
#define FLAMINGOLATCH_KV_FORECAST_H

#include "flamingolatch/length_survival.h"

#include <stdbool.h>
#include <stdint.h>

#define KV_FORECAST_HORIZON_COUNT 8

/** Horizons, in tokens generated from now on. */
extern const uint32_t kv_forecast_horizon_tokens[KV_FORECAST_HORIZON_COUNT];

/** Mean and variance of the number of tokens in the KV cache at each horizon. */
struct kv_forecast {
	double mean[KV_FORECAST_HORIZON_COUNT];
	double var[KV_FORECAST_HORIZON_COUNT];
};

/** One running generation, and its part in a forecast. */
struct kv_forecast_item {
	const struct length_survival *survival; /**< distribution of its output length */
	uint64_t prompt_tokens;
	uint64_t max_tokens; /**< largest output length allowed */
	uint32_t bucket;     /**< length bucket at the last update */
	struct kv_forecast part;
};

/** Initializes the item of a generation that is about to start.
 * @param survival distribution of its output length; must outlive the item */
void kv_forecast_item_init(struct kv_forecast_item *item, const struct length_survival *survival,
			   uint64_t prompt_tokens, uint64_t max_tokens);
/** Adds a generation to a forecast. */
void kv_forecast_add_item(struct kv_forecast *sum, const struct kv_forecast_item *item);
/** Updates a generation, and the forecast that it was added to, after it has generated tokens.
 * @param generated tokens generated so far
 * @return true when it reached another length bucket; otherwise nothing changes */
bool kv_forecast_update_item(struct kv_forecast *sum, struct kv_forecast_item *item,
			     uint64_t generated);
/** Removes a generation from the forecast that it was added to. */
void kv_forecast_remove_item(struct kv_forecast *sum, const struct kv_forecast_item *item);

/** Adds @p other to @p sum. */
void kv_forecast_add(struct kv_forecast *sum, const struct kv_forecast *other);
/** Adds @p other to @p sum several times. */
void kv_forecast_add_times(struct kv_forecast *sum, const struct kv_forecast *other,
			   uint32_t times);
/** Returns the largest use of the KV cache predicted for any horizon, in tokens.
 * @param deviations number of standard deviations added to the mean */
double kv_forecast_peak(const struct kv_forecast *sum, double deviations);

#endif
