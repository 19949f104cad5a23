/**
 * @file route.h
 * A routing configuration: which service answers a request, and under which rules.
 *
 * rt_config_create(), rt_config_add_*() while it is decoded, then read-only and
 * shared by rt_config_ref() and rt_config_unref(). Routes, services and
 * customers live as long as their configuration. Pure: no I/O, no clock.
 */
#ifndef FLAMINGOLATCH_ROUTE_H
#define FLAMINGOLATCH_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What may be repeated. */
enum rt_kind {
	RT_IDEMPOTENT, /**< may run more than once */
	RT_ONCE,       /**< may run at most once */
	RT_STREAM,     /**< answered by events; at most once unless it may be resumed */
	RT_KIND_COUNT
};

/** A service that takes a share of a route's requests. */
struct rt_target {
	char *service;
	uint32_t weight;
};

struct rt_route {
	char *name;
	char *host;   /**< lower case */
	char *prefix; /**< begins and ends with a slash */
	enum rt_kind kind;
	uint32_t timeout_ms;   /**< longest time that a request is kept waiting; 0 means none */
	uint32_t objective_ms; /**< until the answer, or a stream's first event */
	uint32_t max_gap_ms; /**< longest pause between events that is on time; 0 unless a stream */
	uint32_t priority;   /**< 0 is first */
	uint32_t max_attempts; /**< upstreams to which one request may be sent */
	bool open;	       /**< needs no key */
	bool resumable;	       /**< a stream may go on at another upstream */
	GArray *targets;       /**< struct rt_target */
};

/** Properties of the engines of a service. */
struct rt_engine {
	uint32_t slots;		 /**< requests in one batch */
	uint64_t kv_tokens;	 /**< memory, in tokens */
	uint64_t kv_token_bytes; /**< size of a token's memory */
	double link_mbps;	 /**< over which memory moves */
	uint32_t tokens_per_event;
	uint32_t handle_ttl_ms; /**< how long a copy is kept */
	bool moves;		/**< can hand a running generation over */
	bool backups;		/**< can copy a running generation's memory as it grows */
};

struct rt_service {
	char *name;
	char *health_path;
	uint32_t max_connections; /**< that an upstream accepts from all callers */
	bool generates;		  /**< upstreams are engines */
	struct rt_engine engine;  /**< valid when @c generates */
};

struct rt_customer {
	char *name;
	int32_t priority; /**< takes precedence over the route's; -1 when unset */
};

/** What a client may send, and how long it may take. */
struct rt_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct rt_config;

struct rt_config *rt_config_create(uint64_t version);
struct rt_config *rt_config_ref(struct rt_config *config);
void rt_config_unref(struct rt_config *config);

/** Adds a route with no targets; fill in the returned structure. */
struct rt_route *rt_config_add_route(struct rt_config *config, const char *host,
				     const char *prefix);
void rt_route_add_target(struct rt_route *route, const char *service, uint32_t weight);
struct rt_service *rt_config_add_service(struct rt_config *config, const char *name);
struct rt_customer *rt_config_add_customer(struct rt_config *config, const char *name);
void rt_config_add_key(struct rt_config *config, const char *key, struct rt_customer *customer);
void rt_config_set_limits(struct rt_config *config, const struct rt_limits *limits);

uint64_t rt_config_version(const struct rt_config *config);
const struct rt_limits *rt_config_limits(const struct rt_config *config);
uint32_t rt_config_route_count(const struct rt_config *config);
/** Tells whether requests need a key. */
bool rt_config_has_customers(const struct rt_config *config);

/** Returns the route with the longest prefix that begins the path, or NULL.
 * @param host value of Host; a port in it is ignored */
const struct rt_route *rt_match(const struct rt_config *config, const char *host, const char *path);
const struct rt_service *rt_find_service(const struct rt_config *config, const char *name);
/** Returns the customer that holds a key, or NULL. */
const struct rt_customer *rt_find_customer(const struct rt_config *config, const char *key);
/** Returns the service for a request, by weight.
 * @param draw evenly distributed */
const char *rt_target(const struct rt_route *route, uint32_t draw);
const char *rt_kind_name(enum rt_kind kind);
/** Tells whether a request of this route may run more than once. */
bool rt_repeatable(const struct rt_route *route);

#endif
