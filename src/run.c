/*
 * run.c - requests at their target's owner: queue, early refusal, dispatch,
 * relay of the answer, resumption, deadlines.
 */
#include "owner.h"

#include <string.h>

#include "counter.h"
#include "log.h"

#define RESUMES_MAX 3u
#define RESUME_DELAY_US (100 * USEC_PER_MSEC)
#define DEFAULT_TOKENS 64u
/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.1
#define RETRY_MS_MAX 10000

/* Runs. */

void run_free(run_t *r)
{
	if (r->phase == RUN_WAITING)
		queue_remove(&r->o->queue, &r->item);
	else
		cds_list_del(&r->node);
	atomic_fetch_sub(&r->o->sh->s->n_runs, 1);
	str_free(&r->adapter);
	str_free(&r->run_id);
	str_free(&r->path);
	str_free(&r->body);
	str_free(&r->key);
	free(r);
}

static Serve__Ref run_ref(const run_t *r)
{
	Serve__Ref ref = SERVE__REF__INIT;

	ref.epoch = r->epoch;
	ref.handle = r->handle;
	ref.attempt = r->attempt;
	return ref;
}

static void send_refused(owner_t *o, host_id_t to, Serve__Ref *ref,
			 reason_t reason, run_state_t run, int retry,
			 uint32_t retry_ms, bool resumable)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Refused m = SERVE__REFUSED__INIT;

	m.ref = ref;
	m.reason = reason;
	m.run = run;
	m.retry = (uint32_t)(retry + 1);
	m.retry_ms = retry_ms;
	m.detail = pb_bytes(str_c(reason_info(reason)->help));
	m.resumable = resumable;
	msg.body_case = SERVE__SERVE_MSG__BODY_REFUSED;
	msg.refused = &m;
	core_send(o->sh->s, to, &msg);
}

/* Ends an attempt without a whole answer; frees r. */
void run_refuse(run_t *r, reason_t reason, run_state_t run, int retry,
		uint32_t retry_ms)
{
	Serve__Ref ref = run_ref(r);

	if (!r->gone)
		send_refused(r->o, r->from, &ref, reason, run, retry, retry_ms,
			     false);
	run_free(r);
}

void run_hand_over(run_t *r)
{
	Serve__Ref ref = run_ref(r);

	if (!r->gone)
		send_refused(r->o, r->from, &ref, REASON_STREAM_TRUNCATED,
			     RUN_YES, NO_RETRY, 0, true);
	run_free(r);
}

static int64_t owner_step_us(const owner_t *o, uint32_t batch)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;

	return (int64_t)((double)cfg->step_us *
			 (1 + cfg->step_growth * (batch ? batch - 1 : 0)));
}

uint32_t owner_batch(const owner_t *o)
{
	return o->row && o->row->max_batch ? o->row->max_batch : 1;
}

/* Expected service time of a request in the batch that is likely. */
int64_t run_cost(const owner_t *o, uint32_t max_tokens)
{
	uint32_t batch = o->n_running + o->foreign + o->n_ready + 1;
	uint32_t tokens = max_tokens ? max_tokens : DEFAULT_TOKENS;

	if (o->row && o->row->kind == TARGET_SERVICE)
		return (int64_t)o->call_us;
	if (batch > owner_batch(o))
		batch = owner_batch(o);
	return (int64_t)((double)tokens * o->ratio *
			 (double)owner_step_us(o, batch));
}

static int64_t owner_running_left(const owner_t *o, int64_t now)
{
	int64_t sum = 0, left;
	const run_t *r;

	cds_list_for_each_entry (r, &o->started, node) {
		left = r->started_us + r->item.cost_us - now;
		if (left > 0)
			sum += left;
	}
	return sum;
}

/* Expected wait until a request with ahead_us of work before it starts. */
int64_t owner_wait_us(const owner_t *o, int64_t ahead_us, int64_t now)
{
	uint32_t batch = owner_batch(o);
	uint32_t busy = o->n_running + o->foreign;

	if (busy + o->n_ready < batch)
		return 0;
	return (owner_running_left(o, now) + ahead_us) / batch;
}

