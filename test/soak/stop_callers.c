#include "stop_callers.h"

#include <stdlib.h>
#include <string.h>

#define STOP_CALLERS_CONNECTIONS 48
/* Longest pause of a caller between an answer and its next request. */
#define STOP_CALLERS_PAUSE_MS 1500
/* Longest time between two pieces of a request. */
#define STOP_CALLERS_PIECE_MS 600
#define STOP_CALLERS_GRACE_MS (TESTBED_GRACE_S * 1000ULL)
/* A request that crosses the close of its connection may be lost (the platform's loss_slack_ms). */
#define STOP_CALLERS_SLACK_MS 200

struct stop_kind {
	const char *path;
	uint32_t max_tokens; /* 0: a call */
	uint32_t timeout_ms; /* of the route; 0: that of calls */
};

static const struct stop_kind stop_kinds[] = {
	{ .path = "/once/x" },
	{ .path = "/safe/x" },
	{ .path = "/long/x", .max_tokens = 400, .timeout_ms = 20000 },
	{ .path = "/quick/x", .max_tokens = 120, .timeout_ms = 6000 },
};

/* A connection and its current request. */
struct stop_caller {
	struct raw_caller raw;
	const struct stop_kind *kind;
	char *id;	     /* NULL between requests */
	uint32_t pieces;     /* that are still to be sent; the last one ends the body */
	uint64_t due_ms;     /* of the next piece or request */
	uint64_t sent_ms;    /* of the first piece */
	uint64_t whole_ms;   /* of the last piece; 0 before */
	uint32_t allowed_ms; /* deadline or timeout of the route */
	bool ended;
};

struct stop_callers {
	struct stop_callers_conf conf;
	struct mock_platform *platform;
	struct stop_caller callers[STOP_CALLERS_CONNECTIONS];
	GPtrArray *refused; /* ids */
	uint64_t stop_ms;
	uint32_t request_count;
	uint32_t late_count;
};

static uint64_t stop_now_ms(void)
{
	return uv_hrtime() / 1000000;
}

static uint32_t stop_random_below(const struct stop_callers *callers, uint32_t below)
{
	return (uint32_t)g_rand_int_range(callers->conf.rand, 0, (gint32)below);
}

struct stop_callers *stop_callers_open(const struct stop_callers_conf *conf, uint64_t stop_ms)
{
	struct stop_callers *callers = g_new0(struct stop_callers, 1);
	uint64_t now_ms = stop_now_ms();

	callers->conf = *conf;
	callers->platform = testbed_platform(conf->gateway->testbed);
	callers->refused = g_ptr_array_new_with_free_func(g_free);
	callers->stop_ms = stop_ms;
	for (uint32_t i = 0; i < STOP_CALLERS_CONNECTIONS; i++) {
		struct stop_caller *caller = &callers->callers[i];

		caller->raw = raw_caller_connect(conf->gateway);
		caller->due_ms =
			now_ms + stop_random_below(callers, (uint32_t)(stop_ms - now_ms +
								       STOP_CALLERS_GRACE_MS));
	}
	return callers;
}

void stop_callers_signalled(struct stop_callers *callers)
{
	callers->stop_ms = stop_now_ms();
}

/* Sends the head of a request, with its body unless that comes in pieces. */
static void stop_caller_begin(struct stop_callers *callers, struct stop_caller *caller)
{
	const struct stop_callers_conf *conf = &callers->conf;
	uint32_t limit_ms;
	g_autofree char *tokens = NULL;
	g_autofree char *text = NULL;

	caller->kind = &stop_kinds[stop_random_below(callers, G_N_ELEMENTS(stop_kinds))];
	limit_ms = caller->kind->timeout_ms ? caller->kind->timeout_ms : conf->call_timeout_ms;
	caller->allowed_ms = limit_ms - stop_random_below(callers, limit_ms / 3);
	caller->id = g_strdup_printf("5709%06x%06x", conf->number, ++callers->request_count);
	caller->pieces = stop_random_below(callers, 2) ? 1 + stop_random_below(callers, 3) : 0;
	if (caller->kind->max_tokens)
		tokens = g_strdup_printf(
			"X-Flamingolatch-Model: m\r\nX-Flamingolatch-Token-Usage: %u,%u\r\n",
			100 + stop_random_below(callers, 4000),
			4 + stop_random_below(callers, caller->kind->max_tokens));
	text = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: " TESTBED_HOST "\r\nX-Flamingolatch-Attempt-Id: %s\r\n"
		"X-Flamingolatch-Deadline-Ms: %u\r\n%sAuthorization: Bearer " TESTBED_KEY "\r\n%s",
		caller->kind->path, caller->id, caller->allowed_ms, tokens ? tokens : "",
		caller->pieces ? "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
			       : "Content-Length: 0\r\n\r\n");
	caller->sent_ms = stop_now_ms();
	caller->whole_ms = caller->pieces ? 0 : caller->sent_ms;
	raw_caller_send_text(&caller->raw, text);
}

