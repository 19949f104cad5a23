/**
 * @file silent_bus.c
 * The connections between the instances go silent for good, without a reset, while new ones work.
 * Long after, requests with a part that crashes engines come at one instance after the other.
 */
#include "common.h"

#include "translator.h"

#include <stdlib.h>
#include <string.h>

#define INSTANCES      4
#define ENGINES	       8
#define ENGINE_BACK_MS 2500
#define WORK_MS	       40
#define PACE_MS	       25
#define TOKENS	       240
#define SOUND_GAP_MS   400 /* at each instance */
#define BAD_GAP_MS     500 /* at each instance */
#define SILENCE_MS     12000
#define BAD_MS	       22000
#define END_MS	       40000
#define BAD_PART       "bad0"
#define MAX_REQUESTS   1024
#define MAX_CRASHES    64

/* When requests with the part begin at each instance, after BAD_MS. */
static const uint32_t bad_from_ms[INSTANCES] = { 0, 4000, 9000, 13000 };

struct request {
	struct testbed_answer answer;
	uint32_t instance;
	bool bad;
	bool judged;
};

struct engine {
	struct mock_upstream *upstream;
	uint32_t starts;
	uint64_t back_ms; /* when it comes back; 0: it runs */
	bool crash_noted;
};

struct state {
	struct common run;
	struct testbed_gateway *gateways[INSTANCES];
	struct engine engines[ENGINES];
	struct request *requests;
	uint32_t request_count;
	uint64_t crashes_ms[MAX_CRASHES]; /* on the clock of the loop */
	uint32_t crash_count;
};

static void start_engine(struct state *state, uint32_t number)
{
	struct engine *engine = &state->engines[number];
	g_autofree char *id = g_strdup_printf("engine-%u", number);
	g_autofree char *ip =
		testbed_ip(state->run.testbed, 100 + number + ENGINES * (engine->starts++ % 16));
	struct mock_upstream_conf conf = { .id = id,
					   .service = TESTBED_ENGINE_SERVICE,
					   .zone = "z1",
					   .address = ip,
					   .engine = true,
					   .work_ms = WORK_MS,
					   .pace_ms = PACE_MS,
					   .crash_part = BAD_PART };

	engine->upstream = mock_upstream_create(state->run.platform, &conf);
	engine->back_ms = 0;
	engine->crash_noted = false;
	mock_upstream_list(engine->upstream);
}

static void check_engines(struct state *state)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		struct engine *engine = &state->engines[i];

		if (!mock_upstream_crashed_ms(engine->upstream))
			continue;
		if (!engine->crash_noted) {
			engine->crash_noted = true;
			engine->back_ms = common_now_ms() + ENGINE_BACK_MS;
			if (state->crash_count < MAX_CRASHES)
				state->crashes_ms[state->crash_count++] =
					mock_upstream_crashed_ms(engine->upstream);
			common_record("crash %u: engine-%u", state->crash_count, i);
		} else if (common_now_ms() >= engine->back_ms) {
			start_engine(state, i);
		}
	}
}

static void send_request(struct state *state, uint32_t instance, bool bad)
{
	struct request *request = &state->requests[state->request_count];
	g_autofree char *parts = NULL;
	struct testbed_request conf = { .path = "/long/",
					.key = TESTBED_KEY,
					.output_tokens = TOKENS,
					.prompt_tokens = 1000,
					.wait_ms = 39000 };

	if (state->request_count == MAX_REQUESTS)
		return;
	parts = g_strdup_printf("a1:50,%s:30,%x:20", bad ? BAD_PART : "c1",
				0x1000 + state->request_count);
	conf.prompt_parts = parts;
	state->request_count++;
	request->instance = instance;
	request->bad = bad;
	testbed_begin(state->gateways[instance], &conf, &request->answer);
}

/* Records how many live instances each instance knows, itself included. */
static void record_members(struct state *state)
{
	for (uint32_t i = 0; i < INSTANCES; i++) {
		g_autofree char *text = testbed_get(state->run.testbed,
						    state->gateways[i]->metrics_address, "/state");
		const char *at = strstr(text, "\"instances\":");

		common_record("gw-%u knows %lu live instances", i,
			      at ? strtoul(at + strlen("\"instances\":"), NULL, 10) : 0);
	}
}

