#include "cli.h"
#include "loadgen_request.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_TICK_MS	 5
#define LOAD_PROGRESS_US 1000000

/* Counts and times of one kind of request. */
struct load_kind_stats {
	double rate_per_s;
	double due; /* requests that should have started by now */
	uint64_t started;
	uint64_t ended;
	uint64_t ok;
	GArray *first_us;
	GArray *total_us;
};

/* A run of the load tool. */
struct load {
	struct load_run run;
	struct load_kind_stats kinds[LOAD_KIND_COUNT];
	uv_timer_t tick;
	uint64_t from_us;
	uint64_t until_us;
	uint64_t progress_us;
	uint64_t index;
	uint64_t tokens;
	uint64_t resumes;
	uint64_t out_of_order;
	GArray *gaps_us;
	GArray *stalls_us;  /* longest gap of each stream */
	GHashTable *errors; /* kind to count */
};

/* Options as given. */
struct load_options {
	char **targets;
	char *key_file;
	char *history;
	gint seconds;
	gint seed;
	gint max_tokens;
	gint prompt_bytes;
	gint attempts;
	double rates[LOAD_KIND_COUNT];
};

/* helpers */

static gint load_compare_u32(gconstpointer a, gconstpointer b)
{
	uint32_t left = *(const uint32_t *)a;
	uint32_t right = *(const uint32_t *)b;

	return left < right ? -1 : left > right;
}

static double load_quantile_ms(GArray *values, double part)
{
	guint at;

	if (values->len == 0)
		return 0.0;
	at = (guint)(part * (values->len - 1) + 0.5);
	return g_array_index(values, uint32_t, at) / 1000.0;
}

static void load_push(GArray *values, uint64_t value_us)
{
	uint32_t clipped = (uint32_t)MIN(value_us, UINT32_MAX);

	g_array_append_val(values, clipped);
}

static json_t *load_times(GArray *values)
{
	g_array_sort(values, load_compare_u32);
	return json_pack("{s:i, s:f, s:f, s:f, s:f}", "count", (int)values->len, "p50_ms",
			 load_quantile_ms(values, 0.5), "p95_ms", load_quantile_ms(values, 0.95),
			 "p99_ms", load_quantile_ms(values, 0.99), "max_ms",
			 load_quantile_ms(values, 1.0));
}

static void load_on_ended(void *ctx, const struct load_result *result)
{
	struct load *load = ctx;
	struct load_kind_stats *stats = &load->kinds[result->kind];
	uint64_t *count;

	stats->ended++;
	stats->ok += result->ok;
	load->tokens += result->tokens;
	load->resumes += result->resumes;
	load->out_of_order += result->out_of_order;
	if (result->ok) {
		load_push(stats->first_us, result->first_us);
		load_push(stats->total_us, result->total_us);
	} else {
		count = g_hash_table_lookup(load->errors, result->error);
		if (!count) {
			count = g_new0(uint64_t, 1);
			g_hash_table_insert(load->errors, g_strdup(result->error), count);
		}
		(*count)++;
	}
	if (result->kind != LOAD_STREAM)
		return;
	load_push(load->stalls_us, result->longest_gap_us);
	g_array_append_vals(load->gaps_us, result->gaps_us, result->gap_count);
}

static uint64_t load_open(const struct load *load)
{
	uint64_t open = 0;

	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++)
		open += load->kinds[kind].started - load->kinds[kind].ended;
	return open;
}

static void load_progress(const struct load *load, uint64_t now_us)
{
	fprintf(stderr, "%4" PRIu64 " s:", (now_us - load->from_us) / 1000000);
	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++) {
		const struct load_kind_stats *stats = &load->kinds[kind];

		if (stats->started)
			fprintf(stderr, "  %s %" PRIu64 " started %" PRIu64 " ok",
				load_kind_name((enum load_kind)kind), stats->started, stats->ok);
	}
	fprintf(stderr, "  tokens %" PRIu64 "  open %" PRIu64 "\n", load->tokens, load_open(load));
}

/* Starts what is due by the rates, whether earlier requests ended or not. */
static void load_on_tick(uv_timer_t *timer)
{
	struct load *load = timer->data;
	uint64_t now_us = uv_hrtime() / 1000;

	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++) {
		struct load_kind_stats *stats = &load->kinds[kind];
		double age_s = (double)(MIN(now_us, load->until_us) - load->from_us) / 1e6;

		stats->due = stats->rate_per_s * age_s;
		while ((double)stats->started < stats->due) {
			stats->started++;
			load_request_start(&load->run, (enum load_kind)kind, load->index++);
		}
	}
	if (now_us - load->progress_us >= LOAD_PROGRESS_US) {
		load->progress_us = now_us;
		load_progress(load, now_us);
	}
	if (now_us >= load->until_us && load_open(load) == 0)
		uv_stop(load->run.loop);
}

