#include "flamingolatch/stream_record.h"

#include <string.h>
#include <xxhash.h>

#define STREAM_RECORD_VERSION_PREFIX "version/"
#define STREAM_RECORD_PROCESS_PREFIX "streams/"
/* Stands for an empty name, which escaping leaves out of other names. */
#define STREAM_RECORD_EMPTY "!"
/* The clocks of two machines differ by less. */
#define STREAM_RECORD_CLOCK_MARGIN_MS 60000

/* A version of a service. */
struct stream_record_version {
	GRefString *name;
	uint64_t row_version;	/* of its row, as it was last read */
	uint64_t row_us;	/* when a row of this row version was first read */
	uint64_t read_us;	/* when its row was last read; 0: never */
	uint64_t seen_us;	/* when it was last listed; 0: never */
	uint64_t registered_us; /* when its row was last written; 0: it is not known to exist */
	uint64_t waiting_us;	/* since when it is listed without a row */
};

struct stream_record_service {
	char *name;
	GPtrArray *versions; /* struct stream_record_version */
	uint32_t stream_count;
	bool dirty;
};

struct stream_record_stream {
	GList link; /* in the order in which the streams began */
	uint64_t key;
	struct stream_record_service *service;
	GRefString *version;
	uint64_t expires_us;
	bool contradicted; /* streams of one id began at different versions */
};

struct stream_record {
	GHashTable *services; /* name to struct stream_record_service */
	GHashTable *streams;  /* key to struct stream_record_stream */
	GQueue order;	      /* struct stream_record_stream */
	bool complete;	      /* all registered versions are known */
};

/* lifetime */

static void stream_record_version_free(gpointer data)
{
	struct stream_record_version *version = data;

	g_ref_string_release(version->name);
	g_free(version);
}

static void stream_record_service_free(gpointer data)
{
	struct stream_record_service *service = data;

	g_ptr_array_unref(service->versions);
	g_free(service->name);
	g_free(service);
}

struct stream_record *stream_record_create(void)
{
	struct stream_record *record = g_new0(struct stream_record, 1);

	record->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stream_record_service_free);
	record->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&record->order);
	return record;
}

static void stream_record_drop(struct stream_record *record, struct stream_record_stream *stream)
{
	g_hash_table_remove(record->streams, &stream->key);
	g_queue_unlink(&record->order, &stream->link);
	stream->service->stream_count--;
	g_ref_string_release(stream->version);
	g_free(stream);
}

void stream_record_destroy(struct stream_record *record)
{
	if (!record)
		return;
	while (record->order.head)
		stream_record_drop(record, record->order.head->data);
	g_hash_table_destroy(record->streams);
	g_hash_table_destroy(record->services);
	g_free(record);
}

/* helpers */

static uint64_t stream_record_hash(const char *text)
{
	return XXH3_64bits(text, strlen(text));
}

static struct stream_record_service *stream_record_find_service(const struct stream_record *record,
								const char *name)
{
	return g_hash_table_lookup(record->services, name);
}

static struct stream_record_service *stream_record_ensure_service(struct stream_record *record,
								  const char *name)
{
	struct stream_record_service *service = stream_record_find_service(record, name);

	if (service)
		return service;
	service = g_new0(struct stream_record_service, 1);
	service->name = g_strdup(name);
	service->versions = g_ptr_array_new_with_free_func(stream_record_version_free);
	g_hash_table_insert(record->services, service->name, service);
	return service;
}

static struct stream_record_version *stream_record_find_version(const struct stream_record *record,
								const char *service_name,
								const char *name)
{
	const struct stream_record_service *service =
		stream_record_find_service(record, service_name);

	for (guint i = 0; service && i < service->versions->len; i++) {
		struct stream_record_version *version = service->versions->pdata[i];

		if (strcmp(version->name, name) == 0)
			return version;
	}
	return NULL;
}

static struct stream_record_version *stream_record_ensure_version(struct stream_record *record,
								  const char *service_name,
								  const char *name)
{
	struct stream_record_version *version =
		stream_record_find_version(record, service_name, name);

	if (version)
		return version;
	version = g_new0(struct stream_record_version, 1);
	version->name = g_ref_string_new_intern(name);
	g_ptr_array_add(stream_record_ensure_service(record, service_name)->versions, version);
	return version;
}

