#include "flamingolatch/route.h"

#include <string.h>

struct route_config {
	uint64_t version;
	guint refs;
	GPtrArray *routes;    /* struct route */
	GHashTable *hosts;    /* host to GPtrArray of struct route, longest prefix first */
	GHashTable *services; /* name to struct route_service */
	GPtrArray *customers; /* struct route_customer */
	GHashTable *keys;     /* API key to struct route_customer */
	struct route_limits limits;
};

static const char *const route_kind_names[ROUTE_KIND_COUNT] = { "idempotent", "once", "stream" };

/* lifetime */

static void route_target_clear(gpointer data)
{
	struct route_target *target = data;

	g_free(target->service);
}

static void route_free(gpointer data)
{
	struct route *route = data;

	g_array_free(route->targets, TRUE);
	g_ptr_array_unref(route->regions);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void route_service_free(gpointer data)
{
	struct route_service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void route_customer_free(gpointer data)
{
	struct route_customer *customer = data;

	g_ptr_array_unref(customer->regions);
	g_free(customer->name);
	g_free(customer);
}

static void route_array_free(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

struct route_config *route_config_create(uint64_t version)
{
	struct route_config *config = g_new0(struct route_config, 1);

	config->version = version;
	config->refs = 1;
	config->routes = g_ptr_array_new_with_free_func(route_free);
	config->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_array_free);
	config->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, route_service_free);
	config->customers = g_ptr_array_new_with_free_func(route_customer_free);
	config->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return config;
}

struct route_config *route_config_ref(struct route_config *config)
{
	config->refs++;
	return config;
}

void route_config_unref(struct route_config *config)
{
	if (!config || --config->refs > 0)
		return;
	g_hash_table_destroy(config->hosts);
	g_hash_table_destroy(config->keys);
	g_hash_table_destroy(config->services);
	g_ptr_array_free(config->routes, TRUE);
	g_ptr_array_free(config->customers, TRUE);
	g_free(config);
}

/* construction */

struct route *route_config_add_route(struct route_config *config, const char *host,
				     const char *prefix)
{
	struct route *route = g_new0(struct route, 1);
	GPtrArray *host_routes;
	guint position = 0;

	route->host = g_ascii_strdown(host, -1);
	route->prefix = g_strdup(prefix);
	route->max_attempts = 1;
	route->targets = g_array_new(FALSE, TRUE, sizeof(struct route_target));
	g_array_set_clear_func(route->targets, route_target_clear);
	route->regions = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(config->routes, route);
	host_routes = g_hash_table_lookup(config->hosts, route->host);
	if (!host_routes) {
		host_routes = g_ptr_array_new();
		g_hash_table_insert(config->hosts, g_strdup(route->host), host_routes);
	}
	while (position < host_routes->len) {
		const struct route *other = host_routes->pdata[position];

		if (strlen(other->prefix) < strlen(prefix))
			break;
		position++;
	}
	g_ptr_array_insert(host_routes, (gint)position, route);
	return route;
}

void route_add_target(struct route *route, const char *service, uint32_t weight)
{
	struct route_target target = { g_strdup(service), weight };

	g_array_append_val(route->targets, target);
}

struct route_service *route_config_add_service(struct route_config *config, const char *name)
{
	struct route_service *service = g_new0(struct route_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(config->services, service->name, service);
	return service;
}

struct route_customer *route_config_add_customer(struct route_config *config, const char *name)
{
	struct route_customer *customer = g_new0(struct route_customer, 1);

	customer->name = g_strdup(name);
	customer->priority = -1;
	customer->regions = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(config->customers, customer);
	return customer;
}

void route_add_region(GPtrArray *regions, const char *name)
{
	g_ptr_array_add(regions, g_strdup(name));
}

void route_config_add_key(struct route_config *config, const char *key,
			  struct route_customer *customer)
{
	g_hash_table_replace(config->keys, g_strdup(key), customer);
}

void route_config_set_version(struct route_config *config, uint64_t version)
{
	config->version = version;
}

void route_config_set_limits(struct route_config *config, const struct route_limits *limits)
{
	config->limits = *limits;
}

/* queries */

uint64_t route_config_version(const struct route_config *config)
{
	return config->version;
}

const struct route_limits *route_config_limits(const struct route_config *config)
{
	return &config->limits;
}

uint32_t route_config_route_count(const struct route_config *config)
{
	return config->routes->len;
}

bool route_config_has_customers(const struct route_config *config)
{
	return config->customers->len > 0;
}

const struct route *route_config_match(const struct route_config *config, const char *host,
				       const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const GPtrArray *host_routes = g_hash_table_lookup(config->hosts, name);

	for (guint i = 0; host_routes && i < host_routes->len; i++) {
		const struct route *route = host_routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

const struct route_service *route_config_find_service(const struct route_config *config,
						      const char *name)
{
	return g_hash_table_lookup(config->services, name);
}

GPtrArray *route_config_dup_service_names(const struct route_config *config)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	const char *name;

	g_hash_table_iter_init(&iter, config->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&name, NULL))
		g_ptr_array_add(names, g_strdup(name));
	return names;
}

static bool route_has_target(const struct route *route, const char *service)
{
	return route_find_target(route, service) != NULL;
}

void route_config_stream_objectives(const struct route_config *config, const char *service,
				    uint32_t *shortest_ms, uint32_t *longest_ms)
{
	*shortest_ms = 0;
	*longest_ms = 0;
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = config->routes->pdata[i];

		if (route->kind != ROUTE_STREAM || route->latency_slo_ms == 0 ||
		    !route_has_target(route, service))
			continue;
		*shortest_ms = *shortest_ms ? MIN(*shortest_ms, route->latency_slo_ms)
					    : route->latency_slo_ms;
		*longest_ms = MAX(*longest_ms, route->latency_slo_ms);
	}
}

const struct route_customer *route_config_find_customer(const struct route_config *config,
							const char *key)
{
	return g_hash_table_lookup(config->keys, key);
}

const struct route_customer *route_config_find_customer_name(const struct route_config *config,
							     const char *name)
{
	for (guint i = 0; i < config->customers->len; i++) {
		const struct route_customer *customer = config->customers->pdata[i];

		if (strcmp(customer->name, name) == 0)
			return customer;
	}
	return NULL;
}

const char *route_select_service(const struct route *route, uint32_t draw)
{
	uint32_t total = 0;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct route_target, i).weight;
	if (total == 0)
		return route->targets->len
			       ? g_array_index(route->targets, struct route_target, 0).service
			       : NULL;
	draw %= total;
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		if (draw < target->weight)
			return target->service;
		draw -= target->weight;
	}
	return NULL;
}

