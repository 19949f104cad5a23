/**
 * @file test_gateway_path_versions.c
 * Gateway programs of which one has no path to any upstream, while two software
 * versions are in service: a stream that its caller takes up goes on at the version
 * that began it, or is refused.
 *
 * The cut gateway reads the instance list from a store of its own, in which each
 * upstream has the address of a proxy in front of it. The table of streams is the same
 * in both stores: a timer copies each row from the store where it was first seen to the
 * other. This is as with one store whose reads are up to MIRROR_MS old. A row of a
 * process has one writer, which reads its own store only, and a row of a version has
 * the same text whoever writes it, so no write of a gateway meets one of the other
 * store.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "soak/proxy.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define ANSWER_MS	 4000
#define MEET_MS		 2500 /* until the instances know one another and the versions */
#define CONTACT_MS	 4000 /* until the cut gateway passes requests on */
#define TRY_MS		 10
#define BETWEEN_MS	 60
#define CALL_MS		 1400
#define STORE_MS	 300 /* until what is written for a stream has reached both stores */
#define MIRROR_MS	 20
#define OTHER_STORE_HOST 2
#define ENGINE_PORT	 8700
#define ENGINE_HOST	 120
#define PLAIN_COUNT	 3 /* upstreams of the plain service */
#define ENGINE_COUNT	 4 /* two of each version */
#define VERSION_COUNT	 2
#define MIN_STREAMS	 2 /* of each version and way */
#define MAX_STREAMS	 32
#define STREAMS_TABLE	 "flamingolatch-streams"
#define STREAM_HEAD                                                                                \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"                                    \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"              \
	"Transfer-Encoding: chunked\r\n\r\n"
#define COMMENT	     "5\r\n: c\n\n\r\n"
#define COMMENT_MS   100
#define FIRST_EVENTS "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n"
#define LAST_EVENTS  "1e\r\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n\r\n0\r\n\r\n"

enum cut {
	CUT_REFUSING,
	CUT_SILENT,
};

struct engine {
	struct raw_upstream *raw;
	struct proxy *proxy;
	char *id;
	char *ip;
	uint32_t version;
	uint32_t begun;	   /* streams, of which it sends the first events only */
	uint32_t taken_up; /* at requests of callers that go on after an event */
};

struct stream {
	char *id;
	uint32_t version; /* that began it */
	struct raw_caller caller;
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct mock_platform *other; /* store of the cut gateway */
	GHashTable *owners;	     /* key of a row of streams to the store that had it first */
	uv_timer_t mirror;
	struct testbed_gateway *sound;
	struct testbed_gateway *third;
	struct testbed_gateway *cut;
	struct engine engines[ENGINE_COUNT];
	struct proxy *plain[PLAIN_COUNT]; /* in front of upstreams whose calls show the loss */
	struct stream streams[MAX_STREAMS];
	uint32_t stream_count;
	enum cut cut_kind;
	uint32_t next_id;
};

static const struct testbed_request safe = {
	.path = "/safe/", .key = TESTBED_KEY, .wait_ms = CALL_MS, .reuse_connection = true
};

static const char *const versions[VERSION_COUNT] = { "v1", "v2" };

/* engines */

/* Begins streams, and ends those that callers take up. The others get comments only, so that they
 * stay incomplete and are not taken for silent. */
static void engine_on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct engine *engine = ctx;
	bool resumes = strstr(raw_conn_request(conn), "\r\nLast-Event-Id: ") != NULL;
	bool taken_up = resumes && g_str_has_prefix(id, "again-");
	g_autofree char *answer = g_strdup_printf(STREAM_HEAD "%s", id,
						  taken_up  ? LAST_EVENTS
						  : resumes ? ""
							    : FIRST_EVENTS);

	engine->begun += !resumes;
	engine->taken_up += taken_up;
	raw_conn_write(conn, answer);
	if (!taken_up)
		raw_conn_write_later(conn, COMMENT, COMMENT_MS, true);
}

