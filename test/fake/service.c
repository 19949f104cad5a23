/**
 * @file service.c
 * Fake plain service. Every request to a path other than /fault is executed: it
 * is logged, and answered with the number of executions so far.
 *
 * POST /fault {"slow_ms": n, "lose_answers": n, "fail": n}: delay answers by n
 * milliseconds; execute the next n requests without answering; execute the next
 * n requests and answer them with status 500.
 */
#include "fake.h"

#include <stdlib.h>
#include <string.h>

struct service {
	struct fake fake;
	uint64_t execution_count;
	int64_t slow_ms;
	int64_t lose_answers;
	int64_t fail_answers;
};

/* An answer to be sent after the delay. */
struct service_answer {
	uv_timer_t timer;
	struct service *service;
	struct http_req *req; /* NULL when the client disconnected */
	json_t *reply;
	uint16_t status;
	bool lose_answer;
};

static void service_on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void service_on_answer_due(uv_timer_t *timer)
{
	struct service_answer *pending = timer->data;

	if (pending->req) {
		http_req_set_callbacks(pending->req, NULL, NULL, NULL);
		if (pending->lose_answer)
			fake_abort_answer(pending->req);
		else
			fake_reply(pending->req, pending->status, json_incref(pending->reply));
	}
	json_decref(pending->reply);
	uv_close((uv_handle_t *)timer, service_on_closed);
}

static void service_on_client_gone(void *ctx)
{
	struct service_answer *pending = ctx;

	pending->req = NULL;
}

static void service_on_fault(struct service *service, struct http_req *req)
{
	json_t *root = fake_parse_body(req);

	service->slow_ms = fake_get_int(root, "slow_ms", service->slow_ms);
	service->lose_answers = fake_get_int(root, "lose_answers", service->lose_answers);
	service->fail_answers = fake_get_int(root, "fail", service->fail_answers);
	json_decref(root);
	fake_reply(req, 200, json_pack("{s:b}", "ok", 1));
}

static const char *service_header(struct http_req *req, const char *name)
{
	const char *value = http_req_header(req, name);

	return value ? value : "";
}

static void service_run(struct service *service, struct http_req *req)
{
	struct service_answer *pending = calloc(1, sizeof(*pending));
	size_t len;
	const char *body = http_req_body(req, &len);

	service->execution_count++;
	fake_log(&service->fake, json_pack("{s:s, s:I, s:s, s:s, s:s, s:s, s:s, s:s%}", "ev", "run",
					   "n", (json_int_t)service->execution_count, "method",
					   http_req_method(req), "path", http_req_path(req), "key",
					   service_header(req, "idempotency-key"), "request_id",
					   service_header(req, "x-request-id"), "customer",
					   service_header(req, "x-customer"), "body", body, len));
	pending->service = service;
	pending->req = req;
	pending->status = service->fail_answers > 0 ? 500 : 200;
	pending->lose_answer = service->lose_answers > 0;
	service->fail_answers -= service->fail_answers > 0;
	service->lose_answers -= service->lose_answers > 0;
	pending->reply =
		json_pack("{s:I, s:s, s:s}", "run", (json_int_t)service->execution_count, "path",
			  http_req_path(req), "request_id", service_header(req, "x-request-id"));
	pending->timer.data = pending;
	uv_timer_init(service->fake.loop, &pending->timer);
	http_req_set_callbacks(req, service_on_client_gone, NULL, pending);
	uv_timer_start(&pending->timer, service_on_answer_due, (uint64_t)service->slow_ms, 0);
}

static void service_on_request(void *ctx, struct http_req *req)
{
	struct service *service = ctx;

	if (strcmp(http_req_path(req), "/fault") == 0)
		service_on_fault(service, req);
	else
		service_run(service, req);
}

int main(int argc, char **argv)
{
	struct service service = { 0 };

	fake_listen(&service.fake, argc, argv, NULL, service_on_request, &service);
	return uv_run(service.fake.loop, UV_RUN_DEFAULT);
}
