#include "flamingolatch/upstream_speed.h"

#include <glib.h>
#include <math.h>

/* Bounds of one sample, in natural logarithms of a ratio: more is a fault, not a speed. */
#define UPSTREAM_SPEED_SAMPLE_MAX_LOG 4.0
/* Variance of the logarithms of the speeds of uneven upstreams, such as of 0.7, 0.7 and 1.7. */
#define UPSTREAM_SPEED_PRIOR_VARIANCE 0.15
/* Variance of the samples of an upstream before any is known, and how many samples it counts as. */
#define UPSTREAM_SPEED_START_VARIANCE	   0.3
#define UPSTREAM_SPEED_START_WEIGHT	   10.0
#define UPSTREAM_SPEED_VARIANCE_MAX_WEIGHT 200.0
/* Samples that count against a factor are at least this many: those of a slow period are alike. */
#define UPSTREAM_SPEED_MIN_PRIOR_WEIGHT 1.0
/* Largest weight of a report: of a member of the zone or another zone when this instance has no
 * samples, and in addition for each of its own, or of its zone. */
#define UPSTREAM_SPEED_MEMBER_WEIGHT 4.0
#define UPSTREAM_SPEED_ZONE_WEIGHT   30.0
#define UPSTREAM_SPEED_REPORT_SHARE  1.0
/* An upstream with less weight does not count in medians and percentiles. */
#define UPSTREAM_SPEED_MIN_WEIGHT 2.0
/* The same while speeds are in effect: then slow upstreams get few requests. */
#define UPSTREAM_SPEED_KEEP_WEIGHT 0.5
/* Requests of which one is placed regardless of speeds. */
#define UPSTREAM_SPEED_IGNORE_INTERVAL 16
/* Fewer upstreams have no percentiles. */
#define UPSTREAM_SPEED_MIN_COUNT 3
/* Speeds that are in effect stay so until the spread is below this share of the setting. */
#define UPSTREAM_SPEED_KEEP_SHARE 0.85

/* helpers */

static double upstream_speed_decay(uint64_t elapsed_us)
{
	return exp(-(double)elapsed_us / (double)UPSTREAM_SPEED_DECAY_US);
}

static void upstream_speed_scale(struct upstream_speed_report *report, double share)
{
	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
		report->sums[kind].weight *= share;
		report->sums[kind].log_sum *= share;
	}
}

static void upstream_speed_age_own(struct upstream_speed *speed, uint64_t now_us)
{
	if (now_us <= speed->decayed_us)
		return;
	upstream_speed_scale(&speed->own, upstream_speed_decay(now_us - speed->decayed_us));
	speed->decayed_us = now_us;
}

static int upstream_speed_compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return left < right ? -1 : left > right;
}

/* Returns a quantile of sorted values, interpolated. */
static double upstream_speed_quantile(const double *sorted, uint32_t count, double fraction)
{
	double position = fraction * (count - 1);
	uint32_t below = (uint32_t)position;

	if (below + 1 >= count)
		return sorted[count - 1];
	return sorted[below] + (position - below) * (sorted[below + 1] - sorted[below]);
}

static double upstream_speed_variance(const struct upstream_speed_service *service, int kind)
{
	return (service->variance[kind] * service->variance_weight[kind] +
		UPSTREAM_SPEED_START_VARIANCE * UPSTREAM_SPEED_START_WEIGHT) /
	       (service->variance_weight[kind] + UPSTREAM_SPEED_START_WEIGHT);
}

/* Updates the variance of the samples with one that deviates from the mean of @p weight others. */
static void upstream_speed_add_deviation(struct upstream_speed_service *service, int kind,
					 double deviation, double weight)
{
	double *total = &service->variance_weight[kind];
	/* The mean of few samples deviates as well. */
	double square = deviation * deviation * weight / (weight + 1.0);

	*total = MIN(*total + 1.0, UPSTREAM_SPEED_VARIANCE_MAX_WEIGHT);
	service->variance[kind] += (square - service->variance[kind]) / *total;
}

