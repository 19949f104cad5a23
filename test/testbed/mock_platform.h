/**
 * @file mock_platform.h
 * Stand-in of the users' platform: its store, engines and plain replicas, as
 * its published protocol describes them, on one libuv loop.
 *
 * mock_platform_create(), mock_store_put() to write rows as the operator does,
 * mock_upstream_create() for replicas, which list themselves in the store.
 * Everything that replicas run is recorded by the attempt's id, for the checks
 * of a test. mock_platform_destroy() last.
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
	MOCK_STORE_RESET,  /**< breaks connections */
	MOCK_STORE_SILENT, /**< does not answer */
};

/** How a replica behaves. */
struct mock_upstream_conf {
	const char *id;
	const char *service;
	const char *zone;
	const char *address; /**< IP to bind */
	uint16_t port;	     /**< 0 picks a free one */
	bool engine;
	uint32_t work_ms;	  /**< of a call, or until a stream's first event */
	uint32_t pace_ms;	  /**< between events */
	uint32_t fail_percent;	  /**< answers 500 after running */
	uint32_t shed_percent;	  /**< answers 503 without running */
	uint32_t lose_percent;	  /**< runs and breaks the connection */
	uint32_t foreign_percent; /**< answers with the id of another request */
	uint32_t cut_percent;	  /**< breaks off in the middle of a stream */
};

/** What replicas did for one attempt. */
struct mock_request_record {
	uint32_t arrivals;   /**< times that it reached a replica */
	uint32_t executions; /**< times that it was begun; a stream that goes on is no new run */
	uint32_t refused;    /**< times that a replica stated that it did not run it */
	bool done;	     /**< it ended well */
	char *customer;	     /**< as the system named it */
	char *service;	     /**< that ran it */
	uint64_t arrived_ms; /**< when it last reached a replica */
	uint64_t leaving_ms; /**< how long the replica had been leaving then; 0 when it was not */
	bool key_forwarded;  /**< the caller's key came along */
};

struct mock_platform *mock_platform_create(uv_loop_t *loop, const char *address, uint16_t port,
					   uint32_t seed);
void mock_platform_destroy(struct mock_platform *mock_platform);
const char *mock_platform_address(const struct mock_platform *mock_platform);
/** Writes a row, or removes it when @p text is NULL. */
void mock_store_put(struct mock_platform *mock_platform, const char *table, const char *key,
		    const char *text);
void mock_store_set_mode(struct mock_platform *mock_platform, enum mock_store_mode mode);
/** Delays every answer of the store. */
void mock_store_set_delay(struct mock_platform *mock_platform, uint32_t delay_ms);
/** Forgets history: followers are told to read anew. */
void mock_store_drop_history(struct mock_platform *mock_platform);
/** Leaves the next reads of a later page of the instance list without an answer. */
void mock_store_lose_pages(struct mock_platform *mock_platform, uint32_t count);
/** Returns the reads of the instance list that were begun. */
uint32_t mock_store_list_read_count(const struct mock_platform *mock_platform);
/** Returns the calls that the store answered. */
uint32_t mock_store_call_count(const struct mock_platform *mock_platform);

/** Returns the copies of runs that are neither used nor freed. */
uint32_t mock_platform_kv_copy_count(const struct mock_platform *mock_platform);

struct mock_upstream *mock_upstream_create(struct mock_platform *mock_platform,
					   const struct mock_upstream_conf *conf);
/** Ends a replica at once; its entry stays until mock_upstream_unlist(). */
void mock_upstream_crash(struct mock_upstream *up);
/** Announces that it leaves; it goes on serving. */
void mock_upstream_drain(struct mock_upstream *up);
/** Removes its entry. */
void mock_upstream_unlist(struct mock_upstream *up);
/** Writes its entry again. */
void mock_upstream_list(struct mock_upstream *up);
/** Behaves otherwise from now on; id, service and address stay. */
void mock_upstream_configure(struct mock_upstream *up, const struct mock_upstream_conf *conf);
/** Lists the replica under another address, that of a proxy before it. */
void mock_upstream_set_listed_address(struct mock_upstream *up, const char *address);
const char *mock_upstream_address(const struct mock_upstream *up);
/** Returns the requests that it works on. */
uint32_t mock_upstream_open_count(const struct mock_upstream *up);

/** Returns what was done for an attempt; all zeros when nothing was. */
struct mock_request_record mock_request_record(const struct mock_platform *mock_platform,
					       const char *id);
/** Calls @p each for every attempt that reached a replica. */
void mock_platform_each_record(const struct mock_platform *mock_platform,
			       void (*each)(void *ctx, const char *id,
					    const struct mock_request_record *run),
			       void *ctx);
/** Returns the data of a stream's event. The caller frees it. */
char *mock_event(const char *id, uint32_t number, uint32_t total);

#endif
