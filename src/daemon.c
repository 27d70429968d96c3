/*
 * daemon.c - creates the parts of one daemon and connects them.
 *
 * Threads: the HTTP servers for callers and operators (httpd.c), the links to
 * peers (link.c), the client of the targets (target.c), two timer services, two
 * mailboxes, the reader of the host list, and the main thread, which waits for
 * signals. The cores call their callbacks with their locks held, so a callback
 * only queues: a frame, an order, a reply to a caller, or mail. Calls of the
 * serving core are mailed to to_serve, and calls of the state core to to_state;
 * the threads of these mailboxes make them.
 */
#include "daemon.h"

#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <urcu.h>

#include "hostlist.h"
#include "http.h"
#include "link.h"
#include "log.h"
#include "mailbox.h"
#include "ops_http.h"
#include "serve.h"
#include "settings.h"
#include "state.h"
#include "state_mail.h"
#include "target.h"

#define ARENAS_MAX 2 /* malloc arenas; each thread keeps some memory */
#define THREAD_STACK_BYTES (1u << 20)
#define FRAME_MAX (8u << 20)	   /* largest frame, in bytes */
#define LINK_QUEUE_MAX (16u << 20) /* bytes queued for one peer */
#define SILENT_HEARTBEATS 8	   /* silence after which a link is cut */
#define OPERATOR_THREADS 16u
#define OPERATOR_HEAD_MAX 16384u
#define OPERATOR_BODY_MAX (16u << 20)
#define KEEP_ALIVE_MS 2000
#define SIGNAL_WAIT_MS 20
#define FLUSH_MS 200 /* time at the end for the last frames to peers */

/* A proposed change; on the stack of the operator's thread that awaits it. */
typedef struct proposal {
	struct cds_list_head node;
	uint64_t tag;
	pthread_cond_t done;
	bool has_outcome;
	change_outcome_t *out;
	buf_t *error;
} proposal_t;

typedef struct daemon {
	settings_t set;
	/* Apart from timers, because state syncs its disk on this thread. */
	timer_svc_t *state_timers;
	timer_svc_t *timers;
	mailbox_t *to_serve;
	mailbox_t *to_state;
	wal_t *wal; /* NULL: this daemon has no data folder */
	links_t *links;
	target_client_t *targets;
	serve_t *serve;
	state_t *state;
	http_t *http;
	ops_http_t *ops_http;
	hostlist_t *hostlist;
	/* The tables in force. RCU; replaced on the thread of to_serve only. */
	decided_t *tables;
	/* Parts of the last lease status, for the HTTP threads. */
	atomic_int_fast64_t lease_until_us;
	atomic_int_fast64_t tables_fresh_until_us;
	atomic_uint leader;
	atomic_bool drain_requested;
	pthread_mutex_t proposals_lock; /* guards the fields below */
	struct cds_list_head proposals;
	uint64_t next_tag;
} daemon_t;

static int64_t now_us(const daemon_t *d)
{
	return timer_svc_now(d->timers);
}

/* Returns a reference to the tables; only for threads registered with RCU. */
static decided_t *tables_ref(void *ctx)
{
	daemon_t *d = ctx;
	decided_t *t;

	rcu_read_lock();
	t = decided_ref(rcu_dereference(d->tables));
	rcu_read_unlock();
	return t;
}

static void replace_tables(daemon_t *d, decided_t *t)
{
	decided_t *old = d->tables;

	rcu_assign_pointer(d->tables, decided_ref(t));
	synchronize_rcu();
	decided_unref(old);
}

/* Mail to the serving core: new tables in force. */

static bool is_configured_voter(const daemon_t *d, host_id_t id)
{
	for (size_t i = 0; i < d->set.n_voters; i++)
		if (d->set.voters[i].id == id)
			return true;
	return false;
}