static json_t *load_report(struct load *load)
{
	json_t *kinds = json_object();
	json_t *errors = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++) {
		struct load_kind_stats *stats = &load->kinds[kind];

		if (stats->started)
			json_object_set_new(kinds, load_kind_name((enum load_kind)kind),
					    json_pack("{s:I, s:I, s:o, s:o}", "started",
						      (json_int_t)stats->started, "ok",
						      (json_int_t)stats->ok, "first",
						      load_times(stats->first_us), "total",
						      load_times(stats->total_us)));
	}
	g_hash_table_iter_init(&iter, load->errors);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(errors, key, json_integer((json_int_t) * (uint64_t *)value));
	return json_pack("{s:o, s:o, s:I, s:I, s:I, s:o, s:o}", "requests", kinds, "errors", errors,
			 "tokens", (json_int_t)load->tokens, "resumes", (json_int_t)load->resumes,
			 "out_of_order", (json_int_t)load->out_of_order, "token_gap",
			 load_times(load->gaps_us), "stall", load_times(load->stalls_us));
}

static bool load_init(struct load *load, const struct load_options *opt, GError **error)
{
	g_autoptr(GError) cause = NULL;

	if (!opt->targets || !opt->key_file) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST,
			    "the options --target and --api-key-file are required");
		return false;
	}
	if (!g_file_get_contents(opt->key_file, &load->run.api_key, NULL, &cause)) {
		g_set_error(error, ERR_DOMAIN, ERR_SETTINGS, "%s", cause->message);
		return false;
	}
	g_strstrip(load->run.api_key);
	if (opt->history)
		load->run.history = fopen(opt->history, "w");
	load->run.loop = uv_default_loop();
	load->run.cli = hcli_create(load->run.loop);
	load->run.targets = opt->targets;
	load->run.target_count = g_strv_length(opt->targets);
	load->run.max_tokens = (uint64_t)opt->max_tokens;
	load->run.prompt_bytes = (uint64_t)opt->prompt_bytes;
	load->run.seed = (uint64_t)opt->seed;
	load->run.attempts_max = (uint32_t)opt->attempts;
	load->run.resume_deadline_us = 15000000;
	load->run.ended = load_on_ended;
	load->run.ctx = load;
	load->gaps_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->stalls_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	load->errors = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++) {
		load->kinds[kind].rate_per_s = opt->rates[kind];
		load->kinds[kind].first_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		load->kinds[kind].total_us = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	}
	return true;
}

static void load_run_all(struct load *load, uint64_t seconds)
{
	load->from_us = uv_hrtime() / 1000;
	load->until_us = load->from_us + seconds * 1000000;
	load->progress_us = load->from_us;
	uv_timer_init(load->run.loop, &load->tick);
	load->tick.data = load;
	uv_timer_start(&load->tick, load_on_tick, 0, LOAD_TICK_MS);
	uv_run(load->run.loop, UV_RUN_DEFAULT);
	if (load->run.history)
		fclose(load->run.history);
}

static bool load_all_ok(const struct load *load)
{
	for (uint32_t kind = 0; kind < LOAD_KIND_COUNT; kind++) {
		if (load->kinds[kind].ok != load->kinds[kind].started)
			return false;
	}
	return load->out_of_order == 0;
}

/* commands */

int cmd_load(int argc, char **argv)
{
	struct load_options opt = {
		.seconds = 10, .seed = 1, .max_tokens = 200, .prompt_bytes = 200, .attempts = 8
	};
	struct load load = { .run = { .service = g_strdup("case-summary"),
				      .call_service = g_strdup("desk"),
				      .call_path = g_strdup("/couriers") } };
	g_autoptr(GError) error = NULL;
	const GOptionEntry options[] = {
		{ "target", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.targets,
		  "Caller port; may be given again", "IP:PORT" },
		{ "api-key-file", 0, 0, G_OPTION_ARG_FILENAME, &opt.key_file,
		  "File with an API key", "FILE" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds, "Time to start requests", "N" },
		{ "streams", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOAD_STREAM],
		  "Streamed generations a second", "RATE" },
		{ "wholes", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOAD_WHOLE],
		  "Whole generations a second", "RATE" },
		{ "calls", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOAD_CALL],
		  "Non-idempotent calls a second", "RATE" },
		{ "lookups", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rates[LOAD_LOOKUP],
		  "Idempotent calls a second", "RATE" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &load.run.service, "Service of generations",
		  "NAME" },
		{ "call-service", 0, 0, G_OPTION_ARG_STRING, &load.run.call_service,
		  "Service of calls", "NAME" },
		{ "call-path", 0, 0, G_OPTION_ARG_STRING, &load.run.call_path, "Path of calls",
		  "PATH" },
		{ "max-tokens", 0, 0, G_OPTION_ARG_INT, &opt.max_tokens, "Longest output", "N" },
		{ "prompt-bytes", 0, 0, G_OPTION_ARG_INT, &opt.prompt_bytes, "Size of prompts",
		  "N" },
		{ "attempts", 0, 0, G_OPTION_ARG_INT, &opt.attempts,
		  "Attempts of a call with one key", "N" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "First seed", "N" },
		{ "history", 0, 0, G_OPTION_ARG_FILENAME, &opt.history,
		  "Where to record each request and answer", "FILE" },
		{ 0 }
	};
	int code = cli_options("Puts open-loop load on instances and prints a report as JSON. Exit "
			       "code 0 when every request succeeded.",
			       "", options, &argc, &argv);
	json_t *report;

	if (code >= 0)
		return code;
	if (!load_init(&load, &opt, &error))
		return cli_fail(error);
	signal(SIGPIPE, SIG_IGN);
	load_run_all(&load, (uint64_t)opt.seconds);
	report = load_report(&load);
	json_dumpf(report, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(report);
	return load_all_ok(&load) ? 0 : 1;
}
