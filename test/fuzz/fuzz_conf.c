/**
 * @file fuzz_conf.c
 * Fuzz target: parses arbitrary bytes as a profile and frees the result.
 */
#include "flamingolatch/profile.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autoptr(GError) error = NULL;
	struct profile prof;

	if (profile_parse("fuzz", (const char *)data, size, &prof, &error))
		profile_clear(&prof);
	return 0;
}
