/**
 * @file stale_version.c
 * The two replicas of a service start again one after the other, under their ids, with the next
 * version of their software. The only instance of a region cannot reach the store meanwhile.
 */
#include "common.h"

#include "proxy.h"

#include "flamingolatch/http_server.h"

#include <stdlib.h>
#include <string.h>

#define ENGINES	    2
#define ENGINE_PORT 8701
#define CALLERS	    12
#define EVENTS	    20
#define TOKENS	    (EVENTS * 4)
#define FIRST_MS    60
#define PACE_MS	    120
#define DOWN_MS	    200 /* of a replica that starts again */
#define WARM_UP_MS  6000
#define CUT_MS	    5000 /* the site file has up to 5,500 */
#define X_MS	    300	 /* after the cut began */
#define Y_MS	    3500
#define WATCH_MS    12000

struct engine {
	struct common *run;
	struct http_server *srv; /* NULL while it is down */
	char *id;
	char *ip;
	const char *version;
	uint64_t born_ms;
	uint64_t back_ms;
	GPtrArray *jobs;
};

struct job {
	struct engine *engine;
	struct http_req *req; /* NULL: the caller left */
	uv_timer_t timer;
	char *id;
	uint32_t event;
	bool begun;
};

struct stream {
	struct testbed_answer answer;
	bool open;
};

struct totals {
	uint32_t complete;
	uint32_t refused;
	uint32_t cut;
	uint32_t other;
	uint32_t mixed;
};

static void engine_list(struct engine *engine)
{
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"" TESTBED_ENGINE_SERVICE
		"\",\"address\":\"%s:%d\",\"zone\":\"z3\",\"version\":\"%s\",\"slots\":48,"
		"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":%" G_GUINT64_FORMAT
		"}",
		engine->ip, ENGINE_PORT, engine->version, engine->born_ms);

	mock_store_put(engine->run->platform, "servers", engine->id, entry);
}

static void job_on_closed(uv_handle_t *handle)
{
	struct job *job = handle->data;

	g_free(job->id);
	g_free(job);
}

static void job_free(struct job *job)
{
	if (job->req)
		http_req_set_callbacks(job->req, NULL, NULL, NULL);
	g_ptr_array_remove_fast(job->engine->jobs, job);
	uv_close((uv_handle_t *)&job->timer, job_on_closed);
}

static void job_on_gone(void *ctx)
{
	struct job *job = ctx;

	job->req = NULL;
	job_free(job);
}

static void job_on_timer(uv_timer_t *timer)
{
	struct job *job = timer->data;
	g_autofree char *event = g_strdup_printf("id: %u\ndata: %s %u %s\n\n", job->event + 1,
						 job->id, job->event + 1, job->engine->version);

	if (!job->begun) {
		job->begun = true;
		http_req_add_response_header(job->req, "X-Flamingolatch-Attempt-Id", job->id);
		http_req_add_response_header(job->req, "X-Flamingolatch-Replica-Signature",
					     "stand");
		http_req_stream_begin(job->req, 200, "text/event-stream");
	}
	if (job->event < EVENTS) {
		job->event++;
		http_req_stream_write(job->req, event, strlen(event));
	}
	if (job->event == EVENTS) {
		struct http_req *req = job->req;

		http_req_set_callbacks(req, NULL, NULL, NULL);
		job->req = NULL;
		http_req_stream_end(req);
		job_free(job);
	}
}

static void engine_on_request(void *ctx, struct http_req *req)
{
	struct engine *engine = ctx;
	const char *id = http_req_header(req, "x-flamingolatch-attempt-id");
	const char *expected = http_req_header(req, "x-flamingolatch-expect-replica");
	const char *after = http_req_header(req, "last-event-id");
	struct job *job;

	if (!id || strcmp(http_req_path(req), "/kv-move") == 0) {
		http_req_reply(req, id ? 404 : 400, NULL, "", 0);
		return;
	}
	if (expected && strcmp(expected, engine->id) != 0) {
		http_req_add_response_header(req, "X-Flamingolatch-Attempt-Id", id);
		http_req_add_response_header(req, "X-Flamingolatch-Replica-Id", engine->id);
		http_req_reply(req, 421, NULL, "", 0);
		return;
	}
	job = g_new0(struct job, 1);
	job->engine = engine;
	job->req = req;
	job->id = g_strdup(id);
	job->event = after ? (uint32_t)atoi(after) : 0;
	if (after)
		common_record("%s goes on after event %s at %s, version %s", id, after, engine->id,
			      engine->version);
	uv_timer_init(testbed_loop(engine->run->testbed), &job->timer);
	job->timer.data = job;
	g_ptr_array_add(engine->jobs, job);
	http_req_set_callbacks(req, job_on_gone, NULL, job);
	uv_timer_start(&job->timer, job_on_timer, FIRST_MS, PACE_MS);
}

