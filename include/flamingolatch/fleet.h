/**
 * @file fleet.h
 * The upstreams that an instance knows from the instance list, their state
 * and the load on them.
 *
 * fleet_create(), fleet_list() and fleet_unlist() as the list changes,
 * fleet_tick() now and then, fleet_destroy() last. A request that uses an
 * upstream holds it by fups_hold() and fups_release(). Pure: no I/O, no clock.
 *
 * An upstream that starts again is a new one even under its old id: what was
 * known of the one before (load, failures, connections) does not carry over.
 */
#ifndef FLAMINGOLATCH_FLEET_H
#define FLAMINGOLATCH_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Whether an upstream may get new work. */
enum fups_state {
	FUPS_READY,
	FUPS_LAPSED,  /**< its entry expired around an outage of the list; it may be back */
	FUPS_LEAVING, /**< announced that it leaves, or its entry was removed */
	FUPS_GONE,    /**< ended, or replaced under its id or address */
	FUPS_STATE_COUNT
};

/** Where an upstream stands, seen from here. */
enum fups_distance {
	FUPS_SAME_ZONE,
	FUPS_SAME_REGION,
	FUPS_FAR
};

/** An entry of the instance list. */
struct fleet_listing {
	const char *id;
	const char *service;
	const char *address; /**< "IP:port" */
	const char *zone;
	uint64_t started_ms; /**< wall clock of the upstream's start; 0 when unknown */
	uint32_t slots;	     /**< requests worked on at once; 0 when unknown */
	uint32_t cold_ms;    /**< how much longer it is slow after its start */
	bool leaving;
};

/** Work on one engine, as far as one instance caused it. */
struct fups_load {
	uint32_t open;		 /**< requests sent and not ended */
	uint64_t kv_tokens;	 /**< memory that they are expected to reach */
	uint64_t prefill_tokens; /**< prompt tokens not read yet */
	uint32_t copies;	 /**< runs whose memory is being copied here */
};

struct fleet;
struct fups;

/** Called when an upstream changes its state. */
typedef void (*fleet_cb)(void *ctx, struct fups *up, enum fups_state was);

/** Returns the region of a zone, or NULL. */
typedef const char *(*fleet_region_of)(void *ctx, const char *zone);

struct fleet *fleet_create(const char *zone, fleet_region_of region_of, fleet_cb changed,
			   void *ctx);
void fleet_destroy(struct fleet *fleet);

/** Adds an upstream, or takes what its entry says now. */
void fleet_list(struct fleet *fleet, const struct fleet_listing *listing, uint64_t now_us);
/**
 * Takes note that an entry is gone.
 * @param lapse_until_us until when the entry may come back, since the list was
 *        out of reach of its upstreams; 0 when the removal tells that it leaves
 */
void fleet_unlist(struct fleet *fleet, const char *id, uint64_t lapse_until_us, uint64_t now_us);
/** Ends lapses that are over and forgets what is gone and unused. */
void fleet_tick(struct fleet *fleet, uint64_t now_us);
/** Replaces what a peer says of its load on an upstream.
 * @param until_us when it no longer counts, unless it is said again */
void fleet_set_peer(struct fleet *fleet, const char *id, const char *peer,
		    const struct fups_load *load, uint64_t until_us);
/** Forgets the load of a peer that ended. */
void fleet_drop_peer(struct fleet *fleet, const char *peer);

/** Returns the upstream that has an id now, or NULL. */
struct fups *fleet_find(struct fleet *fleet, const char *id);
/** Returns the upstreams of a service in a stable order: an array of struct fups. */
const GPtrArray *fleet_of_service(struct fleet *fleet, const char *service);
/** Calls @p each for upstreams that have own requests, and for those whose leaving became
 * known after @p since_us: at most @p left_most, the newest. */
void fleet_each_active(struct fleet *fleet, uint64_t since_us, uint32_t left_most,
		       void (*each)(void *ctx, struct fups *up), void *ctx);
/** Returns all ids listed now, for a comparison with a full read. */
GPtrArray *fleet_ids(struct fleet *fleet);
uint32_t fleet_count(const struct fleet *fleet);

/** @name One upstream
 * @{ */
struct fups *fups_hold(struct fups *up);
void fups_release(struct fups *up);
const char *fups_id(const struct fups *up);
/** Tells this incarnation from others of the same id; scopes its connections. */
const char *fups_scope(const struct fups *up);
const char *fups_service(const struct fups *up);
uint64_t fups_started_ms(const struct fups *up);
const char *fups_address(const struct fups *up);
const char *fups_zone(const struct fups *up);
enum fups_state fups_state(const struct fups *up);
const char *fups_state_name(enum fups_state state);
enum fups_distance fups_distance(const struct fups *up);
/** Returns the distance between two upstreams. */
enum fups_distance fups_distance_between(const struct fups *a, const struct fups *b);
uint32_t fups_slots(const struct fups *up);
/** When its leaving became known; 0 while it is not leaving. */
uint64_t fups_leaving_since_us(const struct fups *up);
/** Tells whether its runs are to be copied to other engines: it leaves, or its entry lapsed while
 * those of most others of its service stand. An outage takes the entries of many at once. */
bool fups_may_end(const struct fups *up);
/** Time since its entry first appeared here, in us. */
uint64_t fups_age_us(const struct fups *up, uint64_t now_us);
/** Tells that the upstream itself said that it leaves. */
void fups_set_leaving(struct fups *up, uint64_t now_us);
/** Own load; changed by whoever sends, who calls fups_touch() after adding to it. */
struct fups_load *fups_own(struct fups *up);
void fups_touch(struct fups *up);
/** Sum of the loads of peers that were heard of lately. */
struct fups_load fups_peers(const struct fups *up, uint64_t now_us);
/** Counts the outcome of a request for fups_failure_share() and the circuit.
 * @param answered the upstream answered at all */
void fups_outcome(struct fups *up, bool good, bool answered, uint64_t now_us);
/** Share of recent requests that failed, 0 to 1. */
double fups_failure_share(const struct fups *up);
/** Tells whether too many requests in a row went unanswered; half open after a delay. */
bool fups_suspended(const struct fups *up, uint64_t now_us);
/** Tells whether it has not answered since requests to it went unanswered. */
bool fups_on_probation(const struct fups *up);
/** The upstream sent something, or got its first open request. */
void fups_progress(struct fups *up, uint64_t now_us);
/** Returns for how long it has sent nothing though it has own requests open, in us. */
uint64_t fups_silent_us(const struct fups *up, uint64_t now_us);
/** @} */

#endif
