/**
 * @file dispatch.h
 * Finds upstreams for requests and keeps count of the load that they cause.
 *
 * Decisions are those of placement.h; this file shows them the fleet. A generation
 * for which no engine has room waits by dsp_wait() until dsp_serve() grants it
 * an engine. Order of calls: dsp_create(), dsp_pick_*(), dsp_enter() when a
 * request is sent, dsp_leave() when it ended, dsp_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_DISPATCH_H
#define FLAMINGOLATCH_SERVE_DISPATCH_H

#include "env.h"

#include "flamingolatch/placement.h"

struct dsp;
struct dsp_ticket;

/** A request's part in the load on an upstream. */
struct dsp_part {
	struct fleet_upstream *up; /**< NULL while the request is on none */
	uint64_t kv_tokens;
	uint64_t prefill_tokens;
	bool copying; /**< memory is being copied there */
};

/** What a choice is made for. */
struct dsp_need {
	const char *service;
	const struct rt_engine *engine; /**< NULL for a plain service */
	struct placement_request place;
	bool once; /**< may run only once: is not sent where it may be lost, if there is a choice */
	const GPtrArray *tried; /**< upstreams not to be chosen; may be NULL */
	const struct fleet_upstream *avoid;
	const struct fleet_upstream
		*near; /**< distances count from it, not from here; may be NULL */
};

/** What a choice was based on, for the log. */
struct dsp_basis {
	uint32_t candidates;
	uint64_t load; /**< expected memory of the chosen engine, or open calls of the upstream */
	uint32_t
		late_ms; /**< how much later than wanted its first event would be; 0 when in time */
};

/** Called when a waiting generation gets an engine. */
typedef void (*dsp_granted)(void *ctx, struct fleet_upstream *up, const struct dsp_basis *basis);

struct dsp *dsp_create(struct env *env);
/** No ticket may be open. */
void dsp_destroy(struct dsp *dsp);

/** Returns an engine for a generation, or NULL when none has room, or none could begin in the
 * time that is left; dsp_basis::late_ms tells the latter. */
struct fleet_upstream *dsp_pick_engine(struct dsp *dsp, const struct dsp_need *need,
				       struct dsp_basis *basis);
/** Returns an upstream for a call, or NULL. */
struct fleet_upstream *dsp_pick_plain(struct dsp *dsp, const struct dsp_need *need,
				      struct dsp_basis *basis);
/** Returns a second engine that has memory to spare for a copy, or NULL. */
struct fleet_upstream *dsp_pick_backup(struct dsp *dsp, const struct dsp_need *need,
				       const struct fleet_upstream *main);
/** Tells whether any upstream of a service may get work. */
bool dsp_any(struct dsp *dsp, const char *service);

/** Counts a request on an upstream and holds it. */
void dsp_enter(struct dsp_part *part, struct fleet_upstream *up, uint64_t kv_tokens,
	       uint64_t prefill_tokens);
/** Counts a run's memory on the engine that it is copied to. */
void dsp_enter_copy(struct dsp_part *part, struct fleet_upstream *up, uint64_t kv_tokens);
/** Takes a new expectation of a generation's memory. */
void dsp_expect(struct dsp_part *part, uint64_t kv_tokens);
/** The engine has read the prompt. */
void dsp_prefilled(struct dsp_part *part);
void dsp_leave(struct dsp_part *part);

/** Lets a generation wait. @param priority 0 is first */
struct dsp_ticket *dsp_wait(struct dsp *dsp, const struct dsp_need *need, uint32_t priority,
			    dsp_granted granted, void *ctx);
/** Gives a wait up; not to be called once it was granted. */
void dsp_give_up(struct dsp *dsp, struct dsp_ticket *ticket);
/** Grants engines to waiting generations, in order. */
void dsp_serve(struct dsp *dsp);
uint32_t dsp_waiting(const struct dsp *dsp);

#endif
