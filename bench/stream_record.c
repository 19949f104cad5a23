/**
 * @file stream_record.c
 * Cost of the record of resumable streams with many instances in virtual time, while
 * two versions are in service: calls and bytes to the store, time until a stream has
 * its record, processor time of a row, and of a read of the table after which all
 * instances resume the streams of all.
 */
#include "flamingolatch/stream_record.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE	      "service"
#define DURATION_S    30
#define STEP_US	      20000ULL
#define CALLER_WAIT_S 40
/* Mean duration of a stream. */
#define STREAM_S       15
#define REQUESTS_PER_S 4300
/* As the gateway paces its writes. */
#define WRITES_PER_S 120

struct instance {
	struct stream_record *record;
	GQueue open; /* struct begun */
	GQueue unrecorded;
	char *row;
	uint64_t due_us;
};

struct begun {
	char *id;
	uint64_t begun_us;
	uint64_t ends_us;
};

static void begun_free(gpointer data)
{
	struct begun *begun = data;

	g_free(begun->id);
	g_free(begun);
}

struct totals {
	uint64_t writes;
	uint64_t bytes;
	uint64_t encode_us;
	uint64_t row_max_bytes;
	GArray *delays_ms;
};

static void begin(struct instance *instance, uint32_t number, GRand *rand, uint64_t now_us)
{
	struct begun *begun = g_new0(struct begun, 1);
	struct begun *copy = g_new0(struct begun, 1);

	begun->id = g_strdup_printf("%016x%u", number, g_rand_int(rand));
	begun->begun_us = now_us;
	begun->ends_us =
		now_us + (uint64_t)(g_rand_double_range(rand, 0.0, 2.0) * STREAM_S * 1000000.0);
	*copy = *begun;
	copy->id = NULL;
	stream_record_begin(instance->record, SERVICE, begun->id, number % 2 ? "v1" : "v2",
			    now_us + CALLER_WAIT_S * 1000000ULL);
	g_queue_push_tail(&instance->open, begun);
	g_queue_push_tail(&instance->unrecorded, copy);
}

static void end_streams(struct instance *instance, uint64_t now_us)
{
	GList *next;

	for (GList *item = instance->open.head; item; item = next) {
		struct begun *begun = item->data;

		next = item->next;
		if (begun->ends_us > now_us)
			continue;
		stream_record_end(instance->record, begun->id, now_us);
		g_queue_delete_link(&instance->open, item);
		begun_free(begun);
	}
	stream_record_tick(instance->record, now_us);
}

static void write_row(struct instance *instance, struct totals *totals, uint32_t instance_count,
		      uint64_t now_us)
{
	gint64 start_us = g_get_monotonic_time();
	struct begun *begun;

	g_free(instance->row);
	instance->row = stream_record_encode(instance->record, now_us, now_us / 1000);
	totals->encode_us += (uint64_t)(g_get_monotonic_time() - start_us);
	totals->writes++;
	totals->bytes += strlen(instance->row);
	totals->row_max_bytes = MAX(totals->row_max_bytes, strlen(instance->row));
	instance->due_us = now_us + instance_count * 1000000ULL / WRITES_PER_S;
	while ((begun = g_queue_pop_head(&instance->unrecorded))) {
		uint64_t delay_ms = (now_us - begun->begun_us) / 1000;

		g_array_append_val(totals->delays_ms, delay_ms);
		begun_free(begun);
	}
}

static int compare_u64(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Resumes the open streams of a few instances at one. */
static void measure_lookup(struct instance *instances, uint32_t count)
{
	struct stream_lookup *lookup = stream_lookup_create();
	gint64 start_us = g_get_monotonic_time();
	uint32_t asked = 0;
	uint32_t found = 0;
	struct stream_origin origin;

	for (GList *item = instances[0].open.head; item; item = item->next, asked++)
		stream_lookup_add(lookup, ((struct begun *)item->data)->id);
	for (uint32_t i = 0; i < count; i++) {
		if (instances[i].row)
			stream_lookup_read(lookup, "streams/x", instances[i].row);
	}
	for (GList *item = instances[0].open.head; item; item = item->next)
		found += stream_lookup_result(lookup, SERVICE, ((struct begun *)item->data)->id,
					      &origin) == STREAM_LOOKUP_RECORDED;
	printf("  a read of the table: %u questions, %u answered by a record, %.1f ms\n", asked,
	       found, (double)(g_get_monotonic_time() - start_us) / 1000.0);
	stream_lookup_destroy(lookup);
}

static void measure(uint32_t count)
{
	struct instance *instances = g_new0(struct instance, count);
	g_autoptr(GRand) rand = g_rand_new_with_seed(1);
	struct totals totals = { .delays_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t)) };
	double per_step = REQUESTS_PER_S / 340.0 * STEP_US / 1000000.0;
	uint64_t row_bytes = 0;

	for (uint32_t i = 0; i < count; i++) {
		instances[i].record = stream_record_create();
		stream_record_see(instances[i].record, SERVICE, "v1", 1);
		stream_record_see(instances[i].record, SERVICE, "v2", 1);
	}
	for (uint64_t now_us = STEP_US; now_us < DURATION_S * 1000000ULL; now_us += STEP_US) {
		for (uint32_t i = 0; i < count; i++) {
			if (g_rand_double(rand) < per_step)
				begin(&instances[i], g_rand_int(rand) % 2, rand, now_us);
			end_streams(&instances[i], now_us);
			if (now_us >= instances[i].due_us &&
			    stream_record_is_dirty(instances[i].record))
				write_row(&instances[i], &totals, count, now_us);
		}
	}
	for (uint32_t i = 0; i < count; i++)
		row_bytes += instances[i].row ? strlen(instances[i].row) : 0;
	g_array_sort(totals.delays_ms, compare_u64);
	printf("%u instances, %.0f streams/s: %.1f writes/s, %.0f bytes/s an instance, row %.0f "
	       "bytes in the mean and %" G_GUINT64_FORMAT " at most, table %.0f kB\n",
	       count, count * REQUESTS_PER_S / 340.0, (double)totals.writes / DURATION_S,
	       (double)totals.bytes / DURATION_S / count, (double)row_bytes / count,
	       totals.row_max_bytes, (double)row_bytes / 1000.0);
	printf("  recorded after %" G_GUINT64_FORMAT " ms at the median, %" G_GUINT64_FORMAT
	       " ms at p99; a row takes %.0f us\n",
	       g_array_index(totals.delays_ms, uint64_t, totals.delays_ms->len / 2),
	       g_array_index(totals.delays_ms, uint64_t, totals.delays_ms->len * 99 / 100),
	       (double)totals.encode_us / (double)totals.writes);
	measure_lookup(instances, count);
	for (uint32_t i = 0; i < count; i++) {
		stream_record_destroy(instances[i].record);
		g_queue_clear_full(&instances[i].open, begun_free);
		g_queue_clear_full(&instances[i].unrecorded, begun_free);
		g_free(instances[i].row);
	}
	g_array_free(totals.delays_ms, TRUE);
	g_free(instances);
}

int main(void)
{
	measure(6);
	measure(60);
	measure(340);
	return 0;
}
