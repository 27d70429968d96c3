/*
 * serve.c - the shards of the serving core and their messages, the permits and
 * shares that the leader grants, and the calls that read all shards.
 */
#include "core.h"

#include <string.h>

#include "counter.h"
#include "log.h"
#include "slot.h"

/* Most live hosts that leader_permits_reported() looks at. */
#define LIVE_HOSTS_MAX 4096u
#define EXPLAIN_CANDIDATES_MAX 16u
/* Interval between reports of the permits in use to a new leader. */
#define PERMIT_REPORT_INTERVAL_US (200 * USEC_PER_MSEC)

/* A message in the mailbox of a shard. */
typedef struct shard_msg {
	struct cds_list_head node;
	host_id_t from;
	serve_msg_t *msg; /* owned */
} shard_msg_t;

void serve_cfg_default(serve_cfg_t *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	cfg->stall_weight = 1;
	cfg->batch_weight = 1;
	cfg->store_concurrency = 1;
	cfg->store_rate_per_s = 3;
	cfg->queue_max = 256;
	cfg->replicas_max = 4;
	cfg->step_us = 25 * USEC_PER_MSEC;
	cfg->step_growth = 0.02;
	cfg->load_us = 330 * USEC_PER_MSEC;
	cfg->order_max_us = 500 * USEC_PER_MSEC;
	cfg->progress_timeout_us = 10 * USEC_PER_SEC;
	cfg->address_ttl_us = 2 * USEC_PER_SEC;
	cfg->default_deadline_us = 60 * USEC_PER_SEC;
	cfg->policy.place = PLACE_COST;
	cfg->policy.evict = EVICT_COST;
	cfg->policy.queue = QUEUE_DEADLINE;
	cfg->policy.permits = true;
	cfg->policy.early_refusal = true;
	cfg->policy.prefetch = true;
}

void core_arm_timer(shard_t *sh, int64_t at_us)
{
	if (at_us != INT64_MAX)
		timer_svc_arm_earlier(sh->s->timers, &sh->timer, at_us);
}

shard_t *core_target_shard(serve_t *s, target_id_t target)
{
	return &s->shards[target % SERVE_SHARDS];
}

static shard_t *handle_shard(serve_t *s, uint64_t handle)
{
	return &s->shards[handle % SERVE_SHARDS];
}

/* Returns the shard that handles a message; NULL if its body is not known. */
static shard_t *msg_shard(serve_t *s, const serve_msg_t *m)
{
	switch (m->body_case) {
	case SERVE__SERVE_MSG__BODY_SUBMIT:
		return core_target_shard(s, m->submit->target);
	case SERVE__SERVE_MSG__BODY_CANCEL:
		return core_target_shard(s, m->cancel->target);
	case SERVE__SERVE_MSG__BODY_PERMIT_GRANT:
		return core_target_shard(s, m->permit_grant->target);
	case SERVE__SERVE_MSG__BODY_REFUSED:
		return m->refused->ref
			       ? handle_shard(s, m->refused->ref->handle)
			       : NULL;
	case SERVE__SERVE_MSG__BODY_HEAD:
		return m->head->ref ? handle_shard(s, m->head->ref->handle)
				    : NULL;
	case SERVE__SERVE_MSG__BODY_CHUNK:
		return m->chunk->ref ? handle_shard(s, m->chunk->ref->handle)
				     : NULL;
	case SERVE__SERVE_MSG__BODY_DONE:
		return m->done->ref ? handle_shard(s, m->done->ref->handle)
				    : NULL;
	case SERVE__SERVE_MSG__BODY_REPORT:
	case SERVE__SERVE_MSG__BODY_PERMIT_ASK:
	case SERVE__SERVE_MSG__BODY_PERMIT_TOLD:
	case SERVE__SERVE_MSG__BODY_SHARE_ASK:
	case SERVE__SERVE_MSG__BODY_SHARE_GRANT:
		return &s->shards[LEADER_SHARD];
	default:
		return NULL;
	}
}

/* Queues msg for its shard; takes ownership of msg. */
static void shard_put_msg(serve_t *s, host_id_t from, serve_msg_t *msg)
{
	shard_t *sh = msg_shard(s, msg);
	shard_msg_t *queued;

	if (!sh) {
		serve__serve_msg__free_unpacked(msg, NULL);
		return;
	}
	queued = xmalloc(sizeof(*queued));
	queued->from = from;
	queued->msg = msg;
	pthread_mutex_lock(&sh->mailbox_lock);
	cds_list_add_tail(&queued->node, &sh->mailbox);
	pthread_mutex_unlock(&sh->mailbox_lock);
	atomic_fetch_or(&s->shards_with_mail, 1u << sh->index);
}

