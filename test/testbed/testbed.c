#include "testbed.h"

#include "flamingolatch/fetch.h"
#include "flamingolatch/http_client.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <unistd.h>

#define TESTBED_CLOSE_MAX_MS	 1000
#define TESTBED_TOKENS_PER_EVENT 4

static const char *testbed_program = FLAMINGOLATCH;

struct testbed {
	uv_loop_t loop;
	struct http_client *cli;
	uint32_t unused_routes;
	const char *customer_regions; /* JSON; NULL: the customer has no allowed regions */
	uint32_t call_timeout_ms;     /* of the routes to the plain service */
	uint32_t long_slo_ms;	      /* objective of the route /long/ */
	struct mock_platform *platform;
	GPtrArray *gateways;
	char *directory;
	char *subnet; /* first three bytes of the addresses, as text */
	uint32_t request_count;
	uint32_t config_version;
	uint32_t seed;
	bool first_start;
	bool urgent_preempts; /* setting of gateways that are created */
	double cold_per_s;    /* 0: no limit of cold upstreams */
};

struct testbed_call {
	struct testbed *testbed;
	struct testbed_answer *answer;
	struct http_call *http_call;
};

static void call_on_head(void *ctx, const struct http_response_head *head);
static void call_on_data(void *ctx, const char *buf, size_t len);
static void call_on_end(void *ctx, enum http_call_result result, bool sent);
static bool call_on_connected(void *ctx);

static const struct http_call_ops call_ops = { .connected = call_on_connected,
					       .head = call_on_head,
					       .data = call_on_data,
					       .end = call_on_end };

/* lifetime */

struct testbed *testbed_create(uint32_t seed)
{
	struct testbed *testbed = g_new0(struct testbed, 1);
	uint32_t pid = (uint32_t)getpid();
	g_autofree char *ip = NULL;

	/* Stand-ins write to connections that the program under test has closed. */
	signal(SIGPIPE, SIG_IGN);
	testbed->seed = seed;
	testbed->call_timeout_ms = 1500;
	testbed->long_slo_ms = 1800;
	/* A loopback subnet for each process, so that tests can run in parallel. */
	testbed->subnet = g_strdup_printf("127.%u.%u", 16 + pid % 200, pid / 200 % 250);
	testbed->directory = g_dir_make_tmp("site-XXXXXX", NULL);
	uv_loop_init(&testbed->loop);
	testbed->cli = http_client_create(&testbed->loop);
	testbed->gateways = g_ptr_array_new();
	ip = testbed_ip(testbed, 1);
	testbed->platform = mock_platform_create(&testbed->loop, ip, 0, seed);
	testbed->config_version = 1;
	return testbed;
}

static void gateway_free(struct testbed_gateway *gateway)
{
	if (gateway->process) {
		g_subprocess_force_exit(gateway->process);
		g_subprocess_wait(gateway->process, NULL, NULL);
		g_object_unref(gateway->process);
	}
	g_unlink(gateway->settings_file);
	g_unlink(gateway->log_file);
	g_free(gateway->name);
	g_free(gateway->zone);
	g_free(gateway->address);
	g_free(gateway->ready_address);
	g_free(gateway->metrics_address);
	g_free(gateway->store_address);
	g_free(gateway->settings_file);
	g_free(gateway->log_file);
	g_free(gateway);
}

void testbed_destroy(struct testbed *testbed)
{
	uint64_t end_ns;

	for (guint i = 0; i < testbed->gateways->len; i++)
		gateway_free(testbed->gateways->pdata[i]);
	g_ptr_array_free(testbed->gateways, TRUE);
	mock_platform_destroy(testbed->platform);
	http_client_destroy(testbed->cli);
	/* Timers of stand-ins may have to end before their handles close. */
	end_ns = uv_hrtime() + TESTBED_CLOSE_MAX_MS * 1000000ULL;
	while (uv_run(&testbed->loop, UV_RUN_NOWAIT) && uv_hrtime() < end_ns)
		g_usleep(1000);
	uv_loop_close(&testbed->loop);
	g_rmdir(testbed->directory);
	g_free(testbed->directory);
	g_free(testbed->subnet);
	g_free(testbed);
}

