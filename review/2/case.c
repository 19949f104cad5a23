/* A replica in trouble sends the body of an answer without end. The platform kills a process that
 * exceeds its memory. */
#include "stand.h"

#include "raw_upstream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MACHINE_COUNT 2
#define REPLICA_COUNT 2
#define MEMORY_MB     110 /* memory_mb of the sheet */
#define ENDS_MAX      3	  /* by itself, on each of two machines */
#define RESTART_MS    500
#define LAST_CALL_MS  95000
#define CALL_COUNT    4 /* at the same time, at one machine */
#define CALL_MS	      2500
#define CALM_ROUNDS   20 /* with TROUBLE=0 */
/* The first replica spoils one of so many answers: garble has x = 0.05 at most. */
#define GARBLE_MS	5000 /* for_s, then a pause */
#define GARBLE_CYCLE_MS 7000
#define SPOIL_EVERY	21
/* The replica's link has 1,000 Mbit/s, the client's 30 Mbit/s. */
#define CHUNK_BYTES	    125000
#define CLIENT_BYTES_PER_MS 3750

struct replica {
	struct stand *stand;
	const char *id;
	char *chunk;
	uint32_t answers;
	uint32_t spoiled;
	uint32_t in_window; /* answers while answers are spoiled */
	bool faulty;
};

struct call {
	int fd;
	char id[32];
	GString *input;
	uint64_t read_ms;
	bool open;
};

/* helpers: the replicas */

static void replica_on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct replica *replica = ctx;
	g_autofree char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
						"X-Flamingolatch-Attempt-Id: %s\r\n"
						"X-Flamingolatch-Replica-Signature: %s\r\n",
						id, replica->id);
	g_autofree char *answer = g_strdup_printf("%sContent-Length: 4\r\n\r\ndone", head);

	replica->answers++;
	/* The share holds in each window: the count runs on only inside it. */
	if (replica->faulty && stand_now_ms(replica->stand) % GARBLE_CYCLE_MS < GARBLE_MS &&
	    ++replica->in_window % SPOIL_EVERY == 0) {
		g_autofree char *start =
			g_strdup_printf("%sTransfer-Encoding: chunked\r\n\r\n", head);

		replica->spoiled++;
		stand_record(replica->stand, "%s sends a body without end for %s", replica->id, id);
		raw_conn_write(conn, start);
		raw_conn_write_later(conn, replica->chunk, 1, true);
		return;
	}
	raw_conn_write_later(conn, answer, 15, false);
}

/* helpers: the clients */

static void call_start(struct call *call, const struct stand_gateway *gateway, uint32_t number)
{
	g_autofree char *ip = g_strndup(gateway->callers, strcspn(gateway->callers, ":"));
	g_autofree char *text = NULL;
	struct sockaddr_in target = { .sin_family = AF_INET,
				      .sin_port = htons(
					      (uint16_t)atoi(strchr(gateway->callers, ':') + 1)) };

	g_snprintf(call->id, sizeof(call->id), "c0ffee%06x", number);
	text = stand_request(call->id, "/safe/x", 3000, "key-one", NULL, NULL);
	inet_pton(AF_INET, ip, &target.sin_addr);
	call->input = g_string_new(NULL);
	call->read_ms = 0;
	call->fd = socket(AF_INET, SOCK_STREAM, 0);
	call->open = connect(call->fd, (struct sockaddr *)&target, sizeof(target)) == 0 &&
		     send(call->fd, text, strlen(text), 0) == (ssize_t)strlen(text);
}

/* Reads what the link of the client has brought. The bytes of a long answer are not kept. */
static void call_read(struct call *call, uint64_t now_ms)
{
	static char bytes[CLIENT_BYTES_PER_MS * 50];
	uint64_t elapsed_ms = call->read_ms ? MIN(now_ms - call->read_ms, 50) : 1;
	ssize_t count;

	if (!call->open || now_ms == call->read_ms)
		return;
	call->read_ms = now_ms;
	count = recv(call->fd, bytes, (size_t)(elapsed_ms * CLIENT_BYTES_PER_MS), MSG_DONTWAIT);
	if (count > 0 && call->input->len < 65536)
		g_string_append_len(call->input, bytes, count);
	call->open = count > 0 || (count < 0 && errno == EAGAIN);
}

static bool call_is_answered(const struct call *call)
{
	struct stand_answer answer = stand_read_answer(call->input);

	g_string_free(answer.body, TRUE);
	return answer.state == STAND_ANSWER_COMPLETE;
}

/* helpers: the platform */

static uint32_t resident_mb(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", (int)pid);
	g_autofree char *text = NULL;
	unsigned long pages = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL) || sscanf(text, "%*u %lu", &pages) != 1)
		return 0;
	return (uint32_t)(pages * (unsigned long)sysconf(_SC_PAGESIZE) >> 20);
}

