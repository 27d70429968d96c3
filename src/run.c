/*
 * run.c - requests at the owner of their target: queueing, early refusal,
 * dispatch, relaying of the answer, resumption and deadlines.
 */
#include "owner.h"

#include <string.h>

#include "counter.h"
#include "log.h"

/* Resumptions of one stream by its owner; the first one is immediate. */
#define RESUMES_MAX 3u
#define RESUME_DELAY_US (100 * USEC_PER_MSEC)
/* Assumed answer length of a request that sets no max_tokens. */
#define DEFAULT_TOKENS 64u
/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.1
/* Bound on the retry delay given to a request that is refused as late. */
#define RETRY_MS_MAX 10000

/* Runs. */

void run_free(run_t *r)
{
	if (r->phase == RUN_QUEUED)
		queue_remove(&r->owner->queue, &r->item);
	else
		cds_list_del(&r->node);
	atomic_fetch_sub(&r->owner->sh->s->n_runs, 1);
	str_free(&r->adapter);
	str_free(&r->run_id);
	str_free(&r->path);
	str_free(&r->body);
	str_free(&r->idempotency_key);
	free(r);
}

static Serve__Ref run_ref(const run_t *r)
{
	Serve__Ref ref = SERVE__REF__INIT;

	ref.epoch = r->entry_epoch;
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

void run_fail(run_t *r, reason_t reason, run_state_t run, int retry,
	      uint32_t retry_ms)
{
	Serve__Ref ref = run_ref(r);

	if (!r->entry_gone)
		send_refused(r->owner, r->entry_host, &ref, reason, run, retry,
			     retry_ms, false);
	run_free(r);
}

void run_hand_over(run_t *r)
{
	Serve__Ref ref = run_ref(r);

	if (!r->entry_gone)
		send_refused(r->owner, r->entry_host, &ref,
			     REASON_STREAM_TRUNCATED, RUN_YES, NO_RETRY, 0,
			     true);
	run_free(r);
}

/* Expected duration of an engine step at a batch size. */
static int64_t owner_expected_step_us(const owner_t *o, uint32_t batch)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;

	return (int64_t)((double)cfg->step_us *
			 (1 + cfg->step_growth * (batch ? batch - 1 : 0)));
}

uint32_t owner_max_batch(const owner_t *o)
{
	return o->row && o->row->max_batch ? o->row->max_batch : 1;
}

int64_t run_expected_cost_us(const owner_t *o, uint32_t max_tokens)
{
	uint32_t batch = o->n_running + o->foreign_runs + o->n_ready + 1;
	uint32_t tokens = max_tokens ? max_tokens : DEFAULT_TOKENS;

	if (o->row && o->row->kind == TARGET_SERVICE)
		return (int64_t)o->mean_call_us;
	if (batch > owner_max_batch(o))
		batch = owner_max_batch(o);
	return (int64_t)((double)tokens * o->cost_ratio *
			 (double)owner_expected_step_us(o, batch));
}

/* Sum of the expected remaining service times of the started runs. */
static int64_t owner_remaining_us(const owner_t *o, int64_t now)
{
	int64_t sum = 0, remaining;
	const run_t *r;

	cds_list_for_each_entry (r, &o->started_runs, node) {
		remaining = r->started_us + r->item.cost_us - now;
		if (remaining > 0)
			sum += remaining;
	}
	return sum;
}

int64_t owner_expected_wait_us(const owner_t *o, int64_t ahead_us, int64_t now)
{
	uint32_t batch = owner_max_batch(o);
	uint32_t busy = o->n_running + o->foreign_runs;

	if (busy + o->n_ready < batch)
		return 0;
	return (owner_remaining_us(o, now) + ahead_us) / batch;
}