/* Peers are the hosts in the tables, and the voters in the settings. */
static void update_peers(daemon_t *d, const decided_t *old,
			 const decided_t *new)
{
	for (size_t i = 0; i < decided_host_count(new); i++) {
		const host_t *h = decided_host_at(new, i);

		if (h->peer_addr.n)
			links_set_peer(d->links, h->id, h->peer_addr);
	}
	for (size_t i = 0; i < decided_host_count(old); i++) {
		host_id_t id = decided_host_at(old, i)->id;

		if (!decided_host(new, id) && !is_configured_voter(d, id))
			links_set_peer(d->links, id, str_n(NULL, 0));
	}
}

static void tables_run(void *ctx, mail_t *m)
{
	tables_mail_t *tm = (tables_mail_t *)m;
	daemon_t *d = ctx;

	update_peers(d, d->tables, tm->tables);
	replace_tables(d, tm->tables);
	serve_set_tables(d->serve, tm->tables);
	m->drop(m);
}

static void on_tables(void *ctx, decided_t *t)
{
	daemon_t *d = ctx;

	mailbox_send(d->to_serve, &tables_mail_new(tables_run, t)->mail);
}

/* Mail to the serving core: the lease status. */

static void lease_status_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;
	lease_status_mail_t *status_mail = (lease_status_mail_t *)m;

	serve_set_lease_status(d->serve, &status_mail->lease_status);
	free(m);
}

static void on_lease_status(void *ctx, const lease_status_t *st)
{
	daemon_t *d = ctx;

	atomic_store(&d->lease_until_us, st->lease_until_us);
	atomic_store(&d->tables_fresh_until_us, st->tables_fresh_until_us);
	atomic_store(&d->leader, st->leader);
	mailbox_send(d->to_serve,
		     &lease_status_mail_new(lease_status_run, st)->mail);
}

/* Mail to the serving core: the outcome of a claim. */

typedef struct claim_result_mail {
	mail_t mail;
	claim_result_t res; /* its body is owned */
} claim_result_mail_t;

static void claim_result_drop(mail_t *m)
{
	claim_result_mail_t *cm = (claim_result_mail_t *)m;

	str_free(&cm->res.body);
	free(cm);
}

static void claim_result_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;

	serve_claim_result(d->serve, &((claim_result_mail_t *)m)->res);
	claim_result_drop(m);
}

static void on_claim_result(void *ctx, const claim_result_t *res)
{
	daemon_t *d = ctx;
	claim_result_mail_t *cm = xcalloc(1, sizeof(*cm));

	cm->mail.run = claim_result_run;
	cm->mail.drop = claim_result_drop;
	cm->res = *res;
	cm->res.body = str_copy(res->body);
	mailbox_send(d->to_serve, &cm->mail);
}

/* Mail to the state core: a claim to propose. */

typedef struct claim_mail {
	mail_t mail;
	claim_req_t req; /* its strings are owned */
} claim_mail_t;

static void claim_drop(mail_t *m)
{
	claim_mail_t *cm = (claim_mail_t *)m;

	str_free(&cm->req.key);
	str_free(&cm->req.holder);
	str_free(&cm->req.body);
	free(cm);
}

static void claim_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;

	state_claim(d->state, &((claim_mail_t *)m)->req);
	claim_drop(m);
}

static void on_claim(void *ctx, const claim_req_t *req)
{
	daemon_t *d = ctx;
	claim_mail_t *cm = xcalloc(1, sizeof(*cm));

	cm->mail.run = claim_run;
	cm->mail.drop = claim_drop;
	cm->req = *req;
	cm->req.key = str_copy(req->key);
	cm->req.holder = str_copy(req->holder);
	cm->req.body = str_copy(req->body);
	mailbox_send(d->to_state, &cm->mail);
}

/* Mail to the serving core: the caller of a request has disconnected. */

typedef struct cancel_mail {
	mail_t mail;
	uint64_t handle;
} cancel_mail_t;

static void cancel_drop(mail_t *m)
{
	free(m);
}