/* Tells whether the row of a version may be relied on to exist. It may have been removed when the
 * version was not listed for long. */
static bool stream_record_relies_on(const struct stream_record_version *version, uint64_t now_us)
{
	return version->registered_us > 0 &&
	       now_us < MAX(version->seen_us, version->registered_us) + STREAM_RECORD_RELY_US;
}

/* commands: versions */

bool stream_record_see(struct stream_record *record, const char *service, const char *version,
		       uint64_t now_us)
{
	struct stream_record_version *seen = stream_record_ensure_version(record, service, version);
	bool relied = stream_record_relies_on(seen, now_us);

	if (!relied) {
		if (seen->seen_us == 0 || seen->registered_us > 0)
			seen->waiting_us = now_us;
		seen->registered_us = 0;
	}
	seen->seen_us = now_us;
	return !relied;
}

void stream_record_set_registered(struct stream_record *record, const char *service,
				  const char *version, uint64_t now_us)
{
	stream_record_ensure_version(record, service, version)->registered_us = now_us;
}

void stream_record_read_version(struct stream_record *record, const char *service,
				const char *version, uint64_t row_version, uint64_t now_us)
{
	struct stream_record_version *row = stream_record_ensure_version(record, service, version);

	if (row->read_us == 0 || row->row_version != row_version)
		row->row_us = now_us;
	row->row_version = row_version;
	row->read_us = now_us;
}

/* Drops a version that is neither in the registry nor listed. */
static void stream_record_check_version(struct stream_record_service *service, guint index,
					uint64_t since_us)
{
	struct stream_record_version *version = service->versions->pdata[index];

	if (MAX(version->registered_us, version->read_us) >= since_us)
		return;
	if (version->seen_us == 0 || since_us > version->seen_us + STREAM_RECORD_RELY_US) {
		g_ptr_array_remove_index_fast(service->versions, index);
		return;
	}
	if (version->registered_us > 0)
		version->waiting_us = since_us;
	version->registered_us = 0;
	version->read_us = 0;
}

void stream_record_end_read(struct stream_record *record, uint64_t since_us)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		for (guint i = service->versions->len; i > 0; i--)
			stream_record_check_version(service, i - 1, since_us);
	}
	record->complete = true;
}

/* Calls @p each for every version that is registered, or for every one that is listed and is not.
 */
static void stream_record_each(struct stream_record *record, uint64_t now_us, bool registered,
			       void (*each)(void *ctx, const char *service, const char *version),
			       void *ctx)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		for (guint i = 0; i < service->versions->len; i++) {
			const struct stream_record_version *version = service->versions->pdata[i];
			bool relied = stream_record_relies_on(version, now_us);

			if (registered ? relied : !relied && version->seen_us > 0)
				each(ctx, service->name, version->name);
		}
	}
}

void stream_record_each_unregistered(struct stream_record *record, uint64_t now_us,
				     void (*each)(void *ctx, const char *service,
						  const char *version),
				     void *ctx)
{
	stream_record_each(record, now_us, false, each, ctx);
}

void stream_record_each_registered(struct stream_record *record, uint64_t now_us,
				   void (*each)(void *ctx, const char *service,
						const char *version),
				   void *ctx)
{
	stream_record_each(record, now_us, true, each, ctx);
}

void stream_record_forget_registry(struct stream_record *record, uint64_t now_us)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		for (guint i = 0; i < service->versions->len; i++) {
			struct stream_record_version *version = service->versions->pdata[i];

			if (version->registered_us > 0)
				version->waiting_us = now_us;
			version->registered_us = 0;
			version->read_us = 0;
		}
	}
	record->complete = false;
}

/* commands: streams */

void stream_record_begin(struct stream_record *record, const char *service, const char *id,
			 const char *version, uint64_t expires_us)
{
	uint64_t key = stream_record_hash(id);
	struct stream_record_stream *stream = g_hash_table_lookup(record->streams, &key);

	if (stream) {
		stream->expires_us = MAX(stream->expires_us, expires_us);
		if (strcmp(stream->service->name, service) != 0 ||
		    strcmp(stream->version, version) != 0) {
			stream->contradicted = true;
			stream->service->dirty = true;
		}
		return;
	}
	while (record->order.length >= STREAM_RECORD_MAX_STREAMS)
		stream_record_drop(record, record->order.head->data);
	stream = g_new0(struct stream_record_stream, 1);
	stream->link.data = stream;
	stream->key = key;
	stream->service = stream_record_ensure_service(record, service);
	stream->version = g_ref_string_new_intern(version);
	stream->expires_us = expires_us;
	stream->service->stream_count++;
	stream->service->dirty = true;
	g_hash_table_insert(record->streams, &stream->key, stream);
	g_queue_push_tail_link(&record->order, &stream->link);
}

