/**
 * @file fuzz_wire.c
 * Fuzz target: decodes arbitrary bytes as a message from a peer.
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
