#include "delegation_message.h"

#include "flamingolatch/delta.h"

/* era, version */
#define DELEGATION_POSITION_TYPE "(tt)"
/* address, time sent (us), version of the configuration, position and digest of the list */
#define DELEGATION_QUERY_TYPE "(stt" DELEGATION_POSITION_TYPE "t)"
/* position of the store, names of zones */
#define DELEGATION_EVACUATED_TYPE "(" DELEGATION_POSITION_TYPE "as)"
/* address, time sent (us), age (us), version of the configuration, positions of the store and of
 * the list, state, evacuated zones */
#define DELEGATION_REPLY_TYPE                                                                      \
	"(sttt" DELEGATION_POSITION_TYPE DELEGATION_POSITION_TYPE "u" DELEGATION_EVACUATED_TYPE ")"
/* id, service, address, zone, software version, start (wall clock, ms), remaining slow start (ms),
 * slots, leaving, removed */
#define DELEGATION_CHANGE_TYPE "(sssssttubb)"
/* from position, to position, how long removed entries count as lapsed (ms), complete, changes */
#define DELEGATION_CHANGES_TYPE                                                                    \
	"(" DELEGATION_POSITION_TYPE DELEGATION_POSITION_TYPE "uba" DELEGATION_CHANGE_TYPE ")"
/* version, base version, position of the store, packed text */
#define DELEGATION_CONFIG_TYPE "(tt" DELEGATION_POSITION_TYPE "ay)"
/* address, instance, zone, listed */
#define DELEGATION_PEERS_TYPE "a(sssb)"

/* Appends the serialized form of a floating variant and frees the variant. */
static void delegation_append(GByteArray *out, GVariant *root)
{
	g_variant_ref_sink(root);
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

/* Returns the message if the bytes are one of this type in normal form, or NULL. */
static GVariant *delegation_parse(const char *type, const void *buf, size_t len)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root =
		g_variant_ref_sink(g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE));

	if (g_variant_is_normal_form(root))
		return root;
	g_variant_unref(root);
	return NULL;
}

void delegation_encode_query(GByteArray *out, const struct delegation_query *query)
{
	delegation_append(out,
			  g_variant_new(DELEGATION_QUERY_TYPE, query->address, query->query_sent_us,
					query->config_version, query->list.era, query->list.version,
					query->list_digest));
}

bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **owner)
{
	*owner = delegation_parse(DELEGATION_QUERY_TYPE, buf, len);
	if (!*owner)
		return false;
	g_variant_get(*owner, "(&stt(tt)t)", &out->address, &out->query_sent_us,
		      &out->config_version, &out->list.era, &out->list.version, &out->list_digest);
	return true;
}

/* Returns a floating variant. */
static GVariant *delegation_build_evacuated(const struct delegation_evacuated *evacuated)
{
	GVariantBuilder zones;

	g_variant_builder_init(&zones, G_VARIANT_TYPE("as"));
	for (guint i = 0; evacuated->zones && i < evacuated->zones->len; i++)
		g_variant_builder_add(&zones, "s", evacuated->zones->pdata[i]);
	return g_variant_new(DELEGATION_EVACUATED_TYPE, evacuated->position.era,
			     evacuated->position.version, &zones);
}

/* Borrows the names of the zones from a variant, which must outlive the result. */
static void delegation_read_evacuated(GVariant *variant, struct delegation_evacuated *out)
{
	g_autoptr(GVariantIter) iter = NULL;
	const char *zone;

	g_variant_get(variant, DELEGATION_EVACUATED_TYPE, &out->position.era,
		      &out->position.version, &iter);
	out->zones = g_ptr_array_new();
	while (g_variant_iter_next(iter, "&s", &zone))
		g_ptr_array_add(out->zones, (gpointer)zone);
}

void delegation_encode_evacuated(GByteArray *out, const struct delegation_evacuated *evacuated)
{
	delegation_append(out, delegation_build_evacuated(evacuated));
}

bool delegation_decode_evacuated(const void *buf, size_t len, struct delegation_evacuated *out,
				 GVariant **owner)
{
	*owner = delegation_parse(DELEGATION_EVACUATED_TYPE, buf, len);
	if (!*owner)
		return false;
	delegation_read_evacuated(*owner, out);
	return true;
}

void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply)
{
	delegation_append(out,
			  g_variant_new("(sttt(tt)(tt)u@((tt)as))", reply->address,
					reply->query_sent_us, reply->age_us, reply->config_version,
					reply->store.era, reply->store.version, reply->list.era,
					reply->list.version, (guint32)reply->state,
					delegation_build_evacuated(&reply->evacuated)));
}

bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **owner)
{
	g_autoptr(GVariant) evacuated = NULL;
	guint32 state;

	*owner = delegation_parse(DELEGATION_REPLY_TYPE, buf, len);
	if (!*owner)
		return false;
	g_variant_get(*owner, "(&sttt(tt)(tt)u@((tt)as))", &out->address, &out->query_sent_us,
		      &out->age_us, &out->config_version, &out->store.era, &out->store.version,
		      &out->list.era, &out->list.version, &state, &evacuated);
	delegation_read_evacuated(evacuated, &out->evacuated);
	/* A state of another version of this program is none to rely on. */
	out->state = state < DELEGATE_STATE_COUNT ? (enum delegate_state)state : DELEGATE_UNHEALTHY;
	return true;
}

static const char *delegation_text_or_empty(const char *text)
{
	return text ? text : "";
}

