/**
 * @file genreq.h
 * Private: one generation request, from its arrival to the end of its response.
 *
 * generate.c parses requests and selects an engine for each; genreq.c sends the
 * request to that engine and relays the tokens to the caller. What happens when
 * an engine fails is decided by struct gen. Order of calls for a new generation:
 * genreq_create(), genreq_set_caller(), gen_start(). For an existing stream:
 * genreq_create(), genreq_set_stream(), genreq_set_caller(), gen_resume(). Then
 * genreq_tick() regularly, and genreq_destroy(), which the module also calls
 * itself once the response has ended.
 */
#ifndef FLAMINGOLATCH_SRC_GENREQ_H
#define FLAMINGOLATCH_SRC_GENREQ_H

#include "../entry/entry_internal.h"
#include "flamingolatch/gen.h"
#include "flamingolatch/sse.h"

#define GENREQ_MAX_PREFIX_BLOCKS 32

/* A generation and the caller's request for it. */
struct genreq {
	struct entry *entry;
	struct entry_service *service;
	struct http_req *req; /* NULL once it was answered or the caller disconnected */
	struct gen *gen;
	char *customer;
	char *limit_key;  /* key of the customer's limits */
	char *request_id; /* sent to engines */
	char *public_id;  /* sent to the caller: service.engine.stream.mac */
	char *engine_id;
	char *stream_id; /* assigned by the engine */
	char *prompt;	 /* NULL when the caller resumes a stream */
	uint64_t seed;
	uint64_t priority;
	double deviations; /* KV cache kept free above the mean forecast, in standard deviations */
	uint32_t room_factor;	  /* from the profile, see pool_room_factor() */
	enum profile_spill spill; /* from the profile, see entry_allowed_spill() */
	uint64_t queue_deadline_us;
	uint64_t open_timeout_us;
	uint64_t prefix[GENREQ_MAX_PREFIX_BLOCKS]; /* hashes of the prompt's leading blocks */
	uint32_t prefix_count;
	struct kv_forecast_item item; /* part of the generation in the KV cache forecast */
	struct length_survival *length_estimate;
	struct upstream *up;	     /* engine that counts this generation as open, or NULL */
	struct wfq_item *queue_item; /* NULL unless queued */
	struct http_call *engine_call;
	struct sse *sse_parser;
	uint16_t status;       /* HTTP status of the engine's response; 0 before its head */
	GString *answer_text;  /* output so far of an answer that is not streamed */
	GString *error_body;   /* body of an engine's response other than 200 */
	GString *write_buffer; /* the event being written to the caller */
	uv_timer_t timer;      /* runs gen_on_timer(); after a disconnect, the reconnect window */
	uint64_t start_offset; /* first token to request from a new engine */
	uint64_t received_us;
	uint64_t call_started_us;
	uint64_t last_token_us;
	bool streaming; /* the caller gets each token as it arrives */
	bool chat;
	bool response_started;	 /* the head of the caller's response was sent */
	bool engine_accepted;	 /* the open event of the current engine call has arrived */
	bool exact_continuation; /* another engine can continue with the same tokens */
	bool admitted;		 /* was placed on an engine before */
	bool paused;		 /* reading from the engine is paused: the caller reads slowly */
	bool reached_engine;	 /* an engine may have received the request */
	bool abandoned;		 /* the caller disconnected; destroyed after the reconnect window */
	bool destroyed;
	bool holds_limit; /* genreq_destroy() releases the customer's limit */
};

/**
 * Creates a request that is neither queued nor connected to a caller.
 * @param buffer_answer whether the caller gets the whole answer at once, not a stream
 */
struct genreq *genreq_create(struct entry *entry, struct entry_service *service,
			     const struct settings_customer *customer,
			     const struct profile *profile, bool buffer_answer);
/** Removes the request from the queue, its engine and the customer's limits. The memory is freed
 * later by the event loop, so it is safe to call in a callback of the request. */
void genreq_destroy(struct genreq *gr);
/** Sets the HTTP request that gets the response. */
void genreq_set_caller(struct genreq *gr, struct http_req *req);
/** Sets the engine and its stream, and with them the id that the caller sees. */
void genreq_set_stream(struct genreq *gr, const char *engine, const char *stream);
/** Takes the request out of the queue and sends it to an engine. */
void genreq_admit(struct genreq *gr, struct upstream *up, uint64_t now_us);
/** Answers with an error: a JSON body, or an error event if the response has started as a stream.
 * A kind with ERR_EXECUTION_NOT_RUN is replaced by ERR_GENERATION_LOST if an engine may have
 * received the request. The request is not destroyed. */
void genreq_answer_error(struct genreq *gr, enum err_kind kind);
/** Checks for a stalled stream and for an engine that does not respond; call it regularly. */
void genreq_tick(struct genreq *gr, uint64_t now_us);
/** Returns the MAC in a public id, an HMAC over its parts and the customer; free with g_free(). */
char *genreq_stream_mac(const struct entry *entry, const char *service, const char *engine,
			const char *stream, const char *customer);

#endif
