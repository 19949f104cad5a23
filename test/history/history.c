#include "history.h"
#include "../fake/token.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* helpers */

/* Returns "" for a missing field. */
static const char *field_text(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

static uint64_t field_number(const json_t *line, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(line, key));
}

static bool is_event(const json_t *line, const char *name)
{
	return strcmp(field_text(line, "ev"), name) == 0;
}

static void report_violation(struct history_counts *counts, const char *format, ...)
{
	va_list args;

	counts->violations++;
	printf("violation: ");
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

void history_append(json_t *lines, const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) parts = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return;
	parts = g_strsplit(text, "\n", 0);
	for (uint32_t i = 0; parts[i]; i++) {
		json_t *line = json_loads(parts[i], 0, NULL);

		if (line)
			json_array_append_new(lines, line);
	}
}

json_t *history_read(const char *path)
{
	json_t *lines = json_array();

	history_append(lines, path);
	return lines;
}

/* generations */

/*
 * Checks that the text has every token of one generation from offset 0 on.
 * @param generation set to the generation of the first token
 * @return the number of tokens, or -1 when they do not match
 */
static int64_t check_tokens(const char *text, uint64_t seed, uint64_t *generation)
{
	char expected[TOKEN_TEXT_MAX];
	int64_t count = 0;
	uint64_t got_seed;
	uint64_t got_offset;

	if (*text && sscanf(text, " %" SCNx64 ".%" SCNx64 ".%" SCNx64, &got_seed, generation,
			    &got_offset) != 3)
		return -1;
	while (*text) {
		token_text(seed, *generation, (uint64_t)count, expected);
		if (!g_str_has_prefix(text, expected))
			return -1;
		text += strlen(expected);
		if (*text && *text != ' ')
			return -1;
		count++;
	}
	return count;
}

/* Returns the generations that engines finished: "seed/generation" to token count. */
static GHashTable *collect_finished(const json_t *engines)
{
	GHashTable *finished = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < json_array_size(engines); i++) {
		const json_t *line = json_array_get(engines, i);

		if (is_event(line, "end"))
			g_hash_table_insert(finished,
					    g_strdup_printf("%" PRIu64 "/%" PRIu64,
							    field_number(line, "seed"),
							    field_number(line, "generation")),
					    GSIZE_TO_POINTER(field_number(line, "produced")));
	}
	return finished;
}

/* Returns the seeds of the generations that engines started. */
static GHashTable *collect_started(const json_t *engines)
{
	GHashTable *started = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < json_array_size(engines); i++) {
		const json_t *line = json_array_get(engines, i);

		if (is_event(line, "open"))
			g_hash_table_add(started,
					 g_strdup_printf("%" PRIu64, field_number(line, "seed")));
	}
	return started;
}

/* Skips retried requests: an engine may have started an earlier attempt of them. */
static void check_not_run(const json_t *line, GHashTable *started, struct history_counts *counts)
{
	g_autofree char *seed = g_strdup_printf("%" PRIu64, field_number(line, "seed"));

	if (strcmp(field_text(line, "ran"), "not_run") == 0 &&
	    field_number(line, "attempts") == 1 && g_hash_table_contains(started, seed))
		report_violation(counts,
				 "seed %s was started by an engine but reported as \"not run\"",
				 seed);
}

static void check_generation(const json_t *line, GHashTable *finished,
			     struct history_counts *counts)
{
	uint64_t seed = field_number(line, "seed");
	uint64_t generation = 0;
	int64_t tokens = check_tokens(field_text(line, "text"), seed, &generation);
	bool ok = json_is_true(json_object_get(line, "ok"));
	g_autofree char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64, seed, generation);
	uint64_t engine_tokens = GPOINTER_TO_SIZE(g_hash_table_lookup(finished, key));

	counts->generations++;
	counts->generations_complete += ok;
	if (tokens < 0)
		report_violation(counts,
				 "seed %" PRIu64
				 ": tokens are repeated, missing or of several generations: %.200s",
				 seed, field_text(line, "text"));
	else if (json_is_true(json_object_get(line, "out_of_order")))
		report_violation(counts, "seed %" PRIu64 ": event ids out of order", seed);
	else if ((uint64_t)tokens != field_number(line, "tokens"))
		report_violation(counts,
				 "seed %" PRIu64 ": %" PRId64
				 " tokens, but the event ids count %" PRIu64,
				 seed, tokens, field_number(line, "tokens"));
	else if (ok && (tokens == 0 || (uint64_t)tokens != engine_tokens))
		report_violation(counts,
				 "seed %" PRIu64 ": %" PRId64
				 " tokens reported as complete, the engine produced "
				 "%" PRIu64,
				 seed, tokens, engine_tokens);
	else if (!ok && !*field_text(line, "error"))
		report_violation(counts,
				 "seed %" PRIu64 ": the answer is incomplete and has no error",
				 seed);
}

void history_check_generations(const json_t *history, const json_t *engines,
			       struct history_counts *counts)
{
	GHashTable *finished = collect_finished(engines);
	GHashTable *started = collect_started(engines);

	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);
		const char *kind = field_text(line, "kind");

		if (is_event(line, "end") &&
		    (strcmp(kind, "stream") == 0 || strcmp(kind, "whole") == 0)) {
			check_generation(line, finished, counts);
			check_not_run(line, started, counts);
		}
	}
	g_hash_table_destroy(finished);
	g_hash_table_destroy(started);
}

