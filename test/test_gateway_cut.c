/**
 * @file test_gateway_cut.c
 * The gateway program against upstreams whose connection ends inside an answer:
 * after each byte of the head and of a short body, closed or reset. No caller
 * may get a success that looks whole unless the upstream sent all of it.
 */
#include "raw_caller.h"
#include "raw_upstream.h"
#include "testbed.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define READY_TIMEOUT_MS  20000
#define ANSWER_TIMEOUT_MS 3000
#define RAW_PORT	  8700
#define RAW_HOST_NUMBER	  120
#define LIST_MS		  300 /* until the instance list has arrived */
#define RESET_PAUSE_MS	  2   /* from the last byte to a reset that comes later */
#define PIECE_BYTES	  40
#define PIECE_PAUSE_MS	  1
#define MAX_UPSTREAMS	  12
#define MAX_BATCH_CUTS	  16 /* at once */
#define BATCH_SOUND	  24
#define SUSPENSION_MS	  450 /* the first time for which an upstream that fails is left alone */
#define MAX_REPLAY_COUNT  4   /* of a cut whose request was refused unsent */
/* Share of the cuts that must have reached an upstream. */
#define PLAYED_SHARE 0.98

enum cut_end {
	CUT_CLOSED,
	CUT_RESET,
	CUT_RESET_LATER, /* after the bytes have been read */
	CUT_PIECES,	 /* closed; sent in pieces with pauses */
	CUT_END_COUNT
};

enum cut_framing {
	CUT_FRAMED,   /* by a length or by chunks */
	CUT_BODYLESS, /* by the status or the method */
	CUT_UNFRAMED, /* ends with the connection */
	CUT_UNFRAMED_EVENTS,
	CUT_UNREADABLE, /* nobody can tell where its body ends */
};

/* An answer that is cut. '@' stands for the id of the request. */
struct cut_answer {
	const char *name;
	enum cut_framing framing;
	const char *text;
	const char *body; /* as callers get it when all was sent */
};

/* How a kind of request is sent. */
struct cut_kind {
	const char *prefix; /* of the path */
	const char *method;
	const char *version; /* of HTTP */
	uint32_t max_attempts;
	const char *before;	 /* answer of the first attempt, which is then closed; NULL: none */
	const char *before_body; /* what callers have of it */
};

/* A request whose answer is cut. */
struct cut {
	const struct cut_answer *answer;
	enum cut_end end;
	size_t cut_bytes;
	char *id;
	char *text; /* of the whole answer */
	uint32_t arrivals;
	uint32_t cut_count;
	uint32_t replay_count;
	bool conn_ended; /* it was read on a connection that was being ended */
	struct raw_caller caller;
};

/* A request that waits for its sound answer. */
struct held_request {
	struct raw_conn *conn;
	uint64_t number; /* of the connection */
	char *answer;
};

struct fixture {
	struct testbed *testbed;
	struct mock_platform *platform;
	struct testbed_gateway *gateway;
	struct raw_upstream *raw[MAX_UPSTREAMS];
	const struct cut_kind *kind;
	GPtrArray *held;  /* struct held_request */
	bool hold;	  /* sound answers wait for the cut ones */
	GHashTable *cuts; /* id to struct cut; other requests get a sound answer */
	/* Ids of the requests for a sound answer that an upstream has read, except on a connection
	 * that it was ending. */
	GHashTable *read;
	GHashTable *ended; /* names of the connections whose last answer was cut */
	bool keep_conns;   /* sound answers keep their connection open */
	uint32_t upstream_count;
	uint32_t next_id;
	uint32_t played;
	uint32_t not_played;
	uint32_t served;
	uint32_t failed;
	uint32_t begun;		/* answers that were begun and cut */
	uint32_t on_used_conns; /* cuts on a connection that was used before */
	uint32_t resumed;	/* requests that go on after an event */
	uint32_t sound;		/* sound answers that were passed on */
	uint32_t taken_over;	/* requests that go on from a KV copy */
	uint32_t ended_idle;	/* connections of a batch that were ended after a whole answer */
};

/* Result of a call, as its caller sees it. */
struct cut_result {
	uint16_t status; /* 0 without a complete head */
	bool whole;
	bool closed;
	bool reset;
	uint32_t signatures;
	GString *body;
};

#define SIGNED		"X-Flamingolatch-Replica-Signature: s\r\n"
#define OWN		SIGNED "X-Flamingolatch-Attempt-Id: @\r\n"
#define OK_OWN		"HTTP/1.1 200 OK\r\n" OWN
#define EVENTS		"Content-Type: text/event-stream\r\n"
#define EVENT(id, text) "id: " #id "\ndata: " text "\n\n"
#define BODY		"hello, world"

/* the upstream */

static char *with_id(const char *text, const char *id)
{
	g_auto(GStrv) parts = g_strsplit(text, "@", 0);

	return g_strjoinv(id, parts);
}

static void held_request_free(gpointer data)
{
	struct held_request *held = data;

	g_free(held->answer);
	g_free(held);
}

/* Answers the requests that wait. Sound answers come after the cut ones: then the upstreams do not
 * count as failing. */
static void release_sound(struct fixture *f)
{
	for (guint i = 0; i < f->held->len; i++) {
		struct held_request *held = f->held->pdata[i];
		bool open = false;

		for (uint32_t n = 0; n < f->upstream_count; n++)
			open |= raw_upstream_find_conn(f->raw[n], held->number) == held->conn;
		if (!open)
			continue;
		if (!f->keep_conns)
			raw_conn_close(held->conn);
		raw_conn_write(held->conn, held->answer);
	}
	g_ptr_array_set_size(f->held, 0);
}

