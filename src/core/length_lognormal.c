#include "flamingolatch/length_lognormal.h"

#include <math.h>

#define GSS_PRIOR_COUNT 6.0  /* generations that the prior weighs as much as */
#define GSS_PRIOR_SHARE 0.3  /* of the most output, at the median */
#define GSS_PRIOR_SIGMA 0.85 /* spread of written answers */
#define GSS_HINT_SIGMA	1.2  /* spread of callers' guesses about the true length */
#define GSS_CAPPED_LOG	0.35 /* mean of what a limit cuts off, in logarithms at that spread */
#define GSS_DEFAULT_MAX 4096
#define GSS_MIN_SIGMA	0.2
#define GSS_SURELY	1e-6

void gss_init(struct guess *guess, uint64_t max_tokens)
{
	double most = max_tokens ? (double)max_tokens : GSS_DEFAULT_MAX;
	double middle = log(fmax(most * GSS_PRIOR_SHARE, 1.0));

	guess->count = GSS_PRIOR_COUNT;
	guess->log_sum = GSS_PRIOR_COUNT * middle;
	guess->square_sum = GSS_PRIOR_COUNT * (middle * middle + GSS_PRIOR_SIGMA * GSS_PRIOR_SIGMA);
}

void gss_learn(struct guess *guess, uint64_t tokens, bool capped)
{
	double value = log(fmax((double)tokens, 1.0)) + (capped ? GSS_CAPPED_LOG : 0.0);

	guess->count += 1.0;
	guess->log_sum += value;
	guess->square_sum += value * value;
}

static double gss_normal(double z)
{
	return 0.5 * erfc(-z / M_SQRT2);
}

/* Probability that a lognormal value is over @p from. */
static double gss_over(double mean, double sigma, double from)
{
	return from <= 0.0 ? 1.0 : gss_normal((mean - log(from)) / sigma);
}

/* Part of a lognormal value's mean that lies over @p from. */
static double gss_part_over(double mean, double sigma, double from)
{
	double whole = exp(mean + sigma * sigma / 2.0);

	if (from <= 0.0)
		return whole;
	return whole * gss_normal((mean + sigma * sigma - log(from)) / sigma);
}

uint64_t gss_expected(const struct guess *guess, uint64_t hint, uint64_t max, uint64_t made)
{
	double mean = guess->log_sum / guess->count;
	double spread = guess->square_sum / guess->count - mean * mean;
	double sigma = fmax(sqrt(fmax(spread, 0.0)), GSS_MIN_SIGMA);
	double most = max ? (double)max : GSS_DEFAULT_MAX;
	double over;
	double expected;

	if (hint) {
		double own = 1.0 / (sigma * sigma);
		double told = 1.0 / (GSS_HINT_SIGMA * GSS_HINT_SIGMA);

		mean = (mean * own + log((double)hint) * told) / (own + told);
		sigma = fmax(sqrt(1.0 / (own + told)), GSS_MIN_SIGMA);
	}
	if ((double)made >= most)
		return made;
	over = gss_over(mean, sigma, (double)made);
	/* Beyond all that is known it may go on to its limit. */
	if (over < GSS_SURELY)
		return (uint64_t)most;
	expected = (gss_part_over(mean, sigma, (double)made) - gss_part_over(mean, sigma, most) +
		    most * gss_over(mean, sigma, most)) /
		   over;
	return (uint64_t)fmin(fmax(expected, (double)made), most);
}
