/**
 * @file store_instance.h
 * An instance that follows the store, without a network: its watch makes calls that
 * the test answers one by one, and its configurations take a number of steps to
 * decode.
 *
 * store_instance_create(); store_instance_settle() after each change of what the
 * watch waits for; store_instance_destroy() last.
 */
#ifndef FLAMINGOLATCH_TEST_STORE_INSTANCE_H
#define FLAMINGOLATCH_TEST_STORE_INSTANCE_H

#include "../src/serve/store_watch.h"

/** Iterations of the loop after which all that is due has run. */
#define STORE_INSTANCE_SETTLE_ITERATIONS 20

/** A call of a watch that is not answered yet. */
struct store_call {
	enum store_table table;
	uint64_t since; /**< 0 for a read of the whole table */
	store_answer_cb cb;
	void *arg;
	bool open;
};

/** One instance, with the calls of its watch. */
struct store_instance {
	struct env env;
	struct gateway_settings settings;
	struct store_client client;
	struct store_watch *watch;
	struct store_call calls[2]; /**< by table */
	uint32_t config_calls;	    /**< how many were made for the configuration */
};

/** Sets how many steps the next configuration takes to decode. */
void store_instance_set_decode_steps(uint32_t steps);
/** Creates an instance in zone "z1" that does not watch. */
struct store_instance *store_instance_create(void);
void store_instance_destroy(struct store_instance *instance);
/** Runs the loop until all that is due has run. */
void store_instance_settle(void);

#endif
