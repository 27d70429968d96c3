/*
 * rlog_members.c - the members (voters) of the log: how the first voters
 * bootstrap it, and how other hosts with a disk join and leave. See
 * docs/design/state.md, "Emptied disks".
 */
#include "rlog_int.h"

#include "log.h"

#include <string.h>

/*
 * A peer that is no member is removed from the peers after it has been silent
 * for this many election timeouts.
 */
#define FORGET_ELECTION_TIMEOUTS 10

int rlog_members_parse(members_t *m, uint64_t index, str_t data)
{
	Peer__Members *pb =
		peer__members__unpack(NULL, data.n, (const uint8_t *)data.p);

	if (!pb)
		return -1;
	memset(m, 0, sizeof(*m));
	m->index = index;
	m->log_id = pb->log_id;
	for (size_t i = 0; i < pb->n_voters && m->n < RLOG_VOTERS_MAX; i++) {
		m->v[m->n].id = pb->voters[i]->id;
		m->v[m->n++].incarnation = pb->voters[i]->incarnation;
	}
	for (size_t i = 0;
	     i < pb->n_replaced && m->n_replaced < RLOG_REPLACED_MAX; i++)
		m->replaced[m->n_replaced++] = pb->replaced[i];
	peer__members__free_unpacked(pb, NULL);
	return 0;
}

void rlog_members_pack(const members_t *m, buf_t *out)
{
	Peer__Members pb = PEER__MEMBERS__INIT;
	Peer__Voter voters[RLOG_VOTERS_MAX];
	Peer__Voter *ptrs[RLOG_VOTERS_MAX];
	size_t n;

	pb.log_id = m->log_id;
	for (size_t i = 0; i < m->n; i++) {
		peer__voter__init(&voters[i]);
		voters[i].id = m->v[i].id;
		voters[i].incarnation = m->v[i].incarnation;
		ptrs[i] = &voters[i];
	}
	pb.n_voters = m->n;
	pb.voters = ptrs;
	pb.n_replaced = m->n_replaced;
	pb.replaced = (uint64_t *)m->replaced;
	n = peer__members__get_packed_size(&pb);
	peer__members__pack(&pb, (uint8_t *)buf_reserve(out, n));
	out->n += n;
}

const rlog_member_t *rlog_member(const members_t *m, host_id_t id)
{
	for (size_t i = 0; i < m->n; i++)
		if (m->v[i].id == id)
			return &m->v[i];
	return NULL;
}

members_t rlog_members_at(const rlog_t *l, uint64_t index)
{
	members_t m = l->snap_members;

	for (size_t i = l->n_recs; i-- > 0;) {
		const wal_rec_t *rec = &l->recs[i];

		if (rec->index > index || rec->kind != ENTRY_MEMBERS)
			continue;
		if (rec->index > m.index)
			rlog_members_parse(&m, rec->index, rec->data);
		break;
	}
	return m;
}

static bool has_replaced(const members_t *m, uint64_t log_id)
{
	for (size_t i = 0; i < m->n_replaced; i++)
		if (m->replaced[i] == log_id)
			return true;
	return false;
}

bool rlog_rejects_log(rlog_t *l, host_id_t from, uint64_t log_id)
{
	Peer__LogReplaced pb = PEER__LOG_REPLACED__INIT;

	if (!l->members.log_id || !log_id || log_id == l->members.log_id)
		return false;
	pb.log_id = log_id;
	if (has_replaced(&l->members, log_id))
		rlog_send(l, from, PEER__MSG__BODY_LOG_REPLACED, &pb);
	return true;
}

void rlog_on_replaced(rlog_t *l, const Peer__LogReplaced *r)
{
	wal_err_t err = {.code = WAL_REPLACED};

	if (r->log_id && r->log_id == l->members.log_id)
		rlog_fail(l, &err);
}

bool rlog_self_is_voter(const rlog_t *l)
{
	const rlog_member_t *m = rlog_member(&l->members, l->cfg.self);

	return m && m->incarnation == l->incarnation;
}

peer_t *rlog_peer(rlog_t *l, host_id_t id)
{
	for (size_t i = 0; i < l->n_peers; i++)
		if (l->peers[i].id == id)
			return &l->peers[i];
	return NULL;
}

