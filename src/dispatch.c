/* dispatch.c - pending requests, and the public functions of the dispatcher. */
#include "dispatch_int.h"

#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "log.h"

/* Interval between checks for expired grants and hung runners. */
#define SWEEP_INTERVAL_US (250 * USEC_PER_MSEC)
/* Pending requests decided in one tick; the most urgent come first. */
#define DECIDE_MAX 64u
/* Interval at which pending requests are decided again. */
#define DECIDE_INTERVAL_US (10 * USEC_PER_MSEC)
/* Loads that one request may wait for before it is refused. */
#define LOAD_ATTEMPTS_MAX 4u
/*
 * How long after a takeover entries may still tell of their streams, and how long a
 * daemon may have to wait for another dispatcher. Requests that take up an unknown
 * stream wait until then.
 */
#define STREAMS_SETTLE_US (1 * USEC_PER_SEC)
/* Part of its latency objective that a request may wait for its quota. */
#define QUOTA_WAIT_DIV 3
/* Delay that a refused caller is told to wait before it comes back. */
#define REFUSAL_RETRY_US (1 * USEC_PER_SEC)

const char *place_outcome_name(place_outcome_t o)
{
	static const char *const names[] = {
#define X(name, text) text,
		PLACE_OUTCOMES(X)
#undef X
	};

	return o < PLACE_OUTCOME_COUNT ? names[o] : "unknown";
}

static guint request_key_hash(gconstpointer p)
{
	const request_key_t *k = p;

	/* The constant is 2^64 divided by the golden ratio. */
	return (guint)(k->id * 0x9e3779b97f4a7c15ull >> 32) ^ k->host;
}

gboolean request_key_equal(gconstpointer a, gconstpointer b)
{
	const request_key_t *ka = a;
	const request_key_t *kb = b;

	return ka->id == kb->id && ka->host == kb->host;
}

dispatch_t *dispatch_new(const dispatch_cfg_t *cfg, const dispatch_ops_t *ops,
			 void *ctx)
{
	dispatch_t *d = xcalloc(1, sizeof(*d));

	d->cfg = *cfg;
	d->cfg.holder = str_copy(cfg->holder);
	d->ops = *ops;
	d->ctx = ctx;
	d->grants = g_hash_table_new(request_key_hash, request_key_equal);
	d->pending_by_key =
		g_hash_table_new(request_key_hash, request_key_equal);
	fleet_init(d);
	d->adapter_versions = g_hash_table_new(NULL, NULL);
	CDS_INIT_LIST_HEAD(&d->pending);
	CDS_INIT_LIST_HEAD(&d->early_held);
	d->streams = stream_builds_new();
	d->quarantine = quarantine_new();
	d->paths = paths_new();
	d->spill = spill_new();
	pacing_init(d);
	d->quotas = org_quotas_new(&cfg->quota_tolerance);
	d->decided_builds = build_set_new();
	d->seen_builds = build_set_new();
	builds_init(d);
	retry_budgets_init(&d->budgets, cfg->retry_ratio, cfg->retry_slack,
			   cfg->retry_window_us);
	return d;
}

/*
 * Part of the retries' slack that this dispatcher may use. In its first window it
 * does not know how many its predecessor granted, and uses half.
 */
static double retry_slack_share(const dispatch_t *d, int64_t now_us)
{
	bool first_window = now_us - d->began_us < d->cfg.retry_window_us;

	return d->runner_share * (first_window ? 0.5 : 1);
}

/* Messages to entries. */

static void send_refusal(dispatch_t *d, const request_key_t *key,
			 reason_t reason, int64_t retry_us)
{
	Dispatch__Refusal pb = DISPATCH__REFUSAL__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = key->id;
	pb.reason = reason;
	pb.retry_us = retry_us;
	msg.body_case = DISPATCH__MSG__BODY_REFUSAL;
	msg.refusal = &pb;
	d->ops.send(d->ctx, key->host, &msg);
}

static void send_waiting(dispatch_t *d, const request_key_t *key)
{
	Dispatch__Waiting pb = DISPATCH__WAITING__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.id = key->id;
	msg.body_case = DISPATCH__MSG__BODY_WAITING;
	msg.waiting = &pb;
	d->ops.send(d->ctx, key->host, &msg);
}

