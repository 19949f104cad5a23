#include "delegation.h"

#include <string.h>

#define DELEGATION_MSG_QUERY	2
#define DELEGATION_MSG_REPLY	3
#define DELEGATION_MSG_CHANGES	4
#define DELEGATION_QUERY_TYPE	"(st)"
#define DELEGATION_REPLY_TYPE	"(sttttb)"
#define DELEGATION_CHANGE_TYPE	"(ssssttubb)" /* id, service, address, zone, start, ... */
#define DELEGATION_CHANGES_TYPE "(ttua" DELEGATION_CHANGE_TYPE ")"

#define DELEGATION_TICK_MS		 100
#define DELEGATION_QUERY_INTERVAL_MAX_MS 800
#define DELEGATION_REPLY_TIMEOUT_MS	 350  /* round trip within a region, and slow instances */
#define DELEGATION_SILENT_EXCLUDE_MS	 4000 /* before one that did not answer is asked again */
#define DELEGATION_UNHEALTHY_EXCLUDE_MS                                                            \
	600 /* before one that did not follow the store is asked again */
#define DELEGATION_DEPENDENT_TIMEOUT_MS 2500 /* three questions */
/* Parts of the time for which a confirmation of the configuration holds. */
#define DELEGATION_MAX_AGE_FRACTION	   0.42 /* twice what a delegate that is well states */
#define DELEGATION_QUERY_INTERVAL_FRACTION 0.17 /* between two questions */
#define DELEGATION_ZONE_MIN_INSTANCES	   16	/* a zone this large has a delegate of its own */

struct delegation {
	struct env *env;
	struct store_watch *store_watch;
	struct peer_exchange *peer_exchange;
	uv_timer_t tick;
	GHashTable *shunned;   /* address to when it may be asked again, in us */
	GHashTable *followers; /* address to when it asked last, in us */
	char *asked;	       /* address, while a question is open */
	char *delegate;	       /* address of the one that answered last, or NULL */
	uint64_t asked_us;     /* on the clock that counts suspension */
	uint64_t answered_us;
};

static void delegation_on_tick(uv_timer_t *timer);
static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void delegation_on_changes(void *ctx, const struct store_watch_changes *changes);

/* lifetime */

struct delegation *delegation_create(struct env *env, struct store_watch *store_watch,
				     struct peer_exchange *peer_exchange)
{
	struct delegation *delegation = g_new0(struct delegation, 1);

	delegation->env = env;
	delegation->store_watch = store_watch;
	delegation->peer_exchange = peer_exchange;
	delegation->shunned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	delegation->followers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	peer_exchange_set_message_cb(peer_exchange, delegation_on_message, delegation);
	store_watch_set_changes_cb(store_watch, delegation_on_changes, delegation);
	uv_timer_init(env->loop, &delegation->tick);
	delegation->tick.data = delegation;
	uv_timer_start(&delegation->tick, delegation_on_tick, DELEGATION_TICK_MS,
		       DELEGATION_TICK_MS);
	return delegation;
}

static void delegation_on_closed(uv_handle_t *handle)
{
	struct delegation *delegation = handle->data;

	g_hash_table_destroy(delegation->shunned);
	g_hash_table_destroy(delegation->followers);
	g_free(delegation->asked);
	g_free(delegation->delegate);
	g_free(delegation);
}

void delegation_destroy(struct delegation *delegation)
{
	if (!delegation)
		return;
	peer_exchange_set_message_cb(delegation->peer_exchange, NULL, NULL);
	store_watch_set_changes_cb(delegation->store_watch, NULL, NULL);
	uv_close((uv_handle_t *)&delegation->tick, delegation_on_closed);
}

/* helpers: messages */

