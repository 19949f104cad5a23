#include "uneven_world.h"

#include "engine_model.h"

#include "flamingolatch/placement.h"
#include "flamingolatch/upstream_speed.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MS	       1000ULL
#define SECOND	       (1000 * MS)
#define ZONE_COUNT     6
#define REGION_ZONES   3
#define MAX_INSTANCES  80
#define MAX_UPSTREAMS  64
#define SERVICE_COUNT  2
#define ENGINES	       0 /* services */
#define PLAIN	       1
#define NOISE_US       (600 * MS)
#define SLOW_SHARE     0.15
#define SLOW_FACTOR    2.5
#define KV_TOKENS      26856
#define ENGINE_SLOTS   24
#define PLAIN_SLOTS    6
#define PLAIN_US       (60 * MS)
#define REGION_US      (60 * MS) /* way to another region and back */
#define RETRY_US       (20 * MS)
#define WAIT_US	       (300 * MS)
#define ZONE_LAG_US    (100 * MS)
#define SPEED_TICK_US  (250 * MS)
#define SPEED_ZONE_US  (500 * MS)
#define SPEED_TOTAL_US (1000 * MS)
#define DEMAND_SWING   0.55
#define DEMAND_US      (17 * SECOND)
#define EVENT_TOKENS   4
#define SAMPLE_TOKENS  (8 * EVENT_TOKENS)

struct world;

struct kind {
	double rate_per_s;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	uint64_t objective_us;
	uint64_t priority;
};

static const struct kind kinds[] = {
	{ 21.3, 3000, 752, 1800 * MS, 9 },
	{ 24.0, 2200, 8, 1500 * MS, 8 },
	{ 126.0, 0, 0, 400 * MS, 0 },
};

enum {
	KIND_LONG,
	KIND_SHORT,
	KIND_CALL,
	KIND_COUNT
};

struct load {
	uint32_t open;
	uint64_t kv_tokens;
	uint64_t kv_used_tokens;
	uint64_t prefill_tokens;
};

struct upstream {
	struct world *world;
	uint32_t service;
	uint32_t index;
	uint32_t zone;
	uint32_t incarnation;
	double speed;
	bool slow;
	double work_ms; /* measured, at nominal speed */
	double busy_ms; /* the same divided by the speed */
	/* an engine */
	struct engine_model *model;
	GPtrArray *token_due;
	bool stepping;
	/* an upstream of the plain service */
	GQueue waiting;
	uint32_t running;
};

struct report {
	struct upstream_speed_report speed;
	uint32_t incarnation;
};

struct instance {
	struct world *world;
	uint32_t index;
	uint32_t zone;
	struct load own[SERVICE_COUNT][MAX_UPSTREAMS];
	struct load known[SERVICE_COUNT][MAX_UPSTREAMS]; /* own, as its zone knows it */
	struct upstream_speed_service model[SERVICE_COUNT];
	struct upstream_speed speeds[SERVICE_COUNT][MAX_UPSTREAMS];
	uint32_t incarnations[SERVICE_COUNT][MAX_UPSTREAMS]; /* that the speeds are of */
	struct report reports[SERVICE_COUNT][MAX_UPSTREAMS];
	uint64_t reported_us;
};

struct zone {
	struct world *world;
	uint32_t index;
	struct load near[SERVICE_COUNT][MAX_UPSTREAMS]; /* as its instances know it */
	struct load far[SERVICE_COUNT][MAX_UPSTREAMS];	/* as other zones know it */
	struct report totals[SERVICE_COUNT][MAX_UPSTREAMS];
	uint64_t totals_us;
	uint32_t next_member;
};

struct request {
	struct world *world;
	uint32_t kind;
	struct instance *instance;
	struct upstream *up;
	uint32_t prompt;
	uint32_t output;
	uint32_t produced;
	uint64_t arrived_us;
	uint64_t sent_us;
	uint64_t sample_us;
	uint32_t expected_ms;
	uint32_t open; /* at the upstream when it was sent */
	uint32_t incarnation;
	uint64_t used_tokens;
	bool finished;
};

struct event {
	uint64_t at_us;
	uint64_t order;
	void (*cb)(void *arg);
	void *arg;
};

