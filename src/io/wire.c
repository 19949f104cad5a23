#include "flamingolatch/wire.h"

#include <msgpack.h>
#include <string.h>

#define WIRE_RECORD_FIELDS 7
#define WIRE_TOP_FIELDS	   4

/* helpers: encoding */

static int wire_write(void *data, const char *buf, size_t len)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)len);
	return 0;
}

static void wire_text(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

static void wire_begin(msgpack_packer *pk, GByteArray *out, enum wire_type type, const char *from)
{
	msgpack_packer_init(pk, out, wire_write);
	msgpack_pack_array(pk, WIRE_TOP_FIELDS);
	msgpack_pack_uint32(pk, WIRE_VERSION);
	msgpack_pack_uint32(pk, type);
	wire_text(pk, from);
}

static void wire_record(msgpack_packer *pk, const struct memb_record *record)
{
	msgpack_pack_array(pk, WIRE_RECORD_FIELDS);
	wire_text(pk, record->id);
	wire_text(pk, record->zone);
	wire_text(pk, record->address);
	msgpack_pack_uint64(pk, record->incarnation);
	msgpack_pack_uint64(pk, record->heartbeat);
	msgpack_pack_uint64(pk, record->revision);
	if (record->leaving)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void wire_sum(msgpack_packer *pk, const struct wire_sum *sum)
{
	msgpack_pack_array(pk, 1 + 2 * LOAD_HORIZONS);
	wire_text(pk, sum->id);
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++)
		msgpack_pack_float(pk, (float)sum->sum.mean[i]);
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++)
		msgpack_pack_float(pk, (float)sum->sum.var[i]);
}

/* commands */

void wire_encode_gossip(GByteArray *out, const char *from, const struct wire_gossip *gossip)
{
	msgpack_packer pk;

	wire_begin(&pk, out, WIRE_GOSSIP, from);
	msgpack_pack_array(&pk, 3);
	msgpack_pack_array(&pk, gossip->member_count);
	for (uint32_t i = 0; i < gossip->member_count; i++)
		wire_record(&pk, &gossip->members[i]);
	msgpack_pack_array(&pk, gossip->leaving_count);
	for (uint32_t i = 0; i < gossip->leaving_count; i++) {
		msgpack_pack_array(&pk, 2);
		wire_text(&pk, gossip->leaving[i].id);
		wire_text(&pk, gossip->leaving[i].address);
	}
	msgpack_pack_array(&pk, gossip->sum_count);
	for (uint32_t i = 0; i < gossip->sum_count; i++)
		wire_sum(&pk, &gossip->sums[i]);
}

void wire_encode_config_ask(GByteArray *out, const char *from, const char *address,
			    uint64_t revision)
{
	msgpack_packer pk;

	wire_begin(&pk, out, WIRE_CONFIG_ASK, from);
	msgpack_pack_array(&pk, 2);
	wire_text(&pk, address);
	msgpack_pack_uint64(&pk, revision);
}

void wire_encode_config(GByteArray *out, const char *from, const char *snapshot)
{
	msgpack_packer pk;

	wire_begin(&pk, out, WIRE_CONFIG, from);
	msgpack_pack_array(&pk, 1);
	wire_text(&pk, snapshot);
}

/* helpers: decoding */

static bool wire_get_text(const msgpack_object *obj, char *out, size_t size)
{
	if (obj->type != MSGPACK_OBJECT_STR || obj->via.str.size >= size)
		return false;
	memcpy(out, obj->via.str.ptr, obj->via.str.size);
	out[obj->via.str.size] = '\0';
	return strlen(out) == obj->via.str.size;
}

static bool wire_get_u64(const msgpack_object *obj, uint64_t *out)
{
	*out = obj->via.u64;
	return obj->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool wire_get_float(const msgpack_object *obj, double *out)
{
	if (obj->type != MSGPACK_OBJECT_FLOAT32 && obj->type != MSGPACK_OBJECT_FLOAT64)
		return false;
	*out = obj->via.f64;
	return *out >= 0.0 && *out <= 1e15;
}

static const msgpack_object *wire_get_array(const msgpack_object *obj, uint32_t max,
					    uint32_t *count)
{
	if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size > max)
		return NULL;
	*count = obj->via.array.size;
	return obj->via.array.ptr;
}

static bool wire_array_fits(const msgpack_object *obj, uint32_t max)
{
	return obj->type == MSGPACK_OBJECT_ARRAY && obj->via.array.size <= max;
}

static const msgpack_object *wire_get_tuple(const msgpack_object *obj, uint32_t size)
{
	uint32_t count = 0;
	const msgpack_object *items = wire_get_array(obj, size, &count);

	return count == size ? items : NULL;
}

