/**
 * @file test_view.c
 * The view of the upstreams that instances reach by following the store, and by a
 * whole read at the end, against the entries that stand in the store.
 *
 * A random sequence of operations writes entries, some of another writer, divides
 * the changes into answers, changes the delegate, and delays or loses what it
 * passes on. The same operations always have the same effect, and any part of a
 * sequence is one, so a sequence that fails is shortened before it is printed.
 */
#include "store_instance.h"

#include "../src/serve/delegation_message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define VIEW_SEQUENCES	  500
#define VIEW_OPERATIONS	  40
#define VIEW_INSTANCES	  3
#define VIEW_IDS	  5
#define VIEW_MAX_MESSAGES 8

enum view_operation_type {
	VIEW_WRITE,	/* an entry */
	VIEW_RENEW,	/* writes the entry of an upstream again as it is */
	VIEW_MALFORMED, /* writes an entry that cannot be decoded */
	VIEW_REMOVE,	/* an entry */
	VIEW_ANSWER,	/* an open call of an instance */
	VIEW_DELIVER,	/* the oldest message to an instance */
	VIEW_LOSE,	/* the oldest message to an instance */
	VIEW_QUERY,	/* an instance asks the delegate */
	VIEW_DELEGATE,	/* another instance becomes the delegate */
	VIEW_CONFIGURE, /* an instance gets another set of services */
	VIEW_OPERATION_TYPE_COUNT
};

static const char *const view_operation_names[VIEW_OPERATION_TYPE_COUNT] = {
	"write",   "renew", "malformed", "remove",   "answer",
	"deliver", "lose",  "query",	 "delegate", "configure"
};

/* How often each type is drawn. */
static const uint32_t view_weights[VIEW_OPERATION_TYPE_COUNT] = { 10, 3, 2, 8, 12, 10, 3, 3, 2, 2 };

struct view_operation {
	enum view_operation_type type;
	uint32_t draw; /* from which its details are taken */
};

/* A change in the history of the store. The version is its index plus one. */
struct view_change {
	uint32_t id;
	struct store_change row;
};

struct view_world {
	GArray *history; /* struct view_change */
	struct store_instance *instances[VIEW_INSTANCES];
	GQueue messages[VIEW_INSTANCES]; /* GBytes, to each instance */
	uint32_t delegate;
};

static const char *const view_ids[VIEW_IDS] = { "a", "b", "c", "d", "e" };
static const char *const view_addresses[] = { "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80" };
static const char *const view_services[] = { "engines", "shop", "port-probe" };
/* By the number of the set: the services that are configured. */
static const char *const view_configured[][3] = { { "engines", "shop", NULL },
						  { "engines", NULL },
						  { "shop", NULL } };

/* the store */

static uint64_t view_version(const struct view_world *world)
{
	return world->history->len;
}

/* Returns the newest change of an entry up to a version, or NULL. */
static const struct view_change *view_newest(const struct view_world *world, uint32_t id,
					     uint64_t version)
{
	for (uint64_t v = version; v > 0; v--) {
		const struct view_change *change =
			&g_array_index(world->history, struct view_change, v - 1);

		if (change->id == id)
			return change;
	}
	return NULL;
}

static void view_append(struct view_world *world, uint32_t id, struct store_change row)
{
	struct view_change change = { .id = id, .row = row };

	change.row.id = (char *)view_ids[id];
	g_array_append_val(world->history, change);
}

static void view_write(struct view_world *world, uint32_t id, uint32_t draw)
{
	const char *service = view_services[draw % G_N_ELEMENTS(view_services)];
	const char *address = view_addresses[draw / 4 % G_N_ELEMENTS(view_addresses)];

	view_append(world, id,
		    (struct store_change){ .service = (char *)service,
					   .address = (char *)address,
					   .zone = draw / 16 % 2 ? "z1" : "z2",
					   .started_ms = 1 + draw / 32 % 4,
					   .slots = 4 });
}

/* Collects the rows of an answer.
 * @param whole gives the entries that exist
 * @param merge gives the newest row of each entry only */
static GPtrArray *view_rows(struct view_world *world, uint64_t since, uint64_t version, bool whole,
			    bool merge)
{
	GPtrArray *rows = g_ptr_array_new();

	for (uint64_t v = since; v < version; v++) {
		struct view_change *change = &g_array_index(world->history, struct view_change, v);

		if ((whole || merge) && view_newest(world, change->id, version) != change)
			continue;
		if (!whole || !change->row.removed)
			g_ptr_array_add(rows, &change->row);
	}
	return rows;
}

