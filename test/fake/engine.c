/**
 * @file engine.c
 * Fake inference engine with HTTP and server-sent events.
 *
 * POST /v1/generate starts a stream and attaches the client to it.
 * GET /v1/streams/ID?offset&epoch&takeover replaces the client; the new one gets
 * the tokens from the offset on. The epoch must be that of the stream; takeover
 * accepts any epoch and increments that of the stream.
 * DELETE /v1/streams/ID?epoch cancels the generation.
 * GET /v1/load?cache_after reports the load of --lag-ms ago and the prefix cache
 * events after the given sequence number.
 * POST /v1/orders {"order", "fence"} is an order to load a version or to change
 * the role; with --check-fence one with an old fencing token is refused.
 * POST /fault {"stall_ms", "leave", "break", "forget"}: run no iteration for that
 * time; announce leaving and refuse new generations; close the connections of all
 * streams; drop all streams.
 *
 * The text of a token contains the seed and the generation (token.h), so that a
 * test can tell which generation it belongs to.
 */
#include "engine_model.h"
#include "fake.h"
#include "flamingolatch/pool.h"
#include "token.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ENGINE_PREFIX_MAX_BLOCKS    32
#define ENGINE_BYTES_PER_TOKEN	    4
#define ENGINE_REPORT_INTERVAL_MS   100
#define ENGINE_REPORT_HISTORY_COUNT 64 /* so --lag-ms must stay below 6400 */
#define ENGINE_CACHE_HISTORY_COUNT  256

struct engine_stream {
	struct engine *engine;
	struct engine_model_job *job; /* NULL once complete */
	struct http_req *req;	      /* attached client, or NULL */
	char *id;
	char *request; /* request id from the body of /v1/generate */
	uint64_t seed;
	uint64_t epoch;
	uint64_t produced;     /* output tokens so far */
	uint64_t first_offset; /* tokens before it were produced by another engine */
	uint64_t next_offset;  /* next offset for the attached client */
	uint64_t generation;   /* id in the token texts; 0 when any engine can continue it */
	bool complete;
};

struct engine {
	struct fake fake;
	struct engine_model *model;
	GHashTable *streams; /* id to struct engine_stream */
	uv_timer_t step;
	uv_timer_t report;
	json_t *reports[ENGINE_REPORT_HISTORY_COUNT];
	uint64_t report_count;
	json_t *cache_events; /* oldest first */
	uint64_t cache_seq;
	uint64_t stream_seq;
	uint64_t stall_until_ms;
	uint64_t highest_fence;
	gint kv_tokens; /* size of the KV cache */
	gint max_batch;
	gint step_us;
	gint report_lag_ms;
	gint median_tokens;
	gboolean check_fence;
	gboolean exact;
	gint omit_cache_event_every;
	char *name;
	char *version;
	bool leaving;
	bool step_scheduled;
};

static void engine_schedule_step(struct engine *engine);

/* helpers */

static void engine_send_event(struct http_req *req, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	g_autofree char *event = g_strdup_printf("data: %s\n\n", text);

	http_req_stream_write(req, event, strlen(event));
	free(text);
	json_decref(root);
}

static void engine_log_stream(struct engine_stream *stream, const char *what)
{
	fake_log(&stream->engine->fake,
		 json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "ev", what, "engine",
			   stream->engine->name, "stream", stream->id, "request", stream->request,
			   "seed", (json_int_t)stream->seed, "produced",
			   (json_int_t)stream->produced, "epoch", (json_int_t)stream->epoch,
			   "generation", (json_int_t)stream->generation));
}

/* Sends the attached client the tokens it lacks, and the end of a complete stream. */
static void engine_send_pending(struct engine_stream *stream)
{
	char text[TOKEN_TEXT_MAX];

	while (stream->req && stream->next_offset < stream->produced) {
		token_text(stream->seed, stream->generation, stream->next_offset, text);
		engine_send_event(
			stream->req,
			json_pack("{s:I, s:s}", "o", (json_int_t)stream->next_offset, "t", text));
		stream->next_offset++;
	}
	if (stream->req && stream->complete) {
		engine_send_event(stream->req,
				  json_pack("{s:{s:I, s:s}}", "end", "total",
					    (json_int_t)stream->produced, "reason", "stop"));
		http_req_stream_end(stream->req);
		stream->req = NULL;
	}
}

