/*
 * entry.c - requests accepted by this daemon: resolve, limits, deadline,
 * claim, place, send to the owner, relay, try again where that is safe.
 */
#include "core.h"

#include <stdio.h>
#include <string.h>

#include "counter.h"
#include "log.h"

#define TICK_LEAST_US (5 * USEC_PER_MSEC)
#define ATTEMPTS_MAX 12u
#define TRIED_MAX 8u
/* Attempts up to this one are followed at once, later ones after a delay. */
#define RETRY_AT_ONCE 3u
#define RETRY_DELAY_US (5 * USEC_PER_MSEC)
/* Longest wait for a target to get an owner. */
#define HOLD_MAX_US (6 * USEC_PER_SEC)
#define HOLD_POLL_US (50 * USEC_PER_MSEC)
/* Longest wait for the first share of a limit. */
#define SHARE_WAIT_US (400 * USEC_PER_MSEC)
#define SHARE_POLL_US (20 * USEC_PER_MSEC)
/* After the deadline, how long the owner's own verdict is awaited. */
#define DEADLINE_GRACE_US (250 * USEC_PER_MSEC)
/* Between proposals of one claim operation, and how long they go on. */
#define CLAIM_RETRY_US (200 * USEC_PER_MSEC)
#define RECORD_MAX_US (30 * USEC_PER_SEC)

typedef enum phase {
	PHASE_SHARE,  /* waits for a share of its organisation's limits */
	PHASE_CLAIM,  /* CLAIM_TAKE is proposed */
	PHASE_HOLD,   /* waits for a target with an owner */
	PHASE_SENT,   /* the owner has it */
	PHASE_RECORD, /* ANSWER, UNKNOWN or RELEASE is proposed */
} phase_t;

typedef struct entry {
	struct cds_list_head node;
	uint64_t handle;
	phase_t phase;
	decided_t *tables; /* pinned for the request's life */
	const org_t *org;  /* of the pinned tables, as the next two */
	str_t base;
	str_t name;
	str_t adapter; /* "name@version", owned, as the next four */
	str_t run_id;
	str_t path;
	str_t body;
	str_t key;
	char holder[48]; /* of claims; unique to this request */
	uint32_t load_ms;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint64_t prefix_hash;
	int32_t priority;
	int64_t deadline_us;
	int64_t held_us;  /* since when without a target; 0: not */
	int64_t until_us; /* PHASE_SHARE, PHASE_RECORD: gives up */
	int64_t again_us; /* when to look again; INT64_MAX: not by time */
	bool is_call;
	bool repeatable;
	bool admitted;	/* counted in the limits */
	bool claimed;	/* CLAIM_TAKE was granted */
	bool gone;	/* the caller got its final reply, or went away */
	bool head;	/* HEAD was relayed */
	bool resume;	/* goes on at offset on its target */
	bool reconnect; /* the caller looks for its run: where is not known */
	claim_op_t claim_op;
	uint32_t attempt;
	target_id_t target;
	host_id_t owner;
	uint64_t fence; /* of the target when the attempt was sent */
	target_id_t tried[TRIED_MAX];
	size_t n_tried;
	run_state_t run; /* worst case over all attempts */
	reason_t why;	 /* of the last attempt's end */
	uint64_t offset; /* answer bytes had by the caller */
	buf_t answer;	 /* claimed: kept for resends */
	bool too_long;	 /* the answer cannot be stored */
	int status;	 /* of the answer */
	int64_t stall_us;
} entry_t;

void entries_init(shard_t *sh)
{
	CDS_INIT_LIST_HEAD(&sh->entries);
	sh->by_handle = g_hash_table_new(g_int64_hash, g_int64_equal);
}

static entry_t *entry_find(shard_t *sh, uint64_t handle)
{
	return g_hash_table_lookup(sh->by_handle, &handle);
}

static void entry_free(shard_t *sh, entry_t *e)
{
	if (e->admitted)
		limits_release(&sh->s->limits, e->org->id);
	g_hash_table_remove(sh->by_handle, &e->handle);
	cds_list_del(&e->node);
	atomic_fetch_sub(&sh->s->n_entries, 1);
	decided_unref(e->tables);
	str_free(&e->adapter);
	str_free(&e->run_id);
	str_free(&e->path);
	str_free(&e->body);
	str_free(&e->key);
	buf_free(&e->answer);
	free(e);
}

void entries_free(shard_t *sh)
{
	entry_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &sh->entries, node)
		entry_free(sh, e);
	g_hash_table_destroy(sh->by_handle);
}

/* Replies. */