static void run_start(run_t *r, int64_t now)
{
	owner_t *o = r->o;
	engine_order_t eo = {0};
	slot_t *slot = r->hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->phase == RUN_WAITING) {
		queue_dispatch(&o->queue, &r->item);
		cds_list_add_tail(&r->node, &o->started);
		r->started_us = now;
	}
	r->phase = RUN_STARTED;
	r->plain_cost_us =
		(int64_t)((double)run_cost(o, r->max_tokens) / o->ratio);
	eo.kind = r->resume ? ORDER_RESUME : ORDER_RUN;
	eo.adapter = r->adapter;
	eo.base = o->row ? o->row->base : str_n(NULL, 0);
	eo.run_id = r->run_id;
	eo.path = r->path;
	eo.body = r->body;
	eo.idempotency_key = r->key;
	eo.idempotent = r->repeatable;
	eo.resume_offset = r->resume ? r->offset : 0;
	eo.priority = r->item.org_class + r->item.priority;
	eo.deadline_us = r->item.deadline_us;
	eo.progress_us = o->sh->s->cfg.progress_us;
	if (slot) {
		slot->running++;
		slot->last_used_us = now;
	}
	o->n_running++;
	r->order = owner_order(o, &eo, r)->id;
}

/* Refuses all waiting requests, or those for one adapter (hash not 0). */
void owner_refuse_waiting(owner_t *o, uint32_t hash, reason_t reason, int retry)
{
	queue_item_t *it, *tmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (!hash || r->hash == hash)
			run_refuse(r, reason, RUN_NO, retry, 0);
	}
	o->changed = true;
}

/* Dispatch. */

bool run_ready(void *ctx, const queue_item_t *it)
{
	const run_t *r = (const run_t *)it;
	slot_t *slot;

	(void)ctx;
	if (!r->hash || r->resume)
		return true;
	slot = slots_find(&r->o->slots, r->adapter);
	return slot && slot->state == SLOT_RESIDENT && !slot->draining;
}

void owner_work_dispatch(owner_t *o, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	queue_item_t *it;

	while (o->n_running + o->foreign < owner_batch(o)) {
		it = queue_pick(&o->queue, cfg, run_ready, o);
		if (!it)
			return;
		run_start((run_t *)it, now);
		o->changed = true;
	}
}

void owner_work_broken(owner_t *o, int64_t now)
{
	run_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &o->started, node)
		if (r->phase == RUN_BROKEN && now >= r->again_us)
			run_start(r, now);
}

/* The least time that a waiting request needs to its end. */
static int64_t run_least_us(const run_t *r)
{
	int64_t us = r->item.cost_us / 100 * 104;

	return run_ready(NULL, &r->item) ? us : us + r->load_us;
}

/* Refuses what has no chance any more. */
void owner_work_deadlines(owner_t *o, int64_t now)
{
	bool early = o->sh->s->cfg.policy.early_refusal;
	queue_item_t *it, *tmp;
	run_t *r, *rtmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		r = (run_t *)it;
		if (now >= it->deadline_us)
			run_refuse(r, REASON_DEADLINE_PASSED, RUN_NO, NO_RETRY,
				   0);
		else if (early && now + run_least_us(r) > it->deadline_us)
			run_refuse(r, REASON_CANNOT_BE_ON_TIME, RUN_NO,
				   NO_RETRY, 0);
	}
	cds_list_for_each_entry_safe (r, rtmp, &o->started, node) {
		if (now < r->item.deadline_us || !r->repeatable)
			continue;
		owner_order_cancel(o, r->order);
		run_refuse(r, REASON_DEADLINE_EXCEEDED,
			   r->head ? RUN_YES : RUN_UNKNOWN, NO_RETRY, 0);
	}
}

