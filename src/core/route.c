#include "flamingolatch/route.h"

#include <string.h>

struct rt_config {
	uint64_t version;
	guint refs;
	GPtrArray *routes; /* struct rt_route */
	GHashTable *hosts; /* host to GPtrArray of struct rt_route, longest prefix first */
	GHashTable *services;
	GPtrArray *customers;
	GHashTable *keys; /* key to struct rt_customer */
	struct rt_limits limits;
};

static const char *const rt_kind_names[RT_KIND_COUNT] = { "idempotent", "once", "stream" };

/* lifetime */

static void rt_target_clear(gpointer data)
{
	struct rt_target *target = data;

	g_free(target->service);
}

static void rt_route_free(gpointer data)
{
	struct rt_route *route = data;

	g_array_free(route->targets, TRUE);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void rt_service_free(gpointer data)
{
	struct rt_service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void rt_customer_free(gpointer data)
{
	struct rt_customer *customer = data;

	g_free(customer->name);
	g_free(customer);
}

static void rt_array_free(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

struct rt_config *rt_config_create(uint64_t version)
{
	struct rt_config *config = g_new0(struct rt_config, 1);

	config->version = version;
	config->refs = 1;
	config->routes = g_ptr_array_new_with_free_func(rt_route_free);
	config->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rt_array_free);
	config->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rt_service_free);
	config->customers = g_ptr_array_new_with_free_func(rt_customer_free);
	config->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return config;
}

struct rt_config *rt_config_ref(struct rt_config *config)
{
	config->refs++;
	return config;
}

void rt_config_unref(struct rt_config *config)
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

/* commands */

struct rt_route *rt_config_add_route(struct rt_config *config, const char *host, const char *prefix)
{
	struct rt_route *route = g_new0(struct rt_route, 1);
	GPtrArray *of_host;
	guint at = 0;

	route->host = g_ascii_strdown(host, -1);
	route->prefix = g_strdup(prefix);
	route->max_attempts = 1;
	route->targets = g_array_new(FALSE, TRUE, sizeof(struct rt_target));
	g_array_set_clear_func(route->targets, rt_target_clear);
	g_ptr_array_add(config->routes, route);
	of_host = g_hash_table_lookup(config->hosts, route->host);
	if (!of_host) {
		of_host = g_ptr_array_new();
		g_hash_table_insert(config->hosts, g_strdup(route->host), of_host);
	}
	while (at < of_host->len) {
		const struct rt_route *other = of_host->pdata[at];

		if (strlen(other->prefix) < strlen(prefix))
			break;
		at++;
	}
	g_ptr_array_insert(of_host, (gint)at, route);
	return route;
}

void rt_route_add_target(struct rt_route *route, const char *service, uint32_t weight)
{
	struct rt_target target = { g_strdup(service), weight };

	g_array_append_val(route->targets, target);
}

struct rt_service *rt_config_add_service(struct rt_config *config, const char *name)
{
	struct rt_service *service = g_new0(struct rt_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(config->services, service->name, service);
	return service;
}

struct rt_customer *rt_config_add_customer(struct rt_config *config, const char *name)
{
	struct rt_customer *customer = g_new0(struct rt_customer, 1);

	customer->name = g_strdup(name);
	customer->priority = -1;
	g_ptr_array_add(config->customers, customer);
	return customer;
}

void rt_config_add_key(struct rt_config *config, const char *key, struct rt_customer *customer)
{
	g_hash_table_replace(config->keys, g_strdup(key), customer);
}

void rt_config_set_limits(struct rt_config *config, const struct rt_limits *limits)
{
	config->limits = *limits;
}

/* queries */

uint64_t rt_config_version(const struct rt_config *config)
{
	return config->version;
}

const struct rt_limits *rt_config_limits(const struct rt_config *config)
{
	return &config->limits;
}

uint32_t rt_config_route_count(const struct rt_config *config)
{
	return config->routes->len;
}

bool rt_config_has_customers(const struct rt_config *config)
{
	return config->customers->len > 0;
}

const struct rt_route *rt_match(const struct rt_config *config, const char *host, const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const GPtrArray *of_host = g_hash_table_lookup(config->hosts, name);

	for (guint i = 0; of_host && i < of_host->len; i++) {
		const struct rt_route *route = of_host->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

const struct rt_service *rt_find_service(const struct rt_config *config, const char *name)
{
	return g_hash_table_lookup(config->services, name);
}

const struct rt_customer *rt_find_customer(const struct rt_config *config, const char *key)
{
	return g_hash_table_lookup(config->keys, key);
}

const char *rt_target(const struct rt_route *route, uint32_t draw)
{
	uint32_t total = 0;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct rt_target, i).weight;
	if (total == 0)
		return route->targets->len
			       ? g_array_index(route->targets, struct rt_target, 0).service
			       : NULL;
	draw %= total;
	for (guint i = 0; i < route->targets->len; i++) {
		const struct rt_target *target =
			&g_array_index(route->targets, struct rt_target, i);

		if (draw < target->weight)
			return target->service;
		draw -= target->weight;
	}
	return NULL;
}

const char *rt_kind_name(enum rt_kind kind)
{
	return rt_kind_names[kind];
}

bool rt_repeatable(const struct rt_route *route)
{
	return route->kind == RT_IDEMPOTENT || (route->kind == RT_STREAM && route->resumable);
}
