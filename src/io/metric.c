#include "flamingolatch/metric.h"

#include <inttypes.h>

/* Bucket i counts values above 2^(i-1) and up to 2^i microseconds; the last has no upper bound. */
#define METRIC_BUCKET_COUNT 28

struct metric_buckets {
	uint64_t count[METRIC_BUCKET_COUNT];
	uint64_t sum_us;
	uint64_t total;
};

struct metric {
	uint64_t counters[METRIC_COUNTER_COUNT];
	int64_t gauges[METRIC_GAUGE_COUNT];
	struct metric_buckets histograms[METRIC_HISTOGRAM_COUNT];
};

struct metric_info {
	const char *name;
	const char *help;
};

#define METRIC_ROW(sym, name, help) { name, help },
static const struct metric_info metric_counter_info[] = { METRIC_COUNTERS(METRIC_ROW) };
static const struct metric_info metric_gauge_info[] = { METRIC_GAUGES(METRIC_ROW) };
static const struct metric_info metric_histogram_info[] = { METRIC_HISTOGRAMS(METRIC_ROW) };
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
	struct metric_buckets *histogram = &metric->histograms[id];
	uint32_t bucket = value_us <= 1 ? 0 : 64 - (uint32_t)__builtin_clzll(value_us - 1);

	histogram->count[MIN(bucket, METRIC_BUCKET_COUNT - 1)]++;
	histogram->sum_us += value_us;
	histogram->total++;
}

/* queries */

uint64_t metric_get(const struct metric *metric, enum metric_counter id)
{
	return metric->counters[id];
}

static void metric_write_header(GString *out, const struct metric_info *info, const char *type)
{
	g_string_append_printf(out, "# HELP flamingolatch_%s %s\n# TYPE flamingolatch_%s %s\n",
			       info->name, info->help, info->name, type);
}

static void metric_write_histogram(GString *out, const struct metric_info *info,
				   const struct metric_buckets *histogram)
{
	uint64_t cumulative = 0;

	metric_write_header(out, info, "histogram");
	for (uint32_t i = 0; i + 1 < METRIC_BUCKET_COUNT; i++) {
		cumulative += histogram->count[i];
		g_string_append_printf(out,
				       "flamingolatch_%s_bucket{le=\"%" PRIu64 "\"} %" PRIu64 "\n",
				       info->name, (uint64_t)1 << i, cumulative);
	}
	g_string_append_printf(out,
			       "flamingolatch_%s_bucket{le=\"+Inf\"} %" PRIu64
			       "\nflamingolatch_%s_sum %" PRIu64 "\nflamingolatch_%s_count %" PRIu64
			       "\n",
			       info->name, histogram->total, info->name, histogram->sum_us,
			       info->name, histogram->total);
}

void metric_write_prometheus(const struct metric *metric, GString *out)
{
	for (uint32_t i = 0; i < METRIC_COUNTER_COUNT; i++) {
		metric_write_header(out, &metric_counter_info[i], "counter");
		g_string_append_printf(out, "flamingolatch_%s %" PRIu64 "\n",
				       metric_counter_info[i].name, metric->counters[i]);
	}
	for (uint32_t i = 0; i < METRIC_GAUGE_COUNT; i++) {
		metric_write_header(out, &metric_gauge_info[i], "gauge");
		g_string_append_printf(out, "flamingolatch_%s %" PRId64 "\n",
				       metric_gauge_info[i].name, metric->gauges[i]);
	}
	for (uint32_t i = 0; i < METRIC_HISTOGRAM_COUNT; i++)
		metric_write_histogram(out, &metric_histogram_info[i], &metric->histograms[i]);
}
