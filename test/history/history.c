#include "history.h"
#include "../fake/token.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* helpers */

static const char *text_of(const json_t *line, const char *key)
{
	const char *text = json_string_value(json_object_get(line, key));

	return text ? text : "";
}

static uint64_t number_of(const json_t *line, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(line, key));
}

static bool is_event(const json_t *line, const char *name)
{
	return strcmp(text_of(line, "ev"), name) == 0;
}

static void violation(struct history_counts *counts, const char *format, ...)
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

/* streams */

/* Checks the tokens of one answer. @return how many there are, or -1 */
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

/* Ends of generations by engines: "seed/generation" to token count. */
static GHashTable *collect_ends(const json_t *engines)
{
	GHashTable *ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < json_array_size(engines); i++) {
		const json_t *line = json_array_get(engines, i);

		if (is_event(line, "end"))
			g_hash_table_insert(ends,
					    g_strdup_printf("%" PRIu64 "/%" PRIu64,
							    number_of(line, "seed"),
							    number_of(line, "generation")),
					    GSIZE_TO_POINTER(number_of(line, "produced")));
	}
	return ends;
}

/* Seeds of generations that an engine began. */
static GHashTable *collect_opens(const json_t *engines)
{
	GHashTable *opens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (size_t i = 0; i < json_array_size(engines); i++) {
		const json_t *line = json_array_get(engines, i);

		if (is_event(line, "open"))
			g_hash_table_add(opens,
					 g_strdup_printf("%" PRIu64, number_of(line, "seed")));
	}
	return opens;
}

static void check_not_run(const json_t *line, GHashTable *opens, struct history_counts *counts)
{
	g_autofree char *seed = g_strdup_printf("%" PRIu64, number_of(line, "seed"));

	if (strcmp(text_of(line, "ran"), "not_run") == 0 && number_of(line, "attempts") == 1 &&
	    g_hash_table_contains(opens, seed))
		violation(counts, "seed %s was begun by an engine and called \"not run\"", seed);
}

static void check_stream(const json_t *line, GHashTable *ends, struct history_counts *counts)
{
	uint64_t seed = number_of(line, "seed");
	uint64_t generation = 0;
	int64_t tokens = check_tokens(text_of(line, "text"), seed, &generation);
	bool ok = json_is_true(json_object_get(line, "ok"));
	g_autofree char *key = g_strdup_printf("%" PRIu64 "/%" PRIu64, seed, generation);
	uint64_t whole = GPOINTER_TO_SIZE(g_hash_table_lookup(ends, key));

	counts->streams++;
	counts->streams_ok += ok;
	if (tokens < 0)
		violation(counts,
			  "seed %" PRIu64 ": tokens repeat, miss, or mix generations: %.200s", seed,
			  text_of(line, "text"));
	else if (json_is_true(json_object_get(line, "out_of_order")))
		violation(counts, "seed %" PRIu64 ": event ids out of order", seed);
	else if ((uint64_t)tokens != number_of(line, "tokens"))
		violation(counts, "seed %" PRIu64 ": %" PRId64 " tokens, ids say %" PRIu64, seed,
			  tokens, number_of(line, "tokens"));
	else if (ok && (tokens == 0 || (uint64_t)tokens != whole))
		violation(counts,
			  "seed %" PRIu64 ": %" PRId64 " tokens called whole, the engine made "
			  "%" PRIu64,
			  seed, tokens, whole);
	else if (!ok && !*text_of(line, "error"))
		violation(counts, "seed %" PRIu64 ": an answer ended early without a reason", seed);
}

void history_check_streams(const json_t *history, const json_t *engines,
			   struct history_counts *counts)
{
	GHashTable *ends = collect_ends(engines);
	GHashTable *opens = collect_opens(engines);

	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);
		const char *kind = text_of(line, "kind");

		if (is_event(line, "end") &&
		    (strcmp(kind, "stream") == 0 || strcmp(kind, "whole") == 0)) {
			check_stream(line, ends, counts);
			check_not_run(line, opens, counts);
		}
	}
	g_hash_table_destroy(ends);
	g_hash_table_destroy(opens);
}

/* calls */

