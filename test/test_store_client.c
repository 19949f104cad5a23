/**
 * @file test_store_client.c
 * The store client of the platform adapter over loopback: calls on single rows and on rows in
 * parts, against the mock store and against a server that gives one answer to every call.
 */
#include "../platform/platform.h"

#include "mock_platform.h"

#include "flamingolatch/http_server.h"

#include <string.h>

#define PART  "service/one"
#define TABLE "flamingolatch-streams"
/* A store that does not answer holds a caller for no longer: below the timeout of reads of a table.
 */
#define GIVES_UP_MAX_MS 2000
#define GIVES_UP_MIN_MS 900
#define WATCH_WAIT_MS	5000

/* The loop, the store and its client. */
struct fixture {
	uv_loop_t loop;
	struct mock_platform *platform; /* NULL with a server of fixed answers */
	struct http_server *srv;	/* NULL with the mock store */
	struct http_client *cli;
	struct store_client *store;
	uint16_t status; /* of the fixed answer; 0: there is none */
	const char *body;
	char *target; /* of the last call to the server of fixed answers */
	json_t *sent; /* body of that call; NULL when it is not JSON */
};

/* The end of a call. */
struct outcome {
	bool done;
	enum store_result result;
	struct store_position position;
	GPtrArray *changes; /* struct store_change */
};

static void change_copy_add(GPtrArray *changes, const struct store_change *change)
{
	struct store_change *copy = g_new0(struct store_change, 1);

	copy->id = g_strdup(change->id);
	copy->text = g_strdup(change->text);
	copy->software_version = g_strdup(change->software_version);
	copy->row_version = change->row_version;
	copy->removed = change->removed;
	copy->malformed = change->malformed;
	g_ptr_array_add(changes, copy);
}

static void outcome_on_answer(void *arg, const struct store_answer *answer)
{
	struct outcome *outcome = arg;

	g_assert_false(outcome->done);
	outcome->done = true;
	outcome->result = answer->result;
	outcome->position = answer->position;
	for (guint i = 0; i < answer->changes->len; i++)
		change_copy_add(outcome->changes, answer->changes->pdata[i]);
}

static void outcome_init(struct outcome *outcome)
{
	*outcome = (struct outcome){
		.changes = g_ptr_array_new_with_free_func(platform_change_free),
	};
}

static void outcome_clear(struct outcome *outcome)
{
	g_ptr_array_free(outcome->changes, TRUE);
}

/* Returns the row with an id; NULL when the answer does not have it. */
static const struct store_change *outcome_row(const struct outcome *outcome, const char *id)
{
	for (guint i = 0; i < outcome->changes->len; i++) {
		const struct store_change *change = outcome->changes->pdata[i];

		if (strcmp(change->id, id) == 0)
			return change;
	}
	return NULL;
}

static void on_request(void *ctx, struct http_req *req)
{
	struct fixture *f = ctx;
	size_t len;
	const char *body = http_req_body(req, &len);

	g_free(f->target);
	f->target = g_strdup(http_req_target(req));
	json_decref(f->sent);
	f->sent = json_loadb(body, len, 0, NULL);
	if (f->status)
		http_req_reply(req, f->status, "application/json", f->body, strlen(f->body));
}

static void fixture_open_client(struct fixture *f, const char *address)
{
	f->cli = http_client_create(&f->loop);
	f->store = platform_store_create(f->cli, address);
}

static void fixture_open(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	f->platform = mock_platform_create(&f->loop, "127.0.0.1", 0, 1);
	fixture_open_client(f, mock_platform_address(f->platform));
}

/* Opens a server that gives the same answer to every call. @param status 0: no answer */
static void fixture_open_fixed(struct fixture *f, uint16_t status, const char *body)
{
	struct http_server_conf conf = { .address = "127.0.0.1", .max_body_bytes = 1 << 20 };
	g_autofree char *address = NULL;

	memset(f, 0, sizeof(*f));
	uv_loop_init(&f->loop);
	f->status = status;
	f->body = body;
	f->srv = http_server_create(&f->loop, &conf, on_request, f, NULL);
	g_assert_nonnull(f->srv);
	address = g_strdup_printf("127.0.0.1:%u", http_server_port(f->srv));
	fixture_open_client(f, address);
}

