/**
 * @file test_gateway.c
 * The gateway program against a stand-in platform that misbehaves. Each case
 * checks what callers and replicas see; none has a timing bound but those that
 * the rules state.
 */
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <string.h>

#define READY_MS 20000

static const struct testbed_request once = { .path = "/once/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };
static const struct testbed_request safe = { .path = "/safe/",
					     .key = TESTBED_KEY,
					     .wait_ms = 3000 };

static struct testbed_request generation(const char *path, uint32_t output)
{
	return (struct testbed_request){ .path = path,
					 .key = TESTBED_KEY,
					 .output_tokens = output,
					 .wait_ms = 20000,
					 .reuse_connection = true };
}

/* A site with two engines, two shops and one instance that is ready. */
struct fixture {
	struct testbed *testbed;
	struct mock_platform *mock_platform;
	struct mock_upstream *engines[2];
	struct mock_upstream *shops[2];
	struct testbed_gateway *gateway;
};

static struct mock_upstream *add_up(struct fixture *f, const char *id, bool engine, uint32_t number)
{
	g_autofree char *ip = testbed_ip(f->testbed, 100 + number);
	struct mock_upstream_conf conf = { .id = id,
					   .service = engine ? TESTBED_ENGINE_SERVICE
							     : TESTBED_PLAIN_SERVICE,
					   .zone = "z1",
					   .address = ip,
					   .engine = engine,
					   .work_ms = engine ? 20 : 5,
					   .pace_ms = 4 };
	struct mock_upstream *up = mock_upstream_create(f->mock_platform, &conf);

	mock_upstream_list(up);
	return up;
}

static void set_up(struct fixture *f, const struct mock_upstream_conf *conf,
		   struct mock_upstream *up)
{
	struct mock_upstream_conf full = *conf;

	full.pace_ms = full.pace_ms ? full.pace_ms : 4;
	mock_upstream_configure(up, &full);
	(void)f;
}

static void fixture_open(struct fixture *f)
{
	f->testbed = testbed_create(7);
	f->mock_platform = testbed_platform(f->testbed);
	f->engines[0] = add_up(f, "engine-1", true, 1);
	f->engines[1] = add_up(f, "engine-2", true, 2);
	f->shops[0] = add_up(f, "shop-1", false, 3);
	f->shops[1] = add_up(f, "shop-2", false, 4);
	testbed_configure(f->testbed, ",\"" TESTBED_OTHER_KEY "\"", NULL);
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_MS));
}

static void fixture_close(struct fixture *f)
{
	testbed_destroy(f->testbed);
}

/* Makes a call that must end with a status; returns what replicas did. */
static struct mock_request_record expect(struct fixture *f, const struct testbed_request *request,
					 uint16_t status)
{
	struct testbed_answer answer = testbed_call(f->gateway, request);
	struct mock_request_record run = mock_request_record(f->mock_platform, answer.id);

	if (answer.status != status) {
		g_autofree char *log = testbed_log_lines(f->gateway, answer.id);

		g_error("%s: status %u instead of %u\n%s", request->path, answer.status, status,
			log);
	}
	testbed_answer_clear(&answer);
	return run;
}

/* The dump names what the instance knows, and no key. */
static void check_state(struct fixture *f)
{
	g_autofree char *text = testbed_get(f->testbed, f->gateway->metrics, "/state");
	g_autofree char *metrics = testbed_get(f->testbed, f->gateway->metrics, "/metrics");

	g_assert_nonnull(strstr(text, "\"id\":\"engine-1\""));
	g_assert_nonnull(strstr(text, "\"keys_fresh\":true"));
	g_assert_null(strstr(text, TESTBED_KEY));
	g_assert_nonnull(strstr(metrics, "requests_total 1"));
}

static void test_calm(void)
{
	struct fixture f;
	struct testbed_request request;
	struct testbed_answer answer;
	struct mock_request_record run;

	fixture_open(&f);
	run = expect(&f, &once, 200);
	g_assert_cmpuint(run.executions, ==, 1);
	check_state(&f);
	g_assert_cmpstr(run.customer, ==, "one");
	g_assert_false(run.key_forwarded);
	expect(&f, &safe, 200);
	request = generation("/long/", 200);
	answer = testbed_call(f.gateway, &request);
	g_assert_true(testbed_is_complete(&answer, 200));
	testbed_answer_clear(&answer);
	request = once;
	request.key = "unknown";
	g_assert_cmpuint(expect(&f, &request, 401).arrivals, ==, 0);
	request = once;
	request.path = "/none/";
	g_assert_cmpuint(expect(&f, &request, 404).arrivals, ==, 0);
	fixture_close(&f);
}

