/**
 * @file test_route.c
 * Matching of routes by host and path, selection of a service by weight, and
 * lookup of customers by API key.
 */
#include "flamingolatch/route.h"

#include <glib.h>

static struct route_config *sample_config(void)
{
	struct route_config *config = route_config_create(7);
	struct route_customer *customer = route_config_add_customer(config, "acme");
	struct route *route;

	route = route_config_add_route(config, "A.example", "/x/");
	route->name = g_strdup("short");
	route_add_target(route, "one", 90);
	route_add_target(route, "two", 10);
	route = route_config_add_route(config, "a.example", "/x/y/");
	route->name = g_strdup("long");
	route = route_config_add_route(config, "b.example", "/");
	route->name = g_strdup("all");
	route_config_add_key(config, "secret", customer);
	route_config_add_service(config, "one")->has_engines = true;
	return config;
}

static const char *matched_name(const struct route_config *config, const char *host,
				const char *path)
{
	const struct route *route = route_config_match(config, host, path);

	return route ? route->name : NULL;
}

static void test_match(void)
{
	struct route_config *config = sample_config();

	g_assert_cmpstr(matched_name(config, "a.example", "/x/"), ==, "short");
	g_assert_cmpstr(matched_name(config, "a.example", "/x/y/z?q=1"), ==, "long");
	g_assert_cmpstr(matched_name(config, "a.example", "/x/yz"), ==, "short");
	g_assert_cmpstr(matched_name(config, "A.EXAMPLE:8740", "/x/a"), ==, "short");
	g_assert_cmpstr(matched_name(config, "b.example", "/anything"), ==, "all");
	g_assert_null(route_config_match(config, "a.example", "/x"));
	g_assert_null(route_config_match(config, "a.example", "/"));
	g_assert_null(route_config_match(config, "c.example", "/x/"));
	route_config_unref(config);
}

static void test_targets(void)
{
	struct route_config *config = sample_config();
	const struct route *route = route_config_match(config, "a.example", "/x/");
	uint32_t second_count = 0;

	for (uint32_t draw = 0; draw < 1000; draw++)
		second_count += g_str_equal(route_select_service(route, draw), "two");
	g_assert_cmpuint(second_count, ==, 100);
	g_assert_null(route_select_service(route_config_match(config, "b.example", "/"), 3));
	g_assert_cmpstr(route_find_target(route, "two"), ==, "two");
	g_assert_null(route_find_target(route, "three"));
	route_config_unref(config);
}

static void test_customers(void)
{
	struct route_config *config = sample_config();

	g_assert_cmpstr(route_config_find_customer(config, "secret")->name, ==, "acme");
	g_assert_null(route_config_find_customer(config, "Secret"));
	g_assert_true(route_config_has_customers(config));
	g_assert_true(route_config_find_service(config, "one")->has_engines);
	g_assert_null(route_config_find_service(config, "three"));
	route_config_unref(config);
}

static void test_allows_rerun(void)
{
	struct route route = { .kind = ROUTE_IDEMPOTENT };

	g_assert_true(route_allows_rerun(&route));
	route.kind = ROUTE_AT_MOST_ONCE;
	route.resumable = true;
	g_assert_false(route_allows_rerun(&route));
	route.kind = ROUTE_STREAM;
	g_assert_true(route_allows_rerun(&route));
	route.resumable = false;
	g_assert_false(route_allows_rerun(&route));
}

/* A restriction of the route and one of the customer both bind; a request that has one does not go
 * to an upstream whose region is unknown. */
static void test_regions(void)
{
	struct route_config *config = route_config_create(1);
	struct route *route = route_config_add_route(config, "a.example", "/");
	struct route_customer *customer = route_config_add_customer(config, "acme");

	g_assert_false(route_is_restricted(route, customer));
	g_assert_true(route_allows_region(route, customer, "north"));
	g_assert_true(route_allows_region(route, NULL, NULL));
	route_add_region(route->regions, "north");
	route_add_region(route->regions, "south");
	g_assert_true(route_is_restricted(route, NULL));
	g_assert_true(route_allows_region(route, customer, "south"));
	g_assert_false(route_allows_region(route, customer, "west"));
	g_assert_false(route_allows_region(route, NULL, NULL));
	route_add_region(customer->regions, "south");
	g_assert_false(route_allows_region(route, customer, "north"));
	g_assert_true(route_allows_region(route, customer, "south"));
	g_assert_true(route_allows_region(route, NULL, "north"));
	g_assert_true(route_config_find_customer_name(config, "acme") == customer);
	g_assert_null(route_config_find_customer_name(config, "other"));
	route_config_unref(config);
}

static void add_stream(struct route_config *config, const char *prefix, const char *service,
		       uint32_t objective_ms, enum route_kind kind)
{
	struct route *route = route_config_add_route(config, "s.example", prefix);

	route->kind = kind;
	route->latency_slo_ms = objective_ms;
	route_add_target(route, service, 1);
}

/* Only the streams of a service count, and only those that have an objective. */
static void test_objectives(void)
{
	struct route_config *config = sample_config();
	uint32_t shortest_ms = 1;
	uint32_t longest_ms = 1;

	add_stream(config, "/a/", "engines", 4000, ROUTE_STREAM);
	add_stream(config, "/b/", "engines", 1500, ROUTE_STREAM);
	add_stream(config, "/c/", "engines", 0, ROUTE_STREAM);
	add_stream(config, "/d/", "engines", 300, ROUTE_IDEMPOTENT);
	add_stream(config, "/e/", "others", 9000, ROUTE_STREAM);
	route_config_stream_objectives(config, "engines", &shortest_ms, &longest_ms);
	g_assert_cmpuint(shortest_ms, ==, 1500);
	g_assert_cmpuint(longest_ms, ==, 4000);
	route_config_stream_objectives(config, "none", &shortest_ms, &longest_ms);
	g_assert_cmpuint(shortest_ms, ==, 0);
	g_assert_cmpuint(longest_ms, ==, 0);
	route_config_unref(config);
}

/* A reference keeps the configuration alive, as a request needs that outlives a change. */
static void test_reference(void)
{
	struct route_config *config = sample_config();
	struct route_config *second_ref = route_config_ref(config);

	route_config_unref(config);
	g_assert_cmpuint(route_config_version(second_ref), ==, 7);
	g_assert_cmpuint(route_config_route_count(second_ref), ==, 3);
	route_config_unref(second_ref);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/match", test_match);
	g_test_add_func("/route/targets", test_targets);
	g_test_add_func("/route/customers", test_customers);
	g_test_add_func("/route/repeatable", test_allows_rerun);
	g_test_add_func("/route/regions", test_regions);
	g_test_add_func("/route/objectives", test_objectives);
	g_test_add_func("/route/reference", test_reference);
	return g_test_run();
}
