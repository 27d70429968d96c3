/*
 * state.c - the state core of one daemon: combines the replicated log, the
 * state machine, sessions, assignment, feed and request forwarding under one
 * lock.
 */
#include "state_int.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Time between two pulls from the feed parent, in heartbeats. */
#define FEED_PULL_HEARTBEATS 5
#define FEED_ENTRIES_KEPT 4096u
/* A request without an answer fails after so many election timeouts. */
#define FORWARD_TIMEOUT_ELECTIONS 8

bool state_uses_feed(const state_t *st)
{
	return !st->rlog || st->replay;
}

/* Sending messages. */

void state_send_msg(void *ctx, host_id_t to, const Peer__Msg *msg)
{
	state_t *st = ctx;
	size_t n = peer__msg__get_packed_size(msg);
	AUTO_BUF buf_t out = {0};

	if (to == st->cfg.self) {
		buf_put(&st->loopback, &n, sizeof(n));
		peer__msg__pack(msg, (uint8_t *)buf_reserve(&st->loopback, n));
		st->loopback.n += n;
		return;
	}
	peer__msg__pack(msg, (uint8_t *)buf_reserve(&out, n));
	st->ops.send(st->ctx, to, out.p, n);
}

void state_send(state_t *st, host_id_t to, Peer__Msg__BodyCase which,
		void *body)
{
	Peer__Msg msg = PEER__MSG__INIT;

	msg.body_case = which;
	msg.vote_req = body; /* all members of the union are pointers */
	state_send_msg(st, to, &msg);
}

void state_request_feed_parent(void *ctx)
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
	st->tables_dirty = false;
	decided_unref(st->tables);
	st->tables = tables;
	if (st->ops.tables)
		st->ops.tables(st->ctx, st->tables);
	/* Report the new revision to the leader by an early renewal. */
	if (st->last_renew_us + st->cfg.heartbeat_us < st->renew_due_us)
		st->renew_due_us = st->last_renew_us + st->cfg.heartbeat_us;
}

static uint64_t intake_append(void *ctx, entry_kind_t kind, str_t data)
{
	state_t *st = ctx;

	return st->rlog ? rlog_propose(st->rlog, kind, data) : 0;
}

