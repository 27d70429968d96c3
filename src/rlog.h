/*
 * rlog.h - the replicated log of one voter. It does no network I/O and has no
 * clock and no lock: the caller passes in time and messages, and makes one call
 * at a time. It reaches its disk through wal.h.
 *
 * Raft as in Ongaro, "Consensus: Bridging Theory and Practice", 2014: leader
 * election with pre-vote (9.6) and check-quorum (6.2), log matching (3.5),
 * snapshots (5), membership changes of one server at a time (4.1), rounds
 * of heartbeats that confirm leadership for reads (6.4), and leadership transfer
 * (3.10). Unlike there, a vote belongs to a data folder, named by its random
 * incarnation number, and not to a host: see docs/design/state.md, "Emptied
 * disks".
 */
#ifndef DK_RLOG_H
#define DK_RLOG_H

#include "machine.h"
#include "state.h"
#include "wal.h"
#include "state.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RLOG_VOTERS_MAX 9u

typedef struct rlog rlog_t;

/* X(NAME, "name") */
#define RLOG_ROLES(X)             \
	X(FOLLOWER, "follower")   \
	X(CANDIDATE, "candidate") \
	X(LEADER, "leader")       \
	X(FAILED, "failed")

typedef enum rlog_role {
#define X(name, str) RLOG_##name,
	RLOG_ROLES(X)
#undef X
} rlog_role_t;

typedef struct rlog_cfg {
	host_id_t self;
	/* Ids of the first voters, which may bootstrap the log; copied. */
	const host_id_t *voters;
	size_t n_voters;
	uint64_t seed;
	int64_t heartbeat_us;
	int64_t election_us;	   /* shortest election timeout */
	uint64_t snapshot_entries; /* records between two snapshots */
	bool join_only;		   /* never starts a log, only joins one */
} rlog_cfg_t;

typedef struct rlog_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/*
	 * Applies a committed record; called in log order. Returns 0, or -1 to
	 * stop the log for good.
	 */
	int (*apply)(void *ctx, const wal_rec_t *rec);
	/* Appends the state after the last applied record to out. */
	void (*save)(void *ctx, buf_t *out);
	/* Replaces the state. Returns 0, or -1 where the bytes are corrupt. */
	int (*load)(void *ctx, uint64_t index, str_t bytes);
	/* The role, the term or the leader has changed. */
	void (*changed)(void *ctx);
	/* Whether a host with a disk may be a voter, or remain one. */
	bool (*voter_allowed)(void *ctx, host_id_t id);
} rlog_ops_t;

/* Restores the log from the wal. NULL, with *err set, where that fails. */
rlog_t *rlog_new(const rlog_cfg_t *cfg, const rlog_ops_t *ops, void *ctx,
		 wal_t *wal, int64_t now_us, wal_err_t *err);
void rlog_free(rlog_t *l);

void rlog_recv(rlog_t *l, host_id_t from, const Peer__Msg *msg, int64_t now_us);
/* Does what is due; returns the time of the next call, or INT64_MAX. */
int64_t rlog_tick(rlog_t *l, int64_t now_us);
/*
 * Appends a record on the leader and returns its index; 0 where this host is
 * not the leader. The record is neither sent nor synced before rlog_flush().
 */
uint64_t rlog_propose(rlog_t *l, entry_kind_t kind, str_t data);
void rlog_flush(rlog_t *l, int64_t now_us);
/*
 * Has the leader send its next heartbeats soon; the answers confirm that it
 * still leads.
 */
void rlog_request_round(rlog_t *l, int64_t now_us);

/*
 * On the leader, or one whose disk has failed: whether a voter holds all records, or
 * as many as any other, and is heard from, so that it would win an election that
 * starts now.
 */
bool rlog_can_succeed(const rlog_t *l, host_id_t id, int64_t now_us);
/*
 * Starts an election at once, as the leader from asked for it in this term.
 * False where that host does not lead the term, or this one is not a voter.
 */
bool rlog_take_over(rlog_t *l, host_id_t from, uint64_t term, int64_t now_us);

rlog_role_t rlog_role(const rlog_t *l);
bool rlog_is_leader(const rlog_t *l);
/* Whether this is a leader whose first record of its term is committed. */
bool rlog_is_ready_leader(const rlog_t *l);
/*
 * Latest time at which a quorum is known to have followed this leader;
 * INT64_MIN where there is none.
 */
int64_t rlog_leadership_confirmed_us(const rlog_t *l, int64_t now_us);
/*
 * On the leader: time since it, or a leader before it, last heard from a host, or
 * since this host started where that is shorter; 0 for the leader itself, and while
 * the host has had no time to answer this leader.
 */
int64_t rlog_peer_silent_us(const rlog_t *l, host_id_t id, int64_t now_us);
/* On the leader: time since it changed the voters, or became the leader. */
int64_t rlog_members_age_us(const rlog_t *l, int64_t now_us);
/*
 * On the leader: number of hosts that are no voters, but hold all committed records
 * and answer the latest rounds.
 */
size_t rlog_candidates(const rlog_t *l);
/* Adds a host that this one may ask to let it join. */
void rlog_add_peer(rlog_t *l, host_id_t id);
host_id_t rlog_leader(const rlog_t *l);
uint64_t rlog_term(const rlog_t *l);
uint64_t rlog_commit(const rlog_t *l);
uint64_t rlog_last_index(const rlog_t *l);
/* Index of the last record of these kinds not applied yet; 0: none. */
uint64_t rlog_last_unapplied(const rlog_t *l, entry_kind_t a, entry_kind_t b);
bool rlog_is_voter(const rlog_t *l, host_id_t id);
/*
 * Fills the ids of at most max current voters, in the order in which they joined;
 * returns how many it filled.
 */
size_t rlog_voters(const rlog_t *l, host_id_t *out, size_t max);
/* Why the log has stopped; its code is WAL_OK while it has not. */
const wal_err_t *rlog_error(const rlog_t *l);
/* Appends the status as members of a JSON object, without the braces. */
void rlog_status(const rlog_t *l, int64_t now_us, buf_t *json);

#ifdef __cplusplus
}
#endif
#endif