static void engine_on_client_gone(void *ctx)
{
	struct engine_stream *stream = ctx;

	stream->req = NULL;
}

/* Attaches a client; the client before is sent "fenced" and disconnected. */
static void engine_attach(struct engine_stream *stream, struct http_req *req, uint64_t offset)
{
	if (stream->req) {
		engine_send_event(stream->req, json_pack("{s:b}", "fenced", 1));
		http_req_stream_end(stream->req);
	}
	stream->req = req;
	stream->next_offset = offset;
	http_req_stream_begin(req, 200, "text/event-stream");
	http_req_set_callbacks(req, engine_on_client_gone, NULL, stream);
	engine_send_event(req,
			  json_pack("{s:{s:s, s:I, s:b}}", "open", "stream", stream->id, "epoch",
				    (json_int_t)stream->epoch, "exact", stream->engine->exact));
	engine_send_pending(stream);
}

static void engine_stream_free(gpointer data)
{
	struct engine_stream *stream = data;

	if (stream->job)
		engine_model_cancel(stream->engine->model, stream->job);
	if (stream->req) {
		http_req_set_callbacks(stream->req, NULL, NULL, NULL);
		http_req_stream_abort(stream->req);
	}
	g_free(stream->id);
	g_free(stream->request);
	g_free(stream);
}

/* callbacks of the model */

static void engine_on_token(void *ctx, void *user, uint64_t offset, bool last)
{
	struct engine_stream *stream = user;

	(void)ctx;
	stream->produced = offset + 1;
	if (last) {
		stream->complete = true;
		stream->job = NULL;
		engine_log_stream(stream, "end");
	}
	engine_send_pending(stream);
}

static void engine_on_preempted(void *ctx, void *user, bool preempted)
{
	struct engine_stream *stream = user;

	(void)ctx;
	engine_log_stream(stream, preempted ? "preempt" : "take_back");
	if (stream->req)
		engine_send_event(stream->req, json_pack("{s:b}", "preempted", preempted));
}

static void engine_on_cache(void *ctx, uint64_t block, bool stored)
{
	struct engine *engine = ctx;
	g_autofree char *hex = g_strdup_printf("%016" G_GINT64_MODIFIER "x", block);

	/* An omitted event leaves a gap in the sequence numbers, as a lost one would. */
	engine->cache_seq++;
	if (engine->omit_cache_event_every &&
	    engine->cache_seq % (uint64_t)engine->omit_cache_event_every == 0)
		return;
	json_array_append_new(engine->cache_events,
			      json_pack("{s:I, s:s, s:b}", "seq", (json_int_t)engine->cache_seq,
					"block", hex, "stored", stored));
	while (json_array_size(engine->cache_events) > ENGINE_CACHE_HISTORY_COUNT)
		json_array_remove(engine->cache_events, 0);
}

static const struct engine_model_events engine_model_callbacks = { engine_on_token,
								   engine_on_preempted,
								   engine_on_cache };

/* time */

static void engine_on_step(uv_timer_t *timer)
{
	struct engine *engine = timer->data;
	uint64_t now_ms = fake_now_ms();
	uint64_t took_us;

	engine->step_scheduled = false;
	if (now_ms < engine->stall_until_ms) {
		engine->step_scheduled = true;
		uv_timer_start(timer, engine_on_step, engine->stall_until_ms - now_ms, 0);
		return;
	}
	took_us = engine_model_step(engine->model);
	if (took_us == 0)
		return;
	engine->step_scheduled = true;
	uv_timer_start(timer, engine_on_step, took_us / 1000, 0);
}

