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

static const struct site_request once = { .path = "/once/", .key = SITE_KEY, .wait_ms = 3000 };
static const struct site_request safe = { .path = "/safe/", .key = SITE_KEY, .wait_ms = 3000 };

static struct site_request generation(const char *path, uint32_t output)
{
	return (struct site_request){
		.path = path, .key = SITE_KEY, .output = output, .wait_ms = 20000, .kept = true
	};
}

/* A site with two engines, two shops and one instance that is ready. */
struct fixture {
	struct site *site;
	struct stand *stand;
	struct stand_up *engines[2];
	struct stand_up *shops[2];
	struct site_gateway *gateway;
};

static struct stand_up *add_up(struct fixture *f, const char *id, bool engine, uint32_t number)
{
	g_autofree char *ip = site_ip(f->site, 100 + number);
	struct stand_up_conf conf = { .id = id,
				      .service = engine ? SITE_ENGINES : SITE_SHOP,
				      .zone = "z1",
				      .address = ip,
				      .engine = engine,
				      .work_ms = engine ? 20 : 5,
				      .pace_ms = 4 };
	struct stand_up *up = stand_up_create(f->stand, &conf);

	stand_up_list(up);
	return up;
}

static void set_up(struct fixture *f, const struct stand_up_conf *conf, struct stand_up *up)
{
	struct stand_up_conf full = *conf;

	full.pace_ms = full.pace_ms ? full.pace_ms : 4;
	stand_up_set(up, &full);
	(void)f;
}

static void fixture_open(struct fixture *f)
{
	f->site = site_create(7);
	f->stand = site_stand(f->site);
	f->engines[0] = add_up(f, "engine-1", true, 1);
	f->engines[1] = add_up(f, "engine-2", true, 2);
	f->shops[0] = add_up(f, "shop-1", false, 3);
	f->shops[1] = add_up(f, "shop-2", false, 4);
	site_configure(f->site, ",\"" SITE_OTHER_KEY "\"", NULL);
	f->gateway = site_gateway(f->site, "gw-1", NULL);
	site_start(f->gateway);
	g_assert_true(site_wait_ready(f->gateway, READY_MS));
}

static void fixture_close(struct fixture *f)
{
	site_destroy(f->site);
}

/* Makes a call that must end with a status; returns what replicas did. */
static struct stand_run expect(struct fixture *f, const struct site_request *request,
			       uint16_t status)
{
	struct site_answer answer = site_call(f->gateway, request);
	struct stand_run run = stand_run(f->stand, answer.id);

	if (answer.status != status) {
		g_autofree char *log = site_log(f->gateway, answer.id);

		g_error("%s: status %u instead of %u\n%s", request->path, answer.status, status,
			log);
	}
	site_answer_clear(&answer);
	return run;
}

/* The dump names what the instance knows, and no key. */
static void check_state(struct fixture *f)
{
	g_autofree char *text = site_get(f->site, f->gateway->metrics, "/state");
	g_autofree char *metrics = site_get(f->site, f->gateway->metrics, "/metrics");

	g_assert_nonnull(strstr(text, "\"id\":\"engine-1\""));
	g_assert_nonnull(strstr(text, "\"keys_fresh\":true"));
	g_assert_null(strstr(text, SITE_KEY));
	g_assert_nonnull(strstr(metrics, "requests_total 1"));
}

