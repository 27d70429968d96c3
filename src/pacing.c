/*
 * pacing.c - limits that runners have named, as entries tell of them: which response
 * is the newest, and which ends a limit.
 */
#include "dispatch_int.h"

#include <stdlib.h>

#include "log.h"

/* A limit that an entry named before this dispatcher knew the runners. */
typedef struct early_limit {
	str_t runner; /* owned */
	double per_s;
	int64_t at_us;
} early_limit_t;

static void early_limit_free(void *p)
{
	early_limit_t *e = p;

	str_free(&e->runner);
	free(e);
}

void pacing_init(dispatch_t *d)
{
	d->early_limits = g_ptr_array_new_with_free_func(early_limit_free);
}

void pacing_free(dispatch_t *d)
{
	g_ptr_array_free(d->early_limits, TRUE);
}

void pacing_clear(dispatch_t *d)
{
	g_ptr_array_set_size(d->early_limits, 0);
}

static void keep_early_limit(dispatch_t *d, const Dispatch__Limit *m,
			     int64_t at_us)
{
	early_limit_t *e = xcalloc(1, sizeof(*e));

	e->runner = str_copy(pb_str(m->runner));
	e->per_s = m->per_s;
	e->at_us = at_us;
	g_ptr_array_add(d->early_limits, e);
}

static void name_limit(const dispatch_t *d, runner_t *r, double per_s,
		       int64_t at_us, int64_t now_us)
{
	bool was_active = r->limit.active;
	/* Isolated daemons do not send their first requests together. */
	uint64_t seed = hash_bytes(d->cfg.holder.p, d->cfg.holder.n, 0);

	runner_limit_name(&r->limit, per_s, hash_bytes(r->id.p, r->id.n, seed),
			  at_us, now_us);
	if (!was_active && r->limit.active)
		log_event(LOG_INFO, "runner_limited", kv_s("runner", r->id),
			  kv_i("per_1000_s", (int64_t)(per_s * 1000)));
}

static void end_limit(dispatch_t *d, const request_key_t *key, runner_t *r,
		      int64_t now_us)
{
	const grant_t *g = g_hash_table_lookup(d->grants, key);
	bool was_active = r->limit.active;

	if (!g || g->runner != r)
		return;
	runner_limit_end(&r->limit, g->granted_us, now_us);
	if (was_active && !r->limit.active)
		log_event(LOG_INFO, "runner_unlimited", kv_s("runner", r->id));
}

void pacing_on_limit(dispatch_t *d, const request_key_t *key,
		     const Dispatch__Limit *m, int64_t now_us)
{
	runner_t *r = fleet_find(d, pb_str(m->runner));
	int64_t at_us = now_us - m->ago_us;

	if (!r && m->named && !d->list_known)
		keep_early_limit(d, m, at_us);
	if (!r)
		return;
	if (m->named)
		name_limit(d, r, m->per_s, at_us, now_us);
	else
		end_limit(d, key, r, now_us);
}

void pacing_apply_early(dispatch_t *d, int64_t now_us)
{
	for (guint i = 0; i < d->early_limits->len; i++) {
		const early_limit_t *e = g_ptr_array_index(d->early_limits, i);
		runner_t *r = fleet_find(d, e->runner);

		if (r)
			name_limit(d, r, e->per_s, e->at_us, now_us);
	}
	g_ptr_array_set_size(d->early_limits, 0);
}
