/**
 * @file test_gen.c
 * A caller gets every token once, in order and from a single generation.
 *
 * One caller reads a generation through several instances. Engines die,
 * freeze, stall, lose streams and repeat old output. Every token carries the
 * number of the generation that produced it. The caller resumes at another
 * instance when its own dies, freezes or is superseded; an old instance may
 * wake up later and continue.
 */
#include "flamingolatch/gen.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINE_COUNT	  3
#define MAX_HANDLERS	  6
#define TOKEN_INTERVAL_US 20000
#define RUN_TIME_US	  (120ULL * 1000 * 1000)
#define MAX_FREEZE_US	  12000000

/* A stream on an engine: the output of one generation. */
struct stream {
	uint32_t engine;
	uint32_t generation; /* 0 for all streams when engines continue exactly */
	uint64_t epoch;
	uint64_t first_offset;
	uint64_t produced;
	uint64_t total;
	struct connection *connection; /* the attached connection, or NULL */
};

struct world {
	struct sched *sched;
	struct stream streams[64];
	uint32_t stream_count;
	GPtrArray *connections;
	bool dead[ENGINE_COUNT];
	uint64_t frozen_until_us[ENGINE_COUNT];
	bool exact; /* engines continue the output of others exactly */
	bool buffered;
	uint64_t total;
	struct handler *handlers[MAX_HANDLERS];
	uint32_t handler_count;
	/* what the caller received */
	uint64_t received;
	int64_t generation;
	uint32_t last_stream; /* stream of the newest event id, plus one */
	bool finished;
	bool complete;
	enum err_kind error;
};

/* The handling of the caller's request by one instance. */
struct handler {
	struct world *world;
	struct gen *gen;
	uint32_t id;
	uint32_t stream; /* index plus one; 0 when none */
	struct connection *connection;
	uint64_t frozen_until_us;
	uint64_t buffered_count;
	int64_t buffered_generation;
	bool dead;
	bool gen_ended;
	bool is_current; /* the caller is connected to it */
	bool has_prompt;
};

/* A connection between an instance and an engine. */
struct connection {
	struct handler *handler;
	struct world *world;
	uint32_t stream;
	uint64_t sent;
	bool handler_connected; /* the instance still reads */
	bool engine_connected;	/* the engine still writes */
};

/* A message on a connection. */
struct message {
	struct connection *connection;
	enum {
		MSG_OPEN,
		MSG_TOKEN,
		MSG_END,
		MSG_BREAK
	} type;
	enum gen_break reason;
	uint64_t epoch;
	uint64_t offset;
	uint32_t stream;
};

static void resume_elsewhere(void *arg);
static void produce_tokens(void *arg);

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

/* caller */

static void caller_receives(struct handler *handler, uint64_t offset, uint32_t generation)
{
	struct world *world = handler->world;

	if (!handler->is_current || world->finished)
		return;
	sched_trace(world->sched, "caller: token %u of generation %u by handler %u",
		    (unsigned)offset, generation, handler->id);
	if (offset != world->received)
		sched_violation(world->sched, "got token %u, expected %u", (unsigned)offset,
				(unsigned)world->received);
	if (world->received == 0)
		world->generation = generation;
	if (world->generation != generation)
		sched_violation(world->sched, "token %u is from generation %u, not %d",
				(unsigned)offset, generation, (int)world->generation);
	world->received++;
	world->last_stream = handler->stream;
}

static void caller_finishes(struct handler *handler, enum err_kind kind)
{
	struct world *world = handler->world;

	if (!handler->is_current || world->finished)
		return;
	if (kind == ERR_SUPERSEDED) {
		handler->is_current = false;
		sched_after(world->sched, 200000, resume_elsewhere, world);
		return;
	}
	sched_trace(world->sched, "caller: ends with %s", err_info(kind)->name);
	world->finished = true;
	world->complete = kind == ERR_OK;
	world->error = kind;
	if (world->complete && world->received != world->total)
		sched_violation(world->sched, "reported complete after %u of %u tokens",
				(unsigned)world->received, (unsigned)world->total);
}

/* messages from engines to instances */

