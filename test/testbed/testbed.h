/**
 * @file testbed.h
 * A small deployment for tests: the mock platform, gateway processes, and
 * callers that send requests to them.
 *
 * testbed_create(), mock_upstream_create() for the upstreams and
 * testbed_configure(); testbed_gateway() and testbed_start() for each gateway;
 * testbed_call(), or testbed_begin() and testbed_wait(), for a request;
 * testbed_run() to let time pass; testbed_destroy() last. The event loop runs
 * only inside these functions.
 */
#ifndef FLAMINGOLATCH_TEST_TESTBED_H
#define FLAMINGOLATCH_TEST_TESTBED_H

#include "mock_platform.h"

#include <gio/gio.h>

#define TESTBED_KEY	       "key-one"
#define TESTBED_OTHER_KEY      "key-two"
#define TESTBED_HOST	       "site.example"
#define TESTBED_ENGINE_SERVICE "engines"
#define TESTBED_PLAIN_SERVICE  "shop" /* its upstreams are not engines */
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
	char *address;	       /**< of the port for callers */
	char *ready_address;   /**< of the readiness port */
	char *metrics_address; /**< of the metrics port */
	char *store_address;   /**< address of the store in its settings */
	char *settings_file;
	char *log_file;
};

/** Answer to a caller's request. */
struct testbed_answer {
	bool ended;	 /**< the other fields are final */
	bool connected;	 /**< a connection was established */
	bool broken;	 /**< the connection ended before the answer was complete */
	uint16_t status; /**< 0 when no response head arrived */
	char *id;	 /**< of the request */
	GString *body;
	double retry_after_s; /**< -1 when the answer has no Retry-After header */
	uint64_t sent_ms;
	uint64_t ended_ms;
};

/** A caller's request. */
struct testbed_request {
	const char *path; /**< an "x" is appended: /once/ (not idempotent), /safe/ (idempotent),
			   * /long/ (generation) or /quick/ (resumable generation) */
	const char *key;  /**< API key; NULL sends none */
	uint32_t output_tokens;	  /**< maximum, for /long/ and /quick/ */
	uint32_t prompt_tokens;	  /**< 0 for the default */
	const char *prompt_parts; /**< ID:TOKENS for each part, separated by commas, or NULL */
	const char *body;	  /**< of a POST; NULL for one that no other request has */
	uint32_t wait_ms;	  /**< deadline sent with the request; 0 sends none */
	bool reuse_connection;	  /**< uses an idle connection if there is one */
};

/** Creates a deployment without gateways and upstreams. */
struct testbed *testbed_create(uint32_t seed);
/** Kills the gateways and frees everything. */
void testbed_destroy(struct testbed *testbed);
uv_loop_t *testbed_loop(struct testbed *testbed);
struct mock_platform *testbed_platform(struct testbed *testbed);
/** Sets the program to run instead of the one that was built with the tests. */
void testbed_set_program(const char *program);
/** Returns a loopback address that only this testbed uses. The caller frees it.
 * @param number last byte of the address */
char *testbed_ip(const struct testbed *testbed, uint32_t number);
/**
 * Starts an upstream in zone z1, without an entry in the instance list.
 * @param engine false for an upstream of the plain service
 * @param number tells its address from those of others, from 0 to 150
 */
struct mock_upstream *testbed_upstream(struct testbed *testbed, const char *id, bool engine,
				       uint32_t number);
/**
 * Writes a new version of the configuration to the store.
 * @param keys JSON strings of further API keys, each after a comma, or NULL
 * @param route prefix of an additional route for safe requests, or NULL
 */
void testbed_configure(struct testbed *testbed, const char *keys, const char *route);

/** Sets how many further routes, which nobody uses, the next configurations have. A gateway needs
 * many iterations of its loop to decode a few hundred. */
void testbed_set_unused_routes(struct testbed *testbed, uint32_t count);
/** Sets the timeout of the routes /once/ and /safe/ in the next configurations, in ms. */
void testbed_set_call_timeout(struct testbed *testbed, uint32_t timeout_ms);
/** Sets the allowed regions of the customer in the next configurations: JSON, which is not copied;
 * NULL for none. Zones z1 and z2 are in region r1, z3 in r2. */