static void run_start(run_t *r, int64_t now)
{
	owner_t *o = r->owner;
	engine_order_t eo = {0};
	slot_t *slot =
		r->adapter_hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->phase == RUN_QUEUED) {
		queue_dispatch(&o->queue, &r->item);
		cds_list_add_tail(&r->node, &o->started_runs);
		r->started_us = now;
	}
	r->phase = RUN_DISPATCHED;
	r->uncorrected_cost_us =
		(int64_t)((double)run_expected_cost_us(o, r->max_tokens) /
			  o->cost_ratio);
	eo.kind = r->resume ? ORDER_RESUME : ORDER_RUN;
	eo.adapter = r->adapter;
	eo.base = o->row ? o->row->base : str_n(NULL, 0);
	eo.run_id = r->run_id;
	eo.path = r->path;
	eo.body = r->body;
	eo.idempotency_key = r->idempotency_key;
	eo.idempotent = r->repeatable;
	eo.resume_offset = r->resume ? r->relayed_bytes : 0;
	eo.priority = r->item.org_class + r->item.priority;
	eo.deadline_us = r->item.deadline_us;
	eo.progress_timeout_us = o->sh->s->cfg.progress_timeout_us;
	if (slot) {
		slot->running++;
		slot->last_used_us = now;
	}
	o->n_running++;
	r->order_id = owner_send_order(o, &eo, r)->id;
}

void owner_refuse_waiting(owner_t *o, uint32_t adapter_hash, reason_t reason,
			  int retry)
{
	queue_item_t *it, *tmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		run_t *r = (run_t *)it;

		if (!adapter_hash || r->adapter_hash == adapter_hash)
			run_fail(r, reason, RUN_NO, retry, 0);
	}
	o->changed_since_report = true;
}

/* Dispatch. */

bool run_can_start(void *ctx, const queue_item_t *it)
{
	const run_t *r = (const run_t *)it;
	slot_t *slot;

	(void)ctx;
	if (!r->adapter_hash || r->resume)
		return true;
	slot = slots_find(&r->owner->slots, r->adapter);
	return slot && slot->state == SLOT_RESIDENT && !slot->draining;
}

void owner_dispatch(owner_t *o, int64_t now)
{
	const serve_cfg_t *cfg = &o->sh->s->cfg;
	queue_item_t *it;

	while (o->n_running + o->foreign_runs < owner_max_batch(o)) {
		it = queue_pick(&o->queue, cfg, run_can_start, o);
		if (!it)
			return;
		run_start((run_t *)it, now);
		o->changed_since_report = true;
	}
}

void owner_resume_broken(owner_t *o, int64_t now)
{
	run_t *r, *tmp;

	cds_list_for_each_entry_safe (r, tmp, &o->started_runs, node)
		if (r->phase == RUN_AWAITING_RESUME && now >= r->resume_at_us)
			run_start(r, now);
}

/*
 * Returns the shortest time in which a queued request could be complete: its
 * expected service time plus 4 %, and the load of its adapter if it needs one.
 */
static int64_t run_min_us(const run_t *r)
{
	int64_t us = r->item.cost_us / 100 * 104;

	return run_can_start(NULL, &r->item) ? us : us + r->load_us;
}

void owner_enforce_deadlines(owner_t *o, int64_t now)
{
	bool early = o->sh->s->cfg.policy.early_refusal;
	queue_item_t *it, *tmp;
	run_t *r, *rtmp;

	cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node) {
		r = (run_t *)it;
		if (now >= it->deadline_us)
			run_fail(r, REASON_DEADLINE_PASSED, RUN_NO, NO_RETRY,
				 0);
		else if (early && now + run_min_us(r) > it->deadline_us)
			run_fail(r, REASON_CANNOT_BE_ON_TIME, RUN_NO, NO_RETRY,
				 0);
	}
	cds_list_for_each_entry_safe (r, rtmp, &o->started_runs, node) {
		if (now < r->item.deadline_us || !r->repeatable)
			continue;
		owner_cancel_order(o, r->order_id);
		run_fail(r, REASON_DEADLINE_EXCEEDED,
			 r->head_relayed ? RUN_YES : RUN_UNKNOWN, NO_RETRY, 0);
	}
}

/* Requests from the entries. */

static void refuse_submit(shard_t *sh, host_id_t from, const Serve__Submit *m,
			  reason_t reason, int retry, uint32_t retry_ms)
{
	owner_t stub = {.sh = sh}; /* send_refused() needs only the shard */

	send_refused(&stub, from, m->ref, reason, RUN_NO, retry, retry_ms,
		     m->resume && retry == RETRY_OWNER_MOVED);
}

