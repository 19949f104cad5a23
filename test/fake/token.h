/**
 * @file token.h
 * Text of the tokens that fake engines produce. It contains the seed and the
 * generation, so that a test can tell tokens of different generations apart.
 */
#ifndef FLAMINGOLATCH_TEST_TOKEN_H
#define FLAMINGOLATCH_TEST_TOKEN_H

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>

#define TOKEN_TEXT_MAX 64

/**
 * Writes the text of a token: " <seed>.<generation>.<offset>" in hexadecimal.
 * @param generation id of the generation; 0 when any engine can continue it exactly
 * @param offset of the token in the output, from 0
 * @param out buffer of TOKEN_TEXT_MAX bytes
 */
static inline void token_text(uint64_t seed, uint64_t generation, uint64_t offset, char *out)
{
	snprintf(out, TOKEN_TEXT_MAX, " %" PRIx64 ".%" PRIx64 ".%" PRIx64, seed, generation,
		 offset);
}

#endif
