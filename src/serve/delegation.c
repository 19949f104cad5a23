#include "delegation.h"

#include <string.h>

#define DELEGATION_MSG_QUERY   2
#define DELEGATION_MSG_REPLY   3
#define DELEGATION_MSG_CHANGES 4
/* address, time sent (us) */
#define DELEGATION_QUERY_TYPE "(st)"
/* address, time sent (us), age (us), version of the configuration and of the list, healthy */
#define DELEGATION_REPLY_TYPE "(sttttb)"
/* id, service, address, zone, start (wall clock, ms), remaining slow start (ms), slots, leaving,
 * removed */
#define DELEGATION_CHANGE_TYPE "(ssssttubb)"
/* from version, to version, how long removed entries count as lapsed (ms), changes */
#define DELEGATION_CHANGES_TYPE "(ttua" DELEGATION_CHANGE_TYPE ")"

#define DELEGATION_TICK_MS		 100
#define DELEGATION_QUERY_INTERVAL_MAX_MS 800
/* Covers a round trip within a region and a slow instance. */
#define DELEGATION_REPLY_TIMEOUT_MS 350
/* Time without a query to an instance after it did not reply. */
#define DELEGATION_SILENT_EXCLUDE_MS 4000
/* Time without a query to an instance after it replied that it is not healthy. */
#define DELEGATION_UNHEALTHY_EXCLUDE_MS 600
/* A dependent is forgotten after about three missing queries. */
#define DELEGATION_DEPENDENT_TIMEOUT_MS 2500
/* Fractions of the time for which a confirmation of the configuration is valid. An instance whose
 * configuration is older than the first does not serve as a delegate; a delegate that works well
 * states about half of it. */
#define DELEGATION_MAX_AGE_FRACTION	   0.42
#define DELEGATION_QUERY_INTERVAL_FRACTION 0.17
/* A zone with this many instances has a delegate of its own; smaller ones share the region's. */
#define DELEGATION_ZONE_MIN_INSTANCES 16

struct delegation {
	struct env *env;
	struct store_watch *watch;
	struct peer_exchange *exchange;
	uv_timer_t tick;
	GHashTable *excluded;	/* address to the time until which it gets no query, in us */
	GHashTable *dependents; /* address to the time of its last query, in us */
	char *queried;		/* address of the instance whose reply is outstanding, or NULL */
	char *delegate;		/* address of the delegate, or NULL */
	uint64_t query_sent_us; /* time of the last query, by env_boot_us() */
	uint64_t replied_us;	/* time of the last reply of a healthy delegate */
};

static void delegation_on_tick(uv_timer_t *timer);
static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void delegation_on_changes(void *ctx, const struct store_watch_changes *changes);

/* lifetime */

struct delegation *delegation_create(struct env *env, struct store_watch *watch,
				     struct peer_exchange *exchange)
{
	struct delegation *delegation = g_new0(struct delegation, 1);

	delegation->env = env;
	delegation->watch = watch;
	delegation->exchange = exchange;
	delegation->excluded = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	delegation->dependents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peer_exchange_set_message_cb(exchange, delegation_on_message, delegation);
	store_watch_set_changes_cb(watch, delegation_on_changes, delegation);
	uv_timer_init(env->loop, &delegation->tick);
	delegation->tick.data = delegation;
	uv_timer_start(&delegation->tick, delegation_on_tick, DELEGATION_TICK_MS,
		       DELEGATION_TICK_MS);
	return delegation;
}

static void delegation_on_closed(uv_handle_t *handle)
{
	struct delegation *delegation = handle->data;

	g_hash_table_destroy(delegation->excluded);
	g_hash_table_destroy(delegation->dependents);
	g_free(delegation->queried);
	g_free(delegation->delegate);
	g_free(delegation);
}

void delegation_destroy(struct delegation *delegation)
{
	if (!delegation)
		return;
	peer_exchange_set_message_cb(delegation->exchange, NULL, NULL);
	store_watch_set_changes_cb(delegation->watch, NULL, NULL);
	uv_close((uv_handle_t *)&delegation->tick, delegation_on_closed);
}

/* helpers: messages */

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
	delegation_append(
		out, g_variant_new(DELEGATION_QUERY_TYPE, query->address, query->query_sent_us));
}

bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **owner)
{
	*owner = delegation_parse(DELEGATION_QUERY_TYPE, buf, len);
	if (!*owner)
		return false;
	g_variant_get(*owner, "(&st)", &out->address, &out->query_sent_us);
	return true;
}

void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply)
{
	delegation_append(out,
			  g_variant_new(DELEGATION_REPLY_TYPE, reply->address, reply->query_sent_us,
					reply->age_us, reply->config_version, reply->list_version,
					reply->healthy));
}

bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **owner)
{
	gboolean healthy;

	*owner = delegation_parse(DELEGATION_REPLY_TYPE, buf, len);
	if (!*owner)
		return false;
	g_variant_get(*owner, "(&sttttb)", &out->address, &out->query_sent_us, &out->age_us,
		      &out->config_version, &out->list_version, &healthy);
	out->healthy = healthy;
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
				      delegation_text_or_empty(change->zone), change->started_ms,
				      (guint64)change->cold_ms, (guint32)change->slots,
				      change->leaving, change->removed || change->malformed);
	}
	delegation_append(out, g_variant_new(DELEGATION_CHANGES_TYPE, changes->from_version,
					     changes->to_version, (guint32)changes->lapse_ms,
					     &row_builder));
}

static void delegation_change_free(gpointer data)
{
	struct store_change *change = data;

	g_free(change->id);
	g_free(change->service);
	g_free(change->address);
	g_free(change->zone);
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
	gboolean leaving;
	gboolean removed;

	if (!root)
		return false;
	g_variant_get(root, "(ttua" DELEGATION_CHANGE_TYPE ")", &out->from_version,
		      &out->to_version, &lapse_ms, &iter);
	out->lapse_ms = lapse_ms;
	out->rows = g_ptr_array_new_with_free_func(delegation_change_free);
	while (g_variant_iter_next(iter, DELEGATION_CHANGE_TYPE, &row.id, &row.service,
				   &row.address, &row.zone, &row.started_ms, &cold_ms, &slots,
				   &leaving, &removed)) {
		row.cold_ms = (uint32_t)cold_ms;
		row.slots = slots;
		row.leaving = leaving;
		row.removed = removed;
		g_ptr_array_add(out->rows, g_memdup2(&row, sizeof(row)));
	}
	return true;
}

/* helpers: finding a delegate */

/* Returns the first instance of the group that is not excluded; NULL when that is this one. */
static const char *delegation_candidate(struct delegation *delegation, const GPtrArray *group,
					uint64_t now_us)
{
	for (guint i = 0; i < group->len; i++) {
		const char *address = group->pdata[i];
		const uint64_t *until_us = g_hash_table_lookup(delegation->excluded, address);

		if (strcmp(address, peer_exchange_address(delegation->exchange)) == 0)
			return NULL;
		if (!until_us || now_us >= *until_us)
			return address;
	}
	return NULL;
}

/* Sends no query to an instance for some time; it is no longer the delegate. */
static void delegation_exclude(struct delegation *delegation, const char *address, uint64_t now_us,
			       uint64_t duration_ms)
{
	uint64_t until_us = now_us + duration_ms * 1000;

	g_hash_table_replace(delegation->excluded, g_strdup(address),
			     g_memdup2(&until_us, sizeof(until_us)));
	if (g_strcmp0(delegation->delegate, address) == 0)
		g_clear_pointer(&delegation->delegate, g_free);
}

static void delegation_send_query(struct delegation *delegation, uint64_t now_us)
{
	g_autoptr(GPtrArray) zone = peer_exchange_group(delegation->exchange, false);
	g_autoptr(GPtrArray) region = peer_exchange_group(delegation->exchange, true);
	const char *address = delegation_candidate(
		delegation, zone->len >= DELEGATION_ZONE_MIN_INSTANCES ? zone : region, now_us);
	struct delegation_query query = { .address = peer_exchange_address(delegation->exchange),
					  .query_sent_us = now_us };
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	if (!address || delegation->env->stopping) {
		g_clear_pointer(&delegation->delegate, g_free);
		return;
	}
	g_free(delegation->queried);
	delegation->queried = g_strdup(address);
	delegation->query_sent_us = now_us;
	delegation_encode_query(bytes, &query);
	peer_exchange_send(delegation->exchange, address, DELEGATION_MSG_QUERY, bytes);
}

/* Returns true for a dependent that has sent no query for too long. */
static gboolean delegation_is_expired(gpointer address, gpointer query_sent_us, gpointer now_us)
{
	(void)address;
	return *(const uint64_t *)now_us - *(const uint64_t *)query_sent_us >
	       DELEGATION_DEPENDENT_TIMEOUT_MS * 1000ULL;
}

static uint64_t delegation_query_interval_us(const struct delegation *delegation)
{
	return MIN(env_config_age_limit_us(delegation->env, DELEGATION_QUERY_INTERVAL_FRACTION),
		   DELEGATION_QUERY_INTERVAL_MAX_MS * 1000ULL);
}

