#include "flamingolatch/err.h"

static const struct err_info err_table[ERR_KIND_COUNT] = {
	[ERR_OK] = { "ok", 200, ERR_EXECUTION_RAN, 0, 0, "The request succeeded." },
	[ERR_BAD_REQUEST] = { "bad_request", 400, ERR_EXECUTION_NOT_RUN, 0, 2,
			      "The request is malformed; the message names the field." },
	[ERR_UNAUTHENTICATED] = { "unauthenticated", 401, ERR_EXECUTION_NOT_RUN, 0, 3,
				  "The key or token is missing or not known." },
	[ERR_FORBIDDEN] = { "forbidden", 403, ERR_EXECUTION_NOT_RUN, 0, 3,
			    "The request id belongs to another customer or was altered." },
	[ERR_NOT_FOUND] = { "not_found", 404, ERR_EXECUTION_NOT_RUN, 0, 4, "No such resource." },
	[ERR_UNKNOWN_SERVICE] = { "unknown_service", 404, ERR_EXECUTION_NOT_RUN, 0, 4,
				  "No service of that name is configured." },
	[ERR_NO_PROFILE] = { "no_profile", 503, ERR_EXECUTION_NOT_RUN, 1000, 4,
			     "The profile that the service uses is not published." },
	[ERR_NOT_READY] = { "not_ready", 503, ERR_EXECUTION_NOT_RUN, 500, 5,
			    "The instance has no configuration yet or is stopping." },
	[ERR_RATE_LIMITED] = { "rate_limited", 429, ERR_EXECUTION_NOT_RUN, 1000, 5,
			       "The customer is over its limit." },
	[ERR_OVERLOADED] = { "overloaded", 503, ERR_EXECUTION_NOT_RUN, 2000, 5,
			     "The queue is full, or the wait would pass the deadline." },
	[ERR_DEADLINE] = { "deadline", 504, ERR_EXECUTION_NOT_RUN, 1000, 5,
			   "No engine became free before the queue deadline." },
	[ERR_NO_UPSTREAM] = { "no_upstream", 503, ERR_EXECUTION_NOT_RUN, 1000, 5,
			      "No live instance of the service could be reached." },
	[ERR_TABLE_UNAVAILABLE] = { "table_unavailable", 503, ERR_EXECUTION_NOT_RUN, 1000, 5,
				    "The table could not confirm the claim; nothing was sent." },
	[ERR_KEY_REUSED] = { "key_reused", 422, ERR_EXECUTION_NOT_RUN, 0, 2,
			     "The idempotency key was used before with another request." },
	[ERR_IN_PROGRESS] = { "in_progress", 409, ERR_EXECUTION_UNKNOWN, 500, 5,
			      "A call with this key is running; ask again for its answer." },
	[ERR_OUTCOME_UNKNOWN] = { "outcome_unknown", 502, ERR_EXECUTION_UNKNOWN, 0, 6,
				  "The call was sent and its answer was lost; it is not "
				  "repeated." },
	[ERR_GENERATION_LOST] = { "generation_lost", 502, ERR_EXECUTION_RAN, 0, 6,
				  "The generation cannot be continued; the offset says how far it "
				  "came." },
	[ERR_SUPERSEDED] = { "superseded", 409, ERR_EXECUTION_RAN, 0, 6,
			     "Another connection resumed this stream." },
	[ERR_CONFLICT] = { "conflict", 409, ERR_EXECUTION_NOT_RUN, 0, 7,
			   "The profile changed since it was read; the message names the "
			   "winner." },
	[ERR_NOT_OBSERVED] = { "not_observed", 504, ERR_EXECUTION_RAN, 1000, 8,
			       "Accepted, but not every instance has confirmed it yet." },
	[ERR_TIMED_OUT] = { "timed_out", 504, ERR_EXECUTION_UNKNOWN, 0, 6,
			    "The request was sent and not answered in the time that it had." },
	[ERR_UNCONFIRMED] = { "unconfirmed", 503, ERR_EXECUTION_NOT_RUN, 1000, 5,
			      "The instance cannot show that its configuration is the newest; "
			      "nothing was sent." },
	[ERR_QUARANTINED] = { "quarantined", 503, ERR_EXECUTION_NOT_RUN, 0, 5,
			      "Upstreams crashed under the request or a part of its prompt; it is "
			      "not sent to further ones." },
	[ERR_SETTINGS] = { "settings", 500, ERR_EXECUTION_NOT_RUN, 0, 2,
			   "A settings or profile file is wrong; the message names the line." },
	[ERR_IO] = { "io", 502, ERR_EXECUTION_UNKNOWN, 500, 6, "A connection failed." },
	[ERR_INTERNAL] = { "internal", 500, ERR_EXECUTION_UNKNOWN, 0, 9,
			   "A defect of the program." },
};

static const char *const err_execution_names[] = { "not_run", "ran", "unknown" };

GQuark err_domain(void)
{
	return g_quark_from_static_string("flamingolatch-error");
}

const struct err_info *err_info(enum err_kind kind)
{
	return &err_table[kind < ERR_KIND_COUNT ? kind : ERR_INTERNAL];
}

const char *err_execution_name(enum err_execution execution)
{
	return err_execution_names[execution];
}

enum err_kind err_kind_of(const GError *error)
{
	if (!error)
		return ERR_OK;
	if (error->domain != ERR_DOMAIN)
		return ERR_INTERNAL;
	return (enum err_kind)error->code;
}
