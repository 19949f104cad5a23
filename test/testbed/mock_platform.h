/**
 * @file mock_platform.h
 * Mock of the users' platform, as its published protocol describes it: the
 * store, engines and upstreams of plain services, all on one libuv loop.
 *
 * mock_platform_create(), then mock_store_put() to write rows as the operator
 * does, mock_upstream_create() and mock_upstream_list() for each upstream,
 * mock_platform_destroy() last. What upstreams execute is recorded under the id
 * of the request, for the checks of a test.
 */
#ifndef FLAMINGOLATCH_TEST_MOCK_PLATFORM_H
#define FLAMINGOLATCH_TEST_MOCK_PLATFORM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct mock_platform;
struct mock_upstream;

/** How the store behaves. */
enum mock_store_mode {
	MOCK_STORE_HEALTHY,
	MOCK_STORE_BUSY,   /**< answers 503 */
	MOCK_STORE_RESET,  /**< closes connections without an answer */
	MOCK_STORE_SILENT, /**< keeps connections open without an answer */
};

/** How an upstream behaves. */
struct mock_upstream_conf {
	const char *id;
	const char *service;
	const char *zone;
	const char *software_version; /**< NULL leaves it out of the entry */
	const char *address;	      /**< IP to bind */
	uint16_t port;		      /**< 0 selects a free one */
	bool engine;
	uint32_t work_ms; /**< time until the answer, or until the first event of a stream */
	uint32_t pace_ms; /**< between events */
	uint32_t slots; /**< requests that it works on at once; others wait in turn; 0: no limit */
	uint32_t fail_percent;	  /**< answers 500 after execution */
	uint32_t shed_percent;	  /**< answers 503 without execution */
	uint32_t lose_percent;	  /**< executes the request and closes the connection */
	uint32_t foreign_percent; /**< answers with the id of another request */
	uint32_t cut_percent;	  /**< closes the connection in the middle of a stream */
	uint32_t garble_percent;  /**< sends the head of another answer in the middle of a stream */
	uint32_t endless_percent; /**< sends bytes that are no answer until the connection ends: an
				   * event of a stream that never ends, or an unsigned body */
	uint32_t quiet_ms;  /**< refusals ask to be left alone for this time; 0: they do not */
	double limit_per_s; /**< limit of requests a second that its answers name; 0 names none */
	const char *crash_part;	  /**< id of a prompt part: the upstream crashes when it begins to
				   * answer a request that has it before the last part; NULL: none */
	const char *crash_target; /**< the upstream crashes when it begins to answer a request with
				   * this target, path and query; NULL: none */
};

/** A request that reached an upstream. */
struct mock_arrival {
	char *id; /**< of the request; owned by the upstream */
	uint64_t at_ms;
	uint64_t quiet_until_ms; /**< until when its refusal asked for quiet; 0: it did not */
	bool leaving;		 /**< its answer said that the upstream leaves */
};

/** What upstreams did for one request, over all attempts. */
struct mock_request_record {
	uint32_t arrivals;   /**< attempts that reached an upstream */
	uint32_t executions; /**< starts; a stream resumed from a KV copy is no new start */
	uint32_t refused;    /**< answers that it was not executed */
	bool completed;	     /**< an answer or stream was sent whole, without a server error */
	char *customer;	     /**< as the gateway named it; borrowed; NULL when it did not */
	char *service;	     /**< of the upstream that executed it last; borrowed */
	char *upstream;	     /**< id of the upstream that it reached last; borrowed */
	uint64_t arrived_ms; /**< when it last reached an upstream */
	uint64_t leaving_ms; /**< how long that upstream had been leaving then; 0: it was not */
	bool key_forwarded;  /**< an attempt carried the caller's key */
	bool broke_off;	     /**< an upstream closed the connection or crashed before the end */
	uint32_t working;    /**< upstreams that work on it now */
	uint64_t worked_ms;  /**< when an upstream last ceased to work on it; 0: none did */
};

/** Starts a platform without rows and upstreams. @param port 0 selects a free one */
struct mock_platform *mock_platform_create(uv_loop_t *loop, const char *address, uint16_t port,
					   uint32_t seed);
/** Frees the platform with its upstreams. */
void mock_platform_destroy(struct mock_platform *platform);
/** Returns the address of the store, "IP:port". */
const char *mock_platform_address(const struct mock_platform *platform);
/** Writes a row of the empty part, or removes it when @p text is NULL. */
void mock_store_put(struct mock_platform *platform, const char *table, const char *key,
		    const char *text);
