#include "entry_internal.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ENTRY_TICK_MS		      20
#define ENTRY_DRAIN_CHECK_INTERVAL_MS 50
#define ENTRY_OPERATOR_MAX_BODY_BYTES (1 << 20)

static void entry_on_tick(uv_timer_t *timer);
static void entry_on_drain(uv_timer_t *timer);
static void entry_on_signal(uv_signal_t *signal, int number);
static void entry_on_member_change(void *ctx, const struct member_record *record,
				   enum member_state state);
static bool entry_open_ports(struct entry *entry, GError **error);
static bool entry_write_ports(const struct entry *entry, GError **error);

/* lifetime */

static void entry_service_free(gpointer data)
{
	struct entry_service *service = data;

	g_hash_table_destroy(service->estimates_by_customer);
	length_survival_destroy(service->length_estimate);
	g_free(service);
}

static void entry_add_services(struct entry *entry)
{
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_service_free);
	for (uint32_t i = 0; i < entry->settings->service_count; i++) {
		struct entry_service *service = g_new0(struct entry_service, 1);

		service->settings = &entry->settings->services[i];
		retry_bucket_init(&service->retry);
		service->length_estimate = length_survival_create(NULL);
		service->estimates_by_customer = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, (GDestroyNotify)length_survival_destroy);
		g_hash_table_insert(entry->services, service->settings->name, service);
	}
}

static void entry_create_membership(struct entry *entry)
{
	struct member_record self = { .incarnation = entry->incarnation };

	g_strlcpy(self.id, entry->settings->instance, sizeof(self.id));
	g_strlcpy(self.zone, entry->settings->zone, sizeof(self.zone));
	g_strlcpy(self.address, entry->bus_address, sizeof(self.address));
	entry->membership = membership_create(&self, entry_on_member_change, entry);
}

static void entry_announce_soon(struct entry *entry)
{
	gossip_send_soon(entry->gossip);
}

static void entry_announce_leaving(struct entry *entry, const struct upstream *up)
{
	gossip_announce_leaving(entry->gossip, upstream_id(up), upstream_address(up));
}

struct entry *entry_create(struct settings *settings, GError **error)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->loop = uv_default_loop();
	entry->settings = settings;
	entry->incarnation = entry_wall_ms();
	entry->metric = metric_create();
	entry->client = http_client_create(entry->loop);
	entry->table = table_http_create(entry->client, settings->platform, entry->metric);
	entry->profile_config = profile_config_create();
	entry->pool = pool_create(settings->zone, settings->region, entry->incarnation);
	entry->queue = wfq_create();
	entry->customer_limits = limiter_create();
	byte_budget_init(&entry->cross_region_budget, settings->region_bytes_per_s, entry_now_us());
	entry->generations = g_hash_table_new(NULL, NULL);
	entry_add_services(entry);
	uv_timer_init(entry->loop, &entry->tick_timer);
	uv_timer_init(entry->loop, &entry->drain_timer);
	uv_signal_init(entry->loop, &entry->sigterm);
	uv_signal_init(entry->loop, &entry->sigint);
	entry->tick_timer.data = entry;
	entry->drain_timer.data = entry;
	entry->sigterm.data = entry;
	entry->sigint.data = entry;
	if (!entry_open_ports(entry, error)) {
		entry_destroy(entry);
		return NULL;
	}
	entry_create_membership(entry);
	entry->announce_soon = entry_announce_soon;
	entry->announce_leaving = entry_announce_leaving;
	entry->kv_tokens_held = genreq_kv_tokens;
	entry->gossip = gossip_create(entry);
	entry->poller = poller_create(entry);
	entry->orders = orders_create(entry);
	entry->accounting = accounting_create(entry);
	entry->claim_gc = claim_gc_create(entry);
	uv_timer_start(&entry->tick_timer, entry_on_tick, ENTRY_TICK_MS, ENTRY_TICK_MS);
	uv_signal_start(&entry->sigterm, entry_on_signal, SIGTERM);
	uv_signal_start(&entry->sigint, entry_on_signal, SIGINT);
	if (!entry_write_ports(entry, error)) {
		entry_destroy(entry);
		return NULL;
	}
	return entry;
}

static void entry_close_handle(uv_handle_t *handle)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

void entry_destroy(struct entry *entry)
{
	if (!entry)
		return;
	entry_close_handle((uv_handle_t *)&entry->tick_timer);
	entry_close_handle((uv_handle_t *)&entry->drain_timer);
	entry_close_handle((uv_handle_t *)&entry->sigterm);
	entry_close_handle((uv_handle_t *)&entry->sigint);
	poller_destroy(entry->poller);
	gossip_destroy(entry->gossip);
	orders_destroy(entry->orders);
	accounting_destroy(entry->accounting);
	claim_gc_destroy(entry->claim_gc);
	bus_destroy(entry->bus);
	/* Runs the close callbacks; idle connections of callers end with the process. */
	uv_run(entry->loop, UV_RUN_NOWAIT);
	uv_run(entry->loop, UV_RUN_NOWAIT);
	membership_destroy(entry->membership);
	limiter_destroy(entry->customer_limits);
	wfq_destroy(entry->queue);
	pool_destroy(entry->pool);
	profile_config_destroy(entry->profile_config);
	table_http_destroy(entry->table);
	g_hash_table_destroy(entry->generations);
	g_hash_table_destroy(entry->services);
	metric_destroy(entry->metric);
	settings_destroy(entry->settings);
	g_free(entry->bus_address);
	g_free(entry);
}

