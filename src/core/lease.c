#include "flamingolatch/lease.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_RETRY_US 500000

struct lease {
	const struct lease_ops *ops;
	void *ctx;
	char *key;
	char *holder;
	struct lease_conf conf;
	uint64_t version;	/* row version last seen; 0 when absent */
	uint64_t row_fence;	/* fencing number in the row */
	uint64_t row_until_ms;	/* end of the row's lease by the wall clock */
	uint64_t asked_us;	/* when the outstanding commit was sent */
	uint64_t next_us;	/* not before this time again */
	uint64_t held_until_us; /* 0 when not held */
	uint64_t act_from_us;	/* end of the grace of a new holder */
	uint64_t fence;		/* of the own lease */
	uint64_t commit_fence;	/* of the outstanding commit */
	bool own;		/* the row names this holder */
	bool known;		/* the row was seen since the last doubt */
	bool asking;
};

/* lifetime */

struct lease *lease_create(const struct lease_conf *conf, const struct lease_ops *ops, void *ctx)
{
	struct lease *lease = g_new0(struct lease, 1);

	lease->conf = *conf;
	lease->ops = ops;
	lease->ctx = ctx;
	lease->key = g_strdup(conf->key);
	lease->holder = g_strdup(conf->holder);
	return lease;
}

void lease_destroy(struct lease *lease)
{
	if (!lease)
		return;
	g_free(lease->key);
	g_free(lease->holder);
	g_free(lease);
}

/* helpers */

static void lease_take_row(struct lease *lease, const struct table_row *row)
{
	json_t *root = row && row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *holder = json_string_value(json_object_get(root, "holder"));

	lease->version = row ? row->version : 0;
	lease->row_fence = (uint64_t)json_integer_value(json_object_get(root, "fence"));
	lease->row_until_ms = (uint64_t)json_integer_value(json_object_get(root, "until_ms"));
	lease->own = holder && strcmp(holder, lease->holder) == 0;
	lease->known = true;
	json_decref(root);
}

static void lease_send(struct lease *lease, uint64_t now_us, uint64_t wall_ms)
{
	struct table_write write = { lease->key, lease->version, NULL };
	json_t *root;
	char *text;

	/* A renewal keeps the number; every taking has the next one. */
	lease->commit_fence = lease->own ? lease->row_fence : lease->row_fence + 1;
	root = json_pack("{s:s, s:I, s:I}", "holder", lease->holder, "fence",
			 (json_int_t)lease->commit_fence, "until_ms",
			 (json_int_t)(wall_ms + lease->conf.ttl_us / 1000));
	text = json_dumps(root, JSON_COMPACT);
	write.value = text;
	lease->asking = true;
	lease->asked_us = now_us;
	lease->ops->commit(lease->ctx, &write);
	free(text);
	json_decref(root);
}

/* The own commit stands: counts from before it was sent. */
static void lease_got(struct lease *lease, uint64_t now_us)
{
	bool renewed = lease->fence == lease->row_fence && lease->held_until_us > now_us;

	lease->fence = lease->row_fence;
	lease->held_until_us = lease->asked_us + lease->conf.ttl_us;
	if (!renewed)
		lease->act_from_us = now_us + lease->conf.grace_us;
	lease->next_us = lease->asked_us + lease->conf.ttl_us / 3;
}

/* commands */

void lease_tick(struct lease *lease, uint64_t now_us, uint64_t wall_ms)
{
	uint64_t free_ms;
	if (lease->asking || now_us < lease->next_us)
		return;
	lease->next_us = now_us + LEASE_RETRY_US;
	if (!lease->known) {
		lease->asking = true;
		lease->ops->read(lease->ctx, lease->key);
		return;
	}
	free_ms = lease->row_until_ms + lease->conf.max_clock_skew_us / 1000;
	if (lease->own || wall_ms > free_ms) {
		lease_send(lease, now_us, wall_ms);
		return;
	}
	/* Another one holds it: looks again when it could be free. */
	lease->known = false;
	lease->next_us = now_us + MIN((free_ms - wall_ms) * 1000, lease->conf.ttl_us);
}

void lease_on_commit(struct lease *lease, uint64_t now_us, enum table_result result,
		     const struct table_row *row)
{
	lease->asking = false;
	if (result != TABLE_OK && result != TABLE_CONFLICT) {
		/* It may have taken effect; the row will tell. */
		lease->known = false;
		return;
	}
	lease_take_row(lease, row);
	if (result == TABLE_OK)
		lease_got(lease, now_us);
}

void lease_on_read(struct lease *lease, uint64_t now_us, enum table_result result,
		   const struct table_row *row)
{
	lease->asking = false;
	if (result != TABLE_OK)
		return;
	lease_take_row(lease, row);
	/* Found after a lost answer: it is renewed before it is used. */
	lease->next_us = now_us;
}

/* queries */

bool lease_valid_for(const struct lease *lease, uint64_t now_us, uint64_t need_us)
{
#ifdef FL_FAULT_NO_EXPIRY
	return lease->fence != 0 && now_us >= lease->act_from_us;
#endif
	return lease->held_until_us && now_us >= lease->act_from_us &&
	       now_us + need_us <= lease->held_until_us;
}

uint64_t lease_fencing_token(const struct lease *lease)
{
	return lease->fence;
}