static void fixture_close(struct fixture *f)
{
	platform_store_destroy(f->store);
	http_client_destroy(f->cli);
	if (f->platform)
		mock_platform_destroy(f->platform);
	if (f->srv) {
		/* calls without an answer end at the server when the client closed them */
		while (http_server_open_requests(f->srv))
			uv_run(&f->loop, UV_RUN_ONCE);
		http_server_destroy(f->srv);
	}
	while (uv_run(&f->loop, UV_RUN_NOWAIT))
		;
	g_assert_cmpint(uv_loop_close(&f->loop), ==, 0);
	g_free(f->target);
	json_decref(f->sent);
}

static void wait_for(struct fixture *f, const struct outcome *outcome)
{
	while (!outcome->done)
		uv_run(&f->loop, UV_RUN_ONCE);
}

static struct outcome read_row(struct fixture *f, enum store_table table, const char *part,
			       const char *id)
{
	struct store_key key = { table, part, id };
	struct outcome outcome;

	outcome_init(&outcome);
	f->store->ops->read_row(f->store->ctx, &key, outcome_on_answer, &outcome);
	wait_for(f, &outcome);
	return outcome;
}

static struct outcome commit(struct fixture *f, const char *part, const struct store_write *writes,
			     uint32_t count)
{
	struct outcome outcome;

	outcome_init(&outcome);
	f->store->ops->commit(f->store->ctx, STORE_TABLE_STREAMS, part, writes, count,
			      outcome_on_answer, &outcome);
	wait_for(f, &outcome);
	return outcome;
}

/* Commits writes that must end as expected. @return version of the store in the answer */
static uint64_t commit_expect(struct fixture *f, const char *part, const struct store_write *writes,
			      uint32_t count, enum store_result expected)
{
	struct outcome outcome = commit(f, part, writes, count);

	g_assert_cmpint(outcome.result, ==, expected);
	if (expected == STORE_OK)
		g_assert_cmpuint(outcome.changes->len, ==, 0);
	outcome_clear(&outcome);
	return outcome.position.version;
}

/* Asserts that a row has a text, or that there is none. @param text NULL: the row is absent
 * @return version of the row */
static uint64_t assert_row(struct fixture *f, const char *part, const char *id, const char *text)
{
	struct outcome outcome = read_row(f, STORE_TABLE_STREAMS, part, id);
	uint64_t version = 0;

	g_assert_cmpint(outcome.result, ==, STORE_OK);
	g_assert_cmpuint(outcome.changes->len, ==, text ? 1 : 0);
	if (text) {
		const struct store_change *row = outcome.changes->pdata[0];

		g_assert_cmpstr(row->id, ==, id);
		g_assert_cmpstr(row->text, ==, text);
		g_assert_false(row->removed || row->malformed);
		version = row->row_version;
		g_assert_cmpuint(version, >, 0);
		g_assert_cmpuint(version, <=, outcome.position.version);
	}
	outcome_clear(&outcome);
	return version;
}

