/**
 * @file soak.c
 * Randomized fault test with real gateway processes, which reach the store and
 * the replicas of a simulated platform through fault-injecting proxies. Random
 * requests run while faults overlap. What callers and replicas observe of each
 * request is checked against the guarantees of the system.
 *
 * soak [--seed N] [--seeds N] [--seconds N] [--gateways N] [--engines N]
 *      [--shops N] [--callers N] [--program FILE] [--only FAULT]
 *      [--until-violation] [--verbose]
 *
 * "--only late-stop" has planned stops only, in series and overlapping, of instances
 * whose callers go on until the process is gone (stop_callers.h), with replicas that
 * take seconds and have queues.
 *
 * A seed determines the random choices of faults and requests. The timing of the
 * processes is not controlled, so a run with the same seed can differ. Prints a
 * line for each violated guarantee and a summary of each seed. The exit code is 0
 * without a violation, 1 with violations, and 2 for wrong options.
 */
#include "proxy.h"
#include "stop_callers.h"
#include "testbed.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SOAK_LOOP_STEP_MS 2
/* End of the log that is printed with a violation whose begin is not known. */
#define SOAK_LOG_END_BYTES 20000
/* Guarantees with a time bound are checked on instances without a fault for this long. */
#define SOAK_UNDISTURBED_MS 4000
/* Until no request reaches a replica that announced its shutdown. */
#define SOAK_NOTICE_MAX_MS 3000
/* Until a newly granted key is accepted. */
#define SOAK_GRANT_MAX_MS 3000
/* Until every instance serves again after the last fault, in addition to TESTBED_GRACE_S. */
#define SOAK_RECOVERY_MAX_MS 12000
/* After the bound for a revocation, two more bounds remain to detect the use of an old key. */
#define SOAK_UNSEEN_CUT_MS     (3 * TESTBED_REVOKE_MS)
#define SOAK_KEY_COUNT	       4
#define SOAK_FAULT_KEYS_UNSEEN "keys-unseen"
#define SOAK_FAULT_STOP	       "instance-stop"
/* Routes of a large configuration, and a time in which an instance decodes it. */
#define SOAK_UNUSED_ROUTES 1400
#define SOAK_DECODE_MAX_MS 60
/* The store comes back from a copy of at most this age, and the operator and the replicas have
 * written what it lost again after at most this time. */
#define SOAK_FAULT_RESTORED  "store-restored"
#define SOAK_COPY_MAX_MS     9000
#define SOAK_REWRITE_MAX_MS  300
#define SOAK_PASSED_VERSIONS 5
#define SOAK_SEEN_MS	     1000
/* Engines crash under one part of prompts from a random time on. */
#define SOAK_FAULT_PROMPT_CRASH "prompt-crash"
#define SOAK_CRASH_PART		"bad0"
#define SOAK_FREE_CRASHES	5 /* before the bound on arrivals counts */
/* One request crashes shops and comes again under new ids, from a random time on. */
#define SOAK_FAULT_REQUEST_CRASH  "request-crash"
#define SOAK_CRASH_PATH		  "/safe/bad" /* the test bed appends an "x" */
#define SOAK_CRASH_TARGET	  SOAK_CRASH_PATH "x"
#define SOAK_FREE_REQUEST_CRASHES 3
/* Requests that may reach a replica in the time that it asked for, after the first part of it. */
#define SOAK_QUIET_SLACK_MS 500
#define SOAK_QUIET_ARRIVALS 2
#define SOAK_LATE_ARRIVALS  3
/* A shop names a limit for a while. */
#define SOAK_FAULT_LIMIT     "replica-limit"
#define SOAK_LIMIT_WINDOW_MS 4000
/* Planned stops with callers that go on, and with slow and crowded replicas. */
#define SOAK_FAULT_LATE_STOP "late-stop"
#define SOAK_STOP_LEAD_MS    1500 /* longest time from the callers' connects to the signal */
#define SOAK_STOP_GAP_MS     5000 /* longest time between two stops */
#define SOAK_SLOW_WORK_MS    4000
#define SOAK_CALL_TIMEOUT_MS 1500 /* of calls, as testbed_create() sets it */
#define SOAK_SLOW_TIMEOUT_MS 4000 /* of calls beside slow replicas */
#define SOAK_ENGINE_WORK_MS  30
#define SOAK_LONG_TOKENS     600
#define SOAK_QUICK_TOKENS    40

/* Command line options, named like their flags. */
struct soak_options {
	gint seed;
	gint seeds;
	gint seconds;
	gint gateways;
	gint engines;
	gint shops;   /* plain replicas: not engines */
	gint callers; /* concurrent requests */
	gboolean verbose;
	gboolean until_violation;
	gchar *program;
	gchar *only;
};

struct instance {
	struct testbed_gateway *gateway;
	struct proxy *store_proxy;    /* between the instance and the store */
	uint64_t disturbed_until_ms;  /* end of the last fault; in the future while one lasts */
	uint64_t restart_at_ms;	      /* 0 while the process runs */
	uint64_t sigcont_at_ms;	      /* 0 unless stopped by SIGSTOP */
	uint64_t heal_at_ms;	      /* when the store proxy forwards again; 0 while it does */
	uint64_t sigterm_sent_ms;     /* 0 unless it is shutting down after SIGTERM */
	uint64_t sigterm_log_bytes;   /* size of its log then */
	uint64_t sigterm_cpu_ms;      /* processor time that it had got by then */
	uint64_t sigterm_own_cpu_ms;  /* that this program had got by then */
	uint64_t sigterm_gap_ms;      /* longest time since then between two checks */
	uint64_t harmed_ms;	      /* last SIGKILL, SIGSTOP, SIGCONT or start */
	GArray *harms_ms;	      /* guint64: all of them */
	uint64_t stop_at_ms;	      /* when SIGTERM is sent; 0: not planned */
	uint64_t beside_at_ms;	      /* when something else happens in the grace period */
	struct stop_callers *callers; /* from before the signal on; NULL once all have ended */
	bool exit_expected;	      /* after SIGKILL or SIGTERM, until it is restarted */
	bool available;		      /* no fault was active on it at the last poll */
	uint64_t key_log_bytes[SOAK_KEY_COUNT]; /* size of its log at the last change of a key */
};

struct replica {
	struct mock_upstream *stand_in;
	struct mock_upstream_conf conf;
	struct proxy *proxy;
	char *id;
	char *ip;
	bool engine;	      /* otherwise a plain replica */
	uint64_t heal_at_ms;  /* when the current fault ends; 0 without one */
	uint64_t healed_ms;   /* when the last one ended */
	uint64_t crash_at_ms; /* end of its shutdown or of the time without a list entry; else 0 */
	/* After a crash, when a new replica is added; UINT64_MAX once it was. 0 while it runs. */
	uint64_t replace_at_ms;
};

/* A request from a caller to one instance. */
struct request {
	struct soak *soak;
	struct testbed_answer answer;
	struct testbed_request spec;
	struct testbed_call *call;
	struct instance *instance;
	uint32_t key;		 /* index into the keys of struct soak */
	uint64_t leave_at_ms;	 /* when the caller disconnects; 0 if it waits for the answer */
	bool undisturbed;	 /* is_undisturbed() for its instance when it was sent */
	bool stayed_undisturbed; /* also when it ended */
	bool crashes_replicas;	 /* its prompt has the part that does, or it is the request */
	bool caller_left;
	bool checked;
};

struct api_key_state {
	char *name;
	bool granted;
	uint64_t changed_ms; /* time of the last grant or revocation */
};