static void list_engine(struct mock_platform *store, const struct engine *engine,
			const char *address)
{
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"" TESTBED_ENGINE_SERVICE
		"\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"%s\",\"slots\":48,"
		"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
		address, versions[engine->version]);

	mock_store_put(store, "servers", engine->id, entry);
}

static void add_engines(struct fixture *f)
{
	g_autofree char *proxy_ip = testbed_ip(f->testbed, OTHER_STORE_HOST);

	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		struct engine *engine = &f->engines[i];
		g_autofree char *address = NULL;

		engine->id = g_strdup_printf("engine-%u", i);
		engine->ip = testbed_ip(f->testbed, ENGINE_HOST + i);
		engine->version = i % VERSION_COUNT;
		engine->raw = raw_upstream_create(testbed_loop(f->testbed), engine->ip, ENGINE_PORT,
						  engine_on_request, engine);
		address = g_strdup_printf("%s:%d", engine->ip, ENGINE_PORT);
		engine->proxy = proxy_create(testbed_loop(f->testbed), proxy_ip, address);
		list_engine(f->platform, engine, address);
		list_engine(f->other, engine, proxy_address(engine->proxy));
	}
}

/* Calls of a plain service, which the cut gateway gets as well, show it that its path is lost. */
static void add_plain(struct fixture *f)
{
	g_autofree char *proxy_ip = testbed_ip(f->testbed, OTHER_STORE_HOST);

	for (uint32_t i = 0; i < PLAIN_COUNT; i++) {
		g_autofree char *id = g_strdup_printf("plain-%u", i);
		struct mock_upstream *upstream = testbed_upstream(f->testbed, id, false, i);
		const char *address = mock_upstream_address(upstream);
		g_auto(GStrv) parts = NULL;
		g_autofree char *entry = NULL;

		mock_upstream_list(upstream);
		f->plain[i] = proxy_create(testbed_loop(f->testbed), proxy_ip, address);
		parts = g_strsplit(mock_store_text(f->platform, "servers", id), address, 2);
		entry = g_strjoinv(proxy_address(f->plain[i]), parts);
		mock_store_put(f->other, "servers", id, entry);
	}
}

static uint32_t begun_at(const struct fixture *f, uint32_t version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ENGINE_COUNT; i++)
		count += f->engines[i].version == version ? f->engines[i].begun : 0;
	return count;
}

static uint32_t taken_up_at(const struct fixture *f, uint32_t version)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < ENGINE_COUNT; i++)
		count += f->engines[i].version == version ? f->engines[i].taken_up : 0;
	return count;
}

/* the table of streams */

struct mirror_way {
	struct fixture *f;
	struct mock_platform *from;
	struct mock_platform *to;
};

static void mirror_row(void *ctx, const char *key, const char *text)
{
	const struct mirror_way *way = ctx;
	GHashTable *owners = way->f->owners;

	if (!g_hash_table_contains(owners, key))
		g_hash_table_insert(owners, g_strdup(key), way->from);
	if (g_hash_table_lookup(owners, key) == way->from &&
	    g_strcmp0(mock_store_text(way->to, STREAMS_TABLE, key), text) != 0)
		mock_store_put(way->to, STREAMS_TABLE, key, text);
}

static void on_mirror(uv_timer_t *timer)
{
	struct fixture *f = timer->data;
	struct mirror_way ways[] = { { f, f->platform, f->other }, { f, f->other, f->platform } };

	for (uint32_t i = 0; i < G_N_ELEMENTS(ways); i++)
		mock_store_each_row(ways[i].from, STREAMS_TABLE, mirror_row, &ways[i]);
}

/* fixture */

/* Copies the row of an instance to the store of the cut gateway. */
static void introduce(struct fixture *f, const char *name)
{
	const char *row = mock_store_text(f->platform, "flamingolatch", name);

	g_assert_nonnull(row);
	mock_store_put(f->other, "flamingolatch", name, row);
}