/*
 * Ends an earlier attempt of the same request here and tells the entry nothing.
 * The engine's run is cancelled, unless the new attempt resumes it.
 */
static void owner_drop_older_attempt(owner_t *o, host_id_t from,
				     const Serve__Submit *m)
{
	run_t *r, *tmp;
	order_t *ord;

	cds_list_for_each_entry_safe (r, tmp, &o->started_runs, node) {
		if (r->entry_host != from || r->entry_epoch != m->ref->epoch ||
		    r->handle != m->ref->handle)
			continue;
		ord = g_hash_table_lookup(o->sh->orders, &r->order_id);
		if (m->resume && ord)
			ord->run = NULL;
		else
			owner_cancel_order(o, r->order_id);
		run_free(r);
	}
}

/*
 * Returns a run id that no other started run here has, because an engine ends
 * the older of two runs with the same id.
 */
static str_t owner_run_id(owner_t *o, const Serve__Submit *m)
{
	str_t id = pb_str(m->run_id);
	AUTO_BUF buf_t unique = {0};
	const run_t *r;
	bool in_use = false;

	cds_list_for_each_entry (r, &o->started_runs, node)
		in_use = in_use || str_eq(r->run_id, id);
	if (!in_use || m->resume)
		return str_copy(id);
	buf_printf(&unique, "%.*s.%llx", STR_ARG(id),
		   (unsigned long long)atomic_load(&o->sh->s->next_order_id));
	return str_copy(buf_str(&unique));
}

static run_t *run_new(owner_t *o, host_id_t from, const Serve__Submit *m,
		      int64_t now)
{
	const org_t *org = decided_org(o->sh->tables, m->org);
	run_t *r = xcalloc(1, sizeof(*r));

	r->owner = o;
	r->entry_host = from;
	r->entry_epoch = m->ref->epoch;
	r->handle = m->ref->handle;
	r->attempt = m->ref->attempt;
	r->adapter = str_copy(pb_str(m->adapter));
	r->run_id = owner_run_id(o, m);
	r->path = str_copy(pb_str(m->path));
	r->body = str_copy(pb_str(m->body));
	r->idempotency_key = str_copy(pb_str(m->key));
	r->adapter_hash = r->adapter.n ? slot_hash(r->adapter) : 0;
	r->max_tokens = m->max_tokens;
	r->relayed_bytes = m->offset;
	r->repeatable = m->repeatable;
	r->resume = m->resume;
	r->arrived_us = now;
	r->load_us =
		m->load_ms ? m->load_ms * USEC_PER_MSEC : o->sh->s->cfg.load_us;
	r->item.org = m->org;
	r->item.org_class = org ? org->priority : 0;
	r->item.priority = m->priority;
	r->item.deadline_us = now + m->slack_us;
	r->item.cost_us = run_expected_cost_us(o, m->max_tokens);
	r->item.group = r->adapter_hash;
	return r;
}

/*
 * Retry delay, in ms, sent for a request that is refused because it would be
 * complete late_us after its deadline.
 */
static uint32_t late_retry_ms(int64_t late_us)
{
	int64_t ms = late_us / USEC_PER_MSEC;

	if (ms < RETRY_SOON)
		ms = RETRY_SOON;
	return ms > RETRY_MS_MAX ? RETRY_MS_MAX : (uint32_t)ms;
}

/* Expected lateness of a request that is queued now; 0 or less is on time. */
static int64_t owner_lateness(owner_t *o, const run_t *r, int64_t now)
{
	int64_t ahead =
		queue_work_ahead_us(&o->queue, &o->sh->s->cfg, &r->item);
	int64_t wait = owner_expected_wait_us(o, ahead, now);
	int64_t stall = 0;
	const slot_t *slot =
		r->adapter_hash ? slots_find(&o->slots, r->adapter) : NULL;

	if (r->adapter_hash && !r->resume &&
	    (!slot || slot->state != SLOT_RESIDENT))
		stall = place_expected_load_us(&o->sh->s->place, r->load_us,
					       now);
	if (stall > wait)
		wait = stall;
	return now + wait + r->item.cost_us - r->item.deadline_us;
}