static void count_runs(const json_t *service, GHashTable *by_key, GHashTable *by_request,
		       struct history_counts *counts)
{
	for (size_t i = 0; i < json_array_size(service); i++) {
		const json_t *line = json_array_get(service, i);
		const char *key = text_of(line, "key");

		if (!is_event(line, "run"))
			continue;
		g_hash_table_add(by_request, g_strdup(text_of(line, "request_id")));
		if (!*key)
			continue;
		counts->runs++;
		if (!g_hash_table_add(by_key, g_strdup(key)))
			violation(counts, "key %s ran more than once", key);
	}
}

static bool answers_own_call(const json_t *line)
{
	json_t *body = json_loads(text_of(line, "body"), 0, NULL);
	const char *path = text_of(body, "path");
	const char *slash = strrchr(path, '/');
	bool own = slash && g_ascii_strtoull(slash + 1, NULL, 10) == number_of(line, "index");

	json_decref(body);
	return own;
}

static void check_attempt(const json_t *line, const char *seed, GHashTable *by_key,
			  GHashTable *by_request, struct history_counts *counts)
{
	uint64_t index = number_of(line, "index");
	g_autofree char *key = g_strdup_printf("key-%s-%" PRIu64, seed, index);
	g_autofree char *request = g_strdup_printf("%s-%" PRIu64 "-%" PRIu64, seed, index,
						   number_of(line, "attempt") - 1);
	bool call = strcmp(text_of(line, "kind"), "call") == 0;
	bool ok = number_of(line, "status") == 200;

	counts->attempts++;
	if (strcmp(text_of(line, "ran"), "not_run") == 0 &&
	    g_hash_table_contains(by_request, request))
		violation(counts, "request %s ran after \"not run\"", request);
	if (ok && !answers_own_call(line))
		violation(counts, "request %s got the answer to another call: %s", request,
			  text_of(line, "body"));
	if (ok && call && !g_hash_table_contains(by_key, key))
		violation(counts, "key %s was answered but never ran", key);
}

/* The seed of a run is the difference of a request's seed and its index. */
static char *history_seed(const json_t *history)
{
	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);

		if (is_event(line, "end"))
			return g_strdup_printf("%" PRIu64,
					       number_of(line, "seed") - number_of(line, "index"));
	}
	return g_strdup("0");
}

void history_check_calls(const json_t *history, const json_t *service,
			 struct history_counts *counts)
{
	g_autoptr(GHashTable) by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) by_request =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autofree char *seed = history_seed(history);

	count_runs(service, by_key, by_request, counts);
	for (size_t i = 0; i < json_array_size(history); i++) {
		const json_t *line = json_array_get(history, i);

		if (is_event(line, "attempt"))
			check_attempt(line, seed, by_key, by_request, counts);
		if (is_event(line, "end") && strcmp(text_of(line, "kind"), "call") == 0)
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

		/* A new process starts anew. */
		if (strcmp(text_of(line, "message"), "listening") == 0)
			last = 0;
		if (strcmp(text_of(line, "message"), "config-applied") != 0)
			continue;
		revision = g_ascii_strtoull(text_of(line, "revision"), NULL, 10);
		if (revision <= last)
			violation(counts, "%s went from revision %" PRIu64 " to %" PRIu64,
				  text_of(line, "instance"), last, revision);
		last = revision;
	}
}

void history_check_leaving(const json_t *engine, uint64_t grace_ms, struct history_counts *counts)
{
	uint64_t left_ms = 0;

	for (size_t i = 0; i < json_array_size(engine); i++) {
		const json_t *line = json_array_get(engine, i);
		uint64_t at_ms = number_of(line, "at_ms");

		if (is_event(line, "leave"))
			left_ms = at_ms;
		if (left_ms && at_ms > left_ms + grace_ms &&
		    (is_event(line, "open") || is_event(line, "refuse")))
			violation(counts, "engine %s was offered work %" PRIu64 " ms after it left",
				  text_of(line, "engine"), at_ms - left_ms);
	}
}

uint64_t history_check_orders(const json_t *engine, struct history_counts *counts)
{
	uint64_t last = 0;
	uint64_t orders = 0;

	for (size_t i = 0; i < json_array_size(engine); i++) {
		const json_t *line = json_array_get(engine, i);
		uint64_t fence = number_of(line, "fence");

		if (!is_event(line, "order"))
			continue;
		orders++;
		if (fence < last)
			violation(counts, "an order under %" PRIu64 " followed one under %" PRIu64,
				  fence, last);
		last = fence;
	}
	return orders;
}