static void answer_sound(struct fixture *f, struct raw_conn *conn, const char *id)
{
	const char *head = raw_conn_request_head(conn);
	bool stream = strstr(head, " /long/") || strstr(head, " /quick/");
	g_autofree char *own = with_id(OK_OWN, id);
	struct held_request *held = g_new0(struct held_request, 1);

	held->conn = conn;
	held->number = raw_conn_number(conn);
	held->answer = g_strconcat(own, f->keep_conns ? "" : "Connection: close\r\n",
				   stream ? EVENTS "Content-Length: 48\r\n\r\n" EVENT(91, "a")
						    EVENT(92, "b") EVENT(93, "c")
					  : "Transfer-Encoding: chunked\r\n\r\nC\r\n" BODY
					    "\r\n0\r\nX-T: 1\r\n\r\n",
				   NULL);
	g_ptr_array_add(f->held, held);
	if (!f->hold)
		release_sound(f);
}

static void answer_cut(const struct cut *cut, struct raw_conn *conn)
{
	g_autofree char *text = g_strndup(cut->text, cut->cut_bytes);

	if (cut->end == CUT_CLOSED || cut->end == CUT_PIECES)
		raw_conn_close(conn);
	else
		raw_conn_reset(conn);
	if (cut->end == CUT_PIECES) {
		raw_conn_write_pieces(conn, text, PIECE_BYTES, PIECE_PAUSE_MS);
		return;
	}
	if (cut->end == CUT_RESET_LATER)
		raw_conn_write_later(conn, "", RESET_PAUSE_MS, false);
	raw_conn_write(conn, text);
}

static void on_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct fixture *f = ctx;
	const char *head = raw_conn_request_head(conn);
	struct cut *cut = g_hash_table_lookup(f->cuts, id);
	/* A structure may have the address of one that was freed. */
	g_autofree char *name =
		g_strdup_printf("%p %" G_GUINT64_FORMAT, (void *)conn, raw_conn_number(conn));
	bool ended = g_hash_table_contains(f->ended, name);

	if (!cut) {
		if (!ended)
			g_hash_table_add(f->read, g_strdup(id));
		answer_sound(f, conn, id);
		return;
	}
	cut->conn_ended = ended;
	cut->arrivals++;
	f->resumed += strstr(head, "last-event-id: ") != NULL;
	f->taken_over += strstr(head, "kv-from: ") != NULL;
	if (f->kind->before && cut->arrivals == 1) {
		g_autofree char *before = with_id(f->kind->before, id);

		raw_conn_close(conn);
		raw_conn_write(conn, before);
		return;
	}
	g_hash_table_add(f->ended, g_steal_pointer(&name));
	cut->cut_count++;
	f->on_used_conns += raw_conn_request_count(conn) > 1;
	answer_cut(cut, conn);
}

/* the fixture */

/* Writes the entry of an upstream in the instance list. */
static void put_entry(struct fixture *f, uint32_t number, const char *state, const char *service)
{
	g_autofree char *ip = testbed_ip(f->testbed, RAW_HOST_NUMBER + number);
	g_autofree char *id = g_strdup_printf("raw-%u", number);
	g_autofree char *entry = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"slots\":64,"
		"\"state\":\"%s\",\"cold_left_ms\":0,\"seq_no\":1,\"born\":1}",
		service, ip, RAW_PORT, state);

	mock_store_put(f->platform, "servers", id, entry);
}

/* Starts an upstream and lists it. */
static struct raw_upstream *list_upstream(struct fixture *f, uint32_t number, const char *state,
					  const char *service, raw_upstream_cb cb, void *ctx)
{
	g_autofree char *ip = testbed_ip(f->testbed, RAW_HOST_NUMBER + number);
	struct raw_upstream *raw =
		raw_upstream_create(testbed_loop(f->testbed), ip, RAW_PORT, cb, ctx);

	put_entry(f, number, state, service);
	return raw;
}

static void fixture_open(struct fixture *f, const struct cut_kind *kind, const char *service,
			 uint32_t upstreams)
{
	*f = (struct fixture){ .testbed = testbed_create(38),
			       .kind = kind,
			       .upstream_count = upstreams };
	f->held = g_ptr_array_new_with_free_func(held_request_free);
	f->cuts = g_hash_table_new(g_str_hash, g_str_equal);
	f->read = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->platform = testbed_platform(f->testbed);
	testbed_configure(f->testbed, NULL, NULL);
	f->gateway = testbed_gateway(f->testbed, "gw-1", NULL);
	testbed_start(f->gateway);
	g_assert_true(testbed_wait_ready(f->gateway, READY_TIMEOUT_MS));
	for (uint32_t i = 0; i < upstreams; i++)
		f->raw[i] = list_upstream(f, i, "ready", service, on_request, f);
	testbed_run(f->testbed, LIST_MS);
}

static void fixture_close(struct fixture *f)
{
	for (size_t i = 0; i < G_N_ELEMENTS(f->raw); i++) {
		if (f->raw[i])
			raw_upstream_destroy(f->raw[i]);
	}
	g_hash_table_destroy(f->cuts);
	g_hash_table_destroy(f->read);
	g_hash_table_destroy(f->ended);
	g_ptr_array_free(f->held, TRUE);
	testbed_destroy(f->testbed);
}

/* callers */

/* Appends the body in chunks to @p body. Returns whether it is whole, with nothing after it. */
static bool decode_chunks(const char *at, GString *body)
{
	while (true) {
		char *end;
		size_t len = strtoul(at, &end, 16);

		if (end == at || !g_str_has_prefix(end, "\r\n"))
			return false;
		at = end + 2;
		if (len == 0)
			return strcmp(at, "\r\n") == 0;
		if (strlen(at) < len + 2)
			len = MIN(len, strlen(at));
		g_string_append_len(body, at, (gssize)len);
		at += len;
		if (!g_str_has_prefix(at, "\r\n"))
			return false;
		at += 2;
	}
}

