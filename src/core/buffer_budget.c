#include "flamingolatch/buffer_budget.h"

/* Larger buffers are not kept for reuse. */
#define BUFFER_KEPT_MAX_BYTES (32U << 10)

void buffer_budget_update(struct buffer_budget *budget, uint64_t *held_bytes, uint64_t bytes)
{
	budget->held_bytes += bytes - *held_bytes;
	*held_bytes = bytes;
}

uint64_t buffer_budget_limit(const struct buffer_budget *budget, uint64_t own_max_bytes)
{
	return budget->held_bytes < budget->max_bytes ? own_max_bytes
						      : MIN(own_max_bytes, BUFFER_BUDGET_MIN_BYTES);
}

GString *buffer_clear(GString *buffer)
{
	if (buffer->allocated_len <= BUFFER_KEPT_MAX_BYTES)
		return g_string_truncate(buffer, 0);
	g_string_free(buffer, TRUE);
	return g_string_new(NULL);
}