static void stop_caller_send(struct stop_callers *callers, struct stop_caller *caller)
{
	if (!caller->id) {
		stop_caller_begin(callers, caller);
	} else {
		bool last = --caller->pieces == 0;

		raw_caller_send_text(&caller->raw, last ? "0\r\n\r\n" : "5\r\nworld\r\n");
		if (last)
			caller->whole_ms = stop_now_ms();
	}
	if (caller->whole_ms > callers->stop_ms)
		callers->late_count++;
	caller->due_ms = caller->pieces
				 ? stop_now_ms() + stop_random_below(callers, STOP_CALLERS_PIECE_MS)
				 : UINT64_MAX;
}

/* Tells whether a request may end without a whole answer. */
static bool stop_caller_is_excused(const struct stop_callers *callers,
				   const struct stop_caller *caller,
				   const struct mock_request_record *record)
{
	uint64_t now_ms = stop_now_ms();
	uint64_t worked_ms = record->working ? now_ms : record->worked_ms;

	if (caller->whole_ms == 0)
		return true;
	if (record->arrivals == 0)
		return now_ms <= caller->whole_ms + STOP_CALLERS_SLACK_MS;
	if (record->broke_off || now_ms >= caller->sent_ms + caller->allowed_ms ||
	    callers->conf.is_faulty(callers->conf.ctx, record->upstream, caller->sent_ms))
		return true;
	return caller->whole_ms <= callers->stop_ms + STOP_CALLERS_EARLY_MS &&
	       raw_caller_status(&caller->raw) != 0 &&
	       worked_ms >= callers->stop_ms + STOP_CALLERS_GRACE_MS * 5 / 6;
}

static void stop_caller_check(struct stop_callers *callers, struct stop_caller *caller)
{
	const struct raw_caller *raw = &caller->raw;
	struct mock_request_record record = mock_request_record(callers->platform, caller->id);
	uint16_t status = raw_caller_status(raw);
	bool whole = raw_caller_is_whole(raw);
	bool refused = whole && (status == 503 || status == 429);
	g_autofree char *text = NULL;

	if (refused)
		g_ptr_array_add(callers->refused, g_strdup(caller->id));
	if (refused && record.executions > 0)
		text = g_strdup("was refused but ran");
	else if (whole && status == 200 && !strstr(raw->input->str, caller->id))
		text = g_strdup("got the answer to another request");
	else if (!whole && !stop_caller_is_excused(callers, caller, &record))
		text = g_strdup(record.arrivals ? "was passed on and got no whole answer"
						: "was read and got no answer");
	if (text) {
		g_autofree char *log = testbed_log_lines(callers->conf.gateway, caller->id);
		g_autofree char *line = g_strdup_printf(
			"%s %s %s: %s, sent %d ms after SIGTERM, whole %d, ended %d; status %u, "
			"%u arrivals, %u executions, %u at work, last at %s\n%s",
			callers->conf.gateway->name, caller->kind->path, caller->id, text,
			(int)(caller->sent_ms - callers->stop_ms),
			(int)(caller->whole_ms - callers->stop_ms),
			(int)(stop_now_ms() - callers->stop_ms), status, record.arrivals,
			record.executions, record.working,
			record.upstream ? record.upstream : "none", log);

		callers->conf.violation(callers->conf.ctx, line);
	}
}

static void stop_caller_end_request(struct stop_callers *callers, struct stop_caller *caller)
{
	struct raw_caller *raw = &caller->raw;

	stop_caller_check(callers, caller);
	caller->ended =
		raw->closed || caller->pieces || strstr(raw->input->str, "Connection: close");
	g_clear_pointer(&caller->id, g_free);
	g_string_truncate(raw->input, 0);
	caller->due_ms = stop_now_ms() + stop_random_below(callers, STOP_CALLERS_PAUSE_MS);
}

bool stop_callers_update(struct stop_callers *callers)
{
	bool open = false;

	for (uint32_t i = 0; i < STOP_CALLERS_CONNECTIONS; i++) {
		struct stop_caller *caller = &callers->callers[i];

		if (caller->ended)
			continue;
		raw_caller_read(&caller->raw, SIZE_MAX);
		if (caller->id && (caller->raw.closed || raw_caller_is_whole(&caller->raw)))
			stop_caller_end_request(callers, caller);
		else if (caller->raw.closed)
			caller->ended = true;
		else if (stop_now_ms() >= caller->due_ms)
			stop_caller_send(callers, caller);
		open |= !caller->ended;
	}
	return open;
}

void stop_callers_check_refused(const struct stop_callers *callers)
{
	for (guint i = 0; i < callers->refused->len; i++) {
		const char *id = callers->refused->pdata[i];
		g_autofree char *text = g_strdup_printf("%s was refused but ran later", id);

		if (mock_request_record(callers->platform, id).executions > 0)
			callers->conf.violation(callers->conf.ctx, text);
	}
}

uint32_t stop_callers_count(const struct stop_callers *callers)
{
	return callers->late_count;
}

void stop_callers_free(struct stop_callers *callers)
{
	for (uint32_t i = 0; i < STOP_CALLERS_CONNECTIONS; i++) {
		raw_caller_close(&callers->callers[i].raw);
		g_free(callers->callers[i].id);
	}
	g_ptr_array_free(callers->refused, TRUE);
	g_free(callers);
}
