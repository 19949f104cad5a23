/**
 * @file change_log.h
 * The last changes of a list, each as a message, for readers that lack only these.
 *
 * The load that this answers is a list of thousands of entries that changes several
 * times a second, with a hundred readers that state how far they are: each query
 * that crosses a change on its way would otherwise be answered with the whole list.
 *
 * change_log_add() with every change in order; change_log_first_us() with the position
 * that a reader states tells whether the log has what the reader lacks, and whether
 * that may still be on its way; change_log_foreach_since() visits it. The module does no I/O and
 * reads no clock.
 */
#ifndef FLAMINGOLATCH_CHANGE_LOG_H
#define FLAMINGOLATCH_CHANGE_LOG_H

#include "flamingolatch/store_history.h"

#include <glib.h>

struct change_log;

/** Creates an empty log that drops its oldest changes beyond either limit.
 * @param max_bytes of all messages together */
struct change_log *change_log_create(uint32_t max_count, uint64_t max_bytes);
/** Frees a log, which may be NULL. */
void change_log_destroy(struct change_log *log);

/**
 * Adds the changes that lead from one position to the next. If they don't begin where the last ones
 * ended, some are missing in between, and the log begins anew.
 * @param message takes a reference of its own
 */
void change_log_add(struct change_log *log, struct store_position from, struct store_position to,
		    GBytes *message, uint64_t now_us);

/** Returns when the first of the changes that lead from @p known to @p newest was added; 0 if the
 * log does not have all of them, none begins at @p known, or there are none. */
uint64_t change_log_first_us(const struct change_log *log, struct store_position known,
			     struct store_position newest);
/** Visits, in order, the messages that lead from @p known to @p newest; none if the log does not
 * have all of them. */
void change_log_foreach_since(const struct change_log *log, struct store_position known,
			      struct store_position newest,
			      void (*visit)(void *ctx, GBytes *message), void *ctx);

#endif