void delegation_encode_changes(GByteArray *out, const struct store_watch_changes *changes)
{
	GVariantBuilder row_builder;

	g_variant_builder_init(&row_builder, G_VARIANT_TYPE("a" DELEGATION_CHANGE_TYPE));
	for (guint i = 0; i < changes->rows->len; i++) {
		const struct store_change *change = changes->rows->pdata[i];

		g_variant_builder_add(&row_builder, DELEGATION_CHANGE_TYPE, change->id,
				      delegation_text_or_empty(change->service),
				      delegation_text_or_empty(change->address),
				      delegation_text_or_empty(change->zone),
				      delegation_text_or_empty(change->software_version),
				      change->started_ms, (guint64)change->cold_ms,
				      (guint32)change->slots, change->leaving,
				      change->removed || change->malformed);
	}
	delegation_append(out, g_variant_new(DELEGATION_CHANGES_TYPE, changes->from.era,
					     changes->from.version, changes->to.era,
					     changes->to.version, (guint32)changes->lapse_ms,
					     changes->complete, &row_builder));
}

static void delegation_change_free(gpointer data)
{
	struct store_change *change = data;

	g_free(change->id);
	g_free(change->service);
	g_free(change->address);
	g_free(change->zone);
	g_free(change->software_version);
	g_free(change);
}

bool delegation_decode_changes(const void *buf, size_t len, struct store_watch_changes *out)
{
	g_autoptr(GVariant) root = delegation_parse(DELEGATION_CHANGES_TYPE, buf, len);
	g_autoptr(GVariantIter) iter = NULL;
	struct store_change row = { 0 };
	guint32 lapse_ms;
	guint32 slots;
	guint64 cold_ms;
	gboolean complete;
	gboolean leaving;
	gboolean removed;

	if (!root)
		return false;
	g_variant_get(root, DELEGATION_CHANGES_TYPE, &out->from.era, &out->from.version,
		      &out->to.era, &out->to.version, &lapse_ms, &complete, &iter);
	out->complete = complete;
	out->lapse_ms = lapse_ms;
	out->rows = g_ptr_array_new_with_free_func(delegation_change_free);
	while (g_variant_iter_next(iter, DELEGATION_CHANGE_TYPE, &row.id, &row.service,
				   &row.address, &row.zone, &row.software_version, &row.started_ms,
				   &cold_ms, &slots, &leaving, &removed)) {
		row.cold_ms = (uint32_t)cold_ms;
		row.slots = slots;
		row.leaving = leaving;
		row.removed = removed;
		g_ptr_array_add(out->rows, g_memdup2(&row, sizeof(row)));
	}
	return true;
}

GBytes *delegation_pack_changes(const struct store_watch_changes *changes)
{
	GByteArray *bytes = g_byte_array_new();
	g_autoptr(GBytes) text = NULL;

	delegation_encode_changes(bytes, changes);
	text = g_byte_array_free_to_bytes(bytes);
	return delta_pack(NULL, text);
}

bool delegation_unpack_changes(const void *buf, size_t len, struct store_watch_changes *out)
{
	g_autoptr(GBytes) text = delta_unpack(NULL, buf, len, DELEGATION_CHANGES_MAX_BYTES);
	gsize text_len;
	const void *data;

	if (!text)
		return false;
	data = g_bytes_get_data(text, &text_len);
	return delegation_decode_changes(data, text_len, out);
}

void delegation_encode_config(GByteArray *out, const struct store_watch_config *config)
{
	GVariant *packed =
		g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, config->packed, TRUE);

	delegation_append(out,
			  g_variant_new("(tt(tt)@ay)", config->version, config->base_version,
					config->position.era, config->position.version, packed));
}

bool delegation_decode_config(const void *buf, size_t len, struct store_watch_config *out)
{
	g_autoptr(GVariant) root = delegation_parse(DELEGATION_CONFIG_TYPE, buf, len);
	g_autoptr(GVariant) packed = NULL;

	if (!root)
		return false;
	g_variant_get(root, "(tt(tt)@ay)", &out->version, &out->base_version, &out->position.era,
		      &out->position.version, &packed);
	out->packed = g_bytes_new(g_variant_get_data(packed), g_variant_get_size(packed));
	return true;
}

void delegation_encode_peers(GByteArray *out, const GArray *peers)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE(DELEGATION_PEERS_TYPE));
	for (guint i = 0; i < peers->len; i++) {
		const struct delegation_peer *peer =
			&g_array_index(peers, struct delegation_peer, i);

		g_variant_builder_add(&builder, "(sssb)", peer->address, peer->instance, peer->zone,
				      peer->listed);
	}
	delegation_append(out, g_variant_builder_end(&builder));
}

bool delegation_decode_peers(const void *buf, size_t len, GArray **out, GVariant **owner)
{
	g_autoptr(GVariantIter) iter = NULL;
	struct delegation_peer peer;
	gboolean listed;

	*owner = delegation_parse(DELEGATION_PEERS_TYPE, buf, len);
	if (!*owner)
		return false;
	*out = g_array_new(FALSE, FALSE, sizeof(struct delegation_peer));
	g_variant_get(*owner, DELEGATION_PEERS_TYPE, &iter);
	while (g_variant_iter_next(iter, "(&s&s&sb)", &peer.address, &peer.instance, &peer.zone,
				   &listed)) {
		peer.listed = listed;
		g_array_append_val(*out, peer);
	}
	return true;
}
