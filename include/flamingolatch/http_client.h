/**
 * @file http_client.h
 * HTTP/1.1 client over h2o on a libuv loop, with streamed bodies.
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
};

/** What to ask for. Strings are copied. */
struct hcall_req {
	const char *address; /**< "IP:port" */
	const char *method;
	const char *path;    /**< path with query */
	const char *headers; /**< further header lines, each ended by CRLF; or NULL */
	const char *body;    /**< may be NULL */
	size_t body_len;
	uint64_t timeout_ms; /**< for the whole call; 0 means none */
	bool fresh;	     /**< use a connection of its own, never a pooled one */
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

/** Returns the status of an answer. */
uint16_t hcall_head_status(const struct hcall_head *head);
/** Returns a header as a new string, or NULL; @p name is in lower case. */
char *hcall_head_get(const struct hcall_head *head, const char *name);

#endif
