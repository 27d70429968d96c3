/*
 * state_hold.c - each daemon's side of its own session: sends renewals, tracks
 * lease and freshness, and learns which host is the leader.
 */
#include "state_int.h"

#include <stdlib.h>
#include <string.h>

/*
 * Renewals are sent at a quarter of the lease or of the maximum staleness,
 * whichever is shorter.
 */
#define RENEW_DIVISOR 4
/* Time between two tries to find the leader, in heartbeats. */
#define SEEK_RETRY_HEARTBEATS 2
#define SEEK_HOSTS_MAX 16u

static int64_t renew_interval(const state_t *st)
{
	return min_us(st->cfg.lease_us, st->cfg.max_staleness_us) /
	       RENEW_DIVISOR;
}

/*
 * Picks a host to ask for the leader: seeds and known voters in turn, and in between the
 * hosts that had a session, as all seeds may be gone for good.
 */
static host_id_t seek_host(const state_t *st, uint32_t attempt)
{
	host_id_t ids[SEEK_HOSTS_MAX];
	size_t n = 0;

	if (st->n_live && attempt % 2)
		return st->live[rendezvous_score(attempt, st->cfg.self) %
				st->n_live];
	if (st->n_live)
		attempt /= 2;

	for (size_t i = 0; i < st->n_seeds && n < SEEK_HOSTS_MAX; i++)
		ids[n++] = st->seeds[i];
	for (size_t i = 0; i < decided_host_count(st->tables); i++) {
		const host_t *h = decided_host_at(st->tables, i);

		if (h->voter && n < SEEK_HOSTS_MAX)
			ids[n++] = h->id;
	}
	return n ? ids[attempt % n] : 0;
}

void state_send_renew(state_t *st, int64_t now_us)
{
	Peer__Renew pb = PEER__RENEW__INIT;
	host_id_t to = st->leader;
	int64_t max_silence_us = renew_interval(st) * 2;

	if (!to || now_us - st->last_answer_us > max_silence_us) {
		/*
		 * No known leader, or it does not answer: alternate between
		 * it, if known, and the other hosts that may know the leader.
		 */
		if (!to || st->seek_attempts % 2 == 0)
			to = seek_host(st, st->seek_attempts / 2);
		st->seek_attempts++;
		st->renew_due_us =
			now_us + st->cfg.heartbeat_us * SEEK_RETRY_HEARTBEATS;
	} else {
		st->renew_due_us = now_us + renew_interval(st);
	}
	st->last_renew_us = now_us;
	if (!to)
		return;
	pb.session = st->session;
	pb.sent_us = (uint64_t)now_us;
	pb.index = feed_index(st->feed);
	pb.revision = decided_revision(st->tables);
	pb.live_version = st->live_version;
	pb.feed_try = st->feed_try;
	pb.leave = st->leaving;
	pb.grant = st->grant;
	pb.feed = state_uses_feed(st);
	state_send(st, to, PEER__MSG__BODY_RENEW, &pb);
}

static void extend_until(state_t *st, int64_t *until_us, int64_t new_until_us)
{
	if (new_until_us <= *until_us)
		return;
	*until_us = new_until_us;
	st->lease_status_dirty = true;
}

/* Extends lease and freshness by the confirmations whose index is applied. */
void state_apply_confirmations(state_t *st, int64_t now_us)
{
	uint64_t applied_index = feed_index(st->feed);
	bool behind = false;

	for (size_t i = 0; i < CONFIRMATIONS_MAX; i++) {
		confirmation_t *c = &st->confirmations[i];

		if (!c->sent_us)
			continue;
		if (c->lease_index <= applied_index)
			extend_until(st, &st->lease_until_us,
				     c->sent_us + lease_holder_us(
							  st->cfg.lease_us,
							  st->cfg.drift_ppm));
		if (c->fresh_index <= applied_index)
			extend_until(st, &st->tables_confirmed_us, c->sent_us);
		if (c->fresh_index <= applied_index)
			extend_until(st, &st->tables_fresh_until_us,
				     c->sent_us + st->cfg.max_staleness_us);
		if (c->lease_index <= applied_index &&
		    c->fresh_index <= applied_index)
			c->sent_us = 0;
		else
			behind = true;
	}
	if (!behind)
		st->behind_since_us = now_us;
}

static void add_confirmation(state_t *st, const Peer__RenewRes *r)
{
	confirmation_t *oldest = &st->confirmations[0];

	for (size_t i = 1; i < CONFIRMATIONS_MAX; i++)
		if (st->confirmations[i].sent_us < oldest->sent_us)
			oldest = &st->confirmations[i];
	oldest->sent_us = (int64_t)r->sent_us;
	oldest->fresh_index = r->fed_index;
	oldest->lease_index = r->lease_index;
}