/* Requests from entries. */

static void refuse_submit(shard_t *sh, host_id_t from, const Serve__Submit *m,
			  reason_t reason, int retry, uint32_t retry_ms)
{
	owner_t fake = {.sh = sh};

	send_refused(&fake, from, m->ref, reason, RUN_NO, retry, retry_ms,
		     m->resume && retry == RETRY_OWNER_MOVED);
}

/*
 * An earlier attempt of the same request, here, is ended without a word. Its
 * run goes on at the engine where the new attempt resumes it.
 */
static void owner_drop_older(owner_t *o, host_id_t from, const Serve__Submit *m)
{
	run_t *r, *tmp;
	order_t *ord;

	cds_list_for_each_entry_safe (r, tmp, &o->started, node) {
		if (r->from != from || r->epoch != m->ref->epoch ||
		    r->handle != m->ref->handle)
			continue;
		ord = g_hash_table_lookup(o->sh->orders, &r->order);
		if (m->resume && ord)
			ord->run = NULL;
		else
			owner_order_cancel(o, r->order);
		run_free(r);
	}
}

/* A run id that no other run here has, as an engine ends the older of two. */
static str_t owner_run_id(owner_t *o, const Serve__Submit *m)
{
	str_t id = pb_str(m->run_id);
	AUTO_BUF buf_t other = {0};
	const run_t *r;
	bool taken = false;

	cds_list_for_each_entry (r, &o->started, node)
		taken = taken || str_eq(r->run_id, id);
	if (!taken || m->resume)
		return str_copy(id);
	buf_printf(&other, "%.*s.%llx", STR_ARG(id),
		   (unsigned long long)atomic_load(&o->sh->s->next_order));
	return str_copy(buf_str(&other));
}

static run_t *run_new(owner_t *o, host_id_t from, const Serve__Submit *m,
		      int64_t now)
{
	const org_t *org = decided_org(o->sh->tables, m->org);
	run_t *r = xcalloc(1, sizeof(*r));

	r->o = o;
	r->from = from;
	r->epoch = m->ref->epoch;
	r->handle = m->ref->handle;
	r->attempt = m->ref->attempt;
	r->adapter = str_copy(pb_str(m->adapter));
	r->run_id = owner_run_id(o, m);
	r->path = str_copy(pb_str(m->path));
	r->body = str_copy(pb_str(m->body));
	r->key = str_copy(pb_str(m->key));
	r->hash = r->adapter.n ? slot_hash(r->adapter) : 0;
	r->max_tokens = m->max_tokens;
	r->offset = m->offset;
	r->repeatable = m->repeatable;
	r->resume = m->resume;
	r->arrived_us = now;
	r->load_us =
		m->load_ms ? m->load_ms * USEC_PER_MSEC : o->sh->s->cfg.load_us;
	r->item.org = m->org;
	r->item.org_class = org ? org->priority : 0;
	r->item.priority = m->priority;
	r->item.deadline_us = now + m->slack_us;
	r->item.cost_us = run_cost(o, m->max_tokens);
	r->item.group = r->hash;
	return r;
}

/* When a request that is refused as late could be on time, in ms. */
static uint32_t owner_retry_ms(int64_t late_us)
{
	int64_t ms = late_us / USEC_PER_MSEC;

	if (ms < RETRY_SOON)
		ms = RETRY_SOON;
	return ms > RETRY_MS_MAX ? RETRY_MS_MAX : (uint32_t)ms;
}

/* Expected lateness of a request put into the queue now; 0 or less: on time. */
static int64_t owner_lateness(owner_t *o, const run_t *r, int64_t now)
{
	int64_t ahead =
		queue_work_ahead_us(&o->queue, &o->sh->s->cfg, &r->item);
	int64_t wait = owner_wait_us(o, ahead, now);
	int64_t stall = 0;
	const slot_t *slot = r->hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->hash && !r->resume && (!slot || slot->state != SLOT_RESIDENT))
		stall = place_expected_load_us(&o->sh->s->place, r->load_us,
					       now);
	if (stall > wait)
		wait = stall;
	return now + wait + r->item.cost_us - r->item.deadline_us;
}