static void cancel_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;

	serve_cancel(d->serve, ((cancel_mail_t *)m)->handle);
	free(m);
}

static void http_cancel(void *ctx, uint64_t handle)
{
	daemon_t *d = ctx;
	cancel_mail_t *cm = xcalloc(1, sizeof(*cm));

	cm->mail.run = cancel_run;
	cm->mail.drop = cancel_drop;
	cm->handle = handle;
	mailbox_send(d->to_serve, &cm->mail);
}

/* Mail to the serving core: one row of the platform's host list. */

typedef struct target_hint_mail {
	mail_t mail;
	str_t name; /* owned */
	bool leaving;
} target_hint_mail_t;

static void target_hint_drop(mail_t *m)
{
	target_hint_mail_t *hm = (target_hint_mail_t *)m;

	str_free(&hm->name);
	free(hm);
}

static void target_hint_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;
	target_hint_mail_t *hm = (target_hint_mail_t *)m;
	const target_t *t = decided_target_by_name(d->tables, hm->name);

	if (t)
		serve_target_hint(d->serve, t->id, hm->leaving);
	target_hint_drop(m);
}

static void on_listed_host(void *ctx, str_t name, bool leaving)
{
	daemon_t *d = ctx;
	target_hint_mail_t *hm = xcalloc(1, sizeof(*hm));

	hm->mail.run = target_hint_run;
	hm->mail.drop = target_hint_drop;
	hm->name = str_copy(name);
	hm->leaving = leaving;
	mailbox_send(d->to_serve, &hm->mail);
}

/* Callbacks that may call the receiver directly. */

static void state_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	daemon_t *d = ctx;

	links_send(d->links, to, LINK_STATE, p, n);
}

static void serve_send(void *ctx, host_id_t to, const void *p, size_t n)
{
	daemon_t *d = ctx;

	links_send(d->links, to, LINK_SERVE, p, n);
}

static void on_order(void *ctx, const engine_order_t *order)
{
	daemon_t *d = ctx;

	target_client_submit(d->targets, order);
}

static void on_reply(void *ctx, uint64_t handle, const serve_reply_t *rep)
{
	daemon_t *d = ctx;

	http_reply(d->http, handle, rep);
}

static void on_engine_event(void *ctx, const engine_event_t *ev)
{
	daemon_t *d = ctx;

	serve_engine_event(d->serve, ev);
}

static void on_frame(void *ctx, host_id_t from, link_channel_t ch,
		     const void *p, size_t n)
{
	daemon_t *d = ctx;

	if (ch == LINK_STATE)
		state_recv(d->state, from, p, n);
	else
		serve_recv(d->serve, from, p, n);
}

static void on_link_changed(void *ctx, host_id_t peer, bool up)
{
	daemon_t *d = ctx;

	log_event(LOG_DEBUG, up ? "peer_up" : "peer_down", kv_u("peer", peer));
	serve_link_changed(d->serve, peer, up);
}

/* Passes the outcome of a change to the operator's thread that waits for it. */
static void on_change_outcome(void *ctx, uint64_t tag,
			      const change_outcome_t *out)
{
	daemon_t *d = ctx;
	proposal_t *p;

	pthread_mutex_lock(&d->proposals_lock);
	cds_list_for_each_entry (p, &d->proposals, node) {
		if (p->tag != tag)
			continue;
		*p->out = *out;
		buf_put(p->error, out->error.p, out->error.n);
		p->out->error = buf_str(p->error);
		p->has_outcome = true;
		pthread_cond_signal(&p->done);
		break;
	}
	pthread_mutex_unlock(&d->proposals_lock);
}

/* Callbacks of the HTTP servers. */

static void http_submit(void *ctx, const serve_req_t *req)
{
	daemon_t *d = ctx;

	serve_submit(d->serve, req);
}

static size_t http_addresses(void *ctx, str_t model, serve_addr_t *out,
			     size_t max, decided_t **tables)
{
	daemon_t *d = ctx;

	return serve_addresses(d->serve, model, out, max, tables);
}

