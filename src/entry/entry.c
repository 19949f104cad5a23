#include "entry_internal.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define ENTRY_TICK_MS	   20
#define ENTRY_DRAIN_MS	   50
#define ENTRY_OPERATOR_MAX (1 << 20)

static void entry_on_tick(uv_timer_t *timer);
static void entry_on_drain(uv_timer_t *timer);
static void entry_on_signal(uv_signal_t *signal, int number);
static void entry_on_member(void *ctx, const struct member_record *record, enum member_state state);
static bool entry_open_ports(struct entry *entry, GError **error);
static bool entry_write_ports(const struct entry *entry, GError **error);

/* lifetime */

static void entry_service_free(gpointer data)
{
	struct entry_service *service = data;

	g_hash_table_destroy(service->len_by_customer);
	length_survival_destroy(service->len);
	g_free(service);
}

static void entry_add_services(struct entry *entry)
{
	entry->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_service_free);
	for (uint32_t i = 0; i < entry->set->service_count; i++) {
		struct entry_service *service = g_new0(struct entry_service, 1);

		service->set = &entry->set->services[i];
		retry_bucket_init(&service->retry);
		service->len = length_survival_create(NULL);
		service->len_by_customer = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, (GDestroyNotify)length_survival_destroy);
		g_hash_table_insert(entry->services, service->set->name, service);
	}
}

static void entry_join(struct entry *entry)
{
	struct member_record self = { .incarnation = entry->incarnation };

	g_strlcpy(self.id, entry->set->instance, sizeof(self.id));
	g_strlcpy(self.zone, entry->set->zone, sizeof(self.zone));
	g_strlcpy(self.address, entry->bus_address, sizeof(self.address));
	entry->membership = membership_create(&self, entry_on_member, entry);
}

static void entry_tell_soon(struct entry *entry)
{
	gossip_urgent(entry->gossip);
}

static void entry_tell_leaving(struct entry *entry, const struct upstream *up)
{
	gossip_leaving(entry->gossip, upstream_id(up), upstream_address(up));
}

struct entry *entry_create(struct settings *set, GError **error)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->loop = uv_default_loop();
	entry->set = set;
	entry->incarnation = entry_wall_ms();
	entry->metric = metric_create();
	entry->cli = http_client_create(entry->loop);
	entry->table = table_http_create(entry->cli, set->platform, entry->metric);
	entry->profile_config = profile_config_create();
	entry->pool = pool_create(set->zone, set->region, entry->incarnation);
	entry->queue = wfq_create();
	entry->limiter = limiter_create();
	byte_budget_init(&entry->far, set->region_bytes_per_s, entry_now_us());
	entry->generations = g_hash_table_new(NULL, NULL);
	entry_add_services(entry);
	uv_timer_init(entry->loop, &entry->tick);
	uv_timer_init(entry->loop, &entry->drain);
	uv_signal_init(entry->loop, &entry->terminate);
	uv_signal_init(entry->loop, &entry->interrupt);
	entry->tick.data = entry;
	entry->drain.data = entry;
	entry->terminate.data = entry;
	entry->interrupt.data = entry;
	if (!entry_open_ports(entry, error)) {
		entry_destroy(entry);
		return NULL;
	}
	entry_join(entry);
	entry->tell_soon = entry_tell_soon;
	entry->tell_leaving = entry_tell_leaving;
	entry->held = genreq_held;
	entry->gossip = gossip_create(entry);
	entry->watch = watch_create(entry);
	entry->orders = orders_create(entry);
	entry->accounts = accounts_create(entry);
	entry->collect = collect_create(entry);
	uv_timer_start(&entry->tick, entry_on_tick, ENTRY_TICK_MS, ENTRY_TICK_MS);
	uv_signal_start(&entry->terminate, entry_on_signal, SIGTERM);
	uv_signal_start(&entry->interrupt, entry_on_signal, SIGINT);
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
	entry_close_handle((uv_handle_t *)&entry->tick);
	entry_close_handle((uv_handle_t *)&entry->drain);
	entry_close_handle((uv_handle_t *)&entry->terminate);
	entry_close_handle((uv_handle_t *)&entry->interrupt);
	watch_destroy(entry->watch);
	gossip_destroy(entry->gossip);
	orders_destroy(entry->orders);
	accounts_destroy(entry->accounts);
	collect_destroy(entry->collect);
	bus_destroy(entry->bus);
	/* Lets close callbacks run; idle connections of callers end with the process. */
	uv_run(entry->loop, UV_RUN_NOWAIT);
	uv_run(entry->loop, UV_RUN_NOWAIT);
	membership_destroy(entry->membership);
	limiter_destroy(entry->limiter);
	wfq_destroy(entry->queue);
	pool_destroy(entry->pool);
	profile_config_destroy(entry->profile_config);
	table_http_destroy(entry->table);
	g_hash_table_destroy(entry->generations);
	g_hash_table_destroy(entry->services);
	metric_destroy(entry->metric);
	settings_destroy(entry->set);
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
	entry->drain_from_us = entry_now_us();
	log_event(LOG_STOPPING, NULL);
	membership_set_leaving(entry->membership);
	gossip_urgent(entry->gossip);
	/* The balancer needs its time to see that the instance is not ready. */
	uv_timer_start(&entry->drain, entry_on_drain, entry->set->drain.ready_lag_ms,
		       ENTRY_DRAIN_MS);
}