static void engine_schedule_step(struct engine *engine)
{
	if (engine->step_scheduled)
		return;
	engine->step_scheduled = true;
	uv_timer_start(&engine->step, engine_on_step, 0, 0);
}

static void engine_on_report(uv_timer_t *timer)
{
	struct engine *engine = timer->data;
	uint64_t slot = engine->report_count++ % ENGINE_REPORT_HISTORY_COUNT;
	struct engine_model_stats report;

	engine_model_stats(engine->model, &report);
	json_decref(engine->reports[slot]);
	engine->reports[slot] = json_pack(
		"{s:I, s:I, s:I, s:I, s:I}", "kv_capacity", (json_int_t)report.kv_tokens, "kv_used",
		(json_int_t)report.kv_used, "running", (json_int_t)report.running, "waiting",
		(json_int_t)report.waiting, "preemptions", (json_int_t)report.preemptions);
}

/* requests */

/*
 * Returns an output length in tokens, log-normal with sigma 1 and the configured
 * median. It is the same for the same seed on every engine with that median.
 */
static uint64_t engine_draw_output_length(const struct engine *engine, uint64_t seed, uint64_t max)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed((guint32)(seed * 2654435761u + 17));
	double u = g_rand_double_range(rand, 1e-9, 1.0);
	double v = g_rand_double(rand);
	double normal = sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
	double length = engine->median_tokens * exp(normal);

	return CLAMP((uint64_t)length, 1, max);
}

static void engine_on_generate(struct engine *engine, struct http_req *req)
{
	json_t *root = fake_parse_body(req);
	const char *prompt = json_string_value(json_object_get(root, "prompt"));
	const char *request = json_string_value(json_object_get(root, "request"));
	uint64_t blocks[ENGINE_PREFIX_MAX_BLOCKS];
	struct engine_model_job_spec spec = { 0 };
	struct engine_stream *stream;

	if (engine->leaving || !prompt || !request) {
		fake_log(&engine->fake,
			 json_pack("{s:s, s:s}", "ev", "refuse", "engine", engine->name));
		fake_reply(req, prompt ? 503 : 400, json_pack("{s:s}", "error", "leaving"));
		json_decref(root);
		return;
	}
	stream = g_new0(struct engine_stream, 1);
	stream->engine = engine;
	stream->seed = (uint64_t)fake_get_int(root, "seed", 0);
	stream->first_offset = (uint64_t)fake_get_int(root, "continue_at", 0);
	stream->produced = stream->first_offset;
	stream->epoch = 1;
	stream->request = g_strdup(request);
	stream->id = g_strdup_printf("%s-%" G_GUINT64_FORMAT, engine->name, ++engine->stream_seq);
	g_hash_table_insert(engine->streams, stream->id, stream);
	if (!engine->exact)
		stream->generation = g_str_hash(stream->id) | 1;
	spec.prompt_tokens = strlen(prompt) / ENGINE_BYTES_PER_TOKEN + 1;
	spec.output_tokens = engine_draw_output_length(
		engine, stream->seed, (uint64_t)fake_get_int(root, "max_tokens", 1000));
	spec.first_offset = stream->first_offset;
	spec.priority = (uint64_t)fake_get_int(root, "priority", 0);
	spec.block_count =
		pool_hash_prefix(prompt, strlen(prompt), blocks, ENGINE_PREFIX_MAX_BLOCKS);
	spec.blocks = blocks;
	spec.user = stream;
	engine_log_stream(stream, "open");
	if (stream->first_offset >= spec.output_tokens)
		stream->complete = true;
	else
		stream->job = engine_model_submit(engine->model, &spec);
	engine_attach(stream, req, stream->first_offset);
	engine_schedule_step(engine);
	json_decref(root);
}

static void engine_reattach(struct engine *engine, struct http_req *req,
			    struct engine_stream *stream)
{
	uint64_t epoch = (uint64_t)fake_query_int(req, "epoch", 0);
	uint64_t offset = (uint64_t)fake_query_int(req, "offset", 0);
	bool takeover = fake_query_int(req, "takeover", 0) != 0;

