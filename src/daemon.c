/*
 * daemon.c - wiring of one daemon.
 *
 * Threads: callers' and operators' HTTP (httpd.c), peer links (link.c), orders
 * to targets (target.c), two timer services, two mailboxes, the host list, and
 * main, which waits for signals. Callbacks of a core are made with its locks
 * held, so they only queue: frames, orders, replies to readers, or mail. Mail
 * to serving runs on to_serve, mail to the log on to_state.
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
#define FRAME_MAX (8u << 20)
#define LINK_QUEUE_MAX (16u << 20)
#define SILENT_HEARTBEATS 8
#define OPERATOR_THREADS 16u
#define OPERATOR_HEAD_MAX 16384u
#define OPERATOR_BODY_MAX (16u << 20)
#define KEEP_ALIVE_MS 2000
#define TICK_MS 20
#define FLUSH_MS 200 /* for frames under way at the end */

/* A change that an operator's thread waits for; on its stack. */
typedef struct proposal {
	struct cds_list_head node;
	uint64_t tag;
	pthread_cond_t done;
	bool ended;
	change_outcome_t *out;
	buf_t *error;
} proposal_t;

typedef struct daemon {
	settings_t set;
	timer_svc_t *state_timers; /* apart: state syncs its disk on it */
	timer_svc_t *timers;
	mailbox_t *to_serve;
	mailbox_t *to_state;
	wal_t *wal;
	links_t *links;
	target_port_t *targets;
	serve_t *serve;
	state_t *state;
	http_t *http;
	ops_http_t *ops_http;
	hostlist_t *hostlist;
	decided_t *tables; /* RCU; replaced on to_serve only */
	/* Standing, for threads that serve callers. */
	atomic_int_fast64_t lease_until_us;
	atomic_int_fast64_t tables_fresh_until_us;
	atomic_uint leader;
	atomic_bool drain;
	pthread_mutex_t proposals_lock; /* guards what follows */
	struct cds_list_head proposals;
	uint64_t next_tag;
} daemon_t;

static int64_t now_us(const daemon_t *d)
{
	return timer_svc_now(d->timers);
}

/* Tables, for registered reader threads. */
static decided_t *tables_ref(void *ctx)
{
	daemon_t *d = ctx;
	decided_t *t;

	rcu_read_lock();
	t = decided_ref(rcu_dereference(d->tables));
	rcu_read_unlock();
	return t;
}

static void publish_tables(daemon_t *d, decided_t *t)
{
	decided_t *old = d->tables;

	rcu_assign_pointer(d->tables, decided_ref(t));
	synchronize_rcu();
	decided_unref(old);
}

/* Mail: tables in force. */

static bool is_first_voter(const daemon_t *d, host_id_t id)
{
	for (size_t i = 0; i < d->set.n_voters; i++)
		if (d->set.voters[i].id == id)
			return true;
	return false;
}

/* Peers are the decided hosts, and the first voters of the settings. */
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

		if (!decided_host(new, id) && !is_first_voter(d, id))
			links_set_peer(d->links, id, str_n(NULL, 0));
	}
}

static void tables_run(void *ctx, mail_t *m)
{
	tables_mail_t *tm = (tables_mail_t *)m;
	daemon_t *d = ctx;

	update_peers(d, d->tables, tm->tables);
	publish_tables(d, tm->tables);
	serve_set_tables(d->serve, tm->tables);
	m->drop(m);
}

static void on_tables(void *ctx, decided_t *t)
{
	daemon_t *d = ctx;

	mailbox_send(d->to_serve, &tables_mail_new(tables_run, t)->mail);
}

/* Mail: lease_status. */

static void lease_status_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;
	lease_status_mail_t *sm = (lease_status_mail_t *)m;

	serve_set_lease_status(d->serve, &sm->lease_status);
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

/* Mail: outcome of a claim. */

typedef struct claimed_mail {
	mail_t mail;
	claim_result_t res; /* body is owned */
} claimed_mail_t;

static void claimed_drop(mail_t *m)
{
	claimed_mail_t *cm = (claimed_mail_t *)m;

	str_free(&cm->res.body);
	free(cm);
}

static void claimed_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;

	serve_claim_result(d->serve, &((claimed_mail_t *)m)->res);
	claimed_drop(m);
}