void testbed_set_customer_regions(struct testbed *testbed, const char *regions);
/** Sets the objective of the route /long/ in the next configurations, in ms; that of /quick/ is
 * 1,500. */
void testbed_set_long_objective(struct testbed *testbed, uint32_t objective_ms);
/** Sets how many requests a second a cold upstream of the plain service takes, in configurations
 * and for gateways that follow: it is cold for a second after its start, and 1.5 times the rate
 * plus 3 are tolerated. 0, the default: no such limit. */
void testbed_set_cold_per_s(struct testbed *testbed, double cold_per_s);
/** Sets load.urgent_preempts for gateways that are created from now on. */
void testbed_set_urgent_preempts(struct testbed *testbed);
/** Sets whether gateways that are created from now on start for the first time together. */
void testbed_set_first_start(struct testbed *testbed, bool first_start);
/** Writes the settings of a gateway; testbed_start() runs it.
 * @param store address of a proxy to the store; NULL for the store itself */
struct testbed_gateway *testbed_gateway(struct testbed *testbed, const char *name,
					const char *store);
/** The same for a gateway in another zone, "z2". */
struct testbed_gateway *testbed_gateway_in_zone(struct testbed *testbed, const char *name,
						const char *zone, const char *store);
void testbed_start(struct testbed_gateway *gateway);
/** Adds lines to the end of a gateway's settings, which it reads when it starts or reloads. */
void testbed_add_settings(const struct testbed_gateway *gateway, const char *lines);
/** Sends a signal; does nothing when the gateway does not run. */
void testbed_signal(struct testbed_gateway *gateway, int signal);
/** Returns true when the process has ended, and reaps it. */
bool testbed_has_exited(struct testbed_gateway *gateway);
/** Waits for the end of the process. @return false when it still runs after @p ms */
bool testbed_wait_exit(struct testbed_gateway *gateway, uint32_t ms);
/** Waits until the gateway is ready. @return false when it is not after @p ms */
bool testbed_wait_ready(struct testbed_gateway *gateway, uint32_t ms);
/** Returns the body of an answer to GET. The caller frees it. */
char *testbed_get(struct testbed *testbed, const char *address, const char *path);
/** Queries the readiness of a gateway once. */
bool testbed_is_ready(struct testbed_gateway *gateway);

/** Runs the event loop for a time. */
void testbed_run(struct testbed *testbed, uint32_t ms);
/** Starts a request.
 * @param answer filled as the answer arrives; must stay valid until the answer ended, and is
 * cleared with testbed_answer_clear()
 * @return the call, valid until the answer ended */
struct testbed_call *testbed_begin(struct testbed_gateway *gateway,
				   const struct testbed_request *request,
				   struct testbed_answer *answer);
/** Closes the connection before the answer ended, as a caller that leaves. */
void testbed_disconnect(struct testbed_call *call);
/** Sends a request and waits for the end of its answer. */
struct testbed_answer testbed_call(struct testbed_gateway *gateway,
				   const struct testbed_request *request);
/** Returns how many answers to callers were not valid HTTP, or were followed by further bytes. */
uint64_t testbed_malformed_count(const struct testbed *testbed);
/** Waits until an answer ended. @return false when it did not within @p ms */
bool testbed_wait(struct testbed *testbed, struct testbed_answer *answer, uint32_t ms);
void testbed_answer_clear(struct testbed_answer *answer);
/** Returns true when the answer is a complete stream: every event once and in order. */
bool testbed_is_complete(const struct testbed_answer *answer, uint32_t output_tokens);
/** Returns true when the body is the beginning of the expected stream, or all of it. */
bool testbed_is_prefix(const struct testbed_answer *answer, uint32_t output_tokens);
/** Returns the lines of a gateway's log that contain a text. The caller frees them. */
char *testbed_log_lines(const struct testbed_gateway *gateway, const char *needle);
/** Returns the size of a gateway's log so far, in bytes; it is kept over restarts. */
uint64_t testbed_log_size(const struct testbed_gateway *gateway);
/** Returns a gateway's log from an offset on. The caller frees it. */
char *testbed_log_from(const struct testbed_gateway *gateway, uint64_t offset);
/** Returns the processor time that the process of a gateway has got, in ms; 0 when none runs. */
uint64_t testbed_cpu_ms(const struct testbed_gateway *gateway);

#endif