static uint32_t count_text(const char *text, const char *needle)
{
	uint32_t count = 0;

	for (const char *at = strstr(text, needle); at; at = strstr(at + 1, needle))
		count++;
	return count;
}

/* Reads an answer by its framing alone, as a caller does. Without framing it is whole when the
 * connection was closed and not reset. */
static struct cut_result parse_result(const struct raw_caller *caller, bool head_only)
{
	const char *text = caller->input->str;
	const char *end = strstr(text, "\r\n\r\n");
	struct cut_result result = { .closed = caller->closed,
				     .reset = caller->reset,
				     .body = g_string_new(NULL) };
	g_autofree char *head = NULL;
	const char *length;

	g_assert_true(text[0] == '\0' || g_str_has_prefix(text, "HTTP/1.1 ") ||
		      strlen(text) < strlen("HTTP/1.1 "));
	if (!end)
		return result;
	head = g_strndup(text, (gsize)(end - text) + 2);
	result.status = (uint16_t)atoi(text + strlen("HTTP/1.1 "));
	result.signatures = count_text(head, "x-flamingolatch-replica-signature: ") +
			    count_text(head, "X-Flamingolatch-Replica-Signature: ");
	length = strstr(head, "Content-Length: ");
	end += 4;
	if (head_only || result.status == 204 || result.status == 304) {
		g_assert_cmpstr(end, ==, "");
		result.whole = true;
	} else if (strstr(head, "Transfer-Encoding: chunked")) {
		g_assert_null(length);
		result.whole = decode_chunks(end, result.body);
	} else if (length) {
		g_string_append(result.body, end);
		result.whole =
			result.body->len == strtoul(length + strlen("Content-Length: "), NULL, 10);
	} else {
		g_string_append(result.body, end);
		result.whole = caller->closed && !caller->reset;
	}
	return result;
}

/* the checks */

/* Returns the size of the head of the answer, including those of 1xx before it. */
static size_t head_bytes(const char *text)
{
	size_t bytes = 0;
	bool informational;

	do {
		const char *crlf = strstr(text + bytes, "\r\n\r\n");
		const char *lf = strstr(text + bytes, "\n\n");

		informational = text[bytes + strlen("HTTP/1.1 ")] == '1';
		bytes = crlf ? (size_t)(crlf - text) + 4 : (size_t)(lf - text) + 2;
	} while (informational);
	return bytes;
}

/* Tells whether the upstream sent a whole answer. */
static bool sent_whole(const struct cut_answer *answer, const char *text, size_t cut_bytes,
		       enum cut_end end)
{
	size_t head = head_bytes(text);

	switch (answer->framing) {
	case CUT_FRAMED:
		return cut_bytes == strlen(text);
	case CUT_BODYLESS:
		return cut_bytes >= head;
	case CUT_UNREADABLE:
		return false;
	case CUT_UNFRAMED:
		return cut_bytes >= head && (end == CUT_CLOSED || end == CUT_PIECES);
	default:
		return cut_bytes > head && memcmp(text + cut_bytes - 2, "\n\n", 2) == 0 &&
		       (end == CUT_CLOSED || end == CUT_PIECES);
	}
}

/* Tells whether the connection could be used again when the upstream ended it. */
static bool left_conn_idle(const struct cut *cut)
{
	return (cut->answer->framing == CUT_FRAMED || cut->answer->framing == CUT_BODYLESS) &&
	       sent_whole(cut->answer, cut->text, cut->cut_bytes, cut->end);
}

static void check_result(struct fixture *f, const struct cut *cut, const struct cut_result *got)
{
	const struct cut_kind *kind = f->kind;
	bool whole = sent_whole(cut->answer, cut->text, cut->cut_bytes, cut->end);
	bool reset = cut->end == CUT_RESET || cut->end == CUT_RESET_LATER || cut->conn_ended;
	bool success = got->status / 100 == 2 || got->status == 304;
	g_autofree char *body = g_strconcat(kind->before_body, cut->answer->body, NULL);

	g_test_message("%s %s %s, %zu of %zu bytes, end %u: status %u, whole %d, reset %d, "
		       "%u arrivals, body \"%s\"",
		       kind->method, kind->prefix, cut->answer->name, cut->cut_bytes,
		       strlen(cut->text), cut->end, got->status, got->whole, got->reset,
		       cut->arrivals, got->body->str);
	g_assert_cmpuint(cut->arrivals, <=, kind->max_attempts);
	g_assert_cmpuint(got->status, >, 0);
	if (success) {
		g_assert_cmpuint(got->signatures, ==, 1);
		g_assert_true(g_str_has_prefix(body, got->body->str));
		g_assert_true(got->whole || got->closed);
	} else {
		g_assert_true(got->status == 502 || got->status == 504);
		g_assert_true(got->whole);
		g_assert_cmpuint(got->signatures, ==, 0);
	}
	if (success && got->whole) {
		g_assert_true(whole);
		if (cut->answer->framing == CUT_FRAMED)
			g_assert_cmpstr(got->body->str, ==, body);
	}
	/* What came before a reset may be lost. */
	if (whole && !reset)
		g_assert_true(success && got->whole);
	f->played++;
	f->served += success && got->whole;
	f->failed += !success;
	f->begun += success && !got->whole;
}

static struct cut *cut_create(struct fixture *f, const struct cut_answer *answer, size_t cut_bytes,
			      enum cut_end end)
{
	struct cut *cut = g_new0(struct cut, 1);

