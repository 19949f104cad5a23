#include "flamingolatch/member.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MEMB_SUSPECT_US	  (3ULL * 1000 * 1000)
#define MEMB_DEAD_US	  (8ULL * 1000 * 1000)
#define MEMB_FORGET_US	  (3600ULL * 1000 * 1000)
#define MEMB_ZONE_PEERS	  3
#define MEMB_PROBE_PERIOD 8 /* every so many picks one dead member is tried */

struct memb_peer {
	struct memb_record record;
	enum memb_state state;
	uint64_t heard_us;  /* when the heartbeat last moved */
	uint64_t sent;	    /* turn in which the record was last passed on */
	uint64_t beat_sent; /* the same for the short form */
	uint32_t id_hash;
	uint64_t shuffle; /* makes neighbours pass on different records first */
	uint64_t listed;  /* reading of the instance list that last named it */
};

struct memb {
	struct memb_record self;
	memb_cb changed;
	void *ctx;
	GPtrArray *peers; /* struct memb_peer, in the order of the ring */
	uint64_t turn;
	uint64_t picks;
	uint64_t reading;
};

static const char *const memb_state_names[MEMB_STATE_COUNT] = { "alive", "suspect", "dead",
								"left" };

/* lifetime */

struct memb *memb_create(const struct memb_record *self, memb_cb changed, void *ctx)
{
	struct memb *memb = g_new0(struct memb, 1);

	memb->self = *self;
	memb->changed = changed;
	memb->ctx = ctx;
	memb->peers = g_ptr_array_new_with_free_func(g_free);
	return memb;
}

void memb_destroy(struct memb *memb)
{
	if (!memb)
		return;
	g_ptr_array_free(memb->peers, TRUE);
	g_free(memb);
}

/* helpers */

static uint64_t memb_hash(const char *a, const char *b)
{
	return XXH64(a, strlen(a), XXH64(b, strlen(b), 0));
}

static struct memb_peer *memb_find(const struct memb *memb, const char *id)
{
	for (guint i = 0; i < memb->peers->len; i++) {
		struct memb_peer *peer = memb->peers->pdata[i];

		if (strcmp(peer->record.id, id) == 0)
			return peer;
	}
	return NULL;
}

static void memb_set_state(struct memb *memb, struct memb_peer *peer, enum memb_state state)
{
	if (peer->state == state)
		return;
	peer->state = state;
	if (memb->changed)
		memb->changed(memb->ctx, &peer->record, state);
}

static bool memb_newer(const struct memb_record *a, const struct memb_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->heartbeat > b->heartbeat;
}

static gint memb_by_ring(gconstpointer a, gconstpointer b)
{
	const struct memb_peer *left = *(const struct memb_peer *const *)a;
	const struct memb_peer *right = *(const struct memb_peer *const *)b;

	if (left->id_hash != right->id_hash)
		return left->id_hash < right->id_hash ? -1 : 1;
	return strcmp(left->record.id, right->record.id);
}

static struct memb_peer *memb_new_peer(struct memb *memb, const struct memb_record *record)
{
	struct memb_peer *peer = g_new0(struct memb_peer, 1);

	peer->record = *record;
	peer->state = MEMB_DEAD;
	peer->id_hash = (uint32_t)memb_hash(record->id, "");
	peer->shuffle = memb_hash(memb->self.id, record->id);
	g_ptr_array_add(memb->peers, peer);
	g_ptr_array_sort(memb->peers, memb_by_ring);
	return peer;
}

/* commands */

void memb_seed(struct memb *memb, const char *id, const char *zone, const char *address,
	       uint64_t now_us)
{
	struct memb_record record = { 0 };
	struct memb_peer *peer;

	if (strcmp(id, memb->self.id) == 0)
		return;
	peer = memb_find(memb, id);
	if (!peer) {
		g_strlcpy(record.id, id, sizeof(record.id));
		g_strlcpy(record.zone, zone, sizeof(record.zone));
		g_strlcpy(record.address, address, sizeof(record.address));
		peer = memb_new_peer(memb, &record);
		peer->heard_us = now_us;
	} else if (peer->state == MEMB_DEAD) {
		/* The list may know a new address of a restarted instance. */
		g_strlcpy(peer->record.address, address, sizeof(peer->record.address));
	}
	peer->listed = memb->reading;
}

void memb_begin_list(struct memb *memb)
{
	memb->reading++;
}

bool memb_merge(struct memb *memb, const struct memb_record *record, uint64_t now_us)
{
	struct memb_peer *peer;

	if (strcmp(record->id, memb->self.id) == 0)
		return false;
	peer = memb_find(memb, record->id);
	if (!peer)
		peer = memb_new_peer(memb, record);
	else if (!memb_newer(record, &peer->record))
		return false;
	peer->record = *record;
	peer->heard_us = now_us;
	memb_set_state(memb, peer, record->leaving ? MEMB_LEFT : MEMB_ALIVE);
	return true;
}

