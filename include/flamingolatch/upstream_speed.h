/**
 * @file upstream_speed.h
 * Learns how fast the upstreams of a service are, relative to one another.
 *
 * A sample is the logarithm of an observed time divided by the time expected of an
 * upstream of nominal speed under the same load. Samples are of several kinds; the
 * unit of the expected time cancels out, since each kind is compared with the median
 * of the service. The mean of logarithms absorbs short slow periods: an upstream that
 * is 2.5 times slower for 15% of the time has the same factor as all others that are.
 *
 * A speed is the sum of the samples of this instance and of what peers and zones
 * report. Older samples count less. The factor is pulled towards 1 by the variance of
 * the samples, so that few or widely scattered samples mean little.
 *
 * Order of calls: upstream_speed_add() for each observation; at intervals, for each
 * upstream of a service upstream_speed_begin(), upstream_speed_add_report() for each
 * member of the zone, upstream_speed_end_zone(), upstream_speed_add_report() for each
 * other zone, and then upstream_speed_finish() for the service. All structs start
 * zeroed. Does no I/O and reads no clock.
 */
#ifndef FLAMINGOLATCH_UPSTREAM_SPEED_H
#define FLAMINGOLATCH_UPSTREAM_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#define UPSTREAM_SPEED_MIN 0.2
#define UPSTREAM_SPEED_MAX 5.0
/** Without samples for this long, a factor is 1. */
#define UPSTREAM_SPEED_KEEP_US (10ULL * 1000 * 1000)
/** Time after which a sample counts 1/e. It covers 13 periods of 600 ms in which an upstream may be
 * slow by chance, which leaves a deviation of 9% in the mean. */
#define UPSTREAM_SPEED_DECAY_US (8ULL * 1000 * 1000)

/** Who reports. */
enum upstream_speed_source {
	UPSTREAM_SPEED_MEMBER, /**< another instance of the zone */
	UPSTREAM_SPEED_ZONE    /**< another zone, all its instances together */
};

/** What was observed. */
enum upstream_speed_kind {
	UPSTREAM_SPEED_FIRST_EVENT, /**< time to the first event of a generation */
	UPSTREAM_SPEED_EVENT_GAP,   /**< time for a number of further events */
	UPSTREAM_SPEED_CALL,	    /**< time of a call */
	UPSTREAM_SPEED_KIND_COUNT
};

/** Samples of one kind. */
struct upstream_speed_sum {
	double weight;	/**< their number, older ones in part */
	double log_sum; /**< weighted sum */
};

/** Samples of one upstream, as reported by a peer or a zone. */
struct upstream_speed_report {
	struct upstream_speed_sum sums[UPSTREAM_SPEED_KIND_COUNT];
	uint64_t sampled_us; /**< time of the newest sample, by the receiver's clock */
};

/** Speed of one upstream. */
struct upstream_speed {
	struct upstream_speed_report own;
	struct upstream_speed_report zone; /**< of the instances of this zone */
	struct upstream_speed_report all;
	uint64_t decayed_us;  /**< time to which the weights of @c own apply */
	double factor;	      /**< 1 is the median of the service, 2 is twice as fast; 0 before the
			       * first upstream_speed_finish() */
	double confidence;    /**< 0 to 1 */
	double logged_factor; /**< for the log, like @c logged_us; not used here */
	uint64_t logged_us;
	bool in_effect; /**< placement uses @c factor */
};

/** What is known of the samples of a service. */
struct upstream_speed_service {
	double variance[UPSTREAM_SPEED_KIND_COUNT]; /**< of the samples of an upstream */
	double variance_weight[UPSTREAM_SPEED_KIND_COUNT];
	double median[UPSTREAM_SPEED_KIND_COUNT]; /**< of the means of the upstreams */
	bool has_median[UPSTREAM_SPEED_KIND_COUNT];
	double spread; /**< 90th percentile of the factors divided by the 10th; 0 when unknown */
	bool in_effect;
};

/** Adds an observation of this instance. Times of 0 are ignored. */
void upstream_speed_add(struct upstream_speed_service *service, struct upstream_speed *speed,
			enum upstream_speed_kind kind, double observed_us, double expected_us,
			uint64_t now_us);
/** Begins an update with the samples of this instance. */
void upstream_speed_begin(struct upstream_speed *speed, uint64_t now_us);
/**
 * Adds a report of a peer or a zone; one whose samples are too old is ignored, and values beyond
 * the bounds count as the bounds.
 * @param received_us when the report arrived; its weights apply to that time
 * @param source decides how much the report may weigh: not much more than the samples of this
 *        instance, or those of its zone, so that a wrong peer does not outweigh the others
 */
void upstream_speed_add_report(const struct upstream_speed_service *service,
			       struct upstream_speed *speed,
			       const struct upstream_speed_report *report, uint64_t received_us,
			       enum upstream_speed_source source, uint64_t now_us);
/** Records that the reports of the own zone are complete. */
void upstream_speed_end_zone(struct upstream_speed *speed);
/**
 * Computes the factors of the upstreams of a service and whether they take effect.
 * @param min_spread ratio of the 90th to the 10th percentile beyond which they do; 0: never
 */
void upstream_speed_finish(struct upstream_speed_service *service, struct upstream_speed **speeds,
			   uint32_t count, double min_spread, uint64_t now_us);
/** Returns the weight of all samples. */
double upstream_speed_weight(const struct upstream_speed_report *report);
/** Tells whether a request is to be placed as if all speeds were equal: one in 16 is, so that a
 * slow upstream to which no other request goes is still measured. @param draw random number */
bool upstream_speed_ignores(uint32_t draw);
/** Returns the factor that placement uses: 1 unless the speeds of the service are in effect. */
double upstream_speed_factor(const struct upstream_speed *speed);

#endif
