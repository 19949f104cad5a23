#include "delegation.h"

#include "delegation_message.h"

#include "flamingolatch/change_log.h"
#include "flamingolatch/delegate.h"

#include <string.h>

#define DELEGATION_TICK_MS		 50
#define DELEGATION_QUERY_INTERVAL_MAX_MS 600
/* A dependent is forgotten after about three missing queries. */
#define DELEGATION_DEPENDENT_TIMEOUT_MS 2500
/* Fractions of the time for which a confirmation of the configuration is valid. An instance whose
 * configuration is older than the first does not serve as a delegate; a delegate that works well
 * states about half of it. */
#define DELEGATION_MAX_AGE_FRACTION	   0.42
#define DELEGATION_QUERY_INTERVAL_FRACTION 0.17
/* A zone with this many instances has a delegate of its own; smaller ones share the region's. */
#define DELEGATION_ZONE_MIN_INSTANCES 16
/* By then the first instances of a group may probe the store after failures. */
#define DELEGATION_PROBE_RANK 2
/* Time for the delegate to pass on what it knows; then it is read from the store. An instance that
 * has nothing yet waits longer, as all others of its zone may be sent the same. */
#define DELEGATION_BEHIND_US	   (1500ULL * 1000)
#define DELEGATION_FIRST_BEHIND_US (5000ULL * 1000)
/* Dependents that answer a delegate's older configuration with theirs, in the mean. */
#define DELEGATION_RETURN_COUNT 3
/* Changes of the list that are kept for dependents that miss some of them. */
#define DELEGATION_LOG_MAX_COUNT 256
#define DELEGATION_LOG_MAX_BYTES (128ULL << 10)
/* A packed list is sent to all who ask for it in this time. Entries may change without a change of
 * the list's position. */
#define DELEGATION_PACKED_LIST_US (500ULL * 1000)
/* A dependent gets what it lacks once in this time, and a whole list once in the second one: it may
 * be on its way. */
#define DELEGATION_RESEND_INTERVAL_US (1000ULL * 1000)
#define DELEGATION_LIST_INTERVAL_US   (3000ULL * 1000)
/* A query may have crossed a change that was sent in this time. */
#define DELEGATION_CROSSING_US (200ULL * 1000)
/* The rows of the instances are read in this time after the start, or the store does not answer. */
#define DELEGATION_GROUP_TIMEOUT_US (2500ULL * 1000)

/* An instance that queries this one. */
struct delegation_dependent {
	struct store_position list; /* of its list, as its last query stated */
	uint64_t since_us;	    /* time of its first query */
	uint64_t queried_us;	    /* time of its last query */
	uint64_t resent_us;	    /* when it was last sent what it lacked; 0: never, or dropped */
};

struct delegation {
	struct env *env;
	struct store_watch *watch;
	struct peer_exchange *exchange;
	struct delegate *choice; /* NULL until the group is known */
	uv_timer_t tick;
	GHashTable *dependents; /* address to struct delegation_dependent */
	struct change_log *changes;
	GBytes *packed_list; /* message with the whole list; NULL before the first */
	struct store_position packed_position;
	uint64_t packed_us; /* when it was packed */
	uint64_t created_us;
	uint64_t config_behind_us; /* since when the delegate has had a newer configuration; 0:
				    * it has not */
	uint64_t list_behind_us;   /* the same for the instance list */
};

static const uint8_t delegation_types[] = { DELEGATION_MSG_QUERY,   DELEGATION_MSG_REPLY,
					    DELEGATION_MSG_CHANGES, DELEGATION_MSG_CONFIG,
					    DELEGATION_MSG_PEERS,   DELEGATION_MSG_EVACUATED };

static void delegation_on_tick(uv_timer_t *timer);
static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void delegation_on_list_changed(void *ctx, const struct store_watch_changes *changes);
static void delegation_on_config_changed(void *ctx);
static void delegation_on_evacuated_changed(void *ctx);
static void delegation_on_peers_read(void *ctx);
static void delegation_send_config(struct delegation *delegation, const char *address,
				   uint64_t known_version);

/* lifetime */

struct delegation *delegation_create(struct env *env, struct store_watch *watch,
				     struct peer_exchange *exchange)
{
	struct delegation *delegation = g_new0(struct delegation, 1);

