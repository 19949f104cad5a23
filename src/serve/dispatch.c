#include "dispatch.h"

#define DSP_PLAIN_SILENT_US  (250ULL * 1000) /* ten times the work of a call */
#define DSP_ENGINE_SILENT_US (900ULL * 1000) /* a long prompt alone on an engine, twice */
#define DSP_BACKUP_FILL	     0.8	     /* of an engine's memory, copies included */

struct dsp {
	struct env *env;
	GQueue waiting; /* struct dsp_ticket, in the order of service */
	bool serving;
};

struct dsp_ticket {
	struct dsp_need need;
	uint32_t priority;
	dsp_granted granted;
	void *ctx;
};

/* lifetime */

struct dsp *dsp_create(struct env *env)
{
	struct dsp *dsp = g_new0(struct dsp, 1);

	dsp->env = env;
	g_queue_init(&dsp->waiting);
	return dsp;
}

void dsp_destroy(struct dsp *dsp)
{
	g_free(dsp);
}

/* commands */

void dsp_enter(struct dsp_part *part, struct fups *up, uint64_t kv_tokens, uint64_t prefill_tokens)
{
	struct fups_load *own = fups_own(up);

	if (own->open == 0)
		fups_progress(up, env_now_us());
	part->up = fups_hold(up);
	part->kv_tokens = kv_tokens;
	part->prefill_tokens = prefill_tokens;
	own->open++;
	own->kv_tokens += kv_tokens;
	own->prefill_tokens += prefill_tokens;
	fups_touch(up);
}

void dsp_enter_copy(struct dsp_part *part, struct fups *up, uint64_t kv_tokens)
{
	dsp_enter(part, up, kv_tokens, 0);
	part->copying = true;
	fups_own(up)->copies++;
}

void dsp_expect(struct dsp_part *part, uint64_t kv_tokens)
{
	if (!part->up)
		return;
	fups_own(part->up)->kv_tokens += kv_tokens - part->kv_tokens;
	part->kv_tokens = kv_tokens;
}

void dsp_prefilled(struct dsp_part *part)
{
	if (!part->up)
		return;
	fups_own(part->up)->prefill_tokens -= part->prefill_tokens;
	part->prefill_tokens = 0;
}

void dsp_leave(struct dsp_part *part)
{
	struct fups *up = part->up;

	if (!up)
		return;
	dsp_prefilled(part);
	fups_own(up)->open--;
	fups_own(up)->kv_tokens -= part->kv_tokens;
	fups_own(up)->copies -= part->copying;
	*part = (struct dsp_part){ 0 };
	fups_release(up);
}

static gint dsp_order(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct dsp_ticket *left = a;
	const struct dsp_ticket *right = b;

	(void)data;
	return left->priority < right->priority ? -1 : left->priority > right->priority;
}

struct dsp_ticket *dsp_wait(struct dsp *dsp, const struct dsp_need *need, uint32_t priority,
			    dsp_granted granted, void *ctx)
{
	struct dsp_ticket *ticket = g_new0(struct dsp_ticket, 1);

	ticket->need = *need;
	ticket->priority = priority;
	ticket->granted = granted;
	ticket->ctx = ctx;
	g_queue_insert_sorted(&dsp->waiting, ticket, dsp_order, NULL);
	metric_set(dsp->env->metric, METRIC_QUEUED_REQUESTS, dsp->waiting.length);
	return ticket;
}

void dsp_give_up(struct dsp *dsp, struct dsp_ticket *ticket)
{
	g_queue_remove(&dsp->waiting, ticket);
	metric_set(dsp->env->metric, METRIC_QUEUED_REQUESTS, dsp->waiting.length);
	g_free(ticket);
}

void dsp_serve(struct dsp *dsp)
{
	/* A grant may end requests, which asks for another round. */
	if (dsp->serving)
		return;
	dsp->serving = true;
	while (dsp->waiting.head) {
		struct dsp_ticket *ticket = dsp->waiting.head->data;
		struct dsp_basis basis = { 0 };
		struct fups *up = dsp_pick_engine(dsp, &ticket->need, &basis);

		/* Nobody overtakes: a large request would wait for ever. */
		if (!up)
			break;
		g_queue_pop_head(&dsp->waiting);
		ticket->granted(ticket->ctx, up, &basis);
		g_free(ticket);
	}
	metric_set(dsp->env->metric, METRIC_QUEUED_REQUESTS, dsp->waiting.length);
	dsp->serving = false;
}

/* queries */

uint32_t dsp_waiting(const struct dsp *dsp)
{
	return dsp->waiting.length;
}

/* Whether an upstream looks as if it had died without a word. */
static bool dsp_doubtful(const struct fups *up, const struct dsp_need *need, uint64_t now_us)
{
	uint64_t silent_us = fups_silent_us(up, now_us);

	if (silent_us > (need->engine ? DSP_ENGINE_SILENT_US : DSP_PLAIN_SILENT_US))
		return true;
	return need->once && fups_on_probation(up);
}

