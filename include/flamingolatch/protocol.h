/**
 * @file protocol.h
 * Port: how callers and upstreams spell requests and answers.
 *
 * A protocol decodes a caller's request once, writes the header lines of the
 * request to the upstream, and tells what an upstream's answer means. It holds
 * no state and decides nothing.
 */
#ifndef FLAMINGOLATCH_PROTOCOL_H
#define FLAMINGOLATCH_PROTOCOL_H

#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"

/** A caller's request. Strings are owned by the request. */
struct protocol_request {
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
struct protocol_attempt {
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
enum protocol_answer_class {
	PROTOCOL_ANSWERED,    /**< the upstream's own answer */
	PROTOCOL_NOT_RUN,     /**< the upstream states that it did not run the request */
	PROTOCOL_MISDIRECTED, /**< another upstream has the address; the request did not run */
	PROTOCOL_FOREIGN,     /**< not an answer of the upstream's service */
	PROTOCOL_ANSWER_CLASS_COUNT
};

/** A running generation's memory, handed from one engine to another. */
struct protocol_migration {
	const char *id; /**< of the request */
	const char *to; /**< address of the other engine */
	bool last;	/**< stops the run at its engine */
};

/** Answer to a move. */
struct protocol_kv_copy {
	char *handle;	 /**< names the copy; NULL when there is none */
	uint64_t events; /**< events made before the copy */
};

struct protocol_ops {
	/** Decodes a request. Clear the result with protocol_request_clear(). */
	void (*decode)(const struct hreq *req, struct protocol_request *out);
	/** Returns the header lines for an upstream as a new string. */
	char *(*encode)(const struct protocol_request *request,
			const struct protocol_attempt *send);
	/** Tells whether an answer is for the request of an id. */
	bool (*owns)(const struct hcall_head *head, const char *id);
	enum protocol_answer_class (*classify_answer)(const struct hcall_head *head);
	/** Returns path and body of the call that moves a generation, as new strings. */
	void (*encode_migration)(const struct protocol_migration *move, char **path, char **body);
	bool (*decode_kv_copy)(const char *body, size_t len, struct protocol_kv_copy *out);
	/** Returns the path of the call that frees a copy, as a new string. */
	char *(*encode_kv_copy_path)(const char *handle);
};

void protocol_request_clear(struct protocol_request *request);
const char *protocol_answer_class_name(enum protocol_answer_class verdict);

#endif
