/**
 * @file cluster.h
 * A small deployment of real processes on loopback, for failure tests.
 *
 * cluster_create() starts the platform, engines, services and entries, publishes
 * profiles and waits until every entry serves; cluster_start_load() puts load on
 * it and records a history; faults go to single processes; cluster_destroy()
 * ends everything it started, by process id, and removes the files.
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

/** Size and options of a deployment. */
struct cluster_conf {
	uint32_t entries;
	uint32_t engines;
	uint32_t replicas;  /**< engines described in the list, at least as many as run */
	uint32_t zones;	    /**< 2 when zero; from the third on in another region */
	uint32_t max_batch; /**< of an engine; 256 when zero */
	uint32_t median_tokens;
	uint32_t step_us;
	bool exact;	     /**< engines continue each other's output */
	bool secure_bus;     /**< CURVE on the bus */
	bool tls;	     /**< TLS on the caller port, with a certificate made for the test */
	const char *drain;   /**< settings of the key drain, or NULL */
	const char *further; /**< further lines of the settings, or NULL */
};

struct cluster *cluster_create(const struct cluster_conf *conf);
void cluster_destroy(struct cluster *cluster);

/** Sends a signal to an entry, an engine or the service. */
void cluster_signal_entry(struct cluster *cluster, uint32_t index, int number);
void cluster_signal_engine(struct cluster *cluster, uint32_t index, int number);
/** Starts a dead entry again under the same settings. */
void cluster_restart_entry(struct cluster *cluster, uint32_t index);
/** Waits until a signalled entry has ended. @return its exit code, -1 after a signal */
int cluster_wait_entry(struct cluster *cluster, uint32_t index);
/** Gives the platform the list of all instances but the leaving engines. */
void cluster_publish_instances(struct cluster *cluster);

/** Returns how many rows of the table have a prefix. */
size_t cluster_count_rows(struct cluster *cluster, const char *prefix);

/** Posts a fault order. */
void cluster_inject_platform_fault(struct cluster *cluster, const char *json);
void cluster_inject_engine_fault(struct cluster *cluster, uint32_t index, const char *json);
void cluster_inject_service_fault(struct cluster *cluster, const char *json);

/** Starts the load tool with further options, NULL-terminated. */
void cluster_start_load(struct cluster *cluster, ...) G_GNUC_NULL_TERMINATED;
/** Waits for the load tool. @return its exit code */
int cluster_wait_load(struct cluster *cluster);
/** Runs the program with options, NULL-terminated; operator options are added.
 * @return its exit code */
int cluster_run_operator(struct cluster *cluster, uint32_t entry, char **output,
			 ...) G_GNUC_NULL_TERMINATED;

/** Returns the process id of an entry. */
int cluster_entry_pid(const struct cluster *cluster, uint32_t index);
/** Returns "IP:port" of an engine, or of an entry's caller port. */
char *cluster_engine_address(const struct cluster *cluster, uint32_t index);
char *cluster_caller_address(const struct cluster *cluster, uint32_t index);
/** Reads a counter of an entry's metrics. */
uint64_t cluster_metric(struct cluster *cluster, uint32_t entry, const char *name);
/** Sends a request to any address. @return the HTTP status, 0 on failure */
int cluster_http(const char *address, const char *method, const char *path,
		 const char *const *headers, const char *body, char **answer);
/** Sends a request and leaves after @p timeout_ms. @return the HTTP status, 0 when it left */
int cluster_http_timeout(uint32_t timeout_ms, const char *address, const char *method,
			 const char *path, const char *const *headers, const char *body,
			 char **answer);
/** Asks an entry's operator port. @return JSON, or NULL */
json_t *cluster_entry_state(struct cluster *cluster, uint32_t entry);
/** Sends one request to an entry's caller port. @return the HTTP status, 0 on failure */
int cluster_request(struct cluster *cluster, uint32_t entry, const char *method, const char *path,
		    const char *const *headers, const char *body, char **answer);

/** Reads what was recorded. */
json_t *cluster_history(struct cluster *cluster);
json_t *cluster_engine_logs(struct cluster *cluster);
json_t *cluster_engine_log(struct cluster *cluster, uint32_t index);
json_t *cluster_service_log(struct cluster *cluster);
json_t *cluster_entry_log(struct cluster *cluster, uint32_t index);
const char *cluster_api_key(void);
/** Returns the directory of all files. */
const char *cluster_dir(const struct cluster *cluster);

#endif
