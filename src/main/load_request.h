/**
 * @file load_request.h
 * One request of the load generator, from its start to its result.
 *
 * loadgen_request_start() sends the request and reports its result once through
 * the on_finished callback of the shared parameters. It behaves like a careful
 * client and sends each retry to the next target: an interrupted stream is
 * resumed with its last event id, or started again when it has none; a generation
 * without streaming is sent again when no complete answer arrived; a call is retried
 * with the same idempotency key until its outcome is final or the attempts are
 * used up.
 */
#ifndef FLAMINGOLATCH_SRC_LOAD_REQUEST_H
#define FLAMINGOLATCH_SRC_LOAD_REQUEST_H

#include "flamingolatch/http_client.h"

#include <jansson.h>

enum loadgen_kind {
	LOADGEN_STREAM, /**< generation, streamed as events */
	LOADGEN_WHOLE,	/**< generation, answered in one body */
	LOADGEN_CALL,	/**< POST to a plain service, with an idempotency key */
	LOADGEN_LOOKUP, /**< GET from a plain service */
	LOADGEN_KIND_COUNT
};

/** Returns the name of a kind in reports and histories, for example "stream". */
const char *loadgen_kind_name(enum loadgen_kind kind);

struct loadgen_result;

/** Parameters shared by all requests. */
struct loadgen_params {
	uv_loop_t *loop;
	struct http_client *cli;
	char **targets; /**< caller ports of the instances under load, "IP:port" */
	uint32_t target_count;
	char *api_key;
	char *service;	    /**< of generations */
	char *call_service; /**< of calls and lookups */
	char *call_path;    /**< path prefix of calls and lookups */
	uint64_t max_tokens;
	uint64_t seed; /**< of request 0; request i has seed + i */
	/** A generation is retried for this time after the first failure since its last token. */
	uint64_t resume_deadline_us;
	uint32_t attempts_max; /**< per call or lookup */
	uint64_t prompt_bytes;
	FILE *history; /**< results and call attempts are appended as JSON lines; or NULL */
	/** Called once for each request, when it has finished. */
	void (*on_finished)(void *ctx, const struct loadgen_result *result);
	void *ctx;
};

/** Result of a request. Pointers are valid during the callback only. */
struct loadgen_result {
	enum loadgen_kind kind;
	bool ok;
	const char *error;	  /**< error kind of the answer; "io" without one, "" on success */
	uint64_t first_output_us; /**< time to the first token; to the answer when not streamed */
	uint64_t total_us;
	uint64_t longest_token_gap_us; /**< between two tokens, retries included */
	uint64_t tokens;
	uint32_t resumes;
	bool out_of_order; /**< an event id was missing, repeated or in the wrong order */
	const uint32_t *token_gaps_us; /**< time from each token to the next */
	uint32_t token_gap_count;
};

/**
 * Starts a request. Its first target is @p index modulo the number of targets.
 * @param params must stay valid until on_finished has returned
 * @param index number of the request, unique among those with the same @p params
 */
void loadgen_request_start(struct loadgen_params *params, enum loadgen_kind kind, uint64_t index);

#endif
