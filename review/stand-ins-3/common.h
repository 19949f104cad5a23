/**
 * @file common.h
 * What the cases of the third review share: settings and configuration like those of a small
 * deployment, and the record of a run.
 *
 * common_open() first, common_close() last; it returns the exit code of the case.
 */
#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include "testbed.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** contact_ms of the site file csl-claims. */
#define COMMON_CONTACT_MS 4000

/** Exit codes of a case. */
enum common_exit {
	COMMON_HELD = 0,
	COMMON_BROKEN = 1,
	COMMON_COULD_NOT_RUN = 2
};

/** A run of a case. */
struct common {
	struct testbed *testbed;
	struct mock_platform *platform;
	bool trouble; /**< false with TROUBLE=0 */
};

/** Opens the record, whose path is the first argument, and starts the stand-in for the platform. */
void common_open(struct common *run, int argc, char **argv);
/** Frees everything and ends all processes. @return the exit code for a verdict */
int common_close(struct common *run, enum common_exit verdict);
/** Writes a line with the time since the start to the record. */
void common_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Returns the time since common_open(), in ms. */
uint64_t common_now_ms(void);
/** Ends the run with exit code 2 when a condition that the case needs does not hold. */
void common_need(struct common *run, bool condition, const char *what);

/**
 * Writes a configuration with the limits of the site file, and the routes of the testbed: /once/
 * (unsafe), /safe/ (safe), /long/ (streaming, not resumable), /quick/ (streaming, resumable).
 * @param other_key whether the customer has TESTBED_OTHER_KEY beside TESTBED_KEY
 */
void common_configure(struct common *run, uint32_t version, bool other_key);
/** Creates the settings of a gateway like those that deploy/settings.yaml gives.
 * @param store address of the store for it; NULL: the store itself */
struct testbed_gateway *common_gateway(struct common *run, const char *name, const char *zone,
				       const char *store);
/** Starts a gateway again: its settings say then, as the platform's do, that it is not the first
 * start of the whole system. */
void common_restart(struct testbed_gateway *gateway);
/** Starts a gateway and waits until it is ready. */
void common_start(struct common *run, struct testbed_gateway *gateway);
/** Starts an upstream in a zone, with an entry. @param number tells addresses apart, 0 to 90 */
struct mock_upstream *common_upstream(struct common *run, const char *id, const char *zone,
				      bool engine, uint32_t number, uint32_t work_ms,
				      uint32_t pace_ms);
/** Returns the memory that a gateway holds, without mapped files, in KiB; 0 when it does not run.
 */
uint64_t common_anon_kib(const struct testbed_gateway *gateway);

#endif
