/**
 * @file standin.h
 * Stand-ins for a small deployment on loopback: the platform's store, replicas,
 * clients, and the start and end of gateway processes. Used by the scripts of
 * review/REPORT-2.md only.
 *
 * One thread a connection and blocking sockets. Order of calls: bed_create();
 * replica_create() for each replica, then bed_configure() and replica_list();
 * gateway_start() and gateway_wait_ready(); client_connect() and the calls on
 * it; bed_end() last, which ends the processes and closes the record.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define BED_KEY	   "key-one"
#define BED_HOST   "desk.example"
#define BED_TENANT "tenant-one"

/** An HTTP message as it was read. */
struct message {
	char *head; /**< start line and headers, ends with an empty line */
	char *body; /**< decoded, with a terminating null */
	size_t body_len;
	int status; /**< of an answer */
	bool whole; /**< the message ended as its framing says */
};

struct replica;

/** A request at a replica. */
struct arrival {
	struct replica *replica;
	int fd;
	uint64_t conn; /**< number of the connection, from 1 */
	unsigned seq;  /**< number of the request on its connection, from 1 */
	struct message request;
	char id[64];	 /**< X-Flamingolatch-Attempt-Id, "" without */
	void *conn_data; /**< kept from one request of the connection to the next; freed with free()
			  */
};

/** Answers a request. @return false to have the connection closed */
typedef bool (*replica_cb)(struct arrival *arrival);

struct gateway {
	pid_t pid;
	char name[32];
	int callers, ready, metrics, bus; /**< ports */
	char settings[256], log[256];
};

/** Creates the working folder, the record and the store. @param record file to write */
void bed_create(const char *record);
/** Ends all processes that were started. */
void bed_end(void);
/** Writes a line to the record, with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint64_t now_ms(void);
void sleep_ms(unsigned ms);
/** False when the script runs with TROUBLE=0. */
bool trouble(void);
/** Ends the script with 2: the case could not run. */
void cannot_run(const char *why) __attribute__((noreturn));

/** Writes a new configuration; services "desk" (plain) and "writer" (engines); routes /once/
 * (unsafe), /safe/ (safe) and /stream/ (streaming). @param keys JSON strings of the tenant's keys
 * @param added name and prefix of one more route for safe requests, or NULL */
void bed_configure(const char *keys, const char *added);
void store_put(const char *table, const char *key, const char *text);
/** Makes the store reset the connections of all calls, or answer again. */
void store_set_reset(bool resets);

struct replica *replica_create(const char *id, const char *service, replica_cb cb);
int replica_port(const struct replica *replica);
const char *replica_id(const struct replica *replica);
void replica_list(struct replica *replica, const char *state);
void replica_unlist(struct replica *replica);

void gateway_start(struct gateway *gateway, const char *name);
void gateway_wait_ready(const struct gateway *gateway);

int client_connect(int port);
bool send_text(int fd, const char *text);
bool send_bytes(int fd, const void *buf, size_t len);
/** Reads one message. Bytes after it are kept for the next call with the same buffer. */
struct reader {
	int fd;
	char *buf;
	size_t len, cap;
};
/** @param answer an answer is read, and the end of the connection may end its body
 *  @param timeout_ms for the whole message
 *  @return false when nothing that can be read as a message came */
bool read_message(struct reader *reader, struct message *out, bool answer, int timeout_ms);
void message_free(struct message *message);
/** Copies the value of a header. @return false when the message has none */
bool message_header(const struct message *message, const char *name, char *out, size_t size);

#endif
