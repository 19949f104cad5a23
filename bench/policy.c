/**
 * @file policy.c
 * Admission and routing under load, in virtual time.
 *
 * The project's own modules (pool, wfq, length, load) run in several entries
 * with separate, lagging views against the engine model, beside round robin,
 * least outstanding requests, join-shortest-queue on lagged reports, and an
 * oracle that knows every length and every true load. All policies get the
 * same arrivals. Load is relative to the oracle's highest goodput, which is
 * found first. Runs go side by side on threads; a row is one policy at one
 * load, with the median, lowest and highest of its seeds.
 */
#include "engine_model.h"
#include "flamingolatch/pool.h"
#include "flamingolatch/wfq.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US	  1000000ULL
#define ENTRIES_MAX	  8
#define ENGINES_MAX	  16
#define CUSTOMERS	  10
#define GOSSIP_US	  500000
#define TICK_US		  20000
#define GAP_BUCKETS	  400 /* of a millisecond */
#define BACKFILL	  8
#define SEEDS_MAX	  16
#define DEADLINE_TOKEN_US 60000 /* time that a caller grants for each token */
#define OUTPUT_MAX	  30000

enum policy {
	ROUND_ROBIN,
	LEAST_REQUESTS,
	SHORTEST_QUEUE,
	ADMISSION,
	ORACLE,
	POLICY_COUNT
};

static const char *const policy_names[POLICY_COUNT] = { "round-robin", "least-requests",
							"shortest-queue", "flamingolatch",
							"oracle" };

/* A kind of request with the rules of its profile. */
struct class
{
	double share;
	double prompt_median;
	double prompt_sigma;
	double output_median;
	double output_sigma;
	uint64_t priority;
	double deviations;
	uint32_t room_factor;
	uint64_t deadline_us;
};