struct soak {
	struct soak_options options;
	struct testbed *testbed;
	struct mock_platform *mock_platform;
	GRand *rand;
	GPtrArray *instances;
	GPtrArray *replicas;
	GPtrArray *requests;
	struct api_key_state keys[SOAK_KEY_COUNT];
	uint64_t store_heal_at_ms; /* when the fault of the store ends; 0 without one */
	uint64_t store_disturbed_until_ms;
	uint64_t next_backup_at_ms; /* when the store is copied again */
	uint64_t rewrite_at_ms;	    /* when lost rows are written again; 0: none were lost */
	uint64_t outage_at_ms;	    /* when it is taken away to be restored; 0: not */
	bool restoring;		    /* at the end of its fault the store comes back from the copy */
	uint64_t kill_at_ms;	    /* when an instance is killed that may decode; 0: not */
	uint64_t next_fault_at_ms;
	uint64_t next_poll_at_ms;
	uint32_t replicas_created;
	uint32_t violations;
	uint32_t completed;		/* all requests that ended, the sum of the four below */
	uint32_t succeeded;		/* status 200 and the whole answer */
	uint32_t refused;		/* status 503 */
	uint32_t failed;		/* another status or no answer; it may have run */
	uint32_t truncated;		/* status 200, but the connection broke */
	uint64_t longest_stop_ms;	/* from SIGTERM to the end of the process */
	uint64_t updated_ms;		/* time of the last soak_update() */
	uint64_t longest_gap_ms;	/* between two of them */
	GHashTable *faults;		/* fault name to count */
	uint64_t crash_part_from_ms;	/* when callers begin to send it; 0: never */
	GArray *crashes_ms;		/* guint64: engines that crashed under it */
	uint64_t crash_request_from_ms; /* the same of the request */
	GArray *request_crashes_ms;	/* guint64: shops that crashed under it */
	GPtrArray *stops;		/* callers of all planned stops */
	struct replica *limited;	/* names a limit, or did; NULL before */
	double limit_per_s;
	uint64_t limit_from_ms; /* 0: never */
	uint64_t limit_until_ms;
};

static uint64_t now_ms(void)
{
	return uv_hrtime() / 1000000;
}

static uint32_t random_below(struct soak *soak, uint32_t below)
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

static void record_fault(struct soak *soak, const char *name)
{
	guint count = GPOINTER_TO_UINT(g_hash_table_lookup(soak->faults, name));

	g_hash_table_insert(soak->faults, (gpointer)name, GUINT_TO_POINTER(count + 1));
	if (soak->options.verbose)
		printf("%" G_GUINT64_FORMAT " fault %s\n", now_ms(), name);
}

/* Prints the log of a gateway from an offset on, below the violation that it belongs to. */
static void print_log(const struct testbed_gateway *gateway, uint64_t from_bytes)
{
	g_autofree char *log = testbed_log_from(gateway, from_bytes);

	printf("log of %s:\n%s\n", gateway->name, log);
	fflush(stdout);
}

/* Prints the end of the log of a gateway. */
static void print_log_end(const struct testbed_gateway *gateway)
{
	uint64_t size = testbed_log_size(gateway);

	print_log(gateway, size > SOAK_LOG_END_BYTES ? size - SOAK_LOG_END_BYTES : 0);
}

/* configuration and API keys */

static void publish_config(struct soak *soak)
{
	g_autoptr(GString) keys = g_string_new(NULL);

	for (uint32_t i = 0; i < SOAK_KEY_COUNT; i++) {
		if (soak->keys[i].granted)
			g_string_append_printf(keys, ",\"%s\"", soak->keys[i].name);
	}
	testbed_configure(soak->testbed, keys->str, NULL);
}

static void toggle_random_key(struct soak *soak)
{
	uint32_t index = random_below(soak, SOAK_KEY_COUNT);
	struct api_key_state *key = &soak->keys[index];

	record_fault(soak, key->granted ? "revoke" : "grant");
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->key_log_bytes[index] = testbed_log_size(instance->gateway);
	}
	key->granted = !key->granted;
	if (random_below(soak, 3) == 0) {
		record_fault(soak, "config-large");
		testbed_set_unused_routes(soak->testbed, SOAK_UNUSED_ROUTES);
		soak->kill_at_ms = now_ms() + random_below(soak, SOAK_DECODE_MAX_MS);
	}
	publish_config(soak);
	testbed_set_unused_routes(soak->testbed, 0);
	key->changed_ms = now_ms();
}

/* replicas */

static struct replica *replica_add(struct soak *soak, bool engine)
{
	struct replica *replica = g_new0(struct replica, 1);
	uint32_t number = soak->replicas_created++;

	replica->engine = engine;
	replica->id = g_strdup_printf("%s-%u", engine ? "engine" : "shop", number);
	replica->ip = testbed_ip(soak->testbed, 100 + number % 100);
	replica->conf = (struct mock_upstream_conf){ .id = replica->id,
						     .service = engine ? TESTBED_ENGINE_SERVICE
								       : TESTBED_PLAIN_SERVICE,
						     .zone = number % 2 ? "z2" : "z1",
						     .address = replica->ip,
						     .engine = engine,
						     .work_ms = engine ? SOAK_ENGINE_WORK_MS : 5,
						     .pace_ms = 8,
						     .crash_part = SOAK_CRASH_PART,
						     .crash_target = SOAK_CRASH_TARGET };
	if (g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0) {
		/* some begin late, others begin at once and take long to end */
		if (random_below(soak, 2))
			replica->conf.work_ms += random_below(soak, SOAK_SLOW_WORK_MS);
		replica->conf.pace_ms <<= random_below(soak, 6);
		replica->conf.slots = 2U << random_below(soak, 4);
	}
	replica->stand_in = mock_upstream_create(soak->mock_platform, &replica->conf);
	replica->proxy = proxy_create(testbed_loop(soak->testbed), replica->ip,
				      mock_upstream_address(replica->stand_in));
	mock_upstream_set_listed_address(replica->stand_in, proxy_address(replica->proxy));
	mock_upstream_list(replica->stand_in);
	g_ptr_array_add(soak->replicas, replica);
	return replica;
}

static void replica_crash(struct replica *replica, uint64_t replace_at_ms)
{
	proxy_set_mode(replica->proxy, PROXY_RESET, 0);
	mock_upstream_crash(replica->stand_in);
	replica->crash_at_ms = 0;
	replica->replace_at_ms = replace_at_ms;
}

enum replica_fault {
	REPLICA_CRASH,
	REPLICA_LEAVE,
	REPLICA_UNLIST,
	REPLICA_SHED_LOAD,
	REPLICA_LOSE_ANSWERS,
	REPLICA_WRONG_IDS,
	REPLICA_LINK_FAULT,
	REPLICA_FAULT_COUNT
};

static const char *const replica_fault_names[REPLICA_FAULT_COUNT] = {
	"replica-crash", "replica-drain",   "replica-removed", "replica-sheds",
	"replica-loses", "replica-foreign", "replica-link",
};

static void inject_replica_fault(struct soak *soak, enum replica_fault fault)
{
	struct replica *replica = soak->replicas->pdata[random_below(soak, soak->replicas->len)];
	struct mock_upstream_conf conf = replica->conf;
	uint64_t now = now_ms();

	if (replica->replace_at_ms || replica->crash_at_ms || replica->heal_at_ms)
		return;
	record_fault(soak, replica_fault_names[fault]);
	replica->heal_at_ms = now + 500 + random_below(soak, 3000);
	switch (fault) {
	case REPLICA_CRASH:
		replica_crash(replica, now + 500 + random_below(soak, 1500));
		mock_upstream_unlist(replica->stand_in);
		break;
	case REPLICA_LEAVE:
		mock_upstream_drain(replica->stand_in);
		replica->crash_at_ms = now + 3000 + random_below(soak, 3000);
		break;
	case REPLICA_UNLIST:
		mock_upstream_unlist(replica->stand_in);
		replica->crash_at_ms = now + 3000 + random_below(soak, 3000);
		break;
	case REPLICA_SHED_LOAD:
		conf.shed_percent = 60;
		conf.quiet_ms = 300 + random_below(soak, 3000);
		break;
	case REPLICA_LOSE_ANSWERS:
		conf.lose_percent = 40;
		conf.cut_percent = 40;
		break;
	case REPLICA_WRONG_IDS:
		conf.foreign_percent = 40;
		conf.garble_percent = 20;
		conf.fail_percent = 30;
		break;
	default: {
		enum proxy_mode mode = (enum proxy_mode)(1 + random_below(soak, PROXY_RESET));

		record_fault(soak, proxy_mode_name(mode));
		proxy_set_mode(replica->proxy, mode, 20 + random_below(soak, 400));
		break;
	}
	}
	if (!replica->replace_at_ms)
		mock_upstream_configure(replica->stand_in, &conf);
}