	delegation->env = env;
	delegation->watch = watch;
	delegation->exchange = exchange;
	delegation->created_us = env_boot_us();
	delegation->dependents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	delegation->changes = change_log_create(DELEGATION_LOG_MAX_COUNT, DELEGATION_LOG_MAX_BYTES);
	for (uint32_t i = 0; i < G_N_ELEMENTS(delegation_types); i++)
		peer_exchange_set_message_cb(exchange, delegation_types[i], delegation_on_message,
					     delegation);
	peer_exchange_set_read_cb(exchange, delegation_on_peers_read, delegation);
	store_watch_set_changed(watch, delegation_on_list_changed, delegation_on_config_changed,
				delegation_on_evacuated_changed, delegation);
	uv_timer_init(env->loop, &delegation->tick);
	delegation->tick.data = delegation;
	uv_timer_start(&delegation->tick, delegation_on_tick, DELEGATION_TICK_MS,
		       DELEGATION_TICK_MS);
	return delegation;
}

static void delegation_on_closed(uv_handle_t *handle)
{
	struct delegation *delegation = handle->data;

	g_hash_table_destroy(delegation->dependents);
	change_log_destroy(delegation->changes);
	if (delegation->packed_list)
		g_bytes_unref(delegation->packed_list);
	delegate_destroy(delegation->choice);
	g_free(delegation);
}

void delegation_destroy(struct delegation *delegation)
{
	if (!delegation)
		return;
	for (uint32_t i = 0; i < G_N_ELEMENTS(delegation_types); i++)
		peer_exchange_set_message_cb(delegation->exchange, delegation_types[i], NULL, NULL);
	peer_exchange_set_read_cb(delegation->exchange, NULL, NULL);
	store_watch_set_changed(delegation->watch, NULL, NULL, NULL, NULL);
	uv_close((uv_handle_t *)&delegation->tick, delegation_on_closed);
}

/* queries */

const char *delegation_delegate(const struct delegation *delegation)
{
	return delegation->choice ? delegate_current(delegation->choice) : NULL;
}

/* helpers: messages */

/* Sends a message. @return false when it was dropped */
static bool delegation_send(struct delegation *delegation, const char *address,
			    enum delegation_message_type type, const GByteArray *bytes)
{
	metric_add(delegation->env->metric, METRIC_BUS_DELEGATION_BYTES, bytes->len);
	return peer_exchange_send(delegation->exchange, address, (uint8_t)type, bytes);
}

static void delegation_send_to_dependents(struct delegation *delegation,
					  enum delegation_message_type type,
					  const GByteArray *bytes)
{
	GHashTableIter iter;
	const char *address;

	g_hash_table_iter_init(&iter, delegation->dependents);
	while (g_hash_table_iter_next(&iter, (gpointer *)&address, NULL))
		delegation_send(delegation, address, type, bytes);
}

static uint64_t delegation_config_version(const struct delegation *delegation)
{
	const struct route_config *config = delegation->env->config;

	return config ? route_config_version(config) : 0;
}

/* Returns the evacuated zones that this instance knows; the array is borrowed. */
static struct delegation_evacuated delegation_evacuated(const struct delegation *delegation)
{
	return (struct delegation_evacuated){
		.position = store_watch_evacuated_position(delegation->watch),
		.zones = store_watch_evacuated(delegation->watch),
	};
}

/* helpers: finding a delegate */

static void delegation_send_query(struct delegation *delegation, const char *address,
				  uint64_t now_us)
{
	struct delegation_query query = {
		.address = peer_exchange_address(delegation->exchange),
		.query_sent_us = now_us,
		.config_version = delegation_config_version(delegation),
		.list = store_watch_list_position(delegation->watch),
		.list_digest = fleet_digest(delegation->env->fleet, env_now_us()),
	};
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	delegation_encode_query(bytes, &query);
	delegate_query_sent(delegation->choice, address,
			    delegation_send(delegation, address, DELEGATION_MSG_QUERY, bytes),
			    now_us);
}

/* Returns true for a dependent that has sent no query for too long. */
static gboolean delegation_is_expired(gpointer address, gpointer value, gpointer now_us)
{
	const struct delegation_dependent *dependent = value;

	(void)address;
	return *(const uint64_t *)now_us - dependent->queried_us >
	       DELEGATION_DEPENDENT_TIMEOUT_MS * 1000ULL;
}

static uint64_t delegation_query_interval_us(const struct delegation *delegation)
{
	return MIN(env_config_age_limit_us(delegation->env, DELEGATION_QUERY_INTERVAL_FRACTION),
		   DELEGATION_QUERY_INTERVAL_MAX_MS * 1000ULL);
}