static void entry_reply(shard_t *sh, entry_t *e, serve_reply_t *rep)
{
	if (e->gone)
		return;
	rep->adapter = e->adapter;
	rep->target = e->target;
	rep->owner = e->owner;
	rep->attempt = e->attempt;
	rep->stall_us = e->stall_us;
	if (rep->kind >= REPLY_DONE)
		e->gone = true;
	sh->s->ops.reply(sh->s->ctx, e->handle, rep);
}

static void reply_fail(shard_t *sh, entry_t *e, reason_t reason,
		       uint32_t retry_ms, str_t detail)
{
	serve_reply_t rep = {0};

	if (e->gone)
		return;
	counter_refused(reason);
	rep.kind = REPLY_FAIL;
	rep.reason = reason;
	rep.run = e->run;
	rep.retry_ms = retry_ms ? retry_ms : reason_info(reason)->retry_ms;
	rep.detail = detail;
	entry_reply(sh, e, &rep);
}

/* Claims. */

/* Until when this entry may still record how the call ended. */
static uint64_t claim_ttl_ms(const shard_t *sh, const entry_t *e)
{
	int64_t left = e->deadline_us + RECORD_MAX_US - core_now(sh->s);

	return (uint64_t)(left / USEC_PER_MSEC);
}

static void entry_propose(shard_t *sh, entry_t *e, claim_op_t op)
{
	claim_req_t req = {0};

	e->claim_op = op;
	e->again_us = INT64_MAX;
	req.tag = e->handle;
	req.op = op;
	req.org_id = e->org->id;
	req.key = e->key;
	req.holder = str_c(e->holder);
	req.body_hash = hash_bytes(e->body.p, e->body.n,
				   hash_bytes(e->path.p, e->path.n, 0));
	if (op == CLAIM_TAKE)
		req.ttl_ms = claim_ttl_ms(sh, e);
	if (op == CLAIM_ANSWER) {
		req.http_status = e->status;
		req.body = buf_str(&e->answer);
	}
	sh->s->ops.claim(sh->s->ctx, &req);
}

static void entry_record(shard_t *sh, entry_t *e, claim_op_t op)
{
	e->phase = PHASE_RECORD;
	e->until_us = core_now(sh->s) + RECORD_MAX_US;
	entry_propose(sh, e, op);
}

/*
 * Ends a request without a whole answer. A claim is released only where no
 * attempt can have run.
 */
static void entry_fail(shard_t *sh, entry_t *e, reason_t reason,
		       uint32_t retry_ms, str_t detail)
{
	if (e->claimed && e->run != RUN_NO && reason != REASON_CANCELLED &&
	    reason != REASON_DEADLINE_EXCEEDED)
		reason = REASON_OUTCOME_UNKNOWN;
	reply_fail(sh, e, reason, retry_ms, detail);
	if (e->claimed)
		entry_record(sh, e,
			     e->run == RUN_NO ? CLAIM_RELEASE : CLAIM_UNKNOWN);
	else
		entry_free(sh, e);
}

/* Ends a request that was refused before any claim or attempt. */
static void entry_refuse(shard_t *sh, entry_t *e, reason_t reason)
{
	entry_fail(sh, e, reason, 0, str_c(reason_info(reason)->help));
}

/* Ends a request whose whole answer has been relayed. */
static void entry_answered(shard_t *sh, entry_t *e)
{
	serve_reply_t rep = {0};

	if (!e->gone) {
		counter_add(CTR_ANSWERED, 1);
		if (core_now(sh->s) > e->deadline_us)
			counter_add(CTR_ANSWERED_LATE, 1);
	}
	rep.kind = REPLY_DONE;
	rep.http_status = e->status;
	entry_reply(sh, e, &rep);
	entry_free(sh, e);
}

/* Models. */

int model_parse(str_t model, str_t *name, uint32_t *version)
{
	uint64_t v = 0;
	str_t tail;

	*version = 0;
	if (!str_split(model, '@', name, &tail))
		return name->n ? 0 : -1;
	if (!name->n || str_to_u64(tail, &v) || !v || v > UINT32_MAX)
		return -1;
	*version = (uint32_t)v;
	return 0;
}

static bool is_base_model(const decided_t *d, str_t name, str_t *base)
{
	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (t->kind == TARGET_RUNNER && str_eq(t->base, name)) {
			*base = t->base;
			return true;
		}
	}
	return false;
}