/* Notes that a replica crashed under a prompt or the request that does so. */
static void check_replica_crash(struct soak *soak, struct replica *replica)
{
	guint64 crashed_ms = mock_upstream_crashed_ms(replica->stand_in);

	if (replica->replace_at_ms || crashed_ms == 0)
		return;
	record_fault(soak, replica->engine ? SOAK_FAULT_PROMPT_CRASH : SOAK_FAULT_REQUEST_CRASH);
	g_array_append_val(replica->engine ? soak->crashes_ms : soak->request_crashes_ms,
			   crashed_ms);
	proxy_set_mode(replica->proxy, PROXY_RESET, 0);
	mock_upstream_unlist(replica->stand_in);
	replica->crash_at_ms = 0;
	replica->replace_at_ms = now_ms() + 500 + random_below(soak, 1500);
}

/* Begins or ends the limit of a shop. */
static void update_limit(struct soak *soak)
{
	struct mock_upstream_conf conf;

	if (!soak->limited && soak->limit_from_ms && now_ms() >= soak->limit_from_ms) {
		soak->limited = soak->replicas->pdata[soak->options.engines];
		record_fault(soak, SOAK_FAULT_LIMIT);
	} else if (!soak->limited || now_ms() < soak->limit_until_ms) {
		return;
	}
	conf = soak->limited->conf;
	conf.limit_per_s = now_ms() < soak->limit_until_ms ? soak->limit_per_s : 0.0;
	soak->limited->conf = conf;
	if (!soak->limited->replace_at_ms)
		mock_upstream_configure(soak->limited->stand_in, &conf);
	if (conf.limit_per_s == 0.0)
		soak->limit_until_ms = UINT64_MAX;
}

static void update_replicas(struct soak *soak)
{
	uint64_t now = now_ms();

	update_limit(soak);
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		check_replica_crash(soak, replica);

		if (replica->crash_at_ms && now >= replica->crash_at_ms)
			replica_crash(replica, now + 500 + random_below(soak, 1500));
		if (replica->replace_at_ms && now >= replica->replace_at_ms) {
			replica->replace_at_ms = UINT64_MAX;
			replica_add(soak, replica->engine);
		} else if (replica->heal_at_ms && now >= replica->heal_at_ms &&
			   !replica->replace_at_ms) {
			replica->heal_at_ms = 0;
			replica->healed_ms = now;
			proxy_set_mode(replica->proxy, PROXY_PASS, 0);
			mock_upstream_configure(replica->stand_in, &replica->conf);
		}
	}
}

/* instances */

static bool is_undisturbed(const struct soak *soak, const struct instance *instance)
{
	uint64_t now = now_ms();

	return now > instance->disturbed_until_ms + SOAK_UNDISTURBED_MS &&
	       now > soak->store_disturbed_until_ms + SOAK_UNDISTURBED_MS &&
	       !soak->store_heal_at_ms;
}

/* Notes that an instance may have forgotten what upstreams said to it, or acted late. */
static void note_harm(struct instance *instance)
{
	guint64 now = now_ms();

	instance->harmed_ms = now;
	g_array_append_val(instance->harms_ms, now);
}

static bool is_harmed_between(const struct instance *instance, uint64_t from_ms, uint64_t to_ms)
{
	for (guint i = 0; i < instance->harms_ms->len; i++) {
		uint64_t at_ms = g_array_index(instance->harms_ms, guint64, i);

		if (at_ms >= from_ms && at_ms <= to_ms)
			return true;
	}
	return false;
}

static bool is_at_fault(const struct instance *instance)
{
	return instance->restart_at_ms || instance->sigcont_at_ms || instance->heal_at_ms ||
	       instance->sigterm_sent_ms || instance->stop_at_ms;
}

static void kill_instance(struct soak *soak, struct instance *instance)
{
	record_fault(soak, "instance-kill");
	instance->exit_expected = true;
	testbed_signal(instance->gateway, SIGKILL);
	note_harm(instance);
	instance->restart_at_ms = now_ms() + 200 + random_below(soak, 2000);
	instance->disturbed_until_ms = instance->restart_at_ms + 1000;
}

/* Kills an instance while a large configuration is decoded. */
static void kill_decoding_instance(struct soak *soak)
{
	struct instance *instance =
		soak->instances->pdata[random_below(soak, soak->instances->len)];

	soak->kill_at_ms = 0;
	if (!is_at_fault(instance))
		kill_instance(soak, instance);
}

/* Returns the processor time that this program has got, in ms. */
static uint64_t own_cpu_ms(void)
{
	return (uint64_t)clock() * 1000 / CLOCKS_PER_SEC;
}

/* Reports a process that still runs after its grace period. */
static void report_late_exit(struct soak *soak, const struct instance *instance)
{
	violation(soak,
		  "%s did not exit within its grace period; %" G_GUINT64_FORMAT
		  " ms after SIGTERM it has got %" G_GUINT64_FORMAT
		  " ms of processor time since, and this program %" G_GUINT64_FORMAT
		  "; longest time between two checks %" G_GUINT64_FORMAT " ms",
		  instance->gateway->name, now_ms() - instance->sigterm_sent_ms,
		  testbed_cpu_ms(instance->gateway) - instance->sigterm_cpu_ms,
		  own_cpu_ms() - instance->sigterm_own_cpu_ms, instance->sigterm_gap_ms);
	print_log(instance->gateway, instance->sigterm_log_bytes);
}

static void stop_instance(struct soak *soak, struct instance *instance)
{
	uint64_t now = now_ms();

	record_fault(soak, SOAK_FAULT_STOP);
	instance->exit_expected = true;
	instance->sigterm_log_bytes = testbed_log_size(instance->gateway);
	instance->sigterm_cpu_ms = testbed_cpu_ms(instance->gateway);
	instance->sigterm_own_cpu_ms = own_cpu_ms();
	instance->sigterm_gap_ms = 0;
	testbed_signal(instance->gateway, SIGTERM);
	instance->sigterm_sent_ms = now;
	instance->disturbed_until_ms = now + TESTBED_GRACE_S * 1000 + 1000;
}

static void report_stop_violation(void *ctx, const char *text)
{
	violation(ctx, "%s", text);
}

/* Tells whether a fault was injected at a replica or its link since a time. */
static bool is_replica_faulty(void *ctx, const char *id, uint64_t since_ms)
{
	const struct soak *soak = ctx;

	for (guint i = 0; i < soak->replicas->len; i++) {
		const struct replica *replica = soak->replicas->pdata[i];

		if (strcmp(replica->id, id) == 0)
			return replica->heal_at_ms || replica->replace_at_ms ||
			       replica->healed_ms >= since_ms;
	}
	return false;
}

