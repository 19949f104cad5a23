#include "entry_internal.h"
#include "flamingolatch/wire.h"

#include <stdlib.h>
#include <string.h>

#define GOSSIP_ROUND_MS	       500
#define GOSSIP_URGENT_MS       10
#define GOSSIP_PEERS_MAX       8
#define GOSSIP_RECORD_BYTES    110
#define GOSSIP_SUM_BYTES       120
#define GOSSIP_BEAT_BYTES      16
#define GOSSIP_HELD_BYTES      60
#define GOSSIP_LEAVING_BYTES   70
#define GOSSIP_LEAVING_KEEP_US (60ULL * 1000 * 1000)
#define GOSSIP_ASK_EVERY_US    (300ULL * 1000)
/* Half of the budget is for sending; what peers send takes the other half. */
#define GOSSIP_SEND_SHARE 2

struct gossip_notice {
	struct wire_leaving leaving;
	uint64_t until_us;
};

struct gossip {
	struct entry *entry;
	uv_timer_t round;
	uv_timer_t urgent;
	GArray *notices;    /* struct gossip_notice */
	uint32_t sums_from; /* where the next round goes on */
	uint64_t asked_us;
};

static void gossip_on_round(uv_timer_t *timer);
static void gossip_on_urgent(uv_timer_t *timer);

/* lifetime */

struct gossip *gossip_create(struct entry *entry)
{
	struct gossip *gossip = g_new0(struct gossip, 1);

	gossip->entry = entry;
	gossip->notices = g_array_new(FALSE, TRUE, sizeof(struct gossip_notice));
	uv_timer_init(entry->loop, &gossip->round);
	uv_timer_init(entry->loop, &gossip->urgent);
	gossip->round.data = gossip;
	gossip->urgent.data = gossip;
	uv_timer_start(&gossip->round, gossip_on_round, GOSSIP_ROUND_MS, GOSSIP_ROUND_MS);
	return gossip;
}

static void gossip_on_closed(uv_handle_t *handle)
{
	struct gossip *gossip = handle->data;

	g_array_free(gossip->notices, TRUE);
	g_free(gossip);
}

void gossip_destroy(struct gossip *gossip)
{
	if (!gossip)
		return;
	uv_close((uv_handle_t *)&gossip->round, NULL);
	uv_close((uv_handle_t *)&gossip->urgent, gossip_on_closed);
}

/* helpers */

static void gossip_add_sum(void *ctx, struct upstream *up)
{
	GPtrArray *list = ctx;

	if (upstream_open_requests(up) > 0)
		g_ptr_array_add(list, up);
}

/* Sums of engines with own work, round-robin when they do not all fit. */
static void gossip_fill_sums(struct gossip *gossip, struct wire_gossip *out, uint32_t max)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();

	pool_foreach(gossip->entry->pool, gossip_add_sum, list);
	max = MIN(MIN(max, WIRE_PREDICTED_LOADS_MAX), list->len);
	for (uint32_t i = 0; i < max; i++) {
		struct upstream *up = list->pdata[(gossip->sums_from + i) % list->len];
		struct wire_predicted_load *sum =
			&out->predicted_loads[out->predicted_load_count++];

		g_strlcpy(sum->id, upstream_id(up), sizeof(sum->id));
		sum->predicted_kv_tokens = *upstream_own_forecast(up);
		for (uint32_t h = 0; h < KV_FORECAST_HORIZON_COUNT; h++) {
			sum->predicted_kv_tokens.mean[h] =
				MAX(sum->predicted_kv_tokens.mean[h], 0.0);
			sum->predicted_kv_tokens.var[h] = MAX(sum->predicted_kv_tokens.var[h], 0.0);
		}
	}
	gossip->sums_from += max;
}

static void gossip_fill_leaving(struct gossip *gossip, struct wire_gossip *out, uint64_t now_us)
{
	for (guint i = gossip->notices->len; i-- > 0;) {
		struct gossip_notice *notice =
			&g_array_index(gossip->notices, struct gossip_notice, i);

		if (notice->until_us < now_us)
			g_array_remove_index_fast(gossip->notices, i);
		else if (out->leaving_count < WIRE_LEAVING_MAX)
			out->leaving[out->leaving_count++] = notice->leaving;
	}
}