static void test_calm(void)
{
	struct fixture f;
	struct site_request request;
	struct site_answer answer;
	struct stand_run run;

	fixture_open(&f);
	run = expect(&f, &once, 200);
	g_assert_cmpuint(run.runs, ==, 1);
	check_state(&f);
	g_assert_cmpstr(run.customer, ==, "one");
	g_assert_false(run.key_passed);
	expect(&f, &safe, 200);
	request = generation("/long/", 200);
	answer = site_call(f.gateway, &request);
	g_assert_true(site_is_whole(&answer, 200));
	site_answer_clear(&answer);
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
	struct stand_run run;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct stand_up_conf){ .work_ms = 5, .lose_percent = 100 },
		       f.shops[i]);
	run = expect(&f, &once, 502);
	g_assert_cmpuint(run.runs, ==, 1);
	run = expect(&f, &safe, 502);
	g_assert_cmpuint(run.runs, ==, 2);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct stand_up_conf){ .work_ms = 5, .shed_percent = 100 },
		       f.shops[i]);
	run = expect(&f, &once, 503);
	g_assert_cmpuint(run.runs, ==, 0);
	/* one replica that refuses is gone round, once the other is trusted again */
	set_up(&f, &(struct stand_up_conf){ .work_ms = 5 }, f.shops[0]);
	site_run(f.site, 1000);
	for (uint32_t i = 0; i < 5; i++)
		g_assert_cmpuint(expect(&f, &once, 200).runs, ==, 1);
	fixture_close(&f);
}

/* The answer of another request is not passed on. */
static void test_foreign(void)
{
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct stand_up_conf){ .work_ms = 5, .foreign_percent = 100 },
		       f.shops[i]);
	g_assert_cmpuint(expect(&f, &once, 504).runs, ==, 1);
	fixture_close(&f);
}

/* Keys end within the bound, also when the store is away. */
static void test_revoked(void)
{
	struct fixture f;
	struct site_request request = once;
	struct site_answer answer;

	fixture_open(&f);
	request.key = SITE_OTHER_KEY;
	expect(&f, &request, 200);
	stand_set_mode(f.stand, STAND_STORE_SILENT);
	site_run(f.site, SITE_REVOKE_MS + 50);
	/* the store took the revocation, nobody was told */
	answer = site_call(f.gateway, &request);
	g_assert_cmpuint(answer.status, ==, 503);
	g_assert_cmpfloat(answer.retry_after_s, >, 0.0);
	g_assert_cmpuint(stand_run(f.stand, answer.id).arrivals, ==, 0);
	site_answer_clear(&answer);
	g_assert_false(site_is_ready(f.gateway));
	site_configure(f.site, NULL, NULL);
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	g_assert_true(site_wait_ready(f.gateway, READY_MS));
	g_assert_cmpuint(expect(&f, &request, 401).arrivals, ==, 0);
	expect(&f, &once, 200);
	fixture_close(&f);
}

/* A process that was stopped for long believes nothing from before. */
static void test_frozen(void)
{
	struct fixture f;
	struct site_request request = once;
	struct site_answer answer;

	fixture_open(&f);
	request.key = SITE_OTHER_KEY;
	request.wait_ms = 8000;
	expect(&f, &request, 200);
	site_signal(f.gateway, SIGSTOP);
	site_configure(f.site, NULL, NULL);
	site_run(f.site, SITE_REVOKE_MS + 50);
	site_begin(f.gateway, &request, &answer);
	site_run(f.site, 50);
	site_signal(f.gateway, SIGCONT);
	g_assert_true(site_wait(f.site, &answer, 10000));
	g_assert_cmpuint(answer.status, !=, 200);
	g_assert_cmpuint(stand_run(f.stand, answer.id).arrivals, ==, 0);
	site_answer_clear(&answer);
	fixture_close(&f);
}

/* Without a configuration of the store an instance serves nothing. */
static void test_start_without_store(void)
{
	struct fixture f;
	struct site_gateway *second;
	struct site_answer answer;

	fixture_open(&f);
	stand_set_mode(f.stand, STAND_STORE_BUSY);
	second = site_gateway(f.site, "gw-2", NULL);
	site_start(second);
	for (uint32_t i = 0; i < 400; i++) {
		answer = site_call(second, &once);
		if (answer.status)
			break;
		site_answer_clear(&answer);
		site_run(f.site, 20);
	}
	g_assert_cmpuint(answer.status, ==, 503);
	site_answer_clear(&answer);
	g_assert_false(site_is_ready(second));
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	g_assert_true(site_wait_ready(second, READY_MS));
	fixture_close(&f);
}

