/**
 * @file test_gateway_raw.c
 * The gateway program against upstreams that send bytes which are no proper
 * answer: without length, twice, without end, or too slowly, and against many
 * connections at a planned stop. Checked is what callers get.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define RAW_PORT	 8700
#define RAW_HOST_NUMBER	 120
#define QUICK_TOKENS	 RAW_CALLER_TOKENS
#define QUICK_EVENTS	 10 /* of four tokens */
#define QUICK_TIMEOUT_MS RAW_CALLER_TIMEOUT_MS
#define STOP_CALLERS	 300
#define NEW_ENGINE_MS	 1500

/* A gateway, a raw upstream of one service, and a sound one of each service. */
struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateway;
	struct mock_upstream *engine;
	struct mock_upstream *shop;
	struct raw_upstream *raw;
};

static void fixture_open(struct fixture *f)
{
	*f = (struct fixture){ 0 };
	f->testbed = testbed_create(7);
	f->platform = testbed_platform(f->testbed);
	f->engine = testbed_upstream(f->testbed, "engine-1", true, 1);
	f->shop = testbed_upstream(f->testbed, "shop-1", false, 2);
	testbed_configure(f->testbed, NULL, NULL);
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_TIMEOUT_MS));
}

static void fixture_close(struct fixture *f)
{
	if (f->raw)
		raw_upstream_destroy(f->raw);
	testbed_destroy(f->testbed);
}

/* Starts a raw upstream of a service and lists it in a zone. */
static struct raw_upstream *start_raw(struct fixture *f, const char *id, uint32_t number,
				      const char *zone, const char *service, raw_upstream_cb cb,
				      void *ctx)
{
	g_autofree char *ip = testbed_ip(f->testbed, number);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"slots\":8,"
		"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
		service, ip, RAW_PORT, zone);
	struct raw_upstream *raw =
		raw_upstream_create(testbed_loop(f->testbed), ip, RAW_PORT, cb, ctx);

	mock_store_put(f->platform, "servers", id, entry);
	testbed_run(f->testbed, 300);
	return raw;
}

/* Starts the raw upstream of the fixture. */
static void add_raw(struct fixture *f, const char *service, raw_upstream_cb cb, void *ctx)
{
	f->raw = start_raw(f, "raw", RAW_HOST_NUMBER, "z1", service, cb, ctx);
}

static const struct testbed_request once = { .path = "/once/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };
static const struct testbed_request quick = { .path = "/quick/",
					      .key = TESTBED_KEY,
					      .output_tokens = QUICK_TOKENS,
					      .wait_ms = QUICK_TIMEOUT_MS };

/* streams without length and chunks */

#define STREAM_HEAD                                                                                \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"                              \
	"Content-Type: text/event-stream\r\n"

static void answer_and_close(void *ctx, struct raw_conn *conn, const char *id)
{
	const char *const *answer = ctx;

	(void)id;
	raw_conn_close(conn);
	raw_conn_write(conn, *answer);
}

/* A stream that ends with its connection before its first event, or inside an event, is not
 * delivered as complete. */
static void test_unframed_stream(void)
{
	static const struct {
		const char *answer;
		bool complete;
	} cases[] = {
		{ STREAM_HEAD "\r\nid: 1\ndata: a\n\nid: 2\ndata: end\n\n", true },
		{ STREAM_HEAD "\r\n", false },
		{ STREAM_HEAD "\r\nid: 1\nda", false },
		{ STREAM_HEAD "\r\nid: 1\ndata: a\n\nid: 2\nda", false },
	};
	struct testbed_request request = quick;
	const char *answer = NULL;
	struct fixture f;

	fixture_open(&f);
	add_raw(&f, TESTBED_ENGINE_SERVICE, answer_and_close, &answer);
	request.path = "/long/";
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct testbed_answer got;

		answer = cases[i].answer;
		got = testbed_call(f.gateway, &request);
		g_test_message("case %zu: status %u, broken %d", i, got.status, got.broken);
		g_assert_true((got.status == 200 && !got.broken) == cases[i].complete);
		testbed_answer_clear(&got);
	}
	fixture_close(&f);
}

/* answers that were begun and cannot go on */

#define CHUNKED_STREAM_HEAD STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT	    "f\r\nid: 1\ndata: a\n\n\r\n"
/* Enough events that the engine's end is not put down to the request. */
#define MORE_EVENTS FIRST_EVENT FIRST_EVENT FIRST_EVENT FIRST_EVENT FIRST_EVENT FIRST_EVENT
#define ERROR_TEXT  "engine on fire"
#define ERROR_ANSWER                                                                               \
	"HTTP/1.1 500 Internal Server Error\r\nX-Flamingolatch-Replica-Signature: s\r\n"           \
	"Content-Length: 14\r\n\r\n" ERROR_TEXT
#define LONG_ANSWER_BYTES 400000

/* What an upstream does with each request. */
struct begun_case {
	const char *path;
	const char *text;
	bool breaks;	     /* closes the connection after the text */
	uint32_t long_bytes; /* sent after the text; 0: none */
	uint32_t arrivals;
};

static void answer_begun(void *ctx, struct raw_conn *conn, const char *id)
{
	struct begun_case *begun = ctx;
	g_autofree char *body =
		begun->long_bytes ? g_strnfill(begun->long_bytes, 'x') : g_strdup("");
	g_autofree char *text = g_strconcat(begun->text, body, NULL);

	(void)id;
	begun->arrivals++;
	if (begun->breaks)
		raw_conn_close(conn);
	raw_conn_write(conn, text);
}

static uint32_t count_text(const GString *input, const char *text)
{
	uint32_t count = 0;

	for (const char *at = strstr(input->str, text); at; at = strstr(at + 1, text))
		count++;
	return count;
}

/* A caller whose answer has begun gets no byte of another answer or of an error of ours, and sees
 * that its answer is not complete: review/3, and an error of the next engine. */
static void test_begun_answer_cut(void)
{
	struct begun_case first[] = {
		/* No other engine: the request waits for this one until its deadline. */
		{ .path = "/quick/x", .text = CHUNKED_STREAM_HEAD FIRST_EVENT },
		{ .path = "/quick/x", .text = CHUNKED_STREAM_HEAD FIRST_EVENT, .breaks = true },
		/* The next engine answers with an error. */
		{ .path = "/quick/x", .text = CHUNKED_STREAM_HEAD MORE_EVENTS, .breaks = true },
		/* An answer that is no stream and was begun cannot go on elsewhere. */
		{ .path = "/safe/x",
		  .text = "HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"
			  "Content-Length: 500000\r\n\r\n",
		  .breaks = true,
		  .long_bytes = LONG_ANSWER_BYTES },
	};
	struct begun_case error = { .text = ERROR_ANSWER };
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(first); i++) {
		bool plain = first[i].path[1] == 's';
		const char *service = plain ? TESTBED_PLAIN_SERVICE : TESTBED_ENGINE_SERVICE;
		struct raw_upstream *next = NULL;
		struct raw_caller caller;
		g_autofree char *log = NULL;

		fixture_open(&f);
		add_raw(&f, service, answer_begun, &first[i]);
		/* The instance prefers its own zone. */
		if (i >= 2)
			next = start_raw(&f, "raw-2", RAW_HOST_NUMBER + 1, "z2", service,
					 answer_begun, &error);
		/* Until then engines of other zones are not used. */
		testbed_run(f.testbed, next ? NEW_ENGINE_MS : 0);
		caller = raw_caller_open(f.gateway, "be0001", first[i].path);
		for (uint32_t ms = 0; ms < QUICK_TIMEOUT_MS + 500 && !caller.closed; ms += 20) {
			testbed_run(f.testbed, 20);
			raw_caller_read(&caller, SIZE_MAX);
		}
		g_test_message("case %zu: %zu bytes, %u arrivals, %u at the next", i,
			       caller.input->len, first[i].arrivals, error.arrivals);
		log = testbed_log_lines(f.gateway, "be0001");
		g_test_message("log: %s", log);
		g_assert_true(caller.closed);
		g_assert_cmpuint(first[i].arrivals, ==, 1);
		g_assert_cmpuint(error.arrivals, ==, i == 2);
		g_assert_cmpuint(count_text(caller.input, "HTTP/1.1 "), ==, 1);
		g_assert_cmpuint(count_text(caller.input, ERROR_TEXT), ==, 0);
		g_assert_cmpuint(count_text(caller.input, "not_run"), ==, 0);
		g_assert_false(g_str_has_suffix(caller.input->str, "0\r\n\r\n"));
		raw_caller_close(&caller);
		if (next)
			raw_upstream_destroy(next);
		error.arrivals = 0;
		fixture_close(&f);
	}
}