static shard_msg_t *shard_take_msg(shard_t *sh)
{
	shard_msg_t *queued = NULL;

	pthread_mutex_lock(&sh->mailbox_lock);
	if (!cds_list_empty(&sh->mailbox)) {
		queued = cds_list_first_entry(&sh->mailbox, shard_msg_t, node);
		cds_list_del(&queued->node);
	}
	pthread_mutex_unlock(&sh->mailbox_lock);
	return queued;
}

static void shard_msg_free(shard_msg_t *queued)
{
	serve__serve_msg__free_unpacked(queued->msg, NULL);
	free(queued);
}

void core_send(serve_t *s, host_id_t to, serve_msg_t *msg)
{
	AUTO_FREE uint8_t *p = NULL;
	size_t n = serve__serve_msg__get_packed_size(msg);

	if (!to)
		return;
	p = xmalloc(n + 1);
	serve__serve_msg__pack(msg, p);
	if (to == s->cfg.self)
		shard_put_msg(s, to, serve__serve_msg__unpack(NULL, n, p));
	else
		s->ops.send(s->ctx, to, p, n);
}

/* The leader's side: permits and shares. */

static void leader_send_permit(void *ctx, const permit_ask_t *ask)
{
	serve_t *s = ctx;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitGrant m = SERVE__PERMIT_GRANT__INIT;

	m.target = ask->target;
	m.adapter = pb_bytes(ask->adapter);
	m.term = s->shards[LEADER_SHARD].lease_status.term;
	m.backlog = s->permits.backlog;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_GRANT;
	msg.permit_grant = &m;
	core_send(s, ask->host, &msg);
}

static int64_t leader_grant_permits(serve_t *s, int64_t now)
{
	if (!s->leading)
		return INT64_MAX;
	return permits_grant(&s->permits, now, leader_send_permit, s);
}

static void leader_permit_ask(serve_t *s, host_id_t from,
			      const Serve__PermitAsk *m, int64_t now)
{
	permit_ask_t ask = {from,	m->target,   pb_str(m->adapter),
			    m->waiting, m->slack_us, m->prefetch};

	if (!s->leading)
		return;
	if (m->cancel)
		permits_release(&s->permits, from, m->target, ask.adapter);
	else if (m->held)
		permits_add_in_use(&s->permits, &ask, now);
	else
		permits_ask(&s->permits, &ask, now);
}

/*
 * Notes that a host has reported all its permits in use. Once every live host
 * has done so, permits may be granted again.
 */
static void leader_permits_reported(serve_t *s, host_id_t from, uint64_t term,
				    int64_t now)
{
	host_id_t live[LIVE_HOSTS_MAX];
	size_t n;

	if (!s->leading || term != s->shards[LEADER_SHARD].lease_status.term)
		return;
	g_hash_table_add(s->permit_reporters, GUINT_TO_POINTER(from));
	n = place_live_hosts(&s->place, live, LIVE_HOSTS_MAX);
	for (size_t i = 0; i < n && i < LIVE_HOSTS_MAX; i++)
		if (!g_hash_table_contains(s->permit_reporters,
					   GUINT_TO_POINTER(live[i])))
			return;
	permits_all_reported(&s->permits, now);
}

static void leader_share_ask(serve_t *s, host_id_t from,
			     const Serve__ShareAsk *m, int64_t now)
{
	shard_t *sh = &s->shards[LEADER_SHARD];
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__ShareGrant grant = SERVE__SHARE_GRANT__INIT;
	AUTO_FREE share_t *shares = xcalloc(m->n_demand + 1, sizeof(*shares));
	AUTO_FREE Serve__Share *rows = xcalloc(m->n_demand + 1, sizeof(*rows));
	AUTO_FREE Serve__Share **refs = xcalloc(m->n_demand + 1, sizeof(*refs));

	if (!s->leading || !sh->tables)
		return;
	for (size_t i = 0; i < m->n_demand; i++) {
		shares[i].org = m->demand[i]->org;
		shares[i].amount[SHARE_RATE] = m->demand[i]->rate_milli;
		shares[i].amount[SHARE_CONCURRENCY] = m->demand[i]->concurrency;
	}
	grant.seq = share_pool_ask(&s->share_pool, sh->tables, from, m->seq,
				   shares, m->n_demand, now);
	if (!grant.seq)
		return;
	for (size_t i = 0; i < m->n_demand; i++) {
		serve__share__init(&rows[i]);
		rows[i].org = shares[i].org;
		rows[i].rate_milli = shares[i].amount[SHARE_RATE];
		rows[i].concurrency = shares[i].amount[SHARE_CONCURRENCY];
		refs[i] = &rows[i];
	}
	grant.term = sh->lease_status.term;
	grant.n_share = m->n_demand;
	grant.share = refs;
	msg.body_case = SERVE__SERVE_MSG__BODY_SHARE_GRANT;
	msg.share_grant = &grant;
	core_send(s, from, &msg);
}

