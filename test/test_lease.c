/**
 * @file test_lease.c
 * Orders under a lease: an order of an old holder never overrides a newer one.
 *
 * Three holders have wall clocks that differ within the bound. Commits are
 * lost or applied late, and holders pause. An order arrives up to its timeout
 * later, also while its sender is paused. One engine checks fencing tokens, the
 * other ignores them. At both, the fencing token of applied orders never
 * decreases.
 */
#include "flamingolatch/lease.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define HOLDER_COUNT	  3
#define LEASE_TTL_US	  6000000
#define MAX_CLOCK_SKEW_US 500000
#define ORDER_TIMEOUT_US  1000000 /* timeout: an order arrives within this time or never */
#define RUN_TIME_US	  (90ULL * 1000 * 1000)
#define TICK_INTERVAL_US  200000

struct world;

struct holder {
	struct world *world;
	struct lease *lease;
	uint32_t index;
	int64_t skew_ms;
	uint64_t frozen_until_us;
	uint64_t last_order_token; /* fencing token of its last order */
};

struct world {
	struct sched *sched;
	char *value;
	uint64_t version;
	uint64_t last_version;
	/* fencing token of the last order applied by engine 0, which checks it, and 1 */
	uint64_t applied_tokens[2];
	uint64_t refused_orders;
	uint64_t orders;
	uint64_t acquisitions;
	struct holder holders[HOLDER_COUNT];
	uint64_t owners[512]; /* index of the holder of each fencing token, plus one */
};

struct message {
	struct holder *holder;
	enum table_result result;
	char *value;
	uint64_t version;
	uint64_t if_version;
	uint64_t fencing_token;
	bool read;
	bool send_reply;
};

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

static uint64_t wall_ms(const struct holder *holder)
{
	return (uint64_t)((int64_t)(10000000 + now(holder->world) / 1000) + holder->skew_ms);
}

static bool defer_while_frozen(struct holder *holder, sched_cb resume, void *arg)
{
	if (now(holder->world) >= holder->frozen_until_us)
		return false;
	sched_after(holder->world->sched, holder->frozen_until_us - now(holder->world), resume,
		    arg);
	return true;
}

static void deliver_table_reply(void *arg)
{
	struct message *msg = arg;
	struct holder *holder = msg->holder;
	struct table_row row = { (char *)"lease", msg->value, msg->version };
	bool seen = msg->result <= TABLE_CONFLICT;

	if (defer_while_frozen(holder, deliver_table_reply, msg))
		return;
	if (msg->read)
		lease_on_read(holder->lease, now(holder->world), msg->result,
			      seen && msg->version ? &row : NULL);
	else
		lease_on_commit(holder->lease, now(holder->world), msg->result, seen ? &row : NULL);
	g_free(msg->value);
	g_free(msg);
}

static void send_table_reply(struct holder *holder, bool read, enum table_result result,
			     uint64_t delay_us)
{
	struct message *msg = g_new0(struct message, 1);

	msg->holder = holder;
	msg->read = read;
	msg->result = result;
	msg->value = g_strdup(holder->world->value);
	msg->version = holder->world->version;
	sched_after(holder->world->sched, delay_us, deliver_table_reply, msg);
}

static uint64_t row_fencing_token(const char *value)
{
	const char *at = value ? strstr(value, "\"fence\":") : NULL;

	return at ? g_ascii_strtoull(at + 8, NULL, 10) : 0;
}

static void apply_commit(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->holder->world;
	bool ok = world->version == msg->if_version;
	uint64_t fencing_token = row_fencing_token(msg->value);
	uint64_t owner = msg->holder->index + 1;

	if (ok) {
		if (fencing_token < G_N_ELEMENTS(world->owners) && world->owners[fencing_token] &&
		    world->owners[fencing_token] != owner)
			sched_violation(world->sched, "fencing token %u was used by two holders",
					(unsigned)fencing_token);
		if (fencing_token < G_N_ELEMENTS(world->owners))
			world->owners[fencing_token] = owner;
		world->acquisitions += fencing_token != row_fencing_token(world->value);
		g_free(world->value);
		world->value = g_strdup(msg->value);
		world->version = ++world->last_version;
		sched_trace(world->sched, "store: %s", world->value);
	}
	if (msg->send_reply)
		send_table_reply(msg->holder, false, ok ? TABLE_OK : TABLE_CONFLICT, 1000);
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
	msg->send_reply = !lost;
	if (lost)
		send_table_reply(holder, false, TABLE_OUTCOME_UNKNOWN, 1000000);
	sched_after(world->sched, lost ? sched_rand(world->sched, 4000000) : 5000, apply_commit,
		    msg);
}

