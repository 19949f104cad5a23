/**
 * @file placement.h
 * Where a request goes: the choice of an engine for a generation, and of an
 * upstream for a plain call.
 *
 * The load that it answers: engines with memory for about eight long
 * generations at once, prompts that take a quarter of a second to read, and
 * a sixth of the engines taken away every few seconds. An engine's memory is
 * counted as what its generations are expected to reach, so that none is
 * preempted; its unread prompts as time, so that first events are not late.
 * Pure: views of the upstreams come in, an index goes out.
 */
#ifndef FLAMINGOLATCH_PLACE_H
#define FLAMINGOLATCH_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/** No upstream was chosen. */
#define PLACE_NONE (-1)

/** What is known of an engine; work of all instances. */
struct place_engine {
	uint64_t kv_tokens;	 /**< memory */
	uint64_t kv_expected;	 /**< that its generations are expected to reach */
	uint64_t prefill_tokens; /**< prompts not read yet */
	uint32_t slots;
	uint32_t open;
	uint32_t copies;   /**< runs whose memory is being copied there */
	uint32_t distance; /**< 0 own zone, 1 own region, 2 farther */
	double failure_share;
	bool usable; /**< may get new work */
};

/** What a generation needs. */
struct place_need {
	uint64_t prompt_tokens;
	uint64_t output_tokens; /**< expected */
	uint32_t stale_ms;	/**< age of what is known of engines beyond the own zone */
	uint32_t draw;		/**< evenly distributed; spreads instances that see the same */
	uint32_t left_ms;	/**< until its first event is late; 0 when that does not matter */
	bool resumes;		/**< goes on from a copy; goes before memory is reserved */
	bool copies;		/**< its memory has to be copied there, one run after the other */
};

/** Trades of the choice. */
struct place_rules {
	double fill;		      /**< part of an engine's memory that is given out */
	double prefill_tokens_per_ms; /**< beside running generations */
};

/** Rules measured on engines that read 14 prompt tokens in a ms when idle. */
extern const struct place_rules place_default_rules;

/** Returns the index of the engine for a generation, or PLACE_NONE. */
int32_t place_engine(const struct place_rules *rules, const struct place_need *need,
		     const struct place_engine *engines, uint32_t count);
/** Returns by how much the first event on an engine would miss the time that is left, in ms.
 * Under lasting overload every prompt waits behind others; work that would be late is better
 * told to come back than put before work that is still in time. */
uint32_t place_late_ms(const struct place_rules *rules, const struct place_need *need,
		       const struct place_engine *engine);
/** Returns the expected time to the first event on an engine, in ms. */
uint32_t place_first_event_ms(const struct place_rules *rules, const struct place_need *need,
			      const struct place_engine *engine);

/** What is known of an upstream of a plain service. */
struct place_plain {
	uint32_t slots;
	uint32_t open;
	uint32_t distance;
	double failure_share;
	bool connected; /**< an idle connection is kept */
	bool usable;
};

/** Returns the index of the upstream for a call, or PLACE_NONE.
 * @param draw breaks ties */
int32_t place_plain(const struct place_plain *ups, uint32_t count, uint32_t draw);

#endif
