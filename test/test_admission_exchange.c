/**
 * @file test_admission_exchange.c
 * Messages on the demand of urgent generations: what is sent is received, and bytes that are no
 * report are not taken for one.
 */
#include "../src/serve/admission_exchange.h"

static GByteArray *encode_example(void)
{
	GByteArray *bytes = g_byte_array_new();
	g_autoptr(GArray) demands =
		g_array_new(FALSE, FALSE, sizeof(struct admission_exchange_demand));
	struct admission_exchange_demand demand[] = { { 7, 123456 }, { 8, 0 } };
	struct admission_exchange_report report = {
		.address = "127.0.0.1:1", .zone = "zone-a", .is_total = true, .demands = demands
	};

	g_array_append_vals(demands, demand, G_N_ELEMENTS(demand));
	admission_exchange_encode(bytes, &report);
	return bytes;
}

static void test_message(void)
{
	g_autoptr(GByteArray) bytes = encode_example();
	g_autoptr(GVariant) owner = NULL;
	struct admission_exchange_report report;

	g_assert_true(admission_exchange_decode(bytes->data, bytes->len, &report, &owner));
	g_assert_cmpstr(report.address, ==, "127.0.0.1:1");
	g_assert_cmpstr(report.zone, ==, "zone-a");
	g_assert_true(report.is_total);
	g_assert_cmpuint(report.demands->len, ==, 2);
	g_assert_cmpuint(g_array_index(report.demands, struct admission_exchange_demand, 0).service,
			 ==, 7);
	g_assert_cmpuint(g_array_index(report.demands, struct admission_exchange_demand, 0).tokens,
			 ==, 123456);
	g_array_free(report.demands, TRUE);
}

static void test_malformed(void)
{
	g_autoptr(GByteArray) bytes = encode_example();
	GRand *rand = g_rand_new_with_seed(1);
	struct admission_exchange_report report;

	g_assert_false(admission_exchange_decode("", 0, &report, &(GVariant *){ NULL }));
	for (uint32_t i = 0; i < 1000; i++) {
		g_autoptr(GVariant) owner = NULL;
		uint32_t at = (uint32_t)g_rand_int_range(rand, 0, (gint32)bytes->len);
		uint8_t before = bytes->data[at];

		bytes->data[at] = (uint8_t)g_rand_int_range(rand, 0, 256);
		if (admission_exchange_decode(
			    bytes->data, (size_t)g_rand_int_range(rand, 0, (gint32)bytes->len + 1),
			    &report, &owner))
			g_array_free(report.demands, TRUE);
		bytes->data[at] = before;
	}
	g_rand_free(rand);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission_exchange/message", test_message);
	g_test_add_func("/admission_exchange/malformed", test_malformed);
	return g_test_run();
}
