/* An instance that follows the store for another one is lost while it decodes a configuration that
 * takes a key away. */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAY_COUNT	 2
#define ROUTE_STEP	 464 /* big_config: count */
#define ROUTE_STEP_COUNT 3
#define KEY_COUNT	 24
#define REVOKE_MS	 5000
#define CONFIG_APPLY_MS	 3000
#define KILL_MAX_MS	 400 /* after the change was sent: limit of after_ack_kill, how timed */
#define LAST_TRIAL_MS	 85000
#define CALM_TRIAL_COUNT 3 /* with TROUBLE=0 */
/* A machine has a quarter of a core. */
#define CORE_RUN_US  5000
#define CORE_STOP_US 15000
/* The change is made this long before the query that it is to cross. */
#define QUERY_LEAD_MS 25

/* The processes that share of a core is given to; 0: none. */
static volatile pid_t core_pids[GATEWAY_COUNT];

static void *core_share(void *arg)
{
	for (;;) {
		for (int turn = 0; turn < 2; turn++) {
			for (int i = 0; i < GATEWAY_COUNT; i++) {
				pid_t pid = core_pids[i];

				if (pid)
					kill(pid, turn ? SIGCONT : SIGSTOP);
			}
			g_usleep(turn ? CORE_RUN_US : CORE_STOP_US);
		}
	}
	return arg;
}

static char *make_routes(uint32_t count)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < count; i++)
		g_string_append_printf(
			out,
			",{\"name\":\"more-%u\",\"host\":\"" STAND_HOST
			"\",\"prefix\":\"/more%u/\","
			"\"route_kind\":\"safe\",\"timeout_ms\":1500,\"slo_ms\":200,\"priority\":2,"
			"\"service\":\"desk\",\"max_attempts\":2}",
			i, i);
	return g_string_free(out, FALSE);
}

/* Returns how many bytes of queries a gateway has sent to the one that it follows. */
static uint64_t query_bytes(struct stand_gateway *gateway)
{
	static const char name[] = "\nflamingolatch_bus_delegation_bytes_total ";
	g_autofree char *text = stand_get(gateway, "/metrics");
	const char *at = text ? strstr(text, name) : NULL;

	return at ? strtoull(at + strlen(name), NULL, 10) : 0;
}

/* Waits until a gateway sends a query. @return when that was seen */
static uint64_t wait_query_ms(struct stand *stand, struct stand_gateway *gateway)
{
	uint64_t until_ms = stand_now_ms(stand) + 3000;
	uint64_t before = query_bytes(gateway);

	while (query_bytes(gateway) == before && stand_now_ms(stand) < until_ms)
		stand_run(stand, 1);
	return stand_now_ms(stand);
}

/* Waits until shortly before the next query of a gateway, which come at equal intervals. */
static void wait_before_query(struct stand *stand, struct stand_gateway *gateway)
{
	uint64_t first_ms = wait_query_ms(stand, gateway);
	uint64_t second_ms = wait_query_ms(stand, gateway);
	uint64_t at_ms = second_ms + (second_ms - first_ms) - QUERY_LEAD_MS;

	if (stand_now_ms(stand) < at_ms)
		stand_run(stand, (uint32_t)(at_ms - stand_now_ms(stand)));
}

/* Writes the configuration in which the first keys are taken away. */
static void configure(struct stand *stand, const char *routes, uint32_t revoked)
{
	g_autoptr(GString) keys = g_string_new(NULL);

	for (uint32_t i = revoked; i < KEY_COUNT; i++)
		g_string_append_printf(keys, ",\"key-%u\"", i);
	stand_configure(stand, routes, keys->str);
}

/* Tells whether the state dump of a gateway has a text. */
static bool state_has(struct stand_gateway *gateway, const char *text)
{
	g_autofree char *state = stand_get(gateway, "/state");

	return state && strstr(state, text);
}

static bool has_version(struct stand_gateway *gateway, uint32_t version)
{
	g_autofree char *text = g_strdup_printf("\"config_version\":%u,", version);

	return state_has(gateway, text);
}

/* Returns the index of the only gateway that follows the store, once all have the configuration;
 * -1 when that does not come about. */
static int find_follower(struct stand_gateway **gateways, struct stand *stand, uint32_t ms)
{
	uint64_t until_ms = stand_now_ms(stand) + ms;

	while (stand_now_ms(stand) < until_ms) {
		int found = -1;
		uint32_t follow = 0;
		uint32_t current = 0;

		for (int i = 0; i < GATEWAY_COUNT; i++) {
			if (state_has(gateways[i], "\"follows_store\":true")) {
				found = i;
				follow++;
			}
			current += has_version(gateways[i], stand->version);
		}
		if (follow == 1 && current == GATEWAY_COUNT)
			return found;
		stand_run(stand, 100);
	}
	return -1;
}

/* Tells whether a gateway has logged that a version is in force. */
static bool has_logged(const struct stand_gateway *gateway, uint32_t version)
{
	g_autofree char *needle = g_strdup_printf("\"event\":200,\"revision\":\"%u\"", version);
	g_autofree char *text = NULL;

	return g_file_get_contents(gateway->log_file, &text, NULL, NULL) && strstr(text, needle);
}

