/**
 * @file stream_stop.h
 * Tells whether a stream that was closed properly is whole, although its engine
 * may have been asked to stop the generation.
 *
 * An engine that is asked for the last copy of a KV cache stops the generation and
 * closes its stream. Neither a proper close nor the end of the framing shows then
 * that the generation was over. Only an answer that states that nothing was
 * stopped does. A call whose answer is lost may have been carried out, also if a
 * later call finds no such generation, so the doubt lasts until the stream ends.
 *
 * Order of calls for each attempt: stream_stop_reset(), stream_stop_ask() with
 * each call that stops the generation, stream_stop_answer() when it ended,
 * stream_stop_judge() when the stream was closed properly. Does no I/O and reads
 * no clock.
 */
#ifndef FLAMINGOLATCH_STREAM_STOP_H
#define FLAMINGOLATCH_STREAM_STOP_H

#include <stdbool.h>

/** How a call that stops a generation ended. */
enum stream_stop_answer {
	STREAM_STOP_REFUSED, /**< nothing was stopped: the call was not sent, or not carried out, or
			      * there was no such generation */
	STREAM_STOP_STOPPED,
	STREAM_STOP_UNKNOWN, /**< no answer, or one that does not tell */
	STREAM_STOP_ANSWER_COUNT
};

/** What a proper close of the stream means. */
enum stream_stop_verdict {
	STREAM_STOP_WHOLE,   /**< the generation was over */
	STREAM_STOP_WAIT,    /**< the answer to the open call tells */
	STREAM_STOP_PARTIAL, /**< the generation was stopped, or may have been */
	STREAM_STOP_VERDICT_COUNT
};

/** State of one attempt. Zeros: nothing was asked. */
struct stream_stop {
	bool asked;   /**< a call is open */
	bool doubted; /**< a call stopped the generation, or may have */
};

void stream_stop_reset(struct stream_stop *stop);
/** Records that the engine is asked to stop the generation. One call may be open at a time. */
void stream_stop_ask(struct stream_stop *stop);
/** Records the end of the open call. */
void stream_stop_answer(struct stream_stop *stop, enum stream_stop_answer answer);
/** Returns what a proper close of the stream means now. */
enum stream_stop_verdict stream_stop_judge(const struct stream_stop *stop);

#endif
