/**
 * @file gateway.h
 * A gateway instance: its ports, modules, event loop and signals.
 *
 * gateway_create() opens the ports and starts to watch the store, gateway_run()
 * returns after a planned stop, gateway_destroy() frees everything. The adapter
 * supplies what is specific to the platform: the store and the format of
 * requests.
 */
#ifndef FLAMINGOLATCH_SERVE_GATEWAY_H
#define FLAMINGOLATCH_SERVE_GATEWAY_H

#include "flamingolatch/gateway_settings.h"
#include "flamingolatch/store_client.h"
#include "flamingolatch/protocol.h"

#include <uv.h>

struct gateway;

/** The platform adapter: it implements the ports store_client.h and protocol.h. */
struct gateway_adapter {
	/** Creates the access to the store; @p cli outlives every call to the store. */
	struct store_client *(*store_client_create)(struct http_client *cli, const char *address);
	void (*store_client_destroy)(struct store_client *store_client);
	const struct protocol_ops *protocol;
};

/**
 * Creates an instance on the default event loop and opens its ports.
 * @param file path of the settings, which are read again on SIGHUP
 * @param settings ownership is taken, also on failure
 * @param adapter must outlive the gateway
 * @return the gateway, or NULL with ERR_IO
 */
struct gateway *gateway_create(const char *file, struct gateway_settings *settings,
			       const struct gateway_adapter *adapter, GError **error);
/** Runs the event loop until SIGTERM or SIGINT and the drain that follows. */
void gateway_run(struct gateway *gateway);
/** Accepts NULL. */
void gateway_destroy(struct gateway *gateway);

#endif
