/**
 * @file test_delegation_message.c
 * Messages of the instance list: what arrives is what was sent, and damaged ones
 * are rejected.
 */
#include "../src/serve/delegation_message.h"

#include "flamingolatch/delta.h"

#include <string.h>

#define UPSTREAM_COUNT 3000

static void row_free(gpointer data)
{
	struct store_change *row = data;

	g_free(row->id);
	g_free(row->address);
	g_free(row);
}

/* Returns rows whose ids, addresses and starts are random. */
static struct store_watch_changes create_list(bool complete)
{
	struct store_watch_changes list = { .from = { 1, 7 },
					    .to = { 2, 9 },
					    .complete = complete };
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);

	list.rows = g_ptr_array_new_with_free_func(row_free);
	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		struct store_change *row = g_new0(struct store_change, 1);

		row->id = g_strdup_printf("i-%08x%02x", g_rand_int(rand), i % 256);
		row->address =
			g_strdup_printf("10.%u.%u.%u:%u", i % 4, g_rand_int(rand) % 80,
					g_rand_int(rand) % 250, 8000 + g_rand_int(rand) % 500);
		row->service = i % 3 ? "engines" : "claims";
		row->zone = i % 2 ? "zone-a" : "zone-b";
		row->started_ms = 1700000000000ULL + g_rand_int(rand) % 3600000;
		row->software_version = i % 4 ? "v2" : "";
		row->slots = 4;
		row->leaving = i % 50 == 0;
		g_ptr_array_add(list.rows, row);
	}
	return list;
}

static void test_whole_list(void)
{
	struct store_watch_changes list = create_list(true);
	g_autoptr(GBytes) message = delegation_pack_changes(&list);
	g_autoptr(GByteArray) plain = g_byte_array_new();
	struct store_watch_changes received;
	gsize len;
	const void *data = g_bytes_get_data(message, &len);

	g_assert_true(delegation_unpack_changes(data, len, &received));
	g_assert_true(received.complete);
	g_assert_cmpuint(received.to.era, ==, 2);
	g_assert_cmpuint(received.to.version, ==, 9);
	g_assert_cmpuint(received.rows->len, ==, UPSTREAM_COUNT);
	for (uint32_t i = 0; i < UPSTREAM_COUNT; i++) {
		const struct store_change *sent = list.rows->pdata[i];
		const struct store_change *row = received.rows->pdata[i];

		g_assert_cmpstr(row->id, ==, sent->id);
		g_assert_cmpstr(row->address, ==, sent->address);
		g_assert_cmpstr(row->service, ==, sent->service);
		g_assert_cmpstr(row->zone, ==, sent->zone);
		g_assert_cmpstr(row->software_version, ==, sent->software_version);
		g_assert_cmpuint(row->started_ms, ==, sent->started_ms);
		g_assert_cmpuint(row->slots, ==, sent->slots);
		g_assert_true(row->leaving == sent->leaving);
	}
	/* a hundred instances that start at once get it from one of them */
	delegation_encode_changes(plain, &list);
	g_assert_cmpuint(len * 3, <, plain->len);
	g_ptr_array_unref(received.rows);
	g_ptr_array_unref(list.rows);
}

static void test_part(void)
{
	struct store_watch_changes part = create_list(false);
	g_autoptr(GBytes) message = delegation_pack_changes(&part);
	struct store_watch_changes received;

	g_assert_true(delegation_unpack_changes(g_bytes_get_data(message, NULL),
						g_bytes_get_size(message), &received));
	g_assert_false(received.complete);
	g_assert_cmpuint(received.from.era, ==, 1);
	g_assert_cmpuint(received.from.version, ==, 7);
	g_ptr_array_unref(received.rows);
	g_ptr_array_unref(part.rows);
}

