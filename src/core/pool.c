#include "flamingolatch/pool.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define POOL_PREFIX_BLOCK_BYTES	      256
#define POOL_CACHED_BLOCKS_MAX	      4096 /* for each engine */
#define POOL_PEER_FORECAST_AGE_MAX_US (3ULL * 1000 * 1000)
#define POOL_ANNOUNCE_INTERVAL_US     400000 /* a round of gossip less its largest jitter */
#define POOL_ROOM_FACTOR_BASE	      2	     /* of a request that is queued alone */
#define POOL_EXPIRE_INTERVAL_US	      (500ULL * 1000)
#define POOL_CANDIDATES_MAX	      16

/* Weights in the score of an engine. Pressure, its predicted share of the KV cache, counts 1. */
#define POOL_PREFIX_WEIGHT   0.3  /* of a fully cached prompt, which lowers the score */
#define POOL_DISTANCE_WEIGHT 4.0  /* high, to use farther engines only when nearer ones are full */
#define POOL_OPEN_WEIGHT     0.2  /* of an open request on an empty engine */
#define POOL_JITTER_WEIGHT   0.02 /* keeps instances from all selecting the same engine */

#define POOL_CIRCUIT_FAILURE_COUNT 3
#define POOL_CIRCUIT_FIRST_US	   (200ULL * 1000)
#define POOL_CIRCUIT_MAX_US	   (5ULL * 1000 * 1000)

/* Forecast that a peer announced for its generations on one upstream. */
struct pool_peer_forecast {
	struct kv_forecast sum;
	uint64_t at_us;
};

struct upstream {
	char *id;
	char *pool_name;
	char *address;
	char *zone;
	char *region;
	char *version;
	struct kv_forecast own_forecast;
	struct kv_forecast peers_forecast; /* sum over by_peer */
	struct kv_forecast unannounced;	   /* own generations begun since peers last announced */
	struct pool_report report;
	GHashTable *by_peer;	       /* peer to struct pool_peer_forecast */
	GHashTable *cached_blocks;     /* set of block hashes */
	GQueue cached_order;	       /* block hashes, oldest first */
	uint64_t unannounced_since_us; /* when unannounced was last cleared */
	uint64_t expired_us;	       /* when old forecasts of peers were last removed */
	uint64_t retry_at_us;	       /* when the circuit lets requests pass again */
	uint64_t circuit_us; /* time that the circuit was last opened for; 0 when closed */
	uint32_t consecutive_failures;
	uint32_t open;
	enum pool_distance distance;
	bool leaving;
	bool unreachable;
	bool removed; /* no longer listed; kept for its open requests */
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
	g_hash_table_destroy(up->cached_blocks);
	g_queue_clear_full(&up->cached_order, g_free);
	g_free(up->id);
	g_free(up->pool_name);
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

static void pool_replace_string(char **target, const char *value)
{
	if (*target && strcmp(*target, value) == 0)
		return;
	g_free(*target);
	*target = g_strdup(value);
}

struct upstream *pool_put(struct pool *pool, const char *id, const char *pool_name,
			  const char *address, const char *zone, const char *region)
{
	struct upstream *up = pool_find(pool, id);

	if (!up) {
		up = g_new0(struct upstream, 1);
		up->id = g_strdup(id);
		up->by_peer = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		up->cached_blocks = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, NULL);
		g_queue_init(&up->cached_order);
		g_ptr_array_add(pool->ups, up);
		g_ptr_array_sort(pool->ups, pool_compare);
	}
	if (up->address && strcmp(up->address, address) != 0) {
		/* A new incarnation does not inherit the state of the previous one. */
		up->leaving = false;
		up->unreachable = false;
		upstream_clear_cached_blocks(up);
	}
	pool_replace_string(&up->pool_name, pool_name);
	pool_replace_string(&up->address, address);
	pool_replace_string(&up->zone, zone);
	pool_replace_string(&up->region, region);
	up->removed = false;
	if (strcmp(zone, pool->zone) == 0)
		up->distance = POOL_SAME_ZONE;
	else
		up->distance =
			strcmp(region, pool->region) == 0 ? POOL_SAME_REGION : POOL_OTHER_REGION;
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

void pool_foreach(struct pool *pool, void (*callback)(void *ctx, struct upstream *up), void *ctx)
{
	for (guint i = 0; i < pool->ups->len; i++)
		callback(ctx, pool->ups->pdata[i]);
}

bool upstream_set_leaving(struct upstream *up, uint64_t now_us)
{
	bool was_leaving = up->leaving;

	(void)now_us;
	up->leaving = true;
	return !was_leaving;
}

bool upstream_set_reachable(struct upstream *up, bool reachable)
{
	bool changed = up->unreachable == reachable;

	up->unreachable = !reachable;
	return changed;
}

void upstream_set_report(struct upstream *up, const struct pool_report *report)
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

void upstream_set_peer_forecast(struct upstream *up, const char *peer,
				const struct kv_forecast *sum, uint64_t now_us)
{
	struct pool_peer_forecast *announced = g_hash_table_lookup(up->by_peer, peer);

	if (!announced) {
		announced = g_new0(struct pool_peer_forecast, 1);
		g_hash_table_insert(up->by_peer, g_strdup(peer), announced);
	}
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		up->peers_forecast.mean[i] += sum->mean[i] - announced->sum.mean[i];
		up->peers_forecast.var[i] += sum->var[i] - announced->sum.var[i];
	}
	announced->sum = *sum;
	announced->at_us = now_us;
	if (now_us - up->unannounced_since_us >= POOL_ANNOUNCE_INTERVAL_US) {
		memset(&up->unannounced, 0, sizeof(up->unannounced));
		up->unannounced_since_us = now_us;
	}
}

