/**
 * @file test_once.c
 * Non-idempotent calls run at most once, and "not run" is true.
 *
 * Several attempts with one key go through different instances against one
 * table row. Commits take effect early, late or never and lose their answers;
 * instances freeze and die; connections fail; services lose answers. The
 * service's own count is compared with what the callers were told.
 */
#include "flamingolatch/once.h"
#include "sched.h"

#include <stdio.h>
#include <string.h>

#define ATTEMPTS_MAX	 5
#define TABLE_TIMEOUT_US 1000000

struct world;

struct attempt {
	struct world *world;
	struct once *once;
	uint32_t id;
	uint64_t frozen_until_us;
	uint32_t sent; /* bytes left for the service */
	bool dead;
	bool answered;
	bool finished;
	bool certain;
	enum err_kind kind;
	char body[32];
};

struct world {
	struct sched *sched;
	char *value; /* the one row */
	uint64_t version;
	uint64_t versions;
	uint64_t down_until_us;
	uint32_t runs;	  /* what the service really did */
	uint32_t ran_for; /* attempt that ran */
	uint32_t fault_percent;
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t count;
};

/* A message on its way to an attempt or to the table. */
struct message {
	struct attempt *attempt;
	enum table_result result;
	char *value; /* row written or seen */
	uint64_t version;
	uint64_t if_version;
	bool read;
	bool answer; /* deliver the outcome of this commit */
	int outcome; /* of a send: 0 not sent, 1 answered, 2 lost */
};

static uint64_t wall_ms(const struct world *world)
{
	return 1000000 + sched_now_us(world->sched) / 1000;
}

static uint64_t delay(struct world *world)
{
	return 200 + sched_rand(world->sched, 20000);
}

static void message_free(struct message *msg)
{
	g_free(msg->value);
	g_free(msg);
}

/* Holds a message for an instance that is frozen. */
static bool hold(struct attempt *attempt, sched_cb again, void *arg)
{
	uint64_t now_us = sched_now_us(attempt->world->sched);

	if (now_us >= attempt->frozen_until_us)
		return false;
	sched_after(attempt->world->sched, attempt->frozen_until_us - now_us, again, arg);
	return true;
}

static void deliver_table(void *arg)
{
	struct message *msg = arg;
	struct attempt *attempt = msg->attempt;
	struct world *world = attempt->world;
	struct table_row row = { (char *)"key", msg->value, msg->version };
	const struct table_row *seen = msg->result <= TABLE_CONFLICT ? &row : NULL;

	if (attempt->dead || attempt->finished) {
		message_free(msg);
		return;
	}
	if (hold(attempt, deliver_table, msg))
		return;
	sched_trace(world->sched, "attempt %u: %s result %d row %s", attempt->id,
		    msg->read ? "read" : "commit", msg->result, msg->value ? msg->value : "-");
	if (msg->read)
		once_on_read(attempt->once, sched_now_us(world->sched), wall_ms(world), msg->result,
			     msg->version ? seen : NULL);
	else
		once_on_commit(attempt->once, sched_now_us(world->sched), wall_ms(world),
			       msg->result, seen);
	message_free(msg);
}

static void reply(struct message *from, enum table_result result, uint64_t after_us)
{
	struct world *world = from->attempt->world;
	struct message *msg = g_new0(struct message, 1);

	msg->attempt = from->attempt;
	msg->read = from->read;
	msg->result = result;
	if (result <= TABLE_CONFLICT) {
		msg->value = g_strdup(world->value);
		msg->version = world->version;
	}
	sched_after(world->sched, after_us, deliver_table, msg);
}

static void apply_commit(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->attempt->world;
	bool ok = world->version == msg->if_version;

	if (ok) {
		g_free(world->value);
		world->value = g_strdup(msg->value);
		world->version = ++world->versions;
		sched_trace(world->sched, "table: attempt %u wrote %s", msg->attempt->id,
			    world->value);
	}
	if (msg->answer)
		reply(msg, ok ? TABLE_OK : TABLE_CONFLICT, delay(world));
	message_free(msg);
}

