/**
 * @file test_member.c
 * Membership in virtual time: instances freeze, die, restart and lose their
 * network. Afterwards all live ones agree on the states of all members, no
 * member that was healthy throughout was ever reported as dead, and each zone
 * has one delegate.
 */
#include "flamingolatch/member.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODE_COUNT	    8
#define ROUND_US	    500000
#define SETTLE_TIME_US	    (40ULL * 1000 * 1000)
#define FAULT_TIME_US	    (40ULL * 1000 * 1000)
#define MAX_PEER_COUNT	    8
#define MAX_RECORD_COUNT    2
#define MAX_HEARTBEAT_COUNT 4

struct world;

struct node {
	struct world *world;
	struct membership *membership;
	uint32_t index;
	uint64_t incarnation;
	uint64_t frozen_until_us;
	uint64_t unreachable_until_us;
	bool dead;
	bool faulted; /* was frozen, dead, restarted or cut off at some time */
};

struct world {
	struct sched *sched;
	struct node nodes[NODE_COUNT];
	uint32_t false_death_count;
};

struct packet {
	struct node *to;
	struct node *from;
	uint32_t record_count;
	struct member_record records[MAX_RECORD_COUNT];
	uint32_t heartbeat_count;
	struct member_heartbeat heartbeats[MAX_HEARTBEAT_COUNT];
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

static void on_state_change(void *ctx, const struct member_record *record, enum member_state state)
{
	struct node *node = ctx;
	struct world *world = node->world;
	uint32_t index = (uint32_t)(record->id[1] - '0');

	sched_trace(world->sched, "n%u: %s is %s", node->index, record->id,
		    member_state_name(state));
	if (state == MEMBER_DEAD && !world->nodes[index].faulted && !node->faulted &&
	    now(world) > SETTLE_TIME_US / 4)
		world->false_death_count++;
}

static void node_start(struct node *node)
{
	struct member_record self = { .incarnation = ++node->incarnation };

	g_snprintf(self.id, sizeof(self.id), "n%u", node->index);
	g_snprintf(self.zone, sizeof(self.zone), "z%u", node->index % 2);
	g_snprintf(self.address, sizeof(self.address), "%u", node->index);
	node->membership = membership_create(&self, on_state_change, node);
	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		char id[16];
		char zone[16];
		char address[16];

		g_snprintf(id, sizeof(id), "n%u", i);
		g_snprintf(zone, sizeof(zone), "z%u", i % 2);
		g_snprintf(address, sizeof(address), "%u", i);
		membership_add_listed(node->membership, id, zone, address, now(node->world));
	}
}

static void deliver(void *arg)
{
	struct packet *packet = arg;
	struct node *to = packet->to;
	struct world *world = to->world;
	uint64_t time = now(world);

	if (!to->dead && time < to->frozen_until_us) {
		sched_after(world->sched, to->frozen_until_us - time, deliver, packet);
		return;
	}
	if (!to->dead && time >= to->unreachable_until_us &&
	    time >= packet->from->unreachable_until_us) {
		for (uint32_t i = 0; i < packet->record_count; i++)
			membership_merge(to->membership, &packet->records[i], time);
		for (uint32_t i = 0; i < packet->heartbeat_count; i++)
			membership_merge_heartbeat(to->membership, &packet->heartbeats[i], time);
	}
	g_free(packet);
}

