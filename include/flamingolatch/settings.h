/**
 * @file settings.h
 * Settings of one entry instance, read from YAML and checked whole.
 *
 * set_load() reads and checks, set_destroy() frees. Secrets are read from the
 * files that the settings name. Everything is read-only after loading.
 */
#ifndef FLAMINGOLATCH_SETTINGS_H
#define FLAMINGOLATCH_SETTINGS_H

#include "flamingolatch/conf.h"

enum set_service_kind {
	SET_GENERATION,
	SET_PLAIN
};

struct set_port {
	char *address;
	uint64_t port;
	char *certificate_file;
	char *key_file;
	char *token_file;
};

struct set_bus {
	char *address;
	uint64_t port;
	char *public_key_file;
	char *secret_key_file;
	bool insecure;
};

struct set_customer {
	char *name;
	char *key_sha256; /**< hex digest of the API key */
};

struct set_service {
	char *name;
	uint32_t kind;	/**< enum set_service_kind */
	char *upstream; /**< name of the upstream pool in the instance list */
	char *profile;
	char *owner; /**< who pays for the service's work; its name unless set */
};

struct set_drain {
	uint64_t ready_lag_ms; /**< time between "not ready" and a closed port */
	uint64_t deadline_ms;  /**< 0 waits for the last stream */
};

/** All settings. */
struct settings {
	char *instance;
	char *zone;
	char *region;
	struct set_port caller;
	struct set_port operator_port;
	struct set_bus bus;
	char *platform;
	char *id_key_file;
	char *ports_file; /**< where chosen ports are written; optional */
	struct set_customer *customers;
	uint32_t customer_count;
	struct set_service *services;
	uint32_t service_count;
	struct set_drain drain;
	uint64_t max_body_bytes;
	uint64_t bus_bytes_per_s;    /**< budget of control traffic to peers */
	uint64_t call_row_ttl_s;     /**< how long a settled call is remembered */
	uint64_t region_bytes_per_s; /**< budget of relayed bytes between regions */

	/* read from the files named above */
	char *operator_token;
	char *id_key;
	char *bus_public_key; /**< Z85, 40 characters; NULL when insecure */
	char *bus_secret_key;
};

/**
 * Reads and checks a settings file and the secrets that it names.
 * @return the settings, or NULL with ERR_SETTINGS naming file, line and key
 */
struct settings *set_load(const char *file, GError **error);
void set_destroy(struct settings *set);

/** Returns the service of a name, or NULL. */
const struct set_service *set_find_service(const struct settings *set, const char *name);
/** Returns the customer that an API key belongs to, or NULL. */
const struct set_customer *set_find_customer(const struct settings *set, const char *api_key);
/** Returns the settings without secrets. */
json_t *set_to_json(const struct settings *set);

#endif
