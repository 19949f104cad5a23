/**
 * @file large_bodies.c
 * Callers send requests with bodies as long as the configuration allows, at the same time. The
 * platform ends a process that exceeds the memory of its machine, as DEPLOY.md says.
 */
#include "callers.h"

#include "flamingolatch/gateway_settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MEMORY_MB    110 /* memory_mb of the site file csl-claims */
#define CALLERS	     24	 /* with small requests, one after the other */
#define UPLOADS	     32
#define LARGE_BYTES  4194304 /* max_body_bytes */
#define SMALL_BYTES  800
#define WARM_UP_MS   3000
#define BYTES_A_TICK 8192 /* 13 Mbit/s for the quickest caller */
#define SLOWER_BYTES 64	  /* less for each further one */
#define WORK_MS	     200
#define DEADLINE_MS  6000
#define WATCH_MS     12000

struct upload {
	int fd;
	GString *head;
	GString *input;
	char id[32];
	size_t sent;   /* of the head and the body */
	size_t length; /* of both */
	size_t bytes_a_tick;
	bool closed;
};

static char *body;

static void upload_connect(struct upload *upload, const struct testbed_gateway *gateway)
{
	g_autofree char *host = NULL;
	uint16_t port = 0;
	struct sockaddr_in addr = { .sin_family = AF_INET };

	gateway_settings_split_address(gateway->address, &host, &port);
	addr.sin_port = htons(port);
	inet_pton(AF_INET, host, &addr.sin_addr);
	upload->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(upload->fd, (struct sockaddr *)&addr, sizeof(addr)) != 0)
		upload->closed = true;
	fcntl(upload->fd, F_SETFL, O_NONBLOCK);
	upload->head = g_string_new(NULL);
	upload->input = g_string_new(NULL);
}

static void upload_begin(struct upload *upload, uint32_t number, size_t bytes)
{
	g_snprintf(upload->id, sizeof(upload->id), "%08x%06x", (uint32_t)getpid(),
		   0xb00000 + number);
	g_string_printf(upload->head,
			"POST /once/x HTTP/1.1\r\nHost: " TESTBED_HOST "\r\n"
			"X-Flamingolatch-Attempt-Id: %s\r\nX-Flamingolatch-Deadline-Ms: %d\r\n"
			"Authorization: Bearer " TESTBED_KEY "\r\nContent-Length: %zu\r\n\r\n",
			upload->id, DEADLINE_MS, bytes);
	g_string_truncate(upload->input, 0);
	upload->sent = 0;
	upload->length = upload->head->len + bytes;
	upload->bytes_a_tick = BYTES_A_TICK - number * SLOWER_BYTES;
}

