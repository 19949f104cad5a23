/**
 * @file test_store_watch.c
 * The watch of the configuration against a store whose answers the test sends one by one, with
 * configurations that take several steps to decode.
 */
#include "store_instance.h"

#include <string.h>

/* A text that does not decode. */
#define BROKEN_TEXT "{\"version\":"
/* Bounds of the watch's own delay before it reads again what it could not decode. */
#define RETRY_MAX_MS 4000

static char *config_text(uint64_t version)
{
	return g_strdup_printf("{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[]}", version);
}

/* Answers the open call of a table. @param text of the configuration, or NULL for no row */
static void answer(struct store_instance *instance, enum store_table table,
		   struct store_position position, const char *text)
{
	struct store_call *call = &instance->calls[table];
	g_autoptr(GPtrArray) rows = g_ptr_array_new();
	g_autoptr(GBytes) bytes = text ? g_bytes_new(text, strlen(text)) : NULL;
	struct store_change row = { .config_text = bytes };
	struct store_answer result = { .result = STORE_OK, .position = position, .changes = rows };

	g_assert_true(call->open);
	call->open = false;
	if (text)
		g_ptr_array_add(rows, &row);
	call->cb(call->arg, &result);
}

/* Answers the open call for the configuration with rows that evacuate zones, or remove such rows.
 * @param text of a configuration in the same answer, or NULL
 * @param zones names, after a "-" where the row was removed; ended by NULL */
static void answer_zones(struct store_instance *instance, struct store_position position,
			 const char *text, const char *const *zones)
{
	struct store_call *call = &instance->calls[STORE_TABLE_CONFIG];
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GBytes) bytes = text ? g_bytes_new(text, strlen(text)) : NULL;
	struct store_answer result = { .result = STORE_OK, .position = position, .changes = rows };

	g_assert_true(call->open);
	call->open = false;
	for (; *zones; zones++) {
		struct store_change row = { .zone = (char *)*zones + (**zones == '-'),
					    .removed = **zones == '-' };

		g_ptr_array_add(rows, g_memdup2(&row, sizeof(row)));
	}
	if (text) {
		struct store_change row = { .config_text = bytes };

		g_ptr_array_add(rows, g_memdup2(&row, sizeof(row)));
	}
	call->cb(call->arg, &result);
}

/* Answers with a configuration that takes a number of further iterations to decode. */
static void answer_config(struct store_instance *instance, uint64_t store_version, uint64_t version,
			  uint32_t steps)
{
	g_autofree char *text = config_text(version);

	store_instance_set_decode_steps(steps);
	answer(instance, STORE_TABLE_CONFIG, (struct store_position){ 1, store_version }, text);
}

/* An instance that watches, with configuration 1 as of version 10 of the store. */
static struct store_instance *create_watching(void)
{
	struct store_instance *instance = store_instance_create();

	store_watch_set_watching(instance->watch, true);
	store_instance_settle();
	answer(instance, STORE_TABLE_UPSTREAMS, (struct store_position){ 1, 10 }, NULL);
	answer_config(instance, 10, 1, 1);
	store_instance_settle();
	g_assert_cmpuint(route_config_version(instance->env.config), ==, 1);
	return instance;
}

static uint64_t position_of(const struct store_instance *instance)
{
	return store_watch_config_position(instance->watch).version;
}

/* review/1: an instance passes on a version of the store whose configuration it does not have. */
static void test_position_while_decoding(void)
{
	struct store_instance *delegate = create_watching();
	const struct store_watch_config *config;

	g_assert_cmpuint(position_of(delegate), ==, 10);
	answer_config(delegate, 20, 2, STORE_INSTANCE_SETTLE_ITERATIONS + 2);
	g_assert_cmpuint(position_of(delegate), ==, 10);
	store_instance_settle();
	config = store_watch_config_for(delegate->watch, 0);
	g_assert_cmpuint(config->version, ==, 1);
	g_assert_cmpuint(config->position.version, ==, 10);
	store_instance_settle();
	config = store_watch_config_for(delegate->watch, 0);
	g_assert_cmpuint(config->version, ==, 2);
	g_assert_cmpuint(config->position.version, ==, 20);
	g_assert_cmpuint(delegate->calls[STORE_TABLE_CONFIG].since, ==, 20);
	store_instance_destroy(delegate);
}

/* review/1: the delegate is lost while it decodes a configuration; its dependent never reads that
 * configuration and takes the one that it has for the newest. */
