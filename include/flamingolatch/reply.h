/**
 * @file reply.h
 * Responses that this process generates itself: errors and JSON documents.
 * reply_json() and reply_error() complete the response; the request must not
 * be used afterwards.
 */
#ifndef FLAMINGOLATCH_REPLY_H
#define FLAMINGOLATCH_REPLY_H

#include "flamingolatch/err.h"
#include "flamingolatch/http_server.h"

#include <jansson.h>

/** Returns the JSON body of an error response. @param message NULL: the meaning of the kind */
json_t *reply_error_json(enum err_kind kind, const char *message);
/** Answers with a JSON document. @param root consumed: its reference is released */
void reply_json(struct http_req *req, uint16_t status, json_t *root);
/**
 * Answers with the HTTP status and JSON body of an error kind.
 * @param retry_after_ms sent as Retry-After in seconds; 0 sends no such header
 * @param message NULL: the meaning of the kind
 */
void reply_error(struct http_req *req, enum err_kind kind, uint32_t retry_after_ms,
		 const char *message);

#endif