static void delegation_append(GByteArray *out, GVariant *root)
{
	g_variant_ref_sink(root);
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

/* Returns a message in normal form, or NULL. */
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

void delegation_encode_query(GByteArray *out, const struct delegation_query *ask)
{
	delegation_append(out, g_variant_new(DELEGATION_QUERY_TYPE, ask->address, ask->asked_us));
}

bool delegation_decode_query(const void *buf, size_t len, struct delegation_query *out,
			     GVariant **keep)
{
	*keep = delegation_parse(DELEGATION_QUERY_TYPE, buf, len);
	if (!*keep)
		return false;
	g_variant_get(*keep, "(&st)", &out->address, &out->asked_us);
	return true;
}

void delegation_encode_reply(GByteArray *out, const struct delegation_reply *reply)
{
	delegation_append(out, g_variant_new(DELEGATION_REPLY_TYPE, reply->address, reply->asked_us,
					     reply->age_us, reply->config_version,
					     reply->list_version, reply->sound));
}

bool delegation_decode_reply(const void *buf, size_t len, struct delegation_reply *out,
			     GVariant **keep)
{
	gboolean sound;

	*keep = delegation_parse(DELEGATION_REPLY_TYPE, buf, len);
	if (!*keep)
		return false;
	g_variant_get(*keep, "(&sttttb)", &out->address, &out->asked_us, &out->age_us,
		      &out->config_version, &out->list_version, &sound);
	out->sound = sound;
	return true;
}

static const char *delegation_text(const char *text)
{
	return text ? text : "";
}

void delegation_encode_changes(GByteArray *out, const struct store_watch_changes *changes)
{
	GVariantBuilder rows;

	g_variant_builder_init(&rows, G_VARIANT_TYPE("a" DELEGATION_CHANGE_TYPE));
	for (guint i = 0; i < changes->changes->len; i++) {
		const struct store_change *change = changes->changes->pdata[i];

		g_variant_builder_add(
			&rows, DELEGATION_CHANGE_TYPE, change->id, delegation_text(change->service),
			delegation_text(change->address), delegation_text(change->zone),
			change->started_ms, (guint64)change->cold_ms, (guint32)change->slots,
			change->leaving, change->gone || change->broken);
	}
	delegation_append(out, g_variant_new(DELEGATION_CHANGES_TYPE, changes->from, changes->to,
					     (guint32)changes->lapse_ms, &rows));
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
	guint32 lapse;
	guint32 slots;
	guint64 cold;
	gboolean leaving;
	gboolean gone;

	if (!root)
		return false;
	g_variant_get(root, "(ttua" DELEGATION_CHANGE_TYPE ")", &out->from, &out->to, &lapse,
		      &iter);
	out->lapse_ms = lapse;
	out->changes = g_ptr_array_new_with_free_func(delegation_change_free);
	while (g_variant_iter_next(iter, DELEGATION_CHANGE_TYPE, &row.id, &row.service,
				   &row.address, &row.zone, &row.started_ms, &cold, &slots,
				   &leaving, &gone)) {
		row.cold_ms = (uint32_t)cold;
		row.slots = slots;
		row.leaving = leaving;
		row.gone = gone;
		g_ptr_array_add(out->changes, g_memdup2(&row, sizeof(row)));
	}
	return true;
}

/* helpers: asking */

/* Returns the first of the group that may be asked, or NULL when that is this instance. */
static const char *delegation_candidate(struct delegation *delegation, const GPtrArray *group,
					uint64_t now_us)
{
	for (guint i = 0; i < group->len; i++) {
		const char *address = group->pdata[i];
		const uint64_t *until_us = g_hash_table_lookup(delegation->shunned, address);

		if (strcmp(address, peer_exchange_address(delegation->peer_exchange)) == 0)
			return NULL;
		if (!until_us || now_us >= *until_us)
			return address;
	}
	return NULL;
}

static void delegation_exclude(struct delegation *delegation, const char *address, uint64_t now_us,
			       uint64_t ms)
{
	uint64_t until_us = now_us + ms * 1000;

	g_hash_table_replace(delegation->shunned, g_strdup(address),
			     g_memdup2(&until_us, sizeof(until_us)));
	if (g_strcmp0(delegation->delegate, address) == 0)
		g_clear_pointer(&delegation->delegate, g_free);
}

static void delegation_send_query(struct delegation *delegation, uint64_t now_us)
{
	g_autoptr(GPtrArray) zone = peer_exchange_group(delegation->peer_exchange, false);
	g_autoptr(GPtrArray) region = peer_exchange_group(delegation->peer_exchange, true);
	const char *address = delegation_candidate(
		delegation, zone->len >= DELEGATION_ZONE_MIN_INSTANCES ? zone : region, now_us);
	struct delegation_query ask = { .address = peer_exchange_address(delegation->peer_exchange),
					.asked_us = now_us };
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	if (!address || delegation->env->stopping) {
		g_clear_pointer(&delegation->delegate, g_free);
		return;
	}
	g_free(delegation->asked);
	delegation->asked = g_strdup(address);
	delegation->asked_us = now_us;
	delegation_encode_query(bytes, &ask);
	peer_exchange_send(delegation->peer_exchange, address, DELEGATION_MSG_QUERY, bytes);
}

/* Whether a follower has not asked for long. */
static gboolean delegation_is_expired(gpointer address, gpointer asked_us, gpointer now_us)
{
	(void)address;
	return *(const uint64_t *)now_us - *(const uint64_t *)asked_us >
	       DELEGATION_DEPENDENT_TIMEOUT_MS * 1000ULL;
}

static uint64_t delegation_query_interval_us(const struct delegation *delegation)
{
	return MIN(env_fresh_part_us(delegation->env, DELEGATION_QUERY_INTERVAL_FRACTION),
		   DELEGATION_QUERY_INTERVAL_MAX_MS * 1000ULL);
}

static void delegation_on_tick(uv_timer_t *timer)
{
	struct delegation *delegation = timer->data;
	uint64_t now_us = env_boot_us();

	if (delegation->asked &&
	    now_us - delegation->asked_us > DELEGATION_REPLY_TIMEOUT_MS * 1000ULL) {
		delegation_exclude(delegation, delegation->asked, now_us,
				   DELEGATION_SILENT_EXCLUDE_MS);
		g_clear_pointer(&delegation->asked, g_free);
		delegation_send_query(delegation, now_us);
	} else if (!delegation->asked &&
		   now_us - delegation->asked_us > delegation_query_interval_us(delegation)) {
		delegation_send_query(delegation, now_us);
	}
	store_watch_set_delegated(delegation->store_watch, delegation->delegate != NULL);
	store_watch_set_has_dependents(delegation->store_watch,
				       g_hash_table_size(delegation->followers) > 0);
	g_hash_table_foreach_remove(delegation->followers, delegation_is_expired, &now_us);
}

/* helpers: answering */

static void delegation_answer(struct delegation *delegation, const struct delegation_query *ask)
{
	struct env *env = delegation->env;
	uint64_t now_us = env_boot_us();
	uint64_t age_us = fresh_age_us(&env->fresh, now_us);
	struct delegation_reply reply = {
		.address = peer_exchange_address(delegation->peer_exchange),
		.asked_us = ask->asked_us,
		.age_us = age_us,
		.config_version = env->config ? rt_config_version(env->config) : 0,
		.list_version = store_watch_list_version(delegation->store_watch),
		.sound = store_watch_is_healthy(delegation->store_watch) && !env->stopping &&
			 age_us < env_fresh_part_us(env, DELEGATION_MAX_AGE_FRACTION),
	};
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	/* Whoever is asked confirms more often, and so becomes sound for those who ask. */
	g_hash_table_replace(delegation->followers, g_strdup(ask->address),
			     g_memdup2(&now_us, sizeof(now_us)));
	delegation_encode_reply(bytes, &reply);
	peer_exchange_send(delegation->peer_exchange, ask->address, DELEGATION_MSG_REPLY, bytes);
}

static void delegation_on_reply(struct delegation *delegation, const struct delegation_reply *reply)
{
	struct env *env = delegation->env;
	uint64_t now_us = env_boot_us();

	/* Only the answer to the question that is open counts. */
	if (!delegation->asked || reply->asked_us != delegation->asked_us ||
	    strcmp(reply->address, delegation->asked) != 0)
		return;
	g_clear_pointer(&delegation->asked, g_free);
	if (!reply->sound) {
		delegation_exclude(delegation, reply->address, now_us,
				   DELEGATION_UNHEALTHY_EXCLUDE_MS);
		delegation_send_query(delegation, now_us);
		return;
	}
	g_free(delegation->delegate);
	delegation->delegate = g_strdup(reply->address);
	delegation->answered_us = now_us;
	if (env->config && reply->config_version <= rt_config_version(env->config) &&
	    reply->asked_us > reply->age_us)
		fresh_confirm(&env->fresh, reply->asked_us - reply->age_us);
	store_watch_check_versions(delegation->store_watch, reply->config_version,
				   reply->list_version);
}

static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct delegation *delegation = ctx;
	g_autoptr(GVariant) keep = NULL;
	struct delegation_query ask;
	struct delegation_reply reply;
	struct store_watch_changes changes;
	bool known = true;

	if (type == DELEGATION_MSG_QUERY && delegation_decode_query(buf, len, &ask, &keep)) {
		delegation_answer(delegation, &ask);
	} else if (type == DELEGATION_MSG_REPLY &&
		   delegation_decode_reply(buf, len, &reply, &keep)) {
		delegation_on_reply(delegation, &reply);
	} else if (type == DELEGATION_MSG_CHANGES &&
		   delegation_decode_changes(buf, len, &changes)) {
		store_watch_apply_changes(delegation->store_watch, &changes);
		g_ptr_array_unref(changes.changes);
	} else {
		known = false;
	}
	if (known)
		return;
	metric_add(delegation->env->metric, METRIC_BUS_BAD, 1);
	log_event(LOG_BUS_BAD_FRAME, NULL);
}

static void delegation_on_changes(void *ctx, const struct store_watch_changes *changes)
{
	struct delegation *delegation = ctx;
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	GHashTableIter iter;
	const char *address;

	delegation_encode_changes(bytes, changes);
	g_hash_table_iter_init(&iter, delegation->followers);
	while (g_hash_table_iter_next(&iter, (gpointer *)&address, NULL))
		peer_exchange_send(delegation->peer_exchange, address, DELEGATION_MSG_CHANGES,
				   bytes);
}