/* A row is found by its table, part and key, not by a part of them. */
static void test_read_row(void)
{
	static const char odd[] = "k%00 \"\xc3\xa9/&from=a";
	const struct store_write writes[] = {
		{ .id = "k", .text = "one" },  { .id = "k-1", .text = "two" },
		{ .id = "ka", .text = "" },    { .id = odd, .text = "odd" },
		{ .id = "gone", .text = "x" },
	};
	const struct store_write other = { .id = "k", .text = "other" };
	const struct store_write removal = { .id = "gone" };
	struct outcome outcome;
	struct fixture f;
	uint64_t version;

	fixture_open(&f);
	version = commit_expect(&f, PART, writes, G_N_ELEMENTS(writes), STORE_OK);
	commit_expect(&f, "part", &other, 1, STORE_OK);
	commit_expect(&f, PART, &removal, 1, STORE_OK);
	g_assert_cmpuint(assert_row(&f, PART, "k", "one"), ==, version);
	assert_row(&f, PART, "k-1", "two");
	assert_row(&f, PART, "ka", "");
	assert_row(&f, PART, odd, "odd");
	g_assert_cmpuint(assert_row(&f, "part", "k", "other"), >, version);
	assert_row(&f, PART, "gone", NULL);
	assert_row(&f, PART, "k-", NULL);
	assert_row(&f, PART, "", NULL);
	assert_row(&f, PART, "kb", NULL);
	assert_row(&f, "", "k", NULL);
	assert_row(&f, "service", "k", NULL);
	outcome = read_row(&f, STORE_TABLE_OWN, PART, "k");
	g_assert_cmpint(outcome.result, ==, STORE_OK);
	g_assert_cmpuint(outcome.changes->len, ==, 0);
	g_assert_cmpuint(outcome.position.era, ==, 1);
	g_assert_cmpuint(outcome.position.version, ==, version + 2);
	outcome_clear(&outcome);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 5);
	fixture_close(&f);
}

/* A conditional write happens only on the version that it names. */
static void test_conditions(void)
{
	const struct store_write create = { "k", "one", true, 0 };
	const struct store_write removal = { "k", NULL, true, 0 };
	struct store_write update = { "k", "two", true, 0 };
	struct outcome outcome;
	const struct store_change *row;
	struct fixture f;
	uint64_t first;
	uint64_t second;

	fixture_open(&f);
	first = commit_expect(&f, PART, &create, 1, STORE_OK);
	g_assert_cmpuint(assert_row(&f, PART, "k", "one"), ==, first);

	/* the row is no longer absent, except in another part */
	outcome = commit(&f, PART, &create, 1);
	g_assert_cmpint(outcome.result, ==, STORE_CONFLICT);
	g_assert_cmpuint(outcome.position.era, ==, 1);
	g_assert_cmpuint(outcome.changes->len, ==, 1);
	row = outcome.changes->pdata[0];
	g_assert_cmpstr(row->id, ==, "k");
	g_assert_cmpstr(row->text, ==, "one");
	g_assert_cmpuint(row->row_version, ==, first);
	outcome_clear(&outcome);
	commit_expect(&f, "part", &create, 1, STORE_OK);

	update.if_version = first;
	second = commit_expect(&f, PART, &update, 1, STORE_OK);
	g_assert_cmpuint(second, >, first);
	g_assert_cmpuint(assert_row(&f, PART, "k", "two"), ==, second);
	commit_expect(&f, PART, &update, 1, STORE_CONFLICT);
	commit_expect(&f, PART, &removal, 1, STORE_CONFLICT);
	g_assert_cmpuint(assert_row(&f, PART, "k", "two"), ==, second);

	/* a removed row is absent */
	commit_expect(&f, PART, &(struct store_write){ "k", NULL, true, second }, 1, STORE_OK);
	assert_row(&f, PART, "k", NULL);
	outcome = commit(&f, PART, &update, 1);
	g_assert_cmpint(outcome.result, ==, STORE_CONFLICT);
	row = outcome_row(&outcome, "k");
	g_assert_true(!row || row->removed);
	outcome_clear(&outcome);
	commit_expect(&f, PART, &create, 1, STORE_OK);
	assert_row(&f, PART, "k", "one");
	assert_row(&f, "part", "k", "one");
	fixture_close(&f);
}

