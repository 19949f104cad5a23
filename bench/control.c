/**
 * @file control.c
 * Cost of control for an entry instance, and propagation times.
 *
 * Real entry processes on loopback without load; the list describes replicas
 * that stand-ins answer for. For each size: processor time, memory, messages
 * and bytes of one entry, table reads and writes in all, and the time until a
 * change is in force, a leaving engine and a dead entry are known on all.
 */
#include "cluster.h"
#include "usage.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US  1000000
#define MEASURE_US (10 * SECOND_US)
#define STEP_US	   20000
#define LIMIT_US   (30 * SECOND_US)

struct size {
	uint32_t entries;
	uint32_t replicas;
};

static const struct size sizes[] = { { 4, 25 },	 { 8, 25 },  { 16, 25 }, { 32, 25 },
				     { 8, 150 }, { 8, 300 }, { 8, 600 }, { 32, 600 } };

/* Counters of one moment, summed over all entries. */
struct sample {
	double cpu_s;
	double sent;
	double sent_bytes;
	double reads;
	double writes;
};

static struct sample take_sample(struct cluster *cluster, uint32_t entries)
{
	struct sample sample = { 0 };

	for (uint32_t i = 0; i < entries; i++) {
		struct usage usage = usage_of(cluster_entry_pid(cluster, i));

		sample.cpu_s += usage.user_s + usage.system_s;
		sample.sent += (double)cluster_metric(cluster, i, "bus_sent_total");
		sample.sent_bytes += (double)cluster_metric(cluster, i, "bus_sent_bytes_total");
		sample.reads += (double)cluster_metric(cluster, i, "table_reads_total");
		sample.writes += (double)cluster_metric(cluster, i, "table_writes_total");
	}
	return sample;
}

/* Counts members or upstreams of an entry that are in a state. */
static uint32_t count_state(struct cluster *cluster, uint32_t entry, const char *list,
			    const char *state)
{
	json_t *root = cluster_entry_state(cluster, entry);
	const json_t *items = json_object_get(root, list);
	uint32_t count = 0;

	for (size_t i = 0; i < json_array_size(items); i++) {
		const char *have =
			json_string_value(json_object_get(json_array_get(items, i), "state"));

		count += have && strcmp(have, state) == 0;
	}
	json_decref(root);
	return count;
}

/* Time until every entry from @p first on has at least @p least in the state. */
static double until_all(struct cluster *cluster, uint32_t first, uint32_t entries, const char *list,
			const char *state, uint32_t least)
{
	gint64 from = g_get_monotonic_time();

	for (uint32_t i = first; i < entries; i++) {
		while (count_state(cluster, i, list, state) < least &&
		       g_get_monotonic_time() - from < LIMIT_US)
			g_usleep(STEP_US);
	}
	return (double)(g_get_monotonic_time() - from) / SECOND_US;
}

static double change_in_force(struct cluster *cluster, uint32_t entries)
{
	g_autofree char *file = g_build_filename(cluster_dir(cluster), "change.yaml", NULL);
	uint64_t before = cluster_metric(cluster, 0, "config_revision");
	gint64 from;

	g_assert_true(
		g_file_set_contents(file, "name: calls\npriority: 4\nspill: region\n", -1, NULL));
	from = g_get_monotonic_time();
	g_assert_cmpint(
		cluster_run_operator(cluster, 0, NULL, "profile", "change", "-f", file, NULL), ==,
		0);
	for (uint32_t i = 0; i < entries; i++) {
		while (cluster_metric(cluster, i, "config_revision") <= before &&
		       g_get_monotonic_time() - from < LIMIT_US)
			g_usleep(STEP_US);
	}
	return (double)(g_get_monotonic_time() - from) / SECOND_US;
}

static void run(const struct size *size)
{
	struct cluster_conf conf = { .entries = size->entries,
				     .engines = 4,
				     .replicas = size->replicas,
				     .zones = 4,
				     .median_tokens = 20,
				     .step_us = 10000,
				     .secure_bus = true };
	struct cluster *cluster = cluster_create(&conf);
	struct sample before;
	struct sample after;
	double seconds = (double)MEASURE_US / SECOND_US;
	double entries = size->entries;
	double change_s;
	double leaving_s;
	double dead_s;
	double memory;

	until_all(cluster, 0, size->entries, "members", "alive", size->entries);
	before = take_sample(cluster, size->entries);
	g_usleep(MEASURE_US);
	after = take_sample(cluster, size->entries);
	memory = usage_resident_bytes(cluster_entry_pid(cluster, 0)) / 1e6;
	change_s = change_in_force(cluster, size->entries);
	cluster_inject_engine_fault(cluster, 0, "{\"leave\":true}");
	leaving_s = until_all(cluster, 0, size->entries, "upstreams", "leaving", 1);
	cluster_signal_entry(cluster, 0, SIGKILL);
	dead_s = until_all(cluster, 1, size->entries, "members", "dead", 1);
	printf("%7u %8u %6.2f %8.1f %8.1f %10.0f %10.2f %10.2f %8.2f %10.2f %8.2f\n", size->entries,
	       size->replicas, 100.0 * (after.cpu_s - before.cpu_s) / seconds / entries, memory,
	       (after.sent - before.sent) / seconds / entries,
	       (after.sent_bytes - before.sent_bytes) / seconds / entries,
	       (after.reads - before.reads) / seconds, (after.writes - before.writes) / seconds,
	       change_s, leaving_s, dead_s);
	fflush(stdout);
	cluster_destroy(cluster);
}

int main(int argc, char **argv)
{
	printf("entries replicas  cpu%%  rss_MB  msgs/s  sent_B/s reads/s_all writes/s_all "
	       "change_s leaving_s dead_s\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (argc < 2 || atoi(argv[1]) >= (int)sizes[i].entries)
			run(&sizes[i]);
	}
	return 0;
}
