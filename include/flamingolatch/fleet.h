/**
 * @file fleet.h
 * The upstreams that an instance knows from the instance list, with their state
 * and load.
 *
 * Order of calls: fleet_create(), fleet_put_entry() and fleet_remove_entry() as
 * the list changes, fleet_tick() periodically, fleet_destroy() last. A request
 * that uses an upstream holds a reference to it, see fleet_upstream_ref() and
 * fleet_upstream_unref(). Does no I/O and reads no clock; @c now_us is the time
 * of a monotonic clock.
 *
 * An upstream that starts again is a new incarnation, even under its old id:
 * load, failures and connections of the previous one do not carry over.
 *
 * Of several upstreams that are listed with one address, the one that started last
 * has it; of those that started at the same time, the one with the greatest id. The
 * others are displaced until its entry is removed or names another address. An
 * upstream of a service that is not configured has no address: such an entry may come
 * from another writer. So the order in which entries arrive does not matter.
 */
#ifndef FLAMINGOLATCH_FLEET_H
#define FLAMINGOLATCH_FLEET_H

#include "flamingolatch/upstream_limit.h"
#include "flamingolatch/upstream_quiet.h"
#include "flamingolatch/upstream_speed.h"
#include "flamingolatch/warm_up.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** State of an upstream. New work goes to ready and lapsed ones only. */
enum fleet_upstream_state {
	FLEET_UPSTREAM_READY,
	FLEET_UPSTREAM_LAPSED,	/**< entry expired around an outage of the store; may be renewed */
	FLEET_UPSTREAM_LEAVING, /**< shutting down: announced, or its entry was removed */
	FLEET_UPSTREAM_DISPLACED, /**< listed, but its address belongs to one that started later */
	FLEET_UPSTREAM_GONE,	  /**< ended, or replaced under its id */
	FLEET_UPSTREAM_STATE_COUNT
};

/** Distance between two upstreams, or between this instance and an upstream. */
enum fleet_upstream_distance {
	FLEET_SAME_ZONE,
	FLEET_SAME_REGION,
	FLEET_OTHER_REGION
};

/** An entry of the instance list. */
struct fleet_entry {
	const char *id;
	const char *service;
	const char *address; /**< "IP:port" */
	const char *zone;
	const char *software_version; /**< NULL when unknown */
	uint64_t started_ms; /**< wall clock time of the upstream's start; 0 when unknown */
	uint32_t slots;	     /**< requests that it works on at once; 0 when unknown */
	uint64_t age_ms;  /**< time since its start; 0 when unknown. Not a difference of entries */
	uint32_t cold_ms; /**< how much longer it is cold, see warm_up.h */
	bool leaving;	  /**< it announced its shutdown */
};

/** Load that one instance has placed on one upstream. */
struct fleet_load {
	uint32_t open;		  /**< requests sent and not finished */
	uint64_t kv_tokens;	  /**< KV cache size that they are expected to reach */
	uint64_t kv_used_tokens;  /**< KV cache size now, without prompts not read yet */
	uint64_t prefill_tokens;  /**< prompt tokens not read yet */
	uint32_t incoming_copies; /**< KV caches being copied to it */
};

struct fleet;
struct fleet_upstream;

/** Called when an upstream was added (@p previous is FLEET_UPSTREAM_GONE) or changed its state. */
typedef void (*fleet_state_cb)(void *ctx, struct fleet_upstream *up,
			       enum fleet_upstream_state previous);

/** Returns the region of a zone, or NULL. */
typedef const char *(*fleet_region_cb)(void *ctx, const char *zone);

/** @param zone zone of this instance */
struct fleet *fleet_create(const char *zone, fleet_region_cb region_of, fleet_state_cb changed,
			   void *ctx);
/** Frees a fleet, which may be NULL. An upstream is freed when its last reference is dropped. */
void fleet_destroy(struct fleet *fleet);

/** Adds an upstream, or updates it from its entry. An entry with another start time, address,
 * service, zone or software version is a new incarnation, which replaces the upstream that had its
 * id. */
void fleet_put_entry(struct fleet *fleet, const struct fleet_entry *entry, uint64_t now_us);
/**
 * Records that an entry is no longer listed.
 * @param lapse_until_us until when the entry may be listed again, since its upstream could not
 *        reach the store to renew it; 0 when the removal means that the upstream is leaving
 */
void fleet_remove_entry(struct fleet *fleet, const char *id, uint64_t lapse_until_us,
			uint64_t now_us);
/**
 * Records that the list was restored from an older copy. For a while, an entry that is older than
 * what is known of its upstream is put off: that of an earlier incarnation, or one without a
 * shutdown that is known. It takes effect if it is still listed at the end; that of an upstream
 * that has ended is removed before.
 */
void fleet_distrust_entries(struct fleet *fleet, uint64_t now_us);
/** Replaces the set of evacuated zones, to whose upstreams nothing is sent. The upstreams of a zone
 * that returns may have become cold meanwhile, and their entries say so late, so they count as
 * started now.
 * @param zones strings; the fleet takes a reference and expects no later change */
