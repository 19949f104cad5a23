#include "flamingolatch/evacuation.h"

#include <string.h>

struct evacuation {
	struct store_position position;
	GPtrArray *zones; /* sorted; replaced as a whole */
	bool known;
};

/* lifetime */

static GPtrArray *evacuation_zones_create(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}

struct evacuation *evacuation_create(void)
{
	struct evacuation *set = g_new0(struct evacuation, 1);

	set->zones = evacuation_zones_create();
	return set;
}

void evacuation_destroy(struct evacuation *set)
{
	if (!set)
		return;
	g_ptr_array_unref(set->zones);
	g_free(set);
}

/* commands */

static int evacuation_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void evacuation_add(GPtrArray *zones, const char *zone)
{
	if (!evacuation_has_zone(zones, zone))
		g_ptr_array_add(zones, g_strdup(zone));
}

static void evacuation_remove(GPtrArray *zones, const char *zone)
{
	guint at;

	if (g_ptr_array_find_with_equal_func(zones, zone, g_str_equal, &at))
		g_ptr_array_remove_index(zones, at);
}

static bool evacuation_equals(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		if (strcmp(a->pdata[i], b->pdata[i]) != 0)
			return false;
	}
	return true;
}

/* Puts zones into force, which it takes over. */
static bool evacuation_set(struct evacuation *set, struct store_position position, GPtrArray *zones)
{
	bool changed;

	g_ptr_array_sort(zones, evacuation_compare);
	changed = !evacuation_equals(zones, set->zones);
	g_ptr_array_unref(set->zones);
	set->zones = zones;
	set->position = position;
	set->known = true;
	return changed;
}

bool evacuation_replace(struct evacuation *set, struct store_position position, const GArray *rows)
{
	GPtrArray *zones;

	/* A store that states no era may have been restored, so its versions are not compared. */
	if (set->known && position.era > 0 && store_position_is_after(set->position, position))
		return false;
	zones = evacuation_zones_create();
	for (guint i = 0; i < rows->len; i++) {
		const struct evacuation_row *row = &g_array_index(rows, struct evacuation_row, i);

		if (!row->removed)
			evacuation_add(zones, row->zone);
	}
	return evacuation_set(set, position, zones);
}

bool evacuation_change(struct evacuation *set, struct store_position asked,
		       struct store_position position, const GArray *rows)
{
	GPtrArray *zones;

	if (!set->known || asked.era != position.era || set->position.era != position.era ||
	    store_position_is_after(asked, set->position) ||
	    !store_position_is_after(position, set->position))
		return false;
	zones = evacuation_zones_create();
	for (guint i = 0; i < set->zones->len; i++)
		evacuation_add(zones, set->zones->pdata[i]);
	for (guint i = 0; i < rows->len; i++) {
		const struct evacuation_row *row = &g_array_index(rows, struct evacuation_row, i);

		if (row->removed)
			evacuation_remove(zones, row->zone);
		else
			evacuation_add(zones, row->zone);
	}
	return evacuation_set(set, position, zones);
}

bool evacuation_adopt(struct evacuation *set, struct store_position position,
		      const GPtrArray *zones)
{
	GPtrArray *copy;

#if !defined(FL_FAULT_ADOPT_ANY)
	/* Without this, a deliberate defect that the tests have to detect: a late message counts.
	 */
	if (!store_position_is_after(position, set->position))
		return false;
#endif
	copy = evacuation_zones_create();
	for (guint i = 0; i < zones->len; i++)
		evacuation_add(copy, zones->pdata[i]);
	return evacuation_set(set, position, copy);
}

/* queries */

bool evacuation_is_known(const struct evacuation *set)
{
	return set->known;
}

struct store_position evacuation_position(const struct evacuation *set)
{
	return set->position;
}

GPtrArray *evacuation_zones(const struct evacuation *set)
{
	return set->zones;
}

bool evacuation_has_zone(const GPtrArray *zones, const char *zone)
{
	return g_ptr_array_find_with_equal_func((GPtrArray *)zones, zone, g_str_equal, NULL);
}