/* This daemon's shares of the organisation limits. */

static void apply_share_grant(serve_t *s, const Serve__ShareGrant *m)
{
	AUTO_FREE share_t *shares = xcalloc(m->n_share + 1, sizeof(*shares));

	for (size_t i = 0; i < m->n_share; i++) {
		shares[i].org = m->share[i]->org;
		shares[i].amount[SHARE_RATE] = m->share[i]->rate_milli;
		shares[i].amount[SHARE_CONCURRENCY] = m->share[i]->concurrency;
	}
	limits_apply_grant(&s->limits, shares, m->n_share, m->term, m->seq,
			   s->share_asked_us);
}

static int64_t send_share_ask(serve_t *s, int64_t now)
{
	shard_t *sh = &s->shards[LEADER_SHARD];
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__ShareAsk m = SERVE__SHARE_ASK__INIT;
	AUTO_FREE Serve__ShareDemand *rows = NULL;
	AUTO_FREE Serve__ShareDemand **refs = NULL;
	AUTO_FREE share_t *demands = NULL;
	size_t n;

	if (now < s->next_share_ask_us)
		return s->next_share_ask_us;
	s->next_share_ask_us = now + SHARE_ASK_PERIOD_US;
	if (!sh->tables)
		return s->next_share_ask_us;
	demands =
		limits_collect_demand(&s->limits, sh->tables, now, &n, &m.seq);
	if (!n || !sh->lease_status.leader)
		return s->next_share_ask_us;
	rows = xcalloc(n, sizeof(*rows));
	refs = xcalloc(n, sizeof(*refs));
	for (size_t i = 0; i < n; i++) {
		serve__share_demand__init(&rows[i]);
		rows[i].org = demands[i].org;
		rows[i].rate_milli = demands[i].amount[SHARE_RATE];
		rows[i].concurrency = demands[i].amount[SHARE_CONCURRENCY];
		refs[i] = &rows[i];
	}
	m.n_demand = n;
	m.demand = refs;
	s->share_asked_us = now;
	msg.body_case = SERVE__SERVE_MSG__BODY_SHARE_ASK;
	msg.share_ask = &m;
	core_send(s, sh->lease_status.leader, &msg);
	return s->next_share_ask_us;
}

static int64_t leader_shard_tick(serve_t *s, int64_t now)
{
	int64_t permits_due = leader_grant_permits(s, now);
	int64_t share_due = send_share_ask(s, now);

	return permits_due < share_due ? permits_due : share_due;
}

static void leader_shard_handle(serve_t *s, host_id_t from,
				const serve_msg_t *m)
{
	int64_t now = core_now(s);

	switch (m->body_case) {
	case SERVE__SERVE_MSG__BODY_REPORT:
		place_apply_report(&s->place, m->report, now);
		return;
	case SERVE__SERVE_MSG__BODY_PERMIT_ASK:
		leader_permit_ask(s, from, m->permit_ask, now);
		break;
	case SERVE__SERVE_MSG__BODY_PERMIT_TOLD:
		leader_permits_reported(s, from, m->permit_told->term, now);
		break;
	case SERVE__SERVE_MSG__BODY_SHARE_ASK:
		leader_share_ask(s, from, m->share_ask, now);
		return;
	case SERVE__SERVE_MSG__BODY_SHARE_GRANT:
		apply_share_grant(s, m->share_grant);
		return;
	default:
		return;
	}
	core_arm_timer(&s->shards[LEADER_SHARD], leader_grant_permits(s, now));
}