/* All writes of a batch happen in one version, or none does. */
static void test_batch(void)
{
	struct store_write writes[] = {
		{ .id = "a", .text = "1" },
		{ .id = "b", .text = "1", .conditional = true },
		{ .id = "c", .text = "1" },
	};
	struct outcome watched;
	struct outcome outcome;
	struct fixture f;
	uint64_t first;
	uint64_t second;

	fixture_open(&f);
	first = commit_expect(&f, PART, writes, G_N_ELEMENTS(writes), STORE_OK);
	for (size_t i = 0; i < G_N_ELEMENTS(writes); i++)
		writes[i].text = "2";
	writes[2].text = NULL;
	outcome = commit(&f, PART, writes, G_N_ELEMENTS(writes));
	g_assert_cmpint(outcome.result, ==, STORE_CONFLICT);
	g_assert_cmpuint(outcome.changes->len, ==, 1);
	g_assert_cmpstr(outcome_row(&outcome, "b")->text, ==, "1");
	g_assert_cmpuint(outcome.position.version, ==, first);
	outcome_clear(&outcome);
	g_assert_cmpuint(assert_row(&f, PART, "a", "1"), ==, first);
	g_assert_cmpuint(assert_row(&f, PART, "b", "1"), ==, first);
	g_assert_cmpuint(assert_row(&f, PART, "c", "1"), ==, first);

	/* a watch gets the rows of all parts, those of one batch together */
	outcome_init(&watched);
	f.store->ops->watch(f.store->ctx, STORE_TABLE_STREAMS, first, WATCH_WAIT_MS,
			    outcome_on_answer, &watched);
	/* the store gets the watch before the answer to this arrives */
	assert_row(&f, PART, "b", "1");
	g_assert_false(watched.done);
	writes[1].if_version = first;
	second = commit_expect(&f, PART, writes, G_N_ELEMENTS(writes), STORE_OK);
	wait_for(&f, &watched);
	g_assert_cmpint(watched.result, ==, STORE_OK);
	g_assert_cmpuint(watched.changes->len, ==, G_N_ELEMENTS(writes));
	for (guint i = 0; i < watched.changes->len; i++) {
		const struct store_change *change = watched.changes->pdata[i];

		g_assert_cmpuint(change->row_version, ==, second);
		g_assert_true(change->removed == (strcmp(change->id, "c") == 0));
	}
	outcome_clear(&watched);
	g_assert_cmpuint(assert_row(&f, PART, "a", "2"), ==, second);
	assert_row(&f, PART, "b", "2");
	assert_row(&f, PART, "c", NULL);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 2);
	fixture_close(&f);
}

/* A commit has as many entries as the store takes, and none is written when it has more. */
static void test_batch_limit(void)
{
	struct store_write writes[STORE_COMMIT_MAX_WRITES + 1];
	char ids[STORE_COMMIT_MAX_WRITES + 1][8];
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < G_N_ELEMENTS(writes); i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "k%u", i);
		writes[i] = (struct store_write){ .id = ids[i], .text = "x" };
	}
	commit_expect(&f, PART, writes, G_N_ELEMENTS(writes), STORE_REFUSED);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 0);
	commit_expect(&f, PART, writes, STORE_COMMIT_MAX_WRITES, STORE_OK);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, STORE_COMMIT_MAX_WRITES);
	/* a condition is an entry too */
	writes[0].conditional = true;
	commit_expect(&f, PART, writes, STORE_COMMIT_MAX_WRITES, STORE_REFUSED);
	commit_expect(&f, PART, writes, STORE_COMMIT_MAX_WRITES - 1, STORE_CONFLICT);
	fixture_close(&f);
}

/* An id that JSON cannot hold must not leave the rest of a batch written. */
static void test_not_utf8(void)
{
	const struct store_write writes[] = { { .id = "a", .text = "1" },
					      { .id = "\xff\xfe", .text = "1" } };
	struct fixture f;

	fixture_open(&f);
	commit_expect(&f, PART, writes, G_N_ELEMENTS(writes), STORE_REFUSED);
	commit_expect(&f, "\xff", writes, 1, STORE_REFUSED);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 0);
	fixture_close(&f);
}