void stream_record_end(struct stream_record *record, const char *id, uint64_t now_us)
{
	uint64_t key = stream_record_hash(id);
	struct stream_record_stream *stream = g_hash_table_lookup(record->streams, &key);

	if (stream)
		stream->expires_us = MIN(stream->expires_us, now_us + STREAM_RECORD_ENDED_US);
}

void stream_record_tick(struct stream_record *record, uint64_t now_us)
{
	GList *next;

	for (GList *item = record->order.head; item; item = next) {
		struct stream_record_stream *stream = item->data;

		next = item->next;
		if (now_us >= stream->expires_us)
			stream_record_drop(record, stream);
	}
}

void stream_record_set_dirty(struct stream_record *record)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service))
		service->dirty |= service->stream_count > 0;
}

static char *stream_record_escape(const char *name)
{
	return *name ? g_uri_escape_string(name, NULL, FALSE) : g_strdup(STREAM_RECORD_EMPTY);
}

static char *stream_record_unescape(const char *text)
{
	return strcmp(text, STREAM_RECORD_EMPTY) == 0 ? g_strdup("")
						      : g_uri_unescape_string(text, NULL);
}

/* Appends the streams of a service that began at a version, if there are any: service, version and
 * the keys in little-endian order. */
static void stream_record_append(GString *out, const struct stream_record *record,
				 const struct stream_record_service *service, const char *version)
{
	g_autoptr(GByteArray) keys = g_byte_array_new();
	g_autofree char *service_name = stream_record_escape(service->name);
	g_autofree char *version_name = stream_record_escape(version);
	g_autofree char *text = NULL;

	for (const GList *item = record->order.head; item; item = item->next) {
		const struct stream_record_stream *stream = item->data;
		uint64_t key = GUINT64_TO_LE(stream->key);

		if (stream->service == service && !stream->contradicted &&
		    strcmp(stream->version, version) == 0)
			g_byte_array_append(keys, (const guint8 *)&key, sizeof(key));
	}
	if (keys->len == 0)
		return;
	text = g_base64_encode(keys->data, keys->len);
	g_string_append_printf(out, "%s %s %s\n", service_name, version_name, text);
}

/* Appends the streams of a service, version by version. */
static void stream_record_append_service(GString *out, const struct stream_record *record,
					 const struct stream_record_service *service)
{
	g_autoptr(GHashTable) versions = g_hash_table_new(g_str_hash, g_str_equal);

	for (const GList *item = record->order.head; item; item = item->next) {
		const struct stream_record_stream *stream = item->data;

		if (stream->service == service && g_hash_table_add(versions, stream->version))
			stream_record_append(out, record, service, stream->version);
	}
}

char *stream_record_encode(struct stream_record *record, uint64_t now_us, uint64_t wall_ms)
{
	GString *out = g_string_new(NULL);
	uint64_t expires_us = now_us;
	GHashTableIter iter;
	struct stream_record_service *service;

	for (const GList *item = record->order.head; item; item = item->next)
		expires_us = MAX(expires_us,
				 ((const struct stream_record_stream *)item->data)->expires_us);
	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
			       wall_ms + (expires_us - now_us) / 1000);
	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		if (!stream_record_is_needed(record, service->name))
			continue;
		stream_record_append_service(out, record, service);
		service->dirty = false;
	}
	return g_string_free(out, FALSE);
}

/* queries */

bool stream_record_is_registered(const struct stream_record *record, const char *service,
				 const char *version, uint64_t now_us)
{
	const struct stream_record_version *found =
		stream_record_find_version(record, service, version);

	return found && stream_record_relies_on(found, now_us);
}

uint64_t stream_record_unregistered_since_us(const struct stream_record *record,
					     const char *service, const char *version,
					     uint64_t now_us)
{
	const struct stream_record_version *found =
		stream_record_find_version(record, service, version);

	return found && found->seen_us > 0 && !stream_record_relies_on(found, now_us)
		       ? found->waiting_us
		       : 0;
}

