/**
 * @file test_check_config.c
 * "flamingolatch check --config": a file for each finding, which is reported at its
 * place, and nothing else is.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#define ROUTE                                                                                      \
	"{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/a/\",\"route_kind\":\"safe\","       \
	"\"timeout_ms\":900,\"slo_ms\":300,\"service\":\"s\",\"max_attempts\":2}"
#define SERVICES "\"services\":[{\"name\":\"s\"}]"
#define TENANTS	 "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"secret-1\"]}]"
/* A configuration with a second route, and other services and customers. */
#define CONFIG(route, services, tenants)                                                           \
	"{\"version\":2,\"routes\":[" ROUTE route "]," services "," tenants "}"
#define SECOND(rest)                                                                               \
	CONFIG(",{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/b/\"," rest "}", SERVICES,   \
	       TENANTS)

struct check_case {
	const char *text;
	int code;
	const char *out; /* what the line of the finding begins with; "" for no line */
};

/* Runs the command. @return its exit code */
static int run_check(const char *text, const char *against, bool as_json, char **out)
{
	g_autofree char *directory = g_dir_make_tmp("check-config-XXXXXX", NULL);
	g_autofree char *file = g_build_filename(directory, "new.json", NULL);
	g_autofree char *old = g_build_filename(directory, "old.json", NULL);
	g_autoptr(GError) error = NULL;
	const char *argv[8] = { FLAMINGOLATCH, "check", "--config", file };
	g_autoptr(GSubprocess) process = NULL;
	uint32_t argc = 4;

	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	if (against) {
		g_assert_true(g_file_set_contents(old, against, -1, NULL));
		argv[argc++] = "--against";
		argv[argc++] = old;
	}
	if (as_json)
		argv[argc++] = "--json";
	process = g_subprocess_newv(
		argv, G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE, &error);
	g_assert_no_error(error);
	g_assert_true(g_subprocess_communicate_utf8(process, NULL, NULL, out, NULL, NULL));
	g_unlink(file);
	g_unlink(old);
	g_rmdir(directory);
	g_assert_true(g_subprocess_get_if_exited(process));
	return g_subprocess_get_exit_status(process);
}

static void test_findings(void)
{
	static const struct check_case cases[] = {
		{ CONFIG("", SERVICES, TENANTS), 0, "" },
		{ SECOND("\"route_kind\":\"unsafe\",\"service\":\"s\""), 0, "" },
		/* unreadable */
		{ "{\"version\":2,\"routes\":[" ROUTE, 2, ":1:" },
		{ "{\"version\":2}", 2, ": instances reject it" },
		{ "{\"routes\":[]}", 2, ": instances reject it" },
		/* routes */
		{ CONFIG("," ROUTE, SERVICES, TENANTS), 1, ": routes[1]: never-matches" },
		{ CONFIG(",{\"host\":\"h.example\",\"prefix\":\"b\",\"route_kind\":\"safe\","
			 "\"service\":\"s\"}",
			 SERVICES, TENANTS),
		  1, ": routes[1]: never-matches" },
		{ CONFIG(",{\"host\":\"h.example\"}", SERVICES, TENANTS), 1,
		  ": routes[1]: ignored" },
		{ SECOND("\"route_kind\":\"safe\",\"service\":\"x\""), 1,
		  ": routes[1]: unknown-service" },
		{ SECOND("\"route_kind\":\"safe\""), 1, ": routes[1]: no-service" },
		{ SECOND("\"route_kind\":\"safe\",\"split\":[{\"service\":\"s\",\"weight\":1},"
			 "{\"service\":\"s\",\"weight\":0}]"),
		  1, ": routes[1].split[1]: never-selected" },
		{ SECOND("\"route_kind\":\"safe\",\"service\":\"s\",\"timeout_ms\":200,\"slo_ms\":"
			 "300"),
		  1, ": routes[1]: deadline-below-objective" },
		{ SECOND("\"route_kind\":\"unsafe\",\"service\":\"s\",\"max_attempts\":2"), 1,
		  ": routes[1]: attempts-not-allowed" },
		{ SECOND("\"route_kind\":\"safe\",\"service\":\"s\",\"max_attempts\":0"), 1,
		  ": routes[1]: no-attempts" },
		{ SECOND("\"route_kind\":\"idempotent\",\"service\":\"s\""), 1,
		  ": routes[1]: unknown-kind" },
		{ SECOND("\"route_kind\":\"safe\",\"service\":\"s\",\"service\":\"s\""), 1,
		  ": line 1: duplicate-member" },
		/* services and customers */
		{ CONFIG("", "\"services\":[{\"name\":\"s\"},{\"name\":\"s\"}]", TENANTS), 1,
		  ": services[1]: duplicate-name" },
		{ CONFIG("", SERVICES, "\"tenants\":[{\"name\":\"t\",\"api_keys\":[]}]"), 1,
		  ": tenants[0]: no-keys" },
		{ CONFIG("", SERVICES,
			 "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"secret-1\"]},"
			 "{\"name\":\"u\",\"api_keys\":[\"secret-1\"]}]"),
		  1, ": tenants[1].api_keys[0]: duplicate-key" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *out = NULL;
		int code = run_check(cases[i].text, NULL, false, &out);

		g_test_message("case %zu: exit code %d, %s", i, code, out);
		g_assert_cmpint(code, ==, cases[i].code);
		if (*cases[i].out)
			g_assert_nonnull(strstr(out, cases[i].out));
		/* One line: nothing else is reported. */
		g_assert_true(*cases[i].out ? strchr(out, '\n') == out + strlen(out) - 1 : !*out);
		g_assert_null(strstr(out, "secret"));
	}
}

static void test_differences(void)
{
	g_autofree char *out = NULL;
	g_autofree char *json = NULL;
	g_autofree char *same = NULL;
	const char *old = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
			  "\"health_path\":\"/h\"}],\"tenants\":[{\"name\":\"t\",\"api_keys\":"
			  "[\"secret-0\"]}]}";

	g_assert_cmpint(run_check(CONFIG("", SERVICES, TENANTS), old, false, &out), ==, 0);
	g_test_message("%s", out);
	g_assert_nonnull(strstr(out, ": routes \"a\": added\n"));
	g_assert_nonnull(strstr(out, ": services \"s\".health_path: removed\n"));
	g_assert_nonnull(strstr(out, ": tenants \"t\".api_keys: changed\n"));
	g_assert_null(strstr(out, "secret"));
	g_assert_cmpint(run_check(CONFIG("", SERVICES, TENANTS), old, true, &json), ==, 0);
	g_assert_nonnull(strstr(json, "\"differences\": ["));
	/* The same version is not applied. */
	g_assert_cmpint(run_check(CONFIG("", SERVICES, TENANTS), CONFIG("", SERVICES, TENANTS),
				  false, &same),
			==, 1);
	g_assert_nonnull(strstr(same, ": version: version-not-newer"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/check-config/findings", test_findings);
	g_test_add_func("/check-config/differences", test_differences);
	return g_test_run();
}
