/**
 * @file fetch.h
 * One HTTP exchange whose answer is read whole.
 *
 * fetch_start() copies the request; the callback runs exactly once, unless
 * fetch_cancel() came first.
 */
#ifndef FLAMINGOLATCH_FETCH_H
#define FLAMINGOLATCH_FETCH_H

#include "flamingolatch/http_client.h"

struct fetch;

/** A whole answer. Strings are borrowed for the time of the callback. */
struct fetch_answer {
	enum hcall_result result;
	bool sent;	  /**< whether any byte may have left */
	uint16_t status;  /**< 0 when no head arrived */
	const char *type; /**< content type, "" when absent */
	const char *body;
	size_t body_len;
};

typedef void (*fetch_cb)(void *ctx, const struct fetch_answer *answer);

/**
 * Starts an exchange.
 * @param may_send asked when connected; false ends it with nothing sent. May be NULL.
 * @param max_bytes a longer body ends the exchange as broken
 */
struct fetch *fetch_start(struct hcli *cli, const struct hcall_req *req, size_t max_bytes,
			  bool (*may_send)(void *ctx), fetch_cb cb, void *ctx);
void fetch_cancel(struct fetch *fetch);

#endif
