/**
 * @file token.h
 * The text of token i of a generation, which tells the generation by itself.
 */
#ifndef FLAMINGOLATCH_TEST_TOKEN_H
#define FLAMINGOLATCH_TEST_TOKEN_H

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>

#define TOKEN_TEXT_MAX 48

/** Writes " <seed>.<offset>" in hexadecimal. */
static inline void token_text(uint64_t seed, uint64_t offset, char *out)
{
	snprintf(out, TOKEN_TEXT_MAX, " %" PRIx64 ".%" PRIx64, seed, offset);
}

#endif
