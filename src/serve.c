/*
 * serve.c - the serving core's shards and messages, what the leading daemon
 * grants, and the calls that look over all shards.
 */
#include "core.h"

#include <string.h>

#include "counter.h"
#include "log.h"
#include "slot.h"

#define HOSTS_MAX 4096u
#define EXPLAIN_MAX 16u
#define TELL_INTERVAL_US (200 * USEC_PER_MSEC)

/* One message for a shard of this daemon. */
typedef struct mail {
	struct cds_list_head node;
	host_id_t from;
	serve_msg_t *msg; /* owned */
} mail_t;

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
	cfg->progress_us = 10 * USEC_PER_SEC;
	cfg->address_ttl_us = 2 * USEC_PER_SEC;
	cfg->default_deadline_us = 60 * USEC_PER_SEC;
	cfg->policy.place = PLACE_COST;
	cfg->policy.evict = EVICT_COST;
	cfg->policy.queue = QUEUE_DEADLINE;
	cfg->policy.permits = true;
	cfg->policy.early_refusal = true;
	cfg->policy.prefetch = true;
}

void core_due(shard_t *sh, int64_t at_us)
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

/* The shard that a message is for; NULL for one without a known body. */
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
		return &s->shards[LEAD_SHARD];
	default:
		return NULL;
	}
}

/* Takes msg. */
static void mail_put(serve_t *s, host_id_t from, serve_msg_t *msg)
{
	shard_t *sh = msg_shard(s, msg);
	mail_t *mail;

	if (!sh) {
		serve__serve_msg__free_unpacked(msg, NULL);
		return;
	}
	mail = xmalloc(sizeof(*mail));
	mail->from = from;
	mail->msg = msg;
	pthread_mutex_lock(&sh->mail_lock);
	cds_list_add_tail(&mail->node, &sh->mail);
	pthread_mutex_unlock(&sh->mail_lock);
	atomic_fetch_or(&s->dirty, 1u << sh->index);
}

static mail_t *mail_take(shard_t *sh)
{
	mail_t *mail = NULL;

	pthread_mutex_lock(&sh->mail_lock);
	if (!cds_list_empty(&sh->mail)) {
		mail = cds_list_first_entry(&sh->mail, mail_t, node);
		cds_list_del(&mail->node);
	}
	pthread_mutex_unlock(&sh->mail_lock);
	return mail;
}

static void mail_free(mail_t *mail)
{
	serve__serve_msg__free_unpacked(mail->msg, NULL);
	free(mail);
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
		mail_put(s, to, serve__serve_msg__unpack(NULL, n, p));
	else
		s->ops.send(s->ctx, to, p, n);
}

/* The leading part: permits and shares. */

static void lead_grant(void *ctx, const permit_ask_t *ask)
{
	serve_t *s = ctx;
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitGrant m = SERVE__PERMIT_GRANT__INIT;

	m.target = ask->target;
	m.adapter = pb_bytes(ask->adapter);
	m.term = s->shards[LEAD_SHARD].standing.term;
	m.backlog = s->permits.backlog;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_GRANT;
	msg.permit_grant = &m;
	core_send(s, ask->host, &msg);
}

static int64_t lead_permits(serve_t *s, int64_t now)
{
	if (!s->leading)
		return INT64_MAX;
	return permits_grant(&s->permits, now, lead_grant, s);
}