static void entry_on_drain(uv_timer_t *timer)
{
	struct entry *entry = timer->data;
	uint64_t open_us = entry_now_us() - entry->drain_from_us;
	uint64_t deadline_us = entry->set->drain.deadline_ms * 1000;

	http_server_drain(entry->callers);
	if (http_server_open_requests(entry->callers) == 0 && entry->background == 0 &&
	    g_hash_table_size(entry->generations) == 0) {
		log_event(LOG_STOPPED, NULL);
		uv_stop(entry->loop);
	} else if (deadline_us && open_us > deadline_us && !entry->drain_warned) {
		/* A request is never cut short; the deadline only raises the alarm. */
		entry->drain_warned = true;
		log_event(LOG_DRAIN_DEADLINE, NULL);
	}
}

static void entry_on_tick(uv_timer_t *timer)
{
	struct entry *entry = timer->data;

	generate_tick(entry);
}

static void entry_on_member(void *ctx, const struct member_record *record, enum member_state state)
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

static void entry_log_port(const char *what, const char *address, uint16_t port)
{
	char text[8];

	snprintf(text, sizeof(text), "%u", port);
	log_event(LOG_LISTENING, "port", what, "address", address, "number", text, NULL);
}

static bool entry_open_ports(struct entry *entry, GError **error)
{
	const struct settings *set = entry->set;
	struct http_server_conf callers = { .address = set->caller.address,
					    .port = (uint16_t)set->caller.port,
					    .max_body_bytes = (uint32_t)set->max_body_bytes,
					    .cert_file = set->caller.certificate_file,
					    .key_file = set->caller.key_file };
	struct http_server_conf operators = { .address = set->operator_port.address,
					      .port = (uint16_t)set->operator_port.port,
					      .max_body_bytes = ENTRY_OPERATOR_MAX };
	struct bus_options bus = { set->bus.address, (uint16_t)set->bus.port, set->bus_public_key,
				   set->bus_secret_key };

	entry->bus = bus_create(entry->loop, &bus, gossip_receive, entry, error);
	if (!entry->bus)
		return false;
	entry->bus_address = g_strdup_printf("%s:%u", bus.address, bus_port(entry->bus));
	entry->callers = http_server_create(entry->loop, &callers, router_caller, entry, error);
	if (!entry->callers)
		return false;
	entry->operators =
		http_server_create(entry->loop, &operators, router_operator, entry, error);
	if (!entry->operators)
		return false;
	entry_log_port("caller", callers.address, http_server_port(entry->callers));
	entry_log_port("operator", operators.address, http_server_port(entry->operators));
	entry_log_port("bus", bus.address, bus_port(entry->bus));
	return true;
}

static bool entry_write_ports(const struct entry *entry, GError **error)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) cause = NULL;

	if (!entry->set->ports_file)
		return true;
	text = g_strdup_printf("caller=%u\noperator=%u\nbus=%u\n", http_server_port(entry->callers),
			       http_server_port(entry->operators), bus_port(entry->bus));
	if (g_file_set_contents(entry->set->ports_file, text, -1, &cause))
		return true;
	g_set_error(error, ERR_DOMAIN, ERR_IO, "cannot write %s: %s", entry->set->ports_file,
		    cause->message);
	return false;
}
