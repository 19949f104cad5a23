/**
 * @file genreq.h
 * Private: one generation on its way through an instance.
 *
 * generate.c reads requests and admits them; genreq.c follows one from the
 * engine to its caller.
 */
#ifndef FLAMINGOLATCH_SRC_GENREQ_H
#define FLAMINGOLATCH_SRC_GENREQ_H

#include "../entry/entry_internal.h"
#include "flamingolatch/gen.h"
#include "flamingolatch/sse.h"

#define GENREQ_PREFIX_MAX 32

/* One generation and its caller. */
struct genreq {
	struct entry *entry;
	struct entry_service *service;
	struct http_req *req; /* NULL once the caller left */
	struct gen *gen;
	char *customer;
	char *limit_key;
	char *request;	 /* id of the generation towards engines */
	char *public_id; /* what callers see: service.engine.stream.mac */
	char *engine_id;
	char *stream_id;
	char *prompt;
	uint64_t seed;
	uint64_t priority;
	double deviations;
	uint32_t room_factor;
	enum profile_spill spill;
	uint64_t queue_deadline_us;
	uint64_t open_timeout_us;
	uint64_t prefix[GENREQ_PREFIX_MAX];
	uint32_t prefix_count;
	struct kv_forecast_item item;
	struct length_survival *len;
	struct upstream *up; /* entered, NULL when none */
	struct wfq_item *queued;
	struct http_call *call;
	struct sse *sse;
	uint16_t status;
	GString *buffered; /* answer that is held until it is whole */
	GString *refusal;  /* body of an answer that is no stream */
	GString *out;
	uv_timer_t timer;
	uint64_t open_offset;
	uint64_t arrived_us;
	uint64_t called_us;
	uint64_t token_us;
	bool stream;
	bool chat;
	bool started; /* the answer's head was sent */
	bool opened;  /* the engine accepted the present connection */
	bool exact;   /* engines continue this output exactly */
	bool admitted;
	bool paused;
	bool reached;	/* a request for it may have reached an engine */
	bool abandoned; /* the caller left; the stream is cancelled soon */
	bool ended;
	bool limited;
};

/** @param held the answer is held until it is whole */
struct genreq *genreq_create(struct entry *entry, struct entry_service *service,
			     const struct settings_customer *customer, const struct profile *prof,
			     bool held);
/** Leaves queue, engine and limit, and frees once running callbacks returned. */
void genreq_end(struct genreq *gr);
/** Connects the caller's request. */
void genreq_set_caller(struct genreq *gr, struct http_req *req);
/** Names the engine's stream, and so the id that callers see. */
void genreq_set_stream(struct genreq *gr, const char *engine, const char *stream);
/** Sends the request to an engine that has room. */
void genreq_admit(struct genreq *gr, struct upstream *up, uint64_t now_us);
/** Answers the caller with an error, in the stream when that has begun. */
void genreq_answer_error(struct genreq *gr, enum err_kind kind);
/** Looks for a stall and for an engine that does not answer. */
void genreq_tick(struct genreq *gr, uint64_t now_us);
/** Returns the keyed digest over the parts of a stream's id; free with g_free(). */
char *genreq_mac(const struct entry *entry, const char *service, const char *engine,
		 const char *stream, const char *customer);

#endif