	cut->answer = answer;
	cut->end = end;
	cut->cut_bytes = cut_bytes;
	cut->id = g_strdup_printf("c%05x", ++f->next_id);
	cut->text = with_id(answer->text, cut->id);
	return cut;
}

static void cut_free(struct cut *cut)
{
	g_free(cut->id);
	g_free(cut->text);
	g_free(cut);
}

static struct raw_caller open_caller(struct fixture *f, const char *method, const char *version,
				     const char *id)
{
	struct raw_caller caller = raw_caller_connect(f->gateway);
	/* A path of its own, so that no two requests have a fingerprint in common. */
	g_autofree char *path = g_strconcat(f->kind->prefix, id, NULL);

	raw_caller_send_as(&caller, method, version, id, path);
	return caller;
}

/* A request that gets a sound answer. */
struct sound_request {
	struct raw_caller caller;
	char id[16];
};

static void open_sound(struct fixture *f, struct sound_request *sound)
{
	g_snprintf(sound->id, sizeof(sound->id), "5%05x", ++f->next_id);
	sound->caller = open_caller(f, "POST", "1.1", sound->id);
}

/* Reads the answers to the end of each. */
static void read_all(struct fixture *f, struct raw_caller **callers, uint32_t count, bool head_only)
{
	uint32_t open = count;

	for (uint32_t ms = 0; ms < ANSWER_TIMEOUT_MS && open > 0; ms++) {
		testbed_run(f->testbed, 1);
		open = 0;
		for (uint32_t i = 0; i < count; i++) {
			struct cut_result result;

			raw_caller_read(callers[i], SIZE_MAX);
			result = parse_result(callers[i], head_only);
			open += !result.whole && !result.closed;
			g_string_free(result.body, TRUE);
		}
	}
}

/* Tells whether a request failed because it was sent on a connection that the upstream ended at the
 * same time, after a whole answer: the gateway cannot know that it was not run, and no other
 * upstream is there. Each such connection can meet one request. */
static bool met_ended_conn(struct fixture *f, const char *id, uint16_t status)
{
	if (status != 502 || f->ended_idle == 0 || g_hash_table_contains(f->read, id))
		return false;
	f->ended_idle--;
	return true;
}

/* Checks a cut and frees it. Puts it back when its request was refused unsent, or not sent again:
 * the upstreams failed too often. Returns false then. */
static bool finish_cut(struct fixture *f, GQueue *queue, struct cut *cut)
{
	struct cut_result got = parse_result(&cut->caller, strcmp(f->kind->method, "HEAD") == 0);
	bool played = cut->cut_count > 0;

	if (played) {
		check_result(f, cut, &got);
	} else {
		if (cut->arrivals == 0)
			g_assert_true(got.status == 503 || met_ended_conn(f, cut->id, got.status));
		else
			g_assert_true(got.status == 502 || got.status == 504 ||
				      (got.status == 200 && !got.whole));
		if (cut->replay_count + 1 < MAX_REPLAY_COUNT) {
			struct cut *again = cut_create(f, cut->answer, cut->cut_bytes, cut->end);

			again->replay_count = cut->replay_count + 1;
			g_queue_push_tail(queue, again);
		} else {
			f->not_played++;
		}
	}
	g_string_free(got.body, TRUE);
	g_hash_table_remove(f->cuts, cut->id);
	raw_caller_close(&cut->caller);
	cut_free(cut);
	return played;
}

static void finish_sound(struct fixture *f, struct sound_request *sound)
{
	struct cut_result got = parse_result(&sound->caller, false);
	bool allowed = got.whole && (got.status == 200 || got.status == 503 ||
				     met_ended_conn(f, sound->id, got.status));

	if (!allowed) {
		g_autofree char *log = testbed_log_lines(f->gateway, sound->id);

		g_test_message("sound request %s: status %u, whole %d, read %d; %s", sound->id,
			       got.status, got.whole, g_hash_table_contains(f->read, sound->id),
			       log);
	}
	g_assert_true(allowed);
	f->sound += got.status == 200;
	g_string_free(got.body, TRUE);
	raw_caller_close(&sound->caller);
}

/* Plays cuts at once, beside sound requests. */
static void play_batch(struct fixture *f, GQueue *queue)
{
	uint32_t max_count = f->upstream_count > 1 ? f->upstream_count / 3 : MAX_BATCH_CUTS;
	struct cut *cuts[MAX_BATCH_CUTS] = { 0 };
	struct sound_request sound[BATCH_SOUND];
	struct raw_caller *callers[MAX_BATCH_CUTS + BATCH_SOUND];
	uint32_t count = 0;
	bool all_played = true;

	f->hold = true;
	/* One for each upstream is sent ahead, while none counts as failing. */
	for (uint32_t i = 0; i < f->upstream_count; i++)
		open_sound(f, &sound[i]);
	while (count < max_count && queue->length > 0) {
		struct cut *cut = g_queue_pop_head(queue);

		g_hash_table_insert(f->cuts, cut->id, cut);
		cut->caller = open_caller(f, f->kind->method, f->kind->version, cut->id);
		callers[count] = &cut->caller;
		cuts[count++] = cut;
	}
	for (uint32_t i = 0; i < BATCH_SOUND; i++) {
		if (i >= f->upstream_count)
			open_sound(f, &sound[i]);
		callers[count + i] = &sound[i].caller;
	}
	read_all(f, callers, count, strcmp(f->kind->method, "HEAD") == 0);
	testbed_run(f->testbed, RESET_PAUSE_MS);
	f->hold = false;
	release_sound(f);
	read_all(f, callers + count, BATCH_SOUND, false);
	f->ended_idle = 0;
	for (uint32_t i = 0; i < count; i++)
		f->ended_idle += cuts[i]->cut_count > 0 && left_conn_idle(cuts[i]);
	for (uint32_t i = 0; i < BATCH_SOUND; i++)
		finish_sound(f, &sound[i]);
	for (uint32_t i = 0; i < count; i++)
		all_played &= finish_cut(f, queue, cuts[i]);
	if (!all_played)
		testbed_run(f->testbed, SUSPENSION_MS);
}

