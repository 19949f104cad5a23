#include "cli.h"
#include "load_request.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOADGEN_TICK_MS		     5
#define LOADGEN_PROGRESS_INTERVAL_US 1000000

/* Statistics of one kind of request. */
struct loadgen_kind_stats {
	double rate_per_s;
	double due_count; /* requests that should have been started by now */
	uint64_t started;
	uint64_t finished;
	uint64_t ok;
	GArray *first_output_us; /* uint32_t; successful requests only */
	GArray *total_us;	 /* uint32_t; successful requests only */
};

/* State of the load generator. */
struct loadgen {
	struct loadgen_params params;
	struct loadgen_kind_stats kinds[LOADGEN_KIND_COUNT];
	uv_timer_t tick;
	uint64_t start_us;
	uint64_t end_us;
	uint64_t last_progress_us;
	uint64_t next_index;
	uint64_t tokens;
	uint64_t resumes;
	uint64_t out_of_order;
	GArray *token_gaps_us;	 /* uint32_t; all streams */
	GArray *longest_gaps_us; /* uint32_t; longest token gap of each stream */
	GHashTable *errors;	 /* error kind to uint64_t count */
};

/* Command line options. */
struct loadgen_options {
	char **targets;
	char *api_key_file;
	char *history;
	gint seconds;
	gint seed;
	gint max_tokens;
	gint prompt_bytes;
	gint call_attempts;
	double rates[LOADGEN_KIND_COUNT];
};

/* helpers */

static gint loadgen_compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

/*
 * @param values sorted, in microseconds
 * @param quantile from 0 to 1
 */
static double loadgen_quantile_ms(GArray *values, double quantile)
{
	guint at;

	if (values->len == 0)
		return 0.0;
	at = (guint)(quantile * (values->len - 1) + 0.5);
	return g_array_index(values, uint32_t, at) / 1000.0;
}

static void loadgen_append_us(GArray *values, uint64_t value_us)
{
	uint32_t clipped = (uint32_t)MIN(value_us, UINT32_MAX);

	g_array_append_val(values, clipped);
}

/* Sorts @p values, in microseconds, and returns their percentiles in milliseconds. */
static json_t *loadgen_times_json(GArray *values)
{
	g_array_sort(values, loadgen_compare_u32);
	return json_pack("{s:i, s:f, s:f, s:f, s:f}", "count", (int)values->len, "p50_ms",
			 loadgen_quantile_ms(values, 0.5), "p95_ms",
			 loadgen_quantile_ms(values, 0.95), "p99_ms",
			 loadgen_quantile_ms(values, 0.99), "max_ms",
			 loadgen_quantile_ms(values, 1.0));
}

static void loadgen_on_finished(void *ctx, const struct loadgen_result *result)
{
	struct loadgen *loadgen = ctx;
	struct loadgen_kind_stats *stats = &loadgen->kinds[result->kind];
	uint64_t *count;

	stats->finished++;
	stats->ok += result->ok;
	loadgen->tokens += result->tokens;
	loadgen->resumes += result->resumes;
	loadgen->out_of_order += result->out_of_order;
	if (result->ok) {
		loadgen_append_us(stats->first_output_us, result->first_output_us);
		loadgen_append_us(stats->total_us, result->total_us);
	} else {
		count = g_hash_table_lookup(loadgen->errors, result->error);
		if (!count) {
			count = g_new0(uint64_t, 1);
			g_hash_table_insert(loadgen->errors, g_strdup(result->error), count);
		}
		(*count)++;
	}
	if (result->kind != LOADGEN_STREAM)
		return;
	loadgen_append_us(loadgen->longest_gaps_us, result->longest_token_gap_us);
	g_array_append_vals(loadgen->token_gaps_us, result->token_gaps_us, result->token_gap_count);
}

static uint64_t loadgen_open_requests(const struct loadgen *loadgen)
{
	uint64_t open = 0;

	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++)
		open += loadgen->kinds[kind].started - loadgen->kinds[kind].finished;
	return open;
}

