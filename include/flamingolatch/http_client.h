/**
 * @file http_client.h
 * HTTP/1.1 client on a libuv loop with http_parser, with streamed bodies.
 *
 * A connection is used again only if the exchange on it ended cleanly: the
 * whole request was written before the answer ended, the answer had a length,
 * nothing followed it, and the server did not ask for a close. An answer that
 * its call disowns is skipped, and the call waits for the next one.
 *
 * Order of calls: hcli_create(), any number of hcli_call(), hcli_destroy()
 * when no call is open. A call ends exactly once: through its end callback,
 * or through hcall_cancel(), after which no callback runs. The handle is not
 * valid after either.
 */
#ifndef FLAMINGOLATCH_HTTP_CLIENT_H
#define FLAMINGOLATCH_HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct hcli;
struct hcall;
struct hcall_head;

/** How a call ended. */
enum hcall_result {
	HCALL_OK,	      /**< the whole answer arrived */
	HCALL_CONNECT_FAILED, /**< no connection; nothing was sent */
	HCALL_BROKEN,	      /**< the connection broke */
	HCALL_TIMEOUT,	      /**< the time given was over */
};

/** Events of one call; each may be NULL. */
struct hcall_ops {
	/** Connected; the first byte leaves after true is returned. False ends
	 * the call as HCALL_CONNECT_FAILED with nothing sent. */
	bool (*connected)(void *ctx);
	/** The head of the answer arrived. */
	void (*head)(void *ctx, const struct hcall_head *head);
	/** A part of the body arrived. */
	void (*data)(void *ctx, const char *buf, size_t len);
	/** The call ended. @p sent tells whether any byte may have left. */
	void (*end)(void *ctx, enum hcall_result result, bool sent);
	/** Tells whether an answer belongs to this call; NULL takes every answer. */
	bool (*owns)(void *ctx, const struct hcall_head *head);
};

/** What to ask for. Strings are copied. */
struct hcall_req {
	const char *address; /**< "IP:port" */
	const char *scope;   /**< shares connections only within it; may be NULL */
	const char *host;    /**< value of Host; the address when NULL */
	const char *method;
	const char *path;    /**< path with query */
	const char *headers; /**< further header lines, each ended by CRLF; or NULL */
	const char *body;    /**< may be NULL */
	size_t body_len;
	uint64_t timeout_ms; /**< for the whole call; 0 means none */
	uint64_t connect_ms; /**< for a new connection; 0 takes HCLI_CONNECT_MS */
	bool fresh;	     /**< use a connection of its own, never a pooled one */
};

/** Default time for a new connection, in ms: three lost opening packets between regions. */
#define HCLI_CONNECT_MS 1000

/** What a client has done so far. */
struct hcli_counts {
	uint64_t connects; /**< connections opened */
	uint64_t reuses;   /**< calls on a kept connection */
	uint64_t disowned; /**< answers that belonged to another call */
	uint64_t trailing; /**< connections dropped because bytes followed an answer */
};

struct hcli *hcli_create(uv_loop_t *loop);
void hcli_destroy(struct hcli *cli);

/** Starts a call. Callbacks never run before this returns. */
struct hcall *hcli_call(struct hcli *cli, const struct hcall_req *req, const struct hcall_ops *ops,
			void *ctx);
/** Drops the call and its connection; no callback runs any more. */
void hcall_cancel(struct hcall *call);
/** Stops and restarts reading of the body. */
void hcall_pause(struct hcall *call);
void hcall_resume(struct hcall *call);

/** Closes the idle connections of a scope. */
void hcli_forget(struct hcli *cli, const char *address, const char *scope);
/** Tells whether a connection to an address is kept idle. */
bool hcli_has_idle(struct hcli *cli, const char *address, const char *scope);
const struct hcli_counts *hcli_counts(const struct hcli *cli);

/** Returns the status of an answer. */
uint16_t hcall_head_status(const struct hcall_head *head);
/** Returns a header as a new string, or NULL; @p name is in lower case. */
char *hcall_head_get(const struct hcall_head *head, const char *name);
/** Returns the length of the body, or -1 when the head does not say. */
int64_t hcall_head_length(const struct hcall_head *head);
/** Tells whether the server closes the connection after this answer. */
bool hcall_head_closes(const struct hcall_head *head);
/** Calls @p each for the headers that do not concern the connection alone. */
void hcall_head_each(const struct hcall_head *head,
		     void (*each)(void *ctx, const char *name, const char *value), void *ctx);

#endif
