#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define STAND_CLOSE_MS 300
/* A case that runs for longer ends as one that could not run; its processes end with it. */
#define STAND_MAX_S 118

static void stand_on_alarm(int number)
{
	(void)number;
	_exit(STAND_CANNOT_RUN);
}

struct stand *stand_create(int argc, char **argv)
{
	struct stand *stand = g_new0(struct stand, 1);
	uint32_t pid = (uint32_t)getpid();
	const char *trouble = g_getenv("TROUBLE");
	g_autofree char *ip = NULL;

	if (argc < 3) {
		fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
		exit(STAND_CANNOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, stand_on_alarm);
	alarm(STAND_MAX_S);
	setvbuf(stdout, NULL, _IOLBF, 0);
	stand->program = argv[1];
	stand->record = fopen(argv[2], "w");
	stand->trouble = g_strcmp0(trouble, "0") != 0;
	if (!stand->record || access(stand->program, X_OK) != 0) {
		fprintf(stderr, "cannot open %s or run %s\n", argv[2], argv[1]);
		exit(STAND_CANNOT_RUN);
	}
	/* A loopback subnet for each run. */
	stand->subnet = g_strdup_printf("127.%u.%u", 16 + pid % 200, pid / 200 % 250);
	stand->directory = g_dir_make_tmp("review-XXXXXX", NULL);
	stand->gateways = g_ptr_array_new();
	uv_loop_init(&stand->loop);
	stand->started_ms = uv_hrtime() / 1000000;
	ip = stand_ip(stand, 1);
	stand->platform = mock_platform_create(&stand->loop, ip, 0, pid);
	stand->version = 1;
	stand_record(stand, "trouble %s", stand->trouble ? "on" : "off");
	return stand;
}

static void stand_gateway_free(struct stand_gateway *gateway)
{
	if (!stand_has_exited(gateway)) {
		kill(gateway->pid, SIGKILL);
		kill(gateway->pid, SIGCONT);
		waitpid(gateway->pid, NULL, 0);
	}
	g_unlink(gateway->settings_file);
	g_unlink(gateway->log_file);
	g_free(gateway->name);
	g_free(gateway->callers);
	g_free(gateway->ready);
	g_free(gateway->metrics);
	g_free(gateway->settings_file);
	g_free(gateway->log_file);
	g_free(gateway);
}

int stand_destroy(struct stand *stand, enum stand_result result)
{
	static const char *const names[] = { "the rule held", "THE RULE WAS BROKEN",
					     "the case could not run" };

	stand_record(stand, "result: %s", names[result]);
	printf("%s\n", names[result]);
	for (guint i = 0; i < stand->gateways->len; i++)
		stand_gateway_free(stand->gateways->pdata[i]);
	stand_run(stand, STAND_CLOSE_MS);
	g_rmdir(stand->directory);
	fclose(stand->record);
	/* The stand-ins end with the process. */
	return result;
}

uint64_t stand_now_ms(const struct stand *stand)
{
	return uv_hrtime() / 1000000 - stand->started_ms;
}

void stand_record(struct stand *stand, const char *format, ...)
{
	va_list args;
	g_autofree char *text = NULL;
	uint64_t now_ms = stand_now_ms(stand);

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	fprintf(stand->record, "%3u.%03u s  %s\n", (uint32_t)(now_ms / 1000),
		(uint32_t)(now_ms % 1000), text);
	fflush(stand->record);
}

void stand_run(struct stand *stand, uint32_t ms)
{
	uint64_t until_ms = stand_now_ms(stand) + ms;

	do {
		uv_run(&stand->loop, UV_RUN_NOWAIT);
		g_usleep(300);
	} while (stand_now_ms(stand) < until_ms);
}

char *stand_ip(const struct stand *stand, uint32_t number)
{
	return g_strdup_printf("%s.%u", stand->subnet, number);
}

void stand_configure(struct stand *stand, const char *routes, const char *keys)
{
	static const char base[] =
		"{\"version\":%u,\"routes\":["
		"{\"name\":\"once\",\"host\":\"" STAND_HOST "\",\"prefix\":\"/once/\","
		"\"route_kind\":\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"desk\",\"max_attempts\":1},"
		"{\"name\":\"safe\",\"host\":\"" STAND_HOST "\",\"prefix\":\"/safe/\","
		"\"route_kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":200,\"priority\":2,"
		"\"service\":\"desk\",\"max_attempts\":2},"
		"{\"name\":\"long\",\"host\":\"" STAND_HOST "\",\"prefix\":\"/long/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":39000,\"slo_ms\":1800,\"priority\":1,"
		"\"service\":\"writer\",\"max_attempts\":1,\"target_gap_ms\":180,\"sticky\":true},"
		"{\"name\":\"quick\",\"host\":\"" STAND_HOST "\",\"prefix\":\"/quick/\","
		"\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"slo_ms\":1500,\"priority\":0,"
		"\"service\":\"writer\",\"max_attempts\":2,\"resumable\":true,"
		"\"target_gap_ms\":180,\"sticky\":true}%s],"
		"\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96},"
		"{\"name\":\"writer\",\"health_path\":\"/healthz\",\"max_conns\":362,\"engine\":"
		"{\"slots\":48,\"kv_capacity\":34403,\"kv_bytes\":163840,\"link_mbps\":24000,"
		"\"moves\":true,\"backups\":true,\"stride\":4,\"kv_handle_s\":5}}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"key-one\"%s]}]}";
	g_autofree char *text =
		g_strdup_printf(base, ++stand->version, routes ? routes : "", keys ? keys : "");

	mock_store_put(stand->platform, "op", "config", text);
	stand_record(stand, "store acknowledges configuration %u, %zu bytes", stand->version,
		     strlen(text));
}

/* Returns a free port of an address. */
static uint16_t stand_free_port(const char *ip)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, ip, &address.sin_addr);
	if (bind(fd, (struct sockaddr *)&address, len) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		g_error("no free port on %s", ip);
	close(fd);
	return ntohs(address.sin_port);
}

