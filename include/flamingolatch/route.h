/**
 * @file route.h
 * Routing configuration: maps a request's host and path to a route, and a route
 * to the services that answer it; also holds the customers and their API keys.
 *
 * The code that decodes a configuration calls route_config_create() and
 * route_config_add_*(). After that the configuration is read-only and shared by
 * reference count, see route_config_ref() and route_config_unref(). Its routes,
 * services and customers live as long as the configuration. The module does no
 * I/O and reads no clock. The reference count is not atomic: use it from one
 * thread.
 */
#ifndef FLAMINGOLATCH_ROUTE_H
#define FLAMINGOLATCH_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Execution guarantee of a route's requests. */
enum route_kind {
	ROUTE_IDEMPOTENT,   /**< may be executed more than once */
	ROUTE_AT_MOST_ONCE, /**< must not be executed twice */
	ROUTE_STREAM,	    /**< answered by server-sent events; at most once unless resumable */
	ROUTE_KIND_COUNT
};

/** A service that gets a weighted share of a route's requests. */
struct route_target {
	char *service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host;   /**< lower case, without port */
	char *prefix; /**< path prefix; begins and ends with a slash */
	enum route_kind kind;
	uint32_t queue_timeout_ms; /**< longest time that a request may be queued; 0 for no limit */
	uint32_t latency_slo_ms;   /**< objective for the time to the answer or first event */
	uint32_t event_gap_slo_ms; /**< objective for the pause between events; 0 if no stream */
	uint32_t priority;	   /**< 0 is served first */
	uint32_t max_attempts;	   /**< number of attempts that one request may have */
	bool is_public;		   /**< needs no API key */
	bool resumable;		   /**< a broken stream may be resumed at another upstream */
	GArray *targets;	   /**< struct route_target */
	GPtrArray *regions;	   /**< names of the regions that may serve it; empty: all */
};

/** Properties of the engines behind a service. */
struct route_engine {
	uint32_t slots;		     /**< requests that one engine processes in a batch */
	uint64_t kv_tokens;	     /**< capacity of the KV cache, in tokens */
	uint64_t kv_bytes_per_token; /**< size of a token in the KV cache */
	double kv_link_mbps;	     /**< bandwidth for copying KV caches between engines */
	uint32_t tokens_per_event;   /**< tokens that an engine sends in one event */
	uint32_t kv_copy_ttl_ms;     /**< how long an engine keeps a KV copy */
	bool can_migrate;	     /**< a running generation can be migrated to another engine */
	bool can_backup;	     /**< the KV cache can be copied while a generation runs */
};

struct route_service {
	char *name;
	char *health_path;
	uint32_t max_connections; /**< connections that one upstream accepts in total */
	double cold_per_s; /**< requests a second that a cold upstream takes; 0: no such limit */
	uint32_t cold_start_ms;	    /**< how long an upstream is cold after a start */
	bool has_engines;	    /**< the upstreams are engines and run generations */
	struct route_engine engine; /**< valid if @c has_engines is set */
};

struct route_customer {
	char *name;
	int32_t priority;   /**< overrides the route's priority; -1 if unset */
	GPtrArray *regions; /**< names of the regions that may serve its requests; empty: all */
};

/** Limits on the size and the duration of what a caller sends. */
struct route_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms; /**< for the headers of a request */
	uint32_t idle_timeout_ms;   /**< for the next request, and for its body */
};

struct route_config;

/** Returns an empty configuration with one reference. */
struct route_config *route_config_create(uint64_t version);
struct route_config *route_config_ref(struct route_config *config);
/** Drops a reference; the last one frees the configuration. @p config may be NULL. */
void route_config_unref(struct route_config *config);

/** Adds a route without targets that allows one attempt. The caller sets the other members.
 * @param host matched without regard to case
 * @param prefix path prefix, begins and ends with a slash */
struct route *route_config_add_route(struct route_config *config, const char *host,
				     const char *prefix);
void route_add_target(struct route *route, const char *service, uint32_t weight);
/** Restricts a route or customer to a region, beside those that it may use already.
 * @param regions route::regions or route_customer::regions */
void route_add_region(GPtrArray *regions, const char *name);
/** Adds a service; one of the same name is freed and replaced. */
struct route_service *route_config_add_service(struct route_config *config, const char *name);
/** Adds a customer without API keys, whose priority is unset. */
struct route_customer *route_config_add_customer(struct route_config *config, const char *name);
/** Assigns an API key to a customer of the same configuration. */
void route_config_add_key(struct route_config *config, const char *key,
			  struct route_customer *customer);
void route_config_set_version(struct route_config *config, uint64_t version);
void route_config_set_limits(struct route_config *config, const struct route_limits *limits);

uint64_t route_config_version(const struct route_config *config);
const struct route_limits *route_config_limits(const struct route_config *config);
uint32_t route_config_route_count(const struct route_config *config);
/** Returns whether there are customers; without any, no request needs a key. */
bool route_config_has_customers(const struct route_config *config);

/** Returns the route of a host with the longest prefix that @p path begins with, or NULL.
 * @param host value of the Host header; a port in it is ignored */
const struct route *route_config_match(const struct route_config *config, const char *host,
				       const char *path);
/** Returns the service of that name, or NULL. */
const struct route_service *route_config_find_service(const struct route_config *config,
						      const char *name);
/** Returns the names of all services, in no order: strings of a new array, which the caller drops a
 * reference of. */
GPtrArray *route_config_dup_service_names(const struct route_config *config);
/** Returns the customer of that name, or NULL. */
const struct route_customer *route_config_find_customer_name(const struct route_config *config,
							     const char *name);
/** Returns the shortest and the longest objective of the stream routes of a service, 0 for both
 * when none has an objective. */
void route_config_stream_objectives(const struct route_config *config, const char *service,
				    uint32_t *shortest_ms, uint32_t *longest_ms);
/** Returns the customer that an API key belongs to, or NULL. */
const struct route_customer *route_config_find_customer(const struct route_config *config,
							const char *key);
/** Selects one of the route's services by weight.
 * @param draw random number, uniformly distributed
 * @return its name, or NULL if the route has no targets; the first if all weights are 0 */
const char *route_select_service(const struct route *route, uint32_t draw);
/** Returns the route's own copy of the name of a service that it sends requests to, or NULL. */
const char *route_find_target(const struct route *route, const char *service);
/** Calls @p each for each service of each route whose streams may be resumed. */
void route_config_foreach_resumable(const struct route_config *config,
				    void (*each)(void *ctx, const char *service), void *ctx);
/** Returns whether upstreams of a region may get a request. A restriction of the route and one of
 * the customer both bind.
 * @param customer NULL if the request has none
 * @param region NULL when it is unknown: allowed only without a restriction */
bool route_allows_region(const struct route *route, const struct route_customer *customer,
			 const char *region);
/** Returns whether any region is excluded for a request. @param customer NULL if it has none */
bool route_is_restricted(const struct route *route, const struct route_customer *customer);
/** Calls @p callback for each region that a route or customer is restricted to.
 * @param owner name of the route or customer; "-" when it has none */
void route_config_foreach_region(const struct route_config *config,
				 void (*callback)(void *ctx, const char *owner, const char *region),
				 void *ctx);
const char *route_kind_name(enum route_kind kind);
/** Returns whether a request of this route may be executed more than once, so that it may be
 * retried after an attempt whose outcome is unknown. */
bool route_allows_rerun(const struct route *route);

#endif
