#include "stream_version.h"

#include <stdio.h>
#include <string.h>

/* Types of the messages on the bus: a version is registered, and a question for those that are. */
#define STREAM_VERSION_MSG_NOTICE   14
#define STREAM_VERSION_MSG_QUESTION 15
/* Service, version, and the era of the store. */
#define STREAM_VERSION_NOTICE_TYPE "(sst)"
/* Bus address of the instance that asks. */
#define STREAM_VERSION_QUESTION_TYPE "(s)"
/* While the store does not answer, a few peers are asked for registered versions this often. */
#define STREAM_VERSION_QUESTION_US    (500ULL * 1000)
#define STREAM_VERSION_QUESTION_PEERS 3
/* Calls a second of all instances together. The store takes 200 transactions a second for one part
 * of a table, and several times as many reads. */
#define STREAM_VERSION_WRITES_PER_S 120
#define STREAM_VERSION_READS_PER_S  400
/* Of several instances that see a new version, the first to register it tells the others. */
#define STREAM_VERSION_REGISTER_SPREAD_US (10ULL * 1000)
/* After this time without a first read of the table, versions are registered without it. */
#define STREAM_VERSION_FIRST_READ_US (500ULL * 1000)
/* A version that could not be registered for this long is logged. */
#define STREAM_VERSION_REGISTER_MAX_US (2000ULL * 1000)
/* How long a caller waits for the store, and when the last call to it failed. */
#define STREAM_VERSION_QUERY_MAX_US    (2500ULL * 1000)
#define STREAM_VERSION_QUERY_FAILED_US (1200ULL * 1000)
/* A read without an answer is sent again after this time while questions wait for it. */
#define STREAM_VERSION_READ_MAX_US  (1000ULL * 1000)
#define STREAM_VERSION_SEE_US	    (5000ULL * 1000)
#define STREAM_VERSION_RETRY_MIN_US (100ULL * 1000)
#define STREAM_VERSION_RETRY_MAX_US (2000ULL * 1000)
/* How often the table is read while several versions are known, to learn which are left. */
#define STREAM_VERSION_REREAD_US (240ULL * 1000 * 1000)
/* For this long after a restoration, the registry of the store may lack versions. */
#define STREAM_VERSION_RESTORED_US (5000ULL * 1000)
/* Rows in one call. */
#define STREAM_VERSION_MAX_ROWS 40

/* What the open write does. */
enum stream_version_write {
	STREAM_VERSION_WRITE_NONE,
	STREAM_VERSION_WRITE_VERSIONS, /* registers versions */
	STREAM_VERSION_WRITE_STREAMS,  /* writes the row of this process */
	STREAM_VERSION_WRITE_REMOVALS, /* removes rows that are out of date */
};

/* A version, as it is in the store. */
struct stream_version_name {
	char *service;
	char *version;
};

/* A row that is out of date. */
struct stream_version_removal {
	char *key;
	uint64_t row_version;
};

struct stream_version_query {
	struct stream_version *versions;
	GList link;
	char *service;
	char *id; /* NULL when the caller does not name it */
	uint64_t asked_us;
	stream_version_cb cb;
	void *ctx;
};

struct stream_version {
	struct env *env;
	struct peer_exchange *exchange;
	struct stream_record *record;
	char *process_key;
	uint64_t created_us;
	GHashTable *services;	 /* names of services of resumable routes, once configured */
	uint64_t config_version; /* that they were last taken from */
	GQueue queries;		 /* struct stream_version_query */
	GPtrArray *names;	 /* struct stream_version_name, in the open write */
	GArray *removals;	 /* struct stream_version_removal, due */
	uint64_t question_us;	 /* when peers were last asked */
	uint64_t ticked_us;	 /* time of the last tick */
	uint64_t seen_us;	 /* when the listed versions were last noted */
	uint64_t restored_us;	 /* end of the time after a restoration; 0: none */
	uint64_t era;		 /* of the store, by its last answer */
	struct {
		struct store_call *call;
		uint64_t sent_us;
		uint64_t due_us;
		uint32_t failures; /* in a row */
		bool wanted;	   /* also without a question */
		bool done;	   /* the table was read at least once */
	} read;
	struct {
		struct store_call *call;
		enum stream_version_write kind;
		uint64_t due_us;
		uint64_t
			register_us; /* when new versions are to be registered; 0: there are none */
		uint32_t failures;   /* in a row */
		uint64_t row_version; /* of the row of this process; 0: absent */
	} write;
};

