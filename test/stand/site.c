#include "site.h"

#include "flamingolatch/fetch.h"
#include "flamingolatch/http_client.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define SITE_STRIDE 4

static const char *site_program = FLAMINGOLATCH;

struct site {
	uv_loop_t loop;
	struct http_client *cli;
	struct stand *stand;
	GPtrArray *gateways;
	char *dir;
	char *net; /* first three parts of the site's addresses */
	uint32_t calls;
	uint32_t version;
	uint32_t seed;
};

struct site_call {
	struct site *site;
	struct site_answer *answer;
	struct http_call *call;
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

struct site *site_create(uint32_t seed)
{
	struct site *site = g_new0(struct site, 1);
	uint32_t pid = (uint32_t)getpid();
	g_autofree char *ip = NULL;

	site->seed = seed;
	/* A net of its own on the loopback interface keeps runs side by side apart. */
	site->net = g_strdup_printf("127.%u.%u", 16 + pid % 200, pid / 200 % 250);
	site->dir = g_dir_make_tmp("site-XXXXXX", NULL);
	uv_loop_init(&site->loop);
	site->cli = http_client_create(&site->loop);
	site->gateways = g_ptr_array_new();
	ip = site_ip(site, 1);
	site->stand = stand_create(&site->loop, ip, 0, seed);
	site->version = 1;
	return site;
}

static void gateway_free(struct site_gateway *gateway)
{
	if (gateway->process) {
		g_subprocess_force_exit(gateway->process);
		g_subprocess_wait(gateway->process, NULL, NULL);
		g_object_unref(gateway->process);
	}
	g_unlink(gateway->settings);
	g_unlink(gateway->log);
	g_free(gateway->name);
	g_free(gateway->zone);
	g_free(gateway->address);
	g_free(gateway->ready);
	g_free(gateway->metrics);
	g_free(gateway->store);
	g_free(gateway->settings);
	g_free(gateway->log);
	g_free(gateway);
}

void site_destroy(struct site *site)
{
	for (guint i = 0; i < site->gateways->len; i++)
		gateway_free(site->gateways->pdata[i]);
	g_ptr_array_free(site->gateways, TRUE);
	stand_destroy(site->stand);
	http_client_destroy(site->cli);
	for (uint32_t i = 0; i < 100 && uv_run(&site->loop, UV_RUN_NOWAIT); i++)
		;
	uv_loop_close(&site->loop);
	g_rmdir(site->dir);
	g_free(site->dir);
	g_free(site->net);
	g_free(site);
}

struct site_gateway *site_gateway(struct site *site, const char *name, const char *store)
{
	struct site_gateway *gateway = g_new0(struct site_gateway, 1);
	g_autofree char *ip = site_ip(site, 10 + site->gateways->len);
	g_autofree char *text = NULL;

