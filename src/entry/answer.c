#include "entry_internal.h"

#include <stdlib.h>
#include <string.h>

json_t *answer_error_json(enum err_kind kind, const char *message)
{
	const struct err_info *info = err_info(kind);
	json_t *error =
		json_pack("{s:s, s:s, s:s}", "kind", info->name, "ran", err_ran_name(info->ran),
			  "message", message ? message : info->meaning);

	if (info->retry_after_ms)
		json_object_set_new(error, "retry_after_ms", json_integer(info->retry_after_ms));
	return json_pack("{s:o}", "error", error);
}

void answer_json(struct hreq *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	hreq_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

void answer_error(struct entry *entry, struct hreq *req, enum err_kind kind, const char *message)
{
	const struct err_info *info = err_info(kind);
	g_autofree char *seconds = NULL;

	if (info->ran == ERR_RAN_NOT)
		metric_add(entry->metric, METRIC_REFUSED, 1);
	if (info->retry_after_ms) {
		seconds = g_strdup_printf("%u", (info->retry_after_ms + 999) / 1000);
		hreq_add_header(req, "retry-after", seconds);
	}
	answer_json(req, info->http_status, answer_error_json(kind, message));
}
