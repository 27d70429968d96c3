/*
 * state_lead.c - the leader's side of the state core: answers renewals, builds
 * the feed tree, names the owners of targets, takes requests in.
 */
#include "state_int.h"

#include <stdlib.h>
#include <string.h>

/* Requests gather for so long before they go to the log. */
#define FLUSH_US 200
/* Owners are looked over at least so often, in heartbeats. */
#define ASSIGN_HEARTBEATS 5
/* A host that came back gets targets again after so many leases. */
#define SETTLE_LEASES 3
/* Targets that move to their first choice at once: this many, or this part. */
#define BALANCE_MOVES 4u
#define BALANCE_PART 256u

void state_lead_begin(state_t *st, int64_t now_us)
{
	st->leading = true;
	st->leading_term = rlog_term(st->rlog);
	st->led_term = st->leading_term;
	st->clock_set = false;
	st->n_held = 0;
	st->assign_index = 0;
	st->assign_waits = true;
	st->assign_due_us = now_us;
	st->flush_due_us = INT64_MAX;
	st->order_version = 0;
	st->tell_due_us = now_us;
	sessions_reset(st->sessions, st->leading_term, now_us);
	intake_reset(st->intake);
	st->lease_status_dirty = true;
}

void state_lead_end(state_t *st)
{
	st->leading = false;
	st->n_held = 0;
	st->flush_due_us = INT64_MAX;
	intake_end(st->intake);
	st->lease_status_dirty = true;
}

static bool is_member(const state_t *st, host_id_t host)
{
	if (decided_host_count(st->tables) == 0 ||
	    decided_host(st->tables, host))
		return true;
	return rlog_is_voter(st->rlog, host);
}

static int cmp_order(const void *pa, const void *pb, void *arg)
{
	const state_t *st = arg;
	host_id_t a = *(const host_id_t *)pa;
	host_id_t b = *(const host_id_t *)pb;
	const host_t *ha = decided_host(st->tables, a);
	const host_t *hb = decided_host(st->tables, b);
	bool va = rlog_is_voter(st->rlog, a);
	bool vb = rlog_is_voter(st->rlog, b);
	int r;

	if ((a == st->cfg.self) != (b == st->cfg.self))
		return a == st->cfg.self ? -1 : 1;
	if (va != vb)
		return va ? -1 : 1;
	r = str_cmp(ha ? ha->zone : STR(""), hb ? hb->zone : STR(""));
	if (r)
		return r;
	return (a > b) - (a < b);
}

static int cmp_place(const void *pa, const void *pb)
{
	host_id_t a = ((const place_t *)pa)->host;
	host_id_t b = ((const place_t *)pb)->host;

	return (a > b) - (a < b);
}

/*
 * The tree of the feed: live hosts in one order, the leader first, then the
 * voters, then the others by zone; the parent of place i is at (i - 1) /
 * fanout. Every parent is before its child, so there are no rings.
 */
static void build_order(state_t *st)
{
	size_t n;
	const host_id_t *live = sessions_live(st->sessions, &n);

	if (st->order_version == sessions_version(st->sessions))
		return;
	st->order_version = sessions_version(st->sessions);
	st->order = xrealloc(st->order, (n + 1) * sizeof(*st->order));
	st->order[0] = st->cfg.self;
	st->n_order = 1;
	for (size_t i = 0; i < n; i++)
		if (live[i] != st->cfg.self)
			st->order[st->n_order++] = live[i];
	qsort_r(st->order, st->n_order, sizeof(*st->order), cmp_order, st);
	st->places = xrealloc(st->places, st->n_order * sizeof(*st->places));
	for (size_t i = 0; i < st->n_order; i++) {
		st->places[i].host = st->order[i];
		st->places[i].place = i;
	}
	qsort(st->places, st->n_order, sizeof(*st->places), cmp_place);
}

/* Place of a host in the tree; 0, the leader's, where it has none yet. */
static size_t place_of(const state_t *st, host_id_t host)
{
	const place_t key = {.host = host};
	const place_t *p = bsearch(&key, st->places, st->n_order,
				   sizeof(*st->places), cmp_place);

	return p ? p->place : 0;
}

static host_id_t parent_of(state_t *st, host_id_t host, uint32_t attempt)
{
	size_t place;
	uint64_t pick;

	build_order(st);
	place = place_of(st, host);
	if (place == 0)
		return st->cfg.self;
	if (attempt == 0)
		return st->order[(place - 1) / st->cfg.fanout];
	pick = rendezvous_score(attempt, host);
	return st->order[pick % place];
}