/* Kills a process that exceeds its memory, and starts it again. @return true when it did */
static bool enforce_memory(struct stand *stand, struct stand_gateway *gateway, uint32_t *peak_mb)
{
	uint32_t used_mb = resident_mb(gateway->pid);

	*peak_mb = MAX(*peak_mb, used_mb);
	if (used_mb <= MEMORY_MB)
		return false;
	stand_record(stand, "%s uses %u MB, more than its %u MB: it is killed", gateway->name,
		     used_mb, MEMORY_MB);
	stand_signal(gateway, SIGKILL);
	return true;
}

/* Sends calls to a machine until all have ended. @return true when its process was killed */
static bool run_calls(struct stand *stand, struct stand_gateway *gateway, uint32_t *number,
		      uint32_t *peak_mb)
{
	struct call calls[CALL_COUNT];
	uint64_t until_ms = stand_now_ms(stand) + CALL_MS;
	bool killed = false;
	uint32_t open = CALL_COUNT;

	for (uint32_t i = 0; i < CALL_COUNT; i++)
		call_start(&calls[i], gateway, ++*number);
	while (open > 0 && stand_now_ms(stand) < until_ms) {
		stand_run(stand, 1);
		killed = killed || enforce_memory(stand, gateway, peak_mb);
		open = 0;
		for (uint32_t i = 0; i < CALL_COUNT; i++) {
			call_read(&calls[i], stand_now_ms(stand));
			open += calls[i].open && !call_is_answered(&calls[i]);
		}
	}
	for (uint32_t i = 0; i < CALL_COUNT; i++) {
		if (!call_is_answered(&calls[i]))
			stand_record(stand, "%s has no whole answer, its connection is %s",
				     calls[i].id, calls[i].open ? "open" : "closed");
		close(calls[i].fd);
		g_string_free(calls[i].input, TRUE);
	}
	if (!killed)
		return false;
	while (!stand_has_exited(gateway))
		stand_run(stand, 5);
	stand_run(stand, RESTART_MS);
	stand_start(gateway);
	stand_wait_ready(gateway, 10000);
	return true;
}

int main(int argc, char **argv)
{
	struct stand *stand = stand_create(argc, argv);
	struct replica replicas[REPLICA_COUNT] = { { .id = "i-desk-1", .faulty = stand->trouble },
						   { .id = "i-desk-2" } };
	struct stand_gateway *gateways[MACHINE_COUNT];
	uint32_t ends[MACHINE_COUNT] = { 0 };
	uint32_t peaks_mb[MACHINE_COUNT] = { 0 };
	uint32_t number = 0;
	bool broken = false;

	stand_configure(stand, NULL, NULL);
	for (uint32_t i = 0; i < REPLICA_COUNT; i++) {
		g_autofree char *ip = stand_ip(stand, 100 + i);
		g_autofree char *body = g_strnfill(CHUNK_BYTES, 'x');
		g_autofree char *entry = g_strdup_printf(
			"{\"service\":\"desk\",\"address\":\"%s:8300\",\"zone\":\"z1\",\"slots\":6,"
			"\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":1,"
			"\"born\":%" G_GINT64_FORMAT "}",
			ip, g_get_real_time() / 1000);

		replicas[i].stand = stand;
		replicas[i].chunk = g_strdup_printf("%x\r\n%s\r\n", CHUNK_BYTES, body);
		raw_upstream_create(&stand->loop, ip, 8300, replica_on_request, &replicas[i]);
		mock_store_put(stand->platform, "servers", replicas[i].id, entry);
	}
	for (uint32_t i = 0; i < MACHINE_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("edge-%u", i + 1);

		gateways[i] = stand_gateway(stand, name, "z1");
		if (!stand_wait_ready(gateways[i], 10000))
			return stand_destroy(stand, STAND_CANNOT_RUN);
	}
	for (uint32_t round = 0; !broken && stand_now_ms(stand) < LAST_CALL_MS; round++) {
		for (uint32_t i = 0; i < MACHINE_COUNT; i++)
			ends[i] += run_calls(stand, gateways[i], &number, &peaks_mb[i]);
		broken = ends[0] >= ENDS_MAX && ends[1] >= ENDS_MAX;
		if (!stand->trouble && round >= CALM_ROUNDS)
			break;
	}
	stand_record(stand, "%u calls; i-desk-1 spoiled %u of %u answers", number,
		     replicas[0].spoiled, replicas[0].answers);
	for (uint32_t i = 0; i < MACHINE_COUNT; i++)
		stand_record(stand, "%s: %u times over its memory, at most %u MB",
			     gateways[i]->name, ends[i], peaks_mb[i]);
	return stand_destroy(stand, broken ? STAND_BROKEN : STAND_HELD);
}