static void on_claimed(void *ctx, const claim_result_t *res)
{
	daemon_t *d = ctx;
	claimed_mail_t *cm = xcalloc(1, sizeof(*cm));

	cm->mail.run = claimed_run;
	cm->mail.drop = claimed_drop;
	cm->res = *res;
	cm->res.body = str_copy(res->body);
	mailbox_send(d->to_serve, &cm->mail);
}

/* Mail: a claim to be proposed. */

typedef struct claim_mail {
	mail_t mail;
	claim_req_t req; /* strings are owned */
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

/* Mail: the caller of a request has gone. */

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

/* Mail: one row of the platform's host list. */

typedef struct hint_mail {
	mail_t mail;
	str_t name; /* owned */
	bool leaving;
} hint_mail_t;

static void hint_drop(mail_t *m)
{
	hint_mail_t *hm = (hint_mail_t *)m;

	str_free(&hm->name);
	free(hm);
}

static void hint_run(void *ctx, mail_t *m)
{
	daemon_t *d = ctx;
	hint_mail_t *hm = (hint_mail_t *)m;
	const target_t *t = decided_target_by_name(d->tables, hm->name);

	if (t)
		serve_target_hint(d->serve, t->id, hm->leaving);
	hint_drop(m);
}

static void on_host_row(void *ctx, str_t name, bool leaving)
{
	daemon_t *d = ctx;
	hint_mail_t *hm = xcalloc(1, sizeof(*hm));

	hm->mail.run = hint_run;
	hm->mail.drop = hint_drop;
	hm->name = str_copy(name);
	hm->leaving = leaving;
	mailbox_send(d->to_serve, &hm->mail);
}

/* Callbacks of the cores that may be handed on at once. */

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

	target_port_order(d->targets, order);
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

/* Outcome of a proposed change, for the operator's thread that waits. */
static void on_changed(void *ctx, uint64_t tag, const change_outcome_t *out)
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
		p->ended = true;
		pthread_cond_signal(&p->done);
		break;
	}
	pthread_mutex_unlock(&d->proposals_lock);
}

/* What the HTTP ports need. */

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

static reason_t http_refusal(void *ctx)
{
	daemon_t *d = ctx;

	if (now_us(d) >= atomic_load(&d->tables_fresh_until_us))
		return REASON_STALE;
	return atomic_load(&d->drain) ? REASON_LEAVING : REASON_NONE;
}

static int64_t http_now(void *ctx)
{
	return now_us(ctx);
}

static bool ops_ready(void *ctx, buf_t *why)
{
	daemon_t *d = ctx;
	reason_t reason = http_refusal(d);

	if (reason != REASON_NONE)
		buf_puts(why, reason_info(reason)->name);
	else if (now_us(d) >= atomic_load(&d->lease_until_us))
		buf_puts(why, "no lease");
	return why->n == 0;
}

static struct timespec after_us(int64_t us)
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
	struct timespec until = after_us(timeout_us);
	proposal_t p = {.out = out, .error = error};
	pthread_condattr_t attr;

	/* Until told otherwise, for it may be decided after the timeout. */
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
	while (!p.ended && pthread_cond_timedwait(&p.done, &d->proposals_lock,
						  &until) != ETIMEDOUT)
		;
	cds_list_del(&p.node);
	pthread_mutex_unlock(&d->proposals_lock);
	pthread_cond_destroy(&p.done);
}

static void ops_status(void *ctx, buf_t *json)
{
	daemon_t *d = ctx;

	buf_printf(json, "{\"host\":%lld,\"requests\":%zu,\"state\":",
		   (long long)d->set.host_id, http_active(d->http));
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

	atomic_store(&d->drain, true);
}

static bool ops_leader_addr(void *ctx, buf_t *addr)
{
	daemon_t *d = ctx;
	host_id_t leader = atomic_load(&d->leader);

	for (size_t i = 0; i < d->set.n_voters; i++) {
		const settings_voter_t *v = &d->set.voters[i];

		if (v->id != leader || !v->operators.n)
			continue;
		buf_put(addr, v->operators.p, v->operators.n);
		return true;
	}
	return false;
}

static const admin_ops_t admin_ops = {
	.propose = ops_propose,
	.tables = tables_ref,
	.status = ops_status,
	.revisions = ops_revisions,
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

/* Construction, part by part. */

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
		links_set_peer(d->links, s->voters[i].id, s->voters[i].addr);
	return 0;
}

