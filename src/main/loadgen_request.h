/**
 * @file loadgen_request.h
 * One request of the load tool, followed like a careful caller would.
 *
 * A stream that breaks is resumed elsewhere by its last event id; a call is
 * repeated with the same idempotency key while its answer allows that.
 */
#ifndef FLAMINGOLATCH_SRC_LOADGEN_REQUEST_H
#define FLAMINGOLATCH_SRC_LOADGEN_REQUEST_H

#include "flamingolatch/http_client.h"

#include <jansson.h>

enum load_kind {
	LOAD_STREAM,
	LOAD_WHOLE,
	LOAD_CALL,
	LOAD_LOOKUP,
	LOAD_KIND_COUNT
};

const char *load_kind_name(enum load_kind kind);

struct load_result;

/** What all requests of a run share. */
struct load_run {
	uv_loop_t *loop;
	struct hcli *cli;
	char **targets; /**< "IP:port" of caller ports */
	uint32_t target_count;
	char *api_key;
	char *service;
	char *call_service;
	char *call_path;
	uint64_t max_tokens;
	uint64_t seed;
	uint64_t resume_deadline_us;
	uint32_t attempts_max;
	uint64_t prompt_bytes;
	FILE *history; /**< JSON lines, or NULL */
	/** Called once for each request when it is over. */
	void (*ended)(void *ctx, const struct load_result *result);
	void *ctx;
};

/** How a request ended. */
struct load_result {
	enum load_kind kind;
	bool ok;
	const char *error; /**< error kind, or "" */
	uint64_t first_us; /**< time to the first token, or to the answer */
	uint64_t total_us;
	uint64_t longest_gap_us; /**< longest time between two tokens */
	uint64_t tokens;
	uint32_t resumes;
	bool out_of_order;
	const uint32_t *gaps_us; /**< times between tokens */
	uint32_t gap_count;
};

/** Starts request number @p index of a run. */
void load_request_start(struct load_run *run, enum load_kind kind, uint64_t index);

#endif