static void start(struct testbed_gateway *gateway)
{
	testbed_start(gateway);
	g_assert_true(testbed_wait_ready(gateway, READY_TIMEOUT_MS));
}

static void cut_proxy(struct proxy *proxy, enum cut cut)
{
	if (cut == CUT_REFUSING)
		proxy_set_refuse_new(proxy, true);
	proxy_set_mode(proxy, cut == CUT_REFUSING ? PROXY_RESET : PROXY_SILENT, 0);
}

static void set_cut(struct fixture *f, enum cut cut)
{
	for (uint32_t i = 0; i < ENGINE_COUNT; i++)
		cut_proxy(f->engines[i].proxy, cut);
	for (uint32_t i = 0; i < PLAIN_COUNT; i++)
		cut_proxy(f->plain[i], cut);
}

/* Sends a request of the resumable route and reads until a text has come, the answer is whole, or
 * the connection ends. A call before it tries a lost path, as in a gateway with more callers.
 * @param more header lines */
static struct raw_caller send_request(struct fixture *f, struct testbed_gateway *gateway,
				      const char *id, const char *more, const char *until)
{
	struct testbed_answer answer;
	struct raw_caller caller;
	g_autofree char *text = g_strdup_printf(
		"POST /quick/x HTTP/1.1\r\nHost: " TESTBED_HOST "\r\n"
		"X-Flamingolatch-Attempt-Id: %s\r\nAuthorization: Bearer " TESTBED_KEY "\r\n"
		"X-Flamingolatch-Model: m\r\nX-Flamingolatch-Token-Usage: 100,40\r\n"
		"X-Flamingolatch-Deadline-Ms: 6000\r\n%sContent-Length: 0\r\n\r\n",
		id, more);

	testbed_begin(gateway, &safe, &answer);
	testbed_run(f->testbed, TRY_MS);
	caller = raw_caller_connect(gateway);
	g_assert_true(raw_caller_send_text(&caller, text));
	for (uint32_t ms = 0; ms < ANSWER_MS; ms += 10) {
		testbed_run(f->testbed, 10);
		raw_caller_read(&caller, SIZE_MAX);
		if (strstr(caller.input->str, until) || caller.closed ||
		    raw_caller_is_whole(&caller))
			break;
	}
	g_assert_true(testbed_wait(f->testbed, &answer, 2 * CALL_MS));
	testbed_answer_clear(&answer);
	return caller;
}

/* Has the cut gateway find out that it has no path, and ends when it serves. */
static void find_out(struct fixture *f)
{
	uint64_t until_us = (uint64_t)g_get_monotonic_time() + CONTACT_MS * 1000ULL;
	uint16_t status = 0;

	while ((uint64_t)g_get_monotonic_time() < until_us) {
		struct testbed_answer answer = testbed_call(f->cut, &safe);

		status = answer.status;
		testbed_answer_clear(&answer);
		testbed_run(f->testbed, BETWEEN_MS);
	}
	g_assert_cmpuint(status, ==, 200);
}

/* Starts a gateway that keeps its path, or two, and one in another region that loses it. Both
 * versions are in service. */