struct stand_gateway *stand_gateway(struct stand *stand, const char *name, const char *zone)
{
	struct stand_gateway *gateway = g_new0(struct stand_gateway, 1);
	g_autofree char *ip = stand_ip(stand, 10 + stand->gateways->len);
	g_autofree char *text = NULL;

	gateway->stand = stand;
	gateway->name = g_strdup(name);
	gateway->callers = g_strdup_printf("%s:%u", ip, stand_free_port(ip));
	gateway->ready = g_strdup_printf("%s:%u", ip, stand_free_port(ip));
	gateway->metrics = g_strdup_printf("%s:%u", ip, stand_free_port(ip));
	gateway->settings_file = g_strdup_printf("%s/%s.yaml", stand->directory, name);
	gateway->log_file = g_strdup_printf("%s/%s.log", stand->directory, name);
	/* As deploy/settings.yaml, with the bounds of a small site. */
	text = g_strdup_printf(
		"instance: \"%s\"\nzone: \"%s\"\nregion: \"r1\"\nzones:\n"
		"  - { name: \"z1\", region: \"r1\" }\n  - { name: \"z2\", region: \"r1\" }\n"
		"callers: \"%s\"\nready: \"%s\"\nmetrics: \"%s\"\nbus: \"%s:%u\"\nstore: \"%s\"\n"
		"first_start: false\nbounds:\n  revoke_ms: 5000\n  grace_s: 8\n"
		"  retry_ratio: 0.2\n  retry_slack: 52\n  retry_window_s: 10\n"
		"load:\n  backups: false\n",
		name, zone, gateway->callers, gateway->ready, gateway->metrics, ip,
		stand_free_port(ip), mock_platform_address(stand->platform));
	if (!g_file_set_contents(gateway->settings_file, text, -1, NULL))
		g_error("cannot write %s", gateway->settings_file);
	g_ptr_array_add(stand->gateways, gateway);
	stand_start(gateway);
	return gateway;
}