static void lead_permit_ask(serve_t *s, host_id_t from,
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

/* Once every live host has told its permits in use, granting may begin. */
static void lead_told(serve_t *s, host_id_t from, uint64_t term, int64_t now)
{
	host_id_t live[HOSTS_MAX];
	size_t n;

	if (!s->leading || term != s->shards[LEAD_SHARD].standing.term)
		return;
	g_hash_table_add(s->told, GUINT_TO_POINTER(from));
	n = place_live_hosts(&s->place, live, HOSTS_MAX);
	for (size_t i = 0; i < n && i < HOSTS_MAX; i++)
		if (!g_hash_table_contains(s->told, GUINT_TO_POINTER(live[i])))
			return;
	permits_all_reported(&s->permits, now);
}

static void lead_share_ask(serve_t *s, host_id_t from, const Serve__ShareAsk *m,
			   int64_t now)
{
	shard_t *sh = &s->shards[LEAD_SHARD];
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__ShareGrant grant = SERVE__SHARE_GRANT__INIT;
	AUTO_FREE share_t *v = xcalloc(m->n_demand + 1, sizeof(*v));
	AUTO_FREE Serve__Share *rows = xcalloc(m->n_demand + 1, sizeof(*rows));
	AUTO_FREE Serve__Share **refs = xcalloc(m->n_demand + 1, sizeof(*refs));

	if (!s->leading || !sh->tables)
		return;
	for (size_t i = 0; i < m->n_demand; i++) {
		v[i].org = m->demand[i]->org;
		v[i].amount[SHARE_RATE] = m->demand[i]->rate_milli;
		v[i].amount[SHARE_CONCURRENCY] = m->demand[i]->concurrency;
	}
	grant.seq = share_pool_ask(&s->pool, sh->tables, from, m->seq, v,
				   m->n_demand, now);
	if (!grant.seq)
		return;
	for (size_t i = 0; i < m->n_demand; i++) {
		serve__share__init(&rows[i]);
		rows[i].org = v[i].org;
		rows[i].rate_milli = v[i].amount[SHARE_RATE];
		rows[i].concurrency = v[i].amount[SHARE_CONCURRENCY];
		refs[i] = &rows[i];
	}
	grant.term = sh->standing.term;
	grant.n_share = m->n_demand;
	grant.share = refs;
	msg.body_case = SERVE__SERVE_MSG__BODY_SHARE_GRANT;
	msg.share_grant = &grant;
	core_send(s, from, &msg);
}

/* The daemon's side of shares. */

static void share_granted(serve_t *s, const Serve__ShareGrant *m)
{
	AUTO_FREE share_t *v = xcalloc(m->n_share + 1, sizeof(*v));

	for (size_t i = 0; i < m->n_share; i++) {
		v[i].org = m->share[i]->org;
		v[i].amount[SHARE_RATE] = m->share[i]->rate_milli;
		v[i].amount[SHARE_CONCURRENCY] = m->share[i]->concurrency;
	}
	limits_apply_grant(&s->limits, v, m->n_share, m->term, m->seq,
			   s->asked_us);
}

static int64_t share_ask(serve_t *s, int64_t now)
{
	shard_t *sh = &s->shards[LEAD_SHARD];
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__ShareAsk m = SERVE__SHARE_ASK__INIT;
	AUTO_FREE Serve__ShareDemand *rows = NULL;
	AUTO_FREE Serve__ShareDemand **refs = NULL;
	AUTO_FREE share_t *v = NULL;
	size_t n;

	if (now < s->next_demand_us)
		return s->next_demand_us;
	s->next_demand_us = now + SHARE_ASK_PERIOD_US;
	if (!sh->tables)
		return s->next_demand_us;
	v = limits_collect_demand(&s->limits, sh->tables, now, &n, &m.seq);
	if (!n || !sh->standing.leader)
		return s->next_demand_us;
	rows = xcalloc(n, sizeof(*rows));
	refs = xcalloc(n, sizeof(*refs));
	for (size_t i = 0; i < n; i++) {
		serve__share_demand__init(&rows[i]);
		rows[i].org = v[i].org;
		rows[i].rate_milli = v[i].amount[SHARE_RATE];
		rows[i].concurrency = v[i].amount[SHARE_CONCURRENCY];
		refs[i] = &rows[i];
	}
	m.n_demand = n;
	m.demand = refs;
	s->asked_us = now;
	msg.body_case = SERVE__SERVE_MSG__BODY_SHARE_ASK;
	msg.share_ask = &m;
	core_send(s, sh->standing.leader, &msg);
	return s->next_demand_us;
}

static int64_t lead_tick(serve_t *s, int64_t now)
{
	int64_t a = lead_permits(s, now);
	int64_t b = share_ask(s, now);

	return a < b ? a : b;
}

static void lead_mail(serve_t *s, host_id_t from, const serve_msg_t *m)
{
	int64_t now = core_now(s);

	switch (m->body_case) {
	case SERVE__SERVE_MSG__BODY_REPORT:
		place_apply_report(&s->place, m->report, now);
		return;
	case SERVE__SERVE_MSG__BODY_PERMIT_ASK:
		lead_permit_ask(s, from, m->permit_ask, now);
		break;
	case SERVE__SERVE_MSG__BODY_PERMIT_TOLD:
		lead_told(s, from, m->permit_told->term, now);
		break;
	case SERVE__SERVE_MSG__BODY_SHARE_ASK:
		lead_share_ask(s, from, m->share_ask, now);
		return;
	case SERVE__SERVE_MSG__BODY_SHARE_GRANT:
		share_granted(s, m->share_grant);
		return;
	default:
		return;
	}
	core_due(&s->shards[LEAD_SHARD], lead_permits(s, now));
}

static void shard_mail(shard_t *sh, host_id_t from, const serve_msg_t *m)
{
	switch (m->body_case) {
	case SERVE__SERVE_MSG__BODY_SUBMIT:
		owner_submit(sh, from, m->submit);
		break;
	case SERVE__SERVE_MSG__BODY_CANCEL:
		owner_cancel(sh, from, m->cancel);
		break;
	case SERVE__SERVE_MSG__BODY_PERMIT_GRANT:
		owner_granted(sh, m->permit_grant);
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
		lead_mail(sh->s, from, m);
		break;
	}
}

static void shard_deliver(shard_t *sh)
{
	mail_t *mail;

	pthread_mutex_lock(&sh->lock);
	while ((mail = mail_take(sh))) {
		shard_mail(sh, mail->from, mail->msg);
		mail_free(mail);
	}
	pthread_mutex_unlock(&sh->lock);
}

/* Delivers mail until there is none; called without any lock. */
static void serve_pump(serve_t *s)
{
	unsigned int mask;

	while ((mask = atomic_exchange(&s->dirty, 0)))
		for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
			if (mask & (1u << i))
				shard_deliver(&s->shards[i]);
}

static void shard_tick(void *ctx, int64_t now)
{
	shard_t *sh = ctx;
	int64_t a, b = INT64_MAX;

	pthread_mutex_lock(&sh->lock);
	if (sh->index == LEAD_SHARD) {
		a = lead_tick(sh->s, now);
	} else {
		a = entries_tick(sh, now);
		b = owners_tick(sh, now);
	}
	core_due(sh, a < b ? a : b);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(sh->s);
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
	pthread_mutex_init(&sh->mail_lock, NULL);
	CDS_INIT_LIST_HEAD(&sh->mail);
	timer_sub_init(&sh->timer, shard_tick, sh);
	entries_init(sh);
	owners_init(sh);
}

serve_t *serve_new(const serve_cfg_t *cfg, const serve_ops_t *ops, void *ctx,
		   timer_svc_t *timers)
{
	serve_t *s = xcalloc(1, sizeof(*s));
	int64_t now = timer_svc_now(timers);
	uint64_t mix[3] = {cfg->seed, cfg->self, (uint64_t)now};

	s->cfg = *cfg;
	s->cfg.zone = str_copy(cfg->zone);
	s->ops = *ops;
	s->ctx = ctx;
	s->timers = timers;
	s->epoch = hash_bytes(mix, sizeof(mix), 0);
	atomic_store(&s->next_order, 1);
	atomic_store(&s->refuse_from_us, INT64_MAX);
	place_init(&s->place, &s->cfg);
	limits_init(&s->limits);
	permits_init(&s->permits, cfg->store_concurrency,
		     cfg->store_rate_per_s);
	share_pool_init(&s->pool);
	s->told = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++)
		shard_init(s, i);
	core_due(&s->shards[LEAD_SHARD], now);
	return s;
}

