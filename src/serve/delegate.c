#include "delegate.h"

#include <string.h>

#define DLG_ASK		 2
#define DLG_REPLY	 3
#define DLG_CHANGES	 4
#define DLG_ASK_TYPE	 "(st)"
#define DLG_REPLY_TYPE	 "(sttttb)"
#define DLG_CHANGE_TYPE	 "(ssssttubb)" /* id, service, address, zone, start, ... */
#define DLG_CHANGES_TYPE "(ttua" DLG_CHANGE_TYPE ")"

#define DLG_TICK_MS	100
#define DLG_ASK_MOST_MS 800
#define DLG_ANSWER_MS	350  /* round trip within a region, and slow instances */
#define DLG_SHUN_MS	4000 /* before one that did not answer is asked again */
#define DLG_UNSOUND_MS	600  /* before one that did not follow the store is asked again */
#define DLG_FOLLOWER_MS 2500 /* three questions */
/* Parts of the time for which a confirmation of the configuration holds. */
#define DLG_MAX_AGE_PART   0.42 /* twice what a delegate that is well states */
#define DLG_ASK_PART	   0.17 /* between two questions */
#define DLG_ZONE_INSTANCES 16	/* a zone this large has a delegate of its own */

struct dlg {
	struct env *env;
	struct fol *fol;
	struct prs *prs;
	uv_timer_t tick;
	GHashTable *shunned;   /* address to when it may be asked again, in us */
	GHashTable *followers; /* address to when it asked last, in us */
	char *asked;	       /* address, while a question is open */
	char *delegate;	       /* address of the one that answered last, or NULL */
	uint64_t asked_us;     /* on the clock that counts suspension */
	uint64_t answered_us;
};

static void dlg_on_tick(uv_timer_t *timer);
static void dlg_on_message(void *ctx, uint8_t type, const void *buf, size_t len);
static void dlg_on_changes(void *ctx, const struct fol_changes *changes);

/* lifetime */

struct dlg *dlg_create(struct env *env, struct fol *fol, struct prs *prs)
{
	struct dlg *dlg = g_new0(struct dlg, 1);

	dlg->env = env;
	dlg->fol = fol;
	dlg->prs = prs;
	dlg->shunned = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	dlg->followers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	prs_on_other(prs, dlg_on_message, dlg);
	fol_on_changes(fol, dlg_on_changes, dlg);
	uv_timer_init(env->loop, &dlg->tick);
	dlg->tick.data = dlg;
	uv_timer_start(&dlg->tick, dlg_on_tick, DLG_TICK_MS, DLG_TICK_MS);
	return dlg;
}

static void dlg_on_closed(uv_handle_t *handle)
{
	struct dlg *dlg = handle->data;

	g_hash_table_destroy(dlg->shunned);
	g_hash_table_destroy(dlg->followers);
	g_free(dlg->asked);
	g_free(dlg->delegate);
	g_free(dlg);
}

void dlg_destroy(struct dlg *dlg)
{
	if (!dlg)
		return;
	prs_on_other(dlg->prs, NULL, NULL);
	fol_on_changes(dlg->fol, NULL, NULL);
	uv_close((uv_handle_t *)&dlg->tick, dlg_on_closed);
}

/* helpers: messages */

static void dlg_finish(GByteArray *out, GVariant *root)
{
	g_variant_ref_sink(root);
	g_byte_array_append(out, g_variant_get_data(root), (guint)g_variant_get_size(root));
	g_variant_unref(root);
}

/* Returns a message in normal form, or NULL. */
static GVariant *dlg_parse(const char *type, const void *buf, size_t len)
{
	g_autoptr(GBytes) bytes = g_bytes_new(buf, len);
	GVariant *root =
		g_variant_ref_sink(g_variant_new_from_bytes(G_VARIANT_TYPE(type), bytes, FALSE));

	if (g_variant_is_normal_form(root))
		return root;
	g_variant_unref(root);
	return NULL;
}

void dlg_encode_ask(GByteArray *out, const struct dlg_ask *ask)
{
	dlg_finish(out, g_variant_new(DLG_ASK_TYPE, ask->address, ask->asked_us));
}

bool dlg_decode_ask(const void *buf, size_t len, struct dlg_ask *out, GVariant **keep)
{
	*keep = dlg_parse(DLG_ASK_TYPE, buf, len);
	if (!*keep)
		return false;
	g_variant_get(*keep, "(&st)", &out->address, &out->asked_us);
	return true;
}

void dlg_encode_reply(GByteArray *out, const struct dlg_reply *reply)
{
	dlg_finish(out,
		   g_variant_new(DLG_REPLY_TYPE, reply->address, reply->asked_us, reply->age_us,
				 reply->config_version, reply->list_version, reply->sound));
}

