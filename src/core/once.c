#include "flamingolatch/once.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define ONCE_BACKOFF_FIRST_US 20000
#define ONCE_BACKOFF_MAX_US   1000000
/*
 * Margin added to the longest duration of a call. Until then a request with the
 * same key gets ERR_IN_PROGRESS, and ERR_OUTCOME_UNKNOWN afterwards.
 */
#define ONCE_IN_PROGRESS_MARGIN_MS 2000

/* Current step of the request. */
enum once_step {
	ONCE_STEP_NEW,
	ONCE_STEP_CLAIM,
	ONCE_STEP_SEND,
	ONCE_STEP_RECORD,
	ONCE_STEP_RELEASE,
	ONCE_STEP_FINISHED,
};

struct once {
	const struct once_ops *ops;
	void *ctx;
	char *key;
	char *token;
	char *fingerprint;
	struct once_conf conf;
	enum once_step step;
	uint64_t started_us;
	uint64_t started_ms;	    /* wall clock; stored in the row, whose age counts from it */
	uint64_t update_started_us; /* start of recording or releasing */
	uint64_t backoff_us;
	uint64_t version;    /* row version that the next commit requires */
	char *value;	     /* value that the next commit writes */
	bool claim_in_doubt; /* the result of a claim was lost; it may still be applied */
	bool answered;
};

/* A stored row, decoded. */
struct once_row {
	enum once_state state;
	uint64_t version;
	bool same_token;
	bool same_fingerprint;
	uint64_t until_ms; /* wall clock time until which the call may be running */
	struct once_answer answer;
	json_t *root;
};

static const char *const once_state_names[ONCE_STATE_COUNT] = { "absent", "sending", "done",
								"unknown", "released" };

static void once_claim(struct once *once);
static void once_record(struct once *once, uint64_t now_us, enum once_step step);
static void once_finish(struct once *once, bool row_up_to_date);
static void once_retry_later(struct once *once);

/* lifetime */

struct once *once_create(const struct once_conf *conf, const struct once_ops *ops, void *ctx)
{
	struct once *once = g_new0(struct once, 1);

	once->ops = ops;
	once->ctx = ctx;
	once->conf = *conf;
	once->key = g_strdup(conf->key);
	once->token = g_strdup(conf->token);
	once->fingerprint = g_strdup(conf->fingerprint);
	once->backoff_us = ONCE_BACKOFF_FIRST_US;
	return once;
}

void once_destroy(struct once *once)
{
	if (!once)
		return;
	g_free(once->key);
	g_free(once->token);
	g_free(once->fingerprint);
	free(once->value);
	g_free(once);
}

/* helpers */