/* What the own work holds, for the ledger; the least urgent part. */
static void gossip_fill_held(const struct entry *entry, struct wire_gossip *out, uint32_t max)
{
	GArray *held = accounts_own(entry);

	out->kv_usage_count = MIN(MIN(max, WIRE_KV_USAGE_MAX), held->len);
	if (out->kv_usage_count)
		memcpy(out->kv_usage, held->data,
		       out->kv_usage_count * sizeof(struct wire_kv_usage));
	g_array_free(held, TRUE);
}

/* Leaving notices go first, then membership, loads and the ledger, within the budget. */
static void gossip_send(struct gossip *gossip)
{
	struct entry *entry = gossip->entry;
	struct member_record peers[GOSSIP_PEERS_MAX];
	uint32_t peer_count = membership_select_peers(entry->membership, peers, GOSSIP_PEERS_MAX);
	struct wire_gossip *out;
	GByteArray *buf;
	uint64_t budget;
	uint64_t left;

	if (peer_count == 0)
		return;
	out = g_new0(struct wire_gossip, 1);
	budget = entry->set->bus_bytes_per_s / GOSSIP_SEND_SHARE * GOSSIP_ROUND_MS / 1000 /
		 peer_count;
	gossip_fill_leaving(gossip, out, entry_now_us());
	left = budget - MIN(budget, out->leaving_count * GOSSIP_LEAVING_BYTES);
	out->member_count = membership_next_records(
		entry->membership, out->members,
		(uint32_t)CLAMP(left / 4 / GOSSIP_RECORD_BYTES, 2, WIRE_MEMBERS_MAX));
	left -= MIN(left, out->member_count * GOSSIP_RECORD_BYTES);
	out->member_heartbeat_count = membership_next_heartbeats(
		entry->membership, out->member_heartbeats,
		(uint32_t)MIN(left / 2 / GOSSIP_BEAT_BYTES, WIRE_HEARTBEATS_MAX));
	left -= MIN(left, out->member_heartbeat_count * GOSSIP_BEAT_BYTES);
	gossip_fill_sums(gossip, out, (uint32_t)(left / GOSSIP_SUM_BYTES));
	left -= MIN(left, out->predicted_load_count * GOSSIP_SUM_BYTES);
	gossip_fill_held(entry, out, (uint32_t)(left / GOSSIP_HELD_BYTES));
	buf = g_byte_array_new();
	wire_encode_gossip(buf, entry->set->instance, out);
	for (uint32_t i = 0; i < peer_count; i++) {
		if (!bus_send(entry->bus, peers[i].address, buf->data, buf->len))
			continue;
		metric_add(entry->metric, METRIC_BUS_MESSAGES_SENT, 1);
		metric_add(entry->metric, METRIC_BUS_BYTES_SENT, buf->len);
	}
	g_byte_array_free(buf, TRUE);
	g_free(out);
}

static void gossip_on_round(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;

	membership_tick(gossip->entry->membership, entry_now_us());
	metric_set(gossip->entry->metric, METRIC_MEMBERS,
		   membership_live_count(gossip->entry->membership));
	gossip_send(gossip);
}

static void gossip_on_urgent(uv_timer_t *timer)
{
	struct gossip *gossip = timer->data;

	/* A higher heartbeat makes the peers take the record at once. */
	membership_tick(gossip->entry->membership, entry_now_us());
	gossip_send(gossip);
}

/* A peer has a newer configuration: asks it, so that the table is not asked by all. */
static void gossip_ask_config(struct gossip *gossip, const struct member_record *from)
{
	struct entry *entry = gossip->entry;
	uint64_t now_us = entry_now_us();
	g_autoptr(GByteArray) buf = g_byte_array_new();

	if (now_us - gossip->asked_us < GOSSIP_ASK_EVERY_US)
		return;
	gossip->asked_us = now_us;
	wire_encode_config_request(buf, entry->set->instance, entry->bus_address,
				   profile_config_revision(entry->profile_config));
	bus_send(entry->bus, from->address, buf->data, buf->len);
}