/* A running generation leaves an engine that leaves, and is one generation still. */
static void test_moved(void)
{
	struct fixture f;
	struct site_request request = generation("/long/", 2000);
	struct site_answer answers[6];

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		site_begin(f.gateway, &request, &answers[i]);
	site_run(f.site, 400);
	g_assert_cmpuint(stand_up_open(f.engines[0]), >, 0);
	stand_up_drain(f.engines[0]);
	site_run(f.site, 800);
	g_assert_cmpuint(stand_up_open(f.engines[0]), ==, 0);
	stand_up_crash(f.engines[0]);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(site_wait(f.site, &answers[i], 30000));
		g_assert_true(site_is_whole(&answers[i], 2000));
		g_assert_cmpuint(stand_run(f.stand, answers[i].id).runs, ==, 1);
		site_answer_clear(&answers[i]);
	}
	fixture_close(&f);
}

/* An engine that dies cuts what it ran: the caller sees that, and nothing runs twice. */
static void test_engine_dies(void)
{
	struct fixture f;
	struct site_request request = generation("/long/", 2000);
	struct site_request quick = generation("/quick/", 400);
	struct site_answer answers[4];
	uint32_t cut = 0;

	fixture_open(&f);
	for (uint32_t i = 0; i < 4; i++)
		site_begin(f.gateway, i < 2 ? &request : &quick, &answers[i]);
	site_run(f.site, 150);
	stand_up_crash(f.engines[0]);
	for (uint32_t i = 0; i < 4; i++) {
		uint32_t output = i < 2 ? 2000 : 400;

		g_assert_true(site_wait(f.site, &answers[i], 30000));
		if (answers[i].broken) {
			g_assert_true(site_is_beginning(&answers[i], output));
			cut++;
		} else {
			g_assert_true(site_is_whole(&answers[i], output));
		}
		if (i < 2)
			g_assert_cmpuint(stand_run(f.stand, answers[i].id).runs, ==, 1);
		/* what may be resumed is */
		else
			g_assert_false(answers[i].broken);
		site_answer_clear(&answers[i]);
	}
	g_assert_cmpuint(cut, <=, 2);
	fixture_close(&f);
}

/* Work is stopped when nobody waits for it any more. */
static void test_caller_left(void)
{
	struct fixture f;
	struct site_request request = generation("/long/", 4000);
	struct site_answer answer;
	struct site_call *call;

	fixture_open(&f);
	call = site_begin(f.gateway, &request, &answer);
	site_run(f.site, 200);
	g_assert_cmpuint(stand_up_open(f.engines[0]) + stand_up_open(f.engines[1]), ==, 1);
	site_leave(call);
	site_run(f.site, 500);
	g_assert_cmpuint(stand_up_open(f.engines[0]) + stand_up_open(f.engines[1]), ==, 0);
	site_answer_clear(&answer);
	fixture_close(&f);
}

/* A planned stop cuts nothing that it took early, and takes nothing that it would cut. */
static void test_stop(void)
{
	struct fixture f;
	struct site_request request = generation("/long/", 2000);
	struct site_request endless = generation("/long/", 40000);
	struct site_answer early;
	struct site_answer holder;
	struct site_answer late;

	fixture_open(&f);
	site_begin(f.gateway, &request, &early);
	/* keeps the process from ending before its grace does */
	site_begin(f.gateway, &endless, &holder);
	site_run(f.site, 200);
	site_signal(f.gateway, SIGTERM);
	site_run(f.site, 50);
	g_assert_false(site_is_ready(f.gateway));
	/* callers go on using what is open */
	g_assert_cmpuint(expect(&f, &once, 200).runs, ==, 1);
	site_run(f.site, 2800);
	late = site_call(f.gateway, &endless);
	g_assert_cmpuint(late.status, ==, 503);
	g_assert_cmpfloat(late.retry_after_s, >, 0.0);
	g_assert_cmpuint(stand_run(f.stand, late.id).arrivals, ==, 0);
	site_answer_clear(&late);
	g_assert_true(site_wait(f.site, &early, 30000));
	g_assert_true(site_is_whole(&early, 2000));
	site_answer_clear(&early);
	g_assert_true(site_wait(f.site, &holder, 30000));
	g_assert_true(site_is_beginning(&holder, 40000));
	site_answer_clear(&holder);
	g_assert_true(site_wait_exit(f.gateway, SITE_GRACE_S * 1000));
	fixture_close(&f);
}