struct testbed_gateway *testbed_gateway(struct testbed *testbed, const char *name,
					const char *store)
{
	return testbed_gateway_in_zone(testbed, name, "z1", store);
}

struct testbed_gateway *testbed_gateway_in_zone(struct testbed *testbed, const char *name,
						const char *zone, const char *store)
{
	struct testbed_gateway *gateway = g_new0(struct testbed_gateway, 1);
	g_autofree char *ip = testbed_ip(testbed, 10 + testbed->gateways->len);
	g_autofree char *text = NULL;

	gateway->testbed = testbed;
	gateway->name = g_strdup(name);
	gateway->zone = g_strdup(zone);
	gateway->address = g_strdup_printf("%s:8740", ip);
	gateway->ready_address = g_strdup_printf("%s:8749", ip);
	gateway->metrics_address = g_strdup_printf("%s:8751", ip);
	gateway->store_address = g_strdup(store ? store : mock_platform_address(testbed->platform));
	gateway->settings_file = g_strdup_printf("%s/%s.yaml", testbed->directory, name);
	gateway->log_file = g_strdup_printf("%s/%s.log", testbed->directory, name);
	text = g_strdup_printf(
		"instance: %s\nzone: %s\nregion: r1\nzones:\n"
		"  - { name: z1, region: r1 }\n  - { name: z2, region: r1 }\n"
		"  - { name: z3, region: r2 }\n"
		"callers: \"%s\"\nready: \"%s\"\nmetrics: \"%s\"\n"
		"bus: \"%s:8750\"\nstore: \"%s\"\nfirst_start: %s\nconfig_wait_ms: 500\n"
		"bounds:\n  revoke_ms: %d\n  grace_s: %d\n  recheck_s: 1.0\n"
		"  retry_ratio: 0.2\n  retry_slack: 50\n  retry_window_s: 10\n%s%s",
		name, zone, gateway->address, gateway->ready_address, gateway->metrics_address, ip,
		gateway->store_address, testbed->first_start ? "true" : "false", TESTBED_REVOKE_MS,
		TESTBED_GRACE_S,
		testbed->cold_per_s > 0.0 ? "  cold_overage: 1.5\n  cold_start_slack: 3\n" : "",
		testbed->urgent_preempts ? "load:\n  urgent_preempts: true\n" : "");
	g_assert_true(g_file_set_contents(gateway->settings_file, text, -1, NULL));
	g_ptr_array_add(testbed->gateways, gateway);
	return gateway;
}

/* commands */

void testbed_set_cold_per_s(struct testbed *testbed, double cold_per_s)
{
	testbed->cold_per_s = cold_per_s;
}

void testbed_set_urgent_preempts(struct testbed *testbed)
{
	testbed->urgent_preempts = true;
}

void testbed_set_first_start(struct testbed *testbed, bool first_start)
{
	testbed->first_start = first_start;
}

void testbed_set_program(const char *program)
{
	testbed_program = program;
}

uv_loop_t *testbed_loop(struct testbed *testbed)
{
	return &testbed->loop;
}

struct mock_platform *testbed_platform(struct testbed *testbed)
{
	return testbed->platform;
}

char *testbed_ip(const struct testbed *testbed, uint32_t number)
{
	return g_strdup_printf("%s.%u", testbed->subnet, number);
}

struct mock_upstream *testbed_upstream(struct testbed *testbed, const char *id, bool engine,
				       uint32_t number)
{
	g_autofree char *ip = testbed_ip(testbed, 100 + number);
	struct mock_upstream_conf conf = { .id = id,
					   .service = engine ? TESTBED_ENGINE_SERVICE
							     : TESTBED_PLAIN_SERVICE,
					   .zone = "z1",
					   .address = ip,
					   .engine = engine,
					   .work_ms = engine ? 20 : 5,
					   .pace_ms = 4 };

	return mock_upstream_create(testbed->platform, &conf);
}