/* Answers the open call for the list, if there is one and something to tell. */
static void view_answer(struct view_world *world, struct store_instance *instance, uint64_t version,
			bool merge)
{
	struct store_call *call = &instance->calls[STORE_TABLE_UPSTREAMS];
	g_autoptr(GPtrArray) rows = NULL;
	/* Positions are versions plus one: an empty store has a position too. */
	struct store_answer answer = { .result = STORE_OK, .position = { 1, version + 1 } };
	bool whole = call->since == 0;
	uint64_t since = whole ? 0 : call->since - 1;

	if (!call->open || (!whole && version <= since))
		return;
	rows = view_rows(world, since, version, whole, merge);
	answer.changes = rows;
	call->open = false;
	call->cb(call->arg, &answer);
	store_instance_settle();
}

/* what instances pass on */

static void view_queue_message(struct view_world *world, uint32_t to,
			       const struct store_watch_changes *changes)
{
	if (world->messages[to].length < VIEW_MAX_MESSAGES)
		g_queue_push_tail(&world->messages[to], delegation_pack_changes(changes));
}

static void view_on_list_changed(void *ctx, const struct store_watch_changes *changes)
{
	struct view_world *world = ctx;

	for (uint32_t i = 0; i < VIEW_INSTANCES; i++) {
		if (i != world->delegate)
			view_queue_message(world, i, changes);
	}
}

static void view_deliver(struct view_world *world, uint32_t to)
{
	g_autoptr(GBytes) message = g_queue_pop_head(&world->messages[to]);
	struct store_watch_changes changes;
	gsize len;
	const void *data;

	if (!message)
		return;
	data = g_bytes_get_data(message, &len);
	g_assert_true(delegation_unpack_changes(data, len, &changes));
	store_watch_apply_changes(world->instances[to]->watch, &changes);
	g_ptr_array_unref(changes.rows);
}

/* The delegate compares its list with that of an instance, and sends the whole list if the instance
 * is behind. */
static void view_query(struct view_world *world, uint32_t from)
{
	const struct store_watch *watch = world->instances[from]->watch;
	struct store_watch *delegate = world->instances[world->delegate]->watch;
	struct store_watch_changes *list;
	bool differs;

	if (from == world->delegate)
		return;
	differs = store_watch_check_list(
		delegate, view_ids[from], store_watch_list_position(watch),
		fleet_digest(world->instances[from]->env.fleet, env_now_us()));
	store_instance_settle();
	if (!differs && !store_position_is_after(store_watch_list_position(delegate),
						 store_watch_list_position(watch)))
		return;
	list = store_watch_list(delegate);
	view_queue_message(world, from, list);
	store_watch_changes_free(list);
}

static void view_set_delegate(struct view_world *world, uint32_t delegate)
{
	store_watch_set_changed(world->instances[world->delegate]->watch, NULL, NULL, NULL, NULL);
	store_watch_set_watching(world->instances[world->delegate]->watch, false);
	world->delegate = delegate;
	store_watch_set_changed(world->instances[delegate]->watch, view_on_list_changed, NULL, NULL,
				world);
	store_watch_set_watching(world->instances[delegate]->watch, true);
	store_instance_settle();
}

static void view_configure(struct store_instance *instance, uint32_t number)
{
	g_autoptr(GPtrArray) services = g_ptr_array_new();

	for (const char *const *name = view_configured[number]; *name; name++)
		g_ptr_array_add(services, (gpointer)*name);
	fleet_set_services(instance->env.fleet, services, env_now_us());
}

/* sequences */

static void view_apply(struct view_world *world, const struct view_operation *operation)
{
	uint32_t draw = operation->draw;
	uint32_t id = draw % VIEW_IDS;
	uint32_t instance = draw % VIEW_INSTANCES;
	uint64_t version = view_version(world);
	const struct view_change *newest = view_newest(world, id, version);

	switch (operation->type) {
	case VIEW_WRITE:
		view_write(world, id, draw / VIEW_IDS);
		break;
	case VIEW_RENEW:
		if (newest && !newest->row.removed)
			view_append(world, id, newest->row);
		break;
	case VIEW_MALFORMED:
		view_append(world, id, (struct store_change){ .malformed = true });
		break;
	case VIEW_REMOVE:
		if (newest && !newest->row.removed)
			view_append(world, id, (struct store_change){ .removed = true });
		break;
	case VIEW_ANSWER:
		version -= version > 0 ? draw / 8 % MIN(version, 4) : 0;
		view_answer(world, world->instances[instance], version, draw / 64 % 2);
		break;
	case VIEW_DELIVER:
		view_deliver(world, instance);
		break;
	case VIEW_LOSE:
		g_clear_pointer(
			(GBytes **)&(GBytes *){ g_queue_pop_head(&world->messages[instance]) },
			g_bytes_unref);
		break;
	case VIEW_QUERY:
		view_query(world, instance);
		break;
	case VIEW_DELEGATE:
		view_set_delegate(world, instance);
		break;
	default:
		view_configure(world->instances[instance],
			       draw / VIEW_INSTANCES % G_N_ELEMENTS(view_configured));
		break;
	}
}

