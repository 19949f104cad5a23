/**
 * @file surface.h
 * Port: how callers and upstreams spell requests and answers.
 *
 * A surface decodes a caller's request once, writes the header lines of the
 * request to the upstream, and tells what an upstream's answer means. It holds
 * no state and decides nothing.
 */
#ifndef FLAMINGOLATCH_SURFACE_H
#define FLAMINGOLATCH_SURFACE_H

#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"

/** A caller's request. Strings are owned by the request. */
struct srf_request {
	char *id;	     /**< of this attempt; NULL when the caller gave none */
	char *key;	     /**< API key, or NULL */
	char *headers;	     /**< header lines that pass unchanged, each ended by CRLF */
	char *last_event_id; /**< event after which the caller wants a stream to go on, or NULL */
	uint64_t wait_ms;    /**< how long the caller waits; 0 when it does not say */
	uint64_t prompt_tokens;
	uint64_t max_output_tokens;
	uint64_t hinted_output_tokens; /**< the caller's guess; 0 when it makes none */
};

/** What the system adds to a request for an upstream. */
struct srf_send {
	const char *upstream_id;  /**< another upstream refuses the request */
	const char *customer;	  /**< NULL for a route without keys */
	uint64_t left_ms;	  /**< when to stop work; 0 means never */
	const char *backup;	  /**< address that copies the generation's memory, or NULL */
	const char *from_address; /**< holder of the memory to go on from, or NULL */
	const char *from_handle;
	const char *last_event_id; /**< event after which to go on, or NULL */
	int32_t priority;	   /**< 0 is first, 9 last; -1 leaves it to the engine */
};

/** What an upstream's answer means. */
enum srf_verdict {
	SRF_ANSWERED,	 /**< the upstream's own answer */
	SRF_NOT_RUN,	 /**< the upstream states that it did not run the request */
	SRF_MISDIRECTED, /**< another upstream has the address; the request did not run */
	SRF_FOREIGN,	 /**< not an answer of the upstream's service */
	SRF_VERDICT_COUNT
};

/** A running generation's memory, handed from one engine to another. */
struct srf_move {
	const char *id; /**< of the request */
	const char *to; /**< address of the other engine */
	bool last;	/**< stops the run at its engine */
};

/** Answer to a move. */
struct srf_moved {
	char *handle;	 /**< names the copy; NULL when there is none */
	uint64_t events; /**< events made before the copy */
};

struct srf_ops {
	/** Decodes a request. Clear the result with srf_request_clear(). */
	void (*decode)(const struct http_req *req, struct srf_request *out);
	/** Returns the header lines for an upstream as a new string. */
	char *(*encode)(const struct srf_request *request, const struct srf_send *send);
	/** Tells whether an answer is for the request of an id. */
	bool (*owns)(const struct http_response_head *head, const char *id);
	enum srf_verdict (*judge)(const struct http_response_head *head);
	/** Returns path and body of the call that moves a generation, as new strings. */
	void (*encode_move)(const struct srf_move *move, char **path, char **body);
	bool (*decode_moved)(const char *body, size_t len, struct srf_moved *out);
	/** Returns the path of the call that frees a copy, as a new string. */
	char *(*encode_free)(const char *handle);
};

void srf_request_clear(struct srf_request *request);
const char *srf_verdict_name(enum srf_verdict verdict);

#endif