static reason_t http_refusal_reason(void *ctx)
{
	daemon_t *d = ctx;

	if (now_us(d) >= atomic_load(&d->tables_fresh_until_us))
		return REASON_STALE;
	return atomic_load(&d->drain_requested) ? REASON_LEAVING : REASON_NONE;
}

static int64_t http_now(void *ctx)
{
	return now_us(ctx);
}

static bool ops_is_ready(void *ctx, buf_t *why)
{
	daemon_t *d = ctx;
	reason_t reason = http_refusal_reason(d);

	if (reason != REASON_NONE)
		buf_puts(why, reason_info(reason)->name);
	else if (now_us(d) >= atomic_load(&d->lease_until_us))
		buf_puts(why, "no lease");
	return why->n == 0;
}

/* Returns the monotonic time that is us microseconds from now. */
static struct timespec time_after(int64_t us)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += us / USEC_PER_SEC;
	ts.tv_nsec += us % USEC_PER_SEC * 1000;
	ts.tv_sec += ts.tv_nsec / 1000000000L;
	ts.tv_nsec %= 1000000000L;
	return ts;
}

static void ops_propose(void *ctx, const void *change, size_t n,
			int64_t timeout_us, change_outcome_t *out, buf_t *error)
{
	daemon_t *d = ctx;
	struct timespec until = time_after(timeout_us);
	proposal_t p = {.out = out, .error = error};
	pthread_condattr_t attr;

	/* A change without an outcome may be decided even after the timeout. */
	memset(out, 0, sizeof(*out));
	out->status = CHANGE_MAYBE_DECIDED;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&p.done, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&d->proposals_lock);
	p.tag = ++d->next_tag;
	cds_list_add(&p.node, &d->proposals);
	pthread_mutex_unlock(&d->proposals_lock);
	state_propose_change(d->state, p.tag, change, n);
	pthread_mutex_lock(&d->proposals_lock);
	while (!p.has_outcome &&
	       pthread_cond_timedwait(&p.done, &d->proposals_lock, &until) !=
		       ETIMEDOUT)
		;
	cds_list_del(&p.node);
	pthread_mutex_unlock(&d->proposals_lock);
	pthread_cond_destroy(&p.done);
}

static void ops_status(void *ctx, buf_t *json)
{
	daemon_t *d = ctx;

	buf_printf(json, "{\"host\":%lld,\"requests\":%zu,\"state\":",
		   (long long)d->set.host_id, http_active_requests(d->http));
	state_status(d->state, json);
	buf_puts(json, ",\"serve\":");
	serve_status(d->serve, json);
	buf_puts(json, ",\"links\":");
	links_status(d->links, json);
	buf_puts(json, "}");
}

static size_t ops_revisions(void *ctx, host_revision_t *out, size_t max)
{
	daemon_t *d = ctx;

	return state_host_revisions(d->state, out, max);
}

static void ops_explain(void *ctx, str_t model, buf_t *json)
{
	daemon_t *d = ctx;

	serve_explain(d->serve, model, json);
}

static void ops_drain(void *ctx)
{
	daemon_t *d = ctx;

	atomic_store(&d->drain_requested, true);
}

static bool ops_leader_addr(void *ctx, buf_t *addr)
{
	daemon_t *d = ctx;
	host_id_t leader = atomic_load(&d->leader);

	for (size_t i = 0; i < d->set.n_voters; i++) {
		const settings_voter_t *v = &d->set.voters[i];

		if (v->id != leader || !v->operators_addr.n)
			continue;
		buf_put(addr, v->operators_addr.p, v->operators_addr.n);
		return true;
	}
	return false;
}

static const admin_ops_t admin_ops = {
	.propose = ops_propose,
	.tables = tables_ref,
	.status = ops_status,
	.host_revisions = ops_revisions,
	.explain = ops_explain,
	.drain = ops_drain,
	.leader_addr = ops_leader_addr,
};