void stand_start(struct stand_gateway *gateway)
{
	struct stand *stand = gateway->stand;
	pid_t parent = getpid();
	pid_t pid = fork();

	if (pid < 0)
		g_error("cannot start a process: %s", g_strerror(errno));
	if (pid == 0) {
		int log = open(gateway->log_file, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		/* Stopped processes must not get SIGHUP from an orphaned group. */
		setsid();
		dup2(log, STDOUT_FILENO);
		dup2(log, STDERR_FILENO);
		setenv("FLAMINGOLATCH_SETTINGS", gateway->settings_file, 1);
		execl(stand->program, "flamingolatch", "gateway", (char *)NULL);
		_exit(127);
	}
	gateway->pid = pid;
	stand_record(stand, "%s starts, process %d", gateway->name, (int)pid);
}

void stand_signal(struct stand_gateway *gateway, int number)
{
	if (gateway->pid)
		kill(gateway->pid, number);
	stand_record(gateway->stand, "%s gets signal %d", gateway->name, number);
}

bool stand_has_exited(struct stand_gateway *gateway)
{
	if (gateway->pid && waitpid(gateway->pid, NULL, WNOHANG) == gateway->pid) {
		gateway->dead = gateway->pid;
		gateway->pid = 0;
		stand_record(gateway->stand, "%s has ended", gateway->name);
	}
	return gateway->pid == 0;
}

/* clients */

static void stand_client_on_closed(uv_handle_t *handle)
{
	struct stand_client *client = handle->data;

	g_string_free(client->output, TRUE);
	g_string_free(client->input, TRUE);
	g_free(client);
}

static void stand_client_on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void stand_client_on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buf)
{
	struct stand_client *client = stream->data;

	if (count > 0)
		g_string_append_len(client->input, buf->base, count);
	if (count < 0)
		client->closed = true;
}

static void stand_client_on_written(uv_write_t *write, int status)
{
	struct stand_client *client = write->data;

	if (status != 0)
		client->closed = true;
}

static void stand_client_on_connect(uv_connect_t *connect, int status)
{
	struct stand_client *client = connect->data;
	uv_buf_t buf = uv_buf_init(client->output->str, (unsigned int)client->output->len);

	if (status != 0) {
		client->closed = true;
		return;
	}
	uv_read_start((uv_stream_t *)&client->tcp, stand_client_on_alloc, stand_client_on_read);
	uv_write(&client->write, (uv_stream_t *)&client->tcp, &buf, 1, stand_client_on_written);
}

struct stand_client *stand_client_open(struct stand *stand, const char *address, const char *text)
{
	struct stand_client *client = g_new0(struct stand_client, 1);
	g_autofree char *ip = g_strndup(address, strcspn(address, ":"));
	struct sockaddr_in target;

	uv_ip4_addr(ip, atoi(strchr(address, ':') + 1), &target);
	client->input = g_string_new(NULL);
	client->output = g_string_new(text);
	uv_tcp_init(&stand->loop, &client->tcp);
	client->tcp.data = client;
	client->connect.data = client;
	client->write.data = client;
	if (uv_tcp_connect(&client->connect, &client->tcp, (struct sockaddr *)&target,
			   stand_client_on_connect) != 0)
		client->closed = true;
	return client;
}

void stand_client_close(struct stand_client *client)
{
	if (!client->closing)
		uv_close((uv_handle_t *)&client->tcp, stand_client_on_closed);
	client->closing = true;
}

/* Reads the chunks of a body from an offset. */
static void stand_read_chunks(const GString *input, size_t at, struct stand_answer *out)
{
	for (;;) {
		const char *line = input->str + at;
		const char *end = strstr(line, "\r\n");
		char *rest = NULL;
		size_t len;

		if (!end) {
			/* A part of a line of a size is a beginning, anything else is none. */
			for (; *line; line++) {
				if (!g_ascii_isxdigit(*line) && *line != '\r')
					out->state = STAND_ANSWER_UNREADABLE;
			}
			out->unreadable_at = at;
			return;
		}
		len = strtoul(line, &rest, 16);
		if (!g_ascii_isxdigit(*line) || rest != end) {
			out->state = STAND_ANSWER_UNREADABLE;
			out->unreadable_at = at;
			return;
		}
		at = (size_t)(end - input->str) + 2;
		if (input->len < at + len + 2) {
			g_string_append_len(out->body, input->str + at,
					    (gssize)MIN(len, input->len - at));
			return;
		}
		g_string_append_len(out->body, input->str + at, (gssize)len);
		if (memcmp(input->str + at + len, "\r\n", 2) != 0) {
			out->state = STAND_ANSWER_UNREADABLE;
			out->unreadable_at = at + len;
			return;
		}
		at += len + 2;
		if (len == 0) {
			out->state = STAND_ANSWER_COMPLETE;
			return;
		}
	}
}

