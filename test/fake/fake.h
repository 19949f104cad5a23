/**
 * @file fake.h
 * Functions shared by the fake servers of the tests: engine, platform, service.
 *
 * A fake is an HTTP server on loopback that behaves like the real one, writes a
 * log of its actions as JSON lines, and misbehaves on request through POST
 * /fault. Its main() calls fake_listen(), which parses the options --port,
 * --port-file and --log and those of the program, and then runs the loop.
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

/**
 * Parses the options, opens the log and listens on 127.0.0.1; writes the port to
 * the port file. Exits the process on an error.
 * @param program_options further options, or NULL
 */
void fake_listen(struct fake *fake, int argc, char **argv, const GOptionEntry *program_options,
		 http_server_handler handler, void *ctx);
/** Appends a line to the log, with the time as "at_ms"; releases @p line. */
void fake_log(struct fake *fake, json_t *line);
/** Returns the wall-clock time in milliseconds since the epoch. */
uint64_t fake_now_ms(void);

/** Answers with JSON; releases @p root. */
void fake_reply(struct http_req *req, uint16_t status, json_t *root);
/** Closes the connection before the answer is complete. */
void fake_abort_answer(struct http_req *req);
/** Returns the body of a request as JSON, NULL when it is not valid. */
json_t *fake_parse_body(struct http_req *req);
/** Returns an integer member of an object, @p fallback when it is absent. */
int64_t fake_get_int(const json_t *root, const char *key, int64_t fallback);
/** Returns an integer query parameter, @p fallback when it is absent. */
int64_t fake_query_int(struct http_req *req, const char *name, int64_t fallback);

#endif
