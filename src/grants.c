/*
 * grants.c - places at runners that are granted to requests: their beginning and end,
 * and what these tell of the runners.
 */
#include "dispatch_int.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

/* A grant whose end is never reported is freed this long after its deadline. */
#define GRANT_LINGER_US (3 * USEC_PER_SEC)
/*
 * A runner hangs if a first event takes longer than twice its estimate plus
 * this margin, and no request has begun to answer there since the grant.
 */
#define HANG_MARGIN_US (1500 * USEC_PER_MSEC)
/* A runner that rejected a request gets none for this time. */
#define FULL_BACKOFF_US (100 * USEC_PER_MSEC)
/* Weight of a new measurement in runner_t.slowdown. */
#define SLOWDOWN_WEIGHT 0.1
/* A new measurement counts 1/16 in runner_t.mean_hold_us. */
#define HOLD_TIME_DIV 16
/*
 * A stream whose longest pause was at least this part of the allowed one lowers
 * runner_t.prefill_share by STEP_DOWN of it; any other stream raises it by
 * STEP_UP. So in the long run at most one stream in five comes near to its limit:
 * STEP_UP / (STEP_DOWN * PREFILL_SHARE_MIN + STEP_UP).
 */
#define PAUSE_NEAR_LIMIT_PERMILLE 900u
#define PREFILL_SHARE_STEP_DOWN 0.1
#define PREFILL_SHARE_STEP_UP 0.005
#define PREFILL_SHARE_MIN 0.2
/* Bounds of runner_t.slowdown. */
#define SLOWDOWN_MIN 0.5
#define SLOWDOWN_MAX 6.0
/* A runner that lives so long after an answer began did not crash on its request. */
#define ANSWER_SETTLED_US (300 * USEC_PER_MSEC)

void grants_send(dispatch_t *d, const grant_t *g)
{
	Dispatch__Grant pb = DISPATCH__GRANT__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = g->key.id;
	pb.runner = pb_bytes(g->runner->id);
	pb.addr = pb_bytes(g->runner->addr);
	pb.term = d->term;
	pb.build = pb_bytes(g->runner->build);
	pb.stream_known = g->for_stream;
	pb.limited = g->runner->limit.active;
	pb.via = g->via;
	if (g->copy)
		pb.adapter_version = g->copy->version;
	msg.body_case = DISPATCH__MSG__BODY_GRANT;
	msg.grant = &pb;
	d->ops.send(d->ctx, g->key.host, &msg);
}

static void grant_mark_started(grant_t *g)
{
	if (g->started)
		return;
	g->started = true;
	g->runner->pending_prefill_tokens -= g->prefill_tokens;
}

static void grant_free(dispatch_t *d, grant_t *g, int64_t now_us)
{
	grant_mark_started(g);
	g->runner->n_grants--;
	speeds_on_grant_freed(g, now_us);
	g->runner->reserved_tokens -= g->tokens;
	if (g->copy) {
		g->copy->active_grants--;
		g->copy->last_used_us = now_us;
	}
	cds_list_del(&g->node);
	cds_list_del(&g->suspect);
	g_hash_table_remove(d->grants, &g->key);
	free(g->shared_parts);
	str_free(&g->zone);
	free(g);
}

void grants_runner_removed(dispatch_t *d, runner_t *r)
{
	grant_t *g, *tmp;

	cds_list_for_each_entry_safe (g, tmp, &r->grants, node)
		grant_free(d, g, 0);
	pending_runner_removed(d, r);
}

static grant_t *grant_add(dispatch_t *d, const request_key_t *key, runner_t *r,
			  copy_t *c)
{
	grant_t *old = g_hash_table_lookup(d->grants, key);
	grant_t *g;

	if (old)
		grant_free(d, old, 0);
	g = xcalloc(1, sizeof(*g));
	g->key = *key;
	g->runner = r;
	g->copy = c;
	CDS_INIT_LIST_HEAD(&g->suspect);
	cds_list_add_tail(&g->node, &r->grants);
	r->n_grants++;
	if (c)
		c->active_grants++;
	g_hash_table_insert(d->grants, &g->key, g);
	return g;
}

static void grant_set_parts(grant_t *g, const Dispatch__Ask *ask)
{
	uint64_t parts[PROMPT_PARTS_MAX];
	size_t n = prompt_shared_parts(ask, parts);

	if (!n)
		return;
	g->shared_parts = xmalloc(n * sizeof(*parts));
	memcpy(g->shared_parts, parts, n * sizeof(*parts));
	g->n_shared_parts = (uint32_t)n;
}