static void average(double *mean, double sample)
{
	*mean += AVERAGE_WEIGHT * (sample - *mean);
}

/*
 * Refuses what can no longer be on time, newest first, after many requests
 * have become ready at once.
 */
void owner_refuse_late(owner_t *o, int64_t now)
{
	struct cds_list_head *at = o->queue.items.prev, *prev;

	if (!o->sh->s->cfg.policy.early_refusal)
		return;
	for (; at != &o->queue.items; at = prev) {
		run_t *r = (run_t *)cds_list_entry(at, queue_item_t, node);
		int64_t late = 0;

		prev = at->prev;
		if (r->item.ready)
			late = owner_lateness(o, r, now);
		if (late > 0)
			run_refuse(r, REASON_CANNOT_BE_ON_TIME, RUN_NO,
				   NO_RETRY, owner_retry_ms(late));
	}
}

static void owner_accept(owner_t *o, host_id_t from, const Serve__Submit *m)
{
	shard_t *sh = o->sh;
	const serve_cfg_t *cfg = &sh->s->cfg;
	int64_t now = core_now(sh->s), late;
	run_t *r = run_new(o, from, m, now);

	if (r->hash && !r->resume)
		owner_asked(o, adapter_name_hash(r->adapter), now);
	late = owner_lateness(o, r, now);
	average(&o->mean_cost_us, (double)r->item.cost_us);
	r->phase = RUN_WAITING;
	queue_add(&o->queue, &r->item);
	atomic_fetch_add(&sh->s->n_runs, 1);
	o->changed = true;
	if (r->hash && !r->resume && !slots_find(&o->slots, r->adapter) &&
	    load_backed_off(o, r->hash, now))
		run_refuse(r, REASON_LOAD_FAILED, RUN_NO, RETRY_LOAD_FAILED, 0);
	else if (o->queue.n > cfg->queue_max)
		run_refuse(r, REASON_QUEUE_FULL, RUN_NO, NO_RETRY, 0);
	else if (cfg->policy.early_refusal && late > 0)
		run_refuse(r, REASON_CANNOT_BE_ON_TIME, RUN_NO, NO_RETRY,
			   owner_retry_ms(late));
	owner_work(o, now);
}

void owner_submit(shard_t *sh, host_id_t from, const Serve__Submit *m)
{
	owner_t *o = owner_find(sh, m->target);
	int64_t now = core_now(sh->s);

	if (!m->ref || !sh->tables)
		return;
	if (!o || o->state == OWN_NOT || o->fenced ||
	    now >= sh->standing.lease_until_us) {
		refuse_submit(sh, from, m, REASON_NO_OWNER, RETRY_OWNER_MOVED,
			      0);
		return;
	}
	owner_add_peer(o, from, now);
	owner_drop_older(o, from, m);
	if (o->leaving && !m->resume) {
		o->urgent = true;
		owner_report(o, now);
		refuse_submit(sh, from, m, REASON_NO_TARGET,
			      RETRY_TARGET_LEAVING, 0);
		return;
	}
	owner_accept(o, from, m);
}

static bool run_is(const run_t *r, host_id_t from, const Serve__Ref *ref)
{
	return r->from == from && r->epoch == ref->epoch &&
	       r->handle == ref->handle && r->attempt == ref->attempt;
}

void owner_cancel(shard_t *sh, host_id_t from, const Serve__Cancel *m)
{
	owner_t *o = owner_find(sh, m->target);
	queue_item_t *it, *tmp;
	run_t *r, *rtmp;

	if (!o || !m->ref)
		return;
	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node)
		if (run_is((run_t *)it, from, m->ref))
			run_refuse((run_t *)it, REASON_CANCELLED, RUN_NO,
				   NO_RETRY, 0);
	cds_list_for_each_entry_safe (r, rtmp, &o->started, node) {
		/* A call that may not be repeated goes on to its outcome. */
		if (!run_is(r, from, m->ref) || !r->repeatable)
			continue;
		owner_order_cancel(o, r->order);
		run_free(r);
	}
	owner_work(o, core_now(sh->s));
}

