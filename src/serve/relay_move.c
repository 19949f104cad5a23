#include "relay_move.h"

#include "relay_send.h"

#include <stdlib.h>
#include <string.h>

#define RELAY_FINISH_EVENTS   12 /* a stream that is this near its end is not moved */
#define RELAY_MOVE_ANSWER_MAX 4096
#define RELAY_MOVE_TIMEOUT_MS 4000
#define RELAY_MOVE_RETRY_US   (150ULL * 1000) /* between two tries to move a run */
#define RELAY_COPY_LAG_US     (600ULL * 1000) /* until a copy has most of a run's memory */
#define RELAY_MOVE_IDLE_MS    60	      /* a copy this fast found the engine's link idle */
#define RELAY_NOTICE_MS	      1250 /* of an engine that leaves: the shortest seen, less a copy */

static void relay_on_moved(void *ctx, const struct fetch_answer *answer);

/* commands */

/* Goes on from the copy that the backup engine keeps. */
void relay_take_over(struct relay *relay, const char *reason)
{
	struct fups *up = fups_hold(relay->backup.up);
	g_autofree char *handle = g_strdup(relay->request.id);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(relay));

	log_event(LOG_STREAM_RESUMED, "request", relay_id(relay), "route", relay_route(relay),
		  "from", relay_up_id(relay), "to", fups_id(up), "reason", reason, "last_event",
		  relay->last_event_id ? relay->last_event_id : "", "age_ms", age, NULL);
	metric_add(relay->rly->env->metric, METRIC_RESUMES, 1);
	relay_drop_call(relay);
	dsp_leave(&relay->backup);
	relay->may_have_run = true;
	relay_send(relay, up, fups_address(up), handle);
	fups_release(up);
}

/* Asks the engine to copy the run's memory; the last copy stops the run. */
static void relay_call_move(struct relay *relay, bool last)
{
	struct env *env = relay->rly->env;
	struct srf_move move = { relay->request.id, fups_address(relay->move_to), last };
	g_autofree char *path = NULL;
	char *body = NULL;
	struct hcall_req req = { .address = fups_address(relay->part.up),
				 .scope = fups_scope(relay->part.up),
				 .method = "POST",
				 .headers = "Content-Type: application/json\r\n",
				 .timeout_ms = RELAY_MOVE_TIMEOUT_MS };

	env->surface->encode_move(&move, &path, &body);
	req.path = path;
	req.body = body;
	req.body_len = strlen(body);
	relay->move_last = last;
	relay->stopping = last;
	relay->move_sent_us = env_now_us();
	relay->move =
		fetch_start(env->cli, &req, RELAY_MOVE_ANSWER_MAX, NULL, relay_on_moved, relay);
	free(body);
}

static void relay_start_move(struct relay *relay)
{
	struct dsp_need need = relay_need(relay);
	struct dsp_basis basis;
	struct fups *to;

	need.avoid = relay->part.up;
	need.tried = relay->move_tried;
	need.place.resumes = true;
	need.place.copies = true;
	need.near = relay->part.up;
	if (relay->copy.up && fups_state(relay->copy.up) == FUPS_READY) {
		/* It was made while the entry of the run's engine was missing. */
		relay->move_to = fups_hold(relay->copy.up);
		relay_call_move(relay, false);
		return;
	}
	relay_drop_move(relay);
	to = relay_has_copy(relay) && relay->move_tried->len == 0
		     ? relay->backup.up
		     : dsp_pick_engine(relay->rly->dsp, &need, &basis);
	/* A copy between regions takes longer than any notice, and holds up the others. */
	if (to && fups_distance_between(to, relay->part.up) == FUPS_FAR)
		to = NULL;
	/* Of two engines whose entries are missing neither is better. */
	if (to && fups_state(relay->part.up) == FUPS_LAPSED && fups_state(to) != FUPS_READY)
		to = NULL;
	if (!to) {
		/* Those that refused before may have room by the next try. */
		g_ptr_array_set_size(relay->move_tried, 0);
		log_event(LOG_MIGRATION_FAILED, "request", relay_id(relay), "upstream",
			  relay_up_id(relay), "reason", "no-room", NULL);
		return;
	}
	relay->move_to = fups_hold(to);
	/* The copy holds memory there from the first call on. */
	dsp_enter_copy(&relay->copy, to, relay->request.prompt_tokens + relay->expected_output);
	relay->rly->env->placed = true;
	g_free(relay->copy_source);
	relay->copy_source = g_strdup(fups_address(relay->part.up));
	relay_call_move(relay, false);
}

/* Decides how a run leaves an engine that leaves. */
void relay_evacuate(struct relay *relay)
{
	uint64_t expected =
		relay->service->engine.tokens_per_event
			? relay->expected_output / relay->service->engine.tokens_per_event
			: 0;

	relay->evacuated_us = env_now_us();
	if (expected && relay->event_count + RELAY_FINISH_EVENTS > expected &&
	    relay->event_count < expected)
		return;
	/* The copy at the backup engine may be missing: it is kept only while there is room. A
	 * run that goes on is not given up for it. */
	if (relay->service->engine.moves)
		relay_start_move(relay);
	else if (fups_state(relay->part.up) == FUPS_LEAVING && relay_has_copy(relay) &&
		 env_now_us() - relay->first_event_us > RELAY_COPY_LAG_US)
		relay_take_over(relay, "upstream-leaves");
}