void state_set_leader(state_t *st, host_id_t leader, uint64_t term,
		      int64_t next_renew_us)
{
	if (!leader || term < st->leader_term ||
	    (term == st->leader_term && leader == st->leader))
		return;
	st->leader = leader;
	st->leader_term = term;
	st->seek_attempts |= 1; /* the next renewal goes to the leader */
	if (st->rlog)
		rlog_add_peer(st->rlog, leader);
	st->renew_due_us = next_renew_us;
	st->lease_status_dirty = true;
}

/*
 * Another set of live hosts gives another feed tree: the count of feed parents
 * that failed starts again.
 */
static void set_live_version(state_t *st, uint64_t version)
{
	st->live_version = version;
	st->feed_try = 0;
	st->lease_status_dirty = true;
}

/* A positive change is a host whose session began; -host is one that ended. */
static void apply_live_change(state_t *st, int64_t change)
{
	host_id_t host = (host_id_t)(change < 0 ? -change : change);
	size_t i = 0;

	while (i < st->n_live && st->live[i] < host)
		i++;
	if (i < st->n_live && st->live[i] == host) {
		if (change > 0)
			return;
		st->n_live--;
		memmove(&st->live[i], &st->live[i + 1],
			(st->n_live - i) * sizeof(*st->live));
		return;
	}
	if (change < 0)
		return;
	st->live = xrealloc(st->live, (st->n_live + 1) * sizeof(*st->live));
	memmove(&st->live[i + 1], &st->live[i],
		(st->n_live - i) * sizeof(*st->live));
	st->live[i] = host;
	st->n_live++;
}

static void update_live(state_t *st, const Peer__RenewRes *r)
{
	if (r->n_live_changes && r->live_since == st->live_version) {
		for (size_t i = 0; i < r->n_live_changes; i++)
			apply_live_change(st, r->live_changes[i]);
		set_live_version(st, r->live_version);
	}
	if (!r->has_live)
		return;
	st->live = xrealloc(st->live, r->n_live * sizeof(*st->live) + 1);
	if (r->n_live)
		memcpy(st->live, r->live, r->n_live * sizeof(*st->live));
	st->n_live = r->n_live;
	set_live_version(st, r->live_version);
}

void state_on_renew_res(state_t *st, host_id_t from, const Peer__RenewRes *r,
			int64_t now_us)
{
	int64_t sent_us = (int64_t)r->sent_us;

	if (r->session != st->session || sent_us > now_us)
		return;
	if (r->refused) {
		state_set_leader(st, r->leader, r->term, now_us);
		return;
	}
	if (r->term < st->leader_term)
		return;
	state_set_leader(st, from, r->term, now_us + renew_interval(st));
	st->last_answer_us = now_us;
	if (r->offered) {
		if (st->grant != r->grant)
			st->renew_due_us = now_us;
		st->grant = r->grant;
		return;
	}
	st->not_member = r->not_member;
	if (r->not_member)
		return;
	update_live(st, r);
	if (state_uses_feed(st))
		feed_set_parent(st->feed, r->parent, now_us);
	if (!st->leaving)
		add_confirmation(st, r);
}

/*
 * Requests another feed parent if this host has been behind for too long: its
 * parent is alive but does not advance itself.
 */
void state_check_feed_progress(state_t *st, int64_t now_us)
{
	int64_t max_behind_us =
		st->cfg.heartbeat_us * FEED_PARENT_TIMEOUT_HEARTBEATS;

	if (!state_uses_feed(st) ||
	    now_us - st->behind_since_us < max_behind_us)
		return;
	st->behind_since_us = now_us;
	state_request_feed_parent(st);
}

void state_report_lease_status(state_t *st, int64_t now_us)
{
	lease_status_t s = {0};

	if (!st->lease_status_dirty)
		return;
	st->lease_status_dirty = false;
	s.lease_until_us = st->leaving ? INT64_MIN : st->lease_until_us;
	s.tables_fresh_until_us =
		st->leaving ? INT64_MIN : st->tables_fresh_until_us;
	s.tables_confirmed_us =
		st->leaving ? INT64_MIN : st->tables_confirmed_us;
	s.leader = st->leader;
	s.term = st->leader_term;
	s.is_leader = st->leading && rlog_is_ready_leader(st->rlog);
	s.predecessor_idle = s.is_leader && s.term == st->idle_handover_term;
	s.live = st->live;
	s.n_live = st->n_live;
	if (st->ops.lease_status)
		st->ops.lease_status(st->ctx, &s);
}

host_id_t state_leader_for_requests(const state_t *st, int64_t now_us)
{
	if (st->rlog && !rlog_leader(st->rlog))
		return 0;
	if (!st->rlog && now_us - st->last_answer_us > renew_interval(st) * 2)
		return 0;
	return st->leader;
}