void grants_issue(dispatch_t *d, pending_request_t *req, runner_t *r,
		  int64_t first_event_us, int64_t now_us)
{
	const request_key_t *key = &req->key;
	const Dispatch__Ask *ask = req->msg->ask;
	copy_t *c = ask->adapter.len ? runner_find_copy(r, pb_str(ask->model),
							pb_str(ask->adapter))
				     : NULL;
	grant_t *g = grant_add(d, key, r, c);
	prefix_keys_t keys;

	prefix_keys(ask, &keys);
	g->prefill_tokens = runner_prefill_tokens(r, ask, &keys);
	g->tokens = ask->tokens_in + ask->tokens_out;
	g->granted_us = now_us;
	g->expected_first_event_us = first_event_us;
	g->deadline_us = now_us + ask->left_us;
	g->for_stream = ask->takes_up;
	g->charge = req->charge;
	memset(&req->charge, 0, sizeof(req->charge));
	g->zone = str_copy(pb_str(ask->zone));
	grant_set_parts(g, ask);
	g->digest = ask->digest;
	g->via = paths_choose_via(d, key->host, key->id, r, now_us);
	quarantine_on_grant(d, g);
	r->pending_prefill_tokens += g->prefill_tokens;
	r->reserved_tokens += g->tokens;
	choice_record_grant(r, g->prefill_tokens, now_us);
	speeds_on_grant(g, ask, d->runner_share, now_us);
	runner_limit_take(&r->limit, d->runner_share, now_us);
	runner_cache_prefixes(r, &keys);
	if (c)
		c->last_used_us = now_us;
	log_event(LOG_INFO, "grant_issued", kv_s("id", pb_str(ask->request)),
		  kv_s("runner", r->id), kv_s("build", r->build),
		  kv_s("adapter", pb_str(ask->adapter)),
		  kv_u("version", c ? c->version : 0),
		  kv_u("pending_prefill_tokens", r->pending_prefill_tokens),
		  kv_u("grants", r->n_grants),
		  kv_i("first_ms", first_event_us / USEC_PER_MSEC));
	grants_send(d, g);
}

/* Messages from entries. */

/*
 * Learns how long requests take to other failure domains and back; returns that time
 * for this one, which says nothing of the runner.
 */
static int64_t learn_path(dispatch_t *d, const grant_t *g,
			  const Dispatch__Started *m, int64_t now_us)
{
	const runner_t *r = g->runner;

	if (!m->by_peer && m->waited_us > 0)
		spill_on_started(d->spill, r->service, g->zone, r->zone,
				 m->waited_us - g->expected_first_event_us,
				 now_us);
	if (str_eq(g->zone, r->zone))
		return 0;
	return spill_path_us(d->spill, r->service, g->zone, r->zone);
}

static void learn_slowdown(grant_t *g, int64_t waited_us)
{
	runner_t *r = g->runner;
	double ratio;

	if (g->expected_first_event_us <= 0 || waited_us <= 0)
		return;
	ratio = (double)waited_us / (double)g->expected_first_event_us;
	r->slowdown += SLOWDOWN_WEIGHT * (ratio - 1) * r->slowdown;
	if (r->slowdown < SLOWDOWN_MIN)
		r->slowdown = SLOWDOWN_MIN;
	if (r->slowdown > SLOWDOWN_MAX)
		r->slowdown = SLOWDOWN_MAX;
}

static void learn_prefill_share(runner_t *r, uint32_t pause_permille)
{
	if (!pause_permille)
		return;
	if (pause_permille >= PAUSE_NEAR_LIMIT_PERMILLE)
		r->prefill_share *= 1 - PREFILL_SHARE_STEP_DOWN;
	else
		r->prefill_share += PREFILL_SHARE_STEP_UP;
	r->prefill_share = CLAMP(r->prefill_share, PREFILL_SHARE_MIN, 1.0);
}

static void learn_hold_time(const grant_t *g, int64_t now_us)
{
	int64_t held_us = now_us - g->granted_us;

	if (g->granted_us)
		g->runner->mean_hold_us +=
			(held_us - g->runner->mean_hold_us) / HOLD_TIME_DIV;
}