static void delegation_on_tick(uv_timer_t *timer)
{
	struct delegation *delegation = timer->data;
	uint64_t now_us = env_boot_us();

	if (delegation->queried &&
	    now_us - delegation->query_sent_us > DELEGATION_REPLY_TIMEOUT_MS * 1000ULL) {
		delegation_exclude(delegation, delegation->queried, now_us,
				   DELEGATION_SILENT_EXCLUDE_MS);
		g_clear_pointer(&delegation->queried, g_free);
		delegation_send_query(delegation, now_us);
	} else if (!delegation->queried &&
		   now_us - delegation->query_sent_us > delegation_query_interval_us(delegation)) {
		delegation_send_query(delegation, now_us);
	}
	store_watch_set_delegated(delegation->watch, delegation->delegate != NULL);
	store_watch_set_has_dependents(delegation->watch,
				       g_hash_table_size(delegation->dependents) > 0);
	g_hash_table_foreach_remove(delegation->dependents, delegation_is_expired, &now_us);
}

/* helpers: serving as a delegate */

static void delegation_on_query(struct delegation *delegation, const struct delegation_query *query)
{
	struct env *env = delegation->env;
	uint64_t now_us = env_boot_us();
	uint64_t age_us = freshness_age_us(&env->freshness, now_us);
	struct delegation_reply reply = {
		.address = peer_exchange_address(delegation->exchange),
		.query_sent_us = query->query_sent_us,
		.age_us = age_us,
		.config_version = env->config ? route_config_version(env->config) : 0,
		.list_version = store_watch_list_version(delegation->watch),
		.healthy = store_watch_is_healthy(delegation->watch) && !env->stopping &&
			   age_us < env_config_age_limit_us(env, DELEGATION_MAX_AGE_FRACTION),
	};
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	/* The sender counts as a dependent even when this instance is not healthy: with dependents
	 * it confirms the configuration more often and so becomes healthy. */
	g_hash_table_replace(delegation->dependents, g_strdup(query->address),
			     g_memdup2(&now_us, sizeof(now_us)));
	delegation_encode_reply(bytes, &reply);
	peer_exchange_send(delegation->exchange, query->address, DELEGATION_MSG_REPLY, bytes);
}

static void delegation_on_reply(struct delegation *delegation, const struct delegation_reply *reply)
{
	struct env *env = delegation->env;
	uint64_t now_us = env_boot_us();

	/* Ignore a reply to any but the outstanding query. */
	if (!delegation->queried || reply->query_sent_us != delegation->query_sent_us ||
	    strcmp(reply->address, delegation->queried) != 0)
		return;
	g_clear_pointer(&delegation->queried, g_free);
	if (!reply->healthy) {
		delegation_exclude(delegation, reply->address, now_us,
				   DELEGATION_UNHEALTHY_EXCLUDE_MS);
		delegation_send_query(delegation, now_us);
		return;
	}
	g_free(delegation->delegate);
	delegation->delegate = g_strdup(reply->address);
	delegation->replied_us = now_us;
	if (env->config && reply->config_version <= route_config_version(env->config) &&
	    reply->query_sent_us > reply->age_us)
		freshness_confirm(&env->freshness, reply->query_sent_us - reply->age_us);
	store_watch_check_versions(delegation->watch, reply->config_version, reply->list_version);
}

static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct delegation *delegation = ctx;
	g_autoptr(GVariant) owner = NULL;
	struct delegation_query query;
	struct delegation_reply reply;
	struct store_watch_changes changes;
	bool handled = true;

	if (type == DELEGATION_MSG_QUERY && delegation_decode_query(buf, len, &query, &owner)) {
		delegation_on_query(delegation, &query);
	} else if (type == DELEGATION_MSG_REPLY &&
		   delegation_decode_reply(buf, len, &reply, &owner)) {
		delegation_on_reply(delegation, &reply);
	} else if (type == DELEGATION_MSG_CHANGES &&
		   delegation_decode_changes(buf, len, &changes)) {
		store_watch_apply_changes(delegation->watch, &changes);
		g_ptr_array_unref(changes.rows);
	} else {
		handled = false;
	}
	if (handled)
		return;
	metric_add(delegation->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
	log_event(LOG_BUS_INVALID_MESSAGE, NULL);
}

static void delegation_on_changes(void *ctx, const struct store_watch_changes *changes)
{
	struct delegation *delegation = ctx;
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	GHashTableIter iter;
	const char *address;

	delegation_encode_changes(bytes, changes);
	g_hash_table_iter_init(&iter, delegation->dependents);
	while (g_hash_table_iter_next(&iter, (gpointer *)&address, NULL))
		peer_exchange_send(delegation->exchange, address, DELEGATION_MSG_CHANGES, bytes);
}