static void shard_handle(shard_t *sh, host_id_t from, const serve_msg_t *m)
{
	switch (m->body_case) {
	case SERVE__SERVE_MSG__BODY_SUBMIT:
		owner_submit(sh, from, m->submit);
		break;
	case SERVE__SERVE_MSG__BODY_CANCEL:
		owner_cancel(sh, from, m->cancel);
		break;
	case SERVE__SERVE_MSG__BODY_PERMIT_GRANT:
		owner_permit_granted(sh, m->permit_grant);
		break;
	case SERVE__SERVE_MSG__BODY_REFUSED:
		entry_refused(sh, from, m->refused);
		break;
	case SERVE__SERVE_MSG__BODY_HEAD:
		entry_head(sh, from, m->head);
		break;
	case SERVE__SERVE_MSG__BODY_CHUNK:
		entry_chunk(sh, from, m->chunk);
		break;
	case SERVE__SERVE_MSG__BODY_DONE:
		entry_done(sh, from, m->done);
		break;
	default:
		leader_shard_handle(sh->s, from, m);
		break;
	}
}

static void shard_handle_mailbox(shard_t *sh)
{
	shard_msg_t *queued;

	pthread_mutex_lock(&sh->lock);
	while ((queued = shard_take_msg(sh))) {
		shard_handle(sh, queued->from, queued->msg);
		shard_msg_free(queued);
	}
	pthread_mutex_unlock(&sh->lock);
}

/* Handles messages until all mailboxes are empty. No lock may be held. */
static void handle_mailboxes(serve_t *s)
{
	unsigned int mask;

	while ((mask = atomic_exchange(&s->shards_with_mail, 0)))
		for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
			if (mask & (1u << i))
				shard_handle_mailbox(&s->shards[i]);
}

static void shard_tick(void *ctx, int64_t now)
{
	shard_t *sh = ctx;
	int64_t next, owners_next = INT64_MAX;

	pthread_mutex_lock(&sh->lock);
	if (sh->index == LEADER_SHARD) {
		next = leader_shard_tick(sh->s, now);
	} else {
		next = entries_tick(sh, now);
		owners_next = owners_tick(sh, now);
	}
	core_arm_timer(sh, next < owners_next ? next : owners_next);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(sh->s);
}

/* Calls fn under the lock of each shard with entries and owners, in order. */
static void each_shard(serve_t *s, void (*fn)(shard_t *sh))
{
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		pthread_mutex_lock(&s->shards[i].lock);
		fn(&s->shards[i]);
		pthread_mutex_unlock(&s->shards[i].lock);
	}
}

static void shard_init(serve_t *s, uint32_t index)
{
	shard_t *sh = &s->shards[index];

	sh->s = s;
	sh->index = index;
	pthread_mutex_init(&sh->lock, NULL);
	pthread_mutex_init(&sh->mailbox_lock, NULL);
	CDS_INIT_LIST_HEAD(&sh->mailbox);
	timer_sub_init(&sh->timer, shard_tick, sh);
	entries_init(sh);
	owners_init(sh);
}

serve_t *serve_new(const serve_cfg_t *cfg, const serve_ops_t *ops, void *ctx,
		   timer_svc_t *timers)
{
	serve_t *s = xcalloc(1, sizeof(*s));
	int64_t now = timer_svc_now(timers);
	uint64_t epoch_seed[3] = {cfg->seed, cfg->self, (uint64_t)now};

	s->cfg = *cfg;
	s->cfg.zone = str_copy(cfg->zone);
	s->ops = *ops;
	s->ctx = ctx;
	s->timers = timers;
	s->epoch = hash_bytes(epoch_seed, sizeof(epoch_seed), 0);
	atomic_store(&s->next_order_id, 1);
	atomic_store(&s->refuse_from_us, INT64_MAX);
	place_init(&s->place, &s->cfg);
	limits_init(&s->limits);
	s->lost_targets = lost_targets_new();
	permits_init(&s->permits, cfg->store_concurrency,
		     cfg->store_rate_per_s);
	share_pool_init(&s->share_pool);
	s->permit_reporters = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
		shard_init(s, i);
	core_arm_timer(&s->shards[LEADER_SHARD], now);
	return s;
}

static void shard_free(shard_t *sh)
{
	shard_msg_t *queued;

	entries_free(sh);
	owners_free(sh);
	while ((queued = shard_take_msg(sh)))
		shard_msg_free(queued);
	decided_unref(sh->tables);
	pthread_mutex_destroy(&sh->lock);
	pthread_mutex_destroy(&sh->mailbox_lock);
}

