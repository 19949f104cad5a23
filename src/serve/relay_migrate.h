/**
 * @file relay_migrate.h
 * Migrates a running generation from one engine to another.
 *
 * Designed for engines that leave with one or two seconds of notice and have
 * several long generations each. An engine copies the KV cache of one
 * generation at a time. So a generation keeps running while its KV cache is
 * copied; the copy is repeated until the engine's link is idle or its exit is
 * near, and the generation is stopped only for the last, short copy.
 *
 * An engine whose entry lapsed during an outage of the instance list may have
 * sent a shutdown notice meanwhile. Its generations are copied at once, but
 * keep running there; they continue elsewhere only if the entry does not come
 * back.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_MIGRATE_H
#define FLAMINGOLATCH_SERVE_RELAY_MIGRATE_H

#include "relay_state.h"

/** Resumes the generation from its backup; relay_has_backup() must be true.
 * @param reason for the log */
void relay_resume_from_backup(struct relay_request *request, const char *reason);
/** Starts to migrate a generation off its engine, or only to copy its KV cache while the engine's
 * entry is lapsed. Where engines cannot migrate, resumes from its backup, if any, when the engine
 * leaves. Does nothing when the generation is about to finish. */
void relay_migrate(struct relay_request *request);
/** Tells whether relay_migrate() is due: the engine leaves, or its entry lapsed and it may be
 * shutting down. */
bool relay_should_migrate(const struct relay_request *request, uint64_t now_us);
/** Tells whether a generation has a migration's KV copy that it does not need, since its engine is
 * ready again. */
bool relay_has_unneeded_copy(const struct relay_request *request);

#endif
