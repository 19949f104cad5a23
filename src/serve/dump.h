/**
 * @file dump.h
 * The state of a gateway instance as JSON, for operators.
 */
#ifndef FLAMINGOLATCH_SERVE_DUMP_H
#define FLAMINGOLATCH_SERVE_DUMP_H

#include "env.h"
#include "store_watch.h"
#include "relay.h"

#include <jansson.h>

/** Returns settings, configuration version, upstreams with their load, and open requests as a new
 * JSON object; API keys are left out. */
json_t *dump_state(struct env *env, const struct store_watch *store_watch,
		   const struct relay *relay);

#endif