static void gossip_round(void *arg)
{
	struct node *node = arg;
	struct world *world = node->world;
	struct member_record peers[MAX_PEER_COUNT];
	struct member_record records_out[MAX_RECORD_COUNT];
	struct member_heartbeat heartbeats[MAX_HEARTBEAT_COUNT];
	uint32_t heartbeat_count;
	uint32_t record_count;
	uint32_t peer_count;

	if (now(world) > SETTLE_TIME_US + FAULT_TIME_US)
		return;
	sched_after(world->sched, ROUND_US + sched_rand(world->sched, 1000), gossip_round, node);
	if (node->dead || now(world) < node->frozen_until_us)
		return;
	membership_tick(node->membership, now(world));
	peer_count = membership_select_peers(node->membership, peers, MAX_PEER_COUNT);
	record_count = membership_next_records(node->membership, records_out, MAX_RECORD_COUNT);
	heartbeat_count =
		membership_next_heartbeats(node->membership, heartbeats, MAX_HEARTBEAT_COUNT);
	for (uint32_t i = 0; i < peer_count; i++) {
		struct packet *packet = g_new0(struct packet, 1);

		packet->from = node;
		packet->to = &world->nodes[atoi(peers[i].address)];
		packet->record_count = record_count;
		memcpy(packet->records, records_out, sizeof(records_out));
		packet->heartbeat_count = heartbeat_count;
		memcpy(packet->heartbeats, heartbeats, sizeof(heartbeats));
		sched_after(world->sched, 1000 + sched_rand(world->sched, 60000), deliver, packet);
	}
}

static void inject_fault(void *arg)
{
	struct world *world = arg;
	struct node *node = &world->nodes[sched_rand(world->sched, NODE_COUNT)];
	uint64_t until_us = now(world) + sched_rand(world->sched, 15000000);

	node->faulted = true;
	switch (sched_rand(world->sched, 4)) {
	case 0:
		node->frozen_until_us = until_us;
		break;
	case 1:
		node->unreachable_until_us = until_us;
		break;
	case 2:
		node->dead = true;
		break;
	default:
		if (!node->dead) {
			membership_destroy(node->membership);
			node_start(node);
		}
		break;
	}
}

struct view_check {
	struct world *world;
	uint32_t alive;
	uint32_t wrong_count;
};

static void check_member(void *ctx, const struct member_view *view)
{
	struct view_check *view_check = ctx;
	const struct node *node = &view_check->world->nodes[view->record->id[1] - '0'];

	view_check->alive += view->state == MEMBER_ALIVE;
	if (node->dead ? view->state != MEMBER_DEAD : view->state != MEMBER_ALIVE)
		view_check->wrong_count++;
	if (!node->dead && view->record->incarnation != node->incarnation)
		view_check->wrong_count++;
	sched_trace(view_check->world->sched, "  %s %s incarnation %u of %u%s", view->record->id,
		    member_state_name(view->state), (unsigned)view->record->incarnation,
		    (unsigned)node->incarnation, node->dead ? ", dead" : "");
}

static bool check(struct world *world)
{
	uint32_t delegates[2] = { 0, 0 };
	uint32_t live_nodes[2] = { 0, 0 };
	bool ok = true;

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		struct node *node = &world->nodes[i];
		struct view_check view_check = { .world = world };

		if (node->dead)
			continue;
		sched_trace(world->sched, "n%u sees", i);
		membership_each(node->membership, check_member, &view_check);
		if (view_check.wrong_count)
			ok = sched_violation(world->sched, "n%u has a wrong view of %u members", i,
					     view_check.wrong_count);
		delegates[i % 2] += membership_is_delegate(node->membership, "config");
		live_nodes[i % 2]++;
	}
	for (uint32_t z = 0; z < 2; z++) {
		if (live_nodes[z] && delegates[z] != 1)
			ok = sched_violation(world->sched, "zone %u has %u delegates", z,
					     delegates[z]);
	}
	if (world->false_death_count)
		ok = sched_violation(world->sched, "healthy members were reported as dead %u times",
				     world->false_death_count);
	return ok;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	uint32_t faults = sched_rand(sched, 6);
	bool ok;

	for (uint32_t i = 0; i < NODE_COUNT; i++) {
		world.nodes[i] = (struct node){ .world = &world, .index = i };
		node_start(&world.nodes[i]);
		sched_after(sched, sched_rand(sched, ROUND_US), gossip_round, &world.nodes[i]);
	}
	for (uint32_t i = 0; i < faults; i++)
		sched_after(sched, 10000000 + sched_rand(sched, FAULT_TIME_US / 2), inject_fault,
			    &world);
	sched_run(sched, UINT64_MAX);
	ok = check(&world);
	for (uint32_t i = 0; i < NODE_COUNT; i++)
		membership_destroy(world.nodes[i].membership);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "membership", 300, run);
}
