#include "flamingolatch/pool.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define POOL_PREFIX_BLOCK_BYTES 256
#define POOL_PREFIX_PER_ENGINE	4096
#define POOL_PEER_MAX_AGE_US	(3ULL * 1000 * 1000)
#define POOL_FRESH_US		400000 /* a round of gossip, less its jitter */
#define POOL_ROOM_BASE		2      /* room factor of a request that waits alone */
#define POOL_EXPIRE_EVERY_US	(500ULL * 1000)
#define POOL_CANDIDATES_MAX	16
#define POOL_PREFIX_WEIGHT	0.3  /* pressure that a fully cached prompt is worth */
#define POOL_DISTANCE_WEIGHT	4.0  /* farther places are taken only when nearer ones are full */
#define POOL_OPEN_WEIGHT	0.2  /* of an open request on an empty engine */
#define POOL_JITTER		0.02 /* keeps equal engines from being chosen in lockstep */
#define POOL_CIRCUIT_FAILURES	3
#define POOL_CIRCUIT_FIRST_US	(200ULL * 1000)
#define POOL_CIRCUIT_MAX_US	(5ULL * 1000 * 1000)

struct pool_peer {
	struct load_sum sum;
	uint64_t at_us;
};

struct upstream {
	char *id;
	char *name;
	char *address;
	char *zone;
	char *region;
	char *version;
	struct load_sum own;
	struct load_sum peers; /* sum over by_peer */
	struct load_sum fresh; /* own work sent since the last announcement of peers */
	struct pool_report report;
	GHashTable *by_peer;  /* peer to struct pool_peer */
	GHashTable *prefixes; /* block hash, as a set */
	GQueue prefix_order;  /* oldest first */
	uint64_t fresh_us;    /* since when fresh counts */
	uint64_t expired_us;  /* when silent peers were last looked for */
	uint64_t retry_at_us;
	uint64_t circuit_us;
	uint32_t failures;
	uint32_t open;
	enum pool_distance distance;
	bool leaving;
	bool unreachable;
	bool removed;
};

struct pool {
	char *zone;
	char *region;
	GRand *rand;
	GPtrArray *ups; /* ordered by id */
};

static const char *const pool_state_names[POOL_STATE_COUNT] = { "live", "leaving", "down" };

/* lifetime */

static void upstream_free(gpointer data)
{
	struct upstream *up = data;

	g_hash_table_destroy(up->by_peer);
	g_hash_table_destroy(up->prefixes);
	g_queue_clear_full(&up->prefix_order, g_free);
	g_free(up->id);
	g_free(up->name);
	g_free(up->address);
	g_free(up->zone);
	g_free(up->region);
	g_free(up->version);
	g_free(up);
}

struct pool *pool_create(const char *zone, const char *region, uint64_t seed)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->zone = g_strdup(zone);
	pool->region = g_strdup(region);
	pool->rand = g_rand_new_with_seed((guint32)seed);
	pool->ups = g_ptr_array_new_with_free_func(upstream_free);
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->ups, TRUE);
	g_rand_free(pool->rand);
	g_free(pool->zone);
	g_free(pool->region);
	g_free(pool);
}

/* commands */

static gint pool_compare(gconstpointer a, gconstpointer b)
{
	const struct upstream *const *left = a;
	const struct upstream *const *right = b;

	return strcmp((*left)->id, (*right)->id);
}

static void pool_replace(char **slot, const char *value)
{
	if (*slot && strcmp(*slot, value) == 0)
		return;
	g_free(*slot);
	*slot = g_strdup(value);
}

