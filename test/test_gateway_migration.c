/**
 * @file test_gateway_migration.c
 * The gateway program against engines whose answers to calls about KV copies come
 * twice, late or after the attempt that they belong to, or say that the engine
 * leaves.
 */
#include "raw_upstream.h"
#include "testbed.h"

#include <glib.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000
#define ENGINE_PORT	 8700
#define ENGINE_HOST	 120
#define ENGINE_COUNT	 3
#define STEP_MS		 20 /* between two events of a generation */
#define OUTPUT_TOKENS	 4000
#define OUTPUT_EVENTS	 (OUTPUT_TOKENS / 4)
#define TIMEOUT_MS	 18000
#define START_MS	 400 /* from a request to its first events */
#define LIST_MS		 300 /* until an instance knows the entry of an engine */

#define CHUNKED_STREAM                                                                             \
	"HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"                                    \
	"X-Flamingolatch-Replica-Signature: s\r\nContent-Type: text/event-stream\r\n"              \
	"Transfer-Encoding: chunked\r\n\r\n"

/* What an engine does. */
struct script {
	const char *first_copy;	 /* status of its answer to the first call for a copy */
	uint32_t copy_delay_ms;	 /* until the second copy of that answer; 0: at once */
	const char *headers;	 /* of its answers to calls about copies; NULL: none */
	uint32_t call_copy_ms;	 /* until the second copy of an answer to a short request */
	uint32_t copy_answer_ms; /* until it answers a call for a copy */
	bool answers_copies_twice;
	bool breaks_at_copy; /* the stream breaks with the first call for a copy */
	const char *release; /* status of its answers to releases */
};

struct engine {
	struct fixture *fixture;
	struct raw_upstream *raw;
	char *id;
	char *ip;
	const char *zone;
	const char *version; /* of its software, as it is listed */
	struct script script;
	uint64_t stream;  /* number of the connection with its generation; 0: none */
	char *request;	  /* id of the generation */
	uint32_t event;	  /* last event sent */
	char *call_copy;  /* answer to a short request, for a second copy */
	char *taken_over; /* KV copy from which it went on */
	uint32_t copy_calls;
	uint32_t last_copy_calls; /* that stopped the generation */
	uint32_t releases;
	uint32_t generations;
	uint32_t resumed; /* requests that go on after an event */
	uint32_t backups; /* requests that named an engine for a backup */
	uint32_t short_calls;
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateway;
	struct engine engines[ENGINE_COUNT];
};

static const struct testbed_request generation = {
	.path = "/long/", .key = TESTBED_KEY, .output_tokens = OUTPUT_TOKENS, .wait_ms = TIMEOUT_MS
};
static const struct testbed_request short_call = {
	.path = "/quick/", .key = TESTBED_KEY, .output_tokens = 4, .wait_ms = 2000
};

/* engines */

/* Writes the entry of an engine. @param state NULL removes it */
static void engine_list(struct engine *engine, const char *state)
{
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"" TESTBED_ENGINE_SERVICE
		"\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\","
		"\"slots\":48,\"state\":\"%s\",\"cold_left_ms\":0,\"seq_no\":1,"
		"\"born\":1}",
		engine->ip, ENGINE_PORT, engine->zone, engine->version, state ? state : "");

	mock_store_put(engine->fixture->platform, "servers", engine->id, state ? entry : NULL);
}

static struct raw_conn *engine_stream(const struct engine *engine)
{
	return raw_upstream_find_conn(engine->raw, engine->stream);
}

/* Sends the next event of the generation, and with the last one its end. */
static void engine_write_event(struct engine *engine)
{
	struct raw_conn *conn = engine_stream(engine);
	g_autofree char *event = NULL;
	g_autofree char *chunk = NULL;

	if (!conn)
		return;
	event = mock_event(engine->request, ++engine->event, OUTPUT_EVENTS);
	chunk = g_strdup_printf("%zx\r\n%s\r\n%s", strlen(event), event,
				engine->event == OUTPUT_EVENTS ? "0\r\n\r\n" : "");
	raw_conn_write(conn, chunk);
	if (engine->event == OUTPUT_EVENTS)
		engine->stream = 0;
}

static void engine_start_stream(struct engine *engine, struct raw_conn *conn, const char *id,
				uint32_t last_event)
{
	g_autofree char *head = g_strdup_printf(CHUNKED_STREAM, id);

	engine->stream = raw_conn_number(conn);
	g_free(engine->request);
	engine->request = g_strdup(id);
	engine->event = last_event;
	raw_conn_write(conn, head);
	engine_write_event(engine);
}

