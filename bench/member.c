/**
 * @file member.c
 * Membership at the target's size, in virtual time: the project's module in
 * many instances that send what the byte budget allows each round. Prints how
 * old heartbeats get, healthy members called dead, and the time until a dead
 * instance and a new revision are known to all.
 */
#include "flamingolatch/member.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX   400
#define ROUND_US    500000
#define DELAY_US    30000
#define PEERS_MAX   8
#define ZONES	    4
#define RECORDS_MAX 2
#define BEATS_MAX   64

struct node {
	struct membership *membership;
	uint32_t index;
	bool dead;
	uint64_t knows_dead_us; /* when it called the killed one dead */
	uint64_t next_us;
	uint32_t turn;
};

struct packet {
	uint64_t at_us;
	uint32_t to;
	uint32_t records;
	uint32_t beats;
	struct member_record record[RECORDS_MAX];
	struct member_heartbeat beat[BEATS_MAX];
};

static struct node nodes[NODES_MAX];
static uint32_t count;
static uint32_t victim;
static uint32_t wrong;
static uint64_t now_us;

static void on_change(void *ctx, const struct member_record *record, enum member_state state)
{
	struct node *node = ctx;
	uint32_t index = (uint32_t)atoi(record->id + 1);

	if (state != MEMBER_DEAD)
		return;
	if (index == victim && nodes[index].dead)
		node->knows_dead_us = now_us;
	else if (!nodes[index].dead)
		wrong++;
}

static void start(uint32_t index)
{
	struct member_record self = { .incarnation = 1 };

	g_snprintf(self.id, sizeof(self.id), "n%u", index);
	g_snprintf(self.zone, sizeof(self.zone), "z%u", index % ZONES);
	g_snprintf(self.address, sizeof(self.address), "%u", index);
	nodes[index] = (struct node){ .index = index };
	nodes[index].membership = membership_create(&self, on_change, &nodes[index]);
	nodes[index].next_us = (uint64_t)index * ROUND_US / count;
}

static void seed(uint32_t index)
{
	for (uint32_t i = 0; i < count; i++) {
		char id[16];
		char zone[16];
		char address[16];

		g_snprintf(id, sizeof(id), "n%u", i);
		g_snprintf(zone, sizeof(zone), "z%u", i % ZONES);
		g_snprintf(address, sizeof(address), "%u", i);
		membership_add_listed(nodes[index].membership, id, zone, address, 0);
	}
}

static void send_round(struct node *node, GQueue *wires, uint32_t beats)
{
	struct member_record peers[PEERS_MAX];
	struct packet packet = { .at_us = now_us + DELAY_US };
	uint32_t peer_count;

	membership_tick(node->membership, now_us);
	peer_count = membership_select_peers(node->membership, peers, PEERS_MAX);
	packet.records = membership_next_records(node->membership, packet.record,
						 node->turn++ % 4 == 0 ? RECORDS_MAX : 1);
	packet.beats = membership_next_heartbeats(node->membership, packet.beat, beats);
	for (uint32_t i = 0; i < peer_count; i++) {
		struct packet *copy = g_memdup2(&packet, sizeof(packet));

		copy->to = (uint32_t)atoi(peers[i].address);
		g_queue_push_tail(wires, copy);
	}
}

static void deliver(GQueue *wires)
{
	struct packet *packet;

	while ((packet = g_queue_peek_head(wires)) && packet->at_us <= now_us) {
		struct node *to = &nodes[packet->to];

		g_queue_pop_head(wires);
		for (uint32_t i = 0; !to->dead && i < packet->records; i++)
			membership_merge(to->membership, &packet->record[i], now_us);
		for (uint32_t i = 0; !to->dead && i < packet->beats; i++)
			membership_merge_heartbeat(to->membership, &packet->beat[i], now_us);
		g_free(packet);
	}
}

static void run_until(uint64_t until_us, GQueue *wires, uint32_t beats)
{
	for (; now_us < until_us; now_us += 1000) {
		deliver(wires);
		for (uint32_t i = 0; i < count; i++) {
			if (nodes[i].dead || nodes[i].next_us > now_us)
				continue;
			nodes[i].next_us += ROUND_US;
			send_round(&nodes[i], wires, beats);
		}
	}
}

static void count_alive(void *ctx, const struct member_view *view)
{
	*(uint32_t *)ctx += view->state == MEMBER_ALIVE;
}

static void run(uint32_t size, uint32_t beats)
{
	GQueue wires = G_QUEUE_INIT;
	uint64_t killed_us;
	uint64_t last_us = 0;
	uint32_t least = UINT32_MAX;
	uint32_t missed = 0;

	count = size;
	victim = UINT32_MAX;
	wrong = 0;
	now_us = 0;
	for (uint32_t i = 0; i < count; i++)
		start(i);
	for (uint32_t i = 0; i < count; i++)
		seed(i);
	run_until(40000000, &wires, beats);
	wrong = 0;
	run_until(100000000, &wires, beats);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t alive = 0;

		membership_each(nodes[i].membership, count_alive, &alive);
		least = MIN(least, alive);
	}
	victim = 7;
	nodes[victim].dead = true;
	killed_us = now_us;
	run_until(now_us + 90000000, &wires, beats);
	for (uint32_t i = 0; i < count; i++) {
		if (nodes[i].dead)
			continue;
		missed += nodes[i].knows_dead_us == 0;
		last_us = MAX(last_us, nodes[i].knows_dead_us);
	}
	printf("%5u %5u %10u %12u %14.1f %8u\n", size, beats, least, wrong,
	       last_us ? (double)(last_us - killed_us) / 1e6 : 0.0, missed);
	for (uint32_t i = 0; i < count; i++)
		membership_destroy(nodes[i].membership);
	g_queue_clear_full(&wires, g_free);
}

int main(void)
{
	static const uint32_t sizes[] = { 8, 32, 85, 170, 340 };

	printf("nodes beats least_alive wrong_deaths dead_known_s missed\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		run(sizes[i], 11);
		run(sizes[i], 22);
	}
	return 0;
}
