/**
 * @file stream_record.h
 * Software versions of upstreams at which resumable streams began, so that another
 * instance, or a later process, lets a stream go on at the same version only.
 *
 * What two versions write does not fit together, and a caller that resumes a stream
 * names the request that began it, not the version. So the system keeps two kinds of
 * rows in a table of the store:
 *
 * - a row for each version of a service, the registry. An instance registers a
 *   version before it lets a resumable stream begin there;
 * - while several versions of a service are known, a row for each process of an
 *   instance, with the open streams that began there or go on there.
 *
 * An instance that is asked to resume a stream which it does not know reads the table
 * after the request has arrived. The stream's record names its version. Without one,
 * the stream began at the only registered version, if there is only one: the read is
 * later than the begin of the stream, and the begin later than the registration. What
 * an instance knew before proves nothing, as the instance may have stood still or may
 * have been cut off. Otherwise the version is unknown.
 *
 * A version's row is removed some time after its upstreams have left, perhaps just as
 * they come back. So an instance relies on a row that it or a peer has written since
 * the version is listed, not on one that it has read; and a row is only removed that
 * was not written again for a while.
 *
 * struct stream_record holds what an instance knows: stream_record_create();
 * stream_record_see() for the listed upstreams, stream_record_set_registered() after
 * a row was written, stream_record_read_version() for each row that was read and
 * stream_record_end_read() after the last, stream_record_begin() and stream_record_end() for
 * streams, stream_record_tick() periodically, stream_record_encode() for the row;
 * stream_record_destroy(). struct stream_lookup answers questions from one read of
 * the table: stream_lookup_create(), stream_lookup_add() for each stream,
 * stream_lookup_read() for each row, stream_lookup_result(), stream_lookup_destroy().
 *
 * Does no I/O and reads no clock; @c now_us is the time of a monotonic clock,
 * @c wall_ms the time of day.
 */
#ifndef FLAMINGOLATCH_STREAM_RECORD_H
#define FLAMINGOLATCH_STREAM_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How long an ended stream can be resumed, as its last events may not have arrived, in us. */
#define STREAM_RECORD_ENDED_US (10ULL * 1000 * 1000)
/** An instance that does not list a version relies on its registration for this long, in us. */
#define STREAM_RECORD_RELY_US (60ULL * 1000 * 1000)
/** A registered version that nobody lists is removed after this time, in us: longer than an
 * instance relies on it, and than streams that began at it are resumed. */
#define STREAM_RECORD_UNLIST_US (180ULL * 1000 * 1000)
/** Streams in a row; the oldest are left out beyond that. */
#define STREAM_RECORD_MAX_STREAMS 4000

/** Where a stream began. A request that resumes it may be routed to another service. */
struct stream_origin {
	const char *service; /**< borrowed */
	const char *version; /**< software version of the upstream; borrowed */
};

/** @name What an instance knows
 * @{ */
struct stream_record;

struct stream_record *stream_record_create(void);
/** Accepts NULL. */
void stream_record_destroy(struct stream_record *record);

/** Records that an upstream of a version is listed. @return true when the version has to be
 * registered */
bool stream_record_see(struct stream_record *record, const char *service, const char *version,
		       uint64_t now_us);
/** Records that the row of a version was written, by this instance or a peer. */
void stream_record_set_registered(struct stream_record *record, const char *service,
				  const char *version, uint64_t now_us);
/** Records that a read of the table had the row of a version.
 * @param row_version of the last write of the row */
void stream_record_read_version(struct stream_record *record, const char *service,
				const char *version, uint64_t row_version, uint64_t now_us);
/** Records the end of a read of the whole table: rows that it did not have, and that were not
 * written since, do not exist. @param since_us when the read was sent */
void stream_record_end_read(struct stream_record *record, uint64_t since_us);
/** Records that nothing is known of the registry any more. */
void stream_record_forget_registry(struct stream_record *record, uint64_t now_us);
/** Tells whether a version may be relied on to be registered. */
bool stream_record_is_registered(const struct stream_record *record, const char *service,
				 const char *version, uint64_t now_us);
/** Returns since when a version is listed without being registered, by the time of the first
 * stream_record_see(); 0 when it is not. */
uint64_t stream_record_unregistered_since_us(const struct stream_record *record,
					     const char *service, const char *version,
					     uint64_t now_us);
