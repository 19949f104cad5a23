#include "relay_migrate.h"

#include "cold_start.h"
#include "relay_attempt.h"

#include <stdlib.h>
#include <string.h>

/* A generation with fewer events to its expected end is not migrated. */
#define RELAY_NEAR_END_EVENTS		 12
#define RELAY_MIGRATE_RESPONSE_MAX_BYTES 4096
#define RELAY_MIGRATE_TIMEOUT_MS	 4000
/* Pause between attempts to migrate a generation. */
#define RELAY_MIGRATE_INTERVAL_US (150ULL * 1000)
/* Time until a backup holds most of the KV cache. */
#define RELAY_BACKUP_LAG_US (600ULL * 1000)
/* A copy that is faster than this shows that the engine's link is idle. */
#define RELAY_IDLE_LINK_COPY_MS 60
/* The shortest shutdown notice seen, less the time of a copy: from then on a generation is stopped
 * for its last copy even if the link is busy. */
#define RELAY_STOP_AFTER_NOTICE_MS 1250

static void relay_on_migrated(void *ctx, const struct fetch_response *answer);
static void relay_on_migrate_head(void *ctx, const struct http_response_head *head);
static bool relay_owns_migrate_answer(void *ctx, const struct http_response_head *head);

/* commands */

void relay_resume_from_backup(struct relay_request *request, const char *reason)
{
	struct fleet_upstream *up = fleet_upstream_ref(request->backup.up);
	g_autofree char *handle = g_strdup(request->decoded.id);
	g_autofree char *age = g_strdup_printf("%" G_GUINT64_FORMAT, relay_age_ms(request));

	log_event(LOG_STREAM_RESUMED, "request", relay_request_id(request), "route",
		  relay_route_name(request), "from", relay_upstream_id(request), "to",
		  fleet_upstream_id(up), "from_version", relay_upstream_version(request),
		  "to_version", fleet_upstream_software_version(up), "reason", reason, "last_event",
		  request->last_event_id ? request->last_event_id : "", "age_ms", age, NULL);
	metric_add(request->relay->env->metric, METRIC_RESUMES, 1);
	/* A copy that is being made is of the attempt that ends. */
	relay_cancel_migration(request);
	relay_cancel_attempt(request);
	dispatch_load_remove(&request->backup);
	request->may_have_run = true;
	relay_start_attempt(request, up, fleet_upstream_address(up), handle);
	fleet_upstream_unref(up);
}

/* Asks the engine to copy the KV cache to the target; the last copy stops the generation. */
static void relay_send_migrate(struct relay_request *request, bool last)
{
	struct env *env = request->relay->env;
	struct protocol_migration migration = { request->decoded.id,
						fleet_upstream_address(request->migrate_target),
						last };
	g_autofree char *path = NULL;
	char *body = NULL;
	struct http_call_request req = { .address = fleet_upstream_address(request->attempt.up),
					 .scope = fleet_upstream_scope(request->attempt.up),
					 .method = "POST",
					 .headers = "Content-Type: application/json\r\n",
					 .timeout_ms = RELAY_MIGRATE_TIMEOUT_MS,
					 .id = request->decoded.id };

	env->protocol->encode_migration(&migration, &path, &body);
	req.path = path;
	req.body = body;
	req.body_len = strlen(body);
	request->migrate_last = last;
	request->migrate_not_run = false;
	if (last)
		stream_stop_ask(&request->stop);
	request->migrate_sent_us = env_now_us();
	request->migrate_call =
		fetch_start(env->http_client, &req, RELAY_MIGRATE_RESPONSE_MAX_BYTES, NULL,
			    relay_on_migrated, request);
	fetch_set_head_cb(request->migrate_call, relay_on_migrate_head);
	fetch_set_match_cb(request->migrate_call, relay_owns_migrate_answer);
	free(body);
}

