/*
 * A replica that was full sends its refusal a second time, late, on a connection that is in use
 * again by then. See claim.txt.
 */
#include "standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SLOTS	     6
#define QUEUE	     2 /* requests that wait for a slot */
#define WORK_MS	     60
#define CYCLES	     130
#define CYCLE_MS     600
#define BURST	     24 /* clients of the other gateway that send at the same moment */
#define COPY_SHARE_X 34 /* one answer in so many has a second copy, at most: 0.03 */
/* The faulty replica sends second copies for the second time, once in each of the first. */
#define GARBLE_EACH_MS 12000
#define GARBLE_FOR_MS  5000

struct outcome {
	int runs;
	int status;
	bool copied; /* a late copy of a refusal of it went out when it came again */
};

/* Kept for each connection at the replica. */
struct late_copy {
	char text[400];
	char id[64];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int refusals;
/* Of the faulty replica, in the time in which it is. */
static int answers, copies;
static struct outcome outcomes[CYCLES];
static struct gateway edge_1, edge_2;
static struct replica *replicas[2]; /* the first is the faulty one */
static int busy[2], waiting[2];
static pthread_cond_t slot_free = PTHREAD_COND_INITIALIZER;
/* The same as answers and copies, of the present time of second copies alone. */
static int window_answers, window_copies;
static uint64_t window;
static uint64_t start_ms;

/* Returns the outcome of a request of the single client, or NULL. Call with the lock held. */
static struct outcome *outcome_of(const char *id)
{
	int number;

	return sscanf(id, "claim-%d", &number) == 1 && number < CYCLES ? &outcomes[number] : NULL;
}

/* Sends the second copy that is due on a connection, as the next answer is expected there. */
static bool send_late_copy(struct arrival *arrival, struct late_copy *late)
{
	struct outcome *outcome;

	if (!late->text[0])
		return true;
	pthread_mutex_lock(&lock);
	outcome = outcome_of(arrival->id);
	if (outcome && strcmp(late->id, arrival->id) == 0)
		outcome->copied = true;
	pthread_mutex_unlock(&lock);
	record("%s: second copy of the refusal of %s, as %s arrives on connection %llu",
	       replica_id(arrival->replica), late->id, arrival->id,
	       (unsigned long long)arrival->conn);
	if (!send_text(arrival->fd, late->text))
		return false;
	late->text[0] = '\0';
	return true;
}

static bool on_request(struct arrival *arrival)
{
	struct late_copy *late = arrival->conn_data;
	struct outcome *outcome;
	char text[400];
	int number = arrival->replica == replicas[1];
	uint64_t since_ms = now_ms() - start_ms;
	bool garbles = number == 0 && start_ms &&
		       since_ms % GARBLE_EACH_MS >= GARBLE_EACH_MS - GARBLE_FOR_MS;
	bool run, copy = false;

	if (strncmp(arrival->request.head, "GET /healthz", 12) == 0)
		return send_text(arrival->fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	if (!late)
		arrival->conn_data = late = calloc(1, sizeof(*late));
	if (!send_late_copy(arrival, late))
		return false;
	pthread_mutex_lock(&lock);
	if (garbles && since_ms / GARBLE_EACH_MS != window) {
		window = since_ms / GARBLE_EACH_MS;
		window_answers = 0;
		window_copies = 0;
	}
	answers += garbles;
	window_answers += garbles;
	run = busy[number] < SLOTS || waiting[number] < QUEUE;
	if (run) {
		waiting[number]++;
		while (busy[number] == SLOTS)
			pthread_cond_wait(&slot_free, &lock);
		waiting[number]--;
		busy[number]++;
	}
	outcome = outcome_of(arrival->id);
	if (outcome && run)
		outcome->runs++;
	if (!run) {
		refusals++;
		copy = trouble() && garbles && outcome &&
		       (window_copies + 1) * COPY_SHARE_X <= window_answers;
		copies += copy;
		window_copies += copy;
	}
	pthread_mutex_unlock(&lock);
	if (outcome)
		record("%s %s %s (connection %llu)", replica_id(arrival->replica),
		       run ? "runs" : "is full, refuses", arrival->id,
		       (unsigned long long)arrival->conn);
	if (run) {
		sleep_ms(WORK_MS);
		pthread_mutex_lock(&lock);
		busy[number]--;
		pthread_cond_broadcast(&slot_free);
		pthread_mutex_unlock(&lock);
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
			 "X-Flamingolatch-Replica-Signature: 1.2.3\r\nContent-Length: 2\r\n\r\nok",
			 arrival->id);
	} else {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 503 Service Unavailable\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
			 "X-Flamingolatch-Not-Executed: 1\r\nRetry-After: 0.2\r\n"
			 "Content-Length: 0\r\n\r\n",
			 arrival->id);
	}
	if (copy) {
		snprintf(late->text, sizeof(late->text), "%s", text);
		snprintf(late->id, sizeof(late->id), "%s", arrival->id);
	}
	return send_text(arrival->fd, text);
}