static void fixture_open(struct fixture *f, enum cut cut, bool with_third)
{
	g_autofree char *ip = NULL;

	*f = (struct fixture){ .testbed = testbed_create(59), .cut_kind = cut };
	f->platform = testbed_platform(f->testbed);
	ip = testbed_ip(f->testbed, OTHER_STORE_HOST);
	f->other = mock_platform_create(testbed_loop(f->testbed), ip, 0, 60);
	f->owners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	uv_timer_init(testbed_loop(f->testbed), &f->mirror);
	f->mirror.data = f;
	uv_timer_start(&f->mirror, on_mirror, MIRROR_MS, MIRROR_MS);
	testbed_configure(f->testbed, NULL, NULL);
	mock_store_put(f->other, "op", "config", mock_store_text(f->platform, "op", "config"));
	add_engines(f);
	add_plain(f);
	testbed_set_first_start(f->testbed, false);
	f->sound = testbed_gateway(f->testbed, "gw-sound", NULL);
	f->third = testbed_gateway(f->testbed, "gw-third", NULL);
	f->cut = testbed_gateway_in_zone(f->testbed, "gw-cut", "z3",
					 mock_platform_address(f->other));
	start(f->sound);
	if (with_third)
		start(f->third);
	testbed_run(f->testbed, MEET_MS);
	introduce(f, "gw-sound");
	if (with_third)
		introduce(f, "gw-third");
	start(f->cut);
	testbed_run(f->testbed, MEET_MS);
	set_cut(f, cut);
	find_out(f);
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t i = 0; i < f->stream_count; i++) {
		raw_caller_close(&f->streams[i].caller);
		g_free(f->streams[i].id);
	}
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		raw_upstream_destroy(f->engines[i].raw);
		proxy_destroy(f->engines[i].proxy);
		g_free(f->engines[i].id);
		g_free(f->engines[i].ip);
	}
	for (uint32_t i = 0; i < PLAIN_COUNT; i++)
		proxy_destroy(f->plain[i]);
	uv_close((uv_handle_t *)&f->mirror, NULL);
	testbed_run(f->testbed, 1);
	g_hash_table_destroy(f->owners);
	mock_platform_destroy(f->other);
	testbed_destroy(f->testbed);
}

/* streams */

static bool has_log_line(const struct testbed_gateway *gateway, const char *id)
{
	g_autofree char *needle = g_strdup_printf("\"%s\"", id);
	g_autofree char *lines = testbed_log_lines(gateway, needle);

	return *lines != '\0';
}

static void log_stream(struct fixture *f, const struct stream *stream, gint64 from_us)
{
	struct testbed_gateway *gateways[] = { f->cut, f->sound, f->third };

	g_test_message("%s of %s, %d ms", stream->id, versions[stream->version],
		       (int)((g_get_monotonic_time() - from_us) / 1000));
	for (uint32_t g = 0; g < G_N_ELEMENTS(gateways); g++) {
		g_autofree char *needle = g_strdup_printf("\"%s\"", stream->id);
		g_autofree char *lines = testbed_log_lines(gateways[g], needle);

		g_test_message("%s: %s", gateways[g]->name, lines);
	}
}

/* Begins a stream. @return it, or NULL when it was refused */
static struct stream *begin_stream(struct fixture *f, struct testbed_gateway *gateway)
{
	struct stream *stream = &f->streams[f->stream_count];
	uint32_t begun[VERSION_COUNT] = { begun_at(f, 0), begun_at(f, 1) };
	uint32_t added;

	g_assert_cmpuint(f->stream_count, <, MAX_STREAMS);
	stream->id = g_strdup_printf("stream-%u", f->stream_count);
	stream->caller = send_request(f, gateway, stream->id, "", "id: 2");
	f->stream_count++;
	if (!strstr(stream->caller.input->str, "id: 2")) {
		g_test_message("%s at %s: status %u", stream->id, gateway->name,
			       raw_caller_status(&stream->caller));
		return NULL;
	}
	/* Each stream is begun alone, so the engine that began it tells its version. */
	added = begun_at(f, 0) - begun[0];
	g_assert_cmpuint(added + begun_at(f, 1) - begun[1], ==, 1);
	stream->version = added == 1 ? 0 : 1;
	return stream;
}

/* Takes a stream up. It goes on at its version, or is refused.
 * @return whether it went on to its end */