reason_t model_query(const decided_t *d, str_t model, place_query_t *q,
		     buf_t *adapter)
{
	const adapter_t *a;
	uint32_t version;
	str_t name;

	q->kind = TARGET_RUNNER;
	if (model_parse(model, &name, &version))
		return REASON_BAD_REQUEST;
	a = decided_adapter(d, name);
	if (!a) {
		if (version || !is_base_model(d, name, &q->base))
			return REASON_UNKNOWN_ADAPTER;
		return REASON_NONE;
	}
	if (!version)
		version = a->current_version;
	if (!version || !adapter_has_version(a, version))
		return REASON_UNKNOWN_VERSION;
	buf_printf(adapter, "%.*s@%u", STR_ARG(a->name), version);
	q->base = a->base;
	q->name = a->name;
	q->adapter = buf_str(adapter);
	q->load_us = a->load_ms * USEC_PER_MSEC;
	return REASON_NONE;
}

static bool is_service(const decided_t *d, str_t name, str_t *base,
		       bool *repeatable)
{
	bool found = false;

	for (size_t i = 0; i < decided_target_count(d); i++) {
		const target_t *t = decided_target_at(d, i);

		if (t->kind != TARGET_SERVICE || !str_eq(t->base, name))
			continue;
		*repeatable = t->repeatable && (*repeatable || !found);
		*base = t->base;
		found = true;
	}
	return found;
}

/* Placement. */

static void entry_query(const shard_t *sh, const entry_t *e, place_query_t *q)
{
	memset(q, 0, sizeof(*q));
	q->kind = e->is_call ? TARGET_SERVICE : TARGET_RUNNER;
	q->base = e->base;
	q->adapter = e->adapter;
	q->name = e->name;
	q->load_us =
		e->load_ms ? e->load_ms * USEC_PER_MSEC : sh->s->cfg.load_us;
	q->prefix_hash = e->prefix_hash ? e->prefix_hash : e->handle;
	q->tried = e->tried;
	q->n_tried = e->n_tried;
	q->self = sh->s->cfg.self;
	q->now_us = core_now(sh->s);
}

static void entry_send(shard_t *sh, entry_t *e, const target_t *t)
{
	serve_t *s = sh->s;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Submit m = SERVE__SUBMIT__INIT;
	Serve__Ref ref = SERVE__REF__INIT;

	e->attempt++;
	e->phase = PHASE_SENT;
	e->held_us = 0;
	e->again_us = INT64_MAX;
	e->target = t->id;
	e->owner = t->owner;
	e->fence = t->fence;
	ref.epoch = s->epoch;
	ref.handle = e->handle;
	ref.attempt = e->attempt;
	m.ref = &ref;
	m.target = t->id;
	m.org = e->org->id;
	m.adapter = pb_bytes(e->adapter);
	m.run_id = pb_bytes(e->run_id);
	m.path = pb_bytes(e->path);
	m.body = pb_bytes(e->body);
	m.key = pb_bytes(e->key);
	m.prompt_tokens = e->prompt_tokens;
	m.max_tokens = e->max_tokens;
	m.prefix_hash = e->prefix_hash;
	m.priority = e->priority;
	m.slack_us = e->deadline_us - core_now(s);
	m.repeatable = e->repeatable;
	m.resume = e->resume;
	m.offset = e->offset;
	m.load_ms = e->load_ms;
	msg.body_case = SERVE__SERVE_MSG__BODY_SUBMIT;
	msg.submit = &m;
	if (t->owner != s->cfg.self)
		counter_add(CTR_FORWARDED, 1);
	core_send(s, t->owner, &msg);
}

/* The target that a stream must go on with; NULL while it has no owner. */
static const target_t *entry_resume_target(shard_t *sh, const entry_t *e)
{
	const target_t *t = decided_target(sh->tables, e->target);

	if (!t || !place_is_host_live(&sh->s->place, t->owner))
		return NULL;
	return t;
}

static void entry_hold(shard_t *sh, entry_t *e)
{
	int64_t now = core_now(sh->s);
	place_query_t q;

	entry_query(sh, e, &q);
	if (!e->resume && !place_has_match(&sh->s->place, sh->tables, &q)) {
		entry_refuse(sh, e, REASON_NO_TARGET);
		return;
	}
	e->phase = PHASE_HOLD;
	if (!e->held_us)
		e->held_us = now;
	if (now - e->held_us >= HOLD_MAX_US) {
		entry_refuse(sh, e,
			     e->run == RUN_NO ? REASON_NO_OWNER
					      : REASON_OWNER_LOST);
		return;
	}
	e->again_us = now + HOLD_POLL_US;
	core_due(sh, e->again_us);
}

static bool entry_was_tried(const entry_t *e, target_id_t id)
{
	for (size_t i = 0; i < e->n_tried; i++)
		if (e->tried[i] == id)
			return true;
	return false;
}

/*
 * The run of a caller that reconnects is looked for at each target once, also
 * at those that have no owner yet.
 */