static void test_delegate_lost_while_decoding(void)
{
	struct store_instance *delegate = create_watching();
	struct store_instance *dependent = create_watching();
	struct store_call *call = &dependent->calls[STORE_TABLE_CONFIG];

	store_watch_set_watching(dependent->watch, false);
	answer(dependent, STORE_TABLE_CONFIG, (struct store_position){ 1, 10 }, NULL);
	answer(dependent, STORE_TABLE_UPSTREAMS, (struct store_position){ 1, 10 }, NULL);
	store_instance_settle();
	answer_config(delegate, 20, 2, STORE_INSTANCE_SETTLE_ITERATIONS + 2);
	store_watch_confirm(dependent->watch, env_boot_us(),
			    store_watch_config_position(delegate->watch));
	store_instance_destroy(delegate);
	store_watch_set_watching(dependent->watch, true);
	store_instance_settle();
	g_assert_true(call->open);
	/* The store answers with the changes since that version. */
	if (call->since < 20)
		answer_config(dependent, 20, 2, 1);
	else
		answer(dependent, STORE_TABLE_CONFIG, (struct store_position){ 1, 20 }, NULL);
	store_instance_settle();
	g_assert_cmpuint(route_config_version(dependent->env.config), ==, 2);
	store_instance_destroy(dependent);
}

/* No second call while a configuration of the store is decoded: it would bring the same again. */
static void test_one_call_while_decoding(void)
{
	struct store_instance *instance = create_watching();
	uint32_t calls = instance->config_calls;

	answer_config(instance, 20, 2, STORE_INSTANCE_SETTLE_ITERATIONS + 2);
	store_watch_read_now(instance->watch, true, false);
	store_watch_set_watching(instance->watch, false);
	store_watch_set_watching(instance->watch, true);
	store_instance_settle();
	g_assert_cmpuint(instance->config_calls, ==, calls);
	store_instance_settle();
	g_assert_cmpuint(route_config_version(instance->env.config), ==, 2);
	g_assert_cmpuint(instance->config_calls, ==, calls + 1);
	store_instance_destroy(instance);
}

/* A configuration that does not decode must not count as read: its keys are not known, so those in
 * force are not confirmed, and it is read again. */
static void test_rejected_is_read_again(void)
{
	struct store_instance *instance = create_watching();
	struct store_call *call = &instance->calls[STORE_TABLE_CONFIG];
	uint64_t confirmed_us = instance->env.freshness.confirmed_us;
	uint32_t calls = instance->config_calls;

	store_instance_set_decode_steps(1);
	answer(instance, STORE_TABLE_CONFIG, (struct store_position){ 1, 20 }, BROKEN_TEXT);
	store_instance_settle();
	g_assert_cmpuint(position_of(instance), ==, 10);
	g_assert_cmpuint(instance->env.freshness.confirmed_us, ==, confirmed_us);
	/* not in a loop without delay */
	g_assert_cmpuint(instance->config_calls, ==, calls);
	for (uint32_t ms = 0; ms < RETRY_MAX_MS && !call->open; ms++) {
		g_usleep(1000);
		uv_run(uv_default_loop(), UV_RUN_NOWAIT);
	}
	g_assert_true(call->open);
	g_assert_cmpuint(call->since, ==, 10);
	answer_config(instance, 30, 3, 1);
	store_instance_settle();
	g_assert_cmpuint(route_config_version(instance->env.config), ==, 3);
	g_assert_cmpuint(position_of(instance), ==, 30);
	g_assert_cmpuint(instance->env.freshness.confirmed_us, >, confirmed_us);
	store_instance_destroy(instance);
}

/* The store is restored while a configuration that was read before is decoded: its version means
 * nothing to the store now. */
static void test_restored_while_decoding(void)
{
	struct store_instance *instance = create_watching();
	struct store_call *call = &instance->calls[STORE_TABLE_CONFIG];

	answer_config(instance, 20, 2, STORE_INSTANCE_SETTLE_ITERATIONS + 2);
	answer(instance, STORE_TABLE_UPSTREAMS, (struct store_position){ 2, 12 }, NULL);
	store_instance_settle();
	store_instance_settle();
	g_assert_cmpuint(route_config_version(instance->env.config), ==, 2);
	g_assert_true(call->open);
	g_assert_cmpuint(call->since, ==, 0);
	store_instance_destroy(instance);
}

static void check_zones(const struct store_instance *instance, const char *expected)
{
	GPtrArray *zones = store_watch_evacuated(instance->watch);
	g_autoptr(GString) text = g_string_new(NULL);

	for (guint i = 0; i < zones->len; i++)
		g_string_append_printf(text, "%s%s", i ? "," : "", (char *)zones->pdata[i]);
	g_assert_cmpstr(text->str, ==, expected);
}

