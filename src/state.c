/*
 * state.c - the state core of one daemon: puts log, machine, sessions,
 * assignment, feed and forwarding together behind one lock.
 */
#include "state_int.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

#define FEED_BEAT_HEARTBEATS 5
#define FEED_KEEP 4096u
/* Between two tries to use a disk that failed. */
#define REOPEN_US (300 * USEC_PER_MSEC)
/* A voter silent for so long may be replaced by another host. */
#define REPLACE_ELECTIONS 12
#define FORWARD_TIMEOUT_ELECTIONS 8

bool state_has_log(const state_t *st)
{
	return st->rlog != NULL;
}

/* Messages. */

static void send_msg(void *ctx, host_id_t to, const Peer__Msg *msg)
{
	state_t *st = ctx;
	size_t n = peer__msg__get_packed_size(msg);
	AUTO_BUF buf_t out = {0};

	if (to == st->cfg.self) {
		buf_put(&st->loopback, &n, sizeof(n));
		peer__msg__pack(msg, (uint8_t *)buf_room(&st->loopback, n));
		st->loopback.n += n;
		return;
	}
	peer__msg__pack(msg, (uint8_t *)buf_room(&out, n));
	st->ops.send(st->ctx, to, out.p, n);
}

void state_send(state_t *st, host_id_t to, Peer__Msg__BodyCase which,
		void *body)
{
	Peer__Msg msg = PEER__MSG__INIT;

	msg.body_case = which;
	msg.vote_req = body; /* all members of the union are pointers */
	send_msg(st, to, &msg);
}

/* Decided entries into the machine. */

static bool is_fed(uint32_t kind)
{
	return kind == ENTRY_CHANGE || kind == ENTRY_ASSIGN ||
	       kind == ENTRY_DOC;
}

static void on_sink_changed(void *ctx, str_t change_id,
			    const change_outcome_t *o)
{
	state_t *st = ctx;

	(void)change_id;
	intake_changed(st->intake, st->sink_index, o);
}

static void on_sink_claimed(void *ctx, size_t pos, const claim_result_t *res)
{
	state_t *st = ctx;

	intake_claimed(st->intake, st->sink_index, pos, res);
}

static int apply(state_t *st, uint64_t index, uint32_t kind, str_t data)
{
	const machine_sink_t sink = {on_sink_changed, on_sink_claimed, st};

	st->sink_index = index;
	if (machine_apply(st->machine, index, (entry_kind_t)kind, data, &sink))
		return -1;
	if (is_fed(kind))
		st->tables_dirty = true;
	return 0;
}

static int log_apply(void *ctx, const wal_rec_t *rec)
{
	state_t *st = ctx;

	if (rec->kind == ENTRY_NOOP || rec->kind == ENTRY_MEMBERS)
		return 0;
	if (apply(st, rec->index, rec->kind, rec->data))
		return -1;
	/* A disk that was opened again may be behind what the feed brought. */
	if (is_fed(rec->kind) && rec->index > feed_index(st->feed))
		feed_add(st->feed, rec->index, rec->kind, rec->data,
			 timer_svc_now(st->timers));
	return 0;
}

/* A snapshot of the log: index of the latest fed entry, then the machine. */
static void log_save(void *ctx, buf_t *out)
{
	state_t *st = ctx;
	uint64_t fed = feed_index(st->feed);

	buf_put(out, &fed, sizeof(fed));
	machine_save(st->machine, MACHINE_ALL, out);
}

static int log_load(void *ctx, uint64_t index, str_t bytes)
{
	state_t *st = ctx;
	uint64_t fed;

	(void)index;
	if (bytes.n < sizeof(fed))
		return -1;
	memcpy(&fed, bytes.p, sizeof(fed));
	if (machine_load(st->machine,
			 str_n(bytes.p + sizeof(fed), bytes.n - sizeof(fed))))
		return -1;
	if (fed > feed_index(st->feed))
		feed_jump(st->feed, fed);
	st->tables_dirty = true;
	return 0;
}

static int feed_apply_entry(void *ctx, uint64_t index, entry_kind_t kind,
			    str_t data)
{
	state_t *st = ctx;

	if (state_has_log(st) || !is_fed(kind))
		return -1;
	return apply(st, index, kind, data);
}

static void feed_save(void *ctx, buf_t *out)
{
	state_t *st = ctx;

	machine_save(st->machine, MACHINE_TABLES, out);
}