static bool wire_get_record(const msgpack_object *obj, struct memb_record *out)
{
	const msgpack_object *items = wire_get_tuple(obj, WIRE_RECORD_FIELDS);

	if (!items)
		return false;
	out->leaving = items[6].via.boolean;
	return wire_get_text(&items[0], out->id, sizeof(out->id)) &&
	       wire_get_text(&items[1], out->zone, sizeof(out->zone)) &&
	       wire_get_text(&items[2], out->address, sizeof(out->address)) &&
	       wire_get_u64(&items[3], &out->incarnation) &&
	       wire_get_u64(&items[4], &out->heartbeat) &&
	       wire_get_u64(&items[5], &out->revision) && items[6].type == MSGPACK_OBJECT_BOOLEAN;
}

static bool wire_get_sum(const msgpack_object *obj, struct wire_sum *out)
{
	const msgpack_object *items = wire_get_tuple(obj, 1 + 2 * LOAD_HORIZONS);

	if (!items || !wire_get_text(&items[0], out->id, sizeof(out->id)))
		return false;
	for (uint32_t i = 0; i < LOAD_HORIZONS; i++) {
		if (!wire_get_float(&items[1 + i], &out->sum.mean[i]) ||
		    !wire_get_float(&items[1 + LOAD_HORIZONS + i], &out->sum.var[i]))
			return false;
	}
	return true;
}

static bool wire_get_leaving(const msgpack_object *obj, struct wire_leaving *out)
{
	const msgpack_object *items = wire_get_tuple(obj, 2);

	return items && wire_get_text(&items[0], out->id, sizeof(out->id)) &&
	       wire_get_text(&items[1], out->address, sizeof(out->address));
}

static bool wire_get_gossip(const msgpack_object *body, struct wire_gossip *out)
{
	const msgpack_object *parts = wire_get_tuple(body, 3);
	const msgpack_object *items;

	if (!parts)
		return false;
	items = wire_get_array(&parts[0], WIRE_MEMBERS_MAX, &out->member_count);
	if (!wire_array_fits(&parts[0], WIRE_MEMBERS_MAX))
		return false;
	for (uint32_t i = 0; i < out->member_count; i++) {
		if (!wire_get_record(&items[i], &out->members[i]))
			return false;
	}
	items = wire_get_array(&parts[1], WIRE_LEAVING_MAX, &out->leaving_count);
	if (!wire_array_fits(&parts[1], WIRE_LEAVING_MAX))
		return false;
	for (uint32_t i = 0; i < out->leaving_count; i++) {
		if (!wire_get_leaving(&items[i], &out->leaving[i]))
			return false;
	}
	items = wire_get_array(&parts[2], WIRE_SUMS_MAX, &out->sum_count);
	if (!wire_array_fits(&parts[2], WIRE_SUMS_MAX))
		return false;
	for (uint32_t i = 0; i < out->sum_count; i++) {
		if (!wire_get_sum(&items[i], &out->sums[i]))
			return false;
	}
	return true;
}

static bool wire_get_snapshot(const msgpack_object *body, char **out)
{
	const msgpack_object *items = wire_get_tuple(body, 1);

	if (!items || items[0].type != MSGPACK_OBJECT_STR ||
	    items[0].via.str.size > WIRE_SNAPSHOT_MAX)
		return false;
	*out = g_strndup(items[0].via.str.ptr, items[0].via.str.size);
	return true;
}

static bool wire_get_body(const msgpack_object *body, struct wire_message *out)
{
	const msgpack_object *items;

	switch (out->type) {
	case WIRE_GOSSIP:
		out->gossip = g_new0(struct wire_gossip, 1);
		return wire_get_gossip(body, out->gossip);
	case WIRE_CONFIG_ASK:
		items = wire_get_tuple(body, 2);
		return items && wire_get_text(&items[0], out->address, sizeof(out->address)) &&
		       wire_get_u64(&items[1], &out->revision);
	case WIRE_CONFIG:
		return wire_get_snapshot(body, &out->snapshot);
	default:
		return false;
	}
}

static bool wire_get_message(const msgpack_object *root, struct wire_message *out)
{
	const msgpack_object *top = wire_get_tuple(root, WIRE_TOP_FIELDS);
	uint64_t version;
	uint64_t type;

	if (!top || !wire_get_u64(&top[0], &version) || version != WIRE_VERSION)
		return false;
	if (!wire_get_u64(&top[1], &type) || type >= WIRE_TYPE_COUNT)
		return false;
	out->type = (enum wire_type)type;
	return wire_get_text(&top[2], out->from, sizeof(out->from)) && wire_get_body(&top[3], out);
}

bool wire_decode(const void *buf, size_t len, struct wire_message *out)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok = false;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, buf, len, &offset) == MSGPACK_UNPACK_SUCCESS)
		ok = offset == len && wire_get_message(&unpacked.data, out);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		wire_clear(out);
	return ok;
}

void wire_clear(struct wire_message *message)
{
	g_clear_pointer(&message->gossip, g_free);
	g_clear_pointer(&message->snapshot, g_free);
}