/* A replica that leaves gets nothing more, though the store forgot its history meanwhile. */
static void test_leaving(void)
{
	struct fixture f;
	struct site_answer answer;

	fixture_open(&f);
	stand_set_mode(f.stand, STAND_STORE_RESET);
	stand_up_drain(f.shops[0]);
	stand_compact(f.stand);
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	site_run(f.site, 2000);
	for (uint32_t i = 0; i < 20; i++) {
		answer = site_call(f.gateway, &once);
		g_assert_cmpuint(answer.status, ==, 200);
		g_assert_cmpuint(stand_run(f.stand, answer.id).leaving_ms, ==, 0);
		site_answer_clear(&answer);
	}
	fixture_close(&f);
}

/* Entries that expired around an outage are used until they are known to be gone. */
static void test_lapse(void)
{
	struct fixture f;

	fixture_open(&f);
	stand_set_mode(f.stand, STAND_STORE_RESET);
	stand_put(f.stand, "servers", "shop-1", NULL);
	stand_put(f.stand, "servers", "shop-2", NULL);
	site_run(f.site, 1200);
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	site_run(f.site, 300);
	expect(&f, &once, 200);
	stand_up_list(f.shops[0]);
	site_run(f.site, 1500);
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
	struct site_request request = generation("/long/", 4000);
	struct site_answer answers[6];
	g_autofree char *log = NULL;
	const char *leaving = NULL;
	uint32_t runs;

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		site_begin(f.gateway, &request, &answers[i]);
	site_run(f.site, 400);
	stand_set_mode(f.stand, STAND_STORE_RESET);
	stand_up_expire(f.engines[0]);
	site_run(f.site, 1200);
	runs = stand_up_open(f.engines[0]);
	g_assert_cmpuint(runs, >, 0);
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	for (uint32_t i = 0; i < 100 && !leaving; i++) {
		site_run(f.site, 100);
		g_free(log);
		log = site_log(f.gateway, "engine-1");
		leaving = strstr(log, "\"state\":\"leaving\"");
	}
	g_assert_nonnull(leaving);
	g_assert_cmpuint(count_lines(log, leaving, "move-copied"), >=, runs);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(site_wait(f.site, &answers[i], 30000));
		g_assert_true(site_is_whole(&answers[i], 4000));
		g_assert_cmpuint(stand_run(f.stand, answers[i].id).runs, ==, 1);
		site_answer_clear(&answers[i]);
	}
	g_assert_cmpuint(stand_up_open(f.engines[0]), ==, 0);
	fixture_close(&f);
}

/* An entry that is back ends the copies that were made for it. */
static void test_lapse_back(void)
{
	struct fixture f;
	struct site_request request = generation("/long/", 4000);
	struct site_answer answers[6];
	uint32_t runs;

	fixture_open(&f);
	for (uint32_t i = 0; i < 6; i++)
		site_begin(f.gateway, &request, &answers[i]);
	site_run(f.site, 400);
	runs = stand_up_open(f.engines[0]);
	stand_set_mode(f.stand, STAND_STORE_RESET);
	stand_up_expire(f.engines[0]);
	site_run(f.site, 1200);
	stand_set_mode(f.stand, STAND_STORE_SOUND);
	for (uint32_t i = 0; i < 100 && stand_copies(f.stand) < runs; i++)
		site_run(f.site, 20);
	g_assert_cmpuint(stand_copies(f.stand), >=, runs);
	stand_up_list(f.engines[0]);
	for (uint32_t i = 0; i < 100 && stand_copies(f.stand) > 0; i++)
		site_run(f.site, 20);
	g_assert_cmpuint(stand_copies(f.stand), ==, 0);
	for (uint32_t i = 0; i < 6; i++) {
		g_assert_true(site_wait(f.site, &answers[i], 30000));
		g_assert_true(site_is_whole(&answers[i], 4000));
		site_answer_clear(&answers[i]);
	}
	fixture_close(&f);
}