static void send_pong(dispatch_t *d, host_id_t to, const Dispatch__Ping *m)
{
	Dispatch__Pong pb = DISPATCH__PONG__INIT;
	Dispatch__Msg msg = DISPATCH__MSG__INIT;

	pb.sent_us = m->sent_us;
	msg.body_case = DISPATCH__MSG__BODY_PONG;
	msg.pong = &pb;
	d->ops.send(d->ctx, to, &msg);
}

static void leave_queue(pending_request_t *req)
{
	if (req->queued_runner)
		req->queued_runner->n_queued--;
	req->queued_runner = NULL;
}

static void queue_at_runner(pending_request_t *req, runner_t *r)
{
	req->queued_runner = r;
	r->n_queued++;
}

void pending_runner_removed(dispatch_t *d, runner_t *r)
{
	pending_request_t *req;

	cds_list_for_each_entry (req, &d->pending, node)
		if (req->queued_runner == r)
			leave_queue(req);
}

/* Pending requests. */

static void pending_free(dispatch_t *d, pending_request_t *req)
{
	leave_queue(req);
	org_quota_return(&req->charge);
	if (req->awaited_copy)
		req->awaited_copy->waiting_requests--;
	g_hash_table_remove(d->pending_by_key, &req->key);
	cds_list_del(&req->node);
	dispatch__msg__free_unpacked(req->msg, NULL);
	free(req);
}

static void pending_refuse(dispatch_t *d, pending_request_t *req,
			   reason_t reason, int64_t retry_us)
{
	log_event(LOG_INFO, "grant_refused",
		  kv_s("id", pb_str(req->msg->ask->request)),
		  kv_s("org", pb_str(req->msg->ask->org)),
		  KV_C("reason", reason_info(reason)->name),
		  kv_i("retry_ms", retry_us / USEC_PER_MSEC));
	send_refusal(d, &req->key, reason, retry_us);
	pending_free(d, req);
}

static pending_request_t *pending_find(dispatch_t *d, const request_key_t *key)
{
	return g_hash_table_lookup(d->pending_by_key, key);
}

/*
 * Makes the request wait for its adapter at the chosen runner, and has the
 * adapter loaded if necessary.
 */
static void wait_for_copy(dispatch_t *d, pending_request_t *req,
			  const choice_t *choice, int64_t now_us)
{
	const Dispatch__Ask *a = req->msg->ask;
	str_t model = pb_str(a->model);
	str_t adapter = pb_str(a->adapter);
	copy_t *c = runner_find_copy(choice->runner, model, adapter);

	if (!c) {
		c = runner_add_copy(d, choice->runner, model, adapter,
				    COPY_WANTED);
		c->wanted_us = now_us;
	} else if (choice->needs_load) {
		copy_set_state(d, c, COPY_WANTED);
	}
	log_event(LOG_INFO, "load_pending", kv_s("id", pb_str(a->request)),
		  kv_s("runner", choice->runner->id), kv_s("adapter", adapter),
		  kv_u("load_attempts", req->load_attempts));
	req->load_wait_start_us = now_us;
	req->awaited_copy = c;
	c->waiting_requests++;
	c->last_used_us = now_us;
	orders_send_due(d, now_us);
	d->orders_due_us = now_us;
}

static bool has_ready_copy(const runner_t *r, const Dispatch__Ask *ask)
{
	const copy_t *c;

	if (!ask->adapter.len)
		return true;
	c = runner_find_copy(r, pb_str(ask->model), pb_str(ask->adapter));
	return c && c->state == COPY_READY;
}

/*
 * Sets the software version that a request needs which takes up a stream. False: it
 * is not known; the request was refused, or waits for an entry to tell.
 */
static bool resolve_stream(dispatch_t *d, pending_request_t *req,
			   int64_t now_us)
{
	Dispatch__Ask *a = req->msg->ask;
	bool is_leader = d->mode == DISPATCH_LEADER;
	str_t build;

	req->awaits_version = false;
	if (!a->takes_up || a->build.len)
		return true;
	build = builds_of_stream(d, a, now_us);
	if (build.n) {
		a->build.data = (uint8_t *)str_dup(build);
		a->build.len = build.n;
		return true;
	}
	req->awaits_version = true;
	if (is_leader && !a->stream) {
		pending_refuse(d, req, REASON_STREAM_UNKNOWN, 0);
		return false;
	}
	if (builds_await_journals(d, a, now_us)) {
		if (now_us - req->received_us >= STREAMS_SETTLE_US)
			pending_refuse(d, req, REASON_STREAM_UNKNOWN,
				       REFUSAL_RETRY_US);
		return false;
	}
	/* Without a lease the decided versions may be out of date: it may come back. */
	if (now_us - d->began_us >= STREAMS_SETTLE_US)
		pending_refuse(d, req, REASON_STREAM_UNKNOWN,
			       is_leader && now_us < d->lease_until_us
				       ? 0
				       : REFUSAL_RETRY_US);
	return false;
}