peer_t *rlog_peer_get_or_add(rlog_t *l, host_id_t id)
{
	peer_t *p = rlog_peer(l, id);

	if (p || id == l->cfg.self)
		return p;
	if (l->n_peers == PEERS_MAX)
		return NULL;
	p = &l->peers[l->n_peers++];
	memset(p, 0, sizeof(*p));
	p->id = id;
	p->next = rlog_last_index(l) + 1;
	return p;
}

static bool is_first_voter(const rlog_t *l, host_id_t id)
{
	for (size_t i = 0; i < l->cfg.n_voters; i++)
		if (l->first_voters[i] == id)
			return true;
	return false;
}

void rlog_peer_set_incarnation(rlog_t *l, peer_t *p, uint64_t incarnation)
{
	if (p->incarnation == incarnation)
		return;
	p->incarnation = incarnation;
	p->match = 0;
	p->next = rlog_last_index(l) + 1;
	p->acked_round = 0;
	p->sending_snapshot = false;
	p->granted = false;
}

void rlog_set_members(rlog_t *l, const members_t *m)
{
	l->members = *m;
	for (size_t i = 0; i < m->n; i++) {
		peer_t *p = rlog_peer_get_or_add(l, m->v[i].id);

		if (p && !p->incarnation)
			rlog_peer_set_incarnation(l, p, m->v[i].incarnation);
	}
}

void rlog_send(rlog_t *l, host_id_t to, Peer__Msg__BodyCase which, void *body)
{
	Peer__Msg msg = PEER__MSG__INIT;

	msg.body_case = which;
	/* The union holds only pointers, so that any of its members will do. */
	msg.vote_req = body;
	l->ops.send(l->ctx, to, &msg);
}

static void propose_members(rlog_t *l, members_t *m, int64_t now_us)
{
	AUTO_BUF buf_t data = {0};

	rlog_members_pack(m, &data);
	m->index = rlog_propose(l, ENTRY_MEMBERS, buf_str(&data));
	l->members_since_us = now_us;
	rlog_set_members(l, m);
	rlog_flush(l, now_us);
}

static void send_join(rlog_t *l, peer_t *p)
{
	Peer__Join pb = PEER__JOIN__INIT;

	pb.incarnation = l->incarnation;
	pb.log_id = l->members.log_id;
	pb.echo = p->empty_incarnation;
	pb.join_only = l->cfg.join_only;
	rlog_send(l, p->id, PEER__MSG__BODY_JOIN, &pb);
}

/*
 * Bootstraps the log once the latest Join of every other first voter has said
 * that the sender holds no log, and has echoed this host's incarnation. Of the
 * first voters that may start a log, only the one with the lowest id does so: one that
 * was started again before there was a log may not.
 */
static void maybe_bootstrap_log(rlog_t *l, int64_t now_us)
{
	AUTO_BUF buf_t data = {0};
	members_t m = {.index = 1};

	if (l->cfg.join_only || l->members.n || !is_first_voter(l, l->cfg.self))
		return;
	for (size_t i = 0; i < l->cfg.n_voters; i++) {
		host_id_t id = l->first_voters[i];
		const peer_t *p = rlog_peer(l, id);

		if (m.n == RLOG_VOTERS_MAX)
			return;
		m.v[m.n].id = id;
		if (id == l->cfg.self) {
			m.v[m.n++].incarnation = l->incarnation;
			continue;
		}
		if (!p || !p->empty_incarnation ||
		    p->echoed_incarnation != l->incarnation)
			return;
		if (id < l->cfg.self && !p->join_only)
			return;
		m.v[m.n++].incarnation = p->empty_incarnation;
	}
	m.log_id = rlog_random(l) | 1;
	rlog_members_pack(&m, &data);
	if (rlog_save_vote(l, l->term ? l->term : 1, l->voted_for))
		return;
	rlog_append_record(l, 1, 1, ENTRY_MEMBERS, buf_str(&data));
	if (rlog_store(l))
		return;
	rlog_set_members(l, &m);
	log_event(LOG_NOTICE, "log_bootstrapped", kv_u("host", l->cfg.self),
		  kv_u("voters", m.n));
	rlog_begin_election(l, now_us);
}

