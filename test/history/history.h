/**
 * @file history.h
 * Checks a recorded history of requests against the logs of the servers.
 *
 * A history is the file that the load generator writes with --history: JSON
 * lines with the result of each request and each attempt of a call. The logs
 * are JSON lines of the fake engines and the fake service, or the log of an
 * entry. The files are read with history_read() and history_append(); each
 * history_check_*() function prints a line that starts with "violation:" for
 * each violation and adds to a struct history_counts, which starts zeroed.
 */
#ifndef FLAMINGOLATCH_TEST_HISTORY_H
#define FLAMINGOLATCH_TEST_HISTORY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Reads a file of JSON lines into an array. Lines that are not valid JSON are left out. */
json_t *history_read(const char *path);
/** Appends the lines of a file; a missing file adds none. */
void history_append(json_t *lines, const char *path);

/** Totals of the checks. */
struct history_counts {
	uint64_t generations; /**< streamed or not */
	uint64_t generations_complete;
	uint64_t calls;		/**< calls with an idempotency key */
	uint64_t call_attempts; /**< attempts of calls and lookups */
	uint64_t executions;	/**< of requests with an idempotency key, by the service */
	uint64_t violations;
};

/**
 * Checks every generation: its tokens arrived once, in order and from a single
 * generation; one that succeeded has all tokens that the engine produced; one
 * that failed has an error; and one that failed with "not run" in its only attempt
 * was started by no engine.
 * @param engines log lines of all fake engines
 */
void history_check_generations(const json_t *history, const json_t *engines,
			       struct history_counts *counts);
/**
 * Checks every call: an idempotency key was executed at most once, an attempt
 * answered with "not run" was not executed, a successful call was executed, and
 * its answer belongs to this call.
 * @param service log lines of the fake service
 */
void history_check_calls(const json_t *history, const json_t *service,
			 struct history_counts *counts);
/**
 * Checks that the revisions applied by an instance increase until it restarts.
 * @param log lines of one entry
 */
void history_check_revisions(const json_t *log, struct history_counts *counts);
/**
 * Checks that the fencing tokens of the orders to an engine never decrease.
 * @param engine log lines of one fake engine
 * @return the number of orders
 */
uint64_t history_check_orders(const json_t *engine, struct history_counts *counts);
/**
 * Checks that an engine received no new request later than @p grace_ms after it
 * announced that it leaves.
 */
void history_check_leaving(const json_t *engine, uint64_t grace_ms, struct history_counts *counts);

#endif