/* Reads of a whole table have the rows of the empty part only; a watch has those of all parts. */
static void test_parts_in_reads(void)
{
	const struct store_write write = { .id = "k", .text = "part" };
	const struct store_write plain = { .id = "k", .text = "plain" };
	struct outcome outcome;
	struct fixture f;
	uint64_t first;

	fixture_open(&f);
	first = commit_expect(&f, PART, &write, 1, STORE_OK);
	commit_expect(&f, "", &plain, 1, STORE_OK);
	outcome_init(&outcome);
	f.store->ops->read(f.store->ctx, STORE_TABLE_STREAMS, outcome_on_answer, &outcome);
	wait_for(&f, &outcome);
	g_assert_cmpint(outcome.result, ==, STORE_OK);
	g_assert_cmpuint(outcome.changes->len, ==, 1);
	g_assert_cmpstr(outcome_row(&outcome, "k")->text, ==, "plain");
	g_assert_cmpuint(outcome_row(&outcome, "k")->row_version, ==, first + 1);
	outcome_clear(&outcome);
	outcome_init(&outcome);
	f.store->ops->watch(f.store->ctx, STORE_TABLE_STREAMS, first - 1, WATCH_WAIT_MS,
			    outcome_on_answer, &outcome);
	wait_for(&f, &outcome);
	g_assert_cmpuint(outcome.changes->len, ==, 2);
	outcome_clear(&outcome);
	g_assert_cmpstr(mock_store_text(f.platform, TABLE, "k"), ==, "plain");
	fixture_close(&f);
}

/* A restored store has the rows of its backup in all parts, and says so by its era. The operator's
 * rewriting does not bring back what the system wrote. */
static void test_restored(void)
{
	const struct store_write before = { .id = "k", .text = "before" };
	const struct store_write after = { .id = "k", .text = "after" };
	const struct store_write later = { .id = "later", .text = "x" };
	struct outcome outcome;
	struct fixture f;
	uint64_t version;

	fixture_open(&f);
	commit_expect(&f, "", &before, 1, STORE_OK);
	version = commit_expect(&f, PART, &before, 1, STORE_OK);
	mock_store_backup(f.platform);
	commit_expect(&f, PART, &after, 1, STORE_OK);
	commit_expect(&f, PART, &later, 1, STORE_OK);
	mock_store_restore(f.platform);
	mock_store_rewrite(f.platform);
	g_assert_cmpuint(assert_row(&f, PART, "k", "before"), ==, version);
	assert_row(&f, "", "k", "before");
	assert_row(&f, PART, "later", NULL);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 2);
	outcome = commit(&f, PART, &(struct store_write){ "k", "new", true, version }, 1);
	g_assert_cmpint(outcome.result, ==, STORE_OK);
	g_assert_cmpuint(outcome.position.era, ==, 2);
	g_assert_cmpuint(outcome.position.version, ==, version + 1);
	outcome_clear(&outcome);
	fixture_close(&f);
}

/* The instances' own rows are written as before. */
static void test_put(void)
{
	struct outcome outcome;
	struct fixture f;

	fixture_open(&f);
	for (uint32_t i = 0; i < 2; i++) {
		outcome_init(&outcome);
		f.store->ops->put(f.store->ctx, "gw-1", i == 0 ? "text" : NULL, outcome_on_answer,
				  &outcome);
		wait_for(&f, &outcome);
		g_assert_cmpint(outcome.result, ==, STORE_OK);
		outcome_clear(&outcome);
		g_assert_cmpstr(mock_store_text(f.platform, "flamingolatch", "gw-1"), ==,
				i == 0 ? "text" : NULL);
	}
	g_assert_cmpuint(mock_store_row_count(f.platform, "flamingolatch"), ==, 0);
	fixture_close(&f);
}

static void test_refusals(void)
{
	const struct store_write write = { .id = "k", .text = "x" };
	static const struct {
		enum mock_store_mode mode;
		enum store_result result;
	} modes[] = { { MOCK_STORE_BUSY, STORE_REFUSED }, { MOCK_STORE_RESET, STORE_NO_ANSWER } };
	struct outcome outcome;
	struct fixture f;

	fixture_open(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++) {
		mock_store_set_mode(f.platform, modes[i].mode);
		commit_expect(&f, PART, &write, 1, modes[i].result);
		outcome = read_row(&f, STORE_TABLE_STREAMS, PART, "k");
		g_assert_cmpint(outcome.result, ==, modes[i].result);
		g_assert_cmpuint(outcome.changes->len, ==, 0);
		outcome_clear(&outcome);
	}
	mock_store_set_mode(f.platform, MOCK_STORE_HEALTHY);
	g_assert_cmpuint(mock_store_row_count(f.platform, TABLE), ==, 0);
	commit_expect(&f, PART, &write, 1, STORE_OK);
	fixture_close(&f);
}