int main(int argc, char **argv)
{
	struct state state = { 0 };
	struct translator *translator;
	uint64_t sound_ms[INSTANCES] = { 0 };
	uint64_t bad_ms[INSTANCES] = { 0 };
	uint64_t begin_ms;
	bool silenced = false;
	uint32_t late = 0;
	uint32_t bad_count = 0;
	uint32_t bad_arrived = 0;
	uint32_t cut = 0;
	uint32_t sound = 0;
	uint32_t by_instance[INSTANCES] = { 0 };

	common_open(&state.run, argc, argv);
	state.requests = g_new0(struct request, MAX_REQUESTS);
	common_configure(&state.run, 1, false);
	translator = translator_create(state.run.testbed, INSTANCES);
	for (uint32_t i = 0; i < ENGINES; i++)
		start_engine(&state, i);
	for (uint32_t i = 0; i < INSTANCES; i++) {
		g_autofree char *name = g_strdup_printf("gw-%u", i);

		state.gateways[i] = common_gateway(&state.run, name, "z1",
						   translator_store_address(translator, i));
		testbed_start(state.gateways[i]);
	}
	for (uint32_t i = 0; i < INSTANCES; i++)
		common_need(&state.run, testbed_wait_ready(state.gateways[i], 15000),
			    "the gateways are ready");
	begin_ms = common_now_ms();
	common_record("%u instances are ready, %u bus connections were opened", INSTANCES,
		      translator_opened(translator));
	while (common_now_ms() - begin_ms < END_MS) {
		uint64_t now_ms = common_now_ms() - begin_ms;

		if (!silenced && now_ms >= SILENCE_MS) {
			silenced = true;
			record_members(&state);
			if (state.run.trouble)
				common_record("%u bus connections go silent for good",
					      translator_silence(translator));
		}
		for (uint32_t i = 0; i < INSTANCES; i++) {
			if (now_ms >= sound_ms[i]) {
				sound_ms[i] = now_ms + SOUND_GAP_MS;
				send_request(&state, i, false);
			}
			if (now_ms >= BAD_MS + bad_from_ms[i] && now_ms >= bad_ms[i]) {
				if (!bad_ms[i])
					common_record("requests with the part begin at gw-%u", i);
				bad_ms[i] = now_ms + BAD_GAP_MS;
				send_request(&state, i, true);
			}
		}
		testbed_run(state.run.testbed, 5);
		check_engines(&state);
	}
	record_members(&state);
	testbed_run(state.run.testbed, 1500);
	for (uint32_t i = 0; i < state.request_count; i++) {
		struct request *request = &state.requests[i];
		struct mock_request_record record =
			mock_request_record(state.run.platform, request->answer.id);

		if (!request->bad) {
			sound++;
			cut += record.broke_off;
			continue;
		}
		bad_count++;
		bad_arrived += record.arrivals > 0;
		if (record.arrivals == 0 || state.crash_count < 5 ||
		    record.arrived_ms <= state.crashes_ms[4] + COMMON_CONTACT_MS)
			continue;
		late++;
		by_instance[request->instance]++;
		common_record("late: %s, sent to gw-%u, reached %s %.1f s after the fifth crash",
			      request->answer.id, request->instance, record.upstream,
			      (double)(record.arrived_ms - state.crashes_ms[4]) / 1000.0);
	}
	common_record("%u bus connections were opened in all", translator_opened(translator));
	common_record("%u requests with the part, %u reached an engine, %u crashes; of %u sound "
		      "streams %u were cut by a crash",
		      bad_count, bad_arrived, state.crash_count, sound, cut);
	common_record("later than %d ms after the fifth crash: %u (allowed: 3)", COMMON_CONTACT_MS,
		      late);
	for (uint32_t i = 0; i < INSTANCES; i++)
		common_need(&state.run, !testbed_has_exited(state.gateways[i]),
			    "no instance has ended");
	return common_close(&state.run, late > 3 ? COMMON_BROKEN : COMMON_HELD);
}
