/**
 * @file metric.h
 * Counters, gauges and histograms of one process, exported to Prometheus.
 *
 * Every metric is one row of METRIC_COUNTERS, METRIC_GAUGES or
 * METRIC_HISTOGRAMS: symbol, name without the prefix flamingolatch_, help text.
 * Operators' tools read the names, so these must not change, even where the symbol
 * uses another word.
 *
 * Order of calls: metric_create(); metric_add(), metric_set() and
 * metric_observe(), which allocate nothing; metric_write_prometheus() for each
 * scrape; metric_destroy(). Not thread-safe.
 */
#ifndef FLAMINGOLATCH_METRIC_H
#define FLAMINGOLATCH_METRIC_H

#include <glib.h>
#include <stdint.h>

// clang-format off
#define METRIC_COUNTERS(X) \
	X(METRIC_REQUESTS, "requests_total", "Requests received on the caller port.") \
	X(METRIC_GENERATIONS, "generations_total", "Generations admitted to an engine.") \
	X(METRIC_GENERATIONS_DONE, "generations_done_total", "Generations whose whole output was relayed to the caller.") \
	X(METRIC_GENERATIONS_LOST, "generations_lost_total", "Generations that could not be completed.") \
	X(METRIC_EVENTS_FOREIGN, "events_foreign_total", "Attempts ended because the engine sent other bytes than events of the stream.") \
	X(METRIC_DEPARTURES, "upstream_departures_total", "Upstreams that said in an answer that they leave.") \
	X(METRIC_QUIET_ASKED, "upstream_quiet_asked_total", "Answers by which an upstream asked to be left alone for a time.") \
	X(METRIC_STOP_REFUSED, "stop_refused_total", "Requests refused because the instance stops and could not answer them for certain.") \
	X(METRIC_QUIET_REFUSED, "upstream_quiet_refused_total", "Requests refused because all upstreams of the service asked to be left alone.") \
	X(METRIC_TOKENS, "tokens_total", "Tokens relayed to callers.") \
	X(METRIC_TOKENS_DROPPED, "tokens_dropped_total", "Tokens dropped because they were repeated or belonged to an older epoch.") \
	X(METRIC_RESUMES, "resumes_total", "Streams resumed by this instance after an interruption or a migration.") \
	X(METRIC_STALLS, "stalls_total", "Streams without progress for the time that the profile allows.") \
	X(METRIC_PREEMPTIONS, "preemptions_total", "Preemptions reported by engines on relayed streams.") \
	X(METRIC_CALLS, "calls_total", "Plain-service calls answered by the service.") \
	X(METRIC_CALLS_UNKNOWN, "calls_unknown_total", "Non-idempotent calls whose outcome is unknown.") \
	X(METRIC_CALL_ANSWERS_REPLAYED, "calls_replayed_total", "Calls answered with a recorded answer.") \
	X(METRIC_RETRIES, "retries_total", "Retries sent within the retry budget.") \
	X(METRIC_HEDGES_SENT, "hedges_sent_total", "Calls sent to a second upstream while the first had not answered.") \
	X(METRIC_HEDGES_WON, "hedges_won_total", "Hedged requests answered before the first request, or that went on when it failed.") \
	X(METRIC_HEDGES_CANCELLED, "hedges_cancelled_total", "Hedged requests cancelled since the first request was answered or the request ended.") \
	X(METRIC_HEDGES_WITHHELD_SHARE, "hedges_withheld_share_total", "Calls not hedged when due since load.hedge_share was used up.") \
	X(METRIC_HEDGES_WITHHELD_BUDGET, "hedges_withheld_budget_total", "Calls not hedged when due since less than half of the retry budget was left.") \
	X(METRIC_HEDGES_WITHHELD_BUSY, "hedges_withheld_busy_total", "Calls not hedged when due since the upstreams of the service were busy.") \
	X(METRIC_HEDGES_WITHHELD_LOSING, "hedges_withheld_losing_total", "Calls not hedged when due since hedged requests rarely win.") \
	X(METRIC_HEDGES_WITHHELD_UPSTREAM, "hedges_withheld_upstream_total", "Calls not hedged when due since no other upstream was sound, quick and free.") \
	X(METRIC_HEDGES_WITHHELD_OTHER, "hedges_withheld_other_total", "Calls not hedged when due since the instance stops, too little time or no attempt is left, or the request is suspect.") \
	X(METRIC_PATH_LOST, "path_lost_total", "Times that the paths to all upstreams were found to be lost.") \
	X(METRIC_PASSED_ON, "passed_on_total", "Requests sent to another instance, as no upstream can be reached from here; each sending counts.") \
	X(METRIC_PASSED_ON_REFUSED, "passed_on_refused_total", "Requests that another instance did not run, or that could not be sent to it.") \
	X(METRIC_PASSED_ON_FAILED, "passed_on_failed_total", "Requests that got no whole answer from another instance and may have run.") \
	X(METRIC_TAKEN_OVER, "taken_over_total", "Requests that other instances sent here, as they can reach no upstream.") \
	X(METRIC_TAKEN_OVER_REFUSED, "taken_over_refused_total", "Requests of other instances refused, as no upstream can be reached from here either.") \
	X(METRIC_REFUSED, "refused_total", "Requests refused with ran=not_run.") \
	X(METRIC_TABLE_READS, "table_reads_total", "Reads sent to the table.") \
	X(METRIC_TABLE_WRITES, "table_writes_total", "Conditional writes sent to the table.") \
	X(METRIC_TABLE_ERRORS, "table_errors_total", "Table calls whose outcome is unknown.") \
	X(METRIC_STORE_CONFIG_CALLS, "store_config_calls_total", "Calls to the store that read or watch the configuration.") \
	X(METRIC_STORE_LIST_CALLS, "store_list_calls_total", "Calls to the store that read or watch the instance list.") \
	X(METRIC_STORE_ROWS_UNCHANGED, "store_unchanged_rows_total", "Entries of the instance list that the store sent and that changed nothing.") \
	X(METRIC_STORE_PROBES, "store_probes_total", "Calls to the store that check whether it answers again.") \
	X(METRIC_STORE_PEER_READS, "store_peer_reads_total", "Calls to the store that read the rows of the gateway instances.") \
	X(METRIC_STORE_OWN_ROW_WRITES, "store_own_row_writes_total", "Calls to the store that write or remove the row of this instance.") \
	X(METRIC_STORE_QUARANTINE_WRITES, "store_quarantine_writes_total", "Calls to the store that write or remove the row of a quarantined prompt part or request.") \
	X(METRIC_STORE_STREAM_READS, "store_stream_reads_total", "Calls to the store that read the versions of streams.") \
	X(METRIC_STORE_STREAM_WRITES, "store_stream_writes_total", "Calls to the store that write versions of streams or services, or remove them.") \
	X(METRIC_STREAM_LOOKUPS, "stream_lookups_total", "Resumed streams whose version was asked of the store.") \
	X(METRIC_STREAM_LOOKUPS_FAILED, "stream_lookups_failed_total", "Resumed streams refused because their version is not known.") \
	X(METRIC_STORE_BYTES_RECEIVED, "store_received_bytes_total", "Bytes in the bodies of the store's answers.") \
	X(METRIC_BUS_MESSAGES_SENT, "bus_sent_total", "Messages sent to peers.") \
	X(METRIC_BUS_BYTES_SENT, "bus_sent_bytes_total", "Bytes sent to peers.") \
	X(METRIC_BUS_REPORT_BYTES_ZONE, "bus_zone_report_bytes_total", "Bytes of load reports sent to peers of the own zone.") \
	X(METRIC_BUS_REPORT_BYTES_REGION, "bus_region_report_bytes_total", "Bytes of load reports sent to other zones of the own region.") \
	X(METRIC_BUS_REPORT_BYTES_FAR, "bus_far_report_bytes_total", "Bytes of load reports sent to other regions.") \
	X(METRIC_BUS_DELEGATION_BYTES, "bus_delegation_bytes_total", "Bytes of messages by which one instance watches the store for others.") \
	X(METRIC_BUS_LISTS_SENT, "bus_lists_sent_total", "Whole instance lists sent to instances that lacked more than the last changes.") \
	X(METRIC_LIST_DIFFERENCES, "list_differences_total", "Dependents whose instance list differed from that of this instance at the same version of the store.") \
	X(METRIC_BUS_QUARANTINE_BYTES, "bus_quarantine_bytes_total", "Bytes of messages on prompt parts and requests that crash upstreams.") \
	X(METRIC_BUS_LIMIT_BYTES, "bus_limit_bytes_total", "Bytes of messages on limits that upstreams name.") \
	X(METRIC_BUS_SPEED_BYTES, "bus_speed_bytes_total", "Bytes of messages on learned speeds of upstreams.") \
	X(METRIC_BUS_MESSAGES_RECEIVED, "bus_received_total", "Messages received from peers.") \
	X(METRIC_BUS_MESSAGES_INVALID, "bus_bad_total", "Messages from peers that could not be decoded.") \
	X(METRIC_CLAIM_ROWS_DELETED, "rows_collected_total", "Claim rows of finished calls deleted after their time to live.") \
	X(METRIC_CRASHED_STARTS, "crashed_starts_total", "Attempts whose connection to the upstream broke before the answer made progress.") \
	X(METRIC_QUARANTINE_REFUSED, "quarantine_refused_total", "Requests refused because they or a part of their prompt are quarantined or held back.") \
	X(METRIC_LIMIT_REFUSED, "limit_refused_total", "Requests refused because the upstreams of the service take no more, by the limits that they name.") \
	X(METRIC_EVACUATION_REFUSED, "evacuation_refused_total", "Requests refused because all upstreams of the service are in evacuated zones, or may be.") \
	X(METRIC_COLD_REQUESTS, "cold_requests_total", "Requests sent to upstreams that were cold or warming up.") \
	X(METRIC_ENGINE_ORDERS, "orders_total", "Orders sent to engines.") \
	X(METRIC_CONNECTION_CLOSE_ANSWERS, "closing_answers_total", "Generation answers after which the engine closes the connection.") \
	X(METRIC_ADMISSION_LATE, "admission_late_refused_total", "Generations refused because their first event would be late, for services with urgent routes.") \
	X(METRIC_ADMISSION_WAITED, "admission_waited_refused_total", "Generations refused because no engine had room while they waited, for services with urgent routes.") \
	X(METRIC_ADMISSION_FULL, "admission_full_refused_total", "Generations refused because the queue was full, for services with urgent routes.") \
	X(METRIC_QUEUE_OVERTAKES, "queue_overtakes_total", "Queued generations placed before one that had no room.") \
	X(METRIC_BUS_ADMISSION_BYTES, "bus_admission_bytes_total", "Bytes of messages on the demand of urgent generations.") \
	X(METRIC_GENERATIONS_SPILLED, "spilled_total", "Generations sent to another availability zone.")