void upstream_begin_request(struct upstream *up, const struct kv_forecast_item *item)
{
	up->open++;
	if (!item)
		return;
	kv_forecast_add_item(&up->own_forecast, item);
	kv_forecast_add_item(&up->unannounced, item);
}

void upstream_update_request(struct upstream *up, struct kv_forecast_item *item, uint64_t generated)
{
	kv_forecast_update_item(&up->own_forecast, item, generated);
}

void upstream_end_request(struct upstream *up, const struct kv_forecast_item *item)
{
	up->open--;
	if (item)
		kv_forecast_remove_item(&up->own_forecast, item);
	if (up->open == 0 && item)
		memset(&up->own_forecast, 0, sizeof(up->own_forecast));
}

void upstream_add_cached_blocks(struct upstream *up, const uint64_t *blocks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		gint64 *block;

		if (g_hash_table_contains(up->cached_blocks, &blocks[i]))
			continue;
		if (g_queue_get_length(&up->cached_order) >= POOL_CACHED_BLOCKS_MAX) {
			block = g_queue_pop_head(&up->cached_order);
			g_hash_table_remove(up->cached_blocks, block);
			g_free(block);
		}
		block = g_memdup2(&blocks[i], sizeof(blocks[i]));
		g_queue_push_tail(&up->cached_order, block);
		g_hash_table_add(up->cached_blocks, block);
	}
}

void upstream_remove_cached_block(struct upstream *up, uint64_t block)
{
	gint64 *key = NULL;

	if (!g_hash_table_lookup_extended(up->cached_blocks, &block, (gpointer *)&key, NULL))
		return;
	g_hash_table_remove(up->cached_blocks, key);
	g_queue_remove(&up->cached_order, key);
	g_free(key);
}

void upstream_clear_cached_blocks(struct upstream *up)
{
	g_hash_table_remove_all(up->cached_blocks);
	g_queue_clear_full(&up->cached_order, g_free);
}

void upstream_record_failure(struct upstream *up, uint64_t now_us, uint64_t random)
{
	up->consecutive_failures++;
	if (up->consecutive_failures < POOL_CIRCUIT_FAILURE_COUNT)
		return;
	up->circuit_us = up->circuit_us ? MIN(up->circuit_us * 2, POOL_CIRCUIT_MAX_US)
					: POOL_CIRCUIT_FIRST_US;
	up->retry_at_us = now_us + up->circuit_us / 2 + random % (up->circuit_us / 2 + 1);
}

void upstream_record_success(struct upstream *up)
{
	up->consecutive_failures = 0;
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

const char *upstream_pool_name(const struct upstream *up)
{
	return up->pool_name;
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

uint32_t upstream_open_requests(const struct upstream *up)
{
	return up->open;
}

const struct kv_forecast *upstream_own_forecast(const struct upstream *up)
{
	return &up->own_forecast;
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

/* Removes the forecasts of peers that have not announced one for some time. */
static void upstream_expire_peers(struct upstream *up, uint64_t now_us)
{
	GHashTableIter iter;
	struct pool_peer_forecast *announced;

	if (now_us - up->expired_us < POOL_EXPIRE_INTERVAL_US)
		return;
	up->expired_us = now_us;
	g_hash_table_iter_init(&iter, up->by_peer);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&announced)) {
		if (now_us - announced->at_us <= POOL_PEER_FORECAST_AGE_MAX_US)
			continue;
		for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
			up->peers_forecast.mean[i] -= announced->sum.mean[i];
			up->peers_forecast.var[i] -= announced->sum.var[i];
		}
		g_hash_table_iter_remove(&iter);
	}
}

double upstream_pressure(const struct upstream *up, const struct kv_forecast_item *item,
			 uint32_t times, double deviations)
{
	struct kv_forecast sum = up->own_forecast;
	if (up->report.kv_capacity == 0)
		return 0.0;
	kv_forecast_add(&sum, &up->peers_forecast);
	/* Assumes that each peer has begun as many generations as this instance since its last
	 * announcement. */
	kv_forecast_add_times(&sum, &up->unannounced, g_hash_table_size(up->by_peer));
	if (item)
		kv_forecast_add_times(&sum, &item->part, times);
	return kv_forecast_peak(&sum, deviations) / (double)up->report.kv_capacity;
}

