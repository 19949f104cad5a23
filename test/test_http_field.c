/**
 * @file test_http_field.c
 * Names in the lists of HTTP header fields.
 */
#include "flamingolatch/http_field.h"

#include <glib.h>

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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-field/list-contains", test_list_contains);
	return g_test_run();
}