static void entry_place_reconnect(shard_t *sh, entry_t *e)
{
	const target_t *t;
	place_query_t q;

	entry_query(sh, e, &q);
	t = place_pick(&sh->s->place, sh->tables, &q);
	if (t && !entry_was_tried(e, t->id))
		entry_send(sh, e, t);
	else if (place_has_unavailable_match(&sh->s->place, sh->tables, &q))
		entry_hold(sh, e);
	else
		entry_fail(sh, e, REASON_STREAM_TRUNCATED, 0,
			   STR("The run is not known any more."));
}

static void entry_place(shard_t *sh, entry_t *e)
{
	const target_t *t;
	place_query_t q;

	if (!sh->tables) {
		entry_refuse(sh, e, REASON_STALE);
		return;
	}
	if (e->reconnect && !e->head) {
		entry_place_reconnect(sh, e);
		return;
	}
	if (e->resume) {
		t = entry_resume_target(sh, e);
	} else {
		entry_query(sh, e, &q);
		t = place_pick(&sh->s->place, sh->tables, &q);
	}
	if (t)
		entry_send(sh, e, t);
	else
		entry_hold(sh, e);
}

/* Another attempt after one that ended with why. */
static void entry_again(shard_t *sh, entry_t *e, retry_reason_t why)
{
	const target_t *t = decided_target(sh->tables, e->target);
	uint32_t shift = e->attempt < 6 ? e->attempt : 6;

	counter_retried(why);
	log_event(LOG_INFO, "request_retried", kv_u("handle", e->handle),
		  kv_u("attempt", e->attempt), kv_u("target", e->target),
		  KV_C("reason", retry_reason_name(why)));
	if (e->attempt < RETRY_AT_ONCE &&
	    (why != RETRY_OWNER_MOVED || (t && t->fence != e->fence))) {
		entry_place(sh, e);
		return;
	}
	e->phase = PHASE_HOLD;
	e->again_us = core_now(sh->s) + (RETRY_DELAY_US << shift);
	core_due(sh, e->again_us);
}

static void entry_tried(entry_t *e)
{
	if (e->n_tried == TRIED_MAX) {
		memmove(e->tried, e->tried + 1,
			(TRIED_MAX - 1) * sizeof(e->tried[0]));
		e->n_tried--;
	}
	e->tried[e->n_tried++] = e->target;
}

/* Retries that only move a request which no target has seen are free. */
static bool retry_is_free(retry_reason_t why)
{
	return why == RETRY_OWNER_MOVED || why == RETRY_TARGET_LEAVING ||
	       why == RETRY_OWNER_UNREACHABLE || why == RETRY_ADAPTER_MOVED;
}

static bool entry_may_retry(shard_t *sh, const entry_t *e, retry_reason_t why)
{
	if (e->gone || e->attempt >= ATTEMPTS_MAX ||
	    core_now(sh->s) >= e->deadline_us)
		return false;
	return retry_is_free(why) || limits_take_retry(&sh->s->limits, e->org);
}

/* Accepting. */

static void entry_accepted(shard_t *sh, entry_t *e)
{
	counter_add(CTR_ACCEPTED, 1);
	if (!e->repeatable && e->key.n) {
		e->phase = PHASE_CLAIM;
		entry_propose(sh, e, CLAIM_TAKE);
	} else {
		entry_place(sh, e);
	}
}

static void entry_admit(shard_t *sh, entry_t *e)
{
	int64_t now = core_now(sh->s);

	switch (limits_admit(&sh->s->limits, e->org,
			     decided_host_count(e->tables), now)) {
	case LIMIT_ADMITTED:
		e->admitted = true;
		entry_accepted(sh, e);
		return;
	case LIMIT_OVER_RATE:
		entry_refuse(sh, e, REASON_RATE_LIMIT);
		return;
	case LIMIT_OVER_CONCURRENCY:
		entry_refuse(sh, e, REASON_CONCURRENCY_LIMIT);
		return;
	case LIMIT_AWAIT_SHARE:
		break;
	}
	if (e->phase != PHASE_SHARE || !e->until_us)
		e->until_us = now + SHARE_WAIT_US;
	e->phase = PHASE_SHARE;
	e->again_us = now + SHARE_POLL_US;
	if (now >= e->until_us)
		entry_refuse(sh, e, REASON_CONCURRENCY_LIMIT);
}

/* Resolves what the request names; REASON_NONE or why it is refused. */
static reason_t entry_resolve(entry_t *e, const serve_req_t *req)
{
	AUTO_BUF buf_t adapter = {0};
	place_query_t q = {0};
	const adapter_t *a;
	reason_t why;

	if (e->is_call) {
		bool repeatable = true;

		if (!is_service(e->tables, req->service, &e->base, &repeatable))
			return REASON_UNKNOWN_SERVICE;
		e->repeatable = e->repeatable && repeatable;
		return REASON_NONE;
	}
	why = model_query(e->tables, req->model, &q, &adapter);
	if (why != REASON_NONE)
		return why;
	a = decided_adapter(e->tables, q.name);
	if (a && a->org_id && a->org_id != req->org_id)
		return REASON_FORBIDDEN;
	e->base = q.base;
	e->name = q.name;
	e->adapter = str_copy(q.adapter);
	e->load_ms = a ? a->load_ms : 0;
	return REASON_NONE;
}