/* Returns whether an upstream belongs to a pool, is live and near enough, and has its circuit
 * closed. */
static bool upstream_selectable(const struct upstream *up, const char *pool_name,
				enum profile_spill spill, uint64_t now_us)
{
	if (strcmp(up->pool_name, pool_name) != 0 || upstream_state(up) != POOL_LIVE)
		return false;
	if (up->distance > (enum pool_distance)spill)
		return false;
	return now_us >= up->retry_at_us;
}

/* Returns the share of the leading blocks of a prompt that the engine has cached. */
static double upstream_cached_share(const struct upstream *up, const struct pool_request *request)
{
	uint32_t hits = 0;

	if (request->prefix_count == 0)
		return 0.0;
	while (hits < request->prefix_count &&
	       g_hash_table_contains(up->cached_blocks, &request->prefix[hits]))
		hits++;
	return (double)hits / request->prefix_count;
}

/* Returns whether an engine may get a generation: it has room in its KV cache, or runs nothing. */
static bool upstream_has_room(const struct upstream *up, const struct pool_request *request)
{
	bool idle = up->open == 0 && up->report.running == 0 && up->report.waiting == 0 &&
		    up->peers_forecast.mean[0] < 1.0;

	if (request->ignore_memory || idle)
		return true;
	return upstream_pressure(up, request->item, MAX(request->room_factor, 1),
				 request->deviations) <= 1.0;
}

/* Returns the cost of the open requests of this instance, which spreads them over the engines while
 * there is room. It drops to 0 as an engine fills up, where only the KV cache matters. */
static double upstream_open_cost(const struct upstream *up, double pressure)
{
	double room = MAX(1.0 - pressure, 0.0);

	return POOL_OPEN_WEIGHT * up->open * room * room;
}

struct upstream *pool_select_engine(struct pool *pool, const struct pool_request *request)
{
	struct upstream *best = NULL;
	double best_score = 0.0;
	guint count = pool->ups->len;
	guint start = count > POOL_CANDIDATES_MAX
			      ? (guint)g_rand_int_range(pool->rand, 0, (gint32)count)
			      : 0;
	guint candidates = 0;

	for (guint i = 0; i < count && candidates < POOL_CANDIDATES_MAX; i++) {
		struct upstream *up = pool->ups->pdata[(start + i) % count];
		double pressure;
		double score;

		if (up == request->exclude ||
		    !upstream_selectable(up, request->pool, request->spill, request->now_us))
			continue;
		candidates++;
		upstream_expire_peers(up, request->now_us);
		if (!upstream_has_room(up, request))
			continue;
		pressure = upstream_pressure(up, request->item, 1, request->deviations);
		score = pressure + upstream_open_cost(up, pressure) +
			POOL_DISTANCE_WEIGHT * up->distance -
			POOL_PREFIX_WEIGHT * upstream_cached_share(up, request) +
			POOL_JITTER_WEIGHT * g_rand_double(pool->rand);
		if (!best || score < best_score) {
			best = up;
			best_score = score;
		}
	}
	return best;
}

struct upstream *pool_select_plain(struct pool *pool, const char *pool_name,
				   enum profile_spill spill, GHashTable *tried, uint64_t now_us)
{
	struct upstream *best = NULL;
	uint64_t best_score = 0;

	for (guint i = 0; i < pool->ups->len; i++) {
		struct upstream *up = pool->ups->pdata[i];
		uint64_t score;

		if (!upstream_selectable(up, pool_name, spill, now_us))
			continue;
		if (tried && g_hash_table_contains(tried, up->id))
			continue;
		/* Compares distance first, then open requests, then a random number. */
		score = ((uint64_t)up->distance << 40) + ((uint64_t)up->open << 8) +
			(g_rand_int(pool->rand) & 0xff);
		if (!best || score < best_score) {
			best = up;
			best_score = score;
		}
	}
	return best;
}

bool pool_has_live(struct pool *pool, const char *pool_name, enum profile_spill spill)
{
	for (guint i = 0; i < pool->ups->len; i++) {
		const struct upstream *up = pool->ups->pdata[i];

		if (strcmp(up->pool_name, pool_name) == 0 && upstream_state(up) == POOL_LIVE &&
		    up->distance <= (enum pool_distance)spill)
			return true;
	}
	return false;
}

uint32_t pool_room_factor(uint32_t max_factor, uint32_t queued)
{
	return MIN(max_factor, POOL_ROOM_FACTOR_BASE + MAX(queued, 1) - 1);
}

uint32_t pool_hash_prefix(const char *prompt, size_t len, uint64_t *out, uint32_t max)
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
