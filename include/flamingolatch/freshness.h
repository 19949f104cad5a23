/**
 * @file freshness.h
 * Limits the age of the configuration by which API keys are accepted.
 *
 * An instance that cannot reach the store does not learn that an API key was
 * revoked. It may therefore accept keys only while its last successful read
 * of the configuration is younger than a limit. Call freshness_init() first,
 * freshness_confirm() after each successful read, and freshness_is_current()
 * before a request with a key is accepted. Times are microseconds of a clock
 * that also runs while the machine is suspended, such as CLOCK_BOOTTIME. The
 * module does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_FRESHNESS_H
#define FLAMINGOLATCH_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

struct freshness {
	uint64_t max_age_us;
	uint64_t confirmed_us; /**< 0 before the first confirmation */
};

void freshness_init(struct freshness *freshness, uint64_t max_age_us);
/** Records a confirmation; an earlier one than the last is ignored.
 * @param sent_us when the read was sent; its answer may be as old as that */
void freshness_confirm(struct freshness *freshness, uint64_t sent_us);
/** Returns whether the last confirmation is younger than the limit; false before the first. */
bool freshness_is_current(const struct freshness *freshness, uint64_t now_us);
/** Returns the time since the last confirmation, in us; UINT64_MAX before the first. */
uint64_t freshness_age_us(const struct freshness *freshness, uint64_t now_us);

#endif