/* A configuration of the same answer delays an evacuation neither while it is decoded nor when it
 * is not valid, and what is read again from before it changes nothing. */
static void test_zones_before_config(void)
{
	static const char *const both[] = { "z1", "z2", NULL };
	static const char *const back[] = { "-z1", "z2", NULL };
	struct store_instance *instance = create_watching();
	g_autofree char *text = config_text(2);

	store_instance_set_decode_steps(STORE_INSTANCE_SETTLE_ITERATIONS + 2);
	answer_zones(instance, (struct store_position){ 1, 20 }, text, both);
	check_zones(instance, "z1,z2");
	g_assert_cmpuint(route_config_version(instance->env.config), ==, 1);
	g_assert_cmpuint(position_of(instance), ==, 10);
	store_instance_settle();
	store_instance_settle();
	g_assert_cmpuint(position_of(instance), ==, 20);
	store_instance_set_decode_steps(1);
	answer_zones(instance, (struct store_position){ 1, 30 }, BROKEN_TEXT, back);
	store_instance_settle();
	check_zones(instance, "z2");
	g_assert_cmpuint(position_of(instance), ==, 20);
	g_assert_cmpuint(store_watch_evacuated_position(instance->watch).version, ==, 30);
	store_instance_destroy(instance);
}

/* An instance whose delegate passed on a configuration, but not the zones, watches the store from
 * before both when the delegate is lost. */
static void test_zones_not_passed_on(void)
{
	static const char *const added[] = { "z1", NULL };
	struct store_instance *instance = create_watching();
	struct store_call *call = &instance->calls[STORE_TABLE_CONFIG];

	store_watch_set_watching(instance->watch, false);
	answer(instance, STORE_TABLE_CONFIG, (struct store_position){ 1, 10 }, NULL);
	answer(instance, STORE_TABLE_UPSTREAMS, (struct store_position){ 1, 10 }, NULL);
	store_instance_settle();
	store_watch_confirm(instance->watch, env_boot_us(), (struct store_position){ 1, 20 });
	store_watch_set_watching(instance->watch, true);
	store_instance_settle();
	g_assert_cmpuint(call->since, ==, 10);
	answer_zones(instance, (struct store_position){ 1, 20 }, NULL, added);
	check_zones(instance, "z1");
	store_instance_destroy(instance);
}

/* The call of an instance that becomes a dependent stays open: its answer does not undo what the
 * delegate passed on meanwhile, and counts where it is newer. */
static void test_zones_of_open_call(void)
{
	static const char *const older[] = { "z1", NULL };
	static const char *const newer[] = { "-z1", "z3", NULL };
	struct store_instance *instance = create_watching();
	g_autoptr(GPtrArray) passed_on = g_ptr_array_new();

	g_ptr_array_add(passed_on, (gpointer) "z2");
	store_instance_settle();
	store_watch_adopt_evacuated(instance->watch, (struct store_position){ 1, 20 }, passed_on);
	answer_zones(instance, (struct store_position){ 1, 15 }, NULL, older);
	check_zones(instance, "z2");
	store_instance_settle();
	g_usleep(200000); /* the pace of reads that bring something */
	store_instance_settle();
	answer_zones(instance, (struct store_position){ 1, 30 }, NULL, newer);
	check_zones(instance, "z2,z3");
	/* The peer's message is older now. */
	store_watch_adopt_evacuated(instance->watch, (struct store_position){ 1, 25 }, passed_on);
	check_zones(instance, "z2,z3");
	store_instance_destroy(instance);
}

/* After a restoration the zones of the later era count, from a peer or from the own read, and not
 * an answer of the earlier one. */
static void test_zones_restored(void)
{
	static const char *const before[] = { "z1", NULL };
	static const char *const after[] = { "z3", NULL };
	struct store_instance *instance = create_watching();
	struct store_call *call = &instance->calls[STORE_TABLE_CONFIG];
	g_autoptr(GPtrArray) passed_on = g_ptr_array_new();

	g_ptr_array_add(passed_on, (gpointer) "z2");
	store_instance_settle();
	store_watch_adopt_evacuated(instance->watch, (struct store_position){ 2, 5 }, passed_on);
	check_zones(instance, "z2");
	answer_zones(instance, (struct store_position){ 1, 30 }, NULL, before);
	check_zones(instance, "z2");
	store_instance_settle();
	g_assert_cmpuint(call->since, ==, 0);
	answer_zones(instance, (struct store_position){ 2, 6 }, NULL, after);
	check_zones(instance, "z3");
	store_instance_destroy(instance);
}