static void refuse_renewal(state_t *st, host_id_t from, uint64_t session,
			   uint64_t sent_us)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;

	pb.session = session;
	pb.sent_us = sent_us;
	pb.refused = true;
	pb.leader = st->leader;
	pb.term = st->leader_term;
	state_send(st, from, PEER__MSG__BODY_RENEW_RES, &pb);
}

static void answer_renewal(state_t *st, const held_renewal_t *h)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;
	const session_t *row = sessions_get(st->sessions, h->from);
	live_change_t changes[LIVE_CHANGES_KEPT];
	int64_t signs[LIVE_CHANGES_KEPT];
	size_t n;

	pb.session = h->session;
	pb.sent_us = h->sent_us;
	pb.term = st->leading_term;
	pb.lease_index = row ? row->open_index : 0;
	pb.fed_index = feed_index(st->feed);
	pb.not_member = !is_member(st, h->from);
	pb.leader = st->cfg.self;
	pb.live_version = sessions_version(st->sessions);
	if (h->feed)
		pb.parent = parent_of(st, h->from, h->feed_try);
	if (h->live_version != pb.live_version &&
	    sessions_changes(st->sessions, h->live_version, changes, &n)) {
		for (size_t i = 0; i < n; i++)
			signs[i] = changes[i].live ? (int64_t)changes[i].host
						   : -(int64_t)changes[i].host;
		pb.live_since = h->live_version;
		pb.live_changes = signs;
		pb.n_live_changes = n;
	} else if (h->live_version != pb.live_version) {
		pb.has_live = true;
		pb.live = (uint32_t *)sessions_live(st->sessions, &pb.n_live);
	}
	state_send(st, h->from, PEER__MSG__BODY_RENEW_RES, &pb);
}

/*
 * Answers the renewals that arrived before a moment at which this leader is
 * known to have led: one that was cut off silently answers none.
 */
static void answer_held(state_t *st, int64_t now_us)
{
	int64_t confirmed;
	size_t n = 0;

	if (!st->n_held || !rlog_is_ready_leader(st->rlog))
		return;
	confirmed = rlog_leadership_confirmed_us(st->rlog, now_us);
	while (n < st->n_held && st->held[n].arrived_us <= confirmed)
		answer_renewal(st, &st->held[n++]);
	memmove(st->held, st->held + n, (st->n_held - n) * sizeof(*st->held));
	st->n_held -= n;
}

static void hold_renewal(state_t *st, host_id_t from, const Peer__Renew *r,
			 int64_t now_us)
{
	held_renewal_t *h;

	if (st->n_held == st->cap_held) {
		st->cap_held = st->cap_held ? st->cap_held * 2 : 16;
		st->held = xrealloc(st->held, st->cap_held * sizeof(*st->held));
	}
	h = &st->held[st->n_held++];
	h->from = from;
	h->arrived_us = now_us;
	h->session = r->session;
	h->sent_us = r->sent_us;
	h->live_version = r->live_version;
	h->feed_try = r->feed_try;
	h->feed = r->feed;
	rlog_request_round(st->rlog, now_us);
}

static void offer_grant(state_t *st, host_id_t from, const Peer__Renew *r)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;

	pb.session = r->session;
	pb.sent_us = r->sent_us;
	pb.term = st->leading_term;
	pb.grant = sessions_get(st->sessions, from)->offered_grant;
	pb.offered = true;
	state_send(st, from, PEER__MSG__BODY_RENEW_RES, &pb);
}

static void note_begun(state_t *st, host_id_t host)
{
	uint64_t index =
		rlog_last_unapplied(st->rlog, ENTRY_CHANGE, ENTRY_ASSIGN);

	sessions_set_open_index(st->sessions, host,
				index ? index : feed_index(st->feed));
}

void state_on_renew(state_t *st, host_id_t from, const Peer__Renew *r,
		    int64_t now_us)
{
	const session_renewal_t renewal = {from,     r->session,  r->grant,
					   r->index, r->revision, r->leave};
	session_event_t event;

	if (!st->leading) {
		refuse_renewal(st, from, r->session, r->sent_us);
		return;
	}
	if (!is_member(st, from)) {
		hold_renewal(st, from, r, now_us);
		return;
	}
	event = sessions_renew(st->sessions, &renewal, now_us);
	if (event == SESSION_OFFERED) {
		offer_grant(st, from, r);
		return;
	}
	if (event == SESSION_BEGUN)
		note_begun(st, from);
	if (event == SESSION_BEGUN || event == SESSION_LEFT)
		st->assign_due_us = now_us;
	hold_renewal(st, from, r, now_us);
}