bool dlg_decode_reply(const void *buf, size_t len, struct dlg_reply *out, GVariant **keep)
{
	gboolean sound;

	*keep = dlg_parse(DLG_REPLY_TYPE, buf, len);
	if (!*keep)
		return false;
	g_variant_get(*keep, "(&sttttb)", &out->address, &out->asked_us, &out->age_us,
		      &out->config_version, &out->list_version, &sound);
	out->sound = sound;
	return true;
}

static const char *dlg_text(const char *text)
{
	return text ? text : "";
}

void dlg_encode_changes(GByteArray *out, const struct fol_changes *changes)
{
	GVariantBuilder rows;

	g_variant_builder_init(&rows, G_VARIANT_TYPE("a" DLG_CHANGE_TYPE));
	for (guint i = 0; i < changes->changes->len; i++) {
		const struct src_change *change = changes->changes->pdata[i];

		g_variant_builder_add(&rows, DLG_CHANGE_TYPE, change->id, dlg_text(change->service),
				      dlg_text(change->address), dlg_text(change->zone),
				      change->started_ms, (guint64)change->cold_ms,
				      (guint32)change->slots, change->leaving,
				      change->gone || change->broken);
	}
	dlg_finish(out, g_variant_new(DLG_CHANGES_TYPE, changes->from, changes->to,
				      (guint32)changes->lapse_ms, &rows));
}

static void dlg_change_free(gpointer data)
{
	struct src_change *change = data;

	g_free(change->id);
	g_free(change->service);
	g_free(change->address);
	g_free(change->zone);
	g_free(change);
}

bool dlg_decode_changes(const void *buf, size_t len, struct fol_changes *out)
{
	g_autoptr(GVariant) root = dlg_parse(DLG_CHANGES_TYPE, buf, len);
	g_autoptr(GVariantIter) iter = NULL;
	struct src_change row = { 0 };
	guint32 lapse;
	guint32 slots;
	guint64 cold;
	gboolean leaving;
	gboolean gone;

	if (!root)
		return false;
	g_variant_get(root, "(ttua" DLG_CHANGE_TYPE ")", &out->from, &out->to, &lapse, &iter);
	out->lapse_ms = lapse;
	out->changes = g_ptr_array_new_with_free_func(dlg_change_free);
	while (g_variant_iter_next(iter, DLG_CHANGE_TYPE, &row.id, &row.service, &row.address,
				   &row.zone, &row.started_ms, &cold, &slots, &leaving, &gone)) {
		row.cold_ms = (uint32_t)cold;
		row.slots = slots;
		row.leaving = leaving;
		row.gone = gone;
		g_ptr_array_add(out->changes, g_memdup2(&row, sizeof(row)));
	}
	return true;
}

/* helpers: asking */

/* Returns the first of the group that may be asked, or NULL when that is this instance. */
static const char *dlg_first(struct dlg *dlg, const GPtrArray *group, uint64_t now_us)
{
	for (guint i = 0; i < group->len; i++) {
		const char *address = group->pdata[i];
		const uint64_t *until_us = g_hash_table_lookup(dlg->shunned, address);

		if (strcmp(address, prs_address(dlg->prs)) == 0)
			return NULL;
		if (!until_us || now_us >= *until_us)
			return address;
	}
	return NULL;
}

static void dlg_shun(struct dlg *dlg, const char *address, uint64_t now_us, uint64_t ms)
{
	uint64_t until_us = now_us + ms * 1000;

	g_hash_table_replace(dlg->shunned, g_strdup(address),
			     g_memdup2(&until_us, sizeof(until_us)));
	if (g_strcmp0(dlg->delegate, address) == 0)
		g_clear_pointer(&dlg->delegate, g_free);
}

static void dlg_ask_next(struct dlg *dlg, uint64_t now_us)
{
	g_autoptr(GPtrArray) zone = prs_group(dlg->prs, false);
	g_autoptr(GPtrArray) region = prs_group(dlg->prs, true);
	const char *address =
		dlg_first(dlg, zone->len >= DLG_ZONE_INSTANCES ? zone : region, now_us);
	struct dlg_ask ask = { .address = prs_address(dlg->prs), .asked_us = now_us };
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	if (!address || dlg->env->stopping) {
		g_clear_pointer(&dlg->delegate, g_free);
		return;
	}
	g_free(dlg->asked);
	dlg->asked = g_strdup(address);
	dlg->asked_us = now_us;
	dlg_encode_ask(bytes, &ask);
	prs_send(dlg->prs, address, DLG_ASK, bytes);
}

/* Whether a follower has not asked for long. */
static gboolean dlg_is_silent(gpointer address, gpointer asked_us, gpointer now_us)
{
	(void)address;
	return *(const uint64_t *)now_us - *(const uint64_t *)asked_us > DLG_FOLLOWER_MS * 1000ULL;
}

