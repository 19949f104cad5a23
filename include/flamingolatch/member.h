/**
 * @file member.h
 * The entry instances of a deployment as one of them sees it.
 *
 * Every instance counts up a heartbeat of its own and passes on the highest
 * heartbeats it has seen. A member whose heartbeat stands still becomes
 * suspect, then dead; a later heartbeat, or a higher incarnation, brings it
 * back. Order of calls: membership_create(), membership_add_listed() and membership_merge() as
 * records arrives, membership_tick() regularly, membership_destroy() last. Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_MEMBER_H
#define FLAMINGOLATCH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMBER_ID_MAX_BYTES	 64
#define MEMBER_ADDRESS_MAX_BYTES 48

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT,
	MEMBER_STATE_COUNT
};

/** What is passed on about a member. */
struct member_record {
	char id[MEMBER_ID_MAX_BYTES];
	char zone[MEMBER_ID_MAX_BYTES];
	char address[MEMBER_ADDRESS_MAX_BYTES]; /**< "IP:port" of its bus */
	uint64_t incarnation; /**< start time in milliseconds; a restart raises it */
	uint64_t heartbeat;
	uint64_t revision; /**< configuration revision in force there */
	bool leaving;
};

/** A heartbeat in short form, for members whose full record is known. */
struct member_heartbeat {
	uint32_t id_hash;     /**< of the member's id */
	uint32_t incarnation; /**< low bits */
	uint32_t heartbeat;
	uint32_t revision;
};

struct membership;

/** Called when a member's state changes. */
typedef void (*membership_changed_cb)(void *ctx, const struct member_record *record,
				      enum member_state state);

struct membership *membership_create(const struct member_record *self,
				     membership_changed_cb changed, void *ctx);
void membership_destroy(struct membership *membership);

/** Notes an address from the instance list; a member never heard from is no proof of life. */
void membership_add_listed(struct membership *membership, const char *id, const char *zone,
			   const char *address, uint64_t now_us);
/** Starts a new reading of the instance list; membership_add_listed() marks what it names. */
void membership_begin_list(struct membership *membership);
/** Merges what a peer passed on.
 * @return true when it was newer */
bool membership_merge(struct membership *membership, const struct member_record *record,
		      uint64_t now_us);
/** Counts up the own heartbeat and finds members that fell silent. */
void membership_tick(struct membership *membership, uint64_t now_us);
/** Sets what the own record says. */
void membership_set_revision(struct membership *membership, uint64_t revision);
void membership_set_leaving(struct membership *membership);

/** Copies records to pass on, the own first, then those sent longest ago. Call
 * it once a round and send the same to all peers, so that none is left out.
 * @return how many were written */
uint32_t membership_next_records(struct membership *membership, struct member_record *out,
				 uint32_t max);
/** Copies heartbeats to pass on, those sent longest ago first.
 * @return how many were written */
uint32_t membership_next_heartbeats(struct membership *membership, struct member_heartbeat *out,
				    uint32_t max);
/** Takes a heartbeat that a peer passed on. @return true when it was newer */
bool membership_merge_heartbeat(struct membership *membership, const struct member_heartbeat *beat,
				uint64_t now_us);
/** Chooses the peers that get messages: a stable, bounded set by places on a
 * ring of id hashes, three of the own zone and one of each other zone, and by
 * turns one that is thought dead. @return how many were written */
uint32_t membership_select_peers(struct membership *membership, struct member_record *out,
				 uint32_t max);

/** Returns the live members, the own instance included. */
uint32_t membership_live_count(const struct membership *membership);
/** Tells whether this instance does the shared reads of its zone: the live
 * member of the zone with the highest rendezvous hash for @p task. */
bool membership_is_delegate(const struct membership *membership, const char *task);
/** A member as membership_each() shows it. */
struct member_view {
	const struct member_record *record;
	enum member_state state;
	bool listed; /**< named by the last reading of the instance list */
};

/** Calls @p each for every member, the own instance first. */
void membership_each(const struct membership *membership,
		     void (*each)(void *ctx, const struct member_view *view), void *ctx);
const char *member_state_name(enum member_state state);

#endif