/* What each answer of a store means to a commit and to a read of a row. */
static void test_answers(void)
{
	static const struct {
		uint16_t status;
		const char *body;
		enum store_result commit;
		enum store_result read;
	} answers[] = {
		{ 200, "{\"rows\":[],\"row_version\":7}", STORE_OK, STORE_OK },
		{ 200, "", STORE_NO_ANSWER, STORE_NO_ANSWER },
		{ 200, "{\"row_version\":7", STORE_NO_ANSWER, STORE_NO_ANSWER },
		{ 200, "{\"rows\":[]}", STORE_NO_ANSWER, STORE_NO_ANSWER },
		{ 412, "{\"rows\":[],\"row_version\":7}", STORE_CONFLICT, STORE_REFUSED },
		{ 412, "", STORE_NO_ANSWER, STORE_REFUSED },
		{ 412, "{\"rows\":[],\"row_vers", STORE_NO_ANSWER, STORE_REFUSED },
		{ 400, "{}", STORE_REFUSED, STORE_REFUSED },
		{ 429, "", STORE_REFUSED, STORE_REFUSED },
		{ 429, "{\"rows\":[],\"row_version\":7}", STORE_REFUSED, STORE_REFUSED },
		{ 503, "", STORE_REFUSED, STORE_REFUSED },
		{ 500, "", STORE_NO_ANSWER, STORE_NO_ANSWER },
	};
	const struct store_write write = { "k", "x", true, 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		struct outcome outcome;
		struct fixture f;

		fixture_open_fixed(&f, answers[i].status, answers[i].body);
		commit_expect(&f, PART, &write, 1, answers[i].commit);
		outcome = read_row(&f, STORE_TABLE_STREAMS, PART, "k");
		g_assert_cmpint(outcome.result, ==, answers[i].read);
		if (outcome.result == STORE_OK)
			g_assert_cmpuint(outcome.position.version, ==, 7);
		outcome_clear(&outcome);
		fixture_close(&f);
	}
}

/* The calls as the platform's protocol spells them. */
static void test_encoding(void)
{
	static const char expected_text[] =
		"{\"expected_rev\":[{\"table\":\"flamingolatch-streams\",\"part\":\"p/1\","
		"\"key\":\"b\",\"row_version\":5},{\"table\":\"flamingolatch-streams\","
		"\"part\":\"p/1\",\"key\":\"c\",\"row_version\":0}],"
		"\"writes\":[{\"table\":\"flamingolatch-streams\",\"part\":\"p/1\",\"key\":\"a\","
		"\"value\":\"MQ==\"},{\"table\":\"flamingolatch-streams\",\"part\":\"p/1\","
		"\"key\":\"c\",\"value\":\"\"}],"
		"\"remove\":[{\"table\":\"flamingolatch-streams\",\"part\":\"p/1\",\"key\":\"b\"},"
		"{\"table\":\"flamingolatch-streams\",\"part\":\"p/1\",\"key\":\"d\"}]}";
	json_t *expected = json_loads(expected_text, 0, NULL);
	const struct store_write writes[] = {
		{ .id = "a", .text = "1", .if_version = 9 },
		{ "b", NULL, true, 5 },
		{ "c", "", true, 0 },
		{ .id = "d" },
	};
	struct outcome outcome;
	struct fixture f;

	fixture_open_fixed(&f, 200, "{\"row_version\":7}");
	commit_expect(&f, "p/1", writes, G_N_ELEMENTS(writes), STORE_OK);
	g_assert_cmpstr(f.target, ==, "/rows-tx");
	g_assert_true(json_equal(f.sent, expected));
	outcome = read_row(&f, STORE_TABLE_STREAMS, "p/1", "a&b");
	g_assert_cmpstr(f.target, ==,
			"/rows-get?table=flamingolatch-streams&part=p%2F1&from=a%26b"
			"&to=a%26b%00&limit=1");
	outcome_clear(&outcome);
	json_decref(expected);
	fixture_close(&f);
}

