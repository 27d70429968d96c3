/*
 * entry.c - requests accepted by this daemon. A request is resolved, admitted
 * under its organisation's limits, claimed if it must not run twice, placed on
 * a target and sent to that target's owner, whose answer is relayed to the
 * caller. Failed attempts are repeated where that is safe.
 */
#include "core.h"

#include <stdio.h>
#include <string.h>

#include "counter.h"
#include "digest.h"
#include "log.h"

/* Delay of a tick that is due at once, so that ticks do not spin. */
#define TICK_INTERVAL_MIN_US (5 * USEC_PER_MSEC)
#define ATTEMPTS_MAX 12u
/*
 * Targets that may be lost under one request before it has an answer byte: it may be
 * what ends them.
 */
#define TARGETS_LOST_MAX 2u
/* Targets that placement avoids because an attempt there has failed. */
#define TRIED_TARGETS_MAX 8u
/*
 * Attempts up to this number are made without a delay, except after
 * RETRY_OWNER_MOVED while the tables show no new fence for the target. The
 * delay before any other attempt is RETRY_DELAY_US, doubled for each attempt so
 * far, at most 6 times.
 */
#define IMMEDIATE_ATTEMPTS_MAX 3u
#define RETRY_DELAY_US (5 * USEC_PER_MSEC)
/* Longest wait for a target to get an owner, and how often to look. */
#define TARGET_WAIT_MAX_US (6 * USEC_PER_SEC)
#define TARGET_POLL_US (50 * USEC_PER_MSEC)
/* Longest wait for the first share of a limit, and how often to look. */
#define SHARE_WAIT_MAX_US (400 * USEC_PER_MSEC)
#define SHARE_POLL_US (20 * USEC_PER_MSEC)
/* How long after the deadline the owner may still report how it ended. */
#define DEADLINE_GRACE_US (250 * USEC_PER_MSEC)
/* Interval between proposals of a claim operation, and how long to repeat. */
#define CLAIM_RETRY_INTERVAL_US (200 * USEC_PER_MSEC)
#define CLAIM_RECORD_MAX_US (30 * USEC_PER_SEC)

typedef enum entry_phase {
	PHASE_AWAIT_SHARE,  /* waits for a share of its organisation's limits */
	PHASE_CLAIMING,	    /* CLAIM_OP_TAKE is proposed */
	PHASE_AWAIT_TARGET, /* waits for a live owner, or for a retry delay */
	PHASE_SENT,	    /* an attempt has been sent to the owner */
	/* CLAIM_OP_ANSWER, CLAIM_OP_UNKNOWN or CLAIM_OP_RELEASE is proposed. */
	PHASE_RECORDING,
} entry_phase_t;

/* A request accepted by this daemon, from its submission to its last record. */
typedef struct entry {
	struct cds_list_head node;
	uint64_t handle;
	entry_phase_t phase;
	decided_t *tables; /* in force when the request was accepted */
	/* The next three point into tables. */
	const org_t *org;
	str_t base;	    /* base model, or service name of a service call */
	str_t adapter_name; /* without the version */
	/* The next five strings are owned. */
	str_t adapter; /* "name@version" */
	str_t run_id;
	str_t path;
	str_t body;
	str_t idempotency_key;
	char claim_holder[48]; /* unique to this request */
	uint32_t load_ms;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint64_t prefix_hash;
	/* Alike for all requests of an organisation that ask for the same. */
	uint64_t digest;
	int32_t priority;
	int64_t deadline_us;
	int64_t no_target_since_us; /* 0 while not waiting for a target */
	/* End of the wait in PHASE_AWAIT_SHARE and PHASE_RECORDING. */
	int64_t wait_until_us;
	int64_t retry_at_us; /* INT64_MAX: an event is awaited, not a time */
	bool is_call;
	bool repeatable;
	bool admitted;	   /* counted in the organisation's limits */
	bool claimed;	   /* CLAIM_OP_TAKE was granted, or may have been */
	bool caller_done;  /* the caller got its final reply, or went away */
	bool head_relayed; /* the caller got HEAD */
	bool resume;	   /* the run goes on at answer_bytes on its target */
	bool reconnect;	   /* the caller resumes a run of unknown target */
	claim_op_t claim_op;
	uint32_t attempt;
	target_id_t target;
	host_id_t owner;
	uint64_t fence; /* of the target when the attempt was sent */
	target_id_t tried_targets[TRIED_TARGETS_MAX];
	size_t n_tried;
	uint32_t n_lost;       /* targets lost under it before an answer byte */
	run_state_t run_state; /* worst case over all attempts */
	reason_t last_failure; /* of the last attempt or claim proposal */
	uint64_t answer_bytes; /* answer bytes that the caller has */
	buf_t stored_answer;   /* claimed calls: to be recorded for resends */
	bool answer_too_long;  /* above CLAIM_BODY_MAX: cannot be recorded */
	int http_status;       /* of the answer */
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
	str_free(&e->idempotency_key);
	buf_free(&e->stored_answer);
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
	if (e->caller_done)
		return;
	rep->adapter = e->adapter;
	rep->target = e->target;
	rep->owner = e->owner;
	rep->attempt = e->attempt;
	rep->stall_us = e->stall_us;
	if (rep->kind >= REPLY_DONE)
		e->caller_done = true;
	sh->s->ops.reply(sh->s->ctx, e->handle, rep);
}

