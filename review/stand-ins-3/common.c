#include "common.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READY_MS 15000

static FILE *record_file;
static gint64 start_us;

uint64_t common_now_ms(void)
{
	return (uint64_t)(g_get_monotonic_time() - start_us) / 1000;
}

void common_record(const char *format, ...)
{
	va_list args;

	fprintf(record_file, "%8.3f ", (double)common_now_ms() / 1000.0);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

void common_open(struct common *run, int argc, char **argv)
{
	const char *trouble = g_getenv("TROUBLE");

	start_us = g_get_monotonic_time();
	record_file = argc > 1 ? fopen(argv[1], "w") : NULL;
	if (!record_file)
		exit(COMMON_COULD_NOT_RUN);
	run->trouble = !trouble || strcmp(trouble, "0") != 0;
	run->testbed = testbed_create((uint32_t)getpid());
	run->platform = testbed_platform(run->testbed);
	common_record("start, %s", run->trouble ? "with the disruption" : "TROUBLE=0");
}

int common_close(struct common *run, enum common_exit verdict)
{
	static const char *const names[] = { "the rule held", "the rule was broken",
					     "could not run" };

	common_record("end: %s", names[verdict]);
	printf("%s\n", names[verdict]);
	testbed_destroy(run->testbed);
	fclose(record_file);
	return verdict;
}

void common_need(struct common *run, bool condition, const char *what)
{
	if (condition)
		return;
	common_record("needed, but does not hold: %s", what);
	exit(common_close(run, COMMON_COULD_NOT_RUN));
}

void common_configure(struct common *run, uint32_t version, bool other_key)
{
	static const char text[] =
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"once\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/once/\","
		"\"route_kind\":\"unsafe\",\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"max_attempts\":1,\"public\":false},"
		"{\"name\":\"safe\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/safe/\","
		"\"route_kind\":\"safe\",\"timeout_ms\":3000,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"max_attempts\":2,\"public\":false},"
		"{\"name\":\"long\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/long/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":39000,\"slo_ms\":1800,\"priority\":1,"
		"\"service\":\"" TESTBED_ENGINE_SERVICE "\",\"max_attempts\":1,\"public\":false,"
		"\"sticky\":true,\"resumable\":false,\"target_gap_ms\":180},"
		"{\"name\":\"quick\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/quick/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":1500,\"priority\":0,"
		"\"service\":\"" TESTBED_ENGINE_SERVICE "\",\"max_attempts\":2,\"public\":false,"
		"\"sticky\":true,\"resumable\":true,\"target_gap_ms\":180}],"
		"\"services\":[{\"name\":\"" TESTBED_PLAIN_SERVICE
		"\",\"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\"},"
		"{\"name\":\"" TESTBED_ENGINE_SERVICE
		"\",\"health_path\":\"/healthz\",\"max_conns\":362,\"protocol\":\"h1\",\"engine\":"
		"{\"slots\":48,\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000,"
		"\"moves\":true,\"backups\":true,\"stride\":4,\"kv_handle_s\":5}}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"" TESTBED_KEY "\"%s]}]}";
	g_autofree char *config =
		g_strdup_printf(text, version, other_key ? ",\"" TESTBED_OTHER_KEY "\"" : "");

	mock_store_put(run->platform, "op", "config", config);
}

struct testbed_gateway *common_gateway(struct common *run, const char *name, const char *zone,
				       const char *store)
{
	struct testbed_gateway *gateway = testbed_gateway_in_zone(run->testbed, name, zone, store);
	g_autofree char *host = g_strndup(gateway->address, strcspn(gateway->address, ":"));
	g_autofree char *text = g_strdup_printf(
		"instance: \"%s\"\nzone: \"%s\"\nregion: \"%s\"\nzones:\n"
		"  - { name: \"z1\", region: \"r1\" }\n  - { name: \"z2\", region: \"r1\" }\n"
		"  - { name: \"z3\", region: \"r2\" }\n"
		"callers: \"%s\"\nready: \"%s\"\nmetrics: \"%s\"\nbus: \"%s:8750\"\n"
		"store: \"%s\"\nfirst_start: true\n"
		"bounds:\n  revoke_ms: 5000\n  grace_s: 8\n  retry_ratio: 0.2\n"
		"  retry_slack: 52\n  retry_window_s: 10\n"
		"load:\n  backups: false\n  speed_spread: 2.0\n",
		name, zone, strcmp(zone, "z3") == 0 ? "r2" : "r1", gateway->address,
		gateway->ready_address, gateway->metrics_address, host, gateway->store_address);

	if (!g_file_set_contents(gateway->settings_file, text, -1, NULL))
		exit(COMMON_COULD_NOT_RUN);
	return gateway;
}

void common_restart(struct testbed_gateway *gateway)
{
	g_autofree char *text = NULL;
	g_autofree char *changed = NULL;
	char *at;

	if (!g_file_get_contents(gateway->settings_file, &text, NULL, NULL))
		exit(COMMON_COULD_NOT_RUN);
	at = strstr(text, "first_start: true\n");
	if (at) {
		g_autofree char *rest = g_strdup(at + strlen("first_start: true\n"));

		*at = '\0';
		changed = g_strdup_printf("%sfirst_start: false\n%s", text, rest);
	}
	if (!changed || !g_file_set_contents(gateway->settings_file, changed, -1, NULL))
		exit(COMMON_COULD_NOT_RUN);
	testbed_start(gateway);
}

void common_start(struct common *run, struct testbed_gateway *gateway)
{
	testbed_start(gateway);
	common_need(run, testbed_wait_ready(gateway, READY_MS), "the gateway is ready");
	common_record("%s is ready", gateway->name);
}

struct mock_upstream *common_upstream(struct common *run, const char *id, const char *zone,
				      bool engine, uint32_t number, uint32_t work_ms,
				      uint32_t pace_ms)
{
	g_autofree char *ip = testbed_ip(run->testbed, 100 + number);
	struct mock_upstream_conf conf = { .id = id,
					   .service = engine ? TESTBED_ENGINE_SERVICE
							     : TESTBED_PLAIN_SERVICE,
					   .zone = zone,
					   .address = ip,
					   .engine = engine,
					   .work_ms = work_ms,
					   .pace_ms = pace_ms };
	struct mock_upstream *upstream = mock_upstream_create(run->platform, &conf);

	mock_upstream_list(upstream);
	return upstream;
}

uint64_t common_anon_kib(const struct testbed_gateway *gateway)
{
	const char *pid = gateway->process ? g_subprocess_get_identifier(gateway->process) : NULL;
	g_autofree char *path = pid ? g_strdup_printf("/proc/%s/status", pid) : NULL;
	g_autofree char *text = NULL;
	const char *line;

	if (!path || !g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	line = strstr(text, "RssAnon:");
	return line ? strtoull(line + strlen("RssAnon:"), NULL, 10) : 0;
}