/* upstreams that are silent for a while */

#define SILENT_MS 2500 /* longer than the time after which a stream is resumed elsewhere */

/* Sends the rest of an answer after a silence. */
struct silent_case {
	const char *path;
	const char *begin;
	const char *rest;
};

static void answer_after_silence(void *ctx, struct raw_conn *conn, const char *id)
{
	const struct silent_case *silent = ctx;

	(void)id;
	raw_conn_write(conn, silent->begin);
	raw_conn_write_later(conn, silent->rest, strcmp(silent->path, "/safe/x") ? SILENT_MS : 1300,
			     false);
}

/* An upstream that is silent and then goes on is waited for when no other can take the request. */
static void test_silent_upstream_kept(void)
{
	struct silent_case cases[] = {
		{ "/quick/x", CHUNKED_STREAM_HEAD FIRST_EVENT,
		  "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n" },
		{ "/quick/x", CHUNKED_STREAM_HEAD, "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n" },
		{ "/safe/x", "",
		  "HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"
		  "Content-Length: 4\r\n\r\ndone" },
	};
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct raw_caller caller;
		const char *end = i < 2 ? "0\r\n\r\n" : "done";

		fixture_open(&f);
		add_raw(&f, i < 2 ? TESTBED_ENGINE_SERVICE : TESTBED_PLAIN_SERVICE,
			answer_after_silence, &cases[i]);
		caller = raw_caller_open(f.gateway, "511e", cases[i].path);
		for (uint32_t ms = 0; ms < QUICK_TIMEOUT_MS && !caller.closed &&
				      !g_str_has_suffix(caller.input->str, end);
		     ms += 20) {
			testbed_run(f.testbed, 20);
			raw_caller_read(&caller, SIZE_MAX);
		}
		g_test_message("case %zu: %s", i, caller.input->str);
		g_assert_true(g_str_has_prefix(caller.input->str, "HTTP/1.1 200 "));
		g_assert_true(g_str_has_suffix(caller.input->str, end));
		raw_caller_close(&caller);
		fixture_close(&f);
	}
}

/* garbage inside a stream */

#define THREE_EVENTS "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

/* What follows three events in the body of a stream without length is passed on only if it is a
 * further event: a second answer, other bytes or an old event are no part of the run. */
static void test_garbage_in_stream(void)
{
	static const char *const garbage[] = {
		"HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: t\r\n\r\nid: 4\ndata: z\n\n",
		"%%%% z %%%%\n\n",
		"data: z\n\n",
		"id: \ndata: z\n\n",
		"id: 3\ndata: z\n\n",
		"id: 1\ndata: z\n\n",
		"id: z\ndata: z\n\n",
		"z z\nid: 4\ndata: z\n\n",
	};
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(garbage); i++) {
		g_autofree char *text =
			g_strconcat(STREAM_HEAD "\r\n" THREE_EVENTS, garbage[i], NULL);
		struct begun_case begun = { .text = text, .breaks = true };
		struct raw_caller caller;

		fixture_open(&f);
		add_raw(&f, TESTBED_ENGINE_SERVICE, answer_begun, &begun);
		caller = raw_caller_open(f.gateway, "9a0001", "/long/x");
		for (uint32_t ms = 0; ms < QUICK_TIMEOUT_MS && !caller.closed &&
				      !g_str_has_suffix(caller.input->str, "0\r\n\r\n");
		     ms += 20) {
			testbed_run(f.testbed, 20);
			raw_caller_read(&caller, SIZE_MAX);
		}
		g_test_message("case %zu: %s", i, caller.input->str);
		g_assert_cmpuint(count_text(caller.input, "data: c"), ==, 1);
		g_assert_cmpuint(count_text(caller.input, "HTTP/1.1 "), ==, 1);
		g_assert_null(strchr(caller.input->str, 'z'));
		g_assert_true(caller.closed);
		g_assert_false(g_str_has_suffix(caller.input->str, "0\r\n\r\n"));
		raw_caller_close(&caller);
		fixture_close(&f);
	}
}

/* answers that have no body by their status */

#define BODY_TEXT "zzzz"

/* Bytes after the head of a 204 or 304 are no part of the answer, whatever length it claims: they
 * would be read as the next answer on the caller's connection. */
static void test_bodiless_status(void)
{
	static const char *const statuses[] = { "204 No Content", "304 Not Modified" };
	static const char *const bodies[] = {
		"Content-Length: 4\r\n\r\n" BODY_TEXT,
		"Transfer-Encoding: chunked\r\n\r\n4\r\n" BODY_TEXT "\r\n0\r\n\r\n",
		"\r\n" BODY_TEXT,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(statuses) * G_N_ELEMENTS(bodies); i++) {
		g_autofree char *text =
			g_strdup_printf("HTTP/1.1 %s\r\nX-Flamingolatch-Replica-Signature: s\r\n%s",
					statuses[i % 2], bodies[i / 2]);
		struct begun_case begun = { .text = text };
		struct raw_caller caller;
		struct fixture f;

		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, answer_begun, &begun);
		caller = raw_caller_open(f.gateway, "b0d1", "/once/x");
		testbed_run(f.testbed, 500);
		raw_caller_read(&caller, SIZE_MAX);
		g_test_message("case %zu: %s", i, caller.input->str);
		g_assert_cmpuint(raw_caller_status(&caller), ==, i % 2 ? 304 : 204);
		g_assert_null(strchr(caller.input->str, 'z'));
		raw_caller_close(&caller);
		fixture_close(&f);
	}
}

/* answers with an invalid status */

#define SOUND_CALL                                                                                 \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n"                                  \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone"
#define SOUND_STREAM                                                                               \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n"                                  \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"              \
	"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"
#define LEAVING_LINE	 "\r\nServer-Leaving: 1"
#define NOT_RUN_LINE	 "\r\nX-Flamingolatch-Not-Executed: 1"
#define CLOSE_LINE	 "\r\nConnection: close"
#define NO_COPY		 "HTTP/1.1 503 No Copy" NOT_RUN_LINE "\r\nContent-Length: 0\r\n\r\n"
#define SOUND_ID	 "0ea" /* with which the ids of requests begin that get a sound answer */
#define STATUS_UPSTREAMS 2

/* How upstreams answer a request: the first attempt, or all, with an invalid status. */
struct status_case {
	const char *sound;  /* answer, with a place for the id */
	const char *status; /* what follows the version in the others */
	bool fresh;	    /* sound answers leave no idle connections */
	bool refuses;	    /* invalid ones say that the request has not run */
	bool always;
	uint32_t arrivals;
	uint32_t upstream;    /* that had the first attempt */
	uint64_t conn;	      /* of that attempt */
	uint32_t reuse_count; /* of such connections that had a request before, over all cases */
};

