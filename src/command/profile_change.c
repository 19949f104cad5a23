#include "../entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define CHANGE_TIMEOUT_US     (8ULL * 1000 * 1000)
#define CHANGE_RETRY_DELAY_MS 100

/*
 * An operator's change of one profile. It reads the configuration rows, computes
 * the profile's new row and commits it together with the next revision. If the
 * answer to the commit is lost, the rows are read again: the request token in the
 * profile's row shows whether the change took effect.
 */
struct change {
	struct entry *entry;
	struct http_req *req; /* NULL once the operator disconnected */
	enum profile_config_action action;
	struct profile profile;
	bool has_profile;
	char *name;
	char *token; /* request token, sent by the operator */
	uint64_t expected_generation;
	uint64_t generation; /* of the profile after the change */
	uint64_t started_us;
	uv_timer_t timer;
};

static const char *const change_action_names[] = { "publish", "change", "retire" };

static void change_read_rows(struct change *change);

/* lifetime */

static void change_on_closed(uv_handle_t *handle)
{
	struct change *change = handle->data;

	if (change->has_profile)
		profile_clear(&change->profile);
	g_free(change->name);
	g_free(change->token);
	g_free(change);
}

static void change_destroy(struct change *change)
{
	change->entry->background_count--;
	uv_close((uv_handle_t *)&change->timer, change_on_closed);
}

static void change_on_disconnect(void *ctx)
{
	struct change *change = ctx;

	change->req = NULL;
}

/* helpers */

static void change_fail(struct change *change, enum err_kind kind, const char *message)
{
	if (kind == ERR_CONFLICT)
		log_event(LOG_PROFILE_CONFLICT, "profile", change->name, "reason", message, NULL);
	if (change->req) {
		http_req_set_callbacks(change->req, NULL, NULL, NULL);
		answer_error(change->entry, change->req, kind, message);
	}
	change_destroy(change);
}

static void change_succeed(struct change *change, uint64_t revision)
{
	log_event(LOG_PROFILE_CHANGED, "profile", change->name, "verb",
		  change_action_names[change->action], "token", change->token, NULL);
	poller_read_config_soon(change->entry->poller);
	if (change->req) {
		http_req_set_callbacks(change->req, NULL, NULL, NULL);
		answer_json(change->req, 200,
			    json_pack("{s:s, s:I, s:I, s:s}", "name", change->name, "generation",
				      (json_int_t)change->generation, "revision",
				      (json_int_t)revision, "token", change->token));
	}
	change_destroy(change);
}

static void change_on_timer(uv_timer_t *timer)
{
	change_read_rows(timer->data);
}

static void change_retry_later(struct change *change)
{
	if (entry_now_us() - change->started_us > CHANGE_TIMEOUT_US)
		change_fail(change, ERR_IO,
			    "the table gave no certain answer; repeat with the same token");
	else
		uv_timer_start(&change->timer, change_on_timer, CHANGE_RETRY_DELAY_MS, 0);
}

static void change_on_commit(void *arg, enum table_result result, const struct table_row *rows,
			     uint32_t count)
{
	struct change *change = arg;
	json_t *value;

	if (result != TABLE_OK) {
		/* The answer was lost or the rows have changed; reading them shows which. */
		change_retry_later(change);
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(rows[i].key, PROFILE_CONFIG_REVISION_KEY) != 0)
			continue;
		value = json_loads(rows[i].value, 0, NULL);
		change_succeed(change,
			       (uint64_t)json_integer_value(json_object_get(value, "revision")));
		json_decref(value);
		return;
	}
	change_retry_later(change);
}

static void change_commit(struct change *change, const struct table_row *profile_row,
			  const struct table_row *revision_row, uint64_t revision,
			  const json_t *row)
{
	struct entry *entry = change->entry;
	g_autofree char *key = g_strconcat(PROFILE_CONFIG_PROFILE_KEY_PREFIX, change->name, NULL);
	g_autofree char *next =
		g_strdup_printf("{\"revision\":%" G_GUINT64_FORMAT "}", revision + 1);
	char *text = json_dumps(row, JSON_COMPACT);
	struct table_write writes[] = {
		{ key, profile_row ? profile_row->version : 0, text },
		{ PROFILE_CONFIG_REVISION_KEY, revision_row ? revision_row->version : 0, next },
	};

	entry->table->ops->commit(entry->table->ctx, writes, G_N_ELEMENTS(writes), change_on_commit,
				  change);
	free(text);
}