/* A request that may run once is sent once, and the answer says what is known. */
static void test_once(void)
{
	struct fixture f;
	struct mock_request_record run;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5, .lose_percent = 100 },
		       f.shops[i]);
	run = expect(&f, &once, 502);
	g_assert_cmpuint(run.executions, ==, 1);
	run = expect(&f, &safe, 502);
	g_assert_cmpuint(run.executions, ==, 2);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5, .shed_percent = 100 },
		       f.shops[i]);
	run = expect(&f, &once, 503);
	g_assert_cmpuint(run.executions, ==, 0);
	/* one replica that refuses is gone round, once the other is trusted again */
	set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5 }, f.shops[0]);
	testbed_run(f.testbed, 1000);
	for (uint32_t i = 0; i < 5; i++)
		g_assert_cmpuint(expect(&f, &once, 200).executions, ==, 1);
	fixture_close(&f);
}

/* The answer of another request is not passed on. */
static void test_foreign(void)
{
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5, .foreign_percent = 100 },
		       f.shops[i]);
	g_assert_cmpuint(expect(&f, &once, 504).executions, ==, 1);
	fixture_close(&f);
}

/* Keys end within the bound, also when the store is away. */
static void test_revoked(void)
{
	struct fixture f;
	struct testbed_request request = once;
	struct testbed_answer answer;

	fixture_open(&f);
	request.key = TESTBED_OTHER_KEY;
	expect(&f, &request, 200);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_SILENT);
	testbed_run(f.testbed, TESTBED_REVOKE_MS + 50);
	/* the store took the revocation, nobody was told */
	answer = testbed_call(f.gateway, &request);
	g_assert_cmpuint(answer.status, ==, 503);
	g_assert_cmpfloat(answer.retry_after_s, >, 0.0);
	g_assert_cmpuint(mock_request_record(f.mock_platform, answer.id).arrivals, ==, 0);
	testbed_answer_clear(&answer);
	g_assert_false(testbed_is_ready(f.gateway));
	testbed_configure(f.testbed, NULL, NULL);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	g_assert_true(testbed_wait_ready(f.gateway, READY_MS));
	g_assert_cmpuint(expect(&f, &request, 401).arrivals, ==, 0);
	expect(&f, &once, 200);
	fixture_close(&f);
}

/* A process that was stopped for long believes nothing from before. */
static void test_frozen(void)
{
	struct fixture f;
	struct testbed_request request = once;
	struct testbed_answer answer;

	fixture_open(&f);
	request.key = TESTBED_OTHER_KEY;
	request.wait_ms = 8000;
	expect(&f, &request, 200);
	testbed_signal(f.gateway, SIGSTOP);
	testbed_configure(f.testbed, NULL, NULL);
	testbed_run(f.testbed, TESTBED_REVOKE_MS + 50);
	testbed_begin(f.gateway, &request, &answer);
	testbed_run(f.testbed, 50);
	testbed_signal(f.gateway, SIGCONT);
	g_assert_true(testbed_wait(f.testbed, &answer, 10000));
	g_assert_cmpuint(answer.status, !=, 200);
	g_assert_cmpuint(mock_request_record(f.mock_platform, answer.id).arrivals, ==, 0);
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* Without a configuration of the store an instance serves nothing. */
static void test_start_without_store(void)
{
	struct fixture f;
	struct testbed_gateway *second;
	struct testbed_answer answer;

	fixture_open(&f);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_BUSY);
	second = testbed_gateway(f.testbed, "gw-2", NULL);
	testbed_start(second);
	for (uint32_t i = 0; i < 400; i++) {
		answer = testbed_call(second, &once);
		if (answer.status)
			break;
		testbed_answer_clear(&answer);
		testbed_run(f.testbed, 20);
	}
	g_assert_cmpuint(answer.status, ==, 503);
	testbed_answer_clear(&answer);
	g_assert_false(testbed_is_ready(second));
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	g_assert_true(testbed_wait_ready(second, READY_MS));
	fixture_close(&f);
}

