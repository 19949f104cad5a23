/**
 * @file test_delegation.c
 * What a delegate sends to the instances that query it, with a bus whose connections the test
 * opens. The functions of the bus are defined here; the watch of the store is the real one.
 */
#include "store_instance.h"

#include "../src/serve/delegation.h"
#include "../src/serve/delegation_message.h"

#include <string.h>

#define OWN_ADDRESS	  "127.0.0.1:8750"
#define DEPENDENT_ADDRESS "127.0.0.2:8750"
#define WAIT_ITERATIONS	  2000

/* the bus */

struct peer_exchange {
	peer_exchange_message_cb cb;
	void *ctx;
	bool connected; /* messages are sent, and counted below */
	uint32_t sent[PEER_EXCHANGE_TYPE_COUNT];
};

void peer_exchange_set_message_cb(struct peer_exchange *exchange, uint8_t type,
				  peer_exchange_message_cb cb, void *ctx)
{
	(void)type;
	exchange->cb = cb;
	exchange->ctx = ctx;
}

void peer_exchange_set_read_cb(struct peer_exchange *exchange, void (*cb)(void *ctx), void *ctx)
{
	(void)exchange;
	(void)cb;
	(void)ctx;
}

void peer_exchange_set_delegated(struct peer_exchange *exchange, bool delegated)
{
	(void)exchange;
	(void)delegated;
}

void peer_exchange_note_own_row(struct peer_exchange *exchange, bool listed)
{
	(void)exchange;
	(void)listed;
}

void peer_exchange_learn_peer(struct peer_exchange *exchange, const char *address,
			      const char *instance, const char *zone)
{
	(void)exchange;
	(void)address;
	(void)instance;
	(void)zone;
}

bool peer_exchange_send(struct peer_exchange *exchange, const char *address, uint8_t type,
			const GByteArray *bytes)
{
	(void)bytes;
	g_assert_cmpstr(address, ==, DEPENDENT_ADDRESS);
	exchange->sent[type] += exchange->connected;
	return exchange->connected;
}

const char *peer_exchange_address(const struct peer_exchange *exchange)
{
	(void)exchange;
	return OWN_ADDRESS;
}

GPtrArray *peer_exchange_group(struct peer_exchange *exchange, bool region)
{
	GPtrArray *group = g_ptr_array_new();

	(void)exchange;
	(void)region;
	g_ptr_array_add(group, (void *)OWN_ADDRESS);
	return group;
}

void peer_exchange_each_peer(struct peer_exchange *exchange,
			     void (*each)(void *ctx, const char *address, const char *instance,
					  const char *zone, bool listed),
			     void *ctx)
{
	(void)exchange;
	(void)each;
	(void)ctx;
}

bool peer_exchange_has_read(const struct peer_exchange *exchange)
{
	(void)exchange;
	return true;
}

void peer_exchange_note_read(struct peer_exchange *exchange)
{
	(void)exchange;
}

/* the delegate */

struct fixture {
	struct store_instance *instance;
	struct peer_exchange exchange;
	struct delegation *delegation;
};

/* Answers the open call for the list with one entry of a new version. */
static void answer_list(struct fixture *f, uint64_t version)
{
	struct store_call *call = &f->instance->calls[STORE_TABLE_UPSTREAMS];
	g_autofree char *id = g_strdup_printf("engine-%" G_GUINT64_FORMAT, version);
	g_autofree char *address = g_strdup_printf("10.0.0.%" G_GUINT64_FORMAT ":80", version);
	g_autoptr(GPtrArray) rows = g_ptr_array_new();
	char service[] = "engines";
	char zone[] = "z1";
	struct store_change row = {
		.id = id, .address = address, .service = service, .zone = zone
	};
	struct store_answer answer = { .result = STORE_OK,
				       .position = { 1, version },
				       .changes = rows };

	g_assert_true(call->open);
	call->open = false;
	g_ptr_array_add(rows, &row);
	call->cb(call->arg, &answer);
	store_instance_settle();
}

static void answer_config(struct fixture *f)
{
	static const char text[] = "{\"version\":1,\"routes\":[]}";
	struct store_call *call = &f->instance->calls[STORE_TABLE_CONFIG];
	g_autoptr(GPtrArray) rows = g_ptr_array_new();
	g_autoptr(GBytes) bytes = g_bytes_new_static(text, strlen(text));
	struct store_change row = { .config_text = bytes };
	struct store_answer answer = { .result = STORE_OK, .position = { 1, 1 }, .changes = rows };

	g_assert_true(call->open);
	call->open = false;
	g_ptr_array_add(rows, &row);
	call->cb(call->arg, &answer);
	store_instance_settle();
}

/* Opens a delegate with version 1 of the list. */
static void fixture_open(struct fixture *f)
{
	*f = (struct fixture){ .instance = store_instance_create() };
	f->delegation = delegation_create(&f->instance->env, f->instance->watch, &f->exchange);
	for (uint32_t i = 0; i < WAIT_ITERATIONS; i++) {
		if (f->instance->calls[STORE_TABLE_CONFIG].open &&
		    f->instance->calls[STORE_TABLE_UPSTREAMS].open)
			break;
		uv_run(uv_default_loop(), UV_RUN_ONCE);
	}
	answer_config(f);
	answer_list(f, 1);
	g_assert_true(store_watch_is_healthy(f->instance->watch));
}

static void fixture_close(struct fixture *f)
{
	delegation_destroy(f->delegation);
	store_instance_destroy(f->instance);
}

/* Queries the delegate. @param version of the list of the instance that does; 0: it has none */
static void query(struct fixture *f, uint64_t version)
{
	struct delegation_query message = { .address = DEPENDENT_ADDRESS,
					    .query_sent_us = 1,
					    .config_version = 1,
					    .list = { version > 0, version } };
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	delegation_encode_query(bytes, &message);
	f->exchange.cb(f->exchange.ctx, DELEGATION_MSG_QUERY, bytes->data, bytes->len);
}

/* A list that the bus drops while the connection opens is sent with the next query. */
static void test_list_dropped(void)
{
	struct fixture f;

	fixture_open(&f);
	query(&f, 0);
	f.exchange.connected = true;
	query(&f, 0);
	g_assert_cmpuint(f.exchange.sent[DELEGATION_MSG_CHANGES], ==, 1);
	/* this one may be on its way */
	query(&f, 0);
	g_assert_cmpuint(f.exchange.sent[DELEGATION_MSG_CHANGES], ==, 1);
	fixture_close(&f);
}

/* So are the changes that an instance lacks. */
static void test_changes_dropped(void)
{
	struct fixture f;

	fixture_open(&f);
	query(&f, 1);
	answer_list(&f, 2);
	answer_list(&f, 3);
	g_usleep(250000); /* until the changes cannot cross the query */
	query(&f, 1);
	f.exchange.connected = true;
	query(&f, 1);
	g_assert_cmpuint(f.exchange.sent[DELEGATION_MSG_CHANGES], ==, 2);
	query(&f, 1);
	g_assert_cmpuint(f.exchange.sent[DELEGATION_MSG_CHANGES], ==, 2);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/delegation/list-dropped", test_list_dropped);
	g_test_add_func("/delegation/changes-dropped", test_changes_dropped);
	return g_test_run();
}