/* An instance is not synced before it knows the zones, whatever else its delegate passed on. */
static void test_zones_unknown(void)
{
	struct store_instance *instance = store_instance_create();
	struct store_instance *delegate = create_watching();
	struct store_watch_changes *list = store_watch_list(delegate->watch);
	g_autoptr(GPtrArray) none = g_ptr_array_new();

	store_instance_set_decode_steps(1);
	store_watch_apply_changes(instance->watch, list);
	store_watch_apply_config(instance->watch, store_watch_config_for(delegate->watch, 0));
	store_instance_settle();
	g_assert_nonnull(instance->env.config);
	g_assert_false(store_watch_is_synced(instance->watch));
	g_assert_false(fleet_knows_evacuated(instance->env.fleet));
	store_watch_adopt_evacuated(instance->watch, (struct store_position){ 0 }, none);
	g_assert_false(store_watch_is_synced(instance->watch));
	store_watch_adopt_evacuated(instance->watch, (struct store_position){ 1, 10 }, none);
	g_assert_true(store_watch_is_synced(instance->watch));
	g_assert_true(fleet_knows_evacuated(instance->env.fleet));
	store_watch_changes_free(list);
	store_instance_destroy(delegate);
	store_instance_destroy(instance);
}

/* A row of the instance list with the entry of an upstream, or without one. */
static struct store_change *list_row(const char *id, bool removed)
{
	struct store_change *row = g_new0(struct store_change, 1);

	row->id = (char *)id;
	row->removed = removed;
	row->service = "app";
	row->address = strcmp(id, "a") == 0 ? "127.0.0.1:1" : "127.0.0.1:2";
	row->zone = "z1";
	row->started_ms = 1000;
	row->slots = 4;
	return row;
}

/* Answers the open call for the instance list. @param rows ids, after a "-" where the entry was
 * removed and a "?" where it could not be decoded; ended by NULL */
static void answer_list(struct store_instance *instance, uint64_t store_version,
			const char *const *rows)
{
	struct store_call *call = &instance->calls[STORE_TABLE_UPSTREAMS];
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(g_free);
	struct store_answer result = { .result = STORE_OK,
				       .position = { 1, store_version },
				       .changes = changes };

	g_assert_true(call->open);
	call->open = false;
	for (; *rows; rows++) {
		bool removed = **rows == '-';
		bool malformed = **rows == '?';
		struct store_change *row = list_row(*rows + (removed || malformed), removed);

		row->malformed = malformed;
		g_ptr_array_add(changes, row);
	}
	call->cb(call->arg, &result);
	store_instance_settle();
}

static const char *state_of(const struct store_instance *instance, const char *id)
{
	struct fleet_upstream *up = fleet_find(instance->env.fleet, id);

	return up ? fleet_upstream_state_name(fleet_upstream_state(up)) : "unknown";
}

/* Passes the changes that an instance reports on to another one. */
static void pass_on_changes(void *ctx, const struct store_watch_changes *changes)
{
	struct store_instance *dependent = ctx;

	store_watch_apply_changes(dependent->watch, changes);
}

/* review/6: upstreams whose entries expired during an outage of the store and were written again
 * are lost when the first answer after it holds the removals and the new entries. */
static void test_removed_and_listed_in_one_answer(void)
{
	static const char *const first[] = { "a", "b", NULL };
	static const char *const expired[] = { "-a", "-b", "a", "b", NULL };
	static const char *const renewed[] = { "a", "b", NULL };
	static const char *const spoilt[] = { "?a", "a", "-b", "b", "-b", NULL };
	struct store_instance *instance = create_watching();
	struct store_instance *dependent = create_watching();

	store_watch_set_changed(instance->watch, pass_on_changes, NULL, NULL, dependent);
	store_instance_settle();
	answer_list(instance, 20, first);
	answer_list(instance, 30, expired);
	g_assert_cmpstr(state_of(instance, "a"), ==, "ready");
	g_assert_cmpstr(state_of(instance, "b"), ==, "ready");
	g_assert_cmpstr(state_of(dependent, "a"), ==, "ready");
	g_assert_cmpstr(state_of(dependent, "b"), ==, "ready");
	/* Entries that were only renewed still change nothing and are not passed on. */
	answer_list(instance, 40, renewed);
	g_assert_cmpuint(store_watch_list_position(instance->watch).version, ==, 30);
	answer_list(instance, 50, spoilt);
	g_assert_cmpstr(state_of(instance, "a"), ==, "ready");
	g_assert_cmpstr(state_of(instance, "b"), ==, "leaving");
	g_assert_cmpstr(state_of(dependent, "a"), ==, "ready");
	g_assert_cmpstr(state_of(dependent, "b"), ==, "leaving");
	store_instance_destroy(dependent);
	store_instance_destroy(instance);
}