void grants_on_started(dispatch_t *d, const request_key_t *key,
		       const Dispatch__Started *m, int64_t now_us)
{
	grant_t *g = g_hash_table_lookup(d->grants, key);
	int64_t waited_us;

	if (m->stream)
		stream_builds_put(d->streams, m->stream, pb_str(m->build),
				  now_us, now_us + m->keep_us);
	if (!g || g->started)
		return;
	g->started_us = now_us;
	if (m->by_peer)
		paths_on_by_peer(d, key->host, g->runner, now_us);
	else
		paths_on_heard(d, key->host, g->runner, now_us);
	quarantine_on_sign_of_life(d, g->runner, now_us);
	g->runner->said_leaving |= m->leaving;
	reject_limit_set(&g->runner->reject_limit, m->rejections_max, now_us);
	if (g->copy)
		orders_learn_load_time(d, g->copy, false, now_us);
	waited_us = m->waited_us - learn_path(d, g, m, now_us);
	learn_slowdown(g, waited_us);
	speeds_on_started(g, waited_us, now_us);
	g->runner->last_started_us = now_us;
	grant_mark_started(g);
}

static void early_held_free(early_held_t *e)
{
	cds_list_del(&e->node);
	dispatch__msg__free_unpacked(e->msg, NULL);
	free(e);
}

static early_held_t *early_held_find(dispatch_t *d, const request_key_t *key)
{
	early_held_t *e;

	cds_list_for_each_entry (e, &d->early_held, node)
		if (request_key_equal(&e->key, key))
			return e;
	return NULL;
}

/* Whether an attempt that ends so has brought a response of the runner. */
static bool shows_runner(place_outcome_t o)
{
	return o == PLACE_ANSWERED || o == PLACE_FAILED || o == PLACE_NOT_RUN ||
	       o == PLACE_NO_ADAPTER || o == PLACE_OTHER_RUNNER;
}

/* Whether the request that had the place certainly did not run there. */
static bool is_not_run(place_outcome_t o)
{
	return o == PLACE_NOT_RUN || o == PLACE_NO_ADAPTER ||
	       o == PLACE_OTHER_RUNNER || o == PLACE_UNREACHABLE ||
	       o == PLACE_UNUSED;
}

/* Charges a failure to the runner, or to the path of the host that tells it. */
static void record_outcome(dispatch_t *d, host_id_t host, runner_t *r,
			   place_outcome_t o, bool by_peer, bool started,
			   int64_t granted_us, int64_t now_us)
{
	bool is_loss = o == PLACE_UNREACHABLE || o == PLACE_SILENT ||
		       o == PLACE_BROKEN;

	if (shows_runner(o) && by_peer)
		paths_on_by_peer(d, host, r, now_us);
	else if (shows_runner(o))
		paths_on_heard(d, host, r, now_us);
	/* The other host may have ended, or its path. */
	if (is_loss && by_peer)
		return;
	if (is_loss && !started &&
	    paths_is_to_blame(d, host, r, o, granted_us, now_us))
		return;
	runner_record_outcome(r, o, host, now_us);
}

void grants_on_done(dispatch_t *d, const request_key_t *key,
		    const Dispatch__Done *m, int64_t now_us)
{
	early_held_t *early = early_held_find(d, key);
	grant_t *g = g_hash_table_lookup(d->grants, key);
	place_outcome_t o = (place_outcome_t)m->outcome;
	int64_t granted_us;
	bool started;
	runner_t *r;
	copy_t *c;

	if (early)
		early_held_free(early);
	if (!g)
		return;
	r = g->runner;
	c = g->copy;
	granted_us = g->granted_us;
	started = g->started_us != 0;
	if (is_not_run(o))
		org_quota_return(&g->charge);
	if (o == PLACE_NO_ADAPTER && c)
		log_event(LOG_DEBUG, "adapter_not_loaded",
			  kv_s("runner", r->id), kv_s("adapter", c->adapter),
			  kv_u("version", c->version), kv_u("state", c->state),
			  kv_u("load_time_unconfirmed",
			       c->load_time_unconfirmed),
			  kv_i("ready_ms",
			       (now_us - c->ready_us) / USEC_PER_MSEC),
			  kv_i("granted_ms",
			       (now_us - g->granted_us) / USEC_PER_MSEC),
			  kv_i("load_ms", d->adapter_load_us / USEC_PER_MSEC));
	if (o == PLACE_ANSWERED) {
		learn_hold_time(g, now_us);
		quarantine_on_sign_of_life(d, r, now_us);
		quarantine_on_answered(d, g, now_us);
	}
	learn_prefill_share(r, m->pause_permille);
	speeds_on_done(g, m, now_us);
	r->said_leaving |= m->leaving;
	reject_limit_set(&r->reject_limit, m->rejections_max, now_us);
	grant_free(d, g, now_us);
	if (c && c->state == COPY_READY &&
	    (o == PLACE_NOT_RUN || o == PLACE_NO_ADAPTER)) {
		orders_learn_load_time(d, c, true, now_us);
		if (c->state == COPY_LOADING) {
			d->orders_due_us = now_us;
			return;
		}
	}
	if (o == PLACE_NOT_RUN)
		r->full_until_us =
			MAX(now_us + FULL_BACKOFF_US,
			    reject_limit_on_rejected(&r->reject_limit,
						     r->n_grants, now_us));
	record_outcome(d, key->host, r, o, m->by_peer, started, granted_us,
		       now_us);
	if (o == PLACE_NO_ADAPTER || o == PLACE_OTHER_RUNNER)
		d->orders_due_us = now_us;
	if (o == PLACE_NO_ADAPTER)
		copy_mark_uncertain(d, r, c, now_us);
	else if (o == PLACE_OTHER_RUNNER)
		r->report_due_us = now_us;
}

