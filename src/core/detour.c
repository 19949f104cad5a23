#include "flamingolatch/detour.h"

#include <glib.h>
#include <string.h>

/* Upstreams that have to fail, fewer if the fleet is smaller. One that is silent is no evidence. */
#define DETOUR_FAILED_COUNT	3
#define DETOUR_FAILED_MIN_COUNT 2
/* Failures of this long are evidence together. */
#define DETOUR_WINDOW_US (10ULL * 1000 * 1000)
/* Nothing is heard for as long before the path counts as lost. */
#define DETOUR_UNHEARD_US (100ULL * 1000)
/* Between two requests that try the lost path; one that may run only once may be lost there. */
#define DETOUR_TRY_US	   (250ULL * 1000)
#define DETOUR_TRY_ONCE_US (1000ULL * 1000)
/* The same where requests that are sent are lost. */
#define DETOUR_TRY_LOST_US (10ULL * 1000 * 1000)
/* A peer that could not serve is left out for this long. */
#define DETOUR_LEFT_OUT_US (1000ULL * 1000)

struct detour {
	GHashTable *failed; /* key of an upstream to the time of its first failure, guint64 */
	/* When what is known of a peer or a zone ends, guint64: by address, by address and service,
	 * and by zone and service. */
	GHashTable *left_out;
	uint64_t heard_us;
	uint64_t tried_us; /* when a request last tried the lost path */
	bool lost;
	bool tries_lost; /* a request that tried it was sent and not answered */
};

/* lifetime */

struct detour *detour_create(void)
{
	struct detour *detour = g_new0(struct detour, 1);

	detour->failed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	detour->left_out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return detour;
}

void detour_destroy(struct detour *detour)
{
	if (!detour)
		return;
	g_hash_table_destroy(detour->failed);
	g_hash_table_destroy(detour->left_out);
	g_free(detour);
}

/* the own path */

void detour_record_failure(struct detour *detour, uint32_t upstream, uint64_t since_us,
			   uint64_t now_us)
{
	gpointer key = GUINT_TO_POINTER(upstream);

	/* What was heard since shows that the path is there. */
	if (since_us < detour->heard_us || g_hash_table_contains(detour->failed, key))
		return;
	g_hash_table_insert(detour->failed, key, g_memdup2(&now_us, sizeof(now_us)));
}

bool detour_record_heard(struct detour *detour, uint64_t now_us)
{
	bool was_lost = detour->lost;

	detour->heard_us = now_us;
	detour->lost = false;
	detour->tries_lost = false;
	if (g_hash_table_size(detour->failed) > 0)
		g_hash_table_remove_all(detour->failed);
	return was_lost;
}

static gboolean detour_is_old_failure(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return *(const guint64 *)value + DETOUR_WINDOW_US < *(const guint64 *)now_us;
}

static gboolean detour_has_ended(gpointer key, gpointer value, gpointer now_us)
{
	(void)key;
	return *(const guint64 *)value <= *(const guint64 *)now_us;
}

bool detour_update(struct detour *detour, uint32_t upstream_count, uint64_t now_us)
{
	if (g_hash_table_size(detour->left_out) > 0)
		g_hash_table_foreach_remove(detour->left_out, detour_has_ended, &now_us);
	if (detour->lost)
		return false;
	if (g_hash_table_size(detour->failed) == 0)
		return false;
	g_hash_table_foreach_remove(detour->failed, detour_is_old_failure, &now_us);
	if (now_us < detour->heard_us + DETOUR_UNHEARD_US ||
	    g_hash_table_size(detour->failed) <
		    CLAMP(upstream_count, DETOUR_FAILED_MIN_COUNT, DETOUR_FAILED_COUNT))
		return false;
	detour->lost = true;
	detour->tried_us = now_us;
	return true;
}

bool detour_is_lost(const struct detour *detour)
{
	return detour->lost;
}

bool detour_may_try(struct detour *detour, bool may_repeat, uint64_t now_us)
{
	uint64_t once_us = detour->tries_lost ? DETOUR_TRY_LOST_US : DETOUR_TRY_ONCE_US;

	if (now_us < detour->tried_us + (may_repeat ? DETOUR_TRY_US : once_us))
		return false;
	detour->tried_us = now_us;
	return true;
}

void detour_record_try_lost(struct detour *detour)
{
	detour->tries_lost = true;
}

uint32_t detour_failed_count(const struct detour *detour)
{
	return g_hash_table_size(detour->failed);
}

/* peers */

static void detour_leave_out(struct detour *detour, char *key, uint64_t now_us)
{
	uint64_t until_us = now_us + DETOUR_LEFT_OUT_US;

	g_hash_table_replace(detour->left_out, key, g_memdup2(&until_us, sizeof(until_us)));
}

static bool detour_is_left_out(const struct detour *detour, const char *key, uint64_t now_us)
{
	const guint64 *until_us = g_hash_table_lookup(detour->left_out, key);

	return until_us && now_us < *until_us;
}

/* The blank tells the keys apart: neither an address nor the name of a zone has one. */
static char *detour_service_key(const char *place, const char *service)
{
	return g_strdup_printf("%s %s", place, service);
}

static bool detour_contains(const char *const *list, uint32_t count, const char *item)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(list[i], item) == 0)
			return true;
	}
	return false;
}

int32_t detour_select(struct detour *detour, const struct detour_peer *peers, uint32_t peer_count,
		      const char *const *tried, const char *const *tried_zones,
		      uint32_t tried_count, const char *service, uint32_t random, uint64_t now_us)
{
	g_autofree uint32_t *best = g_new(uint32_t, MAX(peer_count, 1));
	uint32_t best_count = 0;
	uint32_t best_rank = UINT32_MAX;

	for (uint32_t i = 0; i < peer_count; i++) {
		g_autofree char *key = detour_service_key(peers[i].address, service);
		g_autofree char *zone_key = detour_service_key(peers[i].zone, service);
		uint32_t rank = MIN(peers[i].distance, 0xff);

		if (detour_contains(tried, tried_count, peers[i].address) ||
		    detour_is_left_out(detour, peers[i].address, now_us) ||
		    detour_is_left_out(detour, key, now_us))
			continue;
		/* Instances of one zone mostly lose their paths together. */
		if (detour_contains(tried_zones, tried_count, peers[i].zone))
			rank += 0x200;
		if (detour_is_left_out(detour, zone_key, now_us))
			rank += 0x100;
		if (rank < best_rank)
			best_count = 0;
		if (rank > best_rank)
			continue;
		best_rank = rank;
		best[best_count++] = i;
	}
	return best_count > 0 ? (int32_t)best[random % best_count] : DETOUR_NONE;
}

void detour_record_peer_no_path(struct detour *detour, const struct detour_peer *peer,
				const char *service, uint64_t now_us)
{
	detour_leave_out(detour, detour_service_key(peer->address, service), now_us);
	detour_leave_out(detour, detour_service_key(peer->zone, service), now_us);
}

void detour_record_peer_failed(struct detour *detour, const struct detour_peer *peer,
			       uint64_t now_us)
{
	detour_leave_out(detour, g_strdup(peer->address), now_us);
}

void detour_record_peer_served(struct detour *detour, const struct detour_peer *peer,
			       const char *service)
{
	g_autofree char *zone_key = detour_service_key(peer->zone, service);

	g_hash_table_remove(detour->left_out, zone_key);
}
