/*
 * state_lead.c - the leader's part of the state core: answers session renewals,
 * builds the feed tree, assigns owners to targets, and appends the requests of
 * all daemons to the log.
 */
#include "state_int.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Requests are gathered for this long and appended to the log together. */
#define REQUEST_BATCH_US 200
/* Longest time between two checks of the target owners, in heartbeats. */
#define ASSIGN_INTERVAL_HEARTBEATS 5
/*
 * How long a host must have been live before targets move to it from a working
 * owner, in lease lengths.
 */
#define REBALANCE_STABLE_LEASES 3
/*
 * Most targets that one decision moves from a working owner to their preferred
 * one: all targets divided by the divisor, but at least the minimum.
 */
#define REBALANCE_MOVES_MIN 4u
#define REBALANCE_MOVES_DIVISOR 256u
/* Hosts remembered that look for the leader; the others ask again. */
#define SEEKERS_MAX 1024u

static void send_leads(state_t *st, host_id_t to)
{
	Peer__Leads pb = PEER__LEADS__INIT;

	pb.term = st->last_led_term;
	if (to != st->cfg.self)
		state_send(st, to, PEER__MSG__BODY_LEADS, &pb);
}

void state_lead_begin(state_t *st, int64_t now_us)
{
	st->leading = true;
	st->last_led_term = rlog_term(st->rlog);
	st->led_term_max = st->last_led_term;
	st->log_clock_set = false;
	st->n_pending_renewals = 0;
	st->assign_index = 0;
	st->assign_again = true;
	st->assign_due_us = now_us;
	st->flush_due_us = INT64_MAX;
	st->feed_order_version = 0;
	st->announce_due_us = now_us;
	sessions_reset(st->sessions, st->last_led_term, now_us);
	intake_reset(st->intake);
	st->lease_status_dirty = true;
	st->live_hosts_told = false;
}

void state_lead_end(state_t *st)
{
	st->leading = false;
	st->n_pending_renewals = 0;
	st->flush_due_us = INT64_MAX;
	intake_step_down(st->intake);
	st->lease_status_dirty = true;
}

/* Until the first host row is decided, every host is a member. */
static bool is_member(const state_t *st, host_id_t host)
{
	if (decided_host_count(st->tables) == 0 ||
	    decided_host(st->tables, host))
		return true;
	return rlog_is_voter(st->rlog, host);
}

static int cmp_feed_order(const void *pa, const void *pb, void *arg)
{
	const state_t *st = arg;
	host_id_t a = *(const host_id_t *)pa;
	host_id_t b = *(const host_id_t *)pb;
	const host_t *host_a = decided_host(st->tables, a);
	const host_t *host_b = decided_host(st->tables, b);
	bool voter_a = rlog_is_voter(st->rlog, a);
	bool voter_b = rlog_is_voter(st->rlog, b);
	int r;

	if ((a == st->cfg.self) != (b == st->cfg.self))
		return a == st->cfg.self ? -1 : 1;
	if (voter_a != voter_b)
		return voter_a ? -1 : 1;
	r = str_cmp(host_a ? host_a->zone : STR(""),
		    host_b ? host_b->zone : STR(""));
	if (r)
		return r;
	return (a > b) - (a < b);
}

static int cmp_position_by_host(const void *pa, const void *pb)
{
	host_id_t a = ((const feed_position_t *)pa)->host;
	host_id_t b = ((const feed_position_t *)pb)->host;

	return (a > b) - (a < b);
}

/*
 * The feed tree is an array of the live hosts: the leader first, then the
 * voters, then the others by zone. The parent of position i is at position
 * (i - 1) / fanout. As each parent stands before its children, there can be no
 * cycles.
 */
static void build_feed_order(state_t *st)
{
	size_t n;
	const host_id_t *live = sessions_live(st->sessions, &n);

	if (st->feed_order_version == sessions_live_version(st->sessions))
		return;
	st->feed_order_version = sessions_live_version(st->sessions);
	st->feed_order =
		xrealloc(st->feed_order, (n + 1) * sizeof(*st->feed_order));
	st->feed_order[0] = st->cfg.self;
	st->n_feed_order = 1;
	for (size_t i = 0; i < n; i++)
		if (live[i] != st->cfg.self)
			st->feed_order[st->n_feed_order++] = live[i];
	qsort_r(st->feed_order, st->n_feed_order, sizeof(*st->feed_order),
		cmp_feed_order, st);
	st->feed_positions =
		xrealloc(st->feed_positions,
			 st->n_feed_order * sizeof(*st->feed_positions));
	for (size_t i = 0; i < st->n_feed_order; i++) {
		st->feed_positions[i].host = st->feed_order[i];
		st->feed_positions[i].feed_position = i;
	}
	qsort(st->feed_positions, st->n_feed_order, sizeof(*st->feed_positions),
	      cmp_position_by_host);
}

