#include "flamingolatch/wire.h"

#include <math.h>
#include <string.h>

/*
 * GVariant type strings. GVariant checks declared lengths against the bytes
 * that are present and never sizes an allocation by them, so a short message
 * that declares a huge length cannot make the decoder allocate gigabytes.
 */

/* version, type, sender, body */
#define WIRE_MESSAGE_TYPE "(yysv)"
/* id, zone, address, incarnation, heartbeat, revision, leaving */
#define WIRE_MEMBER_TYPE "(ssstttb)"
/* members, leaving upstreams, predicted loads, KV usage, heartbeats */
#define WIRE_GOSSIP_TYPE "(a" WIRE_MEMBER_TYPE "a(ss)a(sauau)a(sst)au)"
/* address, revision */
#define WIRE_CONFIG_REQUEST_TYPE "(st)"
/* snapshot */
#define WIRE_CONFIG_TYPE "(s)"

/* struct member_heartbeat as 32-bit words: id hash, incarnation, heartbeat, revision. */
#define WIRE_HEARTBEAT_WORDS 4

G_STATIC_ASSERT(sizeof(struct member_heartbeat) == WIRE_HEARTBEAT_WORDS * sizeof(guint32));

/* helpers: encoding */

static void wire_append_message(GByteArray *out, enum wire_type type, const char *from,
				GVariant *body)
{
	GVariant *message = g_variant_ref_sink(
		g_variant_new(WIRE_MESSAGE_TYPE, WIRE_VERSION, (guint8)type, from, body));

	g_byte_array_append(out, g_variant_get_data(message), (guint)g_variant_get_size(message));
	g_variant_unref(message);
}

static guint32 wire_round_to_u32(double value)
{
	return (guint32)CLAMP(value + 0.5, 0.0, (double)G_MAXUINT32);
}

/* Encodes standard deviations instead of variances, which would not fit into 32 bits. */
static void wire_add_predicted_load(GVariantBuilder *loads, const struct wire_predicted_load *load)
{
	g_variant_builder_open(loads, G_VARIANT_TYPE("(sauau)"));
	g_variant_builder_add(loads, "s", load->id);
	g_variant_builder_open(loads, G_VARIANT_TYPE("au"));
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++)
		g_variant_builder_add(loads, "u",
				      wire_round_to_u32(load->predicted_kv_tokens.mean[i]));
	g_variant_builder_close(loads);
	g_variant_builder_open(loads, G_VARIANT_TYPE("au"));
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++)
		g_variant_builder_add(
			loads, "u",
			wire_round_to_u32(sqrt(MAX(load->predicted_kv_tokens.var[i], 0.0))));
	g_variant_builder_close(loads);
	g_variant_builder_close(loads);
}

/* commands */

void wire_encode_gossip(GByteArray *out, const char *from, const struct wire_gossip *gossip)
{
	GVariantBuilder members;
	GVariantBuilder leaving;
	GVariantBuilder loads;
	GVariantBuilder kv_usage;
	GVariant *heartbeats;

	g_variant_builder_init(&members, G_VARIANT_TYPE("a" WIRE_MEMBER_TYPE));
	for (uint32_t i = 0; i < gossip->member_count; i++) {
		const struct member_record *record = &gossip->members[i];

		g_variant_builder_add(&members, WIRE_MEMBER_TYPE, record->id, record->zone,
				      record->address, record->incarnation, record->heartbeat,
				      record->revision, record->leaving);
	}
	g_variant_builder_init(&leaving, G_VARIANT_TYPE("a(ss)"));
	for (uint32_t i = 0; i < gossip->leaving_count; i++)
		g_variant_builder_add(&leaving, "(ss)", gossip->leaving[i].id,
				      gossip->leaving[i].address);
	g_variant_builder_init(&loads, G_VARIANT_TYPE("a(sauau)"));
	for (uint32_t i = 0; i < gossip->predicted_load_count; i++)
		wire_add_predicted_load(&loads, &gossip->predicted_loads[i]);
	g_variant_builder_init(&kv_usage, G_VARIANT_TYPE("a(sst)"));
	for (uint32_t i = 0; i < gossip->kv_usage_count; i++)
		g_variant_builder_add(&kv_usage, "(sst)", gossip->kv_usage[i].engine,
				      gossip->kv_usage[i].owner, gossip->kv_usage[i].tokens);
	heartbeats = g_variant_new_fixed_array(
		G_VARIANT_TYPE_UINT32, gossip->member_heartbeats,
		(gsize)gossip->member_heartbeat_count * WIRE_HEARTBEAT_WORDS, sizeof(guint32));
	wire_append_message(out, WIRE_GOSSIP, from,
			    g_variant_new("(a" WIRE_MEMBER_TYPE "a(ss)a(sauau)a(sst)@au)", &members,
					  &leaving, &loads, &kv_usage, heartbeats));
}