static void update_average(double *mean, double sample)
{
	*mean += AVERAGE_WEIGHT * (sample - *mean);
}

void owner_refuse_late(owner_t *o, int64_t now)
{
	struct cds_list_head *pos = o->queue.items.prev, *prev;

	if (!o->sh->s->cfg.policy.early_refusal)
		return;
	for (; pos != &o->queue.items; pos = prev) {
		run_t *r = (run_t *)cds_list_entry(pos, queue_item_t, node);
		int64_t late = 0;

		prev = pos->prev;
		if (r->item.ready)
			late = owner_lateness(o, r, now);
		if (late > 0)
			run_fail(r, REASON_CANNOT_BE_ON_TIME, RUN_NO, NO_RETRY,
				 late_retry_ms(late));
	}
}

static void owner_enqueue(owner_t *o, host_id_t from, const Serve__Submit *m)
{
	shard_t *sh = o->sh;
	const serve_cfg_t *cfg = &sh->s->cfg;
	int64_t now = core_now(sh->s), late;
	run_t *r = run_new(o, from, m, now);

	if (r->adapter_hash && !r->resume)
		owner_count_request(o, adapter_name_hash(r->adapter), now);
	late = owner_lateness(o, r, now);
	update_average(&o->mean_cost_us, (double)r->item.cost_us);
	r->phase = RUN_QUEUED;
	queue_add(&o->queue, &r->item);
	atomic_fetch_add(&sh->s->n_runs, 1);
	o->changed_since_report = true;
	if (r->adapter_hash && !r->resume &&
	    !slots_find(&o->slots, r->adapter) &&
	    load_backed_off(o, r->adapter_hash, now))
		run_fail(r, REASON_LOAD_FAILED, RUN_NO, RETRY_LOAD_FAILED, 0);
	else if (o->queue.n > cfg->queue_max)
		run_fail(r, REASON_QUEUE_FULL, RUN_NO, NO_RETRY, 0);
	else if (cfg->policy.early_refusal && late > 0)
		run_fail(r, REASON_CANNOT_BE_ON_TIME, RUN_NO, NO_RETRY,
			 late_retry_ms(late));
	owner_advance(o, now);
}

void owner_submit(shard_t *sh, host_id_t from, const Serve__Submit *m)
{
	owner_t *o = owner_find(sh, m->target);
	int64_t now = core_now(sh->s);

	if (!m->ref || !sh->tables)
		return;
	if (!o || o->state == OWNERSHIP_NONE || o->fenced_off ||
	    now >= sh->lease_status.lease_until_us) {
		refuse_submit(sh, from, m, REASON_NO_OWNER, RETRY_OWNER_MOVED,
			      0);
		return;
	}
	owner_note_peer(o, from, now);
	owner_drop_older_attempt(o, from, m);
	if (o->leaving && !m->resume) {
		o->report_urgent = true;
		owner_report(o, now);
		refuse_submit(sh, from, m, REASON_NO_TARGET,
			      RETRY_TARGET_LEAVING, 0);
		return;
	}
	owner_enqueue(o, from, m);
}

static bool run_matches(const run_t *r, host_id_t from, const Serve__Ref *ref)
{
	return r->entry_host == from && r->entry_epoch == ref->epoch &&
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
		if (run_matches((run_t *)it, from, m->ref))
			run_fail((run_t *)it, REASON_CANCELLED, RUN_NO,
				 NO_RETRY, 0);
	cds_list_for_each_entry_safe (r, rtmp, &o->started_runs, node) {
		/* A call that may not be repeated runs on to its outcome. */
		if (!run_matches(r, from, m->ref) || !r->repeatable)
			continue;
		owner_cancel_order(o, r->order_id);
		run_free(r);
	}
	owner_advance(o, core_now(sh->s));
}

