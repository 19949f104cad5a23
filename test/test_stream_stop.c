/**
 * @file test_stream_stop.c
 * All sequences of a few calls that stop a generation, each carried out or not and
 * answered or not: a stream that was stopped never counts as whole, and one that no
 * call can have stopped always does.
 */
#include "flamingolatch/stream_stop.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_CALLS 5

/* What becomes of a call. An engine that has stopped the generation carries none out any more. */
enum fate {
	FATE_REFUSED,	   /* not carried out, and the answer says so */
	FATE_LOST,	   /* not carried out, no answer */
	FATE_STOPPED,	   /* carried out and answered */
	FATE_STOPPED_LOST, /* carried out, no answer */
	FATE_COUNT
};

static void violation(uint32_t seed, const char *what)
{
	printf("violation: seed %u: %s\n", seed, what);
	exit(EXIT_FAILURE);
}

static void play_sequence(uint32_t seed, uint32_t calls)
{
	struct stream_stop stop;
	bool stopped = false;
	bool all_refused = true;
	uint32_t rest = seed;

	stream_stop_reset(&stop);
	for (uint32_t i = 0; i < calls; i++, rest /= FATE_COUNT) {
		enum fate fate = rest % FATE_COUNT;
		bool lost = fate == FATE_LOST || fate == FATE_STOPPED_LOST;
		enum stream_stop_answer answer = lost ? STREAM_STOP_UNKNOWN : STREAM_STOP_REFUSED;

		if (fate == FATE_STOPPED && !stopped)
			answer = STREAM_STOP_STOPPED;
		stopped |= fate == FATE_STOPPED || fate == FATE_STOPPED_LOST;
		all_refused &= answer == STREAM_STOP_REFUSED;
		stream_stop_ask(&stop);
		if (stream_stop_judge(&stop) != STREAM_STOP_WAIT)
			violation(seed, "judged before the answer to an open call");
		stream_stop_answer(&stop, answer);
	}
	if (stopped && stream_stop_judge(&stop) == STREAM_STOP_WHOLE)
		violation(seed, "a stream that was stopped counts as whole");
	if (all_refused && stream_stop_judge(&stop) != STREAM_STOP_WHOLE)
		violation(seed, "a stream that no call stopped does not count as whole");
}

static void test_sequences(void)
{
	uint32_t sequences = 1;

	for (uint32_t calls = 0; calls <= MAX_CALLS; calls++, sequences *= FATE_COUNT) {
		for (uint32_t seed = 0; seed < sequences; seed++)
			play_sequence(seed, calls);
	}
}

/* The next attempt is another run, which nobody asked to stop. */
static void test_next_attempt(void)
{
	struct stream_stop stop = { 0 };

	stream_stop_ask(&stop);
	stream_stop_answer(&stop, STREAM_STOP_UNKNOWN);
	g_assert_cmpint(stream_stop_judge(&stop), ==, STREAM_STOP_PARTIAL);
	stream_stop_reset(&stop);
	g_assert_cmpint(stream_stop_judge(&stop), ==, STREAM_STOP_WHOLE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stream-stop/sequences", test_sequences);
	g_test_add_func("/stream-stop/next-attempt", test_next_attempt);
	return g_test_run();
}