/* A deployment: its size and its profiles. */
struct deployment {
	const char *name;
	uint32_t entries;
	uint32_t engines;
	struct class classes[2];
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

/* What to run. */
struct setup {
	const struct deployment *dep;
	enum policy policy;
	double rate_per_s;
	double load; /* relative to capacity, for the report */
	uint32_t seed;
	uint32_t readmit_free_percent;
	uint64_t lag_us;
	uint64_t duration_us;
	uint64_t warmup_us;
	uint32_t room_factor; /* 0 for the class's own */
	double deviations;    /* negative for the class's own */
	bool burst;	      /* one customer asks ten times as much for the middle third */
};

/* What came of it. */
struct outcome {
	double stall_p50_s;
	double stall_p99_s;
	double stall_max_s;
	double preemptions_per_1000;
	double gap_p50_ms;
	double gap_p95_ms;
	double gap_p999_ms;
	double first_p95_s;
	double goodput; /* tokens a second of answers within their deadline */
	double offered; /* tokens a second that callers asked for */
	double refused_percent;
	double jain;
	double worst_share;    /* lowest goodput of a customer over its fair share */
	double long_preempted; /* long answers pushed off while a short one ran */
};

struct sim;

struct request {
	struct sim *sim;
	const struct class *class;
	uint32_t customer;
	uint32_t entry;
	uint32_t engine;
	uint64_t prompt;
	uint64_t output;
	uint64_t arrived_us;
	uint64_t first_us;
	uint64_t token_us;
	uint64_t stall_us;
	uint64_t produced;
	struct len *len;
	struct load_item item;
	struct wfq_item *queued;
	struct engine_model_job *job;
};

struct engine {
	struct sim *sim;
	uint32_t index;
	struct engine_model *model;
	GPtrArray *due;	 /* requests with a token at the end of the step */
	GPtrArray *jobs; /* requests on this engine */
	struct engine_model_stats reported;
	bool stepping;
};

struct entry {
	struct sim *sim;
	uint32_t index;
	struct pool *pool;
	struct wfq *queue;
	struct upstream *ups[ENGINES_MAX];
	struct len *root[2];
	struct len *len[2][CUSTOMERS];
	uint32_t open[ENGINES_MAX];
	uint32_t next;
};

struct event {
	uint64_t at_us;
	uint64_t order;
	void (*cb)(void *arg);
	void *arg;
};

struct sim {
	const struct setup *setup;
	GArray *heap; /* struct event */
	uint64_t order;
	uint64_t now_us;
	GRand *arrivals;
	GRand *choices;
	struct engine engines[ENGINES_MAX];
	struct entry entries[ENTRIES_MAX];
	GQueue waiting; /* the oracle's one queue */
	GArray *stalls;
	GArray *firsts;
	uint64_t gaps[GAP_BUCKETS];
	uint64_t gap_count;
	uint64_t arrived;
	uint64_t ended;
	uint64_t refused;
	uint64_t preemptions;
	uint64_t long_preempted;
	double good[CUSTOMERS];
	double asked[CUSTOMERS];
};

/* events */

static bool before(const struct event *a, const struct event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void at(struct sim *sim, uint64_t at_us, void (*cb)(void *arg), void *arg)
{
	struct event event = { at_us, sim->order++, cb, arg };
	guint i = sim->heap->len;
	struct event *heap;

	g_array_append_val(sim->heap, event);
	heap = (struct event *)(void *)sim->heap->data;
	while (i > 0 && before(&event, &heap[(i - 1) / 2])) {
		heap[i] = heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap[i] = event;
}

static struct event take(struct sim *sim)
{
	struct event *heap = (struct event *)(void *)sim->heap->data;
	struct event first = heap[0];
	struct event last = heap[sim->heap->len - 1];
	guint len = sim->heap->len - 1;
	guint i = 0;

	g_array_set_size(sim->heap, len);
	while (2 * i + 1 < len) {
		guint child = 2 * i + 1;

		if (child + 1 < len && before(&heap[child + 1], &heap[child]))
			child++;
		if (!before(&heap[child], &last))
			break;
		heap[i] = heap[child];
		i = child;
	}
	if (len)
		heap[i] = last;
	return first;
}

/* random numbers */

static double normal(GRand *rand)
{
	double u = g_rand_double_range(rand, 1e-12, 1.0);
	double v = g_rand_double(rand);

	return sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v);
}

static uint64_t lognormal(GRand *rand, double median, double sigma, uint64_t max)
{
	double value = median * exp(sigma * normal(rand));

	return (uint64_t)CLAMP(value, 1.0, (double)max);
}

/* requests */

static bool measured(const struct sim *sim, const struct request *req)
{
	return req->arrived_us >= sim->setup->warmup_us &&
	       req->arrived_us < sim->setup->duration_us;
}

static void engine_kick(struct engine *engine);

static void request_leave(struct request *req)
{
	struct entry *entry = &req->sim->entries[req->entry];

	entry->open[req->engine]--;
	g_ptr_array_remove_fast(req->sim->engines[req->engine].jobs, req);
	if (req->sim->setup->policy == ADMISSION)
		upstream_leave(entry->ups[req->engine], &req->item);
}

static void request_refuse(struct request *req)
{
	struct sim *sim = req->sim;

	if (req->job) {
		engine_model_cancel(sim->engines[req->engine].model, req->job);
		g_ptr_array_remove(sim->engines[req->engine].due, req);
		request_leave(req);
	}
	sim->refused += measured(sim, req);
	g_free(req);
}

static void request_send(struct request *req, uint32_t engine)
{
	struct sim *sim = req->sim;
	struct engine_model_job_spec need = { .prompt_tokens = req->prompt,
					      .output_tokens = req->output,
					      .priority = req->class->priority,
					      .user = req };

	req->engine = engine;
	sim->entries[req->entry].open[engine]++;
	g_ptr_array_add(sim->engines[engine].jobs, req);
	if (sim->setup->policy == ADMISSION)
		upstream_enter(sim->entries[req->entry].ups[engine], &req->item);
	req->job = engine_model_submit(sim->engines[engine].model, &need);
	engine_kick(&sim->engines[engine]);
}

static void request_done(struct request *req)
{
	struct sim *sim = req->sim;
	uint64_t granted_us = req->class->deadline_us + req->output * DEADLINE_TOKEN_US;
	uint64_t took_us = sim->now_us - req->arrived_us;

	request_leave(req);
	if (sim->setup->policy == ADMISSION)
		len_ended(req->len, req->output);
	if (measured(sim, req)) {
		double stall_s = (double)req->stall_us / 1e6;
		double first_s = (double)(req->first_us - req->arrived_us) / 1e6;

		sim->ended++;
		g_array_append_val(sim->stalls, stall_s);
		g_array_append_val(sim->firsts, first_s);
		if (took_us <= granted_us)
			sim->good[req->customer] += (double)req->output;
	}
	g_free(req);
}

static void request_token(struct request *req)
{
	struct sim *sim = req->sim;
	uint64_t gap_us = sim->now_us - req->token_us;

	req->produced++;
	if (req->first_us == 0) {
		req->first_us = sim->now_us;
	} else if (measured(sim, req)) {
		req->stall_us = MAX(req->stall_us, gap_us);
		sim->gaps[MIN(gap_us / 1000, GAP_BUCKETS - 1)]++;
		sim->gap_count++;
	}
	req->token_us = sim->now_us;
	if (sim->setup->policy == ADMISSION) {
		uint32_t bucket = req->item.bucket;

		upstream_progress(sim->entries[req->entry].ups[req->engine], &req->item,
				  req->produced);
		if (req->item.bucket != bucket)
			len_passed(req->len, bucket);
	}
}

/* the choice of an engine */

static uint32_t choose_plain(struct sim *sim, struct entry *entry)
{
	uint32_t best = 0;
	double best_score = 0.0;

	if (sim->setup->policy == ROUND_ROBIN)
		return entry->next++ % sim->setup->dep->engines;
	for (uint32_t i = 0; i < sim->setup->dep->engines; i++) {
		double score = entry->open[i];

		if (sim->setup->policy == SHORTEST_QUEUE)
			score = sim->engines[i].reported.running + sim->engines[i].reported.waiting;
		score += 0.001 * g_rand_double(sim->choices);
		if (i == 0 || score < best_score) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

static gint by_remaining(gconstpointer a, gconstpointer b)
{
	const struct request *left = *(const struct request *const *)a;
	const struct request *right = *(const struct request *const *)b;
	uint64_t l = left->output - left->produced;
	uint64_t r = right->output - right->produced;

	return l < r ? -1 : l > r;
}

/* True peak of an engine's memory with one more request. */
static double oracle_peak(struct engine *engine, struct request *extra)
{
	GPtrArray *jobs = engine->jobs;
	double held = 0.0;
	double peak = 0.0;
	uint64_t then = 0;

	g_ptr_array_add(jobs, extra);
	g_ptr_array_sort(jobs, by_remaining);
	for (guint i = 0; i < jobs->len; i++) {
		const struct request *req = jobs->pdata[i];

		held += (double)(req->prompt + req->produced);
	}
	for (guint i = 0; i < jobs->len; i++) {
		const struct request *req = jobs->pdata[i];
		uint64_t left = req->output - req->produced;

		held += (double)(jobs->len - i) * (double)(left - then);
		then = left;
		peak = fmax(peak, held);
		held -= (double)(req->prompt + req->output);
	}
	g_ptr_array_remove(jobs, extra);
	return peak;
}

static bool oracle_send(struct sim *sim, struct request *req)
{
	uint32_t best = UINT32_MAX;
	double best_peak = 0.0;

	for (uint32_t i = 0; i < sim->setup->dep->engines; i++) {
		struct engine_model_stats report;
		double peak = oracle_peak(&sim->engines[i], req);

		engine_model_stats(sim->engines[i].model, &report);
		if (peak > (double)report.kv_tokens && sim->engines[i].jobs->len > 0)
			continue;
		if (best == UINT32_MAX || peak < best_peak) {
			best = i;
			best_peak = peak;
		}
	}
	if (best != UINT32_MAX)
		request_send(req, best);
	return best != UINT32_MAX;
}

static void oracle_admit(struct sim *sim)
{
	GList *next;
	uint32_t tried = 0;

	for (GList *link = sim->waiting.head; link && tried < BACKFILL; link = next) {
		struct request *req = link->data;

		next = link->next;
		if (sim->now_us - req->arrived_us > req->class->deadline_us) {
			g_queue_delete_link(&sim->waiting, link);
			request_refuse(req);
		} else if (oracle_send(sim, req)) {
			g_queue_delete_link(&sim->waiting, link);
		} else {
			tried++;
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
	while (rank < BACKFILL && (item = wfq_at(entry->queue, rank))) {
		struct request *req = wfq_user(item);
		uint32_t factor =
			sim->setup->room_factor ? sim->setup->room_factor : req->class->room_factor;
		struct pool_need need = {
			.pool = "engines",
			.item = &req->item,
			.deviations = sim->setup->deviations < 0.0 ? req->class->deviations
								   : sim->setup->deviations,
			.room_factor = pool_room_factor(factor, wfq_length(entry->queue)),
			.spill = PROFILE_SPILL_REGION,
			.now_us = sim->now_us
		};
		struct upstream *up = pool_pick(entry->pool, &need);

		if (!up) {
			rank++;
			continue;
		}
		wfq_remove(entry->queue, item, 1);
		request_send(req, (uint32_t)atoi(upstream_id(up)));
	}
}

static void on_deadline(struct sim *sim)
{
	/* A caller without a first token at its deadline is refused under every policy. */
	for (uint32_t i = 0; i < sim->setup->dep->engines; i++) {
		GPtrArray *jobs = sim->engines[i].jobs;

		for (guint j = jobs->len; j-- > 0;) {
			struct request *req = jobs->pdata[j];

			if (req->first_us == 0 && req->job &&
			    sim->now_us - req->arrived_us > req->class->deadline_us)
				request_refuse(req);
		}
	}
}

static void on_tick(void *arg)
{
	struct sim *sim = arg;

	if (sim->setup->policy == ADMISSION) {
		for (uint32_t i = 0; i < sim->setup->dep->entries; i++)
			entry_admit(&sim->entries[i]);
	} else if (sim->setup->policy == ORACLE) {
		oracle_admit(sim);
	}
	on_deadline(sim);
	at(sim, sim->now_us + TICK_US, on_tick, sim);
}

/* engines */

static void engine_step(void *arg)
{
	struct engine *engine = arg;
	struct sim *sim = engine->sim;
	GPtrArray *due = engine->due;
	uint64_t took_us;

	engine->due = g_ptr_array_new();
	for (guint i = 0; i < due->len; i++) {
		struct request *req = due->pdata[i];

		request_token(req);
		if (!req->job)
			request_done(req);
	}
	g_ptr_array_free(due, TRUE);
	took_us = engine_model_step(engine->model);
	engine->stepping = took_us > 0;
	if (engine->stepping)
		at(sim, sim->now_us + took_us, engine_step, engine);
}

static void engine_kick(struct engine *engine)
{
	if (engine->stepping)
		return;
	engine->stepping = true;
	at(engine->sim, engine->sim->now_us, engine_step, engine);
}

static void engine_on_token(void *ctx, void *user, uint64_t offset, bool last)
{
	struct engine *engine = ctx;
	struct request *req = user;

	(void)offset;
	if (last)
		req->job = NULL;
	g_ptr_array_add(engine->due, req);
}

static void engine_on_preempted(void *ctx, void *user, bool preempted)
{
	struct engine *engine = ctx;
	const struct request *req = user;
	const struct class *classes = engine->sim->setup->dep->classes;

	if (!preempted || !measured(engine->sim, req))
		return;
	engine->sim->preemptions++;
	for (guint i = 0; req->class == &classes[0] && i < engine->jobs->len; i++) {
		const struct request *other = engine->jobs->pdata[i];

		if (other->class == &classes[1] && other->job &&
		    engine_model_job_running(other->job)) {
			engine->sim->long_preempted++;
			return;
		}
	}
}

static const struct engine_model_events engine_ops = { engine_on_token, engine_on_preempted, NULL };

/* what entries learn, and when */

static void on_reports(void *arg)
{
	struct sim *sim = arg;

	for (uint32_t i = 0; i < sim->setup->dep->engines; i++) {
		struct engine *engine = &sim->engines[i];
		struct pool_report report;

		/* What is delivered now was measured one lag ago. */
		report = (struct pool_report){ engine->reported.kv_tokens, engine->reported.kv_used,
					       engine->reported.running, engine->reported.waiting,
					       sim->now_us };
		for (uint32_t e = 0; e < sim->setup->dep->entries; e++)
			upstream_report(sim->entries[e].ups[i], &report);
		engine_model_stats(engine->model, &engine->reported);
	}
	at(sim, sim->now_us + sim->setup->lag_us, on_reports, sim);
}

static void on_gossip(void *arg)
{
	struct sim *sim = arg;
	const struct deployment *dep = sim->setup->dep;

	for (uint32_t e = 0; e < dep->entries; e++) {
		char name[16];

		snprintf(name, sizeof(name), "e%u", e);
		for (uint32_t i = 0; i < dep->engines; i++) {
			const struct load_sum *sum = upstream_own(sim->entries[e].ups[i]);

			for (uint32_t p = 0; p < dep->entries; p++) {
				if (p != e)
					upstream_set_peer(sim->entries[p].ups[i], name, sum,
							  sim->now_us);
			}
		}
	}
	at(sim, sim->now_us + GOSSIP_US, on_gossip, sim);
}

/* arrivals */

/* Two large customers ask for three times as much as the others. */
static uint32_t draw_customer(struct sim *sim)
{
	double weight = 2 * 3 + (CUSTOMERS - 2);
	double x = g_rand_double(sim->arrivals) * weight;

	return x < 6 ? (uint32_t)(x / 3) : (uint32_t)(x - 6) + 2;
}

static void submit(struct sim *sim, uint32_t customer)
{
	const struct deployment *dep = sim->setup->dep;
	struct request *req = g_new0(struct request, 1);
	uint32_t class = g_rand_double(sim->arrivals) < dep->classes[0].share ? 0 : 1;
	struct entry *entry;

	req->sim = sim;
	req->class = &dep->classes[class];
	req->customer = customer;
	req->entry = (uint32_t)g_rand_int_range(sim->arrivals, 0, (gint32)dep->entries);
	req->prompt =
		lognormal(sim->arrivals, req->class->prompt_median, req->class->prompt_sigma, 8000);
	req->output = lognormal(sim->arrivals, req->class->output_median, req->class->output_sigma,
				OUTPUT_MAX);
	req->arrived_us = sim->now_us;
	sim->arrived += measured(sim, req);
	if (measured(sim, req))
		sim->asked[customer] += (double)req->output;
	entry = &sim->entries[req->entry];
	if (sim->setup->policy == ADMISSION) {
		req->len = entry->len[class][customer];
		load_item_init(&req->item, req->len, req->prompt, OUTPUT_MAX);
		req->queued = wfq_push(entry->queue, (const char[]){ (char)('a' + customer), 0 },
				       req->class->priority,
				       (double)req->prompt + len_expected(req->len, 0, OUTPUT_MAX),
				       sim->now_us + req->class->deadline_us, req);
		entry_admit(entry);
	} else if (sim->setup->policy == ORACLE) {
		g_queue_push_tail(&sim->waiting, req);
		oracle_admit(sim);
	} else {
		request_send(req, choose_plain(sim, entry));
	}
}

static void on_arrival(void *arg)
{
	struct sim *sim = arg;
	const struct setup *setup = sim->setup;
	double wait_s = -log(g_rand_double_range(sim->arrivals, 1e-12, 1.0)) / setup->rate_per_s;
	bool burst = setup->burst && sim->now_us > setup->duration_us / 3 &&
		     sim->now_us < setup->duration_us * 2 / 3;

	submit(sim, draw_customer(sim));
	/* The bursting customer has a tenth of the load to begin with. */
	if (burst && g_rand_double(sim->arrivals) < 0.9)
		submit(sim, 0);
	if (sim->now_us < setup->duration_us)
		at(sim, sim->now_us + (uint64_t)(wait_s * 1e6), on_arrival, sim);
}

/* a run */

static gint compare_double(gconstpointer a, gconstpointer b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

static double quantile(GArray *values, double part)
{
	if (values->len == 0)
		return 0.0;
	return g_array_index(values, double, (guint)(part * (values->len - 1)));
}

static double gap_quantile(const struct sim *sim, double part)
{
	uint64_t target = (uint64_t)(part * (double)sim->gap_count);
	uint64_t seen = 0;

	for (uint32_t i = 0; i < GAP_BUCKETS; i++) {
		seen += sim->gaps[i];
		if (seen > target)
			return i + 0.5;
	}
	return GAP_BUCKETS;
}

/* The most that a customer gets when what was served is shared max-min fairly. */
static double fair_level(const struct sim *sim, double total)
{
	double low = 0.0;
	double high = total;

	for (uint32_t step = 0; step < 60; step++) {
		double level = (low + high) / 2;
		double sum = 0.0;

		for (uint32_t i = 0; i < CUSTOMERS; i++)
			sum += fmin(sim->asked[i], level);
		if (sum < total)
			low = level;
		else
			high = level;
	}
	return high;
}

static void measure_shares(const struct sim *sim, struct outcome *out, double seconds)
{
	double sum = 0.0;
	double squares = 0.0;
	double total = 0.0;
	double asked = 0.0;
	double level;

	out->worst_share = 1e9;
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		total += sim->good[i];
		asked += sim->asked[i];
	}
	level = fair_level(sim, total);
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		double served = sim->good[i] / fmax(sim->asked[i], 1.0);
		double fair = fmin(sim->asked[i], level);

		sum += served;
		squares += served * served;
		out->worst_share = fmin(out->worst_share, sim->good[i] / fmax(fair, 1.0));
	}
	out->jain = sum * sum / (CUSTOMERS * fmax(squares, 1e-9));
	out->goodput = total / seconds;
	out->offered = asked / seconds;
}

static void measure(struct sim *sim, struct outcome *out)
{
	double seconds = (double)(sim->setup->duration_us - sim->setup->warmup_us) / 1e6;
	uint64_t started = sim->arrived - MIN(sim->refused, sim->arrived);

	g_array_sort(sim->stalls, compare_double);
	g_array_sort(sim->firsts, compare_double);
	out->stall_p50_s = quantile(sim->stalls, 0.5);
	out->stall_p99_s = quantile(sim->stalls, 0.99);
	out->stall_max_s = quantile(sim->stalls, 1.0);
	out->first_p95_s = quantile(sim->firsts, 0.95);
	out->preemptions_per_1000 = 1000.0 * (double)sim->preemptions / fmax((double)started, 1.0);
	out->long_preempted = 1000.0 * (double)sim->long_preempted / fmax((double)started, 1.0);
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
	entry->pool = pool_create("zone", "region", sim->setup->seed * 100 + index);
	entry->queue = wfq_create();
	for (uint32_t i = 0; i < sim->setup->dep->engines; i++) {
		char id[16];

		snprintf(id, sizeof(id), "%u", i);
		entry->ups[i] = pool_put(entry->pool, id, "engines", "address", "zone", "region");
	}
	for (uint32_t c = 0; c < 2; c++) {
		entry->root[c] = len_create(NULL);
		for (uint32_t i = 0; i < CUSTOMERS; i++)
			entry->len[c][i] = len_create(entry->root[c]);
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
					  .readmit_free_percent = sim->setup->readmit_free_percent,
					  .block_tokens = 64 };

	engine->sim = sim;
	engine->index = index;
	engine->due = g_ptr_array_new();
	engine->jobs = g_ptr_array_new();
	engine->model = engine_model_create(&conf, &engine_ops, engine);
	engine_model_stats(engine->model, &engine->reported);
}

static void entry_clear(struct entry *entry)
{
	struct wfq_item *item;

	while ((item = wfq_at(entry->queue, 0))) {
		g_free(wfq_user(item));
		wfq_remove(entry->queue, item, 0);
	}
	wfq_destroy(entry->queue);
	for (uint32_t c = 0; c < 2; c++) {
		for (uint32_t i = 0; i < CUSTOMERS; i++)
			len_destroy(entry->len[c][i]);
		len_destroy(entry->root[c]);
	}
	pool_destroy(entry->pool);
}

static void engine_clear(struct engine *engine)
{
	engine_model_destroy(engine->model);
	for (guint i = 0; i < engine->jobs->len; i++)
		g_free(engine->jobs->pdata[i]);
	g_ptr_array_free(engine->jobs, TRUE);
	g_ptr_array_free(engine->due, TRUE);
}

static void run(const struct setup *setup, struct outcome *out)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->setup = setup;
	sim->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	sim->arrivals = g_rand_new_with_seed(setup->seed);
	sim->choices = g_rand_new_with_seed(setup->seed + 1000);
	sim->stalls = g_array_new(FALSE, FALSE, sizeof(double));
	sim->firsts = g_array_new(FALSE, FALSE, sizeof(double));
	g_queue_init(&sim->waiting);
	for (uint32_t i = 0; i < setup->dep->engines; i++)
		engine_init(sim, &sim->engines[i], i);
	for (uint32_t i = 0; i < setup->dep->entries; i++)
		entry_init(sim, &sim->entries[i], i);
	at(sim, 0, on_reports, sim);
	at(sim, 1, on_reports, sim);
	at(sim, 0, on_gossip, sim);
	at(sim, 0, on_arrival, sim);
	at(sim, 0, on_tick, sim);
	/* Answers that began within the time are followed to their end, to a bound. */
	while (sim->now_us < setup->duration_us + 120 * SECOND_US) {
		struct event event = take(sim);

		sim->now_us = event.at_us;
		event.cb(event.arg);
	}
	measure(sim, out);
	for (uint32_t i = 0; i < setup->dep->engines; i++)
		engine_clear(&sim->engines[i]);
	for (uint32_t i = 0; i < setup->dep->entries; i++)
		entry_clear(&sim->entries[i]);
	g_queue_clear_full(&sim->waiting, g_free);
	g_array_free(sim->heap, TRUE);
	g_array_free(sim->stalls, TRUE);
	g_array_free(sim->firsts, TRUE);
	g_rand_free(sim->arrivals);
	g_rand_free(sim->choices);
	g_free(sim);
}

/* many runs */

struct job {
	struct setup setup;
	struct outcome out;
};

static void run_job(gpointer data, gpointer user)
{
	struct job *job = data;

	(void)user;
	run(&job->setup, &job->out);
}

static void run_jobs(GArray *jobs)
{
	GThreadPool *pool =
		g_thread_pool_new(run_job, NULL, (gint)g_get_num_processors(), FALSE, NULL);

	for (guint i = 0; i < jobs->len; i++)
		g_thread_pool_push(pool, &g_array_index(jobs, struct job, i), NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

/* Options as given. */
struct options {
	gint seeds;
	gint seconds;
	gint margin;
	gint lag_ms;

	gchar *deployment;
	gchar *json;
	gchar *loads;
	gchar *policy;
	gint room_factor;
	gdouble deviations; /* in place of the profiles' own; negative keeps them */
	gdouble capacity;   /* requests a second; 0 finds it */
	gboolean burst;
};

static struct setup base_setup(const struct options *opt, const struct deployment *dep)
{
	return (struct setup){ .dep = dep,
			       .readmit_free_percent = (uint32_t)opt->margin,
			       .lag_us = (uint64_t)opt->lag_ms * 1000,
			       .duration_us = (uint64_t)opt->seconds * SECOND_US,
			       .warmup_us = (uint64_t)opt->seconds * SECOND_US / 4,
			       .deviations = opt->deviations,
			       .room_factor = (uint32_t)opt->room_factor,
			       .burst = opt->burst };
}

/* Finds the oracle's highest goodput, as the rate of requests that asks for so much. */
static double find_capacity(const struct options *opt, const struct deployment *dep)
{
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct job));
	double best = 0.0;
	double tokens = 0.0; /* mean output of a request */

	for (double rate = 30.0; rate <= 200.0; rate *= 1.08) {
		struct job job = { .setup = base_setup(opt, dep) };

		job.setup.policy = ORACLE;
		job.setup.rate_per_s = rate;
		job.setup.seed = 99;
		job.setup.burst = false;
		g_array_append_val(jobs, job);
	}
	run_jobs(jobs);
	for (guint i = 0; i < jobs->len; i++) {
		const struct job *job = &g_array_index(jobs, struct job, i);

		best = fmax(best, job->out.goodput);
		tokens = job->out.offered / job->setup.rate_per_s;
	}
	g_array_free(jobs, TRUE);
	printf("# %s: capacity %.0f tokens/s, that is %.1f requests/s of %.0f tokens\n", dep->name,
	       best, best / tokens, tokens);
	return best / tokens;
}

static double pick(const struct job *jobs, guint seeds, size_t offset, double part)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	double result;

	for (guint i = 0; i < seeds; i++)
		g_array_append_val(
			values,
			*(const double *)(const void *)((const char *)&jobs[i].out + offset));
	g_array_sort(values, compare_double);
	result = g_array_index(values, double, (guint)(part * (seeds - 1) + 0.5));
	g_array_free(values, TRUE);
	return result;
}

#define MEDIAN(field) pick(jobs, seeds, offsetof(struct outcome, field), 0.5)
#define LOW(field)    pick(jobs, seeds, offsetof(struct outcome, field), 0.0)
#define HIGH(field)   pick(jobs, seeds, offsetof(struct outcome, field), 1.0)

static void print_row(const struct job *jobs, guint seeds, json_t *rows)
{
	const struct setup *setup = &jobs->setup;

	printf("%-10s %4.2f %-14s %6.3f %6.3f [%6.3f %6.3f] %7.2f %7.2f [%6.2f %6.2f] %5.1f %5.1f "
	       "%6.1f %6.3f %7.0f %5.1f %5.3f %5.2f %5.2f\n",
	       setup->dep->name, setup->load, policy_names[setup->policy], MEDIAN(stall_p50_s),
	       MEDIAN(stall_p99_s), LOW(stall_p99_s), HIGH(stall_p99_s), MEDIAN(stall_max_s),
	       MEDIAN(preemptions_per_1000), LOW(preemptions_per_1000), HIGH(preemptions_per_1000),
	       MEDIAN(gap_p50_ms), MEDIAN(gap_p95_ms), MEDIAN(gap_p999_ms), MEDIAN(first_p95_s),
	       MEDIAN(goodput), MEDIAN(refused_percent), MEDIAN(jain), MEDIAN(worst_share),
	       MEDIAN(long_preempted));
	json_array_append_new(
		rows, json_pack("{s:s, s:f, s:s, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
				"deployment", setup->dep->name, "load", setup->load, "policy",
				policy_names[setup->policy], "stall_p50_s", MEDIAN(stall_p50_s),
				"stall_p99_s", MEDIAN(stall_p99_s), "preemptions_per_1000",
				MEDIAN(preemptions_per_1000), "gap_p95_ms", MEDIAN(gap_p95_ms),
				"gap_p999_ms", MEDIAN(gap_p999_ms), "first_p95_s",
				MEDIAN(first_p95_s), "goodput", MEDIAN(goodput), "refused_percent",
				MEDIAN(refused_percent), "jain", MEDIAN(jain)));
}

static void bench_deployment(const struct options *opt, const struct deployment *dep, json_t *rows)
{
	double capacity = opt->capacity > 0.0 ? opt->capacity : find_capacity(opt, dep);
	g_auto(GStrv) loads = g_strsplit(opt->loads, ",", 0);
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct job));
	guint seeds = (guint)MIN(opt->seeds, SEEDS_MAX);

	for (uint32_t l = 0; loads[l]; l++) {
		for (int policy = 0; policy < POLICY_COUNT; policy++) {
			if (opt->policy && strcmp(opt->policy, policy_names[policy]) != 0)
				continue;
			for (guint seed = 0; seed < seeds; seed++) {
				struct job job = { .setup = base_setup(opt, dep) };

				job.setup.policy = (enum policy)policy;
				job.setup.load = g_ascii_strtod(loads[l], NULL);
				job.setup.rate_per_s = capacity * job.setup.load;
				job.setup.seed = seed + 1;
				g_array_append_val(jobs, job);
			}
		}
	}
	run_jobs(jobs);
	for (guint i = 0; i < jobs->len; i += seeds)
		print_row(&g_array_index(jobs, struct job, i), seeds, rows);
	g_array_free(jobs, TRUE);
}

int main(int argc, char **argv)
{
	struct options opt = {
		.seeds = 5, .seconds = 240, .margin = 2, .lag_ms = 500, .deviations = -1.0
	};
	const GOptionEntry options[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &opt.seeds, "Seeds for each row", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &opt.seconds, "Virtual time of a run", "N" },
		{ "margin", 0, 0, G_OPTION_ARG_INT, &opt.margin,
		  "Memory an engine keeps free before it takes preempted work back", "PERCENT" },
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &opt.lag_ms, "Age of load reports", "N" },
		{ "deployment", 0, 0, G_OPTION_ARG_STRING, &opt.deployment, "Only this one",
		  "NAME" },
		{ "loads", 0, 0, G_OPTION_ARG_STRING, &opt.loads, "Loads relative to capacity",
		  "LIST" },
		{ "deviations", 0, 0, G_OPTION_ARG_DOUBLE, &opt.deviations,
		  "In place of the profiles' own", "N" },
		{ "room-factor", 0, 0, G_OPTION_ARG_INT, &opt.room_factor,
		  "In place of the profiles' own", "N" },
		{ "policy", 0, 0, G_OPTION_ARG_STRING, &opt.policy, "Only this one", "NAME" },
		{ "capacity", 0, 0, G_OPTION_ARG_DOUBLE, &opt.capacity,
		  "Requests a second at capacity, when known", "RATE" },
		{ "burst", 0, 0, G_OPTION_ARG_NONE, &opt.burst,
		  "One customer asks ten times as much in the middle third", NULL },
		{ "json", 0, 0, G_OPTION_ARG_FILENAME, &opt.json, "Write rows as JSON", "FILE" },
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
		opt.loads = g_strdup("0.5,0.9,1.0,1.1,1.2");
	printf("# deployment load policy stall_p50_s stall_p99_s [low high] stall_max_s "
	       "preempt_1000 "
	       "[low high] gap_p50 gap_p95 gap_p999_ms first_p95_s goodput refused%% jain "
	       "worst_share long_pushed_1000\n");
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		if (!opt.deployment || strcmp(opt.deployment, deployments[i].name) == 0)
			bench_deployment(&opt, &deployments[i], rows);
	}
	if (opt.json)
		json_dump_file(rows, opt.json, JSON_INDENT(1));
	json_decref(rows);
	return 0;
}
