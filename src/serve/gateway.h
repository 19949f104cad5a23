/**
 * @file gateway.h
 * A gateway instance: takes requests by the platform's own interface.
 *
 * gw_create() opens the ports and begins to follow the store, gw_run() returns
 * after a planned stop, gw_destroy() frees.
 */
#ifndef FLAMINGOLATCH_SERVE_GATEWAY_H
#define FLAMINGOLATCH_SERVE_GATEWAY_H

#include "flamingolatch/gateway_settings.h"
#include "flamingolatch/source.h"
#include "flamingolatch/surface.h"

#include <uv.h>

struct gw;

/** Makes the adapter to the store; @p cli lives as long as the source. */
struct gw_adapter {
	struct source *(*source_create)(struct hcli *cli, const char *address);
	void (*source_destroy)(struct source *source);
	const struct srf_ops *surface;
};

/**
 * @param file of the settings, read again on SIGHUP
 * @param set taken over
 * @return the gateway, or NULL with ERR_IO
 */
struct gw *gw_create(const char *file, struct gateway_settings *set,
		     const struct gw_adapter *adapter, GError **error);
void gw_run(struct gw *gw);
void gw_destroy(struct gw *gw);

#endif
