/**
 * @file fake.h
 * Shared parts of the stand-ins: options, the log of what they did, faults.
 *
 * fake_listen() reads --port-file, --log and the program's own options, opens
 * the port and writes it to the file; fake_log() appends one JSON line.
 */
#ifndef FLAMINGOLATCH_TEST_FAKE_H
#define FLAMINGOLATCH_TEST_FAKE_H

#include "flamingolatch/http_server.h"

#include <jansson.h>

struct fake {
	uv_loop_t *loop;
	struct hsrv *srv;
	FILE *log;
};

/** Opens the port and the log; ends the process on an error. */
void fake_listen(struct fake *fake, int argc, char **argv, const GOptionEntry *own,
		 hsrv_handler handler, void *ctx);
/** Appends a line; takes the reference and adds the wall clock. */
void fake_log(struct fake *fake, json_t *line);
uint64_t fake_now_ms(void);

/** Answers with JSON; takes the reference. */
void fake_reply(struct hreq *req, uint16_t status, json_t *root);
/** Breaks the connection in place of an answer. */
void fake_abort_answer(struct hreq *req);
/** Parses the body as JSON, or returns NULL. */
json_t *fake_parse_body(struct hreq *req);
/** Returns an integer member, or @p otherwise. */
int64_t fake_get_int(const json_t *root, const char *key, int64_t otherwise);
/** Returns an integer query parameter, or @p otherwise. */
int64_t fake_query_int(struct hreq *req, const char *name, int64_t otherwise);

#endif
