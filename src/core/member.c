#include "flamingolatch/member.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MEMBER_SUSPECT_AFTER_US	 (3ULL * 1000 * 1000)
#define MEMBER_DEAD_AFTER_US	 (8ULL * 1000 * 1000)
#define MEMBER_FORGET_AFTER_US	 (3600ULL * 1000 * 1000)
#define MEMBER_ZONE_PEER_COUNT	 3
#define MEMBER_DEAD_PROBE_ROUNDS 8 /* rounds between messages to a dead member */

struct member_peer {
	struct member_record record;
	enum member_state state;
	uint64_t heartbeat_seen_us;    /* when the heartbeat last advanced */
	uint64_t record_sent_round;    /* round in which the record was last sent */
	uint64_t heartbeat_sent_round; /* round in which the short form was last sent */
	uint32_t id_hash;
	uint64_t tie_break;   /* hash; makes instances send different records first */
	uint64_t list_number; /* number of the last instance list that contained it */
};

struct membership {
	struct member_record self;
	membership_changed_cb changed;
	void *ctx;
	GPtrArray *peers;	      /* struct member_peer, in ring order: by hash of the id */
	uint64_t round;		      /* counts calls of membership_next_records() */
	uint64_t selection_count;     /* counts calls of membership_select_peers() */
	uint64_t current_list_number; /* 0 before the first instance list */
};

static const char *const member_state_names[MEMBER_STATE_COUNT] = { "alive", "suspect", "dead",
								    "left" };

/* lifetime */

struct membership *membership_create(const struct member_record *self,
				     membership_changed_cb changed, void *ctx)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->self = *self;
	membership->changed = changed;
	membership->ctx = ctx;
	membership->peers = g_ptr_array_new_with_free_func(g_free);
	return membership;
}

void membership_destroy(struct membership *membership)
{
	if (!membership)
		return;
	g_ptr_array_free(membership->peers, TRUE);
	g_free(membership);
}

/* helpers */

static uint64_t member_hash(const char *a, const char *b)
{
	return XXH64(a, strlen(a), XXH64(b, strlen(b), 0));
}

static struct member_peer *membership_find(const struct membership *membership, const char *id)
{
	for (guint i = 0; i < membership->peers->len; i++) {
		struct member_peer *peer = membership->peers->pdata[i];

		if (strcmp(peer->record.id, id) == 0)
			return peer;
	}
	return NULL;
}

static void membership_set_state(struct membership *membership, struct member_peer *peer,
				 enum member_state state)
{
	if (peer->state == state)
		return;
	peer->state = state;
	if (membership->changed)
		membership->changed(membership->ctx, &peer->record, state);
}

static bool member_record_is_newer(const struct member_record *a, const struct member_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->heartbeat > b->heartbeat;
}

static gint member_compare_ring(gconstpointer a, gconstpointer b)
{
	const struct member_peer *left = *(const struct member_peer *const *)a;
	const struct member_peer *right = *(const struct member_peer *const *)b;

	if (left->id_hash != right->id_hash)
		return left->id_hash < right->id_hash ? -1 : 1;
	return strcmp(left->record.id, right->record.id);
}

static struct member_peer *membership_new_peer(struct membership *membership,
					       const struct member_record *record)
{
	struct member_peer *peer = g_new0(struct member_peer, 1);

	peer->record = *record;
	peer->state = MEMBER_DEAD;
	peer->id_hash = (uint32_t)member_hash(record->id, "");
	peer->tie_break = member_hash(membership->self.id, record->id);
	g_ptr_array_add(membership->peers, peer);
	g_ptr_array_sort(membership->peers, member_compare_ring);
	return peer;
}

/* commands */

