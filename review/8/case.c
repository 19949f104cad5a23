/*
 * Another writer's entries stand in the list: their service is not named in the configuration,
 * their addresses are those of live replicas. See claim.txt.
 */
#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define REPLICAS     3
#define STAY_MS	     3000 /* until the other writer removes its entries */
#define CONTACT_MS   4000
#define EACH_MS	     50
#define BEFORE_COUNT 100 /* requests on the first route before */
#define AFTER_COUNT  60	 /* requests on each route after it */

struct count {
	int asked, served;
};

static struct replica *replicas[REPLICAS];
static struct gateway edges[2];

static bool on_request(struct arrival *arrival)
{
	char text[300];

	if (strncmp(arrival->request.head, "GET /healthz", 12) == 0)
		return send_text(arrival->fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	record("%s runs %s", replica_id(arrival->replica), arrival->id);
	sleep_ms(15);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
		 "X-Flamingolatch-Replica-Signature: 1.2.3\r\nContent-Length: 2\r\n\r\nok",
		 arrival->id);
	return send_text(arrival->fd, text);
}

/* Writes an entry as another tool would that watches the replica's port. */
static void write_strange_entry(int number)
{
	struct timespec now;
	char id[32], text[300];

	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(id, sizeof(id), "probe-%d", number + 1);
	snprintf(text, sizeof(text),
		 "{\"service\":\"port-probe\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\","
		 "\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,"
		 "\"seq_no\":1,\"born\":%lld000}",
		 replica_port(replicas[number]), (long long)now.tv_sec);
	store_put("servers", id, text);
	record("another writer: %s %s", id, text);
}

/* Sends a safe request to one of the gateways in turn. */
static void call(const char *route, struct count *count)
{
	static int number;
	int fd = client_connect(edges[number % 2].callers);
	struct reader reader = { .fd = fd };
	struct message answer;
	char text[300];
	int status = 0;

	snprintf(text, sizeof(text),
		 "GET /%s/status HTTP/1.1\r\nHost: " BED_HOST
		 "\r\nX-Flamingolatch-Attempt-Id: r%d\r\nX-Flamingolatch-Deadline-Ms: 3000\r\n"
		 "Authorization: Bearer " BED_KEY "\r\nConnection: close\r\n\r\n",
		 route, number);
	if (fd >= 0 && send_text(fd, text) && read_message(&reader, &answer, true, 4000)) {
		status = answer.status;
		message_free(&answer);
	}
	record("client: r%d on /%s/ at %s is answered %d", number, route, edges[number % 2].name,
	       status);
	count->asked++;
	count->served += status == 200;
	number++;
	free(reader.buf);
	if (fd >= 0)
		close(fd);
	sleep_ms(EACH_MS);
}

int main(int argc, char **argv)
{
	struct count first = { 0 }, added = { 0 };
	char id[32];
	bool broken;

	if (argc != 2)
		return 2;
	bed_create(argv[1]);
	for (int i = 0; i < REPLICAS; i++) {
		snprintf(id, sizeof(id), "i-desk-%d", i + 1);
		replicas[i] = replica_create(id, "desk", on_request);
		replica_list(replicas[i], "ready");
	}
	bed_configure("\"" BED_KEY "\"", NULL);
	gateway_start(&edges[0], "edge-1");
	gateway_start(&edges[1], "edge-2");
	gateway_wait_ready(&edges[0]);
	gateway_wait_ready(&edges[1]);
	sleep_ms(2000);
	for (int i = 0; i < BEFORE_COUNT; i++)
		call("safe", &first);
	if (first.served < BEFORE_COUNT * 9 / 10)
		cannot_run("the requests before are not served");
	record("first route before: %d of %d served", first.served, first.asked);
	for (int i = 0; i < REPLICAS && trouble(); i++)
		write_strange_entry(i);
	sleep_ms(STAY_MS);
	for (int i = 0; i < REPLICAS && trouble(); i++) {
		snprintf(id, sizeof(id), "probe-%d", i + 1);
		store_put("servers", id, NULL);
		record("the entry of %s is removed", id);
	}
	sleep_ms(CONTACT_MS);
	bed_configure("\"" BED_KEY "\"", "added");
	sleep_ms(4000);
	for (int i = 0; i < AFTER_COUNT; i++) {
		call("safe", &first);
		call("added", &added);
	}
	/* Twenty requests or more, served less than a quarter as often as those on the first. */
	broken = added.asked >= 20 &&
		 (double)added.served / added.asked < 0.25 * first.served / first.asked;
	record("result: first route %d of %d served, added route %d of %d served: %s", first.served,
	       first.asked, added.served, added.asked, broken ? "CONFIG broken" : "held");
	printf("first route %d of %d served, added route %d of %d served: %s\n", first.served,
	       first.asked, added.served, added.asked, broken ? "CONFIG broken" : "held");
	bed_end();
	return broken ? 1 : 0;
}
