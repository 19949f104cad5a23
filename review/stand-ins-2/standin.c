#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_ROWS     512
#define MAX_CHANGES  4096
#define MAX_GATEWAYS 8

struct row {
	char table[32], key[128];
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

/* A change of a row, in the order of the versions. */
struct change {
	char table[32], key[128];
	char *value; /* base64; NULL: removed */
	uint64_t version;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct row rows[MAX_ROWS];
	int row_count;
	struct change changes[MAX_CHANGES];
	int change_count;
	uint64_t version, config_version;
	bool resets;
	int port;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .changed = PTHREAD_COND_INITIALIZER };

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t start_ms;
static char folder[128];
static struct gateway *gateways[MAX_GATEWAYS];
static int gateway_count;

/* time and record */

uint64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void sleep_ms(unsigned ms)
{
	struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

bool trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)(now_ms() - start_ms) / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void cannot_run(const char *why)
{
	record("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	bed_end();
	_exit(2);
}

/* messages */

bool send_bytes(int fd, const void *buf, size_t len)
{
	const char *at = buf;

	while (len > 0) {
		ssize_t count = send(fd, at, len, MSG_NOSIGNAL);

		if (count <= 0)
			return false;
		at += count;
		len -= (size_t)count;
	}
	return true;
}

bool send_text(int fd, const char *text)
{
	return send_bytes(fd, text, strlen(text));
}

/* Reads more. @return 1, or 0 at the end of the connection, or -1 */
static int reader_fill(struct reader *reader, uint64_t until_ms)
{
	struct pollfd poll_fd = { .fd = reader->fd, .events = POLLIN };
	uint64_t now = now_ms();
	ssize_t count;

	if (now >= until_ms || poll(&poll_fd, 1, (int)(until_ms - now)) <= 0)
		return -1;
	if (reader->cap - reader->len < 4096) {
		reader->cap += 16384;
		reader->buf = realloc(reader->buf, reader->cap);
	}
	count = recv(reader->fd, reader->buf + reader->len, reader->cap - reader->len - 1, 0);
	if (count <= 0)
		return count == 0 ? 0 : -1;
	reader->len += (size_t)count;
	reader->buf[reader->len] = '\0';
	return 1;
}

static void reader_drop(struct reader *reader, size_t len)
{
	memmove(reader->buf, reader->buf + len, reader->len - len);
	reader->len -= len;
	reader->buf[reader->len] = '\0';
}

bool message_header(const struct message *message, const char *name, char *out, size_t size)
{
	const char *line = strstr(message->head, "\r\n");
	size_t name_len = strlen(name);

	while (line && line[2]) {
		line += 2;
		if (strncasecmp(line, name, name_len) == 0 && line[name_len] == ':') {
			const char *value = line + name_len + 1;
			size_t len = strcspn(value, "\r\n");

			while (len > 0 && *value == ' ') {
				value++;
				len--;
			}
			snprintf(out, size, "%.*s", (int)len, value);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

/* Reads a body in chunks with its trailers. @return false when it does not end */
static bool read_chunks(struct reader *reader, struct message *out, uint64_t until_ms)
{
	for (;;) {
		char *line_end;
		size_t size;

		while (!reader->len || !(line_end = strstr(reader->buf, "\r\n")))
			if (reader_fill(reader, until_ms) != 1)
				return false;
		if (!isxdigit((unsigned char)reader->buf[0]))
			return false;
		size = strtoul(reader->buf, NULL, 16);
		reader_drop(reader, (size_t)(line_end - reader->buf) + 2);
		if (size == 0)
			break;
		while (reader->len < size + 2)
			if (reader_fill(reader, until_ms) != 1)
				return false;
		out->body = realloc(out->body, out->body_len + size + 1);
		memcpy(out->body + out->body_len, reader->buf, size);
		out->body_len += size;
		out->body[out->body_len] = '\0';
		reader_drop(reader, size + 2);
	}
	for (;;) {
		char *line_end;
		bool last;

		while (!reader->len || !(line_end = strstr(reader->buf, "\r\n")))
			if (reader_fill(reader, until_ms) != 1)
				return false;
		last = line_end == reader->buf;
		reader_drop(reader, (size_t)(line_end - reader->buf) + 2);
		if (last)
			return true;
	}
}

bool read_message(struct reader *reader, struct message *out, bool answer, int timeout_ms)
{
	uint64_t until_ms = now_ms() + (uint64_t)timeout_ms;
	char value[64];
	char *end;
	size_t head_len, length = 0;

	memset(out, 0, sizeof(*out));
	out->body = calloc(1, 1);
	while (!reader->len || !(end = strstr(reader->buf, "\r\n\r\n")))
		if (reader_fill(reader, until_ms) != 1) {
			free(out->body);
			out->body = NULL;
			return false;
		}
	head_len = (size_t)(end - reader->buf) + 4;
	out->head = strndup(reader->buf, head_len);
	reader_drop(reader, head_len);
	if (answer && sscanf(out->head, "HTTP/1.1 %d", &out->status) != 1)
		out->status = -1;
	if (message_header(out, "Transfer-Encoding", value, sizeof(value))) {
		out->whole = read_chunks(reader, out, until_ms);
		return true;
	}
	if (message_header(out, "Content-Length", value, sizeof(value))) {
		length = strtoul(value, NULL, 10);
	} else if (answer && out->status != 204 && out->status != 304) {
		int state;

		while ((state = reader_fill(reader, until_ms)) == 1)
			;
		out->whole = state == 0;
		out->body = realloc(out->body, reader->len + 1);
		memcpy(out->body, reader->buf, reader->len);
		out->body_len = reader->len;
		out->body[out->body_len] = '\0';
		reader_drop(reader, reader->len);
		return true;
	}
	while (reader->len < length)
		if (reader_fill(reader, until_ms) != 1)
			break;
	out->whole = reader->len >= length;
	out->body_len = length < reader->len ? length : reader->len;
	out->body = realloc(out->body, out->body_len + 1);
	memcpy(out->body, reader->buf, out->body_len);
	out->body[out->body_len] = '\0';
	if (reader->buf)
		reader_drop(reader, out->body_len);
	return true;
}

void message_free(struct message *message)
{
	free(message->head);
	free(message->body);
	memset(message, 0, sizeof(*message));
}

/* listeners */

struct listener {
	int fd;
	void (*serve)(int fd, uint64_t number, void *ctx);
	void *ctx;
	uint64_t count;
};

struct accepted {
	struct listener *listener;
	int fd;
	uint64_t number;
};

static void *serve_main(void *arg)
{
	struct accepted *accepted = arg;

	accepted->listener->serve(accepted->fd, accepted->number, accepted->listener->ctx);
	close(accepted->fd);
	free(accepted);
	return NULL;
}

static void spawn(void *(*run)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 << 10);
	if (pthread_create(&thread, &attr, run, arg) != 0)
		cannot_run("no thread");
	pthread_attr_destroy(&attr);
}

static void *listen_main(void *arg)
{
	struct listener *listener = arg;

	for (;;) {
		struct accepted *accepted = calloc(1, sizeof(*accepted));

		accepted->fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		if (accepted->fd < 0) {
			free(accepted);
			sleep_ms(1);
			continue;
		}
		accepted->listener = listener;
		accepted->number = ++listener->count;
		spawn(serve_main, accepted);
	}
	return NULL;
}

static int bind_loopback(int *port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);

	if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		cannot_run("no port");
	getsockname(fd, (struct sockaddr *)&addr, &len);
	*port = ntohs(addr.sin_port);
	return fd;
}

/* Returns a free port below those that the system gives to clients. */
static int free_port(void)
{
	static unsigned seed;

	if (!seed)
		seed = (unsigned)getpid() * 2654435761U ^ (unsigned)now_ms();
	for (int i = 0; i < 1000; i++) {
		int port = 12000 + (int)(rand_r(&seed) % 18000);
		struct sockaddr_in addr = { .sin_family = AF_INET,
					    .sin_port = htons((uint16_t)port),
					    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int bound = bind(fd, (struct sockaddr *)&addr, sizeof(addr));

		close(fd);
		if (bound == 0)
			return port;
	}
	cannot_run("no port");
}

static int listen_on(void (*serve)(int fd, uint64_t number, void *ctx), void *ctx)
{
	struct listener *listener = calloc(1, sizeof(*listener));
	int port;

	listener->fd = bind_loopback(&port);
	listener->serve = serve;
	listener->ctx = ctx;
	listen(listener->fd, 512);
	spawn(listen_main, listener);
	return port;
}

/* store */

static char *base64(const char *text)
{
	static const char digits[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(text);
	char *out = malloc((len + 2) / 3 * 4 + 1), *at = out;

	for (size_t i = 0; i < len; i += 3) {
		unsigned bits = (unsigned)(unsigned char)text[i] << 16;

		if (i + 1 < len)
			bits |= (unsigned)(unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			bits |= (unsigned char)text[i + 2];
		*at++ = digits[bits >> 18];
		*at++ = digits[bits >> 12 & 63];
		*at++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
		*at++ = i + 2 < len ? digits[bits & 63] : '=';
	}
	*at = '\0';
	return out;
}

/* Call with the lock held. @param value base64, owned by the row from here; NULL removes it */
static void store_set(const char *table, const char *key, char *value)
{
	struct row *row = NULL;

	for (int i = 0; i < store.row_count && !row; i++)
		if (strcmp(store.rows[i].table, table) == 0 && strcmp(store.rows[i].key, key) == 0)
			row = &store.rows[i];
	if (!row) {
		if (store.row_count == MAX_ROWS)
			return;
		row = &store.rows[store.row_count++];
		snprintf(row->table, sizeof(row->table), "%s", table);
		snprintf(row->key, sizeof(row->key), "%s", key);
	}
	free(row->value);
	row->value = value;
	row->version = ++store.version;
	if (store.change_count < MAX_CHANGES) {
		struct change *change = &store.changes[store.change_count++];

		snprintf(change->table, sizeof(change->table), "%s", table);
		snprintf(change->key, sizeof(change->key), "%s", key);
		change->value = value ? strdup(value) : NULL;
		change->version = row->version;
	}
	pthread_cond_broadcast(&store.changed);
}

void store_put(const char *table, const char *key, const char *text)
{
	pthread_mutex_lock(&store.lock);
	store_set(table, key, text ? base64(text) : NULL);
	pthread_mutex_unlock(&store.lock);
}

void store_set_reset(bool resets)
{
	pthread_mutex_lock(&store.lock);
	store.resets = resets;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
}

static bool query_value(const char *head, const char *name, char *out, size_t size)
{
	const char *line_end = strstr(head, " HTTP/");
	const char *at = strchr(head, '?');
	size_t len = strlen(name);

	while (at && at < line_end) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			snprintf(out, size, "%.*s", (int)strcspn(at + len + 1, "& "), at + len + 1);
			return true;
		}
		at = memchr(at, '&', (size_t)(line_end - at));
	}
	return false;
}

/* Returns a row of an answer. @param value base64; NULL: the row was removed */
static json_t *store_row_json(const char *table, const char *key, const char *value,
			      uint64_t version)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:I}", "table", table, "part", "", "key", key,
				 "row_version", (json_int_t)version);

	if (value)
		json_object_set_new(json, "value", json_string(value));
	else
		json_object_set_new(json, "deleted", json_true());
	return json;
}

/* Returns the rows of a table. Call with the lock held. */
static json_t *store_rows(const char *table)
{
	json_t *rows = json_array();

	for (int i = 0; i < store.row_count; i++) {
		const struct row *row = &store.rows[i];

		if (strcmp(row->table, table) == 0 && row->value)
			json_array_append_new(
				rows, store_row_json(table, row->key, row->value, row->version));
	}
	return rows;
}

/* Returns the changes of a table after a version, in order. Call with the lock held. */
static json_t *store_changes(const char *table, uint64_t since)
{
	json_t *rows = json_array();

	for (int i = 0; i < store.change_count; i++) {
		const struct change *change = &store.changes[i];

		if (change->version > since && strcmp(change->table, table) == 0)
			json_array_append_new(rows, store_row_json(table, change->key,
								   change->value, change->version));
	}
	return rows;
}

static bool store_answer(int fd, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char head[160];
	bool sent;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		 strlen(text));
	sent = send_text(fd, head) && send_text(fd, text);
	free(text);
	json_decref(body);
	return sent;
}

