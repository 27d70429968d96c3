/*
 * state.c - the state core of one daemon: puts log, machine, sessions,
 * assignment, feed and forwarding together behind one lock.
 */
#include "state.h"

#include "assign.h"
#include "feed.h"
#include "forward.h"
#include "log.h"
#include "machine.h"
#include "rlog.h"
#include "session.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

/* Renewals are sent at a quarter of the shorter of lease and staleness. */
#define RENEW_DIV 4
/* Between two tries to reach a leader, in heartbeats. */
#define SEEK_HEARTBEATS 2
#define FEED_BEAT_HEARTBEATS 5
#define FEED_SILENT_HEARTBEATS 11
#define FEED_KEEP 4096u
/* Requests gather for so long before they go to the log. */
#define FLUSH_US 200
#define FORWARD_TIMEOUT_ELECTIONS 8
/* Owners are looked over at least so often, in heartbeats. */
#define ASSIGN_HEARTBEATS 5
/* A host that came back gets targets again after so many leases. */
#define SETTLE_LEASES 3
#define BALANCE_MOVES 4u
/* Renewals whose confirmed index is not applied yet. */
#define CONFIRMS 8u
#define FALLBACK_VOTERS 16u

typedef struct held_renewal {
	host_id_t from;
	int64_t arrived_us;
	uint64_t session;
	uint64_t sent_us;
	uint64_t live_version;
	uint32_t feed_try;
} held_renewal_t;

typedef struct place {
	host_id_t host;
	size_t place;
} place_t;

/* An answered renewal, until what it asks for is in force here. */
typedef struct confirm {
	int64_t sent_us;      /* 0: unused */
	uint64_t fresh_index; /* for freshness */
	uint64_t lease_index; /* for the lease */
} confirm_t;

struct state {
	pthread_mutex_t lock;
	state_cfg_t cfg;
	host_id_t *first_voters; /* owned */
	state_ops_t ops;
	void *ctx;
	timer_svc_t *timers;
	timer_sub_t timer;
	uint64_t session; /* nonce of this start */

	machine_t *machine;
	decided_t *tables; /* in force; one reference */
	bool tables_dirty;
	rlog_t *rlog; /* NULL without disk, or once it has failed */
	wal_err_t log_error;
	feed_t *feed;
	forward_t *forward;
	intake_t *intake;
	sessions_t *sessions;
	buf_t loopback; /* messages to itself: length, bytes */

	/* Leader. */
	bool leading;
	uint64_t leading_term; /* latest that this process led */
	uint64_t led_term;     /* latest that this host may have led */
	bool clock_set;
	int64_t clock_base_us; /* cluster time 0 on the own clock */
	held_renewal_t *held;
	size_t n_held;
	size_t cap_held;
	int64_t flush_due_us;
	int64_t assign_due_us;
	uint64_t assign_index; /* of the latest assignment, may be undecided */
	bool assign_waits;     /* something hangs on time or on an owner */
	uint64_t assigned_index; /* tables and live hosts looked at last */
	uint64_t assigned_version;
	uint64_t sink_index; /* record being applied */
	host_id_t *order;    /* live hosts in the order of the feed tree */
	place_t *places;     /* of the same hosts, ascending by host */
	size_t n_order;
	uint64_t order_version;

	/* Holder of a session. */
	host_id_t leader; /* whom renewals go to; 0: seek */
	uint64_t leader_term;
	int64_t lease_until_us;
	int64_t fresh_until_us;
	confirm_t confirms[CONFIRMS];
	int64_t behind_since_us;
	int64_t renew_due_us;
	int64_t last_renew_us;
	int64_t last_answer_us;
	uint32_t seek;
	uint64_t grant; /* by the leader; see session.h */
	uint32_t feed_try;
	bool left;
	bool leave_answered;
	bool not_member;
	host_id_t *live;
	size_t n_live;
	uint64_t live_version;
	bool standing_dirty;
};

static int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static bool has_log(const state_t *st)
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