/* Refuses the request if the quarantine holds it; returns whether it has. */
static bool refuse_quarantined(dispatch_t *d, pending_request_t *req,
			       int64_t now_us)
{
	const Dispatch__Ask *a = req->msg->ask;
	reason_t reason;

	if (req->is_trial)
		return false;
	reason = quarantine_reason(d, a, now_us);
	if (reason == REASON_NONE)
		return false;
	req->is_trial = quarantine_begin_trial(d, a, now_us);
	if (req->is_trial)
		return false;
	pending_refuse(d, req, reason, 0);
	return true;
}

/* Grants or refuses a pending request, or leaves it pending. */
static void pending_decide(dispatch_t *d, pending_request_t *req,
			   int64_t now_us)
{
	const Dispatch__Ask *a = req->msg->ask;
	choice_t choice;

	if (refuse_quarantined(d, req, now_us))
		return;
	if (a->target_ended && quarantine_suspects(d, a)) {
		pending_refuse(d, req, REASON_TARGET_LOST, 0);
		return;
	}
	if (!d->list_known || !d->manifest)
		return; /* decided again once both are known */
	if (now_us < req->quota_due_us)
		return; /* decided again at decide_due_us */
	if (!resolve_stream(d, req, now_us))
		return;
	leave_queue(req);
	if (quarantine_runs_alike(d, a, now_us))
		return; /* decided again at decide_due_us */
	choice = choose_runner(d, a, now_us - req->received_us,
			       req->load_waited_us, now_us);
	if (!choice.runner && choice.stays_pending)
		return; /* decided again at decide_due_us */
	if (!choice.runner) {
		pending_refuse(d, req, choice.reason, choice.retry_us);
		return;
	}
	if (quarantine_spares_last(d, a, choice.runner, now_us)) {
		pending_refuse(d, req, REASON_NO_TARGET, REFUSAL_RETRY_US);
		return;
	}
	if (quarantine_keeps_away(d, a, choice.runner, now_us))
		return; /* decided again at decide_due_us */
	if (!choice.needs_load && has_ready_copy(choice.runner, a)) {
		if (choice.grant_in_us > 0) {
			/* It is decided again at decide_due_us. */
			queue_at_runner(req, choice.runner);
			return;
		}
		spill_record_left(choice.leaves, pb_str(a->request),
				  choice.runner->service, pb_str(a->zone),
				  choice.runner->zone,
				  a->tokens_in + a->tokens_out);
		grants_issue(d, req, choice.runner, choice.first_event_us,
			     now_us);
		pending_free(d, req);
		return;
	}
	if (req->load_attempts++ >= LOAD_ATTEMPTS_MAX) {
		pending_refuse(d, req, REASON_LOAD_FAILED, REFUSAL_RETRY_US);
		return;
	}
	wait_for_copy(d, req, &choice, now_us);
}

void pending_copy_ready(dispatch_t *d, copy_t *c, int64_t now_us)
{
	pending_request_t *req, *tmp;

	cds_list_for_each_entry_safe (req, tmp, &d->pending, node) {
		if (req->awaited_copy != c)
			continue;
		c->waiting_requests--;
		req->awaited_copy = NULL;
		req->load_waited_us += now_us - req->load_wait_start_us;
		pending_decide(d, req, now_us);
	}
}

void pending_copy_removed(dispatch_t *d, const copy_t *c)
{
	pending_request_t *req;

	cds_list_for_each_entry (req, &d->pending, node)
		if (req->awaited_copy == c)
			req->awaited_copy = NULL;
}

void pending_refuse_quarantined(dispatch_t *d, int64_t now_us)
{
	pending_request_t *req, *tmp;

	cds_list_for_each_entry_safe (req, tmp, &d->pending, node)
		refuse_quarantined(d, req, now_us);
}

