/**
 * @file test_limit_exchange.c
 * Reports on limits that upstreams name: what is encoded is decoded again, and
 * malformed bytes are rejected.
 */
#include "../src/serve/limit_exchange.h"

static GByteArray *encode_sample(void)
{
	GByteArray *bytes = g_byte_array_new();
	struct limit_exchange_report report = {
		.address = "10.0.0.1:8750",
		.zone = "z1",
		.is_total = true,
		.demands = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_demand)),
		.limits = g_array_new(FALSE, FALSE, sizeof(struct limit_exchange_limit)),
	};
	struct limit_exchange_demand demand = { 7, 12.5 };
	struct limit_exchange_limit limits[] = { { 8, 3.4, 100 }, { 9, -1.0, 0 }, { 10, 1e9, 1 } };

	g_array_append_val(report.demands, demand);
	g_array_append_vals(report.limits, limits, G_N_ELEMENTS(limits));
	limit_exchange_encode(bytes, &report);
	g_array_free(report.demands, TRUE);
	g_array_free(report.limits, TRUE);
	return bytes;
}

static void test_round_trip(void)
{
	g_autoptr(GByteArray) bytes = encode_sample();
	g_autoptr(GVariant) owner = NULL;
	struct limit_exchange_report report;
	const struct limit_exchange_limit *limits;

	g_assert_true(limit_exchange_decode(bytes->data, bytes->len, &report, &owner));
	g_assert_cmpstr(report.address, ==, "10.0.0.1:8750");
	g_assert_cmpstr(report.zone, ==, "z1");
	g_assert_true(report.is_total);
	g_assert_cmpuint(report.demands->len, ==, 1);
	g_assert_cmpfloat(g_array_index(report.demands, struct limit_exchange_demand, 0).per_s, ==,
			  12.5);
	g_assert_cmpuint(report.limits->len, ==, 3);
	limits = (const struct limit_exchange_limit *)report.limits->data;
	g_assert_cmpuint(limits[0].upstream, ==, 8);
	g_assert_cmpfloat(limits[0].limit_per_s, ==, 3.4);
	g_assert_cmpuint(limits[0].age_ms, ==, 100);
	g_assert_cmpfloat(limits[1].limit_per_s, <, 0.0);
	/* one that is too large for the message is still a limit */
	g_assert_cmpfloat(limits[2].limit_per_s, >, 1e6);
	g_array_free(report.demands, TRUE);
	g_array_free(report.limits, TRUE);
}

/* Every beginning of a report, and every report with one bit changed, is decoded without a fault or
 * rejected. */
static void test_malformed(void)
{
	g_autoptr(GByteArray) bytes = encode_sample();

	for (guint i = 0; i < bytes->len * 9; i++) {
		guint len = i < bytes->len ? i : bytes->len;
		guint bit = i - len;
		struct limit_exchange_report report;
		GVariant *owner = NULL;

		if (i >= bytes->len)
			bytes->data[bit / 8] ^= (guint8)(1 << bit % 8);
		if (limit_exchange_decode(bytes->data, len, &report, &owner)) {
			g_array_free(report.demands, TRUE);
			g_array_free(report.limits, TRUE);
			g_variant_unref(owner);
		}
		if (i >= bytes->len)
			bytes->data[bit / 8] ^= (guint8)(1 << bit % 8);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit-exchange/round-trip", test_round_trip);
	g_test_add_func("/limit-exchange/malformed", test_malformed);
	return g_test_run();
}