/* Cuts the answers after each byte, in each way. */
static void play_all(struct fixture *f, const struct cut_answer *answers, size_t count)
{
	g_autoptr(GQueue) queue = g_queue_new();

	for (size_t i = 0; i < count; i++) {
		g_autofree char *text = with_id(answers[i].text, "c00000");

		for (size_t cut = 0; cut <= strlen(text); cut++) {
			/* The ways other than a plain close by turns. */
			enum cut_end other = (enum cut_end)(1 + cut % (CUT_END_COUNT - 1));

			g_queue_push_tail(queue, cut_create(f, &answers[i], cut, CUT_CLOSED));
			g_queue_push_tail(queue, cut_create(f, &answers[i], cut, other));
		}
	}
	while (queue->length > 0) {
		f->keep_conns = !f->keep_conns;
		play_batch(f, queue);
	}
	g_test_message("%s %s: %u cuts, %u not played, %u served, %u failed, %u begun, "
		       "%u on used connections, %u resumed, %u taken over, %u sound",
		       f->kind->method, f->kind->prefix, f->played, f->not_played, f->served,
		       f->failed, f->begun, f->on_used_conns, f->resumed, f->taken_over, f->sound);
	g_assert_cmpuint(f->not_played, <, (uint32_t)(f->played * (1 - PLAYED_SHARE)));
}

/* calls */

#define RETRIED_ANSWERS 3 /* the first ones */