static void stream_version_check_calls(struct stream_version *versions, uint64_t now_us);
static void stream_version_on_notice(void *ctx, uint8_t type, const void *buf, size_t len);
static void stream_version_on_question(void *ctx, uint8_t type, const void *buf, size_t len);

/* lifetime */

static void stream_version_name_free(gpointer data)
{
	struct stream_version_name *name = data;

	g_free(name->service);
	g_free(name->version);
	g_free(name);
}

static void stream_version_clear_removal(gpointer data)
{
	g_free(((struct stream_version_removal *)data)->key);
}

struct stream_version *stream_version_create(struct env *env, struct peer_exchange *exchange)
{
	struct stream_version *versions = g_new0(struct stream_version, 1);

	versions->env = env;
	versions->exchange = exchange;
	versions->record = stream_record_create();
	versions->process_key = stream_record_process_key(env->settings->instance,
							  (uint64_t)g_get_real_time() / 1000);
	versions->created_us = env_now_us();
	versions->names = g_ptr_array_new_with_free_func(stream_version_name_free);
	versions->removals = g_array_new(FALSE, FALSE, sizeof(struct stream_version_removal));
	g_array_set_clear_func(versions->removals, stream_version_clear_removal);
	versions->read.wanted = true;
	versions->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&versions->queries);
	peer_exchange_set_message_cb(exchange, STREAM_VERSION_MSG_NOTICE, stream_version_on_notice,
				     versions);
	peer_exchange_set_message_cb(exchange, STREAM_VERSION_MSG_QUESTION,
				     stream_version_on_question, versions);
	return versions;
}

void stream_version_destroy(struct stream_version *versions)
{
	const struct store_client *client;

	if (!versions)
		return;
	client = versions->env->store_client;
	if (versions->read.call)
		client->ops->cancel(versions->read.call);
	if (versions->write.call)
		client->ops->cancel(versions->write.call);
	peer_exchange_set_message_cb(versions->exchange, STREAM_VERSION_MSG_NOTICE, NULL, NULL);
	peer_exchange_set_message_cb(versions->exchange, STREAM_VERSION_MSG_QUESTION, NULL, NULL);
	g_hash_table_destroy(versions->services);
	stream_record_destroy(versions->record);
	g_ptr_array_unref(versions->names);
	g_array_unref(versions->removals);
	g_free(versions->process_key);
	g_free(versions);
}

/* helpers */

/* Returns the time from one call of this instance to the next, in us. */
static uint64_t stream_version_pace_us(const struct stream_version *versions, uint32_t calls_per_s)
{
	return versions->env->live_instances * 1000000ULL / calls_per_s;
}

/* Returns the delay before a call that failed is repeated, in us. */
static uint64_t stream_version_retry_us(const struct stream_version *versions, uint32_t failures)
{
	uint64_t delay_us =
		MIN(STREAM_VERSION_RETRY_MIN_US << MIN(failures, 8), STREAM_VERSION_RETRY_MAX_US);

	return delay_us / 2 +
	       (uint64_t)g_rand_int_range(versions->env->rand, 0, (gint32)(delay_us / 2));
}

/* Tells whether this instance does once in a while what any instance can do. */
static bool stream_version_takes_turn(const struct stream_version *versions)
{
	return (uint32_t)g_rand_int_range(versions->env->rand, 0,
					  (gint32)versions->env->live_instances) == 0;
}