/* queries */

/* Whether a run is to be moved now, since its engine leaves. */
bool relay_must_move(const struct relay *relay, uint64_t now_us)
{
	if (relay->phase != RELAY_STREAMING || relay->event_count == 0 || relay->move ||
	    !relay->caller || !relay->call || relay->route->resumable)
		return false;
	if (now_us - relay->evacuated_us <= RELAY_MOVE_RETRY_US)
		return false;
	if (fups_state(relay->part.up) == FUPS_LEAVING)
		return true;
	return !relay->copy.up && fups_may_end(relay->part.up);
}

bool relay_has_idle_copy(const struct relay *relay)
{
	return relay->copy.up && !relay->move && relay->part.up &&
	       fups_state(relay->part.up) == FUPS_READY;
}

/* helpers */

/* Whether the next copy may stop the run: the engine's link is idle, so that the copy is
 * quick, or the engine is about to end. */
static bool relay_may_stop(const struct relay *relay)
{
	uint64_t now_us = env_now_us();
	uint64_t took_us = now_us - relay->move_sent_us;
	uint64_t noticed_us = now_us - fups_leaving_since_us(relay->part.up);

	if (took_us < RELAY_MOVE_IDLE_MS * 1000ULL)
		return true;
	return noticed_us > RELAY_NOTICE_MS * 1000ULL;
}

/* Goes on after a move that stopped the run did not reach the other engine: the run's own
 * engine keeps its memory. */
static bool relay_resume_at_source(struct relay *relay, const char *handle)
{
	struct fups *up = relay->part.up;
	g_autofree char *source = NULL;

	if (!handle || !relay->caller || relay->call)
		return false;
	source = g_strdup(fups_address(up));
	fups_hold(up);
	relay->may_have_run = true;
	relay_take_copy(relay);
	relay_send(relay, up, source, handle);
	fups_release(up);
	return true;
}

/* Goes on at the engine that has the copy. */
static void relay_move_done(struct relay *relay, struct fups *to, const char *handle)
{
	g_autofree char *source = g_strdup(fups_address(relay->part.up));
	g_autofree char *took =
		g_strdup_printf("%" G_GUINT64_FORMAT, (env_now_us() - relay->move_sent_us) / 1000);

	log_event(LOG_STREAM_RESUMED, "request", relay_id(relay), "from", relay_up_id(relay), "to",
		  fups_id(to), "reason", "moved", "last_event",
		  relay->last_event_id ? relay->last_event_id : "", "move_ms", took, NULL);
	metric_add(relay->rly->env->metric, METRIC_RESUMES, 1);
	relay_drop_call(relay);
	relay_take_copy(relay);
	relay_send(relay, to, source, handle);
}

static void relay_move_failed(struct relay *relay, struct fups *to, const char *handle,
			      uint16_t code)
{
	g_autofree char *status = g_strdup_printf("%u", code);
	g_autofree char *took =
		g_strdup_printf("%" G_GUINT64_FORMAT, (env_now_us() - relay->move_sent_us) / 1000);

	log_event(LOG_MIGRATION_FAILED, "request", relay_id(relay), "upstream", relay_up_id(relay),
		  "to", fups_id(to), "reason", "refused", "status", status, "move_ms", took, NULL);
	g_ptr_array_add(relay->move_tried, fups_hold(to));
	if (!relay->call && relay_resume_at_source(relay, handle))
		return;
	relay_drop_move(relay);
	if (!relay->call)
		relay->rly->outcome(relay, AGAIN_BROKEN);
}

static void relay_on_moved(void *ctx, const struct fetch_answer *answer)
{
	struct relay *relay = ctx;
	struct srf_moved moved = { 0 };
	struct fups *to = relay->move_to;
	bool whole = answer->result == HCALL_OK &&
		     relay->rly->env->surface->decode_moved(answer->body, answer->body_len, &moved);
	bool done = whole && answer->status == 200;
	g_autofree char *handle = moved.handle;

	relay->move = NULL;
	metric_observe(relay->rly->env->metric, METRIC_MIGRATION_CALL_US,
		       env_now_us() - relay->move_sent_us);
	if (handle) {
		g_free(relay->copy_handle);
		relay->copy_handle = g_strdup(handle);
	}
	if (done && !relay->move_last && relay->call) {
		g_autofree char *took = g_strdup_printf(
			"%" G_GUINT64_FORMAT, (env_now_us() - relay->move_sent_us) / 1000);

		log_event(LOG_MIGRATION_COPIED, "request", relay_id(relay), "upstream",
			  relay_up_id(relay), "to", fups_id(to), "move_ms", took, NULL);
		if (fups_state(relay->part.up) != FUPS_LAPSED) {
			relay_call_move(relay, relay_may_stop(relay));
			return;
		}
		/* The copy is kept until the entry is back, or counts as gone. */
		relay->move_to = NULL;
		fups_release(to);
		return;
	}
	relay->move_to = NULL;
	relay->stopping = false;
	if (done && relay->caller)
		relay_move_done(relay, to, handle);
	else
		relay_move_failed(relay, to, handle, answer->status);
	fups_release(to);
}
