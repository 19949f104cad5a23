/**
 * @file table.h
 * Interface to the platform's transactional key-value table.
 *
 * A commit writes several rows if all of them still have the expected versions,
 * or writes none. Its answer may be lost after the write took effect: the result
 * is then TABLE_OUTCOME_UNKNOWN, and the caller reads the rows or sends the same
 * commit again. table_http_create() is the implementation over HTTP; tests
 * implement struct table_ops in memory.
 */
#ifndef FLAMINGOLATCH_TABLE_H
#define FLAMINGOLATCH_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How a commit or a read ended. */
enum table_result {
	TABLE_OK,	       /**< done */
	TABLE_CONFLICT,	       /**< a row had another version; nothing was written */
	TABLE_OUTCOME_UNKNOWN, /**< no valid answer; a commit may take effect, even later */
	TABLE_REFUSED,	       /**< not sent, or rejected by the table; it takes no effect */
};

/** A row; version 0 stands for an absent row. */
struct table_row {
	char *key;
	char *value; /**< NULL when absent */
	uint64_t version;
};

/** One write of a commit and its condition. */
struct table_write {
	const char *key;
	uint64_t if_version; /**< version that the row must have; 0: the row must be absent */
	const char *value;   /**< NULL deletes the row */
};

/**
 * Called when a commit or a read has ended.
 * @param rows commit: the current rows of its keys, on TABLE_CONFLICT too; read: the rows
 *        found. Valid during the callback only. On TABLE_OUTCOME_UNKNOWN and TABLE_REFUSED
 *        @p count is 0 and @p rows may be NULL.
 */
typedef void (*table_cb)(void *arg, enum table_result result, const struct table_row *rows,
			 uint32_t count);

struct table_ops {
	/** Writes all rows if all conditions hold, otherwise none. */
	void (*commit)(void *ctx, const struct table_write *writes, uint32_t count, table_cb cb,
		       void *arg);
	/** Reads all rows whose key starts with @p prefix, as one consistent snapshot. */
	void (*read_prefix)(void *ctx, const char *prefix, table_cb cb, void *arg);
};

/** A table: operations and the context that they are called with. */
struct table {
	const struct table_ops *ops;
	void *ctx;
};

struct http_client;
struct metric;

/**
 * Creates a table over the platform's HTTP interface.
 * @param client client for the calls; it and @p metric must outlive the table and its calls
 * @param address "IP:port" of the platform
 */
struct table *table_http_create(struct http_client *client, const char *address,
				struct metric *metric);
/** Frees a table without open calls; NULL is allowed. */
void table_http_destroy(struct table *table);
/** Returns false after several calls in a row got no answer, and before the first answer. */
bool table_http_reachable(const struct table *table);

#endif