static void stream_version_log_registered(const char *service, const char *version,
					  const char *source)
{
	log_event(LOG_VERSION_REGISTERED, "service", service, "version", version, "source", source,
		  NULL);
}

/* commands: what is listed */

void stream_version_on_upstream(struct stream_version *versions, const struct fleet_upstream *up)
{
	uint64_t now_us = env_now_us();

	if (!versions || fleet_upstream_state(up) > FLEET_UPSTREAM_LEAVING ||
	    !g_hash_table_contains(versions->services, fleet_upstream_service(up)))
		return;
	if (stream_record_see(versions->record, fleet_upstream_service(up),
			      fleet_upstream_software_version(up), now_us) &&
	    !versions->write.register_us) {
		uint64_t spread_us =
			versions->env->live_instances * STREAM_VERSION_REGISTER_SPREAD_US;

		versions->write.register_us =
			now_us +
			(uint64_t)g_rand_int_range(versions->env->rand, 0, (gint32)spread_us);
	}
}

static void stream_version_see(void *ctx, struct fleet_upstream *up)
{
	stream_version_on_upstream(ctx, up);
}

static void stream_version_add_service(void *ctx, const char *service)
{
	g_hash_table_add(ctx, g_strdup(service));
}

/* Notes the services of a new configuration. Those of earlier ones are kept: streams that began
 * there may be resumed. */
static void stream_version_update_services(struct stream_version *versions)
{
	const struct route_config *config = versions->env->config;

	if (!config || route_config_version(config) == versions->config_version)
		return;
	versions->config_version = route_config_version(config);
	route_config_foreach_resumable(config, stream_version_add_service, versions->services);
}

void stream_version_on_config(struct stream_version *versions)
{
	if (!versions)
		return;
	versions->seen_us = env_now_us();
	stream_version_update_services(versions);
	fleet_foreach(versions->env->fleet, stream_version_see, versions);
}

void stream_version_on_restored(struct stream_version *versions)
{
	uint64_t now_us = env_now_us();

	stream_record_forget_registry(versions->record, now_us);
	stream_record_set_dirty(versions->record);
	versions->restored_us = now_us + STREAM_VERSION_RESTORED_US;
	versions->write.register_us = now_us;
	versions->write.row_version = 0;
	versions->read.wanted = true;
}

bool stream_version_allows(struct stream_version *versions, const struct fleet_upstream *up)
{
	const char *service = fleet_upstream_service(up);
	const char *version = fleet_upstream_software_version(up);

	/* A selection asks for each upstream of a service, so the clock is not read here. */
	return stream_record_is_registered(versions->record, service, version, versions->ticked_us);
}

/* commands: streams */

void stream_version_begin(struct stream_version *versions, const char *service, const char *id,
			  const char *version, uint64_t deadline_us)
{
	stream_record_begin(versions->record, service, id, version, deadline_us);
	stream_version_check_calls(versions, env_now_us());
}

void stream_version_end(struct stream_version *versions, const char *id)
{
	stream_record_end(versions->record, id, env_now_us());
}

bool stream_version_find(const struct stream_version *versions, const char *id,
			 struct stream_origin *origin)
{
	return stream_record_find(versions->record, id, origin);
}

struct stream_version_query *stream_version_ask(struct stream_version *versions,
						const char *service, const char *id,
						stream_version_cb cb, void *ctx)
{
	struct stream_version_query *query = g_new0(struct stream_version_query, 1);

	query->versions = versions;
	query->link.data = query;
	query->service = g_strdup(service);
	query->id = g_strdup(id);
	query->asked_us = env_now_us();
	query->cb = cb;
	query->ctx = ctx;
	g_queue_push_tail_link(&versions->queries, &query->link);
	metric_add(versions->env->metric, METRIC_STREAM_LOOKUPS, 1);
	stream_version_check_calls(versions, query->asked_us);
	return query;
}