/* Records a place that was granted in an earlier term and is still used. */
static void add_held(dispatch_t *d, const request_key_t *key,
		     const Dispatch__Held *m)
{
	runner_t *r = fleet_find(d, pb_str(m->runner));
	grant_t *g;
	copy_t *c;

	if (!r || g_hash_table_lookup(d->grants, key))
		return;
	c = m->adapter.len
		    ? runner_find_copy(r, pb_str(m->model), pb_str(m->adapter))
		    : NULL;
	g = grant_add(d, key, r, c);
	g->tokens = m->tokens;
	g->digest = m->digest;
	g->started = true;
	g->deadline_us = INT64_MAX / 2;
	r->reserved_tokens += g->tokens;
}

void grants_on_held(dispatch_t *d, const request_key_t *key,
		    const Dispatch__Msg *msg)
{
	early_held_t *e;

	if (d->list_known) {
		add_held(d, key, msg->held);
		return;
	}
	if (early_held_find(d, key))
		return;
	e = xcalloc(1, sizeof(*e));
	e->key = *key;
	e->msg = dispatch_msg_copy(msg);
	cds_list_add_tail(&e->node, &d->early_held);
}

void grants_apply_early(dispatch_t *d)
{
	early_held_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &d->early_held, node) {
		add_held(d, &e->key, e->msg->held);
		early_held_free(e);
	}
}

bool grants_is_used(const Dispatch__Uses *m, uint64_t id)
{
	for (size_t i = 0; i < m->n_ids; i++)
		if (m->ids[i] == id)
			return true;
	return false;
}

/* Frees the host's grants, except those that m names; m may be NULL. */
void grants_free_of_host(dispatch_t *d, host_id_t host, const Dispatch__Uses *m,
			 int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	GSList *to_free = NULL;
	early_held_t *e, *tmp;

	g_hash_table_iter_init(&it, d->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const grant_t *g = value;

		if (g->key.host == host && !(m && grants_is_used(m, g->key.id)))
			to_free = g_slist_prepend(to_free, value);
	}
	for (GSList *l = to_free; l; l = l->next)
		grant_free(d, l->data, now_us);
	g_slist_free(to_free);
	cds_list_for_each_entry_safe (e, tmp, &d->early_held, node)
		if (e->key.host == host && !(m && grants_is_used(m, e->key.id)))
			early_held_free(e);
}

void grants_clear(dispatch_t *d)
{
	early_held_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &d->early_held, node)
		early_held_free(e);
}

/* Frees expired grants; records a failure of a runner that hangs. */
static void sweep_runner(dispatch_t *d, runner_t *r, int64_t now_us)
{
	grant_t *g, *tmp;
	bool hangs = false;

	cds_list_for_each_entry_safe (g, tmp, &r->grants, node) {
		if (now_us > g->deadline_us + GRANT_LINGER_US) {
			grant_free(d, g, now_us);
			continue;
		}
		if (g->started_us &&
		    now_us - g->started_us >= ANSWER_SETTLED_US)
			quarantine_on_answered(d, g, now_us);
		if (!g->started && g->expected_first_event_us > 0 &&
		    r->last_started_us < g->granted_us &&
		    now_us - g->granted_us >
			    g->expected_first_event_us * 2 + HANG_MARGIN_US)
			hangs = true;
	}
	if (hangs && r->suspended_until_us <= now_us)
		runner_record_outcome(r, PLACE_SILENT, 0, now_us);
}

void grants_sweep(dispatch_t *d, int64_t now_us)
{
	runner_t *r;

	cds_list_for_each_entry (r, &d->runners, node)
		if (r->n_grants)
			sweep_runner(d, r, now_us);
}
