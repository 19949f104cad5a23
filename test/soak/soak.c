/**
 * @file soak.c
 * A randomized soak: gateway processes, a stand-in platform behind proxies,
 * callers, and faults that overlap. What callers and replicas see is checked
 * while it runs against the promises of the system.
 *
 * soak [--seed N] [--seeds N] [--seconds N] [--gateways N] [--engines N]
 *      [--shops N] [--callers N] [--program FILE] [--only FAULT]
 *      [--until-violation] [--verbose]
 *
 * A seed fixes the schedule of faults and requests; the processes' own timing
 * is the machine's. Ends with 1 and a line for each broken promise.
 */
#include "proxy.h"
#include "site.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SOAK_TICK_MS	    2
#define SOAK_CALM_MS	    4000 /* undisturbed for so long, an instance keeps bounds in time */
#define SOAK_DRAIN_MS	    3000
#define SOAK_CONFIG_MS	    3000
#define SOAK_RECOVER_MS	    12000
#define SOAK_REVOKED_CUT_MS (3 * SITE_REVOKE_MS) /* two bounds in which an old key may be seen */
#define SOAK_KEYS	    4
#define SOAK_KEYS_UNSEEN    "keys-unseen"
#define SOAK_LONG_TOKENS    600
#define SOAK_QUICK_TOKENS   40

struct soak_options {
	gint seed;
	gint seeds;
	gint seconds;
	gint gateways;
	gint engines;
	gint shops;
	gint callers;
	gboolean verbose;
	gboolean until_violation;
	gchar *program;
	gchar *only;
};

struct instance {
	struct site_gateway *gateway;
	struct proxy *store;
	uint64_t disturbed_ms; /* last fault on it; the future while one lasts */
	uint64_t restart_ms;   /* when it is started again; 0 while it runs */
	uint64_t wake_ms;      /* when it is continued; 0 unless it stands still */
	uint64_t heal_ms;      /* when its way to the store is sound again; 0 while it is */
	uint64_t term_ms;      /* when it was told to stop; 0 unless it stops */
	bool told_to_end;
	bool ready;
};

struct replica {
	struct stand_up *up;
	struct stand_up_conf conf;
	struct proxy *proxy;
	char *id;
	char *ip;
	bool engine;
	uint64_t heal_ms;
	uint64_t crash_ms;   /* when it ends; 0 when it stays */
	uint64_t replace_ms; /* when another takes its place; 0 while it runs */
};

/* One request of a caller. */
struct attempt {
	struct soak *soak;
	struct site_answer answer;
	struct site_request request;
	struct site_call *call;
	struct instance *instance;
	uint32_t key;
	uint64_t leave_ms; /* when its caller leaves; 0 when it stays */
	bool calm;	   /* its instance was calm when it was sent */
	bool left;
	bool checked;
};

struct key_state {
	char *name;
	bool granted;
	uint64_t changed_ms;
};

struct soak {
	struct soak_options options;
	struct site *site;
	struct stand *stand;
	GRand *rand;
	GPtrArray *instances;
	GPtrArray *replicas;
	GPtrArray *attempts;
	struct key_state keys[SOAK_KEYS];
	uint64_t store_heal_ms; /* 0 while the store is sound */
	uint64_t store_disturbed_ms;
	uint64_t fault_ms; /* when the next fault comes */
	uint64_t poll_ms;
	uint32_t replica_count;
	uint32_t violations;
	uint32_t ended;
	uint32_t good;
	uint32_t refused;
	uint32_t unknown;
	uint32_t cut;
	GHashTable *faults; /* name to count */
};

static uint64_t now_ms(void)
{
	return uv_hrtime() / 1000000;
}

static uint32_t draw(struct soak *soak, uint32_t below)
{
	return (uint32_t)g_rand_int_range(soak->rand, 0, (gint32)MAX(below, 1));
}

static void G_GNUC_PRINTF(2, 3) violation(struct soak *soak, const char *format, ...)
{
	va_list args;
	g_autofree char *text = NULL;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	soak->violations++;
	printf("violation: seed %d: %s\n", soak->options.seed, text);
	fflush(stdout);
}

