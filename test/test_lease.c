/**
 * @file test_lease.c
 * Orders under a lease: no old holder's order wins.
 *
 * Three holders with wall clocks that differ within the bound, lost and late
 * commits, pauses. Holders send orders that arrive up to the order's timeout
 * later, also after the sender was paused. One engine checks fencing numbers,
 * the other ignores them. For both, the number of applied orders never falls.
 */
#include "flamingolatch/lease.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define HOLDERS	 3
#define TTL_US	 6000000
#define BOUND_US 500000
#define ORDER_US 1000000 /* an order arrives within this time or never */
#define RUN_US	 (90ULL * 1000 * 1000)
#define TICK_US	 200000

struct world;

struct holder {
	struct world *world;
	struct lease *lease;
	uint32_t index;
	int64_t skew_ms;
	uint64_t frozen_until_us;
	uint64_t acted; /* last fence under which it acted */
};

struct world {
	struct sched *sched;
	char *value;
	uint64_t version;
	uint64_t versions;
	uint64_t fences[2]; /* of the last order applied: checking, ignoring engine */
	uint64_t refused;
	uint64_t orders;
	uint64_t takings;
	struct holder holders[HOLDERS];
	uint64_t owners[512]; /* holder of each fencing number, plus one */
};

struct message {
	struct holder *holder;
	enum table_result result;
	char *value;
	uint64_t version;
	uint64_t if_version;
	uint64_t fence;
	bool read;
	bool answer;
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

static uint64_t wall_ms(const struct holder *holder)
{
	return (uint64_t)((int64_t)(10000000 + now(holder->world) / 1000) + holder->skew_ms);
}

static bool hold(struct holder *holder, sched_cb again, void *arg)
{
	if (now(holder->world) >= holder->frozen_until_us)
		return false;
	sched_after(holder->world->sched, holder->frozen_until_us - now(holder->world), again, arg);
	return true;
}

static void deliver(void *arg)
{
	struct message *msg = arg;
	struct holder *holder = msg->holder;
	struct table_row row = { (char *)"lease", msg->value, msg->version };
	bool seen = msg->result <= TABLE_CONFLICT;

	if (hold(holder, deliver, msg))
		return;
	if (msg->read)
		lease_on_read(holder->lease, now(holder->world), msg->result,
			      seen && msg->version ? &row : NULL);
	else
		lease_on_commit(holder->lease, now(holder->world), msg->result, seen ? &row : NULL);
	g_free(msg->value);
	g_free(msg);
}

static void reply(struct holder *holder, bool read, enum table_result result, uint64_t delay_us)
{
	struct message *msg = g_new0(struct message, 1);

	msg->holder = holder;
	msg->read = read;
	msg->result = result;
	msg->value = g_strdup(holder->world->value);
	msg->version = holder->world->version;
	sched_after(holder->world->sched, delay_us, deliver, msg);
}

static uint64_t row_fence(const char *value)
{
	const char *at = value ? strstr(value, "\"fence\":") : NULL;

	return at ? g_ascii_strtoull(at + 8, NULL, 10) : 0;
}

static void apply(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->holder->world;
	bool ok = world->version == msg->if_version;
	uint64_t fence = row_fence(msg->value);
	uint64_t owner = msg->holder->index + 1;

	if (ok) {
		if (fence < G_N_ELEMENTS(world->owners) && world->owners[fence] &&
		    world->owners[fence] != owner)
			sched_violation(world->sched, "fencing number %u was given twice",
					(unsigned)fence);
		if (fence < G_N_ELEMENTS(world->owners))
			world->owners[fence] = owner;
		world->takings += fence != row_fence(world->value);
		g_free(world->value);
		world->value = g_strdup(msg->value);
		world->version = ++world->versions;
		sched_trace(world->sched, "table: %s", world->value);
	}
	if (msg->answer)
		reply(msg->holder, false, ok ? TABLE_OK : TABLE_CONFLICT, 1000);
	g_free(msg->value);
	g_free(msg);
}

static void on_commit(void *ctx, const struct table_write *write)
{
	struct holder *holder = ctx;
	struct world *world = holder->world;
	struct message *msg = g_new0(struct message, 1);
	bool lost = sched_chance(world->sched, 20);

	msg->holder = holder;
	msg->value = g_strdup(write->value);
	msg->if_version = write->if_version;
	msg->answer = !lost;
	if (lost)
		reply(holder, false, TABLE_OUTCOME_UNKNOWN, 1000000);
	sched_after(world->sched, lost ? sched_rand(world->sched, 4000000) : 5000, apply, msg);
}

static void on_read(void *ctx, const char *key)
{
	struct holder *holder = ctx;

	(void)key;
	reply(holder, true,
	      sched_chance(holder->world->sched, 10) ? TABLE_OUTCOME_UNKNOWN : TABLE_OK, 2000);
}

static const struct lease_ops ops = { on_commit, on_read };

/* An order reaches both engines. */
static void order_arrives(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->holder->world;

	sched_trace(world->sched, "order of holder %u under %u", msg->holder->index,
		    (unsigned)msg->fence);
	world->orders++;
	if (msg->fence >= world->fences[0])
		world->fences[0] = msg->fence;
	else
		world->refused++;
	if (msg->fence < world->fences[1])
		sched_violation(world->sched, "an old order under %u follows one under %u",
				(unsigned)msg->fence, (unsigned)world->fences[1]);
	world->fences[1] = msg->fence;
	g_free(msg);
}

static void tick(void *arg)
{
	struct holder *holder = arg;
	struct world *world = holder->world;
	struct message *msg;

	if (now(world) > RUN_US)
		return;
	if (hold(holder, tick, holder))
		return;
	sched_after(world->sched, TICK_US, tick, holder);
	lease_tick(holder->lease, now(world), wall_ms(holder));
	if (!lease_may_act(holder->lease, now(world), ORDER_US + BOUND_US))
		return;
	msg = g_new0(struct message, 1);
	msg->holder = holder;
	msg->fence = lease_fence(holder->lease);
	sched_after(world->sched, sched_rand(world->sched, ORDER_US), order_arrives, msg);
}

static void freeze(void *arg)
{
	struct holder *holder = arg;
	struct world *world = holder->world;

	holder->frozen_until_us = now(world) + sched_rand(world->sched, 20000000);
	sched_trace(world->sched, "holder %u freezes", holder->index);
	if (now(world) < RUN_US)
		sched_after(world->sched, 5000000 + sched_rand(world->sched, 30000000), freeze,
			    holder);
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok = true;

	for (uint32_t i = 0; i < HOLDERS; i++) {
		struct holder *holder = &world.holders[i];
		g_autofree char *name = g_strdup_printf("holder-%u", i);
		struct lease_conf conf = { .key = "lease",
					   .holder = name,
					   .ttl_us = TTL_US,
					   .clock_bound_us = BOUND_US,
					   .grace_us = ORDER_US };

		holder->world = &world;
		holder->index = i;
		holder->skew_ms = (int64_t)sched_rand(sched, BOUND_US / 1000) - BOUND_US / 2000;
		holder->lease = lease_create(&conf, &ops, holder);
		sched_after(sched, sched_rand(sched, TICK_US), tick, holder);
		sched_after(sched, sched_rand(sched, 20000000), freeze, holder);
	}
	sched_run(sched, UINT64_MAX);
	if (world.orders == 0)
		ok = sched_violation(sched, "no holder ever acted");
	for (uint32_t i = 0; i < HOLDERS; i++)
		lease_destroy(world.holders[i].lease);
	g_free(world.value);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "leases and orders", 500, run);
}
