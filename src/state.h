/*
 * state.h - the state core of one daemon, its part in the cluster's control
 * plane. Voters replicate a log of decided entries; the feed distributes these
 * entries to all other daemons. On top of the log the leader keeps the session
 * leases of the daemons, assigns targets to them and manages membership.
 *
 * The core does no I/O of its own: messages go out through callbacks and come
 * in by calls, the clock is a timer service, and the disk is a wal_t. So the
 * same code runs over sockets and in the simulated network of the tests.
 *
 * Every function takes the core's lock. Callbacks run with that lock held: they
 * must return quickly and must not call into the core.
 */
#ifndef DK_STATE_H
#define DK_STATE_H

#include "claim.h"
#include "decided.h"
#include "lease.h"
#include "timer.h"
#include "wal.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct state state_t;

typedef struct state_voter {
	host_id_t id;
	str_t addr; /* "ip:port" where it accepts peer connections */
} state_voter_t;

typedef struct state_cfg {
	host_id_t self;
	str_t zone;
	/* Voters of a new log; also the seeds until state_set_seeds(). */
	const state_voter_t *voters;
	size_t n_voters;
	uint64_t seed; /* of the random number generator */
	int64_t heartbeat_us;
	int64_t election_us; /* shortest election timeout; longest: twice */
	int64_t lease_us;    /* length of a daemon's session lease */
	/*
	 * How long the tables may be used for new requests, counted from the
	 * time at which this host sent the renewal that confirmed them.
	 */
	int64_t max_staleness_us;
	uint32_t drift_ppm;	   /* maximum clock drift between two hosts */
	uint64_t snapshot_entries; /* log entries between two snapshots */
	uint32_t fanout;	   /* children of one daemon in the feed tree */
	/*
	 * Fewest voters that the cluster chooses by itself among the hosts with a
	 * disk, see voters.h; 0 where operators choose the voters.
	 */
	uint32_t auto_voters;
	/* With auto_voters: a voter silent for so long counts as lost. */
	int64_t voter_lost_us;
	/*
	 * The log exists already on other hosts: with an empty disk too, this
	 * host joins it and never starts a new one.
	 */
	bool join_only;
} state_cfg_t;

typedef enum change_status {
	CHANGE_DECIDED, /* applied; revision is the one that it made */
	/* Its base revision is outdated; revision is the current one. */
	CHANGE_CONFLICT,
	CHANGE_INVALID,	  /* not applied; error names the invalid field */
	CHANGE_NO_QUORUM, /* not decided, and never will be */
	/* Possibly decided; resend it with the same change id to find out. */
	CHANGE_MAYBE_DECIDED,
} change_status_t;

typedef struct change_outcome {
	change_status_t status;
	uint64_t revision;
	str_t error; /* valid during the call only */
	bool resent; /* the change was submitted before; this is that outcome */
} change_outcome_t;

typedef struct state_ops {
	/*
	 * Sends a message to the state core of another daemon. Messages may be
	 * lost, reordered or duplicated.
	 */
	void (*send)(void *ctx, host_id_t to, const void *p, size_t n);
	/* New tables are in force here; the callee takes its own reference. */
	void (*tables)(void *ctx, decided_t *d);
	/* The lease status, the leader or the set of live hosts has changed. */
	void (*lease_status)(void *ctx, const lease_status_t *s);
	/* Outcome of a state_claim(). */
	void (*claimed)(void *ctx, const claim_result_t *res);
	/*
	 * Outcome of a state_propose_change() or state_put_doc(); called
	 * exactly once for each tag.
	 */
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
	/*
	 * Reopens the data folder after a failed write or sync; the core no
	 * longer uses the earlier wal. Returns NULL to be asked again later.
	 * Without this callback, a host whose disk failed runs on as one
	 * without a disk.
	 */
	wal_t *(*reopen)(void *ctx);
} state_ops_t;

/*
 * Takes no ownership of wal, which is NULL on a host without a disk. Returns
 * NULL and sets *err if the log cannot be used.
 */
state_t *state_new(const state_cfg_t *cfg, const state_ops_t *ops, void *ctx,
		   timer_svc_t *timers, wal_t *wal, wal_err_t *err);
void state_free(state_t *st);

/* Handles a message that the state core of another daemon sent. */
void state_recv(state_t *st, host_id_t from, const void *p, size_t n);
/*
 * Proposes a packed Change (proto/change.proto); it is forwarded to the leader.
 */
void state_propose_change(state_t *st, uint64_t tag, const void *change,
			  size_t n);
/* Proposes one version of a document; ops.changed gets its outcome. */
void state_put_doc(state_t *st, uint64_t tag, const doc_t *doc);
/*
 * Asks the leader at once to confirm that the tables here are current. Once
 * ops.lease_status reports a tables_confirmed_us at or after the time of this
 * call, the tables hold everything that was decided before the call.
 */
void state_request_confirmation(state_t *st);
/* Forwards a claim operation to the leader; ops.claimed gets its outcome. */
void state_claim(state_t *st, const claim_req_t *req);

/*
 * Replaces the seeds. A daemon asks the seeds for the current leader, and a
 * leader tells the seeds that have no session that it leads. The voters of a
 * new log remain those given to state_new().
 */
void state_set_seeds(state_t *st, const host_id_t *ids, size_t n);

/* Returns the tables in force; the caller owns one reference. */
decided_t *state_tables(state_t *st);
/* Appends a JSON object: role, term, leader, index, revision, peers, ... */
void state_status(state_t *st, buf_t *json);
/* What a live host has applied, as it last reported to the leader. */
typedef struct host_revision {
	host_id_t host;
	uint64_t revision; /* of the operators' changes */
	uint64_t index;	   /* in the log */
} host_revision_t;
/*
 * Fills in at most max live hosts and returns how many there are, which may be
 * more than max; 0 on a daemon that is not the leader.
 */
size_t state_host_revisions(state_t *st, host_revision_t *out, size_t max);
/*
 * Ends the session of this daemon without waiting for its lease to expire, so
 * that the leader reassigns its targets at once. A leader hands over to another
 * voter. idle_term: the term that it leads, if no work that it began as leader is
 * outstanding, so that its successor need not wait for any; else 0.
 */
void state_leave(state_t *st, uint64_t idle_term);
/*
 * Asks another voter to lead in place of this leader, which stays a voter; a
 * single attempt, which may fail. No effect on a host that does not lead.
 */
void state_resign(state_t *st);

#ifdef __cplusplus
}
#endif
#endif