static void note_fault(struct soak *soak, const char *name)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(soak->faults, name));

	g_hash_table_insert(soak->faults, (gpointer)name, GUINT_TO_POINTER(count + 1));
	if (soak->options.verbose)
		printf("%" G_GUINT64_FORMAT " fault %s\n", now_ms(), name);
}

/* configuration and keys */

static void publish(struct soak *soak)
{
	g_autoptr(GString) keys = g_string_new(NULL);

	for (uint32_t i = 0; i < SOAK_KEYS; i++) {
		if (soak->keys[i].granted)
			g_string_append_printf(keys, ",\"%s\"", soak->keys[i].name);
	}
	site_configure(soak->site, keys->str, NULL);
}

static void fault_keys(struct soak *soak)
{
	struct key_state *key = &soak->keys[draw(soak, SOAK_KEYS)];

	note_fault(soak, key->granted ? "revoke" : "grant");
	key->granted = !key->granted;
	publish(soak);
	key->changed_ms = now_ms();
}

/* replicas */

static struct replica *add_replica(struct soak *soak, bool engine)
{
	struct replica *replica = g_new0(struct replica, 1);
	uint32_t number = soak->replica_count++;

	replica->engine = engine;
	replica->id = g_strdup_printf("%s-%u", engine ? "engine" : "shop", number);
	replica->ip = site_ip(soak->site, 100 + number % 100);
	replica->conf = (struct stand_up_conf){ .id = replica->id,
						.service = engine ? SITE_ENGINES : SITE_SHOP,
						.zone = number % 2 ? "z2" : "z1",
						.address = replica->ip,
						.engine = engine,
						.work_ms = engine ? 30 : 5,
						.pace_ms = 8 };
	replica->up = stand_up_create(soak->stand, &replica->conf);
	replica->proxy =
		proxy_create(site_loop(soak->site), replica->ip, stand_up_address(replica->up));
	stand_up_via(replica->up, proxy_address(replica->proxy));
	stand_up_list(replica->up);
	g_ptr_array_add(soak->replicas, replica);
	return replica;
}

static void replica_crash(struct replica *replica, uint64_t replace_ms)
{
	proxy_set_mode(replica->proxy, PROXY_RESET, 0);
	stand_up_crash(replica->up);
	replica->crash_ms = 0;
	replica->replace_ms = replace_ms;
}

enum replica_fault {
	REPLICA_CRASH,
	REPLICA_DRAIN,
	REPLICA_REMOVED,
	REPLICA_SHEDS,
	REPLICA_LOSES,
	REPLICA_FOREIGN,
	REPLICA_LINK,
	REPLICA_FAULT_COUNT
};

static const char *const replica_fault_names[REPLICA_FAULT_COUNT] = {
	"replica-crash", "replica-drain",   "replica-removed", "replica-sheds",
	"replica-loses", "replica-foreign", "replica-link",
};

static void fault_replica(struct soak *soak, enum replica_fault fault)
{
	struct replica *replica = soak->replicas->pdata[draw(soak, soak->replicas->len)];
	struct stand_up_conf conf = replica->conf;
	uint64_t now = now_ms();

	if (replica->replace_ms || replica->crash_ms || replica->heal_ms)
		return;
	note_fault(soak, replica_fault_names[fault]);
	replica->heal_ms = now + 500 + draw(soak, 3000);
	switch (fault) {
	case REPLICA_CRASH:
		replica_crash(replica, now + 500 + draw(soak, 1500));
		stand_up_expire(replica->up);
		break;
	case REPLICA_DRAIN:
		stand_up_drain(replica->up);
		replica->crash_ms = now + 3000 + draw(soak, 3000);
		break;
	case REPLICA_REMOVED:
		stand_up_expire(replica->up);
		replica->crash_ms = now + 3000 + draw(soak, 3000);
		break;
	case REPLICA_SHEDS:
		conf.shed_percent = 60;
		break;
	case REPLICA_LOSES:
		conf.lose_percent = 40;
		conf.cut_percent = 40;
		break;
	case REPLICA_FOREIGN:
		conf.foreign_percent = 40;
		conf.fail_percent = 30;
		break;
	default: {
		enum proxy_mode mode = (enum proxy_mode)(1 + draw(soak, PROXY_MODE_COUNT - 1));

		note_fault(soak, proxy_mode_name(mode));
		proxy_set_mode(replica->proxy, mode, 20 + draw(soak, 400));
		break;
	}
	}
	if (!replica->replace_ms)
		stand_up_set(replica->up, &conf);
}

