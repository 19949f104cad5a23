/**
 * @file odd_id.c
 * A stream whose attempt id has a byte beyond ASCII runs on an engine that drains. Other callers
 * have requests open at the same instance, on kept connections.
 */
#include "callers.h"

#include "raw_caller.h"

#define CALLERS	     12
#define WARM_UP_MS   3000
#define WORK_MS	     150
#define WATCH_MS     6000
#define ENGINE_COUNT 4

/* The id as ISO 8859-1 has it; HTTP allows such bytes in a header. */
#define ODD_ID	 "caf\xe9-0001"
#define PLAIN_ID "cafe-0001"

int main(int argc, char **argv)
{
	struct common run = { 0 };
	struct mock_upstream *engines[ENGINE_COUNT];
	struct testbed_gateway *gateway;
	struct callers *callers;
	const struct callers_totals *totals;
	struct raw_caller odd;
	g_autofree char *request = NULL;
	bool drained = false;

	common_open(&run, argc, argv);
	common_configure(&run, 1, false);
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		g_autofree char *id = g_strdup_printf("engine-%u", i);

		engines[i] = common_upstream(&run, id, i % 2 ? "z2" : "z1", true, i, 50, 60);
	}
	common_upstream(&run, "shop-0", "z1", false, 20, WORK_MS, 0);
	common_upstream(&run, "shop-1", "z2", false, 21, WORK_MS, 0);
	gateway = common_gateway(&run, "gw-1", "z1", NULL);
	common_start(&run, gateway);
	callers = callers_create(&run, gateway, CALLERS, "/once/");
	totals = callers_totals(callers);
	callers_run(callers, WARM_UP_MS, NULL, NULL);
	common_record("warm-up: %u answered", totals->answered);
	common_need(&run, totals->answered > CALLERS, "callers are served");

	request = g_strdup_printf("POST /long/x HTTP/1.1\r\nHost: " TESTBED_HOST "\r\n"
				  "X-Flamingolatch-Attempt-Id: %s\r\n"
				  "X-Flamingolatch-Model: m\r\n"
				  "X-Flamingolatch-Token-Usage: 3000,2000\r\n"
				  "X-Flamingolatch-Deadline-Ms: 39000\r\n"
				  "Authorization: Bearer " TESTBED_KEY "\r\n"
				  "Content-Length: 2\r\n\r\n{}",
				  run.trouble ? ODD_ID : PLAIN_ID);
	odd = raw_caller_connect(gateway);
	raw_caller_send_text(&odd, request);
	callers_run(callers, 1000, NULL, NULL);
	raw_caller_read(&odd, 1 << 20);
	common_record("the stream has status %u, %zu bytes", raw_caller_status(&odd),
		      odd.input->len);
	common_need(&run, raw_caller_status(&odd) == 200, "the stream runs");
	for (uint32_t i = 0; i < ENGINE_COUNT; i++) {
		if (!mock_upstream_open_count(engines[i]))
			continue;
		drained = true;
		common_record("engine-%u, which runs the stream, drains", i);
		mock_upstream_drain(engines[i]);
	}
	common_need(&run, drained, "an engine runs the stream");
	callers_run(callers, WATCH_MS, NULL, NULL);
	callers_finish(callers);
	common_record("%u answered, %u refused, %u lost (allowed: 3), %u failed otherwise; the "
		      "process %s",
		      totals->answered, totals->refused, totals->lost, totals->other,
		      gateway->process ? "runs" : "has ended by itself");
	raw_caller_close(&odd);
	drained = totals->lost > 3;
	callers_destroy(callers);
	return common_close(&run, drained ? COMMON_BROKEN : COMMON_HELD);
}