/* Closes the stream of the generation without its end. */
static void engine_stop_stream(struct engine *engine)
{
	struct raw_conn *conn = engine_stream(engine);

	if (!conn)
		return;
	raw_conn_close(conn);
	engine_write_event(engine);
	engine->stream = 0;
}

static char *engine_copy_answer(const struct engine *engine, const char *status, const char *handle)
{
	g_autofree char *body = g_str_has_suffix(status, " OK")
					? g_strdup_printf("{\"kv_handle\":\"%s\",\"created\":%u}",
							  handle, engine->event)
					: g_strdup("");

	return g_strdup_printf("HTTP/1.1 %s\r\nContent-Type: application/json\r\n%s"
			       "Content-Length: %zu\r\n\r\n%s",
			       status, engine->script.headers ? engine->script.headers : "",
			       strlen(body), body);
}

/* Answers a call for a copy. On a connection on which another answer is still to come, that one
 * comes first. */
static void engine_on_copy_call(struct engine *engine, struct raw_conn *conn)
{
	const struct script *script = &engine->script;
	bool first = ++engine->copy_calls == 1;
	bool last = strstr(raw_conn_request(conn), "\"last\":true") != NULL;
	g_autofree char *answer = engine_copy_answer(
		engine, first && script->first_copy ? script->first_copy : "200 OK",
		first ? "first" : "later");

	engine->last_copy_calls += last;
	if (last || (first && script->breaks_at_copy))
		engine_stop_stream(engine);
	if (raw_conn_has_later(conn)) {
		if (!engine->call_copy)
			return;
		raw_conn_write(conn, engine->call_copy);
		raw_conn_write_later(conn, answer, 5 * STEP_MS, false);
		return;
	}
	if (!first || !script->answers_copies_twice) {
		raw_conn_write_later(conn, answer, script->copy_answer_ms, false);
		return;
	}
	raw_conn_write(conn, answer);
	if (script->copy_delay_ms == 0)
		raw_conn_write(conn, answer);
	else
		raw_conn_write_later(conn, answer, script->copy_delay_ms, false);
}

static void engine_on_short_call(struct engine *engine, struct raw_conn *conn, const char *id)
{
	char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
				"X-Flamingolatch-Replica-Signature: s\r\nContent-Length: 4\r\n"
				"\r\ndone",
				id);

	engine->short_calls++;
	/* Another answer that is still to come on the connection comes first. */
	if (!raw_conn_has_later(conn))
		raw_conn_write(conn, answer);
	if (engine->script.call_copy_ms) {
		raw_conn_write_later(conn, answer, engine->script.call_copy_ms, false);
		g_free(engine->call_copy);
		engine->call_copy = g_strdup(answer);
	}
	g_free(answer);
}

/* Returns the value of a header of a request as a new string, or NULL. */
static char *request_header(const char *request, const char *name)
{
	g_autofree char *line = g_strdup_printf("\r\n%s: ", name);
	const char *at = strstr(request, line);

	return at ? g_strndup(at + strlen(line), strcspn(at + strlen(line), "\r")) : NULL;
}

static void engine_on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct engine *engine = ctx;
	const char *request = raw_conn_request(conn);
	g_autofree char *from = request_header(request, "Kv-From");
	g_autofree char *after = request_header(request, "Last-Event-Id");
	g_autofree char *answer = NULL;

	if (g_str_has_prefix(request, "POST /kv-move ")) {
		engine_on_copy_call(engine, conn);
	} else if (g_str_has_prefix(request, "DELETE /kv-handle/")) {
		engine->releases++;
		answer = engine_copy_answer(engine, engine->script.release, "");
		raw_conn_write(conn, answer);
		if (engine->script.answers_copies_twice)
			raw_conn_write_later(conn, answer, engine->script.copy_delay_ms, false);
	} else if (strstr(request, " /quick/") && !strstr(request, " /quick/stream/")) {
		engine_on_short_call(engine, conn, id);
	} else {
		engine->generations += !from;
		engine->resumed += after != NULL;
		engine->backups += strstr(request, "X-Flamingolatch-Kv-Backup: ") != NULL;
		if (from) {
			g_free(engine->taken_over);
			engine->taken_over = g_strdup(from);
		}
		engine_start_stream(engine, conn, id,
				    after ? (uint32_t)strtoul(after, NULL, 10) : 0);
	}
}

