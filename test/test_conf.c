/**
 * @file test_conf.c
 * Tests the YAML reader on profiles: values and defaults survive a round trip through JSON,
 * and the message of each kind of error names line and key.
 */
#include "flamingolatch/err.h"
#include "flamingolatch/profile.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static void expect_error(const char *text, const char *expected_part)
{
	g_autoptr(GError) error = NULL;
	struct profile prof;

	g_assert_false(profile_parse("p.yaml", text, strlen(text), &prof, &error));
	g_assert_cmpint((int)err_kind_of(error), ==, ERR_SETTINGS);
	if (!strstr(error->message, expected_part))
		g_error("\"%s\" does not contain \"%s\"", error->message, expected_part);
}

static void test_errors(void)
{
	expect_error("name: a\nprority: 3\n", "p.yaml:2: key \"prority\": expected a known key");
	expect_error("priority: 3\n", "key \"name\": expected the key to be present");
	expect_error("name: a\npriority: ten\n", "p.yaml:2: key \"priority\": expected a whole");
	expect_error("name: a\npriority: 10\n", "from 0 to 9");
	expect_error("name: A b\n", "a name of a-z");
	expect_error("name: a\nname: b\n", "p.yaml:2: key \"name\": expected the key only once");
	expect_error("name: a\nspill: planet\n", "one of none, zone, region");
	expect_error("name: a\nidempotent_methods: GET\n", "a list of strings");
	expect_error("name: [a\n", "not valid YAML");
	expect_error("", "the file is empty");
	expect_error("- a\n", "expected a mapping");
	expect_error("name: a\nreservations: [{owner: x, share_percent: 60}, "
		     "{owner: y, share_percent: 60}]\n",
		     "at most 100 in all");
}

static void test_round_trip(void)
{
	const char *text = "name: a\npriority: 7\nspill: region\nidempotent_methods: [GET, PUT]\n"
			   "reservations: [{owner: desk, share_percent: 40}]\n";
	struct profile first;
	struct profile second;
	json_t *json;
	char *dumped;

	g_assert_true(profile_parse("p", text, strlen(text), &first, NULL));
	json = profile_to_json(&first);
	dumped = json_dumps(json, 0);
	g_assert_true(profile_parse("p", dumped, strlen(dumped), &second, NULL));
	g_assert_cmpuint(second.priority, ==, 7);
	g_assert_cmpuint(second.spill, ==, PROFILE_SPILL_REGION);
	g_assert_true(profile_method_is_idempotent(&second, "PUT"));
	g_assert_false(profile_method_is_idempotent(&second, "POST"));
	g_assert_cmpstr(second.reservations[0].owner, ==, "desk");
	g_assert_cmpuint(second.queue_deadline_ms, ==, first.queue_deadline_ms);
	json_decref(json);
	free(dumped);
	profile_clear(&first);
	profile_clear(&second);
}

/* An alias that refers to its own list must end in an error, not in endless recursion. */
static void test_alias_loop(void)
{
	expect_error("name: a\nreservations: &x [*x]\n", "expected");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/conf/errors", test_errors);
	g_test_add_func("/conf/round-trip", test_round_trip);
	g_test_add_func("/conf/alias-loop", test_alias_loop);
	return g_test_run();
}