static void on_commit(void *ctx, const struct table_write *write)
{
	struct attempt *attempt = ctx;
	struct world *world = attempt->world;
	struct message *msg = g_new0(struct message, 1);
	bool down = sched_now_us(world->sched) < world->down_until_us;
	bool fault = sched_chance(world->sched, world->fault_percent);
	uint32_t kind = sched_rand(world->sched, 4);

	msg->attempt = attempt;
	msg->value = g_strdup(write->value);
	msg->if_version = write->if_version;
	msg->answer = !down && !fault;
	if (msg->answer) {
		sched_after(world->sched, delay(world), apply_commit, msg);
	} else if (down || kind == 0) {
		/* Never takes effect; the writer may or may not know. */
		reply(msg, kind < 2 ? TABLE_REFUSED : TABLE_OUTCOME_UNKNOWN, TABLE_TIMEOUT_US);
		message_free(msg);
	} else {
		/* Takes effect, at once or much later, and the answer is lost. */
		reply(msg, TABLE_OUTCOME_UNKNOWN, kind == 1 ? delay(world) : TABLE_TIMEOUT_US);
		sched_after(world->sched, kind == 3 ? sched_rand(world->sched, 8000000) : 500,
			    apply_commit, msg);
	}
}

static void on_read(void *ctx, const char *key)
{
	struct attempt *attempt = ctx;
	struct world *world = attempt->world;
	struct message from = { .attempt = attempt, .read = true };
	bool down = sched_now_us(world->sched) < world->down_until_us;

	(void)key;
	if (down || sched_chance(world->sched, world->fault_percent))
		reply(&from, TABLE_OUTCOME_UNKNOWN, TABLE_TIMEOUT_US);
	else
		reply(&from, TABLE_OK, delay(world));
}

static void deliver_send(void *arg)
{
	struct message *msg = arg;
	struct attempt *attempt = msg->attempt;
	struct world *world = attempt->world;
	struct once_answer answer = { 200, "text/plain", msg->value, 0, false };

	if (!attempt->dead && hold(attempt, deliver_send, msg))
		return;
	if (!attempt->dead && msg->outcome == 1) {
		answer.body_len = strlen(msg->value);
		once_on_answer(attempt->once, sched_now_us(world->sched), &answer);
	} else if (!attempt->dead && msg->outcome == 2) {
		once_on_lost(attempt->once, sched_now_us(world->sched));
	} else if (!attempt->dead) {
		once_on_not_sent(attempt->once, sched_now_us(world->sched),
				 sched_chance(world->sched, 50));
	}
	message_free(msg);
}

static void service_runs(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->attempt->world;

	world->runs++;
	world->ran_for = msg->attempt->id;
	sched_trace(world->sched, "service: runs for attempt %u", msg->attempt->id);
	msg->value = g_strdup_printf("run %u for %u", world->runs, msg->attempt->id);
	sched_after(world->sched, delay(world), deliver_send, msg);
}

/* The connection stands; the first byte leaves now unless the window is over. */
static void on_connected(void *arg)
{
	struct message *msg = arg;
	struct attempt *attempt = msg->attempt;
	struct world *world = attempt->world;

	if (attempt->dead) {
		message_free(msg);
		return;
	}
	if (hold(attempt, on_connected, msg))
		return;
	if (!once_may_send(attempt->once, sched_now_us(world->sched)))
		msg->outcome = 0;
	if (msg->outcome == 0) {
		deliver_send(msg);
		return;
	}
	attempt->sent++;
	sched_after(world->sched, sched_rand(world->sched, 3000000), service_runs, msg);
}

static void on_send(void *ctx)
{
	struct attempt *attempt = ctx;
	struct world *world = attempt->world;
	struct message *msg = g_new0(struct message, 1);
	bool fault = sched_chance(world->sched, world->fault_percent);

	msg->attempt = attempt;
	msg->outcome = fault ? (sched_chance(world->sched, 50) ? 0 : 2) : 1;
	sched_trace(world->sched, "attempt %u: connects", attempt->id);
	sched_after(world->sched, delay(world), on_connected, msg);
}

static void on_timer(void *arg)
{
	struct attempt *attempt = arg;

	if (attempt->dead || attempt->finished || hold(attempt, on_timer, attempt))
		return;
	once_on_timer(attempt->once, sched_now_us(attempt->world->sched), wall_ms(attempt->world));
}

static void on_wait(void *ctx, uint64_t delay_us)
{
	struct attempt *attempt = ctx;

	sched_after(attempt->world->sched, delay_us, on_timer, attempt);
}