static void view_world_init(struct view_world *world)
{
	*world = (struct view_world){ .history = g_array_new(FALSE, FALSE,
							     sizeof(struct view_change)) };
	for (uint32_t i = 0; i < VIEW_INSTANCES; i++) {
		world->instances[i] = store_instance_create();
		g_queue_init(&world->messages[i]);
	}
	view_set_delegate(world, 0);
}

static void view_world_clear(struct view_world *world)
{
	for (uint32_t i = 0; i < VIEW_INSTANCES; i++) {
		store_instance_destroy(world->instances[i]);
		g_queue_clear_full(&world->messages[i], (GDestroyNotify)g_bytes_unref);
	}
	g_array_free(world->history, TRUE);
}

/* Lets the delegate read what is left, and the others learn it. */
static void view_world_settle(struct view_world *world)
{
	view_answer(world, world->instances[world->delegate], view_version(world), false);
	view_answer(world, world->instances[world->delegate], view_version(world), false);
	for (uint32_t i = 0; i < VIEW_INSTANCES; i++) {
		while (world->messages[i].length > 0)
			view_deliver(world, i);
		view_query(world, i);
		view_deliver(world, i);
	}
}

/* Returns the entry of an upstream at the end, or NULL when there is none that names it. */
static const struct store_change *view_entry(const struct view_world *world, uint32_t id)
{
	const struct view_change *newest = view_newest(world, id, view_version(world));

	return newest && !newest->row.removed && !newest->row.malformed ? &newest->row : NULL;
}

static bool view_is_configured(const struct store_change *entry)
{
	return g_strv_contains(view_configured[0], entry->service);
}

/* Returns the state of an upstream by its entry: displaced when another one of a configured service
 * has the address and started later, or at the same time with a greater id. */
static enum fleet_upstream_state view_expected_state(const struct view_world *world, uint32_t id)
{
	const struct store_change *entry = view_entry(world, id);

	for (uint32_t i = 0; i < VIEW_IDS; i++) {
		const struct store_change *other = view_entry(world, i);

		if (i != id && other && view_is_configured(entry) && view_is_configured(other) &&
		    strcmp(other->address, entry->address) == 0 &&
		    (other->started_ms > entry->started_ms ||
		     (other->started_ms == entry->started_ms && i > id)))
			return FLEET_UPSTREAM_DISPLACED;
	}
	return FLEET_UPSTREAM_READY;
}

/* Compares the view of an upstream with its entry.
 * @return what differs, to be freed, or NULL */
static char *view_compare_upstream(const struct view_world *world,
				   const struct store_instance *instance, uint32_t id)
{
	const struct fleet_upstream *up = fleet_find(instance->env.fleet, view_ids[id]);
	const struct store_change *entry = view_entry(world, id);
	g_autofree char *expected = NULL;
	g_autofree char *found = NULL;

	/* What is no longer listed may still be leaving. */
	if (entry)
		expected = g_strdup_printf(
			"%s %s %s %s %" G_GUINT64_FORMAT,
			fleet_upstream_state_name(view_expected_state(world, id)), entry->service,
			entry->address, entry->zone, entry->started_ms);
	if (up && (entry || fleet_upstream_state(up) <= FLEET_UPSTREAM_LAPSED))
		found = g_strdup_printf("%s %s %s %s %" G_GUINT64_FORMAT,
					fleet_upstream_state_name(fleet_upstream_state(up)),
					fleet_upstream_service(up), fleet_upstream_address(up),
					fleet_upstream_zone(up), fleet_upstream_started_ms(up));
	if (g_strcmp0(expected, found) == 0)
		return NULL;
	return g_strdup_printf("upstream %s is (%s) instead of (%s)", view_ids[id],
			       found ? found : "unknown", expected ? expected : "unknown");
}

static char *view_compare_instance(const struct view_world *world,
				   const struct store_instance *instance, const char *name)
{
	for (uint32_t id = 0; id < VIEW_IDS; id++) {
		g_autofree char *difference = view_compare_upstream(world, instance, id);

		if (difference)
			return g_strdup_printf("%s: %s", name, difference);
	}
	return NULL;
}

/* Compares all instances, and one that reads the list now, with the entries.
 * @return what differs, to be freed, or NULL */
static char *view_compare(struct view_world *world)
{
	struct store_instance *fresh = store_instance_create();
	char *difference;

	store_watch_set_watching(fresh->watch, true);
	store_instance_settle();
	view_answer(world, fresh, view_version(world), true);
	view_configure(fresh, 0);
	difference = view_compare_instance(world, fresh, "whole read");
	store_instance_destroy(fresh);
	for (uint32_t i = 0; i < VIEW_INSTANCES && !difference; i++) {
		g_autofree char *name = g_strdup_printf(
			"instance %u%s", i, i == world->delegate ? ", the delegate" : "");

		difference = view_compare_instance(world, world->instances[i], name);
	}
	return difference;
}