static void tend_replicas(struct soak *soak)
{
	uint64_t now = now_ms();

	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		if (replica->crash_ms && now >= replica->crash_ms)
			replica_crash(replica, now + 500 + draw(soak, 1500));
		if (replica->replace_ms && now >= replica->replace_ms) {
			replica->replace_ms = UINT64_MAX;
			add_replica(soak, replica->engine);
		} else if (replica->heal_ms && now >= replica->heal_ms && !replica->replace_ms) {
			replica->heal_ms = 0;
			proxy_set_mode(replica->proxy, PROXY_PASS, 0);
			stand_up_set(replica->up, &replica->conf);
		}
	}
}

/* instances */

static bool is_calm(const struct soak *soak, const struct instance *instance)
{
	uint64_t now = now_ms();

	return now > instance->disturbed_ms + SOAK_CALM_MS &&
	       now > soak->store_disturbed_ms + SOAK_CALM_MS && !soak->store_heal_ms;
}

static void fault_instance(struct soak *soak)
{
	struct instance *instance = soak->instances->pdata[draw(soak, soak->instances->len)];
	uint64_t now = now_ms();
	enum proxy_mode mode;

	if (instance->restart_ms || instance->wake_ms || instance->heal_ms || instance->term_ms)
		return;
	switch (draw(soak, 6)) {
	case 0:
		note_fault(soak, "instance-kill");
		instance->told_to_end = true;
		site_signal(instance->gateway, SIGKILL);
		instance->restart_ms = now + 200 + draw(soak, 2000);
		instance->disturbed_ms = instance->restart_ms + 1000;
		break;
	case 1:
		note_fault(soak, "instance-freeze");
		site_signal(instance->gateway, SIGSTOP);
		instance->wake_ms = now + 300 + draw(soak, 5000);
		instance->disturbed_ms = instance->wake_ms;
		break;
	case 2:
		note_fault(soak, "instance-stop");
		instance->told_to_end = true;
		site_signal(instance->gateway, SIGTERM);
		instance->term_ms = now;
		instance->disturbed_ms = now + SITE_GRACE_S * 1000 + 1000;
		break;
	case 3:
		note_fault(soak, "instance-reload");
		site_signal(instance->gateway, SIGHUP);
		break;
	default:
		mode = (enum proxy_mode)(1 + draw(soak, PROXY_MODE_COUNT - 1));
		note_fault(soak, "instance-store-link");
		proxy_set_mode(instance->store, mode, 20 + draw(soak, 800));
		instance->heal_ms = now + 500 + draw(soak, 5500);
		instance->disturbed_ms = instance->heal_ms;
		break;
	}
}

/* Changes a key while an instance cannot learn of it from the store. */
static void fault_keys_unseen(struct soak *soak)
{
	struct instance *instance = soak->instances->pdata[draw(soak, soak->instances->len)];

	if (instance->heal_ms)
		return;
	note_fault(soak, SOAK_KEYS_UNSEEN);
	proxy_set_mode(instance->store, PROXY_SILENT, 0);
	instance->heal_ms = now_ms() + SOAK_REVOKED_CUT_MS;
	instance->disturbed_ms = instance->heal_ms;
	fault_keys(soak);
}

static void tend_instance(struct soak *soak, struct instance *instance)
{
	uint64_t now = now_ms();

	if (instance->wake_ms && now >= instance->wake_ms) {
		site_signal(instance->gateway, SIGCONT);
		instance->wake_ms = 0;
	}
	if (instance->heal_ms && now >= instance->heal_ms) {
		proxy_set_mode(instance->store, PROXY_PASS, 0);
		instance->heal_ms = 0;
	}
	if (instance->term_ms && site_has_exited(instance->gateway)) {
		instance->term_ms = 0;
		instance->restart_ms = now + 100;
	} else if (instance->term_ms && now > instance->term_ms + SITE_GRACE_S * 1000 + 500) {
		violation(soak, "%s did not end within its grace", instance->gateway->name);
		instance->term_ms = now;
	}
	if (instance->restart_ms && now >= instance->restart_ms) {
		if (instance->gateway->process)
			site_wait_exit(instance->gateway, 2000);
		instance->restart_ms = 0;
		instance->told_to_end = false;
		instance->disturbed_ms = now + 1000;
		site_start(instance->gateway);
	} else if (!instance->told_to_end && !instance->restart_ms && instance->gateway->process &&
		   site_has_exited(instance->gateway)) {
		violation(soak, "%s ended by itself", instance->gateway->name);
		instance->restart_ms = now;
	}
}