/* fixture */

/* Starts a gateway in zone z1 and engines in other zones than the first, or all in z1. */
static void fixture_open(struct fixture *f, bool one_zone)
{
	*f = (struct fixture){ 0 };
	f->testbed = testbed_create(7);
	f->platform = testbed_platform(f->testbed);
	testbed_configure(f->testbed, NULL, NULL);
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		struct engine *engine = &f->engines[i];

		engine->fixture = f;
		engine->id = g_strdup_printf("engine-%u", i);
		engine->ip = testbed_ip(f->testbed, ENGINE_HOST + i);
		engine->zone = i && !one_zone ? "z2" : "z1";
		engine->version = "v1";
		engine->raw = raw_upstream_create(testbed_loop(f->testbed), engine->ip, ENGINE_PORT,
						  engine_on_request, engine);
		engine_list(engine, "ready");
	}
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_TIMEOUT_MS));
}

static void fixture_close(struct fixture *f)
{
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		struct engine *engine = &f->engines[i];

		raw_upstream_destroy(engine->raw);
		g_free(engine->id);
		g_free(engine->ip);
		g_free(engine->request);
		g_free(engine->call_copy);
		g_free(engine->taken_over);
	}
	testbed_destroy(f->testbed);
}

/* Runs the event loop while the engines send events. */
static void fixture_run(struct fixture *f, uint32_t ms)
{
	for (uint32_t spent_ms = 0; spent_ms < ms; spent_ms += STEP_MS) {
		testbed_run(f->testbed, STEP_MS);
		for (uint32_t i = 0; i < ENGINE_COUNT; i++)
			engine_write_event(&f->engines[i]);
	}
}

/* Returns the engine that went on with the generation, or NULL. */
static struct engine *find_taken_over(struct fixture *f)
{
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		if (f->engines[i].taken_over)
			return &f->engines[i];
	}
	return NULL;
}

/* Runs the event loop until an engine goes on with the generation. */
static void wait_taken_over(struct fixture *f)
{
	for (uint32_t ms = 0; ms < TIMEOUT_MS / 2 && !find_taken_over(f); ms += STEP_MS)
		fixture_run(f, STEP_MS);
	g_assert_nonnull(find_taken_over(f));
}

/* Starts a generation. Returns the engine that has it, which follows the script from now on. */
static struct engine *start_generation(struct fixture *f, const struct script *script,
				       struct testbed_answer *answer)
{
	testbed_begin(f->gateway, &generation, answer);
	fixture_run(f, START_MS);
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		if (!f->engines[i].generations)
			continue;
		f->engines[i].script = *script;
		return &f->engines[i];
	}
	g_assert_not_reached();
}

/* Sends the rest of all generations, and checks that the caller has the whole of its own. */
static void check_complete(struct fixture *f, struct testbed_answer *answer)
{
	uint32_t generations = 0;

	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		while (engine_stream(&f->engines[i]))
			engine_write_event(&f->engines[i]);
		generations += f->engines[i].generations;
	}
	g_assert_true(testbed_wait(f->testbed, answer, TIMEOUT_MS));
	g_assert_true(testbed_is_complete(answer, OUTPUT_TOKENS));
	g_assert_cmpuint(generations, ==, 1);
	testbed_answer_clear(answer);
}

static uint32_t count_log_lines(const struct fixture *f, const char *text)
{
	g_autofree char *lines = testbed_log_lines(f->gateway, text);
	uint32_t count = 0;

	for (const char *at = lines; (at = strchr(at, '\n')); at++)
		count++;
	return count;
}

/* Returns the recent share of failures of an upstream as the gateway sees it. */
static double failure_share(const struct fixture *f, const char *id)
{
	g_autofree char *state = testbed_get(f->testbed, f->gateway->metrics_address, "/state");
	g_autofree char *name = g_strdup_printf("\"%s\"", id);
	const char *at = state ? strstr(state, name) : NULL;
	const char *share = at ? strstr(at, "\"failure_share\":") : NULL;

	g_assert_nonnull(share);
	return g_ascii_strtod(share + strlen("\"failure_share\":"), NULL);
}

/* scenarios */

/* A second copy of an engine's answer to a call for a KV copy is not taken for the answer to the
 * next call: neither a success, before the engine has stopped and under a handle that is not the
 * one of the last call, nor a refusal. */