static void on_read(void *ctx, const char *key)
{
	struct holder *holder = ctx;

	(void)key;
	send_table_reply(holder, true,
			 sched_chance(holder->world->sched, 10) ? TABLE_OUTCOME_UNKNOWN : TABLE_OK,
			 2000);
}

static const struct lease_ops ops = { on_commit, on_read };

/* The order arrives at both engines. */
static void order_arrives(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->holder->world;

	sched_trace(world->sched, "order of holder %u with fencing token %u", msg->holder->index,
		    (unsigned)msg->fencing_token);
	world->orders++;
	if (msg->fencing_token >= world->applied_tokens[0])
		world->applied_tokens[0] = msg->fencing_token;
	else
		world->refused_orders++;
	if (msg->fencing_token < world->applied_tokens[1])
		sched_violation(world->sched,
				"an order with fencing token %u was applied after one with %u",
				(unsigned)msg->fencing_token, (unsigned)world->applied_tokens[1]);
	world->applied_tokens[1] = msg->fencing_token;
	g_free(msg);
}

static void tick(void *arg)
{
	struct holder *holder = arg;
	struct world *world = holder->world;
	struct message *msg;

	if (now(world) > RUN_TIME_US)
		return;
	if (defer_while_frozen(holder, tick, holder))
		return;
	sched_after(world->sched, TICK_INTERVAL_US, tick, holder);
	lease_tick(holder->lease, now(world), wall_ms(holder));
	if (!lease_valid_for(holder->lease, now(world), ORDER_TIMEOUT_US + MAX_CLOCK_SKEW_US))
		return;
	msg = g_new0(struct message, 1);
	msg->holder = holder;
	msg->fencing_token = lease_fencing_token(holder->lease);
	sched_after(world->sched, sched_rand(world->sched, ORDER_TIMEOUT_US), order_arrives, msg);
}

static void freeze_holder(void *arg)
{
	struct holder *holder = arg;
	struct world *world = holder->world;

	holder->frozen_until_us = now(world) + sched_rand(world->sched, 20000000);
	sched_trace(world->sched, "holder %u freezes", holder->index);
	if (now(world) < RUN_TIME_US)
		sched_after(world->sched, 5000000 + sched_rand(world->sched, 30000000),
			    freeze_holder, holder);
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok = true;

	for (uint32_t i = 0; i < HOLDER_COUNT; i++) {
		struct holder *holder = &world.holders[i];
		g_autofree char *name = g_strdup_printf("holder-%u", i);
		struct lease_conf conf = { .key = "lease",
					   .holder = name,
					   .ttl_us = LEASE_TTL_US,
					   .max_clock_skew_us = MAX_CLOCK_SKEW_US,
					   .grace_us = ORDER_TIMEOUT_US };

		holder->world = &world;
		holder->index = i;
		holder->skew_ms = (int64_t)sched_rand(sched, MAX_CLOCK_SKEW_US / 1000) -
				  MAX_CLOCK_SKEW_US / 2000;
		holder->lease = lease_create(&conf, &ops, holder);
		sched_after(sched, sched_rand(sched, TICK_INTERVAL_US), tick, holder);
		sched_after(sched, sched_rand(sched, 20000000), freeze_holder, holder);
	}
	sched_run(sched, UINT64_MAX);
	if (world.orders == 0)
		ok = sched_violation(sched, "no holder sent an order");
	for (uint32_t i = 0; i < HOLDER_COUNT; i++)
		lease_destroy(world.holders[i].lease);
	g_free(world.value);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "leases and orders", 500, run);
}
