/**
 * @file control.c
 * Cost of an entry instance without load, and propagation times, by size of the
 * deployment.
 *
 * Runs real entry instances on loopback. The instance list names more replicas than
 * run; they share the addresses of a few simulated engines. For each size it prints,
 * per entry instance, processor time, messages and bytes sent; the memory of one
 * entry instance; reads and writes of the table by all of them; and the seconds until
 * all of them apply a configuration change, know of an engine that is leaving, and
 * have declared a killed entry instance dead.
 *
 * bench_control [ENTRIES]   only sizes up to this number of entry instances
 */
#include "cluster.h"
#include "usage.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECOND_US	 1000000
#define MEASUREMENT_US	 (10 * SECOND_US)
#define POLL_INTERVAL_US 20000
#define WAIT_TIMEOUT_US	 (30 * SECOND_US)

struct deployment_size {
	uint32_t entries;
	uint32_t replicas;
};

static const struct deployment_size deployment_sizes[] = { { 4, 25 },  { 8, 25 },  { 16, 25 },
							   { 32, 25 }, { 8, 150 }, { 8, 300 },
							   { 8, 600 }, { 32, 600 } };

/* Counters read at one time, summed over all entry instances. */
struct counters {
	double cpu_s;
	double sent_messages;
	double sent_bytes;
	double reads;
	double writes;
};

static struct counters read_counters(struct cluster *cluster, uint32_t entries)
{
	struct counters counters = { 0 };

	for (uint32_t i = 0; i < entries; i++) {
		struct usage usage = usage_read(cluster_entry_pid(cluster, i));

		counters.cpu_s += usage.user_s + usage.system_s;
		counters.sent_messages += (double)cluster_metric(cluster, i, "bus_sent_total");
		counters.sent_bytes += (double)cluster_metric(cluster, i, "bus_sent_bytes_total");
		counters.reads += (double)cluster_metric(cluster, i, "table_reads_total");
		counters.writes += (double)cluster_metric(cluster, i, "table_writes_total");
	}
	return counters;
}

/* Counts the members or upstreams that an entry instance shows in a state. */
static uint32_t count_state(struct cluster *cluster, uint32_t entry, const char *list,
			    const char *state)
{
	json_t *root = cluster_entry_state(cluster, entry);
	const json_t *items = json_object_get(root, list);
	uint32_t count = 0;

	for (size_t i = 0; i < json_array_size(items); i++) {
		const char *item_state =
			json_string_value(json_object_get(json_array_get(items, i), "state"));

		count += item_state && strcmp(item_state, state) == 0;
	}
	json_decref(root);
	return count;
}

/* Returns the seconds until every entry instance from @p first on shows at least @p min_count
 * items of @p list in a state. After WAIT_TIMEOUT_US it stops waiting. */
static double seconds_until_all(struct cluster *cluster, uint32_t first, uint32_t entries,
				const char *list, const char *state, uint32_t min_count)
{
	gint64 start_us = g_get_monotonic_time();

	for (uint32_t i = first; i < entries; i++) {
		while (count_state(cluster, i, list, state) < min_count &&
		       g_get_monotonic_time() - start_us < WAIT_TIMEOUT_US)
			g_usleep(POLL_INTERVAL_US);
	}
	return (double)(g_get_monotonic_time() - start_us) / SECOND_US;
}

static double seconds_until_config_applied(struct cluster *cluster, uint32_t entries)
{
	g_autofree char *file = g_build_filename(cluster_dir(cluster), "change.yaml", NULL);
	uint64_t old_revision = cluster_metric(cluster, 0, "config_revision");
	gint64 start_us;

	g_assert_true(
		g_file_set_contents(file, "name: calls\npriority: 4\nspill: region\n", -1, NULL));
	start_us = g_get_monotonic_time();
	g_assert_cmpint(
		cluster_run_operator(cluster, 0, NULL, "profile", "change", "-f", file, NULL), ==,
		0);
	for (uint32_t i = 0; i < entries; i++) {
		while (cluster_metric(cluster, i, "config_revision") <= old_revision &&
		       g_get_monotonic_time() - start_us < WAIT_TIMEOUT_US)
			g_usleep(POLL_INTERVAL_US);
	}
	return (double)(g_get_monotonic_time() - start_us) / SECOND_US;
}

static void measure_size(const struct deployment_size *size)
{
	struct cluster_conf conf = { .entries = size->entries,
				     .engines = 4,
				     .replicas = size->replicas,
				     .zones = 4,
				     .median_tokens = 20,
				     .step_us = 10000,
				     .secure_bus = true };
	struct cluster *cluster = cluster_create(&conf);
	struct counters before;
	struct counters after;
	double seconds = (double)MEASUREMENT_US / SECOND_US;
	double entries = size->entries;
	double change_s;
	double leaving_s;
	double dead_s;
	double memory_mb;

	seconds_until_all(cluster, 0, size->entries, "members", "alive", size->entries);
	before = read_counters(cluster, size->entries);
	g_usleep(MEASUREMENT_US);
	after = read_counters(cluster, size->entries);
	memory_mb = usage_resident_bytes(cluster_entry_pid(cluster, 0)) / 1e6;
	change_s = seconds_until_config_applied(cluster, size->entries);
	cluster_inject_engine_fault(cluster, 0, "{\"leave\":true}");
	leaving_s = seconds_until_all(cluster, 0, size->entries, "upstreams", "leaving", 1);
	cluster_signal_entry(cluster, 0, SIGKILL);
	dead_s = seconds_until_all(cluster, 1, size->entries, "members", "dead", 1);
	printf("%7u %8u %6.2f %8.1f %8.1f %10.0f %10.2f %10.2f %8.2f %10.2f %8.2f\n", size->entries,
	       size->replicas, 100.0 * (after.cpu_s - before.cpu_s) / seconds / entries, memory_mb,
	       (after.sent_messages - before.sent_messages) / seconds / entries,
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
	for (size_t i = 0; i < G_N_ELEMENTS(deployment_sizes); i++) {
		if (argc < 2 || atoi(argv[1]) >= (int)deployment_sizes[i].entries)
			measure_size(&deployment_sizes[i]);
	}
	return 0;
}
