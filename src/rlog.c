/* rlog.c - the replicated log: terms, elections, replication, members. */
#include "rlog.h"

#include "counter.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

#define PEERS_MAX 16u
#define APPEND_BYTES (192u << 10)
#define APPEND_RECORDS 2048u
#define CHUNK_BYTES (64u << 10)
/* Records sent beyond what a peer has acknowledged. */
#define WINDOW_RECORDS 8192u
/* A peer without progress for so many heartbeats is sent again from match. */
#define RESEND_HEARTBEATS 3
/* A peer outside the members that was silent for so long is forgotten. */
#define FORGET_ELECTIONS 10
/* Part of snapshot_entries kept in memory behind a snapshot. */
#define TRAIL_DIV 2u
/* Wanted rounds are at least heartbeat / ROUND_DIV apart. */
#define ROUND_DIV 4

typedef struct rlog_member {
	host_id_t id;
	uint64_t incarnation;
} rlog_member_t;

typedef struct members {
	uint64_t index; /* of the record; 0: none known */
	uint64_t log_id;
	size_t n;
	rlog_member_t v[RLOG_VOTERS_MAX];
} members_t;

/* Another host that has a disk. */
typedef struct peer {
	host_id_t id;
	uint64_t incarnation; /* folder it was last known to run on */
	uint64_t next;
	uint64_t match;	      /* synced there, for this incarnation */
	uint64_t acked_round; /* when the round it answered was sent */
	int64_t heard_us;
	int64_t progress_us;
	bool sending_snapshot;
	uint64_t snap_index;
	uint64_t snap_offset;
	bool granted;	    /* vote or pre-vote of this campaign */
	uint64_t empty_inc; /* said that it holds nothing, on this folder */
	uint64_t empty_echo;
} peer_t;

struct rlog {
	rlog_cfg_t cfg;
	host_id_t *first_voters; /* owned */
	rlog_ops_t ops;
	void *ctx;
	wal_t *wal; /* not owned */
	wal_err_t failed;
	uint64_t rng;

	rlog_role_t role;
	bool pre; /* the campaign is a pre-vote */
	uint64_t term;
	host_id_t voted_for;
	host_id_t leader;
	uint64_t incarnation;

	/* recs[0] has index first; all data is owned. */
	wal_rec_t *recs;
	size_t n_recs;
	size_t cap_recs;
	uint64_t first;
	uint64_t prev_term; /* of the record before first */
	uint64_t stored;    /* appended to the wal and synced */
	uint64_t commit;
	uint64_t applied;
	uint64_t snap_index;
	uint64_t snap_term;
	buf_t snap; /* latest SnapshotFile */
	members_t members;
	members_t snap_members;

	/* Snapshot being received. */
	buf_t in;
	uint64_t in_index;
	uint64_t in_term;
	host_id_t in_from;

	peer_t peers[PEERS_MAX];
	size_t n_peers;

	uint64_t round; /* when the latest round was sent; strictly rising */
	int64_t lead_since_us;
	uint64_t term_start; /* index of the first record of the own term */
	int64_t heard_us;    /* from the leader */
	int64_t election_due_us;
	int64_t beat_due_us;
	int64_t join_due_us;
};

static uint64_t next_random(rlog_t *l)
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

static void arm_election(rlog_t *l, int64_t now_us)
{
	uint64_t span = (uint64_t)l->cfg.election_us;

	l->election_due_us =
		now_us + l->cfg.election_us + (int64_t)(next_random(l) % span);
}

/* The log stops for good: nothing more is acknowledged or voted. */
static int fail_log(rlog_t *l, const wal_err_t *err)
{
	l->failed = *err;
	l->role = RLOG_FAILED;
	l->leader = 0;
	log_event(LOG_ERR, "log_failed", kv_u("host", l->cfg.self),
		  KV_C("reason", wal_code_text(err->code)),
		  KV_C("detail", err->detail));
	l->ops.changed(l->ctx);
	return -1;
}

static int fail_apply(rlog_t *l, const char *what, uint64_t index)
{
	wal_err_t err = {.code = WAL_CORRUPT};
	AUTO_BUF buf_t text = {0};

	buf_printf(&text, "%s at index %llu", what, (unsigned long long)index);
	memcpy(err.detail, text.p,
	       text.n < sizeof(err.detail) ? text.n + 1 : sizeof(err.detail));
	err.detail[sizeof(err.detail) - 1] = '\0';
	return fail_log(l, &err);
}

/* Records. */

static uint64_t last_index(const rlog_t *l)
{
	return l->first + l->n_recs - 1;
}

static wal_rec_t *rec_at(const rlog_t *l, uint64_t index)
{
	if (index < l->first || index > last_index(l))
		return NULL;
	return &l->recs[index - l->first];
}

/* Term at index; false where it is not held any more, or not yet. */
static bool term_at(const rlog_t *l, uint64_t index, uint64_t *term)
{
	const wal_rec_t *rec = rec_at(l, index);

	if (rec)
		*term = rec->term;
	else if (index + 1 == l->first)
		*term = l->prev_term;
	else if (index == l->snap_index)
		*term = l->snap_term;
	else
		return false;
	return true;
}

static uint64_t last_term(const rlog_t *l)
{
	return l->n_recs ? l->recs[l->n_recs - 1].term : l->prev_term;
}

