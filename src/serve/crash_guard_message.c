#include "crash_guard_message.h"

/* engine, request, age in ms, parts */
#define CRASH_GUARD_CRASH_TYPE "(ttuat)"
/* part, age in ms */
#define CRASH_GUARD_CLEARED_TYPE "(tu)"
/* part, time left in ms, duration in ms */
#define CRASH_GUARD_ENTRY_TYPE "(tuu)"
#define CRASH_GUARD_MESSAGE_TYPE                                                                   \
	"(a" CRASH_GUARD_CRASH_TYPE "a" CRASH_GUARD_CLEARED_TYPE "a" CRASH_GUARD_ENTRY_TYPE "at)"

/* The same for g_variant_new() and g_variant_get(): the last array is passed as a value. */
#define CRASH_GUARD_MESSAGE_FORMAT                                                                 \
	"(a" CRASH_GUARD_CRASH_TYPE "a" CRASH_GUARD_CLEARED_TYPE "a" CRASH_GUARD_ENTRY_TYPE "@at)"

void crash_guard_message_init(struct crash_guard_message *message)
{
	message->crashes = g_array_new(FALSE, FALSE, sizeof(struct quarantine_crash));
	message->cleared = g_array_new(FALSE, FALSE, sizeof(struct crash_guard_cleared));
	message->entries = g_array_new(FALSE, FALSE, sizeof(struct quarantine_entry));
	message->stored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void crash_guard_message_clear(struct crash_guard_message *message)
{
	g_array_free(message->crashes, TRUE);
	g_array_free(message->cleared, TRUE);
	g_array_free(message->entries, TRUE);
	g_array_free(message->stored, TRUE);
}

bool crash_guard_message_is_empty(const struct crash_guard_message *message)
{
	return message->crashes->len + message->cleared->len + message->entries->len +
		       message->stored->len ==
	       0;
}

/* Returns a difference of two times in ms, 0 when the second is earlier. */
static guint32 crash_guard_message_ms(uint64_t from_us, uint64_t to_us)
{
	return to_us > from_us ? (guint32)MIN((to_us - from_us) / 1000, G_MAXUINT32) : 0;
}

/* Returns the time that is an age ago; not 0. */
static uint64_t crash_guard_message_time(uint64_t now_us, guint32 age_ms)
{
	return now_us > age_ms * 1000ULL ? now_us - age_ms * 1000ULL : 1;
}

static GVariant *crash_guard_message_parts(const struct quarantine_crash *crash)
{
	return g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64, crash->parts, crash->part_count,
					 sizeof(crash->parts[0]));
}

void crash_guard_message_encode(GByteArray *out, const struct crash_guard_message *message,
				uint64_t now_us)
{
	GVariantBuilder crashes;
	GVariantBuilder cleared;
	GVariantBuilder entries;
	GVariant *root;

	g_variant_builder_init(&crashes, G_VARIANT_TYPE("a" CRASH_GUARD_CRASH_TYPE));
	g_variant_builder_init(&cleared, G_VARIANT_TYPE("a" CRASH_GUARD_CLEARED_TYPE));
	g_variant_builder_init(&entries, G_VARIANT_TYPE("a" CRASH_GUARD_ENTRY_TYPE));
	for (guint i = 0; i < message->crashes->len; i++) {
		const struct quarantine_crash *crash =
			&g_array_index(message->crashes, struct quarantine_crash, i);

		g_variant_builder_add(&crashes, "(ttu@at)", crash->engine, crash->request,
				      crash_guard_message_ms(crash->at_us, now_us),
				      crash_guard_message_parts(crash));
	}
	for (guint i = 0; i < message->cleared->len; i++) {
		const struct crash_guard_cleared *part =
			&g_array_index(message->cleared, struct crash_guard_cleared, i);

		g_variant_builder_add(&cleared, CRASH_GUARD_CLEARED_TYPE, part->part,
				      crash_guard_message_ms(part->progress_us, now_us));
	}
	for (guint i = 0; i < message->entries->len; i++) {
		const struct quarantine_entry *entry =
			&g_array_index(message->entries, struct quarantine_entry, i);

		g_variant_builder_add(&entries, CRASH_GUARD_ENTRY_TYPE, entry->part,
				      crash_guard_message_ms(now_us, entry->until_us),
				      crash_guard_message_ms(0, entry->duration_us));
	}
	root = g_variant_ref_sink(g_variant_new(
		CRASH_GUARD_MESSAGE_FORMAT, &crashes, &cleared, &entries,
		g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64, message->stored->data,
					  message->stored->len, sizeof(uint64_t))));
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

static void crash_guard_message_add_crash(GArray *crashes, uint64_t engine, uint64_t request,
					  uint64_t at_us, GVariant *parts)
{
	struct quarantine_crash crash = { .engine = engine, .request = request, .at_us = at_us };
	gsize count = 0;
	const uint64_t *ids = g_variant_get_fixed_array(parts, &count, sizeof(crash.parts[0]));

	crash.part_count = (uint32_t)MIN(count, QUARANTINE_MAX_PARTS);
	for (uint32_t i = 0; i < crash.part_count; i++)
		crash.parts[i] = ids[i];
	g_array_append_val(crashes, crash);
}

bool crash_guard_message_decode(const void *buf, size_t len, uint64_t now_us,
				struct crash_guard_message *out)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	g_autoptr(GVariant) root = g_variant_ref_sink(
		g_variant_new_from_bytes(G_VARIANT_TYPE(CRASH_GUARD_MESSAGE_TYPE), bytes, FALSE));
	g_autoptr(GVariantIter) crashes = NULL;
	g_autoptr(GVariantIter) cleared = NULL;
	g_autoptr(GVariantIter) entries = NULL;
	g_autoptr(GVariant) stored = NULL;
	GVariant *parts;
	const uint64_t *stored_ids;
	gsize stored_count = 0;
	guint64 first;
	guint64 request;
	guint32 time_ms;
	guint32 duration_ms;

	if (!g_variant_is_normal_form(root))
		return false;
	g_variant_get(root, CRASH_GUARD_MESSAGE_FORMAT, &crashes, &cleared, &entries, &stored);
	stored_ids = g_variant_get_fixed_array(stored, &stored_count, sizeof(uint64_t));
	g_array_append_vals(out->stored, stored_ids, (guint)stored_count);
	while (g_variant_iter_next(crashes, "(ttu@at)", &first, &request, &time_ms, &parts)) {
		crash_guard_message_add_crash(out->crashes, first, request,
					      crash_guard_message_time(now_us, time_ms), parts);
		g_variant_unref(parts);
	}
	while (g_variant_iter_next(cleared, CRASH_GUARD_CLEARED_TYPE, &first, &time_ms)) {
		struct crash_guard_cleared part = { first,
						    crash_guard_message_time(now_us, time_ms) };

		g_array_append_val(out->cleared, part);
	}
	while (g_variant_iter_next(entries, CRASH_GUARD_ENTRY_TYPE, &first, &time_ms,
				   &duration_ms)) {
		struct quarantine_entry entry = { first, now_us + time_ms * 1000ULL,
						  duration_ms * 1000ULL };

		g_array_append_val(out->entries, entry);
	}
	return true;
}