/*
 * The run id is the same for a request id sent through any daemon, so that a
 * caller can reconnect to its run.
 */
static void entry_run_id(entry_t *e, const serve_req_t *req)
{
	uint64_t mix[4] = {req->org_id};
	AUTO_BUF buf_t id = {0};

	mix[1] = hash_bytes(req->request_id.p, req->request_id.n, 0);
	mix[2] = hash_bytes(e->adapter.p, e->adapter.n, 0);
	mix[3] = hash_bytes(req->body.p, req->body.n, 0);
	buf_printf(&id, "r%016llx%016llx",
		   (unsigned long long)hash_bytes(mix, sizeof(mix), 0),
		   (unsigned long long)hash_bytes(mix, sizeof(mix), 1));
	e->run_id = str_copy(buf_str(&id));
}

static void entry_path(entry_t *e, const serve_req_t *req)
{
	AUTO_BUF buf_t path = {0};

	if (!e->is_call)
		buf_puts(&path, "/v1/completions");
	else if (!req->path.n || req->path.p[0] != '/')
		buf_puts(&path, "/");
	buf_put(&path, req->path.p, e->is_call ? req->path.n : 0);
	e->path = str_copy(buf_str(&path));
}

static entry_t *entry_new(shard_t *sh, const serve_req_t *req)
{
	entry_t *e = xcalloc(1, sizeof(*e));
	int64_t now = core_now(sh->s);

	e->handle = req->handle;
	e->phase = PHASE_SHARE;
	e->is_call = req->is_call;
	e->repeatable = !req->not_repeatable;
	e->prompt_tokens = req->prompt_tokens;
	e->max_tokens = req->max_tokens;
	e->prefix_hash = req->prefix_hash;
	e->priority = req->priority;
	e->deadline_us = req->deadline_us
				 ? req->deadline_us
				 : now + sh->s->cfg.default_deadline_us;
	e->again_us = INT64_MAX;
	e->resume = req->resume_offset > 0;
	e->offset = req->resume_offset;
	e->reconnect = e->resume;
	e->run = e->reconnect ? RUN_UNKNOWN : RUN_NO;
	e->body = str_copy(req->body);
	e->key = str_copy(req->idempotency_key);
	e->status = 200;
	snprintf(e->holder, sizeof(e->holder), "%u-%llx-%llx", sh->s->cfg.self,
		 (unsigned long long)sh->s->epoch,
		 (unsigned long long)e->handle);
	if (sh->tables) {
		e->tables = decided_ref(sh->tables);
		e->org = decided_org(e->tables, req->org_id);
	}
	cds_list_add_tail(&e->node, &sh->entries);
	g_hash_table_insert(sh->by_handle, &e->handle, e);
	atomic_fetch_add(&sh->s->n_entries, 1);
	return e;
}

static reason_t entry_check(shard_t *sh, entry_t *e, const serve_req_t *req)
{
	int64_t now = core_now(sh->s);
	reason_t why;

	if (now >= atomic_load(&sh->s->refuse_from_us))
		return REASON_LEAVING;
	if (!e->tables || now >= sh->standing.fresh_until_us)
		return REASON_STALE;
	if (!e->org)
		return REASON_UNAUTHENTICATED;
	why = entry_resolve(e, req);
	if (why != REASON_NONE)
		return why;
	if (req->not_repeatable && !req->idempotency_key.n)
		return REASON_KEY_MISSING;
	if (now >= e->deadline_us)
		return REASON_DEADLINE_PASSED;
	return REASON_NONE;
}

void entry_submit(shard_t *sh, const serve_req_t *req)
{
	entry_t *e = entry_new(sh, req);
	reason_t why = entry_check(sh, e, req);

	if (why != REASON_NONE) {
		entry_refuse(sh, e, why);
		return;
	}
	entry_path(e, req);
	entry_run_id(e, req);
	core_due(sh, e->deadline_us);
	entry_admit(sh, e);
	core_due(sh, core_now(sh->s) + SHARE_POLL_US);
}

