#include "../entry/entry_internal.h"
#include "flamingolatch/usage_ledger.h"

#include <string.h>

#define USAGE_KEY_PREFIX "ledger/" /* of the rows that accounting.c writes: "ledger/<engine>/" */

/* An operator's request that waits until the usage rows are read from the store. */
struct usage_query {
	struct entry *entry;
	struct http_req *req; /* NULL once the operator disconnected */
};

static void usage_on_disconnect(void *ctx)
{
	struct usage_query *query = ctx;

	query->req = NULL;
}

static json_t *usage_rows_to_json(const struct table_row *rows, uint32_t count)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++) {
		json_t *row = json_loads(rows[i].value, 0, NULL);
		g_autofree char *engine =
			g_strndup(rows[i].key + strlen(USAGE_KEY_PREFIX),
				  strlen(rows[i].key) - strlen(USAGE_KEY_PREFIX) - 1);

		json_object_set_new(row, "engine", json_string(engine));
		json_object_set_new(row, "adds_up", json_boolean(usage_ledger_is_balanced(row)));
		json_object_del(row, "token");
		json_object_del(row, "sequence");
		json_array_append_new(list, row);
	}
	return list;
}

static void usage_on_read(void *arg, enum table_result result, const struct table_row *rows,
			  uint32_t count)
{
	struct usage_query *query = arg;

	if (query->req) {
		http_req_set_callbacks(query->req, NULL, NULL, NULL);
		if (result == TABLE_OK)
			answer_json(query->req, 200,
				    json_pack("{s:o}", "engines", usage_rows_to_json(rows, count)));
		else
			answer_error(query->entry, query->req, ERR_TABLE_UNAVAILABLE,
				     "the ledger could not be read");
	}
	query->entry->background_count--;
	g_free(query);
}

void query_usage(struct entry *entry, struct http_req *req)
{
	struct usage_query *query = g_new0(struct usage_query, 1);

	query->entry = entry;
	query->req = req;
	entry->background_count++;
	http_req_set_callbacks(req, usage_on_disconnect, NULL, query);
	entry->table->ops->read_prefix(entry->table->ctx, USAGE_KEY_PREFIX, usage_on_read, query);
}