/* the store */

static void fault_store(struct soak *soak)
{
	uint64_t now = now_ms();

	if (soak->store_heal_ms)
		return;
	soak->store_heal_ms = now + 300 + draw(soak, 4000);
	soak->store_disturbed_ms = soak->store_heal_ms;
	switch (draw(soak, 5)) {
	case 0:
		note_fault(soak, "store-busy");
		stand_set_mode(soak->stand, STAND_STORE_BUSY);
		break;
	case 1:
		note_fault(soak, "store-reset");
		stand_set_mode(soak->stand, STAND_STORE_RESET);
		break;
	case 2:
		note_fault(soak, "store-silent");
		stand_set_mode(soak->stand, STAND_STORE_SILENT);
		break;
	case 3:
		note_fault(soak, "store-slow");
		stand_set_delay(soak->stand, 50 + draw(soak, 800));
		break;
	default:
		note_fault(soak, "store-forgets");
		stand_compact(soak->stand);
		break;
	}
}

static void heal_store(struct soak *soak)
{
	soak->store_heal_ms = 0;
	soak->store_disturbed_ms = now_ms();
	stand_set_delay(soak->stand, 0);
	stand_set_mode(soak->stand, STAND_STORE_SOUND);
}

/* callers */

static const char *attempt_expected(const struct attempt *attempt, GString *out)
{
	g_string_printf(out, "%s %sx", attempt->answer.id, attempt->request.path);
	return out->str;
}

/* Checks one request that ended, by what its caller and the replicas saw. */
static void check_attempt(struct soak *soak, struct attempt *attempt)
{
	const struct site_answer *answer = &attempt->answer;
	struct stand_run run = stand_run(soak->stand, answer->id);
	const char *path = attempt->request.path;
	bool repeatable = strcmp(path, "/safe/") == 0 || strcmp(path, "/quick/") == 0;
	bool stream = attempt->request.output > 0;
	const struct key_state *key = &soak->keys[attempt->key];
	g_autoptr(GString) text = g_string_new(NULL);
	uint16_t status = answer->status;

	if (!repeatable && run.runs > 1)
		violation(soak, "%s %s ran %u times", path, answer->id, run.runs);
	if (!repeatable && run.runs > 0 && !attempt->left &&
	    (status == 503 || status == 429 || status == 408 || status == 421))
		violation(soak, "%s %s was refused with %u and ran", path, answer->id, status);
	if (run.key_passed)
		violation(soak, "%s %s: the key reached a replica", path, answer->id);
	if (run.arrivals && g_strcmp0(run.customer, "one") != 0)
		violation(soak, "%s %s: customer %s", path, answer->id, run.customer);
	if (run.arrivals && !key->granted && answer->sent_ms > key->changed_ms + SITE_REVOKE_MS)
		violation(soak, "%s %s ran with a key revoked %" G_GUINT64_FORMAT " ms before",
			  path, answer->id, answer->sent_ms - key->changed_ms);
	if (run.leaving_ms > SOAK_DRAIN_MS && attempt->calm && is_calm(soak, attempt->instance))
		violation(soak, "%s %s reached a replica %" G_GUINT64_FORMAT " ms after its notice",
			  path, answer->id, run.leaving_ms);
	if (status == 401 && attempt->calm && key->granted &&
	    answer->sent_ms > key->changed_ms + SOAK_CONFIG_MS)
		violation(soak, "%s %s denied with a key that is granted", path, answer->id);
	if (status == 404)
		violation(soak, "%s %s denied with a route that is there", path, answer->id);
	if (status != 200 || attempt->left)
		return;
	if (!stream && !answer->broken &&
	    strcmp(answer->body->str, attempt_expected(attempt, text)) != 0)
		violation(soak, "%s %s got: %.60s", path, answer->id, answer->body->str);
	if (stream && !answer->broken && !site_is_whole(answer, attempt->request.output))
		violation(soak, "%s %s looks complete and is not", path, answer->id);
	if (stream && !site_is_beginning(answer, attempt->request.output))
		violation(soak, "%s %s: events missing, twice or joined", path, answer->id);
}