void testbed_set_unused_routes(struct testbed *testbed, uint32_t count)
{
	testbed->unused_routes = count;
}

void testbed_set_customer_regions(struct testbed *testbed, const char *regions)
{
	testbed->customer_regions = regions;
}

void testbed_set_call_timeout(struct testbed *testbed, uint32_t timeout_ms)
{
	testbed->call_timeout_ms = timeout_ms;
}

void testbed_set_long_objective(struct testbed *testbed, uint32_t objective_ms)
{
	testbed->long_slo_ms = objective_ms;
}

/* Returns the further routes, each after a comma. */
static char *testbed_unused_routes(const struct testbed *testbed)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < testbed->unused_routes; i++)
		g_string_append_printf(
			out,
			",{\"name\":\"unused-%u\",\"host\":\"" TESTBED_HOST
			"\",\"prefix\":\"/unused%u/\",\"route_kind\":\"safe\",\"timeout_ms\":1500,"
			"\"slo_ms\":200,\"priority\":2,\"service\":\"" TESTBED_PLAIN_SERVICE
			"\",\"max_attempts\":2}",
			i, i);
	return g_string_free(out, FALSE);
}

void testbed_configure(struct testbed *testbed, const char *keys, const char *route)
{
	static const char base[] =
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"once\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/once/\","
		"\"route_kind\":\"unsafe\",\"timeout_ms\":%u,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"max_attempts\":1},"
		"{\"name\":\"safe\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/safe/\","
		"\"route_kind\":\"safe\",\"timeout_ms\":%u,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" TESTBED_PLAIN_SERVICE "\",\"max_attempts\":2},"
		"{\"name\":\"long\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/long/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":%u,\"priority\":1,"
		"\"service\":\"" TESTBED_ENGINE_SERVICE
		"\",\"max_attempts\":1,\"target_gap_ms\":180},"
		"{\"name\":\"quick\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"/quick/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":1500,\"priority\":0,"
		"\"service\":\"" TESTBED_ENGINE_SERVICE "\",\"max_attempts\":2,\"resumable\":true,"
		"\"target_gap_ms\":180}%s%s%s%s],"
		"\"services\":[{\"name\":\"" TESTBED_PLAIN_SERVICE
		"\",\"health_path\":\"/healthz\"%s},"
		"{\"name\":\"" TESTBED_ENGINE_SERVICE "\",\"health_path\":\"/healthz\",\"engine\":"
		"{\"slots\":48,\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000,"
		"\"moves\":true,\"backups\":true,\"stride\":4,\"kv_handle_s\":5}}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[%s%s]%s%s}]}";
	g_autofree char *unused = testbed_unused_routes(testbed);
	g_autofree char *cold = testbed->cold_per_s > 0.0
					? g_strdup_printf(",\"cold_per_s\":%g,\"cold_start_s\":1.0",
							  testbed->cold_per_s)
					: g_strdup("");
	g_autofree char *text = g_strdup_printf(
		base, ++testbed->config_version, testbed->call_timeout_ms, testbed->call_timeout_ms,
		testbed->long_slo_ms,
		route ? ",{\"name\":\"more\",\"host\":\"" TESTBED_HOST "\",\"prefix\":\"" : "",
		route ? route : "",
		route ? "\",\"route_kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":200,"
			"\"priority\":2,\"service\":\"" TESTBED_PLAIN_SERVICE
			"\",\"max_attempts\":2}"
		      : "",
		unused, cold, "\"" TESTBED_KEY "\"", keys ? keys : "",
		testbed->customer_regions ? ",\"allowed_regions\":" : "",
		testbed->customer_regions ? testbed->customer_regions : "");

	mock_store_put(testbed->platform, "op", "config", text);
}

/* As in test/cluster.c: stopped processes must not get SIGHUP from an orphaned group. */
static void testbed_child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setsid();
}