static void gossip_answer_config(struct gossip *gossip, const struct wire_message *msg)
{
	struct entry *entry = gossip->entry;
	g_autoptr(GByteArray) buf = g_byte_array_new();
	char *text;

	if (profile_config_revision(entry->profile_config) <= msg->revision)
		return;
	text = json_dumps(profile_config_snapshot(entry->profile_config), JSON_COMPACT);
	wire_encode_config(buf, entry->set->instance, text);
	bus_send(entry->bus, msg->address, buf->data, buf->len);
	free(text);
}

static void gossip_take_leaving(struct entry *entry, const struct wire_leaving *leaving)
{
	struct upstream *up = pool_find(entry->pool, leaving->id);

	if (up && strcmp(upstream_address(up), leaving->address) == 0)
		entry_upstream_leaving(entry, up, "peer");
}

static void gossip_take(struct gossip *gossip, const struct wire_message *msg)
{
	struct entry *entry = gossip->entry;
	const struct wire_gossip *in = msg->gossip;
	uint64_t now_us = entry_now_us();

	for (uint32_t i = 0; i < in->member_count; i++) {
		const struct member_record *record = &in->members[i];

		membership_merge(entry->membership, record, now_us);
		if (strcmp(record->id, msg->from) == 0 &&
		    record->revision > profile_config_revision(entry->profile_config))
			gossip_ask_config(gossip, record);
	}
	for (uint32_t i = 0; i < in->member_heartbeat_count; i++)
		membership_merge_heartbeat(entry->membership, &in->member_heartbeats[i], now_us);
	for (uint32_t i = 0; i < in->leaving_count; i++)
		gossip_take_leaving(entry, &in->leaving[i]);
	accounts_peer(entry->accounts, msg->from, in->kv_usage, in->kv_usage_count);
	for (uint32_t i = 0; i < in->predicted_load_count; i++) {
		struct upstream *up = pool_find(entry->pool, in->predicted_loads[i].id);

		if (up)
			upstream_set_peer_forecast(
				up, msg->from, &in->predicted_loads[i].predicted_kv_tokens, now_us);
	}
}

/* commands */

void gossip_urgent(struct gossip *gossip)
{
	if (gossip && !uv_is_active((uv_handle_t *)&gossip->urgent))
		uv_timer_start(&gossip->urgent, gossip_on_urgent, GOSSIP_URGENT_MS, 0);
}

void gossip_leaving(struct gossip *gossip, const char *id, const char *address)
{
	struct gossip_notice notice = { .until_us = entry_now_us() + GOSSIP_LEAVING_KEEP_US };

	g_strlcpy(notice.leaving.id, id, sizeof(notice.leaving.id));
	g_strlcpy(notice.leaving.address, address, sizeof(notice.leaving.address));
	g_array_append_val(gossip->notices, notice);
}

void gossip_receive(void *ctx, const void *buf, size_t len)
{
	struct entry *entry = ctx;
	struct wire_message msg;
	json_t *snapshot;

	metric_add(entry->metric, METRIC_BUS_MESSAGES_RECEIVED, 1);
	if (!wire_decode(buf, len, &msg)) {
		metric_add(entry->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		log_event(LOG_BUS_INVALID_MESSAGE, NULL);
		return;
	}
	switch (msg.type) {
	case WIRE_GOSSIP:
		gossip_take(entry->gossip, &msg);
		break;
	case WIRE_CONFIG_REQUEST:
		gossip_answer_config(entry->gossip, &msg);
		break;
	default:
		snapshot = json_loads(msg.snapshot, 0, NULL);
		if (snapshot)
			entry_apply_config(entry, snapshot, "peer");
		json_decref(snapshot);
		break;
	}
	wire_clear(&msg);
}