/* Handles one message from another daemon or, by the loopback, from itself. */
static void dispatch_message(state_t *st, host_id_t from, const Peer__Msg *msg,
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
	case PEER__MSG__BODY_HANDOVER:
		if (st->rlog &&
		    rlog_take_over(st->rlog, from, msg->handover->term,
				   now_us) &&
		    msg->handover->idle)
			st->idle_handover_term = msg->handover->term + 1;
		break;
	case PEER__MSG__BODY_PROPOSE:
		state_on_propose(st, from, msg->propose, now_us);
		break;
	case PEER__MSG__BODY_PROPOSE_RES:
		if (forward_handle_result(st->forward, msg->propose_res,
					  &leader, &term))
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

/* Handles the messages that this daemon sent to itself; true if any. */
static bool dispatch_loopback(state_t *st, int64_t now_us)
{
	AUTO_BUF buf_t batch = st->loopback;
	size_t offset = 0;
	size_t n;

	memset(&st->loopback, 0, sizeof(st->loopback));
	while (offset < batch.n) {
		Peer__Msg *msg;

		memcpy(&n, batch.p + offset, sizeof(n));
		offset += sizeof(n);
		msg = peer__msg__unpack(NULL, n, (uint8_t *)batch.p + offset);
		offset += n;
		if (msg)
			dispatch_message(st, st->cfg.self, msg, now_us);
		peer__msg__free_unpacked(msg, NULL);
	}
	return offset > 0;
}

/*
 * Does all work that is due, reports what has changed, and arms the timer for
 * the next work. Called at the end of each function that changes the core.
 */
static void process_due(state_t *st, int64_t now_us)
{
	int64_t due;

	do {
		due = INT64_MAX;
		state_reopen_log(st, now_us);
		if (st->rlog)
			due = rlog_tick(st->rlog, now_us);
		state_follow_log(st, now_us);
		state_publish(st);
		forward_set_leader(st->forward,
				   state_leader_for_requests(st, now_us),
				   st->leader_term, now_us);
		due = min_us(due, forward_tick(st->forward, now_us));
		due = min_us(due, feed_tick(st->feed, now_us));
		state_check_feed_progress(st, now_us);
		if (now_us >= st->renew_due_us)
			state_send_renew(st, now_us);
		if (st->n_seekers && st->leader)
			state_answer_seekers(st);
		if (st->leading)
			state_lead_tick(st, now_us);
		state_follow_log(st, now_us);
		state_publish(st);
		state_apply_confirmations(st, now_us);
	} while (dispatch_loopback(st, now_us));
	state_report_lease_status(st, now_us);
	if (st->rlog)
		due = min_us(due, rlog_tick(st->rlog, now_us));
	due = min_us(due, st->reopen_due_us);
	due = min_us(due, st->renew_due_us);
	if (st->leading) {
		due = min_us(due, state_hand_over(st, now_us));
		if (rlog_is_ready_leader(st->rlog))
			due = min_us(due, st->flush_due_us);
		due = min_us(due, st->assign_due_us);
		due = min_us(due, sessions_next_expiry_us(st->sessions));
		due = min_us(due, st->announce_due_us);
	}
	timer_svc_arm(st->timers, &st->timer, due > now_us ? due : now_us + 1);
}

static void on_timer(void *ctx, int64_t now_us)
{
	state_t *st = ctx;

	(void)now_us; /* may be outdated once the lock is taken */
	pthread_mutex_lock(&st->lock);
	process_due(st, timer_svc_now(st->timers));
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
	dispatch_message(st, from, msg, now_us);
	process_due(st, now_us);
	pthread_mutex_unlock(&st->lock);
	peer__msg__free_unpacked(msg, NULL);
}

void state_propose_change(state_t *st, uint64_t tag, const void *change,
			  size_t n)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	forward_change(st->forward, tag, str_n(change, n), now_us);
	process_due(st, now_us);
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
	process_due(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_request_confirmation(state_t *st)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	st->renew_due_us = now_us;
	process_due(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

static void store_seeds(state_t *st, const host_id_t *ids, size_t n)
{
	st->seeds = xrealloc(st->seeds, n * sizeof(*ids) + 1);
	if (n)
		memcpy(st->seeds, ids, n * sizeof(*ids));
	st->n_seeds = n;
}

void state_set_seeds(state_t *st, const host_id_t *ids, size_t n)
{
	pthread_mutex_lock(&st->lock);
	store_seeds(st, ids, n);
	process_due(st, timer_svc_now(st->timers));
	pthread_mutex_unlock(&st->lock);
}

void state_claim(state_t *st, const claim_req_t *req)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	forward_claim(st->forward, req, now_us);
	process_due(st, now_us);
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

size_t state_host_revisions(state_t *st, host_revision_t *out, size_t max)
{
	size_t n = 0;

	pthread_mutex_lock(&st->lock);
	if (st->leading)
		n = sessions_host_revisions(st->sessions, out, max);
	pthread_mutex_unlock(&st->lock);
	return n;
}

void state_leave(state_t *st, uint64_t idle_term)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	st->leaving = true;
	st->idle_term = idle_term;
	st->hand_over_due_us = now_us;
	st->lease_status_dirty = true;
	/* Stop using the lease here before the leader is told. */
	state_report_lease_status(st, now_us);
	st->renew_due_us = now_us;
	process_due(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_resign(state_t *st)
{
	int64_t now_us;

	pthread_mutex_lock(&st->lock);
	now_us = timer_svc_now(st->timers);
	if (st->leading)
		state_ask_successor(st, false, now_us);
	process_due(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

static void status_log(const state_t *st, int64_t now_us, buf_t *json)
{
	if (st->rlog) {
		rlog_status(st->rlog, now_us, json);
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
	status_log(st, now_us, json);
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
		   feed_children(st->feed), forward_pending_count(st->forward));
	for (size_t i = 0; i < st->n_live; i++)
		buf_printf(json, "%s%u", i ? "," : "", st->live[i]);
	buf_puts(json, "]}");
	pthread_mutex_unlock(&st->lock);
}

static void on_change_outcome(void *ctx, uint64_t tag,
			      const change_outcome_t *out)
{
	state_t *st = ctx;

	if (st->ops.changed)
		st->ops.changed(st->ctx, tag, out);
}

static void on_claim_result(void *ctx, const claim_result_t *res)
{
	state_t *st = ctx;

	if (st->ops.claimed)
		st->ops.claimed(st->ctx, res);
}

static void make_components(state_t *st)
{
	const feed_cfg_t feed_cfg = {
		.self = st->cfg.self,
		.fanout = st->cfg.fanout,
		.pull_interval_us = st->cfg.heartbeat_us * FEED_PULL_HEARTBEATS,
		.parent_timeout_us =
			st->cfg.heartbeat_us * FEED_PARENT_TIMEOUT_HEARTBEATS,
		.max_records = FEED_ENTRIES_KEPT,
	};
	const feed_ops_t feed_ops = {state_send_msg, state_feed_apply,
				     state_feed_save, state_feed_load,
				     state_request_feed_parent};
	const forward_ops_t forward_ops = {state_send_msg, on_change_outcome,
					   on_claim_result};
	const intake_ops_t intake_ops = {state_send_msg, intake_append};

	st->feed = feed_new(&feed_cfg, &feed_ops, st);
	st->forward =
		forward_new(st->session, st->cfg.election_us,
			    st->cfg.election_us * FORWARD_TIMEOUT_ELECTIONS,
			    &forward_ops, st);
	st->intake = intake_new(&intake_ops, st);
	st->sessions = sessions_new(st->cfg.lease_us, st->cfg.drift_ppm);
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
	store_seeds(st, st->first_voters, cfg->n_voters);
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
	make_components(st);
	if (state_open_log(st, wal, now_us, err)) {
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
	machine_free(st->replay);
	buf_free(&st->loopback);
	str_free(&st->cfg.zone);
	free(st->first_voters);
	free(st->seeds);
	free(st->pending_renewals);
	free(st->seekers);
	free(st->feed_order);
	free(st->feed_positions);
	free(st->live);
	pthread_mutex_destroy(&st->lock);
	free(st);
}