void rlog_on_join(rlog_t *l, host_id_t from, const Peer__Join *j,
		  int64_t now_us)
{
	const rlog_member_t *m = rlog_member(&l->members, from);
	peer_t *p;

	if (rlog_rejects_log(l, from, j->log_id) || !j->incarnation)
		return;
	if (!l->members.n) {
		p = is_first_voter(l, from) ? rlog_peer_get_or_add(l, from)
					    : NULL;
		if (!p)
			return;
		p->empty_incarnation = j->log_id ? 0 : j->incarnation;
		p->echoed_incarnation = j->echo;
		p->join_only = j->join_only;
		maybe_bootstrap_log(l, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || (m && m->incarnation == j->incarnation))
		return;
	p = rlog_peer_get_or_add(l, from);
	if (!p)
		return;
	rlog_peer_set_incarnation(l, p, j->incarnation);
	p->last_heard_us = now_us;
}

/* Whether a peer holds all committed records and answers the latest rounds. */
static bool is_caught_up(const rlog_t *l, const peer_t *p)
{
	uint64_t max_lag_us = (uint64_t)l->cfg.heartbeat_us * RESEND_HEARTBEATS;

	return p->incarnation && p->match && p->match >= l->commit &&
	       p->acked_round + max_lag_us >= l->round;
}

size_t rlog_candidates(const rlog_t *l)
{
	size_t n = 0;

	for (size_t i = 0; i < l->n_peers; i++)
		if (!rlog_member(&l->members, l->peers[i].id) &&
		    is_caught_up(l, &l->peers[i]))
			n++;
	return n;
}

/* The others keep the order in which they joined. */
static void remove_member(members_t *m, size_t at)
{
	m->n--;
	memmove(&m->v[at], &m->v[at + 1], (m->n - at) * sizeof(m->v[0]));
}

/*
 * Changes one member at a time. A voter whose data folder was emptied is
 * removed before it may join with its new folder. A host is added only once it
 * holds all committed records and answers the latest rounds.
 */
void rlog_reconcile_members(rlog_t *l, int64_t now_us)
{
	members_t m = l->members;

	if (l->commit < l->term_start_index || l->members.index > l->commit)
		return;
	for (size_t i = 0; i < m.n; i++) {
		const peer_t *p = rlog_peer(l, m.v[i].id);
		bool has_new_folder = p && p->incarnation &&
				      p->incarnation != m.v[i].incarnation;

		if (!has_new_folder && l->ops.voter_allowed(l->ctx, m.v[i].id))
			continue;
		if (m.n == 1)
			continue;
		log_event(LOG_NOTICE, "voter_removed", kv_u("host", m.v[i].id),
			  KV_C("reason", has_new_folder ? "its disk was emptied"
							: "not wanted"));
		remove_member(&m, i);
		propose_members(l, &m, now_us);
		return;
	}
	for (size_t i = 0; i < l->n_peers; i++) {
		const peer_t *p = &l->peers[i];

		if (rlog_member(&m, p->id) || m.n == RLOG_VOTERS_MAX ||
		    !is_caught_up(l, p) || !l->ops.voter_allowed(l->ctx, p->id))
			continue;
		log_event(LOG_NOTICE, "voter_added", kv_u("host", p->id));
		m.v[m.n].id = p->id;
		m.v[m.n++].incarnation = p->incarnation;
		propose_members(l, &m, now_us);
		return;
	}
}

int64_t rlog_members_age_us(const rlog_t *l, int64_t now_us)
{
	return now_us - l->members_since_us;
}

void rlog_add_peer(rlog_t *l, host_id_t id)
{
	rlog_peer_get_or_add(l, id);
}

void rlog_remove_silent_peers(rlog_t *l, int64_t now_us)
{
	int64_t max_silence_us = l->cfg.election_us * FORGET_ELECTION_TIMEOUTS;

	for (size_t i = 0; i < l->n_peers;) {
		const peer_t *p = &l->peers[i];

		if (rlog_member(&l->members, p->id) ||
		    now_us - p->last_heard_us < max_silence_us)
			i++;
		else
			l->peers[i] = l->peers[--l->n_peers];
	}
}

/*
 * A host that hears from no leader asks to join even where it is a voter by its
 * own records: that record may never have been committed, and the leader may
 * not hold it.
 */
void rlog_request_join(rlog_t *l, int64_t now_us)
{
	l->join_due_us = now_us + l->cfg.election_us / 2;
	if (rlog_self_is_voter(l) && l->leader)
		return;
	for (size_t i = 0; i < l->n_peers; i++)
		send_join(l, &l->peers[i]);
	maybe_bootstrap_log(l, now_us);
}