void owners_host_lost(shard_t *sh, host_id_t host)
{
	queue_item_t *it, *tmp;
	owner_t *o;
	run_t *r;

	cds_list_for_each_entry (o, &sh->owners, node) {
		cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node)
			if (((run_t *)it)->from == host)
				run_free((run_t *)it);
		/* What runs may be asked for again by its run id. */
		cds_list_for_each_entry (r, &o->started, node)
			if (r->from == host)
				r->gone = true;
		owner_work(o, core_now(sh->s));
	}
}

static void slot_run_ended(owner_t *o, const order_t *ord)
{
	slot_t *slot;

	if (ord->boot != o->boot)
		return;
	o->n_running--;
	slot = ord->adapter.n ? slots_find(&o->slots, ord->adapter) : NULL;
	if (slot && slot->running)
		slot->running--;
}

static void owner_learn(owner_t *o, const run_t *r, int64_t now)
{
	double took = (double)(now - r->started_us);

	if (o->row && o->row->kind == TARGET_SERVICE) {
		average(&o->call_us, took);
		return;
	}
	if (r->resumes || r->resume || r->plain_cost_us <= 0)
		return;
	average(&o->ratio, took / (double)r->plain_cost_us);
	if (o->ratio < 0.02)
		o->ratio = 0.02;
	if (o->ratio > 5)
		o->ratio = 5;
}

static void run_relay_head(run_t *r, int status)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Head m = SERVE__HEAD__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->gone || r->head)
		return;
	r->head = true;
	m.ref = &ref;
	m.status = status;
	m.offset = r->offset;
	msg.body_case = SERVE__SERVE_MSG__BODY_HEAD;
	msg.head = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_relay_chunk(run_t *r, str_t data)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Chunk m = SERVE__CHUNK__INIT;
	Serve__Ref ref = run_ref(r);

	m.ref = &ref;
	m.offset = r->offset;
	m.data = pb_bytes(data);
	r->offset += data.n;
	if (r->gone)
		return;
	msg.body_case = SERVE__SERVE_MSG__BODY_CHUNK;
	msg.chunk = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_relay_done(run_t *r)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Done m = SERVE__DONE__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->gone)
		return;
	m.ref = &ref;
	m.length = r->offset;
	m.stall_us = r->stall_us;
	msg.body_case = SERVE__SERVE_MSG__BODY_DONE;
	msg.done = &m;
	core_send(r->o->sh->s, r->from, &msg);
}

static void run_head(run_t *r, order_t *ord, const engine_event_t *ev)
{
	owner_t *o = r->o;

	if (ev->boot_id && ev->boot_id != o->boot) {
		if (o->boot)
			owner_rebooted(o, ev->boot_id, r);
		o->boot = ev->boot_id;
		ord->boot = ev->boot_id;
		owner_poll_soon(o, owner_now(o));
	}
	if (r->adapter.n && ev->served_by.n &&
	    !str_eq(ev->served_by, r->adapter)) {
		log_event(LOG_ERR, "wrong_version", kv_u("target", o->id),
			  kv_s("asked", r->adapter),
			  kv_s("served", ev->served_by));
		owner_order_cancel(o, ord->id);
		owner_poll_soon(o, owner_now(o));
		run_refuse(r, REASON_WRONG_VERSION, RUN_YES, NO_RETRY, 0);
		return;
	}
	run_relay_head(r, ev->http_status);
}

