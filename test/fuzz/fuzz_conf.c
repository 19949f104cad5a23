/**
 * @file fuzz_conf.c
 * Any bytes as a profile: parsed or refused, and freed.
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
