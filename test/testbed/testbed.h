/**
 * @file testbed.h
 * A small deployment for tests: a stand-in platform, gateway processes and
 * calls to them.
 *
 * site_create(), site_gateway() for each instance, site_call() and
 * site_stream() as callers, site_run() to let time pass, site_destroy().
 */
#ifndef FLAMINGOLATCH_TEST_SITE_H
#define FLAMINGOLATCH_TEST_SITE_H

#include "mock_platform.h"

#include <gio/gio.h>

#define SITE_KEY       "key-one"
#define SITE_OTHER_KEY "key-two"
#define SITE_HOST      "site.example"
#define SITE_ENGINES   "engines"
#define SITE_SHOP      "shop"
#define SITE_REVOKE_MS 2000
#define SITE_GRACE_S   6

struct site;
struct site_call;

/** A gateway process. */
struct site_gateway {
	struct site *site;
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
struct site_answer {
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
struct site_request {
	const char *path; /**< /once/, /safe/, /long/ or /quick/ */
	const char *key;  /**< NULL leaves it out */
	uint32_t output;  /**< tokens, for /long/ and /quick/ */
	uint32_t prompt;
	uint32_t wait_ms;
	bool kept; /**< uses a kept connection when there is one */
};

struct site *site_create(uint32_t seed);
void site_destroy(struct site *site);
uv_loop_t *site_loop(struct site *site);
struct stand *site_stand(struct site *site);
/** Names the program to run instead of the one that was built beside the tests. */
void site_set_program(const char *program);
/** Returns an address of this site's own on the loopback net. */
char *site_ip(const struct site *site, uint32_t number);
/** Writes a configuration; @p keys names keys beside SITE_KEY, or NULL. */
void site_configure(struct site *site, const char *keys, const char *route);

/** Prepares an instance; @p store NULL takes the store's own address. */
struct site_gateway *site_gateway(struct site *site, const char *name, const char *store);
void site_start(struct site_gateway *gateway);
void site_signal(struct site_gateway *gateway, int signal);
/** Tells whether a process ended, and takes note of it. */
bool site_has_exited(struct site_gateway *gateway);
/** Waits for the end of a process. @return false when it still runs */
bool site_wait_exit(struct site_gateway *gateway, uint32_t ms);
/** Waits until the instance says that it is ready. */
bool site_wait_ready(struct site_gateway *gateway, uint32_t ms);
/** Returns the body of a page. The caller frees it. */
char *site_get(struct site *site, const char *address, const char *path);
/** Asks for readiness once. */
bool site_is_ready(struct site_gateway *gateway);

/** Lets the loop run for a time. */
void site_run(struct site *site, uint32_t ms);
/** Starts a request; the answer is the caller's and lives until site_answer_clear(). */
struct site_call *site_begin(struct site_gateway *gateway, const struct site_request *request,
			     struct site_answer *answer);
/** Leaves before the answer. */
void site_leave(struct site_call *call);
/** Makes a request and waits for its end. */
struct site_answer site_call(struct site_gateway *gateway, const struct site_request *request);
/** Waits until an answer ended. */
bool site_wait(struct site *site, struct site_answer *answer, uint32_t ms);
void site_answer_clear(struct site_answer *answer);
/** Tells whether a stream's answer is whole: every event once and in order. */
bool site_is_whole(const struct site_answer *answer, uint32_t output);
/** Tells whether what came of a stream is a proper beginning of it. */
bool site_is_beginning(const struct site_answer *answer, uint32_t output);
/** Returns the lines of a gateway's log that name a request. */
char *site_log(const struct site_gateway *gateway, const char *needle);

#endif