static void shard_free(shard_t *sh)
{
	mail_t *mail;

	entries_free(sh);
	owners_free(sh);
	while ((mail = mail_take(sh)))
		mail_free(mail);
	decided_unref(sh->tables);
	pthread_mutex_destroy(&sh->lock);
	pthread_mutex_destroy(&sh->mail_lock);
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
	permits_free(&s->permits);
	share_pool_free(&s->pool);
	g_hash_table_destroy(s->told);
	str_free(&s->cfg.zone);
	free(s);
}

void serve_submit(serve_t *s, const serve_req_t *req)
{
	shard_t *sh = handle_shard(s, req->handle);

	pthread_mutex_lock(&sh->lock);
	entry_submit(sh, req);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(s);
}

void serve_cancel(serve_t *s, uint64_t handle)
{
	shard_t *sh = handle_shard(s, handle);

	pthread_mutex_lock(&sh->lock);
	entry_cancel(sh, handle);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(s);
}

void serve_recv(serve_t *s, host_id_t from, const void *p, size_t n)
{
	serve_msg_t *msg = serve__serve_msg__unpack(NULL, n, p);

	if (!msg) {
		log_event(LOG_WARNING, "serve_message_malformed",
			  kv_u("from", from), kv_u("bytes", n));
		return;
	}
	mail_put(s, from, msg);
	serve_pump(s);
}

