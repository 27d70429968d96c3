/*
 * rlog_int.h - shared by the files of the replicated log, and by nothing else.
 */
#ifndef DK_RLOG_INT_H
#define DK_RLOG_INT_H

#include "rlog.h"

#define PEERS_MAX 16u
/* A peer without progress for so many heartbeats is sent again from match. */
#define RESEND_HEARTBEATS 3

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
	int64_t started_us;
	int64_t heard_us; /* from the leader */
	int64_t election_due_us;
	int64_t beat_due_us;
	int64_t join_due_us;
};

/* rlog_store.c: records in memory and on disk, snapshots. */

/* The log stops for good: nothing more is acknowledged or voted. Gives -1. */
int rlog_fail(rlog_t *l, const wal_err_t *err);
int rlog_fail_apply(rlog_t *l, const char *what, uint64_t index);
/* NULL where the record is not held any more, or not yet. */
wal_rec_t *rlog_rec_at(const rlog_t *l, uint64_t index);
/* Term at index; false where it is not held any more, or not yet. */
bool rlog_term_at(const rlog_t *l, uint64_t index, uint64_t *term);
uint64_t rlog_last_term(const rlog_t *l);
void rlog_rec_push(rlog_t *l, uint64_t index, uint64_t term, uint32_t kind,
		   str_t data);
/* Drops records with an index of from or more from memory. */
void rlog_recs_truncate(rlog_t *l, uint64_t from);
/* Drops all; the log goes on after index. */
void rlog_recs_reset(rlog_t *l, uint64_t index, uint64_t term);
/* Term and vote are synced when it returns 0. */
int rlog_save_vote(rlog_t *l, uint64_t term, host_id_t voted_for);
/* Hands what is not stored to the wal and syncs it. */
int rlog_store(rlog_t *l);
/* Loads a SnapshotFile into the state and the members. */
int rlog_snapshot_use(rlog_t *l, uint64_t index, uint64_t term, str_t bytes);
/* Applies what is committed; takes a snapshot where one is due. */
int rlog_apply_committed(rlog_t *l);
int rlog_load_wal(rlog_t *l, wal_err_t *err);

/* rlog_members.c: who votes, who joins and leaves. */

void rlog_send(rlog_t *l, host_id_t to, Peer__Msg__BodyCase which, void *body);
int rlog_members_parse(members_t *m, uint64_t index, str_t data);
void rlog_members_pack(const members_t *m, buf_t *out);
/* NULL where the host is no member. */
const rlog_member_t *rlog_member(const members_t *m, host_id_t id);
/* The members that hold as of index. */
members_t rlog_members_at(const rlog_t *l, uint64_t index);
void rlog_use_members(rlog_t *l, const members_t *m);
/* Whether this host is a member on its present folder. */
bool rlog_self_votes(const rlog_t *l);
/* Whether log_id names another log than the one held here. */
bool rlog_foreign(const rlog_t *l, uint64_t log_id);
peer_t *rlog_peer(rlog_t *l, host_id_t id);
/* NULL for the host itself, and where there is no room. */
peer_t *rlog_peer_get(rlog_t *l, host_id_t id);
/* Another folder holds nothing that was acknowledged by the earlier one. */
void rlog_peer_set_incarnation(rlog_t *l, peer_t *p, uint64_t incarnation);
void rlog_on_join(rlog_t *l, host_id_t from, const Peer__Join *j,
		  int64_t now_us);
void rlog_join(rlog_t *l, int64_t now_us);
void rlog_tend_members(rlog_t *l, int64_t now_us);
void rlog_forget_silent(rlog_t *l, int64_t now_us);

/* rlog.c */

uint64_t rlog_random(rlog_t *l);
void rlog_campaign(rlog_t *l, bool pre, int64_t now_us);

#endif
