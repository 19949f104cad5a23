#include "entry_internal.h"
#include "flamingolatch/wire.h"

#include <stdlib.h>
#include <string.h>

#define GOSSIP_ROUND_INTERVAL_MS 500
#define GOSSIP_URGENT_DELAY_MS	 10
#define GOSSIP_MAX_PEER_COUNT	 8
/* Estimated encoded size of one item of each kind, to keep messages within the byte budget. */
#define GOSSIP_RECORD_BYTES    110
#define GOSSIP_LOAD_BYTES      120
#define GOSSIP_HEARTBEAT_BYTES 16
#define GOSSIP_USAGE_BYTES     60
#define GOSSIP_NOTICE_BYTES    70

#define GOSSIP_NOTICE_LIFETIME_US	  (60ULL * 1000 * 1000)
#define GOSSIP_CONFIG_REQUEST_INTERVAL_US (300ULL * 1000)
/* bus_bytes_per_s covers both directions: one half is for sending, the other for receiving. */
#define GOSSIP_SEND_BUDGET_DIVISOR 2

/* Notice of a leaving upstream, sent in every message until it expires. */
struct gossip_notice {
	struct wire_leaving leaving;
	uint64_t expires_us;
};

/*
 * Exchanges state with the peers: membership with the revision of each member's
 * configuration, predicted loads, KV cache usage and notices of leaving upstreams.
 * A configuration itself is sent only on request.
 */
struct gossip {
	struct entry *entry;
	uv_timer_t round_timer;
	uv_timer_t urgent_timer;      /* for gossip_send_soon() */
	GArray *notices;	      /* struct gossip_notice */
	uint32_t next_load_index;     /* first upstream of the next round's loads */
	uint64_t config_requested_us; /* time of the last request to a peer */
};

static void gossip_on_round(uv_timer_t *timer);
static void gossip_on_urgent(uv_timer_t *timer);

/* lifetime */

struct gossip *gossip_create(struct entry *entry)
{
	struct gossip *gossip = g_new0(struct gossip, 1);

	gossip->entry = entry;
	gossip->notices = g_array_new(FALSE, TRUE, sizeof(struct gossip_notice));
	uv_timer_init(entry->loop, &gossip->round_timer);
	uv_timer_init(entry->loop, &gossip->urgent_timer);
	gossip->round_timer.data = gossip;
	gossip->urgent_timer.data = gossip;
	uv_timer_start(&gossip->round_timer, gossip_on_round, GOSSIP_ROUND_INTERVAL_MS,
		       GOSSIP_ROUND_INTERVAL_MS);
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
	uv_close((uv_handle_t *)&gossip->round_timer, NULL);
	uv_close((uv_handle_t *)&gossip->urgent_timer, gossip_on_closed);
}

/* helpers */

static void gossip_add_loaded_upstream(void *ctx, struct upstream *up)
{
	GPtrArray *list = ctx;

	if (upstream_open_requests(up) > 0)
		g_ptr_array_add(list, up);
}

/* Adds the predicted loads of at most @p max upstreams with open requests of this instance; the
 * next message continues with the others. */
static void gossip_fill_loads(struct gossip *gossip, struct wire_gossip *out, uint32_t max)
{
	g_autoptr(GPtrArray) list = g_ptr_array_new();

	pool_foreach(gossip->entry->pool, gossip_add_loaded_upstream, list);
	max = MIN(MIN(max, WIRE_PREDICTED_LOADS_MAX), list->len);
	for (uint32_t i = 0; i < max; i++) {
		struct upstream *up = list->pdata[(gossip->next_load_index + i) % list->len];
		struct wire_predicted_load *load =
			&out->predicted_loads[out->predicted_load_count++];

		g_strlcpy(load->id, upstream_id(up), sizeof(load->id));
		load->predicted_kv_tokens = *upstream_own_forecast(up);
		for (uint32_t h = 0; h < KV_FORECAST_HORIZON_COUNT; h++) {
			load->predicted_kv_tokens.mean[h] =
				MAX(load->predicted_kv_tokens.mean[h], 0.0);
			load->predicted_kv_tokens.var[h] =
				MAX(load->predicted_kv_tokens.var[h], 0.0);
		}
	}
	gossip->next_load_index += max;
}

