/**
 * @file fuzz_wire.c
 * Any bytes as a message of a peer: decoded within bounds or refused.
 */
#include "flamingolatch/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct wire_message message;

	if (wire_decode(data, size, &message))
		wire_clear(&message);
	return 0;
}