/* Position in the feed tree; 0, the leader's, for a host not yet in it. */
static size_t feed_position_of(const state_t *st, host_id_t host)
{
	const feed_position_t key = {.host = host};
	const feed_position_t *p =
		bsearch(&key, st->feed_positions, st->n_feed_order,
			sizeof(*st->feed_positions), cmp_position_by_host);

	return p ? p->feed_position : 0;
}

/*
 * The first attempt gives the parent in the tree. Later ones, after a parent
 * has failed, pick a pseudo-random host among those before the child.
 */
static host_id_t feed_parent_of(state_t *st, host_id_t host, uint32_t attempt)
{
	size_t position;
	uint64_t pick;

	build_feed_order(st);
	position = feed_position_of(st, host);
	if (position == 0)
		return st->cfg.self;
	if (attempt == 0)
		return st->feed_order[(position - 1) / st->cfg.fanout];
	pick = rendezvous_score(attempt, host);
	return st->feed_order[pick % position];
}

/* Remembers the latest renewal of each host that looks for the leader. */
static void add_seeker(state_t *st, host_id_t host, uint64_t session,
		       uint64_t sent_us)
{
	size_t i = 0;

	while (i < st->n_seekers && st->seekers[i].host != host)
		i++;
	if (i == SEEKERS_MAX)
		return; /* it asks again */
	if (i == st->n_seekers)
		st->seekers = xrealloc(st->seekers,
				       ++st->n_seekers * sizeof(seeker_t));
	st->seekers[i] = (seeker_t){host, session, sent_us};
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

void state_answer_seekers(state_t *st)
{
	for (size_t i = 0; i < st->n_seekers; i++)
		refuse_renewal(st, st->seekers[i].host, st->seekers[i].session,
			       st->seekers[i].sent_us);
	free(st->seekers);
	st->seekers = NULL;
	st->n_seekers = 0;
}

static void answer_renewal(state_t *st, const pending_renewal_t *renewal)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;
	const session_t *row = sessions_get(st->sessions, renewal->from);
	live_change_t changes[LIVE_CHANGES_KEPT];
	int64_t signed_hosts[LIVE_CHANGES_KEPT];
	size_t n;

	pb.session = renewal->session;
	pb.sent_us = renewal->sent_us;
	pb.term = st->last_led_term;
	pb.lease_index = row ? row->open_index : 0;
	pb.fed_index = feed_index(st->feed);
	pb.not_member = !is_member(st, renewal->from);
	pb.leader = st->cfg.self;
	pb.live_version = sessions_live_version(st->sessions);
	if (renewal->feed)
		pb.parent =
			feed_parent_of(st, renewal->from, renewal->feed_try);
	if (renewal->live_version != pb.live_version &&
	    sessions_live_changes(st->sessions, renewal->live_version, changes,
				  &n)) {
		for (size_t i = 0; i < n; i++)
			signed_hosts[i] = changes[i].live
						  ? (int64_t)changes[i].host
						  : -(int64_t)changes[i].host;
		pb.live_since = renewal->live_version;
		pb.live_changes = signed_hosts;
		pb.n_live_changes = n;
	} else if (renewal->live_version != pb.live_version) {
		pb.has_live = true;
		pb.live = (uint32_t *)sessions_live(st->sessions, &pb.n_live);
	}
	state_send(st, renewal->from, PEER__MSG__BODY_RENEW_RES, &pb);
}

/*
 * Answers the renewals that arrived up to the latest time at which a quorum
 * confirmed this leader. So a leader that has lost its quorum without noticing
 * extends no leases.
 */
