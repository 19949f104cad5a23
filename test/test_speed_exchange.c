/**
 * @file test_speed_exchange.c
 * Reports on learned speeds: what is encoded is decoded again, values beyond the range of the
 * message are cut, and malformed bytes are rejected.
 */
#include "../src/serve/speed_exchange.h"

static GByteArray *encode_sample(void)
{
	GByteArray *bytes = g_byte_array_new();
	struct speed_exchange_report report = {
		.address = "10.0.0.1:8750",
		.zone = "z1",
		.is_total = true,
		.speeds = g_array_new(FALSE, FALSE, sizeof(struct speed_exchange_speed)),
	};
	struct speed_exchange_speed speeds[] = {
		{ 7, 250, { { 4.0, -2.0 }, { 0.0, 0.0 }, { 12.5, 50.0 } } },
		{ 8, 1000000, { { 1e9, 1e12 }, { 1.0, -1e3 }, { 0.0, 0.0 } } },
	};

	g_array_append_vals(report.speeds, speeds, G_N_ELEMENTS(speeds));
	speed_exchange_encode(bytes, &report);
	g_array_free(report.speeds, TRUE);
	return bytes;
}

static void test_round_trip(void)
{
	g_autoptr(GByteArray) bytes = encode_sample();
	g_autoptr(GVariant) owner = NULL;
	struct speed_exchange_report report;
	const struct speed_exchange_speed *speeds;

	g_assert_true(speed_exchange_decode(bytes->data, bytes->len, &report, &owner));
	g_assert_cmpstr(report.address, ==, "10.0.0.1:8750");
	g_assert_cmpstr(report.zone, ==, "z1");
	g_assert_true(report.is_total);
	g_assert_cmpuint(report.speeds->len, ==, 2);
	speeds = (const struct speed_exchange_speed *)report.speeds->data;
	g_assert_cmpuint(speeds[0].upstream, ==, 7);
	g_assert_cmpuint(speeds[0].age_ms, ==, 250);
	g_assert_cmpfloat_with_epsilon(speeds[0].sums[0].weight, 4.0, 0.01);
	g_assert_cmpfloat_with_epsilon(speeds[0].sums[0].log_sum, -2.0, 0.01);
	g_assert_cmpfloat_with_epsilon(speeds[0].sums[2].log_sum, 50.0, 0.1);
	/* too old to be used, and not more than the message holds */
	g_assert_cmpuint(speeds[1].age_ms, ==, G_MAXUINT16);
	g_assert_cmpfloat(speeds[1].sums[0].weight, <=, 4096.0);
	g_assert_cmpfloat(speeds[1].sums[0].log_sum / speeds[1].sums[0].weight, <, 33.0);
	g_assert_cmpfloat(speeds[1].sums[1].log_sum, >, -33.0);
	g_array_free(report.speeds, TRUE);
}

/* Every beginning of a report, and every report with one bit changed, is decoded without a fault or
 * rejected. */
static void test_malformed(void)
{
	g_autoptr(GByteArray) bytes = encode_sample();

	for (guint len = 0; len <= bytes->len; len++) {
		for (guint bit = 0; bit < (len == bytes->len ? 8 * len : 1); bit++) {
			g_autofree guint8 *copy = g_memdup2(bytes->data, MAX(len, 1));
			struct speed_exchange_report report;
			g_autoptr(GVariant) owner = NULL;

			if (len == bytes->len)
				copy[bit / 8] ^= (guint8)(1U << bit % 8);
			if (speed_exchange_decode(copy, len, &report, &owner))
				g_array_free(report.speeds, TRUE);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/speed-exchange/round-trip", test_round_trip);
	g_test_add_func("/speed-exchange/malformed", test_malformed);
	return g_test_run();
}