static int make_targets(daemon_t *d)
{
	target_port_cfg_t cfg;

	target_port_cfg_default(&cfg);
	cfg.progress_timeout_us = d->set.serving_progress_ms * USEC_PER_MSEC;
	d->targets = target_port_new(&cfg, on_engine_event, d);
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

static int open_disk(daemon_t *d)
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
		.claimed = on_claimed,
		.changed = on_changed,
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
		voters[i].addr = s->voters[i].addr;
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
		.refusal = http_refusal,
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
		.reader_max = (size_t)s->limits_reader_buffer_bytes,
		.address_ttl_ms = s->serving_address_ttl_ms,
	};

	d->http = http_new(&cfg, &ops, d);
	return 0;
}

static int start_ops_http(daemon_t *d)
{
	static const ops_http_ops_t ops = {&admin_ops, ops_ready};
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
	d->hostlist = hostlist_start(d->set.platform_host_list,
				     d->set.platform_poll_ms, on_host_row, d);
	return d->hostlist ? 0 : -1;
}

static int make_base(daemon_t *d)
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

static int start_base(daemon_t *d)
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
	if (target_port_start(d->targets) < 0)
		return -1;
	if (links_start(d->links) < 0)
		return -1;
	return http_start(d->http);
}

/* In order; each may use what those before it made. */
static int daemon_start(daemon_t *d)
{
	static int (*const steps[])(daemon_t *) = {
		make_base, open_disk,	   make_links,	   make_targets,
		make_http, make_serve,	   make_state,	   start_base,
		start_io,  start_ops_http, start_hostlist,
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

/* Threads first, then the cores, then what their callbacks use. */
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
		target_port_stop(d->targets);
	if (d->links)
		links_stop(d->links);
	state_free(d->state);
	if (d->serve)
		serve_free(d->serve);
	http_free(d->http);
	target_port_free(d->targets);
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

/* Waits for a signal at most TICK_MS; 0 where there was none. */
static int next_signal(const sigset_t *set)
{
	struct timespec tick = {0, TICK_MS * 1000000L};
	int sig = sigtimedwait(set, NULL, &tick);

	return sig > 0 ? sig : 0;
}

/* Runs until told to end: by a signal, or by an operator. */
static void run(daemon_t *d, const sigset_t *set)
{
	while (!atomic_load(&d->drain))
		if (next_signal(set))
			atomic_store(&d->drain, true);
}

static void log_cut(daemon_t *d, const char *why)
{
	AUTO_BUF buf_t status = {0};

	serve_status(d->serve, &status);
	log_event(LOG_WARNING, "drain_cut", KV_C("reason", why),
		  kv_u("requests", http_active(d->http)),
		  kv_s("serve", buf_str(&status)));
}

/*
 * Ends gracefully: out of the address answers, no new requests once kept
 * answers have run out, own requests finished, targets handed over, runs for
 * other daemons finished. 0; or 1 where requests had to be cut.
 */
static int drain(daemon_t *d, const sigset_t *set)
{
	const settings_t *s = &d->set;
	int64_t refuse_us =
		now_us(d) + s->serving_address_ttl_ms * USEC_PER_MSEC;
	int64_t limit_us = now_us(d) + s->timing_drain_max_ms * USEC_PER_MSEC;
	bool left = false;

	log_event(LOG_NOTICE, "drain_started",
		  kv_u("requests", http_active(d->http)));
	serve_drain(d->serve);
	for (;;) {
		int64_t now = now_us(d);

		if (next_signal(set)) {
			log_cut(d, "second signal");
			return 1;
		}
		if (now >= limit_us) {
			log_cut(d, "timing.drain_max_ms has passed");
			return 1;
		}
		if (!left && now >= refuse_us && !http_active(d->http)) {
			state_leave(d->state);
			left = true;
			log_event(LOG_NOTICE, "lease_returned",
				  kv_i("host", s->host_id));
		}
		if (left && serve_drained(d->serve))
			break;
	}
	/* Frames under way to peers. */
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
}

/* Hundreds of threads, each small. */
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

/* The settings file; NULL where there is nothing to run, with *rc set. */
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
		run(&d, &set);
		rc = drain(&d, &set);
	}
	daemon_stop(&d);
	mg_exit_library();
	curl_global_cleanup();
	return rc;
}