/* A running generation leaves an engine that leaves, and is one generation still. */
static void test_moved(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 2000);
	struct testbed_answer answers[6];

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		testbed_begin(f.gateway, &request, &answers[i]);
	testbed_run(f.testbed, 400);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), >, 0);
	mock_upstream_drain(f.engines[0]);
	testbed_run(f.testbed, 800);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), ==, 0);
	mock_upstream_crash(f.engines[0]);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(testbed_wait(f.testbed, &answers[i], 30000));
		g_assert_true(testbed_is_complete(&answers[i], 2000));
		g_assert_cmpuint(mock_request_record(f.mock_platform, answers[i].id).executions, ==,
				 1);
		testbed_answer_clear(&answers[i]);
	}
	fixture_close(&f);
}

/* An engine that dies cuts what it ran: the caller sees that, and nothing runs twice. */
static void test_engine_dies(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 2000);
	struct testbed_request quick = generation("/quick/", 400);
	struct testbed_answer answers[4];
	uint32_t cut = 0;

	fixture_open(&f);
	for (uint32_t i = 0; i < 4; i++)
		testbed_begin(f.gateway, i < 2 ? &request : &quick, &answers[i]);
	testbed_run(f.testbed, 150);
	mock_upstream_crash(f.engines[0]);
	for (uint32_t i = 0; i < 4; i++) {
		uint32_t output = i < 2 ? 2000 : 400;

		g_assert_true(testbed_wait(f.testbed, &answers[i], 30000));
		if (answers[i].broken) {
			g_assert_true(testbed_is_prefix(&answers[i], output));
			cut++;
		} else {
			g_assert_true(testbed_is_complete(&answers[i], output));
		}
		if (i < 2)
			g_assert_cmpuint(
				mock_request_record(f.mock_platform, answers[i].id).executions, ==,
				1);
		/* what may be resumed is */
		else
			g_assert_false(answers[i].broken);
		testbed_answer_clear(&answers[i]);
	}
	g_assert_cmpuint(cut, <=, 2);
	fixture_close(&f);
}

/* Work is stopped when nobody waits for it any more. */
static void test_caller_left(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 4000);
	struct testbed_answer answer;
	struct testbed_call *call;

	fixture_open(&f);
	call = testbed_begin(f.gateway, &request, &answer);
	testbed_run(f.testbed, 200);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]) +
				 mock_upstream_open_count(f.engines[1]),
			 ==, 1);
	testbed_disconnect(call);
	testbed_run(f.testbed, 500);
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]) +
				 mock_upstream_open_count(f.engines[1]),
			 ==, 0);
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

/* A planned stop cuts nothing that it took early, and takes nothing that it would cut. */
static void test_stop(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 2000);
	struct testbed_request endless = generation("/long/", 40000);
	struct testbed_answer early;
	struct testbed_answer holder;
	struct testbed_answer late;

	fixture_open(&f);
	testbed_begin(f.gateway, &request, &early);
	/* keeps the process from ending before its grace does */
	testbed_begin(f.gateway, &endless, &holder);
	testbed_run(f.testbed, 200);
	testbed_signal(f.gateway, SIGTERM);
	testbed_run(f.testbed, 50);
	g_assert_false(testbed_is_ready(f.gateway));
	/* callers go on using what is open */
	g_assert_cmpuint(expect(&f, &once, 200).executions, ==, 1);
	testbed_run(f.testbed, 2800);
	late = testbed_call(f.gateway, &endless);
	g_assert_cmpuint(late.status, ==, 503);
	g_assert_cmpfloat(late.retry_after_s, >, 0.0);
	g_assert_cmpuint(mock_request_record(f.mock_platform, late.id).arrivals, ==, 0);
	testbed_answer_clear(&late);
	g_assert_true(testbed_wait(f.testbed, &early, 30000));
	g_assert_true(testbed_is_complete(&early, 2000));
	testbed_answer_clear(&early);
	g_assert_true(testbed_wait(f.testbed, &holder, 30000));
	g_assert_true(testbed_is_prefix(&holder, 40000));
	testbed_answer_clear(&holder);
	g_assert_true(testbed_wait_exit(f.gateway, TESTBED_GRACE_S * 1000));
	fixture_close(&f);
}

/* A replica that leaves gets nothing more, though the store forgot its history meanwhile. */
static void test_leaving(void)
{
	struct fixture f;
	struct testbed_answer answer;

	fixture_open(&f);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_RESET);
	mock_upstream_drain(f.shops[0]);
	mock_store_drop_history(f.mock_platform);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	testbed_run(f.testbed, 2000);
	for (uint32_t i = 0; i < 20; i++) {
		answer = testbed_call(f.gateway, &once);
		g_assert_cmpuint(answer.status, ==, 200);
		g_assert_cmpuint(mock_request_record(f.mock_platform, answer.id).leaving_ms, ==, 0);
		testbed_answer_clear(&answer);
	}
	fixture_close(&f);
}