void membership_add_listed(struct membership *membership, const char *id, const char *zone,
			   const char *address, uint64_t now_us)
{
	struct member_record record = { 0 };
	struct member_peer *peer;

	if (strcmp(id, membership->self.id) == 0)
		return;
	peer = membership_find(membership, id);
	if (!peer) {
		g_strlcpy(record.id, id, sizeof(record.id));
		g_strlcpy(record.zone, zone, sizeof(record.zone));
		g_strlcpy(record.address, address, sizeof(record.address));
		peer = membership_new_peer(membership, &record);
		peer->heartbeat_seen_us = now_us;
	} else if (peer->state == MEMBER_DEAD) {
		/* A restarted instance may be listed under a new address. */
		g_strlcpy(peer->record.address, address, sizeof(peer->record.address));
	}
	peer->list_number = membership->current_list_number;
}

void membership_begin_list(struct membership *membership)
{
	membership->current_list_number++;
}

bool membership_merge(struct membership *membership, const struct member_record *record,
		      uint64_t now_us)
{
	struct member_peer *peer;

	if (strcmp(record->id, membership->self.id) == 0)
		return false;
	peer = membership_find(membership, record->id);
	if (!peer)
		peer = membership_new_peer(membership, record);
	else if (!member_record_is_newer(record, &peer->record))
		return false;
	peer->record = *record;
	peer->heartbeat_seen_us = now_us;
	membership_set_state(membership, peer, record->leaving ? MEMBER_LEFT : MEMBER_ALIVE);
	return true;
}

void membership_tick(struct membership *membership, uint64_t now_us)
{
	membership->self.heartbeat++;
	for (guint i = membership->peers->len; i-- > 0;) {
		struct member_peer *peer = membership->peers->pdata[i];
		uint64_t silent_us = now_us - MIN(peer->heartbeat_seen_us, now_us);

		if (silent_us > MEMBER_FORGET_AFTER_US)
			g_ptr_array_remove_index(membership->peers, i);
		else if (silent_us > MEMBER_DEAD_AFTER_US)
			membership_set_state(membership, peer, MEMBER_DEAD);
		else if (silent_us > MEMBER_SUSPECT_AFTER_US && peer->state == MEMBER_ALIVE)
			membership_set_state(membership, peer, MEMBER_SUSPECT);
	}
}

void membership_set_revision(struct membership *membership, uint64_t revision)
{
	membership->self.revision = revision;
}

void membership_set_leaving(struct membership *membership)
{
	membership->self.leaving = true;
}

static gint member_compare_record_sent(gconstpointer a, gconstpointer b)
{
	const struct member_peer *left = *(const struct member_peer *const *)a;
	const struct member_peer *right = *(const struct member_peer *const *)b;

	if (left->record_sent_round != right->record_sent_round)
		return left->record_sent_round < right->record_sent_round ? -1 : 1;
	return left->tie_break < right->tie_break ? -1 : 1;
}

uint32_t membership_next_records(struct membership *membership, struct member_record *out,
				 uint32_t max)
{
	g_autoptr(GPtrArray) order = g_ptr_array_copy(membership->peers, NULL, NULL);
	uint32_t count = 0;

	if (max == 0)
		return 0;
	g_ptr_array_set_free_func(order, NULL);
	g_ptr_array_sort(order, member_compare_record_sent);
	membership->round++;
	out[count++] = membership->self;
	for (guint i = 0; i < order->len && count < max; i++) {
		struct member_peer *peer = order->pdata[i];

		/* A member that is only listed has no heartbeat to pass on yet. */
		if (peer->record.incarnation == 0 || peer->state == MEMBER_DEAD)
			continue;
		peer->record_sent_round = membership->round;
		out[count++] = peer->record;
	}
	return count;
}

static gint member_compare_heartbeat_sent(gconstpointer a, gconstpointer b)
{
	const struct member_peer *left = *(const struct member_peer *const *)a;
	const struct member_peer *right = *(const struct member_peer *const *)b;

	if (left->heartbeat_sent_round != right->heartbeat_sent_round)
		return left->heartbeat_sent_round < right->heartbeat_sent_round ? -1 : 1;
	/* Among equals, the most recently updated member goes first. */
	return left->heartbeat_seen_us > right->heartbeat_seen_us
		       ? -1
		       : left->heartbeat_seen_us < right->heartbeat_seen_us;
}