static void thread_begin(void)
{
	rcu_register_thread();
}

static void thread_end(void)
{
	rcu_unregister_thread();
}

/* Creates and starts the parts; each function returns 0, or -1 on failure. */

static int make_links(daemon_t *d)
{
	static const link_ops_t ops = {.recv = on_frame,
				       .link_changed = on_link_changed};
	const settings_t *s = &d->set;
	link_cfg_t cfg = {
		.self = (host_id_t)s->host_id,
		.cluster = s->cluster_id,
		.secret = s->cluster_secret,
		.listen = s->listen_peers,
		.frame_max = FRAME_MAX,
		.queue_max = LINK_QUEUE_MAX,
		.heartbeat_us = s->timing_heartbeat_ms * USEC_PER_MSEC,
	};

	cfg.silence_timeout_us = cfg.heartbeat_us * SILENT_HEARTBEATS;
	d->links = links_new(&cfg, &ops, d, d->timers);
	for (size_t i = 0; i < s->n_voters; i++)
		links_set_peer(d->links, s->voters[i].id,
			       s->voters[i].peer_addr);
	return 0;
}

static int make_targets(daemon_t *d)
{
	target_client_cfg_t cfg;

	target_client_cfg_default(&cfg);
	cfg.progress_timeout_us = d->set.serving_progress_ms * USEC_PER_MSEC;
	d->targets = target_client_new(&cfg, on_engine_event, d);
	return 0;
}

static int make_serve(daemon_t *d)
{
	static const serve_ops_t ops = {
		.order = on_order,
		.send = serve_send,
		.reply = on_reply,
		.claim = on_claim,
	};
	const settings_t *s = &d->set;
	serve_cfg_t cfg;

	serve_cfg_default(&cfg);
	cfg.self = (host_id_t)s->host_id;
	cfg.zone = s->host_zone;
	cfg.seed = random_seed();
	cfg.stall_weight = s->serving_stall_weight;
	cfg.batch_weight = s->serving_batch_weight;
	cfg.store_concurrency = (uint32_t)s->serving_store_concurrency;
	cfg.store_rate_per_s = s->serving_store_rate_per_s;
	cfg.queue_max = (uint32_t)s->serving_queue_max;
	cfg.replicas_max = (uint32_t)s->serving_replicas_max;
	cfg.step_us = (int64_t)(s->serving_step_ms * USEC_PER_MSEC);
	cfg.step_growth = s->serving_step_growth;
	cfg.load_us = s->serving_load_ms * USEC_PER_MSEC;
	cfg.order_max_us = s->serving_order_max_ms * USEC_PER_MSEC;
	cfg.progress_timeout_us = s->serving_progress_ms * USEC_PER_MSEC;
	cfg.address_ttl_us = s->serving_address_ttl_ms * USEC_PER_MSEC;
	cfg.default_deadline_us =
		s->serving_default_deadline_ms * USEC_PER_MSEC;
	d->serve = serve_new(&cfg, &ops, d, d->timers);
	return d->serve ? 0 : -1;
}

static int open_data_folder(daemon_t *d)
{
	wal_err_t err = {0};

	if (!d->set.host_data.n)
		return 0;
	d->wal = wal_open(d->set.host_data, d->set.cluster_id,
			  (uint32_t)d->set.host_id, &err);
	if (d->wal)
		return 0;
	log_event(LOG_ERR, "data_folder_unusable",
		  KV_C("error", wal_code_text(err.code)),
		  KV_C("detail", err.detail),
		  KV_C("system", err.sys_errno ? strerror(err.sys_errno) : ""));
	return -1;
}

