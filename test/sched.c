#include "sched.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct sched_event {
	uint64_t due_us;
	uint64_t sequence;
	sched_cb cb;
	void *arg;
};

struct sched {
	GSequence *events;
	GRand *rand;
	uint64_t seed;
	uint64_t now_us;
	uint64_t sequence;
	bool trace;
	bool violated;
};

static gint sched_compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct sched_event *left = a;
	const struct sched_event *right = b;

	(void)data;
	if (left->due_us != right->due_us)
		return left->due_us < right->due_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

uint64_t sched_now_us(const struct sched *sched)
{
	return sched->now_us;
}

uint64_t sched_seed(const struct sched *sched)
{
	return sched->seed;
}

void sched_after(struct sched *sched, uint64_t delay_us, sched_cb cb, void *arg)
{
	struct sched_event *event = g_new0(struct sched_event, 1);

	event->due_us = sched->now_us + delay_us;
	event->sequence = sched->sequence++;
	event->cb = cb;
	event->arg = arg;
	g_sequence_insert_sorted(sched->events, event, sched_compare_events, NULL);
}

uint32_t sched_rand(struct sched *sched, uint32_t limit)
{
	return limit ? g_rand_int(sched->rand) % limit : 0;
}

bool sched_chance(struct sched *sched, uint32_t percent)
{
	return sched_rand(sched, 100) < percent;
}

void sched_run(struct sched *sched, uint64_t until_us)
{
	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(sched->events);
		struct sched_event event;

		if (g_sequence_iter_is_end(first))
			return;
		event = *(struct sched_event *)g_sequence_get(first);
		if (event.due_us > until_us)
			return;
		g_sequence_remove(first);
		sched->now_us = event.due_us;
		event.cb(event.arg);
	}
}

void sched_trace(struct sched *sched, const char *format, ...)
{
	va_list args;

	if (!sched->trace)
		return;
	printf("%10.3f ms  ", (double)sched->now_us / 1000.0);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

bool sched_violation(struct sched *sched, const char *format, ...)
{
	va_list args;

	sched->violated = true;
	printf("violation: seed %" PRIu64 ": ", sched->seed);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
	return false;
}

static bool sched_run_seed(uint64_t seed, bool trace, sched_case run)
{
	struct sched sched = { .seed = seed, .trace = trace };
	bool ok;

	sched.events = g_sequence_new(g_free);
	sched.rand = g_rand_new_with_seed((guint32)seed);
	ok = run(&sched) && !sched.violated;
	g_sequence_free(sched.events);
	g_rand_free(sched.rand);
	return ok;
}

int sched_main(int argc, char **argv, const char *name, uint64_t seeds, sched_case run)
{
	uint64_t replay = 0;
	uint64_t failed = 0;

	for (int i = 1; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "--replay="))
			replay = strtoull(argv[i] + strlen("--replay="), NULL, 10);
		else if (g_str_has_prefix(argv[i], "--seeds="))
			seeds = strtoull(argv[i] + strlen("--seeds="), NULL, 10);
	}
	if (replay)
		return sched_run_seed(replay, true, run) ? 0 : 1;
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		if (!sched_run_seed(seed, false, run) && ++failed >= 3)
			break;
	}
	printf("%s: %" PRIu64 " seeds, %" PRIu64 " failed; replay one with --replay=SEED\n", name,
	       seeds, failed);
	return failed ? 1 : 0;
}