void memb_tick(struct memb *memb, uint64_t now_us)
{
	memb->self.heartbeat++;
	for (guint i = memb->peers->len; i-- > 0;) {
		struct memb_peer *peer = memb->peers->pdata[i];
		uint64_t silent_us = now_us - MIN(peer->heard_us, now_us);

		if (silent_us > MEMB_FORGET_US)
			g_ptr_array_remove_index(memb->peers, i);
		else if (silent_us > MEMB_DEAD_US)
			memb_set_state(memb, peer, MEMB_DEAD);
		else if (silent_us > MEMB_SUSPECT_US && peer->state == MEMB_ALIVE)
			memb_set_state(memb, peer, MEMB_SUSPECT);
	}
}

void memb_set_revision(struct memb *memb, uint64_t revision)
{
	memb->self.revision = revision;
}

void memb_set_leaving(struct memb *memb)
{
	memb->self.leaving = true;
}

static gint memb_by_sent(gconstpointer a, gconstpointer b)
{
	const struct memb_peer *left = *(const struct memb_peer *const *)a;
	const struct memb_peer *right = *(const struct memb_peer *const *)b;

	if (left->sent != right->sent)
		return left->sent < right->sent ? -1 : 1;
	return left->shuffle < right->shuffle ? -1 : 1;
}

uint32_t memb_digest(struct memb *memb, struct memb_record *out, uint32_t max)
{
	g_autoptr(GPtrArray) order = g_ptr_array_copy(memb->peers, NULL, NULL);
	uint32_t count = 0;

	if (max == 0)
		return 0;
	g_ptr_array_set_free_func(order, NULL);
	g_ptr_array_sort(order, memb_by_sent);
	memb->turn++;
	out[count++] = memb->self;
	for (guint i = 0; i < order->len && count < max; i++) {
		struct memb_peer *peer = order->pdata[i];

		/* A member that was only listed has no heartbeat to pass on. */
		if (peer->record.incarnation == 0 || peer->state == MEMB_DEAD)
			continue;
		peer->sent = memb->turn;
		out[count++] = peer->record;
	}
	return count;
}

static gint memb_by_beat_sent(gconstpointer a, gconstpointer b)
{
	const struct memb_peer *left = *(const struct memb_peer *const *)a;
	const struct memb_peer *right = *(const struct memb_peer *const *)b;

	if (left->beat_sent != right->beat_sent)
		return left->beat_sent < right->beat_sent ? -1 : 1;
	/* Ties go to the most recently updated member. */
	return left->heard_us > right->heard_us ? -1 : left->heard_us < right->heard_us;
}

uint32_t memb_beats(struct memb *memb, struct memb_beat *out, uint32_t max)
{
	g_autoptr(GPtrArray) order = g_ptr_array_copy(memb->peers, NULL, NULL);
	uint32_t count = 0;

	g_ptr_array_set_free_func(order, NULL);
	g_ptr_array_sort(order, memb_by_beat_sent);
	for (guint i = 0; i < order->len && count < max; i++) {
		struct memb_peer *peer = order->pdata[i];

		if (peer->state != MEMB_ALIVE && peer->state != MEMB_SUSPECT)
			continue;
		peer->beat_sent = memb->turn;
		out[count++] =
			(struct memb_beat){ peer->id_hash, (uint32_t)peer->record.incarnation,
					    (uint32_t)peer->record.heartbeat,
					    (uint32_t)peer->record.revision };
	}
	return count;
}

bool memb_take_beat(struct memb *memb, const struct memb_beat *beat, uint64_t now_us)
{
	for (guint i = 0; i < memb->peers->len; i++) {
		struct memb_peer *peer = memb->peers->pdata[i];

		if (peer->id_hash != beat->id_hash)
			continue;
		/* The full record of another incarnation has to come first. */
		if ((uint32_t)peer->record.incarnation != beat->incarnation ||
		    beat->heartbeat <= (uint32_t)peer->record.heartbeat)
			return false;
		peer->record.heartbeat = beat->heartbeat;
		peer->record.revision = MAX(peer->record.revision, beat->revision);
		peer->heard_us = now_us;
		memb_set_state(memb, peer, peer->record.leaving ? MEMB_LEFT : MEMB_ALIVE);
		return true;
	}
	return false;
}

static bool memb_is_candidate(const struct memb_peer *peer)
{
	/* A listed member without a heartbeat may be starting; it counts as a peer. */
	return peer->state != MEMB_DEAD || peer->record.incarnation == 0;
}

/* The candidates of a zone in the order of the ring. */
static GPtrArray *memb_ring(const struct memb *memb, const char *zone)
{
	GPtrArray *ring = g_ptr_array_new();

	for (guint i = 0; i < memb->peers->len; i++) {
		struct memb_peer *peer = memb->peers->pdata[i];

		if (memb_is_candidate(peer) && strcmp(peer->record.zone, zone) == 0)
			g_ptr_array_add(ring, peer);
	}
	return ring;
}

