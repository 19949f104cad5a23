/**
 * @file policy.c
 * Compares policies of admission and placement under load, in virtual time.
 *
 * The policy "flamingolatch" runs the project's modules (pool, wfq, length_survival, kv_forecast)
 * in several entry instances, each with its own outdated view of the engines, which
 * are simulated by the engine model. It is compared with round robin, least
 * outstanding requests, join-shortest-queue on outdated reports, and an oracle that
 * knows the length of every answer and the present load of every engine. All policies
 * get the same arrivals. Load is relative to capacity, the highest goodput that the
 * oracle reaches, which is determined first. The runs are distributed over threads.
 * A row of the table is one policy at one load: the median over the seeds, and for
 * some figures the lowest and the highest in brackets.
 *
 * With --uneven, two kinds of streams compete for engines of three speeds, beside calls
 * to a plain service, and placement with learned speeds is compared with the same
 * placement without them and with least open requests (uneven_world.h). Load is then
 * relative to the rates of the number porting deployment.
 */
#include "engine_model.h"
#include "uneven_world.h"
#include "flamingolatch/pool.h"
#include "flamingolatch/wfq.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US	      1000000ULL
#define ENTRIES_MAX	      8
#define ENGINES_MAX	      16
#define CUSTOMER_COUNT	      10
#define GOSSIP_INTERVAL_US    500000
#define ADMISSION_INTERVAL_US 20000
#define GAP_BUCKET_COUNT      400 /* of 1 ms each */
#define BACKFILL_MAX	      8	  /* requests without room that an admission passes over */
#define SEEDS_MAX	      16
#define DEADLINE_PER_TOKEN_US 60000 /* added to the deadline for each output token */
#define OUTPUT_MAX_TOKENS     30000

enum policy {
	POLICY_ROUND_ROBIN,
	POLICY_LEAST_REQUESTS,
	POLICY_SHORTEST_QUEUE,
	POLICY_ADMISSION, /* the modules of this project */
	POLICY_ORACLE,
	POLICY_COUNT
};

static const char *const policy_names[POLICY_COUNT] = { "round-robin", "least-requests",
							"shortest-queue", "flamingolatch",
							"oracle" };

/* A class of requests and the values of its profile. Lengths are lognormal, in tokens. */
struct request_class {
	double share; /* fraction of all requests; only that of the first class is used */
	double prompt_median;
	double prompt_sigma;
	double output_median;
	double output_sigma;
	uint64_t priority;
	double deviations; /* standard deviations kept free above the predicted mean */
	uint32_t room_factor;
	uint64_t deadline_us; /* until the first token, from arrival */
};

/* Size and profiles of a deployment. */
struct deployment {
	const char *name;
	uint32_t entries;
	uint32_t engines;
	struct request_class classes[2]; /* long answers, short answers */
};

static const struct deployment deployments[] = {
	{ "coral-sea",
	  6,
	  10,
	  { { 0.5, 600, 1.0, 350, 1.3, 7, 1.5, 5, 20 * SECOND_US },
	    { 0.5, 200, 0.7, 40, 0.8, 3, 1.5, 5, 8 * SECOND_US } } },
	{ "port-louis",
	  7,
	  12,
	  { { 0.4, 700, 1.0, 500, 1.3, 7, 1.5, 6, 30 * SECOND_US },
	    { 0.6, 120, 0.7, 30, 0.8, 2, 1.5, 6, 8 * SECOND_US } } },
};

/* Parameters of one run. */
struct run_config {
	const struct deployment *dep;
	enum policy policy;
	double rate_per_s;
	double load; /* relative to capacity, for the table */
	uint32_t seed;
	uint32_t readmit_free_percent; /* free memory that an engine needs to resume preempted
					  requests */
	uint64_t lag_us;	       /* interval of load reports, and so their highest age */
	uint64_t duration_us;
	uint64_t warmup_us;   /* requests that arrive before are not measured */
	uint32_t room_factor; /* 0 for that of the class */
	double deviations;    /* negative for those of the class */
	bool burst;	      /* customer 0 sends further requests in the middle third of the run */
};

/* Results of one run. A stall is the longest gap between two tokens of an answer. */
struct run_result {
	double stall_p50_s;
	double stall_p99_s;
	double stall_max_s;
	double preemptions_per_1000;
	double gap_p50_ms;
	double gap_p95_ms;
	double gap_p999_ms;
	double first_token_p95_s;
	double goodput_tokens_per_s; /* output of answers that were complete in time */
	double offered_tokens_per_s; /* output that callers requested */
	double refused_percent;
	double jain_index;  /* fairness of the served shares of customers, up to 1 */
	double worst_share; /* lowest goodput of a customer relative to its max-min fair share */
	double long_preemptions_per_1000; /* preemptions of a long answer while a short one ran */
};

struct sim;

struct request {
	struct sim *sim;
	const struct request_class *class;
	uint32_t customer;
	uint32_t entry;
	uint32_t engine;
	uint64_t prompt; /* tokens */
	uint64_t output; /* tokens in all */
	uint64_t arrived_us;
	uint64_t first_token_us;
	uint64_t last_token_us;
	uint64_t longest_gap_us;
	uint64_t produced; /* tokens so far */
	struct length_survival *length;
	struct kv_forecast_item item;
	struct wfq_item *queue_item;
	struct engine_model_job *job; /* NULL until placed, and after the last token */
};

struct engine {
	struct sim *sim;
	uint32_t index;
	struct engine_model *model;
	GPtrArray *token_due; /* requests that get a token at the end of the step */
	GPtrArray *requests;
	struct engine_model_stats
		last_report; /* delivered to the entry instances by the next on_reports() */
	bool stepping;	     /* the end of a step is scheduled */
};