struct status_upstream {
	struct status_case *status_case;
	uint32_t number;
};

static void answer_status(void *ctx, struct raw_conn *conn, const char *id)
{
	const struct status_upstream *upstream = ctx;
	struct status_case *c = upstream->status_case;
	g_auto(GStrv) parts = g_strsplit(c->sound, "%ID%", 2);
	g_autofree char *sound = g_strjoinv(id, parts);
	const char *headers = strstr(sound, "\r\n");
	g_autofree char *text = NULL;

	/* No engine has a copy of a generation that was not begun. */
	if (strstr(raw_conn_request_head(conn), "\r\nkv-from: ")) {
		raw_conn_write(conn, NO_COPY);
		return;
	}
	if (g_str_has_prefix(id, SOUND_ID) || (c->arrivals++ > 0 && !c->always)) {
		text = g_strconcat("HTTP/1.1 200 OK", c->fresh ? CLOSE_LINE : "", headers, NULL);
	} else {
		text = g_strconcat("HTTP/1.1", c->status, LEAVING_LINE,
				   c->refuses ? NOT_RUN_LINE : "", headers, NULL);
		if (c->arrivals == 1) {
			c->upstream = upstream->number;
			c->conn = raw_conn_number(conn);
			c->reuse_count += raw_conn_request_count(conn) > 1;
		}
	}
	raw_conn_write(conn, text);
}

static void wait_whole(const struct fixture *f, struct raw_caller *caller)
{
	for (uint32_t ms = 0;
	     ms < QUICK_TIMEOUT_MS && !caller->closed && !raw_caller_is_whole(caller); ms += 10) {
		testbed_run(f->testbed, 10);
		raw_caller_read(caller, SIZE_MAX);
	}
}

/* Sends a request and waits for the end of its answer. */
static struct raw_caller call_raw(const struct fixture *f, const char *id, const char *path)
{
	struct raw_caller caller = raw_caller_open(f->gateway, id, path);

	wait_whole(f, &caller);
	return caller;
}

/* Sends requests together that get a sound answer, so that no upstream is avoided. */
static void call_soundly(const struct fixture *f, uint32_t number, const char *path)
{
	struct raw_caller callers[2 * STATUS_UPSTREAMS];

	for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		g_autofree char *id = g_strdup_printf(SOUND_ID "%02x%u", number, i);

		callers[i] = raw_caller_open(f->gateway, id, path);
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		wait_whole(f, &callers[i]);
		g_assert_cmpuint(raw_caller_status(&callers[i]), ==, 200);
		raw_caller_close(&callers[i]);
	}
}

/* A response with an invalid status is no answer: the caller gets that of a retry, or 502, as the
 * request may have run; never a refusal. The upstream counts as failing, and its connection is
 * closed. */
static void check_invalid_status(const char *path, const char *service, bool rerun)
{
	static const char *const statuses[] = { " 000 OK",  " 099 OK", " 600 OK",  " 0200 OK",
						" 1000 OK", " abc OK", " +200 OK", "" };
	struct status_case c = { .sound = strcmp(service, TESTBED_PLAIN_SERVICE) ? SOUND_STREAM
										 : SOUND_CALL };
	struct status_upstream upstreams[STATUS_UPSTREAMS];
	struct raw_upstream *raws[STATUS_UPSTREAMS];
	g_autofree char *departures = NULL;
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < STATUS_UPSTREAMS; i++) {
		g_autofree char *name = g_strdup_printf("raw-%u", i);

		upstreams[i] = (struct status_upstream){ &c, i };
		raws[i] = start_raw(&f, name, RAW_HOST_NUMBER + i, "z1", service, answer_status,
				    &upstreams[i]);
	}
	testbed_run(f.testbed, NEW_ENGINE_MS);
	for (uint32_t i = 0; i < 4 * G_N_ELEMENTS(statuses); i++) {
		g_autofree char *id = g_strdup_printf("0eb%02x", i);
		struct raw_caller caller;

		c.fresh = i % 2;
		c.refuses = i / 2 % 2;
		c.status = statuses[i / 4];
		c.always = i + 1 == 4 * G_N_ELEMENTS(statuses);
		call_soundly(&f, i, path);
		c.arrivals = 0;
		caller = call_raw(&f, id, path);
		g_test_message("%s%s, case %u: %u arrivals, %s", path, c.status, i, c.arrivals,
			       caller.input->str);
		g_assert_cmpuint(raw_caller_status(&caller), ==, rerun && !c.always ? 200 : 502);
		g_assert_cmpuint(c.arrivals, ==, rerun ? 2 : 1);
		g_assert_true(raw_caller_is_whole(&caller));
		g_assert_null(strstr(caller.input->str, "not_run"));
		g_assert_null(raw_upstream_find_conn(raws[c.upstream], c.conn));
		raw_caller_close(&caller);
	}
	g_test_message("%u of the connections were reused", c.reuse_count);
	g_assert_cmpuint(c.reuse_count, >, 0);
	g_assert_cmpuint(c.reuse_count, <, 4 * G_N_ELEMENTS(statuses));
	/* Headers of an invalid response do not count. */
	departures = testbed_log_lines(f.gateway, "upstream-departure");
	g_assert_cmpstr(departures, ==, "");
	for (uint32_t i = 0; i < STATUS_UPSTREAMS; i++)
		raw_upstream_destroy(raws[i]);
	fixture_close(&f);
}

static void test_invalid_status_once(void)
{
	check_invalid_status("/once/x", TESTBED_PLAIN_SERVICE, false);
}

static void test_invalid_status_safe(void)
{
	check_invalid_status("/safe/x", TESTBED_PLAIN_SERVICE, true);
}

static void test_invalid_status_long(void)
{
	check_invalid_status("/long/x", TESTBED_ENGINE_SERVICE, false);
}

static void test_invalid_status_quick(void)
{
	check_invalid_status("/quick/x", TESTBED_ENGINE_SERVICE, true);
}

/* An upstream that goes on to answer with an invalid status is avoided. */
static void test_invalid_status_suspends(void)
{
	struct status_case c = { .sound = SOUND_CALL, .status = " 000 OK", .always = true };
	struct status_upstream upstream = { &c, 0 };
	struct fixture f;
	g_autofree char *state = NULL;

	fixture_open(&f);
	add_raw(&f, TESTBED_PLAIN_SERVICE, answer_status, &upstream);
	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *id = g_strdup_printf("0eb%u", i);
		struct raw_caller caller = call_raw(&f, id, "/once/x");

		g_assert_cmpuint(raw_caller_status(&caller), ==, 502);
		raw_caller_close(&caller);
	}
	state = testbed_get(f.testbed, f.gateway->metrics_address, "/state");
	g_assert_nonnull(state);
	g_test_message("%s", state);
	g_assert_nonnull(strstr(state, "\"failure_share\":0.2"));
	fixture_close(&f);
}

/* second copies of an answer */

/* How a second copy of an answer is sent. */
struct copies {
	uint32_t delay_ms; /* after the answer */
	bool in_use;	   /* ahead of the next answer on the connection */
	char *last;	   /* answer that was sent last */
};

static void answer_twice(void *ctx, struct raw_conn *conn, const char *id)
{
	struct copies *copies = ctx;
	char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
				       "X-Flamingolatch-Replica-Signature: s\r\n"
				       "Content-Length: %zu\r\n\r\n%s",
				       id, strlen(id), id);

	if (copies->in_use && copies->last) {
		raw_conn_write(conn, copies->last);
		raw_conn_write_later(conn, answer, 10, false);
	} else {
		raw_conn_write(conn, answer);
		if (!copies->in_use)
			raw_conn_write_later(conn, answer, copies->delay_ms, false);
	}
	g_free(copies->last);
	copies->last = answer;
}

