/**
 * @file relay_migrate.h
 * Hands a running generation from one engine to another.
 *
 * The load that it answers: engines that leave with one or two seconds of
 * notice and several long generations each. An engine copies one run after the
 * other, so a run is copied while it goes on, again until the engine's link is
 * idle, and stopped only for the last, short copy.
 *
 * An engine whose entry is missing after an outage of the instance list may
 * have announced so during it. Its runs are copied at once; they stop there
 * only when the entry stays away.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_MIGRATE_H
#define FLAMINGOLATCH_SERVE_RELAY_MIGRATE_H

#include "relay_state.h"

/** Goes on from the copy that the backup engine keeps. @param reason for the log */
void relay_take_over(struct relay *relay, const char *reason);
/** Begins to move a run off the engine that it is on. */
void relay_evacuate(struct relay *relay);
/** Whether a run is to be moved or copied now, since its engine leaves or may do so. */
bool relay_must_move(const struct relay *relay, uint64_t now_us);
/** Whether a run has a copy that is of no use any more, since its engine stays. */
bool relay_has_idle_copy(const struct relay *relay);

#endif
