/**
 * @file stand.h
 * A small deployment for the cases of the review: the project's mock of the platform
 * and gateway processes, started as the deploy file says, on loopback.
 *
 * stand_create() first, then stand_configure(), mock_upstream_create() and
 * stand_gateway(); stand_destroy() last, which returns the exit code of the case.
 * The event loop runs only inside stand_run() and the functions that wait.
 */
#ifndef FLAMINGOLATCH_REVIEW_STAND_H
#define FLAMINGOLATCH_REVIEW_STAND_H

#include "mock_platform.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>
#include <uv.h>

#define STAND_HOST "site.example"

/** Exit codes of a case. */
enum stand_result {
	STAND_HELD = 0,
	STAND_BROKEN = 1,
	STAND_CANNOT_RUN = 2
};

/** A gateway process. */
struct stand_gateway {
	struct stand *stand;
	char *name;
	char *callers; /**< "IP:port" of the port for clients */
	char *ready;
	char *metrics;
	char *settings_file;
	char *log_file;
	pid_t pid;  /**< 0 while it does not run */
	pid_t dead; /**< of the last process that ended; 0 before */
};

struct stand {
	uv_loop_t loop;
	struct mock_platform *platform;
	GPtrArray *gateways; /**< struct stand_gateway */
	FILE *record;
	char *directory;
	char *subnet; /**< first three bytes of the addresses */
	const char *program;
	uint64_t started_ms;
	uint32_t version; /**< of the last configuration that was written */
	bool trouble;	  /**< false with TROUBLE=0 */
};

/** A client's connection. Everything that arrives on it is kept. */
struct stand_client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	GString *output;
	GString *input;
	bool closed; /**< by the gateway */
	bool closing;
};

/** How far an answer can be read. */
enum stand_answer_state {
	STAND_ANSWER_NONE,	 /**< no whole head yet */
	STAND_ANSWER_INCOMPLETE, /**< a beginning of an answer */
	STAND_ANSWER_COMPLETE,
	STAND_ANSWER_UNREADABLE, /**< bytes that are no answer in the protocol */
};

struct stand_answer {
	enum stand_answer_state state;
	uint32_t status;
	GString *body;
	size_t unreadable_at; /**< offset in the input */
};

/** @param argv program to run and file of the record, after the name of the case */
struct stand *stand_create(int argc, char **argv);
/** Ends all processes and frees everything. @return @p result */
int stand_destroy(struct stand *stand, enum stand_result result);
/** Writes a line with the time since the start to the record. */
void stand_record(struct stand *stand, const char *format, ...) G_GNUC_PRINTF(2, 3);
void stand_run(struct stand *stand, uint32_t ms);
uint64_t stand_now_ms(const struct stand *stand);
char *stand_ip(const struct stand *stand, uint32_t number);
/** Writes the next version of the configuration.
 * @param routes JSON objects after a comma each, added to /once/, /safe/, /long/ and /quick/
 * @param keys JSON strings after a comma each, added to the key "key-one" */
void stand_configure(struct stand *stand, const char *routes, const char *keys);

/** Starts a gateway with settings as the template of the deploy file makes them. */
struct stand_gateway *stand_gateway(struct stand *stand, const char *name, const char *zone);
void stand_start(struct stand_gateway *gateway);
void stand_signal(struct stand_gateway *gateway, int number);
/** Tells whether the process has ended. */
bool stand_has_exited(struct stand_gateway *gateway);
bool stand_wait_ready(struct stand_gateway *gateway, uint32_t ms);
/** Returns the body of an answer to GET on the metrics port; NULL without one. */
char *stand_get(struct stand_gateway *gateway, const char *path);

/** Opens a connection and sends a text. */
struct stand_client *stand_client_open(struct stand *stand, const char *address, const char *text);
void stand_client_close(struct stand_client *client);
/** Reads the first answer of an input. Free the body with g_string_free(). */
struct stand_answer stand_read_answer(const GString *input);
/** Returns a request as a client of the users sends it.
 * @param headers further header lines, or NULL @param body NULL for GET */
char *stand_request(const char *id, const char *path, uint32_t wait_ms, const char *key,
		    const char *headers, const char *body);

#endif