static void assign_targets(state_t *st, int64_t now_us)
{
	assignment_t picks[ASSIGN_MAX];
	AUTO_BUF buf_t data = {0};
	int64_t settle = st->cfg.lease_us * SETTLE_LEASES;
	size_t moves;
	size_t n;

	st->assign_due_us = now_us + st->cfg.heartbeat_us * ASSIGN_HEARTBEATS;
	/* One decision at a time, on tables that hold all earlier ones. */
	if (!rlog_is_ready_leader(st->rlog) ||
	    rlog_commit(st->rlog) < st->assign_index)
		return;
	state_publish(st);
	if (!st->assign_waits &&
	    st->assigned_index == decided_index(st->tables) &&
	    st->assigned_version == sessions_version(st->sessions))
		return;
	st->assigned_index = decided_index(st->tables);
	st->assigned_version = sessions_version(st->sessions);
	moves = decided_target_count(st->tables) / BALANCE_PART;
	if (moves < BALANCE_MOVES)
		moves = BALANCE_MOVES;
	n = assign_pick(st->tables, st->sessions, now_us, settle, moves, picks,
			&st->assign_waits);
	if (!n)
		return;
	machine_pack_assign(&data, picks, n);
	st->assign_index = rlog_propose(st->rlog, ENTRY_ASSIGN, buf_str(&data));
	rlog_flush(st->rlog, now_us);
	st->assign_due_us = now_us + st->cfg.heartbeat_us;
}

/* Time of the log: goes on from where the last leader's left off. */
static uint64_t clock_ms(state_t *st, int64_t now_us)
{
	if (!st->clock_set) {
		int64_t ms = (int64_t)machine_clock_ms(st->machine);

		st->clock_base_us = now_us - ms * USEC_PER_MSEC;
		st->clock_set = true;
	}
	return (uint64_t)((now_us - st->clock_base_us) / USEC_PER_MSEC);
}

static void refuse_proposal(state_t *st, host_id_t from, const Peer__Propose *p,
			    bool certain)
{
	Peer__ProposeRes pb = PEER__PROPOSE_RES__INIT;

	pb.id = p->id;
	pb.session = p->session;
	pb.attempt = p->attempt;
	pb.refused = true;
	pb.certain = certain;
	pb.leader = st->leader;
	pb.leader_term = st->leader_term;
	state_send(st, from, PEER__MSG__BODY_PROPOSE_RES, &pb);
}

void state_on_propose(state_t *st, host_id_t from, const Peer__Propose *p,
		      int64_t now_us)
{
	if (!st->leading || p->term != st->leading_term) {
		bool led = p->term == st->leading_term;

		/* Of earlier terms it does not know what it appended. */
		refuse_proposal(st, from, p,
				led ? !intake_knows(st->intake, from, p)
				    : p->term > st->led_term);
		return;
	}
	if (intake_take(st->intake, from, p))
		st->flush_due_us = min_us(st->flush_due_us, now_us + FLUSH_US);
}

/*
 * A seed without a disk knows nobody after a restart, and those who ask it
 * learn nothing from it: so the leader comes to the seeds.
 */
static void tell_seeds(state_t *st, int64_t now_us)
{
	Peer__Leads pb = PEER__LEADS__INIT;

	st->tell_due_us = now_us + st->cfg.election_us;
	pb.term = st->leading_term;
	for (size_t i = 0; i < st->n_seeds; i++)
		if (st->seeds[i] != st->cfg.self &&
		    !sessions_is_live(st->sessions, st->seeds[i]))
			state_send(st, st->seeds[i], PEER__MSG__BODY_LEADS,
				   &pb);
}

void state_lead_tick(state_t *st, int64_t now_us)
{
	if (sessions_expire(st->sessions, now_us))
		st->assign_due_us = now_us;
	if (now_us >= st->flush_due_us && rlog_is_ready_leader(st->rlog)) {
		st->flush_due_us = INT64_MAX;
		intake_flush(st->intake, clock_ms(st, now_us));
		rlog_flush(st->rlog, now_us);
	}
	if (now_us >= st->assign_due_us)
		assign_targets(st, now_us);
	if (now_us >= st->tell_due_us)
		tell_seeds(st, now_us);
	answer_held(st, now_us);
}