struct upstream *pool_put(struct pool *pool, const char *id, const char *name, const char *address,
			  const char *zone, const char *region)
{
	struct upstream *up = pool_find(pool, id);

	if (!up) {
		up = g_new0(struct upstream, 1);
		up->id = g_strdup(id);
		up->by_peer = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		up->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
		g_queue_init(&up->prefix_order);
		g_ptr_array_add(pool->ups, up);
		g_ptr_array_sort(pool->ups, pool_compare);
	}
	if (up->address && strcmp(up->address, address) != 0) {
		/* A new incarnation under an old id starts clean. */
		up->leaving = false;
		up->unreachable = false;
		upstream_forget_prefixes(up);
	}
	pool_replace(&up->name, name);
	pool_replace(&up->address, address);
	pool_replace(&up->zone, zone);
	pool_replace(&up->region, region);
	up->removed = false;
	if (strcmp(zone, pool->zone) == 0)
		up->distance = POOL_SAME_ZONE;
	else
		up->distance = strcmp(region, pool->region) == 0 ? POOL_SAME_REGION : POOL_FAR;
	return up;
}

void pool_remove(struct pool *pool, struct upstream *up)
{
	up->removed = true;
	if (up->open == 0)
		g_ptr_array_remove(pool->ups, up);
}

struct upstream *pool_find(struct pool *pool, const char *id)
{
	for (guint i = 0; i < pool->ups->len; i++) {
		struct upstream *up = pool->ups->pdata[i];

		if (strcmp(up->id, id) == 0)
			return up;
	}
	return NULL;
}

void pool_each(struct pool *pool, void (*each)(void *ctx, struct upstream *up), void *ctx)
{
	for (guint i = 0; i < pool->ups->len; i++)
		each(ctx, pool->ups->pdata[i]);
}

bool upstream_set_leaving(struct upstream *up, uint64_t now_us)
{
	bool was = up->leaving;

	(void)now_us;
	up->leaving = true;
	return !was;
}

bool upstream_set_reachable(struct upstream *up, bool reachable)
{
	bool changed = up->unreachable == reachable;

	up->unreachable = !reachable;
	return changed;
}

void upstream_report(struct upstream *up, const struct pool_report *report)
{
	up->report = *report;
}

void upstream_set_version(struct upstream *up, const char *version)
{
	if (g_strcmp0(up->version, version) == 0)
		return;
	g_free(up->version);
	up->version = g_strdup(version);
}

void upstream_set_peer(struct upstream *up, const char *peer, const struct load_sum *sum,
		       uint64_t now_us)
{
	struct pool_peer *slot = g_hash_table_lookup(up->by_peer, peer);

	if (!slot) {
		slot = g_new0(struct pool_peer, 1);
		g_hash_table_insert(up->by_peer, g_strdup(peer), slot);
	}
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		up->peers.mean[i] += sum->mean[i] - slot->sum.mean[i];
		up->peers.var[i] += sum->var[i] - slot->sum.var[i];
	}
	slot->sum = *sum;
	slot->at_us = now_us;
	if (now_us - up->fresh_us >= POOL_FRESH_US) {
		memset(&up->fresh, 0, sizeof(up->fresh));
		up->fresh_us = now_us;
	}
}

void upstream_enter(struct upstream *up, const struct load_item *item)
{
	up->open++;
	if (!item)
		return;
	load_enter(&up->own, item);
	load_enter(&up->fresh, item);
}

void upstream_progress(struct upstream *up, struct load_item *item, uint64_t produced)
{
	load_progress(&up->own, item, produced);
}

void upstream_leave(struct upstream *up, const struct load_item *item)
{
	up->open--;
	if (item)
		load_leave(&up->own, item);
	if (up->open == 0 && item)
		memset(&up->own, 0, sizeof(up->own));
}

void upstream_note_prefix(struct upstream *up, const uint64_t *blocks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		gint64 *block;

		if (g_hash_table_contains(up->prefixes, &blocks[i]))
			continue;
		if (g_queue_get_length(&up->prefix_order) >= POOL_PREFIX_PER_ENGINE) {
			block = g_queue_pop_head(&up->prefix_order);
			g_hash_table_remove(up->prefixes, block);
			g_free(block);
		}
		block = g_memdup2(&blocks[i], sizeof(blocks[i]));
		g_queue_push_tail(&up->prefix_order, block);
		g_hash_table_add(up->prefixes, block);
	}
}