	gateway->site = site;
	gateway->name = g_strdup(name);
	gateway->zone = g_strdup("z1");
	gateway->address = g_strdup_printf("%s:8740", ip);
	gateway->ready = g_strdup_printf("%s:8749", ip);
	gateway->metrics = g_strdup_printf("%s:8751", ip);
	gateway->store = g_strdup(store ? store : stand_address(site->stand));
	gateway->settings = g_strdup_printf("%s/%s.yaml", site->dir, name);
	gateway->log = g_strdup_printf("%s/%s.log", site->dir, name);
	text = g_strdup_printf("instance: %s\nzone: z1\nregion: r1\nzones:\n"
			       "  - { name: z1, region: r1 }\n  - { name: z2, region: r1 }\n"
			       "callers: \"%s\"\nready: \"%s\"\nmetrics: \"%s\"\n"
			       "bus: \"%s:8750\"\nstore: \"%s\"\nconfig_wait_ms: 500\n"
			       "bounds:\n  revoke_ms: %d\n  grace_s: %d\n  recheck_s: 1.0\n"
			       "  retry_ratio: 0.2\n  retry_slack: 50\n  retry_window_s: 10\n",
			       name, gateway->address, gateway->ready, gateway->metrics, ip,
			       gateway->store, SITE_REVOKE_MS, SITE_GRACE_S);
	g_assert_true(g_file_set_contents(gateway->settings, text, -1, NULL));
	g_ptr_array_add(site->gateways, gateway);
	return gateway;
}

/* commands */

void site_set_program(const char *program)
{
	site_program = program;
}

uv_loop_t *site_loop(struct site *site)
{
	return &site->loop;
}

struct stand *site_stand(struct site *site)
{
	return site->stand;
}

char *site_ip(const struct site *site, uint32_t number)
{
	return g_strdup_printf("%s.%u", site->net, number);
}

void site_configure(struct site *site, const char *keys, const char *route)
{
	static const char base[] =
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"once\",\"host\":\"" SITE_HOST "\",\"prefix\":\"/once/\","
		"\"route_kind\":\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" SITE_SHOP "\",\"max_attempts\":1},"
		"{\"name\":\"safe\",\"host\":\"" SITE_HOST "\",\"prefix\":\"/safe/\","
		"\"route_kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"" SITE_SHOP "\",\"max_attempts\":2},"
		"{\"name\":\"long\",\"host\":\"" SITE_HOST "\",\"prefix\":\"/long/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":20000,\"slo_ms\":1800,\"priority\":1,"
		"\"service\":\"" SITE_ENGINES "\",\"max_attempts\":1,\"target_gap_ms\":180},"
		"{\"name\":\"quick\",\"host\":\"" SITE_HOST "\",\"prefix\":\"/quick/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":1500,\"priority\":0,"
		"\"service\":\"" SITE_ENGINES "\",\"max_attempts\":2,\"resumable\":true,"
		"\"target_gap_ms\":180}%s%s%s],"
		"\"services\":[{\"name\":\"" SITE_SHOP "\",\"health_path\":\"/healthz\"},"
		"{\"name\":\"" SITE_ENGINES "\",\"health_path\":\"/healthz\",\"engine\":"
		"{\"slots\":48,\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000,"
		"\"moves\":true,\"backups\":true,\"stride\":4,\"kv_handle_s\":5}}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[%s%s]}]}";
	g_autofree char *text = g_strdup_printf(
		base, ++site->version,
		route ? ",{\"name\":\"more\",\"host\":\"" SITE_HOST "\",\"prefix\":\"" : "",
		route ? route : "",
		route ? "\",\"route_kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":200,"
			"\"priority\":2,\"service\":\"" SITE_SHOP "\",\"max_attempts\":2}"
		      : "",
		"\"" SITE_KEY "\"", keys ? keys : "");

	stand_put(site->stand, "op", "config", text);
}

static void site_child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void site_start(struct site_gateway *gateway)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	const char *const argv[] = { site_program, "gateway", "--config", gateway->settings, NULL };
	int log = open(gateway->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_autoptr(GError) error = NULL;

	g_subprocess_launcher_setenv(launcher, "ASAN_OPTIONS", "detect_leaks=0", TRUE);
	g_subprocess_launcher_set_child_setup(launcher, site_child_setup, NULL, NULL);
	g_subprocess_launcher_take_stdout_fd(launcher, log);
	g_subprocess_launcher_take_stderr_fd(launcher, fcntl(log, F_DUPFD_CLOEXEC, 0));
	g_clear_object(&gateway->process);
	gateway->process = g_subprocess_launcher_spawnv(launcher, argv, &error);
	if (!gateway->process)
		g_error("%s", error->message);
}

void site_signal(struct site_gateway *gateway, int signal)
{
	if (gateway->process)
		g_subprocess_send_signal(gateway->process, signal);
}

bool site_has_exited(struct site_gateway *gateway)
{
	const char *pid = g_subprocess_get_identifier(gateway->process);
	g_autofree char *path = pid ? g_strdup_printf("/proc/%s/stat", pid) : NULL;
	g_autofree char *text = NULL;

	/* A process that ended and was not waited for is a zombie. */
	if (path && g_file_get_contents(path, &text, NULL, NULL) && !strstr(text, ") Z "))
		return false;
	g_subprocess_wait(gateway->process, NULL, NULL);
	g_clear_object(&gateway->process);
	return true;
}

bool site_wait_exit(struct site_gateway *gateway, uint32_t ms)
{
	for (uint32_t spent = 0; !site_has_exited(gateway); spent += 10) {
		if (spent >= ms)
			return false;
		site_run(gateway->site, 10);
	}
	return true;
}

void site_run(struct site *site, uint32_t ms)
{
	uint64_t until_ns = uv_hrtime() + ms * 1000000ULL;

	do {
		uv_run(&site->loop, UV_RUN_NOWAIT);
		g_usleep(300);
	} while (uv_hrtime() < until_ns);
}

struct page {
	char *text;
	bool done;
};

static void page_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct page *page = ctx;

	page->text = g_strndup(answer->body, answer->body_len);
	page->done = true;
}

char *site_get(struct site *site, const char *address, const char *path)
{
	struct http_call_request req = { .address = address,
					 .method = "GET",
					 .path = path,
					 .timeout_ms = 5000,
					 .new_connection = true };
	struct page page = { 0 };

	fetch_start(site->cli, &req, 1U << 20, NULL, page_on_answer, &page);
	while (!page.done)
		site_run(site, 1);
	return page.text;
}

static void ready_on_answer(void *ctx, const struct fetch_response *answer)
{
	int *status = ctx;

	*status = answer->result == HTTP_CALL_OK ? answer->status : 0;
}

bool site_is_ready(struct site_gateway *gateway)
{
	struct http_call_request req = { .address = gateway->ready,
					 .method = "GET",
					 .path = "/readyz",
					 .timeout_ms = 500,
					 .new_connection = true };
	int status = -1;

	fetch_start(gateway->site->cli, &req, 1000, NULL, ready_on_answer, &status);
	while (status < 0)
		site_run(gateway->site, 1);
	return status == 200;
}

bool site_wait_ready(struct site_gateway *gateway, uint32_t ms)
{
	for (uint32_t spent = 0; spent < ms; spent += 20) {
		if (site_is_ready(gateway))
			return true;
		site_run(gateway->site, 20);
	}
	return false;
}

