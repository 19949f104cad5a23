/**
 * @file test_wire.c
 * Tests that messages between instances survive encoding and decoding, and that
 * truncated, altered and oversized messages are rejected.
 */
#include "flamingolatch/wire.h"

#include <string.h>

static struct wire_gossip *sample_gossip(void)
{
	struct wire_gossip *gossip = g_new0(struct wire_gossip, 1);

	gossip->member_count = 2;
	for (uint32_t i = 0; i < 2; i++) {
		struct member_record *record = &gossip->members[i];

		g_snprintf(record->id, sizeof(record->id), "entry-%u", i);
		g_strlcpy(record->zone, "cairns-a", sizeof(record->zone));
		g_strlcpy(record->address, "10.0.0.1:7000", sizeof(record->address));
		record->incarnation = 1000 + i;
		record->heartbeat = 7;
		record->revision = 42;
		record->leaving = i == 1;
	}
	gossip->leaving_count = 1;
	g_strlcpy(gossip->leaving[0].id, "engine-1", MEMBER_ID_MAX_BYTES);
	g_strlcpy(gossip->leaving[0].address, "10.0.0.9:80", MEMBER_ADDRESS_MAX_BYTES);
	gossip->predicted_load_count = 1;
	g_strlcpy(gossip->predicted_loads[0].id, "engine-2", MEMBER_ID_MAX_BYTES);
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		gossip->predicted_loads[0].predicted_kv_tokens.mean[i] = 100.0 * i;
		gossip->predicted_loads[0].predicted_kv_tokens.var[i] = 2.0 * i;
	}
	gossip->member_heartbeat_count = 1;
	gossip->member_heartbeats[0] = (struct member_heartbeat){ 1, 2, 3, 4 };
	gossip->kv_usage_count = 1;
	g_strlcpy(gossip->kv_usage[0].engine, "engine-2", MEMBER_ID_MAX_BYTES);
	g_strlcpy(gossip->kv_usage[0].owner, "desk", MEMBER_ID_MAX_BYTES);
	gossip->kv_usage[0].tokens = 12345;
	return gossip;
}

static GByteArray *encode_sample(void)
{
	struct wire_gossip *gossip = sample_gossip();
	GByteArray *buf = g_byte_array_new();

	wire_encode_gossip(buf, "entry-0", gossip);
	g_free(gossip);
	return buf;
}

static void test_round_trip(void)
{
	g_autoptr(GByteArray) buf = encode_sample();
	struct wire_message msg;

	g_assert_true(wire_decode(buf->data, buf->len, &msg));
	g_assert_cmpint((int)msg.type, ==, WIRE_GOSSIP);
	g_assert_cmpstr(msg.from, ==, "entry-0");
	g_assert_cmpuint(msg.gossip->member_count, ==, 2);
	g_assert_cmpstr(msg.gossip->members[1].id, ==, "entry-1");
	g_assert_cmpuint(msg.gossip->members[1].revision, ==, 42);
	g_assert_true(msg.gossip->members[1].leaving);
	g_assert_cmpstr(msg.gossip->leaving[0].address, ==, "10.0.0.9:80");
	g_assert_cmpuint(msg.gossip->member_heartbeat_count, ==, 1);
	g_assert_cmpuint(msg.gossip->member_heartbeats[0].revision, ==, 4);
	g_assert_cmpuint(msg.gossip->kv_usage[0].tokens, ==, 12345);
	g_assert_cmpstr(msg.gossip->kv_usage[0].owner, ==, "desk");
	g_assert_cmpfloat(msg.gossip->predicted_loads[0].predicted_kv_tokens.mean[7], ==, 700.0);
	wire_clear(&msg);
}

static void test_config(void)
{
	g_autoptr(GByteArray) request = g_byte_array_new();
	g_autoptr(GByteArray) config = g_byte_array_new();
	struct wire_message msg;

	wire_encode_config_request(request, "a", "10.0.0.1:1", 5);
	g_assert_true(wire_decode(request->data, request->len, &msg));
	g_assert_cmpuint(msg.revision, ==, 5);
	wire_clear(&msg);
	wire_encode_config(config, "a", "{\"revision\":1}");
	g_assert_true(wire_decode(config->data, config->len, &msg));
	g_assert_cmpstr(msg.snapshot, ==, "{\"revision\":1}");
	wire_clear(&msg);
}

static void test_truncated(void)
{
	g_autoptr(GByteArray) buf = encode_sample();
	struct wire_message msg;

	for (guint len = 0; len < buf->len; len++)
		g_assert_false(wire_decode(buf->data, len, &msg));
	g_byte_array_append(buf, (const guint8 *)"x", 1);
	g_assert_false(wire_decode(buf->data, buf->len, &msg));
}

/* A message with one altered byte is rejected or decodes to fields within their bounds. */
static void test_altered(void)
{
	g_autoptr(GByteArray) buf = encode_sample();

	for (guint offset = 0; offset < buf->len; offset++) {
		guint8 original = buf->data[offset];

		for (uint32_t value = 0; value < 256; value += 5) {
			struct wire_message msg;

			buf->data[offset] = (guint8)value;
			if (!wire_decode(buf->data, buf->len, &msg))
				continue;
			if (msg.gossip)
				g_assert_cmpuint(msg.gossip->member_count, <=, WIRE_MEMBERS_MAX);
			wire_clear(&msg);
		}
		buf->data[offset] = original;
	}
}

static void test_oversized(void)
{
	/* A configuration snapshot above the limit. */
	g_autofree char *snapshot_text = g_strnfill(WIRE_SNAPSHOT_MAX_BYTES + 1, 'x');
	g_autoptr(GByteArray) buf = g_byte_array_new();
	/* Found by the fuzzer: an earlier decoder tried to allocate gigabytes for this input. */
	static const guint8 huge_length[] = { 0xdd, 0xdd, 0xdd, 0xdd, 0x85 };
	struct wire_message msg;

	wire_encode_config(buf, "a", snapshot_text);
	g_assert_false(wire_decode(buf->data, buf->len, &msg));
	g_assert_false(wire_decode(huge_length, sizeof(huge_length), &msg));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire/round-trip", test_round_trip);
	g_test_add_func("/wire/config", test_config);
	g_test_add_func("/wire/truncated", test_truncated);
	g_test_add_func("/wire/altered", test_altered);
	g_test_add_func("/wire/oversized", test_oversized);
	return g_test_run();
}