void upstream_drop_prefix(struct upstream *up, uint64_t block)
{
	gint64 *key = NULL;

	if (!g_hash_table_lookup_extended(up->prefixes, &block, (gpointer *)&key, NULL))
		return;
	g_hash_table_remove(up->prefixes, key);
	g_queue_remove(&up->prefix_order, key);
	g_free(key);
}

void upstream_forget_prefixes(struct upstream *up)
{
	g_hash_table_remove_all(up->prefixes);
	g_queue_clear_full(&up->prefix_order, g_free);
}

void upstream_failed(struct upstream *up, uint64_t now_us, uint64_t random)
{
	up->failures++;
	if (up->failures < POOL_CIRCUIT_FAILURES)
		return;
	up->circuit_us = up->circuit_us ? MIN(up->circuit_us * 2, POOL_CIRCUIT_MAX_US)
					: POOL_CIRCUIT_FIRST_US;
	up->retry_at_us = now_us + up->circuit_us / 2 + random % (up->circuit_us / 2 + 1);
}

void upstream_succeeded(struct upstream *up)
{
	up->failures = 0;
	up->circuit_us = 0;
	up->retry_at_us = 0;
}

/* queries */

uint32_t pool_count(const struct pool *pool)
{
	return pool->ups->len;
}

const char *upstream_id(const struct upstream *up)
{
	return up->id;
}

const char *upstream_name(const struct upstream *up)
{
	return up->name;
}

const char *upstream_address(const struct upstream *up)
{
	return up->address;
}

const char *upstream_zone(const struct upstream *up)
{
	return up->zone;
}

const char *upstream_region(const struct upstream *up)
{
	return up->region;
}

enum pool_state upstream_state(const struct upstream *up)
{
	if (up->leaving)
		return POOL_LEAVING;
	return up->unreachable || up->removed ? POOL_DOWN : POOL_LIVE;
}

const char *pool_state_name(enum pool_state state)
{
	return pool_state_names[state];
}

const char *upstream_version(const struct upstream *up)
{
	return up->version;
}

uint32_t upstream_open(const struct upstream *up)
{
	return up->open;
}

const struct load_sum *upstream_own(const struct upstream *up)
{
	return &up->own;
}

const struct pool_report *upstream_last_report(const struct upstream *up)
{
	return &up->report;
}

enum pool_distance pool_distance(const struct pool *pool, const struct upstream *up)
{
	(void)pool;
	return up->distance;
}

/* Sums of peers that fell silent no longer count. */
static void upstream_expire_peers(struct upstream *up, uint64_t now_us)
{
	GHashTableIter iter;
	struct pool_peer *slot;

	if (now_us - up->expired_us < POOL_EXPIRE_EVERY_US)
		return;
	up->expired_us = now_us;
	g_hash_table_iter_init(&iter, up->by_peer);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&slot)) {
		if (now_us - slot->at_us <= POOL_PEER_MAX_AGE_US)
			continue;
		for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
			up->peers.mean[i] -= slot->sum.mean[i];
			up->peers.var[i] -= slot->sum.var[i];
		}
		g_hash_table_iter_remove(&iter);
	}
}

double upstream_pressure(const struct upstream *up, const struct load_item *item, uint32_t times,
			 double deviations)
{
	struct load_sum sum = up->own;
	if (up->report.kv_capacity == 0)
		return 0.0;
	load_add(&sum, &up->peers);
	/* Assumes that each peer has sent as much as this instance since its announcement. */
	load_add_times(&sum, &up->fresh, g_hash_table_size(up->by_peer));
	if (item)
		load_add_times(&sum, &item->part, times);
	return load_peak(&sum, deviations) / (double)up->report.kv_capacity;
}

static bool upstream_usable(const struct upstream *up, const char *name, enum profile_spill spill,
			    uint64_t now_us)
{
	if (strcmp(up->name, name) != 0 || upstream_state(up) != POOL_LIVE)
		return false;
	if (up->distance > (enum pool_distance)spill)
		return false;
	return now_us >= up->retry_at_us;
}