static void count_attempt(struct soak *soak, const struct attempt *attempt)
{
	const struct site_answer *answer = &attempt->answer;

	soak->ended++;
	if (answer->status == 200 && !answer->broken)
		soak->good++;
	else if (answer->status == 503)
		soak->refused++;
	else if (answer->status == 200)
		soak->cut++;
	else
		soak->unknown++;
}

static void attempt_free(gpointer data)
{
	struct attempt *attempt = data;

	site_answer_clear(&attempt->answer);
	g_free(attempt);
}

static struct instance *pick_instance(struct soak *soak)
{
	/* Mostly one that says it is ready; callers on open connections use any. */
	for (uint32_t i = 0; i < 4; i++) {
		struct instance *instance =
			soak->instances->pdata[draw(soak, soak->instances->len)];

		if (instance->ready || draw(soak, 10) == 0)
			return instance;
	}
	return soak->instances->pdata[draw(soak, soak->instances->len)];
}

static void begin_attempt(struct soak *soak)
{
	static const struct site_request kinds[] = {
		{ .path = "/once/", .wait_ms = 3000 },
		{ .path = "/once/", .wait_ms = 3000, .kept = true },
		{ .path = "/safe/", .wait_ms = 3000, .kept = true },
		{ .path = "/long/", .output = SOAK_LONG_TOKENS, .wait_ms = 20000, .kept = true },
		{ .path = "/quick/", .output = SOAK_QUICK_TOKENS, .wait_ms = 6000 },
	};
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->soak = soak;
	attempt->request = kinds[draw(soak, G_N_ELEMENTS(kinds))];
	attempt->key = draw(soak, SOAK_KEYS);
	attempt->request.key = soak->keys[attempt->key].name;
	attempt->instance = pick_instance(soak);
	attempt->calm = is_calm(soak, attempt->instance);
	attempt->call = site_begin(attempt->instance->gateway, &attempt->request, &attempt->answer);
	if (draw(soak, 12) == 0)
		attempt->leave_ms = now_ms() + draw(soak, 600);
	g_ptr_array_add(soak->attempts, attempt);
}

/* Returns how many requests are under way. */
static uint32_t tend_attempts(struct soak *soak)
{
	uint32_t open = 0;

	for (guint i = 0; i < soak->attempts->len; i++) {
		struct attempt *attempt = soak->attempts->pdata[i];

		if (!attempt->answer.ended && attempt->leave_ms && now_ms() >= attempt->leave_ms) {
			attempt->left = true;
			site_leave(attempt->call);
		}
		if (!attempt->answer.ended) {
			open++;
		} else if (!attempt->checked) {
			attempt->checked = true;
			count_attempt(soak, attempt);
			check_attempt(soak, attempt);
		}
	}
	return open;
}

/* running */

/* Returns the replica fault of a name; REPLICA_FAULT_COUNT when there is none. */
static enum replica_fault find_fault(const char *name)
{
	uint32_t fault = 0;

	while (fault < REPLICA_FAULT_COUNT && strcmp(replica_fault_names[fault], name) != 0)
		fault++;
	return (enum replica_fault)fault;
}

static void soak_fault(struct soak *soak)
{
	uint32_t kind = draw(soak, 20);

	if (g_strcmp0(soak->options.only, SOAK_KEYS_UNSEEN) == 0)
		fault_keys_unseen(soak);
	else if (soak->options.only)
		fault_replica(soak, find_fault(soak->options.only));
	else if (kind < 8)
		fault_instance(soak);
	else if (kind < 15)
		fault_replica(soak, (enum replica_fault)draw(soak, REPLICA_FAULT_COUNT));
	else if (kind < 17)
		fault_store(soak);
	else
		fault_keys(soak);
	/* Faults come in series. */
	soak->fault_ms = now_ms() + (draw(soak, 3) ? 30 + draw(soak, 400) : 600 + draw(soak, 1500));
}