static void stream_version_query_free(struct stream_version_query *query)
{
	g_free(query->service);
	g_free(query->id);
	g_free(query);
}

void stream_version_cancel(struct stream_version_query *query)
{
	g_queue_unlink(&query->versions->queries, &query->link);
	stream_version_query_free(query);
}

/* Answers a question and frees it. */
static void stream_version_reply(struct stream_version_query *query,
				 const struct stream_origin *origin,
				 enum stream_version_source source, uint64_t age_us)
{
	stream_version_cb cb = query->cb;
	void *ctx = query->ctx;

	/* The origin may refer to the service of the question. */
	g_queue_unlink(&query->versions->queries, &query->link);
	cb(ctx, origin, source, age_us);
	stream_version_query_free(query);
}

/* Notes the era of an answer. In the first of a later one, what was registered since the copy is
 * missing. */
static void stream_version_note_era(struct stream_version *versions, uint64_t era)
{
	if (versions->read.done && era > versions->era)
		stream_version_on_restored(versions);
	versions->era = era;
}

/* helpers: reads */

static void stream_version_answer(struct stream_version_query *query,
				  const struct stream_lookup *lookup, uint64_t sent_us,
				  uint64_t now_us)
{
	static const enum stream_version_source sources[STREAM_LOOKUP_RESULT_COUNT] = {
		[STREAM_LOOKUP_RECORDED] = STREAM_VERSION_RECORD,
		[STREAM_LOOKUP_SOLE] = STREAM_VERSION_SOLE,
		[STREAM_LOOKUP_UNKNOWN] = STREAM_VERSION_UNKNOWN,
	};
	struct stream_version *versions = query->versions;
	struct stream_origin origin;
	enum stream_lookup_result result =
		stream_lookup_result(lookup, query->service, query->id, &origin);

	/* Another version that is listed here may not be in the registry yet. */
	if (result == STREAM_LOOKUP_SOLE &&
	    (now_us < versions->restored_us ||
	     stream_record_is_needed(versions->record, query->service)))
		result = STREAM_LOOKUP_UNKNOWN;
	stream_version_reply(query, result == STREAM_LOOKUP_UNKNOWN ? NULL : &origin,
			     sources[result], now_us - sent_us);
}

/* Answers the questions that were asked before the read was sent. */
static void stream_version_answer_all(struct stream_version *versions,
				      const struct stream_lookup *lookup, uint64_t sent_us,
				      uint64_t now_us)
{
	GList *next;

	for (GList *item = versions->queries.head; item; item = next) {
		struct stream_version_query *query = item->data;

		next = item->next;
		/* What was read before the request arrived may be older than its stream. */
		if (query->asked_us <= sent_us)
			stream_version_answer(query, lookup, sent_us, now_us);
	}
}

/* Plans the removal of a row that is out of date. */
static void stream_version_plan_removal(struct stream_version *versions,
					const struct store_change *change)
{
	struct stream_version_removal removal = { .key = g_strdup(change->id),
						  .row_version = change->row_version };

	g_array_append_val(versions->removals, removal);
}

/* Learns from a row of the table. */
static void stream_version_read_row(struct stream_version *versions,
				    const struct store_change *change, uint64_t now_us)
{
	g_autofree char *service = NULL;
	g_autofree char *version = NULL;

	if (strcmp(change->id, versions->process_key) == 0) {
		versions->write.row_version = change->row_version;
	} else if (stream_record_decode_version(change->id, change->text, &service, &version)) {
		stream_record_read_version(versions->record, service, version, change->row_version,
					   now_us);
		if (stream_record_is_unlisted(versions->record, service, version, now_us) &&
		    env_keys_fresh(versions->env) && stream_version_takes_turn(versions))
			stream_version_plan_removal(versions, change);
	} else if (stream_record_is_expired(change->id, change->text,
					    (uint64_t)g_get_real_time() / 1000) &&
		   stream_version_takes_turn(versions)) {
		stream_version_plan_removal(versions, change);
	}
}

