#include "crash_guard_message.h"

/* upstream, request, attempt, age in ms, traits */
#define CRASH_GUARD_CRASH_TYPE "(tttuat)"
/* trait, is a fingerprint, age in ms */
#define CRASH_GUARD_CLEARED_TYPE "(tbu)"
/* trait, is a fingerprint, time left in ms, duration in ms */
#define CRASH_GUARD_ENTRY_TYPE "(tbuu)"
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

static GVariant *crash_guard_message_traits(const struct quarantine_crash *crash)
{
	return g_variant_new_fixed_array(G_VARIANT_TYPE_UINT64, crash->traits, crash->trait_count,
					 sizeof(crash->traits[0]));
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

		g_variant_builder_add(&crashes, "(tttu@at)", crash->upstream, crash->request,
				      crash->attempt, crash_guard_message_ms(crash->at_us, now_us),
				      crash_guard_message_traits(crash));
	}
	for (guint i = 0; i < message->cleared->len; i++) {
		const struct crash_guard_cleared *trait =
			&g_array_index(message->cleared, struct crash_guard_cleared, i);

		g_variant_builder_add(&cleared, CRASH_GUARD_CLEARED_TYPE, trait->trait,
				      trait->is_request,
				      crash_guard_message_ms(trait->progress_us, now_us));
	}
	for (guint i = 0; i < message->entries->len; i++) {
		const struct quarantine_entry *entry =
			&g_array_index(message->entries, struct quarantine_entry, i);

		g_variant_builder_add(&entries, CRASH_GUARD_ENTRY_TYPE, entry->trait,
				      entry->is_request,
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

/* Completes a crash and appends it. One with too many traits keeps the first ones. */
static void crash_guard_message_add_crash(GArray *crashes, struct quarantine_crash *crash,
					  GVariant *traits)
{
	gsize count = 0;
	const uint64_t *ids = g_variant_get_fixed_array(traits, &count, sizeof(crash->traits[0]));

	crash->trait_count = (uint32_t)MIN(count, QUARANTINE_MAX_TRAITS);
	for (uint32_t i = 0; i < crash->trait_count; i++)
		crash->traits[i] = ids[i];
	g_array_append_vals(crashes, crash, 1);
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
	GVariant *traits;
	struct quarantine_crash crash = { 0 };
	const uint64_t *stored_ids;
	gsize stored_count = 0;
	guint64 trait;
	gboolean is_request;
	guint32 time_ms;
	guint32 duration_ms;

	if (!g_variant_is_normal_form(root))
		return false;
	g_variant_get(root, CRASH_GUARD_MESSAGE_FORMAT, &crashes, &cleared, &entries, &stored);
	stored_ids = g_variant_get_fixed_array(stored, &stored_count, sizeof(uint64_t));
	g_array_append_vals(out->stored, stored_ids, (guint)stored_count);
	while (g_variant_iter_next(crashes, "(tttu@at)", &crash.upstream, &crash.request,
				   &crash.attempt, &time_ms, &traits)) {
		crash.at_us = crash_guard_message_time(now_us, time_ms);
		crash_guard_message_add_crash(out->crashes, &crash, traits);
		g_variant_unref(traits);
	}
	while (g_variant_iter_next(cleared, CRASH_GUARD_CLEARED_TYPE, &trait, &is_request,
				   &time_ms)) {
		struct crash_guard_cleared news = { trait,
						    crash_guard_message_time(now_us, time_ms),
						    is_request };

		g_array_append_val(out->cleared, news);
	}
	while (g_variant_iter_next(entries, CRASH_GUARD_ENTRY_TYPE, &trait, &is_request, &time_ms,
				   &duration_ms)) {
		struct quarantine_entry entry = { .trait = trait,
						  .until_us = now_us + time_ms * 1000ULL,
						  .duration_us = duration_ms * 1000ULL,
						  .is_request = is_request };

		g_array_append_val(out->entries, entry);
	}
	return true;
}