static int make_state(daemon_t *d)
{
	static const state_ops_t ops = {
		.send = state_send,
		.tables = on_tables,
		.lease_status = on_lease_status,
		.claimed = on_claim_result,
		.changed = on_change_outcome,
	};
	const settings_t *s = &d->set;
	AUTO_FREE state_voter_t *voters = xcalloc(s->n_voters, sizeof(*voters));
	state_cfg_t cfg = {
		.self = (host_id_t)s->host_id,
		.zone = s->host_zone,
		.voters = voters,
		.n_voters = s->n_voters,
		.seed = random_seed(),
		.heartbeat_us = s->timing_heartbeat_ms * USEC_PER_MSEC,
		.election_us = s->timing_election_ms * USEC_PER_MSEC,
		.lease_us = s->timing_lease_ms * USEC_PER_MSEC,
		.max_staleness_us = s->timing_stale_ms * USEC_PER_MSEC,
		.drift_ppm = (uint32_t)s->timing_drift_ppm,
		.snapshot_entries = (uint64_t)s->timing_snapshot_entries,
		.fanout = (uint32_t)s->timing_fanout,
	};
	wal_err_t err = {0};

	for (size_t i = 0; i < s->n_voters; i++) {
		voters[i].id = s->voters[i].id;
		voters[i].addr = s->voters[i].peer_addr;
	}
	d->state = state_new(&cfg, &ops, d, d->state_timers, d->wal, &err);
	if (d->state)
		return 0;
	log_event(LOG_ERR, "log_unusable",
		  KV_C("error", wal_code_text(err.code)),
		  KV_C("detail", err.detail));
	return -1;
}

static int make_http(daemon_t *d)
{
	static const http_ops_t ops = {
		.submit = http_submit,
		.cancel = http_cancel,
		.addresses = http_addresses,
		.tables = tables_ref,
		.refusal_reason = http_refusal_reason,
		.now_us = http_now,
	};
	const settings_t *s = &d->set;
	http_cfg_t cfg = {
		.port = {.listen = s->listen_callers,
			 .threads = (uint32_t)s->limits_caller_threads,
			 .head_max = (uint32_t)s->limits_header_bytes,
			 .io_timeout_ms = s->limits_body_timeout_ms,
			 .keep_alive_ms = KEEP_ALIVE_MS,
			 .name = "callers",
			 .thread_begin = thread_begin,
			 .thread_end = thread_end},
		.body_max = (size_t)s->limits_body_bytes,
		.body_timeout_ms = s->limits_body_timeout_ms,
		.reader_buffer_max = (size_t)s->limits_reader_buffer_bytes,
		.address_ttl_ms = s->serving_address_ttl_ms,
	};

	d->http = http_new(&cfg, &ops, d);
	return 0;
}

static int start_ops_http(daemon_t *d)
{
	static const ops_http_ops_t ops = {&admin_ops, ops_is_ready};
	const settings_t *s = &d->set;
	ops_http_cfg_t cfg = {
		.port = {.listen = s->listen_operators,
			 .threads = OPERATOR_THREADS,
			 .head_max = OPERATOR_HEAD_MAX,
			 .io_timeout_ms = s->limits_body_timeout_ms,
			 .keep_alive_ms = KEEP_ALIVE_MS,
			 .name = "operators",
			 .thread_begin = thread_begin,
			 .thread_end = thread_end},
		.body_max = OPERATOR_BODY_MAX,
		.body_timeout_ms = s->limits_body_timeout_ms,
		.token = s->operators_token,
	};

	d->ops_http = ops_http_start(&cfg, &ops, d);
	return d->ops_http ? 0 : -1;
}

static int start_hostlist(daemon_t *d)
{
	if (!d->set.platform_host_list.n)
		return 0;
	d->hostlist =
		hostlist_start(d->set.platform_host_list,
			       d->set.platform_poll_ms, on_listed_host, d);
	return d->hostlist ? 0 : -1;
}

static int make_timers_and_mailboxes(daemon_t *d)
{
	d->timers = timer_svc_new_real();
	d->state_timers = timer_svc_new_real();
	d->to_serve = mailbox_new(d);
	d->to_state = mailbox_new(d);
	d->tables = decided_new();
	pthread_mutex_init(&d->proposals_lock, NULL);
	CDS_INIT_LIST_HEAD(&d->proposals);
	atomic_init(&d->lease_until_us, INT64_MIN);
	atomic_init(&d->tables_fresh_until_us, INT64_MIN);
	return 0;
}