/* Returns true when the group is known well enough to rank this instance in it. */
static bool delegation_group_is_known(const struct delegation *delegation, uint64_t now_us)
{
	return peer_exchange_has_read(delegation->exchange) ||
	       now_us - delegation->created_us > DELEGATION_GROUP_TIMEOUT_US;
}

/* Reads from the store what the delegate has had for too long without passing it on. */
static void delegation_check_behind(struct delegation *delegation, uint64_t now_us)
{
	uint64_t limit_us = store_watch_is_synced(delegation->watch) ? DELEGATION_BEHIND_US
								     : DELEGATION_FIRST_BEHIND_US;
	bool config =
		delegation->config_behind_us && now_us - delegation->config_behind_us > limit_us;
	bool list = delegation->list_behind_us && now_us - delegation->list_behind_us > limit_us;

	if (!config && !list)
		return;
	store_watch_read_now(delegation->watch, config, list);
	delegation->config_behind_us = config ? 0 : delegation->config_behind_us;
	delegation->list_behind_us = list ? 0 : delegation->list_behind_us;
}

static void delegation_on_tick(uv_timer_t *timer)
{
	struct delegation *delegation = timer->data;
	uint64_t now_us = env_boot_us();
	g_autoptr(GPtrArray) group = NULL;
	struct delegate_view view = {
		.query_interval_us = delegation_query_interval_us(delegation),
		.store_failing = store_watch_is_unreachable(delegation->watch),
		.synced = store_watch_is_synced(delegation->watch),
	};
	const char *address;

	g_hash_table_foreach_remove(delegation->dependents, delegation_is_expired, &now_us);
	store_watch_set_has_dependents(delegation->watch,
				       g_hash_table_size(delegation->dependents) > 0);
	if (!delegation->choice && !delegation_group_is_known(delegation, now_us))
		return;
	/* The delays by rank count from here: before, nobody could query. */
	if (!delegation->choice)
		delegation->choice = delegate_create(peer_exchange_address(delegation->exchange),
						     g_rand_int(delegation->env->rand), now_us);
	group = peer_exchange_group(delegation->exchange, false);
	if (group->len < DELEGATION_ZONE_MIN_INSTANCES) {
		g_ptr_array_unref(group);
		group = peer_exchange_group(delegation->exchange, true);
	}
	view.group = group;
	delegate_check(delegation->choice, now_us);
	address = delegate_next_query(delegation->choice, &view, now_us);
	if (address)
		delegation_send_query(delegation, address, now_us);
	store_watch_set_probing(delegation->watch, delegate_rank(delegation->choice, &view,
								 now_us) <= DELEGATION_PROBE_RANK);
	store_watch_set_watching(delegation->watch,
				 delegate_update_watching(delegation->choice, &view, now_us));
	peer_exchange_set_delegated(delegation->exchange,
				    delegate_current(delegation->choice) != NULL);
	delegation_check_behind(delegation, now_us);
}

/* Sends the configuration to a delegate that has an older one: it started after the store was
 * restored from a copy, and the operator's change is not written again yet. */
static void delegation_return_config(struct delegation *delegation,
				     const struct delegation_reply *reply)
{
	g_autoptr(GPtrArray) group = peer_exchange_group(delegation->exchange, true);
	int32_t group_size = (int32_t)group->len;

	if (g_rand_int_range(delegation->env->rand, 0, group_size) < DELEGATION_RETURN_COUNT)
		delegation_send_config(delegation, reply->address, reply->config_version);
}

static void delegation_on_reply(struct delegation *delegation, const struct delegation_reply *reply)
{
	uint64_t now_us = env_boot_us();
	uint64_t config_version = delegation_config_version(delegation);
	struct store_position unknown = { 0 };
	bool behind;

	/* Before the confirmation, which so covers the zones too. Whoever knows newer ones is
	 * right, also when its reply is late or it does not count as healthy. */
	store_watch_adopt_evacuated(delegation->watch, reply->evacuated.position,
				    reply->evacuated.zones);
	if (!delegation->choice ||
	    !delegate_on_reply(delegation->choice, reply->address, reply->query_sent_us,
			       reply->state, now_us) ||
	    reply->state != DELEGATE_HEALTHY)
		return;
	store_watch_confirm_zones(delegation->watch, reply->query_sent_us);
	behind = reply->config_version > config_version;
	if (!behind && config_version && reply->query_sent_us > reply->age_us)
		store_watch_confirm(delegation->watch, reply->query_sent_us - reply->age_us,
				    reply->config_version == config_version ? reply->store
									    : unknown);
	if (reply->config_version < config_version)
		delegation_return_config(delegation, reply);
	if (!behind)
		delegation->config_behind_us = 0;
	else if (!delegation->config_behind_us)
		delegation->config_behind_us = now_us;
	if (!store_position_is_after(reply->list, store_watch_list_position(delegation->watch)))
		delegation->list_behind_us = 0;
	else if (!delegation->list_behind_us)
		delegation->list_behind_us = now_us;
}

