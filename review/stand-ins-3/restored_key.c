/**
 * @file restored_key.c
 * The store comes back from a copy that is some seconds old, without the revocation of a key. One
 * instance of six, the only one of its region, was killed before and starts again just then; the
 * five others know the revocation.
 */
#include "common.h"

#include <signal.h>

#define INSTANCES    6	  /* as on the site; one killed is within the share of 0.19 */
#define REVOKE_MS    5000 /* revoke_ms of the site file */
#define OLD_MS	     7500 /* age of the copy */
#define AWAY_MS	     600
#define LEAD_MS	     200 /* from the start of the instance to the return of the store */
#define REWRITE_MS   400 /* until the operator and the replicas have written again what was lost */
#define GAP_MS	     20	 /* between two requests with the key */
#define WATCH_MS     4000
#define MAX_REQUESTS 512

struct probe {
	struct testbed_answer answer;
	uint64_t since_ack_ms;
};

/* Sends a request with the revoked key. */
static void probe_send(struct testbed_gateway *gateway, struct probe *probe, uint64_t acked_ms)
{
	static const struct testbed_request request = { .path = "/once/",
							.key = TESTBED_OTHER_KEY,
							.wait_ms = 3000 };

	probe->since_ack_ms = common_now_ms() - acked_ms;
	testbed_begin(gateway, &request, &probe->answer);
}

int main(int argc, char **argv)
{
	struct common run = { 0 };
	struct testbed_gateway *gateways[INSTANCES];
	struct probe *probes = g_new0(struct probe, MAX_REQUESTS);
	struct probe first = { 0 };
	struct probe last = { 0 };
	uint32_t count = 0;
	uint32_t ran = 0;
	uint32_t denied = 0;
	uint32_t refused = 0;
	uint32_t others = 0;
	uint64_t acked_ms;
	uint64_t back_ms;
	uint64_t next_ms = 0;
	bool started = false;
	bool back = false;
	bool rewritten = false;

	common_open(&run, argc, argv);
	common_configure(&run, 1, true);
	common_upstream(&run, "shop-0", "z1", false, 0, 15, 0);
	common_upstream(&run, "shop-1", "z2", false, 1, 15, 0);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		g_autofree char *name = g_strdup_printf("gw-%u", i);

		gateways[i] =
			common_gateway(&run, name, i == 0 ? "z3" : (i <= 3 ? "z1" : "z2"), NULL);
		testbed_start(gateways[i]);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		common_need(&run, testbed_wait_ready(gateways[i], 15000), "the gateways are ready");
	testbed_run(run.testbed, 1000);
	probe_send(gateways[0], &first, 0);
	common_need(&run,
		    testbed_wait(run.testbed, &first.answer, 3000) && first.answer.status == 200,
		    "the key is accepted at first");
	mock_store_backup(run.platform);
	common_configure(&run, 2, false);
	acked_ms = common_now_ms();
	common_record("the store acknowledges version 2, which takes the key away; a copy was "
		      "made just before");
	testbed_run(run.testbed, OLD_MS - AWAY_MS - 400);
	probe_send(gateways[0], &last, acked_ms);
	common_need(&run,
		    testbed_wait(run.testbed, &last.answer, 3000) && last.answer.status == 401,
		    "the key is refused before the drill");
	common_record("gw-0 is killed");
	testbed_signal(gateways[0], SIGKILL);
	common_need(&run, testbed_wait_exit(gateways[0], 2000), "the process has ended");
	if (run.trouble) {
		common_record("the store is away");
		mock_store_set_mode(run.platform, MOCK_STORE_RESET);
	}
	back_ms = common_now_ms() + AWAY_MS;
	while (common_now_ms() < back_ms + WATCH_MS) {
		uint64_t now_ms = common_now_ms();

		if (!started && now_ms >= back_ms - LEAD_MS) {
			started = true;
			common_restart(gateways[0]);
			common_record("gw-0 starts again");
		}
		if (!back && now_ms >= back_ms) {
			back = true;
			if (run.trouble) {
				mock_store_restore(run.platform);
				mock_store_set_mode(run.platform, MOCK_STORE_HEALTHY);
				common_record("the store is back from the copy");
			}
		}
		if (!rewritten && now_ms >= back_ms + REWRITE_MS) {
			rewritten = true;
			if (run.trouble) {
				mock_store_rewrite(run.platform);
				common_record("version 2 is written again");
			}
		}
		if (started && now_ms >= next_ms && count < MAX_REQUESTS) {
			next_ms = now_ms + GAP_MS;
			probe_send(gateways[0], &probes[count++], acked_ms);
		}
		testbed_run(run.testbed, 2);
	}
	testbed_run(run.testbed, 1000);
	for (uint32_t i = 0; i < count; i++) {
		struct mock_request_record record =
			mock_request_record(run.platform, probes[i].answer.id);

		denied += probes[i].answer.status == 401;
		refused += probes[i].answer.status == 503;
		others += probes[i].answer.status == 0;
		if (record.executions == 0 || probes[i].since_ack_ms <= REVOKE_MS)
			continue;
		ran++;
		common_record("%s, sent %.3f s after the acknowledgement, ran at %s",
			      probes[i].answer.id, (double)probes[i].since_ack_ms / 1000.0,
			      record.upstream);
	}
	common_record("of %u requests with the key at gw-0 %u ran, %u got 401, %u got 503, %u met "
		      "no process",
		      count, ran, denied, refused, others);
	for (uint32_t i = 0; i < INSTANCES; i++)
		common_need(&run, !testbed_has_exited(gateways[i]), "no instance has ended");
	common_need(&run, denied > 0, "the instance serves at the end");
	return common_close(&run, ran > 0 ? COMMON_BROKEN : COMMON_HELD);
}
