/*
 * rlog_int.h - internals of the replicated log, only for the rlog*.c files.
 */
#ifndef DK_RLOG_INT_H
#define DK_RLOG_INT_H

#include "rlog.h"

#define PEERS_MAX 16u
/*
 * A peer that has acknowledged nothing new for this many heartbeats gets all
 * records after its match again. A host whose latest answer is older than this
 * is not added to the members.
 */
#define RESEND_HEARTBEATS 3

typedef struct rlog_member {
	host_id_t id;
	uint64_t incarnation; /* of the data folder that the vote belongs to */
} rlog_member_t;

/* Most earlier logs that are remembered as replaced. */
#define RLOG_REPLACED_MAX 8u

typedef struct members {
	uint64_t index; /* of their ENTRY_MEMBERS record; 0: none known */
	uint64_t log_id;
	size_t n;
	rlog_member_t v[RLOG_VOTERS_MAX];
	/* Logs that this one was recovered from; the latest last. */
	uint64_t replaced[RLOG_REPLACED_MAX];
	size_t n_replaced;
} members_t;

typedef enum campaign {
	CAMPAIGN_PRE_VOTE, /* asks whether an election could be won */
	CAMPAIGN_ELECTION,
	CAMPAIGN_HANDOVER, /* an election that the present leader asked for */
} campaign_t;

/* Another host that has a disk: a voter, or one that may join. */
typedef struct peer {
	host_id_t id;
	uint64_t incarnation; /* of its last known data folder; 0: unknown */
	uint64_t next;	      /* index of the next record to send */
	uint64_t match;	      /* last index synced there, in this incarnation */
	uint64_t acked_round; /* latest round that it answered */
	/*
	 * When the leader last heard from it; on another host as that leader told,
	 * or when it sent this host a message itself.
	 */
	int64_t last_heard_us;
	int64_t last_progress_us;
	bool sending_snapshot;
	uint64_t snap_index;  /* of the snapshot being sent */
	uint64_t snap_offset; /* bytes of it that the peer holds */
	bool granted;	      /* its vote or pre-vote in the current campaign */
	/* Incarnation in which the peer said that it holds no log; 0: none. */
	uint64_t empty_incarnation;
	/* Incarnation of this host that the peer's latest Join echoed. */
	uint64_t echoed_incarnation;
	bool join_only; /* it said that it starts no log */
} peer_t;

struct rlog {
	rlog_cfg_t cfg;
	host_id_t *first_voters; /* owned */
	rlog_ops_t ops;
	void *ctx;
	wal_t *wal; /* not owned */
	wal_err_t error;
	uint64_t rng; /* state of rlog_random() */

	rlog_role_t role;
	campaign_t campaign; /* the current or latest one */
	uint64_t term;
	host_id_t voted_for;
	host_id_t leader;
	uint64_t incarnation; /* of this host's data folder */

	/* Records in memory, from index first on; the data of all is owned. */
	wal_rec_t *recs;
	size_t n_recs;
	size_t cap_recs;
	uint64_t first;
	uint64_t prev_term; /* term of the record before first */
	uint64_t stored;    /* last index appended to the wal and synced */
	uint64_t commit;    /* last index known to be committed */
	uint64_t applied;   /* last index applied */
	uint64_t snap_index;
	uint64_t snap_term;
	buf_t snap; /* latest snapshot, a packed SnapshotFile */
	/* By the last ENTRY_MEMBERS record, committed or not. */
	members_t members;
	members_t snap_members; /* as of the snapshot */

	/* Snapshot that is being received. */
	buf_t incoming;
	uint64_t incoming_index;
	uint64_t incoming_term;
	host_id_t incoming_from; /* 0: none */

	peer_t peers[PEERS_MAX];
	size_t n_peers;

	/*
	 * Latest round of messages to all peers, named by the time in
	 * microseconds at which it was sent; each is above the one before.
	 */
	uint64_t round;
	int64_t leader_since_us;
	/* When this leader last changed the members, or became the leader. */
	int64_t members_since_us;
	uint64_t term_start_index; /* first record of this leader's term */
	int64_t started_us;
	int64_t leader_heard_us; /* when the leader was last heard from */
	int64_t election_due_us;
	int64_t heartbeat_due_us;
	int64_t join_due_us;	     /* when to next ask the peers to join */
	int64_t leaderless_since_us; /* 0: a leader is known */
	bool loss_logged; /* that there has been no leader for long */
};

/* rlog_store.c: records in memory and on disk, snapshots. */

/*
 * Stops the log for good: this host acknowledges nothing more and votes no
 * more. Returns -1.
 */
int rlog_fail(rlog_t *l, const wal_err_t *err);
/*
 * Like rlog_fail(), with the code WAL_CORRUPT; what says which record or
 * snapshot is invalid.
 */