struct world {
	const struct uneven_config *config;
	GArray *events; /* binary heap */
	uint64_t next_order;
	uint64_t now_us;
	GRand *arrivals;
	GRand *noise;
	GRand *choices;
	uint32_t count[SERVICE_COUNT];
	struct upstream ups[SERVICE_COUNT][MAX_UPSTREAMS];
	struct instance instances[MAX_INSTANCES];
	struct zone zones[ZONE_COUNT];
	struct kind_source {
		struct world *world;
		uint32_t kind;
	} sources[KIND_COUNT];
	GArray *times_ms[KIND_COUNT];
	uint32_t late[KIND_COUNT];
	uint32_t refused[KIND_COUNT];
	GHashTable *requests; /* set of all under way */
	struct uneven_result *out;
};

/* events */

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void schedule(struct world *world, uint64_t at_us, void (*cb)(void *arg), void *arg)
{
	struct event event = { at_us, world->next_order++, cb, arg };
	guint i = world->events->len;
	struct event *events;

	g_array_append_val(world->events, event);
	events = (struct event *)(void *)world->events->data;
	while (i > 0 && event_before(&event, &events[(i - 1) / 2])) {
		events[i] = events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	events[i] = event;
}

static struct event pop_event(struct world *world)
{
	struct event *events = (struct event *)(void *)world->events->data;
	struct event first = events[0];
	struct event last = events[world->events->len - 1];
	guint len = world->events->len - 1;
	guint i = 0;

	g_array_set_size(world->events, len);
	while (2 * i + 1 < len) {
		guint child = 2 * i + 1;

		if (child + 1 < len && event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[i] = events[child];
		i = child;
	}
	if (len)
		events[i] = last;
	return first;
}

/* views */

static uint32_t distance(uint32_t zone_a, uint32_t zone_b)
{
	if (zone_a == zone_b)
		return 0;
	return zone_a / REGION_ZONES == zone_b / REGION_ZONES ? 1 : 2;
}

static void load_add(struct load *sum, const struct load *load, int sign)
{
	sum->open += (uint32_t)(sign * (int)load->open);
	sum->kv_tokens += (uint64_t)(sign * (int64_t)load->kv_tokens);
	sum->kv_used_tokens += (uint64_t)(sign * (int64_t)load->kv_used_tokens);
	sum->prefill_tokens += (uint64_t)(sign * (int64_t)load->prefill_tokens);
}

/* Returns the load of an upstream as an instance knows it. */
static struct load view(const struct instance *instance, const struct upstream *up)
{
	const struct world *world = instance->world;
	struct load sum = instance->own[up->service][up->index];

	load_add(&sum, &world->zones[instance->zone].near[up->service][up->index], 1);
	load_add(&sum, &instance->known[up->service][up->index], -1);
	for (uint32_t zone = 0; zone < ZONE_COUNT; zone++) {
		if (zone != instance->zone)
			load_add(&sum, &world->zones[zone].far[up->service][up->index], 1);
	}
	return sum;
}

static void on_zone_views(void *arg)
{
	struct zone *zone = arg;
	struct world *world = zone->world;

	memset(zone->near, 0, sizeof(zone->near));
	for (uint32_t i = 0; i < world->config->instances; i++) {
		struct instance *instance = &world->instances[i];

		if (instance->zone != zone->index)
			continue;
		memcpy(instance->known, instance->own, sizeof(instance->known));
		for (uint32_t s = 0; s < SERVICE_COUNT; s++) {
			for (uint32_t u = 0; u < world->count[s]; u++)
				load_add(&zone->near[s][u], &instance->own[s][u], 1);
		}
	}
	schedule(world, world->now_us + ZONE_LAG_US, on_zone_views, zone);
}

static void on_far_views(void *arg)
{
	struct zone *zone = arg;

	memcpy(zone->far, zone->near, sizeof(zone->far));
	schedule(zone->world,
		 zone->world->now_us +
			 (uint64_t)g_rand_int_range(zone->world->choices, 500, 1000) * MS,
		 on_far_views, zone);
}

/* speeds */

/* A new incarnation starts without speeds. */
static struct upstream_speed *speed_of(struct instance *instance, const struct upstream *up)
{
	struct upstream_speed *speed = &instance->speeds[up->service][up->index];

	if (instance->incarnations[up->service][up->index] != up->incarnation) {
		*speed = (struct upstream_speed){ 0 };
		instance->incarnations[up->service][up->index] = up->incarnation;
	}
	return speed;
}

static void add_sample(const struct request *req, enum upstream_speed_kind kind, double observed_us,
		       double expected_us)
{
	struct instance *instance = req->instance;

	if (req->world->config->policy == UNEVEN_LEARNED &&
	    req->incarnation == req->up->incarnation && distance(instance->zone, req->up->zone) < 2)
		upstream_speed_add(&instance->model[req->up->service], speed_of(instance, req->up),
				   kind, observed_us, expected_us, req->world->now_us);
}

static void add_report(struct instance *instance, struct upstream *up, const struct report *report,
		       uint64_t received_us, enum upstream_speed_source kind)
{
	if (report->incarnation == up->incarnation)
		upstream_speed_add_report(&instance->model[up->service], speed_of(instance, up),
					  &report->speed, received_us, kind,
					  instance->world->now_us);
}

static void update_speeds(struct instance *instance, uint32_t service)
{
	struct world *world = instance->world;
	struct upstream_speed *all[MAX_UPSTREAMS];

	for (uint32_t u = 0; u < world->count[service]; u++) {
		struct upstream *up = &world->ups[service][u];

		all[u] = speed_of(instance, up);
		upstream_speed_begin(all[u], world->now_us);
		for (uint32_t i = 0; i < world->config->instances; i++) {
			const struct instance *other = &world->instances[i];

			if (i != instance->index && other->zone == instance->zone)
				add_report(instance, up, &other->reports[service][u],
					   other->reported_us, UPSTREAM_SPEED_MEMBER);
		}
		upstream_speed_end_zone(all[u]);
		for (uint32_t z = 0; z < ZONE_COUNT; z++) {
			if (z != instance->zone)
				add_report(instance, up, &world->zones[z].totals[service][u],
					   world->zones[z].totals_us, UPSTREAM_SPEED_ZONE);
		}
	}
	upstream_speed_finish(&instance->model[service], all, world->count[service],
			      world->config->min_spread, world->now_us);
	for (uint32_t u = 0; u < world->count[service]; u++) {
		if (all[u]->factor < UPSTREAM_SPEED_MIN || all[u]->factor > UPSTREAM_SPEED_MAX)
			world->out->factor_out_of_bounds = true;
	}
}

static void note_in_effect(struct world *world)
{
	uint32_t in_effect = 0;

	for (uint32_t i = 0; i < world->config->instances; i++)
		in_effect += world->instances[i].model[ENGINES].in_effect;
	if (world->out->in_effect_us == UINT64_MAX && in_effect * 2 > world->config->instances)
		world->out->in_effect_us = world->now_us;
}

static void on_speed_tick(void *arg)
{
	struct instance *instance = arg;

	for (uint32_t s = 0; s < SERVICE_COUNT; s++)
		update_speeds(instance, s);
	note_in_effect(instance->world);
	schedule(instance->world, instance->world->now_us + SPEED_TICK_US, on_speed_tick, instance);
}

/* A wrong peer claims that slow upstreams are fast, and to know it well. */
static void make_wrong(struct upstream_speed_report *report, double median)
{
	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
		struct upstream_speed_sum *sum = &report->sums[kind];
		double mean = sum->weight > 0.0 ? sum->log_sum / sum->weight : 0.0;

		sum->log_sum = 1000.0 * (median - 3.0 * (mean - median));
		sum->weight = sum->weight > 0.0 ? 1000.0 : 0.0;
	}
}

static void on_speed_report(void *arg)
{
	struct instance *instance = arg;
	struct world *world = instance->world;
	bool stale =
		instance->index >= world->config->wrong_instances &&
		instance->index < world->config->wrong_instances + world->config->stale_instances &&
		world->now_us > world->config->warmup_us / 2;

	instance->reported_us = world->now_us;
	for (uint32_t s = 0; s < SERVICE_COUNT && !stale; s++) {
		world->out->messages += instance->model[s].in_effect;
		for (uint32_t u = 0; u < world->count[s]; u++) {
			struct report *report = &instance->reports[s][u];
			const struct upstream_speed_service *model = &instance->model[s];

			*report = (struct report){ .speed = instance->speeds[s][u].own,
						   .incarnation = instance->incarnations[s][u] };
			if (!model->in_effect)
				report->speed = (struct upstream_speed_report){ 0 };
			if (instance->index < world->config->wrong_instances)
				make_wrong(&report->speed,
					   model->median[s == PLAIN ? UPSTREAM_SPEED_CALL
								    : UPSTREAM_SPEED_EVENT_GAP]);
		}
	}
	schedule(world, world->now_us + SPEED_ZONE_US, on_speed_report, instance);
}

/* The members of a zone tell its totals in turn. */
static void on_speed_totals(void *arg)
{
	struct zone *zone = arg;
	struct world *world = zone->world;
	struct instance *instance = NULL;

	while (!instance) {
		uint32_t i = zone->next_member++ % world->config->instances;

		if (world->instances[i].zone == zone->index)
			instance = &world->instances[i];
	}
	zone->totals_us = world->now_us;
	for (uint32_t s = 0; s < SERVICE_COUNT; s++) {
		for (uint32_t u = 0; u < world->count[s]; u++) {
			zone->totals[s][u] =
				(struct report){ .speed = instance->speeds[s][u].zone,
						 .incarnation = instance->incarnations[s][u] };
			if (!instance->model[s].in_effect)
				zone->totals[s][u].speed = (struct upstream_speed_report){ 0 };
		}
	}
	schedule(world, world->now_us + SPEED_TOTAL_US, on_speed_totals, zone);
}

/* requests */

static bool is_measured(const struct request *req)
{
	return req->arrived_us >= req->world->config->warmup_us &&
	       req->arrived_us < req->world->config->duration_us;
}

static struct load *own_load(const struct request *req)
{
	return &req->instance->own[req->up->service][req->up->index];
}

static void set_used(struct request *req, uint64_t tokens)
{
	own_load(req)->kv_used_tokens += tokens - req->used_tokens;
	req->used_tokens = tokens;
}

static void note_time(struct request *req)
{
	uint64_t elapsed_us = req->world->now_us - req->arrived_us;
	double ms = (double)elapsed_us / 1000.0;

	if (!is_measured(req))
		return;
	g_array_append_val(req->world->times_ms[req->kind], ms);
	req->world->late[req->kind] += elapsed_us > kinds[req->kind].objective_us;
}

static void request_free(struct request *req)
{
	g_hash_table_remove(req->world->requests, req);
}

static void request_end(struct request *req)
{
	struct load *own = own_load(req);

	own->open--;
	if (req->kind != KIND_CALL) {
		set_used(req, 0);
		own->kv_tokens -= req->prompt + kinds[req->kind].output_tokens;
	}
	request_free(req);
}

static void on_token(struct request *req)
{
	uint32_t open = view(req->instance, req->up).open;

	if (req->produced++ == 0) {
		note_time(req);
		own_load(req)->prefill_tokens -= req->prompt;
		if (req->expected_ms >= 50)
			add_sample(req, UPSTREAM_SPEED_FIRST_EVENT,
				   (double)(req->world->now_us - req->sent_us),
				   req->expected_ms * 1000.0);
		req->sample_us = req->world->now_us;
		set_used(req, req->prompt);
	} else if ((req->produced - 1) % SAMPLE_TOKENS == 0) {
		add_sample(req, UPSTREAM_SPEED_EVENT_GAP,
			   (double)(req->world->now_us - req->sample_us),
			   1000.0 * SAMPLE_TOKENS / EVENT_TOKENS * (1.0 + 0.017 * open));
		req->sample_us = req->world->now_us;
		set_used(req, req->prompt + req->produced);
	}
}

/* engines */

static void engine_on_token(void *ctx, void *user, uint64_t offset, bool last)
{
	struct upstream *up = ctx;
	struct request *req = user;

	(void)offset;
	req->finished = last;
	g_ptr_array_add(up->token_due, req);
}

static const struct engine_model_events engine_ops = { engine_on_token, NULL, NULL };

static double pace(const struct upstream *up)
{
	return (up->slow ? SLOW_FACTOR : 1.0) / up->speed;
}

static void engine_step(void *arg)
{
	struct upstream *up = arg;
	GPtrArray *due = up->token_due;
	uint64_t step_us;

	up->token_due = g_ptr_array_new();
	for (guint i = 0; i < due->len; i++) {
		struct request *req = due->pdata[i];

		on_token(req);
		if (req->finished)
			request_end(req);
	}
	g_ptr_array_free(due, TRUE);
	step_us = engine_model_step(up->model);
	up->stepping = step_us > 0;
	if (up->stepping)
		schedule(up->world, up->world->now_us + (uint64_t)((double)step_us * pace(up)),
			 engine_step, up);
}

static void count_work(const struct request *req, double ms)
{
	if (!is_measured(req))
		return;
	req->up->work_ms += ms;
	req->up->busy_ms += ms / req->up->speed;
}

static void send_stream(struct request *req, struct upstream *up, uint32_t expected_ms)
{
	struct engine_model_job_spec job = { .prompt_tokens = req->prompt,
					     .output_tokens = req->output,
					     .priority = kinds[req->kind].priority,
					     .user = req };
	struct load *own;

	req->up = up;
	req->incarnation = up->incarnation;
	req->sent_us = req->world->now_us;
	req->expected_ms = expected_ms;
	own = own_load(req);
	own->open++;
	own->kv_tokens += req->prompt + kinds[req->kind].output_tokens;
	own->prefill_tokens += req->prompt;
	/* Time that it takes of an engine which runs eight at once. */
	count_work(req, req->prompt / 14.0 + req->output * 8.0 / 8.0);
	engine_model_submit(up->model, &job);
	if (!up->stepping) {
		up->stepping = true;
		schedule(req->world, req->world->now_us, engine_step, up);
	}
}

static int32_t least_open(struct world *world, const struct instance *instance, uint32_t service)
{
	int32_t best = PLACEMENT_NONE;
	double best_open = 0.0;

	for (uint32_t u = 0; u < world->count[service]; u++) {
		double open = view(instance, &world->ups[service][u]).open +
			      0.5 * g_rand_double(world->choices);

		if (best == PLACEMENT_NONE || open < best_open) {
			best = (int32_t)u;
			best_open = open;
		}
	}
	return best;
}

static double used_speed(struct instance *instance, const struct upstream *up)
{
	return instance->world->config->policy == UNEVEN_LEARNED
		       ? upstream_speed_factor(speed_of(instance, up))
		       : 1.0;
}

static void place_stream(void *arg)
{
	struct request *req = arg;
	struct world *world = req->world;
	struct placement_engine engines[MAX_UPSTREAMS];
	uint64_t waited_us = world->now_us - req->arrived_us;
	uint64_t objective_us = kinds[req->kind].objective_us;
	struct placement_request need = {
		.prompt_tokens = req->prompt,
		.output_tokens = kinds[req->kind].output_tokens,
		.stale_ms = 600,
		.jitter_seed = g_rand_int(world->choices),
		.first_event_left_ms = (uint32_t)((objective_us - waited_us) / MS),
	};
	bool ignored = upstream_speed_ignores(g_rand_int(world->choices));
	int32_t best;

	for (uint32_t u = 0; u < world->count[ENGINES]; u++) {
		const struct upstream *up = &world->ups[ENGINES][u];
		struct load load = view(req->instance, up);

		engines[u] = (struct placement_engine){
			.kv_tokens = KV_TOKENS,
			.expected_kv_tokens = load.kv_tokens,
			.used_kv_tokens = load.kv_used_tokens,
			.prefill_tokens = load.prefill_tokens,
			.slots = ENGINE_SLOTS,
			.open = load.open,
			.distance = distance(req->instance->zone, up->zone),
			.speed = ignored ? 1.0 : used_speed(req->instance, up),
			.usable = true,
		};
	}
	best = world->config->policy == UNEVEN_LEAST_OPEN
		       ? least_open(world, req->instance, ENGINES)
		       : placement_select_engine(&placement_default_params, &need, engines,
						 world->count[ENGINES]);
	if (best != PLACEMENT_NONE && world->config->policy != UNEVEN_LEAST_OPEN &&
	    placement_late_ms(&placement_default_params, &need, &engines[best]) > 0)
		best = PLACEMENT_NONE;
	if (best != PLACEMENT_NONE) {
		engines[best].speed = 1.0;
		send_stream(
			req, &world->ups[ENGINES][best],
			placement_first_event_ms(&placement_default_params, &need, &engines[best]));
	} else if (waited_us < WAIT_US) {
		schedule(world, world->now_us + RETRY_US, place_stream, req);
	} else {
		world->refused[req->kind] += is_measured(req);
		request_free(req);
	}
}

/* plain service */

static void on_call_answered(void *arg)
{
	struct request *req = arg;

	note_time(req);
	add_sample(req, UPSTREAM_SPEED_CALL, (double)(req->world->now_us - req->sent_us),
		   1000.0 * MAX((double)req->open / PLAIN_SLOTS, 1.0));
	request_end(req);
}

static void start_call(struct request *req);

static void on_call_done(void *arg)
{
	struct request *req = arg;
	struct upstream *up = req->up;
	struct request *next = g_queue_pop_head(&up->waiting);
	uint64_t way_us = distance(req->instance->zone, up->zone) == 2 ? REGION_US : 0;

	up->running--;
	if (next)
		start_call(next);
	schedule(req->world, req->world->now_us + way_us, on_call_answered, req);
}

static void start_call(struct request *req)
{
	req->up->running++;
	schedule(req->world,
		 req->world->now_us + (uint64_t)((double)PLAIN_US * pace(req->up) *
						 g_rand_double_range(req->world->noise, 0.8, 1.2)),
		 on_call_done, req);
}

static void place_call(struct request *req)
{
	struct world *world = req->world;
	struct placement_upstream ups[MAX_UPSTREAMS];
	bool ignored = upstream_speed_ignores(g_rand_int(world->choices));
	int32_t best;

	for (uint32_t u = 0; u < world->count[PLAIN]; u++) {
		const struct upstream *up = &world->ups[PLAIN][u];

		ups[u] = (struct placement_upstream){
			.slots = PLAIN_SLOTS,
			.open = view(req->instance, up).open,
			.distance = distance(req->instance->zone, up->zone),
			.speed = ignored ? 1.0 : used_speed(req->instance, up),
			.connected = true,
			.usable = true,
		};
	}
	best = world->config->policy == UNEVEN_LEAST_OPEN
		       ? least_open(world, req->instance, PLAIN)
		       : placement_select_upstream(ups, world->count[PLAIN],
						   g_rand_int(world->choices));
	if (best == PLACEMENT_NONE) {
		world->refused[req->kind] += is_measured(req);
		request_free(req);
		return;
	}
	req->up = &world->ups[PLAIN][best];
	req->incarnation = req->up->incarnation;
	req->sent_us = world->now_us;
	req->open = ups[best].open + 1;
	own_load(req)->open++;
	count_work(req, (double)PLAIN_US / 1000.0);
	if (req->up->running < PLAIN_SLOTS)
		start_call(req);
	else
		g_queue_push_tail(&req->up->waiting, req);
}

/* arrivals and changes */

/* Selects a zone; the demand of each swings with another phase. */
static uint32_t draw_zone(struct world *world)
{
	while (true) {
		uint32_t zone = (uint32_t)g_rand_int_range(world->arrivals, 0, ZONE_COUNT);
		double phase =
			2.0 * G_PI *
			((double)world->now_us / (double)DEMAND_US + (double)zone / ZONE_COUNT);

		if (g_rand_double(world->arrivals) * (1.0 + DEMAND_SWING) <
		    1.0 + DEMAND_SWING * sin(phase))
			return zone;
	}
}

static void on_arrival(void *arg)
{
	struct kind_source *source = arg;
	struct world *world = source->world;
	const struct kind *kind = &kinds[source->kind];
	struct request *req = g_new0(struct request, 1);
	uint32_t zone = draw_zone(world);
	double interval_s = -log(g_rand_double_range(world->arrivals, 1e-12, 1.0)) /
			    (kind->rate_per_s * world->config->load);

	g_hash_table_add(world->requests, req);
	req->world = world;
	req->kind = source->kind;
	req->arrived_us = world->now_us;
	req->prompt =
		(uint32_t)(kind->prompt_tokens * g_rand_double_range(world->arrivals, 0.8, 1.2));
	req->output = MAX(
		(uint32_t)(kind->output_tokens * g_rand_double_range(world->arrivals, 0.7, 1.3)),
		1);
	do {
		req->instance = &world->instances[g_rand_int_range(
			world->arrivals, 0, (gint32)world->config->instances)];
	} while (req->instance->zone != zone);
	if (source->kind == KIND_CALL)
		place_call(req);
	else
		place_stream(req);
	schedule(world, world->now_us + (uint64_t)(interval_s * 1e6), on_arrival, source);
}

static void on_noise(void *arg)
{
	struct upstream *up = arg;

	up->slow = g_rand_double(up->world->noise) < SLOW_SHARE;
	schedule(up->world, up->world->now_us + NOISE_US, on_noise, up);
}

/* Starts upstreams again, with the speed of the next third. */
static void restart(struct world *world, uint32_t first, uint32_t interval)
{
	for (uint32_t s = 0; s < SERVICE_COUNT; s++) {
		for (uint32_t u = first; u < world->count[s]; u += interval) {
			struct upstream *up = &world->ups[s][u];

			up->incarnation++;
			up->speed =
				world->config
					->speeds[(u + up->incarnation) % UNEVEN_WORLD_SPEED_COUNT];
		}
	}
}

static void on_restart(void *arg)
{
	restart(arg, 0, 1);
}

static void on_restart_some(void *arg)
{
	struct world *world = arg;

	restart(world, (uint32_t)(world->now_us / world->config->restart_some_us) % 6, 6);
	schedule(world, world->now_us + world->config->restart_some_us, on_restart_some, world);
}

/* run */

static void upstream_init(struct world *world, uint32_t service, uint32_t index)
{
	struct engine_model_conf conf = { .kv_tokens = KV_TOKENS,
					  .max_batch = ENGINE_SLOTS,
					  .step_base_us = 7000,
					  .step_job_ns = 120000,
					  .prefill_token_ns = 71429,
					  .prefill_chunk_tokens = 512,
					  .readmit_free_percent = 2,
					  .block_tokens = 64 };
	struct upstream *up = &world->ups[service][index];

	up->world = world;
	up->service = service;
	up->index = index;
	/* Each zone has upstreams of all speeds. */
	up->zone = index * ZONE_COUNT / world->count[service];
	up->speed = world->config->speeds[index % UNEVEN_WORLD_SPEED_COUNT];
	if (service == ENGINES) {
		up->token_due = g_ptr_array_new();
		up->model = engine_model_create(&conf, &engine_ops, up);
	}
	schedule(world, (uint64_t)g_rand_int_range(world->noise, 0, (gint32)NOISE_US), on_noise,
		 up);
}

static void world_init(struct world *world, const struct uneven_config *config)
{
	world->config = config;
	world->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	world->arrivals = g_rand_new_with_seed(config->seed);
	world->noise = g_rand_new_with_seed(config->seed + 1000);
	world->choices = g_rand_new_with_seed(config->seed + 2000);
	world->requests = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	world->count[ENGINES] = config->engines;
	world->count[PLAIN] = config->plain_upstreams;
	for (uint32_t s = 0; s < SERVICE_COUNT; s++) {
		for (uint32_t u = 0; u < world->count[s]; u++)
			upstream_init(world, s, u);
	}
	for (uint32_t z = 0; z < ZONE_COUNT; z++) {
		world->zones[z] = (struct zone){ .world = world, .index = z };
		schedule(world, 0, on_zone_views, &world->zones[z]);
		schedule(world, z * 90 * MS, on_far_views, &world->zones[z]);
		schedule(world, z * 110 * MS, on_speed_totals, &world->zones[z]);
	}
	for (uint32_t i = 0; i < config->instances; i++) {
		world->instances[i].world = world;
		world->instances[i].index = i;
		world->instances[i].zone = i % ZONE_COUNT;
		if (config->policy != UNEVEN_LEARNED)
			continue;
		schedule(world, i * 4 * MS, on_speed_tick, &world->instances[i]);
		schedule(world, i * 8 * MS, on_speed_report, &world->instances[i]);
	}
	for (uint32_t k = 0; k < KIND_COUNT; k++) {
		world->times_ms[k] = g_array_new(FALSE, FALSE, sizeof(double));
		world->sources[k] = (struct kind_source){ world, k };
		schedule(world, 0, on_arrival, &world->sources[k]);
	}
	if (config->restart_us)
		schedule(world, config->restart_us, on_restart, world);
	if (config->restart_some_us)
		schedule(world, config->restart_some_us, on_restart_some, world);
}

static gint compare_double(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static void measure_kind(const struct world *world, uint32_t kind, struct uneven_class_result *out)
{
	GArray *times_ms = world->times_ms[kind];

	g_array_sort(times_ms, compare_double);
	out->count = times_ms->len + world->refused[kind];
	out->late = world->late[kind] + world->refused[kind];
	if (times_ms->len == 0)
		return;
	out->p50_ms = g_array_index(times_ms, double, times_ms->len / 2);
	out->p99_ms = g_array_index(times_ms, double, (guint)(0.99 * (times_ms->len - 1)));
}

static double busiest(const struct world *world, uint32_t service)
{
	double total = 0.0;
	double most = 0.0;

	for (uint32_t u = 0; u < world->count[service]; u++) {
		total += world->ups[service][u].busy_ms;
		most = fmax(most, world->ups[service][u].busy_ms);
	}
	return most / fmax(total / world->count[service], 1e-9);
}

static double factor_error(struct world *world)
{
	double speeds[UNEVEN_WORLD_SPEED_COUNT];
	double sum = 0.0;

	memcpy(speeds, world->config->speeds, sizeof(speeds));
	qsort(speeds, UNEVEN_WORLD_SPEED_COUNT, sizeof(*speeds), compare_double);
	for (uint32_t i = 0; i < world->config->instances; i++) {
		for (uint32_t u = 0; u < world->count[ENGINES]; u++) {
			const struct upstream *up = &world->ups[ENGINES][u];

			sum += fabs(log(used_speed(&world->instances[i], up) /
					(up->speed / speeds[UNEVEN_WORLD_SPEED_COUNT / 2])));
		}
	}
	return sum / (world->config->instances * world->count[ENGINES]);
}

static void world_clear(struct world *world)
{
	g_hash_table_destroy(world->requests);
	g_array_free(world->events, TRUE);
	g_rand_free(world->arrivals);
	g_rand_free(world->noise);
	g_rand_free(world->choices);
	for (uint32_t k = 0; k < KIND_COUNT; k++)
		g_array_free(world->times_ms[k], TRUE);
	for (uint32_t u = 0; u < world->count[ENGINES]; u++) {
		g_ptr_array_free(world->ups[ENGINES][u].token_due, TRUE);
		engine_model_destroy(world->ups[ENGINES][u].model);
	}
	for (uint32_t u = 0; u < world->count[PLAIN]; u++)
		g_queue_clear(&world->ups[PLAIN][u].waiting);
}

void uneven_world_run(const struct uneven_config *config, struct uneven_result *out)
{
	struct world *world = g_new0(struct world, 1);

	*out = (struct uneven_result){ .in_effect_us = UINT64_MAX };
	world->out = out;
	world_init(world, config);
	/* Requests under way get 10 s more. */
	while (world->now_us < config->duration_us + 10 * SECOND) {
		struct event event = pop_event(world);

		world->now_us = event.at_us;
		event.cb(event.arg);
	}
	measure_kind(world, KIND_LONG, &out->long_streams);
	measure_kind(world, KIND_SHORT, &out->short_streams);
	measure_kind(world, KIND_CALL, &out->calls);
	out->busiest_engine = busiest(world, ENGINES);
	out->busiest_upstream = busiest(world, PLAIN);
	out->factor_error = factor_error(world);
	world_clear(world);
	g_free(world);
}