static void gossip_fill_notices(struct gossip *gossip, struct wire_gossip *out, uint64_t now_us)
{
	for (guint i = gossip->notices->len; i-- > 0;) {
		struct gossip_notice *notice =
			&g_array_index(gossip->notices, struct gossip_notice, i);

		if (notice->expires_us < now_us)
			g_array_remove_index_fast(gossip->notices, i);
		else if (out->leaving_count < WIRE_LEAVING_MAX)
			out->leaving[out->leaving_count++] = notice->leaving;
	}
}

/* Adds the KV cache usage of this instance's generations, for accounting. */
static void gossip_fill_usage(const struct entry *entry, struct wire_gossip *out, uint32_t max)
{
	GArray *usage = accounting_own_usage(entry);

	out->kv_usage_count = MIN(MIN(max, WIRE_KV_USAGE_MAX), usage->len);
	if (out->kv_usage_count)
		memcpy(out->kv_usage, usage->data,
		       out->kv_usage_count * sizeof(struct wire_kv_usage));
	g_array_free(usage, TRUE);
}

/* Sends one message to the peers of this round. Its parts are added by urgency, as far as the byte
 * budget allows: notices of leaving upstreams, membership records, heartbeats, predicted loads, KV
 * cache usage. Notices and up to two records are sent even if they exceed the budget. Records take
 * at most a quarter of what the notices leave, heartbeats half of what remains then. */
static void gossip_send(struct gossip *gossip)
{
	struct entry *entry = gossip->entry;
	struct member_record peers[GOSSIP_MAX_PEER_COUNT];
	uint32_t peer_count =
		membership_select_peers(entry->membership, peers, GOSSIP_MAX_PEER_COUNT);
	struct wire_gossip *out;
	GByteArray *buf;
	uint64_t budget_bytes;
	uint64_t remaining_bytes;

	if (peer_count == 0)
		return;
	out = g_new0(struct wire_gossip, 1);
	budget_bytes = entry->settings->bus_bytes_per_s / GOSSIP_SEND_BUDGET_DIVISOR *
		       GOSSIP_ROUND_INTERVAL_MS / 1000 / peer_count;
	gossip_fill_notices(gossip, out, entry_now_us());
	remaining_bytes =
		budget_bytes - MIN(budget_bytes, out->leaving_count * GOSSIP_NOTICE_BYTES);
	out->member_count = membership_next_records(
		entry->membership, out->members,
		(uint32_t)CLAMP(remaining_bytes / 4 / GOSSIP_RECORD_BYTES, 2, WIRE_MEMBERS_MAX));
	remaining_bytes -= MIN(remaining_bytes, out->member_count * GOSSIP_RECORD_BYTES);
	out->member_heartbeat_count = membership_next_heartbeats(
		entry->membership, out->member_heartbeats,
		(uint32_t)MIN(remaining_bytes / 2 / GOSSIP_HEARTBEAT_BYTES, WIRE_HEARTBEATS_MAX));
	remaining_bytes -=
		MIN(remaining_bytes, out->member_heartbeat_count * GOSSIP_HEARTBEAT_BYTES);
	gossip_fill_loads(gossip, out, (uint32_t)(remaining_bytes / GOSSIP_LOAD_BYTES));
	remaining_bytes -= MIN(remaining_bytes, out->predicted_load_count * GOSSIP_LOAD_BYTES);
	gossip_fill_usage(entry, out, (uint32_t)(remaining_bytes / GOSSIP_USAGE_BYTES));
	buf = g_byte_array_new();
	wire_encode_gossip(buf, entry->settings->instance, out);
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

	/* Raises the heartbeat: peers merge this instance's record only if its heartbeat is higher
	 * than the one they have. */
	membership_tick(gossip->entry->membership, entry_now_us());
	gossip_send(gossip);
}

