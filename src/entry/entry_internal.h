/**
 * @file entry_internal.h
 * Private parts of an entry instance, shared by its commands and queries.
 *
 * entry.c owns the lifetime and puts the parts together, base.c holds what all of
 * them use, watch.c follows the platform and the engines,
 * gossip.c talks with the peers, router.c hands requests to src/command and
 * src/query. All of it runs on one loop and one thread.
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

struct watch;
struct gossip;
struct orders;
struct accounts;
struct collect;
struct genreq;

/** What an instance keeps for one service. */
struct entry_service {
	const struct settings_service *set;
	struct retry_bucket retry;
	struct length_survival *len;
	GHashTable *len_by_customer; /* customer to struct length_survival */
};

/** One entry instance. */
struct entry {
	uv_loop_t *loop;
	struct settings *set;
	struct metric *metric;
	struct http_client *cli;
	struct table *table;
	struct http_server *callers;
	struct http_server *operators;
	struct bus *bus;
	struct profile_config *profile_config;
	struct pool *pool;
	struct wfq *queue;
	struct limiter *limiter;
	struct byte_budget far; /* bytes relayed from other regions */
	struct membership *membership;
	struct watch *watch;
	struct gossip *gossip;
	struct orders *orders;
	struct accounts *accounts;
	struct collect *collect;
	GHashTable *services;	 /* name to struct entry_service */
	GHashTable *generations; /* set of struct genreq */
	char *bus_address;
	uint64_t incarnation;
	uint64_t config_confirmed_us; /* when the revision was last seen as newest */
	uint64_t listed_us;	      /* when the instance list was last read; 0 before */
	uint32_t background;	      /* work that goes on after its answer */
	uv_timer_t tick;
	uv_timer_t drain;
	uv_signal_t terminate;
	uv_signal_t interrupt;
	uint64_t drain_from_us;
	bool ready;
	bool stopping;
	bool drain_warned;
	/** Tells the peers at once instead of at the next round. */
	void (*tell_soon)(struct entry *entry);
	/** Tells the peers of an upstream that leaves. */
	void (*tell_leaving)(struct entry *entry, const struct upstream *up);
	/** Returns the tokens that a generation holds on an engine for an owner; 0 when none. */
	uint64_t (*held)(const struct genreq *gen, const char **engine, const char **owner);
};

/** Monotonic time in microseconds. */
uint64_t entry_now_us(void);
/** Wall clock in milliseconds. */
uint64_t entry_wall_ms(void);

/** Returns the service of a name, or NULL. */
struct entry_service *entry_service(struct entry *entry, const char *name);
/** Returns how far new work may go now: not to other regions once the byte budget is spent. */
enum profile_spill entry_spill(struct entry *entry, enum profile_spill spill);
/** Counts bytes that came from an upstream. */
void entry_relayed(struct entry *entry, const struct upstream *up, size_t bytes);
/** Returns the length estimate of a service's customer. */
struct length_survival *entry_len(struct entry_service *service, const char *customer);
/** Puts a snapshot in force when it is newer and tells the peers. */
void entry_apply_config(struct entry *entry, const json_t *snapshot, const char *source);
/** Marks an upstream as leaving and tells the peers. */
void entry_upstream_leaving(struct entry *entry, struct upstream *up, const char *source);

/** @name answer.c
 * @{ */
/** Answers with an error kind; @p message may be NULL. */
void answer_error(struct entry *entry, struct http_req *req, enum err_kind kind,
		  const char *message);
/** Answers with JSON; takes the reference. */
void answer_json(struct http_req *req, uint16_t status, json_t *root);
/** Returns the body of an error answer. */
json_t *answer_error_json(enum err_kind kind, const char *message);
/** @} */

/** @name router.c
 * @{ */
void router_caller(void *ctx, struct http_req *req);
void router_operator(void *ctx, struct http_req *req);
/** @} */

/** @name watch.c: the platform's lists, the configuration and engine reports
 * @{ */
struct watch *watch_create(struct entry *entry);
void watch_destroy(struct watch *watch);
/** Reads the configuration from the table soon. */
void watch_config_now(struct watch *watch);
/** @} */

/** @name gossip.c: exchange with peers
 * @{ */
struct gossip *gossip_create(struct entry *entry);
void gossip_destroy(struct gossip *gossip);
/** Sends to the peers at once instead of at the next round. */
void gossip_urgent(struct gossip *gossip);
/** Remembers an upstream that is leaving, to pass it on. */
void gossip_leaving(struct gossip *gossip, const char *id, const char *address);
void gossip_receive(void *ctx, const void *buf, size_t len);
/** @} */

/** @name orders.c: orders to the engines of the own zone
 * @{ */
struct orders *orders_create(struct entry *entry);
void orders_destroy(struct orders *orders);
/** @} */

/** @name accounts.c: busy and idle time of the engines of the own zone
 * @{ */
struct accounts *accounts_create(struct entry *entry);
void accounts_destroy(struct accounts *accounts);
/** Returns what the own work holds: an array of struct wire_kv_usage. */
GArray *accounts_own(const struct entry *entry);
/** Takes what a peer's work holds. */
void accounts_peer(struct accounts *accounts, const char *peer, const struct wire_kv_usage *held,
		   uint32_t count);
/** @} */

/** @name collect.c: deletion of old claim rows
 * @{ */
struct collect *collect_create(struct entry *entry);
void collect_destroy(struct collect *collect);
/** @} */

/** @name src/command
 * @{ */
void generate_start(struct entry *entry, struct http_req *req,
		    const struct settings_customer *customer, bool chat);
void generate_resume(struct entry *entry, struct http_req *req,
		     const struct settings_customer *customer);
/** Looks at deadlines and stalls, and admits what fits. */
void generate_tick(struct entry *entry);
void call_start(struct entry *entry, struct http_req *req,
		const struct settings_customer *customer);
void profile_change(struct entry *entry, struct http_req *req, enum profile_config_action verb);
/** @} */

/** @name src/query
 * @{ */
void query_state(struct entry *entry, struct http_req *req);
void query_metrics(struct entry *entry, struct http_req *req);
void query_profiles(struct entry *entry, struct http_req *req, const char *name);
void query_usage(struct entry *entry, struct http_req *req);
/** Returns the tokens that a generation holds on an engine for an owner; 0 when none. */
uint64_t genreq_held(const struct genreq *gen, const char **engine, const char **owner);
/** Returns a generation for the state dump. */
json_t *genreq_state(const struct genreq *gen, uint64_t now_us);
/** @} */

#endif
