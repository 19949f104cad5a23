#include "flamingolatch/reply.h"

#include <stdlib.h>
#include <string.h>

json_t *reply_error_json(enum err_kind kind, const char *message)
{
	const struct err_info *info = err_info(kind);
	json_t *error = json_pack("{s:s, s:s, s:s}", "kind", info->name, "ran",
				  err_execution_name(info->execution), "message",
				  message ? message : info->meaning);

	if (info->retry_after_ms)
		json_object_set_new(error, "retry_after_ms", json_integer(info->retry_after_ms));
	return json_pack("{s:o}", "error", error);
}

void reply_json(struct http_req *req, uint16_t status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	http_req_reply(req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(root);
}

void reply_error(struct http_req *req, enum err_kind kind, uint32_t retry_after_ms,
		 const char *message)
{
	char seconds[16];

	if (retry_after_ms) {
		g_snprintf(seconds, sizeof(seconds), "%u.%02u", retry_after_ms / 1000,
			   retry_after_ms % 1000 / 10);
		http_req_add_response_header(req, "Retry-After", seconds);
	}
	reply_json(req, err_info(kind)->http_status, reply_error_json(kind, message));
}