/* Sends a request with a key. @return true when a replica has run it */
static bool runs_with_key(struct stand *stand, struct stand_gateway *gateway, uint32_t key,
			  uint32_t number)
{
	g_autofree char *id = g_strdup_printf("c0ffee%02x%02x", key, number);
	g_autofree char *name = g_strdup_printf("key-%u", key);
	g_autofree char *text = stand_request(id, "/safe/x", 1500, name, NULL, NULL);
	struct stand_client *client;
	struct stand_answer answer;
	bool ran;

	stand_record(stand, "client sends %s to %s with %s", id, gateway->name, name);
	client = stand_client_open(stand, gateway->callers, text);
	stand_run(stand, 800);
	answer = stand_read_answer(client->input);
	ran = mock_request_record(stand->platform, id).executions > 0;
	stand_record(stand, "%s is answered %u, a replica has %s it", id, answer.status,
		     ran ? "run" : "not run");
	g_string_free(answer.body, TRUE);
	stand_client_close(client);
	return ran;
}

static void run_until(struct stand *stand, uint64_t at_ms)
{
	if (stand_now_ms(stand) < at_ms)
		stand_run(stand, (uint32_t)(at_ms - stand_now_ms(stand)));
}

/* Takes a key away and kills the follower when it has decoded three quarters of the configuration.
 * @return true when the key is accepted too late */
static bool try_once(struct stand *stand, struct stand_gateway **gateways, int follower,
		     const char *routes, uint32_t key, uint32_t kill_ms)
{
	struct stand_gateway *other = gateways[1 - follower];
	uint64_t acknowledged_ms;
	bool broken;

	stand_record(stand, "%s follows the store, %s follows it", gateways[follower]->name,
		     other->name);
	wait_before_query(stand, other);
	configure(stand, routes, key + 1);
	acknowledged_ms = stand_now_ms(stand);
	stand_record(stand, "key-%u is taken away", key);
	if (stand->trouble) {
		run_until(stand, acknowledged_ms + kill_ms);
		core_pids[follower] = 0;
		stand_signal(gateways[follower], SIGKILL);
	}
	run_until(stand, acknowledged_ms + CONFIG_APPLY_MS + 200);
	if (has_version(other, stand->version)) {
		stand_record(stand, "%s has the configuration", other->name);
		if (stand->trouble)
			return false;
	}
	run_until(stand, acknowledged_ms + REVOKE_MS + 300);
	broken = runs_with_key(stand, other, key, 1);
	if (broken) {
		g_autofree char *state = stand_get(other, "/state");
		char *at = state ? strstr(state, "\"config_version\"") : NULL;

		stand_record(stand, "state of %s: %.160s", other->name, at ? at : "-");
		run_until(stand, acknowledged_ms + 3 * REVOKE_MS);
		runs_with_key(stand, other, key, 2);
	}
	return broken;
}

int main(int argc, char **argv)
{
	struct stand *stand = stand_create(argc, argv);
	g_autofree char *routes = make_routes(ROUTE_STEP * ROUTE_STEP_COUNT);
	g_autofree char *ip = stand_ip(stand, 100);
	struct mock_upstream_conf conf = {
		.id = "i-desk", .service = "desk", .zone = "z1", .address = ip, .work_ms = 15
	};
	struct stand_gateway *gateways[GATEWAY_COUNT];
	pthread_t thread;
	uint64_t written_ms;
	uint32_t kill_ms;
	uint32_t key = 0;
	int follower;

	mock_upstream_list(mock_upstream_create(stand->platform, &conf));
	for (uint32_t i = 0; i <= ROUTE_STEP_COUNT; i++) {
		g_autofree char *some = make_routes(ROUTE_STEP * i);

		configure(stand, some, 0);
	}
	for (int i = 0; i < GATEWAY_COUNT; i++) {
		g_autofree char *name = g_strdup_printf("edge-%d", i + 1);

		gateways[i] = stand_gateway(stand, name, "z1");
		if (!stand_wait_ready(gateways[i], 10000))
			return stand_destroy(stand, STAND_CANNOT_RUN);
		core_pids[i] = gateways[i]->pid;
	}
	pthread_create(&thread, NULL, core_share, NULL);
	follower = find_follower(gateways, stand, 15000);
	if (follower < 0)
		return stand_destroy(stand, STAND_CANNOT_RUN);
	/* How long a new configuration takes on such a machine. */
	configure(stand, routes, 0);
	written_ms = stand_now_ms(stand);
	while (!has_logged(gateways[follower], stand->version) &&
	       stand_now_ms(stand) < written_ms + 5000)
		stand_run(stand, 1);
	kill_ms = (uint32_t)(stand_now_ms(stand) - written_ms) * 3 / 4;
	stand_record(stand, "%s has configuration %u after %u ms", gateways[follower]->name,
		     stand->version, kill_ms * 4 / 3);
	kill_ms = MIN(kill_ms, KILL_MAX_MS);
	while (stand_now_ms(stand) < LAST_TRIAL_MS && key < KEY_COUNT) {
		follower = find_follower(gateways, stand, 15000);
		if (follower < 0)
			return stand_destroy(stand, STAND_CANNOT_RUN);
		if (try_once(stand, gateways, follower, routes, key, kill_ms))
			return stand_destroy(stand, STAND_BROKEN);
		if (++key == CALM_TRIAL_COUNT && !stand->trouble)
			break;
		if (!stand->trouble)
			continue;
		while (!stand_has_exited(gateways[follower]))
			stand_run(stand, 10);
		stand_start(gateways[follower]);
		if (!stand_wait_ready(gateways[follower], 10000))
			return stand_destroy(stand, STAND_CANNOT_RUN);
		core_pids[follower] = gateways[follower]->pid;
	}
	stand_record(stand, "%u keys were taken away", key);
	return stand_destroy(stand, STAND_HELD);
}