static double upstream_speed_min_weight(const struct upstream_speed_service *service)
{
	return service->in_effect ? UPSTREAM_SPEED_KEEP_WEIGHT : UPSTREAM_SPEED_MIN_WEIGHT;
}

/* Returns the largest weight of a report. Instances of a zone have about as many samples as this
 * one; another zone may have more than the own one of upstreams that are there. */
static double upstream_speed_max_weight(const struct upstream_speed *speed,
					enum upstream_speed_source source)
{
	double weight =
		upstream_speed_weight(source == UPSTREAM_SPEED_ZONE ? &speed->zone : &speed->own);

	return UPSTREAM_SPEED_REPORT_SHARE * weight + (source == UPSTREAM_SPEED_ZONE
							       ? UPSTREAM_SPEED_ZONE_WEIGHT
							       : UPSTREAM_SPEED_MEMBER_WEIGHT);
}

/* Sets the medians of the means of the upstreams, one of each kind. */
static void upstream_speed_set_medians(struct upstream_speed_service *service,
				       struct upstream_speed **speeds, uint32_t count,
				       double *values)
{
	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
		uint32_t known = 0;

		for (uint32_t i = 0; i < count; i++) {
			const struct upstream_speed_sum *sum = &speeds[i]->all.sums[kind];

			if (sum->weight >= upstream_speed_min_weight(service))
				values[known++] = sum->log_sum / sum->weight;
		}
		if (known < UPSTREAM_SPEED_MIN_COUNT)
			continue;
		qsort(values, known, sizeof(*values), upstream_speed_compare);
		service->median[kind] = upstream_speed_quantile(values, known, 0.5);
		service->has_median[kind] = true;
	}
}

/* Sets the factor and the confidence of one upstream. Each kind of samples counts by its weight
 * divided by its variance. */
static void upstream_speed_set_factor(const struct upstream_speed_service *service,
				      struct upstream_speed *speed, uint64_t now_us)
{
	uint64_t age_us = now_us - MIN(speed->all.sampled_us, now_us);
	double fresh = 1.0 - MIN((double)age_us / (double)UPSTREAM_SPEED_KEEP_US, 1.0);
	double log_sum = 0.0;
	double weight = 0.0;

	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
		const struct upstream_speed_sum *sum = &speed->all.sums[kind];
		double prior =
			MAX(upstream_speed_variance(service, kind) / UPSTREAM_SPEED_PRIOR_VARIANCE,
			    UPSTREAM_SPEED_MIN_PRIOR_WEIGHT);

		if (sum->weight <= 0.0 || !service->has_median[kind])
			continue;
		weight += sum->weight / prior;
		log_sum += (sum->log_sum - sum->weight * service->median[kind]) / prior;
	}
	speed->confidence = weight > 0.0 ? fresh * weight / (weight + 1.0) : 0.0;
	speed->factor = weight > 0.0 ? exp(-speed->confidence * log_sum / weight) : 1.0;
	speed->factor = CLAMP(speed->factor, UPSTREAM_SPEED_MIN, UPSTREAM_SPEED_MAX);
}

/* commands */

void upstream_speed_add(struct upstream_speed_service *service, struct upstream_speed *speed,
			enum upstream_speed_kind kind, double observed_us, double expected_us,
			uint64_t now_us)
{
	struct upstream_speed_sum *sum = &speed->own.sums[kind];
	double value;

	if (observed_us <= 0.0 || expected_us <= 0.0)
		return;
	value = CLAMP(log(observed_us / expected_us), -UPSTREAM_SPEED_SAMPLE_MAX_LOG * 4,
		      UPSTREAM_SPEED_SAMPLE_MAX_LOG * 4);
	/* The unit of the expected time is arbitrary until the median is known. */
	if (service->has_median[kind])
		value = CLAMP(value, service->median[kind] - UPSTREAM_SPEED_SAMPLE_MAX_LOG,
			      service->median[kind] + UPSTREAM_SPEED_SAMPLE_MAX_LOG);
	upstream_speed_age_own(speed, now_us);
	if (sum->weight > 0.5)
		upstream_speed_add_deviation(service, (int)kind, value - sum->log_sum / sum->weight,
					     sum->weight);
	sum->weight += 1.0;
	sum->log_sum += value;
	speed->own.sampled_us = now_us;
}