/*
 * Sends the answer to a repeated Ask again: its request is pending or has a
 * grant, so the first answer was lost. Returns false if the request is new.
 */
static bool resend_answer(dispatch_t *d, const request_key_t *key)
{
	const grant_t *g = g_hash_table_lookup(d->grants, key);

	if (g) {
		grants_send(d, g);
		return true;
	}
	if (!pending_find(d, key))
		return false;
	send_waiting(d, key);
	return true;
}

/*
 * Whether a goes before b: requests that take up a stream before others, then those
 * of an organisation of higher priority, then those of a route of higher priority.
 */
static bool is_more_urgent(const Dispatch__Ask *a, const Dispatch__Ask *b)
{
	if (!a->takes_up != !b->takes_up)
		return a->takes_up;
	if (a->org_priority != b->org_priority)
		return a->org_priority < b->org_priority;
	return a->priority < b->priority;
}

/* Inserts the request behind all that are as urgent or more urgent. */
static void pending_insert(dispatch_t *d, pending_request_t *req)
{
	struct cds_list_head *at = d->pending.prev;

	while (at != &d->pending &&
	       is_more_urgent(
		       req->msg->ask,
		       cds_list_entry(at, pending_request_t, node)->msg->ask))
		at = at->prev;
	cds_list_add(&req->node, at);
	g_hash_table_insert(d->pending_by_key, &req->key, req);
}

/* Decides the first request that takes up a stream: a new one must not overtake it. */
static void decide_first_taken_up(dispatch_t *d, int64_t now_us)
{
	pending_request_t *req;

	if (cds_list_empty(&d->pending))
		return;
	req = cds_list_first_entry(&d->pending, pending_request_t, node);
	if (req->msg->ask->takes_up && !req->awaited_copy)
		pending_decide(d, req, now_us);
}

/* Takes the request's part of its organisation's quota, or refuses it. */
static bool take_quota(dispatch_t *d, pending_request_t *req, int64_t now_us)
{
	const Dispatch__Ask *a = req->msg->ask;
	const quota_request_t q = {
		.id = a->id,
		.org = pb_str(a->org),
		.tokens = a->tokens_in + a->tokens_out,
		.wait_max_us = a->target_us / QUOTA_WAIT_DIV,
		.may_have_run = a->repeat,
	};
	int64_t retry_us = 0;
	int64_t wait_us =
		org_quota_take(d->quotas, &q, now_us, &req->charge, &retry_us);

	if (wait_us < 0) {
		counter_add(CTR_QUOTA_REFUSED, 1);
		pending_refuse(d, req, REASON_RATE_LIMIT, retry_us);
		return false;
	}
	if (wait_us > 0)
		counter_add(CTR_QUOTA_WAITED, 1);
	req->quota_due_us = now_us + wait_us;
	return true;
}

/* Takes ownership of msg. */
static void on_ask(dispatch_t *d, const request_key_t *key, Dispatch__Msg *msg,
		   int64_t now_us)
{
	const Dispatch__Ask *a = msg->ask;
	pending_request_t *req;

	if (resend_answer(d, key)) {
		dispatch__msg__free_unpacked(msg, NULL);
		return;
	}
	quarantine_on_ask(d, a);
	paths_on_ask(d, key->host, pb_str(a->zone));
	spill_on_request(d->spill, pb_str(a->service), pb_str(a->zone),
			 a->tokens_in + a->tokens_out, now_us);
	if (!retry_budget_spend(&d->budgets, pb_str(a->service), a->repeat,
				retry_slack_share(d, now_us), now_us)) {
		send_refusal(d, key, REASON_RETRY_BUDGET, REFUSAL_RETRY_US);
		dispatch__msg__free_unpacked(msg, NULL);
		return;
	}
	req = xcalloc(1, sizeof(*req));
	req->key = *key;
	req->msg = msg;
	req->received_us = now_us;
	req->deadline_us = now_us + a->left_us;
	if (!a->takes_up)
		decide_first_taken_up(d, now_us);
	pending_insert(d, req);
	if (!take_quota(d, req, now_us))
		return;
	pending_decide(d, req, now_us);
	if (!pending_find(d, key))
		return;
	send_waiting(d, key);
	d->decide_due_us = MIN(d->decide_due_us, now_us + DECIDE_INTERVAL_US);
}

