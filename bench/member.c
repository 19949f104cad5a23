/**
 * @file member.c
 * Gossip membership by number of nodes, in virtual time.
 *
 * Every node runs the membership module and sends as many records and heartbeats
 * per round as the byte budget of an instance allows. For each size it prints the
 * lowest number of members that any node sees alive after 100 s, how often a live
 * member was declared dead in the last 60 s of these, and after one node is killed,
 * the seconds until the last of the others that notices it declares it dead, and how
 * many have not done so after 90 s.
 */
#include "flamingolatch/member.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX	   400
#define GOSSIP_INTERVAL_US 500000
#define NETWORK_DELAY_US   30000
#define PEERS_MAX	   8
#define ZONE_COUNT	   4
#define RECORDS_MAX	   2
#define HEARTBEATS_MAX	   64

struct node {
	struct membership *membership;
	uint32_t index;
	bool dead;
	uint64_t detected_us; /* when it declared the killed node dead; 0 before */
	uint64_t next_round_us;
	uint32_t round;
};

struct packet {
	uint64_t arrives_us;
	uint32_t receiver;
	uint32_t record_count;
	uint32_t heartbeat_count;
	struct member_record records[RECORDS_MAX];
	struct member_heartbeat heartbeats[HEARTBEATS_MAX];
};

static struct node nodes[NODES_MAX];
static uint32_t node_count;
static uint32_t killed_node;  /* index; UINT32_MAX before one is killed */
static uint32_t false_deaths; /* times that a live member was declared dead */
static uint64_t now_us;

static void on_member_changed(void *ctx, const struct member_record *record,
			      enum member_state state)
{
	struct node *node = ctx;
	uint32_t index = (uint32_t)atoi(record->id + 1);

	if (state != MEMBER_DEAD)
		return;
	if (index == killed_node && nodes[index].dead)
		node->detected_us = now_us;
	else if (!nodes[index].dead)
		false_deaths++;
}

static void start_node(uint32_t index)
{
	struct member_record self = { .incarnation = 1 };

	g_snprintf(self.id, sizeof(self.id), "n%u", index);
	g_snprintf(self.zone, sizeof(self.zone), "z%u", index % ZONE_COUNT);
	g_snprintf(self.address, sizeof(self.address), "%u", index);
	nodes[index] = (struct node){ .index = index };
	nodes[index].membership = membership_create(&self, on_member_changed, &nodes[index]);
	nodes[index].next_round_us = (uint64_t)index * GOSSIP_INTERVAL_US / node_count;
}

static void add_listed_instances(uint32_t index)
{
	for (uint32_t i = 0; i < node_count; i++) {
		char id[16];
		char zone[16];
		char address[16];

		g_snprintf(id, sizeof(id), "n%u", i);
		g_snprintf(zone, sizeof(zone), "z%u", i % ZONE_COUNT);
		g_snprintf(address, sizeof(address), "%u", i);
		membership_add_listed(nodes[index].membership, id, zone, address, 0);
	}
}

static void send_round(struct node *node, GQueue *in_flight, uint32_t heartbeat_count)
{
	struct member_record peers[PEERS_MAX];
	struct packet packet = { .arrives_us = now_us + NETWORK_DELAY_US };
	uint32_t peer_count;

	membership_tick(node->membership, now_us);
	peer_count = membership_select_peers(node->membership, peers, PEERS_MAX);
	packet.record_count = membership_next_records(node->membership, packet.records,
						      node->round++ % 4 == 0 ? RECORDS_MAX : 1);
	packet.heartbeat_count =
		membership_next_heartbeats(node->membership, packet.heartbeats, heartbeat_count);
	for (uint32_t i = 0; i < peer_count; i++) {
		struct packet *copy = g_memdup2(&packet, sizeof(packet));

		copy->receiver = (uint32_t)atoi(peers[i].address);
		g_queue_push_tail(in_flight, copy);
	}
}

static void deliver(GQueue *in_flight)
{
	struct packet *packet;

	while ((packet = g_queue_peek_head(in_flight)) && packet->arrives_us <= now_us) {
		struct node *receiver = &nodes[packet->receiver];

		g_queue_pop_head(in_flight);
		for (uint32_t i = 0; !receiver->dead && i < packet->record_count; i++)
			membership_merge(receiver->membership, &packet->records[i], now_us);
		for (uint32_t i = 0; !receiver->dead && i < packet->heartbeat_count; i++)
			membership_merge_heartbeat(receiver->membership, &packet->heartbeats[i],
						   now_us);
		g_free(packet);
	}
}

static void run_until(uint64_t until_us, GQueue *in_flight, uint32_t heartbeat_count)
{
	for (; now_us < until_us; now_us += 1000) {
		deliver(in_flight);
		for (uint32_t i = 0; i < node_count; i++) {
			if (nodes[i].dead || nodes[i].next_round_us > now_us)
				continue;
			nodes[i].next_round_us += GOSSIP_INTERVAL_US;
			send_round(&nodes[i], in_flight, heartbeat_count);
		}
	}
}

static void count_alive(void *ctx, const struct member_view *view)
{
	*(uint32_t *)ctx += view->state == MEMBER_ALIVE;
}

static void run_size(uint32_t size, uint32_t heartbeat_count)
{
	GQueue in_flight = G_QUEUE_INIT;
	uint64_t killed_us;
	uint64_t last_detected_us = 0;
	uint32_t min_alive = UINT32_MAX;
	uint32_t unaware = 0;

	node_count = size;
	killed_node = UINT32_MAX;
	false_deaths = 0;
	now_us = 0;
	for (uint32_t i = 0; i < node_count; i++)
		start_node(i);
	for (uint32_t i = 0; i < node_count; i++)
		add_listed_instances(i);
	run_until(40000000, &in_flight, heartbeat_count);
	false_deaths = 0;
	run_until(100000000, &in_flight, heartbeat_count);
	for (uint32_t i = 0; i < node_count; i++) {
		uint32_t alive_count = 0;

		membership_each(nodes[i].membership, count_alive, &alive_count);
		min_alive = MIN(min_alive, alive_count);
	}
	killed_node = 7;
	nodes[killed_node].dead = true;
	killed_us = now_us;
	run_until(now_us + 90000000, &in_flight, heartbeat_count);
	for (uint32_t i = 0; i < node_count; i++) {
		if (nodes[i].dead)
			continue;
		unaware += nodes[i].detected_us == 0;
		last_detected_us = MAX(last_detected_us, nodes[i].detected_us);
	}
	printf("%5u %5u %10u %12u %14.1f %8u\n", size, heartbeat_count, min_alive, false_deaths,
	       last_detected_us ? (double)(last_detected_us - killed_us) / 1e6 : 0.0, unaware);
	for (uint32_t i = 0; i < node_count; i++)
		membership_destroy(nodes[i].membership);
	g_queue_clear_full(&in_flight, g_free);
}

int main(void)
{
	static const uint32_t sizes[] = { 8, 32, 85, 170, 340 };

	printf("nodes beats least_alive wrong_deaths dead_known_s missed\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		run_size(sizes[i], 11);
		run_size(sizes[i], 22);
	}
	return 0;
}
