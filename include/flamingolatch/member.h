/**
 * @file member.h
 * Gossip membership: which instances of a deployment are alive, as known to one
 * of them.
 *
 * Every instance increments its heartbeat counter and passes on the highest
 * heartbeats of others that it has received. A member whose heartbeat stops
 * advancing becomes suspect, then dead; a later heartbeat or a higher
 * incarnation makes it alive again.
 *
 * Call membership_create(), and membership_add_listed() for each instance of the
 * instance list. In each gossip round call membership_tick(), then
 * membership_select_peers(), membership_next_records() and
 * membership_next_heartbeats(), and send the result to the selected peers. What
 * arrives goes to membership_merge() and membership_merge_heartbeat(). Call
 * membership_destroy() last. The module does no I/O and reads no clock;
 * @c now_us is the time of a monotonic clock.
 */
#ifndef FLAMINGOLATCH_MEMBER_H
#define FLAMINGOLATCH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

/* Sizes with the terminating zero byte. */
#define MEMBER_ID_MAX_BYTES	 64
#define MEMBER_ADDRESS_MAX_BYTES 48

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /**< no new heartbeat for some seconds */
	MEMBER_DEAD,	/**< no new heartbeat for longer than that, or none received yet */
	MEMBER_LEFT,	/**< announced that it is leaving */
	MEMBER_STATE_COUNT
};

/** What instances announce to each other about a member. */
struct member_record {
	char id[MEMBER_ID_MAX_BYTES];
	char zone[MEMBER_ID_MAX_BYTES];
	char address[MEMBER_ADDRESS_MAX_BYTES]; /**< "IP:port" of its message bus */
	uint64_t incarnation; /**< start time in ms, higher after a restart; 0 if only listed */
	uint64_t heartbeat;   /**< incremented by the member itself */
	uint64_t revision;    /**< revision of the configuration in force there */
	bool leaving;	      /**< the member is shutting down */
};

/** Short form of a record, for receivers that have the full record already. */
struct member_heartbeat {
	uint32_t id_hash;     /**< low 32 bits of the hash of the member's id */
	uint32_t incarnation; /**< low 32 bits */
	uint32_t heartbeat;   /**< low 32 bits */
	uint32_t revision;    /**< low 32 bits */
};

struct membership;

/** Called when the state of another member changes. */
typedef void (*membership_changed_cb)(void *ctx, const struct member_record *record,
				      enum member_state state);

/**
 * @param self record of this instance; it is copied
 * @param changed may be NULL
 */
struct membership *membership_create(const struct member_record *self,
				     membership_changed_cb changed, void *ctx);
void membership_destroy(struct membership *membership);

/** Adds an instance from the instance list. It is dead until a heartbeat of it arrives, since being
 * listed does not show that it is alive. If it is known and dead, its address is updated. */
void membership_add_listed(struct membership *membership, const char *id, const char *zone,
			   const char *address, uint64_t now_us);
/** Starts a newly read instance list; membership_add_listed() follows for each of its entries. */
void membership_begin_list(struct membership *membership);
/** Merges a record received from a peer.
 * @return true if it was newer than what was known; false also for this instance's own record */
bool membership_merge(struct membership *membership, const struct member_record *record,
		      uint64_t now_us);
/** Increments this instance's heartbeat and updates the states of members whose heartbeat has
 * stopped; forgets a member an hour after its last heartbeat. */
void membership_tick(struct membership *membership, uint64_t now_us);
/** Sets the configuration revision in this instance's record. */
void membership_set_revision(struct membership *membership, uint64_t revision);
/** Marks this instance's record as leaving. */
void membership_set_leaving(struct membership *membership);

/** Copies the records to send in this round: that of this instance, then those not sent for the
 * longest time. Call it once per round and send the same records to all selected peers, so that
 * each of them gets every record in turn.
 * @param out has room for @p max records
 * @return number of records */
uint32_t membership_next_records(struct membership *membership, struct member_record *out,
				 uint32_t max);
/** Copies the heartbeats to send in this round, those not sent for the longest time first. Call
 * it after membership_next_records(), which counts the rounds.
 * @param out has room for @p max heartbeats
 * @return number of heartbeats */
uint32_t membership_next_heartbeats(struct membership *membership, struct member_heartbeat *out,
				    uint32_t max);
/** Merges a heartbeat received from a peer.
 * @return true if it was newer; false also if the full record of its incarnation is unknown */
bool membership_merge_heartbeat(struct membership *membership,
				const struct member_heartbeat *update, uint64_t now_us);
/** Selects the peers that get this round's messages. The members are ordered in a ring by the hash
 * of their ids; three members of this instance's zone and one of each other zone are selected, the
 * same ones as long as the ring does not change. After a suspect member the next on the ring is
 * selected too. In some rounds a dead member is added, so that one that came back is found.
 * @param out has room for @p max records
 * @return number of peers */
uint32_t membership_select_peers(struct membership *membership, struct member_record *out,
				 uint32_t max);

/** Returns the number of members that are alive or suspect, this instance included. */
uint32_t membership_live_count(const struct membership *membership);
/** Returns whether this instance performs a task for its zone, such as reading the store for all.
 * It does while it is not leaving and has the highest rendezvous hash for @p task among the zone's
 * alive members. */
bool membership_is_delegate(const struct membership *membership, const char *task);

/** A member as passed to the callback of membership_each(). */
struct member_view {
	const struct member_record *record;
	enum member_state state;
	bool listed; /**< contained in the latest instance list */
};

/** Calls @p each for every member, this instance first. */
void membership_each(const struct membership *membership,
		     void (*each)(void *ctx, const struct member_view *view), void *ctx);
const char *member_state_name(enum member_state state);

#endif