	(void)engine;
	if (!takeover && epoch != stream->epoch) {
		fake_reply(req, 409, json_pack("{s:s}", "error", "fenced"));
		return;
	}
	if (offset > stream->produced || offset < stream->first_offset) {
		fake_reply(req, 404, json_pack("{s:s}", "error", "offset"));
		return;
	}
	if (takeover)
		stream->epoch++;
	engine_log_stream(stream, "attach");
	engine_attach(stream, req, offset);
}

static void engine_cancel(struct engine *engine, struct http_req *req, struct engine_stream *stream)
{
	if ((uint64_t)fake_query_int(req, "epoch", 0) != stream->epoch) {
		fake_reply(req, 409, json_pack("{s:s}", "error", "fenced"));
		return;
	}
	engine_log_stream(stream, "cancel");
	g_hash_table_remove(engine->streams, stream->id);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

static void engine_on_stream(struct engine *engine, struct http_req *req)
{
	struct engine_stream *stream =
		g_hash_table_lookup(engine->streams, http_req_path(req) + strlen("/v1/streams/"));

	if (!stream)
		fake_reply(req, 404, json_pack("{s:s}", "error", "stream"));
	else if (strcmp(http_req_method(req), "DELETE") == 0)
		engine_cancel(engine, req, stream);
	else
		engine_reattach(engine, req, stream);
}

static void engine_on_load(struct engine *engine, struct http_req *req)
{
	uint64_t behind = (uint64_t)engine->report_lag_ms / ENGINE_REPORT_INTERVAL_MS;
	uint64_t last = engine->report_count - 1;
	json_t *report = engine->reports[(last - MIN(behind, last)) % ENGINE_REPORT_HISTORY_COUNT];
	json_t *answer = json_copy(report);
	json_t *events = json_array();
	int64_t after = fake_query_int(req, "cache_after", 0);

	for (size_t i = 0; i < json_array_size(engine->cache_events); i++) {
		json_t *event = json_array_get(engine->cache_events, i);

		if (fake_get_int(event, "seq", 0) > after)
			json_array_append(events, event);
	}
	json_object_set_new(answer, "cache_events", events);
	json_object_set_new(answer, "leaving", json_boolean(engine->leaving));
	json_object_set_new(answer, "version", json_string(engine->version));
	fake_reply(req, 200, answer);
}

static void engine_on_order(struct engine *engine, struct http_req *req)
{
	json_t *root = fake_parse_body(req);
	uint64_t fence = (uint64_t)fake_get_int(root, "fence", 0);
	bool refused = engine->check_fence && fence < engine->highest_fence;

	if (!refused) {
		const char *version = json_string_value(
			json_object_get(json_object_get(root, "order"), "version"));

		engine->highest_fence = MAX(fence, engine->highest_fence);
		if (version) {
			g_free(engine->version);
			engine->version = g_strdup(version);
		}
	}
	fake_log(&engine->fake, json_pack("{s:s, s:s, s:I, s:b, s:O}", "ev", "order", "engine",
					  engine->name, "fence", (json_int_t)fence, "refused",
					  refused, "order", json_object_get(root, "order")));
	fake_reply(req, refused ? 409 : 200,
		   json_pack("{s:I}", "fence", (json_int_t)engine->highest_fence));
	json_decref(root);
}

static void engine_drop_connections(struct engine *engine)
{
	GHashTableIter iter;
	struct engine_stream *stream;

	g_hash_table_iter_init(&iter, engine->streams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&stream)) {
		if (stream->req)
			http_req_stream_abort(stream->req);
		stream->req = NULL;
	}
}