uint32_t membership_next_heartbeats(struct membership *membership, struct member_heartbeat *out,
				    uint32_t max)
{
	g_autoptr(GPtrArray) order = g_ptr_array_copy(membership->peers, NULL, NULL);
	uint32_t count = 0;

	g_ptr_array_set_free_func(order, NULL);
	g_ptr_array_sort(order, member_compare_heartbeat_sent);
	for (guint i = 0; i < order->len && count < max; i++) {
		struct member_peer *peer = order->pdata[i];

		if (peer->state != MEMBER_ALIVE && peer->state != MEMBER_SUSPECT)
			continue;
		peer->heartbeat_sent_round = membership->round;
		out[count++] = (struct member_heartbeat){ peer->id_hash,
							  (uint32_t)peer->record.incarnation,
							  (uint32_t)peer->record.heartbeat,
							  (uint32_t)peer->record.revision };
	}
	return count;
}

bool membership_merge_heartbeat(struct membership *membership,
				const struct member_heartbeat *update, uint64_t now_us)
{
	for (guint i = 0; i < membership->peers->len; i++) {
		struct member_peer *peer = membership->peers->pdata[i];

		if (peer->id_hash != update->id_hash)
			continue;
		/* The full record of an incarnation has to arrive before its heartbeats. */
		if ((uint32_t)peer->record.incarnation != update->incarnation ||
		    update->heartbeat <= (uint32_t)peer->record.heartbeat)
			return false;
		peer->record.heartbeat = update->heartbeat;
		peer->record.revision = MAX(peer->record.revision, update->revision);
		peer->heartbeat_seen_us = now_us;
		membership_set_state(membership, peer,
				     peer->record.leaving ? MEMBER_LEFT : MEMBER_ALIVE);
		return true;
	}
	return false;
}

static bool member_is_candidate(const struct member_peer *peer)
{
	/* A listed member without a heartbeat may be starting, so it gets messages too. */
	return peer->state != MEMBER_DEAD || peer->record.incarnation == 0;
}

/* Returns the candidates of a zone in ring order. */
static GPtrArray *membership_zone_ring(const struct membership *membership, const char *zone)
{
	GPtrArray *ring = g_ptr_array_new();

	for (guint i = 0; i < membership->peers->len; i++) {
		struct member_peer *peer = membership->peers->pdata[i];

		if (member_is_candidate(peer) && strcmp(peer->record.zone, zone) == 0)
			g_ptr_array_add(ring, peer);
	}
	return ring;
}

/* Returns the position that this instance would have in a ring of other members. */
static guint membership_ring_position(const struct membership *membership, const GPtrArray *ring)
{
	uint32_t own_hash = (uint32_t)member_hash(membership->self.id, "");
	guint position = 0;

	while (position < ring->len &&
	       ((struct member_peer *)ring->pdata[position])->id_hash < own_hash)
		position++;
	return position;
}

static bool member_is_selected(const struct member_record *out, uint32_t count, const char *id)
{
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(out[i].id, id) == 0)
			return true;
	}
	return false;
}

/* Selects the member at a ring position. If it is suspect, also selects those after it up to the
 * first that is not, so that a frozen instance does not partition the ring. */
static uint32_t member_select_at(const GPtrArray *ring, guint position, struct member_record *out,
				 uint32_t count, uint32_t max)
{
	for (guint step = 0; step < ring->len && count < max; step++) {
		const struct member_peer *peer = ring->pdata[(position + step) % ring->len];

		if (!member_is_selected(out, count, peer->record.id))
			out[count++] = peer->record;
		if (peer->state != MEMBER_SUSPECT)
			break;
	}
	return count;
}

/* Selects the next member on the ring, and those at distances of about the cube root of the ring's
 * size and of its square, so that messages reach all members in few hops. If all instances know
 * the same members, each is selected by as many others as it selects. */