const char *route_find_target(const struct route *route, const char *service)
{
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		if (strcmp(target->service, service) == 0)
			return target->service;
	}
	return NULL;
}

void route_config_foreach_resumable(const struct route_config *config,
				    void (*each)(void *ctx, const char *service), void *ctx)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = config->routes->pdata[i];

		if (!route->resumable)
			continue;
		for (guint j = 0; j < route->targets->len; j++)
			each(ctx, g_array_index(route->targets, struct route_target, j).service);
	}
}

const char *route_kind_name(enum route_kind kind)
{
	return route_kind_names[kind];
}

/* Tells whether a list of regions, of which an empty one means all, has a region. */
static bool route_regions_allow(const GPtrArray *regions, const char *region)
{
	if (regions->len == 0)
		return true;
	for (guint i = 0; region && i < regions->len; i++) {
		if (strcmp(regions->pdata[i], region) == 0)
			return true;
	}
	return false;
}

bool route_allows_region(const struct route *route, const struct route_customer *customer,
			 const char *region)
{
	return route_regions_allow(route->regions, region) &&
	       (!customer || route_regions_allow(customer->regions, region));
}

bool route_is_restricted(const struct route *route, const struct route_customer *customer)
{
	return route->regions->len > 0 || (customer && customer->regions->len > 0);
}

static void route_foreach_region(const GPtrArray *regions, const char *owner,
				 void (*callback)(void *ctx, const char *owner, const char *region),
				 void *ctx)
{
	for (guint i = 0; i < regions->len; i++)
		callback(ctx, owner ? owner : "-", regions->pdata[i]);
}

void route_config_foreach_region(const struct route_config *config,
				 void (*callback)(void *ctx, const char *owner, const char *region),
				 void *ctx)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route = config->routes->pdata[i];

		route_foreach_region(route->regions, route->name, callback, ctx);
	}
	for (guint i = 0; i < config->customers->len; i++) {
		const struct route_customer *customer = config->customers->pdata[i];

		route_foreach_region(customer->regions, customer->name, callback, ctx);
	}
}

bool route_allows_rerun(const struct route *route)
{
	return route->kind == ROUTE_IDEMPOTENT || (route->kind == ROUTE_STREAM && route->resumable);
}
