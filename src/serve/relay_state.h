/**
 * @file relay_state.h
 * State of a caller's request while it is open, and the ways in which it finishes.
 *
 * Internal to the relay: shared by relay.c (decisions), relay_attempt.c (one
 * attempt at an upstream), relay_hedge.c (a second call beside the current
 * attempt) and relay_migrate.c (migration of generations between engines).
 * relay_attempt.c and relay_migrate.c report the end of an attempt by
 * relay::on_attempt_end.
 */
#ifndef FLAMINGOLATCH_SERVE_RELAY_STATE_H
#define FLAMINGOLATCH_SERVE_RELAY_STATE_H

#include "dispatch.h"
#include "env.h"

#include "flamingolatch/attempt.h"
#include "flamingolatch/buffer_budget.h"
#include "flamingolatch/err.h"
#include "flamingolatch/event_stream.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/http_server.h"
#include "flamingolatch/stream_stop.h"

struct relay_request;
struct relay_hedge;
struct stream_version_query;
struct relay_detour;
struct relay_detours;

/** Progress of a request. */
enum relay_phase {
	RELAY_QUEUED,	 /* waits for an engine, or for upstreams that are left alone */
	RELAY_LOOKUP,	 /* waits for the version of the stream that it resumes */
	RELAY_SENT,	 /* sent; no response head yet */
	RELAY_BUFFERING, /* the response is collected, to be passed on whole */
	RELAY_STREAMING, /* the response is passed on as it arrives */
	RELAY_PHASE_COUNT
};

/** Returns the name of a phase in the state dump. */
const char *relay_phase_name(enum relay_phase phase);

/** How long past the deadline an attempt may still end, in ms: an upstream's own response at the
 * deadline is preferred to our timeout error. */
#define RELAY_DEADLINE_SLACK_MS 60
/** Shortest delay after which a refused caller is invited to retry, in ms. */
#define RELAY_MIN_RETRY_AFTER_MS 400

/** The open requests of an instance. */
struct relay {
	struct env *env;
	struct dispatch *dispatch;
	GQueue requests; /* struct relay_request */
	GQueue releases; /* open calls that release KV copies, struct relay_release */
	struct buffer_budget buffers;
	/** Decides what follows an attempt that ended without completing the request; may free
	 * the request. */
	void (*on_attempt_end)(struct relay_request *request, enum attempt_outcome outcome);
	struct relay_detours *detours;
	bool request_freed;	      /* since engines were last granted to queued generations */
	GHashTable *length_estimates; /* name of a route to struct length_lognormal */
	GHashTable *hedges;	      /* name of a plain service to struct hedge */
};