static int start_timers_and_mailboxes(daemon_t *d)
{
	if (timer_svc_start(d->timers) || timer_svc_start(d->state_timers) ||
	    mailbox_start(d->to_serve) || mailbox_start(d->to_state)) {
		log_event(LOG_ERR, "thread_start_failed",
			  KV_C("error", strerror(errno)));
		return -1;
	}
	return 0;
}

static int start_io(daemon_t *d)
{
	if (target_client_start(d->targets) < 0)
		return -1;
	if (links_start(d->links) < 0)
		return -1;
	return http_start(d->http);
}

/* Each step may use what the steps before it created. */
static int daemon_start(daemon_t *d)
{
	static int (*const steps[])(daemon_t *) = {
		make_timers_and_mailboxes,
		open_data_folder,
		make_links,
		make_targets,
		make_http,
		make_serve,
		make_state,
		start_timers_and_mailboxes,
		start_io,
		start_ops_http,
		start_hostlist,
	};

	for (size_t i = 0; i < ARRAY_SIZE(steps); i++)
		if (steps[i](d) < 0)
			return -1;
	log_event(LOG_NOTICE, "daemon_started", kv_i("host", d->set.host_id),
		  kv_s("callers", d->set.listen_callers),
		  kv_s("operators", d->set.listen_operators),
		  kv_s("peers", d->set.listen_peers),
		  kv_u("disk", d->wal != NULL));
	return 0;
}

/* Stops the threads, then frees the cores, then what their callbacks use. */
static void daemon_stop(daemon_t *d)
{
	hostlist_stop(d->hostlist);
	if (d->http)
		http_stop(d->http);
	ops_http_stop(d->ops_http);
	if (d->to_serve)
		mailbox_stop(d->to_serve);
	if (d->to_state)
		mailbox_stop(d->to_state);
	if (d->targets)
		target_client_stop(d->targets);
	if (d->links)
		links_stop(d->links);
	state_free(d->state);
	if (d->serve)
		serve_free(d->serve);
	http_free(d->http);
	target_client_free(d->targets);
	links_free(d->links);
	mailbox_free(d->to_serve);
	mailbox_free(d->to_state);
	timer_svc_free(d->state_timers);
	timer_svc_free(d->timers);
	if (d->wal)
		wal_close(d->wal);
	decided_unref(d->tables);
	pthread_mutex_destroy(&d->proposals_lock);
	settings_free(&d->set);
}

/* Waits at most SIGNAL_WAIT_MS for a signal; returns 0 if there was none. */
static int next_signal(const sigset_t *set)
{
	struct timespec tick = {0, SIGNAL_WAIT_MS * 1000000L};
	int sig = sigtimedwait(set, NULL, &tick);

	return sig > 0 ? sig : 0;
}

/* Waits until a signal or an operator asks for a graceful shutdown. */
static void wait_for_drain(daemon_t *d, const sigset_t *set)
{
	while (!atomic_load(&d->drain_requested))
		if (next_signal(set))
			atomic_store(&d->drain_requested, true);
}

static void log_drain_cut(daemon_t *d, const char *why)
{
	AUTO_BUF buf_t status = {0};

	serve_status(d->serve, &status);
	log_event(LOG_WARNING, "drain_aborted", KV_C("reason", why),
		  kv_u("requests", http_active_requests(d->http)),
		  kv_s("serve", buf_str(&status)));
}

/*
 * Shuts down gracefully: address answers stop naming this daemon, and new
 * requests are refused once cached answers have expired. When the requests
 * accepted here are finished, the lease is returned, so that other daemons take
 * over the targets; then the runs for other daemons are finished. Returns 0, or
 * 1 if requests had to be broken off.
 */