static void run_chunk(run_t *r, const order_t *ord, const engine_event_t *ev)
{
	uint64_t skip;

	if (ev->offset > r->offset) {
		owner_order_cancel(r->o, ord->id);
		run_refuse(r, REASON_STREAM_TRUNCATED, RUN_YES, NO_RETRY, 0);
		return;
	}
	skip = r->offset - ev->offset;
	if (skip >= ev->data.n)
		return;
	run_relay_head(r, 200);
	run_relay_chunk(r, str_n(ev->data.p + skip, ev->data.n - skip));
}

static void run_done(run_t *r, int64_t now)
{
	owner_learn(r->o, r, now);
	run_relay_done(r);
	run_free(r);
}

/* Whether the engine may go on with the stream where it broke off. */
static bool run_resumable(const run_t *r)
{
	return r->repeatable && r->offset && r->head &&
	       (!r->o->row || r->o->row->kind == TARGET_RUNNER);
}

static bool run_resume(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->o;

	if (!run_resumable(r) || r->resumes >= RESUMES_MAX ||
	    ev->reason == REASON_CANCELLED ||
	    ev->reason == REASON_TARGET_REFUSED)
		return false;
	if (o->state != OWN_ACTIVE) {
		run_hand_over(r);
		return true;
	}
	counter_retried(RETRY_RESUMED);
	r->phase = RUN_BROKEN;
	r->resume = true;
	r->order = 0;
	r->again_us = now + RESUME_DELAY_US * r->resumes;
	r->resumes++;
	return true;
}

static int retry_of(reason_t reason)
{
	switch (reason) {
	case REASON_TARGET_REFUSED:
		return RETRY_TARGET_REFUSED;
	case REASON_TARGET_STALLED:
		return RETRY_TARGET_STALLED;
	case REASON_TARGET_LOST:
	case REASON_STREAM_TRUNCATED:
		return RETRY_TARGET_LOST;
	default:
		return NO_RETRY;
	}
}

/* The engine does not have the adapter that it should have. */
static void run_adapter_missing(run_t *r)
{
	owner_t *o = r->o;
	slot_t *slot = slots_find(&o->slots, r->adapter);

	if (slot && slot->state == SLOT_RESIDENT && !slot->running)
		slot_clear(slot);
	run_refuse(r, REASON_TARGET_REFUSED, RUN_NO, RETRY_TARGET_REFUSED, 0);
}

static void run_failed(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->o;
	run_state_t run = ev->sent ? RUN_UNKNOWN : RUN_NO;

	owner_poll_soon(o, now);
	if (r->head)
		run = RUN_YES;
	else if (reason_info(ev->reason)->run == RUN_NO)
		run = RUN_NO;
	if (ev->old_fence) {
		if (run_resumable(r))
			run_hand_over(r);
		else
			run_refuse(r, REASON_NO_OWNER,
				   r->head ? RUN_YES : RUN_NO,
				   RETRY_OWNER_MOVED, 0);
	} else if (ev->target_leaving) {
		run_refuse(r, REASON_NO_TARGET, r->head ? RUN_YES : RUN_NO,
			   RETRY_TARGET_LEAVING, 0);
	} else if (ev->http_status == 404 && r->hash && !r->head &&
		   !r->resume) {
		run_adapter_missing(r);
	} else if (!run_resume(r, ev, now)) {
		run_refuse(r, ev->reason, run, retry_of(ev->reason), 0);
	}
}

void owner_run_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		     int64_t now)
{
	run_t *r = ord->run;

	if (engine_event_final(ev))
		slot_run_ended(o, ord);
	if (!r) {
		counter_add(CTR_LATE_DROPPED, 1);
		return;
	}
	if (engine_event_final(ev))
		ord->run = NULL;
	switch (ev->kind) {
	case EVENT_HEAD:
		run_head(r, ord, ev);
		break;
	case EVENT_CHUNK:
		run_chunk(r, ord, ev);
		break;
	case EVENT_DONE:
		run_done(r, now);
		break;
	default:
		run_failed(r, ev, now);
		break;
	}
}