static void deliver_message(void *arg)
{
	struct message *msg = arg;
	struct connection *connection = msg->connection;
	struct handler *handler = connection->handler;
	struct world *world = handler->world;
	struct stream *stream = &world->streams[msg->stream];
	char text[16];

	if (!connection->handler_connected || handler->dead || handler->gen_ended) {
		g_free(msg);
		return;
	}
	if (now(world) < handler->frozen_until_us) {
		sched_after(world->sched, handler->frozen_until_us - now(world), deliver_message,
			    msg);
		return;
	}
	snprintf(text, sizeof(text), "%u", stream->generation);
	switch (msg->type) {
	case MSG_OPEN:
		handler->stream = msg->stream + 1;
		gen_on_open(handler->gen, now(world), msg->epoch);
		break;
	case MSG_TOKEN:
		gen_on_token(handler->gen, now(world), msg->epoch, msg->offset, text, strlen(text));
		break;
	case MSG_END:
		gen_on_end(handler->gen, now(world), msg->epoch, msg->offset);
		break;
	case MSG_BREAK:
		gen_on_break(handler->gen, now(world), msg->reason);
		break;
	}
	g_free(msg);
}

static void send_message(struct connection *connection, struct message msg, uint64_t delay_us)
{
	struct message *copy = g_memdup2(&msg, sizeof(msg));

	copy->connection = connection;
	copy->stream = connection->stream;
	sched_after(connection->world->sched, delay_us, deliver_message, copy);
}

/* Sends the tokens that were not sent yet; sometimes repeats the last one. */
static void engine_flush(struct world *world, struct stream *stream)
{
	struct connection *connection = stream->connection;

	if (!connection || !connection->engine_connected)
		return;
	if (connection->sent > stream->first_offset && sched_chance(world->sched, 3))
		send_message(connection,
			     (struct message){ .type = MSG_TOKEN,
					       .epoch = stream->epoch,
					       .offset = connection->sent - 1 },
			     500);
	while (connection->sent < stream->produced) {
		send_message(connection,
			     (struct message){ .type = MSG_TOKEN,
					       .epoch = stream->epoch,
					       .offset = connection->sent },
			     1000);
		connection->sent++;
	}
	if (stream->produced == stream->total) {
		send_message(connection,
			     (struct message){ .type = MSG_END,
					       .epoch = stream->epoch,
					       .offset = stream->total },
			     1000);
		connection->engine_connected = false;
	} else if (sched_chance(world->sched, 1)) {
		send_message(connection,
			     (struct message){ .type = MSG_BREAK, .reason = GEN_BREAK_LOST }, 1000);
		connection->engine_connected = false;
	}
}

static bool all_finished(const struct world *world)
{
	for (uint32_t i = 0; i < world->handler_count; i++) {
		if (!world->handlers[i]->dead && !world->handlers[i]->gen_ended)
			return false;
	}
	return world->finished;
}

static void produce_tokens(void *arg)
{
	struct world *world = arg;

	if (now(world) > RUN_TIME_US || all_finished(world))
		return;
	for (uint32_t i = 0; i < world->stream_count; i++) {
		struct stream *stream = &world->streams[i];

		if (world->dead[stream->engine] ||
		    now(world) < world->frozen_until_us[stream->engine])
			continue;
		if (stream->produced < stream->total)
			stream->produced++;
		engine_flush(world, stream);
	}
	sched_after(world->sched, TOKEN_INTERVAL_US, produce_tokens, world);
}

/* connections */

static struct connection *connection_new(struct handler *handler, uint32_t stream)
{
	struct connection *connection = g_new0(struct connection, 1);

	g_ptr_array_add(handler->world->connections, connection);

	connection->handler = handler;
	connection->world = handler->world;
	connection->stream = stream;
	connection->handler_connected = true;
	handler->connection = connection;
	return connection;
}

static void connection_attach(struct connection *connection, uint64_t offset)
{
	struct world *world = connection->world;
	struct stream *stream = &world->streams[connection->stream];

	if (stream->connection && stream->connection->engine_connected) {
		send_message(stream->connection,
			     (struct message){ .type = MSG_BREAK, .reason = GEN_BREAK_FENCED },
			     sched_rand(world->sched, 5000));
		stream->connection->engine_connected = false;
	}
	stream->connection = connection;
	connection->sent = offset;
	connection->engine_connected = true;
	send_message(connection, (struct message){ .type = MSG_OPEN, .epoch = stream->epoch }, 500);
	engine_flush(world, stream);
}

static void break_new_connection(struct handler *handler, enum gen_break reason, uint64_t delay_us)
{
	struct connection *connection = connection_new(handler, 0);

	send_message(connection, (struct message){ .type = MSG_BREAK, .reason = reason }, delay_us);
}

/* operations of struct gen_ops */