void upstream_speed_begin(struct upstream_speed *speed, uint64_t now_us)
{
	upstream_speed_age_own(speed, now_us);
	speed->all = speed->own;
}

void upstream_speed_add_report(const struct upstream_speed_service *service,
			       struct upstream_speed *speed,
			       const struct upstream_speed_report *report, uint64_t received_us,
			       enum upstream_speed_source source, uint64_t now_us)
{
	double bound = log(UPSTREAM_SPEED_MAX);
	double max_weight = upstream_speed_max_weight(speed, source);
	double total = upstream_speed_weight(report);
	double share;

#if defined(FL_FAULT_TRUST_REPORTS)
	/* Deliberate defect, which the tests have to detect: a report counts in full. */
	bound = HUGE_VAL;
	max_weight = HUGE_VAL;
#endif
	if (report->sampled_us + UPSTREAM_SPEED_KEEP_US <= now_us || !(total > 0.0))
		return;
	share = upstream_speed_decay(now_us - MIN(received_us, now_us)) *
		MIN(max_weight / total, 1.0);
	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++) {
		const struct upstream_speed_sum *sum = &report->sums[kind];
		double mean = sum->weight > 0.0 ? sum->log_sum / sum->weight : 0.0;

		if (service->has_median[kind])
			mean = CLAMP(mean, service->median[kind] - bound,
				     service->median[kind] + bound);
		speed->all.sums[kind].weight += sum->weight * share;
		speed->all.sums[kind].log_sum += mean * sum->weight * share;
	}
	speed->all.sampled_us = MAX(speed->all.sampled_us, MIN(report->sampled_us, now_us));
}

void upstream_speed_end_zone(struct upstream_speed *speed)
{
	speed->zone = speed->all;
}

void upstream_speed_finish(struct upstream_speed_service *service, struct upstream_speed **speeds,
			   uint32_t count, double min_spread, uint64_t now_us)
{
	g_autofree double *values = g_new(double, MAX(count, 1));
	uint32_t known = 0;

	upstream_speed_set_medians(service, speeds, count, values);
	for (uint32_t i = 0; i < count; i++) {
		upstream_speed_set_factor(service, speeds[i], now_us);
		if (upstream_speed_weight(&speeds[i]->all) >= upstream_speed_min_weight(service))
			values[known++] = speeds[i]->factor;
	}
	service->spread = 0.0;
	if (known >= UPSTREAM_SPEED_MIN_COUNT) {
		qsort(values, known, sizeof(*values), upstream_speed_compare);
		service->spread = upstream_speed_quantile(values, known, 0.9) /
				  upstream_speed_quantile(values, known, 0.1);
	}
	service->in_effect =
		min_spread > 0.0 &&
		service->spread >
			min_spread * (service->in_effect ? UPSTREAM_SPEED_KEEP_SHARE : 1.0);
	for (uint32_t i = 0; i < count; i++)
		speeds[i]->in_effect = service->in_effect;
}

/* queries */

bool upstream_speed_ignores(uint32_t draw)
{
	return draw % UPSTREAM_SPEED_IGNORE_INTERVAL == 0;
}

double upstream_speed_factor(const struct upstream_speed *speed)
{
	return speed->in_effect ? speed->factor : 1.0;
}

double upstream_speed_weight(const struct upstream_speed_report *report)
{
	double weight = 0.0;

	for (int kind = 0; kind < UPSTREAM_SPEED_KIND_COUNT; kind++)
		weight += report->sums[kind].weight;
	return weight;
}