#define REFUSAL		"HTTP/1.1 503 Busy\r\nX-Flamingolatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
#define MISDIRECTED	"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
#define REFUSAL_COPY_MS 150
#define NEXT_CALL_MS	60 /* after the refusal, before its copy */
#define NEXT_ANSWER_MS	250

/* An upstream that refuses the first request, and its copy comes late. */
struct late_refusal {
	const char *refusal;
	uint32_t arrivals;
	uint32_t runs;
};

static void refuse_first(void *ctx, struct raw_conn *conn, const char *id)
{
	struct late_refusal *late = ctx;
	g_autofree char *answer = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
		"X-Flamingolatch-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
		id);

	if (late->arrivals++ == 0 && late->refusal) {
		raw_conn_write(conn, late->refusal);
		raw_conn_write_later(conn, late->refusal, REFUSAL_COPY_MS, false);
		return;
	}
	late->runs++;
	if (!late->refusal) {
		raw_conn_write(conn, answer);
		return;
	}
	/* On the connection of the refusal, its copy is still to come. */
	if (raw_conn_has_later(conn))
		return;
	raw_conn_write_later(conn, answer, NEXT_ANSWER_MS, false);
}

/* review/4: a late copy of a refusal without an id is not taken for the refusal of the next call on
 * the connection, which then ran a second time elsewhere. */
static void test_late_refusal(void)
{
	static const char *const refusals[] = { REFUSAL, MISDIRECTED };

	for (size_t i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct late_refusal near = { .refusal = refusals[i] };
		struct late_refusal far = { 0 };
		struct raw_caller callers[2];
		struct raw_upstream *other;
		struct fixture f;

		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, refuse_first, &near);
		other = start_raw(&f, "raw-2", RAW_HOST_NUMBER + 1, "z2", TESTBED_PLAIN_SERVICE,
				  refuse_first, &far);
		for (uint32_t call = 0; call < 2; call++) {
			g_autofree char *id = g_strdup_printf("4ef%u", call);

			callers[call] = raw_caller_open(f.gateway, id, "/once/x");
			testbed_run(f.testbed, NEXT_CALL_MS);
		}
		testbed_run(f.testbed, 1000);
		g_test_message("refusal %zu: near %u arrivals, %u runs; far %u runs", i,
			       near.arrivals, near.runs, far.runs);
		for (uint32_t call = 0; call < 2; call++) {
			raw_caller_read(&callers[call], SIZE_MAX);
			g_assert_true(g_str_has_prefix(callers[call].input->str, "HTTP/1.1 200 "));
			raw_caller_close(&callers[call]);
		}
		g_assert_cmpuint(near.runs + far.runs, ==, 2);
		raw_upstream_destroy(other);
		fixture_close(&f);
	}
}

#define RESENT_REFUSAL                                                                             \
	"HTTP/1.1 503 Busy\r\nX-Flamingolatch-Attempt-Id: %s\r\n"                                  \
	"X-Flamingolatch-Not-Executed: 1\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n"
#define RESENT_ANSWER_MS 30

/* An upstream that refuses the first request, and sends its refusal again when the next answer is
 * expected on the connection. */
struct resent_refusal {
	char *copy;	    /* refusal to be sent again; NULL when there is none */
	uint64_t copy_conn; /* number of its connection */
	uint32_t arrivals;
	uint32_t runs;
};

static void refuse_and_repeat(void *ctx, struct raw_conn *conn, const char *id)
{
	struct resent_refusal *resent = ctx;
	g_auto(GStrv) parts = g_strsplit(SOUND_CALL, "%ID%", 2);
	g_autofree char *answer = g_strjoinv(id, parts);

	if (resent->arrivals++ == 0) {
		resent->copy = g_strdup_printf(RESENT_REFUSAL, id);
		resent->copy_conn = raw_conn_number(conn);
		raw_conn_write(conn, resent->copy);
		return;
	}
	if (resent->copy && resent->copy_conn == raw_conn_number(conn)) {
		raw_conn_write(conn, resent->copy);
		g_clear_pointer(&resent->copy, g_free);
	}
	resent->runs++;
	raw_conn_write_later(conn, answer, RESENT_ANSWER_MS, false);
}

/* review/7: a late copy of a refusal that names the request is not taken for the answer to its next
 * sending, after Retry-After, which then ran a second time. */
static void test_resent_refusal(void)
{
	struct resent_refusal resent = { 0 };
	struct raw_caller caller;
	struct fixture f;

	fixture_open(&f);
	add_raw(&f, TESTBED_PLAIN_SERVICE, refuse_and_repeat, &resent);
	caller = raw_caller_open(f.gateway, "7e5e", "/once/x");
	testbed_run(f.testbed, 1500);
	raw_caller_read(&caller, SIZE_MAX);
	g_test_message("%u arrivals, %u runs: %s", resent.arrivals, resent.runs, caller.input->str);
	g_assert_cmpuint(resent.runs, ==, 1);
	g_assert_cmpuint(raw_caller_status(&caller), ==, 200);
	raw_caller_close(&caller);
	g_free(resent.copy);
	fixture_close(&f);
}

/* keys that are withdrawn while a request waits for its next attempt */

/* The first request that upstreams get together, whose answer is held back. */
struct held_request {
	const struct raw_upstream *upstream; /* NULL before */
	uint64_t conn;
	uint32_t arrivals; /* of all requests */
};

struct holding_upstream {
	struct raw_upstream *raw;
	struct held_request *held;
};

static void hold_first(void *ctx, struct raw_conn *conn, const char *id)
{
	const struct holding_upstream *upstream = ctx;
	struct held_request *held = upstream->held;
	g_auto(GStrv) parts = g_strsplit(SOUND_CALL, "%ID%", 2);
	g_autofree char *sound = g_strjoinv(id, parts);

	if (held->arrivals++ > 0) {
		raw_conn_write(conn, sound);
		return;
	}
	held->upstream = upstream->raw;
	held->conn = raw_conn_number(conn);
}

/* A request that an upstream refused, or whose attempt broke, after the key of its caller was
 * withdrawn is not sent again. */