static void engine_start(struct engine *engine)
{
	struct http_server_conf conf = { .address = engine->ip,
					 .port = ENGINE_PORT,
					 .max_body_bytes = 8U << 20 };

	engine->srv = http_server_create(testbed_loop(engine->run->testbed), &conf,
					 engine_on_request, engine, NULL);
	common_need(engine->run, engine->srv != NULL, "a replica listens");
	engine->born_ms = (uint64_t)g_get_real_time() / 1000;
	engine->back_ms = 0;
	engine_list(engine);
	common_record("%s runs version %s", engine->id, engine->version);
}

static void engine_stop(struct engine *engine, const char *next_version)
{
	common_record("%s ends, with %u requests open, and starts again with version %s",
		      engine->id, engine->jobs->len, next_version);
	while (engine->jobs->len)
		job_free(engine->jobs->pdata[0]);
	http_server_destroy(engine->srv);
	engine->srv = NULL;
	engine->version = next_version;
	engine->back_ms = common_now_ms() + DOWN_MS;
}

static void stream_judge(struct stream *stream, struct totals *totals)
{
	const char *body = stream->answer.body->str;
	bool old = strstr(body, " v1\n") != NULL;
	bool new = strstr(body, " v2\n") != NULL;

	if (old && new) {
		totals->mixed++;
		common_record("%s holds events of both versions in one answer, %s",
			      stream->answer.id,
			      stream->answer.broken ? "which was cut" : "which is complete");
	}
	if (stream->answer.status == 503)
		totals->refused++;
	else if (stream->answer.status == 200)
		*(stream->answer.broken ? &totals->cut : &totals->complete) += 1;
	else
		totals->other++;
	testbed_answer_clear(&stream->answer);
	stream->open = false;
}

int main(int argc, char **argv)
{
	static const struct testbed_request request = { .path = "/quick/",
							.key = TESTBED_KEY,
							.output_tokens = TOKENS,
							.prompt_tokens = 1000,
							.wait_ms = 6000 };
	struct common run = { 0 };
	struct engine engines[ENGINES] = { 0 };
	struct stream streams[CALLERS] = { 0 };
	struct totals totals = { 0 };
	struct testbed_gateway *gateway;
	struct proxy *proxy;
	g_autofree char *proxy_ip = NULL;
	uint64_t next_ms[CALLERS];
	uint64_t begin_ms;
	bool cut = false;
	bool healed = false;
	bool stopped[ENGINES] = { false };

	common_open(&run, argc, argv);
	common_configure(&run, 1, false);
	for (uint32_t i = 0; i < ENGINES; i++) {
		engines[i].run = &run;
		engines[i].id = g_strdup_printf("replica-%c", 'x' + (int)i);
		engines[i].ip = testbed_ip(run.testbed, 100 + i);
		engines[i].version = "v1";
		engines[i].jobs = g_ptr_array_new();
		engine_start(&engines[i]);
	}
	proxy_ip = testbed_ip(run.testbed, 90);
	proxy = proxy_create(testbed_loop(run.testbed), proxy_ip,
			     mock_platform_address(run.platform));
	gateway = common_gateway(&run, "gw-1", "z3", proxy_address(proxy));
	common_start(&run, gateway);
	begin_ms = common_now_ms();
	for (uint32_t i = 0; i < CALLERS; i++)
		next_ms[i] = begin_ms + i * 200;
	while (common_now_ms() - begin_ms < WARM_UP_MS + WATCH_MS) {
		uint64_t now_ms = common_now_ms();
		uint64_t since_ms =
			now_ms - begin_ms > WARM_UP_MS ? now_ms - begin_ms - WARM_UP_MS : 0;

		if (since_ms > 0 && !cut) {
			cut = true;
			if (run.trouble) {
				common_record("the store is out of reach of the instance");
				proxy_set_mode(proxy, PROXY_SILENT, 0);
			}
		}
		if (since_ms > CUT_MS && !healed) {
			healed = true;
			common_record("the store is within reach");
			proxy_set_mode(proxy, PROXY_PASS, 0);
		}
		for (uint32_t i = 0; i < ENGINES; i++) {
			if (!stopped[i] && since_ms > (i == 0 ? X_MS : Y_MS)) {
				stopped[i] = true;
				engine_stop(&engines[i], "v2");
			}
			if (engines[i].back_ms && now_ms >= engines[i].back_ms)
				engine_start(&engines[i]);
		}
		for (uint32_t i = 0; i < CALLERS; i++) {
			if (streams[i].open && streams[i].answer.ended) {
				stream_judge(&streams[i], &totals);
				next_ms[i] = now_ms + 100;
			}
			if (streams[i].open || now_ms < next_ms[i])
				continue;
			testbed_begin(gateway, &request, &streams[i].answer);
			streams[i].open = true;
		}
		testbed_run(run.testbed, 5);
	}
	common_need(&run, !testbed_has_exited(gateway), "the instance has not ended");
	common_need(&run, totals.complete > CALLERS, "streams are served");
	common_record("%u complete, %u refused, %u cut, %u others", totals.complete, totals.refused,
		      totals.cut, totals.other);
	common_record("%u streams hold events of both versions (allowed: 2)", totals.mixed);
	return common_close(&run, totals.mixed > 2 ? COMMON_BROKEN : COMMON_HELD);
}
