#include "callers.h"

#define STEP_MS	    5
#define DEADLINE_MS 3000

struct caller {
	struct testbed_answer answer;
	uint32_t answered; /* requests before this one on its connection */
	bool open;
};

struct callers {
	struct common *run;
	struct testbed_gateway *gateway;
	struct testbed_request request;
	struct caller *items;
	uint32_t count;
	struct callers_totals totals;
};

struct callers *callers_create(struct common *run, struct testbed_gateway *gateway, uint32_t count,
			       const char *path)
{
	struct callers *callers = g_new0(struct callers, 1);

	callers->run = run;
	callers->gateway = gateway;
	callers->request = (struct testbed_request){
		.path = path, .key = TESTBED_KEY, .wait_ms = DEADLINE_MS, .reuse_connection = true
	};
	callers->items = g_new0(struct caller, count);
	callers->count = count;
	return callers;
}

void callers_destroy(struct callers *callers)
{
	g_free(callers->items);
	g_free(callers);
}

static void callers_judge(struct callers *callers, struct caller *caller)
{
	struct mock_request_record record =
		mock_request_record(callers->run->platform, caller->answer.id);

	if (!caller->answer.broken) {
		callers->totals.answered += caller->answer.status == 200;
		callers->totals.refused += caller->answer.status == 503;
		caller->answered++;
	} else if (record.arrivals > 0 && caller->answer.status == 0 && caller->answered > 0) {
		callers->totals.lost++;
		common_record("lost: %s was passed on to %s, ran %u times, and its kept "
			      "connection ended without an answer",
			      caller->answer.id, record.upstream, record.executions);
		caller->answered = 0;
	} else {
		callers->totals.other++;
		caller->answered = 0;
	}
	testbed_answer_clear(&caller->answer);
	caller->open = false;
}

void callers_run(struct callers *callers, uint32_t ms, void (*step)(void *ctx), void *ctx)
{
	uint64_t until_ms = common_now_ms() + ms;

	while (common_now_ms() < until_ms && callers->gateway->process) {
		for (uint32_t i = 0; i < callers->count; i++) {
			struct caller *caller = &callers->items[i];

			if (caller->open && caller->answer.ended)
				callers_judge(callers, caller);
			if (caller->open || !callers->gateway->process ||
			    testbed_has_exited(callers->gateway))
				continue;
			testbed_begin(callers->gateway, &callers->request, &caller->answer);
			caller->open = true;
		}
		testbed_run(callers->run->testbed, STEP_MS);
		if (step)
			step(ctx);
	}
}

void callers_finish(struct callers *callers)
{
	testbed_run(callers->run->testbed, 300);
	for (uint32_t i = 0; i < callers->count; i++) {
		if (callers->items[i].open && callers->items[i].answer.ended)
			callers_judge(callers, &callers->items[i]);
	}
}

const struct callers_totals *callers_totals(const struct callers *callers)
{
	return &callers->totals;
}