static void answer_pending_renewals(state_t *st, int64_t now_us)
{
	int64_t led_until_us;
	size_t n = 0;

	if (!st->n_pending_renewals || !rlog_is_ready_leader(st->rlog))
		return;
	led_until_us = rlog_leadership_confirmed_us(st->rlog, now_us);
	while (n < st->n_pending_renewals &&
	       st->pending_renewals[n].received_us <= led_until_us)
		answer_renewal(st, &st->pending_renewals[n++]);
	memmove(st->pending_renewals, st->pending_renewals + n,
		(st->n_pending_renewals - n) * sizeof(*st->pending_renewals));
	st->n_pending_renewals -= n;
}

static void queue_renewal(state_t *st, host_id_t from, const Peer__Renew *r,
			  int64_t now_us)
{
	pending_renewal_t *renewal;

	if (st->n_pending_renewals == st->cap_pending_renewals) {
		st->cap_pending_renewals =
			st->cap_pending_renewals ? st->cap_pending_renewals * 2
						 : 16;
		st->pending_renewals =
			xrealloc(st->pending_renewals,
				 st->cap_pending_renewals *
					 sizeof(*st->pending_renewals));
	}
	renewal = &st->pending_renewals[st->n_pending_renewals++];
	renewal->from = from;
	renewal->received_us = now_us;
	renewal->session = r->session;
	renewal->sent_us = r->sent_us;
	renewal->live_version = r->live_version;
	renewal->feed_try = r->feed_try;
	renewal->feed = r->feed;
	rlog_request_round(st->rlog, now_us);
}

static void offer_grant(state_t *st, host_id_t from, const Peer__Renew *r)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;

	pb.session = r->session;
	pb.sent_us = r->sent_us;
	pb.term = st->last_led_term;
	pb.grant = sessions_get(st->sessions, from)->offered_grant;
	pb.offered = true;
	state_send(st, from, PEER__MSG__BODY_RENEW_RES, &pb);
}

/*
 * The lease of a session that begins now counts only once its holder has
 * applied all entries so far, as these may have taken targets away from it.
 */
static void set_open_index(state_t *st, host_id_t host)
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

	if (!st->leading && !st->leader) {
		add_seeker(st, from, r->session, r->sent_us);
		return;
	}
	if (!st->leading) {
		refuse_renewal(st, from, r->session, r->sent_us);
		return;
	}
	if (!is_member(st, from)) {
		queue_renewal(st, from, r, now_us);
		return;
	}
	event = sessions_renew(st->sessions, &renewal, now_us);
	if (event == SESSION_GRANT_OFFERED) {
		offer_grant(st, from, r);
		return;
	}
	if (event == SESSION_STARTED)
		set_open_index(st, from);
	if (event == SESSION_STARTED || event == SESSION_LEFT)
		st->assign_due_us = now_us;
	queue_renewal(st, from, r, now_us);
}

static void assign_targets(state_t *st, int64_t now_us)
{
	assignment_t assignments[ASSIGN_CHANGES_MAX];
	AUTO_BUF buf_t data = {0};
	int64_t stable_us = st->cfg.lease_us * REBALANCE_STABLE_LEASES;
	size_t max_moves;
	size_t n;

	st->assign_due_us =
		now_us + st->cfg.heartbeat_us * ASSIGN_INTERVAL_HEARTBEATS;
	/* One decision at a time, on tables that hold all earlier ones. */
	if (!rlog_is_ready_leader(st->rlog) ||
	    rlog_commit(st->rlog) < st->assign_index)
		return;
	state_publish(st);
	if (!st->assign_again &&
	    st->assigned_tables_index == decided_index(st->tables) &&
	    st->assigned_live_version == sessions_live_version(st->sessions))
		return;
	st->assigned_tables_index = decided_index(st->tables);
	st->assigned_live_version = sessions_live_version(st->sessions);
	max_moves = decided_target_count(st->tables) / REBALANCE_MOVES_DIVISOR;
	if (max_moves < REBALANCE_MOVES_MIN)
		max_moves = REBALANCE_MOVES_MIN;
	n = assign_pick_owners(st->tables, st->sessions, now_us, stable_us,
			       max_moves, assignments, &st->assign_again);
	if (!n)
		return;
	machine_pack_assign(&data, assignments, n);
	st->assign_index = rlog_propose(st->rlog, ENTRY_ASSIGN, buf_str(&data));
	rlog_flush(st->rlog, now_us);
	st->assign_due_us = now_us + st->cfg.heartbeat_us;
}

