#include "flamingolatch/lease.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_RETRY_DELAY_US 500000

struct lease {
	const struct lease_ops *ops;
	void *ctx;
	char *key;
	char *holder;
	struct lease_conf conf;
	uint64_t version;	    /* row version as last read; 0 when absent */
	uint64_t row_fencing_token; /* fencing token in the row */
	uint64_t row_until_ms;	    /* wall clock time at which the lease in the row expires */
	uint64_t commit_sent_us;    /* time at which the last commit was sent */
	uint64_t next_tick_us;	    /* lease_tick() does nothing before this time */
	uint64_t held_until_us;	 /* monotonic time at which the lease expires; 0 before the first */
	uint64_t grace_until_us; /* end of the grace period after an acquisition */
	uint64_t fencing_token;	 /* of the lease that is or was held here */
	uint64_t commit_fencing_token; /* of the outstanding commit */
	bool row_is_ours;	       /* the row names this instance as the holder */
	bool row_known;		       /* the fields of the row are up to date */
	bool op_pending;	       /* a commit or read is outstanding */
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

static void lease_decode_row(struct lease *lease, const struct table_row *row)
{
	json_t *root = row && row->value ? json_loads(row->value, 0, NULL) : NULL;
	const char *holder = json_string_value(json_object_get(root, "holder"));

	lease->version = row ? row->version : 0;
	lease->row_fencing_token = (uint64_t)json_integer_value(json_object_get(root, "fence"));
	lease->row_until_ms = (uint64_t)json_integer_value(json_object_get(root, "until_ms"));
	lease->row_is_ours = holder && strcmp(holder, lease->holder) == 0;
	lease->row_known = true;
	json_decref(root);
}

static void lease_commit(struct lease *lease, uint64_t now_us, uint64_t wall_ms)
{
	struct table_write write = { lease->key, lease->version, NULL };
	json_t *root;
	char *text;

	/* A renewal keeps the fencing token; an acquisition takes the next one. */
	lease->commit_fencing_token =
		lease->row_is_ours ? lease->row_fencing_token : lease->row_fencing_token + 1;
	root = json_pack("{s:s, s:I, s:I}", "holder", lease->holder, "fence",
			 (json_int_t)lease->commit_fencing_token, "until_ms",
			 (json_int_t)(wall_ms + lease->conf.ttl_us / 1000));
	text = json_dumps(root, JSON_COMPACT);
	write.value = text;
	lease->op_pending = true;
	lease->commit_sent_us = now_us;
	lease->ops->commit(lease->ctx, &write);
	free(text);
	json_decref(root);
}

/* The commit was applied: the lease counts from the time at which it was sent. */
static void lease_committed(struct lease *lease, uint64_t now_us)
{
	bool renewed =
		lease->fencing_token == lease->row_fencing_token && lease->held_until_us > now_us;

	lease->fencing_token = lease->row_fencing_token;
	lease->held_until_us = lease->commit_sent_us + lease->conf.ttl_us;
	if (!renewed)
		lease->grace_until_us = now_us + lease->conf.grace_us;
	lease->next_tick_us = lease->commit_sent_us + lease->conf.ttl_us / 3;
}

/* commands */

void lease_tick(struct lease *lease, uint64_t now_us, uint64_t wall_ms)
{
	uint64_t available_from_ms;
	if (lease->op_pending || now_us < lease->next_tick_us)
		return;
	lease->next_tick_us = now_us + LEASE_RETRY_DELAY_US;
	if (!lease->row_known) {
		lease->op_pending = true;
		lease->ops->read(lease->ctx, lease->key);
		return;
	}
	available_from_ms = lease->row_until_ms + lease->conf.max_clock_skew_us / 1000;
	if (lease->row_is_ours || wall_ms > available_from_ms) {
		lease_commit(lease, now_us, wall_ms);
		return;
	}
	/* Another instance holds it: reads again when the lease could have expired. */
	lease->row_known = false;
	lease->next_tick_us =
		now_us + MIN((available_from_ms - wall_ms) * 1000, lease->conf.ttl_us);
}

void lease_on_commit(struct lease *lease, uint64_t now_us, enum table_result result,
		     const struct table_row *row)
{
	lease->op_pending = false;
	if (result != TABLE_OK && result != TABLE_CONFLICT) {
		/* The commit may have been applied; the next tick reads the row to find out. */
		lease->row_known = false;
		return;
	}
	lease_decode_row(lease, row);
	if (result == TABLE_OK)
		lease_committed(lease, now_us);
}

void lease_on_read(struct lease *lease, uint64_t now_us, enum table_result result,
		   const struct table_row *row)
{
	lease->op_pending = false;
	if (result != TABLE_OK)
		return;
	lease_decode_row(lease, row);
	/* The next tick commits without delay. A lease whose commit got no answer is thus renewed
	 * before it is used. */
	lease->next_tick_us = now_us;
}

/* queries */

bool lease_valid_for(const struct lease *lease, uint64_t now_us, uint64_t duration_us)
{
#ifdef FL_FAULT_NO_EXPIRY
	/* Deliberate defect, which the tests have to detect: ignores the expiry. */
	return lease->fencing_token != 0 && now_us >= lease->grace_until_us;
#endif
	return lease->held_until_us && now_us >= lease->grace_until_us &&
	       now_us + duration_us <= lease->held_until_us;
}

uint64_t lease_fencing_token(const struct lease *lease)
{
	return lease->fencing_token;
}
