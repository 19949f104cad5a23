/**
 * @file entry_internal.h
 * Private parts of an entry instance, shared by its commands and queries.
 *
 * entry.c creates, runs and stops the instance; entry_common.c has the functions
 * that all other files use; answer.c builds answers; poller.c reads the configuration, the instance
 * list and the engines' load reports; gossip.c exchanges state with the peers; orders.c changes the
 * version of engines; accounting.c charges the time of engines to owners; claim_gc.c deletes old
 * claim rows; router.c passes requests to src/command and src/query. Everything runs on one event
 * loop in one thread.
 */
#ifndef FLAMINGOLATCH_SRC_ENTRY_INTERNAL_H
#define FLAMINGOLATCH_SRC_ENTRY_INTERNAL_H

#include "flamingolatch/byte_budget.h"
#include "flamingolatch/bus.h"
#include "flamingolatch/profile_config.h"
#include "flamingolatch/entry.h"
#include "flamingolatch/err.h"
#include "flamingolatch/http_client.h"
#include "flamingolatch/http_server.h"
#include "flamingolatch/limiter.h"
#include "flamingolatch/log.h"
#include "flamingolatch/member.h"
#include "flamingolatch/metric.h"
#include "flamingolatch/pool.h"
#include "flamingolatch/retry_bucket.h"
#include "flamingolatch/settings.h"
#include "flamingolatch/table.h"
#include "flamingolatch/wfq.h"
#include "flamingolatch/wire.h"

struct poller;
struct gossip;
struct orders;
struct accounting;
struct claim_gc;
struct genreq;

/** State of one service. */
struct entry_service {
	const struct settings_service *settings;
	struct retry_bucket retry;
	struct length_survival *length_estimate;
	GHashTable *estimates_by_customer; /* customer name to struct length_survival */
};

/** One entry instance. */
struct entry {
	uv_loop_t *loop;
	struct settings *settings;
	struct metric *metric;
	struct http_client *client;
	struct table *table;
	struct http_server *caller_server;
	struct http_server *operator_server;
	struct bus *bus;
	struct profile_config *profile_config;
	struct pool *pool;
	struct wfq *queue; /* of struct genreq, waiting for an engine */
	struct limiter *customer_limits;
	struct byte_budget cross_region_budget; /* bytes relayed from other regions */
	struct membership *membership;
	struct poller *poller;
	struct gossip *gossip;
	struct orders *orders;
	struct accounting *accounting;
	struct claim_gc *claim_gc;
	GHashTable *services;	      /* name to struct entry_service */
	GHashTable *generations;      /* set of struct genreq */
	char *bus_address;	      /* "IP:port" that peers send to */
	uint64_t incarnation;	      /* differs for each start of the process */
	uint64_t config_confirmed_us; /* when the revision was last confirmed as newest; 0 before */
	uint64_t list_read_us;	      /* when the instance list was last read; 0 before */
	uint32_t background_count;    /* pending operations on the store or a service; the process
				       * stops only after they have ended, even if their
				       * requests were answered before */
	uv_timer_t tick_timer;
	uv_timer_t drain_timer;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uint64_t drain_started_us;
	bool ready; /* has a configuration */
	bool stopping;
	bool drain_deadline_logged;
	/* The following are set by entry.c, so that the files that call them do not depend on the
	 * modules that implement them. */
	/** Sends to the peers at once instead of in the next gossip round. */
	void (*announce_soon)(struct entry *entry);
	/** Announces to the peers that an upstream is leaving. */
	void (*announce_leaving)(struct entry *entry, const struct upstream *up);
	/** See genreq_kv_tokens(). */
	uint64_t (*kv_tokens_held)(const struct genreq *gen, const char **engine,
				   const char **owner);
};

/** Returns the monotonic time in microseconds. */
uint64_t entry_now_us(void);
/** Returns the wall clock in milliseconds since 1970. */
uint64_t entry_wall_ms(void);

/** Returns a service by its name, or NULL. */
struct entry_service *entry_find_service(struct entry *entry, const char *name);
/** Returns how far away a new request may be placed now: as @p spill allows, but not in other
 * regions while the byte budget for relaying from them is used up. */
enum profile_spill entry_allowed_spill(struct entry *entry, enum profile_spill spill);
/** Deducts relayed bytes from cross_region_budget if the upstream is in another region. */
void entry_count_relayed_bytes(struct entry *entry, const struct upstream *up, size_t bytes);
/** Returns the output length estimate of a customer of a service; creates it if needed. */
struct length_survival *entry_length_estimate(struct entry_service *service, const char *customer);
/**
 * Applies a configuration snapshot if it is newer than the current one, and announces its revision
 * to the peers. The first one makes the instance ready.
 * @param snapshot see profile_config_apply()
 * @param source where it came from, for the log
 */
