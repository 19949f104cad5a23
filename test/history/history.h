/**
 * @file history.h
 * Checks of what callers saw against what the stand-ins really did.
 *
 * A history is the JSON lines that the load tool recorded; the logs are those
 * of the stand-ins. Each check reads its inputs once and reports every
 * violation with "violation:" on standard output.
 */
#ifndef FLAMINGOLATCH_TEST_HISTORY_H
#define FLAMINGOLATCH_TEST_HISTORY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Reads JSON lines into an array; an unreadable last line is left out. */
json_t *history_read(const char *path);
/** Appends the lines of another file. */
void history_append(json_t *lines, const char *path);

/** What was checked, for reports. */
struct history_counts {
	uint64_t streams;
	uint64_t streams_ok;
	uint64_t calls;
	uint64_t attempts;
	uint64_t runs;
	uint64_t violations;
};

/**
 * Checks that each answer's tokens came once, in order, from one generation,
 * that a whole answer is whole, and that an incomplete one says why.
 */
void history_check_streams(const json_t *history, const json_t *engines,
			   struct history_counts *counts);
/**
 * Checks that each key ran at most once, that "not run" is true, that a
 * successful call ran, and that each caller got the answer to its own call.
 */
void history_check_calls(const json_t *history, const json_t *service,
			 struct history_counts *counts);
/** Checks that no instance went back to an older revision. @p log is the log of one. */
void history_check_revisions(const json_t *log, struct history_counts *counts);
/** Checks that the fencing numbers of an engine's orders never fall.
 * @return the number of orders */
uint64_t history_check_orders(const json_t *engine, struct history_counts *counts);
/** Checks that an engine got no new work after it left and @p grace_ms passed. */
void history_check_leaving(const json_t *engine, uint64_t grace_ms, struct history_counts *counts);

#endif