/* Returns how often the delegate found a difference. */
static uint64_t view_difference_count(const struct view_world *world)
{
	uint64_t count = 0;

	for (uint32_t i = 0; i < VIEW_INSTANCES; i++)
		count += metric_get(world->instances[i]->env.metric, METRIC_LIST_DIFFERENCES);
	return count;
}

/* Loses an entry of an instance, as an unknown fault would, and lets the instances go on.
 * @return what is wrong after that, to be freed, or NULL */
static char *view_lose_entry(struct view_world *world, uint32_t draw)
{
	struct store_instance *instance = world->instances[draw % VIEW_INSTANCES];
	uint32_t id = draw / VIEW_INSTANCES % VIEW_IDS;

	if (!view_entry(world, id))
		return NULL;
	fleet_remove_entry(instance->env.fleet, view_ids[id], 0, env_now_us());
	view_world_settle(world);
	view_world_settle(world);
	if (view_difference_count(world) != 1)
		return g_strdup_printf("the loss of %s at instance %u is not noticed", view_ids[id],
				       draw % VIEW_INSTANCES);
	return view_compare(world);
}

/* Plays a sequence. @return what differs at its end, to be freed, or NULL */
static char *view_play(const GArray *operations)
{
	struct view_world world;
	char *difference;

	view_world_init(&world);
	for (guint i = 0; i < operations->len; i++)
		view_apply(&world, &g_array_index(operations, struct view_operation, i));
	for (uint32_t i = 0; i < VIEW_INSTANCES; i++)
		view_configure(world.instances[i], 0);
	view_world_settle(&world);
	difference = view_compare(&world);
	if (!difference && view_difference_count(&world) > 0)
		difference = g_strdup("lists of the same position differ");
	if (!difference && operations->len > 0)
		difference = view_lose_entry(
			&world, g_array_index(operations, struct view_operation, 0).draw);
	view_world_clear(&world);
	return difference;
}

/* Removes the operations that a failure does not need. */
static void view_shorten(GArray *operations)
{
	for (guint i = operations->len; i > 0; i--) {
		struct view_operation removed =
			g_array_index(operations, struct view_operation, i - 1);
		g_autofree char *difference = NULL;

		g_array_remove_index(operations, i - 1);
		difference = view_play(operations);
		if (!difference)
			g_array_insert_val(operations, i - 1, removed);
	}
}

static GArray *view_draw_sequence(uint32_t seed)
{
	GArray *operations = g_array_new(FALSE, FALSE, sizeof(struct view_operation));
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	uint32_t sum = 0;

	for (uint32_t type = 0; type < VIEW_OPERATION_TYPE_COUNT; type++)
		sum += view_weights[type];
	for (uint32_t i = 0; i < VIEW_OPERATIONS; i++) {
		uint32_t draw = (uint32_t)g_rand_int_range(rand, 0, (gint32)sum);
		struct view_operation operation = { .draw = g_rand_int(rand) >> 8 };

		while (draw >= view_weights[operation.type])
			draw -= view_weights[operation.type++];
		g_array_append_val(operations, operation);
	}
	return operations;
}

static void view_print(const GArray *operations)
{
	for (guint i = 0; i < operations->len; i++) {
		const struct view_operation *operation =
			&g_array_index(operations, struct view_operation, i);

		printf("  %-9s %u\n", view_operation_names[operation->type], operation->draw);
	}
}

/* Each instance reaches the view that the entries give. */
static void test_following(uint32_t sequences)
{
	for (uint32_t seed = 0; seed < sequences; seed++) {
		g_autoptr(GArray) operations = view_draw_sequence(seed);
		g_autofree char *difference = view_play(operations);

		if (!difference)
			continue;
		view_shorten(operations);
		g_free(difference);
		difference = view_play(operations);
		printf("violation: seed %u: %s, after %u operations:\n", seed, difference,
		       operations->len);
		view_print(operations);
		exit(EXIT_FAILURE);
	}
}

static GLogWriterOutput view_discard_log(GLogLevelFlags level, const GLogField *fields, gsize count,
					 gpointer data)
{
	(void)level;
	(void)fields;
	(void)count;
	(void)data;
	return G_LOG_WRITER_HANDLED;
}

int main(int argc, char **argv)
{
	uint32_t sequences = argc > 1 ? (uint32_t)atoi(argv[1]) : VIEW_SEQUENCES;

	g_log_set_writer_func(view_discard_log, NULL, NULL);
	test_following(sequences);
	printf("%u sequences agree\n", sequences);
	return EXIT_SUCCESS;
}