static uint64_t dlg_ask_every_us(const struct dlg *dlg)
{
	return MIN(env_fresh_part_us(dlg->env, DLG_ASK_PART), DLG_ASK_MOST_MS * 1000ULL);
}

static void dlg_on_tick(uv_timer_t *timer)
{
	struct dlg *dlg = timer->data;
	uint64_t now_us = env_boot_us();

	if (dlg->asked && now_us - dlg->asked_us > DLG_ANSWER_MS * 1000ULL) {
		dlg_shun(dlg, dlg->asked, now_us, DLG_SHUN_MS);
		g_clear_pointer(&dlg->asked, g_free);
		dlg_ask_next(dlg, now_us);
	} else if (!dlg->asked && now_us - dlg->asked_us > dlg_ask_every_us(dlg)) {
		dlg_ask_next(dlg, now_us);
	}
	fol_set_delegated(dlg->fol, dlg->delegate != NULL);
	fol_set_serving(dlg->fol, g_hash_table_size(dlg->followers) > 0);
	g_hash_table_foreach_remove(dlg->followers, dlg_is_silent, &now_us);
}

/* helpers: answering */

static void dlg_answer(struct dlg *dlg, const struct dlg_ask *ask)
{
	struct env *env = dlg->env;
	uint64_t now_us = env_boot_us();
	uint64_t age_us = fresh_age_us(&env->fresh, now_us);
	struct dlg_reply reply = {
		.address = prs_address(dlg->prs),
		.asked_us = ask->asked_us,
		.age_us = age_us,
		.config_version = env->config ? rt_config_version(env->config) : 0,
		.list_version = fol_list_version(dlg->fol),
		.sound = fol_sound(dlg->fol) && !env->stopping &&
			 age_us < env_fresh_part_us(env, DLG_MAX_AGE_PART),
	};
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	/* Whoever is asked confirms more often, and so becomes sound for those who ask. */
	g_hash_table_replace(dlg->followers, g_strdup(ask->address),
			     g_memdup2(&now_us, sizeof(now_us)));
	dlg_encode_reply(bytes, &reply);
	prs_send(dlg->prs, ask->address, DLG_REPLY, bytes);
}

static void dlg_take_reply(struct dlg *dlg, const struct dlg_reply *reply)
{
	struct env *env = dlg->env;
	uint64_t now_us = env_boot_us();

	/* Only the answer to the question that is open counts. */
	if (!dlg->asked || reply->asked_us != dlg->asked_us ||
	    strcmp(reply->address, dlg->asked) != 0)
		return;
	g_clear_pointer(&dlg->asked, g_free);
	if (!reply->sound) {
		dlg_shun(dlg, reply->address, now_us, DLG_UNSOUND_MS);
		dlg_ask_next(dlg, now_us);
		return;
	}
	g_free(dlg->delegate);
	dlg->delegate = g_strdup(reply->address);
	dlg->answered_us = now_us;
	if (env->config && reply->config_version <= rt_config_version(env->config) &&
	    reply->asked_us > reply->age_us)
		fresh_confirm(&env->fresh, reply->asked_us - reply->age_us);
	fol_take_versions(dlg->fol, reply->config_version, reply->list_version);
}

static void dlg_on_message(void *ctx, uint8_t type, const void *buf, size_t len)
{
	struct dlg *dlg = ctx;
	g_autoptr(GVariant) keep = NULL;
	struct dlg_ask ask;
	struct dlg_reply reply;
	struct fol_changes changes;
	bool known = true;

	if (type == DLG_ASK && dlg_decode_ask(buf, len, &ask, &keep)) {
		dlg_answer(dlg, &ask);
	} else if (type == DLG_REPLY && dlg_decode_reply(buf, len, &reply, &keep)) {
		dlg_take_reply(dlg, &reply);
	} else if (type == DLG_CHANGES && dlg_decode_changes(buf, len, &changes)) {
		fol_take_changes(dlg->fol, &changes);
		g_ptr_array_unref(changes.changes);
	} else {
		known = false;
	}
	if (known)
		return;
	metric_add(dlg->env->metric, METRIC_BUS_MESSAGES_INVALID, 1);
	log_event(LOG_BUS_INVALID_MESSAGE, NULL);
}

static void dlg_on_changes(void *ctx, const struct fol_changes *changes)
{
	struct dlg *dlg = ctx;
	g_autoptr(GByteArray) bytes = g_byte_array_new();
	GHashTableIter iter;
	const char *address;

	dlg_encode_changes(bytes, changes);
	g_hash_table_iter_init(&iter, dlg->followers);
	while (g_hash_table_iter_next(&iter, (gpointer *)&address, NULL))
		prs_send(dlg->prs, address, DLG_CHANGES, bytes);
}