/* Entries that expired around an outage are used until they are known to be gone. */
static void test_lapse(void)
{
	struct fixture f;

	fixture_open(&f);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_RESET);
	mock_store_put(f.mock_platform, "servers", "shop-1", NULL);
	mock_store_put(f.mock_platform, "servers", "shop-2", NULL);
	testbed_run(f.testbed, 1200);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	testbed_run(f.testbed, 300);
	expect(&f, &once, 200);
	mock_upstream_list(f.shops[0]);
	testbed_run(f.testbed, 1500);
	for (uint32_t i = 0; i < 10; i++)
		expect(&f, &once, 200);
	fixture_close(&f);
}

/* Returns how many lines with a text stand in a log before its end. */
static uint32_t count_lines(const char *log, const char *end, const char *text)
{
	uint32_t count = 0;
	const char *at = log;

	while ((at = strstr(at, text)) && at < end) {
		at += strlen(text);
		count++;
	}
	return count;
}

/* An engine whose entry is missing after an outage has its runs copied before it counts as
 * leaving, since it may have announced so while the store was away. */
static void test_lapse_copied(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 4000);
	struct testbed_answer answers[6];
	g_autofree char *log = NULL;
	const char *leaving = NULL;
	uint32_t runs;

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		testbed_begin(f.gateway, &request, &answers[i]);
	testbed_run(f.testbed, 400);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_RESET);
	mock_upstream_unlist(f.engines[0]);
	testbed_run(f.testbed, 1200);
	runs = mock_upstream_open_count(f.engines[0]);
	g_assert_cmpuint(runs, >, 0);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	for (uint32_t i = 0; i < 100 && !leaving; i++) {
		testbed_run(f.testbed, 100);
		g_free(log);
		log = testbed_log_lines(f.gateway, "engine-1");
		leaving = strstr(log, "\"state\":\"leaving\"");
	}
	g_assert_nonnull(leaving);
	g_assert_cmpuint(count_lines(log, leaving, "move-copied"), >=, runs);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(testbed_wait(f.testbed, &answers[i], 30000));
		g_assert_true(testbed_is_complete(&answers[i], 4000));
		g_assert_cmpuint(mock_request_record(f.mock_platform, answers[i].id).executions, ==,
				 1);
		testbed_answer_clear(&answers[i]);
	}
	g_assert_cmpuint(mock_upstream_open_count(f.engines[0]), ==, 0);
	fixture_close(&f);
}

/* An entry that is back ends the copies that were made for it. */
static void test_lapse_back(void)
{
	struct fixture f;
	struct testbed_request request = generation("/long/", 4000);
	struct testbed_answer answers[6];
	uint32_t runs;

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		testbed_begin(f.gateway, &request, &answers[i]);
	testbed_run(f.testbed, 400);
	runs = mock_upstream_open_count(f.engines[0]);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_RESET);
	mock_upstream_unlist(f.engines[0]);
	testbed_run(f.testbed, 1200);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_HEALTHY);
	for (uint32_t i = 0; i < 100 && mock_platform_kv_copy_count(f.mock_platform) < runs; i++)
		testbed_run(f.testbed, 20);
	g_assert_cmpuint(mock_platform_kv_copy_count(f.mock_platform), >=, runs);
	mock_upstream_list(f.engines[0]);
	for (uint32_t i = 0; i < 100 && mock_platform_kv_copy_count(f.mock_platform) > 0; i++)
		testbed_run(f.testbed, 20);
	g_assert_cmpuint(mock_platform_kv_copy_count(f.mock_platform), ==, 0);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(testbed_wait(f.testbed, &answers[i], 30000));
		g_assert_true(testbed_is_complete(&answers[i], 4000));
		testbed_answer_clear(&answers[i]);
	}
	fixture_close(&f);
}

/* A new configuration is in force soon and the old one does not come back. */
static void test_configuration(void)
{
	struct fixture f;
	struct testbed_request more = safe;

	fixture_open(&f);
	more.path = "/more/";
	expect(&f, &more, 404);
	testbed_configure(f.testbed, NULL, "/more/");
	testbed_run(f.testbed, 500);
	expect(&f, &more, 200);
	mock_store_set_mode(f.mock_platform, MOCK_STORE_RESET);
	testbed_run(f.testbed, 300);
	expect(&f, &more, 200);
	fixture_close(&f);
}