static bool dsp_usable(const struct fups *up, const struct dsp_need *need, uint64_t now_us)
{
	if (fups_state(up) > FUPS_LAPSED || up == need->avoid || fups_suspended(up, now_us))
		return false;
	return !need->tried || !g_ptr_array_find((GPtrArray *)need->tried, up, NULL);
}

static struct place_engine dsp_view_engine(const struct fups *up, const struct dsp_need *need,
					   uint64_t now_us)
{
	struct fups_load peers = fups_peers(up, now_us);
	const struct fups_load *own = fups_own((struct fups *)up);

	return (struct place_engine){
		.kv_tokens = need->engine->kv_tokens,
		.kv_expected = own->kv_tokens + peers.kv_tokens,
		.prefill_tokens = own->prefill_tokens + peers.prefill_tokens,
		.slots = need->engine->slots,
		.open = own->open + peers.open,
		.copies = own->copies + peers.copies,
		.distance = need->near ? fups_distance_between(up, need->near) : fups_distance(up),
		.failure_share = fups_failure_share(up),
		.usable = dsp_usable(up, need, now_us),
	};
}

struct fups *dsp_pick_engine(struct dsp *dsp, const struct dsp_need *need, struct dsp_basis *basis)
{
	const GPtrArray *ups = fleet_of_service(dsp->env->fleet, need->service);
	g_autofree struct place_engine *views = g_new(struct place_engine, MAX(ups->len, 1));
	struct place_rules rules = { dsp->env->set->load.fill,
				     dsp->env->set->load.prefill_tokens_per_ms };
	uint64_t now_us = env_now_us();
	int32_t best;

	for (guint i = 0; i < ups->len; i++) {
		views[i] = dsp_view_engine(ups->pdata[i], need, now_us);
		views[i].usable &= !dsp_doubtful(ups->pdata[i], need, now_us);
	}
	best = place_engine(&rules, &need->place, views, ups->len);
	basis->candidates = ups->len;
	if (best == PLACE_NONE)
		return NULL;
	basis->load = views[best].kv_expected;
	basis->late_ms = place_late_ms(&rules, &need->place, &views[best]);
	return basis->late_ms ? NULL : ups->pdata[best];
}

struct fups *dsp_pick_plain(struct dsp *dsp, const struct dsp_need *need, struct dsp_basis *basis)
{
	const GPtrArray *ups = fleet_of_service(dsp->env->fleet, need->service);
	g_autofree struct place_plain *views = g_new(struct place_plain, MAX(ups->len, 1));
	uint64_t now_us = env_now_us();
	int32_t best;

	for (guint i = 0; i < ups->len; i++) {
		const struct fups *up = ups->pdata[i];

		views[i] = (struct place_plain){
			.slots = fups_slots(up),
			.open = fups_own((struct fups *)up)->open + fups_peers(up, now_us).open,
			.distance = fups_distance(up),
			.failure_share = fups_failure_share(up),
			.connected = hcli_has_idle(dsp->env->cli, fups_address(up), fups_scope(up)),
			.usable = dsp_usable(up, need, now_us) && !dsp_doubtful(up, need, now_us),
		};
	}
	best = place_plain(views, ups->len, g_rand_int(dsp->env->rand));
	/* A doubtful upstream is better than none. */
	for (guint i = 0; best == PLACE_NONE && i < ups->len; i++)
		views[i].usable = dsp_usable(ups->pdata[i], need, now_us);
	if (best == PLACE_NONE)
		best = place_plain(views, ups->len, g_rand_int(dsp->env->rand));
	basis->candidates = ups->len;
	if (best == PLACE_NONE)
		return NULL;
	basis->load = views[best].open;
	return ups->pdata[best];
}

struct fups *dsp_pick_backup(struct dsp *dsp, const struct dsp_need *need, const struct fups *main)
{
	struct dsp_need other = *need;
	struct dsp_basis basis;
	struct fups *up;
	double full;

	other.avoid = main;
	up = dsp_pick_engine(dsp, &other, &basis);
	if (!up)
		return NULL;
	full = (double)(basis.load + need->place.prompt_tokens + need->place.output_tokens) /
	       (double)MAX(need->engine->kv_tokens, 1);
	return full <= DSP_BACKUP_FILL ? up : NULL;
}

bool dsp_any(struct dsp *dsp, const char *service)
{
	const GPtrArray *ups = fleet_of_service(dsp->env->fleet, service);

	for (guint i = 0; i < ups->len; i++) {
		if (fups_state(ups->pdata[i]) <= FUPS_LAPSED)
			return true;
	}
	return false;
}
