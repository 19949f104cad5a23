/* A resumable stream stalls after its first events, because the path to its replica is cut, while
 * the two other replicas of the service are full. */
#include "stand.h"

#include "proxy.h"

#include <string.h>

#define EVENT_PACE_MS 160 /* below the route's target_gap_ms */
#define QUICK_TOKENS  48  /* 12 events */
#define CUT_MS	      4000

static struct mock_upstream *make_replica(struct stand *stand, const char *id, uint32_t number)
{
	g_autofree char *ip = stand_ip(stand, 100 + number);
	struct mock_upstream_conf conf = { .id = id,
					   .service = "writer",
					   .zone = "z1",
					   .address = ip,
					   .engine = true,
					   .work_ms = 100,
					   .pace_ms = EVENT_PACE_MS };

	return mock_upstream_create(stand->platform, &conf);
}

static struct stand_client *generate(struct stand *stand, const struct stand_gateway *gateway,
				     const char *id, const char *path, uint32_t tokens)
{
	g_autofree char *headers = g_strdup_printf("X-Flamingolatch-Model: m\r\n"
						   "X-Flamingolatch-Token-Usage: 2200,%u\r\n"
						   "X-Flamingolatch-Prompt-Prefix: %s:2200\r\n",
						   tokens, id);
	g_autofree char *body = g_strdup_printf("{\"prompt\":\"%s\"}", id);
	g_autofree char *text = stand_request(
		id, path, g_str_has_prefix(path, "/long") ? 39000 : 6000, "key-one", headers, body);

	stand_record(stand, "client sends %s, %s", id, path);
	return stand_client_open(stand, gateway->callers, text);
}

/* Sends long generations until one is refused: then the replicas have no room for another. */
static bool fill(struct stand *stand, const struct stand_gateway *gateway)
{
	for (uint32_t i = 0; i < 60; i++) {
		g_autofree char *id = g_strdup_printf("f111%04x", i);
		struct stand_client *client = generate(stand, gateway, id, "/long/x", 944);
		struct stand_answer answer;
		uint32_t status;

		stand_run(stand, 450);
		answer = stand_read_answer(client->input);
		status = answer.status;
		g_string_free(answer.body, TRUE);
		if (status == 200)
			continue; /* the connection stays open, the generation runs */
		stand_record(stand, "%s got %u after %u generations: the replicas are full", id,
			     status, i);
		stand_client_close(client);
		return status == 503 && i > 0;
	}
	return false;
}

int main(int argc, char **argv)
{
	struct stand *stand = stand_create(argc, argv);
	struct mock_upstream *busy = make_replica(stand, "i-busy", 0);
	struct mock_upstream *busy_too = make_replica(stand, "i-busy-too", 2);
	struct mock_upstream *cut = make_replica(stand, "i-cut", 1);
	g_autofree char *ip = stand_ip(stand, 120);
	struct proxy *proxy = proxy_create(&stand->loop, ip, mock_upstream_address(cut));
	struct stand_gateway *gateway;
	struct stand_client *client;
	struct stand_answer answer = { .body = g_string_new(NULL) };
	struct mock_request_record run;
	g_autofree char *shown = NULL;
	uint64_t until_ms;
	bool broken;

	stand_configure(stand, NULL, NULL);
	mock_upstream_list(busy);
	mock_upstream_list(busy_too);
	gateway = stand_gateway(stand, "edge-1", "z1");
	if (!stand_wait_ready(gateway, 10000) || !fill(stand, gateway))
		return stand_destroy(stand, STAND_CANNOT_RUN);
	mock_upstream_set_listed_address(cut, proxy_address(proxy));
	mock_upstream_list(cut);
	stand_record(stand, "replica i-cut is added");
	stand_run(stand, 1000);
	client = generate(stand, gateway, "c0ffee01", "/quick/x", QUICK_TOKENS);
	until_ms = stand_now_ms(stand) + 5000;
	while (!strstr(client->input->str, "id: 3\n") && stand_now_ms(stand) < until_ms)
		stand_run(stand, 1);
	run = mock_request_record(stand->platform, "c0ffee01");
	stand_record(stand, "c0ffee01 has three events, runs at %s",
		     run.upstream ? run.upstream : "-");
	if (g_strcmp0(run.upstream, "i-cut") != 0 || !strstr(client->input->str, "id: 3\n"))
		return stand_destroy(stand, STAND_CANNOT_RUN);
	if (stand->trouble) {
		proxy_set_mode(proxy, PROXY_SILENT, 0);
		stand_record(stand, "i-cut is cut off for %u ms", CUT_MS);
	}
	until_ms = stand_now_ms(stand) + CUT_MS;
	while (stand_now_ms(stand) < until_ms && !client->closed) {
		stand_run(stand, 10);
		g_string_free(answer.body, TRUE);
		answer = stand_read_answer(client->input);
		if (answer.state >= STAND_ANSWER_COMPLETE)
			break;
	}
	proxy_set_mode(proxy, PROXY_PASS, 0);
	shown = g_strescape(client->input->str + answer.unreadable_at, NULL);
	broken = answer.state == STAND_ANSWER_UNREADABLE;
	stand_record(stand, "c0ffee01: status %u, answer %s, connection %s", answer.status,
		     answer.state == STAND_ANSWER_COMPLETE ? "complete"
		     : broken				   ? "unreadable"
							   : "incomplete",
		     client->closed ? "closed" : "open");
	if (broken)
		stand_record(stand, "where the size of a chunk is due: %.160s", shown);
	run = mock_request_record(stand->platform, "c0ffee01");
	stand_record(stand, "c0ffee01: %u executions, replica has ended its answer: %s",
		     run.executions, run.completed ? "yes" : "no");
	if (!stand->trouble && answer.state != STAND_ANSWER_COMPLETE)
		return stand_destroy(stand, STAND_CANNOT_RUN);
	return stand_destroy(stand, broken ? STAND_BROKEN : STAND_HELD);
}