static void engine_on_fault(struct engine *engine, struct http_req *req)
{
	json_t *root = fake_parse_body(req);

	if (fake_get_int(root, "stall_ms", 0) > 0)
		engine->stall_until_ms =
			fake_now_ms() + (uint64_t)fake_get_int(root, "stall_ms", 0);
	if (json_is_true(json_object_get(root, "leave"))) {
		engine->leaving = true;
		fake_log(&engine->fake,
			 json_pack("{s:s, s:s}", "ev", "leave", "engine", engine->name));
	}
	if (json_is_true(json_object_get(root, "break")))
		engine_drop_connections(engine);
	if (json_is_true(json_object_get(root, "forget")))
		g_hash_table_remove_all(engine->streams);
	json_decref(root);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

static void engine_on_request(void *ctx, struct http_req *req)
{
	struct engine *engine = ctx;
	const char *path = http_req_path(req);

	if (strcmp(path, "/v1/generate") == 0)
		engine_on_generate(engine, req);
	else if (g_str_has_prefix(path, "/v1/streams/"))
		engine_on_stream(engine, req);
	else if (strcmp(path, "/v1/load") == 0)
		engine_on_load(engine, req);
	else if (strcmp(path, "/v1/orders") == 0)
		engine_on_order(engine, req);
	else if (strcmp(path, "/fault") == 0)
		engine_on_fault(engine, req);
	else
		fake_reply(req, 404, json_pack("{s:s}", "error", "path"));
}

int main(int argc, char **argv)
{
	struct engine engine = { .kv_tokens = 120000,
				 .max_batch = 256,
				 .step_us = 10000,
				 .report_lag_ms = 500,
				 .median_tokens = 60 };
	const GOptionEntry options[] = {
		{ "name", 0, 0, G_OPTION_ARG_STRING, &engine.name, "Name in logs", "NAME" },
		{ "kv-tokens", 0, 0, G_OPTION_ARG_INT, &engine.kv_tokens, "Memory", "N" },
		{ "max-batch", 0, 0, G_OPTION_ARG_INT, &engine.max_batch,
		  "Limit of running requests", "N" },
		{ "step-us", 0, 0, G_OPTION_ARG_INT, &engine.step_us,
		  "Duration of an iteration in microseconds", "N" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &engine.report_lag_ms,
		  "Age of load reports in milliseconds", "N" },
		{ "median-tokens", 0, 0, G_OPTION_ARG_INT, &engine.median_tokens,
		  "Median output length in tokens", "N" },
		{ "cache-gap-every", 0, 0, G_OPTION_ARG_INT, &engine.omit_cache_event_every,
		  "Omit every n-th cache event", "N" },
		{ "check-fence", 0, 0, G_OPTION_ARG_NONE, &engine.check_fence,
		  "Refuse orders with an old fencing token", NULL },
		{ "exact", 0, 0, G_OPTION_ARG_NONE, &engine.exact,
		  "Continue generations of other engines exactly", NULL },
		{ 0 }
	};
	struct engine_model_conf conf = { 0 };

	engine.streams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, engine_stream_free);
	engine.cache_events = json_array();
	fake_listen(&engine.fake, argc, argv, options, engine_on_request, &engine);
	engine.version = g_strdup("v1");
	if (!engine.name)
		engine.name = g_strdup("engine");
	conf = (struct engine_model_conf){ .kv_tokens = (uint64_t)engine.kv_tokens,
					   .max_batch = (uint32_t)engine.max_batch,
					   .step_base_us = (uint64_t)engine.step_us,
					   .step_job_ns = 1000,
					   .prefill_token_ns = 1000,
					   .prefill_chunk_tokens = 2048,
					   .readmit_free_percent = 2,
					   .cache_blocks = 1024,
					   .block_tokens = 64 };
	engine.model = engine_model_create(&conf, &engine_model_callbacks, &engine);
	uv_timer_init(engine.fake.loop, &engine.step);
	uv_timer_init(engine.fake.loop, &engine.report);
	engine.step.data = &engine;
	engine.report.data = &engine;
	engine_on_report(&engine.report);
	uv_timer_start(&engine.report, engine_on_report, ENGINE_REPORT_INTERVAL_MS,
		       ENGINE_REPORT_INTERVAL_MS);
	return uv_run(engine.fake.loop, UV_RUN_DEFAULT);
}
