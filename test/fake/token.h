/**
 * @file token.h
 * The text of token i of a generation, which tells the generation by itself.
 */
#ifndef FLAMINGOLATCH_TEST_TOKEN_H
#define FLAMINGOLATCH_TEST_TOKEN_H

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>

#define TOKEN_TEXT_MAX 64

/**
 * Writes " <seed>.<generation>.<offset>" in hexadecimal.
 * @param generation 0 on engines that continue each other's output exactly
 */
static inline void token_text(uint64_t seed, uint64_t generation, uint64_t offset, char *out)
{
	snprintf(out, TOKEN_TEXT_MAX, " %" PRIx64 ".%" PRIx64 ".%" PRIx64, seed, generation,
		 offset);
}

#endif
