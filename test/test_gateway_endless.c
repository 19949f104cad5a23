/**
 * @file test_gateway_endless.c
 * The gateway program against an upstream that sends bytes without end, in every
 * part of an answer and on many connections at once. Checked are the memory of
 * the process and that requests to another service go on being answered.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "testbed.h"

#include <glib.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define RAW_PORT	 8700
#define RAW_HOST_NUMBER	 120
#define LIST_DELAY_MS	 300
#define CALLERS		 48
#define MANY_CALLERS	 200
#define PIECE_BYTES	 16384
/* Bytes that the gateway buffers for all requests together, and for each one beyond that: the least
 * that a request may have, a read from its upstream and a write to its caller. Buffers grow by
 * doubling. */
#define BUFFERS_MAX_KB	      16384
#define BUFFERS_GROWTH_FACTOR 2
#define REQUEST_MAX_KB	      48
#define RUN_MS		      1200
#define SOUND_BYTES	      200000
#define SOUND_HEADERS	      100
#define SOUND_SKIPPED	      10
#define OTHER_CALLS	      5
#define OTHER_TIMEOUT_MS      1000
#define OTHER_TOKENS	      40
/* Less than the parser's own limit of a head, 80 KiB. */
#define HELD_HEAD_BYTES 81000
/* Less than the limit of an event. */
#define HELD_EVENT_BYTES 1000000

#define SIGNED	       "X-Flamingolatch-Replica-Signature: s\r\n"
#define OWN_HEAD       "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n" SIGNED
#define CHUNKED	       "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS_HEAD    OWN_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define FOREIGN_HEAD   "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: 0ddba11\r\n" SIGNED
#define FOREIGN_ANSWER FOREIGN_HEAD "Content-Length: 4\r\n\r\ndone"
#define LARGEST_BODY   "Content-Length: 4611686018427387904\r\n\r\n" /* 2^62 bytes */
#define REFUSAL_HEAD   "HTTP/1.1 503 Busy\r\nX-Flamingolatch-Not-Executed: 1\r\n"
#define EARLY_HINTS    "HTTP/1.1 103 Early Hints\r\n"
#define TEN_X	       "xxxxxxxxxx"
#define HUNDRED_X      TEN_X TEN_X TEN_X TEN_X TEN_X TEN_X TEN_X TEN_X TEN_X TEN_X
#define THOUSAND_X                                                                                 \
	HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X HUNDRED_X  \
		HUNDRED_X
/* Calls that run at most once, and generations. */
#define ONCE(first, repeated)  .path = "/once/x", .begin = first, .piece = repeated
#define QUICK(first, repeated) .path = "/quick/x", .begin = EVENTS_HEAD first, .piece = repeated

#define MOVE(first, repeated) .path = "/long/x", .begin = first, .piece = repeated, .moves = true
/* More than the expected length, so that the run does not count as near its end. */
#define EVENTS_HEAD_BEFORE_MOVE MOVED_HEAD EVENTS("1") EVENTS("2") EVENTS("3")
#define MOVED_HEAD		"HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\n\r\n"
#define EVENTS(tens)		EVENT(tens "0") EVENT(tens "2") EVENT(tens "4") EVENT(tens "6") EVENT(tens "8")
#define EVENT(number)		"id: " number "\ndata: a\n\n"

/* What an upstream sends to each request, and what callers do. */
struct endless_case {
	const char *name;
	const char *path;
	const char *begin;   /* with places for the id */
	const char *piece;   /* repeated */
	uint32_t held_bytes; /* of pieces, after which nothing follows; 0: without end */
	uint32_t callers;    /* 0: CALLERS */
	bool reads;	     /* callers read what arrives */
	bool leaves;	     /* callers close their connections at once */
	bool moves;	     /* begin and piece answer the calls that copy a KV cache */
	bool ends_quickly;   /* the upstream's connections are closed, long before the deadline */
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateway;
	struct raw_upstream *raw;
	const struct endless_case *endless;
	char *more;
	uint32_t arrivals;
	uint32_t moves; /* requests without an id: calls that copy a KV cache */
};

