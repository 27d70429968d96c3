/*
 * session.h - the leader's table of sessions: which daemons are live, since
 * when, and what they have applied. All times are on the leader's clock.
 */
#ifndef DK_SESSION_H
#define DK_SESSION_H

#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A daemon opens its session in two steps. It sends a renewal with a nonce that
 * is unique to this start of its process, and the leader offers that nonce a
 * grant. The first renewal that names the grant starts the session. A delayed
 * message from an earlier start of the same host carries no grant of the
 * present session, so it can neither renew nor end it.
 */
typedef struct session {
	host_id_t host;
	uint64_t nonce; /* of the daemon's start */
	uint64_t grant; /* 0: no session in this term yet */
	uint64_t offered_nonce;
	uint64_t offered_grant;
	/* Start of the session, or when it was renewed after it had expired. */
	int64_t live_since_us;
	/* From sessions_set_open_index(); sent as RenewRes.lease_index. */
	uint64_t open_index;
	int64_t renewed_us; /* when the latest renewal arrived */
	uint64_t index;	    /* log index that the daemon has applied */
	uint64_t revision;  /* of the tables that it has in force */
	bool live;
	bool has_left; /* it ended its session and no longer uses the lease */
} session_t;

typedef struct sessions sessions_t;

/*
 * lease_us is the nominal length of a lease; drift_ppm is the maximum drift
 * between the clocks of any two hosts.
 */
sessions_t *sessions_new(int64_t lease_us, uint32_t drift_ppm);
void sessions_free(sessions_t *s);
/* Removes all sessions: a new leader does not know the earlier renewals. */
void sessions_reset(sessions_t *s, uint64_t term, int64_t now_us);

typedef enum session_event {
	/* The caller sends the offered grant; nothing else has changed. */
	SESSION_GRANT_OFFERED,
	SESSION_STARTED, /* the caller calls sessions_set_open_index() */
	SESSION_RENEWED,
	SESSION_LEFT,
	SESSION_ALREADY_LEFT, /* the session had ended before */
} session_event_t;

typedef struct session_renewal {
	host_id_t host;
	uint64_t nonce;
	uint64_t grant; /* 0 or an outdated one asks for a new grant */
	uint64_t index; /* as in session_t */
	uint64_t revision;
	bool leave; /* ends the session */
} session_renewal_t;

session_event_t sessions_renew(sessions_t *s, const session_renewal_t *r,
			       int64_t now_us);
/* Whether the daemon has ended its session, and has begun no other since. */
bool sessions_has_left(const sessions_t *s, host_id_t host);
/*
 * Sets the log index that the daemon must have applied before the lease of its
 * session counts.
 */
void sessions_set_open_index(sessions_t *s, host_id_t host, uint64_t index);
/*
 * Ends the sessions whose lease is over even by the holder's clock; true if
 * there were any.
 */
bool sessions_expire(sessions_t *s, int64_t now_us);
/* When to call sessions_expire() next; INT64_MAX for never. */
int64_t sessions_next_expiry_us(const sessions_t *s);

/* NULL if the host has sent no renewal in this leader's term. */
const session_t *sessions_get(const sessions_t *s, host_id_t host);
bool sessions_is_live(const sessions_t *s, host_id_t host);
/*
 * Whether the host certainly holds no lease, neither from this leader nor from
 * an earlier one.
 */
bool sessions_lease_is_over(const sessions_t *s, host_id_t host,
			    int64_t now_us);
/* When all leases that earlier leaders granted are certainly over. */
int64_t sessions_grace_until_us(const sessions_t *s);

/* Increases with each change of the set of live hosts, in later terms too. */
uint64_t sessions_live_version(const sessions_t *s);
/* Live hosts, ascending. */
const host_id_t *sessions_live(const sessions_t *s, size_t *n);
/* One host whose session began (live) or ended. */
typedef struct live_change {
	host_id_t host;
	bool live;
} live_change_t;
#define LIVE_CHANGES_KEPT 256u
/*
 * Fills in the changes since a version, oldest first, at most
 * LIVE_CHANGES_KEPT; false if they are no longer known.
 */
bool sessions_live_changes(const sessions_t *s, uint64_t since,
			   live_change_t *out, size_t *n);
size_t sessions_host_revisions(const sessions_t *s, host_revision_t *out,
			       size_t max);

/*
 * How long the holder may use a lease, counted by its own clock from the
 * moment at which it sent the renewal.
 */
int64_t lease_holder_us(int64_t lease_us, uint32_t drift_ppm);
/*
 * How long the leader must treat a lease as running, counted by its own clock
 * from the arrival of the renewal.
 */
int64_t lease_granter_us(int64_t lease_us, uint32_t drift_ppm);

#ifdef __cplusplus
}
#endif
#endif
