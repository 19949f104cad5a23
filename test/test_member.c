/**
 * @file test_member.c
 * Membership in virtual time: instances freeze, die, restart and are cut off;
 * afterwards all live ones agree, and no member that was healthy throughout was
 * called dead. Also the bounded choice of peers and one delegate a zone.
 */
#include "flamingolatch/member.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES	   8
#define ROUND_US   500000
#define SETTLE_US  (40ULL * 1000 * 1000)
#define FAULTS_US  (40ULL * 1000 * 1000)
#define PEERS_MAX  8
#define DIGEST_MAX 2
#define BEATS_MAX  4

struct world;

struct node {
	struct world *world;
	struct membership *membership;
	uint32_t index;
	uint64_t incarnation;
	uint64_t frozen_until_us;
	uint64_t cut_until_us;
	bool dead;
	bool faulted; /* was frozen, dead or cut off at some time */
};

struct world {
	struct sched *sched;
	struct node nodes[NODES];
	uint32_t wrong_deaths;
};

struct packet {
	struct node *to;
	struct node *from;
	uint32_t count;
	struct member_record records[DIGEST_MAX];
	uint32_t beat_count;
	struct member_heartbeat beats[BEATS_MAX];
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

static void on_change(void *ctx, const struct member_record *record, enum member_state state)
{
	struct node *node = ctx;
	struct world *world = node->world;
	uint32_t index = (uint32_t)(record->id[1] - '0');

	sched_trace(world->sched, "n%u: %s is %s", node->index, record->id,
		    member_state_name(state));
	if (state == MEMBER_DEAD && !world->nodes[index].faulted && !node->faulted &&
	    now(world) > SETTLE_US / 4)
		world->wrong_deaths++;
}

static void node_start(struct node *node)
{
	struct member_record self = { .incarnation = ++node->incarnation };

	g_snprintf(self.id, sizeof(self.id), "n%u", node->index);
	g_snprintf(self.zone, sizeof(self.zone), "z%u", node->index % 2);
	g_snprintf(self.address, sizeof(self.address), "%u", node->index);
	node->membership = membership_create(&self, on_change, node);
	for (uint32_t i = 0; i < NODES; i++) {
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
	if (!to->dead && time >= to->cut_until_us && time >= packet->from->cut_until_us) {
		for (uint32_t i = 0; i < packet->count; i++)
			membership_merge(to->membership, &packet->records[i], time);
		for (uint32_t i = 0; i < packet->beat_count; i++)
			membership_merge_heartbeat(to->membership, &packet->beats[i], time);
	}
	g_free(packet);
}

static void gossip_round(void *arg)
{
	struct node *node = arg;
	struct world *world = node->world;
	struct member_record peers[PEERS_MAX];
	struct member_record digest[DIGEST_MAX];
	struct member_heartbeat beats[BEATS_MAX];
	uint32_t beat_count;
	uint32_t records;
	uint32_t count;

	if (now(world) > SETTLE_US + FAULTS_US)
		return;
	sched_after(world->sched, ROUND_US + sched_rand(world->sched, 1000), gossip_round, node);
	if (node->dead || now(world) < node->frozen_until_us)
		return;
	membership_tick(node->membership, now(world));
	count = membership_select_peers(node->membership, peers, PEERS_MAX);
	records = membership_next_records(node->membership, digest, DIGEST_MAX);
	beat_count = membership_next_heartbeats(node->membership, beats, BEATS_MAX);
	for (uint32_t i = 0; i < count; i++) {
		struct packet *packet = g_new0(struct packet, 1);

		packet->from = node;
		packet->to = &world->nodes[atoi(peers[i].address)];
		packet->count = records;
		memcpy(packet->records, digest, sizeof(digest));
		packet->beat_count = beat_count;
		memcpy(packet->beats, beats, sizeof(beats));
		sched_after(world->sched, 1000 + sched_rand(world->sched, 60000), deliver, packet);
	}
}

static void break_node(void *arg)
{
	struct world *world = arg;
	struct node *node = &world->nodes[sched_rand(world->sched, NODES)];
	uint64_t until_us = now(world) + sched_rand(world->sched, 15000000);

	node->faulted = true;
	switch (sched_rand(world->sched, 4)) {
	case 0:
		node->frozen_until_us = until_us;
		break;
	case 1:
		node->cut_until_us = until_us;
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

struct tally {
	struct world *world;
	uint32_t alive;
	uint32_t wrong;
};

static void tally_member(void *ctx, const struct member_view *view)
{
	struct tally *tally = ctx;
	const struct node *node = &tally->world->nodes[view->record->id[1] - '0'];

	tally->alive += view->state == MEMBER_ALIVE;
	if (node->dead ? view->state != MEMBER_DEAD : view->state != MEMBER_ALIVE)
		tally->wrong++;
	if (!node->dead && view->record->incarnation != node->incarnation)
		tally->wrong++;
	sched_trace(tally->world->sched, "  %s %s incarnation %u of %u%s", view->record->id,
		    member_state_name(view->state), (unsigned)view->record->incarnation,
		    (unsigned)node->incarnation, node->dead ? ", dead" : "");
}

static bool check(struct world *world)
{
	uint32_t delegates[2] = { 0, 0 };
	uint32_t living[2] = { 0, 0 };
	bool ok = true;

	for (uint32_t i = 0; i < NODES; i++) {
		struct node *node = &world->nodes[i];
		struct tally tally = { .world = world };

		if (node->dead)
			continue;
		sched_trace(world->sched, "n%u sees", i);
		membership_each(node->membership, tally_member, &tally);
		if (tally.wrong)
			ok = sched_violation(world->sched, "n%u sees %u members wrong", i,
					     tally.wrong);
		delegates[i % 2] += membership_is_delegate(node->membership, "config");
		living[i % 2]++;
	}
	for (uint32_t z = 0; z < 2; z++) {
		if (living[z] && delegates[z] != 1)
			ok = sched_violation(world->sched, "zone %u has %u delegates", z,
					     delegates[z]);
	}
	if (world->wrong_deaths)
		ok = sched_violation(world->sched, "%u healthy members were called dead",
				     world->wrong_deaths);
	return ok;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	uint32_t faults = sched_rand(sched, 6);
	bool ok;

	for (uint32_t i = 0; i < NODES; i++) {
		world.nodes[i] = (struct node){ .world = &world, .index = i };
		node_start(&world.nodes[i]);
		sched_after(sched, sched_rand(sched, ROUND_US), gossip_round, &world.nodes[i]);
	}
	for (uint32_t i = 0; i < faults; i++)
		sched_after(sched, 10000000 + sched_rand(sched, FAULTS_US / 2), break_node, &world);
	sched_run(sched, UINT64_MAX);
	ok = check(&world);
	for (uint32_t i = 0; i < NODES; i++)
		membership_destroy(world.nodes[i].membership);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "membership", 300, run);
}