static void on_answer(void *ctx, enum err_kind kind, const struct once_answer *answer)
{
	struct attempt *attempt = ctx;
	struct world *world = attempt->world;

	if (attempt->answered)
		sched_violation(world->sched, "attempt %u was answered twice", attempt->id);
	attempt->answered = true;
	attempt->kind = kind;
	if (answer)
		snprintf(attempt->body, sizeof(attempt->body), "%.*s", (int)answer->body_len,
			 answer->body);
	sched_trace(world->sched, "attempt %u: answered %s %s", attempt->id, err_info(kind)->name,
		    attempt->body);
}

static void on_finished(void *ctx, bool certain)
{
	struct attempt *attempt = ctx;

	attempt->finished = true;
	attempt->certain = certain;
}

static const struct once_ops ops = { on_commit, on_read, on_send, on_wait, on_answer, on_finished };

static void start_attempt(void *arg)
{
	struct attempt *attempt = arg;
	struct world *world = attempt->world;
	char token[16];
	struct once_conf conf = { .key = "key",
				  .token = token,
				  .fingerprint = "same",
				  .claim_deadline_us = 3000000,
				  .send_window_us = 5000000,
				  .call_timeout_us = 10000000,
				  .settle_deadline_us = 60000000 };

	snprintf(token, sizeof(token), "token-%u", attempt->id);
	sched_trace(world->sched, "attempt %u: starts", attempt->id);
	attempt->once = once_create(&conf, &ops, attempt);
	once_start(attempt->once, sched_now_us(world->sched), wall_ms(world));
}

static void freeze_attempt(void *arg)
{
	struct attempt *attempt = arg;
	struct world *world = attempt->world;

	attempt->frozen_until_us = sched_now_us(world->sched) + sched_rand(world->sched, 30000000);
	sched_trace(world->sched, "attempt %u: frozen", attempt->id);
}

static void kill_attempt(void *arg)
{
	struct attempt *attempt = arg;

	attempt->dead = true;
	sched_trace(attempt->world->sched, "attempt %u: its instance dies", attempt->id);
}

static void table_goes_down(void *arg)
{
	struct world *world = arg;

	world->down_until_us = sched_now_us(world->sched) + sched_rand(world->sched, 20000000);
}

static void schedule_faults(struct world *world)
{
	for (uint32_t i = 0; i < world->count; i++) {
		struct attempt *attempt = &world->attempts[i];

		attempt->world = world;
		attempt->id = i + 1;
		sched_after(world->sched, sched_rand(world->sched, 8000000), start_attempt,
			    attempt);
		if (sched_chance(world->sched, 30))
			sched_after(world->sched, sched_rand(world->sched, 9000000), freeze_attempt,
				    attempt);
		if (sched_chance(world->sched, 20))
			sched_after(world->sched, sched_rand(world->sched, 9000000), kill_attempt,
				    attempt);
	}
	if (sched_chance(world->sched, 30))
		sched_after(world->sched, sched_rand(world->sched, 8000000), table_goes_down,
			    world);
}

static bool check_attempt(struct world *world, const struct attempt *attempt)
{
	if (!attempt->answered) {
		if (!attempt->dead && attempt->once)
			return sched_violation(world->sched, "attempt %u got no answer",
					       attempt->id);
		return true;
	}
	if (attempt->kind == ERR_OK && world->runs == 0)
		return sched_violation(world->sched, "attempt %u was told of a run that never was",
				       attempt->id);
	if (err_info(attempt->kind)->ran == ERR_RAN_NOT && attempt->sent > 0)
		return sched_violation(world->sched, "attempt %u ran after \"not run\"",
				       attempt->id);
	return true;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok = true;

	world.count = 1 + sched_rand(sched, ATTEMPTS_MAX);
	world.fault_percent = sched_rand(sched, 4) * 15;
	schedule_faults(&world);
	sched_run(sched, UINT64_MAX);
	if (world.runs > 1)
		ok = sched_violation(sched, "the call ran %u times", world.runs);
	for (uint32_t i = 0; i < world.count; i++)
		ok = check_attempt(&world, &world.attempts[i]) && ok;
	for (uint32_t i = 0; i < world.count; i++)
		once_destroy(world.attempts[i].once);
	g_free(world.value);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "at most once", 4000, run);
}