/** One request. "Current" attempt means the last one that was started. */
struct relay_request {
	struct relay *relay;
	GList link;
	struct http_req *caller;	 /* NULL after the caller left or was answered */
	struct protocol_request decoded; /* content of the caller's request */
	struct route_config *config;	 /* configuration by which the request was routed */
	const struct route *route;
	const struct route_service *service;
	const struct route_customer *customer; /* NULL if the route needs no API key */
	/** Configuration, route and customer whose regions bind the next attempt: the newest,
	 * looked up by relay_allows_upstream(). NULL before the first look-up. */
	struct route_config *region_config;
	const struct route *region_route;
	const struct route_customer *region_customer;
	const char *service_name;
	enum admission_class admission; /* ADMISSION_NONE for calls */
	/** Hash of the customer, the method, the host, the target and the body: the same for a
	 * request that comes again under another id. */
	uint64_t fingerprint;
	struct dispatch_load attempt;		    /* on the upstream that has the request */
	struct dispatch_load backup;		    /* on the engine that keeps the backup */
	struct dispatch_queued *queued;		    /* NULL unless the phase is RELAY_QUEUED */
	struct stream_version_query *version_query; /* NULL unless the phase is RELAY_LOOKUP */
	struct relay_hedge *hedge;		    /* open second call; NULL when there is none */
	struct relay_detour *detour; /* peers that were tried; NULL before the first */
	struct http_call *call;	     /* of the current attempt; NULL when it ended */
	struct fetch *migrate_call;  /* open migration call; NULL when there is none */
	struct fleet_upstream
		*migrate_target;      /* target of the migration, with a reference; or NULL */
	struct dispatch_load kv_copy; /* on the engine to which the KV cache is copied */
	char *kv_copy_handle; /* of the latest KV copy by a migration, if it is still unused */
	struct fleet_upstream *kv_copy_source; /* that made the copy, with a reference */
	GPtrArray *tried;		       /* upstreams that had the request, with references */
	GPtrArray *migrate_tried; /* engines that did not accept a copy, with references */
	struct event_stream *events;
	GString *response_body;	   /* the part that is not passed on yet */
	GString *response_headers; /* names and values in turn, each ended by a zero byte */
	char *attempt_upstream_id; /* of the current attempt */
	char *last_event_id;	   /* of the last event passed on to the caller */
	char *software_version;	   /* at which the stream began and has to go on; NULL before */
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t queue_deadline_us;    /* end of the queue timeout, at most deadline_us */
	uint64_t sent_us;	       /* when the current attempt was started */
	uint64_t last_progress_us;     /* when the upstream of the current attempt last sent data */
	uint64_t first_event_us;       /* of the current attempt; 0 before */
	uint64_t speed_event_us;       /* from when the speed of events is measured; 0: it is not */
	uint64_t migrate_sent_us;      /* when the latest migration call was sent */
	uint64_t stall_checked_us;     /* when another upstream was last looked for in a stall */
	uint64_t migrate_checked_us;   /* when relay_migrate() last ran in this attempt; 0 before */
	uint64_t event_count;	       /* over all attempts */
	uint64_t attempt_event_count;  /* of the current attempt */
	uint64_t discarded_bytes;      /* of the current response */
	uint64_t comment_bytes;	       /* since the last event of the current attempt */
	uint64_t buffered_bytes;       /* counted in relay::buffers */
	uint32_t speed_event_count;    /* events since speed_event_us */
	uint32_t speed_first_event_ms; /* expected of the current attempt at nominal speed; 0:
					  unknown */
	uint32_t speed_open;	       /* requests at the upstream when the attempt was sent */
	uint32_t first_event_ms;       /* from the arrival of the request to its first event */
	uint32_t longest_pause_ms;     /* between two events */
	uint64_t expected_output_tokens;
	uint32_t attempt_count; /* attempts that ended and may have run */
	uint32_t unsent_count;	/* attempts for which no connection was opened */
	uint16_t status;	/* HTTP status of the current response; 0 before */
	uint16_t stop_status;	/* of the answer to the call that stops the generation; 0: none */
	enum relay_phase phase;
	struct stream_stop stop; /* of the current attempt, for the last copy of its KV cache */
	bool response_started;	 /* the response's head was passed on */
	bool may_have_run;	 /* in an earlier attempt */
	bool from_copy;		 /* the current attempt resumes from a KV copy */
	bool resumed;		 /* the current attempt resumes from a KV copy or after an event */
	bool discard;		 /* the current response is not passed on */
	bool invalid_response;	 /* malformed, not from the service of the upstream, or not a stream
				  * although one was started */
	bool stream;		 /* the current response is a stream of events */
	bool unframed;		 /* the current response ends with its connection */
	bool closed_in_stop;	 /* the stream was closed properly while it was to stop */
	bool migrate_last;	 /* the latest migration call stops the generation */
	bool migrate_not_run;	 /* the engine states that it did not carry that call out */
	bool withheld;		 /* the current attempt was not sent because of an evacuation */
	bool first_attempt;	 /* the current attempt is no retry and no hedged request */
	bool hedge_sent;	 /* a hedged request was sent */
	bool hedge_withheld;	 /* a hedged request was due and not sent */
	bool connected;		 /* the current attempt has a connection */
	bool tries_path;	 /* the current attempt tries a path that counts as lost */
	bool passed_on;		 /* the current call is to a peer, not to an upstream */
	bool not_run;		 /* the upstream states that it did not run the request */
};

/** @name Creation, finish and cancellation
 * @{ */
/**
 * Creates the state of a request and decodes it.
 * @param gone called with the new request when its caller leaves
 * @param drained called with the new request when the caller has read all that was written to it
 */
struct relay_request *relay_request_create(struct relay *relay, struct http_req *req,
					   void (*gone)(void *ctx), void (*drained)(void *ctx));
/** Cancels all calls of a request and frees it. Does not answer the caller: it has been answered
 * or has left. */
void relay_request_free(struct relay_request *request);
/** Cancels the current attempt and removes its load from the upstream. */
void relay_cancel_attempt(struct relay_request *request);
/** Drops the record of a migration's KV copy that was consumed or no longer exists; sends nothing
 * to the engine. */
void relay_forget_copy(struct relay_request *request);
/** Cancels the open calls that release KV copies. */
void relay_cancel_releases(struct relay *relay);
/** Cancels the open migration, if any, and releases its KV copy at the engine that made it. */
void relay_cancel_migration(struct relay_request *request);
/** Determines the class by which the request is admitted, and counts its demand. */
void relay_classify(struct relay_request *request);
/** Counts what is buffered for a request: of the response, and of what its caller has not read. */
void relay_count_buffered(struct relay_request *request);
/** Reads the rest of the response without passing it on: its caller left. */
void relay_discard_response(struct relay_request *request);
/** Updates the expected output length, and with it the KV cache counted on the engines. */
void relay_update_estimate(struct relay_request *request);
/** Counts the upstream as failing if it broke a call about a KV copy off, or answered it with what
 * is no answer. */