static void stream_version_on_table(void *arg, const struct store_answer *answer)
{
	struct stream_version *versions = arg;
	uint64_t sent_us = versions->read.sent_us;
	uint64_t now_us = env_now_us();
	struct stream_lookup *lookup;

	versions->read.call = NULL;
	metric_add(versions->env->metric, METRIC_STORE_BYTES_RECEIVED, answer->received_bytes);
	if (answer->result != STORE_OK) {
		versions->read.due_us =
			now_us + stream_version_retry_us(versions, versions->read.failures++);
		versions->read.wanted |= !versions->read.done;
		return;
	}
	versions->read.failures = 0;
	stream_version_note_era(versions, answer->position.era);
	versions->read.done = true;
	g_array_set_size(versions->removals, 0);
	lookup = stream_lookup_create();
	for (GList *item = versions->queries.head; item; item = item->next) {
		const struct stream_version_query *query = item->data;

		stream_lookup_add(lookup, query->id);
	}
	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];

		if (change->removed || !change->text)
			continue;
		stream_lookup_read(lookup, change->id, change->text);
		stream_version_read_row(versions, change, now_us);
	}
	stream_record_end_read(versions->record, sent_us);
	stream_version_answer_all(versions, lookup, sent_us, now_us);
	stream_lookup_destroy(lookup);
}

static void stream_version_send_read(struct stream_version *versions, uint64_t now_us)
{
	const struct store_client *client = versions->env->store_client;

	versions->read.wanted = false;
	versions->read.sent_us = now_us;
	versions->read.due_us =
		now_us + stream_version_pace_us(versions, STREAM_VERSION_READS_PER_S);
	metric_add(versions->env->metric, METRIC_TABLE_READS, 1);
	metric_add(versions->env->metric, METRIC_STORE_STREAM_READS, 1);
	versions->read.call = client->ops->read(client->ctx, STORE_TABLE_STREAMS,
						stream_version_on_table, versions);
}

/* helpers: writes */

/* Tells a peer, or all of them, that a version is registered, so that they need not do it.
 * @param address NULL for all */
static void stream_version_notify(struct stream_version *versions, const char *address,
				  const char *service, const char *version)
{
	g_autoptr(GVariant) root = g_variant_ref_sink(
		g_variant_new(STREAM_VERSION_NOTICE_TYPE, service, version, versions->era));
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	g_byte_array_append(bytes, g_variant_get_data(root), (guint)g_variant_get_size(root));
	if (address)
		peer_exchange_send(versions->exchange, address, STREAM_VERSION_MSG_NOTICE, bytes);
	else
		peer_exchange_send_to_all(versions->exchange, STREAM_VERSION_MSG_NOTICE, bytes,
					  false);
}

static void stream_version_on_notice(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct stream_version *versions = ctx;
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	g_autoptr(GVariant) root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(STREAM_VERSION_NOTICE_TYPE), bytes, FALSE));
	const char *service;
	const char *version;
	guint64 era;

	(void)type;
	if (!g_variant_is_normal_form(root)) {
		metric_add(versions->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		return;
	}
	g_variant_get(root, "(&s&st)", &service, &version, &era);
	/* What was registered before a restoration may be lost. */
	if (era < versions->era ||
	    (era == versions->era && env_now_us() < versions->restored_us && versions->read.wanted))
		return;
	stream_record_set_registered(versions->record, service, version, env_now_us());
	stream_version_log_registered(service, version, "peer");
}

static void stream_version_on_versions_written(struct stream_version *versions)
{
	for (guint i = 0; i < versions->names->len; i++) {
		const struct stream_version_name *name = versions->names->pdata[i];

		stream_record_set_registered(versions->record, name->service, name->version,
					     env_now_us());
		stream_version_log_registered(name->service, name->version, "store");
		stream_version_notify(versions, NULL, name->service, name->version);
	}
}