bool stream_record_is_needed(const struct stream_record *record, const char *service)
{
	const struct stream_record_service *found = stream_record_find_service(record, service);

	return !record->complete || (found && found->versions->len > 1);
}

bool stream_record_has_several(const struct stream_record *record)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		if (service->versions->len > 1)
			return true;
	}
	return false;
}

bool stream_record_is_unlisted(const struct stream_record *record, const char *service,
			       const char *version, uint64_t now_us)
{
	const struct stream_record_version *found =
		stream_record_find_version(record, service, version);

	return found && found->read_us > 0 &&
	       now_us > MAX(found->seen_us, found->row_us) + STREAM_RECORD_UNLIST_US;
}

bool stream_record_find(const struct stream_record *record, const char *id,
			struct stream_origin *origin)
{
	uint64_t key = stream_record_hash(id);
	const struct stream_record_stream *stream = g_hash_table_lookup(record->streams, &key);

	if (!stream || stream->contradicted)
		return false;
	*origin = (struct stream_origin){ stream->service->name, stream->version };
	return true;
}

uint32_t stream_record_count(const struct stream_record *record)
{
	return record->order.length;
}

bool stream_record_is_dirty(const struct stream_record *record)
{
	GHashTableIter iter;
	struct stream_record_service *service;

	g_hash_table_iter_init(&iter, record->services);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&service)) {
		if (service->dirty && service->stream_count > 0 &&
		    stream_record_is_needed(record, service->name))
			return true;
	}
	return false;
}

/* rows */

char *stream_record_version_key(const char *service, const char *version)
{
	/* Names may be longer than a key. */
	return g_strdup_printf(
		STREAM_RECORD_VERSION_PREFIX "%016" G_GINT64_MODIFIER "x",
		XXH3_64bits_withSeed(version, strlen(version), stream_record_hash(service)));
}

char *stream_record_version_text(const char *service, const char *version)
{
	g_autofree char *service_name = stream_record_escape(service);
	g_autofree char *version_name = stream_record_escape(version);

	return g_strdup_printf("%s %s", service_name, version_name);
}

char *stream_record_process_key(const char *instance, uint64_t started_ms)
{
	return g_strdup_printf(STREAM_RECORD_PROCESS_PREFIX "%016" G_GINT64_MODIFIER
							    "x-%" G_GINT64_MODIFIER "x",
			       XXH3_64bits(instance, strlen(instance)), started_ms);
}

bool stream_record_decode_version(const char *key, const char *text, char **service, char **version)
{
	g_auto(GStrv) names = NULL;
	g_autofree char *service_name = NULL;
	g_autofree char *version_name = NULL;

	if (!g_str_has_prefix(key, STREAM_RECORD_VERSION_PREFIX))
		return false;
	names = g_strsplit(text, " ", 0);
	if (g_strv_length(names) != 2)
		return false;
	service_name = stream_record_unescape(names[0]);
	version_name = stream_record_unescape(names[1]);
	if (!service_name || !version_name)
		return false;
	*service = g_steal_pointer(&service_name);
	*version = g_steal_pointer(&version_name);
	return true;
}

bool stream_record_is_expired(const char *key, const char *text, uint64_t wall_ms)
{
	char *rest = NULL;
	uint64_t expires_ms = g_ascii_strtoull(text, &rest, 10);

	return g_str_has_prefix(key, STREAM_RECORD_PROCESS_PREFIX) && rest != text &&
	       *rest == '\n' && wall_ms > expires_ms + STREAM_RECORD_CLOCK_MARGIN_MS;
}

/* questions */

/* What the rows say of a stream. */
struct stream_lookup_answer {
	uint64_t key;
	GRefString *service; /* NULL: no row has the stream */
	GRefString *version;
	bool contradicted;
};

struct stream_lookup {
	GHashTable *answers;  /* key to struct stream_lookup_answer */
	GHashTable *services; /* name to an array of its registered versions */
};

static void stream_lookup_answer_free(gpointer data)
{
	struct stream_lookup_answer *answer = data;

	if (answer->service) {
		g_ref_string_release(answer->service);
		g_ref_string_release(answer->version);
	}
	g_free(answer);
}

static void stream_lookup_versions_free(gpointer data)
{
	g_ptr_array_unref(data);
}

struct stream_lookup *stream_lookup_create(void)
{
	struct stream_lookup *lookup = g_new0(struct stream_lookup, 1);

