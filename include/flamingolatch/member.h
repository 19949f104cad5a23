/**
 * @file member.h
 * The entry instances of a deployment as one of them sees it.
 *
 * Every instance counts up a heartbeat of its own and passes on the highest
 * heartbeats it has seen. A member whose heartbeat stands still becomes
 * suspect, then dead; a later heartbeat, or a higher incarnation, brings it
 * back. Order of calls: memb_create(), memb_seed() and memb_merge() as records
 * arrives, memb_tick() regularly, memb_destroy() last. Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_MEMBER_H
#define FLAMINGOLATCH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#define MEMB_ID_MAX	 64
#define MEMB_ADDRESS_MAX 48

enum memb_state {
	MEMB_ALIVE,
	MEMB_SUSPECT,
	MEMB_DEAD,
	MEMB_LEFT,
	MEMB_STATE_COUNT
};

/** What is passed on about a member. */
struct memb_record {
	char id[MEMB_ID_MAX];
	char zone[MEMB_ID_MAX];
	char address[MEMB_ADDRESS_MAX]; /**< "IP:port" of its bus */
	uint64_t incarnation;		/**< start time in milliseconds; a restart raises it */
	uint64_t heartbeat;
	uint64_t revision; /**< configuration revision in force there */
	bool leaving;
};

/** A heartbeat in short form, for members whose full record is known. */
struct memb_beat {
	uint32_t id_hash;     /**< of the member's id */
	uint32_t incarnation; /**< low bits */
	uint32_t heartbeat;
	uint32_t revision;
};

struct memb;

/** Called when a member's state changes. */
typedef void (*memb_cb)(void *ctx, const struct memb_record *record, enum memb_state state);

struct memb *memb_create(const struct memb_record *self, memb_cb changed, void *ctx);
void memb_destroy(struct memb *memb);

/** Notes an address from the instance list; a member never heard from is no proof of life. */
void memb_seed(struct memb *memb, const char *id, const char *zone, const char *address,
	       uint64_t now_us);
/** Starts a new reading of the instance list; memb_seed() marks what it names. */
void memb_begin_list(struct memb *memb);
/** Merges what a peer passed on.
 * @return true when it was newer */
bool memb_merge(struct memb *memb, const struct memb_record *record, uint64_t now_us);
/** Counts up the own heartbeat and finds members that fell silent. */
void memb_tick(struct memb *memb, uint64_t now_us);
/** Sets what the own record says. */
void memb_set_revision(struct memb *memb, uint64_t revision);
void memb_set_leaving(struct memb *memb);

/** Copies records to pass on, the own first, then those sent longest ago. Call
 * it once a round and send the same to all peers, so that none is left out.
 * @return how many were written */
uint32_t memb_digest(struct memb *memb, struct memb_record *out, uint32_t max);
/** Copies heartbeats to pass on, those sent longest ago first.
 * @return how many were written */
uint32_t memb_beats(struct memb *memb, struct memb_beat *out, uint32_t max);
/** Takes a heartbeat that a peer passed on. @return true when it was newer */
bool memb_take_beat(struct memb *memb, const struct memb_beat *beat, uint64_t now_us);
/** Chooses the peers that get messages: a stable, bounded set by places on a
 * ring of id hashes, three of the own zone and one of each other zone, and by
 * turns one that is thought dead. @return how many were written */
uint32_t memb_peers(struct memb *memb, struct memb_record *out, uint32_t max);

/** Returns the live members, the own instance included. */
uint32_t memb_live(const struct memb *memb);
/** Tells whether this instance does the shared reads of its zone: the live
 * member of the zone with the highest rendezvous hash for @p task. */
bool memb_is_delegate(const struct memb *memb, const char *task);
/** A member as memb_each() shows it. */
struct memb_view {
	const struct memb_record *record;
	enum memb_state state;
	bool listed; /**< named by the last reading of the instance list */
};

/** Calls @p each for every member, the own instance first. */
void memb_each(const struct memb *memb, void (*each)(void *ctx, const struct memb_view *view),
	       void *ctx);
const char *memb_state_name(enum memb_state state);

#endif
