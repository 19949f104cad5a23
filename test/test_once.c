/**
 * @file test_once.c
 * A non-idempotent call runs at most once, and a caller that is answered
 * "not run" can rely on it.
 *
 * Several requests with one key go through different instances to one row of
 * the store. Commits are applied early, late or never and their answers are
 * lost; instances freeze and die; connections fail; answers of the service are
 * lost. The number of executions that the service counts is compared with the
 * answers that the callers got.
 */
#include "flamingolatch/once.h"
#include "sched.h"

#include <stdio.h>
#include <string.h>

#define MAX_REQUESTS	 5
#define STORE_TIMEOUT_US 1000000

struct world;

struct request {
	struct world *world;
	struct once *once;
	uint32_t id;
	uint64_t frozen_until_us;
	uint32_t sends; /* times that the call went out to the service */
	bool dead;
	bool answered;
	bool finished;
	bool row_up_to_date;
	enum err_kind kind;
	char body[32];
};

struct world {
	struct sched *sched;
	char *value; /* content of the row of the key */
	uint64_t version;
	uint64_t last_version;
	uint64_t store_down_until_us;
	uint32_t executions;	   /* times that the service executed the call */
	uint32_t executed_request; /* request whose call was executed last */
	uint32_t fault_percent;
	struct request requests[MAX_REQUESTS];
	uint32_t request_count;
};

/* A message in flight to an instance or to the store. */
struct message {
	struct request *request;
	enum table_result result;
	char *value; /* row to write, or row as read */
	uint64_t version;
	uint64_t if_version;
	bool read;
	bool send_reply; /* the result of this commit is not lost */
	int outcome;	 /* of a send: 0 not sent, 1 answered, 2 answer lost */
};

static uint64_t wall_ms(const struct world *world)
{
	return 1000000 + sched_now_us(world->sched) / 1000;
}

static uint64_t random_delay_us(struct world *world)
{
	return 200 + sched_rand(world->sched, 20000);
}

static void message_free(struct message *msg)
{
	g_free(msg->value);
	g_free(msg);
}

/* Delays a message to an instance that is frozen until it resumes. */
static bool defer_while_frozen(struct request *request, sched_cb resume, void *arg)
{
	uint64_t now_us = sched_now_us(request->world->sched);

	if (now_us >= request->frozen_until_us)
		return false;
	sched_after(request->world->sched, request->frozen_until_us - now_us, resume, arg);
	return true;
}

static void deliver_table_reply(void *arg)
{
	struct message *msg = arg;
	struct request *request = msg->request;
	struct world *world = request->world;
	struct table_row row = { (char *)"key", msg->value, msg->version };
	const struct table_row *seen = msg->result <= TABLE_CONFLICT ? &row : NULL;

	if (request->dead || request->finished) {
		message_free(msg);
		return;
	}
	if (defer_while_frozen(request, deliver_table_reply, msg))
		return;
	sched_trace(world->sched, "request %u: %s result %d row %s", request->id,
		    msg->read ? "read" : "commit", msg->result, msg->value ? msg->value : "-");
	if (msg->read)
		once_on_read(request->once, sched_now_us(world->sched), wall_ms(world), msg->result,
			     msg->version ? seen : NULL);
	else
		once_on_commit(request->once, sched_now_us(world->sched), wall_ms(world),
			       msg->result, seen);
	message_free(msg);
}

static void send_table_reply(struct message *from, enum table_result result, uint64_t after_us)
{
	struct world *world = from->request->world;
	struct message *msg = g_new0(struct message, 1);

	msg->request = from->request;
	msg->read = from->read;
	msg->result = result;
	if (result <= TABLE_CONFLICT) {
		msg->value = g_strdup(world->value);
		msg->version = world->version;
	}
	sched_after(world->sched, after_us, deliver_table_reply, msg);
}

static void apply_commit(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->request->world;
	bool ok = world->version == msg->if_version;

	if (ok) {
		g_free(world->value);
		world->value = g_strdup(msg->value);
		world->version = ++world->last_version;
		sched_trace(world->sched, "store: request %u wrote %s", msg->request->id,
			    world->value);
	}
	if (msg->send_reply)
		send_table_reply(msg, ok ? TABLE_OK : TABLE_CONFLICT, random_delay_us(world));
	message_free(msg);
}