	lookup->answers =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, stream_lookup_answer_free);
	lookup->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stream_lookup_versions_free);
	return lookup;
}

void stream_lookup_destroy(struct stream_lookup *lookup)
{
	if (!lookup)
		return;
	g_hash_table_destroy(lookup->answers);
	g_hash_table_destroy(lookup->services);
	g_free(lookup);
}

void stream_lookup_add(struct stream_lookup *lookup, const char *id)
{
	struct stream_lookup_answer *answer;
	uint64_t key;

	if (!id)
		return;
	key = stream_record_hash(id);
	if (g_hash_table_contains(lookup->answers, &key))
		return;
	answer = g_new0(struct stream_lookup_answer, 1);
	answer->key = key;
	g_hash_table_insert(lookup->answers, &answer->key, answer);
}

static void stream_lookup_read_version(struct stream_lookup *lookup, const char *service,
				       const char *version)
{
	GPtrArray *versions = g_hash_table_lookup(lookup->services, service);

	if (!versions) {
		versions = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(lookup->services, g_strdup(service), versions);
	}
	g_ptr_array_add(versions, g_strdup(version));
}

/* Compares the streams of one version with those that are asked for. */
static void stream_lookup_read_streams(struct stream_lookup *lookup, const char *service,
				       const char *version, const char *text)
{
	gsize len = 0;
	g_autofree guchar *bytes = g_base64_decode(text, &len);

	for (gsize at = 0; at + sizeof(uint64_t) <= len; at += sizeof(uint64_t)) {
		struct stream_lookup_answer *answer;
		uint64_t key;

		memcpy(&key, bytes + at, sizeof(key));
		key = GUINT64_FROM_LE(key);
		answer = g_hash_table_lookup(lookup->answers, &key);
		if (!answer)
			continue;
		if (!answer->service) {
			answer->service = g_ref_string_new_intern(service);
			answer->version = g_ref_string_new_intern(version);
		} else if (strcmp(answer->service, service) != 0 ||
			   strcmp(answer->version, version) != 0) {
			answer->contradicted = true;
		}
	}
}

void stream_lookup_read(struct stream_lookup *lookup, const char *key, const char *text)
{
	g_autofree char *service = NULL;
	g_autofree char *version = NULL;
	g_auto(GStrv) lines = NULL;

	if (stream_record_decode_version(key, text, &service, &version)) {
		stream_lookup_read_version(lookup, service, version);
		return;
	}
	if (!g_str_has_prefix(key, STREAM_RECORD_PROCESS_PREFIX))
		return;
	lines = g_strsplit(text, "\n", 0);
	for (uint32_t i = 0; lines[i]; i++) {
		g_auto(GStrv) words = g_strsplit(lines[i], " ", 0);
		g_autofree char *of_service = NULL;
		g_autofree char *at_version = NULL;

		if (g_strv_length(words) != 3)
			continue;
		of_service = stream_record_unescape(words[0]);
		at_version = stream_record_unescape(words[1]);
		if (of_service && at_version)
			stream_lookup_read_streams(lookup, of_service, at_version, words[2]);
	}
}

enum stream_lookup_result stream_lookup_result(const struct stream_lookup *lookup,
					       const char *service, const char *id,
					       struct stream_origin *origin)
{
	const GPtrArray *versions = g_hash_table_lookup(lookup->services, service);
	const struct stream_lookup_answer *answer = NULL;

	*origin = (struct stream_origin){ 0 };
	if (id) {
		uint64_t key = stream_record_hash(id);

		answer = g_hash_table_lookup(lookup->answers, &key);
	}
	if (answer && answer->contradicted)
		return STREAM_LOOKUP_UNKNOWN;
	if (answer && answer->service) {
		*origin = (struct stream_origin){ answer->service, answer->version };
		return STREAM_LOOKUP_RECORDED;
	}
	if (!versions || versions->len != 1)
		return STREAM_LOOKUP_UNKNOWN;
	*origin = (struct stream_origin){ service, versions->pdata[0] };
	return STREAM_LOOKUP_SOLE;
}

const char *stream_lookup_result_name(enum stream_lookup_result result)
{
	static const char *const names[STREAM_LOOKUP_RESULT_COUNT] = { "record", "sole-version",
								       "unknown" };

	return names[result];
}