/* helpers: serving as a delegate */

/* Sends the configuration to an instance that has an older one. */
static void delegation_send_config(struct delegation *delegation, const char *address,
				   uint64_t known_version)
{
	const struct store_watch_config *config =
		store_watch_config_for(delegation->watch, known_version);
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	if (!config)
		return;
	delegation_encode_config(bytes, config);
	delegation_send(delegation, address, DELEGATION_MSG_CONFIG, bytes);
}

/* Packs the whole list if that was not done lately. @return NULL when memory is short */
static GBytes *delegation_pack_list(struct delegation *delegation, uint64_t now_us)
{
	struct store_position position = store_watch_list_position(delegation->watch);
	struct store_watch_changes *list;

	if (delegation->packed_list &&
	    !store_position_is_after(position, delegation->packed_position) &&
	    now_us - delegation->packed_us < DELEGATION_PACKED_LIST_US)
		return delegation->packed_list;
	if (delegation->packed_list)
		g_bytes_unref(delegation->packed_list);
	list = store_watch_list(delegation->watch);
	delegation->packed_list = delegation_pack_changes(list);
	delegation->packed_position = position;
	delegation->packed_us = now_us;
	store_watch_changes_free(list);
	return delegation->packed_list;
}

static bool delegation_send_bytes(struct delegation *delegation, const char *address,
				  enum delegation_message_type type, GBytes *bytes)
{
	gsize len;
	GByteArray message = { .data = (guint8 *)g_bytes_get_data(bytes, &len) };

	message.len = (guint)len;
	return delegation_send(delegation, address, type, &message);
}

/* Sends the whole list. @return false when it was dropped */
static bool delegation_send_list(struct delegation *delegation, const char *address,
				 uint64_t now_us)
{
	GBytes *packed = delegation_pack_list(delegation, now_us);

	if (!packed || !delegation_send_bytes(delegation, address, DELEGATION_MSG_CHANGES, packed))
		return false;
	metric_add(delegation->env->metric, METRIC_BUS_LISTS_SENT, 1);
	return true;
}

struct delegation_resend {
	struct delegation *delegation;
	const char *address;
	bool sent; /* none was dropped so far */
};

static void delegation_resend_change(void *ctx, GBytes *message)
{
	struct delegation_resend *resend = ctx;

	resend->sent = resend->sent && delegation_send_bytes(resend->delegation, resend->address,
							     DELEGATION_MSG_CHANGES, message);
}

/* Sends a dependent what its list lacks, unless that may be on its way. */
static void delegation_update_list(struct delegation *delegation, const char *address,
				   struct delegation_dependent *dependent)
{
	struct delegation_resend resend = { delegation, address, true };
	struct store_position newest = store_watch_list_position(delegation->watch);
	uint64_t first_us = change_log_first_us(delegation->changes, dependent->list, newest);
	uint64_t now_us = env_boot_us();

	if (dependent->resent_us &&
	    now_us - dependent->resent_us <
		    (first_us ? DELEGATION_RESEND_INTERVAL_US : DELEGATION_LIST_INTERVAL_US))
		return;
	if (first_us > dependent->since_us && now_us - first_us < DELEGATION_CROSSING_US)
		return;
	if (first_us)
		change_log_foreach_since(delegation->changes, dependent->list, newest,
					 delegation_resend_change, &resend);
	else
		resend.sent = delegation_send_list(delegation, address, now_us);
	/* Nothing is on its way when the connection to the dependent is not open yet. */
	dependent->resent_us = resend.sent ? now_us : 0;
}

/* Returns what this instance says of itself. @param age_us age of its configuration */
static enum delegate_state delegation_state(const struct delegation *delegation, uint64_t age_us)
{
	const struct env *env = delegation->env;