void serve_engine_event(serve_t *s, const engine_event_t *ev)
{
	shard_t *sh = core_target_shard(s, ev->target);

	if (ev->target_leaving)
		place_set_announced_leaving(&s->place, ev->target, true);
	pthread_mutex_lock(&sh->lock);
	owner_event(sh, ev);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(s);
}

void serve_claimed(serve_t *s, const claim_result_t *res)
{
	shard_t *sh = handle_shard(s, res->tag);

	pthread_mutex_lock(&sh->lock);
	entry_claimed(sh, res);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(s);
}

void serve_tables(serve_t *s, decided_t *d)
{
	for (uint32_t i = 0; i <= SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];
		decided_t *old;

		pthread_mutex_lock(&sh->lock);
		old = sh->tables;
		sh->tables = decided_ref(d);
		if (i != LEAD_SHARD) {
			owners_tables(sh);
			entries_review(sh);
		}
		decided_unref(old);
		pthread_mutex_unlock(&sh->lock);
	}
	serve_pump(s);
}

static void lead_standing(serve_t *s, const standing_t *st, int64_t now)
{
	shard_t *sh = &s->shards[LEAD_SHARD];
	bool lead = st->is_leader;

	pthread_mutex_lock(&sh->lock);
	if (lead && (!s->leading || sh->standing.term != st->term)) {
		permits_begin_term(&s->permits, now);
		share_pool_begin_term(&s->pool, now);
		g_hash_table_remove_all(s->told);
	}
	s->leading = lead;
	sh->standing = *st;
	sh->standing.live = NULL;
	core_due(sh, now);
	pthread_mutex_unlock(&sh->lock);
}

static standing_t serve_standing_now(serve_t *s)
{
	shard_t *sh = &s->shards[LEAD_SHARD];
	standing_t st;

	pthread_mutex_lock(&sh->lock);
	st = sh->standing;
	pthread_mutex_unlock(&sh->lock);
	return st;
}

static void tell_permits(serve_t *s, const standing_t *st)
{
	serve_msg_t msg = SERVE__SERVE_MSG__INIT;
	Serve__PermitTold m = SERVE__PERMIT_TOLD__INIT;

	each_shard(s, owners_tell_permits);
	m.term = st->term;
	msg.body_case = SERVE__SERVE_MSG__BODY_PERMIT_TOLD;
	msg.permit_told = &m;
	core_send(s, st->leader, &msg);
}

/*
 * Tells a new leader again and again while it may still wait: it may have
 * learnt of its office, or of this daemon, later than this daemon did.
 */
static void tell_again(serve_t *s, const standing_t *st, int64_t now)
{
	if (!st->leader || now >= s->tell_until_us || now < s->tell_next_us)
		return;
	s->tell_next_us = now + TELL_INTERVAL_US;
	tell_permits(s, st);
}

void serve_standing(serve_t *s, const standing_t *st)
{
	standing_t old = serve_standing_now(s);
	int64_t now = core_now(s);

	place_standing(&s->place, st);
	lead_standing(s, st, now);
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];

		pthread_mutex_lock(&sh->lock);
		sh->standing = *st;
		sh->standing.live = NULL;
		owners_standing(sh);
		entries_review(sh);
		core_due(sh, st->lease_until_us);
		pthread_mutex_unlock(&sh->lock);
	}
	if (st->leader != old.leader || st->term != old.term) {
		s->tell_until_us = now + PERMIT_LEASE_US;
		s->tell_next_us = 0;
	}
	tell_again(s, st, now);
	serve_pump(s);
}