static int drain_and_leave(daemon_t *d, const sigset_t *set)
{
	const settings_t *s = &d->set;
	int64_t refuse_from_us =
		now_us(d) + s->serving_address_ttl_ms * USEC_PER_MSEC;
	int64_t cut_at_us = now_us(d) + s->timing_drain_max_ms * USEC_PER_MSEC;
	bool lease_returned = false;

	log_event(LOG_NOTICE, "drain_started",
		  kv_u("requests", http_active_requests(d->http)));
	serve_drain(d->serve);
	for (;;) {
		int64_t now = now_us(d);

		if (next_signal(set)) {
			log_drain_cut(d, "second signal");
			return 1;
		}
		if (now >= cut_at_us) {
			log_drain_cut(d, "timing.drain_max_ms has passed");
			return 1;
		}
		if (!lease_returned && now >= refuse_from_us &&
		    !http_active_requests(d->http)) {
			state_leave(d->state, 0);
			lease_returned = true;
			log_event(LOG_NOTICE, "lease_returned",
				  kv_i("host", s->host_id));
		}
		if (lease_returned && serve_drained(d->serve))
			break;
	}
	/* Lets the last frames reach the peers. */
	nanosleep(&(struct timespec){0, FLUSH_MS * 1000000L}, NULL);
	log_event(LOG_NOTICE, "drained", kv_i("host", s->host_id));
	return 0;
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGXFSZ, SIG_IGN); /* the write fails instead */
}

/* Keeps the memory of the daemon's hundreds of threads small. */
static void limit_memory(void)
{
	pthread_attr_t attr;

	mallopt(M_ARENA_MAX, ARENAS_MAX);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}

static void print_manual(void)
{
	AUTO_BUF buf_t page = {0};

	settings_manual(&page);
	fputs(page.p, stdout);
}

/*
 * Returns the settings file, owned by the caller. Returns NULL if there is
 * nothing to run; *rc is then the exit code, set to 0 after --manual.
 */
static char *parse_options(int argc, char **argv, int *rc)
{
	char *config = NULL;
	gboolean manual = FALSE;
	GOptionEntry entries[] = {
		{"config", 'c', 0, G_OPTION_ARG_FILENAME, &config,
		 "Settings of this daemon", "FILE"},
		{"manual", 0, 0, G_OPTION_ARG_NONE, &manual,
		 "Print the page of settings", NULL},
		{0},
	};
	GOptionContext *options = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_set_summary(
		options, "Runs the daemon until SIGTERM, which drains it; a "
			 "second one ends it at once.");
	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error)) {
		fprintf(stderr, "damasklug serve: %s\n", error->message);
		g_error_free(error);
	} else if (manual) {
		*rc = 0;
		print_manual();
	} else if (!config) {
		fprintf(stderr, "damasklug serve: --config FILE is missing\n");
	} else if (argc > 1) {
		fprintf(stderr, "damasklug serve: unknown argument %s\n",
			argv[1]);
		g_free(config);
		config = NULL;
	}
	g_option_context_free(options);
	return config;
}

int serve_main(int argc, char **argv)
{
	AUTO_BUF buf_t errors = {0};
	int rc = 2;
	char *config = parse_options(argc, argv, &rc);
	daemon_t d = {0};
	sigset_t set;

	if (!config)
		return rc;
	rc = settings_load(&d.set, config, &errors);
	g_free(config);
	if (rc < 0) {
		fputs(errors.p, stderr);
		return 2;
	}
	log_set_level(log_level_parse(d.set.host_log_level));
	limit_memory();
	block_signals(&set);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	mg_init_library(0);
	rc = 1;
	if (sodium_init() >= 0 && daemon_start(&d) == 0) {
		wait_for_drain(&d, &set);
		rc = drain_and_leave(&d, &set);
	}
	daemon_stop(&d);
	mg_exit_library();
	curl_global_cleanup();
	return rc;
}