/* Plans the stop of an instance; callers connect to it at once. */
static void plan_stop(struct soak *soak, struct instance *instance)
{
	bool is_slow = g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0;
	const struct stop_callers_conf conf = { .gateway = instance->gateway,
						.rand = soak->rand,
						.number = soak->stops->len,
						.call_timeout_ms = is_slow ? SOAK_SLOW_TIMEOUT_MS
									   : SOAK_CALL_TIMEOUT_MS,
						.violation = report_stop_violation,
						.is_faulty = is_replica_faulty,
						.ctx = soak };

	if (instance->callers || !testbed_is_ready(instance->gateway))
		return;
	record_fault(soak, SOAK_FAULT_LATE_STOP);
	instance->stop_at_ms = now_ms() + 100 + random_below(soak, SOAK_STOP_LEAD_MS);
	instance->beside_at_ms = instance->stop_at_ms + random_below(soak, TESTBED_GRACE_S * 1000);
	instance->callers = stop_callers_open(&conf, instance->stop_at_ms);
	g_ptr_array_add(soak->stops, instance->callers);
}

static void inject_store_fault(struct soak *soak);

/* Does something in the grace period of an instance that is stopped. */
static void inject_beside_stop(struct soak *soak, struct instance *instance)
{
	uint32_t kind = random_below(soak, 5);

	instance->beside_at_ms = now_ms() + random_below(soak, TESTBED_GRACE_S * 1000);
	if (kind == 0) {
		record_fault(soak, "stop-again");
		testbed_signal(instance->gateway, SIGTERM);
	} else if (kind == 1) {
		record_fault(soak, "stop-reload");
		testbed_signal(instance->gateway, SIGHUP);
	} else if (kind == 2) {
		record_fault(soak, "stop-config");
		testbed_set_unused_routes(soak->testbed, random_below(soak, SOAK_UNUSED_ROUTES));
		publish_config(soak);
		testbed_set_unused_routes(soak->testbed, 0);
	} else if (kind == 3) {
		inject_store_fault(soak);
	}
}

static void update_stop(struct soak *soak, struct instance *instance)
{
	uint64_t now = now_ms();

	if (instance->stop_at_ms && now >= instance->stop_at_ms) {
		instance->stop_at_ms = 0;
		stop_instance(soak, instance);
		stop_callers_signalled(instance->callers);
	}
	if (instance->callers && instance->sigterm_sent_ms && now >= instance->beside_at_ms)
		inject_beside_stop(soak, instance);
	if (instance->callers && !stop_callers_update(instance->callers))
		instance->callers = NULL;
}

static void inject_instance_fault(struct soak *soak)
{
	struct instance *instance =
		soak->instances->pdata[random_below(soak, soak->instances->len)];
	uint64_t now = now_ms();
	enum proxy_mode mode;

	if (is_at_fault(instance))
		return;
	if (g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0) {
		plan_stop(soak, instance);
		return;
	}
	switch (g_strcmp0(soak->options.only, SOAK_FAULT_STOP) == 0 ? 2 : random_below(soak, 6)) {
	case 0:
		kill_instance(soak, instance);
		break;
	case 1:
		record_fault(soak, "instance-freeze");
		testbed_signal(instance->gateway, SIGSTOP);
		note_harm(instance);
		instance->sigcont_at_ms = now + 300 + random_below(soak, 5000);
		instance->disturbed_until_ms = instance->sigcont_at_ms;
		break;
	case 2:
		if (!soak->options.only && random_below(soak, 2))
			plan_stop(soak, instance);
		else
			stop_instance(soak, instance);
		break;
	case 3:
		record_fault(soak, "instance-reload");
		testbed_signal(instance->gateway, SIGHUP);
		break;
	default:
		mode = (enum proxy_mode)(1 + random_below(soak, PROXY_MODE_COUNT - 1));
		record_fault(soak, "instance-store-link");
		proxy_set_mode(instance->store_proxy, mode, 20 + random_below(soak, 800));
		instance->heal_at_ms = now + 500 + random_below(soak, 5500);
		instance->disturbed_until_ms = instance->heal_at_ms;
		break;
	}
}

/* Grants or revokes a key while an instance is cut off from the store. */
static void inject_unseen_key_change(struct soak *soak)
{
	struct instance *instance =
		soak->instances->pdata[random_below(soak, soak->instances->len)];

	if (instance->heal_at_ms)
		return;
	record_fault(soak, SOAK_FAULT_KEYS_UNSEEN);
	proxy_set_mode(instance->store_proxy, PROXY_SILENT, 0);
	instance->heal_at_ms = now_ms() + SOAK_UNSEEN_CUT_MS;
	instance->disturbed_until_ms = instance->heal_at_ms;
	toggle_random_key(soak);
}

/* Starts a gateway as a supervisor does that may reload it at any time: SIGHUP is blocked until the
 * process has a handler. */
static void start_gateway(struct testbed_gateway *gateway)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	testbed_start(gateway);
	pthread_sigmask(SIG_UNBLOCK, &signals, NULL);
}

static void update_instance(struct soak *soak, struct instance *instance)
{
	uint64_t now = now_ms();

	if (instance->sigcont_at_ms && now >= instance->sigcont_at_ms) {
		testbed_signal(instance->gateway, SIGCONT);
		instance->sigcont_at_ms = 0;
		note_harm(instance);
	}
	if (instance->heal_at_ms && now >= instance->heal_at_ms) {
		proxy_set_mode(instance->store_proxy, PROXY_PASS, 0);
		instance->heal_at_ms = 0;
	}
	update_stop(soak, instance);
	if (instance->sigterm_sent_ms && testbed_has_exited(instance->gateway)) {
		soak->longest_stop_ms = MAX(soak->longest_stop_ms, now - instance->sigterm_sent_ms);
		instance->sigterm_sent_ms = 0;
		instance->restart_at_ms = now + random_below(soak, 200);
	} else if (instance->sigterm_sent_ms &&
		   now > instance->sigterm_sent_ms + TESTBED_GRACE_S * 1000 + 500) {
		report_late_exit(soak, instance);
		instance->sigterm_sent_ms = now;
	}
	if (instance->restart_at_ms && now >= instance->restart_at_ms) {
		if (instance->gateway->process)
			testbed_wait_exit(instance->gateway, 2000);
		instance->restart_at_ms = 0;
		instance->exit_expected = false;
		note_harm(instance);
		instance->disturbed_until_ms = now + 1000;
		start_gateway(instance->gateway);
	} else if (!instance->exit_expected && !instance->restart_at_ms &&
		   instance->gateway->process && testbed_has_exited(instance->gateway)) {
		violation(soak, "%s exited unexpectedly", instance->gateway->name);
		print_log_end(instance->gateway);
		instance->restart_at_ms = now;
	}
}

/* the store */

/* Takes the store away until it comes back from its last copy. */
static void inject_restoration(struct soak *soak)
{
	record_fault(soak, SOAK_FAULT_RESTORED);
	soak->restoring = true;
	mock_store_set_mode(soak->mock_platform, MOCK_STORE_RESET);
}

/* Makes a change under a version that was lost, and others until the store has passed all of those.
 */
static void pass_lost_versions(struct soak *soak)
{
	mock_store_rewrite(soak->mock_platform);
	toggle_random_key(soak);
	for (uint32_t i = 0; i < SOAK_PASSED_VERSIONS; i++)
		mock_store_put(soak->mock_platform, "elsewhere", "row", "text");
}

/* The same after changes of keys that the copy lacks. Another one follows the return and is then
 * the last for long enough to be checked. */
static void inject_single_restoration(struct soak *soak)
{
	mock_store_backup(soak->mock_platform);
	for (uint32_t i = random_below(soak, 3); i < 3; i++)
		toggle_random_key(soak);
	/* the instances learn of the changes before the store is away */
	soak->outage_at_ms = now_ms() + SOAK_SEEN_MS;
	soak->store_heal_at_ms = soak->outage_at_ms + 300 + random_below(soak, 1500);
	soak->store_disturbed_until_ms = soak->store_heal_at_ms;
}