	if (planned_stop_has_begun(&env->stop))
		return DELEGATE_UNHEALTHY;
	if (store_watch_is_healthy(delegation->watch) &&
	    age_us < env_config_age_limit_us(env, DELEGATION_MAX_AGE_FRACTION))
		return DELEGATE_HEALTHY;
	/* Without the group it does not know yet whether it has to watch. */
	return !delegation->choice || store_watch_is_starting(delegation->watch)
		       ? DELEGATE_STARTING
		       : DELEGATE_UNHEALTHY;
}

static struct delegation_dependent *delegation_add_dependent(struct delegation *delegation,
							     const char *address, uint64_t now_us)
{
	struct delegation_dependent *dependent =
		g_hash_table_lookup(delegation->dependents, address);

	if (!dependent) {
		dependent = g_new0(struct delegation_dependent, 1);
		dependent->since_us = now_us;
		g_hash_table_insert(delegation->dependents, g_strdup(address), dependent);
	}
	return dependent;
}

static void delegation_on_query(struct delegation *delegation, const struct delegation_query *query)
{
	struct env *env = delegation->env;
	uint64_t now_us = env_boot_us();
	uint64_t age_us = freshness_age_us(&env->freshness, now_us);
	struct delegation_reply reply = {
		.address = peer_exchange_address(delegation->exchange),
		.query_sent_us = query->query_sent_us,
		.age_us = age_us,
		.config_version = delegation_config_version(delegation),
		.store = store_watch_config_position(delegation->watch),
		.list = store_watch_list_position(delegation->watch),
		.evacuated = delegation_evacuated(delegation),
		.state = delegation_state(delegation, age_us),
	};
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	struct delegation_dependent *dependent;
	bool differs;

	/* The sender counts as a dependent even when this instance is not healthy: with dependents
	 * it confirms the configuration more often and so becomes healthy. */
	dependent = delegation_add_dependent(delegation, query->address, now_us);
	dependent->queried_us = now_us;
	/* It started anew: what was on its way is lost. */
	if (store_position_is_after(dependent->list, query->list))
		dependent->resent_us = 0;
	dependent->list = query->list;
	delegation_encode_reply(bytes, &reply);
	delegation_send(delegation, query->address, DELEGATION_MSG_REPLY, bytes);
	if (reply.state != DELEGATE_HEALTHY) {
		/* The sender ranks this instance first, so it takes the delegate for lost. */
		if (delegation->choice)
			delegate_hurry(delegation->choice, now_us);
		return;
	}
	differs = store_watch_check_list(delegation->watch, query->address, query->list,
					 query->list_digest);
	if (query->config_version < reply.config_version)
		delegation_send_config(delegation, query->address, query->config_version);
	if (differs || store_position_is_after(reply.list, query->list))
		delegation_update_list(delegation, query->address, dependent);
}

static void delegation_on_list_changed(void *ctx, const struct store_watch_changes *changes)
{
	struct delegation *delegation = ctx;
	g_autoptr(GBytes) message = delegation_pack_changes(changes);
	GHashTableIter iter;
	const char *address;

	/* Memory is short. The log has a gap now, so the dependents get the whole list. */
	if (!message)
		return;
	g_hash_table_iter_init(&iter, delegation->dependents);
	while (g_hash_table_iter_next(&iter, (gpointer *)&address, NULL))
		delegation_send_bytes(delegation, address, DELEGATION_MSG_CHANGES, message);
	/* A time for which entries count as lapsed is wrong when it is stated again later. */
	if (changes->lapse_ms == 0)
		change_log_add(delegation->changes, changes->from, changes->to, message,
			       env_boot_us());
}

/* Sends a new configuration to the dependents, as a difference from the one before. A dependent
 * that has another one gets it whole after its next query. */
static void delegation_on_config_changed(void *ctx)
{
	struct delegation *delegation = ctx;
	const struct store_watch_config *config = store_watch_config_for(
		delegation->watch, store_watch_previous_version(delegation->watch));
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	if (!config || g_hash_table_size(delegation->dependents) == 0)
		return;
	delegation_encode_config(bytes, config);
	delegation_send_to_dependents(delegation, DELEGATION_MSG_CONFIG, bytes);
}

/* Passes on the evacuated zones. A dependent that does not get the message has them with the reply
 * to its next query. */