void serve_free(serve_t *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
		timer_svc_cancel(s->timers, &s->shards[i].timer);
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
		shard_free(&s->shards[i]);
	place_free(&s->place);
	limits_free(&s->limits);
	lost_targets_free(s->lost_targets);
	permits_free(&s->permits);
	share_pool_free(&s->share_pool);
	g_hash_table_destroy(s->permit_reporters);
	str_free(&s->cfg.zone);
	free(s);
}

void serve_submit(serve_t *s, const serve_req_t *req)
{
	shard_t *sh = handle_shard(s, req->handle);

	pthread_mutex_lock(&sh->lock);
	entry_submit(sh, req);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(s);
}

void serve_cancel(serve_t *s, uint64_t handle)
{
	shard_t *sh = handle_shard(s, handle);

	pthread_mutex_lock(&sh->lock);
	entry_cancel(sh, handle);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(s);
}

void serve_recv(serve_t *s, host_id_t from, const void *p, size_t n)
{
	serve_msg_t *msg = serve__serve_msg__unpack(NULL, n, p);

	if (!msg) {
		log_event(LOG_WARNING, "serve_message_malformed",
			  kv_u("from", from), kv_u("bytes", n));
		return;
	}
	shard_put_msg(s, from, msg);
	handle_mailboxes(s);
}

void serve_engine_event(serve_t *s, const engine_event_t *ev)
{
	shard_t *sh = core_target_shard(s, ev->target);

	if (ev->target_leaving)
		place_set_announced_leaving(&s->place, ev->target, true);
	pthread_mutex_lock(&sh->lock);
	owner_engine_event(sh, ev);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(s);
}

void serve_claim_result(serve_t *s, const claim_result_t *res)
{
	shard_t *sh = handle_shard(s, res->tag);

	pthread_mutex_lock(&sh->lock);
	entry_claim_result(sh, res);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(s);
}

void serve_set_tables(serve_t *s, decided_t *d)
{
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];
		decided_t *old;

		pthread_mutex_lock(&sh->lock);
		old = sh->tables;
		sh->tables = decided_ref(d);
		if (i != LEADER_SHARD) {
			owners_tables_changed(sh);
			entries_retry_placement(sh);
		}
		decided_unref(old);
		pthread_mutex_unlock(&sh->lock);
	}
	handle_mailboxes(s);
}

static void leader_set_lease_status(serve_t *s, const lease_status_t *st,
				    int64_t now)
{
	shard_t *sh = &s->shards[LEADER_SHARD];
	bool leads = st->is_leader;

	pthread_mutex_lock(&sh->lock);
	if (leads && (!s->leading || sh->lease_status.term != st->term)) {
		permits_begin_term(&s->permits, now);
		share_pool_begin_term(&s->share_pool, now);
		g_hash_table_remove_all(s->permit_reporters);
	}
	s->leading = leads;
	sh->lease_status = *st;
	sh->lease_status.live = NULL;
	core_arm_timer(sh, now);
	pthread_mutex_unlock(&sh->lock);
}

static lease_status_t serve_lease_status(serve_t *s)
{
	shard_t *sh = &s->shards[LEADER_SHARD];
	lease_status_t st;

	pthread_mutex_lock(&sh->lock);
	st = sh->lease_status;
	pthread_mutex_unlock(&sh->lock);
	return st;
}

static void report_permits(serve_t *s, const lease_status_t *st)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitTold m = SERVE__PERMIT_TOLD__INIT;

	each_shard(s, owners_report_permits);
	m.term = st->term;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_TOLD;
	msg.permit_told = &m;
	core_send(s, st->leader, &msg);
}

/*
 * Repeats the permit report to a new leader while the leader may still wait
 * for it. The leader may learn that it leads, or of this daemon, later than
 * this daemon learns of the leader.
 */
static void repeat_permit_report(serve_t *s, const lease_status_t *st,
				 int64_t now)
{
	if (!st->leader || now >= s->permit_reports_until_us ||
	    now < s->next_permit_report_us)
		return;
	s->next_permit_report_us = now + PERMIT_REPORT_INTERVAL_US;
	report_permits(s, st);
}