void fleet_set_evacuated(struct fleet *fleet, GPtrArray *zones, uint64_t now_us);
/** Replaces the set of configured services. Before the first call all services count as
 * configured.
 * @param services strings; the fleet takes a reference and expects no later change */
void fleet_set_services(struct fleet *fleet, GPtrArray *services, uint64_t now_us);
/** Tells whether fleet_set_evacuated() was called: before, nothing may be sent to any upstream. */
bool fleet_knows_evacuated(const struct fleet *fleet);
/** Marks upstreams whose lapse has ended as leaving, removes those that are gone, and makes those
 * ready again that were said to leave but are listed as before. */
void fleet_tick(struct fleet *fleet, uint64_t now_us);
/** Replaces the load that a peer reported for an upstream.
 * @param expires_us time from which fleet_expire_loads() removes all that the peer reported */
void fleet_set_peer_load(struct fleet *fleet, const char *id, const char *peer,
			 const struct fleet_load *load, uint64_t expires_us);
/** Removes the loads that a peer reported, when the peer has ended. */
void fleet_remove_peer(struct fleet *fleet, const char *peer);
/** Replaces the load that all instances of another zone have placed on an upstream.
 * @param key of the upstream, by fleet_upstream_key(); an unknown one is ignored
 * @return the upstream, or NULL */
struct fleet_upstream *fleet_set_zone_load(struct fleet *fleet, uint32_t key, const char *zone,
					   const struct fleet_load *load, uint64_t expires_us);
/** Removes the loads of a zone. */
void fleet_remove_zone(struct fleet *fleet, const char *zone);
/** Removes the loads of peers and zones whose time has passed. */
void fleet_expire_loads(struct fleet *fleet, uint64_t now_us);

/** Returns the current incarnation of an upstream, or NULL. */
struct fleet_upstream *fleet_find(struct fleet *fleet, const char *id);
/** Returns whether fleet_put_entry() would change nothing but for how long the upstream is cold. */
bool fleet_has_entry(const struct fleet *fleet, const struct fleet_entry *entry);
/** Returns whether an entry says of the cold time of its upstream what is known. Always true for a
 * service without terms for cold upstreams. */
bool fleet_has_cold_time(const struct fleet *fleet, const struct fleet_entry *entry,
			 uint64_t now_us);
/** Returns an upstream by fleet_upstream_key(), without a reference, or NULL. */
struct fleet_upstream *fleet_find_key(struct fleet *fleet, uint32_t key);
/** Returns the upstreams of a service in a stable order: an array of struct fleet_upstream. */
const GPtrArray *fleet_service_upstreams(struct fleet *fleet, const char *service);
/** Calls @p callback for each upstream that has open requests of this instance, and for others that
 * have been leaving since @p since_us or later: at most @p max_leaving, the latest first.
 * @p since_us must not decrease from call to call: those leaving since before it are dropped. */
void fleet_foreach_active(struct fleet *fleet, uint64_t since_us, uint32_t max_leaving,
			  void (*callback)(void *ctx, struct fleet_upstream *up), void *ctx);
/** Returns the ids of all known upstreams, for comparison with a full read of the list. The caller
 * frees the array, which owns its strings. */
GPtrArray *fleet_ids(struct fleet *fleet);
uint32_t fleet_count(const struct fleet *fleet);
/** Returns a digest of the listed entries: of their ids, services, addresses, zones, software
 * versions and start times. Two fleets with the same entries have the same digest, however they
 * came to have them. 0 while entries are put off, see fleet_distrust_entries(). */
uint64_t fleet_digest(const struct fleet *fleet, uint64_t now_us);
/** Calls @p callback for every known upstream. */
void fleet_foreach(struct fleet *fleet, void (*callback)(void *ctx, struct fleet_upstream *up),
		   void *ctx);
/** Calls @p callback with the entry of each upstream that is listed. Its strings are borrowed; its
 * cold time is 0 for a service without terms for cold upstreams. */
void fleet_foreach_entry(struct fleet *fleet, uint64_t now_us,
			 void (*callback)(void *ctx, const struct fleet_entry *entry), void *ctx);

/** @name One upstream
 * @{ */
/** Adds a reference. */
struct fleet_upstream *fleet_upstream_ref(struct fleet_upstream *up);
/** Drops a reference; the last one frees the upstream. */
void fleet_upstream_unref(struct fleet_upstream *up);
const char *fleet_upstream_id(const struct fleet_upstream *up);
/** Returns a name that differs from those of other incarnations under the same id. Connections are
 * reused within this scope only. */
const char *fleet_upstream_scope(const struct fleet_upstream *up);
const char *fleet_upstream_service(const struct fleet_upstream *up);
uint64_t fleet_upstream_started_ms(const struct fleet_upstream *up);
const char *fleet_upstream_address(const struct fleet_upstream *up);
const char *fleet_upstream_zone(const struct fleet_upstream *up);
/** Returns "" when it is unknown. A restart with another version is a new
 * incarnation. */