static int feed_load(void *ctx, uint64_t index, str_t bytes)
{
	state_t *st = ctx;

	if (state_has_log(st) || index <= feed_index(st->feed))
		return -1;
	if (machine_load(st->machine, bytes))
		return -1;
	st->tables_dirty = true;
	return 0;
}

/* Asks the leader for another parent. */
void state_orphaned(void *ctx)
{
	state_t *st = ctx;

	st->feed_try++;
	st->renew_due_us = timer_svc_now(st->timers);
}

void state_publish(state_t *st)
{
	decided_t *tables;

	if (!st->tables_dirty)
		return;
	tables = machine_tables(st->machine);
	if (decided_index(tables) < decided_index(st->tables)) {
		/* The log is read again; what is in force stays. */
		decided_unref(tables);
		return;
	}
	st->tables_dirty = false;
	decided_unref(st->tables);
	st->tables = tables;
	if (st->ops.tables)
		st->ops.tables(st->ctx, st->tables);
	/* Lets the leader know soon what is in force here. */
	if (st->last_renew_us + st->cfg.heartbeat_us < st->renew_due_us)
		st->renew_due_us = st->last_renew_us + st->cfg.heartbeat_us;
}

static void look_at_log(state_t *st, int64_t now_us)
{
	bool leads;

	if (!st->rlog)
		return;
	if (rlog_role(st->rlog) == RLOG_FAILED) {
		/* The host goes on as one without disk. */
		st->log_error = *rlog_error(st->rlog);
		rlog_free(st->rlog);
		st->rlog = NULL;
		if (st->ops.reopen)
			st->reopen_due_us = now_us + REOPEN_US;
		if (st->leading)
			state_lead_end(st);
		st->leader = 0;
		st->renew_due_us = now_us;
		return;
	}
	leads = rlog_is_leader(st->rlog);
	if (st->leading && (!leads || st->leading_term != rlog_term(st->rlog)))
		state_lead_end(st);
	if (leads && !st->leading)
		state_lead_begin(st, now_us);
	if (rlog_leader(st->rlog) && rlog_term(st->rlog) >= st->leader_term &&
	    (rlog_leader(st->rlog) != st->leader ||
	     rlog_term(st->rlog) != st->leader_term)) {
		st->leader = rlog_leader(st->rlog);
		st->leader_term = rlog_term(st->rlog);
		st->renew_due_us = now_us;
		st->lease_status_dirty = true;
	}
}

static void log_changed(void *ctx)
{
	(void)ctx; /* look_at_log() runs after each step */
}

/* Whether the tables mark every voter but this host as one. */
static bool others_are_marked(const state_t *st, host_id_t id)
{
	host_id_t ids[RLOG_VOTERS_MAX];
	size_t n = rlog_voters(st->rlog, ids, RLOG_VOTERS_MAX);

	for (size_t i = 0; i < n; i++) {
		const host_t *h = decided_host(st->tables, ids[i]);

		if (ids[i] != id && (!h || !h->voter))
			return false;
	}
	return true;
}

/*
 * Without operators any host with a disk may vote, up to the number wanted. A
 * voter that has been silent for long is replaced: the new one joins first, so
 * that the quorum never hangs on fewer hosts than before.
 */
static bool auto_wanted(const state_t *st, host_id_t id)
{
	int64_t now_us = timer_svc_now(st->timers);
	int64_t bound = st->cfg.election_us * REPLACE_ELECTIONS;
	host_id_t ids[RLOG_VOTERS_MAX];
	size_t n = rlog_voters(st->rlog, ids, RLOG_VOTERS_MAX);
	bool silent = false;

	if (rlog_is_voter(st->rlog, id))
		return n <= st->cfg.auto_voters ||
		       rlog_peer_silent_us(st->rlog, id, now_us) < bound;
	if (n < st->cfg.auto_voters)
		return true;
	for (size_t i = 0; i < n; i++)
		if (rlog_peer_silent_us(st->rlog, ids[i], now_us) >= bound)
			silent = true;
	return silent && n == st->cfg.auto_voters;
}

/*
 * Operators take a voter out by a decided row that says so. Rows that mark no
 * voters at all take nobody out.
 */
static bool log_wanted(void *ctx, host_id_t id)
{
	const state_t *st = ctx;
	const host_t *h = decided_host(st->tables, id);

	if (st->cfg.auto_voters)
		return auto_wanted(st, id);
	if (h)
		return h->voter || !others_are_marked(st, id);
	for (size_t i = 0; i < st->cfg.n_voters; i++)
		if (st->first_voters[i] == id)
			return true;
	return false;
}