static void relay_start_migration(struct relay_request *request)
{
	struct dispatch_need need = relay_dispatch_need(request);
	struct dispatch_decision decision;
	struct fleet_upstream *target;

	need.avoid = request->attempt.up;
	need.excluded = request->migrate_tried;
	need.place.resumes = true;
	need.place.needs_kv_copy = true;
	/* A running generation may use the reserve for urgent ones. */
	need.admission.class = ADMISSION_NONE;
	need.distance_from = request->attempt.up;
	if (request->kv_copy.up &&
	    fleet_upstream_state(request->kv_copy.up) == FLEET_UPSTREAM_READY &&
	    relay_may_send_to(request, request->kv_copy.up)) {
		/* The copy was made while the entry of the generation's engine was lapsed, or is
		 * continued after a time in which an engine wanted to be left alone. */
		if (relay_is_quiet(request->kv_copy.up))
			return;
		request->migrate_target = fleet_upstream_ref(request->kv_copy.up);
		relay_send_migrate(request, false);
		return;
	}
	relay_cancel_migration(request);
	target = relay_has_backup(request) && request->migrate_tried->len == 0
			 ? request->backup.up
			 : dispatch_select_engine(request->relay->dispatch, &need, &decision);
	/* A copy between regions takes longer than any shutdown notice, and delays the other
	 * copies. */
	if (target &&
	    fleet_upstream_distance_between(target, request->attempt.up) == FLEET_OTHER_REGION)
		target = NULL;
	/* Of two engines whose entries have lapsed neither is better. */
	if (target && fleet_upstream_state(request->attempt.up) == FLEET_UPSTREAM_LAPSED &&
	    fleet_upstream_state(target) != FLEET_UPSTREAM_READY)
		target = NULL;
	if (!target) {
		/* Engines that refused before may have room at the next attempt. */
		g_ptr_array_set_size(request->migrate_tried, 0);
		log_event(LOG_MIGRATION_FAILED, "request", relay_request_id(request), "upstream",
			  relay_upstream_id(request), "reason", "no-room", NULL);
		return;
	}
	request->migrate_target = fleet_upstream_ref(target);
	/* The copy occupies memory there from the first call on. */
	dispatch_load_add_copy(&request->kv_copy, target,
			       request->decoded.prompt_tokens + request->expected_output_tokens);
	relay_update_used(request);
	request->relay->env->placed_generation = true;
	/* Others are not to select a cold engine for the request that it will get. */
	cold_start_on_request(request->relay->env->cold_start, target);
	g_clear_pointer(&request->kv_copy_source, fleet_upstream_unref);
	request->kv_copy_source = fleet_upstream_ref(request->attempt.up);
	relay_send_migrate(request, false);
}

void relay_migrate(struct relay_request *request)
{
	uint64_t expected = request->service->engine.tokens_per_event
				    ? request->expected_output_tokens /
					      request->service->engine.tokens_per_event
				    : 0;

	request->migrate_checked_us = env_now_us();
	if (expected && request->event_count + RELAY_NEAR_END_EVENTS > expected &&
	    request->event_count < expected)
		return;
	/* Migration is preferred to resuming from the backup, which may no longer exist: an engine
	 * keeps it only while it has room. A running generation is not stopped for that risk. */
	if (request->service->engine.can_migrate)
		relay_start_migration(request);
	else if (fleet_upstream_state(request->attempt.up) == FLEET_UPSTREAM_LEAVING &&
		 relay_has_backup(request) &&
		 env_now_us() - request->first_event_us > RELAY_BACKUP_LAG_US)
		relay_resume_from_backup(request, "upstream-leaves");
}

/* queries */

bool relay_should_migrate(const struct relay_request *request, uint64_t now_us)
{
	if (request->phase != RELAY_STREAMING || request->event_count == 0 ||
	    request->migrate_call || !request->caller || !request->call ||
	    request->route->resumable)
		return false;
	if (now_us - request->migrate_checked_us <= RELAY_MIGRATE_INTERVAL_US)
		return false;
	/* A copy is a call to the engine, and can wait. */
	if (request->service->engine.can_migrate && relay_is_quiet(request->attempt.up))
		return false;
	if (fleet_upstream_state(request->attempt.up) == FLEET_UPSTREAM_LEAVING)
		return true;
	return !request->kv_copy.up && fleet_upstream_may_shut_down(request->attempt.up);
}