static void on_commit(void *ctx, const struct table_write *write)
{
	struct request *request = ctx;
	struct world *world = request->world;
	struct message *msg = g_new0(struct message, 1);
	bool down = sched_now_us(world->sched) < world->store_down_until_us;
	bool fault = sched_chance(world->sched, world->fault_percent);
	uint32_t kind = sched_rand(world->sched, 4);

	msg->request = request;
	msg->value = g_strdup(write->value);
	msg->if_version = write->if_version;
	msg->send_reply = !down && !fault;
	if (msg->send_reply) {
		sched_after(world->sched, random_delay_us(world), apply_commit, msg);
	} else if (down || kind == 0) {
		/* Never applied; the writer sees a refusal or no answer. */
		send_table_reply(msg, kind < 2 ? TABLE_REFUSED : TABLE_OUTCOME_UNKNOWN,
				 STORE_TIMEOUT_US);
		message_free(msg);
	} else {
		/* Applied, at once or much later, and the answer is lost. */
		send_table_reply(msg, TABLE_OUTCOME_UNKNOWN,
				 kind == 1 ? random_delay_us(world) : STORE_TIMEOUT_US);
		sched_after(world->sched, kind == 3 ? sched_rand(world->sched, 8000000) : 500,
			    apply_commit, msg);
	}
}

static void on_read(void *ctx, const char *key)
{
	struct request *request = ctx;
	struct world *world = request->world;
	struct message from = { .request = request, .read = true };
	bool down = sched_now_us(world->sched) < world->store_down_until_us;

	(void)key;
	if (down || sched_chance(world->sched, world->fault_percent))
		send_table_reply(&from, TABLE_OUTCOME_UNKNOWN, STORE_TIMEOUT_US);
	else
		send_table_reply(&from, TABLE_OK, random_delay_us(world));
}

static void deliver_send_outcome(void *arg)
{
	struct message *msg = arg;
	struct request *request = msg->request;
	struct world *world = request->world;
	struct once_answer answer = { 200, "text/plain", msg->value, 0, false };

	if (!request->dead && defer_while_frozen(request, deliver_send_outcome, msg))
		return;
	if (!request->dead && msg->outcome == 1) {
		answer.body_len = strlen(msg->value);
		once_on_answer(request->once, sched_now_us(world->sched), &answer);
	} else if (!request->dead && msg->outcome == 2) {
		once_on_answer_lost(request->once, sched_now_us(world->sched));
	} else if (!request->dead) {
		once_on_not_sent(request->once, sched_now_us(world->sched),
				 sched_chance(world->sched, 50));
	}
	message_free(msg);
}

static void service_executes(void *arg)
{
	struct message *msg = arg;
	struct world *world = msg->request->world;

	world->executions++;
	world->executed_request = msg->request->id;
	sched_trace(world->sched, "service: executes the call of request %u", msg->request->id);
	msg->value = g_strdup_printf("run %u for %u", world->executions, msg->request->id);
	sched_after(world->sched, random_delay_us(world), deliver_send_outcome, msg);
}

/* The connection is open: sends unless the send window has passed. */
static void on_connected(void *arg)
{
	struct message *msg = arg;
	struct request *request = msg->request;
	struct world *world = request->world;

	if (request->dead) {
		message_free(msg);
		return;
	}
	if (defer_while_frozen(request, on_connected, msg))
		return;
	if (!once_may_send(request->once, sched_now_us(world->sched)))
		msg->outcome = 0;
	if (msg->outcome == 0) {
		deliver_send_outcome(msg);
		return;
	}
	request->sends++;
	sched_after(world->sched, sched_rand(world->sched, 3000000), service_executes, msg);
}

static void on_send(void *ctx)
{
	struct request *request = ctx;
	struct world *world = request->world;
	struct message *msg = g_new0(struct message, 1);
	bool fault = sched_chance(world->sched, world->fault_percent);

	msg->request = request;
	msg->outcome = fault ? (sched_chance(world->sched, 50) ? 0 : 2) : 1;
	sched_trace(world->sched, "request %u: connects", request->id);
	sched_after(world->sched, random_delay_us(world), on_connected, msg);
}

static void on_timer(void *arg)
{
	struct request *request = arg;

	if (request->dead || request->finished || defer_while_frozen(request, on_timer, request))
		return;
	once_on_timer(request->once, sched_now_us(request->world->sched), wall_ms(request->world));
}