/* A new configuration is in force soon and the old one does not come back. */
static void test_configuration(void)
{
	struct fixture f;
	struct site_request more = safe;

	fixture_open(&f);
	more.path = "/more/";
	expect(&f, &more, 404);
	site_configure(f.site, NULL, "/more/");
	site_run(f.site, 500);
	expect(&f, &more, 200);
	stand_set_mode(f.stand, STAND_STORE_RESET);
	site_run(f.site, 300);
	expect(&f, &more, 200);
	fixture_close(&f);
}

/* An upstream that falls silent costs the calls that it had, not those that come later. */
static void test_dark(void)
{
	struct fixture f;
	struct site_answer lost[12];

	fixture_open(&f);
	/* which of the two gets the next call is not known, so each is tried */
	set_up(&f, &(struct stand_up_conf){ .work_ms = 60000 }, f.shops[0]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(lost); i++)
		site_begin(f.gateway, &once, &lost[i]);
	site_run(f.site, 600);
	for (uint32_t i = 0; i < 30; i++)
		g_assert_cmpuint(expect(&f, &once, 200).runs, ==, 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(lost); i++) {
		g_assert_true(site_wait(f.site, &lost[i], 10000));
		site_answer_clear(&lost[i]);
	}
	/* nor once it has been left alone for a while: calls that may be repeated try it first */
	site_run(f.site, 4000);
	for (uint32_t i = 0; i < 30; i++)
		g_assert_cmpuint(expect(&f, &once, 200).runs, ==, 1);
	fixture_close(&f);
}

/* Instances of a region: one follows the store for the others, and its death, a notice and a
 * revoked key reach them all the same. */
static void test_delegate(void)
{
	struct fixture f;
	struct site_gateway *gateways[3];
	struct site_request request = once;
	uint32_t calls;

	fixture_open(&f);
	request.key = SITE_OTHER_KEY;
	gateways[0] = f.gateway;
	for (uint32_t i = 1; i < 3; i++) {
		g_autofree char *name = g_strdup_printf("gw-%u", i + 1);

		gateways[i] = site_gateway(f.site, name, NULL);
		site_start(gateways[i]);
		g_assert_true(site_wait_ready(gateways[i], READY_MS));
	}
	for (uint32_t i = 0; i < 200; i++) {
		uint32_t delegated = 0;

		for (uint32_t g = 0; g < 3; g++) {
			g_autofree char *log = site_log(gateways[g], "\"delegated\":\"yes\"");

			delegated += *log != '\0';
		}
		if (delegated == 2)
			break;
		g_assert_cmpuint(i, <, 199);
		site_run(f.site, 50);
	}
	/* while the store is sound, confirmations never run out */
	site_run(f.site, 5000);
	for (uint32_t g = 0; g < 3; g++) {
		g_autofree char *stale = site_log(gateways[g], "keys-stale");

		g_assert_cmpstr(stale, ==, "");
	}
	/* a notice reaches those that do not follow the list */
	stand_up_drain(f.shops[0]);
	site_run(f.site, 1000);
	for (uint32_t g = 0; g < 3; g++) {
		struct site_answer answer = site_call(gateways[g], &once);

		g_assert_cmpuint(answer.status, ==, 200);
		g_assert_cmpuint(stand_run(f.stand, answer.id).leaving_ms, ==, 0);
		site_answer_clear(&answer);
	}
	/* the calls to the store stay few: two waiting calls a second, and one in twelve */
	calls = stand_calls(f.stand);
	site_run(f.site, 3000);
	g_assert_cmpuint(stand_calls(f.stand) - calls, <, 3 * 3 * 2);
	/* each may be the delegate: whichever dies, the others go on */
	for (uint32_t g = 0; g < 2; g++) {
		site_signal(gateways[g], SIGKILL);
		site_run(f.site, 300);
		site_configure(f.site, g ? NULL : ",\"" SITE_OTHER_KEY "\"", NULL);
		stand_up_drain(g ? f.engines[1] : f.engines[0]);
		site_run(f.site, 4000);
		g_assert_true(site_wait_ready(gateways[2], READY_MS));
	}
	{
		g_autofree char *stale = site_log(gateways[2], "keys-stale");

		g_assert_cmpstr(stale, ==, "");
	}
	for (uint32_t i = 0; i < 5; i++) {
		struct site_answer answer = site_call(gateways[2], &request);

		g_assert_cmpuint(answer.status, ==, 401);
		site_answer_clear(&answer);
	}
	fixture_close(&f);
}

