/**
 * @file service.c
 * Stand-in of a plain service. Every call that is not to /fault runs once,
 * is logged at that moment, and is answered with its number.
 *
 * POST /fault {"slow_ms": n, "lose_answers": n, "fail": n}: the next n calls
 * run and lose their answer, or are answered with 500 after running.
 */
#include "fake.h"

#include <stdlib.h>
#include <string.h>

struct service {
	struct fake fake;
	uint64_t runs;
	int64_t slow_ms;
	int64_t lose_answers;
	int64_t fail;
};

/* An answer that is due later. */
struct service_late {
	uv_timer_t timer;
	struct service *service;
	struct hreq *req; /* NULL once the client left */
	json_t *answer;
	uint16_t status;
	bool lose;
};

static void service_on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void service_on_due(uv_timer_t *timer)
{
	struct service_late *late = timer->data;

	if (late->req) {
		hreq_set_callbacks(late->req, NULL, NULL, NULL);
		if (late->lose)
			fake_abort_answer(late->req);
		else
			fake_reply(late->req, late->status, json_incref(late->answer));
	}
	json_decref(late->answer);
	uv_close((uv_handle_t *)timer, service_on_closed);
}

static void service_on_gone(void *ctx)
{
	struct service_late *late = ctx;

	late->req = NULL;
}

static void service_fault(struct service *service, struct hreq *req)
{
	json_t *root = fake_parse_body(req);

	service->slow_ms = fake_get_int(root, "slow_ms", service->slow_ms);
	service->lose_answers = fake_get_int(root, "lose_answers", service->lose_answers);
	service->fail = fake_get_int(root, "fail", service->fail);
	json_decref(root);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

static const char *service_header(struct hreq *req, const char *name)
{
	const char *value = hreq_header(req, name);

	return value ? value : "";
}

static void service_run(struct service *service, struct hreq *req)
{
	struct service_late *late = calloc(1, sizeof(*late));
	size_t len;
	const char *body = hreq_body(req, &len);

	service->runs++;
	fake_log(&service->fake,
		 json_pack("{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:s%}", "ev", "run", "n",
			   (json_int_t)service->runs, "method", hreq_method(req), "path",
			   hreq_path(req), "key", service_header(req, "idempotency-key"),
			   "request_id", service_header(req, "x-request-id"), "customer",
			   service_header(req, "x-customer"), "body", body, len));
	late->service = service;
	late->req = req;
	late->status = service->fail > 0 ? 500 : 200;
	late->lose = service->lose_answers > 0;
	service->fail -= service->fail > 0;
	service->lose_answers -= service->lose_answers > 0;
	late->answer = json_pack("{s:I, s:s, s:s}", "run", (json_int_t)service->runs, "path",
				 hreq_path(req), "request_id", service_header(req, "x-request-id"));
	late->timer.data = late;
	uv_timer_init(service->fake.loop, &late->timer);
	hreq_set_callbacks(req, service_on_gone, NULL, late);
	uv_timer_start(&late->timer, service_on_due, (uint64_t)service->slow_ms, 0);
}

static void service_on_request(void *ctx, struct hreq *req)
{
	struct service *service = ctx;

	if (strcmp(hreq_path(req), "/fault") == 0)
		service_fault(service, req);
	else
		service_run(service, req);
}

int main(int argc, char **argv)
{
	struct service service = { 0 };

	fake_listen(&service.fake, argc, argv, NULL, service_on_request, &service);
	return uv_run(service.fake.loop, UV_RUN_DEFAULT);
}