static void entry_send_cancel(shard_t *sh, const entry_t *e)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__Cancel m = SERVE__CANCEL__INIT;
	Serve__Ref ref = SERVE__REF__INIT;

	ref.epoch = sh->s->epoch;
	ref.handle = e->handle;
	ref.attempt = e->attempt;
	m.ref = &ref;
	m.target = e->target;
	msg.body_case = SERVE__SERVE_MSG__BODY_CANCEL;
	msg.cancel = &m;
	core_send(sh->s, e->owner, &msg);
}

void entry_cancel(shard_t *sh, uint64_t handle)
{
	entry_t *e = entry_find(sh, handle);

	if (!e || e->gone)
		return;
	e->gone = true;
	counter_refused(REASON_CANCELLED);
	if (e->phase == PHASE_SENT)
		entry_send_cancel(sh, e);
	if (e->phase == PHASE_CLAIM || e->phase == PHASE_RECORD)
		return; /* ends with the claim's outcome */
	if (e->claimed && e->phase == PHASE_SENT)
		return; /* ends with the owner's verdict */
	entry_fail(sh, e, REASON_CANCELLED, 0, str_n(NULL, 0));
}

/* Outcomes of claims. */

static void entry_replay(shard_t *sh, entry_t *e, const claim_result_t *res)
{
	serve_reply_t rep = {0};

	e->status = res->http_status;
	rep.kind = REPLY_HEAD;
	rep.http_status = res->http_status;
	rep.replayed = true;
	entry_reply(sh, e, &rep);
	if (res->body.n) {
		rep.kind = REPLY_CHUNK;
		rep.data = res->body;
		entry_reply(sh, e, &rep);
	}
	rep.kind = REPLY_DONE;
	entry_reply(sh, e, &rep);
	entry_free(sh, e);
}

static void entry_claim_retry(shard_t *sh, entry_t *e)
{
	e->again_us = core_now(sh->s) + CLAIM_RETRY_US;
	core_due(sh, e->again_us);
}

static void entry_taken(shard_t *sh, entry_t *e)
{
	e->claimed = true;
	if (e->gone)
		entry_record(sh, e, CLAIM_RELEASE);
	else
		entry_place(sh, e);
}

/* The caller went away; what may have been claimed is released. */
static void entry_take_given_up(shard_t *sh, entry_t *e,
				const claim_result_t *res)
{
	if (res->outcome == CLAIM_UNDECIDED) {
		e->claimed = true;
		entry_record(sh, e, CLAIM_RELEASE);
	} else {
		entry_free(sh, e);
	}
}

static void entry_take_result(shard_t *sh, entry_t *e,
			      const claim_result_t *res)
{
	if (e->gone && res->outcome != CLAIM_GRANTED) {
		entry_take_given_up(sh, e, res);
		return;
	}
	switch (res->outcome) {
	case CLAIM_GRANTED:
		entry_taken(sh, e);
		return;
	case CLAIM_ANSWERED:
		entry_replay(sh, e, res);
		return;
	case CLAIM_IN_PROGRESS:
		e->run = RUN_UNKNOWN;
		entry_refuse(sh, e, REASON_KEY_IN_PROGRESS);
		return;
	case CLAIM_IS_UNKNOWN:
		e->run = RUN_UNKNOWN;
		entry_refuse(sh, e, REASON_OUTCOME_UNKNOWN);
		return;
	case CLAIM_MISMATCH:
		entry_refuse(sh, e, REASON_KEY_REUSED);
		return;
	case CLAIM_NOT_TAKEN:
		if (e->why != REASON_CLAIM_UNKNOWN)
			e->why = REASON_CLAIM_FAILED;
		break;
	default:
		e->why = REASON_CLAIM_UNKNOWN;
		break;
	}
	entry_claim_retry(sh, e);
}

/* A claim that may be held is given back: nothing was sent. */
static void entry_claim_timeout(shard_t *sh, entry_t *e)
{
	if (e->why == REASON_CLAIM_UNKNOWN || e->again_us == INT64_MAX) {
		e->claimed = true;
		reply_fail(sh, e, REASON_CLAIM_UNKNOWN, 0,
			   str_c(reason_info(REASON_CLAIM_UNKNOWN)->help));
		entry_record(sh, e, CLAIM_RELEASE);
		return;
	}
	entry_refuse(sh, e, REASON_CLAIM_FAILED);
}

static void entry_record_result(shard_t *sh, entry_t *e,
				const claim_result_t *res)
{
	if (res->outcome == CLAIM_NOT_TAKEN ||
	    res->outcome == CLAIM_UNDECIDED) {
		entry_claim_retry(sh, e);
		return;
	}
	if (res->outcome != CLAIM_RECORDED)
		return; /* late outcome of the TAKE */
	if (e->claim_op == CLAIM_ANSWER)
		entry_answered(sh, e);
	else
		entry_free(sh, e);
}