/* commands */

void entry_run(struct entry *entry)
{
	uv_run(entry->loop, UV_RUN_DEFAULT);
}

static void entry_on_signal(uv_signal_t *signal, int number)
{
	struct entry *entry = signal->data;

	(void)number;
	if (entry->stopping)
		return;
	entry->stopping = true;
	entry->drain_started_us = entry_now_us();
	log_event(LOG_STOPPING, NULL);
	membership_set_leaving(entry->membership);
	gossip_send_soon(entry->gossip);
	/* The load balancer in front needs some time to see that the instance is not ready. */
	uv_timer_start(&entry->drain_timer, entry_on_drain, entry->settings->drain.ready_lag_ms,
		       ENTRY_DRAIN_CHECK_INTERVAL_MS);
}

static void entry_on_drain(uv_timer_t *timer)
{
	struct entry *entry = timer->data;
	uint64_t drain_us = entry_now_us() - entry->drain_started_us;
	uint64_t deadline_us = entry->settings->drain.deadline_ms * 1000;

	http_server_drain(entry->caller_server);
	if (http_server_open_requests(entry->caller_server) == 0 && entry->background_count == 0 &&
	    g_hash_table_size(entry->generations) == 0) {
		log_event(LOG_STOPPED, NULL);
		uv_stop(entry->loop);
	} else if (deadline_us && drain_us > deadline_us && !entry->drain_deadline_logged) {
		/* Open requests are never aborted; passing the deadline is only logged. */
		entry->drain_deadline_logged = true;
		log_event(LOG_DRAIN_DEADLINE, NULL);
	}
}

static void entry_on_tick(uv_timer_t *timer)
{
	struct entry *entry = timer->data;

	generate_tick(entry);
}

static void entry_on_member_change(void *ctx, const struct member_record *record,
				   enum member_state state)
{
	struct entry *entry = ctx;
	static const enum log_event_id events[MEMBER_STATE_COUNT] = {
		LOG_MEMBER_JOINED, LOG_MEMBER_SUSPECT, LOG_MEMBER_DEAD, LOG_MEMBER_DEAD
	};

	log_event(events[state], "member", record->id, "zone", record->zone, "state",
		  member_state_name(state), NULL);
	metric_set(entry->metric, METRIC_MEMBERS, membership_live_count(entry->membership));
}

/* helpers */

static void entry_log_port(const char *name, const char *address, uint16_t port)
{
	char text[8];

	snprintf(text, sizeof(text), "%u", port);
	log_event(LOG_LISTENING, "port", name, "address", address, "number", text, NULL);
}

static bool entry_open_ports(struct entry *entry, GError **error)
{
	const struct settings *settings = entry->settings;
	struct http_server_conf caller_conf = { .address = settings->caller.address,
						.port = (uint16_t)settings->caller.port,
						.max_body_bytes =
							(uint32_t)settings->max_body_bytes,
						.cert_file = settings->caller.certificate_file,
						.key_file = settings->caller.key_file };
	struct http_server_conf operator_conf = { .address = settings->operator_port.address,
						  .port = (uint16_t)settings->operator_port.port,
						  .max_body_bytes = ENTRY_OPERATOR_MAX_BODY_BYTES };
	struct bus_options bus_options = { settings->bus.address, (uint16_t)settings->bus.port,
					   settings->bus_public_key, settings->bus_secret_key };

	entry->bus = bus_create(entry->loop, &bus_options, gossip_receive, entry, error);
	if (!entry->bus)
		return false;
	entry->bus_address = g_strdup_printf("%s:%u", bus_options.address, bus_port(entry->bus));
	entry->caller_server =
		http_server_create(entry->loop, &caller_conf, router_handle_caller, entry, error);
	if (!entry->caller_server)
		return false;
	entry->operator_server = http_server_create(entry->loop, &operator_conf,
						    router_handle_operator, entry, error);
	if (!entry->operator_server)
		return false;
	entry_log_port("caller", caller_conf.address, http_server_port(entry->caller_server));
	entry_log_port("operator", operator_conf.address, http_server_port(entry->operator_server));
	entry_log_port("bus", bus_options.address, bus_port(entry->bus));
	return true;
}

static bool entry_write_ports(const struct entry *entry, GError **error)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) cause = NULL;

	if (!entry->settings->ports_file)
		return true;
	text = g_strdup_printf("caller=%u\noperator=%u\nbus=%u\n",
			       http_server_port(entry->caller_server),
			       http_server_port(entry->operator_server), bus_port(entry->bus));
	if (g_file_set_contents(entry->settings->ports_file, text, -1, &cause))
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_IO, "cannot write %s: %s", entry->settings->ports_file,
		    cause->message);
	return false;
}
