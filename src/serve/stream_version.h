/**
 * @file stream_version.h
 * Finds the software version at which a stream began that a caller resumes, and
 * keeps the store's table of versions and streams that answers this at any
 * instance, see stream_record.h.
 *
 * Writes of an instance are collected, and are the rarer, the more instances there
 * are: all of them together make no more than a share of the calls that the store
 * takes. So are reads, of which each answers all questions that were asked before it
 * was sent.
 *
 * stream_version_create() after peer_exchange_create(); stream_version_on_config()
 * and stream_version_on_upstream() for what is listed; stream_version_allows()
 * before a resumable stream begins at an upstream, stream_version_begin() with its
 * first event, stream_version_end() after its end; stream_version_find(), and
 * stream_version_ask() if the stream is not known here; stream_version_tick() every
 * few ms; stream_version_destroy() last.
 */
#ifndef FLAMINGOLATCH_SERVE_STREAM_VERSION_H
#define FLAMINGOLATCH_SERVE_STREAM_VERSION_H

#include "env.h"
#include "peer_exchange.h"

#include "flamingolatch/stream_record.h"

struct stream_version;
struct stream_version_query;

/** Where the version of a stream is known from. */
enum stream_version_source {
	STREAM_VERSION_OWN,    /**< the stream began or went on at this process */
	STREAM_VERSION_RECORD, /**< it has a record in the store */
	STREAM_VERSION_SOLE,   /**< the service has had one version only */
	STREAM_VERSION_UNKNOWN,
	STREAM_VERSION_NO_STORE, /**< the store did not answer in time */
	STREAM_VERSION_SOURCE_COUNT
};

/** Called once with the answer to a question, after stream_version_ask() has returned.
 * @param origin NULL when it is not known; valid during the call
 * @param age_us time since the read of the store was sent that shows it */
typedef void (*stream_version_cb)(void *ctx, const struct stream_origin *origin,
				  enum stream_version_source source, uint64_t age_us);

/** @p env and @p exchange are borrowed and must outlive the result. */
struct stream_version *stream_version_create(struct env *env, struct peer_exchange *exchange);
/** Cancels the open calls; questions must have been answered or cancelled. Accepts NULL. */
void stream_version_destroy(struct stream_version *versions);
/** Notes the listed versions of the services of a new configuration. */
void stream_version_on_config(struct stream_version *versions);
/** Notes the version of a listed upstream. */
void stream_version_on_upstream(struct stream_version *versions, const struct fleet_upstream *up);
/** Writes all again: the store was restored from an older copy. */
void stream_version_on_restored(struct stream_version *versions);

/** Sends the calls that are due, and ends questions that the store does not answer. */
void stream_version_tick(struct stream_version *versions);

/** Tells whether a resumable stream may begin at an upstream: its version is registered. */
bool stream_version_allows(struct stream_version *versions, const struct fleet_upstream *up);
/** Records that a stream began at a version, or goes on at it.
 * @param id of the request that began it
 * @param deadline_us when its caller gives up */
void stream_version_begin(struct stream_version *versions, const char *service, const char *id,
			  const char *version, uint64_t deadline_us);
/** Records that a stream was passed on to its end. */
void stream_version_end(struct stream_version *versions, const char *id);

/** Finds where a stream began that this process knows itself. @return false for others */
bool stream_version_find(const struct stream_version *versions, const char *id,
			 struct stream_origin *origin);
/** Asks the store where a stream began.
 * @param service that the request is routed to; it counts for a stream without a record
 * @param id NULL when the caller does not name the stream
 * @return the question, valid until @p cb is called or stream_version_cancel() */
struct stream_version_query *stream_version_ask(struct stream_version *versions,
						const char *service, const char *id,
						stream_version_cb cb, void *ctx);
/** Ends a question without its callback. */
void stream_version_cancel(struct stream_version_query *query);

const char *stream_version_source_name(enum stream_version_source source);
/** Returns what is known, as a new JSON object; NULL is allowed. */
json_t *stream_version_json(const struct stream_version *versions);

#endif