void mock_store_set_mode(struct mock_platform *platform, enum mock_store_mode mode);
/** Delays every answer of the store. */
void mock_store_set_delay(struct mock_platform *platform, uint32_t delay_ms);
/** Drops the history of changes: clients that watch a table have to read it again. */
void mock_store_drop_history(struct mock_platform *platform);
/** Keeps a copy of the rows for mock_store_restore(). */
void mock_store_backup(struct mock_platform *platform);
/** Brings back the rows of the last backup: what was written since is gone, and its versions are
 * given out again. The era, which all answers state, rises by one; open calls get no answer. */
void mock_store_restore(struct mock_platform *platform);
/** Writes the rows of the operator and of the upstreams again that the last restoration lost, and
 * removes those that had been removed, unless they were written since. */
void mock_store_rewrite(struct mock_platform *platform);
/** Returns the text of a row of the empty part, borrowed; NULL when there is none. */
const char *mock_store_text(struct mock_platform *platform, const char *table, const char *key);
/** Calls @p each for every row of the empty part of a table. @p each must not write to this store.
 */
void mock_store_each_row(const struct mock_platform *platform, const char *table,
			 void (*each)(void *ctx, const char *key, const char *text), void *ctx);
/** Returns the number of rows of a table, over all parts. */
uint32_t mock_store_row_count(const struct mock_platform *platform, const char *table);
/** Leaves the next @p count requests for pages of the instance list unanswered; first pages do not
 * count and are answered. */
void mock_store_lose_pages(struct mock_platform *platform, uint32_t count);
/** Returns how many reads of the whole instance list were started. */
uint32_t mock_store_list_read_count(const struct mock_platform *platform);
/** Returns how many calls the store answered. */
uint32_t mock_store_call_count(const struct mock_platform *platform);

/** Returns the number of KV copies that were neither used nor freed. */
uint32_t mock_platform_kv_copy_count(const struct mock_platform *platform);

/** Starts an upstream, without an entry in the instance list. The platform frees it. */
struct mock_upstream *mock_upstream_create(struct mock_platform *platform,
					   const struct mock_upstream_conf *conf);
/** Stops an upstream at once; its entry stays until mock_upstream_unlist(). */
void mock_upstream_crash(struct mock_upstream *upstream);
/** Returns when the upstream crashed, on the loop's clock in ms; 0 while it runs. */
uint64_t mock_upstream_crashed_ms(const struct mock_upstream *upstream);
/** Returns when requests arrived, on the loop's clock in ms, as an array of guint64; borrowed. */
const GArray *mock_upstream_arrivals_ms(const struct mock_upstream *upstream);
/** Returns the requests that arrived, in order, as an array of struct mock_arrival; borrowed. */
const GArray *mock_upstream_arrivals(const struct mock_upstream *upstream);
/** Returns when it was asked to copy the KV cache of a generation to another engine, on the loop's
 * clock in ms, as an array of guint64; borrowed. */
const GArray *mock_upstream_copies_ms(const struct mock_upstream *upstream);
/** Writes to the entry that the upstream is leaving, and from then on says so in its answers; it
 * continues to serve. */
void mock_upstream_drain(struct mock_upstream *upstream);
/** Removes the entry; from then on the upstream counts as leaving. */
void mock_upstream_unlist(struct mock_upstream *upstream);
/** Writes the entry. */
void mock_upstream_list(struct mock_upstream *upstream);
/** Changes the behaviour; id, service, zone, version and address stay. */
void mock_upstream_configure(struct mock_upstream *upstream, const struct mock_upstream_conf *conf);
/** Makes the upstream cold for a time, which its answers state from now on, and its entry from the
 * next mock_upstream_list() on. */
void mock_upstream_set_cold(struct mock_upstream *upstream, uint32_t cold_ms);
/** Sets the address in the entry, for a proxy in front of the upstream. */
void mock_upstream_set_listed_address(struct mock_upstream *upstream, const char *address);
/** Returns the address that the upstream listens on, "IP:port". */
const char *mock_upstream_address(const struct mock_upstream *upstream);
/** Returns the number of requests in progress. */
uint32_t mock_upstream_open_count(const struct mock_upstream *upstream);

/** Returns the record of a request; all zeros when none reached an upstream. */
struct mock_request_record mock_request_record(const struct mock_platform *platform,
					       const char *id);
/** Calls @p each for every request that reached an upstream. */
void mock_platform_each_record(const struct mock_platform *platform,
			       void (*each)(void *ctx, const char *id,
					    const struct mock_request_record *record),
			       void *ctx);
/** Returns the bytes of an event of a stream, as a new string.
 * @param number from 1 to @p total */
char *mock_event(const char *id, uint32_t number, uint32_t total);

#endif