static void soak_tend(struct soak *soak)
{
	uint64_t now = now_ms();

	if (soak->store_heal_ms && now >= soak->store_heal_ms)
		heal_store(soak);
	tend_replicas(soak);
	for (guint i = 0; i < soak->instances->len; i++)
		tend_instance(soak, soak->instances->pdata[i]);
	if (now < soak->poll_ms)
		return;
	soak->poll_ms = now + 500;
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->ready = !instance->restart_ms && !instance->wake_ms &&
				  !instance->heal_ms && !instance->term_ms;
	}
}

static void soak_open(struct soak *soak)
{
	soak->site = site_create((uint32_t)soak->options.seed);
	soak->stand = site_stand(soak->site);
	soak->rand = g_rand_new_with_seed((guint32)soak->options.seed);
	soak->instances = g_ptr_array_new_with_free_func(g_free);
	soak->replicas = g_ptr_array_new();
	soak->attempts = g_ptr_array_new_with_free_func(attempt_free);
	soak->faults = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < SOAK_KEYS; i++) {
		soak->keys[i].name = g_strdup_printf("soak-key-%u", i);
		soak->keys[i].granted = true;
		soak->keys[i].changed_ms = now_ms();
	}
	publish(soak);
	for (gint i = 0; i < soak->options.engines + soak->options.shops; i++)
		add_replica(soak, i < soak->options.engines);
	for (gint i = 0; i < soak->options.gateways; i++) {
		struct instance *instance = g_new0(struct instance, 1);
		g_autofree char *name = g_strdup_printf("gw-%d", i + 1);
		g_autofree char *ip = site_ip(soak->site, 2);

		instance->store =
			proxy_create(site_loop(soak->site), ip, stand_address(soak->stand));
		instance->gateway = site_gateway(soak->site, name, proxy_address(instance->store));
		instance->disturbed_ms = now_ms() + 1000;
		site_start(instance->gateway);
		g_ptr_array_add(soak->instances, instance);
	}
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->ready = site_wait_ready(instance->gateway, 30000);
		if (!instance->ready)
			violation(soak, "%s did not become ready", instance->gateway->name);
	}
}

/* Ends all faults at once. */
static void soak_heal(struct soak *soak)
{
	heal_store(soak);
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		if (replica->replace_ms && replica->replace_ms != UINT64_MAX)
			replica->replace_ms = 1;
		replica->heal_ms = replica->heal_ms ? 1 : 0;
	}
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->wake_ms = instance->wake_ms ? 1 : 0;
		instance->heal_ms = instance->heal_ms ? 1 : 0;
		instance->restart_ms = instance->restart_ms ? 1 : 0;
	}
	for (uint32_t i = 0; i < SOAK_KEYS; i++) {
		if (!soak->keys[i].granted)
			soak->keys[i].changed_ms = now_ms();
		soak->keys[i].granted = true;
	}
	publish(soak);
}

/* After the faults every instance serves again. */
static void soak_check_recovery(struct soak *soak)
{
	uint64_t until = now_ms() + SOAK_RECOVER_MS + SITE_GRACE_S * 1000;
	struct site_request request = { .path = "/safe/", .wait_ms = 3000 };

	request.key = soak->keys[0].name;
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];
		bool served = false;

		while (!served && now_ms() < until) {
			struct site_answer answer = { 0 };

			soak_tend(soak);
			site_run(soak->site, 50);
			if (!instance->gateway->process)
				continue;
			answer = site_call(instance->gateway, &request);
			served = answer.status == 200;
			site_answer_clear(&answer);
		}
		if (!served)
			violation(soak, "%s does not serve after the faults",
				  instance->gateway->name);
	}
}