/* Sends an unsafe request and reads its answer. @return its status; 0 without an answer */
static int call(struct reader *reader, const struct gateway *gateway, const char *id)
{
	struct message answer;
	char text[400];
	bool closes;
	int status;

	if (reader->fd <= 0) {
		reader->fd = client_connect(gateway->callers);
		reader->len = 0;
	}
	snprintf(text, sizeof(text),
		 "POST /once/claim HTTP/1.1\r\nHost: " BED_HOST
		 "\r\nX-Flamingolatch-Attempt-Id: %s\r\nX-Flamingolatch-Deadline-Ms: 3000\r\n"
		 "Authorization: Bearer " BED_KEY "\r\nContent-Length: 5\r\n\r\nclaim",
		 id);
	if (!send_text(reader->fd, text) || !read_message(reader, &answer, true, 5000)) {
		close(reader->fd);
		reader->fd = 0;
		return 0;
	}
	status = answer.status;
	closes = strstr(answer.head, "Connection: close") != NULL;
	message_free(&answer);
	if (closes) {
		close(reader->fd);
		reader->fd = 0;
	}
	return status;
}

/* One of the many users that come at once. */
static void *burst_main(void *arg)
{
	static int count;
	struct reader reader = { 0 };
	char id[32];
	int number = __sync_fetch_and_add(&count, 1);

	(void)arg;
	for (int cycle = 0; cycle < CYCLES; cycle++) {
		uint64_t at_ms = start_ms + (uint64_t)cycle * CYCLE_MS;

		while (now_ms() < at_ms)
			sleep_ms(1);
		snprintf(id, sizeof(id), "burst-%d-%d", number, cycle);
		call(&reader, &edge_2, id);
		snprintf(id, sizeof(id), "again-%d-%d", number, cycle);
		call(&reader, &edge_2, id);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[BURST];
	struct reader reader = { 0 };
	int twice = 0, refused = 0;
	char id[32];

	if (argc != 2)
		return 2;
	bed_create(argv[1]);
	replicas[0] = replica_create("i-desk-1", "desk", on_request);
	replicas[1] = replica_create("i-desk-2", "desk", on_request);
	replica_list(replicas[0], "ready");
	replica_list(replicas[1], "ready");
	bed_configure("\"" BED_KEY "\"", NULL);
	gateway_start(&edge_1, "edge-1");
	gateway_start(&edge_2, "edge-2");
	gateway_wait_ready(&edge_1);
	gateway_wait_ready(&edge_2);
	sleep_ms(2000);
	start_ms = now_ms() + 300;
	for (int i = 0; i < BURST; i++)
		pthread_create(&threads[i], NULL, burst_main, NULL);
	for (int cycle = 0; cycle < CYCLES; cycle++) {
		uint64_t at_ms = start_ms + (uint64_t)cycle * CYCLE_MS + 15;

		while (now_ms() < at_ms)
			sleep_ms(1);
		snprintf(id, sizeof(id), "claim-%d", cycle);
		outcomes[cycle].status = call(&reader, &edge_1, id);
		record("client: %s is answered %d", id, outcomes[cycle].status);
	}
	for (int i = 0; i < BURST; i++)
		pthread_join(threads[i], NULL);
	for (int cycle = 0; cycle < CYCLES; cycle++) {
		const struct outcome *outcome = &outcomes[cycle];

		if (outcome->runs > 1) {
			twice++;
			record("TWICE: claim-%d ran %d times", cycle, outcome->runs);
		}
		if (outcome->runs > 0 && (outcome->status == 503 || outcome->status == 429)) {
			refused++;
			record("REFUSED: claim-%d was answered %d and ran", cycle, outcome->status);
		}
	}
	record("answers of the faulty replica while it is: %d, second copies %d (share %.4f); "
	       "refusals of both in all %d",
	       answers, copies, answers ? (double)copies / answers : 0.0, refusals);
	record("result: TWICE %d, REFUSED %d of %d requests", twice, refused, CYCLES);
	printf("TWICE %d, REFUSED %d of %d requests; copies %d of %d answers\n", twice, refused,
	       CYCLES, copies, answers);
	bed_end();
	if (refusals == 0 || answers < CYCLES)
		return 2;
	return twice || refused ? 1 : 0;
}