struct site_call *site_begin(struct site_gateway *gateway, const struct site_request *request,
			     struct site_answer *answer)
{
	struct site *site = gateway->site;
	struct site_call *call = g_new0(struct site_call, 1);
	g_autoptr(GString) headers = g_string_new(NULL);
	bool post = strcmp(request->path, "/safe/") != 0;
	struct http_call_request req = { .address = gateway->address,
					 .host = SITE_HOST,
					 .method = post ? "POST" : "GET",
					 .body = post ? "{}" : NULL,
					 .body_len = post ? 2 : 0,
					 .timeout_ms =
						 request->wait_ms ? request->wait_ms + 500 : 30000,
					 .new_connection = !request->kept };
	g_autofree char *path = g_strdup_printf("%sx", request->path);

	*answer = (struct site_answer){ .body = g_string_new(NULL), .retry_after_s = -1.0 };
	answer->id = g_strdup_printf("%08x%06x", site->seed, ++site->calls);
	g_string_append_printf(headers, "X-Flamingolatch-Attempt-Id: %s\r\n", answer->id);
	if (request->wait_ms)
		g_string_append_printf(headers, "X-Flamingolatch-Deadline-Ms: %u\r\n",
				       request->wait_ms);
	if (request->key)
		g_string_append_printf(headers, "Authorization: Bearer %s\r\n", request->key);
	if (request->output)
		g_string_append_printf(headers,
				       "X-Flamingolatch-Model: m\r\n"
				       "X-Flamingolatch-Token-Usage: %u,%u\r\n",
				       request->prompt ? request->prompt : 1000, request->output);
	req.path = path;
	req.headers = headers->str;
	call->site = site;
	call->answer = answer;
	answer->sent_ms = uv_hrtime() / 1000000;
	call->call = http_call_start(site->cli, &req, &call_ops, call);
	return call;
}

void site_leave(struct site_call *call)
{
	call->answer->ended = true;
	call->answer->broken = true;
	http_call_cancel(call->call);
	g_free(call);
}

bool site_wait(struct site *site, struct site_answer *answer, uint32_t ms)
{
	uint64_t until_ns = uv_hrtime() + ms * 1000000ULL;

	while (!answer->ended && uv_hrtime() < until_ns)
		site_run(site, 1);
	return answer->ended;
}

struct site_answer site_call(struct site_gateway *gateway, const struct site_request *request)
{
	struct site_answer *answer = g_new0(struct site_answer, 1);
	struct site_answer out;

	site_begin(gateway, request, answer);
	g_assert_true(site_wait(gateway->site, answer, 40000));
	out = *answer;
	g_free(answer);
	return out;
}

void site_answer_clear(struct site_answer *answer)
{
	g_free(answer->id);
	if (answer->body)
		g_string_free(answer->body, TRUE);
	*answer = (struct site_answer){ 0 };
}

/* queries */

static GString *site_stream(const char *id, uint32_t output)
{
	uint32_t total = MAX(output / SITE_STRIDE, 1);
	GString *whole = g_string_new(NULL);

	for (uint32_t i = 1; i <= total; i++) {
		g_autofree char *event = stand_event(id, i, total);

		g_string_append(whole, event);
	}
	return whole;
}

bool site_is_whole(const struct site_answer *answer, uint32_t output)
{
	g_autoptr(GString) whole = site_stream(answer->id, output);

	return answer->status == 200 && !answer->broken && g_string_equal(whole, answer->body);
}

bool site_is_beginning(const struct site_answer *answer, uint32_t output)
{
	g_autoptr(GString) whole = site_stream(answer->id, output);

	return g_str_has_prefix(whole->str, answer->body->str);
}

char *site_log(const struct site_gateway *gateway, const char *needle)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	GString *out = g_string_new(NULL);

	if (g_file_get_contents(gateway->log, &text, NULL, NULL))
		lines = g_strsplit(text, "\n", 0);
	for (uint32_t i = 0; lines && lines[i]; i++) {
		if (strstr(lines[i], needle))
			g_string_append_printf(out, "%s\n", lines[i]);
	}
	return g_string_free(out, FALSE);
}

/* helpers */

static bool call_on_connected(void *ctx)
{
	struct site_call *call = ctx;

	call->answer->connected = true;
	return true;
}

static void call_on_head(void *ctx, const struct http_response_head *head)
{
	struct site_call *call = ctx;
	g_autofree char *retry = http_response_dup_header(head, "retry-after");

	call->answer->status = http_response_status(head);
	if (retry)
		call->answer->retry_after_s = g_ascii_strtod(retry, NULL);
}

static void call_on_data(void *ctx, const char *buf, size_t len)
{
	struct site_call *call = ctx;

	g_string_append_len(call->answer->body, buf, (gssize)len);
}

static void call_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct site_call *call = ctx;

	(void)sent;
	call->answer->ended = true;
	call->answer->broken = result != HTTP_CALL_OK;
	call->answer->ended_ms = uv_hrtime() / 1000000;
	g_free(call);
}