static void test_key_withdrawn(void)
{
	static const struct {
		const char *path;
		const char *service;
		const char *answer;
		uint16_t status;
	} cases[] = {
		{ "/once/", TESTBED_PLAIN_SERVICE, REFUSAL, 401 },
		{ "/quick/", TESTBED_ENGINE_SERVICE, "no answer\r\n\r\n", 502 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct testbed_request request = { .path = cases[i].path,
						   .key = TESTBED_OTHER_KEY,
						   .output_tokens = i ? QUICK_TOKENS : 0,
						   .wait_ms = QUICK_TIMEOUT_MS };
		struct held_request held = { 0 };
		struct holding_upstream upstreams[2] = { { .held = &held }, { .held = &held } };
		struct testbed_answer answer;
		struct raw_conn *conn;
		g_autofree char *applied = NULL;
		struct fixture f;

		fixture_open(&f);
		testbed_configure(f.testbed, ",\"" TESTBED_OTHER_KEY "\"", NULL);
		for (uint32_t n = 0; n < G_N_ELEMENTS(upstreams); n++)
			upstreams[n].raw =
				start_raw(&f, n ? "raw-2" : "raw", RAW_HOST_NUMBER + n, "z1",
					  cases[i].service, hold_first, &upstreams[n]);
		testbed_run(f.testbed, NEW_ENGINE_MS);
		testbed_begin(f.gateway, &request, &answer);
		while (held.arrivals == 0 && !answer.ended)
			testbed_run(f.testbed, 5);
		g_assert_cmpuint(held.arrivals, ==, 1);
		testbed_configure(f.testbed, NULL, NULL);
		while (!applied || !*applied) {
			testbed_run(f.testbed, 5);
			g_free(applied);
			applied = testbed_log_lines(f.gateway, "\"revision\":\"3\"");
		}
		conn = raw_upstream_find_conn(held.upstream, held.conn);
		g_assert_nonnull(conn);
		raw_conn_write(conn, cases[i].answer);
		g_assert_true(testbed_wait(f.testbed, &answer, QUICK_TIMEOUT_MS));
		g_test_message("%s: status %u, %u arrivals", request.path, answer.status,
			       held.arrivals);
		g_assert_cmpuint(held.arrivals, ==, 1);
		g_assert_cmpuint(answer.status, ==, cases[i].status);
		testbed_answer_clear(&answer);
		raw_upstream_destroy(upstreams[0].raw);
		raw_upstream_destroy(upstreams[1].raw);
		fixture_close(&f);
	}
}

/* What an upstream answers that says that it leaves. */
struct departure {
	const char *answer; /* with a place for the id */
	uint32_t arrivals;
};

static void answer_departure(void *ctx, struct raw_conn *conn, const char *id)
{
	struct departure *departure = ctx;
	g_auto(GStrv) parts = g_strsplit(departure->answer, "%ID%", 0);
	g_autofree char *text = g_strjoinv(id, parts);

	departure->arrivals++;
	raw_conn_write(conn, text);
}

#define DEPARTURE_CALLS	  12
#define DEPARTURE_WAIT_MS 400

/* An upstream that says in an answer that it leaves gets no further request from the instance,
 * whatever the list says: it goes on to list it as ready, and the store falls silent. */
static void test_departure(void)
{
	static const char *const answers[] = {
		"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %ID%\r\nServer-Leaving: 1\r\n"
		"X-Flamingolatch-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 500 Error\r\nX-Flamingolatch-Attempt-Id: %ID%\r\nServer-Leaving: 1\r\n"
		"X-Flamingolatch-Replica-Signature: s\r\nContent-Length: 4\r\n\r\ndone",
		"HTTP/1.1 503 Busy\r\nX-Flamingolatch-Not-Executed: 1\r\nServer-Leaving: 1\r\n"
		"Content-Length: 0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct departure departure = { .answer = answers[i] };
		struct departure other = { .answer =
						   "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: "
						   "%ID%\r\nX-Flamingolatch-Replica-Signature: "
						   "s\r\nContent-Length: 4\r\n\r\ndone" };
		g_autofree char *entry = NULL;
		struct raw_upstream *far;
		struct fixture f;

		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, answer_departure, &departure);
		far = start_raw(&f, "raw-2", RAW_HOST_NUMBER + 1, "z2", TESTBED_PLAIN_SERVICE,
				answer_departure, &other);
		entry = g_strdup(mock_store_text(f.platform, "servers", "raw"));
		for (uint32_t call = 0; call < DEPARTURE_CALLS; call++) {
			g_autofree char *id = g_strdup_printf("de%02x", call);
			struct raw_caller caller = raw_caller_open(f.gateway, id, "/once/x");

			testbed_run(f.testbed, DEPARTURE_WAIT_MS / 4);
			raw_caller_read(&caller, SIZE_MAX);
			g_assert_true(g_str_has_prefix(caller.input->str, "HTTP/1.1 "));
			raw_caller_close(&caller);
			/* The list says again that it is ready, with another number of slots. */
			if (call == DEPARTURE_CALLS / 3) {
				g_auto(GStrv) parts = g_strsplit(entry, "\"slots\":8", 2);
				g_autofree char *again = g_strjoinv("\"slots\":9", parts);

				mock_store_put(f.platform, "servers", "raw", again);
				testbed_run(f.testbed, DEPARTURE_WAIT_MS);
			}
			if (call == 2 * DEPARTURE_CALLS / 3)
				mock_store_set_mode(f.platform, MOCK_STORE_SILENT);
		}
		g_test_message("answer %zu: %u arrivals, %u at the other", i, departure.arrivals,
			       other.arrivals);
		g_assert_cmpuint(departure.arrivals, ==, 1);
		raw_upstream_destroy(far);
		fixture_close(&f);
	}
}

#define LATE_DEPARTURE_MS 300 /* until the answer; its caller leaves before */

static void answer_departure_late(void *ctx, struct raw_conn *conn, const char *id)
{
	struct departure *departure = ctx;
	g_auto(GStrv) parts = g_strsplit(departure->answer, "%ID%", 0);
	g_autofree char *text = g_strjoinv(id, parts);

	departure->arrivals++;
	raw_conn_write_later(conn, text, LATE_DEPARTURE_MS, false);
}

/* What an upstream says of itself counts also in an answer whose caller has left: a call that may
 * run only once is read to its end. */
static void test_departure_caller_left(void)
{
	struct departure departure = {
		.answer = "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n"
			  "Server-Leaving: 1\r\nX-Flamingolatch-Replica-Signature: s\r\n"
			  "Content-Length: 4\r\n\r\ndone"
	};
	struct testbed_answer first;
	struct testbed_call *call;
	struct fixture f;

	fixture_open(&f);
	add_raw(&f, TESTBED_PLAIN_SERVICE, answer_departure_late, &departure);
	call = testbed_begin(f.gateway, &once, &first);
	testbed_run(f.testbed, LATE_DEPARTURE_MS / 3);
	g_assert_cmpuint(departure.arrivals, ==, 1);
	testbed_disconnect(call);
	testbed_answer_clear(&first);
	testbed_run(f.testbed, LATE_DEPARTURE_MS);
	mock_upstream_list(f.shop);
	testbed_run(f.testbed, DEPARTURE_WAIT_MS);
	for (uint32_t i = 0; i < 4; i++) {
		struct testbed_answer answer = testbed_call(f.gateway, &once);

		g_assert_cmpuint(answer.status, ==, 200);
		testbed_answer_clear(&answer);
	}
	g_assert_cmpuint(departure.arrivals, ==, 1);
	fixture_close(&f);
}

#define OWN_ANSWER(status, headers)                                                                \
	"HTTP/1.1 " status "\r\nX-Flamingolatch-Attempt-Id: %ID%\r\n" headers                      \
	"Content-Length: 4\r\n\r\ndone"
#define SIGNED	      "X-Flamingolatch-Replica-Signature: s\r\n"
#define NOT_RUN	      "X-Flamingolatch-Not-Executed: 1\r\n"
#define QUIET_CALLS   8
#define QUIET_MS      3500 /* longer than any call of the test waits */
#define QUIET_STEP_MS 100

/* Answers the first request with one text, the others with another. */
struct quiet_case {
	const char *first;
	uint32_t arrivals;
};

static void answer_quiet(void *ctx, struct raw_conn *conn, const char *id)
{
	struct quiet_case *quiet = ctx;
	const char *answer = quiet->arrivals++ == 0 ? quiet->first : OWN_ANSWER("200 OK", SIGNED);
	g_auto(GStrv) parts = g_strsplit(answer, "%ID%", 0);
	g_autofree char *text = g_strjoinv(id, parts);

	raw_conn_write(conn, text);
}

static uint16_t raw_call(struct fixture *f, const char *id, double *retry_after_s)
{
	struct raw_caller caller = raw_caller_open(f->gateway, id, "/once/x");
	const char *header;
	uint16_t status;

	testbed_run(f->testbed, QUIET_STEP_MS);
	raw_caller_read(&caller, SIZE_MAX);
	g_assert_true(g_str_has_prefix(caller.input->str, "HTTP/1.1 "));
	status = (uint16_t)atoi(caller.input->str + strlen("HTTP/1.1 "));
	header = strstr(caller.input->str, "Retry-After: ");
	*retry_after_s = header ? g_ascii_strtod(header + strlen("Retry-After: "), NULL) : -1.0;
	raw_caller_close(&caller);
	return status;
}