const char *fleet_upstream_software_version(const struct fleet_upstream *up);
/** Returns the region of its zone, or NULL when the zone is unknown. */
const char *fleet_upstream_region(const struct fleet_upstream *up);
enum fleet_upstream_state fleet_upstream_state(const struct fleet_upstream *up);
/** Tells whether its zone is evacuated: it continues what it runs and is sent nothing new. */
bool fleet_upstream_is_evacuated(const struct fleet_upstream *up);
const char *fleet_upstream_state_name(enum fleet_upstream_state state);
/** Returns the distance from this instance. */
enum fleet_upstream_distance fleet_upstream_distance(const struct fleet_upstream *up);
/** Returns the distance between two upstreams. */
enum fleet_upstream_distance fleet_upstream_distance_between(const struct fleet_upstream *a,
							     const struct fleet_upstream *b);
uint32_t fleet_upstream_slots(const struct fleet_upstream *up);
/** Returns when its shutdown became known; 0 while it is not leaving. */
uint64_t fleet_upstream_leaving_since_us(const struct fleet_upstream *up);
/** Returns whether its generations should be copied to other engines: it is leaving, or its entry
 * has lapsed, and at most half of the entries of its service have. An outage of the store makes
 * many entries lapse at once, which does not mean that their upstreams shut down. */
bool fleet_upstream_may_shut_down(const struct fleet_upstream *up);
/** Returns the time since its entry first appeared here, in us. */
uint64_t fleet_upstream_age_us(const struct fleet_upstream *up, uint64_t now_us);
/** Records that it is shutting down; no effect when that is known already. */
void fleet_upstream_set_leaving(struct fleet_upstream *up, uint64_t now_us);
/** Records that an upstream said in an answer that it leaves. It then leaves until its next start,
 * also for entries of the same start that are listed later. */
void fleet_upstream_record_departure(struct fleet_upstream *up, uint64_t now_us);
/** Returns the load placed by this instance. The code that sends requests updates it, and calls
 * fleet_upstream_mark_active() after an increase. */
struct fleet_load *fleet_upstream_own_load(struct fleet_upstream *up);
/** Returns the limit that it names in its answers. */
struct upstream_limit *fleet_upstream_limit(struct fleet_upstream *up);
/** Returns the limit while it is cold and warms up, to be read and updated. */
struct warm_up *fleet_upstream_cold_limit(struct fleet_upstream *up);
/** Returns the time for which it asked to be left alone, to be read and updated. */
struct upstream_quiet *fleet_upstream_quiet(struct fleet_upstream *up);
/** Returns its speed as far as it is learned, to be read and updated; a new incarnation starts
 * without any. */
struct upstream_speed *fleet_upstream_speed(struct fleet_upstream *up);
/** Makes fleet_foreach_active() visit the upstream while it has open requests of this instance. */
void fleet_upstream_mark_active(struct fleet_upstream *up);
/** Returns the sum of the loads reported by peers and of other zones. */
struct fleet_load fleet_upstream_peer_load(const struct fleet_upstream *up);
/** Returns the load that this instance and the peers that reported to it placed there: that of its
 * zone. */
struct fleet_load fleet_upstream_zone_load(const struct fleet_upstream *up);
/** Returns a number that names the incarnation of an upstream in reports between instances. */
uint32_t fleet_upstream_key(const struct fleet_upstream *up);
/** Counts the outcome of a request, for the failure share and the suspension.
 * @param answered the upstream sent an answer, which may be an error */
void fleet_upstream_record_outcome(struct fleet_upstream *up, bool succeeded, bool answered,
				   uint64_t now_us);
/** Ends all suspensions: the failures were those of the path of this instance. */
void fleet_end_suspensions(struct fleet *fleet);
/** Returns the share of recent requests that failed, 0 to 1. */
double fleet_upstream_failure_share(const struct fleet_upstream *up);
/** Returns whether it is suspended (circuit open), because several requests in a row got no answer.
 * A suspension ends after a delay; then the upstream is on probation until it answers. */
bool fleet_upstream_suspended(const struct fleet_upstream *up, uint64_t now_us);
/** Returns whether it was suspended and has not answered since. */
bool fleet_upstream_on_probation(const struct fleet_upstream *up);
/** Records that it sent something. */
void fleet_upstream_record_progress(struct fleet_upstream *up, uint64_t now_us);
/** Records that it got its first open request: its silence begins, unless it goes on from an
 * overdue request. */
void fleet_upstream_record_first_open(struct fleet_upstream *up, uint64_t now_us);
/** Records that a request was cancelled, since another upstream answered it first. If nothing came
 * from this one since it was sent, the upstream is not heard to be well: its silence goes on with
 * its next open request. */
void fleet_upstream_record_overdue(struct fleet_upstream *up, uint64_t sent_us);
/** Returns the time since its last progress, in us; 0 when this instance has no request open. */
uint64_t fleet_upstream_silent_us(const struct fleet_upstream *up, uint64_t now_us);
/** @} */

#endif