static const struct cut_answer call_answers[] = {
	{ "length", CUT_FRAMED, OK_OWN "Content-Length: 12\r\n\r\n" BODY, BODY },
	{ "chunked", CUT_FRAMED,
	  OK_OWN "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	  BODY },
	{ "unframed", CUT_UNFRAMED, OK_OWN "\r\n" BODY, BODY },
	{ "length-first", CUT_FRAMED, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" OWN "\r\n" BODY,
	  BODY },
	{ "trailers", CUT_FRAMED,
	  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" OWN "\r\nC\r\n" BODY
	  "\r\n0\r\nX-T: 1\r\n\r\n",
	  BODY },
	{ "line-feeds", CUT_FRAMED,
	  "HTTP/1.1 200 OK\nX-Flamingolatch-Replica-Signature: s\n"
	  "X-Flamingolatch-Attempt-Id: @\nContent-Length: 12\n\n" BODY,
	  BODY },
	{ "early-hints", CUT_FRAMED,
	  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK_OWN "Content-Length: 12\r\n\r\n" BODY,
	  BODY },
	{ "continue", CUT_UNFRAMED,
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n" OWN "\r\n" BODY, BODY },
	{ "no-content", CUT_BODYLESS, "HTTP/1.1 204 No Content\r\n" OWN "\r\n", "" },
	{ "unknown-coding", CUT_UNREADABLE,
	  OK_OWN "Transfer-Encoding: chunk\r\n\r\nC\r\n" BODY "\r\n0\r\n\r\n", BODY },
	{ "switched", CUT_UNREADABLE,
	  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" OK_OWN
	  "Content-Length: 12\r\n\r\n" BODY,
	  BODY },
	{ "not-modified", CUT_BODYLESS,
	  "HTTP/1.1 304 Not Modified\r\n" OWN "Content-Length: 12\r\n\r\n", "" },
};

static void check_calls(const struct cut_kind *kind)
{
	struct fixture f;

	fixture_open(&f, kind, TESTBED_PLAIN_SERVICE, 1);
	play_all(&f, call_answers, G_N_ELEMENTS(call_answers));
	g_assert_cmpuint(f.on_used_conns, >, f.played / 4);
	fixture_close(&f);
}

static void test_once(void)
{
	check_calls(&(struct cut_kind){ "/once/", "POST", "1.1", 1, NULL, "" });
}

static void test_safe(void)
{
	check_calls(&(struct cut_kind){ "/safe/", "POST", "1.1", 2, NULL, "" });
}

/* The first upstream breaks off without a byte, the next one is cut. */
static void test_retry(void)
{
	static const struct cut_kind kind = { "/safe/", "POST", "1.1", 2, "", "" };
	struct fixture f;

	fixture_open(&f, &kind, TESTBED_PLAIN_SERVICE, MAX_UPSTREAMS);
	play_all(&f, call_answers, RETRIED_ANSWERS);
	fixture_close(&f);
}

/* streams */

#define STREAM_HEAD   OK_OWN EVENTS
#define THREE_EVENTS  EVENT(1, "a") EVENT(2, "b") EVENT(3, "c")
#define TWO_EVENTS    EVENT(4, "d") EVENT(5, "e")
#define BEFORE_STREAM STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n2d\r\n" THREE_EVENTS "\r\n"

static const struct cut_answer stream_answers[] = {
	{ "chunked", CUT_FRAMED,
	  STREAM_HEAD
	  "Transfer-Encoding: chunked\r\n\r\n14\r\n" EVENT(4, "d") "id: 5\r\na\r\n"
								   "\ndata: e\n\n\r\n0\r\n\r\n",
	  TWO_EVENTS },
	{ "length", CUT_FRAMED, STREAM_HEAD "Content-Length: 30\r\n\r\n" TWO_EVENTS, TWO_EVENTS },
	{ "unframed", CUT_UNFRAMED_EVENTS, STREAM_HEAD "\r\n" TWO_EVENTS, TWO_EVENTS },
};

static void check_streams(const struct cut_kind *kind, uint32_t upstreams)
{
	struct fixture f;

	fixture_open(&f, kind, TESTBED_ENGINE_SERVICE, upstreams);
	play_all(&f, stream_answers, G_N_ELEMENTS(stream_answers));
	g_assert_true(!kind->before || f.resumed > 0);
	g_assert_true(!kind->before || kind->max_attempts > 2 || f.taken_over == 0);
	fixture_close(&f);
}

static void test_stream(void)
{
	check_streams(&(struct cut_kind){ "/long/", "POST", "1.1", 1, NULL, "" }, 1);
}

/* An answer without a body is no stream that lacks its end, whatever its type. */
static void check_bodyless(const struct cut_kind *kind, const char *service,
			   const struct cut_answer *answers, size_t count)
{
	g_autofree char *aborted = NULL;
	struct fixture f;

	fixture_open(&f, kind, service, 1);
	play_all(&f, answers, count);
	aborted = testbed_log_lines(f.gateway, "stream-cut");
	g_assert_cmpstr(aborted, ==, "");
	fixture_close(&f);
}

static void test_stream_no_content(void)
{
	static const struct cut_kind kind = { "/long/", "POST", "1.1", 1, NULL, "" };
	static const struct cut_answer answers[] = {
		{ "no-content", CUT_BODYLESS, "HTTP/1.1 204 No Content\r\n" OWN EVENTS "\r\n", "" },
	};

	check_bodyless(&kind, TESTBED_ENGINE_SERVICE, answers, G_N_ELEMENTS(answers));
}

static void check_head(const char *prefix, const char *service)
{
	struct cut_kind kind = { prefix, "HEAD", "1.1", 1, NULL, "" };
	static const struct cut_answer answers[] = {
		{ "length", CUT_BODYLESS, STREAM_HEAD "Content-Length: 12\r\n\r\n", "" },
		{ "chunked", CUT_BODYLESS, STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n", "" },
		{ "unframed", CUT_BODYLESS, STREAM_HEAD "\r\n", "" },
	};

	check_bodyless(&kind, service, answers, G_N_ELEMENTS(answers));
}

static void test_head(void)
{
	check_head("/once/", TESTBED_PLAIN_SERVICE);
}

static void test_stream_head(void)
{
	check_head("/long/", TESTBED_ENGINE_SERVICE);
}

/* Both attempts of a resumable stream are cut at the same byte. */
static void test_resumable(void)
{
	check_streams(&(struct cut_kind){ "/quick/", "POST", "1.1", 2, NULL, "" }, MAX_UPSTREAMS);
}

/* A stream that has begun goes on at another engine, whose answer is cut. */
static void test_resumed(void)
{
	check_streams(
		&(struct cut_kind){ "/quick/", "POST", "1.1", 2, BEFORE_STREAM, THREE_EVENTS },
		MAX_UPSTREAMS);
}

/* The same, going on from a KV copy. */
static void test_taken_over(void)
{
	check_streams(&(struct cut_kind){ "/long/", "POST", "1.1", 3, BEFORE_STREAM, THREE_EVENTS },
		      MAX_UPSTREAMS);
}

/* Callers with HTTP/1.0 tell a whole stream by a proper close alone. */
static void test_stream_http10(void)
{
	check_streams(&(struct cut_kind){ "/long/", "POST", "1.0", 1, NULL, "" }, 1);
}

/* KV copies */

#define MOVE_STREAMS	16
#define MOVE_TOKENS	400 /* so many that the generation is worth a copy */
#define MOVE_ANSWER_MS	30
#define MOVE_TIMEOUT_MS 6000
#define MOVE_ANSWER                                                                                \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 33\r\n\r\n"          \
	"{\"kv_handle\":\"h0001\",\"created\":3}"
#define MOVE_ANSWER_UNFRAMED                                                                       \
	"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"                                \
	"{\"kv_handle\":\"h0001\",\"created\":3}"
#define NO_SUCH_RUN "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

/* How an engine that leaves answers the calls for a copy of its runs. */
struct move_script {
	const char *stream;	 /* its answer to a request */
	const char *stop_answer; /* to the second call, at which the stream is closed; NULL: the
				    calls are cut */
	bool holds_stop;	 /* the test answers the second call and closes the stream */
	uint64_t stop;		 /* number of the connection of the second call, if so */
	GPtrArray *streams;	 /* struct raw_conn that it streams on */
	uint32_t calls;
	uint32_t resumed; /* requests that go on at the other engine */
};

static void on_move(struct move_script *script, struct raw_conn *conn)
{
	static const char *const answers[] = { MOVE_ANSWER, MOVE_ANSWER_UNFRAMED };
	const char *answer = answers[script->calls % 2];
	uint32_t cut = script->calls++ / 2;
	enum cut_end end = cut % CUT_PIECES;
	struct cut call = { .text = (char *)answer,
			    .end = end,
			    .cut_bytes = MIN(cut, strlen(answer) - 1) };

	if (!script->stop_answer) {
		answer_cut(&call, conn);
		return;
	}
	if (script->calls == 1) {
		raw_conn_write(conn, MOVE_ANSWER);
		return;
	}
	if (script->holds_stop) {
		if (script->calls == 2)
			script->stop = raw_conn_number(conn);
		else
			raw_conn_write(conn, script->stop_answer);
		return;
	}
	raw_conn_close(script->streams->pdata[0]);
	raw_conn_write(script->streams->pdata[0], "");
	raw_conn_write_later(conn, script->stop_answer, MOVE_ANSWER_MS, false);
}

static void on_leaving_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct move_script *script = ctx;
	g_autofree char *stream = with_id(script->stream, id);

	if (strstr(raw_conn_request_head(conn), " /kv-move ")) {
		on_move(script, conn);
		return;
	}
	g_ptr_array_add(script->streams, conn);
	raw_conn_write(conn, stream);
}

static void on_resumed_request(void *ctx, struct raw_conn *conn, const char *id)
{
	struct move_script *script = ctx;
	g_autofree char *answer = with_id(STREAM_HEAD "Content-Length: 30\r\n\r\n" TWO_EVENTS, id);

	script->resumed++;
	raw_conn_write(conn, answer);
}

/* Opens streams at an engine that then leaves; another one appears beside it. */
static void move_open(struct fixture *f, struct move_script *script, struct raw_caller *callers,
		      uint32_t count)
{
	static const struct cut_kind kind = { "/long/", "POST", "1.1", 1, NULL, "" };

	fixture_open(f, &kind, TESTBED_ENGINE_SERVICE, 0);
	script->streams = g_ptr_array_new();
	f->raw[0] =
		list_upstream(f, 0, "ready", TESTBED_ENGINE_SERVICE, on_leaving_request, script);
	testbed_run(f->testbed, LIST_MS);
	for (uint32_t i = 0; i < count; i++) {
		g_autofree char *id = g_strdup_printf("c%05x", i);

		callers[i] = raw_caller_connect(f->gateway);
		callers[i].max_tokens = MOVE_TOKENS;
		raw_caller_send_as(&callers[i], "POST", "1.1", id, "/long/x");
	}
	testbed_run(f->testbed, 100);
	g_assert_cmpuint(script->streams->len, ==, count);
	f->raw[1] =
		list_upstream(f, 1, "ready", TESTBED_ENGINE_SERVICE, on_resumed_request, script);
	testbed_run(f->testbed, LIST_MS);
	put_entry(f, 0, "draining", TESTBED_ENGINE_SERVICE);
}

/* An answer about a copy that is cut is not taken for a copy: the stream stays where it is. */
static void test_move_cut(void)
{
	struct move_script script = { .stream = BEFORE_STREAM };
	struct raw_caller callers[MOVE_STREAMS];
	uint32_t cuts = 2 * strlen(MOVE_ANSWER);
	struct fixture f;

	move_open(&f, &script, callers, MOVE_STREAMS);
	for (uint32_t ms = 0; ms < MOVE_TIMEOUT_MS && script.calls < cuts; ms += 10)
		testbed_run(f.testbed, 10);
	g_test_message("%u calls cut, %u resumed", script.calls, script.resumed);
	for (uint32_t i = 0; i < MOVE_STREAMS; i++)
		raw_conn_write(script.streams->pdata[i], "0\r\n\r\n");
	testbed_run(f.testbed, 100);
	g_assert_cmpuint(script.calls, >=, cuts);
	g_assert_cmpuint(script.resumed, ==, 0);
	for (uint32_t i = 0; i < MOVE_STREAMS; i++) {
		struct cut_result got;

		raw_caller_read(&callers[i], SIZE_MAX);
		got = parse_result(&callers[i], false);
		g_assert_true(got.whole);
		g_assert_cmpstr(got.body->str, ==, THREE_EVENTS);
		g_string_free(got.body, TRUE);
		raw_caller_close(&callers[i]);
	}
	g_ptr_array_free(script.streams, TRUE);
	fixture_close(&f);
}

/* A stream that ends with its connection while the engine is asked to stop it for the last copy:
 * the answer to that call tells whether it was over. */
static void test_move_stop(void)
{
	static const struct {
		const char *stream;
		const char *answer;
		const char *body; /* that the caller gets */
		bool whole;
	} cases[] = {
		{ STREAM_HEAD "\r\n" THREE_EVENTS, MOVE_ANSWER, THREE_EVENTS TWO_EVENTS, true },
		{ BEFORE_STREAM, MOVE_ANSWER, THREE_EVENTS TWO_EVENTS, true },
		{ STREAM_HEAD "\r\n" THREE_EVENTS, NO_SUCH_RUN, THREE_EVENTS, true },
		{ STREAM_HEAD "\r\n" THREE_EVENTS "id: 4", NO_SUCH_RUN, THREE_EVENTS, false },
		{ BEFORE_STREAM, NO_SUCH_RUN, THREE_EVENTS, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct move_script script = { .stream = cases[i].stream,
					      .stop_answer = cases[i].answer };
		struct raw_caller caller;
		struct cut_result got;
		struct fixture f;

		move_open(&f, &script, &caller, 1);
		for (uint32_t ms = 0; ms < MOVE_TIMEOUT_MS && script.calls < 2; ms += 10)
			testbed_run(f.testbed, 10);
		testbed_run(f.testbed, 300);
		raw_caller_read(&caller, SIZE_MAX);
		got = parse_result(&caller, false);
		g_test_message("case %zu: %u calls, %u resumed, whole %d, closed %d, body \"%s\"",
			       i, script.calls, script.resumed, got.whole, got.closed,
			       got.body->str);
		g_assert_cmpuint(script.calls, ==, 2);
		g_assert_true(got.whole == cases[i].whole);
		g_assert_true(got.whole || got.closed);
		g_assert_cmpstr(got.body->str, ==, cases[i].body);
		g_string_free(got.body, TRUE);
		raw_caller_close(&caller);
		g_ptr_array_free(script.streams, TRUE);
		fixture_close(&f);
	}
}

enum stop_loss {
	STOP_LOST_FIRST,  /* the answer is lost, then the stream ends */
	STOP_LOST_LAST,	  /* the stream ends, then the answer is lost */
	STOP_ASKED_AGAIN, /* the answer is lost; the next call finds no such run; the stream ends */
	STOP_UNANSWERED,
	STOP_ANSWERED /* after the end of the stream */
};

/* Ends the stream properly, with its last chunk if it has any. */
static void end_stopped_stream(const struct move_script *script)
{
	struct raw_conn *conn = script->streams->pdata[0];

	raw_conn_close(conn);
	raw_conn_write(conn, strstr(script->stream, "chunked") ? "0\r\n\r\n" : "");
}

/* Answers the call that stops the generation, or resets its connection. */
static void end_stop_call(const struct fixture *f, const struct move_script *script,
			  const char *answer)
{
	struct raw_conn *conn = raw_upstream_find_conn(f->raw[0], script->stop);

	if (!conn)
		return;
	if (!answer)
		raw_conn_reset(conn);
	raw_conn_write(conn, answer ? answer : "");
}

static void play_stop(struct fixture *f, const struct move_script *script, enum stop_loss loss)
{
	if (loss == STOP_LOST_FIRST || loss == STOP_ASKED_AGAIN) {
		end_stop_call(f, script, NULL);
		for (uint32_t ms = 0;
		     loss == STOP_ASKED_AGAIN && ms < MOVE_TIMEOUT_MS && script->calls < 3;
		     ms += 10)
			testbed_run(f->testbed, 10);
		testbed_run(f->testbed, MOVE_ANSWER_MS);
	}
	end_stopped_stream(script);
	testbed_run(f->testbed, MOVE_ANSWER_MS);
	if (loss == STOP_LOST_LAST || loss == STOP_ANSWERED)
		end_stop_call(f, script, loss == STOP_ANSWERED ? script->stop_answer : NULL);
	testbed_run(f->testbed, loss == STOP_UNANSWERED ? MOVE_TIMEOUT_MS : 300);
}

/* A stream that is closed properly after its engine was asked to stop it is whole only if the
 * engine answers that it stopped nothing. */
static void test_stopped_stream_completed(void)
{
	static const char *const streams[] = { STREAM_HEAD "\r\n" THREE_EVENTS, BEFORE_STREAM };
	static const struct {
		enum stop_loss loss;
		const char *answer;
		const char *body; /* that the caller gets */
		bool whole;
	} cases[] = {
		{ STOP_LOST_FIRST, NO_SUCH_RUN, THREE_EVENTS, false },
		{ STOP_LOST_LAST, NO_SUCH_RUN, THREE_EVENTS, false },
		{ STOP_ASKED_AGAIN, NO_SUCH_RUN, THREE_EVENTS, false },
		{ STOP_UNANSWERED, NO_SUCH_RUN, THREE_EVENTS, false },
		{ STOP_ANSWERED, NO_SUCH_RUN, THREE_EVENTS, true },
		{ STOP_ANSWERED, MOVE_ANSWER, THREE_EVENTS TWO_EVENTS, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases) * G_N_ELEMENTS(streams); i++) {
		size_t k = i / G_N_ELEMENTS(streams);
		struct move_script script = { .stream = streams[i % G_N_ELEMENTS(streams)],
					      .stop_answer = cases[k].answer,
					      .holds_stop = true };
		struct raw_caller caller;
		struct cut_result got;
		struct fixture f;
		g_autofree char *lines = NULL;

		move_open(&f, &script, &caller, 1);
		for (uint32_t ms = 0; ms < MOVE_TIMEOUT_MS && script.calls < 2; ms += 10)
			testbed_run(f.testbed, 10);
		g_assert_cmpuint(script.stop, >, 0);
		play_stop(&f, &script, cases[k].loss);
		raw_caller_read(&caller, SIZE_MAX);
		got = parse_result(&caller, false);
		lines = testbed_log_lines(f.gateway, "stream-ended-in-stop");
		g_test_message("%s", lines);
		g_test_message("case %zu, %s: %u calls, %u resumed, whole %d, closed %d, body "
			       "\"%s\"",
			       k, i % G_N_ELEMENTS(streams) ? "chunked" : "unframed", script.calls,
			       script.resumed, got.whole, got.closed, got.body->str);
		if (got.whole != cases[k].whole || strcmp(got.body->str, cases[k].body) != 0)
			g_test_fail();
		g_assert_true(got.whole || got.closed);
		g_string_free(got.body, TRUE);
		raw_caller_close(&caller);
		g_ptr_array_free(script.streams, TRUE);
		fixture_close(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway-cut/once", test_once);
	g_test_add_func("/gateway-cut/safe", test_safe);
	g_test_add_func("/gateway-cut/retry", test_retry);
	g_test_add_func("/gateway-cut/head", test_head);
	g_test_add_func("/gateway-cut/stream", test_stream);
	g_test_add_func("/gateway-cut/stream-no-content", test_stream_no_content);
	g_test_add_func("/gateway-cut/stream-head", test_stream_head);
	g_test_add_func("/gateway-cut/resumable", test_resumable);
	g_test_add_func("/gateway-cut/resumed", test_resumed);
	g_test_add_func("/gateway-cut/taken-over", test_taken_over);
	g_test_add_func("/gateway-cut/stream-http10", test_stream_http10);
	g_test_add_func("/gateway-cut/move-cut", test_move_cut);
	g_test_add_func("/gateway-cut/move-stop", test_move_stop);
	g_test_add_func("/gateway-cut/stopped-stream-completed", test_stopped_stream_completed);
	return g_test_run();
}
