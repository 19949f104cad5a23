/**
 * @file translator.h
 * Address translation, so that a proxy stands on the connections between the instances.
 *
 * An instance announces the address that its bus is bound to, so its peers would connect past a
 * proxy. Here each instance sees the others under translated addresses: its calls to the store go
 * through a translator, and so do the messages on the bus. Nothing else is changed: what an
 * instance writes to the store arrives there as it is, and translated addresses have the length of
 * the original ones. The bus address of instance N is SUBNET.1N:8750, its translated one
 * SUBNET.6N:8750.
 *
 * translator_create() before the instances start, translator_store_address() for their settings,
 * translator_silence() at any time, translator_destroy() last.
 */
#ifndef REVIEW_TRANSLATOR_H
#define REVIEW_TRANSLATOR_H

#include "testbed.h"

#include <stdint.h>

struct translator;

/** Starts the translators of the instances 0 to @p count - 1, at most 10. */
struct translator *translator_create(struct testbed *testbed, uint32_t count);
void translator_destroy(struct translator *translator);
/** Returns the address at which an instance reaches the store. */
const char *translator_store_address(const struct translator *translator, uint32_t instance);
/** Silences the bus connections that are open: they stay open without a reset, and nothing passes
 * any more. New ones work. @return how many were silenced */
uint32_t translator_silence(struct translator *translator);
/** Returns how many bus connections were opened so far. */
uint32_t translator_opened(const struct translator *translator);

#endif