/* An upstream that refuses with a time gets nothing until its end; callers are refused at once and
 * invited back after it. A time that is none, or beside another status, is ignored. */
static void test_quiet(void)
{
	static const struct {
		const char *first;
		bool asks;
	} cases[] = {
		{ OWN_ANSWER("503 Busy", NOT_RUN "Retry-After: 3.5\r\n"), true },
		{ OWN_ANSWER("503 Busy", NOT_RUN "Retry-After: -3.5\r\n"), false },
		{ OWN_ANSWER("503 Busy", NOT_RUN "Retry-After: soon\r\n"), false },
		{ OWN_ANSWER("200 OK", SIGNED "Retry-After: 3.5\r\n"), false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct quiet_case quiet = { .first = cases[i].first };
		double retry_after_s;
		struct fixture f;

		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, answer_quiet, &quiet);
		raw_call(&f, "9000", &retry_after_s);
		for (uint32_t call = 1; call < QUIET_CALLS; call++) {
			g_autofree char *id = g_strdup_printf("900%u", call);
			uint16_t status = raw_call(&f, id, &retry_after_s);

			g_assert_cmpuint(status, ==, cases[i].asks ? 503 : 200);
			if (cases[i].asks)
				g_assert_cmpfloat(retry_after_s * 1000, >=,
						  QUIET_MS - QUIET_STEP_MS * (call + 1.0));
		}
		g_assert_cmpuint(quiet.arrivals, ==, cases[i].asks ? 1 : QUIET_CALLS);
		testbed_run(f.testbed, QUIET_MS);
		g_assert_cmpuint(raw_call(&f, "90ff", &retry_after_s), ==, 200);
		fixture_close(&f);
	}
}

/* No caller gets a byte of a second copy of another one's answer. */
static void test_second_copy(void)
{
	static const struct copies cases[] = {
		{ 0, false, NULL },    { 1, false, NULL }, { 50, false, NULL },
		{ 2000, false, NULL }, { 0, true, NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct copies copies = cases[i];
		struct fixture f;
		uint32_t served = 0;

		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, answer_twice, &copies);
		for (uint32_t n = 0; n < 20; n++) {
			struct testbed_answer got = testbed_call(f.gateway, &once);

			if (got.status == 200) {
				g_assert_cmpstr(got.body->str, ==, got.id);
				served++;
			}
			testbed_answer_clear(&got);
			/* around the time of the copy, on either side */
			testbed_run(f.testbed, copies.delay_ms > 100 ? 220 : n * 5);
		}
		g_test_message("case %zu: %u of 20 served", i, served);
		g_assert_cmpuint(served, >=, copies.in_use ? 1 : 18);
		g_free(copies.last);
		fixture_close(&f);
	}
}

/* streams that trickle */

static void trickle(void *ctx, struct raw_conn *conn, const char *id)
{
	const uint32_t *events = ctx;
	g_autofree char *event = mock_event(id, 1, QUICK_EVENTS);

	raw_conn_write(conn, STREAM_HEAD "\r\n");
	if (*events > 0)
		raw_conn_write(conn, event);
	raw_conn_write_later(conn, ":\n", 300, true);
}

/* A stream that sends a few bytes now and then, but no event, is continued elsewhere. */
static void test_trickle(void)
{
	for (uint32_t events = 0; events < 2; events++) {
		struct testbed_request request = quick;
		struct testbed_answer got = { 0 };
		struct fixture f;

		fixture_open(&f);
		add_raw(&f, TESTBED_ENGINE_SERVICE, trickle, &events);
		testbed_begin(f.gateway, &request, &got);
		testbed_run(f.testbed, 1000);
		g_assert_cmpuint(raw_upstream_conn_count(f.raw), ==, 1);
		mock_upstream_list(f.engine);
		g_assert_true(testbed_wait(f.testbed, &got, QUICK_TIMEOUT_MS));
		g_test_message("%u events: status %u, broken %d, %zu bytes", events, got.status,
			       got.broken, got.body->len);
		g_assert_true(got.status == 200 && !got.broken);
		g_assert_nonnull(strstr(got.body->str, " end\n"));
		testbed_run(f.testbed, 100);
		g_assert_cmpuint(raw_upstream_conn_count(f.raw), ==, 0);
		testbed_answer_clear(&got);
		fixture_close(&f);
	}
}

/* With no other engine the caller gets an end at the route's timeout, half a second later at most.
 */
static void test_trickle_alone(void)
{
	struct testbed_answer got;
	struct fixture f;
	uint32_t events = 0;

	fixture_open(&f);
	add_raw(&f, TESTBED_ENGINE_SERVICE, trickle, &events);
	got = testbed_call(f.gateway, &quick);
	g_assert_false(got.status == 200 && !got.broken);
	g_assert_cmpuint(got.ended_ms - got.sent_ms, <=, QUICK_TIMEOUT_MS + 500);
	testbed_run(f.testbed, 100);
	g_assert_cmpuint(raw_upstream_conn_count(f.raw), ==, 0);
	testbed_answer_clear(&got);
	fixture_close(&f);
}

/* answers without end */

struct endless {
	const char *begin;
	char *more;
};

static void answer_endlessly(void *ctx, struct raw_conn *conn, const char *id)
{
	const struct endless *endless = ctx;

	(void)id;
	raw_conn_write(conn, endless->begin);
	raw_conn_write_later(conn, endless->more, 1, true);
}

/* A head line, headers or a chunk size without end: the connection is closed long before the
 * deadline, and the caller learns that the request may have run. */
static void test_endless_head(void)
{
	static const struct {
		const char *begin;
		const char *piece;
	} cases[] = {
		{ "HTTP/1.1 200 ", "x" },
		{ "HTTP/1.1 200 OK\r\nX-A: ", "x" },
		{ "HTTP/1.1 200 OK\r\n", "X-A: b\r\n" },
		{ "HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  "1" },
		{ "HTTP/1.1 200 OK\r\nX-Flamingolatch-Replica-Signature: s\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n1;",
		  "x" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) more = g_string_new(NULL);
		struct endless endless = { .begin = cases[i].begin };
		struct testbed_answer got;
		struct fixture f;

		while (more->len < 16384)
			g_string_append(more, cases[i].piece);
		endless.more = more->str;
		fixture_open(&f);
		add_raw(&f, TESTBED_PLAIN_SERVICE, answer_endlessly, &endless);
		got = testbed_call(f.gateway, &once);
		g_test_message("case %zu: status %u after %" G_GUINT64_FORMAT " ms", i, got.status,
			       got.ended_ms - got.sent_ms);
		g_assert_true(got.status == 502 || got.status == 504);
		testbed_run(f.testbed, 100);
		g_assert_cmpuint(raw_upstream_conn_count(f.raw), ==, 0);
		testbed_answer_clear(&got);
		fixture_close(&f);
	}
}

/* a quarantine beside other requests */

#define CRASH_PART    "bad0"
#define CRASH_ENGINES 4
#define REFUSAL_MS    1300 /* after the quarantine, before the timeout of the route */

static void refuse_later(void *ctx, struct raw_conn *conn, const char *id)
{
	g_autofree char *answer =
		g_strdup_printf("HTTP/1.1 503 Busy\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
				"X-Flamingolatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
				id);

	(void)ctx;
	raw_conn_write_later(conn, answer, REFUSAL_MS, false);
}

/* A call that is under way while a prompt part is quarantined, and that its upstream then refuses
 * without running it, is reported as not run. */
static void test_refusal_during_quarantine(void)
{
	struct testbed_request bad = quick;
	struct testbed_answer call = { 0 };
	struct testbed_answer crashing[2];
	g_autofree char *state = NULL;
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < CRASH_ENGINES; i++) {
		g_autofree char *id = g_strdup_printf("crash-%u", i);
		struct mock_upstream *engine = testbed_upstream(f.testbed, id, true, 10 + i);

		mock_upstream_configure(engine,
					&(struct mock_upstream_conf){ .engine = true,
								      .work_ms = 20,
								      .pace_ms = 4,
								      .crash_part = CRASH_PART });
		mock_upstream_list(engine);
	}
	add_raw(&f, TESTBED_PLAIN_SERVICE, refuse_later, NULL);
	testbed_begin(f.gateway, &once, &call);
	for (uint32_t i = 0; i < 2; i++) {
		g_autofree char *parts = g_strdup_printf(CRASH_PART ":40,%x:9", 100 + i);

		bad.prompt_parts = parts;
		testbed_begin(f.gateway, &bad, &crashing[i]);
		testbed_run(f.testbed, 100);
	}
	g_assert_true(testbed_wait(f.testbed, &call, 3000));
	state = testbed_get(f.testbed, f.gateway->metrics_address, "/state");
	g_assert_nonnull(strstr(state, "\"part\":\"" CRASH_PART "\""));
	g_assert_cmpuint(call.status, ==, 503);
	testbed_answer_clear(&call);
	for (uint32_t i = 0; i < 2; i++) {
		g_assert_true(testbed_wait(f.testbed, &crashing[i], QUICK_TIMEOUT_MS + 500));
		testbed_answer_clear(&crashing[i]);
	}
	fixture_close(&f);
}