void owners_host_lost(shard_t *sh, host_id_t host)
{
	queue_item_t *it, *tmp;
	owner_t *o;
	run_t *r;

	cds_list_for_each_entry (o, &sh->owners, node) {
		cds_list_for_each_entry_safe (it, tmp, &o->queue.items, node)
			if (((run_t *)it)->entry_host == host)
				run_free((run_t *)it);
		/* Started runs go on: a caller may reconnect by the run id. */
		cds_list_for_each_entry (r, &o->started_runs, node)
			if (r->entry_host == host)
				r->entry_gone = true;
		owner_advance(o, core_now(sh->s));
	}
}

static void owner_count_run_end(owner_t *o, const order_t *ord)
{
	slot_t *slot;

	if (ord->boot_id != o->boot_id)
		return;
	o->n_running--;
	slot = ord->adapter.n ? slots_find(&o->slots, ord->adapter) : NULL;
	if (slot && slot->running)
		slot->running--;
}

/* Updates the expected service times with the duration of an ended run. */
static void owner_update_estimates(owner_t *o, const run_t *r, int64_t now)
{
	double elapsed_us = (double)(now - r->started_us);

	if (o->row && o->row->kind == TARGET_SERVICE) {
		update_average(&o->mean_call_us, elapsed_us);
		return;
	}
	if (r->n_resumes || r->resume || r->uncorrected_cost_us <= 0)
		return;
	update_average(&o->cost_ratio,
		       elapsed_us / (double)r->uncorrected_cost_us);
	if (o->cost_ratio < 0.02)
		o->cost_ratio = 0.02;
	if (o->cost_ratio > 5)
		o->cost_ratio = 5;
}

static void run_relay_head(run_t *r, int status)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Head m = SERVE__HEAD__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->entry_gone || r->head_relayed)
		return;
	r->head_relayed = true;
	m.ref = &ref;
	m.status = status;
	m.offset = r->relayed_bytes;
	msg.body_case = SERVE__SERVE_MSG__BODY_HEAD;
	msg.head = &m;
	core_send(r->owner->sh->s, r->entry_host, &msg);
}

static void run_relay_chunk(run_t *r, str_t data)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Chunk m = SERVE__CHUNK__INIT;
	Serve__Ref ref = run_ref(r);

	m.ref = &ref;
	m.offset = r->relayed_bytes;
	m.data = pb_bytes(data);
	r->relayed_bytes += data.n;
	if (r->entry_gone)
		return;
	msg.body_case = SERVE__SERVE_MSG__BODY_CHUNK;
	msg.chunk = &m;
	core_send(r->owner->sh->s, r->entry_host, &msg);
}

static void run_relay_done(run_t *r)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Done m = SERVE__DONE__INIT;
	Serve__Ref ref = run_ref(r);

	if (r->entry_gone)
		return;
	m.ref = &ref;
	m.length = r->relayed_bytes;
	m.stall_us = r->stall_us;
	msg.body_case = SERVE__SERVE_MSG__BODY_DONE;
	msg.done = &m;
	core_send(r->owner->sh->s, r->entry_host, &msg);
}

static void run_on_head(run_t *r, order_t *ord, const engine_event_t *ev)
{
	owner_t *o = r->owner;

	if (ev->boot_id && ev->boot_id != o->boot_id) {
		if (o->boot_id)
			owner_target_restarted(o, ev->boot_id, r);
		o->boot_id = ev->boot_id;
		ord->boot_id = ev->boot_id;
		owner_poll_now(o, owner_now(o));
	}
	if (r->adapter.n && ev->served_by.n &&
	    !str_eq(ev->served_by, r->adapter)) {
		log_event(LOG_ERR, "adapter_version_mismatch",
			  kv_u("target", o->id),
			  kv_s("requested_adapter", r->adapter),
			  kv_s("served_adapter", ev->served_by));
		owner_cancel_order(o, ord->id);
		owner_poll_now(o, owner_now(o));
		run_fail(r, REASON_WRONG_VERSION, RUN_YES, NO_RETRY, 0);
		return;
	}
	run_relay_head(r, ev->http_status);
}

