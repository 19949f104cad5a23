/**
 * @file test_buffer_budget.c
 * The limit of the bytes that are buffered for all requests together.
 */
#include "flamingolatch/buffer_budget.h"

#define BUDGET_BYTES (4U << 20)
#define OWN_BYTES    (256U << 10)
#define READ_BYTES   16384U
#define HOLDERS	     1000
#define ROUNDS	     64

/* However many holders there are, the sum stays at the budget and a small share for each. */
static void test_sum(void)
{
	struct buffer_budget budget = { .max_bytes = BUDGET_BYTES };
	uint64_t held[HOLDERS] = { 0 };

	for (uint32_t round = 0; round < ROUNDS; round++) {
		for (uint32_t i = 0; i < HOLDERS; i++) {
			if (held[i] > buffer_budget_limit(&budget, OWN_BYTES))
				continue;
			buffer_budget_update(&budget, &held[i], held[i] + READ_BYTES);
			g_assert_cmpuint(held[i], <=, OWN_BYTES + READ_BYTES);
			g_assert_cmpuint(budget.held_bytes, <=,
					 BUDGET_BYTES +
						 HOLDERS * (BUFFER_BUDGET_MIN_BYTES + READ_BYTES));
		}
	}
	/* Each got its share. */
	for (uint32_t i = 0; i < HOLDERS; i++)
		g_assert_cmpuint(held[i], >=, BUFFER_BUDGET_MIN_BYTES);
	for (uint32_t i = 0; i < HOLDERS; i++)
		buffer_budget_update(&budget, &held[i], 0);
	g_assert_cmpuint(budget.held_bytes, ==, 0);
	g_assert_cmpuint(buffer_budget_limit(&budget, OWN_BYTES), ==, OWN_BYTES);
}

/* A limit that is smaller than the share stays. */
static void test_small_limit(void)
{
	struct buffer_budget budget = { .max_bytes = BUDGET_BYTES, .held_bytes = BUDGET_BYTES };

	g_assert_cmpuint(buffer_budget_limit(&budget, OWN_BYTES), ==, BUFFER_BUDGET_MIN_BYTES);
	g_assert_cmpuint(buffer_budget_limit(&budget, 1), ==, 1);
}

static void test_clear(void)
{
	GString *buffer = g_string_new("a");

	buffer = buffer_clear(buffer);
	g_assert_cmpuint(buffer->len, ==, 0);
	g_string_set_size(buffer, OWN_BYTES);
	buffer = buffer_clear(buffer);
	g_assert_cmpuint(buffer->len, ==, 0);
	g_assert_cmpuint(buffer->allocated_len, <, OWN_BYTES);
	g_string_free(buffer, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/buffer-budget/sum", test_sum);
	g_test_add_func("/buffer-budget/small-limit", test_small_limit);
	g_test_add_func("/buffer-budget/clear", test_clear);
	return g_test_run();
}
