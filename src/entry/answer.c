#include "entry_internal.h"

#include "flamingolatch/reply.h"

json_t *answer_error_json(enum err_kind kind, const char *message)
{
	return reply_error_json(kind, message);
}

void answer_json(struct http_req *req, uint16_t status, json_t *root)
{
	reply_json(req, status, root);
}

void answer_error(struct entry *entry, struct http_req *req, enum err_kind kind,
		  const char *message)
{
	const struct err_info *info = err_info(kind);
	g_autofree char *seconds = NULL;

	if (info->execution == ERR_EXECUTION_NOT_RUN)
		metric_add(entry->metric, METRIC_REFUSED, 1);
	if (info->retry_after_ms) {
		seconds = g_strdup_printf("%u", (info->retry_after_ms + 999) / 1000);
		http_req_add_response_header(req, "retry-after", seconds);
	}
	reply_json(req, info->http_status, reply_error_json(kind, message));
}