static void test_late_copy(void)
{
	static const char *const statuses[] = { "200 OK", "503 No Room" };
	static const uint32_t delays_ms[] = { 0, 1, 50, 2000 };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses) * G_N_ELEMENTS(delays_ms); i++) {
		struct script script = { .first_copy = statuses[i / G_N_ELEMENTS(delays_ms)],
					 .copy_delay_ms = delays_ms[i % G_N_ELEMENTS(delays_ms)],
					 .answers_copies_twice = true,
					 .copy_answer_ms = 10 * STEP_MS };
		bool refused = !g_str_has_prefix(script.first_copy, "200");
		struct testbed_answer answer;
		struct engine *source;
		struct engine *target;
		g_autofree char *expected = NULL;
		struct fixture f;

		fixture_open(&f, false);
		source = start_generation(&f, &script, &answer);
		engine_list(source, "draining");
		wait_taken_over(&f);
		target = find_taken_over(&f);
		g_test_message("%s, again after %u ms: %u calls, taken over from %s, %u refusals",
			       script.first_copy, script.copy_delay_ms, source->copy_calls,
			       target->taken_over, count_log_lines(&f, "move-failed"));
		expected = g_strdup_printf("%s:%d/later", source->ip, ENGINE_PORT);
		g_assert_cmpstr(target->taken_over, ==, expected);
		g_assert_cmpuint(count_log_lines(&f, "move-failed"), ==, refused);
		check_complete(&f, &answer);
		fixture_close(&f);
	}
}

/* A second copy of the answer to a request that arrives where the answer to a call for a KV copy is
 * expected is not taken for it. */
