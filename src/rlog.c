/* rlog.c - the replicated log: terms, elections and replication. */
#include "rlog_int.h"

#include "counter.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Bounds of one append message; one larger record is sent alone. */
#define APPEND_BYTES (192u << 10)
#define APPEND_RECORDS 2048u
#define SNAPSHOT_CHUNK_BYTES (64u << 10)
/* A peer gets no further records while more than this are unacknowledged. */
#define WINDOW_RECORDS 8192u
/* Requested rounds are at least heartbeat_us / ROUND_DIV apart. */
#define ROUND_DIV 4
/* Election timeouts shortly after a start are shorter by this factor. */
#define START_ELECTION_DIV 4

uint64_t rlog_random(rlog_t *l)
{
	/* SplitMix64; Steele, Lea and Flood, 2014. */
	uint64_t z = l->rng += 0x9e3779b97f4a7c15ull;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

static const char *role_name(rlog_role_t r)
{
	static const char *const names[] = {
#define X(name, str) str,
		RLOG_ROLES(X)
#undef X
	};
	return names[r];
}

/*
 * A host that has heard from no leader since it started asks for votes sooner,
 * as all hosts may have started again. This does no harm where there is a
 * leader: nobody grants a pre-vote then.
 */
static void reset_election_timer(rlog_t *l, int64_t now_us)
{
	int64_t wait = l->cfg.election_us;
	bool heard_leader = l->leader_heard_us >= l->started_us;

	if (!heard_leader && now_us - l->started_us < l->cfg.election_us)
		wait /= START_ELECTION_DIV;
	l->election_due_us =
		now_us + wait + (int64_t)(rlog_random(l) % (uint64_t)wait);
}

/* Messages to peers. */

static void send_snapshot_chunk(rlog_t *l, peer_t *p, int64_t now_us)
{
	Peer__SnapshotChunk pb = PEER__SNAPSHOT_CHUNK__INIT;
	size_t left;

	if (!p->sending_snapshot || p->snap_index != l->snap_index) {
		p->sending_snapshot = true;
		p->snap_index = l->snap_index;
		p->snap_offset = 0;
	}
	left = l->snap.n - p->snap_offset;
	pb.term = l->term;
	pb.log_id = l->members.log_id;
	pb.index = l->snap_index;
	pb.last_term = l->snap_term;
	pb.offset = p->snap_offset;
	pb.total = l->snap.n;
	pb.round = l->round;
	pb.data.data = (uint8_t *)l->snap.p + p->snap_offset;
	pb.data.len = left < SNAPSHOT_CHUNK_BYTES ? left : SNAPSHOT_CHUNK_BYTES;
	p->last_progress_us = now_us;
	rlog_send(l, p->id, PEER__MSG__BODY_SNAPSHOT, &pb);
}

/*
 * Fills recs and ptrs with as many records as fit into one message, starting at
 * index from; returns how many.
 */
static size_t pick_records(const rlog_t *l, uint64_t from, Peer__Record *recs,
			   Peer__Record **ptrs)
{
	size_t bytes = 0;
	size_t n = 0;
	const wal_rec_t *rec;

	while (n < APPEND_RECORDS && (rec = rlog_record_at(l, from + n))) {
		if (n && bytes + rec->data.n > APPEND_BYTES)
			break;
		peer__record__init(&recs[n]);
		recs[n].index = rec->index;
		recs[n].term = rec->term;
		recs[n].kind = rec->kind;
		recs[n].data.data = (uint8_t *)rec->data.p;
		recs[n].data.len = rec->data.n;
		ptrs[n] = &recs[n];
		bytes += rec->data.n;
		n++;
	}
	return n;
}

/*
 * Sends the records from p->next on. Sends an empty message, which serves
 * as a heartbeat, where there are none, and a snapshot chunk where the records
 * are no longer in memory.
 */
static void send_append(rlog_t *l, peer_t *p, int64_t now_us)
{
	Peer__Append pb = PEER__APPEND__INIT;
	AUTO_FREE Peer__Record *recs = NULL;
	AUTO_FREE Peer__Record **ptrs = NULL;
	Peer__SilentVoter silent[RLOG_VOTERS_MAX];
	Peer__SilentVoter *silent_ptrs[RLOG_VOTERS_MAX];
	uint64_t prev_term;

	if (!rlog_term_at(l, p->next - 1, &prev_term) || p->next < l->first) {
		send_snapshot_chunk(l, p, now_us);
		return;
	}
	if (p->next <= rlog_last_index(l) &&
	    p->next <= p->match + WINDOW_RECORDS) {
		size_t max = rlog_last_index(l) - p->next + 1;

		if (max > APPEND_RECORDS)
			max = APPEND_RECORDS;
		recs = xmalloc(max * sizeof(*recs));
		ptrs = xmalloc(max * sizeof(*ptrs));
		pb.n_records = pick_records(l, p->next, recs, ptrs);
		pb.records = ptrs;
	}
	pb.term = l->term;
	pb.log_id = l->members.log_id;
	pb.prev_index = p->next - 1;
	pb.prev_term = prev_term;
	pb.commit = l->commit;
	pb.round = l->round;
	pb.n_silent = rlog_pick_silent(l, now_us, silent, silent_ptrs);
	pb.silent = silent_ptrs;
	rlog_send(l, p->id, PEER__MSG__BODY_APPEND, &pb);
	p->next += pb.n_records;
}

static void start_round(rlog_t *l, int64_t now_us)
{
	l->round =
		(uint64_t)now_us > l->round ? (uint64_t)now_us : l->round + 1;
	l->heartbeat_due_us = now_us + l->cfg.heartbeat_us;
}

static void send_heartbeat(rlog_t *l, peer_t *p, int64_t now_us)
{
	int64_t resend_after_us = l->cfg.heartbeat_us * RESEND_HEARTBEATS;

	if (p->sending_snapshot) {
		if (now_us - p->last_progress_us >= l->cfg.heartbeat_us)
			send_snapshot_chunk(l, p, now_us);
		return;
	}
	if (p->match + 1 < p->next &&
	    now_us - p->last_progress_us >= resend_after_us) {
		p->next = p->match + 1;
		p->last_progress_us = now_us;
	}
	send_append(l, p, now_us);
}

static void broadcast(rlog_t *l, int64_t now_us)
{
	start_round(l, now_us);
	for (size_t i = 0; i < l->n_peers; i++)
		if (l->peers[i].incarnation)
			send_heartbeat(l, &l->peers[i], now_us);
}

/* Roles and commitment. */

static void become_follower(rlog_t *l, host_id_t leader, int64_t now_us)
{
	bool changed = l->role != RLOG_FOLLOWER || l->leader != leader;

	if (l->role == RLOG_FAILED)
		return;
	l->role = RLOG_FOLLOWER;
	l->leader = leader;
	reset_election_timer(l, now_us);
	if (changed)
		l->ops.changed(l->ctx);
}

/*
 * Where term is above the current one, stores it and becomes a follower.
 * Returns -1 where storing failed.
 */
static int adopt_term(rlog_t *l, uint64_t term, int64_t now_us)
{
	if (term <= l->term)
		return 0;
	if (rlog_save_vote(l, term, 0))
		return -1;
	become_follower(l, 0, now_us);
	return 0;
}

static size_t quorum(const rlog_t *l)
{
	return l->members.n / 2 + 1;
}

static void advance_commit(rlog_t *l)
{
	uint64_t match[RLOG_VOTERS_MAX];
	size_t n = l->members.n;
	uint64_t quorum_index;
	uint64_t term;

	for (size_t i = 0; i < n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = rlog_peer(l, m->id);

		match[i] = 0;
		if (m->id == l->cfg.self && rlog_self_is_voter(l))
			match[i] = l->stored;
		else if (p && p->incarnation == m->incarnation)
			match[i] = p->match;
		/* Insertion sort, highest first. */
		for (size_t j = i; j > 0 && match[j] > match[j - 1]; j--) {
			uint64_t swap = match[j];

			match[j] = match[j - 1];
			match[j - 1] = swap;
		}
	}
	if (!n)
		return;
	quorum_index = match[quorum(l) - 1];
	if (quorum_index > l->commit && rlog_term_at(l, quorum_index, &term) &&
	    term == l->term) {
		l->commit = quorum_index;
		/*
		 * The next tick sends heartbeats at once, which tell the peers
		 * the new commit index.
		 */
		l->heartbeat_due_us = (int64_t)l->round;
	}
	rlog_apply_committed(l);
}

int64_t rlog_leadership_confirmed_us(const rlog_t *l, int64_t now_us)
{
	int64_t rounds[RLOG_VOTERS_MAX];
	size_t n = l->members.n;

	if (l->role != RLOG_LEADER || !n)
		return INT64_MIN;
	for (size_t i = 0; i < n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = rlog_peer((rlog_t *)l, m->id);

		rounds[i] = INT64_MIN;
		if (m->id == l->cfg.self)
			rounds[i] = rlog_self_is_voter(l) ? now_us : INT64_MIN;
		else if (p && p->incarnation == m->incarnation &&
			 p->acked_round)
			rounds[i] = (int64_t)p->acked_round;
		/* Insertion sort, highest first. */
		for (size_t j = i; j > 0 && rounds[j] > rounds[j - 1]; j--) {
			int64_t swap = rounds[j];

			rounds[j] = rounds[j - 1];
			rounds[j - 1] = swap;
		}
	}
	return rounds[quorum(l) - 1];
}

uint64_t rlog_propose(rlog_t *l, entry_kind_t kind, str_t data)
{
	uint64_t index = rlog_last_index(l) + 1;

	if (l->role != RLOG_LEADER)
		return 0;
	rlog_append_record(l, index, l->term, kind, data);
	return index;
}

void rlog_flush(rlog_t *l, int64_t now_us)
{
	if (l->role != RLOG_LEADER || l->stored == rlog_last_index(l))
		return;
	/* Sent first, so that the peers sync while this host does. */
	broadcast(l, now_us);
	if (rlog_store(l) == 0)
		advance_commit(l);
}

static void become_leader(rlog_t *l, int64_t now_us)
{
	l->role = RLOG_LEADER;
	l->leader = l->cfg.self;
	l->leader_since_us = now_us;
	l->members_since_us = now_us;
	l->incoming_from = 0;
	for (size_t i = 0; i < l->n_peers; i++) {
		peer_t *p = &l->peers[i];
		const rlog_member_t *m = rlog_member(&l->members, p->id);
		uint64_t incarnation = m ? m->incarnation : 0;

		p->incarnation = 0;
		if (incarnation)
			rlog_peer_set_incarnation(l, p, incarnation);
		else
			p->last_heard_us = now_us;
		p->last_progress_us = now_us;
	}
	l->term_start_index = rlog_propose(l, ENTRY_NOOP, str_n(NULL, 0));
	log_event(LOG_NOTICE, "leader_elected", kv_u("host", l->cfg.self),
		  kv_u("term", l->term), kv_u("index", l->term_start_index));
	l->ops.changed(l->ctx);
	rlog_flush(l, now_us);
}

static void count_votes(rlog_t *l, int64_t now_us);

void rlog_campaign(rlog_t *l, campaign_t campaign, int64_t now_us)
{
	bool pre = campaign == CAMPAIGN_PRE_VOTE;
	Peer__VoteReq pb = PEER__VOTE_REQ__INIT;

	reset_election_timer(l, now_us);
	if (!rlog_self_is_voter(l) || l->role == RLOG_FAILED)
		return;
	l->campaign = campaign;
	l->leader = 0;
	if (l->role != RLOG_CANDIDATE) {
		l->role = RLOG_CANDIDATE;
		l->ops.changed(l->ctx);
	}
	if (!pre) {
		counter_add(CTR_ELECTIONS, 1);
		if (rlog_save_vote(l, l->term + 1, l->cfg.self))
			return;
	}
	pb.term = pre ? l->term + 1 : l->term;
	pb.last_index = rlog_last_index(l);
	pb.last_term = rlog_last_term(l);
	pb.pre = pre;
	pb.handover = campaign == CAMPAIGN_HANDOVER;
	pb.log_id = l->members.log_id;
	for (size_t i = 0; i < l->n_peers; i++) {
		peer_t *p = &l->peers[i];

		p->granted = false;
		if (rlog_member(&l->members, p->id))
			rlog_send(l, p->id, PEER__MSG__BODY_VOTE_REQ, &pb);
	}
	count_votes(l, now_us);
}

static void count_votes(rlog_t *l, int64_t now_us)
{
	size_t n = 1; /* this host's own vote */

	if (l->role != RLOG_CANDIDATE)
		return;
	for (size_t i = 0; i < l->n_peers; i++) {
		const peer_t *p = &l->peers[i];

		if (p->granted && rlog_member(&l->members, p->id))
			n++;
	}
	if (n < quorum(l))
		return;
	if (l->campaign == CAMPAIGN_PRE_VOTE)
		rlog_campaign(l, CAMPAIGN_ELECTION, now_us);
	else
		become_leader(l, now_us);
}

void rlog_begin_election(rlog_t *l, int64_t now_us)
{
	rlog_campaign(l,
		      l->members.n > 1 ? CAMPAIGN_PRE_VOTE : CAMPAIGN_ELECTION,
		      now_us);
}

/* Incoming messages. */

static bool log_is_up_to_date(const rlog_t *l, const Peer__VoteReq *q)
{
	if (q->last_term != rlog_last_term(l))
		return q->last_term > rlog_last_term(l);
	return q->last_index >= rlog_last_index(l);
}

static bool leader_is_alive(const rlog_t *l, int64_t now_us)
{
	if (l->role == RLOG_LEADER)
		return true;
	return l->leader && now_us - l->leader_heard_us < l->cfg.election_us;
}

static void on_vote_req(rlog_t *l, host_id_t from, const Peer__VoteReq *q,
			int64_t now_us)
{
	Peer__VoteRes pb = PEER__VOTE_RES__INIT;

	if (rlog_rejects_log(l, from, q->log_id) ||
	    (!q->handover && leader_is_alive(l, now_us)))
		return;
	if (q->pre) {
		pb.granted = q->term > l->term && log_is_up_to_date(l, q);
	} else {
		if (adopt_term(l, q->term, now_us))
			return;
		pb.granted = q->term == l->term && log_is_up_to_date(l, q) &&
			     (!l->voted_for || l->voted_for == from);
		if (pb.granted && !l->voted_for) {
			if (rlog_save_vote(l, l->term, from))
				return;
			reset_election_timer(l, now_us);
		}
	}
	pb.term = pb.granted ? q->term : l->term;
	pb.pre = q->pre;
	pb.incarnation = l->incarnation;
	rlog_send(l, from, PEER__MSG__BODY_VOTE_RES, &pb);
}

static void on_vote_res(rlog_t *l, host_id_t from, const Peer__VoteRes *r,
			int64_t now_us)
{
	const rlog_member_t *m = rlog_member(&l->members, from);
	peer_t *p = rlog_peer(l, from);
	bool pre = l->campaign == CAMPAIGN_PRE_VOTE;
	uint64_t asked_term = pre ? l->term + 1 : l->term;

	if (!r->granted) {
		adopt_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_CANDIDATE || r->pre != pre || r->term != asked_term)
		return;
	/* A vote counts only if it comes from the data folder of the member. */
	if (!p || !m || m->incarnation != r->incarnation)
		return;
	p->granted = true;
	count_votes(l, now_us);
}

static void send_append_res(rlog_t *l, host_id_t to, uint64_t round, bool ok,
			    uint64_t match)
{
	Peer__AppendRes pb = PEER__APPEND_RES__INIT;

	pb.term = l->term;
	pb.round = round;
	pb.ok = ok;
	pb.match = match;
	pb.incarnation = l->incarnation;
	rlog_send(l, to, PEER__MSG__BODY_APPEND_RES, &pb);
}

/* First uncommitted index whose record has the term of the record at index. */
static uint64_t first_index_of_term(const rlog_t *l, uint64_t index)
{
	const wal_rec_t *rec = rlog_record_at(l, index);
	uint64_t term = rec ? rec->term : 0;

	while (rec && index > l->commit + 1) {
		rec = rlog_record_at(l, index - 1);
		if (!rec || rec->term != term)
			break;
		index--;
	}
	return index;
}

/*
 * Appends the records that this host does not hold yet, in place of any that
 * conflict with them. Returns -1 where storing failed.
 */
static int accept_records(rlog_t *l, const Peer__Append *a)
{
	wal_err_t err = {0};
	bool members_changed = false;

	for (size_t i = 0; i < a->n_records; i++) {
		const Peer__Record *r = a->records[i];
		const wal_rec_t *own = rlog_record_at(l, r->index);

		if (r->index <= l->commit || r->index < l->first)
			continue;
		if (own && own->term == r->term)
			continue;
		if (own) {
			/* A conflict: the records from here on were never
			 * committed. */
			rlog_truncate_records(l, r->index);
			members_changed = true;
			if (l->wal->ops->truncate(l->wal->ctx, r->index, &err))
				return rlog_fail(l, &err);
		}
		if (r->index != rlog_last_index(l) + 1)
			break;
		rlog_append_record(l, r->index, r->term, r->kind,
				   str_n((char *)r->data.data, r->data.len));
		members_changed |= r->kind == ENTRY_MEMBERS;
	}
	if (rlog_store(l))
		return -1;
	if (members_changed) {
		members_t m = rlog_members_at(l, rlog_last_index(l));

		rlog_set_members(l, &m);
	}
	return 0;
}

/*
 * Checks the term and log of a message from a leader, and follows that leader.
 * Returns false where the message must be ignored; a leader of an earlier term
 * is told the present one.
 */
static bool accept_leader(rlog_t *l, host_id_t from, uint64_t term,
			  uint64_t log_id, uint64_t round, int64_t now_us)
{
	if (rlog_rejects_log(l, from, log_id))
		return false;
	if (term < l->term) {
		send_append_res(l, from, round, false, 0);
		return false;
	}
	if (adopt_term(l, term, now_us) || l->role == RLOG_LEADER)
		return false;
	become_follower(l, from, now_us);
	l->leader_heard_us = now_us;
	return true;
}

static void on_append(rlog_t *l, host_id_t from, const Peer__Append *a,
		      int64_t now_us)
{
	uint64_t prev_term;
	uint64_t match = a->prev_index + a->n_records;

	if (!accept_leader(l, from, a->term, a->log_id, a->round, now_us))
		return;
	rlog_note_silent(l, a, now_us);
	if (a->prev_index > rlog_last_index(l)) {
		send_append_res(l, from, a->round, false, rlog_last_index(l));
		return;
	}
	/*
	 * Up to the commit index the terms need no check: committed records
	 * are the same on all hosts.
	 */
	if (a->prev_index > l->commit &&
	    (!rlog_term_at(l, a->prev_index, &prev_term) ||
	     prev_term != a->prev_term)) {
		send_append_res(l, from, a->round, false,
				first_index_of_term(l, a->prev_index) - 1);
		return;
	}
	if (accept_records(l, a))
		return;
	if (match < l->commit)
		match = l->commit;
	if (match > l->stored)
		match = l->stored;
	send_append_res(l, from, a->round, true, match);
	if (a->commit > l->commit && match > l->commit) {
		l->commit = a->commit < match ? a->commit : match;
		rlog_apply_committed(l);
	}
}

static void on_append_res(rlog_t *l, host_id_t from, const Peer__AppendRes *r,
			  int64_t now_us)
{
	peer_t *p = rlog_peer(l, from);

	if (r->term > l->term) {
		adopt_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || r->term != l->term || !p ||
	    p->incarnation != r->incarnation || r->round > l->round)
		return;
	p->last_heard_us = now_us;
	if (r->round > p->acked_round)
		p->acked_round = r->round;
	if (!r->ok) {
		/* A delayed refusal must not undo later progress. */
		if (r->match < p->next && r->match >= p->match) {
			p->next = r->match + 1;
			p->last_progress_us = now_us;
			send_append(l, p, now_us);
		}
		return;
	}
	if (r->match > rlog_last_index(l))
		return;
	if (r->match > p->match) {
		p->match = r->match;
		p->last_progress_us = now_us;
	}
	if (p->sending_snapshot && p->match >= p->snap_index)
		p->sending_snapshot = false;
	if (p->next <= p->match)
		p->next = p->match + 1;
	advance_commit(l);
	if (l->role == RLOG_LEADER && !p->sending_snapshot &&
	    p->next <= rlog_last_index(l))
		send_append(l, p, now_us);
}

/* Stores and loads the received snapshot, of which c is the last chunk. */
static int install_snapshot(rlog_t *l, const Peer__SnapshotChunk *c)
{
	AUTO_BUF buf_t file = l->incoming;
	wal_err_t err = {0};
	uint64_t term;
	bool has_record =
		rlog_term_at(l, c->index, &term) && term == c->last_term;
	members_t m;

	memset(&l->incoming, 0, sizeof(l->incoming));
	l->incoming_from = 0;
	if (!has_record && rlog_last_index(l) > c->index) {
		rlog_truncate_records(l, c->index + 1);
		if (l->wal->ops->truncate(l->wal->ctx, c->index + 1, &err))
			return rlog_fail(l, &err);
	}
	if (l->wal->ops->snapshot(l->wal->ctx, c->index, c->last_term,
				  buf_str(&file), &err))
		return rlog_fail(l, &err);
	if (rlog_load_snapshot(l, c->index, c->last_term, buf_str(&file)))
		return rlog_fail_apply(l, "the leader's snapshot is invalid",
				       c->index);
	if (!has_record)
		rlog_reset_records(l, c->index, c->last_term);
	m = rlog_members_at(l, rlog_last_index(l));
	rlog_set_members(l, &m);
	return 0;
}

static void on_snapshot_chunk(rlog_t *l, host_id_t from,
			      const Peer__SnapshotChunk *c, int64_t now_us)
{
	Peer__SnapshotRes pb = PEER__SNAPSHOT_RES__INIT;

	if (!accept_leader(l, from, c->term, c->log_id, c->round, now_us))
		return;
	if (c->index <= l->commit) {
		send_append_res(l, from, c->round, true,
				l->commit < l->stored ? l->commit : l->stored);
		return;
	}
	if (l->incoming_from != from || l->incoming_index != c->index ||
	    l->incoming_term != c->last_term) {
		l->incoming_from = from;
		l->incoming_index = c->index;
		l->incoming_term = c->last_term;
		buf_reset(&l->incoming);
	}
	if (c->offset == l->incoming.n)
		buf_put(&l->incoming, c->data.data, c->data.len);
	if (l->incoming.n == c->total) {
		if (install_snapshot(l, c) == 0)
			send_append_res(l, from, c->round, true, c->index);
		return;
	}
	pb.term = l->term;
	pb.index = c->index;
	pb.offset = l->incoming.n;
	pb.round = c->round;
	pb.incarnation = l->incarnation;
	rlog_send(l, from, PEER__MSG__BODY_SNAPSHOT_RES, &pb);
}

static void on_snapshot_res(rlog_t *l, host_id_t from,
			    const Peer__SnapshotRes *r, int64_t now_us)
{
	peer_t *p = rlog_peer(l, from);

	if (r->term > l->term) {
		adopt_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || r->term != l->term || !p ||
	    p->incarnation != r->incarnation || r->round > l->round)
		return;
	p->last_heard_us = now_us;
	if (r->round > p->acked_round)
		p->acked_round = r->round;
	if (!p->sending_snapshot || r->index != p->snap_index ||
	    r->offset > l->snap.n || r->offset == p->snap_offset)
		return;
	p->snap_offset = r->offset;
	send_snapshot_chunk(l, p, now_us);
}

static void tick_leader(rlog_t *l, int64_t now_us)
{
	int64_t confirmed_us = rlog_leadership_confirmed_us(l, now_us);

	if (confirmed_us < l->leader_since_us)
		confirmed_us = l->leader_since_us;
	if (now_us - confirmed_us >= l->cfg.election_us) {
		log_event(LOG_WARNING, "leader_stepped_down",
			  kv_u("host", l->cfg.self), kv_u("term", l->term),
			  KV_C("reason", "no quorum answers"));
		become_follower(l, 0, now_us);
		return;
	}
	if (!rlog_self_is_voter(l) && l->members.index <= l->commit) {
		become_follower(l, 0, now_us);
		return;
	}
	rlog_remove_silent_peers(l, now_us);
	rlog_reconcile_members(l, now_us);
	if (l->role != RLOG_LEADER)
		return;
	if (now_us >= l->heartbeat_due_us)
		broadcast(l, now_us);
	advance_commit(l);
}

int64_t rlog_tick(rlog_t *l, int64_t now_us)
{
	if (l->role == RLOG_FAILED)
		return INT64_MAX;
	rlog_note_leader(l, now_us);
	if (l->role == RLOG_LEADER) {
		tick_leader(l, now_us);
		if (l->role == RLOG_LEADER)
			return l->heartbeat_due_us;
		if (l->role == RLOG_FAILED)
			return INT64_MAX;
	}
	if (now_us >= l->join_due_us)
		rlog_request_join(l, now_us);
	if (rlog_self_is_voter(l) && now_us >= l->election_due_us)
		rlog_begin_election(l, now_us);
	if (l->role == RLOG_LEADER)
		return l->heartbeat_due_us;
	if (!rlog_self_is_voter(l) || l->join_due_us < l->election_due_us)
		return l->join_due_us;
	return l->election_due_us;
}

void rlog_request_round(rlog_t *l, int64_t now_us)
{
	int64_t due = (int64_t)l->round + l->cfg.heartbeat_us / ROUND_DIV;

	if (due < l->heartbeat_due_us)
		l->heartbeat_due_us = due > now_us ? due : now_us;
}

void rlog_recv(rlog_t *l, host_id_t from, const Peer__Msg *msg, int64_t now_us)
{
	peer_t *p = rlog_peer(l, from);

	if (l->role == RLOG_FAILED)
		return;
	if (p && l->role != RLOG_LEADER)
		p->last_heard_us = now_us;
	switch (msg->body_case) {
	case PEER__MSG__BODY_VOTE_REQ:
		on_vote_req(l, from, msg->vote_req, now_us);
		break;
	case PEER__MSG__BODY_VOTE_RES:
		on_vote_res(l, from, msg->vote_res, now_us);
		break;
	case PEER__MSG__BODY_APPEND:
		on_append(l, from, msg->append, now_us);
		break;
	case PEER__MSG__BODY_APPEND_RES:
		on_append_res(l, from, msg->append_res, now_us);
		break;
	case PEER__MSG__BODY_SNAPSHOT:
		on_snapshot_chunk(l, from, msg->snapshot, now_us);
		break;
	case PEER__MSG__BODY_SNAPSHOT_RES:
		on_snapshot_res(l, from, msg->snapshot_res, now_us);
		break;
	case PEER__MSG__BODY_JOIN:
		rlog_on_join(l, from, msg->join, now_us);
		break;
	case PEER__MSG__BODY_LOG_REPLACED:
		rlog_on_replaced(l, msg->log_replaced);
		break;
	default:
		break;
	}
}

rlog_t *rlog_new(const rlog_cfg_t *cfg, const rlog_ops_t *ops, void *ctx,
		 wal_t *wal, int64_t now_us, wal_err_t *err)
{
	rlog_t *l = xcalloc(1, sizeof(*l));
	members_t m;

	l->cfg = *cfg;
	l->first_voters = xmalloc(cfg->n_voters * sizeof(host_id_t));
	memcpy(l->first_voters, cfg->voters, cfg->n_voters * sizeof(host_id_t));
	l->cfg.voters = l->first_voters;
	l->ops = *ops;
	l->ctx = ctx;
	l->wal = wal;
	l->rng = cfg->seed;
	l->leader_heard_us = INT64_MIN / 2;
	l->started_us = now_us;
	if (rlog_load_wal(l, err)) {
		rlog_free(l);
		return NULL;
	}
	m = rlog_members_at(l, rlog_last_index(l));
	rlog_set_members(l, &m);
	for (size_t i = 0; i < cfg->n_voters; i++)
		rlog_peer_get_or_add(l, cfg->voters[i]);
	reset_election_timer(l, now_us);
	if (l->members.n == 1 && rlog_self_is_voter(l))
		l->election_due_us = now_us;
	l->join_due_us = now_us;
	return l;
}

void rlog_free(rlog_t *l)
{
	if (!l)
		return;
	rlog_truncate_records(l, 0);
	free(l->recs);
	free(l->first_voters);
	buf_free(&l->snap);
	buf_free(&l->incoming);
	free(l);
}

rlog_role_t rlog_role(const rlog_t *l)
{
	return l->role;
}

bool rlog_is_leader(const rlog_t *l)
{
	return l->role == RLOG_LEADER;
}

bool rlog_is_ready_leader(const rlog_t *l)
{
	return l->role == RLOG_LEADER && l->commit >= l->term_start_index;
}

host_id_t rlog_leader(const rlog_t *l)
{
	return l->leader;
}

uint64_t rlog_term(const rlog_t *l)
{
	return l->term;
}

uint64_t rlog_commit(const rlog_t *l)
{
	return l->commit;
}

uint64_t rlog_last_unapplied(const rlog_t *l, entry_kind_t a, entry_kind_t b)
{
	for (uint64_t i = rlog_last_index(l); i > l->applied; i--) {
		const wal_rec_t *rec = rlog_record_at(l, i);

		if (rec && (rec->kind == a || rec->kind == b))
			return i;
	}
	return 0;
}

bool rlog_is_voter(const rlog_t *l, host_id_t id)
{
	return rlog_member(&l->members, id) != NULL;
}

size_t rlog_voters(const rlog_t *l, host_id_t *out, size_t max)
{
	size_t n = l->members.n < max ? l->members.n : max;

	for (size_t i = 0; i < n; i++)
		out[i] = l->members.v[i].id;
	return n;
}

const wal_err_t *rlog_error(const rlog_t *l)
{
	return &l->error;
}

/*
 * Whether this is a leader, its members are committed, and each of them holds
 * the log up to their record.
 */
static bool members_settled(const rlog_t *l)
{
	if (l->role != RLOG_LEADER || l->members.index > l->commit)
		return false;
	for (size_t i = 0; i < l->members.n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = rlog_peer((rlog_t *)l, m->id);

		if (m->id == l->cfg.self)
			continue;
		if (!p || p->incarnation != m->incarnation ||
		    p->match < l->members.index)
			return false;
	}
	return true;
}

void rlog_status(const rlog_t *l, int64_t now_us, buf_t *json)
{
	buf_printf(json,
		   "\"role\":\"%s\",\"term\":%llu,\"leader\":%u,"
		   "\"commit\":%llu,\"last\":%llu,\"snapshot\":%llu,"
		   "\"votes\":%s,\"voters\":[",
		   role_name(l->role), (unsigned long long)l->term, l->leader,
		   (unsigned long long)l->commit,
		   (unsigned long long)rlog_last_index(l),
		   (unsigned long long)l->snap_index,
		   rlog_self_is_voter(l) ? "true" : "false");
	for (size_t i = 0; i < l->members.n; i++)
		buf_printf(json, "%s%u", i ? "," : "", l->members.v[i].id);
	buf_printf(json, "],\"members_settled\":%s,\"leaderless_ms\":%lld",
		   members_settled(l) ? "true" : "false",
		   l->leaderless_since_us
			   ? (long long)(now_us - l->leaderless_since_us) /
				     USEC_PER_MSEC
			   : 0LL);
	if (l->role == RLOG_FAILED)
		buf_printf(json, ",\"failed\":\"%s\"",
			   wal_code_text(l->error.code));
}