static void on_wait(void *ctx, uint64_t delay_us)
{
	struct request *request = ctx;

	sched_after(request->world->sched, delay_us, on_timer, request);
}

static void on_answer(void *ctx, enum err_kind kind, const struct once_answer *answer)
{
	struct request *request = ctx;
	struct world *world = request->world;

	if (request->answered)
		sched_violation(world->sched, "request %u was answered twice", request->id);
	request->answered = true;
	request->kind = kind;
	if (answer)
		snprintf(request->body, sizeof(request->body), "%.*s", (int)answer->body_len,
			 answer->body);
	sched_trace(world->sched, "request %u: answered %s %s", request->id, err_info(kind)->name,
		    request->body);
}

static void on_finished(void *ctx, bool row_up_to_date)
{
	struct request *request = ctx;

	request->finished = true;
	request->row_up_to_date = row_up_to_date;
}

static const struct once_ops ops = { on_commit, on_read, on_send, on_wait, on_answer, on_finished };

static void start_request(void *arg)
{
	struct request *request = arg;
	struct world *world = request->world;
	char token[16];
	struct once_conf conf = { .key = "key",
				  .token = token,
				  .fingerprint = "same",
				  .claim_timeout_us = 3000000,
				  .send_window_us = 5000000,
				  .call_timeout_us = 10000000,
				  .record_timeout_us = 60000000 };

	snprintf(token, sizeof(token), "token-%u", request->id);
	sched_trace(world->sched, "request %u: starts", request->id);
	request->once = once_create(&conf, &ops, request);
	once_start(request->once, sched_now_us(world->sched), wall_ms(world));
}

static void freeze_instance(void *arg)
{
	struct request *request = arg;
	struct world *world = request->world;

	request->frozen_until_us = sched_now_us(world->sched) + sched_rand(world->sched, 30000000);
	sched_trace(world->sched, "request %u: frozen", request->id);
}

static void kill_instance(void *arg)
{
	struct request *request = arg;

	request->dead = true;
	sched_trace(request->world->sched, "request %u: its instance dies", request->id);
}

static void start_store_outage(void *arg)
{
	struct world *world = arg;

	world->store_down_until_us =
		sched_now_us(world->sched) + sched_rand(world->sched, 20000000);
}

static void schedule_faults(struct world *world)
{
	for (uint32_t i = 0; i < world->request_count; i++) {
		struct request *request = &world->requests[i];

		request->world = world;
		request->id = i + 1;
		sched_after(world->sched, sched_rand(world->sched, 8000000), start_request,
			    request);
		if (sched_chance(world->sched, 30))
			sched_after(world->sched, sched_rand(world->sched, 9000000),
				    freeze_instance, request);
		if (sched_chance(world->sched, 20))
			sched_after(world->sched, sched_rand(world->sched, 9000000), kill_instance,
				    request);
	}
	if (sched_chance(world->sched, 30))
		sched_after(world->sched, sched_rand(world->sched, 8000000), start_store_outage,
			    world);
}

static bool check_request(struct world *world, const struct request *request)
{
	if (!request->answered) {
		if (!request->dead && request->once)
			return sched_violation(world->sched, "request %u got no answer",
					       request->id);
		return true;
	}
	if (request->kind == ERR_OK && world->executions == 0)
		return sched_violation(
			world->sched,
			"request %u was answered with a result, but the call never ran",
			request->id);
	if (err_info(request->kind)->execution == ERR_EXECUTION_NOT_RUN && request->sends > 0)
		return sched_violation(world->sched, "request %u ran after \"not run\"",
				       request->id);
	return true;
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	bool ok = true;

	world.request_count = 1 + sched_rand(sched, MAX_REQUESTS);
	world.fault_percent = sched_rand(sched, 4) * 15;
	schedule_faults(&world);
	sched_run(sched, UINT64_MAX);
	if (world.executions > 1)
		ok = sched_violation(sched, "the call ran %u times", world.executions);
	for (uint32_t i = 0; i < world.request_count; i++)
		ok = check_request(&world, &world.requests[i]) && ok;
	for (uint32_t i = 0; i < world.request_count; i++)
		once_destroy(world.requests[i].once);
	g_free(world.value);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "at most once", 4000, run);
}
