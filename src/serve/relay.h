/**
 * @file relay.h
 * The life of a caller's request: routing, sending, passing the answer on.
 *
 * rly_create(), rly_handle() as the handler of the callers' port, rly_tick()
 * every few ms, rly_serve() once in each round of the loop, rly_destroy() last. What to do when a
 * send ends is decided by again.h, where a request goes by dispatch.h.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_H
#define FLAMINGOLATCH_SERVE_RELAY_H

#include "dispatch.h"
#include "env.h"

#include <jansson.h>

struct rly;

struct rly *rly_create(struct env *env, struct dsp *dsp);
/** No request may be open. */
void rly_destroy(struct rly *rly);
/** A http_server_handler(); @p ctx is the struct rly. */
void rly_handle(void *ctx, struct http_req *req);
/** Looks at deadlines, waits and silent streams. */
void rly_tick(struct rly *rly);
/** Grants engines that became free to generations that wait. */
void rly_serve(struct rly *rly);
/** Returns the requests under way for the state dump, at most @p most of them. */
json_t *rly_state(const struct rly *rly, uint32_t most);
/** Returns the requests that are not answered in full. */
uint32_t rly_open(const struct rly *rly);

#endif
