/**
 * @file err.h
 * The kinds of errors, and the answer that a caller gets for each.
 *
 * Every failure that a caller or an operator sees is of one of these kinds.
 * err_info() maps a kind to its name, HTTP status, whether the request was
 * executed (enum err_execution), retry hint and process exit code. Functions that
 * fail return the kind as the code of a GError in ERR_DOMAIN.
 */
#ifndef FLAMINGOLATCH_ERR_H
#define FLAMINGOLATCH_ERR_H

#include <glib.h>
#include <stdint.h>

/** What an answer states about whether the request was executed. */
enum err_execution {
	ERR_EXECUTION_NOT_RUN, /**< the request did not run and will not run */
	ERR_EXECUTION_RAN,     /**< the request ran, at least in part */
	ERR_EXECUTION_UNKNOWN, /**< the request may or may not have run */
};

/** One error kind; ERR_OK is not an error. */
enum err_kind {
	ERR_OK,
	ERR_BAD_REQUEST,
	ERR_UNAUTHENTICATED,
	ERR_FORBIDDEN,
	ERR_NOT_FOUND,
	ERR_UNKNOWN_SERVICE,
	ERR_NO_PROFILE,
	ERR_NOT_READY,
	ERR_RATE_LIMITED,
	ERR_OVERLOADED,
	ERR_DEADLINE,
	ERR_NO_UPSTREAM,
	ERR_TABLE_UNAVAILABLE,
	ERR_KEY_REUSED,
	ERR_IN_PROGRESS,
	ERR_OUTCOME_UNKNOWN,
	ERR_GENERATION_LOST,
	ERR_SUPERSEDED,
	ERR_CONFLICT,
	ERR_NOT_OBSERVED,
	ERR_TIMED_OUT,
	ERR_UNCONFIRMED,
	ERR_QUARANTINED,
	ERR_SETTINGS,
	ERR_IO,
	ERR_INTERNAL,
	ERR_KIND_COUNT
};

/** Properties of an error kind. */
struct err_info {
	const char *name;	      /**< stable name, used in JSON and logs */
	uint16_t http_status;	      /**< status of the HTTP answer */
	enum err_execution execution; /**< whether the request was executed */
	uint32_t retry_after_ms;      /**< hint when to retry; 0 when a retry does not help */
	uint8_t exit_code;	      /**< exit code of a command that fails with this kind */
	const char *meaning;	      /**< one sentence; default message of an answer */
};

#define ERR_DOMAIN err_domain()

/** Returns the GError domain of this program. */
GQuark err_domain(void);

/**
 * Returns the properties of a kind.
 * @param kind any value; from ERR_KIND_COUNT on, ERR_INTERNAL is used instead
 * @return a static record, never NULL
 */
const struct err_info *err_info(enum err_kind kind);

/** Returns the stable name of a value, used in JSON. */
const char *err_execution_name(enum err_execution execution);

/**
 * Returns the kind carried by a GError.
 * @param error may be NULL, which gives ERR_OK
 * @return the code of an error in ERR_DOMAIN, else ERR_INTERNAL
 */
enum err_kind err_kind_of(const GError *error);

#endif
