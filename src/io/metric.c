#include "flamingolatch/metric.h"

#include <inttypes.h>

/* Bucket i counts values up to 2^i microseconds; the last has no bound. */
#define METRIC_BUCKETS 28

struct metric_hist {
	uint64_t count[METRIC_BUCKETS];
	uint64_t sum_us;
	uint64_t total;
};

struct metric {
	uint64_t counters[METRIC_COUNTER_COUNT];
	int64_t gauges[METRIC_GAUGE_COUNT];
	struct metric_hist hists[METRIC_HISTOGRAM_COUNT];
};

struct metric_name {
	const char *name;
	const char *help;
};

#define METRIC_ROW(sym, name, help) { name, help },
static const struct metric_name metric_counter_names[] = { METRIC_COUNTERS(METRIC_ROW) };
static const struct metric_name metric_gauge_names[] = { METRIC_GAUGES(METRIC_ROW) };
static const struct metric_name metric_hist_names[] = { METRIC_HISTOGRAMS(METRIC_ROW) };
#undef METRIC_ROW

/* lifetime */

struct metric *metric_create(void)
{
	return g_new0(struct metric, 1);
}

void metric_destroy(struct metric *metric)
{
	g_free(metric);
}

/* commands */

void metric_add(struct metric *metric, enum metric_counter id, uint64_t by)
{
	metric->counters[id] += by;
}

void metric_set(struct metric *metric, enum metric_gauge id, int64_t value)
{
	metric->gauges[id] = value;
}

void metric_observe(struct metric *metric, enum metric_histogram id, uint64_t value_us)
{
	struct metric_hist *hist = &metric->hists[id];
	uint32_t bucket = value_us <= 1 ? 0 : 64 - (uint32_t)__builtin_clzll(value_us - 1);

	hist->count[MIN(bucket, METRIC_BUCKETS - 1)]++;
	hist->sum_us += value_us;
	hist->total++;
}

/* queries */

uint64_t metric_get(const struct metric *metric, enum metric_counter id)
{
	return metric->counters[id];
}

static void metric_head(GString *out, const struct metric_name *name, const char *type)
{
	g_string_append_printf(out, "# HELP flamingolatch_%s %s\n# TYPE flamingolatch_%s %s\n",
			       name->name, name->help, name->name, type);
}

static void metric_hist_text(GString *out, const struct metric_name *name,
			     const struct metric_hist *hist)
{
	uint64_t seen = 0;

	metric_head(out, name, "histogram");
	for (uint32_t i = 0; i + 1 < METRIC_BUCKETS; i++) {
		seen += hist->count[i];
		g_string_append_printf(out,
				       "flamingolatch_%s_bucket{le=\"%" PRIu64 "\"} %" PRIu64 "\n",
				       name->name, (uint64_t)1 << i, seen);
	}
	g_string_append_printf(
		out,
		"flamingolatch_%s_bucket{le=\"+Inf\"} %" PRIu64 "\nflamingolatch_%s_sum %" PRIu64
		"\nflamingolatch_%s_count %" PRIu64 "\n",
		name->name, hist->total, name->name, hist->sum_us, name->name, hist->total);
}

void metric_write_prometheus(const struct metric *metric, GString *out)
{
	for (uint32_t i = 0; i < METRIC_COUNTER_COUNT; i++) {
		metric_head(out, &metric_counter_names[i], "counter");
		g_string_append_printf(out, "flamingolatch_%s %" PRIu64 "\n",
				       metric_counter_names[i].name, metric->counters[i]);
	}
	for (uint32_t i = 0; i < METRIC_GAUGE_COUNT; i++) {
		metric_head(out, &metric_gauge_names[i], "gauge");
		g_string_append_printf(out, "flamingolatch_%s %" PRId64 "\n",
				       metric_gauge_names[i].name, metric->gauges[i]);
	}
	for (uint32_t i = 0; i < METRIC_HISTOGRAM_COUNT; i++)
		metric_hist_text(out, &metric_hist_names[i], &metric->hists[i]);
}