static void entry_reply_fail(shard_t *sh, entry_t *e, reason_t reason,
			     uint32_t retry_ms, str_t detail)
{
	serve_reply_t rep = {0};

	if (e->caller_done)
		return;
	reason = reason_for_run(reason, e->run_state);
	counter_add_refused(reason);
	rep.kind = REPLY_FAIL;
	rep.reason = reason;
	rep.run_state = e->run_state;
	rep.retry_ms = retry_ms ? retry_ms : reason_info(reason)->retry_ms;
	rep.detail = detail;
	entry_reply(sh, e, &rep);
}

/* Claims. */

/* Time during which this entry may still record how the call ended. */
static uint64_t claim_ttl_ms(const shard_t *sh, const entry_t *e)
{
	int64_t left = e->deadline_us + CLAIM_RECORD_MAX_US - core_now(sh->s);

	return (uint64_t)(left / USEC_PER_MSEC);
}

static void entry_propose_claim(shard_t *sh, entry_t *e, claim_op_t op)
{
	claim_req_t req = {0};

	e->claim_op = op;
	e->retry_at_us = INT64_MAX;
	req.tag = e->handle;
	req.op = op;
	req.org_id = e->org->id;
	req.key = e->idempotency_key;
	req.holder = str_c(e->claim_holder);
	req.body_hash = hash_bytes(e->body.p, e->body.n,
				   hash_bytes(e->path.p, e->path.n, 0));
	if (op == CLAIM_OP_TAKE)
		req.ttl_ms = claim_ttl_ms(sh, e);
	if (op == CLAIM_OP_ANSWER) {
		req.http_status = e->http_status;
		req.body = buf_str(&e->stored_answer);
	}
	sh->s->ops.claim(sh->s->ctx, &req);
}

static void entry_record_claim(shard_t *sh, entry_t *e, claim_op_t op)
{
	e->phase = PHASE_RECORDING;
	e->wait_until_us = core_now(sh->s) + CLAIM_RECORD_MAX_US;
	entry_propose_claim(sh, e, op);
}

/*
 * Ends a request without a complete answer. A claimed call that may have run
 * has an unknown outcome; its claim is released only if it cannot have run.
 */
static void entry_fail(shard_t *sh, entry_t *e, reason_t reason,
		       uint32_t retry_ms, str_t detail)
{
	if (e->claimed && e->run_state != RUN_NO &&
	    reason != REASON_CANCELLED && reason != REASON_DEADLINE_EXCEEDED)
		reason = REASON_OUTCOME_UNKNOWN;
	entry_reply_fail(sh, e, reason, retry_ms, detail);
	if (e->claimed)
		entry_record_claim(sh, e,
				   e->run_state == RUN_NO ? CLAIM_OP_RELEASE
							  : CLAIM_OP_UNKNOWN);
	else
		entry_free(sh, e);
}

/* Ends a request without a complete answer, with the reason's own text. */
static void entry_refuse(shard_t *sh, entry_t *e, reason_t reason)
{
	entry_fail(sh, e, reason, 0, str_c(reason_info(reason)->help));
}

/* Ends a request whose complete answer has been relayed. */
static void entry_complete(shard_t *sh, entry_t *e)
{
	serve_reply_t rep = {0};

	if (!e->caller_done) {
		counter_add(CTR_ANSWERED, 1);
		if (core_now(sh->s) > e->deadline_us)
			counter_add(CTR_ANSWERED_LATE, 1);
	}
	rep.kind = REPLY_DONE;
	rep.http_status = e->http_status;
	entry_reply(sh, e, &rep);
	entry_free(sh, e);
}