/* Requests the configuration from a peer that has a newer revision, so that not all instances read
 * it from the store. */
static void gossip_request_config(struct gossip *gossip, const struct member_record *from)
{
	struct entry *entry = gossip->entry;
	uint64_t now_us = entry_now_us();
	g_autoptr(GByteArray) buf = g_byte_array_new();

	if (now_us - gossip->config_requested_us < GOSSIP_CONFIG_REQUEST_INTERVAL_US)
		return;
	gossip->config_requested_us = now_us;
	wire_encode_config_request(buf, entry->settings->instance, entry->bus_address,
				   profile_config_revision(entry->profile_config));
	bus_send(entry->bus, from->address, buf->data, buf->len);
}

/* Answers a peer's request if the configuration here is newer than the requester's. */
static void gossip_send_config(struct gossip *gossip, const struct wire_message *msg)
{
	struct entry *entry = gossip->entry;
	g_autoptr(GByteArray) buf = g_byte_array_new();
	char *text;

	if (profile_config_revision(entry->profile_config) <= msg->revision)
		return;
	text = json_dumps(profile_config_snapshot(entry->profile_config), JSON_COMPACT);
	wire_encode_config(buf, entry->settings->instance, text);
	bus_send(entry->bus, msg->address, buf->data, buf->len);
	free(text);
}

/* Ignores a notice with another address, since the engine was restarted under the same id. */
static void gossip_apply_notice(struct entry *entry, const struct wire_leaving *leaving)
{
	struct upstream *up = pool_find(entry->pool, leaving->id);

	if (up && strcmp(upstream_address(up), leaving->address) == 0)
		entry_mark_upstream_leaving(entry, up, "peer");
}

static void gossip_apply(struct gossip *gossip, const struct wire_message *msg)
{
	struct entry *entry = gossip->entry;
	const struct wire_gossip *in = msg->gossip;
	uint64_t now_us = entry_now_us();

	for (uint32_t i = 0; i < in->member_count; i++) {
		const struct member_record *record = &in->members[i];

		membership_merge(entry->membership, record, now_us);
		if (strcmp(record->id, msg->from) == 0 &&
		    record->revision > profile_config_revision(entry->profile_config))
			gossip_request_config(gossip, record);
	}
	for (uint32_t i = 0; i < in->member_heartbeat_count; i++)
		membership_merge_heartbeat(entry->membership, &in->member_heartbeats[i], now_us);
	for (uint32_t i = 0; i < in->leaving_count; i++)
		gossip_apply_notice(entry, &in->leaving[i]);
	accounting_set_peer_usage(entry->accounting, msg->from, in->kv_usage, in->kv_usage_count);
	for (uint32_t i = 0; i < in->predicted_load_count; i++) {
		struct upstream *up = pool_find(entry->pool, in->predicted_loads[i].id);

		if (up)
			upstream_set_peer_forecast(
				up, msg->from, &in->predicted_loads[i].predicted_kv_tokens, now_us);
	}
}

/* commands */

void gossip_send_soon(struct gossip *gossip)
{
	if (gossip && !uv_is_active((uv_handle_t *)&gossip->urgent_timer))
		uv_timer_start(&gossip->urgent_timer, gossip_on_urgent, GOSSIP_URGENT_DELAY_MS, 0);
}

void gossip_announce_leaving(struct gossip *gossip, const char *id, const char *address)
{
	struct gossip_notice notice = { .expires_us = entry_now_us() + GOSSIP_NOTICE_LIFETIME_US };

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
		gossip_apply(entry->gossip, &msg);
		break;
	case WIRE_CONFIG_REQUEST:
		gossip_send_config(entry->gossip, &msg);
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
