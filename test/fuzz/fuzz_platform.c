/**
 * @file fuzz_platform.c
 * Decodes arbitrary bytes as an answer of the store, as a configuration and as
 * an upstream's entry: no access out of bounds, malformed input is rejected.
 */
#include "../../platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;
	g_autoptr(GPtrArray) changes = g_ptr_array_new_with_free_func(platform_change_free);
	struct store_change *change = g_new0(struct store_change, 1);
	g_autofree char *last_key = NULL;
	uint64_t version;
	bool more;

	route_config_unref(platform_decode_config(text, size));
	platform_decode_upstream(text, size, change);
	platform_change_free(change);
	for (int table = 0; table < STORE_TABLE_COUNT; table++)
		platform_decode_rows(text, size, (enum store_table)table, changes, &version, &more,
				     &last_key);
	return 0;
}
