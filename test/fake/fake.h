/**
 * @file fake.h
 * Shared parts of the stand-ins: options, the log of what they did, faults.
 *
 * fake_start() reads --port-file, --log and the program's own options, opens
 * the port and writes it to the file; fake_log() appends one JSON line.
 */
#ifndef FLAMINGOLATCH_TEST_FAKE_H
#define FLAMINGOLATCH_TEST_FAKE_H

#include "flamingolatch/http_server.h"

#include <jansson.h>

struct fake {
	uv_loop_t *loop;
	struct http_server *srv;
	FILE *log;
};

/** Opens the port and the log; ends the process on an error. */
void fake_start(struct fake *fake, int argc, char **argv, const GOptionEntry *own,
		http_server_handler handler, void *ctx);
/** Appends a line; takes the reference and adds the wall clock. */
void fake_log(struct fake *fake, json_t *line);
uint64_t fake_now_ms(void);

/** Answers with JSON; takes the reference. */
void fake_reply(struct http_req *req, uint16_t status, json_t *root);
/** Breaks the connection in place of an answer. */
void fake_break(struct http_req *req);
/** Parses the body as JSON, or returns NULL. */
json_t *fake_body(struct http_req *req);
/** Returns an integer member, or @p otherwise. */
int64_t fake_int(const json_t *root, const char *key, int64_t otherwise);
/** Returns an integer query parameter, or @p otherwise. */
int64_t fake_query_int(struct http_req *req, const char *name, int64_t otherwise);

#endif
