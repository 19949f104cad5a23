/**
 * @file dispatch.h
 * Selects upstreams for requests, accounts for the load that they cause, and
 * queues generations, and calls while their upstreams are left alone.
 *
 * The placement rules are those of placement.h; this module applies them to the
 * fleet. A generation for which no engine has room is queued by
 * dispatch_enqueue() until dispatch_grant_queued() finds an engine for it. A call
 * waits by the rules of call_queue.h, see dispatch_enqueue_call().
 * Order of calls: dispatch_create(); dispatch_select_engine() or
 * dispatch_select_plain(), dispatch_load_add() when the request is sent,
 * dispatch_load_remove() when the attempt ended; dispatch_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_DISPATCH_H
#define FLAMINGOLATCH_SERVE_DISPATCH_H

#include "env.h"

#include "flamingolatch/admission.h"
#include "flamingolatch/placement.h"

struct dispatch;
/** A request in a queue. */
struct dispatch_queued;

/** Load of one request on an upstream. */
struct dispatch_load {
	struct fleet_upstream *up; /**< NULL while no load is counted */
	uint64_t kv_tokens;	   /**< expected size of the KV cache */
	uint64_t kv_used_tokens;   /**< its size now; 0 before the prompt is read */
	uint64_t prefill_tokens;
	bool is_copy; /**< a KV cache is being copied there */
};

/** Requirements by which an upstream is selected. */
struct dispatch_need {
	const char *service;
	const struct route_engine *engine; /**< NULL for a plain service */
	struct placement_request place;
	struct admission_item admission; /**< its class is ADMISSION_NONE where admission.h does
					  * not apply; then the others are unset */
	bool run_once; /**< may run only once: avoids upstreams that might lose it, if possible */
	bool queued;   /**< a call that waited, see call_queue_allows() */
	bool ignore_suspended; /**< suspended upstreams count as others do */
	/** Only an upstream of a plain service that is not suspect, answers as usual and has a free
	 * slot. */
	bool sound;
	uint64_t slow_us; /**< with @c sound: upstreams that take longer to answer are slow */
	const GPtrArray *excluded; /**< upstreams not to be selected; may be NULL */
	const struct fleet_upstream
		*avoid; /**< one more upstream not to be selected; may be NULL */
	/** Only upstreams of this software version; NULL for any. It must stay valid while the
	 * request is queued. */
	const char *software_version;
	const struct fleet_upstream *distance_from; /**< NULL counts distances from this instance */
	/** Tells whether the request may go to an upstream at all. Asked at each selection, since
	 * the configuration may change while a request is queued. NULL: to any. */
	bool (*allows)(void *ctx, const struct fleet_upstream *up);
	/** Tells whether the request may go to an upstream now; one that it may not go to yet
	 * counts as full. NULL: to any. */
	bool (*ready)(void *ctx, const struct fleet_upstream *up);
	void *allows_ctx; /**< of allows() and ready() */
};

/** Basis of a selection. Zero it before the call, which leaves fields that do not apply
 * unchanged. */
struct dispatch_decision {
	uint32_t candidates;
	/** Load of the selected upstream without this request: the expected KV cache in tokens for
	 * an engine, the number of open calls for another upstream. */
	uint64_t load;
	/** By how much the first event would be late, in ms; 0 when it would be in time. */
	uint32_t late_ms;
};

/** Called when a queued request gets an upstream. @param up NULL when it can no longer be answered
 * in its time and is refused; for a call @p decision is then all zeros, for a generation
 * dispatch_decision::late_ms is set */
typedef void (*dispatch_granted_cb)(void *ctx, struct fleet_upstream *up,
				    const struct dispatch_decision *decision);

/** @p env is borrowed and must outlive the result. */
struct dispatch *dispatch_create(struct env *env);
/** The queue must be empty. */
void dispatch_destroy(struct dispatch *dispatch);

/** Returns an engine for a generation, without a reference. NULL when none has room, or when the
 * first event would be late on the best one: then dispatch_decision::late_ms is not 0. */
struct fleet_upstream *dispatch_select_engine(struct dispatch *dispatch,
					      const struct dispatch_need *need,
					      struct dispatch_decision *decision);
/** Returns the time to the first event that is expected of an engine of nominal speed under the
 * load of @p up, without the load of this generation, in ms. */
uint32_t dispatch_nominal_first_event_ms(const struct dispatch *dispatch,
					 const struct dispatch_need *need,
					 const struct fleet_upstream *up);
/** Returns an upstream for a call to a plain service, without a reference, or NULL. */
struct fleet_upstream *dispatch_select_plain(struct dispatch *dispatch,
					     const struct dispatch_need *need,
					     struct dispatch_decision *decision);
/** Returns an engine other than @p main that has KV cache to spare for a backup, or NULL. */
struct fleet_upstream *dispatch_select_backup(struct dispatch *dispatch,
					      const struct dispatch_need *need,
					      const struct fleet_upstream *main);