/* An upstream is lost when the answer to a call that was open as another instance became the
 * delegate comes after what the delegate passed on, and the delegate is lost then: the cursor has
 * passed the changes that the answer undoes. */
static void test_overtaken_answer(void)
{
	static const char *const first[] = { "a", "b", NULL };
	static const char *const expired[] = { "-a", NULL };
	static const char *const renewed[] = { "a", NULL };
	static const char *const none[] = { NULL };
	struct store_instance *delegate = create_watching();
	struct store_instance *instance = create_watching();
	struct store_call *call = &instance->calls[STORE_TABLE_UPSTREAMS];

	store_instance_settle();
	answer_list(delegate, 20, first);
	answer_list(instance, 20, first);
	store_watch_set_changed(delegate->watch, pass_on_changes, NULL, NULL, instance);
	store_watch_set_watching(instance->watch, false);
	answer_list(delegate, 30, expired);
	answer_list(delegate, 40, renewed);
	g_assert_cmpstr(state_of(instance, "a"), ==, "ready");
	g_assert_cmpuint(call->since, ==, 20);
	answer_list(instance, 30, expired);
	store_watch_set_changed(delegate->watch, NULL, NULL, NULL, NULL);
	store_watch_set_watching(instance->watch, true);
	store_instance_settle();
	g_assert_cmpuint(call->since, ==, 40);
	answer_list(instance, 50, none);
	g_assert_cmpstr(state_of(instance, "a"), ==, "ready");
	store_instance_destroy(instance);
	store_instance_destroy(delegate);
}

/* Lapsed entries are given up early when the whole list arrives again, without a word of the
 * outage: the query of a dependent and the changes crossed. */
static void test_whole_list_during_lapse(void)
{
	static const char *const first[] = { "a", "b", NULL };
	struct store_instance *delegate = create_watching();
	struct store_instance *dependent = create_watching();
	struct store_watch_changes expired = { .from = { 1, 20 },
					       .to = { 1, 30 },
					       .lapse_ms = 2000,
					       .rows = g_ptr_array_new_with_free_func(g_free) };
	struct store_watch_changes *list;

	store_instance_settle();
	answer_list(dependent, 20, first);
	store_watch_set_watching(dependent->watch, false);
	g_ptr_array_add(expired.rows, list_row("a", true));
	store_watch_apply_changes(dependent->watch, &expired);
	g_assert_cmpstr(state_of(dependent, "a"), ==, "lapsed");
	answer_list(delegate, 30, (const char *const[]){ "b", NULL });
	list = store_watch_list(delegate->watch);
	store_watch_apply_changes(dependent->watch, list);
	g_assert_cmpuint(store_watch_list_position(dependent->watch).version, ==, 30);
	g_assert_cmpstr(state_of(dependent, "a"), ==, "lapsed");
	g_assert_cmpstr(state_of(dependent, "b"), ==, "ready");
	store_watch_changes_free(list);
	g_ptr_array_unref(expired.rows);
	store_instance_destroy(dependent);
	store_instance_destroy(delegate);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* The watch logs what it rejects. */
	g_log_set_always_fatal(G_LOG_FATAL_MASK);
	g_test_add_func("/store-watch/position-while-decoding", test_position_while_decoding);
	g_test_add_func("/store-watch/delegate-lost-while-decoding",
			test_delegate_lost_while_decoding);
	g_test_add_func("/store-watch/one-call-while-decoding", test_one_call_while_decoding);
	g_test_add_func("/store-watch/rejected-is-read-again", test_rejected_is_read_again);
	g_test_add_func("/store-watch/restored-while-decoding", test_restored_while_decoding);
	g_test_add_func("/store-watch/zones-before-config", test_zones_before_config);
	g_test_add_func("/store-watch/zones-not-passed-on", test_zones_not_passed_on);
	g_test_add_func("/store-watch/zones-of-open-call", test_zones_of_open_call);
	g_test_add_func("/store-watch/zones-restored", test_zones_restored);
	g_test_add_func("/store-watch/zones-unknown", test_zones_unknown);
	g_test_add_func("/store-watch/removed-and-listed-in-one-answer",
			test_removed_and_listed_in_one_answer);
	g_test_add_func("/store-watch/overtaken-answer", test_overtaken_answer);
	g_test_add_func("/store-watch/whole-list-during-lapse", test_whole_list_during_lapse);
	return g_test_run();
}