void entry_apply_config(struct entry *entry, const json_t *snapshot, const char *source);
/** Marks an upstream as leaving and announces this to the peers; does nothing if it is marked
 * already.
 * @param source who reported it, for the log */
void entry_mark_upstream_leaving(struct entry *entry, struct upstream *up, const char *source);

/** @name answer.c
 * @{ */
/** Answers with the status and body of an error kind, and with Retry-After if a retry helps.
 * @param message replaces the kind's own text; may be NULL */
void answer_error(struct entry *entry, struct http_req *req, enum err_kind kind,
		  const char *message);
/** Answers with JSON; takes over the reference @p root. */
void answer_json(struct http_req *req, uint16_t status, json_t *root);
/** Returns the body of an error answer as a new reference. */
json_t *answer_error_json(enum err_kind kind, const char *message);
/** @} */

/** @name router.c: handlers of the two HTTP servers, with struct entry as context
 * @{ */
void router_handle_caller(void *ctx, struct http_req *req);
void router_handle_operator(void *ctx, struct http_req *req);
/** @} */

/** @name poller.c: reads the instance list, the configuration and the engines' load reports
 * @{ */
struct poller *poller_create(struct entry *entry);
void poller_destroy(struct poller *poller);
/** Reads the configuration from the store at the next tick. */
void poller_read_config_soon(struct poller *poller);
/** @} */

/** @name gossip.c: exchange of state with the peers
 * @{ */
struct gossip *gossip_create(struct entry *entry);
void gossip_destroy(struct gossip *gossip);
/** Sends to the peers in a few milliseconds instead of in the next round; @p gossip may be NULL. */
void gossip_send_soon(struct gossip *gossip);
/** Adds a notice that an upstream is leaving to the messages that are sent in the next minute. */
void gossip_announce_leaving(struct gossip *gossip, const char *id, const char *address);
/** Handles a message of a peer; @p ctx is the struct entry. */
void gossip_receive(void *ctx, const void *buf, size_t len);
/** @} */

/** @name orders.c: version changes of the engines of the own zone
 * @{ */
struct orders *orders_create(struct entry *entry);
void orders_destroy(struct orders *orders);
/** @} */

/** @name accounting.c: busy and idle time of the engines of the own zone, by owner
 * @{ */
struct accounting *accounting_create(struct entry *entry);
void accounting_destroy(struct accounting *accounting);
/** Returns the KV cache that this instance's generations use, as an array of struct wire_kv_usage;
 * free it with g_array_free(). */
GArray *accounting_own_usage(const struct entry *entry);
/** Replaces the KV cache usage of a peer's generations. */
void accounting_set_peer_usage(struct accounting *accounting, const char *peer,
			       const struct wire_kv_usage *usage, uint32_t count);
/** @} */

/** @name claim_gc.c: deletion of old claim rows of non-idempotent requests
 * @{ */
struct claim_gc *claim_gc_create(struct entry *entry);
void claim_gc_destroy(struct claim_gc *gc);
/** @} */

/** @name src/command: each answers the request, now or later
 * @{ */
/** Starts a generation. @param chat the body has messages instead of a prompt */
void generate_start(struct entry *entry, struct http_req *req,
		    const struct settings_customer *customer, bool chat);
/** Resumes a stream after the event that the header Last-Event-ID names. */
void generate_resume(struct entry *entry, struct http_req *req,
		     const struct settings_customer *customer);
/** Checks deadlines and stalls, and admits queued requests; call it regularly. */
void generate_tick(struct entry *entry);
/** Relays a request to a plain service. */
void call_start(struct entry *entry, struct http_req *req,
		const struct settings_customer *customer);
/** Publishes, changes or retires a profile in the store. */
void profile_change(struct entry *entry, struct http_req *req, enum profile_config_action action);
/** @} */

/** @name src/query
 * @{ */
/** Answers with the state of the instance. */
void query_state(struct entry *entry, struct http_req *req);
/** Answers with the metrics in the Prometheus text format. */
void query_metrics(struct entry *entry, struct http_req *req);
/** Answers with the current profiles of this instance and with the revision of each member.
 * @param name of one profile; NULL for all */
void query_profiles(struct entry *entry, struct http_req *req, const char *name);
/** Answers with the usage rows of all engines, read from the store. */
void query_usage(struct entry *entry, struct http_req *req);
/**
 * Returns the KV cache that a generation uses, in tokens; 0 if it is on no engine.
 * @param engine set to the engine's id, unless 0 is returned
 * @param owner set to the owner that is charged for it, unless 0 is returned
 */
uint64_t genreq_kv_tokens(const struct genreq *gen, const char **engine, const char **owner);
/** Returns the JSON object of a generation in the answer of query_state(), as a new reference. */
json_t *genreq_to_json(const struct genreq *gen, uint64_t now_us);
/** @} */

#endif