static bool take_up(struct fixture *f, struct testbed_gateway *gateway, const struct stream *stream)
{
	uint32_t before[VERSION_COUNT] = { taken_up_at(f, 0), taken_up_at(f, 1) };
	g_autofree char *more = g_strdup_printf("Last-Event-Id: 2\r\nResumes: %s\r\n", stream->id);
	uint16_t status = 503;
	bool refused = true;
	bool whole = false;

	for (uint32_t i = 0; i < 4 && refused; i++) {
		g_autofree char *id = g_strdup_printf("again-%u", ++f->next_id);
		struct raw_caller caller = send_request(f, gateway, id, more, "id: 4");

		status = raw_caller_status(&caller);
		whole = status == 200 && raw_caller_is_whole(&caller) &&
			strstr(caller.input->str, "id: 4") != NULL;
		g_test_message("%s of %s taken up as %s at %s: status %u, whole %d", stream->id,
			       versions[stream->version], id, gateway->name, status, whole);
		if (!whole) {
			struct testbed_gateway *from[] = { f->cut, f->sound, f->third };

			for (uint32_t g = 0; g < G_N_ELEMENTS(from); g++) {
				g_autofree char *needle = g_strdup_printf("\"%s\"", id);
				g_autofree char *lines = testbed_log_lines(from[g], needle);

				g_test_message("%s: %s", from[g]->name, lines);
			}
		}
		raw_caller_close(&caller);
		/* A request that tried a silent path may have run, and is 502 or 504 if no peer
		 * serves it. */
		refused = status == 503 || (f->cut_kind == CUT_SILENT && gateway == f->cut &&
					    (status == 502 || status == 504));
		if (refused)
			testbed_run(f->testbed, 300);
	}
	g_assert_true(whole || refused);
	g_assert_cmpuint(taken_up_at(f, !stream->version), ==, before[!stream->version]);
	if (whole)
		g_assert_cmpuint(taken_up_at(f, stream->version), >, before[stream->version]);
	else
		g_assert_cmpuint(taken_up_at(f, stream->version), ==, before[stream->version]);
	return whole;
}

/* scenarios */

/* Streams that began through the sound gateway, or through the cut one by way of it, are taken up
 * at the cut one. */
static void play_taken_up(enum cut cut)
{
	uint32_t counts[2][VERSION_COUNT] = { 0 };
	g_autoptr(GPtrArray) streams = g_ptr_array_new();
	uint32_t whole = 0;
	struct fixture f;

	fixture_open(&f, cut, false);
	/* The streams stay open meanwhile, so that they spread over the engines. */
	while (MIN(MIN(counts[0][0], counts[0][1]), MIN(counts[1][0], counts[1][1])) <
		       MIN_STREAMS &&
	       f.stream_count < MAX_STREAMS) {
		uint32_t place = f.stream_count % 2;
		struct stream *stream = begin_stream(&f, place ? f.cut : f.sound);

		if (!stream)
			continue;
		counts[place][stream->version]++;
		g_ptr_array_add(streams, stream);
	}
	testbed_run(f.testbed, STORE_MS);
	for (guint i = 0; i < streams->len; i++) {
		struct stream *stream = streams->pdata[i];

		/* The connection of the caller breaks. */
		raw_caller_close(&stream->caller);
		stream->caller = raw_caller_connect(f.sound);
		whole += take_up(&f, f.cut, stream);
	}
	g_test_message("%u of %u streams went on; begun at v1 and v2: sound %u, %u, cut %u, %u",
		       whole, streams->len, counts[0][0], counts[0][1], counts[1][0], counts[1][1]);
	for (uint32_t i = 0; i < 2; i++) {
		for (uint32_t v = 0; v < VERSION_COUNT; v++)
			g_assert_cmpuint(counts[i][v], >, 0);
	}
	g_assert_cmpuint(whole * 2, >=, streams->len);
	fixture_close(&f);
}

static void test_taken_up_refusing(void)
{
	play_taken_up(CUT_REFUSING);
}

static void test_taken_up_silent(void)
{
	play_taken_up(CUT_SILENT);
}

/* Begins streams through the cut gateway by way of its peers, until some of each version are with
 * the sound one. The others are left. */
