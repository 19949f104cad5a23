/**
 * @file table.h
 * The platform's transactional table, as a table of callbacks.
 *
 * A commit writes several rows under conditions on row versions, all or
 * nothing. Its answer may be lost after the write took effect; that is
 * TABLE_OUTCOME_UNKNOWN, and the caller reads back or repeats the same commit.
 * table_http_create() is the real adapter; tests bring one in memory.
 */
#ifndef FLAMINGOLATCH_TABLE_H
#define FLAMINGOLATCH_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How a table call ended. */
enum table_result {
	TABLE_OK,	       /**< done */
	TABLE_CONFLICT,	       /**< a condition did not hold; nothing was written */
	TABLE_OUTCOME_UNKNOWN, /**< no answer; a commit may have taken effect, now or later */
	TABLE_REFUSED,	       /**< not done, and will not be */
};

/** A row; version 0 stands for an absent row. */
struct table_row {
	char *key;
	char *value; /**< NULL when absent */
	uint64_t version;
};

/** A condition with the value to write when all conditions hold. */
struct table_write {
	const char *key;
	uint64_t if_version; /**< version that the row must have; 0 for absent */
	const char *value;   /**< NULL deletes the row */
};

/**
 * Answer of a commit or a read.
 * @param rows commit: the present rows of all keys on TABLE_CONFLICT; read:
 *        the rows found. Borrowed for the time of the call.
 */
typedef void (*table_cb)(void *arg, enum table_result result, const struct table_row *rows,
			 uint32_t count);

struct table_ops {
	void (*commit)(void *ctx, const struct table_write *writes, uint32_t count, table_cb cb,
		       void *arg);
	/** Reads all rows whose key starts with @p prefix, at one moment. */
	void (*read_prefix)(void *ctx, const char *prefix, table_cb cb, void *arg);
};

/** A table: operations with their context. */
struct table {
	const struct table_ops *ops;
	void *ctx;
};

struct hcli;
struct metric;

/** Creates the adapter to the platform's table over HTTP. */
struct table *table_http_create(struct hcli *cli, const char *address, struct metric *metric);
void table_http_destroy(struct table *table);
/** Tells whether the last call was answered. */
bool table_http_reachable(const struct table *table);

#endif