static void on_open(void *ctx, uint64_t offset)
{
	struct handler *handler = ctx;
	struct world *world = handler->world;
	uint32_t engine = sched_rand(world->sched, ENGINE_COUNT);
	uint32_t index = world->stream_count;
	struct stream *stream;

	if (!handler->has_prompt)
		sched_violation(world->sched, "handler %u opened a stream without a prompt",
				handler->id);
	if (world->dead[engine] || index == G_N_ELEMENTS(world->streams)) {
		break_new_connection(handler, GEN_BREAK_REFUSED, 1000);
		return;
	}
	if (now(world) < world->frozen_until_us[engine]) {
		break_new_connection(handler, GEN_BREAK_LOST, 1000000);
		return;
	}
	stream = &world->streams[world->stream_count++];
	*stream = (struct stream){ .engine = engine,
				   .generation = world->exact ? 0 : index + 1,
				   .epoch = 1,
				   .first_offset = offset,
				   .produced = offset,
				   .total = world->total };
	sched_trace(world->sched, "engine %u: stream %u for handler %u from %u", engine, index,
		    handler->id, (unsigned)offset);
	connection_attach(connection_new(handler, index), offset);
}

static void on_attach(void *ctx, uint64_t offset, uint64_t epoch, bool takeover)
{
	struct handler *handler = ctx;
	struct world *world = handler->world;
	struct stream *stream = &world->streams[handler->stream - 1];

	sched_trace(world->sched, "handler %u: attaches to stream %u at %u, epoch %u%s",
		    handler->id, handler->stream - 1, (unsigned)offset, (unsigned)epoch,
		    takeover ? ", takes over" : "");
	if (world->dead[stream->engine])
		break_new_connection(handler, GEN_BREAK_REFUSED, 1000);
	else if (now(world) < world->frozen_until_us[stream->engine])
		break_new_connection(handler, GEN_BREAK_LOST, 1000000);
	else if (!takeover && epoch != stream->epoch)
		break_new_connection(handler, GEN_BREAK_FENCED, 1000);
	else if (offset > stream->produced || offset < stream->first_offset)
		break_new_connection(handler, GEN_BREAK_GONE, 1000);
	else {
		stream->epoch += takeover;
		connection_attach(connection_new(handler, handler->stream - 1), offset);
	}
}

static void on_disconnect(void *ctx)
{
	struct handler *handler = ctx;

	if (handler->connection)
		handler->connection->handler_connected = false;
	handler->connection = NULL;
}

static void on_deliver(void *ctx, uint64_t offset, const char *text, size_t len)
{
	struct handler *handler = ctx;
	uint32_t generation = (uint32_t)strtoul(text, NULL, 10);

	(void)len;
	if (!handler->world->buffered) {
		caller_receives(handler, offset, generation);
		return;
	}
	if (offset != handler->buffered_count)
		sched_violation(handler->world->sched, "buffered token %u, expected %u",
				(unsigned)offset, (unsigned)handler->buffered_count);
	if (offset == 0)
		handler->buffered_generation = generation;
	if (handler->buffered_generation != generation)
		sched_violation(handler->world->sched, "the buffered answer mixes generations");
	handler->buffered_count++;
}

static void on_discard(void *ctx)
{
	struct handler *handler = ctx;

	if (!handler->world->buffered)
		sched_violation(handler->world->sched, "delivered tokens were discarded");
	handler->buffered_count = 0;
}

static void on_timer(void *arg)
{
	struct handler *handler = arg;
	struct world *world = handler->world;

	if (handler->dead || handler->gen_ended)
		return;
	if (now(world) < handler->frozen_until_us)
		sched_after(world->sched, handler->frozen_until_us - now(world), on_timer, handler);
	else
		gen_on_timer(handler->gen, now(world));
}

static void on_start_timer(void *ctx, uint64_t delay_us)
{
	struct handler *handler = ctx;

	sched_after(handler->world->sched, delay_us, on_timer, handler);
}

static void on_end(struct handler *handler, enum err_kind kind)
{
	handler->gen_ended = true;
	if (handler->world->buffered && kind == ERR_OK)
		handler->world->received = handler->buffered_count;
	caller_finishes(handler, kind);
}

static void on_finish(void *ctx)
{
	on_end(ctx, ERR_OK);
}

static void on_fail(void *ctx, enum err_kind kind)
{
	on_end(ctx, kind);
}

static bool on_can_continue(void *ctx)
{
	struct handler *handler = ctx;

	return handler->world->exact && handler->has_prompt && gen_delivered(handler->gen) > 0;
}

