/*
 * state_hold.c - each daemon's side of its session: renewals, lease,
 * freshness, and whom it takes for the leader.
 */
#include "state_int.h"

#include <stdlib.h>
#include <string.h>

/* Renewals are sent at a quarter of the shorter of lease and staleness. */
#define RENEW_DIV 4
/* Between two tries to reach a leader, in heartbeats. */
#define SEEK_HEARTBEATS 2
#define FALLBACK_VOTERS 16u

static int64_t renew_interval(const state_t *st)
{
	return min_us(st->cfg.lease_us, st->cfg.stale_us) / RENEW_DIV;
}

/* The seeds, and the voters that the tables name. */
static host_id_t seek_voter(const state_t *st, uint32_t attempt)
{
	host_id_t ids[FALLBACK_VOTERS];
	size_t n = 0;

	for (size_t i = 0; i < st->n_seeds && n < FALLBACK_VOTERS; i++)
		ids[n++] = st->seeds[i];
	for (size_t i = 0; i < decided_host_count(st->tables); i++) {
		const host_t *h = decided_host_at(st->tables, i);

		if (h->voter && n < FALLBACK_VOTERS)
			ids[n++] = h->id;
	}
	return n ? ids[attempt % n] : 0;
}

void state_send_renew(state_t *st, int64_t now_us)
{
	Peer__Renew pb = PEER__RENEW__INIT;
	host_id_t to = st->leader;
	int64_t silent = renew_interval(st) * 2;

	if (!to || now_us - st->last_answer_us > silent) {
		/* The known leader does not answer: try the voters in turn. */
		if (!to || st->seek % 2 == 0)
			to = seek_voter(st, st->seek / 2);
		st->seek++;
		st->renew_due_us =
			now_us + st->cfg.heartbeat_us * SEEK_HEARTBEATS;
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
	pb.leave = st->left;
	pb.grant = st->grant;
	pb.feed = !state_has_log(st);
	state_send(st, to, PEER__MSG__BODY_RENEW, &pb);
}

static void extend(state_t *st, int64_t *until_us, int64_t to_us)
{
	if (to_us <= *until_us)
		return;
	*until_us = to_us;
	st->lease_status_dirty = true;
}

/* Moves lease and freshness on to what is confirmed and in force here. */
void state_settle_confirms(state_t *st, int64_t now_us)
{
	uint64_t index = feed_index(st->feed);
	bool behind = false;

	for (size_t i = 0; i < CONFIRMS; i++) {
		confirm_t *c = &st->confirms[i];

		if (!c->sent_us)
			continue;
		if (c->lease_index <= index)
			extend(st, &st->lease_until_us,
			       c->sent_us + lease_holder_us(st->cfg.lease_us,
							    st->cfg.drift_ppm));
		if (c->fresh_index <= index)
			extend(st, &st->tables_confirmed_us, c->sent_us);
		if (c->fresh_index <= index)
			extend(st, &st->tables_fresh_until_us,
			       c->sent_us + st->cfg.stale_us);
		if (c->lease_index <= index && c->fresh_index <= index)
			c->sent_us = 0;
		else
			behind = true;
	}
	if (!behind)
		st->behind_since_us = now_us;
}

static void add_confirm(state_t *st, const Peer__RenewRes *r)
{
	confirm_t *oldest = &st->confirms[0];

	for (size_t i = 1; i < CONFIRMS; i++)
		if (st->confirms[i].sent_us < oldest->sent_us)
			oldest = &st->confirms[i];
	oldest->sent_us = (int64_t)r->sent_us;
	oldest->fresh_index = r->fed_index;
	oldest->lease_index = r->lease_index;
}

void state_set_leader(state_t *st, host_id_t leader, uint64_t term,
		      int64_t now_us)
{
	if (!leader || term < st->leader_term ||
	    (term == st->leader_term && leader == st->leader))
		return;
	st->leader = leader;
	st->leader_term = term;
	if (st->rlog)
		rlog_add_peer(st->rlog, leader);
	st->renew_due_us = now_us;
	st->lease_status_dirty = true;
}

static void note_live(state_t *st, uint64_t version)
{
	st->live_version = version;
	st->feed_try = 0;
	st->lease_status_dirty = true;
}

/* Host > 0 has come, -host has gone. */
static void change_live(state_t *st, int64_t change)
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

static void take_live(state_t *st, const Peer__RenewRes *r)
{
	if (r->n_live_changes && r->live_since == st->live_version) {
		for (size_t i = 0; i < r->n_live_changes; i++)
			change_live(st, r->live_changes[i]);
		note_live(st, r->live_version);
	}
	if (!r->has_live)
		return;
	st->live = xrealloc(st->live, r->n_live * sizeof(*st->live) + 1);
	memcpy(st->live, r->live, r->n_live * sizeof(*st->live));
	st->n_live = r->n_live;
	note_live(st, r->live_version);
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
	take_live(st, r);
	if (!state_has_log(st))
		feed_set_parent(st->feed, r->parent, now_us);
	if (st->left)
		st->leave_answered = true;
	else
		add_confirm(st, r);
}

/* A parent that is alive, but does not move on itself, is no parent. */
void state_look_at_feed(state_t *st, int64_t now_us)
{
	int64_t bound = st->cfg.heartbeat_us * FEED_SILENT_HEARTBEATS;

	if (state_has_log(st) || now_us - st->behind_since_us < bound)
		return;
	st->behind_since_us = now_us;
	state_orphaned(st);
}

void state_report_lease_status(state_t *st, int64_t now_us)
{
	lease_status_t s = {0};

	if (!st->lease_status_dirty)
		return;
	st->lease_status_dirty = false;
	s.lease_until_us = st->left ? INT64_MIN : st->lease_until_us;
	s.tables_fresh_until_us =
		st->left ? INT64_MIN : st->tables_fresh_until_us;
	s.tables_confirmed_us = st->left ? INT64_MIN : st->tables_confirmed_us;
	s.leader = st->leader;
	s.term = st->leader_term;
	s.is_leader = st->leading && rlog_is_ready_leader(st->rlog);
	s.live = st->live;
	s.n_live = st->n_live;
	if (st->ops.lease_status)
		st->ops.lease_status(st->ctx, &s);
}

/* The leader that requests may be sent to; 0 where none is known to lead. */
host_id_t state_leader_for_requests(const state_t *st, int64_t now_us)
{
	if (st->rlog && !rlog_leader(st->rlog))
		return 0;
	if (!st->rlog && now_us - st->last_answer_us > renew_interval(st) * 2)
		return 0;
	return st->leader;
}