static void answer_endlessly(void *ctx, struct raw_conn *conn, const char *id)
{
	struct fixture *f = ctx;
	g_auto(GStrv) parts = g_strsplit(f->endless->begin, "%ID%", 0);
	g_autofree char *begin = g_strjoinv(id, parts);

	if (f->endless->moves && *id) {
		f->arrivals++;
		raw_conn_write(conn, EVENTS_HEAD_BEFORE_MOVE);
		return;
	}
	f->moves += !*id;
	f->arrivals += *id != '\0';
	raw_conn_write(conn, begin);
	if (f->endless->held_bytes)
		raw_conn_write(conn, f->more);
	else
		raw_conn_write_endlessly(conn, f->more);
}

static bool is_plain(const struct endless_case *endless)
{
	return g_str_equal(endless->path, "/safe/x") || g_str_equal(endless->path, "/once/x");
}

/* Writes the entry of the endless upstream to the store. */
static void list_raw(struct fixture *f, const char *state)
{
	g_autofree char *ip = testbed_ip(f->testbed, RAW_HOST_NUMBER);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"slots\":%d,"
		"\"state\":\"%s\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
		is_plain(f->endless) ? TESTBED_PLAIN_SERVICE : TESTBED_ENGINE_SERVICE, ip, RAW_PORT,
		2 * MANY_CALLERS, state);

	mock_store_put(f->platform, "servers", "raw", entry);
}

/* Starts a gateway, the endless upstream of one service and a sound one of the other. */
static void fixture_open(struct fixture *f, const struct endless_case *endless)
{
	g_autoptr(GString) more = g_string_new(NULL);
	g_autofree char *ip = NULL;

	*f = (struct fixture){ .endless = endless };
	while (more->len < (endless->held_bytes ? endless->held_bytes : PIECE_BYTES))
		g_string_append(more, endless->piece);
	f->more = g_strdup(more->str);
	f->testbed = testbed_create(7);
	f->platform = testbed_platform(f->testbed);
	mock_upstream_list(testbed_upstream(f->testbed, "sound", is_plain(endless), 1));
	testbed_set_call_timeout(f->testbed, RAW_CALLER_TIMEOUT_MS);
	testbed_configure(f->testbed, NULL, NULL);
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_TIMEOUT_MS));
	ip = testbed_ip(f->testbed, RAW_HOST_NUMBER);
	f->raw = raw_upstream_create(testbed_loop(f->testbed), ip, RAW_PORT, answer_endlessly, f);
	list_raw(f, "ready");
	testbed_run(f->testbed, LIST_DELAY_MS);
}

static void fixture_close(struct fixture *f)
{
	raw_upstream_destroy(f->raw);
	testbed_destroy(f->testbed);
	g_free(f->more);
}

/* Returns the largest resident size of a gateway's process so far, in kB. */
static uint64_t peak_memory_kb(const struct testbed_gateway *gateway)
{
	const char *pid = g_subprocess_get_identifier(gateway->process);
	g_autofree char *path = g_strdup_printf("/proc/%s/status", pid);
	g_autofree char *text = NULL;
	const char *line;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmHWM:");
	return line ? g_ascii_strtoull(line + strlen("VmHWM:"), NULL, 10) : 0;
}

/* Returns what a gateway has buffered for its requests now, in kB. */
static uint64_t buffered_kb(struct fixture *f)
{
	static const char name[] = "\nflamingolatch_buffered_bytes ";
	g_autofree char *text = testbed_get(f->testbed, f->gateway->metrics_address, "/metrics");
	const char *line = text ? strstr(text, name) : NULL;

	g_assert_nonnull(line);
	return g_ascii_strtoull(line + strlen(name), NULL, 10) / 1024;
}

/* Checks the growth of the process. The sanitizer's memory grows more than the program's. */
static void check_growth(uint64_t growth_kb, uint32_t requests)
{
#if !defined(__SANITIZE_ADDRESS__)
	g_assert_cmpuint(growth_kb, <,
			 BUFFERS_GROWTH_FACTOR * BUFFERS_MAX_KB + requests * REQUEST_MAX_KB);
#else
	(void)growth_kb;
	(void)requests;
#endif
}

/* Sends requests to the sound upstream. Returns how long the slowest took, in ms. */
static uint64_t call_others(struct fixture *f)
{
	struct testbed_request request = {
		.path = is_plain(f->endless) ? "/quick/" : "/once/",
		.key = TESTBED_KEY,
		.output_tokens = is_plain(f->endless) ? OTHER_TOKENS : 0,
		.wait_ms = 2 * OTHER_TIMEOUT_MS,
	};
	uint64_t slowest_ms = 0;

	for (uint32_t i = 0; i < OTHER_CALLS; i++) {
		struct testbed_answer got = testbed_call(f->gateway, &request);

		g_assert_cmpuint(got.status, ==, 200);
		g_assert_false(got.broken);
		slowest_ms = MAX(slowest_ms, got.ended_ms - got.sent_ms);
		testbed_answer_clear(&got);
	}
	return slowest_ms;
}