static void loadgen_print_progress(const struct loadgen *loadgen, uint64_t now_us)
{
	fprintf(stderr, "%4" PRIu64 " s:", (now_us - loadgen->start_us) / 1000000);
	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++) {
		const struct loadgen_kind_stats *stats = &loadgen->kinds[kind];

		if (stats->started)
			fprintf(stderr, "  %s %" PRIu64 " started %" PRIu64 " ok",
				loadgen_kind_name((enum loadgen_kind)kind), stats->started,
				stats->ok);
	}
	fprintf(stderr, "  tokens %" PRIu64 "  open %" PRIu64 "\n", loadgen->tokens,
		loadgen_open_requests(loadgen));
}

/*
 * Starts the requests that are due by the configured rates, however many are still
 * open (open-loop load). Stops the loop when the last request has finished.
 */
static void loadgen_on_tick(uv_timer_t *timer)
{
	struct loadgen *loadgen = timer->data;
	uint64_t now_us = uv_hrtime() / 1000;

	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++) {
		struct loadgen_kind_stats *stats = &loadgen->kinds[kind];
		double elapsed_s = (double)(MIN(now_us, loadgen->end_us) - loadgen->start_us) / 1e6;

		stats->due_count = stats->rate_per_s * elapsed_s;
		while ((double)stats->started < stats->due_count) {
			stats->started++;
			loadgen_request_start(&loadgen->params, (enum loadgen_kind)kind,
					      loadgen->next_index++);
		}
	}
	if (now_us - loadgen->last_progress_us >= LOADGEN_PROGRESS_INTERVAL_US) {
		loadgen->last_progress_us = now_us;
		loadgen_print_progress(loadgen, now_us);
	}
	if (now_us >= loadgen->end_us && loadgen_open_requests(loadgen) == 0)
		uv_stop(loadgen->params.loop);
}

static json_t *loadgen_report_json(struct loadgen *loadgen)
{
	json_t *kinds = json_object();
	json_t *errors = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++) {
		struct loadgen_kind_stats *stats = &loadgen->kinds[kind];

		if (stats->started)
			json_object_set_new(
				kinds, loadgen_kind_name((enum loadgen_kind)kind),
				json_pack("{s:I, s:I, s:o, s:o}", "started",
					  (json_int_t)stats->started, "ok", (json_int_t)stats->ok,
					  "first", loadgen_times_json(stats->first_output_us),
					  "total", loadgen_times_json(stats->total_us)));
	}
	g_hash_table_iter_init(&iter, loadgen->errors);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(errors, key, json_integer((json_int_t) * (uint64_t *)value));
	return json_pack("{s:o, s:o, s:I, s:I, s:I, s:o, s:o}", "requests", kinds, "errors", errors,
			 "tokens", (json_int_t)loadgen->tokens, "resumes",
			 (json_int_t)loadgen->resumes, "out_of_order",
			 (json_int_t)loadgen->out_of_order, "token_gap",
			 loadgen_times_json(loadgen->token_gaps_us), "stall",
			 loadgen_times_json(loadgen->longest_gaps_us));
}

static bool loadgen_init(struct loadgen *loadgen, const struct loadgen_options *opt, GError **error)
{
	g_autoptr(GError) cause = NULL;

	if (!opt->targets || !opt->api_key_file) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST,
			    "the options --target and --api-key-file are required");
		return false;
	}
	if (!g_file_get_contents(opt->api_key_file, &loadgen->params.api_key, NULL, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s", cause->message);
		return false;
	}
	g_strstrip(loadgen->params.api_key);
	if (opt->history)
		loadgen->params.history = fopen(opt->history, "w");
	loadgen->params.loop = uv_default_loop();
	loadgen->params.cli = http_client_create(loadgen->params.loop);
	loadgen->params.targets = opt->targets;
	loadgen->params.target_count = g_strv_length(opt->targets);
	loadgen->params.max_tokens = (uint64_t)opt->max_tokens;
	loadgen->params.prompt_bytes = (uint64_t)opt->prompt_bytes;
	loadgen->params.seed = (uint64_t)opt->seed;
	loadgen->params.attempts_max = (uint32_t)opt->call_attempts;
	loadgen->params.resume_deadline_us = 15000000;
	loadgen->params.on_finished = loadgen_on_finished;
	loadgen->params.ctx = loadgen;
	loadgen->token_gaps_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	loadgen->longest_gaps_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	loadgen->errors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++) {
		loadgen->kinds[kind].rate_per_s = opt->rates[kind];
		loadgen->kinds[kind].first_output_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		loadgen->kinds[kind].total_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	}
	return true;
}

