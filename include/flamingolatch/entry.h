/**
 * @file entry.h
 * An entry instance: the HTTP server that places callers' requests on upstreams.
 *
 * entry_create() opens the ports; entry_run() serves until SIGTERM or SIGINT and
 * until all requests open at that time have ended; entry_destroy() frees. It uses
 * the default event loop, so a process has at most one instance.
 */
#ifndef FLAMINGOLATCH_ENTRY_H
#define FLAMINGOLATCH_ENTRY_H

#include "flamingolatch/settings.h"

struct entry;

/**
 * Creates an instance and opens its ports.
 * @param settings owned by the instance from here on, also if the call fails
 * @return the instance, or NULL with ERR_IO or ERR_SETTINGS
 */
struct entry *entry_create(struct settings *settings, GError **error);
/** Serves until the instance has been stopped by a signal. */
void entry_run(struct entry *entry);
/** Frees the instance and its settings; @p entry may be NULL. */
void entry_destroy(struct entry *entry);

#endif
