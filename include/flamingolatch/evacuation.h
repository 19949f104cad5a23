/**
 * @file evacuation.h
 * The zones to whose upstreams no requests are sent, as of a position of the
 * store.
 *
 * An operator evacuates a zone by a row of the store. An instance learns of it
 * from its own reads and watches of the store and from its peers, in any order and
 * some of it twice. The set is replaced or changed only by what is newer, so that a
 * late message does not bring back a zone that was returned, or return one that is
 * evacuated. A position of a later era is newer than any of an earlier one.
 *
 * evacuation_replace() after a read of the whole table, evacuation_change() after
 * an answer to a watch, evacuation_adopt() when a peer states its set. The module
 * does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_EVACUATION_H
#define FLAMINGOLATCH_EVACUATION_H

#include "flamingolatch/store_history.h"

#include <glib.h>

struct evacuation;

/** One row of the store. */
struct evacuation_row {
	const char *zone;
	bool removed; /**< the zone gets requests again */
};

/** Returns a set that is not known yet. */
struct evacuation *evacuation_create(void);
/** Accepts NULL. */
void evacuation_destroy(struct evacuation *set);

/** Replaces the set by what a read of the whole table found. An answer of the same era that is
 * older than the set has no effect.
 * @param rows struct evacuation_row; removed ones are ignored
 * @return true when the zones changed */
bool evacuation_replace(struct evacuation *set, struct store_position position, const GArray *rows);
/** Applies the answer to a watch. An answer that does not reach back to the set, or is not newer,
 * has no effect.
 * @param asked position from which the table was watched
 * @param rows struct evacuation_row; the last one of a zone counts
 * @return true when the zones changed */
bool evacuation_change(struct evacuation *set, struct store_position asked,
		       struct store_position position, const GArray *rows);
/** Takes over the set of a peer if it is newer.
 * @param zones strings
 * @return true when the zones changed */
bool evacuation_adopt(struct evacuation *set, struct store_position position,
		      const GPtrArray *zones);

/** Returns true once a read or a peer gave the set. */
bool evacuation_is_known(const struct evacuation *set);
/** Returns the position of the store up to which the set is known; zeros before. */
struct store_position evacuation_position(const struct evacuation *set);
/** Returns the zones in a stable order, as an array of strings. It is not changed later: a caller
 * that keeps it takes a reference. */
GPtrArray *evacuation_zones(const struct evacuation *set);
/** Tells whether an array of evacuation_zones() has a zone. */
bool evacuation_has_zone(const GPtrArray *zones, const char *zone);

#endif