static void send_body(state_t *st, host_id_t to, Peer__Msg__BodyCase which,
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
	return kind == ENTRY_CHANGE || kind == ENTRY_ASSIGN;
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
	if (is_fed(rec->kind))
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

	if (has_log(st) || !is_fed(kind))
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

	if (has_log(st) || index <= feed_index(st->feed))
		return -1;
	if (machine_load(st->machine, bytes))
		return -1;
	st->tables_dirty = true;
	return 0;
}

/* Asks the leader for another parent. */
static void feed_orphaned(void *ctx)
{
	state_t *st = ctx;

	st->feed_try++;
	st->renew_due_us = timer_svc_now(st->timers);
}

static void publish_tables(state_t *st)
{
	if (!st->tables_dirty)
		return;
	st->tables_dirty = false;
	decided_unref(st->tables);
	st->tables = machine_tables(st->machine);
	if (st->ops.tables)
		st->ops.tables(st->ctx, st->tables);
	/* Lets the leader know soon what is in force here. */
	if (st->last_renew_us + st->cfg.heartbeat_us < st->renew_due_us)
		st->renew_due_us = st->last_renew_us + st->cfg.heartbeat_us;
}

/* Leader. */

static void begin_leading(state_t *st, int64_t now_us)
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
	sessions_reset(st->sessions, st->leading_term, now_us);
	intake_reset(st->intake);
	st->standing_dirty = true;
}

static void end_leading(state_t *st)
{
	st->leading = false;
	st->n_held = 0;
	st->flush_due_us = INT64_MAX;
	intake_end(st->intake);
	st->standing_dirty = true;
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
		if (st->leading)
			end_leading(st);
		st->leader = 0;
		st->renew_due_us = now_us;
		return;
	}
	leads = rlog_is_leader(st->rlog);
	if (st->leading && (!leads || st->leading_term != rlog_term(st->rlog)))
		end_leading(st);
	if (leads && !st->leading)
		begin_leading(st, now_us);
	if (rlog_leader(st->rlog) && rlog_term(st->rlog) >= st->leader_term &&
	    (rlog_leader(st->rlog) != st->leader ||
	     rlog_term(st->rlog) != st->leader_term)) {
		st->leader = rlog_leader(st->rlog);
		st->leader_term = rlog_term(st->rlog);
		st->renew_due_us = now_us;
		st->standing_dirty = true;
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
 * Operators take a voter out by a decided row that says so. Rows that mark no
 * voters at all take nobody out.
 */
static bool log_wanted(void *ctx, host_id_t id)
{
	const state_t *st = ctx;
	const host_t *h = decided_host(st->tables, id);

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
	if (rlog_is_voter(st->rlog, host))
		return 0;
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
	send_body(st, from, PEER__MSG__BODY_RENEW_RES, &pb);
}

static void answer_renewal(state_t *st, const held_renewal_t *h)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;
	const session_t *row = sessions_get(st->sessions, h->from);
	live_change_t changes[LIVE_CHANGES_KEPT];
	int32_t signs[LIVE_CHANGES_KEPT];
	size_t n;

	pb.session = h->session;
	pb.sent_us = h->sent_us;
	pb.term = st->leading_term;
	pb.lease_index = row ? row->open_index : 0;
	pb.fed_index = feed_index(st->feed);
	pb.not_member = !is_member(st, h->from);
	pb.leader = st->cfg.self;
	pb.live_version = sessions_version(st->sessions);
	pb.parent = parent_of(st, h->from, h->feed_try);
	if (h->live_version != pb.live_version &&
	    sessions_changes(st->sessions, h->live_version, changes, &n)) {
		for (size_t i = 0; i < n; i++)
			signs[i] = changes[i].live ? (int32_t)changes[i].host
						   : -(int32_t)changes[i].host;
		pb.live_since = h->live_version;
		pb.live_changes = signs;
		pb.n_live_changes = n;
	} else if (h->live_version != pb.live_version) {
		pb.has_live = true;
		pb.live = (uint32_t *)sessions_live(st->sessions, &pb.n_live);
	}
	send_body(st, h->from, PEER__MSG__BODY_RENEW_RES, &pb);
}

