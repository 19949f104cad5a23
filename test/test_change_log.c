/**
 * @file test_change_log.c
 * The changes that a reader of a list lacks, and readers that need the whole list.
 */
#include "flamingolatch/change_log.h"

#include <string.h>

#define SEED_COUNT 100
#define STEP_COUNT 300

static struct store_position at(uint64_t era, uint64_t version)
{
	return (struct store_position){ .era = era, .version = version };
}

static void add(struct change_log *log, struct store_position from, struct store_position to,
		const char *text)
{
	g_autoptr(GBytes) message = g_bytes_new(text, strlen(text));

	change_log_add(log, from, to, message, to.version * 100);
}

static void append(void *ctx, GBytes *message)
{
	g_string_append_len(ctx, g_bytes_get_data(message, NULL),
			    (gssize)g_bytes_get_size(message));
}

/* Returns the concatenated messages, or NULL when the log does not have what the reader lacks. */
static char *since(const struct change_log *log, struct store_position known,
		   struct store_position newest)
{
	GString *text = g_string_new(NULL);

	change_log_foreach_since(log, known, newest, append, text);
	g_assert_true((change_log_first_us(log, known, newest) > 0) == (text->len > 0));
	return g_string_free(text, text->len == 0);
}

static void assert_since(const struct change_log *log, struct store_position known,
			 struct store_position newest, const char *expected)
{
	g_autofree char *text = since(log, known, newest);

	g_assert_cmpstr(text, ==, expected);
}

static void test_lacking(void)
{
	struct change_log *log = change_log_create(10, 1000);

	assert_since(log, at(1, 5), at(1, 5), NULL);
	add(log, at(1, 5), at(1, 7), "a");
	add(log, at(1, 7), at(1, 12), "b");
	add(log, at(1, 12), at(1, 13), "c");
	assert_since(log, at(1, 5), at(1, 13), "abc");
	/* A list within the changes may have what they leave out. */
	assert_since(log, at(1, 6), at(1, 13), NULL);
	assert_since(log, at(1, 7), at(1, 13), "bc");
	assert_since(log, at(1, 12), at(1, 13), "c");
	assert_since(log, at(1, 13), at(1, 13), NULL);
	g_assert_cmpuint(change_log_first_us(log, at(1, 5), at(1, 13)), ==, 700);
	g_assert_cmpuint(change_log_first_us(log, at(1, 7), at(1, 13)), ==, 1200);
	assert_since(log, at(1, 4), at(1, 13), NULL);
	/* one that has nothing yet */
	assert_since(log, at(0, 0), at(1, 13), NULL);
	change_log_destroy(log);
}

/* The list was read whole or received from a peer meanwhile: the log lacks what came between. */
static void test_gap(void)
{
	struct change_log *log = change_log_create(10, 1000);

	add(log, at(1, 5), at(1, 7), "a");
	assert_since(log, at(1, 5), at(1, 9), NULL);
	add(log, at(1, 9), at(1, 10), "b");
	assert_since(log, at(1, 5), at(1, 10), NULL);
	assert_since(log, at(1, 7), at(1, 10), NULL);
	assert_since(log, at(1, 9), at(1, 10), "b");
	change_log_destroy(log);
}

/* The versions of a restored store say nothing about those before. */
static void test_restored(void)
{
	struct change_log *log = change_log_create(10, 1000);

	add(log, at(1, 5), at(1, 7), "a");
	add(log, at(2, 6), at(2, 8), "b");
	assert_since(log, at(1, 5), at(2, 8), NULL);
	assert_since(log, at(1, 7), at(2, 8), NULL);
	assert_since(log, at(2, 6), at(2, 8), "b");
	change_log_destroy(log);
}

static void test_limits(void)
{
	struct change_log *log = change_log_create(2, 10);

	add(log, at(1, 1), at(1, 2), "a");
	add(log, at(1, 2), at(1, 3), "b");
	add(log, at(1, 3), at(1, 4), "c");
	assert_since(log, at(1, 1), at(1, 4), NULL);
	assert_since(log, at(1, 2), at(1, 4), "bc");
	add(log, at(1, 4), at(1, 5), "123456789");
	assert_since(log, at(1, 3), at(1, 5), "c123456789");
	add(log, at(1, 5), at(1, 6), "12345678901");
	assert_since(log, at(1, 5), at(1, 6), NULL);
	change_log_destroy(log);
}

/* Whatever a reader missed, it ends with the writer's list, by changes or by the whole list. */
static void test_readers_catch_up(void)
{
	for (uint32_t seed = 0; seed < SEED_COUNT; seed++) {
		struct change_log *log = change_log_create(5, 40);
		g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
		g_autoptr(GString) written = g_string_new(NULL);
		g_autoptr(GString) reader = g_string_new(NULL);
		struct store_position newest = at(1, 1);
		struct store_position known = newest;
		uint32_t by_changes = 0;

		for (uint32_t step = 0; step < STEP_COUNT; step++) {
			struct store_position next = at(newest.era, newest.version + 1 + step % 3);
			g_autofree char *text = g_strdup_printf("%u,", step);

			g_string_append(written, text);
			if (g_rand_int(rand) % 8 > 0)
				add(log, newest, next, text);
			newest = next;
			if (g_rand_int(rand) % 3 > 0)
				continue;
			by_changes += change_log_first_us(log, known, newest) > 0;
			if (change_log_first_us(log, known, newest) == 0)
				g_string_assign(reader, written->str);
			change_log_foreach_since(log, known, newest, append, reader);
			known = newest;
			g_assert_cmpstr(reader->str, ==, written->str);
		}
		g_assert_cmpuint(by_changes, >, 0);
		change_log_destroy(log);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/change-log/lacking", test_lacking);
	g_test_add_func("/change-log/gap", test_gap);
	g_test_add_func("/change-log/restored", test_restored);
	g_test_add_func("/change-log/limits", test_limits);
	g_test_add_func("/change-log/readers-catch-up", test_readers_catch_up);
	return g_test_run();
}