static void run_on_chunk(run_t *r, const order_t *ord, const engine_event_t *ev)
{
	uint64_t skip;

	if (ev->offset > r->relayed_bytes) {
		owner_cancel_order(r->owner, ord->id);
		run_fail(r, REASON_STREAM_TRUNCATED, RUN_YES, NO_RETRY, 0);
		return;
	}
	skip = r->relayed_bytes - ev->offset;
	if (skip >= ev->data.n)
		return;
	run_relay_head(r, 200);
	run_relay_chunk(r, str_n(ev->data.p + skip, ev->data.n - skip));
}

static void run_on_done(run_t *r, int64_t now)
{
	owner_update_estimates(r->owner, r, now);
	run_relay_done(r);
	run_free(r);
}

/* Whether the engine may resume the stream at the point where it broke. */
static bool run_resumable(const run_t *r)
{
	return r->repeatable && r->relayed_bytes && r->head_relayed &&
	       (!r->owner->row || r->owner->row->kind == TARGET_RUNNER);
}

static bool run_try_resume(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->owner;

	if (!run_resumable(r) || r->n_resumes >= RESUMES_MAX ||
	    ev->reason == REASON_CANCELLED ||
	    ev->reason == REASON_TARGET_REFUSED)
		return false;
	if (o->state != OWNERSHIP_ACTIVE) {
		run_hand_over(r);
		return true;
	}
	counter_add_retried(RETRY_RESUMED);
	r->phase = RUN_AWAITING_RESUME;
	r->resume = true;
	r->order_id = 0;
	r->resume_at_us = now + RESUME_DELAY_US * r->n_resumes;
	r->n_resumes++;
	return true;
}

static int retry_reason_of(reason_t reason)
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

/* Ends a run whose adapter the engine reported as not loaded. */
static void run_adapter_missing(run_t *r)
{
	owner_t *o = r->owner;
	slot_t *slot = slots_find(&o->slots, r->adapter);

	if (slot && slot->state == SLOT_RESIDENT && !slot->running)
		slot_clear(slot);
	run_fail(r, REASON_TARGET_REFUSED, RUN_NO, RETRY_TARGET_REFUSED, 0);
}

static void run_on_failed(run_t *r, const engine_event_t *ev, int64_t now)
{
	owner_t *o = r->owner;
	run_state_t run = ev->sent ? RUN_UNKNOWN : RUN_NO;

	owner_poll_now(o, now);
	if (r->head_relayed)
		run = RUN_YES;
	else if (reason_info(ev->reason)->run_state == RUN_NO)
		run = RUN_NO;
	if (ev->old_fence) {
		if (run_resumable(r))
			run_hand_over(r);
		else
			run_fail(r, REASON_NO_OWNER,
				 r->head_relayed ? RUN_YES : RUN_NO,
				 RETRY_OWNER_MOVED, 0);
	} else if (ev->target_leaving) {
		run_fail(r, REASON_NO_TARGET,
			 r->head_relayed ? RUN_YES : RUN_NO,
			 RETRY_TARGET_LEAVING, 0);
	} else if (ev->http_status == 404 && r->adapter_hash &&
		   !r->head_relayed && !r->resume) {
		run_adapter_missing(r);
	} else if (!run_try_resume(r, ev, now)) {
		run_fail(r, ev->reason, run, retry_reason_of(ev->reason), 0);
	}
}

void owner_run_event(owner_t *o, order_t *ord, const engine_event_t *ev,
		     int64_t now)
{
	run_t *r = ord->run;

	if (engine_event_is_final(ev))
		owner_count_run_end(o, ord);
	if (!r) {
		counter_add(CTR_LATE_DROPPED, 1);
		return;
	}
	if (engine_event_is_final(ev))
		ord->run = NULL;
	switch (ev->kind) {
	case EVENT_HEAD:
		run_on_head(r, ord, ev);
		break;
	case EVENT_CHUNK:
		run_on_chunk(r, ord, ev);
		break;
	case EVENT_DONE:
		run_on_done(r, now);
		break;
	default:
		run_on_failed(r, ev, now);
		break;
	}
}