void testbed_start(struct testbed_gateway *gateway)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	const char *const argv[] = { testbed_program, "gateway", "--config", gateway->settings_file,
				     NULL };
	int log = open(gateway->log_file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_autoptr(GError) error = NULL;

	/* With the sanitizer's own limit, freed memory counts for the size of the process. */
	g_subprocess_launcher_setenv(launcher, "ASAN_OPTIONS",
				     "detect_leaks=0:quarantine_size_mb=8", TRUE);
	g_subprocess_launcher_set_child_setup(launcher, testbed_child_setup, NULL, NULL);
	g_subprocess_launcher_take_stdout_fd(launcher, log);
	g_subprocess_launcher_take_stderr_fd(launcher, fcntl(log, F_DUPFD_CLOEXEC, 0));
	g_clear_object(&gateway->process);
	gateway->process = g_subprocess_launcher_spawnv(launcher, argv, &error);
	if (!gateway->process)
		g_error("%s", error->message);
}

/* g_file_set_contents() waits for the disk when it replaces a file, for seconds beside builds, and
 * the test's loop is that of the store and the upstreams. */
void testbed_add_settings(const struct testbed_gateway *gateway, const char *lines)
{
	FILE *file = fopen(gateway->settings_file, "a");

	g_assert_nonnull(file);
	g_assert_cmpint(fputs(lines, file), >=, 0);
	g_assert_cmpint(fclose(file), ==, 0);
}

void testbed_signal(struct testbed_gateway *gateway, int signal)
{
	if (gateway->process)
		g_subprocess_send_signal(gateway->process, signal);
}

bool testbed_has_exited(struct testbed_gateway *gateway)
{
	const char *pid = g_subprocess_get_identifier(gateway->process);
	g_autofree char *path = pid ? g_strdup_printf("/proc/%s/stat", pid) : NULL;
	g_autofree char *text = NULL;

	/* A process that has ended but was not reaped is a zombie. */
	if (path && g_file_get_contents(path, &text, NULL, NULL) && !strstr(text, ") Z "))
		return false;
	g_subprocess_wait(gateway->process, NULL, NULL);
	g_clear_object(&gateway->process);
	return true;
}

bool testbed_wait_exit(struct testbed_gateway *gateway, uint32_t ms)
{
	for (uint32_t waited_ms = 0; !testbed_has_exited(gateway); waited_ms += 10) {
		if (waited_ms >= ms)
			return false;
		testbed_run(gateway->testbed, 10);
	}
	return true;
}

void testbed_run(struct testbed *testbed, uint32_t ms)
{
	uint64_t until_ns = uv_hrtime() + ms * 1000000ULL;

	do {
		uv_run(&testbed->loop, UV_RUN_NOWAIT);
		g_usleep(300);
	} while (uv_hrtime() < until_ns);
}

struct fetched_page {
	char *text;
	bool finished;
};

static void fetched_page_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct fetched_page *fetched_page = ctx;

	fetched_page->text = g_strndup(answer->body, answer->body_len);
	fetched_page->finished = true;
}

char *testbed_get(struct testbed *testbed, const char *address, const char *path)
{
	struct http_call_request req = { .address = address,
					 .method = "GET",
					 .path = path,
					 .timeout_ms = 5000,
					 .new_connection = true };
	struct fetched_page fetched_page = { 0 };

	fetch_start(testbed->cli, &req, 1U << 20, NULL, fetched_page_on_answer, &fetched_page);
	while (!fetched_page.finished)
		testbed_run(testbed, 1);
	return fetched_page.text;
}

static void ready_on_answer(void *ctx, const struct fetch_response *answer)
{
	int *status = ctx;

	*status = answer->result == HTTP_CALL_OK ? answer->status : 0;
}