/* calls */

/* Collects the idempotency keys and the request ids that the service executed. */
static void collect_executions(const json_t *service, GHashTable *executed_keys,
			       GHashTable *executed_requests, struct history_counts *counts)
{
	for (size_t i = 0; i < json_array_size(service); i++) {
		const json_t *line = json_array_get(service, i);
		const char *key = field_text(line, "key");

		if (!is_event(line, "run"))
			continue;
		g_hash_table_add(executed_requests, g_strdup(field_text(line, "request_id")));
		if (!*key)
			continue;
		counts->executions++;
		if (!g_hash_table_add(executed_keys, g_strdup(key)))
			report_violation(counts, "key %s was executed more than once", key);
	}
}

/* The fake service returns the path of the call, which ends in the index of the request. */
static bool answer_matches_call(const json_t *line)
{
	json_t *body = json_loads(field_text(line, "body"), 0, NULL);
	const char *path = field_text(body, "path");
	const char *slash = strrchr(path, '/');
	bool matches =
		slash && g_ascii_strtoull(slash + 1, NULL, 10) == field_number(line, "index");

	json_decref(body);
	return matches;
}

/* Request ids end in the index of the attempt, which counts from 0. */
static void check_attempt(const json_t *line, const char *seed, GHashTable *executed_keys,
			  GHashTable *executed_requests, struct history_counts *counts)
{
	uint64_t index = field_number(line, "index");
	g_autofree char *key = g_strdup_printf("key-%s-%" PRIu64, seed, index);
	g_autofree char *request = g_strdup_printf("%s-%" PRIu64 "-%" PRIu64, seed, index,
						   field_number(line, "attempt") - 1);
	bool call = strcmp(field_text(line, "kind"), "call") == 0;
	bool ok = field_number(line, "status") == 200;

	counts->call_attempts++;
	if (strcmp(field_text(line, "ran"), "not_run") == 0 &&
	    g_hash_table_contains(executed_requests, request))
		report_violation(counts, "request %s was executed but answered with \"not run\"",
				 request);
	if (ok && !answer_matches_call(line))
		report_violation(counts, "request %s received the answer to another call: %s",
				 request, field_text(line, "body"));
	if (ok && call && !g_hash_table_contains(executed_keys, key))
		report_violation(counts, "key %s was answered but never executed", key);
}

/* Returns the seed of request 0: the seed of any request less its index. */
static char *history_first_seed(const json_t *history)
{
	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);

		if (is_event(line, "end"))
			return g_strdup_printf("%" PRIu64, field_number(line, "seed") -
								   field_number(line, "index"));
	}
	return g_strdup("0");
}

void history_check_calls(const json_t *history, const json_t *service,
			 struct history_counts *counts)
{
	g_autoptr(GHashTable) executed_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) executed_requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autofree char *seed = history_first_seed(history);

	collect_executions(service, executed_keys, executed_requests, counts);
	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);

		if (is_event(line, "attempt"))
			check_attempt(line, seed, executed_keys, executed_requests, counts);
		if (is_event(line, "end") && strcmp(field_text(line, "kind"), "call") == 0)
			counts->calls++;
	}
}

/* configuration and leaving */

void history_check_revisions(const json_t *log, struct history_counts *counts)
{
	uint64_t last = 0;

	for (size_t i = 0; i < json_array_size(log); i++) {
		const json_t *line = json_array_get(log, i);
		uint64_t revision;

		/* A restarted process may apply any revision first. */
		if (strcmp(field_text(line, "message"), "listening") == 0)
			last = 0;
		if (strcmp(field_text(line, "message"), "config-applied") != 0)
			continue;
		revision = g_ascii_strtoull(field_text(line, "revision"), NULL, 10);
		if (revision <= last)
			report_violation(counts, "%s went from revision %" PRIu64 " to %" PRIu64,
					 field_text(line, "instance"), last, revision);
		last = revision;
	}
}

void history_check_leaving(const json_t *engine, uint64_t grace_ms, struct history_counts *counts)
{
	uint64_t left_ms = 0;

	for (size_t i = 0; i < json_array_size(engine); i++) {
		const json_t *line = json_array_get(engine, i);
		uint64_t at_ms = field_number(line, "at_ms");

		if (is_event(line, "leave"))
			left_ms = at_ms;
		if (left_ms && at_ms > left_ms + grace_ms &&
		    (is_event(line, "open") || is_event(line, "refuse")))
			report_violation(
				counts, "engine %s received a request %" PRIu64 " ms after it left",
				field_text(line, "engine"), at_ms - left_ms);
	}
}

uint64_t history_check_orders(const json_t *engine, struct history_counts *counts)
{
	uint64_t last = 0;
	uint64_t orders = 0;

	for (size_t i = 0; i < json_array_size(engine); i++) {
		const json_t *line = json_array_get(engine, i);
		uint64_t fence = field_number(line, "fence");

		if (!is_event(line, "order"))
			continue;
		orders++;
		if (fence < last)
			report_violation(counts,
					 "an order with fencing token %" PRIu64
					 " followed one with %" PRIu64,
					 fence, last);
		last = fence;
	}
	return orders;
}
