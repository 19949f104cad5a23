/**
 * @file test_gen.c
 * Tokens once, in order, from a single generation.
 *
 * One caller follows a generation through up to three instances against
 * engines that die, freeze, stall, forget streams and repeat old output. Every
 * token carries the generation that made it. The caller resumes elsewhere when
 * its instance dies or tells it to; an old instance may wake and go on.
 */
#include "flamingolatch/gen.h"
#include "sched.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINES	      3
#define HANDLERS_MAX  6
#define STEP_US	      20000
#define RUN_US	      (120ULL * 1000 * 1000)
#define FREEZE_MAX_US 12000000

/* A stream on an engine: tokens of one generation. */
struct stream {
	uint32_t engine;
	uint32_t generation; /* 0 is shared by engines that continue exactly */
	uint64_t epoch;
	uint64_t first;
	uint64_t produced;
	uint64_t total;
	struct link *link; /* attached connection */
};

struct world {
	struct sched *sched;
	struct stream streams[64];
	uint32_t stream_count;
	GPtrArray *links;
	bool dead[ENGINES];
	uint64_t frozen_until_us[ENGINES];
	bool exact;
	bool buffered;
	uint64_t total;
	struct handler *handlers[HANDLERS_MAX];
	uint32_t handler_count;
	/* what the caller saw */
	uint64_t got;
	int64_t generation;
	uint32_t last_stream; /* newest id, plus one */
	bool over;
	bool whole;
	enum err_kind error;
};

/* An instance's work for the caller. */
struct handler {
	struct world *world;
	struct gen *gen;
	uint32_t id;
	uint32_t stream; /* plus one; 0 when none */
	struct link *link;
	uint64_t frozen_until_us;
	uint64_t held_count;
	int64_t held_generation;
	bool dead;
	bool ended;
	bool is_current; /* the caller listens to it */
	bool has_prompt;
};

/* A connection between an instance and an engine. */
struct link {
	struct handler *handler;
	struct world *world;
	uint32_t stream;
	uint64_t sent;
	bool open; /* the instance still listens */
	bool up;   /* the engine still writes */
};

/* A message on a connection. */
struct message {
	struct link *link;
	enum {
		MSG_OPEN,
		MSG_TOKEN,
		MSG_END,
		MSG_BREAK
	} type;
	enum gen_break why;
	uint64_t epoch;
	uint64_t offset;
	uint32_t stream;
};

static void resume_elsewhere(void *arg);
static void next_token(void *arg);

static uint64_t now(const struct world *world)
{
	return sched_now_us(world->sched);
}

/* caller */

static void caller_gets(struct handler *handler, uint64_t offset, uint32_t generation)
{
	struct world *world = handler->world;

	if (!handler->is_current || world->over)
		return;
	sched_trace(world->sched, "caller: token %u of generation %u by handler %u",
		    (unsigned)offset, generation, handler->id);
	if (offset != world->got)
		sched_violation(world->sched, "token %u came when %u was due", (unsigned)offset,
				(unsigned)world->got);
	if (world->got == 0)
		world->generation = generation;
	if (world->generation != generation)
		sched_violation(world->sched, "token %u is of generation %u, not %d",
				(unsigned)offset, generation, (int)world->generation);
	world->got++;
	world->last_stream = handler->stream;
}

static void caller_ends(struct handler *handler, enum err_kind kind)
{
	struct world *world = handler->world;

	if (!handler->is_current || world->over)
		return;
	if (kind == ERR_SUPERSEDED) {
		handler->is_current = false;
		sched_after(world->sched, 200000, resume_elsewhere, world);
		return;
	}
	sched_trace(world->sched, "caller: ends with %s", err_info(kind)->name);
	world->over = true;
	world->whole = kind == ERR_OK;
	world->error = kind;
	if (world->whole && world->got != world->total)
		sched_violation(world->sched, "%u of %u tokens called whole", (unsigned)world->got,
				(unsigned)world->total);
}

/* messages from engines to instances */

static void deliver(void *arg)
{
	struct message *msg = arg;
	struct link *link = msg->link;
	struct handler *handler = link->handler;
	struct world *world = handler->world;
	struct stream *stream = &world->streams[msg->stream];
	char text[16];

	if (!link->open || handler->dead || handler->ended) {
		g_free(msg);
		return;
	}
	if (now(world) < handler->frozen_until_us) {
		sched_after(world->sched, handler->frozen_until_us - now(world), deliver, msg);
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
		gen_on_break(handler->gen, now(world), msg->why);
		break;
	}
	g_free(msg);
}

static void post(struct link *link, struct message msg, uint64_t delay_us)
{
	struct message *copy = g_memdup2(&msg, sizeof(msg));

	copy->link = link;
	copy->stream = link->stream;
	sched_after(link->world->sched, delay_us, deliver, copy);
}