bool testbed_is_ready(struct testbed_gateway *gateway)
{
	struct http_call_request req = { .address = gateway->ready_address,
					 .method = "GET",
					 .path = "/readyz",
					 .timeout_ms = 500,
					 .new_connection = true };
	int status = -1;

	fetch_start(gateway->testbed->cli, &req, 1000, NULL, ready_on_answer, &status);
	while (status < 0)
		testbed_run(gateway->testbed, 1);
	return status == 200;
}

bool testbed_wait_ready(struct testbed_gateway *gateway, uint32_t ms)
{
	for (uint32_t waited_ms = 0; waited_ms < ms; waited_ms += 20) {
		if (testbed_is_ready(gateway))
			return true;
		testbed_run(gateway->testbed, 20);
	}
	return false;
}

struct testbed_call *testbed_begin(struct testbed_gateway *gateway,
				   const struct testbed_request *request,
				   struct testbed_answer *answer)
{
	struct testbed *testbed = gateway->testbed;
	struct testbed_call *call = g_new0(struct testbed_call, 1);
	g_autoptr(GString) headers = g_string_new(NULL);
	bool post = !g_str_has_prefix(request->path, "/safe/");
	g_autofree char *own_body = g_strdup_printf("{\"n\":%u}", testbed->request_count + 1);
	const char *body = request->body ? request->body : own_body;
	struct http_call_request req = { .address = gateway->address,
					 .host = TESTBED_HOST,
					 .method = post ? "POST" : "GET",
					 .body = post ? body : NULL,
					 .body_len = post ? strlen(body) : 0,
					 .timeout_ms =
						 request->wait_ms ? request->wait_ms + 500 : 30000,
					 .new_connection = !request->reuse_connection };
	g_autofree char *path = g_strdup_printf("%sx", request->path);

	*answer = (struct testbed_answer){ .body = g_string_new(NULL), .retry_after_s = -1.0 };
	answer->id = g_strdup_printf("%08x%06x", testbed->seed, ++testbed->request_count);
	g_string_append_printf(headers, "X-Flamingolatch-Attempt-Id: %s\r\n", answer->id);
	if (request->wait_ms)
		g_string_append_printf(headers, "X-Flamingolatch-Deadline-Ms: %u\r\n",
				       request->wait_ms);
	if (request->key)
		g_string_append_printf(headers, "Authorization: Bearer %s\r\n", request->key);
	if (request->output_tokens)
		g_string_append_printf(headers,
				       "X-Flamingolatch-Model: m\r\n"
				       "X-Flamingolatch-Token-Usage: %u,%u\r\n",
				       request->prompt_tokens ? request->prompt_tokens : 1000,
				       request->output_tokens);
	if (request->prompt_parts)
		g_string_append_printf(headers, "X-Flamingolatch-Prompt-Prefix: %s\r\n",
				       request->prompt_parts);
	req.path = path;
	req.headers = headers->str;
	call->testbed = testbed;
	call->answer = answer;
	answer->sent_ms = uv_hrtime() / 1000000;
	call->http_call = http_call_start(testbed->cli, &req, &call_ops, call);
	return call;
}

void testbed_disconnect(struct testbed_call *call)
{
	call->answer->ended = true;
	call->answer->broken = true;
	http_call_cancel(call->http_call);
	g_free(call);
}

uint64_t testbed_malformed_count(const struct testbed *testbed)
{
	const struct http_client_counts *counts = http_client_counts(testbed->cli);

	return counts->malformed + counts->extra_data;
}

bool testbed_wait(struct testbed *testbed, struct testbed_answer *answer, uint32_t ms)
{
	uint64_t until_ns = uv_hrtime() + ms * 1000000ULL;

	while (!answer->ended && uv_hrtime() < until_ns)
		testbed_run(testbed, 1);
	return answer->ended;
}

struct testbed_answer testbed_call(struct testbed_gateway *gateway,
				   const struct testbed_request *request)
{
	struct testbed_answer *answer = g_new0(struct testbed_answer, 1);
	struct testbed_answer out;

	testbed_begin(gateway, request, answer);
	g_assert_true(testbed_wait(gateway->testbed, answer, 40000));
	out = *answer;
	g_free(answer);
	return out;
}