bool relay_has_unneeded_copy(const struct relay_request *request)
{
	/* A copy that has stopped the generation is not ended: it is what remains of it. */
	if (request->kv_copy.up && !request->stop.asked &&
	    fleet_upstream_is_evacuated(request->kv_copy.up))
		return true;
	return request->kv_copy.up && !request->migrate_call && request->attempt.up &&
	       fleet_upstream_state(request->attempt.up) == FLEET_UPSTREAM_READY;
}

/* helpers */

/* Tells whether the next copy may stop the generation: the engine's link is idle, so that the copy
 * is quick, or the engine is about to exit. */
static bool relay_may_stop_source(const struct relay_request *request)
{
	uint64_t now_us = env_now_us();
	uint64_t copy_us = now_us - request->migrate_sent_us;
	uint64_t notice_age_us = now_us - fleet_upstream_leaving_since_us(request->attempt.up);

	if (copy_us < RELAY_IDLE_LINK_COPY_MS * 1000ULL)
		return true;
	return notice_age_us > RELAY_STOP_AFTER_NOTICE_MS * 1000ULL;
}

/* Resumes at the source after a migration stopped the generation but did not reach the target: the
 * source still holds the KV cache. Returns false when that is not possible. */
static bool relay_resume_at_source(struct relay_request *request, const char *handle)
{
	struct fleet_upstream *up = request->attempt.up;
	g_autofree char *source = NULL;

	if (!handle || !request->caller || request->call || relay_is_quiet(up) ||
	    !relay_may_send_to(request, up))
		return false;
	source = g_strdup(fleet_upstream_address(up));
	fleet_upstream_ref(up);
	request->may_have_run = true;
	relay_forget_copy(request);
	relay_start_attempt(request, up, source, handle);
	fleet_upstream_unref(up);
	return true;
}

/* Resumes the generation at the engine that has the KV copy. */
static void relay_migration_done(struct relay_request *request, struct fleet_upstream *target,
				 const char *handle)
{
	g_autofree char *source = g_strdup(fleet_upstream_address(request->attempt.up));
	g_autofree char *took = g_strdup_printf("%" G_GUINT64_FORMAT,
						(env_now_us() - request->migrate_sent_us) / 1000);

	log_event(LOG_STREAM_RESUMED, "request", relay_request_id(request), "from",
		  relay_upstream_id(request), "to", fleet_upstream_id(target), "from_version",
		  relay_upstream_version(request), "to_version",
		  fleet_upstream_software_version(target), "reason", "moved", "last_event",
		  request->last_event_id ? request->last_event_id : "", "move_ms", took, NULL);
	metric_add(request->relay->env->metric, METRIC_RESUMES, 1);
	relay_cancel_attempt(request);
	relay_forget_copy(request);
	relay_start_attempt(request, target, source, handle);
}

/* Tells whether a stream that was closed while its engine was asked to stop it was over. */
static bool relay_was_over(const struct relay_request *request)
{
	return request->closed_in_stop && stream_stop_judge(&request->stop) == STREAM_STOP_WHOLE &&
	       !relay_is_stream_cut(request);
}

/* Returns what the end of a call that stops the generation says. The engine has no such run with
 * 404, and is busy with another call with 409.
 * @param has_copy the answer names a KV copy, which it does of a generation that was stopped */
static enum stream_stop_answer relay_stop_answer(const struct relay_request *request,
						 const struct fetch_response *answer, bool has_copy)
{
	if (has_copy)
		return STREAM_STOP_STOPPED;
	if (!answer->sent)
		return STREAM_STOP_REFUSED;
	if (answer->result == HTTP_CALL_OK &&
	    (answer->status == 404 || answer->status == 409 || request->migrate_not_run))
		return STREAM_STOP_REFUSED;
	return STREAM_STOP_UNKNOWN;
}

/* Returns why a migration did not reach its target. */
static const char *relay_migration_reason(struct fleet_upstream *target)
{
	if (fleet_upstream_is_evacuated(target))
		return "target-evacuated";
	return relay_is_quiet(target) ? "target-quiet" : "refused";
}