/* Opens many connections to the endless upstream. Neither the memory of the process nor the
 * requests of others suffer. */
static void check_endless(const void *data)
{
	const struct endless_case *endless = data;
	uint32_t count = endless->callers ? endless->callers : CALLERS;
	struct raw_caller callers[MANY_CALLERS];
	uint64_t before_kb;
	uint64_t growth_kb;
	uint64_t other_ms;
	uint64_t buffered_max_kb = 0;
	struct fixture f;

	fixture_open(&f, endless);
	call_others(&f);
	before_kb = peak_memory_kb(f.gateway);
	for (uint32_t i = 0; i < count; i++) {
		g_autofree char *id = g_strdup_printf("ed%02x", i);

		callers[i] = raw_caller_open(f.gateway, id, endless->path);
	}
	if (endless->moves) {
		testbed_run(f.testbed, LIST_DELAY_MS);
		mock_upstream_list(testbed_upstream(f.testbed, "target", true, 2));
		list_raw(&f, "draining");
	}
	for (uint32_t ms = 0; ms < RUN_MS; ms += 20) {
		testbed_run(f.testbed, 20);
		if (ms % 200 == 0)
			buffered_max_kb = MAX(buffered_max_kb, buffered_kb(&f));
		for (uint32_t i = 0; i < count && endless->leaves && ms == 100; i++)
			raw_caller_close(&callers[i]);
		for (uint32_t i = 0; i < count && endless->reads; i++) {
			raw_caller_read(&callers[i], SIZE_MAX);
			g_string_truncate(callers[i].input, 0);
		}
	}
	g_assert_false(testbed_has_exited(f.gateway));
	buffered_max_kb = MAX(buffered_max_kb, buffered_kb(&f));
	other_ms = call_others(&f);
	growth_kb = peak_memory_kb(f.gateway) - before_kb;
	g_test_message("%u arrivals, %u moves, %" G_GUINT64_FORMAT
		       " kB before, grew by %" G_GUINT64_FORMAT " kB, %" G_GUINT64_FORMAT
		       " kB buffered, others took %" G_GUINT64_FORMAT " ms, %u connections open",
		       f.arrivals, f.moves, before_kb, growth_kb, buffered_max_kb, other_ms,
		       raw_upstream_conn_count(f.raw));
	g_assert_true(!endless->moves || f.moves > 0);
	/* An upstream that fails is avoided. */
	g_assert_cmpuint(f.arrivals, >=,
			 endless->ends_quickly || endless->held_bytes ? 1 : count / 2);
	g_assert_cmpuint(buffered_max_kb, <, BUFFERS_MAX_KB + count * REQUEST_MAX_KB);
	check_growth(growth_kb, count);
	g_assert_cmpuint(other_ms, <, OTHER_TIMEOUT_MS);
	if (endless->ends_quickly)
		g_assert_cmpuint(raw_upstream_conn_count(f.raw), ==, 0);
	for (uint32_t i = 0; i < count && !endless->leaves; i++)
		raw_caller_close(&callers[i]);
	fixture_close(&f);
}