static uint32_t membership_select_own_zone(const struct membership *membership,
					   struct member_record *out, uint32_t max)
{
	g_autoptr(GPtrArray) ring = membership_zone_ring(membership, membership->self.zone);
	guint position = membership_ring_position(membership, ring);
	guint stride = (guint)ceil(cbrt((double)ring->len + 1));
	guint steps[MEMBER_ZONE_PEER_COUNT] = { 0, MAX(stride, 2) - 1,
						MAX(stride * stride, 3) - 1 };
	uint32_t count = 0;

	for (uint32_t i = 0; i < MEMBER_ZONE_PEER_COUNT && ring->len; i++)
		count = member_select_at(ring, position + steps[i], out, count, max);
	return count;
}

static uint32_t membership_select_other_zones(const struct membership *membership,
					      struct member_record *out, uint32_t count,
					      uint32_t max)
{
	g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);

	g_hash_table_add(zones, (gpointer)membership->self.zone);
	for (guint i = 0; i < membership->peers->len; i++) {
		const struct member_peer *peer = membership->peers->pdata[i];
		GPtrArray *ring;

		if (!member_is_candidate(peer) ||
		    !g_hash_table_add(zones, (gpointer)peer->record.zone))
			continue;
		ring = membership_zone_ring(membership, peer->record.zone);
		count = member_select_at(ring, membership_ring_position(membership, ring), out,
					 count, max);
		g_ptr_array_free(ring, TRUE);
	}
	return count;
}

static uint32_t membership_count_dead(const struct membership *membership)
{
	uint32_t dead = 0;

	for (guint i = 0; i < membership->peers->len; i++)
		dead += !member_is_candidate(membership->peers->pdata[i]);
	return dead;
}

uint32_t membership_select_peers(struct membership *membership, struct member_record *out,
				 uint32_t max)
{
	uint32_t count = membership_select_own_zone(membership, out, max);
	uint32_t dead = membership_count_dead(membership);

	count = membership_select_other_zones(membership, out, count, max);
	membership->selection_count++;
	if (dead == 0 || count >= max ||
	    (count > 0 && membership->selection_count % MEMBER_DEAD_PROBE_ROUNDS != 0))
		return count;
	dead = (uint32_t)((membership->selection_count / MEMBER_DEAD_PROBE_ROUNDS +
			   membership->selection_count) %
			  dead);
	for (guint i = 0; i < membership->peers->len; i++) {
		struct member_peer *peer = membership->peers->pdata[i];

		if (!member_is_candidate(peer) && dead-- == 0) {
			out[count++] = peer->record;
			break;
		}
	}
	return count;
}

/* queries */

uint32_t membership_live_count(const struct membership *membership)
{
	uint32_t live = 1;

	for (guint i = 0; i < membership->peers->len; i++) {
		const struct member_peer *peer = membership->peers->pdata[i];

		live += peer->state == MEMBER_ALIVE || peer->state == MEMBER_SUSPECT;
	}
	return live;
}

bool membership_is_delegate(const struct membership *membership, const char *task)
{
	uint64_t own_hash = member_hash(membership->self.id, task);

	if (membership->self.leaving)
		return false;
	for (guint i = 0; i < membership->peers->len; i++) {
		const struct member_peer *peer = membership->peers->pdata[i];

		if (peer->state == MEMBER_ALIVE &&
		    strcmp(peer->record.zone, membership->self.zone) == 0 &&
		    member_hash(peer->record.id, task) > own_hash)
			return false;
	}
	return true;
}

void membership_each(const struct membership *membership,
		     void (*each)(void *ctx, const struct member_view *view), void *ctx)
{
	struct member_view view = { &membership->self,
				    membership->self.leaving ? MEMBER_LEFT : MEMBER_ALIVE, true };

	each(ctx, &view);
	for (guint i = 0; i < membership->peers->len; i++) {
		const struct member_peer *peer = membership->peers->pdata[i];

		view.record = &peer->record;
		view.state = peer->state;
		view.listed = membership->current_list_number &&
			      peer->list_number == membership->current_list_number;
		each(ctx, &view);
	}
}

const char *member_state_name(enum member_state state)
{
	return member_state_names[state];
}
