/**
 * @file check_config.h
 * Checks a configuration before it is written to the store, by the decoder and the
 * matcher of the product.
 */
#ifndef FLAMINGOLATCH_SRC_CHECK_CONFIG_H
#define FLAMINGOLATCH_SRC_CHECK_CONFIG_H

#include <stdbool.h>

/** Exit codes. */
enum check_config_result {
	CHECK_CONFIG_CLEAN = 0,
	CHECK_CONFIG_FINDINGS = 1,
	CHECK_CONFIG_UNREADABLE = 2, /**< a file cannot be read, or instances would reject it */
};

/**
 * Prints what is wrong with a configuration and how it differs from another one.
 * @param against file with the configuration in force, or NULL
 * @param as_json prints JSON instead of a line for each
 * @return an enum check_config_result
 */
int check_config(const char *file, const char *against, bool as_json);

#endif