void wire_encode_config_request(GByteArray *out, const char *from, const char *address,
				uint64_t revision)
{
	wire_append_message(out, WIRE_CONFIG_REQUEST, from,
			    g_variant_new(WIRE_CONFIG_REQUEST_TYPE, address, revision));
}

void wire_encode_config(GByteArray *out, const char *from, const char *snapshot)
{
	wire_append_message(out, WIRE_CONFIG, from, g_variant_new(WIRE_CONFIG_TYPE, snapshot));
}

/* helpers: decoding */

/* Copies a string into an array; returns false when it does not fit. */
static bool wire_copy_string(char *out, size_t size, const char *text)
{
	return g_strlcpy(out, text, size) < size;
}

static bool wire_get_member(GVariant *item, struct member_record *out)
{
	const char *id;
	const char *zone;
	const char *address;
	gboolean leaving;

	g_variant_get(item, "(&s&s&stttb)", &id, &zone, &address, &out->incarnation,
		      &out->heartbeat, &out->revision, &leaving);
	out->leaving = leaving;
	return wire_copy_string(out->id, sizeof(out->id), id) &&
	       wire_copy_string(out->zone, sizeof(out->zone), zone) &&
	       wire_copy_string(out->address, sizeof(out->address), address);
}

static bool wire_get_leaving(GVariant *item, struct wire_leaving *out)
{
	const char *id;
	const char *address;

	g_variant_get(item, "(&s&s)", &id, &address);
	return wire_copy_string(out->id, sizeof(out->id), id) &&
	       wire_copy_string(out->address, sizeof(out->address), address);
}

static bool wire_get_predicted_load(GVariant *item, struct wire_predicted_load *out)
{
	g_autoptr(GVariant) means = g_variant_get_child_value(item, 1);
	g_autoptr(GVariant) deviations = g_variant_get_child_value(item, 2);
	const char *id;

	g_variant_get_child(item, 0, "&s", &id);
	if (g_variant_n_children(means) != KV_FORECAST_HORIZON_COUNT ||
	    g_variant_n_children(deviations) != KV_FORECAST_HORIZON_COUNT)
		return false;
	for (uint32_t i = 0; i < KV_FORECAST_HORIZON_COUNT; i++) {
		guint32 mean;
		guint32 deviation;

		g_variant_get_child(means, i, "u", &mean);
		g_variant_get_child(deviations, i, "u", &deviation);
		out->predicted_kv_tokens.mean[i] = mean;
		out->predicted_kv_tokens.var[i] = (double)deviation * deviation;
	}
	return wire_copy_string(out->id, sizeof(out->id), id);
}

static bool wire_get_kv_usage(GVariant *item, struct wire_kv_usage *out)
{
	const char *engine;
	const char *owner;

	g_variant_get(item, "(&s&st)", &engine, &owner, &out->tokens);
	return wire_copy_string(out->engine, sizeof(out->engine), engine) &&
	       wire_copy_string(out->owner, sizeof(out->owner), owner);
}

static bool wire_get_heartbeats(GVariant *words, struct wire_gossip *out)
{
	gsize count;
	const guint32 *items = g_variant_get_fixed_array(words, &count, sizeof(guint32));

	if (count % WIRE_HEARTBEAT_WORDS != 0 || count / WIRE_HEARTBEAT_WORDS > WIRE_HEARTBEATS_MAX)
		return false;
	out->member_heartbeat_count = (uint32_t)(count / WIRE_HEARTBEAT_WORDS);
	if (count)
		memcpy(out->member_heartbeats, items, count * sizeof(*items));
	return true;
}