int rlog_fail_apply(rlog_t *l, const char *what, uint64_t index);
/* The record at index; NULL where it is not in memory. */
wal_rec_t *rlog_record_at(const rlog_t *l, uint64_t index);
/* Fills the term of the record at index; false where it is not known. */
bool rlog_term_at(const rlog_t *l, uint64_t index, uint64_t *term);
uint64_t rlog_last_term(const rlog_t *l);
void rlog_append_record(rlog_t *l, uint64_t index, uint64_t term, uint32_t kind,
			str_t data);
/* Removes the records at from and above from memory. */
void rlog_truncate_records(rlog_t *l, uint64_t from);
/* Removes all records from memory; the next one will follow index. */
void rlog_reset_records(rlog_t *l, uint64_t index, uint64_t term);
/* Sets term and vote; both are synced to disk when it returns 0. */
int rlog_save_vote(rlog_t *l, uint64_t term, host_id_t voted_for);
/* Appends the records that are not stored yet to the wal, and syncs it. */
int rlog_store(rlog_t *l);
/* Replaces the applied state and the snapshot's members by a SnapshotFile. */
int rlog_load_snapshot(rlog_t *l, uint64_t index, uint64_t term, str_t bytes);
/* Applies the committed records, and takes a snapshot where one is due. */
int rlog_apply_committed(rlog_t *l);
/* Restores the log from what the wal recovered. */
int rlog_load_wal(rlog_t *l, wal_err_t *err);

/* rlog_members.c: the voters of the log, and hosts that join or leave. */

/* Sends a message of the kind which; body is its unpacked protobuf message. */
void rlog_send(rlog_t *l, host_id_t to, Peer__Msg__BodyCase which, void *body);
/* Unpacks the data of an ENTRY_MEMBERS record; -1 where it is malformed. */
int rlog_members_parse(members_t *m, uint64_t index, str_t data);
void rlog_members_pack(const members_t *m, buf_t *out);
/* The member with this id; NULL where there is none. */
const rlog_member_t *rlog_member(const members_t *m, host_id_t id);
/* The members according to the records up to index. */
members_t rlog_members_at(const rlog_t *l, uint64_t index);
void rlog_set_members(rlog_t *l, const members_t *m);
/* Whether this host is a member with its current data folder. */
bool rlog_self_is_voter(const rlog_t *l);
/*
 * Whether a message is to be ignored as its log_id is that of another log; false where
 * either log is unknown. The sender is told if this host's log has replaced its own.
 */
bool rlog_rejects_log(rlog_t *l, host_id_t from, uint64_t log_id);
/* Stops this host's log for good, if it is the one that was replaced. */
void rlog_on_replaced(rlog_t *l, const Peer__LogReplaced *r);
/* The peer with this id; NULL where there is none. */
peer_t *rlog_peer(rlog_t *l, host_id_t id);
/* Adds the peer if needed; NULL for this host, and where the list is full. */
peer_t *rlog_peer_get_or_add(rlog_t *l, host_id_t id);
/*
 * Notes the data folder that the peer runs with. Where it is a new one, resets
 * the peer's progress: the new folder holds nothing that the earlier one
 * acknowledged.
 */
void rlog_peer_set_incarnation(rlog_t *l, peer_t *p, uint64_t incarnation);
void rlog_on_join(rlog_t *l, host_id_t from, const Peer__Join *j,
		  int64_t now_us);
/*
 * Asks the peers to let this host join, unless it is a voter and knows a leader.
 * Then bootstraps the log if this is the first voter with the lowest id, and the
 * others hold no log.
 */
void rlog_request_join(rlog_t *l, int64_t now_us);
/* Leader: removes or adds at most one voter, towards the wanted members. */
void rlog_reconcile_members(rlog_t *l, int64_t now_us);
/* Leader: removes peers that are no members and have been silent for long. */
void rlog_remove_silent_peers(rlog_t *l, int64_t now_us);

/* rlog_silence.c: voters from which nothing comes, and a log without a leader. */

/*
 * Leader: fills rows and ptrs, of RLOG_VOTERS_MAX each, with the voters that have been
 * silent for some heartbeats; returns how many.
 */
size_t rlog_pick_silent(const rlog_t *l, int64_t now_us,
			Peer__SilentVoter *rows, Peer__SilentVoter **ptrs);
/*
 * Keeps what the leader knows of silent voters, so that their silence does not begin
 * anew should this host become the leader.
 */
void rlog_note_silent(rlog_t *l, const Peer__Append *a, int64_t now_us);
/* Logs that there is no leader, once, and when there is one again. */
void rlog_note_leader(rlog_t *l, int64_t now_us);

/* rlog.c */

uint64_t rlog_random(rlog_t *l);
void rlog_campaign(rlog_t *l, campaign_t campaign, int64_t now_us);
/* Begins with a pre-vote, unless this host is the only voter. */
void rlog_begin_election(rlog_t *l, int64_t now_us);

#endif
