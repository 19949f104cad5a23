/**
 * @file proc.h
 * A small deployment of real processes on loopback, for failure tests.
 *
 * proc_create() starts the platform, engines, services and entries, publishes
 * profiles and waits until every entry serves; proc_load_start() puts load on
 * it and records a history; faults go to single processes; proc_destroy()
 * ends everything it started, by process id, and removes the files.
 */
#ifndef FLAMINGOLATCH_TEST_PROC_H
#define FLAMINGOLATCH_TEST_PROC_H

#include <gio/gio.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define PROC_ENTRIES_MAX 64
#define PROC_ENGINES_MAX 8

struct proc;

/** Size and options of a deployment. */
struct proc_conf {
	uint32_t entries;
	uint32_t engines;
	uint32_t replicas;  /**< engines described in the list, at least as many as run */
	uint32_t zones;	    /**< 2 when zero; from the third on in another region */
	uint32_t max_batch; /**< of an engine; 256 when zero */
	uint32_t median_tokens;
	uint32_t step_us;
	bool exact;	     /**< engines continue each other's output */
	bool secure;	     /**< CURVE on the bus */
	bool tls;	     /**< TLS on the caller port, with a certificate made for the test */
	const char *drain;   /**< settings of the key drain, or NULL */
	const char *further; /**< further lines of the settings, or NULL */
};

struct proc *proc_create(const struct proc_conf *conf);
void proc_destroy(struct proc *proc);

/** Sends a signal to an entry, an engine or the service. */
void proc_signal_entry(struct proc *proc, uint32_t index, int number);
void proc_signal_engine(struct proc *proc, uint32_t index, int number);
/** Starts a dead entry again under the same settings. */
void proc_restart_entry(struct proc *proc, uint32_t index);
/** Waits until a signalled entry has ended. @return its exit code, -1 after a signal */
int proc_wait_entry(struct proc *proc, uint32_t index);
/** Gives the platform the list of all instances but the leaving engines. */
void proc_publish_list(struct proc *proc);

/** Returns how many rows of the table have a prefix. */
size_t proc_count_rows(struct proc *proc, const char *prefix);

/** Posts a fault order. */
void proc_fault_platform(struct proc *proc, const char *json);
void proc_fault_engine(struct proc *proc, uint32_t index, const char *json);
void proc_fault_service(struct proc *proc, const char *json);

/** Starts the load tool with further options, NULL-terminated. */
void proc_load_start(struct proc *proc, ...) G_GNUC_NULL_TERMINATED;
/** Waits for the load tool. @return its exit code */
int proc_load_wait(struct proc *proc);
/** Runs the program with options, NULL-terminated; operator options are added.
 * @return its exit code */
int proc_operator(struct proc *proc, uint32_t entry, char **output, ...) G_GNUC_NULL_TERMINATED;

/** Returns the process id of an entry. */
int proc_entry_pid(const struct proc *proc, uint32_t index);
/** Returns "IP:port" of an engine, or of an entry's caller port. */
char *proc_engine_address(const struct proc *proc, uint32_t index);
char *proc_caller_address(const struct proc *proc, uint32_t index);
/** Reads a counter of an entry's metrics. */
uint64_t proc_metric(struct proc *proc, uint32_t entry, const char *name);
/** Sends a request to any address. @return the HTTP status, 0 on failure */
int proc_http(const char *address, const char *method, const char *path, const char *const *headers,
	      const char *body, char **answer);
/** Sends a request and leaves after @p timeout_ms. @return the HTTP status, 0 when it left */
int proc_http_for(uint32_t timeout_ms, const char *address, const char *method, const char *path,
		  const char *const *headers, const char *body, char **answer);
/** Asks an entry's operator port. @return JSON, or NULL */
json_t *proc_state(struct proc *proc, uint32_t entry);
/** Sends one request to an entry's caller port. @return the HTTP status, 0 on failure */
int proc_request(struct proc *proc, uint32_t entry, const char *method, const char *path,
		 const char *const *headers, const char *body, char **answer);

/** Reads what was recorded. */
json_t *proc_history(struct proc *proc);
json_t *proc_engine_logs(struct proc *proc);
json_t *proc_engine_log(struct proc *proc, uint32_t index);
json_t *proc_service_log(struct proc *proc);
json_t *proc_entry_log(struct proc *proc, uint32_t index);
const char *proc_api_key(void);
/** Returns the directory of all files. */
const char *proc_dir(const struct proc *proc);

#endif