#define METRIC_GAUGES(X) \
	X(METRIC_OPEN_REQUESTS, "open_requests", "Requests whose answer is not complete yet.") \
	X(METRIC_BUFFERED_BYTES, "buffered_bytes", "Bytes buffered for open requests: of answers, and of what callers have not read.") \
	X(METRIC_QUEUED_REQUESTS, "queued_requests", "Generations queued for an engine, and calls for upstreams that are left alone.") \
	X(METRIC_MEMBERS, "members", "Instances considered alive, this one included.") \
	X(METRIC_UPSTREAMS, "upstreams", "Upstream instances known.") \
	X(METRIC_EVACUATED_ZONES, "evacuated_zones", "Zones to whose upstreams no new requests are sent.") \
	X(METRIC_COLD_UPSTREAMS, "cold_upstreams", "Upstreams that are cold or warming up, of services that limit the requests to those.") \
	X(METRIC_QUARANTINED, "quarantined", "Prompt parts and requests that are not sent to upstreams.") \
	X(METRIC_SERVICES_UNEVEN, "uneven_services", "Services whose upstreams are placed by their learned speeds.") \
	X(METRIC_CONFIG_REVISION, "config_revision", "Configuration revision in force here.") \
	X(METRIC_CONFIG_CONFIRMED_AGE_MS, "config_confirmed_age_ms", "Time since the revision was last confirmed as the newest.") \
	X(METRIC_OTHER_FILL, "other_fill_permille", "Share of each KV cache that other than urgent generations may fill, in thousandths; 0 without urgent routes.") \
	X(METRIC_PATH_IS_LOST, "path_lost", "1 while the paths to all upstreams count as lost.") \
	X(METRIC_TABLE_REACHABLE, "table_reachable", "1 when the last table call was answered.")
