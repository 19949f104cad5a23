/**
 * @file cluster.h
 * A deployment of real processes on loopback, for failure tests and benchmarks.
 *
 * cluster_create() starts the fake platform, engines and plain service and the
 * entry instances, publishes two profiles ("text" for generations, "calls" for
 * the plain service) and waits until every entry is ready. A test then starts
 * the load generator with cluster_start_load(), signals processes or injects
 * faults into them, waits with cluster_wait_load(), and checks the recorded
 * history and logs. cluster_destroy() kills all processes and removes their
 * files, or prints their directory when the environment has KEEP_FILES.
 *
 * Processes of one kind are numbered from 0. Returned strings and JSON are
 * released by the caller. A process that does not start in time ends the test.
 */
#ifndef FLAMINGOLATCH_TEST_CLUSTER_H
#define FLAMINGOLATCH_TEST_CLUSTER_H

#include <gio/gio.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CLUSTER_ENTRIES_MAX 64
#define CLUSTER_ENGINES_MAX 8

struct cluster;

/** Size and options of a cluster. */
struct cluster_conf {
	uint32_t entries;
	uint32_t engines;
	/** Engines in the instance list, at least @c engines; additional ones share addresses. */
	uint32_t replicas;
	uint32_t zones;	    /**< at most 4; 0 means 2; the third and fourth are in another region */
	uint32_t max_batch; /**< maximum running generations per engine; 0 means 256 */
	uint32_t median_tokens; /**< median output length of the engines */
	uint32_t step_us; /**< duration of an engine iteration, about one token per generation */
	bool exact;	  /**< an engine can continue a generation of another one exactly */
	bool secure_bus;  /**< encrypt the bus with CurveZMQ */
	bool tls;	  /**< TLS on caller ports, with a self-signed certificate */
	/** Content of the setting "drain"; NULL for "ready_lag_ms: 100". */
	const char *drain_settings;
	const char *extra_settings; /**< further lines of the settings of each entry, or NULL */
};

/** Starts a cluster and returns when every entry is ready. */
struct cluster *cluster_create(const struct cluster_conf *conf);
/** Kills all processes, including a running load generator. */
void cluster_destroy(struct cluster *cluster);

/** Sends signal @p number to a process. */
void cluster_signal_entry(struct cluster *cluster, uint32_t index, int number);
void cluster_signal_engine(struct cluster *cluster, uint32_t index, int number);
/** Kills an entry if it runs, starts it again with the same settings and publishes its address. */
void cluster_restart_entry(struct cluster *cluster, uint32_t index);
/** Waits until an entry has exited. @return its exit code, or -1 when a signal killed it */
int cluster_wait_entry(struct cluster *cluster, uint32_t index);
/** Replaces the instance list of the platform by the service, all engines and all entries. */
void cluster_publish_instances(struct cluster *cluster);

/** Returns the number of table rows whose key starts with @p prefix. */
size_t cluster_count_rows(struct cluster *cluster, const char *prefix);

/** Injects a fault; @p json is described at the head of the fake's source file. */
void cluster_inject_platform_fault(struct cluster *cluster, const char *json);
void cluster_inject_engine_fault(struct cluster *cluster, uint32_t index, const char *json);
void cluster_inject_service_fault(struct cluster *cluster, const char *json);

/** Starts the load generator on all entries. The options end with NULL. */
void cluster_start_load(struct cluster *cluster, ...) G_GNUC_NULL_TERMINATED;
/** Waits for the load generator. @return its exit code, or -1 when a signal killed it */
int cluster_wait_load(struct cluster *cluster);
/**
 * Runs an operator subcommand against an entry.
 * @param output set to standard output; may be NULL
 * @param ... subcommand and its options, ending with NULL
 * @return its exit code, or -1 when a signal killed it
 */
int cluster_run_operator(struct cluster *cluster, uint32_t entry, char **output,
			 ...) G_GNUC_NULL_TERMINATED;

/** Returns the process id of an entry. */
int cluster_entry_pid(const struct cluster *cluster, uint32_t index);
/** Returns "IP:port" of an engine, or of the caller port of an entry. */
char *cluster_engine_address(const struct cluster *cluster, uint32_t index);
char *cluster_caller_address(const struct cluster *cluster, uint32_t index);
/** Reads a metric of an entry; @p name is without the prefix "flamingolatch_". 0 if absent. */
uint64_t cluster_metric(struct cluster *cluster, uint32_t entry, const char *name);
/**
 * Sends an HTTP request and waits for the answer.
 * @param address "IP:port", or with a scheme, "https://IP:port"
 * @param headers "name: value" lines, ending with NULL; may be NULL
 * @param answer set to the body; may be NULL
 * @return the HTTP status, 0 when no complete answer arrived
 */
int cluster_http(const char *address, const char *method, const char *path,
		 const char *const *headers, const char *body, char **answer);
/** As cluster_http(), but disconnects after @p timeout_ms and then returns 0. */
int cluster_http_timeout(uint32_t timeout_ms, const char *address, const char *method,
			 const char *path, const char *const *headers, const char *body,
			 char **answer);
/** Reads the state of an entry from its operator port. @return JSON, or NULL on failure */
json_t *cluster_entry_state(struct cluster *cluster, uint32_t entry);
/** As cluster_http(), to the caller port of an entry. */
int cluster_request(struct cluster *cluster, uint32_t entry, const char *method, const char *path,
		    const char *const *headers, const char *body, char **answer);

/** Read the history of the load generator, or the logs of processes, as arrays of JSON lines. */
json_t *cluster_history(struct cluster *cluster);
json_t *cluster_engine_logs(struct cluster *cluster);
json_t *cluster_engine_log(struct cluster *cluster, uint32_t index);
json_t *cluster_service_log(struct cluster *cluster);
json_t *cluster_entry_log(struct cluster *cluster, uint32_t index);
/** Returns the API key of the customer "tests". */
const char *cluster_api_key(void);
/** Returns the directory of settings, keys, logs and the history. */
const char *cluster_dir(const struct cluster *cluster);

#endif