static void begin_by_way_of_sound(struct fixture *f, GPtrArray *streams)
{
	uint32_t counts[VERSION_COUNT] = { 0 };

	while (MIN(counts[0], counts[1]) < MIN_STREAMS && f->stream_count < MAX_STREAMS) {
		gint64 from_us = g_get_monotonic_time();
		struct stream *stream = begin_stream(f, f->cut);

		if (!stream)
			continue;
		log_stream(f, stream, from_us);
		if (!has_log_line(f->sound, stream->id))
			continue;
		counts[stream->version]++;
		g_ptr_array_add(streams, stream);
	}
	g_test_message("by way of the sound gateway began %u at v1, %u at v2, of %u", counts[0],
		       counts[1], f->stream_count);
	g_assert_cmpuint(counts[0], >, 0);
	g_assert_cmpuint(counts[1], >, 0);
	testbed_run(f->testbed, STORE_MS);
}

static void kill_sound(struct fixture *f)
{
	testbed_signal(f->sound, SIGKILL);
	g_assert_true(testbed_wait_exit(f->sound, READY_TIMEOUT_MS));
}

/* Streams that began through the cut gateway are taken up at a third one after the peer that had
 * them was killed. */
static void play_third(enum cut cut)
{
	g_autoptr(GPtrArray) streams = g_ptr_array_new();
	uint32_t whole = 0;
	struct fixture f;

	fixture_open(&f, cut, true);
	begin_by_way_of_sound(&f, streams);
	kill_sound(&f);
	for (guint i = 0; i < streams->len; i++)
		whole += take_up(&f, f.third, streams->pdata[i]);
	g_test_message("%u of %u streams went on", whole, streams->len);
	g_assert_cmpuint(whole * 2, >=, streams->len);
	fixture_close(&f);
}

static void test_third_refusing(void)
{
	play_third(CUT_REFUSING);
}

static void test_third_silent(void)
{
	play_third(CUT_SILENT);
}

/* The peer is killed with streams that were passed on to it. They look incomplete, and go on at
 * their version at the third gateway, or at the cut one by way of it. */
static void play_peer_dies(enum cut cut)
{
	g_autoptr(GPtrArray) streams = g_ptr_array_new();
	uint32_t whole = 0;
	struct fixture f;

	fixture_open(&f, cut, true);
	begin_by_way_of_sound(&f, streams);
	kill_sound(&f);
	testbed_run(f.testbed, STORE_MS);
	for (guint i = 0; i < streams->len; i++) {
		struct stream *stream = streams->pdata[i];

		raw_caller_read(&stream->caller, SIZE_MAX);
		g_assert_true(stream->caller.closed);
		g_assert_cmpuint(raw_caller_status(&stream->caller), ==, 200);
		g_assert_false(raw_caller_is_whole(&stream->caller));
		g_assert_null(strstr(stream->caller.input->str, "id: 3"));
	}
	for (guint i = 0; i < streams->len; i++)
		whole += take_up(&f, i % 2 ? f.cut : f.third, streams->pdata[i]);
	g_test_message("%u of %u streams went on", whole, streams->len);
	g_assert_cmpuint(whole * 2, >=, streams->len);
	fixture_close(&f);
}

static void test_peer_dies_refusing(void)
{
	play_peer_dies(CUT_REFUSING);
}

static void test_peer_dies_silent(void)
{
	play_peer_dies(CUT_SILENT);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-path-versions/taken-up-refusing", test_taken_up_refusing);
	g_test_add_func("/gateway-path-versions/taken-up-silent", test_taken_up_silent);
	g_test_add_func("/gateway-path-versions/third-refusing", test_third_refusing);
	g_test_add_func("/gateway-path-versions/third-silent", test_third_silent);
	g_test_add_func("/gateway-path-versions/peer-dies-refusing", test_peer_dies_refusing);
	g_test_add_func("/gateway-path-versions/peer-dies-silent", test_peer_dies_silent);
	return g_test_run();
}