static void relay_migration_failed(struct relay_request *request, struct fleet_upstream *target,
				   const char *handle, uint16_t code)
{
	g_autofree char *status = g_strdup_printf("%u", code);
	g_autofree char *took = g_strdup_printf("%" G_GUINT64_FORMAT,
						(env_now_us() - request->migrate_sent_us) / 1000);

	log_event(LOG_MIGRATION_FAILED, "request", relay_request_id(request), "upstream",
		  relay_upstream_id(request), "to", fleet_upstream_id(target), "reason",
		  relay_migration_reason(target), "status", status, "last",
		  request->migrate_last ? "true" : "false", "stream",
		  request->call ? "open" : "ended", "move_ms", took, NULL);
	g_ptr_array_add(request->migrate_tried, fleet_upstream_ref(target));
	if (!request->call && relay_resume_at_source(request, handle))
		return;
	relay_cancel_migration(request);
	if (request->call)
		return;
	if (relay_was_over(request))
		relay_finish_streamed(request);
	else
		request->relay->on_attempt_end(request, ATTEMPT_BROKEN);
}

static bool relay_owns_migrate_answer(void *ctx, const struct http_response_head *head)
{
	const struct relay_request *request = ctx;

	return request->relay->env->protocol->owns(head, request->decoded.id);
}

static void relay_on_migrate_head(void *ctx, const struct http_response_head *head)
{
	struct relay_request *request = ctx;

	/* A late copy of it could not be told from the answer to the next call. */
	fetch_disable_reuse(request->migrate_call);
	request->migrate_not_run =
		request->relay->env->protocol->classify_answer(head) == PROTOCOL_NOT_RUN;
	relay_note_upstream(request, request->attempt.up, request->sent_us, head);
}

static void relay_on_migrated(void *ctx, const struct fetch_response *answer)
{
	struct relay_request *request = ctx;
	struct protocol_kv_copy kv_copy = { 0 };
	struct fleet_upstream *target = request->migrate_target;
	bool valid = answer->result == HTTP_CALL_OK &&
		     request->relay->env->protocol->decode_kv_copy(answer->body, answer->body_len,
								   &kv_copy);
	bool done = valid && answer->status == 200;
	g_autofree char *handle = kv_copy.handle;

	request->migrate_call = NULL;
	if (request->migrate_last) {
		request->stop_status = answer->status;
		stream_stop_answer(&request->stop, relay_stop_answer(request, answer, valid));
	}
	relay_note_broken_call(request->attempt.up, answer);
	metric_observe(request->relay->env->metric, METRIC_MIGRATION_CALL_US,
		       env_now_us() - request->migrate_sent_us);
	if (handle) {
		g_free(request->kv_copy_handle);
		request->kv_copy_handle = g_strdup(handle);
	}
	if (done && !request->migrate_last && request->call && relay_may_send_to(request, target)) {
		g_autofree char *took = g_strdup_printf(
			"%" G_GUINT64_FORMAT, (env_now_us() - request->migrate_sent_us) / 1000);

		log_event(LOG_MIGRATION_COPIED, "request", relay_request_id(request), "upstream",
			  relay_upstream_id(request), "to", fleet_upstream_id(target), "move_ms",
			  took, NULL);
		if (fleet_upstream_state(request->attempt.up) != FLEET_UPSTREAM_LAPSED &&
		    !relay_is_quiet(request->attempt.up) && !relay_is_quiet(target)) {
			relay_send_migrate(request, relay_may_stop_source(request));
			return;
		}
		/* The copy is kept until the entry is back, or the engine counts as leaving, or may
		 * be called again. */
		request->migrate_target = NULL;
		fleet_upstream_unref(target);
		return;
	}
	request->migrate_target = NULL;
	if (done && request->caller && !relay_is_quiet(target) &&
	    relay_may_send_to(request, target))
		relay_migration_done(request, target, handle);
	else
		relay_migration_failed(request, target, handle, answer->status);
	fleet_upstream_unref(target);
}