void testbed_answer_clear(struct testbed_answer *answer)
{
	g_free(answer->id);
	if (answer->body)
		g_string_free(answer->body, TRUE);
	*answer = (struct testbed_answer){ 0 };
}

/* queries */

static GString *testbed_expected_stream(const char *id, uint32_t output_tokens)
{
	uint32_t total = MAX(output_tokens / TESTBED_TOKENS_PER_EVENT, 1);
	GString *expected = g_string_new(NULL);

	for (uint32_t i = 1; i <= total; i++) {
		g_autofree char *event = mock_event(id, i, total);

		g_string_append(expected, event);
	}
	return expected;
}

bool testbed_is_complete(const struct testbed_answer *answer, uint32_t output_tokens)
{
	g_autoptr(GString) expected = testbed_expected_stream(answer->id, output_tokens);

	return answer->status == 200 && !answer->broken && g_string_equal(expected, answer->body);
}

bool testbed_is_prefix(const struct testbed_answer *answer, uint32_t output_tokens)
{
	g_autoptr(GString) expected = testbed_expected_stream(answer->id, output_tokens);

	return g_str_has_prefix(expected->str, answer->body->str);
}

char *testbed_log_lines(const struct testbed_gateway *gateway, const char *needle)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GString *out = g_string_new(NULL);

	if (g_file_get_contents(gateway->log_file, &text, NULL, NULL))
		lines = g_strsplit(text, "\n", 0);
	for (uint32_t i = 0; lines && lines[i]; i++) {
		if (strstr(lines[i], needle))
			g_string_append_printf(out, "%s\n", lines[i]);
	}
	return g_string_free(out, FALSE);
}

uint64_t testbed_log_size(const struct testbed_gateway *gateway)
{
	struct stat info;

	return stat(gateway->log_file, &info) == 0 ? (uint64_t)info.st_size : 0;
}

char *testbed_log_from(const struct testbed_gateway *gateway, uint64_t offset)
{
	g_autofree char *text = NULL;
	gsize len;

	if (!g_file_get_contents(gateway->log_file, &text, &len, NULL))
		return g_strdup("");
	return g_strdup(text + MIN(offset, len));
}

uint64_t testbed_cpu_ms(const struct testbed_gateway *gateway)
{
	const char *pid = gateway->process ? g_subprocess_get_identifier(gateway->process) : NULL;
	g_autofree char *path = pid ? g_strdup_printf("/proc/%s/stat", pid) : NULL;
	g_autofree char *text = NULL;
	const char *end;
	unsigned long long user = 0;
	unsigned long long system = 0;

	if (!path || !g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	/* The name in brackets may have blanks; the times are the 12th and 13th field after it. */
	end = strrchr(text, ')');
	if (!end || sscanf(end + 1, " %*c %*s %*s %*s %*s %*s %*s %*s %*s %*s %*s %llu %llu", &user,
			   &system) != 2)
		return 0;
	return (user + system) * 1000 / (uint64_t)sysconf(_SC_CLK_TCK);
}

/* helpers */

static bool call_on_connected(void *ctx)
{
	struct testbed_call *call = ctx;

	call->answer->connected = true;
	return true;
}

static void call_on_head(void *ctx, const struct http_response_head *head)
{
	struct testbed_call *call = ctx;
	g_autofree char *retry_after = http_response_dup_header(head, "retry-after");

	call->answer->status = http_response_status(head);
	if (retry_after)
		call->answer->retry_after_s = g_ascii_strtod(retry_after, NULL);
}

static void call_on_data(void *ctx, const char *buf, size_t len)
{
	struct testbed_call *call = ctx;

	g_string_append_len(call->answer->body, buf, (gssize)len);
}

static void call_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct testbed_call *call = ctx;

	(void)sent;
	call->answer->ended = true;
	call->answer->broken = result != HTTP_CALL_OK;
	call->answer->ended_ms = uv_hrtime() / 1000000;
	g_free(call);
}