/* A list that takes several pages is read as a whole. */
static void test_pages(void)
{
	struct fixture f;
	struct site_gateway *other;
	uint32_t reads;

	fixture_open(&f);
	for (uint32_t i = 0; i < 1200; i++) {
		g_autofree char *id = g_strdup_printf("far-%04u", i);
		g_autofree char *text = g_strdup_printf(
			"{\"service\":\"elsewhere\",\"address\":\"127.9.%u.%u:9\",\"zone\":\"z1\","
			"\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,"
			"\"born\":1}",
			i / 200, i % 200 + 1);

		stand_put(f.stand, "servers", id, text);
	}
	/* a page that does not come is asked for again, not the pages before it */
	reads = stand_list_reads(f.stand);
	stand_lose_pages(f.stand, 1);
	other = site_gateway(f.site, "gw-2", NULL);
	site_start(other);
	g_assert_true(site_wait_ready(other, READY_MS));
	for (uint32_t i = 0;; i++) {
		g_autofree char *metrics = site_get(f.site, other->metrics, "/metrics");

		if (strstr(metrics, "upstreams 1204"))
			break;
		g_assert_cmpuint(i, <, 100);
		site_run(f.site, 50);
	}
	g_assert_cmpuint(stand_list_reads(f.stand) - reads, ==, 1);
	fixture_close(&f);
}

/* Each kind of failed request is explained by the lines of its id. */
static void test_explained(void)
{
	struct fixture f;
	struct site_answer answer;
	struct site_request request = generation("/long/", 400);
	g_autofree char *refused = NULL;
	g_autofree char *unknown = NULL;
	g_autofree char *cut = NULL;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct stand_up_conf){ .work_ms = 5, .shed_percent = 100 },
		       f.shops[i]);
	answer = site_call(f.gateway, &once);
	refused = site_log(f.gateway, answer.id);
	g_assert_nonnull(strstr(refused, "\"message\":\"request-placed\""));
	g_assert_nonnull(strstr(refused, "\"outcome\":\"not-run\""));
	g_assert_nonnull(strstr(refused, "\"message\":\"request-refused\""));
	site_answer_clear(&answer);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f, &(struct stand_up_conf){ .work_ms = 5, .lose_percent = 100 },
		       f.shops[i]);
	answer = site_call(f.gateway, &once);
	unknown = site_log(f.gateway, answer.id);
	g_assert_nonnull(strstr(unknown, "\"outcome\":\"broken\",\"action\":\"fail\""));
	g_assert_nonnull(strstr(unknown, "\"message\":\"request-failed\""));
	site_answer_clear(&answer);
	for (uint32_t i = 0; i < 2; i++)
		set_up(&f,
		       &(struct stand_up_conf){ .engine = true, .work_ms = 5, .cut_percent = 100 },
		       f.engines[i]);
	answer = site_call(f.gateway, &request);
	g_assert_true(answer.broken);
	g_assert_true(site_is_beginning(&answer, 400));
	cut = site_log(f.gateway, answer.id);
	g_assert_nonnull(strstr(cut, "\"message\":\"stream-cut\""));
	g_assert_nonnull(strstr(cut, "\"reason\":\"broken\""));
	site_answer_clear(&answer);
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