static const struct endless_case cases[] = {
	{ .name = "held-header",
	  ONCE("HTTP/1.1 200 OK\r\nX-A: ", "x"),
	  .held_bytes = HELD_HEAD_BYTES,
	  .ends_quickly = true },
	{ .name = "held-headers",
	  ONCE("HTTP/1.1 200 OK\r\n", "a:\n"),
	  .held_bytes = HELD_HEAD_BYTES,
	  .ends_quickly = true },
	{ .name = "held-trailers",
	  ONCE(OWN_HEAD CHUNKED "0\r\n", "a:\n"),
	  .held_bytes = HELD_HEAD_BYTES,
	  .ends_quickly = true },
	{ .name = "early-hints", ONCE("", EARLY_HINTS "\r\n"), .ends_quickly = true },
	{ .name = "early-hints-body",
	  ONCE(EARLY_HINTS CHUNKED, "a\r\n0123456789\r\n"),
	  .ends_quickly = true },
	{ .name = "foreign-answers", ONCE("", FOREIGN_ANSWER), .ends_quickly = true },
	{ .name = "foreign-body", ONCE(FOREIGN_HEAD "\r\n", "x"), .ends_quickly = true },
	{ .name = "chunk-extensions",
	  ONCE(OWN_HEAD CHUNKED, "1;" THOUSAND_X "\r\nx\r\n"),
	  .reads = true },
	{ .name = "largest-length", ONCE(OWN_HEAD LARGEST_BODY, "x") },
	{ .name = "largest-length-read", ONCE(OWN_HEAD LARGEST_BODY, "x"), .reads = true },
	{ .name = "largest-length-left",
	  ONCE(OWN_HEAD LARGEST_BODY, "x"),
	  .leaves = true,
	  .ends_quickly = true },
	{ .name = "largest-length-many",
	  ONCE(OWN_HEAD LARGEST_BODY, "x"),
	  .callers = MANY_CALLERS },
	{ .name = "largest-length-many-left",
	  ONCE(OWN_HEAD LARGEST_BODY, "x"),
	  .callers = MANY_CALLERS,
	  .leaves = true,
	  .ends_quickly = true },
	{ .name = "until-close", .path = "/safe/x", .begin = OWN_HEAD "\r\n", .piece = "x" },
	{ .name = "error",
	  ONCE("HTTP/1.1 500 Error\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n" SIGNED "\r\n", "x") },
	{ .name = "refusal", ONCE(REFUSAL_HEAD LARGEST_BODY, "x"), .ends_quickly = true },
	{ .name = "unsigned", ONCE("HTTP/1.1 200 OK\r\n\r\n", "x"), .ends_quickly = true },
	{ .name = "after-answer",
	  ONCE(OWN_HEAD "Content-Length: 4\r\n\r\ndone", "x"),
	  .ends_quickly = true },
	{ .name = "event", QUICK("id: 1\ndata: ", "x"), .ends_quickly = true },
	{ .name = "held-event", QUICK("id: 1\ndata: ", "x"), .held_bytes = HELD_EVENT_BYTES },
	{ .name = "comments", QUICK("", ":\n\n"), .ends_quickly = true },
	{ .name = "comments-read", QUICK("", ":\n\n"), .reads = true, .ends_quickly = true },
	{ .name = "blank-lines-read", QUICK("", "\n"), .reads = true, .ends_quickly = true },
	{ .name = "move-body", MOVE("HTTP/1.1 200 OK\r\n\r\n", " ") },
	{ .name = "move-headers", MOVE("HTTP/1.1 200 OK\r\n", "a:\n") },
	{ .name = "move-hints", MOVE("", EARLY_HINTS "\r\n") },
	{ .name = "generation-comments-read",
	  .path = "/long/x",
	  .begin = EVENTS_HEAD,
	  .piece = ":\n\n",
	  .reads = true,
	  .ends_quickly = true },
};

/* What is sound passes: interim responses, another one's answer, and a head that is long. */
static void test_sound(void)
{
	g_autoptr(GString) begin = g_string_new(NULL);
	struct endless_case sound = { .path = "/once/x", .piece = "x", .held_bytes = SOUND_BYTES };
	struct raw_caller caller;
	struct fixture f;

	for (uint32_t i = 0; i < SOUND_SKIPPED; i++)
		g_string_append(begin, EARLY_HINTS "Content-Length: 4\r\n\r\n" FOREIGN_ANSWER);
	g_string_append(begin, OWN_HEAD);
	for (uint32_t i = 0; i < SOUND_HEADERS; i++)
		g_string_append(begin, "X-A: " HUNDRED_X "\r\n");
	g_string_append_printf(begin, "Content-Length: %d\r\n\r\n", SOUND_BYTES);
	sound.begin = begin->str;
	fixture_open(&f, &sound);
	caller = raw_caller_open(f.gateway, "50d0", sound.path);
	testbed_run(f.testbed, RUN_MS);
	raw_caller_read(&caller, SIZE_MAX);
	g_assert_cmpuint(raw_caller_status(&caller), ==, 200);
	g_assert_true(raw_caller_is_whole(&caller));
	g_assert_cmpuint(caller.input->len, >, SOUND_BYTES + SOUND_HEADERS * strlen(HUNDRED_X));
	raw_caller_close(&caller);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf("/gateway-endless/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], check_endless);
	}
	g_test_add_func("/gateway-endless/sound", test_sound);
	return g_test_run();
}