/* An upstream that falls silent costs the calls that it had, not those that come later. */
static void test_dark(void)
{
	struct fixture f;
	struct testbed_answer lost[12];

	fixture_open(&f);
	/* which of the two gets the next call is not known, so each is tried */
	set_up(&f, &(struct mock_upstream_conf){ .work_ms = 60000 }, f.shops[0]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(lost); i++)
		testbed_begin(f.gateway, &once, &lost[i]);
	testbed_run(f.testbed, 600);
	for (uint32_t i = 0; i < 30; i++)
		g_assert_cmpuint(expect(&f, &once, 200).executions, ==, 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		g_assert_true(testbed_wait(f.testbed, &lost[i], 10000));
		testbed_answer_clear(&lost[i]);
	}
	/* nor once it has been left alone for a while: calls that may be repeated try it first */
	testbed_run(f.testbed, 4000);
	for (uint32_t i = 0; i < 30; i++)
		g_assert_cmpuint(expect(&f, &once, 200).executions, ==, 1);
	fixture_close(&f);
}

/* Instances of a region: one follows the store for the others, and its death, a notice and a
 * revoked key reach them all the same. */
static void test_delegate(void)
{
	struct fixture f;
	struct testbed_gateway *gateways[3];
	struct testbed_request request = once;
	uint32_t calls;

	fixture_open(&f);
	request.key = TESTBED_OTHER_KEY;
	gateways[0] = f.gateway;
	for (uint32_t i = 1; i < 3; i++) {
		g_autofree char *name = g_strdup_printf("gw-%u", i + 1);

		gateways[i] = testbed_gateway(f.testbed, name, NULL);
		testbed_start(gateways[i]);
		g_assert_true(testbed_wait_ready(gateways[i], READY_MS));
	}
	for (uint32_t i = 0; i < 200; i++) {
		uint32_t delegated = 0;

		for (uint32_t g = 0; g < 3; g++) {
			g_autofree char *log =
				testbed_log_lines(gateways[g], "\"delegated\":\"yes\"");

			delegated += *log != '\0';
		}
		if (delegated == 2)
			break;
		g_assert_cmpuint(i, <, 199);
		testbed_run(f.testbed, 50);
	}
	/* while the store is sound, confirmations never run out */
	testbed_run(f.testbed, 5000);
	for (uint32_t g = 0; g < 3; g++) {
		g_autofree char *stale = testbed_log_lines(gateways[g], "keys-stale");

		g_assert_cmpstr(stale, ==, "");
	}
	/* a notice reaches those that do not follow the list */
	mock_upstream_drain(f.shops[0]);
	testbed_run(f.testbed, 1000);
	for (uint32_t g = 0; g < 3; g++) {
		struct testbed_answer answer = testbed_call(gateways[g], &once);

		g_assert_cmpuint(answer.status, ==, 200);
		g_assert_cmpuint(mock_request_record(f.mock_platform, answer.id).leaving_ms, ==, 0);
		testbed_answer_clear(&answer);
	}
	/* the calls to the store stay few: two waiting calls a second, and one in twelve */
	calls = mock_store_call_count(f.mock_platform);
	testbed_run(f.testbed, 3000);
	g_assert_cmpuint(mock_store_call_count(f.mock_platform) - calls, <, 3 * 3 * 2);
	/* each may be the delegate: whichever dies, the others go on */
	for (uint32_t g = 0; g < 2; g++) {
		testbed_signal(gateways[g], SIGKILL);
		testbed_run(f.testbed, 300);
		testbed_configure(f.testbed, g ? NULL : ",\"" TESTBED_OTHER_KEY "\"", NULL);
		mock_upstream_drain(g ? f.engines[1] : f.engines[0]);
		testbed_run(f.testbed, 4000);
		g_assert_true(testbed_wait_ready(gateways[2], READY_MS));
	}
	{
		g_autofree char *stale = testbed_log_lines(gateways[2], "keys-stale");

		g_assert_cmpstr(stale, ==, "");
	}
	for (uint32_t i = 0; i < 5; i++) {
		struct testbed_answer answer = testbed_call(gateways[2], &request);

		g_assert_cmpuint(answer.status, ==, 401);
		testbed_answer_clear(&answer);
	}
	fixture_close(&f);
}

