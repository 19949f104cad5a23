/**
 * @file store_client.h
 * Port, an interface that the platform adapter implements: access to the store,
 * which holds the configuration, the evacuated zones, the list of upstreams and the
 * list of the system's own instances.
 *
 * store_ops::read returns all rows of a table and the version to watch it from,
 * store_ops::watch the rows that changed since a version, as soon as there is
 * one or when the wait is over: read a table first, then watch it from the
 * version of each answer. Of several versions of the configuration an answer has
 * the newest only. Each call ends exactly once, by its callback or by
 * store_ops::cancel. Rows arrive decoded. An implementation keeps no state
 * except that of its open calls.
 */
#ifndef FLAMINGOLATCH_STORE_CLIENT_H
#define FLAMINGOLATCH_STORE_CLIENT_H

#include "flamingolatch/fleet.h"
#include "flamingolatch/route.h"
#include "flamingolatch/store_history.h"

#define STORE_COMMIT_MAX_WRITES 100

enum store_table {
	STORE_TABLE_CONFIG,    /**< the operator's: the configuration and the evacuated zones */
	STORE_TABLE_UPSTREAMS, /**< the instance list */
	STORE_TABLE_OWN,       /**< the system's own rows: one for each gateway instance, and others
				* whose keys have a prefix */
	STORE_TABLE_STREAMS,   /**< the system's own: a row for each stream that may be taken up, in
				* parts */
	STORE_TABLE_COUNT
};

/** Result of a call. */
enum store_result {
	STORE_OK,
	STORE_HISTORY_GONE, /**< the changes since that version are lost, or there is no such
			     * version; read the table */
	STORE_REFUSED,	    /**< the store did nothing; try again later */
	STORE_CONFLICT,	    /**< a condition did not hold, nothing was written */
	STORE_NO_ANSWER,    /**< no answer, or one that does not decode; a write may take effect,
			     * even later */
	STORE_RESULT_COUNT
};

/** One row, decoded. Strings are NULL when the row does not have them. */
struct store_change {
	GBytes *config_text; /**< STORE_TABLE_CONFIG: the configuration, not decoded yet; NULL when
			      * the row is that of an evacuated zone */
	char *id;	     /**< key of the row: id of the upstream or instance */
	char *text;	     /**< STORE_TABLE_OWN, STORE_TABLE_STREAMS: what was written */
	char *service;
	char *address;		/**< "IP:port" */
	char *software_version; /**< of the upstream */
	char *zone;		/**< of the upstream; STORE_TABLE_CONFIG: the evacuated zone */
	uint64_t row_version;	/**< of the last write of the row; 0 when unknown */
	uint64_t started_ms;	/**< wall clock of the upstream's start; 0 when unknown */
	uint32_t slots;		/**< requests that it processes at once; 0 when unknown */
	uint32_t cold_ms;	/**< remaining time for which it is slow after its start */
	bool leaving;
	bool removed;	/**< the row was removed */
	bool malformed; /**< the row does not decode */
};

/** A row of the system's own tables. Part and id are UTF-8 of at most 200 bytes. */
struct store_key {
	enum store_table table;
	/** Rows of one part are written together; "" for a table without parts. */
	const char *part;
	const char *id;
};

/** A write of store_ops::commit. */
struct store_write {
	const char *id;	     /**< as in struct store_key */
	const char *text;    /**< NULL removes the row */
	bool conditional;    /**< on the version of the row */
	uint64_t if_version; /**< that the row must have; 0: it must be absent */
};

struct store_answer {
	enum store_result result;
	/** To watch from; valid with STORE_OK and STORE_CONFLICT. The era is valid with
	 * STORE_HISTORY_GONE too. */
	struct store_position position;
	uint64_t received_bytes;  /**< in the bodies of all responses of the call */
	const GPtrArray *changes; /**< struct store_change; borrowed for the callback */
};

typedef void (*store_answer_cb)(void *arg, const struct store_answer *answer);

struct store_call;
/** Decodes one configuration. */
struct store_config_decoder;

/** Operations of an implementation; @c ctx is store_client::ctx. */
struct store_ops {
	/** Reads a whole table. */
	struct store_call *(*read)(void *ctx, enum store_table table, store_answer_cb cb,
				   void *arg);
	/** Waits for changes of a table.
	 *  @param since version of the last answer, within its era
	 *  @param wait_ms how long the store may wait for a change before it answers without one */
	struct store_call *(*watch)(void *ctx, enum store_table table, uint64_t since,
				    uint32_t wait_ms, store_answer_cb cb, void *arg);
	/** Writes a row of STORE_TABLE_OWN; removes it when @p text is NULL. */
	struct store_call *(*put)(void *ctx, const char *id, const char *text, store_answer_cb cb,
				  void *arg);
	/** Reads one row: the answer has one change, or none when the row is absent. */
	struct store_call *(*read_row)(void *ctx, const struct store_key *key, store_answer_cb cb,
				       void *arg);
	/** Writes rows of one part of one of the system's own tables, all or none.
	 *  With STORE_OK the position is that of the write; with STORE_CONFLICT the changes are the
	 *  current rows of those with a condition, where an absent one is missing or marked as
	 *  removed. With an id or a part that is not UTF-8 nothing is written.
	 *  @param writes at most STORE_COMMIT_MAX_WRITES, where one with a condition counts as two;
	 *         each row once */
	struct store_call *(*commit)(void *ctx, enum store_table table, const char *part,
				     const struct store_write *writes, uint32_t count,
				     store_answer_cb cb, void *arg);
	/** @name Decoding of a configuration
	 * A large one takes longer than a stream may pause, so it is decoded in parts.
	 * @{ */
	/** Starts to decode a configuration from the text of its row. */
	struct store_config_decoder *(*decoder_create)(GBytes *text);
	/** Decodes some items, such as routes. Returns true at the end, also of a malformed text.
	 */
	bool (*decoder_step)(struct store_config_decoder *decoder, uint32_t max_items);
	/** Returns a new reference, or NULL for a text that is no configuration. */
	struct route_config *(*decoder_result)(struct store_config_decoder *decoder);
	/** Accepts NULL. */
	void (*decoder_destroy)(struct store_config_decoder *decoder);
	/** @} */
	/** Ends a call without its callback. */
	void (*cancel)(struct store_call *call);
};

/** Operations and their context. */
struct store_client {
	const struct store_ops *ops;
	void *ctx;
};

#endif