void entry_claimed(shard_t *sh, const claim_result_t *res)
{
	entry_t *e = entry_find(sh, res->tag);

	if (!e || e->again_us != INT64_MAX)
		return;
	if (e->phase == PHASE_CLAIM)
		entry_take_result(sh, e, res);
	else if (e->phase == PHASE_RECORD)
		entry_record_result(sh, e, res);
}

/* Answers of the owner. */

/* The request that a message belongs to; NULL, counted, for older attempts. */
static entry_t *entry_match(shard_t *sh, host_id_t from, const Serve__Ref *ref)
{
	entry_t *e = ref ? entry_find(sh, ref->handle) : NULL;

	if (e && ref->epoch == sh->s->epoch && e->phase == PHASE_SENT &&
	    ref->attempt == e->attempt && from == e->owner)
		return e;
	counter_add(CTR_LATE_DROPPED, 1);
	return NULL;
}

/* Whether an attempt that ended with run may be followed by another. */
static bool entry_repeat_safe(const entry_t *e, run_state_t run)
{
	if (run == RUN_NO)
		return true;
	return e->repeatable && !e->offset;
}

static void entry_ended(shard_t *sh, entry_t *e, const Serve__Refused *m)
{
	run_state_t run = m->run <= RUN_YES ? (run_state_t)m->run : RUN_UNKNOWN;
	retry_reason_t why = RETRY_REASON_COUNT;
	reason_t reason = (reason_t)m->reason;

	if (m->retry && m->retry <= RETRY_REASON_COUNT)
		why = (retry_reason_t)(m->retry - 1);
	if (run > e->run)
		e->run = run;
	e->why = reason;
	if (e->reconnect && !e->head && run == RUN_NO &&
	    why != RETRY_OWNER_MOVED && !e->gone) {
		entry_tried(e);
		entry_place(sh, e);
		return;
	}
	if (m->resumable && e->offset && e->repeatable &&
	    entry_may_retry(sh, e, RETRY_RESUMED)) {
		e->resume = true;
		entry_again(sh, e, RETRY_RESUMED);
		return;
	}
	if (why != RETRY_REASON_COUNT && entry_repeat_safe(e, run) &&
	    !e->offset && entry_may_retry(sh, e, why)) {
		if (why != RETRY_OWNER_MOVED)
			entry_tried(e);
		entry_again(sh, e, why);
		return;
	}
	if (e->offset && reason_info(reason)->run == RUN_NO) {
		reason = REASON_STREAM_TRUNCATED;
		e->run = RUN_YES;
	}
	entry_fail(sh, e, reason, m->retry_ms, pb_str(m->detail));
}

void entry_refused(shard_t *sh, host_id_t from, const Serve__Refused *m)
{
	entry_t *e = entry_match(sh, from, m->ref);

	if (e)
		entry_ended(sh, e, m);
}

void entry_head(shard_t *sh, host_id_t from, const Serve__Head *m)
{
	entry_t *e = entry_match(sh, from, m->ref);
	serve_reply_t rep = {0};

	if (!e)
		return;
	e->run = RUN_YES;
	if (e->head)
		return;
	e->head = true;
	e->status = m->status;
	rep.kind = REPLY_HEAD;
	rep.http_status = m->status;
	entry_reply(sh, e, &rep);
}

static void entry_keep_answer(entry_t *e, str_t data)
{
	if (!e->claimed || e->too_long)
		return;
	if (e->answer.n + data.n > CLAIM_BODY_MAX) {
		e->too_long = true;
		buf_free(&e->answer);
	} else {
		buf_put(&e->answer, data.p, data.n);
	}
}

/* The stream cannot be trusted any more: the rest of the attempt is dropped. */
static void entry_broken(shard_t *sh, entry_t *e)
{
	entry_send_cancel(sh, e);
	e->run = RUN_YES;
	entry_fail(sh, e, REASON_STREAM_TRUNCATED, 0,
		   STR("Part of the answer was lost on the way."));
}

void entry_chunk(shard_t *sh, host_id_t from, const Serve__Chunk *m)
{
	entry_t *e = entry_match(sh, from, m->ref);
	serve_reply_t rep = {0};
	uint64_t skip;

	if (!e)
		return;
	if (m->offset > e->offset || !e->head) {
		entry_broken(sh, e);
		return;
	}
	skip = e->offset - m->offset;
	if (skip >= m->data.len)
		return;
	rep.kind = REPLY_CHUNK;
	rep.data = str_n((const char *)m->data.data + skip, m->data.len - skip);
	e->offset += rep.data.n;
	entry_keep_answer(e, rep.data);
	entry_reply(sh, e, &rep);
}

