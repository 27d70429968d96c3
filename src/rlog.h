/*
 * rlog.h - the replicated log of one voter. A state machine without I/O,
 * clock or lock: the caller passes time and messages in, and serializes.
 *
 * Raft as in Ongaro, "Consensus: Bridging Theory and Practice", 2014: leader
 * election with pre-vote (9.6) and check-quorum (6.2), log matching (3.5),
 * snapshots (5), members that change one at a time (4.1), and confirmation
 * rounds for reads (6.4). Beyond it, a vote belongs to a data folder (its
 * incarnation), not to a host: see docs/design/state.md, "Emptied disks".
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
	const host_id_t *voters; /* first voters; copied */
	size_t n_voters;
	uint64_t seed;
	int64_t heartbeat_us;
	int64_t election_us;
	uint64_t snapshot_entries;
	bool join_only; /* never starts a log, only joins one */
} rlog_cfg_t;

typedef struct rlog_ops {
	void (*send)(void *ctx, host_id_t to, const Peer__Msg *msg);
	/* A committed record, in order; 0, or -1 to stop for good. */
	int (*apply)(void *ctx, const wal_rec_t *rec);
	/* Appends the state at the last applied record. */
	void (*save)(void *ctx, buf_t *out);
	/* Replaces the state; 0, or -1 where the bytes are corrupt. */
	int (*load)(void *ctx, uint64_t index, str_t bytes);
	/* Role, term or leader has changed. */
	void (*changed)(void *ctx);
	/* Whether operators let a host with a disk be a voter. */
	bool (*wanted)(void *ctx, host_id_t id);
} rlog_ops_t;

/* Replays the wal. NULL with *err where it cannot be used. */
rlog_t *rlog_new(const rlog_cfg_t *cfg, const rlog_ops_t *ops, void *ctx,
		 wal_t *wal, int64_t now_us, wal_err_t *err);
void rlog_free(rlog_t *l);

void rlog_recv(rlog_t *l, host_id_t from, const Peer__Msg *msg, int64_t now_us);
/* Does what is due and returns when it wants to be called again. */
int64_t rlog_tick(rlog_t *l, int64_t now_us);
/* Adds a record on the leader; its index, or 0 where this is not the leader.
 * It is neither sent nor synced before rlog_flush(). */
uint64_t rlog_propose(rlog_t *l, entry_kind_t kind, str_t data);
void rlog_flush(rlog_t *l, int64_t now_us);
/* Asks for a confirmation round soon. */
void rlog_want_round(rlog_t *l, int64_t now_us);

rlog_role_t rlog_role(const rlog_t *l);
bool rlog_is_leader(const rlog_t *l);
/* Leader whose first record of its term is committed. */
bool rlog_is_ready(const rlog_t *l);
/* Latest time at which this leader is known to have led; INT64_MIN if never. */
int64_t rlog_confirmed_us(const rlog_t *l, int64_t now_us);
/* How long the leader has not heard of a host with a disk; 0: itself. */
int64_t rlog_silent_us(const rlog_t *l, host_id_t id, int64_t now_us);
/* Another host that may be asked to let this one in. */
void rlog_hint_peer(rlog_t *l, host_id_t id);
host_id_t rlog_leader(const rlog_t *l);
uint64_t rlog_term(const rlog_t *l);
uint64_t rlog_commit(const rlog_t *l);
uint64_t rlog_last_index(const rlog_t *l);
/* Latest record of these kinds that is not applied yet; 0: none. */
uint64_t rlog_pending(const rlog_t *l, entry_kind_t a, entry_kind_t b);
bool rlog_is_voter(const rlog_t *l, host_id_t id);
/* Current voters; fills at most max and returns the number. */
size_t rlog_voters(const rlog_t *l, host_id_t *out, size_t max);
/* Why the log has failed; code WAL_OK while it has not. */
const wal_err_t *rlog_error(const rlog_t *l);
/* Appends members of a JSON object: "role":..., without braces. */
void rlog_status(const rlog_t *l, buf_t *json);

#ifdef __cplusplus
}
#endif
#endif
