/**
 * @file stop_callers.h
 * Callers of one gateway around a planned stop. They connect shortly before SIGTERM
 * and send requests on these connections, some in pieces, until the process is gone.
 * What they and the upstreams see of each request is checked:
 * - one that was passed on gets a whole answer, unless its upstream broke off, its
 *   deadline or its route's timeout passed, or it was sent in the first
 *   STOP_CALLERS_EARLY_MS after the signal, its answer had begun and the upstream
 *   still worked on it in the last sixth of the grace period;
 * - one that was read and not passed on gets an answer;
 * - one that is answered 429 or 503 has not run and does not run later.
 *
 * stop_callers_open(), stop_callers_signalled() when SIGTERM is sent,
 * stop_callers_update() often until it returns false, stop_callers_check_refused()
 * when all upstreams have ended their work, stop_callers_free() last.
 */
#ifndef FLAMINGOLATCH_TEST_STOP_CALLERS_H
#define FLAMINGOLATCH_TEST_STOP_CALLERS_H

#include "raw_caller.h"

/** From SIGTERM on, requests of which the longest may be cut are sent for this long. */
#define STOP_CALLERS_EARLY_MS 3000

struct stop_callers;

struct stop_callers_conf {
	struct testbed_gateway *gateway; /**< ready */
	GRand *rand;			 /**< borrowed */
	uint32_t number;		 /**< distinguishes ids from those of other callers */
	uint32_t call_timeout_ms;	 /**< of the routes /once/ and /safe/ */
	/** Reports a violated guarantee. */
	void (*violation)(void *ctx, const char *text);
	/** Tells whether a fault was injected at an upstream since a time. */
	bool (*is_faulty)(void *ctx, const char *upstream, uint64_t since_ms);
	void *ctx; /**< of both callbacks */
};

/** @param stop_ms when the signal will be sent */
struct stop_callers *stop_callers_open(const struct stop_callers_conf *conf, uint64_t stop_ms);
void stop_callers_signalled(struct stop_callers *callers);
/** Sends what is due and reads answers. @return false when all connections have ended */
bool stop_callers_update(struct stop_callers *callers);
/** Checks that no refused request ran after its refusal. */
void stop_callers_check_refused(const struct stop_callers *callers);
/** Returns the number of requests that were sent whole after the signal. */
uint32_t stop_callers_count(const struct stop_callers *callers);
void stop_callers_free(struct stop_callers *callers);

#endif