static void inject_store_fault(struct soak *soak)
{
	uint64_t now = now_ms();

	if (soak->store_heal_at_ms)
		return;
	soak->store_heal_at_ms = now + 300 + random_below(soak, 4000);
	soak->store_disturbed_until_ms = soak->store_heal_at_ms;
	switch (random_below(soak, 6)) {
	case 0:
		record_fault(soak, "store-busy");
		mock_store_set_mode(soak->mock_platform, MOCK_STORE_BUSY);
		break;
	case 1:
		record_fault(soak, "store-reset");
		mock_store_set_mode(soak->mock_platform, MOCK_STORE_RESET);
		break;
	case 2:
		record_fault(soak, "store-silent");
		mock_store_set_mode(soak->mock_platform, MOCK_STORE_SILENT);
		break;
	case 3:
		record_fault(soak, "store-slow");
		mock_store_set_delay(soak->mock_platform, 50 + random_below(soak, 800));
		break;
	case 4:
		record_fault(soak, "store-forgets");
		mock_store_drop_history(soak->mock_platform);
		break;
	default:
		inject_restoration(soak);
		break;
	}
}

/* Copies the store now and then, and writes again what a restoration lost. */
static void update_copy(struct soak *soak)
{
	uint64_t now = now_ms();

	if (soak->outage_at_ms && now >= soak->outage_at_ms) {
		soak->outage_at_ms = 0;
		inject_restoration(soak);
	}
	if (soak->rewrite_at_ms && now >= soak->rewrite_at_ms) {
		soak->rewrite_at_ms = 0;
		soak->store_disturbed_until_ms = now;
		mock_store_rewrite(soak->mock_platform);
	}
	if (now < soak->next_backup_at_ms || soak->store_heal_at_ms || soak->rewrite_at_ms)
		return;
	soak->next_backup_at_ms = now + random_below(soak, SOAK_COPY_MAX_MS);
	mock_store_backup(soak->mock_platform);
}

static void end_store_fault(struct soak *soak)
{
	if (soak->restoring) {
		/* What the restoration before lost, if this program is late. */
		if (soak->rewrite_at_ms)
			mock_store_rewrite(soak->mock_platform);
		soak->restoring = false;
		mock_store_restore(soak->mock_platform);
		soak->rewrite_at_ms = now_ms() + random_below(soak, SOAK_REWRITE_MAX_MS);
		if (g_strcmp0(soak->options.only, SOAK_FAULT_RESTORED) == 0)
			pass_lost_versions(soak);
	}
	soak->store_heal_at_ms = 0;
	soak->store_disturbed_until_ms = now_ms();
	mock_store_set_delay(soak->mock_platform, 0);
	mock_store_set_mode(soak->mock_platform, MOCK_STORE_HEALTHY);
}

/* callers */

static const char *expected_body(const struct request *request, GString *out)
{
	g_string_printf(out, "%s %sx", request->answer.id, request->spec.path);
	return out->str;
}

/* Checks a completed request against what its caller received and what replicas recorded. */
static void check_request(struct soak *soak, struct request *request)
{
	const struct testbed_answer *answer = &request->answer;
	struct mock_request_record record = mock_request_record(soak->mock_platform, answer->id);
	const char *path = request->spec.path;
	bool idempotent = g_str_has_prefix(path, "/safe/") || strcmp(path, "/quick/") == 0;
	bool stream = request->spec.output_tokens > 0;
	const struct api_key_state *key = &soak->keys[request->key];
	g_autoptr(GString) text = g_string_new(NULL);
	uint16_t status = answer->status;

	if (!idempotent && record.executions > 1)
		violation(soak, "%s %s ran %u times", path, answer->id, record.executions);
	if (!idempotent && record.executions > 0 && !request->caller_left &&
	    (status == 503 || status == 429 || status == 408 || status == 421))
		violation(soak, "%s %s was refused with status %u but ran", path, answer->id,
			  status);
	if (record.key_forwarded)
		violation(soak, "%s %s: the API key of the caller was forwarded to a replica", path,
			  answer->id);
	if (record.arrivals && g_strcmp0(record.customer, "one") != 0)
		violation(soak, "%s %s: forwarded with customer %s instead of one", path,
			  answer->id, record.customer);
	if (record.arrivals && !key->granted &&
	    answer->sent_ms > key->changed_ms + TESTBED_REVOKE_MS) {
		violation(soak,
			  "%s %s was forwarded with a key revoked %" G_GUINT64_FORMAT " ms before",
			  path, answer->id, answer->sent_ms - key->changed_ms);
		print_log(request->instance->gateway,
			  request->instance->key_log_bytes[request->key]);
	}
	if (record.leaving_ms > SOAK_NOTICE_MAX_MS && request->undisturbed &&
	    is_undisturbed(soak, request->instance))
		violation(soak,
			  "%s %s reached a replica %" G_GUINT64_FORMAT
			  " ms after its shutdown notice",
			  path, answer->id, record.leaving_ms);
	if (status == 401 && request->undisturbed && key->granted &&
	    answer->sent_ms > key->changed_ms + SOAK_GRANT_MAX_MS)
		violation(soak, "%s %s got status 401 although its key is granted", path,
			  answer->id);
	if (status == 404)
		violation(soak, "%s %s got status 404 although its route is configured", path,
			  answer->id);
	/* Whatever a replica does, a call that was passed on gets an answer, also beside a planned
	 * stop or a reload; a stream does if its replica is sound. */
	if ((!stream || g_strcmp0(soak->options.only, SOAK_FAULT_STOP) == 0) && record.arrivals &&
	    (status == 0 || answer->broken) && !request->caller_left &&
	    request->instance->harmed_ms < answer->sent_ms) {
		violation(soak, "%s %s reached a replica and got no whole answer", path,
			  answer->id);
		print_log_end(request->instance->gateway);
	}
	if (status != 200 || request->caller_left)
		return;
	if (!stream && !answer->broken &&
	    strcmp(answer->body->str, expected_body(request, text)) != 0)
		violation(soak, "%s %s got an unexpected body: %.60s", path, answer->id,
			  answer->body->str);
	if (stream && !answer->broken && !testbed_is_complete(answer, request->spec.output_tokens))
		violation(soak, "%s %s ended without an error but is not complete", path,
			  answer->id);
	if (stream && !testbed_is_prefix(answer, request->spec.output_tokens))
		violation(soak, "%s %s: events are missing, duplicated or joined", path,
			  answer->id);
}

static void count_request(struct soak *soak, const struct request *request)
{
	const struct testbed_answer *answer = &request->answer;

	soak->completed++;
	if (answer->status == 200 && !answer->broken)
		soak->succeeded++;
	else if (answer->status == 503)
		soak->refused++;
	else if (answer->status == 200)
		soak->truncated++;
	else
		soak->failed++;
}

static void request_free(gpointer data)
{
	struct request *request = data;

	testbed_answer_clear(&request->answer);
	g_free(request);
}

static struct instance *select_instance(struct soak *soak)
{
	/* Prefers an available one, but connections opened earlier can lead to any. */
	for (uint32_t i = 0; i < 4; i++) {
		struct instance *instance =
			soak->instances->pdata[random_below(soak, soak->instances->len)];

		if (instance->available || random_below(soak, 10) == 0)
			return instance;
	}
	return soak->instances->pdata[random_below(soak, soak->instances->len)];
}

