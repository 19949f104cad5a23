#include "flamingolatch/length_lognormal.h"

#include <math.h>

#define LENGTH_LOGNORMAL_PRIOR_COUNT	    6.0	 /* weight of the prior, in generations */
#define LENGTH_LOGNORMAL_PRIOR_MEDIAN_SHARE 0.3	 /* median, as a share of the largest length */
#define LENGTH_LOGNORMAL_PRIOR_SIGMA	    0.85 /* spread of the lengths of written answers */
#define LENGTH_LOGNORMAL_HINT_SIGMA	    1.2	 /* spread of true lengths around callers' hints */
/* Added to the logarithm of the length of a generation that reached its limit: the mean logarithm
 * of the factor by which it would have become longer, at the prior's spread. */
#define LENGTH_LOGNORMAL_CAPPED_LOG	    0.35
#define LENGTH_LOGNORMAL_DEFAULT_MAX_TOKENS 4096
#define LENGTH_LOGNORMAL_MIN_SIGMA	    0.2
#define LENGTH_LOGNORMAL_MIN_PROBABILITY    1e-6

void length_lognormal_init(struct length_lognormal *estimate, uint64_t max_tokens)
{
	double limit = max_tokens ? (double)max_tokens : LENGTH_LOGNORMAL_DEFAULT_MAX_TOKENS;
	double log_median = log(fmax(limit * LENGTH_LOGNORMAL_PRIOR_MEDIAN_SHARE, 1.0));

	estimate->count = LENGTH_LOGNORMAL_PRIOR_COUNT;
	estimate->log_sum = LENGTH_LOGNORMAL_PRIOR_COUNT * log_median;
	estimate->log_square_sum = LENGTH_LOGNORMAL_PRIOR_COUNT *
				   (log_median * log_median +
				    LENGTH_LOGNORMAL_PRIOR_SIGMA * LENGTH_LOGNORMAL_PRIOR_SIGMA);
}

void length_lognormal_learn(struct length_lognormal *estimate, uint64_t tokens, bool capped)
{
	double value =
		log(fmax((double)tokens, 1.0)) + (capped ? LENGTH_LOGNORMAL_CAPPED_LOG : 0.0);

	estimate->count += 1.0;
	estimate->log_sum += value;
	estimate->log_square_sum += value * value;
}

/* Returns the cumulative distribution function of the standard normal distribution. */
static double length_lognormal_normal_cdf(double z)
{
	return 0.5 * erfc(-z / M_SQRT2);
}

/* Returns the probability that a lognormal value exceeds a threshold; @p mean and @p sigma are
 * those of its logarithm. */
static double length_lognormal_probability_above(double mean, double sigma, double threshold)
{
	return threshold <= 0.0 ? 1.0
				: length_lognormal_normal_cdf((mean - log(threshold)) / sigma);
}

/* Returns the contribution of the values above a threshold to the mean of a lognormal value. */
static double length_lognormal_partial_mean_above(double mean, double sigma, double threshold)
{
	double whole = exp(mean + sigma * sigma / 2.0);

	if (threshold <= 0.0)
		return whole;
	return whole * length_lognormal_normal_cdf((mean + sigma * sigma - log(threshold)) / sigma);
}

uint64_t length_lognormal_expected(const struct length_lognormal *estimate, uint64_t hint,
				   uint64_t max_tokens, uint64_t generated)
{
	double mean = estimate->log_sum / estimate->count;
	double variance = estimate->log_square_sum / estimate->count - mean * mean;
	double sigma = fmax(sqrt(fmax(variance, 0.0)), LENGTH_LOGNORMAL_MIN_SIGMA);
	double limit = max_tokens ? (double)max_tokens : LENGTH_LOGNORMAL_DEFAULT_MAX_TOKENS;
	double probability_above;
	double expected;

	if (hint) {
		double route_precision = 1.0 / (sigma * sigma);
		double hint_precision =
			1.0 / (LENGTH_LOGNORMAL_HINT_SIGMA * LENGTH_LOGNORMAL_HINT_SIGMA);

		mean = (mean * route_precision + log((double)hint) * hint_precision) /
		       (route_precision + hint_precision);
		sigma = fmax(sqrt(1.0 / (route_precision + hint_precision)),
			     LENGTH_LOGNORMAL_MIN_SIGMA);
	}
	if ((double)generated >= limit)
		return generated;
	probability_above = length_lognormal_probability_above(mean, sigma, (double)generated);
	/* It is longer than the estimate makes likely; assume that it reaches its limit. */
	if (probability_above < LENGTH_LOGNORMAL_MIN_PROBABILITY)
		return (uint64_t)limit;
	expected = (length_lognormal_partial_mean_above(mean, sigma, (double)generated) -
		    length_lognormal_partial_mean_above(mean, sigma, limit) +
		    limit * length_lognormal_probability_above(mean, sigma, limit)) /
		   probability_above;
	return (uint64_t)fmin(fmax(expected, (double)generated), limit);
}