/* An entry instance. */
struct entry {
	struct sim *sim;
	uint32_t index;
	struct pool *pool;
	struct wfq *queue;
	struct upstream *upstreams[ENGINES_MAX];
	struct length_survival *class_length[2]; /* parents of the estimates below */
	struct length_survival *customer_length[2][CUSTOMER_COUNT];
	uint32_t open_requests[ENGINES_MAX]; /* of this entry instance, by engine */
	uint32_t next_engine;		     /* of round robin */
};

struct event {
	uint64_t at_us;
	uint64_t order; /* of scheduling, for events at the same time */
	void (*cb)(void *arg);
	void *arg;
};

struct sim {
	const struct run_config *config;
	GArray *events; /* binary heap of struct event, the earliest first */
	uint64_t next_order;
	uint64_t now_us;
	GRand *arrival_rand;
	GRand *choice_rand;
	struct engine engines[ENGINES_MAX];
	struct entry entries[ENTRIES_MAX];
	GQueue oracle_queue; /* one queue for all entry instances */
	GArray *stalls_s;
	GArray *first_tokens_s;
	uint64_t gap_histogram[GAP_BUCKET_COUNT];
	uint64_t gap_count;
	uint64_t arrived;
	uint64_t completed;
	uint64_t refused;
	uint64_t preemptions;
	uint64_t long_preempted;
	double served_tokens[CUSTOMER_COUNT]; /* of answers that were complete in time */
	double requested_tokens[CUSTOMER_COUNT];
};

/* events */