/* A peer that asked for the registered versions. */
struct stream_version_asker {
	struct stream_version *versions;
	const char *address;
};

static void stream_version_notify_asker(void *ctx, const char *service, const char *version)
{
	const struct stream_version_asker *asker = ctx;

	stream_version_notify(asker->versions, asker->address, service, version);
}

static void stream_version_on_question(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct stream_version *versions = ctx;
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	g_autoptr(GVariant) root = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(STREAM_VERSION_QUESTION_TYPE), bytes, FALSE));
	struct stream_version_asker asker = { .versions = versions };

	(void)type;
	if (!g_variant_is_normal_form(root)) {
		metric_add(versions->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
		return;
	}
	g_variant_get(root, "(&s)", &asker.address);
	stream_record_each_registered(versions->record, env_now_us(), stream_version_notify_asker,
				      &asker);
}

static void stream_version_log_waiting(void *ctx, const char *service, const char *version)
{
	struct stream_version *versions = ctx;
	uint64_t now_us = env_now_us();
	uint64_t since_us =
		stream_record_unregistered_since_us(versions->record, service, version, now_us);
	g_autofree char *waited = NULL;

	if (!since_us || now_us < since_us + STREAM_VERSION_REGISTER_MAX_US)
		return;
	waited = g_strdup_printf("%" G_GUINT64_FORMAT, (now_us - since_us) / 1000);
	log_event(LOG_VERSION_UNREGISTERED, "service", service, "version", version, "waited_ms",
		  waited, NULL);
}

/* Asks a few peers for registered versions while the store does not answer. */
static void stream_version_check_question(struct stream_version *versions, uint64_t now_us)
{
	g_autoptr(GVariant) root = NULL;
	g_autoptr(GByteArray) bytes = NULL;

	if (!versions->write.register_us ||
	    versions->write.failures + versions->read.failures == 0 ||
	    now_us < versions->question_us + STREAM_VERSION_QUESTION_US)
		return;
	versions->question_us = now_us;
	root = g_variant_ref_sink(g_variant_new(STREAM_VERSION_QUESTION_TYPE,
						peer_exchange_address(versions->exchange)));
	bytes = g_byte_array_new();
	g_byte_array_append(bytes, g_variant_get_data(root), (guint)g_variant_get_size(root));
	peer_exchange_send_to_some(versions->exchange, STREAM_VERSION_MSG_QUESTION, bytes,
				   STREAM_VERSION_QUESTION_PEERS);
}

/* Notes the version of the row of this process that the store has. */
static void stream_version_note_conflict(struct stream_version *versions,
					 const struct store_answer *answer)
{
	versions->write.row_version = 0;
	for (guint i = 0; i < answer->changes->len; i++) {
		const struct store_change *change = answer->changes->pdata[i];

		if (!change->removed && g_strcmp0(change->id, versions->process_key) == 0)
			versions->write.row_version = change->row_version;
	}
}

static void stream_version_on_written(void *arg, const struct store_answer *answer)
{
	struct stream_version *versions = arg;
	enum stream_version_write kind = versions->write.kind;
	uint64_t now_us = env_now_us();

	versions->write.call = NULL;
	versions->write.kind = STREAM_VERSION_WRITE_NONE;
	if (answer->result == STORE_OK) {
		versions->write.failures = 0;
		stream_version_note_era(versions, answer->position.era);
		if (kind == STREAM_VERSION_WRITE_VERSIONS)
			stream_version_on_versions_written(versions);
		else if (kind == STREAM_VERSION_WRITE_STREAMS)
			versions->write.row_version = answer->position.version;
		return;
	}
	/* What was not removed is found again by the next read. */
	if (kind == STREAM_VERSION_WRITE_REMOVALS)
		return;
	if (kind == STREAM_VERSION_WRITE_STREAMS) {
		stream_record_set_dirty(versions->record);
		if (answer->result == STORE_CONFLICT) {
			stream_version_note_conflict(versions, answer);
			return;
		}
	} else {
		versions->write.register_us = now_us;
	}
	metric_add(versions->env->metric, METRIC_TABLE_ERRORS, 1);
	versions->write.due_us =
		now_us + stream_version_retry_us(versions, versions->write.failures++);
	if (versions->write.failures == 1)
		log_event(LOG_STREAM_RECORD_FAILED, "kind",
			  kind == STREAM_VERSION_WRITE_STREAMS ? "streams" : "versions", NULL);
}

