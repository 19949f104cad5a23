#include "flamingolatch/fetch.h"

struct fetch {
	struct hcall *call;
	bool (*may_send)(void *ctx);
	fetch_cb cb;
	void *ctx;
	size_t max_bytes;
	uint16_t status;
	char *type;
	GString *body;
	bool overflow;
};

static bool fetch_on_connected(void *ctx);
static void fetch_on_head(void *ctx, const struct hcall_head *head);
static void fetch_on_data(void *ctx, const char *buf, size_t len);
static void fetch_on_end(void *ctx, enum hcall_result result, bool sent);

static const struct hcall_ops fetch_ops = { .connected = fetch_on_connected,
					    .head = fetch_on_head,
					    .data = fetch_on_data,
					    .end = fetch_on_end };

/* lifetime */

struct fetch *fetch_start(struct hcli *cli, const struct hcall_req *req, size_t max_bytes,
			  bool (*may_send)(void *ctx), fetch_cb cb, void *ctx)
{
	struct fetch *fetch = g_new0(struct fetch, 1);

	fetch->may_send = may_send;
	fetch->cb = cb;
	fetch->ctx = ctx;
	fetch->max_bytes = max_bytes;
	fetch->body = g_string_new(NULL);
	fetch->call = hcli_call(cli, req, &fetch_ops, fetch);
	return fetch;
}

static void fetch_free(struct fetch *fetch)
{
	g_string_free(fetch->body, TRUE);
	g_free(fetch->type);
	g_free(fetch);
}

void fetch_cancel(struct fetch *fetch)
{
	hcall_cancel(fetch->call);
	fetch_free(fetch);
}

/* helpers */

static bool fetch_on_connected(void *ctx)
{
	struct fetch *fetch = ctx;

	return !fetch->may_send || fetch->may_send(fetch->ctx);
}

static void fetch_on_head(void *ctx, const struct hcall_head *head)
{
	struct fetch *fetch = ctx;

	fetch->status = hcall_head_status(head);
	fetch->type = hcall_head_get(head, "content-type");
}

static void fetch_on_data(void *ctx, const char *buf, size_t len)
{
	struct fetch *fetch = ctx;

	if (fetch->body->len + len > fetch->max_bytes)
		fetch->overflow = true;
	else
		g_string_append_len(fetch->body, buf, (gssize)len);
}

static void fetch_on_end(void *ctx, enum hcall_result result, bool sent)
{
	struct fetch *fetch = ctx;
	struct fetch_answer answer = { .result = fetch->overflow ? HCALL_BROKEN : result,
				       .sent = sent,
				       .status = fetch->status,
				       .type = fetch->type ? fetch->type : "",
				       .body = fetch->body->str,
				       .body_len = fetch->body->len };

	fetch->cb(fetch->ctx, &answer);
	fetch_free(fetch);
}