static double upstream_cached(const struct upstream *up, const struct pool_need *need)
{
	uint32_t hits = 0;

	if (need->prefix_count == 0)
		return 0.0;
	while (hits < need->prefix_count &&
	       g_hash_table_contains(up->prefixes, &need->prefix[hits]))
		hits++;
	return (double)hits / need->prefix_count;
}

/* An engine that is full now gets more only when it has nothing running. */
static bool upstream_has_room(const struct upstream *up, const struct pool_need *need)
{
	bool idle = up->open == 0 && up->report.running == 0 && up->report.waiting == 0 &&
		    up->peers.mean[0] < 1.0;

	if (need->force || idle)
		return true;
	return upstream_pressure(up, need->item, MAX(need->room_factor, 1), need->deviations) <=
	       1.0;
}

/* Spreads own work over engines while there is room; when they are full, what
 * counts is the memory alone. */
static double upstream_spread(const struct upstream *up, double pressure)
{
	double room = MAX(1.0 - pressure, 0.0);

	return POOL_OPEN_WEIGHT * up->open * room * room;
}

struct upstream *pool_pick(struct pool *pool, const struct pool_need *need)
{
	struct upstream *best = NULL;
	double best_score = 0.0;
	guint count = pool->ups->len;
	guint start = count > POOL_CANDIDATES_MAX
			      ? (guint)g_rand_int_range(pool->rand, 0, (gint32)count)
			      : 0;
	guint seen = 0;

	for (guint i = 0; i < count && seen < POOL_CANDIDATES_MAX; i++) {
		struct upstream *up = pool->ups->pdata[(start + i) % count];
		double pressure;
		double score;

		if (up == need->avoid ||
		    !upstream_usable(up, need->pool, need->spill, need->now_us))
			continue;
		seen++;
		upstream_expire_peers(up, need->now_us);
		if (!upstream_has_room(up, need))
			continue;
		pressure = upstream_pressure(up, need->item, 1, need->deviations);
		score = pressure + upstream_spread(up, pressure) +
			POOL_DISTANCE_WEIGHT * up->distance -
			POOL_PREFIX_WEIGHT * upstream_cached(up, need) +
			POOL_JITTER * g_rand_double(pool->rand);
		if (!best || score < best_score) {
			best = up;
			best_score = score;
		}
	}
	return best;
}

struct upstream *pool_pick_plain(struct pool *pool, const char *name, enum profile_spill spill,
				 GHashTable *tried, uint64_t now_us)
{
	struct upstream *best = NULL;
	uint64_t best_score = 0;

	for (guint i = 0; i < pool->ups->len; i++) {
		struct upstream *up = pool->ups->pdata[i];
		uint64_t score;

		if (!upstream_usable(up, name, spill, now_us))
			continue;
		if (tried && g_hash_table_contains(tried, up->id))
			continue;
		score = ((uint64_t)up->distance << 40) + ((uint64_t)up->open << 8) +
			(g_rand_int(pool->rand) & 0xff);
		if (!best || score < best_score) {
			best = up;
			best_score = score;
		}
	}
	return best;
}

bool pool_has_live(struct pool *pool, const char *name, enum profile_spill spill)
{
	for (guint i = 0; i < pool->ups->len; i++) {
		const struct upstream *up = pool->ups->pdata[i];

		if (strcmp(up->name, name) == 0 && upstream_state(up) == POOL_LIVE &&
		    up->distance <= (enum pool_distance)spill)
			return true;
	}
	return false;
}

uint32_t pool_room_factor(uint32_t most, uint32_t waiting)
{
	return MIN(most, POOL_ROOM_BASE + MAX(waiting, 1) - 1);
}

uint32_t pool_prefix_blocks(const char *prompt, size_t len, uint64_t *out, uint32_t max)
{
	uint32_t count = 0;
	uint64_t chain = 0;

	while (count < max && (size_t)(count + 1) * POOL_PREFIX_BLOCK_BYTES <= len) {
		chain = XXH64(prompt + (size_t)count * POOL_PREFIX_BLOCK_BYTES,
			      POOL_PREFIX_BLOCK_BYTES, chain);
		out[count++] = chain;
	}
	return count;
}