/* Returns the parts of a prompt: one of a few, another, and one of its own. */
static char *select_parts(struct soak *soak, struct request *request)
{
	g_autofree char *part = g_strdup_printf("c%x", random_below(soak, 30));

	request->crashes_replicas = soak->crash_part_from_ms &&
				    now_ms() >= soak->crash_part_from_ms &&
				    random_below(soak, 6) == 0;
	return g_strdup_printf("a%x:350,%s:40,%x:200", random_below(soak, 3),
			       request->crashes_replicas ? SOAK_CRASH_PART : part,
			       0x10000 + soak->requests->len);
}

static void start_request(struct soak *soak)
{
	static const struct testbed_request specs[] = {
		{ .path = "/once/", .wait_ms = 3000 },
		{ .path = "/once/", .wait_ms = 3000, .reuse_connection = true },
		{ .path = "/safe/", .wait_ms = 3000, .reuse_connection = true },
		{ .path = "/long/",
		  .output_tokens = SOAK_LONG_TOKENS,
		  .wait_ms = 20000,
		  .reuse_connection = true },
		{ .path = "/quick/", .output_tokens = SOAK_QUICK_TOKENS, .wait_ms = 6000 },
	};
	struct request *request = g_new0(struct request, 1);
	g_autofree char *parts = NULL;

	request->soak = soak;
	request->spec = specs[random_below(soak, G_N_ELEMENTS(specs))];
	request->key = random_below(soak, SOAK_KEY_COUNT);
	request->spec.key = soak->keys[request->key].name;
	request->instance = select_instance(soak);
	request->undisturbed = is_undisturbed(soak, request->instance);
	if (request->spec.output_tokens)
		parts = select_parts(soak, request);
	if (strcmp(request->spec.path, "/safe/") == 0 && soak->crash_request_from_ms &&
	    now_ms() >= soak->crash_request_from_ms && random_below(soak, 6) == 0) {
		request->crashes_replicas = true;
		request->spec.path = SOAK_CRASH_PATH;
	}
	request->spec.prompt_parts = parts;
	request->call = testbed_begin(request->instance->gateway, &request->spec, &request->answer);
	request->spec.prompt_parts = NULL;
	if (random_below(soak, 12) == 0)
		request->leave_at_ms = now_ms() + random_below(soak, 600);
	g_ptr_array_add(soak->requests, request);
}

/* Disconnects callers that leave and checks completed requests. Returns the open requests. */
static uint32_t update_requests(struct soak *soak)
{
	uint32_t open = 0;

	for (guint i = 0; i < soak->requests->len; i++) {
		struct request *request = soak->requests->pdata[i];

		if (!request->answer.ended && request->leave_at_ms &&
		    now_ms() >= request->leave_at_ms) {
			request->caller_left = true;
			testbed_disconnect(request->call);
		}
		if (!request->answer.ended) {
			open++;
		} else if (!request->checked) {
			request->checked = true;
			request->stayed_undisturbed =
				request->undisturbed && is_undisturbed(soak, request->instance);
			count_request(soak, request);
			check_request(soak, request);
		}
	}
	return open;
}

/* one seed */

/* Returns REPLICA_FAULT_COUNT if there is no fault of this name. */
static enum replica_fault find_replica_fault(const char *name)
{
	uint32_t fault = 0;

	while (fault < REPLICA_FAULT_COUNT && strcmp(replica_fault_names[fault], name) != 0)
		fault++;
	return (enum replica_fault)fault;
}

static void inject_fault(struct soak *soak)
{
	uint32_t kind = random_below(soak, 20);

	if (g_strcmp0(soak->options.only, SOAK_FAULT_KEYS_UNSEEN) == 0)
		inject_unseen_key_change(soak);
	else if (g_strcmp0(soak->options.only, SOAK_FAULT_RESTORED) == 0)
		inject_single_restoration(soak);
	else if (g_strcmp0(soak->options.only, SOAK_FAULT_STOP) == 0 ||
		 g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0)
		inject_instance_fault(soak);
	else if (soak->options.only)
		inject_replica_fault(soak, find_replica_fault(soak->options.only));
	else if (kind < 8)
		inject_instance_fault(soak);
	else if (kind < 15)
		inject_replica_fault(soak,
				     (enum replica_fault)random_below(soak, REPLICA_FAULT_COUNT));
	else if (kind < 17)
		inject_store_fault(soak);
	else
		toggle_random_key(soak);
	/* Two of three intervals are short, so that faults overlap. */
	soak->next_fault_at_ms =
		now_ms() + (random_below(soak, 3) ? 30 + random_below(soak, 400)
						  : 600 + random_below(soak, 1500));
	if (g_strcmp0(soak->options.only, SOAK_FAULT_RESTORED) == 0)
		soak->next_fault_at_ms = soak->store_heal_at_ms + 2 * SOAK_UNDISTURBED_MS;
	if (g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0)
		soak->next_fault_at_ms = now_ms() + random_below(soak, SOAK_STOP_GAP_MS);
}

/* Notes for how long this program has not run: a machine that stands still keeps the processes that
 * it tests from running too. */
static void note_gap(struct soak *soak, uint64_t now)
{
	uint64_t gap_ms = soak->updated_ms ? now - soak->updated_ms : 0;

	soak->updated_ms = now;
	soak->longest_gap_ms = MAX(soak->longest_gap_ms, gap_ms);
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->sigterm_gap_ms = MAX(instance->sigterm_gap_ms, gap_ms);
	}
}

static void soak_update(struct soak *soak)
{
	uint64_t now = now_ms();

	note_gap(soak, now);
	if (soak->store_heal_at_ms && now >= soak->store_heal_at_ms)
		end_store_fault(soak);
	update_copy(soak);
	if (soak->kill_at_ms && now >= soak->kill_at_ms)
		kill_decoding_instance(soak);
	update_replicas(soak);
	for (guint i = 0; i < soak->instances->len; i++)
		update_instance(soak, soak->instances->pdata[i]);
	if (now < soak->next_poll_at_ms)
		return;
	soak->next_poll_at_ms = now + 500;
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->available = !instance->restart_at_ms && !instance->sigcont_at_ms &&
				      !instance->heal_at_ms && !instance->sigterm_sent_ms;
	}
}

/* Draws the times of the faults of prompts and limits. They come once in a seed, beside the others,
 * or alone if the options say so. */
static void schedule_single_faults(struct soak *soak)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed((guint32)soak->options.seed + 1);
	const char *only = soak->options.only;
	uint32_t half_ms = (uint32_t)soak->options.seconds * 500;

	if (!only || strcmp(only, SOAK_FAULT_PROMPT_CRASH) == 0)
		soak->crash_part_from_ms = now_ms() + g_rand_int(rand) % half_ms;
	if (!only || strcmp(only, SOAK_FAULT_REQUEST_CRASH) == 0)
		soak->crash_request_from_ms = now_ms() + g_rand_int(rand) % half_ms;
	if (!only || strcmp(only, SOAK_FAULT_LIMIT) == 0)
		soak->limit_from_ms = now_ms() + g_rand_int(rand) % half_ms;
	soak->limit_per_s = g_rand_double_range(rand, 2.0, 8.0);
	soak->limit_until_ms = soak->limit_from_ms + half_ms;
}

static gint compare_ms(gconstpointer a, gconstpointer b)
{
	guint64 left = *(const guint64 *)a;
	guint64 right = *(const guint64 *)b;

	return left < right ? -1 : left > right;
}

/* Checks how many requests with the part that crashes engines reached one after the bound, from
 * instances without a fault. */