/* a store without end */

#define STORE_PORT	  8701
#define STORE_RUN_MS	  4000
#define STORE_PIECE_BYTES 65536

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

/* A store whose answers do not end, in the head, in a chunk or in the body, does not end the
 * process, which recovers when the store answers properly. */
static void test_endless_store(void)
{
	static const struct {
		const char *begin;
		const char *piece;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"rows\":[", " " },
		{ "HTTP/1.1 200 OK\r\nX-A: ", "x" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) more = g_string_new(NULL);
		struct endless endless = { .begin = cases[i].begin };
		struct mock_platform *sound;
		struct raw_upstream *raw;
		struct testbed_gateway *gateway;
		g_autofree char *ip = NULL;
		g_autofree char *address = NULL;
		struct fixture f;

		while (more->len < STORE_PIECE_BYTES)
			g_string_append(more, cases[i].piece);
		endless.more = more->str;
		fixture_open(&f);
		ip = testbed_ip(f.testbed, RAW_HOST_NUMBER);
		address = g_strdup_printf("%s:%d", ip, STORE_PORT);
		raw = raw_upstream_create(testbed_loop(f.testbed), ip, STORE_PORT, answer_endlessly,
					  &endless);
		gateway = testbed_gateway(f.testbed, "gw-2", address);
		testbed_start(gateway);
		testbed_run(f.testbed, STORE_RUN_MS);
		g_assert_false(testbed_has_exited(gateway));
		g_assert_false(testbed_is_ready(gateway));
		g_test_message("case %zu: %" G_GUINT64_FORMAT " kB at most", i,
			       peak_memory_kb(gateway));
		raw_upstream_destroy(raw);
		testbed_run(f.testbed, 100);
		sound = mock_platform_create(testbed_loop(f.testbed), ip, STORE_PORT, 1);
		mock_store_put(sound, "op", "config", mock_store_text(f.platform, "op", "config"));
		g_assert_true(testbed_wait_ready(gateway, READY_TIMEOUT_MS));
		testbed_signal(gateway, SIGKILL);
		g_assert_true(testbed_wait_exit(gateway, 2000));
		mock_platform_destroy(sound);
		fixture_close(&f);
	}
}

/* long bodies and slow callers */

#define BODY_CALLERS	     4
#define BODY_CHUNK_BYTES     50000
#define BODY_RUN_MS	     1400
#define BODY_MAX_KB	     32768 /* of the 110 MB that a process may have */
#define SOUND_BYTES	     (4U << 20)
#define SLOW_READ_BYTES_STEP 131072

/* A body that is sent in chunks, and never ends. */
struct endless_body {
	char *chunk;
	uint32_t answers;
};

static void answer_endless_body(void *ctx, struct raw_conn *conn, const char *id)
{
	struct endless_body *body = ctx;
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
		"X-Flamingolatch-Replica-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		id);

	body->answers++;
	raw_conn_write(conn, head);
	raw_conn_write_later(conn, body->chunk, 1, true);
}

/* review/2: a body without end that begins well, and callers that do not read, must not fill the
 * memory of the process. The gateway stops to read, so the upstream cannot send on. */
static void test_endless_body(void)
{
	g_autofree char *bytes = g_strnfill(BODY_CHUNK_BYTES, 'x');
	struct endless_body body = { .chunk = g_strdup_printf("%x\r\n%s\r\n", BODY_CHUNK_BYTES,
							      bytes) };
	struct raw_caller callers[BODY_CALLERS];
	uint64_t before_kb;
	uint64_t peak_kb;
	struct fixture f;

	fixture_open(&f);
	add_raw(&f, TESTBED_PLAIN_SERVICE, answer_endless_body, &body);
	before_kb = peak_memory_kb(f.gateway);
	for (uint32_t i = 0; i < BODY_CALLERS; i++) {
		g_autofree char *id = g_strdup_printf("e0%u", i);

		callers[i] = raw_caller_open(f.gateway, id, "/safe/x");
	}
	testbed_run(f.testbed, BODY_RUN_MS);
	peak_kb = peak_memory_kb(f.gateway);
	g_test_message("%u answers, %" G_GUINT64_FORMAT " kB before, %" G_GUINT64_FORMAT
		       " kB at most",
		       body.answers, before_kb, peak_kb);
	g_assert_cmpuint(body.answers, ==, BODY_CALLERS);
	g_assert_cmpuint(peak_kb - before_kb, <, BODY_MAX_KB);
	for (uint32_t i = 0; i < BODY_CALLERS; i++)
		raw_caller_close(&callers[i]);
	g_free(body.chunk);
	fixture_close(&f);
}

static void answer_long(void *ctx, struct raw_conn *conn, const char *id)
{
	g_autofree char *bytes = g_strnfill(SOUND_BYTES, 'x');
	g_autofree char *text =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
				"X-Flamingolatch-Replica-Signature: s\r\n"
				"Content-Length: %u\r\n\r\n%s",
				id, SOUND_BYTES, bytes);

	(void)ctx;
	raw_conn_write(conn, text);
}

/* A long sound body reaches a caller that reads slowly, whole. */
static void test_long_body(void)
{
	struct raw_caller caller;
	uint32_t count = 0;
	struct fixture f;

	fixture_open(&f);
	add_raw(&f, TESTBED_PLAIN_SERVICE, answer_long, NULL);
	caller = raw_caller_open(f.gateway, "f00d", "/safe/x");
	for (uint32_t i = 0; i < 2 * SOUND_BYTES / SLOW_READ_BYTES_STEP &&
			     !g_str_has_suffix(caller.input->str, "0\r\n\r\n");
	     i++) {
		testbed_run(f.testbed, 10);
		raw_caller_read(&caller, SLOW_READ_BYTES_STEP);
	}
	for (const char *at = strstr(caller.input->str, "\r\n\r\n"); at && *at; at++)
		count += *at == 'x';
	g_assert_true(g_str_has_suffix(caller.input->str, "0\r\n\r\n"));
	g_assert_cmpuint(count, ==, SOUND_BYTES);
	raw_caller_close(&caller);
	fixture_close(&f);
}

