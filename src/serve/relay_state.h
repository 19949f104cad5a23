/**
 * @file relay_state.h
 * What is kept of a caller's request while it is under way, and how it ends.
 *
 * Shared by relay.c, which decides, relay_send.c, which talks with upstreams,
 * and relay_move.c, which hands runs from one engine to another. What they
 * find goes up through rly::outcome.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_STATE_H
#define FLAMINGOLATCH_SERVE_RELAY_STATE_H

#include "dispatch.h"
#include "env.h"

#include "flamingolatch/again.h"
#include "flamingolatch/err.h"
#include "flamingolatch/evs.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/http_server.h"

struct relay;

/** Where a request is. */
enum relay_phase {
	RELAY_WAITING,	 /* for an engine */
	RELAY_SENT,	 /* for the head of an answer */
	RELAY_HOLDING,	 /* the answer is gathered, to be passed on whole */
	RELAY_STREAMING, /* the answer is passed on as it comes */
	RELAY_PHASE_COUNT
};

const char *relay_phase_name(enum relay_phase phase);

/** An upstream's own answer at the deadline goes before ours, in ms. */
#define RELAY_TIMEOUT_LATE_MS 60
/** Least time after which a refused caller may come back, in ms. */
#define RELAY_RETRY_MIN_MS 400

/** The requests of an instance. */
struct rly {
	struct env *env;
	struct dsp *dsp;
	GQueue relays; /* struct relay */
	/** Decides what follows a send that ended. */
	void (*outcome)(struct relay *relay, enum again_outcome outcome);
	bool freed;	     /* a request ended since engines were last granted */
	GHashTable *guesses; /* route's name to struct guess */
};

/** One request. */
struct relay {
	struct rly *rly;
	GList link;
	struct http_req *caller; /* NULL after it left or was answered */
	struct srf_request request;
	struct rt_config *config; /* the one that the request was routed by */
	const struct rt_route *route;
	const struct rt_service *service;
	const struct rt_customer *customer;
	const char *service_name;
	struct dsp_part part;	/* on the upstream that has the request */
	struct dsp_part backup; /* on the engine that keeps a copy */
	struct dsp_ticket *ticket;
	struct http_call *call;
	struct fetch *move;    /* call that moves the run */
	struct fups *move_to;  /* held while a move goes on */
	struct dsp_part copy;  /* on the engine that the run's memory is copied to */
	char *copy_handle;     /* of the copy that was made last and is not used yet */
	char *copy_source;     /* address of the engine that made it */
	GPtrArray *tried;      /* upstreams that had the request; held */
	GPtrArray *move_tried; /* engines that took no copy; held */
	struct evs *events;
	GString *answer;       /* body that is gathered */
	GString *answer_lines; /* name and value of headers, each ended by a zero byte */
	char *up_id;	       /* of the upstream that has or had the request */
	char *last_event_id;   /* passed on to the caller last */
	uint64_t arrived_us;
	uint64_t ends_us;	 /* no answer is wanted after it */
	uint64_t give_up_us;	 /* end of the wait for an engine */
	uint64_t progress_us;	 /* last sign of the upstream that has the request */
	uint64_t first_event_us; /* of the present run at its engine; 0 before */
	uint64_t move_sent_us;	 /* the call that moves the run */
	uint64_t evacuated_us;	 /* when a move was last tried; 0 before */
	uint64_t event_count;
	uint32_t first_ms;   /* from the request to its first event */
	uint32_t longest_ms; /* pause between two events */
	uint64_t expected_output;
	uint32_t runs;	 /* sends that may have run */
	uint16_t status; /* of the present answer; 0 before */
	enum relay_phase phase;
	bool begun;	   /* the answer's head was passed on */
	bool may_have_run; /* by an earlier send */
	bool resumed;	   /* the present send goes on from a copy or an event */
	bool discard;	   /* the present answer is not passed on */
	bool foreign;	   /* the present answer is not the upstream's */
	bool stream;	   /* the present answer is a stream of events */
	bool stopping;	   /* the run is being stopped by a move */
	bool move_last;	   /* the call that is under way stops the run */
	bool not_run;	   /* the upstream states that it did not run the request */
};

/** @name Lifetime and ends
 * @{ */
/** Takes a request; the callbacks run when its caller leaves, and when it has read all.
 * The relay is the context of both. */
struct relay *relay_create(struct rly *rly, struct http_req *req, void (*gone)(void *ctx),
			   void (*drained)(void *ctx));
/** Frees a request and all that it holds; its caller has been answered or has left. */
void relay_free(struct relay *relay);
/** Drops the send that is under way, and its part in the load. */
void relay_drop_call(struct relay *relay);
/** The copy that a move made is used, or gone. */
void relay_take_copy(struct relay *relay);
/** Drops the move that is under way, and frees its copy. */
void relay_drop_move(struct relay *relay);
/** Takes the memory that a generation is expected to reach into account. */
void relay_expect(struct relay *relay);
void relay_log_end(struct relay *relay, enum log_event_id event, const char *reason);
/** Answers with an error of our own and frees the request. */
void relay_answer_error(struct relay *relay, enum err_kind kind, uint32_t retry_after_ms,
			const char *reason);
/** Breaks an answer off, so that the caller sees that it is not whole; frees the request. */
void relay_cut(struct relay *relay, const char *reason);
/** Ends an answer that was passed on as it came; frees the request. */
void relay_finish(struct relay *relay);
/** Passes a gathered answer on; frees the request. */
void relay_deliver(struct relay *relay);
/** Passes the headers of the upstream's answer on. */
void relay_begin(struct relay *relay);
/** @} */

/** @name What is known of a request
 * @{ */
const char *relay_id(const struct relay *relay);
const char *relay_route(const struct relay *relay);
/** Returns the id of the upstream that has or had the request, "-" when none had. */
const char *relay_up_id(const struct relay *relay);
uint64_t relay_age_ms(const struct relay *relay);
/** Returns the time until no answer is wanted. */
uint64_t relay_left_ms(const struct relay *relay);
bool relay_is_generation(const struct relay *relay);
uint32_t relay_priority(const struct relay *relay);
/** Returns what the choice of an upstream is made for. */
struct dsp_need relay_need(const struct relay *relay);
/** Returns when a refused caller may come back, spread so that they do not come at once. */
uint32_t relay_retry_ms(const struct relay *relay);
/** Whether the copy at the backup engine can be used now. */
bool relay_has_copy(const struct relay *relay);
/** @} */

#endif