static void once_set_value(struct once *once, enum once_state state, uint64_t until_ms,
			   const struct once_answer *answer)
{
	json_t *root = json_pack("{s:s, s:s, s:s, s:I, s:I}", "state", once_state_names[state],
				 "token", once->token, "fingerprint", once->fingerprint, "until_ms",
				 (json_int_t)until_ms, "at_ms", (json_int_t)once->started_ms);

	if (answer) {
		g_autofree char *body =
			g_base64_encode((const guchar *)answer->body, answer->body_len);

		json_object_set_new(root, "status", json_integer(answer->status));
		json_object_set_new(root, "type", json_string(answer->type));
		json_object_set_new(root, "body", json_string(body));
	}
	free(once->value);
	once->value = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

static enum once_state once_state_from_name(const char *name)
{
	for (uint32_t i = 0; name && i < ONCE_STATE_COUNT; i++) {
		if (strcmp(name, once_state_names[i]) == 0)
			return (enum once_state)i;
	}
	/* A row that cannot be parsed must never be claimed. */
	return ONCE_UNKNOWN;
}

static void once_decode(const struct once *once, const struct table_row *row, struct once_row *out)
{
	const char *token;
	const char *fingerprint;
	const char *body;
	gsize len = 0;

	*out = (struct once_row){ .state = ONCE_ABSENT };
	if (!row || row->version == 0 || !row->value)
		return;
	out->root = json_loads(row->value, 0, NULL);
	out->version = row->version;
	out->state = once_state_from_name(json_string_value(json_object_get(out->root, "state")));
	token = json_string_value(json_object_get(out->root, "token"));
	fingerprint = json_string_value(json_object_get(out->root, "fingerprint"));
	out->same_token = token && strcmp(token, once->token) == 0;
	out->same_fingerprint = fingerprint && strcmp(fingerprint, once->fingerprint) == 0;
	out->until_ms = (uint64_t)json_integer_value(json_object_get(out->root, "until_ms"));
	body = json_string_value(json_object_get(out->root, "body"));
	out->answer.status = (uint16_t)json_integer_value(json_object_get(out->root, "status"));
	out->answer.type = json_string_value(json_object_get(out->root, "type"));
	out->answer.replayed = true;
	if (body) {
		out->answer.body = (const char *)g_base64_decode(body, &len);
		out->answer.body_len = len;
	}
}

static void once_row_clear(struct once_row *row)
{
	g_free((char *)row->answer.body);
	json_decref(row->root);
}

static void once_answer(struct once *once, enum err_kind kind, const struct once_answer *answer)
{
	if (once->answered)
		return;
	once->answered = true;
	once->ops->answer(once->ctx, kind, answer);
}

static void once_commit(struct once *once)
{
	struct table_write write = { once->key, once->version, once->value };

	once->ops->commit(once->ctx, &write);
}

static void once_claim(struct once *once)
{
	once->step = ONCE_STEP_CLAIM;
	once_commit(once);
}

static void once_retry_later(struct once *once)
{
	uint64_t delay_us = once->backoff_us;

	once->backoff_us = MIN(once->backoff_us * 2, ONCE_BACKOFF_MAX_US);
	once->ops->start_timer(once->ctx, delay_us);
}

static void once_finish(struct once *once, bool row_up_to_date)
{
	once->step = ONCE_STEP_FINISHED;
	once->ops->finished(once->ctx, row_up_to_date);
}

/* Starts to record the outcome; the version of the row is known from the claim. */
static void once_record(struct once *once, uint64_t now_us, enum once_step step)
{
	once->step = step;
	once->update_started_us = now_us;
	once->backoff_us = ONCE_BACKOFF_FIRST_US;
	once_commit(once);
}

/*
 * Gives up before sending. A claim whose result was lost may still be applied
 * later; a ONCE_RELEASED row changes the version, so that the late claim conflicts.
 */
static void once_release(struct once *once, uint64_t now_us, enum err_kind kind)
{
	bool claim_may_be_applied = once->claim_in_doubt;

	once_set_value(once, ONCE_RELEASED, 0, NULL);
	once->step = ONCE_STEP_RELEASE;
	once->update_started_us = now_us;
	once->backoff_us = ONCE_BACKOFF_FIRST_US;
	once_answer(once, kind, NULL);
	if (claim_may_be_applied)
		once->ops->read(once->ctx, once->key);
	else
		once_commit(once);
}

static void once_send(struct once *once, uint64_t now_us, uint64_t version)
{
	once->version = version;
	once->claim_in_doubt = false;
	if (!once_may_send(once, now_us)) {
		once_release(once, now_us, ERR_DEADLINE);
		return;
	}
	once->step = ONCE_STEP_SEND;
	once->ops->send(once->ctx);
}

/* Answers from the row of another request that has claimed the key. */
static void once_answer_from_row(struct once *once, uint64_t wall_ms, const struct once_row *row)
{
	if (!row->same_fingerprint)
		once_answer(once, ERR_KEY_REUSED, NULL);
	else if (row->state == ONCE_DONE)
		once_answer(once, ERR_OK, &row->answer);
	else if (row->state == ONCE_SENDING && wall_ms < row->until_ms)
		once_answer(once, ERR_IN_PROGRESS, NULL);
	else
		once_answer(once, ERR_OUTCOME_UNKNOWN, NULL);
	once_finish(once, true);
}

static void once_claim_conflict(struct once *once, uint64_t now_us, uint64_t wall_ms,
				const struct table_row *present)
{
	struct once_row row;

	once_decode(once, present, &row);
	if (row.state == ONCE_SENDING && row.same_token) {
		once_send(once, now_us, row.version);
	} else if (once_may_replace(row.state, ONCE_SENDING, row.same_token)) {
		/* The key is free: claims it, based on the present version of the row. */
		if (row.state == ONCE_RELEASED && !row.same_fingerprint) {
			once_answer_from_row(once, wall_ms, &row);
		} else {
			once->version = row.version;
			once_claim(once);
		}
	} else {
		once_answer_from_row(once, wall_ms, &row);
	}
	once_row_clear(&row);
}

static void once_claim_failed(struct once *once, uint64_t now_us, enum table_result result)
{
	if (result == TABLE_OUTCOME_UNKNOWN)
		once->claim_in_doubt = true;
#ifdef FL_FAULT_NO_FENCE
	/* Deliberate defect, which the tests have to detect: sends although the result of the claim
	 * is unknown. */
	once_send(once, now_us, 0);
	return;
#endif
	if (now_us - once->started_us < once->conf.claim_timeout_us) {
		once_retry_later(once);
	} else if (once->claim_in_doubt) {
		once_release(once, now_us, ERR_TABLE_UNAVAILABLE);
	} else {
		once_answer(once, ERR_TABLE_UNAVAILABLE, NULL);
		once_finish(once, true);
	}
}

static void once_update_failed(struct once *once, uint64_t now_us)
{
	if (now_us - once->update_started_us < once->conf.record_timeout_us)
		once_retry_later(once);
	else
		once_finish(once, false);
}

/* Replaces the row as read by a ONCE_RELEASED row of this request, where allowed. */
static void once_release_row(struct once *once, const struct table_row *present)
{
	struct once_row row;

	once_decode(once, present, &row);
	if (row.same_token && row.state == ONCE_RELEASED) {
		once_finish(once, true);
	} else if (once_may_replace(row.state, ONCE_RELEASED, row.same_token)) {
		once->version = row.version;
		once_commit(once);
	} else {
		once_finish(once, true);
	}
	once_row_clear(&row);
}

static void once_record_conflict(struct once *once, const struct table_row *present)
{
	struct once_row row;
	bool same_token;

	once_decode(once, present, &row);
	same_token = row.same_token;
	if (same_token && row.state == ONCE_SENDING) {
		once->version = row.version;
		once_commit(once);
	} else {
		once_finish(once, same_token);
	}
	once_row_clear(&row);
}

/* commands */

void once_start(struct once *once, uint64_t now_us, uint64_t wall_ms)
{
	uint64_t max_duration_us = once->conf.send_window_us + once->conf.call_timeout_us;

	once->started_us = now_us;
	once->started_ms = wall_ms;
	once_set_value(once, ONCE_SENDING,
		       wall_ms + max_duration_us / 1000 + ONCE_IN_PROGRESS_MARGIN_MS, NULL);
#ifdef FL_FAULT_SKIP_CLAIM
	/* Deliberate defect, which the tests have to detect: sends without a claim. */
	once_send(once, now_us, 0);
	return;
#endif
	once_claim(once);
}

void once_on_commit(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		    const struct table_row *row)
{
	bool definite = result == TABLE_OK || result == TABLE_CONFLICT;

	switch (once->step) {
	case ONCE_STEP_CLAIM:
		if (result == TABLE_OK)
			once_send(once, now_us, row->version);
		else if (definite)
			once_claim_conflict(once, now_us, wall_ms, row);
		else
			once_claim_failed(once, now_us, result);
		break;
	case ONCE_STEP_RECORD:
		if (result == TABLE_OK)
			once_finish(once, true);
		else if (definite)
			once_record_conflict(once, row);
		else
			once_update_failed(once, now_us);
		break;
	case ONCE_STEP_RELEASE:
		if (result == TABLE_OK)
			once_finish(once, true);
		else if (definite)
			once_release_row(once, row);
		else
			once_update_failed(once, now_us);
		break;
	default:
		break;
	}
}

void once_on_read(struct once *once, uint64_t now_us, uint64_t wall_ms, enum table_result result,
		  const struct table_row *row)
{
	(void)wall_ms;
	if (once->step != ONCE_STEP_RELEASE)
		return;
	if (result == TABLE_OK)
		once_release_row(once, row);
	else
		once_update_failed(once, now_us);
}

void once_on_answer(struct once *once, uint64_t now_us, const struct once_answer *answer)
{
	once_set_value(once, ONCE_DONE, 0, answer);
	once_answer(once, ERR_OK, answer);
	once_record(once, now_us, ONCE_STEP_RECORD);
}

void once_on_not_sent(struct once *once, uint64_t now_us, bool has_alternative)
{
	if (has_alternative && once_may_send(once, now_us))
		once->ops->send(once->ctx);
	else
		once_release(once, now_us, ERR_NO_UPSTREAM);
}

void once_on_answer_lost(struct once *once, uint64_t now_us)
{
	once_set_value(once, ONCE_UNKNOWN, 0, NULL);
	once_answer(once, ERR_OUTCOME_UNKNOWN, NULL);
	once_record(once, now_us, ONCE_STEP_RECORD);
}

void once_on_timer(struct once *once, uint64_t now_us, uint64_t wall_ms)
{
	(void)now_us;
	(void)wall_ms;
	if (once->step == ONCE_STEP_RELEASE && once->claim_in_doubt)
		once->ops->read(once->ctx, once->key);
	else if (once->step != ONCE_STEP_FINISHED)
		once_commit(once);
}

/* queries */

bool once_may_send(const struct once *once, uint64_t now_us)
{
	return now_us - once->started_us <= once->conf.send_window_us;
}

const char *once_state_name(enum once_state state)
{
	return once_state_names[state];
}

bool once_may_replace(enum once_state from, enum once_state to, bool same_token)
{
	switch (to) {
	case ONCE_SENDING:
		return from == ONCE_ABSENT || from == ONCE_RELEASED;
	case ONCE_DONE:
	case ONCE_UNKNOWN:
		return from == ONCE_SENDING && same_token;
	case ONCE_RELEASED:
		return from == ONCE_ABSENT || from == ONCE_RELEASED ||
		       (from == ONCE_SENDING && same_token);
	default:
		return false;
	}
}

bool once_may_delete(const struct table_row *row, uint64_t wall_ms, uint64_t ttl_ms)
{
	json_t *root = row->value ? json_loads(row->value, 0, NULL) : NULL;
	enum once_state state =
		once_state_from_name(json_string_value(json_object_get(root, "state")));
	uint64_t at_ms = (uint64_t)json_integer_value(json_object_get(root, "at_ms"));

	json_decref(root);
	return (state == ONCE_DONE || state == ONCE_RELEASED) && at_ms && wall_ms > at_ms + ttl_ms;
}