static void store_apply_tx(const char *body)
{
	json_t *root = json_loads(body, 0, NULL), *entry;
	size_t i;

	json_array_foreach(json_object_get(root, "writes"), i, entry)
		store_set(json_string_value(json_object_get(entry, "table")),
			  json_string_value(json_object_get(entry, "key")),
			  strdup(json_string_value(json_object_get(entry, "value"))));
	json_array_foreach(json_object_get(root, "remove"), i, entry)
		store_set(json_string_value(json_object_get(entry, "table")),
			  json_string_value(json_object_get(entry, "key")), NULL);
	json_decref(root);
}

static void store_serve(int fd, uint64_t number, void *ctx)
{
	struct reader reader = { .fd = fd };
	struct message request;
	bool open = true;

	(void)number;
	(void)ctx;
	while (open && read_message(&reader, &request, false, 120000)) {
		char table[32] = "", since_text[32] = "0", wait_text[32] = "0";
		bool feed = strncmp(request.head, "GET /rows-feed", 14) == 0;
		json_t *body;
		query_value(request.head, "table", table, sizeof(table));
		query_value(request.head, "since_rev", since_text, sizeof(since_text));
		query_value(request.head, "wait_ms", wait_text, sizeof(wait_text));
		pthread_mutex_lock(&store.lock);
		if (feed && !store.resets) {
			struct timespec until;
			uint64_t wait = strtoull(wait_text, NULL, 10);

			clock_gettime(CLOCK_REALTIME, &until);
			until.tv_sec += (time_t)(wait / 1000);
			until.tv_nsec += (long)(wait % 1000) * 1000000;
			if (until.tv_nsec >= 1000000000) {
				until.tv_sec++;
				until.tv_nsec -= 1000000000;
			}
			for (;;) {
				json_t *rows = store_changes(table, strtoull(since_text, NULL, 10));
				bool any = json_array_size(rows) > 0;

				json_decref(rows);
				if (any || store.resets ||
				    pthread_cond_timedwait(&store.changed, &store.lock, &until) !=
					    0)
					break;
			}
		}
		if (store.resets) {
			struct linger linger = { .l_onoff = 1, .l_linger = 0 };

			pthread_mutex_unlock(&store.lock);
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
			message_free(&request);
			break;
		}
		if (strncmp(request.head, "POST /rows-tx", 13) == 0) {
			store_apply_tx(request.body);
			body = json_pack("{s:I}", "row_version", (json_int_t)store.version);
		} else {
			body = json_pack("{s:o, s:b, s:I, s:I}", "rows",
					 feed ? store_changes(table, strtoull(since_text, NULL, 10))
					      : store_rows(table),
					 "has_more", 0, "row_version", (json_int_t)store.version,
					 "now_ms", (json_int_t)now_ms());
		}
		pthread_mutex_unlock(&store.lock);
		sleep_ms(2);
		open = store_answer(fd, body);
		message_free(&request);
	}
	free(reader.buf);
}