static bool event_before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void schedule(struct sim *sim, uint64_t at_us, void (*cb)(void *arg), void *arg)
{
	struct event event = { at_us, sim->next_order++, cb, arg };
	guint i = sim->events->len;
	struct event *events;

	g_array_append_val(sim->events, event);
	events = (struct event *)(void *)sim->events->data;
	while (i > 0 && event_before(&event, &events[(i - 1) / 2])) {
		events[i] = events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	events[i] = event;
}

static struct event pop_event(struct sim *sim)
{
	struct event *events = (struct event *)(void *)sim->events->data;
	struct event first = events[0];
	struct event last = events[sim->events->len - 1];
	guint len = sim->events->len - 1;
	guint i = 0;

	g_array_set_size(sim->events, len);
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

/* random numbers */

static double random_normal(GRand *rand)
{
	double u = g_rand_double_range(rand, 1e-12, 1.0);
	double v = g_rand_double(rand);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

static uint64_t random_lognormal(GRand *rand, double median, double sigma, uint64_t max)
{
	double value = median * exp(sigma * random_normal(rand));

	return (uint64_t)CLAMP(value, 1.0, (double)max);
}

/* requests */

static bool is_measured(const struct sim *sim, const struct request *req)
{
	return req->arrived_us >= sim->config->warmup_us &&
	       req->arrived_us < sim->config->duration_us;
}

static void engine_wake(struct engine *engine);

static void request_leave_engine(struct request *req)
{
	struct entry *entry = &req->sim->entries[req->entry];

	entry->open_requests[req->engine]--;
	g_ptr_array_remove_fast(req->sim->engines[req->engine].requests, req);
	if (req->sim->config->policy == POLICY_ADMISSION)
		upstream_end_request(entry->upstreams[req->engine], &req->item);
}

static void request_refuse(struct request *req)
{
	struct sim *sim = req->sim;

	if (req->job) {
		engine_model_cancel(sim->engines[req->engine].model, req->job);
		g_ptr_array_remove(sim->engines[req->engine].token_due, req);
		request_leave_engine(req);
	}
	sim->refused += is_measured(sim, req);
	g_free(req);
}

static void request_start(struct request *req, uint32_t engine)
{
	struct sim *sim = req->sim;
	struct engine_model_job_spec need = { .prompt_tokens = req->prompt,
					      .output_tokens = req->output,
					      .priority = req->class->priority,
					      .user = req };

	req->engine = engine;
	sim->entries[req->entry].open_requests[engine]++;
	g_ptr_array_add(sim->engines[engine].requests, req);
	if (sim->config->policy == POLICY_ADMISSION)
		upstream_begin_request(sim->entries[req->entry].upstreams[engine], &req->item);
	req->job = engine_model_submit(sim->engines[engine].model, &need);
	engine_wake(&sim->engines[engine]);
}

static void request_complete(struct request *req)
{
	struct sim *sim = req->sim;
	uint64_t time_limit_us = req->class->deadline_us + req->output * DEADLINE_PER_TOKEN_US;
	uint64_t elapsed_us = sim->now_us - req->arrived_us;

	request_leave_engine(req);
	if (sim->config->policy == POLICY_ADMISSION)
		length_survival_add_ended(req->length, req->output);
	if (is_measured(sim, req)) {
		double stall_s = (double)req->longest_gap_us / 1e6;
		double first_s = (double)(req->first_token_us - req->arrived_us) / 1e6;

		sim->completed++;
		g_array_append_val(sim->stalls_s, stall_s);
		g_array_append_val(sim->first_tokens_s, first_s);
		if (elapsed_us <= time_limit_us)
			sim->served_tokens[req->customer] += (double)req->output;
	}
	g_free(req);
}

static void request_on_token(struct request *req)
{
	struct sim *sim = req->sim;
	uint64_t gap_us = sim->now_us - req->last_token_us;

	req->produced++;
	if (req->first_token_us == 0) {
		req->first_token_us = sim->now_us;
	} else if (is_measured(sim, req)) {
		req->longest_gap_us = MAX(req->longest_gap_us, gap_us);
		sim->gap_histogram[MIN(gap_us / 1000, GAP_BUCKET_COUNT - 1)]++;
		sim->gap_count++;
	}
	req->last_token_us = sim->now_us;
	if (sim->config->policy == POLICY_ADMISSION) {
		uint32_t bucket = req->item.bucket;

		upstream_update_request(sim->entries[req->entry].upstreams[req->engine], &req->item,
					req->produced);
		if (req->item.bucket != bucket)
			length_survival_add_passed(req->length, bucket);
	}
}

/* placement */

static uint32_t select_engine(struct sim *sim, struct entry *entry)
{
	uint32_t best = 0;
	double best_score = 0.0;

	if (sim->config->policy == POLICY_ROUND_ROBIN)
		return entry->next_engine++ % sim->config->dep->engines;
	for (uint32_t i = 0; i < sim->config->dep->engines; i++) {
		double score = entry->open_requests[i];

		if (sim->config->policy == POLICY_SHORTEST_QUEUE)
			score = sim->engines[i].last_report.running +
				sim->engines[i].last_report.waiting;
		score += 0.001 * g_rand_double(sim->choice_rand);
		if (i == 0 || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

static gint compare_remaining(gconstpointer a, gconstpointer b)
{
	const struct request *left = *(const struct request *const *)a;
	const struct request *right = *(const struct request *const *)b;
	uint64_t l = left->output - left->produced;
	uint64_t r = right->output - right->produced;

	return l < r ? -1 : l > r;
}

/* Returns the peak of the KV tokens that an engine will hold with one more request, from the
 * true output lengths. Each step adds a token to every request, and the requests with the fewest
 * tokens left complete first and free theirs. */
static double oracle_peak(struct engine *engine, struct request *extra)
{
	GPtrArray *requests = engine->requests;
	double kv_tokens_held = 0.0;
	double peak = 0.0;
	uint64_t steps_before = 0;

	g_ptr_array_add(requests, extra);
	g_ptr_array_sort(requests, compare_remaining);
	for (guint i = 0; i < requests->len; i++) {
		const struct request *req = requests->pdata[i];

		kv_tokens_held += (double)(req->prompt + req->produced);
	}
	for (guint i = 0; i < requests->len; i++) {
		const struct request *req = requests->pdata[i];
		uint64_t steps_left = req->output - req->produced;

		kv_tokens_held += (double)(requests->len - i) * (double)(steps_left - steps_before);
		steps_before = steps_left;
		peak = fmax(peak, kv_tokens_held);
		kv_tokens_held -= (double)(req->prompt + req->output);
	}
	g_ptr_array_remove(requests, extra);
	return peak;
}

static bool oracle_place(struct sim *sim, struct request *req)
{
	uint32_t best = UINT32_MAX;
	double best_peak = 0.0;

	for (uint32_t i = 0; i < sim->config->dep->engines; i++) {
		struct engine_model_stats report;
		double peak = oracle_peak(&sim->engines[i], req);

		engine_model_stats(sim->engines[i].model, &report);
		if (peak > (double)report.kv_tokens && sim->engines[i].requests->len > 0)
			continue;
		if (best == UINT32_MAX || peak < best_peak) {
			best = i;
			best_peak = peak;
		}
	}
	if (best != UINT32_MAX)
		request_start(req, best);
	return best != UINT32_MAX;
}

static void oracle_admit(struct sim *sim)
{
	GList *next;
	uint32_t passed_over = 0;

	for (GList *link = sim->oracle_queue.head; link && passed_over < BACKFILL_MAX;
	     link = next) {
		struct request *req = link->data;

		next = link->next;
		if (sim->now_us - req->arrived_us > req->class->deadline_us) {
			g_queue_delete_link(&sim->oracle_queue, link);
			request_refuse(req);
		} else if (oracle_place(sim, req)) {
			g_queue_delete_link(&sim->oracle_queue, link);
		} else {
			passed_over++;
		}
	}
}

static void entry_admit(struct entry *entry)
{
	struct sim *sim = entry->sim;
	struct wfq_item *item;
	uint32_t rank = 0;

	while ((item = wfq_expired(entry->queue, sim->now_us))) {
		struct request *req = wfq_user(item);

		wfq_remove(entry->queue, item, 0);
		request_refuse(req);
	}
	while (rank < BACKFILL_MAX && (item = wfq_peek(entry->queue, rank))) {
		struct request *req = wfq_user(item);
		uint32_t factor = sim->config->room_factor ? sim->config->room_factor
							   : req->class->room_factor;
		struct pool_request need = {
			.pool = "engines",
			.item = &req->item,
			.deviations = sim->config->deviations < 0.0 ? req->class->deviations
								    : sim->config->deviations,
			.room_factor = pool_room_factor(factor, wfq_length(entry->queue)),
			.spill = PROFILE_SPILL_REGION,
			.now_us = sim->now_us
		};
		struct upstream *up = pool_select_engine(entry->pool, &need);

		if (!up) {
			rank++;
			continue;
		}
		wfq_remove(entry->queue, item, 1);
		request_start(req, (uint32_t)atoi(upstream_id(up)));
	}
}

static void refuse_overdue(struct sim *sim)
{
	/* Under every policy a request without a first token at its deadline is refused. */
	for (uint32_t i = 0; i < sim->config->dep->engines; i++) {
		GPtrArray *requests = sim->engines[i].requests;

		for (guint j = requests->len; j-- > 0;) {
			struct request *req = requests->pdata[j];

			if (req->first_token_us == 0 && req->job &&
			    sim->now_us - req->arrived_us > req->class->deadline_us)
				request_refuse(req);
		}
	}
}

static void on_tick(void *arg)
{
	struct sim *sim = arg;

	if (sim->config->policy == POLICY_ADMISSION) {
		for (uint32_t i = 0; i < sim->config->dep->entries; i++)
			entry_admit(&sim->entries[i]);
	} else if (sim->config->policy == POLICY_ORACLE) {
		oracle_admit(sim);
	}
	refuse_overdue(sim);
	schedule(sim, sim->now_us + ADMISSION_INTERVAL_US, on_tick, sim);
}

/* engines */

static void engine_step(void *arg)
{
	struct engine *engine = arg;
	struct sim *sim = engine->sim;
	GPtrArray *token_due = engine->token_due;
	uint64_t step_us;

	engine->token_due = g_ptr_array_new();
	for (guint i = 0; i < token_due->len; i++) {
		struct request *req = token_due->pdata[i];

		request_on_token(req);
		if (!req->job)
			request_complete(req);
	}
	g_ptr_array_free(token_due, TRUE);
	step_us = engine_model_step(engine->model);
	engine->stepping = step_us > 0;
	if (engine->stepping)
		schedule(sim, sim->now_us + step_us, engine_step, engine);
}

static void engine_wake(struct engine *engine)
{
	if (engine->stepping)
		return;
	engine->stepping = true;
	schedule(engine->sim, engine->sim->now_us, engine_step, engine);
}

static void engine_on_token(void *ctx, void *user, uint64_t offset, bool last)
{
	struct engine *engine = ctx;
	struct request *req = user;

	(void)offset;
	if (last)
		req->job = NULL;
	g_ptr_array_add(engine->token_due, req);
}

static void engine_on_preempted(void *ctx, void *user, bool preempted)
{
	struct engine *engine = ctx;
	const struct request *req = user;
	const struct request_class *classes = engine->sim->config->dep->classes;

	if (!preempted || !is_measured(engine->sim, req))
		return;
	engine->sim->preemptions++;
	for (guint i = 0; req->class == &classes[0] && i < engine->requests->len; i++) {
		const struct request *other = engine->requests->pdata[i];

		if (other->class == &classes[1] && other->job &&
		    engine_model_job_running(other->job)) {
			engine->sim->long_preempted++;
			return;
		}
	}
}

static const struct engine_model_events engine_ops = { engine_on_token, engine_on_preempted, NULL };

/* reports and announcements to entry instances */

static void on_reports(void *arg)
{
	struct sim *sim = arg;

	for (uint32_t i = 0; i < sim->config->dep->engines; i++) {
		struct engine *engine = &sim->engines[i];
		struct pool_report report;

		/* Delivers the report that the last call took, then takes the next. */
		report = (struct pool_report){ engine->last_report.kv_tokens,
					       engine->last_report.kv_used,
					       engine->last_report.running,
					       engine->last_report.waiting, sim->now_us };
		for (uint32_t e = 0; e < sim->config->dep->entries; e++)
			upstream_set_report(sim->entries[e].upstreams[i], &report);
		engine_model_stats(engine->model, &engine->last_report);
	}
	schedule(sim, sim->now_us + sim->config->lag_us, on_reports, sim);
}

static void on_gossip(void *arg)
{
	struct sim *sim = arg;
	const struct deployment *dep = sim->config->dep;

	for (uint32_t e = 0; e < dep->entries; e++) {
		char name[16];

		snprintf(name, sizeof(name), "e%u", e);
		for (uint32_t i = 0; i < dep->engines; i++) {
			const struct kv_forecast *sum =
				upstream_own_forecast(sim->entries[e].upstreams[i]);

			for (uint32_t p = 0; p < dep->entries; p++) {
				if (p != e)
					upstream_set_peer_forecast(sim->entries[p].upstreams[i],
								   name, sum, sim->now_us);
			}
		}
	}
	schedule(sim, sim->now_us + GOSSIP_INTERVAL_US, on_gossip, sim);
}

/* arrivals */

/* The first two customers send three times as many requests as each of the others. */
static uint32_t draw_customer(struct sim *sim)
{
	double weight = 2 * 3 + (CUSTOMER_COUNT - 2);
	double x = g_rand_double(sim->arrival_rand) * weight;

	return x < 6 ? (uint32_t)(x / 3) : (uint32_t)(x - 6) + 2;
}

static void submit_request(struct sim *sim, uint32_t customer)
{
	const struct deployment *dep = sim->config->dep;
	struct request *req = g_new0(struct request, 1);
	uint32_t class_index = g_rand_double(sim->arrival_rand) < dep->classes[0].share ? 0 : 1;
	struct entry *entry;

	req->sim = sim;
	req->class = &dep->classes[class_index];
	req->customer = customer;
	req->entry = (uint32_t)g_rand_int_range(sim->arrival_rand, 0, (gint32)dep->entries);
	req->prompt = random_lognormal(sim->arrival_rand, req->class->prompt_median,
				       req->class->prompt_sigma, 8000);
	req->output = random_lognormal(sim->arrival_rand, req->class->output_median,
				       req->class->output_sigma, OUTPUT_MAX_TOKENS);
	req->arrived_us = sim->now_us;
	sim->arrived += is_measured(sim, req);
	if (is_measured(sim, req))
		sim->requested_tokens[customer] += (double)req->output;
	entry = &sim->entries[req->entry];
	if (sim->config->policy == POLICY_ADMISSION) {
		req->length = entry->customer_length[class_index][customer];
		kv_forecast_item_init(&req->item, req->length, req->prompt, OUTPUT_MAX_TOKENS);
		req->queue_item =
			wfq_push(entry->queue, (const char[]){ (char)('a' + customer), 0 },
				 req->class->priority,
				 (double)req->prompt + length_survival_expected(req->length, 0,
										OUTPUT_MAX_TOKENS),
				 sim->now_us + req->class->deadline_us, req);
		entry_admit(entry);
	} else if (sim->config->policy == POLICY_ORACLE) {
		g_queue_push_tail(&sim->oracle_queue, req);
		oracle_admit(sim);
	} else {
		request_start(req, select_engine(sim, entry));
	}
}

static void on_arrival(void *arg)
{
	struct sim *sim = arg;
	const struct run_config *config = sim->config;
	double interval_s =
		-log(g_rand_double_range(sim->arrival_rand, 1e-12, 1.0)) / config->rate_per_s;
	bool burst = config->burst && sim->now_us > config->duration_us / 3 &&
		     sim->now_us < config->duration_us * 2 / 3;

	submit_request(sim, draw_customer(sim));
	/* Customer 0 sends 3 of 14 requests, see draw_customer(). In a burst it adds 0.9 requests
	 * per arrival, which makes its rate 5.2 times as high. */
	if (burst && g_rand_double(sim->arrival_rand) < 0.9)
		submit_request(sim, 0);
	if (sim->now_us < config->duration_us)
		schedule(sim, sim->now_us + (uint64_t)(interval_s * 1e6), on_arrival, sim);
}

/* results of a run */

static gint compare_double(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double quantile(GArray *values, double fraction)
{
	if (values->len == 0)
		return 0.0;
	return g_array_index(values, double, (guint)(fraction * (values->len - 1)));
}

static double gap_quantile(const struct sim *sim, double fraction)
{
	uint64_t target = (uint64_t)(fraction * (double)sim->gap_count);
	uint64_t seen = 0;

	for (uint32_t i = 0; i < GAP_BUCKET_COUNT; i++) {
		seen += sim->gap_histogram[i];
		if (seen > target)
			return i + 0.5;
	}
	return GAP_BUCKET_COUNT;
}

/* Returns the largest share of a customer, in tokens, if @p total is divided max-min fairly. */
static double max_min_fair_level(const struct sim *sim, double total)
{
	double low = 0.0;
	double high = total;

	for (uint32_t step = 0; step < 60; step++) {
		double level = (low + high) / 2;
		double sum = 0.0;

		for (uint32_t i = 0; i < CUSTOMER_COUNT; i++)
			sum += fmin(sim->requested_tokens[i], level);
		if (sum < total)
			low = level;
		else
			high = level;
	}
	return high;
}

static void measure_shares(const struct sim *sim, struct run_result *out, double seconds)
{
	double sum = 0.0;
	double squares = 0.0;
	double total = 0.0;
	double requested_tokens = 0.0;
	double level;

	out->worst_share = 1e9;
	for (uint32_t i = 0; i < CUSTOMER_COUNT; i++) {
		total += sim->served_tokens[i];
		requested_tokens += sim->requested_tokens[i];
	}
	level = max_min_fair_level(sim, total);
	for (uint32_t i = 0; i < CUSTOMER_COUNT; i++) {
		double served = sim->served_tokens[i] / fmax(sim->requested_tokens[i], 1.0);
		double fair = fmin(sim->requested_tokens[i], level);

		sum += served;
		squares += served * served;
		out->worst_share = fmin(out->worst_share, sim->served_tokens[i] / fmax(fair, 1.0));
	}
	out->jain_index = sum * sum / (CUSTOMER_COUNT * fmax(squares, 1e-9));
	out->goodput_tokens_per_s = total / seconds;
	out->offered_tokens_per_s = requested_tokens / seconds;
}

static void measure(struct sim *sim, struct run_result *out)
{
	double seconds = (double)(sim->config->duration_us - sim->config->warmup_us) / 1e6;
	uint64_t started = sim->arrived - MIN(sim->refused, sim->arrived);

	g_array_sort(sim->stalls_s, compare_double);
	g_array_sort(sim->first_tokens_s, compare_double);
	out->stall_p50_s = quantile(sim->stalls_s, 0.5);
	out->stall_p99_s = quantile(sim->stalls_s, 0.99);
	out->stall_max_s = quantile(sim->stalls_s, 1.0);
	out->first_token_p95_s = quantile(sim->first_tokens_s, 0.95);
	out->preemptions_per_1000 = 1000.0 * (double)sim->preemptions / fmax((double)started, 1.0);
	out->long_preemptions_per_1000 =
		1000.0 * (double)sim->long_preempted / fmax((double)started, 1.0);
	out->gap_p50_ms = gap_quantile(sim, 0.5);
	out->gap_p95_ms = gap_quantile(sim, 0.95);
	out->gap_p999_ms = gap_quantile(sim, 0.999);
	out->refused_percent = 100.0 * (double)sim->refused / fmax((double)sim->arrived, 1.0);
	measure_shares(sim, out, seconds);
}

static void entry_init(struct sim *sim, struct entry *entry, uint32_t index)
{
	entry->sim = sim;
	entry->index = index;
	entry->pool = pool_create("zone", "region", sim->config->seed * 100 + index);
	entry->queue = wfq_create();
	for (uint32_t i = 0; i < sim->config->dep->engines; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%u", i);
		entry->upstreams[i] =
			pool_put(entry->pool, id, "engines", "address", "zone", "region");
	}
	for (uint32_t c = 0; c < 2; c++) {
		entry->class_length[c] = length_survival_create(NULL);
		for (uint32_t i = 0; i < CUSTOMER_COUNT; i++)
			entry->customer_length[c][i] =
				length_survival_create(entry->class_length[c]);
	}
}

static void engine_init(struct sim *sim, struct engine *engine, uint32_t index)
{
	struct engine_model_conf conf = { .kv_tokens = 120000,
					  .max_batch = 256,
					  .step_base_us = 10000,
					  .step_job_ns = 60000,
					  .prefill_token_ns = 8000,
					  .prefill_chunk_tokens = 512,
					  .readmit_free_percent = sim->config->readmit_free_percent,
					  .block_tokens = 64 };

	engine->sim = sim;
	engine->index = index;
	engine->token_due = g_ptr_array_new();
	engine->requests = g_ptr_array_new();
	engine->model = engine_model_create(&conf, &engine_ops, engine);
	engine_model_stats(engine->model, &engine->last_report);
}

static void entry_clear(struct entry *entry)
{
	struct wfq_item *item;

	while ((item = wfq_peek(entry->queue, 0))) {
		g_free(wfq_user(item));
		wfq_remove(entry->queue, item, 0);
	}
	wfq_destroy(entry->queue);
	for (uint32_t c = 0; c < 2; c++) {
		for (uint32_t i = 0; i < CUSTOMER_COUNT; i++)
			length_survival_destroy(entry->customer_length[c][i]);
		length_survival_destroy(entry->class_length[c]);
	}
	pool_destroy(entry->pool);
}

static void engine_clear(struct engine *engine)
{
	engine_model_destroy(engine->model);
	for (guint i = 0; i < engine->requests->len; i++)
		g_free(engine->requests->pdata[i]);
	g_ptr_array_free(engine->requests, TRUE);
	g_ptr_array_free(engine->token_due, TRUE);
}

static void run_simulation(const struct run_config *config, struct run_result *out)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->config = config;
	sim->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim->arrival_rand = g_rand_new_with_seed(config->seed);
	sim->choice_rand = g_rand_new_with_seed(config->seed + 1000);
	sim->stalls_s = g_array_new(FALSE, FALSE, sizeof(double));
	sim->first_tokens_s = g_array_new(FALSE, FALSE, sizeof(double));
	g_queue_init(&sim->oracle_queue);
	for (uint32_t i = 0; i < config->dep->engines; i++)
		engine_init(sim, &sim->engines[i], i);
	for (uint32_t i = 0; i < config->dep->entries; i++)
		entry_init(sim, &sim->entries[i], i);
	/* Two calls per interval, 1 us apart: the second delivers the report taken by the first. */
	schedule(sim, 0, on_reports, sim);
	schedule(sim, 1, on_reports, sim);
	schedule(sim, 0, on_gossip, sim);
	schedule(sim, 0, on_arrival, sim);
	schedule(sim, 0, on_tick, sim);
	/* After the last arrival, running requests get up to 120 s to finish. */
	while (sim->now_us < config->duration_us + 120 * SECOND_US) {
		struct event event = pop_event(sim);

		sim->now_us = event.at_us;
		event.cb(event.arg);
	}
	measure(sim, out);
	for (uint32_t i = 0; i < config->dep->engines; i++)
		engine_clear(&sim->engines[i]);
	for (uint32_t i = 0; i < config->dep->entries; i++)
		entry_clear(&sim->entries[i]);
	g_queue_clear_full(&sim->oracle_queue, g_free);
	g_array_free(sim->events, TRUE);
	g_array_free(sim->stalls_s, TRUE);
	g_array_free(sim->first_tokens_s, TRUE);
	g_rand_free(sim->arrival_rand);
	g_rand_free(sim->choice_rand);
	g_free(sim);
}

/* many runs */

struct bench_run {
	struct run_config config;
	struct run_result out;
};

static void run_one(gpointer data, gpointer user)
{
	struct bench_run *run = data;

	(void)user;
	run_simulation(&run->config, &run->out);
}

static void run_all(GArray *runs)
{
	GThreadPool *pool =
		g_thread_pool_new(run_one, NULL, (gint)g_get_num_processors(), FALSE, NULL);

	for (guint i = 0; i < runs->len; i++)
		g_thread_pool_push(pool, &g_array_index(runs, struct bench_run, i), NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

/* Command line options. */
struct options {
	gint seeds;
	gint seconds;
	gint margin;
	gint lag_ms;

	gchar *deployment;
	gchar *json;
	gchar *loads;
	gchar *policy;
	gint room_factor;   /* replaces that of the profiles; 0 keeps it */
	gdouble deviations; /* replaces those of the profiles; negative keeps them */
	gdouble capacity;   /* requests per second; 0 if it is to be determined */
	gboolean burst;
	gboolean uneven;
};

static struct run_config base_config(const struct options *opt, const struct deployment *dep)
{
	return (struct run_config){ .dep = dep,
				    .readmit_free_percent = (uint32_t)opt->margin,
				    .lag_us = (uint64_t)opt->lag_ms * 1000,
				    .duration_us = (uint64_t)opt->seconds * SECOND_US,
				    .warmup_us = (uint64_t)opt->seconds * SECOND_US / 4,
				    .deviations = opt->deviations,
				    .room_factor = (uint32_t)opt->room_factor,
				    .burst = opt->burst };
}

/* Returns the highest goodput of the oracle, as the rate of requests with this output. */
static double find_capacity(const struct options *opt, const struct deployment *dep)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct bench_run));
	double best = 0.0;
	double tokens = 0.0; /* mean output of a request, in tokens */

	for (double rate = 30.0; rate <= 200.0; rate *= 1.08) {
		struct bench_run run = { .config = base_config(opt, dep) };

		run.config.policy = POLICY_ORACLE;
		run.config.rate_per_s = rate;
		run.config.seed = 99;
		run.config.burst = false;
		g_array_append_val(runs, run);
	}
	run_all(runs);
	for (guint i = 0; i < runs->len; i++) {
		const struct bench_run *run = &g_array_index(runs, struct bench_run, i);

		best = fmax(best, run->out.goodput_tokens_per_s);
		tokens = run->out.offered_tokens_per_s / run->config.rate_per_s;
	}
	g_array_free(runs, TRUE);
	printf("# %s: capacity %.0f tokens/s, which is %.1f requests/s of %.0f tokens\n", dep->name,
	       best, best / tokens, tokens);
	return best / tokens;
}

/* Returns a quantile of one field of the results over the seeds. */
static double seed_quantile(const struct bench_run *runs, guint seeds, size_t offset,
			    double fraction)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	double result;

	for (guint i = 0; i < seeds; i++)
		g_array_append_val(
			values,
			*(const double *)(const void *)((const char *)&runs[i].out + offset));
	g_array_sort(values, compare_double);
	result = g_array_index(values, double, (guint)(fraction * (seeds - 1) + 0.5));
	g_array_free(values, TRUE);
	return result;
}

#define MEDIAN(field) seed_quantile(runs, seeds, offsetof(struct run_result, field), 0.5)
#define LOW(field)    seed_quantile(runs, seeds, offsetof(struct run_result, field), 0.0)
#define HIGH(field)   seed_quantile(runs, seeds, offsetof(struct run_result, field), 1.0)

static void print_row(const struct bench_run *runs, guint seeds, json_t *rows)
{
	const struct run_config *config = &runs->config;

	printf("%-10s %4.2f %-14s %6.3f %6.3f [%6.3f %6.3f] %7.2f %7.2f [%6.2f %6.2f] %5.1f %5.1f "
	       "%6.1f %6.3f %7.0f %5.1f %5.3f %5.2f %5.2f\n",
	       config->dep->name, config->load, policy_names[config->policy], MEDIAN(stall_p50_s),
	       MEDIAN(stall_p99_s), LOW(stall_p99_s), HIGH(stall_p99_s), MEDIAN(stall_max_s),
	       MEDIAN(preemptions_per_1000), LOW(preemptions_per_1000), HIGH(preemptions_per_1000),
	       MEDIAN(gap_p50_ms), MEDIAN(gap_p95_ms), MEDIAN(gap_p999_ms),
	       MEDIAN(first_token_p95_s), MEDIAN(goodput_tokens_per_s), MEDIAN(refused_percent),
	       MEDIAN(jain_index), MEDIAN(worst_share), MEDIAN(long_preemptions_per_1000));
	json_array_append_new(
		rows,
		json_pack("{s:s, s:f, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
			  "deployment", config->dep->name, "load", config->load, "policy",
			  policy_names[config->policy], "stall_p50_s", MEDIAN(stall_p50_s),
			  "stall_p99_s", MEDIAN(stall_p99_s), "preemptions_per_1000",
			  MEDIAN(preemptions_per_1000), "gap_p95_ms", MEDIAN(gap_p95_ms),
			  "gap_p999_ms", MEDIAN(gap_p999_ms), "first_p95_s",
			  MEDIAN(first_token_p95_s), "goodput", MEDIAN(goodput_tokens_per_s),
			  "refused_percent", MEDIAN(refused_percent), "jain", MEDIAN(jain_index)));
}

static void bench_deployment(const struct options *opt, const struct deployment *dep, json_t *rows)
{
	double capacity = opt->capacity > 0.0 ? opt->capacity : find_capacity(opt, dep);
	g_auto(GStrv) loads = g_strsplit(opt->loads, ",", 0);
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct bench_run));
	guint seeds = (guint)MIN(opt->seeds, SEEDS_MAX);

	for (uint32_t l = 0; loads[l]; l++) {
		for (int policy = 0; policy < POLICY_COUNT; policy++) {
			if (opt->policy && strcmp(opt->policy, policy_names[policy]) != 0)
				continue;
			for (guint seed = 0; seed < seeds; seed++) {
				struct bench_run run = { .config = base_config(opt, dep) };

				run.config.policy = (enum policy)policy;
				run.config.load = g_ascii_strtod(loads[l], NULL);
				run.config.rate_per_s = capacity * run.config.load;
				run.config.seed = seed + 1;
				g_array_append_val(runs, run);
			}
		}
	}
	run_all(runs);
	for (guint i = 0; i < runs->len; i += seeds)
		print_row(&g_array_index(runs, struct bench_run, i), seeds, rows);
	g_array_free(runs, TRUE);
}

/* uneven upstreams */

static const char *const uneven_names[UNEVEN_POLICY_COUNT] = { "least-open", "equal", "learned" };

struct uneven_run {
	struct uneven_config config;
	struct uneven_result out;
};

static void run_uneven(gpointer data, gpointer user)
{
	struct uneven_run *run = data;

	(void)user;
	uneven_world_run(&run->config, &run->out);
}

static double late_percent(const struct uneven_class_result *result)
{
	return 100.0 * result->late / MAX(result->count, 1);
}

/* Prints the means over the seeds. */
static void print_uneven(const struct uneven_run *runs, guint seeds, json_t *rows)
{
	const struct uneven_config *config = &runs->config;
	double late[3] = { 0 };
	double p99_ms[3] = { 0 };
	double engine = 0.0;
	double upstream = 0.0;

	for (guint i = 0; i < seeds; i++) {
		const struct uneven_result *out = &runs[i].out;
		const struct uneven_class_result *kinds[] = { &out->long_streams,
							      &out->short_streams, &out->calls };

		for (guint k = 0; k < G_N_ELEMENTS(kinds); k++) {
			late[k] += late_percent(kinds[k]) / seeds;
			p99_ms[k] += kinds[k]->p99_ms / seeds;
		}
		engine += out->busiest_engine / seeds;
		upstream += out->busiest_upstream / seeds;
	}
	printf("%4.2f %-10s %6.2f %7.0f %6.2f %7.0f %6.2f %7.0f %6.3f %6.3f\n", config->load,
	       uneven_names[config->policy], late[0], p99_ms[0], late[1], p99_ms[1], late[2],
	       p99_ms[2], engine, upstream);
	json_array_append_new(
		rows, json_pack("{s:f, s:s, s:f, s:f, s:f, s:f, s:f}", "load", config->load,
				"policy", uneven_names[config->policy], "long_late_percent",
				late[0], "short_late_percent", late[1], "calls_late_percent",
				late[2], "busiest_engine", engine, "busiest_upstream", upstream));
}

static void bench_uneven(const struct options *opt, json_t *rows)
{
	g_auto(GStrv) loads = g_strsplit(opt->loads, ",", 0);
	g_autoptr(GArray) runs = g_array_new(FALSE, TRUE, sizeof(struct uneven_run));
	guint seeds = (guint)CLAMP(opt->seeds, 1, SEEDS_MAX);
	GThreadPool *pool =
		g_thread_pool_new(run_uneven, NULL, (gint)g_get_num_processors(), FALSE, NULL);

	for (uint32_t l = 0; loads[l]; l++) {
		for (int policy = 0; policy < UNEVEN_POLICY_COUNT; policy++) {
			for (guint seed = 0; seed < seeds; seed++) {
				struct uneven_run run = {
					.config = { .policy = (enum uneven_policy)policy,
						    .seed = seed + 1,
						    .instances = 59,
						    .engines = 44,
						    .plain_upstreams = 6,
						    .load = g_ascii_strtod(loads[l], NULL),
						    .speeds = { 0.7, 0.7, 1.7 },
						    .min_spread = 2.0,
						    .duration_us =
							    (uint64_t)opt->seconds * SECOND_US,
						    .warmup_us =
							    (uint64_t)opt->seconds * SECOND_US / 4 }
				};

				g_array_append_val(runs, run);
			}
		}
	}
	for (guint i = 0; i < runs->len; i++)
		g_thread_pool_push(pool, &g_array_index(runs, struct uneven_run, i), NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
	printf("# load policy long_late%% long_p99_ms short_late%% short_p99_ms calls_late%% "
	       "calls_p99_ms busiest_engine busiest_upstream\n");
	for (guint i = 0; i < runs->len; i += seeds)
		print_uneven(&g_array_index(runs, struct uneven_run, i), seeds, rows);
}

static void bench_deployments(const struct options *opt, json_t *rows)
{
	printf("# deployment load policy stall_p50_s stall_p99_s [low high] stall_max_s "
	       "preempt_1000 "
	       "[low high] gap_p50 gap_p95 gap_p999_ms first_p95_s goodput refused%% jain "
	       "worst_share long_pushed_1000\n");
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		if (!opt->deployment || strcmp(opt->deployment, deployments[i].name) == 0)
			bench_deployment(opt, &deployments[i], rows);
	}
}

int main(int argc, char **argv)
{
	struct options opt = {
		.seeds = 5, .seconds = 240, .margin = 2, .lag_ms = 500, .deviations = -1.0
	};
	const GOptionEntry options[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &opt.seeds, "Number of seeds per row", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds,
		  "Virtual time of a run in seconds", "N" },
		{ "margin", 0, 0, G_OPTION_ARG_INT, &opt.margin,
		  "Free memory that an engine needs to resume preempted requests", "PERCENT" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms,
		  "Interval of load reports in milliseconds, and so their highest age", "N" },
		{ "deployment", 0, 0, G_OPTION_ARG_STRING, &opt.deployment, "Run only this one",
		  "NAME" },
		{ "loads", 0, 0, G_OPTION_ARG_STRING, &opt.loads,
		  "Loads relative to capacity, comma-separated", "LIST" },
		{ "deviations", 0, 0, G_OPTION_ARG_DOUBLE, &opt.deviations,
		  "Replaces the value of the profiles", "N" },
		{ "room-factor", 0, 0, G_OPTION_ARG_INT, &opt.room_factor,
		  "Replaces the value of the profiles", "N" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &opt.policy, "Run only this one", "NAME" },
		{ "capacity", 0, 0, G_OPTION_ARG_DOUBLE, &opt.capacity,
		  "Requests per second at capacity, if known", "RATE" },
		{ "burst", 0, 0, G_OPTION_ARG_NONE, &opt.burst,
		  "One customer sends further requests in the middle third of a run", NULL },
		{ "uneven", 0, 0, G_OPTION_ARG_NONE, &opt.uneven,
		  "Two kinds of streams on engines of three speeds, with and without learned "
		  "speeds",
		  NULL },
		{ "json", 0, 0, G_OPTION_ARG_FILENAME, &opt.json,
		  "Write the rows to this file as JSON", "FILE" },
		{ 0 }
	};
	g_autoptr(GOptionContext) context = g_option_context_new("");
	g_autoptr(GError) error = NULL;
	json_t *rows = json_array();

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	if (!opt.loads)
		opt.loads = g_strdup(opt.uneven ? "0.6,0.8,1.0,1.2,1.4" : "0.5,0.9,1.0,1.1,1.2");
	if (opt.uneven)
		bench_uneven(&opt, rows);
	else
		bench_deployments(&opt, rows);
	if (opt.json)
		json_dump_file(rows, opt.json, JSON_INDENT(1));
	json_decref(rows);
	return 0;
}