static void check_crashes(struct soak *soak, GArray *crashes_ms, uint32_t free_crashes,
			  bool engines)
{
	uint32_t late = 0;
	uint64_t since_ms;

	if (crashes_ms->len < free_crashes)
		return;
	g_array_sort(crashes_ms, compare_ms);
	since_ms = g_array_index(crashes_ms, guint64, free_crashes - 1) + SOAK_UNDISTURBED_MS;
	for (guint i = 0; i < soak->requests->len; i++) {
		const struct request *request = soak->requests->pdata[i];
		struct mock_request_record record =
			mock_request_record(soak->mock_platform, request->answer.id);

		if (request->crashes_replicas && (request->spec.output_tokens > 0) == engines &&
		    request->stayed_undisturbed && record.arrived_ms > since_ms)
			late += record.arrivals;
	}
	if (late > SOAK_LATE_ARRIVALS)
		violation(soak, "%u requests that crash %s reached one after the bound; %u crashed",
			  late, engines ? "engines" : "shops", crashes_ms->len);
}

/* Checks that a shop got no more requests than it named, from instances without a fault. */
static void check_limit(struct soak *soak)
{
	g_autoptr(GArray) arrivals_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
	uint32_t allowed = (uint32_t)(1.5 * soak->limit_per_s * SOAK_LIMIT_WINDOW_MS / 1000) + 5;
	uint32_t most = 0;
	guint begin = 0;

	for (guint i = 0; soak->limited && i < soak->requests->len; i++) {
		const struct request *request = soak->requests->pdata[i];
		struct mock_request_record record =
			mock_request_record(soak->mock_platform, request->answer.id);
		guint64 arrived_ms = record.arrived_ms;

		if (request->stayed_undisturbed &&
		    g_strcmp0(record.upstream, soak->limited->id) == 0 &&
		    arrived_ms > soak->limit_from_ms + SOAK_UNDISTURBED_MS &&
		    arrived_ms < soak->limit_from_ms + (uint64_t)soak->options.seconds * 500)
			g_array_append_val(arrivals_ms, arrived_ms);
	}
	g_array_sort(arrivals_ms, compare_ms);
	for (guint i = 0; i < arrivals_ms->len; i++) {
		while (g_array_index(arrivals_ms, guint64, begin) + SOAK_LIMIT_WINDOW_MS <
		       g_array_index(arrivals_ms, guint64, i))
			begin++;
		most = MAX(most, i - begin + 1);
	}
	if (most > allowed)
		violation(soak,
			  "%s named a limit of %.1f a second and got %u in a window; %u are "
			  "allowed",
			  soak->limited->id, soak->limit_per_s, most, allowed);
}

/* Checks what reached a replica after one of its answers: from the instance that got the answer,
 * and was neither killed nor frozen nor restarted since. */
static void check_words(struct soak *soak, GHashTable *requests, const struct replica *replica,
			guint first)
{
	const GArray *arrivals = mock_upstream_arrivals(replica->stand_in);
	const struct mock_arrival *said = &g_array_index(arrivals, struct mock_arrival, first);
	const struct request *told = g_hash_table_lookup(requests, said->id);
	uint32_t in_quiet = 0;

	if (!told || told->caller_left || told->answer.status == 0 || told->answer.broken)
		return;
	for (guint i = first + 1; i < arrivals->len; i++) {
		const struct mock_arrival *arrival =
			&g_array_index(arrivals, struct mock_arrival, i);
		const struct request *request = g_hash_table_lookup(requests, arrival->id);

		if (!request || request->instance != told->instance ||
		    is_harmed_between(told->instance, said->at_ms, arrival->at_ms))
			continue;
		in_quiet += arrival->at_ms > said->at_ms + SOAK_QUIET_SLACK_MS &&
			    arrival->at_ms < said->quiet_until_ms;
		if (said->leaving && told->answer.status == 200 &&
		    request->answer.sent_ms > said->at_ms + SOAK_NOTICE_MAX_MS)
			violation(soak, "%s reached %s, which had said that it leaves", arrival->id,
				  replica->id);
	}
	if (in_quiet > SOAK_QUIET_ARRIVALS)
		violation(soak, "%u requests reached %s, which had asked to be left alone",
			  in_quiet, replica->id);
}

static void check_replica_words(struct soak *soak)
{
	g_autoptr(GHashTable) requests = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < soak->requests->len; i++) {
		struct request *request = soak->requests->pdata[i];

		if (request->answer.id)
			g_hash_table_insert(requests, request->answer.id, request);
	}
	for (guint i = 0; i < soak->replicas->len; i++) {
		const struct replica *replica = soak->replicas->pdata[i];
		const GArray *arrivals = mock_upstream_arrivals(replica->stand_in);

		for (guint j = 0; j < arrivals->len; j++) {
			const struct mock_arrival *arrival =
				&g_array_index(arrivals, struct mock_arrival, j);

			if (arrival->leaving || arrival->quiet_until_ms)
				check_words(soak, requests, replica, j);
		}
	}
}

static void soak_setup(struct soak *soak)
{
	soak->testbed = testbed_create((uint32_t)soak->options.seed);
	soak->mock_platform = testbed_platform(soak->testbed);
	soak->rand = g_rand_new_with_seed((guint32)soak->options.seed);
	soak->instances = g_ptr_array_new_with_free_func(g_free);
	soak->replicas = g_ptr_array_new();
	soak->requests = g_ptr_array_new_with_free_func(request_free);
	soak->faults = g_hash_table_new(g_str_hash, g_str_equal);
	soak->stops = g_ptr_array_new_with_free_func((GDestroyNotify)stop_callers_free);
	soak->crashes_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
	soak->request_crashes_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
	for (uint32_t i = 0; i < SOAK_KEY_COUNT; i++) {
		soak->keys[i].name = g_strdup_printf("soak-key-%u", i);
		soak->keys[i].granted = true;
		soak->keys[i].changed_ms = now_ms();
	}
	if (g_strcmp0(soak->options.only, SOAK_FAULT_LATE_STOP) == 0)
		testbed_set_call_timeout(soak->testbed, SOAK_SLOW_TIMEOUT_MS);
	publish_config(soak);
	for (gint i = 0; i < soak->options.engines + soak->options.shops; i++)
		replica_add(soak, i < soak->options.engines);
	for (gint i = 0; i < soak->options.gateways; i++) {
		struct instance *instance = g_new0(struct instance, 1);
		g_autofree char *name = g_strdup_printf("gw-%d", i + 1);
		g_autofree char *ip = testbed_ip(soak->testbed, 2);

		instance->store_proxy = proxy_create(testbed_loop(soak->testbed), ip,
						     mock_platform_address(soak->mock_platform));
		instance->gateway =
			testbed_gateway(soak->testbed, name, proxy_address(instance->store_proxy));
		instance->disturbed_until_ms = now_ms() + 1000;
		instance->harms_ms = g_array_new(FALSE, FALSE, sizeof(guint64));
		start_gateway(instance->gateway);
		g_ptr_array_add(soak->instances, instance);
	}
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->available = testbed_wait_ready(instance->gateway, 30000);
		if (!instance->available)
			violation(soak, "%s did not become ready", instance->gateway->name);
	}
}

/* Ends all faults with the next soak_update(), and grants all keys. */
static void end_all_faults(struct soak *soak)
{
	end_store_fault(soak);
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		if (replica->replace_at_ms && replica->replace_at_ms != UINT64_MAX)
			replica->replace_at_ms = 1;
		replica->heal_at_ms = replica->heal_at_ms ? 1 : 0;
		/* slow and crowded ones are as fast as others again */
		replica->conf.work_ms = MIN(replica->conf.work_ms, SOAK_ENGINE_WORK_MS);
		replica->conf.slots = 0;
		if (!replica->replace_at_ms && !replica->heal_at_ms)
			mock_upstream_configure(replica->stand_in, &replica->conf);
	}
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		instance->sigcont_at_ms = instance->sigcont_at_ms ? 1 : 0;
		instance->heal_at_ms = instance->heal_at_ms ? 1 : 0;
		instance->restart_at_ms = instance->restart_at_ms ? 1 : 0;
	}
	for (uint32_t i = 0; i < SOAK_KEY_COUNT; i++) {
		if (!soak->keys[i].granted)
			soak->keys[i].changed_ms = now_ms();
		soak->keys[i].granted = true;
	}
	publish_config(soak);
}