static void test_rejected(void)
{
	struct store_watch_changes list = create_list(true);
	g_autoptr(GBytes) whole = delegation_pack_changes(&list);
	g_autoptr(GBytes) zeros = g_bytes_new_take(g_malloc0(DELEGATION_CHANGES_MAX_BYTES + 1),
						   DELEGATION_CHANGES_MAX_BYTES + 1);
	g_autoptr(GBytes) too_long = delta_pack(NULL, zeros);
	struct store_watch_changes received;
	gsize len;
	const uint8_t *data = g_bytes_get_data(whole, &len);
	g_autofree uint8_t *damaged = g_memdup2(data, len);

	for (gsize cut = 0; cut < len; cut += 997)
		g_assert_false(delegation_unpack_changes(data, cut, &received));
	damaged[len / 2] ^= 1;
	g_assert_false(delegation_unpack_changes(damaged, len, &received));
	g_assert_false(delegation_unpack_changes(g_bytes_get_data(too_long, NULL),
						 g_bytes_get_size(too_long), &received));
	g_ptr_array_unref(list.rows);
}

/* The evacuated zones arrive as they were sent, alone and in a reply, and none of them is taken
 * from a message that was cut. */
static void test_evacuated(void)
{
	g_autoptr(GPtrArray) zones = g_ptr_array_new();
	g_autoptr(GByteArray) alone = g_byte_array_new();
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	struct delegation_evacuated evacuated = { .position = { 2, 9 }, .zones = zones };
	struct delegation_reply reply = { .address = "127.0.0.1:1",
					  .list = { 1, 7 },
					  .evacuated = { .position = { 2, 9 }, .zones = zones } };
	struct delegation_evacuated received;
	struct delegation_reply received_reply;
	g_autoptr(GVariant) owner = NULL;
	g_autoptr(GVariant) reply_owner = NULL;

	g_ptr_array_add(zones, (gpointer) "z1");
	g_ptr_array_add(zones, (gpointer) "");
	delegation_encode_evacuated(alone, &evacuated);
	delegation_encode_reply(bytes, &reply);
	for (guint cut = 0; cut < sizeof(struct store_position); cut++)
		g_assert_false(delegation_decode_evacuated(alone->data, cut, &received, &owner));
	g_assert_true(delegation_decode_evacuated(alone->data, alone->len, &received, &owner));
	g_assert_true(
		delegation_decode_reply(bytes->data, bytes->len, &received_reply, &reply_owner));
	g_assert_cmpuint(received_reply.list.version, ==, 7);
	for (uint32_t i = 0; i < 2; i++) {
		struct delegation_evacuated *each = i ? &received_reply.evacuated : &received;

		g_assert_cmpuint(each->position.era, ==, 2);
		g_assert_cmpuint(each->position.version, ==, 9);
		g_assert_cmpuint(each->zones->len, ==, 2);
		g_assert_cmpstr(each->zones->pdata[0], ==, "z1");
		g_assert_cmpstr(each->zones->pdata[1], ==, "");
		g_ptr_array_unref(each->zones);
	}
}

static void test_query(void)
{
	struct delegation_query query = { .address = "127.0.0.1:1",
					  .query_sent_us = 5,
					  .config_version = 6,
					  .list = { 2, 7 },
					  .list_digest = UINT64_MAX - 1 };
	struct delegation_query received;
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	g_autoptr(GVariant) owner = NULL;

	delegation_encode_query(bytes, &query);
	g_assert_true(delegation_decode_query(bytes->data, bytes->len, &received, &owner));
	g_assert_cmpstr(received.address, ==, query.address);
	g_assert_cmpuint(received.query_sent_us, ==, query.query_sent_us);
	g_assert_cmpuint(received.config_version, ==, query.config_version);
	g_assert_cmpuint(received.list.era, ==, query.list.era);
	g_assert_cmpuint(received.list.version, ==, query.list.version);
	g_assert_cmpuint(received.list_digest, ==, query.list_digest);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/delegation-message/whole-list", test_whole_list);
	g_test_add_func("/delegation-message/part", test_part);
	g_test_add_func("/delegation-message/rejected", test_rejected);
	g_test_add_func("/delegation-message/evacuated", test_evacuated);
	g_test_add_func("/delegation-message/query", test_query);
	return g_test_run();
}
