/**
 * @file entry.h
 * An entry instance as a program sees it.
 *
 * entry_create() opens the ports, entry_run() serves until a planned stop
 * (SIGTERM or SIGINT) has ended all requests, entry_destroy() frees.
 */
#ifndef FLAMINGOLATCH_ENTRY_H
#define FLAMINGOLATCH_ENTRY_H

#include "flamingolatch/settings.h"

struct entry;

/**
 * Creates an instance; it owns the settings from here on.
 * @return the instance, or NULL with ERR_IO or ERR_SETTINGS
 */
struct entry *entry_create(struct settings *set, GError **error);
/** Serves until the instance has stopped. */
void entry_run(struct entry *entry);
void entry_destroy(struct entry *entry);

#endif