static void upload_step(struct upload *upload)
{
	char buf[4096];
	size_t budget = upload->bytes_a_tick;
	ssize_t got;

	while (!upload->closed && upload->sent < upload->length && budget > 0) {
		bool in_head = upload->sent < upload->head->len;
		const char *at = in_head ? upload->head->str + upload->sent
					 : body + (upload->sent - upload->head->len);
		size_t len =
			MIN(budget, (in_head ? upload->head->len : upload->length) - upload->sent);

		got = send(upload->fd, at, len, MSG_NOSIGNAL);
		if (got <= 0)
			break;
		upload->sent += (size_t)got;
		budget -= (size_t)got;
	}
	while ((got = recv(upload->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(upload->input, buf, got);
	if (got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
		upload->closed = true;
}

/* Tells whether an answer has arrived: its head, which is enough here. */
static bool upload_has_answer(const struct upload *upload)
{
	return strstr(upload->input->str, "\r\n\r\n") != NULL;
}

static uint32_t upload_status(const struct upload *upload)
{
	return upload_has_answer(upload) ? (uint32_t)atoi(upload->input->str + strlen("HTTP/1.1 "))
					 : 0;
}

struct state {
	struct testbed_gateway *gateway;
	struct upload *uploads; /* NULL before they begin */
	uint64_t peak_kib;
	bool killed;
};

/* Goes on with the uploads, and ends the process when it exceeds its memory, as the platform does.
 */
static void step(void *ctx)
{
	struct state *state = ctx;
	uint64_t anon_kib = common_anon_kib(state->gateway);

	for (uint32_t i = 0; state->uploads && i < UPLOADS; i++)
		upload_step(&state->uploads[i]);
	state->peak_kib = MAX(state->peak_kib, anon_kib);
	if (!state->gateway->process || anon_kib <= MEMORY_MB * 1024ULL)
		return;
	common_record("%s holds %" G_GUINT64_FORMAT " KiB, more than %d MiB: the platform ends it",
		      state->gateway->name, anon_kib, MEMORY_MB);
	testbed_signal(state->gateway, SIGKILL);
	testbed_wait_exit(state->gateway, 2000);
	state->killed = true;
}

int main(int argc, char **argv)
{
	struct common run = { 0 };
	struct upload uploads[UPLOADS] = { 0 };
	struct state state = { 0 };
	struct callers *callers;
	const struct callers_totals *totals;
	uint32_t answered = 0;
	uint32_t refused = 0;
	uint32_t unanswered = 0;
	bool broken;

	common_open(&run, argc, argv);
	body = g_malloc(LARGE_BYTES);
	memset(body, 'b', LARGE_BYTES);
	common_configure(&run, 1, false);
	for (uint32_t i = 0; i < 3; i++) {
		g_autofree char *id = g_strdup_printf("shop-%u", i);

		common_upstream(&run, id, "z1", false, i, WORK_MS, 0);
	}
	state.gateway = common_gateway(&run, "gw-1", "z1", NULL);
	common_start(&run, state.gateway);
	callers = callers_create(&run, state.gateway, CALLERS, "/once/");
	totals = callers_totals(callers);
	callers_run(callers, WARM_UP_MS, step, &state);
	common_need(&run, totals->answered > CALLERS, "callers are served");
	common_record("warm-up: %u answered; the process holds %" G_GUINT64_FORMAT " KiB",
		      totals->answered, state.peak_kib);

	for (uint32_t i = 0; i < UPLOADS; i++) {
		upload_connect(&uploads[i], state.gateway);
		upload_begin(&uploads[i], i, run.trouble ? LARGE_BYTES : SMALL_BYTES);
	}
	common_record("%d callers send %d bytes each", UPLOADS,
		      run.trouble ? LARGE_BYTES : SMALL_BYTES);
	state.uploads = uploads;
	callers_run(callers, WATCH_MS, step, &state);
	callers_finish(callers);
	for (uint32_t i = 0; i < UPLOADS; i++) {
		struct mock_request_record record =
			mock_request_record(run.platform, uploads[i].id);
		uint32_t status;

		upload_step(&uploads[i]);
		status = upload_status(&uploads[i]);
		common_record("upload %s: %zu of %zu bytes sent, status %u, reached a replica %u "
			      "times%s",
			      uploads[i].id, uploads[i].sent, uploads[i].length, status,
			      record.arrivals, uploads[i].closed ? ", connection ended" : "");
		answered += status == 200;
		refused += status == 503 || status == 429;
		unanswered += status == 0;
		close(uploads[i].fd);
		g_string_free(uploads[i].head, TRUE);
		g_string_free(uploads[i].input, TRUE);
	}
	common_record("of %d uploads %u answered, %u refused, %u without an answer", UPLOADS,
		      answered, refused, unanswered);
	common_record("of the small requests %u answered, %u refused, %u lost (allowed: 3), %u "
		      "failed otherwise",
		      totals->answered, totals->refused, totals->lost, totals->other);
	common_record("the process held at most %" G_GUINT64_FORMAT " KiB and %s", state.peak_kib,
		      state.killed ? "was ended by the platform" : "runs");
	broken = totals->lost > 3;
	callers_destroy(callers);
	g_free(body);
	return common_close(&run, broken ? COMMON_BROKEN : COMMON_HELD);
}