static void stream_version_commit(struct stream_version *versions, enum stream_version_write kind,
				  const struct store_write *writes, uint32_t count, uint64_t now_us)
{
	const struct store_client *client = versions->env->store_client;

	versions->write.kind = kind;
	versions->write.due_us =
		now_us + stream_version_pace_us(versions, STREAM_VERSION_WRITES_PER_S);
	metric_add(versions->env->metric, METRIC_TABLE_WRITES, 1);
	metric_add(versions->env->metric, METRIC_STORE_STREAM_WRITES, 1);
	versions->write.call = client->ops->commit(client->ctx, STORE_TABLE_STREAMS, "", writes,
						   count, stream_version_on_written, versions);
}

static void stream_version_add_name(void *ctx, const char *service, const char *version)
{
	struct stream_version *versions = ctx;
	struct stream_version_name *name;

	if (versions->names->len >= STREAM_VERSION_MAX_ROWS)
		return;
	name = g_new0(struct stream_version_name, 1);
	name->service = g_strdup(service);
	name->version = g_strdup(version);
	g_ptr_array_add(versions->names, name);
}

/* Registers the listed versions that are not. */
static void stream_version_write_versions(struct stream_version *versions, uint64_t now_us)
{
	struct store_write writes[STREAM_VERSION_MAX_ROWS] = { 0 };
	g_autoptr(GPtrArray) texts = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_set_size(versions->names, 0);
	stream_record_each_unregistered(versions->record, now_us, stream_version_add_name,
					versions);
	versions->write.register_us = 0;
	if (versions->names->len == 0)
		return;
	for (guint i = 0; i < versions->names->len; i++) {
		const struct stream_version_name *name = versions->names->pdata[i];
		char *key = stream_record_version_key(name->service, name->version);
		char *text = stream_record_version_text(name->service, name->version);

		g_ptr_array_add(texts, key);
		g_ptr_array_add(texts, text);
		writes[i].id = key;
		writes[i].text = text;
	}
	stream_version_commit(versions, STREAM_VERSION_WRITE_VERSIONS, writes, versions->names->len,
			      now_us);
}

/* Writes the row of this process. A write that was given up may still take effect, so each depends
 * on the row that it replaces. */
static void stream_version_write_streams(struct stream_version *versions, uint64_t now_us)
{
	g_autofree char *text =
		stream_record_encode(versions->record, now_us, (uint64_t)g_get_real_time() / 1000);
	struct store_write write = { .id = versions->process_key,
				     .text = text,
				     .conditional = true,
				     .if_version = versions->write.row_version };

	stream_version_commit(versions, STREAM_VERSION_WRITE_STREAMS, &write, 1, now_us);
}

static void stream_version_write_removals(struct stream_version *versions, uint64_t now_us)
{
	struct store_write writes[STREAM_VERSION_MAX_ROWS] = { 0 };
	uint32_t count = MIN(versions->removals->len, STREAM_VERSION_MAX_ROWS);

	for (uint32_t i = 0; i < count; i++) {
		const struct stream_version_removal *removal =
			&g_array_index(versions->removals, struct stream_version_removal, i);

		writes[i] = (struct store_write){ .id = removal->key,
						  .conditional = true,
						  .if_version = removal->row_version };
	}
	stream_version_commit(versions, STREAM_VERSION_WRITE_REMOVALS, writes, count, now_us);
	g_array_remove_range(versions->removals, 0, count);
}

