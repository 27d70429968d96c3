/*
 * session.h - the leader's table of sessions: which daemons are live, since
 * when, and what they have in force. Times are the leader's clock.
 */
#ifndef DK_SESSION_H
#define DK_SESSION_H

#include "decided.h"
#include "state.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A daemon opens its session in two steps: the leader offers a grant to the
 * nonce of its start, and the first renewal that names the grant begins the
 * session. A late message of an earlier start of the same host never gets
 * that far, and cannot end or renew the session of the present one.
 */
typedef struct session {
	host_id_t host;
	uint64_t nonce; /* of the daemon's start */
	uint64_t grant; /* 0: no session in this term yet */
	uint64_t offered_nonce;
	uint64_t offered_grant;
	int64_t opened_us;   /* live without a break since */
	uint64_t open_index; /* of the log then; see RenewRes.lease_index */
	int64_t renewed_us;  /* arrival of the latest renewal */
	uint64_t index;	     /* applied there */
	uint64_t revision;
	bool live;
	bool left; /* said goodbye; its lease is given back */
} session_t;

typedef struct sessions sessions_t;

/* lease_us as the holder counts it; drift_ppm bounds any two clocks. */
sessions_t *sessions_new(int64_t lease_us, uint32_t drift_ppm);
void sessions_free(sessions_t *s);
/* Forgets all: a new leader starts, which does not know earlier renewals. */
void sessions_reset(sessions_t *s, uint64_t term, int64_t now_us);

typedef enum session_event {
	SESSION_OFFERED, /* the grant is to be sent; nothing else has changed */
	SESSION_BEGUN,	 /* the caller sets open_index */
	SESSION_RENEWED,
	SESSION_LEFT,
	SESSION_ENDED, /* it said goodbye earlier */
} session_event_t;

typedef struct session_renewal {
	host_id_t host;
	uint64_t nonce;
	uint64_t grant; /* 0 or an old one: asks for another */
	uint64_t index;
	uint64_t revision;
	bool leave;
} session_renewal_t;

session_event_t sessions_renew(sessions_t *s, const session_renewal_t *r,
			       int64_t now_us);
void sessions_set_open_index(sessions_t *s, host_id_t host, uint64_t index);
/* Ends sessions whose lease is surely over; true where any was. */
bool sessions_expire(sessions_t *s, int64_t now_us);
/* When sessions_expire() has something to do; INT64_MAX: never. */
int64_t sessions_due(const sessions_t *s);

/* NULL where the host was not heard of in this leader's term. */
const session_t *sessions_get(const sessions_t *s, host_id_t host);
bool sessions_is_live(const sessions_t *s, host_id_t host);
/* Whether the host surely holds no lease any more. */
bool sessions_is_over(const sessions_t *s, host_id_t host, int64_t now_us);
/* When every lease of an earlier leader is surely over. */
int64_t sessions_grace_us(const sessions_t *s);

/* Changes whenever the set of live hosts does; unique over terms. */
uint64_t sessions_version(const sessions_t *s);
/* Live hosts, ascending. */
const host_id_t *sessions_live(const sessions_t *s, size_t *n);
/* One host that came (live) or went. */
typedef struct live_change {
	host_id_t host;
	bool live;
} live_change_t;
#define LIVE_CHANGES_KEPT 256u
/*
 * What has changed since a version, oldest first, at most LIVE_CHANGES_KEPT;
 * false where that is not known any more.
 */
bool sessions_changes(const sessions_t *s, uint64_t since, live_change_t *out,
		      size_t *n);
size_t sessions_revisions(const sessions_t *s, host_revision_t *out,
			  size_t max);

/* Holder's side of the lease: how long it may count on it. */
int64_t lease_holder_us(int64_t lease_us, uint32_t drift_ppm);
/* Granter's side: how long it waits from the arrival of a renewal. */
int64_t lease_granter_us(int64_t lease_us, uint32_t drift_ppm);

#ifdef __cplusplus
}
#endif
#endif
