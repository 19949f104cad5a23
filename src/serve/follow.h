/**
 * @file follow.h
 * Follows the configuration and the instance list in the store.
 *
 * fol_create() starts to read both, fol_destroy() stops. What is learned goes
 * into the fleet and, for a newer configuration, to the callback. Each answer
 * about the configuration confirms it as of the moment at which its call was
 * sent.
 */
#ifndef FLAMINGOLATCH_SERVE_FOLLOW_H
#define FLAMINGOLATCH_SERVE_FOLLOW_H

#include "env.h"

struct fol;

/** Called with a newer configuration; takes a reference when it keeps it. */
typedef void (*fol_config_cb)(void *ctx, struct rt_config *config);

struct fol *fol_create(struct env *env, fol_config_cb cb, void *ctx);
void fol_destroy(struct fol *fol);
/** Tells whether configuration and instance list were read at least once. */
bool fol_synced(const struct fol *fol);

#endif
