/**
 * @file settings.h
 * Settings of one entry instance, loaded from a YAML file.
 *
 * settings_load() parses and validates the file and reads the secrets from the
 * files that it names; settings_destroy() frees the result. The settings are
 * read-only after loading. Members are named after their keys in the file,
 * except operator_port, whose key is "operator".
 */
#ifndef FLAMINGOLATCH_SETTINGS_H
#define FLAMINGOLATCH_SETTINGS_H

#include "flamingolatch/conf.h"

enum settings_service_kind {
	SETTINGS_SERVICE_GENERATION, /**< streams generated tokens from engines */
	SETTINGS_SERVICE_PLAIN	     /**< plain HTTP calls */
};

/** A listening HTTP port. */
struct settings_listener {
	char *address;		/**< IP address to bind */
	uint64_t port;		/**< 0 binds a free port */
	char *certificate_file; /**< PEM certificate chain; NULL serves without TLS */
	char *key_file;		/**< PEM private key; set together with certificate_file */
	char *token_file;	/**< bearer token; required for the operator port */
};

/** The message bus between instances, see bus.h. */
struct settings_bus {
	char *address;	       /**< IP address to bind */
	uint64_t port;	       /**< 0 binds a free port */
	char *public_key_file; /**< CURVE key of the deployment, Z85 */
	char *secret_key_file; /**< CURVE key of the deployment, Z85 */
	bool insecure;	       /**< runs the bus without keys; for tests only */
};

struct settings_customer {
	char *name;
	char *key_sha256; /**< SHA-256 of the API key, 64 hexadecimal digits */
};

struct settings_service {
	char *name;
	uint32_t kind;	/**< enum settings_service_kind */
	char *upstream; /**< name of the upstream pool in the instance list */
	char *profile;	/**< name of the profile */
	char *owner;	/**< account that engine time is charged to; NULL: the service's name */
};

/** Planned shutdown. */
struct settings_drain {
	/** Time from reporting "not ready" until the caller port closes, so that load
	 * balancers see the change first. */
	uint64_t ready_lag_ms;
	/** Time after which LOG_DRAIN_DEADLINE is logged once if requests are still open.
	 * They are never aborted. 0 turns the warning off. */
	uint64_t deadline_ms;
};

/** All settings. */
struct settings {
	char *instance;
	char *zone;
	char *region;
	struct settings_listener caller;
	struct settings_listener operator_port;
	struct settings_bus bus;
	char *platform;	   /**< "IP:port" of the platform's HTTP interface */
	char *id_key_file; /**< HMAC key that signs public request ids */
	char *ports_file;  /**< file that the bound ports are written to; NULL: none */
	struct settings_customer *customers;
	uint32_t customer_count;
	struct settings_service *services;
	uint32_t service_count;
	struct settings_drain drain;
	uint64_t max_body_bytes;     /**< larger request bodies from callers are refused */
	uint64_t bus_bytes_per_s;    /**< limit of control traffic to peers */
	uint64_t call_row_ttl_s;     /**< age at which the row of a finished call is deleted */
	uint64_t region_bytes_per_s; /**< limit of relayed traffic between regions */

	/* Secrets, read from the files named above. */
	char *operator_token;
	char *id_key;
	char *bus_public_key; /**< Z85, 40 characters; NULL when insecure */
	char *bus_secret_key; /**< Z85, 40 characters; NULL when insecure */
};

/**
 * Loads and validates a settings file and reads the secrets that it names.
 * @return the settings, or NULL with ERR_SETTINGS; the message names the file at fault
 *         (settings or secret) and the key, and for errors of syntax, type or range
 *         the line
 */
struct settings *settings_load(const char *file, GError **error);
/** Frees settings; NULL is allowed. */
void settings_destroy(struct settings *settings);

/** Returns the service with the given name, or NULL. */
const struct settings_service *settings_find_service(const struct settings *settings,
						     const char *name);
/** Returns the customer that an API key belongs to, or NULL. */
const struct settings_customer *settings_find_customer(const struct settings *settings,
						       const char *api_key);
/** Returns the settings as an object with the keys of the settings file, without the secrets.
 * The caller owns the object. */
json_t *settings_to_json(const struct settings *settings);

#endif