/* Writes what the stream has beyond what was sent; sometimes repeats itself. */
static void engine_flush(struct world *world, struct stream *stream)
{
	struct link *link = stream->link;

	if (!link || !link->up)
		return;
	if (link->sent > stream->first && sched_chance(world->sched, 3))
		post(link,
		     (struct message){
			     .type = MSG_TOKEN, .epoch = stream->epoch, .offset = link->sent - 1 },
		     500);
	while (link->sent < stream->produced) {
		post(link,
		     (struct message){
			     .type = MSG_TOKEN, .epoch = stream->epoch, .offset = link->sent },
		     1000);
		link->sent++;
	}
	if (stream->produced == stream->total) {
		post(link,
		     (struct message){
			     .type = MSG_END, .epoch = stream->epoch, .offset = stream->total },
		     1000);
		link->up = false;
	} else if (sched_chance(world->sched, 1)) {
		post(link, (struct message){ .type = MSG_BREAK, .why = GEN_BREAK_LOST }, 1000);
		link->up = false;
	}
}

static bool all_ended(const struct world *world)
{
	for (uint32_t i = 0; i < world->handler_count; i++) {
		if (!world->handlers[i]->dead && !world->handlers[i]->ended)
			return false;
	}
	return world->over;
}

static void next_token(void *arg)
{
	struct world *world = arg;

	if (now(world) > RUN_US || all_ended(world))
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
	sched_after(world->sched, STEP_US, next_token, world);
}

/* connections */

static struct link *link_new(struct handler *handler, uint32_t stream)
{
	struct link *link = g_new0(struct link, 1);

	g_ptr_array_add(handler->world->links, link);

	link->handler = handler;
	link->world = handler->world;
	link->stream = stream;
	link->open = true;
	handler->link = link;
	return link;
}

static void link_attach(struct link *link, uint64_t offset)
{
	struct world *world = link->world;
	struct stream *stream = &world->streams[link->stream];

	if (stream->link && stream->link->up) {
		post(stream->link, (struct message){ .type = MSG_BREAK, .why = GEN_BREAK_FENCED },
		     sched_rand(world->sched, 5000));
		stream->link->up = false;
	}
	stream->link = link;
	link->sent = offset;
	link->up = true;
	post(link, (struct message){ .type = MSG_OPEN, .epoch = stream->epoch }, 500);
	engine_flush(world, stream);
}

static void refuse(struct handler *handler, enum gen_break why, uint64_t delay_us)
{
	struct link *link = link_new(handler, 0);

	post(link, (struct message){ .type = MSG_BREAK, .why = why }, delay_us);
}

/* what the object asks for */

static void on_open(void *ctx, uint64_t offset)
{
	struct handler *handler = ctx;
	struct world *world = handler->world;
	uint32_t engine = sched_rand(world->sched, ENGINES);
	uint32_t index = world->stream_count;
	struct stream *stream;

	if (!handler->has_prompt)
		sched_violation(world->sched, "handler %u opened without a prompt", handler->id);
	if (world->dead[engine] || index == G_N_ELEMENTS(world->streams)) {
		refuse(handler, GEN_BREAK_REFUSED, 1000);
		return;
	}
	if (now(world) < world->frozen_until_us[engine]) {
		refuse(handler, GEN_BREAK_LOST, 1000000);
		return;
	}
	stream = &world->streams[world->stream_count++];
	*stream = (struct stream){ .engine = engine,
				   .generation = world->exact ? 0 : index + 1,
				   .epoch = 1,
				   .first = offset,
				   .produced = offset,
				   .total = world->total };
	sched_trace(world->sched, "engine %u: stream %u for handler %u from %u", engine, index,
		    handler->id, (unsigned)offset);
	link_attach(link_new(handler, index), offset);
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
		refuse(handler, GEN_BREAK_REFUSED, 1000);
	else if (now(world) < world->frozen_until_us[stream->engine])
		refuse(handler, GEN_BREAK_LOST, 1000000);
	else if (!takeover && epoch != stream->epoch)
		refuse(handler, GEN_BREAK_FENCED, 1000);
	else if (offset > stream->produced || offset < stream->first)
		refuse(handler, GEN_BREAK_GONE, 1000);
	else {
		stream->epoch += takeover;
		link_attach(link_new(handler, handler->stream - 1), offset);
	}
}

static void on_disconnect(void *ctx)
{
	struct handler *handler = ctx;

	if (handler->link)
		handler->link->open = false;
	handler->link = NULL;
}

static void on_deliver(void *ctx, uint64_t offset, const char *text, size_t len)
{
	struct handler *handler = ctx;
	uint32_t generation = (uint32_t)strtoul(text, NULL, 10);

	(void)len;
	if (!handler->world->buffered) {
		caller_gets(handler, offset, generation);
		return;
	}
	if (offset != handler->held_count)
		sched_violation(handler->world->sched, "held token %u when %u was due",
				(unsigned)offset, (unsigned)handler->held_count);
	if (offset == 0)
		handler->held_generation = generation;
	if (handler->held_generation != generation)
		sched_violation(handler->world->sched, "held answer mixes generations");
	handler->held_count++;
}

