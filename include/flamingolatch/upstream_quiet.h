/**
 * @file upstream_quiet.h
 * Leaves an upstream alone for the time that it asks for, and comes back to it
 * slowly.
 *
 * An upstream that turns a request away may say for how long it wants nothing from
 * this instance. The load that this answers is a service whose upstreams are
 * overrun: callers wait or come back, and all of them at the end of that time
 * would overrun it again. After the end one request tries; the number that may be
 * open grows by one with each answer, so that it doubles while those that are open
 * are answered, until it is of no account. Other instances come back at the same
 * time: a faster growth let six of them overrun the upstream again.
 *
 * upstream_quiet_ask() for each answer that asks; upstream_quiet_allows() before a
 * request is sent; upstream_quiet_record_answer() for other answers. All zeros is an
 * upstream that never asked. The module does no I/O and reads no clock. Times are
 * monotonic, in us.
 */
#ifndef FLAMINGOLATCH_UPSTREAM_QUIET_H
#define FLAMINGOLATCH_UPSTREAM_QUIET_H

#include <stdbool.h>
#include <stdint.h>

struct upstream_quiet {
	uint64_t until_us;	    /**< the latest end that was asked for; 0: none */
	uint32_t window;	    /**< requests that may be open after the end; 0: no limit */
	uint64_t invalid_logged_us; /**< when an unreadable wish was last logged; 0: never */
	uint64_t answer_us;	    /**< how long its answers take, smoothed; 0: not known */
};

/** Records that the upstream asked for a time; of several the one that ends last holds. */
void upstream_quiet_ask(struct upstream_quiet *quiet, uint64_t duration_us, uint64_t now_us);
/** Records an answer that does not ask for quiet. */
void upstream_quiet_record_answer(struct upstream_quiet *quiet, uint64_t now_us);
/** Records how long an answer took that does not ask for quiet. */
void upstream_quiet_record_duration(struct upstream_quiet *quiet, uint64_t duration_us);
/** Returns the number of requests that may be open after a number of answers.
 * @param window the number before them; 0, also as the result: no limit */
uint32_t upstream_quiet_grown_window(uint32_t window, uint32_t answers);
/** Returns whether a request may be sent now. @param open requests of this instance there */
bool upstream_quiet_allows(const struct upstream_quiet *quiet, uint32_t open, uint64_t now_us);
/** Returns the time until the upstream may be asked again, in us; 0 when it may. */
uint64_t upstream_quiet_left_us(const struct upstream_quiet *quiet, uint64_t now_us);

#endif