static void rec_push(rlog_t *l, uint64_t index, uint64_t term, uint32_t kind,
		     str_t data)
{
	wal_rec_t *rec;

	if (l->n_recs == l->cap_recs) {
		l->cap_recs = l->cap_recs ? l->cap_recs * 2 : 256;
		l->recs = xrealloc(l->recs, l->cap_recs * sizeof(*l->recs));
	}
	rec = &l->recs[l->n_recs++];
	rec->index = index;
	rec->term = term;
	rec->kind = kind;
	rec->data = str_copy(data);
}

/* Drops records with an index of from or more from memory. */
static void recs_truncate(rlog_t *l, uint64_t from)
{
	while (l->n_recs && last_index(l) >= from)
		str_free(&l->recs[--l->n_recs].data);
	if (l->stored >= from)
		l->stored = from - 1;
}

/* Drops records before index from memory. */
static void recs_drop_before(rlog_t *l, uint64_t index)
{
	size_t n = 0;
	uint64_t term = l->prev_term;

	while (n < l->n_recs && l->recs[n].index < index) {
		term = l->recs[n].term;
		str_free(&l->recs[n].data);
		n++;
	}
	memmove(l->recs, l->recs + n, (l->n_recs - n) * sizeof(*l->recs));
	l->n_recs -= n;
	l->first += n;
	l->prev_term = term;
}

static void recs_reset(rlog_t *l, uint64_t index, uint64_t term)
{
	recs_truncate(l, l->first);
	l->first = index + 1;
	l->prev_term = term;
	l->stored = index;
}

/* Members. */

static int members_parse(members_t *m, uint64_t index, str_t data)
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
	peer__members__free_unpacked(pb, NULL);
	return 0;
}

static void members_pack(const members_t *m, buf_t *out)
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
	n = peer__members__get_packed_size(&pb);
	peer__members__pack(&pb, (uint8_t *)buf_room(out, n));
	out->n += n;
}

static const rlog_member_t *member(const members_t *m, host_id_t id)
{
	for (size_t i = 0; i < m->n; i++)
		if (m->v[i].id == id)
			return &m->v[i];
	return NULL;
}

static bool self_votes(const rlog_t *l)
{
	const rlog_member_t *m = member(&l->members, l->cfg.self);

	return m && m->incarnation == l->incarnation;
}

static peer_t *peer_find(rlog_t *l, host_id_t id)
{
	for (size_t i = 0; i < l->n_peers; i++)
		if (l->peers[i].id == id)
			return &l->peers[i];
	return NULL;
}

static peer_t *peer_get(rlog_t *l, host_id_t id)
{
	peer_t *p = peer_find(l, id);

	if (p || id == l->cfg.self)
		return p;
	if (l->n_peers == PEERS_MAX)
		return NULL;
	p = &l->peers[l->n_peers++];
	memset(p, 0, sizeof(*p));
	p->id = id;
	p->next = last_index(l) + 1;
	return p;
}

static bool is_first_voter(const rlog_t *l, host_id_t id)
{
	for (size_t i = 0; i < l->cfg.n_voters; i++)
		if (l->first_voters[i] == id)
			return true;
	return false;
}

static void peer_set_incarnation(rlog_t *l, peer_t *p, uint64_t incarnation)
{
	if (p->incarnation == incarnation)
		return;
	p->incarnation = incarnation;
	p->match = 0;
	p->next = last_index(l) + 1;
	p->acked_round = 0;
	p->sending_snapshot = false;
	p->granted = false;
}

static void use_members(rlog_t *l, const members_t *m)
{
	l->members = *m;
	for (size_t i = 0; i < m->n; i++) {
		peer_t *p = peer_get(l, m->v[i].id);

		if (p && !p->incarnation)
			peer_set_incarnation(l, p, m->v[i].incarnation);
	}
}

/* The members that hold as of index. */
static members_t members_at(const rlog_t *l, uint64_t index)
{
	members_t m = l->snap_members;

	for (size_t i = l->n_recs; i-- > 0;) {
		const wal_rec_t *rec = &l->recs[i];

		if (rec->index > index || rec->kind != ENTRY_MEMBERS)
			continue;
		if (rec->index > m.index)
			members_parse(&m, rec->index, rec->data);
		break;
	}
	return m;
}

static bool foreign(const rlog_t *l, uint64_t log_id)
{
	return l->members.log_id && log_id && log_id != l->members.log_id;
}

/* Storage. */

static int save_vote(rlog_t *l, uint64_t term, host_id_t voted_for)
{
	wal_err_t err = {0};

	l->term = term;
	l->voted_for = voted_for;
	if (l->wal->ops->set_vote(l->wal->ctx, term, voted_for, &err) ||
	    l->wal->ops->sync(l->wal->ctx, &err))
		return fail_log(l, &err);
	counter_add(CTR_LOG_SYNCS, 1);
	return 0;
}

/* Hands what is not stored to the wal and syncs it. */
static int store(rlog_t *l)
{
	wal_err_t err = {0};
	uint64_t last = last_index(l);
	const wal_rec_t *from = rec_at(l, l->stored + 1);

	if (!from)
		return 0;
	if (l->wal->ops->append(l->wal->ctx, from, last - l->stored, &err) ||
	    l->wal->ops->sync(l->wal->ctx, &err))
		return fail_log(l, &err);
	counter_add(CTR_LOG_SYNCS, 1);
	l->stored = last;
	return 0;
}