static void on_restart(void *ctx)
{
	struct handler *handler = ctx;

	if (!handler->world->buffered)
		sched_violation(handler->world->sched, "delivered tokens were thrown away");
	handler->held_count = 0;
}

static void on_timer(void *arg)
{
	struct handler *handler = arg;
	struct world *world = handler->world;

	if (handler->dead || handler->ended)
		return;
	if (now(world) < handler->frozen_until_us)
		sched_after(world->sched, handler->frozen_until_us - now(world), on_timer, handler);
	else
		gen_on_timer(handler->gen, now(world));
}

static void on_wait(void *ctx, uint64_t delay_us)
{
	struct handler *handler = ctx;

	sched_after(handler->world->sched, delay_us, on_timer, handler);
}

static void on_end(struct handler *handler, enum err_kind kind)
{
	handler->ended = true;
	if (handler->world->buffered && kind == ERR_OK)
		handler->world->got = handler->held_count;
	caller_ends(handler, kind);
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

static const struct gen_ops ops = { on_open, on_attach, on_disconnect, on_deliver,     on_restart,
				    on_wait, on_finish, on_fail,       on_can_continue };

/* instances */

static void tick(void *arg)
{
	struct handler *handler = arg;
	struct world *world = handler->world;

	if (handler->dead || handler->ended || now(world) > RUN_US)
		return;
	if (now(world) >= handler->frozen_until_us)
		gen_check_stall(handler->gen, now(world));
	sched_after(world->sched, 100000, tick, handler);
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
	sched_after(world->sched, 100000, tick, handler);
	return handler;
}

/* The caller comes back at another instance with the newest id. */
static void resume_elsewhere(void *arg)
{
	struct world *world = arg;
	struct handler *handler;

	if (world->over || world->handler_count == HANDLERS_MAX)
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
	gen_resume(handler->gen, now(world), world->got);
}

static void break_handler(void *arg)
{
	struct world *world = arg;
	struct handler *handler = world->handlers[world->handler_count - 1];

	if (world->over || world->buffered)
		return;
	if (sched_chance(world->sched, 50)) {
		handler->dead = true;
		on_disconnect(handler);
		sched_trace(world->sched, "handler %u dies", handler->id);
	} else {
		handler->frozen_until_us = now(world) + sched_rand(world->sched, FREEZE_MAX_US);
		sched_trace(world->sched, "handler %u freezes", handler->id);
	}
	sched_after(world->sched, 300000, resume_elsewhere, world);
}

static void break_engine(void *arg)
{
	struct world *world = arg;
	uint32_t engine = sched_rand(world->sched, ENGINES);

	if (sched_chance(world->sched, 30)) {
		world->dead[engine] = true;
		sched_trace(world->sched, "engine %u dies", engine);
		for (uint32_t i = 0; i < world->stream_count; i++) {
			struct stream *stream = &world->streams[i];

			if (stream->engine != engine || !stream->link || !stream->link->up)
				continue;
			post(stream->link,
			     (struct message){ .type = MSG_BREAK, .why = GEN_BREAK_LOST }, 1000);
			stream->link->up = false;
		}
	} else {
		world->frozen_until_us[engine] =
			now(world) + sched_rand(world->sched, FREEZE_MAX_US);
		sched_trace(world->sched, "engine %u freezes", engine);
	}
}

static bool run(struct sched *sched)
{
	struct world world = { .sched = sched };
	uint32_t faults = sched_rand(sched, 5);
	struct handler *first;
	bool ok = true;

	world.links = g_ptr_array_new_with_free_func(g_free);
	world.exact = sched_chance(sched, 40);
	world.buffered = sched_chance(sched, 25);
	world.total = 1 + sched_rand(sched, 200);
	first = handler_new(&world);
	first->has_prompt = true;
	gen_start(first->gen, 0);
	next_token(&world);
	for (uint32_t i = 0; i < faults; i++)
		sched_after(sched, sched_rand(sched, 5000000),
			    sched_chance(sched, 50) ? break_handler : break_engine, &world);
	sched_run(sched, UINT64_MAX);
	if (!world.over && world.handler_count < HANDLERS_MAX)
		ok = sched_violation(sched, "the answer never ended, %u of %u tokens",
				     (unsigned)world.got, (unsigned)world.total);
	for (uint32_t i = 0; i < world.handler_count; i++) {
		gen_destroy(world.handlers[i]->gen);
		g_free(world.handlers[i]);
	}
	g_ptr_array_free(world.links, TRUE);
	return ok;
}

int main(int argc, char **argv)
{
	return sched_main(argc, argv, "single generation", 3000, run);
}