/* Place of the own instance in a ring that does not hold it. */
static guint memb_place(const struct memb *memb, const GPtrArray *ring)
{
	uint32_t own = (uint32_t)memb_hash(memb->self.id, "");
	guint place = 0;

	while (place < ring->len && ((struct memb_peer *)ring->pdata[place])->id_hash < own)
		place++;
	return place;
}

static bool memb_chosen(const struct memb_record *out, uint32_t count, const char *id)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(out[i].id, id) == 0)
			return true;
	}
	return false;
}

/* Adds the member at a place. A suspect is written to, and so is the next one
 * that is not, so that a frozen instance does not partition the ring. */
static uint32_t memb_add_at(const GPtrArray *ring, guint place, struct memb_record *out,
			    uint32_t count, uint32_t max)
{
	for (guint step = 0; step < ring->len && count < max; step++) {
		const struct memb_peer *peer = ring->pdata[(place + step) % ring->len];

		if (!memb_chosen(out, count, peer->record.id))
			out[count++] = peer->record;
		if (peer->state != MEMB_SUSPECT)
			break;
	}
	return count;
}

/* The next on the ring, and two at distances that reach all in few steps. With
 * equal views every instance is chosen as often as it chooses. */
static uint32_t memb_add_own_zone(const struct memb *memb, struct memb_record *out, uint32_t max)
{
	g_autoptr(GPtrArray) ring = memb_ring(memb, memb->self.zone);
	guint place = memb_place(memb, ring);
	guint third = (guint)ceil(cbrt((double)ring->len + 1));
	guint steps[MEMB_ZONE_PEERS] = { 0, MAX(third, 2) - 1, MAX(third * third, 3) - 1 };
	uint32_t count = 0;

	for (uint32_t i = 0; i < MEMB_ZONE_PEERS && ring->len; i++)
		count = memb_add_at(ring, place + steps[i], out, count, max);
	return count;
}

static uint32_t memb_add_other_zones(const struct memb *memb, struct memb_record *out,
				     uint32_t count, uint32_t max)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(seen, (gpointer)memb->self.zone);
	for (guint i = 0; i < memb->peers->len; i++) {
		const struct memb_peer *peer = memb->peers->pdata[i];
		GPtrArray *ring;

		if (!memb_is_candidate(peer) ||
		    !g_hash_table_add(seen, (gpointer)peer->record.zone))
			continue;
		ring = memb_ring(memb, peer->record.zone);
		count = memb_add_at(ring, memb_place(memb, ring), out, count, max);
		g_ptr_array_free(ring, TRUE);
	}
	return count;
}

static uint32_t memb_count_dead(const struct memb *memb)
{
	uint32_t dead = 0;

	for (guint i = 0; i < memb->peers->len; i++)
		dead += !memb_is_candidate(memb->peers->pdata[i]);
	return dead;
}

uint32_t memb_peers(struct memb *memb, struct memb_record *out, uint32_t max)
{
	uint32_t count = memb_add_own_zone(memb, out, max);
	uint32_t dead = memb_count_dead(memb);

	count = memb_add_other_zones(memb, out, count, max);
	memb->picks++;
	if (dead == 0 || count >= max || (count > 0 && memb->picks % MEMB_PROBE_PERIOD != 0))
		return count;
	dead = (uint32_t)((memb->picks / MEMB_PROBE_PERIOD + memb->picks) % dead);
	for (guint i = 0; i < memb->peers->len; i++) {
		struct memb_peer *peer = memb->peers->pdata[i];

		if (!memb_is_candidate(peer) && dead-- == 0) {
			out[count++] = peer->record;
			break;
		}
	}
	return count;
}

/* queries */

uint32_t memb_live(const struct memb *memb)
{
	uint32_t live = 1;

	for (guint i = 0; i < memb->peers->len; i++) {
		const struct memb_peer *peer = memb->peers->pdata[i];

		live += peer->state == MEMB_ALIVE || peer->state == MEMB_SUSPECT;
	}
	return live;
}

bool memb_is_delegate(const struct memb *memb, const char *task)
{
	uint64_t own = memb_hash(memb->self.id, task);

	if (memb->self.leaving)
		return false;
	for (guint i = 0; i < memb->peers->len; i++) {
		const struct memb_peer *peer = memb->peers->pdata[i];

		if (peer->state == MEMB_ALIVE && strcmp(peer->record.zone, memb->self.zone) == 0 &&
		    memb_hash(peer->record.id, task) > own)
			return false;
	}
	return true;
}

void memb_each(const struct memb *memb, void (*each)(void *ctx, const struct memb_view *view),
	       void *ctx)
{
	struct memb_view view = { &memb->self, memb->self.leaving ? MEMB_LEFT : MEMB_ALIVE, true };

	each(ctx, &view);
	for (guint i = 0; i < memb->peers->len; i++) {
		const struct memb_peer *peer = memb->peers->pdata[i];

		view.record = &peer->record;
		view.state = peer->state;
		view.listed = memb->reading && peer->listed == memb->reading;
		each(ctx, &view);
	}
}

const char *memb_state_name(enum memb_state state)
{
	return memb_state_names[state];
}