/* A store that does not answer holds neither call for long; a cancelled call has no callback. */
static void test_no_answer(void)
{
	const struct store_write write = { .id = "k", .text = "x" };
	const struct store_key key = { STORE_TABLE_STREAMS, PART, "k" };
	struct outcome outcomes[3];
	struct store_call *cancelled;
	struct fixture f;
	uint64_t started_ms;
	uint64_t waited_ms;

	fixture_open_fixed(&f, 0, NULL);
	for (uint32_t i = 0; i < G_N_ELEMENTS(outcomes); i++)
		outcome_init(&outcomes[i]);
	uv_update_time(&f.loop);
	started_ms = uv_now(&f.loop);
	f.store->ops->commit(f.store->ctx, STORE_TABLE_STREAMS, PART, &write, 1, outcome_on_answer,
			     &outcomes[0]);
	f.store->ops->read_row(f.store->ctx, &key, outcome_on_answer, &outcomes[1]);
	cancelled = f.store->ops->commit(f.store->ctx, STORE_TABLE_STREAMS, PART, &write, 1,
					 outcome_on_answer, &outcomes[2]);
	while (!f.target)
		uv_run(&f.loop, UV_RUN_ONCE);
	f.store->ops->cancel(cancelled);
	wait_for(&f, &outcomes[0]);
	wait_for(&f, &outcomes[1]);
	uv_update_time(&f.loop);
	waited_ms = uv_now(&f.loop) - started_ms;
	g_assert_cmpuint(waited_ms, >=, GIVES_UP_MIN_MS);
	g_assert_cmpuint(waited_ms, <, GIVES_UP_MAX_MS);
	g_assert_cmpint(outcomes[0].result, ==, STORE_NO_ANSWER);
	g_assert_cmpint(outcomes[1].result, ==, STORE_NO_ANSWER);
	g_assert_false(outcomes[2].done);
	for (uint32_t i = 0; i < G_N_ELEMENTS(outcomes); i++)
		outcome_clear(&outcomes[i]);
	fixture_close(&f);
}

/* The mock lists an upstream with its software version, or without one. */
static void test_listed_version(void)
{
	static const char *const versions[] = { "v1", NULL };
	struct fixture f;

	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
		struct mock_upstream_conf conf = { .id = "i-1",
						   .service = "s",
						   .zone = "z",
						   .address = "127.0.0.1",
						   .software_version = versions[i] };
		const struct store_change *change;
		struct mock_upstream *upstream;
		struct outcome outcome;

		fixture_open(&f);
		upstream = mock_upstream_create(f.platform, &conf);
		mock_upstream_configure(upstream, &(struct mock_upstream_conf){ .work_ms = 1 });
		mock_upstream_list(upstream);
		outcome_init(&outcome);
		f.store->ops->read(f.store->ctx, STORE_TABLE_UPSTREAMS, outcome_on_answer,
				   &outcome);
		wait_for(&f, &outcome);
		g_assert_cmpuint(outcome.changes->len, ==, 1);
		change = outcome.changes->pdata[0];
		g_assert_false(change->malformed);
		g_assert_cmpstr(change->software_version, ==, versions[i]);
		g_assert_cmpuint(change->row_version, ==, outcome.position.version);
		outcome_clear(&outcome);
		fixture_close(&f);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/store-client/read-row", test_read_row);
	g_test_add_func("/store-client/conditions", test_conditions);
	g_test_add_func("/store-client/batch", test_batch);
	g_test_add_func("/store-client/batch-limit", test_batch_limit);
	g_test_add_func("/store-client/not-utf8", test_not_utf8);
	g_test_add_func("/store-client/parts-in-reads", test_parts_in_reads);
	g_test_add_func("/store-client/restored", test_restored);
	g_test_add_func("/store-client/put", test_put);
	g_test_add_func("/store-client/refusals", test_refusals);
	g_test_add_func("/store-client/answers", test_answers);
	g_test_add_func("/store-client/encoding", test_encoding);
	g_test_add_func("/store-client/no-answer", test_no_answer);
	g_test_add_func("/store-client/listed-version", test_listed_version);
	return g_test_run();
}