/* A list that takes several pages is read as a whole. */
static void test_pages(void)
{
	struct fixture f;
	struct testbed_gateway *other;
	uint32_t reads;

	fixture_open(&f);
	for (uint32_t i = 0; i < 1200; i++) {
		g_autofree char *id = g_strdup_printf("far-%04u", i);
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"elsewhere\",\"address\":\"127.9.%u.%u:9\",\"zone\":\"z1\","
			"\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,"
			"\"born\":1}",
			i / 200, i % 200 + 1);

		mock_store_put(f.mock_platform, "servers", id, text);
	}
	/* a page that does not come is asked for again, not the pages before it */
	reads = mock_store_list_read_count(f.mock_platform);
	mock_store_lose_pages(f.mock_platform, 1);
	other = testbed_gateway(f.testbed, "gw-2", NULL);
	testbed_start(other);
	g_assert_true(testbed_wait_ready(other, READY_MS));
	for (uint32_t i = 0;; i++) {
		g_autofree char *metrics = testbed_get(f.testbed, other->metrics, "/metrics");

		if (strstr(metrics, "upstreams 1204"))
			break;
		g_assert_cmpuint(i, <, 100);
		testbed_run(f.testbed, 50);
	}
	g_assert_cmpuint(mock_store_list_read_count(f.mock_platform) - reads, ==, 1);
	fixture_close(&f);
}

/* Each kind of failed request is explained by the lines of its id. */
static void test_explained(void)
{
	struct fixture f;
	struct testbed_answer answer;
	struct testbed_request request = generation("/long/", 400);
	g_autofree char *refused = NULL;
	g_autofree char *unknown = NULL;
	g_autofree char *cut = NULL;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5, .shed_percent = 100 },
		       f.shops[i]);
	answer = testbed_call(f.gateway, &once);
	refused = testbed_log_lines(f.gateway, answer.id);
	g_assert_nonnull(strstr(refused, "\"message\":\"request-placed\""));
	g_assert_nonnull(strstr(refused, "\"outcome\":\"not-run\""));
	g_assert_nonnull(strstr(refused, "\"message\":\"request-refused\""));
	testbed_answer_clear(&answer);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct mock_upstream_conf){ .work_ms = 5, .lose_percent = 100 },
		       f.shops[i]);
	answer = testbed_call(f.gateway, &once);
	unknown = testbed_log_lines(f.gateway, answer.id);
	g_assert_nonnull(strstr(unknown, "\"outcome\":\"broken\",\"action\":\"fail\""));
	g_assert_nonnull(strstr(unknown, "\"message\":\"request-failed\""));
	testbed_answer_clear(&answer);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f,
		       &(struct mock_upstream_conf){
			       .engine = true, .work_ms = 5, .cut_percent = 100 },
		       f.engines[i]);
	answer = testbed_call(f.gateway, &request);
	g_assert_true(answer.broken);
	g_assert_true(testbed_is_prefix(&answer, 400));
	cut = testbed_log_lines(f.gateway, answer.id);
	g_assert_nonnull(strstr(cut, "\"message\":\"stream-cut\""));
	g_assert_nonnull(strstr(cut, "\"reason\":\"broken\""));
	testbed_answer_clear(&answer);
	fixture_close(&f);
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway/calm", test_calm);
	g_test_add_func("/gateway/once", test_once);
	g_test_add_func("/gateway/foreign", test_foreign);
	g_test_add_func("/gateway/revoked", test_revoked);
	g_test_add_func("/gateway/frozen", test_frozen);
	g_test_add_func("/gateway/start-without-store", test_start_without_store);
	g_test_add_func("/gateway/moved", test_moved);
	g_test_add_func("/gateway/engine-dies", test_engine_dies);
	g_test_add_func("/gateway/caller-left", test_caller_left);
	g_test_add_func("/gateway/stop", test_stop);
	g_test_add_func("/gateway/leaving", test_leaving);
	g_test_add_func("/gateway/lapse", test_lapse);
	g_test_add_func("/gateway/lapse-copied", test_lapse_copied);
	g_test_add_func("/gateway/lapse-back", test_lapse_back);
	g_test_add_func("/gateway/configuration", test_configuration);
	g_test_add_func("/gateway/dark", test_dark);
	g_test_add_func("/gateway/delegate", test_delegate);
	g_test_add_func("/gateway/pages", test_pages);
	g_test_add_func("/gateway/explained", test_explained);
	return g_test_run();
}