/** Returns the share of the slots of a plain service's upstreams that are known to be taken; 1 when
 * it has no upstream. */
double dispatch_taken_share(struct dispatch *dispatch, const char *service);
/** Tells whether an upstream that a request may go to gets none now because of the limit that it
 * names or that it has while it is cold. */
bool dispatch_is_limited(struct dispatch *dispatch, const struct dispatch_need *need);
/** Returns the time until the first upstream that a request may go to can be asked again, in us,
 * when all of them asked to be left alone; otherwise 0. */
uint64_t dispatch_quiet_us(struct dispatch *dispatch, const struct dispatch_need *need);
/** Tells whether any upstream that a request may go to accepts new ones. */
bool dispatch_has_upstream(struct dispatch *dispatch, const struct dispatch_need *need);
/** Tells whether all upstreams that a request may go to otherwise are in evacuated zones, and there
 * is one. */
bool dispatch_is_evacuated(struct dispatch *dispatch, const struct dispatch_need *need);

/** Tells whether all upstreams that a request may go to are suspended, and there is one. Those that
 * are excluded count too. */
bool dispatch_all_suspended(struct dispatch *dispatch, const struct dispatch_need *need);

/** Adds a request's load to an upstream and takes a reference to it. */
void dispatch_load_add(struct dispatch_load *load, struct fleet_upstream *up, uint64_t kv_tokens,
		       uint64_t prefill_tokens);
/** Adds the load of a KV copy to the engine that receives it. */
void dispatch_load_add_copy(struct dispatch_load *load, struct fleet_upstream *up,
			    uint64_t kv_tokens);
/** Changes the expected size of a generation's KV cache; does nothing when no load is counted. */
void dispatch_load_set_kv_tokens(struct dispatch_load *load, uint64_t kv_tokens);
/** Sets the size of the KV cache now; does nothing when no load is counted. */
void dispatch_load_set_kv_used(struct dispatch_load *load, uint64_t kv_used_tokens);
/** Removes the prompt from the load: the engine has processed it. */
void dispatch_load_prefill_done(struct dispatch_load *load);
/** Removes the load and drops the reference; does nothing when no load is counted. */
void dispatch_load_remove(struct dispatch_load *load);

/**
 * Queues a generation. Where admission.h applies, its rules determine the order, and a generation
 * that would be late is refused; others are granted in the order of their arrival.
 * @param need copied; what it points to must stay valid while the generation is queued
 * @param priority 0 is first; among equal priorities the one queued first
 * @param granted called once from dispatch_grant_queued(), unless dispatch_dequeue() comes first
 * @return the queue entry; valid until @p granted returns or dispatch_dequeue()
 */
struct dispatch_queued *dispatch_enqueue(struct dispatch *dispatch,
					 const struct dispatch_need *need, uint32_t priority,
					 dispatch_granted_cb granted, void *ctx);
/**
 * Queues a call to a plain service whose upstreams are left alone. Call dispatch_call_fits()
 * before.
 * @param deadline_us when it is to be answered at the latest; the other parameters and the result
 *        as in dispatch_enqueue()
 */
struct dispatch_queued *dispatch_enqueue_call(struct dispatch *dispatch,
					      const struct dispatch_need *need, uint32_t priority,
					      uint64_t deadline_us, dispatch_granted_cb granted,
					      void *ctx);
/** Removes a request from its queue and frees the entry; not to be called once it was granted. */
void dispatch_dequeue(struct dispatch *dispatch, struct dispatch_queued *queued);
/** Grants engines to queued generations, in order, until no engine has room for the next one, and
 * upstreams to queued calls; refuses the calls that would be late. */
void dispatch_grant_queued(struct dispatch *dispatch);
/** Returns the number of queued generations. */
uint32_t dispatch_queue_length(const struct dispatch *dispatch);
/** Tells whether a generation that arrives has to queue behind others. */
bool dispatch_has_queued_before(const struct dispatch *dispatch, const struct dispatch_need *need);
/** Returns what is known of the memory that a refused generation waits for.
 * admission_room::late_ms and admission_room::left_ms are 0. */
struct admission_room dispatch_room(struct dispatch *dispatch, const struct dispatch_need *need);
/** Returns the share of a KV cache that others than urgent generations may fill. */
double dispatch_other_fill(struct dispatch *dispatch, const char *service,
			   const struct route_engine *engine);
/** Returns the number of queued calls of a service. */
uint32_t dispatch_queued_calls(const struct dispatch *dispatch, const char *service);
/** Tells whether a call that is queued now is expected to be answered in time, and there is room
 * for it in the queue. */
bool dispatch_call_fits(struct dispatch *dispatch, const struct dispatch_need *need,
			uint32_t priority, uint64_t deadline_us);
/** Tells whether an upstream of a service is left alone, or tried again after it was. */
bool dispatch_is_held_back(struct dispatch *dispatch, const struct dispatch_need *need);

#endif