static void snapshot_pack(rlog_t *l, const members_t *m, str_t machine,
			  buf_t *out)
{
	Peer__SnapshotFile pb = PEER__SNAPSHOT_FILE__INIT;
	AUTO_BUF buf_t packed = {0};
	size_t n;

	members_pack(m, &packed);
	pb.members.data = (uint8_t *)packed.p;
	pb.members.len = packed.n;
	pb.machine.data = (uint8_t *)machine.p;
	pb.machine.len = machine.n;
	n = peer__snapshot_file__get_packed_size(&pb);
	peer__snapshot_file__pack(&pb, (uint8_t *)buf_room(out, n));
	out->n += n;
}

/* Loads a SnapshotFile into the state and the members. */
static int snapshot_use(rlog_t *l, uint64_t index, uint64_t term, str_t bytes)
{
	Peer__SnapshotFile *pb = peer__snapshot_file__unpack(
		NULL, bytes.n, (const uint8_t *)bytes.p);
	members_t m;
	int rc = -1;

	if (!pb)
		return -1;
	if (members_parse(&m, index,
			  str_n((char *)pb->members.data, pb->members.len)))
		goto out;
	if (l->ops.load(l->ctx, index,
			str_n((char *)pb->machine.data, pb->machine.len)))
		goto out;
	l->snap_members = m;
	l->snap_index = index;
	l->snap_term = term;
	buf_reset(&l->snap);
	buf_put(&l->snap, bytes.p, bytes.n);
	l->applied = index;
	if (l->commit < index)
		l->commit = index;
	rc = 0;
out:
	peer__snapshot_file__free_unpacked(pb, NULL);
	return rc;
}

/* Takes a snapshot where the log has grown by snapshot_entries. */
static int maybe_snapshot(rlog_t *l)
{
	AUTO_BUF buf_t machine = {0};
	AUTO_BUF buf_t file = {0};
	wal_err_t err = {0};
	uint64_t trail = l->cfg.snapshot_entries / TRAIL_DIV;
	uint64_t term;
	members_t m;

	if (l->applied < l->snap_index + l->cfg.snapshot_entries ||
	    l->stored < l->applied || !term_at(l, l->applied, &term))
		return 0;
	m = members_at(l, l->applied);
	l->ops.save(l->ctx, &machine);
	snapshot_pack(l, &m, buf_str(&machine), &file);
	if (l->wal->ops->snapshot(l->wal->ctx, l->applied, term, buf_str(&file),
				  &err))
		return fail_log(l, &err);
	l->snap_members = m;
	l->snap_index = l->applied;
	l->snap_term = term;
	buf_reset(&l->snap);
	buf_put(&l->snap, file.p, file.n);
	if (l->applied > trail)
		recs_drop_before(l, l->applied - trail + 1);
	return 0;
}

static int apply_committed(rlog_t *l)
{
	while (l->applied < l->commit) {
		const wal_rec_t *rec = rec_at(l, l->applied + 1);

		if (!rec)
			break;
		if (l->ops.apply(l->ctx, rec))
			return fail_apply(l, "a decided record is invalid",
					  rec->index);
		l->applied++;
	}
	return maybe_snapshot(l);
}

/* Sending. */

static void send_body(rlog_t *l, host_id_t to, Peer__Msg__BodyCase which,
		      void *body)
{
	Peer__Msg msg = PEER__MSG__INIT;

	msg.body_case = which;
	msg.vote_req = body; /* all members of the union are pointers */
	l->ops.send(l->ctx, to, &msg);
}

static void send_snapshot(rlog_t *l, peer_t *p, int64_t now_us)
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
	pb.data.len = left < CHUNK_BYTES ? left : CHUNK_BYTES;
	p->progress_us = now_us;
	send_body(l, p->id, PEER__MSG__BODY_SNAPSHOT, &pb);
}