/* Sends the next write that is due. */
static void stream_version_check_writes(struct stream_version *versions, uint64_t now_us)
{
	bool may_register =
		versions->read.done || now_us - versions->created_us > STREAM_VERSION_FIRST_READ_US;

	if (versions->write.call || now_us < versions->write.due_us)
		return;
	if (versions->write.register_us && now_us >= versions->write.register_us && may_register)
		stream_version_write_versions(versions, now_us);
	if (versions->write.call)
		return;
	if (stream_record_is_dirty(versions->record))
		stream_version_write_streams(versions, now_us);
	else if (versions->removals->len > 0)
		stream_version_write_removals(versions, now_us);
}

/* helpers: timers */

static void stream_version_check_queries(struct stream_version *versions, uint64_t now_us)
{
	uint64_t limit_us = versions->read.failures > 0 ? STREAM_VERSION_QUERY_FAILED_US
							: STREAM_VERSION_QUERY_MAX_US;
	GList *next;

	for (GList *item = versions->queries.head; item; item = next) {
		struct stream_version_query *query = item->data;

		next = item->next;
		if (now_us - query->asked_us > limit_us)
			stream_version_reply(query, NULL, STREAM_VERSION_NO_STORE, 0);
	}
}

/* Gives up a read without an answer while questions wait. */
static void stream_version_check_read(struct stream_version *versions, uint64_t now_us)
{
	if (!versions->read.call || versions->queries.length == 0 ||
	    now_us - versions->read.sent_us < STREAM_VERSION_READ_MAX_US)
		return;
	versions->env->store_client->ops->cancel(versions->read.call);
	versions->read.call = NULL;
	versions->read.failures++;
	versions->read.wanted |= !versions->read.done;
}

/* Sends the calls that are due. */
static void stream_version_check_calls(struct stream_version *versions, uint64_t now_us)
{
	if (!versions->read.call && now_us >= versions->read.due_us &&
	    (versions->read.wanted || versions->queries.length > 0))
		stream_version_send_read(versions, now_us);
	stream_version_check_writes(versions, now_us);
}

/* Notes the listed versions, unless the list may be long out of date. */
static void stream_version_see_listed(struct stream_version *versions, uint64_t now_us)
{
	versions->seen_us = now_us;
	if (freshness_age_us(&versions->env->freshness, env_boot_us()) < STREAM_RECORD_RELY_US)
		stream_version_on_config(versions);
}

void stream_version_tick(struct stream_version *versions)
{
	uint64_t now_us = env_now_us();

	versions->ticked_us = now_us;
	if (now_us - versions->seen_us > STREAM_VERSION_SEE_US) {
		stream_version_see_listed(versions, now_us);
		stream_record_tick(versions->record, now_us);
		stream_record_each_unregistered(versions->record, now_us,
						stream_version_log_waiting, versions);
		versions->read.wanted |= stream_record_has_several(versions->record) &&
					 now_us - versions->read.sent_us > STREAM_VERSION_REREAD_US;
	}
	stream_version_check_queries(versions, now_us);
	stream_version_check_question(versions, now_us);
	stream_version_check_read(versions, now_us);
	stream_version_check_calls(versions, now_us);
}

/* queries */

const char *stream_version_source_name(enum stream_version_source source)
{
	static const char *const names[STREAM_VERSION_SOURCE_COUNT] = { "own", "record",
									"sole-version", "unknown",
									"no-store" };

	return names[source];
}

json_t *stream_version_json(const struct stream_version *versions)
{
	if (!versions)
		return json_null();
	return json_pack("{s:i, s:b, s:b, s:i}", "streams",
			 (int)stream_record_count(versions->record), "several_versions",
			 stream_record_has_several(versions->record), "read", versions->read.done,
			 "questions", (int)versions->queries.length);
}