void relay_note_broken_call(struct fleet_upstream *up, const struct fetch_response *answer);
/** Tells whether the request may be sent to an upstream: the key of its caller was not withdrawn
 * since it arrived, while it waited for an upstream, an attempt or a connection. A stream that has
 * begun goes on. */
bool relay_key_is_valid(const struct relay_request *request);
/** Answers a request that may not be sent, and frees it. */
void relay_refuse_key(struct relay_request *request);
/** Records what the answer of an upstream says of the upstream itself: that it leaves, or asks to
 * be left alone for a time. @param up NULL does nothing @param sent_us when it was sent the request
 */
void relay_note_upstream(struct relay_request *request, struct fleet_upstream *up, uint64_t sent_us,
			 const struct http_response_head *head);
/** Counts the KV cache that the generation occupies now on the engines. */
void relay_update_used(struct relay_request *request);
/** Logs the end of a request. @param reason without blanks */
void relay_log_end(struct relay_request *request, enum log_event_id event, const char *reason);
/** Answers with an error of our own and frees the request. A response that was started is aborted
 * instead.
 * @param retry_after_ms suggested to the caller
 * @param reason for the log */
void relay_reply_error(struct relay_request *request, enum err_kind kind, uint32_t retry_after_ms,
		       const char *reason);
/** Aborts a response that was started, so that the caller sees that it is incomplete; frees the
 * request. */
void relay_abort_response(struct relay_request *request, const char *reason);
/** Completes a response that was passed on as it arrived; frees the request. */
void relay_finish_streamed(struct relay_request *request);
/** Passes on a response that was buffered whole; frees the request. */
void relay_deliver_buffered(struct relay_request *request);
/** Adds the headers of the upstream's response to the caller's response and marks it as started.
 * relay_request::caller must not be NULL. */
void relay_start_response(struct relay_request *request);
/** @} */

/** @name Queries
 * @{ */
/** Returns the request's id, "-" when it has none. */
const char *relay_request_id(const struct relay_request *request);
/** Returns the name of the request's route, "-" before it is routed. */
const char *relay_route_name(const struct relay_request *request);
/** Returns the id of the upstream of the current attempt, "-" before the first. */
const char *relay_upstream_id(const struct relay_request *request);
/** Returns the software version of the upstream that has the request, "" when none has or it is
 * unknown. */
const char *relay_upstream_version(const struct relay_request *request);
/** Returns the id of the last event that the caller has, "-" before the first. */
const char *relay_last_event_id(const struct relay_request *request);
/** Returns the hash that is kept as relay_request::fingerprint. */
uint64_t relay_compute_fingerprint(const struct relay_request *request);
/** Returns the ids of the first parts of the prompt, separated by commas, "-" for none. */
char *relay_dup_prompt_parts(const struct relay_request *request);
/** Returns the time since the request arrived, in ms. */
uint64_t relay_age_ms(const struct relay_request *request);
/** Returns the time until the deadline in ms, 0 when it has passed. */
uint64_t relay_time_left_ms(const struct relay_request *request);
/** Returns true when the request goes to a service of engines. */
bool relay_is_generation(const struct relay_request *request);
/** Returns the priority, 0 (first) to 9: the customer's if set, or else the route's. */
uint32_t relay_priority(const struct relay_request *request);
/** Returns how long the request may be queued for an engine, in ms. */
uint32_t relay_queue_wait_ms(const struct relay_request *request);
/** Returns the delay after which the caller of a generation that found no room may retry, in ms.
 * @param late_ms by how much its first event would have been late; 0 when there was no room */
uint32_t relay_room_retry_after_ms(struct relay_request *request, uint32_t late_ms);
/** Returns the requirements by which an upstream is selected. */
struct dispatch_need relay_dispatch_need(struct relay_request *request);
/** Tells whether the regions that the newest configuration allows for the request include an
 * upstream's. @param ctx struct relay_request */
bool relay_allows_upstream(void *ctx, const struct fleet_upstream *up);
/** Tells whether the request may be sent to an upstream now: its region is allowed, its zone not
 * evacuated, and a stream that has begun goes on at the same software version. */
bool relay_may_send_to(struct relay_request *request, const struct fleet_upstream *up);
/** Tells whether a stream that may be resumed may begin at an upstream now. @param ctx struct
 * relay_request */
bool relay_may_begin_at(void *ctx, const struct fleet_upstream *up);
/** Returns the id of the request that began the stream, as its caller names it; NULL when the
 * stream cannot be resumed, or the caller does not name it. */
const char *relay_stream_id(const struct relay_request *request);
/** Returns the delay after which a refused caller may retry, in ms: grows with the queue, and is
 * random so that callers do not come back at the same moment. */
uint32_t relay_retry_after_ms(const struct relay_request *request);
/** Tells whether an upstream asked to be left alone for a time that has not ended. */
bool relay_is_quiet(struct fleet_upstream *up);
/** Tells whether the generation can be resumed from its backup now. */
bool relay_has_backup(struct relay_request *request);
/** @} */

#endif