void serve_set_lease_status(serve_t *s, const lease_status_t *st)
{
	lease_status_t old = serve_lease_status(s);
	int64_t now = core_now(s);

	place_set_lease_status(&s->place, st);
	leader_set_lease_status(s, st, now);
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];

		pthread_mutex_lock(&sh->lock);
		sh->lease_status = *st;
		sh->lease_status.live = NULL;
		owners_lease_status_changed(sh);
		entries_retry_placement(sh);
		core_arm_timer(sh, st->lease_until_us);
		pthread_mutex_unlock(&sh->lock);
	}
	if (st->leader != old.leader || st->term != old.term) {
		s->permit_reports_until_us = now + PERMIT_LEASE_US;
		s->next_permit_report_us = 0;
	}
	repeat_permit_report(s, st, now);
	handle_mailboxes(s);
}

static void handle_lost_link(serve_t *s, host_id_t peer)
{
	shard_t *leader_shard = &s->shards[LEADER_SHARD];

	pthread_mutex_lock(&leader_shard->lock);
	permits_drop_host(&s->permits, peer);
	pthread_mutex_unlock(&leader_shard->lock);
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];

		pthread_mutex_lock(&sh->lock);
		owners_host_lost(sh, peer);
		entries_host_lost(sh, peer);
		pthread_mutex_unlock(&sh->lock);
	}
}

void serve_link_changed(serve_t *s, host_id_t peer, bool up)
{
	place_set_link_up(&s->place, peer, up);
	if (!up)
		handle_lost_link(s, peer);
	else
		each_shard(s, entries_retry_placement);
	if (up) {
		lease_status_t st = serve_lease_status(s);

		if (st.leader == peer)
			report_permits(s, &st);
	}
	handle_mailboxes(s);
}

void serve_target_hint(serve_t *s, target_id_t target, bool leaving)
{
	shard_t *sh = core_target_shard(s, target);

	place_set_listed_leaving(&s->place, target, leaving);
	pthread_mutex_lock(&sh->lock);
	owner_target_hint(sh, target);
	pthread_mutex_unlock(&sh->lock);
	handle_mailboxes(s);
}

static decided_t *serve_tables_ref(serve_t *s)
{
	shard_t *sh = &s->shards[LEADER_SHARD];
	decided_t *d;

	pthread_mutex_lock(&sh->lock);
	d = sh->tables ? decided_ref(sh->tables) : NULL;
	pthread_mutex_unlock(&sh->lock);
	return d;
}

static void cleanup_decided(decided_t **d)
{
	decided_unref(*d);
}

static bool addr_usable(serve_t *s, const host_t *h)
{
	int64_t fresh_until = serve_lease_status(s).tables_fresh_until_us;

	if (!h || h->draining || !h->caller_addr.n)
		return false;
	if (h->id == s->cfg.self)
		return !atomic_load(&s->draining) && core_now(s) < fresh_until;
	return place_is_host_live(&s->place, h->id);
}

static bool zone_listed(const decided_t *d, const serve_addr_t *v, size_t n,
			str_t zone)
{
	for (size_t i = 0; i < n; i++)
		if (str_eq(decided_host(d, v[i].host)->zone, zone))
			return true;
	return false;
}

static bool host_listed(const serve_addr_t *v, size_t n, host_id_t host)
{
	for (size_t i = 0; i < n; i++)
		if (v[i].host == host)
			return true;
	return false;
}

/*
 * Adds the usable host with the highest rendezvous score for key. With
 * new_zone, only hosts in zones that are not listed yet count. Returns whether
 * a host was added.
 */
static bool add_best_addr(serve_t *s, const decided_t *d, uint64_t key,
			  bool new_zone, serve_addr_t *v, size_t *n)
{
	const host_t *best = NULL;
	uint64_t best_score = 0;

	for (size_t i = 0; i < decided_host_count(d); i++) {
		const host_t *h = decided_host_at(d, i);
		uint64_t score = rendezvous_score(key, h->id);

		if (!addr_usable(s, h) || host_listed(v, *n, h->id) ||
		    (best && score <= best_score) ||
		    (new_zone && zone_listed(d, v, *n, h->zone)))
			continue;
		best = h;
		best_score = score;
	}
	if (!best)
		return false;
	v[*n].host = best->id;
	v[*n].addr = best->caller_addr;
	(*n)++;
	return true;
}