static void test_late_answer_before_copy(void)
{
	struct script script = { .call_copy_ms = 3000, .copy_answer_ms = STEP_MS };
	struct testbed_answer call;
	struct testbed_answer answer;
	struct engine *source;
	struct fixture f;

	fixture_open(&f, false);
	source = start_generation(&f, &script, &answer);
	testbed_begin(f.gateway, &short_call, &call);
	fixture_run(&f, START_MS);
	g_assert_true(call.ended);
	g_assert_cmpuint(call.status, ==, 200);
	g_assert_cmpuint(source->short_calls, ==, 1);
	testbed_answer_clear(&call);
	engine_list(source, "draining");
	wait_taken_over(&f);
	g_assert_cmpuint(count_log_lines(&f, "move-failed"), ==, 0);
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* Makes the entry of an engine lapse, so that its generation is copied. */
static void lapse_until_copied(struct fixture *f, struct engine *engine)
{
	mock_store_set_mode(f->platform, MOCK_STORE_RESET);
	engine_list(engine, NULL);
	fixture_run(f, 3 * START_MS);
	mock_store_set_mode(f->platform, MOCK_STORE_HEALTHY);
	for (uint32_t ms = 0; ms < 3000 && count_log_lines(f, "move-copied") == 0; ms += STEP_MS)
		fixture_run(f, STEP_MS);
	g_assert_cmpuint(count_log_lines(f, "move-copied"), >, 0);
}

/* An engine that says in the answer to the release of a KV copy that it leaves gets no further
 * requests, though it is listed as ready. */
static void test_release_departure(void)
{
	struct script script = { .copy_answer_ms = STEP_MS, .release = "204 No Content" };
	struct testbed_answer answer;
	struct testbed_answer calls[4];
	struct engine *source;
	struct fixture f;

	fixture_open(&f, false);
	source = start_generation(&f, &script, &answer);
	lapse_until_copied(&f, source);
	source->script.headers = "Server-Leaving: 1\r\n";
	engine_list(source, "ready");
	fixture_run(&f, START_MS + LIST_MS);
	g_assert_cmpuint(source->releases, ==, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		testbed_begin(f.gateway, &short_call, &calls[i]);
		fixture_run(&f, START_MS);
		g_assert_cmpuint(calls[i].status, ==, 200);
		testbed_answer_clear(&calls[i]);
	}
	g_test_message("%u calls after the release", source->short_calls);
	g_assert_cmpuint(count_log_lines(&f, "upstream-departure"), ==, 1);
	g_assert_cmpuint(source->short_calls, ==, 0);
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* A second copy of the refusal of a release is not taken for the refusal of a request that follows
 * on the connection, which would then run twice. */
static void test_late_release_answer(void)
{
	struct script script = { .copy_answer_ms = STEP_MS,
				 .release = "503 Busy",
				 .headers = "X-Flamingolatch-Not-Executed: 1\r\n",
				 .answers_copies_twice = false,
				 .copy_delay_ms = 10 * STEP_MS };
	struct testbed_answer answer;
	struct testbed_answer calls[4];
	struct engine *source;
	uint32_t short_calls = 0;
	struct fixture f;

	fixture_open(&f, false);
	source = start_generation(&f, &script, &answer);
	lapse_until_copied(&f, source);
	source->script.answers_copies_twice = true;
	engine_list(source, "ready");
	for (uint32_t ms = 0; ms < START_MS + LIST_MS && source->releases == 0; ms += STEP_MS)
		fixture_run(&f, STEP_MS);
	g_assert_cmpuint(source->releases, ==, 1);
	fixture_run(&f, 2 * STEP_MS);
	/* Placement may choose another engine for one of them, but not for all. */
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++)
		testbed_begin(f.gateway, &short_call, &calls[i]);
	fixture_run(&f, START_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		g_assert_cmpuint(calls[i].status, ==, 200);
		testbed_answer_clear(&calls[i]);
	}
	for (uint32_t i = 0; i < ENGINE_COUNT; i++)
		short_calls += f.engines[i].short_calls;
	g_assert_cmpuint(source->short_calls, >=, 1);
	g_assert_cmpuint(short_calls, ==, G_N_ELEMENTS(calls));
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* When the stream breaks while the engine makes a KV copy, and the generation goes on elsewhere,
 * the answer to that call does not count for the other engine: it is not asked for a copy, and what
 * the answer says of its sender is not held against it. */
static void test_ended_attempt(void)
{
	struct script script = { .copy_answer_ms = 20 * STEP_MS,
				 .breaks_at_copy = true,
				 .headers = "Server-Leaving: 1\r\n" };
	struct testbed_answer answer;
	struct engine *source;
	struct engine *target;
	struct fixture f;

	fixture_open(&f, true);
	source = start_generation(&f, &script, &answer);
	/* Until the engine that keeps the backup may be taken to have one. */
	fixture_run(&f, 2 * START_MS);
	engine_list(source, "draining");
	wait_taken_over(&f);
	target = find_taken_over(&f);
	fixture_run(&f, 30 * STEP_MS);
	g_test_message("%s went on and got %u calls for copies; %u departures", target->id,
		       target->copy_calls, count_log_lines(&f, "upstream-departure"));
	g_assert_true(target != source);
	g_assert_cmpuint(target->copy_calls, ==, 0);
	g_assert_cmpuint(count_log_lines(&f, "upstream-departure"), ==, 0);
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* Begins to move a generation and evacuates zones while the copy is made.
 * @param last waits for the copy that stops the generation
 * @return the engine that has the generation */
static struct engine *evacuate_during_copy(struct fixture *f, struct testbed_answer *answer,
					   bool last, const char *const *zones)
{
	struct script script = { .copy_answer_ms = (last ? 20 : 150) * STEP_MS,
				 .release = "204 No Content" };
	struct engine *source;

	fixture_open(f, false);
	source = start_generation(f, &script, answer);
	g_assert_cmpstr(source->zone, ==, "z1");
	engine_list(source, "draining");
	for (uint32_t ms = 0; ms < TIMEOUT_MS / 2; ms += STEP_MS) {
		if (last ? source->last_copy_calls : source->copy_calls)
			break;
		fixture_run(f, STEP_MS);
	}
	g_assert_cmpuint(source->last_copy_calls, ==, last);
	for (; *zones; zones++) {
		g_autofree char *key = g_strdup_printf("evacuate/%s", *zones);

		mock_store_put(f->platform, "op", key, "{}");
	}
	fixture_run(f, 30 * STEP_MS);
	return source;
}

/* A copy into a zone that is evacuated meanwhile is given up, and the generation goes on where it
 * runs. */
static void test_evacuated_target(void)
{
	static const char *const zones[] = { "z2", NULL };
	struct testbed_answer answer;
	struct engine *source;
	struct fixture f;
	uint32_t copy_calls;

	source = evacuate_during_copy(&f, &answer, false, zones);
	copy_calls = source->copy_calls;
	fixture_run(&f, 150 * STEP_MS);
	/* It was not waited for. */
	g_assert_cmpuint(count_log_lines(&f, "target-evacuated"), ==, 0);
	g_assert_cmpuint(source->copy_calls, ==, copy_calls);
	g_assert_null(find_taken_over(&f));
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* A generation that was stopped for its last copy does not go on at the target in an evacuated
 * zone, but where it was stopped. */
static void test_evacuated_after_stop(void)
{
	static const char *const zones[] = { "z2", NULL };
	struct testbed_answer answer;
	struct engine *source;
	struct fixture f;

	source = evacuate_during_copy(&f, &answer, true, zones);
	g_assert_true(find_taken_over(&f) == source);
	check_complete(&f, &answer);
	fixture_close(&f);
}

/* When the zone in which it was stopped is evacuated too, it ends: nothing is sent to either, and
 * the caller sees that the stream is not whole. */
static void test_evacuated_both(void)
{
	static const char *const zones[] = { "z1", "z2", NULL };
	struct testbed_answer answer;
	struct engine *source;
	struct fixture f;

	source = evacuate_during_copy(&f, &answer, true, zones);
	g_assert_null(find_taken_over(&f));
	g_assert_cmpuint(source->releases, ==, 0);
	g_assert_true(testbed_wait(f.testbed, &answer, TIMEOUT_MS));
	g_assert_true(answer.broken);
	g_assert_true(testbed_is_prefix(&answer, OUTPUT_TOKENS));
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* An engine that answers a call for a copy, or its release, with an invalid status has not answered
 * it: the generation goes on there, is asked for again and then goes on elsewhere whole. What the
 * answer says of its sender does not count, and its connection is closed. */
static void test_invalid_status(void)
{
	static const char *const statuses[] = { "000 OK",  "099 OK",  "600 OK",
						"0200 OK", "1000 OK", "abc OK" };

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct script script = { .first_copy = statuses[i],
					 .copy_answer_ms = STEP_MS,
					 .headers = "Server-Leaving: 1\r\n" };
		struct testbed_answer answer;
		struct engine *source;
		struct fixture f;

		fixture_open(&f, false);
		source = start_generation(&f, &script, &answer);
		engine_list(source, "draining");
		wait_taken_over(&f);
		g_test_message("%s: %u calls, %u failed, %u departures", script.first_copy,
			       source->copy_calls, count_log_lines(&f, "move-failed"),
			       count_log_lines(&f, "upstream-departure"));
		g_assert_cmpuint(source->copy_calls, >=, 2);
		g_assert_cmpuint(count_log_lines(&f, "move-failed"), ==, 1);
		check_complete(&f, &answer);
		fixture_close(&f);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct script script = { .copy_answer_ms = STEP_MS, .release = statuses[i] };
		struct testbed_answer answer;
		struct engine *source;
		struct fixture f;

		fixture_open(&f, false);
		source = start_generation(&f, &script, &answer);
		lapse_until_copied(&f, source);
		source->script.headers = "Server-Leaving: 1\r\n";
		engine_list(source, "ready");
		fixture_run(&f, START_MS + LIST_MS);
		g_test_message("release, %s: %u departures, failures %.2f", script.release,
			       count_log_lines(&f, "upstream-departure"),
			       failure_share(&f, source->id));
		g_assert_cmpuint(source->releases, ==, 1);
		g_assert_cmpuint(count_log_lines(&f, "upstream-departure"), ==, 0);
		g_assert_cmpfloat(failure_share(&f, source->id), >, 0.0);
		check_complete(&f, &answer);
		fixture_close(&f);
	}
}

/* Lists all engines but one with another version, each with its own or all with one. */
static void list_other_versions(struct fixture *f, const struct engine *source,
				const char *const versions[ENGINE_COUNT])
{
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		if (&f->engines[i] == source)
			continue;
		f->engines[i].version = versions[i];
		engine_list(&f->engines[i], "ready");
	}
	fixture_run(f, LIST_MS);
}

/* A generation does not go on at an engine of another software version when its engine leaves. It
 * goes on as soon as one of the same version is there, and to its end where it is otherwise. */
static void test_moved_to_other_version(void)
{
	static const char *const others[ENGINE_COUNT] = { "v2", "v2", "v3" };
	struct script script = { .copy_answer_ms = STEP_MS };

	for (uint32_t i = 0; i < 2; i++) {
		struct testbed_answer answer;
		struct engine *source;
		struct engine *same;
		struct fixture f;

		fixture_open(&f, true);
		source = start_generation(&f, &script, &answer);
		list_other_versions(&f, source, others);
		engine_list(source, "draining");
		fixture_run(&f, 2 * START_MS);
		g_assert_cmpuint(source->copy_calls, ==, 0);
		g_assert_null(find_taken_over(&f));
		same = &f.engines[source == &f.engines[0] ? 1 : 0];
		if (i == 1) {
			same->version = "v1";
			engine_list(same, "ready");
			wait_taken_over(&f);
			g_assert_true(find_taken_over(&f) == same);
		}
		check_complete(&f, &answer);
		fixture_close(&f);
	}
}

/* No backup of a generation is kept at an engine of another software version, where it could not go
 * on. */
static void test_backup_at_other_version(void)
{
	static const char *const versions[ENGINE_COUNT] = { "v1", "v2", "v3" };
	struct script script = { 0 };
	struct testbed_answer answer;
	struct engine *source;
	struct fixture f;

	fixture_open(&f, true);
	list_other_versions(&f, NULL, versions);
	source = start_generation(&f, &script, &answer);
	g_assert_cmpuint(source->backups, ==, 0);
	engine_stop_stream(source);
	g_assert_true(testbed_wait(f.testbed, &answer, TIMEOUT_MS));
	g_assert_null(find_taken_over(&f));
	g_assert_true(answer.broken);
	g_assert_true(testbed_is_prefix(&answer, OUTPUT_TOKENS));
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* A stream that may be resumed goes on after its last event at an engine of the same software
 * version only. */
static void test_resumed_at_other_version(void)
{
	static const struct testbed_request resumable = { .path = "/quick/stream/",
							  .key = TESTBED_KEY,
							  .output_tokens = OUTPUT_TOKENS,
							  .wait_ms = 6000 };
	static const char *const others[ENGINE_COUNT] = { "v2", "v2", "v2" };
	struct script script = { 0 };

	for (uint32_t i = 0; i < 2; i++) {
		struct testbed_answer answer;
		struct engine *source = NULL;
		uint32_t resumed = 0;
		struct fixture f;

		fixture_open(&f, true);
		testbed_begin(f.gateway, &resumable, &answer);
		fixture_run(&f, START_MS);
		for (uint32_t k = 0; k < ENGINE_COUNT; k++) {
			if (f.engines[k].generations)
				source = &f.engines[k];
		}
		g_assert_nonnull(source);
		source->script = script;
		if (i == 0)
			list_other_versions(&f, source, others);
		engine_stop_stream(source);
		fixture_run(&f, START_MS);
		for (uint32_t k = 0; k < ENGINE_COUNT; k++)
			resumed += f.engines[k].resumed;
		g_test_message("%s versions: %u resumed, broken %d", i ? "same" : "other", resumed,
			       answer.broken);
		g_assert_cmpuint(resumed, ==, i);
		g_assert_cmpuint(source->resumed, ==, 0);
		if (i == 0) {
			g_assert_true(answer.broken);
			g_assert_true(testbed_is_prefix(&answer, OUTPUT_TOKENS));
			testbed_answer_clear(&answer);
		} else {
			for (uint32_t k = 0; k < ENGINE_COUNT; k++)
				f.engines[k].generations = k == 0;
			check_complete(&f, &answer);
		}
		fixture_close(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-migration/late-copy", test_late_copy);
	g_test_add_func("/gateway-migration/late-answer-before-copy", test_late_answer_before_copy);
	g_test_add_func("/gateway-migration/release-departure", test_release_departure);
	g_test_add_func("/gateway-migration/late-release-answer", test_late_release_answer);
	g_test_add_func("/gateway-migration/ended-attempt", test_ended_attempt);
	g_test_add_func("/gateway-migration/evacuated-target", test_evacuated_target);
	g_test_add_func("/gateway-migration/evacuated-after-stop", test_evacuated_after_stop);
	g_test_add_func("/gateway-migration/evacuated-both", test_evacuated_both);
	g_test_add_func("/gateway-migration/invalid-status", test_invalid_status);
	g_test_add_func("/gateway-migration/moved-to-other-version", test_moved_to_other_version);
	g_test_add_func("/gateway-migration/backup-at-other-version", test_backup_at_other_version);
	g_test_add_func("/gateway-migration/resumed-at-other-version",
			test_resumed_at_other_version);
	return g_test_run();
}