static json_t *change_parse_row(const struct table_row *row)
{
	return row && row->value ? json_loads(row->value, 0, NULL) : NULL;
}

static void change_on_read(void *arg, enum table_result result, const struct table_row *rows,
			   uint32_t count)
{
	struct change *change = arg;
	const struct table_row *profile_row = NULL;
	const struct table_row *revision_row = NULL;
	struct profile_config_change plan = { change->action, change->name,
					      change->has_profile ? &change->profile : NULL,
					      change->token, change->expected_generation };
	g_autoptr(GError) error = NULL;
	json_t *current;
	json_t *revision_value;
	json_t *row = NULL;
	uint64_t revision;

	if (result != TABLE_OK) {
		change_retry_later(change);
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(rows[i].key, PROFILE_CONFIG_REVISION_KEY) == 0)
			revision_row = &rows[i];
		else if (strcmp(rows[i].key + strlen(PROFILE_CONFIG_PROFILE_KEY_PREFIX),
				change->name) == 0)
			profile_row = &rows[i];
	}
	current = change_parse_row(profile_row);
	revision_value = change_parse_row(revision_row);
	revision = (uint64_t)json_integer_value(json_object_get(revision_value, "revision"));
	if (!profile_config_plan_change(&plan, current, revision, &row, &change->generation,
					&error))
		change_fail(change, err_kind_of(error), error->message);
	else if (row)
		change_commit(change, profile_row, revision_row, revision, row);
	else
		change_succeed(change, revision);
	json_decref(row);
	json_decref(current);
	json_decref(revision_value);
}

static void change_read_rows(struct change *change)
{
	struct entry *entry = change->entry;

	entry->table->ops->read_prefix(entry->table->ctx, PROFILE_CONFIG_KEY_PREFIX, change_on_read,
				       change);
}

static bool change_parse(struct change *change, const json_t *root, GError **error)
{
	const char *name = json_string_value(json_object_get(root, "name"));
	const char *token = json_string_value(json_object_get(root, "token"));
	const json_t *spec = json_object_get(root, "spec");
	char *text;

	change->expected_generation =
		(uint64_t)json_integer_value(json_object_get(root, "expected_generation"));
	if (!name || !token || strlen(token) > 128) {
		g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST,
			    "the fields name and token are required");
		return false;
	}
	change->name = g_strdup(name);
	change->token = g_strdup(token);
	if (change->action == PROFILE_CONFIG_RETIRE)
		return true;
	text = json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
	change->has_profile =
		text && profile_parse("spec", text, strlen(text), &change->profile, error);
	free(text);
	if (!change->has_profile) {
		if (error && !*error)
			g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST,
				    "the field spec is required");
		return false;
	}
	if (strcmp(change->profile.name, name) == 0)
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_BAD_REQUEST, "name and spec.name differ");
	return false;
}

/* commands */

void profile_change(struct entry *entry, struct http_req *req, enum profile_config_action action)
{
	struct change *change = g_new0(struct change, 1);
	g_autoptr(GError) error = NULL;
	size_t len;
	const char *body = http_req_body(req, &len);
	json_t *root = json_loadb(body, len, 0, NULL);

	change->entry = entry;
	change->req = req;
	change->action = action;
	change->started_us = entry_now_us();
	entry->background_count++;
	uv_timer_init(entry->loop, &change->timer);
	change->timer.data = change;
	http_req_set_callbacks(req, change_on_disconnect, NULL, change);
	if (change_parse(change, root, &error))
		change_read_rows(change);
	else
		change_fail(change, ERR_BAD_REQUEST, error->message);
	json_decref(root);
}