static void delegation_on_evacuated_changed(void *ctx)
{
	struct delegation *delegation = ctx;
	struct delegation_evacuated evacuated = delegation_evacuated(delegation);
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	delegation_encode_evacuated(bytes, &evacuated);
	delegation_send_to_dependents(delegation, DELEGATION_MSG_EVACUATED, bytes);
}

static void delegation_add_peer(void *ctx, const char *address, const char *instance,
				const char *zone, bool listed)
{
	struct delegation_peer peer = { address, instance, zone, listed };

	g_array_append_val((GArray *)ctx, peer);
}

/* Passes on the instances that were read from the store. */
static void delegation_on_peers_read(void *ctx)
{
	struct delegation *delegation = ctx;
	g_autoptr(GArray) peers = g_array_new(FALSE, FALSE, sizeof(struct delegation_peer));
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	peer_exchange_each_peer(delegation->exchange, delegation_add_peer, peers);
	delegation_encode_peers(bytes, peers);
	delegation_send_to_dependents(delegation, DELEGATION_MSG_PEERS, bytes);
}

/* helpers: receiving */

static bool delegation_apply_config(struct delegation *delegation, const void *buf, size_t len)
{
	struct store_watch_config config;
	bool applied;

	if (!delegation_decode_config(buf, len, &config))
		return false;
	applied = store_watch_apply_config(delegation->watch, &config);
	g_bytes_unref(config.packed);
	if (!applied)
		log_event(LOG_CONFIG_REJECTED, "source", "delegate", NULL);
	return true;
}

static bool delegation_apply_changes(struct delegation *delegation, const void *buf, size_t len)
{
	struct store_watch_changes changes;

	if (!delegation_unpack_changes(buf, len, &changes))
		return false;
	store_watch_apply_changes(delegation->watch, &changes);
	g_ptr_array_unref(changes.rows);
	return true;
}

static bool delegation_apply_evacuated(struct delegation *delegation, const void *buf, size_t len)
{
	struct delegation_evacuated evacuated;
	g_autoptr(GVariant) owner = NULL;

	if (!delegation_decode_evacuated(buf, len, &evacuated, &owner))
		return false;
	store_watch_adopt_evacuated(delegation->watch, evacuated.position, evacuated.zones);
	g_ptr_array_unref(evacuated.zones);
	return true;
}

static bool delegation_apply_peers(struct delegation *delegation, const void *buf, size_t len)
{
	g_autoptr(GVariant) owner = NULL;
	g_autoptr(GArray) peers = NULL;

	if (!delegation_decode_peers(buf, len, &peers, &owner))
		return false;
	for (guint i = 0; i < peers->len; i++) {
		const struct delegation_peer *peer =
			&g_array_index(peers, struct delegation_peer, i);

		peer_exchange_learn_peer(delegation->exchange, peer->address, peer->instance,
					 peer->zone);
		if (strcmp(peer->address, peer_exchange_address(delegation->exchange)) == 0)
			peer_exchange_note_own_row(delegation->exchange, peer->listed);
	}
	peer_exchange_note_read(delegation->exchange);
	return true;
}

static void delegation_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct delegation *delegation = ctx;
	g_autoptr(GVariant) owner = NULL;
	struct delegation_query query;
	struct delegation_reply reply;
	bool handled = false;

	switch (type) {
	case DELEGATION_MSG_QUERY:
		handled = delegation_decode_query(buf, len, &query, &owner);
		if (handled)
			delegation_on_query(delegation, &query);
		break;
	case DELEGATION_MSG_REPLY:
		handled = delegation_decode_reply(buf, len, &reply, &owner);
		if (handled) {
			delegation_on_reply(delegation, &reply);
			g_ptr_array_unref(reply.evacuated.zones);
		}
		break;
	case DELEGATION_MSG_CHANGES:
		handled = delegation_apply_changes(delegation, buf, len);
		break;
	case DELEGATION_MSG_CONFIG:
		handled = delegation_apply_config(delegation, buf, len);
		break;
	case DELEGATION_MSG_EVACUATED:
		handled = delegation_apply_evacuated(delegation, buf, len);
		break;
	case DELEGATION_MSG_PEERS:
		handled = delegation_apply_peers(delegation, buf, len);
		break;
	default:
		break;
	}
	if (handled)
		return;
	metric_add(delegation->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
	log_event(LOG_BUS_INVALID_MESSAGE, NULL);
}
