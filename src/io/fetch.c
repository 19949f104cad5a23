#include "flamingolatch/fetch.h"

struct fetch {
	struct http_call *call;
	bool (*may_send)(void *ctx);
	fetch_cb cb;
	void *ctx;
	size_t max_bytes;
	uint16_t status;
	char *type;
	const char *header_name; /* to be kept; NULL: none */
	char *header;
	void (*on_head)(void *ctx, const struct http_response_head *head); /* may be NULL */
	bool (*matches)(void *ctx, const struct http_response_head *head); /* may be NULL */
	GString *body;
};

static bool fetch_on_connected(void *ctx);
static void fetch_on_head(void *ctx, const struct http_response_head *head);
static void fetch_on_data(void *ctx, const char *buf, size_t len);
static void fetch_on_end(void *ctx, enum http_call_result result, bool sent);
static bool fetch_matches(void *ctx, const struct http_response_head *head);

static const struct http_call_ops fetch_ops = { .connected = fetch_on_connected,
						.head = fetch_on_head,
						.data = fetch_on_data,
						.end = fetch_on_end,
						.matches = fetch_matches };

/* lifetime */

struct fetch *fetch_start(struct http_client *client, const struct http_call_request *req,
			  size_t max_bytes, bool (*may_send)(void *ctx), fetch_cb cb, void *ctx)
{
	struct fetch *fetch = g_new0(struct fetch, 1);

	fetch->may_send = may_send;
	fetch->cb = cb;
	fetch->ctx = ctx;
	fetch->max_bytes = max_bytes;
	fetch->body = g_string_new(NULL);
	fetch->call = http_call_start(client, req, &fetch_ops, fetch);
	return fetch;
}

static void fetch_free(struct fetch *fetch)
{
	g_string_free(fetch->body, TRUE);
	g_free(fetch->type);
	g_free(fetch->header);
	g_free(fetch);
}

void fetch_keep_header(struct fetch *fetch, const char *name)
{
	fetch->header_name = name;
}

void fetch_set_head_cb(struct fetch *fetch,
		       void (*cb)(void *ctx, const struct http_response_head *head))
{
	fetch->on_head = cb;
}

void fetch_set_match_cb(struct fetch *fetch,
			bool (*cb)(void *ctx, const struct http_response_head *head))
{
	fetch->matches = cb;
}

void fetch_disable_reuse(struct fetch *fetch)
{
	http_call_disable_reuse(fetch->call);
}

void fetch_cancel(struct fetch *fetch)
{
	http_call_cancel(fetch->call);
	fetch_free(fetch);
}

/* helpers */

static bool fetch_on_connected(void *ctx)
{
	struct fetch *fetch = ctx;

	return !fetch->may_send || fetch->may_send(fetch->ctx);
}

static bool fetch_matches(void *ctx, const struct http_response_head *head)
{
	const struct fetch *fetch = ctx;

	return !fetch->matches || fetch->matches(fetch->ctx, head);
}

static void fetch_on_head(void *ctx, const struct http_response_head *head)
{
	struct fetch *fetch = ctx;

	fetch->status = http_response_status(head);
	fetch->type = http_response_dup_header(head, "content-type");
	if (fetch->header_name)
		fetch->header = http_response_dup_header(head, fetch->header_name);
	if (fetch->on_head)
		fetch->on_head(fetch->ctx, head);
}

static void fetch_on_data(void *ctx, const char *buf, size_t len)
{
	struct fetch *fetch = ctx;

	if (fetch->body->len + len <= fetch->max_bytes) {
		g_string_append_len(fetch->body, buf, (gssize)len);
		return;
	}
	/* The rest may have no end. */
	http_call_cancel(fetch->call);
	fetch_on_end(fetch, HTTP_CALL_BROKEN, true);
}

static void fetch_on_end(void *ctx, enum http_call_result result, bool sent)
{
	struct fetch *fetch = ctx;
	struct fetch_response response = { .result = result,
					   .sent = sent,
					   .status = fetch->status,
					   .type = fetch->type ? fetch->type : "",
					   .header = fetch->header,
					   .body = fetch->body->str,
					   .body_len = fetch->body->len };

	fetch->cb(fetch->ctx, &response);
	fetch_free(fetch);
}
