/**
 * @file test_wfq.c
 * Weighted fair queue: shares by weight, bursts that delay only their own customer,
 * queue timeouts.
 */
#include "flamingolatch/wfq.h"

#include <glib.h>

/* Serves items and counts them by their user data. */
static void serve(struct wfq *queue, uint32_t count, uint32_t *served)
{
	for (uint32_t i = 0; i < count; i++) {
		struct wfq_item *item = wfq_peek(queue, 0);

		g_assert_nonnull(item);
		served[GPOINTER_TO_UINT(wfq_user(item))]++;
		wfq_remove(queue, item, 1);
	}
}

/* Empties and frees a queue. */
static void drain(struct wfq *queue)
{
	struct wfq_item *item;

	while ((item = wfq_peek(queue, 0)))
		wfq_remove(queue, item, 0);
	g_assert_cmpuint(wfq_length(queue), ==, 0);
	wfq_destroy(queue);
}

static void test_burst(void)
{
	struct wfq *queue = wfq_create();
	uint32_t served[2] = { 0, 0 };

	for (uint32_t i = 0; i < 100; i++)
		wfq_push(queue, "large", 5, 10.0, 1000, GUINT_TO_POINTER(0));
	for (uint32_t i = 0; i < 10; i++)
		wfq_push(queue, "small", 5, 10.0, 1000, GUINT_TO_POINTER(1));
	serve(queue, 20, served);
	g_assert_cmpuint(served[1], >=, 9);
	drain(queue);
}

static void test_weights(void)
{
	struct wfq *queue = wfq_create();
	uint32_t served[2] = { 0, 0 };

	for (uint32_t i = 0; i < 100; i++) {
		wfq_push(queue, "a", 7, 10.0, 1000, GUINT_TO_POINTER(0));
		wfq_push(queue, "b", 3, 10.0, 1000, GUINT_TO_POINTER(1));
	}
	/* weights are 8 and 4 */
	serve(queue, 60, served);
	g_assert_cmpuint(served[0], >=, 38);
	g_assert_cmpuint(served[0], <=, 42);
	drain(queue);
}

static void test_deadlines(void)
{
	struct wfq *queue = wfq_create();
	struct wfq_item *item;

	wfq_push(queue, "a", 1, 1.0, 300, GUINT_TO_POINTER(3));
	wfq_push(queue, "a", 1, 1.0, 100, GUINT_TO_POINTER(1));
	wfq_push(queue, "b", 1, 1.0, 200, GUINT_TO_POINTER(2));
	g_assert_null(wfq_expired(queue, 99));
	for (uint32_t due = 1; due <= 3; due++) {
		item = wfq_expired(queue, due * 100);
		g_assert_nonnull(item);
		g_assert_cmpuint(GPOINTER_TO_UINT(wfq_user(item)), ==, due);
		wfq_remove(queue, item, 0);
	}
	drain(queue);
}

static void test_ranks(void)
{
	struct wfq *queue = wfq_create();

	wfq_push(queue, "a", 1, 10.0, 1000, GUINT_TO_POINTER(1));
	wfq_push(queue, "b", 1, 20.0, 1000, GUINT_TO_POINTER(2));
	g_assert_cmpuint(GPOINTER_TO_UINT(wfq_user(wfq_peek(queue, 0))), ==, 1);
	g_assert_cmpuint(GPOINTER_TO_UINT(wfq_user(wfq_peek(queue, 1))), ==, 2);
	g_assert_null(wfq_peek(queue, 2));
	drain(queue);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wfq/burst", test_burst);
	g_test_add_func("/wfq/weights", test_weights);
	g_test_add_func("/wfq/deadlines", test_deadlines);
	g_test_add_func("/wfq/ranks", test_ranks);
	return g_test_run();
}
