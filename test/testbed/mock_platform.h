/**
 * @file mock_platform.h
 * Stand-in of the users' platform: its store, engines and plain replicas, as
 * its published protocol describes them, on one libuv loop.
 *
 * stand_create(), stand_put() to write rows as the operator does,
 * stand_up_create() for replicas, which list themselves in the store.
 * Everything that replicas run is recorded by the attempt's id, for the checks
 * of a test. stand_destroy() last.
 */
#ifndef FLAMINGOLATCH_TEST_STAND_H
#define FLAMINGOLATCH_TEST_STAND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct stand;
struct stand_up;

/** How the store behaves. */
enum stand_store_mode {
	STAND_STORE_SOUND,
	STAND_STORE_BUSY,   /**< answers 503 */
	STAND_STORE_RESET,  /**< breaks connections */
	STAND_STORE_SILENT, /**< does not answer */
};

/** How a replica behaves. */
struct stand_up_conf {
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
struct stand_run {
	uint32_t arrivals;   /**< times that it reached a replica */
	uint32_t runs;	     /**< times that it was begun; a stream that goes on is no new run */
	uint32_t refused;    /**< times that a replica stated that it did not run it */
	bool done;	     /**< it ended well */
	char *customer;	     /**< as the system named it */
	char *service;	     /**< that ran it */
	uint64_t arrived_ms; /**< when it last reached a replica */
	uint64_t leaving_ms; /**< how long the replica had been leaving then; 0 when it was not */
	bool key_passed;     /**< the caller's key came along */
};

struct stand *stand_create(uv_loop_t *loop, const char *address, uint16_t port, uint32_t seed);
void stand_destroy(struct stand *stand);
const char *stand_address(const struct stand *stand);
/** Writes a row, or removes it when @p text is NULL. */
void stand_put(struct stand *stand, const char *table, const char *key, const char *text);
void stand_set_mode(struct stand *stand, enum stand_store_mode mode);
/** Delays every answer of the store. */
void stand_set_delay(struct stand *stand, uint32_t delay_ms);
/** Forgets history: followers are told to read anew. */
void stand_compact(struct stand *stand);
/** Leaves the next reads of a later page of the instance list without an answer. */
void stand_lose_pages(struct stand *stand, uint32_t count);
/** Returns the reads of the instance list that were begun. */
uint32_t stand_list_reads(const struct stand *stand);
/** Returns the calls that the store answered. */
uint32_t stand_calls(const struct stand *stand);

/** Returns the copies of runs that are neither used nor freed. */
uint32_t stand_copies(const struct stand *stand);

struct stand_up *stand_up_create(struct stand *stand, const struct stand_up_conf *conf);
/** Ends a replica at once; its entry stays until stand_up_expire(). */
void stand_up_crash(struct stand_up *up);
/** Announces that it leaves; it goes on serving. */
void stand_up_drain(struct stand_up *up);
/** Removes its entry. */
void stand_up_expire(struct stand_up *up);
/** Writes its entry again. */
void stand_up_list(struct stand_up *up);
/** Behaves otherwise from now on; id, service and address stay. */
void stand_up_set(struct stand_up *up, const struct stand_up_conf *conf);
/** Lists the replica under another address, that of a proxy before it. */
void stand_up_via(struct stand_up *up, const char *address);
const char *stand_up_address(const struct stand_up *up);
/** Returns the requests that it works on. */
uint32_t stand_up_open(const struct stand_up *up);

/** Returns what was done for an attempt; all zeros when nothing was. */
struct stand_run stand_run(const struct stand *stand, const char *id);
/** Calls @p each for every attempt that reached a replica. */
void stand_each_run(const struct stand *stand,
		    void (*each)(void *ctx, const char *id, const struct stand_run *run),
		    void *ctx);
/** Returns the data of a stream's event. The caller frees it. */
char *stand_event(const char *id, uint32_t number, uint32_t total);

#endif