size_t serve_addresses(serve_t *s, str_t model, serve_addr_t *out, size_t max,
		       decided_t **d)
{
	AUTO_BUF buf_t adapter = {0};
	place_query_t q = {0};
	place_score_t best;
	const host_t *owner;
	uint64_t key = hash_bytes(model.p, model.n, 2);
	size_t n = 0;

	*d = serve_tables_ref(s);
	if (!*d || !max)
		return 0;
	q.self = s->cfg.self;
	q.now_us = core_now(s);
	if (model_query(*d, model, &q, &adapter) == REASON_NONE &&
	    place_candidates(&s->place, *d, &q, &best, 1)) {
		owner = decided_host(*d, best.target->owner);
		if (addr_usable(s, owner)) {
			out[n].host = owner->id;
			out[n++].addr = owner->caller_addr;
		}
	}
	while (n < max && add_best_addr(s, *d, key, true, out, &n))
		;
	while (n < max && add_best_addr(s, *d, key, false, out, &n))
		;
	return n;
}

static void explain_candidate(buf_t *json, const place_score_t *c, bool first)
{
	buf_printf(json,
		   "%s{\"target\":\"%.*s\",\"owner\":%u,\"resident\":%s,"
		   "\"loading\":%s,\"home\":%u,\"wait_ms\":%.1f,"
		   "\"stall_ms\":%.1f,\"score\":%.1f}",
		   first ? "" : ",", STR_ARG(c->target->name), c->target->owner,
		   c->resident ? "true" : "false",
		   c->loading ? "true" : "false", c->home_rank,
		   (double)c->wait_us / USEC_PER_MSEC,
		   (double)c->stall_us / USEC_PER_MSEC,
		   c->score / USEC_PER_MSEC);
}

void serve_explain(serve_t *s, str_t model, buf_t *json)
{
	AUTO_BUF buf_t adapter = {0};
	place_query_t q = {0};
	place_score_t candidates[EXPLAIN_CANDIDATES_MAX];
	CLEANUP(cleanup_decided) decided_t *d = serve_tables_ref(s);
	reason_t why = REASON_STALE;
	size_t n = 0;

	q.self = s->cfg.self;
	q.now_us = core_now(s);
	if (d)
		why = model_query(d, model, &q, &adapter);
	if (why == REASON_NONE) {
		n = place_candidates(&s->place, d, &q, candidates,
				     EXPLAIN_CANDIDATES_MAX);
		if (!n)
			why = place_has_match(&s->place, d, &q)
				      ? REASON_NO_OWNER
				      : REASON_NO_TARGET;
	}
	buf_printf(json, "{\"adapter\":\"%.*s\",\"reason\":\"%s\",\"choice\":",
		   STR_ARG(buf_str(&adapter)), reason_info(why)->name);
	if (n)
		buf_printf(json, "\"%.*s\"",
			   STR_ARG(candidates[0].target->name));
	else
		buf_puts(json, "null");
	buf_puts(json, ",\"candidates\":[");
	for (size_t i = 0; i < n; i++)
		explain_candidate(json, &candidates[i], !i);
	buf_puts(json, "]}");
}

void serve_status(serve_t *s, buf_t *json)
{
	lease_status_t st = serve_lease_status(s);
	int64_t now = core_now(s);
	bool first = true;

	buf_printf(json,
		   "{\"draining\":%s,\"requests\":%u,\"runs\":%u,"
		   "\"lease_ms\":%lld,\"leader\":%u,\"targets\":[",
		   atomic_load(&s->draining) ? "true" : "false",
		   atomic_load(&s->n_entries), atomic_load(&s->n_runs),
		   (long long)((st.lease_until_us - now) / USEC_PER_MSEC),
		   st.leader);
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		pthread_mutex_lock(&s->shards[i].lock);
		owners_status(&s->shards[i], json, &first);
		pthread_mutex_unlock(&s->shards[i].lock);
	}
	buf_puts(json, "]}");
}

void serve_drain(serve_t *s)
{
	int64_t from = core_now(s) + s->cfg.address_ttl_us;

	if (!atomic_exchange(&s->draining, true))
		atomic_store(&s->refuse_from_us, from);
}

bool serve_drained(serve_t *s)
{
	bool idle = true;

	if (!atomic_load(&s->draining) || atomic_load(&s->n_entries))
		return false;
	if (core_now(s) < atomic_load(&s->refuse_from_us))
		return false;
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		pthread_mutex_lock(&s->shards[i].lock);
		idle = idle && owners_idle(&s->shards[i]);
		pthread_mutex_unlock(&s->shards[i].lock);
	}
	return idle;
}