/* Messages from entries. */

void dispatch_store_streams(stream_builds_t *to, const Dispatch__Streams *m,
			    int64_t now_us)
{
	for (size_t i = 0; i < m->n_streams && i < m->n_keep_us; i++)
		stream_builds_tell(to, m->streams[i], pb_str(m->build), now_us,
				   now_us + m->keep_us[i]);
}

static void on_done(dispatch_t *d, const request_key_t *key,
		    const Dispatch__Done *m, int64_t now_us)
{
	pending_request_t *req = pending_find(d, key);

	if (req)
		pending_free(d, req);
	grants_on_done(d, key, m, now_us);
}

Dispatch__Msg *dispatch_msg_copy(const Dispatch__Msg *msg)
{
	size_t n = dispatch__msg__get_packed_size(msg);
	AUTO_FREE uint8_t *bytes = xmalloc(n);

	dispatch__msg__pack(msg, bytes);
	return dispatch__msg__unpack(NULL, n, bytes);
}

/*
 * Frees the grants and drops the pending requests that the entry does not name:
 * the messages that ended them were lost.
 */
static void on_uses(dispatch_t *d, host_id_t from, const Dispatch__Uses *m,
		    int64_t now_us)
{
	pending_request_t *req, *tmp;

	grants_free_of_host(d, from, m, now_us);
	cds_list_for_each_entry_safe (req, tmp, &d->pending, node)
		if (req->key.host == from && !grants_is_used(m, req->key.id))
			pending_free(d, req);
}

void dispatch_recv(dispatch_t *d, host_id_t from, const Dispatch__Msg *msg,
		   int64_t now_us)
{
	request_key_t key = {.host = from};

	if (!d->active)
		return;
	switch (msg->body_case) {
	case DISPATCH__MSG__BODY_ASK:
		key.id = msg->ask->id;
		on_ask(d, &key, dispatch_msg_copy(msg), now_us);
		break;
	case DISPATCH__MSG__BODY_STARTED:
		key.id = msg->started->id;
		grants_on_started(d, &key, msg->started, now_us);
		break;
	case DISPATCH__MSG__BODY_DONE:
		key.id = msg->done->id;
		on_done(d, &key, msg->done, now_us);
		break;
	case DISPATCH__MSG__BODY_PING:
		send_pong(d, from, msg->ping);
		break;
	case DISPATCH__MSG__BODY_USES:
		on_uses(d, from, msg->uses, now_us);
		break;
	case DISPATCH__MSG__BODY_LIMIT:
		key.id = msg->limit->id;
		pacing_on_limit(d, &key, msg->limit, now_us);
		break;
	case DISPATCH__MSG__BODY_ANSWERED:
		quarantine_on_answered_before(d, msg->answered, now_us);
		break;
	case DISPATCH__MSG__BODY_CRASH:
		quarantine_on_crash(d, msg->crash, now_us);
		break;
	case DISPATCH__MSG__BODY_STREAMS:
		dispatch_store_streams(d->streams, msg->streams, now_us);
		break;
	case DISPATCH__MSG__BODY_JOURNAL:
		builds_on_journal(d, from, msg->journal);
		break;
	case DISPATCH__MSG__BODY_HELD:
		key.id = msg->held->id;
		grants_on_held(d, &key, msg);
		break;
	default:
		break;
	}
}

void dispatch_host_lost(dispatch_t *d, host_id_t host, int64_t now_us)
{
	pending_request_t *req, *tmp;

	grants_free_of_host(d, host, NULL, now_us);
	paths_host_lost(d->paths, host);
	cds_list_for_each_entry_safe (req, tmp, &d->pending, node)
		if (req->key.host == host)
			pending_free(d, req);
}

/* Tables, runner list, reports and results of orders. */

/* Initial estimate of how many adapters the store delivers concurrently. */
static uint32_t store_initial_concurrency(const dispatch_t *d)
{
	uint32_t n = STORE_CONCURRENCY_MIN;

	for (size_t i = 0; d->manifest && i < d->manifest->n_services; i++) {
		double rate = d->manifest->services[i].loads_per_s;

		if (rate * STORE_CONCURRENCY_PER_RATE > n)
			n = (uint32_t)(rate * STORE_CONCURRENCY_PER_RATE);
	}
	return n;
}