/* Log time; continues from the latest time that an earlier leader logged. */
static uint64_t log_clock_ms(state_t *st, int64_t now_us)
{
	if (!st->log_clock_set) {
		int64_t logged_ms = (int64_t)machine_clock_ms(st->machine);

		st->log_clock_base_us = now_us - logged_ms * USEC_PER_MSEC;
		st->log_clock_set = true;
	}
	return (uint64_t)((now_us - st->log_clock_base_us) / USEC_PER_MSEC);
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
	if (!st->leading || p->term != st->last_led_term) {
		bool led = p->term == st->last_led_term;

		/*
		 * This host knows which proposals it appended only for the
		 * latest term that it led. For any other term, it can be
		 * certain that it did not append this one only if it cannot
		 * have led the term.
		 */
		refuse_proposal(st, from, p,
				led ? !intake_lookup(st->intake, from, p)
				    : p->term > st->led_term_max);
		return;
	}
	if (intake_propose(st->intake, from, p))
		st->flush_due_us =
			min_us(st->flush_due_us, now_us + REQUEST_BATCH_US);
}

/*
 * Tells the hosts that had a session with the earlier leader, which each would
 * ask first. Done once this leader can answer them, as they all answer at once.
 */
static void tell_live_hosts(state_t *st)
{
	st->live_hosts_told = true;
	for (size_t i = 0; i < st->n_live; i++)
		send_leads(st, st->live[i]);
}

/*
 * Tells seeds without a session that this host leads. After a restart, a seed
 * without a disk knows no other host and cannot answer those that ask it for
 * the leader, so the leader has to contact the seeds.
 */
static void announce_to_seeds(state_t *st, int64_t now_us)
{
	st->announce_due_us = now_us + st->cfg.election_us;
	for (size_t i = 0; i < st->n_seeds; i++)
		if (!sessions_is_live(st->sessions, st->seeds[i]))
			send_leads(st, st->seeds[i]);
}

/* The first voter, from number attempt on, that can lead next; 0: none can now. */
static host_id_t pick_successor(const state_t *st, uint32_t attempt,
				int64_t now_us)
{
	host_id_t ids[RLOG_VOTERS_MAX];
	size_t n = rlog_voters(st->rlog, ids, RLOG_VOTERS_MAX);

	for (size_t i = 0; i < n; i++) {
		host_id_t id = ids[(attempt + i) % n];

		if (sessions_is_live(st->sessions, id) &&
		    rlog_can_succeed(st->rlog, id, now_us))
			return id;
	}
	return 0;
}

bool state_ask_successor(state_t *st, bool idle, int64_t now_us)
{
	Peer__Handover pb = PEER__HANDOVER__INIT;
	host_id_t to = pick_successor(st, st->hand_over_attempts, now_us);

	if (!to)
		return false;
	st->hand_over_attempts++;
	pb.term = st->last_led_term;
	pb.idle = idle;
	log_event(LOG_NOTICE, "handover", kv_u("host", to),
		  kv_u("term", st->last_led_term), kv_u("idle", idle));
	state_send(st, to, PEER__MSG__BODY_HANDOVER, &pb);
	return true;
}

int64_t state_hand_over(state_t *st, int64_t now_us)
{
	bool idle = st->idle_term == st->last_led_term;

	if (!st->leaving)
		return INT64_MAX;
	if (now_us < st->hand_over_due_us)
		return st->hand_over_due_us;
	st->hand_over_due_us = now_us + st->cfg.heartbeat_us;
	if (state_ask_successor(st, idle, now_us))
		st->hand_over_due_us = now_us + st->cfg.election_us;
	return st->hand_over_due_us;
}

void state_lead_tick(state_t *st, int64_t now_us)
{
	if (sessions_expire(st->sessions, now_us))
		st->assign_due_us = now_us;
	if (now_us >= st->flush_due_us && rlog_is_ready_leader(st->rlog)) {
		st->flush_due_us = INT64_MAX;
		intake_flush(st->intake, log_clock_ms(st, now_us));
		rlog_flush(st->rlog, now_us);
	}
	if (now_us >= st->assign_due_us)
		assign_targets(st, now_us);
	if (now_us >= st->announce_due_us)
		announce_to_seeds(st, now_us);
	answer_pending_renewals(st, now_us);
	if (!st->live_hosts_told && rlog_is_ready_leader(st->rlog))
		tell_live_hosts(st);
}