/* a planned stop */

/* What happens beside a planned stop. */
struct stop_case {
	enum mock_store_mode store; /* from the signal on */
	uint32_t signal_count; /* of the stop, each STOP_CALLERS / 10 requests after the last */
};

/* Hundreds of requests that arrive around a planned stop, on new and on kept connections: none that
 * was read is cut, and in the first second all are answered. One on a kept connection may cross the
 * close of that connection, which was idle; then it was not read. */
static void check_stop(const struct stop_case *stop)
{
	struct testbed_request kept = once;
	static struct testbed_answer answers[STOP_CALLERS];
	uint32_t signals_left = stop->signal_count;
	uint32_t unanswered = 0;
	struct fixture f;
	uint64_t stop_ms = 0;

	fixture_open(&f);
	mock_upstream_list(f.shop);
	mock_upstream_configure(f.shop, &(struct mock_upstream_conf){ .work_ms = 300 });
	testbed_run(f.testbed, 300);
	kept.reuse_connection = true;
	for (uint32_t i = 0; i < STOP_CALLERS; i++) {
		testbed_begin(f.gateway, i % 2 ? &kept : &once, &answers[i]);
		if (i == STOP_CALLERS / 3) {
			mock_store_set_mode(f.platform, stop->store);
			stop_ms = answers[i].sent_ms;
		}
		if (i >= STOP_CALLERS / 3 && (i - STOP_CALLERS / 3) % (STOP_CALLERS / 10) == 0 &&
		    signals_left > 0) {
			testbed_signal(f.gateway, SIGTERM);
			signals_left--;
		}
		if (i % 8 == 0)
			testbed_run(f.testbed, 10);
	}
	for (uint32_t i = 0; i < STOP_CALLERS; i++) {
		struct mock_request_record record;
		g_autofree char *log = NULL;

		g_assert_true(testbed_wait(f.testbed, &answers[i], 8000));
		record = mock_request_record(f.platform, answers[i].id);
		if (answers[i].status > 0 && !answers[i].broken)
			continue;
		unanswered++;
		g_assert_cmpuint(record.arrivals, ==, 0);
		log = testbed_log_lines(f.gateway, answers[i].id);
		g_assert_cmpstr(log, ==, "");
		g_assert_true(i % 2 == 1 || answers[i].sent_ms > stop_ms + 1000);
	}
	g_test_message("%u of %u were not answered", unanswered, STOP_CALLERS);
	g_assert_true(testbed_wait_exit(f.gateway, TESTBED_GRACE_S * 1000));
	for (uint32_t i = 0; i < STOP_CALLERS; i++)
		testbed_answer_clear(&answers[i]);
	fixture_close(&f);
}

static void test_stop_under_load(void)
{
	check_stop(&(struct stop_case){ MOCK_STORE_HEALTHY, 1 });
}

/* The signal comes again while the instance stops. */
static void test_stop_signalled_again(void)
{
	check_stop(&(struct stop_case){ MOCK_STORE_HEALTHY, 3 });
}

/* The store does not answer when the instance removes its row. */
static void test_stop_store_silent(void)
{
	check_stop(&(struct stop_case){ MOCK_STORE_SILENT, 1 });
}

#define LATE_CALLERS   20
#define LATE_PAUSE_MS  2200 /* from the signal until the process does not run */
#define LATE_RESUME_MS 2900 /* from the signal, after the time at which it exits when idle */

/* The process gets no processor time when it is about to exit, as on a crowded machine, and
 * requests arrive on open connections meanwhile. Each is answered, or was not passed on. */
static void test_stop_requests_at_exit(void)
{
	struct raw_caller callers[LATE_CALLERS];
	uint32_t answered = 0;
	struct fixture f;

	fixture_open(&f);
	mock_upstream_list(f.shop);
	testbed_run(f.testbed, 300);
	for (uint32_t i = 0; i < LATE_CALLERS; i++)
		callers[i] = raw_caller_connect(f.gateway);
	testbed_run(f.testbed, 100);
	testbed_signal(f.gateway, SIGTERM);
	testbed_run(f.testbed, LATE_PAUSE_MS);
	testbed_signal(f.gateway, SIGSTOP);
	for (uint32_t i = 0; i < LATE_CALLERS; i++) {
		g_autofree char *id = g_strdup_printf("1a7e%02x", i);

		raw_caller_send(&callers[i], id, "/once/x");
	}
	testbed_run(f.testbed, LATE_RESUME_MS - LATE_PAUSE_MS);
	testbed_signal(f.gateway, SIGCONT);
	g_assert_true(testbed_wait_exit(f.gateway, TESTBED_GRACE_S * 1000));
	for (uint32_t i = 0; i < LATE_CALLERS; i++) {
		g_autofree char *id = g_strdup_printf("1a7e%02x", i);
		struct mock_request_record record = mock_request_record(f.platform, id);
		bool whole;

		raw_caller_read(&callers[i], SIZE_MAX);
		whole = g_str_has_suffix(callers[i].input->str, " /once/x");
		answered += whole;
		g_test_message("%s: %u arrivals, %s", id, record.arrivals, callers[i].input->str);
		g_assert_true(whole || record.arrivals == 0);
		raw_caller_close(&callers[i]);
	}
	g_assert_cmpuint(answered, ==, LATE_CALLERS);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-raw/unframed-stream-cut", test_unframed_stream);
	g_test_add_func("/gateway-raw/begun-answer-cut", test_begun_answer_cut);
	g_test_add_func("/gateway-raw/silent-upstream-kept", test_silent_upstream_kept);
	g_test_add_func("/gateway-raw/garbage-in-stream", test_garbage_in_stream);
	g_test_add_func("/gateway-raw/bodiless-status", test_bodiless_status);
	g_test_add_func("/gateway-raw/invalid-status-once", test_invalid_status_once);
	g_test_add_func("/gateway-raw/invalid-status-safe", test_invalid_status_safe);
	g_test_add_func("/gateway-raw/invalid-status-long", test_invalid_status_long);
	g_test_add_func("/gateway-raw/invalid-status-quick", test_invalid_status_quick);
	g_test_add_func("/gateway-raw/invalid-status-suspends", test_invalid_status_suspends);
	g_test_add_func("/gateway-raw/key-withdrawn", test_key_withdrawn);
	g_test_add_func("/gateway-raw/late-refusal", test_late_refusal);
	g_test_add_func("/gateway-raw/resent-refusal", test_resent_refusal);
	g_test_add_func("/gateway-raw/departure", test_departure);
	g_test_add_func("/gateway-raw/departure-caller-left", test_departure_caller_left);
	g_test_add_func("/gateway-raw/quiet", test_quiet);
	g_test_add_func("/gateway-raw/second-copy", test_second_copy);
	g_test_add_func("/gateway-raw/trickle", test_trickle);
	g_test_add_func("/gateway-raw/trickle-alone", test_trickle_alone);
	g_test_add_func("/gateway-raw/endless-head", test_endless_head);
	g_test_add_func("/gateway-raw/endless-store", test_endless_store);
	g_test_add_func("/gateway-raw/endless-body", test_endless_body);
	g_test_add_func("/gateway-raw/long-body", test_long_body);
	g_test_add_func("/gateway-raw/refusal-during-quarantine", test_refusal_during_quarantine);
	g_test_add_func("/gateway-raw/stop-under-load", test_stop_under_load);
	g_test_add_func("/gateway-raw/stop-signalled-again", test_stop_signalled_again);
	g_test_add_func("/gateway-raw/stop-requests-at-exit", test_stop_requests_at_exit);
	g_test_add_func("/gateway-raw/stop-store-silent", test_stop_store_silent);
	return g_test_run();
}
