#include "flamingolatch/table.h"
#include "flamingolatch/fetch.h"
#include "flamingolatch/log.h"
#include "flamingolatch/metric.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define TABLE_DOWN_FAILURE_COUNT 3
#define TABLE_TIMEOUT_MS	 1000
#define TABLE_ANSWER_MAX_BYTES	 (16U << 20)

struct table_http {
	struct table base; /* must be the first member */
	struct http_client *client;
	struct metric *metric;
	char *address;
	uint32_t consecutive_failures; /* calls in a row without an answer; a status of 500 or more
					  counts as none */
	bool reachable;
	bool reachable_known; /* false until the first answer or the first outage */
};

struct table_http_call {
	struct table_http *table;
	table_cb cb;
	void *arg;
};

static void table_http_commit(void *ctx, const struct table_write *writes, uint32_t count,
			      table_cb cb, void *arg);
static void table_http_read_prefix(void *ctx, const char *prefix, table_cb cb, void *arg);
static void table_http_on_answer(void *ctx, const struct fetch_response *answer);

static const struct table_ops table_http_ops = { table_http_commit, table_http_read_prefix };

/* lifetime */

struct table *table_http_create(struct http_client *client, const char *address,
				struct metric *metric)
{
	struct table_http *table = g_new0(struct table_http, 1);

	table->base.ops = &table_http_ops;
	table->base.ctx = table;
	table->client = client;
	table->metric = metric;
	table->address = g_strdup(address);
	return &table->base;
}

void table_http_destroy(struct table *table)
{
	struct table_http *self = (struct table_http *)table;

	if (!self)
		return;
	g_free(self->address);
	g_free(self);
}

/* commands */

static void table_http_send(struct table_http *table, const char *method, const char *path,
			    const char *body, table_cb cb, void *arg)
{
	struct table_http_call *call = g_new0(struct table_http_call, 1);
	struct http_call_request req = { .address = table->address,
					 .method = method,
					 .path = path,
					 .headers = "content-type: application/json\r\n",
					 .body = body,
					 .body_len = body ? strlen(body) : 0,
					 .timeout_ms = TABLE_TIMEOUT_MS };

	call->table = table;
	call->cb = cb;
	call->arg = arg;
	fetch_start(table->client, &req, TABLE_ANSWER_MAX_BYTES, NULL, table_http_on_answer, call);
}

static void table_http_commit(void *ctx, const struct table_write *writes, uint32_t count,
			      table_cb cb, void *arg)
{
	struct table_http *table = ctx;
	json_t *list = json_array();
	json_t *root = json_pack("{s:o}", "writes", list);
	char *text;

	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(list,
				      json_pack("{s:s, s:I, s:s?}", "key", writes[i].key,
						"if_version", (json_int_t)writes[i].if_version,
						"value", writes[i].value));
	text = json_dumps(root, JSON_COMPACT);
	metric_add(table->metric, METRIC_TABLE_WRITES, 1);
	table_http_send(table, "POST", "/table/commit", text, cb, arg);
	free(text);
	json_decref(root);
}

static void table_http_read_prefix(void *ctx, const char *prefix, table_cb cb, void *arg)
{
	struct table_http *table = ctx;
	g_autofree char *escaped = g_uri_escape_string(prefix, NULL, FALSE);
	g_autofree char *path = g_strdup_printf("/table/range?prefix=%s", escaped);

	metric_add(table->metric, METRIC_TABLE_READS, 1);
	table_http_send(table, "GET", path, NULL, cb, arg);
}

/* queries */

bool table_http_reachable(const struct table *table)
{
	return ((const struct table_http *)table)->reachable;
}

/* helpers */

/* A single lost answer is not an outage; TABLE_DOWN_FAILURE_COUNT of them in a row are. */
static void table_http_update_reachable(struct table_http *table, bool answered)
{
	bool reachable;

	table->consecutive_failures = answered ? 0 : table->consecutive_failures + 1;
	if (!answered && table->consecutive_failures < TABLE_DOWN_FAILURE_COUNT)
		return;
	reachable = answered;
	if (table->reachable_known && table->reachable == reachable)
		return;
	if (table->reachable_known || !reachable)
		log_event(reachable ? LOG_TABLE_UP : LOG_TABLE_DOWN, "address", table->address,
			  NULL);
	table->reachable_known = true;
	table->reachable = reachable;
	metric_set(table->metric, METRIC_TABLE_REACHABLE, reachable);
}

/* Decodes the rows of an answer and calls the callback with them. */
static void table_http_deliver_rows(struct table_http_call *call, enum table_result result,
				    const struct fetch_response *answer)
{
	json_t *root = json_loadb(answer->body, answer->body_len, 0, NULL);
	json_t *list = json_object_get(root, "rows");
	uint32_t count = (uint32_t)json_array_size(list);
	struct table_row *rows = g_new0(struct table_row, MAX(count, 1));

	for (uint32_t i = 0; i < count; i++) {
		json_t *item = json_array_get(list, i);

		rows[i].key = (char *)json_string_value(json_object_get(item, "key"));
		rows[i].value = (char *)json_string_value(json_object_get(item, "value"));
		rows[i].version = (uint64_t)json_integer_value(json_object_get(item, "version"));
	}
	/* An answer that cannot be decoded does not show whether the commit took effect. */
	if (!json_is_array(list))
		result = TABLE_OUTCOME_UNKNOWN;
	call->cb(call->arg, result, rows, count);
	g_free(rows);
	json_decref(root);
}

static void table_http_on_answer(void *ctx, const struct fetch_response *answer)
{
	struct table_http_call *call = ctx;
	bool answered = answer->result == HTTP_CALL_OK && answer->status < 500;

	table_http_update_reachable(call->table, answered);
	if (!answered) {
		metric_add(call->table->metric, METRIC_TABLE_ERRORS, 1);
		call->cb(call->arg, answer->sent ? TABLE_OUTCOME_UNKNOWN : TABLE_REFUSED, NULL, 0);
	} else if (answer->status == 409) {
		table_http_deliver_rows(call, TABLE_CONFLICT, answer);
	} else if (answer->status == 200) {
		table_http_deliver_rows(call, TABLE_OK, answer);
	} else {
		call->cb(call->arg, TABLE_REFUSED, NULL, 0);
	}
	g_free(call);
}