static bool wire_get_gossip(GVariant *body, struct wire_gossip *out)
{
	g_autoptr(GVariant) members = g_variant_get_child_value(body, 0);
	g_autoptr(GVariant) leaving = g_variant_get_child_value(body, 1);
	g_autoptr(GVariant) loads = g_variant_get_child_value(body, 2);
	g_autoptr(GVariant) kv_usage = g_variant_get_child_value(body, 3);
	g_autoptr(GVariant) heartbeats = g_variant_get_child_value(body, 4);
	bool ok = g_variant_n_children(members) <= WIRE_MEMBERS_MAX &&
		  g_variant_n_children(leaving) <= WIRE_LEAVING_MAX &&
		  g_variant_n_children(loads) <= WIRE_PREDICTED_LOADS_MAX &&
		  g_variant_n_children(kv_usage) <= WIRE_KV_USAGE_MAX &&
		  wire_get_heartbeats(heartbeats, out);

	for (gsize i = 0; ok && i < g_variant_n_children(members); i++) {
		g_autoptr(GVariant) item = g_variant_get_child_value(members, i);

		ok = wire_get_member(item, &out->members[out->member_count++]);
	}
	for (gsize i = 0; ok && i < g_variant_n_children(leaving); i++) {
		g_autoptr(GVariant) item = g_variant_get_child_value(leaving, i);

		ok = wire_get_leaving(item, &out->leaving[out->leaving_count++]);
	}
	for (gsize i = 0; ok && i < g_variant_n_children(loads); i++) {
		g_autoptr(GVariant) item = g_variant_get_child_value(loads, i);

		ok = wire_get_predicted_load(item,
					     &out->predicted_loads[out->predicted_load_count++]);
	}
	for (gsize i = 0; ok && i < g_variant_n_children(kv_usage); i++) {
		g_autoptr(GVariant) item = g_variant_get_child_value(kv_usage, i);

		ok = wire_get_kv_usage(item, &out->kv_usage[out->kv_usage_count++]);
	}
	return ok;
}

static bool wire_get_config_request(GVariant *body, struct wire_message *out)
{
	const char *address;

	g_variant_get(body, "(&st)", &address, &out->revision);
	return wire_copy_string(out->address, sizeof(out->address), address);
}

static bool wire_get_snapshot(GVariant *body, struct wire_message *out)
{
	const char *text;

	g_variant_get(body, "(&s)", &text);
	if (strlen(text) > WIRE_SNAPSHOT_MAX_BYTES)
		return false;
	out->snapshot = g_strdup(text);
	return true;
}

static bool wire_get_body(GVariant *body, struct wire_message *out)
{
	if (out->type == WIRE_GOSSIP &&
	    g_variant_is_of_type(body, G_VARIANT_TYPE(WIRE_GOSSIP_TYPE))) {
		out->gossip = g_new0(struct wire_gossip, 1);
		return wire_get_gossip(body, out->gossip);
	}
	if (out->type == WIRE_CONFIG_REQUEST &&
	    g_variant_is_of_type(body, G_VARIANT_TYPE(WIRE_CONFIG_REQUEST_TYPE)))
		return wire_get_config_request(body, out);
	if (out->type == WIRE_CONFIG &&
	    g_variant_is_of_type(body, G_VARIANT_TYPE(WIRE_CONFIG_TYPE)))
		return wire_get_snapshot(body, out);
	return false;
}

static bool wire_get_message(GVariant *message, struct wire_message *out)
{
	g_autoptr(GVariant) body = NULL;
	const char *from;
	guint8 version;
	guint8 type;

	if (!g_variant_is_normal_form(message))
		return false;
	g_variant_get(message, "(yy&sv)", &version, &type, &from, &body);
	out->type = (enum wire_type)type;
	return version == WIRE_VERSION && wire_copy_string(out->from, sizeof(out->from), from) &&
	       wire_get_body(body, out);
}

bool wire_decode(const void *buf, size_t len, struct wire_message *out)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *message = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(WIRE_MESSAGE_TYPE), bytes, FALSE));
	bool ok;

	memset(out, 0, sizeof(*out));
	ok = wire_get_message(message, out);
	g_variant_unref(message);
	if (!ok)
		wire_clear(out);
	return ok;
}

void wire_clear(struct wire_message *message)
{
	g_clear_pointer(&message->gossip, g_free);
	g_clear_pointer(&message->snapshot, g_free);
}
