/**
 * @file testbed.h
 * A small deployment for tests: a stand-in platform, gateway processes and
 * calls to them.
 *
 * testbed_create(), testbed_gateway() for each instance, testbed_call() and
 * testbed_expected_stream() as callers, testbed_run() to let time pass, testbed_destroy().
 */
#ifndef FLAMINGOLATCH_TEST_TESTBED_H
#define FLAMINGOLATCH_TEST_TESTBED_H

#include "mock_platform.h"

#include <gio/gio.h>

#define TESTBED_KEY	       "key-one"
#define TESTBED_OTHER_KEY      "key-two"
#define TESTBED_HOST	       "site.example"
#define TESTBED_ENGINE_SERVICE "engines"
#define TESTBED_PLAIN_SERVICE  "shop"
#define TESTBED_REVOKE_MS      2000
#define TESTBED_GRACE_S	       6

struct testbed;
struct testbed_call;

/** A gateway process. */
struct testbed_gateway {
	struct testbed *testbed;
	GSubprocess *process; /**< NULL while it does not run */
	char *name;
	char *zone;
	char *address;	/**< of its callers' port */
	char *ready;	/**< of its readiness port */
	char *metrics;	/**< of its metrics port */
	char *store;	/**< address of the store as it sees it */
	char *settings; /**< file */
	char *log;	/**< file */
};

/** How a caller's request ended. */
struct testbed_answer {
	bool ended;
	bool connected;	 /**< a connection stood */
	bool broken;	 /**< the connection ended without a whole answer */
	uint16_t status; /**< 0 when no head arrived */
	char *id;
	GString *body;
	double retry_after_s; /**< -1 when not given */
	uint64_t sent_ms;
	uint64_t ended_ms;
};

/** What a caller asks for. */
struct testbed_request {
	const char *path;	/**< /once/, /safe/, /long/ or /quick/ */
	const char *key;	/**< NULL leaves it out */
	uint32_t output_tokens; /**< tokens, for /long/ and /quick/ */
	uint32_t prompt;
	uint32_t wait_ms;
	bool reuse_connection; /**< uses a kept connection when there is one */
};

struct testbed *testbed_create(uint32_t seed);
void testbed_destroy(struct testbed *testbed);
uv_loop_t *testbed_loop(struct testbed *testbed);
struct mock_platform *testbed_platform(struct testbed *testbed);
/** Names the program to run instead of the one that was built beside the tests. */
void testbed_set_program(const char *program);
/** Returns an address of this site's own on the loopback net. */
char *testbed_ip(const struct testbed *testbed, uint32_t number);
/** Writes a configuration; @p keys names keys beside TESTBED_KEY, or NULL. */
void testbed_configure(struct testbed *testbed, const char *keys, const char *route);

/** Prepares an instance; @p store NULL takes the store's own address. */
struct testbed_gateway *testbed_gateway(struct testbed *testbed, const char *name,
					const char *store);
void testbed_start(struct testbed_gateway *gateway);
void testbed_signal(struct testbed_gateway *gateway, int signal);
/** Tells whether a process ended, and takes note of it. */
bool testbed_has_exited(struct testbed_gateway *gateway);
/** Waits for the end of a process. @return false when it still runs */
bool testbed_wait_exit(struct testbed_gateway *gateway, uint32_t ms);
/** Waits until the instance says that it is ready. */
bool testbed_wait_ready(struct testbed_gateway *gateway, uint32_t ms);
/** Returns the body of a page. The caller frees it. */
char *testbed_get(struct testbed *testbed, const char *address, const char *path);
/** Asks for readiness once. */
bool testbed_is_ready(struct testbed_gateway *gateway);

/** Lets the loop run for a time. */
void testbed_run(struct testbed *testbed, uint32_t ms);
/** Starts a request; the answer is the caller's and lives until testbed_answer_clear(). */
struct testbed_call *testbed_begin(struct testbed_gateway *gateway,
				   const struct testbed_request *request,
				   struct testbed_answer *answer);
/** Leaves before the answer. */
void testbed_disconnect(struct testbed_call *call);
/** Makes a request and waits for its end. */
struct testbed_answer testbed_call(struct testbed_gateway *gateway,
				   const struct testbed_request *request);
/** Waits until an answer ended. */
bool testbed_wait(struct testbed *testbed, struct testbed_answer *answer, uint32_t ms);
void testbed_answer_clear(struct testbed_answer *answer);
/** Tells whether a stream's answer is whole: every event once and in order. */
bool testbed_is_complete(const struct testbed_answer *answer, uint32_t output);
/** Tells whether what came of a stream is a proper beginning of it. */
bool testbed_is_prefix(const struct testbed_answer *answer, uint32_t output);
/** Returns the lines of a gateway's log that name a request. */
char *testbed_log_lines(const struct testbed_gateway *gateway, const char *needle);

#endif
