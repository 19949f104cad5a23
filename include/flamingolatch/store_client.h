/**
 * @file store_client.h
 * Port: where an instance learns of the configuration and of the upstreams.
 *
 * store_ops::read returns all rows of a table at one moment, store_ops::follow the
 * rows that changed since a version, as soon as there is one or when the time
 * given is over. Each call ends exactly once, by its callback or by
 * store_ops::cancel. The rows arrive decoded. The implementation keeps no state
 * but that of its open calls.
 */
#ifndef FLAMINGOLATCH_STORE_CLIENT_H
#define FLAMINGOLATCH_STORE_CLIENT_H

#include "flamingolatch/fleet.h"
#include "flamingolatch/route.h"

enum store_table {
	STORE_TABLE_CONFIG,
	STORE_TABLE_UPSTREAMS,
	STORE_TABLE_INSTANCES, /**< entry instances of the system itself */
	STORE_TABLE_COUNT
};

/** How a call ended. */
enum store_result {
	STORE_OK,
	STORE_HISTORY_GONE, /**< the changes asked for are no longer kept; read the table */
	STORE_REFUSED,	    /**< nothing was done; later */
	STORE_NO_ANSWER,    /**< no answer */
	STORE_RESULT_COUNT
};

/** What one row says. */
struct store_change {
	struct rt_config *config; /**< a configuration, or NULL */
	char *id;		  /**< of the upstream or instance */
	char *text;		  /**< STORE_TABLE_INSTANCES: what the instance wrote of itself */
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

struct store_answer {
	enum store_result result;
	uint64_t version;	  /**< to follow from; valid with STORE_OK */
	const GPtrArray *changes; /**< struct store_change; borrowed for the callback */
};

typedef void (*store_answer_cb)(void *arg, const struct store_answer *answer);

struct store_call;

struct store_ops {
	struct store_call *(*read)(void *ctx, enum store_table table, store_answer_cb cb,
				   void *arg);
	/** @param since version of the last answer
	 *  @param wait_ms how long the store may wait for a change */
	struct store_call *(*watch)(void *ctx, enum store_table table, uint64_t since,
				    uint32_t wait_ms, store_answer_cb cb, void *arg);
	/** Writes what an instance tells of itself, or removes it when @p text is NULL. */
	struct store_call *(*announce)(void *ctx, const char *id, const char *text,
				       store_answer_cb cb, void *arg);
	void (*cancel)(struct store_call *call);
};

/** A source: operations with their context. */
struct store_client {
	const struct store_ops *ops;
	void *ctx;
};

#endif
