/**
 * @file log.h
 * Structured log of numbered events.
 *
 * Every event is one row of LOG_EVENTS: symbol, number, level, name, meaning.
 * log_event() writes one JSON object a line to standard error through GLib's
 * structured logging. docs/EVENTS.md lists the same rows; a test compares.
 */
#ifndef FLAMINGOLATCH_LOG_H
#define FLAMINGOLATCH_LOG_H

#include <glib.h>
#include <stdint.h>

// clang-format off
#define LOG_EVENTS(X) \
	X(LOG_LISTENING, 100, INFO, "listening", "A port is open.") \
	X(LOG_READY, 101, INFO, "ready", "The instance has a configuration and takes requests.") \
	X(LOG_STOPPING, 102, INFO, "stopping", "A planned stop began.") \
	X(LOG_STOPPED, 103, INFO, "stopped", "All requests ended and the process exits.") \
	X(LOG_START_FAILED, 104, ERROR, "start-failed", "The process could not start.") \
	X(LOG_DRAIN_DEADLINE, 105, WARNING, "drain-deadline", "Requests are open after the drain deadline; the process waits on.") \
	X(LOG_CONFIG_APPLIED, 200, INFO, "config-applied", "A newer configuration revision is in force.") \
	X(LOG_CONFIG_REJECTED, 201, ERROR, "config-rejected", "A stored profile does not parse; the last good one stays.") \
	X(LOG_PROFILE_CHANGED, 202, INFO, "profile-changed", "An operator's change was accepted.") \
	X(LOG_PROFILE_CONFLICT, 203, INFO, "profile-conflict", "An operator's change lost a race.") \
	X(LOG_TABLE_DOWN, 300, WARNING, "table-down", "The table does not answer.") \
	X(LOG_TABLE_UP, 301, INFO, "table-up", "The table answers again.") \
	X(LOG_CALL_UNKNOWN, 310, WARNING, "call-unknown", "A non-idempotent call was sent and its answer was lost.") \
	X(LOG_CALL_RELEASED, 311, INFO, "call-released", "A claim was released; the call did not run.") \
	X(LOG_CALL_STUCK, 312, WARNING, "call-stuck", "A claim's outcome could not be written in time.") \
	X(LOG_ENGINE_LEAVING, 400, INFO, "engine-leaving", "An engine gets no new work.") \
	X(LOG_ENGINE_DOWN, 401, WARNING, "engine-down", "An engine does not answer.") \
	X(LOG_ENGINE_UP, 402, INFO, "engine-up", "An engine answers again.") \
	X(LOG_ENGINE_ORDERED, 403, INFO, "engine-ordered", "An engine was ordered to another version.") \
	X(LOG_GENERATION_LOST, 410, WARNING, "generation-lost", "A generation could not be continued.") \
	X(LOG_GENERATION_RESUMED, 411, INFO, "generation-resumed", "A stream was taken up again.") \
	X(LOG_GENERATION_STALLED, 412, WARNING, "generation-stalled", "A stream made no progress for the profile's bound.") \
	X(LOG_MEMBER_JOINED, 500, INFO, "member-joined", "An entry instance became known.") \
	X(LOG_MEMBER_SUSPECT, 501, INFO, "member-suspect", "An entry instance was not heard from.") \
	X(LOG_MEMBER_DEAD, 502, WARNING, "member-dead", "An entry instance is considered dead.") \
	X(LOG_BUS_BAD_FRAME, 510, WARNING, "bus-bad-frame", "A peer's message did not decode.")
// clang-format on

/** Event symbols; the values index the event table. */
enum log_event_id {
#define LOG_SYMBOL(sym, num, level, name, meaning) sym,
	LOG_EVENTS(LOG_SYMBOL)
#undef LOG_SYMBOL
	LOG_EVENT_COUNT
};

/** One row of the event table. */
struct log_event_info {
	uint16_t number;
	GLogLevelFlags level;
	const char *name;
	const char *meaning;
};

/** Returns the row of an event. */
const struct log_event_info *log_event_info(enum log_event_id id);

/** Sends GLib's structured log to standard error as JSON lines. */
void log_init(const char *instance);

/**
 * Writes one event.
 * @param id the event
 * Keys and string values alternate after the event, ended by NULL.
 */
void log_event(enum log_event_id id, ...) G_GNUC_NULL_TERMINATED;

#endif
