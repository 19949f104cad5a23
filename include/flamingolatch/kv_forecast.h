/**
 * @file kv_forecast.h
 * Predicted memory of running generations, as a sum of fixed size.
 *
 * Every running generation adds, for each horizon (tokens from now), the
 * expected value and the variance of the KV memory that it will hold then.
 * Sums can be added, subtracted and sent to peers whatever the number of
 * generations. load_enter(), load_progress() as tokens arrive, load_leave().
 */
#ifndef FLAMINGOLATCH_LOAD_H
#define FLAMINGOLATCH_LOAD_H

#include "flamingolatch/length_survival.h"

#include <stdbool.h>
#include <stdint.h>

#define LOAD_HORIZONS 8

/** Horizons in tokens from now. */
extern const uint32_t load_horizon_tokens[LOAD_HORIZONS];

/** Mean and variance of KV tokens held at each horizon. */
struct load_sum {
	double mean[LOAD_HORIZONS];
	double var[LOAD_HORIZONS];
};

/** One running generation's part in a sum. */
struct load_item {
	const struct len *len;
	uint64_t prompt_tokens;
	uint64_t max_tokens;
	uint32_t bucket; /**< length bucket at the last update */
	struct load_sum part;
};

/** Sets the part of a generation that is about to start. */
void load_item_init(struct load_item *item, const struct len *len, uint64_t prompt_tokens,
		    uint64_t max_tokens);
/** Adds the item's part to a sum. */
void load_enter(struct load_sum *sum, const struct load_item *item);
/** Updates the item and the sum after progress.
 * @return true when the item moved to another length bucket */
bool load_progress(struct load_sum *sum, struct load_item *item, uint64_t produced);
/** Takes the item's part out of a sum. */
void load_leave(struct load_sum *sum, const struct load_item *item);

void load_add(struct load_sum *sum, const struct load_sum *other);
/** Adds a sum several times. */
void load_add_times(struct load_sum *sum, const struct load_sum *other, uint32_t times);
/** Returns the highest mean plus @p deviations over all horizons. */
double load_peak(const struct load_sum *sum, double deviations);

#endif
