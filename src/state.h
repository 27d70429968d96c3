/*
 * state.h - the state core of one daemon: replicated log (on voters), feed of
 * decided entries to all others, session leases, assignment of targets,
 * membership. A state machine without I/O: peer messages, disk and time come
 * through callbacks; it runs the same under sockets and in the fuzz network.
 *
 * All calls take the core's own lock. Callbacks are made with that lock held:
 * they hand on and return, and never call back into the core.
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
	str_t addr; /* "ip:port" of its peer link */
} state_voter_t;

typedef struct state_cfg {
	host_id_t self;
	str_t zone;
	const state_voter_t *voters; /* first voters, from the settings */
	size_t n_voters;
	uint64_t seed; /* of the random source */
	int64_t heartbeat_us;
	int64_t election_us;	   /* shortest; the longest is twice this */
	int64_t lease_us;	   /* session lease of a daemon */
	int64_t max_staleness_us;  /* staleness bound for accepting requests */
	uint32_t drift_ppm;	   /* bound of clock drift between hosts */
	uint64_t snapshot_entries; /* log entries between snapshots */
	uint32_t fanout;	   /* children of one feed relay */
	/* Hosts with a disk that vote without an operator; 0: operators say. */
	uint32_t auto_voters;
	bool join_only; /* the log exists already, whatever the disk holds */
} state_cfg_t;

typedef enum change_status {
	CHANGE_DECIDED,	 /* accepted: revision is its own */
	CHANGE_CONFLICT, /* base revision is not current; revision is current */
	CHANGE_INVALID,	 /* nothing decided; error names the field */
	CHANGE_NO_QUORUM,     /* certainly not decided */
	CHANGE_MAYBE_DECIDED, /* may be decided; resend with the same change id */
} change_status_t;

typedef struct change_outcome {
	change_status_t status;
	uint64_t revision;
	str_t error; /* valid during the call only */
	bool resent; /* the first outcome of an earlier submission */
} change_outcome_t;

typedef struct state_ops {
	/* Sends bytes to a peer's state core; may lose, reorder or repeat. */
	void (*send)(void *ctx, host_id_t to, const void *p, size_t n);
	/* New tables are in force here; the callee takes its own reference. */
	void (*tables)(void *ctx, decided_t *d);
	/* The standing has changed. */
	void (*standing)(void *ctx, const standing_t *s);
	/* Outcome of state_claim(). */
	void (*claimed)(void *ctx, const claim_result_t *res);
	/* Outcome of state_propose_change(); exactly one for each tag. */
	void (*changed)(void *ctx, uint64_t tag, const change_outcome_t *out);
	/*
	 * Opens the data folder again after a write or sync has failed; the
	 * state gave up the wal before. NULL: not now. Where the callback is
	 * missing, a host whose disk failed stays without one.
	 */
	wal_t *(*reopen)(void *ctx);
} state_ops_t;

/*
 * Takes no ownership of wal (NULL on a learner without disk). NULL and *err
 * where the log cannot be used.
 */
state_t *state_new(const state_cfg_t *cfg, const state_ops_t *ops, void *ctx,
		   timer_svc_t *timers, wal_t *wal, wal_err_t *err);
void state_free(state_t *st);

void state_recv(state_t *st, host_id_t from, const void *p, size_t n);
/* Proposes a packed Change (proto/state.proto), forwarded to the leader. */
void state_propose_change(state_t *st, uint64_t tag, const void *change,
			  size_t n);
/* Proposes one version of a document; its outcome comes as a change's. */
void state_put_doc(state_t *st, uint64_t tag, const doc_t *doc);
/*
 * Asks the leader for a confirmation now. Tables with a standing whose
 * confirmed_us is at or after this call hold all that was decided before it.
 */
void state_request_confirmation(state_t *st);
void state_claim(state_t *st, const claim_req_t *req);

/*
 * Whom to ask for the leader from now on; the leader tells those that have no
 * session that it leads. The hosts that found a log stay those of state_new().
 */
void state_set_seeds(state_t *st, const host_id_t *ids, size_t n);

/* The tables in force; the caller owns one reference. */
decided_t *state_tables(state_t *st);
/* Appends a JSON object: role, term, leader, index, revision, peers, ... */
void state_status(state_t *st, buf_t *json);
/*
 * In-force revision of each live host, as the leader knows it: fills at most
 * max pairs and returns the number known; 0 on a daemon that is not leader.
 */
typedef struct host_revision {
	host_id_t host;
	uint64_t revision;
	uint64_t index;
} host_revision_t;
size_t state_host_revisions(state_t *st, host_revision_t *out, size_t max);
/* Says goodbye: the session ends at once and targets are reassigned. */
void state_leave(state_t *st);

#ifdef __cplusplus
}
#endif
#endif