static void host_lost(serve_t *s, host_id_t peer)
{
	shard_t *lead = &s->shards[LEAD_SHARD];

	pthread_mutex_lock(&lead->lock);
	permits_drop_host(&s->permits, peer);
	pthread_mutex_unlock(&lead->lock);
	for (uint32_t i = 0; i < SERVE_SHARDS; i++) {
		shard_t *sh = &s->shards[i];

		pthread_mutex_lock(&sh->lock);
		owners_host_lost(sh, peer);
		entries_host_lost(sh, peer);
		pthread_mutex_unlock(&sh->lock);
	}
}

void serve_link(serve_t *s, host_id_t peer, bool up)
{
	place_set_link_up(&s->place, peer, up);
	if (!up)
		host_lost(s, peer);
	else
		each_shard(s, entries_review);
	if (up) {
		standing_t st = serve_standing_now(s);

		if (st.leader == peer)
			tell_permits(s, &st);
	}
	serve_pump(s);
}

void serve_target_hint(serve_t *s, target_id_t target, bool leaving)
{
	shard_t *sh = core_target_shard(s, target);

	place_set_listed_leaving(&s->place, target, leaving);
	pthread_mutex_lock(&sh->lock);
	owner_hint(sh, target);
	pthread_mutex_unlock(&sh->lock);
	serve_pump(s);
}

static decided_t *serve_tables_ref(serve_t *s)
{
	shard_t *sh = &s->shards[LEAD_SHARD];
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
	int64_t fresh = serve_standing_now(s).fresh_until_us;

	if (!h || h->draining || !h->caller_addr.n)
		return false;
	if (h->id == s->cfg.self)
		return !atomic_load(&s->draining) && core_now(s) < fresh;
	return place_is_host_live(&s->place, h->id);
}

static bool zone_taken(const decided_t *d, const serve_addr_t *v, size_t n,
		       str_t zone)
{
	for (size_t i = 0; i < n; i++)
		if (str_eq(decided_host(d, v[i].host)->zone, zone))
			return true;
	return false;
}

static bool host_taken(const serve_addr_t *v, size_t n, host_id_t host)
{
	for (size_t i = 0; i < n; i++)
		if (v[i].host == host)
			return true;
	return false;
}

/*
 * Adds the usable host that scores highest for key, in a zone not yet named
 * where new_zone is set.
 */
static bool addr_add(serve_t *s, const decided_t *d, uint64_t key,
		     bool new_zone, serve_addr_t *v, size_t *n)
{
	const host_t *best = NULL;
	uint64_t best_score = 0;

	for (size_t i = 0; i < decided_host_count(d); i++) {
		const host_t *h = decided_host_at(d, i);
		uint64_t score = rendezvous_score(key, h->id);

		if (!addr_usable(s, h) || host_taken(v, *n, h->id) ||
		    (best && score <= best_score) ||
		    (new_zone && zone_taken(d, v, *n, h->zone)))
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
	while (n < max && addr_add(s, *d, key, true, out, &n))
		;
	while (n < max && addr_add(s, *d, key, false, out, &n))
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
	place_score_t v[EXPLAIN_MAX];
	CLEANUP(cleanup_decided) decided_t *d = serve_tables_ref(s);
	reason_t why = REASON_STALE;
	size_t n = 0;

	q.self = s->cfg.self;
	q.now_us = core_now(s);
	if (d)
		why = model_query(d, model, &q, &adapter);
	if (why == REASON_NONE) {
		n = place_candidates(&s->place, d, &q, v, EXPLAIN_MAX);
		if (!n)
			why = place_has_match(&s->place, d, &q)
				      ? REASON_NO_OWNER
				      : REASON_NO_TARGET;
	}
	buf_printf(json, "{\"adapter\":\"%.*s\",\"reason\":\"%s\",\"choice\":",
		   STR_ARG(buf_str(&adapter)), reason_info(why)->name);
	if (n)
		buf_printf(json, "\"%.*s\"", STR_ARG(v[0].target->name));
	else
		buf_puts(json, "null");
	buf_puts(json, ",\"candidates\":[");
	for (size_t i = 0; i < n; i++)
		explain_candidate(json, &v[i], !i);
	buf_puts(json, "]}");
}

void serve_status(serve_t *s, buf_t *json)
{
	standing_t st = serve_standing_now(s);
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