static uint64_t intake_append(void *ctx, entry_kind_t kind, str_t data)
{
	state_t *st = ctx;

	return st->rlog ? rlog_propose(st->rlog, kind, data) : 0;
}

/* One message, from a peer or from itself. */
static void dispatch(state_t *st, host_id_t from, const Peer__Msg *msg,
		     int64_t now_us)
{
	host_id_t leader;
	uint64_t term;

	switch (msg->body_case) {
	case PEER__MSG__BODY_RENEW:
		state_on_renew(st, from, msg->renew, now_us);
		break;
	case PEER__MSG__BODY_RENEW_RES:
		state_on_renew_res(st, from, msg->renew_res, now_us);
		break;
	case PEER__MSG__BODY_LEADS:
		state_set_leader(st, from, msg->leads->term, now_us);
		break;
	case PEER__MSG__BODY_PROPOSE:
		state_on_propose(st, from, msg->propose, now_us);
		break;
	case PEER__MSG__BODY_PROPOSE_RES:
		if (forward_result(st->forward, msg->propose_res, &leader,
				   &term))
			state_set_leader(st, leader, term, now_us);
		break;
	case PEER__MSG__BODY_FEED_PULL:
	case PEER__MSG__BODY_FEED_PUSH:
	case PEER__MSG__BODY_FEED_CHUNK:
		feed_recv(st->feed, from, msg, now_us);
		break;
	default:
		if (st->rlog && from != st->cfg.self)
			rlog_recv(st->rlog, from, msg, now_us);
		break;
	}
}

static bool take_loopback(state_t *st, int64_t now_us)
{
	AUTO_BUF buf_t batch = st->loopback;
	size_t at = 0;
	size_t n;

	memset(&st->loopback, 0, sizeof(st->loopback));
	while (at < batch.n) {
		Peer__Msg *msg;

		memcpy(&n, batch.p + at, sizeof(n));
		at += sizeof(n);
		msg = peer__msg__unpack(NULL, n, (uint8_t *)batch.p + at);
		at += n;
		if (msg)
			dispatch(st, st->cfg.self, msg, now_us);
		peer__msg__free_unpacked(msg, NULL);
	}
	return at > 0;
}

static int make_log(state_t *st, wal_t *wal, int64_t now_us, wal_err_t *err);

/*
 * Tries the disk that failed again. The log is read anew into an empty machine;
 * nothing is acknowledged or voted that its folder does not hold.
 */
static void reopen_log(state_t *st, int64_t now_us)
{
	wal_err_t err = {0};
	wal_t *wal;

	if (now_us < st->reopen_due_us)
		return;
	st->reopen_due_us = now_us + REOPEN_US;
	wal = st->ops.reopen(st->ctx);
	if (!wal)
		return;
	machine_free(st->machine);
	st->machine = machine_new();
	if (make_log(st, wal, now_us, &err)) {
		st->log_error = err;
		return;
	}
	st->reopen_due_us = INT64_MAX;
	memset(&st->log_error, 0, sizeof(st->log_error));
	log_event(LOG_NOTICE, "log_reopened", kv_u("host", st->cfg.self));
}

/* Does what is due, hands out what has changed, and arms the timer. */
static void settle(state_t *st, int64_t now_us)
{
	int64_t due;

	do {
		due = INT64_MAX;
		reopen_log(st, now_us);
		if (st->rlog)
			due = rlog_tick(st->rlog, now_us);
		look_at_log(st, now_us);
		state_publish(st);
		forward_leader(st->forward,
			       state_leader_for_requests(st, now_us),
			       st->leader_term, now_us);
		due = min_us(due, forward_tick(st->forward, now_us));
		due = min_us(due, feed_tick(st->feed, now_us));
		state_look_at_feed(st, now_us);
		if (now_us >= st->renew_due_us && !st->leave_answered)
			state_send_renew(st, now_us);
		if (st->leading)
			state_lead_tick(st, now_us);
		look_at_log(st, now_us);
		state_publish(st);
		state_settle_confirms(st, now_us);
	} while (take_loopback(st, now_us));
	state_report_lease_status(st, now_us);
	if (st->rlog)
		due = min_us(due, rlog_tick(st->rlog, now_us));
	due = min_us(due, st->reopen_due_us);
	if (!st->leave_answered)
		due = min_us(due, st->renew_due_us);
	if (st->leading) {
		if (rlog_is_ready_leader(st->rlog))
			due = min_us(due, st->flush_due_us);
		due = min_us(due, st->assign_due_us);
		due = min_us(due, sessions_due(st->sessions));
		due = min_us(due, st->tell_due_us);
	}
	timer_svc_arm(st->timers, &st->timer, due > now_us ? due : now_us + 1);
}

