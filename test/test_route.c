/**
 * @file test_route.c
 * Matching of routes, choice of targets, customers by key.
 */
#include "flamingolatch/route.h"

#include <glib.h>

static struct rt_config *sample(void)
{
	struct rt_config *config = rt_config_create(7);
	struct rt_customer *customer = rt_config_add_customer(config, "acme");
	struct rt_route *route;

	route = rt_config_add_route(config, "A.example", "/x/");
	route->name = g_strdup("short");
	rt_route_add_target(route, "one", 90);
	rt_route_add_target(route, "two", 10);
	route = rt_config_add_route(config, "a.example", "/x/y/");
	route->name = g_strdup("long");
	route = rt_config_add_route(config, "b.example", "/");
	route->name = g_strdup("all");
	rt_config_add_key(config, "secret", customer);
	rt_config_add_service(config, "one")->generates = true;
	return config;
}

static const char *matched(const struct rt_config *config, const char *host, const char *path)
{
	const struct rt_route *route = rt_match(config, host, path);

	return route ? route->name : NULL;
}

static void test_match(void)
{
	struct rt_config *config = sample();

	g_assert_cmpstr(matched(config, "a.example", "/x/"), ==, "short");
	g_assert_cmpstr(matched(config, "a.example", "/x/y/z?q=1"), ==, "long");
	g_assert_cmpstr(matched(config, "a.example", "/x/yz"), ==, "short");
	g_assert_cmpstr(matched(config, "A.EXAMPLE:8740", "/x/a"), ==, "short");
	g_assert_cmpstr(matched(config, "b.example", "/anything"), ==, "all");
	g_assert_null(rt_match(config, "a.example", "/x"));
	g_assert_null(rt_match(config, "a.example", "/"));
	g_assert_null(rt_match(config, "c.example", "/x/"));
	rt_config_unref(config);
}

static void test_targets(void)
{
	struct rt_config *config = sample();
	const struct rt_route *route = rt_match(config, "a.example", "/x/");
	uint32_t second = 0;

	for (uint32_t draw = 0; draw < 1000; draw++)
		second += g_str_equal(rt_target(route, draw), "two");
	g_assert_cmpuint(second, ==, 100);
	g_assert_null(rt_target(rt_match(config, "b.example", "/"), 3));
	rt_config_unref(config);
}

static void test_customers(void)
{
	struct rt_config *config = sample();

	g_assert_cmpstr(rt_find_customer(config, "secret")->name, ==, "acme");
	g_assert_null(rt_find_customer(config, "Secret"));
	g_assert_true(rt_config_has_customers(config));
	g_assert_true(rt_find_service(config, "one")->generates);
	g_assert_null(rt_find_service(config, "three"));
	rt_config_unref(config);
}

static void test_repeatable(void)
{
	struct rt_route route = { .kind = RT_IDEMPOTENT };

	g_assert_true(rt_repeatable(&route));
	route.kind = RT_ONCE;
	route.resumable = true;
	g_assert_false(rt_repeatable(&route));
	route.kind = RT_STREAM;
	g_assert_true(rt_repeatable(&route));
	route.resumable = false;
	g_assert_false(rt_repeatable(&route));
}

/* A request keeps the configuration that it was routed by. */
static void test_reference(void)
{
	struct rt_config *config = sample();
	struct rt_config *held = rt_config_ref(config);

	rt_config_unref(config);
	g_assert_cmpuint(rt_config_version(held), ==, 7);
	g_assert_cmpuint(rt_config_route_count(held), ==, 3);
	rt_config_unref(held);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/route/match", test_match);
	g_test_add_func("/route/targets", test_targets);
	g_test_add_func("/route/customers", test_customers);
	g_test_add_func("/route/repeatable", test_repeatable);
	g_test_add_func("/route/reference", test_reference);
	return g_test_run();
}
