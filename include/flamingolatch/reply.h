/**
 * @file reply.h
 * Answers of the system's own: errors and JSON documents.
 */
#ifndef FLAMINGOLATCH_REPLY_H
#define FLAMINGOLATCH_REPLY_H

#include "flamingolatch/err.h"
#include "flamingolatch/http_server.h"

#include <jansson.h>

/** Returns the body of an error answer; @p message may be NULL. */
json_t *rpl_error_json(enum err_kind kind, const char *message);
/** Answers with JSON; takes the reference. */
void rpl_json(struct hreq *req, uint16_t status, json_t *root);
/** Answers with an error kind.
 * @param retry_after_ms when to come back; 0 leaves the header out
 * @param message may be NULL */
void rpl_error(struct hreq *req, enum err_kind kind, uint32_t retry_after_ms, const char *message);

#endif