void bed_configure(const char *keys, const char *added)
{
	static const char format[] =
		"{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
		"\"header_timeout_ms\":10000,\"idle_timeout_ms\":20000},"
		"\"tenants\":[{\"name\":\"" BED_TENANT "\",\"api_keys\":[%s]}],"
		"\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96},"
		"{\"name\":\"writer\",\"health_path\":\"/"
		"healthz\",\"max_conns\":362,\"engine\":{\"slots\":48,"
		"\"kv_capacity\":34403,\"kv_bytes\":20480,\"link_mbps\":4000,\"stride\":4,"
		"\"kv_handle_s\":6,\"moves\":true,\"backups\":false}}],"
		"\"routes\":[{\"name\":\"once\",\"host\":\"" BED_HOST
		"\",\"prefix\":\"/once/\",\"service\":\"desk\",\"route_kind\":\"unsafe\","
		"\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":2,\"max_attempts\":3},"
		"{\"name\":\"safe\",\"host\":\"" BED_HOST
		"\",\"prefix\":\"/safe/\",\"service\":\"desk\",\"route_kind\":\"safe\","
		"\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":2,\"max_attempts\":3},"
		"{\"name\":\"stream\",\"host\":\"" BED_HOST
		"\",\"prefix\":\"/stream/\",\"service\":\"writer\",\"route_kind\":\"streaming\","
		"\"sticky\":true,\"timeout_ms\":39000,\"slo_ms\":1800,\"target_gap_ms\":180,"
		"\"priority\":1,\"max_attempts\":1}%s]}";
	char *route = NULL, *text;

	store.config_version += 3;
	if (asprintf(&route,
		     ",{\"name\":\"%s\",\"host\":\"" BED_HOST
		     "\",\"prefix\":\"/%s/\",\"service\":\"desk\",\"route_kind\":\"safe\","
		     "\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":2,\"max_attempts\":3}",
		     added ? added : "", added ? added : "") < 0 ||
	    asprintf(&text, format, (int)store.config_version, keys, added ? route : "") < 0)
		cannot_run("memory");
	free(route);
	store_put("op", "config", text);
	record("operator writes configuration %d, keys %s, added route %s",
	       (int)store.config_version, keys, added ? added : "none");
	free(text);
}

