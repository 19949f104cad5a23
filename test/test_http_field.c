/**
 * @file test_http_field.c
 * Names in the lists of HTTP header fields, and valid values.
 */
#include "flamingolatch/http_field.h"

#include <glib.h>
#include <string.h>

static void test_list_contains(void)
{
	static const char *const lists[] = { "x", " x ", "X", "a,x", "a , x\t,b", ",,x,", "xx,x" };
	static const char *const others[] = { "", ",", "xx", "ax", "x y", "x;q=1", "a,b" };

	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++)
		g_assert_true(http_field_list_contains(lists[i], "x"));
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++)
		g_assert_false(http_field_list_contains(others[i], "x"));
	g_assert_false(http_field_list_contains(NULL, "x"));
}

static void test_value(void)
{
	static const char *const invalid[] = { "\x01", "a\x1f", "\x7f", "a\rb" };

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		g_assert_false(http_field_value_is_valid(invalid[i], strlen(invalid[i])));
	g_assert_false(http_field_value_is_valid("\0a", 2));
	g_assert_true(http_field_value_is_valid("a\t b\xe4", 5));
	g_assert_true(http_field_value_is_valid("", 0));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-field/list-contains", test_list_contains);
	g_test_add_func("/http-field/value", test_value);
	return g_test_run();
}
