/**
 * @file fresh.h
 * How long a configuration may be acted on without a new confirmation.
 *
 * An instance that is cut off from the store cannot know that a key was
 * revoked. fresh_init() sets the bound, fresh_confirm() takes the moment at
 * which a confirming read was sent, fresh_ok() tells whether requests with a
 * key may be passed on. The clock must count suspension. Pure.
 */
#ifndef FLAMINGOLATCH_FRESH_H
#define FLAMINGOLATCH_FRESH_H

#include <stdbool.h>
#include <stdint.h>

struct fresh {
	uint64_t bound_us;
	uint64_t confirmed_us; /**< 0 before the first confirmation */
};

void fresh_init(struct fresh *fresh, uint64_t bound_us);
/** @param sent_us when the read was sent, not when it was answered */
void fresh_confirm(struct fresh *fresh, uint64_t sent_us);
bool fresh_ok(const struct fresh *fresh, uint64_t now_us);
/** Returns the time since the last confirmed moment; UINT64_MAX before the first. */
uint64_t fresh_age_us(const struct fresh *fresh, uint64_t now_us);

#endif