/* Fills recs and ptrs with what fits one message; returns the number. */
static size_t pick_records(const rlog_t *l, uint64_t from, Peer__Record *recs,
			   Peer__Record **ptrs)
{
	size_t bytes = 0;
	size_t n = 0;
	const wal_rec_t *rec;

	while (n < APPEND_RECORDS && (rec = rec_at(l, from + n))) {
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

/* Sends records from p->next on; an empty message where there are none. */
static void send_append(rlog_t *l, peer_t *p, int64_t now_us)
{
	Peer__Append pb = PEER__APPEND__INIT;
	AUTO_FREE Peer__Record *recs = NULL;
	AUTO_FREE Peer__Record **ptrs = NULL;
	uint64_t prev_term;

	if (!term_at(l, p->next - 1, &prev_term) || p->next < l->first) {
		send_snapshot(l, p, now_us);
		return;
	}
	if (p->next <= last_index(l) && p->next <= p->match + WINDOW_RECORDS) {
		size_t max = last_index(l) - p->next + 1;

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
	send_body(l, p->id, PEER__MSG__BODY_APPEND, &pb);
	p->next += pb.n_records;
}

static void begin_round(rlog_t *l, int64_t now_us)
{
	l->round =
		(uint64_t)now_us > l->round ? (uint64_t)now_us : l->round + 1;
	l->beat_due_us = now_us + l->cfg.heartbeat_us;
}

static void send_beat(rlog_t *l, peer_t *p, int64_t now_us)
{
	int64_t stall = l->cfg.heartbeat_us * RESEND_HEARTBEATS;

	if (p->sending_snapshot) {
		if (now_us - p->progress_us >= l->cfg.heartbeat_us)
			send_snapshot(l, p, now_us);
		return;
	}
	if (p->match + 1 < p->next && now_us - p->progress_us >= stall) {
		p->next = p->match + 1;
		p->progress_us = now_us;
	}
	send_append(l, p, now_us);
}

static void broadcast(rlog_t *l, int64_t now_us)
{
	begin_round(l, now_us);
	for (size_t i = 0; i < l->n_peers; i++)
		if (l->peers[i].incarnation)
			send_beat(l, &l->peers[i], now_us);
}

/* Roles. */

static void become_follower(rlog_t *l, host_id_t leader, int64_t now_us)
{
	bool changed = l->role != RLOG_FOLLOWER || l->leader != leader;

	if (l->role == RLOG_FAILED)
		return;
	l->role = RLOG_FOLLOWER;
	l->leader = leader;
	arm_election(l, now_us);
	if (changed)
		l->ops.changed(l->ctx);
}

/* Takes over a higher term; -1 where that could not be stored. */
static int see_term(rlog_t *l, uint64_t term, int64_t now_us)
{
	if (term <= l->term)
		return 0;
	if (save_vote(l, term, 0))
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
	uint64_t at;
	uint64_t term;

	for (size_t i = 0; i < n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = peer_find(l, m->id);

		match[i] = 0;
		if (m->id == l->cfg.self && self_votes(l))
			match[i] = l->stored;
		else if (p && p->incarnation == m->incarnation)
			match[i] = p->match;
		for (size_t j = i; j > 0 && match[j] > match[j - 1]; j--) {
			uint64_t t = match[j];

			match[j] = match[j - 1];
			match[j - 1] = t;
		}
	}
	if (!n)
		return;
	at = match[quorum(l) - 1];
	if (at > l->commit && term_at(l, at, &term) && term == l->term)
		l->commit = at;
	apply_committed(l);
}

int64_t rlog_confirmed_us(const rlog_t *l, int64_t now_us)
{
	int64_t at[RLOG_VOTERS_MAX];
	size_t n = l->members.n;

	if (l->role != RLOG_LEADER || !n)
		return INT64_MIN;
	for (size_t i = 0; i < n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = peer_find((rlog_t *)l, m->id);

		at[i] = INT64_MIN;
		if (m->id == l->cfg.self)
			at[i] = self_votes(l) ? now_us : INT64_MIN;
		else if (p && p->incarnation == m->incarnation &&
			 p->acked_round)
			at[i] = (int64_t)p->acked_round;
		for (size_t j = i; j > 0 && at[j] > at[j - 1]; j--) {
			int64_t t = at[j];

			at[j] = at[j - 1];
			at[j - 1] = t;
		}
	}
	return at[quorum(l) - 1];
}

uint64_t rlog_propose(rlog_t *l, entry_kind_t kind, str_t data)
{
	uint64_t index = last_index(l) + 1;

	if (l->role != RLOG_LEADER)
		return 0;
	rec_push(l, index, l->term, kind, data);
	return index;
}

void rlog_flush(rlog_t *l, int64_t now_us)
{
	if (l->role != RLOG_LEADER || l->stored == last_index(l))
		return;
	/* Peers sync while this host does. */
	broadcast(l, now_us);
	if (store(l) == 0)
		advance_commit(l);
}

static void propose_members(rlog_t *l, members_t *m, int64_t now_us)
{
	AUTO_BUF buf_t data = {0};

	members_pack(m, &data);
	m->index = rlog_propose(l, ENTRY_MEMBERS, buf_str(&data));
	use_members(l, m);
	rlog_flush(l, now_us);
}

static void become_leader(rlog_t *l, int64_t now_us)
{
	l->role = RLOG_LEADER;
	l->leader = l->cfg.self;
	l->lead_since_us = now_us;
	l->in_from = 0;
	for (size_t i = 0; i < l->n_peers; i++) {
		peer_t *p = &l->peers[i];
		const rlog_member_t *m = member(&l->members, p->id);
		uint64_t incarnation = m ? m->incarnation : 0;

		p->incarnation = 0;
		if (incarnation)
			peer_set_incarnation(l, p, incarnation);
		p->heard_us = now_us;
		p->progress_us = now_us;
	}
	l->term_start = rlog_propose(l, ENTRY_NOOP, str_n(NULL, 0));
	log_event(LOG_NOTICE, "leader_elected", kv_u("host", l->cfg.self),
		  kv_u("term", l->term), kv_u("index", l->term_start));
	l->ops.changed(l->ctx);
	rlog_flush(l, now_us);
}

static void count_votes(rlog_t *l, int64_t now_us);

static void campaign(rlog_t *l, bool pre, int64_t now_us)
{
	Peer__VoteReq pb = PEER__VOTE_REQ__INIT;

	arm_election(l, now_us);
	if (!self_votes(l) || l->role == RLOG_FAILED)
		return;
	l->pre = pre;
	l->leader = 0;
	if (l->role != RLOG_CANDIDATE) {
		l->role = RLOG_CANDIDATE;
		l->ops.changed(l->ctx);
	}
	if (!pre) {
		counter_add(CTR_ELECTIONS, 1);
		if (save_vote(l, l->term + 1, l->cfg.self))
			return;
	}
	pb.term = pre ? l->term + 1 : l->term;
	pb.last_index = last_index(l);
	pb.last_term = last_term(l);
	pb.pre = pre;
	pb.log_id = l->members.log_id;
	for (size_t i = 0; i < l->n_peers; i++) {
		peer_t *p = &l->peers[i];

		p->granted = false;
		if (member(&l->members, p->id))
			send_body(l, p->id, PEER__MSG__BODY_VOTE_REQ, &pb);
	}
	count_votes(l, now_us);
}

static void count_votes(rlog_t *l, int64_t now_us)
{
	size_t n = 1; /* the own one */

	if (l->role != RLOG_CANDIDATE)
		return;
	for (size_t i = 0; i < l->n_peers; i++) {
		const peer_t *p = &l->peers[i];

		if (p->granted && member(&l->members, p->id))
			n++;
	}
	if (n < quorum(l))
		return;
	if (l->pre)
		campaign(l, false, now_us);
	else
		become_leader(l, now_us);
}

/* Incoming messages. */

static bool log_is_current(const rlog_t *l, const Peer__VoteReq *q)
{
	if (q->last_term != last_term(l))
		return q->last_term > last_term(l);
	return q->last_index >= last_index(l);
}

static bool leader_is_alive(const rlog_t *l, int64_t now_us)
{
	if (l->role == RLOG_LEADER)
		return true;
	return l->leader && now_us - l->heard_us < l->cfg.election_us;
}

static void on_vote_req(rlog_t *l, host_id_t from, const Peer__VoteReq *q,
			int64_t now_us)
{
	Peer__VoteRes pb = PEER__VOTE_RES__INIT;

	if (foreign(l, q->log_id) || leader_is_alive(l, now_us))
		return;
	if (q->pre) {
		pb.granted = q->term > l->term && log_is_current(l, q);
	} else {
		if (see_term(l, q->term, now_us))
			return;
		pb.granted = q->term == l->term && log_is_current(l, q) &&
			     (!l->voted_for || l->voted_for == from);
		if (pb.granted && !l->voted_for) {
			if (save_vote(l, l->term, from))
				return;
			arm_election(l, now_us);
		}
	}
	pb.term = pb.granted ? q->term : l->term;
	pb.pre = q->pre;
	pb.incarnation = l->incarnation;
	send_body(l, from, PEER__MSG__BODY_VOTE_RES, &pb);
}

static void on_vote_res(rlog_t *l, host_id_t from, const Peer__VoteRes *r,
			int64_t now_us)
{
	const rlog_member_t *m = member(&l->members, from);
	peer_t *p = peer_find(l, from);
	uint64_t asked = l->pre ? l->term + 1 : l->term;

	if (!r->granted) {
		see_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_CANDIDATE || r->pre != l->pre || r->term != asked)
		return;
	/* A vote counts for the data folder that is a member. */
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
	send_body(l, to, PEER__MSG__BODY_APPEND_RES, &pb);
}

/* First index that has the term of the record at index. */
static uint64_t term_begin(const rlog_t *l, uint64_t index)
{
	const wal_rec_t *rec = rec_at(l, index);
	uint64_t term = rec ? rec->term : 0;

	while (rec && index > l->commit + 1) {
		rec = rec_at(l, index - 1);
		if (!rec || rec->term != term)
			break;
		index--;
	}
	return index;
}

/* Takes the records that are not held yet; -1 where storing failed. */
static int take_records(rlog_t *l, const Peer__Append *a)
{
	wal_err_t err = {0};
	bool members = false;

	for (size_t i = 0; i < a->n_records; i++) {
		const Peer__Record *r = a->records[i];
		const wal_rec_t *have = rec_at(l, r->index);

		if (r->index <= l->commit || r->index < l->first)
			continue;
		if (have && have->term == r->term)
			continue;
		if (have) {
			/* A conflict: the records from here on were never
			 * decided. */
			recs_truncate(l, r->index);
			members = true;
			if (l->wal->ops->cut(l->wal->ctx, r->index, &err))
				return fail_log(l, &err);
		}
		if (r->index != last_index(l) + 1)
			break;
		rec_push(l, r->index, r->term, r->kind,
			 str_n((char *)r->data.data, r->data.len));
		members |= r->kind == ENTRY_MEMBERS;
	}
	if (store(l))
		return -1;
	if (members) {
		members_t m = members_at(l, last_index(l));

		use_members(l, &m);
	}
	return 0;
}

/* Whether a message of a leader is accepted; follows it then. */
static bool follow(rlog_t *l, host_id_t from, uint64_t term, uint64_t log_id,
		   uint64_t round, int64_t now_us)
{
	if (foreign(l, log_id))
		return false;
	if (term < l->term) {
		send_append_res(l, from, round, false, 0);
		return false;
	}
	if (see_term(l, term, now_us) || l->role == RLOG_LEADER)
		return false;
	become_follower(l, from, now_us);
	l->heard_us = now_us;
	return true;
}

static void on_append(rlog_t *l, host_id_t from, const Peer__Append *a,
		      int64_t now_us)
{
	uint64_t prev_term;
	uint64_t end = a->prev_index + a->n_records;

	if (!follow(l, from, a->term, a->log_id, a->round, now_us))
		return;
	if (a->prev_index > last_index(l)) {
		send_append_res(l, from, a->round, false, last_index(l));
		return;
	}
	/* What is committed here matches by definition. */
	if (a->prev_index > l->commit &&
	    (!term_at(l, a->prev_index, &prev_term) ||
	     prev_term != a->prev_term)) {
		send_append_res(l, from, a->round, false,
				term_begin(l, a->prev_index) - 1);
		return;
	}
	if (take_records(l, a))
		return;
	if (end < l->commit)
		end = l->commit;
	if (end > l->stored)
		end = l->stored;
	send_append_res(l, from, a->round, true, end);
	if (a->commit > l->commit && end > l->commit) {
		l->commit = a->commit < end ? a->commit : end;
		apply_committed(l);
	}
}

static void on_append_res(rlog_t *l, host_id_t from, const Peer__AppendRes *r,
			  int64_t now_us)
{
	peer_t *p = peer_find(l, from);

	if (r->term > l->term) {
		see_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || r->term != l->term || !p ||
	    p->incarnation != r->incarnation || r->round > l->round)
		return;
	p->heard_us = now_us;
	if (r->round > p->acked_round)
		p->acked_round = r->round;
	if (!r->ok) {
		/* An old refusal must not undo later progress. */
		if (r->match < p->next && r->match >= p->match) {
			p->next = r->match + 1;
			p->progress_us = now_us;
			send_append(l, p, now_us);
		}
		return;
	}
	if (r->match > last_index(l))
		return;
	if (r->match > p->match) {
		p->match = r->match;
		p->progress_us = now_us;
	}
	if (p->sending_snapshot && p->match >= p->snap_index)
		p->sending_snapshot = false;
	if (p->next <= p->match)
		p->next = p->match + 1;
	advance_commit(l);
	if (l->role == RLOG_LEADER && !p->sending_snapshot &&
	    p->next <= last_index(l))
		send_append(l, p, now_us);
}

/* Puts a whole received snapshot into force. */
static int install_snapshot(rlog_t *l, const Peer__SnapshotChunk *c)
{
	AUTO_BUF buf_t file = l->in;
	wal_err_t err = {0};
	uint64_t term;
	bool keeps = term_at(l, c->index, &term) && term == c->last_term;
	members_t m;

	memset(&l->in, 0, sizeof(l->in));
	l->in_from = 0;
	if (!keeps && last_index(l) > c->index) {
		recs_truncate(l, c->index + 1);
		if (l->wal->ops->cut(l->wal->ctx, c->index + 1, &err))
			return fail_log(l, &err);
	}
	if (l->wal->ops->snapshot(l->wal->ctx, c->index, c->last_term,
				  buf_str(&file), &err))
		return fail_log(l, &err);
	if (snapshot_use(l, c->index, c->last_term, buf_str(&file)))
		return fail_apply(l, "the leader's snapshot is invalid",
				  c->index);
	if (!keeps)
		recs_reset(l, c->index, c->last_term);
	m = members_at(l, last_index(l));
	use_members(l, &m);
	return 0;
}

static void on_snapshot(rlog_t *l, host_id_t from, const Peer__SnapshotChunk *c,
			int64_t now_us)
{
	Peer__SnapshotRes pb = PEER__SNAPSHOT_RES__INIT;

	if (!follow(l, from, c->term, c->log_id, c->round, now_us))
		return;
	if (c->index <= l->commit) {
		send_append_res(l, from, c->round, true,
				l->commit < l->stored ? l->commit : l->stored);
		return;
	}
	if (l->in_from != from || l->in_index != c->index ||
	    l->in_term != c->last_term) {
		l->in_from = from;
		l->in_index = c->index;
		l->in_term = c->last_term;
		buf_reset(&l->in);
	}
	if (c->offset == l->in.n)
		buf_put(&l->in, c->data.data, c->data.len);
	if (l->in.n == c->total) {
		if (install_snapshot(l, c) == 0)
			send_append_res(l, from, c->round, true, c->index);
		return;
	}
	pb.term = l->term;
	pb.index = c->index;
	pb.offset = l->in.n;
	pb.round = c->round;
	pb.incarnation = l->incarnation;
	send_body(l, from, PEER__MSG__BODY_SNAPSHOT_RES, &pb);
}

static void on_snapshot_res(rlog_t *l, host_id_t from,
			    const Peer__SnapshotRes *r, int64_t now_us)
{
	peer_t *p = peer_find(l, from);

	if (r->term > l->term) {
		see_term(l, r->term, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || r->term != l->term || !p ||
	    p->incarnation != r->incarnation || r->round > l->round)
		return;
	p->heard_us = now_us;
	if (r->round > p->acked_round)
		p->acked_round = r->round;
	if (!p->sending_snapshot || r->index != p->snap_index ||
	    r->offset > l->snap.n || r->offset == p->snap_offset)
		return;
	p->snap_offset = r->offset;
	send_snapshot(l, p, now_us);
}

/* Joining: hosts with a disk and no vote. */

static void send_join(rlog_t *l, peer_t *p)
{
	Peer__Join pb = PEER__JOIN__INIT;

	pb.incarnation = l->incarnation;
	pb.log_id = l->members.log_id;
	pb.echo = p->empty_inc;
	send_body(l, p->id, PEER__MSG__BODY_JOIN, &pb);
}

/* Starts a log once all first voters are known to hold nothing. */
static void maybe_found(rlog_t *l, int64_t now_us)
{
	AUTO_BUF buf_t data = {0};
	members_t m = {.index = 1};

	if (l->members.n || !is_first_voter(l, l->cfg.self))
		return;
	for (size_t i = 0; i < l->cfg.n_voters; i++) {
		host_id_t id = l->first_voters[i];
		const peer_t *p = peer_find(l, id);

		if (id < l->cfg.self || m.n == RLOG_VOTERS_MAX)
			return;
		m.v[m.n].id = id;
		if (id == l->cfg.self) {
			m.v[m.n++].incarnation = l->incarnation;
			continue;
		}
		if (!p || !p->empty_inc || p->empty_echo != l->incarnation)
			return;
		m.v[m.n++].incarnation = p->empty_inc;
	}
	m.log_id = next_random(l) | 1;
	members_pack(&m, &data);
	if (save_vote(l, l->term ? l->term : 1, l->voted_for))
		return;
	rec_push(l, 1, 1, ENTRY_MEMBERS, buf_str(&data));
	if (store(l))
		return;
	use_members(l, &m);
	log_event(LOG_NOTICE, "log_founded", kv_u("host", l->cfg.self),
		  kv_u("voters", m.n));
	campaign(l, m.n > 1, now_us);
}

static void on_join(rlog_t *l, host_id_t from, const Peer__Join *j,
		    int64_t now_us)
{
	const rlog_member_t *m = member(&l->members, from);
	peer_t *p;

	if (foreign(l, j->log_id) || !j->incarnation)
		return;
	if (!l->members.n) {
		p = is_first_voter(l, from) ? peer_get(l, from) : NULL;
		if (!p)
			return;
		p->empty_inc = j->log_id ? 0 : j->incarnation;
		p->empty_echo = j->echo;
		maybe_found(l, now_us);
		return;
	}
	if (l->role != RLOG_LEADER || (m && m->incarnation == j->incarnation))
		return;
	p = peer_get(l, from);
	if (!p)
		return;
	peer_set_incarnation(l, p, j->incarnation);
	p->heard_us = now_us;
}

/*
 * Brings the members one step nearer to what is wanted: a voter whose folder
 * was emptied leaves before its new folder may join, and a host joins only
 * once it holds everything decided.
 */
static void tend_members(rlog_t *l, int64_t now_us)
{
	members_t m = l->members;
	uint64_t lag = (uint64_t)l->cfg.heartbeat_us * RESEND_HEARTBEATS;

	if (l->commit < l->term_start || l->members.index > l->commit)
		return;
	for (size_t i = 0; i < m.n; i++) {
		const peer_t *p = peer_find(l, m.v[i].id);
		bool emptied = p && p->incarnation &&
			       p->incarnation != m.v[i].incarnation;

		if (!emptied && l->ops.wanted(l->ctx, m.v[i].id))
			continue;
		if (m.n == 1)
			continue;
		log_event(LOG_NOTICE, "voter_removed", kv_u("host", m.v[i].id),
			  KV_C("reason", emptied ? "its disk was emptied"
						 : "operators' change"));
		m.v[i] = m.v[--m.n];
		propose_members(l, &m, now_us);
		return;
	}
	for (size_t i = 0; i < l->n_peers; i++) {
		const peer_t *p = &l->peers[i];

		if (member(&m, p->id) || !p->incarnation ||
		    m.n == RLOG_VOTERS_MAX || p->match < l->commit ||
		    !p->match || p->acked_round + lag < l->round ||
		    !l->ops.wanted(l->ctx, p->id))
			continue;
		log_event(LOG_NOTICE, "voter_added", kv_u("host", p->id));
		m.v[m.n].id = p->id;
		m.v[m.n++].incarnation = p->incarnation;
		propose_members(l, &m, now_us);
		return;
	}
}

static void forget_silent(rlog_t *l, int64_t now_us)
{
	int64_t bound = l->cfg.election_us * FORGET_ELECTIONS;

	for (size_t i = 0; i < l->n_peers;) {
		const peer_t *p = &l->peers[i];

		if (member(&l->members, p->id) || now_us - p->heard_us < bound)
			i++;
		else
			l->peers[i] = l->peers[--l->n_peers];
	}
}

static void tick_leader(rlog_t *l, int64_t now_us)
{
	int64_t since = rlog_confirmed_us(l, now_us);

	if (since < l->lead_since_us)
		since = l->lead_since_us;
	if (now_us - since >= l->cfg.election_us) {
		log_event(LOG_WARNING, "leader_stepped_down",
			  kv_u("host", l->cfg.self), kv_u("term", l->term),
			  KV_C("reason", "no quorum answers"));
		become_follower(l, 0, now_us);
		return;
	}
	if (!self_votes(l) && l->members.index <= l->commit) {
		become_follower(l, 0, now_us);
		return;
	}
	forget_silent(l, now_us);
	tend_members(l, now_us);
	if (l->role != RLOG_LEADER)
		return;
	if (now_us >= l->beat_due_us)
		broadcast(l, now_us);
	advance_commit(l);
}

/*
 * A host that no leader speaks to asks to be let in. It may take itself for a
 * voter by a record that was never decided, and that the leader does not hold.
 */
static void join(rlog_t *l, int64_t now_us)
{
	l->join_due_us = now_us + l->cfg.election_us / 2;
	if (self_votes(l) && l->leader)
		return;
	for (size_t i = 0; i < l->n_peers; i++)
		send_join(l, &l->peers[i]);
	maybe_found(l, now_us);
}

int64_t rlog_tick(rlog_t *l, int64_t now_us)
{
	if (l->role == RLOG_FAILED)
		return INT64_MAX;
	if (l->role == RLOG_LEADER) {
		tick_leader(l, now_us);
		if (l->role == RLOG_LEADER)
			return l->beat_due_us;
		if (l->role == RLOG_FAILED)
			return INT64_MAX;
	}
	if (now_us >= l->join_due_us)
		join(l, now_us);
	if (self_votes(l) && now_us >= l->election_due_us)
		campaign(l, l->members.n > 1, now_us);
	if (l->role == RLOG_LEADER)
		return l->beat_due_us;
	if (!self_votes(l) || l->join_due_us < l->election_due_us)
		return l->join_due_us;
	return l->election_due_us;
}

void rlog_want_round(rlog_t *l, int64_t now_us)
{
	int64_t due = (int64_t)l->round + l->cfg.heartbeat_us / ROUND_DIV;

	if (due < l->beat_due_us)
		l->beat_due_us = due > now_us ? due : now_us;
}

void rlog_recv(rlog_t *l, host_id_t from, const Peer__Msg *msg, int64_t now_us)
{
	if (l->role == RLOG_FAILED)
		return;
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
		on_snapshot(l, from, msg->snapshot, now_us);
		break;
	case PEER__MSG__BODY_SNAPSHOT_RES:
		on_snapshot_res(l, from, msg->snapshot_res, now_us);
		break;
	case PEER__MSG__BODY_JOIN:
		on_join(l, from, msg->join, now_us);
		break;
	default:
		break;
	}
}

static int replay_record(void *arg, const wal_rec_t *rec)
{
	rlog_t *l = arg;

	if (rec->index <= l->snap_index)
		return 0;
	if (rec->index != last_index(l) + 1)
		return -1;
	rec_push(l, rec->index, rec->term, rec->kind, rec->data);
	return 0;
}

static int load_wal(rlog_t *l, wal_err_t *err)
{
	const wal_found_t *f = &l->wal->found;
	members_t m;

	l->term = f->term;
	l->voted_for = f->voted_for;
	l->incarnation = f->incarnation;
	l->first = 1;
	if (f->snapshot_index) {
		if (snapshot_use(l, f->snapshot_index, f->snapshot_term,
				 f->snapshot)) {
			err->code = WAL_SNAPSHOT;
			return -1;
		}
		recs_reset(l, f->snapshot_index, f->snapshot_term);
	}
	if (l->wal->ops->replay(l->wal->ctx, replay_record, l, err)) {
		if (err->code == WAL_OK)
			err->code = WAL_CORRUPT;
		return -1;
	}
	l->stored = last_index(l);
	m = members_at(l, last_index(l));
	use_members(l, &m);
	return 0;
}

rlog_t *rlog_new(const rlog_cfg_t *cfg, const rlog_ops_t *ops, void *ctx,
		 wal_t *wal, int64_t now_us, wal_err_t *err)
{
	rlog_t *l = xcalloc(1, sizeof(*l));

	l->cfg = *cfg;
	l->first_voters = xmalloc(cfg->n_voters * sizeof(host_id_t));
	memcpy(l->first_voters, cfg->voters, cfg->n_voters * sizeof(host_id_t));
	l->cfg.voters = l->first_voters;
	l->ops = *ops;
	l->ctx = ctx;
	l->wal = wal;
	l->rng = cfg->seed;
	l->heard_us = INT64_MIN / 2;
	if (load_wal(l, err)) {
		rlog_free(l);
		return NULL;
	}
	for (size_t i = 0; i < cfg->n_voters; i++)
		peer_get(l, cfg->voters[i]);
	arm_election(l, now_us);
	if (l->members.n == 1 && self_votes(l))
		l->election_due_us = now_us;
	l->join_due_us = now_us;
	return l;
}

void rlog_free(rlog_t *l)
{
	if (!l)
		return;
	recs_truncate(l, 0);
	free(l->recs);
	free(l->first_voters);
	buf_free(&l->snap);
	buf_free(&l->in);
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

bool rlog_is_ready(const rlog_t *l)
{
	return l->role == RLOG_LEADER && l->commit >= l->term_start;
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

uint64_t rlog_last_index(const rlog_t *l)
{
	return last_index(l);
}

uint64_t rlog_pending(const rlog_t *l, entry_kind_t a, entry_kind_t b)
{
	for (uint64_t i = last_index(l); i > l->applied; i--) {
		const wal_rec_t *rec = rec_at(l, i);

		if (rec && (rec->kind == a || rec->kind == b))
			return i;
	}
	return 0;
}

bool rlog_is_voter(const rlog_t *l, host_id_t id)
{
	return member(&l->members, id) != NULL;
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
	return &l->failed;
}

/* On a leader: the members are decided, and all of them hold the log. */
static bool members_settled(const rlog_t *l)
{
	if (l->role != RLOG_LEADER || l->members.index > l->commit)
		return false;
	for (size_t i = 0; i < l->members.n; i++) {
		const rlog_member_t *m = &l->members.v[i];
		const peer_t *p = peer_find((rlog_t *)l, m->id);

		if (m->id == l->cfg.self)
			continue;
		if (!p || p->incarnation != m->incarnation ||
		    p->match < l->members.index)
			return false;
	}
	return true;
}

void rlog_status(const rlog_t *l, buf_t *json)
{
	buf_printf(json,
		   "\"role\":\"%s\",\"term\":%llu,\"leader\":%u,"
		   "\"commit\":%llu,\"last\":%llu,\"snapshot\":%llu,"
		   "\"votes\":%s,\"voters\":[",
		   role_name(l->role), (unsigned long long)l->term, l->leader,
		   (unsigned long long)l->commit,
		   (unsigned long long)last_index(l),
		   (unsigned long long)l->snap_index,
		   self_votes(l) ? "true" : "false");
	for (size_t i = 0; i < l->members.n; i++)
		buf_printf(json, "%s%u", i ? "," : "", l->members.v[i].id);
	buf_printf(json, "],\"members_settled\":%s",
		   members_settled(l) ? "true" : "false");
	if (l->role == RLOG_FAILED)
		buf_printf(json, ",\"failed\":\"%s\"",
			   wal_code_text(l->failed.code));
}
