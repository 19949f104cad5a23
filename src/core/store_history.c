#include "flamingolatch/store_history.h"

/* Time after a restoration in which the operator writes again what was lost. */
#define STORE_HISTORY_REWRITE_US (500ULL * 1000)

bool store_position_is_after(struct store_position a, struct store_position b)
{
#if defined(FL_FAULT_IGNORE_ERA)
	/* Deliberate defect, which the tests have to detect: compares versions of two eras. */
	return a.version > b.version;
#endif
	return a.era != b.era ? a.era > b.era : a.version > b.version;
}

bool store_position_is_void(struct store_position position, uint64_t era)
{
#if defined(FL_FAULT_IGNORE_ERA)
	return false;
#endif
	return position.era < era;
}

bool store_history_note(struct store_history *history, uint64_t era, uint64_t now_us)
{
	bool restored = history->era > 0 && era > history->era;

	if (era > history->era)
		history->era = era;
	if (restored)
		history->proves_us = now_us + STORE_HISTORY_REWRITE_US;
	return restored;
}

bool store_history_proves(const struct store_history *history, uint64_t sent_us)
{
	return sent_us >= history->proves_us;
}

void store_cursor_set(struct store_cursor *cursor, struct store_position position)
{
#if defined(FL_FAULT_IGNORE_ERA)
	if (position.version < cursor->position.version)
		position.version = cursor->position.version;
#endif
	cursor->position = position;
	cursor->synced = true;
}

bool store_cursor_advance(struct store_cursor *cursor, struct store_position asked,
			  struct store_position position)
{
#if defined(FL_FAULT_IGNORE_ERA)
	position.era = asked.era = cursor->position.era;
#endif
	/* A peer may have moved the cursor to a later era since the watch was sent. */
	if (position.era != asked.era || position.era != cursor->position.era) {
		cursor->synced = false;
		return false;
	}
	if (position.version > cursor->position.version)
		cursor->position = position;
	return true;
}

void store_cursor_follow(struct store_cursor *cursor, struct store_position position)
{
	if (cursor->synced && store_position_is_after(position, cursor->position))
		cursor->position = position;
}

void store_cursor_reset(struct store_cursor *cursor)
{
	cursor->synced = false;
}