void entry_done(shard_t *sh, host_id_t from, const Serve__Done *m)
{
	entry_t *e = entry_match(sh, from, m->ref);

	if (!e)
		return;
	if (m->length != e->offset || !e->head) {
		entry_broken(sh, e);
		return;
	}
	e->run = RUN_YES;
	e->stall_us += m->stall_us;
	counter_add(CTR_STALL_US, (uint64_t)m->stall_us);
	if (e->claimed)
		entry_record(sh, e, e->too_long ? CLAIM_UNKNOWN : CLAIM_ANSWER);
	else
		entry_answered(sh, e);
}

/* Loss of the owner. */

static void entry_owner_lost(shard_t *sh, entry_t *e)
{
	if (e->run == RUN_NO)
		e->run = RUN_UNKNOWN;
	e->why = REASON_OWNER_LOST;
	if (e->repeatable && entry_may_retry(sh, e, RETRY_OWNER_LOST)) {
		e->resume = e->offset > 0;
		entry_again(sh, e, RETRY_OWNER_LOST);
		return;
	}
	entry_fail(sh, e, REASON_OWNER_LOST, 0,
		   str_c(reason_info(REASON_OWNER_LOST)->help));
}

void entries_host_lost(shard_t *sh, host_id_t host)
{
	entry_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &sh->entries, node)
		if (e->phase == PHASE_SENT && e->owner == host)
			entry_owner_lost(sh, e);
}

void entries_review(shard_t *sh)
{
	entry_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &sh->entries, node)
		if (e->phase == PHASE_HOLD)
			entry_place(sh, e);
}

/* Time. */

static void entry_deadline(shard_t *sh, entry_t *e, int64_t now)
{
	switch (e->phase) {
	case PHASE_CLAIM:
		entry_claim_timeout(sh, e);
		return;
	case PHASE_SENT:
		if (now < e->deadline_us + DEADLINE_GRACE_US)
			return;
		entry_send_cancel(sh, e);
		if (e->run == RUN_NO)
			e->run = RUN_UNKNOWN;
		if (e->claimed)
			reply_fail(sh, e, REASON_DEADLINE_EXCEEDED, 0,
				   str_n(NULL, 0));
		else
			entry_refuse(sh, e, REASON_DEADLINE_EXCEEDED);
		return;
	case PHASE_RECORD:
		return;
	default:
		entry_refuse(sh, e,
			     e->run == RUN_NO ? REASON_DEADLINE_PASSED
					      : REASON_DEADLINE_EXCEEDED);
		return;
	}
}

static void entry_record_again(shard_t *sh, entry_t *e, int64_t now)
{
	if (now < e->until_us) {
		counter_retried(RETRY_CLAIM_AGAIN);
		entry_propose(sh, e, e->claim_op);
	} else if (e->claim_op == CLAIM_ANSWER) {
		log_event(LOG_ERR, "answer_not_recorded",
			  kv_u("handle", e->handle));
		entry_answered(sh, e);
	} else {
		entry_free(sh, e);
	}
}

static void entry_tick(shard_t *sh, entry_t *e, int64_t now)
{
	if (!e->gone && e->phase != PHASE_RECORD && now >= e->deadline_us) {
		entry_deadline(sh, e, now);
		return;
	}
	if (e->gone && e->phase == PHASE_SENT &&
	    now >= e->deadline_us + RECORD_MAX_US) {
		e->run = RUN_UNKNOWN;
		entry_record(sh, e, CLAIM_UNKNOWN);
		return;
	}
	if (now < e->again_us)
		return;
	e->again_us = INT64_MAX;
	switch (e->phase) {
	case PHASE_SHARE:
		entry_admit(sh, e);
		break;
	case PHASE_CLAIM:
		counter_retried(RETRY_CLAIM_AGAIN);
		entry_propose(sh, e, CLAIM_TAKE);
		break;
	case PHASE_HOLD:
		entry_place(sh, e);
		break;
	case PHASE_RECORD:
		entry_record_again(sh, e, now);
		break;
	case PHASE_SENT:
		break;
	}
}

int64_t entries_tick(shard_t *sh, int64_t now)
{
	int64_t next = INT64_MAX, due;
	entry_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &sh->entries, node)
		entry_tick(sh, e, now);
	cds_list_for_each_entry (e, &sh->entries, node) {
		due = e->deadline_us;
		if (due <= now)
			due += DEADLINE_GRACE_US;
		if (e->gone || e->phase == PHASE_RECORD)
			due = e->phase == PHASE_SENT
				      ? e->deadline_us + RECORD_MAX_US
				      : INT64_MAX;
		if (e->again_us < due)
			due = e->again_us;
		if (due < next)
			next = due;
	}
	/* A tick that is already due would spin. */
	if (next <= now)
		next = now + TICK_LEAST_US;
	return next;
}
