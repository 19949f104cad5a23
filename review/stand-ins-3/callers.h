/**
 * @file callers.h
 * Callers that send one request after the other, each on a kept connection, and what became of the
 * requests.
 *
 * callers_create(), callers_run() to let time pass, callers_finish() when no more is sent;
 * callers_destroy() before common_close().
 */
#ifndef REVIEW_CALLERS_H
#define REVIEW_CALLERS_H

#include "common.h"

struct callers;

/** What became of the requests. */
struct callers_totals {
	uint32_t answered; /**< with 200 */
	uint32_t refused;  /**< with 503 */
	uint32_t lost;	   /**< of a kept connection, passed on to a replica; the connection ended
			    * without an answer */
	uint32_t other;
};

/** @param path as in struct testbed_request */
struct callers *callers_create(struct common *run, struct testbed_gateway *gateway, uint32_t count,
			       const char *path);
/** Has the callers send requests while the process runs. @param step called every few ms, or NULL
 */
void callers_run(struct callers *callers, uint32_t ms, void (*step)(void *ctx), void *ctx);
/** Judges the requests that ended since. */
void callers_finish(struct callers *callers);
const struct callers_totals *callers_totals(const struct callers *callers);
void callers_destroy(struct callers *callers);

#endif