const doc_t *dispatch_find_doc(const dispatch_t *d, str_t name)
{
	return d->tables ? decided_doc_by_name(d->tables, name) : NULL;
}

/* Indexes the documents named MODEL/ADAPTER: decided adapter versions. */
static void index_adapter_versions(dispatch_t *d)
{
	for (size_t i = 0; i < decided_doc_count(d->tables); i++) {
		const doc_t *doc = decided_doc_at(d->tables, i);
		str_t model, adapter;

		if (str_split(doc->name, '/', &model, &adapter) && adapter.n)
			g_hash_table_insert(
				d->adapter_versions,
				GSIZE_TO_POINTER(copy_key(model, adapter)),
				GSIZE_TO_POINTER(doc->version));
	}
}

void dispatch_set_live_hosts(dispatch_t *d, size_t n, int64_t now_us)
{
	if (d->active)
		org_quotas_set_live_hosts(d->quotas, n, now_us);
}

void dispatch_set_tables(dispatch_t *d, manifest_t *m, const decided_t *tables)
{
	manifest_unref(d->manifest);
	d->manifest = manifest_ref(m);
	decided_unref(d->tables);
	d->tables = decided_ref(tables);
	org_quotas_set_manifest(d->quotas, m);
	builds_apply_tables(d);
	quarantine_apply_tables(d);
	index_adapter_versions(d);
	if (d->store_concurrency < store_initial_concurrency(d))
		d->store_concurrency = store_initial_concurrency(d);
}

void dispatch_set_runners(dispatch_t *d, const runner_list_t *l, int64_t now_us)
{
	if (!d->active)
		return;
	fleet_apply_list(d, l, now_us);
	if (d->mode == DISPATCH_LEADER)
		builds_propose(d, l, now_us);
	d->list_known = true;
	grants_apply_early(d);
	pacing_apply_early(d, now_us);
	d->decide_due_us = now_us;
	d->orders_due_us = now_us;
}

void dispatch_runner_report(dispatch_t *d, str_t runner,
			    const runner_info_t *info, int64_t now_us)
{
	runner_t *r = d->active ? fleet_find(d, runner) : NULL;

	if (!r)
		return;
	r->report_pending = false;
	if (!info)
		return; /* requested again at report_due_us */
	if (r->order_pending ||
	    r->report_asked_us < r->order_ended_us + REPORT_LAG_US) {
		/* It may show the state before the last order. */
		r->report_due_us =
			(r->order_pending ? now_us : r->order_ended_us) +
			REPORT_LAG_US;
		return;
	}
	r->report_due_us = INT64_MAX;
	fleet_apply_report(d, r, info, now_us);
	orders_send_due(d, now_us);
	d->orders_due_us = now_us;
}

void dispatch_order_result(dispatch_t *d, str_t runner, order_result_t result,
			   int64_t now_us)
{
	runner_t *r = d->active ? fleet_find(d, runner) : NULL;

	if (!r)
		return;
	orders_result(d, r, result, now_us);
	d->orders_due_us = now_us;
}

/* Beginning and end. */

void dispatch_begin(dispatch_t *d, uint64_t term, bool orders_settled,
		    int64_t now_us)
{
	dispatch_end(d);
	d->active = true;
	d->mode = DISPATCH_LEADER;
	d->runner_share = 1;
	d->list_known = false;
	d->term = term;
	d->began_us = now_us;
	d->store_concurrency = store_initial_concurrency(d);
	d->adapter_load_us = ADAPTER_LOAD_INITIAL_US;
	d->orders_due_us = now_us;
	d->decide_due_us = now_us;
	d->sweep_due_us = now_us;
	d->next_trial_us = 0;
	d->trial_ends_us = 0;
	d->orders_from_us =
		orders_settled ? now_us : now_us + d->cfg.takeover_wait_us;
	d->order_lost_us = INT64_MIN / 2;
	org_quotas_begin(d->quotas, 1, true, term);
	builds_begin(d, now_us);
	quarantine_begin(d, now_us);
	log_event(LOG_INFO, "dispatch_started", kv_u("term", term),
		  kv_u("orders_settled", orders_settled));
}