/*
 * Answers the renewals that arrived before a moment at which this leader is
 * known to have led: one that was cut off silently answers none.
 */
static void answer_held(state_t *st, int64_t now_us)
{
	int64_t confirmed;
	size_t n = 0;

	if (!st->n_held || !rlog_is_ready(st->rlog))
		return;
	confirmed = rlog_confirmed_us(st->rlog, now_us);
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
	rlog_want_round(st->rlog, now_us);
}

static void offer_grant(state_t *st, host_id_t from, const Peer__Renew *r)
{
	Peer__RenewRes pb = PEER__RENEW_RES__INIT;

	pb.session = r->session;
	pb.sent_us = r->sent_us;
	pb.term = st->leading_term;
	pb.grant = sessions_get(st->sessions, from)->offered_grant;
	pb.offered = true;
	send_body(st, from, PEER__MSG__BODY_RENEW_RES, &pb);
}

static void note_begun(state_t *st, host_id_t host)
{
	uint64_t index = rlog_pending(st->rlog, ENTRY_CHANGE, ENTRY_ASSIGN);

	sessions_set_open_index(st->sessions, host,
				index ? index : feed_index(st->feed));
}

static void on_renew(state_t *st, host_id_t from, const Peer__Renew *r,
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
	size_t n;

	st->assign_due_us = now_us + st->cfg.heartbeat_us * ASSIGN_HEARTBEATS;
	/* One decision at a time, on tables that hold all earlier ones. */
	if (!rlog_is_ready(st->rlog) ||
	    rlog_commit(st->rlog) < st->assign_index)
		return;
	publish_tables(st);
	if (!st->assign_waits &&
	    st->assigned_index == decided_index(st->tables) &&
	    st->assigned_version == sessions_version(st->sessions))
		return;
	st->assigned_index = decided_index(st->tables);
	st->assigned_version = sessions_version(st->sessions);
	n = assign_pick(st->tables, st->sessions, now_us, settle, BALANCE_MOVES,
			picks, &st->assign_waits);
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
	send_body(st, from, PEER__MSG__BODY_PROPOSE_RES, &pb);
}