#define METRIC_HISTOGRAMS(X) \
	X(METRIC_FIRST_TOKEN_US, "first_token_us", "Time from request to first token.") \
	X(METRIC_TOKEN_GAP_US, "token_gap_us", "Time between tokens of one stream.") \
	X(METRIC_QUEUE_US, "queue_us", "Time from arrival of a generation until its placement on an engine.") \
	X(METRIC_MIGRATION_CALL_US, "move_us", "Duration of calls that migrate a running generation.") \
	X(METRIC_CALL_US, "call_us", "Duration of plain-service calls.")
// clang-format on

enum metric_counter {
#define METRIC_SYMBOL(sym, name, help) sym,
	METRIC_COUNTERS(METRIC_SYMBOL) METRIC_COUNTER_COUNT
};

enum metric_gauge {
	METRIC_GAUGES(METRIC_SYMBOL) METRIC_GAUGE_COUNT
};

enum metric_histogram {
	METRIC_HISTOGRAMS(METRIC_SYMBOL) METRIC_HISTOGRAM_COUNT
#undef METRIC_SYMBOL
};

struct metric;

struct metric *metric_create(void);
void metric_destroy(struct metric *metric);

/** Adds to a counter. */
void metric_add(struct metric *metric, enum metric_counter id, uint64_t by);
void metric_set(struct metric *metric, enum metric_gauge id, int64_t value);
/** Counts a duration in microseconds into a histogram with power-of-two buckets. */
void metric_observe(struct metric *metric, enum metric_histogram id, uint64_t value_us);

/** Returns the value of a counter. */
uint64_t metric_get(const struct metric *metric, enum metric_counter id);
/** Appends all metrics in the Prometheus text format. */
void metric_write_prometheus(const struct metric *metric, GString *out);

#endif
