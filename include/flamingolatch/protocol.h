/**
 * @file protocol.h
 * Port, an interface that the platform adapter implements: the HTTP protocol of
 * callers and upstreams.
 *
 * An implementation decodes a caller's request, encodes the header lines of a
 * request to an upstream, and classifies the upstream's answer. It keeps no
 * state and makes no decisions.
 */
#ifndef FLAMINGOLATCH_PROTOCOL_H
#define FLAMINGOLATCH_PROTOCOL_H

#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"

/** A caller's request. Strings are owned by the request. */
struct protocol_request {
	char *id;	     /**< chosen by the caller; NULL when it sent none */
	char *key;	     /**< API key, or NULL */
	char *headers;	     /**< header lines to forward unchanged, each ended by CRLF */
	char *last_event_id; /**< last event that the caller has, to resume a stream, or NULL */
	/** Id of the request that brought the first event of the stream that is resumed, or NULL */
	char *resumes_id;
	uint64_t wait_ms; /**< time until the caller's deadline; 0 when it sent none */
	bool passed_on;	  /**< by another instance, which has no path to the upstreams */
	uint32_t runs;	  /**< attempts there that may have run it; 0 unless passed_on */
	uint64_t prompt_tokens;
	uint64_t max_output_tokens;
	uint64_t hinted_output_tokens; /**< the caller's hint of the output length; 0 for none */
	/** Ids of the parts of the prompt, in order; requests may share all parts but the last,
	 * which belongs to the request or its session. NULL for none. */
	uint64_t *prompt_parts;
	uint32_t prompt_part_count;
};

/** What the system adds to a request for one attempt at an upstream. */
struct protocol_attempt {
	const char *upstream_id;   /**< any other upstream refuses the request */
	const char *customer;	   /**< NULL for a route without keys */
	uint64_t left_ms;	   /**< time left until the deadline; 0 for no deadline */
	const char *backup;	   /**< address of the engine that keeps a backup, or NULL */
	const char *from_address;  /**< address that holds the KV copy to resume from, or NULL */
	const char *from_handle;   /**< handle of that KV copy */
	const char *last_event_id; /**< event after which to resume, or NULL */
	int32_t priority;	   /**< 0 is first, 9 last; -1 leaves it to the engine */
};

/** Meaning of an upstream's answer. */
enum protocol_answer_class {
	PROTOCOL_ANSWERED,    /**< the upstream's own answer */
	PROTOCOL_NOT_RUN,     /**< the upstream states that it did not run the request */
	PROTOCOL_MISDIRECTED, /**< another upstream has the address; the request did not run */
	PROTOCOL_FOREIGN,     /**< not an answer of the upstream's service */
	PROTOCOL_ANSWER_CLASS_COUNT
};

/** What an answer says of the time for which its upstream wants to be left alone. */
enum protocol_quiet {
	PROTOCOL_QUIET_NONE, /**< nothing */
	PROTOCOL_QUIET_ASKED,
	PROTOCOL_QUIET_INVALID, /**< no time, or not in a refusal */
	PROTOCOL_QUIET_COUNT
};

/** Order to an engine to copy the KV cache of a running generation to another engine. */
struct protocol_migration {
	const char *request_id;
	const char *target_address; /**< address of the other engine */
	bool stop_source;	    /**< stops the generation at the engine that runs it */
};

/** Answer to a migration. */
struct protocol_kv_copy {
	char *handle;	      /**< names the copy; NULL when there is none */
	uint64_t event_count; /**< events produced before the copy was made */
};

struct protocol_ops {
	/** Decodes a request. Clear the result with protocol_request_clear(). */
	void (*decode)(const struct http_req *req, struct protocol_request *out);
	/** Returns the header lines of a request to an upstream as a new string. */
	char *(*encode)(const struct protocol_request *request,
			const struct protocol_attempt *attempt);
	/** Returns the header lines of a request that is passed on to another instance as a new
	 * string: those of the caller, and that it was passed on.
	 * @param left_ms time left until the deadline; 0 for no deadline
	 * @param runs attempts that may have run it */
	char *(*encode_passed_on)(const struct protocol_request *request, uint64_t left_ms,
				  uint32_t runs);
	/** Marks the answer to a request: this instance has no path to the upstreams either. */
	void (*mark_no_path)(struct http_req *req);
	/** Returns true when an instance states that it has no path to the upstreams. */
	bool (*decode_no_path)(const struct http_response_head *head);
	/** Returns true unless the answer names a request other than @p id; NULL matches any. */
	bool (*owns)(const struct http_response_head *head, const char *id);
	/** Returns true when the answer names a request. */
	bool (*names_request)(const struct http_response_head *head);
	/** Classifies an answer by its head. */
	enum protocol_answer_class (*classify_answer)(const struct http_response_head *head);
	/** Returns the requests a second that the upstream takes from all instances together,
	 * as its answer names them; negative when it names no limit. */
	double (*decode_limit)(const struct http_response_head *head);
	/** Returns how much longer the upstream is cold, as its answer says, in ms; 0 when it says
	 * nothing of it. */
	uint32_t (*decode_cold)(const struct http_response_head *head);
	/** Returns true when the upstream says in its answer that it leaves. */
	bool (*decode_leaving)(const struct http_response_head *head);
	/** Decodes the time for which the upstream wants nothing from this instance.
	 * @param quiet_us set with PROTOCOL_QUIET_ASKED */
	enum protocol_quiet (*decode_quiet)(const struct http_response_head *head,
					    uint64_t *quiet_us);
	/** Returns path and body of the call that migrates a generation, as new strings. Free the
	 * body with free(). */
	void (*encode_migration)(const struct protocol_migration *migration, char **path,
				 char **body);
	/** Decodes the answer to a migration.
	 * @param out its handle is freed with g_free()
	 * @return false when it names no KV copy */
	bool (*decode_kv_copy)(const char *body, size_t len, struct protocol_kv_copy *out);
	/** Returns the path of the call that frees a KV copy, as a new string. */
	char *(*encode_kv_copy_path)(const char *handle);
};

/** Frees the strings of a request and zeroes it. */
void protocol_request_clear(struct protocol_request *request);
/** Returns the name of an answer class for the log. */
const char *protocol_answer_class_name(enum protocol_answer_class answer_class);

#endif