void dispatch_begin_isolated(dispatch_t *d, size_t n, int64_t now_us)
{
	dispatch_end(d);
	d->active = true;
	d->mode = DISPATCH_ISOLATED;
	d->runner_share = 1.0 / (double)(n ? n : 1);
	d->list_known = false;
	d->term = 0;
	d->began_us = now_us;
	d->orders_from_us = INT64_MAX;
	org_quotas_begin(d->quotas, d->runner_share, false,
			 d->cfg.self ^ (uint64_t)now_us);
	d->orders_due_us = now_us;
	d->decide_due_us = now_us;
	d->sweep_due_us = now_us;
	quarantine_begin(d, now_us);
	log_event(LOG_INFO, "isolated_dispatch_started", kv_u("daemons", n));
}

void dispatch_end(dispatch_t *d)
{
	pending_request_t *req, *tmp;

	if (d->active && d->mode == DISPATCH_LEADER)
		log_event(LOG_INFO, "dispatch_ended", kv_u("term", d->term));

	cds_list_for_each_entry_safe (req, tmp, &d->pending, node)
		pending_free(d, req);
	grants_clear(d);
	pacing_clear(d);
	paths_clear(d->paths);
	spill_clear(d->spill);
	fleet_clear(d);
	retry_budgets_clear(&d->budgets);
	stream_builds_clear(d->streams);
	builds_clear(d);
	d->active = false;
	d->lease_until_us = INT64_MIN;
}

bool dispatch_active(const dispatch_t *d)
{
	return d->active;
}

void dispatch_set_lease(dispatch_t *d, int64_t until_us)
{
	d->lease_until_us = until_us;
}

bool dispatch_orders_settled(const dispatch_t *d, int64_t now_us)
{
	const runner_t *r;

	if (now_us < d->orders_from_us ||
	    now_us - d->order_lost_us < d->cfg.takeover_wait_us)
		return false;
	cds_list_for_each_entry (r, &d->runners, node)
		if (r->order_pending)
			return false;
	return true;
}

void dispatch_free(dispatch_t *d)
{
	if (!d)
		return;
	dispatch_end(d);
	g_hash_table_destroy(d->grants);
	g_hash_table_destroy(d->pending_by_key);
	fleet_free(d);
	stream_builds_free(d->streams);
	quarantine_free(d->quarantine);
	paths_free(d->paths);
	spill_free(d->spill);
	pacing_free(d);
	build_set_free(d->decided_builds);
	build_set_free(d->seen_builds);
	org_quotas_free(d->quotas);
	builds_free(d);
	g_hash_table_destroy(d->adapter_versions);
	manifest_unref(d->manifest);
	decided_unref(d->tables);
	str_free(&d->cfg.holder);
	free(d);
}

/* Periodic work. */

/*
 * Refuses expired pending requests and decides the others again; returns when
 * to do so next.
 */
static int64_t decide_pending(dispatch_t *d, int64_t now_us)
{
	uint32_t n = 0;
	pending_request_t *req, *tmp;

	cds_list_for_each_entry_safe (req, tmp, &d->pending, node) {
		if (now_us >= req->deadline_us)
			pending_refuse(d, req, REASON_LOAD_FAILED,
				       REFUSAL_RETRY_US);
		/* Those that cannot be decided yet do not count towards the bound. */
		else if (!req->awaited_copy && now_us >= req->quota_due_us &&
			 (req->awaits_version || n++ < DECIDE_MAX))
			pending_decide(d, req, now_us);
	}
	return cds_list_empty(&d->pending) ? INT64_MAX
					   : now_us + DECIDE_INTERVAL_US;
}

int64_t dispatch_tick(dispatch_t *d, int64_t now_us)
{
	int64_t quarantine_due_us;

	if (!d->active)
		return INT64_MAX;
	if (now_us >= d->orders_due_us)
		d->orders_due_us = orders_tick(d, now_us);
	if (now_us >= d->decide_due_us)
		d->decide_due_us = decide_pending(d, now_us);
	if (now_us >= d->sweep_due_us) {
		d->sweep_due_us = now_us + SWEEP_INTERVAL_US;
		grants_sweep(d, now_us);
		choice_decide_spill(d, now_us);
	}
	quarantine_due_us = quarantine_tick(d, now_us);
	return MIN(quarantine_due_us,
		   MIN(d->sweep_due_us,
		       MIN(d->orders_due_us, d->decide_due_us)));
}