/* Models. */

int model_parse(str_t model, str_t *name, uint32_t *version)
{
	uint64_t v = 0;
	str_t version_text;

	*version = 0;
	if (!str_split(model, '@', name, &version_text))
		return name->n ? 0 : -1;
	if (!name->n || str_to_u64(version_text, &v) || !v || v > UINT32_MAX)
		return -1;
	*version = (uint32_t)v;
	return 0;
}

static bool find_base_model(const decided_t *d, str_t name, str_t *base)
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
	a = decided_adapter_by_name(d, name);
	if (!a) {
		if (version || !find_base_model(d, name, &q->base))
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

static bool find_service(const decided_t *d, str_t name, str_t *base,
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

static void entry_fill_query(const shard_t *sh, const entry_t *e,
			     place_query_t *q)
{
	memset(q, 0, sizeof(*q));
	q->kind = e->is_call ? TARGET_SERVICE : TARGET_RUNNER;
	q->base = e->base;
	q->adapter = e->adapter;
	q->name = e->adapter_name;
	q->load_us =
		e->load_ms ? e->load_ms * USEC_PER_MSEC : sh->s->cfg.load_us;
	q->prefix_hash = e->prefix_hash ? e->prefix_hash : e->handle;
	q->tried = e->tried_targets;
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
	e->no_target_since_us = 0;
	e->retry_at_us = INT64_MAX;
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
	m.key = pb_bytes(e->idempotency_key);
	m.prompt_tokens = e->prompt_tokens;
	m.max_tokens = e->max_tokens;
	m.prefix_hash = e->prefix_hash;
	m.priority = e->priority;
	m.slack_us = e->deadline_us - core_now(s);
	m.repeatable = e->repeatable;
	m.resume = e->resume;
	m.offset = e->answer_bytes;
	m.load_ms = e->load_ms;
	msg.body_case = SERVE__SERVE_MSG__BODY_SUBMIT;
	msg.submit = &m;
	if (t->owner != s->cfg.self)
		counter_add(CTR_FORWARDED, 1);
	core_send(s, t->owner, &msg);
}

/*
 * Returns the target on which the stream must be resumed; NULL while its owner
 * is not live.
 */
static const target_t *entry_resume_target(shard_t *sh, const entry_t *e)
{
	const target_t *t = decided_target(sh->tables, e->target);

	if (!t || !place_is_host_live(&sh->s->place, t->owner))
		return NULL;
	return t;
}

static void entry_await_target(shard_t *sh, entry_t *e)
{
	int64_t now = core_now(sh->s);
	place_query_t q;

	entry_fill_query(sh, e, &q);
	if (!e->resume && !place_has_match(&sh->s->place, sh->tables, &q)) {
		entry_refuse(sh, e, REASON_NO_TARGET);
		return;
	}
	e->phase = PHASE_AWAIT_TARGET;
	if (!e->no_target_since_us)
		e->no_target_since_us = now;
	if (now - e->no_target_since_us >= TARGET_WAIT_MAX_US) {
		entry_refuse(sh, e,
			     e->run_state == RUN_NO ? REASON_NO_OWNER
						    : REASON_OWNER_LOST);
		return;
	}
	e->retry_at_us = now + TARGET_POLL_US;
	core_arm_timer(sh, e->retry_at_us);
}

static bool entry_was_tried(const entry_t *e, target_id_t id)
{
	for (size_t i = 0; i < e->n_tried; i++)
		if (e->tried_targets[i] == id)
			return true;
	return false;
}

/*
 * Places the request of a caller that reconnects. Its run is looked for at each
 * target once; targets that have no live owner now are waited for.
 */
static void entry_place_reconnect(shard_t *sh, entry_t *e)
{
	const target_t *t;
	place_query_t q;

	entry_fill_query(sh, e, &q);
	t = place_pick(&sh->s->place, sh->tables, &q);
	if (t && !entry_was_tried(e, t->id))
		entry_send(sh, e, t);
	else if (place_has_unavailable_match(&sh->s->place, sh->tables, &q))
		entry_await_target(sh, e);
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
	if (e->reconnect && !e->head_relayed) {
		entry_place_reconnect(sh, e);
		return;
	}
	if (e->resume) {
		t = entry_resume_target(sh, e);
	} else {
		entry_fill_query(sh, e, &q);
		t = place_pick(&sh->s->place, sh->tables, &q);
	}
	if (t)
		entry_send(sh, e, t);
	else
		entry_await_target(sh, e);
}

/* Makes another attempt after one that ended with why, or schedules it. */
static void entry_retry(shard_t *sh, entry_t *e, retry_reason_t why)
{
	const target_t *t = decided_target(sh->tables, e->target);
	uint32_t shift = e->attempt < 6 ? e->attempt : 6;

	counter_add_retried(why);
	log_event(LOG_INFO, "request_retried", kv_u("handle", e->handle),
		  kv_u("attempt", e->attempt), kv_u("target", e->target),
		  KV_C("reason", retry_reason_name(why)));
	if (e->attempt < IMMEDIATE_ATTEMPTS_MAX &&
	    (why != RETRY_OWNER_MOVED || (t && t->fence != e->fence))) {
		entry_place(sh, e);
		return;
	}
	e->phase = PHASE_AWAIT_TARGET;
	e->retry_at_us = core_now(sh->s) + (RETRY_DELAY_US << shift);
	core_arm_timer(sh, e->retry_at_us);
}

static void entry_mark_tried(entry_t *e)
{
	if (e->n_tried == TRIED_TARGETS_MAX) {
		memmove(e->tried_targets, e->tried_targets + 1,
			(TRIED_TARGETS_MAX - 1) * sizeof(e->tried_targets[0]));
		e->n_tried--;
	}
	e->tried_targets[e->n_tried++] = e->target;
}

/*
 * Whether a retry only moves a request that no target has seen. Such retries
 * take nothing from the retry budgets.
 */
static bool retry_is_free(retry_reason_t why)
{
	return why == RETRY_OWNER_MOVED || why == RETRY_TARGET_LEAVING ||
	       why == RETRY_OWNER_UNREACHABLE || why == RETRY_ADAPTER_MOVED;
}

static bool entry_may_retry(shard_t *sh, const entry_t *e, retry_reason_t why)
{
	if (e->caller_done || e->attempt >= ATTEMPTS_MAX ||
	    core_now(sh->s) >= e->deadline_us)
		return false;
	return retry_is_free(why) || limits_take_retry(&sh->s->limits, e->org);
}

/* Admission. */

static void entry_start(shard_t *sh, entry_t *e)
{
	counter_add(CTR_ACCEPTED, 1);
	if (!e->repeatable && e->idempotency_key.n) {
		e->phase = PHASE_CLAIMING;
		entry_propose_claim(sh, e, CLAIM_OP_TAKE);
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
		entry_start(sh, e);
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
	if (e->phase != PHASE_AWAIT_SHARE || !e->wait_until_us)
		e->wait_until_us = now + SHARE_WAIT_MAX_US;
	e->phase = PHASE_AWAIT_SHARE;
	e->retry_at_us = now + SHARE_POLL_US;
	if (now >= e->wait_until_us)
		entry_refuse(sh, e, REASON_CONCURRENCY_LIMIT);
}

/*
 * Looks up the model or service that the request names. Returns REASON_NONE, or
 * why the request is refused.
 */
static reason_t entry_resolve(entry_t *e, const serve_req_t *req)
{
	AUTO_BUF buf_t adapter = {0};
	place_query_t q = {0};
	const adapter_t *a;
	reason_t why;

	if (e->is_call) {
		bool repeatable = true;

		if (!find_service(e->tables, req->service, &e->base,
				  &repeatable))
			return REASON_UNKNOWN_SERVICE;
		e->repeatable = e->repeatable && repeatable;
		return REASON_NONE;
	}
	why = model_query(e->tables, req->model, &q, &adapter);
	if (why != REASON_NONE)
		return why;
	a = decided_adapter_by_name(e->tables, q.name);
	if (a && a->org_id && a->org_id != req->org_id)
		return REASON_FORBIDDEN;
	e->base = q.base;
	e->adapter_name = q.name;
	e->adapter = str_copy(q.adapter);
	e->load_ms = a ? a->load_ms : 0;
	return REASON_NONE;
}

/*
 * Derives the run id from the organisation, the request id, the adapter and the
 * body, so that it is the same through any daemon and a caller can reconnect to
 * its run.
 */
static void entry_set_run_id(entry_t *e, const serve_req_t *req)
{
	uint64_t id_parts[4] = {req->org_id};
	AUTO_BUF buf_t id = {0};

	id_parts[1] = hash_bytes(req->request_id.p, req->request_id.n, 0);
	id_parts[2] = hash_bytes(e->adapter.p, e->adapter.n, 0);
	id_parts[3] = hash_bytes(req->body.p, req->body.n, 0);
	buf_printf(
		&id, "r%016llx%016llx",
		(unsigned long long)hash_bytes(id_parts, sizeof(id_parts), 0),
		(unsigned long long)hash_bytes(id_parts, sizeof(id_parts), 1));
	e->run_id = str_copy(buf_str(&id));
}

static void entry_set_path(entry_t *e, const serve_req_t *req)
{
	AUTO_BUF buf_t path = {0};

	if (!e->is_call)
		buf_puts(&path, "/v1/completions");
	else if (!req->path.n || req->path.p[0] != '/')
		buf_puts(&path, "/");
	buf_put(&path, req->path.p, e->is_call ? req->path.n : 0);
	e->path = str_copy(buf_str(&path));
}

static uint64_t entry_digest(const serve_req_t *req)
{
	digest_t d;

	digest_init(&d);
	digest_put(&d, str_n((const char *)&req->org_id, sizeof(req->org_id)));
	digest_put(&d, req->model);
	digest_put(&d, req->service);
	digest_put(&d, req->path);
	digest_put(&d, req->body);
	return digest_end(&d);
}

static entry_t *entry_new(shard_t *sh, const serve_req_t *req)
{
	entry_t *e = xcalloc(1, sizeof(*e));
	int64_t now = core_now(sh->s);

	e->handle = req->handle;
	e->phase = PHASE_AWAIT_SHARE;
	e->is_call = req->is_call;
	e->repeatable = !req->not_repeatable;
	e->prompt_tokens = req->prompt_tokens;
	e->max_tokens = req->max_tokens;
	e->prefix_hash = req->prefix_hash;
	e->digest = entry_digest(req);
	e->priority = req->priority;
	e->deadline_us = req->deadline_us
				 ? req->deadline_us
				 : now + sh->s->cfg.default_deadline_us;
	e->retry_at_us = INT64_MAX;
	e->resume = req->resume_offset > 0;
	e->answer_bytes = req->resume_offset;
	e->reconnect = e->resume;
	e->run_state = e->reconnect ? RUN_UNKNOWN : RUN_NO;
	e->body = str_copy(req->body);
	e->idempotency_key = str_copy(req->idempotency_key);
	e->http_status = 200;
	snprintf(e->claim_holder, sizeof(e->claim_holder), "%u-%llx-%llx",
		 sh->s->cfg.self, (unsigned long long)sh->s->epoch,
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

static reason_t entry_validate(shard_t *sh, entry_t *e, const serve_req_t *req)
{
	int64_t now = core_now(sh->s);
	reason_t why;

	if (now >= atomic_load(&sh->s->refuse_from_us))
		return REASON_LEAVING;
	if (!e->tables || now >= sh->lease_status.tables_fresh_until_us)
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
	if (!e->reconnect &&
	    lost_targets_refuses(sh->s->lost_targets, e->digest, now))
		return REASON_REQUEST_QUARANTINED;
	return REASON_NONE;
}

void entry_submit(shard_t *sh, const serve_req_t *req)
{
	entry_t *e = entry_new(sh, req);
	reason_t why = entry_validate(sh, e, req);

	if (why != REASON_NONE) {
		entry_refuse(sh, e, why);
		return;
	}
	entry_set_path(e, req);
	entry_set_run_id(e, req);
	core_arm_timer(sh, e->deadline_us);
	entry_admit(sh, e);
	core_arm_timer(sh, core_now(sh->s) + SHARE_POLL_US);
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

	if (!e || e->caller_done)
		return;
	e->caller_done = true;
	counter_add_refused(REASON_CANCELLED);
	if (e->phase == PHASE_SENT)
		entry_send_cancel(sh, e);
	if (e->phase == PHASE_CLAIMING || e->phase == PHASE_RECORDING)
		return; /* ends when the claim's outcome arrives */
	if (e->claimed && e->phase == PHASE_SENT)
		return; /* ends when the owner reports the outcome */
	entry_fail(sh, e, REASON_CANCELLED, 0, str_n(NULL, 0));
}

/* Outcomes of claims. */

static void entry_replay(shard_t *sh, entry_t *e, const claim_result_t *res)
{
	serve_reply_t rep = {0};

	e->http_status = res->http_status;
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

static void entry_schedule_claim_retry(shard_t *sh, entry_t *e)
{
	e->retry_at_us = core_now(sh->s) + CLAIM_RETRY_INTERVAL_US;
	core_arm_timer(sh, e->retry_at_us);
}

static void entry_claim_granted(shard_t *sh, entry_t *e)
{
	e->claimed = true;
	if (e->caller_done)
		entry_record_claim(sh, e, CLAIM_OP_RELEASE);
	else
		entry_place(sh, e);
}

/* The caller went away: releases the claim if it may have been granted. */
static void entry_claim_abandoned(shard_t *sh, entry_t *e,
				  const claim_result_t *res)
{
	if (res->outcome == CLAIM_MAYBE_APPLIED) {
		e->claimed = true;
		entry_record_claim(sh, e, CLAIM_OP_RELEASE);
	} else {
		entry_free(sh, e);
	}
}

static void entry_take_result(shard_t *sh, entry_t *e,
			      const claim_result_t *res)
{
	if (e->caller_done && res->outcome != CLAIM_GRANTED) {
		entry_claim_abandoned(sh, e, res);
		return;
	}
	switch (res->outcome) {
	case CLAIM_GRANTED:
		entry_claim_granted(sh, e);
		return;
	case CLAIM_ANSWERED:
		entry_replay(sh, e, res);
		return;
	case CLAIM_IN_PROGRESS:
		e->run_state = RUN_UNKNOWN;
		entry_refuse(sh, e, REASON_KEY_IN_PROGRESS);
		return;
	case CLAIM_OUTCOME_UNKNOWN:
		e->run_state = RUN_UNKNOWN;
		entry_refuse(sh, e, REASON_OUTCOME_UNKNOWN);
		return;
	case CLAIM_BODY_MISMATCH:
		entry_refuse(sh, e, REASON_KEY_REUSED);
		return;
	case CLAIM_NOT_APPLIED:
		if (e->last_failure != REASON_CLAIM_UNKNOWN)
			e->last_failure = REASON_CLAIM_FAILED;
		break;
	default:
		e->last_failure = REASON_CLAIM_UNKNOWN;
		break;
	}
	entry_schedule_claim_retry(sh, e);
}

/*
 * Called when the deadline passes before the claim is granted. A claim that may
 * have been granted is released, as nothing was sent.
 */
static void entry_claim_timeout(shard_t *sh, entry_t *e)
{
	if (e->last_failure == REASON_CLAIM_UNKNOWN ||
	    e->retry_at_us == INT64_MAX) {
		e->claimed = true;
		entry_reply_fail(
			sh, e, REASON_CLAIM_UNKNOWN, 0,
			str_c(reason_info(REASON_CLAIM_UNKNOWN)->help));
		entry_record_claim(sh, e, CLAIM_OP_RELEASE);
		return;
	}
	entry_refuse(sh, e, REASON_CLAIM_FAILED);
}

static void entry_record_result(shard_t *sh, entry_t *e,
				const claim_result_t *res)
{
	if (res->outcome == CLAIM_NOT_APPLIED ||
	    res->outcome == CLAIM_MAYBE_APPLIED) {
		entry_schedule_claim_retry(sh, e);
		return;
	}
	if (res->outcome != CLAIM_RECORDED)
		return; /* late outcome of CLAIM_OP_TAKE */
	if (e->claim_op == CLAIM_OP_ANSWER)
		entry_complete(sh, e);
	else
		entry_free(sh, e);
}

void entry_claim_result(shard_t *sh, const claim_result_t *res)
{
	entry_t *e = entry_find(sh, res->tag);

	if (!e || e->retry_at_us != INT64_MAX)
		return;
	if (e->phase == PHASE_CLAIMING)
		entry_take_result(sh, e, res);
	else if (e->phase == PHASE_RECORDING)
		entry_record_result(sh, e, res);
}

/* Messages from the owner. */

/*
 * Returns the request whose current attempt a message belongs to. A message of
 * an earlier attempt is counted as late and gives NULL.
 */
static entry_t *entry_find_attempt(shard_t *sh, host_id_t from,
				   const Serve__Ref *ref)
{
	entry_t *e = ref ? entry_find(sh, ref->handle) : NULL;

	if (e && ref->epoch == sh->s->epoch && e->phase == PHASE_SENT &&
	    ref->attempt == e->attempt && from == e->owner)
		return e;
	counter_add(CTR_LATE_DROPPED, 1);
	return NULL;
}

/*
 * Whether another attempt is safe after one that ended with run: it did not
 * run, or the request is repeatable, no answer byte was relayed, and it is not
 * likely to end the next target, too.
 */
static bool entry_may_repeat(const entry_t *e, run_state_t run)
{
	if (run == RUN_NO)
		return true;
	return e->repeatable && !e->answer_bytes &&
	       e->n_lost < TARGETS_LOST_MAX;
}

static void entry_attempt_ended(shard_t *sh, entry_t *e,
				const Serve__Refused *m)
{
	run_state_t run = m->run <= RUN_YES ? (run_state_t)m->run : RUN_UNKNOWN;
	retry_reason_t why = RETRY_REASON_COUNT;
	reason_t reason = (reason_t)m->reason;

	if (m->retry && m->retry <= RETRY_REASON_COUNT)
		why = (retry_reason_t)(m->retry - 1);
	if (run > e->run_state)
		e->run_state = run;
	e->last_failure = reason;
	if (why == RETRY_TARGET_LOST && run != RUN_NO && !e->answer_bytes) {
		e->n_lost++;
		lost_targets_note(sh->s->lost_targets, e->digest,
				  core_now(sh->s));
	}
	if (e->reconnect && !e->head_relayed && run == RUN_NO &&
	    why != RETRY_OWNER_MOVED && !e->caller_done) {
		entry_mark_tried(e);
		entry_place(sh, e);
		return;
	}
	if (m->resumable && e->answer_bytes && e->repeatable &&
	    entry_may_retry(sh, e, RETRY_RESUMED)) {
		e->resume = true;
		entry_retry(sh, e, RETRY_RESUMED);
		return;
	}
	if (why != RETRY_REASON_COUNT && entry_may_repeat(e, run) &&
	    !e->answer_bytes && entry_may_retry(sh, e, why)) {
		if (why != RETRY_OWNER_MOVED)
			entry_mark_tried(e);
		entry_retry(sh, e, why);
		return;
	}
	if (e->answer_bytes && reason_info(reason)->run_state == RUN_NO) {
		reason = REASON_STREAM_TRUNCATED;
		e->run_state = RUN_YES;
	}
	entry_fail(sh, e, reason, m->retry_ms, pb_str(m->detail));
}

void entry_refused(shard_t *sh, host_id_t from, const Serve__Refused *m)
{
	entry_t *e = entry_find_attempt(sh, from, m->ref);

	if (e)
		entry_attempt_ended(sh, e, m);
}

void entry_head(shard_t *sh, host_id_t from, const Serve__Head *m)
{
	entry_t *e = entry_find_attempt(sh, from, m->ref);
	serve_reply_t rep = {0};

	if (!e)
		return;
	e->run_state = RUN_YES;
	if (e->head_relayed)
		return;
	e->head_relayed = true;
	e->http_status = m->status;
	rep.kind = REPLY_HEAD;
	rep.http_status = m->status;
	entry_reply(sh, e, &rep);
}

static void entry_store_chunk(entry_t *e, str_t data)
{
	if (!e->claimed || e->answer_too_long)
		return;
	if (e->stored_answer.n + data.n > CLAIM_BODY_MAX) {
		e->answer_too_long = true;
		buf_free(&e->stored_answer);
	} else {
		buf_put(&e->stored_answer, data.p, data.n);
	}
}

/* Ends a request whose answer has a gap; the rest of the attempt is dropped. */
static void entry_fail_truncated(shard_t *sh, entry_t *e)
{
	entry_send_cancel(sh, e);
	e->run_state = RUN_YES;
	entry_fail(sh, e, REASON_STREAM_TRUNCATED, 0,
		   STR("Part of the answer was lost on the way."));
}

void entry_chunk(shard_t *sh, host_id_t from, const Serve__Chunk *m)
{
	entry_t *e = entry_find_attempt(sh, from, m->ref);
	serve_reply_t rep = {0};
	uint64_t skip;

	if (!e)
		return;
	if (m->offset > e->answer_bytes || !e->head_relayed) {
		entry_fail_truncated(sh, e);
		return;
	}
	skip = e->answer_bytes - m->offset;
	if (skip >= m->data.len)
		return;
	rep.kind = REPLY_CHUNK;
	rep.data = str_n((const char *)m->data.data + skip, m->data.len - skip);
	e->answer_bytes += rep.data.n;
	entry_store_chunk(e, rep.data);
	entry_reply(sh, e, &rep);
}

void entry_done(shard_t *sh, host_id_t from, const Serve__Done *m)
{
	entry_t *e = entry_find_attempt(sh, from, m->ref);

	if (!e)
		return;
	if (m->length != e->answer_bytes || !e->head_relayed) {
		entry_fail_truncated(sh, e);
		return;
	}
	e->run_state = RUN_YES;
	lost_targets_clear(sh->s->lost_targets, e->digest);
	e->stall_us += m->stall_us;
	counter_add(CTR_STALL_US, (uint64_t)m->stall_us);
	if (e->claimed)
		entry_record_claim(sh, e,
				   e->answer_too_long ? CLAIM_OP_UNKNOWN
						      : CLAIM_OP_ANSWER);
	else
		entry_complete(sh, e);
}

/* Lost owners. */

static void entry_owner_lost(shard_t *sh, entry_t *e)
{
	if (e->run_state == RUN_NO)
		e->run_state = RUN_UNKNOWN;
	e->last_failure = REASON_OWNER_LOST;
	if (e->repeatable && entry_may_retry(sh, e, RETRY_OWNER_LOST)) {
		e->resume = e->answer_bytes > 0;
		entry_retry(sh, e, RETRY_OWNER_LOST);
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

void entries_retry_placement(shard_t *sh)
{
	entry_t *e, *tmp;

	cds_list_for_each_entry_safe (e, tmp, &sh->entries, node)
		if (e->phase == PHASE_AWAIT_TARGET)
			entry_place(sh, e);
}

/* Deadlines and timers. */

static void entry_deadline_passed(shard_t *sh, entry_t *e, int64_t now)
{
	switch (e->phase) {
	case PHASE_CLAIMING:
		entry_claim_timeout(sh, e);
		return;
	case PHASE_SENT:
		if (now < e->deadline_us + DEADLINE_GRACE_US)
			return;
		entry_send_cancel(sh, e);
		if (e->run_state == RUN_NO)
			e->run_state = RUN_UNKNOWN;
		if (e->claimed)
			entry_reply_fail(sh, e, REASON_DEADLINE_EXCEEDED, 0,
					 str_n(NULL, 0));
		else
			entry_refuse(sh, e, REASON_DEADLINE_EXCEEDED);
		return;
	case PHASE_RECORDING:
		return;
	default:
		entry_refuse(sh, e,
			     e->run_state == RUN_NO ? REASON_DEADLINE_PASSED
						    : REASON_DEADLINE_EXCEEDED);
		return;
	}
}

static void entry_retry_record(shard_t *sh, entry_t *e, int64_t now)
{
	if (now < e->wait_until_us) {
		counter_add_retried(RETRY_CLAIM_AGAIN);
		entry_propose_claim(sh, e, e->claim_op);
	} else if (e->claim_op == CLAIM_OP_ANSWER) {
		log_event(LOG_ERR, "answer_not_recorded",
			  kv_u("handle", e->handle));
		entry_complete(sh, e);
	} else {
		entry_free(sh, e);
	}
}

static void entry_tick(shard_t *sh, entry_t *e, int64_t now)
{
	if (!e->caller_done && e->phase != PHASE_RECORDING &&
	    now >= e->deadline_us) {
		entry_deadline_passed(sh, e, now);
		return;
	}
	if (e->caller_done && e->phase == PHASE_SENT &&
	    now >= e->deadline_us + CLAIM_RECORD_MAX_US) {
		e->run_state = RUN_UNKNOWN;
		entry_record_claim(sh, e, CLAIM_OP_UNKNOWN);
		return;
	}
	if (now < e->retry_at_us)
		return;
	e->retry_at_us = INT64_MAX;
	switch (e->phase) {
	case PHASE_AWAIT_SHARE:
		entry_admit(sh, e);
		break;
	case PHASE_CLAIMING:
		counter_add_retried(RETRY_CLAIM_AGAIN);
		entry_propose_claim(sh, e, CLAIM_OP_TAKE);
		break;
	case PHASE_AWAIT_TARGET:
		entry_place(sh, e);
		break;
	case PHASE_RECORDING:
		entry_retry_record(sh, e, now);
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
		if (e->caller_done || e->phase == PHASE_RECORDING)
			due = e->phase == PHASE_SENT
				      ? e->deadline_us + CLAIM_RECORD_MAX_US
				      : INT64_MAX;
		if (e->retry_at_us < due)
			due = e->retry_at_us;
		if (due < next)
			next = due;
	}
	if (next <= now)
		next = now + TICK_INTERVAL_MIN_US;
	return next;
}