static void on_propose(state_t *st, host_id_t from, const Peer__Propose *p,
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

static void tick_leading(state_t *st, int64_t now_us)
{
	if (sessions_expire(st->sessions, now_us))
		st->assign_due_us = now_us;
	if (now_us >= st->flush_due_us && rlog_is_ready(st->rlog)) {
		st->flush_due_us = INT64_MAX;
		intake_flush(st->intake, clock_ms(st, now_us));
		rlog_flush(st->rlog, now_us);
	}
	if (now_us >= st->assign_due_us)
		assign_targets(st, now_us);
	answer_held(st, now_us);
}

/* Holder of a session. */

static int64_t renew_interval(const state_t *st)
{
	return min_us(st->cfg.lease_us, st->cfg.stale_us) / RENEW_DIV;
}

/* The voters known here; the first ones until the tables name some. */
static host_id_t seek_voter(const state_t *st, uint32_t attempt)
{
	host_id_t ids[FALLBACK_VOTERS];
	size_t n = 0;

	for (size_t i = 0; i < st->cfg.n_voters && n < FALLBACK_VOTERS; i++)
		ids[n++] = st->first_voters[i];
	for (size_t i = 0; i < decided_host_count(st->tables); i++) {
		const host_t *h = decided_host_at(st->tables, i);

		if (h->voter && n < FALLBACK_VOTERS)
			ids[n++] = h->id;
	}
	return n ? ids[attempt % n] : 0;
}

static void send_renew(state_t *st, int64_t now_us)
{
	Peer__Renew pb = PEER__RENEW__INIT;
	host_id_t to = st->leader;
	int64_t silent = renew_interval(st) * 2;

	if (!to || now_us - st->last_answer_us > silent) {
		/* The known leader does not answer: try the voters in turn. */
		host_id_t other = seek_voter(st, st->seek++);

		if (!to || st->seek % 2)
			to = other;
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
	send_body(st, to, PEER__MSG__BODY_RENEW, &pb);
}

static void extend(state_t *st, int64_t *until_us, int64_t to_us)
{
	if (to_us <= *until_us)
		return;
	*until_us = to_us;
	st->standing_dirty = true;
}

/* Moves lease and freshness on to what is confirmed and in force here. */
static void settle_confirms(state_t *st, int64_t now_us)
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
			extend(st, &st->fresh_until_us,
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

static void set_leader(state_t *st, host_id_t leader, uint64_t term,
		       int64_t now_us)
{
	if (!leader || term < st->leader_term ||
	    (term == st->leader_term && leader == st->leader))
		return;
	st->leader = leader;
	st->leader_term = term;
	st->renew_due_us = now_us;
	st->standing_dirty = true;
}

static void note_live(state_t *st, uint64_t version)
{
	st->live_version = version;
	st->feed_try = 0;
	st->standing_dirty = true;
}

/* Host > 0 has come, -host has gone. */
static void change_live(state_t *st, int32_t change)
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

static void on_renew_res(state_t *st, host_id_t from, const Peer__RenewRes *r,
			 int64_t now_us)
{
	int64_t sent_us = (int64_t)r->sent_us;

	if (r->session != st->session || sent_us > now_us)
		return;
	if (r->refused) {
		set_leader(st, r->leader, r->term, now_us);
		return;
	}
	if (r->term < st->leader_term)
		return;
	set_leader(st, from, r->term, now_us + renew_interval(st));
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
	if (!has_log(st))
		feed_set_parent(st->feed, r->parent, now_us);
	if (st->left)
		st->leave_answered = true;
	else
		add_confirm(st, r);
}

/* A parent that is alive, but does not move on itself, is no parent. */
static void look_at_feed(state_t *st, int64_t now_us)
{
	int64_t bound = st->cfg.heartbeat_us * FEED_SILENT_HEARTBEATS;

	if (has_log(st) || now_us - st->behind_since_us < bound)
		return;
	st->behind_since_us = now_us;
	feed_orphaned(st);
}

static void tell_standing(state_t *st, int64_t now_us)
{
	standing_t s = {0};

	if (!st->standing_dirty)
		return;
	st->standing_dirty = false;
	s.lease_until_us = st->left ? INT64_MIN : st->lease_until_us;
	s.fresh_until_us = st->left ? INT64_MIN : st->fresh_until_us;
	s.leader = st->leader;
	s.term = st->leader_term;
	s.is_leader = st->leading && rlog_is_ready(st->rlog);
	s.live = st->live;
	s.n_live = st->n_live;
	if (st->ops.standing)
		st->ops.standing(st->ctx, &s);
}

/* The leader that requests may be sent to; 0 where none is known to lead. */
static host_id_t leader_for_requests(const state_t *st, int64_t now_us)
{
	if (st->rlog && !rlog_leader(st->rlog))
		return 0;
	if (!st->rlog && now_us - st->last_answer_us > renew_interval(st) * 2)
		return 0;
	return st->leader;
}

/* One message, from a peer or from itself. */
static void dispatch(state_t *st, host_id_t from, const Peer__Msg *msg,
		     int64_t now_us)
{
	host_id_t leader;
	uint64_t term;

	switch (msg->body_case) {
	case PEER__MSG__BODY_RENEW:
		on_renew(st, from, msg->renew, now_us);
		break;
	case PEER__MSG__BODY_RENEW_RES:
		on_renew_res(st, from, msg->renew_res, now_us);
		break;
	case PEER__MSG__BODY_PROPOSE:
		on_propose(st, from, msg->propose, now_us);
		break;
	case PEER__MSG__BODY_PROPOSE_RES:
		if (forward_result(st->forward, msg->propose_res, &leader,
				   &term))
			set_leader(st, leader, term, now_us);
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

/* Does what is due, hands out what has changed, and arms the timer. */
static void settle(state_t *st, int64_t now_us)
{
	int64_t due;

	do {
		due = INT64_MAX;
		if (st->rlog)
			due = rlog_tick(st->rlog, now_us);
		look_at_log(st, now_us);
		publish_tables(st);
		forward_leader(st->forward, leader_for_requests(st, now_us),
			       st->leader_term, now_us);
		due = min_us(due, forward_tick(st->forward, now_us));
		due = min_us(due, feed_tick(st->feed, now_us));
		look_at_feed(st, now_us);
		if (now_us >= st->renew_due_us && !st->leave_answered)
			send_renew(st, now_us);
		if (st->leading)
			tick_leading(st, now_us);
		look_at_log(st, now_us);
		publish_tables(st);
		settle_confirms(st, now_us);
	} while (take_loopback(st, now_us));
	tell_standing(st, now_us);
	if (st->rlog)
		due = min_us(due, rlog_tick(st->rlog, now_us));
	if (!st->leave_answered)
		due = min_us(due, st->renew_due_us);
	if (st->leading) {
		if (rlog_is_ready(st->rlog))
			due = min_us(due, st->flush_due_us);
		due = min_us(due, st->assign_due_us);
		due = min_us(due, sessions_due(st->sessions));
	}
	timer_svc_arm(st->timers, &st->timer, due > now_us ? due : now_us + 1);
}

static void on_timer(void *ctx, int64_t now_us)
{
	state_t *st = ctx;

	pthread_mutex_lock(&st->lock);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_recv(state_t *st, host_id_t from, const void *p, size_t n)
{
	Peer__Msg *msg = peer__msg__unpack(NULL, n, p);
	int64_t now_us = timer_svc_now(st->timers);

	if (!msg) {
		log_event(LOG_WARNING, "state_message_malformed",
			  kv_u("peer", from), kv_u("bytes", n));
		return;
	}
	pthread_mutex_lock(&st->lock);
	dispatch(st, from, msg, now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
	peer__msg__free_unpacked(msg, NULL);
}

void state_propose(state_t *st, uint64_t tag, const void *change, size_t n)
{
	int64_t now_us = timer_svc_now(st->timers);

	pthread_mutex_lock(&st->lock);
	forward_change(st->forward, tag, str_n(change, n), now_us);
	settle(st, now_us);
	pthread_mutex_unlock(&st->lock);
}

void state_claim(state_t *st, const claim_req_t *req)
{
	int64_t now_us = timer_svc_now(st->timers);

	pthread_mutex_lock(&st->lock);
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
	int64_t now_us = timer_svc_now(st->timers);

	pthread_mutex_lock(&st->lock);
	st->left = true;
	st->standing_dirty = true;
	/* The lease is given up here before the leader hears of it. */
	tell_standing(st, now_us);
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
		   st->fresh_until_us > now_us ? "true" : "false",
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
				     feed_load, feed_orphaned};
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
	st->cfg.voters = NULL;
	st->ops = *ops;
	st->ctx = ctx;
	st->timers = timers;
	timer_sub_init(&st->timer, on_timer, st);
	st->session = hash_bytes(&cfg->self, sizeof(cfg->self), cfg->seed) | 1;
	st->flush_due_us = INT64_MAX;
	st->lease_until_us = INT64_MIN;
	st->fresh_until_us = INT64_MIN;
	st->renew_due_us = now_us;
	st->behind_since_us = now_us;
	st->machine = machine_new();
	st->tables = machine_tables(st->machine);
	make_parts(st);
	if (make_log(st, wal, now_us, err)) {
		state_free(st);
		return NULL;
	}
	publish_tables(st);
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
	free(st->held);
	free(st->order);
	free(st->places);
	free(st->live);
	pthread_mutex_destroy(&st->lock);
	free(st);
}