/* replicas */

struct replica {
	char id[64], service[32];
	int port;
	replica_cb cb;
	uint64_t born_ms;
};

static void replica_serve(int fd, uint64_t number, void *ctx)
{
	struct replica *replica = ctx;
	struct reader reader = { .fd = fd };
	struct arrival arrival = { .replica = replica, .fd = fd, .conn = number };
	bool open = true;

	while (open && read_message(&reader, &arrival.request, false, 120000)) {
		arrival.seq++;
		arrival.id[0] = '\0';
		message_header(&arrival.request, "X-Flamingolatch-Attempt-Id", arrival.id,
			       sizeof(arrival.id));
		open = replica->cb(&arrival);
		message_free(&arrival.request);
	}
	free(arrival.conn_data);
	free(reader.buf);
}

struct replica *replica_create(const char *id, const char *service, replica_cb cb)
{
	struct replica *replica = calloc(1, sizeof(*replica));
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	replica->born_ms = (uint64_t)now.tv_sec * 1000 - 60000;
	snprintf(replica->id, sizeof(replica->id), "%s", id);
	snprintf(replica->service, sizeof(replica->service), "%s", service);
	replica->cb = cb;
	replica->port = listen_on(replica_serve, replica);
	return replica;
}

int replica_port(const struct replica *replica)
{
	return replica->port;
}