static const struct gen_ops ops = { on_open,	on_attach,  on_disconnect,
				    on_deliver, on_discard, on_start_timer,
				    on_finish,	on_fail,    on_can_continue };

/* instances */

static void check_stall(void *arg)
{
	struct handler *handler = arg;
	struct world *world = handler->world;

	if (handler->dead || handler->gen_ended || now(world) > RUN_TIME_US)
		return;
	if (now(world) >= handler->frozen_until_us)
		gen_check_stall(handler->gen, now(world));
	sched_after(world->sched, 100000, check_stall, handler);
}

static struct handler *handler_new(struct world *world)
{
	struct gen_conf conf = { .buffered = world->buffered,
				 .stall_timeout_us = 1000000,
				 .preempted_stall_timeout_us = 4000000,
				 .resume_deadline_us = 6000000,
				 .restarts_max = 3 };
	struct handler *handler = g_new0(struct handler, 1);

	handler->world = world;
	handler->id = world->handler_count;
	handler->gen = gen_create(&conf, &ops, handler);
	handler->is_current = true;
	world->handlers[world->handler_count++] = handler;
	sched_after(world->sched, 100000, check_stall, handler);
	return handler;
}

/* The caller reconnects to another instance with the newest event id. */
static void resume_elsewhere(void *arg)
{
	struct world *world = arg;
	struct handler *handler;

	if (world->finished || world->handler_count == MAX_HANDLERS)
		return;
	for (uint32_t i = 0; i < world->handler_count; i++)
		world->handlers[i]->is_current = false;
	handler = handler_new(world);
	if (world->last_stream == 0) {
		handler->has_prompt = true;
		gen_start(handler->gen, now(world));
		return;
	}
	handler->stream = world->last_stream;
	gen_resume(handler->gen, now(world), world->received);
}

static void fail_handler(void *arg)
{
	struct world *world = arg;
	struct handler *handler = world->handlers[world->handler_count - 1];

	if (world->finished || world->buffered)
		return;
	if (sched_chance(world->sched, 50)) {
		handler->dead = true;
		on_disconnect(handler);
		sched_trace(world->sched, "handler %u dies", handler->id);
	} else {
		handler->frozen_until_us = now(world) + sched_rand(world->sched, MAX_FREEZE_US);
		sched_trace(world->sched, "handler %u freezes", handler->id);
	}
	sched_after(world->sched, 300000, resume_elsewhere, world);
}

static void fail_engine(void *arg)
{
	struct world *world = arg;
	uint32_t engine = sched_rand(world->sched, ENGINE_COUNT);

	if (sched_chance(world->sched, 30)) {
		world->dead[engine] = true;
		sched_trace(world->sched, "engine %u dies", engine);
		for (uint32_t i = 0; i < world->stream_count; i++) {
			struct stream *stream = &world->streams[i];

			if (stream->engine != engine || !stream->connection ||
			    !stream->connection->engine_connected)
				continue;
			send_message(
				stream->connection,
				(struct message){ .type = MSG_BREAK, .reason = GEN_BREAK_LOST },
				1000);
			stream->connection->engine_connected = false;
		}
	} else {
		world->frozen_until_us[engine] =
			now(world) + sched_rand(world->sched, MAX_FREEZE_US);
		sched_trace(world->sched, "engine %u freezes", engine);
	}
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	uint32_t fault_count = sched_rand(sched, 5);
	struct handler *first;
	bool ok = true;

	world.connections = g_ptr_array_new_with_free_func(g_free);
	world.exact = sched_chance(sched, 40);
	world.buffered = sched_chance(sched, 25);
	world.total = 1 + sched_rand(sched, 200);
	first = handler_new(&world);
	first->has_prompt = true;
	gen_start(first->gen, 0);
	produce_tokens(&world);
	for (uint32_t i = 0; i < fault_count; i++)
		sched_after(sched, sched_rand(sched, 5000000),
			    sched_chance(sched, 50) ? fail_handler : fail_engine, &world);
	sched_run(sched, UINT64_MAX);
	if (!world.finished && world.handler_count < MAX_HANDLERS)
		ok = sched_violation(sched, "the answer did not end, %u of %u tokens received",
				     (unsigned)world.received, (unsigned)world.total);
	for (uint32_t i = 0; i < world.handler_count; i++) {
		gen_destroy(world.handlers[i]->gen);
		g_free(world.handlers[i]);
	}
	g_ptr_array_free(world.connections, TRUE);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "single generation", 3000, run);
}