/** Calls @p each for every listed version that is not registered. */
void stream_record_each_unregistered(struct stream_record *record, uint64_t now_us,
				     void (*each)(void *ctx, const char *service,
						  const char *version),
				     void *ctx);
/** Calls @p each for every version that may be relied on to be registered. */
void stream_record_each_registered(struct stream_record *record, uint64_t now_us,
				   void (*each)(void *ctx, const char *service,
						const char *version),
				   void *ctx);
/** Tells whether a version was not listed for STREAM_RECORD_UNLIST_US, and its row was not written
 * again in that time. */
bool stream_record_is_unlisted(const struct stream_record *record, const char *service,
			       const char *version, uint64_t now_us);
/** Tells whether the streams of a service have to be recorded in the store: several of its versions
 * are registered or listed. */
bool stream_record_is_needed(const struct stream_record *record, const char *service);
/** Tells whether several versions of any service are registered or listed. */
bool stream_record_has_several(const struct stream_record *record);

/** Records that a stream began at a version here, or goes on here. Nothing is known any more of
 * streams that began at two versions under one id.
 * @param id of the request that began it
 * @param expires_us when its caller gives up */
void stream_record_begin(struct stream_record *record, const char *service, const char *id,
			 const char *version, uint64_t expires_us);
/** Records that the answer with the stream's end was passed on whole; nothing happens for a stream
 * that is not known. */
void stream_record_end(struct stream_record *record, const char *id, uint64_t now_us);
/** Finds where a stream began. @return false when it is not known here */
bool stream_record_find(const struct stream_record *record, const char *id,
			struct stream_origin *origin);
/** Returns the number of streams that are known here. */
uint32_t stream_record_count(const struct stream_record *record);
/** Drops the streams that cannot be resumed any more. */
void stream_record_tick(struct stream_record *record, uint64_t now_us);

/** Tells whether streams began since the last stream_record_encode() that have to be recorded. */
bool stream_record_is_dirty(const struct stream_record *record);
/** Has the row written, or written again: it was lost, or could not be written. */
void stream_record_set_dirty(struct stream_record *record);
/** Returns the text of this process's row and marks it as clean. */
char *stream_record_encode(struct stream_record *record, uint64_t now_us, uint64_t wall_ms);
/** @} */

/** @name Rows of the table
 * @{ */
/** Returns the key of the row of a version. */
char *stream_record_version_key(const char *service, const char *version);
/** Returns the text of the row of a version. */
char *stream_record_version_text(const char *service, const char *version);
/** Returns the key of the row of a process.
 * @param started_ms time of day of its start */
char *stream_record_process_key(const char *instance, uint64_t started_ms);
/** Decodes the row of a version. The strings are to be freed. @return false for another row */
bool stream_record_decode_version(const char *key, const char *text, char **service,
				  char **version);
/** Tells whether a row is that of a process and all of its streams have expired. */
bool stream_record_is_expired(const char *key, const char *text, uint64_t wall_ms);
/** @} */

/** @name Questions to the table
 * @{ */
struct stream_lookup;

/** What the table says of a stream. */
enum stream_lookup_result {
	STREAM_LOOKUP_RECORDED, /**< the stream has a record */
	STREAM_LOOKUP_SOLE,	/**< the service has had one version only */
	STREAM_LOOKUP_UNKNOWN,
	STREAM_LOOKUP_RESULT_COUNT
};

struct stream_lookup *stream_lookup_create(void);
/** Accepts NULL. */
void stream_lookup_destroy(struct stream_lookup *lookup);
/** Adds a stream before the rows are read. @param id NULL when the caller does not name it */
void stream_lookup_add(struct stream_lookup *lookup, const char *id);
/** Reads a row of the table. */
void stream_lookup_read(struct stream_lookup *lookup, const char *key, const char *text);
/** Returns what the rows say of a stream. Records that contradict one another say nothing.
 * @param service that the request which resumes it is routed to
 * @param origin borrowed from the lookup and @p service; set unless STREAM_LOOKUP_UNKNOWN */
enum stream_lookup_result stream_lookup_result(const struct stream_lookup *lookup,
					       const char *service, const char *id,
					       struct stream_origin *origin);
const char *stream_lookup_result_name(enum stream_lookup_result result);
/** @} */

#endif