static void on_timer(void *ctx, int64_t now_us)
{
	state_t *st = ctx;

	(void)now_us; /* the lock may have been waited for */
	pthread_mutex_lock(&st->lock);
	settle(st, timer_svc_now(st->timers));
	pthread_mutex_unlock(&st->lock);
}

void state_recv(state_t *st, host_id_t from, const void *p, size_t n)
{
	Peer__Msg *msg = peer__msg__unpack(NULL, n, p);
	int64_t now_us;

	if (!msg) {
		log_event(LOG_WARNING, "state_message_malformed",
			  kv_u("peer", from), kv_u("bytes", n));
		return;
	}
	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	dispatch(st, from, msg, now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
	peer__msg__free_unpacked(msg, NULL);
}

void state_propose(state_t *st, uint64_t tag, const void *change, size_t n)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	forward_change(st->forward, tag, str_n(change, n), now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_put_doc(state_t *st, uint64_t tag, const doc_t *doc)
{
	AUTO_BUF buf_t docs = {0};
	int64_t now_us;

	machine_pack_doc(&docs, doc);
	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	forward_docs(st->forward, tag, buf_str(&docs), now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_confirm(state_t *st)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	st->renew_due_us = now_us;
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

static void keep_seeds(state_t *st, const host_id_t *ids, size_t n)
{
	st->seeds = xrealloc(st->seeds, n * sizeof(*ids) + 1);
	if (n)
		memcpy(st->seeds, ids, n * sizeof(*ids));
	st->n_seeds = n;
}

void state_set_seeds(state_t *st, const host_id_t *ids, size_t n)
{
	pthread_mutex_lock(&st->lock);
	keep_seeds(st, ids, n);
	settle(st, timer_svc_now(st->timers));
	pthread_mutex_unlock(&st->lock);
}

void state_claim(state_t *st, const claim_req_t *req)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	forward_claim(st->forward, req, now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

decided_t *state_tables(state_t *st)
{
	decided_t *d;

	pthread_mutex_lock(&st->lock);
	d = decided_ref(st->tables);
	pthread_mutex_unlock(&st->lock);
	return d;
}

size_t state_revisions(state_t *st, host_revision_t *out, size_t max)
{
	size_t n = 0;

	pthread_mutex_lock(&st->lock);
	if (st->leading)
		n = sessions_revisions(st->sessions, out, max);
	pthread_mutex_unlock(&st->lock);
	return n;
}

void state_leave(state_t *st)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	st->left = true;
	st->lease_status_dirty = true;
	/* The lease is given up here before the leader hears of it. */
	state_report_lease_status(st, now_us);
	st->renew_due_us = now_us;
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

static void status_log(const state_t *st, buf_t *json)
{
	if (st->rlog) {
		rlog_status(st->rlog, json);
		return;
	}
	buf_printf(json, "\"role\":\"%s\",\"term\":%llu,\"leader\":%u",
		   st->log_error.code ? "failed" : "learner",
		   (unsigned long long)st->leader_term, st->leader);
	if (st->log_error.code)
		buf_printf(json, ",\"failed\":\"%s\"",
			   wal_code_text(st->log_error.code));
}

void state_status(state_t *st, buf_t *json)
{
	int64_t now_us = timer_svc_now(st->timers);

	pthread_mutex_lock(&st->lock);
	buf_puts(json, "{");
	status_log(st, json);
	buf_printf(json,
		   ",\"host\":%u,\"index\":%llu,\"revision\":%llu,"
		   "\"fresh\":%s,\"lease_ms\":%lld,\"member\":%s,"
		   "\"feed_parent\":%u,\"feed_children\":%zu,"
		   "\"waiting\":%zu,\"live\":[",
		   st->cfg.self, (unsigned long long)feed_index(st->feed),
		   (unsigned long long)decided_revision(st->tables),
		   st->tables_fresh_until_us > now_us ? "true" : "false",
		   st->lease_until_us > now_us
			   ? (long long)(st->lease_until_us - now_us) /
				     USEC_PER_MSEC
			   : 0LL,
		   st->not_member ? "false" : "true", feed_parent(st->feed),
		   feed_children(st->feed), forward_waiting(st->forward));
	for (size_t i = 0; i < st->n_live; i++)
		buf_printf(json, "%s%u", i ? "," : "", st->live[i]);
	buf_puts(json, "]}");
	pthread_mutex_unlock(&st->lock);
}

static void user_changed(void *ctx, uint64_t tag, const change_outcome_t *out)
{
	state_t *st = ctx;

	if (st->ops.changed)
		st->ops.changed(st->ctx, tag, out);
}

static void user_claimed(void *ctx, const claim_result_t *res)
{
	state_t *st = ctx;

	if (st->ops.claimed)
		st->ops.claimed(st->ctx, res);
}

static void make_parts(state_t *st)
{
	const feed_cfg_t feed_cfg = {
		.self = st->cfg.self,
		.fanout = st->cfg.fanout,
		.beat_us = st->cfg.heartbeat_us * FEED_BEAT_HEARTBEATS,
		.silent_us = st->cfg.heartbeat_us * FEED_SILENT_HEARTBEATS,
		.keep = FEED_KEEP,
	};
	const feed_ops_t feed_ops = {send_msg, feed_apply_entry, feed_save,
				     feed_load, state_orphaned};
	const forward_ops_t forward_ops = {send_msg, user_changed,
					   user_claimed};
	const intake_ops_t intake_ops = {send_msg, intake_append};

	st->feed = feed_new(&feed_cfg, &feed_ops, st);
	st->forward =
		forward_new(st->session, st->cfg.election_us,
			    st->cfg.election_us * FORWARD_TIMEOUT_ELECTIONS,
			    &forward_ops, st);
	st->intake = intake_new(&intake_ops, st);
	st->sessions = sessions_new(st->cfg.lease_us, st->cfg.drift_ppm);
}

static int make_log(state_t *st, wal_t *wal, int64_t now_us, wal_err_t *err)
{
	const rlog_cfg_t cfg = {
		.self = st->cfg.self,
		.voters = st->first_voters,
		.n_voters = st->cfg.n_voters,
		.seed = st->session,
		.heartbeat_us = st->cfg.heartbeat_us,
		.election_us = st->cfg.election_us,
		.snapshot_entries = st->cfg.snapshot_entries,
		.no_founding = st->cfg.no_founding,
	};
	const rlog_ops_t ops = {send_msg, log_apply,   log_save,
				log_load, log_changed, log_wanted};

	if (!wal)
		return 0;
	st->rlog = rlog_new(&cfg, &ops, st, wal, now_us, err);
	if (!st->rlog)
		return -1;
	st->led_term = rlog_term(st->rlog);
	return 0;
}

state_t *state_new(const state_cfg_t *cfg, const state_ops_t *ops, void *ctx,
		   timer_svc_t *timers, wal_t *wal, wal_err_t *err)
{
	state_t *st = xcalloc(1, sizeof(*st));
	int64_t now_us = timer_svc_now(timers);

	pthread_mutex_init(&st->lock, NULL);
	st->cfg = *cfg;
	st->cfg.zone = str_copy(cfg->zone);
	st->first_voters = xmalloc(cfg->n_voters * sizeof(host_id_t));
	for (size_t i = 0; i < cfg->n_voters; i++)
		st->first_voters[i] = cfg->voters[i].id;
	keep_seeds(st, st->first_voters, cfg->n_voters);
	st->cfg.voters = NULL;
	st->ops = *ops;
	st->ctx = ctx;
	st->timers = timers;
	timer_sub_init(&st->timer, on_timer, st);
	st->session = hash_bytes(&cfg->self, sizeof(cfg->self), cfg->seed) | 1;
	st->flush_due_us = INT64_MAX;
	st->reopen_due_us = INT64_MAX;
	st->lease_until_us = INT64_MIN;
	st->tables_fresh_until_us = INT64_MIN;
	st->tables_confirmed_us = INT64_MIN;
	st->renew_due_us = now_us;
	st->behind_since_us = now_us;
	st->machine = machine_new();
	st->tables = machine_tables(st->machine);
	make_parts(st);
	if (make_log(st, wal, now_us, err)) {
		state_free(st);
		return NULL;
	}
	state_publish(st);
	timer_svc_arm(timers, &st->timer, now_us);
	return st;
}

void state_free(state_t *st)
{
	if (!st)
		return;
	timer_svc_cancel(st->timers, &st->timer);
	rlog_free(st->rlog);
	feed_free(st->feed);
	forward_free(st->forward);
	intake_free(st->intake);
	sessions_free(st->sessions);
	decided_unref(st->tables);
	machine_free(st->machine);
	buf_free(&st->loopback);
	str_free(&st->cfg.zone);
	free(st->first_voters);
	free(st->seeds);
	free(st->held);
	free(st->order);
	free(st->places);
	free(st->live);
	pthread_mutex_destroy(&st->lock);
	free(st);
}