/* Checks that every instance serves again after the faults. */
static void soak_check_recovery(struct soak *soak)
{
	uint64_t until = now_ms() + SOAK_RECOVERY_MAX_MS + TESTBED_GRACE_S * 1000;
	struct testbed_request spec = { .path = "/safe/", .wait_ms = 3000 };

	spec.key = soak->keys[0].name;
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];
		bool served = false;

		while (!served && now_ms() < until) {
			struct testbed_answer answer = { 0 };

			soak_update(soak);
			testbed_run(soak->testbed, 50);
			if (!instance->gateway->process)
				continue;
			answer = testbed_call(instance->gateway, &spec);
			served = answer.status == 200;
			testbed_answer_clear(&answer);
		}
		if (!served)
			violation(soak, "%s does not serve requests after the faults ended",
				  instance->gateway->name);
	}
}

static void soak_teardown(struct soak *soak)
{
	for (guint i = 0; i < soak->instances->len; i++) {
		struct instance *instance = soak->instances->pdata[i];

		testbed_signal(instance->gateway, SIGCONT);
		proxy_destroy(instance->store_proxy);
		g_array_free(instance->harms_ms, TRUE);
	}
	for (guint i = 0; i < soak->replicas->len; i++) {
		struct replica *replica = soak->replicas->pdata[i];

		proxy_destroy(replica->proxy);
		g_free(replica->id);
		g_free(replica->ip);
		g_free(replica);
	}
	g_ptr_array_free(soak->replicas, TRUE);
	testbed_destroy(soak->testbed);
	g_ptr_array_free(soak->instances, TRUE);
	g_ptr_array_free(soak->requests, TRUE);
	g_hash_table_destroy(soak->faults);
	g_ptr_array_free(soak->stops, TRUE);
	g_array_free(soak->crashes_ms, TRUE);
	g_array_free(soak->request_crashes_ms, TRUE);
	for (uint32_t i = 0; i < SOAK_KEY_COUNT; i++)
		g_free(soak->keys[i].name);
	g_rand_free(soak->rand);
}

static bool is_single_fault(const char *name)
{
	return g_strcmp0(name, SOAK_FAULT_PROMPT_CRASH) == 0 ||
	       g_strcmp0(name, SOAK_FAULT_REQUEST_CRASH) == 0 ||
	       g_strcmp0(name, SOAK_FAULT_LIMIT) == 0;
}

static uint32_t soak_run(const struct soak_options *options)
{
	struct soak soak = { .options = *options };
	uint64_t end;
	uint32_t late_requests = 0;
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	soak_setup(&soak);
	end = now_ms() + (uint64_t)options->seconds * 1000;
	soak.next_fault_at_ms = is_single_fault(options->only) ? UINT64_MAX : now_ms() + 300;
	schedule_single_faults(&soak);
	while (now_ms() < end && !(options->until_violation && soak.violations)) {
		if (update_requests(&soak) < (uint32_t)options->callers)
			start_request(&soak);
		if (now_ms() >= soak.next_fault_at_ms)
			inject_fault(&soak);
		soak_update(&soak);
		testbed_run(soak.testbed, SOAK_LOOP_STEP_MS);
	}
	end_all_faults(&soak);
	soak_check_recovery(&soak);
	for (uint32_t i = 0; update_requests(&soak) && i < 5000; i++)
		testbed_run(soak.testbed, 10);
	for (guint i = 0; i < soak.stops->len; i++) {
		stop_callers_check_refused(soak.stops->pdata[i]);
		late_requests += stop_callers_count(soak.stops->pdata[i]);
	}
	/* A refused request must not run after its refusal either. /safe/ and /quick/ may be
	 * retried. */
	for (guint i = 0; i < soak.requests->len; i++) {
		struct request *request = soak.requests->pdata[i];
		struct mock_request_record record =
			mock_request_record(soak.mock_platform, request->answer.id);

		if (request->answer.status == 503 && record.executions > 0 &&
		    !request->caller_left && request->spec.path[1] != 's' &&
		    request->spec.path[1] != 'q')
			violation(&soak, "%s was refused but ran later", request->answer.id);
	}
	check_crashes(&soak, soak.crashes_ms, SOAK_FREE_CRASHES, true);
	check_crashes(&soak, soak.request_crashes_ms, SOAK_FREE_REQUEST_CRASHES, false);
	check_limit(&soak);
	check_replica_words(&soak);
	if (testbed_malformed_count(soak.testbed))
		violation(&soak, "%" G_GUINT64_FORMAT " answers to callers were not valid HTTP",
			  testbed_malformed_count(soak.testbed));
	printf("seed %d: %u requests: %u succeeded, %u refused, %u failed, %u truncated; "
	       "%u more after SIGTERM; longest stop %" G_GUINT64_FORMAT
	       " ms, longest gap %" G_GUINT64_FORMAT " ms; %u violations; faults:",
	       options->seed, soak.completed, soak.succeeded, soak.refused, soak.failed,
	       soak.truncated, late_requests, soak.longest_stop_ms, soak.longest_gap_ms,
	       soak.violations);
	g_hash_table_iter_init(&iter, soak.faults);
	while (g_hash_table_iter_next(&iter, &name, &count))
		printf(" %s %u", (const char *)name, GPOINTER_TO_UINT(count));
	printf("\n");
	fflush(stdout);
	soak_teardown(&soak);
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
		{ "seeds", 0, 0, G_OPTION_ARG_INT, &options.seeds,
		  "Number of seeds to run in sequence", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "Duration of each seed",
		  "N" },
		{ "gateways", 0, 0, G_OPTION_ARG_INT, &options.gateways,
		  "Number of gateway processes", "N" },
		{ "engines", 0, 0, G_OPTION_ARG_INT, &options.engines, "Engines", "N" },
		{ "shops", 0, 0, G_OPTION_ARG_INT, &options.shops,
		  "Number of replicas that are not engines", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &options.callers,
		  "Number of concurrent requests", "N" },
		{ "program", 0, 0, G_OPTION_ARG_FILENAME, &options.program,
		  "Gateway executable to test", "FILE" },
		{ "only", 0, 0, G_OPTION_ARG_STRING, &options.only, "Inject only this fault",
		  "NAME" },
		{ "until-violation", 0, 0, G_OPTION_ARG_NONE, &options.until_violation,
		  "Stop at the first violation", NULL },
		{ "verbose", 'v', 0, G_OPTION_ARG_NONE, &options.verbose,
		  "Print each fault when it is injected", NULL },
		{ 0 }
	};
	g_autoptr(GOptionContext) context =
		g_option_context_new("- test the gateway under random faults");
	g_autoptr(GError) error = NULL;
	uint32_t violations = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	if (options.only && strcmp(options.only, SOAK_FAULT_KEYS_UNSEEN) != 0 &&
	    strcmp(options.only, SOAK_FAULT_RESTORED) != 0 &&
	    strcmp(options.only, SOAK_FAULT_STOP) != 0 &&
	    strcmp(options.only, SOAK_FAULT_LATE_STOP) != 0 && !is_single_fault(options.only) &&
	    find_replica_fault(options.only) == REPLICA_FAULT_COUNT) {
		fprintf(stderr, "unknown fault: %s\n", options.only);
		return 2;
	}
	if (options.program)
		testbed_set_program(options.program);
	for (gint i = 0; i < options.seeds; i++) {
		violations += soak_run(&options);
		options.seed++;
		if (options.until_violation && violations)
			break;
	}
	g_free(options.only);
	return violations ? 1 : 0;
}
