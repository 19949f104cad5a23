/**
 * @file store_client.h
 * Port: where an instance learns of the configuration and of the upstreams.
 *
 * src_ops::read returns all rows of a table at one moment, src_ops::follow the
 * rows that changed since a version, as soon as there is one or when the time
 * given is over. Each call ends exactly once, by its callback or by
 * src_ops::cancel. The rows arrive decoded. The implementation keeps no state
 * but that of its open calls.
 */
#ifndef FLAMINGOLATCH_SOURCE_H
#define FLAMINGOLATCH_SOURCE_H

#include "flamingolatch/fleet.h"
#include "flamingolatch/route.h"

enum src_table {
	SRC_CONFIG,
	SRC_UPSTREAMS,
	SRC_INSTANCES, /**< entry instances of the system itself */
	SRC_TABLE_COUNT
};

/** How a call ended. */
enum src_result {
	SRC_OK,
	SRC_HISTORY_GONE, /**< the changes asked for are no longer kept; read the table */
	SRC_REFUSED,	  /**< nothing was done; later */
	SRC_LOST,	  /**< no answer */
	SRC_RESULT_COUNT
};

/** What one row says. */
struct src_change {
	struct rt_config *config; /**< a configuration, or NULL */
	char *id;		  /**< of the upstream or instance */
	char *text;		  /**< SRC_INSTANCES: what the instance wrote of itself */
	char *service;
	char *address;
	char *zone;
	uint64_t started_ms;
	uint32_t slots;
	uint32_t cold_ms;
	bool leaving;
	bool gone;   /**< the row was removed */
	bool broken; /**< the row does not decode */
};

struct src_answer {
	enum src_result result;
	uint64_t version;	  /**< to follow from; valid with SRC_OK */
	const GPtrArray *changes; /**< struct src_change; borrowed for the callback */
};

typedef void (*src_cb)(void *arg, const struct src_answer *answer);

struct src_call;

struct src_ops {
	struct src_call *(*read)(void *ctx, enum src_table table, src_cb cb, void *arg);
	/** @param since version of the last answer
	 *  @param wait_ms how long the store may wait for a change */
	struct src_call *(*follow)(void *ctx, enum src_table table, uint64_t since,
				   uint32_t wait_ms, src_cb cb, void *arg);
	/** Writes what an instance tells of itself, or removes it when @p text is NULL. */
	struct src_call *(*announce)(void *ctx, const char *id, const char *text, src_cb cb,
				     void *arg);
	void (*cancel)(struct src_call *call);
};

/** A source: operations with their context. */
struct source {
	const struct src_ops *ops;
	void *ctx;
};

#endif