static void loadgen_run(struct loadgen *loadgen, uint64_t seconds)
{
	loadgen->start_us = uv_hrtime() / 1000;
	loadgen->end_us = loadgen->start_us + seconds * 1000000;
	loadgen->last_progress_us = loadgen->start_us;
	uv_timer_init(loadgen->params.loop, &loadgen->tick);
	loadgen->tick.data = loadgen;
	uv_timer_start(&loadgen->tick, loadgen_on_tick, 0, LOADGEN_TICK_MS);
	uv_run(loadgen->params.loop, UV_RUN_DEFAULT);
	if (loadgen->params.history)
		fclose(loadgen->params.history);
}

static bool loadgen_all_ok(const struct loadgen *loadgen)
{
	for (uint32_t kind = 0; kind < LOADGEN_KIND_COUNT; kind++) {
		if (loadgen->kinds[kind].ok != loadgen->kinds[kind].started)
			return false;
	}
	return loadgen->out_of_order == 0;
}

/* commands */

int cmd_load(int argc, char **argv)
{
	struct loadgen_options opt = {
		.seconds = 10, .seed = 1, .max_tokens = 200, .prompt_bytes = 200, .call_attempts = 8
	};
	struct loadgen loadgen = { .params = { .service = g_strdup("case-summary"),
					       .call_service = g_strdup("desk"),
					       .call_path = g_strdup("/couriers") } };
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = {
		{ "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.targets,
		  "Caller port of an instance; may be given more than once", "IP:PORT" },
		{ "api-key-file", 0, 0, G_OPTION_ARG_FILENAME, &opt.api_key_file,
		  "File with an API key", "FILE" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds,
		  "Seconds during which requests are started", "N" },
		{ "streams", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOADGEN_STREAM],
		  "Streamed generations per second", "RATE" },
		{ "wholes", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOADGEN_WHOLE],
		  "Generations per second without streaming", "RATE" },
		{ "calls", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOADGEN_CALL],
		  "Calls per second with an idempotency key", "RATE" },
		{ "lookups", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOADGEN_LOOKUP],
		  "Idempotent calls (lookups) per second", "RATE" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &loadgen.params.service,
		  "Service for generations", "NAME" },
		{ "call-service", 0, 0, G_OPTION_ARG_STRING, &loadgen.params.call_service,
		  "Service for calls", "NAME" },
		{ "call-path", 0, 0, G_OPTION_ARG_STRING, &loadgen.params.call_path,
		  "Path prefix of calls", "PATH" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &opt.max_tokens,
		  "Maximum output tokens of a generation", "N" },
		{ "prompt-bytes", 0, 0, G_OPTION_ARG_INT, &opt.prompt_bytes,
		  "Length of prompts in bytes", "N" },
		{ "attempts", 0, 0, G_OPTION_ARG_INT, &opt.call_attempts,
		  "Maximum attempts of a call or lookup", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed,
		  "Seed of the first request; each further request adds one", "N" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &opt.history,
		  "File to record each request and answer in, as JSON lines", "FILE" },
		{ 0 }
	};
	int code = cli_parse_options(
		"Generates open-loop load on instances and prints a report as JSON. The exit "
		"code is 0 when every request succeeded with its events in order.",
		"", options, &argc, &argv);
	json_t *report;

	if (code >= 0)
		return code;
	if (!loadgen_init(&loadgen, &opt, &error))
		return cli_report_error(error);
	signal(SIGPIPE, SIG_IGN);
	loadgen_run(&loadgen, (uint64_t)opt.seconds);
	report = loadgen_report_json(&loadgen);
	json_dumpf(report, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(report);
	return loadgen_all_ok(&loadgen) ? 0 : 1;
}