struct stand_answer stand_read_answer(const GString *input)
{
	struct stand_answer out = { .body = g_string_new(NULL) };
	const char *end = strstr(input->str, "\r\n\r\n");
	g_autofree char *head = NULL;
	const char *length;
	size_t at;

	if (!end)
		return out;
	if (sscanf(input->str, "HTTP/1.1 %u", &out.status) != 1) {
		out.state = STAND_ANSWER_UNREADABLE;
		return out;
	}
	out.state = STAND_ANSWER_INCOMPLETE;
	at = (size_t)(end - input->str) + 4;
	head = g_ascii_strdown(input->str, (gssize)at);
	if (strstr(head, "transfer-encoding: chunked")) {
		stand_read_chunks(input, at, &out);
		return out;
	}
	length = strstr(head, "content-length: ");
	if (length) {
		size_t len = strtoul(length + strlen("content-length: "), NULL, 10);

		g_string_append_len(out.body, input->str + at, (gssize)MIN(len, input->len - at));
		if (input->len >= at + len)
			out.state = STAND_ANSWER_COMPLETE;
	}
	return out;
}

char *stand_request(const char *id, const char *path, uint32_t wait_ms, const char *key,
		    const char *headers, const char *body)
{
	g_autofree char *length =
		body ? g_strdup_printf("Content-Length: %zu\r\n", strlen(body)) : g_strdup("");

	return g_strdup_printf("%s %s HTTP/1.1\r\nHost: " STAND_HOST "\r\n"
			       "X-Flamingolatch-Attempt-Id: %s\r\n"
			       "X-Flamingolatch-Deadline-Ms: %u\r\n"
			       "Authorization: Bearer %s\r\n%s%s\r\n%s",
			       body ? "POST" : "GET", path, id, wait_ms, key,
			       headers ? headers : "", length, body ? body : "");
}

/* Sends a request to a port that is not the clients' and waits for the answer. */
static struct stand_answer stand_ask(struct stand *stand, const char *address, const char *path,
				     uint32_t ms)
{
	g_autofree char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", path);
	struct stand_client *client = stand_client_open(stand, address, text);
	uint64_t until_ms = stand_now_ms(stand) + ms;
	struct stand_answer answer = { .body = g_string_new(NULL) };

	while (stand_now_ms(stand) < until_ms && !client->closed &&
	       answer.state < STAND_ANSWER_COMPLETE) {
		stand_run(stand, 1);
		g_string_free(answer.body, TRUE);
		answer = stand_read_answer(client->input);
	}
	stand_client_close(client);
	return answer;
}

bool stand_wait_ready(struct stand_gateway *gateway, uint32_t ms)
{
	uint64_t until_ms = stand_now_ms(gateway->stand) + ms;
	bool ready = false;

	while (!ready && stand_now_ms(gateway->stand) < until_ms) {
		struct stand_answer answer =
			stand_ask(gateway->stand, gateway->ready, "/readyz", 500);

		ready = answer.state == STAND_ANSWER_COMPLETE && answer.status == 200;
		g_string_free(answer.body, TRUE);
		stand_run(gateway->stand, 20);
	}
	stand_record(gateway->stand, "%s is %sready", gateway->name, ready ? "" : "not ");
	return ready;
}

char *stand_get(struct stand_gateway *gateway, const char *path)
{
	struct stand_answer answer = stand_ask(gateway->stand, gateway->metrics, path, 2000);
	bool ok = answer.state == STAND_ANSWER_COMPLETE && answer.status == 200;

	return g_string_free(answer.body, !ok);
}