const char *replica_id(const struct replica *replica)
{
	return replica->id;
}

void replica_list(struct replica *replica, const char *state)
{
	char text[400];

	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"version\":"
		 "\"1\","
		 "\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":%llu}",
		 replica->service, replica->port, state, (unsigned long long)replica->born_ms);
	store_put("servers", replica->id, text);
	record("%s registers as %s", replica->id, state);
}

void replica_unlist(struct replica *replica)
{
	store_put("servers", replica->id, NULL);
	record("the entry of %s is removed", replica->id);
}

/* gateways */

void gateway_start(struct gateway *gateway, const char *name)
{
	FILE *file;

	if (gateway->callers == 0) {
		snprintf(gateway->name, sizeof(gateway->name), "%s", name);
		snprintf(gateway->settings, sizeof(gateway->settings), "%s/%s.yaml", folder, name);
		snprintf(gateway->log, sizeof(gateway->log), "%s/%s.log", folder, name);
		gateway->callers = free_port();
		gateway->ready = free_port();
		gateway->metrics = free_port();
		gateway->bus = free_port();
		file = fopen(gateway->settings, "w");
		fprintf(file,
			"instance: \"%s\"\nzone: \"z1\"\nregion: \"r1\"\nzones:\n"
			"  - { name: \"z1\", region: \"r1\" }\n"
			"callers: \"127.0.0.1:%d\"\nready: \"127.0.0.1:%d\"\n"
			"metrics: \"127.0.0.1:%d\"\nbus: \"127.0.0.1:%d\"\nstore: "
			"\"127.0.0.1:%d\"\n"
			"first_start: true\nbounds:\n  revoke_ms: 5000\n  grace_s: 8\n"
			"  retry_ratio: 0.2\n  retry_slack: 52\n  retry_window_s: 10\n"
			"load:\n  backups: false\n  speed_spread: 2.0\n",
			name, gateway->callers, gateway->ready, gateway->metrics, gateway->bus,
			store.port);
		fclose(file);
		gateways[gateway_count++] = gateway;
	}
	gateway->pid = fork();
	if (gateway->pid == 0) {
		int log = open(gateway->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(log, 1);
		dup2(log, 2);
		setenv("FLAMINGOLATCH_SETTINGS", gateway->settings, 1);
		execl("target/flamingolatch", "target/flamingolatch", "gateway", (char *)NULL);
		_exit(127);
	}
	record("%s starts", name);
}

void gateway_wait_ready(const struct gateway *gateway)
{
	uint64_t until_ms = now_ms() + 15000;

	while (now_ms() < until_ms) {
		int fd = client_connect(gateway->ready);
		struct reader reader = { .fd = fd };
		struct message answer;
		int status = 0;

		if (fd >= 0 && send_text(fd, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
		    read_message(&reader, &answer, true, 1000)) {
			status = answer.status;
			message_free(&answer);
		}
		free(reader.buf);
		if (fd >= 0)
			close(fd);
		if (status == 200) {
			record("%s is ready", gateway->name);
			return;
		}
		sleep_ms(100);
	}
	cannot_run("the gateway is not ready");
}

/* clients */

int client_connect(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port),
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* lifetime */

void bed_create(const char *record_name)
{
	const char *temp = getenv("TMPDIR");

	start_ms = now_ms();
	record_file = fopen(record_name, "w");
	if (!record_file) {
		fprintf(stderr, "cannot write %s\n", record_name);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX", temp && *temp ? temp : "/tmp");
	if (!mkdtemp(folder))
		cannot_run("no temporary folder");
	if (access("target/flamingolatch", X_OK) != 0)
		cannot_run("target/flamingolatch is not built");
	store.port = listen_on(store_serve, NULL);
	record("run with%s the disruption", trouble() ? "" : "out");
}

void bed_end(void)
{
	for (int i = 0; i < gateway_count; i++) {
		if (gateways[i]->pid <= 0)
			continue;
		kill(gateways[i]->pid, SIGKILL);
		waitpid(gateways[i]->pid, NULL, 0);
		gateways[i]->pid = 0;
	}
	if (getenv("KEEP_LOGS")) {
		fprintf(stderr, "logs in %s\n", folder);
		return;
	}
	for (int i = 0; i < gateway_count; i++) {
		unlink(gateways[i]->settings);
		unlink(gateways[i]->log);
	}
	rmdir(folder);
}