static void soak_close(struct soak *soak)
{
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		site_signal(instance->gateway, SIGCONT);
		proxy_destroy(instance->store);
	}
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		proxy_destroy(replica->proxy);
		g_free(replica->id);
		g_free(replica->ip);
		g_free(replica);
	}
	g_ptr_array_free(soak->replicas, TRUE);
	site_destroy(soak->site);
	g_ptr_array_free(soak->instances, TRUE);
	g_ptr_array_free(soak->attempts, TRUE);
	g_hash_table_destroy(soak->faults);
	for (uint32_t i = 0; i < SOAK_KEYS; i++)
		g_free(soak->keys[i].name);
	g_rand_free(soak->rand);
}

static uint32_t soak_run(const struct soak_options *options)
{
	struct soak soak = { .options = *options };
	uint64_t end;
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	soak_open(&soak);
	end = now_ms() + (uint64_t)options->seconds * 1000;
	soak.fault_ms = now_ms() + 300;
	while (now_ms() < end && !(options->until_violation && soak.violations)) {
		if (tend_attempts(&soak) < (uint32_t)options->callers)
			begin_attempt(&soak);
		if (now_ms() >= soak.fault_ms)
			soak_fault(&soak);
		soak_tend(&soak);
		site_run(soak.site, SOAK_TICK_MS);
	}
	soak_heal(&soak);
	soak_check_recovery(&soak);
	for (uint32_t i = 0; tend_attempts(&soak) && i < 5000; i++)
		site_run(soak.site, 10);
	/* What was refused must not run later either. */
	for (guint i = 0; i < soak.attempts->len; i++) {
		struct attempt *attempt = soak.attempts->pdata[i];
		struct stand_run run = stand_run(soak.stand, attempt->answer.id);

		if (attempt->answer.status == 503 && run.runs > 0 && !attempt->left &&
		    attempt->request.path[1] != 's' && attempt->request.path[1] != 'q')
			violation(&soak, "%s was refused and runs", attempt->answer.id);
	}
	printf("seed %d: %u requests: %u good, %u refused, %u unknown, %u cut; %u violations; "
	       "faults:",
	       options->seed, soak.ended, soak.good, soak.refused, soak.unknown, soak.cut,
	       soak.violations);
	g_hash_table_iter_init(&iter, soak.faults);
	while (g_hash_table_iter_next(&iter, &name, &count))
		printf(" %s %u", (const char *)name, GPOINTER_TO_UINT(count));
	printf("\n");
	fflush(stdout);
	soak_close(&soak);
	return soak.violations;
}

int main(int argc, char **argv)
{
	struct soak_options options = { .seed = 1,
					.seeds = 1,
					.seconds = 10,
					.gateways = 3,
					.engines = 4,
					.shops = 3,
					.callers = 20 };
	const GOptionEntry entries[] = {
		{ "seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "First seed", "N" },
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &options.seeds, "Seeds, one after the other",
		  "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "Time of a seed", "N" },
		{ "gateways", 0, 0, G_OPTION_ARG_INT, &options.gateways, "Gateway processes", "N" },
		{ "engines", 0, 0, G_OPTION_ARG_INT, &options.engines, "Engines", "N" },
		{ "shops", 0, 0, G_OPTION_ARG_INT, &options.shops, "Plain replicas", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &options.callers, "Requests at once", "N" },
		{ "program", 0, 0, G_OPTION_ARG_FILENAME, &options.program, "Program to run",
		  "FILE" },
		{ "only", 0, 0, G_OPTION_ARG_STRING, &options.only, "This fault alone", "NAME" },
		{ "until-violation", 0, 0, G_OPTION_ARG_NONE, &options.until_violation,
		  "End a seed at the first violation", NULL },
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &options.verbose, "Name faults", NULL },
		{ 0 }
	};
	g_autoptr(GOptionContext) context = g_option_context_new("- soak the gateway with faults");
	g_autoptr(GError) error = NULL;
	uint32_t violations = 0;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	if (options.only && strcmp(options.only, SOAK_KEYS_UNSEEN) != 0 &&
	    find_fault(options.only) == REPLICA_FAULT_COUNT) {
		fprintf(stderr, "no such fault: %s\n", options.only);
		return 2;
	}
	if (options.program)
		site_set_program(options.program);
	for (gint i = 0; i < options.seeds; i++) {
		violations += soak_run(&options);
		options.seed++;
		if (options.until_violation && violations)
			break;
	}
	return violations ? 1 : 0;
}
