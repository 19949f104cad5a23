/**
 * @file log.h
 * Structured log of numbered events.
 *
 * Every event is one row of LOG_EVENTS: symbol, number, level, name, meaning.
 * log_event() writes one JSON object a line to standard output through GLib's
 * structured logging. The volume is bounded: beyond LOG_LINES_PER_S lines of
 * level info in a second further ones are counted and left out. A pipe that is
 * full costs lines, never time. docs/EVENTS.md lists the same rows; a test compares.
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
	X(LOG_BUS_BAD_FRAME, 510, WARNING, "bus-bad-frame", "A peer's message did not decode.") \
	X(LOG_REQUEST_PLACED, 600, INFO, "request-placed", "A request was sent to an upstream.") \
	X(LOG_REQUEST_QUEUED, 601, INFO, "request-queued", "No engine has room; a generation waits.") \
	X(LOG_REQUEST_REFUSED, 602, INFO, "request-refused", "A request was answered without having run.") \
	X(LOG_REQUEST_REPEATED, 603, INFO, "request-repeated", "A request is sent once more.") \
	X(LOG_REQUEST_ENDED, 604, INFO, "request-ended", "A request was answered by an upstream.") \
	X(LOG_REQUEST_FAILED, 605, WARNING, "request-failed", "A request failed after it was sent; it may have run.") \
	X(LOG_REQUEST_LEFT, 606, INFO, "request-left", "The caller left before the answer ended.") \
	X(LOG_STREAM_TAKEN_OVER, 610, INFO, "stream-taken-over", "A running stream goes on at another engine.") \
	X(LOG_STREAM_CUT, 611, WARNING, "stream-cut", "A running stream could not go on and was broken off.") \
	X(LOG_MOVE_FAILED, 612, WARNING, "move-failed", "An engine did not hand a running generation over.") \
	X(LOG_MOVE_COPIED, 613, INFO, "move-copied", "A running generation's memory was copied; the copy of what is new follows.") \
	X(LOG_UPSTREAM_STATE, 620, INFO, "upstream-state", "An upstream was listed or changed its state.") \
	X(LOG_UPSTREAM_BROKEN, 621, WARNING, "upstream-broken", "An entry of the instance list does not decode.") \
	X(LOG_SOURCE_LOST, 630, WARNING, "source-lost", "The store does not answer.") \
	X(LOG_SOURCE_REGAINED, 631, INFO, "source-regained", "The store answers again.") \
	X(LOG_SOURCE_GAP, 632, INFO, "source-gap", "The store dropped its history; the table is read anew.") \
	X(LOG_DELEGATED, 633, INFO, "delegated", "Another instance follows the store for this one, or no longer does.") \
	X(LOG_SOURCE_PAGE, 634, INFO, "source-page-repeated", "A page of a table did not come in time and is asked for again.") \
	X(LOG_KEYS_STALE, 640, WARNING, "keys-stale", "The configuration was not confirmed in time; requests with keys are refused.") \
	X(LOG_KEYS_FRESH, 641, INFO, "keys-fresh", "The configuration is confirmed again.") \
	X(LOG_SETTINGS_RELOADED, 650, INFO, "settings-reloaded", "The settings file was read again.") \
	X(LOG_SETTINGS_REJECTED, 651, ERROR, "settings-rejected", "The settings file is not valid; the last good settings stay.") \
	X(LOG_SUPPRESSED, 690, WARNING, "log-suppressed", "Lines were left out since the last one of this kind.")
// clang-format on

/** Lines of level info that a process writes in a second. */
#define LOG_LINES_PER_S 400

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

/** Sends GLib's structured log to standard output as JSON lines. */
void log_init(const char *instance);
/** Writes how many lines were left out since it was last called, if any. */
void log_report_suppressed(void);
/** Returns how many lines were left out so far. */
uint64_t log_suppressed(void);

/**
 * Writes one event.
 * @param id the event
 * Keys and string values alternate after the event, ended by NULL.
 */
void log_event(enum log_event_id id, ...) G_GNUC_NULL_TERMINATED;

#endif
